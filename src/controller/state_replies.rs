//! What the state service answers, to those that asked.

use super::{CLIENT_REQUEST_TIMEOUT, Controller, StateRequest};
use crate::clock::{Micros, SECOND};
use crate::election::{ElectionStep, LeadershipChange};
use crate::job_record::{finished_key, live_key};
use crate::registry::WriteResult;
use crate::state_client::{Op, Reply};
use serde_json::json;

const CANCEL_RETRIES_MAX: u32 = 8;

impl Controller {
    pub(super) fn handle_state_reply(&mut self, purpose: StateRequest, reply: Reply, sent: Micros) {
        let now = self.now.steady;
        if !matches!(
            purpose,
            StateRequest::WatchJobs { .. }
                | StateRequest::Election(
                    ElectionStep::WatchLeaderKey | ElectionStep::ReadLeaderKey
                )
        ) && !matches!(reply, Reply::Unavailable | Reply::Lost)
        {
            self.election.note_answer_time(now.saturating_sub(sent));
        }
        match purpose {
            StateRequest::Election(step) => {
                let (ops, change) = self.election.handle_reply(now, step, reply, sent);
                for (step, op) in ops {
                    self.request_state(StateRequest::Election(step), op, SECOND);
                }
                match change {
                    Some(LeadershipChange::Acquired { term, mod_revision }) => {
                        self.become_leader(term, mod_revision, sent)
                    }
                    Some(LeadershipChange::Lost) => self.step_down(),
                    None => {}
                }
            }
            StateRequest::AcceptJob { conn, uid } => match reply {
                Reply::Applied { .. } => {
                    self.client_requests.add_progress(&uid);
                    self.respond(conn, 201, &json!({"uid": uid, "status": "pending"}));
                }
                Reply::Conflict { .. } => {
                    self.request_state(
                        StateRequest::ReadExistingJob {
                            conn,
                            uid: uid.clone(),
                            over: false,
                        },
                        Op::Get(live_key(&uid)),
                        CLIENT_REQUEST_TIMEOUT,
                    );
                }
                Reply::Refused(reason) => {
                    log::error!("the state service refused job {uid}: {reason}");
                    self.respond_error(conn, 503, "the state service refused the job");
                }
                _ => self.state_unavailable(conn),
            },
            StateRequest::ReadExistingJob { conn, uid, over }
            | StateRequest::PollJob { conn, uid, over }
                if matches!(reply, Reply::Item(_)) =>
            {
                if let Reply::Item(item) = reply {
                    self.client_requests.note_answer(&uid);
                    self.respond_stored_state(conn, &uid, over, item);
                }
            }
            StateRequest::ReadExistingJob { conn, uid, over } => match reply {
                Reply::Absent if !over => {
                    self.request_state(
                        StateRequest::ReadExistingJob {
                            conn,
                            uid: uid.clone(),
                            over: true,
                        },
                        Op::Get(finished_key(&uid)),
                        CLIENT_REQUEST_TIMEOUT,
                    );
                }
                _ => self.state_unavailable(conn),
            },
            StateRequest::PollJob { conn, uid, over } => match reply {
                Reply::Absent if over => {
                    self.client_requests.note_answer(&uid);
                    self.respond_error(conn, 404, "no such job");
                }
                // Live first, then over: a job moves only in that direction.
                Reply::Absent => self.read_for_poll(conn, uid, true),
                _ => self.poll_failed(conn, &uid),
            },
            StateRequest::CheckFinished { polls } => self.polls_checked(polls, &reply),
            StateRequest::ReadForCancel {
                conn,
                uid,
                over,
                tries,
            } => self.cancel_job_read(conn, uid, over, tries, reply),
            StateRequest::WriteCancel {
                conn,
                uid,
                tries,
                body,
            } => match reply {
                Reply::Applied { .. } => {
                    self.client_requests.cache_final_state(&uid, body.clone());
                    // A leader needs no watch to tell it what it wrote itself.
                    if let Some(leader_state) = &mut self.leader_state {
                        Self::mark_cancelled(leader_state, &uid);
                        self.apply_ledger_events();
                    } else {
                        self.announce_cancellation(&uid);
                    }
                    self.respond(conn, 200, &body);
                }
                Reply::Conflict { .. } if tries < CANCEL_RETRIES_MAX => {
                    let again = StateRequest::ReadForCancel {
                        conn,
                        uid: uid.clone(),
                        over: false,
                        tries: tries + 1,
                    };
                    self.request_state(again, Op::Get(live_key(&uid)), CLIENT_REQUEST_TIMEOUT);
                }
                _ => self.state_unavailable(conn),
            },
            StateRequest::InspectJob { conn, uid, over } => match reply {
                Reply::Item(item) => self.respond_job_details(
                    conn,
                    &uid,
                    json!({"key": item.path, "stamp": item.mod_revision, "record": item.value}),
                ),
                Reply::Absent if !over => {
                    self.request_state(
                        StateRequest::InspectJob {
                            conn,
                            uid: uid.clone(),
                            over: true,
                        },
                        Op::Get(finished_key(&uid)),
                        CLIENT_REQUEST_TIMEOUT,
                    );
                }
                Reply::Absent => self.respond_error(conn, 404, "no such job"),
                _ => self.state_unavailable(conn),
            },
            StateRequest::ReadSchemaVersion => self.schema_version_read(reply),
            StateRequest::ReadMachineTypes => self.machine_types_read(reply),
            StateRequest::StoreMachineTypes => self.machine_types_stored(&reply),
            StateRequest::ReadOwnSchemaSupport => self.register_schema_support(reply),
            StateRequest::WriteOwnSchemaSupport => self.schema_support_registered(&reply),
            StateRequest::ReadDependency {
                submission,
                uid,
                over,
            } => self.dependency_read(submission, uid, over, reply),
            StateRequest::AcceptDependentJob {
                submission,
                cancelled,
            } => self.dependent_job_accepted(submission, cancelled, reply),
            StateRequest::ReadBeforeRejecting {
                conn,
                uid,
                over,
                reason,
            } => self.reject_submission(conn, uid, over, reason, reply),
            StateRequest::ReadSchemaSupport { term } if self.is_current_term(term) => {
                self.schema_support_read(reply)
            }
            StateRequest::RaiseSchemaVersion { term } if self.is_current_term(term) => {
                self.schema_version_raised(&reply)
            }
            StateRequest::ReadDependencyOutcome { term, uid } if self.is_current_term(term) => {
                self.dependency_outcome_read(&uid, reply)
            }
            StateRequest::CancelDependents { term, items } if self.is_current_term(term) => {
                self.dependents_cancelled(items, &reply)
            }
            StateRequest::ListChunks { term } if self.is_current_term(term) => {
                self.delete_orphan_chunks(reply)
            }
            StateRequest::DeleteRegistryPage { term, key } if self.is_current_term(term) => {
                let result = Self::write_result(&key, &reply);
                let Some(leader_state) = &mut self.leader_state else {
                    return;
                };
                leader_state
                    .registry
                    .page_deleted(&key, &result, &mut leader_state.workers);
            }
            StateRequest::ReadReplica { round, want } => self.replica_answered(round, want, reply),
            StateRequest::WatchJobs { term } if self.is_current_term(term) => {
                self.jobs_watch_answered(reply, sent)
            }
            StateRequest::CatchUp { term } if self.is_current_term(term) => {
                self.caught_up(reply, sent)
            }
            StateRequest::SaveJobs { term, items } if self.is_current_term(term) => {
                self.jobs_saved(items, reply)
            }
            StateRequest::RereadJob { term, uid, over } if self.is_current_term(term) => {
                self.job_reread(&uid, over, reply)
            }
            StateRequest::WriteRegistryPage { term, key, written }
                if self.is_current_term(term) =>
            {
                let result = Self::write_result(&key, &reply);
                let Some(leader_state) = &mut self.leader_state else {
                    return;
                };
                leader_state.registry.page_written(
                    now,
                    &key,
                    written,
                    &result,
                    &mut leader_state.workers,
                );
                leader_state.schedule.request_placement_by(now);
            }
            StateRequest::ReadRegistryPage { term, key } if self.is_current_term(term) => {
                let Some(leader_state) = &mut self.leader_state else {
                    return;
                };
                let mod_revision = match reply {
                    Reply::Item(item) => Some(item.mod_revision),
                    Reply::Absent => Some(0),
                    _ => None,
                };
                leader_state.registry.page_read(now, &key, mod_revision);
            }
            StateRequest::ForgetCancelledJob { term, uid } if self.is_current_term(term) => {
                let Some(leader_state) = &mut self.leader_state else {
                    return;
                };
                if matches!(reply, Reply::Applied { .. }) {
                    leader_state.jobs.remove(&uid);
                } else if let Some(job) = leader_state.jobs.get_mut(&uid) {
                    job.save_in_flight = false;
                }
            }
            // Of a term that is over.
            _ => {}
        }
    }

    pub(super) fn write_result(key: &String, reply: &Reply) -> WriteResult {
        match reply {
            Reply::Applied { revision } => WriteResult::Applied(*revision),
            Reply::Unavailable => WriteResult::NotApplied,
            Reply::Conflict { failed } if !failed.contains(key) => WriteResult::NotApplied,
            _ => WriteResult::Unknown,
        }
    }

    pub(super) fn is_current_term(&self, term: u64) -> bool {
        self.leader_state.as_ref().is_some_and(|l| l.term == term)
    }
}
