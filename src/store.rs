//! Client of the state service: keeps to this node's share of the request and write budgets,
//! repeats what surely was not executed, and never repeats what may have been.

use crate::clock::{MILLI, Micros, SECOND};
use crate::maps::HashMap;
use crate::net::{Outcome, Output, Ticket};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// A JSON value as text: it is written once and parsed only by those that need it.
pub type Raw = Box<RawValue>;

/// The text of a value that is always representable as JSON.
pub fn raw(value: &impl Serialize) -> Raw {
    serde_json::value::to_raw_value(value).unwrap_or_else(|_| RawValue::NULL.to_owned())
}

/// Who goes first when the budget is short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// The grant must live on whatever else is going on, so it goes past the budget.
    Vital,
    /// Users' submissions and cancellations.
    User,
    /// The leader's own reads and writes.
    Leader,
    /// Polls and looks: they can be asked again.
    Look,
}

const RANKS: usize = 4;

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

#[derive(Clone, Debug, Serialize)]
#[serde(untagged)]
pub enum Change {
    Set {
        #[serde(rename = "set")]
        path: String,
        value: Raw,
        #[serde(skip_serializing_if = "Option::is_none")]
        permit: Option<u64>,
    },
    Delete {
        delete: String,
    },
}

impl Txn {
    pub fn require(mut self, path: impl Into<String>, stamp: u64) -> Self {
        self.conditions.push((path.into(), stamp));
        self
    }

    pub fn set(self, path: impl Into<String>, value: &impl Serialize) -> Self {
        self.set_raw(path, raw(value))
    }

    pub fn set_raw(mut self, path: impl Into<String>, value: Raw) -> Self {
        self.changes.push(Change::Set {
            path: path.into(),
            value,
            permit: None,
        });
        self
    }

    pub fn set_leased(
        mut self,
        path: impl Into<String>,
        value: &impl Serialize,
        permit: u64,
    ) -> Self {
        self.changes.push(Change::Set {
            path: path.into(),
            value: raw(value),
            permit: Some(permit),
        });
        self
    }

    pub fn delete(mut self, path: impl Into<String>) -> Self {
        self.changes.push(Change::Delete {
            delete: path.into(),
        });
        self
    }

    fn body(&self) -> Vec<u8> {
        #[derive(Serialize)]
        struct Condition<'a> {
            path: &'a str,
            stamp: u64,
        }
        #[derive(Serialize)]
        struct Body<'a> {
            r#if: Vec<Condition<'a>>,
            apply: &'a [Change],
        }
        let conditions = self.conditions.iter().map(|(path, stamp)| Condition {
            path,
            stamp: *stamp,
        });
        let body = Body {
            r#if: conditions.collect(),
            apply: &self.changes,
        };
        serde_json::to_vec(&body).unwrap_or_default()
    }
}

#[derive(Clone, Debug, Deserialize)]
pub struct Item {
    pub path: String,
    pub value: Raw,
    pub stamp: u64,
}

/// One change told by a watch.
#[derive(Clone, Debug)]
pub struct Event {
    pub path: String,
    /// None: the key was deleted.
    pub value: Option<Raw>,
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
    rank: Rank,
    op: Op,
    asked: Micros,
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
    /// By rank; within one, in the order asked.
    queues: [VecDeque<Pending<P>>; RANKS],
    flying: HashMap<Ticket, Pending<P>>,
    /// Since when answers fail to come; None once one has come.
    failing_since: Option<Micros>,
    /// When something was last asked only to see whether the trouble is over.
    tried_at: Micros,
    leading: bool,
    /// When a leader's write may next go before users'.
    turn_at: Micros,
    /// A transaction was refused as too large, or for the rate of changes: the limits may be
    /// lower than those that are kept to.
    refused: Refused,
}

/// What of its limits the state service has shown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Refused {
    pub size: bool,
    pub rate: bool,
}

/// How often a state service that fails is tried.
const PROBE_EVERY: Micros = 500 * MILLI;

/// A leader's write that has waited so long goes before users' changes at this node, and as soon as
/// nothing is owed: were the whole of it to be saved up first, its patience would be over.
const STARVED: Micros = 400 * MILLI;
/// After it the users have the node's changes to themselves for a while: in a burst of submissions what a
/// leader writes never ends either.
const TURN_EVERY: Micros = 2 * SECOND;

const CALL_TIME: Micros = 2 * SECOND;

