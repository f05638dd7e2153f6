//! The leader's handling of jobs that depend on others: how they are released or cancelled.
//!
//! Only its stored final state tells how a job ended. A job is released once all its dependencies
//! are stored as done. It is cancelled once one of its dependencies is stored as cancelled, and the
//! cancellation cascades to its own dependents.

use super::leader::LeaderState;
use super::state_request::StateRequest;
use super::{Controller, LEADER_REQUEST_TIMEOUT};
use crate::clock::{Micros, from_secs};
use crate::cloud::Cloud;
use crate::dependency_graph::latest_start;
use crate::election::LEADER_KEY;
use crate::job_record::{FinalState, finished_key, live_key};
use crate::scheduler::Scheduler;
use crate::state_client::{Op, Reply, RequestPriority, Transaction};
use crate::wire::JobSpec;
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Cascading cancellations are written only while fewer than this many client requests are queued.
const QUEUED_CLIENT_REQUESTS_MAX: usize = 3;

/// A job that has to be cancelled because a job that it depends on was cancelled.
#[derive(Clone, Debug)]
pub(super) struct CascadingCancellation {
    /// The job to be cancelled.
    uid: Arc<str>,
    /// The job whose cancellation started the cascade.
    root: Arc<str>,
}

impl Controller {
    /// Adds a job to the dependency graph if it waits for others, and passes its priority and deadline on
    /// to its dependencies.
    pub(super) fn add_dependencies(leader_state: &mut LeaderState, cloud: &Cloud, uid: &Arc<str>) {
        let Some(job) = leader_state
            .jobs
            .get(uid)
            .filter(|j| j.waits_for_dependencies() && !j.cancelled)
        else {
            return;
        };
        let (spec, accepted) = (job.spec.clone(), job.accepted_at);
        let table = &leader_state.jobs;
        leader_state
            .dependency_graph
            .add(&spec, accepted, |dependency| {
                table.get(dependency).is_some_and(|job| !job.cancelled)
            });
        let scheduler = &leader_state.scheduler;
        leader_state
            .dependency_graph
            .propagate_back(&mut leader_state.jobs, uid, |spec| {
                expected_job_duration(scheduler, cloud, spec)
            });
    }

    /// Reads the final states of dependencies that may have finished.
    pub(super) fn read_dependency_outcomes(&mut self) {
        let now = self.now.steady;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        if !leader_state.dependency_graph.has_outcomes_to_read() {
            return;
        }
        let term = leader_state.term;
        for uid in leader_state.dependency_graph.take_outcomes_to_read(now) {
            let key = finished_key(&uid);
            self.request_state(
                StateRequest::ReadDependencyOutcome { term, uid },
                Op::Get(key),
                LEADER_REQUEST_TIMEOUT,
            );
        }
    }

    /// Handles the reply to the read of a dependency's final state.
    pub(super) fn dependency_outcome_read(&mut self, uid: &Arc<str>, reply: Reply) {
        let now = self.now.steady;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        leader_state.dependency_graph.outcome_answered(uid);
        match reply {
            Reply::Item(item) => match serde_json::from_str::<FinalState>(item.value.get()) {
                Ok(end) => Self::dependency_finished(leader_state, now, uid, &end),
                Err(error) => {
                    // An unreadable final state does not show how the job ended: its dependents
                    // continue to wait.
                    log::error!(
                        "stored final state unreadable key={} error={error}",
                        item.path
                    );
                    leader_state.dependency_graph.retry_outcome(now, uid);
                }
            },
            // The job is still live; the watch will report its end.
            Reply::Absent if leader_state.jobs.get(uid).is_some_and(|j| !j.cancelled) => {}
            _ => leader_state.dependency_graph.retry_outcome(now, uid),
        }
    }

    /// Releases or cancels the dependents of a job whose final state is stored.
    pub(super) fn dependency_finished(
        leader_state: &mut LeaderState,
        now: Micros,
        uid: &Arc<str>,
        end: &FinalState,
    ) {
        leader_state.dependency_graph.forget(uid);
        if end.is_done() {
            return Self::dependency_done(leader_state, now, uid, end.finished_at);
        }
        let root: Arc<str> = end
            .cancelled_with
            .as_deref()
            .map_or(uid.clone(), Into::into);
        for dependent in leader_state.dependency_graph.dependency_cancelled(uid) {
            leader_state
                .cascading_cancellations
                .push_back(CascadingCancellation {
                    uid: dependent,
                    root: root.clone(),
                });
        }
    }

    /// Releases the dependents of a completed job that have no other unmet dependency, and requests
    /// their placement at once. `at` is the time of day at which the job was done.
    fn dependency_done(leader_state: &mut LeaderState, now: Micros, uid: &Arc<str>, at: Micros) {
        for (dependent, ready) in leader_state.dependency_graph.dependency_done(uid, at) {
            if let Some(job) = leader_state.jobs.get_mut(&dependent) {
                log::info!("job released by its dependencies job={dependent}");
                job.ready_at = Some(ready.max(job.accepted_at));
                leader_state.schedule.request_placement_now(now);
            }
        }
    }

