//! Jobs that wait for others: who needs whom, what is known of the needed ones, and what of
//! priority and deadline passes backwards. Driven without I/O; all that is believed of a job that
//! is over was read from the state service, or written there by this leader.

use crate::clock::{Micros, SECOND, from_secs};
use crate::jobs::{Job, JobTable};
use crate::seeded_hash::{HashMap, HashSet};
use crate::wire::{JobSpec, Priority};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// What an unreadable or missing final state is asked for again after.
const OUTCOME_RETRY_INTERVAL: Micros = SECOND;
/// So many final states are asked for at once.
const OUTCOME_READS_MAX: usize = 16;
/// What a step takes beside its run: starts, reports, saving its end.
const STEP_OVERHEAD: Micros = SECOND;
/// Passing backwards stops after so many steps: only accepted jobs are named, so there are no
/// cycles, but a stored value might say otherwise.
const PROPAGATION_STEPS_MAX: usize = 10_000;

#[derive(Default)]
struct WaitingJob {
    unmet: BTreeSet<Arc<str>>,
    /// The latest end of the needed jobs known so far.
    ready_at: Micros,
}

#[derive(Default)]
pub struct DependencyGraph {
    waiting: HashMap<Arc<str>, WaitingJob>,
    /// By needed job, those that still wait for it.
    dependents_by_job: HashMap<Arc<str>, BTreeSet<Arc<str>>>,
    /// Needed jobs that are not live: how they ended is to be read, not before that time.
    outcomes_to_read: BTreeMap<Arc<str>, Micros>,
    outcomes_in_flight: HashSet<Arc<str>>,
}

impl DependencyGraph {
    /// A job that waits for others; `live` tells which of them surely are not over.
    pub fn add(&mut self, spec: &JobSpec, accepted: Micros, live: impl Fn(&str) -> bool) {
        let unmet: BTreeSet<_> = spec.waits_on.iter().cloned().collect();
        for need in &unmet {
            let dependents = self.dependents_by_job.entry(need.clone()).or_default();
            dependents.insert(spec.uid.clone());
            if !live(need) && !self.outcomes_in_flight.contains(need) {
                self.outcomes_to_read.insert(need.clone(), 0);
            }
        }
        let ready = accepted;
        self.waiting.insert(
            spec.uid.clone(),
            WaitingJob {
                unmet,
                ready_at: ready,
            },
        );
    }

    /// A needed job may be over: how it ended is to be read.
    pub fn request_outcome(&mut self, uid: &Arc<str>) {
        if self.dependents_by_job.contains_key(uid) && !self.outcomes_in_flight.contains(uid) {
            self.outcomes_to_read.insert(uid.clone(), 0);
        }
    }

    /// The needed jobs whose end is to be read now.
    pub fn take_outcomes_to_read(&mut self, now: Micros) -> Vec<Arc<str>> {
        let room = OUTCOME_READS_MAX.saturating_sub(self.outcomes_in_flight.len());
        let due = self.outcomes_to_read.iter().filter(|l| *l.1 <= now);
        let due: Vec<Arc<str>> = due.take(room).map(|l| l.0.clone()).collect();
        for uid in &due {
            self.outcomes_to_read.remove(uid);
            self.outcomes_in_flight.insert(uid.clone());
        }
        due
    }

    pub fn has_outcomes_to_read(&self) -> bool {
        !self.outcomes_to_read.is_empty()
    }

    /// An answer to a look has come.
    pub fn outcome_answered(&mut self, uid: &str) {
        self.outcomes_in_flight.remove(uid);
    }

    /// It told nothing.
    pub fn retry_outcome(&mut self, now: Micros, uid: &Arc<str>) {
        if self.dependents_by_job.contains_key(uid) {
            self.outcomes_to_read
                .insert(uid.clone(), now + OUTCOME_RETRY_INTERVAL);
        }
    }

