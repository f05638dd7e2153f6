//! Reconciliation after a failover: how the stored placements and the heartbeats of machines can differ, and which
//! decisions are restricted while part of the fleet has not confirmed the new term.
//!
//! [`Reconciliation`] tracks the progress of one leader's reconciliation; [`reconcile_task`] classifies the
//! differences. Both are pure: the caller passes the time and the observations, and they send no commands.
//!
//! Tasks may be started at once on a machine that has confirmed the new term. Decisions that depend on the state of
//! the whole fleet (preempting running work, renting machines for lack of capacity) wait until nearly all machines
//! have confirmed it, or until a deadline has passed. For some time after that, running work is preempted no faster
//! than work completes by itself, until the new leader has measured how much capacity becomes free without
//! preemption.

use crate::clock::{MILLISECOND, Micros, SECOND, to_secs};
use crate::task_id::TaskId;
use serde::Serialize;

#[cfg(test)]
mod tests;

/// The fleet counts as known when at most this fraction of the registered machines is unconfirmed.
const UNCONFIRMED_SHARE_MAX: f64 = 0.05;
/// The time that a worker may need in addition to its heartbeat period when an answer is lost: it waits 4 s for the
/// answer and tries the next controller 1 s later.
const WORKER_RETRY_TIME: Micros = 5 * SECOND;
/// How long preemption is throttled once the fleet is known.
const THROTTLED_FOR: Micros = 20 * SECOND;
/// Upper bound of the preemption allowance: the cores that complete within this time, in seconds.
const PREEMPTION_BURST_S: f64 = 0.5;
/// Window for counting the commands of one second; it is longer than that because observations are made at
/// intervals.
const COMMAND_WINDOW: Micros = SECOND + SECOND / 8;

/// The state of a task as its machine reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedState {
    /// The task is on the machine: it fetches its image, runs, or saves a checkpoint.
    Present,
    /// The task has ended.
    Ended,
}

/// How the stored placement of one task compares with the report of a machine that has confirmed this term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
pub enum ReconciliationOutcome {
    /// Stored and present: it continues.
    Agreed,
    /// Stored and ended: the end is recorded and stored, and then acknowledged to the worker.
    FinishedMeanwhile,
    /// Stored and not reported: its start never arrived, or its end was stored and acknowledged by the former
    /// leader, or the machine's lease expired. The heartbeat under this term proves that the task is not there, so
    /// it may be started again.
    Missing,
    /// Present and not stored as placed there. A task of a live job is adopted, since it uses capacity and quota
    /// and may be the only copy; a task of a finished or unknown job is stopped.
    Unknown,
    /// Ended and not stored as placed there: left over from an earlier leader. The end is recorded if the job still
    /// needs it, and acknowledged.
    Stale,
}

/// Classifies the difference between the stored placement of a task (`stored`) and the report of a machine that has
/// confirmed this term. `None` if there is neither a placement nor a report.
///
/// Until a machine has confirmed the term, every placement stored there holds its capacity and is charged to its
/// team's quota.
pub fn reconcile_task(
    stored: bool,
    reported: Option<ReportedState>,
) -> Option<ReconciliationOutcome> {
    match (stored, reported) {
        (true, Some(ReportedState::Present)) => Some(ReconciliationOutcome::Agreed),
        (true, Some(ReportedState::Ended)) => Some(ReconciliationOutcome::FinishedMeanwhile),
        (true, None) => Some(ReconciliationOutcome::Missing),
        (false, Some(ReportedState::Present)) => Some(ReconciliationOutcome::Unknown),
        (false, Some(ReportedState::Ended)) => Some(ReconciliationOutcome::Stale),
        (false, None) => None,
    }
}

/// Number of tasks per [`ReconciliationOutcome`], over all heartbeats reconciled so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ReconciliationCounts {
    /// Tasks of [`ReconciliationOutcome::Agreed`].
    pub agreed: u64,
    /// Tasks of [`ReconciliationOutcome::FinishedMeanwhile`].
    pub finished_meanwhile: u64,
    /// Tasks of [`ReconciliationOutcome::Missing`].
    pub missing: u64,
    /// Tasks of [`ReconciliationOutcome::Unknown`].
    pub unknown: u64,
    /// Tasks of [`ReconciliationOutcome::Stale`].
    pub stale: u64,
}

