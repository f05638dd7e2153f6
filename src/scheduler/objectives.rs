//! Applies the service objectives of job classes to a job: the time left for them, the gain of
//! serving the job now, and whether an image fetch would make it miss them.
//!
//! The objectives are configured in the settings (`objectives`). This module changes no state.

use super::Scheduler;
use super::context::PassContext;
use super::feasibility::is_type_allowed;
use super::job_order::Tier;
use crate::clock::{Micros, to_secs};
use crate::jobs::Job;
use crate::settings::Objective;
use crate::wire::Priority;

/// Weight of a running task in the remaining work, relative to a waiting one: most of the resources
/// that it needs are already allocated.
const RUNNING_TASK_WORK_SHARE: f64 = 0.2;
/// Lower bound of the cores with which a task counts in the remaining work.
const WORK_CORES_MIN: f64 = 0.1;
/// The gain of serving a job that has no objective that can still be met.
const BASE_GAIN: f64 = 0.05;
/// Added to the remaining work, to bound the weight of jobs with little work.
const WORK_OFFSET_CORE_S: f64 = 20.0;
/// The slack at which the gain of an objective is half of that at no slack.
const GAIN_HALF_SLACK_S: f64 = 60.0;

/// An image fetch is expected to take this many times as long as at the full fetch rate of the
/// machine type.
pub(super) const FETCH_TIME_FACTOR: f64 = 1.2;
/// Slack is ample if it is at least this many times the duration of the image fetch.
const AMPLE_SLACK_FACTOR: f64 = 3.0;

/// The kinds of objectives that the scheduler supports. It ignores other kinds in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ObjectiveKind {
    /// The job is done within a multiple of its own deadline, counted from its acceptance.
    Deadline,
    /// The job is done within a given time after it was ready to start.
    Finished,
    /// The job starts within a given time after it was ready to start.
    Wait,
    /// The job starts within a given time while it is within its team's guarantee.
    Guarantee,
}

impl ObjectiveKind {
    fn of(objective: &Objective) -> Option<Self> {
        match objective.kind.as_str() {
            "deadline" => Some(Self::Deadline),
            "finished" => Some(Self::Finished),
            "wait" => Some(Self::Wait),
            "guarantee" => Some(Self::Guarantee),
            _ => None,
        }
    }
}

/// How much is gained by serving a job now.
pub(super) struct Urgency {
    /// Whether an objective can still be met. For a job without objectives: whether its priority is
    /// above low.
    pub(super) is_reachable: bool,
    /// Gain per core-second of remaining work.
    pub(super) gain_per_work: f64,
}

/// An objective that applies to a job, and its slack.
struct ObjectiveSlack {
    kind: ObjectiveKind,
    /// Seconds until the job must start to meet the objective; negative if the objective is missed.
    slack_s: f64,
}

/// How the duration of an image fetch compares with the slack of a job's objectives.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum FetchPressure {
    /// The fetch would make the job miss an objective for its start or its deadline.
    TooSlow,
    /// Neither `TooSlow` nor `Ample`.
    Tolerable,
    /// The slack of all objectives is ample, so that the job may use machines without its image.
    Ample,
}

