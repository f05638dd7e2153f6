//! Statistics on how the event loop spends its time, for a periodic log line.
//!
//! [`LoopTiming`] accumulates the durations that the event loop measures, and formats them.

use crate::clock::{MILLISECOND, Micros, SECOND};
use std::fmt::{Display, Formatter, Result};

/// A phase of the event loop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoopPhase {
    /// Polling the sockets and reading from them.
    Sockets,
    /// Handling client requests, answers of other systems, and requests of other controllers.
    Requests,
    /// Handling heartbeats of workers.
    Heartbeats,
    /// Periodic work of the controller: placing tasks, storing state, maintenance.
    Internal,
    /// Writing to sockets.
    Sending,
}

const PHASES: [LoopPhase; 5] = [
    LoopPhase::Sockets,
    LoopPhase::Requests,
    LoopPhase::Heartbeats,
    LoopPhase::Internal,
    LoopPhase::Sending,
];

impl Display for LoopPhase {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        f.write_str(match self {
            Self::Sockets => "sockets",
            Self::Requests => "requests",
            Self::Heartbeats => "heartbeats",
            Self::Internal => "internal",
            Self::Sending => "sending",
        })
    }
}

/// Time between two log lines.
const LOG_INTERVAL: Micros = 10 * SECOND;

/// How often each phase ran since the last log line, and how long it took in total.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoopTiming {
    counts: [u64; PHASES.len()],
    times: [Micros; PHASES.len()],
    /// Iterations of the loop.
    iterations: u64,
    /// Iterations in which nothing arrived.
    idle_iterations: u64,
    last_logged_at: Micros,
}

impl LoopTiming {
    /// Records one run of a phase and its duration.
    pub fn add(&mut self, phase: LoopPhase, duration: Micros) {
        self.counts[phase as usize] += 1;
        self.times[phase as usize] += duration;
    }

    /// Records that the loop has waited for input; `idle` tells that none arrived.
    pub fn record_iteration(&mut self, idle: bool) {
        self.iterations += 1;
        self.idle_iterations += u64::from(idle);
    }

    /// Returns the log line on the time since the last one and resets the statistics; `None` within ten seconds of the
    /// last one.
    pub fn take_log_line(&mut self, now: Micros) -> Option<String> {
        if now < self.last_logged_at + LOG_INTERVAL {
            return None;
        }
        let phases = PHASES.iter().map(|phase| {
            let index = *phase as usize;
            let (count, ms) = (self.counts[index], self.times[index] / MILLISECOND);
            format!("{phase} {count} in {ms} ms")
        });
        let phases = phases.collect::<Vec<_>>().join(", ");
        let line = format!(
            "{phases}; {} turns, {} without input",
            self.iterations, self.idle_iterations
        );
        *self = Self {
            last_logged_at: now,
            ..Self::default()
        };
        Some(line)
    }
}
