//! The state service by the protocol, in memory: grants, conditional transactions, watches; answers lost or late.

use super::json_reply;
use dewramp::clock::Micros;
use dewramp::messages::Outcome;
use dewramp::seeded_hash::HashMap;
use serde_json::{Value, json};
use std::collections::BTreeMap;

#[derive(Default)]
pub struct FakeStateService {
    pub keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    pub revision: u64,
    pub leases: BTreeMap<u64, Micros>,
    pub lease_ttls: HashMap<u64, Micros>,
    change_log: Vec<(u64, String, Option<Value>)>,
    pub last_lease_id: u64,
    pub down: bool,
    /// The next watch on jobs is told that it started too far back.
    pub compacts_before_next_watch: bool,
    /// Requests other than watches and grants.
    pub request_count: usize,
    /// Transactions refused for their size.
    pub rejected_transactions: usize,
    /// The largest value in bytes and the most changes of a transaction, if not the first ones.
    pub limits: Option<(usize, usize)>,
    /// Transactions that touch a key with this text get no answer and wait in `late`.
    pub hold_transactions_with: Option<&'static str>,
    pub held_transactions: Vec<Value>,
    /// So many transactions that touch a key with this text are carried out at once, and only their answers are
    /// lost.
    pub lose_answers_with: Option<(&'static str, usize)>,
    /// Changes of all keys at once are not told: such watches are refused.
    pub rejects_unprefixed_watches: bool,
    /// Right after a list of these keys is read, the next transaction in `between` is carried out.
    pub transaction_after_list: Option<(&'static str, Value)>,
}

impl FakeStateService {
    fn expire_leases(&mut self, now: Micros) {
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, t)| **t <= now)
            .map(|g| *g.0)
            .collect();
        for g in over {
            self.end_lease(g);
        }
    }

