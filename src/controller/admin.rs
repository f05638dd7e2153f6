//! What operators may inspect: the paths below `/inspect`.
//!
//! Everything here only reads. Questions about workers and jobs are answered by the leader; another
//! node passes them on to it and returns its answer.

use super::Controller;
use super::api_error::ApiError;
use super::leader::LeaderState;
use super::peer_links::{PeerCallPurpose, PeerRequest};
use super::schema_migration::PROGRAM_VERSION;
use crate::clock::MILLISECOND;
use crate::jobs::Job;
use crate::messages::ConnId;
use crate::scheduler::silence_limit;
use crate::schema::SCHEMA_VERSION;
use crate::wire::KIND_ADMIN_QUERY;
use serde_json::{Value, json};
use std::collections::BTreeMap;

impl Controller {
    /// Routes a request below `/inspect`.
    pub(super) fn handle_admin_request(&mut self, conn: ConnId, rest: &[&str]) {
        match rest {
            ["job", uid] => {
                self.read_inspected_job(conn, (*uid).into(), false);
            }
            ["status" | "workers" | "jobs"] | ["workers" | "jobs", _] => {
                if self.leader_state.is_some() || rest == ["status"] {
                    let body = self.admin_report(rest);
                    return self.respond(conn, 200, &body);
                }
                let leader = self.election.leader().map(|r| r.node.clone());
                let peer = leader.and_then(|name| self.peer_links.peer_named(&name));
                let Some(peer) = peer else {
                    return self.respond_error(conn, &ApiError::NoLeader);
                };
                let dest = peer.address;
                self.call_peer(
                    dest,
                    PeerCallPurpose::AdminQuery { conn },
                    PeerRequest::new(KIND_ADMIN_QUERY, rest.join("/"), Vec::new()),
                );
            }
            _ => self.respond_error(conn, &ApiError::NoSuchInspection),
        }
    }

    /// Adds what the leader knows of a live job to what is stored of it.
    pub(super) fn respond_job_details(&mut self, conn: ConnId, uid: &str, mut body: Value) {
        if self.is_leader() {
            body["leader"] = self.admin_report(&["chain", uid]);
            return self.respond(conn, 200, &body);
        }
        let Some(dest) = self.leader_peer().map(|p| p.address) else {
            return self.respond(conn, 200, &body);
        };
        self.call_peer(
            dest,
            PeerCallPurpose::DependencyQuery { conn, body },
            PeerRequest::new(KIND_ADMIN_QUERY, format!("chain/{uid}"), Vec::new()),
        );
    }

    /// What this node answers to an operator's question, whoever passes it on.
    pub(super) fn admin_report(&self, rest: &[&str]) -> Value {
        let t = self.now.steady;
        let Some(leader_state) = self.leader_state.as_ref().filter(|_| rest != ["status"]) else {
            return self.inspect_status();
        };
        if let ["chain", uid] = rest {
            return self.inspect_dependencies(uid);
        }
        if rest.first() == Some(&"jobs") {
            return self.inspect_jobs(leader_state, rest.get(1).copied());
        }
        let silence_limit = silence_limit(&self.settings);
        let only = rest.get(1);
        let machines: BTreeMap<&str, Value> = leader_state
            .workers
            .machines
            .values()
            .filter(|m| only.is_none_or(|o| *o == &*m.id))
            .take(200)
            .map(|m| {
                let tasks: Vec<Value> = m
                    .tasks
                    .iter()
                    .map(|((k, a), e)| {
                        json!({"task": format!("{}/{}", e.uid, k.index), "attempt": a, "state": format!("{:?}", e.state),
                               "halting": e.is_stopping(), "cause": e.cause})
                    })
                    .collect();
                let silent_ms = t.saturating_sub(m.last_seen_at) / MILLISECOND;
                let body = json!({"type": m.machine_type, "zone": m.zone, "spot": m.spot, "session": m.agent_epoch,
                    "heard": m.term_confirmed, "in_doubt": m.is_in_doubt(), "silent_ms": silent_ms, "quarantined": m.quarantined_until > t,
                    "held_for": m.unavailable_reason(t, silence_limit),
                    "notice": m.reclaim_at.is_some(), "tasks": tasks});
                (&*m.id, body)
            })
            .collect();
        json!({"leader": self.settings.name, "term": leader_state.term, "workers": machines})
    }

