//! A controller process: the program's own node and lanes, a loop like the program's, clocks that
//! drift, processor time charged for each event, ends and stops.

use crate::network::Host;
use crate::outcome::LeadershipChange;
use crate::scenario::Scenario;
use crate::world::{Answer, Caller, Event, MILLI, Micros, Request, SECOND, World, micros};
use dewramp::clock::Now;
use dewramp::controller::Controller;
use dewramp::input_queue::InputQueue;
use dewramp::load_shedding::LoadMonitor;
use dewramp::messages::{Input, Outcome, Output};
use dewramp::seeded_hash::HashSet;
use dewramp::settings::{Properties, Settings};
use dewramp::wire::{HEALTH_PATH, HEARTBEAT_PATH};
use rand::Rng;
use rand::rngs::SmallRng;
use std::fmt::Write;
use std::net::SocketAddr;

/// What work takes of one whole core, in microseconds. The proportions are those of the lines that
/// the leader and the followers log on where their time goes on `cscc-render-fleet`, day calm, of the
/// operators' bench; the level is set so that the same day at full size takes what it took there, 21.9 s
/// of processor over all seven processes (simulated machines).
mod cost {
    pub const TURN: f64 = 9.5;
    pub const READ: f64 = 7.5;
    pub const REQUEST: f64 = 25.0;
    pub const REPORT: f64 = 19.0;
    pub const FRAME: f64 = 12.5;
    pub const OUTCOME: f64 = 12.5;
    pub const BYTE: f64 = 0.005;
    pub const SEND: f64 = 9.5;
    /// For each machine that the ledger or the scheduler looked at.
    pub const LOOKED: f64 = 0.3;
    /// Until a process that was started does anything.
    pub const START: f64 = 4_000.0;
}

/// So many reports are taken in a turn, as in the program.
const REPORTS_AT_ONCE: usize = 32;

pub struct ControllerProcess {
    pub zone: usize,
    settings: String,
    props: Properties,
    pub node: Option<Controller>,
    /// Counts the runs of the process.
    pub life: u64,
    /// What the sockets hold.
    arrivals: Vec<Input>,
    lanes: InputQueue,
    /// Requests whose callers have given up, but whose connections look alive.
    late: HashSet<u64>,
    load: LoadMonitor,
    busy_until: Micros,
    pub frozen_until: Micros,
    /// It ends when it has sent its next transaction.
    pub ends_asking: bool,
    /// The next turn stops that long between reading the clock and sending.
    pub stop_inside: Option<Micros>,
    look_at: Option<Micros>,
    started: Micros,
    rate: f64,
    wall_off: f64,
    pub misses: Vec<u32>,
    /// Of one core, in microseconds.
    pub spent: f64,
    pub refused: u64,
    led: bool,
    /// The last term that it was seen to lead.
    term: u64,
}

fn settings(n: usize, day: &Scenario) -> String {
    let f = &day.fleet;
    let zone = |n: usize| &f.zones[n % f.zones.len()];
    let mut s = format!(
        "label = \"node-{n}\"\ndomain = \"{}\"\nlisten = \"10.0.0.{}:8080\"\ncluster_listen = \"10.0.0.{}:8081\"\n",
        zone(n),
        n + 1,
        n + 1
    );
    for o in (0..f.controllers).filter(|o| *o != n) {
        let _ = write!(
            s,
            "[[others]]\nlabel = \"node-{o}\"\ndomain = \"{}\"\nendpoint = \"10.0.0.{}:8081\"\n",
            zone(o),
            o + 1
        );
    }
    let _ = write!(
        s,
        "[endpoints]\ncloud = \"10.2.0.2:8443\"\nstate = \"10.2.0.1:2379\"\n[settings]\nnodes = {}\nzones = {:?}\ntime_bound_ms = {:?}\n",
        f.controllers, f.zones, f.clock_off_ms
    );
    for t in &day.teams {
        let _ = write!(
            s,
            "[[settings.teams]]\nname = {:?}\ncpus = {:?}\ncpus_max = {:?}\n",
            t.name, t.cpus, t.cpus_max
        );
    }
    for a in &day.objectives {
        let _ = write!(
            s,
            "[[settings.objectives]]\nkind = \"{}\"\nshare = {:?}\nwithin_s = {:?}\ntimes = {:?}\n",
            format!("{:?}", a.kind).to_lowercase(),
            a.share,
            a.within_s,
            a.times
        );
        if let Some(c) = &a.class {
            let _ = writeln!(s, "class = {c:?}");
        }
    }
    let (st, cl) = (&day.state, &day.cloud);
    let _ = write!(
        s,
        "[settings.workers]\nreport_s = {:?}\nlease_s = {:?}\ncancel_s = {:?}\n[settings.state]\nrps = {:?}\nwrite_rps = {:?}\nvalue_kb = {:?}\ntxn_ops = {}\n[settings.cloud]\nrps = {:?}\nlist_lag_s = {:?}\n[settings.machine_limits]\nmax_connections = 3000\n",
        f.report_s,
        f.lease_s,
        f.cancel_s,
        st.rps,
        st.write_rps,
        st.value_kb,
        st.txn_ops,
        cl.rps,
        cl.list_lag_s
    );
    s
}

