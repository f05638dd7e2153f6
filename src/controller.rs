//! One controller process: routes inputs to the components that own the state.
//!
//! [`Controller`] takes [`Input`]s and the current time and returns [`Output`]s. It does no I/O,
//! reads no clock and starts no thread, so its behaviour depends only on its inputs. Each component
//! owns its state in private fields: client requests, links to the other controllers, the standby's
//! replica, the schema migration and, only while this node leads, the leader's state. Each submodule
//! extends [`Controller`] with the code for one concern.
//!
//! Two rules hold throughout: the controller acts as leader only while [`Controller::is_leader`]
//! returns true, and every final decision is made by a conditional write to the state service.
//! Announcements from other controllers are only hints.

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
mod polls;
mod recent_deliveries;
mod schema_migration;
mod standby;
mod startup;
mod state_replies;
mod state_request;
mod submission;
mod task_events;

use crate::clock::{MILLISECOND, Micros, Now, SECOND};
use crate::cloud::CloudClient;
use crate::dependency_cache::DependencyCache;
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
use recent_deliveries::RecentDeliveries;
use schema_migration::SchemaMigration;
use serde_json::{Value, json};
pub use standby::LoadSource;
use standby::Standby;
use startup::Startup;
use state_request::StateRequest;
use submission::Submissions;

/// How long a client's request waits for the state service. Clients are better served by an early
/// error than by a late answer.
const CLIENT_REQUEST_TIMEOUT: Micros = 200 * MILLISECOND;
/// How long a leader's write waits for the state service.
const LEADER_REQUEST_TIMEOUT: Micros = SECOND;
/// The low bits of a ticket count the calls of one process incarnation; the bits above hold the
/// incarnation's number, which has 52 bits.
const TICKET_BITS_PER_INCARNATION: u32 = 11;
/// The longest time from one input or tick to the next tick.
const TICK_INTERVAL_MAX: Micros = 250 * MILLISECOND;
/// The shortest time from one input or tick to the next tick.
const TICK_INTERVAL_MIN: Micros = MILLISECOND;
/// The node ticks at least four times a second; a gap longer than this is counted and logged as a
/// stall of the process.
const STALL_THRESHOLD: Micros = SECOND;
/// A node is overloaded while its inputs are processed later than this after they arrived.
const OVERLOAD_LAG: Micros = 100 * MILLISECOND;
/// For this long after an overload, the node still avoids making workers reconnect.
const OVERLOAD_COOLDOWN: Micros = 30 * SECOND;

/// One controller process, without its I/O.
pub struct Controller {
    settings: Settings,
    properties: Properties,
    rng_seed: u64,
    /// The time of the input or tick being processed.
    now: Now,
    /// The ticket of the most recent outgoing call.
    last_ticket: Ticket,
    state: StateClient<StateRequest>,
    election: Election,
    cloud: CloudClient,
    client_requests: ClientRequests,
    /// The dependencies of jobs, to tell which jobs are cancelled with one that they depend on.
    dependency_cache: DependencyCache,
    /// Present from the election of this node until it steps down.
    leader_state: Option<LeaderState>,
    standby: Standby,
    startup: Startup,
    worker_probe: WorkerProbe,
    /// Number of stalls, see [`STALL_THRESHOLD`]: the process was suspended or got no CPU time.
    stall_count: u64,
    /// Duration of the most recent stall.
    last_stall_duration: Micros,
    /// How long this node stayed out of the election after it last resigned because of a fault.
    resign_backoff: Micros,
    peer_links: PeerLinks,
    /// Commands delivered for other controllers, so that copies of their requests deliver nothing.
    recent_deliveries: RecentDeliveries,
    /// Heartbeats of workers, collected to be forwarded to the leader.
    heartbeat_batch: HeartbeatBatch,
    submissions: Submissions,
    schema_migration: SchemaMigration,
    /// How late this node processes its inputs, and what it sheds because of that.
    load: LoadMonitor,
    /// When the current overload stops counting, see [`Controller::was_recently_overloaded`].
    overloaded_until: Micros,
    /// Moving average of the duration of ticks that run a placement pass.
    placement_pass_cost: Micros,
    /// Whether the tick whose duration is recorded next ran a placement pass.
    placement_pass_ran: bool,
    /// Messages that the next tick returns.
    outputs: Vec<Output>,
}

impl Controller {
    /// Creates a controller that has not received any input yet. `incarnation` is the number of this
    /// process incarnation; no other process of the deployment has ever had the same one.
    pub fn new(settings: Settings, properties: Properties, incarnation: u64) -> Self {
        let deployment = &settings.deployment;
        Self {
            state: StateClient::new(
                settings.services.state,
                deployment.state.rps,
                deployment.state.write_rps,
                settings.peers.len() + 1,
            ),
            election: Election::new(
                &settings.name,
                incarnation,
                (
                    properties.leader_ttl_min.min(properties.leader_ttl),
                    properties.leader_ttl,
                ),
            ),
            cloud: CloudClient::new(
                settings.services.cloud,
                &settings.name,
                incarnation,
                deployment.cloud.rps,
            ),
            client_requests: ClientRequests::new(),
            dependency_cache: DependencyCache::default(),
            rng_seed: if properties.seed == 0 {
                incarnation
            } else {
                properties.seed
            },
            leader_state: None,
            standby: Standby::default(),
            startup: Startup::default(),
            worker_probe: WorkerProbe::default(),
            stall_count: 0,
            last_stall_duration: 0,
            resign_backoff: 0,
            peer_links: PeerLinks::new(settings.peers.clone()),
            recent_deliveries: RecentDeliveries::default(),
            heartbeat_batch: HeartbeatBatch::default(),
            submissions: Submissions::default(),
            schema_migration: SchemaMigration::default(),
            load: LoadMonitor::default(),
            overloaded_until: 0,
            placement_pass_cost: 0,
            placement_pass_ran: false,
            outputs: Vec::new(),
            now: Now::default(),
            // A process may restart before all calls of its previous incarnation are answered, so
            // no incarnation reuses a ticket of another.
            last_ticket: if fault_injected(InjectedFault::TicketsReused) {
                0
            } else {
                incarnation << TICKET_BITS_PER_INCARNATION
            },
            settings,
            properties,
        }
    }

