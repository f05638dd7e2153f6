//! The candidates of a preemption pass: the tasks that could be preempted on each machine, the cost
//! of preempting them, and the rules for which jobs this is allowed.
//!
//! Changes no state; the parent module chooses among the candidates.

use crate::capacity::{EPSILON, Resources};
use crate::clock::{Micros, to_secs};
use crate::jobs::Job;
use crate::scheduler::Scheduler;
use crate::scheduler::aging::FIRST_TASK_PROTECTION;
use crate::scheduler::context::PassContext;
use crate::scheduler::job_order::{Tier, guaranteed_cores};
use crate::scheduler::ranking::{ImageStatus, image_status, is_allowed};
use crate::seeded_hash::HashMap;
use crate::settings::Settings;
use crate::task_id::TaskId;
use crate::wire::{JobSpec, Priority};
use crate::worker_ledger::{Machine, TaskEntry, TaskState, WorkerLedger};
use std::sync::Arc;

/// Weight of the loss when a task of the best-effort tier is preempted, relative to the other
/// tiers.
const BEST_EFFORT_LOSS_WEIGHT: f64 = 0.4;
/// Loss of any preemption in addition to the lost work, in seconds of the task's cores.
const PREEMPTION_OVERHEAD_S: f64 = 2.0;
/// A start does not count as one if the task is stopped within this time.
const RECENT_START_S: f64 = 30.0;
/// Additional loss of preempting a task within `RECENT_START_S`, in seconds of the task's cores.
const RECENT_START_PENALTY_S: f64 = 5.0;
/// The share of an image fetch in progress that is assumed to be left.
const FETCHING_SHARE: f64 = 0.5;
/// Assumed duration of an image fetch if the fetch rate of the machine type is unknown.
const UNKNOWN_FETCH_S: f64 = 1.0;

/// An attempt of a task that may be preempted.
#[derive(Clone)]
pub(in crate::scheduler) struct Victim {
    /// The task.
    pub(super) task: TaskId,
    /// Its attempt on this machine.
    pub(super) attempt: u64,
    /// The spec of its job.
    pub(super) spec: Arc<JobSpec>,
}

/// The conditions under which tasks may be preempted for a job.
pub(in crate::scheduler) struct PreemptionQuery<'a> {
    /// The tier of the job.
    pub(in crate::scheduler) tier: Tier,
    /// The settings, for the guarantees of the teams.
    pub(in crate::scheduler) settings: &'a Settings,
    /// Whether only machines that have the image of the job cached may be used.
    pub(in crate::scheduler) cached_only: bool,
    /// Whether the team of the job is at its quota, so that only tasks of the same team may be
    /// preempted.
    pub(in crate::scheduler) same_team_only: bool,
}

/// A task that might be preempted, and the loss that this would cause.
pub(in crate::scheduler) struct PreemptionCandidate {
    /// The weighted core-seconds that would be lost.
    pub(super) loss: f64,
    /// The tier of its job.
    pub(super) tier: Tier,
    /// The attempt that would be stopped.
    pub(super) victim: Victim,
    /// Whether this pass has already chosen to preempt it.
    pub(super) is_preempted: bool,
}

/// A machine on which tasks could be preempted: its free capacity and its candidates.
pub(in crate::scheduler) struct PreemptibleMachine {
    /// The machine.
    pub(in crate::scheduler) machine: Arc<str>,
    /// Free capacity, including that of tasks that are already being stopped.
    pub(super) free: Resources,
    /// Free capacity if all candidates were preempted.
    free_if_all_preempted: Resources,
    /// The lowest tier of the candidates; `None` if there are no candidates.
    lowest_tier: Option<Tier>,
    /// The candidates in ascending order of their loss.
    pub(super) candidates: Vec<PreemptionCandidate>,
}

