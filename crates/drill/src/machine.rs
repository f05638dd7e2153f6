//! A machine and its worker as published: reports, sessions, leases, tokens, tally, images, saving,
//! direct commands, hanging. Owns what is on the machine; asks nobody what ought to be there.

use crate::network::Host;
use crate::scenario::{FaultKind, Scenario};
use crate::world::{Answer, Caller, Event, MILLI, Micros, Request, SECOND, World, micros};
use rand::Rng;
use rand::rngs::SmallRng;
use serde::Deserialize;
use std::fmt::Write;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Booting,
    Up,
    /// Stopped by itself, with all that was on it.
    Dead,
    /// Returned or taken.
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    Fetching,
    Running,
    Saving,
    Ended,
}

pub struct Task {
    pub job: usize,
    pub part: u32,
    pub attempt: u64,
    pub status: Status,
    pub cause: &'static str,
    pub saved: bool,
    /// When its status changes by itself, and which change that is.
    pub due: Micros,
    pub turn: u64,
    pub run_since: Micros,
    pub cores: f64,
    pub memory_gb: f64,
}

impl Task {
    /// Whether it takes room.
    pub fn holds(&self) -> bool {
        self.status != Status::Ended
    }

    /// Whether it is on the machine, by the rules: it has its image and has not ended.
    pub fn is_on(&self) -> bool {
        matches!(self.status, Status::Running | Status::Saving)
    }
}

pub struct Image {
    pub name: String,
    pub gb: f64,
    pub ready: Micros,
    pub used: Micros,
}

pub struct Machine {
    pub name: String,
    pub addr: String,
    pub kind: usize,
    pub pool: usize,
    pub zone: usize,
    pub phase: Phase,
    pub created: Micros,
    pub up_at: Option<Micros>,
    pub ended: Micros,
    pub gone_at: Option<Micros>,
    pub listed: bool,
    /// When its notice begins, and when it is taken.
    pub taken_at: Option<(Micros, Micros)>,
    pub tasks: Vec<Task>,
    pub inbox: Vec<Request>,
    pub hung_until: Micros,
    /// Until when nothing reaches it.
    pub deaf_until: Micros,
    /// Until when its reports reach nobody.
    pub mute_until: Micros,
    pub sick_until: Micros,
    pub slow: (f64, Micros),
    pub images: Vec<Image>,
    stint: u64,
    tally: u64,
    baton: u64,
    node: usize,
    reporting: bool,
    last_sent: Micros,
    report_at: Micros,
    /// From when its lease counts.
    lease_from: Micros,
    token_told: Micros,
    pub turns: u64,
    pub speed: f64,
    rate: f64,
}

#[derive(Deserialize)]
struct Told {
    baton: u64,
    #[serde(default)]
    stint: Option<u64>,
    #[serde(default)]
    orders: Vec<Order>,
}

#[derive(Deserialize)]
struct Order {
    verb: String,
    part: String,
    r#try: u64,
    #[serde(rename = "windDownS", default)]
    wind_down_s: f64,
}

#[derive(Deserialize)]
struct Misdirected {
    #[serde(default)]
    boss: Option<String>,
}

/// So many copies are kept for the next leader, the first of them.
const COPIES_KEPT: usize = 400;

/// Job, task and attempt.
pub type Key = (usize, u32, u64);

impl Machine {
    pub fn new(m: usize, pool: usize, day: &Scenario, now: Micros, rng: &mut SmallRng) -> Self {
        let p = &day.pools[pool];
        let zone = day.fleet.zones.iter().position(|z| *z == p.zone);
        let kind = day.types.iter().position(|t| t.name == p.r#type);
        Self {
            name: format!("m-{m:06}"),
            addr: format!("10.1.{}.{}:9000", m / 200, m % 200 + 1),
            kind: kind.unwrap_or(0),
            pool,
            zone: zone.unwrap_or(0),
            phase: Phase::Booting,
            created: now,
            up_at: None,
            ended: now,
            gone_at: None,
            listed: false,
            taken_at: None,
            tasks: Vec::new(),
            inbox: Vec::new(),
            hung_until: 0,
            deaf_until: 0,
            mute_until: 0,
            sick_until: 0,
            slow: (1.0, 0),
            images: Vec::new(),
            stint: 1,
            tally: 0,
            baton: 0,
            node: rng.random_range(0..day.fleet.controllers),
            reporting: false,
            last_sent: 0,
            report_at: 0,
            lease_from: now,
            token_told: 0,
            turns: 0,
            speed: rng.random_range(0.95..1.05),
            rate: 1.0 + rng.random_range(0.0..=day.fleet.drift.max(0.0)),
        }
    }

    /// Whether a connection to it comes about; None: it is silent.
    pub fn reachable(&self) -> Option<bool> {
        (self.phase == Phase::Up).then_some(true)
    }

    /// When the last report that was answered left.
    pub fn lease_from(&self) -> Micros {
        self.lease_from
    }

    pub fn find(&self, key: Key) -> Option<usize> {
        let same = |t: &Task| (t.job, t.part, t.attempt) == key;
        self.tasks.iter().position(same)
    }
}

impl World {
    pub fn machine_up(&mut self, m: usize) {
        if self.machines[m].phase != Phase::Booting {
            return;
        }
        let now = self.now;
        let machine = &mut self.machines[m];
        machine.phase = Phase::Up;
        machine.up_at = Some(now);
        machine.lease_from = now;
        self.note("up", m as u64, 0);
        self.report_by(m, now);
        self.watch_lease(m);
    }

