//! Client of the state service: keeps to this node's share of the request and write budgets,
//! repeats what surely was not executed, and never repeats what may have been.

use crate::clock::{MILLISECOND, Micros, SECOND};
use crate::messages::{Outcome, Output, Ticket};
use crate::seeded_hash::HashMap;
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
pub enum RequestPriority {
    /// The grant must live on whatever else is going on, so it goes past the budget.
    Vital,
    /// Users' submissions and cancellations.
    Client,
    /// The leader's own reads and writes.
    Leader,
    /// Polls and looks: they can be asked again.
    Background,
}

const PRIORITIES: usize = 4;

#[derive(Clone, Debug)]
pub enum Op {
    Get(String),
    List {
        prefix: &'static str,
        after: String,
        limit: usize,
    },
    Transaction(Transaction),
    Watch {
        prefix: &'static str,
        from: u64,
        block: Micros,
    },
    GrantLease {
        ttl: Micros,
    },
    RenewLease(u64),
    RevokeLease(u64),
}

/// A transaction under construction.
#[derive(Clone, Debug, Default)]
pub struct Transaction {
    pub preconditions: Vec<(String, u64)>,
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
        #[serde(rename = "permit")]
        lease_id: Option<u64>,
    },
    Delete {
        delete: String,
    },
}

impl Transaction {
    pub fn require_revision(mut self, path: impl Into<String>, mod_revision: u64) -> Self {
        self.preconditions.push((path.into(), mod_revision));
        self
    }

    pub fn set(self, path: impl Into<String>, value: &impl Serialize) -> Self {
        self.set_raw(path, raw(value))
    }

    pub fn set_raw(mut self, path: impl Into<String>, value: Raw) -> Self {
        self.changes.push(Change::Set {
            path: path.into(),
            value,
            lease_id: None,
        });
        self
    }

