//! The shapes of the protocols: users, workers, cloud, and frames between controllers.
//! Wire names stay in this file.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use zerocopy::byteorder::little_endian::{U16, U32, U64, U128};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout};

pub const MAX_BODY: usize = 64 * 1024;
const TASKS_PER_JOB_MAX: u64 = 100_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    Low,
    Normal,
    High,
    Production,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobKind {
    Array,
    /// Tasks that run to completion side by side, all or none.
    #[serde(rename = "group")]
    Gang,
    #[serde(rename = "daemon")]
    Service,
}

/// A job as its user submits it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    pub uid: Arc<str>,
    #[serde(rename = "herd")]
    pub class: Arc<str>,
    #[serde(rename = "owner")]
    pub team: Arc<str>,
    #[serde(rename = "shape")]
    pub kind: JobKind,
    #[serde(rename = "urgency")]
    pub priority: Priority,
    #[serde(rename = "parts")]
    pub tasks: u64,
    pub cores: f64,
    pub accelerators: f64,
    #[serde(rename = "memGb")]
    pub memory_gb: f64,
    #[serde(rename = "bundle")]
    pub image: Arc<str>,
    #[serde(rename = "sizeGb")]
    pub image_gb: f64,
    #[serde(rename = "builds", default)]
    pub types: Option<Vec<String>>,
    #[serde(rename = "paddock", default)]
    pub zone: Option<String>,
    #[serde(rename = "together")]
    pub one_zone: bool,
    #[serde(rename = "apart")]
    pub spread: bool,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "guessS")]
    pub estimate_s: f64,
    #[serde(rename = "markS")]
    pub checkpoint_s: f64,
    #[serde(rename = "stashS")]
    pub save_s: f64,
    #[serde(rename = "dueS", default)]
    pub deadline_s: Option<f64>,
    /// Jobs that must be done before any task of this one starts, in order and each once.
    #[serde(
        rename = "waitsOn",
        default,
        deserialize_with = "null_as_default",
        skip_serializing_if = "Vec::is_empty"
    )]
    pub waits_on: Vec<Arc<str>>,
}

fn null_as_default<'de, D: serde::Deserializer<'de>>(d: D) -> Result<Vec<Arc<str>>, D::Error> {
    Ok(Option::deserialize(d)?.unwrap_or_default())
}

/// `wk-` and then digits: the one form that users' job ids have.
pub fn valid_uid(uid: &str) -> bool {
    uid.strip_prefix("wk-").is_some_and(|n| {
        (1..=60).contains(&n.len()) && n.bytes().all(|b| b.is_ascii_alphanumeric())
    })
}

impl JobSpec {
    /// Reads and checks a submission; the error tells the user what to change.
    pub fn parse(body: &[u8]) -> Result<Self, String> {
        let value: serde_json::Value =
            serde_json::from_slice(body).map_err(|e| format!("not JSON: {e}"))?;
        if !value.is_object() {
            return Err("expected a JSON object".to_owned());
        }
        let mut spec: JobSpec = serde_json::from_value(value).map_err(|e| e.to_string())?;
        spec.check()?;
        spec.waits_on.sort_unstable();
        spec.waits_on.dedup();
        Ok(spec)
    }

    fn check(&self) -> Result<(), String> {
        if !valid_uid(&self.uid) {
            return Err("uid: expected the form wk-000412".to_owned());
        }
        if !(1..=TASKS_PER_JOB_MAX).contains(&self.tasks) {
            return Err(format!("parts: expected 1 to {TASKS_PER_JOB_MAX}"));
        }
        let amounts = [
            ("cores", self.cores),
            ("accelerators", self.accelerators),
            ("memGb", self.memory_gb),
            ("sizeGb", self.image_gb),
            ("guessS", self.estimate_s),
            ("markS", self.checkpoint_s),
            ("stashS", self.save_s),
            ("dueS", self.deadline_s.unwrap_or(0.0)),
        ];
        for (name, value) in amounts {
            if !value.is_finite() || !(0.0..=1e9).contains(&value) {
                return Err(format!("{name}: expected a number from 0 to 1e9"));
            }
        }
        if self.cores <= 0.0 && self.accelerators <= 0.0 && self.memory_gb <= 0.0 {
            return Err("cores: a task must take something of its machine".to_owned());
        }
        for (name, text) in [
            ("herd", &self.class),
            ("owner", &self.team),
            ("bundle", &self.image),
        ] {
            if text.is_empty() || text.len() > 200 {
                return Err(format!("{name}: expected 1 to 200 bytes"));
            }
        }
        Ok(())
    }

