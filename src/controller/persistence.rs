//! What changed of jobs, into the state service; endings are dropped only once stored.

use super::state_replies::job_key;
use super::state_request::StateRequest;
use super::{Controller, LEADER_REQUEST_TIMEOUT};
use crate::clock::{MILLISECOND, Micros, SECOND};
use crate::election::LEADER_KEY;
use crate::job_record::{
    FINISHED_PREFIX, FinalState, LIVE_PREFIX, final_body, finished_key, live_key,
};
use crate::jobs::Job;
use crate::schema::{StoredValues, chunk_key};
use crate::state_client::{Op, Reply, RequestPriority, Transaction, raw};
use crate::task_id::TaskId;
use crate::wire::Priority;
use crate::worker_ledger::WorkerLedger;
use rangemap::RangeSet;
use std::cmp::Reverse;
use std::sync::Arc;

const LAZY_SAVE_DELAY: Micros = 1_500 * MILLISECOND;

/// What only says how far a job is waits this long at most for changes to be left over.
const LAZY_SAVE_DELAY_MAX: Micros = 20 * SECOND;

const QUEUED_SAVES_MAX: usize = 2;

const TRANSACTION_BYTES_MAX: usize = 56 * 1024;

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

impl Controller {
    /// Stores what changed of jobs: ends first, then starts that wait for it, in the order of
    /// priority, and what only says how far a job is when changes are left over.
    pub(super) fn save_jobs(&mut self) {
        let now = self.now;
        let t = now.steady;
        let spare = self.state.spare_changes();
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        // While earlier writes wait, more comes together in each record.
        if self.state.queued(RequestPriority::Leader) >= QUEUED_SAVES_MAX {
            leader_state.schedule.request_save();
            return;
        }
        let (term, mod_revision) = (leader_state.term, leader_state.leader_key_revision);
        let layout = self.schema();
        let most = ((self.state.change_rate() / 4.0) as usize).clamp(2, layout.txn_ops.max(2));
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let mut due: Vec<(bool, bool, bool, Priority, Reverse<Micros>, u32)> = Vec::new();
        for job in leader_state.jobs.by_number.values() {
            if job.save_in_flight || job.reread_pending || job.cancelled {
                continue;
            }
            let late = job
                .dirty_since
                .is_some_and(|d| t >= d + LAZY_SAVE_DELAY_MAX);
            let lazy =
                job.dirty_since.is_some_and(|d| t >= d + LAZY_SAVE_DELAY) && spare > most as f64;
            if job.save_urgent || late || lazy {
                let since = Reverse(job.dirty_since.unwrap_or(0));
                let ends = job.save_urgent && job.is_done();
                due.push((
                    // An end that others wait for goes before all.
                    ends && leader_state.pipelines.has_dependents(&job.spec.uid),
                    ends,
                    job.save_urgent,
                    job.priority(),
                    since,
                    job.number,
                ));
            }
        }
        due.sort_unstable_by(|a, b| b.cmp(a));
        let mut batch: Option<(Transaction, Vec<PendingSave>, usize)> = None;
        let mut asks = Vec::new();
        let mut left = spare.max(most as f64);
        for (.., number) in due {
            let Some(job) = leader_state.jobs.by_number.get_mut(&number) else {
                continue;
            };
            if left <= 0.0 {
                leader_state.schedule.request_save();
                break;
            }
            let uid = job.spec.uid.clone();
            let record = job.record();
            let over = job.is_done();
            let values = if over {
                let end = record.finish("done", now.wall).fit(layout.usable_bytes());
                Some(StoredValues::single(raw(&end)))
            } else {
                layout.encode_job(&record)
            };
            let Some(values) = values else {
                // The limits have become lower than what it takes: starts not stored yet are
                // taken back, and the rest shrinks as its tasks end.
                job.dirty_since = Some(t);
                job.save_urgent = false;
                for (machine, key, attempt) in std::mem::take(&mut job.unsaved_starts) {
                    leader_state.workers.withdraw(&machine, key, attempt);
                    job.save_urgent = true;
                    leader_state.schedule.request_save();
                }
                continue;
            };
            let size = values.request_bytes();
            let pieces = values.chunks.len();
            // What is left over of its pieces and doesn't fit is swept up later.
            let room = layout.txn_ops - if over { 2 } else { 1 + pieces };
            let surplus = pieces..job.chunks.min(pieces + room);
            let cost = if over { 2 } else { 1 + pieces } + surplus.len();
            left -= cost as f64;
            if let Some((txn, _, bytes)) = &batch
                && (txn.changes.len() + cost > most || bytes + size > TRANSACTION_BYTES_MAX)
                && let Some(full) = batch.take()
            {
                asks.push(full);
            }
            let (txn, mut items, bytes) = batch.take().unwrap_or_else(|| {
                (
                    Transaction::default().require_revision(LEADER_KEY, mod_revision),
                    Vec::new(),
                    0,
                )
            });
            let mut txn = txn.require_revision(live_key(&uid), job.mod_revision);
            txn = if over {
                txn.require_revision(finished_key(&uid), 0)
                    .delete(live_key(&uid))
                    .set_raw(finished_key(&uid), values.header)
            } else {
                txn.set_raw(live_key(&uid), values.header)
            };
            for (n, value) in values.chunks.into_iter().enumerate() {
                txn = txn.set_raw(chunk_key(&uid, n), value);
            }
            for n in surplus {
                txn = txn.delete(chunk_key(&uid, n));
            }
            items.push(PendingSave {
                number: job.number,
                finished: over,
                done: job.done.clone(),
                starts: std::mem::take(&mut job.unsaved_starts),
                chunks: pieces,
                finished_at: now.wall,
            });
            job.save_in_flight = true;
            job.save_urgent = false;
            job.dirty_since = None;
            batch = Some((txn, items, bytes + size));
        }
        asks.extend(batch);
        for (txn, items, _) in asks {
            self.request_state(
                StateRequest::SaveJobs { term, items },
                Op::Transaction(txn),
                LEADER_REQUEST_TIMEOUT,
            );
        }
        self.apply_ledger_events();
    }

