//! The state service as published: versions, conditional transactions, grants with the outage
//! rule, watches that can be too old, budgets, outages, refusal of one controller.

use crate::scenario::StateService as Size;
use crate::world::Micros;
use dewramp::replica::{Checksum, REPLICATED_PREFIXES};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::collections::{BTreeMap, VecDeque};

struct Key {
    value: Box<RawValue>,
    stamp: u64,
    grant: Option<u64>,
}

struct Grant {
    ttl: Micros,
    ends: Micros,
}

/// What a service lets through a second, with bursts.
pub struct Bucket {
    level: f64,
    rate: f64,
    most: f64,
    at: Micros,
}

impl Bucket {
    pub fn new(rate: f64, burst_s: f64) -> Self {
        let most = rate * burst_s;
        Self {
            level: most,
            rate,
            most,
            at: 0,
        }
    }

    pub fn take(&mut self, now: Micros, n: f64) -> bool {
        let gained = now.saturating_sub(self.at) as f64 / 1e6 * self.rate;
        (self.level, self.at) = ((self.level + gained).min(self.most), now);
        let can = self.level >= n.min(self.most);
        if can {
            self.level -= n;
        }
        can
    }
}

/// A status and a body.
pub type Answer = (u16, String);

/// A watch that waits.
pub struct Parked<T> {
    pub who: T,
    pub node: usize,
    prefix: String,
    from: u64,
    until: Micros,
}

#[derive(Deserialize)]
struct Condition {
    path: String,
    stamp: u64,
}

#[derive(Deserialize)]
struct Change {
    #[serde(default)]
    set: Option<String>,
    #[serde(default)]
    value: Option<Box<RawValue>>,
    #[serde(default)]
    permit: Option<u64>,
    #[serde(default)]
    delete: Option<String>,
}

#[derive(Deserialize)]
struct Txn {
    r#if: Vec<Condition>,
    apply: Vec<Change>,
}

pub struct State<T> {
    size: Size,
    keys: BTreeMap<String, Key>,
    epoch: u64,
    grants: BTreeMap<u64, Grant>,
    next_grant: u64,
    /// The last changes, the oldest first, with what was set.
    log: VecDeque<(u64, String, Option<Box<RawValue>>)>,
    /// Of the keys that a leader is built from, by epoch.
    sum: Checksum,
    sums: VecDeque<(u64, Checksum)>,
    requests: Bucket,
    writes: Bucket,
    pub parked: Vec<Parked<T>>,
    pub down_until: Micros,
    /// Until when one controller is refused.
    pub refused: BTreeMap<usize, Micros>,
    /// Until when no watch of one controller is answered, nor any that it opened meanwhile.
    pub hangs: BTreeMap<usize, Micros>,
    pub slow: f64,
    pub asked: u64,
    pub changes: u64,
}

const TXN_BYTES: usize = 64 * 1024;
const LIST_BYTES: usize = 512 * 1024;

fn text(s: &str) -> String {
    serde_json::to_string(s).unwrap_or_default()
}

impl<T> State<T> {
    pub fn new(size: &Size) -> Self {
        Self {
            size: size.clone(),
            keys: BTreeMap::new(),
            epoch: 0,
            grants: BTreeMap::new(),
            next_grant: 0,
            log: VecDeque::new(),
            sum: Checksum::default(),
            sums: VecDeque::new(),
            requests: Bucket::new(size.rps, 1.0),
            writes: Bucket::new(size.write_rps, 1.0),
            parked: Vec::new(),
            down_until: 0,
            refused: BTreeMap::new(),
            hangs: BTreeMap::new(),
            slow: 1.0,
            asked: 0,
            changes: 0,
        }
    }

    fn refuses(&self, now: Micros, node: usize) -> bool {
        now < self.down_until || self.refused.get(&node).is_some_and(|t| now < *t)
    }

    /// After an outage all grants get their full time again.
    pub fn outage(&mut self, now: Micros, until: Micros) {
        self.expire(now);
        self.down_until = self.down_until.max(until);
        for g in self.grants.values_mut() {
            g.ends = self.down_until + g.ttl;
        }
    }

