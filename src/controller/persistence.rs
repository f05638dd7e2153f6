//! Saves what changed of jobs to the state service.
//!
//! Every save is one transaction guarded by the leader key and the revision of each job in it. Two
//! orders hold at this door: a start is sent to its machine only once its placement is stored, and
//! a worker may drop the record of a finished attempt only once the completion is stored. After a
//! save with an unknown outcome a job is read again before anything else is written of it.

use super::leader::LeaderState;
use super::state_replies::job_key;
use super::state_request::StateRequest;
use super::{Controller, LEADER_REQUEST_TIMEOUT};
use crate::clock::{MILLISECOND, Micros, Now, SECOND};
use crate::election::LEADER_KEY;
use crate::job_record::{
    FINISHED_PREFIX, FinalState, LIVE_PREFIX, final_status_body, finished_key, live_key,
};
use crate::jobs::Job;
use crate::schema::{Schema, StoredValues, chunk_key};
use crate::state_client::{Op, Reply, RequestPriority, Transaction, to_raw_json};
use crate::task_id::TaskId;
use crate::wire::Priority;
use crate::worker_ledger::WorkerLedger;
use rangemap::RangeSet;
use std::cmp::Reverse;
use std::ops::Range;
use std::sync::Arc;

/// A change that only says how far a job is may be saved after this, if budget is left over.
const LAZY_SAVE_DELAY: Micros = 1_500 * MILLISECOND;
/// Such a change waits at most this long for budget to be left over.
const LAZY_SAVE_DELAY_MAX: Micros = 20 * SECOND;
/// With this many writes of the leader queued, changes are collected instead.
const QUEUED_SAVES_MAX: usize = 2;
/// Size at which a transaction is full, in bytes.
const TRANSACTION_BYTES_MAX: usize = 56 * 1024;
/// The share of a second's changes that one transaction may have.
const CHANGE_RATE_SHARE: f64 = 0.25;
/// The fewest changes a transaction may have: what a final state takes.
const TRANSACTION_CHANGES_MIN: usize = 2;

/// What a save has written of one job.
#[derive(Clone, Debug)]
pub(super) struct PendingSave {
    /// The job, by its number in the table.
    number: u32,
    /// The job's final state is written.
    finished: bool,
    /// The tasks whose completion is written.
    done: RangeSet<u32>,
    /// The starts that are written, by machine, task and attempt; they may be sent once stored.
    starts: Vec<(Arc<str>, TaskId, u64)>,
    /// How many chunks belong to the header written.
    chunks: usize,
    /// The time of day that a final state written gives, in microseconds.
    finished_at: Micros,
}

/// A job to be saved; the greatest is saved first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct DueSave {
    /// It is over, and others wait for its end.
    frees_dependents: bool,
    /// It is over.
    finishes: bool,
    /// Starts or an end wait for the save.
    urgent: bool,
    priority: Priority,
    /// Since when it has changed.
    since: Reverse<Micros>,
    number: u32,
}

/// Limits of one round of saves.
struct SaveLimits {
    schema: Schema,
    /// The most changes that a transaction of this round may have.
    changes_per_txn: usize,
    /// Changes that are left over by everything more urgent.
    spare_changes: f64,
}

/// A transaction that is being filled.
struct SaveBatch {
    txn: Transaction,
    items: Vec<PendingSave>,
    bytes: usize,
}

impl SaveBatch {
    fn new(leader_key_revision: u64) -> Self {
        Self {
            txn: Transaction::default().require_revision(LEADER_KEY, leader_key_revision),
            items: Vec::new(),
            bytes: 0,
        }
    }
}

/// What is to be written of one job.
struct JobValues {
    over: bool,
    values: StoredValues,
    /// Chunks of an earlier, larger record that are deleted along.
    surplus: Range<usize>,
}

impl JobValues {
    /// Encodes the job; none if it can't be stored under the limits.
    fn encode(job: &Job, schema: &Schema, now: Now) -> Option<Self> {
        let record = job.record();
        let over = job.is_done();
        let values = if over {
            let end = record
                .to_final_state("done", now.wall)
                .truncate_to_fit(schema.usable_bytes());
            StoredValues::single(to_raw_json(&end))
        } else {
            schema.encode_job(&record)?
        };
        let chunks = values.chunks.len();
        // Surplus chunks beyond the limit are swept up later.
        let room = schema.txn_ops - if over { 2 } else { 1 + chunks };
        let surplus = chunks..job.chunks.min(chunks + room);
        Some(Self {
            over,
            values,
            surplus,
        })
    }

