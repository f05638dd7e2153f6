//! Preemption: chooses the tasks that cost the least to stop, so that urgent jobs and jobs within
//! their team's guarantee get capacity.
//!
//! This module only chooses the tasks; the caller has them stopped. Invariants:
//! - only tasks of a lower tier are preempted, so that two jobs never preempt each other in turn;
//! - the capacity freed on a machine is reserved for the tier for which it was freed;
//! - a pass starts no further preemption once [`Scheduler::preemption_allowance`] is used up.

mod candidates;

use super::Scheduler;
use super::context::PassContext;
use super::job_order::{JobOrder, QueuedJob, Tier};
use super::objectives::FETCH_TIME_FACTOR;
use super::reservation::{RESERVATION_TTL, Reservation, ReservedFor};
use super::unplaceable::{UnplaceableSizes, accepts_any_machine};
use crate::capacity::{EPSILON, Resources};
use crate::clock::Micros;
use crate::jobs::{Job, JobTable};
use crate::seeded_hash::HashMap;
use crate::settings::Settings;
use crate::task_id::TaskId;
use crate::wire::{JobSpec, Priority};
use crate::worker_ledger::{Machine, WorkerLedger};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

pub(super) use candidates::{PreemptibleMachine, PreemptionQuery};

/// The lowest tier of jobs for which tasks are preempted.
const PREEMPTING_TIER_MIN: Tier = Tier::Normal;
/// The share of a job's slack, less the time of an image fetch, for which the job may wait for
/// tasks to end by themselves before others are preempted.
const SLACK_WAIT_SHARE: f64 = 0.12;
/// Upper bound of that wait.
const SLACK_WAIT_MAX_S: f64 = 3.0;
/// The share of the completion rate that a job is assumed to be able to use: the freed cores belong
/// to machines of all types and zones, not only to those that the job allows.
const COMPLETION_RATE_DISCOUNT: f64 = 0.7;
/// Lower bound of the grace period of a task that saves its state when it is stopped.
const SAVE_GRACE_MIN_S: f64 = 0.1;
/// Costs are rounded to integers with this many steps per core-second before they are compared,
/// because floating-point numbers have no total order.
const COST_STEPS_PER_CORE_S: f64 = 1000.0;

/// The decision to stop a task.
pub(super) struct Preemption {
    /// The machine that it runs on.
    pub(super) machine: Arc<str>,
    /// The task.
    pub(super) task: TaskId,
    /// The attempt to stop.
    pub(super) attempt: u64,
    /// Grace period: the time between the stop command and the kill, for saving the task's state.
    pub(super) grace_s: f64,
}

/// The properties of a job that determine which tasks may be preempted for it. For jobs with equal
/// rights these are the same tasks.
#[derive(Clone, PartialEq, Eq, Hash)]
struct PreemptionRights {
    tier: Tier,
    priority: Priority,
    /// Whether the job's team is at its quota, so that only tasks of this team may be preempted.
    same_team_only: bool,
    /// The job's team, if the choice depends on it: within a guarantee, or with the team at its
    /// quota.
    team: Option<Arc<str>>,
}

/// The state of one preemption pass.
struct PreemptionPass<'a> {
    context: &'a PassContext<'a>,
    workers: &'a WorkerLedger,
    preemptible_machines: Vec<PreemptibleMachine>,
    /// The worker ledger's entry for each of `preemptible_machines`, in the same order; looked up
    /// once per pass instead of once per job.
    ledger_machines: Vec<Option<&'a Machine>>,
    /// Cores of the tasks that are already being stopped, by team.
    freeing_cores: HashMap<Arc<str>, f64>,
    /// Cores per second that are expected to become free because tasks end by themselves.
    completion_rate: f64,
    /// Cores that the waiting tasks of the jobs served so far request.
    waiting_cores: f64,
    /// Task sizes for which preemption could not free capacity, for all jobs with these rights.
    unplaceable: HashMap<PreemptionRights, UnplaceableSizes>,
    preemptions: Vec<Preemption>,
}

