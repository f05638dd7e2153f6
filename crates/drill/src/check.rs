//! The rules, judged from what workers, users and cloud saw. Knows nothing of the service's inside:
//! neither its keys nor its terms.

use crate::day::Day;
use crate::users::{Job, Step, Users};
use crate::world::{Micros, SECOND, micros};
use dewramp::controller::LoadSource;
use dewramp::seeded_hash::{HashMap, HashSet};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The operators' rules by their names, and those after the line that follow from them.
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
pub struct Broken {
    pub count: u64,
    pub first: String,
}

/// A job's history.
#[derive(Default)]
struct Story {
    team: usize,
    cores: f64,
    cancel_asked: bool,
    told: bool,
    told_done: Option<Micros>,
    told_cancelled: Option<Micros>,
    /// When a job that it needs, or itself, was first told to be cancelled.
    doomed: Option<Micros>,
    needed_by: Vec<usize>,
    /// Polls fail since then.
    failing: Option<Micros>,
    began: BTreeSet<u32>,
    /// When a task of it last began, or left a machine.
    moved: Micros,
    reaped: BTreeSet<u32>,
    blamed: bool,
    /// Since when nothing of it runs though something could, and whether that was told.
    idle_since: Option<Micros>,
    left: bool,
}

/// A task on a machine.
struct On {
    machine: usize,
    zone: usize,
}

pub struct Checker {
    pub broken: BTreeMap<&'static str, Broken>,
    stories: Vec<Story>,
    on: BTreeMap<(usize, u32), Vec<On>>,
    used: Vec<f64>,
    limits: Vec<f64>,
    names: Vec<String>,
    attempts: HashSet<(usize, u32, u64)>,
    /// The outcome of the polls of the last 90 s.
    polls: VecDeque<(Micros, bool)>,
    cancel: Micros,
    /// When the last trouble of the day is over.
    calm_from: Micros,
    pub starts: u64,
    pub killed_by_lease: u64,
    /// Endings by cause.
    pub causes: BTreeMap<&'static str, u64>,
    /// Seconds from submission to the first start, by class; and how many tasks each has.
    pub waits: HashMap<usize, Vec<f64>>,
    pub finished: HashMap<usize, Micros>,
    pub told_at: HashMap<usize, Micros>,
    pub accepted: HashMap<usize, Micros>,
    pub polled: u64,
    pub polls_failed: u64,
    /// Takeovers, and whether each was warm.
    pub takeovers: Vec<bool>,
}

const EPS: f64 = 1e-6;
const PATIENCE: Micros = 90 * SECOND;
/// Once all troubles are over a job that is not answered for so long is forgotten, however others fare.
const CALM_PATIENCE: Micros = 75 * SECOND;

impl Checker {
    pub fn new(day: &Day) -> Self {
        Self {
            broken: BTreeMap::new(),
            stories: Vec::new(),
            on: BTreeMap::new(),
            used: vec![0.0; day.teams.len()],
            limits: day.teams.iter().map(|t| t.cpus_max).collect(),
            names: day.teams.iter().map(|t| t.name.clone()).collect(),
            attempts: HashSet::default(),
            polls: VecDeque::new(),
            cancel: micros(day.fleet.cancel_s),
            calm_from: micros(day.calm_from_s()),
            starts: 0,
            killed_by_lease: 0,
            causes: BTreeMap::new(),
            waits: HashMap::default(),
            finished: HashMap::default(),
            told_at: HashMap::default(),
            accepted: HashMap::default(),
            polled: 0,
            polls_failed: 0,
            takeovers: Vec::new(),
        }
    }

    fn breaks(&mut self, now: Micros, rule: &'static str, what: String) {
        let entry = self.broken.entry(rule).or_insert_with(|| Broken {
            count: 0,
            first: format!("{:.3} s: {what}", now as f64 / 1e6),
        });
        entry.count += 1;
    }

