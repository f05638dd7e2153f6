//! Client of the replicated key-value store (the state service) that holds everything that outlives a
//! controller process.
//!
//! Owns this node's queues of requests and its share of the service's request and write budgets. A request
//! that was certainly not executed is repeated until its deadline; one that may have been executed is never
//! repeated here: the caller gets [`Reply::OutcomeUnknown`] and has to read what is stored. Does no I/O: calls go out as
//! [`Output`]s, and their outcomes come back by ticket.
//!
//! Invariants at the door: every submitted request ends in exactly one reply; the budgets are charged before a
//! call leaves; within a priority, requests that can be sent leave in the order in which they were queued; one that
//! is repeated is queued anew.

mod protocol;
#[cfg(test)]
mod tests;

use crate::clock::{MILLISECOND, Micros, SECOND, to_secs};
use crate::messages::{Outcome, Output, Ticket};
use crate::seeded_hash::HashMap;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// A JSON value kept as text: written once, and parsed only by those who need what is in it.
pub type RawJson = Box<RawValue>;

/// The JSON text of a value. `null` if the value cannot be represented, which no type of this crate is.
pub fn to_raw_json(value: &impl Serialize) -> RawJson {
    serde_json::value::to_raw_value(value).unwrap_or_else(|_| RawValue::NULL.to_owned())
}

/// Which requests go first when the budget is short; the first variant is the most urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestPriority {
    /// What keeps the leader's lease alive. Sent whatever the budget says, and not dropped at its deadline
    /// while it is still queued.
    Vital,
    /// Submissions and cancellations of users.
    Client,
    /// The leader's own reads and writes.
    Leader,
    /// Polls and other reads that can be requested again.
    Background,
}

/// How many [`RequestPriority`] variants there are.
const PRIORITIES: usize = 4;

/// An operation of the state service.
#[derive(Clone, Debug)]
pub enum Op {
    /// Reads one key.
    Get(String),
    /// Reads a page of the keys under a prefix, in their order.
    List {
        /// What the keys begin with.
        prefix: &'static str,
        /// Only keys after this one; empty for the first page.
        after: String,
        /// The most keys in the answer.
        limit: usize,
    },
    /// Applies changes atomically if the preconditions hold.
    Transaction(Transaction),
    /// Waits for changes under a prefix.
    Watch {
        /// What the keys begin with.
        prefix: &'static str,
        /// The store revision after which changes are wanted.
        from: u64,
        /// How long the service may hold the answer back while nothing changes.
        block: Micros,
    },
    /// Asks for a lease.
    GrantLease {
        /// How long it lives without a renewal.
        ttl: Micros,
    },
    /// Renews the lease of that id.
    RenewLease(u64),
    /// Ends the lease of that id, and removes the keys attached to it.
    RevokeLease(u64),
}

/// A compare-and-swap transaction under construction: all changes are applied together, or none.
#[derive(Clone, Debug, Default)]
pub struct Transaction {
    /// Keys and the revision that each must have (0: the key must be absent).
    pub preconditions: Vec<(String, u64)>,
    /// What is written and deleted.
    pub changes: Vec<Change>,
}

/// One change of a transaction.
#[derive(Clone, Debug, Serialize)]
#[serde(untagged)]
pub enum Change {
    /// Writes a key.
    Set {
        /// The key.
        #[serde(rename = "set")]
        key: String,
        /// Its new value.
        value: RawJson,
        /// The lease that the key is attached to: it is deleted when the lease ends.
        #[serde(rename = "permit", skip_serializing_if = "Option::is_none")]
        lease_id: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        #[serde(rename = "delete")]
        key: String,
    },
}

impl Transaction {
    /// Adds a precondition: the key `key` must have this revision (0: must be absent).
    pub fn require_revision(mut self, key: impl Into<String>, mod_revision: u64) -> Self {
        self.preconditions.push((key.into(), mod_revision));
        self
    }

    /// Adds a write of `value` to the key `key`.
    pub fn set(self, key: impl Into<String>, value: &impl Serialize) -> Self {
        self.set_raw(key, to_raw_json(value))
    }

    /// Adds a write of a value that is already encoded.
    pub fn set_raw(self, key: impl Into<String>, value: RawJson) -> Self {
        self.push_set(key.into(), value, None)
    }

