//! Errors that the HTTP API returns.
//!
//! Each error has an HTTP status. The texts are part of the API: clients receive them unchanged in
//! the `error` field of the response body.

use thiserror::Error;

/// Why a request can't be served.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub(super) enum ApiError {
    /// The body of a submission is not a valid job description; the reason names the field.
    #[error("{0}")]
    InvalidJob(String),
    /// The body of a heartbeat can't be parsed.
    #[error("report: {0}")]
    MalformedHeartbeat(String),
    /// No job with this id was ever accepted.
    #[error("no such job")]
    NoSuchJob,
    /// The path is not part of the API.
    #[error("no such path")]
    NoSuchPath,
    /// The path below `/inspect` is not part of the API.
    #[error("ask for /inspect/status, /inspect/job/UID, /inspect/jobs or /inspect/workers")]
    NoSuchInspection,
    /// The path is part of the API, but does not support the method.
    #[error("method not allowed")]
    MethodNotAllowed,
    /// The job description is well formed, but the job can't be accepted for the given reason.
    #[error("{0}")]
    JobRejected(String),
    /// The state service answered neither this node nor another controller in time.
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
    /// Cancelling the job takes more changes than fit in one transaction.
    #[error("the job is too wide to be stopped at once")]
    JobTooWideToCancel,
    /// Neither the state service nor another controller answers this node.
    #[error("cut off from state service and controllers")]
    Isolated,
    /// This node does not know the machine types yet and therefore accepts no job.
    #[error("the machine types are not known yet")]
    MachineTypesUnknown,
    /// The stored machine types would rule the job out, but the cloud has not confirmed them yet.
    #[error("the machine types are being asked for")]
    MachineTypesUnconfirmed,
    /// Answer to a health check: this node has just started.
    #[error("starting: the machine types are not known yet")]
    Starting,
    /// Answer to a health check: this node is the leader, and enough other controllers serve clients.
    #[error("leading: the other controllers serve users")]
    LeaderServesNoClients,
    /// No leader is known.
    #[error("no leader at the moment")]
    NoLeader,
    /// The leader did not answer an operator's request.
    #[error("the leader does not answer")]
    LeaderUnreachable,
    /// The leader is running, but too slow to answer a heartbeat in time.
    #[error("the leader does not answer in time")]
    LeaderSlow,
    /// The worker's machine was released and must not run tasks any more.
    #[error("this machine has been returned")]
    MachineReleased,
}

impl ApiError {
    /// The HTTP status of the response.
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
