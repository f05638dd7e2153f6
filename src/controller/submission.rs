//! Job submissions: validation, and the write that accepts a job.
//!
//! Any node accepts a job by writing it to the state service itself, with preconditions: this needs
//! no leader, and a job is accepted only once however often it is submitted. If the job depends on
//! others, the node first reads their stored state; the preconditions of the write make it fail if
//! one of them is cancelled in the meantime. A submission is rejected only after the node has
//! checked that it does not repeat a job that was accepted before.

use super::api_error::ApiError;
use super::state_replies::job_key;
use super::state_request::StateRequest;
use super::{CLIENT_REQUEST_TIMEOUT, Controller};
use crate::clock::{MILLISECOND, Micros, SECOND};
use crate::fault_injection::{InjectedFault, fault_injected};
use crate::job_record::{FinalState, JobRecord, final_status_body, finished_key, live_key};
use crate::messages::ConnId;
use crate::scheduler::impossible_reason;
use crate::schema::{self, SCHEMA_VERSION, Schema};
use crate::seeded_hash::HashMap;
use crate::state_client::{Op, RawJson, Reply, Transaction, to_raw_json};
use crate::wire::{JobKind, JobSpec, is_valid_uid};
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::Arc;

/// How often the dependencies are read again because one of them ended after it was read.
const DEPENDENCY_RETRIES_MAX: u32 = 4;
/// Time added to the timeout of a submission for each job that it depends on.
const TIMEOUT_PER_DEPENDENCY: Micros = 25 * MILLISECOND;
/// Upper bound of the time added for all dependencies; clients wait 5 s for an answer.
const DEPENDENCIES_TIMEOUT_MAX: Micros = SECOND;

/// What is known about a job that a submission depends on.
#[derive(Clone, Copy, PartialEq, Eq)]
enum DependencyState {
    /// Its stored state is being read.
    Requested,
    Live,
    Done,
    Cancelled,
}

/// How long reading this number of dependencies may take.
fn dependency_timeout(dependencies: usize) -> Micros {
    CLIENT_REQUEST_TIMEOUT
        + (TIMEOUT_PER_DEPENDENCY * dependencies as Micros).min(DEPENDENCIES_TIMEOUT_MAX)
}

/// A submission of a job that depends on others.
struct Submission {
    conn: ConnId,
    spec: JobSpec,
    dependencies: BTreeMap<Arc<str>, DependencyState>,
    /// The reason to reject the submission, if one was found.
    rejection: Option<String>,
    /// How often its dependencies were read again.
    dependency_retries: u32,
}

impl Submission {
    /// The first dependency that is in the given state.
    fn dependency_in_state(&self, state: DependencyState) -> Option<&str> {
        let mut dependencies = self.dependencies.iter();
        dependencies
            .find(|(_, known)| **known == state)
            .map(|(uid, _)| &**uid)
    }

    /// All dependencies that are in the given state.
    fn dependencies_in_state(&self, state: DependencyState) -> Vec<Arc<str>> {
        let dependencies = self.dependencies.iter();
        dependencies
            .filter(|(_, known)| **known == state)
            .map(|(uid, _)| uid.clone())
            .collect()
    }
}

/// The preconditions of a write that accepts a job: the job is neither live nor finished.
fn acceptance_preconditions(uid: &str) -> Transaction {
    Transaction::default()
        .require_revision(live_key(uid), 0)
        .require_revision(finished_key(uid), 0)
}

/// Submissions that wait until their dependencies have been read or the job has been written, by a
/// number that this node gives them.
#[derive(Default)]
pub(super) struct Submissions {
    pending: HashMap<u64, Submission>,
    last_id: u64,
}

impl Submissions {
    fn insert(&mut self, submission: Submission) -> u64 {
        self.last_id += 1;
        self.pending.insert(self.last_id, submission);
        self.last_id
    }

    fn get(&self, id: u64) -> Option<&Submission> {
        self.pending.get(&id)
    }

    fn get_mut(&mut self, id: u64) -> Option<&mut Submission> {
        self.pending.get_mut(&id)
    }

    fn remove(&mut self, id: u64) -> Option<Submission> {
        self.pending.remove(&id)
    }
}

