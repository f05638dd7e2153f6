//! Applies to the jobs what the watch of the live jobs and the worker ledger report.
//!
//! Changes of the live jobs come from the state service alone, in the order of their revisions;
//! what two overlapping requests report twice is applied once. Events of tasks come from the
//! ledger. From the ends of tasks this module also tells machines that fail or slow everything
//! from jobs that fail everywhere.

use super::Controller;
use super::failover::StoredJob;
use super::leader::LeaderState;
use crate::accounting::{StopReason, TaskOutcome};
use crate::clock::{MILLISECOND, Micros, Now, SECOND};
use crate::cloud::Cloud;
use crate::fault_injection::{InjectedFault, fault_injected};
use crate::job_record::{LIVE_PREFIX, TaskEnding};
use crate::jobs::Job;
use crate::schema;
use crate::state_client::{Reply, WatchEvent};
use crate::task_id::TaskId;
use crate::worker_ledger::{
    LEASE_EXPIRED, MACHINE_GONE, NOT_THERE, TaskEvent, TaskEventKind, WITHDRAWN, WorkerLedger,
};

/// Pause of a job whose tasks fail everywhere, doubled with each further trial, and its limits.
const FAILING_JOB_BACKOFF: Micros = SECOND;
const FAILING_JOB_BACKOFF_MAX: Micros = 30 * SECOND;
const FAILING_JOB_DOUBLINGS_MAX: u32 = 5;
/// A machine that had no room for a task gets no other for this long.
const NO_ROOM_QUARANTINE: Micros = SECOND;
/// Pause of a job of which a worker did not know what to run.
const UNKNOWN_TASK_BACKOFF: Micros = 2 * SECOND;
/// Weights of the former value and of the newest run time in a machine's slowness.
const SLOWNESS_KEPT: f64 = 0.7;
const SLOWNESS_WEIGHT: f64 = 0.3;

/// How an attempt ended, by the worker's report.
struct AttemptEnd<'a> {
    /// The cause as reported: `done`, `stopped`, `error`, ...
    cause: &'a str,
    /// The task has saved what it did so far.
    saved: bool,
    /// How long it ran, in microseconds.
    ran: Micros,
    /// Why it was stopped, if it was.
    stop: Option<StopReason>,
}

impl Controller {
    /// Handles the answer to the watch of the live jobs, which was sent at `sent`.
    pub(super) fn jobs_watch_answered(&mut self, reply: Reply, sent: Micros) {
        let now = self.now.steady;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let with_changes = matches!(reply, Reply::Events { .. } | Reply::TooOld);
        leader_state.schedule.note_watch_answered(now, with_changes);
        if with_changes {
            self.apply_job_changes(reply, sent);
        }
    }

