//! What the waiting work would fill beyond what is there or booting.

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

/// Work that finds no room on what is there or booting.
pub struct Demand {
    pub unplaced: Vec<(Arc<JobSpec>, u64)>,
    pub free_cores: f64,
    pub total_cores: f64,
}

impl Demand {
    /// How many machines of this type the lacking work would fill.
    pub fn machines_needed(&self, t: &MachineType, zone: &str, spot: bool) -> u32 {
        let mut n = 0.0;
        for (s, tasks) in &self.unplaced {
            let slots = Resources::of(t).tasks_that_fit(s);
            let ok = is_type_allowed(s, &t.name)
                && (s.spot || !spot)
                && s.zone.as_ref().is_none_or(|z| z == zone);
            if ok && slots > 0 {
                n += *tasks as f64 / slots.min(1 << 20) as f64;
            }
        }
        n.ceil() as u32
    }
}

impl Scheduler {
    /// Machines of a type that the work waiting now would fill beyond what is there or booting.
    pub fn unmet_demand(
        &self,
        now: Micros,
        table: &JobTable,
        workers: &WorkerLedger,
        types: &[MachineType],
        booting: &[(String, bool)],
        settings: &Settings,
    ) -> Demand {
        let by_name: HashMap<&str, &MachineType> =
            types.iter().map(|t| (t.name.as_str(), t)).collect();
        // A machine that is silent for a moment is room that will be there.
        let mut rooms: Vec<Resources> = Vec::new();
        for m in workers.machines.values() {
            let slot = self.capacity.machines.get(&m.id);
            match slot.and_then(|s| s.free) {
                Some(room) => rooms.push(room),
                None if m.is_usable(now, SECOND * 60) => rooms.extend(free_resources(m, types)),
                None => {}
            }
        }
        rooms.retain(|r| r.cores > EPSILON || r.accelerators > EPSILON);
        rooms.extend(
            booting
                .iter()
                .filter_map(|b| by_name.get(b.0.as_str()).map(|t| Resources::of(t))),
        );
        let mut used: HashMap<Arc<str>, Usage> = HashMap::default();
        let mut dead = UnplaceableSizes::default();
        let mut lacking: Vec<(Arc<JobSpec>, u64)> = Vec::new();
        for job in table.by_number.values().filter(|j| !j.cancelled) {
            let mut n = job.startable_tasks(&self.schema);
            let s = &job.spec;
            if let Some(t) = settings.team(&s.team).filter(|t| t.cpus_max > 0.0) {
                let u = used
                    .entry(s.team.clone())
                    .or_insert_with(|| self.capacity.team_usage(&s.team));
                let allowed = ((t.cpus_max - u.cores + EPSILON) / s.cores.max(EPSILON))
                    .floor()
                    .max(0.0) as u64;
                n = n.min(allowed);
                u.cores += n as f64 * s.cores;
            }
            if n > 0 && !dead.covers(s) {
                for r in &mut rooms {
                    while n > 0 && r.fits(s) {
                        r.subtract(s);
                        n -= 1;
                    }
                }
                if n > 0 {
                    dead.add(s);
                }
            }
            if n > 0 {
                lacking.push((s.clone(), n));
            }
        }
        let free: f64 = rooms.iter().map(|r| r.cores.max(0.0)).sum();
        Demand {
            unplaced: lacking,
            free_cores: free,
            total_cores: self.capacity.total_cores,
        }
    }
}
