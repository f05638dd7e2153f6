//! Starvation protection: records which requests this controller has refused or failed to answer and for how long, so
//! that load shedding and a low request budget do not refuse the requests for the same job again and again.
//!
//! [`RequestStarvation`] holds a bounded number of records by subject (a job id or a path); its callers decide which
//! request to answer.

use crate::clock::{Micros, SECOND};
use crate::seeded_hash::HashMap;
use xxhash_rust::xxh3::xxh3_64;

/// A subject without a failed request for this long is dropped: its clients ask another controller, or have stopped
/// asking.
const RECORD_TTL: Micros = 60 * SECOND;
/// The most subjects recorded. When the table is full, new subjects are not added, since those in it have waited longer.
const SUBJECTS_MAX: usize = 16_384;
/// Requests for a subject take precedence over all others after they have been unanswered for this long. Clients poll
/// about every 5 s, and a job counts as lost when no controller has answered for 75 s.
pub const STARVED_AFTER: Micros = 10 * SECOND;

/// The times of the first and the last unanswered request for a subject.
struct Unanswered {
    first: Micros,
    last: Micros,
}

impl Unanswered {
    fn is_recent(&self, now: Micros) -> bool {
        now < self.last + RECORD_TTL
    }
}

/// The subjects whose requests were not answered.
#[derive(Default)]
pub struct RequestStarvation {
    /// By a hash of the subject.
    unanswered: HashMap<u64, Unanswered>,
}

impl RequestStarvation {
    /// Records that a request for this subject was not answered.
    pub fn record_failure(&mut self, now: Micros, subject: &str) {
        let key = xxh3_64(subject.as_bytes());
        if self.unanswered.len() >= SUBJECTS_MAX && !self.unanswered.contains_key(&key) {
            self.unanswered.retain(|_, entry| entry.is_recent(now));
            if self.unanswered.len() >= SUBJECTS_MAX {
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

    /// Records that a request for this subject was answered.
    pub fn record_answer(&mut self, subject: &str) {
        if !self.unanswered.is_empty() {
            self.unanswered.remove(&xxh3_64(subject.as_bytes()));
        }
    }

    /// How long requests for this subject have been unanswered by this controller, in microseconds.
    pub fn unanswered_for(&self, now: Micros, subject: &str) -> Micros {
        if self.unanswered.is_empty() {
            return 0;
        }
        let found = self.unanswered.get(&xxh3_64(subject.as_bytes()));
        let recent = found.filter(|entry| entry.is_recent(now));
        recent.map_or(0, |entry| now.saturating_sub(entry.first))
    }

    /// Whether requests for this subject take precedence over all others.
    pub fn is_starved(&self, now: Micros, subject: &str) -> bool {
        self.unanswered_for(now, subject) >= STARVED_AFTER
    }

    /// The number of subjects without an answer, and the longest time among them, in microseconds.
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
