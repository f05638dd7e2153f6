//! Whose questions had no answer here, and for how long: so that what is refused for want of time or budget
//! is not the same job's questions again and again. Pure, and bounded.

use crate::clock::{Micros, SECOND};
use crate::seeded_hash::HashMap;
use xxhash_rust::xxh3::xxh3_64;

/// What was asked last so long ago is asked elsewhere, or not any more.
const FORGET_AFTER: Micros = 60 * SECOND;
/// At most so many are remembered; those that came first are, since they have waited longest.
const TRACKED_MAX: usize = 16_384;
/// Questions that had no answer for so long go before all others: users ask about every 5 s, and a job is
/// forgotten when nobody answers for 75 s, at whichever controllers they asked meanwhile.
pub const STARVED_AFTER: Micros = 10 * SECOND;

#[derive(Default)]
pub struct RequestStarvation {
    /// First and last time without an answer, by a digest of what was asked about.
    unanswered_since: HashMap<u64, (Micros, Micros)>,
}

impl RequestStarvation {
    /// A question about that had no answer.
    pub fn note_failure(&mut self, now: Micros, about: &str) {
        let key = xxh3_64(about.as_bytes());
        if self.unanswered_since.len() >= TRACKED_MAX && !self.unanswered_since.contains_key(&key) {
            self.unanswered_since
                .retain(|_, (_, last)| now < *last + FORGET_AFTER);
            if self.unanswered_since.len() >= TRACKED_MAX {
                return;
            }
        }
        let entry = self.unanswered_since.entry(key).or_insert((now, now));
        if now >= entry.1 + FORGET_AFTER {
            entry.0 = now;
        }
        entry.1 = now;
    }

    pub fn note_answer(&mut self, about: &str) {
        if !self.unanswered_since.is_empty() {
            self.unanswered_since.remove(&xxh3_64(about.as_bytes()));
        }
    }

    /// For how long questions about that have had no answer here.
    pub fn waited(&self, now: Micros, about: &str) -> Micros {
        if self.unanswered_since.is_empty() {
            return 0;
        }
        let found = self.unanswered_since.get(&xxh3_64(about.as_bytes()));
        let fresh = found.filter(|(_, last)| now < *last + FORGET_AFTER);
        fresh.map_or(0, |(first, _)| now.saturating_sub(*first))
    }

    pub fn is_starved(&self, now: Micros, about: &str) -> bool {
        self.waited(now, about) >= STARVED_AFTER
    }

    /// How many have had no answer, and the longest wait of them.
    pub fn worst(&self, now: Micros) -> (usize, Micros) {
        let fresh = self
            .unanswered_since
            .values()
            .filter(|(_, last)| now < *last + FORGET_AFTER);
        fresh.fold((0, 0), |(n, worst), (first, _)| {
            (n + 1, worst.max(now - first))
        })
    }
}
