//! Client of the state service: the replicated key-value store that holds everything that must outlive a
//! controller process.
//!
//! [`StateClient`] owns this node's queues of requests and its share of the service's rate limits for requests
//! and writes. It retries a request that was certainly not executed until the request's deadline. It never
//! retries one that may have been executed: the caller gets [`Reply::OutcomeUnknown`] and has to read what is
//! stored. It does no I/O: calls are emitted as [`Output`]s, and their outcomes are passed back by ticket.
//!
//! Invariants:
//!
//! - Every submitted request gets exactly one reply.
//! - The budgets are charged before a call is emitted.
//! - Within a priority, the requests that may be sent are sent in the order in which they were queued. A retried
//!   request is queued at the end again.

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

/// A JSON value kept as text: encoded once, and parsed only where its contents are needed.
pub type RawJson = Box<RawValue>;

/// Encodes a value as JSON text. Returns `null` for a value that JSON cannot represent; no type of this crate has
/// such values.
pub fn to_raw_json(value: &impl Serialize) -> RawJson {
    serde_json::value::to_raw_value(value).unwrap_or_else(|_| RawValue::NULL.to_owned())
}

/// The priority of a request when the budget is short, from the most to the least urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestPriority {
    /// Requests that keep the leader's lease alive. They are sent regardless of the budget, and do not expire in
    /// the queue.
    Vital,
    /// Submissions and cancellations of users.
    Client,
    /// Other reads and writes of the leader.
    Leader,
    /// Polls and other reads that can be repeated later.
    Background,
}

/// Number of [`RequestPriority`] variants.
const PRIORITY_COUNT: usize = 4;

/// An operation of the state service.
#[derive(Clone, Debug)]
pub enum Op {
    /// Reads one key.
    Get(String),
    /// Reads a page of the keys with a prefix, in key order.
    List {
        /// The prefix of the keys.
        prefix: &'static str,
        /// The last key of the previous page; empty for the first page.
        after: String,
        /// Maximum number of keys in the page.
        limit: usize,
    },
    /// Applies changes atomically if the preconditions hold.
    Transaction(Transaction),
    /// Waits for changes of keys with a prefix.
    Watch {
        /// The prefix of the keys.
        prefix: &'static str,
        /// The store revision after which changes are requested.
        from: u64,
        /// How long the service may delay its response while nothing changes.
        block: Micros,
    },
    /// Requests a lease.
    GrantLease {
        /// TTL of the lease.
        ttl: Micros,
    },
    /// Renews the lease with this id.
    RenewLease(u64),
    /// Revokes the lease with this id; the keys attached to it are deleted.
    RevokeLease(u64),
}

/// A compare-and-swap transaction: its changes are applied together, or not at all.
#[derive(Clone, Debug, Default)]
pub struct Transaction {
    /// Keys with the revision that each must have (0: the key must be absent).
    pub preconditions: Vec<(String, u64)>,
    /// The writes and deletions.
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
        /// The lease that the key is attached to: the key is deleted when the lease expires or is revoked.
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
    /// Adds a precondition: `key` must have this revision (0: it must be absent).
    pub fn require_revision(mut self, key: impl Into<String>, mod_revision: u64) -> Self {
        self.preconditions.push((key.into(), mod_revision));
        self
    }

    /// Adds a write of `value` to `key`.
    pub fn set(self, key: impl Into<String>, value: &impl Serialize) -> Self {
        self.set_raw(key, to_raw_json(value))
    }

    /// Adds a write of a value that is already encoded.
    pub fn set_raw(self, key: impl Into<String>, value: RawJson) -> Self {
        self.push_set(key.into(), value, None)
    }

    /// Adds a write of a key that is attached to a lease.
    pub fn set_with_lease(
        self,
        key: impl Into<String>,
        value: &impl Serialize,
        lease_id: u64,
    ) -> Self {
        self.push_set(key.into(), to_raw_json(value), Some(lease_id))
    }

    /// Adds the deletion of `key`.
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
    /// Its new value; `None` if the key was deleted.
    pub value: Option<RawJson>,
    /// The store revision of the change.
    pub mod_revision: u64,
}

