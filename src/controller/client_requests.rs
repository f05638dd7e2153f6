//! Client requests under way and what this node knows to answer them.
//!
//! [`ClientRequests`] owns the requests that wait for an answer, the polls that wait to be checked
//! together, the final states already read, the leader's last progress announcement, and which
//! jobs have had no answer for long. It neither reads the state service nor answers clients: the
//! controller does both. A final state never changes, so one that is cached here may be served at
//! any time; progress is a hint, shown only beside a fresh check that the job is still live.

use super::peer_links::SERVING_FRESH_FOR;
use crate::clock::{MILLISECOND, Micros, SECOND};
use crate::jobs::{FinalCache, Progress};
use crate::messages::{ConnId, Ticket};
use crate::request_starvation::RequestStarvation;
use crate::seeded_hash::HashMap;
use serde_json::Value;
use std::cmp::Reverse;
use std::sync::Arc;

/// Connection numbers above this stand for requests that came through another controller.
const FIRST_PROXIED_CONN_ID: ConnId = 1 << 63;
/// Final states of jobs kept in memory.
const FINAL_STATES_CACHED: usize = 4096;
/// Polls that arrive within this time are checked together.
const POLL_BATCH_DELAY: Micros = 20 * MILLISECOND;
/// After a full batch, the rest of the polls follows this much later.
const POLL_REST_DELAY: Micros = MILLISECOND;
/// How long a poll waits for request budget; clients give a poll 2 s.
const POLL_TIMEOUT: Micros = 1_200 * MILLISECOND;
/// Without an announcement by the leader for this long, the stored counts are shown instead.
const PROGRESS_KEPT_FOR: Micros = 60 * SECOND;

/// A client's request, kept until it is answered: another controller may be able to answer it.
pub(super) struct ClientRequest {
    /// The HTTP method.
    pub(super) method: &'static str,
    /// The path, without a query.
    pub(super) path: String,
    /// The body as received.
    pub(super) body: Vec<u8>,
}

/// A poll that waits to be checked together with others.
pub(super) struct PendingPoll {
    /// The connection to answer.
    pub(super) conn: ConnId,
    /// The job asked about.
    pub(super) uid: Arc<str>,
    /// When the poll arrived.
    pub(super) asked_at: Micros,
}

/// Where the answer to a request goes that another controller forwarded.
pub(super) struct ProxiedRequest {
    /// The connection of the other controller.
    pub(super) conn: ConnId,
    /// The number that the other controller gave its request.
    pub(super) ticket: Ticket,
}

/// Client requests under way and what is known to answer them.
pub(super) struct ClientRequests {
    waiting: HashMap<ConnId, ClientRequest>,
    proxied: HashMap<ConnId, ProxiedRequest>,
    last_proxied_conn: ConnId,
    polls: Vec<PendingPoll>,
    poll_batch_due_at: Micros,
    starvation: RequestStarvation,
    final_states: FinalCache,
    progress: Progress,
    /// When the leader last announced progress; 0 before the first time.
    progress_at: Micros,
    /// When the load balancer last checked whether this node is up.
    health_checked_at: Micros,
}

impl ClientRequests {
    /// Without any request, and nothing known.
    pub(super) fn new() -> Self {
        Self {
            waiting: HashMap::default(),
            proxied: HashMap::default(),
            last_proxied_conn: FIRST_PROXIED_CONN_ID,
            polls: Vec::new(),
            poll_batch_due_at: Micros::MAX,
            starvation: RequestStarvation::default(),
            final_states: FinalCache::new(FINAL_STATES_CACHED),
            progress: Progress::default(),
            progress_at: 0,
            health_checked_at: 0,
        }
    }

    /// Keeps a request until it is answered.
    pub(super) fn insert(&mut self, conn: ConnId, request: ClientRequest) {
        self.waiting.insert(conn, request);
    }

    /// The request that waits on that connection, which is over with this.
    pub(super) fn take(&mut self, conn: ConnId) -> Option<ClientRequest> {
        self.waiting.remove(&conn)
    }

