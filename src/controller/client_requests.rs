//! Pending client requests, and the cached data to answer them.
//!
//! [`ClientRequests`] owns the requests that wait for an answer, the polls that wait for the next
//! batched check, the cached final states, the leader's last progress announcement, and the record
//! of jobs whose requests have gone unanswered. It neither reads the state service nor answers
//! clients; the controller does both. A final state never changes, so a cached one may be served at
//! any time. Progress is a hint that is served only after a fresh check that the job is still live.

use super::peer_links::SERVING_STATUS_TTL;
use crate::clock::{MILLISECOND, Micros, SECOND};
use crate::jobs::{FinalStateCache, JobProgress};
use crate::messages::{ConnId, Ticket};
use crate::request_starvation::RequestStarvation;
use crate::seeded_hash::HashMap;
use serde_json::Value;
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Connection numbers from here on identify requests that another controller forwarded.
const FIRST_PROXIED_CONN_ID: ConnId = 1 << 63;
/// Number of final states in the cache.
const FINAL_STATES_CACHED: usize = 4096;
/// Polls that arrive within this time share one check.
const POLL_BATCH_DELAY: Micros = 20 * MILLISECOND;
/// Polls that did not fit in a full batch form the next one after this time.
const NEXT_POLL_BATCH_DELAY: Micros = MILLISECOND;
/// How long a poll waits for request budget; clients wait 2 s for the answer to a poll.
const POLL_TIMEOUT: Micros = 1_200 * MILLISECOND;
/// A progress announcement that is older than this is ignored; polls then read the stored counts.
const PROGRESS_TTL: Micros = 60 * SECOND;

/// A client's request, kept until it is answered so that it can be forwarded to another controller.
pub(super) struct ClientRequest {
    /// The HTTP method.
    pub(super) method: &'static str,
    /// The path, without a query.
    pub(super) path: String,
    /// The body as received.
    pub(super) body: Vec<u8>,
}

/// A request for the state of a job that waits for the next batched check: a poll, or a submission of a job
/// that is stored.
pub(super) struct PendingPoll {
    /// The client's connection.
    pub(super) conn: ConnId,
    /// The polled job.
    pub(super) uid: Arc<str>,
    /// When the poll arrived.
    pub(super) arrived_at: Micros,
    /// The HTTP status of a successful answer. The answer to a new submission has the priority of submissions.
    pub(super) success_status: u16,
    /// How many tasks are done and how many are placed by the stored record, if it was read.
    pub(super) stored_counts: Option<(u64, u64)>,
    /// The jobs that were found not to have finished since the poll arrived.
    pub(super) checked: Vec<Arc<str>>,
    /// The jobs whose check is in flight.
    pub(super) in_check: Vec<Arc<str>>,
}

impl PendingPoll {
    /// A poll of which nothing has been read yet.
    pub(super) fn new(conn: ConnId, uid: Arc<str>, arrived_at: Micros) -> Self {
        Self {
            conn,
            uid,
            arrived_at,
            success_status: 200,
            stored_counts: None,
            checked: Vec::new(),
            in_check: Vec::new(),
        }
    }

    /// Which of the polled job and these jobs that it depends on still have to be checked.
    pub(super) fn unchecked(&self, ancestors: &BTreeSet<Arc<str>>) -> Vec<Arc<str>> {
        let all = std::iter::once(&self.uid).chain(ancestors);
        all.filter(|uid| !self.checked.contains(uid))
            .cloned()
            .collect()
    }

    /// Whether a new submission waits for it.
    pub(super) fn is_submission(&self) -> bool {
        self.success_status == 201
    }
}

/// Identifies a request that another controller forwarded, to return the answer to it.
pub(super) struct ProxiedRequest {
    /// The connection of the other controller.
    pub(super) conn: ConnId,
    /// The ticket that the other controller gave its request.
    pub(super) ticket: Ticket,
}

