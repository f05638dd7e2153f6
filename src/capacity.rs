//! Free capacity of the machines and usage of the teams.
//!
//! Owns a summary of the worker ledger: for each machine what is free on it, and the sums over the
//! cluster. It is kept up to date by the machines that changed, since the cost of an event must not
//! grow with the number of machines. The ledger is the truth: whatever stands here can be derived
//! from it again, and is from time to time. Places nothing; the scheduler reserves here what it is
//! about to plan, so that the next decision counts it.

use crate::clock::{Micros, SECOND};
use crate::fault_injection::{InjectedFault, fault_injected};
use crate::seeded_hash::HashMap;
use crate::wire::{JobSpec, MachineType};
use crate::worker_ledger::{Machine, TaskState, WorkerLedger};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Amounts (cores, accelerators, GB) that differ by less than this count as equal.
pub const EPSILON: f64 = 1e-6;
/// How often the sums are derived anew, against the drift of floating-point sums.
const REBUILD_INTERVAL: Micros = 30 * SECOND;

/// An amount of each resource, such as what is free on a machine.
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
    /// What an empty machine of the type has.
    pub fn of(machine_type: &MachineType) -> Self {
        Self {
            cores: machine_type.cores,
            accelerators: machine_type.accelerators,
            memory_gb: machine_type.memory_gb,
        }
    }

    /// Takes off what one task of the job needs.
    pub fn subtract(&mut self, spec: &JobSpec) {
        self.cores -= spec.cores;
        self.accelerators -= spec.accelerators;
        self.memory_gb -= spec.memory_gb;
    }

    /// Adds what one task of the job needs.
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

    /// Whether any task may fit at all.
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

/// What a machine has left beside what it holds; `None` when its type or the size of something on
/// it is not known.
pub fn free_resources(machine: &Machine, types: &[MachineType]) -> Option<Resources> {
    let mut free = type_of(machine, types).map(Resources::of)?;
    for (_, entry) in machine.held_tasks() {
        free.subtract(entry.spec.as_ref()?);
    }
    Some(free)
}

fn type_of<'a>(machine: &Machine, types: &'a [MachineType]) -> Option<&'a MachineType> {
    types.iter().find(|t| t.name == machine.machine_type)
}

/// What a team uses, counted by everything that may be on a machine; checked against its quota.
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

    /// Takes one task of the job off.
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

/// What one machine contributes, as of its last update.
#[derive(Clone, Debug, Default)]
pub struct MachineCapacity {
    /// What is free for new tasks; `None` when the machine takes none now.
    pub free: Option<Resources>,
    /// What tasks that are being stopped will free.
    pub freeing: Resources,
    /// Its size is known, and that of everything it holds.
    size_known: bool,
    /// All its cores, free or not.
    cores: f64,
    /// What each team uses of it.
    usage: Vec<(Arc<str>, Usage)>,
}

impl MachineCapacity {
    fn of(machine: &Machine, types: &[MachineType], now: Micros, silence: Micros) -> Self {
        let machine_type = type_of(machine, types);
        let mut free = machine_type.map(Resources::of);
        let mut capacity = Self {
            cores: machine_type.map_or(0.0, |t| t.cores),
            ..Self::default()
        };
        for (_, entry) in machine.held_tasks() {
            // Beside a task of unknown size nothing may be placed.
            let Some(spec) = &entry.spec else {
                free = None;
                continue;
            };
            let is_unproven = matches!(entry.state, TaskState::Unconfirmed | TaskState::Sent);
            if !(is_unproven && fault_injected(InjectedFault::UnconfirmedTaskNotCharged)) {
                capacity.charge(spec);
            }
            if let Some(free) = &mut free {
                free.subtract(spec);
            }
            if entry.is_stopping() {
                capacity.freeing.add(spec);
            }
        }
        capacity.size_known = free.is_some();
        capacity.free = free.filter(|_| machine.is_usable(now, silence));
        capacity
    }

    /// Charges one task of the job to its team.
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

    /// Takes one task of the job off its team's usage.
    fn refund(&mut self, spec: &JobSpec) {
        if let Some((_, usage)) = self.usage.iter_mut().find(|(team, _)| *team == spec.team) {
            usage.subtract(spec);
        }
    }
}

/// Free capacity and usage over all machines.
#[derive(Default)]
pub struct ClusterCapacity {
    /// Every machine of the ledger, by name.
    pub machines: BTreeMap<Arc<str>, MachineCapacity>,
    /// What is free on the machines that take new tasks and have cores or accelerators left.
    pub open_machines: BTreeMap<Arc<str>, Resources>,
    team_usage: HashMap<Arc<str>, Usage>,
    /// Cores of all machines whose type is known.
    pub total_cores: f64,
    /// Cores that are free for new tasks.
    pub free_cores: f64,
    /// When the sums are next derived anew.
    rebuild_at: Micros,
    /// How many machines were examined, for tests that bound the work.
    pub machines_examined: u64,
}