    /// Takes the latest measurement of this node's load, which decides what it sheds.
    pub fn update_load(&mut self, load: LoadMonitor) {
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
        self.election.record_pause(self.now.steady, load.lag());
        self.load = load;
        if load.lag() > OVERLOAD_LAG || load.connection_pressure != ConnectionPressure::Low {
            self.overloaded_until = self.now.steady + OVERLOAD_COOLDOWN;
        }
    }

    /// Whether this node was behind its inputs or short of connections within the last
    /// [`OVERLOAD_COOLDOWN`]. In that state a worker that reconnects costs more than a late answer.
    fn was_recently_overloaded(&self) -> bool {
        self.now.steady < self.overloaded_until
    }

    /// Records how long the last `tick` took. When CPU time is scarce, a placement pass takes many
    /// times as long as usual, and the next pass is delayed accordingly.
    pub fn record_tick_duration(&mut self, duration: Micros) {
        if std::mem::take(&mut self.placement_pass_ran) {
            self.placement_pass_cost = (3 * self.placement_pass_cost + duration) / 4;
        }
    }

    /// The time at which `tick` must next be called, in microseconds of the steady clock.
    pub fn wake_at(&self) -> Micros {
        let now = self.now.steady;
        let mut wake_at = self
            .client_requests
            .poll_batch_due_at()
            .min(self.election.wake_at())
            .min(self.cloud.wake_at(self.is_leader()));
        let optional_deadlines = [
            self.heartbeat_batch.due_at(),
            self.worker_probe.wake_at(),
            self.state.wake_at(),
        ];
        wake_at = optional_deadlines
            .into_iter()
            .flatten()
            .fold(wake_at, Micros::min);
        if let Some(leader_state) = &self.leader_state {
            wake_at = wake_at
                .min(leader_state.schedule.wake_at())
                .min(leader_state.workers.wake_at(now));
        }
        wake_at.clamp(now + TICK_INTERVAL_MIN, now + TICK_INTERVAL_MAX)
    }

    /// Whether this node may act as leader now: its lease is valid, it has loaded the leader's state
    /// and it knows of recent cancellations.
    pub fn is_leader(&self) -> bool {
        let now = self.now.steady;
        self.leader_state.as_ref().is_some_and(|leader_state| {
            leader_state.pending_load.is_none()
                && self.election.has_valid_lease(now)
                && leader_state
                    .cancellation_freshness
                    .is_fresh(now, self.election.lease_valid_since())
        })
    }

    fn set_now(&mut self, now: Now) {
        let gap = now.steady.saturating_sub(self.now.steady);
        if self.now.steady > 0 && gap > STALL_THRESHOLD {
            self.stall_count += 1;
            self.last_stall_duration = gap;
            log::warn!("process stalled stall_ms={}", gap / MILLISECOND);
        }
        self.now = now;
    }

    /// Processes an input. The next [`Controller::tick`] returns the resulting outputs.
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
                    timeout: patience,
                    subject: addr,
                    body,
                });
            }
            Input::Outcome { ticket, outcome } => self.handle_outcome(ticket, &outcome),
        }
    }

    /// Runs all work that is due and returns the messages to send.
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
            .tick(steady, is_leader, &mut self.last_ticket, &mut self.outputs);
        self.run_leader();
        self.send_heartbeat_batches();
        self.flush_polls();
        // Runs twice because handling requests that time out unsent may submit new ones.
        for _ in 0..2 {
            for (request, reply) in
                self.state
                    .send_queued(steady, &mut self.last_ticket, &mut self.outputs)
            {
                self.handle_state_reply(request, reply, steady);
            }
        }
        std::mem::take(&mut self.outputs)
    }

    /// Submits a request to the state service, with the priority of its kind.
    fn request_state(&mut self, request: StateRequest, op: Op, timeout: Micros) {
        let priority = request.priority();
        self.state
            .submit(self.now.steady, request, priority, op, timeout);
    }

    /// Answers a client, or the controller that forwarded the client's request.
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
        } else if self.worker_probe.finish_probe(ticket) {
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

    /// How many machines have been examined so far. Tests use it to bound the work per event.
    pub fn machines_examined(&self) -> u64 {
        self.leader_state.as_ref().map_or(0, |leader_state| {
            leader_state.workers.machines_examined
                + leader_state.scheduler.capacity.machines_examined
        })
    }

    /// The live job in the leader's state, for tests.
    pub fn job(&self, uid: &str) -> Option<&Job> {
        self.leader_state.as_ref()?.jobs.get(uid)
    }
}