    /// The state of this node, and, if it leads, of the fleet.
    fn inspect_status(&self) -> Value {
        let t = self.now.steady;
        let leader = self.election.leader();
        let (unanswered, longest) = self.client_requests.worst_starvation(t);
        json!({
            "node": self.settings.name,
            "leader": leader.map(|r| r.node.clone()),
            "term": leader.map(|r| r.term),
            "leads": self.is_leader(),
            "jobs": self.leader_state.as_ref().map(|l| l.jobs.by_number.len()),
            "machines": self.leader_state.as_ref().map(|l| l.workers.machines.len()),
            "booting": self.cloud.booting.len(),
            "types": self.cloud.types.len(),
            "may_act_for_ms": self.election.valid_for(t) / MILLISECOND,
            "cancellations_known_ms_ago": self.leader_state.as_ref().map(|l| l.cancellation_freshness.age(t) / MILLISECOND),
            "cancellations_hinted": self.leader_state.as_ref().map(|l| l.cancellation_hints),
            "silent_for_age_of_knowledge": self.leader_state.as_ref().map(|l| l.cancellation_freshness.stale_periods),
            "state_service_fails": self.state.is_failing(),
            "cut_off": self.is_isolated(),
            "jobs_without_answer": unanswered,
            "longest_without_answer_ms": longest / MILLISECOND,
            "machines_held": self.leader_state.as_ref().map(|l| self.count_unavailable_machines(l)),
            "silent_machines": self.leader_state.as_ref().map(|l| l.workers.count_silent(t)),
            "lag_ms": self.load.lag() / MILLISECOND,
            "worst_lag_ms": self.load.worst_lag / MILLISECOND,
            "shedding": format!("{:?}", self.load.shed_level()).to_lowercase(),
            "following": self.inspect_standby(),
            "stalls": self.stalls,
            "last_stall_ms": self.last_stall / MILLISECOND,
            "version": PROGRAM_VERSION,
            "format_known": SCHEMA_VERSION,
            "format_stored": self.schema_migration.version(),
            "controllers": self.leader_state.as_ref().map(|l| &l.schema_support),
            "missing_for_next_format": self.leader_state.as_ref().filter(|_| !self.schema_migration.is_complete()).map(|_| self.controllers_without_support()),
            "recovery": self.leader_state.as_ref().map(|l| json!({"phase": l.reconciliation.phase(t), "waits_for": l.reconciliation.waiting_for(t),
                "squared": l.workers.reconciled})),
            "work": self.leader_state.as_ref().map(|l| &l.accounting),
            "jobs_waiting_for_others": self.leader_state.as_ref().map(|l| l.pipelines.len()),
        })
    }

    /// How many machines may take no new tasks, by the reason.
    fn count_unavailable_machines(
        &self,
        leader_state: &LeaderState,
    ) -> BTreeMap<&'static str, usize> {
        let (t, silence_limit) = (self.now.steady, silence_limit(&self.settings));
        let mut held = BTreeMap::new();
        for m in leader_state.workers.machines.values() {
            if let Some(reason) = m.unavailable_reason(t, silence_limit) {
                *held.entry(reason).or_default() += 1;
            }
        }
        held
    }

    /// Why tasks of that job wait: for something about this leader, or about the job.
    pub(super) fn wait_reason(
        &self,
        leader_state: &LeaderState,
        job: &Job,
    ) -> Option<&'static str> {
        let t = self.now.steady;
        let settings = &self.settings;
        let why = leader_state.scheduler.wait_reason(
            t,
            job,
            &leader_state.workers,
            &self.cloud.types,
            settings,
        )?;
        if job.cancelled || job.waits_for_dependencies() {
            return Some(why);
        }
        Some(if !self.is_leader() {
            "this controller may not act as leader at the moment"
        } else if t < leader_state.starts_held_until {
            "something stored can't be read: nothing starts until all leases of the takeover are over"
        } else if !self.load.may_start_work() {
            "the leader is behind and starts nothing new"
        } else {
            why
        })
    }

    /// The live jobs that this leader believes it holds, of all teams or of one.
    fn inspect_jobs(&self, leader_state: &LeaderState, team: Option<&str>) -> Value {
        let jobs = leader_state.jobs.by_number.values();
        let jobs = jobs.filter(|j| team.is_none_or(|t| t == &*j.spec.team));
        let rows: Vec<Value> = jobs
            .map(|j| {
                json!({"uid": j.spec.uid, "team": j.spec.team, "class": j.spec.class, "accepted_by": j.accepted_by,
                       "tasks": j.spec.tasks, "done": j.spec.tasks - j.remaining_tasks(), "placed": j.placements.len(),
                       "waiting": j.pending_count, "waits_because": self.wait_reason(leader_state, j), "cancelled": j.cancelled, "failing": !j.errors.is_empty()})
            })
            .collect();
        json!({"leader": self.settings.name, "term": leader_state.term, "leads": self.is_leader(), "jobs": rows})
    }
}
