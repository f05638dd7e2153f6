//! The simulated world of one scenario run: an event queue, and the calls between hosts.
//!
//! Time only advances from event to event, and all random numbers come from the scenario's seed, so
//! that one seed always gives the same run, to the byte.

use crate::balancer::Balancer;
use crate::check::Checker;
use crate::cloud::Cloud;
use crate::controller::ControllerProcess;
use crate::copies::RequestCopies;
use crate::machine::Machine;
use crate::network::{Host, Network, Transit};
use crate::outcome::{LeadershipChange, Outcome, Sample};
use crate::scenario::{FaultKind, Scenario};
use crate::state_service::StateService;
use crate::tamper::Tamper;
use crate::users::{UserAction, Users};
use dewramp::messages::{Input, Outcome as Reply, Output, Ticket};
use dewramp::seeded_hash::HashMap;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::{Ordering, Reverse};
use std::collections::{BinaryHeap, VecDeque};
use std::fmt::Write;

/// Simulated time in microseconds since the start of the run; the clocks of controllers and machines drift from it.
pub type Micros = u64;
pub const SECOND: Micros = 1_000_000;
pub const MILLISECOND: Micros = 1_000;

/// Converts seconds to microseconds; negative values become 0.
pub fn micros(seconds: f64) -> Micros {
    (seconds.max(0.0) * 1e6) as Micros
}

/// Identifies a request and its response.
pub type CallId = u64;

/// Zone index of hosts that belong to no zone: state service, cloud and users.
const NO_ZONE: usize = usize::MAX;

/// Who sent a request and waits for its response.
#[derive(Clone, Copy, Debug)]
pub enum Caller {
    /// One incarnation of a controller, for a request to the state service, the cloud or a machine.
    Controller {
        controller: usize,
        incarnation: u64,
        ticket: Ticket,
    },
    /// One incarnation of a controller, for a request to another controller.
    Peer {
        controller: usize,
        incarnation: u64,
        ticket: Ticket,
    },
    /// A machine's worker.
    Heartbeat {
        machine: usize,
        agent_epoch: u64,
        sent: Micros,
    },
    /// The user who owns the job.
    User {
        job: usize,
        step: UserAction,
        sent: Micros,
    },
    /// A user who polls a job that was never submitted.
    UnknownJobPoll,
    /// A user who submits a job that cannot run or that lacks a required field.
    InvalidSubmission,
    /// The load balancer, which probes this controller.
    HealthProbe(usize),
}

/// A request whose response is still awaited.
pub struct Call {
    pub from: Caller,
    pub to: Host,
}

/// A response in transit.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
    pub retry_after: Option<u32>,
    /// Between controllers: the outcome that the peer reports instead of a response, such as a refused connection.
    pub peer_outcome: Option<Reply>,
}

impl Response {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self {
            status,
            body: body.into(),
            retry_after: None,
            peer_outcome: None,
        }
    }
}

/// A request in transit.
#[derive(Clone)]
pub struct Request {
    pub call: CallId,
    pub from: Host,
    pub to: Host,
    pub method: String,
    pub path: String,
    pub body: Vec<u8>,
    /// Set between controllers only: frame kind, timeout, subject and ticket.
    pub peer_frame: Option<(u16, Micros, String, Ticket)>,
}

