//! Users' requests: submissions, polls and cancellations, by this node or through another.

use super::api_error::ApiError;
use super::client_requests::{ClientRequest, ClientRequests, PendingPoll};
use super::peer_links::{PeerCallPurpose, PeerRequest};
use super::state_replies::job_key;
use super::state_request::StateRequest;
use super::{CLIENT_REQUEST_TIMEOUT, Controller};
use crate::clock::{Micros, SECOND};
use crate::fault_injection::{InjectedFault, fault_injected};
use crate::job_record::{
    FINISHED_PREFIX, FinalState, final_body, finished_key, live_body, live_key, stopping_key,
};
use crate::messages::ConnId;
use crate::schema::{self, Schema, chunk_key};
use crate::state_client::{Item, Op, Raw, Reply, RequestPriority, Transaction};
use crate::wire::{
    KIND_CANCELLED, KIND_CHECKSUM, KIND_CLIENT_REQUEST, KIND_PROGRESS, ProgressRow, valid_uid,
};
use serde_json::json;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use zerocopy::IntoBytes;

/// So many others must have said a moment ago that they can serve users for the leader not to.
/// With two, both of which crashed at once, users had no node at all until the load balancer
/// took the leader back.
const SERVING_PEERS_MIN: usize = 3;

/// That many reads for overdue polls may wait among the users' changes.
const QUEUED_STARVED_READS_MAX: usize = 4;
/// For so long nothing is started of a job that another controller said is cancelled.
const CANCELLATION_HINT_HOLD: Micros = 5 * SECOND;

impl Controller {
    /// The state service does not answer us, but may answer another controller: a single node
    /// can be refused or cut off from it while the others are served.
    pub(super) fn state_unavailable(&mut self, conn: ConnId) {
        let asked = self.client_requests.take(conn);
        if let (Some(asked), Some(peer)) = (asked, self.pick_helper_peer()) {
            self.forward_client_request(conn, peer, asked);
        } else {
            self.respond_error(conn, &ApiError::StateUnavailable);
        }
    }

    /// A controller that may answer a client request for this node.
    pub(super) fn pick_helper_peer(&mut self) -> Option<SocketAddr> {
        let leader = self.leader_name();
        self.peer_links
            .pick_helper(self.now.steady, leader.as_deref())
    }

    pub(super) fn forward_client_request(
        &mut self,
        conn: ConnId,
        peer: SocketAddr,
        asked: ClientRequest,
    ) {
        let about = format!("{} {}", asked.method, asked.path);
        self.call_peer(
            peer,
            PeerCallPurpose::ClientRequest { conn, peer },
            PeerRequest::new(KIND_CLIENT_REQUEST, about, asked.body),
        );
    }

    /// Whether this node leads and enough of the others can serve the users. The leader has the
    /// most to do, and when it stops, its users' requests stop with it; so they are better kept
    /// apart. With few others, their end would leave nobody.
    fn peers_serve_clients(&self) -> bool {
        self.is_leader() && self.peer_links.serving_count(self.now.steady) >= SERVING_PEERS_MIN
    }

    /// Whether neither the state service nor another controller has answered this node for a while. What it
    /// knows may be older than what its users were told elsewhere, and nobody can answer for it: it says so at
    /// once, to the load balancer too, so that users and workers go where they can be served.
    pub fn is_isolated(&self) -> bool {
        let t = self.now.steady;
        self.peer_links.is_isolated(t, self.state.failing_for(t))
    }

    /// Answers that nobody can be served here, if that is so.
    pub(super) fn refused_as_isolated(&mut self, conn: ConnId) -> bool {
        let cut_off = self.is_isolated();
        if cut_off {
            self.respond_error(conn, &ApiError::Isolated);
        }
        cut_off
    }

