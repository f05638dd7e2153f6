//! Compares the tasks that a heartbeat lists with the entries of its machine.
//!
//! Updates one [`Machine`] at a time and appends to the ledger's events; it sends nothing. An entry
//! that the heartbeat does not list is removed only on proof that its start can no longer be
//! executed: absence from one heartbeat proves nothing by itself.

use super::ATTEMPT_TERM_SHIFT;
use super::event::{LEASE_EXPIRED, NOT_ON_MACHINE, TaskEvent, TaskEventKind};
use super::machine::{HeartbeatSource, Machine};
use super::task_entry::{Delivery, StopRequest, TaskEntry, TaskState};
use crate::accounting::StopReason;
use crate::clock::Micros;
use crate::fault_injection::{InjectedFault, fault_injected};
use crate::reconciliation::ReportedState;
use crate::seeded_hash::HashSet;
use crate::task_id::{JobDirectory, TaskId};
use crate::wire::{Heartbeat, JobSpec, ReportedTask, TaskStatus, split_task_name};
use std::collections::btree_map;
use std::sync::Arc;

/// The result of applying the task list of one heartbeat.
#[derive(Default)]
pub(super) struct ReportedTasks {
    /// Every attempt that the heartbeat lists.
    pub(super) listed: HashSet<(TaskId, u64)>,
    /// Attempts that the ledger had no entry for, if the machine was unconfirmed before.
    pub(super) newly_reported: Vec<(TaskId, ReportedState)>,
    /// Tasks with a stored placement whose attempt the heartbeat lists.
    pub(super) confirmed_placements: Vec<TaskId>,
    /// Attempts that the ledger had no entry for.
    pub(super) without_entry: Vec<(TaskId, u64)>,
}

impl ReportedTasks {
    /// The attempts without an entry whose numbers the leader of this term assigned, so that it had one before.
    pub(super) fn forgotten_attempts(&self, term: u64) -> Vec<(TaskId, u64)> {
        let of_term = |(_, attempt): &&(TaskId, u64)| attempt >> ATTEMPT_TERM_SHIFT == term;
        self.without_entry.iter().filter(of_term).copied().collect()
    }
}

impl Machine {
    /// Tasks with an unconfirmed stored placement here and no known attempt.
    pub(super) fn unreported_placements(&self) -> Vec<TaskId> {
        self.tasks
            .iter()
            .filter(|(_, entry)| entry.state == TaskState::Unconfirmed)
            .map(|((task, _), _)| *task)
            .filter(|task| self.attempts(*task).next().is_none())
            .collect()
    }

    /// Applies the tasks that the heartbeat lists to the machine's entries. `was_unconfirmed` means
    /// that the machine had not reported a fencing token of this term before this heartbeat.
    pub(super) fn apply_reported_tasks(
        &mut self,
        now: Micros,
        heartbeat: &Heartbeat,
        was_unconfirmed: bool,
        jobs: &mut dyn JobDirectory,
        events: &mut Vec<TaskEvent>,
    ) -> ReportedTasks {
        let mut outcome = ReportedTasks::default();
        // Only a heartbeat under this term reveals the attempt of a stored placement. An earlier heartbeat, or a
        // delayed copy of it, may list the previous attempt of the task: if that one were taken for the placement,
        // the task would become free to start while the placed attempt may still run.
        let may_confirm_placements = self.term_confirmed
            || fault_injected(InjectedFault::PlacementMatchedBeforeConfirmation);
        for reported in &heartbeat.tasks {
            let Some((uid, task, spec)) = identify(reported, jobs) else {
                continue;
            };
            let attempt = reported.attempt;
            outcome.listed.insert((task, attempt));
            if attempt != 0 && may_confirm_placements && self.tasks.remove(&(task, 0)).is_some() {
                outcome.confirmed_placements.push(task);
            }
            let event = |kind| TaskEvent {
                machine: self.id.clone(),
                task,
                attempt,
                kind,
            };
            let entry = match self.tasks.entry((task, attempt)) {
                btree_map::Entry::Occupied(known) => {
                    let entry = known.into_mut();
                    entry.delivery = Delivery::Settled;
                    entry
                }
                btree_map::Entry::Vacant(unknown) => {
                    outcome.without_entry.push((task, attempt));
                    if was_unconfirmed {
                        outcome
                            .newly_reported
                            .push((task, reported_state(reported.status)));
                    }
                    if spec.is_some() && reported.status != TaskStatus::Ended {
                        events.push(event(TaskEventKind::Discovered));
                    }
                    // The answer to this heartbeat carries the stop. If only a direct call did, a worker that
                    // receives nothing but answers would have its lease renewed while the task keeps running.
                    let stop = unwanted_reason(task, spec.is_some(), &*jobs)
                        .map(|reason| StopRequest::new(0.0, reason));
                    unknown.insert(TaskEntry::reported(uid, spec, stop, now))
                }
            };
            if let Some(kind) = entry.apply_reported_status(now, reported) {
                if kind == TaskEventKind::Started
                    && let Some(spec) = &entry.spec
                {
                    let cached = (now, spec.image_gb);
                    self.images_stale |= self.images.insert(spec.image.clone(), cached).is_none();
                }
                events.push(event(kind));
            }
        }
        outcome
    }

