//! Late copies of requests that were carried out: the network delivers them a second time, and nobody waits for the
//! answer. Copies of heartbeats are a fault of their own (`late_reports`).

use crate::network::Host;
use crate::scenario::FaultKind;
use crate::world::{Event, Request, World, micros};
use rand::Rng;
use serde::Serialize;

/// The earliest time after a request at which its copy arrives, in seconds.
const COPY_DELAY_MIN_S: f64 = 2.0;
/// The latest time, as a multiple of the worker lease.
const COPY_DELAY_MAX_LEASES: f64 = 3.0;

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
        let latest = copy_delay_max_s(self.scenario.fleet.lease_s);
        let delay_s = self.rng.random_range(COPY_DELAY_MIN_S..latest);
        let copy = Box::new(request.clone());
        self.request_copies.count(request.to);
        self.schedule_after(micros(delay_s), Event::DuplicateArrives(copy));
    }

    /// Whether a request to a controller is copied: frames of other controllers, and users' submissions and
    /// cancellations.
    pub fn is_copied_to_controllers(request: &Request) -> bool {
        let from_user = request.from == Host::Users && request.method == "POST";
        request.peer_frame.is_some() || from_user
    }
}