/// Pending client requests and the cached data to answer them.
pub(super) struct ClientRequests {
    pending: HashMap<ConnId, ClientRequest>,
    /// Requests that other controllers forwarded, by the connection number given to each.
    proxied: HashMap<ConnId, ProxiedRequest>,
    last_proxied_conn: ConnId,
    polls: Vec<PendingPoll>,
    poll_batch_due_at: Micros,
    starvation: RequestStarvation,
    final_states: FinalStateCache,
    progress: JobProgress,
    /// When the leader last announced progress; 0 before the first announcement.
    progress_at: Micros,
    /// When the load balancer last sent a health check to this node.
    health_checked_at: Micros,
}

impl ClientRequests {
    /// Creates an instance without requests or cached data.
    pub(super) fn new() -> Self {
        Self {
            pending: HashMap::default(),
            proxied: HashMap::default(),
            last_proxied_conn: FIRST_PROXIED_CONN_ID,
            polls: Vec::new(),
            poll_batch_due_at: Micros::MAX,
            starvation: RequestStarvation::default(),
            final_states: FinalStateCache::new(FINAL_STATES_CACHED),
            progress: JobProgress::default(),
            progress_at: 0,
            health_checked_at: 0,
        }
    }

    /// Keeps a request until it is answered.
    pub(super) fn insert(&mut self, conn: ConnId, request: ClientRequest) {
        self.pending.insert(conn, request);
    }

    /// Removes and returns the pending request of this connection.
    pub(super) fn take(&mut self, conn: ConnId) -> Option<ClientRequest> {
        self.pending.remove(&conn)
    }

