//! Workload accounting: counts the events of jobs and task attempts by class and by team since this
//! leader was elected.
//!
//! Each event has a constant cost, and memory is bounded. Operators see the counters in the answers
//! of `/inspect` and in the log. No decision depends on them, and they are not stored.

use crate::wire::JobSpec;
use serde::Serialize;
use std::collections::BTreeMap;

/// The maximum number of classes, and of teams, that are counted separately. Users choose these
/// names, so their number is not bounded otherwise.
const NAMES_MAX: usize = 200;
/// The name under which events of all further classes or teams are counted.
const OTHER_NAMES: &str = "(others)";

/// Why a task was commanded to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// It was preempted for a job of a higher tier.
    Preempted,
    /// The cloud provider is about to reclaim its spot machine.
    SpotNotice,
    /// Its job was cancelled.
    Cancelled,
    /// The task is already done, or its job has finished.
    Redundant,
}

/// An event in the life of a job or of a task attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkloadEvent {
    /// A job was accepted, or a new leader loaded it from the state service.
    Accepted {
        /// The number of its tasks that are not done.
        tasks: u64,
    },
    /// An attempt started to run.
    Started,
    /// An attempt succeeded.
    Done,
    /// An attempt was stopped for this reason; `None` if an earlier leader commanded the stop.
    Stopped(Option<StopReason>),
    /// An attempt ended with an error.
    Failed,
    /// The machine of an attempt is gone, or reports again without the attempt.
    MachineLost,
    /// The lease of the attempt's worker expired.
    LeaseExpired,
}

/// The counters of one class or team. The names of the fields appear in the `/inspect` output.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct WorkloadCounts {
    /// Jobs accepted.
    pub jobs: u64,
    /// Tasks of those jobs that were not done when the jobs were counted.
    pub tasks: u64,
    /// Attempts that started to run.
    pub started: u64,
    /// Attempts that succeeded.
    pub done: u64,
    /// Attempts that were preempted.
    pub preempted: u64,
    /// Attempts stopped because the cloud provider is about to reclaim the machine.
    pub spot_notice: u64,
    /// Attempts stopped because their job was cancelled.
    pub cancelled: u64,
    /// Attempts that ended with an error.
    pub failed: u64,
    /// Attempts lost with their machine.
    pub machine_lost: u64,
    /// Attempts killed because their worker's lease expired.
    pub lease_expired: u64,
}

impl WorkloadCounts {
    fn record(&mut self, event: WorkloadEvent) {
        let count = match event {
            WorkloadEvent::Accepted { tasks } => {
                self.jobs += 1;
                self.tasks += tasks;
                return;
            }
            WorkloadEvent::Started => &mut self.started,
            WorkloadEvent::Done => &mut self.done,
            WorkloadEvent::Stopped(Some(StopReason::Preempted)) => &mut self.preempted,
            WorkloadEvent::Stopped(Some(StopReason::SpotNotice)) => &mut self.spot_notice,
            WorkloadEvent::Stopped(Some(StopReason::Cancelled)) => &mut self.cancelled,
            // A redundant stop loses no work. A stop without a reason was commanded by an earlier
            // leader, which has counted it.
            WorkloadEvent::Stopped(Some(StopReason::Redundant) | None) => return,
            WorkloadEvent::Failed => &mut self.failed,
            WorkloadEvent::MachineLost => &mut self.machine_lost,
            WorkloadEvent::LeaseExpired => &mut self.lease_expired,
        };
        *count += 1;
    }
}

/// The counts of each class and of each team.
#[derive(Debug, Default, Serialize)]
pub struct WorkloadAccounting {
    /// The counters by the class that the user gave for the job.
    pub classes: BTreeMap<String, WorkloadCounts>,
    /// The counters by the team whose quota the job is charged to.
    pub teams: BTreeMap<String, WorkloadCounts>,
}

impl WorkloadAccounting {
    /// Counts an event for the class and for the team of its job.
    pub fn record(&mut self, spec: &JobSpec, event: WorkloadEvent) {
        for (counts, name) in [
            (&mut self.classes, &*spec.class),
            (&mut self.teams, &*spec.team),
        ] {
            let name = if counts.contains_key(name) || counts.len() < NAMES_MAX {
                name
            } else {
                OTHER_NAMES
            };
            match counts.get_mut(name) {
                Some(known) => known.record(event),
                None => counts.entry(name.to_owned()).or_default().record(event),
            }
        }
    }

    /// The counters of all classes as one line for the log.
    pub fn summary(&self) -> String {
        let summarize = |(name, counts): (&String, &WorkloadCounts)| {
            let WorkloadCounts {
                jobs,
                tasks,
                started,
                done,
                preempted,
                spot_notice,
                cancelled,
                failed,
                machine_lost,
                lease_expired,
            } = counts;
            format!(
                "{name}: {done} done of {tasks} ({jobs} jobs), {started} started, lost: {preempted} preempted, \
                 {spot_notice} spot_notice, {machine_lost} machine_lost, {lease_expired} lease_expired, \
                 {failed} failed, {cancelled} cancelled"
            )
        };
        let summaries: Vec<String> = self.classes.iter().map(summarize).collect();
        summaries.join("; ")
    }
}

#[cfg(test)]
mod tests;
