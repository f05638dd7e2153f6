//! Client of the state service: keeps to this node's share of the request and write budgets,
//! repeats what surely was not executed, and never repeats what may have been.

use crate::clock::{MILLI, Micros, SECOND};
use crate::net::{Outcome, Output, Ticket};
use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

#[derive(Clone, Debug)]
pub enum Op {
    Get(String),
    List {
        prefix: &'static str,
        after: String,
        limit: usize,
    },
    Txn(Txn),
    Watch {
        prefix: &'static str,
        from: u64,
        block: Micros,
    },
    Grant {
        ttl: Micros,
    },
    Extend(u64),
    Drop(u64),
}

/// A transaction under construction.
#[derive(Clone, Debug, Default)]
pub struct Txn {
    pub conditions: Vec<(String, u64)>,
    pub changes: Vec<Change>,
}

#[derive(Clone, Debug)]
pub enum Change {
    Set {
        path: String,
        value: Value,
        permit: Option<u64>,
    },
    Delete(String),
}

impl Txn {
    pub fn require(mut self, path: impl Into<String>, stamp: u64) -> Self {
        self.conditions.push((path.into(), stamp));
        self
    }

    pub fn set(mut self, path: impl Into<String>, value: Value) -> Self {
        self.changes.push(Change::Set {
            path: path.into(),
            value,
            permit: None,
        });
        self
    }

    pub fn set_leased(mut self, path: impl Into<String>, value: Value, permit: u64) -> Self {
        self.changes.push(Change::Set {
            path: path.into(),
            value,
            permit: Some(permit),
        });
        self
    }

    pub fn delete(mut self, path: impl Into<String>) -> Self {
        self.changes.push(Change::Delete(path.into()));
        self
    }

    fn body(&self) -> Value {
        let conditions: Vec<Value> = self
            .conditions
            .iter()
            .map(|(path, stamp)| json!({"path": path, "stamp": stamp}))
            .collect();
        let changes: Vec<Value> = self
            .changes
            .iter()
            .map(|c| match c {
                Change::Set {
                    path,
                    value,
                    permit: None,
                } => json!({"set": path, "value": value}),
                Change::Set {
                    path,
                    value,
                    permit: Some(p),
                } => json!({"set": path, "value": value, "permit": p}),
                Change::Delete(path) => json!({"delete": path}),
            })
            .collect();
        json!({"if": conditions, "apply": changes})
    }
}

#[derive(Clone, Debug, Deserialize)]
pub struct Item {
    pub path: String,
    pub value: Value,
    pub stamp: u64,
}

/// One change told by a watch.
#[derive(Clone, Debug)]
pub struct Event {
    pub path: String,
    /// None: the key was deleted.
    pub value: Option<Value>,
    pub stamp: u64,
}

#[derive(Clone, Debug)]
pub enum Reply {
    Item(Item),
    Absent,
    Items {
        items: Vec<Item>,
        truncated: bool,
        epoch: u64,
    },
    Applied {
        epoch: u64,
    },
    Conflict {
        failed: Vec<String>,
    },
    Events {
        events: Vec<Event>,
        epoch: u64,
    },
    /// A watch started too far back: read the keys again.
    TooOld,
    Granted {
        permit: u64,
    },
    Done,
    /// Surely not executed.
    Unavailable,
    /// May have been executed, or may still be.
    Lost,
    /// Refused as malformed, or an expired grant.
    Refused(String),
}

struct Pending<P> {
    purpose: P,
    op: Op,
    until: Micros,
    not_before: Micros,
    /// When it was last sent.
    sent: Micros,
}

struct Bucket {
    level: f64,
    rate: f64,
    at: Micros,
}

impl Bucket {
    fn new(rate: f64) -> Self {
        Self {
            level: rate,
            rate,
            at: 0,
        }
    }

    fn refill(&mut self, now: Micros) {
        let gained = now.saturating_sub(self.at) as f64 / 1e6 * self.rate;
        self.at = now;
        self.level = (self.level + gained).min(self.rate);
    }
}

pub struct Store<P> {
    addr: SocketAddr,
    requests: Bucket,
    writes: Bucket,
    rps: f64,
    write_rps: f64,
    nodes: f64,
    queue: VecDeque<Pending<P>>,
    flying: HashMap<Ticket, Pending<P>>,
}

