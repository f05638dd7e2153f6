//! Frames between the controllers: incoming requests, and the replies to this node's requests.
//!
//! An incoming request is answered at once, or later under the ticket that its sender gave it, when
//! a worker has answered or a client's request has been served. The reply to a request of this node
//! is handled according to the [`PeerCallPurpose`] that was registered for it.

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

/// Bounds of the timeout for delivering commands to a worker for another controller.
const DELIVERY_TIMEOUT_MIN: Micros = 100 * MILLISECOND;
const DELIVERY_TIMEOUT_MAX: Micros = 5 * SECOND;

/// A frame that this node received from another controller.
pub(super) struct PeerFrame {
    /// The connection on which it arrived.
    pub(super) conn: ConnId,
    /// The sender's ticket, which the answer repeats.
    pub(super) ticket: Ticket,
    /// The kind of the request, one of the `KIND_` constants of [`crate::wire`].
    pub(super) kind: u16,
    /// How long the sender waits for the answer, in microseconds.
    pub(super) timeout: Micros,
    /// The sender's name for most kinds; for others a request line, a path or a worker's address.
    pub(super) subject: String,
    /// The payload, in the format of the kind.
    pub(super) body: Vec<u8>,
}

fn reply(status: u16, body: Vec<u8>) -> Outcome {
    Outcome::Reply { status, body }
}

impl Controller {
    /// Calls another controller; `purpose` decides how the answer is handled.
    pub(super) fn call_peer(
        &mut self,
        dest: SocketAddr,
        purpose: PeerCallPurpose,
        request: PeerRequest,
    ) {
        let ticket = self.send_to_peer(dest, request);
        self.peer_links.register_call(ticket, purpose);
    }

    /// Sends a frame to another controller and returns its ticket. The answer is ignored unless the
    /// caller registers the ticket.
    pub(super) fn send_to_peer(&mut self, dest: SocketAddr, request: PeerRequest) -> Ticket {
        self.last_ticket += 1;
        self.outputs.push(Output::PeerCall {
            ticket: self.last_ticket,
            dest,
            kind: request.kind,
            subject: request.subject,
            body: request.body,
            timeout: request.timeout,
        });
        self.last_ticket
    }

    /// Handles a request from another controller.
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

    /// The answer to a request; `None` if it is sent later.
    fn answer_peer_request(&mut self, frame: PeerFrame) -> Option<Outcome> {
        let PeerFrame {
            conn, ticket, body, ..
        } = &frame;
        match frame.kind {
            KIND_HEARTBEAT => return Some(self.apply_forwarded_heartbeat(&frame.subject, body)),
            KIND_HEARTBEAT_BATCH => return Some(self.apply_heartbeat_batch(&frame.subject, body)),
            KIND_DELIVER_COMMANDS => return self.deliver_commands(frame),
            KIND_CLIENT_REQUEST => {
                let proxied_conn = self.client_requests.insert_proxied(*conn, *ticket);
                let request_line = &frame.subject;
                let (method, path) = request_line.split_once(' ').unwrap_or((request_line, ""));
                self.handle_request(proxied_conn, method, path, frame.body);
                return None;
            }
            KIND_PROGRESS => return Some(self.handle_progress_announcement(&frame)),
            KIND_PROBE_ANSWER => self.apply_probe_answer(body),
            KIND_PROBE_WORKERS => self.accept_probe_assignment(body),
            KIND_CHECKSUM => self.leader_checksum_received(body),
            KIND_CANCELLED => {
                if let Ok(uid) = std::str::from_utf8(body) {
                    self.handle_cancellation_hint(uid);
                }
            }
            KIND_ADMIN_QUERY => {
                return Some(self.proxied_admin_report(&frame.subject, body));
            }
            _ => return Some(Outcome::NotSent),
        }
        Some(reply(200, Vec::new()))
    }

