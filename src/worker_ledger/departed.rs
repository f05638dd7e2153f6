//! Memory of machines that left the ledger, so that late copies of their heartbeats, and what delayed commands
//! lead to, are recognized.
//!
//! [`DepartedMachines`] drops nothing while messages of a machine can still arrive: it keeps each for [`DEPARTED_RETENTION`],
//! and a number of them that follows the size of the fleet at any age. Its bound is far above what a fleet loses in
//! that time, and is logged when reached.

use crate::clock::{Micros, SECOND};
use crate::seeded_hash::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;

/// Messages can arrive minutes late; no machine is forgotten before this time.
pub const DEPARTED_RETENTION: Micros = 3600 * SECOND;
/// This many machines are remembered at any age, or as many as the largest fleet had.
const REMEMBERED_MIN: usize = 4096;
/// The most machines remembered: this many, or [`REMEMBERED_FLEETS_MAX`] times the largest fleet.
const REMEMBERED_MAX: usize = 1 << 16;
/// See [`REMEMBERED_MAX`].
const REMEMBERED_FLEETS_MAX: usize = 16;
/// Least time between two log lines on the bound.
const LOG_INTERVAL: Micros = 60 * SECOND;

/// A machine that left.
struct Departure<T> {
    at: Micros,
    last: T,
}

/// The machines that left, by name, each with the last that is known of it.
pub struct DepartedMachines<T> {
    /// What they are called in the log.
    kind: &'static str,
    known: HashMap<Arc<str>, Departure<T>>,
    /// When each left, oldest first; a machine that left again is in it more than once.
    order: VecDeque<(Micros, Arc<str>)>,
    largest_fleet: usize,
    last_logged_at: Option<Micros>,
    /// How many were dropped while messages of theirs could still arrive.
    pub dropped_early: u64,
}

impl<T> DepartedMachines<T> {
    /// An empty memory; `kind` is what its machines are called in the log.
    pub fn new(kind: &'static str) -> Self {
        Self {
            kind,
            known: HashMap::default(),
            order: VecDeque::new(),
            largest_fleet: 0,
            last_logged_at: None,
            dropped_early: 0,
        }
    }

    /// The last that is known of a machine.
    pub fn get(&self, id: &str) -> Option<&T> {
        self.known.get(id).map(|departure| &departure.last)
    }

    /// Whether a machine of that name is remembered.
    pub fn contains(&self, id: &str) -> bool {
        self.known.contains_key(id)
    }

    /// Remembers a machine that leaves a fleet of `fleet` machines.
    pub fn insert(&mut self, now: Micros, fleet: usize, id: Arc<str>, last: T) {
        self.largest_fleet = self.largest_fleet.max(fleet);
        self.order.push_back((now, id.clone()));
        self.known.insert(id, Departure { at: now, last });
        self.evict(now);
    }

    fn evict(&mut self, now: Micros) {
        let kept_at_any_age = REMEMBERED_MIN.max(self.largest_fleet);
        let bound = REMEMBERED_MAX.max(REMEMBERED_FLEETS_MAX * self.largest_fleet);
        while let Some((at, id)) = self.order.front() {
            let is_latest = self
                .known
                .get(id)
                .is_some_and(|departure| departure.at == *at);
            let is_old = now > *at + DEPARTED_RETENTION;
            let is_full = self.order.len() > bound;
            if is_latest && !(is_full || is_old && self.known.len() > kept_at_any_age) {
                return;
            }
            if is_latest {
                self.known.remove(id);
            }
            self.order.pop_front();
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
            "more than {bound} {} within {} min: the oldest are forgotten, {} so far",
            self.kind,
            DEPARTED_RETENTION / (60 * SECOND),
            self.dropped_early
        );
    }
}