    /// How many changes of a transaction it takes.
    fn changes(&self) -> usize {
        let writes = if self.over {
            2
        } else {
            1 + self.values.chunks.len()
        };
        writes + self.surplus.len()
    }

    /// Adds the changes to a transaction, guarded by the job's revision.
    fn add_to(self, txn: Transaction, uid: &str, mod_revision: u64) -> Transaction {
        let mut txn = txn.require_revision(live_key(uid), mod_revision);
        txn = if self.over {
            txn.require_revision(finished_key(uid), 0)
                .delete(live_key(uid))
                .set_raw(finished_key(uid), self.values.header)
        } else {
            txn.set_raw(live_key(uid), self.values.header)
        };
        for (number, value) in self.values.chunks.into_iter().enumerate() {
            txn = txn.set_raw(chunk_key(uid, number), value);
        }
        for number in self.surplus {
            txn = txn.delete(chunk_key(uid, number));
        }
        txn
    }
}

impl Controller {
    /// Saves what changed of jobs: ends first, then starts that wait for it, in the order of
    /// priority, and what only says how far a job is when budget is left over.
    pub(super) fn save_jobs(&mut self) {
        let now = self.now;
        let spare_changes = self.state.available_changes();
        let schema = self.schema();
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        // While earlier writes wait, more comes together in each record.
        if self.state.queued(RequestPriority::Leader) >= QUEUED_SAVES_MAX {
            leader_state.schedule.request_save();
            return;
        }
        let changes = (self.state.write_rate() * CHANGE_RATE_SHARE) as usize;
        let changes_max = schema.txn_ops.max(TRANSACTION_CHANGES_MIN);
        let limits = SaveLimits {
            changes_per_txn: changes.clamp(TRANSACTION_CHANGES_MIN, changes_max),
            schema,
            spare_changes,
        };
        let term = leader_state.term;
        for batch in Self::build_saves(leader_state, &limits, now) {
            self.request_state(
                StateRequest::SaveJobs {
                    term,
                    items: batch.items,
                },
                Op::Transaction(batch.txn),
                LEADER_REQUEST_TIMEOUT,
            );
        }
        self.apply_ledger_events();
    }

    /// The jobs that are to be saved, the most pressing first.
    fn due_saves(leader_state: &LeaderState, limits: &SaveLimits, now: Micros) -> Vec<DueSave> {
        let mut due = Vec::new();
        for job in leader_state.jobs.by_number.values() {
            if job.save_in_flight || job.reread_pending || job.cancelled {
                continue;
            }
            let changed_for = |delay| job.dirty_since.is_some_and(|since| now >= since + delay);
            let lazy = changed_for(LAZY_SAVE_DELAY)
                && limits.spare_changes > limits.changes_per_txn as f64;
            if job.save_urgent || changed_for(LAZY_SAVE_DELAY_MAX) || lazy {
                let finishes = job.save_urgent && job.is_done();
                let uid = &job.spec.uid;
                due.push(DueSave {
                    frees_dependents: finishes && leader_state.pipelines.has_dependents(uid),
                    finishes,
                    urgent: job.save_urgent,
                    priority: job.priority(),
                    since: Reverse(job.dirty_since.unwrap_or(0)),
                    number: job.number,
                });
            }
        }
        due.sort_unstable_by(|a, b| b.cmp(a));
        due
    }

