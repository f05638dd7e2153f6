//! Format 1, the old layout: a job is one value with its placements as a map, and so is a page of
//! the roll. It is written until the format goes up, and can be deleted once no deployment runs
//! under it any more.

use crate::clock::Micros;
use crate::job_record::{JobRecord, TaskEnding};
use crate::state_client::{Raw, raw};
use crate::wire::JobSpec;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Field names, node, times and endings of a record.
const RECORD_HEAD: usize = 1_600;
/// Without endings.
const BARE_HEAD: usize = 300;
/// `[12345,12346],`
pub const RANGE_BYTES: usize = 14;

/// A job as the state service holds it.
#[derive(Serialize, Deserialize)]
struct Stored {
    spec: Arc<JobSpec>,
    accepted: Micros,
    node: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    ready: Option<Micros>,
    #[serde(default)]
    done: Vec<(u32, u32)>,
    #[serde(default)]
    placed: BTreeMap<Arc<str>, Vec<(u32, u32)>>,
    #[serde(default)]
    endings: VecDeque<TaskEnding>,
}

pub fn placement_bytes(name_bytes: usize) -> usize {
    name_bytes + RANGE_BYTES + 8
}

/// Room for placements. Under small values the endings are left out.
pub fn job_capacity_bytes(value_bytes: usize, spec_bytes: usize) -> usize {
    let head = RECORD_HEAD.min((value_bytes / 8).max(BARE_HEAD));
    value_bytes.saturating_sub(spec_bytes + head)
}

pub fn decode_job(value: &Raw) -> Result<JobRecord, String> {
    let s: Stored = serde_json::from_str(value.get()).map_err(|e| e.to_string())?;
    Ok(JobRecord {
        spec: s.spec,
        accepted_at: s.accepted,
        accepted_by: s.node,
        ready_at: s.ready,
        done: s.done,
        placed: s.placed,
        endings: s.endings,
    })
}

/// The value of a job, without its endings when it would be too large; None when it still is.
pub fn encode_job(record: &JobRecord, usable: usize) -> Option<Raw> {
    let mut stored = Stored {
        spec: record.spec.clone(),
        accepted: record.accepted_at,
        node: record.accepted_by.clone(),
        ready: record.ready_at,
        done: record.done.clone(),
        placed: record.placed.clone(),
        endings: record.endings.clone(),
    };
    let mut value = raw(&stored);
    if value.get().len() > usable {
        // Endings are for display; the rest decides what may run.
        stored.endings.clear();
        value = raw(&stored);
    }
    (value.get().len() <= usable).then_some(value)
}

/// One machine of the roll. Images are numbers into the page's own list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RegistryEntry {
    pub addr: String,
    #[serde(rename = "sku")]
    pub machine_type: String,
    pub zone: String,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub spot: bool,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    #[serde(rename = "hired")]
    pub rented: bool,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub images: Vec<usize>,
    /// Time of day of the last contact with a machine that fell silent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quiet: Option<Micros>,
}

/// One page of the roll.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredPage {
    #[serde(default)]
    pub images: Vec<Arc<str>>,
    #[serde(default)]
    pub machines: BTreeMap<Arc<str>, RegistryEntry>,
}
