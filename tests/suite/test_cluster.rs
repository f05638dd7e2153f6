//! An in-memory cluster on a simulated clock for tests: real controllers, with a fake state service, cloud
//! and workers. Tests can partition any of them, and lose, delay or refuse their requests and answers.

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
use std::collections::BTreeSet;
use std::net::SocketAddr;

pub use samples::{
    NEXT_LIMITS, SETTINGS, job_submission, settings_for_node, settings_from,
    settings_with_next_limits,
};
pub use state_service::FakeStateService;
pub use worker::{AgentMemory, Worker};

/// An HTTP answer with a JSON body.
pub fn json_reply(status: u16, body: Value) -> Outcome {
    Outcome::Reply {
        status,
        body: body.to_string().into_bytes(),
    }
}

/// A frame that arrived at a controller.
#[derive(Clone)]
struct ArrivedFrame {
    node: usize,
    ticket: Ticket,
    kind: u16,
    subject: String,
    body: Vec<u8>,
}

/// A watch request that the state service answers at the next change, or at `until` without one.
struct WaitingWatch {
    node: usize,
    ticket: Ticket,
    path: String,
    until: Micros,
}

/// Controllers, workers and the services that they use, with the faults that a test has injected.
/// Nodes (controllers) and workers are referred to by their indices.
pub struct TestCluster {
    pub now: Now,
    /// `None` for a controller that does not run.
    pub controllers: Vec<Option<Controller>>,
    pub kv: FakeStateService,
    pub workers: Vec<Worker>,
    /// The machines that the cloud lists.
    pub cloud_machines: Vec<Value>,
    /// Machines that were returned to the cloud, in that order.
    pub released_machines: Vec<String>,
    /// Answers to users that no test has taken yet: status and body by connection.
    pub answers: HashMap<ConnId, (u16, Value)>,
    /// Pairs of nodes between which all calls fail.
    pub cut_links: Vec<(usize, usize)>,
    /// The node that is partitioned from all workers, in both directions.
    pub isolated_from_workers: Option<usize>,
    settings_text: String,
    /// The node whose calls to the state service are not carried out and time out.
    pub state_calls_hang_for: Option<usize>,
    /// Calls that get no answer: when they time out, the caller and its ticket.
    hanging_calls: Vec<(Micros, usize, Ticket)>,
    /// The node whose requests the state service answers with 503; its open watches stay unanswered.
    pub state_calls_refused_for: Option<usize>,
    /// The node whose watches of the jobs time out, as on a connection that was lost without a reset. With
    /// `false`, requests that do not wait for a change (`blockMs=0`) are still answered.
    pub watches_hang_for: Option<(usize, bool)>,
    /// Requests whose body contains this text are carried out at once, but their answers wait for
    /// `deliver_delayed_answers`.
    pub delay_answers_with: Option<&'static str>,
    pub delayed_answers: Vec<(usize, Ticket, Outcome)>,
    waiting_watches: Vec<WaitingWatch>,
    /// Open calls between controllers: by the called node and connection, the caller and its ticket.
    peer_calls: HashMap<(usize, ConnId), (usize, Ticket)>,
    /// Heartbeats without an answer: worker, its agent epoch and when it sent them.
    heartbeats_in_flight: HashMap<ConnId, (String, u64, Micros)>,
    last_connection: ConnId,
    next_heartbeat_at: Micros,
    last_incarnation: u64,
    /// Controllers need `processing_time` for each input and queue the inputs meanwhile.
    pub slow_controllers: bool,
    /// Heartbeats that one controller forwards to another time out; other calls are answered.
    pub slow_heartbeat_forwarding: bool,
    /// How often an answer told a worker to use another controller.
    pub redirects: usize,
    processors: Vec<SlowProcessor>,
    /// Users' requests that load shedding refused.
    pub shed_requests: usize,
    /// Cancellation hints between controllers arrive; otherwise all of them are lost.
    pub deliver_cancellation_hints: bool,
    /// The cloud offers machines of type `small` only.
    pub only_small_type: bool,
    /// The cloud offers type `big` in this zone only.
    pub big_type_only_in: Option<&'static str>,
    /// Frames between controllers that arrived.
    arrived_frames: Vec<ArrivedFrame>,
}