impl Controller {
    /// Handles a client's submission of a job.
    pub(super) fn submit(&mut self, conn: ConnId, body: &[u8]) {
        let spec = match JobSpec::parse(body) {
            Ok(spec) => spec,
            Err(error) => {
                return self.respond_error(conn, &ApiError::InvalidJob(error.to_string()));
            }
        };
        let uid = spec.uid.clone();
        if self.answer_from_final_state(conn, &uid) {
            return;
        }
        if self.cloud.types.is_empty() {
            return self.respond_error(conn, &ApiError::MachineTypesUnknown);
        }
        if let Some(reason) = impossible_reason(&spec, &self.cloud.types, &self.settings) {
            if !self.cloud.types_confirmed() {
                // The stored machine types may be older than what the cloud offers now.
                return self.respond_error(conn, &ApiError::MachineTypesUnconfirmed);
            }
            // A job accepted while the cloud offered more machine types stays accepted.
            return self.reject_unless_resubmitted(conn, uid, false, reason);
        }
        let is_invalid = |dependency: &&Arc<str>| !is_valid_uid(dependency) || **dependency == uid;
        if let Some(dependency) = spec.waits_on.iter().find(is_invalid) {
            let shown: String = dependency.chars().take(80).collect();
            let reason = format!("waitsOn: `{shown}` can't be a job that was accepted before");
            return self.respond_error(conn, &ApiError::JobRejected(reason));
        }
        if self.forward_if_needed(conn, "POST", "/work".to_owned(), body) {
            return;
        }
        if let Some(reason) = self.size_violation(&spec) {
            // A job accepted under larger limits stays accepted.
            return self.reject_unless_resubmitted(conn, uid, false, reason);
        }
        if spec.waits_on.is_empty() {
            return self.accept_job(conn, uid, spec);
        }
        let submission = Submission {
            conn,
            spec,
            dependencies: BTreeMap::new(),
            rejection: None,
            dependency_retries: 0,
        };
        self.read_dependencies(submission);
    }

    /// Stores a job without dependencies, if it is new.
    fn accept_job(&mut self, conn: ConnId, uid: Arc<str>, spec: JobSpec) {
        let value = self.new_record(spec);
        let mut txn = Transaction::default()
            .require_revision(live_key(&uid), 0)
            .set_raw(live_key(&uid), value);
        // A finished job has no live key any more. Without this precondition, a write that the state
        // service executes late would create the job again after a repeated submission of it was
        // accepted and the job finished.
        if !fault_injected(InjectedFault::AbsentKeyAssumedUnwritten) {
            txn = txn.require_revision(finished_key(&uid), 0);
        }
        self.request_state(
            StateRequest::AcceptJob { conn, uid },
            Op::Transaction(txn),
            CLIENT_REQUEST_TIMEOUT,
        );
    }

    /// The record of a new job: one small value in schema version 1, which every program version
    /// can read.
    fn new_record(&self, spec: JobSpec) -> RawJson {
        let record = JobRecord::new(spec, self.now.wall, &self.settings.name);
        schema::version_1::encode_job(&record, usize::MAX).unwrap_or_else(|| to_raw_json(&()))
    }

    /// Why a job with this description is too large to be stored in any schema version, if it is.
    fn size_violation(&self, spec: &JobSpec) -> Option<String> {
        let limits = self.settings.deployment.state.tightest();
        let schema = Schema {
            version: SCHEMA_VERSION,
            value_bytes: limits.value_bytes(),
            txn_ops: limits.txn_ops,
        };
        if !schema.can_store(spec) {
            let max_bytes = schema.spec_bytes_max();
            return Some(format!(
                "the description is too long to be stored: at most {max_bytes} bytes"
            ));
        }
        // Preconditions of the accepting write: two for the job itself (neither live nor finished)
        // and one for each dependency.
        let max_dependencies = 4 * limits.txn_ops - 2;
        (spec.waits_on.len() > max_dependencies)
            .then(|| format!("waitsOn: at most {max_dependencies} jobs can be named"))
    }

