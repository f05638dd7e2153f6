//! What a controller holds only while it leads, and the leader's share of each tick.
//!
//! [`LeaderState`] is built on election and dropped as a whole on stepping down: nothing of one term
//! is carried over to the next. The loop acts only while the lease is valid and what is known of
//! cancellations is fresh; `refresh_cancellations` decides that in one place for everything the
//! leader does.

use super::Controller;
use super::dependencies::CascadingCancellation;
use super::leader_schedule::LeaderSchedule;
use super::standby::{Failover, LeaderLoad};
use super::state_request::StateRequest;
use crate::accounting::WorkloadAccounting;
use crate::cancellation_freshness::CancellationFreshness;
use crate::clock::{Micros, SECOND};
use crate::cloud::Offer;
use crate::dependency_graph::DependencyGraph;
use crate::job_record::LIVE_PREFIX;
use crate::jobs::JobTable;
use crate::reconciliation::Reconciliation;
use crate::registry::MachineRegistry;
use crate::replica::Checksum;
use crate::scheduler::Scheduler;
use crate::schema::SchemaSupport;
use crate::seeded_hash::HashMap;
use crate::state_client::{Op, RequestPriority};
use crate::worker_ledger::WorkerLedger;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// How long the state service may hold back the answer to a watch while nothing changes.
const WATCH_BLOCK: Micros = 20 * SECOND;

/// What exists only while this node leads.
pub(super) struct LeaderState {
    /// The term, which rises with each election.
    pub(super) term: u64,
    /// Revision of the leader key: the guard of all writes of this leader.
    pub(super) leader_key_revision: u64,
    /// The live jobs, and cancelled ones that may still be on machines.
    pub(super) jobs: JobTable,
    /// Which jobs depend on which.
    pub(super) pipelines: DependencyGraph,
    /// Jobs that are to be cancelled because one that they depend on was.
    pub(super) cascading_cancellations: VecDeque<CascadingCancellation>,
    /// The machines and the attempts they hold.
    pub(super) workers: WorkerLedger,
    /// Chooses which task starts where.
    pub(super) scheduler: Scheduler,
    /// The stored registry of machines.
    pub(super) registry: MachineRegistry,
    /// Revision of the stored schema version.
    pub(super) schema_key_revision: u64,
    /// What each controller has registered that it supports, by name.
    pub(super) schema_support: BTreeMap<String, SchemaSupport>,
    /// Something stored could not be read: nothing is started until all leases of the time it
    /// was loaded have expired.
    pub(super) starts_held_until: Micros,
    /// What has still to be loaded before anything is decided; none once that is done.
    pub(super) load: Option<LeaderLoad>,
    /// The times of this failover.
    pub(super) failover: Failover,
    /// What has been learned from the machines since the election.
    pub(super) reconciliation: Reconciliation,
    /// The log line about the reconciliation was written.
    pub(super) reconciliation_logged: bool,
    /// The store revision up to which changes of the live jobs are known.
    pub(super) jobs_revision: u64,
    /// How old what is known of cancellations is.
    pub(super) cancellation_freshness: CancellationFreshness,
    /// Revisions of the live jobs' keys at `jobs_revision`.
    pub(super) job_revisions: HashMap<Arc<str>, u64>,
    /// The checksum over them that standbys compare with their replicas.
    pub(super) jobs_checksum: Checksum,
    /// When the recurring work is due next.
    pub(super) schedule: LeaderSchedule,
    /// Machines rented by a controller, which are returned when idle.
    pub(super) rented: BTreeSet<Arc<str>>,
    /// Cancellations that other controllers announced before the state service did.
    pub(super) cancellation_hints: u64,
    /// What became of the work so far.
    pub(super) accounting: WorkloadAccounting,
    /// How many machines the waiting work would fill, by offer, the cheapest first.
    pub(super) wanted_machines: Vec<(Offer, u32)>,
    /// When this node was elected.
    pub(super) elected_at: Micros,
    /// When there last was a job or demand for machines.
    pub(super) last_busy_at: Micros,
    /// Since when this node has been entitled to act without a break.
    pub(super) valid_since: Micros,
}

