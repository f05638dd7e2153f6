//! The result of a run: figures, and whether the run failed.

use crate::check::{RULES, RuleViolations};
use crate::copies::RequestCopies;
use crate::machine::{Phase, Status};
use crate::scenario::{Objective, ObjectiveKind, Scenario};
use crate::users::Job;
use crate::world::{Micros, World, micros};
use comfy_table::{Table, presets};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;

/// A controller becomes leader or stops being leader.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeadershipChange {
    pub at: Micros,
    pub node: usize,
    pub leads: bool,
}

/// What the cores are used for, what waits and who leads; taken once a second. Its `Debug` text is part of the
/// run's digest.
#[derive(Clone, Debug)]
pub struct Sample {
    pub at: Micros,
    pub running: f64,
    pub fetching: f64,
    pub idle: f64,
    /// All cores of machines that hang, or for which half the lease has passed without an answered heartbeat.
    pub held: f64,
    /// Tasks of accepted jobs that are on no machine, by class.
    pub queue: Vec<usize>,
    pub leader: Option<usize>,
    /// Controllers that the load balancer counts as healthy.
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
            let unavailable = w.now < m.hung_until || w.now > m.lease_renewed_at() + half;
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
            if unavailable {
                s.held += cores;
            } else {
                s.running += running;
                s.fetching += fetching;
                s.idle += cores - running - fetching;
            }
        }
        for (n, j) in w.users.jobs.iter().enumerate() {
            if j.accepted.is_some() && !j.complete() && !j.user_knows_end() {
                let there = on[n] + j.done.len();
                s.queue[j.class] += (j.parts as usize).saturating_sub(there);
            }
        }
        s
    }
}

/// The start of a controller's time as leader.
#[derive(Clone, Debug, Serialize)]
pub struct LeadershipPeriod {
    pub node: usize,
    pub at_s: f64,
    /// For how long there was no leader before.
    pub silent_s: f64,
}

/// How much of the work of a class or a team was done.
#[derive(Clone, Debug, Serialize)]
pub struct ServiceLevel {
    pub name: String,
    pub jobs: usize,
    pub tasks: usize,
    pub done: usize,
    /// `done` as a share of `tasks`.
    pub share: f64,
    /// Seconds from submission to the start of a task: median, 90th and 99th percentile, maximum.
    pub waits_s: [f64; 4],
}

/// How many of a class's largest jobs (the tenth with the most tasks) started in time.
#[derive(Clone, Debug, Serialize)]
pub struct LargestJobs {
    pub class: String,
    pub jobs: usize,
    pub begun: usize,
}

/// How far an objective of the scenario was met: the wanted share, the share reached, and of how many.
#[derive(Clone, Debug, Serialize)]
pub struct ObjectiveResult {
    pub aim: String,
    pub wanted: f64,
    pub share: f64,
    pub of: usize,
}

/// The result of a run, as the JSON report shows it. All figures are of simulated machines.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Name of the scenario.
    pub day: String,
    pub seed: u64,
    pub controllers: usize,
    pub machines: usize,
    /// Why the run failed; empty if it did not.
    pub failed: Vec<String>,
    #[serde(rename = "broken")]
    pub violations: BTreeMap<&'static str, RuleViolations>,
    pub leads: Vec<LeadershipPeriod>,
    pub classes: Vec<ServiceLevel>,
    pub teams: Vec<ServiceLevel>,
    pub largest: Vec<LargestJobs>,
    pub aims: Vec<ObjectiveResult>,
    /// Processor use of each controller, as a share of one core.
    pub processor: Vec<f64>,
    /// Takeovers by a controller that started from its warm replica.
    pub warm_takeovers: usize,
    /// All takeovers.
    pub takeovers: usize,
    pub tasks_started: u64,
    /// Tasks that a worker stopped because its lease had expired.
    pub killed_by_lease: u64,
    /// Number of task ends and refused starts, by cause.
    pub endings: BTreeMap<&'static str, u64>,
    pub submissions: usize,
    /// Answers that reached a later incarnation of the controller than the one that asked; it must ignore them.
    pub strays: u64,
    /// Copies of executed requests that were scheduled to arrive again, by destination.
    pub request_copies: RequestCopies,
    /// Submissions that were not accepted within the users' retry window.
    pub given_up: u64,
    /// Submissions that were answered 400 or 422.
    pub refused: u64,
    pub polls: u64,
    pub polls_failed: u64,
    /// Requests that controllers refused by load shedding.
    pub shed: u64,
    pub state_requests: u64,
    pub state_changes: u64,
    pub rentals_asked: u64,
    pub rentals_granted: u64,
    pub returned: u64,
    pub returned_busy: u64,
    pub cost: f64,
    /// Checksum of all events of the run: equal for two runs of one scenario with one seed.
    pub digest: String,
    #[serde(skip)]
    pub samples: Vec<Sample>,
    #[serde(skip)]
    pub class_names: Vec<String>,
}

