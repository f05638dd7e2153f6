//! One controller process: routes inputs to the components that own the state.
//!
//! [`Controller`] takes [`Input`]s and the time and returns [`Output`]s; it does no I/O, reads no
//! clock and starts no thread, so a run is determined by its inputs. What belongs together is owned
//! by a component with private fields: client requests, links to the other controllers, the
//! standby's replica, the schema migration, and, only while this node leads, the leader's state.
//! The files below hold the parts of the controller that connect them, each for one concern.
//!
//! What holds at this door: nothing is done as leader unless [`Controller::is_leader`] says so, and
//! whatever is decided for good is decided by a conditional write to the state service; what other
//! controllers announce is a hint.

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
mod peer_requests;
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
use crate::load_shedding::{ConnectionPressure, LoadMonitor, ShedLevel};
use crate::messages::{ConnId, Input, Outcome, Output, Ticket};
use crate::settings::{Properties, Settings};
use crate::state_client::{Op, RequestPriority, StateClient};
use crate::worker_probe::WorkerProbe;
use api_error::ApiError;
use client_requests::{ClientRequests, ProxiedRequest};
use leader::LeaderState;
use peer_links::PeerLinks;
use peer_requests::PeerFrame;
use schema_migration::SchemaMigration;
use serde_json::{Value, json};
pub use standby::LoadSource;
use standby::Standby;
use startup::Startup;
use state_request::StateRequest;
use submission::Submissions;

/// How long a client's request waits for the state service: an answer that nothing can be said
/// now is better than a late one.
const CLIENT_REQUEST_TIMEOUT: Micros = 200 * MILLISECOND;
/// How long a write of the leader waits for the state service.
const LEADER_REQUEST_TIMEOUT: Micros = SECOND;
/// Low bits of a ticket, which count within one process incarnation; the high 52 are the
/// incarnation's number.
const TICKET_BITS_PER_INCARNATION: u32 = 11;
/// The longest time between two inputs or ticks.
const TICK_INTERVAL_MAX: Micros = 250 * MILLISECOND;
/// The shortest time to the next tick that is asked for.
const TICK_INTERVAL_MIN: Micros = MILLISECOND;
/// A gap between ticks, which come four times a second, that is counted and logged as a stall.
const STALL_THRESHOLD: Micros = SECOND;
/// A node whose inputs wait for longer than this is overloaded.
const OVERLOAD_LAG: Micros = 100 * MILLISECOND;
/// The rules against workers that reconnect hold for this long after an overload.
const OVERLOADED_FOR: Micros = 30 * SECOND;

/// One controller process, without its I/O.
pub struct Controller {
    settings: Settings,
    properties: Properties,
    rng_seed: u64,
    /// The time of the input or tick in hand.
    now: Now,
    /// The last ticket given to a call.
    tickets: Ticket,
    state: StateClient<StateRequest>,
    election: Election,
    cloud: Cloud,
    client_requests: ClientRequests,
    /// Present from the election to the end of the leadership.
    leader_state: Option<LeaderState>,
    standby: Standby,
    startup: Startup,
    worker_probe: WorkerProbe,
    /// How often a tick came far too late: the process was stopped, or starved of processor time.
    stalls: u64,
    /// How long the last of these gaps was.
    last_stall: Micros,
    /// How long this node last stayed out of the election after resigning for cause.
    resign_backoff: Micros,
    peer_links: PeerLinks,
    /// Workers' heartbeats on their way to the leader.
    heartbeat_batch: HeartbeatBatch,
    submissions: Submissions,
    schema_migration: SchemaMigration,
    /// How far this node is behind its inputs.
    load: LoadMonitor,
    /// Until then this node counts as overloaded, see [`Controller::was_overloaded`].
    overloaded_until: Micros,
    /// What ticks with a placement pass have cost lately, as a moving average.
    placement_pass_cost: Micros,
    placement_pass_ran: bool,
    outputs: Vec<Output>,
}