    /// While the state service fails: asks another controller, by turns, for no more than a sign of life. In
    /// an outage for all nobody may have anything else to say.
    pub(super) fn check_peer_liveness(&mut self) {
        let t = self.now.steady;
        let failing_for = self.state.failing_for(t);
        let Some(dest) = self.peer_links.take_liveness_check(t, failing_for) else {
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

    /// Notes a user's request; true when another controller answers it, since the state service
    /// has just failed us.
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
        let asked = ClientRequest { method, path, body };
        if self.state.is_failing()
            && let Some(peer) = self.pick_helper_peer()
        {
            self.forward_client_request(conn, peer, asked);
            return true;
        }
        self.client_requests.insert(conn, asked);
        false
    }

    /// The node that leads, by the state service or by its own recent word.
    pub(super) fn leader_name(&self) -> Option<String> {
        self.peer_links
            .leader_hint(self.now.steady)
            .map(str::to_owned)
            .or_else(|| self.election.leader().map(|r| r.node.clone()))
    }

    pub(super) fn handle_request(&mut self, conn: ConnId, method: &str, path: &str, body: Vec<u8>) {
        let path = path.split('?').next().unwrap_or("");
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        match (method, parts.as_slice()) {
            ("GET", ["up"]) => {
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
            ("POST", ["work"]) => self.submit(conn, &body),
            ("GET", ["work", uid]) => self.poll_job(conn, uid),
            ("POST", ["work", uid, "cancel"]) => self.cancel_job(conn, uid),
            ("POST", ["checkin"]) => self.handle_heartbeat(conn, body),
            ("GET", ["inspect", rest @ ..]) => self.handle_admin_request(conn, rest),
            (
                _,
                ["up" | "work" | "checkin"] | ["work", _] | ["work", _, "cancel"] | ["inspect", ..],
            ) => {
                self.respond_error(conn, &ApiError::MethodNotAllowed);
            }
            _ => self.respond_error(conn, &ApiError::NoSuchPath),
        }
    }

    /// Answers at once for a job that this node knows to be over; ends never change.
    pub(super) fn answer_from_final_state(&mut self, conn: ConnId, uid: &str) -> bool {
        let Some(known) = self.client_requests.final_state(uid).cloned() else {
            return false;
        };
        self.respond(conn, 200, &known);
        true
    }

    pub(super) fn poll_job(&mut self, conn: ConnId, uid: &str) {
        if !valid_uid(uid) {
            return self.respond_error(conn, &ApiError::NoSuchJob);
        }
        if self.answer_from_final_state(conn, uid) {
            return;
        }
        if self.forward_if_needed(conn, "GET", format!("/work/{uid}"), &[]) {
            return;
        }
        // Always the store, never memory: another node may just have told the user of a cancel.
        // Whether a job is over can be asked for many at once, the rest is told by the leader.
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
        self.read_polled_job(conn, uid);
    }

    pub(super) fn read_polled_job(&mut self, conn: ConnId, uid: &str) {
        self.read_for_poll(conn, uid.into(), false);
    }

    /// Reads a job for a poll; the questions of a job that had no answer for long go with the users' changes,
    /// a few at a time: after an outage all are of that kind, and submissions wait too.
    pub(super) fn read_for_poll(&mut self, conn: ConnId, uid: Arc<str>, over: bool) {
        let t = self.now.steady;
        let few = self.state.queued(RequestPriority::Client) < QUEUED_STARVED_READS_MAX;
        let rank = if few && self.client_requests.is_starved(t, &uid) {
            RequestPriority::Client
        } else {
            RequestPriority::Background
        };
        let key = job_key(&uid, over);
        let purpose = StateRequest::PollJob { conn, uid, over };
        self.state
            .submit(t, purpose, rank, Op::Get(key), CLIENT_REQUEST_TIMEOUT);
    }

    /// No answer for a poll from here.
    pub(super) fn poll_failed(&mut self, conn: ConnId, uid: &str) {
        self.client_requests.note_failure(self.now.steady, uid);
        self.state_unavailable(conn);
    }

    /// Tasks done and placed of a live job, by the leader's last word. While no node leads
    /// nothing newer is known to anybody, and the stored counts are older still.
    pub(super) fn job_counts(&self, uid: &str) -> Option<(u64, u64)> {
        if self.is_leader() {
            let job = self.leader_state.as_ref()?.jobs.get(uid)?;
            return Some((
                job.spec.tasks - job.remaining_tasks(),
                job.placements.len() as u64,
            ));
        }
        self.client_requests.progress_of(self.now.steady, uid)
    }

    /// Asks for all jobs polled in the last moment whether they are over. When the budget is
    /// short, more polls come together in each question instead of going without an answer.
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
        let purpose = StateRequest::CheckFinished { polls };
        self.state.submit(
            now,
            purpose,
            priority,
            Op::Transaction(txn),
            CLIENT_REQUEST_TIMEOUT,
        );
    }

    pub(super) fn polls_checked(&mut self, polls: Vec<PendingPoll>, reply: &Reply) {
        let ended: Vec<&str> = match reply {
            Reply::Applied { .. } => Vec::new(),
            Reply::Conflict { failed } => failed
                .iter()
                .filter_map(|f| f.strip_prefix(FINISHED_PREFIX))
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
                self.read_polled_job(conn, &uid);
            }
        }
    }

