//! Frames between controllers: a fixed header, followed by a subject (a short text) and a body. Some bodies consist of
//! rows with a fixed little-endian layout, which are copied without further encoding.
//!
//! During a rolling upgrade, controllers of the previous version and of this one exchange frames, so no layout or
//! number here may change.

use std::net::SocketAddr;
use zerocopy::byteorder::little_endian::{U16, U32, U64, U128};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout};

/// Length of a name in a row, in bytes; shorter names are padded with zeros.
const ROW_NAME_BYTES: usize = 24;
/// Bit of the first byte of the id in a [`ProgressRow`] that is no job's own row but a mark.
const WAITING_MARK: u8 = 0x80;

/// Header of every frame.
#[derive(Clone, Copy, Debug, FromBytes, IntoBytes, Immutable, KnownLayout)]
#[repr(C)]
pub struct FrameHeader {
    /// [`FRAME_MAGIC`].
    pub magic: U32,
    /// One of the `KIND_*` numbers.
    pub kind: U16,
    /// In an answer: the HTTP status, or one of the `FRAME_*` outcomes.
    pub status: U16,
    /// Identifies the call among those of its sender; repeated in the answer.
    pub ticket: U64,
    /// How long the sender waits for the answer, in microseconds.
    pub timeout: U64,
    /// Length of the subject, the first part of the payload; the rest is the body.
    pub subject_len: U32,
    /// Length of the payload, in bytes.
    pub len: U32,
}

/// The first four bytes of every frame.
pub const FRAME_MAGIC: u32 = 0x4457_5232;
/// Length of a frame's header, in bytes.
pub const FRAME_HEADER_BYTES: usize = size_of::<FrameHeader>();
/// The largest payload of a frame, in bytes.
pub const FRAME_PAYLOAD_BYTES_MAX: usize = 1 << 20;

/// A heartbeat, forwarded to the leader.
pub const KIND_HEARTBEAT: u16 = 1;
/// Commands for a worker that the leader cannot reach itself; the subject is the worker's address.
pub const KIND_DELIVER_COMMANDS: u16 = 2;
/// The answer to a request.
pub const KIND_ANSWER: u16 = 3;
/// An operator's query, forwarded to the leader.
pub const KIND_ADMIN_QUERY: u16 = 4;
/// The progress of the live jobs, announced by the leader; the body has a [`ProgressRow`] for each job.
pub const KIND_PROGRESS: u16 = 5;
/// A client's request that its controller cannot answer, forwarded to another one; the subject is method and path.
pub const KIND_CLIENT_REQUEST: u16 = 6;
/// A batch of heartbeats, forwarded to the leader: [`HeartbeatRow`]s, each followed by the heartbeat's text where the
/// leader may not have it. Sent only to a leader that has answered a batch without rows, since controllers of the
/// previous version do not know this kind.
pub const KIND_HEARTBEAT_BATCH: u16 = 7;
/// A [`ChecksumRow`] from the leader to its standbys. Controllers of the previous version reject it as an unknown kind.
pub const KIND_CHECKSUM: u16 = 8;
/// A worker's answer to a controller that probed it on behalf of the leader. The leader processes it like a heartbeat,
/// but sends no answer, since none would reach the worker.
pub const KIND_PROBE_ANSWER: u16 = 9;
/// From a new leader: [`ProbeRow`]s of workers that have sent no heartbeat, for the receiver to probe. Controllers of the
/// previous version do not know it; the leader then probes the workers itself.
pub const KIND_PROBE_WORKERS: u16 = 10;
/// To the leader: the id of a job whose cancellation the sender has just confirmed to the client. A hint that may be
/// lost without harm; controllers of the previous version do not know it.
pub const KIND_CANCELLED: u16 = 11;

/// In place of an HTTP status: the call was certainly not sent.
pub const FRAME_NOT_SENT: u16 = 1;
/// In place of an HTTP status: the call may have been executed.
pub const FRAME_LOST: u16 = 2;
/// In place of an HTTP status, in an [`AnswerRow`]: the leader does not have the heartbeat that is repeated; the sender
/// must send it in full.
pub const SEND_FULL_HEARTBEAT: u16 = 3;

/// A name padded for a row; `None` if it is too long.
pub(super) fn pad_name(name: &str) -> Option<[u8; ROW_NAME_BYTES]> {
    let mut padded = [0; ROW_NAME_BYTES];
    padded
        .get_mut(..name.len())?
        .copy_from_slice(name.as_bytes());
    Some(padded)
}

