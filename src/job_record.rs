//! Jobs as they are stored: their keys, the record of a live job, the final state of a finished one, and the
//! status responses that clients get for them.
//!
//! This module holds data types only. `schema` encodes them for the key-value store, and `jobs` holds the
//! leader's live jobs. A job has either a live record or a final state, never both: the transaction that writes
//! the final state deletes the live record. A final state never changes.

use crate::clock::Micros;
use crate::state_client::to_raw_json;
use crate::wire::JobSpec;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Prefix of the keys of live jobs.
pub const LIVE_PREFIX: &str = "job/";
/// Prefix of the keys of final states.
pub const FINISHED_PREFIX: &str = "over/";
/// Prefix of the keys of cancelled jobs whose tasks may still be on machines. Such a record is kept until no
/// machine has any of them.
pub const STOPPING_PREFIX: &str = "stopping/";

/// The [`FinalState::status`] of a job whose tasks are all done.
const STATUS_DONE: &str = "done";

/// A half-open range of task indexes: the first, and the one after the last.
pub type TaskRange = (u32, u32);

/// The key of a live job.
pub fn live_key(uid: &str) -> String {
    format!("{LIVE_PREFIX}{uid}")
}

/// The key of a job's final state.
pub fn finished_key(uid: &str) -> String {
    format!("{FINISHED_PREFIX}{uid}")
}

/// The key of a cancelled job whose tasks are being stopped.
pub fn stopping_key(uid: &str) -> String {
    format!("{STOPPING_PREFIX}{uid}")
}

/// How an attempt of a task ended; shown to operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskEnding {
    /// Index of the task within its job.
    #[serde(rename = "part")]
    pub task_index: u32,
    /// The machine that the attempt was on.
    pub machine: String,
    /// The cause as reported by the worker, or as determined by the leader.
    pub cause: String,
    /// Time of day, in microseconds.
    #[serde(rename = "at")]
    pub ended_at: Micros,
}

/// A live job as the key-value store holds it; `schema` defines its encoding.
#[derive(Clone, Debug, PartialEq)]
pub struct JobRecord {
    /// The job as its user submitted it.
    pub spec: Arc<JobSpec>,
    /// Time of day at which the job was accepted, in microseconds.
    pub accepted_at: Micros,
    /// Name of the controller that accepted it.
    pub accepted_by: String,
    /// Time of day at which the last of its dependencies was done, in microseconds; `None` until the leader knows.
    pub ready_at: Option<Micros>,
    /// The tasks that are done.
    pub done: Vec<TaskRange>,
    /// The tasks that may be on each machine. A placement is stored before its tasks are started.
    pub placed: BTreeMap<Arc<str>, Vec<TaskRange>>,
    /// The latest endings of attempts, the oldest first.
    pub endings: VecDeque<TaskEnding>,
}

/// What is kept of a finished job permanently.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FinalState {
    /// `done` or `cancelled`.
    pub status: String,
    /// How many tasks were done.
    pub done: u64,
    /// Time of day at which the job was accepted, in microseconds.
    #[serde(rename = "accepted")]
    pub accepted_at: Micros,
    /// Time of day at which the job finished, in microseconds.
    #[serde(rename = "over")]
    pub finished_at: Micros,
    /// The uid of the cancelled dependency, if this job was cancelled because of one.
    #[serde(rename = "because", default, skip_serializing_if = "Option::is_none")]
    pub cancelled_with: Option<String>,
    /// The latest endings of attempts, the oldest first.
    #[serde(default)]
    pub endings: VecDeque<TaskEnding>,
}

impl FinalState {
    /// Whether all tasks are done; false for a cancelled job.
    pub fn is_done(&self) -> bool {
        self.status == STATUS_DONE
    }

    /// Drops the oldest endings until the encoded state is at most `usable_bytes` long or no endings are left.
    pub fn truncate_to_fit(mut self, usable_bytes: usize) -> Self {
        while to_raw_json(&self).get().len() > usable_bytes && self.endings.pop_front().is_some() {}
        self
    }
}

impl JobRecord {
    /// Creates the record of a job that the controller `accepted_by` accepts at this time of day.
    pub fn new(spec: JobSpec, accepted_at: Micros, accepted_by: &str) -> Self {
        Self {
            spec: Arc::new(spec),
            accepted_at,
            accepted_by: accepted_by.to_owned(),
            ready_at: None,
            done: Vec::new(),
            placed: BTreeMap::new(),
            endings: VecDeque::new(),
        }
    }

    /// How many tasks are done.
    pub fn done_count(&self) -> u64 {
        count_tasks(&self.done)
    }

    /// How many tasks may be on machines.
    pub fn placed_count(&self) -> u64 {
        count_tasks(self.placed.values().flatten())
    }

    /// The response to a client's status request for this job.
    pub fn status_body(&self) -> Value {
        live_status_body(&self.spec.uid, self.done_count(), self.placed_count())
    }

    /// Returns the final state of a job that finishes with this status at this time of day.
    pub fn to_final_state(&self, status: &str, finished_at: Micros) -> FinalState {
        FinalState {
            status: status.to_owned(),
            done: if status == STATUS_DONE {
                self.spec.tasks
            } else {
                self.done_count()
            },
            accepted_at: self.accepted_at,
            finished_at,
            cancelled_with: None,
            endings: self.endings.clone(),
        }
    }
}

fn count_tasks<'a>(ranges: impl IntoIterator<Item = &'a TaskRange>) -> u64 {
    let lengths = ranges
        .into_iter()
        .map(|(start, end)| u64::from(end.saturating_sub(*start)));
    lengths.sum()
}

/// The response to a client's status request for a live job with this many tasks done and placed.
pub fn live_status_body(uid: &str, done: u64, running: u64) -> Value {
    let status = if running > 0 { "running" } else { "pending" };
    json!({"uid": uid, "status": status, "done": done, "running": running})
}

/// The response to a client's status request for a finished job.
pub fn final_status_body(uid: &str, state: &FinalState) -> Value {
    json!({"uid": uid, "status": state.status, "done": state.done, "running": 0})
}