    /// Tells the other controllers how far the live jobs are, so that polls need not read them.
    pub(super) fn announce_progress(&mut self) {
        let t = self.now.steady;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        if !leader_state.schedule.take_progress_announcement(t) {
            return;
        }
        let jobs = leader_state
            .jobs
            .by_number
            .values()
            .filter(|j| !j.cancelled);
        let rows = jobs.filter_map(|j| {
            let done = j.spec.tasks - j.remaining_tasks();
            ProgressRow::new(&j.spec.uid, done as u32, j.placements.len() as u32)
        });
        let body = rows.collect::<Vec<_>>().as_bytes().to_vec();
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

    pub(super) fn cancel_job(&mut self, conn: ConnId, uid: &str) {
        if !valid_uid(uid) {
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
            over,
            tries,
        };
        self.request_state(request, op, CLIENT_REQUEST_TIMEOUT);
    }

    /// Tells the leader of a cancellation that this node has just confirmed, for when the state service does not.
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

    /// Another controller says that the job was cancelled. What is stored decides, and is told by the watch; until
    /// then its tasks are stopped and none is started, which a word that was wrong costs some work at most.
    pub(super) fn cancellation_hinted(&mut self, uid: &str) {
        let now = self.now.steady;
        let Some(leader_state) = self.leader_state.as_mut().filter(|l| l.load.is_none()) else {
            return;
        };
        let Some(job) = leader_state.jobs.get_mut(uid).filter(|j| !j.cancelled) else {
            return;
        };
        job.not_before = job.not_before.max(now + CANCELLATION_HINT_HOLD);
        Self::stop_all_tasks(&mut leader_state.workers, job);
        leader_state.cancellation_hints += 1;
        self.apply_ledger_events();
    }

    pub(super) fn respond_stored_state(&mut self, conn: ConnId, uid: &str, over: bool, item: Item) {
        if over {
            match serde_json::from_str::<FinalState>(item.value.get()) {
                Ok(f) => {
                    let body = final_body(uid, &f);
                    self.client_requests.cache_final_state(uid, body.clone());
                    self.respond(conn, 200, &body);
                }
                Err(_) => self.respond_error(conn, &ApiError::StoredJobUnreadable),
            }
        } else {
            match schema::decode_job(&item.value) {
                Ok((r, _)) => self.respond(conn, 200, &r.status_body()),
                Err(_) => self.respond_error(conn, &ApiError::StoredJobUnreadable),
            }
        }
    }

    pub(super) fn cancel_job_read(
        &mut self,
        conn: ConnId,
        uid: Arc<str>,
        over: bool,
        tries: u32,
        reply: Reply,
    ) {
        match reply {
            Reply::Item(item) if over && fault_injected(InjectedFault::FinalOverwritten) => {
                if let Ok(mut end) = serde_json::from_str::<FinalState>(item.value.get()) {
                    end.status = "cancelled".to_owned();
                    let body = final_body(&uid, &end);
                    let txn = Transaction::default().set(finished_key(&uid), &end);
                    let write = StateRequest::WriteCancel {
                        conn,
                        uid,
                        tries,
                        body,
                    };
                    self.request_state(write, Op::Transaction(txn), CLIENT_REQUEST_TIMEOUT);
                }
            }
            Reply::Item(item) if over => self.respond_stored_state(conn, &uid, true, item),
            Reply::Item(item) => {
                let mod_revision = item.mod_revision;
                let (record, pieces) = match schema::decode_job(&item.value) {
                    Ok(read) => read,
                    Err(e) => {
                        log::error!("{} can't be read: {e}", item.path);
                        return self.respond_error(conn, &ApiError::StoredJobUnreadable);
                    }
                };
                let layout = self.schema();
                let end = record.finish("cancelled", self.now.wall);
                let end = end.fit(layout.usable_bytes());
                let body = final_body(&uid, &end);
                let mut txn = Transaction::default()
                    .require_revision(live_key(&uid), mod_revision)
                    .require_revision(finished_key(&uid), 0)
                    .delete(live_key(&uid))
                    .set(finished_key(&uid), &end);
                // Its tasks may be on machines: the leader, also a later one, stops them and
                // counts them until they are gone.
                if pieces > 0
                    || (!record.placed.is_empty() && fits_value_limit(&item.value, &layout))
                {
                    // Its pieces stay where they are.
                    txn = txn.set_raw(stopping_key(&uid), item.value);
                } else if !record.placed.is_empty() {
                    // Stored under larger limits: laid out anew.
                    let values = layout.encode_job(&record);
                    let Some(values) = values.filter(|v| v.chunks.len() + 3 <= layout.txn_ops)
                    else {
                        return self.respond_error(conn, &ApiError::JobTooWideToCancel);
                    };
                    txn = txn.set_raw(stopping_key(&uid), values.header);
                    for (n, value) in values.chunks.into_iter().enumerate() {
                        txn = txn.set_raw(chunk_key(&uid, n), value);
                    }
                }
                self.request_state(
                    StateRequest::WriteCancel {
                        conn,
                        uid,
                        tries,
                        body,
                    },
                    Op::Transaction(txn),
                    CLIENT_REQUEST_TIMEOUT,
                );
            }
            Reply::Absent if !over => self.read_for_cancel(conn, uid, true, tries),
            Reply::Absent => self.respond_error(conn, &ApiError::NoSuchJob),
            _ => self.state_unavailable(conn),
        }
    }
}

/// Whether a stored value may be written again as it is.
pub(super) fn fits_value_limit(value: &Raw, layout: &Schema) -> bool {
    value.get().len() <= layout.value_bytes
}