    /// A job that will be submitted.
    pub fn knows(&mut self, job: &Job, day: &Day) {
        let n = self.stories.len();
        for need in &job.waits_on {
            self.stories[*need].needed_by.push(n);
        }
        let doomed = job
            .waits_on
            .iter()
            .filter_map(|j| self.stories[*j].doomed)
            .min();
        self.stories.push(Story {
            team: job.team,
            cores: day.classes[job.class].cores,
            doomed,
            ..Story::default()
        });
    }

    pub fn asks_to_cancel(&mut self, job: usize) {
        self.stories[job].cancel_asked = true;
    }

    /// A start was executed: the task is new on that machine.
    pub fn ordered(&mut self, now: Micros, machine: usize, key: (usize, u32, u64)) {
        let (job, part, attempt) = key;
        if !self.attempts.insert(key) {
            let what = format!("job {job}/{part} try {attempt} starts again on m-{machine:06}");
            self.breaks(now, "attempt_reused", what);
        }
        let story = &self.stories[job];
        if story.reaped.contains(&part) && !story.cancel_asked {
            let what =
                format!("job {job}/{part} starts on m-{machine:06} after its end was reaped");
            self.breaks(now, "reaped_early", what);
        }
    }

    pub fn start_refused(&mut self, cause: &'static str) {
        *self.causes.entry(cause).or_default() += 1;
    }

