//! The ledger's entry for one attempt of a task: its state, how its start was delivered, and whether
//! its stop has been requested.
//!
//! A [`Machine`](super::Machine) holds the entries. Invariant: an entry whose end was reported never
//! returns to a live state.

use super::event::TaskEventKind;
use crate::accounting::StopReason;
use crate::clock::Micros;
use crate::fault_injection::{InjectedFault, fault_injected};
use crate::wire::{Command, CommandKind, JobSpec, ReportedTask, TaskStatus};
use compact_str::CompactString;
use std::fmt;
use std::sync::Arc;

/// Recorded as the cause of an end for which the worker reported none.
const UNKNOWN_CAUSE: &str = "unknown";

/// How the start command reached, or may still reach, the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Delivery {
    /// Not sent.
    Unsent,
    /// Sent in a direct call. A call whose answer was lost may be executed minutes later, as long as
    /// the worker has seen no higher fencing token and its agent has not restarted.
    Direct {
        /// Fencing token that the call carried.
        token: u64,
        /// Agent epoch that the call was addressed to.
        agent_epoch: u64,
        /// The call has no outcome yet.
        open: bool,
    },
    /// Sent in the answer to a heartbeat: the worker executes or drops it before it sends its next
    /// heartbeat.
    Piggybacked {
        /// Agent epoch of the heartbeat that was answered.
        agent_epoch: u64,
        /// Sequence number of the heartbeat that was answered.
        sequence: u64,
    },
    /// The worker has reported the attempt, or has certainly processed its start.
    Settled,
}

/// A requested stop, whether or not its command has been sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct StopRequest {
    /// Grace period in seconds, in which the task may save a checkpoint.
    pub(super) grace_s: f64,
    /// When the command was last sent; `None` before the first time.
    pub(super) sent_at: Option<Micros>,
    /// Why the task is stopped.
    pub(super) reason: StopReason,
}

impl StopRequest {
    /// Creates a stop that has not been sent yet.
    pub(super) fn new(grace_s: f64, reason: StopReason) -> Self {
        Self {
            grace_s,
            sent_at: None,
            reason,
        }
    }
}

/// State of an attempt, from the decision to place it to its reported end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// The placement is decided but not stored yet; no start has been sent.
    Planned,
    /// The placement is stored; the start is due to be sent.
    Ready,
    /// The start was sent; no heartbeat has listed the attempt so far.
    Sent,
    /// A placement that an earlier leader stored; the attempt may or may not exist.
    Unconfirmed,
    /// The worker fetches the container image.
    Fetching,
    /// The task runs, or waits for the rest of its gang.
    Running,
    /// The task saves a checkpoint before it stops.
    Checkpointing,
    /// Its end was reported; the worker keeps the record until it is acknowledged.
    Ended,
}

impl TaskState {
    /// The state's name, as shown to operators.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Planned => "planned",
            Self::Ready => "ready",
            Self::Sent => "sent",
            Self::Unconfirmed => "unconfirmed",
            Self::Fetching => "fetching",
            Self::Running => "running",
            Self::Checkpointing => "checkpointing",
            Self::Ended => "ended",
        }
    }
}

impl fmt::Display for TaskState {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// An attempt of a task that is, or may be, on a machine.
#[derive(Debug)]
pub struct TaskEntry {
    /// Current state of the attempt.
    pub state: TaskState,
    /// The job's spec; `None` if the job is finished or unknown, so that the size of the task is
    /// unknown too.
    pub spec: Option<Arc<JobSpec>>,
    /// Uid of the job.
    pub uid: Arc<str>,
    pub(super) delivery: Delivery,
    /// Highest fence counter of a direct call of this term that carried the start. A copy of that call is executed
    /// as long as the worker has seen no higher one, and starts the attempt again once its record is dropped.
    pub(super) start_fence: Option<u64>,
    pub(super) stop: Option<StopRequest>,
    /// Why it ended, as reported by the worker; `None` before the end.
    pub cause: Option<CompactString>,
    /// The end is stored or need not be, so it may be acknowledged; the worker then drops its record.
    pub(super) acknowledge_allowed: bool,
    pub(super) acknowledge_sent_at: Option<Micros>,
    /// When the entry was added to the ledger.
    pub added_at: Micros,
    /// When a heartbeat first listed it as running, on this leader's clock.
    pub running_since: Option<Micros>,
    started_by_this_leader: bool,
}

impl TaskEntry {
    /// Creates the entry for a placement of a live job: one decided by this leader (`Planned`) or one
    /// stored by an earlier leader (`Unconfirmed`).
    pub(super) fn placed(state: TaskState, spec: &Arc<JobSpec>, now: Micros) -> Self {
        Self {
            state,
            spec: Some(spec.clone()),
            uid: spec.uid.clone(),
            delivery: Delivery::Unsent,
            start_fence: None,
            stop: None,
            cause: None,
            acknowledge_allowed: false,
            acknowledge_sent_at: None,
            added_at: now,
            running_since: None,
            started_by_this_leader: state == TaskState::Planned,
        }
    }

