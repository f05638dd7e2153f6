//! A model of the state service, after its published description.
//!
//! It has modification revisions, conditional transactions, leases, watches, a compacted change log and request
//! budgets. After an outage every lease gets its full TTL again. Faults: outages, refusal of single controllers,
//! and watches that hang.

use crate::scenario::StateService as Limits;
use crate::world::Micros;
use dewramp::replica::{Checksum, REPLICATED_PREFIXES};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::collections::{BTreeMap, VecDeque};

/// A stored value.
struct Entry {
    value: Box<RawValue>,
    mod_revision: u64,
    lease: Option<u64>,
}

struct Lease {
    ttl: Micros,
    expires_at: Micros,
}

/// A rate limit with bursts.
pub struct TokenBucket {
    tokens: f64,
    rate: f64,
    capacity: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// Creates a full bucket that refills with `rate` tokens per second and holds `burst_s` seconds of them.
    pub fn new(rate: f64, burst_s: f64) -> Self {
        let capacity = rate * burst_s;
        Self {
            tokens: capacity,
            rate,
            capacity,
            refilled_at: 0,
        }
    }

    /// Takes `n` tokens if there are enough; a request for more than the capacity needs a full bucket.
    pub fn try_take(&mut self, now: Micros, n: f64) -> bool {
        let gained = now.saturating_sub(self.refilled_at) as f64 / 1e6 * self.rate;
        (self.tokens, self.refilled_at) = ((self.tokens + gained).min(self.capacity), now);
        let allowed = self.tokens >= n.min(self.capacity);
        if allowed {
            self.tokens -= n;
        }
        allowed
    }
}

/// HTTP status and body.
pub type Response = (u16, String);

/// A watch request that waits for a change; `caller` identifies the request.
pub struct PendingWatch<T> {
    pub caller: T,
    pub controller: usize,
    prefix: String,
    from_revision: u64,
    /// When the watch is answered without changes.
    deadline: Micros,
}

#[derive(Deserialize)]
struct Precondition {
    path: String,
    #[serde(rename = "stamp")]
    mod_revision: u64,
}

#[derive(Deserialize)]
struct Operation {
    #[serde(default)]
    set: Option<String>,
    #[serde(default)]
    value: Option<Box<RawValue>>,
    #[serde(rename = "permit", default)]
    lease_id: Option<u64>,
    #[serde(default)]
    delete: Option<String>,
}

#[derive(Deserialize)]
struct TransactionRequest {
    #[serde(rename = "if")]
    preconditions: Vec<Precondition>,
    #[serde(rename = "apply")]
    operations: Vec<Operation>,
}

/// The state service; `T` identifies requests to the caller of this module.
pub struct StateService<T> {
    limits: Limits,
    keys: BTreeMap<String, Entry>,
    revision: u64,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    /// The last changes, oldest first: revision, key and new value, `None` for a deletion.
    change_log: VecDeque<(u64, String, Option<Box<RawValue>>)>,
    /// Checksum over the replicated keys, from which a new leader loads its state.
    checksum: Checksum,
    /// The checksum after each of the last changes, with its revision.
    checksum_history: VecDeque<(u64, Checksum)>,
    request_budget: TokenBucket,
    write_budget: TokenBucket,
    pub pending_watches: Vec<PendingWatch<T>>,
    pub down_until: Micros,
    /// Until when all requests of a controller are refused, by controller.
    pub refused_until: BTreeMap<usize, Micros>,
    /// Until when the watches of a controller get no response, by controller. Watches opened until then never get
    /// one.
    pub watches_hang_until: BTreeMap<usize, Micros>,
    pub slow: f64,
    pub requests_received: u64,
    pub changes_applied: u64,
}

/// Largest transaction, in bytes.
const TRANSACTION_BYTES_MAX: usize = 64 * 1024;
/// A page of a list ends with the first entry past this size, in bytes.
const LIST_BYTES_MAX: usize = 512 * 1024;

fn json_string(s: &str) -> String {
    serde_json::to_string(s).unwrap_or_default()
}

impl<T> StateService<T> {
    pub fn new(limits: &Limits) -> Self {
        Self {
            limits: limits.clone(),
            keys: BTreeMap::new(),
            revision: 0,
            leases: BTreeMap::new(),
            next_lease: 0,
            change_log: VecDeque::new(),
            checksum: Checksum::default(),
            checksum_history: VecDeque::new(),
            request_budget: TokenBucket::new(limits.rps, 1.0),
            write_budget: TokenBucket::new(limits.write_rps, 1.0),
            pending_watches: Vec::new(),
            down_until: 0,
            refused_until: BTreeMap::new(),
            watches_hang_until: BTreeMap::new(),
            slow: 1.0,
            requests_received: 0,
            changes_applied: 0,
        }
    }