    /// Adds a write of a key that lives as long as the lease.
    pub fn set_with_lease(
        self,
        key: impl Into<String>,
        value: &impl Serialize,
        lease_id: u64,
    ) -> Self {
        self.push_set(key.into(), to_raw_json(value), Some(lease_id))
    }

    /// Adds the deletion of the key `key`.
    pub fn delete(mut self, key: impl Into<String>) -> Self {
        self.changes.push(Change::Delete { key: key.into() });
        self
    }

    fn push_set(mut self, key: String, value: RawJson, lease_id: Option<u64>) -> Self {
        self.changes.push(Change::Set {
            key,
            value,
            lease_id,
        });
        self
    }
}

/// A stored key with its value.
#[derive(Clone, Debug, Deserialize)]
pub struct KeyValue {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// Its value.
    pub value: RawJson,
    /// The store revision at which the key was last written.
    #[serde(rename = "stamp")]
    pub mod_revision: u64,
}

/// One change reported by a watch.
#[derive(Clone, Debug)]
pub struct WatchEvent {
    /// The key.
    pub key: String,
    /// Its new value; `None`: the key was deleted.
    pub value: Option<RawJson>,
    /// The store revision of the change.
    pub mod_revision: u64,
}

/// How a request ended.
#[derive(Clone, Debug)]
pub enum Reply {
    /// The key that was read.
    KeyValue(KeyValue),
    /// There is no such key, or no such lease.
    NotFound,
    /// A page of keys.
    KeyPage {
        /// The keys, in their order.
        items: Vec<KeyValue>,
        /// There are more keys after the last one.
        truncated: bool,
        /// The store revision that the page was read at.
        revision: u64,
    },
    /// The transaction was applied.
    Applied {
        /// The store revision that it created.
        revision: u64,
    },
    /// The transaction was not applied: a precondition did not hold.
    Conflict {
        /// The keys whose preconditions did not hold.
        failed: Vec<String>,
    },
    /// Changes seen by a watch; none if it timed out.
    Events {
        /// The changes, in the order of their revisions.
        events: Vec<WatchEvent>,
        /// The store revision up to which the changes are complete.
        revision: u64,
    },
    /// The watch asked for changes older than those the service keeps: read the keys again.
    Compacted,
    /// A lease was granted.
    LeaseGranted {
        /// Its id.
        lease_id: u64,
    },
    /// A lease was renewed or revoked.
    LeaseUpdated,
    /// The request was certainly not executed.
    Unavailable,
    /// The request may have been executed, or may still be at any later time.
    OutcomeUnknown,
    /// The service refused the request as malformed, or for an expired lease; with the beginning of its text.
    Refused(String),
}

/// A request that is queued or in flight.
struct PendingRequest<P> {
    purpose: P,
    priority: RequestPriority,
    op: Op,
    queued_at: Micros,
    /// After it the request is neither sent nor repeated.
    deadline: Micros,
    /// When it may be sent (again).
    not_before: Micros,
    /// When it was last sent.
    sent_at: Micros,
}

impl<P> PendingRequest<P> {
    /// How many keys it writes or deletes: what it takes from the write budget.
    fn change_count(&self) -> usize {
        match &self.op {
            Op::Transaction(transaction) => transaction.changes.len(),
            _ => 0,
        }
    }

    /// Whether it is a write of the leader that has waited so long that it goes before clients' writes.
    fn is_starved_leader_write(&self, now: Micros) -> bool {
        let waiting_since = self.queued_at.max(self.not_before);
        self.priority == RequestPriority::Leader
            && self.change_count() > 0
            && now >= waiting_since + LEADER_WRITE_STARVED_AFTER
    }
}

/// A budget that refills at a steady rate and holds at most what one second brings.
struct TokenBucket {
    level: f64,
    /// Tokens per second, and the most that it holds.
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

    fn level_at(&self, now: Micros) -> f64 {
        let gained = to_secs(now.saturating_sub(self.refilled_at)) * self.rate;
        (self.level + gained).min(self.rate)
    }

    fn refill(&mut self, now: Micros) {
        self.level = self.level_at(now);
        self.refilled_at = now;
    }
}

