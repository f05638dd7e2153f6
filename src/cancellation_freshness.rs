//! How fresh a leader's knowledge of cancellations must be, and how fresh it is.
//!
//! A renewed lease shows that no other controller is the leader. It does not show that the leader knows what
//! users have cancelled through other controllers: a leader that the state service refuses, or whose watch
//! hangs, sees no changes, also when its lease outlives an outage. Therefore the leader answers a worker with
//! 200, and starts a task, only within a limited time after it *sent* a read whose reply proved that it knows
//! all changes of the live jobs up to then. The time is such that, for every cancellation since, the last lease
//! renewed by such an answer expires before `cancel_s` has passed.
//!
//! [`CancellationFreshness`] owns the time of that proof and of the reads for it. It is pure: it gets the time
//! and tells whether the leader may act and whether it should read; it never reads or answers itself.

use crate::clock::{MILLISECOND, Micros, SECOND, drift_upper_bound};
use crate::fault_injection::{InjectedFault, fault_injected};
use std::fmt;

/// What is allowed for beyond the worker's lease, from the last 200 to the end of what it keeps alive: a start
/// that is sent just before and delayed by the network until the machine's fence counter is raised, and a stop
/// command on its way.
const SAFETY_MARGIN: Micros = 3 * SECOND;
/// Least time for which a proof is valid. Where `cancel_s` leaves less, the leader reads all the time.
const VALIDITY_MIN: Micros = SECOND;
/// A proof is renewed when this fraction of its validity is over.
const REFRESH_FRACTION: Micros = 3;
/// Longest time between two reads for a proof.
const REFRESH_RETRY_INTERVAL: Micros = 500 * MILLISECOND;
/// A leader without proof resigns only after at least this time: where a proof is valid for a second, each slow
/// answer would otherwise cost leadership.
const STUCK_TIMEOUT_MIN: Micros = 5 * SECOND;
/// Least time between two log lines on stale knowledge.
const LOG_INTERVAL: Micros = 5 * SECOND;
/// The end of a stale period shorter than this is not logged.
const LOGGED_STALE_PERIOD_MIN: Micros = SECOND;

/// For how long a proof is valid, by the settings: the time to live of a worker's lease, and `cancel_s`, the
/// time within which a cancelled task must be over. All in microseconds.
pub fn validity_from_settings(lease: Micros, cancel: Micros) -> Micros {
    cancellation_slack(lease, cancel)
        .unwrap_or(0)
        .max(VALIDITY_MIN)
}

/// What `cancel_s` leaves beyond a worker's lease and the safety margin, in microseconds. None where it leaves
/// nothing, so that a cancellation can't be guaranteed in time.
pub fn cancellation_slack(lease: Micros, cancel: Micros) -> Option<Micros> {
    cancel.checked_sub(drift_upper_bound(lease) + SAFETY_MARGIN)
}

/// By how many whole seconds `cancel_s` has to exceed a worker's lease of `lease` microseconds.
pub fn cancellation_slack_min_s(lease: Micros) -> u64 {
    (drift_upper_bound(lease) - lease + SAFETY_MARGIN + VALIDITY_MIN).div_ceil(SECOND)
}

/// A change of freshness that operators should see; its `Display` is the log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FreshnessEvent {
    /// The last proof is too old: the leader neither answers workers with 200 nor starts tasks.
    Stale {
        /// Age of the last proof, in milliseconds.
        age_ms: u64,
    },
    /// There is a valid proof again.
    FreshAgain {
        /// Length of the stale period, in milliseconds.
        stale_ms: u64,
    },
}

impl fmt::Display for FreshnessEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FreshnessEvent::Stale { age_ms } => write!(
                f,
                "cancellations stale, no heartbeat answers and no starts age_ms={age_ms}"
            ),
            FreshnessEvent::FreshAgain { stale_ms } => {
                write!(f, "cancellations fresh again stale_ms={stale_ms}")
            }
        }
    }
}

