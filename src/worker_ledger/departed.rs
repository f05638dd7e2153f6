//! Retention of machines that left the ledger, so that late copies of their heartbeats, and reports of tasks that
//! a delayed command has started there, are recognized.
//!
//! [`DepartedMachines`] keeps each machine for [`DEPARTED_RETENTION`], while its messages can still arrive. Older
//! ones are evicted only while more are retained than the largest fleet had. The hard bound is far above the number
//! of machines that a fleet loses in the retention time; reaching it is logged.

use crate::clock::{Micros, SECOND};
use crate::seeded_hash::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;

/// Messages can arrive minutes late; below the hard bound no machine is evicted before this time.
pub const DEPARTED_RETENTION: Micros = 3600 * SECOND;
/// This many machines, or as many as the largest fleet had, are kept regardless of age.
const RETAINED_MACHINES_MIN: usize = 4096;
/// Hard bound: this many machines, or [`RETAINED_FLEETS_MAX`] times the largest fleet.
const RETAINED_MACHINES_MAX: usize = 1 << 16;
/// See [`RETAINED_MACHINES_MAX`].
const RETAINED_FLEETS_MAX: usize = 16;
/// Minimum time between two log lines about the hard bound.
const LOG_INTERVAL: Micros = 60 * SECOND;

/// A machine that left the ledger.
struct Departure<T> {
    at: Micros,
    last_state: T,
}

/// Machines that left the ledger, by name, each with its last known state.
pub struct DepartedMachines<T> {
    /// Describes the machines in log lines.
    description: &'static str,
    machines: HashMap<Arc<str>, Departure<T>>,
    /// Departure times, oldest first; a machine that left repeatedly has several entries.
    departures: VecDeque<(Micros, Arc<str>)>,
    largest_fleet: usize,
    last_logged_at: Option<Micros>,
    /// Number of machines evicted within [`DEPARTED_RETENTION`], because of the hard bound.
    pub dropped_early: u64,
}

impl<T> DepartedMachines<T> {
    /// Creates an empty collection; `description` names its machines in log lines.
    pub fn new(description: &'static str) -> Self {
        Self {
            description,
            machines: HashMap::default(),
            departures: VecDeque::new(),
            largest_fleet: 0,
            last_logged_at: None,
            dropped_early: 0,
        }
    }

    /// The last known state of a machine.
    pub fn get(&self, id: &str) -> Option<&T> {
        self.machines.get(id).map(|departure| &departure.last_state)
    }

    /// Whether a machine of that name is retained.
    pub fn contains(&self, id: &str) -> bool {
        self.machines.contains_key(id)
    }

    /// Adds a machine that leaves a fleet of `fleet` machines.
    pub fn insert(&mut self, now: Micros, fleet: usize, id: Arc<str>, last_state: T) {
        self.largest_fleet = self.largest_fleet.max(fleet);
        self.departures.push_back((now, id.clone()));
        self.machines.insert(
            id,
            Departure {
                at: now,
                last_state,
            },
        );
        self.evict(now);
    }

    fn evict(&mut self, now: Micros) {
        let kept_at_any_age = RETAINED_MACHINES_MIN.max(self.largest_fleet);
        let bound = RETAINED_MACHINES_MAX.max(RETAINED_FLEETS_MAX * self.largest_fleet);
        while let Some((at, id)) = self.departures.front() {
            let is_latest = self
                .machines
                .get(id)
                .is_some_and(|departure| departure.at == *at);
            let is_old = now > *at + DEPARTED_RETENTION;
            let is_full = self.departures.len() > bound;
            if is_latest && !(is_full || is_old && self.machines.len() > kept_at_any_age) {
                return;
            }
            if is_latest {
                self.machines.remove(id);
            }
            self.departures.pop_front();
            if is_latest && !is_old {
                self.dropped_early += 1;
                self.log_early_drop(now, bound);
            }
        }
    }

    fn log_early_drop(&mut self, now: Micros, bound: usize) {
        if self
            .last_logged_at
            .is_some_and(|at| now < at + LOG_INTERVAL)
        {
            return;
        }
        self.last_logged_at = Some(now);
        log::error!(
            "more than {bound} {} within {} min; evicting the oldest, {} evicted so far",
            self.description,
            DEPARTED_RETENTION / (60 * SECOND),
            self.dropped_early
        );
    }
}
