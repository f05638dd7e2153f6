//! How a task is identified within one leader term, and what the worker ledger asks of the jobs.

use crate::wire::JobSpec;
use std::sync::Arc;

/// One task of a job, by numbers that hold within a leader term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// Number of the job within this leader's term.
    pub job: u32,
    pub index: u32,
}

/// How a reported task relates to the jobs; asked of the job table.
pub trait JobDirectory {
    /// The job's number and description, when it is live or being cancelled.
    fn find(&self, uid: &str) -> Option<(u32, Arc<JobSpec>)>;
    /// Whether its user has cancelled it, so that nothing of it may stay.
    fn is_cancelled(&self, job: u32) -> bool;
    /// A new number for a job that is over or unknown, so that its tasks can be tracked.
    fn number_unknown_job(&mut self, uid: &str) -> u32;
}
