//! Load shedding: measures how far this controller lags behind its inputs, and decides what it refuses.
//!
//! Running work takes precedence over new work, and a client that can retry is refused at once: a controller that
//! accepts everything answers too late, receives the retries as well, and stays overloaded after the cause has ended.
//! [`LoadMonitor`] only measures and decides; [`net`](crate::net) refuses client requests, and the controller defers
//! starting work.

#[cfg(test)]
mod tests;

use crate::clock::{MILLISECOND, Micros, SECOND};
use crate::wire::SUBMIT_PATH;

/// How long a worker agent waits for the answer to a heartbeat (protocol, "Workers -> controller nodes").
const WORKER_TIMEOUT: Micros = 4 * SECOND;
/// How long a client waits for the answer to a poll (protocol, "Users -> controller nodes").
const POLL_TIMEOUT: Micros = 2 * SECOND;
/// How long a client waits for the answer to a submission.
const SUBMIT_TIMEOUT: Micros = 5 * SECOND;
/// Half-life of the measured lag while no longer wait is recorded.
const LAG_HALF_LIFE: Micros = 500 * MILLISECOND;
/// The largest `Retry-After`, in seconds. Clients never wait longer than 30 s.
const RETRY_AFTER_MAX_S: u32 = 20;

/// Which client requests are refused before they reach the controller, in increasing order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShedLevel {
    /// None.
    #[default]
    Nothing,
    /// Requests for the state of a job (polls).
    Polls,
    /// All client requests.
    ClientRequests,
}

impl std::fmt::Display for ShedLevel {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Nothing => "nothing",
            Self::Polls => "polls",
            Self::ClientRequests => "client_requests",
        })
    }
}

impl ShedLevel {
    /// Whether a client request for this path is refused. Polls are refused first, since a client repeats them anyway,
    /// whereas it waits for the answer to a submission or a cancellation.
    pub fn refuses(self, path: &str) -> bool {
        let is_write = path == SUBMIT_PATH || path.ends_with("/cancel");
        match self {
            ShedLevel::Nothing => false,
            ShedLevel::Polls => !is_write,
            ShedLevel::ClientRequests => true,
        }
    }
}

/// How close the number of incoming connections is to its limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionPressure {
    /// Enough connections are free.
    #[default]
    Low,
    /// The controller takes over no more workers from the leader.
    High,
    /// The controller sends workers back to the leader.
    Critical,
}

/// Measures how far this controller lags behind its inputs.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadMonitor {
    /// The longest recent wait of an input in microseconds, decayed to `updated_at`.
    lag: f64,
    updated_at: Micros,
    /// The longest wait since the process started, in microseconds.
    pub worst_lag: Micros,
    /// How close the number of incoming connections is to its limit; set by the event loop.
    pub connection_pressure: ConnectionPressure,
}

impl LoadMonitor {
    /// Records how long the oldest of the inputs has waited that were just handled or are still queued.
    pub fn record_wait(&mut self, now: Micros, waited: Micros) {
        let decayed = self.lag
            * 0.5f64.powf(now.saturating_sub(self.updated_at) as f64 / LAG_HALF_LIFE as f64);
        self.lag = decayed.max(waited as f64);
        self.updated_at = now;
        self.worst_lag = self.worst_lag.max(waited);
    }

    /// The longest recent time between the arrival of an input and its handling, in microseconds.
    pub fn lag(&self) -> Micros {
        self.lag as Micros
    }

    /// Which client requests are refused at the current lag.
    pub fn shed_level(&self) -> ShedLevel {
        match self.lag() {
            lag if lag > SUBMIT_TIMEOUT / 3 => ShedLevel::ClientRequests,
            lag if lag > POLL_TIMEOUT / 3 => ShedLevel::Polls,
            _ => ShedLevel::Nothing,
        }
    }

    /// Whether new work may be started. Each start causes additional heartbeats, so none is allowed once heartbeats wait
    /// for a quarter of the time after which workers give up on an answer.
    pub fn may_start_work(&self) -> bool {
        self.lag() < WORKER_TIMEOUT / 4
    }

    /// The time after which a refused client should retry, in seconds. It grows with the lag and is spread by
    /// `spread_key`, so that clients do not all retry at the same time.
    pub fn retry_after(&self, spread_key: u64) -> u32 {
        let base = (2 * self.lag() / SECOND) as u32 + 1;
        (base + (spread_key % u64::from(base)) as u32).min(RETRY_AFTER_MAX_S)
    }
}
