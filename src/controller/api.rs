//! Requests of clients: routing, polls and cancellations, served here or by another controller.
//!
//! Whether a job is over is always read from the state service, never from memory: another node may
//! just have told the client of a cancellation. Only a final state already read is answered at
//! once, since it never changes. How far a live job is may come from the leader's announcement.

use super::api_error::ApiError;
use super::client_requests::{ClientRequest, ClientRequests, PendingPoll};
use super::leader_schedule::PROGRESS_INTERVAL;
use super::peer_links::{PeerCallPurpose, PeerRequest};
use super::state_replies::job_key;
use super::state_request::StateRequest;
use super::{CLIENT_REQUEST_TIMEOUT, Controller};
use crate::clock::{Micros, SECOND};
use crate::fault_injection::{InjectedFault, fault_injected};
use crate::job_record::{
    FINISHED_PREFIX, FinalState, final_body, finished_key, live_body, live_key, stopping_key,
};
use crate::jobs::Progress;
use crate::messages::ConnId;
use crate::schema::{self, Schema, chunk_key};
use crate::state_client::{Item, Op, Raw, Reply, RequestPriority, Transaction};
use crate::wire::{
    KIND_CANCELLED, KIND_CHECKSUM, KIND_CLIENT_REQUEST, KIND_PROGRESS, ProgressRow, is_valid_uid,
};
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

/// Changes of a cancellation besides the chunks: the live key, the final state and the header.
const CANCEL_CHANGES: usize = 3;
/// The leader serves no clients while at least this many peers do. With two, both of which crashed
/// at once, clients had no node at all until the load balancer took the leader back.
const SERVING_PEERS_MIN: usize = 3;

/// At most this many reads for starved polls wait among the changes of clients.
const QUEUED_STARVED_READS_MAX: usize = 4;
/// Nothing of a job is started for this long after another controller announced its cancellation.
const CANCELLATION_HINT_HOLD: Micros = 5 * SECOND;

impl Controller {
    /// The state service does not answer this node, but may answer another controller: a single node
    /// can be refused or cut off while the others are served.
    pub(super) fn state_unavailable(&mut self, conn: ConnId) {
        let request = self.client_requests.take(conn);
        if let (Some(request), Some(peer)) = (request, self.pick_helper_peer()) {
            self.forward_client_request(conn, peer, request);
        } else {
            self.respond_error(conn, &ApiError::StateUnavailable);
        }
    }

    /// A controller that may answer a client request for this node.
    fn pick_helper_peer(&mut self) -> Option<SocketAddr> {
        let leader = self.leader_name();
        self.peer_links
            .pick_helper(self.now.steady, leader.as_deref())
    }

    /// Has another controller serve a client's request.
    fn forward_client_request(&mut self, conn: ConnId, peer: SocketAddr, request: ClientRequest) {
        let about = format!("{} {}", request.method, request.path);
        self.call_peer(
            peer,
            PeerCallPurpose::ClientRequest { conn, peer },
            PeerRequest::new(KIND_CLIENT_REQUEST, about, request.body),
        );
    }

    /// Whether this node leads and enough of its peers can serve the clients. The leader has the
    /// most to do, and when it stops its clients' requests stop with it; so the two are better kept
    /// apart. With few peers, their end would leave nobody.
    fn peers_serve_clients(&self) -> bool {
        self.is_leader() && self.peer_links.serving_count(self.now.steady) >= SERVING_PEERS_MIN
    }

    /// Whether neither the state service nor another controller has answered this node for a while.
    /// What it knows may be older than what its clients were told elsewhere, and nobody can answer
    /// for it: it says so at once, to the load balancer too, so that clients and workers go where
    /// they can be served.
    pub fn is_isolated(&self) -> bool {
        let now = self.now.steady;
        self.peer_links
            .is_isolated(now, self.state.failing_for(now))
    }

    /// Refuses a request if this node is isolated; returns whether it is.
    pub(super) fn refused_as_isolated(&mut self, conn: ConnId) -> bool {
        let isolated = self.is_isolated();
        if isolated {
            self.respond_error(conn, &ApiError::Isolated);
        }
        isolated
    }

