//! Load shedding: how far behind its inputs this node is, and what it refuses for that reason.
//!
//! Running work precedes new work, and a client that can retry is told so at once: a node that accepts
//! everything answers all of it too late, is asked again, and stays behind after the cause is over.
//! [`LoadMonitor`] only measures and judges; `net` refuses, and the controller starts less.

#[cfg(test)]
mod tests;

use crate::clock::{MILLISECOND, Micros, SECOND};
use crate::wire::SUBMIT_PATH;

/// How long a worker waits for the answer to a heartbeat (protocol, "Workers -> controller nodes").
const WORKER_TIMEOUT: Micros = 4 * SECOND;
/// How long a client waits for the answer to a poll (protocol, "Users -> controller nodes").
const POLL_TIMEOUT: Micros = 2 * SECOND;
/// The same for a submission.
const SUBMIT_TIMEOUT: Micros = 5 * SECOND;
/// The measured lag halves in this time unless a higher one is seen.
const LAG_HALF_LIFE: Micros = 500 * MILLISECOND;
/// The largest `Retry-After`, in seconds; clients keep to no more than 30 s.
const RETRY_AFTER_MAX_S: u32 = 20;

/// Which client requests are refused before they are parsed further.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShedLevel {
    /// None.
    #[default]
    Nothing,
    /// Polls.
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
    /// Whether a client request of this path is refused. Polls are refused first: a client polls again anyway,
    /// while it waits for a submission or a cancellation.
    pub fn refuses(self, path: &str) -> bool {
        let is_write = path == SUBMIT_PATH || path.ends_with("/cancel");
        match self {
            ShedLevel::Nothing => false,
            ShedLevel::Polls => !is_write,
            ShedLevel::ClientRequests => true,
        }
    }
}

/// How many of the connections that others may have to this node are in use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionPressure {
    /// There are enough.
    #[default]
    Low,
    /// The node takes no more workers from the leader.
    High,
    /// The node hands workers back to the leader.
    Critical,
}

/// How far behind its inputs this node is.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadMonitor {
    lag: f64,
    noted_at: Micros,
    /// The highest lag of this process, in microseconds.
    pub worst_lag: Micros,
    /// How many of its connections are in use.
    pub connection_pressure: ConnectionPressure,
}

impl LoadMonitor {
    /// Takes how long the oldest input has waited that was just handled or still waits.
    pub fn record_wait(&mut self, now: Micros, waited: Micros) {
        let aged =
            self.lag * 0.5f64.powf(now.saturating_sub(self.noted_at) as f64 / LAG_HALF_LIFE as f64);
        self.lag = aged.max(waited as f64);
        self.noted_at = now;
        self.worst_lag = self.worst_lag.max(waited);
    }

    /// The longest recent time from the arrival of an input to its handling, in microseconds.
    pub fn lag(&self) -> Micros {
        self.lag as Micros
    }

    /// What is refused at this lag.
    pub fn shed_level(&self) -> ShedLevel {
        match self.lag() {
            lag if lag > SUBMIT_TIMEOUT / 3 => ShedLevel::ClientRequests,
            lag if lag > POLL_TIMEOUT / 3 => ShedLevel::Polls,
            _ => ShedLevel::Nothing,
        }
    }

    /// Whether new work may be started. A start causes further heartbeats; while those that renew leases wait for
    /// a quarter of what their workers wait, there are enough.
    pub fn may_start_work(&self) -> bool {
        self.lag() < WORKER_TIMEOUT / 4
    }

    /// When a refused client should retry, in seconds: the later the further behind, and spread by `who`, so that
    /// clients don't return together.
    pub fn retry_after(&self, who: u64) -> u32 {
        let base = (2 * self.lag() / SECOND) as u32 + 1;
        (base + (who % u64::from(base)) as u32).min(RETRY_AFTER_MAX_S)
    }
}
