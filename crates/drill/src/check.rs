//! Checks the rules of the service against what workers, users and the cloud observe. The checker knows
//! nothing of the service's internals: neither its stored keys nor its terms.

use crate::scenario::Scenario;
use crate::users::{Job, UserAction, Users};
use crate::world::{Micros, SECOND, micros};
use dewramp::controller::LoadSource;
use dewramp::seeded_hash::{HashMap, HashSet};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The names of all rules: first those that the operators published, then those derived from them.
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
    // The derived rules start here. An attempt number is started once; the name of a rental stands for one
    // request; a task whose successful end was acknowledged is not started again; no accepted job waits forever
    // while later ones like it finish.
    "attempt_reused",
    "hire_reused",
    "reaped_early",
    "left_behind",
    // A new leader's state equals what is stored, as of a revision not older than its own election.
    "mirror_differs",
    // A submission that can't run or lacks a field is never accepted; once all faults are over, no job waits for
    // 90 s while a machine that fits has room and its team is under its limit.
    "unfit_accepted",
    "left_waiting",
];

/// The violations of one rule: how many there were, and when and how the first one came about.
#[derive(Clone, Debug, Serialize)]
pub struct RuleViolations {
    pub count: u64,
    pub first: String,
}

/// What was observed of one job.
#[derive(Default)]
struct JobHistory {
    team: usize,
    cores: f64,
    /// A user has sent a cancellation of it.
    cancel_asked: bool,
    /// Its submission was answered with success.
    acknowledged: bool,
    /// When a user was first told that it is done, or cancelled.
    done_reported_at: Option<Micros>,
    cancelled_reported_at: Option<Micros>,
    /// When a user was first told that this job, or one that it depends on, is cancelled.
    cancellation_reported_at: Option<Micros>,
    /// The jobs that depend on this one directly.
    needed_by: Vec<usize>,
    /// When the first of an unbroken series of failed polls was sent.
    polls_failing_since: Option<Micros>,
    started_tasks: BTreeSet<u32>,
    /// When a task of this job last started on a machine or left one.
    last_change: Micros,
    /// Tasks whose successful end the leader acknowledged to the worker.
    acknowledged_ends: BTreeSet<u32>,
    late_stop_recorded: bool,
    /// Since when no task of it is on a machine although one could start.
    startable_since: Option<Micros>,
    left_waiting_recorded: bool,
}

/// A machine that a task is on.
struct TaskLocation {
    machine: usize,
    zone: usize,
}

/// Receives each observation, in order of time, and records the violations.
pub struct Checker {
    pub violations: BTreeMap<&'static str, RuleViolations>,
    histories: Vec<JobHistory>,
    /// By job and task. More than one entry is a task that runs twice.
    locations: BTreeMap<(usize, u32), Vec<TaskLocation>>,
    /// Cores of the tasks on machines, and the limit (0: none), by team.
    cores_in_use: Vec<f64>,
    team_limits: Vec<f64>,
    team_names: Vec<String>,
    /// Each job, task and attempt that was started.
    attempts: HashSet<(usize, u32, u64)>,
    /// When each poll of the last 90 s was answered, and whether it succeeded.
    recent_polls: VecDeque<(Micros, bool)>,
    /// Within this time of the report that a job is cancelled, its tasks must have left their machines.
    cancel_limit: Micros,
    /// When the last fault of the scenario is over.
    last_fault_end: Micros,
    pub tasks_started: u64,
    pub killed_by_lease: u64,
    /// Number of task ends and refused starts, by cause.
    pub endings: BTreeMap<&'static str, u64>,
    /// By job: for each task that started, the seconds from submission to its first start.
    pub start_delays_s: HashMap<usize, Vec<f64>>,
    pub finished_at: HashMap<usize, Micros>,
    /// By job: when its user was first told that it is done.
    pub done_told_at: HashMap<usize, Micros>,
    pub accepted_at: HashMap<usize, Micros>,
    pub polls: u64,
    pub polls_failed: u64,
    /// One entry for each takeover: whether the new leader started from a warm replica.
    pub takeovers: Vec<bool>,
}

/// Rounding tolerance for sums of cores.
const CORES_EPSILON: f64 = 1e-6;
/// For how long polls for a job may fail while others succeed, and a job may wait beside free capacity.
const WAIT_LIMIT: Micros = 90 * SECOND;
/// Once all faults are over, a job whose polls fail for this long counts as forgotten, even if no poll succeeds.
const WAIT_LIMIT_AFTER_FAULTS: Micros = 75 * SECOND;