const CALL_TIME: Micros = 2 * SECOND;

impl<P> Store<P> {
    pub fn new(addr: SocketAddr, rps: f64, write_rps: f64, nodes: usize) -> Self {
        let nodes = nodes.max(1) as f64;
        Self {
            addr,
            requests: Bucket::new(rps / nodes),
            writes: Bucket::new(write_rps / nodes),
            rps,
            write_rps,
            nodes,
            queue: VecDeque::new(),
            flying: HashMap::new(),
        }
    }

    /// The leader writes for all, so it takes the larger share of the budget.
    pub fn set_leading(&mut self, leading: bool) {
        let share = match (leading, self.nodes as u32) {
            (_, 1) => 1.0,
            (true, _) => 0.5,
            (false, _) => 0.5 / (self.nodes - 1.0),
        };
        self.requests.rate = self.rps * share;
        self.writes.rate = self.write_rps * share;
    }

    /// Asks; `patience` bounds how long a surely unexecuted request is repeated.
    pub fn ask(&mut self, now: Micros, purpose: P, op: Op, patience: Micros) {
        self.queue.push_back(Pending {
            purpose,
            op,
            until: now + patience,
            not_before: now,
            sent: 0,
        });
    }

    pub fn wake_at(&self) -> Option<Micros> {
        let head = self.queue.iter().map(|p| p.not_before).min()?;
        let short = self.requests.level < 1.0 || self.writes.level < 1.0;
        Some(if short {
            head.max(self.requests.at + 10 * MILLI)
        } else {
            head
        })
    }

    /// Sends what the budget allows; returns what ran out of patience unsent.
    pub fn pump(
        &mut self,
        now: Micros,
        tickets: &mut Ticket,
        out: &mut Vec<Output>,
    ) -> Vec<(P, Reply)> {
        self.requests.refill(now);
        self.writes.refill(now);
        let mut over = Vec::new();
        let mut kept = VecDeque::new();
        while let Some(mut p) = self.queue.pop_front() {
            // The grant must live on whatever else is going on, so it goes past the budget.
            let vital = matches!(p.op, Op::Extend(_) | Op::Grant { .. } | Op::Drop(_));
            let writes = if let Op::Txn(t) = &p.op {
                t.changes.len() as f64
            } else {
                0.0
            };
            let affordable = self.requests.level >= 1.0
                && self.writes.level >= writes.min(self.writes.rate.max(1.0));
            if !vital && p.until < now {
                over.push((p.purpose, Reply::Unavailable));
            } else if p.not_before > now || !(vital || affordable) {
                kept.push_back(p);
            } else {
                self.requests.level -= 1.0;
                self.writes.level -= writes;
                *tickets += 1;
                let (method, path, body, timeout) = encode(&p.op);
                out.push(Output::Call {
                    ticket: *tickets,
                    dest: self.addr,
                    method,
                    path,
                    body,
                    timeout,
                });
                p.sent = now;
                self.flying.insert(*tickets, p);
            }
        }
        self.queue = kept;
        over
    }

    /// Takes the outcome of a call; None when the request will be repeated or isn't ours.
    /// The time is that of sending.
    pub fn answer(
        &mut self,
        now: Micros,
        ticket: Ticket,
        outcome: &Outcome,
    ) -> Option<(P, Reply, Micros)> {
        let mut p = self.flying.remove(&ticket)?;
        let reply = match outcome {
            Outcome::Reply { status: 429, .. } => {
                self.requests.level = self.requests.level.min(0.0);
                p.not_before = now + 40 * MILLI;
                self.queue.push_back(p);
                return None;
            }
            Outcome::NotSent => Reply::Unavailable,
            Outcome::Lost => Reply::Lost,
            Outcome::Reply { status, body } => decode(&p.op, *status, body),
        };
        if matches!(reply, Reply::Unavailable) && now + 250 * MILLI < p.until {
            p.not_before = now + 200 * MILLI;
            self.queue.push_back(p);
            return None;
        }
        Some((p.purpose, reply, p.sent))
    }

    pub fn owns(&self, ticket: Ticket) -> bool {
        self.flying.contains_key(&ticket)
    }
}

