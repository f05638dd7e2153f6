//! The world of one day: a heap of events, and the calls between hosts. All time comes from the
//! heap and all luck from the day's seed, so a seed is one run, to the byte.

use crate::balancer::Balancer;
use crate::check::Checker;
use crate::cloud::Cloud;
use crate::controller::ControllerProcess;
use crate::machine::Machine;
use crate::network::{Host, Network, Transit};
use crate::outcome::{LeadershipChange, Outcome, Sample};
use crate::scenario::{FaultKind, Scenario};
use crate::state::State;
use crate::tamper::Tamper;
use crate::users::{UserAction, Users};
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
pub const MILLI: Micros = 1_000;

pub fn micros(s: f64) -> Micros {
    (s.max(0.0) * 1e6) as Micros
}

pub type CallId = u64;

/// Hosts that belong to no zone.
const REGIONAL: usize = usize::MAX;

/// Who waits for an answer.
#[derive(Clone, Copy, Debug)]
pub enum Caller {
    /// A run of a controller, for a call to another system.
    Node {
        node: usize,
        life: u64,
        ticket: Ticket,
    },
    Peer {
        node: usize,
        life: u64,
        ticket: Ticket,
    },
    Report {
        machine: usize,
        stint: u64,
        sent: Micros,
    },
    User {
        job: usize,
        step: UserAction,
        sent: Micros,
    },
    /// Somebody who asks for a job that nobody submitted.
    Stranger,
    /// Somebody who submits what can't run or lacks a field.
    Odd,
    Probe(usize),
}

pub struct Call {
    pub from: Caller,
    pub to: Host,
}

/// An answer as it travels.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
    pub retry_after: Option<u32>,
    /// Between controllers: what the outcome is, when it is no answer.
    pub instead: Option<Reply>,
}

impl Answer {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self {
            status,
            body: body.into(),
            retry_after: None,
            instead: None,
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
    pub frame: Option<(u16, Micros, String, Ticket)>,
}

pub enum Event {
    /// A controller's loop turns, unless it was put off.
    Look(usize),
    /// What a turn of a run of a controller sends.
    Emit {
        node: usize,
        life: u64,
        outputs: Vec<Output>,
    },
    Arrive(Box<Request>),
    /// A request that arrives once more.
    Copy(Box<Request>),
    Answered(CallId, Box<Answer>),
    /// Nothing came in time.
    Expire(CallId),
    /// The call ends at the caller without an answer.
    End(CallId, Reply),
    Start(usize),
    /// A controller ends, and comes back a while later.
    Ends(usize),
    /// The answer of a slow service is ready.
    Ready(CallId, Box<Answer>),
    StateWake,
    LateTxn(Vec<u8>),
    CloudRent(String, usize, usize),
    CloudReturn(Vec<String>),
    MachineUp(usize),
    Report(usize),
    Lease(usize),
    Task {
        machine: usize,
        job: usize,
        part: u32,
        attempt: u64,
        turn: u64,
    },
    Resume(usize),
    /// The cloud takes a spot machine, now or after a notice.
    Taken(usize),
    Arrivals(usize),
    User(usize, UserAction),
    Stranger,
    /// Odd requests go on until then.
    Odd(Micros),
    /// Its user asks at all controllers.
    Looks(usize),
    Probe(usize),
    Fails(usize),
    Over(usize),
    Sample,
}

struct Due {
    at: Micros,
    seq: u64,
    event: Event,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.seq == other.seq
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.seq).cmp(&(other.at, other.seq))
    }
}

pub struct World {
    pub day: Scenario,
    pub now: Micros,
    pub end: Micros,
    queue: BinaryHeap<Reverse<Due>>,
    seq: u64,
    pub rng: SmallRng,
    pub network: Network,
    pub calls: HashMap<CallId, Call>,
    next_call: CallId,
    pub controllers: Vec<ControllerProcess>,
    pub state: State<CallId>,
    pub state_wake: Micros,
    pub cloud: Cloud,
    pub machines: Vec<Machine>,
    pub users: Users,
    pub balancer: Balancer,
    pub check: Checker,
    /// Failures that last, by their number in the day.
    pub active: Vec<usize>,
    /// Answers to what an earlier life of a controller asked.
    pub strays: u64,
    /// The controllers that the last failure of controllers hit.
    pub hit: Vec<usize>,
    /// Copies of reports that are kept for when a new leader begins.
    pub kept_copies: VecDeque<Request>,
    pub changes: Vec<LeadershipChange>,
    pub samples: Vec<Sample>,
    /// Only for those who judge the checkers.
    pub tamper: Option<Tamper>,
    digest: xxhash_rust::xxh3::Xxh3,
    events: u64,
}

