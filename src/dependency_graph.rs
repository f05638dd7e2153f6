//! Jobs that wait for others: who depends on whom, which dependencies' outcomes have yet to be read, and which
//! priority and deadline a dependency inherits from its dependents.
//!
//! Owns the edges between waiting jobs and their unmet dependencies for one leader term. Does no I/O: it names
//! the outcomes to be read, and takes what was read. What is held about a finished job has always been read
//! from the key-value store, or written there by this leader.
//!
//! Invariants at the door: a job is in the graph exactly while it has an unmet dependency; each outcome is in
//! flight at most once.

use crate::clock::{Micros, SECOND, from_secs};
use crate::jobs::{Job, JobTable};
use crate::seeded_hash::{HashMap, HashSet};
use crate::wire::{JobSpec, Priority};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// How long after an unreadable or missing final state it is read again.
const OUTCOME_RETRY_INTERVAL: Micros = SECOND;
/// The most final states that are read at a time.
const OUTCOME_READS_MAX: usize = 16;
/// What a job takes beside the run time of its tasks: starts, heartbeats, saving its end.
const JOB_OVERHEAD: Micros = SECOND;
/// Inheritance stops after this many edges. Only accepted jobs can be named as dependencies, so there are no
/// cycles, unless a stored value says otherwise.
const PROPAGATION_STEPS_MAX: usize = 10_000;
/// The same for each waiting job, where many wait.
const PROPAGATION_STEPS_PER_JOB: usize = 16;

#[derive(Default)]
struct WaitingJob {
    unmet: BTreeSet<Arc<str>>,
    /// Time of day of its acceptance, or of the latest known end of its dependencies if that is later.
    ready_at: Micros,
}

/// The waiting jobs and their dependencies.
#[derive(Default)]
pub struct DependencyGraph {
    waiting: HashMap<Arc<str>, WaitingJob>,
    /// By dependency, the jobs that still wait for it.
    dependents_by_job: HashMap<Arc<str>, BTreeSet<Arc<str>>>,
    /// Dependencies that may be finished: their outcomes are to be read, not before that time.
    outcomes_to_read: BTreeMap<Arc<str>, Micros>,
    outcomes_in_flight: HashSet<Arc<str>>,
}

impl DependencyGraph {
    /// Adds a job that waits for its dependencies, accepted at this time of day. `is_live` says which of them
    /// are certainly not finished; the outcomes of the others are to be read.
    pub fn add(&mut self, spec: &JobSpec, accepted_at: Micros, is_live: impl Fn(&str) -> bool) {
        let unmet: BTreeSet<_> = spec.waits_on.iter().cloned().collect();
        for dependency in &unmet {
            let dependents = self.dependents_by_job.entry(dependency.clone());
            dependents.or_default().insert(spec.uid.clone());
            if !is_live(dependency) && !self.outcomes_in_flight.contains(dependency) {
                self.outcomes_to_read.insert(dependency.clone(), 0);
            }
        }
        let waiting = WaitingJob {
            unmet,
            ready_at: accepted_at,
        };
        self.waiting.insert(spec.uid.clone(), waiting);
    }

    /// Has a job's outcome read, since it may be finished, if any job depends on it.
    pub fn request_outcome(&mut self, uid: &Arc<str>) {
        if self.has_dependents(uid) && !self.outcomes_in_flight.contains(uid) {
            self.outcomes_to_read.insert(uid.clone(), 0);
        }
    }

    /// Hands out the dependencies whose outcomes are to be read now; they count as in flight.
    pub fn take_outcomes_to_read(&mut self, now: Micros) -> Vec<Arc<str>> {
        let reads_left = OUTCOME_READS_MAX.saturating_sub(self.outcomes_in_flight.len());
        let due = self
            .outcomes_to_read
            .iter()
            .filter(|(_, not_before)| **not_before <= now);
        let due: Vec<Arc<str>> = due.take(reads_left).map(|(uid, _)| uid.clone()).collect();
        for uid in &due {
            self.outcomes_to_read.remove(uid);
            self.outcomes_in_flight.insert(uid.clone());
        }
        due
    }

    /// Whether any outcome is to be read, now or later.
    pub fn has_outcomes_to_read(&self) -> bool {
        !self.outcomes_to_read.is_empty()
    }

    /// A read of an outcome has ended, in whatever way.
    pub fn outcome_read_ended(&mut self, uid: &str) {
        self.outcomes_in_flight.remove(uid);
    }

    /// A read has not shown the outcome: it is repeated later.
    pub fn retry_outcome(&mut self, now: Micros, uid: &Arc<str>) {
        if self.has_dependents(uid) {
            self.outcomes_to_read
                .insert(uid.clone(), now + OUTCOME_RETRY_INTERVAL);
        }
    }

