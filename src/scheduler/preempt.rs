//! Preemption: chooses the cheapest tasks to stop, so that urgent work, or work within a guarantee,
//! gets capacity.
//!
//! Decides only; the caller sends the stops. What holds at its door:
//! - only tasks of a lower tier are preempted, so that two jobs never preempt each other in turn;
//! - the capacity made on a machine is reserved for the tier that it was made for;
//! - no more cores are preempted than [`Scheduler::preemption_allowance`] has left.

mod prospects;

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

pub(super) use prospects::{PreemptionProspect, PreemptionQuery};

/// The lowest tier for which tasks are preempted.
const PREEMPTING_TIER_MIN: Tier = Tier::Normal;
/// The share of its slack, after a fetch, that a job may wait for tasks that end by themselves.
const SLACK_WAIT_SHARE: f64 = 0.12;
/// The longest such wait.
const SLACK_WAIT_MAX_S: f64 = 3.0;
/// The part of the completion rate that is counted on: the cores that come free are of all machine
/// types and zones.
const COMPLETION_RATE_DISCOUNT: f64 = 0.7;
/// The least time that a task which saves its state gets for it.
const SAVE_GRACE_MIN_S: f64 = 0.1;
/// Costs are compared in whole steps of which a core-second has this many: integers have a total
/// order.
const COST_STEPS_PER_CORE_S: f64 = 1000.0;

/// A task that is to be stopped, with the time it gets to save its state.
pub(super) struct Preemption {
    /// The machine that it runs on.
    pub(super) machine: Arc<str>,
    /// The task.
    pub(super) task: TaskId,
    /// The attempt to stop.
    pub(super) attempt: u64,
    /// The time between the request to stop and the kill.
    pub(super) grace_s: f64,
}

/// What decides which tasks a job may have preempted. Jobs with the same standing have the same
/// choice.
#[derive(Clone, PartialEq, Eq, Hash)]
struct PreemptionStanding {
    tier: Tier,
    priority: Priority,
    /// Whether its team is at its limit.
    same_team_only: bool,
    /// The team, where it matters: within a guarantee, and at a limit.
    team: Option<Arc<str>>,
}

/// The state of one preemption pass.
struct PreemptionPass<'a> {
    context: &'a PassContext<'a>,
    workers: &'a WorkerLedger,
    prospects: Vec<PreemptionProspect>,
    /// The machine of each prospect, looked up once and not once for each job.
    machines: Vec<Option<&'a Machine>>,
    /// Cores that stopping tasks will leave, by team.
    freeing_cores: HashMap<Arc<str>, f64>,
    /// Cores a second that will come free by themselves, as far as counted on.
    completion_rate: f64,
    /// Cores that wait for them, of the jobs served so far.
    waiting_cores: f64,
    /// Sizes for which nothing could be preempted; holds for all jobs of that standing.
    unplaceable: HashMap<PreemptionStanding, UnplaceableSizes>,
    preemptions: Vec<Preemption>,
}

/// What one job still asks for.
struct JobDemand<'a> {
    job: &'a Job,
    query: PreemptionQuery<'a>,
    /// Tasks for which no capacity has been found.
    tasks_left: u64,
    /// Cores that its team may still use.
    quota_cores_left: f64,
}

impl JobDemand<'_> {
    fn spec(&self) -> &JobSpec {
        &self.job.spec
    }

    /// Whether the team is at its limit.
    fn is_quota_used_up(&self) -> bool {
        self.quota_cores_left + EPSILON < self.spec().cores
    }

    /// Whether another task is wanted that may run within this capacity.
    fn can_take(&self, free: &Resources) -> bool {
        self.tasks_left > 0
            && self.quota_cores_left + EPSILON >= self.spec().cores
            && free.fits(self.spec())
    }

    /// Gives one task its share of the capacity.
    fn take(&mut self, free: &mut Resources) {
        free.subtract(self.spec());
        self.quota_cores_left -= self.spec().cores;
        self.tasks_left -= 1;
    }
}

