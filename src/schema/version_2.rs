//! Schema version 2: a header per job, and numbered chunks for the tasks that do not fit the header.
//!
//! Tasks are written as ranges, `3,7-9`. Placements are written as `machine=ranges`, separated by spaces. Machine
//! names, which are similar, are prefix-compressed against the previous name in the same value, so that each
//! value can be decoded by itself.

use super::{SCHEMA_VERSION, SchemaError, StoredValues, compress_prefix, expand_prefix};
use crate::clock::Micros;
use crate::job_record::{JobRecord, TaskEnding, TaskRange};
use crate::state_client::{RawJson, to_raw_json};
use crate::wire::JobSpec;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Upper bound of the size of a header without spec and tasks: field names, node, times and number of chunks.
const HEADER_BYTES: usize = 300;
/// Upper bound of what the fields that are still empty (`done`, `placed`, `pieces`) add to an encoded header
/// besides their tasks.
const HEADER_TASK_FIELDS_BYTES: usize = 60;
/// Upper bound of the size of the field `endings` without its elements.
const ENDINGS_FIELD_BYTES: usize = 16;
/// Upper bound of the size of a chunk without its tasks.
const CHUNK_BYTES: usize = 40;
/// Bytes that may stay unused at the end of a chunk, since an entry is never split.
const CHUNK_UNUSED_BYTES: usize = 40;
/// Upper bound of the size of a placement without the machine's name.
const PLACEMENT_BYTES: usize = 9;
/// Upper bound of the size of a range of tasks: `99998-99999,`.
pub(super) const RANGE_BYTES: usize = 12;
/// A machine with more ranges of the job's tasks than this is written as several placements.
const RANGES_PER_PLACEMENT_MAX: usize = 60;

/// Lower bound of the capacity of all values of a job for placements, in bytes.
pub(super) fn job_capacity_bytes(
    usable_bytes: usize,
    chunks_max: usize,
    spec_bytes: usize,
) -> usize {
    let header = usable_bytes.saturating_sub(spec_bytes + HEADER_BYTES);
    let chunk = usable_bytes.saturating_sub(CHUNK_BYTES + CHUNK_UNUSED_BYTES);
    header + chunks_max * chunk
}

/// Upper bound of the size of a placement on a machine whose name has `name_bytes` bytes, in bytes.
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

    /// Returns the job without the contents of its chunks, and the number of its chunks.
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

    /// Adds the newest endings that fit. The others are dropped, since endings are only shown to operators.
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

/// Decodes a chunk and adds its tasks to the job's record.
///
/// # Errors
///
/// Returns an error if the value is not a chunk, or has tasks that the job does not have. Some of its tasks may have
/// been added to the record by then.
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
        let name = expand_prefix(&previous_name, name).ok_or(SchemaError::InvalidMachineName)?;
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

/// Distributes tasks over values; starts a new value when the current one is full.
struct ChunkWriter {
    chunk: StoredChunk,
    /// The last machine name in `chunk`; empty if there is none.
    previous_name: String,
    /// The bytes left in `chunk`.
    bytes_left: usize,
    /// The full values, in order.
    complete: Vec<StoredChunk>,
    usable_bytes: usize,
}

impl ChunkWriter {
    /// Reserves this many bytes, in a new chunk if necessary. Returns whether it started a new chunk.
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
        // JSON escapes a quote or a backslash with additional bytes.
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

/// Encodes a job; returns `None` if it needs more than `chunks_max` chunks, or its spec does not fit the header.
pub(super) fn encode_job(
    record: &JobRecord,
    usable_bytes: usize,
    chunks_max: usize,
) -> Option<StoredValues> {
    let mut header = StoredHeader::without_tasks(record);
    let header_bytes = to_raw_json(&header).get().len() + HEADER_TASK_FIELDS_BYTES;
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
        for group in ranges.chunks(RANGES_PER_PLACEMENT_MAX) {
            let texts: Vec<String> = group.iter().map(|range| encode_range(*range)).collect();
            writer.add_placement(machine, &texts.join(","));
        }
    }
    let mut chunks = writer.complete;
    chunks.push(writer.chunk);
    // The tasks of the first value go into the header.
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
