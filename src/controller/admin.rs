//! The read-only API for operators: the paths below `/inspect`.
//!
//! Only the leader can answer requests about workers and jobs; the other nodes forward such requests
//! to it and return its answer.

use super::Controller;
use super::api_error::ApiError;
use super::leader::LeaderState;
use super::peer_links::{PeerCallPurpose, PeerRequest};
use super::schema_migration::PROGRAM_VERSION;
use crate::admin_client::PAGE_QUERY_PREFIX;
use crate::clock::MILLISECOND;
use crate::jobs::Job;
use crate::messages::{ConnId, Outcome};
use crate::scheduler::heartbeat_grace_period;
use crate::schema::SCHEMA_VERSION;
use crate::wire::{FRAME_PAYLOAD_BYTES_MAX, KIND_ADMIN_QUERY};
use crate::worker_ledger::Machine;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::ops::Bound;

/// Maximum size of the rows on a page. A page stays below the longest line of an answer and far below
/// the size of a frame, and takes the leader little time.
const PAGE_BYTES: usize = 56 * 1024;

/// Takes the rows that fit on a page. Also returns the last key on the page if there are more rows:
/// the next page begins after it.
fn take_page<'a>(
    rows: impl Iterator<Item = (&'a str, Value)>,
) -> (Vec<(&'a str, Value)>, Option<&'a str>) {
    let mut page = Vec::new();
    let mut bytes = 0;
    for (key, row) in rows {
        bytes += key.len() + row.to_string().len();
        // A row that exceeds the page size gets a page of its own.
        if bytes > PAGE_BYTES && !page.is_empty() {
            let last_key = page.last().map(|(key, _)| *key);
            return (page, last_key);
        }
        page.push((key, row));
    }
    (page, None)
}

impl Controller {
    /// Routes a request below `/inspect`; `segments` are the path segments after that prefix.
    pub(super) fn handle_admin_request(&mut self, conn: ConnId, segments: &[&str], query: &str) {
        let after = query.strip_prefix(PAGE_QUERY_PREFIX).unwrap_or("");
        match segments {
            ["job", uid] => {
                self.read_inspected_job(conn, (*uid).into(), false);
            }
            ["status" | "workers" | "jobs"] | ["workers" | "jobs", _] => {
                if self.leader_state.is_some() || segments == ["status"] {
                    let body = self.admin_report(segments, after);
                    return self.respond(conn, 200, &body);
                }
                let leader = self.election.leader().map(|record| record.node.clone());
                let peer = leader.and_then(|name| self.peer_links.peer_named(&name));
                let Some(peer) = peer else {
                    return self.respond_error(conn, &ApiError::NoLeader);
                };
                let dest = peer.address;
                self.call_peer(
                    dest,
                    PeerCallPurpose::AdminQuery { conn },
                    PeerRequest::new(
                        KIND_ADMIN_QUERY,
                        segments.join("/"),
                        after.as_bytes().to_vec(),
                    ),
                );
            }
            _ => self.respond_error(conn, &ApiError::NoSuchInspection),
        }
    }

    /// Answers with the stored record of a job in `body`, and adds what the leader knows about the
    /// job and its dependencies.
    pub(super) fn respond_job_details(&mut self, conn: ConnId, uid: &str, mut body: Value) {
        if self.is_leader() {
            body["leader"] = self.admin_report(&["chain", uid], "");
            return self.respond(conn, 200, &body);
        }
        let Some(dest) = self.leader_peer().map(|peer| peer.address) else {
            return self.respond(conn, 200, &body);
        };
        self.call_peer(
            dest,
            PeerCallPurpose::DependencyQuery { conn, body },
            PeerRequest::new(KIND_ADMIN_QUERY, format!("chain/{uid}"), Vec::new()),
        );
    }

    /// The answer to an operator's request that another controller forwarded; `path` is the path
    /// below `/inspect`. The body of the frame is `after`, the key after which a page of a list
    /// begins; the previous program version ignores it and answers with the whole list.
    pub(super) fn proxied_admin_report(&self, path: &str, after: &[u8]) -> Outcome {
        let after = std::str::from_utf8(after).unwrap_or("");
        let body = self.admin_report(&path.split('/').collect::<Vec<_>>(), after);
        let (status, body) = match body.to_string() {
            text if text.len() <= FRAME_PAYLOAD_BYTES_MAX => (200, text),
            text => {
                let bytes = text.len();
                log::error!(
                    "answer to an operator exceeds the frame size about={path} bytes={bytes} max={FRAME_PAYLOAD_BYTES_MAX}"
                );
                let error = "the answer does not fit a frame between controllers: ask the leader";
                (500, json!({ "error": error }).to_string())
            }
        };
        Outcome::Reply {
            status,
            body: body.into_bytes(),
        }
    }

    /// This node's answer to an operator's request. For a list, this is the page that begins after
    /// the key `after`.
    pub(super) fn admin_report(&self, segments: &[&str], after: &str) -> Value {
        let Some(leader_state) = self
            .leader_state
            .as_ref()
            .filter(|_| segments != ["status"])
        else {
            return self.inspect_status();
        };
        if let ["chain", uid] = segments {
            return self.inspect_dependencies(uid);
        }
        let only = segments.get(1).copied();
        if segments.first() == Some(&"jobs") {
            return self.inspect_jobs(leader_state, only, after);
        }
        self.inspect_workers(leader_state, only, after)
    }

    /// A page of the tasks on each machine according to the leader's ledger, for all machines or
    /// only one.
    fn inspect_workers(
        &self,
        leader_state: &LeaderState,
        only: Option<&str>,
        after: &str,
    ) -> Value {
        let from = (Bound::Excluded(after), Bound::Unbounded);
        let machines = leader_state.workers.machines.range::<str, _>(from);
        let machines = machines.filter(|(id, _)| only.is_none_or(|only| only == &***id));
        let (machines, next) =
            take_page(machines.map(|(id, machine)| (&**id, self.inspect_machine(machine))));
        let machines: BTreeMap<&str, Value> = machines.into_iter().collect();
        let mut body =
            json!({"leader": self.settings.name, "term": leader_state.term, "workers": machines});
        if let Some(next) = next {
            body["next"] = json!(next);
        }
        body
    }

    fn inspect_machine(&self, machine: &Machine) -> Value {
        let now = self.now.steady;
        let tasks: Vec<Value> = machine
            .tasks
            .iter()
            .map(|((task, attempt), entry)| {
                json!({"task": format!("{}/{}", entry.uid, task.index), "attempt": attempt,
                       "state": entry.state.as_str(), "halting": entry.is_stopping(), "cause": entry.cause})
            })
            .collect();
        let silent_ms = now.saturating_sub(machine.last_seen_at) / MILLISECOND;
        json!({"type": machine.machine_type, "zone": machine.zone, "spot": machine.spot, "session": machine.agent_epoch,
               "heard": machine.term_confirmed, "in_doubt": machine.is_in_doubt(), "silent_ms": silent_ms,
               "quarantined": machine.quarantined_until > now,
               "held_for": machine.unavailable_reason_name(now, heartbeat_grace_period(&self.settings)),
               "notice": machine.reclaim_at.is_some(), "tasks": tasks})
    }

    /// The state of this node and, if it leads, of the fleet.
    fn inspect_status(&self) -> Value {
        let now = self.now.steady;
        let leader = self.election.leader();
        let (unanswered_jobs, longest_unanswered) = self.client_requests.worst_starvation(now);
        json!({
            "node": self.settings.name,
            "leader": leader.map(|record| record.node.clone()),
            "term": leader.map(|record| record.term),
            "leads": self.is_leader(),
            "jobs": self.leader_state.as_ref().map(|l| l.jobs.by_number.len()),
            "machines": self.leader_state.as_ref().map(|l| l.workers.machines.len()),
            "booting": self.cloud.booting.len(),
            "types": self.cloud.types.len(),
            "may_act_for_ms": self.election.lease_time_left(now) / MILLISECOND,
            "cancellations_known_ms_ago": self.leader_state.as_ref().map(|l| l.cancellation_freshness.age(now) / MILLISECOND),
            "cancellations_hinted": self.leader_state.as_ref().map(|l| l.cancellation_hints),
            "silent_for_age_of_knowledge": self.leader_state.as_ref().map(|l| l.cancellation_freshness.stale_periods),
            "state_service_fails": self.state.is_failing(),
            "cut_off": self.is_isolated(),
            "jobs_without_answer": unanswered_jobs,
            "longest_without_answer_ms": longest_unanswered / MILLISECOND,
            "machines_held": self.leader_state.as_ref().map(|l| self.count_unavailable_machines(l)),
            "repeated_starts": self.leader_state.as_ref().map(|l| l.workers.repeated_starts),
            "silent_machines": self.leader_state.as_ref().map(|l| l.workers.count_silent(now)),
            "lag_ms": self.load.lag() / MILLISECOND,
            "worst_lag_ms": self.load.worst_lag / MILLISECOND,
            "shedding": self.load.shed_level().to_string(),
            "following": self.inspect_standby(),
            "stalls": self.stall_count,
            "last_stall_ms": self.last_stall_duration / MILLISECOND,
            "version": PROGRAM_VERSION,
            "format_known": SCHEMA_VERSION,
            "format_stored": self.schema_migration.version(),
            "controllers": self.leader_state.as_ref().map(|l| &l.schema_support),
            "missing_for_next_format": self.leader_state.as_ref().filter(|_| !self.schema_migration.is_complete()).map(|_| self.controllers_without_support()),
            "recovery": self.leader_state.as_ref().map(|l| json!({"phase": l.reconciliation.phase(now), "waits_for": l.reconciliation.waiting_for(now),
                "squared": l.workers.reconciliation_counts})),
            "work": self.leader_state.as_ref().map(|l| &l.accounting),
            "jobs_waiting_for_others": self.leader_state.as_ref().map(|l| l.dependency_graph.len()),
        })
    }

    /// How many machines can't take new tasks, by reason.
    fn count_unavailable_machines(
        &self,
        leader_state: &LeaderState,
    ) -> BTreeMap<&'static str, usize> {
        let (now, heartbeat_grace_period) =
            (self.now.steady, heartbeat_grace_period(&self.settings));
        let mut counts = BTreeMap::new();
        for machine in leader_state.workers.machines.values() {
            if let Some(reason) = machine.unavailable_reason_name(now, heartbeat_grace_period) {
                *counts.entry(reason).or_default() += 1;
            }
        }
        counts
    }

    /// Why tasks of this job wait: because of the state of this leader, or else for a reason that the
    /// scheduler gives.
    pub(super) fn wait_reason(
        &self,
        leader_state: &LeaderState,
        job: &Job,
    ) -> Option<&'static str> {
        let now = self.now.steady;
        let settings = &self.settings;
        let scheduler_reason = leader_state.scheduler.wait_reason(
            now,
            job,
            &leader_state.workers,
            &self.cloud.types,
            settings,
        )?;
        if job.cancelled || job.waits_for_dependencies() {
            return Some(scheduler_reason);
        }
        Some(if !self.is_leader() {
            "this controller may not act as leader at the moment"
        } else if now < leader_state.starts_held_until {
            "something stored can't be read: nothing starts until all leases of the takeover are over"
        } else if !self.load.may_start_work() {
            "the leader is behind and starts nothing new"
        } else {
            scheduler_reason
        })
    }

    /// A page of the live jobs in the leader's state, of all teams or only one.
    fn inspect_jobs(&self, leader_state: &LeaderState, team: Option<&str>, after: &str) -> Value {
        let jobs = leader_state.jobs.by_number.values();
        let jobs = jobs.filter(|job| team.is_none_or(|team| team == &*job.spec.team));
        let mut jobs: Vec<&Job> = jobs.filter(|job| &*job.spec.uid > after).collect();
        // Sorted by id, since each leader numbers the jobs itself and the leader may change between
        // two pages.
        jobs.sort_unstable_by_key(|job| &job.spec.uid);
        let rows = jobs.into_iter().map(|job| {
            let row = json!({"uid": job.spec.uid, "team": job.spec.team, "class": job.spec.class,
                "accepted_by": job.accepted_by, "tasks": job.spec.tasks,
                "done": job.spec.tasks - job.remaining_tasks(), "placed": job.placements.len(),
                "waiting": job.pending_count, "waits_because": self.wait_reason(leader_state, job),
                "cancelled": job.cancelled, "failing": !job.failures_by_machine.is_empty()});
            (&*job.spec.uid, row)
        });
        let (rows, next) = take_page(rows);
        let rows: Vec<Value> = rows.into_iter().map(|(_, row)| row).collect();
        let mut body = json!({"leader": self.settings.name, "term": leader_state.term,
            "leads": self.is_leader(), "jobs": rows});
        if let Some(next) = next {
            body["next"] = json!(next);
        }
        body
    }
}
