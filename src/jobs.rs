//! The leader's live jobs, and what every controller keeps about jobs to answer clients' polls.
//!
//! - [`Job`] holds the state of a job's tasks: each is pending, may be placed on machines, or is done.
//! - [`JobTable`] holds the live jobs of one leader term and assigns their numbers.
//! - [`FinalStateCache`] holds the answers about finished jobs whose final states this controller has read.
//! - [`JobProgress`] holds the progress of live jobs that the leader last announced.
//!
//! This module does no I/O and does not decide where a task runs. `job_record` defines the stored form of a job.
//!
//! Invariants:
//! - a task that is done never becomes pending again;
//! - a task becomes pending only when none of its attempts can be on a machine any more;
//! - `pending_count` is the number of tasks in `pending`;
//! - a job keeps its number for the whole term, even while workers still report its tasks after its end.

use crate::clock::Micros;
use crate::job_record::{JobRecord, TaskEnding, TaskRange};
use crate::schema::Schema;
use crate::seeded_hash::HashMap;
use crate::state_client::to_raw_json;
use crate::task_id::{JobDirectory, TaskId};
use crate::wire::{FRAME_PAYLOAD_BYTES_MAX, JobKind, JobSpec, Priority, ProgressRow};
use rangemap::RangeSet;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use zerocopy::{FromBytes, IntoBytes};

/// The maximum number of attempt endings that are kept per job.
const ENDINGS_MAX: usize = 12;
/// The cause of an ending, as reported by the worker, is truncated to this length.
const CAUSE_CHARS_MAX: usize = 80;
/// A job is suspect if its tasks have failed on this many machines and none of them is done.
const SUSPECT_MACHINES_MIN: usize = 3;
/// Estimated length of a machine name: machine names have similar lengths, and this is a long one.
const TYPICAL_MACHINE_NAME_BYTES: usize = 12;

/// Converts a set of task indexes to a list of ranges in ascending order.
pub fn ranges(set: &RangeSet<u32>) -> Vec<TaskRange> {
    set.iter().map(|range| (range.start, range.end)).collect()
}

/// The number of indexes in the set.
fn count(set: &RangeSet<u32>) -> u64 {
    set.iter()
        .map(|range| u64::from(range.end - range.start))
        .sum()
}

/// A live job, as the leader keeps it.
pub struct Job {
    /// The number of the job within this leader's term.
    pub number: u32,
    /// The job as its user submitted it.
    pub spec: Arc<JobSpec>,
    /// Length of the encoded spec, in bytes.
    spec_bytes: usize,
    /// Time of day of acceptance, in microseconds.
    pub accepted_at: Micros,
    /// Name of the controller that accepted it.
    pub accepted_by: String,
    /// `mod_revision` of its stored header.
    pub mod_revision: u64,
    /// Time of day when it became ready to start, in microseconds; `None` while it waits for its dependencies.
    pub ready_at: Option<Micros>,
    /// The highest priority of the jobs that depend on it, directly or indirectly.
    pub inherited_priority: Priority,
    /// Time of day by which it must be done so that the jobs that depend on it can meet their deadlines, in
    /// microseconds.
    pub due_at: Option<Micros>,
    /// How many chunks are stored in addition to its header.
    pub chunks: usize,
    /// The tasks that are done.
    pub done: RangeSet<u32>,
    /// The part of `done` that is stored.
    pub stored_done: RangeSet<u32>,
    /// The tasks that wait for a placement.
    pub pending: RangeSet<u32>,
    /// How many tasks are in `pending`.
    pub pending_count: u64,
    /// For each task, the attempts that may be on machines: machine and attempt number.
    pub placements: BTreeMap<u32, Vec<(Arc<str>, u64)>>,
    /// Planned starts whose placements are neither stored nor part of a write in flight: machine, task, attempt
    /// number.
    pub unsaved_starts: Vec<(Arc<str>, TaskId, u64)>,
    /// Successful attempts whose ends the leader has not acknowledged to the workers, which report them until
    /// then; an end is acknowledged once it is stored. Machine, task index, attempt number.
    pub unacknowledged: Vec<(Arc<str>, u32, u64)>,
    /// How the latest attempts ended, the oldest first.
    pub endings: VecDeque<TaskEnding>,
    /// Whether it was cancelled, so that its tasks must be stopped and no more may start.
    pub cancelled: bool,
    /// Whether a write of its record is in flight.
    pub save_in_flight: bool,
    /// Whether its stored record must be read again before the next write.
    pub reread_pending: bool,
    /// Since when its record has differed from the stored one; `None` if it does not.
    pub dirty_since: Option<Micros>,
    /// Whether it must be saved without delay, because a start or the job's end waits for the write.
    pub save_urgent: bool,
    /// How many attempts have failed on each machine.
    pub failures_by_machine: BTreeMap<Arc<str>, u32>,
    /// Backoff: no task of the job is started before this time, on the steady clock.
    pub not_before: Micros,
    /// The longest run time of an attempt that failed.
    pub longest_failed_run: Micros,
    /// How many trials of a suspect job have failed; the backoff grows with each.
    pub failed_trials: u32,
    /// How many tasks of a suspect job may be started now to test whether they fail again; `None` if there is
    /// no such limit.
    pub trial_tasks: Option<u64>,
    /// Natural logarithms of the run times of tasks that ran without interruption: their sum and their count.
    pub ln_run_times: (f64, f64),
    /// Tasks that have saved a checkpoint, so that the run time of the last attempt is not that of the whole
    /// task.
    pub checkpointed_tasks: BTreeSet<u32>,
}

