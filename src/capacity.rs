//! The free capacity of the machines and the resource usage of the teams.
//!
//! [`ClusterCapacity`] is derived from the worker ledger: the free capacity of each machine, and
//! sums over the cluster. Only machines that have changed are updated, so that the cost of an event
//! does not grow with the number of machines. The ledger is authoritative; everything is recomputed
//! from it periodically. This module places no tasks: the scheduler allocates the resources of a
//! task here before it plans the task, so that its next decision takes them into account.

use crate::clock::{Micros, SECOND};
use crate::fault_injection::{InjectedFault, fault_injected};
use crate::seeded_hash::HashMap;
use crate::wire::{JobSpec, MachineType};
use crate::worker_ledger::{Machine, TaskState, WorkerLedger};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Amounts of a resource (cores, accelerators, GB) that differ by less than this are treated as
/// equal.
pub const EPSILON: f64 = 1e-6;
/// How often the sums are recomputed from the ledger, to remove accumulated floating-point errors.
const REBUILD_INTERVAL: Micros = 30 * SECOND;

/// An amount of each resource, such as the free capacity of a machine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// CPU cores.
    pub cores: f64,
    /// Accelerators.
    pub accelerators: f64,
    /// Memory in GB.
    pub memory_gb: f64,
}

impl Resources {
    /// The resources of an empty machine of the type.
    pub fn of(machine_type: &MachineType) -> Self {
        Self {
            cores: machine_type.cores,
            accelerators: machine_type.accelerators,
            memory_gb: machine_type.memory_gb,
        }
    }

    /// Subtracts the resources of one task of the job.
    pub fn subtract(&mut self, spec: &JobSpec) {
        self.cores -= spec.cores;
        self.accelerators -= spec.accelerators;
        self.memory_gb -= spec.memory_gb;
    }

    /// Adds the resources of one task of the job.
    pub fn add(&mut self, spec: &JobSpec) {
        self.cores += spec.cores;
        self.accelerators += spec.accelerators;
        self.memory_gb += spec.memory_gb;
    }

    /// The sum of both.
    pub fn plus(mut self, other: &Resources) -> Self {
        self.cores += other.cores;
        self.accelerators += other.accelerators;
        self.memory_gb += other.memory_gb;
        self
    }

    /// Whether one task of the job fits.
    pub fn fits(&self, spec: &JobSpec) -> bool {
        spec.cores <= self.cores + EPSILON
            && spec.accelerators <= self.accelerators + EPSILON
            && spec.memory_gb <= self.memory_gb + EPSILON
    }

    /// Whether any cores or accelerators are left.
    fn has_compute(&self) -> bool {
        self.cores > EPSILON || self.accelerators > EPSILON
    }

    /// How many tasks of the job fit.
    pub fn tasks_that_fit(&self, spec: &JobSpec) -> u64 {
        let fit = |available: f64, needed: f64| {
            if needed > 0.0 {
                ((available + EPSILON) / needed).floor().max(0.0) as u64
            } else {
                u64::MAX
            }
        };
        fit(self.cores, spec.cores)
            .min(fit(self.accelerators, spec.accelerators))
            .min(fit(self.memory_gb, spec.memory_gb))
    }
}

/// The free capacity of a machine; `None` if its machine type or the size of a task on it is
/// unknown.
pub fn free_resources(machine: &Machine, types: &[MachineType]) -> Option<Resources> {
    let mut free = type_of(machine, types).map(Resources::of)?;
    for (_, entry) in machine.tasks_holding_resources() {
        free.subtract(entry.spec.as_ref()?);
    }
    Some(free)
}

fn type_of<'a>(machine: &Machine, types: &'a [MachineType]) -> Option<&'a MachineType> {
    types.iter().find(|t| t.name == machine.machine_type)
}

/// The resources of all tasks of a team that may be on machines; compared with the team's quota.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// CPU cores.
    pub cores: f64,
    /// Accelerators.
    pub accelerators: f64,
}

impl Usage {
    /// Adds one task of the job.
    pub fn add(&mut self, spec: &JobSpec) {
        self.cores += spec.cores;
        self.accelerators += spec.accelerators;
    }

    /// Subtracts one task of the job.
    fn subtract(&mut self, spec: &JobSpec) {
        self.cores -= spec.cores;
        self.accelerators -= spec.accelerators;
    }

    fn add_usage(&mut self, other: &Usage) {
        self.cores += other.cores;
        self.accelerators += other.accelerators;
    }

    fn subtract_usage(&mut self, other: &Usage) {
        self.cores -= other.cores;
        self.accelerators -= other.accelerators;
    }
}

