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

pub mod old;

use crate::clock::Micros;
use crate::jobs::{Ending, Record};
use crate::store::{Raw, raw};
use crate::wire::JobSpec;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// The newest format that this program understands.
pub const FORMAT: u32 = 2;
/// Holds the format that everybody writes; absent: 1.
pub const FORMAT_KEY: &str = "format";
/// Under it each controller says which format it understands.
pub const CONTROLLERS: &str = "node/";
/// What did not fit a job's head.
pub const PIECES: &str = "piece/";

/// A value is kept that much below the largest allowed.
const SLACK: usize = 96;
/// Field names, node, times and number of pieces of a head.
const HEAD_BYTES: usize = 300;
const PIECE_BYTES: usize = 40;
/// `99998-99999,`
const RANGE_BYTES: usize = 12;

pub fn piece_key(uid: &str, n: usize) -> String {
    format!("{PIECES}{uid}/{n}")
}

/// The job and the number that a piece's key names.
pub fn split_piece(key: &str) -> Option<(&str, usize)> {
    let (uid, n) = key.strip_prefix(PIECES)?.rsplit_once('/')?;
    Some((uid, n.parse().ok()?))
}

pub fn controller_key(label: &str) -> String {
    format!("{CONTROLLERS}{label}")
}

/// The stored format number.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct StoredFormat {
    pub format: u32,
}

/// What a controller says of itself at its start.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Understood {
    pub format: u32,
    #[serde(default)]
    pub version: String,
}

/// What is written, and within which limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Layout {
    pub format: u32,
    pub value_bytes: usize,
    pub txn_ops: usize,
}

impl Layout {
    /// The most that a value of ours may take.
    pub fn usable(&self) -> usize {
        self.value_bytes.saturating_sub(SLACK)
    }

    /// The most pieces of a job: its end removes them, and the head, and writes the final state.
    pub fn most_pieces(&self) -> usize {
        match self.format {
            0 | 1 => 0,
            _ => self.txn_ops.saturating_sub(2),
        }
    }

    /// Room for placements and endings in all values of a job, on the safe side.
    pub fn job_bytes(&self, spec_bytes: usize) -> usize {
        if self.format < 2 {
            return old::job_bytes(self.value_bytes, spec_bytes);
        }
        let head = self.usable().saturating_sub(spec_bytes + HEAD_BYTES);
        // In each piece a part of an entry may stay unused.
        let piece = self.usable().saturating_sub(PIECE_BYTES + 40);
        head + self.most_pieces() * piece
    }

    /// What a placement takes at most.
    pub fn placement_bytes(&self, name_bytes: usize) -> usize {
        match self.format {
            0 | 1 => old::placement_bytes(name_bytes),
            _ => name_bytes + 9,
        }
    }

    /// What a range of ended tasks takes at most.
    pub fn range_bytes(&self) -> usize {
        match self.format {
            0 | 1 => old::RANGE_BYTES,
            _ => RANGE_BYTES,
        }
    }

    /// The longest description that can be stored with room for some placements.
    pub fn spec_bytes(&self) -> usize {
        self.usable() * 3 / 4
    }

    /// Whether a job of this description can be stored at all, and run some tasks.
    pub fn holds(&self, spec: &JobSpec) -> bool {
        let bytes = raw(spec).get().len();
        bytes <= self.spec_bytes() && self.job_bytes(bytes) >= 2 * self.placement_bytes(64)
    }

    /// The values of a job; None when it doesn't fit.
    pub fn write(&self, record: &Record) -> Option<Values> {
        if self.format < 2 {
            return old::write(record, self.usable()).map(Values::whole);
        }
        pieces_of(record, self.usable(), self.most_pieces())
    }
}

/// The values of a job.
pub struct Values {
    pub head: Raw,
    pub pieces: Vec<Raw>,
}

impl Values {
    pub fn whole(head: Raw) -> Self {
        Self {
            head,
            pieces: Vec::new(),
        }
    }

    pub fn bytes(&self) -> usize {
        let pieces = self.pieces.iter().map(|p| p.get().len() + 120);
        self.head.get().len() + 400 + pieces.sum::<usize>()
    }
}

/// The value under `job/<uid>` or `stopping/<uid>` in format 2.
#[derive(Serialize, Deserialize)]
struct Head {
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
    endings: VecDeque<Ending>,
}

fn is_zero(n: &usize) -> bool {
    *n == 0
}

#[derive(Default, Serialize, Deserialize)]
struct Piece {
    #[serde(default, skip_serializing_if = "String::is_empty")]
    done: String,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    placed: String,
}

