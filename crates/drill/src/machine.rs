//! A model of a machine and its worker, after their published description.
//!
//! The worker sends heartbeats, checks its own lease and the fencing token, and executes commands, which come in
//! heartbeat responses or as direct requests. This module decides what runs on the machine from the commands alone;
//! it never looks at the state of the controllers.

use crate::network::Host;
use crate::scenario::{FaultKind, Scenario};
use crate::world::{Caller, Event, MILLISECOND, Micros, Request, Response, SECOND, World, micros};
use rand::Rng;
use rand::rngs::SmallRng;
use serde::Deserialize;
use std::fmt::Write;

/// Life cycle of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Booting,
    Up,
    /// Failed, with all tasks on it.
    Failed,
    /// Released by the controllers or reclaimed by the cloud.
    Removed,
}

/// Status of an attempt, as heartbeats report it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    Fetching,
    Running,
    Saving,
    Ended,
}

/// An attempt of a task on a machine. Ended attempts stay until the leader acknowledges them.
pub struct Task {
    pub job: usize,
    pub task_index: u32,
    pub attempt: u64,
    pub status: Status,
    /// Why it ended, or, while it runs, how it will end.
    pub cause: &'static str,
    /// Whether it saved its progress when it was stopped.
    pub saved: bool,
    /// When its status changes by itself.
    pub transition_at: Micros,
    /// Number of the scheduled change; events with another number are outdated.
    pub transition: u64,
    pub running_since: Micros,
    pub cores: f64,
    pub memory_gb: f64,
}

impl Task {
    /// Whether it takes cores and memory of its machine.
    pub fn holds_resources(&self) -> bool {
        self.status != Status::Ended
    }

    /// Whether it counts as running for the rules: it has its image and has not ended.
    pub fn is_executing(&self) -> bool {
        matches!(self.status, Status::Running | Status::Saving)
    }
}

/// A container image in the cache of a machine.
pub struct Image {
    pub name: String,
    pub size_gb: f64,
    /// When the fetch is complete.
    pub ready_at: Micros,
    pub last_used: Micros,
}

/// A machine with its worker.
pub struct Machine {
    pub name: String,
    pub addr: String,
    /// Index into the scenario's machine types.
    pub machine_type: usize,
    /// Index into the scenario's pools.
    pub pool: usize,
    pub zone: usize,
    pub phase: Phase,
    pub created_at: Micros,
    pub up_at: Option<Micros>,
    pub stopped_at: Micros,
    pub removed_at: Option<Micros>,
    /// Whether the cloud has listed it; then it stays in the list until it is removed.
    pub seen_in_list: bool,
    /// When the notice of its reclaim begins, and when the cloud reclaims it.
    pub reclaim: Option<(Micros, Micros)>,
    pub tasks: Vec<Task>,
    /// Requests that arrived while the machine hung.
    pub inbox: Vec<Request>,
    pub hung_until: Micros,
    /// Until when it receives no requests and no responses.
    pub inbound_partitioned_until: Micros,
    /// Until when its heartbeats are lost.
    pub outbound_partitioned_until: Micros,
    /// Tasks that begin to run before this time fail.
    pub tasks_fail_until: Micros,
    /// Factor on the run time of tasks, and until when it applies.
    pub slowdown: (f64, Micros),
    pub images: Vec<Image>,
    agent_epoch: u64,
    sequence: u64,
    fencing_token: u64,
    /// The controller that it sends its heartbeats to.
    controller: usize,
    heartbeat_in_flight: bool,
    last_heartbeat_at: Micros,
    next_heartbeat_at: Micros,
    /// When the last heartbeat was sent that the leader accepted.
    lease_renewed_at: Micros,
    /// When a new fencing token last made it send an early heartbeat.
    token_reported_at: Micros,
    /// Number of the last scheduled change of a task.
    pub transitions: u64,
    /// Run time of tasks compared with a machine of usual speed.
    pub run_time_factor: f64,
    /// Local seconds per simulated second.
    clock_rate: f64,
}

/// A response to a heartbeat, or a direct request, which names the agent epoch.
#[derive(Deserialize)]
struct ControllerMessage {
    #[serde(rename = "baton")]
    fencing_token: u64,
    #[serde(rename = "stint", default)]
    agent_epoch: Option<u64>,
    #[serde(rename = "orders", default)]
    commands: Vec<Command>,
}

/// A command to the worker: `start`, `halt` (stop) or `reap` (acknowledge the end).
#[derive(Deserialize)]
struct Command {
    #[serde(rename = "verb")]
    kind: String,
    /// Task name: job id and task index, as in `wk-000412/7`.
    #[serde(rename = "part")]
    task: String,
    #[serde(rename = "try")]
    attempt: u64,
    /// Time to save before the task is killed.
    #[serde(rename = "windDownS", default)]
    grace_s: f64,
}

