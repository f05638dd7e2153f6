//! What is free on the machines and what each team uses, kept up to date by the machines that
//! changed: the cost of an event must not grow with the number of machines.

use crate::clock::{Micros, SECOND};
use crate::fault_injection::{InjectedFault, fault_injected};
use crate::seeded_hash::HashMap;
use crate::wire::{JobSpec, MachineType};
use crate::worker_ledger::{Machine, TaskState, WorkerLedger};
use std::collections::BTreeMap;
use std::sync::Arc;

pub const EPSILON: f64 = 1e-6;
const REBUILD_INTERVAL: Micros = 30 * SECOND;

/// What is free on a machine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    pub cores: f64,
    pub accelerators: f64,
    pub memory_gb: f64,
}

impl Resources {
    pub fn of(t: &MachineType) -> Self {
        Self {
            cores: t.cores,
            accelerators: t.accelerators,
            memory_gb: t.memory_gb,
        }
    }

    pub fn subtract(&mut self, s: &JobSpec) {
        self.cores -= s.cores;
        self.accelerators -= s.accelerators;
        self.memory_gb -= s.memory_gb;
    }

    pub fn add(&mut self, s: &JobSpec) {
        self.cores += s.cores;
        self.accelerators += s.accelerators;
        self.memory_gb += s.memory_gb;
    }

    pub fn plus(mut self, other: &Resources) -> Self {
        self.cores += other.cores;
        self.accelerators += other.accelerators;
        self.memory_gb += other.memory_gb;
        self
    }

    pub fn fits(&self, s: &JobSpec) -> bool {
        s.cores <= self.cores + EPSILON
            && s.accelerators <= self.accelerators + EPSILON
            && s.memory_gb <= self.memory_gb + EPSILON
    }

    /// Whether anything may fit into it at all.
    fn has_compute(&self) -> bool {
        self.cores > EPSILON || self.accelerators > EPSILON
    }

    /// How many such tasks fit.
    pub fn tasks_that_fit(&self, s: &JobSpec) -> u64 {
        let per = |have: f64, need: f64| {
            if need > 0.0 {
                ((have + EPSILON) / need).floor().max(0.0) as u64
            } else {
                u64::MAX
            }
        };
        per(self.cores, s.cores)
            .min(per(self.accelerators, s.accelerators))
            .min(per(self.memory_gb, s.memory_gb))
    }
}

/// What a machine has left beside what it holds; None when that is not known.
pub fn free_resources(m: &Machine, types: &[MachineType]) -> Option<Resources> {
    let mut room = types
        .iter()
        .find(|t| t.name == m.machine_type)
        .map(Resources::of)?;
    for (_, e) in m.held_tasks() {
        room.subtract(e.spec.as_ref()?);
    }
    Some(room)
}

/// A team's use, by everything that may be on a machine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    pub cores: f64,
    pub accelerators: f64,
}

impl Usage {
    pub fn add(&mut self, s: &JobSpec) {
        self.cores += s.cores;
        self.accelerators += s.accelerators;
    }

    pub fn sub(&mut self, s: &JobSpec) {
        self.cores -= s.cores;
        self.accelerators -= s.accelerators;
    }
}

/// One machine as last looked at.
#[derive(Clone, Debug, Default)]
pub struct MachineCapacity {
    /// None: it takes no new tasks now.
    pub free: Option<Resources>,
    /// Room that tasks being stopped will leave.
    pub freeing: Resources,
    /// Its size is known, and that of all that it holds.
    size_known: bool,
    cores: f64,
    usage: Vec<(Arc<str>, Usage)>,
}

/// Room and use over all machines.
#[derive(Default)]
pub struct ClusterCapacity {
    pub machines: BTreeMap<Arc<str>, MachineCapacity>,
    /// Machines with cores or accelerators left, and their room.
    pub open_machines: BTreeMap<Arc<str>, Resources>,
    team_usage: HashMap<Arc<str>, Usage>,
    pub total_cores: f64,
    pub free_cores: f64,
    /// When the sums are added up anew.
    rebuild_at: Micros,
    /// How many machines were looked at, for tests that bound the work.
    pub machines_examined: u64,
}