impl Checker {
    pub fn new(scenario: &Scenario) -> Self {
        Self {
            violations: BTreeMap::new(),
            histories: Vec::new(),
            locations: BTreeMap::new(),
            cores_in_use: vec![0.0; scenario.teams.len()],
            team_limits: scenario.teams.iter().map(|t| t.cpus_max).collect(),
            team_names: scenario.teams.iter().map(|t| t.name.clone()).collect(),
            attempts: HashSet::default(),
            recent_polls: VecDeque::new(),
            cancel_limit: micros(scenario.fleet.cancel_s),
            last_fault_end: micros(scenario.last_fault_end_s()),
            tasks_started: 0,
            killed_by_lease: 0,
            endings: BTreeMap::new(),
            start_delays_s: HashMap::default(),
            finished_at: HashMap::default(),
            done_told_at: HashMap::default(),
            accepted_at: HashMap::default(),
            polls: 0,
            polls_failed: 0,
            takeovers: Vec::new(),
        }
    }

    fn record_violation(&mut self, now: Micros, rule: &'static str, description: String) {
        let entry = self
            .violations
            .entry(rule)
            .or_insert_with(|| RuleViolations {
                count: 0,
                first: format!("{:.3} s: {description}", now as f64 / 1e6),
            });
        entry.count += 1;
    }

    /// Registers a job that a user is about to submit.
    pub fn register_job(&mut self, job: &Job, scenario: &Scenario) {
        let n = self.histories.len();
        for dependency in &job.waits_on {
            self.histories[*dependency].needed_by.push(n);
        }
        let cancellation_reported_at = job
            .waits_on
            .iter()
            .filter_map(|j| self.histories[*j].cancellation_reported_at)
            .min();
        self.histories.push(JobHistory {
            team: job.team,
            cores: scenario.classes[job.class].cores,
            cancellation_reported_at,
            ..JobHistory::default()
        });
    }

    /// A user sends a cancellation of the job.
    pub fn cancel_requested(&mut self, job: usize) {
        self.histories[job].cancel_asked = true;
    }

    /// A worker executes a start command: the task is new on that machine.
    pub fn start_executed(&mut self, now: Micros, machine: usize, key: (usize, u32, u64)) {
        let (job, part, attempt) = key;
        if !self.attempts.insert(key) {
            let description =
                format!("job {job}/{part}: attempt {attempt} is started again on m-{machine:06}");
            self.record_violation(now, "attempt_reused", description);
        }
        let history = &self.histories[job];
        if history.acknowledged_ends.contains(&part) && !history.cancel_asked {
            let description = format!(
                "job {job}/{part} starts on m-{machine:06} after its successful end was acknowledged"
            );
            self.record_violation(now, "reaped_early", description);
        }
    }

    /// A worker refuses a start command.
    pub fn start_refused(&mut self, cause: &'static str) {
        *self.endings.entry(cause).or_default() += 1;
    }

    /// A task's image is fetched and the task runs: from now on it is on its machine. `place` is the machine, its
    /// zone, and whether it is a spot machine.
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
        let on_machines = self.locations.entry((job, part)).or_default();
        let other = on_machines
            .iter()
            .find(|o| o.machine != machine)
            .map(|o| o.machine);
        on_machines.push(TaskLocation { machine, zone });
        if let Some(other) = other {
            let description =
                format!("{name} starts on m-{machine:06} while it is on m-{other:06}");
            self.record_violation(now, "ran_twice", description);
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
        let past_cancel_limit =
            |at: Option<Micros>| at.is_some_and(|t| now > t + self.cancel_limit);
        if past_cancel_limit(history.cancelled_reported_at) {
            let description =
                format!("{name} starts on m-{machine:06} although its job was cancelled");
            self.record_violation(now, "ran_cancelled", description);
        }
        let used = &mut self.cores_in_use[j.team];
        *used += cores;
        let (used, limit) = (*used, self.team_limits[j.team]);
        if limit > 0.0 && used > limit + CORES_EPSILON {
            let description = format!(
                "{name}: team {} uses {used} of {limit} cpus",
                self.team_names[j.team]
            );
            self.record_violation(now, "quota", description);
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
            Some("in a zone that then holds more than half of its job")
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
            let description =
                format!("{name} starts before all jobs that its job depends on are done");
            self.record_violation(now, "too_early", description);
        }
    }

    /// The task is no longer on that machine.
    pub fn task_left(&mut self, now: Micros, machine: usize, job: usize, part: u32) {
        let Some(on_machines) = self.locations.get_mut(&(job, part)) else {
            return;
        };
        let Some(at) = on_machines.iter().position(|o| o.machine == machine) else {
            return;
        };
        on_machines.remove(at);
        if on_machines.is_empty() {
            self.locations.remove(&(job, part));
        }
        let history = &mut self.histories[job];
        history.last_change = now;
        self.cores_in_use[history.team] -= history.cores;
    }