/// A response with status 421.
#[derive(Deserialize)]
struct NotLeaderReply {
    #[serde(rename = "boss", default)]
    leader: Option<String>,
}

/// Job, task index and attempt.
pub type TaskKey = (usize, u32, u64);

impl Machine {
    pub fn new(
        m: usize,
        pool: usize,
        scenario: &Scenario,
        now: Micros,
        rng: &mut SmallRng,
    ) -> Self {
        let p = &scenario.pools[pool];
        let zone = scenario.fleet.zones.iter().position(|z| *z == p.zone);
        let machine_type = scenario.types.iter().position(|t| t.name == p.r#type);
        Self {
            name: format!("m-{m:06}"),
            addr: format!("10.1.{}.{}:9000", m / 200, m % 200 + 1),
            machine_type: machine_type.unwrap_or(0),
            pool,
            zone: zone.unwrap_or(0),
            phase: Phase::Booting,
            created_at: now,
            up_at: None,
            stopped_at: now,
            removed_at: None,
            seen_in_list: false,
            reclaim: None,
            tasks: Vec::new(),
            inbox: Vec::new(),
            hung_until: 0,
            inbound_partitioned_until: 0,
            outbound_partitioned_until: 0,
            tasks_fail_until: 0,
            slowdown: (1.0, 0),
            images: Vec::new(),
            agent_epoch: 1,
            sequence: 0,
            fencing_token: 0,
            controller: rng.random_range(0..scenario.fleet.controllers),
            heartbeat_in_flight: false,
            last_heartbeat_at: 0,
            next_heartbeat_at: 0,
            lease_renewed_at: now,
            token_reported_at: 0,
            transitions: 0,
            run_time_factor: rng.random_range(0.95..1.05),
            clock_rate: 1.0 + rng.random_range(0.0..=scenario.fleet.drift.max(0.0)),
        }
    }

    /// Returns `Some(true)` if it accepts connections, `None` if it does not respond at all.
    pub fn reachable(&self) -> Option<bool> {
        (self.phase == Phase::Up).then_some(true)
    }

    /// Returns when the last heartbeat was sent that the leader accepted.
    pub fn lease_renewed_at(&self) -> Micros {
        self.lease_renewed_at
    }

    /// Returns the position of an attempt in `tasks`.
    pub fn find(&self, key: TaskKey) -> Option<usize> {
        let same = |t: &Task| (t.job, t.task_index, t.attempt) == key;
        self.tasks.iter().position(same)
    }
}

impl World {
    /// Starts the worker of a machine that has booted.
    pub fn machine_up(&mut self, m: usize) {
        if self.machines[m].phase != Phase::Booting {
            return;
        }
        let now = self.now;
        let machine = &mut self.machines[m];
        machine.phase = Phase::Up;
        machine.up_at = Some(now);
        machine.lease_renewed_at = now;
        self.record_in_digest("up", m as u64, 0);
        self.schedule_heartbeat(m, now);
        self.schedule_lease_check(m);
    }

    fn schedule_lease_check(&mut self, m: usize) {
        let machine = &self.machines[m];
        let lease = self.scenario.fleet.lease_s * 1e6 / machine.clock_rate;
        let at = machine.lease_renewed_at + lease as Micros + 1;
        self.schedule_at(at, Event::LeaseCheck(m));
    }

    /// Kills all tasks of a worker whose lease has expired, and raises its agent epoch.
    pub fn check_lease(&mut self, m: usize) {
        let machine = &self.machines[m];
        if machine.phase != Phase::Up {
            return;
        }
        let lease = (self.scenario.fleet.lease_s * 1e6 / machine.clock_rate) as Micros;
        if self.now <= machine.lease_renewed_at + lease {
            return self.schedule_lease_check(m);
        }
        let killed = machine.tasks.iter().filter(|t| t.holds_resources()).count() as u64;
        self.checker.killed_by_lease += killed;
        self.drop_tasks(m);
        let machine = &mut self.machines[m];
        machine.agent_epoch += 1;
        machine.lease_renewed_at = self.now;
        self.record_in_digest("lease", m as u64, killed);
        self.schedule_early_heartbeat(m);
        self.schedule_lease_check(m);
    }

    fn schedule_heartbeat(&mut self, m: usize, at: Micros) {
        self.machines[m].next_heartbeat_at = at;
        self.schedule_at(at, Event::Heartbeat(m));
    }

    /// Sends the next heartbeat at once, but not within half a second of the last one.
    pub fn schedule_early_heartbeat(&mut self, m: usize) {
        let machine = &self.machines[m];
        let at = self.now.max(machine.last_heartbeat_at + 500 * MILLISECOND);
        if at < machine.next_heartbeat_at {
            self.schedule_heartbeat(m, at);
        }
    }

