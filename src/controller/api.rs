//! The HTTP API: routing, health checks and cancellations, served by this node or by another controller.
//!
//! Polls are answered in `polls`, submissions in `submission`. A cancellation is one conditional write by
//! the node that receives it, and is answered once it is stored.

use super::api_error::ApiError;
use super::client_requests::{ClientRequest, ClientRequests};
use super::leader_schedule::PROGRESS_INTERVAL;
use super::peer_links::{PeerCallPurpose, PeerRequest};
use super::state_replies::job_key;
use super::state_request::StateRequest;
use super::{CLIENT_REQUEST_TIMEOUT, Controller};
use crate::clock::{Micros, SECOND};
use crate::fault_injection::{InjectedFault, fault_injected};
use crate::job_record::{FinalState, final_status_body, finished_key, live_key, stopping_key};
use crate::jobs::JobProgress;
use crate::messages::ConnId;
use crate::schema::{self, Schema, chunk_key};
use crate::state_client::{KeyValue, Op, RawJson, Reply, Transaction};
use crate::wire::{
    KIND_CANCELLED, KIND_CHECKSUM, KIND_CLIENT_REQUEST, KIND_PROGRESS, ProgressRow, is_valid_uid,
};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;

/// Number of changes in a cancellation besides the chunks: the live key, the final state and the
/// header.
const CANCEL_CHANGES: usize = 3;
/// The leader serves no clients while at least this many peers do. With a limit of two, a crash of
/// both left clients without any node until the load balancer used the leader again.
const SERVING_PEERS_MIN: usize = 3;

/// After another controller announced that a job is cancelled, no task of the job starts for this
/// long.
const CANCELLATION_HINT_HOLD: Micros = 5 * SECOND;

impl Controller {
    /// Forwards a client's request to another controller because the state service does not answer
    /// this node; without such a controller, answers with an error. The state service can reject a
    /// single node, or be unreachable from it, while it serves the others.
    pub(super) fn handle_state_unavailable(&mut self, conn: ConnId) {
        let request = self.client_requests.take(conn);
        if let (Some(request), Some(peer)) = (request, self.pick_forwarding_peer()) {
            self.forward_client_request(conn, peer, request);
        } else {
            self.respond_error(conn, &ApiError::StateUnavailable);
        }
    }

    /// Picks a controller that may be able to serve a client request for this node.
    fn pick_forwarding_peer(&mut self) -> Option<SocketAddr> {
        let leader = self.leader_name();
        self.peer_links
            .pick_forwarding_target(self.now.steady, leader.as_deref())
    }

    /// Forwards a client's request to another controller.
    fn forward_client_request(&mut self, conn: ConnId, peer: SocketAddr, request: ClientRequest) {
        let request_line = format!("{} {}", request.method, request.path);
        self.call_peer(
            peer,
            PeerCallPurpose::ClientRequest { conn, peer },
            PeerRequest::new(KIND_CLIENT_REQUEST, request_line, request.body),
        );
    }

    /// Whether this node leads and enough of its peers can serve the clients instead. The leader has
    /// the highest load, and its failure would also interrupt the client requests that it serves.
    /// With too few serving peers, though, their failure would leave clients without any node.
    fn peers_serve_clients(&self) -> bool {
        self.is_leader() && self.peer_links.serving_count(self.now.steady) >= SERVING_PEERS_MIN
    }

    /// Whether neither the state service nor another controller has answered this node for a while.
    /// Its data may then be older than what other nodes told its clients, and no other node can
    /// serve requests for it. It rejects requests and health checks at once, so that clients and
    /// workers turn to other nodes.
    pub fn is_isolated(&self) -> bool {
        let now = self.now.steady;
        self.peer_links
            .is_isolated(now, self.state.failing_for(now))
    }

    /// Rejects a request if this node is isolated; returns whether it is.
    pub(super) fn reject_if_isolated(&mut self, conn: ConnId) -> bool {
        let isolated = self.is_isolated();
        if isolated {
            self.respond_error(conn, &ApiError::Isolated);
        }
        isolated
    }

