//! The world of one day: a heap of events, and the calls between hosts. All time comes from the
//! heap and all luck from the day's seed, so a seed is one run, to the byte.

use crate::balancer::Balancer;
use crate::check::Checker;
use crate::cloud::Cloud;
use crate::controller::ControllerProcess;
use crate::day::{Day, Kind};
use crate::machine::Machine;
use crate::network::{Host, Network, Transit};
use crate::outcome::{Change, Outcome, Sample};
use crate::state_service::StateService;
use crate::tamper::Tamper;
use crate::users::{Step, Users};
use dewramp::messages::{Input, Outcome as Reply, Output, Ticket};
use dewramp::seeded_hash::HashMap;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::{Ordering, Reverse};
use std::collections::{BinaryHeap, VecDeque};
use std::fmt::Write;

/// Microseconds of true time since the day began.
pub type Micros = u64;
pub const SECOND: Micros = 1_000_000;
pub const MILLISECOND: Micros = 1_000;

pub fn micros(s: f64) -> Micros {
    (s.max(0.0) * 1e6) as Micros
}

pub type CallId = u64;

/// Hosts that belong to no zone.
const NO_ZONE: usize = usize::MAX;

/// Who waits for an answer.
#[derive(Clone, Copy, Debug)]
pub enum Caller {
    /// A run of a controller, for a call to another system.
    Controller {
        controller: usize,
        incarnation: u64,
        ticket: Ticket,
    },
    Peer {
        controller: usize,
        incarnation: u64,
        ticket: Ticket,
    },
    Heartbeat {
        machine: usize,
        agent_epoch: u64,
        sent: Micros,
    },
    User {
        job: usize,
        step: Step,
        sent: Micros,
    },
    /// Somebody who asks for a job that nobody submitted.
    UnknownJobPoll,
    /// Somebody who submits what can't run or lacks a field.
    InvalidSubmission,
    HealthProbe(usize),
}

pub struct Call {
    pub from: Caller,
    pub to: Host,
}

/// An answer as it travels.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
    pub retry_after: Option<u32>,
    /// Between controllers: what the outcome is, when it is no answer.
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

#[derive(Clone)]
pub struct Request {
    pub call: CallId,
    pub from: Host,
    pub to: Host,
    pub method: String,
    pub path: String,
    pub body: Vec<u8>,
    /// Between controllers.
    pub peer_frame: Option<(u16, Micros, String, Ticket)>,
}

pub enum Event {
    /// A controller's loop turns, unless it was put off.
    ControllerLoop(usize),
    /// What a turn of a run of a controller sends.
    SendOutputs {
        controller: usize,
        incarnation: u64,
        outputs: Vec<Output>,
    },
    RequestArrives(Box<Request>),
    /// A request that arrives once more.
    DuplicateArrives(Box<Request>),
    ResponseArrives(CallId, Box<Response>),
    /// Nothing came in time.
    CallTimeout(CallId),
    /// The call ends at the caller without an answer.
    CallFails(CallId, Reply),
    StartController(usize),
    /// A controller ends, and comes back a while later.
    StopController(usize),
    /// The answer of a slow service is ready.
    ServiceResponds(CallId, Box<Response>),
    StateServiceTimer,
    DelayedTransaction(Vec<u8>),
    DelayedRental(String, usize, usize),
    DelayedRelease(Vec<String>),
    MachineUp(usize),
    Heartbeat(usize),
    LeaseCheck(usize),
    TaskTransition {
        machine: usize,
        job: usize,
        task_index: u32,
        attempt: u64,
        transition: u64,
    },
    ResumeMachine(usize),
    /// The cloud takes a spot machine, now or after a notice.
    SpotReclaim(usize),
    JobArrivals(usize),
    UserStep(usize, Step),
    PollUnknownJob,
    /// Odd requests go on until then.
    SubmitInvalidJob(Micros),
    /// Its user asks at all controllers.
    PollAllControllers(usize),
    HealthProbe(usize),
    FaultStarts(usize),
    FaultEnds(usize),
    Sample,
}

