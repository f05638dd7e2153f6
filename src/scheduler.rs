//! Assigns tasks to machines with E-Ant, an ant-colony scheduling algorithm: each pair of a job
//! class and a machine type has a pheromone level, the machine type of a task is drawn at random in
//! proportion to it, the first machine of that type on which the task fits is used, and jobs are
//! weighted by fairness. Numbers in parentheses, such as (3), and sections, such as IV.C, refer to
//! the E-Ant paper. `docs/design.md` and the comments of the code say where the scheduler departs
//! from it.
//!
//! The scheduler owns the pheromone levels, the free capacity, the learned run times and the
//! reservations of one leader term. It does no I/O: it plans starts and stops in the worker ledger
//! and in the jobs, and the caller stores them and sends the commands. The same inputs and the same
//! seed must give the same decisions, so a change of the order of random draws or of floating-point
//! operations changes behaviour.
//!
//! Submodules, in the order of their dependencies:
//! - `context`, `feasibility` and `unplaceable` do not access the scheduler's state;
//! - `objectives`, `job_order`, `reservation` and `ranking` read it;
//! - `booking`, `aging` and `preempt` change it;
//! - `placement` runs a scheduling pass with all of these;
//! - `demand` and `wait_reason` read the state for autoscaling and for operators.

mod aging;
mod booking;
mod context;
mod demand;
mod feasibility;
mod job_order;
mod objectives;
mod pheromone;
mod placement;
mod preempt;
mod ranking;
mod reservation;
mod unplaceable;
mod wait_reason;

use crate::capacity::{ClusterCapacity, EPSILON};
use crate::clock::{Micros, from_secs, to_secs};
use crate::schema::Schema;
use crate::seeded_hash::{HashMap, HashSet};
use crate::settings::{Objective, Properties, Settings};
use crate::task_id::TaskId;
use crate::wire::{JobSpec, MachineType};
use crate::worker_ledger::WorkerLedger;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::BTreeMap;
use std::sync::Arc;

pub use booking::Placement;
pub use context::heartbeat_grace_period;
pub use demand::Demand;
pub use feasibility::impossible_reason;
pub use pheromone::{ClassKey, Pheromone, fairness_weight};
use reservation::{AgedReservation, Reservation};

/// Time constant of the exponentially weighted average of the completion rate.
const COMPLETION_RATE_WINDOW_S: f64 = 8.0;
/// Weight of the newest run in the learned ratio of actual to estimated run time.
const RUN_RATIO_NEW_WEIGHT: f64 = 0.1;
/// Weight of the ratio learned from all earlier runs.
const RUN_RATIO_OLD_WEIGHT: f64 = 0.9;
/// Lower bound of the ratio of a single run.
const RUN_RATIO_MIN: f64 = 0.1;
/// Upper bound of the ratio of a single run.
const RUN_RATIO_MAX: f64 = 10.0;
/// Lower bound of the expected run time of a task.
const EXPECTED_RUN_TIME_MIN_S: f64 = 1.0;
/// Converts prices per hour to prices per second.
const SECONDS_PER_HOUR: f64 = 3600.0;

/// The scheduler of one leader term.
pub struct Scheduler {
    pheromone: Pheromone,
    /// The schema in which jobs are stored; it limits how many placements of a job can be stored.
    pub schema: Schema,
    /// Random generator for the draws of machine types.
    rng: SmallRng,
    /// The exponent β of the fairness weight, equation (8).
    fairness_exponent: f64,
    /// The share ρ of the pheromone that evaporates in each round, equation (4).
    evaporation: f64,
    objectives: Vec<Objective>,
    /// Learned ratio of actual to estimated run time, by the job's class.
    run_ratio: HashMap<Arc<str>, f64>,
    round_length: Micros,
    next_round_at: Micros,
    /// The reservation of each reserved machine.
    reservations: BTreeMap<Arc<str>, Reservation>,
    /// The free capacity of each machine and the usage of each team.
    pub capacity: ClusterCapacity,
    /// When the availability of all machines is checked next.
    full_refresh_at: Micros,
    /// The earliest time of the next pass that may preempt tasks.
    next_preemption_at: Micros,
    /// Numbers of the jobs that wait for capacity on a machine that has their image cached.
    waiting_for_image: HashSet<u32>,
    /// The first tasks placed for aged jobs, and when each was planned.
    aged_first_tasks: HashMap<TaskId, Micros>,
    /// The machine reserved for each aged job, by job number.
    aged_reservations: BTreeMap<u32, AgedReservation>,
    /// Cores per second that ending tasks have freed, as averaged at `completion_rate_at`.
    completion_rate: f64,
    completion_rate_at: Micros,
    /// How many cores of running tasks may still be preempted; each preemption subtracts the cores
    /// of its task.
    pub preemption_allowance: f64,
    /// Rate at which machines fetch images, in gigabytes per second, by machine type.
    fetch_rates: BTreeMap<String, f64>,
}