    /// While the state service fails, calls the other controllers in turn only to see whether they
    /// answer. If the outage affects all controllers, there may be no other calls between them.
    pub(super) fn check_peer_liveness(&mut self) {
        let now = self.now.steady;
        let failing_for = self.state.failing_for(now);
        let Some(dest) = self.peer_links.take_liveness_check(now, failing_for) else {
            return;
        };
        // Every program version acknowledges an empty checksum frame and ignores it.
        let request = PeerRequest::new(KIND_CHECKSUM, &*self.settings.name, Vec::new());
        self.call_peer(
            dest,
            PeerCallPurpose::LivenessCheck,
            request.with_timeout(SECOND),
        );
    }

    /// Forwards a client's request to another controller if the state service is failing for this
    /// node, or rejects it if this node is isolated. Returns true in both cases; otherwise keeps the
    /// request until it is answered, so that it can still be forwarded, and returns false.
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
        if self.reject_if_isolated(conn) {
            return true;
        }
        let body = body.to_vec();
        let request = ClientRequest { method, path, body };
        if self.state.is_failing()
            && let Some(peer) = self.pick_forwarding_peer()
        {
            self.forward_client_request(conn, peer, request);
            return true;
        }
        self.client_requests.insert(conn, request);
        false
    }

    /// The name of the leader, from its own recent announcement or else from the leader key.
    pub(super) fn leader_name(&self) -> Option<String> {
        self.peer_links
            .leader_hint(self.now.steady)
            .map(str::to_owned)
            .or_else(|| self.election.leader().map(|record| record.node.clone()))
    }

    /// Routes a request from a client, a worker, the load balancer or an operator.
    pub(super) fn handle_request(&mut self, conn: ConnId, method: &str, path: &str, body: Vec<u8>) {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        match (method, segments.as_slice()) {
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

    /// Answers the load balancer's health check: whether it should route clients to this node.
    fn handle_health_check(&mut self, conn: ConnId) {
        self.client_requests.note_health_check(self.now.steady);
        if self.cloud.types.is_empty() {
            return self.respond_error(conn, &ApiError::Starting);
        }
        if self.reject_if_isolated(conn) {
            return;
        }
        if self.peers_serve_clients() {
            return self.respond_error(conn, &ApiError::LeaderServesNoClients);
        }
        self.note_startup_answer("GET /up", 200);
        self.respond(conn, 200, &json!({"up": true}));
    }

    /// Announces the progress of the live jobs to the other controllers, so that polls need not read
    /// it from the state service, and the checksum of the live jobs to the standbys.
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
        let job_rows = jobs.flat_map(|job| {
            let uid = &job.spec.uid;
            let done = job.spec.tasks - job.remaining_tasks();
            let mark = job
                .waits_for_dependencies()
                .then(|| ProgressRow::waiting_mark(uid))
                .flatten();
            // A mark comes before the row of its job: if the frame is full, no job is left without its mark.
            [
                mark,
                ProgressRow::new(uid, done as u32, job.placements.len() as u32),
            ]
        });
        let rows = std::iter::once(ProgressRow::marks_included()).chain(job_rows.flatten());
        let (body, left_out) = JobProgress::encode_frame(rows);
        let minute = |at: Micros| at / (60 * SECOND);
        if left_out > 0 && minute(now) != minute(now.saturating_sub(PROGRESS_INTERVAL)) {
            log::warn!(
                "progress announcement is full; polls of the omitted jobs read from the state service jobs={left_out}"
            );
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

    /// Reads a job that a client cancels: its final state if `finished` is set, else its live record.
    pub(super) fn read_for_cancel(
        &mut self,
        conn: ConnId,
        uid: Arc<str>,
        finished: bool,
        retries: u32,
    ) {
        let op = Op::Get(job_key(&uid, finished));
        let request = StateRequest::ReadForCancel {
            conn,
            uid,
            finished,
            retries,
        };
        self.request_state(request, op, CLIENT_REQUEST_TIMEOUT);
    }

    /// Announces to the leader a cancellation that this node has just confirmed to a client, in case
    /// the leader's watch does not report it in time.
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

    /// Handles another controller's announcement that a job was cancelled. Only the stored state,
    /// which the watch reports, is authoritative. Until then the leader stops the job's tasks and
    /// starts none; if the announcement was wrong, this costs some work and nothing else.
    pub(super) fn handle_cancellation_hint(&mut self, uid: &str) {
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

    /// Handles the reply to the read of a job that a client cancels.
    pub(super) fn handle_read_for_cancel_reply(
        &mut self,
        conn: ConnId,
        uid: Arc<str>,
        finished: bool,
        retries: u32,
        reply: Reply,
    ) {
        match reply {
            Reply::KeyValue(item)
                if finished && fault_injected(InjectedFault::FinalStateOverwritten) =>
            {
                self.overwrite_final_state(conn, uid, retries, &item);
            }
            Reply::KeyValue(item) if finished => self.respond_stored_state(conn, &uid, true, item),
            Reply::KeyValue(item) => match self.cancellation_transaction(&uid, item) {
                Ok((txn, body)) => self.write_cancel(conn, uid, retries, body, txn),
                Err(error) => self.respond_error(conn, &error),
            },
            Reply::NotFound if !finished => self.read_for_cancel(conn, uid, true, retries),
            Reply::NotFound => self.respond_error(conn, &ApiError::NoSuchJob),
            _ => self.handle_state_unavailable(conn),
        }
    }

    fn write_cancel(
        &mut self,
        conn: ConnId,
        uid: Arc<str>,
        retries: u32,
        body: Value,
        txn: Transaction,
    ) {
        let request = StateRequest::WriteCancel {
            conn,
            uid,
            retries,
            body,
        };
        self.request_state(request, Op::Transaction(txn), CLIENT_REQUEST_TIMEOUT);
    }

    /// Overwrites a final state, as the injected fault [`InjectedFault::FinalOverwritten`] does.
    fn overwrite_final_state(
        &mut self,
        conn: ConnId,
        uid: Arc<str>,
        retries: u32,
        item: &KeyValue,
    ) {
        if let Ok(mut end) = serde_json::from_str::<FinalState>(item.value.get()) {
            end.status = "cancelled".to_owned();
            let body = final_status_body(&uid, &end);
            let txn = Transaction::default().set(finished_key(&uid), &end);
            self.write_cancel(conn, uid, retries, body, txn);
        }
    }

    /// The write that cancels a live job, and the body of the answer to the client.
    ///
    /// # Errors
    /// [`ApiError::StoredJobUnreadable`], or [`ApiError::JobTooWideToCancel`] if the record must be
    /// rewritten under smaller limits and does not fit in one transaction.
    fn cancellation_transaction(
        &self,
        uid: &str,
        item: KeyValue,
    ) -> Result<(Transaction, Value), ApiError> {
        let (record, chunks) = schema::decode_job(&item.value).map_err(|error| {
            log::error!("stored job unreadable key={} error={error}", item.key);
            ApiError::StoredJobUnreadable
        })?;
        let schema = self.schema();
        let end = record.to_final_state("cancelled", self.now.wall);
        let end = end.truncate_to_fit(schema.usable_bytes());
        let body = final_status_body(uid, &end);
        let mut txn = Transaction::default()
            .require_revision(live_key(uid), item.mod_revision)
            .require_revision(finished_key(uid), 0)
            .delete(live_key(uid))
            .set(finished_key(uid), &end);
        // Tasks of the job may still be on machines. The record is kept under its stopping key, so
        // that the leader and its successors stop these tasks and account for them until they end.
        if chunks > 0 || (!record.placed.is_empty() && fits_value_limit(&item.value, &schema)) {
            // The chunks keep their keys.
            txn = txn.set_raw(stopping_key(uid), item.value);
        } else if !record.placed.is_empty() {
            // The value was stored under larger limits and no longer fits: encode it again.
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

/// Whether a value is within the size limit of the state service.
pub(super) fn fits_value_limit(value: &RawJson, schema: &Schema) -> bool {
    value.get().len() <= schema.value_bytes
}