/// How fresh a leader's knowledge of cancellations is.
#[derive(Debug)]
pub struct CancellationFreshness {
    /// How long a proof is valid.
    valid_for: Micros,
    /// The latest send time of a read whose reply showed all changes up to then.
    proven_at: Micros,
    /// When the leader last read ahead of the watch.
    refresh_asked_at: Micros,
    /// That read has no reply yet.
    refresh_in_flight: bool,
    /// Number of periods in which the proof was too old while leadership was valid.
    pub stale_periods: u64,
    stale_since: Option<Micros>,
    last_logged_at: Micros,
}

impl CancellationFreshness {
    /// Freshness with a proof by a read that was sent at `proven_at`; a proof is valid for `valid_for`.
    pub fn new(valid_for: Micros, proven_at: Micros) -> Self {
        Self {
            valid_for,
            proven_at,
            refresh_asked_at: 0,
            refresh_in_flight: false,
            stale_periods: 0,
            stale_since: None,
            last_logged_at: 0,
        }
    }

    /// Records that all changes up to the send time of a read are known.
    pub fn note_proof(&mut self, sent_at: Micros) {
        self.proven_at = self.proven_at.max(sent_at);
    }

    /// Records that the read requested by [`Self::should_refresh`] has a reply, or failed.
    pub fn refresh_answered(&mut self) {
        self.refresh_in_flight = false;
    }

    /// Whether the leader may renew workers' leases and start tasks now. `valid_since` is the time since when
    /// leadership has been valid without a break: before it, others may have decided what this controller has
    /// not learned, so an earlier proof does not count.
    pub fn is_fresh(&self, now: Micros, valid_since: Micros) -> bool {
        let caught_up = self.proven_at >= valid_since;
        let young = now < self.proven_at + self.valid_for
            || fault_injected(InjectedFault::CancellationsNeverStale);
        (caught_up && young)
            || (!caught_up && fault_injected(InjectedFault::CatchUpSkippedAfterRegain))
    }

    /// Whether there has been no proof for so long that another controller should become the leader: well before
    /// the answers to workers have to end, and only while leadership has been valid all the time.
    pub fn is_refresh_stuck(&self, now: Micros, valid_since: Micros) -> bool {
        let since = self.proven_at.max(valid_since);
        let regained_unseen = self.proven_at < valid_since
            && fault_injected(InjectedFault::CatchUpSkippedAfterRegain);
        let timeout = (self.valid_for * 2 / REFRESH_FRACTION).max(STUCK_TIMEOUT_MIN);
        now >= since + timeout
            && !regained_unseen
            && !fault_injected(InjectedFault::CancellationsNeverStale)
    }

    /// Whether to read the changes now, without waiting for one. After `true` the read counts as sent, until
    /// [`Self::refresh_answered`].
    pub fn should_refresh(&mut self, now: Micros, valid_since: Micros) -> bool {
        let refresh_after = self.valid_for / REFRESH_FRACTION;
        let retry_interval = REFRESH_RETRY_INTERVAL.min(refresh_after);
        let due = self.proven_at < valid_since || now >= self.proven_at + refresh_after;
        let refresh =
            due && !self.refresh_in_flight && now >= self.refresh_asked_at + retry_interval;
        if refresh {
            (self.refresh_in_flight, self.refresh_asked_at) = (true, now);
        }
        refresh
    }

    /// Age of the last proof, in microseconds.
    pub fn age(&self, now: Micros) -> Micros {
        now.saturating_sub(self.proven_at)
    }

    /// Records whether the knowledge is fresh, while leadership is valid. Returns what should be logged.
    pub fn note_state(&mut self, now: Micros, fresh: bool) -> Option<FreshnessEvent> {
        if fresh {
            let stale_since = self.stale_since.take()?;
            let logged = now >= stale_since + LOGGED_STALE_PERIOD_MIN;
            return logged.then(|| FreshnessEvent::FreshAgain {
                stale_ms: (now - stale_since) / MILLISECOND,
            });
        }
        if self.stale_since.is_none() {
            self.stale_periods += 1;
            self.stale_since = Some(now);
        }
        if now < self.last_logged_at + LOG_INTERVAL {
            return None;
        }
        self.last_logged_at = now;
        Some(FreshnessEvent::Stale {
            age_ms: self.age(now) / MILLISECOND,
        })
    }
}