impl PreemptibleMachine {
    /// A quick check whether a task might fit after preemption for this tier. It is optimistic:
    /// [`Scheduler::preemption_cost`] checks exactly.
    pub(in crate::scheduler) fn could_fit(&self, query: &PreemptionQuery, spec: &JobSpec) -> bool {
        self.lowest_tier.is_some_and(|tier| tier < query.tier)
            && self.free_if_all_preempted.fits(spec)
    }
}

impl Scheduler {
    /// Lists the usable machines with their free capacity and their candidates for preemption.
    pub(in crate::scheduler) fn preemptible_machines(
        &self,
        pass: &PassContext,
        tiers: &HashMap<u32, Tier>,
        workers: &WorkerLedger,
    ) -> Vec<PreemptibleMachine> {
        let now = pass.now.steady;
        let top_tier = tiers.values().copied().max().unwrap_or(Tier::BestEffort);
        let mut preemptible_machines = Vec::new();
        for (id, entry) in &self.capacity.machines {
            let (Some(free), Some(machine)) = (entry.free, workers.machines.get(id)) else {
                continue;
            };
            if !machine.is_usable(now, pass.heartbeat_grace_period) {
                continue;
            }
            let mut candidates: Vec<PreemptionCandidate> = machine
                .tasks_holding_resources()
                .filter_map(|((task, attempt), entry)| {
                    // Cancelled jobs have no tier; their tasks are being stopped anyway.
                    let tier = *tiers.get(&task.job)?;
                    // Only tasks of a lower tier are preempted. If a job outside its team's
                    // guarantee could preempt one within a guarantee, the two would preempt each
                    // other without end.
                    if tier >= top_tier {
                        return None;
                    }
                    self.candidate(now, tier, *task, *attempt, entry)
                })
                .collect();
            candidates.sort_by(|a, b| a.loss.total_cmp(&b.loss));
            let free = free.plus(&entry.being_freed);
            let mut free_if_all_preempted = free;
            for candidate in &candidates {
                free_if_all_preempted.add(&candidate.victim.spec);
            }
            preemptible_machines.push(PreemptibleMachine {
                machine: id.clone(),
                free,
                free_if_all_preempted,
                lowest_tier: candidates.iter().map(|candidate| candidate.tier).min(),
                candidates,
            });
        }
        preemptible_machines
    }

    /// Returns the attempt as a candidate for preemption; `None` if it is not on the machine yet,
    /// is already being stopped, or is protected as the first task of an aged job.
    fn candidate(
        &self,
        now: Micros,
        tier: Tier,
        task: TaskId,
        attempt: u64,
        entry: &TaskEntry,
    ) -> Option<PreemptionCandidate> {
        let spec = entry.spec.as_ref()?;
        let is_on_machine = matches!(
            entry.state,
            TaskState::Running | TaskState::Fetching | TaskState::Sent
        );
        let is_protected = self.aged_first_tasks.contains_key(&task)
            && entry
                .running_since
                .is_none_or(|since| now < since + FIRST_TASK_PROTECTION);
        if !is_on_machine || is_protected || entry.is_stopping() {
            return None;
        }
        // A best-effort job has no objective that its preemption could make it miss, so only its
        // work is lost.
        let weight = if tier == Tier::BestEffort {
            BEST_EFFORT_LOSS_WEIGHT
        } else {
            1.0
        };
        Some(PreemptionCandidate {
            loss: weight * preemption_loss(now, spec, self.assumed_start(entry)),
            tier,
            victim: Victim {
                task,
                attempt,
                spec: spec.clone(),
            },
            is_preempted: false,
        })
    }

    /// Whether the job may use the machine, with or without preemption.
    pub(in crate::scheduler) fn may_serve(
        &self,
        query: &PreemptionQuery,
        job: &Job,
        machine: &Machine,
        workers: &WorkerLedger,
    ) -> bool {
        (!query.cached_only || image_status(machine, &job.spec) == ImageStatus::Cached)
            && self.reservation_allows_preemption(&machine.id, query.tier)
            && is_allowed(job, machine, workers)
    }