    /// Whether the keys that a leader is built from added up to that at that epoch; true also where
    /// that is too long ago to be known.
    pub fn added_up(&self, epoch: u64, sum: Checksum) -> bool {
        let at = self.sums.partition_point(|s| s.0 <= epoch);
        match at.checked_sub(1) {
            Some(n) => self.sums[n].1 == sum,
            None => !self.sums.is_empty() || sum == Checksum::default(),
        }
    }

    /// The epoch of a key's last change.
    pub fn stamp(&self, path: &str) -> Option<u64> {
        self.keys.get(path).map(|k| k.stamp)
    }

    /// Watches that start before now are told to read again.
    pub fn forget(&mut self) {
        self.log.clear();
    }

    /// Ends what was not renewed; when the next ends.
    pub fn expire(&mut self, now: Micros) -> Option<Micros> {
        let over: Vec<u64> = self
            .grants
            .iter()
            .filter(|(_, g)| g.ends <= now)
            .map(|g| *g.0)
            .collect();
        for id in over {
            self.end_grant(id);
        }
        self.grants.values().map(|g| g.ends).min()
    }

    fn end_grant(&mut self, id: u64) {
        self.grants.remove(&id);
        let keys = self.keys.iter().filter(|k| k.1.grant == Some(id));
        let gone: Vec<String> = keys.map(|k| k.0.clone()).collect();
        if !gone.is_empty() {
            self.epoch += 1;
        }
        for path in gone {
            let old = self.keys.remove(&path);
            self.note(path, old, None);
        }
    }

    fn note(&mut self, path: String, old: Option<Key>, value: Option<Box<RawValue>>) {
        self.changes += 1;
        if REPLICATED_PREFIXES.iter().any(|p| path.starts_with(p)) {
            if let Some(old) = old {
                self.sum.toggle(&path, old.stamp);
            }
            if value.is_some() {
                self.sum.toggle(&path, self.epoch);
            }
            self.sums.push_back((self.epoch, self.sum));
            if self.sums.len() > self.size.kept {
                self.sums.pop_front();
            }
        }
        self.log.push_back((self.epoch, path, value));
        if self.log.len() > self.size.kept {
            self.log.pop_front();
        }
    }

