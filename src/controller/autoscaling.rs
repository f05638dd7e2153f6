//! Renting and returning machines, and the cloud's reports about them.
//!
//! The leader alone rents and returns. A machine that the cloud reports as gone is tombstoned: what
//! ran on it is surely not there any more. Demand is computed less often than machines are rented,
//! one call at a time.

use super::Controller;
use super::leader::LeaderState;
use crate::clock::{Micros, SECOND};
use crate::cloud::{Cloud, CloudEvent, Offer};
use crate::settings::Settings;
use crate::worker_ledger::Machine;
use std::sync::Arc;

/// With no job at all, rented machines are returned after this long.
const IDLE_CLUSTER_RELEASE_DELAY: Micros = 30 * SECOND;

/// A machine that answers nobody for this long is returned, if it can be replaced.
const UNREACHABLE_RELEASE_DELAY: Micros = 8 * SECOND;

/// The most machines that one rental may ask for.
const MACHINES_PER_RENTAL_MAX: u32 = 50;

/// Below this share of free cores, one machine of each offer is wanted ahead of demand.
const FREE_CORES_SHARE_MIN: f64 = 0.2;

impl Controller {
    /// Handles what the cloud reports.
    pub(super) fn handle_cloud_events(&mut self, events: Vec<CloudEvent>) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let mut gone = Vec::new();
        for event in events {
            match event {
                CloudEvent::TypesUpdated => {}
                CloudEvent::Rented { hosts, offer } => {
                    log::info!(
                        "machines rented count={} machine_type={} zone={}",
                        hosts.len(),
                        offer.machine_type,
                        offer.zone
                    );
                    leader_state.rented_machines.extend(hosts);
                }
                CloudEvent::Failed(id) => {
                    if !leader_state.workers.is_tombstoned(&id) {
                        log::info!("machine failed machine={id}");
                        gone.push(id.clone());
                        self.cloud.release(id);
                    }
                }
                CloudEvent::Released(hosts) => gone.extend(hosts),
            }
        }
        let now = self.now.steady;
        for id in &gone {
            leader_state.workers.add_tombstone(now, id);
            leader_state.registry.remove(now, id);
            leader_state.rented_machines.remove(id);
        }
        if !gone.is_empty() {
            self.apply_ledger_events();
        }
    }

    /// One autoscaling pass: gives up machines that will not come back, and rents or returns others.
    pub(super) fn autoscale(&mut self) {
        let now = self.now.steady;
        self.return_stuck_boots();
        self.forget_vanished_machines();
        self.return_unreachable_machines();
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        // Machines that have not reported yet may have room.
        if !leader_state.reconciliation.is_fleet_known(now) {
            leader_state.last_busy_at = now;
            return;
        }
        leader_state.wanted_machines =
            Self::wanted_machines(leader_state, &self.cloud, &self.settings, now);
        if leader_state.wanted_machines.is_empty() {
            self.release_idle();
        } else {
            leader_state.last_busy_at = now;
            self.rent_next();
        }
    }

    /// Returns rented machines that have not come up in time.
    fn return_stuck_boots(&mut self) {
        let now = self.now.steady;
        let Some(leader_state) = &self.leader_state else {
            return;
        };
        self.cloud.booting.retain(|id, _| {
            !leader_state.workers.machines.contains_key(id)
                && !leader_state.workers.is_tombstoned(id)
        });
        for id in self.cloud.stuck_boots(now) {
            log::info!("machine does not come up; returning it machine={id}");
            self.cloud.booting.remove(&id);
            self.cloud.release(id);
        }
    }

    /// Forgets machines that went silent and that the cloud does not list any more, once nothing can
    /// be left on them.
    fn forget_vanished_machines(&mut self) {
        let now = self.now.steady;
        let lease = self.settings.worker_lease();
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let is_silent =
            |machine: &Machine| now > machine.last_seen_at.max(leader_state.elected_at) + 2 * lease;
        let vanished: Vec<Arc<str>> = leader_state
            .workers
            .machines
            .values()
            .filter(|machine| {
                is_silent(machine)
                    && leader_state.workers.is_surely_empty(machine, now)
                    && !self.cloud.listed.contains_key(&machine.id)
            })
            .map(|machine| machine.id.clone())
            .collect();
        for id in &vanished {
            leader_state.registry.remove(now, id);
            log::info!("machine vanished machine={id}");
            leader_state.workers.forget(now, id);
            leader_state.rented_machines.remove(id);
        }
    }

    /// Returns machines that answer nobody, if others like them can be had. This proves that their
    /// tasks are gone long before their leases would, at the price of the machine.
    fn return_unreachable_machines(&mut self) {
        let now = self.now.steady;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        for id in leader_state.workers.unreachable_machines(
            now,
            leader_state.valid_since,
            UNREACHABLE_RELEASE_DELAY,
        ) {
            let Some(machine) = leader_state.workers.machines.get_mut(&id) else {
                continue;
            };
            let offer = Offer {
                machine_type: machine.machine_type.clone(),
                zone: machine.zone.clone(),
                spot: machine.spot,
            };
            if machine.spot || self.cloud.replaceable(&offer) {
                log::info!("machine unreachable; returning it machine={id}");
                machine.releasing = true;
                self.cloud.release(id);
            }
        }
    }

    /// How many machines of each offer the waiting work would fill, the cheapest by core first.
    fn wanted_machines(
        leader_state: &LeaderState,
        cloud: &Cloud,
        settings: &Settings,
        now: Micros,
    ) -> Vec<(Offer, u32)> {
        // A machine that is late may never come up: work does not go on waiting for it.
        let booting: Vec<(String, bool)> = cloud
            .booting
            .values()
            .filter(|boot| !cloud.is_boot_late(now, boot))
            .map(|boot| (boot.offer.machine_type.clone(), boot.offer.spot))
            .collect();
        let demand = leader_state.scheduler.unmet_demand(
            now,
            &leader_state.jobs,
            &leader_state.workers,
            &cloud.types,
            &booting,
            settings,
        );
        let short = demand.free_cores < FREE_CORES_SHARE_MIN * demand.total_cores
            && !leader_state.jobs.by_number.is_empty();
        let mut offers: Vec<(f64, u32, Offer)> = Vec::new();
        for machine_type in &cloud.types {
            for zone in &machine_type.zones {
                for spot in [true, false] {
                    let mut count = demand.machines_needed(machine_type, zone, spot);
                    if count == 0 && short {
                        count = 1;
                    }
                    if count == 0 {
                        continue;
                    }
                    let price = if spot {
                        machine_type.spot_price
                    } else {
                        machine_type.price
                    };
                    let offer = Offer {
                        machine_type: machine_type.name.clone(),
                        zone: zone.clone(),
                        spot,
                    };
                    offers.push((price / machine_type.cores.max(0.1), count, offer));
                }
            }
        }
        offers.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.2.cmp(&b.2)));
        offers
            .into_iter()
            .map(|(_, count, offer)| (offer, count))
            .collect()
    }

    /// Rents from the cheapest offer that is not in backoff, one call at a time. Demand is computed
    /// less often than the cloud can be called: boots are slow, so renting must not be.
    pub(super) fn rent_next(&mut self) {
        let now = self.now.steady;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let rentable =
            |(offer, count): &&(Offer, u32)| *count > 0 && self.cloud.can_rent(now, offer);
        let Some((offer, wanted)) = leader_state.wanted_machines.iter().find(rentable).cloned()
        else {
            return;
        };
        let number = wanted.min(MACHINES_PER_RENTAL_MAX);
        let cores = |machine_type: &str| {
            self.cloud
                .machine_type_named(machine_type)
                .map_or(1.0, |found| found.cores.max(0.1))
        };
        let rented = f64::from(number) * cores(&offer.machine_type);
        // Each offer counts as if it alone took all the waiting work.
        for (other, count) in &mut leader_state.wanted_machines {
            *count = (f64::from(*count) - rented / cores(&other.machine_type))
                .max(0.0)
                .ceil() as u32;
        }
        let (tickets, out) = (&mut self.tickets, &mut self.outputs);
        self.cloud.rent(now, offer, number, tickets, out);
    }

    /// Returns idle rented machines: all of them soon after the last job is over, single ones only
    /// after long, since they may be hard to get again.
    pub(super) fn release_idle(&mut self) {
        let now = self.now.steady;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        if !leader_state.jobs.by_number.is_empty() {
            leader_state.last_busy_at = now;
        }
        let quiet = now > leader_state.last_busy_at + IDLE_CLUSTER_RELEASE_DELAY;
        let idle_delay = if quiet {
            IDLE_CLUSTER_RELEASE_DELAY
        } else {
            self.properties.idle_release_timeout
        };
        for machine in leader_state.workers.machines.values_mut() {
            if leader_state.rented_machines.contains(&machine.id)
                && machine.term_confirmed
                && machine.tasks.is_empty()
                && !machine.releasing
                && now > machine.idle_since + idle_delay
            {
                log::info!("machine idle; returning it machine={}", machine.id);
                machine.releasing = true;
                self.cloud.release(machine.id.clone());
            }
        }
    }
}