/// The capacity and usage of one machine, as of its last update.
#[derive(Clone, Debug, Default)]
pub struct MachineCapacity {
    /// Free capacity for new tasks; `None` while the machine accepts none.
    pub free: Option<Resources>,
    /// Resources of the tasks that are being stopped.
    pub being_freed: Resources,
    /// Whether the machine type and the sizes of all tasks on the machine are known.
    size_known: bool,
    /// Total cores of the machine.
    cores: f64,
    /// What each team uses on the machine.
    usage: Vec<(Arc<str>, Usage)>,
}

impl MachineCapacity {
    fn of(
        machine: &Machine,
        types: &[MachineType],
        now: Micros,
        heartbeat_grace_period: Micros,
    ) -> Self {
        let machine_type = type_of(machine, types);
        let mut free = machine_type.map(Resources::of);
        let mut capacity = Self {
            cores: machine_type.map_or(0.0, |t| t.cores),
            ..Self::default()
        };
        for (_, entry) in machine.tasks_holding_resources() {
            // Nothing may be placed on a machine that has a task of unknown size.
            let Some(spec) = &entry.spec else {
                free = None;
                continue;
            };
            let is_unconfirmed = matches!(entry.state, TaskState::Unconfirmed | TaskState::Sent);
            if !(is_unconfirmed && fault_injected(InjectedFault::UnconfirmedTaskNotCharged)) {
                capacity.charge(spec);
            }
            if let Some(free) = &mut free {
                free.subtract(spec);
            }
            if entry.is_stopping() {
                capacity.being_freed.add(spec);
            }
        }
        capacity.size_known = free.is_some();
        capacity.free = free.filter(|_| machine.is_usable(now, heartbeat_grace_period));
        capacity
    }

    /// Adds one task of the job to its team's usage.
    fn charge(&mut self, spec: &JobSpec) {
        match self.usage.iter_mut().find(|(team, _)| *team == spec.team) {
            Some((_, usage)) => usage.add(spec),
            None => {
                let mut usage = Usage::default();
                usage.add(spec);
                self.usage.push((spec.team.clone(), usage));
            }
        }
    }

    /// Subtracts one task of the job from its team's usage.
    fn refund(&mut self, spec: &JobSpec) {
        if let Some((_, usage)) = self.usage.iter_mut().find(|(team, _)| *team == spec.team) {
            usage.subtract(spec);
        }
    }
}

/// Free capacity and usage over all machines.
#[derive(Default)]
pub struct ClusterCapacity {
    /// The machines of the ledger, by name.
    pub machines: BTreeMap<Arc<str>, MachineCapacity>,
    /// Free capacity of the machines that accept new tasks and have cores or accelerators left.
    pub machines_with_capacity: BTreeMap<Arc<str>, Resources>,
    team_usage: HashMap<Arc<str>, Usage>,
    /// Total cores of the machines whose type is known.
    pub total_cores: f64,
    /// Cores that are free for new tasks.
    pub free_cores: f64,
    /// When everything is recomputed next.
    rebuild_at: Micros,
    /// How many machines were examined; tests use it to bound the cost of events.
    pub machines_examined: u64,
}

impl ClusterCapacity {
    /// Updates the machines that changed in the ledger. With `full`, also updates those that became
    /// available or unavailable for new tasks only because time passed. A machine is unavailable
    /// once its last heartbeat is older than `heartbeat_grace_period`. Recomputes everything every
    /// `REBUILD_INTERVAL`.
    pub fn refresh(
        &mut self,
        now: Micros,
        workers: &mut WorkerLedger,
        types: &[MachineType],
        heartbeat_grace_period: Micros,
        full: bool,
    ) {
        let mut changed = workers.take_changed_machines();
        if now >= self.rebuild_at {
            self.rebuild_at = now + REBUILD_INTERVAL;
            self.rebuild(now, workers, types, heartbeat_grace_period);
            return;
        }
        if full {
            changed.extend(self.machines_with_outdated_availability(
                now,
                workers,
                heartbeat_grace_period,
            ));
        }
        for id in changed {
            match workers.machines.get(&id) {
                Some(machine) => self.update_machine(now, machine, types, heartbeat_grace_period),
                None => self.remove_machine(&id),
            }
        }
    }