    /// While the state service fails: calls another controller, taking turns, for nothing but a sign
    /// of life. In an outage for all of them, nobody may have another reason to call.
    pub(super) fn check_peer_liveness(&mut self) {
        let now = self.now.steady;
        let failing_for = self.state.failing_for(now);
        let Some(dest) = self.peer_links.take_liveness_check(now, failing_for) else {
            return;
        };
        // An empty checksum frame: every version acknowledges and ignores it.
        let request = PeerRequest::new(KIND_CHECKSUM, &*self.settings.name, Vec::new());
        self.call_peer(
            dest,
            PeerCallPurpose::LivenessCheck,
            request.with_timeout(SECOND),
        );
    }

    /// Keeps a client's request until it is answered; true if it is answered elsewhere already,
    /// since the state service has just failed this node or it is isolated.
    pub(super) fn forward_if_needed(
        &mut self,
        conn: ConnId,
        method: &'static str,
        path: String,
        body: &[u8],
    ) -> bool {
        if ClientRequests::is_proxied(conn) {
            return false;
        }
        if self.refused_as_isolated(conn) {
            return true;
        }
        let body = body.to_vec();
        let request = ClientRequest { method, path, body };
        if self.state.is_failing()
            && let Some(peer) = self.pick_helper_peer()
        {
            self.forward_client_request(conn, peer, request);
            return true;
        }
        self.client_requests.insert(conn, request);
        false
    }

    /// The leader, by its own recent announcement or by the leader key.
    pub(super) fn leader_name(&self) -> Option<String> {
        self.peer_links
            .leader_hint(self.now.steady)
            .map(str::to_owned)
            .or_else(|| self.election.leader().map(|record| record.node.clone()))
    }

    /// Routes a request of a client, a worker, the load balancer or an operator.
    pub(super) fn handle_request(&mut self, conn: ConnId, method: &str, path: &str, body: Vec<u8>) {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        match (method, parts.as_slice()) {
            ("GET", ["up"]) => self.handle_health_check(conn),
            ("POST", ["work"]) => self.submit(conn, &body),
            ("GET", ["work", uid]) => self.poll_job(conn, uid),
            ("POST", ["work", uid, "cancel"]) => self.cancel_job(conn, uid),
            ("POST", ["checkin"]) => self.handle_heartbeat(conn, body),
            ("GET", ["inspect", rest @ ..]) => self.handle_admin_request(conn, rest, query),
            (
                _,
                ["up" | "work" | "checkin"] | ["work", _] | ["work", _, "cancel"] | ["inspect", ..],
            ) => self.respond_error(conn, &ApiError::MethodNotAllowed),
            _ => self.respond_error(conn, &ApiError::NoSuchPath),
        }
    }

    /// Tells the load balancer whether clients should come to this node.
    fn handle_health_check(&mut self, conn: ConnId) {
        self.client_requests.note_health_check(self.now.steady);
        if self.cloud.types.is_empty() {
            return self.respond_error(conn, &ApiError::Starting);
        }
        if self.refused_as_isolated(conn) {
            return;
        }
        if self.peers_serve_clients() {
            return self.respond_error(conn, &ApiError::LeaderServesNoClients);
        }
        self.note_startup_answer("GET /up", 200);
        self.respond(conn, 200, &json!({"up": true}));
    }

    /// Answers at once for a job whose final state this node has read; returns whether it has.
    pub(super) fn answer_from_final_state(&mut self, conn: ConnId, uid: &str) -> bool {
        let Some(body) = self.client_requests.final_state(uid).cloned() else {
            return false;
        };
        self.respond(conn, 200, &body);
        true
    }

    /// Answers a client's poll of a job.
    fn poll_job(&mut self, conn: ConnId, uid: &str) {
        if !is_valid_uid(uid) {
            return self.respond_error(conn, &ApiError::NoSuchJob);
        }
        if self.answer_from_final_state(conn, uid) {
            return;
        }
        if self.forward_if_needed(conn, "GET", format!("/work/{uid}"), &[]) {
            return;
        }
        // Whether jobs are over is checked for many at once; how far they are, the leader announces.
        if self.job_counts(uid).is_some() {
            let now = self.now.steady;
            let uid = uid.into();
            let poll = PendingPoll {
                conn,
                uid,
                asked_at: now,
            };
            return self.client_requests.queue_poll(now, poll);
        }
        self.read_for_poll(conn, uid.into(), false);
    }

