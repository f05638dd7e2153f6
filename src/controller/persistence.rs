//! Saves changed jobs to the state service.
//!
//! Every save is one transaction whose preconditions are the revisions of the leader key and of each
//! job in it. Two rules hold: a start command is sent to its machine only after the placement is
//! stored, and a worker may drop the record of a finished attempt only after the completion is
//! stored. After a save with an unknown outcome, the job is read again before its next save.

use super::leader::LeaderState;
use super::state_replies::job_key;
use super::state_request::StateRequest;
use super::{Controller, LEADER_REQUEST_TIMEOUT};
use crate::clock::{MILLISECOND, Micros, Now, SECOND};
use crate::election::LEADER_KEY;
use crate::job_record::{
    FINISHED_PREFIX, FinalState, LIVE_PREFIX, final_body, finished_key, live_key,
};
use crate::jobs::Job;
use crate::schema::{Schema, StoredValues, chunk_key};
use crate::state_client::{Op, Reply, RequestPriority, Transaction, raw};
use crate::task_id::TaskId;
use crate::wire::Priority;
use crate::worker_ledger::WorkerLedger;
use rangemap::RangeSet;
use std::cmp::Reverse;
use std::ops::Range;
use std::sync::Arc;

/// A change that only concerns a job's progress is saved after this time if request budget is left.
const PROGRESS_SAVE_DELAY: Micros = 1_500 * MILLISECOND;
/// Such a change is saved after this time at the latest.
const PROGRESS_SAVE_DELAY_MAX: Micros = 20 * SECOND;
/// No save is sent while this many of the leader's requests are queued.
const QUEUED_SAVES_MAX: usize = 2;
/// Size at which a transaction is full, in bytes.
const TRANSACTION_BYTES_MAX: usize = 56 * 1024;
/// The largest share of the changes allowed per second that one transaction may have.
const CHANGE_RATE_SHARE: f64 = 0.25;
/// Lower bound of that limit, in changes: storing a final state takes two.
const TRANSACTION_CHANGES_MIN: usize = 2;

/// The part of a save in flight that concerns one job.
#[derive(Clone, Debug)]
pub(super) struct PendingSave {
    /// The job, by its number in the table.
    number: u32,
    /// Whether the job's final state is written.
    finished: bool,
    /// The tasks whose completion is written.
    done: RangeSet<u32>,
    /// The starts whose placements are written: machine, task and attempt. They may be sent once the
    /// save is applied.
    starts: Vec<(Arc<str>, TaskId, u64)>,
    /// Number of chunks that belong to the written header.
    chunks: usize,
    /// The time of day that the written final state gives as the job's end, in microseconds.
    finished_at: Micros,
}

/// A job to be saved. The order of the fields is the order of precedence; the greatest is saved
/// first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct DueSave {
    /// Whether the job has finished and other jobs wait for its end.
    releases_dependents: bool,
    /// Whether the job has finished.
    finishes: bool,
    /// Whether starts, or the end of the job, wait for the save.
    urgent: bool,
    priority: Priority,
    /// Since when the job differs from its stored record.
    since: Reverse<Micros>,
    number: u32,
}

/// Limits of one round of saves.
struct SaveLimits {
    schema: Schema,
    /// The most changes that a transaction of this round may have.
    changes_per_txn: usize,
    /// The changes that the request budget allows beyond more urgent requests.
    spare_changes: f64,
}

/// A transaction that is being filled.
struct SaveBatch {
    txn: Transaction,
    saves: Vec<PendingSave>,
    bytes: usize,
}

impl SaveBatch {
    fn new(leader_key_revision: u64) -> Self {
        Self {
            txn: Transaction::default().require_revision(LEADER_KEY, leader_key_revision),
            saves: Vec::new(),
            bytes: 0,
        }
    }
}

/// The values to be written for one job.
struct JobValues {
    /// Whether the job has finished: its final state is written and its live record deleted.
    finished: bool,
    stored_values: StoredValues,
    /// Numbers of the chunks of an earlier, larger record that are deleted in the same transaction.
    surplus_chunks: Range<usize>,
}

impl JobValues {
    /// Encodes the job; `None` if its record does not fit the limits.
    fn encode(job: &Job, schema: &Schema, now: Now) -> Option<Self> {
        let record = job.record();
        let finished = job.is_done();
        let stored_values = if finished {
            let end = record.finish("done", now.wall).fit(schema.usable_bytes());
            StoredValues::single(raw(&end))
        } else {
            schema.encode_job(&record)?
        };
        let chunks = stored_values.chunks.len();
        // Surplus chunks beyond the transaction's limit are deleted later as orphaned chunks.
        let room = schema.txn_ops - if finished { 2 } else { 1 + chunks };
        let surplus_chunks = chunks..job.chunks.min(chunks + room);
        Some(Self {
            finished,
            stored_values,
            surplus_chunks,
        })
    }

    /// Number of changes that this adds to a transaction.
    fn changes(&self) -> usize {
        let writes = if self.finished {
            2
        } else {
            1 + self.stored_values.chunks.len()
        };
        writes + self.surplus_chunks.len()
    }

