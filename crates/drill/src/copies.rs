//! Late copies of requests: the network delivers them a second time, and nobody waits for the answer.
//!
//! Heartbeats are copied by the fault `late_reports`, requests that were carried out by `request_copies`.

use crate::network::Host;
use crate::scenario::FaultKind;
use crate::world::{Event, Request, SECOND, World, micros};
use rand::Rng;
use serde::Serialize;

/// The earliest time after a request at which its copy arrives, in seconds.
const COPY_DELAY_MIN_S: f64 = 2.0;
/// The latest time, as a multiple of the worker lease.
const COPY_DELAY_MAX_LEASES: f64 = 3.0;
/// Copies of heartbeats that are held for the next leader; further ones are dropped.
const HELD_HEARTBEATS_MAX: usize = 400;

/// How many copies of requests were scheduled, by their destination.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RequestCopies {
    /// Commands to workers.
    pub machines: u64,
    /// Transactions and requests for leases.
    pub state_service: u64,
    /// Rentals and releases.
    pub cloud: u64,
    /// Frames of other controllers, and users' submissions and cancellations.
    pub controllers: u64,
}

impl RequestCopies {
    fn count(&mut self, destination: Host) {
        match destination {
            Host::Machine(_) => self.machines += 1,
            Host::State => self.state_service += 1,
            Host::Cloud => self.cloud += 1,
            Host::Controller(_) => self.controllers += 1,
            Host::Users => {}
        }
    }
}

/// The latest time after a request at which its copy arrives, in seconds.
pub fn copy_delay_max_s(lease_s: f64) -> f64 {
    COPY_DELAY_MAX_LEASES * lease_s
}

impl World {
    /// Called for a request that changes something and was carried out: a share of them arrives again later. A copy is
    /// not copied in turn.
    pub fn copy_executed_request(&mut self, request: &Request) {
        let is_copy = !self.calls.contains_key(&request.call);
        let fault = self.active_fault(FaultKind::RequestCopies);
        let Some(share) = fault.and_then(|f| f.share).filter(|_| !is_copy) else {
            return;
        };
        if self.rng.random::<f64>() >= share {
            return;
        }
        let delay_s = self.draw_copy_delay_s();
        self.request_copies.count(request.to);
        self.schedule_copy(delay_s, request.clone());
    }

    fn draw_copy_delay_s(&mut self) -> f64 {
        let latest = copy_delay_max_s(self.scenario.fleet.lease_s);
        self.rng.random_range(COPY_DELAY_MIN_S..latest)
    }

    fn schedule_copy(&mut self, delay_s: f64, copy: Request) {
        self.schedule_after(micros(delay_s), Event::DuplicateArrives(Box::new(copy)));
    }

    /// Called for a heartbeat that is sent: a share of them arrives again later, or is held for the next leader.
    pub fn copy_heartbeat(&mut self, heartbeat: &Request) {
        let Some(fault) = self.active_fault(FaultKind::LateReports) else {
            return;
        };
        let (share, for_next) = (fault.share.unwrap_or(0.0), fault.for_next);
        if self.rng.random::<f64>() >= share {
            return;
        }
        let delay_s = self.draw_copy_delay_s();
        if for_next {
            self.held_heartbeats.push_back(heartbeat.clone());
            self.held_heartbeats.truncate(HELD_HEARTBEATS_MAX);
        } else {
            self.schedule_copy(delay_s, heartbeat.clone());
        }
    }

    /// Delivers the held copies of heartbeats to every controller, within two seconds.
    pub fn deliver_held_heartbeats(&mut self) {
        for copy in std::mem::take(&mut self.held_heartbeats) {
            for controller in 0..self.controllers.len() {
                let mut copy = copy.clone();
                copy.to = Host::Controller(controller);
                let wait = self.rng.random_range(0..2 * SECOND);
                self.schedule_after(wait, Event::DuplicateArrives(Box::new(copy)));
            }
        }
    }

    /// Whether a request to a controller is copied: frames of other controllers, and users' submissions and
    /// cancellations.
    pub fn is_copied_to_controllers(request: &Request) -> bool {
        let from_user = request.from == Host::Users && request.method == "POST";
        request.peer_frame.is_some() || from_user
    }
}
