//! Whose questions had no answer here, and for how long: so that what is refused for want of time or budget
//! is not the same job's questions again and again. Pure, and bounded.

use crate::clock::{Micros, SECOND};
use crate::maps::HashMap;
use xxhash_rust::xxh3::xxh3_64;

/// What was asked last so long ago is asked elsewhere, or not any more.
const KEPT: Micros = 60 * SECOND;
/// At most so many are remembered; those that came first are, since they have waited longest.
const MOST: usize = 16_384;
/// Questions that had no answer for so long go before all others: users ask about every 5 s, and a job is
/// forgotten when nobody answers for 75 s, at whichever controllers they asked meanwhile.
pub const OVERDUE: Micros = 10 * SECOND;

#[derive(Default)]
pub struct Unanswered {
    /// First and last time without an answer, by a digest of what was asked about.
    since: HashMap<u64, (Micros, Micros)>,
}

impl Unanswered {
    /// A question about that had no answer.
    pub fn failed(&mut self, now: Micros, about: &str) {
        let key = xxh3_64(about.as_bytes());
        if self.since.len() >= MOST && !self.since.contains_key(&key) {
            self.since.retain(|_, (_, last)| now < *last + KEPT);
            if self.since.len() >= MOST {
                return;
            }
        }
        let entry = self.since.entry(key).or_insert((now, now));
        if now >= entry.1 + KEPT {
            entry.0 = now;
        }
        entry.1 = now;
    }

    pub fn answered(&mut self, about: &str) {
        if !self.since.is_empty() {
            self.since.remove(&xxh3_64(about.as_bytes()));
        }
    }

    /// For how long questions about that have had no answer here.
    pub fn waits(&self, now: Micros, about: &str) -> Micros {
        if self.since.is_empty() {
            return 0;
        }
        let found = self.since.get(&xxh3_64(about.as_bytes()));
        let fresh = found.filter(|(_, last)| now < *last + KEPT);
        fresh.map_or(0, |(first, _)| now.saturating_sub(*first))
    }

    pub fn is_overdue(&self, now: Micros, about: &str) -> bool {
        self.waits(now, about) >= OVERDUE
    }

    /// How many have had no answer, and the longest wait of them.
    pub fn worst(&self, now: Micros) -> (usize, Micros) {
        let fresh = self.since.values().filter(|(_, last)| now < *last + KEPT);
        fresh.fold((0, 0), |(n, worst), (first, _)| {
            (n + 1, worst.max(now - first))
        })
    }
}