/// Reads a job's head in either format; with it, how many pieces belong to it.
pub fn read(value: &Raw) -> Result<(Record, usize), String> {
    let head = match serde_json::from_str::<Head>(value.get()) {
        Ok(head) => head,
        Err(e) => {
            #[derive(Deserialize)]
            struct Probe {
                format: Option<u32>,
            }
            let probe: Probe = serde_json::from_str(value.get()).map_err(|e| e.to_string())?;
            if probe.format.is_some() {
                return Err(e.to_string());
            }
            return Ok((old::read(value)?, 0));
        }
    };
    if head.format > FORMAT {
        return Err(format!("its format is {}", head.format));
    }
    let mut record = Record {
        spec: head.spec,
        accepted: head.accepted,
        node: head.node,
        ready: head.ready,
        done: Vec::new(),
        placed: BTreeMap::new(),
        endings: head.endings,
    };
    take(&mut record, &head.done, &head.placed)?;
    Ok((record, head.pieces))
}

/// Adds to a record what one of its pieces holds.
pub fn read_piece(value: &Raw, record: &mut Record) -> Result<(), String> {
    let piece: Piece = serde_json::from_str(value.get()).map_err(|e| e.to_string())?;
    take(record, &piece.done, &piece.placed)
}

fn take(record: &mut Record, done: &str, placed: &str) -> Result<(), String> {
    let tasks = record.spec.tasks;
    record.done.extend(read_ranges(done, tasks)?);
    let mut before = String::new();
    for entry in placed.split(' ').filter(|e| !e.is_empty()) {
        let (name, parts) = entry.rsplit_once('=').ok_or("a placement without tasks")?;
        let name = expand(&before, name).ok_or("a machine's name that can't be completed")?;
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
pub fn squeeze(before: &str, text: &str) -> String {
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
pub fn expand(before: &str, short: &str) -> Option<String> {
    let digit = short.bytes().next()?;
    let n = DIGITS.iter().position(|d| *d == digit)?;
    Some(format!("{}{}", before.get(..n)?, short.get(1..)?))
}

/// Whether a machine of that name can stand in the stored layout.
pub fn can_name(machine: &str) -> bool {
    !machine.contains(' ') && machine.len() <= 64
}

/// Fills values one after the other.
struct Filler {
    piece: Piece,
    before: String,
    room: usize,
    full: Vec<Piece>,
    usable: usize,
}

impl Filler {
    /// Makes room for that much, if need be in the next piece; tells whether it is a new one.
    fn make_room(&mut self, bytes: usize) -> bool {
        let new = bytes > self.room;
        if new {
            self.full.push(std::mem::take(&mut self.piece));
            self.before.clear();
            self.room = self.usable.saturating_sub(PIECE_BYTES);
        }
        self.room = self.room.saturating_sub(bytes);
        new
    }

    fn done(&mut self, range: (u32, u32)) {
        let text = write_range(range);
        self.make_room(text.len() + 1);
        if !self.piece.done.is_empty() {
            self.piece.done.push(',');
        }
        self.piece.done.push_str(&text);
    }

    fn place(&mut self, machine: &str, parts: &str) {
        // JSON writes a quote or a backslash in two bytes or more.
        let extra = raw(&machine).get().len() - machine.len() - 2;
        let mut name = squeeze(&self.before, machine);
        if self.make_room(name.len() + parts.len() + 2 + extra) {
            name = squeeze("", machine);
            self.room = self.room.saturating_sub(machine.len());
        }
        let placed = &mut self.piece.placed;
        if !placed.is_empty() {
            placed.push(' ');
        }
        placed.push_str(&name);
        placed.push('=');
        placed.push_str(parts);
        self.before = machine.to_owned();
    }
}

fn pieces_of(record: &Record, usable: usize, most_pieces: usize) -> Option<Values> {
    let mut head = Head {
        format: FORMAT,
        spec: record.spec.clone(),
        accepted: record.accepted,
        node: record.node.clone(),
        ready: record.ready,
        done: String::new(),
        placed: String::new(),
        pieces: 0,
        endings: VecDeque::new(),
    };
    let bare = raw(&head).get().len() + 60;
    let mut filler = Filler {
        piece: Piece::default(),
        before: String::new(),
        room: usable.checked_sub(bare)?,
        full: Vec::new(),
        usable,
    };
    for range in &record.done {
        filler.done(*range);
    }
    for (machine, parts) in &record.placed {
        // A machine with many separate tasks of the job may take several entries.
        for some in parts.chunks(60) {
            let texts: Vec<String> = some.iter().map(|r| write_range(*r)).collect();
            filler.place(machine, &texts.join(","));
        }
    }
    let mut pieces = filler.full;
    pieces.push(filler.piece);
    let first = pieces.remove(0);
    if pieces.len() > most_pieces {
        return None;
    }
    (head.done, head.placed, head.pieces) = (first.done, first.placed, pieces.len());
    // Endings are for operators: the newest, as far as there is room.
    let mut room = if pieces.is_empty() { filler.room } else { 0 };
    room = room.saturating_sub(16);
    for ending in record.endings.iter().rev() {
        let bytes = raw(ending).get().len() + 1;
        if bytes > room {
            break;
        }
        room -= bytes;
        head.endings.push_front(ending.clone());
    }
    Some(Values {
        head: raw(&head),
        pieces: pieces.iter().map(raw).collect(),
    })
}
