//! Schema version 1: a job is one JSON value with its placements as a map. A page of the machine registry is one
//! JSON value with its machines as a map.
//!
//! This version is written until the stored schema version is raised. The module can be deleted once no deployment
//! has data of this version any more.

use super::SchemaError;
use crate::clock::Micros;
use crate::job_record::{JobRecord, TaskEnding, TaskRange};
use crate::state_client::{RawJson, to_raw_json};
use crate::wire::JobSpec;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Upper bound of the size of a record without spec and tasks: field names, node, times and endings.
const RECORD_BYTES: usize = 1_600;
/// Upper bound of the size of a record without spec, tasks and endings.
const BARE_RECORD_BYTES: usize = 300;
/// Upper bound of the size of a range of tasks: `[12345,12346],`.
pub const RANGE_BYTES: usize = 14;
/// Upper bound of the size of a placement without the machine's name and its range.
const PLACEMENT_BYTES: usize = 8;

/// The value under `job/<uid>` or `stopping/<uid>`.
#[derive(Serialize, Deserialize)]
struct StoredRecord {
    spec: Arc<JobSpec>,
    #[serde(rename = "accepted")]
    accepted_at: Micros,
    #[serde(rename = "node")]
    accepted_by: String,
    #[serde(rename = "ready", default, skip_serializing_if = "Option::is_none")]
    ready_at: Option<Micros>,
    #[serde(default)]
    done: Vec<TaskRange>,
    #[serde(default)]
    placed: BTreeMap<Arc<str>, Vec<TaskRange>>,
    #[serde(default)]
    endings: VecDeque<TaskEnding>,
}

/// Upper bound of the size of a placement on a machine whose name has `name_bytes` bytes, in bytes.
pub fn placement_bytes(name_bytes: usize) -> usize {
    name_bytes + RANGE_BYTES + PLACEMENT_BYTES
}

/// Lower bound of the capacity for placements, in bytes. Values too small for endings are written without them.
pub fn job_capacity_bytes(value_bytes: usize, spec_bytes: usize) -> usize {
    let record_bytes = RECORD_BYTES.min((value_bytes / 8).max(BARE_RECORD_BYTES));
    value_bytes.saturating_sub(spec_bytes + record_bytes)
}

/// Decodes a job.
///
/// # Errors
///
/// Returns an error if the value is not a job of this version.
pub fn decode_job(value: &RawJson) -> Result<JobRecord, SchemaError> {
    let stored: StoredRecord = serde_json::from_str(value.get())?;
    Ok(JobRecord {
        spec: stored.spec,
        accepted_at: stored.accepted_at,
        accepted_by: stored.accepted_by,
        ready_at: stored.ready_at,
        done: stored.done,
        placed: stored.placed,
        endings: stored.endings,
    })
}

/// Encodes a job. Leaves out its endings if the value would be longer than `usable_bytes` with them; returns `None`
/// if it is too long even without them.
pub fn encode_job(record: &JobRecord, usable_bytes: usize) -> Option<RawJson> {
    let mut stored = StoredRecord {
        spec: record.spec.clone(),
        accepted_at: record.accepted_at,
        accepted_by: record.accepted_by.clone(),
        ready_at: record.ready_at,
        done: record.done.clone(),
        placed: record.placed.clone(),
        endings: record.endings.clone(),
    };
    let mut value = to_raw_json(&stored);
    if value.get().len() > usable_bytes {
        // Endings are shown to operators only; all other fields are needed to decide what may run.
        stored.endings.clear();
        value = to_raw_json(&stored);
    }
    (value.get().len() <= usable_bytes).then_some(value)
}

/// One machine of a registry page.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RegistryEntry {
    /// Address of the machine's agent.
    #[serde(rename = "addr")]
    pub address: String,
    /// Name of the machine's type.
    #[serde(rename = "sku")]
    pub machine_type: String,
    /// The machine's zone.
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub spot: bool,
    /// Whether this cluster has rented it.
    #[serde(rename = "hired", default, skip_serializing_if = "std::ops::Not::not")]
    pub rented: bool,
    /// The images that it has cached, as indexes into [`StoredPage::images`].
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub images: Vec<usize>,
    /// Silence mark, if the machine has become silent: time of day of the last contact with it, in microseconds.
    #[serde(rename = "quiet", default, skip_serializing_if = "Option::is_none")]
    pub silent_since: Option<Micros>,
}

/// One page of the machine registry.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredPage {
    /// The images that machines of the page have cached.
    #[serde(default)]
    pub images: Vec<Arc<str>>,
    /// The machines, by name.
    #[serde(default)]
    pub machines: BTreeMap<Arc<str>, RegistryEntry>,
}
