//! Time in whole microseconds. Actors are handed the time, so tests drive a fake clock.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Microseconds on the steady clock of this process.
pub type Micros = u64;

pub const MILLISECOND: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

/// Steady clocks of two machines may drift apart by this share, both directions together.
const DRIFT_PER_MILLION: u64 = 1_000;

/// The longest time by our clock that `span` on another machine's clock can take.
pub fn drift_upper_bound(span: Micros) -> Micros {
    span + span * DRIFT_PER_MILLION / 1_000_000 + 50 * MILLISECOND
}

/// The time we may rely on a promise of `span` that another machine counts.
pub fn drift_lower_bound(span: Micros) -> Micros {
    span - span * DRIFT_PER_MILLION / 1_000_000 - (span / 20).min(100 * MILLISECOND)
}

/// Seconds as they stand in the protocols, as microseconds.
pub fn from_secs(s: f64) -> Micros {
    (s.max(0.0) * 1e6).round() as Micros
}

pub fn to_secs(t: Micros) -> f64 {
    t as f64 / 1e6
}

/// The time of one moment: steady, and the time of day in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    pub steady: Micros,
    pub wall: Micros,
}

pub struct Clock {
    start: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Clock {
    pub fn now(&self) -> Now {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Now {
            // Never zero, so that zero can stand for "long ago".
            steady: self.start.elapsed().as_micros() as Micros + SECOND,
            wall: wall.as_micros() as Micros,
        }
    }
}
