//! The state that a controller has only while it is the leader, and the leader's part of each tick.
//!
//! [`LeaderState`] is created on election and dropped as a whole on stepping down: no state of one
//! term is carried over to the next. The leader acts only while its lease is valid and its knowledge
//! of cancellations is fresh; `refresh_cancellations` decides that in one place for all its work.

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

/// How long the state service may keep a watch open while nothing changes.
const WATCH_BLOCK: Micros = 20 * SECOND;

/// The state of the leader for one term, from its election to the end of its leadership.
pub(super) struct LeaderState {
    /// The leader's term; each election has a higher one.
    pub(super) term: u64,
    /// Revision of the leader key; a precondition of all writes of this leader.
    pub(super) leader_key_revision: u64,
    /// The live jobs, and the cancelled jobs whose tasks may still be on machines.
    pub(super) jobs: JobTable,
    /// The jobs that wait for other jobs, and their dependencies.
    pub(super) dependency_graph: DependencyGraph,
    /// Jobs that have to be cancelled because a job that they depend on was cancelled.
    pub(super) cascading_cancellations: VecDeque<CascadingCancellation>,
    /// The machines, and the task attempts on each.
    pub(super) workers: WorkerLedger,
    /// Decides which task starts on which machine.
    pub(super) scheduler: Scheduler,
    /// The machine registry as stored, and its pending writes.
    pub(super) registry: MachineRegistry,
    /// Revision of the key that holds the stored schema version.
    pub(super) schema_key_revision: u64,
    /// The schema versions that each controller has registered as supported, by controller name.
    pub(super) schema_support: BTreeMap<String, SchemaSupport>,
    /// No task starts before this time. Set if a stored record could not be read, to the time by
    /// which all worker leases that existed during the load have expired.
    pub(super) starts_held_until: Micros,
    /// The load of this state while it is under way; the leader makes no decision until it is
    /// complete (`None`).
    pub(super) pending_load: Option<LeaderLoad>,
    /// The times and counts of this leader's failover.
    pub(super) failover: Failover,
    /// The progress of the reconciliation with the machines since the election.
    pub(super) reconciliation: Reconciliation,
    /// Whether the end of the reconciliation was logged.
    pub(super) reconciliation_logged: bool,
    /// The store revision up to which all changes of the live jobs are applied.
    pub(super) jobs_revision: u64,
    /// How recent this leader's knowledge of cancellations is.
    pub(super) cancellation_freshness: CancellationFreshness,
    /// Revisions of the live jobs' keys at `jobs_revision`.
    pub(super) job_revisions: HashMap<Arc<str>, u64>,
    /// The checksum over `job_revisions`, which standbys compare with that of their replicas.
    pub(super) jobs_checksum: Checksum,
    /// The times at which recurring work is due.
    pub(super) schedule: LeaderSchedule,
    /// Machines rented by a controller, which are returned when idle.
    pub(super) rented_machines: BTreeSet<Arc<str>>,
    /// Number of cancellations that another controller announced before the watch reported them.
    pub(super) cancellation_hints: u64,
    /// Counts of accepted work and of task outcomes in this term.
    pub(super) accounting: WorkloadAccounting,
    /// The number of machines that the waiting work would fill, by cloud offer, the cheapest first.
    pub(super) wanted_machines: Vec<(Offer, u32)>,
    /// When this node was elected.
    pub(super) elected_at: Micros,
    /// When there was last a job or demand for machines.
    pub(super) last_busy_at: Micros,
    /// The time since when this leader has been allowed to act without interruption.
    pub(super) valid_since: Micros,
}

impl Controller {
    /// The leader's part of a tick: does all work that is due, in a fixed order.
    pub(super) fn run_leader(&mut self) {
        if self
            .leader_state
            .as_ref()
            .is_none_or(|l| l.pending_load.is_some())
        {
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

    /// Reads the changes of the live jobs before the knowledge of cancellations becomes stale.
    /// Returns whether the lease is valid and that knowledge is fresh, so that the leader may act;
    /// [`Controller::is_leader`] uses the same rule.
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
            self.request_state(StateRequest::ReadJobChanges { term }, op, 0);
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

    /// Runs a placement pass if one is due and the leader may start tasks.
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
            if let Some(job) = leader_state.jobs.by_number.get(&placement.key.job) {
                log::debug!(
                    "task placed task={}/{} attempt={} machine={}",
                    job.spec.uid,
                    placement.key.index,
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