/// The capacity that one job still needs.
struct JobDemand<'a> {
    job: &'a Job,
    query: PreemptionQuery<'a>,
    /// Tasks for which no capacity has been found yet.
    tasks_left: u64,
    /// Cores that the job's team may still use within its quota.
    quota_cores_left: f64,
}

impl JobDemand<'_> {
    fn spec(&self) -> &JobSpec {
        &self.job.spec
    }

    /// Whether the team's quota leaves no cores for another task.
    fn is_quota_used_up(&self) -> bool {
        self.quota_cores_left + EPSILON < self.spec().cores
    }

    /// Whether another task needs capacity, fits into `free`, and is within the team's quota.
    fn can_take(&self, free: &Resources) -> bool {
        self.tasks_left > 0
            && self.quota_cores_left + EPSILON >= self.spec().cores
            && free.fits(self.spec())
    }

    /// Takes the capacity for one task out of `free`.
    fn take(&mut self, free: &mut Resources) {
        free.subtract(self.spec());
        self.quota_cores_left -= self.spec().cores;
        self.tasks_left -= 1;
    }
}

impl Scheduler {
    /// Chooses the tasks to stop for the waiting jobs, which are served in their queue order.
    pub(super) fn plan_preemptions(
        &mut self,
        context: &PassContext,
        order: &JobOrder,
        table: &JobTable,
        workers: &WorkerLedger,
    ) -> Vec<Preemption> {
        let may_preempt = |queued: &&QueuedJob| queued.tier >= PREEMPTING_TIER_MIN;
        let is_waiting = |queued: &QueuedJob| {
            let job = table.by_number.get(&queued.number);
            job.is_some_and(|job| job.pending_count > 0)
        };
        if !order.queue.iter().filter(may_preempt).any(is_waiting) {
            return Vec::new();
        }
        let preemptible_machines = self.preemptible_machines(context, &order.tiers, workers);
        let ledger_machines = preemptible_machines
            .iter()
            .map(|preemptible| workers.machines.get(&preemptible.machine))
            .collect();
        let mut pass = PreemptionPass {
            context,
            workers,
            preemptible_machines,
            ledger_machines,
            freeing_cores: freeing_cores_by_team(workers),
            completion_rate: COMPLETION_RATE_DISCOUNT * self.completion_rate(context.now.steady),
            waiting_cores: 0.0,
            unplaceable: HashMap::default(),
            preemptions: Vec::new(),
        };
        for queued in order.queue.iter().filter(may_preempt) {
            if let Some(job) = table.by_number.get(&queued.number)
                && job.pending_count > 0
            {
                self.preempt_for_job(&mut pass, queued.tier, job);
            }
        }
        pass.preemptions
    }

    /// Finds capacity for the waiting tasks of one job: first capacity that is free or is being
    /// freed, then capacity that preemption can free.
    fn preempt_for_job(&mut self, pass: &mut PreemptionPass, tier: Tier, job: &Job) {
        let spec = &job.spec;
        let settings = pass.context.settings;
        let cached_only = self.waiting_for_image.contains(&job.number);
        let quota_cores_left = self.quota_cores_left(settings, &spec.team, &pass.freeing_cores);
        let mut demand = JobDemand {
            job,
            query: PreemptionQuery {
                tier,
                settings,
                cached_only,
                same_team_only: quota_cores_left + EPSILON < spec.cores,
            },
            tasks_left: 0,
            quota_cores_left,
        };
        let same_team_only = demand.query.same_team_only;
        let rights = PreemptionRights {
            tier,
            priority: job.priority(),
            same_team_only,
            team: (tier == Tier::Guaranteed || same_team_only).then(|| spec.team.clone()),
        };
        // If a task did not fit even with preemption, no task fits that is at least as large and
        // belongs to a job with the same rights that restricts its machines at least as much.
        let is_unrestricted = accepts_any_machine(spec) && !cached_only;
        let known = pass.unplaceable.get(&rights);
        if is_unrestricted && known.is_some_and(|sizes| sizes.covers(spec)) {
            return;
        }
        demand.tasks_left = job.startable_tasks(&self.schema);
        pass.waiting_cores += demand.tasks_left as f64 * spec.cores;
        if !same_team_only
            && pass.waiting_cores
                < pass.completion_rate * self.acceptable_wait_s(job, tier, pass.context.now.wall)
        {
            return;
        }
        self.take_freeing_capacity(pass, &mut demand);
        if demand.tasks_left == 0 {
            return;
        }
        demand.query.same_team_only = demand.is_quota_used_up();
        let is_exhausted = self.preempt_cheapest(pass, &mut demand);
        if is_exhausted && is_unrestricted {
            pass.unplaceable.entry(rights).or_default().add(spec);
        }
    }

