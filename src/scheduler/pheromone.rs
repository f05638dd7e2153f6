//! The learned preference of each job class for the machine types: pheromone levels by class and
//! type, equations (3) to (5) of the E-Ant paper, and the fairness weight, equation (7).
//!
//! A pheromone level rises with the cost efficiency of tasks that succeed on the machine type, and
//! a share of it evaporates in each round. The levels are not stored: a new leader starts with
//! equal levels. The caller passes the random generator for the draws, so that a run can be
//! repeated from its seed.

use crate::seeded_hash::HashMap;
use crate::wire::JobSpec;
use rand::Rng;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Lower bound of a pheromone level, so that every machine type is still drawn occasionally.
const PHEROMONE_MIN: f64 = 0.05;
/// Pheromone level of a machine type on which no task of the class has succeeded yet.
const PHEROMONE_INITIAL: f64 = 1.0;
/// Bounds of the fairness weight.
const FAIRNESS_WEIGHT_MIN: f64 = 0.1;
const FAIRNESS_WEIGHT_MAX: f64 = 10.0;
/// Task sizes are rounded to thousandths (of a core, GB or accelerator) to compare them.
const SIZE_SCALE: f64 = 1000.0;

/// Identifies a class of jobs that share pheromone levels: jobs with the same image and the same
/// task size (the job-level exchange of the paper). Not the class that the user gives.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClassKey {
    image: Arc<str>,
    cores: u64,
    memory: u64,
    accelerators: u64,
}

impl ClassKey {
    /// The class of a job.
    pub fn of(spec: &JobSpec) -> Self {
        let thousandths = |size: f64| (size * SIZE_SCALE).round() as u64;
        Self {
            image: spec.image.clone(),
            cores: thousandths(spec.cores),
            memory: thousandths(spec.memory_gb),
            accelerators: thousandths(spec.accelerators),
        }
    }
}

/// A task that succeeded in the current round.
struct FinishedTask {
    machine_type: String,
    /// The cost of its run, in the provider's currency.
    cost: f64,
}

/// The pheromone level τ of each job class and machine type, and the tasks that succeeded in the
/// current round.
#[derive(Default)]
pub struct Pheromone {
    levels: HashMap<ClassKey, BTreeMap<String, f64>>,
    finished_tasks: HashMap<ClassKey, Vec<FinishedTask>>,
}

impl Pheromone {
    /// The pheromone level of a class for a machine type; 1 while nothing has been learned.
    pub fn level(&self, class: &ClassKey, machine_type: &str) -> f64 {
        self.levels
            .get(class)
            .and_then(|by_type| by_type.get(machine_type))
            .copied()
            .unwrap_or(PHEROMONE_INITIAL)
    }

    /// Records that a task of the class succeeded on a machine of the type, at this cost. A cost
    /// that is not positive and finite is ignored.
    pub fn record_completion(&mut self, class: ClassKey, machine_type: &str, cost: f64) {
        if cost > 0.0 && cost.is_finite() {
            self.finished_tasks
                .entry(class)
                .or_default()
                .push(FinishedTask {
                    machine_type: machine_type.to_owned(),
                    cost,
                });
        }
    }

    /// Ends a round: τ ← (1 − ρ)·τ + ρ · Σ (mean cost / cost), equations (4) and (5), for each
    /// class of which a task succeeded in the round. `rho` is the share that evaporates.
    pub fn end_round(&mut self, rho: f64, machine_types: &[String]) {
        for (class, tasks) in std::mem::take(&mut self.finished_tasks) {
            let mean = tasks.iter().map(|task| task.cost).sum::<f64>() / tasks.len() as f64;
            let mut deposits: BTreeMap<&str, f64> = BTreeMap::new();
            for task in &tasks {
                *deposits.entry(&task.machine_type).or_default() += mean / task.cost;
            }
            let by_type = self.levels.entry(class).or_default();
            for machine_type in machine_types {
                let old = by_type
                    .get(machine_type)
                    .copied()
                    .unwrap_or(PHEROMONE_INITIAL);
                let deposit = deposits.get(machine_type.as_str()).copied().unwrap_or(0.0);
                let new = ((1.0 - rho) * old + rho * deposit).max(PHEROMONE_MIN);
                by_type.insert(machine_type.clone(), new);
            }
        }
    }

    /// Draws one of the machine types at random, with probabilities proportional to their pheromone
    /// levels, equation (3); `None` if `machine_types` is empty.
    pub fn draw<'a>(
        &self,
        class: &ClassKey,
        machine_types: &[&'a str],
        rng: &mut impl Rng,
    ) -> Option<&'a str> {
        let taus: Vec<f64> = machine_types
            .iter()
            .map(|machine_type| self.level(class, machine_type))
            .collect();
        let mut remaining = rng.random::<f64>() * taus.iter().sum::<f64>();
        for (machine_type, tau) in machine_types.iter().zip(&taus) {
            remaining -= tau;
            if remaining <= 0.0 {
                return Some(machine_type);
            }
        }
        // Rounding errors may leave a small remainder after the last type.
        machine_types.last().copied()
    }
}

/// The fairness weight η, equation (7): above 1 while a job holds fewer cores than its fair share.
/// `owed` is the fair share of the job in cores, `held` the cores that it holds, and `all` the
/// cores of the cluster.
pub fn fairness_weight(owed: f64, held: f64, all: f64) -> f64 {
    if all <= 0.0 {
        return 1.0;
    }
    let gap = 1.0 - (owed - held) / all;
    if gap <= 0.0 {
        FAIRNESS_WEIGHT_MAX
    } else {
        (1.0 / gap).clamp(FAIRNESS_WEIGHT_MIN, FAIRNESS_WEIGHT_MAX)
    }
}