    /// Reads a job for a poll. Reads for a job that had no answer for long are queued with the
    /// changes of clients, but only a few at a time: after an outage all polls are of that kind, and
    /// submissions wait too.
    pub(super) fn read_for_poll(&mut self, conn: ConnId, uid: Arc<str>, over: bool) {
        let now = self.now.steady;
        let few = self.state.queued(RequestPriority::Client) < QUEUED_STARVED_READS_MAX;
        let priority = if few && self.client_requests.is_starved(now, &uid) {
            RequestPriority::Client
        } else {
            RequestPriority::Background
        };
        let op = Op::Get(job_key(&uid, over));
        let request = StateRequest::PollJob {
            conn,
            uid,
            finished: over,
        };
        self.state
            .submit(now, request, priority, op, CLIENT_REQUEST_TIMEOUT);
    }

    /// A poll could not be answered here.
    pub(super) fn poll_failed(&mut self, conn: ConnId, uid: &str) {
        self.client_requests.note_failure(self.now.steady, uid);
        self.state_unavailable(conn);
    }

    /// Tasks done and placed of a live job, by the leader's last announcement. While there is no
    /// leader nobody knows anything newer, and the stored counts are older still.
    fn job_counts(&self, uid: &str) -> Option<(u64, u64)> {
        if self.is_leader() {
            let job = self.leader_state.as_ref()?.jobs.get(uid)?;
            return Some((
                job.spec.tasks - job.remaining_tasks(),
                job.placements.len() as u64,
            ));
        }
        self.client_requests.progress_of(self.now.steady, uid)
    }

    /// Checks for all jobs polled in the last moment at once whether they are over. When the request
    /// budget is short, more polls share each check instead of going without an answer.
    pub(super) fn flush_polls(&mut self) {
        let now = self.now.steady;
        if !self.client_requests.has_due_polls(now) {
            return;
        }
        // Polls yield to one another and to everything else; but one check answers so many of
        // them that it may go first when some have had no answer for long.
        let starved = self.client_requests.has_starved_polls(now);
        if !starved && !self.state.has_background_budget(now) {
            for poll in self.client_requests.postpone_polls(now) {
                self.poll_failed(poll.conn, &poll.uid);
            }
            return;
        }
        let max = self.schema().txn_ops.max(1) * 4;
        let polls = self.client_requests.take_poll_batch(now, starved, max);
        let mut txn = Transaction::default();
        let keys: BTreeSet<&str> = polls.iter().map(|poll| &*poll.uid).collect();
        for uid in keys {
            txn = txn.require_revision(finished_key(uid), 0);
        }
        let priority = if starved {
            RequestPriority::Client
        } else {
            RequestPriority::Background
        };
        let request = StateRequest::CheckFinished { polls };
        self.state.submit(
            now,
            request,
            priority,
            Op::Transaction(txn),
            CLIENT_REQUEST_TIMEOUT,
        );
    }

    /// Handles which of the polled jobs are over.
    pub(super) fn polls_checked(&mut self, polls: Vec<PendingPoll>, reply: &Reply) {
        let ended: Vec<&str> = match reply {
            Reply::Applied { .. } => Vec::new(),
            Reply::Conflict { failed } => failed
                .iter()
                .filter_map(|key| key.strip_prefix(FINISHED_PREFIX))
                .collect(),
            _ => {
                // Other requests used up this node's budget, as during a failover: the check is
                // made again for as long as the polls may wait.
                let now = self.now.steady;
                let retry = matches!(reply, Reply::Unavailable) && !self.state.is_failing();
                for poll in polls {
                    let failed = if retry {
                        self.client_requests.requeue_poll(now, poll).err()
                    } else {
                        Some(poll)
                    };
                    if let Some(poll) = failed {
                        self.poll_failed(poll.conn, &poll.uid);
                    }
                }
                return;
            }
        };
        for PendingPoll { conn, uid, .. } in polls {
            if ended.contains(&&*uid) {
                self.read_for_poll(conn, uid, true);
                continue;
            }
            if let Some((done, running)) = self.job_counts(&uid) {
                self.client_requests.note_answer(&uid);
                self.respond(conn, 200, &live_body(&uid, done, running));
            } else {
                self.read_for_poll(conn, uid, false);
            }
        }
    }

