//! Jobs: their stored records, the leader's table of live ones, and how they end.

use crate::clock::Micros;
use crate::job_record::{JobRecord, TaskEnding};
use crate::schema::Schema;
use crate::seeded_hash::HashMap;
use crate::state_client::raw;
use crate::task_id::{JobDirectory, TaskId};
use crate::wire::{JobKind, JobSpec, Priority, ProgressRow};
use rangemap::RangeSet;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use zerocopy::FromBytes;

const ENDINGS_MAX: usize = 12;
/// A worker's own word for why a task ended is kept up to this length.
const CAUSE_CHARS_MAX: usize = 80;

/// Names of machines are alike; a long one is taken for all.
const TYPICAL_MACHINE_NAME_BYTES: usize = 12;

pub fn ranges(set: &RangeSet<u32>) -> Vec<(u32, u32)> {
    set.iter().map(|r| (r.start, r.end)).collect()
}

fn count(set: &RangeSet<u32>) -> u64 {
    set.iter().map(|r| u64::from(r.end - r.start)).sum()
}

/// A live job in the leader's hands.
pub struct Job {
    pub number: u32,
    pub spec: Arc<JobSpec>,
    spec_bytes: usize,
    pub accepted_at: Micros,
    pub accepted_by: String,
    pub mod_revision: u64,
    /// Time of day from which its waits count; None while it waits for other jobs.
    pub ready_at: Option<Micros>,
    /// The highest priority of the jobs that need it, directly or through others.
    pub inherited_priority: Priority,
    /// Time of day by which it must be done for the deadlines of the jobs that need it.
    pub due_at: Option<Micros>,
    /// How many pieces belong to its stored head.
    pub chunks: usize,
    pub done: RangeSet<u32>,
    /// What of `done` the state service holds.
    pub stored_done: RangeSet<u32>,
    pub pending: RangeSet<u32>,
    pub pending_count: u64,
    /// Where each task may be: machine and attempt.
    pub placements: BTreeMap<u32, Vec<(Arc<str>, u64)>>,
    /// Planned starts that no save under way has stored.
    pub unsaved_starts: Vec<(Arc<str>, TaskId, u64)>,
    /// Attempts that ended well and that workers still report, until the ending is stored.
    pub unacknowledged: Vec<(Arc<str>, u32, u64)>,
    pub endings: VecDeque<TaskEnding>,
    pub cancelled: bool,
    pub save_in_flight: bool,
    pub reread_pending: bool,
    pub dirty_since: Option<Micros>,
    /// Save at once: a start or the job's end waits for it.
    pub save_urgent: bool,
    pub errors: BTreeMap<Arc<str>, u32>,
    pub not_before: Micros,
    /// The longest that a task of it ran before it failed.
    pub failed_after: Micros,
    /// How often tries of a suspect job have failed, each followed by a longer wait.
    pub failed_trials: u32,
    /// How many tasks of a suspect job may be started now, to see whether they fail again.
    pub trial_tasks: Option<u64>,
    /// Logarithms of the run times of its tasks that ran in one piece: sum and count.
    pub run_time_logs: (f64, f64),
    /// Tasks that saved on the way: their last run is not their whole run.
    pub checkpointed_tasks: BTreeSet<u32>,
}

