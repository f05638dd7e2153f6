//! A controller process: the program's own node and lanes, a loop like the program's, clocks that
//! drift, processor time charged for each event, ends and stops.

use crate::day::Day;
use crate::network::Host;
use crate::outcome::Change;
use crate::world::{Caller, Event, MILLISECOND, Micros, Request, Response, SECOND, World, micros};
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
    pub const LOOP_ITERATION: f64 = 9.5;
    pub const READ_INPUT: f64 = 7.5;
    pub const REQUEST: f64 = 25.0;
    pub const HEARTBEAT: f64 = 19.0;
    pub const PEER_FRAME: f64 = 12.5;
    pub const CALL_OUTCOME: f64 = 12.5;
    pub const BYTE: f64 = 0.005;
    pub const SEND_OUTPUT: f64 = 9.5;
    /// For each machine that the ledger or the scheduler looked at.
    pub const MACHINE_EXAMINED: f64 = 0.3;
    /// Until a process that was started does anything.
    pub const PROCESS_START: f64 = 4_000.0;
}

/// So many reports are taken in a turn, as in the program.
const HEARTBEATS_PER_ITERATION: usize = 32;

pub struct ControllerProcess {
    pub zone: usize,
    settings_text: String,
    properties: Properties,
    pub controller: Option<Controller>,
    /// Counts the runs of the process.
    pub incarnation: u64,
    /// What the sockets hold.
    socket_inputs: Vec<Input>,
    queue: InputQueue,
    /// Requests whose callers have given up, but whose connections look alive.
    abandoned_calls: HashSet<u64>,
    load: LoadMonitor,
    busy_until: Micros,
    pub frozen_until: Micros,
    /// It ends when it has sent its next transaction.
    pub stops_after_transaction: bool,
    /// The next turn stops that long between reading the clock and sending.
    pub pause_in_loop: Option<Micros>,
    next_loop_at: Option<Micros>,
    started_at: Micros,
    clock_rate: f64,
    wall_clock_offset: f64,
    pub missed_peer_responses: Vec<u32>,
    /// Of one core, in microseconds.
    pub cpu_spent: f64,
    pub requests_shed: u64,
    leading: bool,
    /// The last term that it was seen to lead.
    last_led_term: u64,
}

