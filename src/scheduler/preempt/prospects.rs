//! What a preemption pass may choose from: the tasks that could be preempted on each machine, what
//! that would lose, and for whom it may be done.
//!
//! Reads only. The choice itself is made by the parent module.

use crate::capacity::{EPSILON, Resources};
use crate::clock::{Micros, to_secs};
use crate::jobs::Job;
use crate::scheduler::Scheduler;
use crate::scheduler::aging::FIRST_TASK_PROTECTED_FOR;
use crate::scheduler::context::PassContext;
use crate::scheduler::job_order::{Tier, guaranteed_cores};
use crate::scheduler::ranking::{ImageStatus, image_status, is_allowed};
use crate::seeded_hash::HashMap;
use crate::settings::Settings;
use crate::task_id::TaskId;
use crate::wire::{JobSpec, Priority};
use crate::worker_ledger::{Machine, TaskEntry, TaskState, WorkerLedger};
use std::sync::Arc;

/// What a second of work without a reachable objective counts, against one with.
const NO_OBJECTIVE_LOSS_WEIGHT: f64 = 0.4;
/// What every preemption loses beside the work itself, in seconds of the task's cores.
const PREEMPTION_OVERHEAD_S: f64 = 2.0;
/// A start that is stopped within this time does not count as one.
const FRESH_START_S: f64 = 30.0;
/// What the preemption of such a start loses in addition, in seconds of the task's cores.
const FRESH_START_PENALTY_S: f64 = 5.0;
/// The part of a fetch that is expected to be left while the image is being fetched.
const FETCHING_SHARE: f64 = 0.5;
/// The time of a fetch where the rate of the machine type is unknown.
const UNKNOWN_FETCH_S: f64 = 1.0;

/// An attempt of a task that may be preempted.
#[derive(Clone)]
pub(in crate::scheduler) struct Victim {
    /// The task.
    pub(super) task: TaskId,
    /// Its attempt on this machine.
    pub(super) attempt: u64,
    /// The job that it belongs to.
    pub(super) spec: Arc<JobSpec>,
}

/// The job for which capacity is sought by preemption, and how far it may go.
pub(in crate::scheduler) struct PreemptionQuery<'a> {
    /// The tier of the job.
    pub(in crate::scheduler) tier: Tier,
    /// The settings, for the guarantees of the teams.
    pub(in crate::scheduler) settings: &'a Settings,
    /// Only machines that hold the image of the job will do.
    pub(in crate::scheduler) cached_only: bool,
    /// The team of the job is at its limit, so that only its own tasks make capacity.
    pub(in crate::scheduler) same_team_only: bool,
}

/// A task that might be preempted, with what that would lose.
pub(in crate::scheduler) struct PreemptionCandidate {
    /// Weighted core-seconds that the preemption would lose.
    pub(super) loss: f64,
    /// The tier of its job.
    pub(super) tier: Tier,
    /// The attempt that would be stopped.
    pub(super) victim: Victim,
    /// Whether this pass has chosen it already.
    pub(super) is_preempted: bool,
}

/// A machine as a preemption pass sees it: what will be free there, and what could be preempted.
pub(in crate::scheduler) struct PreemptionProspect {
    /// The machine.
    pub(in crate::scheduler) machine: Arc<str>,
    /// What is free, with what stopping tasks will leave.
    pub(super) free: Resources,
    /// What would be free if all candidates were preempted.
    free_if_all_preempted: Resources,
    /// The lowest tier of the candidates; None if there are none.
    lowest_tier: Option<Tier>,
    /// By loss, the cheapest first.
    pub(super) candidates: Vec<PreemptionCandidate>,
}

impl PreemptionProspect {
    /// Whether a task could fit if all that this tier may preempt were preempted. A quick check:
    /// [`Scheduler::preemption_cost`] decides.
    pub(in crate::scheduler) fn could_fit(&self, query: &PreemptionQuery, spec: &JobSpec) -> bool {
        self.lowest_tier.is_some_and(|tier| tier < query.tier)
            && self.free_if_all_preempted.fits(spec)
    }
}