    /// Reads the stored state of each dependency whose final state is not cached. Whether a
    /// dependency was ever accepted is always read from the state service.
    fn read_dependencies(&mut self, mut submission: Submission) {
        submission.dependencies.clear();
        let mut unknown = Vec::new();
        for dependency in &submission.spec.waits_on {
            let known = self
                .client_requests
                .final_state(dependency)
                .and_then(|end| end["status"].as_str());
            let state = match known {
                Some("done") => DependencyState::Done,
                Some("cancelled") => DependencyState::Cancelled,
                _ => {
                    unknown.push(dependency.clone());
                    DependencyState::Requested
                }
            };
            submission.dependencies.insert(dependency.clone(), state);
        }
        let id = self.submissions.insert(submission);
        let timeout = dependency_timeout(unknown.len());
        for uid in unknown {
            let key = live_key(&uid);
            let request = StateRequest::ReadDependency {
                submission: id,
                uid,
                finished: false,
            };
            self.request_state(request, Op::Get(key), timeout);
        }
        self.continue_submission(id);
    }

    /// Handles the reply to the read of a dependency.
    pub(super) fn handle_dependency_reply(
        &mut self,
        id: u64,
        uid: Arc<str>,
        finished: bool,
        reply: Reply,
    ) {
        let Some(submission) = self.submissions.get_mut(id) else {
            return;
        };
        let mut state = DependencyState::Live;
        match reply {
            Reply::KeyValue(item) if !finished => match schema::decode_job(&item.value) {
                Ok((record, _)) if record.spec.kind == JobKind::Service => {
                    submission.rejection =
                        Some(format!("waitsOn: {uid} is a service, which is never done"));
                }
                Ok((record, _)) => self.remember_dependencies(&record),
                Err(error) => {
                    log::error!("stored job unreadable key={} error={error}", item.key);
                    return self.fail_submission(id, &ApiError::DependencyUnreadable);
                }
            },
            Reply::KeyValue(item) => match serde_json::from_str::<FinalState>(item.value.get()) {
                Ok(end) => {
                    self.client_requests
                        .cache_final_state(&uid, final_status_body(&uid, &end));
                    state = if end.is_done() {
                        DependencyState::Done
                    } else {
                        DependencyState::Cancelled
                    };
                }
                Err(error) => {
                    log::error!("stored job unreadable key={} error={error}", item.key);
                    return self.fail_submission(id, &ApiError::DependencyUnreadable);
                }
            },
            // The live key is read before the final state, since a job moves only in this direction.
            Reply::NotFound if !finished => {
                let key = finished_key(&uid);
                let request = StateRequest::ReadDependency {
                    submission: id,
                    uid,
                    finished: true,
                };
                let timeout = dependency_timeout(submission.dependencies.len());
                return self.request_state(request, Op::Get(key), timeout);
            }
            Reply::NotFound => {
                submission.rejection = Some(format!("waitsOn: {uid} was never accepted"));
            }
            _ => {
                let conn = submission.conn;
                self.submissions.remove(id);
                return self.handle_state_unavailable(conn);
            }
        }
        if let Some(submission) = self.submissions.get_mut(id) {
            submission.dependencies.insert(uid, state);
        }
        self.continue_submission(id);
    }

    /// Ends a submission with an error.
    fn fail_submission(&mut self, id: u64, error: &ApiError) {
        if let Some(submission) = self.submissions.remove(id) {
            self.respond_error(submission.conn, error);
        }
    }

    /// Accepts or rejects the job once the state of all its dependencies is known.
    fn continue_submission(&mut self, id: u64) {
        let Some(submission) = self.submissions.get(id) else {
            return;
        };
        if submission
            .dependency_in_state(DependencyState::Requested)
            .is_some()
        {
            return;
        }
        if let Some(reason) = submission.rejection.clone() {
            let (conn, uid) = (submission.conn, submission.spec.uid.clone());
            self.submissions.remove(id);
            return self.reject_unless_resubmitted(conn, uid, false, reason);
        }
        let cancelled_dependency = submission.dependency_in_state(DependencyState::Cancelled);
        let cancelled = cancelled_dependency.is_some();
        let txn = match cancelled_dependency {
            Some(dependency) => self.accept_as_cancelled(&submission.spec, dependency),
            None => self.accept_as_live(submission),
        };
        let request = StateRequest::AcceptDependentJob {
            submission: id,
            cancelled,
        };
        self.request_state(request, Op::Transaction(txn), CLIENT_REQUEST_TIMEOUT);
    }