    pub fn set_with_lease(
        mut self,
        path: impl Into<String>,
        value: &impl Serialize,
        lease_id: u64,
    ) -> Self {
        self.changes.push(Change::Set {
            path: path.into(),
            value: raw(value),
            lease_id: Some(lease_id),
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
            #[serde(rename = "stamp")]
            mod_revision: u64,
        }
        #[derive(Serialize)]
        struct Body<'a> {
            r#if: Vec<Condition<'a>>,
            apply: &'a [Change],
        }
        let conditions = self
            .preconditions
            .iter()
            .map(|(path, mod_revision)| Condition {
                path,
                mod_revision: *mod_revision,
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
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
}

/// One change told by a watch.
#[derive(Clone, Debug)]
pub struct WatchEvent {
    pub path: String,
    /// None: the key was deleted.
    pub value: Option<Raw>,
    pub mod_revision: u64,
}

#[derive(Clone, Debug)]
pub enum Reply {
    Item(Item),
    Absent,
    Items {
        items: Vec<Item>,
        truncated: bool,
        revision: u64,
    },
    Applied {
        revision: u64,
    },
    Conflict {
        failed: Vec<String>,
    },
    Events {
        events: Vec<WatchEvent>,
        revision: u64,
    },
    /// A watch started too far back: read the keys again.
    TooOld,
    Granted {
        lease_id: u64,
    },
    Done,
    /// Surely not executed.
    Unavailable,
    /// May have been executed, or may still be.
    Lost,
    /// Refused as malformed, or an expired grant.
    Refused(String),
}

struct PendingRequest<P> {
    purpose: P,
    priority: RequestPriority,
    op: Op,
    queued_at: Micros,
    deadline: Micros,
    not_before: Micros,
    /// When it was last sent.
    sent_at: Micros,
}

struct TokenBucket {
    level: f64,
    rate: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    fn new(rate: f64) -> Self {
        Self {
            level: rate,
            rate,
            refilled_at: 0,
        }
    }

    fn refill(&mut self, now: Micros) {
        let gained = now.saturating_sub(self.refilled_at) as f64 / 1e6 * self.rate;
        self.refilled_at = now;
        self.level = (self.level + gained).min(self.rate);
    }
}

pub struct StateClient<P> {
    addr: SocketAddr,
    request_budget: TokenBucket,
    write_budget: TokenBucket,
    rps: f64,
    write_rps: f64,
    node_count: f64,
    /// By rank; within one, in the order asked.
    queues: [VecDeque<PendingRequest<P>>; PRIORITIES],
    in_flight: HashMap<Ticket, PendingRequest<P>>,
    /// Since when answers fail to come; None once one has come.
    failing_since: Option<Micros>,
    /// When something was last asked only to see whether the trouble is over.
    probed_at: Micros,
    leading: bool,
    /// When a leader's write may next go before users'.
    leader_turn_at: Micros,
    /// A transaction was refused as too large, or for the rate of changes: the limits may be
    /// lower than those that are kept to.
    refused_limits: RefusedLimits,
}

/// What of its limits the state service has shown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RefusedLimits {
    pub size: bool,
    pub rate: bool,
}

/// How often a state service that fails is tried.
const PROBE_INTERVAL: Micros = 500 * MILLISECOND;

/// A leader's write that has waited so long goes before users' changes at this node, and as soon as
/// nothing is owed: were the whole of it to be saved up first, its patience would be over.
const LEADER_WRITE_STARVED_AFTER: Micros = 400 * MILLISECOND;
/// After it the users have the node's changes to themselves for a while: in a burst of submissions what a
/// leader writes never ends either.
const LEADER_TURN_INTERVAL: Micros = 2 * SECOND;

const CALL_TIMEOUT: Micros = 2 * SECOND;

impl<P> StateClient<P> {
    pub fn new(addr: SocketAddr, rps: f64, write_rps: f64, nodes: usize) -> Self {
        let nodes = nodes.max(1) as f64;
        let mut store = Self {
            addr,
            request_budget: TokenBucket::new(rps),
            write_budget: TokenBucket::new(write_rps),
            rps,
            write_rps,
            node_count: nodes,
            queues: Default::default(),
            in_flight: HashMap::default(),
            failing_since: None,
            probed_at: 0,
            leading: false,
            leader_turn_at: 0,
            refused_limits: RefusedLimits::default(),
        };
        store.set_leading(false);
        store
    }

    /// The leader writes for all, so it takes the larger share of the changes; polls and
    /// submissions come to all nodes alike.
    pub fn set_leading(&mut self, leading: bool) {
        self.leading = leading;
        let share = |leaders: f64| match (leading, self.node_count as u32) {
            (_, 1) => 1.0,
            (true, _) => leaders,
            (false, _) => (1.0 - leaders) / (self.node_count - 1.0),
        };
        (self.request_budget.rate, self.write_budget.rate) =
            (self.rps * share(0.5), self.write_rps * share(0.8));
    }

    /// Keeps to other limits from now on.
    pub fn set_rates(&mut self, rps: f64, write_rps: f64) {
        (self.rps, self.write_rps) = (rps, write_rps);
        self.set_leading(self.leading);
    }

    /// What was refused since this was last asked.
    pub fn take_refused(&mut self) -> RefusedLimits {
        std::mem::take(&mut self.refused_limits)
    }

    /// Asks; `patience` bounds how long a surely unexecuted request is repeated.
    pub fn submit(
        &mut self,
        now: Micros,
        purpose: P,
        rank: RequestPriority,
        op: Op,
        patience: Micros,
    ) {
        self.queues[rank as usize].push_back(PendingRequest {
            purpose,
            priority: rank,
            op,
            queued_at: now,
            deadline: now + patience,
            not_before: now,
            sent_at: 0,
        });
    }

    pub fn wake_at(&self) -> Option<Micros> {
        let waiting = self.queues.iter().flatten();
        let head = waiting.map(|p| p.not_before).min()?;
        let short = self.request_budget.level < 1.0 || self.write_budget.level < 1.0;
        Some(if short {
            head.max(self.request_budget.refilled_at + 10 * MILLISECOND)
        } else {
            head
        })
    }

    /// Whether the state service has not answered since it last failed. Users' requests are then
    /// better answered by another node; were they to try, a service that is silent to us would keep
    /// each of them hanging for its whole time limit.
    pub fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// For how long no answer has come.
    pub fn failing_for(&self, now: Micros) -> Micros {
        self.failing_since.map_or(0, |t| now.saturating_sub(t))
    }

    /// Whether it is time to ask something, only to see whether the trouble is over.
    pub fn should_probe(&mut self, now: Micros) -> bool {
        let wants = self.is_failing() && now >= self.probed_at + PROBE_INTERVAL;
        if wants {
            self.probed_at = now;
        }
        wants
    }

    /// Whether a look would be sent at once, with something left for submissions.
    pub fn has_background_budget(&self, now: Micros) -> bool {
        let gained = now.saturating_sub(self.request_budget.refilled_at) as f64 / 1e6
            * self.request_budget.rate;
        self.queues[RequestPriority::Background as usize].is_empty()
            && (self.request_budget.level + gained).min(self.request_budget.rate) >= 2.0
    }

    /// How many questions of this rank still wait to be sent.
    pub fn queued(&self, rank: RequestPriority) -> usize {
        self.queues[rank as usize].len()
    }

    /// How many changes can be written at once before others have to wait.
    pub fn spare_changes(&self) -> f64 {
        self.write_budget.level
    }

    /// The changes a second that this node may write.
    pub fn change_rate(&self) -> f64 {
        self.write_budget.rate
    }

    /// Sends what the budget allows; returns what ran out of patience unsent.
    pub fn send_queued(
        &mut self,
        now: Micros,
        tickets: &mut Ticket,
        out: &mut Vec<Output>,
    ) -> Vec<(P, Reply)> {
        self.request_budget.refill(now);
        self.write_budget.refill(now);
        let mut over = Vec::new();
        let mut blocked = false;
        // Users go first and on credit. While more of them come than there are changes, what the leader
        // writes (placements, for one: nothing starts before they are stored) would never have its turn.
        let writes =
            |p: &PendingRequest<P>| matches!(&p.op, Op::Transaction(t) if !t.changes.is_empty());
        let turn = now >= self.leader_turn_at;
        let waited = |p: &PendingRequest<P>, turn: bool| {
            let since = p.queued_at.max(p.not_before);
            turn && p.priority == RequestPriority::Leader
                && writes(p)
                && now >= since + LEADER_WRITE_STARVED_AFTER
        };
        let mut leaders = self.queues[RequestPriority::Leader as usize].iter();
        let starved = leaders.any(|p| waited(p, turn));
        let mut turn = turn;
        for queue in &mut self.queues {
            let mut kept = VecDeque::new();
            while let Some(mut p) = queue.pop_front() {
                let vital = p.priority == RequestPriority::Vital;
                let changes = match &p.op {
                    Op::Transaction(t) => t.changes.len() as f64,
                    _ => 0.0,
                };
                // A user who waits may overdraw this node's share: the shares of the others are
                // seldom used up at the same moment, and it is paid back before anything else.
                let credit = if p.priority == RequestPriority::Client {
                    1.0
                } else {
                    0.0
                };
                // What waits for changes must not be overtaken by smaller ones without end.
                let yields = starved && p.priority == RequestPriority::Client && changes > 0.0;
                let affordable = !yields
                    && self.request_budget.level >= 1.0 - credit * self.rps / self.node_count
                    && (changes == 0.0
                        || (!blocked
                            && self.write_budget.level
                                >= if waited(&p, turn) {
                                    changes.min(1.0)
                                } else {
                                    changes.min(self.write_budget.rate)
                                        - credit * self.write_rps / self.node_count
                                }));
                if !vital && p.deadline < now {
                    over.push((p.purpose, Reply::Unavailable));
                } else if p.not_before > now || !(vital || affordable) {
                    blocked |= p.not_before <= now && changes > 0.0 && !yields;
                    kept.push_back(p);
                } else {
                    if waited(&p, turn) {
                        (turn, self.leader_turn_at) = (false, now + LEADER_TURN_INTERVAL);
                    }
                    self.request_budget.level -= 1.0;
                    self.write_budget.level -= changes;
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
                    p.sent_at = now;
                    self.in_flight.insert(*tickets, p);
                }
            }
            *queue = kept;
        }
        over
    }

    /// Takes the outcome of a call; None when the request will be repeated or isn't ours.
    /// The time is that of sending.
    pub fn handle_outcome(
        &mut self,
        now: Micros,
        ticket: Ticket,
        outcome: &Outcome,
    ) -> Option<(P, Reply, Micros)> {
        let mut p = self.in_flight.remove(&ticket)?;
        let reply = match outcome {
            Outcome::Reply { status: 429, .. } => {
                self.refused_limits.rate |=
                    matches!(&p.op, Op::Transaction(t) if !t.changes.is_empty());
                self.request_budget.level = self.request_budget.level.min(0.0);
                p.not_before = now + 40 * MILLISECOND;
                self.queues[p.priority as usize].push_back(p);
                return None;
            }
            Outcome::NotSent | Outcome::Refused => Reply::Unavailable,
            Outcome::Lost => Reply::Lost,
            Outcome::Reply { status, body } => decode(&p.op, *status, body),
        };
        if let (Op::Transaction(_), Reply::Refused(reason)) = (&p.op, &reply) {
            self.refused_limits.size |= !reason.contains("no such lease");
        }
        self.failing_since = match reply {
            Reply::Unavailable | Reply::Lost => self.failing_since.or(Some(now)),
            _ => None,
        };
        if matches!(reply, Reply::Unavailable) && now + 250 * MILLISECOND < p.deadline {
            p.not_before = now + 200 * MILLISECOND;
            self.queues[p.priority as usize].push_back(p);
            return None;
        }
        Some((p.purpose, reply, p.sent_at))
    }

    pub fn owns(&self, ticket: Ticket) -> bool {
        self.in_flight.contains_key(&ticket)
    }
}

fn encode(op: &Op) -> (&'static str, String, Vec<u8>, Micros) {
    let none = Vec::new;
    match op {
        Op::Get(path) => ("GET", format!("/store/{path}"), none(), CALL_TIMEOUT),
        Op::List {
            prefix,
            after,
            limit,
        } if after.is_empty() => (
            "GET",
            format!("/store?prefix={prefix}&limit={limit}"),
            none(),
            CALL_TIMEOUT,
        ),
        Op::List {
            prefix,
            after,
            limit,
        } => (
            "GET",
            format!("/store?prefix={prefix}&from={after}&limit={limit}"),
            none(),
            CALL_TIMEOUT,
        ),
        Op::Transaction(t) => ("POST", "/txn".to_owned(), t.body(), CALL_TIMEOUT),
        Op::Watch {
            prefix,
            from,
            block,
        } => (
            "GET",
            format!(
                "/watch?prefix={prefix}&from={from}&blockMs={}",
                block / MILLISECOND
            ),
            none(),
            block + 3 * SECOND,
        ),
        Op::GrantLease { ttl } => (
            "POST",
            "/grants".to_owned(),
            json!({"ttlMs": ttl / MILLISECOND}).to_string().into_bytes(),
            CALL_TIMEOUT,
        ),
        Op::RenewLease(id) => ("POST", format!("/grants/{id}/extend"), none(), SECOND),
        Op::RevokeLease(id) => ("DELETE", format!("/grants/{id}"), none(), CALL_TIMEOUT),
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
                #[serde(rename = "epoch")]
                revision: u64,
            }
            match serde_json::from_slice::<Listed>(body) {
                Ok(l) => Reply::Items {
                    items: l.items,
                    truncated: l.truncated,
                    revision: l.revision,
                },
                Err(_) => refused(),
            }
        }
        (Op::Transaction(_), 200) => match parsed()["epoch"].as_u64() {
            Some(revision) => Reply::Applied { revision },
            // Applied, but at which revision we don't know: the reader must look again.
            None => Reply::Lost,
        },
        (Op::Transaction(_), 409) => {
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
                #[serde(rename = "stamp")]
                mod_revision: u64,
            }
            #[derive(Deserialize)]
            struct Watched {
                #[serde(rename = "epoch")]
                revision: u64,
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
                Some(WatchEvent {
                    path,
                    value,
                    mod_revision: e.mod_revision,
                })
            };
            Reply::Events {
                revision: watched.revision,
                events: watched.events.into_iter().filter_map(event).collect(),
            }
        }
        (Op::Watch { .. }, 410) => Reply::TooOld,
        (Op::GrantLease { .. }, 200) => match parsed()["permit"].as_u64() {
            Some(lease_id) => Reply::Granted { lease_id },
            None => refused(),
        },
        (Op::RenewLease(_) | Op::RevokeLease(_), 200..=299) => Reply::Done,
        (Op::RenewLease(_) | Op::RevokeLease(_), 404) => Reply::Absent,
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
        let mut store: StateClient<&'static str> = StateClient::new(addr, 70.0, 25.0, 3);
        store.set_leading(true);
        let write = |changes: usize| {
            let txn = (0..changes).fold(Transaction::default(), |t, n| t.set(format!("k/{n}"), &n));
            Op::Transaction(txn)
        };
        let (mut tickets, mut sent) = (0, Vec::new());
        let mut by_leader = 0;
        for n in 0..500 {
            let now = SECOND + n * 20 * MILLISECOND;
            store.submit(
                now,
                "user",
                RequestPriority::Client,
                write(2),
                200 * MILLISECOND,
            );
            if store.queued(RequestPriority::Leader) == 0 {
                store.submit(now, "leader", RequestPriority::Leader, write(12), SECOND);
            }
            let mut out = Vec::new();
            store.send_queued(now, &mut tickets, &mut out);
            for o in out {
                let Output::Call { ticket, .. } = o else {
                    continue;
                };
                let revision = Outcome::Reply {
                    status: 200,
                    body: br#"{"epoch": 7}"#.to_vec(),
                };
                let answered = store.handle_outcome(now, ticket, &revision);
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