    /// The method of the pending request of this connection; empty if there is none.
    pub(super) fn method_of(&self, conn: ConnId) -> &'static str {
        self.pending.get(&conn).map_or("", |request| request.method)
    }

    /// Assigns a connection number of this node to a request that another controller forwarded.
    pub(super) fn insert_proxied(&mut self, conn: ConnId, ticket: Ticket) -> ConnId {
        self.last_proxied_conn += 1;
        self.proxied
            .insert(self.last_proxied_conn, ProxiedRequest { conn, ticket });
        self.last_proxied_conn
    }

    /// Removes and returns the forwarded request with this connection number, if there is one.
    pub(super) fn take_proxied(&mut self, conn: ConnId) -> Option<ProxiedRequest> {
        self.proxied.remove(&conn)
    }

    /// Whether the connection number identifies a request that another controller forwarded.
    pub(super) fn is_proxied(conn: ConnId) -> bool {
        conn >= FIRST_PROXIED_CONN_ID
    }

    /// The final state of a job, in the form that clients receive, if it is cached.
    pub(super) fn final_state(&self, uid: &str) -> Option<&Value> {
        self.final_states.get(uid)
    }

    /// Caches the final state of a job, in the form that clients receive.
    pub(super) fn cache_final_state(&mut self, uid: &str, body: Value) {
        self.final_states.put(uid, body);
    }

    /// Records a health check by the load balancer.
    pub(super) fn note_health_check(&mut self, now: Micros) {
        self.health_checked_at = now;
    }

    /// Whether the load balancer has recently sent a health check; if not, it may not reach this
    /// node.
    pub(super) fn is_health_checked(&self, now: Micros) -> bool {
        now < self.health_checked_at + SERVING_STATUS_TTL
    }

    /// Replaces the progress of the live jobs by the leader's new announcement.
    pub(super) fn replace_progress(&mut self, now: Micros, body: &[u8]) {
        self.progress.replace(body);
        self.progress_at = now;
    }

    /// Adds a job that this node has just accepted to the live jobs, until the leader's next
    /// announcement replaces them.
    pub(super) fn mark_job_live(&mut self, uid: &str) {
        self.progress.add(uid);
    }

    /// How many tasks of a job are done and how many are placed according to the leader's last
    /// announcement, unless it has expired.
    pub(super) fn progress_of(&self, now: Micros, uid: &str) -> Option<(u64, u64)> {
        let fresh = now < self.progress_at + PROGRESS_TTL;
        self.progress.get(uid).filter(|_| fresh)
    }

    /// Whether the leader has announced that a live job does not wait for other jobs.
    pub(super) fn is_announced_as_released(&self, uid: &str) -> bool {
        self.progress.is_released(uid)
    }

    /// When the leader last announced progress; 0 before the first announcement.
    pub(super) fn progress_at(&self) -> Micros {
        self.progress_at
    }

    /// Records that a request about this job could not be answered.
    pub(super) fn note_failure(&mut self, now: Micros, uid: &str) {
        self.starvation.record_failure(now, uid);
    }

    /// Records that a request about this job was answered.
    pub(super) fn note_answer(&mut self, uid: &str) {
        self.starvation.record_answer(uid);
    }

    /// Whether requests about this job have long gone unanswered.
    pub(super) fn is_starved(&self, now: Micros, uid: &str) -> bool {
        self.starvation.is_starved(now, uid)
    }

    /// How many jobs have unanswered requests, and the longest time that one has gone unanswered, in
    /// microseconds.
    pub(super) fn worst_starvation(&self, now: Micros) -> (usize, Micros) {
        self.starvation.unanswered_summary(now)
    }

    /// When the next batch of polls is due.
    pub(super) fn poll_batch_due_at(&self) -> Micros {
        self.poll_batch_due_at
    }

    /// Queues a poll for the next batch.
    pub(super) fn queue_poll(&mut self, now: Micros, poll: PendingPoll) {
        let delay = if poll.is_submission() {
            NEXT_POLL_BATCH_DELAY
        } else {
            POLL_BATCH_DELAY
        };
        self.polls.push(poll);
        self.poll_batch_due_at = self.poll_batch_due_at.min(now + delay);
    }

    /// Queues a poll again after its check failed.
    ///
    /// # Errors
    /// Returns the poll if it has waited longer than [`POLL_TIMEOUT`].
    pub(super) fn requeue_poll(
        &mut self,
        now: Micros,
        poll: PendingPoll,
    ) -> Result<(), PendingPoll> {
        if now >= poll.arrived_at + POLL_TIMEOUT {
            return Err(poll);
        }
        self.queue_poll(now, poll);
        Ok(())
    }

    /// Whether polls are queued and their batch is due.
    pub(super) fn has_due_polls(&self, now: Micros) -> bool {
        !self.polls.is_empty() && now >= self.poll_batch_due_at
    }

    /// Whether a queued poll belongs to a new submission, or to a job whose requests have long gone unanswered.
    pub(super) fn has_urgent_polls(&self, now: Micros) -> bool {
        let mut polls = self.polls.iter();
        polls.any(|poll| poll.is_submission() || self.starvation.is_starved(now, &poll.uid))
    }

    /// Postpones all polls to a later batch; removes and returns those that have waited longer than
    /// [`POLL_TIMEOUT`].
    pub(super) fn postpone_polls(&mut self, now: Micros) -> Vec<PendingPoll> {
        self.poll_batch_due_at = now + POLL_BATCH_DELAY;
        let polls = std::mem::take(&mut self.polls);
        let (kept, expired) = polls
            .into_iter()
            .partition(|poll| now < poll.arrived_at + POLL_TIMEOUT);
        self.polls = kept;
        expired
    }

    /// Removes and returns all polls. With `urgent_first`, those of new submissions come first, then those whose
    /// jobs have gone unanswered longest.
    pub(super) fn take_polls(&mut self, now: Micros, urgent_first: bool) -> Vec<PendingPoll> {
        if urgent_first {
            let starvation = &self.starvation;
            self.polls.sort_by_key(|poll| {
                let unanswered_for = starvation.unanswered_for(now, &poll.uid);
                Reverse((poll.is_submission(), unanswered_for))
            });
        }
        self.poll_batch_due_at = Micros::MAX;
        std::mem::take(&mut self.polls)
    }

    /// Puts polls that did not fit in a batch back, in front of the others, for the next batch.
    pub(super) fn put_back_polls(&mut self, now: Micros, mut polls: Vec<PendingPoll>) {
        if polls.is_empty() {
            return;
        }
        polls.append(&mut self.polls);
        self.polls = polls;
        self.poll_batch_due_at = now + NEXT_POLL_BATCH_DELAY;
    }
}