impl ControllerProcess {
    pub fn new(n: usize, day: &Scenario, rng: &mut SmallRng) -> Self {
        Self {
            zone: n % day.fleet.zones.len(),
            settings: settings(n, day),
            props: Properties::from_pairs(&day.properties).unwrap_or_default(),
            node: None,
            life: 0,
            arrivals: Vec::new(),
            lanes: InputQueue::default(),
            late: HashSet::default(),
            load: LoadMonitor::default(),
            busy_until: 0,
            frozen_until: 0,
            ends_asking: false,
            stop_inside: None,
            look_at: None,
            started: 0,
            rate: 1.0 + rng.random_range(0.0..=day.fleet.drift.max(0.0)),
            wall_off: rng.random_range(-1.0..=1.0) * day.fleet.clock_off_ms * 1_000.0,
            misses: vec![0; day.fleet.controllers],
            spent: 0.0,
            refused: 0,
            led: false,
            term: 0,
        }
    }

    pub fn up(&self) -> bool {
        self.node.is_some()
    }

    /// Whether it acted as leader in its last turn, and has not ended or stopped since.
    pub fn leads(&self) -> bool {
        self.led
    }

    /// It was told to end.
    pub fn leave(&mut self, now: Micros) {
        let local = self.clock(now);
        if let Some(node) = &mut self.node {
            node.shut_down(local);
        }
    }

    /// What its clocks say at a true time.
    fn clock(&self, now: Micros) -> Now {
        let run = now.saturating_sub(self.started) as f64 * self.rate;
        Now {
            steady: run as Micros + SECOND,
            wall: (1_000_000.0 * SECOND as f64 + now as f64 + self.wall_off) as Micros,
        }
    }

    /// The true time at which its steady clock says that.
    fn true_time(&self, steady: Micros) -> Micros {
        self.started + (steady.saturating_sub(SECOND) as f64 / self.rate).ceil() as Micros
    }
}

impl World {
    pub fn start_node(&mut self, n: usize) {
        let run = self.rng.random::<u64>() >> 12;
        let now = self.now;
        let share = self.day.fleet.cpu_share;
        let c = &mut self.controllers[n];
        if c.node.is_some() {
            return;
        }
        let Ok(settings) = Settings::parse(&c.settings) else {
            return;
        };
        let mut props = c.props.clone();
        if props.seed == 0 {
            props.seed = run | 1;
        }
        c.life += 1;
        c.started = now;
        c.node = Some(Controller::new(settings, props, run));
        c.arrivals.clear();
        c.lanes = InputQueue::default();
        c.load = LoadMonitor::default();
        c.late.clear();
        c.spent += cost::START;
        c.busy_until = now + scaled(cost::START, share);
        (c.frozen_until, c.stop_inside) = (0, None);
        self.note("start", n as u64, run);
        let at = self.controllers[n].busy_until;
        self.look(n, at);
    }

    pub fn end_node(&mut self, n: usize) {
        let c = &mut self.controllers[n];
        if c.node.take().is_none() {
            return;
        }
        c.life += 1;
        c.look_at = None;
        self.note("end", n as u64, 0);
        self.reset_calls(Host::Node(n));
        self.leads_changed(n, false);
        let restart = micros(self.day.fleet.restart_s);
        let spread = self.rng.random_range(0..=restart / 5);
        self.after(restart + spread, Event::Start(n));
    }

    pub fn leads_changed(&mut self, n: usize, leads: bool) {
        let c = &mut self.controllers[n];
        if c.led != leads {
            c.led = leads;
            let at = self.now;
            self.changes.push(LeadershipChange { at, node: n, leads });
            if leads {
                self.deliver_copies();
            }
        }
    }