impl ReconciliationCounts {
    fn count(&mut self, outcome: ReconciliationOutcome) {
        let count = match outcome {
            ReconciliationOutcome::Agreed => &mut self.agreed,
            ReconciliationOutcome::FinishedMeanwhile => &mut self.finished_meanwhile,
            ReconciliationOutcome::Missing => &mut self.missing,
            ReconciliationOutcome::Unknown => &mut self.unknown,
            ReconciliationOutcome::Stale => &mut self.stale,
        };
        *count += 1;
    }

    /// Counts the outcomes of one heartbeat of a machine.
    ///
    /// `stored` are the tasks that are stored as placed on the machine and not confirmed yet; `reported` are the
    /// tasks that its heartbeat lists and no earlier one did. Only a heartbeat with a fencing token of this term
    /// (`confirms_term`) proves that the tasks it does not list are not there.
    pub fn reconcile(
        &mut self,
        stored: &[TaskId],
        reported: &[(TaskId, ReportedState)],
        confirms_term: bool,
    ) {
        for task in stored {
            let state = reported_state(reported, task);
            if (confirms_term || state.is_some())
                && let Some(outcome) = reconcile_task(true, state)
            {
                self.count(outcome);
            }
        }
        for (task, state) in reported {
            if !stored.contains(task)
                && let Some(outcome) = reconcile_task(false, Some(*state))
            {
                self.count(outcome);
            }
        }
    }
}

/// The reported state of a task. If a heartbeat lists several attempts of it, the task is present if any attempt is.
fn reported_state(reported: &[(TaskId, ReportedState)], task: &TaskId) -> Option<ReportedState> {
    let states = reported
        .iter()
        .filter(|(listed, _)| listed == task)
        .map(|(_, state)| *state);
    states.reduce(|first, next| match first {
        ReportedState::Present => first,
        ReportedState::Ended => next,
    })
}

/// The phases of a reconciliation, in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReconciliationPhase {
    /// Too many machines have not confirmed the term yet.
    Probing,
    /// The fleet is known; preemption is throttled.
    Throttled,
    /// No restrictions apply any more.
    Complete,
}

/// Total number of commands sent up to a point in time.
#[derive(Clone, Debug)]
struct CommandSample {
    at: Micros,
    commands_sent: u64,
}

/// The progress of a new leader's reconciliation, and the limits on preemption that follow from it.
#[derive(Clone, Debug)]
pub struct Reconciliation {
    elected_at: Micros,
    /// Machines that have not confirmed the term by this time are assumed to be unresponsive.
    silence_deadline: Micros,
    /// Machines registered at the failover.
    machines: usize,
    /// Machines that have confirmed the term.
    confirmed: usize,
    fleet_known_at: Option<Micros>,
    /// Cores per second that are expected to become free because tasks complete.
    expected_completion_rate: f64,
    /// Cores that may be preempted now.
    preemption_allowance: f64,
    preemption_allowance_at: Micros,
    /// The observations of the command total within the last [`COMMAND_WINDOW`].
    command_samples: Vec<CommandSample>,
    commands_per_second_max: u64,
}

impl Reconciliation {
    /// Starts the reconciliation of a leader that was elected at `now`. `machines` is the number of registered
    /// machines, `heartbeat_period` the period of their workers' heartbeats.
    pub fn new(now: Micros, machines: usize, heartbeat_period: Micros) -> Self {
        Self {
            elected_at: now,
            silence_deadline: now + heartbeat_period + heartbeat_period / 4 + WORKER_RETRY_TIME,
            machines,
            confirmed: 0,
            fleet_known_at: (machines == 0).then_some(now),
            expected_completion_rate: 0.0,
            preemption_allowance: 0.0,
            preemption_allowance_at: now,
            command_samples: Vec::new(),
            commands_per_second_max: 0,
        }
    }