    /// A task ends on its machine; `cause` is the one that the worker reports.
    pub fn task_ended(&mut self, now: Micros, job: usize, cause: &'static str, users: &Users) {
        *self.endings.entry(cause).or_default() += 1;
        if users.jobs[job].complete() {
            self.finished_at.entry(job).or_insert(now);
        }
    }

    /// The leader acknowledges the end of a task, after which the worker forgets it.
    pub fn end_acknowledged(&mut self, job: usize, part: u32, done: bool) {
        if done {
            self.histories[job].acknowledged_ends.insert(part);
        }
    }

    /// A new leader has loaded its state. `matches_store` says that the state equals what is stored at that revision,
    /// `fresh` that the revision is not older than the leader's election.
    pub fn leader_loaded(
        &mut self,
        now: Micros,
        source: LoadSource,
        matches_store: bool,
        fresh: bool,
    ) {
        let LoadSource {
            term,
            warm,
            revision,
            ..
        } = source;
        self.takeovers.push(warm);
        if !matches_store || !fresh {
            let why = if fresh {
                "differs from what is stored"
            } else {
                "is older than its election"
            };
            let description =
                format!("term {term}, warm {warm}: the loaded state at revision {revision} {why}");
            self.record_violation(now, "mirror_differs", description);
        }
    }

    /// The cloud receives a rental under a name that it knows; `same` says that the request is the same.
    pub fn rental_repeated(&mut self, now: Micros, rental: &str, same: bool) {
        if !same {
            self.record_violation(
                now,
                "hire_reused",
                format!("rental {rental} was used before for another request"),
            );
        }
    }

    /// A submission that can't run or lacks a field is answered.
    pub fn invalid_submission_answered(&mut self, now: Micros, status: u16) {
        if matches!(status, 200 | 201) {
            let description = "a submission that can't run or lacks a field is accepted".to_owned();
            self.record_violation(now, "unfit_accepted", description);
        }
    }

    /// Called once a second for each job: whether the job has no task on a machine although one could start now, by
    /// free capacity and quota.
    pub fn update_waiting(&mut self, now: Micros, job: usize, startable: bool, users: &Users) {
        let faults_over = now >= self.last_fault_end;
        let history = &mut self.histories[job];
        if !startable
            || !faults_over
            || history.cancel_asked
            || history.cancellation_reported_at.is_some()
        {
            history.startable_since = None;
            return;
        }
        let since = *history.startable_since.get_or_insert(now);
        if now > since + WAIT_LIMIT && !history.left_waiting_recorded {
            history.left_waiting_recorded = true;
            let description = format!(
                "{} has waited for 90 s although a machine that fits has room",
                users.jobs[job].uid
            );
            self.record_violation(now, "left_waiting", description);
        }
    }

    /// A poll for a job that nobody submitted is answered.
    pub fn unknown_job_answered(&mut self, now: Micros, status: u16) {
        if status == 200 {
            let description = "a job that nobody submitted is reported to exist".to_owned();
            self.record_violation(now, "invented", description);
        }
    }

    /// Whether a user was told that this job, or one that it depends on, is cancelled.
    pub fn cancellation_reported(&self, job: usize) -> bool {
        self.histories[job].cancellation_reported_at.is_some()
    }

    /// Notes the cancellation of a job in it and in all that depend on it, directly or not.
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

