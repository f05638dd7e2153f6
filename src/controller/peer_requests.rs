//! Frames between the controllers: those that arrive, and the answers to those sent.
//!
//! A frame that arrives is answered at once, or later under the ticket that its sender gave it:
//! when a worker or a client's request has been served. Answers to frames of this node come back
//! with the [`PeerCallPurpose`] that they were sent for.

use super::Controller;
use super::api_error::ApiError;
use super::peer_links::{PeerCallPurpose, PeerRequest};
use crate::clock::{MILLISECOND, Micros, SECOND};
use crate::http_call::HttpCall;
use crate::load_shedding::ConnectionPressure;
use crate::messages::{ConnId, Outcome, Output, Ticket};
use crate::wire::{
    COMMANDS_PATH, KIND_ADMIN_QUERY, KIND_CANCELLED, KIND_CHECKSUM, KIND_CLIENT_REQUEST,
    KIND_DELIVER_COMMANDS, KIND_HEARTBEAT, KIND_HEARTBEAT_BATCH, KIND_PROBE_ANSWER,
    KIND_PROBE_WORKERS, KIND_PROGRESS,
};
use serde_json::json;
use std::net::SocketAddr;

/// Bounds of the time that a worker has to answer to commands delivered for another controller.
const DELIVERY_TIMEOUT_MIN: Micros = 100 * MILLISECOND;
const DELIVERY_TIMEOUT_MAX: Micros = 5 * SECOND;

/// A frame that another controller sent.
pub(super) struct PeerFrame {
    /// The connection that it came on.
    pub(super) conn: ConnId,
    /// The sender's number for its answer.
    pub(super) ticket: Ticket,
    /// What it asks for, one of the `KIND_` constants of [`crate::wire`].
    pub(super) kind: u16,
    /// How long the sender waits for the answer, in microseconds.
    pub(super) patience: Micros,
    /// What it is about; most frames carry the name of the sender.
    pub(super) addr: String,
    /// The payload, in the format of the kind.
    pub(super) body: Vec<u8>,
}

fn reply(status: u16, body: Vec<u8>) -> Outcome {
    Outcome::Reply { status, body }
}

impl Controller {
    /// Calls another controller; `purpose` says what is done with its answer.
    pub(super) fn call_peer(
        &mut self,
        dest: SocketAddr,
        purpose: PeerCallPurpose,
        request: PeerRequest,
    ) {
        let ticket = self.send_to_peer(dest, request);
        self.peer_links.register_call(ticket, purpose);
    }

    /// Sends a frame to another controller; its answer is ignored unless the ticket is registered.
    pub(super) fn send_to_peer(&mut self, dest: SocketAddr, request: PeerRequest) -> Ticket {
        self.tickets += 1;
        self.outputs.push(Output::PeerCall {
            ticket: self.tickets,
            dest,
            kind: request.kind,
            subject: request.addr,
            body: request.body,
            timeout: request.timeout,
        });
        self.tickets
    }

    /// Handles a frame of another controller.
    pub(super) fn handle_peer_request(&mut self, frame: PeerFrame) {
        let (conn, ticket) = (frame.conn, frame.ticket);
        if let Some(outcome) = self.answer_peer_request(frame) {
            self.outputs.push(Output::PeerRespond {
                conn,
                ticket,
                outcome,
            });
        }
    }

    /// The answer to a frame; none if it is given later.
    fn answer_peer_request(&mut self, frame: PeerFrame) -> Option<Outcome> {
        let PeerFrame {
            conn, ticket, body, ..
        } = &frame;
        match frame.kind {
            KIND_HEARTBEAT => return Some(self.apply_forwarded_heartbeat(&frame.addr, body)),
            KIND_HEARTBEAT_BATCH => return Some(self.apply_heartbeat_batch(&frame.addr, body)),
            KIND_DELIVER_COMMANDS => return self.deliver_commands(frame),
            KIND_CLIENT_REQUEST => {
                let proxied = self.client_requests.insert_proxied(*conn, *ticket);
                let addr = &frame.addr;
                let (method, path) = addr.split_once(' ').unwrap_or((addr, ""));
                self.handle_request(proxied, method, path, frame.body);
                return None;
            }
            KIND_PROGRESS => return Some(self.progress_announced(&frame)),
            KIND_PROBE_ANSWER => self.apply_probe_answer(body),
            KIND_PROBE_WORKERS => self.accept_probe_assignment(body),
            KIND_CHECKSUM => self.leader_checksum_received(body),
            KIND_CANCELLED => {
                if let Ok(uid) = std::str::from_utf8(body) {
                    self.cancellation_hinted(uid);
                }
            }
            KIND_ADMIN_QUERY => {
                return Some(self.proxied_admin_report(&frame.addr, body));
            }
            _ => return Some(Outcome::NotSent),
        }
        Some(reply(200, Vec::new()))
    }

