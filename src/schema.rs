//! How jobs are laid out in the state service, by the format number stored there.
//!
//! Format 1 is the old layout: one value for a job, see `old`. Format 2 fits small values: a head
//! for each job, and what does not fit the head in numbered pieces under a prefix of their own.
//! Machine names, which are alike, are written as what differs from the name before. Head and
//! pieces change only together, in one transaction that is conditional on the head's stamp, so
//! whoever takes over finds them of one moment.
//!
//! Both formats are always read. What is written is the stored format's: it only goes up, once
//! every controller of the settings has said that it understands the next.

pub mod version_1;

use crate::clock::Micros;
use crate::job_record::{JobRecord, TaskEnding};
use crate::state_client::{Raw, raw};
use crate::wire::JobSpec;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// The newest format that this program understands.
pub const SCHEMA_VERSION: u32 = 2;
/// Holds the format that everybody writes; absent: 1.
pub const SCHEMA_VERSION_KEY: &str = "format";
/// Under it each controller says which format it understands.
pub const CONTROLLERS_PREFIX: &str = "node/";
/// What did not fit a job's head.
pub const CHUNKS_PREFIX: &str = "piece/";

/// A value is kept that much below the largest allowed.
const VALUE_SLACK_BYTES: usize = 96;
/// Field names, node, times and number of pieces of a head.
const HEADER_BYTES: usize = 300;
const CHUNK_BYTES: usize = 40;
/// `99998-99999,`
const RANGE_BYTES: usize = 12;

pub fn chunk_key(uid: &str, n: usize) -> String {
    format!("{CHUNKS_PREFIX}{uid}/{n}")
}

/// The job and the number that a piece's key names.
pub fn split_chunk_key(key: &str) -> Option<(&str, usize)> {
    let (uid, n) = key.strip_prefix(CHUNKS_PREFIX)?.rsplit_once('/')?;
    Some((uid, n.parse().ok()?))
}

pub fn controller_key(label: &str) -> String {
    format!("{CONTROLLERS_PREFIX}{label}")
}

/// The stored format number.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct StoredSchemaVersion {
    pub format: u32,
}

/// What a controller says of itself at its start.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SchemaSupport {
    pub format: u32,
    #[serde(default)]
    pub version: String,
}

/// What is written, and within which limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schema {
    pub version: u32,
    pub value_bytes: usize,
    pub txn_ops: usize,
}

impl Schema {
    /// The most that a value of ours may take.
    pub fn usable_bytes(&self) -> usize {
        self.value_bytes.saturating_sub(VALUE_SLACK_BYTES)
    }

    /// The most pieces of a job: its end removes them, and the head, and writes the final state.
    pub fn chunks_max(&self) -> usize {
        match self.version {
            0 | 1 => 0,
            _ => self.txn_ops.saturating_sub(2),
        }
    }

    /// Room for placements and endings in all values of a job, on the safe side.
    pub fn job_capacity_bytes(&self, spec_bytes: usize) -> usize {
        if self.version < 2 {
            return version_1::job_capacity_bytes(self.value_bytes, spec_bytes);
        }
        let head = self
            .usable_bytes()
            .saturating_sub(spec_bytes + HEADER_BYTES);
        // In each piece a part of an entry may stay unused.
        let piece = self.usable_bytes().saturating_sub(CHUNK_BYTES + 40);
        head + self.chunks_max() * piece
    }

    /// What a placement takes at most.
    pub fn placement_bytes(&self, name_bytes: usize) -> usize {
        match self.version {
            0 | 1 => version_1::placement_bytes(name_bytes),
            _ => name_bytes + 9,
        }
    }

    /// What a range of ended tasks takes at most.
    pub fn range_bytes(&self) -> usize {
        match self.version {
            0 | 1 => version_1::RANGE_BYTES,
            _ => RANGE_BYTES,
        }
    }

    /// The longest description that can be stored with room for some placements.
    pub fn spec_bytes_max(&self) -> usize {
        self.usable_bytes() * 3 / 4
    }

    /// Whether a job of this description can be stored at all, and run some tasks.
    pub fn can_store(&self, spec: &JobSpec) -> bool {
        let bytes = raw(spec).get().len();
        bytes <= self.spec_bytes_max()
            && self.job_capacity_bytes(bytes) >= 2 * self.placement_bytes(64)
    }

