//! The leader's live jobs, and what every controller remembers of jobs to answer polls.
//!
//! A [`Job`] owns the state of its tasks: each is pending, may be placed on machines, or is done. [`JobTable`]
//! owns the live jobs of one leader term and numbers them, [`FinalCache`] the final states that this node has
//! read, and [`Progress`] the progress that the leader last announced. Nothing here does I/O or decides where a
//! task runs; `job_record` has the stored form.
//!
//! Invariants at the door: a task that is done never becomes pending again; a task becomes pending only once
//! none of its attempts can be on a machine; `pending_count` is the length of `pending`; a job keeps its
//! number for the whole term, also while workers still report its tasks after its end.

use crate::clock::Micros;
use crate::job_record::{JobRecord, TaskEnding, TaskRange};
use crate::schema::Schema;
use crate::seeded_hash::HashMap;
use crate::state_client::raw;
use crate::task_id::{JobDirectory, TaskId};
use crate::wire::{FRAME_PAYLOAD_BYTES_MAX, JobKind, JobSpec, Priority, ProgressRow};
use rangemap::RangeSet;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use zerocopy::{FromBytes, IntoBytes};

/// How many endings of attempts are kept per job.
const ENDINGS_MAX: usize = 12;
/// The cause of an ending, as the worker reported it, is kept up to this length.
const CAUSE_CHARS_MAX: usize = 80;
/// A job that has failed on this many machines, and of which no task is done, is suspect.
const SUSPECT_MACHINES_MIN: usize = 3;
/// The estimate of a machine name's length: names are similar, and this is a long one.
const TYPICAL_MACHINE_NAME_BYTES: usize = 12;

/// A set of task indexes as ranges, in order.
pub fn ranges(set: &RangeSet<u32>) -> Vec<TaskRange> {
    set.iter().map(|range| (range.start, range.end)).collect()
}

fn count(set: &RangeSet<u32>) -> u64 {
    set.iter()
        .map(|range| u64::from(range.end - range.start))
        .sum()
}

/// A live job, as the leader keeps it.
pub struct Job {
    /// Its number within this leader's term.
    pub number: u32,
    /// The job as its user submitted it.
    pub spec: Arc<JobSpec>,
    /// Length of the encoded spec, in bytes.
    spec_bytes: usize,
    /// Time of day of acceptance, in microseconds.
    pub accepted_at: Micros,
    /// Name of the controller that accepted it.
    pub accepted_by: String,
    /// Revision of its stored header.
    pub mod_revision: u64,
    /// Time of day from which its waits count, in microseconds; `None` while it waits for its dependencies.
    pub ready_at: Option<Micros>,
    /// The highest priority of the jobs that depend on it, directly or through others.
    pub inherited_priority: Priority,
    /// Time of day by which it must be done for the deadlines of the jobs that depend on it, in microseconds.
    pub due_at: Option<Micros>,
    /// How many chunks belong to its stored header.
    pub chunks: usize,
    /// The tasks that are done.
    pub done: RangeSet<u32>,
    /// The part of `done` that is stored.
    pub stored_done: RangeSet<u32>,
    /// The tasks that wait for a placement.
    pub pending: RangeSet<u32>,
    /// How many tasks are in `pending`.
    pub pending_count: u64,
    /// By task, where its attempts may be: machine and attempt number.
    pub placements: BTreeMap<u32, Vec<(Arc<str>, u64)>>,
    /// Planned starts that are neither stored nor part of a save in flight: machine, task, attempt number.
    pub unsaved_starts: Vec<(Arc<str>, TaskId, u64)>,
    /// Successful attempts that workers report until they are acknowledged, which is done once the end is
    /// stored: machine, task index, attempt number.
    pub unacknowledged: Vec<(Arc<str>, u32, u64)>,
    /// The latest endings of attempts, the oldest first.
    pub endings: VecDeque<TaskEnding>,
    /// Its user has cancelled it: none of its tasks may remain.
    pub cancelled: bool,
    /// A write of its record is in flight.
    pub save_in_flight: bool,
    /// What is stored of it must be read again before the next write.
    pub reread_pending: bool,
    /// Since when its record differs from the stored one.
    pub dirty_since: Option<Micros>,
    /// It must be saved at once: a start or the job's end waits for it.
    pub save_urgent: bool,
    /// How many attempts have failed on each machine.
    pub errors: BTreeMap<Arc<str>, u32>,
    /// None of its tasks is started before, after failures.
    pub not_before: Micros,
    /// The longest that an attempt ran before it failed.
    pub failed_after: Micros,
    /// How many trials of a suspect job have failed, each followed by a longer wait.
    pub failed_trials: u32,
    /// How many tasks of a suspect job may be started now, as a trial of whether they fail again.
    pub trial_tasks: Option<u64>,
    /// Logarithms of the run times of the tasks that ran without interruption: sum and count.
    pub run_time_logs: (f64, f64),
    /// Tasks that have saved a checkpoint: the run time of the last attempt is not that of the whole task.
    pub checkpointed_tasks: BTreeSet<u32>,
}

