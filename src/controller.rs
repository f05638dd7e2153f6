//! One controller node: routes requests, wires the actors, and, while it leads, drives jobs,
//! workers and machines. No I/O here: inputs and the time go in, outputs come out.

mod admin;
mod api;
mod api_error;
mod autoscaling;
mod client_requests;
mod dependencies;
mod failover;
mod heartbeats;
mod leader;
mod leader_schedule;
mod maintenance;
mod peer_links;
mod persistence;
mod schema_migration;
mod standby;
mod startup;
mod state_replies;
mod state_request;
mod submission;
mod task_events;

use crate::clock::{MILLISECOND, Micros, Now, SECOND};
use crate::cloud::Cloud;
use crate::election::{Election, LEADER_KEY};
use crate::fault_injection::{InjectedFault, fault_injected};
use crate::heartbeat_batch::HeartbeatBatch;
use crate::jobs::Job;
use crate::load_shedding::{LoadMonitor, ShedLevel};
use crate::messages::{ConnId, Input, Outcome, Output, Ticket};
use crate::settings::{Properties, Settings};
use crate::state_client::{Op, RequestPriority, StateClient};
use crate::wire::{
    KIND_ADMIN_QUERY, KIND_CANCELLED, KIND_CHECKSUM, KIND_CLIENT_REQUEST, KIND_DELIVER_COMMANDS,
    KIND_HEARTBEAT, KIND_HEARTBEAT_BATCH, KIND_PROBE_ANSWER, KIND_PROBE_WORKERS, KIND_PROGRESS,
};
use crate::worker_probe::WorkerProbe;
use api_error::ApiError;
use client_requests::{ClientRequests, ProxiedRequest};
use leader::LeaderState;
use peer_links::{PeerLinks, PeerRequest};
use schema_migration::SchemaMigration;
use serde_json::{Value, json};
pub use standby::LoadSource;
use standby::Standby;
use startup::Startup;
use state_request::StateRequest;
use std::net::SocketAddr;
use std::sync::Arc;
use submission::Submissions;

/// A user gets an answer at once, also when it is that we can't tell: little patience.
const CLIENT_REQUEST_TIMEOUT: Micros = 200 * MILLISECOND;
const LEADER_REQUEST_TIMEOUT: Micros = SECOND;
/// Bits of a ticket that count within a life; above them stands the run, which has 52.
const TICKET_BITS_PER_INCARNATION: u32 = 11;
/// `tick` is asked for four times a second; a gap this long is worth a line for those on call.
const STALL_THRESHOLD: Micros = SECOND;

enum PeerCallPurpose {
    ClientRequest {
        conn: ConnId,
        peer: SocketAddr,
    },
    Heartbeat {
        conn: ConnId,
    },
    CommandDelivery {
        conn: ConnId,
        ticket: Ticket,
    },
    AdminQuery {
        conn: ConnId,
    },
    /// What the leader knows of a job's pipeline, to be told beside what is stored.
    DependencyQuery {
        conn: ConnId,
        body: Value,
    },
    /// Whether that leader, by its run, takes many reports in a frame.
    BatchSupport {
        run: u64,
    },
    /// Workers that the peer is to ask.
    ProbeAssignment {
        hosts: Vec<Arc<str>>,
    },
    /// The leader's word on how far jobs are; a 200 says that the peer can serve users.
    ProgressAnnouncement {
        peer: SocketAddr,
    },
    /// Whether any controller is to be reached.
    LivenessCheck,
}

pub struct Controller {
    settings: Settings,
    properties: Properties,
    rng_seed: u64,
    now: Now,
    tickets: Ticket,
    state: StateClient<StateRequest>,
    election: Election,
    cloud: Cloud,
    client_requests: ClientRequests,
    leader_state: Option<LeaderState>,
    standby: Standby,
    startup: Startup,
    worker_probe: WorkerProbe,
    /// The times that `tick` came far too late: the process was stopped, or short of processor.
    stalls: u64,
    last_stall: Micros,
    /// How long this node last left leading to the others.
    resign_backoff: Micros,
    peer_links: PeerLinks,
    /// Workers' reports on their way to the leader.
    heartbeat_batch: HeartbeatBatch,
    submissions: Submissions,
    schema_migration: SchemaMigration,
    /// How far this node is behind.
    load: LoadMonitor,
    /// What a pass of the scheduler lately took of this node's time.
    placement_pass_cost: Micros,
    placement_pass_ran: bool,
    outputs: Vec<Output>,
}