/// The progress of one live job. Jobs whose ids are too long for a row are left out; their state is read from the store
/// when a client polls them.
#[derive(Clone, Copy, Debug, FromBytes, IntoBytes, Immutable, KnownLayout)]
#[repr(C)]
pub struct ProgressRow {
    /// The job's id, padded with zeros.
    pub uid: [u8; ROW_NAME_BYTES],
    /// Number of tasks that are done.
    pub done: U32,
    /// Number of tasks that are placed.
    pub placed: U32,
}

impl ProgressRow {
    /// Creates a row; `None` if the id is too long.
    pub fn new(uid: &str, done: u32, placed: u32) -> Option<Self> {
        Some(Self {
            uid: pad_name(uid)?,
            done: done.into(),
            placed: placed.into(),
        })
    }

    /// A row that marks the job of the next row as one that waits for its dependencies; `None` if the id is too long.
    /// No id begins with such a byte, so earlier versions take it for a job that nobody asks about.
    pub fn waiting_mark(uid: &str) -> Option<Self> {
        let mut row = Self::new(uid, 0, 0)?;
        row.uid[0] |= WAITING_MARK;
        Some(row)
    }

    /// A row that says that all waiting jobs of the announcement are marked, which earlier versions do not do.
    pub fn marks_included() -> Self {
        Self {
            uid: [u8::MAX; ROW_NAME_BYTES],
            done: 0.into(),
            placed: 0.into(),
        }
    }
}

/// A worker to be probed with a fencing token.
#[derive(Clone, Copy, Debug, FromBytes, IntoBytes, Immutable, KnownLayout)]
#[repr(C)]
pub struct ProbeRow {
    /// The token that the probe carries.
    pub fencing_token: U64,
    /// Name of the machine, padded with zeros.
    pub machine: [u8; ROW_NAME_BYTES],
    /// IPv4 address of the agent.
    pub ip: [u8; 4],
    /// Port of the agent.
    pub port: U16,
    /// Zero.
    pub unused: U16,
}

impl ProbeRow {
    /// Creates a row; `None` if the name is too long or the address is not IPv4.
    pub fn new(fencing_token: u64, machine: &str, address: SocketAddr) -> Option<Self> {
        let SocketAddr::V4(address) = address else {
            return None;
        };
        Some(Self {
            fencing_token: fencing_token.into(),
            machine: pad_name(machine)?,
            ip: address.ip().octets(),
            port: address.port().into(),
            unused: 0.into(),
        })
    }

    /// Name of the machine; empty if it is not UTF-8.
    pub fn machine(&self) -> &str {
        let text = std::str::from_utf8(&self.machine).unwrap_or("");
        text.trim_end_matches('\0')
    }

    /// Address of the agent.
    pub fn address(&self) -> SocketAddr {
        (self.ip, self.port.get()).into()
    }
}

/// The leader's checksum over the live jobs at a store revision.
#[derive(Clone, Copy, Debug, FromBytes, IntoBytes, Immutable, KnownLayout)]
#[repr(C)]
pub struct ChecksumRow {
    /// The leader's term.
    pub term: U64,
    /// The store revision.
    pub revision: U64,
    /// The checksum.
    pub checksum: U64,
}

/// One heartbeat in a batch.
#[derive(Clone, Copy, Debug, FromBytes, IntoBytes, Immutable, KnownLayout)]
#[repr(C)]
pub struct HeartbeatRow {
    /// Digest of the heartbeat without its sequence number.
    pub digest: U128,
    /// Agent epoch of the heartbeat.
    pub agent_epoch: U64,
    /// Sequence number of the heartbeat.
    pub sequence: U64,
    /// Name of the machine, padded with zeros.
    pub machine: [u8; ROW_NAME_BYTES],
    /// The sender's number of the heartbeat within the batch, repeated in the answer.
    pub slot: U32,
    /// Length of the heartbeat's text that follows; 0 if the heartbeat equals the machine's last one in all but the
    /// sequence number.
    pub len: U32,
}

impl HeartbeatRow {
    /// Name of the machine; empty if it is not UTF-8.
    pub fn machine(&self) -> &str {
        let end = self.machine.iter().position(|byte| *byte == 0);
        std::str::from_utf8(&self.machine[..end.unwrap_or(self.machine.len())]).unwrap_or("")
    }
}

/// The answer to one heartbeat of a batch.
#[derive(Clone, Copy, Debug, FromBytes, IntoBytes, Immutable, KnownLayout)]
#[repr(C)]
pub struct AnswerRow {
    /// The leader's fencing token for the worker.
    pub fencing_token: U64,
    /// The number from the [`HeartbeatRow`].
    pub slot: U32,
    /// An HTTP status, or [`SEND_FULL_HEARTBEAT`].
    pub status: U16,
    /// Zero.
    pub unused: U16,
    /// Length of the answer that follows; 0 with status 200 means no commands.
    pub len: U32,
    /// Zero.
    pub unused2: U32,
}
