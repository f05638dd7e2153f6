//! What is free on the machines and what each team uses, kept up to date by the machines that
//! changed: the cost of an event must not grow with the number of machines.

use crate::clock::{Micros, SECOND};
use crate::maps::HashMap;
use crate::planted::{Bug, planted};
use crate::wire::{JobSpec, MachineType};
use crate::workers::{Machine, State, Workers};
use std::collections::BTreeMap;
use std::sync::Arc;

pub const EPS: f64 = 1e-6;
const REBUILD_EVERY: Micros = 30 * SECOND;

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

    /// Whether anything may fit into it at all.
    fn is_open(&self) -> bool {
        self.cores > EPS || self.accelerators > EPS
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

/// What a machine has left beside what it holds; None when that is not known.
pub fn room_of(m: &Machine, types: &[MachineType]) -> Option<Room> {
    let mut room = types.iter().find(|t| t.sku == m.build).map(Room::of)?;
    for (_, e) in m.holding() {
        room.take(e.spec.as_ref()?);
    }
    Some(room)
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
    /// Its size is known, and that of all that it holds.
    sized: bool,
    cores: f64,
    used: Vec<(Arc<str>, Use)>,
}

/// Room and use over all machines.
#[derive(Default)]
pub struct Rooms {
    pub slots: BTreeMap<Arc<str>, Slot>,
    /// Machines with cores or accelerators left, and their room.
    pub open: BTreeMap<Arc<str>, Room>,
    used: HashMap<Arc<str>, Use>,
    pub all: f64,
    pub free: f64,
    /// When the sums are added up anew.
    rebuild_at: Micros,
    /// How many machines were looked at, for tests that bound the work.
    pub looked_at: u64,
}

impl Rooms {
    /// Looks again at the machines that changed; `whole` also at those that only time has made
    /// fit or unfit for new tasks. Now and then all is added up anew, against the drift of sums.
    pub fn refresh(
        &mut self,
        now: Micros,
        workers: &mut Workers,
        types: &[MachineType],
        silence: Micros,
        whole: bool,
    ) {
        let mut changed = workers.take_changed();
        if now >= self.rebuild_at {
            self.rebuild_at = now + REBUILD_EVERY;
            self.survey(now, workers, types, silence);
        } else {
            if whole {
                // Both are in the order of names, so they are walked side by side: a look-up by name for
                // each machine was most of what this cost.
                let mut slots = self.slots.iter().peekable();
                for (id, m) in &workers.machines {
                    while slots.next_if(|s| s.0 < id).is_some() {}
                    let slot = slots.next_if(|s| s.0 == id).map(|s| s.1);
                    let fits = |s: &Slot| s.room.is_some() == (s.sized && m.usable(now, silence));
                    if !slot.is_some_and(fits) {
                        changed.insert(id.clone());
                    }
                }
            }
            for id in changed {
                match workers.machines.get(&id) {
                    Some(m) => self.look(now, m, types, silence),
                    None => self.drop_slot(&id),
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
        if let Some(old) = self.slots.remove(id) {
            self.take_off(&old);
            self.open.remove(id);
        }
    }

    /// What a machine counted for in the sums counts no more.
    fn take_off(&mut self, old: &Slot) {
        self.all -= old.cores;
        self.free -= old.room.map_or(0.0, |r| r.cores);
        for (team, u) in &old.used {
            if let Some(sum) = self.used.get_mut(team) {
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
            let unsure = matches!(e.state, State::Ghost | State::Sent);
            if !(unsure && planted(Bug::QuotaUncharged)) {
                charge(&mut slot.used, s);
            }
            if let Some(r) = &mut room {
                r.take(s);
            }
            if e.halting() {
                slot.freeing.give(s);
            }
        }
        slot.sized = room.is_some();
        slot.room = room.filter(|_| m.usable(now, silence));
        self.all += slot.cores;
        for (team, u) in &slot.used {
            let sum = self.used.entry(team.clone()).or_default();
            sum.cores += u.cores;
            sum.accelerators += u.accelerators;
        }
        let room = slot.room;
        self.free += room.map_or(0.0, |r| r.cores);
        // Where it stands already it is written over: a machine changes far more often than it comes or goes.
        let old = match self.slots.get_mut(&m.id) {
            Some(old) => Some(std::mem::replace(old, slot)),
            None => self.slots.insert(m.id.clone(), slot),
        };
        if let Some(old) = &old {
            self.take_off(old);
        }
        match room.filter(Room::is_open) {
            Some(r) => match self.open.get_mut(&m.id) {
                Some(open) => *open = r,
                None => {
                    self.open.insert(m.id.clone(), r);
                }
            },
            None if old.is_some_and(|o| o.room.is_some()) => {
                self.open.remove(&m.id);
            }
            None => {}
        }
    }

    pub fn used(&self, team: &str) -> Use {
        self.used.get(team).copied().unwrap_or_default()
    }

    /// Books a task that is about to be planned; the next look at the machine finds it there.
    /// It counts with its machine, so that the look which finds it takes the booking off: the team
    /// would else be charged for it twice, and kept from using what it may.
    pub fn book(&mut self, id: &Arc<str>, s: &JobSpec) {
        if let Some(slot) = self.slots.get_mut(id) {
            charge(&mut slot.used, s);
            if let Some(r) = &mut slot.room {
                r.take(s);
                self.free -= s.cores;
                if !r.is_open() {
                    self.open.remove(id);
                } else if let Some(open) = self.open.get_mut(id) {
                    *open = *r;
                }
            }
        }
        self.used.entry(s.team.clone()).or_default().add(s);
    }

    /// Takes a booking back.
    pub fn unbook(&mut self, id: &Arc<str>, s: &JobSpec) {
        if let Some(slot) = self.slots.get_mut(id) {
            if let Some(u) = slot.used.iter_mut().find(|u| u.0 == s.team) {
                u.1.sub(s);
            }
            if let Some(r) = &mut slot.room {
                r.give(s);
                self.free += s.cores;
                self.open.insert(id.clone(), *r);
            }
        }
        if let Some(u) = self.used.get_mut(&s.team) {
            u.sub(s);
        }
    }
}

/// Adds a task to what each team uses of a machine.
fn charge(used: &mut Vec<(Arc<str>, Use)>, s: &JobSpec) {
    match used.iter_mut().find(|u| u.0 == s.team) {
        Some(u) => u.1.add(s),
        None => {
            let mut u = Use::default();
            u.add(s);
            used.push((s.team.clone(), u));
        }
    }
}