/// The client. `P` is the caller's own note of what a request is for; it comes back with the reply.
pub struct StateClient<P> {
    addr: SocketAddr,
    request_budget: TokenBucket,
    write_budget: TokenBucket,
    /// Requests a second that all nodes together may send.
    cluster_request_rate: f64,
    /// Changes a second that all nodes together may write.
    cluster_write_rate: f64,
    node_count: f64,
    /// By priority; within one, in the order of submission.
    queues: [VecDeque<PendingRequest<P>>; PRIORITIES],
    in_flight: HashMap<Ticket, PendingRequest<P>>,
    /// Since when requests fail; `None` once one has been answered.
    failing_since: Option<Micros>,
    /// When a probe was last due, see [`StateClient::should_probe`].
    probed_at: Micros,
    is_leader: bool,
    /// When a starved write of the leader may next go before clients' writes.
    leader_turn_at: Micros,
    /// The limits that the service has enforced since they were last taken.
    refused_limits: RefusedLimits,
}

/// The limits of the state service that a refusal has revealed: they may be lower than those kept to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RefusedLimits {
    /// A transaction was refused: too large a value, or too many changes.
    pub size: bool,
    /// A transaction was refused because of the rate of changes.
    pub rate: bool,
}

/// How often a failing state service is probed.
const PROBE_INTERVAL: Micros = 500 * MILLISECOND;

/// A leader's write that has waited this long goes before clients' writes at this node, and as soon as the
/// write budget is not in debt: if the whole transaction had to be saved up first, its deadline would pass.
const LEADER_WRITE_STARVED_AFTER: Micros = 400 * MILLISECOND;
/// After a starved write of the leader, clients have the node's write budget to themselves for this long: in a
/// burst of submissions the leader's writes do not cease either.
const LEADER_TURN_INTERVAL: Micros = 2 * SECOND;

/// The leader's share of the cluster's requests. Polls and submissions arrive at all nodes alike, so the
/// others share the rest.
const LEADER_REQUEST_SHARE: f64 = 0.5;
/// The leader's share of the cluster's changes: it writes on behalf of all nodes.
const LEADER_WRITE_SHARE: f64 = 0.8;

/// How often the queues are looked at while a budget is short.
const BUDGET_POLL_INTERVAL: Micros = 10 * MILLISECOND;
/// A background read is started only while this many requests are left, for submissions that may come.
const BACKGROUND_RESERVE_REQUESTS: f64 = 2.0;
/// How long after a refusal for the rate a request is repeated.
const RATE_LIMIT_RETRY_DELAY: Micros = 40 * MILLISECOND;
/// How long after a failure a request that was not executed is repeated.
const RETRY_DELAY: Micros = 200 * MILLISECOND;
/// A request is repeated only if its deadline is further away than this.
const RETRY_TIME_LEFT_MIN: Micros = 250 * MILLISECOND;

/// What holds for one walk over the queues.
struct SendPass {
    now: Micros,
    /// A starved write of the leader waits, and it is the leader's turn: clients' writes yield.
    leader_starved: bool,
    /// A starved write of the leader may still be sent in this walk.
    leader_turn: bool,
    /// A write is waiting for budget: later ones, also smaller ones, must not overtake it without end.
    writes_blocked: bool,
}

/// What a walk over the queues does with a request.
enum SendDecision {
    Send,
    Keep,
    Expire,
}

impl<P> StateClient<P> {
    /// A client of the service at `addr` for one of `nodes` controllers, which together may send
    /// `request_rate` requests and write `write_rate` changes a second.
    pub fn new(addr: SocketAddr, request_rate: f64, write_rate: f64, nodes: usize) -> Self {
        let mut client = Self {
            addr,
            request_budget: TokenBucket::new(request_rate),
            write_budget: TokenBucket::new(write_rate),
            cluster_request_rate: request_rate,
            cluster_write_rate: write_rate,
            node_count: nodes.max(1) as f64,
            queues: Default::default(),
            in_flight: HashMap::default(),
            failing_since: None,
            probed_at: 0,
            is_leader: false,
            leader_turn_at: 0,
            refused_limits: RefusedLimits::default(),
        };
        client.set_is_leader(false);
        client
    }

    /// Sets this node's share of the budgets: larger for the leader, see `LEADER_WRITE_SHARE`.
    pub fn set_is_leader(&mut self, is_leader: bool) {
        self.is_leader = is_leader;
        let node_count = self.node_count;
        let share = |leader_share: f64| {
            if node_count <= 1.0 {
                1.0
            } else if is_leader {
                leader_share
            } else {
                (1.0 - leader_share) / (node_count - 1.0)
            }
        };
        self.request_budget.rate = self.cluster_request_rate * share(LEADER_REQUEST_SHARE);
        self.write_budget.rate = self.cluster_write_rate * share(LEADER_WRITE_SHARE);
    }

