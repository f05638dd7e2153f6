//! The rules, judged from what workers, users and cloud saw. Knows nothing of the service's inside:
//! neither its keys nor its terms.

use crate::scenario::Scenario;
use crate::users::{Job, UserAction, Users};
use crate::world::{Micros, SECOND, micros};
use dewramp::controller::LoadSource;
use dewramp::seeded_hash::{HashMap, HashSet};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The operators' rules by their team_names, and those after the line that follow from them.
pub const RULES: [&str; 18] = [
    "ran_twice",
    "quota",
    "wrong_place",
    "ran_cancelled",
    "forgotten",
    "invented",
    "not_done",
    "went_back",
    "nothing_ran",
    "too_early",
    "orphaned",
    // An attempt number is started once; a name of a rental stands for one request; an ending that
    // was reaped is never needed again; no accepted job is passed over for good.
    "attempt_reused",
    "hire_reused",
    "reaped_early",
    "left_behind",
    // A new leader is built from what is stored after its own take, and from nothing else.
    "mirror_differs",
    // What can't run or lacks a field is never accepted; once all troubles are over nothing waits for 90 s while a
    // machine that fits has room and its team is under its limit.
    "unfit_accepted",
    "left_waiting",
];

/// How often a rule was broken, and the first time.
#[derive(Clone, Debug, Serialize)]
pub struct RuleViolations {
    pub count: u64,
    pub first: String,
}

/// A job's history.
#[derive(Default)]
struct JobHistory {
    team: usize,
    cores: f64,
    cancel_asked: bool,
    acknowledged: bool,
    done_reported_at: Option<Micros>,
    cancelled_reported_at: Option<Micros>,
    /// When a job that it needs, or itself, was first told to be cancelled.
    cancellation_reported_at: Option<Micros>,
    needed_by: Vec<usize>,
    /// Polls fail since then.
    polls_failing_since: Option<Micros>,
    started_tasks: BTreeSet<u32>,
    /// When a task of it last started_tasks, or left a machine.
    last_change: Micros,
    acknowledged_ends: BTreeSet<u32>,
    late_stop_recorded: bool,
    /// Since when nothing of it runs though something could, and whether that was told.
    startable_since: Option<Micros>,
    left_waiting_recorded: bool,
}

/// A task on a machine.
struct TaskLocation {
    machine: usize,
    zone: usize,
}

pub struct Checker {
    pub violations: BTreeMap<&'static str, RuleViolations>,
    histories: Vec<JobHistory>,
    locations: BTreeMap<(usize, u32), Vec<TaskLocation>>,
    cores_in_use: Vec<f64>,
    team_limits: Vec<f64>,
    team_names: Vec<String>,
    attempts: HashSet<(usize, u32, u64)>,
    /// The outcome of the recent_polls of the last 90 s.
    recent_polls: VecDeque<(Micros, bool)>,
    cancel_limit: Micros,
    /// When the last trouble of the day is over.
    last_failure_end: Micros,
    pub tasks_started: u64,
    pub killed_by_lease: u64,
    /// Endings by cause.
    pub endings: BTreeMap<&'static str, u64>,
    /// Seconds from submission to the first start, by class; and how many tasks each has.
    pub start_delays_s: HashMap<usize, Vec<f64>>,
    pub finished_at: HashMap<usize, Micros>,
    pub told_at: HashMap<usize, Micros>,
    pub accepted_at: HashMap<usize, Micros>,
    pub polls: u64,
    pub polls_failed: u64,
    /// Takeovers, and whether each was warm.
    pub takeovers: Vec<bool>,
}

const CORES_EPSILON: f64 = 1e-6;
const WAIT_LIMIT: Micros = 90 * SECOND;
/// Once all troubles are over a job that is not answered for so long is forgotten, however others fare.
const WAIT_LIMIT_AFTER_FAILURES: Micros = 75 * SECOND;