    /// The cores that a team may still use within its quota, counting its tasks that are being
    /// stopped as already ended.
    fn quota_cores_left(
        &self,
        settings: &Settings,
        team: &Arc<str>,
        freeing_cores: &HashMap<Arc<str>, f64>,
    ) -> f64 {
        let limit = settings.team(team).map_or(0.0, |team| team.cpus_max);
        if limit > 0.0 {
            limit - self.capacity.team_usage(team).cores
                + freeing_cores.get(team).copied().unwrap_or(0.0)
        } else {
            f64::MAX
        }
    }

    /// How long a job may wait for tasks to end by themselves before tasks are preempted for it, in
    /// seconds. On a full cluster about a hundred tasks end every second. Preempting as many
    /// instead would cost each of them a save of its state, another start and often another image
    /// fetch.
    fn acceptable_wait_s(&self, job: &Job, tier: Tier, wall: Micros) -> f64 {
        let rates = self.fetch_rates.values().copied();
        let slowest_rate = rates
            .filter(|rate| *rate > 0.0)
            .fold(f64::INFINITY, f64::min);
        let fetch_s = FETCH_TIME_FACTOR * job.spec.image_gb / slowest_rate;
        // Preemption cannot help an objective that is already missed.
        let wait_s = self
            .objective_slacks_s(job, tier, wall)
            .filter(|slack_s| *slack_s > 0.0)
            .map(|slack_s| SLACK_WAIT_SHARE * (slack_s - fetch_s).max(0.0))
            .reduce(f64::min);
        wait_s.unwrap_or(0.0).min(SLACK_WAIT_MAX_S)
    }

    /// Assigns to the job capacity that is free or is being freed. Jobs come here in queue order,
    /// so the first waiting job takes it.
    fn take_freeing_capacity(&self, pass: &mut PreemptionPass, demand: &mut JobDemand) {
        for (preemptible, machine) in pass
            .preemptible_machines
            .iter_mut()
            .zip(&pass.ledger_machines)
        {
            while demand.can_take(&preemptible.free)
                && machine.is_some_and(|machine| {
                    self.may_serve(&demand.query, demand.job, machine, pass.workers)
                })
            {
                demand.take(&mut preemptible.free);
            }
        }
    }

