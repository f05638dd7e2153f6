//! The dependencies between jobs: which jobs wait for which others, the outcomes of dependencies that have yet to
//! be read, and the priority and deadline that a dependency inherits from its dependents.
//!
//! The outcome of a dependency is its stored final state: done or cancelled. The graph holds the edges from
//! waiting jobs to their unmet dependencies for one leader term. It does no I/O: it lists the outcomes that the
//! caller has to read, and the caller passes in the results. An outcome is always taken from the state service,
//! either read from there or written there by this leader.
//!
//! Invariants:
//! - a job is in the graph exactly while it has an unmet dependency;
//! - at most one read of each outcome is in flight.

use crate::clock::{Micros, SECOND, from_secs};
use crate::jobs::{Job, JobTable};
use crate::seeded_hash::{HashMap, HashSet};
use crate::wire::{JobSpec, Priority};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// How long after a read that found no readable final state the outcome is read again.
const OUTCOME_RETRY_INTERVAL: Micros = SECOND;
/// The maximum number of concurrent reads of outcomes.
const OUTCOME_READS_MAX: usize = 16;
/// Time that a job takes in addition to the run time of its tasks: for starts, heartbeats and storing its end.
const JOB_OVERHEAD: Micros = SECOND;
/// Inheritance of priorities and deadlines stops after this many edges, in case of a cycle. Only jobs that were
/// accepted before can be named as dependencies, so only a corrupt stored job can form a cycle.
const PROPAGATION_STEPS_MAX: usize = 10_000;
/// With many waiting jobs, that limit is this many edges per waiting job.
const PROPAGATION_STEPS_PER_JOB: usize = 16;

/// A job that waits for its dependencies.
#[derive(Default)]
struct WaitingJob {
    /// The dependencies that are not known to be done.
    unmet: BTreeSet<Arc<str>>,
    /// Time of day when the job was accepted or its latest known dependency was done, whichever is later.
    ready_at: Micros,
}

/// The waiting jobs and their dependencies.
#[derive(Default)]
pub struct DependencyGraph {
    waiting: HashMap<Arc<str>, WaitingJob>,
    /// The jobs that still wait for a dependency, by dependency.
    dependents_by_job: HashMap<Arc<str>, BTreeSet<Arc<str>>>,
    /// Dependencies that may have finished, so that their outcomes have to be read, and the earliest time to read
    /// each of them.
    outcomes_to_read: BTreeMap<Arc<str>, Micros>,
    /// Dependencies whose outcomes are being read.
    outcomes_in_flight: HashSet<Arc<str>>,
}

impl DependencyGraph {
    /// Adds a job that waits for its dependencies and was accepted at this time of day. `is_live` returns whether
    /// a dependency has certainly not finished; the outcomes of the other dependencies will be read.
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

    /// Requests a read of the outcome of a job that may have finished, if any job depends on it.
    pub fn request_outcome(&mut self, uid: &Arc<str>) {
        if self.has_dependents(uid) && !self.outcomes_in_flight.contains(uid) {
            self.outcomes_to_read.insert(uid.clone(), 0);
        }
    }

    /// Returns the dependencies whose outcomes the caller has to read now, and marks the reads as in flight.
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

    /// Whether any outcome has to be read, now or later.
    pub fn has_outcomes_to_read(&self) -> bool {
        !self.outcomes_to_read.is_empty()
    }

    /// Records that the read of an outcome has ended, successfully or not.
    pub fn outcome_read_ended(&mut self, uid: &str) {
        self.outcomes_in_flight.remove(uid);
    }

    /// Schedules another read of an outcome after a read that did not return it.
    pub fn retry_outcome(&mut self, now: Micros, uid: &Arc<str>) {
        if self.has_dependents(uid) {
            self.outcomes_to_read
                .insert(uid.clone(), now + OUTCOME_RETRY_INTERVAL);
        }
    }

    /// Records that a job's final state is stored as done at the time of day `finished_at`. Returns the jobs that
    /// have no unmet dependency any more, each with the time of day when it became ready.
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

    /// Records that a job's final state is stored as cancelled. Returns the waiting jobs that directly depend on
    /// it.
    pub fn dependency_cancelled(&mut self, uid: &str) -> Vec<Arc<str>> {
        self.outcomes_to_read.remove(uid);
        let dependents = self.dependents_by_job.remove(uid).unwrap_or_default();
        dependents
            .into_iter()
            .filter(|dependent| self.waiting.contains_key(dependent))
            .collect()
    }

    /// Removes a waiting job that has finished, or is about to.
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

    /// Whether any job waits for this job.
    pub fn has_dependents(&self, uid: &str) -> bool {
        self.dependents_by_job.contains_key(uid)
    }

    /// The jobs that wait for this job.
    pub fn dependents(&self, uid: &str) -> Vec<Arc<str>> {
        let dependents = self.dependents_by_job.get(uid);
        dependents.into_iter().flatten().cloned().collect()
    }

    /// The dependencies for which a job still waits.
    pub fn unmet_dependencies(&self, uid: &str) -> Vec<Arc<str>> {
        let waiting = self.waiting.get(uid);
        waiting.map_or_else(Vec::new, |job| job.unmet.iter().cloned().collect())
    }

    /// The number of jobs that wait for other jobs.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no job waits for another.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Propagates priority and deadline from a job to its unmet dependencies, direct and indirect. An edge is
    /// followed again whenever the values propagated along it change. `run_time` estimates the run time of a job.
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

    /// The priority that a job inherits from its dependents, and the time of day by which it must be done so that
    /// they can meet their deadlines.
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

/// The time of day by which a job must start to meet its own deadline and those of its dependents, given its
/// estimated run time; `None` if there is no deadline.
pub fn latest_start(job: &Job, run_time: Micros) -> Option<Micros> {
    let own = job
        .spec
        .deadline_s
        .map(|deadline_s| job.accepted_at + from_secs(deadline_s));
    let due_at = own.into_iter().chain(job.due_at).min();
    due_at.map(|due_at| due_at.saturating_sub(run_time + JOB_OVERHEAD))
}
