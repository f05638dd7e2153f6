//! What the watch and the workers tell, into the jobs; machines and jobs that fail.

use super::Controller;
use super::leader::LeaderState;
use crate::accounting::{StopReason, TaskOutcome};
use crate::clock::{MILLISECOND, Micros, Now, SECOND};
use crate::cloud::Cloud;
use crate::fault_injection::{InjectedFault, fault_injected};
use crate::job_record::{LIVE_PREFIX, TaskEnding};
use crate::jobs::Job;
use crate::schema;
use crate::state_client::Reply;
use crate::task_id::TaskId;
use crate::worker_ledger::{
    LEASE_EXPIRED, MACHINE_GONE, NOT_THERE, TaskEvent, TaskEventKind, WorkerLedger,
};
use std::sync::Arc;

impl Controller {
    pub(super) fn jobs_watch_answered(&mut self, reply: Reply, sent: Micros) {
        let now = self.now.steady;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let with_changes = matches!(reply, Reply::Events { .. } | Reply::TooOld);
        leader_state.schedule.note_watch_answered(now, with_changes);
        if !with_changes {
            return;
        }
        self.apply_job_changes(reply, sent);
    }

    /// The answer to a question for what has changed by now.
    pub(super) fn caught_up(&mut self, reply: Reply, sent: Micros) {
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.cancellation_freshness.refresh_answered();
        }
        self.apply_job_changes(reply, sent);
    }

    /// All changes of the live jobs, up to the sending of the question at least.
    fn apply_job_changes(&mut self, reply: Reply, sent: Micros) {
        let now = self.now.steady;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let (mut events, revision) = match reply {
            Reply::Events { events, revision } => (events, revision),
            Reply::TooOld => {
                // Too much has changed unseen: all is read again as by a fresh leader. Under a
                // new term, since the ledger starts anew, and with it the attempt numbers and
                // the fences: under the old one a start still in flight could pass for a new one.
                log::info!("the watch fell behind; reading all jobs again under a new term");
                return self.resign(0);
            }
            _ => return,
        };
        // Two questions may be under way: what the one has told is not told anew by the other, older one.
        let known = leader_state.jobs_revision;
        events.retain(|e| e.mod_revision > known);
        leader_state.jobs_revision = revision.max(known);
        leader_state.cancellation_freshness.note_proof(sent);
        for e in &events {
            let Some(uid) = e.path.strip_prefix(LIVE_PREFIX) else {
                continue;
            };
            let old = match e.value {
                Some(_) => leader_state
                    .job_revisions
                    .insert(uid.into(), e.mod_revision),
                None => leader_state.job_revisions.remove(uid),
            };
            if let Some(old) = old {
                leader_state.jobs_checksum.toggle(&e.path, old);
            }
            if e.value.is_some() {
                leader_state.jobs_checksum.toggle(&e.path, e.mod_revision);
            }
        }
        let mut cancelled = Vec::new();
        for e in events {
            let Some(uid) = e.path.strip_prefix(LIVE_PREFIX) else {
                continue;
            };
            match e.value {
                Some(value) => {
                    if leader_state.jobs.get(uid).is_some() {
                        continue;
                    }
                    // A job that we have moved on already is told late.
                    if self.client_requests.final_state(uid).is_some() {
                        continue;
                    }
                    match schema::decode_job(&value) {
                        Ok((record, pieces)) => {
                            log::info!(
                                "job {uid} accepted by {}: {} of {}, {} tasks, due {:?}",
                                record.accepted_by,
                                record.spec.class,
                                record.spec.team,
                                record.spec.tasks,
                                record.spec.deadline_s
                            );
                            Self::adopt_job(
                                leader_state,
                                now,
                                &record,
                                pieces,
                                e.mod_revision,
                                false,
                            );
                            Self::add_dependencies(leader_state, &self.cloud, &record.spec.uid);
                        }
                        Err(error) => log::error!("job {uid} can't be read: {error}"),
                    }
                }
                None => cancelled.push((uid.to_owned(), e.mod_revision)),
            }
        }
        for (uid, mod_revision) in cancelled {
            // Its end may be our own, told before the answer to the write. A write under way that does not
            // end it can't have removed it: were that left to the write's own answer, starts of the job that
            // were stored before would go out meanwhile.
            if let Some(job) = leader_state.jobs.get_mut(&uid)
                && mod_revision > job.mod_revision
                && !(job.save_in_flight && job.is_done())
            {
                Self::mark_cancelled(leader_state, &uid);
            }
        }
        leader_state.schedule.request_placement(now);
        self.apply_ledger_events();
    }

    /// Another node has ended the job for its user: no task of it may start or stay.
    pub(super) fn mark_cancelled(leader_state: &mut LeaderState, uid: &str) {
        let Some(job) = leader_state.jobs.get_mut(uid) else {
            return;
        };
        if !job.cancelled {
            log::info!("job {uid} was cancelled");
            job.cancelled = true;
            Self::stop_all_tasks(&mut leader_state.workers, job);
            // What its end means for those that need it is read from the store.
            let uid = job.spec.uid.clone();
            leader_state.pipelines.forget(&uid);
            leader_state.pipelines.request_outcome(&uid);
        }
    }

    /// Stops whatever may be on machines of a job.
    pub(super) fn stop_all_tasks(workers: &mut WorkerLedger, job: &Job) {
        for (part, at) in &job.placements {
            let key = TaskId {
                job: job.number,
                index: *part,
            };
            for (machine, attempt) in at {
                workers.stop_task(machine, key, *attempt, 0.0, StopReason::Cancelled);
            }
        }
    }

    /// What the ledger learned, into the jobs.
    pub(super) fn apply_ledger_events(&mut self) {
        let now = self.now;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        while !leader_state.workers.events.is_empty() {
            for e in std::mem::take(&mut leader_state.workers.events) {
                Self::apply_task_event(leader_state, &self.cloud, now, e);
            }
            leader_state.schedule.request_placement(now.steady);
        }
    }

    pub(super) fn apply_task_event(
        leader_state: &mut LeaderState,
        cloud: &Cloud,
        now: Now,
        e: TaskEvent,
    ) {
        let Some(job) = leader_state.jobs.by_number.get_mut(&e.task.job) else {
            // The job is over: an ending of it is of no use to anybody.
            if matches!(e.kind, TaskEventKind::Ended { .. }) {
                leader_state
                    .workers
                    .allow_acknowledge(&e.machine, e.task, e.attempt);
            }
            return;
        };
        let part = e.task.index;
        let spec = job.spec.clone();
        match e.kind {
            TaskEventKind::Discovered | TaskEventKind::Started => {
                if e.kind == TaskEventKind::Started {
                    leader_state.accounting.record(&spec, TaskOutcome::Started);
                }
                log::debug!(
                    "{}/{part} try {} runs on {}",
                    spec.uid,
                    e.attempt,
                    e.machine
                );
                job.add_placement(part, &e.machine, e.attempt);
                if job.cancelled || job.done.contains(&part) {
                    let why = if job.cancelled {
                        StopReason::Cancelled
                    } else {
                        StopReason::Redundant
                    };
                    leader_state
                        .workers
                        .stop_task(&e.machine, e.task, e.attempt, 0.0, why);
                }
                job.mark_dirty(now.steady);
            }
            TaskEventKind::PlacementConfirmed => job.remove_placement(part, &e.machine, 0),
            TaskEventKind::Lost { why } => {
                job.remove_placement(part, &e.machine, e.attempt);
                match why {
                    _ if e.attempt == 0 || job.cancelled || job.done.contains(&part) => {}
                    LEASE_EXPIRED => leader_state
                        .accounting
                        .record(&spec, TaskOutcome::LeaseExpired),
                    MACHINE_GONE | NOT_THERE => leader_state
                        .accounting
                        .record(&spec, TaskOutcome::MachineLost),
                    _ => {}
                }
                if e.attempt != 0 {
                    log::info!(
                        "{}/{part} try {} left {}: {why}",
                        spec.uid,
                        e.attempt,
                        e.machine
                    );
                }
                if why != "withdrawn" {
                    job.note_ending(TaskEnding {
                        part,
                        machine: e.machine.to_string(),
                        cause: why.to_owned(),
                        at: now.wall,
                    });
                }
                job.mark_dirty(now.steady);
            }
            TaskEventKind::Ended {
                cause,
                saved,
                ran,
                stop,
            } => {
                job.note_ending(TaskEnding {
                    part,
                    machine: e.machine.to_string(),
                    cause: cause.to_string(),
                    at: now.wall,
                });
                log::info!(
                    "{}/{part} try {} ended on {}: {cause} saved={saved} ran={}ms",
                    spec.uid,
                    e.attempt,
                    e.machine,
                    ran / MILLISECOND
                );
                let done = cause == "done" && !job.cancelled;
                match &*cause {
                    "done" if job.cancelled || job.done.contains(&part) => {}
                    "done" => leader_state.accounting.record(&spec, TaskOutcome::Done),
                    "stopped" => leader_state
                        .accounting
                        .record(&spec, TaskOutcome::Stopped(stop)),
                    "error" => leader_state.accounting.record(&spec, TaskOutcome::Failed),
                    _ => {}
                }
                if done {
                    job.finish_task(part);
                } else if saved {
                    job.checkpointed_tasks.insert(part);
                }
                job.remove_placement(part, &e.machine, e.attempt);
                job.mark_dirty(now.steady);
                if done {
                    if job.stored_done.contains(&part) || fault_injected(InjectedFault::ReapedEarly)
                    {
                        leader_state
                            .workers
                            .allow_acknowledge(&e.machine, e.task, e.attempt);
                    } else {
                        job.unacknowledged
                            .push((e.machine.clone(), part, e.attempt));
                    }
                    job.save_urgent |= job.is_done();
                    if job.save_urgent {
                        leader_state.schedule.request_save();
                    }
                    let others: Vec<_> = job.placements.get(&part).cloned().unwrap_or_default();
                    for (machine, attempt) in others {
                        leader_state.workers.stop_task(
                            &machine,
                            e.task,
                            attempt,
                            0.0,
                            StopReason::Redundant,
                        );
                    }
                } else {
                    // Nothing depends on this attempt any more, and its number is never reused.
                    leader_state
                        .workers
                        .allow_acknowledge(&e.machine, e.task, e.attempt);
                }
                Self::judge_task_end(
                    leader_state,
                    cloud,
                    now.steady,
                    &e.machine,
                    e.task,
                    &cause,
                    ran,
                );
            }
        }
    }

    /// Tells machines that fail or slow everything from jobs that fail everywhere.
    pub(super) fn judge_task_end(
        leader_state: &mut LeaderState,
        cloud: &Cloud,
        now: Micros,
        machine: &Arc<str>,
        key: TaskId,
        cause: &str,
        ran: Micros,
    ) {
        let Some(job) = leader_state.jobs.by_number.get_mut(&key.job) else {
            return;
        };
        let spec = job.spec.clone();
        let Some(m) = leader_state.workers.machines.get_mut(machine) else {
            return;
        };
        match cause {
            "done" => {
                leader_state.scheduler.note_completion(now, spec.cores);
                m.error_streak = 0;
                m.failed_jobs.clear();
                if ran > 0 && !job.checkpointed_tasks.contains(&key.index) {
                    let ln = (ran as f64).ln();
                    if job.run_time_logs.1 > 0.0 {
                        // The fewer siblings, the less their mean says.
                        let weight = job.run_time_logs.1 / (job.run_time_logs.1 + 1.0);
                        m.run_time_bias.0 += weight
                            * (ln - job.run_time_logs.0 / job.run_time_logs.1).clamp(-1.0, 1.0);
                        m.run_time_bias.1 += weight;
                    }
                    job.run_time_logs.0 += ln;
                    job.run_time_logs.1 += 1.0;
                    let ratio = ran as f64 / leader_state.scheduler.expected_run(&spec) as f64;
                    m.slowness = 0.7 * m.slowness + 0.3 * ratio.clamp(0.2, 5.0);
                    if let Some(t) = cloud.machine_type_named(&m.machine_type) {
                        let spot = m.spot;
                        leader_state.scheduler.task_done(&spec, t, spot, ran);
                    }
                }
            }
            "error" => {
                *job.errors.entry(machine.clone()).or_default() += 1;
                job.failed_after = job.failed_after.max(ran);
                if job.is_suspect() {
                    // It fails wherever it goes: the job's mistake. It waits longer and longer,
                    // and the machines it failed on are not to blame.
                    if now >= job.not_before {
                        job.failed_trials += 1;
                        job.not_before =
                            now + (SECOND << job.failed_trials.min(5)).min(30 * SECOND);
                    }
                    for id in job.errors.keys() {
                        if let Some(m) = leader_state.workers.machines.get_mut(id) {
                            m.forgive_failure(key.job, now);
                        }
                    }
                } else if m.record_failure(key.job, !job.done.is_empty(), now) {
                    log::info!("{machine} fails what it is given; no new tasks for a while");
                }
            }
            "no_room" => m.quarantined_until = m.quarantined_until.max(now + SECOND),
            "unknown" => job.not_before = now + 2 * SECOND,
            _ => {}
        }
    }
}
