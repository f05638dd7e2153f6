//! Submissions of jobs, and what they are rejected for.
//!
//! Any node accepts a job, by a conditional write of its own: no leader is needed, and a job is
//! accepted once however often it is submitted. Before a job that depends on others is accepted,
//! what is stored of them is read; the write is guarded so that a cancellation in between makes it
//! fail. A submission is rejected only if it repeats no job that was accepted before.

use super::api_error::ApiError;
use super::state_replies::job_key;
use super::state_request::StateRequest;
use super::{CLIENT_REQUEST_TIMEOUT, Controller};
use crate::clock::{MILLISECOND, Micros, SECOND};
use crate::fault_injection::{InjectedFault, fault_injected};
use crate::job_record::{FinalState, JobRecord, final_body, finished_key, live_key};
use crate::messages::ConnId;
use crate::scheduler::impossible_reason;
use crate::schema::{self, SCHEMA_VERSION, Schema};
use crate::seeded_hash::HashMap;
use crate::state_client::{Op, Raw, Reply, Transaction, raw};
use crate::wire::{JobKind, JobSpec, is_valid_uid};
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::Arc;

/// How often the dependencies are read anew after one of them ended in between.
const DEPENDENCY_RETRIES_MAX: u32 = 4;
/// How much longer than other requests of clients a submission may take for each job that it
/// depends on.
const TIMEOUT_PER_DEPENDENCY: Micros = 25 * MILLISECOND;
/// The most that all dependencies add; clients wait 5 s.
const DEPENDENCIES_TIMEOUT_MAX: Micros = SECOND;

/// What is known of a job that a submission depends on.
#[derive(Clone, Copy, PartialEq, Eq)]
enum DependencyState {
    /// It is being read.
    Requested,
    Live,
    Done,
    Cancelled,
}

/// How long reading so many dependencies may take.
fn dependency_timeout(dependencies: usize) -> Micros {
    CLIENT_REQUEST_TIMEOUT
        + (TIMEOUT_PER_DEPENDENCY * dependencies as Micros).min(DEPENDENCIES_TIMEOUT_MAX)
}

/// A submission of a job that depends on others.
struct Submission {
    conn: ConnId,
    spec: JobSpec,
    dependencies: BTreeMap<Arc<str>, DependencyState>,
    /// Why it is to be rejected, if so.
    rejection: Option<String>,
    /// How often its dependencies were read anew.
    attempts: u32,
}

impl Submission {
    /// The first of its dependencies in that state.
    fn depends_on(&self, state: DependencyState) -> Option<&str> {
        let mut dependencies = self.dependencies.iter();
        dependencies
            .find(|(_, known)| **known == state)
            .map(|(uid, _)| &**uid)
    }
}

/// The guards of a write that accepts a job: it is neither live nor over.
fn accept_guards(uid: &str) -> Transaction {
    Transaction::default()
        .require_revision(live_key(uid), 0)
        .require_revision(finished_key(uid), 0)
}

