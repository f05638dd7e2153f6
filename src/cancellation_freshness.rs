//! How old what a leader knows of cancellations may be, and how old it is. Pure: times go in, and whether
//! the leader may renew leases and start tasks comes out.
//!
//! A renewed grant says that nobody else leads. It does not say that the leader has been told what users
//! cancelled through other controllers: one that the state service refuses, or whose watch hangs, sees
//! nothing change, also when its grant outlives an outage. So a 200 to a worker and a start rest on an
//! exchange that proves that all changes of the live jobs up to its *sending* are known, and only for so
//! long that the lease renewed last is over before `cancel_s` is, for whatever was cancelled since.

use crate::clock::{MILLISECOND, Micros, SECOND, drift_upper_bound};
use crate::fault_injection::{InjectedFault, fault_injected};

/// From the last 200 that may be given to the end of what it keeps alive, beyond the lease: a start sent
/// directly before it and held by the network, until its fence is raised, and a halt on its way.
const SAFETY_MARGIN: Micros = 3 * SECOND;
/// Where `cancel_s` leaves no time at all, knowledge is asked for all the time, and is good for this long.
const VALIDITY_MIN: Micros = SECOND;
/// Knowledge is refreshed when this part of its time is over, and asked for again after so long.
const REFRESH_FRACTION: Micros = 3;
const REFRESH_RETRY_INTERVAL: Micros = 500 * MILLISECOND;
/// A leader that is told nothing for that long at least lets another lead: where knowledge is good for a
/// second only, each slow answer would else cost the lead.
const STUCK_TIMEOUT_MIN: Micros = 5 * SECOND;
/// One line a while on answers that were refused.
const LOG_INTERVAL: Micros = 5 * SECOND;

/// For how long knowledge of cancellations is good, by the settings.
pub fn validity_from_settings(lease: Micros, cancel: Micros) -> Micros {
    cancellation_slack(lease, cancel)
        .unwrap_or(0)
        .max(VALIDITY_MIN)
}

/// What `cancel_s` leaves beyond a lease and the margin; None where it leaves nothing, so that a
/// cancellation can't surely be kept to.
pub fn cancellation_slack(lease: Micros, cancel: Micros) -> Option<Micros> {
    cancel.checked_sub(drift_upper_bound(lease) + SAFETY_MARGIN)
}

/// By how many whole seconds `cancel_s` has to exceed the lease.
pub fn cancellation_slack_min_s(lease: Micros) -> u64 {
    (drift_upper_bound(lease) - lease + SAFETY_MARGIN + VALIDITY_MIN).div_ceil(SECOND)
}

#[derive(Debug)]
pub struct CancellationFreshness {
    valid_for: Micros,
    /// When the last question was sent whose answer told all changes up to then.
    proven_at: Micros,
    /// When it was last asked for ahead of the watch, and whether that has no answer yet.
    refresh_asked_at: Micros,
    refresh_in_flight: bool,
    /// How often it was too old while the grant was valid, since when it is, and the last line on it.
    pub stale_periods: u64,
    stale_since: Option<Micros>,
    last_logged_at: Micros,
}

impl CancellationFreshness {
    /// By a question sent at that time.
    pub fn new(good_for: Micros, at: Micros) -> Self {
        Self {
            valid_for: good_for,
            proven_at: at,
            refresh_asked_at: 0,
            refresh_in_flight: false,
            stale_periods: 0,
            stale_since: None,
            last_logged_at: 0,
        }
    }

    /// All changes up to the sending of a question are known.
    pub fn note_proof(&mut self, sent: Micros) {
        self.proven_at = self.proven_at.max(sent);
    }

    /// The question that `ask` wanted has its answer, or has none.
    pub fn refresh_answered(&mut self) {
        self.refresh_in_flight = false;
    }

    /// Whether a lease may be renewed and a task started now, by a lead that has held without a break
    /// since then: before that, others may have decided what this node was not told.
    pub fn is_fresh(&self, now: Micros, unbroken_since: Micros) -> bool {
        let caught_up = self.proven_at >= unbroken_since;
        let young = now < self.proven_at + self.valid_for
            || fault_injected(InjectedFault::KnowledgeNeverAges);
        (caught_up && young) || (!caught_up && fault_injected(InjectedFault::RegainedUnseen))
    }

    /// Whether nothing could be learned for so long that another should lead: before the answers to workers
    /// have to end, and only while the lead itself has held all the time.
    pub fn is_refresh_stuck(&self, now: Micros, unbroken_since: Micros) -> bool {
        let since = self.proven_at.max(unbroken_since);
        let unseen =
            self.proven_at < unbroken_since && fault_injected(InjectedFault::RegainedUnseen);
        let patience = (self.valid_for * 2 / REFRESH_FRACTION).max(STUCK_TIMEOUT_MIN);
        now >= since + patience && !unseen && !fault_injected(InjectedFault::KnowledgeNeverAges)
    }

    /// Whether to ask now for what has changed, without waiting for a change.
    pub fn should_refresh(&mut self, now: Micros, unbroken_since: Micros) -> bool {
        let wants = self.proven_at < unbroken_since
            || now >= self.proven_at + self.valid_for / REFRESH_FRACTION;
        let wants = wants
            && !self.refresh_in_flight
            && now
                >= self.refresh_asked_at
                    + REFRESH_RETRY_INTERVAL.min(self.valid_for / REFRESH_FRACTION);
        if wants {
            (self.refresh_in_flight, self.refresh_asked_at) = (true, now);
        }
        wants
    }

    /// How old the knowledge is.
    pub fn age(&self, now: Micros) -> Micros {
        now.saturating_sub(self.proven_at)
    }

    /// Notes whether it held while the grant was valid; a text for the log where there is something new.
    pub fn note_state(&mut self, now: Micros, holds: bool) -> Option<String> {
        if holds {
            let since = self.stale_since.take()?;
            return (now >= since + SECOND).then(|| {
                let ms = (now - since) / MILLISECOND;
                format!("cancellations are known again after {ms} ms without answers to workers")
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
        let ms = self.age(now) / MILLISECOND;
        Some(format!(
            "what this leader knows of cancellations is {ms} ms old: no answers to workers and no starts"
        ))
    }
}
