//! What is free on the machines and what each team uses, kept up to date by the machines that
//! changed: the cost of an event must not grow with the number of machines.

use crate::clock::Micros;
use crate::wire::{JobSpec, MachineType};
use crate::workers::{Machine, Workers};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

pub const EPS: f64 = 1e-6;

/// What is free on a machine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Room {
    pub cores: f64,
    pub accelerators: f64,
    pub memory_gb: f64,
}

impl Room {
    pub fn of(t: &MachineType) -> Self {
        Self {
            cores: t.cores,
            accelerators: t.accelerators,
            memory_gb: t.memory_gb,
        }
    }

    pub fn take(&mut self, s: &JobSpec) {
        self.cores -= s.cores;
        self.accelerators -= s.accelerators;
        self.memory_gb -= s.memory_gb;
    }

    pub fn give(&mut self, s: &JobSpec) {
        self.cores += s.cores;
        self.accelerators += s.accelerators;
        self.memory_gb += s.memory_gb;
    }

    pub fn with(mut self, other: &Room) -> Self {
        self.cores += other.cores;
        self.accelerators += other.accelerators;
        self.memory_gb += other.memory_gb;
        self
    }

    pub fn fits(&self, s: &JobSpec) -> bool {
        s.cores <= self.cores + EPS
            && s.accelerators <= self.accelerators + EPS
            && s.memory_gb <= self.memory_gb + EPS
    }

    /// How many such tasks fit.
    pub fn slots(&self, s: &JobSpec) -> u64 {
        let per = |have: f64, need: f64| {
            if need > 0.0 {
                ((have + EPS) / need).floor().max(0.0) as u64
            } else {
                u64::MAX
            }
        };
        per(self.cores, s.cores)
            .min(per(self.accelerators, s.accelerators))
            .min(per(self.memory_gb, s.memory_gb))
    }
}

/// A team's use, by everything that may be on a machine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Use {
    pub cores: f64,
    pub accelerators: f64,
}

impl Use {
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
pub struct Slot {
    /// None: it takes no new tasks now.
    pub room: Option<Room>,
    /// Room that tasks being stopped will leave.
    pub freeing: Room,
    cores: f64,
    used: Vec<(Arc<str>, Use)>,
}

/// Room and use over all machines.
#[derive(Default)]
pub struct Rooms {
    pub slots: BTreeMap<Arc<str>, Slot>,
    /// Machines with cores or accelerators left.
    pub open: BTreeSet<Arc<str>>,
    used: HashMap<Arc<str>, Use>,
    pub all: f64,
    pub free: f64,
    rebuilt: bool,
    /// How many machines were looked at, for tests that bound the work.
    pub looked_at: u64,
}

impl Rooms {
    /// Looks again at the machines that changed; `whole` looks at all, for what only time
    /// changes and against the drift of sums.
    pub fn refresh(
        &mut self,
        now: Micros,
        workers: &mut Workers,
        types: &[MachineType],
        silence: Micros,
        whole: bool,
    ) {
        let changed = workers.take_changed();
        if whole || !self.rebuilt {
            self.rebuilt = true;
            self.survey(now, workers, types, silence);
        } else {
            for id in changed {
                self.drop_slot(&id);
                if let Some(m) = workers.machines.get(&id) {
                    self.look(now, m, types, silence);
                }
            }
        }
    }

    /// Looks at all machines.
    pub fn survey(
        &mut self,
        now: Micros,
        workers: &Workers,
        types: &[MachineType],
        silence: Micros,
    ) {
        self.slots.clear();
        self.open.clear();
        self.used.clear();
        (self.all, self.free) = (0.0, 0.0);
        for m in workers.machines.values() {
            self.look(now, m, types, silence);
        }
    }

    fn drop_slot(&mut self, id: &Arc<str>) {
        let Some(old) = self.slots.remove(id) else {
            return;
        };
        self.open.remove(id);
        self.all -= old.cores;
        self.free -= old.room.map_or(0.0, |r| r.cores);
        for (team, u) in old.used {
            if let Some(sum) = self.used.get_mut(&team) {
                sum.cores -= u.cores;
                sum.accelerators -= u.accelerators;
            }
        }
    }

    fn look(&mut self, now: Micros, m: &Machine, types: &[MachineType], silence: Micros) {
        self.looked_at += 1;
        let sku = types.iter().find(|t| t.sku == m.build);
        let mut room = sku.map(Room::of);
        let mut slot = Slot {
            cores: sku.map_or(0.0, |t| t.cores),
            ..Slot::default()
        };
        for (_, e) in m.holding() {
            // A task of unknown size: nothing may join it.
            let Some(s) = &e.spec else {
                room = None;
                continue;
            };
            match slot.used.iter_mut().find(|u| u.0 == s.team) {
                Some(u) => u.1.add(s),
                None => {
                    let mut u = Use::default();
                    u.add(s);
                    slot.used.push((s.team.clone(), u));
                }
            }
            if let Some(r) = &mut room {
                r.take(s);
            }
            if e.halting() {
                slot.freeing.give(s);
            }
        }
        slot.room = room.filter(|_| m.usable(now, silence));
        self.all += slot.cores;
        for (team, u) in &slot.used {
            let sum = self.used.entry(team.clone()).or_default();
            sum.cores += u.cores;
            sum.accelerators += u.accelerators;
        }
        if let Some(r) = &slot.room {
            self.free += r.cores;
            if r.cores > EPS || r.accelerators > EPS {
                self.open.insert(m.id.clone());
            }
        }
        self.slots.insert(m.id.clone(), slot);
    }

    pub fn used(&self, team: &str) -> Use {
        self.used.get(team).copied().unwrap_or_default()
    }

    /// Books a task that is about to be planned; the next look at the machine finds it there.
    pub fn book(&mut self, id: &Arc<str>, s: &JobSpec) {
        if let Some(r) = self.slots.get_mut(id).and_then(|s| s.room.as_mut()) {
            r.take(s);
            self.free -= s.cores;
            if r.cores <= EPS && r.accelerators <= EPS {
                self.open.remove(id);
            }
        }
        self.used.entry(s.team.clone()).or_default().add(s);
    }

    /// Takes a booking back.
    pub fn unbook(&mut self, id: &Arc<str>, s: &JobSpec) {
        if let Some(r) = self.slots.get_mut(id).and_then(|s| s.room.as_mut()) {
            r.give(s);
            self.free += s.cores;
            self.open.insert(id.clone());
        }
        if let Some(u) = self.used.get_mut(&s.team) {
            u.sub(s);
        }
    }
}
