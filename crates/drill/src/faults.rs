//! What fails, when its time has come.

use crate::day::{Failure, Kind, Mode, Side, Whom};
use crate::machine::Phase;
use crate::network::{Host, PartitionSide};
use crate::world::{Event, World, micros};
use rand::Rng;
use rand::seq::SliceRandom;

/// How long a controller that was told to end has.
const SHUTDOWN_TIME: u64 = 300_000;

impl World {
    pub fn start_fault(&mut self, n: usize) {
        let f = self.scenario.failures[n].clone();
        self.record_in_digest("fails", n as u64, 0);
        let lasts = micros(f.for_s.unwrap_or(0.0));
        let until = self.now + lasts;
        if lasts > 0 {
            self.active_faults.push(n);
            self.schedule_at(until, Event::FaultEnds(n));
        }
        let mode = f.mode.unwrap_or(Mode::Hold);
        match f.kind {
            Kind::NodeCrash => {
                for n in self.target_controllers(&f) {
                    self.stop_controller(n);
                }
            }
            Kind::NodeEndsAsking => {
                for n in self.target_controllers(&f) {
                    self.controllers[n].stops_after_transaction = true;
                }
            }
            Kind::NodeLeaves => {
                for n in self.target_controllers(&f) {
                    self.controllers[n].shut_down(self.now);
                    self.schedule_after(SHUTDOWN_TIME, Event::StopController(n));
                }
            }
            Kind::NodeRoll => self.rolling_restart(&f),
            Kind::NodeFreeze => {
                for n in self.target_controllers(&f) {
                    let c = &mut self.controllers[n];
                    if f.inside {
                        c.pause_in_loop = Some(lasts);
                    } else {
                        c.frozen_until = c.frozen_until.max(until);
                        // Whatever it believes, it does nothing.
                        self.set_leading(n, false);
                    }
                }
            }
            Kind::NodeCut => {
                let side = match f.from.unwrap_or(Side::All) {
                    Side::All => PartitionSide::All,
                    Side::State => PartitionSide::Host(Host::State),
                    Side::Workers => PartitionSide::Machines,
                    Side::Peers => PartitionSide::Controllers,
                    Side::Users => PartitionSide::Host(Host::Users),
                    Side::Cloud => PartitionSide::Host(Host::Cloud),
                };
                for n in self.target_controllers(&f) {
                    let controller = PartitionSide::Host(Host::Controller(n));
                    self.network
                        .partition(self.now, until, controller, side, mode);
                }
            }
            Kind::PeersRefuse => self.network.refuse_peer_connections(until),
            Kind::ZoneCut => {
                let leaders = self
                    .target_controllers(&f)
                    .first()
                    .map(|n| self.controllers[*n].zone);
                let zone = match (&f.zone, leaders) {
                    (None, Some(zone)) => zone,
                    _ => self.zone_index(f.zone.as_deref()),
                };
                let zone = PartitionSide::Zone(zone);
                self.network
                    .partition(self.now, until, zone, PartitionSide::All, mode);
            }
            Kind::ZonesApart => {
                let a = PartitionSide::Zone(self.zone_index(f.zone.as_deref()));
                let b = PartitionSide::Zone(self.zone_index(f.other_zone.as_deref()));
                self.network.partition(self.now, until, a, b, mode);
            }
            Kind::StateOutage => self.state_service.start_outage(self.now, until),
            Kind::StateRefuses => {
                for n in self.target_controllers(&f) {
                    self.state_service.refused_until.insert(n, until);
                }
            }
            Kind::StateForgets => self.state_service.compact_change_log(),
            Kind::WatchesHang => {
                for n in self.target_controllers(&f) {
                    self.state_service.watches_hang_until.insert(n, until);
                }
            }
            Kind::MachineDeaf => {
                for m in self.target_machines(&f) {
                    self.machines[m].inbound_partitioned_until = until;
                }
            }
            Kind::MachineMute => {
                for m in self.target_machines(&f) {
                    self.machines[m].outbound_partitioned_until = until;
                }
            }
            Kind::CancelNow => self.cancel_now(&f),
            Kind::OddRequests => self.odd_request(until),
            Kind::MirrorSpoiled => {
                for n in self.target_controllers(&f) {
                    if let Some(controller) = &mut self.controllers[n].controller {
                        controller.corrupt_replica();
                    }
                }
            }
            Kind::MachineCut => {
                for m in self.target_machines(&f) {
                    let machine = PartitionSide::Host(Host::Machine(m));
                    self.network
                        .partition(self.now, until, machine, PartitionSide::All, mode);
                }
            }
            Kind::MachineHang => {
                for m in self.target_machines(&f) {
                    self.hang_machine(m, until);
                }
            }
            Kind::MachineDie => {
                for m in self.target_machines(&f) {
                    self.stop_machine(m, false);
                }
            }
            Kind::MachineSick => {
                for m in self.target_machines(&f) {
                    self.machines[m].tasks_fail_until = until;
                }
            }
            Kind::MachineSlow => {
                for m in self.target_machines(&f) {
                    self.machines[m].slowdown = (f.factor.unwrap_or(1.0).max(0.01), until);
                }
            }
            Kind::SpotTaken => {
                let share = f.share.unwrap_or(0.0);
                for m in 0..self.machines.len() {
                    let machine = &self.machines[m];
                    let pool = &self.scenario.pools[machine.pool];
                    let here = f.zone.as_ref().is_none_or(|z| *z == pool.zone);
                    let there = matches!(machine.phase, Phase::Up | Phase::Booting);
                    if pool.spot && here && there && self.rng.random::<f64>() < share {
                        let notice = f.notice_s.unwrap_or(0.0) * self.rng.random_range(0.5..1.5);
                        let at = self.now + micros(notice) + 1;
                        self.schedule_reclaim(m, at, notice);
                    }
                }
            }
            // The others are looked up where they matter while they last.
            _ => {}
        }
    }