    fn watch_lease(&mut self, m: usize) {
        let machine = &self.machines[m];
        let lease = self.day.fleet.lease_s * 1e6 / machine.rate;
        let at = machine.lease_from + lease as Micros + 1;
        self.at(at, Event::Lease(m));
    }

    /// A worker whose reports were not answered for a lease ends all it has.
    pub fn lease_due(&mut self, m: usize) {
        let machine = &self.machines[m];
        if machine.phase != Phase::Up {
            return;
        }
        let lease = (self.day.fleet.lease_s * 1e6 / machine.rate) as Micros;
        if self.now <= machine.lease_from + lease {
            return self.watch_lease(m);
        }
        let killed = machine.tasks.iter().filter(|t| t.holds()).count() as u64;
        self.check.killed_by_lease += killed;
        self.drop_tasks(m);
        let machine = &mut self.machines[m];
        machine.stint += 1;
        machine.lease_from = self.now;
        self.note("lease", m as u64, killed);
        self.changed(m);
        self.watch_lease(m);
    }

    fn report_by(&mut self, m: usize, at: Micros) {
        self.machines[m].report_at = at;
        self.at(at, Event::Report(m));
    }

    /// Something changed: a report soon, but not more than one each half second.
    pub fn changed(&mut self, m: usize) {
        let machine = &self.machines[m];
        let at = self.now.max(machine.last_sent + 500 * MILLI);
        if at < machine.report_at {
            self.report_by(m, at);
        }
    }

    pub fn report_due(&mut self, m: usize) {
        let now = self.now;
        let machine = &self.machines[m];
        if machine.phase != Phase::Up || machine.reporting || now < machine.hung_until {
            return;
        }
        let notice = machine.taken_at.is_some_and(|t| t.0 == now);
        if now < machine.report_at && !notice {
            return;
        }
        let body = self.report(m);
        let machine = &mut self.machines[m];
        machine.reporting = true;
        machine.last_sent = now;
        let (node, stint) = (machine.node, machine.stint);
        let from = Caller::Report {
            machine: m,
            stint,
            sent: now,
        };
        let copied = self.lasting(FaultKind::LateReports);
        let copied = copied.map(|f| (f.share.unwrap_or(0.0), f.for_next));
        if copied.is_some_and(|(share, _)| self.rng.random::<f64>() < share) {
            // Nobody waits for what it is answered.
            let late = self.rng.random_range(2.0..3.0 * self.day.fleet.lease_s);
            let mut copy = World::http("POST", "/checkin", body.clone());
            (copy.from, copy.to) = (Host::Machine(m), Host::Node(node));
            if copied.is_some_and(|c| c.1) {
                self.kept_copies.push_back(copy);
                self.kept_copies.truncate(COPIES_KEPT);
            } else {
                self.after(micros(late), Event::Copy(Box::new(copy)));
            }
        }
        let request = World::http("POST", "/checkin", body);
        let host = Host::Node(node);
        if now < self.machines[m].mute_until {
            self.lose(from, host, 4 * SECOND);
        } else {
            self.send(from, host, 4 * SECOND, request);
        }
        let period = self.day.fleet.report_s * self.rng.random_range(0.75..1.25);
        self.machines[m].report_at = now + micros(period);
    }

