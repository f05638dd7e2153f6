//! What fails, when its time has come.

use crate::machine::Phase;
use crate::network::{Ends, Host};
use crate::scenario::{Fault, FaultKind, FaultTarget, PartitionMode, PartitionedFrom};
use crate::world::{Event, World, micros};
use rand::Rng;
use rand::seq::SliceRandom;

/// How long a controller that was told to end has.
const LEAVE_TIME: u64 = 300_000;

impl World {
    pub fn fails(&mut self, n: usize) {
        let f = self.day.faults[n].clone();
        self.note("fails", n as u64, 0);
        let lasts = micros(f.for_s.unwrap_or(0.0));
        let until = self.now + lasts;
        if lasts > 0 {
            self.active.push(n);
            self.at(until, Event::Over(n));
        }
        let mode = f.mode.unwrap_or(PartitionMode::Hold);
        match f.kind {
            FaultKind::NodeCrash => {
                for n in self.chosen(&f) {
                    self.end_node(n);
                }
            }
            FaultKind::NodeEndsAsking => {
                for n in self.chosen(&f) {
                    self.controllers[n].ends_asking = true;
                }
            }
            FaultKind::NodeLeaves => {
                for n in self.chosen(&f) {
                    self.controllers[n].leave(self.now);
                    self.after(LEAVE_TIME, Event::Ends(n));
                }
            }
            FaultKind::NodeRoll => self.roll(&f),
            FaultKind::NodeFreeze => {
                for n in self.chosen(&f) {
                    let c = &mut self.controllers[n];
                    if f.inside {
                        c.stop_inside = Some(lasts);
                    } else {
                        c.frozen_until = c.frozen_until.max(until);
                        // Whatever it believes, it does nothing.
                        self.leads_changed(n, false);
                    }
                }
            }
            FaultKind::NodeCut => {
                let side = match f.from.unwrap_or(PartitionedFrom::All) {
                    PartitionedFrom::All => Ends::All,
                    PartitionedFrom::State => Ends::Host(Host::State),
                    PartitionedFrom::Workers => Ends::Machines,
                    PartitionedFrom::Peers => Ends::Nodes,
                    PartitionedFrom::Users => Ends::Host(Host::Users),
                    PartitionedFrom::Cloud => Ends::Host(Host::Cloud),
                };
                for n in self.chosen(&f) {
                    let node = Ends::Host(Host::Node(n));
                    self.network.cut(self.now, until, node, side, mode);
                }
            }
            FaultKind::PeersRefuse => self.network.refuse_peers(until),
            FaultKind::ZoneCut => {
                let leaders = self.chosen(&f).first().map(|n| self.controllers[*n].zone);
                let zone = match (&f.zone, leaders) {
                    (None, Some(zone)) => zone,
                    _ => self.zone_named(f.zone.as_deref()),
                };
                let zone = Ends::Zone(zone);
                self.network.cut(self.now, until, zone, Ends::All, mode);
            }
            FaultKind::ZonesApart => {
                let a = Ends::Zone(self.zone_named(f.zone.as_deref()));
                let b = Ends::Zone(self.zone_named(f.other_zone.as_deref()));
                self.network.cut(self.now, until, a, b, mode);
            }
            FaultKind::StateOutage => self.state.outage(self.now, until),
            FaultKind::StateRefuses => {
                for n in self.chosen(&f) {
                    self.state.refused.insert(n, until);
                }
            }
            FaultKind::StateForgets => self.state.forget(),
            FaultKind::WatchesHang => {
                for n in self.chosen(&f) {
                    self.state.hangs.insert(n, until);
                }
            }
            FaultKind::MachineDeaf => {
                for m in self.some_machines(&f) {
                    self.machines[m].deaf_until = until;
                }
            }
            FaultKind::MachineMute => {
                for m in self.some_machines(&f) {
                    self.machines[m].mute_until = until;
                }
            }
            FaultKind::CancelNow => self.cancel_running_jobs(&f),
            FaultKind::OddRequests => self.send_invalid_request(until),
            FaultKind::MirrorSpoiled => {
                for n in self.chosen(&f) {
                    if let Some(node) = &mut self.controllers[n].node {
                        node.corrupt_replica();
                    }
                }
            }
            FaultKind::MachineCut => {
                for m in self.some_machines(&f) {
                    let machine = Ends::Host(Host::Machine(m));
                    self.network.cut(self.now, until, machine, Ends::All, mode);
                }
            }
            FaultKind::MachineHang => {
                for m in self.some_machines(&f) {
                    self.hang(m, until);
                }
            }
            FaultKind::MachineDie => {
                for m in self.some_machines(&f) {
                    self.machine_ends(m, false);
                }
            }
            FaultKind::MachineSick => {
                for m in self.some_machines(&f) {
                    self.machines[m].sick_until = until;
                }
            }
            FaultKind::MachineSlow => {
                for m in self.some_machines(&f) {
                    self.machines[m].slow = (f.factor.unwrap_or(1.0).max(0.01), until);
                }
            }
            FaultKind::SpotTaken => {
                let share = f.share.unwrap_or(0.0);
                for m in 0..self.machines.len() {
                    let machine = &self.machines[m];
                    let pool = &self.day.pools[machine.pool];
                    let here = f.zone.as_ref().is_none_or(|z| *z == pool.zone);
                    let there = matches!(machine.phase, Phase::Up | Phase::Booting);
                    if pool.spot && here && there && self.rng.random::<f64>() < share {
                        let notice = f.notice_s.unwrap_or(0.0) * self.rng.random_range(0.5..1.5);
                        let at = self.now + micros(notice) + 1;
                        self.take(m, at, notice);
                    }
                }
            }
            // The others are looked up where they matter while they last.
            _ => {}
        }
    }

    fn zone_named(&self, name: Option<&str>) -> usize {
        let zones = &self.day.fleet.zones;
        zones
            .iter()
            .position(|z| Some(z.as_str()) == name)
            .unwrap_or(0)
    }

    /// The controllers that a failure hits, by what they do now.
    fn chosen(&mut self, f: &Fault) -> Vec<usize> {
        let mut nodes: Vec<usize> = (0..self.controllers.len()).collect();
        nodes.shuffle(&mut self.rng);
        let leads = |n: &usize| self.controllers[*n].leads();
        let leader = nodes.iter().copied().find(leads);
        let count = f.count.unwrap_or(1);
        let chosen: Vec<usize> = match f.whom.unwrap_or(FaultTarget::Any) {
            FaultTarget::Again => self.hit.clone(),
            FaultTarget::All => nodes,
            FaultTarget::Leader | FaultTarget::Holder => {
                leader.or(nodes.first().copied()).into_iter().collect()
            }
            FaultTarget::Standby => nodes
                .into_iter()
                .filter(|n| Some(*n) != leader)
                .take(count)
                .collect(),
            FaultTarget::Any => nodes.into_iter().take(count).collect(),
        };
        self.hit.clone_from(&chosen);
        chosen
    }

    /// All controllers end and come back, one after the other, each as a failure of its own.
    fn roll(&mut self, f: &Fault) {
        let every = micros(f.every_s.unwrap_or(15.0));
        for n in 0..self.controllers.len() {
            let at = self.now + every * n as u64;
            self.at(at, Event::Ends(n));
        }
    }

    fn some_machines(&mut self, f: &Fault) -> Vec<usize> {
        let zone = f.zone.as_ref().map(|z| self.zone_named(Some(z.as_str())));
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