    /// Keeps to other rates of the whole cluster from now on.
    pub fn set_rates(&mut self, request_rate: f64, write_rate: f64) {
        self.cluster_request_rate = request_rate;
        self.cluster_write_rate = write_rate;
        self.set_is_leader(self.is_leader);
    }

    /// The limits that were refused since this was last called.
    pub fn take_refused_limits(&mut self) -> RefusedLimits {
        std::mem::take(&mut self.refused_limits)
    }

    /// Queues a request. It leaves with [`StateClient::send_queued`]; `patience` bounds how long it is
    /// queued, and repeated while it was certainly not executed.
    pub fn submit(
        &mut self,
        now: Micros,
        purpose: P,
        priority: RequestPriority,
        op: Op,
        patience: Micros,
    ) {
        self.queues[priority as usize].push_back(PendingRequest {
            purpose,
            priority,
            op,
            queued_at: now,
            deadline: now + patience,
            not_before: now,
            sent_at: 0,
        });
    }

    /// When [`StateClient::send_queued`] should next be called; `None` while nothing is queued.
    pub fn wake_at(&self) -> Option<Micros> {
        let queued = self.queues.iter().flatten();
        let earliest = queued.map(|request| request.not_before).min()?;
        let is_budget_short = self.request_budget.level < 1.0 || self.write_budget.level < 1.0;
        Some(if is_budget_short {
            earliest.max(self.request_budget.refilled_at + BUDGET_POLL_INTERVAL)
        } else {
            earliest
        })
    }

    /// Whether the state service has not answered since it last failed. Users' requests are then
    /// better answered by another node: while a service does not answer this one, each of them would hang
    /// until its timeout.
    pub fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// For how long the service has been failing; 0 if it is not.
    pub fn failing_for(&self, now: Micros) -> Micros {
        self.failing_since
            .map_or(0, |since| now.saturating_sub(since))
    }

    /// Whether a request should be sent now only to find out whether the service has recovered. True at most
    /// once per `PROBE_INTERVAL`.
    pub fn should_probe(&mut self, now: Micros) -> bool {
        let due = self.is_failing() && now >= self.probed_at + PROBE_INTERVAL;
        if due {
            self.probed_at = now;
        }
        due
    }

    /// Whether a background read would be sent at once, with some budget left for submissions.
    pub fn has_background_budget(&self, now: Micros) -> bool {
        self.queued(RequestPriority::Background) == 0
            && self.request_budget.level_at(now) >= BACKGROUND_RESERVE_REQUESTS
    }

    /// How many requests of this priority wait to be sent.
    pub fn queued(&self, priority: RequestPriority) -> usize {
        self.queues[priority as usize].len()
    }

    /// How many changes can be written at once before further ones have to wait.
    pub fn available_changes(&self) -> f64 {
        self.write_budget.level
    }

    /// The changes a second that this node may write.
    pub fn write_rate(&self) -> f64 {
        self.write_budget.rate
    }

    /// Sends what the budgets allow, the most urgent first. Returns the requests whose deadline passed before
    /// they could be sent.
    pub fn send_queued(
        &mut self,
        now: Micros,
        last_ticket: &mut Ticket,
        outputs: &mut Vec<Output>,
    ) -> Vec<(P, Reply)> {
        self.request_budget.refill(now);
        self.write_budget.refill(now);
        // Clients go first and on credit. While more of their writes arrive than the budget allows, the
        // leader's (placements, for one: no task starts before its placement is stored) would never be sent.
        let leader_turn = now >= self.leader_turn_at;
        let mut leader_queue = self.queues[RequestPriority::Leader as usize].iter();
        let mut pass = SendPass {
            now,
            leader_starved: leader_turn
                && leader_queue.any(|request| request.is_starved_leader_write(now)),
            leader_turn,
            writes_blocked: false,
        };
        let mut expired = Vec::new();
        for index in 0..PRIORITIES {
            for request in std::mem::take(&mut self.queues[index]) {
                match self.decide(&request, &mut pass) {
                    SendDecision::Send => self.send(now, request, last_ticket, outputs),
                    SendDecision::Keep => self.queues[index].push_back(request),
                    SendDecision::Expire => expired.push((request.purpose, Reply::Unavailable)),
                }
            }
        }
        expired
    }

