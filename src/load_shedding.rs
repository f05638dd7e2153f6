//! How far behind its inputs this node is, and what it does not take on for that. Work that is
//! running goes before new work, and whoever can come again is told so at once: a node that takes
//! everything answers all of it too late, is asked again, and stays behind when the cause is over.

use crate::clock::{MILLISECOND, Micros, SECOND};
use crate::wire::SUBMIT_PATH;

/// A worker waits that long for the answer to a report (protocol, "Workers -> controller nodes").
const WORKER_TIMEOUT: Micros = 4 * SECOND;
/// Users wait that long for a poll and for a submission (protocol, "Users -> controller nodes").
const POLL_TIMEOUT: Micros = 2 * SECOND;
const SUBMIT_TIMEOUT: Micros = 5 * SECOND;
/// What was measured counts half after this long without a new peak.
const LAG_HALF_LIFE: Micros = 500 * MILLISECOND;
/// The longest `Retry-After` that users keep to is 30 s.
const RETRY_AFTER_MAX_S: u32 = 20;

/// Which users' requests are refused before they are looked at.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShedLevel {
    #[default]
    Nothing,
    Polls,
    ClientRequests,
}

impl ShedLevel {
    /// Whether a user's request of this path is refused. Polls go first: whoever asks how a job is
    /// asks again anyhow, while a submission or a cancellation is what its user waits for.
    pub fn refuses(self, path: &str) -> bool {
        let asks = path == SUBMIT_PATH || path.ends_with("/cancel");
        match self {
            ShedLevel::Nothing => false,
            ShedLevel::Polls => !asks,
            ShedLevel::ClientRequests => true,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
pub struct LoadMonitor {
    lag: f64,
    noted_at: Micros,
    /// The highest lag of this run.
    pub worst_lag: Micros,
}

impl LoadMonitor {
    /// Takes what the oldest input just handled, or still waiting, has waited.
    pub fn note_wait(&mut self, now: Micros, waited: Micros) {
        let aged =
            self.lag * 0.5f64.powf(now.saturating_sub(self.noted_at) as f64 / LAG_HALF_LIFE as f64);
        self.lag = aged.max(waited as f64);
        self.noted_at = now;
        self.worst_lag = self.worst_lag.max(waited);
    }

    /// Time from the arrival of an input to its being handled, lately at worst.
    pub fn lag(&self) -> Micros {
        self.lag as Micros
    }

    pub fn shed_level(&self) -> ShedLevel {
        match self.lag() {
            lag if lag > SUBMIT_TIMEOUT / 3 => ShedLevel::ClientRequests,
            lag if lag > POLL_TIMEOUT / 3 => ShedLevel::Polls,
            _ => ShedLevel::Nothing,
        }
    }

    /// Whether new work may be started. A start brings reports of its own; when those that keep
    /// leases alive wait for a good part of what their workers give them, there are enough.
    pub fn may_start_work(&self) -> bool {
        self.lag() < WORKER_TIMEOUT / 4
    }

    /// When a user who is refused should come again, in seconds: the later the further behind,
    /// and spread, so that they don't come back together.
    pub fn retry_after(&self, who: u64) -> u32 {
        let base = (2 * self.lag() / SECOND) as u32 + 1;
        (base + (who % u64::from(base)) as u32).min(RETRY_AFTER_MAX_S)
    }
}

/// What a node's time goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoopPhase {
    /// Taking bytes from sockets, and waiting for them.
    Sockets,
    /// Users' requests, answers of other systems, and what other controllers ask.
    Requests,
    Heartbeats,
    /// What the node does by itself: placing, saving, upkeep.
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

/// Between two lines in the log.
const LOG_INTERVAL: Micros = 10 * SECOND;

/// How often each kind of work was done lately, and the time it took.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoopTiming {
    counts: [u64; PHASES.len()],
    times: [Micros; PHASES.len()],
    /// Turns of the loop, and those in which nothing came in.
    turns: u64,
    idle_turns: u64,
    last_logged_at: Micros,
}

impl LoopTiming {
    pub fn add(&mut self, work: LoopPhase, took: Micros) {
        self.counts[work as usize] += 1;
        self.times[work as usize] += took;
    }

    /// The loop has waited for something to come in.
    pub fn note_turn(&mut self, idle: bool) {
        self.turns += 1;
        self.idle_turns += u64::from(idle);
    }

    /// A line on the last seconds, now and then.
    pub fn take_log_line(&mut self, now: Micros) -> Option<String> {
        if now < self.last_logged_at + LOG_INTERVAL {
            return None;
        }
        let line = PHASES.iter().map(|w| {
            let at = *w as usize;
            format!(
                "{w:?} {} in {} ms",
                self.counts[at],
                self.times[at] / MILLISECOND
            )
        });
        let line = line.collect::<Vec<_>>().join(", ").to_lowercase();
        let line = format!(
            "{line}; {} turns, {} without input",
            self.turns, self.idle_turns
        );
        *self = Self {
            last_logged_at: now,
            ..Self::default()
        };
        Some(line)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_refused_grows_with_the_lag_and_ends_soon_after_it() {
        let mut load = LoadMonitor::default();
        load.note_wait(SECOND, 20 * MILLISECOND);
        assert!(load.may_start_work() && load.shed_level() == ShedLevel::Nothing);
        load.note_wait(SECOND, 800 * MILLISECOND);
        assert!(load.may_start_work() && load.shed_level() == ShedLevel::Polls);
        load.note_wait(2 * SECOND, 3 * SECOND);
        assert!(!load.may_start_work() && load.shed_level() == ShedLevel::ClientRequests);
        let spread: std::collections::BTreeSet<u32> =
            (0..50).map(|n| load.retry_after(n)).collect();
        assert!(spread.len() > 3 && spread.iter().all(|s| (1..=20).contains(s)));
        load.note_wait(5 * SECOND, 0);
        assert!(load.may_start_work() && load.shed_level() == ShedLevel::Nothing);
    }
}
