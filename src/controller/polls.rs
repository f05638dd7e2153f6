//! Answers about the state of jobs: polls, and repeated or dependent submissions.
//!
//! Whether a job has finished is always read from the state service, never taken from memory,
//! because another node may just have reported its cancellation to the client. The exception is a
//! final state that this node has already read: it never changes and is served from the cache. The
//! progress of a live job may come from the leader's announcement.
//!
//! A cancellation also cancels all jobs that depend on the job. It is stored as the final state of that
//! one job; the leader stores the final states of the others later. So that the answer to a client does
//! not depend on that work, an answer that calls a job live rests on a check of the job and of all jobs
//! that it depends on, directly or through others, that are not known to be done.

use super::CLIENT_REQUEST_TIMEOUT;
use super::Controller;
use super::api_error::ApiError;
use super::client_requests::PendingPoll;
use super::state_replies::job_key;
use super::state_request::StateRequest;
use crate::dependency_cache::{Ancestry, JobOutcome};
use crate::fault_injection::{InjectedFault, fault_injected};
use crate::job_record::{
    FINISHED_PREFIX, FinalState, JobRecord, final_status_body, finished_key, live_status_body,
};
use crate::messages::ConnId;
use crate::schema;
use crate::state_client::{KeyValue, Op, Reply, RequestPriority, Transaction};
use crate::wire::is_valid_uid;
use serde_json::json;
use std::collections::BTreeSet;
use std::sync::Arc;

/// A read for a starved poll gets the priority of client requests only while fewer than this many
/// requests with that priority are queued.
const QUEUED_STARVED_READS_MAX: usize = 4;

/// The polls that share one check, and the jobs that it looks for among the finished ones.
#[derive(Default)]
struct PollBatch {
    polls: Vec<PendingPoll>,
    uids: BTreeSet<Arc<str>>,
}

impl PollBatch {
    /// Adds a poll that needs these jobs checked, or returns it if the batch has no room for it. A poll of
    /// more jobs than a batch holds is checked in parts.
    fn add(
        &mut self,
        mut poll: PendingPoll,
        unchecked: Vec<Arc<str>>,
        uids_max: usize,
    ) -> Result<(), PendingPoll> {
        let part: Vec<Arc<str>> = unchecked.into_iter().take(uids_max).collect();
        let added = part.iter().filter(|uid| !self.uids.contains(*uid)).count();
        if self.uids.len() + added > uids_max {
            return Err(poll);
        }
        self.uids.extend(part.iter().cloned());
        poll.in_check = part;
        self.polls.push(poll);
        Ok(())
    }
}

impl Controller {
    /// Answers with the cached final state of a job; returns false if it is not cached.
    pub(super) fn answer_from_final_state(&mut self, conn: ConnId, uid: &str) -> bool {
        let Some(body) = self.client_requests.final_state(uid).cloned() else {
            return false;
        };
        self.respond(conn, 200, &body);
        true
    }

    /// Answers a client's poll of a job.
    pub(super) fn poll_job(&mut self, conn: ConnId, uid: &str) {
        if !is_valid_uid(uid) {
            return self.respond_error(conn, &ApiError::NoSuchJob);
        }
        if self.answer_from_final_state(conn, uid) {
            return;
        }
        if self.forward_if_needed(conn, "GET", format!("/work/{uid}"), &[]) {
            return;
        }
        // The leader announces the progress of live jobs, so it only remains to check whether the
        // job has finished. Many polled jobs share one such check.
        if self.task_counts(uid).is_some() {
            let now = self.now.steady;
            let poll = PendingPoll::new(conn, uid.into(), now);
            return self.client_requests.queue_poll(now, poll);
        }
        self.read_for_poll(conn, uid.into(), false);
    }

    /// The priority of a read for a poll of this job.
    ///
    /// If polls of the job have long gone unanswered, the read is queued with the priority of
    /// submissions and cancellations, but only a few at a time: after an outage all polls are
    /// starved, and submissions are waiting as well.
    fn poll_read_priority(&self, uid: &str) -> RequestPriority {
        let has_queue_room = self.state.queued(RequestPriority::Client) < QUEUED_STARVED_READS_MAX;
        if has_queue_room && self.client_requests.is_starved(self.now.steady, uid) {
            RequestPriority::Client
        } else {
            RequestPriority::Background
        }
    }