    /// The machines that are missing here or whose recorded availability differs from the current
    /// one.
    fn machines_with_outdated_availability(
        &self,
        now: Micros,
        workers: &WorkerLedger,
        heartbeat_grace_period: Micros,
    ) -> Vec<Arc<str>> {
        // Both maps are ordered by name, so one pass iterates over both in parallel. Looking up
        // each machine by name would be most of the cost.
        let mut known = self.machines.iter().peekable();
        let mut outdated = Vec::new();
        for (id, machine) in &workers.machines {
            while known.next_if(|(name, _)| *name < id).is_some() {}
            let capacity = known
                .next_if(|(name, _)| *name == id)
                .map(|(_, known)| known);
            let is_current = |known: &MachineCapacity| {
                known.free.is_some()
                    == (known.size_known && machine.is_usable(now, heartbeat_grace_period))
            };
            if !capacity.is_some_and(is_current) {
                outdated.push(id.clone());
            }
        }
        outdated
    }

    /// Recomputes everything from the ledger.
    pub fn rebuild(
        &mut self,
        now: Micros,
        workers: &WorkerLedger,
        types: &[MachineType],
        heartbeat_grace_period: Micros,
    ) {
        self.machines.clear();
        self.machines_with_capacity.clear();
        self.team_usage.clear();
        (self.total_cores, self.free_cores) = (0.0, 0.0);
        for machine in workers.machines.values() {
            self.update_machine(now, machine, types, heartbeat_grace_period);
        }
    }

    fn remove_machine(&mut self, id: &Arc<str>) {
        if let Some(old) = self.machines.remove(id) {
            self.subtract_machine(&old);
            self.machines_with_capacity.remove(id);
        }
    }

    /// Adds a machine to the sums over the cluster.
    fn add_machine(&mut self, new: &MachineCapacity) {
        self.total_cores += new.cores;
        for (team, usage) in &new.usage {
            self.team_usage
                .entry(team.clone())
                .or_default()
                .add_usage(usage);
        }
        self.free_cores += new.free.map_or(0.0, |free| free.cores);
    }

    /// Subtracts a machine from the sums over the cluster.
    fn subtract_machine(&mut self, old: &MachineCapacity) {
        self.total_cores -= old.cores;
        self.free_cores -= old.free.map_or(0.0, |free| free.cores);
        for (team, usage) in &old.usage {
            if let Some(sum) = self.team_usage.get_mut(team) {
                sum.subtract_usage(usage);
            }
        }
    }

    fn update_machine(
        &mut self,
        now: Micros,
        machine: &Machine,
        types: &[MachineType],
        heartbeat_grace_period: Micros,
    ) {
        self.machines_examined += 1;
        let new = MachineCapacity::of(machine, types, now, heartbeat_grace_period);
        let free = new.free;
        self.add_machine(&new);
        // The entry of a known machine is replaced in place: machines change far more often than
        // they are added or removed.
        let old = match self.machines.get_mut(&machine.id) {
            Some(known) => Some(std::mem::replace(known, new)),
            None => self.machines.insert(machine.id.clone(), new),
        };
        if let Some(old) = &old {
            self.subtract_machine(old);
        }
        match free.filter(Resources::has_compute) {
            Some(free) => match self.machines_with_capacity.get_mut(&machine.id) {
                Some(known) => *known = free,
                None => {
                    self.machines_with_capacity.insert(machine.id.clone(), free);
                }
            },
            None if old.is_some_and(|old| old.free.is_some()) => {
                self.machines_with_capacity.remove(&machine.id);
            }
            None => {}
        }
    }

    /// What a team uses on all machines.
    pub fn team_usage(&self, team: &str) -> Usage {
        self.team_usage.get(team).copied().unwrap_or_default()
    }

    /// Allocates the resources of a task that is about to be planned on the machine. They are also
    /// added to the machine's usage: its next update, which finds the task in the ledger, then
    /// subtracts the old usage. Otherwise the team would be charged twice for the task and could
    /// not use its whole quota.
    pub fn allocate(&mut self, id: &Arc<str>, spec: &JobSpec) {
        if let Some(machine) = self.machines.get_mut(id) {
            machine.charge(spec);
            if let Some(free) = &mut machine.free {
                free.subtract(spec);
                self.free_cores -= spec.cores;
                if !free.has_compute() {
                    self.machines_with_capacity.remove(id);
                } else if let Some(known) = self.machines_with_capacity.get_mut(id) {
                    *known = *free;
                }
            }
        }
        self.team_usage
            .entry(spec.team.clone())
            .or_default()
            .add(spec);
    }

    /// Undoes [`ClusterCapacity::allocate`].
    pub fn deallocate(&mut self, id: &Arc<str>, spec: &JobSpec) {
        if let Some(machine) = self.machines.get_mut(id) {
            machine.refund(spec);
            if let Some(free) = &mut machine.free {
                free.add(spec);
                self.free_cores += spec.cores;
                self.machines_with_capacity.insert(id.clone(), *free);
            }
        }
        if let Some(usage) = self.team_usage.get_mut(&spec.team) {
            usage.subtract(spec);
        }
    }
}