/// A class or team of which a smaller share of the tasks was done fails the run.
const MIN_SERVED_SHARE: f64 = 0.5;
/// Classes and teams with fewer tasks are not judged.
const MIN_TASKS_TO_JUDGE: usize = 20;
/// Classes with fewer large jobs are not judged by them.
const MIN_LARGEST_JOBS_TO_JUDGE: usize = 3;
/// Within this many seconds of submission the first task of a large job has to start.
const LARGEST_JOB_START_LIMIT_S: f64 = 240.0;

impl Outcome {
    pub fn of(mut w: World, digest: u128) -> Self {
        let has_idle_cores =
            |s: &Sample| s.idle > 0.25 * (s.running + s.fetching + s.idle + s.held);
        let idle = w.samples.iter().rev().take(20).all(has_idle_cores);
        w.checker.finish(w.now, &w.scenario, &w.users, idle);
        let end = w.end;
        let settled = end.saturating_sub(micros(w.scenario.settle_s));
        let is_judged = |j: &&Job| {
            j.submitted.is_some_and(|t| t <= settled) && !j.may_be_cancelled() && !j.mistaken
        };
        let service_level = |name: &str, pick: &dyn Fn(&Job) -> bool| {
            let mut waits = Histogram::<u64>::new_with_max(86_400_000, 3).ok();
            let (mut jobs, mut tasks, mut done) = (0, 0, 0);
            for (n, j) in w.users.jobs.iter().enumerate() {
                if !is_judged(&j) || !pick(j) || w.checker.cancellation_reported(n) {
                    continue;
                }
                jobs += 1;
                tasks += j.parts as usize;
                done += j.done.len();
                for wait in w.checker.start_delays_s.get(&n).into_iter().flatten() {
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
            ServiceLevel {
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
        let classes: Vec<ServiceLevel> = classes
            .map(|(n, c)| service_level(&c.name, &|j| j.class == n))
            .collect();
        let teams = w.scenario.teams.iter().enumerate();
        let teams: Vec<ServiceLevel> = teams
            .map(|(n, t)| service_level(&t.name, &|j| j.team == n))
            .collect();
        let largest = w.scenario.classes.iter().enumerate().map(|(class, c)| {
            let mut class_jobs: Vec<(u32, usize)> = (w.users.jobs.iter().enumerate())
                .filter(|(n, j)| {
                    j.class == class && is_judged(j) && !w.checker.cancellation_reported(*n)
                })
                .map(|(n, j)| (j.parts, n))
                .collect();
            class_jobs.sort_unstable_by(|a, b| b.cmp(a));
            class_jobs.truncate(class_jobs.len().div_ceil(10));
            let (mut jobs, mut begun) = (0, 0);
            for (_, n) in class_jobs {
                let waits = w.checker.start_delays_s.get(&n).into_iter().flatten();
                let first = waits.copied().fold(f64::INFINITY, f64::min);
                let submitted = w.users.jobs[n].submitted.unwrap_or(end);
                let limit = ready_at(&w, n, submitted) + micros(LARGEST_JOB_START_LIMIT_S);
                if first.is_finite() && submitted + micros(first) <= limit {
                    (jobs, begun) = (jobs + 1, begun + 1);
                } else if limit < end {
                    // The limit passed within the run.
                    jobs += 1;
                }
            }
            LargestJobs {
                class: c.name.clone(),
                jobs,
                begun,
            }
        });
        let largest: Vec<LargestJobs> = largest.collect();
        let mut failed: Vec<String> = RULES
            .iter()
            .filter(|r| w.checker.violations.contains_key(**r))
            .map(|r| (*r).to_owned())
            .collect();
        for (what, served) in [("class", &classes), ("team", &teams)] {
            for s in served
                .iter()
                .filter(|s| s.tasks >= MIN_TASKS_TO_JUDGE && s.share < MIN_SERVED_SHARE)
            {
                failed.push(format!("{what} {} served {:.2}", s.name, s.share));
            }
        }
        for l in largest
            .iter()
            .filter(|l| l.jobs >= MIN_LARGEST_JOBS_TO_JUDGE)
        {
            let share = l.begun as f64 / l.jobs as f64;
            if share < MIN_SERVED_SHARE {
                failed.push(format!("largest of {} begun {share:.2}", l.class));
            }
        }
        let aims = w
            .scenario
            .objectives
            .iter()
            .map(|a| objective_result(a, &w))
            .collect();
        let seconds = end as f64;
        Self {
            day: w.scenario.name.clone(),
            seed: w.scenario.seed,
            controllers: w.scenario.fleet.controllers,
            machines: w.scenario.max_machines(),
            failed,
            violations: w.checker.violations.clone(),
            leads: leadership_periods(&w.leader_changes),
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
            tasks_started: w.checker.tasks_started,
            killed_by_lease: w.checker.killed_by_lease,
            endings: w.checker.endings.clone(),
            submissions: w
                .users
                .jobs
                .iter()
                .filter(|j| j.submitted.is_some())
                .count(),
            strays: w.stale_replies,
            request_copies: w.request_copies,
            given_up: w.users.given_up,
            refused: w.users.refused,
            polls: w.checker.polls,
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

    /// Whether this run violated one of the given rules.
    pub fn violates_any_of(&self, rules: &[&'static str]) -> bool {
        rules.iter().any(|r| self.violations.contains_key(r))
    }

    /// The result as tables for people.
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
        let leader_rows = self.leads.iter().map(|l| {
            vec![
                format!("node-{}", l.node),
                format!("{:.2}", l.at_s),
                format!("{:.2}", l.silent_s),
            ]
        });
        section(
            &["leader", "from s", "no leader before, s"],
            leader_rows.collect(),
        );
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
        section(&["largest jobs of", "started in 240 s"], largest.collect());
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
        let rules = RULES.iter().map(|r| match self.violations.get(r) {
            Some(b) => vec![
                (*r).to_owned(),
                format!("VIOLATED {} times", b.count),
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
            out.push_str("the scenario passed\n");
        } else {
            out.push_str(&format!(
                "the scenario FAILED: {}\n",
                self.failed.join("; ")
            ));
        }
        out
    }
}

/// Each start of a leadership, with the time without a leader before it.
fn leadership_periods(changes: &[LeadershipChange]) -> Vec<LeadershipPeriod> {
    let mut leading = 0;
    let mut since = 0;
    let mut leads = Vec::new();
    for c in changes {
        if c.leads {
            let silent = if leading == 0 { c.at - since } else { 0 };
            leading += 1;
            leads.push(LeadershipPeriod {
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

/// From when the time of a job counts: its submission, or when the last of the jobs that it depends on was done.
fn ready_at(w: &World, job: usize, submitted: Micros) -> Micros {
    let dependencies = w.users.jobs[job].waits_on.iter();
    dependencies
        .map(|k| w.checker.finished_at.get(k).copied().unwrap_or(w.end))
        .fold(submitted, Micros::max)
}

/// How far an objective was met, judged by what the users saw.
fn objective_result(aim: &Objective, w: &World) -> ObjectiveResult {
    let class = aim.class.as_ref();
    let class = class.and_then(|c| w.scenario.classes.iter().position(|k| k.name == *c));
    let (mut met, mut of) = (0.0, 0.0);
    let warm = micros(w.scenario.warmup_s);
    let is_judged = |at: Micros, k: usize| at >= warm && class.is_none_or(|c| c == k);
    for (n, j) in w.users.jobs.iter().enumerate() {
        let Some(submitted) = j.submitted.filter(|t| is_judged(*t, j.class)) else {
            continue;
        };
        let ready = ready_at(w, n, submitted);
        let excluded = j.may_be_cancelled() || j.mistaken || w.checker.cancellation_reported(n);
        let mut judge = |bound: Micros, at: Option<Micros>, weight: f64| {
            if bound <= w.end || at.is_some() {
                of += weight;
                met += weight * f64::from(u8::from(at.is_some_and(|t| t <= bound)));
            }
        };
        match aim.kind {
            ObjectiveKind::Submit => {
                let at = w.checker.accepted_at.get(&n).copied();
                judge(submitted + micros(aim.within_s), at, 1.0);
            }
            _ if excluded => {}
            ObjectiveKind::Wait => {
                let waits = w.checker.start_delays_s.get(&n);
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
            ObjectiveKind::Finished => {
                let at = w.checker.finished_at.get(&n).copied();
                judge(ready + micros(aim.within_s), at, 1.0);
            }
            ObjectiveKind::Deadline => {
                if let Some(due) = j.deadline_s {
                    let at = w.checker.finished_at.get(&n).copied();
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
        ObjectiveKind::Deadline => format!("{text} {} times", aim.times),
        _ => format!("{text} {} s", aim.within_s),
    };
    ObjectiveResult {
        aim: text,
        wanted: aim.share,
        share: if of > 0.0 { met / of } else { 1.0 },
        of: of as usize,
    }
}

/// The size of a scenario, to show how far it was shrunk.
pub fn scenario_size(scenario: &Scenario) -> String {
    format!(
        "{} failures, {} machines, {:.0} s",
        scenario.faults.len(),
        scenario.max_machines(),
        scenario.duration_s
    )
}