    /// Reads a job for a poll: its final state if `finished` is set, else its live record.
    pub(super) fn read_for_poll(&mut self, conn: ConnId, uid: Arc<str>, finished: bool) {
        let now = self.now.steady;
        let priority = self.poll_read_priority(&uid);
        let op = Op::Get(job_key(&uid, finished));
        let request = StateRequest::PollJob {
            conn,
            uid,
            finished,
        };
        self.state
            .submit(now, request, priority, op, CLIENT_REQUEST_TIMEOUT);
    }

    /// Handles the reply to the read of a polled job.
    pub(super) fn polled_job_read(
        &mut self,
        conn: ConnId,
        uid: Arc<str>,
        finished: bool,
        reply: Reply,
    ) {
        match reply {
            Reply::KeyValue(item) => self.respond_stored_state(conn, &uid, finished, item),
            Reply::NotFound if finished => {
                self.client_requests.note_answer(&uid);
                self.respond_error(conn, &ApiError::NoSuchJob);
            }
            Reply::NotFound => self.read_for_poll(conn, uid, true),
            _ => self.handle_failed_poll(conn, &uid),
        }
    }

    /// Handles a poll that this node can't answer itself.
    fn handle_failed_poll(&mut self, conn: ConnId, uid: &str) {
        self.client_requests.note_failure(self.now.steady, uid);
        self.handle_state_unavailable(conn);
    }

    /// How many tasks of a live job are done and how many are placed, from the leader's state or its
    /// last announcement. The announcement is also used while there is no leader, since the stored
    /// counts are older.
    fn task_counts(&self, uid: &str) -> Option<(u64, u64)> {
        if self.is_leader() {
            let job = self.leader_state.as_ref()?.jobs.get(uid)?;
            return Some((
                job.spec.tasks - job.remaining_tasks(),
                job.placements.len() as u64,
            ));
        }
        self.client_requests.progress_of(self.now.steady, uid)
    }

    /// What this node knows of the jobs that a job depends on.
    fn ancestry(&self, uid: &Arc<str>) -> Ancestry {
        if fault_injected(InjectedFault::DependentsCancelledByLeaderOnly) {
            return Ancestry::Unfinished(BTreeSet::new());
        }
        let dependencies = |uid: &str| {
            if let Some(job) = self.leader_state.as_ref().and_then(|l| l.jobs.get(uid)) {
                let waits = job.waits_for_dependencies();
                return Some(if waits { &job.spec.waits_on[..] } else { &[] });
            }
            let is_released = self.client_requests.is_announced_as_released(uid);
            is_released.then_some(&[][..])
        };
        let outcome = |uid: &str| {
            let status = self.client_requests.final_state(uid)?["status"].as_str()?;
            Some(match status {
                "done" => JobOutcome::Done,
                _ => JobOutcome::Cancelled,
            })
        };
        self.dependency_cache.ancestry(uid, dependencies, outcome)
    }

    /// Remembers the dependencies of a job that may still be cancelled with one of them.
    pub(super) fn remember_dependencies(&mut self, record: &JobRecord) {
        let has_started = !record.placed.is_empty() || !record.done.is_empty();
        let dependencies = if record.ready_at.is_some() || has_started {
            &[]
        } else {
            &record.spec.waits_on[..]
        };
        self.dependency_cache.insert(&record.spec.uid, dependencies);
    }

    /// Answers a poll if what is known suffices, or queues it for the next check.
    pub(super) fn continue_poll(&mut self, poll: PendingPoll) {
        if self.answer_from_final_state(poll.conn, &poll.uid) {
            return self.client_requests.note_answer(&poll.uid);
        }
        match self.ancestry(&poll.uid) {
            Ancestry::Cancelled => self.respond_cancelled_with_dependency(&poll),
            Ancestry::Unfinished(ancestors) if poll.unchecked(&ancestors).is_empty() => {
                self.respond_live(poll);
            }
            _ => self.client_requests.queue_poll(self.now.steady, poll),
        }
    }

    /// Answers that a job is cancelled because one that it depends on is. Its dependency's final state never
    /// changes, so neither does this answer, and the job is never started.
    fn respond_cancelled_with_dependency(&mut self, poll: &PendingPoll) {
        let body = json!({"uid": poll.uid, "status": "cancelled", "done": 0, "running": 0});
        log::debug!(
            "job reported as cancelled with a dependency job={}",
            poll.uid
        );
        self.client_requests
            .cache_final_state(&poll.uid, body.clone());
        self.client_requests.note_answer(&poll.uid);
        self.respond(poll.conn, poll.success_status, &body);
    }

