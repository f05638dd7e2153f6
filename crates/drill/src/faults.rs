//! Starts the faults of a scenario and chooses the controllers and machines that they hit.

use crate::machine::Phase;
use crate::network::{Host, PartitionSide};
use crate::scenario::{Fault, FaultKind, FaultTarget, PartitionMode, PartitionedFrom};
use crate::world::{Event, World, micros};
use rand::Rng;
use rand::seq::SliceRandom;

/// Time in microseconds from the shutdown request to a controller until its process exits.
const SHUTDOWN_TIME: u64 = 300_000;

impl World {
    /// Starts the `n`-th fault of the scenario.
    pub fn start_fault(&mut self, n: usize) {
        let fault = self.scenario.faults[n].clone();
        self.record_in_digest("fails", n as u64, 0);
        let duration = micros(fault.for_s.unwrap_or(0.0));
        let until = self.now + duration;
        if duration > 0 {
            self.active_faults.push(n);
            self.schedule_at(until, Event::FaultEnds(n));
        }
        let mode = fault.mode.unwrap_or(PartitionMode::Hold);
        match fault.kind {
            FaultKind::NodeCrash => {
                for n in self.target_controllers(&fault) {
                    self.stop_controller(n);
                }
            }
            FaultKind::NodeEndsAsking => {
                for n in self.target_controllers(&fault) {
                    self.controllers[n].stops_after_transaction = true;
                }
            }
            FaultKind::NodeLeaves => {
                for n in self.target_controllers(&fault) {
                    self.controllers[n].shut_down(self.now);
                    self.schedule_after(SHUTDOWN_TIME, Event::StopController(n));
                }
            }
            FaultKind::NodeRoll => self.rolling_restart(&fault),
            FaultKind::NodeFreeze => {
                for n in self.target_controllers(&fault) {
                    let c = &mut self.controllers[n];
                    if fault.inside {
                        c.pause_in_loop = Some(duration);
                    } else {
                        c.frozen_until = c.frozen_until.max(until);
                        // A frozen process does nothing, also if it still believes that it leads.
                        self.set_leading(n, false);
                    }
                }
            }
            FaultKind::NodeCut => {
                let side = match fault.from.unwrap_or(PartitionedFrom::All) {
                    PartitionedFrom::All => PartitionSide::All,
                    PartitionedFrom::State => PartitionSide::Host(Host::State),
                    PartitionedFrom::Workers => PartitionSide::Machines,
                    PartitionedFrom::Peers => PartitionSide::Controllers,
                    PartitionedFrom::Users => PartitionSide::Host(Host::Users),
                    PartitionedFrom::Cloud => PartitionSide::Host(Host::Cloud),
                };
                for n in self.target_controllers(&fault) {
                    let controller = PartitionSide::Host(Host::Controller(n));
                    self.network
                        .partition(self.now, until, controller, side, mode);
                }
            }
            FaultKind::PeersRefuse => self.network.refuse_peer_connections(until),
            FaultKind::ZoneCut => {
                let target_zone = self
                    .target_controllers(&fault)
                    .first()
                    .map(|n| self.controllers[*n].zone);
                let zone = match (&fault.zone, target_zone) {
                    (None, Some(zone)) => zone,
                    _ => self.zone_index(fault.zone.as_deref()),
                };
                let zone = PartitionSide::Zone(zone);
                self.network
                    .partition(self.now, until, zone, PartitionSide::All, mode);
            }
            FaultKind::ZonesApart => {
                let a = PartitionSide::Zone(self.zone_index(fault.zone.as_deref()));
                let b = PartitionSide::Zone(self.zone_index(fault.other_zone.as_deref()));
                self.network.partition(self.now, until, a, b, mode);
            }
            FaultKind::StateOutage => self.state_service.start_outage(self.now, until),
            FaultKind::StateRefuses => {
                for n in self.target_controllers(&fault) {
                    self.state_service.refused_until.insert(n, until);
                }
            }
            FaultKind::StateForgets => self.state_service.compact_change_log(),
            FaultKind::WatchesHang => {
                for n in self.target_controllers(&fault) {
                    self.state_service.watches_hang_until.insert(n, until);
                }
            }
            FaultKind::MachineDeaf => {
                for m in self.target_machines(&fault) {
                    self.machines[m].inbound_partitioned_until = until;
                }
            }
            FaultKind::MachineMute => {
                for m in self.target_machines(&fault) {
                    self.machines[m].outbound_partitioned_until = until;
                }
            }
            FaultKind::CancelNow => self.cancel_running_jobs(&fault),
            FaultKind::OddRequests => self.send_invalid_request(until),
            FaultKind::MirrorSpoiled => {
                for n in self.target_controllers(&fault) {
                    if let Some(controller) = &mut self.controllers[n].controller {
                        controller.corrupt_replica();
                    }
                }
            }
            FaultKind::MachineCut => {
                for m in self.target_machines(&fault) {
                    let machine = PartitionSide::Host(Host::Machine(m));
                    self.network
                        .partition(self.now, until, machine, PartitionSide::All, mode);
                }
            }
            FaultKind::MachineHang => {
                for m in self.target_machines(&fault) {
                    self.hang_machine(m, until);
                }
            }
            FaultKind::MachineDie => {
                for m in self.target_machines(&fault) {
                    self.stop_machine(m, false);
                }
            }
            FaultKind::MachineSick => {
                for m in self.target_machines(&fault) {
                    self.machines[m].tasks_fail_until = until;
                }
            }
            FaultKind::MachineSlow => {
                for m in self.target_machines(&fault) {
                    self.machines[m].slowdown = (fault.factor.unwrap_or(1.0).max(0.01), until);
                }
            }
            FaultKind::SpotTaken => {
                let share = fault.share.unwrap_or(0.0);
                for m in 0..self.machines.len() {
                    let machine = &self.machines[m];
                    let pool = &self.scenario.pools[machine.pool];
                    let in_zone = fault.zone.as_ref().is_none_or(|z| *z == pool.zone);
                    let exists = matches!(machine.phase, Phase::Up | Phase::Booting);
                    if pool.spot && in_zone && exists && self.rng.random::<f64>() < share {
                        let notice =
                            fault.notice_s.unwrap_or(0.0) * self.rng.random_range(0.5..1.5);
                        let at = self.now + micros(notice) + 1;
                        self.schedule_reclaim(m, at, notice);
                    }
                }
            }
            // The other kinds are looked up with `active_fault` where they take effect.
            _ => {}
        }
    }

