//! Workers' heartbeats: the leader applies them, the other controllers forward them to the leader.
//!
//! Only a leader that may act answers a heartbeat with 200; the answer holds the commands for the
//! worker. The other controllers forward heartbeats in batches, and redirect a worker to another
//! controller while they can't reach the leader. After a change of leader all controllers probe
//! workers, since most workers report to a controller that is not the leader.

use super::Controller;
use super::api_error::ApiError;
use super::peer_links::{PEER_CALL_TIMEOUT, PeerCallPurpose, PeerRequest};
use crate::clock::{Micros, SECOND};
use crate::load_shedding::ConnectionPressure;
use crate::messages::{ConnId, Outcome, Output, Ticket};
use crate::reconciliation::ReconciliationPhase;
use crate::settings::Peer;
use crate::wire::{
    AnswerRow, Commands, FRAME_PAYLOAD_BYTES_MAX, Heartbeat, HeartbeatRow, HeartbeatSummary,
    KIND_HEARTBEAT, KIND_HEARTBEAT_BATCH, KIND_PROBE_ANSWER, KIND_PROBE_WORKERS, ProbeRow,
    SEND_FULL_HEARTBEAT,
};
use crate::worker_ledger::{RepeatedHeartbeatOutcome, first_fencing_token};
use serde_json::json;
use std::net::SocketAddr;
use zerocopy::{FromBytes, IntoBytes};

/// The most workers that one probe assignment frame names.
const PROBE_ROWS_PER_FRAME: usize = 512;
/// The answers to a batch go in one frame. Once they take more than this many bytes, the remaining heartbeats
/// of the batch are not applied. The rest of the frame has room for one more answer of a few hundred commands.
const ANSWER_FRAME_BYTES_MAX: usize = FRAME_PAYLOAD_BYTES_MAX - 128 * 1024;
/// How long an overloaded node waits for the leader's answer to a forwarded heartbeat. The worker waits 4 s. With a
/// shorter timeout, every worker would reconnect when the leader is 2 s behind, which delays the leader further.
const OVERLOADED_HEARTBEAT_TIMEOUT: Micros = 3 * SECOND;

/// The result of applying a heartbeat.
enum HeartbeatOutcome {
    /// It was applied; the answer has these commands for the worker.
    Commands(Commands),
    /// The worker's machine was released, so its lease must not be renewed with a 200.
    Refused,
    /// It could not be parsed, for this reason.
    Malformed(String),
    /// It repeats a heartbeat that the leader does not hold, or was not applied for lack of space in the answer
    /// frame: the sender has to send it in full.
    FullHeartbeatNeeded,
}

impl Controller {
    /// Handles a heartbeat that a worker sent to this node.
    pub(super) fn handle_heartbeat(&mut self, conn: ConnId, body: Vec<u8>) {
        if self.reject_if_isolated(conn) {
            return;
        }
        self.worker_probe.note_heartbeat(self.now.steady, &body);
        if self.is_leader() {
            if let Some(name) = self.handover_target() {
                return self.respond(conn, 421, &json!({"boss": name}));
            }
            return match self.apply_heartbeat(&body, None) {
                HeartbeatOutcome::Commands(commands) => self.outputs.push(Output::Respond {
                    conn,
                    status: 200,
                    body: encode_commands(&commands),
                    retry_after: None,
                }),
                HeartbeatOutcome::Malformed(reason) => {
                    self.respond_error(conn, &ApiError::MalformedHeartbeat(reason));
                }
                HeartbeatOutcome::Refused | HeartbeatOutcome::FullHeartbeatNeeded => {
                    self.respond_error(conn, &ApiError::MachineReleased);
                }
            };
        }
        let Some(peer) = self.leader_peer() else {
            if self
                .heartbeat_batch
                .push(self.now.steady, conn, body)
                .is_err()
            {
                self.respond_error(conn, &ApiError::NoLeader);
            }
            return;
        };
        let (leader, address) = (peer.name.clone(), peer.address);
        if self.should_redirect_to_leader() {
            return self.respond(conn, 421, &json!({"boss": leader}));
        }
        if self.is_link_avoided(address) {
            if !self.should_hold_for_leader(address)
                || self
                    .heartbeat_batch
                    .push(self.now.steady, conn, body)
                    .is_err()
            {
                self.reject_or_redirect_worker(conn, &leader);
            }
            return;
        }
        let body = if self.leader_accepts_batches(&leader, address) {
            match self.heartbeat_batch.push(self.now.steady, conn, body) {
                Ok(()) => return,
                Err(body) => body,
            }
        } else {
            body
        };
        self.forward_heartbeat(conn, address, body);
    }

