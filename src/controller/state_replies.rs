//! Routes the replies of the state service to their handlers.
//!
//! This module holds no state: each reply comes with its [`StateRequest`]. A reply to a leader's
//! request is dropped if the leader's term has ended. A job is read under its live key first and
//! then under the key of its final state, since it only moves from the first to the second.

use super::api_error::ApiError;
use super::state_request::StateRequest;
use super::{CLIENT_REQUEST_TIMEOUT, Controller};
use crate::clock::{Micros, SECOND};
use crate::election::{ElectionStep, LeadershipChange};
use crate::job_record::{finished_key, live_key};
use crate::messages::ConnId;
use crate::registry::WriteResult;
use crate::state_client::{Op, Reply};
use serde_json::{Value, json};
use std::sync::Arc;

/// How often a cancellation is retried because the job changed between its read and the write.
const CANCEL_RETRIES_MAX: u32 = 8;

impl Controller {
    /// Handles the reply to a request that was sent at `sent`.
    pub(super) fn handle_state_reply(&mut self, request: StateRequest, reply: Reply, sent: Micros) {
        let now = self.now.steady;
        if !request.waits_for_changes()
            && !matches!(reply, Reply::Unavailable | Reply::OutcomeUnknown)
        {
            self.election.record_response_time(now.saturating_sub(sent));
        }
        match request {
            StateRequest::Election(step) => self.handle_election_reply(step, reply, sent),
            StateRequest::ReadReplica { generation, read } => {
                self.replica_read_answered(generation, read, reply);
            }
            StateRequest::ReadSchemaVersion => self.schema_version_read(reply),
            StateRequest::ReadMachineTypes => self.handle_machine_types_read(reply),
            StateRequest::StoreMachineTypes => self.handle_machine_types_write(&reply),
            StateRequest::ReadOwnSchemaSupport => self.register_schema_support(reply),
            StateRequest::WriteOwnSchemaSupport => self.schema_support_registered(&reply),
            request => match request.term() {
                None => self.handle_client_state_reply(request, reply),
                Some(term) if self.is_current_term(term) => {
                    self.handle_leader_state_reply(request, reply, sent);
                }
                // A reply for a term that has ended.
                Some(_) => {}
            },
        }
    }

    fn handle_election_reply(&mut self, step: ElectionStep, reply: Reply, sent: Micros) {
        let now = self.now.steady;
        let (ops, change) = self.election.handle_reply(now, step, reply, sent);
        for (step, op) in ops {
            self.request_state(StateRequest::Election(step), op, SECOND);
        }
        match change {
            Some(LeadershipChange::Acquired { term, mod_revision }) => {
                self.become_leader(term, mod_revision, sent);
            }
            Some(LeadershipChange::Lost) => self.step_down(),
            None => {}
        }
    }

    /// Handles replies to requests that belong to no term, most of them for a client's request.
    fn handle_client_state_reply(&mut self, request: StateRequest, reply: Reply) {
        match request {
            StateRequest::AcceptJob { conn, uid } => self.job_accepted(conn, uid, reply),
            StateRequest::ReadExistingJob {
                conn,
                uid,
                finished,
            } => {
                self.existing_job_read(conn, uid, finished, reply);
            }
            StateRequest::PollJob {
                conn,
                uid,
                finished,
            } => {
                self.polled_job_read(conn, uid, finished, reply);
            }
            StateRequest::ReadAncestor { uid, finished } => {
                self.ancestor_read(uid, finished, reply);
            }
            StateRequest::CheckFinished { polls } => {
                self.handle_finished_check_reply(polls, &reply)
            }
            StateRequest::ReadForCancel {
                conn,
                uid,
                finished,
                retries,
            } => self.handle_read_for_cancel_reply(conn, uid, finished, retries, reply),
            StateRequest::WriteCancel {
                conn,
                uid,
                retries,
                body,
            } => self.cancel_written(conn, uid, retries, body, &reply),
            StateRequest::InspectJob {
                conn,
                uid,
                finished,
            } => {
                self.inspected_job_read(conn, uid, finished, reply);
            }
            StateRequest::ReadDependency {
                submission,
                uid,
                finished,
            } => self.handle_dependency_reply(submission, uid, finished, reply),
            StateRequest::AcceptDependentJob {
                submission,
                cancelled,
            } => self.handle_accept_dependent_job_reply(submission, cancelled, reply),
            StateRequest::ReadBeforeRejecting {
                conn,
                uid,
                finished,
                reason,
            } => self.handle_resubmission_check_reply(conn, uid, finished, reason, reply),
            // Of the other requests only whether they are answered matters, which the state client
            // notes.
            _ => {}
        }
    }

