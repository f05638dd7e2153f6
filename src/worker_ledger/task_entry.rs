//! One attempt of a task as the ledger knows it: its state, how its start was delivered, and
//! whether it has been asked to stop.
//!
//! Owns no map and sends nothing: a [`Machine`](super::Machine) holds the entries. The invariant
//! kept here is that an entry whose end was reported never returns to a live state.

use super::event::TaskEventKind;
use crate::accounting::StopReason;
use crate::clock::Micros;
use crate::wire::{Command, CommandKind, JobSpec, ReportedTask, TaskStatus};
use compact_str::CompactString;
use std::fmt;
use std::sync::Arc;

/// Recorded as the cause of an end for which the worker gave none.
const UNKNOWN_CAUSE: &str = "unknown";

/// How the start command reached, or may yet reach, the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Delivery {
    /// Not sent.
    Unsent,
    /// In a direct call. A call whose answer was lost may be executed minutes later, as long as
    /// the worker has seen no higher fencing token and its agent has not restarted.
    Direct {
        /// Fencing token that the call carried.
        token: u64,
        /// Agent epoch that the call was addressed to.
        agent_epoch: u64,
        /// The call has no outcome yet.
        open: bool,
    },
    /// Piggybacked on the answer to this heartbeat: the worker executes or drops it before it
    /// sends its next heartbeat.
    Piggybacked {
        /// Agent epoch of the heartbeat that was answered.
        agent_epoch: u64,
        /// Sequence number of the heartbeat that was answered.
        sequence: u64,
    },
    /// The worker has reported the attempt, or has surely handled its start.
    Settled,
}

/// A stop that the worker was, or is to be, commanded.
#[derive(Clone, Copy, Debug)]
pub(super) struct StopRequest {
    /// Time that the task gets to save its state, in seconds.
    pub(super) grace_s: f64,
    /// When the command was last sent; `None` before the first time.
    pub(super) sent_at: Option<Micros>,
    /// Why the task is stopped.
    pub(super) reason: StopReason,
}

impl StopRequest {
    /// A stop that has not been sent yet.
    pub(super) fn new(grace_s: f64, reason: StopReason) -> Self {
        Self {
            grace_s,
            sent_at: None,
            reason,
        }
    }
}

/// Where an attempt stands, from the decision to place it to its reported end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// Decided, but the placement is not stored yet; nothing has been sent.
    Planned,
    /// The placement is stored; the start is to be sent.
    Ready,
    /// The start was sent, and no heartbeat has listed the attempt so far.
    Sent,
    /// From a placement that an earlier leader stored; the attempt may exist or not.
    Unconfirmed,
    /// The worker fetches its image.
    Fetching,
    /// The task runs, or waits for the rest of its gang.
    Running,
    /// The task saves its state before it stops.
    Checkpointing,
    /// Its end was reported; the worker keeps the record until it is acknowledged.
    Ended,
}

impl TaskState {
    /// The state's name, as operators see it.
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
    /// Where the attempt stands.
    pub state: TaskState,
    /// The job's description; `None` when the job is over or unknown, so that the size of the
    /// task is unknown too.
    pub spec: Option<Arc<JobSpec>>,
    /// Name of the job that it belongs to.
    pub uid: Arc<str>,
    pub(super) delivery: Delivery,
    pub(super) stop: Option<StopRequest>,
    /// Why it ended, in the worker's words, once it has.
    pub cause: Option<CompactString>,
    /// The end is stored or of no use: the worker may drop its record.
    pub(super) acknowledge_allowed: bool,
    pub(super) acknowledge_sent_at: Option<Micros>,
    /// When the ledger learned of it.
    pub added_at: Micros,
    /// When a heartbeat first listed it as running, by this leader's clock.
    pub running_since: Option<Micros>,
    started_by_this_leader: bool,
}

impl TaskEntry {
    /// A placement of a job that is live: one decided by this leader (`Planned`) or one that an
    /// earlier leader stored (`Unconfirmed`).
    pub(super) fn placed(state: TaskState, spec: &Arc<JobSpec>, now: Micros) -> Self {
        Self {
            state,
            spec: Some(spec.clone()),
            uid: spec.uid.clone(),
            delivery: Delivery::Unsent,
            stop: None,
            cause: None,
            acknowledge_allowed: false,
            acknowledge_sent_at: None,
            added_at: now,
            running_since: None,
            started_by_this_leader: state == TaskState::Planned,
        }
    }

    /// An attempt that the ledger learns of from a heartbeat; its reported status is applied next.
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
            stop,
            cause: None,
            acknowledge_allowed: false,
            acknowledge_sent_at: None,
            added_at: now,
            running_since: None,
            started_by_this_leader: false,
        }
    }

    /// Whether this leader started it, so that its run time is known.
    pub fn started_by_this_leader(&self) -> bool {
        self.started_by_this_leader
    }

    /// Whether a stop has been requested.
    pub fn is_stopping(&self) -> bool {
        self.stop.is_some()
    }

    /// Whether a start or a first stop waits to be sent.
    pub(super) fn has_unsent_command(&self) -> bool {
        self.state == TaskState::Ready
            || (self.holds_resources() && self.stop.is_some_and(|stop| stop.sent_at.is_none()))
    }

    /// Whether it takes resources on its machine.
    pub fn holds_resources(&self) -> bool {
        self.state != TaskState::Ended
    }

    /// Whether nothing is due to the worker over this attempt and nothing about it is open.
    pub(super) fn is_settled(&self) -> bool {
        self.delivery == Delivery::Settled
            && self.stop.is_none()
            && !matches!(
                self.state,
                TaskState::Planned | TaskState::Ready | TaskState::Unconfirmed
            )
            && !(self.state == TaskState::Ended && self.acknowledge_allowed)
    }

    /// A command for this attempt of the task with that index.
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

    /// Takes over the status that a heartbeat gives; returns the event that it amounts to, if it
    /// is a transition that others act on.
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
            // Nobody will store the end of a job that is over or unknown.
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