    /// Fills transactions with the jobs to be saved, as far as the budget goes.
    fn build_saves(
        leader_state: &mut LeaderState,
        limits: &SaveLimits,
        now: Now,
    ) -> Vec<SaveBatch> {
        let leader_key_revision = leader_state.leader_key_revision;
        let mut full = Vec::new();
        let mut batch: Option<SaveBatch> = None;
        let mut changes_left = limits.spare_changes.max(limits.changes_per_txn as f64);
        for DueSave { number, .. } in Self::due_saves(leader_state, limits, now.steady) {
            let Some(job) = leader_state.jobs.by_number.get_mut(&number) else {
                continue;
            };
            if changes_left <= 0.0 {
                leader_state.schedule.request_save();
                break;
            }
            let Some(values) = JobValues::encode(job, &limits.schema, now) else {
                if Self::withdraw_unsaved_starts(&mut leader_state.workers, job, now.steady) {
                    leader_state.schedule.request_save();
                }
                continue;
            };
            let bytes = values.values.request_bytes();
            let changes = values.changes();
            changes_left -= changes as f64;
            if let Some(last) = &batch
                && (last.txn.changes.len() + changes > limits.changes_per_txn
                    || last.bytes + bytes > TRANSACTION_BYTES_MAX)
            {
                full.extend(batch.take());
            }
            let mut filled = batch
                .take()
                .unwrap_or_else(|| SaveBatch::new(leader_key_revision));
            filled.items.push(PendingSave {
                number: job.number,
                finished: values.over,
                done: job.done.clone(),
                starts: std::mem::take(&mut job.unsaved_starts),
                chunks: values.values.chunks.len(),
                finished_at: now.wall,
            });
            filled.txn = values.add_to(filled.txn, &job.spec.uid, job.mod_revision);
            filled.bytes += bytes;
            batch = Some(filled);
            job.save_in_flight = true;
            job.save_urgent = false;
            job.dirty_since = None;
        }
        full.extend(batch);
        full
    }

    /// The limits have become lower than what the job takes: starts not stored yet are withdrawn,
    /// and the rest shrinks as its tasks end. Returns whether there were such starts.
    fn withdraw_unsaved_starts(workers: &mut WorkerLedger, job: &mut Job, now: Micros) -> bool {
        job.dirty_since = Some(now);
        job.save_urgent = false;
        for (machine, task, attempt) in std::mem::take(&mut job.unsaved_starts) {
            workers.withdraw(&machine, task, attempt);
            job.save_urgent = true;
        }
        job.save_urgent
    }

    /// Handles the reply to a save.
    pub(super) fn jobs_saved(&mut self, items: Vec<PendingSave>, reply: Reply) {
        match reply {
            Reply::Applied { revision } => self.save_applied(items, revision),
            Reply::Conflict { failed } => self.save_conflicted(items, &failed),
            Reply::Unavailable => self.save_not_sent(items),
            other => {
                if let Reply::Refused(reason) = &other {
                    log::error!("the state service refused a save reason={reason}");
                }
                self.save_outcome_unknown(items);
            }
        }
    }

    fn save_applied(&mut self, items: Vec<PendingSave>, revision: u64) {
        let now = self.now.steady;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        for item in items {
            let Some(job) = leader_state.jobs.by_number.get_mut(&item.number) else {
                continue;
            };
            job.save_in_flight = false;
            job.mod_revision = revision;
            job.chunks = item.chunks;
            job.stored_done = item.done;
            for (machine, task, attempt) in item.starts {
                // Checked once more where starts are released: nothing runs before everything
                // that its job depends on is done.
                if !job.waits_for_dependencies() {
                    leader_state.workers.confirm_stored(&machine, task, attempt);
                }
            }
            Self::acknowledge_stored_ends(&mut leader_state.workers, job);
            if item.finished {
                let uid = job.spec.uid.clone();
                let end = job.record().to_final_state("done", item.finished_at);
                log::info!("job done job={uid}");
                self.client_requests
                    .cache_final_state(&uid, final_status_body(&uid, &end));
                if let Some(job) = leader_state.jobs.remove(&uid) {
                    Self::stop_all_tasks(&mut leader_state.workers, &job);
                    Self::acknowledge_all_ends(&mut leader_state.workers, &job);
                }
                Self::dependency_finished(leader_state, now, &uid, &end);
            }
        }
    }

    /// A precondition failed: nothing was written. Jobs whose own keys have changed are read again.
    fn save_conflicted(&mut self, items: Vec<PendingSave>, failed: &[String]) {
        let now = self.now.steady;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let mut reread = Vec::new();
        for item in items {
            let Some(job) = leader_state.jobs.by_number.get_mut(&item.number) else {
                continue;
            };
            job.save_in_flight = false;
            job.mark_dirty(now);
            job.save_urgent = true;
            job.unsaved_starts.extend(item.starts);
            let uid = job.spec.uid.clone();
            let is_own_key = |path: &String| {
                path.strip_prefix(LIVE_PREFIX) == Some(&*uid)
                    || path.strip_prefix(FINISHED_PREFIX) == Some(&*uid)
            };
            if failed.iter().any(is_own_key) {
                reread.push(uid);
            }
        }
        if failed.iter().any(|path| path == LEADER_KEY) {
            // The watch of the leader key says the same; until then nothing is stored.
            log::info!("a save found another leader key");
        }
        for uid in reread {
            self.reread_job(uid, false);
        }
    }

