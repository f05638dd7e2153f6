//! A model of the load balancer in front of the controllers, after its published description.
//!
//! - Health probes: two failures in a row, or three among the last six, remove a controller. It comes back after two
//!   successes in a row, and 3 s after its removal at the earliest; this time doubles, up to 60 s, if it was removed
//!   within the last 120 s already. At the start one successful probe is enough.
//! - A connection goes to the healthy controller with the fewest open connections. A controller that comes back is
//!   raised to its full share over `RAMP_UP`.
//! - Three failed connection attempts in a row exclude a controller for 3 s.

use crate::network::Host;
use crate::world::{Micros, SECOND};
use rand::Rng;
use rand::rngs::SmallRng;
use std::collections::VecDeque;

/// Time in which a controller that comes back is raised to its full share of connections.
const RAMP_UP: Micros = 10 * SECOND;

/// What the load balancer knows of one controller.
#[derive(Default)]
struct Backend {
    healthy: bool,
    /// Whether it has ever been healthy.
    was_healthy: bool,
    /// Results of the last six health probes, newest last.
    recent_probes: VecDeque<bool>,
    /// Successful probes in a row.
    successes_in_row: u32,
    /// When the controller may come back after its last removal.
    unhealthy_until: Micros,
    /// Minimum time from the last removal to the return.
    removal_time: Micros,
    removed_at: Micros,
    ramp_up_started_at: Micros,
    open_connections: u32,
    /// Failed connection attempts in a row.
    failed_connects: u32,
    skipped_until: Micros,
}

/// The load balancer; controllers are given by their index.
pub struct Balancer {
    backends: Vec<Backend>,
}

impl Balancer {
    pub fn new(controllers: usize) -> Self {
        Self {
            backends: (0..controllers).map(|_| Backend::default()).collect(),
        }
    }

    /// Records the result of a health probe and removes or restores the controller.
    pub fn record_probe(&mut self, now: Micros, n: usize, success: bool) {
        let backend = &mut self.backends[n];
        backend.recent_probes.push_back(success);
        if backend.recent_probes.len() > 6 {
            backend.recent_probes.pop_front();
        }
        backend.successes_in_row = if success {
            backend.successes_in_row + 1
        } else {
            0
        };
        if backend.healthy {
            let failed_recently = backend.recent_probes.iter().filter(|p| !**p).count();
            let failed_twice = backend
                .recent_probes
                .iter()
                .rev()
                .take(2)
                .filter(|p| !**p)
                .count()
                == 2;
            if failed_recently >= 3 || failed_twice {
                backend.healthy = false;
                backend.successes_in_row = 0;
                backend.removal_time =
                    if now < backend.removed_at + 120 * SECOND && backend.removed_at > 0 {
                        (2 * backend.removal_time).min(60 * SECOND)
                    } else {
                        3 * SECOND
                    };
                backend.removed_at = now;
                backend.unhealthy_until = now + backend.removal_time;
            }
        } else if (!backend.was_healthy && backend.successes_in_row >= 1)
            || (backend.successes_in_row >= 2 && now >= backend.unhealthy_until)
        {
            backend.ramp_up_started_at = if backend.was_healthy {
                now
            } else {
                now.saturating_sub(RAMP_UP)
            };
            backend.recent_probes.clear();
            (backend.healthy, backend.was_healthy) = (true, true);
        }
    }

    pub fn healthy_count(&self) -> usize {
        self.backends
            .iter()
            .filter(|backend| backend.healthy)
            .count()
    }

    /// Picks the controller for a new connection; `None` if no healthy one may be used.
    pub fn pick_controller(&mut self, now: Micros, rng: &mut SmallRng) -> Option<usize> {
        let weight = |backend: &Backend| {
            let ramp_up_share = (now.saturating_sub(backend.ramp_up_started_at) as f64
                / RAMP_UP as f64)
                .clamp(0.05, 1.0);
            (f64::from(backend.open_connections) + 1.0) / ramp_up_share
        };
        let eligible = |backend: &Backend| backend.healthy && now >= backend.skipped_until;
        let eligible: Vec<(usize, f64)> = self
            .backends
            .iter()
            .enumerate()
            .filter(|backend| eligible(backend.1))
            .map(|backend| (backend.0, weight(backend.1)))
            .collect();
        let least = eligible.iter().map(|f| f.1).fold(f64::INFINITY, f64::min);
        let best: Vec<usize> = eligible
            .iter()
            .filter(|f| f.1 <= least + 1e-9)
            .map(|f| f.0)
            .collect();
        (!best.is_empty()).then(|| best[rng.random_range(0..best.len())])
    }

    pub fn connection_opened(&mut self, n: usize) {
        self.backends[n].open_connections += 1;
        self.backends[n].failed_connects = 0;
    }

    pub fn connection_closed(&mut self, to: Host) {
        if let Host::Controller(n) = to {
            self.backends[n].open_connections = self.backends[n].open_connections.saturating_sub(1);
        }
    }

    /// Records a failed connection attempt.
    pub fn connect_failed(&mut self, now: Micros, n: usize) {
        let backend = &mut self.backends[n];
        backend.failed_connects += 1;
        if backend.failed_connects >= 3 {
            (backend.failed_connects, backend.skipped_until) = (0, now + 3 * SECOND);
        }
    }
}
