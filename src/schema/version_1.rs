//! Schema version 1: a job is one value with its placements as a map, and so is a page of the machine registry.
//!
//! It is written until the stored version goes up, and can be deleted once no deployment runs under it any more.

use super::SchemaError;
use crate::clock::Micros;
use crate::job_record::{JobRecord, TaskEnding, TaskRange};
use crate::state_client::{RawJson, to_raw_json};
use crate::wire::JobSpec;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// What a record takes beside spec and tasks, at most: field names, node, times and endings.
const RECORD_BYTES: usize = 1_600;
/// The same without endings.
const BARE_RECORD_BYTES: usize = 300;
/// What a range of tasks takes, at most: `[12345,12346],`.
pub const RANGE_BYTES: usize = 14;
/// What a placement takes beside the machine's name and its range, at most.
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

/// An upper bound of what a placement takes, in bytes.
pub fn placement_bytes(name_bytes: usize) -> usize {
    name_bytes + RANGE_BYTES + PLACEMENT_BYTES
}

/// A lower bound of the capacity for placements, in bytes. With small values, endings are left out.
pub fn job_capacity_bytes(value_bytes: usize, spec_bytes: usize) -> usize {
    let record_bytes = RECORD_BYTES.min((value_bytes / 8).max(BARE_RECORD_BYTES));
    value_bytes.saturating_sub(spec_bytes + record_bytes)
}

/// Decodes a job.
///
/// # Errors
///
/// If the value is no job of this version.
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

/// The value of a job, without its endings if it would be longer than `usable_bytes` with them; `None` if it
/// is longer even so.
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
        // Endings are for display only; the rest decides what may run.
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
    /// Zone that it is in.
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
    /// Time of day of the last contact with a machine that has become silent, in microseconds.
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