    /// The controller that a worker which reports to this leader should use instead; `None` most of the time.
    ///
    /// The leader hands workers over one at a time, since a heartbeat through another controller costs it a row in
    /// a frame instead of a whole request, and it is the busiest controller. It hands none over while machines
    /// have still to confirm its term, and none to a single controller, whose loss would interrupt all workers. A
    /// handover leaves the worker without an answer for half a second.
    fn handover_target(&mut self) -> Option<String> {
        let now = self.now.steady;
        let leader_state = self.leader_state.as_ref()?;
        if !self.peer_links.is_handover_due(now)
            || leader_state.reconciliation.phase(now) != ReconciliationPhase::Complete
        {
            return None;
        }
        self.peer_links.take_handover_target(now)
    }

    /// Probes the workers that report to this node, after a change of leader, so that they learn the new leader's
    /// fencing token.
    pub(super) fn probe_workers(&mut self) {
        let now = self.now.steady;
        if let Some(record) = self.election.leader() {
            let since = now.saturating_sub(2 * self.settings.heartbeat_period());
            let term = record.term;
            self.worker_probe
                .begin_term(now, term, first_fencing_token(term), since);
        }
        let lag = self.load.lag();
        self.worker_probe
            .tick(now, lag, &mut self.last_ticket, &mut self.outputs);
    }

    /// Divides the workers that have not reported to the new leader among all controllers for probing.
    pub(super) fn share_probes(&mut self) {
        let now = self.now.steady;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        if !leader_state.schedule.take_probe_sharing(now) {
            return;
        }
        for (dest, rows) in leader_state.workers.assign_probes_to_peers(now) {
            for rows in rows.chunks(PROBE_ROWS_PER_FRAME) {
                let hosts = rows.iter().map(|r| r.machine().into()).collect();
                let body = rows.as_bytes().to_vec();
                self.call_peer(
                    dest,
                    PeerCallPurpose::ProbeAssignment { hosts },
                    PeerRequest::new(KIND_PROBE_WORKERS, &*self.settings.name, body),
                );
            }
        }
    }

    /// Handles a frame that names the workers which the leader assigned to this node for probing.
    pub(super) fn accept_probe_assignment(&mut self, body: &[u8]) {
        if let Ok(rows) = <[ProbeRow]>::ref_from_bytes(body) {
            self.worker_probe.assign(self.now.steady, rows);
        }
    }

    /// Forwards a worker's answer to a probe to the leader, which uses it as a heartbeat: a worker that has seen a
    /// new fencing token reports at once, but at most once within half a lease.
    pub(super) fn forward_probe_answer(&mut self, outcome: &Outcome) {
        let Outcome::Reply {
            status: 200 | 409,
            body,
        } = outcome
        else {
            return;
        };
        if self.is_leader() {
            return self.apply_probe_answer(body);
        }
        let Some(dest) = self.leader_peer().map(|p| p.address) else {
            return;
        };
        if self.is_link_avoided(dest) {
            return;
        }
        let request = PeerRequest::new(KIND_PROBE_ANSWER, &*self.settings.name, body.clone());
        self.send_to_peer(dest, request);
    }

    /// Applies a worker's answer to a probe, as leader.
    pub(super) fn apply_probe_answer(&mut self, body: &[u8]) {
        let now = self.now.steady;
        if !self.is_leader() {
            return;
        }
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        if let Ok(heartbeat) = serde_json::from_slice::<Heartbeat>(body) {
            leader_state
                .workers
                .handle_probe_answer(now, &heartbeat, &mut leader_state.jobs);
            self.apply_ledger_events();
        }
    }

    /// Forwards a single heartbeat to the leader in a frame of its own.
    fn forward_heartbeat(&mut self, conn: ConnId, dest: SocketAddr, body: Vec<u8>) {
        self.call_peer(
            dest,
            PeerCallPurpose::Heartbeat { conn },
            PeerRequest::new(KIND_HEARTBEAT, &*self.settings.name, body)
                .with_timeout(self.heartbeat_timeout()),
        );
    }