    /// Returns the index of a zone; 0 if there is no zone of this name.
    fn zone_index(&self, name: Option<&str>) -> usize {
        let zones = &self.scenario.fleet.zones;
        zones
            .iter()
            .position(|z| Some(z.as_str()) == name)
            .unwrap_or(0)
    }

    /// Returns the controllers that a fault hits, by their present roles.
    fn target_controllers(&mut self, fault: &Fault) -> Vec<usize> {
        let mut controllers: Vec<usize> = (0..self.controllers.len()).collect();
        controllers.shuffle(&mut self.rng);
        let leads = |n: &usize| self.controllers[*n].is_leading();
        let leader = controllers.iter().copied().find(leads);
        let count = fault.count.unwrap_or(1);
        let chosen: Vec<usize> = match fault.whom.unwrap_or(FaultTarget::Any) {
            FaultTarget::Again => self.last_fault_targets.clone(),
            FaultTarget::All => controllers,
            FaultTarget::Leader | FaultTarget::Holder => leader
                .or(controllers.first().copied())
                .into_iter()
                .collect(),
            FaultTarget::Standby => controllers
                .into_iter()
                .filter(|n| Some(*n) != leader)
                .take(count)
                .collect(),
            FaultTarget::Any => controllers.into_iter().take(count).collect(),
        };
        self.last_fault_targets.clone_from(&chosen);
        chosen
    }

    /// Restarts all controllers, one after the other.
    fn rolling_restart(&mut self, fault: &Fault) {
        let every = micros(fault.every_s.unwrap_or(15.0));
        for n in 0..self.controllers.len() {
            let at = self.now + every * n as u64;
            self.schedule_at(at, Event::StopController(n));
        }
    }

    /// Returns the running machines that a fault hits.
    fn target_machines(&mut self, fault: &Fault) -> Vec<usize> {
        let zone = fault
            .zone
            .as_ref()
            .map(|z| self.zone_index(Some(z.as_str())));
        let mut up: Vec<usize> = (0..self.machines.len())
            .filter(|m| self.machines[*m].phase == Phase::Up)
            .filter(|m| zone.is_none_or(|z| self.machines[*m].zone == z))
            .filter(|m| self.now >= self.machines[*m].hung_until)
            .collect();
        // Machines with tasks come first, since the fault of an idle machine has little effect.
        up.shuffle(&mut self.rng);
        up.sort_by_key(|m| u8::from(self.machines[*m].tasks.is_empty()));
        up.truncate(fault.count.unwrap_or(1));
        up
    }
}
