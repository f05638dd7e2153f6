//! A scripted world on a fake clock: state service, cloud, workers and peers, all answered in
//! memory. Tests hold back, lose or delay what they want to.

mod given;
mod kv;
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

pub use given::{NEXT_LIMITS, SETTINGS, job, settings, settings_by, with_next_limits};
pub use kv::Kv;
pub use worker::Worker;

pub fn reply(status: u16, body: Value) -> Outcome {
    Outcome::Reply {
        status,
        body: body.to_string().into_bytes(),
    }
}

struct Parked {
    node: usize,
    ticket: Ticket,
    path: String,
    until: Micros,
}

pub struct World {
    pub now: Now,
    pub nodes: Vec<Option<Controller>>,
    pub kv: Kv,
    pub workers: Vec<Worker>,
    pub hosts: Vec<Value>,
    pub returned: Vec<String>,
    pub answers: HashMap<ConnId, (u16, Value)>,
    /// Pairs of nodes that can't talk.
    pub cut: Vec<(usize, usize)>,
    /// The node that can't reach workers, nor they it.
    pub deaf: Option<usize>,
    text: String,
    /// The node whose calls to the state service get no answer, and those that hang.
    pub mute: Option<usize>,
    hanging: Vec<(Micros, usize, Ticket)>,
    /// The node that the state service refuses; its open watches wait.
    pub refused: Option<usize>,
    /// The node whose watches that wait for a change are never answered, as on a connection that is gone
    /// without its having been told; `true`: nor those that do not wait.
    pub watch_lost: Option<(usize, bool)>,
    /// Transactions with this text are applied at once and answered by `deliver`.
    pub slow: Option<&'static str>,
    pub delayed: Vec<(usize, Ticket, Outcome)>,
    parked: Vec<Parked>,
    peer_calls: HashMap<(usize, ConnId), (usize, Ticket)>,
    checkins: HashMap<ConnId, (String, u64, Micros)>,
    next_conn: ConnId,
    next_report: Micros,
    runs: u64,
    /// Each input costs its node time, and waits until the node has it; see `work_off`.
    pub slow_nodes: bool,
    /// Reports that one controller passes to another get no answer in time; all else does.
    pub slow_reports: bool,
    /// How often a worker was named another controller.
    pub named: usize,
    desks: Vec<Slow>,
    /// Users' requests that a node refused without looking at them.
    pub shed: usize,
    /// Controllers tell the leader of cancellations that they confirm; else those frames are lost.
    pub hints: bool,
    /// The cloud offers the small type alone.
    pub small_types: bool,
    /// It offers the large type in that zone alone.
    pub large_only_in: Option<&'static str>,
}

/// A node with little processor: what waits for it, and until when it is busy.
#[derive(Default)]
struct Slow {
    lanes: InputQueue,
    load: LoadMonitor,
    busy_until: Micros,
}

/// What an input costs a slow node.
fn cost(input: &Input) -> Micros {
    match input {
        Input::Request { .. } => 4_000,
        Input::PeerRequest { .. } => 2_000,
        Input::Outcome { .. } => 1_000,
    }
}

impl World {
    pub fn new(nodes: usize) -> Self {
        Self::with(nodes, SETTINGS)
    }