impl Controller {
    /// `run` tells this run of the process from all others.
    pub fn new(settings: Settings, props: Properties, run: u64) -> Self {
        let s = &settings.deployment;
        Self {
            state: StateClient::new(
                settings.services.state,
                s.state.rps,
                s.state.write_rps,
                settings.peers.len() + 1,
            ),
            election: Election::new(
                &settings.name,
                run,
                (props.leader_ttl_min.min(props.leader_ttl), props.leader_ttl),
            ),
            cloud: Cloud::new(settings.services.cloud, &settings.name, run, s.cloud.rps),
            client_requests: ClientRequests::new(),
            rng_seed: if props.seed == 0 { run } else { props.seed },
            leader_state: None,
            standby: Standby::default(),
            startup: Startup::default(),
            worker_probe: WorkerProbe::default(),
            stalls: 0,
            last_stall: 0,
            resign_backoff: 0,
            peer_links: PeerLinks::new(settings.peers.clone()),
            heartbeat_batch: HeartbeatBatch::default(),
            submissions: Submissions::default(),
            schema_migration: SchemaMigration::default(),
            load: LoadMonitor::default(),
            placement_pass_cost: 0,
            placement_pass_ran: false,
            outputs: Vec::new(),
            now: Now::default(),
            // A process may be back before all that its former life asked is answered: no number of
            // one life is one of another.
            tickets: if fault_injected(InjectedFault::TicketsReused) {
                0
            } else {
                run << TICKET_BITS_PER_INCARNATION
            },
            settings,
            properties: props,
        }
    }

    /// How far behind its inputs this node is.
    pub fn set_loop_load(&mut self, load: LoadMonitor) {
        if load.shed_level() != self.load.shed_level() {
            let (lag, shed) = (load.lag() / MILLISECOND, load.shed_level());
            if shed > self.load.shed_level() {
                log::warn!("{lag} ms behind: refusing {shed:?}");
            } else {
                log::info!("{lag} ms behind: refusing {shed:?}");
            }
        }
        self.election.note_pause(self.now.steady, load.lag());
        self.load = load;
    }

    /// What the last `tick` took of this node's time. Where processor time is short a pass costs
    /// many times what it would, and the next has to wait for as many times as long.
    pub fn note_tick_cost(&mut self, took: Micros) {
        if std::mem::take(&mut self.placement_pass_ran) {
            self.placement_pass_cost = (3 * self.placement_pass_cost + took) / 4;
        }
    }

    /// The earliest time at which `tick` has something to do.
    pub fn wake_at(&self) -> Micros {
        let now = self.now.steady;
        let mut at = (now + 250 * MILLISECOND).min(
            self.client_requests
                .poll_batch_due_at()
                .max(now + MILLISECOND),
        );
        at = at.min(self.election.wake_at().max(now + MILLISECOND));
        at = at.min(self.cloud.wake_at(self.is_leader()).max(now + MILLISECOND));
        if let Some(t) = self.heartbeat_batch.due_at() {
            at = at.min(t.max(now + MILLISECOND));
        }
        if let Some(t) = self.worker_probe.wake_at() {
            at = at.min(t.max(now + MILLISECOND));
        }
        if let Some(t) = self.state.wake_at() {
            at = at.min(t.max(now + MILLISECOND));
        }
        if let Some(leader_state) = &self.leader_state {
            at = at.min(leader_state.schedule.wake_at().max(now + MILLISECOND));
            at = at.min(leader_state.workers.wake_at(now).max(now + MILLISECOND));
        }
        at
    }

    /// Whether this node may act as leader now.
    pub fn is_leader(&self) -> bool {
        let t = self.now.steady;
        self.leader_state.as_ref().is_some_and(|l| {
            l.load.is_none()
                && self.election.is_valid(t)
                && l.cancellation_freshness
                    .is_fresh(t, self.election.valid_since())
        })
    }