impl<P> Store<P> {
    pub fn new(addr: SocketAddr, rps: f64, write_rps: f64, nodes: usize) -> Self {
        let nodes = nodes.max(1) as f64;
        let mut store = Self {
            addr,
            requests: Bucket::new(rps),
            writes: Bucket::new(write_rps),
            rps,
            write_rps,
            nodes,
            queues: Default::default(),
            flying: HashMap::default(),
            failing_since: None,
            tried_at: 0,
            leading: false,
            turn_at: 0,
            refused: Refused::default(),
        };
        store.set_leading(false);
        store
    }

    /// The leader writes for all, so it takes the larger share of the changes; polls and
    /// submissions come to all nodes alike.
    pub fn set_leading(&mut self, leading: bool) {
        self.leading = leading;
        let share = |leaders: f64| match (leading, self.nodes as u32) {
            (_, 1) => 1.0,
            (true, _) => leaders,
            (false, _) => (1.0 - leaders) / (self.nodes - 1.0),
        };
        (self.requests.rate, self.writes.rate) =
            (self.rps * share(0.5), self.write_rps * share(0.8));
    }

    /// Keeps to other limits from now on.
    pub fn set_rates(&mut self, rps: f64, write_rps: f64) {
        (self.rps, self.write_rps) = (rps, write_rps);
        self.set_leading(self.leading);
    }

    /// What was refused since this was last asked.
    pub fn take_refused(&mut self) -> Refused {
        std::mem::take(&mut self.refused)
    }

    /// Asks; `patience` bounds how long a surely unexecuted request is repeated.
    pub fn ask(&mut self, now: Micros, purpose: P, rank: Rank, op: Op, patience: Micros) {
        self.queues[rank as usize].push_back(Pending {
            purpose,
            rank,
            op,
            asked: now,
            until: now + patience,
            not_before: now,
            sent: 0,
        });
    }

    pub fn wake_at(&self) -> Option<Micros> {
        let waiting = self.queues.iter().flatten();
        let head = waiting.map(|p| p.not_before).min()?;
        let short = self.requests.level < 1.0 || self.writes.level < 1.0;
        Some(if short {
            head.max(self.requests.at + 10 * MILLI)
        } else {
            head
        })
    }

    /// Whether the state service has not answered since it last failed. Users' requests are then
    /// better answered by another node; were they to try, a service that is silent to us would keep
    /// each of them hanging for its whole time limit.
    pub fn failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// For how long no answer has come.
    pub fn failing_for(&self, now: Micros) -> Micros {
        self.failing_since.map_or(0, |t| now.saturating_sub(t))
    }

    /// Whether it is time to ask something, only to see whether the trouble is over.
    pub fn wants_probe(&mut self, now: Micros) -> bool {
        let wants = self.failing() && now >= self.tried_at + PROBE_EVERY;
        if wants {
            self.tried_at = now;
        }
        wants
    }

    /// Whether a look would be sent at once, with something left for submissions.
    pub fn can_look(&self, now: Micros) -> bool {
        let gained = now.saturating_sub(self.requests.at) as f64 / 1e6 * self.requests.rate;
        self.queues[Rank::Look as usize].is_empty()
            && (self.requests.level + gained).min(self.requests.rate) >= 2.0
    }

    /// How many questions of this rank still wait to be sent.
    pub fn waiting(&self, rank: Rank) -> usize {
        self.queues[rank as usize].len()
    }

    /// How many changes can be written at once before others have to wait.
    pub fn spare_changes(&self) -> f64 {
        self.writes.level
    }