    /// Preempts tasks on the machine where that costs the least, repeatedly, until the job has
    /// enough capacity. Returns true if tasks of the job are left and nothing was preempted
    /// although neither the quota nor the preemption allowance ended the search. Then preemption
    /// cannot free capacity for a larger task with the same rights either.
    fn preempt_cheapest(&mut self, pass: &mut PreemptionPass, demand: &mut JobDemand) -> bool {
        let mut heap: BinaryHeap<Reverse<(u64, usize)>> = (0..pass.preemptible_machines.len())
            .filter_map(|index| Some(Reverse((self.cost_steps(pass, demand, index)?, index))))
            .collect();
        let preempted_before = pass.preemptions.len();
        while demand.tasks_left > 0 && self.preemption_allowance > 0.0 {
            if demand.is_quota_used_up() != demand.query.same_team_only {
                // The set of victims changes when the team reaches its quota or falls below it. The
                // next pass uses the new set.
                break;
            }
            let Some(Reverse((_, index))) = heap.pop() else {
                break;
            };
            self.preempt_on(pass, demand, index);
            let preemptible = &mut pass.preemptible_machines[index];
            demand.take(&mut preemptible.free);
            let reservation = Reservation {
                reserved_for: ReservedFor::Tier(demand.query.tier),
                expires_at: pass.context.now.steady + RESERVATION_TTL,
                backfill_until: 0,
            };
            self.reservations
                .insert(preemptible.machine.clone(), reservation);
            while demand.can_take(&preemptible.free) {
                demand.take(&mut preemptible.free);
            }
            if let Some(cost) = self.cost_steps(pass, demand, index) {
                heap.push(Reverse((cost, index)));
            }
        }
        demand.tasks_left > 0 && pass.preemptions.len() == preempted_before && heap.is_empty()
    }

    /// The cost of preempting tasks so that one more task of the job fits on a machine; `None` if
    /// preemption cannot make it fit.
    fn cost_steps(&self, pass: &PreemptionPass, demand: &JobDemand, index: usize) -> Option<u64> {
        let preemptible = &pass.preemptible_machines[index];
        let machine = pass.ledger_machines[index].filter(|machine| {
            preemptible.could_fit(&demand.query, demand.spec())
                && self.may_serve(&demand.query, demand.job, machine, pass.workers)
        })?;
        self.preemption_cost(&demand.query, demand.job, machine, preemptible)
            .map(|cost| (cost * COST_STEPS_PER_CORE_S).round() as u64)
    }

    /// Preempts the cheapest candidates of a machine until one more task of the job fits.
    fn preempt_on(&mut self, pass: &mut PreemptionPass, demand: &mut JobDemand, index: usize) {
        let preemptible = &mut pass.preemptible_machines[index];
        for candidate in &mut preemptible.candidates {
            if preemptible.free.fits(demand.spec()) {
                break;
            }
            if !self.may_preempt(&demand.query, demand.job, candidate) {
                continue;
            }
            candidate.is_preempted = true;
            let victim = &candidate.victim;
            preemptible.free.add(&victim.spec);
            self.preemption_allowance -= victim.spec.cores;
            if victim.spec.team == demand.spec().team {
                demand.quota_cores_left += victim.spec.cores;
            }
            log::info!(
                "preempting task={}/{} machine={} for_job={}",
                victim.spec.uid,
                victim.task.index,
                preemptible.machine,
                demand.spec().uid
            );
            pass.preemptions.push(Preemption {
                machine: preemptible.machine.clone(),
                task: victim.task,
                attempt: victim.attempt,
                grace_s: save_grace_s(&victim.spec),
            });
        }
    }
}

/// The grace period in which a preempted task saves its state; 0 for a task that does not save it.
fn save_grace_s(spec: &JobSpec) -> f64 {
    if spec.saves_checkpoints() {
        spec.save_s.max(SAVE_GRACE_MIN_S)
    } else {
        0.0
    }
}

/// The cores of the tasks that are being stopped, by team.
fn freeing_cores_by_team(workers: &WorkerLedger) -> HashMap<Arc<str>, f64> {
    let mut cores: HashMap<Arc<str>, f64> = HashMap::default();
    for machine in workers.machines.values() {
        let stopping = machine
            .tasks_holding_resources()
            .filter(|(_, entry)| entry.is_stopping());
        for spec in stopping.filter_map(|(_, entry)| entry.spec.as_ref()) {
            *cores.entry(spec.team.clone()).or_default() += spec.cores;
        }
    }
    cores
}