    /// What was kept for a new leader arrives at every controller.
    fn deliver_copies(&mut self) {
        for copy in std::mem::take(&mut self.kept_copies) {
            for node in 0..self.controllers.len() {
                let mut copy = copy.clone();
                copy.to = Host::Node(node);
                let at = self.rng.random_range(0..2 * SECOND);
                self.after(at, Event::Copy(Box::new(copy)));
            }
        }
    }

    /// The loop turns at that time, or before.
    fn look(&mut self, n: usize, at: Micros) {
        let c = &mut self.controllers[n];
        let at = at.max(c.busy_until).max(c.frozen_until).max(self.now);
        if c.look_at.is_none_or(|l| at < l) {
            c.look_at = Some(at);
            self.at(at, Event::Look(n));
        }
    }

    pub fn feed(&mut self, n: usize, input: Input) {
        if self.controllers[n].node.is_some() {
            self.controllers[n].arrivals.push(input);
            self.look(n, self.now);
        }
    }

    pub fn ask_node(&mut self, n: usize, request: Request) {
        if !self.calls.contains_key(&request.call) && self.rng.random() {
            // Held back on its way: its end is not seen before it is taken, half of the time.
            self.controllers[n].late.insert(request.call);
        }
        let conn = request.call;
        let input = match request.frame {
            Some((kind, timeout, subject, ticket)) => Input::PeerRequest {
                conn,
                ticket,
                kind,
                timeout,
                subject,
                body: request.body,
            },
            None => Input::Request {
                conn,
                method: request.method,
                path: request.path,
                body: request.body,
            },
        };
        self.feed(n, input);
    }

    /// One turn of the program's loop.
    pub fn turn(&mut self, n: usize) {
        let now = self.now;
        let share = self.day.fleet.cpu_share;
        let c = &mut self.controllers[n];
        if c.look_at != Some(now) {
            return;
        }
        c.look_at = None;
        if now < c.frozen_until.max(c.busy_until) {
            return self.look(n, now);
        }
        let local = c.clock(now);
        let Some(node) = c.node.as_mut() else { return };
        crate::log_as(now, n);
        let mut spent = cost::TURN;
        let mut refused = Vec::new();
        c.lanes.set_now(local.steady);
        for input in std::mem::take(&mut c.arrivals) {
            spent += cost::READ;
            if let Input::Request { conn, path, .. } = &input
                && path != HEARTBEAT_PATH
                && path != HEALTH_PATH
                && c.load.shed_level().refuses(path)
            {
                refused.push(*conn);
                continue;
            }
            c.lanes.push(input);
        }
        let (calls, late) = (&self.calls, &c.late);
        let awaited = |input: &Input| match input {
            Input::Request { conn, .. } => calls.contains_key(conn) || late.contains(conn),
            _ => true,
        };
        while let Some(input) = c.lanes.next_urgent(awaited) {
            spent += input_cost(&input);
            node.handle(local, input);
        }
        for _ in 0..REPORTS_AT_ONCE {
            let Some(input) = c.lanes.next(awaited) else {
                break;
            };
            spent += input_cost(&input);
            node.handle(local, input);
        }
        c.load.record_wait(
            local.steady,
            c.lanes.longest_wait().max(scaled(spent, share)),
        );
        node.update_load(c.load);
        let effort = node.machines_examined();
        let mut outputs = node.tick(local);
        let own = (node.machines_examined().saturating_sub(effort)) as f64 * cost::LOOKED;
        node.record_tick_duration(scaled(own, share));
        spent += own + outputs.len() as f64 * cost::SEND;
        let retry = c.load.retry_after(0);
        c.refused += refused.len() as u64;
        for conn in refused {
            spent += cost::SEND;
            outputs.push(Output::Respond {
                conn,
                status: 503,
                body: b"{}".to_vec(),
                retry_after: Some(retry + (conn % u64::from(retry)) as u32),
            });
        }
        let fatal = node.fatal_error().is_some();
        let wake = node.wake_at();
        let leads = node.is_leader();
        let built = node.load_source().filter(|b| b.term > c.term);
        c.term = built.map_or(c.term, |b| b.term);
        if c.lanes.is_empty() {
            c.late.clear();
        }
        c.spent += spent;
        c.busy_until = now + scaled(spent, share);
        if let Some(stop) = c.stop_inside.take() {
            // It stands still after it has read its clock and before it sends.
            c.frozen_until = c.frozen_until.max(now + stop);
            c.busy_until = c.busy_until.max(c.frozen_until);
        }
        if let Some(built) = built {
            let adds_up = self.state.added_up(built.revision, built.checksum);
            // Stored by each take, and by nothing else.
            let take = self.state.stamp("term").unwrap_or(0);
            self.check
                .leader_loaded(now, built, adds_up, built.revision >= take);
        }
        let c = &self.controllers[n];
        let (sent, life) = (c.busy_until, c.life);
        let next = if c.lanes.is_empty() {
            c.true_time(wake).max(now + MILLI / 2)
        } else {
            sent
        };
        self.leads_changed(n, leads && now >= self.controllers[n].frozen_until);
        if !outputs.is_empty() {
            let node = n;
            self.at(
                sent,
                Event::Emit {
                    node,
                    life,
                    outputs,
                },
            );
        }
        if fatal {
            return self.end_node(n);
        }
        self.look(n, next);
    }

