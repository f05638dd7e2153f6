//! The order in which jobs are served: first by tier, then by the fairness weight of the E-Ant
//! paper times the gain per remaining work (see `objectives`).
//!
//! Changes no state. The order determines which job is placed first, not which machine a task gets.

use super::context::PassContext;
use super::pheromone::fairness_weight;
use super::{Scheduler, objectives::Urgency};
use crate::capacity::EPSILON;
use crate::clock::Micros;
use crate::jobs::{Job, JobTable};
use crate::seeded_hash::{HashMap, HashSet};
use crate::settings::Settings;
use crate::wire::Priority;

/// The class of service of a job, from the lowest to the highest. A higher tier is always served
/// first, and only tasks of a lower tier are preempted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Tier {
    /// Low or normal priority with no objective that can still be met. A job of normal priority
    /// without any objective is in `Normal`.
    BestEffort,
    /// Low priority with an objective that can still be met.
    Low,
    /// Normal priority with an objective that can still be met, or with none. The lowest tier for
    /// which tasks are preempted.
    Normal,
    /// Within the guaranteed cores of the job's team.
    Guaranteed,
    /// High priority.
    High,
    /// Production priority.
    Production,
}

/// A job that has tasks to start, with its tier.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuedJob {
    /// Number of the job in the job table.
    pub(super) number: u32,
    /// The tier in which it is served.
    pub(super) tier: Tier,
}

/// The result of ordering the jobs at the start of a pass.
pub(super) struct JobOrder {
    /// Jobs with a task that may start now, in the order in which they are served.
    pub(super) queue: Vec<QueuedJob>,
    /// The tier of each live job by job number, including jobs with no task to start. Cancelled
    /// jobs and jobs that wait for other jobs have no tier.
    pub(super) tiers: HashMap<u32, Tier>,
}

/// The properties that determine the position of a job in the queue.
struct RankedJob {
    number: u32,
    tier: Tier,
    /// The fairness weight η^β, equation (8), times the gain per remaining work.
    weight: f64,
    waiting_since: Micros,
    has_task_to_start: bool,
}

impl Scheduler {
    /// Orders the live jobs. `total_cores` are the cores of all machines.
    pub(super) fn job_order(
        &self,
        pass: &PassContext,
        table: &JobTable,
        total_cores: f64,
    ) -> JobOrder {
        // Jobs that wait for other jobs have nothing to start and get no share of the cluster.
        let jobs = table.by_number.values();
        let live: Vec<&Job> = jobs
            .filter(|job| !job.cancelled && !job.waits_for_dependencies())
            .collect();
        let guaranteed = jobs_within_guarantee(&live, pass.settings);
        let mut jobs_of_team: HashMap<&str, f64> = HashMap::default();
        for job in &live {
            *jobs_of_team.entry(&job.spec.team).or_default() += 1.0;
        }
        let rank = |job: &&Job| {
            let guarantee = guaranteed_cores(pass.settings, &job.spec.team);
            let owed = if guarantee > 0.0 {
                guarantee / jobs_of_team.get(&*job.spec.team).copied().unwrap_or(1.0)
            } else {
                total_cores / live.len().max(1) as f64
            };
            let held = job.placements.len() as f64 * job.spec.cores;
            let fairness = fairness_weight(owed, held, total_cores).powf(self.fairness_exponent);
            let urgency = self.urgency(job, pass.now.wall);
            RankedJob {
                number: job.number,
                tier: tier_of(job, guaranteed.contains(&job.number), &urgency),
                weight: fairness * urgency.gain_per_work,
                waiting_since: job.waiting_since(),
                has_task_to_start: job.pending_count > 0 && job.not_before <= pass.now.steady,
            }
        };
        let ranked: Vec<RankedJob> = live.iter().map(rank).collect();
        let tiers = ranked.iter().map(|job| (job.number, job.tier)).collect();
        let mut queue: Vec<RankedJob> = ranked
            .into_iter()
            .filter(|job| job.has_task_to_start)
            .collect();
        queue.sort_by(|a, b| {
            b.tier
                .cmp(&a.tier)
                .then(b.weight.total_cmp(&a.weight))
                .then(a.waiting_since.cmp(&b.waiting_since))
                .then(a.number.cmp(&b.number))
        });
        let queue = queue.into_iter().map(|job| QueuedJob {
            number: job.number,
            tier: job.tier,
        });
        JobOrder {
            queue: queue.collect(),
            tiers,
        }
    }
}

/// The cores that the settings guarantee to a team; 0 for an unknown team.
pub(super) fn guaranteed_cores(settings: &Settings, team: &str) -> f64 {
    settings.team(team).map_or(0.0, |team| team.cpus)
}

fn tier_of(job: &Job, is_within_guarantee: bool, urgency: &Urgency) -> Tier {
    match job.priority() {
        Priority::Production => Tier::Production,
        Priority::High => Tier::High,
        _ if is_within_guarantee => Tier::Guaranteed,
        Priority::Normal if urgency.is_reachable => Tier::Normal,
        _ if urgency.is_reachable => Tier::Low,
        _ => Tier::BestEffort,
    }
}

/// The jobs that fit into their team's guarantee together with all earlier unfinished jobs of the
/// team.
fn jobs_within_guarantee(live: &[&Job], settings: &Settings) -> HashSet<u32> {
    let mut by_age: Vec<&&Job> = live.iter().collect();
    by_age.sort_by_key(|job| (job.waiting_since(), job.number));
    let mut cores_of_team: HashMap<&str, f64> = HashMap::default();
    let mut within = HashSet::default();
    for job in by_age {
        let Some(team) = settings.team(&job.spec.team).filter(|team| team.cpus > 0.0) else {
            continue;
        };
        let cores = cores_of_team.entry(&team.name).or_default();
        *cores += job.remaining_tasks() as f64 * job.spec.cores;
        if *cores <= team.cpus + EPSILON {
            within.insert(job.number);
        }
    }
    within
}
