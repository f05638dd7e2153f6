//! The state service, in memory: leases, transactions with preconditions, and watches. Tests can lose or delay its
//! answers.

use super::json_reply;
use dewramp::clock::Micros;
use dewramp::messages::Outcome;
use dewramp::seeded_hash::HashMap;
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// Keys with their history, and the faults that a test has injected.
#[derive(Default)]
pub struct FakeStateService {
    /// Value, `mod_revision` and lease by key.
    pub keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    pub revision: u64,
    /// When each lease expires.
    pub leases: BTreeMap<u64, Micros>,
    pub lease_ttls: HashMap<u64, Micros>,
    /// All changes: revision, key, and the value or `None` for a deletion.
    change_log: Vec<(u64, String, Option<Value>)>,
    pub last_lease_id: u64,
    /// It answers 503 to every request, except watches, which stay open.
    pub down: bool,
    /// The next watch of the jobs is answered 410, as if its revision were compacted.
    pub compacts_before_next_watch: bool,
    /// Number of requests, without watches and those for leases.
    pub request_count: usize,
    /// Number of transactions rejected for their size.
    pub rejected_transactions: usize,
    /// The maximum size of a value in bytes and number of changes in a transaction, if other than 16 KiB and 20.
    pub limits: Option<(usize, usize)>,
    /// Transactions whose changes contain this text are not executed, get no answer and are kept in
    /// `held_transactions`.
    pub hold_transactions_with: Option<&'static str>,
    pub held_transactions: Vec<Value>,
    /// So many transactions whose changes contain this text are executed at once, and only their answers are lost.
    pub lose_answers_with: Option<(&'static str, usize)>,
    /// The transactions with changes that were applied.
    pub applied_transactions: Vec<Value>,
    /// Watches without a prefix, for the changes of all keys, are rejected.
    pub rejects_unprefixed_watches: bool,
    /// This transaction is executed right after the keys with this prefix are next read.
    pub transaction_after_list: Option<(&'static str, Value)>,
}

impl FakeStateService {
    fn expire_leases(&mut self, now: Micros) {
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, expires_at)| **expires_at <= now)
            .map(|lease| *lease.0)
            .collect();
        for lease in expired {
            self.end_lease(lease);
        }
    }