impl Scheduler {
    /// Whether an objective of the job can still be met, and the gain per remaining work of serving
    /// it. When capacity is scarce, serving jobs with little remaining work first meets the most
    /// objectives.
    ///
    /// The slack is not taken from [`Scheduler::slacks`], which subtracts the terms in another
    /// order: a different rounding of the result could change the order of the jobs.
    pub(super) fn urgency(&self, job: &Job, wall: Micros) -> Urgency {
        let age = to_secs(wall.saturating_sub(job.waiting_since()));
        let run = to_secs(self.expected_run_time(&job.spec));
        // The remaining work, in core-seconds.
        let waiting = job.pending_count as f64;
        let running = job.remaining_tasks() as f64 - waiting;
        let work = (waiting + RUNNING_TASK_WORK_SHARE * running)
            * job.spec.cores.max(WORK_CORES_MIN)
            * run;
        let mut is_reachable = false;
        let mut has_objective = false;
        let mut gain = 0.0;
        let mut count = |slack: f64| {
            has_objective = true;
            if slack >= 0.0 {
                is_reachable = true;
                gain += 1.0 / (1.0 + slack / GAIN_HALF_SLACK_S);
            }
        };
        // The time by which this job must be done so that its dependents can meet their deadlines.
        if let Some(due) = job.due_at {
            count(to_secs(due) - to_secs(wall) - run);
        }
        for objective in self.objectives.iter().filter(|o| is_of_class(o, job)) {
            let (limit, needed) = match ObjectiveKind::of(objective) {
                Some(ObjectiveKind::Deadline) => match job.spec.deadline_s {
                    // The deadline counts from the acceptance, also while the job waited for its
                    // dependencies; `age` does not include that wait.
                    Some(deadline) => (
                        deadline * objective.times.unwrap_or(1.0)
                            - to_secs(job.waiting_since() - job.accepted_at),
                        run,
                    ),
                    None => continue,
                },
                Some(ObjectiveKind::Finished) => (objective.within_s.unwrap_or(f64::MAX), run),
                Some(ObjectiveKind::Wait) => (objective.within_s.unwrap_or(f64::MAX), 0.0),
                Some(ObjectiveKind::Guarantee) | None => continue,
            };
            count(limit - age - needed);
        }
        if !has_objective {
            // There is no time by which the job should be done. With low priority it only uses idle
            // capacity; otherwise it could occupy for a long time capacity that jobs with
            // objectives need soon after.
            return Urgency {
                is_reachable: job.priority() > Priority::Low,
                gain_per_work: BASE_GAIN / (WORK_OFFSET_CORE_S + work),
            };
        }
        Urgency {
            is_reachable,
            gain_per_work: (BASE_GAIN + gain) / (WORK_OFFSET_CORE_S + work),
        }
    }

    /// For each objective of a job in this tier, the seconds until the job must start to meet it;
    /// negative if the objective is missed.
    pub(super) fn objective_slacks_s(
        &self,
        job: &Job,
        tier: Tier,
        wall: Micros,
    ) -> impl Iterator<Item = f64> {
        self.slacks(job, tier, wall).map(|slack| slack.slack_s)
    }

    /// The slack of each objective that applies to a job in this tier.
    fn slacks(&self, job: &Job, tier: Tier, wall: Micros) -> impl Iterator<Item = ObjectiveSlack> {
        let age = to_secs(wall.saturating_sub(job.waiting_since()));
        let waited = to_secs(job.waiting_since() - job.accepted_at);
        let run = to_secs(self.expected_run_time(&job.spec));
        self.objectives.iter().filter_map(move |objective| {
            let kind = ObjectiveKind::of(objective)?;
            let is_own = is_of_class(objective, job);
            let limit = match kind {
                ObjectiveKind::Wait if is_own => objective.within_s,
                ObjectiveKind::Guarantee if tier == Tier::Guaranteed => objective.within_s,
                ObjectiveKind::Deadline if is_own => {
                    let deadline = job.spec.deadline_s;
                    deadline.map(|d| d * objective.times.unwrap_or(1.0) - waited - run)
                }
                ObjectiveKind::Finished if is_own => objective.within_s.map(|w| w - run),
                _ => None,
            };
            limit.map(|limit| ObjectiveSlack {
                kind,
                slack_s: limit - age,
            })
        })
    }

    /// How the duration of an image fetch compares with the slack of the job's objectives.
    pub(super) fn fetch_pressure(
        &self,
        pass: &PassContext,
        job: &Job,
        tier: Tier,
    ) -> FetchPressure {
        let slowest_rate = pass
            .types
            .iter()
            .filter(|t| is_type_allowed(&job.spec, &t.name) && t.fetch_gb_per_s > 0.0)
            .map(|t| t.fetch_gb_per_s)
            .fold(f64::INFINITY, f64::min);
        let fetch_s = job.spec.image_gb / slowest_rate * FETCH_TIME_FACTOR;
        let (mut objectives, mut ample) = (0, 0);
        for ObjectiveSlack { kind, slack_s } in self.slacks(job, tier, pass.now.wall) {
            if slack_s > 0.0 && fetch_s > slack_s && kind != ObjectiveKind::Finished {
                return FetchPressure::TooSlow;
            }
            objectives += 1;
            ample += u32::from(slack_s >= AMPLE_SLACK_FACTOR * fetch_s);
        }
        // For a job without objectives, nothing shows that it can wait for a fetch.
        if objectives > 0 && ample == objectives {
            FetchPressure::Ample
        } else {
            FetchPressure::Tolerable
        }
    }
}

/// Whether the objective is configured for the class of the job.
fn is_of_class(objective: &Objective, job: &Job) -> bool {
    objective.class.as_deref() == Some(&*job.spec.class)
}
