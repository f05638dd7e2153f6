//! Time in whole microseconds. Actors never read a clock: they are handed the time, so that tests and the
//! simulator drive a fake one. [`Clock`] is the only place of the core that reads the system's clocks.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A time or a duration in microseconds; a time is counted on the steady clock of this process.
pub type Micros = u64;

/// One millisecond.
pub const MILLISECOND: Micros = 1_000;
/// One second.
pub const SECOND: Micros = 1_000_000;

const PARTS_PER_MILLION: u64 = 1_000_000;
/// The steady clocks of two machines may drift apart by this share, both directions together.
const DRIFT_PER_MILLION: u64 = 1_000;
/// What an upper bound allows for beside the drift.
const UPPER_BOUND_MARGIN: Micros = 50 * MILLISECOND;
/// What a lower bound allows for beside the drift: a fraction of the duration, up to a maximum.
const LOWER_BOUND_MARGIN_DIVISOR: u64 = 20;
const LOWER_BOUND_MARGIN_MAX: Micros = 100 * MILLISECOND;

fn drift(duration: Micros) -> Micros {
    duration * DRIFT_PER_MILLION / PARTS_PER_MILLION
}

/// The longest time by this process's clock that `duration` on another machine's clock can take.
pub fn drift_upper_bound(duration: Micros) -> Micros {
    duration + drift(duration) + UPPER_BOUND_MARGIN
}

/// The time by this process's clock for which a lease of `duration` that another machine counts is surely not
/// over.
pub fn drift_lower_bound(duration: Micros) -> Micros {
    let margin = (duration / LOWER_BOUND_MARGIN_DIVISOR).min(LOWER_BOUND_MARGIN_MAX);
    duration - drift(duration) - margin
}

/// Converts seconds, as the protocols give them, to microseconds. Negative values become 0.
pub fn from_secs(seconds: f64) -> Micros {
    (seconds.max(0.0) * SECOND as f64).round() as Micros
}

/// Converts microseconds to seconds.
pub fn to_secs(duration: Micros) -> f64 {
    duration as f64 / SECOND as f64
}

/// One moment on both clocks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// Time on the steady clock of this process; never 0 from [`Clock`], so that 0 can mean "long ago".
    pub steady: Micros,
    /// Time of day, since the Unix epoch.
    pub wall: Micros,
}

/// The clocks of the system; the steady time counts from its creation.
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
    /// Reads both clocks.
    pub fn now(&self) -> Now {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Now {
            steady: self.start.elapsed().as_micros() as Micros + SECOND,
            wall: wall.as_micros() as Micros,
        }
    }
}