    fn decide(&mut self, request: &PendingRequest<P>, pass: &mut SendPass) -> SendDecision {
        let is_vital = request.priority == RequestPriority::Vital;
        let is_write = request.change_count() > 0;
        let takes_leader_turn = pass.leader_turn && request.is_starved_leader_write(pass.now);
        let yields = pass.leader_starved && request.priority == RequestPriority::Client && is_write;
        if !is_vital && request.deadline < pass.now {
            return SendDecision::Expire;
        }
        if request.not_before > pass.now {
            return SendDecision::Keep;
        }
        let can_write =
            || !is_write || (!pass.writes_blocked && self.can_write(request, takes_leader_turn));
        if !is_vital && (yields || !self.can_request(request) || !can_write()) {
            pass.writes_blocked |= is_write && !yields;
            return SendDecision::Keep;
        }
        if takes_leader_turn {
            pass.leader_turn = false;
            self.leader_turn_at = pass.now + LEADER_TURN_INTERVAL;
        }
        SendDecision::Send
    }

    /// What a request may overdraw the budgets by, as a share of one second of one node's even part. A client
    /// that waits may overdraw: the shares of the other nodes are seldom used up at the same moment, and
    /// the debt is paid back before anything else is sent.
    fn credit(request: &PendingRequest<P>) -> f64 {
        if request.priority == RequestPriority::Client {
            1.0
        } else {
            0.0
        }
    }

    fn can_request(&self, request: &PendingRequest<P>) -> bool {
        let credit = Self::credit(request) * self.cluster_request_rate / self.node_count;
        self.request_budget.level >= 1.0 - credit
    }

    fn can_write(&self, request: &PendingRequest<P>, takes_leader_turn: bool) -> bool {
        let changes = request.change_count() as f64;
        let needed = if takes_leader_turn {
            changes.min(1.0)
        } else {
            let credit = Self::credit(request) * self.cluster_write_rate / self.node_count;
            changes.min(self.write_budget.rate) - credit
        };
        self.write_budget.level >= needed
    }

    /// Charges the budgets for a request and emits its call.
    fn send(
        &mut self,
        now: Micros,
        mut request: PendingRequest<P>,
        last_ticket: &mut Ticket,
        outputs: &mut Vec<Output>,
    ) {
        self.request_budget.level -= 1.0;
        self.write_budget.level -= request.change_count() as f64;
        let ticket = protocol::encode(&request.op).send(self.addr, last_ticket, outputs);
        request.sent_at = now;
        self.in_flight.insert(ticket, request);
    }

    /// Takes the outcome of a call. Returns the purpose of its request, the reply, and when the request was
    /// sent; `None` if it will be repeated, or if the call is not one of this client's.
    pub fn handle_outcome(
        &mut self,
        now: Micros,
        ticket: Ticket,
        outcome: &Outcome,
    ) -> Option<(P, Reply, Micros)> {
        let mut request = self.in_flight.remove(&ticket)?;
        let reply = match outcome {
            Outcome::Reply { status: 429, .. } => {
                self.refused_limits.rate |= request.change_count() > 0;
                self.request_budget.level = self.request_budget.level.min(0.0);
                request.not_before = now + RATE_LIMIT_RETRY_DELAY;
                self.queues[request.priority as usize].push_back(request);
                return None;
            }
            Outcome::NotSent | Outcome::Refused => Reply::Unavailable,
            Outcome::Lost => Reply::OutcomeUnknown,
            Outcome::Reply { status, body } => protocol::decode(&request.op, *status, body),
        };
        if let (Op::Transaction(_), Reply::Refused(reason)) = (&request.op, &reply) {
            self.refused_limits.size |= !reason.contains(protocol::LEASE_EXPIRED_REASON);
        }
        self.failing_since = match reply {
            Reply::Unavailable | Reply::OutcomeUnknown => self.failing_since.or(Some(now)),
            _ => None,
        };
        let has_time_left = now + RETRY_TIME_LEFT_MIN < request.deadline;
        if matches!(reply, Reply::Unavailable) && has_time_left {
            request.not_before = now + RETRY_DELAY;
            self.queues[request.priority as usize].push_back(request);
            return None;
        }
        Some((request.purpose, reply, request.sent_at))
    }

    /// Whether the call of that ticket is one of this client's.
    pub fn owns(&self, ticket: Ticket) -> bool {
        self.in_flight.contains_key(&ticket)
    }
}
