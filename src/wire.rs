//! The protocols' types: what clients, worker agents and the cloud provider send and get, and the frames between
//! controllers.
//!
//! Plain data with its encoding; nothing here decides anything. The names on the wire stand only here, in
//! `serde(rename)` and in constants; the rest of the program uses the terms of the field. Names and layouts must
//! not change: users, agents and controllers of the version before rely on them.

mod agent;
mod cloud;
mod frames;
mod heartbeat_scan;
mod job_spec;

pub use agent::{
    Command, CommandKind, Commands, Heartbeat, ReportedTask, TaskStatus, split_task_name,
};
pub use cloud::{
    ListedMachine, MACHINE_TYPES_PATH, MACHINES_PATH, MachineList, MachineStatus, MachineType,
    MachineTypes, RELEASE_PATH, ReleaseRequest, RentalRequest,
};
pub use frames::{
    AnswerRow, ChecksumRow, FRAME_HEADER_BYTES, FRAME_LOST, FRAME_MAGIC, FRAME_NOT_SENT,
    FRAME_PAYLOAD_BYTES_MAX, FrameHeader, HeartbeatRow, KIND_ADMIN_QUERY, KIND_ANSWER,
    KIND_CANCELLED, KIND_CHECKSUM, KIND_CLIENT_REQUEST, KIND_DELIVER_COMMANDS, KIND_HEARTBEAT,
    KIND_HEARTBEAT_BATCH, KIND_PROBE_ANSWER, KIND_PROBE_WORKERS, KIND_PROGRESS, ProbeRow,
    ProgressRow, SEND_FULL_HEARTBEAT,
};
pub use heartbeat_scan::{
    HeartbeatSummary, heartbeat_address, heartbeat_machine_and_epoch, reports_no_tasks,
};
pub use job_spec::{JobKind, JobSpec, JobSpecError, Priority, is_valid_uid};

/// The longest body of a request, in bytes.
pub const REQUEST_BODY_BYTES_MAX: usize = 64 * 1024;
/// Path at a worker that takes commands.
pub const COMMANDS_PATH: &str = "/commands";
/// Path that worker agents send heartbeats to.
pub const HEARTBEAT_PATH: &str = "/checkin";
/// Path that clients submit jobs to.
pub const SUBMIT_PATH: &str = "/work";
/// Path at which the load balancer asks whether a controller serves clients.
pub const HEALTH_PATH: &str = "/up";