impl World {
    pub fn new(day: Scenario) -> Self {
        dewramp::fault_injection::inject_fault(day.injected_fault());
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
            state: State::new(&day.state),
            state_wake: 0,
            cloud: Cloud::new(&day),
            machines: Vec::new(),
            users: Users::new(rng()),
            balancer: Balancer::new(day.fleet.controllers),
            check: Checker::new(&day),
            active: Vec::new(),
            strays: 0,
            hit: Vec::new(),
            kept_copies: VecDeque::new(),
            changes: Vec::new(),
            samples: Vec::new(),
            tamper: None,
            digest: xxhash_rust::xxh3::Xxh3::new(),
            events: 0,
            rng: rng(),
            day,
        };
        for n in 0..w.day.fleet.controllers {
            w.controllers
                .push(ControllerProcess::new(n, &w.day, &mut w.rng));
            let at = w.rng.random_range(0..200 * MILLI);
            w.at(at, Event::Start(n));
            w.at(500 * MILLI + at, Event::Probe(n));
        }
        w.first_machines();
        w.schedule_users();
        for n in 0..w.day.faults.len() {
            let at = micros(w.day.faults[n].at_s);
            w.at(at, Event::Fails(n));
        }
        w.at(SECOND, Event::Sample);
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

    pub fn at(&mut self, at: Micros, event: Event) {
        self.seq += 1;
        let (at, seq) = (at.max(self.now), self.seq);
        self.queue.push(Reverse(Due { at, seq, event }));
    }

    pub fn after(&mut self, wait: Micros, event: Event) {
        self.at(self.now + wait, event);
    }

    /// Whether a failure of that kind lasts now; the first of them.
    pub fn lasting(&self, kind: FaultKind) -> Option<&crate::scenario::Fault> {
        let failures = &self.day.faults;
        let mut active = self.active.iter().map(|n| &failures[*n]);
        active.find(|f| f.kind == kind)
    }

