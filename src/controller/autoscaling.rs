//! Autoscaling: renting and releasing machines, and handling the cloud's events about them.
//!
//! Only the leader rents and releases machines. A machine that the cloud reports as gone gets a
//! tombstone: its tasks have surely ended. Demand is computed less often than machines are rented;
//! machines are rented with one call at a time.

use super::Controller;
use super::leader::LeaderState;
use crate::clock::{Micros, SECOND};
use crate::cloud::{CloudClient, CloudEvent, Offer};
use crate::settings::Settings;
use crate::worker_ledger::Machine;
use std::sync::Arc;

/// How long after the last job has ended all idle rented machines are released.
const IDLE_CLUSTER_RELEASE_DELAY: Micros = 30 * SECOND;

/// A machine that no controller can reach for this long is released if it can be replaced.
const UNREACHABLE_RELEASE_DELAY: Micros = 8 * SECOND;

/// The most machines that one rental may request.
const MACHINES_PER_RENTAL_MAX: u32 = 50;

/// If the share of free cores is lower, one machine of each offer is requested ahead of demand.
const FREE_CORES_SHARE_MIN: f64 = 0.2;

impl Controller {
    /// Handles events from the cloud.
    pub(super) fn handle_cloud_events(&mut self, events: Vec<CloudEvent>) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let mut gone = Vec::new();
        for event in events {
            match event {
                CloudEvent::TypesUpdated => {}
                CloudEvent::Rented { machines, offer } => {
                    log::info!(
                        "machines rented count={} machine_type={} zone={}",
                        machines.len(),
                        offer.machine_type,
                        offer.zone
                    );
                    leader_state.rented_machines.extend(machines);
                }
                CloudEvent::Failed(id) => {
                    if !leader_state.workers.is_tombstoned(&id) {
                        log::info!("machine failed machine={id}");
                        gone.push(id.clone());
                        self.cloud.release(id);
                    }
                }
                CloudEvent::Released(machines) => gone.extend(machines),
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

    /// One autoscaling pass: releases or forgets machines that are stuck, gone or unreachable, then
    /// rents machines for unmet demand or, if there is none, releases idle machines.
    pub(super) fn autoscale(&mut self) {
        let now = self.now.steady;
        self.release_stuck_boots();
        self.forget_vanished_machines();
        self.release_unreachable_machines();
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        // Machines that have not reported to this leader yet may have free capacity.
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

    /// Releases rented machines whose boot takes too long.
    fn release_stuck_boots(&mut self) {
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

    /// Forgets silent machines that the cloud does not list any more, once no task can be running on
    /// them.
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
                    && leader_state.workers.is_provably_empty(machine, now)
                    && !self.cloud.listed.contains_key(&machine.id)
            })
            .map(|machine| machine.id.clone())
            .collect();
        for id in &vanished {
            leader_state.registry.remove(now, id);
            log::info!("machine vanished machine={id}");
            leader_state.workers.remove_vanished(now, id);
            leader_state.rented_machines.remove(id);
        }
    }

    /// Releases machines that no controller can reach, if the cloud can replace them. A release
    /// proves that the machine's tasks have ended long before the expiry of their leases does, at the
    /// cost of the machine.
    fn release_unreachable_machines(&mut self) {
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
            if machine.spot || self.cloud.is_replaceable(&offer) {
                log::info!("machine unreachable; returning it machine={id}");
                machine.releasing = true;
                self.cloud.release(id);
            }
        }
    }

    /// How many machines of each offer the waiting tasks would fill, the lowest price per core first.
    fn wanted_machines(
        leader_state: &LeaderState,
        cloud: &CloudClient,
        settings: &Settings,
        now: Micros,
    ) -> Vec<(Offer, u32)> {
        // A machine whose boot is late may never come up, so it is not counted as future capacity.
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
        let needs_spare_cores = demand.free_cores < FREE_CORES_SHARE_MIN * demand.total_cores
            && !leader_state.jobs.by_number.is_empty();
        let mut offers: Vec<(f64, u32, Offer)> = Vec::new();
        for machine_type in &cloud.types {
            for zone in &machine_type.zones {
                for spot in [true, false] {
                    let mut count = demand.machines_needed(machine_type, zone, spot);
                    if count == 0 && needs_spare_cores {
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

    /// Rents machines of the cheapest wanted offer that is not in backoff, with one call at a time.
    /// Runs more often than the demand is computed, because machines boot slowly and renting should
    /// not add to the delay.
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
        let rented_cores = f64::from(number) * cores(&offer.machine_type);
        // The count of each offer assumes that it alone meets all the demand, so the rented cores
        // reduce all counts.
        for (other, count) in &mut leader_state.wanted_machines {
            *count = (f64::from(*count) - rented_cores / cores(&other.machine_type))
                .max(0.0)
                .ceil() as u32;
        }
        let (last_ticket, outputs) = (&mut self.last_ticket, &mut self.outputs);
        self.cloud.rent(now, offer, number, last_ticket, outputs);
    }

    /// Releases idle rented machines: all of them [`IDLE_CLUSTER_RELEASE_DELAY`] after the last job
    /// has ended, otherwise only those idle for the time set by `cloud.idle-return-seconds`, since
    /// it may be hard to rent them again.
    pub(super) fn release_idle(&mut self) {
        let now = self.now.steady;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        if !leader_state.jobs.by_number.is_empty() {
            leader_state.last_busy_at = now;
        }
        let is_cluster_idle = now > leader_state.last_busy_at + IDLE_CLUSTER_RELEASE_DELAY;
        let idle_delay = if is_cluster_idle {
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