    /// Three controllers of which one leads, and a small machine, with room for one task, in each of these zones.
    pub fn with_leader(zones: &[&'static str]) -> (Self, usize) {
        let mut w = Self::new(3);
        for (n, zone) in zones.iter().enumerate() {
            w.worker(&format!("m-{}", n + 1), "small", zone);
        }
        w.run(6.0);
        let leader = w.leader().expect("one node leads");
        (w, leader)
    }

    pub fn with(nodes: usize, text: &str) -> Self {
        let mut w = World {
            now: Now {
                steady: SECOND,
                wall: 1_000_000 * SECOND,
            },
            nodes: Vec::new(),
            kv: Kv::default(),
            workers: Vec::new(),
            hosts: Vec::new(),
            returned: Vec::new(),
            answers: HashMap::default(),
            cut: Vec::new(),
            deaf: None,
            text: text.to_owned(),
            mute: None,
            hanging: Vec::new(),
            refused: None,
            watch_lost: None,
            slow: None,
            delayed: Vec::new(),
            parked: Vec::new(),
            peer_calls: HashMap::default(),
            checkins: HashMap::default(),
            next_conn: 1,
            next_report: 0,
            runs: 0,
            slow_nodes: false,
            slow_reports: false,
            named: 0,
            desks: (0..nodes).map(|_| Slow::default()).collect(),
            shed: 0,
            hints: false,
            small_types: false,
            large_only_in: None,
        };
        for n in 0..nodes {
            w.nodes.push(None);
            w.start(n, nodes);
        }
        w
    }

    pub fn start(&mut self, n: usize, of: usize) {
        self.runs += 1;
        let props = Properties {
            seed: 7,
            ..Properties::default()
        };
        self.nodes[n] = Some(Controller::new(
            settings_by(&self.text, n + 1, of),
            props,
            self.runs,
        ));
    }

    pub fn kill(&mut self, n: usize) {
        self.nodes[n] = None;
        self.parked.retain(|p| p.node != n);
    }

    /// The state service is down for all, or up again, when all grants get their full time.
    pub fn outage(&mut self, down: bool) {
        self.kv.down = down;
        let now = self.now.steady;
        for (id, ends) in &mut self.kv.grants {
            *ends = if down {
                Micros::MAX
            } else {
                now + self.kv.ttl[id]
            };
        }
    }

    /// The connections on which a node's watches wait are gone, and the node knows it.
    pub fn lose_watches(&mut self, node: usize) {
        let parked = std::mem::take(&mut self.parked);
        let (lost, kept) = parked.into_iter().partition(|p| p.node == node);
        self.parked = kept;
        let lost: Vec<Parked> = lost;
        for p in lost {
            self.give(node, p.ticket, Outcome::Lost);
        }
    }

    pub fn worker(&mut self, id: &str, machine_type: &'static str, zone: &'static str) -> usize {
        let n = self.workers.len();
        self.workers.push(Worker {
            id: id.to_owned(),
            addr: format!("10.1.{}.{}:9000", n / 200, n % 200 + 1)
                .parse()
                .unwrap(),
            machine_type,
            zone,
            spot: false,
            stint: 1,
            tally: 0,
            baton: 0,
            parts: Vec::new(),
            node: 0,
            answered: self.now.steady,
            silent: false,
            mute: false,
            deaf: false,
            stalled: false,
            held: None,
            started: Vec::new(),
        });
        n
    }

    pub fn leader(&self) -> Option<usize> {
        self.nodes
            .iter()
            .position(|n| n.as_ref().is_some_and(Controller::is_leader))
    }

    fn conn(&mut self) -> ConnId {
        self.next_conn += 1;
        self.next_conn
    }

    /// Asks a node as a user would, and runs the world until it has answered.
    pub fn ask(&mut self, node: usize, method: &str, path: &str, body: Value) -> (u16, Value) {
        let conn = self.send(node, method, path, body);
        for _ in 0..600 {
            self.step(5_000);
            if let Some(a) = self.answers.remove(&conn) {
                return a;
            }
        }
        panic!("no answer to {method} {path}");
    }

    /// Several GETs in the same moment.
    pub fn fetch_all_pages(&mut self, node: usize, paths: &[&str]) -> Vec<(u16, Value)> {
        let sent = paths.iter().map(|p| self.send(node, "GET", p, Value::Null));
        let conns: Vec<ConnId> = sent.collect();
        self.run(1.0);
        conns
            .iter()
            .map(|c| self.answers.remove(c).expect("an answer"))
            .collect()
    }

    /// GETs one after the other, every 10 ms; the answers in that order.
    pub fn storm(&mut self, node: usize, paths: &[&str]) -> Vec<(u16, Value)> {
        let mut conns = Vec::new();
        for path in paths {
            conns.push(self.send(node, "GET", path, Value::Null));
            self.step(10_000);
        }
        self.run(1.5);
        conns
            .iter()
            .map(|c| self.answers.remove(c).expect("an answer"))
            .collect()
    }

    /// An input for a node, at once or after what waits before it.
    pub fn feed(&mut self, n: usize, input: Input) {
        if self.slow_nodes {
            self.desks[n].lanes.push(input);
        } else if let Some(node) = self.nodes[n].as_mut() {
            node.handle(self.now, input);
        }
    }

    /// A slow node takes what its time allows, as the program's loop does; false while it is busy.
    fn work_off(&mut self, n: usize) -> bool {
        let now = self.now.steady;
        let Some(node) = self.nodes[n].as_mut() else {
            self.desks[n] = Slow::default();
            return false;
        };
        let slow = &mut self.desks[n];
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
                slow.busy_until += cost(&input) / 10;
                refused.push(*conn);
                continue;
            }
            slow.busy_until += cost(&input);
            node.handle(self.now, input);
        }
        self.shed += refused.len();
        for conn in refused {
            self.answers.insert(conn, (503, Value::Null));
        }
        self.desks[n].busy_until <= now + 20_000
    }

    /// A request whose answer is looked for later in `answers`.
    pub fn send(&mut self, node: usize, method: &str, path: &str, body: Value) -> ConnId {
        let body = if body.is_null() {
            Vec::new()
        } else {
            body.to_string().into_bytes()
        };
        self.send_bytes(node, method, path, body)
    }

    /// The same with a body that need not be JSON.
    pub fn send_bytes(&mut self, node: usize, method: &str, path: &str, body: Vec<u8>) -> ConnId {
        let conn = self.conn();
        let input = Input::Request {
            conn,
            method: method.to_owned(),
            path: path.to_owned(),
            body,
        };
        self.feed(node, input);
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
        if self.now.steady >= self.next_report {
            self.next_report = self.now.steady + SECOND;
            for w in 0..self.workers.len() {
                self.checkin(w);
            }
        }
        let now = self.now.steady;
        let (over, kept) = std::mem::take(&mut self.hanging)
            .into_iter()
            .partition(|h: &(Micros, usize, Ticket)| h.0 <= now);
        self.hanging = kept;
        for (_, node, ticket) in over {
            self.give(node, ticket, Outcome::Lost);
        }
        for _ in 0..6 {
            self.serve_parked();
            for n in 0..self.nodes.len() {
                if self.slow_nodes && !self.work_off(n) {
                    continue;
                }
                let Some(node) = self.nodes[n].as_mut() else {
                    continue;
                };
                for output in node.tick(self.now) {
                    self.perform(n, output);
                }
            }
        }
    }

    pub fn checkin(&mut self, w: usize) {
        let lease = 30 * SECOND;
        let now = self.now.steady;
        let worker = &mut self.workers[w];
        if now > worker.answered + lease {
            worker.stint += 1;
            worker.parts.clear();
            worker.answered = now;
        }
        if worker.silent || worker.mute {
            return;
        }
        let mut node = worker.node;
        if self.nodes[node].is_none() || self.deaf == Some(node) {
            node = (node + 1) % self.nodes.len();
            worker.node = node;
        }
        let body = worker.report().to_string().into_bytes();
        let from = (worker.id.clone(), worker.stint, now);
        let conn = self.conn();
        self.checkins.insert(conn, from);
        let input = Input::Request {
            conn,
            method: "POST".into(),
            path: "/checkin".into(),
            body,
        };
        self.feed(node, input);
    }

    fn give(&mut self, node: usize, ticket: Ticket, outcome: Outcome) {
        self.feed(node, Input::Outcome { ticket, outcome });
    }

    /// The machine stands still: it reports nothing, and what is sent to it waits.
    pub fn hang(&mut self, w: usize) {
        self.workers[w].silent = true;
        self.workers[w].held = Some(Vec::new());
    }

    /// It goes on: its lease is over by now or not, and then it does what waited.
    pub fn wake(&mut self, w: usize) {
        self.checkin(w);
        let worker = &mut self.workers[w];
        worker.silent = false;
        for body in worker.held.take().unwrap_or_default() {
            worker.commands(&body);
        }
    }

    /// A controller is told to end: it lets the lead go, and ends.
    pub fn leave(&mut self, n: usize) {
        if let Some(node) = &mut self.nodes[n] {
            node.shut_down(self.now);
        }
        self.step(1_000);
        self.kill(n);
    }

    /// Asks again until the answer is not a refusal, at most so many times; a user would wait a second.
    pub fn insist(&mut self, node: usize, method: &str, path: &str, body: &Value) -> (u16, Value) {
        for _ in 0..60 {
            if self.nodes[node].is_some() {
                let told = self.ask(node, method, path, body.clone());
                if told.0 != 503 {
                    return told;
                }
            }
            self.run(0.1);
        }
        panic!("only refusals of {method} {path}");
    }

    /// Cores that the tasks of these jobs have on machines now.
    pub fn cores_of(&self, uids: &[&str]) -> f64 {
        let parts = self.workers.iter().flat_map(|w| &w.parts);
        let of = |name: &str| uids.iter().any(|u| name.split('/').next() == Some(u));
        parts.filter(|p| p.2 != "ended" && of(&p.0)).count() as f64 * 4.0
    }

    /// Gives the answers that were kept back.
    pub fn deliver(&mut self) {
        for (node, ticket, outcome) in std::mem::take(&mut self.delayed) {
            self.give(node, ticket, outcome);
        }
    }

    fn serve_parked(&mut self) {
        for p in std::mem::take(&mut self.parked) {
            if self.refused == Some(p.node) {
                self.parked.push(p);
                continue;
            }
            match self.kv.call(self.now.steady, "GET", &p.path, &[]) {
                Some(o) => self.give(p.node, p.ticket, o),
                None if self.now.steady >= p.until => {
                    let revision = self.kv.revision;
                    self.give(
                        p.node,
                        p.ticket,
                        reply(200, json!({"epoch": revision, "events": []})),
                    );
                }
                None => self.parked.push(p),
            }
        }
    }

    fn perform(&mut self, n: usize, output: Output) {
        match output {
            Output::Respond {
                conn, status, body, ..
            } => {
                let value: Value = serde_json::from_slice(&body).unwrap();
                if let Some((id, stint, sent)) = self.checkins.remove(&conn) {
                    // A worker waits 4 s, and drops what comes later.
                    if self.now.steady > sent + 4 * SECOND {
                        return;
                    }
                    let Some(worker) = self.workers.iter_mut().find(|w| w.id == id) else {
                        return;
                    };
                    let baton = value["baton"].as_u64().unwrap_or(0);
                    if worker.deaf {
                        return;
                    }
                    if status == 200
                        && !worker.silent
                        && worker.stint == stint
                        && baton >= worker.baton
                    {
                        worker.baton = baton;
                        worker.answered = self.now.steady;
                        worker.orders(&value["orders"]);
                    } else if status != 200 {
                        let boss = value["boss"].as_str().and_then(|b| b.strip_prefix("n-"));
                        let named = boss.and_then(|b| b.parse::<usize>().ok());
                        let named = named.filter(|n| (1..=self.nodes.len()).contains(n));
                        self.named += usize::from(named.is_some());
                        let next = (worker.node + 1) % self.nodes.len();
                        worker.node = named.map_or(next, |n| n - 1);
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
                    if self.mute == Some(n) {
                        let at = self.now.steady + timeout;
                        return self.hanging.push((at, n, ticket));
                    }
                    let watch = path.starts_with("/watch?prefix=job/");
                    if watch
                        && let Some((node, all)) = self.watch_lost
                        && node == n
                        && (all || !path.ends_with("blockMs=0"))
                    {
                        let at = self.now.steady + timeout;
                        return self.hanging.push((at, n, ticket));
                    }
                    if self.refused == Some(n) {
                        return self.give(n, ticket, reply(503, json!({})));
                    }
                    let text = String::from_utf8_lossy(&body);
                    let slow = self.slow.is_some_and(|t| text.contains(t));
                    match self.kv.call(self.now.steady, method, &path, &body) {
                        Some(o) if slow => self.delayed.push((n, ticket, o)),
                        Some(o) => self.give(n, ticket, o),
                        None => self.parked.push(Parked {
                            node: n,
                            ticket,
                            path,
                            until: self.now.steady + timeout - 3 * SECOND,
                        }),
                    }
                } else if dest.ip().to_string() == "10.2.0.2" {
                    let o = self.cloud(&path, &body);
                    self.give(n, ticket, o);
                } else {
                    if self
                        .workers
                        .iter()
                        .any(|w| w.addr == dest && (w.stalled || w.deaf))
                    {
                        let at = self.now.steady + timeout;
                        return self.hanging.push((at, n, ticket));
                    }
                    let o = if self.deaf == Some(n) {
                        Outcome::NotSent
                    } else {
                        self.command(dest, &body)
                    };
                    self.give(n, ticket, o);
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
                if kind == KIND_CANCELLED && !self.hints {
                    return self.give(n, ticket, Outcome::Lost);
                }
                if self.nodes[to].is_none()
                    || self.cut.contains(&(n, to))
                    || self.cut.contains(&(to, n))
                {
                    return self.give(n, ticket, Outcome::NotSent);
                }
                if self.slow_reports && (kind == KIND_HEARTBEAT || kind == KIND_HEARTBEAT_BATCH) {
                    let at = self.now.steady + timeout;
                    return self.hanging.push((at, n, ticket));
                }
                let conn = self.conn();
                self.peer_calls.insert((to, conn), (n, ticket));
                let input = Input::PeerRequest {
                    conn,
                    ticket,
                    kind,
                    timeout,
                    subject,
                    body,
                };
                self.feed(to, input);
            }
            Output::PeerRespond { conn, outcome, .. } => {
                if let Some((from, ticket)) = self.peer_calls.remove(&(n, conn)) {
                    self.give(from, ticket, outcome);
                }
            }
        }
    }

    fn command(&mut self, dest: SocketAddr, body: &[u8]) -> Outcome {
        let Some(w) = self.workers.iter_mut().find(|w| w.addr == dest) else {
            return Outcome::NotSent;
        };
        let body: Value = serde_json::from_slice(body).unwrap();
        if let Some(held) = &mut w.held {
            held.push(body);
            return Outcome::Lost;
        }
        if w.silent {
            return Outcome::NotSent;
        }
        w.commands(&body)
    }

    fn cloud(&mut self, path: &str, body: &[u8]) -> Outcome {
        if path == "/machine_types" && self.small_types {
            return reply(
                200,
                json!({"builds": [
                {"sku": "small", "cores": 4, "memGb": 16, "price": 0.2, "spotPrice": 0.1, "readyS": 30, "paddocks": ["a", "b"]}]}),
            );
        }
        if path == "/machine_types" {
            let large = self.large_only_in.map_or(vec!["a", "b"], |z| vec![z]);
            return reply(
                200,
                json!({"builds": [
                {"sku": "small", "cores": 4, "memGb": 16, "price": 0.2, "spotPrice": 0.1, "readyS": 30, "paddocks": ["a", "b"]},
                {"sku": "big", "cores": 16, "memGb": 64, "price": 1.0, "spotPrice": 0.4, "readyS": 30, "paddocks": large}]}),
            );
        }
        if path.starts_with("/hosts?") {
            return reply(200, json!({"hosts": self.hosts, "truncated": false}));
        }
        if path == "/hosts/return" {
            let body: Value = serde_json::from_slice(body).unwrap();
            for h in body["hosts"].as_array().unwrap() {
                let id = h.as_str().unwrap().to_owned();
                self.workers.retain(|w| w.id != id);
                self.returned.push(id);
            }
            return reply(200, json!({}));
        }
        reply(503, json!({"error": "no capacity"}))
    }

    /// The worker that has the task.
    pub fn holder(&self, part: &str) -> usize {
        let at = self.workers.iter().position(|w| w.has(part));
        at.expect("placed")
    }

    /// On how many machines the task is now.
    pub fn copies(&self, part: &str) -> usize {
        self.workers.iter().filter(|w| w.has(part)).count()
    }

    pub fn starts(&self, part: &str) -> usize {
        self.workers
            .iter()
            .flat_map(|w| &w.started)
            .filter(|s| s.0 == part)
            .count()
    }

    pub fn submit(&mut self, node: usize, uid: &str, change: Value) -> (u16, Value) {
        let mut job = job(uid);
        for (k, v) in change.as_object().unwrap() {
            job[k] = v.clone();
        }
        self.ask(node, "POST", "/work", job)
    }
}