impl Controller {
    /// A controller that knows nothing yet. `run` is the number of this process incarnation, which
    /// no other process of the deployment has ever had.
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
            overloaded_until: 0,
            placement_pass_cost: 0,
            placement_pass_ran: false,
            outputs: Vec::new(),
            now: Now::default(),
            // A process may restart before all calls of its former incarnation are answered: no
            // ticket of one is used by another.
            tickets: if fault_injected(InjectedFault::TicketsReused) {
                0
            } else {
                run << TICKET_BITS_PER_INCARNATION
            },
            settings,
            properties: props,
        }
    }

    /// Sets how far behind its inputs this node is, and with that what it refuses.
    pub fn set_loop_load(&mut self, load: LoadMonitor) {
        if load.shed_level() != self.load.shed_level() {
            let (lag_ms, level) = (load.lag() / MILLISECOND, load.shed_level());
            let severity = if level > self.load.shed_level() {
                log::Level::Warn
            } else {
                log::Level::Info
            };
            log::log!(
                severity,
                "load shedding changed level={level} lag_ms={lag_ms}"
            );
        }
        self.election.note_pause(self.now.steady, load.lag());
        self.load = load;
        if load.lag() > OVERLOAD_LAG || load.connection_pressure != ConnectionPressure::Low {
            self.overloaded_until = self.now.steady + OVERLOADED_FOR;
        }
    }

    /// Whether this node was behind its inputs or short of connections within [`OVERLOADED_FOR`]. Each worker that
    /// reconnects costs more than a late answer then.
    fn was_overloaded(&self) -> bool {
        self.now.steady < self.overloaded_until
    }

    /// Tells what the last `tick` took, in microseconds. Where processor time is short, a placement
    /// pass takes many times what it would otherwise, and the next one waits accordingly longer.
    pub fn note_tick_cost(&mut self, took: Micros) {
        if std::mem::take(&mut self.placement_pass_ran) {
            self.placement_pass_cost = (3 * self.placement_pass_cost + took) / 4;
        }
    }

    /// The earliest time at which `tick` has something to do.
    pub fn wake_at(&self) -> Micros {
        let now = self.now.steady;
        let mut at = self
            .client_requests
            .poll_batch_due_at()
            .min(self.election.wake_at())
            .min(self.cloud.wake_at(self.is_leader()));
        let others = [
            self.heartbeat_batch.due_at(),
            self.worker_probe.wake_at(),
            self.state.wake_at(),
        ];
        at = others.into_iter().flatten().fold(at, Micros::min);
        if let Some(leader_state) = &self.leader_state {
            at = at
                .min(leader_state.schedule.wake_at())
                .min(leader_state.workers.wake_at(now));
        }
        at.clamp(now + TICK_INTERVAL_MIN, now + TICK_INTERVAL_MAX)
    }

    /// Whether this node may act as leader now.
    pub fn is_leader(&self) -> bool {
        let now = self.now.steady;
        self.leader_state.as_ref().is_some_and(|leader_state| {
            leader_state.pending_load.is_none()
                && self.election.is_valid(now)
                && leader_state
                    .cancellation_freshness
                    .is_fresh(now, self.election.valid_since())
        })
    }

    fn set_now(&mut self, now: Now) {
        let gap = now.steady.saturating_sub(self.now.steady);
        if self.now.steady > 0 && gap > STALL_THRESHOLD {
            self.stalls += 1;
            self.last_stall = gap;
            log::warn!("process stalled stall_ms={}", gap / MILLISECOND);
        }
        self.now = now;
    }

    /// Takes an input. What it leads to is sent with the next [`Controller::tick`].
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
                timeout: patience,
                subject: addr,
                body,
            } => {
                self.peer_links.note_peer_seen(now.steady);
                self.handle_peer_request(PeerFrame {
                    conn,
                    ticket,
                    kind,
                    patience,
                    addr,
                    body,
                });
            }
            Input::Outcome { ticket, outcome } => self.handle_outcome(ticket, &outcome),
        }
    }

    /// Does what is due, and returns everything that is to be sent.
    pub fn tick(&mut self, now: Now) -> Vec<Output> {
        self.set_now(now);
        let steady = now.steady;
        for (step, op) in self.election.tick(steady) {
            self.state.submit(
                steady,
                StateRequest::Election(step),
                RequestPriority::Vital,
                op,
                SECOND,
            );
        }
        if self.state.should_probe(steady) {
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
        let is_leader = self.is_leader();
        self.cloud
            .tick(steady, is_leader, &mut self.tickets, &mut self.outputs);
        self.run_leader();
        self.send_heartbeat_batches();
        self.flush_polls();
        // Twice: requests that time out unsent may lead to new ones.
        for _ in 0..2 {
            for (request, reply) in
                self.state
                    .send_queued(steady, &mut self.tickets, &mut self.outputs)
            {
                self.handle_state_reply(request, reply, steady);
            }
        }
        std::mem::take(&mut self.outputs)
    }

    /// Asks the state service, in the queue that goes with the request.
    fn request_state(&mut self, request: StateRequest, op: Op, timeout: Micros) {
        let priority = request.priority();
        self.state
            .submit(self.now.steady, request, priority, op, timeout);
    }

    /// Answers a client, or the controller that forwarded its request.
    fn respond(&mut self, conn: ConnId, status: u16, body: &Value) {
        if let Some(request) = self.client_requests.take(conn) {
            self.note_startup_answer(request.method, status);
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

    /// Routes the outcome of a call to the component that made it.
    fn handle_outcome(&mut self, ticket: Ticket, outcome: &Outcome) {
        let now = self.now.steady;
        if self.state.owns(ticket) {
            if let Some((request, reply, sent)) = self.state.handle_outcome(now, ticket, outcome) {
                self.handle_state_reply(request, reply, sent);
            }
        } else if self.cloud.owns(ticket) {
            let events = self.cloud.handle_outcome(now, ticket, outcome);
            self.handle_cloud_events(events);
        } else if let Some(purpose) = self.peer_links.take_call(ticket) {
            self.handle_peer_reply(purpose, outcome);
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

    /// How many machines have been examined so far, by which tests bound the work of an event.
    pub fn machines_examined(&self) -> u64 {
        self.leader_state.as_ref().map_or(0, |leader_state| {
            leader_state.workers.machines_examined
                + leader_state.scheduler.capacity.machines_examined
        })
    }

    /// The live job as the leader holds it, for tests.
    pub fn job(&self, uid: &str) -> Option<&Job> {
        self.leader_state.as_ref()?.jobs.get(uid)
    }
}