    pub(super) fn jobs_saved(&mut self, items: Vec<PendingSave>, reply: Reply) {
        let now = self.now.steady;
        let mut reread = Vec::new();
        let mut lost_lead = false;
        {
            let Some(leader_state) = &mut self.leader_state else {
                return;
            };
            match reply {
                Reply::Applied { revision } => {
                    for item in items {
                        let Some(job) = leader_state.jobs.by_number.get_mut(&item.number) else {
                            continue;
                        };
                        job.save_in_flight = false;
                        job.mod_revision = revision;
                        job.chunks = item.chunks;
                        job.stored_done = item.done;
                        for (machine, key, attempt) in item.starts {
                            // Judged once more where starts are let go: nothing runs before all
                            // that its job needs is done.
                            if !job.waits_for_dependencies() {
                                leader_state.workers.confirm_stored(&machine, key, attempt);
                            }
                        }
                        Self::acknowledge_stored_ends(&mut leader_state.workers, job);
                        if item.finished {
                            let uid = job.spec.uid.clone();
                            let end = job.record().finish("done", item.finished_at);
                            log::info!("job {uid} is done");
                            self.client_requests
                                .cache_final_state(&uid, final_body(&uid, &end));
                            if let Some(job) = leader_state.jobs.remove(&uid) {
                                Self::stop_all_tasks(&mut leader_state.workers, &job);
                                Self::acknowledge_all_ends(&mut leader_state.workers, &job);
                            }
                            Self::dependency_finished(leader_state, now, &uid, &end);
                        }
                    }
                }
                Reply::Conflict { failed } => {
                    lost_lead = failed.iter().any(|f| f == LEADER_KEY);
                    for item in items {
                        let Some(job) = leader_state.jobs.by_number.get_mut(&item.number) else {
                            continue;
                        };
                        job.save_in_flight = false;
                        job.mark_dirty(now);
                        job.save_urgent = true;
                        job.unsaved_starts.extend(item.starts);
                        let uid = job.spec.uid.clone();
                        if failed.iter().any(|f| {
                            f.strip_prefix(LIVE_PREFIX) == Some(&*uid)
                                || f.strip_prefix(FINISHED_PREFIX) == Some(&*uid)
                        }) {
                            reread.push(uid);
                        }
                    }
                }
                Reply::Unavailable => {
                    for item in items {
                        if let Some(job) = leader_state.jobs.by_number.get_mut(&item.number) {
                            job.save_in_flight = false;
                            job.save_urgent = true;
                            job.unsaved_starts.extend(item.starts);
                        }
                    }
                }
                // It may have been applied, or be applied later: its stamp tells.
                other => {
                    if let Reply::Refused(reason) = &other {
                        log::error!("the state service refused a save: {reason}");
                    }
                    for item in items {
                        if let Some(job) = leader_state.jobs.by_number.get_mut(&item.number) {
                            job.save_in_flight = false;
                            // As many as may be there now: the next save sets all to rights.
                            job.chunks = job.chunks.max(item.chunks);
                            job.unsaved_starts.extend(item.starts);
                            reread.push(job.spec.uid.clone());
                        }
                    }
                }
            }
        }
        if lost_lead {
            // The watch on the leader key says the same; until then nothing is stored.
            log::info!("a write found another leader key");
        }
        for uid in reread {
            self.reread_job(uid, false);
        }
    }

    pub(super) fn reread_job(&mut self, uid: Arc<str>, over: bool) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let term = leader_state.term;
        if let Some(job) = leader_state.jobs.get_mut(&uid) {
            job.reread_pending = true;
        }
        let key = job_key(&uid, over);
        self.request_state(
            StateRequest::RereadJob { term, uid, over },
            Op::Get(key),
            LEADER_REQUEST_TIMEOUT,
        );
    }

    pub(super) fn job_reread(&mut self, uid: &Arc<str>, over: bool, reply: Reply) {
        let now = self.now.steady;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        match reply {
            Reply::Item(item) if !over => {
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
                    Err(e) => {
                        // It proves nothing; asking again is all that can be done.
                        log::error!("{} can't be read: {e}", item.path);
                        return self.reread_job(uid.clone(), false);
                    }
                };
                Self::dependency_finished(leader_state, now, uid, &end);
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
            Reply::Absent if !over => self.reread_job(uid.clone(), true),
            // Neither live nor over can't be; ask again.
            _ => self.reread_job(uid.clone(), false),
        }
        self.apply_ledger_events();
    }

    /// Endings that are stored may be dropped by the workers.
    pub(super) fn acknowledge_stored_ends(workers: &mut WorkerLedger, job: &mut Job) {
        let (number, stored) = (job.number, &job.stored_done);
        job.unacknowledged.retain(|(machine, part, attempt)| {
            let waits = !stored.contains(part);
            if !waits {
                let key = TaskId {
                    job: number,
                    index: *part,
                };
                workers.allow_acknowledge(machine, key, *attempt);
            }
            waits
        });
    }

    /// The job is over: nothing depends on the endings that workers still report.
    pub(super) fn acknowledge_all_ends(workers: &mut WorkerLedger, job: &Job) {
        for (machine, part, attempt) in &job.unacknowledged {
            let key = TaskId {
                job: job.number,
                index: *part,
            };
            workers.allow_acknowledge(machine, key, *attempt);
        }
    }
}