    fn set_now(&mut self, now: Now) {
        let gap = now.steady.saturating_sub(self.now.steady);
        if self.now.steady > 0 && gap > STALL_THRESHOLD {
            self.stalls += 1;
            self.last_stall = gap;
            log::warn!("this node stood still for {} ms", gap / MILLISECOND);
        }
        self.now = now;
    }

    pub fn handle(&mut self, now: Now, input: Input) {
        self.set_now(now);
        match input {
            Input::Request {
                conn,
                method,
                path,
                body,
            } => self.handle_request(conn, &method, &path, body),
            Input::PeerRequest {
                conn,
                ticket,
                kind,
                patience,
                addr,
                body,
            } => {
                self.peer_links.note_peer_seen(now.steady);
                self.handle_peer_request(conn, ticket, kind, patience, &addr, body);
            }
            Input::Outcome { ticket, outcome } => self.handle_outcome(ticket, &outcome),
        }
    }

    /// Does what is due and hands out what is to be sent.
    pub fn tick(&mut self, now: Now) -> Vec<Output> {
        self.set_now(now);
        let t = now.steady;
        for (step, op) in self.election.tick(t) {
            self.state.submit(
                t,
                StateRequest::Election(step),
                RequestPriority::Vital,
                op,
                SECOND,
            );
        }
        if self.state.should_probe(t) {
            self.request_state(
                StateRequest::AvailabilityProbe,
                Op::Get(LEADER_KEY.to_owned()),
                CLIENT_REQUEST_TIMEOUT,
            );
        }
        if let (Some(leader_state), Some(mod_revision)) =
            (&mut self.leader_state, self.election.leader_key_revision())
        {
            leader_state.leader_key_revision = mod_revision;
        }
        self.tick_startup();
        self.check_peer_liveness();
        self.replicate();
        self.probe_workers();
        self.check_schema_version();
        let leads = self.is_leader();
        self.cloud
            .tick(t, leads, &mut self.tickets, &mut self.outputs);
        self.run_leader();
        self.send_heartbeat_batches();
        self.flush_polls();
        // Twice: what ran out of patience may lead to new questions.
        for _ in 0..2 {
            for (purpose, reply) in self
                .state
                .send_queued(t, &mut self.tickets, &mut self.outputs)
            {
                self.handle_state_reply(purpose, reply, t);
            }
        }
        std::mem::take(&mut self.outputs)
    }

    fn request_state(&mut self, purpose: StateRequest, op: Op, patience: Micros) {
        let rank = purpose.priority();
        self.state
            .submit(self.now.steady, purpose, rank, op, patience);
    }

    fn respond(&mut self, conn: ConnId, status: u16, body: &Value) {
        if let Some(asked) = self.client_requests.take(conn) {
            self.note_startup_answer(asked.method, status);
        }
        if let Some(ProxiedRequest { conn, ticket }) = self.client_requests.take_proxied(conn) {
            let body = body.to_string().into_bytes();
            return self.outputs.push(Output::PeerRespond {
                conn,
                ticket,
                outcome: Outcome::Reply { status, body },
            });
        }
        let retry_after = (status == 503).then(|| match self.load.shed_level() {
            ShedLevel::Nothing => 1,
            _ => self.load.retry_after(conn),
        });
        self.outputs.push(Output::Respond {
            conn,
            status,
            body: body.to_string().into_bytes(),
            retry_after,
        });
    }

    fn respond_error(&mut self, conn: ConnId, error: &ApiError) {
        let status = error.status();
        if log::log_enabled!(log::Level::Debug) {
            let method = self.client_requests.method_of(conn);
            log::debug!("request refused method={method} status={status} error={error}");
        }
        self.respond(conn, status, &json!({"error": error.to_string()}));
    }

    /// Calls another controller; `purpose` says what is done with its answer.
    fn call_peer(&mut self, dest: SocketAddr, purpose: PeerCallPurpose, request: PeerRequest) {
        let ticket = self.send_to_peer(dest, request);
        self.peer_links.register_call(ticket, purpose);
    }