    fn refuses(&self, now: Micros, controller: usize) -> bool {
        now < self.down_until
            || self
                .refused_until
                .get(&controller)
                .is_some_and(|t| now < *t)
    }

    /// Begins an outage; all leases get their full TTL again when it is over.
    pub fn start_outage(&mut self, now: Micros, until: Micros) {
        self.expire_leases(now);
        self.down_until = self.down_until.max(until);
        for lease in self.leases.values_mut() {
            lease.expires_at = self.down_until + lease.ttl;
        }
    }

    /// Whether the replicated keys had this checksum at this revision; also true if the revision is too old to be
    /// known.
    pub fn checksum_matches(&self, revision: u64, checksum: Checksum) -> bool {
        let at = self.checksum_history.partition_point(|s| s.0 <= revision);
        match at.checked_sub(1) {
            Some(n) => self.checksum_history[n].1 == checksum,
            None => !self.checksum_history.is_empty() || checksum == Checksum::default(),
        }
    }

    /// Returns the revision of a key's last change.
    pub fn mod_revision(&self, path: &str) -> Option<u64> {
        self.keys.get(path).map(|k| k.mod_revision)
    }

    /// Drops the change log: watches from an earlier revision get 410 and must list the keys again.
    pub fn compact_change_log(&mut self) {
        self.change_log.clear();
    }

