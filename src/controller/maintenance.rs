//! Periodic work that the leader does a few times a second.
//!
//! It runs only while this node may act as leader, in a fixed order: first it expires leases and
//! marks silent machines, then it does the work that depends on the result.

use super::leader::LeaderState;
use super::state_request::StateRequest;
use super::{Controller, LEADER_REQUEST_TIMEOUT};
use crate::accounting::StopReason;
use crate::clock::{Micros, SECOND, from_secs};
use crate::cloud::CloudClient;
use crate::election::LEADER_KEY;
use crate::job_record::stopping_key;
use crate::registry::RegistryRequest;
use crate::schema::chunk_key;
use crate::state_client::{Op, RequestPriority, Transaction};
use crate::worker_ledger::TaskState;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The log counts a machine as unusable after this time without a heartbeat.
const UNUSABLE_SILENCE: Micros = 10 * SECOND;
/// A task that saves checkpoints is stopped this long before its machine is reclaimed, in addition
/// to the time that saving takes.
const CHECKPOINT_MARGIN: Micros = 5 * SECOND;

impl Controller {
    /// Runs the periodic work of the leader.
    pub(super) fn run_maintenance(&mut self) {
        let now = self.now.steady;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        // Both steps visit all machines, and neither needs to run more than once a second.
        let machines = leader_state.workers.machines.len();
        if leader_state.schedule.take_fleet_scan(now, machines) {
            leader_state.workers.expire_leases(now);
            leader_state
                .workers
                .mark_silent_machines(self.now, leader_state.valid_since);
        }
        if leader_state
            .scheduler
            .end_round_if_due(now, &self.cloud.types)
        {
            Self::log_cluster_usage(leader_state, &self.cloud, now);
            let used: BTreeSet<u32> = leader_state
                .workers
                .machines
                .values()
                .flat_map(|machine| machine.tasks.keys().map(|(task, _)| task.job))
                .collect();
            leader_state.jobs.prune(|number| used.contains(&number));
        }
        for job in leader_state
            .jobs
            .by_number
            .values()
            .filter(|job| job.cancelled)
        {
            Self::stop_all_tasks(&mut leader_state.workers, job);
            Self::acknowledge_all_attempts(&mut leader_state.workers, job);
        }
        self.apply_ledger_events();
        self.track_failover();
        self.share_probes();
        self.delete_cancelled_jobs();
        self.announce_progress();
        self.drain_machines_to_be_reclaimed();
        self.write_registry();
        self.check_schema_support();
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let machines = leader_state.workers.machines.len();
        if leader_state.schedule.take_autoscaling(now, machines) {
            self.autoscale();
        } else {
            self.rent_next();
        }
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        leader_state.schedule.request_placement(now);
    }

    /// Logs how the cores of the cluster are used: the first thing to check when tasks wait.
    fn log_cluster_usage(leader_state: &LeaderState, cloud: &CloudClient, now: Micros) {
        if !log::log_enabled!(log::Level::Info) {
            return;
        }
        let (mut total, mut unusable, mut running, mut fetching, mut stopping, mut unconfirmed) =
            (0.0, 0.0, 0.0, 0.0, 0.0, 0.0);
        for machine in leader_state.workers.machines.values() {
            let cores = cloud
                .machine_type_named(&machine.machine_type)
                .map_or(0.0, |found| found.cores);
            total += cores;
            if !machine.is_usable(now, UNUSABLE_SILENCE) {
                unusable += cores;
            }
            for (_, entry) in machine.tasks_holding_resources() {
                let cores = entry.spec.as_ref().map_or(0.0, |spec| spec.cores);
                match entry.state {
                    _ if entry.is_stopping() => stopping += cores,
                    TaskState::Running => running += cores,
                    TaskState::Unconfirmed | TaskState::Sent => unconfirmed += cores,
                    _ => fetching += cores,
                }
            }
        }
        let mut waiting: BTreeMap<&str, u64> = BTreeMap::new();
        let jobs = leader_state.jobs.by_number.values();
        for job in jobs.filter(|job| !job.cancelled && !job.waits_for_dependencies()) {
            *waiting.entry(&job.spec.class).or_default() += job.pending_count;
        }
        log::info!(
            "cores: {total} total, {unusable} unusable, {running} running, {fetching} fetching, \
             {stopping} stopping, {unconfirmed} unconfirmed; {} machines booting; {} jobs wait for \
             dependencies; waiting tasks by class: {waiting:?}",
            cloud.booting.len(),
            leader_state.dependency_graph.len()
        );
        log::info!("work: {}", leader_state.accounting.summary());
    }