    /// A job is stored as done; returns the jobs that need nothing more, and since when.
    pub fn dependency_done(&mut self, uid: &str, at: Micros) -> Vec<(Arc<str>, Micros)> {
        self.outcomes_to_read.remove(uid);
        let mut released = Vec::new();
        for dependent in self.dependents_by_job.remove(uid).unwrap_or_default() {
            let Some(w) = self.waiting.get_mut(&dependent) else {
                continue;
            };
            w.unmet.remove(uid);
            w.ready_at = w.ready_at.max(at);
            if w.unmet.is_empty() {
                let ready = w.ready_at;
                self.waiting.remove(&dependent);
                released.push((dependent, ready));
            }
        }
        released
    }

    /// A job is stored as cancelled; returns the jobs that directly need it.
    pub fn dependency_cancelled(&mut self, uid: &str) -> Vec<Arc<str>> {
        self.outcomes_to_read.remove(uid);
        let dependents = self.dependents_by_job.remove(uid).unwrap_or_default();
        dependents
            .into_iter()
            .filter(|d| self.waiting.contains_key(d))
            .collect()
    }

    /// A job that waited is over itself, or about to be.
    pub fn forget(&mut self, uid: &str) {
        let Some(w) = self.waiting.remove(uid) else {
            return;
        };
        for need in w.unmet {
            if let Some(dependents) = self.dependents_by_job.get_mut(&need) {
                dependents.remove(uid);
                if dependents.is_empty() {
                    self.dependents_by_job.remove(&need);
                    self.outcomes_to_read.remove(&need);
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
        let found = self.dependents_by_job.get(uid);
        found.map_or_else(Vec::new, |d| d.iter().cloned().collect())
    }

    /// What a job still waits for.
    pub fn unmet_dependencies(&self, uid: &str) -> Vec<Arc<str>> {
        let found = self.waiting.get(uid);
        found.map_or_else(Vec::new, |w| w.unmet.iter().cloned().collect())
    }

    /// How many jobs wait for others.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Passes priority and deadline backwards from a job to those that it needs, directly or
    /// through others. Each edge above the job is looked at as often as something changes there.
    pub fn propagate_back(
        &self,
        table: &mut JobTable,
        from: &Arc<str>,
        run: impl Fn(&JobSpec) -> Micros,
    ) {
        let mut changed = vec![from.clone()];
        let mut steps = 0;
        while let Some(uid) = changed.pop() {
            for need in self.unmet_dependencies(&uid) {
                steps += 1;
                if steps > PROPAGATION_STEPS_MAX {
                    return log::error!("the jobs above {from} need each other in a circle");
                }
                let asked = self.requirements(table, &need, &run);
                let Some(job) = table.get_mut(&need) else {
                    continue;
                };
                if (job.inherited_priority, job.due_at) != asked {
                    (job.inherited_priority, job.due_at) = asked;
                    changed.push(need);
                }
            }
        }
    }

    /// What those that need a job ask of it: priority, and the time by which it must be done.
    fn requirements(
        &self,
        table: &JobTable,
        uid: &str,
        run: impl Fn(&JobSpec) -> Micros,
    ) -> (Priority, Option<Micros>) {
        let dependents = self.dependents_by_job.get(uid).into_iter().flatten();
        let jobs = dependents.filter_map(|d| table.get(d));
        let (mut priority, mut due) = (Priority::Low, None);
        for job in jobs.filter(|j| !j.cancelled) {
            priority = priority.max(job.priority());
            if let Some(at) = latest_start(job, run(&job.spec)) {
                due = Some(due.map_or(at, |d: Micros| d.min(at)));
            }
        }
        (priority, due)
    }
}

/// The time of day by which a job must start for its own deadline and those behind it.
pub fn latest_start(job: &Job, run: Micros) -> Option<Micros> {
    let own = job.spec.deadline_s.map(|d| job.accepted_at + from_secs(d));
    let due = match (own, job.due_at) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    };
    due.map(|d| d.saturating_sub(run + STEP_OVERHEAD))
}
