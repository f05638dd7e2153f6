//! What became of a day: figures, and whether it failed.

use crate::check::{Broken, RULES};
use crate::day::{Aim, AimKind, Day};
use crate::machine::{Phase, Status};
use crate::users::Job;
use crate::world::{Micros, World, micros};
use comfy_table::{Table, presets};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;

/// The lead, taken or left.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    pub at: Micros,
    pub node: usize,
    pub leads: bool,
}

/// Where the cores are, what waits and who leads, once a second.
#[derive(Clone, Debug)]
pub struct Sample {
    pub at: Micros,
    pub running: f64,
    pub fetching: f64,
    pub idle: f64,
    /// Of machines that hang, or whose lease ran half without an answer: what is on them is held.
    pub held: f64,
    /// Tasks of accepted jobs that are on no machine, by class.
    pub queue: Vec<usize>,
    pub leader: Option<usize>,
    pub healthy: usize,
}

impl Sample {
    pub fn of(w: &World, leader: Option<usize>) -> Self {
        let mut s = Self {
            at: w.now,
            running: 0.0,
            fetching: 0.0,
            idle: 0.0,
            held: 0.0,
            queue: vec![0; w.scenario.classes.len()],
            leader,
            healthy: w.balancer.healthy_count(),
        };
        let mut on = vec![0; w.users.jobs.len()];
        let half = micros(w.scenario.fleet.lease_s / 2.0);
        for m in w.machines.iter().filter(|m| m.phase == Phase::Up) {
            let cores = w.scenario.types[m.machine_type].cores;
            let out = w.now < m.hung_until || w.now > m.lease_renewed_at() + half;
            let (mut running, mut fetching) = (0.0, 0.0);
            for t in m.tasks.iter().filter(|t| t.holds_resources()) {
                on[t.job] += 1;
                let c = w.scenario.classes[w.users.jobs[t.job].class].cores;
                if t.status == Status::Fetching {
                    fetching += c;
                } else {
                    running += c;
                }
            }
            if out {
                s.held += cores;
            } else {
                s.running += running;
                s.fetching += fetching;
                s.idle += cores - running - fetching;
            }
        }
        for (n, j) in w.users.jobs.iter().enumerate() {
            if j.accepted.is_some() && !j.complete() && !j.is_over() {
                let there = on[n] + j.done.len();
                s.queue[j.class] += (j.parts as usize).saturating_sub(there);
            }
        }
        s
    }
}

#[derive(Clone, Debug, Serialize)]
pub struct Lead {
    pub node: usize,
    pub at_s: f64,
    /// Since nobody led before.
    pub silent_s: f64,
}

/// How much of the work of a class or a team was served.
#[derive(Clone, Debug, Serialize)]
pub struct Served {
    pub name: String,
    pub jobs: usize,
    pub tasks: usize,
    pub done: usize,
    pub share: f64,
    /// Seconds from submission to the start of a task: median, 90 %, 99 %, highest.
    pub waits_s: [f64; 4],
}

/// How many of a class's largest jobs (a tenth, by cores and tasks) began in time.
#[derive(Clone, Debug, Serialize)]
pub struct Largest {
    pub class: String,
    pub jobs: usize,
    pub begun: usize,
}

#[derive(Clone, Debug, Serialize)]
pub struct Figure {
    pub aim: String,
    pub wanted: f64,
    pub share: f64,
    pub of: usize,
}

/// Figures of simulated machines.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    pub day: String,
    pub seed: u64,
    pub controllers: usize,
    pub machines: usize,
    /// Why the day failed; empty if it did not.
    pub failed: Vec<String>,
    pub broken: BTreeMap<&'static str, Broken>,
    pub leads: Vec<Lead>,
    pub classes: Vec<Served>,
    pub teams: Vec<Served>,
    pub largest: Vec<Largest>,
    pub aims: Vec<Figure>,
    /// Of one core, by controller.
    pub processor: Vec<f64>,
    /// Takeovers from what was followed, and all.
    pub warm_takeovers: usize,
    pub takeovers: usize,
    pub tasks_started: u64,
    pub killed_by_lease: u64,
    pub endings: BTreeMap<&'static str, u64>,
    pub submissions: usize,
    /// Answers that came to a later life of the controller that had asked; none may be taken.
    pub strays: u64,
    pub given_up: u64,
    pub refused: u64,
    pub polls: u64,
    pub polls_failed: u64,
    pub shed: u64,
    pub state_requests: u64,
    pub state_changes: u64,
    pub rentals_asked: u64,
    pub rentals_granted: u64,
    pub returned: u64,
    pub returned_busy: u64,
    pub cost: f64,
    pub digest: String,
    #[serde(skip)]
    pub samples: Vec<Sample>,
    #[serde(skip)]
    pub class_names: Vec<String>,
}