    /// Answers a poll of a job that was found to be live.
    fn respond_live(&mut self, poll: PendingPoll) {
        let Some((done, running)) = self.task_counts(&poll.uid).or(poll.stored_counts) else {
            return self.read_for_poll(poll.conn, poll.uid, false);
        };
        log::debug!("job reported as live job={} running={running}", poll.uid);
        self.client_requests.note_answer(&poll.uid);
        let body = live_status_body(&poll.uid, done, running);
        self.respond(poll.conn, poll.success_status, &body);
    }

    /// Checks with one transaction which of the jobs polled in the last moment have finished, or depend
    /// on one that has. When the request budget is short, more polls share each check instead of staying
    /// unanswered.
    pub(super) fn flush_polls(&mut self) {
        let now = self.now.steady;
        if !self.client_requests.has_due_polls(now) {
            return;
        }
        // Polls have the lowest priority. But one check answers many polls, so it gets a higher
        // priority when some of them have long gone unanswered.
        let urgent = self.client_requests.has_urgent_polls(now);
        if !urgent && !self.state.has_background_budget(now) {
            for poll in self.client_requests.postpone_polls(now) {
                self.handle_failed_poll(poll.conn, &poll.uid);
            }
            return;
        }
        let batch = self.take_poll_batch(urgent);
        if batch.polls.is_empty() {
            return;
        }
        let mut txn = Transaction::default();
        for uid in &batch.uids {
            txn = txn.require_revision(finished_key(uid), 0);
        }
        let priority = if urgent {
            RequestPriority::Client
        } else {
            RequestPriority::Background
        };
        let request = StateRequest::CheckFinished { polls: batch.polls };
        self.state.submit(
            now,
            request,
            priority,
            Op::Transaction(txn),
            CLIENT_REQUEST_TIMEOUT,
        );
    }

    /// Removes the polls of the next check from the queue, and requests the reads that others need first.
    fn take_poll_batch(&mut self, urgent: bool) -> PollBatch {
        let now = self.now.steady;
        let uids_max = self.schema().txn_ops.max(1) * 4;
        let mut batch = PollBatch::default();
        let mut left_over = Vec::new();
        for poll in self.client_requests.take_polls(now, urgent) {
            if batch.uids.len() >= uids_max {
                left_over.push(poll);
                continue;
            }
            if self.answer_from_final_state(poll.conn, &poll.uid) {
                self.client_requests.note_answer(&poll.uid);
                continue;
            }
            match self.ancestry(&poll.uid) {
                Ancestry::Cancelled => self.respond_cancelled_with_dependency(&poll),
                Ancestry::Incomplete(unread) => {
                    for uid in unread {
                        self.read_ancestor(&poll, uid);
                    }
                    self.retry_poll(poll);
                }
                Ancestry::Unfinished(ancestors) => {
                    let unchecked = poll.unchecked(&ancestors);
                    if unchecked.is_empty() {
                        self.respond_live(poll);
                    } else {
                        left_over.extend(batch.add(poll, unchecked, uids_max).err());
                    }
                }
            }
        }
        self.client_requests.put_back_polls(now, left_over);
        batch
    }

    /// Queues a poll again, unless it has waited for too long.
    fn retry_poll(&mut self, poll: PendingPoll) {
        if let Err(expired) = self.client_requests.requeue_poll(self.now.steady, poll) {
            self.handle_failed_poll(expired.conn, &expired.uid);
        }
    }

    /// Reads a job whose dependencies are not known, for a poll.
    fn read_ancestor(&mut self, poll: &PendingPoll, uid: Arc<str>) {
        if self.dependency_cache.begin_read(&uid) {
            let priority = self.ancestor_read_priority(poll);
            self.submit_ancestor_read(uid, false, priority);
        }
    }

    /// The priority of a read of a job that a polled one depends on. A submission is not answered before.
    fn ancestor_read_priority(&self, poll: &PendingPoll) -> RequestPriority {
        if poll.is_submission() {
            RequestPriority::Client
        } else {
            self.poll_read_priority(&poll.uid)
        }
    }

    fn submit_ancestor_read(&mut self, uid: Arc<str>, finished: bool, priority: RequestPriority) {
        let op = Op::Get(job_key(&uid, finished));
        let request = StateRequest::ReadAncestor { uid, finished };
        self.state.submit(
            self.now.steady,
            request,
            priority,
            op,
            CLIENT_REQUEST_TIMEOUT,
        );
    }

