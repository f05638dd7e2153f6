//! How far behind its inputs this node is, and what it does not take on for that. Work that is
//! running goes before new work, and whoever can come again is told so at once: a node that takes
//! everything answers all of it too late, is asked again, and stays behind when the cause is over.

use crate::clock::{MILLI, Micros, SECOND};
use crate::wire::SUBMIT_PATH;

/// A worker waits that long for the answer to a report (protocol, "Workers -> controller nodes").
const WORKER_PATIENCE: Micros = 4 * SECOND;
/// Users wait that long for a poll and for a submission (protocol, "Users -> controller nodes").
const POLL_PATIENCE: Micros = 2 * SECOND;
const SUBMIT_PATIENCE: Micros = 5 * SECOND;
/// What was measured counts half after this long without a new peak.
const HALF_LIFE: Micros = 500 * MILLI;
/// The longest `Retry-After` that users keep to is 30 s.
const RETRY_MAX: u32 = 20;

/// Which users' requests are refused before they are looked at.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Shed {
    #[default]
    Nothing,
    Polls,
    Users,
}

impl Shed {
    /// Whether a user's request of this path is refused. Polls go first: whoever asks how a job is
    /// asks again anyhow, while a submission or a cancellation is what its user waits for.
    pub fn covers(self, path: &str) -> bool {
        let asks = path == SUBMIT_PATH || path.ends_with("/cancel");
        match self {
            Shed::Nothing => false,
            Shed::Polls => !asks,
            Shed::Users => true,
        }
    }
}

/// How far the connections that others may have to a node are taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Room {
    #[default]
    Enough,
    /// It wants no more workers handed to it.
    Crowded,
    /// It hands some to the leader.
    Full,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    lag: f64,
    at: Micros,
    /// The highest lag of this run.
    pub worst: Micros,
    /// How far its connections are taken.
    pub room: Room,
}

impl Load {
    /// Takes what the oldest input just handled, or still waiting, has waited.
    pub fn note(&mut self, now: Micros, waited: Micros) {
        let aged = self.lag * 0.5f64.powf(now.saturating_sub(self.at) as f64 / HALF_LIFE as f64);
        self.lag = aged.max(waited as f64);
        self.at = now;
        self.worst = self.worst.max(waited);
    }

    /// Time from the arrival of an input to its being handled, lately at worst.
    pub fn lag(&self) -> Micros {
        self.lag as Micros
    }

    pub fn shed(&self) -> Shed {
        match self.lag() {
            lag if lag > SUBMIT_PATIENCE / 3 => Shed::Users,
            lag if lag > POLL_PATIENCE / 3 => Shed::Polls,
            _ => Shed::Nothing,
        }
    }

    /// Whether new work may be started. A start brings reports of its own; when those that keep
    /// leases alive wait for a good part of what their workers give them, there are enough.
    pub fn may_start(&self) -> bool {
        self.lag() < WORKER_PATIENCE / 4
    }

    /// When a user who is refused should come again, in seconds: the later the further behind,
    /// and spread, so that they don't come back together.
    pub fn retry_after(&self, who: u64) -> u32 {
        let base = (2 * self.lag() / SECOND) as u32 + 1;
        (base + (who % u64::from(base)) as u32).min(RETRY_MAX)
    }
}

/// What a node's time goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// Taking bytes from sockets, and waiting for them.
    Sockets,
    /// Users' requests, answers of other systems, and what other controllers ask.
    Requests,
    Reports,
    /// What the node does by itself: placing, saving, upkeep.
    Own,
    /// Writing to sockets.
    Sending,
}

const WORKS: [Work; 5] = [
    Work::Sockets,
    Work::Requests,
    Work::Reports,
    Work::Own,
    Work::Sending,
];

/// Between two lines in the log.
const TOLD_EVERY: Micros = 10 * SECOND;

/// How often each kind of work was done lately, and the time it took.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spent {
    counts: [u64; WORKS.len()],
    times: [Micros; WORKS.len()],
    /// Turns of the loop, and those in which nothing came in.
    turns: u64,
    idle_turns: u64,
    told_at: Micros,
}

impl Spent {
    pub fn add(&mut self, work: Work, took: Micros) {
        self.counts[work as usize] += 1;
        self.times[work as usize] += took;
    }

    /// The loop has waited for something to come in.
    pub fn turn(&mut self, idle: bool) {
        self.turns += 1;
        self.idle_turns += u64::from(idle);
    }

    /// A line on the last seconds, now and then.
    pub fn tell(&mut self, now: Micros) -> Option<String> {
        if now < self.told_at + TOLD_EVERY {
            return None;
        }
        let line = WORKS.iter().map(|w| {
            let at = *w as usize;
            format!("{w:?} {} in {} ms", self.counts[at], self.times[at] / MILLI)
        });
        let line = line.collect::<Vec<_>>().join(", ").to_lowercase();
        let line = format!(
            "{line}; {} turns, {} without input",
            self.turns, self.idle_turns
        );
        *self = Self {
            told_at: now,
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
        let mut load = Load::default();
        load.note(SECOND, 20 * MILLI);
        assert!(load.may_start() && load.shed() == Shed::Nothing);
        load.note(SECOND, 800 * MILLI);
        assert!(load.may_start() && load.shed() == Shed::Polls);
        load.note(2 * SECOND, 3 * SECOND);
        assert!(!load.may_start() && load.shed() == Shed::Users);
        let spread: std::collections::BTreeSet<u32> =
            (0..50).map(|n| load.retry_after(n)).collect();
        assert!(spread.len() > 3 && spread.iter().all(|s| (1..=20).contains(s)));
        load.note(5 * SECOND, 0);
        assert!(load.may_start() && load.shed() == Shed::Nothing);
    }
}
