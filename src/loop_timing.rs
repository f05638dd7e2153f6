//! What the event loop's time goes to, for the log line that says so.
//!
//! [`LoopTiming`] owns the counts since the last line; it measures nothing itself.

use crate::clock::{MILLISECOND, Micros, SECOND};
use std::fmt::{Display, Formatter, Result};

/// A phase of the event loop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoopPhase {
    /// Taking bytes from sockets, and waiting for them.
    Sockets,
    /// Client requests, answers of other systems, and what other controllers ask.
    Requests,
    /// Workers' heartbeats.
    Heartbeats,
    /// What the node does by itself: placing, saving, maintenance.
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

/// How often each phase was run since the last log line, and the time it took.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoopTiming {
    counts: [u64; PHASES.len()],
    times: [Micros; PHASES.len()],
    /// Turns of the loop, and those in which nothing arrived.
    turns: u64,
    idle_turns: u64,
    last_logged_at: Micros,
}

impl LoopTiming {
    /// A phase was run, and took this many microseconds.
    pub fn add(&mut self, phase: LoopPhase, took: Micros) {
        self.counts[phase as usize] += 1;
        self.times[phase as usize] += took;
    }

    /// The loop has waited for input; `idle` says that none arrived.
    pub fn record_iteration(&mut self, idle: bool) {
        self.turns += 1;
        self.idle_turns += u64::from(idle);
    }

    /// The log line on the time since the last one, ten seconds after it.
    pub fn take_log_line(&mut self, now: Micros) -> Option<String> {
        if now < self.last_logged_at + LOG_INTERVAL {
            return None;
        }
        let phases = PHASES.iter().map(|phase| {
            let at = *phase as usize;
            let (count, ms) = (self.counts[at], self.times[at] / MILLISECOND);
            format!("{phase} {count} in {ms} ms")
        });
        let phases = phases.collect::<Vec<_>>().join(", ");
        let line = format!(
            "{phases}; {} turns, {} without input",
            self.turns, self.idle_turns
        );
        *self = Self {
            last_logged_at: now,
            ..Self::default()
        };
        Some(line)
    }
}