impl Controller {
    /// The leader's share of a tick: everything that is due, in a fixed order.
    pub(super) fn run_leader(&mut self) {
        if self.leader_state.as_ref().is_none_or(|l| l.load.is_some()) {
            return;
        }
        let valid = self.refresh_cancellations();
        self.watch_jobs();
        let now = self.now.steady;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        if !valid {
            leader_state.valid_since = now;
            return;
        }
        if leader_state.schedule.take_maintenance(now) {
            if self.resign_if_fleet_silent() || self.resign_if_numbering_exhausted() {
                return;
            }
            self.run_maintenance();
        }
        self.apply_ledger_events();
        self.read_dependency_outcomes();
        self.cancel_dependents();
        self.place_due_tasks();
        self.apply_ledger_events();
        self.save_due_jobs();
        self.send_due_commands();
    }

    /// Renews what is known of cancellations before it gets too old; false while that is too old
    /// for this node to act as leader. [`Controller::is_leader`] gives everyone the same answer.
    fn refresh_cancellations(&mut self) -> bool {
        let now = self.now.steady;
        let since = self.election.valid_since();
        let Some(leader_state) = &mut self.leader_state else {
            return false;
        };
        if !self.election.is_valid(now) {
            return false;
        }
        let fresh = leader_state.cancellation_freshness.is_fresh(now, since);
        if let Some(line) = leader_state.cancellation_freshness.note_state(now, fresh) {
            log::warn!("{line}");
        }
        if leader_state
            .cancellation_freshness
            .should_refresh(now, since)
        {
            let (term, from) = (leader_state.term, leader_state.jobs_revision);
            let op = Op::Watch {
                prefix: LIVE_PREFIX,
                from,
                block: 0,
            };
            self.request_state(StateRequest::CatchUp { term }, op, 0);
        }
        if self.resign_if_cancellations_stale() {
            return false;
        }
        fresh
    }

    /// Keeps a watch of the live jobs open.
    fn watch_jobs(&mut self) {
        let now = self.now.steady;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        if !leader_state.schedule.take_watch(now) {
            return;
        }
        let (term, from) = (leader_state.term, leader_state.jobs_revision);
        self.state.submit(
            now,
            StateRequest::WatchJobs { term },
            RequestPriority::Leader,
            Op::Watch {
                prefix: LIVE_PREFIX,
                from,
                block: WATCH_BLOCK,
            },
            SECOND,
        );
    }

    /// Makes a placement pass, if one is asked for and may be made.
    fn place_due_tasks(&mut self) {
        let now = self.now.steady;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        if !leader_state.schedule.is_placement_due(now)
            || now < leader_state.starts_held_until
            || self.cloud.types.is_empty()
            || !self.load.may_start_work()
        {
            return;
        }
        let machines = leader_state.workers.machines.len();
        leader_state
            .schedule
            .note_placement_pass(now, machines, self.placement_pass_cost);
        self.placement_pass_ran = true;
        leader_state.failover.note_placement_pass(now);
        let allowance = leader_state
            .reconciliation
            .take_preemption_allowance(now, leader_state.scheduler.completion_rate(now));
        leader_state.scheduler.preemption_allowance = allowance;
        let placed = leader_state.scheduler.place_tasks(
            now,
            self.now.wall,
            &mut leader_state.jobs,
            &mut leader_state.workers,
            &self.cloud.types,
            &self.settings,
        );
        if allowance.is_finite() {
            leader_state
                .reconciliation
                .note_preempted(allowance - leader_state.scheduler.preemption_allowance);
        }
        if !placed.is_empty() {
            leader_state.schedule.request_save();
        }
        for placement in &placed {
            if let Some(job) = leader_state.jobs.by_number.get(&placement.task.job) {
                log::debug!(
                    "task placed task={}/{} attempt={} machine={}",
                    job.spec.uid,
                    placement.task.index,
                    placement.attempt,
                    placement.machine
                );
            }
        }
    }

    fn save_due_jobs(&mut self) {
        let now = self.now.steady;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let jobs = leader_state.jobs.by_number.len();
        if leader_state.schedule.take_save(now, jobs) {
            self.save_jobs();
        }
    }

    fn send_due_commands(&mut self) {
        let now = self.now.steady;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        leader_state.workers.loop_lag = self.load.lag();
        leader_state
            .workers
            .send_due(now, &mut self.tickets, &mut self.outputs);
    }
}