/// The result of a request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// The key that was read.
    KeyValue(KeyValue),
    /// The key or lease does not exist.
    NotFound,
    /// A page of keys.
    KeyPage {
        /// The keys with their values, in key order.
        items: Vec<KeyValue>,
        /// Whether there are more keys after the last one.
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
    /// The changes that a watch reports; empty if it timed out.
    Events {
        /// The changes, ordered by revision.
        events: Vec<WatchEvent>,
        /// The store revision up to which all changes have been reported.
        revision: u64,
    },
    /// The service no longer keeps all changes that the watch requested; the keys have to be read again.
    Compacted,
    /// A lease was granted.
    LeaseGranted {
        /// The id of the lease.
        lease_id: u64,
    },
    /// A lease was renewed or revoked.
    LeaseUpdated,
    /// The request was certainly not executed.
    Unavailable,
    /// The request may have been executed, or may still be executed at any later time.
    OutcomeUnknown,
    /// The service refused the request, for example as malformed or because of an expired lease. Contains the
    /// beginning of its error text.
    Refused(String),
}

/// A request that is queued or in flight.
struct PendingRequest<P> {
    /// The caller's note of what the request is for.
    purpose: P,
    priority: RequestPriority,
    op: Op,
    queued_at: Micros,
    /// After this time the request is neither sent nor retried.
    deadline: Micros,
    /// The request is not sent before this time.
    not_before: Micros,
    /// When the request was last sent.
    sent_at: Micros,
}

impl<P> PendingRequest<P> {
    /// How many keys the request writes or deletes: its cost in the write budget.
    fn change_count(&self) -> usize {
        match &self.op {
            Op::Transaction(transaction) => transaction.changes.len(),
            _ => 0,
        }
    }

    /// Whether this is a write of the leader that has waited so long that it may overtake clients' writes.
    fn is_starved_leader_write(&self, now: Micros) -> bool {
        let waiting_since = self.queued_at.max(self.not_before);
        self.priority == RequestPriority::Leader
            && self.change_count() > 0
            && now >= waiting_since + LEADER_WRITE_STARVED_AFTER
    }
}

/// A rate limiter that refills at a constant rate and holds at most the tokens of one second. The number of tokens
/// may be negative, since some requests are sent on credit.
struct TokenBucket {
    /// Tokens available at `refilled_at`; negative while the bucket is in debt.
    tokens: f64,
    /// Tokens per second, and the maximum number of tokens.
    rate: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    fn new(rate: f64) -> Self {
        Self {
            tokens: rate,
            rate,
            refilled_at: 0,
        }
    }

    fn tokens_at(&self, now: Micros) -> f64 {
        let gained = to_secs(now.saturating_sub(self.refilled_at)) * self.rate;
        (self.tokens + gained).min(self.rate)
    }

    fn refill(&mut self, now: Micros) {
        self.tokens = self.tokens_at(now);
        self.refilled_at = now;
    }
}

/// The client of the state service. `P` is the caller's note of what a request is for; it is returned with the
/// reply.
pub struct StateClient<P> {
    addr: SocketAddr,
    request_budget: TokenBucket,
    write_budget: TokenBucket,
    /// Requests per second that all nodes together may send.
    cluster_request_rate: f64,
    /// Changes per second that all nodes together may write.
    cluster_write_rate: f64,
    node_count: f64,
    /// One queue per priority, in the order of submission.
    queues: [VecDeque<PendingRequest<P>>; PRIORITY_COUNT],
    in_flight: HashMap<Ticket, PendingRequest<P>>,
    /// Since when requests have been failing; `None` once one has been answered.
    failing_since: Option<Micros>,
    /// When a probe was last requested, see [`StateClient::should_probe`].
    probed_at: Micros,
    is_leader: bool,
    /// When a starved write of the leader may next overtake clients' writes.
    next_starved_write_at: Micros,
    /// The limits that the service has enforced since [`StateClient::take_refused_limits`] was last called.
    refused_limits: RefusedLimits,
}

/// Which limits of the state service have caused refusals: they may be lower than the limits that this client
/// uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RefusedLimits {
    /// A transaction was refused for too large a value or too many changes.
    pub size: bool,
    /// A transaction was refused for exceeding the rate of changes.
    pub rate: bool,
}

/// Minimum time between two probes of a failing state service.
const PROBE_INTERVAL: Micros = 500 * MILLISECOND;

/// A leader's write that has waited this long is starved: it may overtake this node's client writes, and is sent
/// as soon as the write budget is out of debt. If it had to wait for the budget of the whole transaction, its
/// deadline would pass.
const LEADER_WRITE_STARVED_AFTER: Micros = 400 * MILLISECOND;
/// Minimum time between two starved writes of the leader that overtake clients' writes. In a burst of submissions
/// the leader's writes therefore continue, and clients still get the write budget most of the time.
const STARVED_WRITE_INTERVAL: Micros = 2 * SECOND;