    /// Adds the changes to a transaction, with the job's revision as a precondition.
    fn add_to(self, txn: Transaction, uid: &str, mod_revision: u64) -> Transaction {
        let mut txn = txn.require_revision(live_key(uid), mod_revision);
        txn = if self.finished {
            txn.require_revision(finished_key(uid), 0)
                .delete(live_key(uid))
                .set_raw(finished_key(uid), self.stored_values.header)
        } else {
            txn.set_raw(live_key(uid), self.stored_values.header)
        };
        for (number, value) in self.stored_values.chunks.into_iter().enumerate() {
            txn = txn.set_raw(chunk_key(uid, number), value);
        }
        for number in self.surplus_chunks {
            txn = txn.delete(chunk_key(uid, number));
        }
        txn
    }
}

impl Controller {
    /// Saves changed jobs: finished jobs first, then jobs whose starts wait for the save, in the order
    /// of priority. Changes that only concern progress are saved when request budget is left.
    pub(super) fn save_jobs(&mut self) {
        let now = self.now;
        let spare_changes = self.state.spare_changes();
        let schema = self.schema();
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        // While earlier requests are queued, further changes are collected for the next save.
        if self.state.queued(RequestPriority::Leader) >= QUEUED_SAVES_MAX {
            leader_state.schedule.request_save();
            return;
        }
        let changes = (self.state.change_rate() * CHANGE_RATE_SHARE) as usize;
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
                    saves: batch.saves,
                },
                Op::Transaction(batch.txn),
                LEADER_REQUEST_TIMEOUT,
            );
        }
        self.apply_ledger_events();
    }

    /// The jobs that are due to be saved, the most urgent first.
    fn due_saves(leader_state: &LeaderState, limits: &SaveLimits, now: Micros) -> Vec<DueSave> {
        let mut due = Vec::new();
        for job in leader_state.jobs.by_number.values() {
            if job.save_in_flight || job.reread_pending || job.cancelled {
                continue;
            }
            let changed_for = |delay| job.dirty_since.is_some_and(|since| now >= since + delay);
            let lazy = changed_for(PROGRESS_SAVE_DELAY)
                && limits.spare_changes > limits.changes_per_txn as f64;
            if job.save_urgent || changed_for(PROGRESS_SAVE_DELAY_MAX) || lazy {
                let finishes = job.save_urgent && job.is_done();
                let uid = &job.spec.uid;
                due.push(DueSave {
                    releases_dependents: finishes
                        && leader_state.dependency_graph.has_dependents(uid),
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

    /// Builds the transactions that save the due jobs, within the request budget.
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
            let Some(job_values) = JobValues::encode(job, &limits.schema, now) else {
                if Self::withdraw_unsaved_starts(&mut leader_state.workers, job, now.steady) {
                    leader_state.schedule.request_save();
                }
                continue;
            };
            let bytes = job_values.stored_values.request_bytes();
            let changes = job_values.changes();
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
            filled.saves.push(PendingSave {
                number: job.number,
                finished: job_values.finished,
                done: job.done.clone(),
                starts: std::mem::take(&mut job.unsaved_starts),
                chunks: job_values.stored_values.chunks.len(),
                finished_at: now.wall,
            });
            filled.txn = job_values.add_to(filled.txn, &job.spec.uid, job.mod_revision);
            filled.bytes += bytes;
            batch = Some(filled);
            job.save_in_flight = true;
            job.save_urgent = false;
            job.dirty_since = None;
        }
        full.extend(batch);
        full
    }

    /// Withdraws the starts of a job that are not stored yet, since its record exceeds the limits of
    /// the state service, which have become lower. The record shrinks as tasks of the job end.
    /// Returns whether any start was withdrawn.
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
    pub(super) fn jobs_saved(&mut self, saves: Vec<PendingSave>, reply: Reply) {
        match reply {
            Reply::Applied { revision } => self.save_applied(saves, revision),
            Reply::Conflict { failed } => self.save_conflicted(saves, &failed),
            Reply::Unavailable => self.save_not_sent(saves),
            other => {
                if let Reply::Refused(reason) = &other {
                    log::error!("the state service refused a save reason={reason}");
                }
                self.save_outcome_unknown(saves);
            }
        }
    }

    fn save_applied(&mut self, saves: Vec<PendingSave>, revision: u64) {
        let now = self.now.steady;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        for item in saves {
            let Some(job) = leader_state.jobs.by_number.get_mut(&item.number) else {
                continue;
            };
            job.save_in_flight = false;
            job.mod_revision = revision;
            job.chunks = item.chunks;
            job.stored_done = item.done;
            for (machine, task, attempt) in item.starts {
                // A second check of the rule that no task starts before all dependencies of its job
                // are done.
                if !job.waits_for_dependencies() {
                    leader_state.workers.confirm_stored(&machine, task, attempt);
                }
            }
            Self::acknowledge_stored_completions(&mut leader_state.workers, job);
            if item.finished {
                let uid = job.spec.uid.clone();
                let end = job.record().finish("done", item.finished_at);
                log::info!("job done job={uid}");
                self.client_requests
                    .cache_final_state(&uid, final_body(&uid, &end));
                if let Some(job) = leader_state.jobs.remove(&uid) {
                    Self::stop_all_tasks(&mut leader_state.workers, &job);
                    Self::acknowledge_all_attempts(&mut leader_state.workers, &job);
                }
                Self::dependency_finished(leader_state, now, &uid, &end);
            }
        }
    }

    /// Handles a save of which a precondition failed, so that nothing was written. Jobs whose own keys
    /// have changed are read again.
    fn save_conflicted(&mut self, saves: Vec<PendingSave>, failed: &[String]) {
        let now = self.now.steady;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let mut reread = Vec::new();
        for item in saves {
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
            // The watch of the leader key reports the change as well; until then every save fails.
            log::info!("save not applied: the leader key has changed");
        }
        for uid in reread {
            self.reread_job(uid, false);
        }
    }

    /// Makes the jobs of a save that was not sent due again.
    fn save_not_sent(&mut self, saves: Vec<PendingSave>) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        for item in saves {
            if let Some(job) = leader_state.jobs.by_number.get_mut(&item.number) {
                job.save_in_flight = false;
                job.save_urgent = true;
                job.unsaved_starts.extend(item.starts);
            }
        }
    }

    /// Handles a save whose outcome is unknown: it may have been applied, or may be applied later. The
    /// jobs are read again, since their revisions show whether it was.
    fn save_outcome_unknown(&mut self, saves: Vec<PendingSave>) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let mut reread = Vec::new();
        for item in saves {
            if let Some(job) = leader_state.jobs.by_number.get_mut(&item.number) {
                job.save_in_flight = false;
                // The largest number of chunks that may be stored; the next save deletes the surplus.
                job.chunks = job.chunks.max(item.chunks);
                job.unsaved_starts.extend(item.starts);
                reread.push(job.spec.uid.clone());
            }
        }
        for uid in reread {
            self.reread_job(uid, false);
        }
    }

    /// Reads the stored record of a job again; the job is not saved before the reply arrives. If
    /// `finished` is set, reads its final state instead of its live record.
    pub(super) fn reread_job(&mut self, uid: Arc<str>, finished: bool) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let term = leader_state.term;
        if let Some(job) = leader_state.jobs.get_mut(&uid) {
            job.reread_pending = true;
        }
        let op = Op::Get(job_key(&uid, finished));
        let request = StateRequest::RereadJob {
            term,
            uid,
            finished,
        };
        self.request_state(request, op, LEADER_REQUEST_TIMEOUT);
    }

    /// Handles the reply to the read of a job after a save that failed or had an unknown outcome.
    pub(super) fn job_reread(&mut self, uid: &Arc<str>, finished: bool, reply: Reply) {
        let now = self.now.steady;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        match reply {
            Reply::Item(item) if !finished => {
                if let Some(job) = leader_state.jobs.get_mut(uid) {
                    job.reread_pending = false;
                    job.mod_revision = item.mod_revision;
                    job.save_urgent = true;
                    job.mark_dirty(now);
                }
            }
            Reply::Item(item) => {
                let end = match serde_json::from_str::<FinalState>(item.value.get()) {
                    Ok(end) => end,
                    Err(error) => {
                        // An unreadable final state does not show how the job ended; it is read again.
                        log::error!(
                            "stored final state unreadable key={} error={error}",
                            item.path
                        );
                        return self.reread_job(uid.clone(), false);
                    }
                };
                Self::stored_final_state_found(leader_state, now, uid, &end);
            }
            Reply::Absent if !finished => self.reread_job(uid.clone(), true),
            // The read failed, or found neither the live record nor the final state, although every
            // job has one of the two. The job is read again.
            _ => self.reread_job(uid.clone(), false),
        }
        self.apply_ledger_events();
    }

    /// Handles the stored final state of a job that the leader holds as live.
    fn stored_final_state_found(
        leader_state: &mut LeaderState,
        now: Micros,
        uid: &Arc<str>,
        end: &FinalState,
    ) {
        Self::dependency_finished(leader_state, now, uid, end);
        if end.is_done() {
            if let Some(job) = leader_state.jobs.remove(uid) {
                Self::stop_all_tasks(&mut leader_state.workers, &job);
                Self::acknowledge_all_attempts(&mut leader_state.workers, &job);
            }
        } else {
            if let Some(job) = leader_state.jobs.get_mut(uid) {
                job.reread_pending = false;
            }
            Self::mark_cancelled(leader_state, uid);
        }
    }

    /// Allows the acknowledgement of attempts whose completion is stored, so that workers drop their
    /// records of them.
    pub(super) fn acknowledge_stored_completions(workers: &mut WorkerLedger, job: &mut Job) {
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

    /// Allows the acknowledgement of all attempts of a finished job, so that workers drop their
    /// records of them.
    pub(super) fn acknowledge_all_attempts(workers: &mut WorkerLedger, job: &Job) {
        for (machine, index, attempt) in &job.unacknowledged {
            let task = TaskId {
                job: job.number,
                index: *index,
            };
            workers.allow_acknowledge(machine, task, *attempt);
        }
    }
}