impl Job {
    pub fn from_record(number: u32, record: &JobRecord, mod_revision: u64) -> Self {
        let tasks = record.spec.tasks as u32;
        let mut done = RangeSet::new();
        for (a, b) in &record.done {
            if a < b && *b <= tasks {
                done.insert(*a..*b);
            }
        }
        let mut pending = RangeSet::new();
        pending.insert(0..tasks);
        for r in done.iter() {
            pending.remove(r.clone());
        }
        let pending_count = count(&pending);
        // What has started was found ready by the leader that started it.
        let started = !record.placed.is_empty() || !record.done.is_empty();
        let free = record.spec.waits_on.is_empty() || started;
        Self {
            number,
            spec: record.spec.clone(),
            spec_bytes: raw(&record.spec).get().len(),
            accepted_at: record.accepted_at,
            accepted_by: record.accepted_by.clone(),
            mod_revision,
            ready_at: record.ready_at.or(free.then_some(record.accepted_at)),
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

    pub fn record(&self) -> JobRecord {
        let mut placed: BTreeMap<Arc<str>, RangeSet<u32>> = BTreeMap::new();
        for (part, at) in &self.placements {
            for (machine, _) in at {
                placed
                    .entry(machine.clone())
                    .or_default()
                    .insert(*part..*part + 1);
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
                .map(|(m, set)| (m, ranges(&set)))
                .collect(),
            endings: self.endings.clone(),
        }
    }

    /// Bytes left for placements in the stored values of the job, on the safe side.
    pub fn placement_bytes_left(&self, layout: &Schema) -> usize {
        let machines = self.placements.values().flatten();
        let placed: usize = machines.map(|(m, _)| layout.placement_bytes(m.len())).sum();
        let done = self.done.iter().count() * layout.range_bytes();
        layout
            .job_capacity_bytes(self.spec_bytes)
            .saturating_sub(done + placed)
    }

    /// Whether it waits for other jobs to be done: nothing of it may start or be charged.
    pub fn waits_for_dependencies(&self) -> bool {
        self.ready_at.is_none()
    }

    /// Time of day from which its waits count.
    pub fn waiting_since(&self) -> Micros {
        self.ready_at.unwrap_or(self.accepted_at)
    }

    /// Its own priority or that of a job that needs it.
    pub fn priority(&self) -> Priority {
        self.inherited_priority.max(self.spec.priority)
    }

    /// Whether it fails wherever it goes.
    pub fn is_suspect(&self) -> bool {
        self.errors.len() >= 3 && self.done.is_empty()
    }

    /// How many waiting tasks may be started before the record outgrows its values.
    pub fn startable_tasks(&self, layout: &Schema) -> u64 {
        if self.waits_for_dependencies() {
            return 0;
        }
        let left = self.placement_bytes_left(layout);
        self.pending_count
            .min(self.trial_tasks.unwrap_or(u64::MAX))
            .min((left / layout.placement_bytes(TYPICAL_MACHINE_NAME_BYTES)) as u64)
    }

    pub fn is_done(&self) -> bool {
        self.spec.kind != JobKind::Service && count(&self.done) == self.spec.tasks
    }

    pub fn remaining_tasks(&self) -> u64 {
        self.spec.tasks - count(&self.done)
    }

    pub fn next_pending(&self) -> Option<u32> {
        self.pending.iter().next().map(|r| r.start)
    }

    pub fn add_placement(&mut self, part: u32, machine: &Arc<str>, attempt: u64) {
        if self.pending.contains(&part) {
            self.pending.remove(part..part + 1);
            self.pending_count -= 1;
        }
        let at = self.placements.entry(part).or_default();
        at.retain(|(m, a)| !(m == machine && *a == attempt));
        at.push((machine.clone(), attempt));
    }

    /// One attempt is surely over; the task is free once no other may be anywhere.
    pub fn remove_placement(&mut self, part: u32, machine: &Arc<str>, attempt: u64) {
        if let Some(at) = self.placements.get_mut(&part) {
            at.retain(|(m, a)| !(m == machine && *a == attempt));
            if at.is_empty() {
                self.placements.remove(&part);
            }
        }
        if !self.placements.contains_key(&part)
            && !self.done.contains(&part)
            && u64::from(part) < self.spec.tasks
            && !self.pending.contains(&part)
        {
            self.pending.insert(part..part + 1);
            self.pending_count += 1;
        }
    }

    pub fn finish_task(&mut self, part: u32) {
        if u64::from(part) < self.spec.tasks {
            self.done.insert(part..part + 1);
            if self.pending.contains(&part) {
                self.pending.remove(part..part + 1);
                self.pending_count -= 1;
            }
        }
    }

    pub fn note_ending(&mut self, mut ending: TaskEnding) {
        if let Some((cut, _)) = ending.cause.char_indices().nth(CAUSE_CHARS_MAX) {
            ending.cause.truncate(cut);
        }
        self.endings.push_back(ending);
        while self.endings.len() > ENDINGS_MAX {
            self.endings.pop_front();
        }
    }

    pub fn mark_dirty(&mut self, now: Micros) {
        self.dirty_since = self.dirty_since.or(Some(now));
    }
}

/// The leader's live jobs.
#[derive(Default)]
pub struct JobTable {
    pub by_number: BTreeMap<u32, Job>,
    numbers: HashMap<Arc<str>, u32>,
    unknown_numbers: HashMap<Arc<str>, u32>,
    next: u32,
}

impl JobTable {
    pub fn get(&self, uid: &str) -> Option<&Job> {
        self.by_number.get(self.numbers.get(uid)?)
    }

    pub fn get_mut(&mut self, uid: &str) -> Option<&mut Job> {
        self.by_number.get_mut(self.numbers.get(uid)?)
    }

    pub fn add(&mut self, record: &JobRecord, mod_revision: u64) -> u32 {
        self.next += 1;
        // A task seen before its job was: the same number, so that the ledger fits.
        let number = self
            .unknown_numbers
            .remove(&record.spec.uid)
            .unwrap_or(self.next);
        self.numbers.insert(record.spec.uid.clone(), number);
        self.by_number
            .insert(number, Job::from_record(number, record, mod_revision));
        number
    }

    pub fn remove(&mut self, uid: &str) -> Option<Job> {
        let number = self.numbers.remove(uid)?;
        // What is still reported of it keeps its number until the worker has dropped it.
        self.unknown_numbers.insert(uid.into(), number);
        self.by_number.remove(&number)
    }

    /// Forgets numbers of jobs that are over and of which nothing is reported any more.
    pub fn prune(&mut self, used: impl Fn(u32) -> bool) {
        self.unknown_numbers.retain(|_, n| used(*n));
    }
}

impl JobDirectory for JobTable {
    fn find(&self, uid: &str) -> Option<(u32, Arc<JobSpec>)> {
        self.get(uid).map(|j| (j.number, j.spec.clone()))
    }

    fn is_cancelled(&self, job: u32) -> bool {
        self.by_number.get(&job).is_some_and(|j| j.cancelled)
    }

    fn number_unknown_job(&mut self, uid: &str) -> u32 {
        if let Some(n) = self.unknown_numbers.get(uid) {
            return *n;
        }
        self.next += 1;
        self.unknown_numbers.insert(uid.into(), self.next);
        self.next
    }
}

/// Final states that this node has read; they never change, so they can be kept.
pub struct FinalCache {
    known: HashMap<String, Value>,
    order: VecDeque<String>,
    cap: usize,
}

impl FinalCache {
    pub fn new(cap: usize) -> Self {
        Self {
            known: HashMap::default(),
            order: VecDeque::new(),
            cap,
        }
    }

    pub fn get(&self, uid: &str) -> Option<&Value> {
        self.known.get(uid)
    }

    pub fn put(&mut self, uid: &str, body: Value) {
        if self.known.insert(uid.to_owned(), body).is_none() {
            self.order.push_back(uid.to_owned());
            if self.order.len() > self.cap
                && let Some(old) = self.order.pop_front()
            {
                self.known.remove(&old);
            }
        }
    }
}

/// How far the live jobs are, as the leader last told.
#[derive(Default)]
pub struct Progress {
    /// In the order of their ids.
    rows: Vec<ProgressRow>,
}

impl Progress {
    /// Takes the leader's word; what does not fit the layout says nothing.
    pub fn replace(&mut self, body: &[u8]) {
        self.rows.clear();
        let rows = body.chunks_exact(size_of::<ProgressRow>());
        self.rows
            .extend(rows.filter_map(|r| ProgressRow::read_from_bytes(r).ok()));
        self.rows.sort_unstable_by_key(|r| r.uid);
    }

    /// A job that this node has just accepted, until the leader's next word.
    pub fn add(&mut self, uid: &str) {
        if let Some(row) = ProgressRow::new(uid, 0, 0)
            && let Err(at) = self.rows.binary_search_by_key(&row.uid, |r| r.uid)
        {
            self.rows.insert(at, row);
        }
    }

    /// Tasks done and tasks placed.
    pub fn get(&self, uid: &str) -> Option<(u64, u64)> {
        let wanted = ProgressRow::new(uid, 0, 0)?.uid;
        let at = self.rows.binary_search_by_key(&wanted, |r| r.uid).ok()?;
        let row = &self.rows[at];
        Some((row.done.get().into(), row.placed.get().into()))
    }
}