    /// Delivers commands to a worker that their sender can't reach; the worker's answer is passed
    /// back.
    fn deliver_commands(&mut self, frame: PeerFrame) -> Option<Outcome> {
        let Ok(dest) = frame.addr.parse() else {
            return Some(Outcome::NotSent);
        };
        // Its sender must have the answer before its own patience ends.
        let timeout = frame
            .patience
            .saturating_sub(frame.patience / 4)
            .clamp(DELIVERY_TIMEOUT_MIN, DELIVERY_TIMEOUT_MAX);
        let call = HttpCall::post(COMMANDS_PATH.to_owned(), frame.body, timeout);
        let call_ticket = call.send(dest, &mut self.tickets, &mut self.outputs);
        let (conn, ticket) = (frame.conn, frame.ticket);
        let purpose = PeerCallPurpose::CommandDelivery { conn, ticket };
        self.peer_links.register_call(call_ticket, purpose);
        None
    }

    /// Takes a leader's announcement of progress; the answer says whether this node can serve
    /// clients.
    fn progress_announced(&mut self, frame: &PeerFrame) -> Outcome {
        let now = self.now.steady;
        if !self.is_leader() {
            self.peer_links.note_leader_hint(now, &frame.addr);
        }
        self.client_requests.replace_progress(now, &frame.body);
        // Only a node that is health-checked gets clients: others may be cut off from the load
        // balancer.
        // A node short of connections is handed no workers: each would cost another its connection.
        let has_connections = self.load.connection_pressure == ConnectionPressure::Low;
        let serves = self.client_requests.is_health_checked(now)
            && has_connections
            && !self.cloud.types.is_empty()
            && !self.state.is_failing();
        reply(if serves { 200 } else { 503 }, Vec::new())
    }

    /// Handles the answer to a call of another controller.
    pub(super) fn handle_peer_reply(&mut self, purpose: PeerCallPurpose, outcome: &Outcome) {
        let now = self.now.steady;
        // The answer to a command delivery is the worker's.
        if matches!(outcome, Outcome::Reply { .. })
            && !matches!(purpose, PeerCallPurpose::CommandDelivery { .. })
        {
            self.peer_links.note_peer_seen(now);
        }
        let accepted = matches!(outcome, Outcome::Reply { status: 200, .. });
        match purpose {
            PeerCallPurpose::LivenessCheck => {}
            PeerCallPurpose::ClientRequest { conn, peer } => {
                self.client_request_forwarded(conn, peer, outcome);
            }
            PeerCallPurpose::CommandDelivery { conn, ticket } => {
                self.outputs.push(Output::PeerRespond {
                    conn,
                    ticket,
                    outcome: outcome.clone(),
                });
            }
            PeerCallPurpose::ProgressAnnouncement { peer } => {
                if accepted {
                    self.peer_links.note_serving(now, peer);
                }
            }
            PeerCallPurpose::ProbeAssignment { hosts } => {
                if !accepted && let Some(leader_state) = &mut self.leader_state {
                    leader_state.workers.reclaim_probes(&hosts);
                }
            }
            PeerCallPurpose::BatchSupport { incarnation } => {
                if accepted {
                    self.peer_links.note_batch_support(incarnation);
                }
            }
            PeerCallPurpose::DependencyQuery { conn, mut body } => {
                let answer = match outcome {
                    Outcome::Reply { status: 200, body } => serde_json::from_slice(body).ok(),
                    _ => None,
                };
                body["leader"] = answer.unwrap_or_else(|| json!("the leader does not answer"));
                self.respond(conn, 200, &body);
            }
            // An operator's question proves nothing about the link: its answer may just be late.
            PeerCallPurpose::AdminQuery { conn } if !matches!(outcome, Outcome::Reply { .. }) => {
                self.respond_error(conn, &ApiError::LeaderUnreachable);
            }
            PeerCallPurpose::Heartbeat { conn } | PeerCallPurpose::AdminQuery { conn } => {
                match outcome {
                    Outcome::Reply { status, body } => self.pass_answer(conn, *status, body),
                    other => self.heartbeat_forward_failed(conn, other),
                }
            }
        }
    }

    /// Passes the peer's answer to the client, unless the peer could not serve it either.
    fn client_request_forwarded(&mut self, conn: ConnId, peer: SocketAddr, outcome: &Outcome) {
        match outcome {
            Outcome::Reply { status, body } if *status != 503 => {
                self.pass_answer(conn, *status, body);
            }
            _ => {
                self.peer_links.note_unhelpful(self.now.steady, peer);
                self.respond_error(conn, &ApiError::StateUnavailable);
            }
        }
    }

    /// Answers with what another controller answered.
    fn pass_answer(&mut self, conn: ConnId, status: u16, body: &[u8]) {
        self.outputs.push(Output::Respond {
            conn,
            status,
            body: body.to_vec(),
            retry_after: None,
        });
    }
}