impl Job {
    /// Creates the job from its stored record. The placements in the record are not adopted here, since they must
    /// be reconciled with the heartbeats of the machines.
    pub fn from_record(number: u32, record: &JobRecord, mod_revision: u64) -> Self {
        let tasks = record.spec.tasks as u32;
        let mut done = RangeSet::new();
        for (start, end) in &record.done {
            if start < end && *end <= tasks {
                done.insert(*start..*end);
            }
        }
        let mut pending = RangeSet::new();
        pending.insert(0..tasks);
        for range in done.iter() {
            pending.remove(range.clone());
        }
        let pending_count = count(&pending);
        // An earlier leader starts a job only once its dependencies are done.
        let has_started = !record.placed.is_empty() || !record.done.is_empty();
        let is_ready = record.spec.waits_on.is_empty() || has_started;
        Self {
            number,
            spec: record.spec.clone(),
            spec_bytes: to_raw_json(&record.spec).get().len(),
            accepted_at: record.accepted_at,
            accepted_by: record.accepted_by.clone(),
            mod_revision,
            ready_at: record.ready_at.or(is_ready.then_some(record.accepted_at)),
            inherited_priority: record.spec.priority,
            due_at: None,
            chunks: 0,
            stored_done: done.clone(),
            done,
            pending,
            pending_count,
            placements: BTreeMap::new(),
            unsaved_starts: Vec::new(),
            unacknowledged: Vec::new(),
            endings: record.endings.clone(),
            cancelled: false,
            save_in_flight: false,
            reread_pending: false,
            dirty_since: None,
            save_urgent: false,
            failures_by_machine: BTreeMap::new(),
            not_before: 0,
            longest_failed_run: 0,
            failed_trials: 0,
            trial_tasks: None,
            ln_run_times: (0.0, 0.0),
            checkpointed_tasks: BTreeSet::new(),
        }
    }

    /// The record of the job to be stored.
    pub fn record(&self) -> JobRecord {
        let mut placed: BTreeMap<Arc<str>, RangeSet<u32>> = BTreeMap::new();
        for (index, attempts) in &self.placements {
            for (machine, _) in attempts {
                placed
                    .entry(machine.clone())
                    .or_default()
                    .insert(*index..*index + 1);
            }
        }
        JobRecord {
            spec: self.spec.clone(),
            accepted_at: self.accepted_at,
            accepted_by: self.accepted_by.clone(),
            ready_at: self.ready_at.filter(|_| !self.spec.waits_on.is_empty()),
            done: ranges(&self.done),
            placed: placed
                .into_iter()
                .map(|(machine, tasks)| (machine, ranges(&tasks)))
                .collect(),
            endings: self.endings.clone(),
        }
    }