impl Scheduler {
    /// Chooses the tasks to stop for the jobs that wait, in the order in which they are served.
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
        let prospects = self.prospects(context, &order.tiers, workers);
        let machines = prospects
            .iter()
            .map(|prospect| workers.machines.get(&prospect.machine))
            .collect();
        let mut pass = PreemptionPass {
            context,
            workers,
            prospects,
            machines,
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

    /// Finds capacity for the waiting tasks of one job: first what is coming free anyway, then what
    /// can be made by preemption.
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
        let standing = PreemptionStanding {
            tier,
            priority: job.priority(),
            same_team_only,
            team: (tier == Tier::Guaranteed || same_team_only).then(|| spec.team.clone()),
        };
        // A failure holds for all jobs of the same standing that are no less restricted and no
        // smaller.
        let is_unrestricted = accepts_any_machine(spec) && !cached_only;
        let known = pass.unplaceable.get(&standing);
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
            pass.unplaceable.entry(standing).or_default().add(spec);
        }
    }

    /// The cores that a team may still use, with what its stopping tasks will leave.
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

    /// How long a job may wait for tasks to end by themselves before others are preempted for it,
    /// in seconds. On a full cluster a hundred end every second; preempting as many costs each its
    /// save, another start and often another fetch.
    fn acceptable_wait_s(&self, job: &Job, tier: Tier, wall: Micros) -> f64 {
        let rates = self.fetch_rates.values().copied();
        let slowest_rate = rates
            .filter(|rate| *rate > 0.0)
            .fold(f64::INFINITY, f64::min);
        let fetch_s = FETCH_TIME_FACTOR * job.spec.image_gb / slowest_rate;
        // An objective that is missed already is no reason to hurry.
        let wait_s = self
            .objective_slacks_s(job, tier, wall)
            .filter(|slack_s| *slack_s > 0.0)
            .map(|slack_s| SLACK_WAIT_SHARE * (slack_s - fetch_s).max(0.0))
            .reduce(f64::min);
        wait_s.unwrap_or(0.0).min(SLACK_WAIT_MAX_S)
    }

    /// Gives the job what is free or coming free: it serves the first of those who wait.
    fn take_freeing_capacity(&self, pass: &mut PreemptionPass, demand: &mut JobDemand) {
        for (prospect, machine) in pass.prospects.iter_mut().zip(&pass.machines) {
            while demand.can_take(&prospect.free)
                && machine.is_some_and(|machine| {
                    self.may_serve(&demand.query, demand.job, machine, pass.workers)
                })
            {
                demand.take(&mut prospect.free);
            }
        }
    }

    /// Preempts on the cheapest machine, again and again, until the job has enough. Returns whether
    /// no task could be preempted although nothing but the candidates set a limit: then no larger
    /// task of the same standing can be helped either.
    fn preempt_cheapest(&mut self, pass: &mut PreemptionPass, demand: &mut JobDemand) -> bool {
        let mut heap: BinaryHeap<Reverse<(u64, usize)>> = (0..pass.prospects.len())
            .filter_map(|index| Some(Reverse((self.cost_steps(pass, demand, index)?, index))))
            .collect();
        let preempted_before = pass.preemptions.len();
        while demand.tasks_left > 0 && self.preemption_allowance > 0.0 {
            if demand.is_quota_used_up() != demand.query.same_team_only {
                // At the limit of the team other victims count: the next pass looks at them.
                break;
            }
            let Some(Reverse((_, index))) = heap.pop() else {
                break;
            };
            self.preempt_on(pass, demand, index);
            let prospect = &mut pass.prospects[index];
            demand.take(&mut prospect.free);
            let reservation = Reservation {
                reserved_for: ReservedFor::Tier(demand.query.tier),
                expires_at: pass.context.now.steady + RESERVATION_TTL,
                backfill_until: 0,
            };
            self.reservations
                .insert(prospect.machine.clone(), reservation);
            while demand.can_take(&prospect.free) {
                demand.take(&mut prospect.free);
            }
            if let Some(cost) = self.cost_steps(pass, demand, index) {
                heap.push(Reverse((cost, index)));
            }
        }
        demand.tasks_left > 0 && pass.preemptions.len() == preempted_before && heap.is_empty()
    }

    /// The cost of making one more task fit on a machine; None where it cannot be done.
    fn cost_steps(&self, pass: &PreemptionPass, demand: &JobDemand, index: usize) -> Option<u64> {
        let prospect = &pass.prospects[index];
        let machine = pass.machines[index].filter(|machine| {
            prospect.could_fit(&demand.query, demand.spec())
                && self.may_serve(&demand.query, demand.job, machine, pass.workers)
        })?;
        self.preemption_cost(&demand.query, demand.job, machine, prospect)
            .map(|cost| (cost * COST_STEPS_PER_CORE_S).round() as u64)
    }

    /// Preempts the cheapest candidates of a machine until one more task fits.
    fn preempt_on(&mut self, pass: &mut PreemptionPass, demand: &mut JobDemand, index: usize) {
        let prospect = &mut pass.prospects[index];
        for candidate in &mut prospect.candidates {
            if prospect.free.fits(demand.spec()) {
                break;
            }
            if !self.may_preempt(&demand.query, demand.job, candidate) {
                continue;
            }
            candidate.is_preempted = true;
            let victim = &candidate.victim;
            prospect.free.add(&victim.spec);
            self.preemption_allowance -= victim.spec.cores;
            if victim.spec.team == demand.spec().team {
                demand.quota_cores_left += victim.spec.cores;
            }
            log::info!(
                "preempting task={}/{} machine={} for_job={}",
                victim.spec.uid,
                victim.task.index,
                prospect.machine,
                demand.spec().uid
            );
            pass.preemptions.push(Preemption {
                machine: prospect.machine.clone(),
                task: victim.task,
                attempt: victim.attempt,
                grace_s: save_grace_s(&victim.spec),
            });
        }
    }
}

/// The time that a preempted task gets to save its state; none for one that does not save.
fn save_grace_s(spec: &JobSpec) -> f64 {
    if spec.saves_checkpoints() {
        spec.save_s.max(SAVE_GRACE_MIN_S)
    } else {
        0.0
    }
}

/// The cores that stopping tasks will leave, by team.
fn freeing_cores_by_team(workers: &WorkerLedger) -> HashMap<Arc<str>, f64> {
    let mut cores: HashMap<Arc<str>, f64> = HashMap::default();
    for machine in workers.machines.values() {
        let stopping = machine
            .held_tasks()
            .filter(|(_, entry)| entry.is_stopping());
        for spec in stopping.filter_map(|(_, entry)| entry.spec.as_ref()) {
            *cores.entry(spec.team.clone()).or_default() += spec.cores;
        }
    }
    cores
}