fn settings_text(n: usize, day: &Day) -> String {
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
    for a in &day.aims {
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
    pub fn new(n: usize, day: &Day, rng: &mut SmallRng) -> Self {
        Self {
            zone: n % day.fleet.zones.len(),
            settings_text: settings_text(n, day),
            properties: Properties::from_pairs(&day.properties).unwrap_or_default(),
            controller: None,
            incarnation: 0,
            socket_inputs: Vec::new(),
            queue: InputQueue::default(),
            abandoned_calls: HashSet::default(),
            load: LoadMonitor::default(),
            busy_until: 0,
            frozen_until: 0,
            stops_after_transaction: false,
            pause_in_loop: None,
            next_loop_at: None,
            started_at: 0,
            clock_rate: 1.0 + rng.random_range(0.0..=day.fleet.drift.max(0.0)),
            wall_clock_offset: rng.random_range(-1.0..=1.0) * day.fleet.clock_off_ms * 1_000.0,
            missed_peer_responses: vec![0; day.fleet.controllers],
            cpu_spent: 0.0,
            requests_shed: 0,
            leading: false,
            last_led_term: 0,
        }
    }

    pub fn is_running(&self) -> bool {
        self.controller.is_some()
    }

    /// Whether it acted as leader in its last turn, and has not ended or stopped since.
    pub fn is_leading(&self) -> bool {
        self.leading
    }

    /// It was told to end.
    pub fn shut_down(&mut self, now: Micros) {
        let local = self.local_clock(now);
        if let Some(controller) = &mut self.controller {
            controller.shut_down(local);
        }
    }

    /// What its clocks say at a true time.
    fn local_clock(&self, now: Micros) -> Now {
        let run = now.saturating_sub(self.started_at) as f64 * self.clock_rate;
        Now {
            steady: run as Micros + SECOND,
            wall: (1_000_000.0 * SECOND as f64 + now as f64 + self.wall_clock_offset) as Micros,
        }
    }

    /// The true time at which its steady clock says that.
    fn true_time(&self, steady: Micros) -> Micros {
        self.started_at + (steady.saturating_sub(SECOND) as f64 / self.clock_rate).ceil() as Micros
    }
}

impl World {
    pub fn start_controller(&mut self, n: usize) {
        let run = self.rng.random::<u64>() >> 12;
        let now = self.now;
        let share = self.scenario.fleet.cpu_share;
        let c = &mut self.controllers[n];
        if c.controller.is_some() {
            return;
        }
        let Ok(settings) = Settings::parse(&c.settings_text) else {
            return;
        };
        let mut props = c.properties.clone();
        if props.seed == 0 {
            props.seed = run | 1;
        }
        c.incarnation += 1;
        c.started_at = now;
        c.controller = Some(Controller::new(settings, props, run));
        c.socket_inputs.clear();
        c.queue = InputQueue::default();
        c.load = LoadMonitor::default();
        c.abandoned_calls.clear();
        c.cpu_spent += cost::PROCESS_START;
        c.busy_until = now + wall_time(cost::PROCESS_START, share);
        (c.frozen_until, c.pause_in_loop) = (0, None);
        self.record_in_digest("start", n as u64, run);
        let at = self.controllers[n].busy_until;
        self.schedule_loop(n, at);
    }

    pub fn stop_controller(&mut self, n: usize) {
        let c = &mut self.controllers[n];
        if c.controller.take().is_none() {
            return;
        }
        c.incarnation += 1;
        c.next_loop_at = None;
        self.record_in_digest("end", n as u64, 0);
        self.reset_calls(Host::Controller(n));
        self.set_leading(n, false);
        let restart = micros(self.scenario.fleet.restart_s);
        let spread = self.rng.random_range(0..=restart / 5);
        self.schedule_after(restart + spread, Event::StartController(n));
    }

    pub fn set_leading(&mut self, n: usize, leads: bool) {
        let c = &mut self.controllers[n];
        if c.leading != leads {
            c.leading = leads;
            let at = self.now;
            self.leader_changes.push(Change { at, node: n, leads });
            if leads {
                self.deliver_held_duplicates();
            }
        }
    }

    /// What was kept for a new leader arrives at every controller.
    fn deliver_held_duplicates(&mut self) {
        for copy in std::mem::take(&mut self.held_duplicates) {
            for controller in 0..self.controllers.len() {
                let mut copy = copy.clone();
                copy.to = Host::Controller(controller);
                let at = self.rng.random_range(0..2 * SECOND);
                self.schedule_after(at, Event::DuplicateArrives(Box::new(copy)));
            }
        }
    }

    /// The loop turns at that time, or before.
    fn schedule_loop(&mut self, n: usize, at: Micros) {
        let c = &mut self.controllers[n];
        let at = at.max(c.busy_until).max(c.frozen_until).max(self.now);
        if c.next_loop_at.is_none_or(|l| at < l) {
            c.next_loop_at = Some(at);
            self.schedule_at(at, Event::ControllerLoop(n));
        }
    }

    pub fn queue_input(&mut self, n: usize, input: Input) {
        if self.controllers[n].controller.is_some() {
            self.controllers[n].socket_inputs.push(input);
            self.schedule_loop(n, self.now);
        }
    }

    pub fn queue_request(&mut self, n: usize, request: Request) {
        if !self.calls.contains_key(&request.call) && self.rng.random() {
            // Held back on its way: its end is not seen before it is taken, half of the time.
            self.controllers[n].abandoned_calls.insert(request.call);
        }
        let conn = request.call;
        let input = match request.peer_frame {
            Some((kind, patience, addr, ticket)) => Input::PeerRequest {
                conn,
                ticket,
                kind,
                patience,
                addr,
                body: request.body,
            },
            None => Input::Request {
                conn,
                method: request.method,
                path: request.path,
                body: request.body,
            },
        };
        self.queue_input(n, input);
    }

    /// One turn of the program's loop.
    pub fn run_loop(&mut self, n: usize) {
        let now = self.now;
        let share = self.scenario.fleet.cpu_share;
        let c = &mut self.controllers[n];
        if c.next_loop_at != Some(now) {
            return;
        }
        c.next_loop_at = None;
        if now < c.frozen_until.max(c.busy_until) {
            return self.schedule_loop(n, now);
        }
        let local = c.local_clock(now);
        let Some(controller) = c.controller.as_mut() else {
            return;
        };
        crate::set_log_context(now, n);
        let mut spent = cost::LOOP_ITERATION;
        let mut refused = Vec::new();
        c.queue.set_now(local.steady);
        for input in std::mem::take(&mut c.socket_inputs) {
            spent += cost::READ_INPUT;
            if let Input::Request { conn, path, .. } = &input
                && path != HEARTBEAT_PATH
                && path != HEALTH_PATH
                && c.load.shed_level().refuses(path)
            {
                refused.push(*conn);
                continue;
            }
            c.queue.push(input);
        }
        let (calls, late) = (&self.calls, &c.abandoned_calls);
        let awaited = |input: &Input| match input {
            Input::Request { conn, .. } => calls.contains_key(conn) || late.contains(conn),
            _ => true,
        };
        while let Some(input) = c.queue.next_urgent(awaited) {
            spent += input_cost(&input);
            controller.handle(local, input);
        }
        for _ in 0..HEARTBEATS_PER_ITERATION {
            let Some(input) = c.queue.next(awaited) else {
                break;
            };
            spent += input_cost(&input);
            controller.handle(local, input);
        }
        c.load.note_wait(
            local.steady,
            c.queue.longest_wait().max(wall_time(spent, share)),
        );
        controller.update_load(c.load);
        let effort = controller.machines_examined();
        let mut outputs = controller.tick(local);
        let own =
            (controller.machines_examined().saturating_sub(effort)) as f64 * cost::MACHINE_EXAMINED;
        controller.record_tick_duration(wall_time(own, share));
        spent += own + outputs.len() as f64 * cost::SEND_OUTPUT;
        let retry = c.load.retry_after(0);
        c.requests_shed += refused.len() as u64;
        for conn in refused {
            spent += cost::SEND_OUTPUT;
            outputs.push(Output::Respond {
                conn,
                status: 503,
                body: b"{}".to_vec(),
                retry_after: Some(retry + (conn % u64::from(retry)) as u32),
            });
        }
        let fatal = controller.fatal_error().is_some();
        let wake = controller.wake_at();
        let leads = controller.is_leader();
        let built = controller
            .load_source()
            .filter(|b| b.term > c.last_led_term);
        c.last_led_term = built.map_or(c.last_led_term, |b| b.term);
        if c.queue.is_empty() {
            c.abandoned_calls.clear();
        }
        c.cpu_spent += spent;
        c.busy_until = now + wall_time(spent, share);
        if let Some(stop) = c.pause_in_loop.take() {
            // It stands still after it has read its clock and before it sends.
            c.frozen_until = c.frozen_until.max(now + stop);
            c.busy_until = c.busy_until.max(c.frozen_until);
        }
        if let Some(built) = built {
            let adds_up = self
                .state_service
                .checksum_matches(built.revision, built.checksum);
            // Stored by each take, and by nothing else.
            let take = self.state_service.mod_revision("term").unwrap_or(0);
            self.checker
                .built(now, built, adds_up, built.revision >= take);
        }
        let c = &self.controllers[n];
        let (sent, incarnation) = (c.busy_until, c.incarnation);
        let next = if c.queue.is_empty() {
            c.true_time(wake).max(now + MILLISECOND / 2)
        } else {
            sent
        };
        self.set_leading(n, leads && now >= self.controllers[n].frozen_until);
        if !outputs.is_empty() {
            let controller = n;
            self.schedule_at(
                sent,
                Event::SendOutputs {
                    controller,
                    incarnation,
                    outputs,
                },
            );
        }
        if fatal {
            return self.stop_controller(n);
        }
        self.schedule_loop(n, next);
    }

    /// What a turn decided leaves the process, if that still exists and runs.
    pub fn send_outputs(&mut self, n: usize, incarnation: u64, outputs: Vec<Output>) {
        let c = &self.controllers[n];
        if c.incarnation != incarnation {
            return;
        }
        if self.now < c.frozen_until {
            let at = c.frozen_until;
            let controller = n;
            return self.schedule_at(
                at,
                Event::SendOutputs {
                    controller,
                    incarnation,
                    outputs,
                },
            );
        }
        for output in outputs {
            self.perform(n, incarnation, output);
        }
    }

    fn perform(&mut self, controller: usize, incarnation: u64, output: Output) {
        match output {
            Output::Respond {
                conn,
                status,
                body,
                retry_after,
            } => {
                let mut answer = Response::new(status, body);
                answer.retry_after = retry_after;
                self.respond(conn, answer);
            }
            Output::PeerRespond { conn, outcome, .. } => {
                let answer = match outcome {
                    Outcome::Reply { status, body } => Response::new(status, body),
                    other => Response {
                        peer_outcome: Some(other),
                        ..Response::new(0, Vec::new())
                    },
                };
                self.respond(conn, answer);
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
                if path == "/txn"
                    && std::mem::take(&mut self.controllers[controller].stops_after_transaction)
                {
                    // Before the answer can be there, or at about that moment.
                    let within = micros(self.scenario.state.latency_ms / 500.0);
                    let soon = self.rng.random_range(0..=within);
                    self.schedule_after(soon, Event::StopController(controller));
                }
                let from = Caller::Controller {
                    controller,
                    incarnation,
                    ticket,
                };
                self.send(from, to, timeout, World::http_request(method, path, body));
            }
            Output::PeerCall {
                ticket,
                dest,
                kind,
                addr,
                body,
                timeout,
            } => {
                let Some(to) = self.host_at(dest) else { return };
                let mut request = World::http_request("", "", body);
                request.peer_frame = Some((kind, timeout, addr, ticket));
                self.send(
                    Caller::Peer {
                        controller,
                        incarnation,
                        ticket,
                    },
                    to,
                    timeout,
                    request,
                );
            }
        }
    }

    fn host_at(&self, addr: SocketAddr) -> Option<Host> {
        let SocketAddr::V4(addr) = addr else {
            return None;
        };
        Some(match addr.ip().octets() {
            [10, 0, 0, n] => Host::Controller(usize::from(n) - 1),
            [10, 2, 0, 1] => Host::State,
            [10, 2, 0, 2] => Host::Cloud,
            [10, 1, a, b] => Host::Machine(usize::from(a) * 200 + usize::from(b) - 1),
            _ => return None,
        })
    }
}

fn wall_time(spent: f64, share: f64) -> Micros {
    if share > 0.0 {
        (spent / share) as Micros
    } else {
        0
    }
}

fn input_cost(input: &Input) -> f64 {
    let (base, bytes) = match input {
        Input::Request { path, body, .. } if path == HEARTBEAT_PATH => {
            (cost::HEARTBEAT, body.len())
        }
        Input::Request { body, .. } => (cost::REQUEST, body.len()),
        Input::PeerRequest { body, .. } => (cost::PEER_FRAME, body.len()),
        Input::Outcome {
            outcome: Outcome::Reply { body, .. },
            ..
        } => (cost::CALL_OUTCOME, body.len()),
        Input::Outcome { .. } => (cost::CALL_OUTCOME, 0),
    };
    base + bytes as f64 * cost::BYTE
}
