//! Limits how old a leader's knowledge of cancellations may be.
//!
//! A renewed leader lease shows that no other controller is the leader. It does not show that the leader knows which
//! jobs users have cancelled through other controllers: a leader whose requests the state service refuses, or whose
//! watch hangs, sees no changes, even if its lease outlives an outage. Therefore the leader answers a worker with 200,
//! and starts a task, only within a limited time after it *sent* a read whose reply proved that it knows all changes
//! of the live jobs up to then. This time is chosen such that, for every later cancellation, the last worker lease
//! renewed by such an answer expires before `cancel_s` has passed.
//!
//! [`CancellationFreshness`] tracks the time of the last proof and the reads that renew it. It is pure: the caller
//! passes the time; it tells whether the leader may act and whether a read is due, and performs no I/O.

use crate::clock::{MILLISECOND, Micros, SECOND, drift_upper_bound};
use crate::fault_injection::{InjectedFault, fault_injected};
use std::fmt;

/// Margin beyond the worker's lease between the last answer with 200 and the end of the tasks that it keeps alive. It
/// covers a start that is sent just before and delayed by the network until the machine's fence counter is raised, and
/// the delivery of a stop command.
const SAFETY_MARGIN: Micros = 3 * SECOND;
/// Minimum time for which a proof is valid. If `cancel_s` leaves less, the leader reads continuously.
const VALIDITY_MIN: Micros = SECOND;
/// A proof is renewed after one in this many parts of its validity.
const REFRESH_FRACTION: Micros = 3;
/// Maximum time between two reads when a proof must be renewed.
const REFRESH_RETRY_INTERVAL: Micros = 500 * MILLISECOND;
/// A leader without a new proof resigns no earlier than after this time: if proofs are valid for only a second, a
/// single slow answer would otherwise cause a failover.
const STUCK_TIMEOUT_MIN: Micros = 5 * SECOND;
/// Minimum time between two log lines about stale knowledge.
const LOG_INTERVAL: Micros = 5 * SECOND;
/// The end of a stale period shorter than this is not logged.
const LOGGED_STALE_PERIOD_MIN: Micros = SECOND;

/// For how long a proof is valid, given the duration of a worker's lease and `cancel_s`, the time within which a
/// cancelled task must have ended. All in microseconds.
pub fn validity_from_settings(lease: Micros, cancel: Micros) -> Micros {
    cancellation_slack(lease, cancel)
        .unwrap_or(0)
        .max(VALIDITY_MIN)
}

/// The part of `cancel_s` that remains after a worker's lease and the safety margin, in microseconds. `None` if
/// `cancel_s` is shorter than these, so that cancellation in time cannot be guaranteed.
pub fn cancellation_slack(lease: Micros, cancel: Micros) -> Option<Micros> {
    cancel.checked_sub(drift_upper_bound(lease) + SAFETY_MARGIN)
}

/// The number of whole seconds by which `cancel_s` must exceed a worker's lease of `lease` microseconds.
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
    /// There is a valid proof again after a stale period.
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
    /// The latest send time of a read whose reply proved that all changes up to then are known.
    proven_at: Micros,
    /// When the last read to renew the proof was requested.
    refresh_requested_at: Micros,
    /// That read has no reply yet.
    refresh_in_flight: bool,
    /// Number of periods in which the proof was too old although leadership was valid.
    pub stale_periods: u64,
    stale_since: Option<Micros>,
    last_logged_at: Micros,
}

impl CancellationFreshness {
    /// Creates the state after a first proof, by a read sent at `proven_at`; each proof is valid for `valid_for`.
    pub fn new(valid_for: Micros, proven_at: Micros) -> Self {
        Self {
            valid_for,
            proven_at,
            refresh_requested_at: 0,
            refresh_in_flight: false,
            stale_periods: 0,
            stale_since: None,
            last_logged_at: 0,
        }
    }

    /// Records a proof: all changes up to `sent_at`, the send time of a read, are known.
    pub fn note_proof(&mut self, sent_at: Micros) {
        self.proven_at = self.proven_at.max(sent_at);
    }

    /// Records that the read requested by [`Self::should_refresh`] was answered or failed.
    pub fn refresh_answered(&mut self) {
        self.refresh_in_flight = false;
    }

    /// Whether the leader may renew workers' leases and start tasks now. `valid_since` is the time since which
    /// leadership has been valid without interruption. Before that, another leader may have made decisions that this
    /// controller does not know, so an earlier proof does not count.
    pub fn is_fresh(&self, now: Micros, valid_since: Micros) -> bool {
        let caught_up = self.proven_at >= valid_since;
        let unexpired = now < self.proven_at + self.valid_for
            || fault_injected(InjectedFault::CancellationsNeverStale);
        (caught_up && unexpired)
            || (!caught_up && fault_injected(InjectedFault::CatchUpSkippedAfterRegain))
    }

    /// Whether there has been no proof for so long that this leader should resign. Unless the validity is short, this
    /// is the case well before answers to workers must stop; it counts only the time since leadership became valid.
    pub fn is_refresh_stuck(&self, now: Micros, valid_since: Micros) -> bool {
        let since = self.proven_at.max(valid_since);
        let regained_unseen = self.proven_at < valid_since
            && fault_injected(InjectedFault::CatchUpSkippedAfterRegain);
        let timeout = (self.valid_for * 2 / REFRESH_FRACTION).max(STUCK_TIMEOUT_MIN);
        now >= since + timeout
            && !regained_unseen
            && !fault_injected(InjectedFault::CancellationsNeverStale)
    }

    /// Whether the leader should read the changes now instead of waiting for the watch. After `true` the read counts as
    /// in flight until [`Self::refresh_answered`].
    pub fn should_refresh(&mut self, now: Micros, valid_since: Micros) -> bool {
        let refresh_after = self.valid_for / REFRESH_FRACTION;
        let retry_interval = REFRESH_RETRY_INTERVAL.min(refresh_after);
        let due = self.proven_at < valid_since || now >= self.proven_at + refresh_after;
        let refresh =
            due && !self.refresh_in_flight && now >= self.refresh_requested_at + retry_interval;
        if refresh {
            (self.refresh_in_flight, self.refresh_requested_at) = (true, now);
        }
        refresh
    }

    /// Age of the last proof, in microseconds.
    pub fn age(&self, now: Micros) -> Micros {
        now.saturating_sub(self.proven_at)
    }

    /// Records whether the knowledge is fresh; called while leadership is valid. Returns the event to log, if any.
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
