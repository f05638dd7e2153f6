//! What a request is refused with.
//!
//! Each error knows its HTTP status. The texts are part of the API: clients see them in the field
//! `error` of the body, byte for byte as they stand here.

use thiserror::Error;

/// Why a request is not served.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub(super) enum ApiError {
    /// The body of a submission is no valid job description; the reason names the field.
    #[error("{0}")]
    InvalidJob(String),
    /// The body of a heartbeat can't be parsed.
    #[error("report: {0}")]
    MalformedHeartbeat(String),
    /// No job of that id was ever accepted.
    #[error("no such job")]
    NoSuchJob,
    /// The path is not part of the API.
    #[error("no such path")]
    NoSuchPath,
    /// The path below `/inspect` is not part of the API.
    #[error("ask for /inspect/status, /inspect/job/UID, /inspect/jobs or /inspect/workers")]
    NoSuchInspection,
    /// The path is known, the method is not allowed for it.
    #[error("method not allowed")]
    MethodNotAllowed,
    /// The job is well formed but can't be accepted; the reason says why.
    #[error("{0}")]
    JobRejected(String),
    /// The state service did not answer in time, neither this node nor another controller.
    #[error("the state service does not answer")]
    StateUnavailable,
    /// The state service refused to store the job.
    #[error("the state service refused the job")]
    StateRefusedJob,
    /// The stored record of the job can't be decoded.
    #[error("the stored job can't be read")]
    StoredJobUnreadable,
    /// The stored record of a job that a submission depends on can't be decoded.
    #[error("a job named in waitsOn can't be read")]
    DependencyUnreadable,
    /// Cancelling the job takes more changes than one transaction may have.
    #[error("the job is too wide to be stopped at once")]
    JobTooWideToCancel,
    /// Neither the state service nor another controller answers this node.
    #[error("cut off from state service and controllers")]
    Isolated,
    /// This node has not learned the machine types yet and accepts no job.
    #[error("the machine types are not known yet")]
    MachineTypesUnknown,
    /// The stored machine types would rule the job out; the cloud has not confirmed them yet.
    #[error("the machine types are being asked for")]
    MachineTypesUnconfirmed,
    /// To the load balancer: this node has just started.
    #[error("starting: the machine types are not known yet")]
    Starting,
    /// To the load balancer: this node leads, and enough of the others serve clients.
    #[error("leading: the other controllers serve users")]
    LeaderServesNoClients,
    /// No leader is known.
    #[error("no leader at the moment")]
    NoLeader,
    /// The leader did not answer an operator's question.
    #[error("the leader does not answer")]
    LeaderUnreachable,
    /// The leader is there, but too slow to answer a heartbeat in time.
    #[error("the leader does not answer in time")]
    LeaderSlow,
    /// The worker's machine was released and is not to run anything any more.
    #[error("this machine has been returned")]
    MachineReleased,
}

impl ApiError {
    /// The HTTP status that goes with the error.
    pub(super) fn status(&self) -> u16 {
        match self {
            Self::InvalidJob(_) | Self::MalformedHeartbeat(_) => 400,
            Self::NoSuchJob | Self::NoSuchPath | Self::NoSuchInspection => 404,
            Self::MethodNotAllowed => 405,
            Self::JobRejected(_) => 422,
            Self::StateUnavailable
            | Self::StateRefusedJob
            | Self::StoredJobUnreadable
            | Self::DependencyUnreadable
            | Self::JobTooWideToCancel
            | Self::Isolated
            | Self::MachineTypesUnknown
            | Self::MachineTypesUnconfirmed
            | Self::Starting
            | Self::LeaderServesNoClients
            | Self::NoLeader
            | Self::LeaderUnreachable
            | Self::LeaderSlow
            | Self::MachineReleased => 503,
        }
    }
}