    /// Sends a heartbeat if one is due and no other is in flight.
    pub fn heartbeat_due(&mut self, m: usize) {
        let now = self.now;
        let machine = &self.machines[m];
        if machine.phase != Phase::Up || machine.heartbeat_in_flight || now < machine.hung_until {
            return;
        }
        let notice = machine.reclaim.is_some_and(|t| t.0 == now);
        if now < machine.next_heartbeat_at && !notice {
            return;
        }
        let body = self.heartbeat_body(m);
        let machine = &mut self.machines[m];
        machine.heartbeat_in_flight = true;
        machine.last_heartbeat_at = now;
        let (controller, agent_epoch) = (machine.controller, machine.agent_epoch);
        let from = Caller::Heartbeat {
            machine: m,
            agent_epoch,
            sent: now,
        };
        let host = Host::Controller(controller);
        let mut request = World::http_request("POST", "/checkin", body);
        (request.from, request.to) = (Host::Machine(m), host);
        self.copy_heartbeat(&request);
        if now < self.machines[m].outbound_partitioned_until {
            self.send_and_lose(from, host, 4 * SECOND);
        } else {
            self.send(from, host, 4 * SECOND, request);
        }
        let period = self.scenario.fleet.report_s * self.rng.random_range(0.75..1.25);
        self.machines[m].next_heartbeat_at = now + micros(period);
    }