    /// Whether the leader is known to accept heartbeat batches; if not, asks it.
    fn leader_accepts_batches(&mut self, leader: &str, dest: SocketAddr) -> bool {
        let now = self.now.steady;
        let record = self.election.leader().filter(|r| r.node == leader);
        let Some(incarnation) = record.map(|record| record.incarnation) else {
            return false;
        };
        if self.peer_links.accepts_batches(incarnation) {
            return true;
        }
        if self.peer_links.take_batch_support_query(now) {
            self.call_peer(
                dest,
                PeerCallPurpose::BatchSupport { incarnation },
                PeerRequest::new(KIND_HEARTBEAT_BATCH, &*self.settings.name, Vec::new()),
            );
        }
        false
    }

    /// The leader, if it is another controller.
    pub(super) fn leader_peer(&self) -> Option<&Peer> {
        let leader = self.leader_name()?;
        self.peer_links.peer_named(&leader)
    }

    /// Sends the due batches of heartbeats to the leader.
    pub(super) fn send_heartbeat_batches(&mut self) {
        let now = self.now.steady;
        if self.heartbeat_batch.due_at().is_none_or(|due| due > now) {
            return;
        }
        if self.is_leader() {
            // These heartbeats arrived before this node became leader.
            for (conn, body) in self.heartbeat_batch.drain() {
                self.handle_heartbeat(conn, body);
            }
            return;
        }
        let Some(peer) = self.leader_peer() else {
            for conn in self.heartbeat_batch.hold_for_leader(now) {
                self.respond_error(conn, &ApiError::NoLeader);
            }
            return;
        };
        let (leader, dest) = (peer.name.clone(), peer.address);
        if self.is_link_avoided(dest) {
            let unanswered = if self.should_hold_for_leader(dest) {
                self.heartbeat_batch.hold_for_leader(now)
            } else {
                self.heartbeat_batch
                    .drain()
                    .into_iter()
                    .map(|(conn, _)| conn)
                    .collect()
            };
            for conn in unanswered {
                self.reject_or_redirect_worker(conn, &leader);
            }
            return;
        }
        if !self.leader_accepts_batches(&leader, dest) {
            for (conn, body) in self.heartbeat_batch.drain() {
                self.forward_heartbeat(conn, dest, body);
            }
            return;
        }
        while self.heartbeat_batch.due_at().is_some_and(|due| due <= now) {
            self.last_ticket += 1;
            let Some(body) = self.heartbeat_batch.next_frame(now, self.last_ticket) else {
                return;
            };
            self.outputs.push(Output::PeerCall {
                ticket: self.last_ticket,
                dest,
                kind: KIND_HEARTBEAT_BATCH,
                subject: self.settings.name.clone(),
                body,
                timeout: self.heartbeat_timeout(),
            });
        }
    }

    /// Answers the workers of a forwarded batch from the leader's reply.
    pub(super) fn heartbeat_batch_answered(&mut self, ticket: Ticket, outcome: &Outcome) {
        use crate::heartbeat_batch::HeartbeatAnswer;
        let leader = self.leader_peer().map(|p| p.address);
        let mut in_doubt = false;
        if let Some(dest) = leader {
            if matches!(outcome, Outcome::Reply { .. }) {
                self.peer_links.note_link_answer(self.now.steady, dest);
            } else {
                self.note_link_failure(dest, outcome);
                in_doubt = self.should_hold_for_leader(dest);
            }
        }
        let now = self.now.steady;
        for (conn, answer) in self
            .heartbeat_batch
            .handle_outcome(now, ticket, outcome, in_doubt)
        {
            let (status, body) = match answer {
                HeartbeatAnswer::NoCommands(token) => (200, empty_commands(token)),
                HeartbeatAnswer::Body { status, body } => (status, body),
                HeartbeatAnswer::NoLeader => {
                    self.respond_error(conn, &ApiError::NoLeader);
                    continue;
                }
                HeartbeatAnswer::Failed => {
                    self.heartbeat_forward_failed(conn, outcome);
                    continue;
                }
            };
            self.outputs.push(Output::Respond {
                conn,
                status,
                body,
                retry_after: None,
            });
        }
    }

    /// Handles a heartbeat that the leader did not answer: rejects or redirects its worker.
    pub(super) fn heartbeat_forward_failed(&mut self, conn: ConnId, outcome: &Outcome) {
        let Some(leader) = self.leader_name() else {
            return self.respond_error(conn, &ApiError::NoLeader);
        };
        if let Some(dest) = self.leader_peer().map(|p| p.address) {
            self.note_link_failure(dest, outcome);
        }
        self.reject_or_redirect_worker(conn, &leader);
    }

