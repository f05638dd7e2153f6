//! Renting and returning machines.

use super::Controller;
use crate::clock::{Micros, SECOND};
use crate::cloud::{CloudEvent, Offer};
use std::sync::Arc;

/// With no job at all, rented machines are returned after this long.
const IDLE_CLUSTER_RELEASE_DELAY: Micros = 30 * SECOND;

/// A machine that answers nobody for this long is returned, if it can be replaced.
const UNREACHABLE_RELEASE_DELAY: Micros = 8 * SECOND;

/// The most machines that one rental may ask for.
const MACHINES_PER_RENTAL_MAX: u32 = 50;

impl Controller {
    pub(super) fn handle_cloud_events(&mut self, news: Vec<CloudEvent>) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let mut gone = Vec::new();
        for n in news {
            match n {
                CloudEvent::TypesUpdated => {}
                CloudEvent::Rented { hosts, offer } => {
                    log::info!(
                        "rented {} {} in {}",
                        hosts.len(),
                        offer.machine_type,
                        offer.zone
                    );
                    leader_state.rented.extend(hosts);
                }
                CloudEvent::Failed(id) => {
                    if !leader_state.workers.is_tombstoned(&id) {
                        log::info!("{id} has failed");
                        gone.push(id.clone());
                        self.cloud.release(id);
                    }
                }
                CloudEvent::Released(hosts) => gone.extend(hosts),
            }
        }
        let now = self.now.steady;
        for id in &gone {
            leader_state.workers.add_tombstone(id);
            leader_state.registry.remove(now, id);
            leader_state.rented.remove(id);
        }
        if !gone.is_empty() {
            self.apply_ledger_events();
        }
    }

    pub(super) fn autoscale(&mut self) {
        let t = self.now.steady;
        let lease = self.settings.lease();
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        self.cloud.booting.retain(|id, _| {
            !leader_state.workers.machines.contains_key(id)
                && !leader_state.workers.is_tombstoned(id)
        });
        for id in self.cloud.stuck_boots(t) {
            log::info!("{id} does not come up; returning it");
            self.cloud.booting.remove(&id);
            self.cloud.release(id);
        }
        // Gone without a word: nothing can be left there, and the cloud lists it no more.
        let silent = |m: &crate::worker_ledger::Machine| {
            t > m.last_seen_at.max(leader_state.elected_at) + 2 * lease
        };
        let vanished: Vec<Arc<str>> = leader_state
            .workers
            .machines
            .values()
            .filter(|m| {
                silent(m)
                    && leader_state.workers.is_surely_empty(m, t)
                    && !self.cloud.listed.contains_key(&m.id)
            })
            .map(|m| m.id.clone())
            .collect();
        for id in &vanished {
            leader_state.registry.remove(t, id);
            log::info!("{id} is gone without a word");
            leader_state.workers.forget(id);
            leader_state.rented.remove(id);
        }
        // Returning a silent machine proves that its tasks are gone long before its lease would,
        // at the price of the machine: only when another like it can be had.
        for id in leader_state.workers.unreachable_machines(
            t,
            leader_state.valid_since,
            UNREACHABLE_RELEASE_DELAY,
        ) {
            let Some(m) = leader_state.workers.machines.get_mut(&id) else {
                continue;
            };
            let offer = Offer {
                machine_type: m.machine_type.clone(),
                zone: m.zone.clone(),
                spot: m.spot,
            };
            if m.spot || self.cloud.replaceable(&offer) {
                log::info!("{id} answers nobody; returning it");
                m.releasing = true;
                self.cloud.release(id);
            }
        }
        // What has not spoken yet may have room.
        if !leader_state.reconciliation.is_fleet_known(t) {
            leader_state.last_busy_at = t;
            return;
        }
        // A machine that is late may never come; work must not go on waiting for it.
        let booting: Vec<(String, bool)> = self
            .cloud
            .booting
            .values()
            .filter(|b| !self.cloud.is_boot_late(t, b))
            .map(|b| (b.offer.machine_type.clone(), b.offer.spot))
            .collect();
        let demand = leader_state.scheduler.unmet_demand(
            t,
            &leader_state.jobs,
            &leader_state.workers,
            &self.cloud.types,
            &booting,
            &self.settings,
        );
        let headroom = demand.free_cores < 0.2 * demand.total_cores;
        let mut offers: Vec<(f64, u32, Offer)> = Vec::new();
        for ty in &self.cloud.types {
            for zone in &ty.zones {
                for spot in [true, false] {
                    let mut n = demand.machines_needed(ty, zone, spot);
                    if n == 0 && headroom && !leader_state.jobs.by_number.is_empty() {
                        n = 1;
                    }
                    let price = if spot { ty.spot_price } else { ty.price };
                    if n > 0 {
                        offers.push((
                            price / ty.cores.max(0.1),
                            n,
                            Offer {
                                machine_type: ty.name.clone(),
                                zone: zone.clone(),
                                spot,
                            },
                        ));
                    }
                }
            }
        }
        offers.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.2.cmp(&b.2)));
        let none = offers.is_empty();
        leader_state.wanted_machines = offers.into_iter().map(|o| (o.2, o.1)).collect();
        if none {
            self.release_idle();
        } else {
            leader_state.last_busy_at = t;
            self.rent_next();
        }
    }

    /// Rents of the cheapest offer that is not resting, one call at a time. What is wanted is
    /// worked out less often than the cloud can be asked: boots are slow, so renting must not be.
    pub(super) fn rent_next(&mut self) {
        let t = self.now.steady;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let free = |w: &&(Offer, u32)| w.1 > 0 && self.cloud.can_rent(t, &w.0);
        let Some((offer, wanted)) = leader_state.wanted_machines.iter().find(free).cloned() else {
            return;
        };
        let number = wanted.min(MACHINES_PER_RENTAL_MAX);
        let cores = |machine_type: &str| {
            self.cloud
                .machine_type_named(machine_type)
                .map_or(1.0, |t| t.cores.max(0.1))
        };
        let rented = f64::from(number) * cores(&offer.machine_type);
        // Each offer counts as if it alone took all the waiting work.
        for (other, n) in &mut leader_state.wanted_machines {
            *n = (f64::from(*n) - rented / cores(&other.machine_type))
                .max(0.0)
                .ceil() as u32;
        }
        let (tickets, out) = (&mut self.tickets, &mut self.outputs);
        self.cloud.rent(t, offer, number, tickets, out);
    }

    /// Rented machines that stand idle cost money for nothing: all of them go back soon after
    /// the last job is over, single ones only after long, since they may be hard to get again.
    pub(super) fn release_idle(&mut self) {
        let t = self.now.steady;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        if !leader_state.jobs.by_number.is_empty() {
            leader_state.last_busy_at = t;
        }
        let quiet = t > leader_state.last_busy_at + IDLE_CLUSTER_RELEASE_DELAY;
        let patience = if quiet {
            IDLE_CLUSTER_RELEASE_DELAY
        } else {
            self.properties.idle_return
        };
        for m in leader_state.workers.machines.values_mut() {
            if leader_state.rented.contains(&m.id)
                && m.term_confirmed
                && m.tasks.is_empty()
                && !m.releasing
                && t > m.idle_since + patience
            {
                log::info!("{} stands idle; returning it", m.id);
                m.releasing = true;
                self.cloud.release(m.id.clone());
            }
        }
    }
}