    /// Deletes the stored records of cancelled jobs that can't have a task on any machine any more.
    fn delete_cancelled_jobs(&mut self) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let (term, mod_revision) = (leader_state.term, leader_state.leader_key_revision);
        let gone: Vec<(Arc<str>, usize)> = leader_state
            .jobs
            .by_number
            .values_mut()
            .filter(|job| job.cancelled && !job.save_in_flight && job.placements.is_empty())
            .map(|job| {
                job.save_in_flight = true;
                (job.spec.uid.clone(), job.chunks)
            })
            .collect();
        let changes_max = self.settings.deployment.state.tightest().txn_ops;
        for (uid, chunks) in gone {
            let mut txn = Transaction::default()
                .require_revision(LEADER_KEY, mod_revision)
                .delete(stopping_key(&uid));
            // Chunks beyond the limit are deleted later as orphans.
            for number in 0..chunks.min(changes_max - 1) {
                txn = txn.delete(chunk_key(&uid, number));
            }
            self.request_state(
                StateRequest::DeleteCancelledJob { term, uid },
                Op::Transaction(txn),
                LEADER_REQUEST_TIMEOUT,
            );
        }
    }

    /// Drains machines that the cloud provider is about to reclaim: tasks that can save a checkpoint
    /// are stopped in time to do so, and other tasks that would not finish are stopped now.
    fn drain_machines_to_be_reclaimed(&mut self) {
        let now = self.now.steady;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let mut stops = Vec::new();
        for machine in leader_state.workers.machines_with_reclaim_notice() {
            // A duplicate of an old heartbeat may be the first to report the notice. Tasks are not
            // stopped because of it until the machine has confirmed the term.
            let Some(reclaim_at) = machine.reclaim_at.filter(|_| machine.term_confirmed) else {
                continue;
            };
            let time_left = reclaim_at.saturating_sub(now);
            for ((task, attempt), entry) in machine.tasks_holding_resources() {
                let Some(spec) = &entry.spec else { continue };
                if entry.is_stopping() {
                    continue;
                }
                if spec.saves_checkpoints() {
                    if time_left < from_secs(spec.save_s) + CHECKPOINT_MARGIN {
                        stops.push((machine.id.clone(), *task, *attempt, spec.save_s.max(0.1)));
                    }
                } else {
                    let ran = entry
                        .running_since
                        .map_or(0, |since| now.saturating_sub(since));
                    let remaining = leader_state
                        .scheduler
                        .expected_run_time(spec)
                        .saturating_sub(ran);
                    if remaining > time_left {
                        stops.push((machine.id.clone(), *task, *attempt, 0.0));
                    }
                }
            }
        }
        for (machine, task, attempt, grace) in stops {
            leader_state
                .workers
                .stop_task(&machine, task, attempt, grace, StopReason::SpotNotice);
        }
        self.apply_ledger_events();
    }

    /// Writes pending changes of the machine registry. A machine is registered before it is given a
    /// task.
    fn write_registry(&mut self) {
        let now = self.now;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let (term, leader) = (leader_state.term, leader_state.leader_key_revision);
        for request in leader_state.registry.take_due_requests(
            now,
            &mut leader_state.workers,
            &leader_state.rented_machines,
        ) {
            // Hundreds of new machines may wait for a few of these writes, so they get the priority
            // of submissions and cancellations.
            let priority = match request {
                RegistryRequest::Write {
                    registers_machines: true,
                    ..
                } => RequestPriority::Client,
                _ => RequestPriority::Leader,
            };
            let (state_request, op) = match request {
                RegistryRequest::Read(key) => (
                    StateRequest::ReadRegistryPage {
                        term,
                        key: key.clone(),
                    },
                    Op::Get(key),
                ),
                RegistryRequest::Write {
                    key,
                    mod_revision,
                    value,
                    written,
                    ..
                } => {
                    let txn = Transaction::default()
                        .require_revision(LEADER_KEY, leader)
                        .require_revision(key.clone(), mod_revision)
                        .set_raw(key.clone(), value);
                    (
                        StateRequest::WriteRegistryPage { term, key, written },
                        Op::Transaction(txn),
                    )
                }
                RegistryRequest::Delete { key, mod_revision } => {
                    let txn = Transaction::default()
                        .require_revision(LEADER_KEY, leader)
                        .require_revision(key.clone(), mod_revision)
                        .delete(key.clone());
                    (
                        StateRequest::DeleteRegistryPage { term, key },
                        Op::Transaction(txn),
                    )
                }
            };
            self.state.submit(
                now.steady,
                state_request,
                priority,
                op,
                LEADER_REQUEST_TIMEOUT,
            );
        }
    }
}
