//! The events that the ledger emits to its owner, and the reasons why attempts are lost.
//!
//! The reasons are also stored as the causes of task endings, so their texts must not change.

use crate::accounting::StopReason;
use crate::clock::Micros;
use crate::task_id::TaskId;
use compact_str::CompactString;
use std::sync::Arc;

/// Reason for a lost attempt: the worker's lease expired, or its agent restarted.
pub const LEASE_EXPIRED: &str = "the worker's lease ran out";
/// Reason for a lost attempt: its machine was released or has failed.
pub const MACHINE_GONE: &str = "its machine is gone";
/// Reason for a lost attempt: its machine is proven not to have it, and the start can no longer be executed.
pub const NOT_ON_MACHINE: &str = "not on its machine";
/// Reason for a lost attempt: its placement was withdrawn before its start was sent.
pub const WITHDRAWN: &str = "withdrawn";

/// A change of an attempt's state.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskEvent {
    /// The machine of the attempt.
    pub machine: Arc<str>,
    /// The task of the attempt.
    pub task: TaskId,
    /// Number of the attempt; 0 for a stored placement whose attempt is not known.
    pub attempt: u64,
    /// What happened.
    pub kind: TaskEventKind,
}

impl TaskEvent {
    /// The event that an attempt is certainly not on the machine, or never was.
    pub(super) fn lost(
        machine: &Arc<str>,
        task: TaskId,
        attempt: u64,
        reason: &'static str,
    ) -> Self {
        Self {
            machine: machine.clone(),
            task,
            attempt,
            kind: TaskEventKind::Lost { reason },
        }
    }
}

/// What happened to an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum TaskEventKind {
    /// A heartbeat lists an attempt of a live job that the ledger had no entry for.
    Discovered,
    /// A heartbeat lists the attempt as running for the first time.
    Started,
    /// A heartbeat has listed the attempt that a stored placement stands for.
    PlacementConfirmed,
    /// The attempt ended.
    Ended {
        /// Why it ended, as reported by the worker.
        cause: CompactString,
        /// Whether a checkpoint was saved.
        saved: bool,
        /// How long it ran; 0 unless this leader started it.
        run_time: Micros,
        /// Why it was commanded to stop, if it was.
        stop: Option<StopReason>,
    },
    /// The attempt is certainly not on the machine any more, or never was.
    Lost {
        /// One of the reasons above, such as [`LEASE_EXPIRED`].
        reason: &'static str,
    },
}
