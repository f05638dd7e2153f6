//! A scripted world on a fake clock: state service, cloud, workers and peers, all answered in
//! memory. Tests hold back, lose or delay what they want to.

mod samples;
mod state_service;
mod worker;

use dewramp::clock::{Micros, Now, SECOND};
use dewramp::controller::Controller;
use dewramp::input_queue::InputQueue;
use dewramp::load_shedding::LoadMonitor;
use dewramp::messages::{ConnId, Input, Outcome, Output, Ticket};
use dewramp::seeded_hash::HashMap;
use dewramp::settings::Properties;
use dewramp::wire::{KIND_CANCELLED, KIND_HEARTBEAT, KIND_HEARTBEAT_BATCH};
use serde_json::{Value, json};
use std::net::SocketAddr;

pub use samples::{
    NEXT_LIMITS, SETTINGS, job_submission, settings_for_node, settings_from,
    settings_with_next_limits,
};
pub use state_service::FakeStateService;
pub use worker::Worker;

pub fn json_reply(status: u16, body: Value) -> Outcome {
    Outcome::Reply {
        status,
        body: body.to_string().into_bytes(),
    }
}

struct WaitingWatch {
    node: usize,
    ticket: Ticket,
    path: String,
    until: Micros,
}

pub struct TestCluster {
    pub now: Now,
    pub controllers: Vec<Option<Controller>>,
    pub kv: FakeStateService,
    pub workers: Vec<Worker>,
    pub cloud_machines: Vec<Value>,
    pub released_machines: Vec<String>,
    pub answers: HashMap<ConnId, (u16, Value)>,
    /// Pairs of nodes that can't talk.
    pub cut_links: Vec<(usize, usize)>,
    /// The node that can't reach workers, nor they it.
    pub isolated_from_workers: Option<usize>,
    settings_text: String,
    /// The node whose calls to the state service get no answer, and those that hang.
    pub state_calls_hang_for: Option<usize>,
    hanging_calls: Vec<(Micros, usize, Ticket)>,
    /// The node that the state service refuses; its open watches wait.
    pub state_calls_refused_for: Option<usize>,
    /// The node whose watches that wait for a change are never answered, as on a connection that is gone
    /// without its having been told; `true`: nor those that do not wait.
    pub watches_hang_for: Option<(usize, bool)>,
    /// Transactions with this text are applied at once and answered by `deliver`.
    pub delay_answers_with: Option<&'static str>,
    pub delayed_answers: Vec<(usize, Ticket, Outcome)>,
    waiting_watches: Vec<WaitingWatch>,
    peer_calls: HashMap<(usize, ConnId), (usize, Ticket)>,
    heartbeats_in_flight: HashMap<ConnId, (String, u64, Micros)>,
    last_connection: ConnId,
    next_heartbeat_at: Micros,
    last_incarnation: u64,
    /// Each input costs its node time, and waits until the node has it; see `work_off`.
    pub slow_controllers: bool,
    /// Reports that one controller passes to another get no answer in time; all else does.
    pub slow_heartbeat_forwarding: bool,
    /// How often a worker was named another controller.
    pub redirects: usize,
    processors: Vec<SlowProcessor>,
    /// Users' requests that a node refused without looking at them.
    pub shed_requests: usize,
    /// Controllers tell the leader of cancellations that they confirm; else those frames are lost.
    pub deliver_cancellation_hints: bool,
    /// The cloud offers the small type alone.
    pub only_small_type: bool,
    /// It offers the large type in that zone alone.
    pub big_type_only_in: Option<&'static str>,
}

/// A node with little processor: what waits for it, and until when it is busy.
#[derive(Default)]
struct SlowProcessor {
    lanes: InputQueue,
    load: LoadMonitor,
    busy_until: Micros,
}

/// What an input costs a slow node.
fn processing_time(input: &Input) -> Micros {
    match input {
        Input::Request { .. } => 4_000,
        Input::PeerRequest { .. } => 2_000,
        Input::Outcome { .. } => 1_000,
    }
}

impl TestCluster {
    pub fn new(nodes: usize) -> Self {
        Self::with_settings(nodes, SETTINGS)
    }

