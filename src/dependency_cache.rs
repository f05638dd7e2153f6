//! What a controller remembers of the dependencies of jobs, to tell from stored records alone whether a live job is
//! cancelled with one that it depends on.
//!
//! A cancellation is stored as the final state of one job. The jobs that depend on that job are cancelled by it from
//! that moment, although the leader writes their final states later. [`DependencyCache`] holds the dependencies of
//! jobs, which never change, and [`DependencyCache::ancestry`] walks them. It does no I/O: it names the jobs whose
//! records have to be read, and the caller passes in what was read.
//!
//! Invariants:
//! - an empty list of dependencies means that nothing can cancel the job but a cancellation of the job itself;
//! - at most one read of each job is in flight;
//! - the number of remembered jobs is bounded: the oldest entries are dropped, and read again when needed.

use crate::seeded_hash::{HashMap, HashSet};
use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

/// Number of jobs whose dependencies are remembered.
const JOBS_REMEMBERED: usize = 16_384;
/// The maximum number of concurrent reads of jobs.
const READS_MAX: usize = 16;

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// All its tasks are done.
    Done,
    /// It was cancelled.
    Cancelled,
}

/// What is known of the jobs that a job depends on, directly or through others: its ancestors.
#[derive(Debug, PartialEq, Eq)]
pub enum Ancestry {
    /// An ancestor is cancelled, and the job with it.
    Cancelled,
    /// These jobs have to be read first.
    Incomplete(Vec<Arc<str>>),
    /// All ancestors are known. These are the ones that are not known to be done; the others are.
    Unfinished(BTreeSet<Arc<str>>),
}

/// The dependencies of jobs, and the reads of jobs that are in flight.
#[derive(Default)]
pub struct DependencyCache {
    by_job: HashMap<Arc<str>, Vec<Arc<str>>>,
    /// The remembered jobs in the order in which they were added.
    order: VecDeque<Arc<str>>,
    reads_in_flight: HashSet<Arc<str>>,
}

impl DependencyCache {
    /// Remembers the dependencies of a job; none if the job was released, since they are all done then.
    pub fn insert(&mut self, uid: &Arc<str>, dependencies: &[Arc<str>]) {
        let known = self.by_job.insert(uid.clone(), dependencies.to_vec());
        if known.is_some() {
            return;
        }
        self.order.push_back(uid.clone());
        if self.order.len() > JOBS_REMEMBERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.by_job.remove(&oldest);
        }
    }

    /// The remembered dependencies of a job.
    pub fn get(&self, uid: &str) -> Option<&[Arc<str>]> {
        self.by_job.get(uid).map(Vec::as_slice)
    }

    /// Marks a read of this job as in flight; returns false if one is already, or if too many are.
    pub fn begin_read(&mut self, uid: &Arc<str>) -> bool {
        self.reads_in_flight.len() < READS_MAX && self.reads_in_flight.insert(uid.clone())
    }

    /// Records that the read of a job has ended, successfully or not.
    pub fn end_read(&mut self, uid: &str) {
        self.reads_in_flight.remove(uid);
    }

    /// Finds the ancestors of a job. `dependencies` returns those of a job if they are known from elsewhere, `outcome`
    /// how a job ended if that is known.
    pub fn ancestry<'a>(
        &'a self,
        uid: &Arc<str>,
        dependencies: impl Fn(&str) -> Option<&'a [Arc<str>]>,
        outcome: impl Fn(&str) -> Option<JobOutcome>,
    ) -> Ancestry {
        let mut unfinished = BTreeSet::new();
        let mut unread = Vec::new();
        let mut to_visit = vec![uid.clone()];
        while let Some(job) = to_visit.pop() {
            let known = dependencies(&job).or_else(|| self.get(&job));
            let Some(known) = known.filter(|_| !self.reads_in_flight.contains(&job)) else {
                unread.push(job);
                continue;
            };
            for dependency in known {
                match outcome(dependency) {
                    Some(JobOutcome::Cancelled) => return Ancestry::Cancelled,
                    Some(JobOutcome::Done) => {}
                    None if unfinished.insert(dependency.clone()) => {
                        to_visit.push(dependency.clone());
                    }
                    None => {}
                }
            }
        }
        if unread.is_empty() {
            Ancestry::Unfinished(unfinished)
        } else {
            Ancestry::Incomplete(unread)
        }
    }
}