/// What happens at a scheduled time. Controllers, machines, jobs and faults are given by their index.
pub enum Event {
    /// A controller runs one loop iteration, unless the iteration has been rescheduled.
    ControllerLoop(usize),
    /// The outputs of one loop iteration leave the controller.
    SendOutputs {
        controller: usize,
        incarnation: u64,
        outputs: Vec<Output>,
    },
    RequestArrives(Box<Request>),
    /// A second copy of a request arrives.
    DuplicateArrives(Box<Request>),
    ResponseArrives(CallId, Box<Response>),
    /// The response did not arrive within the timeout.
    CallTimeout(CallId),
    /// The caller learns that no response will come.
    CallFails(CallId, Reply),
    StartController(usize),
    /// A controller process exits and restarts after the scenario's restart time.
    StopController(usize),
    /// The state service or the cloud sends a response, after its processing time.
    ServiceResponds(CallId, Box<Response>),
    /// The state service expires leases and completes watches.
    StateServiceTimer,
    /// A transaction without a response is executed.
    DelayedTransaction(Vec<u8>),
    /// A rental without a response is executed: rental id, pool and number of machines.
    DelayedRental(String, usize, usize),
    /// A release without a response is executed.
    DelayedRelease(Vec<String>),
    MachineUp(usize),
    Heartbeat(usize),
    LeaseCheck(usize),
    /// A task changes its status by itself, unless `transition` is outdated.
    TaskTransition {
        machine: usize,
        job: usize,
        task_index: u32,
        attempt: u64,
        transition: u64,
    },
    ResumeMachine(usize),
    /// The cloud reclaims a spot machine.
    SpotReclaim(usize),
    /// New jobs of one class are submitted.
    JobArrivals(usize),
    UserStep(usize, UserAction),
    PollUnknownJob,
    /// Users send invalid or repeated requests until this time.
    SubmitInvalidJob(Micros),
    /// The user of this job polls all controllers.
    PollAllControllers(usize),
    HealthProbe(usize),
    FaultStarts(usize),
    FaultEnds(usize),
    /// Records the figures of this second and runs the periodic checks.
    Sample,
}

struct ScheduledEvent {
    at: Micros,
    /// Orders events of the same time by when they were scheduled.
    seq: u64,
    event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.seq == other.seq
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.seq).cmp(&(other.at, other.seq))
    }
}

/// All simulated hosts and the event queue.
pub struct World {
    pub scenario: Scenario,
    pub now: Micros,
    pub end: Micros,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    seq: u64,
    pub rng: SmallRng,
    pub network: Network,
    pub calls: HashMap<CallId, Call>,
    next_call: CallId,
    pub controllers: Vec<ControllerProcess>,
    pub state_service: StateService<CallId>,
    pub next_state_timer: Micros,
    pub cloud: Cloud,
    pub machines: Vec<Machine>,
    pub users: Users,
    pub balancer: Balancer,
    pub checker: Checker,
    /// Indices of the scenario's faults that last at this moment.
    pub active_faults: Vec<usize>,
    /// Outcomes of calls that reached a later incarnation of the controller than the one that made the call.
    pub stale_replies: u64,
    /// Copies of executed requests that were scheduled to arrive again.
    pub request_copies: RequestCopies,
    /// The controllers that the last fault that chose controllers has hit.
    pub last_fault_targets: Vec<usize>,
    /// Copies of heartbeats that are delivered when the next leader begins to lead.
    pub held_heartbeats: VecDeque<Request>,
    pub leader_changes: Vec<LeadershipChange>,
    pub samples: Vec<Sample>,
    /// Alters messages in tests of the checkers.
    pub tamper: Option<Tamper>,
    digest: xxhash_rust::xxh3::Xxh3,
    events: u64,
}

impl World {
    pub fn new(scenario: Scenario) -> Self {
        dewramp::fault_injection::inject_fault(scenario.injected_fault());
        let mut seeds = SmallRng::seed_from_u64(scenario.seed);
        let mut rng = || SmallRng::seed_from_u64(seeds.random());
        let mut world = World {
            now: 0,
            end: micros(scenario.duration_s),
            queue: BinaryHeap::new(),
            seq: 0,
            network: Network::new(&scenario.network, rng()),
            calls: HashMap::default(),
            next_call: 0,
            controllers: Vec::new(),
            state_service: StateService::new(&scenario.state),
            next_state_timer: 0,
            cloud: Cloud::new(&scenario),
            machines: Vec::new(),
            users: Users::new(rng()),
            balancer: Balancer::new(scenario.fleet.controllers),
            checker: Checker::new(&scenario),
            active_faults: Vec::new(),
            stale_replies: 0,
            request_copies: RequestCopies::default(),
            last_fault_targets: Vec::new(),
            held_heartbeats: VecDeque::new(),
            leader_changes: Vec::new(),
            samples: Vec::new(),
            tamper: None,
            digest: xxhash_rust::xxh3::Xxh3::new(),
            events: 0,
            rng: rng(),
            scenario,
        };
        for n in 0..world.scenario.fleet.controllers {
            world
                .controllers
                .push(ControllerProcess::new(n, &world.scenario, &mut world.rng));
            let at = world.rng.random_range(0..200 * MILLISECOND);
            world.schedule_at(at, Event::StartController(n));
            world.schedule_at(500 * MILLISECOND + at, Event::HealthProbe(n));
        }
        world.create_initial_machines();
        world.schedule_users();
        for n in 0..world.scenario.faults.len() {
            let at = micros(world.scenario.faults[n].at_s);
            world.schedule_at(at, Event::FaultStarts(n));
        }
        world.schedule_at(SECOND, Event::Sample);
        world
    }