    /// The values of a job; None when it doesn't fit.
    pub fn encode_job(&self, record: &JobRecord) -> Option<StoredValues> {
        if self.version < 2 {
            return version_1::encode_job(record, self.usable_bytes()).map(StoredValues::single);
        }
        encode_chunks(record, self.usable_bytes(), self.chunks_max())
    }
}

/// The values of a job.
pub struct StoredValues {
    pub header: Raw,
    pub chunks: Vec<Raw>,
}

impl StoredValues {
    pub fn single(head: Raw) -> Self {
        Self {
            header: head,
            chunks: Vec::new(),
        }
    }

    pub fn request_bytes(&self) -> usize {
        let pieces = self.chunks.iter().map(|p| p.get().len() + 120);
        self.header.get().len() + 400 + pieces.sum::<usize>()
    }
}

/// The value under `job/<uid>` or `stopping/<uid>` in format 2.
#[derive(Serialize, Deserialize)]
struct StoredHeader {
    format: u32,
    spec: Arc<JobSpec>,
    accepted: Micros,
    node: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    ready: Option<Micros>,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    done: String,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    placed: String,
    #[serde(default, skip_serializing_if = "is_zero")]
    pieces: usize,
    #[serde(default, skip_serializing_if = "VecDeque::is_empty")]
    endings: VecDeque<TaskEnding>,
}

fn is_zero(n: &usize) -> bool {
    *n == 0
}

#[derive(Default, Serialize, Deserialize)]
struct StoredChunk {
    #[serde(default, skip_serializing_if = "String::is_empty")]
    done: String,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    placed: String,
}

/// Reads a job's head in either format; with it, how many pieces belong to it.
pub fn decode_job(value: &Raw) -> Result<(JobRecord, usize), String> {
    let head = match serde_json::from_str::<StoredHeader>(value.get()) {
        Ok(head) => head,
        Err(e) => {
            #[derive(Deserialize)]
            struct VersionProbe {
                format: Option<u32>,
            }
            let probe: VersionProbe =
                serde_json::from_str(value.get()).map_err(|e| e.to_string())?;
            if probe.format.is_some() {
                return Err(e.to_string());
            }
            return Ok((version_1::decode_job(value)?, 0));
        }
    };
    if head.format > SCHEMA_VERSION {
        return Err(format!("its format is {}", head.format));
    }
    let mut record = JobRecord {
        spec: head.spec,
        accepted_at: head.accepted,
        accepted_by: head.node,
        ready_at: head.ready,
        done: Vec::new(),
        placed: BTreeMap::new(),
        endings: head.endings,
    };
    add_ranges(&mut record, &head.done, &head.placed)?;
    Ok((record, head.pieces))
}

/// Adds to a record what one of its pieces holds.
pub fn decode_chunk(value: &Raw, record: &mut JobRecord) -> Result<(), String> {
    let piece: StoredChunk = serde_json::from_str(value.get()).map_err(|e| e.to_string())?;
    add_ranges(record, &piece.done, &piece.placed)
}

fn add_ranges(record: &mut JobRecord, done: &str, placed: &str) -> Result<(), String> {
    let tasks = record.spec.tasks;
    record.done.extend(read_ranges(done, tasks)?);
    let mut before = String::new();
    for entry in placed.split(' ').filter(|e| !e.is_empty()) {
        let (name, parts) = entry.rsplit_once('=').ok_or("a placement without tasks")?;
        let name =
            expand_prefix(&before, name).ok_or("a machine's name that can't be completed")?;
        let parts = read_ranges(parts, tasks)?;
        record
            .placed
            .entry(name.as_str().into())
            .or_default()
            .extend(parts);
        before = name;
    }
    Ok(())
}

fn read_ranges(text: &str, tasks: u64) -> Result<Vec<(u32, u32)>, String> {
    let number = |n: &str| n.parse::<u32>().map_err(|_| format!("`{n}` is no task"));
    let range = |r: &str| {
        let (a, b) = r.split_once('-').unwrap_or((r, r));
        let (a, b) = (number(a)?, number(b)?);
        if a > b || u64::from(b) >= tasks {
            return Err(format!("`{r}` are no tasks of the job"));
        }
        Ok((a, b + 1))
    };
    let ranges = text.split(',').filter(|r| !r.is_empty());
    ranges.map(range).collect()
}

fn write_range(r: (u32, u32)) -> String {
    if r.0 + 1 == r.1 {
        r.0.to_string()
    } else {
        format!("{}-{}", r.0, r.1 - 1)
    }
}

const DIGITS: &[u8; 36] = b"0123456789abcdefghijklmnopqrstuvwxyz";