    /// Three controllers of which one leads, and a small machine, with room for one task, in each of these zones.
    pub fn with_leader(zones: &[&'static str]) -> (Self, usize) {
        let mut w = Self::new(3);
        for (n, zone) in zones.iter().enumerate() {
            w.add_worker(&format!("m-{}", n + 1), "small", zone);
        }
        w.run(6.0);
        let leader = w.leader().expect("one node leads");
        (w, leader)
    }

    pub fn with_settings(nodes: usize, text: &str) -> Self {
        let mut w = TestCluster {
            now: Now {
                steady: SECOND,
                wall: 1_000_000 * SECOND,
            },
            controllers: Vec::new(),
            kv: FakeStateService::default(),
            workers: Vec::new(),
            cloud_machines: Vec::new(),
            released_machines: Vec::new(),
            answers: HashMap::default(),
            cut_links: Vec::new(),
            isolated_from_workers: None,
            settings_text: text.to_owned(),
            state_calls_hang_for: None,
            hanging_calls: Vec::new(),
            state_calls_refused_for: None,
            watches_hang_for: None,
            delay_answers_with: None,
            delayed_answers: Vec::new(),
            waiting_watches: Vec::new(),
            peer_calls: HashMap::default(),
            heartbeats_in_flight: HashMap::default(),
            last_connection: 1,
            next_heartbeat_at: 0,
            last_incarnation: 0,
            slow_controllers: false,
            slow_heartbeat_forwarding: false,
            redirects: 0,
            processors: (0..nodes).map(|_| SlowProcessor::default()).collect(),
            shed_requests: 0,
            deliver_cancellation_hints: false,
            only_small_type: false,
            big_type_only_in: None,
        };
        for n in 0..nodes {
            w.controllers.push(None);
            w.start_controller(n, nodes);
        }
        w
    }

    pub fn start_controller(&mut self, n: usize, of: usize) {
        self.last_incarnation += 1;
        let props = Properties {
            seed: 7,
            ..Properties::default()
        };
        self.controllers[n] = Some(Controller::new(
            settings_from(&self.settings_text, n + 1, of),
            props,
            self.last_incarnation,
        ));
    }

    pub fn kill_controller(&mut self, n: usize) {
        self.controllers[n] = None;
        self.waiting_watches.retain(|p| p.node != n);
    }

    /// The state service is down for all, or up again, when all grants get their full time.
    pub fn set_state_service_down(&mut self, down: bool) {
        self.kv.down = down;
        let now = self.now.steady;
        for (id, ends) in &mut self.kv.leases {
            *ends = if down {
                Micros::MAX
            } else {
                now + self.kv.lease_ttls[id]
            };
        }
    }

    /// The connections on which a node's watches wait are gone, and the node knows it.
    pub fn close_watch_connections(&mut self, node: usize) {
        let parked = std::mem::take(&mut self.waiting_watches);
        let (lost, kept) = parked.into_iter().partition(|p| p.node == node);
        self.waiting_watches = kept;
        let lost: Vec<WaitingWatch> = lost;
        for p in lost {
            self.deliver_outcome(node, p.ticket, Outcome::Lost);
        }
    }

    pub fn add_worker(
        &mut self,
        id: &str,
        machine_type: &'static str,
        zone: &'static str,
    ) -> usize {
        let n = self.workers.len();
        self.workers.push(Worker {
            id: id.to_owned(),
            addr: format!("10.1.{}.{}:9000", n / 200, n % 200 + 1)
                .parse()
                .unwrap(),
            machine_type,
            zone,
            spot: false,
            agent_epoch: 1,
            sequence: 0,
            fencing_token: 0,
            tasks: Vec::new(),
            controller: 0,
            lease_renewed_at: self.now.steady,
            partitioned: false,
            outbound_partitioned: false,
            inbound_partitioned: false,
            commands_hang: false,
            delayed_commands: None,
            started_attempts: Vec::new(),
        });
        n
    }

    pub fn leader(&self) -> Option<usize> {
        self.controllers
            .iter()
            .position(|n| n.as_ref().is_some_and(Controller::is_leader))
    }

    fn next_connection(&mut self) -> ConnId {
        self.last_connection += 1;
        self.last_connection
    }

    /// Asks a node as a user would, and runs the world until it has answered.
    pub fn request(&mut self, node: usize, method: &str, path: &str, body: Value) -> (u16, Value) {
        let conn = self.send_request(node, method, path, body);
        for _ in 0..600 {
            self.step(5_000);
            if let Some(a) = self.answers.remove(&conn) {
                return a;
            }
        }
        panic!("no answer to {method} {path}");
    }

    /// Several GETs in the same moment.
    pub fn get_concurrently(&mut self, node: usize, paths: &[&str]) -> Vec<(u16, Value)> {
        let sent = paths
            .iter()
            .map(|p| self.send_request(node, "GET", p, Value::Null));
        let conns: Vec<ConnId> = sent.collect();
        self.run(1.0);
        conns
            .iter()
            .map(|c| self.answers.remove(c).expect("an answer"))
            .collect()
    }

    /// GETs one after the other, every 10 ms; the answers in that order.
    pub fn get_every_10_ms(&mut self, node: usize, paths: &[&str]) -> Vec<(u16, Value)> {
        let mut conns = Vec::new();
        for path in paths {
            conns.push(self.send_request(node, "GET", path, Value::Null));
            self.step(10_000);
        }
        self.run(1.5);
        conns
            .iter()
            .map(|c| self.answers.remove(c).expect("an answer"))
            .collect()
    }

    /// An input for a node, at once or after what waits before it.
    pub fn deliver_input(&mut self, n: usize, input: Input) {
        if self.slow_controllers {
            self.processors[n].lanes.push(input);
        } else if let Some(node) = self.controllers[n].as_mut() {
            node.handle(self.now, input);
        }
    }

    /// A slow node takes what its time allows, as the program's loop does; false while it is busy.
    fn process_queued_inputs(&mut self, n: usize) -> bool {
        let now = self.now.steady;
        let Some(node) = self.controllers[n].as_mut() else {
            self.processors[n] = SlowProcessor::default();
            return false;
        };
        let slow = &mut self.processors[n];
        slow.lanes.set_now(now);
        slow.load.record_wait(now, slow.lanes.longest_wait());
        node.update_load(slow.load);
        // A user who has given up is gone; a worker too.
        slow.busy_until = slow.busy_until.max(now.saturating_sub(20_000));
        let mut refused = Vec::new();
        while slow.busy_until <= now {
            let Some(input) = slow.lanes.next(|_| true) else {
                break;
            };
            if let Input::Request { conn, path, .. } = &input
                && path != "/checkin"
                && slow.load.shed_level().refuses(path)
            {
                // Told so as soon as it is read.
                slow.busy_until += processing_time(&input) / 10;
                refused.push(*conn);
                continue;
            }
            slow.busy_until += processing_time(&input);
            node.handle(self.now, input);
        }
        self.shed_requests += refused.len();
        for conn in refused {
            self.answers.insert(conn, (503, Value::Null));
        }
        self.processors[n].busy_until <= now + 20_000
    }

    /// A request whose answer is looked for later in `answers`.
    pub fn send_request(&mut self, node: usize, method: &str, path: &str, body: Value) -> ConnId {
        let body = if body.is_null() {
            Vec::new()
        } else {
            body.to_string().into_bytes()
        };
        self.send_request_bytes(node, method, path, body)
    }

    /// The same with a body that need not be JSON.
    pub fn send_request_bytes(
        &mut self,
        node: usize,
        method: &str,
        path: &str,
        body: Vec<u8>,
    ) -> ConnId {
        let conn = self.next_connection();
        let input = Input::Request {
            conn,
            method: method.to_owned(),
            path: path.to_owned(),
            body,
        };
        self.deliver_input(node, input);
        conn
    }

    pub fn run(&mut self, secs: f64) {
        let end = self.now.steady + (secs * 1e6) as Micros;
        while self.now.steady < end {
            self.step(20_000);
        }
    }

    pub fn step(&mut self, dt: Micros) {
        self.now.steady += dt;
        self.now.wall += dt;
        if self.now.steady >= self.next_heartbeat_at {
            self.next_heartbeat_at = self.now.steady + SECOND;
            for w in 0..self.workers.len() {
                self.send_heartbeat(w);
            }
        }
        let now = self.now.steady;
        let (over, kept) = std::mem::take(&mut self.hanging_calls)
            .into_iter()
            .partition(|h: &(Micros, usize, Ticket)| h.0 <= now);
        self.hanging_calls = kept;
        for (_, node, ticket) in over {
            self.deliver_outcome(node, ticket, Outcome::Lost);
        }
        for _ in 0..6 {
            self.answer_waiting_watches();
            for n in 0..self.controllers.len() {
                if self.slow_controllers && !self.process_queued_inputs(n) {
                    continue;
                }
                let Some(node) = self.controllers[n].as_mut() else {
                    continue;
                };
                for output in node.tick(self.now) {
                    self.perform_output(n, output);
                }
            }
        }
    }

    pub fn send_heartbeat(&mut self, w: usize) {
        let lease = 30 * SECOND;
        let now = self.now.steady;
        let worker = &mut self.workers[w];
        if now > worker.lease_renewed_at + lease {
            worker.agent_epoch += 1;
            worker.tasks.clear();
            worker.lease_renewed_at = now;
        }
        if worker.partitioned || worker.outbound_partitioned {
            return;
        }
        let mut node = worker.controller;
        if self.controllers[node].is_none() || self.isolated_from_workers == Some(node) {
            node = (node + 1) % self.controllers.len();
            worker.controller = node;
        }
        let body = worker.heartbeat().to_string().into_bytes();
        let from = (worker.id.clone(), worker.agent_epoch, now);
        let conn = self.next_connection();
        self.heartbeats_in_flight.insert(conn, from);
        let input = Input::Request {
            conn,
            method: "POST".into(),
            path: "/checkin".into(),
            body,
        };
        self.deliver_input(node, input);
    }

    fn deliver_outcome(&mut self, node: usize, ticket: Ticket, outcome: Outcome) {
        self.deliver_input(node, Input::Outcome { ticket, outcome });
    }

    /// The machine stands still: it reports nothing, and what is sent to it waits.
    pub fn suspend_worker(&mut self, w: usize) {
        self.workers[w].partitioned = true;
        self.workers[w].delayed_commands = Some(Vec::new());
    }

    /// It goes on: its lease is over by now or not, and then it does what waited.
    pub fn resume_worker(&mut self, w: usize) {
        self.send_heartbeat(w);
        let worker = &mut self.workers[w];
        worker.partitioned = false;
        for body in worker.delayed_commands.take().unwrap_or_default() {
            worker.handle_command_call(&body);
        }
    }

    /// A controller is told to end: it lets the lead go, and ends.
    pub fn shut_down_controller(&mut self, n: usize) {
        if let Some(node) = &mut self.controllers[n] {
            node.shut_down(self.now);
        }
        self.step(1_000);
        self.kill_controller(n);
    }

    /// Asks again until the answer is not a refusal, at most so many times; a user would wait a second.
    pub fn request_with_retries(
        &mut self,
        node: usize,
        method: &str,
        path: &str,
        body: &Value,
    ) -> (u16, Value) {
        for _ in 0..60 {
            if self.controllers[node].is_some() {
                let told = self.request(node, method, path, body.clone());
                if told.0 != 503 {
                    return told;
                }
            }
            self.run(0.1);
        }
        panic!("only refusals of {method} {path}");
    }

    /// Cores that the tasks of these jobs have on machines now.
    pub fn cores_in_use(&self, uids: &[&str]) -> f64 {
        let parts = self.workers.iter().flat_map(|w| &w.tasks);
        let of = |name: &str| uids.iter().any(|u| name.split('/').next() == Some(u));
        parts.filter(|p| p.2 != "ended" && of(&p.0)).count() as f64 * 4.0
    }

    /// Gives the answers that were kept back.
    pub fn deliver_delayed_answers(&mut self) {
        for (node, ticket, outcome) in std::mem::take(&mut self.delayed_answers) {
            self.deliver_outcome(node, ticket, outcome);
        }
    }

    fn answer_waiting_watches(&mut self) {
        for p in std::mem::take(&mut self.waiting_watches) {
            if self.state_calls_refused_for == Some(p.node) {
                self.waiting_watches.push(p);
                continue;
            }
            match self.kv.handle_request(self.now.steady, "GET", &p.path, &[]) {
                Some(o) => self.deliver_outcome(p.node, p.ticket, o),
                None if self.now.steady >= p.until => {
                    let revision = self.kv.revision;
                    self.deliver_outcome(
                        p.node,
                        p.ticket,
                        json_reply(200, json!({"epoch": revision, "events": []})),
                    );
                }
                None => self.waiting_watches.push(p),
            }
        }
    }

    fn perform_output(&mut self, n: usize, output: Output) {
        match output {
            Output::Respond {
                conn, status, body, ..
            } => {
                let value: Value = serde_json::from_slice(&body).unwrap();
                if let Some((id, stint, sent)) = self.heartbeats_in_flight.remove(&conn) {
                    // A worker waits 4 s, and drops what comes later.
                    if self.now.steady > sent + 4 * SECOND {
                        return;
                    }
                    let Some(worker) = self.workers.iter_mut().find(|w| w.id == id) else {
                        return;
                    };
                    let baton = value["baton"].as_u64().unwrap_or(0);
                    if worker.inbound_partitioned {
                        return;
                    }
                    if status == 200
                        && !worker.partitioned
                        && worker.agent_epoch == stint
                        && baton >= worker.fencing_token
                    {
                        worker.fencing_token = baton;
                        worker.lease_renewed_at = self.now.steady;
                        worker.execute_commands(&value["orders"]);
                    } else if status != 200 {
                        let boss = value["boss"].as_str().and_then(|b| b.strip_prefix("n-"));
                        let named = boss.and_then(|b| b.parse::<usize>().ok());
                        let named = named.filter(|n| (1..=self.controllers.len()).contains(n));
                        self.redirects += usize::from(named.is_some());
                        let next = (worker.controller + 1) % self.controllers.len();
                        worker.controller = named.map_or(next, |n| n - 1);
                    }
                } else {
                    self.answers.insert(conn, (status, value));
                }
            }
            Output::Call {
                ticket,
                dest,
                method,
                path,
                body,
                timeout,
            } => {
                if dest.ip().to_string() == "10.2.0.1" {
                    if self.state_calls_hang_for == Some(n) {
                        let at = self.now.steady + timeout;
                        return self.hanging_calls.push((at, n, ticket));
                    }
                    let watch = path.starts_with("/watch?prefix=job/");
                    if watch
                        && let Some((node, all)) = self.watches_hang_for
                        && node == n
                        && (all || !path.ends_with("blockMs=0"))
                    {
                        let at = self.now.steady + timeout;
                        return self.hanging_calls.push((at, n, ticket));
                    }
                    if self.state_calls_refused_for == Some(n) {
                        return self.deliver_outcome(n, ticket, json_reply(503, json!({})));
                    }
                    let text = String::from_utf8_lossy(&body);
                    let slow = self.delay_answers_with.is_some_and(|t| text.contains(t));
                    match self
                        .kv
                        .handle_request(self.now.steady, method, &path, &body)
                    {
                        Some(o) if slow => self.delayed_answers.push((n, ticket, o)),
                        Some(o) => self.deliver_outcome(n, ticket, o),
                        None => self.waiting_watches.push(WaitingWatch {
                            node: n,
                            ticket,
                            path,
                            until: self.now.steady + timeout - 3 * SECOND,
                        }),
                    }
                } else if dest.ip().to_string() == "10.2.0.2" {
                    let o = self.cloud_answer(&path, &body);
                    self.deliver_outcome(n, ticket, o);
                } else {
                    if self
                        .workers
                        .iter()
                        .any(|w| w.addr == dest && (w.commands_hang || w.inbound_partitioned))
                    {
                        let at = self.now.steady + timeout;
                        return self.hanging_calls.push((at, n, ticket));
                    }
                    let o = if self.isolated_from_workers == Some(n) {
                        Outcome::NotSent
                    } else {
                        self.send_commands_to_worker(dest, &body)
                    };
                    self.deliver_outcome(n, ticket, o);
                }
            }
            Output::PeerCall {
                ticket,
                dest,
                kind,
                subject,
                body,
                timeout,
            } => {
                let to: usize = dest
                    .ip()
                    .to_string()
                    .rsplit('.')
                    .next()
                    .unwrap()
                    .parse::<usize>()
                    .unwrap()
                    - 1;
                if kind == KIND_CANCELLED && !self.deliver_cancellation_hints {
                    return self.deliver_outcome(n, ticket, Outcome::Lost);
                }
                if self.controllers[to].is_none()
                    || self.cut_links.contains(&(n, to))
                    || self.cut_links.contains(&(to, n))
                {
                    return self.deliver_outcome(n, ticket, Outcome::NotSent);
                }
                if self.slow_heartbeat_forwarding
                    && (kind == KIND_HEARTBEAT || kind == KIND_HEARTBEAT_BATCH)
                {
                    let at = self.now.steady + timeout;
                    return self.hanging_calls.push((at, n, ticket));
                }
                let conn = self.next_connection();
                self.peer_calls.insert((to, conn), (n, ticket));
                let input = Input::PeerRequest {
                    conn,
                    ticket,
                    kind,
                    timeout,
                    subject,
                    body,
                };
                self.deliver_input(to, input);
            }
            Output::PeerRespond { conn, outcome, .. } => {
                if let Some((from, ticket)) = self.peer_calls.remove(&(n, conn)) {
                    self.deliver_outcome(from, ticket, outcome);
                }
            }
        }
    }

    fn send_commands_to_worker(&mut self, dest: SocketAddr, body: &[u8]) -> Outcome {
        let Some(w) = self.workers.iter_mut().find(|w| w.addr == dest) else {
            return Outcome::NotSent;
        };
        let body: Value = serde_json::from_slice(body).unwrap();
        if let Some(held) = &mut w.delayed_commands {
            held.push(body);
            return Outcome::Lost;
        }
        if w.partitioned {
            return Outcome::NotSent;
        }
        w.handle_command_call(&body)
    }

    fn cloud_answer(&mut self, path: &str, body: &[u8]) -> Outcome {
        if path == "/machine_types" && self.only_small_type {
            return json_reply(
                200,
                json!({"builds": [
                {"sku": "small", "cores": 4, "memGb": 16, "price": 0.2, "spotPrice": 0.1, "readyS": 30, "paddocks": ["a", "b"]}]}),
            );
        }
        if path == "/machine_types" {
            let large = self.big_type_only_in.map_or(vec!["a", "b"], |z| vec![z]);
            return json_reply(
                200,
                json!({"builds": [
                {"sku": "small", "cores": 4, "memGb": 16, "price": 0.2, "spotPrice": 0.1, "readyS": 30, "paddocks": ["a", "b"]},
                {"sku": "big", "cores": 16, "memGb": 64, "price": 1.0, "spotPrice": 0.4, "readyS": 30, "paddocks": large}]}),
            );
        }
        if path.starts_with("/hosts?") {
            return json_reply(
                200,
                json!({"hosts": self.cloud_machines, "truncated": false}),
            );
        }
        if path == "/hosts/return" {
            let body: Value = serde_json::from_slice(body).unwrap();
            for h in body["hosts"].as_array().unwrap() {
                let id = h.as_str().unwrap().to_owned();
                self.workers.retain(|w| w.id != id);
                self.released_machines.push(id);
            }
            return json_reply(200, json!({}));
        }
        json_reply(503, json!({"error": "no capacity"}))
    }

    /// The worker that has the task.
    pub fn worker_running(&self, part: &str) -> usize {
        let at = self.workers.iter().position(|w| w.is_running(part));
        at.expect("placed")
    }

    /// On how many machines the task is now.
    pub fn running_copies(&self, part: &str) -> usize {
        self.workers.iter().filter(|w| w.is_running(part)).count()
    }

    pub fn start_count(&self, part: &str) -> usize {
        self.workers
            .iter()
            .flat_map(|w| &w.started_attempts)
            .filter(|s| s.0 == part)
            .count()
    }

    pub fn submit(&mut self, node: usize, uid: &str, change: Value) -> (u16, Value) {
        let mut job = job_submission(uid);
        for (k, v) in change.as_object().unwrap() {
            job[k] = v.clone();
        }
        self.request(node, "POST", "/work", job)
    }
}