    /// Cancels jobs that depend on a cancelled one, as many as one transaction holds. The write has the
    /// priority of client requests.
    pub(super) fn cancel_dependents(&mut self) {
        let wall = self.now.wall;
        let schema = self.schema();
        if self.state.queued(RequestPriority::Client) >= QUEUED_CLIENT_REQUESTS_MAX {
            return;
        }
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        if leader_state.cascading_cancellations.is_empty() {
            return;
        }
        let (term, mod_revision) = (leader_state.term, leader_state.leader_key_revision);
        let mut later = VecDeque::new();
        let mut txn = Transaction::default().require_revision(LEADER_KEY, mod_revision);
        let mut cancellations = Vec::new();
        while let Some(cascade) = leader_state.cascading_cancellations.pop_front() {
            let CascadingCancellation { uid, root } = &cascade;
            let Some(job) = leader_state.jobs.get_mut(uid).filter(|j| !j.cancelled) else {
                continue;
            };
            if txn.changes.len() + 2 > schema.txn_ops || job.save_in_flight || job.reread_pending {
                later.push_back(cascade);
                continue;
            }
            if !job.waits_for_dependencies() {
                // The job was released, so all its dependencies were stored as done. A final state
                // never changes, so this is an inconsistency in the stored records.
                log::error!(
                    "job runs though a dependency was cancelled job={uid} cancelled={root}"
                );
                continue;
            }
            job.save_in_flight = true;
            let mut end = job.record().finish("cancelled", wall);
            end.cancelled_with = Some(root.to_string());
            txn = txn
                .require_revision(live_key(uid), job.mod_revision)
                .require_revision(finished_key(uid), 0)
                .delete(live_key(uid))
                .set(finished_key(uid), &end.fit(schema.usable_bytes()));
            cancellations.push(cascade);
        }
        leader_state.cascading_cancellations = later;
        if !cancellations.is_empty() {
            self.request_state(
                StateRequest::CancelDependents {
                    term,
                    cancellations,
                },
                Op::Transaction(txn),
                LEADER_REQUEST_TIMEOUT,
            );
        }
    }

    /// Handles the reply to a write of cascading cancellations.
    pub(super) fn dependents_cancelled(
        &mut self,
        cancellations: Vec<CascadingCancellation>,
        reply: &Reply,
    ) {
        let mut reread = Vec::new();
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        for CascadingCancellation { uid, root } in cancellations {
            if let Some(job) = leader_state.jobs.get_mut(&uid) {
                job.save_in_flight = false;
            }
            match reply {
                Reply::Applied { .. } => {
                    log::info!("job cancelled with a dependency job={uid} cancelled={root}");
                    leader_state.dependency_graph.forget(&uid);
                    for dependent in leader_state.dependency_graph.dependency_cancelled(&uid) {
                        leader_state
                            .cascading_cancellations
                            .push_back(CascadingCancellation {
                                uid: dependent,
                                root: root.clone(),
                            });
                    }
                    leader_state.jobs.remove(&uid);
                }
                Reply::Unavailable => leader_state
                    .cascading_cancellations
                    .push_back(CascadingCancellation { uid, root }),
                Reply::Conflict { failed } => {
                    if failed.contains(&live_key(&uid)) || failed.contains(&finished_key(&uid)) {
                        reread.push(uid.clone());
                    }
                    leader_state
                        .cascading_cancellations
                        .push_back(CascadingCancellation { uid, root });
                }
                // The transaction may have been applied.
                _ => {
                    reread.push(uid.clone());
                    leader_state
                        .cascading_cancellations
                        .push_back(CascadingCancellation { uid, root });
                }
            }
        }
        for uid in reread {
            self.reread_job(uid, false);
        }
    }

    /// The leader's view of a job's dependencies, as a part of `/inspect/job`.
    pub(super) fn inspect_dependencies(&self, uid: &str) -> Value {
        let Some((leader_state, job)) = self
            .leader_state
            .as_ref()
            .and_then(|leader_state| Some((leader_state, leader_state.jobs.get(uid)?)))
        else {
            return Value::Null;
        };
        let unmet = leader_state.dependency_graph.unmet_dependencies(uid);
        let state = |dependency: &Arc<str>| match leader_state.jobs.get(dependency) {
            _ if !unmet.contains(dependency) => "done",
            Some(j) if j.cancelled => "cancelled",
            Some(j) if j.waits_for_dependencies() => "waits for other jobs",
            Some(j) if j.placements.is_empty() => "pending",
            Some(_) => "running",
            None => "not known yet",
        };
        let dependencies: BTreeMap<&str, &str> = job
            .spec
            .waits_on
            .iter()
            .map(|dependency| (&**dependency, state(dependency)))
            .collect();
        let run = expected_job_duration(&leader_state.scheduler, &self.cloud, &job.spec);
        json!({"waits_on": dependencies, "waits": job.waits_for_dependencies(), "needed_by": leader_state.dependency_graph.dependents(uid),
               "priority": job.priority(), "latest_start": latest_start(job, run),
               "ready": job.ready_at, "now": self.now.wall, "waits_because": self.wait_reason(leader_state, job)})
    }
}

/// The expected time from a job's release to its end, in microseconds: the time to fetch its image,
/// and 1.5 times the expected run time of a task, since the job ends with its slowest task.
fn expected_job_duration(scheduler: &Scheduler, cloud: &Cloud, spec: &JobSpec) -> Micros {
    let rates = cloud.types.iter().map(|t| t.fetch_gb_per_s);
    let rate = rates.filter(|r| *r > 0.0).fold(f64::INFINITY, f64::min);
    let run = scheduler.expected_run(spec);
    run + run / 2 + from_secs(spec.image_gb / rate)
}
