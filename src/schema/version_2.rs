//! Schema version 2: a header per job, and numbered chunks for the tasks that do not fit it.
//!
//! Tasks are written as ranges, `3,7-9`. Placements are separated by spaces, `machine=ranges`; machine names,
//! which are similar, are written as what differs from the previous name within the same value, so each value
//! can be read by itself.

use super::{SCHEMA_VERSION, SchemaError, StoredValues, compress_prefix, expand_prefix};
use crate::clock::Micros;
use crate::job_record::{JobRecord, TaskEnding, TaskRange};
use crate::state_client::{RawJson, to_raw_json};
use crate::wire::JobSpec;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// What a header takes beside the spec and its tasks, at most: field names, node, times and number of chunks.
const HEADER_BYTES: usize = 300;
/// What the fields that are not known yet add to a header that was encoded without them, at most.
const HEADER_COUNT_BYTES: usize = 60;
/// What a header takes beside its endings for their field, at most.
const ENDINGS_FIELD_BYTES: usize = 16;
/// What a chunk takes beside its tasks, at most.
const CHUNK_BYTES: usize = 40;
/// What may stay unused at the end of a chunk, since an entry is not split.
const CHUNK_UNUSED_BYTES: usize = 40;
/// What a placement takes beside the machine's name, at most.
const PLACEMENT_BYTES: usize = 9;
/// What a range of tasks takes, at most: `99998-99999,`.
pub(super) const RANGE_BYTES: usize = 12;
/// A machine with more separate ranges of the job's tasks takes several placements.
const RANGES_PER_PLACEMENT_MAX: usize = 60;

/// A lower bound of what all values of a job can hold beside the spec, in bytes.
pub(super) fn job_capacity_bytes(
    usable_bytes: usize,
    chunks_max: usize,
    spec_bytes: usize,
) -> usize {
    let header = usable_bytes.saturating_sub(spec_bytes + HEADER_BYTES);
    let chunk = usable_bytes.saturating_sub(CHUNK_BYTES + CHUNK_UNUSED_BYTES);
    header + chunks_max * chunk
}

/// An upper bound of what a placement takes, in bytes.
pub(super) fn placement_bytes(name_bytes: usize) -> usize {
    name_bytes + PLACEMENT_BYTES
}

/// The value under `job/<uid>` or `stopping/<uid>`.
#[derive(Serialize, Deserialize)]
pub(super) struct StoredHeader {
    #[serde(rename = "format")]
    pub(super) schema_version: u32,
    spec: Arc<JobSpec>,
    #[serde(rename = "accepted")]
    accepted_at: Micros,
    #[serde(rename = "node")]
    accepted_by: String,
    #[serde(rename = "ready", default, skip_serializing_if = "Option::is_none")]
    ready_at: Option<Micros>,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    done: String,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    placed: String,
    #[serde(rename = "pieces", default, skip_serializing_if = "is_zero")]
    chunks: usize,
    #[serde(default, skip_serializing_if = "VecDeque::is_empty")]
    endings: VecDeque<TaskEnding>,
}

fn is_zero(number: &usize) -> bool {
    *number == 0
}

impl StoredHeader {
    /// The header of a job, without its tasks and endings.
    fn without_tasks(record: &JobRecord) -> Self {
        Self {
            schema_version: SCHEMA_VERSION,
            spec: record.spec.clone(),
            accepted_at: record.accepted_at,
            accepted_by: record.accepted_by.clone(),
            ready_at: record.ready_at,
            done: String::new(),
            placed: String::new(),
            chunks: 0,
            endings: VecDeque::new(),
        }
    }

    /// The job as far as the header holds it, and how many chunks belong to it.
    pub(super) fn into_record(self) -> Result<(JobRecord, usize), SchemaError> {
        let mut record = JobRecord {
            spec: self.spec,
            accepted_at: self.accepted_at,
            accepted_by: self.accepted_by,
            ready_at: self.ready_at,
            done: Vec::new(),
            placed: BTreeMap::new(),
            endings: self.endings,
        };
        add_tasks(&mut record, &self.done, &self.placed)?;
        Ok((record, self.chunks))
    }

    /// Adds the newest endings that fit: they are for operators only.
    fn add_endings(&mut self, endings: &VecDeque<TaskEnding>, mut bytes_left: usize) {
        for ending in endings.iter().rev() {
            let bytes = to_raw_json(ending).get().len() + 1;
            if bytes > bytes_left {
                break;
            }
            bytes_left -= bytes;
            self.endings.push_front(ending.clone());
        }
    }
}

/// The value under `piece/<uid>/<number>`.
#[derive(Default, Serialize, Deserialize)]
struct StoredChunk {
    #[serde(default, skip_serializing_if = "String::is_empty")]
    done: String,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    placed: String,
}

/// Decodes a chunk and adds what it holds to its job's record.
///
/// # Errors
///
/// If the value is no chunk, or holds tasks that the job does not have. The record may then have part of it.
pub fn decode_chunk(value: &RawJson, record: &mut JobRecord) -> Result<(), SchemaError> {
    let chunk: StoredChunk = serde_json::from_str(value.get())?;
    add_tasks(record, &chunk.done, &chunk.placed)
}

