//! What the controller asks the state service for, and with which priority.
//!
//! A [`StateRequest`] travels with each operation and comes back with its reply: it carries what is
//! needed to go on. Requests of a leader name its term; a reply that arrives after the term is over
//! is dropped.

use super::client_requests::PendingPoll;
use super::dependencies::CascadingCancellation;
use super::persistence::PendingSave;
use crate::clock::Micros;
use crate::election::ElectionStep;
use crate::messages::ConnId;
use crate::replica::ReplicaRead;
use crate::state_client::RequestPriority;
use serde_json::Value;
use std::sync::Arc;

/// Why something is asked of the state service.
///
/// The field `over` says which of a job's two keys is read: that of its final state if set, that of
/// the live job otherwise.
pub(super) enum StateRequest {
    /// A step of the leader election.
    Election(ElectionStep),
    /// Whether the state service answers again.
    AvailabilityProbe,
    /// Stores a submitted job, if it is new.
    AcceptJob { conn: ConnId, uid: Arc<str> },
    /// The job that a submission repeats.
    ReadExistingJob {
        conn: ConnId,
        uid: Arc<str>,
        finished: bool,
    },
    /// The state of a polled job.
    PollJob {
        conn: ConnId,
        uid: Arc<str>,
        finished: bool,
    },
    /// Whether polled jobs are still live.
    CheckFinished { polls: Vec<PendingPoll> },
    /// The job that is to be cancelled.
    ReadForCancel {
        conn: ConnId,
        uid: Arc<str>,
        finished: bool,
        retries: u32,
    },
    /// Cancels a job; `body` is what the client is answered.
    WriteCancel {
        conn: ConnId,
        uid: Arc<str>,
        retries: u32,
        body: Value,
    },
    /// The stored record of a job, for operators.
    InspectJob {
        conn: ConnId,
        uid: Arc<str>,
        finished: bool,
    },
    /// Part of the replica that this node keeps, or builds its leader state from. Replies for an
    /// earlier `generation` of the replica are dropped.
    ReadReplica { generation: u64, read: ReplicaRead },
    /// Waits for changes of the live jobs.
    WatchJobs { term: u64 },
    /// What has changed of the live jobs so far, at once.
    ReadJobChanges { term: u64 },
    /// Stores changes of jobs.
    SaveJobs { term: u64, saves: Vec<PendingSave> },
    /// What is stored of a job whose save had an unknown outcome.
    RereadJob {
        term: u64,
        uid: Arc<str>,
        finished: bool,
    },
    /// Stores a page of the machine registry; `written` names the machines and their silence marks.
    WriteRegistryPage {
        term: u64,
        key: String,
        written: Vec<(Arc<str>, Option<Micros>)>,
    },
    /// The revision of a page whose write had an unknown outcome.
    ReadRegistryPage { term: u64, key: String },
    /// Deletes a page of the machine registry.
    DeleteRegistryPage { term: u64, key: String },
    /// The stored schema version.
    ReadSchemaVersion,
    /// The stored machine types.
    ReadMachineTypes,
    /// Stores the machine types.
    StoreMachineTypes,
    /// What this node has registered that it supports.
    ReadOwnSchemaSupport,
    /// Registers what this node supports.
    WriteOwnSchemaSupport,
    /// What all controllers have registered that they support.
    ReadSchemaSupport { term: u64 },
    /// Raises the stored schema version.
    RaiseSchemaVersion { term: u64 },
    /// A job that a submission depends on.
    ReadDependency {
        submission: u64,
        uid: Arc<str>,
        finished: bool,
    },
    /// Stores a submitted job that depends on others, or its final state if one of them is
    /// cancelled.
    AcceptDependentJob { submission: u64, cancelled: bool },
    /// Whether a submission to be rejected repeats a job that was accepted before.
    ReadBeforeRejecting {
        conn: ConnId,
        uid: Arc<str>,
        finished: bool,
        reason: String,
    },
    /// How a job ended that others depend on.
    ReadDependencyOutcome { term: u64, uid: Arc<str> },
    /// Cancels jobs that depend on a cancelled one.
    CancelDependents {
        term: u64,
        cancellations: Vec<CascadingCancellation>,
    },
    /// Chunks, among which those that belong to no job are looked for.
    ListChunks { term: u64 },
    /// Deletes a chunk that belongs to no job; its outcome does not matter.
    DeleteOrphanChunk,
    /// Deletes the record of a cancelled job that no machine can hold a task of any more.
    DeleteCancelledJob { term: u64, uid: Arc<str> },
}

impl StateRequest {
    /// The queue that the request waits in.
    pub(super) fn priority(&self) -> RequestPriority {
        match self {
            // Without their answers no worker is answered with 200.
            Self::Election(_) | Self::ReadJobChanges { .. } => RequestPriority::Vital,
            Self::AcceptJob { .. }
            | Self::ReadExistingJob { .. }
            | Self::ReadDependency { .. }
            | Self::AcceptDependentJob { .. }
            | Self::ReadBeforeRejecting { .. }
            | Self::ReadDependencyOutcome { .. }
            | Self::CancelDependents { .. }
            | Self::ReadForCancel { .. }
            | Self::ReadMachineTypes
            | Self::WriteCancel { .. } => RequestPriority::Client,
            Self::AvailabilityProbe
            | Self::ReadSchemaVersion
            | Self::ReadOwnSchemaSupport
            | Self::ListChunks { .. }
            | Self::PollJob { .. }
            | Self::CheckFinished { .. }
            | Self::InspectJob { .. } => RequestPriority::Background,
            _ => RequestPriority::Leader,
        }
    }

    /// The term of the leader that asked, if only a leader asks this.
    pub(super) fn term(&self) -> Option<u64> {
        match self {
            Self::WatchJobs { term }
            | Self::ReadJobChanges { term }
            | Self::SaveJobs { term, .. }
            | Self::RereadJob { term, .. }
            | Self::WriteRegistryPage { term, .. }
            | Self::ReadRegistryPage { term, .. }
            | Self::DeleteRegistryPage { term, .. }
            | Self::ReadSchemaSupport { term }
            | Self::RaiseSchemaVersion { term }
            | Self::ReadDependencyOutcome { term, .. }
            | Self::CancelDependents { term, .. }
            | Self::ListChunks { term }
            | Self::DeleteCancelledJob { term, .. } => Some(*term),
            _ => None,
        }
    }

    /// Whether the reply may be held back until something changes, so that its time says nothing
    /// about how fast the state service answers.
    pub(super) fn waits_for_changes(&self) -> bool {
        matches!(
            self,
            Self::WatchJobs { .. }
                | Self::Election(ElectionStep::WatchLeaderKey | ElectionStep::ReadLeaderKey)
        )
    }
}