impl Checker {
    pub fn new(day: &Scenario) -> Self {
        Self {
            violations: BTreeMap::new(),
            histories: Vec::new(),
            locations: BTreeMap::new(),
            cores_in_use: vec![0.0; day.teams.len()],
            team_limits: day.teams.iter().map(|t| t.cpus_max).collect(),
            team_names: day.teams.iter().map(|t| t.name.clone()).collect(),
            attempts: HashSet::default(),
            recent_polls: VecDeque::new(),
            cancel_limit: micros(day.fleet.cancel_s),
            last_failure_end: micros(day.last_failure_end_s()),
            tasks_started: 0,
            killed_by_lease: 0,
            endings: BTreeMap::new(),
            start_delays_s: HashMap::default(),
            finished_at: HashMap::default(),
            told_at: HashMap::default(),
            accepted_at: HashMap::default(),
            polls: 0,
            polls_failed: 0,
            takeovers: Vec::new(),
        }
    }

    fn record_violation(&mut self, now: Micros, rule: &'static str, what: String) {
        let entry = self
            .violations
            .entry(rule)
            .or_insert_with(|| RuleViolations {
                count: 0,
                first: format!("{:.3} s: {what}", now as f64 / 1e6),
            });
        entry.count += 1;
    }

    /// A job that will be submitted.
    pub fn register_job(&mut self, job: &Job, day: &Scenario) {
        let n = self.histories.len();
        for need in &job.waits_on {
            self.histories[*need].needed_by.push(n);
        }
        let cancellation_reported_at = job
            .waits_on
            .iter()
            .filter_map(|j| self.histories[*j].cancellation_reported_at)
            .min();
        self.histories.push(JobHistory {
            team: job.team,
            cores: day.classes[job.class].cores,
            cancellation_reported_at,
            ..JobHistory::default()
        });
    }

    pub fn cancel_requested(&mut self, job: usize) {
        self.histories[job].cancel_asked = true;
    }

    /// A start was executed: the task is new on that machine.
    pub fn start_executed(&mut self, now: Micros, machine: usize, key: (usize, u32, u64)) {
        let (job, part, attempt) = key;
        if !self.attempts.insert(key) {
            let what = format!("job {job}/{part} try {attempt} starts again on m-{machine:06}");
            self.record_violation(now, "attempt_reused", what);
        }
        let history = &self.histories[job];
        if history.acknowledged_ends.contains(&part) && !history.cancel_asked {
            let what =
                format!("job {job}/{part} starts on m-{machine:06} after its end was reaped");
            self.record_violation(now, "reaped_early", what);
        }
    }

    pub fn start_refused(&mut self, cause: &'static str) {
        *self.endings.entry(cause).or_default() += 1;
    }

