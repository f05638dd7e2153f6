//! Time in whole microseconds, clock drift bounds, and access to the system's clocks.
//!
//! Actors never read a clock: the time is passed to them, so that tests and the simulator can use a simulated clock.
//! [`Clock`] is the only type of this library that reads the system's clocks.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A point in time or a duration in microseconds. Unless stated otherwise, points in time are those of the steady clock
/// of this process.
pub type Micros = u64;

/// One millisecond.
pub const MILLISECOND: Micros = 1_000;
/// One second.
pub const SECOND: Micros = 1_000_000;

const PARTS_PER_MILLION: u64 = 1_000_000;
/// The largest relative drift between the steady clocks of two machines, in parts per million.
const DRIFT_PER_MILLION: u64 = 1_000;
/// Safety margin of an upper bound, in addition to the drift.
const UPPER_BOUND_MARGIN: Micros = 50 * MILLISECOND;
/// Safety margin of a lower bound, in addition to the drift: this fraction of the duration, up to
/// [`LOWER_BOUND_MARGIN_MAX`].
const LOWER_BOUND_MARGIN_DIVISOR: u64 = 20;
const LOWER_BOUND_MARGIN_MAX: Micros = 100 * MILLISECOND;

fn drift(duration: Micros) -> Micros {
    duration * DRIFT_PER_MILLION / PARTS_PER_MILLION
}

/// The longest time on this process's clock that `duration`, measured by another machine's clock, can take.
pub fn drift_upper_bound(duration: Micros) -> Micros {
    duration + drift(duration) + UPPER_BOUND_MARGIN
}

/// The time on this process's clock during which a lease of `duration`, measured by another machine's clock, is certain
/// not to have expired.
pub fn drift_lower_bound(duration: Micros) -> Micros {
    let margin = (duration / LOWER_BOUND_MARGIN_DIVISOR).min(LOWER_BOUND_MARGIN_MAX);
    duration - drift(duration) - margin
}

/// Converts seconds, the unit of the protocols, to microseconds. Negative values become 0.
pub fn from_secs(seconds: f64) -> Micros {
    (seconds.max(0.0) * SECOND as f64).round() as Micros
}

/// Converts microseconds to seconds.
pub fn to_secs(duration: Micros) -> f64 {
    duration as f64 / SECOND as f64
}

/// A point in time on both clocks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// Time on the steady clock of this process. [`Clock`] never returns 0, so that a stored time of 0 can mean "never".
    pub steady: Micros,
    /// Time of day, since the Unix epoch.
    pub wall: Micros,
}

/// The clocks of the system. The steady time is measured from the creation of this value, at which it is one second.
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