    /// What a watch is told: 410 if it can't go back so far, None if nothing has changed.
    fn events(&self, prefix: &str, from: u64) -> Option<Answer> {
        // Where the log was cut, its first entry may lack others of the same transaction.
        let cut = u64::from(self.log.len() < self.size.kept);
        let oldest = self.log.front().map_or(self.epoch, |l| l.0 - cut);
        if from < oldest {
            return Some((410, "{}".to_owned()));
        }
        let start = self.log.partition_point(|l| l.0 <= from);
        let changes = self.log.range(start..);
        let told = changes
            .filter(|c| c.1.starts_with(prefix))
            .map(|(epoch, path, value)| match value {
                Some(value) => format!(
                    r#"{{"set":{},"value":{value},"stamp":{epoch}}}"#,
                    text(path)
                ),
                None => format!(r#"{{"delete":{},"stamp":{epoch}}}"#, text(path)),
            });
        let told = told.collect::<Vec<_>>();
        if told.is_empty() {
            return None;
        }
        let told = told.join(",");
        Some((
            200,
            format!(r#"{{"epoch":{},"events":[{told}]}}"#, self.epoch),
        ))
    }

    /// Watches that have their answer now.
    pub fn wake(&mut self, now: Micros) -> Vec<(T, Answer)> {
        let mut told = Vec::new();
        let mut rest = Vec::new();
        for p in std::mem::take(&mut self.parked) {
            if self.hangs.get(&p.node).is_some_and(|t| now < *t) {
                continue;
            }
            if self.refuses(now, p.node) {
                rest.push(p);
                continue;
            }
            match self.events(&p.prefix, p.from) {
                Some(answer) => told.push((p.who, answer)),
                None if now >= p.until => {
                    let body = format!(r#"{{"epoch":{},"events":[]}}"#, self.epoch);
                    told.push((p.who, (200, body)));
                }
                None => rest.push(p),
            }
        }
        self.parked = rest;
        told
    }

    /// Answers a request of a controller; a watch without news is parked instead.
    pub fn call(
        &mut self,
        now: Micros,
        node: usize,
        method: &str,
        path: &str,
        body: &[u8],
        who: T,
    ) -> Option<(T, Answer)> {
        self.expire(now);
        self.asked += 1;
        let error = |status: u16, why: &str| (status, format!(r#"{{"error":"{why}"}}"#));
        if self.refuses(now, node) {
            return Some((who, error(503, "trouble")));
        }
        if !self.requests.take(now, 1.0) {
            return Some((who, error(429, "too many requests")));
        }
        if let Some(q) = path.strip_prefix("/watch?") {
            if self.hangs.get(&node).is_some_and(|t| now < *t) {
                return None;
            }
            let prefix = query(q, "prefix").to_owned();
            let from = query(q, "from").parse().unwrap_or(0);
            if let Some(answer) = self.events(&prefix, from) {
                return Some((who, answer));
            }
            let block: u64 = query(q, "blockMs").parse().unwrap_or(0);
            self.parked.push(Parked {
                who,
                node,
                prefix,
                from,
                until: now + block.min(60_000) * 1_000,
            });
            return None;
        }
        let answer = match (method, path) {
            ("POST", "/txn") => self.txn(now, body),
            ("POST", "/grants") => {
                #[derive(Deserialize)]
                struct Ask {
                    #[serde(rename = "ttlMs")]
                    ttl_ms: u64,
                }
                match serde_json::from_slice::<Ask>(body) {
                    Ok(ask) if (100..=600_000).contains(&ask.ttl_ms) => {
                        self.next_grant += 1;
                        let ttl = ask.ttl_ms * 1_000;
                        let ends = now + ttl;
                        self.grants.insert(self.next_grant, Grant { ttl, ends });
                        (200, format!(r#"{{"permit":{}}}"#, self.next_grant))
                    }
                    _ => error(400, "malformed"),
                }
            }
            (_, p) if p.starts_with("/grants/") => {
                let id: u64 = p
                    .split('/')
                    .nth(2)
                    .and_then(|i| i.parse().ok())
                    .unwrap_or(0);
                match self.grants.get_mut(&id) {
                    None => error(404, "no such lease"),
                    Some(_) if method == "DELETE" => {
                        self.end_grant(id);
                        (200, "{}".to_owned())
                    }
                    Some(g) => {
                        g.ends = now + g.ttl;
                        (200, format!(r#"{{"permit":{id}}}"#))
                    }
                }
            }
            ("GET", p) if p.starts_with("/store?") => self.list(&p["/store?".len()..]),
            ("GET", p) => match p
                .strip_prefix("/store/")
                .and_then(|p| self.keys.get_key_value(p))
            {
                Some((path, k)) => (
                    200,
                    format!(
                        r#"{{"path":{},"value":{},"stamp":{}}}"#,
                        text(path),
                        k.value,
                        k.stamp
                    ),
                ),
                None => (404, format!(r#"{{"epoch":{}}}"#, self.epoch)),
            },
            _ => error(400, "malformed"),
        };
        Some((who, answer))
    }

    fn list(&self, q: &str) -> Answer {
        let (prefix, from) = (query(q, "prefix"), query(q, "from"));
        let limit: usize = query(q, "limit").parse().unwrap_or(1_000);
        let mut items = String::new();
        let (mut count, mut truncated) = (0, false);
        let start = if from.is_empty() { prefix } else { from };
        for (path, k) in self.keys.range(start.to_owned()..) {
            if path == from && !from.is_empty() {
                continue;
            }
            if !path.starts_with(prefix) {
                break;
            }
            if count >= limit.min(1_000) || items.len() > LIST_BYTES {
                truncated = true;
                break;
            }
            if count > 0 {
                items.push(',');
            }
            count += 1;
            items.push_str(&format!(
                r#"{{"path":{},"value":{},"stamp":{}}}"#,
                text(path),
                k.value,
                k.stamp
            ));
        }
        let epoch = self.epoch;
        (
            200,
            format!(r#"{{"items":[{items}],"truncated":{truncated},"epoch":{epoch}}}"#),
        )
    }

    /// A transaction, now or applied late.
    pub fn txn(&mut self, now: Micros, body: &[u8]) -> Answer {
        let error = |status: u16, why: &str| (status, format!(r#"{{"error":"{why}"}}"#));
        let Ok(txn) = serde_json::from_slice::<Txn>(body) else {
            return error(400, "malformed");
        };
        let value_bytes = (self.size.value_kb * 1024.0) as usize;
        let large = |c: &Change| {
            c.value
                .as_ref()
                .is_some_and(|v| v.get().len() > value_bytes)
        };
        if txn.apply.len() > self.size.txn_ops
            || txn.r#if.len() > 4 * self.size.txn_ops
            || body.len() > TXN_BYTES
            || txn.apply.iter().any(large)
        {
            return error(400, "too large");
        }
        if !self.writes.take(now, txn.apply.len() as f64) {
            return error(429, "too many changes");
        }
        let leased = txn.apply.iter().filter_map(|c| c.permit);
        if leased.into_iter().any(|p| !self.grants.contains_key(&p)) {
            return error(400, "no such lease");
        }
        let stamp = |path: &str| self.keys.get(path).map_or(0, |k| k.stamp);
        let failed = txn.r#if.iter().filter(|c| stamp(&c.path) != c.stamp);
        let failed: Vec<String> = failed.map(|c| text(&c.path)).collect();
        if !failed.is_empty() {
            let (failed, epoch) = (failed.join(","), self.epoch);
            return (409, format!(r#"{{"failed":[{failed}],"epoch":{epoch}}}"#));
        }
        if !txn.apply.is_empty() {
            self.epoch += 1;
        }
        for c in txn.apply {
            if let (Some(path), Some(value)) = (c.set, c.value) {
                let key = Key {
                    value: value.clone(),
                    stamp: self.epoch,
                    grant: c.permit,
                };
                let old = self.keys.insert(path.clone(), key);
                self.note(path, old, Some(value));
            } else if let Some(path) = c.delete
                && let Some(old) = self.keys.remove(&path)
            {
                self.note(path, Some(old), None);
            }
        }
        (200, format!(r#"{{"epoch":{}}}"#, self.epoch))
    }
}

/// The value of one name in a query, as the controllers write it.
fn query<'a>(text: &'a str, name: &str) -> &'a str {
    text.split('&')
        .filter_map(|p| p.split_once('='))
        .find(|p| p.0 == name)
        .map_or("", |p| p.1)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_grant_gets_its_full_time_after_an_outage_and_its_keys_go_with_it() {
        let mut s: State<()> = State::new(&Size::default());
        let ask = |s: &mut State<()>, at, body: &str, path: &str| {
            s.call(at, 0, "POST", path, body.as_bytes(), ())
                .map(|a| a.1)
                .expect("an answer")
        };
        assert_eq!(ask(&mut s, 0, r#"{"ttlMs":1000}"#, "/grants").0, 200);
        let set = r#"{"if":[{"path":"a","stamp":0}],"apply":[{"set":"a","value":1,"permit":1}]}"#;
        assert_eq!(ask(&mut s, 0, set, "/txn").0, 200);
        assert_eq!(ask(&mut s, 1, set, "/txn").0, 409);
        s.outage(500_000, 9_000_000);
        assert_eq!(ask(&mut s, 8_999_999, set, "/txn").0, 503);
        s.expire(9_900_000);
        assert!(s.keys.contains_key("a"));
        s.expire(10_000_000);
        assert!(s.keys.is_empty());
        assert_eq!(ask(&mut s, 10_000_000, set, "/txn").0, 400, "no such lease");
        let told = s.events("a", 1).expect("the deletion is told");
        assert!(told.1.contains(r#""delete":"a""#));
        s.forget();
        s.epoch += 1;
        assert_eq!(s.events("a", 1).map(|a| a.0), Some(410));
    }
}