impl Scheduler {
    /// What will be free on each usable machine, and what could be preempted there.
    pub(in crate::scheduler) fn prospects(
        &self,
        pass: &PassContext,
        tiers: &HashMap<u32, Tier>,
        workers: &WorkerLedger,
    ) -> Vec<PreemptionProspect> {
        let now = pass.now.steady;
        let top_tier = tiers.values().copied().max().unwrap_or(Tier::BestEffort);
        let mut prospects = Vec::new();
        for (id, entry) in &self.capacity.machines {
            let (Some(free), Some(machine)) = (entry.free, workers.machines.get(id)) else {
                continue;
            };
            if !machine.is_usable(now, pass.silence_limit) {
                continue;
            }
            let mut candidates: Vec<PreemptionCandidate> = machine
                .held_tasks()
                .filter_map(|((task, attempt), entry)| {
                    // Jobs that are being cancelled have no tier.
                    let tier = *tiers.get(&task.job)?;
                    // Only a lower tier: what is within a guarantee must not be preempted by what
                    // is not, or the two would preempt each other without end.
                    if tier >= top_tier {
                        return None;
                    }
                    self.candidate(now, tier, *task, *attempt, entry)
                })
                .collect();
            candidates.sort_by(|a, b| a.loss.total_cmp(&b.loss));
            let free = free.plus(&entry.freeing);
            let mut free_if_all_preempted = free;
            for candidate in &candidates {
                free_if_all_preempted.add(&candidate.victim.spec);
            }
            prospects.push(PreemptionProspect {
                machine: id.clone(),
                free,
                free_if_all_preempted,
                lowest_tier: candidates.iter().map(|candidate| candidate.tier).min(),
                candidates,
            });
        }
        prospects
    }

    /// The attempt as a candidate for preemption, unless it is not there yet, stops already, or is
    /// protected as the first task of an aged job.
    fn candidate(
        &self,
        now: Micros,
        tier: Tier,
        task: TaskId,
        attempt: u64,
        entry: &TaskEntry,
    ) -> Option<PreemptionCandidate> {
        let spec = entry.spec.as_ref()?;
        let is_there = matches!(
            entry.state,
            TaskState::Running | TaskState::Fetching | TaskState::Sent
        );
        let is_protected = self.aged_first_tasks.contains_key(&task)
            && entry
                .running_since
                .is_none_or(|since| now < since + FIRST_TASK_PROTECTED_FOR);
        if !is_there || is_protected || entry.is_stopping() {
            return None;
        }
        // Of work without an objective that can still be met, only the work itself is lost.
        let weight = if tier == Tier::BestEffort {
            NO_OBJECTIVE_LOSS_WEIGHT
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

    /// Whether a machine may serve the job at all, with or without preemption.
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

    fn exceeds_guarantee(&self, team: &str, settings: &Settings) -> bool {
        let guarantee = guaranteed_cores(settings, team);
        self.capacity.team_usage(team).cores > guarantee + EPSILON
    }

    /// What it costs to make one task of the job fit on the machine by preemption, in core-seconds.
    /// None if it cannot be done, or costs nothing because the task fits already.
    pub(in crate::scheduler) fn preemption_cost(
        &self,
        query: &PreemptionQuery,
        job: &Job,
        machine: &Machine,
        prospect: &PreemptionProspect,
    ) -> Option<f64> {
        let spec = &job.spec;
        let mut free = prospect.free;
        let mut cost = 0.0;
        for candidate in &prospect.candidates {
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

    /// Core-seconds that a task started there would hold its cores for without running.
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

    /// Since when a task is taken to run. Of one that an earlier leader started this is unknown; it
    /// is assumed to be in the middle of its run, or all of them would look as if they had just
    /// begun, and cheap to preempt.
    fn assumed_start(&self, entry: &TaskEntry) -> Option<Micros> {
        let since = entry.running_since?;
        let before = match &entry.spec {
            Some(spec) if !entry.started_here() => self.expected_run(spec) / 2,
            _ => 0,
        };
        Some(since.saturating_sub(before))
    }
}

/// Core-seconds lost by preempting a task now.
fn preemption_loss(now: Micros, spec: &JobSpec, running_since: Option<Micros>) -> f64 {
    let ran_s = running_since.map_or(0.0, |since| to_secs(now.saturating_sub(since)));
    let lost_s = if spec.saves_checkpoints() {
        spec.save_s + PREEMPTION_OVERHEAD_S
    } else {
        ran_s + PREEMPTION_OVERHEAD_S
    };
    let penalty_s = if running_since.is_some() && ran_s < FRESH_START_S {
        FRESH_START_PENALTY_S
    } else {
        0.0
    };
    spec.cores * (lost_s + penalty_s)
}