    /// The method of the request that waits on that connection; empty if none does.
    pub(super) fn method_of(&self, conn: ConnId) -> &'static str {
        self.waiting.get(&conn).map_or("", |request| request.method)
    }

    /// Gives a request forwarded by another controller a connection number of this node.
    pub(super) fn insert_proxied(&mut self, conn: ConnId, ticket: Ticket) -> ConnId {
        self.last_proxied_conn += 1;
        self.proxied
            .insert(self.last_proxied_conn, ProxiedRequest { conn, ticket });
        self.last_proxied_conn
    }

    /// Where the answer for that connection number goes, if another controller forwarded it.
    pub(super) fn take_proxied(&mut self, conn: ConnId) -> Option<ProxiedRequest> {
        self.proxied.remove(&conn)
    }

    /// Whether the connection number stands for a request forwarded by another controller.
    pub(super) fn is_proxied(conn: ConnId) -> bool {
        conn >= FIRST_PROXIED_CONN_ID
    }

    /// The final state of a job, as clients see it, if this node has read it.
    pub(super) fn final_state(&self, uid: &str) -> Option<&Value> {
        self.final_states.get(uid)
    }

    /// Keeps the final state of a job, as clients see it.
    pub(super) fn cache_final_state(&mut self, uid: &str, body: Value) {
        self.final_states.put(uid, body);
    }

    /// The load balancer checked whether this node is up.
    pub(super) fn note_health_check(&mut self, now: Micros) {
        self.health_checked_at = now;
    }

    /// Whether the load balancer checked this node a moment ago; otherwise it may not reach it.
    pub(super) fn is_health_checked(&self, now: Micros) -> bool {
        now < self.health_checked_at + SERVING_FRESH_FOR
    }

    /// Takes the leader's announcement of how far the live jobs are.
    pub(super) fn replace_progress(&mut self, now: Micros, body: &[u8]) {
        self.progress.replace(body);
        self.progress_at = now;
    }

    /// This node has just accepted the job: it is live until the leader's next announcement.
    pub(super) fn add_progress(&mut self, uid: &str) {
        self.progress.add(uid);
    }

    /// Tasks done and placed of a job by the leader's last announcement, while that is usable.
    pub(super) fn progress_of(&self, now: Micros, uid: &str) -> Option<(u64, u64)> {
        let fresh = now < self.progress_at + PROGRESS_KEPT_FOR;
        self.progress.get(uid).filter(|_| fresh)
    }

    /// When the leader last announced progress; 0 before the first time.
    pub(super) fn progress_at(&self) -> Micros {
        self.progress_at
    }

    /// A request about that job could not be answered.
    pub(super) fn note_failure(&mut self, now: Micros, uid: &str) {
        self.starvation.record_failure(now, uid);
    }

    /// A request about that job was answered.
    pub(super) fn note_answer(&mut self, uid: &str) {
        self.starvation.record_answer(uid);
    }

    /// Whether requests about that job have gone without an answer for long.
    pub(super) fn is_starved(&self, now: Micros, uid: &str) -> bool {
        self.starvation.is_starved(now, uid)
    }

    /// How many jobs are without an answer, and for how long at most, in microseconds.
    pub(super) fn worst_starvation(&self, now: Micros) -> (usize, Micros) {
        self.starvation.unanswered_summary(now)
    }

    /// When the next polls are to be checked.
    pub(super) fn poll_batch_due_at(&self) -> Micros {
        self.poll_batch_due_at
    }

    /// A poll to be checked together with others.
    pub(super) fn queue_poll(&mut self, now: Micros, poll: PendingPoll) {
        self.polls.push(poll);
        self.poll_batch_due_at = self.poll_batch_due_at.min(now + POLL_BATCH_DELAY);
    }

    /// Queues a poll once more whose check could not be made.
    ///
    /// # Errors
    /// The poll, if it has waited for too long.
    pub(super) fn requeue_poll(
        &mut self,
        now: Micros,
        poll: PendingPoll,
    ) -> Result<(), PendingPoll> {
        if now >= poll.asked_at + POLL_TIMEOUT {
            return Err(poll);
        }
        self.queue_poll(now, poll);
        Ok(())
    }

    /// Whether polls wait whose batch is due.
    pub(super) fn has_due_polls(&self, now: Micros) -> bool {
        !self.polls.is_empty() && now >= self.poll_batch_due_at
    }

    /// Whether a poll waits for a job that had no answer for long.
    pub(super) fn has_starved_polls(&self, now: Micros) -> bool {
        let mut polls = self.polls.iter();
        polls.any(|poll| self.starvation.is_starved(now, &poll.uid))
    }

    /// Lets all polls wait for another batch; those that have waited for too long are returned.
    pub(super) fn postpone_polls(&mut self, now: Micros) -> Vec<PendingPoll> {
        self.poll_batch_due_at = now + POLL_BATCH_DELAY;
        let waiting = std::mem::take(&mut self.polls);
        let (kept, expired) = waiting
            .into_iter()
            .partition(|poll| now < poll.asked_at + POLL_TIMEOUT);
        self.polls = kept;
        expired
    }

    /// The polls to be checked together now, at most `max`; starved ones first if asked for.
    pub(super) fn take_poll_batch(
        &mut self,
        now: Micros,
        starved_first: bool,
        max: usize,
    ) -> Vec<PendingPoll> {
        if starved_first {
            let starvation = &self.starvation;
            self.polls
                .sort_by_key(|poll| Reverse(starvation.unanswered_for(now, &poll.uid)));
        }
        let batch = self.polls.drain(..max.min(self.polls.len())).collect();
        self.poll_batch_due_at = if self.polls.is_empty() {
            Micros::MAX
        } else {
            now + POLL_REST_DELAY
        };
        batch
    }
}