    /// Creates the entry for an attempt that a heartbeat revealed; the caller then applies its reported
    /// status.
    pub(super) fn reported(
        uid: &str,
        spec: Option<Arc<JobSpec>>,
        stop: Option<StopRequest>,
        now: Micros,
    ) -> Self {
        Self {
            state: TaskState::Sent,
            spec,
            uid: uid.into(),
            delivery: Delivery::Settled,
            start_fence: None,
            stop,
            cause: None,
            acknowledge_allowed: false,
            acknowledge_sent_at: None,
            added_at: now,
            running_since: None,
            started_by_this_leader: false,
        }
    }

    /// Whether this leader placed it, so that its run time is known.
    pub fn started_by_this_leader(&self) -> bool {
        self.started_by_this_leader
    }

    /// Whether a stop has been requested.
    pub fn is_stopping(&self) -> bool {
        self.stop.is_some()
    }

    /// Whether a start, or a stop that was never sent, waits to be sent.
    pub(super) fn has_unsent_command(&self) -> bool {
        self.state == TaskState::Ready
            || (self.holds_resources() && self.stop.is_some_and(|stop| stop.sent_at.is_none()))
    }

    /// Whether it holds resources on its machine: it has not ended, as far as is known.
    pub fn holds_resources(&self) -> bool {
        self.state != TaskState::Ended
    }

    /// Whether no command about this attempt is due to the worker and nothing about it awaits proof.
    pub(super) fn is_settled(&self) -> bool {
        self.delivery == Delivery::Settled
            && self.stop.is_none()
            && !matches!(
                self.state,
                TaskState::Planned | TaskState::Ready | TaskState::Unconfirmed
            )
            && !(self.state == TaskState::Ended && self.acknowledge_allowed)
    }

    /// Whether a copy of a direct call that carried the start may still be executed by a worker that has seen no
    /// higher fence counter than this one.
    pub(super) fn may_be_restarted(&self, fence_counter: u64) -> bool {
        !fault_injected(InjectedFault::AcknowledgedStartsNotFenced)
            && self
                .start_fence
                .is_some_and(|start_fence| start_fence >= fence_counter)
    }

    /// Whether a copy of a direct call that carried the start may still be executed by a worker that has shown this fence
    /// counter; `None` if its token is not of this term.
    pub(super) fn may_be_restarted_after(&self, shown_fence: Option<u64>) -> bool {
        match shown_fence {
            Some(shown_fence) => self.may_be_restarted(shown_fence),
            None => self.start_fence.is_some(),
        }
    }

    /// Creates a command for this attempt; `index` is the index of the task within its job.
    pub(super) fn command(
        &self,
        kind: CommandKind,
        index: u32,
        attempt: u64,
        grace_s: Option<f64>,
    ) -> Command {
        Command {
            kind,
            task: format!("{}/{index}", self.uid),
            attempt,
            grace_s,
        }
    }

    /// Applies the status reported in a heartbeat; returns an event if the attempt started running or
    /// ended.
    pub(super) fn apply_reported_status(
        &mut self,
        now: Micros,
        reported: &ReportedTask,
    ) -> Option<TaskEventKind> {
        match reported.status {
            _ if self.state == TaskState::Ended => None,
            TaskStatus::Fetching => {
                self.state = TaskState::Fetching;
                None
            }
            TaskStatus::Running | TaskStatus::WaitingForGang | TaskStatus::Checkpointing => {
                self.state = if reported.status == TaskStatus::Checkpointing {
                    TaskState::Checkpointing
                } else {
                    TaskState::Running
                };
                if self.running_since.is_some() {
                    return None;
                }
                self.running_since = Some(now);
                Some(TaskEventKind::Started)
            }
            TaskStatus::Ended => Some(self.record_end(now, reported)),
        }
    }

    fn record_end(&mut self, now: Micros, reported: &ReportedTask) -> TaskEventKind {
        self.state = TaskState::Ended;
        let started_at = self.running_since.filter(|_| self.started_by_this_leader);
        let cause = reported
            .cause
            .clone()
            .unwrap_or_else(|| UNKNOWN_CAUSE.into());
        self.cause = Some(cause.clone());
        if self.spec.is_none() {
            // The end of a task of a finished or unknown job is not stored.
            self.acknowledge_allowed = true;
        }
        TaskEventKind::Ended {
            cause,
            saved: reported.saved == Some(true),
            run_time: started_at.map_or(0, |started_at| now.saturating_sub(started_at)),
            stop: self.stop.map(|stop| stop.reason),
        }
    }
}
