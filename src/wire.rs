//! Message types of the protocols with clients, worker agents and the cloud provider, and the frames between
//! controllers.
//!
//! The types are plain data with their encoding and contain no scheduling logic. Names on the wire appear only here, in
//! `serde(rename)` and in constants; the rest of the program uses other names. Names and layouts must not change:
//! users, agents and controllers of the previous version rely on them.

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

/// The largest body of an HTTP request to a controller, in bytes.
pub const REQUEST_BODY_BYTES_MAX: usize = 64 * 1024;
/// Path on a worker agent that accepts commands.
pub const COMMANDS_PATH: &str = "/commands";
/// Path that worker agents send heartbeats to.
pub const HEARTBEAT_PATH: &str = "/checkin";
/// Path that clients submit jobs to.
pub const SUBMIT_PATH: &str = "/work";
/// Path at which the load balancer asks whether a controller serves clients.
pub const HEALTH_PATH: &str = "/up";
