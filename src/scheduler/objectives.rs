//! The service objectives of a job class, as far as they bear on a job: how much time is left, what
//! is gained by serving it, and what a fetch of its image means for them.
//!
//! Objectives come from the settings (`objectives`). Nothing here changes state.

use super::Scheduler;
use super::context::PassContext;
use super::feasibility::is_type_allowed;
use super::job_order::Tier;
use crate::clock::{Micros, to_secs};
use crate::jobs::Job;
use crate::settings::Objective;
use crate::wire::Priority;

/// What a running task counts for in the remaining work, against one that waits: it is mostly paid
/// for.
const RUNNING_TASK_WORK_SHARE: f64 = 0.2;
/// Tasks that ask for fewer cores count as this many in the remaining work.
const WORK_CORES_MIN: f64 = 0.1;
/// The gain of a job without an objective that can still be met.
const BASE_GAIN: f64 = 0.05;
/// Added to the remaining work; bounds the weight of the smallest jobs.
const WORK_OFFSET_CORE_S: f64 = 20.0;
/// The slack at which the gain of an objective has fallen to half.
const GAIN_HALF_SLACK_S: f64 = 60.0;

/// A fetch is expected to take this many times as long as at the full rate of the machine type.
pub(super) const FETCH_TIME_FACTOR: f64 = 1.2;
/// Slack is ample if it is this many times the fetch.
const AMPLE_SLACK_FACTOR: f64 = 3.0;

/// The kinds of objectives that the scheduler knows; the settings may name others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ObjectiveKind {
    /// Done within a multiple of the job's own deadline, counted from the submission.
    Deadline,
    /// Done within a time from when the job could start.
    Finished,
    /// Started within a time from when the job could start.
    Wait,
    /// Started within a time while within the team's guarantee.
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

/// How much a job gains by being served now.
pub(super) struct Urgency {
    /// Whether an objective can still be met. Also true of a job without objectives, unless its
    /// priority is low.
    pub(super) is_reachable: bool,
    /// Gain per core-second of remaining work.
    pub(super) gain_per_work: f64,
}

/// An objective that applies to a job, and the time left for it.
struct ObjectiveSlack {
    kind: ObjectiveKind,
    /// Seconds left for the start of the job; below 0 the objective is missed.
    slack_s: f64,
}

/// What a fetch of its image means for a job.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum FetchPressure {
    /// The fetch would make the job miss an objective.
    TooSlow,
    /// Neither of the others.
    Tolerable,
    /// The job has so much time that it may bring its image to a machine without it.
    Ample,
}

impl Scheduler {
    /// Whether an objective of the job can still be met, and how much is gained for the work left:
    /// with scarce capacity, serving small remainders first meets the most objectives.
    ///
    /// The slack is not taken from [`Scheduler::slacks`]: the terms are subtracted in another order
    /// there, and a last digit may decide which job goes first.
    pub(super) fn urgency(&self, job: &Job, wall: Micros) -> Urgency {
        let age = to_secs(wall.saturating_sub(job.waiting_since()));
        let run = to_secs(self.expected_run_time(&job.spec));
        // What must still be given to it; what already runs is mostly paid for.
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
        // The deadline of the jobs that need it, less what they will take.
        if let Some(due) = job.due_at {
            count(to_secs(due) - to_secs(wall) - run);
        }
        for objective in self.objectives.iter().filter(|o| is_of_class(o, job)) {
            let (limit, needed) = match ObjectiveKind::of(objective) {
                Some(ObjectiveKind::Deadline) => match job.spec.deadline_s {
                    // Counted from the submission, however long the job waited for others.
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
            // Nothing says when the job should be done: low priority then fills idle capacity. It
            // would otherwise occupy, for long, what jobs with an objective need a moment later.
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

    /// The seconds that each objective of a job in this tier leaves for its start; below 0 the
    /// objective is missed.
    pub(super) fn objective_slacks_s(
        &self,
        job: &Job,
        tier: Tier,
        wall: Micros,
    ) -> impl Iterator<Item = f64> {
        self.slacks(job, tier, wall).map(|slack| slack.slack_s)
    }

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

    /// How a fetch of the image compares with the objectives that the job can still meet.
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
        // Of a job without objectives nothing is known, least of all that it has time.
        if objectives > 0 && ample == objectives {
            FetchPressure::Ample
        } else {
            FetchPressure::Tolerable
        }
    }
}

fn is_of_class(objective: &Objective, job: &Job) -> bool {
    objective.class.as_deref() == Some(&*job.spec.class)
}