/// Below that a class or a team counts as not served.
const FLOOR: f64 = 0.5;
/// With fewer tasks than that nothing is said.
const FLOOR_TASKS: usize = 20;
/// The same for the largest jobs.
const FLOOR_LARGEST: usize = 3;
/// Seconds within which a job's first task has to begin.
const BEGIN_WITHIN_S: f64 = 240.0;

impl Outcome {
    pub fn of(mut w: World, digest: u128) -> Self {
        let roomy = |s: &Sample| s.idle > 0.25 * (s.running + s.fetching + s.idle + s.held);
        let idle = w.samples.iter().rev().take(20).all(roomy);
        w.checker.finish(w.now, &w.scenario, &w.users, idle);
        let end = w.end;
        let settled = end.saturating_sub(micros(w.scenario.settle_s));
        let counts =
            |j: &&Job| j.submitted.is_some_and(|t| t <= settled) && !j.cancels() && !j.mistaken;
        let by = |name: &str, pick: &dyn Fn(&Job) -> bool| {
            let mut waits = Histogram::<u64>::new_with_max(86_400_000, 3).ok();
            let (mut jobs, mut tasks, mut done) = (0, 0, 0);
            for (n, j) in w.users.jobs.iter().enumerate() {
                if !counts(&j) || !pick(j) || w.checker.is_doomed(n) {
                    continue;
                }
                jobs += 1;
                tasks += j.parts as usize;
                done += j.done.len();
                for wait in w.checker.waits.get(&n).into_iter().flatten() {
                    if let Some(h) = &mut waits {
                        h.saturating_record((wait * 1000.0) as u64);
                    }
                }
            }
            let at = |q: f64| {
                waits
                    .as_ref()
                    .map_or(0.0, |h| h.value_at_quantile(q) as f64 / 1000.0)
            };
            Served {
                name: name.to_owned(),
                jobs,
                tasks,
                done,
                share: if tasks == 0 {
                    1.0
                } else {
                    done as f64 / tasks as f64
                },
                waits_s: [at(0.5), at(0.9), at(0.99), at(1.0)],
            }
        };
        let classes = w.scenario.classes.iter().enumerate();
        let classes: Vec<Served> = classes
            .map(|(n, c)| by(&c.name, &|j| j.class == n))
            .collect();
        let teams = w.scenario.teams.iter().enumerate();
        let teams: Vec<Served> = teams.map(|(n, t)| by(&t.name, &|j| j.team == n)).collect();
        let largest = w.scenario.classes.iter().enumerate().map(|(class, c)| {
            let mut of_class: Vec<(u32, usize)> = (w.users.jobs.iter().enumerate())
                .filter(|(n, j)| j.class == class && counts(j) && !w.checker.is_doomed(*n))
                .map(|(n, j)| (j.parts, n))
                .collect();
            of_class.sort_unstable_by(|a, b| b.cmp(a));
            of_class.truncate(of_class.len().div_ceil(10));
            let (mut jobs, mut begun) = (0, 0);
            for (_, n) in of_class {
                let waits = w.checker.waits.get(&n).into_iter().flatten();
                let first = waits.copied().fold(f64::INFINITY, f64::min);
                let submitted = w.users.jobs[n].submitted.unwrap_or(end);
                let within = micros(BEGIN_WITHIN_S);
                if first <= BEGIN_WITHIN_S {
                    (jobs, begun) = (jobs + 1, begun + 1);
                } else if submitted + within < end {
                    // Its time was not over before the day was.
                    jobs += 1;
                }
            }
            Largest {
                class: c.name.clone(),
                jobs,
                begun,
            }
        });
        let largest: Vec<Largest> = largest.collect();
        let mut failed: Vec<String> = RULES
            .iter()
            .filter(|r| w.checker.broken.contains_key(**r))
            .map(|r| (*r).to_owned())
            .collect();
        for (what, served) in [("class", &classes), ("team", &teams)] {
            for s in served
                .iter()
                .filter(|s| s.tasks >= FLOOR_TASKS && s.share < FLOOR)
            {
                failed.push(format!("{what} {} served {:.2}", s.name, s.share));
            }
        }
        for l in largest.iter().filter(|l| l.jobs >= FLOOR_LARGEST) {
            let share = l.begun as f64 / l.jobs as f64;
            if share < FLOOR {
                failed.push(format!("largest of {} begun {share:.2}", l.class));
            }
        }
        let aims = w.scenario.aims.iter().map(|a| figure(a, &w)).collect();
        let seconds = end as f64;
        Self {
            day: w.scenario.name.clone(),
            seed: w.scenario.seed,
            controllers: w.scenario.fleet.controllers,
            machines: w.scenario.machines(),
            failed,
            broken: w.checker.broken.clone(),
            leads: leads(&w.leader_changes),
            classes,
            teams,
            largest,
            aims,
            processor: w
                .controllers
                .iter()
                .map(|c| c.cpu_spent / seconds)
                .collect(),
            warm_takeovers: w.checker.takeovers.iter().filter(|w| **w).count(),
            takeovers: w.checker.takeovers.len(),
            tasks_started: w.checker.starts,
            killed_by_lease: w.checker.killed_by_lease,
            endings: w.checker.causes.clone(),
            submissions: w
                .users
                .jobs
                .iter()
                .filter(|j| j.submitted.is_some())
                .count(),
            strays: w.stale_replies,
            given_up: w.users.given_up,
            refused: w.users.refused,
            polls: w.checker.polled,
            polls_failed: w.checker.polls_failed,
            shed: w.controllers.iter().map(|c| c.requests_shed).sum(),
            state_requests: w.state_service.requests_received,
            state_changes: w.state_service.changes_applied,
            rentals_asked: w.cloud.machines_requested,
            rentals_granted: w.cloud.machines_rented,
            returned: w.cloud.machines_released,
            returned_busy: w.cloud.busy_machines_released,
            cost: w.cost(),
            digest: format!("{digest:032x}"),
            class_names: w.scenario.classes.iter().map(|c| c.name.clone()).collect(),
            samples: std::mem::take(&mut w.samples),
        }
    }