    /// Handles replies to requests of the leader in its current term.
    fn handle_leader_state_reply(&mut self, request: StateRequest, reply: Reply, sent: Micros) {
        match request {
            StateRequest::WatchJobs { .. } => self.jobs_watch_answered(reply, sent),
            StateRequest::ReadJobChanges { .. } => self.job_changes_read(reply, sent),
            StateRequest::SaveJobs { saves, .. } => self.jobs_saved(saves, reply),
            StateRequest::RereadJob { uid, finished, .. } => self.job_reread(&uid, finished, reply),
            StateRequest::WriteRegistryPage { key, written, .. } => {
                self.registry_page_written(&key, written, &reply);
            }
            StateRequest::ReadRegistryPage { key, .. } => self.registry_page_read(&key, &reply),
            StateRequest::DeleteRegistryPage { key, .. } => {
                self.registry_page_deleted(&key, &reply);
            }
            StateRequest::ReadSchemaSupport { .. } => self.schema_support_read(reply),
            StateRequest::RaiseSchemaVersion { .. } => self.schema_version_raised(&reply),
            StateRequest::ReadDependencyOutcome { uid, .. } => {
                self.dependency_outcome_read(&uid, reply);
            }
            StateRequest::CancelDependents { cancellations, .. } => {
                self.dependents_cancelled(cancellations, &reply);
            }
            StateRequest::ListChunks { .. } => self.delete_orphan_chunks(reply),
            StateRequest::DeleteCancelledJob { uid, .. } => {
                self.cancelled_job_deleted(&uid, &reply);
            }
            _ => {}
        }
    }

    fn job_accepted(&mut self, conn: ConnId, uid: Arc<str>, reply: Reply) {
        match reply {
            Reply::Applied { .. } => {
                self.dependency_cache.insert(&uid, &[]);
                self.client_requests.mark_job_live(&uid);
                self.respond(conn, 201, &json!({"uid": uid, "status": "pending"}));
            }
            Reply::Conflict { .. } => self.read_existing_job(conn, uid, false),
            Reply::Refused(reason) => {
                log::error!("the state service refused a job job={uid} reason={reason}");
                self.respond_error(conn, &ApiError::StateRefusedJob);
            }
            _ => self.handle_state_unavailable(conn),
        }
    }

    /// Reads the job that a submission repeats, to answer with its state.
    pub(super) fn read_existing_job(&mut self, conn: ConnId, uid: Arc<str>, finished: bool) {
        let op = Op::Get(job_key(&uid, finished));
        let request = StateRequest::ReadExistingJob {
            conn,
            uid,
            finished,
        };
        self.request_state(request, op, CLIENT_REQUEST_TIMEOUT);
    }

    fn existing_job_read(&mut self, conn: ConnId, uid: Arc<str>, finished: bool, reply: Reply) {
        match reply {
            Reply::KeyValue(item) => {
                self.respond_stored_state(conn, &uid, finished, item);
            }
            Reply::NotFound if !finished => self.read_existing_job(conn, uid, true),
            _ => self.handle_state_unavailable(conn),
        }
    }