    /// A user's request is answered with an HTTP status and the job status in the body, if there is one. `sent` is
    /// when the request left.
    pub fn request_answered(
        &mut self,
        now: Micros,
        job: usize,
        action: UserAction,
        sent: Micros,
        answer: (u16, &str),
        users: &Users,
    ) {
        let (status, job_status) = answer;
        let j = &users.jobs[job];
        let name = &j.uid;
        let polls = matches!(action, UserAction::Poll | UserAction::LatePoll);
        let succeeded = matches!(status, 200 | 201);
        if polls {
            self.polls += 1;
            self.polls_failed += u64::from(!succeeded);
            self.recent_polls.push_back((now, succeeded));
            while self
                .recent_polls
                .front()
                .is_some_and(|p| p.0 + WAIT_LIMIT < now)
            {
                self.recent_polls.pop_front();
            }
            if succeeded {
                self.histories[job].polls_failing_since = None;
            } else {
                let since = *self.histories[job].polls_failing_since.get_or_insert(sent);
                let successes = self.recent_polls.iter().filter(|p| p.1).count();
                let others_succeed =
                    now > since + WAIT_LIMIT && 2 * successes > self.recent_polls.len();
                let faults_over = now > since.max(self.last_fault_end) + WAIT_LIMIT_AFTER_FAULTS;
                if others_succeed || faults_over {
                    self.histories[job].polls_failing_since = Some(now);
                    let why = if others_succeed {
                        "others were answered"
                    } else {
                        "no fault was active"
                    };
                    let description =
                        format!("all polls for {name} failed for too long while {why}");
                    self.record_violation(now, "forgotten", description);
                }
            }
        }
        let history = &self.histories[job];
        let known = history.acknowledged;
        if known
            && (status == 404 || (action == UserAction::Resubmit && matches!(status, 400 | 422)))
        {
            let description = format!("{name} was accepted and now gets {status}");
            self.record_violation(now, "forgotten", description);
        }
        if !succeeded {
            return;
        }
        let history = &mut self.histories[job];
        history.acknowledged = true;
        // An answer must agree only with those that arrived before its request left: answers overtake each other.
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
        match job_status {
            "done" => {
                history.done_reported_at = history.done_reported_at.or(Some(now));
                self.done_told_at.entry(job).or_insert(now);
            }
            "cancelled" => {
                history.cancelled_reported_at = history.cancelled_reported_at.or(Some(now));
            }
            _ => {}
        }
        self.accepted_at.entry(job).or_insert(now);
        if job_status == "done" && !j.complete() {
            let description = format!(
                "{name} is reported done with {} of {} tasks completed",
                j.done.len(),
                j.parts
            );
            self.record_violation(now, "not_done", description);
        }
        if job_status == "cancelled" {
            let dependency_may_be_cancelled = cancellation_reported_at.is_some()
                || j.waits_on
                    .iter()
                    .any(|n| users.jobs[*n].may_be_cancelled() || self.histories[*n].cancel_asked)
                || self.dependency_cancel_requested(job, users);
            if !cancel_asked && !dependency_may_be_cancelled {
                let description =
                    format!("{name} is reported cancelled, which its user did not ask for");
                self.record_violation(now, "went_back", description);
            }
            self.propagate_cancellation(job, now);
        }
        if let Some(was) = was
            && was != job_status
        {
            let description = format!("{name} was reported {was} and is now reported {job_status}");
            self.record_violation(now, "went_back", description);
        }
        let open = matches!(job_status, "pending" | "running");
        if open && cancellation_reported_at.is_some_and(|d| sent > d + self.cancel_limit) {
            let description = format!(
                "{name} is reported {job_status} long after a job that it depends on was cancelled"
            );
            self.record_violation(now, "orphaned", description);
        }
    }

    /// Whether the cancellation of a job that this one depends on, directly or not, was requested, whatever its user
    /// was answered.
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

    /// Called once a second: finds tasks that are still on machines too long after their job was cancelled.
    pub fn find_late_stops(&mut self, now: Micros, users: &Users) {
        let cancel = self.cancel_limit;
        let mut late = Vec::new();
        for ((job, part), on_machines) in &self.locations {
            let history = &self.histories[*job];
            let over = history
                .cancelled_reported_at
                .is_some_and(|t| now > t + cancel);
            if over && !history.late_stop_recorded {
                late.push((*job, *part, on_machines[0].machine));
            }
        }
        for (job, part, machine) in late {
            self.histories[job].late_stop_recorded = true;
            let name = &users.jobs[job].uid;
            let description =
                format!("{name}/{part} is still on m-{machine:06} although its job was cancelled");
            self.record_violation(now, "ran_cancelled", description);
        }
    }

    /// Called at the end of the run: finds what never ran. `idle` says that cores were unused for a while.
    pub fn finish(&mut self, now: Micros, scenario: &Scenario, users: &Users, idle: bool) {
        if self.tasks_started == 0 {
            self.record_violation(now, "nothing_ran", "no task was started".to_owned());
        }
        // A job was passed over if it waited for long, although there was room for it, while later jobs of its
        // class and team finished.
        let class_and_team = |j: &Job| (j.class, j.team);
        let comparable = |j: &Job| {
            let unconstrained =
                j.zone.is_none() && !j.together && !j.apart && j.waits_on.is_empty();
            unconstrained && !j.mistaken && !j.may_be_cancelled() && j.accepted.is_some()
        };
        let settled = micros(scenario.settle_s.max(30.0));
        let mut passed_over = Vec::new();
        for (n, j) in users.jobs.iter().enumerate() {
            let history = &self.histories[n];
            let limit = self.team_limits[j.team];
            let full = limit > 0.0 && self.cores_in_use[j.team] + history.cores > limit;
            if !idle
                || full
                || !comparable(j)
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
            let later = users.jobs.iter().filter(|k| {
                class_and_team(k) == class_and_team(j) && k.complete() && k.accepted > j.accepted
            });
            if since + settled < now && later.count() >= 3 {
                passed_over.push(format!(
                    "{} has {} of {} tasks done and none running; later jobs of its class and team are done",
                    j.uid,
                    j.done.len(),
                    j.parts
                ));
            }
        }
        for description in passed_over {
            self.record_violation(now, "left_behind", description);
        }
    }
}