    pub fn saves(&self) -> bool {
        self.checkpoint_s > 0.0
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskStatus {
    Fetching,
    /// Has its image and waits for the other tasks of a group.
    #[serde(rename = "gathering")]
    WaitingForGang,
    Running,
    #[serde(rename = "saving")]
    Checkpointing,
    Ended,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportedTask {
    /// Names and causes are short: they are kept in place, without an allocation for each.
    #[serde(rename = "part")]
    pub task: CompactString,
    #[serde(rename = "try")]
    pub attempt: u64,
    pub status: TaskStatus,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<CompactString>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub saved: Option<bool>,
}

/// What a worker says of itself and of its tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    #[serde(rename = "host")]
    pub machine: Arc<str>,
    #[serde(rename = "addr")]
    pub address: CompactString,
    #[serde(rename = "build")]
    pub machine_type: CompactString,
    #[serde(rename = "paddock")]
    pub zone: CompactString,
    #[serde(default)]
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "stint")]
    pub agent_epoch: u64,
    #[serde(rename = "tally")]
    pub sequence: u64,
    #[serde(rename = "baton", default)]
    pub fencing_token: u64,
    #[serde(rename = "warningS", default)]
    pub notice_s: Option<f64>,
    #[serde(default)]
    #[serde(rename = "parts")]
    pub tasks: Vec<ReportedTask>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Command {
    #[serde(rename = "verb")]
    pub kind: CommandKind,
    #[serde(rename = "part")]
    pub task: String,
    #[serde(rename = "try")]
    pub attempt: u64,
    #[serde(rename = "windDownS", skip_serializing_if = "Option::is_none")]
    pub grace_s: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CommandKind {
    Start,
    #[serde(rename = "halt")]
    Stop,
    #[serde(rename = "reap")]
    Acknowledge,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct Commands {
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    #[serde(rename = "stint", skip_serializing_if = "Option::is_none")]
    pub agent_epoch: Option<u64>,
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// `wk-000412/3` as job and task number.
pub fn split_task_name(part: &str) -> Option<(&str, u32)> {
    let (uid, n) = part.rsplit_once('/')?;
    Some((uid, n.parse().ok()?))
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    #[serde(rename = "sku")]
    pub name: String,
    pub cores: f64,
    #[serde(default)]
    pub accelerators: f64,
    #[serde(rename = "memGb")]
    pub memory_gb: f64,
    #[serde(rename = "cacheGb", default)]
    pub cache_gb: f64,
    #[serde(rename = "fetchGbPerS", default)]
    pub fetch_gb_per_s: f64,
    #[serde(default)]
    pub price: f64,
    #[serde(rename = "spotPrice", default)]
    pub spot_price: f64,
    #[serde(rename = "readyS", default)]
    pub boot_s: f64,
    #[serde(default)]
    #[serde(rename = "paddocks")]
    pub zones: Vec<String>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineTypes {
    #[serde(rename = "builds")]
    pub types: Vec<MachineType>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct ListedMachine {
    #[serde(rename = "uid")]
    pub id: Arc<str>,
    #[serde(default)]
    #[serde(rename = "addr")]
    pub address: String,
    #[serde(rename = "build")]
    pub machine_type: String,
    #[serde(rename = "paddock")]
    pub zone: String,
    #[serde(default)]
    #[serde(rename = "loaners")]
    pub spot: bool,
    pub status: String,
    #[serde(rename = "ageS", default)]
    pub age_s: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct MachineList {
    #[serde(rename = "hosts")]
    pub machines: Vec<ListedMachine>,
    #[serde(default)]
    pub truncated: bool,
}

/// Head of every frame between controllers, laid out as it stands in memory.
#[derive(Clone, Copy, Debug, FromBytes, IntoBytes, Immutable, KnownLayout)]
#[repr(C)]
pub struct FrameHead {
    pub magic: U32,
    pub kind: U16,
    /// In an answer: the HTTP status, or one of the `FRAME_*` outcomes.
    pub status: U16,
    pub ticket: U64,
    /// Microseconds the receiver has to answer.
    pub patience: U64,
    /// Length of the first part of the payload (an address); the rest is the body.
    pub addr_len: U32,
    pub len: U32,
}

pub const FRAME_MAGIC: u32 = 0x4457_5232;
pub const FRAME_HEAD: usize = size_of::<FrameHead>();
pub const FRAME_MAX: usize = 1 << 20;

/// Where workers report.
pub const HEARTBEAT_PATH: &str = "/checkin";
/// Where users submit.
pub const SUBMIT_PATH: &str = "/work";
/// Where the load balancer asks whether a node takes users.
pub const HEALTH_PATH: &str = "/up";

/// A worker's report on its way to the leader.
pub const KIND_HEARTBEAT: u16 = 1;
/// Orders on their way to a worker that the leader can't reach by itself.
pub const KIND_DELIVER_COMMANDS: u16 = 2;
pub const KIND_ANSWER: u16 = 3;
/// An operator's question on its way to the leader.
pub const KIND_ADMIN_QUERY: u16 = 4;

/// Outcomes of a delivery that carry no HTTP status.
pub const FRAME_NOT_SENT: u16 = 1;
pub const FRAME_LOST: u16 = 2;

/// How far the live jobs are: the body is a row for each, from the leader to the others.
pub const KIND_PROGRESS: u16 = 5;

/// A user's request that its node can't answer; the address is method and path.
pub const KIND_CLIENT_REQUEST: u16 = 6;

/// Workers' reports on their way to the leader, many in a frame: `ReportRow`s, each followed by
/// its report where the leader may not have it. Sent only to a leader that has answered one without
/// rows: the version before does not know them.
pub const KIND_HEARTBEAT_BATCH: u16 = 7;

/// A worker's answer to a controller that asked it for the leader: taken like a report, but without an
/// answer, since none would reach the worker.
pub const KIND_PROBE_ANSWER: u16 = 9;

/// The sum over the live jobs that the leader knows, to those that follow it. Controllers of the version
/// before answer that they do not know it.
pub const KIND_CHECKSUM: u16 = 8;
/// From a new leader: these workers have not spoken, and this node is to ask them. Body: rows. The version
/// before knows it not; the leader then asks them itself.
pub const KIND_PROBE_WORKERS: u16 = 10;
/// To the leader: a job that its sender has just confirmed as cancelled. Body: its id. A hint; the version before
/// knows it not, and nothing rests on it.
pub const KIND_CANCELLED: u16 = 11;

/// One worker that is to be asked under a token.
#[derive(Clone, Copy, Debug, FromBytes, IntoBytes, Immutable, KnownLayout)]
#[repr(C)]
pub struct ProbeRow {
    pub fencing_token: U64,
    /// Padded with zeros.
    pub machine: [u8; 24],
    pub ip: [u8; 4],
    pub port: U16,
    pub unused: U16,
}

impl ProbeRow {
    /// None for a name or an address that does not fit a row.
    pub fn new(token: u64, host: &str, addr: std::net::SocketAddr) -> Option<Self> {
        let std::net::SocketAddr::V4(addr) = addr else {
            return None;
        };
        let mut name = [0; 24];
        name.get_mut(..host.len())?.copy_from_slice(host.as_bytes());
        Some(Self {
            fencing_token: token.into(),
            machine: name,
            ip: addr.ip().octets(),
            port: addr.port().into(),
            unused: 0.into(),
        })
    }

    pub fn machine(&self) -> &str {
        let text = std::str::from_utf8(&self.machine).unwrap_or("");
        text.trim_end_matches('\0')
    }

    pub fn address(&self) -> std::net::SocketAddr {
        (self.ip, self.port.get()).into()
    }
}

/// The body of `KIND_EPOCH`.
#[derive(Clone, Copy, Debug, FromBytes, IntoBytes, Immutable, KnownLayout)]
#[repr(C)]
pub struct ChecksumRow {
    pub term: U64,
    pub revision: U64,
    pub checksum: U64,
}

/// One report in a frame of many.
#[derive(Clone, Copy, Debug, FromBytes, IntoBytes, Immutable, KnownLayout)]
#[repr(C)]
pub struct HeartbeatRow {
    /// Of the report without its `tally`.
    pub digest: U128,
    pub agent_epoch: U64,
    pub sequence: U64,
    /// Padded with zeros.
    pub machine: [u8; 24],
    /// The sender's number of it, given back with the answer.
    pub slot: U32,
    /// Length of the report that follows; 0: it says what the last one said.
    pub len: U32,
}

/// The answer to one of them.
#[derive(Clone, Copy, Debug, FromBytes, IntoBytes, Immutable, KnownLayout)]
#[repr(C)]
pub struct AnswerRow {
    pub fencing_token: U64,
    pub slot: U32,
    /// An HTTP status, or `SEND_WHOLE`.
    pub status: U16,
    pub unused: U16,
    /// Length of the answer that follows; 0 with status 200: no orders.
    pub len: U32,
    pub unused2: U32,
}

/// The leader does not have that report: send it whole.
pub const SEND_FULL_HEARTBEAT: u16 = 3;

/// What can be told of a report without reading all of it: who sent it, and whether it differs
/// from another one in more than its count.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeartbeatSummary<'a> {
    pub machine: &'a str,
    pub agent_epoch: u64,
    pub sequence: u64,
    /// Of all but the `tally`.
    pub digest: u128,
}

impl<'a> HeartbeatSummary<'a> {
    /// None: it has to be read whole.
    pub fn of(body: &'a [u8]) -> Option<Self> {
        let (host, agent_epoch) = heartbeat_head(body)?;
        let (count, at) = after_name(body, b"\"tally\"")?;
        let (sequence, digits) = leading_number(count)?;
        let mut hash = xxhash_rust::xxh3::Xxh3::new();
        hash.update(&body[..at]);
        hash.update(&body[at + digits..]);
        Some(Self {
            machine: host,
            agent_epoch,
            sequence,
            digest: hash.digest128(),
        })
    }

    /// As it stands in a frame; None when the name is too long for it.
    pub fn row(&self) -> Option<HeartbeatRow> {
        let mut host = [0; 24];
        host.get_mut(..self.machine.len())?
            .copy_from_slice(self.machine.as_bytes());
        Some(HeartbeatRow {
            digest: self.digest.into(),
            agent_epoch: self.agent_epoch.into(),
            sequence: self.sequence.into(),
            machine: host,
            slot: 0.into(),
            len: 0.into(),
        })
    }
}

impl HeartbeatRow {
    pub fn machine(&self) -> &str {
        let end = self.machine.iter().position(|b| *b == 0);
        std::str::from_utf8(&self.machine[..end.unwrap_or(self.machine.len())]).unwrap_or("")
    }
}

/// Who sent a report, and in which session.
pub fn heartbeat_head(body: &[u8]) -> Option<(&str, u64)> {
    let (host, _) = after_name(body, b"\"host\"")?;
    let host = host.strip_prefix(b"\"")?;
    let end = memchr::memchr2(b'"', b'\\', host)?;
    if host[end] != b'"' {
        return None;
    }
    let (agent_epoch, _) = after_name(body, b"\"stint\"")?;
    let host = std::str::from_utf8(&host[..end]).ok()?;
    Some((host, leading_number(agent_epoch)?.0))
}

/// Where the worker that sent a report can be reached.
pub fn heartbeat_address(body: &[u8]) -> Option<std::net::SocketAddr> {
    let (addr, _) = after_name(body, b"\"addr\"")?;
    let addr = addr.strip_prefix(b"\"")?;
    let end = memchr::memchr(b'"', addr)?;
    std::str::from_utf8(&addr[..end]).ok()?.parse().ok()
}

/// Whether a report lists no task.
pub fn reports_no_tasks(body: &[u8]) -> bool {
    after_name(body, b"\"parts\"").is_some_and(|p| p.0.starts_with(b"[]"))
}

/// What follows a field's name and colon, and where that begins.
fn after_name<'a>(body: &'a [u8], name: &[u8]) -> Option<(&'a [u8], usize)> {
    let mut at = memchr::memmem::find(body, name)? + name.len();
    let skip = |at: usize| {
        body[at..]
            .iter()
            .take_while(|b| b.is_ascii_whitespace())
            .count()
    };
    at += skip(at);
    if body.get(at) != Some(&b':') {
        return None;
    }
    at += 1;
    at += skip(at);
    Some((&body[at..], at))
}

/// A whole number and how many digits it has.
fn leading_number(text: &[u8]) -> Option<(u64, usize)> {
    let digits = text.iter().take_while(|b| b.is_ascii_digit()).count();
    let ends = matches!(
        text.get(digits),
        Some(b',' | b'}' | b' ' | b'\n' | b'\r' | b'\t')
    );
    let number = std::str::from_utf8(&text[..digits]).ok()?.parse().ok()?;
    ends.then_some((number, digits))
}

/// One live job in a progress frame. Jobs with longer ids are left out; their polls are read.
#[derive(Clone, Copy, Debug, FromBytes, IntoBytes, Immutable, KnownLayout)]
#[repr(C)]
pub struct ProgressRow {
    /// Padded with zeros.
    pub uid: [u8; 24],
    pub done: U32,
    pub placed: U32,
}

impl ProgressRow {
    pub fn new(uid: &str, done: u32, placed: u32) -> Option<Self> {
        let mut padded = [0; 24];
        padded.get_mut(..uid.len())?.copy_from_slice(uid.as_bytes());
        Some(Self {
            uid: padded,
            done: done.into(),
            placed: placed.into(),
        })
    }
}