    /// Runs the scenario to its end; `report_progress` is called with the time every 4096 events and at the end.
    pub fn play(mut self, mut report_progress: impl FnMut(Micros)) -> Outcome {
        while let Some(Reverse(scheduled)) = self.queue.pop() {
            if scheduled.at > self.end {
                break;
            }
            self.now = scheduled.at;
            self.events += 1;
            if self.events % 4096 == 0 {
                report_progress(self.now);
            }
            self.dispatch(scheduled.event);
        }
        report_progress(self.end);
        self.now = self.end;
        let digest = self.digest.digest128();
        dewramp::fault_injection::inject_fault(None);
        Outcome::of(self, digest)
    }

    /// Schedules an event; times in the past count as now.
    pub fn schedule_at(&mut self, at: Micros, event: Event) {
        self.seq += 1;
        let (at, seq) = (at.max(self.now), self.seq);
        self.queue.push(Reverse(ScheduledEvent { at, seq, event }));
    }

    pub fn schedule_after(&mut self, wait: Micros, event: Event) {
        self.schedule_at(self.now + wait, event);
    }

    /// Returns the first fault of this kind that lasts at this moment.
    pub fn active_fault(&self, kind: FaultKind) -> Option<&crate::scenario::Fault> {
        let faults = &self.scenario.faults;
        let mut active = self.active_faults.iter().map(|n| &faults[*n]);
        active.find(|f| f.kind == kind)
    }