/// The leader's share of the cluster's request rate. The other nodes share the rest equally, since polls and
/// submissions arrive evenly at all nodes.
const LEADER_REQUEST_SHARE: f64 = 0.5;
/// The leader's share of the cluster's write rate: it writes on behalf of all nodes.
const LEADER_WRITE_SHARE: f64 = 0.8;

/// How often the queues are checked while a budget is short.
const BUDGET_POLL_INTERVAL: Micros = 10 * MILLISECOND;
/// A background read is started only while the budget allows this many requests, which leaves some for submissions.
const BACKGROUND_RESERVE_REQUESTS: f64 = 2.0;
/// Delay before a request is retried after the service refused it for its rate.
const RATE_LIMIT_RETRY_DELAY: Micros = 40 * MILLISECOND;
/// Delay before a request that failed without being executed is retried.
const RETRY_DELAY: Micros = 200 * MILLISECOND;
/// A request is retried only if its deadline is further away than this.
const RETRY_TIME_LEFT_MIN: Micros = 250 * MILLISECOND;

/// State of one pass over the queues.
struct SendPass {
    now: Micros,
    /// A starved write of the leader is queued and may overtake: clients' writes are held back.
    leader_write_starved: bool,
    /// A starved write of the leader may still be sent in this pass.
    may_send_starved_write: bool,
    /// A write is waiting for budget. Later writes are held back, even smaller ones, which could otherwise overtake
    /// it forever.
    writes_blocked: bool,
}

/// The decision about one queued request.
enum SendDecision {
    Send,
    /// It stays in the queue.
    Keep,
    /// Its deadline has passed.
    Expire,
}

