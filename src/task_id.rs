//! How a task is identified within one leader's term, and what the worker ledger asks the job table.
//!
//! Owns nothing. Both the ledger and the jobs depend on this module, so neither depends on the other.

use crate::wire::JobSpec;
use std::sync::Arc;

/// One task of a job, by numbers that are valid within one leader's term only.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// Number of the job, see [`JobDirectory`].
    pub job: u32,
    /// Index of the task within the job, from 0.
    pub index: u32,
}

/// Relates reported tasks to jobs; implemented by the job table.
pub trait JobDirectory {
    /// The number and the spec of a job that is live, or cancelled with tasks still being stopped.
    fn find(&self, uid: &str) -> Option<(u32, Arc<JobSpec>)>;
    /// Whether the job of that number is cancelled, so that none of its tasks may remain.
    fn is_cancelled(&self, job: u32) -> bool;
    /// The number of a job that is finished or not known, so that its reported tasks can be tracked. The same
    /// for each call with this id; a new one for the first.
    fn number_for_unknown_job(&mut self, uid: &str) -> u32;
}
