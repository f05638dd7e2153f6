//! Applies the changes of the live jobs and the events of tasks to the leader's job table.
//!
//! Changes of the live jobs come only from the state service, in the order of their revisions; a
//! change that two overlapping requests report is applied once. Events of tasks come from the
//! worker ledger. From the results of task attempts this module also tells faulty or slow machines
//! from jobs that fail on every machine.

use super::Controller;
use super::failover::StoredJob;
use super::leader::LeaderState;
use crate::accounting::{StopReason, WorkloadEvent};
use crate::clock::{MILLISECOND, Micros, Now, SECOND};
use crate::cloud::CloudClient;
use crate::fault_injection::{InjectedFault, fault_injected};
use crate::job_record::{LIVE_PREFIX, TaskEnding};
use crate::jobs::Job;
use crate::schema;
use crate::state_client::{Reply, WatchEvent};
use crate::task_id::TaskId;
use crate::worker_ledger::{
    LEASE_EXPIRED, MACHINE_GONE, NOT_ON_MACHINE, TaskEvent, TaskEventKind, WITHDRAWN, WorkerLedger,
};

/// First backoff of a job whose tasks fail on every machine. It doubles with each further failed
/// trial, up to the two limits below.
const FAILING_JOB_BACKOFF: Micros = SECOND;
const FAILING_JOB_BACKOFF_MAX: Micros = 30 * SECOND;
const FAILING_JOB_DOUBLINGS_MAX: u32 = 5;
/// How long a machine that rejected a task for lack of capacity is given no further task.
const NO_ROOM_QUARANTINE: Micros = SECOND;
/// Backoff of a job after a worker rejected one of its tasks as unknown.
const UNKNOWN_TASK_BACKOFF: Micros = 2 * SECOND;
/// Weights of the previous value and of the newest sample in the moving average of a machine's
/// slowness, the ratio of actual to expected run time.
const SLOWNESS_PREVIOUS_WEIGHT: f64 = 0.7;
const SLOWNESS_SAMPLE_WEIGHT: f64 = 0.3;

/// The end of an attempt as its worker reported it.
struct AttemptEnd<'a> {
    /// The cause as reported: `done`, `stopped`, `error`, ...
    cause: &'a str,
    /// Whether the task saved a checkpoint.
    saved: bool,
    /// Its run time, in microseconds.
    ran: Micros,
    /// Why the leader stopped it, if it did.
    stop: Option<StopReason>,
}

impl Controller {
    /// Handles the reply to the watch of the live jobs, which was sent at `sent`.
    pub(super) fn jobs_watch_answered(&mut self, reply: Reply, sent: Micros) {
        let now = self.now.steady;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let with_changes = matches!(reply, Reply::Events { .. } | Reply::Compacted);
        leader_state.schedule.note_watch_answered(now, with_changes);
        if with_changes {
            self.apply_job_changes(reply, sent);
        }
    }