    /// Sends a frame to another controller; its answer is ignored unless the ticket is registered.
    fn send_to_peer(&mut self, dest: SocketAddr, request: PeerRequest) -> Ticket {
        self.tickets += 1;
        self.outputs.push(Output::PeerCall {
            ticket: self.tickets,
            dest,
            kind: request.kind,
            addr: request.addr,
            body: request.body,
            timeout: request.timeout,
        });
        self.tickets
    }

    /// Tells another controller that its word was taken.
    fn acknowledge(&mut self, conn: ConnId, ticket: Ticket) {
        self.outputs.push(Output::PeerRespond {
            conn,
            ticket,
            outcome: Outcome::Reply {
                status: 200,
                body: Vec::new(),
            },
        });
    }

    fn handle_peer_request(
        &mut self,
        conn: ConnId,
        ticket: Ticket,
        kind: u16,
        patience: Micros,
        addr: &str,
        body: Vec<u8>,
    ) {
        match kind {
            KIND_HEARTBEAT => {
                let outcome = self.take_forwarded_heartbeat(addr, &body);
                self.outputs.push(Output::PeerRespond {
                    conn,
                    ticket,
                    outcome,
                });
            }
            KIND_HEARTBEAT_BATCH => {
                let outcome = self.take_heartbeat_batch(addr, &body);
                self.outputs.push(Output::PeerRespond {
                    conn,
                    ticket,
                    outcome,
                });
            }
            KIND_DELIVER_COMMANDS => {
                let Ok(dest) = addr.parse() else {
                    return self.outputs.push(Output::PeerRespond {
                        conn,
                        ticket,
                        outcome: Outcome::NotSent,
                    });
                };
                self.tickets += 1;
                self.peer_links.register_call(
                    self.tickets,
                    PeerCallPurpose::CommandDelivery { conn, ticket },
                );
                let timeout = patience
                    .saturating_sub(patience / 4)
                    .clamp(100 * MILLISECOND, 5 * SECOND);
                self.outputs.push(Output::Call {
                    ticket: self.tickets,
                    dest,
                    method: "POST",
                    path: "/commands".to_owned(),
                    body,
                    timeout,
                });
            }
            KIND_CLIENT_REQUEST => {
                let via = self.client_requests.insert_proxied(conn, ticket);
                let (method, path) = addr.split_once(' ').unwrap_or((addr, ""));
                self.handle_request(via, method, path, body);
            }
            KIND_PROGRESS => {
                if !self.is_leader() {
                    self.peer_links.note_leader_hint(self.now.steady, addr);
                }
                self.client_requests
                    .replace_progress(self.now.steady, &body);
                // Only what is probed gets users: a node may be cut off from the load balancer.
                let probed = self.client_requests.is_health_checked(self.now.steady);
                let serves = probed && !self.cloud.types.is_empty() && !self.state.is_failing();
                self.outputs.push(Output::PeerRespond {
                    conn,
                    ticket,
                    outcome: Outcome::Reply {
                        status: if serves { 200 } else { 503 },
                        body: Vec::new(),
                    },
                });
            }
            KIND_PROBE_ANSWER => {
                self.take_probe_answer(&body);
                self.acknowledge(conn, ticket);
            }
            KIND_PROBE_WORKERS => {
                self.accept_probe_assignment(&body);
                self.acknowledge(conn, ticket);
            }
            KIND_CHECKSUM => {
                self.leader_checksum_received(&body);
                self.acknowledge(conn, ticket);
            }
            KIND_CANCELLED => {
                if let Ok(uid) = std::str::from_utf8(&body) {
                    self.cancellation_hinted(uid);
                }
                self.acknowledge(conn, ticket);
            }
            KIND_ADMIN_QUERY => {
                let body = self.admin_report(&addr.split('/').collect::<Vec<_>>());
                let outcome = Outcome::Reply {
                    status: 200,
                    body: body.to_string().into_bytes(),
                };
                self.outputs.push(Output::PeerRespond {
                    conn,
                    ticket,
                    outcome,
                });
            }
            _ => self.outputs.push(Output::PeerRespond {
                conn,
                ticket,
                outcome: Outcome::NotSent,
            }),
        }
    }