    /// Records that a call over this link failed, so that the link is avoided for some time.
    fn note_link_failure(&mut self, dest: SocketAddr, outcome: &Outcome) {
        let refused = *outcome == Outcome::Refused;
        let leader_ttl = self.properties.leader_ttl;
        let is_leader_slow = self.is_leader_slow();
        self.peer_links.note_link_failure(
            self.now.steady,
            dest,
            refused,
            leader_ttl,
            is_leader_slow,
        );
    }

    fn is_link_avoided(&self, dest: SocketAddr) -> bool {
        self.peer_links.is_link_in_backoff(self.now.steady, dest)
    }

    fn is_leader_in_doubt(&self, dest: SocketAddr) -> bool {
        self.peer_links.is_leader_liveness_uncertain(
            self.now.steady,
            dest,
            self.properties.leader_ttl,
        )
    }

    /// Whether to redirect the present worker to the leader because this node is short of connections. This node
    /// redirects one worker at a time, and the leader hands none over to a node that is short of connections.
    fn should_redirect_to_leader(&mut self) -> bool {
        self.load.connection_pressure == ConnectionPressure::Critical
            && self.peer_links.try_return_to_leader(self.now.steady)
    }

    /// How long a forwarded heartbeat waits for the leader's answer.
    fn heartbeat_timeout(&self) -> Micros {
        if self.was_recently_overloaded() {
            OVERLOADED_HEARTBEAT_TIMEOUT
        } else {
            PEER_CALL_TIMEOUT
        }
    }

    /// Whether a leader that does not answer is only slow: this node was overloaded lately, and the leader announced
    /// itself within the last few seconds.
    fn is_leader_slow(&self) -> bool {
        self.was_recently_overloaded()
            && self
                .peer_links
                .is_leader_recently_announced(self.now.steady)
    }

    /// Whether heartbeats are held after a failed call, because the leader, or its successor, may answer the next
    /// call.
    fn should_hold_for_leader(&self, dest: SocketAddr) -> bool {
        self.is_leader_in_doubt(dest) || self.is_leader_slow()
    }

    /// Answers a worker whose heartbeat can't be forwarded to the leader.
    ///
    /// While the leader is only slow, no other controller can serve the worker either. If redirected, it would
    /// reconnect there at once and be redirected back, with a new connection each time. An error without a redirect
    /// makes the worker wait for a second, which limits the rate of new connections.
    fn reject_or_redirect_worker(&mut self, conn: ConnId, leader: &str) {
        if self.is_leader_slow() {
            return self.respond_error(conn, &ApiError::LeaderSlow);
        }
        self.redirect_worker(conn, leader);
    }

    /// Redirects a worker whose heartbeat can't be forwarded to the leader to another controller, if one may
    /// reach it.
    fn redirect_worker(&mut self, conn: ConnId, leader: &str) {
        let body = match self
            .peer_links
            .take_redirect_target(self.now.steady, leader)
        {
            Some(name) => json!({"boss": name}),
            None => json!({}),
        };
        self.respond(conn, 421, &body);
    }

    fn peer_address(&self, name: &str) -> Option<SocketAddr> {
        self.peer_links.peer_named(name).map(|peer| peer.address)
    }