    /// Whether a task may be preempted for this job.
    pub(super) fn may_preempt(
        &self,
        query: &PreemptionQuery,
        job: &Job,
        candidate: &PreemptionCandidate,
    ) -> bool {
        let spec = &job.spec;
        let victim = &candidate.victim.spec;
        if candidate.is_preempted
            || candidate.tier >= query.tier
            || (query.same_team_only && victim.team != spec.team)
        {
            return false;
        }
        let is_lower_priority = victim.priority < job.priority()
            && (query.tier >= Tier::Guaranteed || victim.saves_checkpoints());
        is_lower_priority
            || (query.tier == Tier::Guaranteed
                && victim.team != spec.team
                && victim.priority <= Priority::Normal
                && self.exceeds_guarantee(&victim.team, query.settings))
    }

    /// Whether the team uses more cores than it is guaranteed.
    fn exceeds_guarantee(&self, team: &str, settings: &Settings) -> bool {
        let guarantee = guaranteed_cores(settings, team);
        self.capacity.team_usage(team).cores > guarantee + EPSILON
    }

    /// The cost, in core-seconds, of preempting tasks so that one task of the job fits on the
    /// machine. `None` if preemption cannot make it fit, or if it fits without preemption.
    pub(in crate::scheduler) fn preemption_cost(
        &self,
        query: &PreemptionQuery,
        job: &Job,
        machine: &Machine,
        preemptible: &PreemptibleMachine,
    ) -> Option<f64> {
        let spec = &job.spec;
        let mut free = preemptible.free;
        let mut cost = 0.0;
        for candidate in &preemptible.candidates {
            if free.fits(spec) {
                break;
            }
            if self.may_preempt(query, job, candidate) {
                free.add(&candidate.victim.spec);
                cost += candidate.loss;
            }
        }
        (cost > 0.0 && free.fits(spec)).then(|| cost + self.fetch_loss(machine, spec))
    }

    /// The core-seconds that a task started on the machine would hold without running, while its
    /// image is fetched.
    fn fetch_loss(&self, machine: &Machine, spec: &JobSpec) -> f64 {
        let share = match image_status(machine, spec) {
            ImageStatus::Cached => return 0.0,
            ImageStatus::Fetching => FETCHING_SHARE,
            ImageStatus::Missing => 1.0,
        };
        let rate = self
            .fetch_rates
            .get(&machine.machine_type)
            .copied()
            .unwrap_or(0.0);
        let fetch_s = if rate > 0.0 {
            spec.image_gb / rate
        } else {
            UNKNOWN_FETCH_S
        };
        share * fetch_s * spec.cores
    }

    /// Since when the task is assumed to run. This is unknown for a task that an earlier leader
    /// started; such a task is assumed to be in the middle of its run. Otherwise all of them would
    /// look as if they had just started and were cheap to preempt.
    fn assumed_start(&self, entry: &TaskEntry) -> Option<Micros> {
        let since = entry.running_since?;
        let before = match &entry.spec {
            Some(spec) if !entry.started_by_this_leader() => self.expected_run_time(spec) / 2,
            _ => 0,
        };
        Some(since.saturating_sub(before))
    }
}

/// The core-seconds lost by preempting the task now.
fn preemption_loss(now: Micros, spec: &JobSpec, running_since: Option<Micros>) -> f64 {
    let ran_s = running_since.map_or(0.0, |since| to_secs(now.saturating_sub(since)));
    let lost_s = if spec.saves_checkpoints() {
        spec.save_s + PREEMPTION_OVERHEAD_S
    } else {
        ran_s + PREEMPTION_OVERHEAD_S
    };
    let penalty_s = if running_since.is_some() && ran_s < RECENT_START_S {
        RECENT_START_PENALTY_S
    } else {
        0.0
    };
    spec.cores * (lost_s + penalty_s)
}
