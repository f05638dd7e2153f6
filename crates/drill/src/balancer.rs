//! The users' load balancer as published: probes, health with pauses that double, the fewest open
//! connections first, nodes raised to their share, nodes skipped after failed connections.

use crate::network::Host;
use crate::world::{Micros, SECOND};
use rand::Rng;
use rand::rngs::SmallRng;
use std::collections::VecDeque;

const RAMP_UP: Micros = 10 * SECOND;

#[derive(Default)]
struct Backend {
    healthy: bool,
    was_healthy: bool,
    /// The last probes, the newest last.
    recent_probes: VecDeque<bool>,
    /// Probes in a row that succeeded since it was removed.
    successes_in_row: u32,
    unhealthy_until: Micros,
    removal_time: Micros,
    removed_at: Micros,
    ramp_up_started_at: Micros,
    open_connections: u32,
    failed_connects: u32,
    skipped_until: Micros,
}

pub struct Balancer {
    backends: Vec<Backend>,
}

impl Balancer {
    pub fn new(nodes: usize) -> Self {
        Self {
            backends: (0..nodes).map(|_| Backend::default()).collect(),
        }
    }

    pub fn record_probe(&mut self, now: Micros, n: usize, success: bool) {
        let s = &mut self.backends[n];
        s.recent_probes.push_back(success);
        if s.recent_probes.len() > 6 {
            s.recent_probes.pop_front();
        }
        s.successes_in_row = if success { s.successes_in_row + 1 } else { 0 };
        if s.healthy {
            let failed = s.recent_probes.iter().filter(|p| !**p).count();
            let twice = s
                .recent_probes
                .iter()
                .rev()
                .take(2)
                .filter(|p| !**p)
                .count()
                == 2;
            if failed >= 3 || twice {
                s.healthy = false;
                s.successes_in_row = 0;
                s.removal_time = if now < s.removed_at + 120 * SECOND && s.removed_at > 0 {
                    (2 * s.removal_time).min(60 * SECOND)
                } else {
                    3 * SECOND
                };
                s.removed_at = now;
                s.unhealthy_until = now + s.removal_time;
            }
        } else if (!s.was_healthy && s.successes_in_row >= 1)
            || (s.successes_in_row >= 2 && now >= s.unhealthy_until)
        {
            s.ramp_up_started_at = if s.was_healthy {
                now
            } else {
                now.saturating_sub(RAMP_UP)
            };
            s.recent_probes.clear();
            (s.healthy, s.was_healthy) = (true, true);
        }
    }

    pub fn healthy_count(&self) -> usize {
        self.backends.iter().filter(|s| s.healthy).count()
    }

    /// The node for a new connection.
    pub fn pick_controller(&mut self, now: Micros, rng: &mut SmallRng) -> Option<usize> {
        let weight = |s: &Backend| {
            let ramp_up_share =
                (now.saturating_sub(s.ramp_up_started_at) as f64 / RAMP_UP as f64).clamp(0.05, 1.0);
            (f64::from(s.open_connections) + 1.0) / ramp_up_share
        };
        let fit = |s: &Backend| s.healthy && now >= s.skipped_until;
        let fit: Vec<(usize, f64)> = self
            .backends
            .iter()
            .enumerate()
            .filter(|s| fit(s.1))
            .map(|s| (s.0, weight(s.1)))
            .collect();
        let least = fit.iter().map(|f| f.1).fold(f64::INFINITY, f64::min);
        let best: Vec<usize> = fit
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

    /// A connection did not come about.
    pub fn connect_failed(&mut self, now: Micros, n: usize) {
        let s = &mut self.backends[n];
        s.failed_connects += 1;
        if s.failed_connects >= 3 {
            (s.failed_connects, s.skipped_until) = (0, now + 3 * SECOND);
        }
    }
}
