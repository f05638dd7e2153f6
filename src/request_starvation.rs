//! Which requests went unanswered here, and for how long, so that load shedding and a short budget do not refuse
//! the requests of the same job again and again.
//!
//! [`RequestStarvation`] owns a bounded memory of failures by subject (a job or a path); it refuses and answers
//! nothing itself.

use crate::clock::{Micros, SECOND};
use crate::seeded_hash::HashMap;
use xxhash_rust::xxh3::xxh3_64;

/// A subject not asked about for this long is asked about elsewhere, or no more.
const FORGET_AFTER: Micros = 60 * SECOND;
/// The most subjects remembered; the first are kept, since they have unanswered_for longest.
const TRACKED_MAX: usize = 16_384;
/// Requests unanswered for this long precede all others: clients ask about every 5 s, and a job counts as forgotten
/// when nobody answers for 75 s, at whichever controllers they asked meanwhile.
pub const STARVED_AFTER: Micros = 10 * SECOND;

/// The first and the last failure of one subject.
struct Unanswered {
    first: Micros,
    last: Micros,
}

impl Unanswered {
    fn is_recent(&self, now: Micros) -> bool {
        now < self.last + FORGET_AFTER
    }
}

/// What was asked about and had no answer.
#[derive(Default)]
pub struct RequestStarvation {
    /// By a digest of the subject.
    unanswered: HashMap<u64, Unanswered>,
}

impl RequestStarvation {
    /// A request about this subject was not answered.
    pub fn record_failure(&mut self, now: Micros, about: &str) {
        let key = xxh3_64(about.as_bytes());
        if self.unanswered.len() >= TRACKED_MAX && !self.unanswered.contains_key(&key) {
            self.unanswered.retain(|_, entry| entry.is_recent(now));
            if self.unanswered.len() >= TRACKED_MAX {
                return;
            }
        }
        let new = Unanswered {
            first: now,
            last: now,
        };
        let entry = self.unanswered.entry(key).or_insert(new);
        if !entry.is_recent(now) {
            entry.first = now;
        }
        entry.last = now;
    }

    /// A request about this subject was answered.
    pub fn record_answer(&mut self, about: &str) {
        if !self.unanswered.is_empty() {
            self.unanswered.remove(&xxh3_64(about.as_bytes()));
        }
    }

    /// For how long requests about this subject have gone unanswered here, in microseconds.
    pub fn unanswered_for(&self, now: Micros, about: &str) -> Micros {
        if self.unanswered.is_empty() {
            return 0;
        }
        let found = self.unanswered.get(&xxh3_64(about.as_bytes()));
        let recent = found.filter(|entry| entry.is_recent(now));
        recent.map_or(0, |entry| now.saturating_sub(entry.first))
    }

    /// Whether requests about this subject precede all others.
    pub fn is_starved(&self, now: Micros, about: &str) -> bool {
        self.unanswered_for(now, about) >= STARVED_AFTER
    }

    /// How many subjects had no answer, and the longest wait among them in microseconds.
    pub fn unanswered_summary(&self, now: Micros) -> (usize, Micros) {
        let recent = self
            .unanswered
            .values()
            .filter(|entry| entry.is_recent(now));
        recent.fold((0, 0), |(count, worst), entry| {
            (count + 1, worst.max(now - entry.first))
        })
    }
}