    /// Whether it broke one of the rules that another outcome broke.
    pub fn shares_a_rule(&self, rules: &[&'static str]) -> bool {
        rules.iter().any(|r| self.broken.contains_key(r))
    }

    pub fn table(&self) -> String {
        let mut out = format!(
            "{}, seed {}: {} controllers, up to {} machines (simulated)\n\n",
            self.day, self.seed, self.controllers, self.machines
        );
        let mut section = |head: &[&str], rows: Vec<Vec<String>>| {
            if rows.is_empty() {
                return;
            }
            let mut t = Table::new();
            t.load_preset(presets::NOTHING);
            t.set_header(head.iter().copied());
            t.add_rows(rows);
            out.push_str(&format!("{t}\n\n"));
        };
        let leads = self.leads.iter().map(|l| {
            vec![
                format!("node-{}", l.node),
                format!("{:.2}", l.at_s),
                format!("{:.2}", l.silent_s),
            ]
        });
        section(&["leader", "from s", "nobody before, s"], leads.collect());
        for (what, served) in [("class", &self.classes), ("team", &self.teams)] {
            let rows = served.iter().map(|s| {
                let mut row = vec![
                    s.name.clone(),
                    s.jobs.to_string(),
                    format!("{} of {}", s.done, s.tasks),
                    format!("{:.3}", s.share),
                ];
                row.extend(s.waits_s.iter().map(|w| format!("{w:.1}")));
                row
            });
            section(
                &[
                    what,
                    "jobs",
                    "tasks done",
                    "served",
                    "wait p50 s",
                    "p90",
                    "p99",
                    "max",
                ],
                rows.collect(),
            );
        }
        let largest = self.largest.iter().map(|l| {
            let begun = format!("{} of {}", l.begun, l.jobs);
            vec![l.class.clone(), begun]
        });
        section(&["largest jobs of", "begun in 240 s"], largest.collect());
        let aims = self.aims.iter().map(|a| {
            vec![
                a.aim.clone(),
                format!("{:.3}", a.share),
                format!("{:.3}", a.wanted),
                a.of.to_string(),
            ]
        });
        section(&["aim", "share", "wanted", "of"], aims.collect());
        let processor = self
            .processor
            .iter()
            .enumerate()
            .map(|(n, p)| vec![format!("node-{n}"), format!("{:.2} %", 100.0 * p)]);
        section(&["controller", "of one core"], processor.collect());
        let rules = RULES.iter().map(|r| match self.broken.get(r) {
            Some(b) => vec![
                (*r).to_owned(),
                format!("BROKEN {} times", b.count),
                b.first.clone(),
            ],
            None => vec![(*r).to_owned(), "kept".to_owned(), String::new()],
        });
        section(&["rule", "", ""], rules.collect());
        out.push_str(&format!(
            "{} tasks started, {} killed by their lease, endings {:?}\n{} submissions ({} given up, {} refused), {} polls \
             ({} failed), {} requests shed\nstate service: {} requests, {} changes; rentals: {} asked, {} granted, {} \
             machines returned, {} of them with tasks; cost {:.2}\ndigest {}\n",
            self.tasks_started, self.killed_by_lease, self.endings, self.submissions, self.given_up, self.refused,
            self.polls, self.polls_failed, self.shed, self.state_requests, self.state_changes, self.rentals_asked,
            self.rentals_granted, self.returned, self.returned_busy, self.cost, self.digest
        ));
        if self.failed.is_empty() {
            out.push_str("the day is good\n");
        } else {
            out.push_str(&format!("the day FAILED: {}\n", self.failed.join("; ")));
        }
        out
    }
}

/// Who led from when, and for how long nobody had.
fn leads(changes: &[Change]) -> Vec<Lead> {
    let mut leading = 0;
    let mut since = 0;
    let mut leads = Vec::new();
    for c in changes {
        if c.leads {
            let silent = if leading == 0 { c.at - since } else { 0 };
            leading += 1;
            leads.push(Lead {
                node: c.node,
                at_s: c.at as f64 / 1e6,
                silent_s: silent as f64 / 1e6,
            });
        } else {
            leading -= 1;
            since = c.at;
        }
    }
    leads
}

/// How far an aim was met, by what the users saw.
fn figure(aim: &Aim, w: &World) -> Figure {
    let class = aim.class.as_ref();
    let class = class.and_then(|c| w.scenario.classes.iter().position(|k| k.name == *c));
    let (mut met, mut of) = (0.0, 0.0);
    let warm = micros(w.scenario.warmup_s);
    let counts = |at: Micros, k: usize| at >= warm && class.is_none_or(|c| c == k);
    for (n, j) in w.users.jobs.iter().enumerate() {
        let Some(submitted) = j.submitted.filter(|t| counts(*t, j.class)) else {
            continue;
        };
        // A job that waits for others counts from when the last of them is done.
        let needs = j
            .waits_on
            .iter()
            .map(|k| w.checker.finished.get(k).copied().unwrap_or(w.end));
        let ready = needs.fold(submitted, Micros::max);
        let spared = j.cancels() || j.mistaken || w.checker.is_doomed(n);
        let mut judge = |bound: Micros, at: Option<Micros>, weight: f64| {
            if bound <= w.end || at.is_some() {
                of += weight;
                met += weight * f64::from(u8::from(at.is_some_and(|t| t <= bound)));
            }
        };
        match aim.kind {
            AimKind::Submit => {
                let at = w.checker.accepted.get(&n).copied();
                judge(submitted + micros(aim.within_s), at, 1.0);
            }
            _ if spared => {}
            AimKind::Wait => {
                let waits = w.checker.waits.get(&n);
                let begun = waits.map_or(0, Vec::len);
                for wait in waits.into_iter().flatten() {
                    let at = submitted + micros(*wait);
                    judge(ready + micros(aim.within_s), Some(at), 1.0);
                }
                let never = (j.parts as usize).saturating_sub(begun) as f64;
                if never > 0.0 {
                    judge(ready + micros(aim.within_s), None, never);
                }
            }
            AimKind::Finished => {
                let at = w.checker.finished.get(&n).copied();
                judge(ready + micros(aim.within_s), at, 1.0);
            }
            AimKind::Deadline => {
                if let Some(due) = j.due_s {
                    let at = w.checker.finished.get(&n).copied();
                    judge(submitted + micros(due * aim.times), at, 1.0);
                }
            }
        }
    }
    let mut text = format!("{:?}", aim.kind).to_lowercase();
    if let Some(c) = &aim.class {
        text = format!("{text} {c}");
    }
    text = match aim.kind {
        AimKind::Deadline => format!("{text} {} times", aim.times),
        _ => format!("{text} {} s", aim.within_s),
    };
    Figure {
        aim: text,
        wanted: aim.share,
        share: if of > 0.0 { met / of } else { 1.0 },
        of: of as usize,
    }
}

/// The size of a day, to tell how far it was cut down.
pub fn size(day: &Day) -> String {
    format!(
        "{} failures, {} machines, {:.0} s",
        day.failures.len(),
        day.machines(),
        day.duration_s
    )
}
