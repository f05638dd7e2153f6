//! Pheromone per job class and machine type, and the fairness weight: the paper's (3) to (5), (7).

use crate::seeded_hash::HashMap;
use crate::wire::JobSpec;
use rand::Rng;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Pheromone never falls below this, so that every type is drawn now and then.
const TAU_FLOOR: f64 = 0.05;
const ETA_MIN: f64 = 0.1;
const ETA_MAX: f64 = 10.0;

/// Jobs alike in image and size share their pheromone (the paper's job-level exchange).
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClassKey {
    image: Arc<str>,
    cores: u64,
    memory: u64,
    accelerators: u64,
}

impl ClassKey {
    pub fn of(spec: &JobSpec) -> Self {
        let milli = |x: f64| (x * 1000.0).round() as u64;
        Self {
            image: spec.image.clone(),
            cores: milli(spec.cores),
            memory: milli(spec.memory_gb),
            accelerators: milli(spec.accelerators),
        }
    }
}

/// τ for each class and type, and what finished in the current round.
#[derive(Default)]
pub struct Pheromone {
    tau: HashMap<ClassKey, BTreeMap<String, f64>>,
    finished: HashMap<ClassKey, Vec<(String, f64)>>,
}

impl Pheromone {
    pub fn tau(&self, class: &ClassKey, machine_type: &str) -> f64 {
        self.tau
            .get(class)
            .and_then(|t| t.get(machine_type))
            .copied()
            .unwrap_or(1.0)
    }

    /// A task of the class ended well on the type, at this cost.
    pub fn finished(&mut self, class: ClassKey, machine_type: &str, cost: f64) {
        if cost > 0.0 && cost.is_finite() {
            self.finished
                .entry(class)
                .or_default()
                .push((machine_type.to_owned(), cost));
        }
    }

    /// Ends a round: τ ← (1 − ρ)·τ + ρ · Σ (mean cost / cost), the paper's (4) and (5).
    pub fn round(&mut self, rho: f64, machine_types: &[String]) {
        let finished = std::mem::take(&mut self.finished);
        for (class, tasks) in finished {
            let mean = tasks.iter().map(|t| t.1).sum::<f64>() / tasks.len() as f64;
            let mut deposits: BTreeMap<&str, f64> = BTreeMap::new();
            for (machine_type, cost) in &tasks {
                *deposits.entry(machine_type).or_default() += mean / cost;
            }
            let tau = self.tau.entry(class).or_default();
            for machine_type in machine_types {
                let old = tau.get(machine_type).copied().unwrap_or(1.0);
                let deposit = deposits.get(machine_type.as_str()).copied().unwrap_or(0.0);
                tau.insert(
                    machine_type.clone(),
                    ((1.0 - rho) * old + rho * deposit).max(TAU_FLOOR),
                );
            }
        }
    }

    /// Draws a type with chance τ over the summed τ of the types given.
    pub fn draw<'a>(
        &self,
        class: &ClassKey,
        machine_types: &[&'a str],
        rng: &mut impl Rng,
    ) -> Option<&'a str> {
        let taus: Vec<f64> = machine_types.iter().map(|s| self.tau(class, s)).collect();
        let mut left = rng.random::<f64>() * taus.iter().sum::<f64>();
        for (machine_type, tau) in machine_types.iter().zip(&taus) {
            left -= tau;
            if left <= 0.0 {
                return Some(machine_type);
            }
        }
        machine_types.last().copied()
    }
}

/// The paper's η (7): above 1 while a job holds less than it is owed.
pub fn eta(owed: f64, held: f64, all: f64) -> f64 {
    if all <= 0.0 {
        return 1.0;
    }
    let gap = 1.0 - (owed - held) / all;
    if gap <= 0.0 {
        ETA_MAX
    } else {
        (1.0 / gap).clamp(ETA_MIN, ETA_MAX)
    }
}
