//! A controller process: runs the production controller and input queue in a simulated event loop.
//!
//! The loop follows the one of the program. Each process has drifting clocks, is charged processor time for
//! each input and output, and can exit, restart and freeze.

use crate::network::Host;
use crate::outcome::LeadershipChange;
use crate::scenario::Scenario;
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

/// Processor time of each kind of work, in microseconds of one whole core.
///
/// The proportions follow the time breakdown that leader and followers log in the operators' benchmark
/// (scenario `cscc-render-fleet`, day `calm`). The values are scaled so that the same scenario at full size takes
/// as much as there: 21.9 s of processor time over all seven processes.
mod cost {
    pub const LOOP_ITERATION: f64 = 9.5;
    pub const READ_INPUT: f64 = 7.5;
    pub const REQUEST: f64 = 25.0;
    pub const HEARTBEAT: f64 = 19.0;
    pub const PEER_FRAME: f64 = 12.5;
    pub const CALL_OUTCOME: f64 = 12.5;
    pub const BYTE: f64 = 0.005;
    pub const SEND_OUTPUT: f64 = 9.5;
    /// For each machine that the worker ledger or the scheduler examines.
    pub const MACHINE_EXAMINED: f64 = 0.3;
    /// From the start of a process to its first loop iteration.
    pub const PROCESS_START: f64 = 4_000.0;
}

/// Non-urgent inputs handled per loop iteration, most of them heartbeats; the same as in the program.
const NON_URGENT_INPUTS_PER_ITERATION: usize = 32;

/// One controller process, running or between two incarnations.
pub struct ControllerProcess {
    pub zone: usize,
    settings_text: String,
    properties: Properties,
    /// `None` while the process is down.
    pub controller: Option<Controller>,
    /// Goes up with each start and each exit of the process.
    pub incarnation: u64,
    /// Inputs that have arrived at the sockets and are not read yet.
    socket_inputs: Vec<Input>,
    queue: InputQueue,
    /// Requests whose callers have given up while their connections still look open to the controller.
    abandoned_calls: HashSet<u64>,
    load: LoadMonitor,
    busy_until: Micros,
    pub frozen_until: Micros,
    /// The process exits right after it has sent its next transaction.
    pub stops_after_transaction: bool,
    /// The next loop iteration pauses for this long between reading the clock and sending.
    pub pause_in_loop: Option<Micros>,
    next_loop_at: Option<Micros>,
    started_at: Micros,
    /// Local seconds per simulated second.
    clock_rate: f64,
    /// In microseconds.
    wall_clock_offset: f64,
    /// Requests in a row to each other controller that got no response.
    pub missed_peer_responses: Vec<u32>,
    /// Processor time in microseconds of one core.
    pub cpu_spent: f64,
    pub requests_shed: u64,
    leading: bool,
    /// The last term for which it loaded the leader state.
    last_led_term: u64,
}