    /// What happened goes into the digest that two plays of one seed share.
    pub fn note(&mut self, what: &str, a: u64, b: u64) {
        self.digest.update(what.as_bytes());
        self.digest.update(&self.now.to_le_bytes());
        self.digest.update(&a.to_le_bytes());
        self.digest.update(&b.to_le_bytes());
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Look(node) => self.turn(node),
            Event::Emit {
                node,
                life,
                outputs,
            } => self.emit(node, life, outputs),
            Event::Arrive(request) => self.arrive(*request),
            Event::Copy(mut request) => {
                // A call of its own, that nobody made.
                self.next_call += 1;
                request.call = self.next_call;
                self.arrive(*request);
            }
            Event::Answered(call, answer) => self.answered(call, *answer),
            Event::Expire(call) => self.expired(call),
            Event::End(call, outcome) => self.ended(call, outcome),
            Event::Start(node) => self.start_node(node),
            Event::Ends(node) => self.end_node(node),
            Event::Ready(call, answer) => self.answer(call, *answer),
            Event::StateWake => self.wake_state(),
            Event::LateTxn(body) => {
                self.state.txn(self.now, &body);
                self.wake_state();
            }
            Event::CloudRent(hire, pool, number) => {
                self.rent(&hire, pool, number);
            }
            Event::CloudReturn(hosts) => self.give_back(&hosts),
            Event::MachineUp(m) => self.machine_up(m),
            Event::Report(m) => self.report_due(m),
            Event::Lease(m) => self.lease_due(m),
            Event::Task {
                machine,
                job,
                part,
                attempt,
                turn,
            } => self.task_due(machine, (job, part, attempt), turn),
            Event::Resume(m) => self.resume(m),
            Event::Taken(m) => self.machine_ends(m, true),
            Event::Arrivals(class) => self.submit_arrivals(class),
            Event::User(job, step) => self.perform_user_action(job, step),
            Event::Stranger => self.query_unknown_job(),
            Event::Odd(until) => self.send_invalid_request(until),
            Event::Looks(job) => self.query_all_controllers(job),
            Event::Probe(node) => self.probe_controller(node),
            Event::Fails(n) => self.fails(n),
            Event::Over(n) => self.active.retain(|a| *a != n),
            Event::Sample => self.sample(),
        }
    }

    pub fn zone_of(&self, host: Host) -> (Host, usize) {
        let zone = match host {
            Host::Node(n) => self.controllers[n].zone,
            Host::Machine(m) => self.machines[m].zone,
            _ => REGIONAL,
        };
        (host, zone)
    }

    fn host_of(caller: &Caller) -> Host {
        match caller {
            Caller::Node { node, .. } | Caller::Peer { node, .. } => Host::Node(*node),
            Caller::Report { machine, .. } => Host::Machine(*machine),
            Caller::User { .. } | Caller::Stranger | Caller::Odd | Caller::Probe(_) => Host::Users,
        }
    }

    /// Sends a request; its outcome comes to the caller, within `timeout` at the latest.
    pub fn send(&mut self, from: Caller, to: Host, timeout: Micros, mut request: Request) {
        self.next_call += 1;
        let call = self.next_call;
        let host = Self::host_of(&from);
        self.calls.insert(call, Call { from, to });
        (request.call, request.from, request.to) = (call, host, to);
        let reachable = match to {
            Host::Node(n) => Some(self.controllers[n].up()),
            Host::Machine(m) => self.machines[m].reachable(),
            _ => Some(true),
        };
        let (a, b) = (self.zone_of(host), self.zone_of(to));
        let transit = self.network.request(self.now, a, b, reachable);
        match transit {
            Transit::Arrives(at) => self.at(at, Event::Arrive(Box::new(request))),
            Transit::Vanishes => {}
            Transit::NotSent(at) => self.at(at, Event::End(call, Reply::NotSent)),
            Transit::Refused(at) => self.at(at, Event::End(call, Reply::Refused)),
            Transit::Reset(at) => self.at(at, Event::End(call, Reply::Lost)),
        }
        self.after(timeout, Event::Expire(call));
    }

    /// A request that gets lost on its way, and nobody says so.
    pub fn lose(&mut self, from: Caller, to: Host, timeout: Micros) {
        self.next_call += 1;
        let call = self.next_call;
        self.calls.insert(call, Call { from, to });
        self.after(timeout, Event::Expire(call));
    }

    pub fn http(method: &str, path: impl Into<String>, body: impl Into<Vec<u8>>) -> Request {
        Request {
            call: 0,
            from: Host::Users,
            to: Host::Users,
            method: method.to_owned(),
            path: path.into(),
            body: body.into(),
            frame: None,
        }
    }

    /// A request that arrives is taken also when its caller has given up meanwhile.
    fn arrive(&mut self, request: Request) {
        self.note("request", request.call, request.body.len() as u64);
        match (request.to, request.from) {
            (Host::State, Host::Node(node)) => self.ask_state(node, request),
            (Host::Cloud, _) => self.ask_cloud(request),
            (Host::Machine(m), _) => self.ask_machine(m, request),
            (Host::Node(n), _) => self.ask_node(n, request),
            _ => {}
        }
    }

    /// Sends an answer back to whoever still waits for it.
    pub fn answer(&mut self, id: CallId, answer: Answer) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if let Caller::Report { machine, .. } = call.from
            && self.now < self.machines[machine].deaf_until
        {
            return;
        }
        let (a, b) = (
            self.zone_of(call.to),
            self.zone_of(Self::host_of(&call.from)),
        );
        if let Some(at) = self.network.answer(self.now, a, b) {
            self.at(at, Event::Answered(id, Box::new(answer)));
        }
    }

    fn answered(&mut self, id: CallId, answer: Answer) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        self.note("answer", id, u64::from(answer.status));
        self.digest.update(&answer.body);
        match call.from {
            Caller::Node { node, life, ticket } | Caller::Peer { node, life, ticket } => {
                if let (Caller::Peer { .. }, Host::Node(p)) = (call.from, call.to) {
                    self.controllers[node].misses[p] = 0;
                }
                let outcome = answer.instead.unwrap_or(Reply::Reply {
                    status: answer.status,
                    body: answer.body,
                });
                self.outcome(node, life, ticket, outcome);
            }
            Caller::Report {
                machine,
                stint,
                sent,
            } => self.report_answered(machine, stint, sent, Some(answer)),
            Caller::User { job, step, sent } => {
                self.balancer.closed(call.to);
                self.user_answered(job, step, sent, Some(answer));
            }
            Caller::Stranger => {
                self.balancer.closed(call.to);
                let invents = self.tamper == Some(Tamper::Invented);
                let status = if invents { 200 } else { answer.status };
                self.check.unknown_job_answered(self.now, status);
            }
            Caller::Odd => {
                self.balancer.closed(call.to);
                let takes = self.tamper == Some(Tamper::TakesAnything);
                let status = if takes { 201 } else { answer.status };
                self.check.invalid_submission_answered(self.now, status);
            }
            Caller::Probe(n) => self.balancer.probed(self.now, n, answer.status == 200),
        }
    }

    fn expired(&mut self, id: CallId) {
        if let Some(call) = self.calls.get(&id) {
            let (from, to) = (Self::host_of(&call.from), call.to);
            if let (Caller::Peer { node, .. }, Host::Node(p)) = (call.from, to) {
                // Frames share a link, which stays through some missed answers.
                let misses = &mut self.controllers[node].misses[p];
                *misses += 1;
                if *misses >= 8 {
                    *misses = 0;
                    self.network.close(from, to);
                }
            } else {
                self.network.close(from, to);
            }
            self.ended(id, Reply::Lost);
        }
    }

    /// The call ends without an answer.
    fn ended(&mut self, id: CallId, outcome: Reply) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        self.note("ended", id, u64::from(outcome.not_sent()));
        match call.from {
            Caller::Node { node, life, ticket } | Caller::Peer { node, life, ticket } => {
                self.outcome(node, life, ticket, outcome);
            }
            Caller::Report {
                machine,
                stint,
                sent,
            } => self.report_answered(machine, stint, sent, None),
            Caller::User { job, step, sent } => {
                self.balancer.closed(call.to);
                self.user_answered(job, step, sent, None);
            }
            Caller::Stranger | Caller::Odd => self.balancer.closed(call.to),
            Caller::Probe(n) => self.balancer.probed(self.now, n, false),
        }
    }

    /// What an earlier life of a process asked is answered to the life that is there now: sockets
    /// keep that from happening, but no safety may rest on it.
    fn outcome(&mut self, node: usize, life: u64, ticket: Ticket, outcome: Reply) {
        if self.controllers[node].life != life {
            self.strays += 1;
        }
        self.feed(node, Input::Outcome { ticket, outcome });
    }

    /// The connections of a host that ended are reset.
    pub fn reset_calls(&mut self, host: Host) {
        self.network.forget(host);
        let mut open: Vec<CallId> = self
            .calls
            .iter()
            .filter(|(_, c)| c.to == host)
            .map(|c| *c.0)
            .collect();
        open.sort_unstable();
        for id in open {
            self.after(MILLI, Event::End(id, Reply::Lost));
        }
    }

    fn ask_state(&mut self, node: usize, request: Request) {
        if let Some(f) = self.lasting(FaultKind::StateLoses)
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
                return self.after(late, Event::LateTxn(request.body));
            }
        }
        let told = self.state.call(
            self.now,
            node,
            &request.method,
            &request.path,
            &request.body,
            request.call,
        );
        if let Some((id, (status, body))) = told {
            self.state_answers(id, status, body);
        }
        self.wake_state();
    }

    fn state_answers(&mut self, id: CallId, status: u16, body: String) {
        let slow = self.lasting(FaultKind::StateSlow).and_then(|f| f.factor);
        let luck: f64 = self.rng.random();
        let rare = if luck > 0.998 { 40.0 } else { 1.0 };
        let ms = self.day.state.latency_ms * slow.unwrap_or(1.0) * rare * (0.6 + 0.8 * luck);
        let answer = Box::new(Answer::new(status, body));
        self.after(micros(ms / 1000.0), Event::Ready(id, answer));
    }

    /// Watches that have news, grants that end.
    fn wake_state(&mut self) {
        let next = self.state.expire(self.now);
        for (id, (status, body)) in self.state.wake(self.now) {
            self.state_answers(id, status, body);
        }
        // Watches without news end at their own time; a look a second finds them.
        let look = next.unwrap_or(Micros::MAX).min(self.now + SECOND);
        if self.state_wake <= self.now || look < self.state_wake {
            self.state_wake = look;
            self.at(look.max(self.now + 1), Event::StateWake);
        }
    }

    fn sample(&mut self) {
        self.check.find_late_stops(self.now, &self.users);
        self.check_waiting_jobs();
        let leader = self.controllers.iter().position(ControllerProcess::leads);
        let sample = Sample::of(self, leader);
        let mut line = String::new();
        let _ = write!(line, "{sample:?}");
        self.digest.update(line.as_bytes());
        self.samples.push(sample);
        self.after(SECOND, Event::Sample);
    }
}