    /// Writes the body of a heartbeat, which is also the response to direct requests; raises the sequence number.
    fn heartbeat_body(&mut self, m: usize) -> String {
        let now = self.now;
        let machine = &mut self.machines[m];
        machine.sequence += 1;
        let pool = &self.scenario.pools[machine.pool];
        let notice = machine.reclaim.filter(|t| now >= t.0);
        let notice = notice.map(|t| t.1.saturating_sub(now) as f64 / 1e6);
        let notice = notice.map_or("null".to_owned(), |s| format!("{s:.3}"));
        let mut body = format!(
            r#"{{"host":"{}","addr":"{}","build":"{}","paddock":"{}","loaners":{},"stint":{},"tally":{},"baton":{},"warningS":{notice},"parts":["#,
            machine.name,
            machine.addr,
            pool.r#type,
            pool.zone,
            pool.spot,
            machine.agent_epoch,
            machine.sequence,
            machine.fencing_token
        );
        for (n, t) in machine.tasks.iter().enumerate() {
            let uid = &self.users.jobs[t.job].uid;
            let comma = if n == 0 { "" } else { "," };
            let status = match t.status {
                Status::Fetching => "fetching",
                Status::Running => "running",
                Status::Saving => "saving",
                Status::Ended => "ended",
            };
            let _ = write!(
                body,
                r#"{comma}{{"part":"{uid}/{}","try":{},"status":"{status}""#,
                t.task_index, t.attempt
            );
            if t.status == Status::Ended {
                let _ = write!(body, r#","cause":"{}""#, t.cause);
            }
            if t.saved {
                body.push_str(r#","saved":true"#);
            }
            body.push('}');
        }
        body.push_str("]}");
        body
    }

    /// Handles the outcome of a heartbeat: accepts the leader's response, or chooses the controller for the next
    /// attempt.
    pub fn heartbeat_answered(
        &mut self,
        m: usize,
        agent_epoch: u64,
        sent: Micros,
        response: Option<Response>,
    ) {
        let now = self.now;
        let controllers = self.controllers.len();
        let machine = &mut self.machines[m];
        machine.heartbeat_in_flight = false;
        if machine.phase != Phase::Up {
            return;
        }
        if now < machine.hung_until {
            // A machine that hangs does not read the response, which is too old when it resumes.
            return;
        }
        let next = machine.next_heartbeat_at.max(now);
        match response {
            Some(a) if a.status == 200 => {
                self.schedule_heartbeat(m, next);
                let Ok(message) = serde_json::from_slice::<ControllerMessage>(&a.body) else {
                    return;
                };
                let machine = &mut self.machines[m];
                if machine.agent_epoch != agent_epoch
                    || message.fencing_token < machine.fencing_token
                {
                    return;
                }
                machine.lease_renewed_at = machine.lease_renewed_at.max(sent);
                self.accept_token(m, message.fencing_token);
                self.execute_commands(m, message.commands);
            }
            Some(a) if a.status == 421 => {
                let message: Option<NotLeaderReply> = serde_json::from_slice(&a.body).ok();
                let leader = message.and_then(|t| t.leader);
                let leader = leader.and_then(|b| b.strip_prefix("node-")?.parse::<usize>().ok());
                match leader.filter(|b| *b != machine.controller && *b < controllers) {
                    Some(leader) => {
                        machine.controller = leader;
                        let wait = self.rng.random_range(0..500 * MILLISECOND);
                        self.schedule_heartbeat(m, now + wait);
                    }
                    None => self.try_next_controller(m),
                }
            }
            _ => self.try_next_controller(m),
        }
    }

    /// Sends the next heartbeat to the next controller, in a second.
    fn try_next_controller(&mut self, m: usize) {
        let controllers = self.controllers.len();
        let machine = &mut self.machines[m];
        self.network
            .close_connection(Host::Machine(m), Host::Controller(machine.controller));
        machine.controller = (machine.controller + 1) % controllers;
        self.schedule_heartbeat(m, self.now + SECOND);
    }

    /// Accepts a fencing token; a higher one is reported early, at most once per half lease.
    fn accept_token(&mut self, m: usize, token: u64) {
        let half = micros(self.scenario.fleet.lease_s / 2.0);
        let now = self.now;
        let machine = &mut self.machines[m];
        if token > machine.fencing_token {
            machine.fencing_token = token;
            if now >= machine.token_reported_at + half || machine.token_reported_at == 0 {
                machine.token_reported_at = now;
                self.schedule_early_heartbeat(m);
            }
        }
    }

    /// Handles direct commands and status requests.
    pub fn handle_machine_request(&mut self, m: usize, request: Request) {
        let machine = &mut self.machines[m];
        if machine.phase != Phase::Up || self.now < machine.inbound_partitioned_until {
            return;
        }
        if self.now < machine.hung_until {
            machine.inbox.push(request);
            return;
        }
        let id = request.call;
        let status = match request.path.as_str() {
            "/status" => 200,
            "/commands" => match serde_json::from_slice::<ControllerMessage>(&request.body) {
                Ok(message) if message.agent_epoch.is_some() => {
                    if message.fencing_token < machine.fencing_token
                        || message.agent_epoch != Some(machine.agent_epoch)
                    {
                        409
                    } else {
                        self.copy_executed_request(&request);
                        self.accept_token(m, message.fencing_token);
                        self.execute_commands(m, message.commands);
                        200
                    }
                }
                _ => 400,
            },
            _ => 404,
        };
        let lost = self
            .active_fault(FaultKind::AnswersLost)
            .and_then(|f| f.share);
        let body = self.heartbeat_body(m);
        if lost.is_some_and(|share| self.rng.random::<f64>() < share) {
            return;
        }
        self.respond(id, Response::new(status, body));
    }

    fn execute_commands(&mut self, m: usize, commands: Vec<Command>) {
        for command in commands {
            let Some((uid, task_index)) = command.task.rsplit_once('/') else {
                continue;
            };
            let task_index: u32 = task_index.parse().unwrap_or(0);
            let Some(job) = self.users.find(uid) else {
                continue;
            };
            let key = (job, task_index, command.attempt);
            let found = self.machines[m].find(key);
            match (command.kind.as_str(), found) {
                ("start", _)
                    if self
                        .tamper
                        .is_some_and(|t| t.drops_start(job, self.users.jobs[job].parts)) => {}
                ("start", None) => self.start_task(m, key),
                ("halt", Some(at)) => self.stop_task(m, at, command.grace_s),
                ("reap", Some(at)) if !self.machines[m].tasks[at].holds_resources() => {
                    let t = self.machines[m].tasks.remove(at);
                    self.checker
                        .end_acknowledged(t.job, t.task_index, t.cause == "done");
                }
                _ => {}
            }
        }
    }

    /// Resumes a machine that hung: it handles the requests that came in meanwhile.
    pub fn resume_machine(&mut self, m: usize) {
        if self.machines[m].phase != Phase::Up || self.now < self.machines[m].hung_until {
            return;
        }
        for request in std::mem::take(&mut self.machines[m].inbox) {
            self.handle_machine_request(m, request);
        }
        self.schedule_heartbeat(m, self.now);
    }

    /// Freezes a machine; the next status changes of its tasks are delayed by as much.
    pub fn hang_machine(&mut self, m: usize, until: Micros) {
        let now = self.now;
        let machine = &mut self.machines[m];
        let pause = until.saturating_sub(now);
        machine.hung_until = until;
        let mut delayed = Vec::new();
        for t in machine.tasks.iter_mut().filter(|t| t.holds_resources()) {
            machine.transitions += 1;
            t.transition = machine.transitions;
            t.transition_at += pause;
            if t.running_since > 0 {
                t.running_since += pause;
            }
            delayed.push((
                (t.job, t.task_index, t.attempt),
                t.transition_at,
                t.transition,
            ));
        }
        for (key, at, transition) in delayed {
            self.schedule_task_transition(m, key, at, transition);
        }
        self.schedule_at(until, Event::ResumeMachine(m));
    }
}