    /// Records that the starts of these attempts, whose entries are new, were sent by this leader before. A copy of such a
    /// start may have carried any token of this term so far.
    pub(super) fn assume_latest_start_fence(&mut self, attempts: &[(TaskId, u64)]) {
        for attempt in attempts {
            if let Some(entry) = self.tasks.get_mut(attempt) {
                entry.start_fence = Some(self.fence_counter);
            }
        }
    }

    /// Logs attempts that were acknowledged, or proven absent, before they were reported now.
    pub(super) fn log_repeated_starts(&self, attempts: &[(TaskId, u64)]) {
        for (task, attempt) in attempts {
            let Some(entry) = self.tasks.get(&(*task, *attempt)) else {
                continue;
            };
            log::error!(
                "start executed again task={}/{} attempt={attempt} machine={} fence={}",
                entry.uid,
                task.index,
                self.id,
                self.fence_counter
            );
        }
    }

    /// Removes the entries that the heartbeat does not list and whose start it rules out, and emits a
    /// `Lost` event for each that was not known to have ended. `term_base` is the lowest token of this term.
    ///
    /// An attempt that was listed before and is gone without an acknowledgement was lost by its agent, which may have
    /// kept its fencing token: a copy of the call that started the attempt would start it again. It is removed once the
    /// machine has shown a higher token.
    pub(super) fn drop_unlisted_tasks(
        &mut self,
        heartbeat: &Heartbeat,
        source: HeartbeatSource,
        listed: &HashSet<(TaskId, u64)>,
        agent_restarted: bool,
        term_base: u64,
        events: &mut Vec<TaskEvent>,
    ) {
        let shown_fence = heartbeat.fencing_token.checked_sub(term_base);
        let is_lost_by_agent = |(key, entry): (&(TaskId, u64), &TaskEntry)| {
            !agent_restarted
                && !listed.contains(key)
                && entry.delivery == Delivery::Settled
                && entry.may_be_restarted_after(shown_fence)
        };
        let lost_by_agent: Vec<(TaskId, u64)> = self
            .tasks
            .iter()
            .filter(|entry| is_lost_by_agent(*entry))
            .map(|(key, _)| *key)
            .collect();
        let latest_fence = lost_by_agent
            .iter()
            .filter_map(|key| self.tasks[key].start_fence)
            .max();
        if latest_fence.is_some_and(|latest| latest >= self.fence_counter) {
            self.raise_fence();
        }
        let reason = if agent_restarted {
            LEASE_EXPIRED
        } else {
            NOT_ON_MACHINE
        };
        let (machine, term_confirmed) = (&self.id, self.term_confirmed);
        self.tasks.retain(|(task, attempt), entry| {
            if listed.contains(&(*task, *attempt))
                || lost_by_agent.contains(&(*task, *attempt))
                || !rules_out(heartbeat, source, entry, term_confirmed)
            {
                return true;
            }
            if entry.holds_resources() {
                events.push(TaskEvent::lost(machine, *task, *attempt, reason));
            }
            false
        });
    }
}

/// Returns the uid of the job, the task, and the spec of the job if it is live. `None` if the name is
/// not a valid task name.
fn identify<'a>(
    reported: &'a ReportedTask,
    jobs: &mut dyn JobDirectory,
) -> Option<(&'a str, TaskId, Option<Arc<JobSpec>>)> {
    let (uid, index) = split_task_name(&reported.task)?;
    let (job, spec) = match jobs.find(uid) {
        Some((job, spec)) => (job, Some(spec)),
        None => (jobs.number_for_unknown_job(uid), None),
    };
    Some((uid, TaskId { job, index }, spec))
}

/// Whether the heartbeat proves that an attempt it does not list is not on the machine and can no
/// longer be started there.
fn rules_out(
    heartbeat: &Heartbeat,
    source: HeartbeatSource,
    entry: &TaskEntry,
    term_confirmed: bool,
) -> bool {
    if entry.state == TaskState::Unconfirmed {
        // Only a heartbeat under this term rules out that a delayed start of an older leader is executed.
        return term_confirmed;
    }
    match entry.delivery {
        Delivery::Unsent => false,
        Delivery::Settled => true,
        Delivery::Direct {
            token,
            agent_epoch,
            open,
        } => heartbeat.agent_epoch > agent_epoch || (!open && heartbeat.fencing_token > token),
        Delivery::Piggybacked {
            agent_epoch,
            sequence,
        } => {
            heartbeat.agent_epoch > agent_epoch
                || (source.renews_lease() && heartbeat.sequence > sequence)
        }
    }
}

fn reported_state(status: TaskStatus) -> ReportedState {
    if status == TaskStatus::Ended {
        ReportedState::Ended
    } else {
        ReportedState::Present
    }
}

/// Why an attempt without an entry in the ledger must be stopped; `None` if it may keep running.
fn unwanted_reason(task: TaskId, is_live: bool, jobs: &dyn JobDirectory) -> Option<StopReason> {
    if !is_live {
        Some(StopReason::Redundant)
    } else if jobs.is_cancelled(task.job) {
        Some(StopReason::Cancelled)
    } else {
        None
    }
}