    /// A lower bound of the space left for placements in the job's stored header and chunks, in bytes.
    pub fn placement_bytes_left(&self, schema: &Schema) -> usize {
        let placements = self.placements.values().flatten();
        let placed_bytes: usize = placements
            .map(|(machine, _)| schema.placement_bytes(machine.len()))
            .sum();
        let done_bytes = self.done.iter().count() * schema.range_bytes();
        schema
            .job_capacity_bytes(self.spec_bytes)
            .saturating_sub(done_bytes + placed_bytes)
    }

    /// Whether the job waits for its dependencies. Until they are done, none of its tasks may start, and the time
    /// does not count as waiting time.
    pub fn waits_for_dependencies(&self) -> bool {
        self.ready_at.is_none()
    }

    /// Time of day from which its waiting time counts, in microseconds.
    pub fn waiting_since(&self) -> Micros {
        self.ready_at.unwrap_or(self.accepted_at)
    }

    /// The highest of its own priority and the priorities of the jobs that depend on it.
    pub fn priority(&self) -> Priority {
        self.inherited_priority.max(self.spec.priority)
    }

    /// Whether the job itself, rather than the machines, seems to be faulty: its tasks have failed on several
    /// machines and none has succeeded.
    pub fn is_suspect(&self) -> bool {
        self.failures_by_machine.len() >= SUSPECT_MACHINES_MIN && self.done.is_empty()
    }

    /// How many pending tasks may be started now, given the space for placements in the stored record and the
    /// limit for a suspect job.
    pub fn startable_tasks(&self, schema: &Schema) -> u64 {
        if self.waits_for_dependencies() {
            return 0;
        }
        let placements_left =
            self.placement_bytes_left(schema) / schema.placement_bytes(TYPICAL_MACHINE_NAME_BYTES);
        self.pending_count
            .min(self.trial_tasks.unwrap_or(u64::MAX))
            .min(placements_left as u64)
    }

    /// Whether all tasks are done. Always false for a service.
    pub fn is_done(&self) -> bool {
        self.spec.kind != JobKind::Service && self.remaining_tasks() == 0
    }

    /// How many tasks are not done.
    pub fn remaining_tasks(&self) -> u64 {
        self.spec.tasks - count(&self.done)
    }

    /// The pending task with the lowest index.
    pub fn next_pending(&self) -> Option<u32> {
        self.pending.iter().next().map(|range| range.start)
    }

    /// Removes a task from the pending ones, if it is one of them.
    fn remove_pending(&mut self, index: u32) {
        if self.pending.contains(&index) {
            self.pending.remove(index..index + 1);
            self.pending_count -= 1;
        }
    }

    /// Records that an attempt of a task may be on a machine.
    pub fn add_placement(&mut self, index: u32, machine: &Arc<str>, attempt: u64) {
        self.remove_pending(index);
        let attempts = self.placements.entry(index).or_default();
        attempts.retain(|(on, number)| !(on == machine && *number == attempt));
        attempts.push((machine.clone(), attempt));
    }

    /// Records that an attempt is certainly not on its machine any more. Unless the task is done, it becomes
    /// pending once none of its attempts can be on a machine.
    pub fn remove_placement(&mut self, index: u32, machine: &Arc<str>, attempt: u64) {
        if let Some(attempts) = self.placements.get_mut(&index) {
            attempts.retain(|(on, number)| !(on == machine && *number == attempt));
            if attempts.is_empty() {
                self.placements.remove(&index);
            }
        }
        if !self.placements.contains_key(&index)
            && !self.done.contains(&index)
            && u64::from(index) < self.spec.tasks
            && !self.pending.contains(&index)
        {
            self.pending.insert(index..index + 1);
            self.pending_count += 1;
        }
    }