impl ClusterCapacity {
    /// Updates the machines that changed; with `whole` also those that only the passing of time
    /// has made available or unavailable for new tasks. `silence` is the time after which a
    /// machine that sends nothing is unavailable. Every `REBUILD_INTERVAL` everything is derived
    /// anew.
    pub fn refresh(
        &mut self,
        now: Micros,
        workers: &mut WorkerLedger,
        types: &[MachineType],
        silence: Micros,
        whole: bool,
    ) {
        let mut changed = workers.take_changed();
        if now >= self.rebuild_at {
            self.rebuild_at = now + REBUILD_INTERVAL;
            self.rebuild(now, workers, types, silence);
            return;
        }
        if whole {
            changed.extend(self.machines_with_outdated_availability(now, workers, silence));
        }
        for id in changed {
            match workers.machines.get(&id) {
                Some(machine) => self.update_machine(now, machine, types, silence),
                None => self.remove_machine(&id),
            }
        }
    }

    /// The machines that are missing here, or that are available and counted as not, or the other
    /// way round.
    fn machines_with_outdated_availability(
        &self,
        now: Micros,
        workers: &WorkerLedger,
        silence: Micros,
    ) -> Vec<Arc<str>> {
        // Both maps are in the order of names, so they are walked side by side: a look-up by name for
        // each machine was most of what this cost.
        let mut known = self.machines.iter().peekable();
        let mut outdated = Vec::new();
        for (id, machine) in &workers.machines {
            while known.next_if(|(name, _)| *name < id).is_some() {}
            let capacity = known
                .next_if(|(name, _)| *name == id)
                .map(|(_, known)| known);
            let is_current = |known: &MachineCapacity| {
                known.free.is_some() == (known.size_known && machine.is_usable(now, silence))
            };
            if !capacity.is_some_and(is_current) {
                outdated.push(id.clone());
            }
        }
        outdated
    }

    /// Derives everything anew from the ledger.
    pub fn rebuild(
        &mut self,
        now: Micros,
        workers: &WorkerLedger,
        types: &[MachineType],
        silence: Micros,
    ) {
        self.machines.clear();
        self.open_machines.clear();
        self.team_usage.clear();
        (self.total_cores, self.free_cores) = (0.0, 0.0);
        for machine in workers.machines.values() {
            self.update_machine(now, machine, types, silence);
        }
    }

    fn remove_machine(&mut self, id: &Arc<str>) {
        if let Some(old) = self.machines.remove(id) {
            self.subtract_machine(&old);
            self.open_machines.remove(id);
        }
    }

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
        silence: Micros,
    ) {
        self.machines_examined += 1;
        let new = MachineCapacity::of(machine, types, now, silence);
        let free = new.free;
        self.add_machine(&new);
        // A machine that is known is written over: it changes far more often than it comes or goes.
        let old = match self.machines.get_mut(&machine.id) {
            Some(known) => Some(std::mem::replace(known, new)),
            None => self.machines.insert(machine.id.clone(), new),
        };
        if let Some(old) = &old {
            self.subtract_machine(old);
        }
        match free.filter(Resources::has_compute) {
            Some(free) => match self.open_machines.get_mut(&machine.id) {
                Some(open) => *open = free,
                None => {
                    self.open_machines.insert(machine.id.clone(), free);
                }
            },
            None if old.is_some_and(|old| old.free.is_some()) => {
                self.open_machines.remove(&machine.id);
            }
            None => {}
        }
    }

    /// What a team uses of all machines.
    pub fn team_usage(&self, team: &str) -> Usage {
        self.team_usage.get(team).copied().unwrap_or_default()
    }

    /// Reserves the resources of a task that is about to be planned on the machine; the next update
    /// of the machine finds the task there. The reservation counts as part of the machine, so that
    /// this update takes it off: the team would else be charged for the task twice, and kept from
    /// using what it may.
    pub fn reserve(&mut self, id: &Arc<str>, spec: &JobSpec) {
        if let Some(machine) = self.machines.get_mut(id) {
            machine.charge(spec);
            if let Some(free) = &mut machine.free {
                free.subtract(spec);
                self.free_cores -= spec.cores;
                if !free.has_compute() {
                    self.open_machines.remove(id);
                } else if let Some(open) = self.open_machines.get_mut(id) {
                    *open = *free;
                }
            }
        }
        self.team_usage
            .entry(spec.team.clone())
            .or_default()
            .add(spec);
    }

    /// Takes a reservation back.
    pub fn release(&mut self, id: &Arc<str>, spec: &JobSpec) {
        if let Some(machine) = self.machines.get_mut(id) {
            machine.refund(spec);
            if let Some(free) = &mut machine.free {
                free.add(spec);
                self.free_cores += spec.cores;
                self.open_machines.insert(id.clone(), *free);
            }
        }
        if let Some(usage) = self.team_usage.get_mut(&spec.team) {
            usage.subtract(spec);
        }
    }
}