    /// A task has its image: from now on it is on its machine, at (machine, zone, spot).
    pub fn task_started(
        &mut self,
        now: Micros,
        place: (usize, usize, bool),
        job: usize,
        part: u32,
        users: &Users,
    ) {
        let (machine, zone, spot) = place;
        let j = &users.jobs[job];
        let name = format!("{}/{part}", j.uid);
        self.tasks_started += 1;
        let here = self.locations.entry((job, part)).or_default();
        let other = here
            .iter()
            .find(|o| o.machine != machine)
            .map(|o| o.machine);
        here.push(TaskLocation { machine, zone });
        if let Some(other) = other {
            let what = format!("{name} starts on m-{machine:06} while it is on m-{other:06}");
            self.record_violation(now, "ran_twice", what);
        }
        let history = &mut self.histories[job];
        history.last_change = now;
        if history.started_tasks.insert(part)
            && let Some(submitted) = j.submitted
        {
            let wait = now.saturating_sub(submitted) as f64 / 1e6;
            self.start_delays_s.entry(job).or_default().push(wait);
        }
        let cores = history.cores;
        let dead = |at: Option<Micros>| at.is_some_and(|t| now > t + self.cancel_limit);
        if dead(history.cancelled_reported_at) {
            let what = format!("{name} starts on m-{machine:06} though it was cancelled");
            self.record_violation(now, "ran_cancelled", what);
        }
        let used = &mut self.cores_in_use[j.team];
        *used += cores;
        let (used, limit) = (*used, self.team_limits[j.team]);
        if limit > 0.0 && used > limit + CORES_EPSILON {
            let what = format!(
                "{name}: team {} uses {used} of {limit} cpus",
                self.team_names[j.team]
            );
            self.record_violation(now, "quota", what);
        }
        let others: Vec<usize> = self
            .locations
            .range((job, 0)..=(job, u32::MAX))
            .flat_map(|o| o.1)
            .map(|o| o.zone)
            .collect();
        let in_zone = others.iter().filter(|z| **z == zone).count() as u32;
        let wrong = if j.zone.is_some_and(|z| z != zone) {
            Some("in a zone that its job does not allow")
        } else if spot && !j.spot {
            Some("on a spot machine")
        } else if j.together && others.iter().any(|z| *z != zone) {
            Some("in another zone than its job's other tasks")
        } else if j.apart && in_zone > j.parts.div_ceil(2) {
            Some("in a zone that holds half of its job")
        } else {
            None
        };
        if let Some(why) = wrong {
            self.record_violation(
                now,
                "wrong_place",
                format!("{name} starts on m-{machine:06} {why}"),
            );
        }
        if j.waits_on.iter().any(|n| !users.jobs[*n].complete()) {
            let what = format!("{name} starts before all that its job needs is done");
            self.record_violation(now, "too_early", what);
        }
    }

    /// The task is not on that machine any more.
    pub fn task_left(&mut self, now: Micros, machine: usize, job: usize, part: u32) {
        let Some(here) = self.locations.get_mut(&(job, part)) else {
            return;
        };
        let Some(at) = here.iter().position(|o| o.machine == machine) else {
            return;
        };
        here.remove(at);
        if here.is_empty() {
            self.locations.remove(&(job, part));
        }
        let history = &mut self.histories[job];
        history.last_change = now;
        self.cores_in_use[history.team] -= history.cores;
    }

    pub fn task_ended(&mut self, now: Micros, job: usize, cause: &'static str, users: &Users) {
        *self.endings.entry(cause).or_default() += 1;
        if users.jobs[job].complete() {
            self.finished_at.entry(job).or_insert(now);
        }
    }

    pub fn end_acknowledged(&mut self, job: usize, part: u32, done: bool) {
        if done {
            self.histories[job].acknowledged_ends.insert(part);
        }
    }

    /// What a new leader was built from.
    pub fn leader_loaded(&mut self, now: Micros, built: LoadSource, adds_up: bool, fresh: bool) {
        let LoadSource {
            term,
            warm,
            revision: epoch,
            ..
        } = built;
        self.takeovers.push(warm);
        if !adds_up || !fresh {
            let why = if fresh {
                "differs from what is stored"
            } else {
                "is older than its take"
            };
            let what = format!("term {term}, warm {warm}: the copy at epoch {epoch} {why}");
            self.record_violation(now, "mirror_differs", what);
        }
    }

    pub fn rental_repeated(&mut self, now: Micros, hire: &str, same: bool) {
        if !same {
            self.record_violation(
                now,
                "hire_reused",
                format!("rental {hire} asks for something else"),
            );
        }
    }

    pub fn invalid_submission_answered(&mut self, now: Micros, status: u16) {
        if matches!(status, 200 | 201) {
            let what = "a submission that can't run or lacks a field is accepted".to_owned();
            self.record_violation(now, "unfit_accepted", what);
        }
    }

    /// Once a second: a job of which nothing runs could have a task begin now, by room and by quota, or not.
    pub fn update_waiting(&mut self, now: Micros, job: usize, could: bool, users: &Users) {
        let calm = now >= self.last_failure_end;
        let history = &mut self.histories[job];
        if !could || !calm || history.cancel_asked || history.cancellation_reported_at.is_some() {
            history.startable_since = None;
            return;
        }
        let since = *history.startable_since.get_or_insert(now);
        if now > since + WAIT_LIMIT && !history.left_waiting_recorded {
            history.left_waiting_recorded = true;
            let what = format!(
                "{} waits for 90 s beside room that fits",
                users.jobs[job].uid
            );
            self.record_violation(now, "left_waiting", what);
        }
    }

