//! Computes the demand for more machines: the waiting tasks that do not fit on the machines that
//! are registered or booting.
//!
//! Changes no state; the autoscaler decides whether machines are rented for the demand.

use super::Scheduler;
use super::feasibility::is_type_allowed;
use super::unplaceable::UnplaceableSizes;
use crate::capacity::{EPSILON, Resources, Usage, free_resources};
use crate::clock::{Micros, SECOND};
use crate::jobs::JobTable;
use crate::seeded_hash::HashMap;
use crate::settings::Settings;
use crate::wire::{JobSpec, MachineType};
use crate::worker_ledger::WorkerLedger;
use std::sync::Arc;

/// A machine whose last heartbeat is no older than this is expected to become usable again.
const SILENCE_TOLERANCE: Micros = 60 * SECOND;
/// Upper bound of the number of tasks that one machine is assumed to hold.
const TASKS_PER_MACHINE_MAX: u64 = 1 << 20;

/// Tasks of one job that do not fit.
struct UnplacedTasks {
    spec: Arc<JobSpec>,
    tasks: u64,
}

/// The waiting tasks that do not fit on the registered and booting machines, and the capacity that
/// these machines have left.
pub struct Demand {
    unplaced: Vec<UnplacedTasks>,
    /// Cores that would still be free after all waiting tasks that fit had started, including those
    /// of booting machines.
    pub free_cores: f64,
    /// Cores of all machines in the cluster.
    pub total_cores: f64,
}

impl Demand {
    /// How many machines of this type, zone and rental kind (spot or not) the tasks that do not fit
    /// would fill.
    pub fn machines_needed(&self, machine_type: &MachineType, zone: &str, spot: bool) -> u32 {
        let mut machines = 0.0;
        for UnplacedTasks { spec, tasks } in &self.unplaced {
            let tasks_per_machine = Resources::of(machine_type).tasks_that_fit(spec);
            let is_allowed = is_type_allowed(spec, &machine_type.name)
                && (spec.spot || !spot)
                && spec.zone.as_ref().is_none_or(|wanted| wanted == zone);
            if is_allowed && tasks_per_machine > 0 {
                machines += *tasks as f64 / tasks_per_machine.min(TASKS_PER_MACHINE_MAX) as f64;
            }
        }
        machines.ceil() as u32
    }
}

impl Scheduler {
    /// Computes which waiting tasks do not fit on the registered and booting machines. `booting`
    /// lists each machine that was rented and has not sent a heartbeat yet: its machine type, and
    /// whether it is a spot machine.
    pub fn unmet_demand(
        &self,
        now: Micros,
        table: &JobTable,
        workers: &WorkerLedger,
        types: &[MachineType],
        booting: &[(String, bool)],
        settings: &Settings,
    ) -> Demand {
        let mut free = self.expected_capacity(now, workers, types, booting);
        let mut team_usage: HashMap<Arc<str>, Usage> = HashMap::default();
        let mut unplaceable = UnplaceableSizes::default();
        let mut unplaced = Vec::new();
        for job in table.by_number.values().filter(|job| !job.cancelled) {
            let spec = &job.spec;
            let mut tasks = job.startable_tasks(&self.schema);
            if let Some(team) = settings.team(&spec.team).filter(|team| team.cpus_max > 0.0) {
                let usage = team_usage
                    .entry(spec.team.clone())
                    .or_insert_with(|| self.capacity.team_usage(&spec.team));
                let allowed = ((team.cpus_max - usage.cores + EPSILON) / spec.cores.max(EPSILON))
                    .floor()
                    .max(0.0) as u64;
                tasks = tasks.min(allowed);
                usage.cores += tasks as f64 * spec.cores;
            }
            if tasks > 0 && !unplaceable.covers(spec) {
                tasks = fill(&mut free, spec, tasks);
                if tasks > 0 {
                    unplaceable.add(spec);
                }
            }
            if tasks > 0 {
                unplaced.push(UnplacedTasks {
                    spec: spec.clone(),
                    tasks,
                });
            }
        }
        Demand {
            unplaced,
            free_cores: free.iter().map(|free| free.cores.max(0.0)).sum(),
            total_cores: self.capacity.total_cores,
        }
    }

    /// The capacity that is free, or is expected to be free soon, on each registered or booting
    /// machine.
    fn expected_capacity(
        &self,
        now: Micros,
        workers: &WorkerLedger,
        types: &[MachineType],
        booting: &[(String, bool)],
    ) -> Vec<Resources> {
        let by_name: HashMap<&str, &MachineType> =
            types.iter().map(|t| (t.name.as_str(), t)).collect();
        let mut expected: Vec<Resources> = Vec::new();
        for machine in workers.machines.values() {
            let entry = self.capacity.machines.get(&machine.id);
            match entry.and_then(|entry| entry.free) {
                Some(free) => expected.push(free),
                // A machine that has just missed heartbeats is expected to be usable again soon.
                None if machine.is_usable(now, SILENCE_TOLERANCE) => {
                    expected.extend(free_resources(machine, types));
                }
                None => {}
            }
        }
        expected.retain(|free| free.cores > EPSILON || free.accelerators > EPSILON);
        expected.extend(booting.iter().filter_map(|(machine_type, _)| {
            let machine_type = by_name.get(machine_type.as_str())?;
            Some(Resources::of(machine_type))
        }));
        expected
    }
}

/// Subtracts the tasks from the free capacity, first fit; returns how many of them do not fit.
fn fill(free: &mut [Resources], spec: &JobSpec, mut tasks: u64) -> u64 {
    for machine in free {
        while tasks > 0 && machine.fits(spec) {
            machine.subtract(spec);
            tasks -= 1;
        }
    }
    tasks
}