/// A controller on a slow processor: its queued inputs, its load and until when it is busy.
#[derive(Default)]
struct SlowProcessor {
    queue: InputQueue,
    load: LoadMonitor,
    busy_until: Micros,
}

/// How long a slow controller takes for an input.
fn processing_time(input: &Input) -> Micros {
    match input {
        Input::Request { .. } => 4_000,
        Input::PeerRequest { .. } => 2_000,
        Input::Outcome { .. } => 1_000,
    }
}

impl TestCluster {
    /// Starts this many controllers with the sample settings.
    pub fn new(nodes: usize) -> Self {
        Self::with_settings(nodes, SETTINGS)
    }

    /// Starts three controllers, one small machine with room for one task in each of these zones, and waits
    /// until a leader is elected.
    pub fn with_leader(zones: &[&'static str]) -> (Self, usize) {
        let mut cluster = Self::new(3);
        for (node, zone) in zones.iter().enumerate() {
            cluster.add_worker(&format!("m-{}", node + 1), "small", zone);
        }
        cluster.run(6.0);
        let leader = cluster.leader().expect("one node leads");
        (cluster, leader)
    }

    /// Starts this many controllers with settings from a template like `SETTINGS`.
    pub fn with_settings(nodes: usize, text: &str) -> Self {
        let mut cluster = TestCluster {
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
            arrived_frames: Vec::new(),
        };
        for node in 0..nodes {
            cluster.controllers.push(None);
            cluster.start_controller(node, nodes);
        }
        cluster
    }

    /// Starts one of `node_count` controllers, as a new incarnation.
    pub fn start_controller(&mut self, node: usize, node_count: usize) {
        self.last_incarnation += 1;
        let props = Properties {
            seed: 7,
            ..Properties::default()
        };
        self.controllers[node] = Some(Controller::new(
            settings_from(&self.settings_text, node + 1, node_count),
            props,
            self.last_incarnation,
        ));
    }

    /// Ends a controller without a shutdown.
    pub fn kill_controller(&mut self, node: usize) {
        self.controllers[node] = None;
        self.waiting_watches.retain(|watch| watch.node != node);
    }

    /// Stops or restarts the state service. Leases don't expire while it is down, and start their full TTL
    /// anew when it is back.
    pub fn set_state_service_down(&mut self, down: bool) {
        self.kv.down = down;
        let now = self.now.steady;
        for (id, expires_at) in &mut self.kv.leases {
            *expires_at = if down {
                Micros::MAX
            } else {
                now + self.kv.lease_ttls[id]
            };
        }
    }

    /// Closes the connections of a node's open watches; the node is told so.
    pub fn close_watch_connections(&mut self, node: usize) {
        let watches = std::mem::take(&mut self.waiting_watches);
        let (lost, kept) = watches.into_iter().partition(|watch| watch.node == node);
        self.waiting_watches = kept;
        let lost: Vec<WaitingWatch> = lost;
        for watch in lost {
            self.deliver_outcome(node, watch.ticket, Outcome::Lost);
        }
    }

    /// Adds a machine with a running worker and returns its index.
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
            refuses_calls: false,
            delayed_commands: None,
            started_attempts: Vec::new(),
            executed_calls: Vec::new(),
            refused_calls: 0,
        });
        n
    }

    /// The node that may act as leader.
    pub fn leader(&self) -> Option<usize> {
        self.controllers
            .iter()
            .position(|c| c.as_ref().is_some_and(Controller::is_leader))
    }

    fn next_connection(&mut self) -> ConnId {
        self.last_connection += 1;
        self.last_connection
    }

    /// Sends a user's request to a node and runs the cluster until the answer has come, for at most 3 s.
    pub fn request(&mut self, node: usize, method: &str, path: &str, body: Value) -> (u16, Value) {
        let conn = self.send_request(node, method, path, body);
        for _ in 0..600 {
            self.step(5_000);
            if let Some(answer) = self.answers.remove(&conn) {
                return answer;
            }
        }
        panic!("no answer to {method} {path}");
    }

    /// Sends several GET requests at the same moment and returns their answers.
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

    /// Sends GET requests every 10 ms without waiting for answers, and returns the answers in that order.
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

    /// Passes an input to a controller, or queues it if controllers are slow.
    pub fn deliver_input(&mut self, node: usize, input: Input) {
        if self.slow_controllers {
            self.processors[node].queue.push(input);
        } else if let Some(controller) = self.controllers[node].as_mut() {
            controller.handle(self.now, input);
        }
    }

    /// Lets a slow controller handle queued inputs until its processor is busy, as the program's event loop
    /// does. False if it is too busy for its timers too.
    fn process_queued_inputs(&mut self, node: usize) -> bool {
        let now = self.now.steady;
        let Some(controller) = self.controllers[node].as_mut() else {
            self.processors[node] = SlowProcessor::default();
            return false;
        };
        let processor = &mut self.processors[node];
        processor.queue.set_now(now);
        processor
            .load
            .record_wait(now, processor.queue.longest_wait());
        controller.update_load(processor.load);
        // An idle processor has only the time of the current step (20 ms), not what it left unused before.
        processor.busy_until = processor.busy_until.max(now.saturating_sub(20_000));
        let mut refused = Vec::new();
        while processor.busy_until <= now {
            let Some(input) = processor.queue.next(|_| true) else {
                break;
            };
            if let Input::Request { conn, path, .. } = &input
                && path != "/checkin"
                && processor.load.shed_level().refuses(path)
            {
                // The program refuses such a request right after reading it.
                processor.busy_until += processing_time(&input) / 10;
                refused.push(*conn);
                continue;
            }
            processor.busy_until += processing_time(&input);
            controller.handle(self.now, input);
        }
        self.shed_requests += refused.len();
        for conn in refused {
            self.answers.insert(conn, (503, Value::Null));
        }
        self.processors[node].busy_until <= now + 20_000
    }

    /// Sends a user's request without waiting. Its answer is put into `answers` under this connection.
    pub fn send_request(&mut self, node: usize, method: &str, path: &str, body: Value) -> ConnId {
        let body = if body.is_null() {
            Vec::new()
        } else {
            body.to_string().into_bytes()
        };
        self.send_request_bytes(node, method, path, body)
    }

    /// Like `send_request`, with a body that need not be JSON.
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

    /// Advances the clock by this many seconds, in steps of 20 ms.
    pub fn run(&mut self, secs: f64) {
        let end = self.now.steady + (secs * 1e6) as Micros;
        while self.now.steady < end {
            self.step(20_000);
        }
    }

    /// Advances the clock and lets everything that is due then happen.
    pub fn step(&mut self, dt: Micros) {
        self.now.steady += dt;
        self.now.wall += dt;
        if self.now.steady >= self.next_heartbeat_at {
            self.next_heartbeat_at = self.now.steady + SECOND;
            for worker in 0..self.workers.len() {
                self.send_heartbeat(worker);
            }
        }
        let now = self.now.steady;
        let (timed_out, open) = std::mem::take(&mut self.hanging_calls)
            .into_iter()
            .partition(|call: &(Micros, usize, Ticket)| call.0 <= now);
        self.hanging_calls = open;
        for (_, node, ticket) in timed_out {
            self.deliver_outcome(node, ticket, Outcome::Lost);
        }
        for _ in 0..6 {
            self.answer_waiting_watches();
            for node in 0..self.controllers.len() {
                if self.slow_controllers && !self.process_queued_inputs(node) {
                    continue;
                }
                let Some(controller) = self.controllers[node].as_mut() else {
                    continue;
                };
                for output in controller.tick(self.now) {
                    self.perform_output(node, output);
                }
            }
        }
    }

    /// Sends a worker's heartbeat to its controller, or to the next one if that can't be reached. A worker
    /// whose lease has expired first drops its tasks and begins a new agent epoch.
    pub fn send_heartbeat(&mut self, index: usize) {
        let now = self.now.steady;
        let worker = &mut self.workers[index];
        worker.expire_lease(now);
        if worker.partitioned || worker.outbound_partitioned {
            return;
        }
        let mut node = worker.controller;
        if self.controllers[node].is_none() || self.isolated_from_workers == Some(node) {
            node = (node + 1) % self.controllers.len();
            worker.controller = node;
        }
        let body = worker.heartbeat().to_string().into_bytes();
        let sender = (worker.id.clone(), worker.agent_epoch, now);
        let conn = self.next_connection();
        self.heartbeats_in_flight.insert(conn, sender);
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

    /// Suspends a machine: it sends no heartbeats, and commands sent to it wait.
    pub fn suspend_worker(&mut self, index: usize) {
        self.workers[index].partitioned = true;
        self.workers[index].delayed_commands = Some(Vec::new());
    }

    /// Resumes a machine: it notices whether its lease has expired, then executes the commands that waited.
    pub fn resume_worker(&mut self, index: usize) {
        self.send_heartbeat(index);
        let worker = &mut self.workers[index];
        worker.partitioned = false;
        for body in worker.delayed_commands.take().unwrap_or_default() {
            worker.handle_command_call(&body);
        }
    }

    /// Shuts a controller down in an orderly way: a leader resigns first.
    pub fn shut_down_controller(&mut self, node: usize) {
        if let Some(controller) = &mut self.controllers[node] {
            controller.shut_down(self.now);
        }
        self.step(1_000);
        self.kill_controller(node);
    }

    /// Repeats a user's request every 0.1 s while it is refused (503), at most 60 times.
    pub fn request_with_retries(
        &mut self,
        node: usize,
        method: &str,
        path: &str,
        body: &Value,
    ) -> (u16, Value) {
        for _ in 0..60 {
            if self.controllers[node].is_some() {
                let answer = self.request(node, method, path, body.clone());
                if answer.0 != 503 {
                    return answer;
                }
            }
            self.run(0.1);
        }
        panic!("only refusals of {method} {path}");
    }

    /// Cores that the tasks of these jobs hold now, at 4 cores a task.
    pub fn cores_in_use(&self, uids: &[&str]) -> f64 {
        let tasks = self.workers.iter().flat_map(|worker| &worker.tasks);
        let is_of_jobs = |task: &str| uids.iter().any(|uid| task.split('/').next() == Some(uid));
        tasks
            .filter(|task| task.2 != "ended" && is_of_jobs(&task.0))
            .count() as f64
            * 4.0
    }

    /// Delivers the answers that `delay_answers_with` has kept back.
    pub fn deliver_delayed_answers(&mut self) {
        for (node, ticket, outcome) in std::mem::take(&mut self.delayed_answers) {
            self.deliver_outcome(node, ticket, outcome);
        }
    }

    /// Answers open watches that have changes to report or whose time is over.
    fn answer_waiting_watches(&mut self) {
        for watch in std::mem::take(&mut self.waiting_watches) {
            if self.state_calls_refused_for == Some(watch.node) {
                self.waiting_watches.push(watch);
                continue;
            }
            match self
                .kv
                .handle_request(self.now.steady, "GET", &watch.path, &[])
            {
                Some(outcome) => self.deliver_outcome(watch.node, watch.ticket, outcome),
                None if self.now.steady >= watch.until => {
                    let revision = self.kv.revision;
                    self.deliver_outcome(
                        watch.node,
                        watch.ticket,
                        json_reply(200, json!({"epoch": revision, "events": []})),
                    );
                }
                None => self.waiting_watches.push(watch),
            }
        }
    }

    /// Carries out what a controller asks for: answers to clients, calls to services, workers and peers.
    fn perform_output(&mut self, node: usize, output: Output) {
        match output {
            Output::Respond {
                conn, status, body, ..
            } => {
                let value: Value = serde_json::from_slice(&body).unwrap();
                if let Some((id, agent_epoch, sent)) = self.heartbeats_in_flight.remove(&conn) {
                    // A worker waits 4 s for the answer and ignores a later one.
                    if self.now.steady > sent + 4 * SECOND {
                        return;
                    }
                    let Some(worker) = self.workers.iter_mut().find(|w| w.id == id) else {
                        return;
                    };
                    let fencing_token = value["baton"].as_u64().unwrap_or(0);
                    if worker.inbound_partitioned {
                        return;
                    }
                    if status == 200
                        && !worker.partitioned
                        && worker.agent_epoch == agent_epoch
                        && fencing_token >= worker.fencing_token
                    {
                        worker.fencing_token = fencing_token;
                        worker.lease_renewed_at = self.now.steady;
                        worker.execute_commands(&value["orders"]);
                    } else if status != 200 {
                        let leader = value["boss"].as_str().and_then(|b| b.strip_prefix("n-"));
                        let redirected_to = leader.and_then(|b| b.parse::<usize>().ok());
                        let redirected_to = redirected_to
                            .filter(|node| (1..=self.controllers.len()).contains(node));
                        self.redirects += usize::from(redirected_to.is_some());
                        let next = (worker.controller + 1) % self.controllers.len();
                        worker.controller = redirected_to.map_or(next, |node| node - 1);
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
                    if self.state_calls_hang_for == Some(node) {
                        let timeout_at = self.now.steady + timeout;
                        return self.hanging_calls.push((timeout_at, node, ticket));
                    }
                    let is_job_watch = path.starts_with("/watch?prefix=job/");
                    if is_job_watch
                        && let Some((hanging_node, also_without_waiting)) = self.watches_hang_for
                        && hanging_node == node
                        && (also_without_waiting || !path.ends_with("blockMs=0"))
                    {
                        let timeout_at = self.now.steady + timeout;
                        return self.hanging_calls.push((timeout_at, node, ticket));
                    }
                    if self.state_calls_refused_for == Some(node) {
                        return self.deliver_outcome(node, ticket, json_reply(503, json!({})));
                    }
                    let request_text = String::from_utf8_lossy(&body);
                    let is_delayed = self
                        .delay_answers_with
                        .is_some_and(|text| request_text.contains(text));
                    match self
                        .kv
                        .handle_request(self.now.steady, method, &path, &body)
                    {
                        Some(outcome) if is_delayed => {
                            self.delayed_answers.push((node, ticket, outcome))
                        }
                        Some(outcome) => self.deliver_outcome(node, ticket, outcome),
                        None => self.waiting_watches.push(WaitingWatch {
                            node,
                            ticket,
                            path,
                            until: self.now.steady + timeout - 3 * SECOND,
                        }),
                    }
                } else if dest.ip().to_string() == "10.2.0.2" {
                    let outcome = self.cloud_answer(&path, &body);
                    self.deliver_outcome(node, ticket, outcome);
                } else {
                    if self.workers.iter().any(|worker| {
                        worker.addr == dest && (worker.commands_hang || worker.inbound_partitioned)
                    }) {
                        let timeout_at = self.now.steady + timeout;
                        return self.hanging_calls.push((timeout_at, node, ticket));
                    }
                    let outcome = if self.isolated_from_workers == Some(node) {
                        Outcome::NotSent
                    } else {
                        self.send_commands_to_worker(dest, &body)
                    };
                    self.deliver_outcome(node, ticket, outcome);
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
                let called_node: usize = dest
                    .ip()
                    .to_string()
                    .rsplit('.')
                    .next()
                    .unwrap()
                    .parse::<usize>()
                    .unwrap()
                    - 1;
                if kind == KIND_CANCELLED && !self.deliver_cancellation_hints {
                    return self.deliver_outcome(node, ticket, Outcome::Lost);
                }
                if self.controllers[called_node].is_none()
                    || self.cut_links.contains(&(node, called_node))
                    || self.cut_links.contains(&(called_node, node))
                {
                    return self.deliver_outcome(node, ticket, Outcome::NotSent);
                }
                if self.slow_heartbeat_forwarding
                    && (kind == KIND_HEARTBEAT || kind == KIND_HEARTBEAT_BATCH)
                {
                    let timeout_at = self.now.steady + timeout;
                    return self.hanging_calls.push((timeout_at, node, ticket));
                }
                let frame = ArrivedFrame {
                    node: called_node,
                    ticket,
                    kind,
                    subject: subject.clone(),
                    body: body.clone(),
                };
                self.arrived_frames.push(frame);
                let conn = self.next_connection();
                self.peer_calls.insert((called_node, conn), (node, ticket));
                let input = Input::PeerRequest {
                    conn,
                    ticket,
                    kind,
                    timeout,
                    subject,
                    body,
                };
                self.deliver_input(called_node, input);
            }
            Output::PeerRespond { conn, outcome, .. } => {
                if let Some((from, ticket)) = self.peer_calls.remove(&(node, conn)) {
                    self.deliver_outcome(from, ticket, outcome);
                }
            }
        }
    }

    /// A controller's direct call to a worker.
    fn send_commands_to_worker(&mut self, dest: SocketAddr, body: &[u8]) -> Outcome {
        let Some(worker) = self.workers.iter_mut().find(|worker| worker.addr == dest) else {
            return Outcome::NotSent;
        };
        let body: Value = serde_json::from_slice(body).unwrap();
        if let Some(held) = &mut worker.delayed_commands {
            held.push(body);
            return Outcome::Lost;
        }
        if worker.partitioned || worker.refuses_calls {
            return Outcome::NotSent;
        }
        worker.handle_command_call(&body)
    }

    /// The cloud's answer to a call. It has no capacity for rentals.
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
            for machine in body["hosts"].as_array().unwrap() {
                let id = machine.as_str().unwrap().to_owned();
                self.workers.retain(|w| w.id != id);
                self.released_machines.push(id);
            }
            return json_reply(200, json!({}));
        }
        json_reply(503, json!({"error": "no capacity"}))
    }

    /// The kinds of the frames between controllers that have arrived.
    pub fn arrived_frame_kinds(&self) -> BTreeSet<u16> {
        self.arrived_frames.iter().map(|frame| frame.kind).collect()
    }

    /// Lets a copy of every frame between controllers arrive again at its node. Nobody gets the answers.
    pub fn repeat_frames(&mut self) {
        let frames = std::mem::take(&mut self.arrived_frames);
        for frame in frames.clone() {
            let ArrivedFrame {
                node,
                ticket,
                kind,
                subject,
                body,
            } = frame;
            let conn = self.next_connection();
            let copy = Input::PeerRequest {
                conn,
                ticket,
                kind,
                timeout: SECOND,
                subject,
                body,
            };
            self.deliver_input(node, copy);
        }
        self.arrived_frames.extend(frames);
    }

    /// The index of the worker on which the task runs.
    pub fn worker_running(&self, task: &str) -> usize {
        let position = self
            .workers
            .iter()
            .position(|worker| worker.is_running(task));
        position.expect("placed")
    }

    /// On how many machines the task runs now.
    pub fn running_copies(&self, task: &str) -> usize {
        self.workers
            .iter()
            .filter(|worker| worker.is_running(task))
            .count()
    }

    /// How often the task was started, on any machine.
    pub fn start_count(&self, task: &str) -> usize {
        self.workers
            .iter()
            .flat_map(|worker| &worker.started_attempts)
            .filter(|attempt| attempt.0 == task)
            .count()
    }

    /// Submits a job like `job_submission`, with the fields of `change` replaced.
    pub fn submit(&mut self, node: usize, uid: &str, change: Value) -> (u16, Value) {
        let mut job = job_submission(uid);
        for (field, value) in change.as_object().unwrap() {
            job[field] = value.clone();
        }
        self.request(node, "POST", "/work", job)
    }
}