    /// Records that a task is done.
    pub fn finish_task(&mut self, index: u32) {
        if u64::from(index) < self.spec.tasks {
            self.done.insert(index..index + 1);
            self.remove_pending(index);
        }
    }

    /// Records how an attempt ended, with a truncated cause. Drops the oldest endings beyond `ENDINGS_MAX`.
    pub fn record_ending(&mut self, mut ending: TaskEnding) {
        if let Some((end, _)) = ending.cause.char_indices().nth(CAUSE_CHARS_MAX) {
            ending.cause.truncate(end);
        }
        self.endings.push_back(ending);
        while self.endings.len() > ENDINGS_MAX {
            self.endings.pop_front();
        }
    }

    /// Records that the job differs from its stored record.
    pub fn mark_dirty(&mut self, now: Micros) {
        self.dirty_since = self.dirty_since.or(Some(now));
    }
}

/// The leader's live jobs.
#[derive(Default)]
pub struct JobTable {
    /// The jobs by number.
    pub by_number: BTreeMap<u32, Job>,
    /// The numbers of the live jobs, by job id.
    numbers: HashMap<Arc<str>, u32>,
    /// The numbers of jobs that are not live but whose tasks workers may still report, by job id.
    unknown_numbers: HashMap<Arc<str>, u32>,
    last_number: u32,
}

impl JobTable {
    /// The live job with this id.
    pub fn get(&self, uid: &str) -> Option<&Job> {
        self.by_number.get(self.numbers.get(uid)?)
    }

    /// The live job with this id, for changes.
    pub fn get_mut(&mut self, uid: &str) -> Option<&mut Job> {
        self.by_number.get_mut(self.numbers.get(uid)?)
    }

    /// Adds a live job from its record, which is stored at this revision; returns the job's number.
    pub fn add(&mut self, record: &JobRecord, mod_revision: u64) -> u32 {
        self.last_number += 1;
        // If a task of the job was reported before the job was known, the job already has a number, which the
        // worker ledger uses.
        let number = self
            .unknown_numbers
            .remove(&record.spec.uid)
            .unwrap_or(self.last_number);
        self.numbers.insert(record.spec.uid.clone(), number);
        self.by_number
            .insert(number, Job::from_record(number, record, mod_revision));
        number
    }

    /// Removes a job that is no longer live.
    pub fn remove(&mut self, uid: &str) -> Option<Job> {
        let number = self.numbers.remove(uid)?;
        // Workers may still report tasks of the job, for which it keeps its number.
        self.unknown_numbers.insert(uid.into(), number);
        self.by_number.remove(&number)
    }

    /// Removes the numbers of jobs that are not live, except those in use.
    pub fn prune(&mut self, is_used: impl Fn(u32) -> bool) {
        self.unknown_numbers.retain(|_, number| is_used(*number));
    }
}

impl JobDirectory for JobTable {
    fn find(&self, uid: &str) -> Option<(u32, Arc<JobSpec>)> {
        self.get(uid).map(|job| (job.number, job.spec.clone()))
    }

    fn is_cancelled(&self, number: u32) -> bool {
        self.by_number.get(&number).is_some_and(|job| job.cancelled)
    }

    fn number_for_unknown_job(&mut self, uid: &str) -> u32 {
        if let Some(number) = self.unknown_numbers.get(uid) {
            return *number;
        }
        self.last_number += 1;
        self.unknown_numbers.insert(uid.into(), self.last_number);
        self.last_number
    }
}

/// Caches the answers to polls about finished jobs. Final states never change, so an answer stays valid until it
/// is evicted.
pub struct FinalStateCache {
    /// The answers by job id.
    known: HashMap<String, Value>,
    /// Job ids in the order in which they were added.
    order: VecDeque<String>,
    jobs_max: usize,
}