impl Scheduler {
    /// Creates the scheduler of a term that begins at `now` (steady clock), without learned values.
    /// `seed` determines the random draws.
    pub fn new(
        props: &Properties,
        settings: &Settings,
        schema: Schema,
        seed: u64,
        now: Micros,
    ) -> Self {
        Self {
            pheromone: Pheromone::default(),
            schema,
            rng: SmallRng::seed_from_u64(seed),
            fairness_exponent: props.fairness_exponent,
            evaporation: props.evaporation,
            objectives: settings.deployment.objectives.clone(),
            run_ratio: HashMap::default(),
            round_length: props.pheromone_round,
            next_round_at: now + props.pheromone_round,
            reservations: BTreeMap::new(),
            capacity: ClusterCapacity::default(),
            full_refresh_at: now,
            next_preemption_at: now,
            waiting_for_image: HashSet::default(),
            aged_first_tasks: HashMap::default(),
            aged_reservations: BTreeMap::new(),
            completion_rate: 0.0,
            completion_rate_at: now,
            preemption_allowance: f64::INFINITY,
            fetch_rates: BTreeMap::new(),
        }
    }

    /// Ends the pheromone round if it is due, and returns whether it was. At the end of a round the
    /// pheromone levels are updated by equations (4) and (5).
    pub fn end_round_if_due(&mut self, now: Micros, types: &[MachineType]) -> bool {
        let is_due = now >= self.next_round_at;
        if is_due {
            self.next_round_at = now + self.round_length;
            let machine_types: Vec<String> = types.iter().map(|t| t.name.clone()).collect();
            self.pheromone.end_round(self.evaporation, &machine_types);
        }
        is_due
    }

    /// Updates the pheromone and the learned run time with a task that succeeded after running for
    /// `ran`. Where the paper uses the energy of a task (IV.B), this uses its cost: price × share
    /// of the machine that it requested × run time.
    pub fn learn_from_completion(
        &mut self,
        spec: &JobSpec,
        machine_type: &MachineType,
        spot: bool,
        ran: Micros,
    ) {
        let price = if spot {
            machine_type.spot_price
        } else {
            machine_type.price
        };
        let share = (spec.cores / machine_type.cores.max(EPSILON))
            .max(spec.memory_gb / machine_type.memory_gb.max(EPSILON))
            .clamp(0.0, 1.0);
        self.pheromone.record_completion(
            ClassKey::of(spec),
            &machine_type.name,
            price / SECONDS_PER_HOUR * share * to_secs(ran),
        );
        if spec.estimate_s > 0.0 && ran > 0 {
            let ratio = (to_secs(ran) / spec.estimate_s).clamp(RUN_RATIO_MIN, RUN_RATIO_MAX);
            let learned = self.run_ratio.entry(spec.class.clone()).or_insert(ratio);
            *learned = RUN_RATIO_OLD_WEIGHT * *learned + RUN_RATIO_NEW_WEIGHT * ratio;
        }
    }

    /// Estimates the completion rate from the tasks on the machines, as if each freed its cores
    /// once per expected run time; stores and returns the estimate. A new leader has not seen any
    /// task end. With a completion rate of 0 it would preempt for every waiting task, as if no
    /// capacity became free by itself.
    pub fn estimate_completion_rate(&mut self, now: Micros, workers: &WorkerLedger) -> f64 {
        let held = workers
            .machines
            .values()
            .flat_map(|machine| machine.tasks_holding_resources());
        let specs = held.filter_map(|(_, entry)| entry.spec.as_ref());
        let rates = specs.map(|spec| spec.cores / to_secs(self.expected_run_time(spec)));
        self.completion_rate = rates.sum();
        self.completion_rate_at = now;
        self.completion_rate
    }

    /// Adds a task that ended by itself, freeing this many cores, to the completion rate.
    pub fn record_completion(&mut self, now: Micros, cores: f64) {
        self.completion_rate = self.completion_rate(now) + cores / COMPLETION_RATE_WINDOW_S;
        self.completion_rate_at = now;
    }

    /// The completion rate: cores per second that become free because tasks end by themselves, as
    /// an exponentially weighted average over `COMPLETION_RATE_WINDOW_S`.
    pub fn completion_rate(&self, now: Micros) -> f64 {
        let age_s = to_secs(now.saturating_sub(self.completion_rate_at));
        self.completion_rate * (-age_s / COMPLETION_RATE_WINDOW_S).exp()
    }

    /// How long a task of the job is expected to run: the user's estimate times the ratio of actual
    /// to estimated run time that was learned for the job's class.
    pub fn expected_run_time(&self, spec: &JobSpec) -> Micros {
        let ratio = self.run_ratio.get(&spec.class).copied().unwrap_or(1.0);
        from_secs((spec.estimate_s * ratio).max(EXPECTED_RUN_TIME_MIN_S))
    }
}
