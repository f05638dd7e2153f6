//! Workload accounting: what became of the jobs and task attempts of each class and each team
//! since this leader was elected.
//!
//! Owns counters alone, at constant cost for each event and bounded memory. Operators read them in
//! `/inspect` and in the log; no decision rests on them, and nothing of them is stored.

use crate::wire::JobSpec;
use serde::Serialize;
use std::collections::BTreeMap;

/// Classes and teams are named by users; past that many names the rest is counted together.
const NAMES_MAX: usize = 200;
const OTHER_NAMES: &str = "(others)";

/// Why a task was commanded to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// Preempted by work of higher priority.
    Preempted,
    /// The provider is about to reclaim its machine.
    SpotNotice,
    /// Its job was cancelled.
    Cancelled,
    /// The task is done already, or its job is over.
    Redundant,
}

/// What became of a job or of an attempt of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkloadEvent {
    /// A job was accepted, or found in the store at the failover.
    Accepted {
        /// Its tasks that are still to be done.
        tasks: u64,
    },
    /// An attempt runs.
    Started,
    /// An attempt did its task.
    Done,
    /// An attempt was stopped; without a reason, by an earlier leader's command.
    Stopped(Option<StopReason>),
    /// An attempt ended with an error.
    Failed,
    /// The machine of an attempt is gone, or came back without it.
    MachineLost,
    /// The lease of the attempt's worker ran out.
    LeaseExpired,
}

/// How many jobs and task attempts of one class or team came to each outcome. The names of the
/// fields are those of the `/inspect` output.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct WorkloadCounts {
    /// Jobs accepted.
    pub jobs: u64,
    /// Tasks to be done of those jobs.
    pub tasks: u64,
    /// Attempts that ran.
    pub started: u64,
    /// Attempts that did their task.
    pub done: u64,
    /// Attempts preempted by work of higher priority.
    pub preempted: u64,
    /// Attempts stopped because the provider reclaims the machine.
    pub spot_notice: u64,
    /// Attempts stopped because their job was cancelled.
    pub cancelled: u64,
    /// Attempts that ended with an error.
    pub failed: u64,
    /// Attempts lost with their machine.
    pub machine_lost: u64,
    /// Attempts killed by the end of their worker's lease.
    pub lease_expired: u64,
}

impl WorkloadCounts {
    fn record(&mut self, outcome: WorkloadEvent) {
        let count = match outcome {
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
            // No work was lost by it, or an earlier leader commanded the stop and has counted it.
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
    /// By the class that the job's user gave.
    pub classes: BTreeMap<String, WorkloadCounts>,
    /// By the team that the job is charged to.
    pub teams: BTreeMap<String, WorkloadCounts>,
}

impl WorkloadAccounting {
    /// Counts an outcome for the class and for the team of its job.
    pub fn record(&mut self, spec: &JobSpec, outcome: WorkloadEvent) {
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
                Some(known) => known.record(outcome),
                None => counts.entry(name.to_owned()).or_default().record(outcome),
            }
        }
    }

    /// One line on all classes, for the log.
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