    /// A job is stored as done since `finished_at`, a time of day. Returns the jobs that now have no unmet
    /// dependency, each with the time of day since when it is ready.
    pub fn dependency_done(&mut self, uid: &str, finished_at: Micros) -> Vec<(Arc<str>, Micros)> {
        self.outcomes_to_read.remove(uid);
        let mut ready = Vec::new();
        for dependent in self.dependents_by_job.remove(uid).unwrap_or_default() {
            let Some(waiting) = self.waiting.get_mut(&dependent) else {
                continue;
            };
            waiting.unmet.remove(uid);
            waiting.ready_at = waiting.ready_at.max(finished_at);
            if waiting.unmet.is_empty() {
                let ready_at = waiting.ready_at;
                self.waiting.remove(&dependent);
                ready.push((dependent, ready_at));
            }
        }
        ready
    }

    /// A job is stored as cancelled. Returns the waiting jobs that directly depend on it.
    pub fn dependency_cancelled(&mut self, uid: &str) -> Vec<Arc<str>> {
        self.outcomes_to_read.remove(uid);
        let dependents = self.dependents_by_job.remove(uid).unwrap_or_default();
        dependents
            .into_iter()
            .filter(|dependent| self.waiting.contains_key(dependent))
            .collect()
    }

    /// Removes a waiting job that is finished itself, or about to be.
    pub fn remove(&mut self, uid: &str) {
        let Some(waiting) = self.waiting.remove(uid) else {
            return;
        };
        for dependency in waiting.unmet {
            if let Some(dependents) = self.dependents_by_job.get_mut(&dependency) {
                dependents.remove(uid);
                if dependents.is_empty() {
                    self.dependents_by_job.remove(&dependency);
                    self.outcomes_to_read.remove(&dependency);
                }
            }
        }
    }

    /// Whether any job waits for this one.
    pub fn has_dependents(&self, uid: &str) -> bool {
        self.dependents_by_job.contains_key(uid)
    }

    /// The jobs that wait for this one.
    pub fn dependents(&self, uid: &str) -> Vec<Arc<str>> {
        let dependents = self.dependents_by_job.get(uid);
        dependents.into_iter().flatten().cloned().collect()
    }

    /// The dependencies that a job still waits for.
    pub fn unmet_dependencies(&self, uid: &str) -> Vec<Arc<str>> {
        let waiting = self.waiting.get(uid);
        waiting.map_or_else(Vec::new, |job| job.unmet.iter().cloned().collect())
    }

    /// How many jobs wait for others.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no job waits for another.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Passes priority and deadline on from a job to its unmet dependencies, direct and indirect. An edge is
    /// followed as often as what is passed along it changes. `run_time` estimates a job's run time.
    pub fn propagate_to_dependencies(
        &self,
        jobs: &mut JobTable,
        from: &Arc<str>,
        run_time: impl Fn(&JobSpec) -> Micros,
    ) {
        let mut changed = vec![from.clone()];
        let steps_max = PROPAGATION_STEPS_MAX.max(PROPAGATION_STEPS_PER_JOB * self.waiting.len());
        let mut steps = 0;
        while let Some(uid) = changed.pop() {
            for dependency in self.unmet_dependencies(&uid) {
                steps += 1;
                if steps > steps_max {
                    return log::error!("dependency cycle suspected job={from} steps={steps}");
                }
                let required = self.requirements(jobs, &dependency, &run_time);
                let Some(job) = jobs.get_mut(&dependency) else {
                    continue;
                };
                if (job.inherited_priority, job.due_at) != required {
                    (job.inherited_priority, job.due_at) = required;
                    changed.push(dependency);
                }
            }
        }
    }

    /// What its dependents require of a job: a priority, and the time of day by which it must be done.
    fn requirements(
        &self,
        jobs: &JobTable,
        uid: &str,
        run_time: impl Fn(&JobSpec) -> Micros,
    ) -> (Priority, Option<Micros>) {
        let dependents = self.dependents_by_job.get(uid).into_iter().flatten();
        let dependents = dependents.filter_map(|dependent| jobs.get(dependent));
        let (mut priority, mut due_at) = (Priority::Low, None);
        for job in dependents.filter(|job| !job.cancelled) {
            priority = priority.max(job.priority());
            if let Some(start) = latest_start(job, run_time(&job.spec)) {
                due_at = Some(due_at.map_or(start, |due_at: Micros| due_at.min(start)));
            }
        }
        (priority, due_at)
    }
}

/// The time of day by which a job must start to meet its own deadline and those of its dependents, if there is
/// any, given its estimated run time.
pub fn latest_start(job: &Job, run_time: Micros) -> Option<Micros> {
    let own = job
        .spec
        .deadline_s
        .map(|deadline_s| job.accepted_at + from_secs(deadline_s));
    let due_at = own.into_iter().chain(job.due_at).min();
    due_at.map(|due_at| due_at.saturating_sub(run_time + JOB_OVERHEAD))
}
