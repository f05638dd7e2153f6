//! The controller's requests to the state service, and their priorities.
//!
//! A [`StateRequest`] is kept with each operation and returned with its reply: it tells what the
//! operation is for and holds the data needed to handle the reply. The requests of a leader name its
//! term; a reply that arrives after the end of that term is dropped.

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

/// The purpose of a request to the state service.
///
/// A job is stored under one of two keys. The field `finished` tells which one is read: that of the
/// final state if set, that of the live job otherwise.
pub(super) enum StateRequest {
    /// A step of the leader election.
    Election(ElectionStep),
    /// A read that only shows whether the state service answers again.
    AvailabilityProbe,
    /// Stores a submitted job that depends on no other, if it is new.
    AcceptJob { conn: ConnId, uid: Arc<str> },
    /// Reads the job that a submission repeats.
    ReadExistingJob {
        conn: ConnId,
        uid: Arc<str>,
        finished: bool,
    },
    /// Reads the state of a polled job.
    PollJob {
        conn: ConnId,
        uid: Arc<str>,
        finished: bool,
    },
    /// Reads a job that polled jobs depend on.
    ReadAncestor { uid: Arc<str>, finished: bool },
    /// Checks which of the polled jobs have finished, or depend on one that has.
    CheckFinished { polls: Vec<PendingPoll> },
    /// Reads the job that is to be cancelled.
    ReadForCancel {
        conn: ConnId,
        uid: Arc<str>,
        finished: bool,
        retries: u32,
    },
    /// Cancels a job; `body` is the answer for the client.
    WriteCancel {
        conn: ConnId,
        uid: Arc<str>,
        retries: u32,
        body: Value,
    },
    /// Reads the stored record of a job, for operators.
    InspectJob {
        conn: ConnId,
        uid: Arc<str>,
        finished: bool,
    },
    /// Reads a part of this node's replica. The reply is dropped if the replica was discarded since and
    /// now has a later `generation`.
    ReadReplica { generation: u64, read: ReplicaRead },
    /// Waits for changes of the live jobs, which the state service reports when they occur.
    WatchJobs { term: u64 },
    /// Reads the changes of the live jobs so far, without waiting for one. The reply proves that the
    /// leader knows all cancellations up to the send time.
    ReadJobChanges { term: u64 },
    /// Stores changes of jobs.
    SaveJobs { term: u64, saves: Vec<PendingSave> },
    /// Reads a job again after a save that failed or had an unknown outcome.
    RereadJob {
        term: u64,
        uid: Arc<str>,
        finished: bool,
    },
    /// Stores a page of the machine registry. `written` lists the machines in it, each with the time
    /// since when it is marked as silent, if it is.
    WriteRegistryPage {
        term: u64,
        key: String,
        written: Vec<(Arc<str>, Option<Micros>)>,
    },
    /// Reads the revision of a page whose write had an unknown outcome.
    ReadRegistryPage { term: u64, key: String },
    /// Deletes a page of the machine registry.
    DeleteRegistryPage { term: u64, key: String },
    /// Reads the stored schema version.
    ReadSchemaVersion,
    /// Reads the stored machine types.
    ReadMachineTypes,
    /// Stores the machine types.
    StoreMachineTypes,
    /// Reads which schema version this node has registered as supported.
    ReadOwnSchemaSupport,
    /// Registers which schema version this node supports.
    WriteOwnSchemaSupport,
    /// Reads which schema versions all controllers have registered as supported.
    ReadSchemaSupport { term: u64 },
    /// Raises the stored schema version.
    RaiseSchemaVersion { term: u64 },
    /// Reads a job that a submission depends on.
    ReadDependency {
        submission: u64,
        uid: Arc<str>,
        finished: bool,
    },
    /// Stores a submitted job that depends on others, or its final state if one of them is
    /// cancelled.
    AcceptDependentJob { submission: u64, cancelled: bool },
    /// Checks whether a submission that is to be rejected repeats a job that was accepted before.
    ReadBeforeRejecting {
        conn: ConnId,
        uid: Arc<str>,
        finished: bool,
        reason: String,
    },
    /// Reads the final state of a job that others depend on.
    ReadDependencyOutcome { term: u64, uid: Arc<str> },
    /// Cancels jobs that depend on a cancelled one.
    CancelDependents {
        term: u64,
        cancellations: Vec<CascadingCancellation>,
    },
    /// Lists stored chunks, to find those that belong to no job.
    ListChunks { term: u64 },
    /// Deletes a chunk that belongs to no job. The reply is ignored.
    DeleteOrphanChunk,
    /// Deletes the record of a cancelled job that can have no task on any machine any more.
    DeleteCancelledJob { term: u64, uid: Arc<str> },
}

impl StateRequest {
    /// The priority, and with it the queue, of the request.
    pub(super) fn priority(&self) -> RequestPriority {
        match self {
            // Without the replies to these, no worker is answered with 200.
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
            | Self::ReadAncestor { .. }
            | Self::CheckFinished { .. }
            | Self::InspectJob { .. } => RequestPriority::Background,
            _ => RequestPriority::Leader,
        }
    }

    /// The term of the leader that sent the request; `None` for requests that are not a leader's.
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

    /// Whether the request may wait for a change, so that its duration does not show how fast the
    /// state service answers.
    pub(super) fn waits_for_changes(&self) -> bool {
        matches!(
            self,
            Self::WatchJobs { .. }
                | Self::Election(ElectionStep::WatchLeaderKey | ElectionStep::ReadLeaderKey)
        )
    }
}
