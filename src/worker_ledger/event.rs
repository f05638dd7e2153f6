//! What the ledger tells its owner: the changes that it learned of, and why attempts were lost.
//!
//! Plain data. The reasons are also the causes that are stored with a task, so their texts stay as
//! they are.

use crate::accounting::StopReason;
use crate::clock::Micros;
use crate::task_id::TaskId;
use compact_str::CompactString;
use std::sync::Arc;

/// Why an attempt was lost: the worker's lease ran out, or its agent restarted.
pub const LEASE_EXPIRED: &str = "the worker's lease ran out";
/// Why an attempt was lost: its machine was released or has failed.
pub const MACHINE_GONE: &str = "its machine is gone";
/// Why an attempt was lost: its machine has proven that it does not hold it.
pub const NOT_ON_MACHINE: &str = "not on its machine";
/// Why an attempt was lost: its placement was taken back before its start was sent.
pub const WITHDRAWN: &str = "withdrawn";

/// A change that the ledger learned of.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskEvent {
    /// The machine that it happened on.
    pub machine: Arc<str>,
    /// The task that it is about.
    pub task: TaskId,
    /// The attempt of the task; 0 stands for a stored placement whose attempt is not known.
    pub attempt: u64,
    /// What happened.
    pub kind: TaskEventKind,
}

impl TaskEvent {
    /// The event that an attempt is surely not on the machine, or never was.
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
    /// A heartbeat lists an attempt that the ledger had not placed there.
    Discovered,
    /// The attempt runs.
    Started,
    /// A stored placement is the attempt that a heartbeat has listed.
    PlacementConfirmed,
    /// The attempt ended.
    Ended {
        /// Why it ended, in the worker's words.
        cause: CompactString,
        /// Whether its state was saved.
        saved: bool,
        /// How long it ran; 0 unless this leader started it.
        run_time: Micros,
        /// Why it was commanded to stop, if it was.
        stop: Option<StopReason>,
    },
    /// The attempt is surely not there any more, or never was.
    Lost {
        /// What is the proof of it.
        reason: &'static str,
    },
}
