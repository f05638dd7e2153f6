//! Jobs as stored: their keys, the record of a live one and the final state of one that is over, and what
//! users are told of either. Plain data; `schema` encodes it, `jobs` holds the live ones.

use crate::clock::Micros;
use crate::state_client::raw;
use crate::wire::JobSpec;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

pub const LIVE_PREFIX: &str = "job/";
pub const FINISHED_PREFIX: &str = "over/";
/// Cancelled jobs whose tasks may still be on machines, kept until all are gone.
pub const STOPPING_PREFIX: &str = "stopping/";

pub fn live_key(uid: &str) -> String {
    format!("{LIVE_PREFIX}{uid}")
}

pub fn finished_key(uid: &str) -> String {
    format!("{FINISHED_PREFIX}{uid}")
}

pub fn stopping_key(uid: &str) -> String {
    format!("{STOPPING_PREFIX}{uid}")
}

/// Why a task's attempt ended, for the operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskEnding {
    pub part: u32,
    pub machine: String,
    pub cause: String,
    /// Time of day, in whole microseconds.
    pub at: Micros,
}

/// A job as the state service holds it; `layout` says how.
#[derive(Clone, Debug, PartialEq)]
pub struct JobRecord {
    pub spec: Arc<JobSpec>,
    /// Time of day of acceptance, in whole microseconds.
    pub accepted_at: Micros,
    pub accepted_by: String,
    /// Time of day when the last job that it needs was done, once the leader has found out.
    pub ready_at: Option<Micros>,
    pub done: Vec<(u32, u32)>,
    /// Tasks that may be on machines, stored before their first start.
    pub placed: BTreeMap<Arc<str>, Vec<(u32, u32)>>,
    pub endings: VecDeque<TaskEnding>,
}

/// What is kept of a job for good.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FinalState {
    pub status: String,
    pub done: u64,
    #[serde(rename = "accepted")]
    pub accepted_at: Micros,
    #[serde(rename = "over")]
    pub finished_at: Micros,
    /// The cancelled job that this one needed, if that is why it was cancelled.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "because")]
    pub cancelled_with: Option<String>,
    #[serde(default)]
    pub endings: VecDeque<TaskEnding>,
}

impl FinalState {
    pub fn is_done(&self) -> bool {
        self.status == "done"
    }

    /// Leaves out the oldest endings until it fits a value.
    pub fn fit(mut self, usable: usize) -> Self {
        while raw(&self).get().len() > usable && self.endings.pop_front().is_some() {}
        self
    }
}

impl JobRecord {
    pub fn new(spec: JobSpec, accepted: Micros, node: &str) -> Self {
        Self {
            spec: Arc::new(spec),
            accepted_at: accepted,
            accepted_by: node.to_owned(),
            ready_at: None,
            done: Vec::new(),
            placed: BTreeMap::new(),
            endings: VecDeque::new(),
        }
    }

    pub fn done_count(&self) -> u64 {
        self.done
            .iter()
            .map(|r| u64::from(r.1.saturating_sub(r.0)))
            .sum()
    }

    pub fn placed_count(&self) -> u64 {
        self.placed
            .values()
            .flatten()
            .map(|r| u64::from(r.1.saturating_sub(r.0)))
            .sum()
    }

    /// What a user is told of a job that is not over.
    pub fn status_body(&self) -> Value {
        live_body(&self.spec.uid, self.done_count(), self.placed_count())
    }

    pub fn finish(&self, status: &str, over: Micros) -> FinalState {
        FinalState {
            status: status.to_owned(),
            done: if status == "done" {
                self.spec.tasks
            } else {
                self.done_count()
            },
            accepted_at: self.accepted_at,
            finished_at: over,
            cancelled_with: None,
            endings: self.endings.clone(),
        }
    }
}

pub fn live_body(uid: &str, done: u64, running: u64) -> Value {
    let status = if running > 0 { "running" } else { "pending" };
    json!({"uid": uid, "status": status, "done": done, "running": running})
}

pub fn final_body(uid: &str, f: &FinalState) -> Value {
    json!({"uid": uid, "status": f.status, "done": f.done, "running": 0})
}