    /// Applies a heartbeat that another controller forwarded.
    pub(super) fn apply_forwarded_heartbeat(&mut self, from: &str, body: &[u8]) -> Outcome {
        if !self.is_leader() {
            return not_leading_reply();
        }
        let via = self.peer_address(from);
        let (status, body) = match self.apply_heartbeat(body, via) {
            HeartbeatOutcome::Commands(commands) => (200, encode_commands(&commands)),
            HeartbeatOutcome::Malformed(_) => (400, br#"{"error":"report"}"#.to_vec()),
            HeartbeatOutcome::Refused | HeartbeatOutcome::FullHeartbeatNeeded => {
                (503, br#"{"error":"returned"}"#.to_vec())
            }
        };
        Outcome::Reply { status, body }
    }

    /// Applies a batch of heartbeats that another controller forwarded; each row is answered by a row.
    pub(super) fn apply_heartbeat_batch(&mut self, from: &str, body: &[u8]) -> Outcome {
        if !self.is_leader() {
            return not_leading_reply();
        }
        let via = self.peer_address(from);
        let mut rest = body;
        let mut answers = Vec::new();
        while let Ok((row, after)) = HeartbeatRow::read_from_prefix(rest) {
            let Some((text, after)) = after.split_at_checked(row.len.get() as usize) else {
                break;
            };
            rest = after;
            let full = answers.len() > ANSWER_FRAME_BYTES_MAX;
            if full && !text.is_empty() {
                // Not applied and not answered: its worker is rejected or redirected.
                continue;
            }
            let answer = if full {
                // Not applied: the sender repeats it in full in another frame.
                HeartbeatOutcome::FullHeartbeatNeeded
            } else if text.is_empty() {
                self.apply_repeated_heartbeat(&row, via)
            } else {
                self.apply_full_heartbeat(text, Some(row.digest.get()), via)
            };
            let mut text = Vec::new();
            let (status, token) = match answer {
                HeartbeatOutcome::Commands(commands) => {
                    if !commands.commands.is_empty() {
                        text = encode_commands(&commands);
                    }
                    (200, commands.fencing_token)
                }
                HeartbeatOutcome::Malformed(reason) => {
                    let error = ApiError::MalformedHeartbeat(reason);
                    text = json!({"error": error.to_string()}).to_string().into();
                    (error.status(), 0)
                }
                HeartbeatOutcome::Refused => {
                    text = br#"{"error":"returned"}"#.to_vec();
                    (503, 0)
                }
                HeartbeatOutcome::FullHeartbeatNeeded => (SEND_FULL_HEARTBEAT, 0),
            };
            let row = AnswerRow {
                fencing_token: token.into(),
                slot: row.slot,
                status: status.into(),
                unused: 0.into(),
                len: (text.len() as u32).into(),
                unused2: 0.into(),
            };
            answers.extend_from_slice(row.as_bytes());
            answers.extend_from_slice(&text);
        }
        Outcome::Reply {
            status: 200,
            body: answers,
        }
    }

    /// Applies a heartbeat with its whole body. If it repeats the machine's last one, the body is not parsed.
    fn apply_heartbeat(&mut self, body: &[u8], via: Option<SocketAddr>) -> HeartbeatOutcome {
        let row = HeartbeatSummary::of(body).and_then(|summary| summary.row());
        if let Some(row) = &row {
            match self.apply_repeated_heartbeat(row, via) {
                HeartbeatOutcome::FullHeartbeatNeeded => {}
                known => return known,
            }
        }
        self.apply_full_heartbeat(body, row.map(|r| r.digest.get()), via)
    }

    fn apply_full_heartbeat(
        &mut self,
        body: &[u8],
        digest: Option<u128>,
        via: Option<SocketAddr>,
    ) -> HeartbeatOutcome {
        let heartbeat = match serde_json::from_slice::<Heartbeat>(body) {
            Ok(heartbeat) => heartbeat,
            Err(error) => return HeartbeatOutcome::Malformed(error.to_string()),
        };
        let now = self.now.steady;
        let Some(leader_state) = &mut self.leader_state else {
            return HeartbeatOutcome::Refused;
        };
        self.cloud.booting.remove(&heartbeat.machine);
        let commands = leader_state.workers.handle_heartbeat(
            now,
            heartbeat,
            digest,
            via,
            &mut leader_state.jobs,
        );
        self.apply_ledger_events();
        commands.map_or(HeartbeatOutcome::Refused, HeartbeatOutcome::Commands)
    }

    fn apply_repeated_heartbeat(
        &mut self,
        row: &HeartbeatRow,
        via: Option<SocketAddr>,
    ) -> HeartbeatOutcome {
        let now = self.now.steady;
        let Some(leader_state) = &mut self.leader_state else {
            return HeartbeatOutcome::Refused;
        };
        let repeat =
            leader_state
                .workers
                .handle_repeated_heartbeat(now, row, via, &mut leader_state.jobs);
        self.apply_ledger_events();
        match repeat {
            RepeatedHeartbeatOutcome::FullHeartbeatNeeded => HeartbeatOutcome::FullHeartbeatNeeded,
            RepeatedHeartbeatOutcome::Refused => HeartbeatOutcome::Refused,
            RepeatedHeartbeatOutcome::Answer(commands) => HeartbeatOutcome::Commands(commands),
        }
    }
}

fn not_leading_reply() -> Outcome {
    Outcome::Reply {
        status: 503,
        body: br#"{"error":"not leading"}"#.to_vec(),
    }
}

fn encode_commands(commands: &Commands) -> Vec<u8> {
    if commands.commands.is_empty() {
        return empty_commands(commands.fencing_token);
    }
    serde_json::to_vec(commands).unwrap_or_default()
}

/// The answer without commands, which nearly all heartbeats get.
fn empty_commands(token: u64) -> Vec<u8> {
    format!(r#"{{"baton":{token},"orders":[]}}"#).into_bytes()
}