    /// The write that accepts a job and cancels it at once, because a job that it depends on is
    /// cancelled.
    fn accept_as_cancelled(&self, spec: &JobSpec, cancelled_dependency: &str) -> Transaction {
        let record = JobRecord::new(spec.clone(), self.now.wall, &self.settings.name);
        let mut end = record.to_final_state("cancelled", self.now.wall);
        end.cancelled_with = Some(cancelled_dependency.to_owned());
        acceptance_preconditions(&spec.uid).set(finished_key(&spec.uid), &end)
    }

    /// The write that accepts a job whose dependencies are live or done.
    fn accept_as_live(&self, submission: &Submission) -> Transaction {
        let uid = &submission.spec.uid;
        let mut txn = acceptance_preconditions(uid);
        // If a dependency is cancelled at the same time, the later of the two writes fails because
        // the earlier one invalidates its preconditions.
        for (dependency, state) in &submission.dependencies {
            if *state == DependencyState::Live {
                txn = txn.require_revision(finished_key(dependency), 0);
            }
        }
        txn.set_raw(live_key(uid), self.new_record(submission.spec.clone()))
    }

    /// Handles the reply to the write that accepts a job with dependencies.
    pub(super) fn handle_accept_dependent_job_reply(
        &mut self,
        id: u64,
        cancelled: bool,
        reply: Reply,
    ) {
        let Some(mut submission) = self.submissions.remove(id) else {
            return;
        };
        let (conn, uid) = (submission.conn, submission.spec.uid.clone());
        match reply {
            Reply::Applied { .. } if cancelled => {
                self.respond(conn, 201, &json!({"uid": uid, "status": "cancelled"}));
            }
            Reply::Applied { .. } => {
                let mut checked = submission.dependencies_in_state(DependencyState::Live);
                checked.push(uid.clone());
                self.dependency_cache
                    .insert(&uid, &submission.spec.waits_on);
                self.respond_accepted(conn, &uid, checked);
            }
            Reply::Conflict { failed } => {
                let own_keys = [live_key(&uid), finished_key(&uid)];
                if failed.iter().any(|key| own_keys.contains(key)) {
                    self.read_existing_job(conn, uid, false);
                } else if submission.dependency_retries < DEPENDENCY_RETRIES_MAX {
                    submission.dependency_retries += 1;
                    self.read_dependencies(submission);
                } else {
                    self.handle_state_unavailable(conn);
                }
            }
            Reply::Refused(reason) => {
                log::error!("the state service refused a job job={uid} reason={reason}");
                self.respond_error(conn, &ApiError::StateRefusedJob);
            }
            _ => self.handle_state_unavailable(conn),
        }
    }

    /// Reads whether the submission repeats a job that was accepted before, to reject it if not. Looks
    /// for the final state of the job if `finished` is set, else for its live record.
    fn reject_unless_resubmitted(
        &mut self,
        conn: ConnId,
        uid: Arc<str>,
        finished: bool,
        reason: String,
    ) {
        let key = job_key(&uid, finished);
        let request = StateRequest::ReadBeforeRejecting {
            conn,
            uid,
            finished,
            reason,
        };
        self.request_state(request, Op::Get(key), CLIENT_REQUEST_TIMEOUT);
    }

    /// Handles the reply to [`Controller::reject_unless_resubmitted`]: rejects the submission, or
    /// answers with the state of the job that it repeats.
    pub(super) fn handle_resubmission_check_reply(
        &mut self,
        conn: ConnId,
        uid: Arc<str>,
        finished: bool,
        reason: String,
        reply: Reply,
    ) {
        match reply {
            Reply::KeyValue(item) => self.respond_stored_state(conn, &uid, finished, item),
            Reply::NotFound if !finished => self.reject_unless_resubmitted(conn, uid, true, reason),
            Reply::NotFound => self.respond_error(conn, &ApiError::JobRejected(reason)),
            _ => self.handle_state_unavailable(conn),
        }
    }
}