    fn report(&mut self, m: usize) -> String {
        let now = self.now;
        let machine = &mut self.machines[m];
        machine.tally += 1;
        let pool = &self.day.pools[machine.pool];
        let notice = machine.taken_at.filter(|t| now >= t.0);
        let notice = notice.map(|t| t.1.saturating_sub(now) as f64 / 1e6);
        let notice = notice.map_or("null".to_owned(), |s| format!("{s:.3}"));
        let mut body = format!(
            r#"{{"host":"{}","addr":"{}","build":"{}","paddock":"{}","loaners":{},"stint":{},"tally":{},"baton":{},"warningS":{notice},"parts":["#,
            machine.name,
            machine.addr,
            pool.r#type,
            pool.zone,
            pool.spot,
            machine.stint,
            machine.tally,
            machine.baton
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
                t.part, t.attempt
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

    pub fn report_answered(&mut self, m: usize, stint: u64, sent: Micros, answer: Option<Answer>) {
        let now = self.now;
        let nodes = self.controllers.len();
        let machine = &mut self.machines[m];
        machine.reporting = false;
        if machine.phase != Phase::Up {
            return;
        }
        if now < machine.hung_until {
            // It was not looked at, and is too old when the machine goes on.
            return;
        }
        let next = machine.report_at.max(now);
        match answer {
            Some(a) if a.status == 200 => {
                self.report_by(m, next);
                let Ok(told) = serde_json::from_slice::<Told>(&a.body) else {
                    return;
                };
                let machine = &mut self.machines[m];
                if machine.stint != stint || told.baton < machine.baton {
                    return;
                }
                machine.lease_from = machine.lease_from.max(sent);
                self.take_token(m, told.baton);
                self.execute(m, told.orders);
            }
            Some(a) if a.status == 421 => {
                let told: Option<Misdirected> = serde_json::from_slice(&a.body).ok();
                let boss = told.and_then(|t| t.boss);
                let boss = boss.and_then(|b| b.strip_prefix("node-")?.parse::<usize>().ok());
                match boss.filter(|b| *b != machine.node && *b < nodes) {
                    Some(boss) => {
                        machine.node = boss;
                        let wait = self.rng.random_range(0..500 * MILLI);
                        self.report_by(m, now + wait);
                    }
                    None => self.next_node(m),
                }
            }
            _ => self.next_node(m),
        }
    }

    fn next_node(&mut self, m: usize) {
        let nodes = self.controllers.len();
        let machine = &mut self.machines[m];
        self.network
            .close(Host::Machine(m), Host::Node(machine.node));
        machine.node = (machine.node + 1) % nodes;
        self.report_by(m, self.now + SECOND);
    }

    fn take_token(&mut self, m: usize, token: u64) {
        let half = micros(self.day.fleet.lease_s / 2.0);
        let now = self.now;
        let machine = &mut self.machines[m];
        if token > machine.baton {
            machine.baton = token;
            if now >= machine.token_told + half || machine.token_told == 0 {
                machine.token_told = now;
                self.changed(m);
            }
        }
    }

    /// A direct command or a question.
    pub fn ask_machine(&mut self, m: usize, request: Request) {
        let machine = &mut self.machines[m];
        if machine.phase != Phase::Up || self.now < machine.deaf_until {
            return;
        }
        if self.now < machine.hung_until {
            machine.inbox.push(request);
            return;
        }
        let id = request.call;
        let status = match request.path.as_str() {
            "/status" => 200,
            "/commands" => match serde_json::from_slice::<Told>(&request.body) {
                Ok(told) if told.stint.is_some() => {
                    if told.baton < machine.baton || told.stint != Some(machine.stint) {
                        409
                    } else {
                        self.take_token(m, told.baton);
                        self.execute(m, told.orders);
                        200
                    }
                }
                _ => 400,
            },
            _ => 404,
        };
        let lost = self.lasting(FaultKind::AnswersLost).and_then(|f| f.share);
        let body = self.report(m);
        if lost.is_some_and(|share| self.rng.random::<f64>() < share) {
            return;
        }
        self.answer(id, Answer::new(status, body));
    }

    fn execute(&mut self, m: usize, orders: Vec<Order>) {
        for o in orders {
            let Some((uid, part)) = o.part.rsplit_once('/') else {
                continue;
            };
            let part: u32 = part.parse().unwrap_or(0);
            let Some(job) = self.users.find(uid) else {
                continue;
            };
            let key = (job, part, o.r#try);
            let found = self.machines[m].find(key);
            match (o.verb.as_str(), found) {
                ("start", _)
                    if self
                        .tamper
                        .is_some_and(|t| t.drops_start(job, self.users.jobs[job].parts)) => {}
                ("start", None) => self.start(m, key),
                ("halt", Some(at)) => self.halt(m, at, o.wind_down_s),
                ("reap", Some(at)) if !self.machines[m].tasks[at].holds() => {
                    let t = self.machines[m].tasks.remove(at);
                    self.check
                        .end_acknowledged(t.job, t.part, t.cause == "done");
                }
                _ => {}
            }
        }
    }

    /// A machine that hung goes on: what came in meanwhile is done now.
    pub fn resume(&mut self, m: usize) {
        if self.machines[m].phase != Phase::Up || self.now < self.machines[m].hung_until {
            return;
        }
        for request in std::mem::take(&mut self.machines[m].inbox) {
            self.ask_machine(m, request);
        }
        self.report_by(m, self.now);
    }

    /// It stands still; its tasks take as much longer.
    pub fn hang(&mut self, m: usize, until: Micros) {
        let now = self.now;
        let machine = &mut self.machines[m];
        let longer = until.saturating_sub(now);
        machine.hung_until = until;
        let mut due = Vec::new();
        for t in machine.tasks.iter_mut().filter(|t| t.holds()) {
            machine.turns += 1;
            t.turn = machine.turns;
            t.due += longer;
            if t.run_since > 0 {
                t.run_since += longer;
            }
            due.push(((t.job, t.part, t.attempt), t.due, t.turn));
        }
        for (key, at, turn) in due {
            self.task_at(m, key, at, turn);
        }
        self.at(until, Event::Resume(m));
    }
}