    /// Announces to the other controllers how far the live jobs are, so that polls need not read
    /// them, and to the standbys the checksum over them.
    pub(super) fn announce_progress(&mut self) {
        let now = self.now.steady;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        if !leader_state.schedule.take_progress_announcement(now) {
            return;
        }
        let jobs = leader_state
            .jobs
            .by_number
            .values()
            .filter(|job| !job.cancelled);
        let rows = jobs.filter_map(|job| {
            let done = job.spec.tasks - job.remaining_tasks();
            ProgressRow::new(&job.spec.uid, done as u32, job.placements.len() as u32)
        });
        let (body, left_out) = Progress::frame(rows);
        let minute = |at: Micros| at / (60 * SECOND);
        if left_out > 0 && minute(now) != minute(now.saturating_sub(PROGRESS_INTERVAL)) {
            log::warn!("progress frame full, polls of the other jobs are read jobs={left_out}");
        }
        for peer in self.peer_links.addresses() {
            let request = PeerRequest::new(KIND_PROGRESS, &*self.settings.name, body.clone());
            self.call_peer(
                peer,
                PeerCallPurpose::ProgressAnnouncement { peer },
                request.with_timeout(SECOND),
            );
        }
        self.announce_checksum();
    }

    /// Cancels a job for a client.
    fn cancel_job(&mut self, conn: ConnId, uid: &str) {
        if !is_valid_uid(uid) {
            return self.respond_error(conn, &ApiError::NoSuchJob);
        }
        if self.answer_from_final_state(conn, uid) {
            return;
        }
        if self.forward_if_needed(conn, "POST", format!("/work/{uid}/cancel"), &[]) {
            return;
        }
        self.read_for_cancel(conn, uid.into(), false, 0);
    }

    /// Reads the job that is to be cancelled.
    pub(super) fn read_for_cancel(&mut self, conn: ConnId, uid: Arc<str>, over: bool, tries: u32) {
        let op = Op::Get(job_key(&uid, over));
        let request = StateRequest::ReadForCancel {
            conn,
            uid,
            finished: over,
            retries: tries,
        };
        self.request_state(request, op, CLIENT_REQUEST_TIMEOUT);
    }

    /// Announces to the leader a cancellation that this node has just confirmed, in case the state
    /// service does not report it in time.
    pub(super) fn announce_cancellation(&mut self, uid: &str) {
        let Some(dest) = self.leader_peer().map(|p| p.address) else {
            return;
        };
        let body = uid.as_bytes().to_vec();
        let request = PeerRequest::new(KIND_CANCELLED, &*self.settings.name, body);
        self.call_peer(
            dest,
            PeerCallPurpose::LivenessCheck,
            request.with_timeout(SECOND),
        );
    }

    /// Another controller announced that the job was cancelled. What is stored decides, and is
    /// reported by the watch; until then its tasks are stopped and none is started, which costs some
    /// work at most if the announcement was wrong.
    pub(super) fn cancellation_hinted(&mut self, uid: &str) {
        let now = self.now.steady;
        let Some(leader_state) = self
            .leader_state
            .as_mut()
            .filter(|l| l.pending_load.is_none())
        else {
            return;
        };
        let Some(job) = leader_state.jobs.get_mut(uid).filter(|job| !job.cancelled) else {
            return;
        };
        job.not_before = job.not_before.max(now + CANCELLATION_HINT_HOLD);
        Self::stop_all_tasks(&mut leader_state.workers, job);
        leader_state.cancellation_hints += 1;
        self.apply_ledger_events();
    }

    /// Answers with the state of a stored job; `over` says that the item is its final state.
    pub(super) fn respond_stored_state(&mut self, conn: ConnId, uid: &str, over: bool, item: Item) {
        let body = if over {
            serde_json::from_str::<FinalState>(item.value.get())
                .ok()
                .map(|end| final_body(uid, &end))
        } else {
            schema::decode_job(&item.value)
                .ok()
                .map(|(record, _)| record.status_body())
        };
        let Some(body) = body else {
            return self.respond_error(conn, &ApiError::StoredJobUnreadable);
        };
        if over {
            self.client_requests.cache_final_state(uid, body.clone());
        }
        self.respond(conn, 200, &body);
    }