impl ClusterCapacity {
    /// Looks again at the machines that changed; `whole` also at those that only time has made
    /// fit or unfit for new tasks. Now and then all is added up anew, against the drift of sums.
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
        } else {
            if whole {
                // Both are in the order of names, so they are walked side by side: a look-up by name for
                // each machine was most of what this cost.
                let mut slots = self.machines.iter().peekable();
                for (id, m) in &workers.machines {
                    while slots.next_if(|s| s.0 < id).is_some() {}
                    let slot = slots.next_if(|s| s.0 == id).map(|s| s.1);
                    let fits = |s: &MachineCapacity| {
                        s.free.is_some() == (s.size_known && m.is_usable(now, silence))
                    };
                    if !slot.is_some_and(fits) {
                        changed.insert(id.clone());
                    }
                }
            }
            for id in changed {
                match workers.machines.get(&id) {
                    Some(m) => self.update_machine(now, m, types, silence),
                    None => self.remove_machine(&id),
                }
            }
        }
    }

    /// Looks at all machines.
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
        for m in workers.machines.values() {
            self.update_machine(now, m, types, silence);
        }
    }

    fn remove_machine(&mut self, id: &Arc<str>) {
        if let Some(old) = self.machines.remove(id) {
            self.subtract_machine(&old);
            self.open_machines.remove(id);
        }
    }

    /// What a machine counted for in the sums counts no more.
    fn subtract_machine(&mut self, old: &MachineCapacity) {
        self.total_cores -= old.cores;
        self.free_cores -= old.free.map_or(0.0, |r| r.cores);
        for (team, u) in &old.usage {
            if let Some(sum) = self.team_usage.get_mut(team) {
                sum.cores -= u.cores;
                sum.accelerators -= u.accelerators;
            }
        }
    }

    fn update_machine(&mut self, now: Micros, m: &Machine, types: &[MachineType], silence: Micros) {
        self.machines_examined += 1;
        let machine_type = types.iter().find(|t| t.name == m.machine_type);
        let mut room = machine_type.map(Resources::of);
        let mut slot = MachineCapacity {
            cores: machine_type.map_or(0.0, |t| t.cores),
            ..MachineCapacity::default()
        };
        for (_, e) in m.held_tasks() {
            // A task of unknown size: nothing may join it.
            let Some(s) = &e.spec else {
                room = None;
                continue;
            };
            let unsure = matches!(e.state, TaskState::Unconfirmed | TaskState::Sent);
            if !(unsure && fault_injected(InjectedFault::QuotaUncharged)) {
                add_usage(&mut slot.usage, s);
            }
            if let Some(r) = &mut room {
                r.subtract(s);
            }
            if e.is_stopping() {
                slot.freeing.add(s);
            }
        }
        slot.size_known = room.is_some();
        slot.free = room.filter(|_| m.is_usable(now, silence));
        self.total_cores += slot.cores;
        for (team, u) in &slot.usage {
            let sum = self.team_usage.entry(team.clone()).or_default();
            sum.cores += u.cores;
            sum.accelerators += u.accelerators;
        }
        let room = slot.free;
        self.free_cores += room.map_or(0.0, |r| r.cores);
        // Where it stands already it is written over: a machine changes far more often than it comes or goes.
        let old = match self.machines.get_mut(&m.id) {
            Some(old) => Some(std::mem::replace(old, slot)),
            None => self.machines.insert(m.id.clone(), slot),
        };
        if let Some(old) = &old {
            self.subtract_machine(old);
        }
        match room.filter(Resources::has_compute) {
            Some(r) => match self.open_machines.get_mut(&m.id) {
                Some(open) => *open = r,
                None => {
                    self.open_machines.insert(m.id.clone(), r);
                }
            },
            None if old.is_some_and(|o| o.free.is_some()) => {
                self.open_machines.remove(&m.id);
            }
            None => {}
        }
    }

    pub fn team_usage(&self, team: &str) -> Usage {
        self.team_usage.get(team).copied().unwrap_or_default()
    }

    /// Books a task that is about to be planned; the next look at the machine finds it there.
    /// It counts with its machine, so that the look which finds it takes the booking off: the team
    /// would else be charged for it twice, and kept from using what it may.
    pub fn reserve(&mut self, id: &Arc<str>, s: &JobSpec) {
        if let Some(slot) = self.machines.get_mut(id) {
            add_usage(&mut slot.usage, s);
            if let Some(r) = &mut slot.free {
                r.subtract(s);
                self.free_cores -= s.cores;
                if !r.has_compute() {
                    self.open_machines.remove(id);
                } else if let Some(open) = self.open_machines.get_mut(id) {
                    *open = *r;
                }
            }
        }
        self.team_usage.entry(s.team.clone()).or_default().add(s);
    }

    /// Takes a booking back.
    pub fn release(&mut self, id: &Arc<str>, s: &JobSpec) {
        if let Some(slot) = self.machines.get_mut(id) {
            if let Some(u) = slot.usage.iter_mut().find(|u| u.0 == s.team) {
                u.1.sub(s);
            }
            if let Some(r) = &mut slot.free {
                r.add(s);
                self.free_cores += s.cores;
                self.open_machines.insert(id.clone(), *r);
            }
        }
        if let Some(u) = self.team_usage.get_mut(&s.team) {
            u.sub(s);
        }
    }
}

/// Adds a task to what each team uses of a machine.
fn add_usage(used: &mut Vec<(Arc<str>, Usage)>, s: &JobSpec) {
    match used.iter_mut().find(|u| u.0 == s.team) {
        Some(u) => u.1.add(s),
        None => {
            let mut u = Usage::default();
            u.add(s);
            used.push((s.team.clone(), u));
        }
    }
}
