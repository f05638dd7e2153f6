//! Task assignment after E-Ant: pheromone per job class and machine type, draws in proportion to it,
//! first fit within a type, jobs weighted by fairness. What goes beyond the paper is said at the
//! place and in `docs/design.md`.
//!
//! The scheduler owns the pheromone, the free capacity, the learned run times and the reservations,
//! all of one leader term. It does no I/O: it plans starts and stops in the worker ledger and in the
//! jobs, and the caller stores and sends them. The same inputs and seed give the same decisions, so
//! neither the order of draws nor that of floating-point operations may change unnoticed.
//!
//! Submodules, from the lowest: `context`, `feasibility` and `unplaceable` know no state;
//! `objectives`, `job_order`, `reservation` and `ranking` read it; `booking`, `aging` and `preempt`
//! change it; `placement` runs a pass over all of them. `demand` and `wait_reason` only report.

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
pub use context::silence_limit;
pub use demand::Demand;
pub use feasibility::impossible_reason;
pub use pheromone::{ClassKey, Pheromone, eta};
use reservation::{AgedReservation, Reservation};

/// The time over which the completion rate is averaged.
const COMPLETION_RATE_WINDOW_S: f64 = 8.0;
/// The weight of the newest run in the learned ratio of real to estimated run time.
const RUN_RATIO_NEW_WEIGHT: f64 = 0.1;
/// The weight of all runs before it.
const RUN_RATIO_OLD_WEIGHT: f64 = 0.9;
/// One run changes the learned ratio as if it had been no lower than this.
const RUN_RATIO_MIN: f64 = 0.1;
/// One run changes the learned ratio as if it had been no higher than this.
const RUN_RATIO_MAX: f64 = 10.0;
/// The least run time that is expected of any task.
const EXPECTED_RUN_MIN_S: f64 = 1.0;
/// Prices are per hour, run times in seconds.
const SECONDS_PER_HOUR: f64 = 3600.0;

/// The scheduler of one leader term.
pub struct Scheduler {
    pheromone: Pheromone,
    /// The storage schema: it limits how many placements of a job can be stored.
    pub schema: Schema,
    /// The draws of machine types.
    rng: SmallRng,
    /// The paper's β (8).
    fairness_exponent: f64,
    /// The paper's ρ (4): the part of the pheromone that evaporates in a round.
    evaporation: f64,
    objectives: Vec<Objective>,
    /// Real over estimated run time per class, learned.
    run_ratio: HashMap<Arc<str>, f64>,
    round_length: Micros,
    next_round_at: Micros,
    /// Capacity that is withheld from some of the work, by machine.
    reservations: BTreeMap<Arc<str>, Reservation>,
    /// What is free on each machine, and what each team uses.
    pub capacity: ClusterCapacity,
    /// When the capacity of all machines is recomputed next.
    full_refresh_at: Micros,
    /// When the next pass may preempt.
    next_preemption_at: Micros,
    /// Jobs that wait for a machine that holds their image.
    waiting_for_image: HashSet<u32>,
    /// First tasks of aged jobs, and when they were planned.
    aged_first_tasks: HashMap<TaskId, Micros>,
    /// The machine reserved for each aged job, by job.
    aged_reservations: BTreeMap<u32, AgedReservation>,
    /// Cores a second that tasks left by ending, averaged at `completion_rate_at`.
    completion_rate: f64,
    completion_rate_at: Micros,
    /// How many cores of running work may be preempted at the moment; each preemption takes its
    /// cores off.
    pub preemption_allowance: f64,
    /// Gigabytes a second by machine type.
    fetch_rates: BTreeMap<String, f64>,
}

impl Scheduler {
    /// A scheduler that knows nothing yet, for a term that begins at `now` (steady clock). The
    /// draws follow from the seed.
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

    /// Ends the pheromone round, the paper's (4) and (5), when it is due. Returns whether it did.
    pub fn tick(&mut self, now: Micros, types: &[MachineType]) -> bool {
        let is_due = now >= self.next_round_at;
        if is_due {
            self.next_round_at = now + self.round_length;
            let machine_types: Vec<String> = types.iter().map(|t| t.name.clone()).collect();
            self.pheromone.round(self.evaporation, &machine_types);
        }
        is_due
    }

    /// Learns from a task that ended well after running for `ran`. Its cost, which takes the place
    /// of the paper's energy (IV.B), is price × booked share of the machine × run time.
    pub fn task_done(
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
        self.pheromone.finished(
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

    /// Sets the completion rate from the tasks that are held, as if each ended once per expected
    /// run time, and returns it. A new leader has seen no task end yet: without this it would
    /// preempt for each task that waits, since nothing seems to come free.
    pub fn expect_completion_rate(&mut self, now: Micros, workers: &WorkerLedger) -> f64 {
        let held = workers
            .machines
            .values()
            .flat_map(|machine| machine.held_tasks());
        let specs = held.filter_map(|(_, entry)| entry.spec.as_ref());
        let rates = specs.map(|spec| spec.cores / to_secs(self.expected_run(spec)));
        self.completion_rate = rates.sum();
        self.completion_rate_at = now;
        self.completion_rate
    }

    /// Notes that a task ended by itself and left its cores.
    pub fn note_completion(&mut self, now: Micros, cores: f64) {
        self.completion_rate = self.completion_rate(now) + cores / COMPLETION_RATE_WINDOW_S;
        self.completion_rate_at = now;
    }

    /// The completion rate: cores a second that come free because tasks end by themselves, as an
    /// exponentially weighted average of the last seconds.
    pub fn completion_rate(&self, now: Micros) -> f64 {
        let age_s = to_secs(now.saturating_sub(self.completion_rate_at));
        self.completion_rate * (-age_s / COMPLETION_RATE_WINDOW_S).exp()
    }

    /// How long a task of the job is expected to run: the user's estimate, corrected by what was
    /// learned of the class.
    pub fn expected_run(&self, spec: &JobSpec) -> Micros {
        let ratio = self.run_ratio.get(&spec.class).copied().unwrap_or(1.0);
        from_secs((spec.estimate_s * ratio).max(EXPECTED_RUN_MIN_S))
    }
}