impl FinalStateCache {
    /// Creates an empty cache for at most `jobs_max` jobs.
    pub fn new(jobs_max: usize) -> Self {
        Self {
            known: HashMap::default(),
            order: VecDeque::new(),
            jobs_max,
        }
    }

    /// The answer about a finished job, if it is in the cache.
    pub fn get(&self, uid: &str) -> Option<&Value> {
        self.known.get(uid)
    }

    /// Adds the answer about a finished job, and evicts the oldest one if the cache is full.
    pub fn put(&mut self, uid: &str, body: Value) {
        if self.known.insert(uid.to_owned(), body).is_none() {
            self.order.push_back(uid.to_owned());
            if self.order.len() > self.jobs_max
                && let Some(oldest) = self.order.pop_front()
            {
                self.known.remove(&oldest);
            }
        }
    }
}

/// The progress of the live jobs as last announced by the leader.
#[derive(Default)]
pub struct JobProgress {
    /// One row per job, ordered by job id.
    rows: Vec<ProgressRow>,
}

/// The maximum number of rows in a progress frame; 1,024 bytes of the frame are left for the sender's name.
const PROGRESS_ROWS_MAX: usize = (FRAME_PAYLOAD_BYTES_MAX - 1024) / size_of::<ProgressRow>();

impl JobProgress {
    /// Encodes the progress of the live jobs for the leader's announcement. Returns the frame, and the number of
    /// jobs that did not fit into it: polls for those are answered from the state service.
    pub fn encode_frame(rows: impl Iterator<Item = ProgressRow>) -> (Vec<u8>, usize) {
        let mut rows: Vec<ProgressRow> = rows.collect();
        let left_out = rows.len().saturating_sub(PROGRESS_ROWS_MAX);
        rows.truncate(PROGRESS_ROWS_MAX);
        (rows.as_bytes().to_vec(), left_out)
    }

    /// Replaces the progress with a new announcement of the leader. An incomplete row at its end is ignored.
    pub fn replace(&mut self, body: &[u8]) {
        self.rows.clear();
        let rows = body.chunks_exact(size_of::<ProgressRow>());
        self.rows
            .extend(rows.filter_map(|row| ProgressRow::read_from_bytes(row).ok()));
        self.rows.sort_unstable_by_key(|row| row.uid);
    }

    /// Adds a job that this controller has just accepted; the leader's next announcement replaces the entry.
    pub fn add(&mut self, uid: &str) {
        let rows = [ProgressRow::new(uid, 0, 0), ProgressRow::waiting_mark(uid)];
        for row in rows.into_iter().flatten() {
            if let Err(position) = self.rows.binary_search_by_key(&row.uid, |known| known.uid) {
                self.rows.insert(position, row);
            }
        }
    }

    /// How many tasks of a live job are done, and how many are placed; `None` if the job is not known.
    pub fn get(&self, uid: &str) -> Option<(u64, u64)> {
        let row = self.find(&ProgressRow::new(uid, 0, 0)?)?;
        Some((row.done.get().into(), row.placed.get().into()))
    }

    /// Whether the leader has announced that a live job does not wait for other jobs: it names none, or all of them
    /// are stored as done. That never changes, however old the announcement is.
    pub fn is_released(&self, uid: &str) -> bool {
        let marks_waiting_jobs = self.find(&ProgressRow::marks_included()).is_some();
        let mark = ProgressRow::waiting_mark(uid);
        let is_marked = mark.is_none_or(|mark| self.find(&mark).is_some());
        match self.get(uid) {
            None => false,
            // No task of a job is placed before all its dependencies are stored as done.
            Some((0, 0)) => marks_waiting_jobs && !is_marked,
            Some(_) => true,
        }
    }

    /// The row with the same id.
    fn find(&self, row: &ProgressRow) -> Option<&ProgressRow> {
        let position = self.rows.binary_search_by_key(&row.uid, |known| known.uid);
        self.rows.get(position.ok()?)
    }
}