/// Writes the settings file of one controller.
fn settings_text(n: usize, scenario: &Scenario) -> String {
    let f = &scenario.fleet;
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
    for t in &scenario.teams {
        let _ = write!(
            s,
            "[[settings.teams]]\nname = {:?}\ncpus = {:?}\ncpus_max = {:?}\n",
            t.name, t.cpus, t.cpus_max
        );
    }
    for a in &scenario.objectives {
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
    let (st, cl) = (&scenario.state, &scenario.cloud);
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
    pub fn new(n: usize, scenario: &Scenario, rng: &mut SmallRng) -> Self {
        Self {
            zone: n % scenario.fleet.zones.len(),
            settings_text: settings_text(n, scenario),
            properties: Properties::from_pairs(&scenario.properties).unwrap_or_default(),
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
            clock_rate: 1.0 + rng.random_range(0.0..=scenario.fleet.drift.max(0.0)),
            wall_clock_offset: rng.random_range(-1.0..=1.0) * scenario.fleet.clock_off_ms * 1_000.0,
            missed_peer_responses: vec![0; scenario.fleet.controllers],
            cpu_spent: 0.0,
            requests_shed: 0,
            leading: false,
            last_led_term: 0,
        }
    }

    pub fn is_running(&self) -> bool {
        self.controller.is_some()
    }

    /// Whether it led in its last loop iteration and has neither exited nor frozen since.
    pub fn is_leading(&self) -> bool {
        self.leading
    }

    /// Starts an orderly shutdown.
    pub fn shut_down(&mut self, now: Micros) {
        let local = self.local_clock(now);
        if let Some(controller) = &mut self.controller {
            controller.shut_down(local);
        }
    }

    /// Returns what its clocks show at a simulated time.
    fn local_clock(&self, now: Micros) -> Now {
        let elapsed = now.saturating_sub(self.started_at) as f64 * self.clock_rate;
        Now {
            steady: elapsed as Micros + SECOND,
            wall: (1_000_000.0 * SECOND as f64 + now as f64 + self.wall_clock_offset) as Micros,
        }
    }

    /// Returns the simulated time at which its monotonic clock shows `steady`.
    fn true_time(&self, steady: Micros) -> Micros {
        self.started_at + (steady.saturating_sub(SECOND) as f64 / self.clock_rate).ceil() as Micros
    }
}

impl World {
    pub fn start_controller(&mut self, n: usize) {
        let incarnation_id = self.rng.random::<u64>() >> 12;
        let now = self.now;
        let share = self.scenario.fleet.cpu_share;
        let c = &mut self.controllers[n];
        if c.controller.is_some() {
            return;
        }
        let Ok(settings) = Settings::parse(&c.settings_text) else {
            return;
        };
        let mut properties = c.properties.clone();
        if properties.seed == 0 {
            properties.seed = incarnation_id | 1;
        }
        c.incarnation += 1;
        c.started_at = now;
        c.controller = Some(Controller::new(settings, properties, incarnation_id));
        c.socket_inputs.clear();
        c.queue = InputQueue::default();
        c.load = LoadMonitor::default();
        c.abandoned_calls.clear();
        c.cpu_spent += cost::PROCESS_START;
        c.busy_until = now + elapsed_time(cost::PROCESS_START, share);
        (c.frozen_until, c.pause_in_loop) = (0, None);
        self.record_in_digest("start", n as u64, incarnation_id);
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
            self.leader_changes
                .push(LeadershipChange { at, node: n, leads });
            if leads {
                self.deliver_held_heartbeats();
            }
        }
    }

    /// Makes sure that the next loop iteration runs at this time or before, as soon as the process is free.
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
            // The caller has given up while the request was in transit. Half of the time the closed connection is
            // not noticed before the request is handled.
            self.controllers[n].abandoned_calls.insert(request.call);
        }
        let conn = request.call;
        let input = match request.peer_frame {
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
        self.queue_input(n, input);
    }

    /// Runs one iteration of the controller's loop: reads the inputs, handles them, ticks and schedules the
    /// outputs for when the processor time is over.
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
        let mut shed = Vec::new();
        c.queue.set_now(local.steady);
        for input in std::mem::take(&mut c.socket_inputs) {
            spent += cost::READ_INPUT;
            if let Input::Request { conn, path, .. } = &input
                && path != HEARTBEAT_PATH
                && path != HEALTH_PATH
                && c.load.shed_level().refuses(path)
            {
                shed.push(*conn);
                continue;
            }
            c.queue.push(input);
        }
        let (calls, abandoned) = (&self.calls, &c.abandoned_calls);
        let awaited = |input: &Input| match input {
            Input::Request { conn, .. } => calls.contains_key(conn) || abandoned.contains(conn),
            _ => true,
        };
        while let Some(input) = c.queue.next_urgent(awaited) {
            spent += input_cost(&input);
            controller.handle(local, input);
        }
        for _ in 0..NON_URGENT_INPUTS_PER_ITERATION {
            let Some(input) = c.queue.next(awaited) else {
                break;
            };
            spent += input_cost(&input);
            controller.handle(local, input);
        }
        c.load.record_wait(
            local.steady,
            c.queue.longest_wait().max(elapsed_time(spent, share)),
        );
        controller.update_load(c.load);
        let examined_before = controller.machines_examined();
        let mut outputs = controller.tick(local);
        let tick_time = (controller
            .machines_examined()
            .saturating_sub(examined_before)) as f64
            * cost::MACHINE_EXAMINED;
        controller.record_tick_duration(elapsed_time(tick_time, share));
        spent += tick_time + outputs.len() as f64 * cost::SEND_OUTPUT;
        let retry = c.load.retry_after(0);
        c.requests_shed += shed.len() as u64;
        for conn in shed {
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
        let loaded = controller
            .load_source()
            .filter(|b| b.term > c.last_led_term);
        c.last_led_term = loaded.map_or(c.last_led_term, |b| b.term);
        if c.queue.is_empty() {
            c.abandoned_calls.clear();
        }
        c.cpu_spent += spent;
        c.busy_until = now + elapsed_time(spent, share);
        if let Some(stop) = c.pause_in_loop.take() {
            // The process freezes after it has read its clock and before it sends.
            c.frozen_until = c.frozen_until.max(now + stop);
            c.busy_until = c.busy_until.max(c.frozen_until);
        }
        if let Some(loaded) = loaded {
            let checksum_matches = self
                .state_service
                .checksum_matches(loaded.revision, loaded.checksum);
            // The key is only written when a leader takes over.
            let takeover_revision = self.state_service.mod_revision("term").unwrap_or(0);
            self.checker.leader_loaded(
                now,
                loaded,
                checksum_matches,
                loaded.revision >= takeover_revision,
            );
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

    /// Sends the outputs of a loop iteration: drops them if the process has exited, delays them while it is frozen.
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
                let mut response = Response::new(status, body);
                response.retry_after = retry_after;
                self.respond(conn, response);
            }
            Output::PeerRespond { conn, outcome, .. } => {
                let response = match outcome {
                    Outcome::Reply { status, body } => Response::new(status, body),
                    other => Response {
                        peer_outcome: Some(other),
                        ..Response::new(0, Vec::new())
                    },
                };
                self.respond(conn, response);
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
                    // The exit comes before the response can arrive, or at about that moment.
                    let latest = micros(self.scenario.state.latency_ms / 500.0);
                    let delay = self.rng.random_range(0..=latest);
                    self.schedule_after(delay, Event::StopController(controller));
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
                subject,
                body,
                timeout,
            } => {
                let Some(to) = self.host_at(dest) else { return };
                let mut request = World::http_request("", "", body);
                request.peer_frame = Some((kind, timeout, subject, ticket));
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

    /// Returns the host that has this address.
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

/// Returns the time that work takes on a share of a core; a share of 0 means that work takes no time.
fn elapsed_time(spent: f64, share: f64) -> Micros {
    if share > 0.0 {
        (spent / share) as Micros
    } else {
        0
    }
}

/// Returns the processor time for handling an input, in microseconds of one core.
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