    fn handle_outcome(&mut self, ticket: Ticket, outcome: &Outcome) {
        let now = self.now.steady;
        if self.state.owns(ticket) {
            if let Some((purpose, reply, sent)) = self.state.handle_outcome(now, ticket, outcome) {
                self.handle_state_reply(purpose, reply, sent);
            }
        } else if self.cloud.owns(ticket) {
            let news = self.cloud.handle_outcome(now, ticket, outcome);
            self.handle_cloud_events(news);
        } else if let Some(relay) = self.peer_links.take_call(ticket) {
            self.handle_peer_reply(relay, outcome);
        } else if self.worker_probe.answered(ticket) {
            self.forward_probe_answer(outcome);
        } else if self.heartbeat_batch.owns(ticket) {
            self.heartbeat_batch_answered(ticket, outcome);
        } else if let Some(leader_state) = &mut self.leader_state
            && leader_state.workers.owns(ticket)
        {
            leader_state
                .workers
                .handle_outcome(now, ticket, outcome, &mut leader_state.jobs);
            self.apply_ledger_events();
        }
    }

    fn handle_peer_reply(&mut self, relay: PeerCallPurpose, outcome: &Outcome) {
        // An order's answer is the worker's.
        if matches!(outcome, Outcome::Reply { .. })
            && !matches!(relay, PeerCallPurpose::CommandDelivery { .. })
        {
            self.peer_links.note_peer_seen(self.now.steady);
        }
        match relay {
            PeerCallPurpose::LivenessCheck => {}
            PeerCallPurpose::ClientRequest { conn, peer } => match outcome {
                Outcome::Reply { status, body } if *status != 503 => {
                    self.outputs.push(Output::Respond {
                        conn,
                        status: *status,
                        body: body.clone(),
                        retry_after: None,
                    });
                }
                _ => {
                    self.peer_links.note_unhelpful(self.now.steady, peer);
                    self.respond_error(conn, &ApiError::StateUnavailable);
                }
            },
            PeerCallPurpose::CommandDelivery { conn, ticket } => {
                self.outputs.push(Output::PeerRespond {
                    conn,
                    ticket,
                    outcome: outcome.clone(),
                });
            }
            PeerCallPurpose::ProgressAnnouncement { peer } => {
                if matches!(outcome, Outcome::Reply { status: 200, .. }) {
                    self.peer_links.note_serving(self.now.steady, peer);
                }
            }
            PeerCallPurpose::ProbeAssignment { hosts } => {
                if !matches!(outcome, Outcome::Reply { status: 200, .. })
                    && let Some(leader_state) = &mut self.leader_state
                {
                    leader_state.workers.reclaim_probes(&hosts);
                }
            }
            PeerCallPurpose::BatchSupport { run } => {
                if matches!(outcome, Outcome::Reply { status: 200, .. }) {
                    self.peer_links.note_batch_support(run);
                }
            }
            PeerCallPurpose::DependencyQuery { conn, mut body } => {
                let told = match outcome {
                    Outcome::Reply { status: 200, body } => serde_json::from_slice(body).ok(),
                    _ => None,
                };
                body["leader"] = told.unwrap_or_else(|| json!("the leader does not answer"));
                self.respond(conn, 200, &body);
            }
            PeerCallPurpose::Heartbeat { conn } | PeerCallPurpose::AdminQuery { conn } => {
                match outcome {
                    Outcome::Reply { status, body } => {
                        let retry_after = None;
                        self.outputs.push(Output::Respond {
                            conn,
                            status: *status,
                            body: body.clone(),
                            retry_after,
                        });
                    }
                    other => self.heartbeat_failed(conn, other),
                }
            }
        }
    }

    /// How many machines were looked at so far: tests bound the work of an event by it.
    pub fn machines_examined(&self) -> u64 {
        self.leader_state.as_ref().map_or(0, |l| {
            l.workers.machines_examined + l.scheduler.capacity.machines_examined
        })
    }

    /// The live job as the leader holds it; for tests and the operators.
    pub fn job(&self, uid: &str) -> Option<&Job> {
        self.leader_state.as_ref()?.jobs.get(uid)
    }
}