/// A text as what differs from the one before: how many bytes they share, and the rest.
pub fn compress_prefix(before: &str, text: &str) -> String {
    let same = before
        .bytes()
        .zip(text.bytes())
        .take(DIGITS.len() - 1)
        .take_while(|(a, b)| a == b);
    let mut n = same.count();
    while !text.is_char_boundary(n) {
        n -= 1;
    }
    format!("{}{}", DIGITS[n] as char, &text[n..])
}

/// The text that `squeeze` has shortened.
pub fn expand_prefix(before: &str, short: &str) -> Option<String> {
    let digit = short.bytes().next()?;
    let n = DIGITS.iter().position(|d| *d == digit)?;
    Some(format!("{}{}", before.get(..n)?, short.get(1..)?))
}

/// Whether a machine of that name can stand in the stored layout.
pub fn is_storable_name(machine: &str) -> bool {
    !machine.contains(' ') && machine.len() <= 64
}

/// Fills values one after the other.
struct ChunkWriter {
    chunk: StoredChunk,
    previous_name: String,
    bytes_left: usize,
    complete: Vec<StoredChunk>,
    usable_bytes: usize,
}

impl ChunkWriter {
    /// Makes room for that much, if need be in the next piece; tells whether it is a new one.
    fn reserve(&mut self, bytes: usize) -> bool {
        let new = bytes > self.bytes_left;
        if new {
            self.complete.push(std::mem::take(&mut self.chunk));
            self.previous_name.clear();
            self.bytes_left = self.usable_bytes.saturating_sub(CHUNK_BYTES);
        }
        self.bytes_left = self.bytes_left.saturating_sub(bytes);
        new
    }

    fn add_done_range(&mut self, range: (u32, u32)) {
        let text = write_range(range);
        self.reserve(text.len() + 1);
        if !self.chunk.done.is_empty() {
            self.chunk.done.push(',');
        }
        self.chunk.done.push_str(&text);
    }

    fn add_placement(&mut self, machine: &str, parts: &str) {
        // JSON writes a quote or a backslash in two bytes or more.
        let extra = raw(&machine).get().len() - machine.len() - 2;
        let mut name = compress_prefix(&self.previous_name, machine);
        if self.reserve(name.len() + parts.len() + 2 + extra) {
            name = compress_prefix("", machine);
            self.bytes_left = self.bytes_left.saturating_sub(machine.len());
        }
        let placed = &mut self.chunk.placed;
        if !placed.is_empty() {
            placed.push(' ');
        }
        placed.push_str(&name);
        placed.push('=');
        placed.push_str(parts);
        self.previous_name = machine.to_owned();
    }
}

fn encode_chunks(record: &JobRecord, usable: usize, most_pieces: usize) -> Option<StoredValues> {
    let mut head = StoredHeader {
        format: SCHEMA_VERSION,
        spec: record.spec.clone(),
        accepted: record.accepted_at,
        node: record.accepted_by.clone(),
        ready: record.ready_at,
        done: String::new(),
        placed: String::new(),
        pieces: 0,
        endings: VecDeque::new(),
    };
    let bare = raw(&head).get().len() + 60;
    let mut filler = ChunkWriter {
        chunk: StoredChunk::default(),
        previous_name: String::new(),
        bytes_left: usable.checked_sub(bare)?,
        complete: Vec::new(),
        usable_bytes: usable,
    };
    for range in &record.done {
        filler.add_done_range(*range);
    }
    for (machine, parts) in &record.placed {
        // A machine with many separate tasks of the job may take several entries.
        for some in parts.chunks(60) {
            let texts: Vec<String> = some.iter().map(|r| write_range(*r)).collect();
            filler.add_placement(machine, &texts.join(","));
        }
    }
    let mut pieces = filler.complete;
    pieces.push(filler.chunk);
    let first = pieces.remove(0);
    if pieces.len() > most_pieces {
        return None;
    }
    (head.done, head.placed, head.pieces) = (first.done, first.placed, pieces.len());
    // Endings are for operators: the newest, as far as there is room.
    let mut room = if pieces.is_empty() {
        filler.bytes_left
    } else {
        0
    };
    room = room.saturating_sub(16);
    for ending in record.endings.iter().rev() {
        let bytes = raw(ending).get().len() + 1;
        if bytes > room {
            break;
        }
        room -= bytes;
        head.endings.push_front(ending.clone());
    }
    Some(StoredValues {
        header: raw(&head),
        chunks: pieces.iter().map(raw).collect(),
    })
}