    /// Handles what is stored of a job that is to be cancelled.
    pub(super) fn cancel_job_read(
        &mut self,
        conn: ConnId,
        uid: Arc<str>,
        over: bool,
        tries: u32,
        reply: Reply,
    ) {
        match reply {
            Reply::Item(item) if over && fault_injected(InjectedFault::FinalStateOverwritten) => {
                self.overwrite_final_state(conn, uid, tries, &item);
            }
            Reply::Item(item) if over => self.respond_stored_state(conn, &uid, true, item),
            Reply::Item(item) => match self.cancellation_of(&uid, item) {
                Ok((txn, body)) => self.write_cancel(conn, uid, tries, body, txn),
                Err(error) => self.respond_error(conn, &error),
            },
            Reply::Absent if !over => self.read_for_cancel(conn, uid, true, tries),
            Reply::Absent => self.respond_error(conn, &ApiError::NoSuchJob),
            _ => self.state_unavailable(conn),
        }
    }

    fn write_cancel(
        &mut self,
        conn: ConnId,
        uid: Arc<str>,
        tries: u32,
        body: Value,
        txn: Transaction,
    ) {
        let request = StateRequest::WriteCancel {
            conn,
            uid,
            retries: tries,
            body,
        };
        self.request_state(request, Op::Transaction(txn), CLIENT_REQUEST_TIMEOUT);
    }

    /// The injected fault: a final state is written over.
    fn overwrite_final_state(&mut self, conn: ConnId, uid: Arc<str>, tries: u32, item: &Item) {
        if let Ok(mut end) = serde_json::from_str::<FinalState>(item.value.get()) {
            end.status = "cancelled".to_owned();
            let body = final_body(&uid, &end);
            let txn = Transaction::default().set(finished_key(&uid), &end);
            self.write_cancel(conn, uid, tries, body, txn);
        }
    }

    /// The write that cancels a live job, and what its client is answered.
    ///
    /// # Errors
    /// [`ApiError::StoredJobUnreadable`], and [`ApiError::JobTooWideToCancel`] if the record has to
    /// be rewritten under smaller limits and one transaction does not hold it.
    fn cancellation_of(&self, uid: &str, item: Item) -> Result<(Transaction, Value), ApiError> {
        let (record, chunks) = schema::decode_job(&item.value).map_err(|error| {
            log::error!("stored job unreadable key={} error={error}", item.path);
            ApiError::StoredJobUnreadable
        })?;
        let schema = self.schema();
        let end = record.finish("cancelled", self.now.wall);
        let end = end.fit(schema.usable_bytes());
        let body = final_body(uid, &end);
        let mut txn = Transaction::default()
            .require_revision(live_key(uid), item.mod_revision)
            .require_revision(finished_key(uid), 0)
            .delete(live_key(uid))
            .set(finished_key(uid), &end);
        // Tasks of the job may be on machines: the leader, also a later one, stops them and counts
        // them until they are gone.
        if chunks > 0 || (!record.placed.is_empty() && fits_value_limit(&item.value, &schema)) {
            // Its chunks stay where they are.
            txn = txn.set_raw(stopping_key(uid), item.value);
        } else if !record.placed.is_empty() {
            // Stored under larger limits: it is encoded anew.
            let values = schema
                .encode_job(&record)
                .filter(|values| values.chunks.len() + CANCEL_CHANGES <= schema.txn_ops)
                .ok_or(ApiError::JobTooWideToCancel)?;
            txn = txn.set_raw(stopping_key(uid), values.header);
            for (number, value) in values.chunks.into_iter().enumerate() {
                txn = txn.set_raw(chunk_key(uid, number), value);
            }
        }
        Ok((txn, body))
    }
}

/// Whether a stored value may be written again as it is.
pub(super) fn fits_value_limit(value: &Raw, schema: &Schema) -> bool {
    value.get().len() <= schema.value_bytes
}