impl Job {
    /// The job of a stored record. Its placements are not taken from there: they are reconciled with what the
    /// machines report.
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
        // A job that has started was found to be ready by the leader that started it.
        let has_started = !record.placed.is_empty() || !record.done.is_empty();
        let is_ready = record.spec.waits_on.is_empty() || has_started;
        Self {
            number,
            spec: record.spec.clone(),
            spec_bytes: raw(&record.spec).get().len(),
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
            errors: BTreeMap::new(),
            not_before: 0,
            failed_after: 0,
            failed_trials: 0,
            trial_tasks: None,
            run_time_logs: (0.0, 0.0),
            checkpointed_tasks: BTreeSet::new(),
        }
    }

    /// The record of the job as it is to be stored.
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

    /// The capacity left for placements in its stored values, in bytes; a lower bound.
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

    /// Whether it waits for its dependencies: none of its tasks may start, and its wait is not counted.
    pub fn waits_for_dependencies(&self) -> bool {
        self.ready_at.is_none()
    }

    /// Time of day from which its waits count, in microseconds.
    pub fn waiting_since(&self) -> Micros {
        self.ready_at.unwrap_or(self.accepted_at)
    }

    /// Its own priority, or that of a job that depends on it if it is higher.
    pub fn priority(&self) -> Priority {
        self.inherited_priority.max(self.spec.priority)
    }

    /// Whether the job itself seems to be faulty: it fails on whatever machine it is placed.
    pub fn is_suspect(&self) -> bool {
        self.errors.len() >= SUSPECT_MACHINES_MIN && self.done.is_empty()
    }

    /// How many pending tasks may be started now: as many as the stored values have capacity for.
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

    /// Whether all tasks are done. A service never is.
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

    fn remove_pending(&mut self, index: u32) {
        if self.pending.contains(&index) {
            self.pending.remove(index..index + 1);
            self.pending_count -= 1;
        }
    }

    /// Notes that an attempt of a task may be on a machine.
    pub fn add_placement(&mut self, index: u32, machine: &Arc<str>, attempt: u64) {
        self.remove_pending(index);
        let attempts = self.placements.entry(index).or_default();
        attempts.retain(|(on, number)| !(on == machine && *number == attempt));
        attempts.push((machine.clone(), attempt));
    }

    /// Notes that an attempt is certainly on no machine any more. The task is pending once no other attempt
    /// can be on one, unless it is done.
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

    /// Notes that a task is done.
    pub fn finish_task(&mut self, index: u32) {
        if u64::from(index) < self.spec.tasks {
            self.done.insert(index..index + 1);
            self.remove_pending(index);
        }
    }

    /// Keeps why an attempt ended, shortened, in place of the oldest ending if there are too many.
    pub fn note_ending(&mut self, mut ending: TaskEnding) {
        if let Some((end, _)) = ending.cause.char_indices().nth(CAUSE_CHARS_MAX) {
            ending.cause.truncate(end);
        }
        self.endings.push_back(ending);
        while self.endings.len() > ENDINGS_MAX {
            self.endings.pop_front();
        }
    }

    /// Notes that the record differs from the stored one.
    pub fn mark_dirty(&mut self, now: Micros) {
        self.dirty_since = self.dirty_since.or(Some(now));
    }
}

/// The leader's live jobs.
#[derive(Default)]
pub struct JobTable {
    /// The jobs by their numbers.
    pub by_number: BTreeMap<u32, Job>,
    numbers: HashMap<Arc<str>, u32>,
    /// The numbers of jobs that are not live and of which workers have reported tasks.
    unknown_numbers: HashMap<Arc<str>, u32>,
    last_number: u32,
}

impl JobTable {
    /// The live job of that id.
    pub fn get(&self, uid: &str) -> Option<&Job> {
        self.by_number.get(self.numbers.get(uid)?)
    }