    fn save_not_sent(&mut self, items: Vec<PendingSave>) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        for item in items {
            if let Some(job) = leader_state.jobs.by_number.get_mut(&item.number) {
                job.save_in_flight = false;
                job.save_urgent = true;
                job.unsaved_starts.extend(item.starts);
            }
        }
    }

    /// The save may have been applied, or be applied later: the jobs' revisions will show it.
    fn save_outcome_unknown(&mut self, items: Vec<PendingSave>) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let mut reread = Vec::new();
        for item in items {
            if let Some(job) = leader_state.jobs.by_number.get_mut(&item.number) {
                job.save_in_flight = false;
                // As many as may be stored now: the next save removes those in excess.
                job.chunks = job.chunks.max(item.chunks);
                job.unsaved_starts.extend(item.starts);
                reread.push(job.spec.uid.clone());
            }
        }
        for uid in reread {
            self.reread_job(uid, false);
        }
    }

    /// Reads what is stored of a job; nothing is saved of it until that is known.
    pub(super) fn reread_job(&mut self, uid: Arc<str>, over: bool) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let term = leader_state.term;
        if let Some(job) = leader_state.jobs.get_mut(&uid) {
            job.reread_pending = true;
        }
        let op = Op::Get(job_key(&uid, over));
        let request = StateRequest::RereadJob { term, uid, over };
        self.request_state(request, op, LEADER_REQUEST_TIMEOUT);
    }

    /// Handles what is stored of a job whose save had an unknown outcome.
    pub(super) fn job_reread(&mut self, uid: &Arc<str>, over: bool, reply: Reply) {
        let now = self.now.steady;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        match reply {
            Reply::KeyValue(item) if !over => {
                if let Some(job) = leader_state.jobs.get_mut(uid) {
                    job.reread_pending = false;
                    job.mod_revision = item.mod_revision;
                    job.save_urgent = true;
                    job.mark_dirty(now);
                }
            }
            Reply::KeyValue(item) => {
                let end = match serde_json::from_str::<FinalState>(item.value.get()) {
                    Ok(end) => end,
                    Err(error) => {
                        // It proves nothing; reading it again is all that can be done.
                        log::error!(
                            "stored final state unreadable key={} error={error}",
                            item.key
                        );
                        return self.reread_job(uid.clone(), false);
                    }
                };
                Self::stored_end_found(leader_state, now, uid, &end);
            }
            Reply::NotFound if !over => self.reread_job(uid.clone(), true),
            // Neither live nor over can't be; it is read again.
            _ => self.reread_job(uid.clone(), false),
        }
        self.apply_ledger_events();
    }

    /// A job that the leader holds as live turns out to be over.
    fn stored_end_found(
        leader_state: &mut LeaderState,
        now: Micros,
        uid: &Arc<str>,
        end: &FinalState,
    ) {
        Self::dependency_finished(leader_state, now, uid, end);
        if end.is_done() {
            if let Some(job) = leader_state.jobs.remove(uid) {
                Self::stop_all_tasks(&mut leader_state.workers, &job);
                Self::acknowledge_all_ends(&mut leader_state.workers, &job);
            }
        } else {
            if let Some(job) = leader_state.jobs.get_mut(uid) {
                job.reread_pending = false;
            }
            Self::mark_cancelled(leader_state, uid);
        }
    }

    /// Lets workers drop the records of attempts whose completion is stored.
    pub(super) fn acknowledge_stored_ends(workers: &mut WorkerLedger, job: &mut Job) {
        let (number, stored) = (job.number, &job.stored_done);
        job.unacknowledged.retain(|(machine, index, attempt)| {
            let waits = !stored.contains(index);
            if !waits {
                let task = TaskId {
                    job: number,
                    index: *index,
                };
                workers.allow_acknowledge(machine, task, *attempt);
            }
            waits
        });
    }

    /// Lets workers drop the records of all attempts of a job that is over: nothing depends on
    /// them any more.
    pub(super) fn acknowledge_all_ends(workers: &mut WorkerLedger, job: &Job) {
        for (machine, index, attempt) in &job.unacknowledged {
            let task = TaskId {
                job: job.number,
                index: *index,
            };
            workers.allow_acknowledge(machine, task, *attempt);
        }
    }
}