    /// The changes a second that this node may write.
    pub fn change_rate(&self) -> f64 {
        self.writes.rate
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
        let mut blocked = false;
        // Users go first and on credit. While more of them come than there are changes, what the leader
        // writes (placements, for one: nothing starts before they are stored) would never have its turn.
        let writes = |p: &Pending<P>| matches!(&p.op, Op::Txn(t) if !t.changes.is_empty());
        let turn = now >= self.turn_at;
        let waited = |p: &Pending<P>, turn: bool| {
            let since = p.asked.max(p.not_before);
            turn && p.rank == Rank::Leader && writes(p) && now >= since + STARVED
        };
        let mut leaders = self.queues[Rank::Leader as usize].iter();
        let starved = leaders.any(|p| waited(p, turn));
        let mut turn = turn;
        for queue in &mut self.queues {
            let mut kept = VecDeque::new();
            while let Some(mut p) = queue.pop_front() {
                let vital = p.rank == Rank::Vital;
                let changes = match &p.op {
                    Op::Txn(t) => t.changes.len() as f64,
                    _ => 0.0,
                };
                // A user who waits may overdraw this node's share: the shares of the others are
                // seldom used up at the same moment, and it is paid back before anything else.
                let credit = if p.rank == Rank::User { 1.0 } else { 0.0 };
                // What waits for changes must not be overtaken by smaller ones without end.
                let yields = starved && p.rank == Rank::User && changes > 0.0;
                let affordable = !yields
                    && self.requests.level >= 1.0 - credit * self.rps / self.nodes
                    && (changes == 0.0
                        || (!blocked
                            && self.writes.level
                                >= if waited(&p, turn) {
                                    changes.min(1.0)
                                } else {
                                    changes.min(self.writes.rate)
                                        - credit * self.write_rps / self.nodes
                                }));
                if !vital && p.until < now {
                    over.push((p.purpose, Reply::Unavailable));
                } else if p.not_before > now || !(vital || affordable) {
                    blocked |= p.not_before <= now && changes > 0.0 && !yields;
                    kept.push_back(p);
                } else {
                    if waited(&p, turn) {
                        (turn, self.turn_at) = (false, now + TURN_EVERY);
                    }
                    self.requests.level -= 1.0;
                    self.writes.level -= changes;
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
            *queue = kept;
        }
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
                self.refused.rate |= matches!(&p.op, Op::Txn(t) if !t.changes.is_empty());
                self.requests.level = self.requests.level.min(0.0);
                p.not_before = now + 40 * MILLI;
                self.queues[p.rank as usize].push_back(p);
                return None;
            }
            Outcome::NotSent | Outcome::Refused => Reply::Unavailable,
            Outcome::Lost => Reply::Lost,
            Outcome::Reply { status, body } => decode(&p.op, *status, body),
        };
        if let (Op::Txn(_), Reply::Refused(reason)) = (&p.op, &reply) {
            self.refused.size |= !reason.contains("no such lease");
        }
        self.failing_since = match reply {
            Reply::Unavailable | Reply::Lost => self.failing_since.or(Some(now)),
            _ => None,
        };
        if matches!(reply, Reply::Unavailable) && now + 250 * MILLI < p.until {
            p.not_before = now + 200 * MILLI;
            self.queues[p.rank as usize].push_back(p);
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
        Op::Txn(t) => ("POST", "/txn".to_owned(), t.body(), CALL_TIME),
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
            #[derive(Deserialize)]
            struct Told {
                set: Option<String>,
                delete: Option<String>,
                value: Option<Raw>,
                stamp: u64,
            }
            #[derive(Deserialize)]
            struct Watched {
                epoch: u64,
                #[serde(default)]
                events: Vec<Told>,
            }
            let Ok(watched) = serde_json::from_slice::<Watched>(body) else {
                return refused();
            };
            let event = |e: Told| {
                let (path, value) = match (e.set, e.delete) {
                    (Some(path), _) => (path, Some(e.value.unwrap_or_else(|| raw(&())))),
                    (None, path) => (path?, None),
                };
                Some(Event {
                    path,
                    value,
                    stamp: e.stamp,
                })
            };
            Reply::Events {
                epoch: watched.epoch,
                events: watched.events.into_iter().filter_map(event).collect(),
            }
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

#[cfg(test)]
mod tests {
    use super::*;

    /// Users submit without pause at a node that leads; what the leader has to write has its turn, and so
    /// have they.
    #[test]
    fn users_that_never_cease_do_not_keep_a_leader_from_writing() {
        let addr = "10.2.0.1:2379".parse().expect("an address");
        let mut store: Store<&'static str> = Store::new(addr, 70.0, 25.0, 3);
        store.set_leading(true);
        let write = |changes: usize| {
            let txn = (0..changes).fold(Txn::default(), |t, n| t.set(format!("k/{n}"), &n));
            Op::Txn(txn)
        };
        let (mut tickets, mut sent) = (0, Vec::new());
        let mut by_leader = 0;
        for n in 0..500 {
            let now = SECOND + n * 20 * MILLI;
            store.ask(now, "user", Rank::User, write(2), 200 * MILLI);
            if store.waiting(Rank::Leader) == 0 {
                store.ask(now, "leader", Rank::Leader, write(12), SECOND);
            }
            let mut out = Vec::new();
            store.pump(now, &mut tickets, &mut out);
            for o in out {
                let Output::Call { ticket, .. } = o else {
                    continue;
                };
                let epoch = Outcome::Reply {
                    status: 200,
                    body: br#"{"epoch": 7}"#.to_vec(),
                };
                let answered = store.answer(now, ticket, &epoch);
                let (who, _, _) = answered.expect("an answer");
                by_leader += usize::from(who == "leader");
                sent.push(who);
            }
        }
        // Ten seconds at 20 changes a second.
        assert!(
            (5..=15).contains(&by_leader),
            "{by_leader} writes of the leader"
        );
        let users = sent.len() - by_leader;
        assert!(users >= 25, "{users} of users");
        assert!(users * 2 + by_leader * 12 <= 245, "the budget holds");
    }
}