    fn zone_index(&self, name: Option<&str>) -> usize {
        let zones = &self.scenario.fleet.zones;
        zones
            .iter()
            .position(|z| Some(z.as_str()) == name)
            .unwrap_or(0)
    }

    /// The controllers that a failure hits, by what they do now.
    fn target_controllers(&mut self, f: &Failure) -> Vec<usize> {
        let mut nodes: Vec<usize> = (0..self.controllers.len()).collect();
        nodes.shuffle(&mut self.rng);
        let leads = |n: &usize| self.controllers[*n].is_leading();
        let leader = nodes.iter().copied().find(leads);
        let count = f.count.unwrap_or(1);
        let chosen: Vec<usize> = match f.whom.unwrap_or(Whom::Any) {
            Whom::Again => self.last_fault_targets.clone(),
            Whom::All => nodes,
            Whom::Leader | Whom::Holder => leader.or(nodes.first().copied()).into_iter().collect(),
            Whom::Standby => nodes
                .into_iter()
                .filter(|n| Some(*n) != leader)
                .take(count)
                .collect(),
            Whom::Any => nodes.into_iter().take(count).collect(),
        };
        self.last_fault_targets.clone_from(&chosen);
        chosen
    }

    /// All controllers end and come back, one after the other, each as a failure of its own.
    fn rolling_restart(&mut self, f: &Failure) {
        let every = micros(f.every_s.unwrap_or(15.0));
        for n in 0..self.controllers.len() {
            let at = self.now + every * n as u64;
            self.schedule_at(at, Event::StopController(n));
        }
    }

    fn target_machines(&mut self, f: &Failure) -> Vec<usize> {
        let zone = f.zone.as_ref().map(|z| self.zone_index(Some(z.as_str())));
        let mut up: Vec<usize> = (0..self.machines.len())
            .filter(|m| self.machines[*m].phase == Phase::Up)
            .filter(|m| zone.is_none_or(|z| self.machines[*m].zone == z))
            .filter(|m| self.now >= self.machines[*m].hung_until)
            .collect();
        // Those with work first: a failure of an idle machine shows little.
        up.shuffle(&mut self.rng);
        up.sort_by_key(|m| u8::from(self.machines[*m].tasks.is_empty()));
        up.truncate(f.count.unwrap_or(1));
        up
    }
}