struct ScheduledEvent {
    at: Micros,
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

pub struct World {
    pub scenario: Day,
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
    /// Failures that last, by their number in the day.
    pub active_faults: Vec<usize>,
    /// Answers to what an earlier life of a controller asked.
    pub stale_replies: u64,
    /// The controllers that the last failure of controllers hit.
    pub last_fault_targets: Vec<usize>,
    /// Copies of reports that are kept for when a new leader begins.
    pub held_duplicates: VecDeque<Request>,
    pub leader_changes: Vec<Change>,
    pub samples: Vec<Sample>,
    /// Only for those who judge the checkers.
    pub tamper: Option<Tamper>,
    digest: xxhash_rust::xxh3::Xxh3,
    events: u64,
}

impl World {
    pub fn new(day: Day) -> Self {
        dewramp::fault_injection::inject_fault(day.bug());
        let mut seeds = SmallRng::seed_from_u64(day.seed);
        let mut rng = || SmallRng::seed_from_u64(seeds.random());
        let mut w = World {
            now: 0,
            end: micros(day.duration_s),
            queue: BinaryHeap::new(),
            seq: 0,
            network: Network::new(&day.network, rng()),
            calls: HashMap::default(),
            next_call: 0,
            controllers: Vec::new(),
            state_service: StateService::new(&day.state),
            next_state_timer: 0,
            cloud: Cloud::new(&day),
            machines: Vec::new(),
            users: Users::new(rng()),
            balancer: Balancer::new(day.fleet.controllers),
            checker: Checker::new(&day),
            active_faults: Vec::new(),
            stale_replies: 0,
            last_fault_targets: Vec::new(),
            held_duplicates: VecDeque::new(),
            leader_changes: Vec::new(),
            samples: Vec::new(),
            tamper: None,
            digest: xxhash_rust::xxh3::Xxh3::new(),
            events: 0,
            rng: rng(),
            scenario: day,
        };
        for n in 0..w.scenario.fleet.controllers {
            w.controllers
                .push(ControllerProcess::new(n, &w.scenario, &mut w.rng));
            let at = w.rng.random_range(0..200 * MILLISECOND);
            w.schedule_at(at, Event::StartController(n));
            w.schedule_at(500 * MILLISECOND + at, Event::HealthProbe(n));
        }
        w.create_initial_machines();
        w.first_users();
        for n in 0..w.scenario.failures.len() {
            let at = micros(w.scenario.failures[n].at_s);
            w.schedule_at(at, Event::FaultStarts(n));
        }
        w.schedule_at(SECOND, Event::Sample);
        w
    }

    /// Plays the day; `tell` hears of the time now and then.
    pub fn play(mut self, mut tell: impl FnMut(Micros)) -> Outcome {
        while let Some(Reverse(due)) = self.queue.pop() {
            if due.at > self.end {
                break;
            }
            self.now = due.at;
            self.events += 1;
            if self.events % 4096 == 0 {
                tell(self.now);
            }
            self.dispatch(due.event);
        }
        tell(self.end);
        self.now = self.end;
        let digest = self.digest.digest128();
        dewramp::fault_injection::inject_fault(None);
        Outcome::of(self, digest)
    }

    pub fn schedule_at(&mut self, at: Micros, event: Event) {
        self.seq += 1;
        let (at, seq) = (at.max(self.now), self.seq);
        self.queue.push(Reverse(ScheduledEvent { at, seq, event }));
    }

    pub fn schedule_after(&mut self, wait: Micros, event: Event) {
        self.schedule_at(self.now + wait, event);
    }

    /// Whether a failure of that kind lasts now; the first of them.
    pub fn active_fault(&self, kind: Kind) -> Option<&crate::day::Failure> {
        let failures = &self.scenario.failures;
        let mut active = self.active_faults.iter().map(|n| &failures[*n]);
        active.find(|f| f.kind == kind)
    }