    /// What a turn decided leaves the process, if that still exists and runs.
    pub fn emit(&mut self, n: usize, life: u64, outputs: Vec<Output>) {
        let c = &self.controllers[n];
        if c.life != life {
            return;
        }
        if self.now < c.frozen_until {
            let at = c.frozen_until;
            let node = n;
            return self.at(
                at,
                Event::Emit {
                    node,
                    life,
                    outputs,
                },
            );
        }
        for output in outputs {
            self.perform(n, life, output);
        }
    }

    fn perform(&mut self, node: usize, life: u64, output: Output) {
        match output {
            Output::Respond {
                conn,
                status,
                body,
                retry_after,
            } => {
                let mut answer = Answer::new(status, body);
                answer.retry_after = retry_after;
                self.answer(conn, answer);
            }
            Output::PeerRespond { conn, outcome, .. } => {
                let answer = match outcome {
                    Outcome::Reply { status, body } => Answer::new(status, body),
                    other => Answer {
                        instead: Some(other),
                        ..Answer::new(0, Vec::new())
                    },
                };
                self.answer(conn, answer);
            }
            Output::Call {
                ticket,
                dest,
                method,
                path,
                body,
                timeout,
            } => {
                let Some(to) = self.host_at(dest) else { return };
                if path == "/txn" && std::mem::take(&mut self.controllers[node].ends_asking) {
                    // Before the answer can be there, or at about that moment.
                    let within = micros(self.day.state.latency_ms / 500.0);
                    let soon = self.rng.random_range(0..=within);
                    self.after(soon, Event::Ends(node));
                }
                let from = Caller::Node { node, life, ticket };
                self.send(from, to, timeout, World::http(method, path, body));
            }
            Output::PeerCall {
                ticket,
                dest,
                kind,
                subject,
                body,
                timeout,
            } => {
                let Some(to) = self.host_at(dest) else { return };
                let mut request = World::http("", "", body);
                request.frame = Some((kind, timeout, subject, ticket));
                self.send(Caller::Peer { node, life, ticket }, to, timeout, request);
            }
        }
    }

    fn host_at(&self, addr: SocketAddr) -> Option<Host> {
        let SocketAddr::V4(addr) = addr else {
            return None;
        };
        Some(match addr.ip().octets() {
            [10, 0, 0, n] => Host::Node(usize::from(n) - 1),
            [10, 2, 0, 1] => Host::State,
            [10, 2, 0, 2] => Host::Cloud,
            [10, 1, a, b] => Host::Machine(usize::from(a) * 200 + usize::from(b) - 1),
            _ => return None,
        })
    }
}

fn scaled(spent: f64, share: f64) -> Micros {
    if share > 0.0 {
        (spent / share) as Micros
    } else {
        0
    }
}

fn input_cost(input: &Input) -> f64 {
    let (base, bytes) = match input {
        Input::Request { path, body, .. } if path == HEARTBEAT_PATH => (cost::REPORT, body.len()),
        Input::Request { body, .. } => (cost::REQUEST, body.len()),
        Input::PeerRequest { body, .. } => (cost::FRAME, body.len()),
        Input::Outcome {
            outcome: Outcome::Reply { body, .. },
            ..
        } => (cost::OUTCOME, body.len()),
        Input::Outcome { .. } => (cost::OUTCOME, 0),
    };
    base + bytes as f64 * cost::BYTE
}