    /// Handles the answer to a request, sent at `sent`, for the changes so far.
    pub(super) fn caught_up(&mut self, reply: Reply, sent: Micros) {
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.cancellation_freshness.refresh_answered();
        }
        self.apply_job_changes(reply, sent);
    }

    /// Applies all changes of the live jobs up to `sent`, when the request was sent, at least.
    fn apply_job_changes(&mut self, reply: Reply, sent: Micros) {
        let now = self.now.steady;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let (mut events, revision) = match reply {
            Reply::Events { events, revision } => (events, revision),
            Reply::TooOld => {
                // Too much has changed unseen: everything is loaded again as by a new leader.
                // Under a new term, since the ledger starts anew, and with it the attempt numbers
                // and the fencing tokens: under the old one, a start still in flight could pass
                // for a new one.
                log::info!("watch of the live jobs fell behind; loading again under a new term");
                return self.resign(0);
            }
            _ => return,
        };
        // Two requests may be under way: changes reported by one are dropped from the other.
        let known = leader_state.jobs_revision;
        events.retain(|event| event.mod_revision > known);
        leader_state.jobs_revision = revision.max(known);
        leader_state.cancellation_freshness.note_proof(sent);
        Self::track_job_revisions(leader_state, &events);
        let mut deleted = Vec::new();
        for event in &events {
            let Some(uid) = event.path.strip_prefix(LIVE_PREFIX) else {
                continue;
            };
            if event.value.is_some() {
                self.adopt_changed_job(uid, event);
            } else {
                deleted.push((uid, event.mod_revision));
            }
        }
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        for (uid, mod_revision) in deleted {
            Self::live_job_deleted(leader_state, uid, mod_revision);
        }
        leader_state.schedule.request_placement(now);
        self.apply_ledger_events();
    }

    /// Keeps the revisions of the live jobs' keys, and the checksum over them.
    fn track_job_revisions(leader_state: &mut LeaderState, events: &[WatchEvent]) {
        for event in events {
            let Some(uid) = event.path.strip_prefix(LIVE_PREFIX) else {
                continue;
            };
            let old = match event.value {
                Some(_) => leader_state
                    .job_revisions
                    .insert(uid.into(), event.mod_revision),
                None => leader_state.job_revisions.remove(uid),
            };
            if let Some(old) = old {
                leader_state.jobs_checksum.toggle(&event.path, old);
            }
            if event.value.is_some() {
                leader_state
                    .jobs_checksum
                    .toggle(&event.path, event.mod_revision);
            }
        }
    }

    /// Takes in a job that another controller has accepted; changes of a job that this leader
    /// knows are its own.
    fn adopt_changed_job(&mut self, uid: &str, event: &WatchEvent) {
        let now = self.now.steady;
        let (Some(leader_state), Some(value)) = (&mut self.leader_state, &event.value) else {
            return;
        };
        // A job with a known final state is over: its change is reported late.
        if leader_state.jobs.get(uid).is_some() || self.client_requests.final_state(uid).is_some() {
            return;
        }
        let (record, chunks) = match schema::decode_job(value) {
            Ok(read) => read,
            Err(error) => return log::error!("stored job unreadable job={uid} error={error}"),
        };
        log::info!(
            "job accepted job={uid} by={} class={} team={} tasks={} deadline_s={:?}",
            record.accepted_by,
            record.spec.class,
            record.spec.team,
            record.spec.tasks,
            record.spec.deadline_s
        );
        let stored = StoredJob {
            record: &record,
            chunks,
            mod_revision: event.mod_revision,
            cancelled: false,
        };
        Self::adopt_job(leader_state, now, stored);
        Self::add_dependencies(leader_state, &self.cloud, &record.spec.uid);
    }

    /// The live record of a job was deleted: it was cancelled, unless this leader ended it itself.
    fn live_job_deleted(leader_state: &mut LeaderState, uid: &str, mod_revision: u64) {
        // The end may be this leader's own, reported before the answer to the write. A write under
        // way that does not end the job can't have removed it: were the deletion left to that
        // write's answer, starts of the job that were stored before would be sent meanwhile.
        if let Some(job) = leader_state.jobs.get_mut(uid)
            && mod_revision > job.mod_revision
            && !(job.save_in_flight && job.is_done())
        {
            Self::mark_cancelled(leader_state, uid);
        }
    }

    /// The job was cancelled: no task of it may start or stay.
    pub(super) fn mark_cancelled(leader_state: &mut LeaderState, uid: &str) {
        let Some(job) = leader_state.jobs.get_mut(uid) else {
            return;
        };
        if !job.cancelled {
            log::info!("job cancelled job={uid}");
            job.cancelled = true;
            Self::stop_all_tasks(&mut leader_state.workers, job);
            // What its end means for its dependents is read from the state service.
            let uid = job.spec.uid.clone();
            leader_state.pipelines.forget(&uid);
            leader_state.pipelines.request_outcome(&uid);
        }
    }

    /// Stops everything of a job that may be on machines.
    pub(super) fn stop_all_tasks(workers: &mut WorkerLedger, job: &Job) {
        for (index, placements) in &job.placements {
            let task = TaskId {
                job: job.number,
                index: *index,
            };
            for (machine, attempt) in placements {
                workers.stop_task(machine, task, *attempt, 0.0, StopReason::Cancelled);
            }
        }
    }

    /// Applies to the jobs what the ledger has learned.
    pub(super) fn apply_ledger_events(&mut self) {
        let now = self.now;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        while !leader_state.workers.events.is_empty() {
            for event in std::mem::take(&mut leader_state.workers.events) {
                Self::apply_task_event(leader_state, &self.cloud, now, &event);
            }
            leader_state.schedule.request_placement(now.steady);
        }
    }

    fn apply_task_event(
        leader_state: &mut LeaderState,
        cloud: &Cloud,
        now: Now,
        event: &TaskEvent,
    ) {
        if !leader_state.jobs.by_number.contains_key(&event.task.job) {
            // The job is over: nothing depends on how an attempt of it ended.
            if matches!(event.kind, TaskEventKind::Ended { .. }) {
                Self::acknowledge_attempt(leader_state, event);
            }
            return;
        }
        match &event.kind {
            TaskEventKind::Discovered => Self::attempt_found(leader_state, now, event),
            TaskEventKind::Started => {
                if let Some(job) = leader_state.jobs.by_number.get(&event.task.job) {
                    leader_state
                        .accounting
                        .record(&job.spec, TaskOutcome::Started);
                }
                Self::attempt_found(leader_state, now, event);
            }
            TaskEventKind::PlacementConfirmed => {
                if let Some(job) = leader_state.jobs.by_number.get_mut(&event.task.job) {
                    job.remove_placement(event.task.index, &event.machine, 0);
                }
            }
            TaskEventKind::Lost { why } => Self::attempt_lost(leader_state, now, event, why),
            TaskEventKind::Ended {
                cause,
                saved,
                ran,
                stop,
            } => {
                let end = AttemptEnd {
                    cause,
                    saved: *saved,
                    ran: *ran,
                    stop: *stop,
                };
                Self::attempt_ended(leader_state, now, event, &end);
                Self::judge_task_end(leader_state, cloud, now.steady, event, &end);
            }
        }
    }

    /// Lets the worker drop its record of the attempt.
    fn acknowledge_attempt(leader_state: &mut LeaderState, event: &TaskEvent) {
        leader_state
            .workers
            .allow_acknowledge(&event.machine, event.task, event.attempt);
    }

    /// An attempt is on its machine; one that is not needed is stopped.
    fn attempt_found(leader_state: &mut LeaderState, now: Now, event: &TaskEvent) {
        let Some(job) = leader_state.jobs.by_number.get_mut(&event.task.job) else {
            return;
        };
        let index = event.task.index;
        log::debug!(
            "task on its machine task={}/{index} attempt={} machine={}",
            job.spec.uid,
            event.attempt,
            event.machine
        );
        job.add_placement(index, &event.machine, event.attempt);
        if job.cancelled || job.done.contains(&index) {
            let reason = if job.cancelled {
                StopReason::Cancelled
            } else {
                StopReason::Redundant
            };
            leader_state
                .workers
                .stop_task(&event.machine, event.task, event.attempt, 0.0, reason);
        }
        job.mark_dirty(now.steady);
    }

    /// An attempt is surely not on its machine any more, or never was.
    fn attempt_lost(leader_state: &mut LeaderState, now: Now, event: &TaskEvent, why: &str) {
        let Some(job) = leader_state.jobs.by_number.get_mut(&event.task.job) else {
            return;
        };
        let index = event.task.index;
        job.remove_placement(index, &event.machine, event.attempt);
        let outcome = match why {
            _ if event.attempt == 0 || job.cancelled || job.done.contains(&index) => None,
            LEASE_EXPIRED => Some(TaskOutcome::LeaseExpired),
            MACHINE_GONE | NOT_THERE => Some(TaskOutcome::MachineLost),
            _ => None,
        };
        if let Some(outcome) = outcome {
            leader_state.accounting.record(&job.spec, outcome);
        }
        if event.attempt != 0 {
            log::info!(
                "task lost task={}/{index} attempt={} machine={} cause={why}",
                job.spec.uid,
                event.attempt,
                event.machine
            );
        }
        if why != WITHDRAWN {
            Self::note_ending(job, event, why, now);
        }
        job.mark_dirty(now.steady);
    }

    /// Keeps how an attempt ended in the job's record.
    fn note_ending(job: &mut Job, event: &TaskEvent, cause: &str, now: Now) {
        job.note_ending(TaskEnding {
            part: event.task.index,
            machine: event.machine.to_string(),
            cause: cause.to_owned(),
            at: now.wall,
        });
    }

    /// A worker reported the end of an attempt.
    fn attempt_ended(
        leader_state: &mut LeaderState,
        now: Now,
        event: &TaskEvent,
        end: &AttemptEnd<'_>,
    ) {
        let Some(job) = leader_state.jobs.by_number.get_mut(&event.task.job) else {
            return;
        };
        let index = event.task.index;
        Self::note_ending(job, event, end.cause, now);
        log::info!(
            "task ended task={}/{index} attempt={} machine={} cause={} saved={} ran_ms={}",
            job.spec.uid,
            event.attempt,
            event.machine,
            end.cause,
            end.saved,
            end.ran / MILLISECOND
        );
        let outcome = match end.cause {
            "done" if job.cancelled || job.done.contains(&index) => None,
            "done" => Some(TaskOutcome::Done),
            "stopped" => Some(TaskOutcome::Stopped(end.stop)),
            "error" => Some(TaskOutcome::Failed),
            _ => None,
        };
        if let Some(outcome) = outcome {
            leader_state.accounting.record(&job.spec, outcome);
        }
        let done = end.cause == "done" && !job.cancelled;
        if done {
            job.finish_task(index);
        } else if end.saved {
            job.checkpointed_tasks.insert(index);
        }
        job.remove_placement(index, &event.machine, event.attempt);
        job.mark_dirty(now.steady);
        if done {
            Self::task_done(leader_state, event);
        } else {
            // Nothing depends on this attempt any more, and its number is never used again.
            Self::acknowledge_attempt(leader_state, event);
        }
    }

    /// A task is done: the worker keeps its record until that is stored, and other attempts of the
    /// task are stopped.
    fn task_done(leader_state: &mut LeaderState, event: &TaskEvent) {
        let Some(job) = leader_state.jobs.by_number.get_mut(&event.task.job) else {
            return;
        };
        let index = event.task.index;
        if job.stored_done.contains(&index)
            || fault_injected(InjectedFault::AcknowledgedBeforeStored)
        {
            leader_state
                .workers
                .allow_acknowledge(&event.machine, event.task, event.attempt);
        } else {
            job.unacknowledged
                .push((event.machine.clone(), index, event.attempt));
        }
        job.save_urgent |= job.is_done();
        if job.save_urgent {
            leader_state.schedule.request_save();
        }
        let others: Vec<_> = job.placements.get(&index).cloned().unwrap_or_default();
        for (machine, attempt) in others {
            leader_state.workers.stop_task(
                &machine,
                event.task,
                attempt,
                0.0,
                StopReason::Redundant,
            );
        }
    }

    /// Tells machines that fail or slow everything from jobs that fail everywhere.
    fn judge_task_end(
        leader_state: &mut LeaderState,
        cloud: &Cloud,
        now: Micros,
        event: &TaskEvent,
        end: &AttemptEnd<'_>,
    ) {
        let Some(job) = leader_state.jobs.by_number.get_mut(&event.task.job) else {
            return;
        };
        let Some(machine) = leader_state.workers.machines.get_mut(&event.machine) else {
            return;
        };
        match end.cause {
            "done" => Self::judge_completion(leader_state, cloud, now, event, end.ran),
            "error" => Self::judge_failure(leader_state, now, event, end.ran),
            "no_room" => {
                machine.quarantined_until = machine.quarantined_until.max(now + NO_ROOM_QUARANTINE);
            }
            "unknown" => job.not_before = now + UNKNOWN_TASK_BACKOFF,
            _ => {}
        }
    }

    /// A completion clears the machine of suspicion and shows how fast it is.
    fn judge_completion(
        leader_state: &mut LeaderState,
        cloud: &Cloud,
        now: Micros,
        event: &TaskEvent,
        ran: Micros,
    ) {
        let Some(job) = leader_state.jobs.by_number.get_mut(&event.task.job) else {
            return;
        };
        let Some(machine) = leader_state.workers.machines.get_mut(&event.machine) else {
            return;
        };
        leader_state.scheduler.note_completion(now, job.spec.cores);
        machine.error_streak = 0;
        machine.failed_jobs.clear();
        if ran == 0 || job.checkpointed_tasks.contains(&event.task.index) {
            return;
        }
        let ran_log = (ran as f64).ln();
        let (log_sum, log_count) = job.run_time_logs;
        if log_count > 0.0 {
            // The fewer siblings, the less their mean says.
            let weight = log_count / (log_count + 1.0);
            machine.run_time_bias.0 += weight * (ran_log - log_sum / log_count).clamp(-1.0, 1.0);
            machine.run_time_bias.1 += weight;
        }
        job.run_time_logs.0 += ran_log;
        job.run_time_logs.1 += 1.0;
        let ratio = ran as f64 / leader_state.scheduler.expected_run(&job.spec) as f64;
        machine.slowness =
            SLOWNESS_KEPT * machine.slowness + SLOWNESS_WEIGHT * ratio.clamp(0.2, 5.0);
        if let Some(machine_type) = cloud.machine_type_named(&machine.machine_type) {
            let spot = machine.spot;
            leader_state
                .scheduler
                .task_done(&job.spec, machine_type, spot, ran);
        }
    }

    /// A failure counts against the machine, or, if the job fails wherever it goes, the job.
    fn judge_failure(leader_state: &mut LeaderState, now: Micros, event: &TaskEvent, ran: Micros) {
        let Some(job) = leader_state.jobs.by_number.get_mut(&event.task.job) else {
            return;
        };
        *job.errors.entry(event.machine.clone()).or_default() += 1;
        job.failed_after = job.failed_after.max(ran);
        if job.is_suspect() {
            // The job is at fault: it waits longer and longer, and the machines that it failed on
            // are not to blame.
            if now >= job.not_before {
                job.failed_trials += 1;
                let doublings = job.failed_trials.min(FAILING_JOB_DOUBLINGS_MAX);
                let backoff = FAILING_JOB_BACKOFF << doublings;
                job.not_before = now + backoff.min(FAILING_JOB_BACKOFF_MAX);
            }
            for id in job.errors.keys() {
                if let Some(machine) = leader_state.workers.machines.get_mut(id) {
                    machine.forgive_failure(event.task.job, now);
                }
            }
        } else if let Some(machine) = leader_state.workers.machines.get_mut(&event.machine)
            && machine.record_failure(event.task.job, !job.done.is_empty(), now)
        {
            log::info!(
                "machine quarantined machine={} cause=failures",
                event.machine
            );
        }
    }
}
