//! What is remembered of machines that left the ledger, so that late copies of their reports, and what held
//! commands lead to, are known for what they are.
//!
//! How long follows age, and how many the size of the fleet: nothing is dropped while messages of that machine can
//! still arrive. The bound on memory is far above what a fleet loses in that time, and is told when it is reached.

use crate::clock::{Micros, SECOND};
use crate::seeded_hash::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;

/// Messages can arrive minutes late; nothing is forgotten before it is older than that.
pub const REMEMBERED_FOR: Micros = 3600 * SECOND;
/// So many are remembered at any age, and so many times the largest fleet seen.
const REMEMBERED_MIN: usize = 4096;
/// The bound on all that are remembered: that many, or so many times the largest fleet seen.
const REMEMBERED_MAX: usize = 1 << 16;
const REMEMBERED_FLEETS_MAX: usize = 16;
/// The bound is told at most that often.
const LOG_INTERVAL: Micros = 60 * SECOND;

/// Names of machines that left, each with the last that is known of it.
pub struct Departed<T> {
    what: &'static str,
    known: HashMap<Arc<str>, (Micros, T)>,
    /// When each left, the first first; one that left again stands there more than once.
    order: VecDeque<(Micros, Arc<str>)>,
    largest_fleet: usize,
    told_at: Option<Micros>,
    /// Dropped while messages of it may still have come.
    pub dropped_early: u64,
}

impl<T> Departed<T> {
    /// `what` names them where the bound is told.
    pub fn new(what: &'static str) -> Self {
        Self {
            what,
            known: HashMap::default(),
            order: VecDeque::new(),
            largest_fleet: 0,
            told_at: None,
            dropped_early: 0,
        }
    }

    pub fn get(&self, id: &str) -> Option<&T> {
        self.known.get(id).map(|k| &k.1)
    }

    pub fn contains(&self, id: &str) -> bool {
        self.known.contains_key(id)
    }

    /// Remembers a machine that leaves a fleet of that size.
    pub fn insert(&mut self, now: Micros, fleet: usize, id: Arc<str>, last: T) {
        self.largest_fleet = self.largest_fleet.max(fleet);
        self.order.push_back((now, id.clone()));
        self.known.insert(id, (now, last));
        self.forget(now);
    }

    fn forget(&mut self, now: Micros) {
        let at_any_age = REMEMBERED_MIN.max(self.largest_fleet);
        let bound = REMEMBERED_MAX.max(REMEMBERED_FLEETS_MAX * self.largest_fleet);
        while let Some((at, id)) = self.order.front() {
            let newest = self.known.get(id).is_some_and(|k| k.0 == *at);
            let old = now > *at + REMEMBERED_FOR;
            let full = self.order.len() > bound;
            if newest && !(full || old && self.known.len() > at_any_age) {
                return;
            }
            if newest {
                self.known.remove(id);
            }
            self.order.pop_front();
            if newest && !old {
                self.dropped_early += 1;
                self.tell(now, bound);
            }
        }
    }

    fn tell(&mut self, now: Micros, bound: usize) {
        if self.told_at.is_some_and(|at| now < at + LOG_INTERVAL) {
            return;
        }
        self.told_at = Some(now);
        log::error!(
            "more than {bound} {} within {} min: the oldest are forgotten, {} so far",
            self.what,
            REMEMBERED_FOR / (60 * SECOND),
            self.dropped_early
        );
    }
}