fn add_tasks(record: &mut JobRecord, done: &str, placed: &str) -> Result<(), SchemaError> {
    let tasks = record.spec.tasks;
    record.done.extend(decode_ranges(done, tasks)?);
    let mut previous_name = String::new();
    for placement in placed.split(' ').filter(|text| !text.is_empty()) {
        let (name, ranges) = placement
            .rsplit_once('=')
            .ok_or(SchemaError::PlacementWithoutTasks)?;
        let name = expand_prefix(&previous_name, name).ok_or(SchemaError::IncompleteMachineName)?;
        let ranges = decode_ranges(ranges, tasks)?;
        record
            .placed
            .entry(name.as_str().into())
            .or_default()
            .extend(ranges);
        previous_name = name;
    }
    Ok(())
}

fn decode_ranges(text: &str, tasks: u64) -> Result<Vec<TaskRange>, SchemaError> {
    let ranges = text.split(',').filter(|range| !range.is_empty());
    ranges.map(|range| decode_range(range, tasks)).collect()
}

fn decode_range(text: &str, tasks: u64) -> Result<TaskRange, SchemaError> {
    let index = |text: &str| {
        text.parse::<u32>()
            .map_err(|_| SchemaError::InvalidTask(text.to_owned()))
    };
    let (first, last) = text.split_once('-').unwrap_or((text, text));
    let (first, last) = (index(first)?, index(last)?);
    if first > last || u64::from(last) >= tasks {
        return Err(SchemaError::InvalidTaskRange(text.to_owned()));
    }
    Ok((first, last + 1))
}

fn encode_range((start, end): TaskRange) -> String {
    if start + 1 == end {
        start.to_string()
    } else {
        format!("{start}-{}", end - 1)
    }
}

/// Fills values with tasks, one value after the other.
struct ChunkWriter {
    chunk: StoredChunk,
    /// The last machine name in `chunk`; empty for none.
    previous_name: String,
    /// What `chunk` can still take.
    bytes_left: usize,
    /// The values that are full, in order.
    complete: Vec<StoredChunk>,
    usable_bytes: usize,
}

impl ChunkWriter {
    /// Reserves that many bytes, if need be in a new chunk; returns whether it is a new one.
    fn reserve(&mut self, bytes: usize) -> bool {
        let starts_chunk = bytes > self.bytes_left;
        if starts_chunk {
            self.complete.push(std::mem::take(&mut self.chunk));
            self.previous_name.clear();
            self.bytes_left = self.usable_bytes.saturating_sub(CHUNK_BYTES);
        }
        self.bytes_left = self.bytes_left.saturating_sub(bytes);
        starts_chunk
    }

    fn add_done_range(&mut self, range: TaskRange) {
        let text = encode_range(range);
        self.reserve(text.len() + 1);
        if !self.chunk.done.is_empty() {
            self.chunk.done.push(',');
        }
        self.chunk.done.push_str(&text);
    }

    fn add_placement(&mut self, machine: &str, ranges: &str) {
        // JSON writes a quote or a backslash in two bytes or more.
        let escape_bytes = to_raw_json(&machine).get().len() - machine.len() - 2;
        let mut name = compress_prefix(&self.previous_name, machine);
        if self.reserve(name.len() + ranges.len() + 2 + escape_bytes) {
            name = compress_prefix("", machine);
            self.bytes_left = self.bytes_left.saturating_sub(machine.len());
        }
        let placed = &mut self.chunk.placed;
        if !placed.is_empty() {
            placed.push(' ');
        }
        placed.push_str(&name);
        placed.push('=');
        placed.push_str(ranges);
        self.previous_name = machine.to_owned();
    }
}

/// The values of a job; `None` if it takes more than `chunks_max` chunks, or its spec does not fit the header.
pub(super) fn encode_job(
    record: &JobRecord,
    usable_bytes: usize,
    chunks_max: usize,
) -> Option<StoredValues> {
    let mut header = StoredHeader::without_tasks(record);
    let header_bytes = to_raw_json(&header).get().len() + HEADER_COUNT_BYTES;
    let mut writer = ChunkWriter {
        chunk: StoredChunk::default(),
        previous_name: String::new(),
        bytes_left: usable_bytes.checked_sub(header_bytes)?,
        complete: Vec::new(),
        usable_bytes,
    };
    for range in &record.done {
        writer.add_done_range(*range);
    }
    for (machine, ranges) in &record.placed {
        for some in ranges.chunks(RANGES_PER_PLACEMENT_MAX) {
            let texts: Vec<String> = some.iter().map(|range| encode_range(*range)).collect();
            writer.add_placement(machine, &texts.join(","));
        }
    }
    let mut chunks = writer.complete;
    chunks.push(writer.chunk);
    // The first value goes into the header.
    let first = chunks.remove(0);
    if chunks.len() > chunks_max {
        return None;
    }
    (header.done, header.placed, header.chunks) = (first.done, first.placed, chunks.len());
    if chunks.is_empty() {
        let bytes_left = writer.bytes_left.saturating_sub(ENDINGS_FIELD_BYTES);
        header.add_endings(&record.endings, bytes_left);
    }
    Some(StoredValues {
        header: to_raw_json(&header),
        chunks: chunks.iter().map(to_raw_json).collect(),
    })
}