    pub fn unknown_job_answered(&mut self, now: Micros, status: u16) {
        if status == 200 {
            let what = "a job that nobody submitted is told to exist".to_owned();
            self.record_violation(now, "invented", what);
        }
    }

    /// Whether it, or a job that it needs, was told to be cancelled.
    pub fn cancellation_reported(&self, job: usize) -> bool {
        self.histories[job].cancellation_reported_at.is_some()
    }

    fn propagate_cancellation(&mut self, job: usize, at: Micros) {
        let mut all = vec![job];
        while let Some(j) = all.pop() {
            let history = &mut self.histories[j];
            if history.cancellation_reported_at.is_none_or(|d| at < d) {
                history.cancellation_reported_at = Some(at);
                all.extend(history.needed_by.iter().copied());
            }
        }
    }

    /// What a user was told; `sent` is when the request left.
    pub fn request_answered(
        &mut self,
        now: Micros,
        job: usize,
        step: UserAction,
        sent: Micros,
        answer: (u16, &str),
        users: &Users,
    ) {
        let (status, told) = answer;
        let j = &users.jobs[job];
        let name = &j.uid;
        let polls = matches!(step, UserAction::Poll | UserAction::LatePoll);
        let well = matches!(status, 200 | 201);
        if polls {
            self.polls += 1;
            self.polls_failed += u64::from(!well);
            self.recent_polls.push_back((now, well));
            while self
                .recent_polls
                .front()
                .is_some_and(|p| p.0 + WAIT_LIMIT < now)
            {
                self.recent_polls.pop_front();
            }
            if well {
                self.histories[job].polls_failing_since = None;
            } else {
                let since = *self.histories[job].polls_failing_since.get_or_insert(sent);
                let fine = self.recent_polls.iter().filter(|p| p.1).count();
                let alone = now > since + WAIT_LIMIT && 2 * fine > self.recent_polls.len();
                let calm = now > since.max(self.last_failure_end) + WAIT_LIMIT_AFTER_FAILURES;
                if alone || calm {
                    self.histories[job].polls_failing_since = Some(now);
                    let why = if alone {
                        "others were answered"
                    } else {
                        "all was well"
                    };
                    let what = format!("all polls for {name} failed for long while {why}");
                    self.record_violation(now, "forgotten", what);
                }
            }
        }
        let history = &self.histories[job];
        let known = history.acknowledged;
        if known && (status == 404 || (step == UserAction::Resubmit && matches!(status, 400 | 422)))
        {
            let what = format!("{name} was accepted and now gets {status}");
            self.record_violation(now, "forgotten", what);
        }
        if !well {
            return;
        }
        let history = &mut self.histories[job];
        history.acknowledged = true;
        // Only what was told before the request left must be kept to: answers overtake each other.
        let before = |at: Option<Micros>| at.is_some_and(|t| t <= sent);
        let was = if before(history.done_reported_at) {
            Some("done")
        } else if before(history.cancelled_reported_at) {
            Some("cancelled")
        } else {
            None
        };
        let (cancel_asked, cancellation_reported_at) =
            (history.cancel_asked, history.cancellation_reported_at);
        match told {
            "done" => {
                history.done_reported_at = history.done_reported_at.or(Some(now));
                self.told_at.entry(job).or_insert(now);
            }
            "cancelled" => {
                history.cancelled_reported_at = history.cancelled_reported_at.or(Some(now));
            }
            _ => {}
        }
        self.accepted_at.entry(job).or_insert(now);
        if told == "done" && !j.complete() {
            let what = format!("{name} is called done with {} of {}", j.done.len(), j.parts);
            self.record_violation(now, "not_done", what);
        }
        if told == "cancelled" {
            let needs_cancelled = cancellation_reported_at.is_some()
                || j.waits_on
                    .iter()
                    .any(|n| users.jobs[*n].may_be_cancelled() || self.histories[*n].cancel_asked)
                || self.dependency_cancel_requested(job, users);
            if !cancel_asked && !needs_cancelled {
                let what = format!("{name} is called cancelled, which its user did not ask for");
                self.record_violation(now, "went_back", what);
            }
            self.propagate_cancellation(job, now);
        }
        if let Some(was) = was
            && was != told
        {
            let what = format!("{name} was called {was} and now {told}");
            self.record_violation(now, "went_back", what);
        }
        let open = matches!(told, "pending" | "running");
        if open && polls && cancellation_reported_at.is_some_and(|d| sent > d + self.cancel_limit) {
            let what = format!("{name} is called {told} long after a job before it was cancelled");
            self.record_violation(now, "orphaned", what);
        }
    }