    /// Handles the reply to the read of a job that polled jobs depend on.
    pub(super) fn ancestor_read(&mut self, uid: Arc<str>, finished: bool, reply: Reply) {
        if matches!(reply, Reply::NotFound) && !finished {
            return self.submit_ancestor_read(uid, true, RequestPriority::Client);
        }
        self.dependency_cache.end_read(&uid);
        match reply {
            Reply::KeyValue(item) if finished => {
                if let Ok(end) = serde_json::from_str::<FinalState>(item.value.get()) {
                    self.client_requests
                        .cache_final_state(&uid, final_status_body(&uid, &end));
                } else {
                    log::error!("stored final state unreadable key={}", item.key);
                }
            }
            Reply::KeyValue(item) => match schema::decode_job(&item.value) {
                Ok((record, _)) => self.remember_dependencies(&record),
                Err(error) => {
                    log::error!("stored job unreadable key={} error={error}", item.key);
                }
            },
            Reply::NotFound => {
                log::error!("a job that others depend on is not stored job={uid}");
                self.dependency_cache.insert(&uid, &[]);
            }
            // The polls that need it request it again.
            _ => {}
        }
    }

    /// Handles the reply to the check which of the polled jobs have finished.
    pub(super) fn handle_finished_check_reply(&mut self, polls: Vec<PendingPoll>, reply: &Reply) {
        let finished_uids: BTreeSet<&str> = match reply {
            Reply::Applied { .. } => BTreeSet::new(),
            Reply::Conflict { failed } => failed
                .iter()
                .filter_map(|key| key.strip_prefix(FINISHED_PREFIX))
                .collect(),
            _ => {
                // Other requests used up this node's request budget, as happens during a failover.
                // The check is repeated until the polls time out.
                let retry = matches!(reply, Reply::Unavailable) && !self.state.is_failing();
                for poll in polls {
                    if retry {
                        self.retry_poll(poll);
                    } else {
                        self.handle_failed_poll(poll.conn, &poll.uid);
                    }
                }
                return;
            }
        };
        for mut poll in polls {
            if finished_uids.contains(&*poll.uid) {
                self.read_for_poll(poll.conn, poll.uid, true);
                continue;
            }
            for uid in std::mem::take(&mut poll.in_check) {
                if !finished_uids.contains(&*uid) {
                    poll.checked.push(uid);
                } else if self.dependency_cache.begin_read(&uid) {
                    let priority = self.ancestor_read_priority(&poll);
                    self.submit_ancestor_read(uid, true, priority);
                }
            }
            self.continue_poll(poll);
        }
    }

    /// Answers with the state of a stored job that was read after the client's request came; `finished` is
    /// set if the item is its final state.
    pub(super) fn respond_stored_state(
        &mut self,
        conn: ConnId,
        uid: &Arc<str>,
        finished: bool,
        item: KeyValue,
    ) {
        if finished {
            self.client_requests.note_answer(uid);
            let Ok(end) = serde_json::from_str::<FinalState>(item.value.get()) else {
                return self.respond_error(conn, &ApiError::StoredJobUnreadable);
            };
            let body = final_status_body(uid, &end);
            self.client_requests.cache_final_state(uid, body.clone());
            return self.respond(conn, 200, &body);
        }
        let Ok((record, _)) = schema::decode_job(&item.value) else {
            return self.respond_error(conn, &ApiError::StoredJobUnreadable);
        };
        self.remember_dependencies(&record);
        let mut poll = PendingPoll::new(conn, uid.clone(), self.now.steady);
        poll.stored_counts = Some((record.done_count(), record.placed_count()));
        poll.checked.push(uid.clone());
        self.continue_poll(poll);
    }

    /// Answers a submission that was just stored as a live job. `checked` are the jobs that were certainly
    /// not cancelled then.
    pub(super) fn respond_accepted(
        &mut self,
        conn: ConnId,
        uid: &Arc<str>,
        checked: Vec<Arc<str>>,
    ) {
        self.client_requests.mark_job_live(uid);
        let mut poll = PendingPoll::new(conn, uid.clone(), self.now.steady);
        poll.success_status = 201;
        poll.stored_counts = Some((0, 0));
        poll.checked = checked;
        self.continue_poll(poll);
    }
}