    /// Delivers commands to a worker for a controller that can't reach it; the worker's answer is
    /// returned to that controller later.
    fn deliver_commands(&mut self, frame: PeerFrame) -> Option<Outcome> {
        let Ok(dest) = frame.subject.parse() else {
            return Some(Outcome::NotSent);
        };
        if !self
            .recent_deliveries
            .insert(frame.ticket, &frame.subject, &frame.body)
        {
            // The sender may have been told that the commands were not delivered.
            log::info!("repeated delivery ignored worker={}", frame.subject);
            return Some(Outcome::Lost);
        }
        // The sender must receive the answer before its own timeout.
        let timeout = frame
            .timeout
            .saturating_sub(frame.timeout / 4)
            .clamp(DELIVERY_TIMEOUT_MIN, DELIVERY_TIMEOUT_MAX);
        let call = HttpCall::post(COMMANDS_PATH.to_owned(), frame.body, timeout);
        let call_ticket = call.send(dest, &mut self.last_ticket, &mut self.outputs);
        let (conn, ticket) = (frame.conn, frame.ticket);
        let purpose = PeerCallPurpose::CommandDelivery { conn, ticket };
        self.peer_links.register_call(call_ticket, purpose);
        None
    }

    /// Handles the leader's announcement of progress. The status of the answer tells whether this
    /// node can serve clients.
    fn handle_progress_announcement(&mut self, frame: &PeerFrame) -> Outcome {
        let now = self.now.steady;
        if !self.is_leader() {
            self.peer_links.note_leader_hint(now, &frame.subject);
        }
        self.client_requests.replace_progress(now, &frame.body);
        // A node without recent health checks may be cut off from the load balancer and can't serve
        // clients. A node that is short of connections must not be given workers, since each of them
        // would cost another one its connection.
        let has_connections = self.load.connection_pressure == ConnectionPressure::Low;
        let can_serve = self.client_requests.is_health_checked(now)
            && has_connections
            && !self.cloud.types.is_empty()
            && !self.state.is_failing();
        reply(if can_serve { 200 } else { 503 }, Vec::new())
    }

    /// Handles the outcome of a call whose purpose is registered.
    pub(super) fn handle_peer_reply(&mut self, purpose: PeerCallPurpose, outcome: &Outcome) {
        let now = self.now.steady;
        // The answer to a command delivery comes from the worker, not from a controller.
        if matches!(outcome, Outcome::Reply { .. })
            && !matches!(purpose, PeerCallPurpose::CommandDelivery { .. })
        {
            self.peer_links.note_peer_seen(now);
        }
        let accepted = matches!(outcome, Outcome::Reply { status: 200, .. });
        match purpose {
            PeerCallPurpose::LivenessCheck => {}
            PeerCallPurpose::ClientRequest { conn, peer } => {
                self.handle_forwarded_request_reply(conn, peer, outcome);
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
                    leader_state.workers.take_back_probes(&hosts);
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
            // A failed operator request proves nothing about the link: the answer may only be late.
            PeerCallPurpose::AdminQuery { conn } if !matches!(outcome, Outcome::Reply { .. }) => {
                self.respond_error(conn, &ApiError::LeaderUnreachable);
            }
            PeerCallPurpose::Heartbeat { conn } | PeerCallPurpose::AdminQuery { conn } => {
                match outcome {
                    Outcome::Reply { status, body } => self.relay_response(conn, *status, body),
                    other => self.heartbeat_forward_failed(conn, other),
                }
            }
        }
    }

    /// Handles the outcome of a forwarded client request: relays the peer's answer to the client, or
    /// answers with an error if the peer could not serve the request either.
    fn handle_forwarded_request_reply(
        &mut self,
        conn: ConnId,
        peer: SocketAddr,
        outcome: &Outcome,
    ) {
        match outcome {
            Outcome::Reply { status, body } if *status != 503 => {
                self.relay_response(conn, *status, body);
            }
            _ => {
                self.peer_links
                    .note_forwarding_failure(self.now.steady, peer);
                self.respond_error(conn, &ApiError::StateUnavailable);
            }
        }
    }

    /// Answers with another controller's response.
    fn relay_response(&mut self, conn: ConnId, status: u16, body: &[u8]) {
        self.outputs.push(Output::Respond {
            conn,
            status,
            body: body.to_vec(),
            retry_after: None,
        });
    }
}