    /// Whether some job before it was asked to be cancelled, told or not.
    fn dependency_cancel_requested(&self, job: usize, users: &Users) -> bool {
        let mut all = users.jobs[job].waits_on.clone();
        while let Some(j) = all.pop() {
            if self.histories[j].cancel_asked {
                return true;
            }
            all.extend(users.jobs[j].waits_on.iter().copied());
        }
        false
    }

    /// Once a second: whether tasks of cancelled jobs are still on machines.
    pub fn find_late_stops(&mut self, now: Micros, users: &Users) {
        let cancel = self.cancel_limit;
        let mut late = Vec::new();
        for ((job, part), here) in &self.locations {
            let history = &self.histories[*job];
            let over = history
                .cancelled_reported_at
                .is_some_and(|t| now > t + cancel);
            if over && !history.late_stop_recorded {
                late.push((*job, *part, here[0].machine));
            }
        }
        for (job, part, machine) in late {
            self.histories[job].late_stop_recorded = true;
            let name = &users.jobs[job].uid;
            let what = format!("{name}/{part} is still on m-{machine:06} though it was cancelled");
            self.record_violation(now, "ran_cancelled", what);
        }
    }

    /// At the end of the day: what never ran. `idle` says that cores lay unused for a while.
    pub fn finish(&mut self, now: Micros, day: &Scenario, users: &Users, idle: bool) {
        if self.tasks_started == 0 {
            self.record_violation(now, "nothing_ran", "no task was started".to_owned());
        }
        // A job that waited for long while younger ones like it were done, and that could still
        // have room, was passed over.
        let like = |j: &Job| (j.class, j.team);
        let fair = |j: &Job| {
            let free = j.zone.is_none() && !j.together && !j.apart && j.waits_on.is_empty();
            free && !j.mistaken && !j.may_be_cancelled() && j.accepted.is_some()
        };
        let settled = micros(day.settle_s.max(30.0));
        let mut passed = Vec::new();
        for (n, j) in users.jobs.iter().enumerate() {
            let history = &self.histories[n];
            let limit = self.team_limits[j.team];
            let full = limit > 0.0 && self.cores_in_use[j.team] + history.cores > limit;
            if !idle
                || full
                || !fair(j)
                || j.complete()
                || self
                    .locations
                    .range((n, 0)..=(n, u32::MAX))
                    .next()
                    .is_some()
                || history.cancel_asked
                || history.cancellation_reported_at.is_some()
            {
                continue;
            }
            let since = j.accepted.unwrap_or(now).max(history.last_change);
            let younger = users
                .jobs
                .iter()
                .filter(|k| like(k) == like(j) && k.complete() && k.accepted > j.accepted);
            if since + settled < now && younger.count() >= 3 {
                passed.push(format!(
                    "{} has {} of {} done and runs nowhere; younger jobs like it are done",
                    j.uid,
                    j.done.len(),
                    j.parts
                ));
            }
        }
        for what in passed {
            self.record_violation(now, "left_behind", what);
        }
    }
}