    /// Ends a lease and deletes its keys.
    pub fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let deleted: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, stored)| stored.2 == Some(lease))
            .map(|key| key.0.clone())
            .collect();
        for key in deleted {
            self.revision += 1;
            self.keys.remove(&key);
            self.change_log.push((self.revision, key, None));
        }
    }

    /// Executes a transaction: 409 if a precondition fails, 400 if it is too large or a lease is missing.
    pub fn txn(&mut self, body: &Value) -> (u16, Value) {
        let mut failed = Vec::new();
        for condition in body["if"].as_array().unwrap() {
            let path = condition["path"].as_str().unwrap();
            let mod_revision = self.keys.get(path).map_or(0, |stored| stored.1);
            if mod_revision != condition["stamp"].as_u64().unwrap() {
                failed.push(path.to_owned());
            }
        }
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "epoch": self.revision}));
        }
        for change in body["apply"].as_array().unwrap() {
            if let Some(lease) = change["permit"].as_u64()
                && !self.leases.contains_key(&lease)
            {
                return (400, json!({"error": "no such lease"}));
            }
        }
        let changes = body["apply"].as_array().unwrap();
        let (value_bytes_max, changes_max) = self.limits.unwrap_or((16 * 1024, 20));
        let too_large = |change: &Value| change["value"].to_string().len() > value_bytes_max;
        let conditions = body["if"].as_array().unwrap().len();
        if changes.len() > changes_max
            || conditions > 4 * changes_max
            || changes.iter().any(too_large)
        {
            self.rejected_transactions += 1;
            return (400, json!({"error": "too large"}));
        }
        self.revision += 1;
        for change in body["apply"].as_array().unwrap() {
            if let Some(path) = change["set"].as_str() {
                self.keys.insert(
                    path.to_owned(),
                    (
                        change["value"].clone(),
                        self.revision,
                        change["permit"].as_u64(),
                    ),
                );
                self.change_log.push((
                    self.revision,
                    path.to_owned(),
                    Some(change["value"].clone()),
                ));
            } else if let Some(path) = change["delete"].as_str()
                && self.keys.remove(path).is_some()
            {
                self.change_log.push((self.revision, path.to_owned(), None));
            }
        }
        (200, json!({"epoch": self.revision}))
    }

    /// Lets a copy of every transaction that was applied arrive again; returns those that changed what is stored.
    pub fn repeat_applied_transactions(&mut self) -> Vec<Value> {
        let transactions = self.applied_transactions.clone();
        let mut effective = Vec::new();
        for body in transactions {
            let stored_before = self.keys.clone();
            self.txn(&body);
            if self.keys != stored_before {
                effective.push(body);
            }
        }
        effective
    }

    fn changes_since(&self, prefix: &str, from: u64) -> Vec<Value> {
        self.change_log
            .iter()
            .filter(|(revision, key, _)| *revision > from && key.starts_with(prefix))
            .map(|(revision, key, value)| match value {
                Some(value) => json!({"set": key, "value": value, "stamp": revision}),
                None => json!({"delete": key, "stamp": revision}),
            })
            .collect()
    }

    /// Handles a request. `None` for a watch without changes to report, which stays open.
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
            let params = parse_query(path);
            if self.rejects_unprefixed_watches && params["prefix"].is_empty() {
                return Some(json_reply(400, json!({"error": "prefix expected"})));
            }
            if self.compacts_before_next_watch && params["prefix"] == "job/" {
                self.compacts_before_next_watch = false;
                return Some(json_reply(410, json!({})));
            }
            let events = self.changes_since(&params["prefix"], params["from"].parse().unwrap());
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
                let (status, answer) = self.txn(&body);
                if status == 200 && body["apply"] != json!([]) {
                    self.applied_transactions.push(body.clone());
                }
                if status == 200
                    && let Some((text, remaining)) = &mut self.lose_answers_with
                    && *remaining > 0
                    && body["apply"].to_string().contains(*text)
                {
                    *remaining -= 1;
                    return Some(Outcome::Lost);
                }
                json_reply(status, answer)
            }
            ("POST", "/grants") => {
                self.last_lease_id += 1;
                let ttl = body["ttlMs"].as_u64().unwrap() * 1000;
                self.lease_ttls.insert(self.last_lease_id, ttl);
                self.leases.insert(self.last_lease_id, now + ttl);
                json_reply(200, json!({"permit": self.last_lease_id}))
            }
            (_, path) if path.starts_with("/grants/") => {
                let id: u64 = path.split('/').nth(2).unwrap().parse().unwrap();
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
            (_, path) if path.starts_with("/store?") => {
                let params = parse_query(path);
                let items: Vec<Value> = self
                    .keys
                    .iter()
                    .filter(|(key, _)| key.starts_with(&params["prefix"]))
                    .map(|(key, stored)| json!({"path": key, "value": stored.0, "stamp": stored.1}))
                    .collect();
                let page = json!({"items": items, "truncated": false, "epoch": self.revision});
                if let Some((_, body)) = self
                    .transaction_after_list
                    .take_if(|transaction| transaction.0 == params["prefix"])
                {
                    assert_eq!(self.txn(&body).0, 200);
                }
                json_reply(200, page)
            }
            (_, path) => match self.keys.get(path.trim_start_matches("/store/")) {
                Some(stored) => json_reply(
                    200,
                    json!({"path": path.trim_start_matches("/store/"), "value": stored.0, "stamp": stored.1}),
                ),
                None => json_reply(404, json!({"epoch": self.revision})),
            },
        })
    }
}

fn parse_query(path: &str) -> HashMap<String, String> {
    let text = path.split_once('?').unwrap().1;
    text.split('&')
        .filter_map(|parameter| parameter.split_once('='))
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}