    /// What happened goes into the digest that two plays of one seed share.
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
                // A call of its own, that nobody made.
                self.next_call += 1;
                request.call = self.next_call;
                self.deliver_request(*request);
            }
            Event::ResponseArrives(call, answer) => self.deliver_response(call, *answer),
            Event::CallTimeout(call) => self.call_timed_out(call),
            Event::CallFails(call, outcome) => self.call_failed(call, outcome),
            Event::StartController(controller) => self.start_controller(controller),
            Event::StopController(controller) => self.stop_controller(controller),
            Event::ServiceResponds(call, answer) => self.respond(call, *answer),
            Event::StateServiceTimer => self.run_state_timers(),
            Event::DelayedTransaction(body) => {
                self.state_service.apply_transaction(self.now, &body);
                self.run_state_timers();
            }
            Event::DelayedRental(hire, pool, number) => {
                self.rent(&hire, pool, number);
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
            Event::JobArrivals(class) => self.arrivals(class),
            Event::UserStep(job, step) => self.user(job, step),
            Event::PollUnknownJob => self.stranger(),
            Event::SubmitInvalidJob(until) => self.odd_request(until),
            Event::PollAllControllers(job) => self.look_closely(job),
            Event::HealthProbe(controller) => self.probe(controller),
            Event::FaultStarts(n) => self.start_fault(n),
            Event::FaultEnds(n) => self.active_faults.retain(|a| *a != n),
            Event::Sample => self.sample(),
        }
    }

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

    /// Sends a request; its outcome comes to the caller, within `timeout` at the latest.
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

    /// A request that gets lost on its way, and nobody says so.
    pub fn send_and_lose(&mut self, from: Caller, to: Host, timeout: Micros) {
        self.next_call += 1;
        let call = self.next_call;
        self.calls.insert(call, Call { from, to });
        self.schedule_after(timeout, Event::CallTimeout(call));
    }

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

    /// A request that arrives is taken also when its caller has given up meanwhile.
    fn deliver_request(&mut self, request: Request) {
        self.record_in_digest("request", request.call, request.body.len() as u64);
        match (request.to, request.from) {
            (Host::State, Host::Controller(controller)) => {
                self.handle_state_request(controller, request)
            }
            (Host::Cloud, _) => self.handle_cloud_request(request),
            (Host::Machine(m), _) => self.handle_machine_request(m, request),
            (Host::Controller(n), _) => self.queue_request(n, request),
            _ => {}
        }
    }

    /// Sends an answer back to whoever still waits for it.
    pub fn respond(&mut self, id: CallId, answer: Response) {
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
            self.schedule_at(at, Event::ResponseArrives(id, Box::new(answer)));
        }
    }

    fn deliver_response(&mut self, id: CallId, answer: Response) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        self.record_in_digest("answer", id, u64::from(answer.status));
        self.digest.update(&answer.body);
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
                let outcome = answer.peer_outcome.unwrap_or(Reply::Reply {
                    status: answer.status,
                    body: answer.body,
                });
                self.deliver_outcome(controller, incarnation, ticket, outcome);
            }
            Caller::Heartbeat {
                machine,
                agent_epoch,
                sent,
            } => self.heartbeat_answered(machine, agent_epoch, sent, Some(answer)),
            Caller::User { job, step, sent } => {
                self.balancer.connection_closed(call.to);
                self.user_answered(job, step, sent, Some(answer));
            }
            Caller::UnknownJobPoll => {
                self.balancer.connection_closed(call.to);
                let invents = self.tamper == Some(Tamper::UnknownJobsFound);
                let status = if invents { 200 } else { answer.status };
                self.checker.stranger_told(self.now, status);
            }
            Caller::InvalidSubmission => {
                self.balancer.connection_closed(call.to);
                let takes = self.tamper == Some(Tamper::AcceptInvalidJobs);
                let status = if takes { 201 } else { answer.status };
                self.checker.odd_told(self.now, status);
            }
            Caller::HealthProbe(n) => self
                .balancer
                .record_probe(self.now, n, answer.status == 200),
        }
    }

    fn call_timed_out(&mut self, id: CallId) {
        if let Some(call) = self.calls.get(&id) {
            let (from, to) = (Self::caller_host(&call.from), call.to);
            if let (Caller::Peer { controller, .. }, Host::Controller(p)) = (call.from, to) {
                // Frames share a link, which stays through some missed answers.
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

    /// The call ends without an answer.
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

    /// What an earlier life of a process asked is answered to the life that is there now: sockets
    /// keep that from happening, but no safety may rest on it.
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

    /// The connections of a host that ended are reset.
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
        if let Some(f) = self.active_fault(Kind::StateLoses)
            && request.path == "/txn"
        {
            let (share, late) = (f.share.unwrap_or(0.0), f.late_s.unwrap_or(0.0));
            let at_once = f.at_once;
            if self.rng.random::<f64>() < share {
                let late = if !at_once && self.rng.random() {
                    micros(late)
                } else {
                    0
                };
                return self.schedule_after(late, Event::DelayedTransaction(request.body));
            }
        }
        let told = self.state_service.handle_request(
            self.now,
            controller,
            &request.method,
            &request.path,
            &request.body,
            request.call,
        );
        if let Some((id, (status, body))) = told {
            self.state_service_responds(id, status, body);
        }
        self.run_state_timers();
    }

    fn state_service_responds(&mut self, id: CallId, status: u16, body: String) {
        let slow = self.active_fault(Kind::StateSlow).and_then(|f| f.factor);
        let luck: f64 = self.rng.random();
        let rare = if luck > 0.998 { 40.0 } else { 1.0 };
        let ms = self.scenario.state.latency_ms * slow.unwrap_or(1.0) * rare * (0.6 + 0.8 * luck);
        let answer = Box::new(Response::new(status, body));
        self.schedule_after(micros(ms / 1000.0), Event::ServiceResponds(id, answer));
    }

    /// Watches that have news, grants that end.
    fn run_state_timers(&mut self) {
        let next = self.state_service.expire_leases(self.now);
        for (id, (status, body)) in self.state_service.complete_watches(self.now) {
            self.state_service_responds(id, status, body);
        }
        // Watches without news end at their own time; a look a second finds them.
        let look = next.unwrap_or(Micros::MAX).min(self.now + SECOND);
        if self.next_state_timer <= self.now || look < self.next_state_timer {
            self.next_state_timer = look;
            self.schedule_at(look.max(self.now + 1), Event::StateServiceTimer);
        }
    }

    fn sample(&mut self) {
        self.checker.sweep(self.now, &self.users);
        self.judge_waiting();
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