impl<P> StateClient<P> {
    /// Creates the client of one of `nodes` controllers for the service at `addr`. All controllers together may
    /// send `request_rate` requests and write `write_rate` changes per second.
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
            next_starved_write_at: 0,
            refused_limits: RefusedLimits::default(),
        };
        client.set_is_leader(false);
        client
    }

    /// Sets this node's share of the cluster's rates, which depends on whether it is the leader; see
    /// `LEADER_REQUEST_SHARE` and `LEADER_WRITE_SHARE`.
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

    /// Changes the rates of the whole cluster.
    pub fn set_rates(&mut self, request_rate: f64, write_rate: f64) {
        self.cluster_request_rate = request_rate;
        self.cluster_write_rate = write_rate;
        self.set_is_leader(self.is_leader);
    }

    /// Returns which limits have caused refusals since the last call.
    pub fn take_refused_limits(&mut self) -> RefusedLimits {
        std::mem::take(&mut self.refused_limits)
    }

    /// Queues a request, which [`StateClient::send_queued`] sends. `timeout` limits how long it stays queued, and
    /// how long it is retried as long as it was certainly not executed.
    pub fn submit(
        &mut self,
        now: Micros,
        purpose: P,
        priority: RequestPriority,
        op: Op,
        timeout: Micros,
    ) {
        self.queues[priority as usize].push_back(PendingRequest {
            purpose,
            priority,
            op,
            queued_at: now,
            deadline: now + timeout,
            not_before: now,
            sent_at: 0,
        });
    }

    /// When [`StateClient::send_queued`] should next be called; `None` while nothing is queued.
    pub fn wake_at(&self) -> Option<Micros> {
        let queued = self.queues.iter().flatten();
        let earliest = queued.map(|request| request.not_before).min()?;
        let is_budget_short = self.request_budget.tokens < 1.0 || self.write_budget.tokens < 1.0;
        Some(if is_budget_short {
            earliest.max(self.request_budget.refilled_at + BUDGET_POLL_INTERVAL)
        } else {
            earliest
        })
    }

    /// Whether the state service has not answered since a request failed. Another node should then handle users'
    /// requests; at this node each would wait until its timeout.
    pub fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// How long the service has been failing; 0 if it is not failing.
    pub fn failing_for(&self, now: Micros) -> Micros {
        self.failing_since
            .map_or(0, |since| now.saturating_sub(since))
    }

    /// Whether to send a request now only to find out whether the service has recovered. Returns true at most once
    /// per `PROBE_INTERVAL`.
    pub fn should_probe(&mut self, now: Micros) -> bool {
        let due = self.is_failing() && now >= self.probed_at + PROBE_INTERVAL;
        if due {
            self.probed_at = now;
        }
        due
    }

    /// Whether a background read would be sent at once and leave some budget for submissions.
    pub fn has_background_budget(&self, now: Micros) -> bool {
        self.queued(RequestPriority::Background) == 0
            && self.request_budget.tokens_at(now) >= BACKGROUND_RESERVE_REQUESTS
    }

    /// Number of queued requests of this priority.
    pub fn queued(&self, priority: RequestPriority) -> usize {
        self.queues[priority as usize].len()
    }

    /// How many changes can be written now without waiting for the budget to refill; negative while it is in debt.
    pub fn available_changes(&self) -> f64 {
        self.write_budget.tokens
    }

    /// Changes per second that this node may write.
    pub fn write_rate(&self) -> f64 {
        self.write_budget.rate
    }

    /// Sends the requests that the budgets allow, the most urgent first. Returns the requests whose deadline passed
    /// before they could be sent.
    pub fn send_queued(
        &mut self,
        now: Micros,
        last_ticket: &mut Ticket,
        outputs: &mut Vec<Output>,
    ) -> Vec<(P, Reply)> {
        self.request_budget.refill(now);
        self.write_budget.refill(now);
        // Clients' writes have priority and are sent on credit. While more of them arrive than the budget allows,
        // the leader's writes would never be sent, and no task would start, since its placement must be stored
        // first.
        let may_send_starved_write = now >= self.next_starved_write_at;
        let mut leader_queue = self.queues[RequestPriority::Leader as usize].iter();
        let mut pass = SendPass {
            now,
            leader_write_starved: may_send_starved_write
                && leader_queue.any(|request| request.is_starved_leader_write(now)),
            may_send_starved_write,
            writes_blocked: false,
        };
        let mut expired = Vec::new();
        for index in 0..PRIORITY_COUNT {
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

    /// Decides whether a queued request is sent in this pass.
    fn decide(&mut self, request: &PendingRequest<P>, pass: &mut SendPass) -> SendDecision {
        let is_vital = request.priority == RequestPriority::Vital;
        let is_write = request.change_count() > 0;
        let overtakes_clients =
            pass.may_send_starved_write && request.is_starved_leader_write(pass.now);
        let yields_to_leader =
            pass.leader_write_starved && request.priority == RequestPriority::Client && is_write;
        if !is_vital && request.deadline < pass.now {
            return SendDecision::Expire;
        }
        if request.not_before > pass.now {
            return SendDecision::Keep;
        }
        let can_write = || {
            !is_write
                || (!pass.writes_blocked && self.write_budget_allows(request, overtakes_clients))
        };
        if !is_vital && (yields_to_leader || !self.request_budget_allows(request) || !can_write()) {
            pass.writes_blocked |= is_write && !yields_to_leader;
            return SendDecision::Keep;
        }
        if overtakes_clients {
            pass.may_send_starved_write = false;
            self.next_starved_write_at = pass.now + STARVED_WRITE_INTERVAL;
        }
        SendDecision::Send
    }

    /// How far a request may overdraw the budgets, as a fraction of what an equal share of the cluster's rate
    /// brings in one second. Requests of clients may overdraw: the other nodes seldom use up their shares at the
    /// same moment, and the debt is repaid before anything else is sent.
    fn credit(request: &PendingRequest<P>) -> f64 {
        if request.priority == RequestPriority::Client {
            1.0
        } else {
            0.0
        }
    }

    /// Whether the request budget allows this request now.
    fn request_budget_allows(&self, request: &PendingRequest<P>) -> bool {
        let credit = Self::credit(request) * self.cluster_request_rate / self.node_count;
        self.request_budget.tokens >= 1.0 - credit
    }

    /// Whether the write budget allows this write now.
    fn write_budget_allows(&self, request: &PendingRequest<P>, overtakes_clients: bool) -> bool {
        let changes = request.change_count() as f64;
        let needed = if overtakes_clients {
            changes.min(1.0)
        } else {
            let credit = Self::credit(request) * self.cluster_write_rate / self.node_count;
            changes.min(self.write_budget.rate) - credit
        };
        self.write_budget.tokens >= needed
    }

    /// Charges the budgets for a request and emits its call.
    fn send(
        &mut self,
        now: Micros,
        mut request: PendingRequest<P>,
        last_ticket: &mut Ticket,
        outputs: &mut Vec<Output>,
    ) {
        self.request_budget.tokens -= 1.0;
        self.write_budget.tokens -= request.change_count() as f64;
        let ticket = protocol::encode(&request.op).send(self.addr, last_ticket, outputs);
        request.sent_at = now;
        self.in_flight.insert(ticket, request);
    }

    /// Handles the outcome of a call. Returns the purpose of its request, the reply, and when the request was sent;
    /// `None` if the request will be retried, or if the call is not one of this client's.
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
                self.request_budget.tokens = self.request_budget.tokens.min(0.0);
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

    /// Whether the call with this ticket is one of this client's.
    pub fn owns(&self, ticket: Ticket) -> bool {
        self.in_flight.contains_key(&ticket)
    }
}
