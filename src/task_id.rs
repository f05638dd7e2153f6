//! The identifier of a task within one leader's term, and the interface through which the worker ledger looks up jobs.
//!
//! Both the worker ledger and the job table depend on this module, so that neither depends on the other.

use crate::wire::JobSpec;
use std::sync::Arc;

/// Identifies a task by numbers that are valid only within one leader's term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// Number of the job, see [`JobDirectory`].
    pub job: u32,
    /// Index of the task within the job, from 0.
    pub index: u32,
}

/// Looks up the jobs of reported tasks; implemented by the job table.
pub trait JobDirectory {
    /// The number and the spec of a job that is live, or that is cancelled and has tasks still being stopped.
    fn find(&self, uid: &str) -> Option<(u32, Arc<JobSpec>)>;
    /// Whether the job with that number is cancelled, so that all of its tasks must be stopped.
    fn is_cancelled(&self, job: u32) -> bool;
    /// Returns the number of a finished or unknown job, so that its reported tasks can be tracked; assigns a new number
    /// on the first call with this uid.
    fn number_for_unknown_job(&mut self, uid: &str) -> u32;
}