    /// Adds an occurrence to the digest, which is the same for every run of one seed.
    pub fn record_in_digest(&mut self, what: &str, a: u64, b: u64) {
        self.digest.update(what.as_bytes());
        self.digest.update(&self.now.to_le_bytes());
        self.digest.update(&a.to_le_bytes());
        self.digest.update(&b.to_le_bytes());
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::ControllerLoop(controller) => self.run_loop(controller),
            Event::SendOutputs {
                controller,
                incarnation,
                outputs,
            } => self.send_outputs(controller, incarnation, outputs),
            Event::RequestArrives(request) => self.deliver_request(*request),
            Event::DuplicateArrives(mut request) => {
                // No caller waits for the response to a duplicate: it gets a call id of its own.
                self.next_call += 1;
                request.call = self.next_call;
                self.deliver_request(*request);
            }
            Event::ResponseArrives(call, response) => self.deliver_response(call, *response),
            Event::CallTimeout(call) => self.call_timed_out(call),
            Event::CallFails(call, outcome) => self.call_failed(call, outcome),
            Event::StartController(controller) => self.start_controller(controller),
            Event::StopController(controller) => self.stop_controller(controller),
            Event::ServiceResponds(call, response) => self.respond(call, *response),
            Event::StateServiceTimer => self.run_state_timers(),
            Event::DelayedTransaction(body) => {
                self.state_service.apply_transaction(self.now, &body);
                self.run_state_timers();
            }
            Event::DelayedRental(rental_id, pool, number) => {
                self.rent(&rental_id, pool, number);
            }
            Event::DelayedRelease(hosts) => self.release_machines(&hosts),
            Event::MachineUp(m) => self.machine_up(m),
            Event::Heartbeat(m) => self.heartbeat_due(m),
            Event::LeaseCheck(m) => self.check_lease(m),
            Event::TaskTransition {
                machine,
                job,
                task_index,
                attempt,
                transition,
            } => self.task_transition(machine, (job, task_index, attempt), transition),
            Event::ResumeMachine(m) => self.resume_machine(m),
            Event::SpotReclaim(m) => self.stop_machine(m, true),
            Event::JobArrivals(class) => self.submit_arrivals(class),
            Event::UserStep(job, step) => self.perform_user_action(job, step),
            Event::PollUnknownJob => self.query_unknown_job(),
            Event::SubmitInvalidJob(until) => self.send_invalid_request(until),
            Event::PollAllControllers(job) => self.query_all_controllers(job),
            Event::HealthProbe(controller) => self.probe_controller(controller),
            Event::FaultStarts(n) => self.start_fault(n),
            Event::FaultEnds(n) => self.active_faults.retain(|a| *a != n),
            Event::Sample => self.sample(),
        }
    }

    /// Returns a host with the index of its zone.
    pub fn zone_of(&self, host: Host) -> (Host, usize) {
        let zone = match host {
            Host::Controller(n) => self.controllers[n].zone,
            Host::Machine(m) => self.machines[m].zone,
            _ => NO_ZONE,
        };
        (host, zone)
    }

    fn caller_host(caller: &Caller) -> Host {
        match caller {
            Caller::Controller { controller, .. } | Caller::Peer { controller, .. } => {
                Host::Controller(*controller)
            }
            Caller::Heartbeat { machine, .. } => Host::Machine(*machine),
            Caller::User { .. }
            | Caller::UnknownJobPoll
            | Caller::InvalidSubmission
            | Caller::HealthProbe(_) => Host::Users,
        }
    }

    /// Sends a request; the caller learns its outcome after `timeout` at the latest.
    pub fn send(&mut self, from: Caller, to: Host, timeout: Micros, mut request: Request) {
        self.next_call += 1;
        let call = self.next_call;
        let host = Self::caller_host(&from);
        self.calls.insert(call, Call { from, to });
        (request.call, request.from, request.to) = (call, host, to);
        let reachable = match to {
            Host::Controller(n) => Some(self.controllers[n].is_running()),
            Host::Machine(m) => self.machines[m].reachable(),
            _ => Some(true),
        };
        let (a, b) = (self.zone_of(host), self.zone_of(to));
        let transit = self.network.send_request(self.now, a, b, reachable);
        match transit {
            Transit::Arrives(at) => self.schedule_at(at, Event::RequestArrives(Box::new(request))),
            Transit::Lost => {}
            Transit::NotSent(at) => self.schedule_at(at, Event::CallFails(call, Reply::NotSent)),
            Transit::Refused(at) => self.schedule_at(at, Event::CallFails(call, Reply::Refused)),
            Transit::Reset(at) => self.schedule_at(at, Event::CallFails(call, Reply::Lost)),
        }
        self.schedule_after(timeout, Event::CallTimeout(call));
    }

    /// Records a request that is lost in transit: the caller learns of it only by the timeout.
    pub fn send_and_lose(&mut self, from: Caller, to: Host, timeout: Micros) {
        self.next_call += 1;
        let call = self.next_call;
        self.calls.insert(call, Call { from, to });
        self.schedule_after(timeout, Event::CallTimeout(call));
    }

    /// Builds an HTTP request; `send` fills in the call id and the hosts.
    pub fn http_request(
        method: &str,
        path: impl Into<String>,
        body: impl Into<Vec<u8>>,
    ) -> Request {
        Request {
            call: 0,
            from: Host::Users,
            to: Host::Users,
            method: method.to_owned(),
            path: path.into(),
            body: body.into(),
            peer_frame: None,
        }
    }

    /// Hands a request to its destination, also when its caller has given up meanwhile.
    fn deliver_request(&mut self, request: Request) {
        self.record_in_digest("request", request.call, request.body.len() as u64);
        match (request.to, request.from) {
            (Host::State, Host::Controller(controller)) => {
                self.handle_state_request(controller, request)
            }
            (Host::Cloud, _) => self.handle_cloud_request(request),
            (Host::Machine(m), _) => self.handle_machine_request(m, request),
            (Host::Controller(n), _) => {
                if Self::is_copied_to_controllers(&request) {
                    self.copy_executed_request(&request);
                }
                self.queue_request(n, request);
            }
            _ => {}
        }
    }

    /// Sends a response back, if the caller still waits for it.
    pub fn respond(&mut self, id: CallId, response: Response) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if let Caller::Heartbeat { machine, .. } = call.from
            && self.now < self.machines[machine].inbound_partitioned_until
        {
            return;
        }
        let (a, b) = (
            self.zone_of(call.to),
            self.zone_of(Self::caller_host(&call.from)),
        );
        if let Some(at) = self.network.send_response(self.now, a, b) {
            self.schedule_at(at, Event::ResponseArrives(id, Box::new(response)));
        }
    }

    fn deliver_response(&mut self, id: CallId, response: Response) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        self.record_in_digest("answer", id, u64::from(response.status));
        self.digest.update(&response.body);
        match call.from {
            Caller::Controller {
                controller,
                incarnation,
                ticket,
            }
            | Caller::Peer {
                controller,
                incarnation,
                ticket,
            } => {
                if let (Caller::Peer { .. }, Host::Controller(p)) = (call.from, call.to) {
                    self.controllers[controller].missed_peer_responses[p] = 0;
                }
                let outcome = response.peer_outcome.unwrap_or(Reply::Reply {
                    status: response.status,
                    body: response.body,
                });
                self.deliver_outcome(controller, incarnation, ticket, outcome);
            }
            Caller::Heartbeat {
                machine,
                agent_epoch,
                sent,
            } => self.heartbeat_answered(machine, agent_epoch, sent, Some(response)),
            Caller::User { job, step, sent } => {
                self.balancer.connection_closed(call.to);
                self.user_answered(job, step, sent, Some(response));
            }
            Caller::UnknownJobPoll => {
                self.balancer.connection_closed(call.to);
                let pretends_found = self.tamper == Some(Tamper::UnknownJobsFound);
                let status = if pretends_found { 200 } else { response.status };
                self.checker.unknown_job_answered(self.now, status);
            }
            Caller::InvalidSubmission => {
                self.balancer.connection_closed(call.to);
                let accepts = self.tamper == Some(Tamper::AcceptInvalidJobs);
                let status = if accepts { 201 } else { response.status };
                self.checker.invalid_submission_answered(self.now, status);
            }
            Caller::HealthProbe(n) => {
                self.balancer
                    .record_probe(self.now, n, response.status == 200)
            }
        }
    }

    fn call_timed_out(&mut self, id: CallId) {
        if let Some(call) = self.calls.get(&id) {
            let (from, to) = (Self::caller_host(&call.from), call.to);
            if let (Caller::Peer { controller, .. }, Host::Controller(p)) = (call.from, to) {
                // All frames to a peer share one connection; it is closed after 8 missed responses in a row.
                let missed = &mut self.controllers[controller].missed_peer_responses[p];
                *missed += 1;
                if *missed >= 8 {
                    *missed = 0;
                    self.network.close_connection(from, to);
                }
            } else {
                self.network.close_connection(from, to);
            }
            self.call_failed(id, Reply::Lost);
        }
    }

    /// Tells the caller that the call ended without a response.
    fn call_failed(&mut self, id: CallId, outcome: Reply) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        self.record_in_digest("ended", id, u64::from(outcome.not_sent()));
        match call.from {
            Caller::Controller {
                controller,
                incarnation,
                ticket,
            }
            | Caller::Peer {
                controller,
                incarnation,
                ticket,
            } => {
                self.deliver_outcome(controller, incarnation, ticket, outcome);
            }
            Caller::Heartbeat {
                machine,
                agent_epoch,
                sent,
            } => self.heartbeat_answered(machine, agent_epoch, sent, None),
            Caller::User { job, step, sent } => {
                self.balancer.connection_closed(call.to);
                self.user_answered(job, step, sent, None);
            }
            Caller::UnknownJobPoll | Caller::InvalidSubmission => {
                self.balancer.connection_closed(call.to)
            }
            Caller::HealthProbe(n) => self.balancer.record_probe(self.now, n, false),
        }
    }

    /// Hands the outcome of a call to the controller, also to a later incarnation than the one that made the
    /// call. Real sockets prevent this, but no safety rule may depend on that.
    fn deliver_outcome(
        &mut self,
        controller: usize,
        incarnation: u64,
        ticket: Ticket,
        outcome: Reply,
    ) {
        if self.controllers[controller].incarnation != incarnation {
            self.stale_replies += 1;
        }
        self.queue_input(controller, Input::Outcome { ticket, outcome });
    }

    /// Resets all connections of a host whose process has exited; its callers learn of it a millisecond later.
    pub fn reset_calls(&mut self, host: Host) {
        self.network.drop_connections(host);
        let mut open: Vec<CallId> = self
            .calls
            .iter()
            .filter(|(_, c)| c.to == host)
            .map(|c| *c.0)
            .collect();
        open.sort_unstable();
        for id in open {
            self.schedule_after(MILLISECOND, Event::CallFails(id, Reply::Lost));
        }
    }

    fn handle_state_request(&mut self, controller: usize, request: Request) {
        if let Some(fault) = self.active_fault(FaultKind::StateLoses)
            && request.path == "/txn"
        {
            let (share, delay) = (fault.share.unwrap_or(0.0), fault.late_s.unwrap_or(0.0));
            let at_once = fault.at_once;
            if self.rng.random::<f64>() < share {
                let delay = if !at_once && self.rng.random() {
                    micros(delay)
                } else {
                    0
                };
                return self.schedule_after(delay, Event::DelayedTransaction(request.body));
            }
        }
        let completed = self.state_service.handle_request(
            self.now,
            controller,
            &request.method,
            &request.path,
            &request.body,
            request.call,
        );
        if let Some((id, (status, body))) = completed {
            if status == 200 && request.method != "GET" {
                self.copy_executed_request(&request);
            }
            self.state_service_responds(id, status, body);
        }
        self.run_state_timers();
    }

    /// Sends a response of the state service after its processing time; one in 500 takes 40 times as long.
    fn state_service_responds(&mut self, id: CallId, status: u16, body: String) {
        let slowdown = self
            .active_fault(FaultKind::StateSlow)
            .and_then(|f| f.factor);
        let draw: f64 = self.rng.random();
        let outlier = if draw > 0.998 { 40.0 } else { 1.0 };
        let ms =
            self.scenario.state.latency_ms * slowdown.unwrap_or(1.0) * outlier * (0.6 + 0.8 * draw);
        let response = Box::new(Response::new(status, body));
        self.schedule_after(micros(ms / 1000.0), Event::ServiceResponds(id, response));
    }

    /// Expires leases, completes watches, and schedules the next such check.
    fn run_state_timers(&mut self) {
        let next = self.state_service.expire_leases(self.now);
        for (id, (status, body)) in self.state_service.complete_watches(self.now) {
            self.state_service_responds(id, status, body);
        }
        // The timeouts of watches without changes are only checked once a second.
        let next_check = next.unwrap_or(Micros::MAX).min(self.now + SECOND);
        if self.next_state_timer <= self.now || next_check < self.next_state_timer {
            self.next_state_timer = next_check;
            self.schedule_at(next_check.max(self.now + 1), Event::StateServiceTimer);
        }
    }

    /// Records the figures of this second, runs the periodic checks, and schedules the next sample.
    fn sample(&mut self) {
        self.checker.find_late_stops(self.now, &self.users);
        self.check_waiting_jobs();
        let leader = self
            .controllers
            .iter()
            .position(ControllerProcess::is_leading);
        let sample = Sample::of(self, leader);
        let mut line = String::new();
        let _ = write!(line, "{sample:?}");
        self.digest.update(line.as_bytes());
        self.samples.push(sample);
        self.schedule_after(SECOND, Event::Sample);
    }
}