    /// Sets the rate at which cores are expected to become free because tasks complete, estimated from the
    /// placements that the leader has loaded.
    pub fn expect_completion_rate(&mut self, cores_per_second: f64) {
        self.expected_completion_rate = cores_per_second;
    }

    /// Records how many registered machines have confirmed the term and how many commands have been sent in total.
    pub fn observe(&mut self, now: Micros, confirmed: usize, commands_sent: u64) {
        self.confirmed = confirmed;
        let unconfirmed = self.machines.saturating_sub(confirmed) as f64;
        let nearly_all = unconfirmed <= UNCONFIRMED_SHARE_MAX * self.machines as f64;
        if self.fleet_known_at.is_none() && (nearly_all || now >= self.silence_deadline) {
            self.fleet_known_at = Some(now);
            self.preemption_allowance_at = now;
        }
        self.command_samples
            .retain(|sample| now < sample.at + COMMAND_WINDOW);
        let oldest = self.command_samples.first();
        let sent_before = oldest.map_or(0, |sample| sample.commands_sent);
        let sent_since = commands_sent.saturating_sub(sent_before);
        self.commands_per_second_max = self.commands_per_second_max.max(sent_since);
        self.command_samples.push(CommandSample {
            at: now,
            commands_sent,
        });
    }

    /// The current phase.
    pub fn phase(&self, now: Micros) -> ReconciliationPhase {
        match self.fleet_known_at {
            None => ReconciliationPhase::Probing,
            Some(known_at) if self.machines > 0 && now < known_at + THROTTLED_FOR => {
                ReconciliationPhase::Throttled
            }
            Some(_) => ReconciliationPhase::Complete,
        }
    }

    /// Whether decisions that depend on the state of the whole fleet are allowed.
    pub fn is_fleet_known(&self, now: Micros) -> bool {
        self.phase(now) != ReconciliationPhase::Probing
    }

    /// Returns the cores of running work that may be preempted now for work of higher priority; infinite once the
    /// reconciliation is complete. `completion_rate` is the rate, in cores per second, at which completed tasks
    /// have freed cores since the failover.
    pub fn take_preemption_allowance(&mut self, now: Micros, completion_rate: f64) -> f64 {
        match self.phase(now) {
            ReconciliationPhase::Probing => 0.0,
            ReconciliationPhase::Complete => f64::INFINITY,
            ReconciliationPhase::Throttled => {
                let rate = self.expected_completion_rate.max(completion_rate);
                let elapsed_s = to_secs(now.saturating_sub(self.preemption_allowance_at));
                self.preemption_allowance_at = now;
                self.preemption_allowance =
                    (self.preemption_allowance + rate * elapsed_s).min(rate * PREEMPTION_BURST_S);
                self.preemption_allowance
            }
        }
    }

    /// Deducts preempted cores from the allowance. A large task may overdraw it; later preemptions wait until it is
    /// positive again.
    pub fn note_preempted(&mut self, cores: f64) {
        self.preemption_allowance -= cores;
    }

    /// The largest number of commands sent within one second so far.
    pub fn commands_per_second_max(&self) -> u64 {
        self.commands_per_second_max
    }

    /// Number of registered machines that have confirmed the term.
    pub fn confirmed(&self) -> usize {
        self.confirmed
    }

    /// Time since the election, in milliseconds.
    pub fn elapsed_ms(&self, now: Micros) -> u64 {
        now.saturating_sub(self.elected_at) / MILLISECOND
    }

    /// What the reconciliation still waits for, as a text for operators; `None` once it is complete.
    pub fn waiting_for(&self, now: Micros) -> Option<String> {
        match self.phase(now) {
            ReconciliationPhase::Probing => Some(format!(
                "{} of {} machines have confirmed the term; {} ms until the others are assumed unresponsive",
                self.confirmed,
                self.machines,
                self.silence_deadline.saturating_sub(now) / MILLISECOND
            )),
            ReconciliationPhase::Throttled => {
                Some("running work is preempted no faster than work completes".to_owned())
            }
            ReconciliationPhase::Complete => None,
        }
    }
}