    /// Handles the reply to a read, sent at `sent`, of the changes of the live jobs so far.
    pub(super) fn job_changes_read(&mut self, reply: Reply, sent: Micros) {
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.cancellation_freshness.refresh_answered();
        }
        self.apply_job_changes(reply, sent);
    }

    /// Applies the reported changes of the live jobs. They include all changes stored before `sent`,
    /// the send time of the request.
    fn apply_job_changes(&mut self, reply: Reply, sent: Micros) {
        let now = self.now.steady;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let (mut events, revision) = match reply {
            Reply::Events { events, revision } => (events, revision),
            Reply::Compacted => {
                // The state service no longer has all changes since the known revision, so the
                // leader's state has to be loaded again. That needs a new term: the new ledger
                // starts its attempt numbers and fencing tokens from the beginning, and under the
                // old term a start command still in flight could be taken for a new one.
                log::info!("watch of the live jobs fell behind; loading again under a new term");
                return self.resign(0);
            }
            _ => return,
        };
        // Two requests may be in flight; changes that both report are applied once.
        let known = leader_state.jobs_revision;
        events.retain(|event| event.mod_revision > known);
        leader_state.jobs_revision = revision.max(known);
        leader_state.cancellation_freshness.note_proof(sent);
        Self::track_job_revisions(leader_state, &events);
        let mut deleted = Vec::new();
        for event in &events {
            let Some(uid) = event.key.strip_prefix(LIVE_PREFIX) else {
                continue;
            };
            if event.value.is_some() {
                self.add_accepted_job(uid, event);
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

    /// Updates the revisions of the live jobs' keys, and the checksum over them.
    fn track_job_revisions(leader_state: &mut LeaderState, events: &[WatchEvent]) {
        for event in events {
            let Some(uid) = event.key.strip_prefix(LIVE_PREFIX) else {
                continue;
            };
            let old = match event.value {
                Some(_) => leader_state
                    .job_revisions
                    .insert(uid.into(), event.mod_revision),
                None => leader_state.job_revisions.remove(uid),
            };
            if let Some(old) = old {
                leader_state.jobs_checksum.toggle(&event.key, old);
            }
            if event.value.is_some() {
                leader_state
                    .jobs_checksum
                    .toggle(&event.key, event.mod_revision);
            }
        }
    }

    /// Adds a job that a controller has accepted. Changes of a job that this leader already holds
    /// are its own writes and are ignored.
    fn add_accepted_job(&mut self, uid: &str, event: &WatchEvent) {
        let now = self.now.steady;
        let (Some(leader_state), Some(value)) = (&mut self.leader_state, &event.value) else {
            return;
        };
        // A job whose final state is known has finished: this change is reported late.
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
        Self::add_stored_job(leader_state, now, stored);
        Self::add_dependencies(leader_state, &self.cloud, &record.spec.uid);
    }

    /// Handles the deletion of a job's live record: the job was cancelled, unless this leader has
    /// stored its completion.
    fn live_job_deleted(leader_state: &mut LeaderState, uid: &str, mod_revision: u64) {
        // A save in flight that completes the job deletes the record too, and the watch may report
        // that before the reply to the save arrives. A save in flight that does not complete the
        // job can't have deleted the record. Its reply is not waited for, since starts that were
        // stored earlier would be sent meanwhile.
        if let Some(job) = leader_state.jobs.get_mut(uid)
            && mod_revision > job.mod_revision
            && !(job.save_in_flight && job.is_done())
        {
            Self::mark_cancelled(leader_state, uid);
        }
    }

    /// Marks a job as cancelled and stops its tasks; none may start from now on.
    pub(super) fn mark_cancelled(leader_state: &mut LeaderState, uid: &str) {
        let Some(job) = leader_state.jobs.get_mut(uid) else {
            return;
        };
        if !job.cancelled {
            log::info!("job cancelled job={uid}");
            job.cancelled = true;
            Self::stop_all_tasks(&mut leader_state.workers, job);
            // Its dependents are cancelled or released by its stored final state, which is read from
            // the state service.
            let uid = job.spec.uid.clone();
            leader_state.dependency_graph.remove(&uid);
            leader_state.dependency_graph.request_outcome(&uid);
        }
    }

    /// Stops all attempts of a job that may be on machines.
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

    /// Applies the events of the worker ledger to the jobs.
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
        cloud: &CloudClient,
        now: Now,
        event: &TaskEvent,
    ) {
        if !leader_state.jobs.by_number.contains_key(&event.task.job) {
            // The job has finished, so the end of this attempt need not be stored.
            if matches!(event.kind, TaskEventKind::Ended { .. }) {
                Self::acknowledge_attempt(leader_state, event);
            }
            return;
        }
        match &event.kind {
            TaskEventKind::Discovered => Self::attempt_observed(leader_state, now, event),
            TaskEventKind::Started => {
                if let Some(job) = leader_state.jobs.by_number.get(&event.task.job) {
                    leader_state
                        .accounting
                        .record(&job.spec, WorkloadEvent::Started);
                }
                Self::attempt_observed(leader_state, now, event);
            }
            TaskEventKind::PlacementConfirmed => {
                if let Some(job) = leader_state.jobs.by_number.get_mut(&event.task.job) {
                    job.remove_placement(event.task.index, &event.machine, 0);
                }
            }
            TaskEventKind::Lost { reason } => Self::attempt_lost(leader_state, now, event, reason),
            TaskEventKind::Ended {
                cause,
                saved,
                run_time,
                stop,
            } => {
                let end = AttemptEnd {
                    cause,
                    saved: *saved,
                    ran: *run_time,
                    stop: *stop,
                };
                Self::attempt_ended(leader_state, now, event, &end);
                Self::assess_task_end(leader_state, cloud, now.steady, event, &end);
            }
        }
    }

    /// Allows the acknowledgement that lets the worker drop its record of the attempt.
    fn acknowledge_attempt(leader_state: &mut LeaderState, event: &TaskEvent) {
        leader_state
            .workers
            .allow_acknowledgement(&event.machine, event.task, event.attempt);
    }

    /// Records that an attempt is on its machine, and stops it if it is not needed.
    fn attempt_observed(leader_state: &mut LeaderState, now: Now, event: &TaskEvent) {
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

    /// Handles an attempt that certainly is no longer on its machine, or never was.
    fn attempt_lost(leader_state: &mut LeaderState, now: Now, event: &TaskEvent, why: &str) {
        let Some(job) = leader_state.jobs.by_number.get_mut(&event.task.job) else {
            return;
        };
        let index = event.task.index;
        job.remove_placement(index, &event.machine, event.attempt);
        let outcome = match why {
            _ if event.attempt == 0 || job.cancelled || job.done.contains(&index) => None,
            LEASE_EXPIRED => Some(WorkloadEvent::LeaseExpired),
            MACHINE_GONE | NOT_ON_MACHINE => Some(WorkloadEvent::MachineLost),
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

    /// Adds the end of an attempt to the job's record.
    fn note_ending(job: &mut Job, event: &TaskEvent, cause: &str, now: Now) {
        job.record_ending(TaskEnding {
            task_index: event.task.index,
            machine: event.machine.to_string(),
            cause: cause.to_owned(),
            ended_at: now.wall,
        });
    }

    /// Handles the end of an attempt that its worker reported.
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
            "done" => Some(WorkloadEvent::Done),
            "stopped" => Some(WorkloadEvent::Stopped(end.stop)),
            "error" => Some(WorkloadEvent::Failed),
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
            // The leader no longer needs the worker's record: an attempt number is never reused.
            Self::acknowledge_attempt(leader_state, event);
        }
    }

    /// Handles the completion of a task: the worker keeps its record of the attempt until the
    /// completion is stored, and other attempts of the task are stopped.
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
                .allow_acknowledgement(&event.machine, event.task, event.attempt);
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

    /// Updates the health of the machine and of the job after the end of an attempt.
    fn assess_task_end(
        leader_state: &mut LeaderState,
        cloud: &CloudClient,
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
            "done" => Self::assess_completion(leader_state, cloud, now, event, end.ran),
            "error" => Self::assess_failure(leader_state, now, event, end.ran),
            "no_room" => {
                machine.quarantined_until = machine.quarantined_until.max(now + NO_ROOM_QUARANTINE);
            }
            "unknown" => job.not_before = now + UNKNOWN_TASK_BACKOFF,
            _ => {}
        }
    }

    /// Clears the machine's failures after a completion, and updates its speed and the expected run
    /// time of such tasks.
    fn assess_completion(
        leader_state: &mut LeaderState,
        cloud: &CloudClient,
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
        leader_state
            .scheduler
            .record_completion(now, job.spec.cores);
        machine.failures_since_success = 0;
        machine.failed_jobs.clear();
        if ran == 0 || job.checkpointed_tasks.contains(&event.task.index) {
            return;
        }
        let ran_log = (ran as f64).ln();
        let (log_sum, log_count) = job.ln_run_times;
        if log_count > 0.0 {
            // The mean over few other tasks of the job is less reliable, so it has less weight.
            let weight = log_count / (log_count + 1.0);
            machine.run_time_bias.0 += weight * (ran_log - log_sum / log_count).clamp(-1.0, 1.0);
            machine.run_time_bias.1 += weight;
        }
        job.ln_run_times.0 += ran_log;
        job.ln_run_times.1 += 1.0;
        let ratio = ran as f64 / leader_state.scheduler.expected_run_time(&job.spec) as f64;
        machine.slowness = SLOWNESS_PREVIOUS_WEIGHT * machine.slowness
            + SLOWNESS_SAMPLE_WEIGHT * ratio.clamp(0.2, 5.0);
        if let Some(machine_type) = cloud.machine_type_named(&machine.machine_type) {
            let spot = machine.spot;
            leader_state
                .scheduler
                .learn_from_completion(&job.spec, machine_type, spot, ran);
        }
    }

    /// Counts a failure against the machine, or against the job if it fails on every machine.
    fn assess_failure(leader_state: &mut LeaderState, now: Micros, event: &TaskEvent, ran: Micros) {
        let Some(job) = leader_state.jobs.by_number.get_mut(&event.task.job) else {
            return;
        };
        *job.failures_by_machine
            .entry(event.machine.clone())
            .or_default() += 1;
        job.longest_failed_run = job.longest_failed_run.max(ran);
        if job.is_suspect() {
            // The job is faulty: its backoff grows, and its failures no longer count against the
            // machines that it failed on.
            if now >= job.not_before {
                job.failed_trials += 1;
                let doublings = job.failed_trials.min(FAILING_JOB_DOUBLINGS_MAX);
                let backoff = FAILING_JOB_BACKOFF << doublings;
                job.not_before = now + backoff.min(FAILING_JOB_BACKOFF_MAX);
            }
            for id in job.failures_by_machine.keys() {
                if let Some(machine) = leader_state.workers.machines.get_mut(id) {
                    machine.retract_failures_of_job(event.task.job, now);
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