/// The submissions that wait for what is known of the jobs that they name, by a number of their own.
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
    /// Handles a submission.
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
                // What is stored may be older than what the cloud offers.
                return self.respond_error(conn, &ApiError::MachineTypesUnconfirmed);
            }
            // What was accepted when the cloud offered more stays accepted.
            return self.reject_unless_known(conn, uid, false, reason);
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
            return self.reject_unless_known(conn, uid, false, reason);
        }
        if spec.waits_on.is_empty() {
            return self.accept_job(conn, uid, spec);
        }
        let submission = Submission {
            conn,
            spec,
            dependencies: BTreeMap::new(),
            rejection: None,
            attempts: 0,
        };
        self.read_dependencies(submission);
    }

    /// Stores a job that depends on no other, if it is new.
    fn accept_job(&mut self, conn: ConnId, uid: Arc<str>, spec: JobSpec) {
        let value = self.new_record(spec);
        let mut txn = Transaction::default()
            .require_revision(live_key(&uid), 0)
            .set_raw(live_key(&uid), value);
        // A job that is over is not live any more: carried out late, after a repeat was accepted
        // and done, the write would otherwise bring it back.
        if !fault_injected(InjectedFault::AbsentKeyAssumedUnwritten) {
            txn = txn.require_revision(finished_key(&uid), 0);
        }
        self.request_state(
            StateRequest::AcceptJob { conn, uid },
            Op::Transaction(txn),
            CLIENT_REQUEST_TIMEOUT,
        );
    }

    /// The record of a new job: one small value in the schema version that every program reads.
    fn new_record(&self, spec: JobSpec) -> Raw {
        let record = JobRecord::new(spec, self.now.wall, &self.settings.name);
        schema::version_1::encode_job(&record, usize::MAX).unwrap_or_else(|| raw(&()))
    }

    /// Why a job of this description can't be stored under any schema version, if so.
    fn size_violation(&self, spec: &JobSpec) -> Option<String> {
        let limits = self.settings.deployment.state.tightest();
        let schema = Schema {
            version: SCHEMA_VERSION,
            value_bytes: limits.value_bytes(),
            txn_ops: limits.txn_ops,
        };
        if !schema.can_store(spec) {
            let most = schema.spec_bytes_max();
            return Some(format!(
                "the description is too long to be stored: at most {most} bytes"
            ));
        }
        // Guards of the accepting write: the job itself, live and over, and each dependency.
        let most = 4 * limits.txn_ops - 2;
        (spec.waits_on.len() > most).then(|| format!("waitsOn: at most {most} jobs can be named"))
    }

    /// Reads what is stored of each dependency; that it was never accepted needs a fresh answer.
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

    /// Handles what is stored of a dependency.
    pub(super) fn dependency_read(&mut self, id: u64, uid: Arc<str>, over: bool, reply: Reply) {
        let Some(submission) = self.submissions.get_mut(id) else {
            return;
        };
        let mut state = DependencyState::Live;
        match reply {
            Reply::Item(item) if !over => match schema::decode_job(&item.value) {
                Ok((record, _)) if record.spec.kind == JobKind::Service => {
                    submission.rejection =
                        Some(format!("waitsOn: {uid} is a service, which is never done"));
                }
                Ok(_) => {}
                Err(error) => {
                    log::error!("stored job unreadable key={} error={error}", item.path);
                    return self.abandon_submission(id, &ApiError::DependencyUnreadable);
                }
            },
            Reply::Item(item) => match serde_json::from_str::<FinalState>(item.value.get()) {
                Ok(end) => {
                    self.client_requests
                        .cache_final_state(&uid, final_body(&uid, &end));
                    state = if end.is_done() {
                        DependencyState::Done
                    } else {
                        DependencyState::Cancelled
                    };
                }
                Err(error) => {
                    log::error!("stored job unreadable key={} error={error}", item.path);
                    return self.abandon_submission(id, &ApiError::DependencyUnreadable);
                }
            },
            // Live first, then over: a job moves only in that direction.
            Reply::Absent if !over => {
                let key = finished_key(&uid);
                let request = StateRequest::ReadDependency {
                    submission: id,
                    uid,
                    finished: true,
                };
                let timeout = dependency_timeout(submission.dependencies.len());
                return self.request_state(request, Op::Get(key), timeout);
            }
            Reply::Absent => {
                submission.rejection = Some(format!("waitsOn: {uid} was never accepted"));
            }
            _ => {
                let conn = submission.conn;
                self.submissions.remove(id);
                return self.state_unavailable(conn);
            }
        }
        if let Some(submission) = self.submissions.get_mut(id) {
            submission.dependencies.insert(uid, state);
        }
        self.continue_submission(id);
    }

    fn abandon_submission(&mut self, id: u64, error: &ApiError) {
        if let Some(submission) = self.submissions.remove(id) {
            self.respond_error(submission.conn, error);
        }
    }

    /// Accepts the job once everything that it depends on is known.
    fn continue_submission(&mut self, id: u64) {
        let Some(submission) = self.submissions.get(id) else {
            return;
        };
        if submission.depends_on(DependencyState::Requested).is_some() {
            return;
        }
        if let Some(reason) = submission.rejection.clone() {
            let (conn, uid) = (submission.conn, submission.spec.uid.clone());
            self.submissions.remove(id);
            return self.reject_unless_known(conn, uid, false, reason);
        }
        let cancelled_with = submission.depends_on(DependencyState::Cancelled);
        let cancelled = cancelled_with.is_some();
        let txn = match cancelled_with {
            Some(root) => self.store_as_cancelled(&submission.spec, root),
            None => self.store_as_live(submission),
        };
        let request = StateRequest::AcceptDependentJob {
            submission: id,
            cancelled,
        };
        self.request_state(request, Op::Transaction(txn), CLIENT_REQUEST_TIMEOUT);
    }

    /// The write that accepts a job and ends it at once, since a job that it depends on is
    /// cancelled.
    fn store_as_cancelled(&self, spec: &JobSpec, root: &str) -> Transaction {
        let record = JobRecord::new(spec.clone(), self.now.wall, &self.settings.name);
        let mut end = record.finish("cancelled", self.now.wall);
        end.cancelled_with = Some(root.to_owned());
        accept_guards(&spec.uid).set(finished_key(&spec.uid), &end)
    }

    /// The write that accepts a job whose dependencies are live or done.
    fn store_as_live(&self, submission: &Submission) -> Transaction {
        let uid = &submission.spec.uid;
        let mut txn = accept_guards(uid);
        // Of this write and a cancellation in between, the later one sees the other and fails.
        for (dependency, state) in &submission.dependencies {
            if *state == DependencyState::Live {
                txn = txn.require_revision(finished_key(dependency), 0);
            }
        }
        txn.set_raw(live_key(uid), self.new_record(submission.spec.clone()))
    }

    /// Handles the reply to the write that accepts a job with dependencies.
    pub(super) fn dependent_job_accepted(&mut self, id: u64, cancelled: bool, reply: Reply) {
        let Some(mut submission) = self.submissions.remove(id) else {
            return;
        };
        let (conn, uid) = (submission.conn, submission.spec.uid.clone());
        match reply {
            Reply::Applied { .. } if cancelled => {
                self.respond(conn, 201, &json!({"uid": uid, "status": "cancelled"}));
            }
            Reply::Applied { .. } => {
                self.client_requests.add_progress(&uid);
                self.respond(conn, 201, &json!({"uid": uid, "status": "pending"}));
            }
            Reply::Conflict { failed } => {
                let own = [live_key(&uid), finished_key(&uid)];
                if failed.iter().any(|key| own.contains(key)) {
                    self.read_existing_job(conn, uid, false);
                } else if submission.attempts < DEPENDENCY_RETRIES_MAX {
                    submission.attempts += 1;
                    self.read_dependencies(submission);
                } else {
                    self.state_unavailable(conn);
                }
            }
            Reply::Refused(reason) => {
                log::error!("the state service refused a job job={uid} reason={reason}");
                self.respond_error(conn, &ApiError::StateRefusedJob);
            }
            _ => self.state_unavailable(conn),
        }
    }

    /// Reads whether a submission to be refused repeats one that was accepted.
    fn reject_unless_known(&mut self, conn: ConnId, uid: Arc<str>, over: bool, reason: String) {
        let key = job_key(&uid, over);
        let request = StateRequest::ReadBeforeRejecting {
            conn,
            uid,
            finished: over,
            reason,
        };
        self.request_state(request, Op::Get(key), CLIENT_REQUEST_TIMEOUT);
    }

    /// Refuses a submission, unless it repeats one that was accepted.
    pub(super) fn reject_submission(
        &mut self,
        conn: ConnId,
        uid: Arc<str>,
        over: bool,
        reason: String,
        reply: Reply,
    ) {
        match reply {
            Reply::Item(item) => self.respond_stored_state(conn, &uid, over, item),
            Reply::Absent if !over => self.reject_unless_known(conn, uid, true, reason),
            Reply::Absent => self.respond_error(conn, &ApiError::JobRejected(reason)),
            _ => self.state_unavailable(conn),
        }
    }
}