    /// A task has its image: from now on it is on its machine, at (machine, zone, spot).
    pub fn begins(
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
        self.starts += 1;
        let here = self.on.entry((job, part)).or_default();
        let other = here
            .iter()
            .find(|o| o.machine != machine)
            .map(|o| o.machine);
        here.push(On { machine, zone });
        if let Some(other) = other {
            let what = format!("{name} starts on m-{machine:06} while it is on m-{other:06}");
            self.breaks(now, "ran_twice", what);
        }
        let story = &mut self.stories[job];
        story.moved = now;
        if story.began.insert(part)
            && let Some(submitted) = j.submitted
        {
            let wait = now.saturating_sub(submitted) as f64 / 1e6;
            self.waits.entry(job).or_default().push(wait);
        }
        let cores = story.cores;
        let dead = |at: Option<Micros>| at.is_some_and(|t| now > t + self.cancel);
        if dead(story.told_cancelled) {
            let what = format!("{name} starts on m-{machine:06} though it was cancelled");
            self.breaks(now, "ran_cancelled", what);
        }
        let used = &mut self.used[j.team];
        *used += cores;
        let (used, limit) = (*used, self.limits[j.team]);
        if limit > 0.0 && used > limit + EPS {
            let what = format!(
                "{name}: team {} uses {used} of {limit} cpus",
                self.names[j.team]
            );
            self.breaks(now, "quota", what);
        }
        let others: Vec<usize> = self
            .on
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
            self.breaks(
                now,
                "wrong_place",
                format!("{name} starts on m-{machine:06} {why}"),
            );
        }
        if j.waits_on.iter().any(|n| !users.jobs[*n].complete()) {
            let what = format!("{name} starts before all that its job needs is done");
            self.breaks(now, "too_early", what);
        }
    }

    /// The task is not on that machine any more.
    pub fn left(&mut self, now: Micros, machine: usize, job: usize, part: u32) {
        let Some(here) = self.on.get_mut(&(job, part)) else {
            return;
        };
        let Some(at) = here.iter().position(|o| o.machine == machine) else {
            return;
        };
        here.remove(at);
        if here.is_empty() {
            self.on.remove(&(job, part));
        }
        let story = &mut self.stories[job];
        story.moved = now;
        self.used[story.team] -= story.cores;
    }

    pub fn ended(&mut self, now: Micros, job: usize, cause: &'static str, users: &Users) {
        *self.causes.entry(cause).or_default() += 1;
        if users.jobs[job].complete() {
            self.finished.entry(job).or_insert(now);
        }
    }

    pub fn reaped(&mut self, job: usize, part: u32, done: bool) {
        if done {
            self.stories[job].reaped.insert(part);
        }
    }

    /// What a new leader was built from.
    pub fn built(&mut self, now: Micros, built: LoadSource, adds_up: bool, fresh: bool) {
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
            self.breaks(now, "mirror_differs", what);
        }
    }

    pub fn hired_again(&mut self, now: Micros, hire: &str, same: bool) {
        if !same {
            self.breaks(
                now,
                "hire_reused",
                format!("rental {hire} asks for something else"),
            );
        }
    }

    pub fn odd_told(&mut self, now: Micros, status: u16) {
        if matches!(status, 200 | 201) {
            let what = "a submission that can't run or lacks a field is accepted".to_owned();
            self.breaks(now, "unfit_accepted", what);
        }
    }

    /// Once a second: a job of which nothing runs could have a task begin now, by room and by quota, or not.
    pub fn could_begin(&mut self, now: Micros, job: usize, could: bool, users: &Users) {
        let calm = now >= self.calm_from;
        let story = &mut self.stories[job];
        if !could || !calm || story.cancel_asked || story.doomed.is_some() {
            story.idle_since = None;
            return;
        }
        let since = *story.idle_since.get_or_insert(now);
        if now > since + PATIENCE && !story.left {
            story.left = true;
            let what = format!(
                "{} waits for 90 s beside room that fits",
                users.jobs[job].uid
            );
            self.breaks(now, "left_waiting", what);
        }
    }

    pub fn stranger_told(&mut self, now: Micros, status: u16) {
        if status == 200 {
            let what = "a job that nobody submitted is told to exist".to_owned();
            self.breaks(now, "invented", what);
        }
    }

    /// Whether it, or a job that it needs, was told to be cancelled.
    pub fn is_doomed(&self, job: usize) -> bool {
        self.stories[job].doomed.is_some()
    }

    fn doom(&mut self, job: usize, at: Micros) {
        let mut all = vec![job];
        while let Some(j) = all.pop() {
            let story = &mut self.stories[j];
            if story.doomed.is_none_or(|d| at < d) {
                story.doomed = Some(at);
                all.extend(story.needed_by.iter().copied());
            }
        }
    }

    /// What a user was told; `sent` is when the request left.
    pub fn answered(
        &mut self,
        now: Micros,
        job: usize,
        step: Step,
        sent: Micros,
        answer: (u16, &str),
        users: &Users,
    ) {
        let (status, told) = answer;
        let j = &users.jobs[job];
        let name = &j.uid;
        let polls = matches!(step, Step::Poll | Step::Late);
        let well = matches!(status, 200 | 201);
        if polls {
            self.polled += 1;
            self.polls_failed += u64::from(!well);
            self.polls.push_back((now, well));
            while self.polls.front().is_some_and(|p| p.0 + PATIENCE < now) {
                self.polls.pop_front();
            }
            if well {
                self.stories[job].failing = None;
            } else {
                let since = *self.stories[job].failing.get_or_insert(sent);
                let fine = self.polls.iter().filter(|p| p.1).count();
                let alone = now > since + PATIENCE && 2 * fine > self.polls.len();
                let calm = now > since.max(self.calm_from) + CALM_PATIENCE;
                if alone || calm {
                    self.stories[job].failing = Some(now);
                    let why = if alone {
                        "others were answered"
                    } else {
                        "all was well"
                    };
                    let what = format!("all polls for {name} failed for long while {why}");
                    self.breaks(now, "forgotten", what);
                }
            }
        }
        let story = &self.stories[job];
        let known = story.told;
        if known && (status == 404 || (step == Step::Again && matches!(status, 400 | 422))) {
            let what = format!("{name} was accepted and now gets {status}");
            self.breaks(now, "forgotten", what);
        }
        if !well {
            return;
        }
        let story = &mut self.stories[job];
        story.told = true;
        // Only what was told before the request left must be kept to: answers overtake each other.
        let before = |at: Option<Micros>| at.is_some_and(|t| t <= sent);
        let was = if before(story.told_done) {
            Some("done")
        } else if before(story.told_cancelled) {
            Some("cancelled")
        } else {
            None
        };
        let (cancel_asked, doomed) = (story.cancel_asked, story.doomed);
        match told {
            "done" => {
                story.told_done = story.told_done.or(Some(now));
                self.told_at.entry(job).or_insert(now);
            }
            "cancelled" => {
                story.told_cancelled = story.told_cancelled.or(Some(now));
            }
            _ => {}
        }
        self.accepted.entry(job).or_insert(now);
        if told == "done" && !j.complete() {
            let what = format!("{name} is called done with {} of {}", j.done.len(), j.parts);
            self.breaks(now, "not_done", what);
        }
        if told == "cancelled" {
            let needs_cancelled = doomed.is_some()
                || j.waits_on
                    .iter()
                    .any(|n| users.jobs[*n].cancels() || self.stories[*n].cancel_asked)
                || self.may_be_doomed(job, users);
            if !cancel_asked && !needs_cancelled {
                let what = format!("{name} is called cancelled, which its user did not ask for");
                self.breaks(now, "went_back", what);
            }
            self.doom(job, now);
        }
        if let Some(was) = was
            && was != told
        {
            let what = format!("{name} was called {was} and now {told}");
            self.breaks(now, "went_back", what);
        }
        let open = matches!(told, "pending" | "running");
        if open && polls && doomed.is_some_and(|d| sent > d + self.cancel) {
            let what = format!("{name} is called {told} long after a job before it was cancelled");
            self.breaks(now, "orphaned", what);
        }
    }

    /// Whether some job before it was asked to be cancelled, told or not.
    fn may_be_doomed(&self, job: usize, users: &Users) -> bool {
        let mut all = users.jobs[job].waits_on.clone();
        while let Some(j) = all.pop() {
            if self.stories[j].cancel_asked {
                return true;
            }
            all.extend(users.jobs[j].waits_on.iter().copied());
        }
        false
    }

    /// Once a second: whether tasks of cancelled jobs are still on machines.
    pub fn sweep(&mut self, now: Micros, users: &Users) {
        let cancel = self.cancel;
        let mut late = Vec::new();
        for ((job, part), here) in &self.on {
            let story = &self.stories[*job];
            let over = story.told_cancelled.is_some_and(|t| now > t + cancel);
            if over && !story.blamed {
                late.push((*job, *part, here[0].machine));
            }
        }
        for (job, part, machine) in late {
            self.stories[job].blamed = true;
            let name = &users.jobs[job].uid;
            let what = format!("{name}/{part} is still on m-{machine:06} though it was cancelled");
            self.breaks(now, "ran_cancelled", what);
        }
    }

    /// At the end of the day: what never ran. `idle` says that cores lay unused for a while.
    pub fn finish(&mut self, now: Micros, day: &Day, users: &Users, idle: bool) {
        if self.starts == 0 {
            self.breaks(now, "nothing_ran", "no task was started".to_owned());
        }
        // A job that waited for long while younger ones like it were done, and that could still
        // have room, was passed over.
        let like = |j: &Job| (j.class, j.team);
        let fair = |j: &Job| {
            let free = j.zone.is_none() && !j.together && !j.apart && j.waits_on.is_empty();
            free && !j.mistaken && !j.cancels() && j.accepted.is_some()
        };
        let settled = micros(day.settle_s.max(30.0));
        let mut passed = Vec::new();
        for (n, j) in users.jobs.iter().enumerate() {
            let story = &self.stories[n];
            let limit = self.limits[j.team];
            let full = limit > 0.0 && self.used[j.team] + story.cores > limit;
            if !idle
                || full
                || !fair(j)
                || j.complete()
                || self.on.range((n, 0)..=(n, u32::MAX)).next().is_some()
                || story.cancel_asked
                || story.doomed.is_some()
            {
                continue;
            }
            let since = j.accepted.unwrap_or(now).max(story.moved);
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
            self.breaks(now, "left_behind", what);
        }
    }
}