    pub fn end_lease(&mut self, g: u64) {
        self.leases.remove(&g);
        let gone: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, v)| v.2 == Some(g))
            .map(|k| k.0.clone())
            .collect();
        for k in gone {
            self.revision += 1;
            self.keys.remove(&k);
            self.change_log.push((self.revision, k, None));
        }
    }

    pub fn txn(&mut self, body: &Value) -> (u16, Value) {
        let mut failed = Vec::new();
        for c in body["if"].as_array().unwrap() {
            let path = c["path"].as_str().unwrap();
            let mod_revision = self.keys.get(path).map_or(0, |k| k.1);
            if mod_revision != c["stamp"].as_u64().unwrap() {
                failed.push(path.to_owned());
            }
        }
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "epoch": self.revision}));
        }
        for a in body["apply"].as_array().unwrap() {
            if let Some(p) = a["permit"].as_u64()
                && !self.leases.contains_key(&p)
            {
                return (400, json!({"error": "no such lease"}));
            }
        }
        let changes = body["apply"].as_array().unwrap();
        let (value, ops) = self.limits.unwrap_or((16 * 1024, 20));
        let too_large = |a: &Value| a["value"].to_string().len() > value;
        let conditions = body["if"].as_array().unwrap().len();
        if changes.len() > ops || conditions > 4 * ops || changes.iter().any(too_large) {
            self.rejected_transactions += 1;
            return (400, json!({"error": "too large"}));
        }
        self.revision += 1;
        for a in body["apply"].as_array().unwrap() {
            if let Some(path) = a["set"].as_str() {
                self.keys.insert(
                    path.to_owned(),
                    (a["value"].clone(), self.revision, a["permit"].as_u64()),
                );
                self.change_log
                    .push((self.revision, path.to_owned(), Some(a["value"].clone())));
            } else if let Some(path) = a["delete"].as_str()
                && self.keys.remove(path).is_some()
            {
                self.change_log.push((self.revision, path.to_owned(), None));
            }
        }
        (200, json!({"epoch": self.revision}))
    }

    fn changes_since(&self, prefix: &str, from: u64) -> Vec<Value> {
        self.change_log
            .iter()
            .filter(|(e, k, _)| *e > from && k.starts_with(prefix))
            .map(|(e, k, v)| match v {
                Some(v) => json!({"set": k, "value": v, "stamp": e}),
                None => json!({"delete": k, "stamp": e}),
            })
            .collect()
    }

    pub fn handle_request(
        &mut self,
        now: Micros,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Option<Outcome> {
        self.expire_leases(now);
        let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        if path.starts_with("/watch") {
            let q = parse_query(path);
            if self.rejects_unprefixed_watches && q["prefix"].is_empty() {
                return Some(json_reply(400, json!({"error": "prefix expected"})));
            }
            if self.compacts_before_next_watch && q["prefix"] == "job/" {
                self.compacts_before_next_watch = false;
                return Some(json_reply(410, json!({})));
            }
            let events = self.changes_since(&q["prefix"], q["from"].parse().unwrap());
            if events.is_empty() || self.down {
                return None;
            }
            return Some(json_reply(
                200,
                json!({"epoch": self.revision, "events": events}),
            ));
        }
        if self.down {
            return Some(json_reply(503, json!({})));
        }
        self.request_count += usize::from(!path.starts_with("/grants"));
        Some(match (method, path) {
            ("POST", "/txn") => {
                if let Some(text) = self.hold_transactions_with
                    && body["apply"].to_string().contains(text)
                {
                    self.held_transactions.push(body);
                    return Some(Outcome::Lost);
                }
                let (s, b) = self.txn(&body);
                if s == 200
                    && let Some((text, left)) = &mut self.lose_answers_with
                    && *left > 0
                    && body["apply"].to_string().contains(*text)
                {
                    *left -= 1;
                    return Some(Outcome::Lost);
                }
                json_reply(s, b)
            }
            ("POST", "/grants") => {
                self.last_lease_id += 1;
                let ttl = body["ttlMs"].as_u64().unwrap() * 1000;
                self.lease_ttls.insert(self.last_lease_id, ttl);
                self.leases.insert(self.last_lease_id, now + ttl);
                json_reply(200, json!({"permit": self.last_lease_id}))
            }
            (_, p) if p.starts_with("/grants/") => {
                let id: u64 = p.split('/').nth(2).unwrap().parse().unwrap();
                if !self.leases.contains_key(&id) {
                    json_reply(404, json!({}))
                } else if method == "DELETE" {
                    self.end_lease(id);
                    json_reply(200, json!({}))
                } else {
                    self.leases.insert(id, now + self.lease_ttls[&id]);
                    json_reply(200, json!({"permit": id}))
                }
            }
            (_, p) if p.starts_with("/store?") => {
                let q = parse_query(p);
                let items: Vec<Value> = self
                    .keys
                    .iter()
                    .filter(|(k, _)| k.starts_with(&q["prefix"]))
                    .map(|(k, v)| json!({"path": k, "value": v.0, "stamp": v.1}))
                    .collect();
                let told = json!({"items": items, "truncated": false, "epoch": self.revision});
                if let Some((_, body)) = self.transaction_after_list.take_if(|b| b.0 == q["prefix"])
                {
                    assert_eq!(self.txn(&body).0, 200);
                }
                json_reply(200, told)
            }
            (_, p) => match self.keys.get(p.trim_start_matches("/store/")) {
                Some(v) => json_reply(
                    200,
                    json!({"path": p.trim_start_matches("/store/"), "value": v.0, "stamp": v.1}),
                ),
                None => json_reply(404, json!({"epoch": self.revision})),
            },
        })
    }
}

fn parse_query(path: &str) -> HashMap<String, String> {
    let text = path.split_once('?').unwrap().1;
    text.split('&')
        .filter_map(|p| p.split_once('='))
        .map(|(a, b)| (a.to_owned(), b.to_owned()))
        .collect()
}