fn encode(op: &Op) -> (&'static str, String, Vec<u8>, Micros) {
    let none = Vec::new;
    match op {
        Op::Get(path) => ("GET", format!("/store/{path}"), none(), CALL_TIME),
        Op::List {
            prefix,
            after,
            limit,
        } if after.is_empty() => (
            "GET",
            format!("/store?prefix={prefix}&limit={limit}"),
            none(),
            CALL_TIME,
        ),
        Op::List {
            prefix,
            after,
            limit,
        } => (
            "GET",
            format!("/store?prefix={prefix}&from={after}&limit={limit}"),
            none(),
            CALL_TIME,
        ),
        Op::Txn(t) => (
            "POST",
            "/txn".to_owned(),
            t.body().to_string().into_bytes(),
            CALL_TIME,
        ),
        Op::Watch {
            prefix,
            from,
            block,
        } => (
            "GET",
            format!(
                "/watch?prefix={prefix}&from={from}&blockMs={}",
                block / MILLI
            ),
            none(),
            block + 3 * SECOND,
        ),
        Op::Grant { ttl } => (
            "POST",
            "/grants".to_owned(),
            json!({"ttlMs": ttl / MILLI}).to_string().into_bytes(),
            CALL_TIME,
        ),
        Op::Extend(id) => ("POST", format!("/grants/{id}/extend"), none(), SECOND),
        Op::Drop(id) => ("DELETE", format!("/grants/{id}"), none(), CALL_TIME),
    }
}

fn decode(op: &Op, status: u16, body: &[u8]) -> Reply {
    let parsed = || serde_json::from_slice::<Value>(body).unwrap_or(Value::Null);
    let refused =
        || Reply::Refused(String::from_utf8_lossy(&body[..body.len().min(200)]).into_owned());
    match (op, status) {
        (_, 503) => Reply::Unavailable,
        (Op::Get(_), 200) => match serde_json::from_slice::<Item>(body) {
            Ok(item) => Reply::Item(item),
            Err(_) => refused(),
        },
        (Op::Get(_), 404) => Reply::Absent,
        (Op::List { .. }, 200) => {
            #[derive(Deserialize)]
            struct Listed {
                items: Vec<Item>,
                #[serde(default)]
                truncated: bool,
                epoch: u64,
            }
            match serde_json::from_slice::<Listed>(body) {
                Ok(l) => Reply::Items {
                    items: l.items,
                    truncated: l.truncated,
                    epoch: l.epoch,
                },
                Err(_) => refused(),
            }
        }
        (Op::Txn(_), 200) => match parsed()["epoch"].as_u64() {
            Some(epoch) => Reply::Applied { epoch },
            // Applied, but at which revision we don't know: the reader must look again.
            None => Reply::Lost,
        },
        (Op::Txn(_), 409) => {
            let failed = parsed()["failed"]
                .as_array()
                .map(|a| {
                    a.iter()
                        .filter_map(|p| p.as_str().map(str::to_owned))
                        .collect()
                })
                .unwrap_or_default();
            Reply::Conflict { failed }
        }
        (Op::Watch { .. }, 200) => {
            let v = parsed();
            let Some(epoch) = v["epoch"].as_u64() else {
                return refused();
            };
            let events = v["events"]
                .as_array()
                .map(Vec::as_slice)
                .unwrap_or_default();
            let events = events
                .iter()
                .filter_map(|e| {
                    let stamp = e["stamp"].as_u64()?;
                    if let Some(path) = e["set"].as_str() {
                        Some(Event {
                            path: path.to_owned(),
                            value: Some(e["value"].clone()),
                            stamp,
                        })
                    } else {
                        Some(Event {
                            path: e["delete"].as_str()?.to_owned(),
                            value: None,
                            stamp,
                        })
                    }
                })
                .collect();
            Reply::Events { events, epoch }
        }
        (Op::Watch { .. }, 410) => Reply::TooOld,
        (Op::Grant { .. }, 200) => match parsed()["permit"].as_u64() {
            Some(permit) => Reply::Granted { permit },
            None => refused(),
        },
        (Op::Extend(_) | Op::Drop(_), 200..=299) => Reply::Done,
        (Op::Extend(_) | Op::Drop(_), 404) => Reply::Absent,
        _ => refused(),
    }
}