    /// Deletes expired leases with their keys and returns when the next lease expires.
    pub fn expire_leases(&mut self, now: Micros) -> Option<Micros> {
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|lease| *lease.0)
            .collect();
        for id in expired {
            self.delete_lease(id);
        }
        self.leases.values().map(|lease| lease.expires_at).min()
    }

    fn delete_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys = self.keys.iter().filter(|k| k.1.lease == Some(id));
        let deleted: Vec<String> = keys.map(|k| k.0.clone()).collect();
        if !deleted.is_empty() {
            self.revision += 1;
        }
        for path in deleted {
            let old = self.keys.remove(&path);
            self.record_change(path, old, None);
        }
    }

    /// Records a change at the current revision in the checksum and the change log.
    fn record_change(&mut self, path: String, old: Option<Entry>, value: Option<Box<RawValue>>) {
        self.changes_applied += 1;
        if REPLICATED_PREFIXES.iter().any(|p| path.starts_with(p)) {
            if let Some(old) = old {
                self.checksum.toggle(&path, old.mod_revision);
            }
            if value.is_some() {
                self.checksum.toggle(&path, self.revision);
            }
            self.checksum_history
                .push_back((self.revision, self.checksum));
            if self.checksum_history.len() > self.limits.kept {
                self.checksum_history.pop_front();
            }
        }
        self.change_log.push_back((self.revision, path, value));
        if self.change_log.len() > self.limits.kept {
            self.change_log.pop_front();
        }
    }

    /// Returns the response to a watch: 410 if the change log does not go back far enough, `None` if nothing has
    /// changed.
    fn watch_response(&self, prefix: &str, from_revision: u64) -> Option<Response> {
        // A log that was never truncated reaches back to just before its first entry. In a truncated one, other
        // changes of the first entry's transaction may be missing.
        let untruncated = u64::from(self.change_log.len() < self.limits.kept);
        let oldest = self
            .change_log
            .front()
            .map_or(self.revision, |l| l.0 - untruncated);
        if from_revision < oldest {
            return Some((410, "{}".to_owned()));
        }
        let start = self.change_log.partition_point(|l| l.0 <= from_revision);
        let changes = self.change_log.range(start..);
        let events = changes
            .filter(|c| c.1.starts_with(prefix))
            .map(|(revision, path, value)| match value {
                Some(value) => format!(
                    r#"{{"set":{},"value":{value},"stamp":{revision}}}"#,
                    json_string(path)
                ),
                None => format!(r#"{{"delete":{},"stamp":{revision}}}"#, json_string(path)),
            });
        let events = events.collect::<Vec<_>>();
        if events.is_empty() {
            return None;
        }
        let events = events.join(",");
        Some((
            200,
            format!(r#"{{"epoch":{},"events":[{events}]}}"#, self.revision),
        ))
    }

    /// Returns the watches that complete now, with their responses. Watches that hang are dropped.
    pub fn complete_watches(&mut self, now: Micros) -> Vec<(T, Response)> {
        let mut completed = Vec::new();
        let mut rest = Vec::new();
        for p in std::mem::take(&mut self.pending_watches) {
            if self
                .watches_hang_until
                .get(&p.controller)
                .is_some_and(|t| now < *t)
            {
                continue;
            }
            if self.refuses(now, p.controller) {
                rest.push(p);
                continue;
            }
            match self.watch_response(&p.prefix, p.from_revision) {
                Some(response) => completed.push((p.caller, response)),
                None if now >= p.deadline => {
                    let body = format!(r#"{{"epoch":{},"events":[]}}"#, self.revision);
                    completed.push((p.caller, (200, body)));
                }
                None => rest.push(p),
            }
        }
        self.pending_watches = rest;
        completed
    }

    /// Handles a request of a controller. `None` means that there is no response yet: a watch waits for a change, or
    /// hangs.
    pub fn handle_request(
        &mut self,
        now: Micros,
        controller: usize,
        method: &str,
        path: &str,
        body: &[u8],
        caller: T,
    ) -> Option<(T, Response)> {
        self.expire_leases(now);
        self.requests_received += 1;
        let error = |status: u16, message: &str| (status, format!(r#"{{"error":"{message}"}}"#));
        if self.refuses(now, controller) {
            return Some((caller, error(503, "trouble")));
        }
        if !self.request_budget.try_take(now, 1.0) {
            return Some((caller, error(429, "too many requests")));
        }
        if let Some(q) = path.strip_prefix("/watch?") {
            if self
                .watches_hang_until
                .get(&controller)
                .is_some_and(|t| now < *t)
            {
                return None;
            }
            let prefix = query_parameter(q, "prefix").to_owned();
            let from = query_parameter(q, "from").parse().unwrap_or(0);
            if let Some(response) = self.watch_response(&prefix, from) {
                return Some((caller, response));
            }
            let block: u64 = query_parameter(q, "blockMs").parse().unwrap_or(0);
            self.pending_watches.push(PendingWatch {
                caller,
                controller,
                prefix,
                from_revision: from,
                deadline: now + block.min(60_000) * 1_000,
            });
            return None;
        }
        let response = match (method, path) {
            ("POST", "/txn") => self.apply_transaction(now, body),
            ("POST", "/grants") => {
                #[derive(Deserialize)]
                struct LeaseRequest {
                    #[serde(rename = "ttlMs")]
                    ttl_ms: u64,
                }
                match serde_json::from_slice::<LeaseRequest>(body) {
                    Ok(request) if (100..=600_000).contains(&request.ttl_ms) => {
                        self.next_lease += 1;
                        let ttl = request.ttl_ms * 1_000;
                        let expires_at = now + ttl;
                        self.leases
                            .insert(self.next_lease, Lease { ttl, expires_at });
                        (200, format!(r#"{{"permit":{}}}"#, self.next_lease))
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
                match self.leases.get_mut(&id) {
                    None => error(404, "no such lease"),
                    Some(_) if method == "DELETE" => {
                        self.delete_lease(id);
                        (200, "{}".to_owned())
                    }
                    Some(lease) => {
                        lease.expires_at = now + lease.ttl;
                        (200, format!(r#"{{"permit":{id}}}"#))
                    }
                }
            }
            ("GET", p) if p.starts_with("/store?") => self.list_keys(&p["/store?".len()..]),
            ("GET", p) => match p
                .strip_prefix("/store/")
                .and_then(|p| self.keys.get_key_value(p))
            {
                Some((path, k)) => (
                    200,
                    format!(
                        r#"{{"path":{},"value":{},"stamp":{}}}"#,
                        json_string(path),
                        k.value,
                        k.mod_revision
                    ),
                ),
                None => (404, format!(r#"{{"epoch":{}}}"#, self.revision)),
            },
            _ => error(400, "malformed"),
        };
        Some((caller, response))
    }

    /// Lists the keys with a prefix, page by page.
    fn list_keys(&self, q: &str) -> Response {
        let (prefix, from) = (query_parameter(q, "prefix"), query_parameter(q, "from"));
        let limit: usize = query_parameter(q, "limit").parse().unwrap_or(1_000);
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
            if count >= limit.min(1_000) || items.len() > LIST_BYTES_MAX {
                truncated = true;
                break;
            }
            if count > 0 {
                items.push(',');
            }
            count += 1;
            items.push_str(&format!(
                r#"{{"path":{},"value":{},"stamp":{}}}"#,
                json_string(path),
                k.value,
                k.mod_revision
            ));
        }
        let revision = self.revision;
        (
            200,
            format!(r#"{{"items":[{items}],"truncated":{truncated},"epoch":{revision}}}"#),
        )
    }

    /// Applies a transaction if all its preconditions hold.
    pub fn apply_transaction(&mut self, now: Micros, body: &[u8]) -> Response {
        let error = |status: u16, message: &str| (status, format!(r#"{{"error":"{message}"}}"#));
        let Ok(txn) = serde_json::from_slice::<TransactionRequest>(body) else {
            return error(400, "malformed");
        };
        let value_bytes = (self.limits.value_kb * 1024.0) as usize;
        let large = |c: &Operation| {
            c.value
                .as_ref()
                .is_some_and(|v| v.get().len() > value_bytes)
        };
        if txn.operations.len() > self.limits.txn_ops
            || txn.preconditions.len() > 4 * self.limits.txn_ops
            || body.len() > TRANSACTION_BYTES_MAX
            || txn.operations.iter().any(large)
        {
            return error(400, "too large");
        }
        if !self.write_budget.try_take(now, txn.operations.len() as f64) {
            return error(429, "too many changes");
        }
        let leased = txn.operations.iter().filter_map(|c| c.lease_id);
        if leased.into_iter().any(|p| !self.leases.contains_key(&p)) {
            return error(400, "no such lease");
        }
        let mod_revision = |path: &str| self.keys.get(path).map_or(0, |k| k.mod_revision);
        let failed = txn
            .preconditions
            .iter()
            .filter(|c| mod_revision(&c.path) != c.mod_revision);
        let failed: Vec<String> = failed.map(|c| json_string(&c.path)).collect();
        if !failed.is_empty() {
            let (failed, revision) = (failed.join(","), self.revision);
            return (
                409,
                format!(r#"{{"failed":[{failed}],"epoch":{revision}}}"#),
            );
        }
        if !txn.operations.is_empty() {
            self.revision += 1;
        }
        for c in txn.operations {
            if let (Some(path), Some(value)) = (c.set, c.value) {
                let key = Entry {
                    value: value.clone(),
                    mod_revision: self.revision,
                    lease: c.lease_id,
                };
                let old = self.keys.insert(path.clone(), key);
                self.record_change(path, old, Some(value));
            } else if let Some(path) = c.delete
                && let Some(old) = self.keys.remove(&path)
            {
                self.record_change(path, Some(old), None);
            }
        }
        (200, format!(r#"{{"epoch":{}}}"#, self.revision))
    }
}

/// Returns the value of a query parameter, or an empty string. The controllers escape nothing.
fn query_parameter<'a>(query: &'a str, name: &str) -> &'a str {
    query
        .split('&')
        .filter_map(|p| p.split_once('='))
        .find(|p| p.0 == name)
        .map_or("", |p| p.1)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_lease_gets_its_full_ttl_after_an_outage_and_its_keys_are_deleted_at_its_expiry() {
        let mut s: StateService<()> = StateService::new(&Limits::default());
        let post = |s: &mut StateService<()>, at, body: &str, path: &str| {
            s.handle_request(at, 0, "POST", path, body.as_bytes(), ())
                .map(|a| a.1)
                .expect("a response")
        };
        assert_eq!(post(&mut s, 0, r#"{"ttlMs":1000}"#, "/grants").0, 200);
        let set = r#"{"if":[{"path":"a","stamp":0}],"apply":[{"set":"a","value":1,"permit":1}]}"#;
        assert_eq!(post(&mut s, 0, set, "/txn").0, 200);
        assert_eq!(post(&mut s, 1, set, "/txn").0, 409);
        s.start_outage(500_000, 9_000_000);
        assert_eq!(post(&mut s, 8_999_999, set, "/txn").0, 503);
        s.expire_leases(9_900_000);
        assert!(s.keys.contains_key("a"));
        s.expire_leases(10_000_000);
        assert!(s.keys.is_empty());
        assert_eq!(
            post(&mut s, 10_000_000, set, "/txn").0,
            400,
            "no such lease"
        );
        let response = s
            .watch_response("a", 1)
            .expect("the watch reports the deletion");
        assert!(response.1.contains(r#""delete":"a""#));
        s.compact_change_log();
        s.revision += 1;
        assert_eq!(s.watch_response("a", 1).map(|a| a.0), Some(410));
    }
}