    /// The live job of that id.
    pub fn get_mut(&mut self, uid: &str) -> Option<&mut Job> {
        self.by_number.get_mut(self.numbers.get(uid)?)
    }

    /// Adds a live job from its record, stored at this revision; returns its number.
    pub fn add(&mut self, record: &JobRecord, mod_revision: u64) -> u32 {
        self.last_number += 1;
        // A task that was reported before the job was known has numbered it: the ledger uses that number.
        let number = self
            .unknown_numbers
            .remove(&record.spec.uid)
            .unwrap_or(self.last_number);
        self.numbers.insert(record.spec.uid.clone(), number);
        self.by_number
            .insert(number, Job::from_record(number, record, mod_revision));
        number
    }

    /// Removes a job that is live no more.
    pub fn remove(&mut self, uid: &str) -> Option<Job> {
        let number = self.numbers.remove(uid)?;
        // Tasks of it that workers still report keep the number until the workers have dropped them.
        self.unknown_numbers.insert(uid.into(), number);
        self.by_number.remove(&number)
    }

    /// Forgets the numbers of jobs that are not live, but for those that are in use.
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

    fn number_unknown_job(&mut self, uid: &str) -> u32 {
        if let Some(number) = self.unknown_numbers.get(uid) {
            return *number;
        }
        self.last_number += 1;
        self.unknown_numbers.insert(uid.into(), self.last_number);
        self.last_number
    }
}

/// Answers about finished jobs whose final states this node has read. Final states never change, so an answer
/// can be kept for as long as there is capacity.
pub struct FinalCache {
    known: HashMap<String, Value>,
    /// Job ids in the order in which they came.
    order: VecDeque<String>,
    jobs_max: usize,
}

impl FinalCache {
    /// An empty cache for at most that many jobs.
    pub fn new(jobs_max: usize) -> Self {
        Self {
            known: HashMap::default(),
            order: VecDeque::new(),
            jobs_max,
        }
    }

    /// The answer about a job, if it is known to be finished.
    pub fn get(&self, uid: &str) -> Option<&Value> {
        self.known.get(uid)
    }

    /// Keeps the answer about a finished job, in place of the oldest if there are too many.
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

/// The progress of the live jobs, as the leader last announced it.
#[derive(Default)]
pub struct Progress {
    /// In the order of their ids.
    rows: Vec<ProgressRow>,
}

/// The most rows of a progress frame: what a frame takes, less the sender's name.
const PROGRESS_ROWS: usize = (FRAME_PAYLOAD_BYTES_MAX - 1024) / size_of::<ProgressRow>();

impl Progress {
    /// What the leader announces of its live jobs, and how many of them do not fit a frame. Polls of those are
    /// answered from the state service.
    pub fn frame(rows: impl Iterator<Item = ProgressRow>) -> (Vec<u8>, usize) {
        let mut rows: Vec<ProgressRow> = rows.collect();
        let left_out = rows.len().saturating_sub(PROGRESS_ROWS);
        rows.truncate(PROGRESS_ROWS);
        (rows.as_bytes().to_vec(), left_out)
    }

    /// Takes an announcement of the leader, which replaces the one before. Bytes beyond the last whole row
    /// are ignored.
    pub fn replace(&mut self, body: &[u8]) {
        self.rows.clear();
        let rows = body.chunks_exact(size_of::<ProgressRow>());
        self.rows
            .extend(rows.filter_map(|row| ProgressRow::read_from_bytes(row).ok()));
        self.rows.sort_unstable_by_key(|row| row.uid);
    }

    /// Adds a job that this node has just accepted, until the leader's next announcement.
    pub fn add(&mut self, uid: &str) {
        if let Some(row) = ProgressRow::new(uid, 0, 0)
            && let Err(position) = self.rows.binary_search_by_key(&row.uid, |known| known.uid)
        {
            self.rows.insert(position, row);
        }
    }

    /// How many tasks of a live job are done, and how many are placed; `None` if the job is not known.
    pub fn get(&self, uid: &str) -> Option<(u64, u64)> {
        let padded_uid = ProgressRow::new(uid, 0, 0)?.uid;
        let position = self
            .rows
            .binary_search_by_key(&padded_uid, |row| row.uid)
            .ok()?;
        let row = &self.rows[position];
        Some((row.done.get().into(), row.placed.get().into()))
    }
}