    fn cancel_written(
        &mut self,
        conn: ConnId,
        uid: Arc<str>,
        retries: u32,
        body: Value,
        reply: &Reply,
    ) {
        match reply {
            Reply::Applied { .. } => {
                self.client_requests.cache_final_state(&uid, body.clone());
                // A leader applies its own cancellation without waiting for the watch to report it.
                if let Some(leader_state) = &mut self.leader_state {
                    Self::mark_cancelled(leader_state, &uid);
                    self.apply_ledger_events();
                } else {
                    self.announce_cancellation(&uid);
                }
                self.respond(conn, 200, &body);
            }
            Reply::Conflict { .. } if retries < CANCEL_RETRIES_MAX => {
                self.read_for_cancel(conn, uid, false, retries + 1);
            }
            _ => self.handle_state_unavailable(conn),
        }
    }

    /// Reads the stored record of a job for operators.
    pub(super) fn read_inspected_job(&mut self, conn: ConnId, uid: Arc<str>, finished: bool) {
        let op = Op::Get(job_key(&uid, finished));
        let request = StateRequest::InspectJob {
            conn,
            uid,
            finished,
        };
        self.request_state(request, op, CLIENT_REQUEST_TIMEOUT);
    }

    fn inspected_job_read(&mut self, conn: ConnId, uid: Arc<str>, finished: bool, reply: Reply) {
        match reply {
            Reply::KeyValue(item) => self.respond_job_details(
                conn,
                &uid,
                json!({"key": item.key, "stamp": item.mod_revision, "record": item.value}),
            ),
            Reply::NotFound if !finished => self.read_inspected_job(conn, uid, true),
            Reply::NotFound => self.respond_error(conn, &ApiError::NoSuchJob),
            _ => self.handle_state_unavailable(conn),
        }
    }

    fn registry_page_written(
        &mut self,
        key: &str,
        written: Vec<(Arc<str>, Option<Micros>)>,
        reply: &Reply,
    ) {
        let now = self.now.steady;
        let result = write_result(key, reply);
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        leader_state.registry.handle_page_written(
            now,
            key,
            written,
            &result,
            &mut leader_state.workers,
        );
        leader_state.schedule.request_placement_by(now);
    }

    fn registry_page_read(&mut self, key: &str, reply: &Reply) {
        let now = self.now.steady;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let mod_revision = match reply {
            Reply::KeyValue(item) => Some(item.mod_revision),
            Reply::NotFound => Some(0),
            _ => None,
        };
        leader_state
            .registry
            .handle_page_read(now, key, mod_revision);
    }

    fn registry_page_deleted(&mut self, key: &str, reply: &Reply) {
        let result = write_result(key, reply);
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        leader_state
            .registry
            .handle_page_deleted(key, &result, &mut leader_state.workers);
    }

    fn cancelled_job_deleted(&mut self, uid: &str, reply: &Reply) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        if matches!(reply, Reply::Applied { .. }) {
            leader_state.jobs.remove(uid);
        } else if let Some(job) = leader_state.jobs.get_mut(uid) {
            job.save_in_flight = false;
        }
    }

    fn is_current_term(&self, term: u64) -> bool {
        self.leader_state.as_ref().is_some_and(|l| l.term == term)
    }
}

/// The key of a job: that of its final state if `finished` is set, else that of the live job.
pub(super) fn job_key(uid: &str, finished: bool) -> String {
    if finished {
        finished_key(uid)
    } else {
        live_key(uid)
    }
}

/// Tells from the reply to a conditional write whether it changed that key.
fn write_result(key: &str, reply: &Reply) -> WriteResult {
    match reply {
        Reply::Applied { revision } => WriteResult::Applied(*revision),
        Reply::Unavailable => WriteResult::NotApplied,
        // The precondition on the leader key failed, not that on this key.
        Reply::Conflict { failed } if !failed.iter().any(|path| path == key) => {
            WriteResult::NotApplied
        }
        _ => WriteResult::Unknown,
    }
}
