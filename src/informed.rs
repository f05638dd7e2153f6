//! How old what a leader knows of cancellations may be, and how old it is. Pure: times go in, and whether
//! the leader may renew leases and start tasks comes out.
//!
//! A renewed grant says that nobody else leads. It does not say that the leader has been told what users
//! cancelled through other controllers: one that the state service refuses, or whose watch hangs, sees
//! nothing change, also when its grant outlives an outage. So a 200 to a worker and a start rest on an
//! exchange that proves that all changes of the live jobs up to its *sending* are known, and only for so
//! long that the lease renewed last is over before `cancel_s` is, for whatever was cancelled since.

use crate::clock::{MILLI, Micros, SECOND, surely_over};
use crate::planted::{Bug, planted};

/// From the last 200 that may be given to the end of what it keeps alive, beyond the lease: a start sent
/// directly before it and held by the network, until its fence is raised, and a halt on its way.
const MARGIN: Micros = 3 * SECOND;
/// Where `cancel_s` leaves no time at all, knowledge is asked for all the time, and is good for this long.
const LEAST: Micros = SECOND;
/// Knowledge is refreshed when this part of its time is over, and asked for again after so long.
const PART: Micros = 3;
const AGAIN: Micros = 500 * MILLI;
/// A leader that is told nothing for that long at least lets another lead: where knowledge is good for a
/// second only, each slow answer would else cost the lead.
const VAIN_LEAST: Micros = 5 * SECOND;
/// One line a while on answers that were refused.
const TELL_EVERY: Micros = 5 * SECOND;

/// For how long knowledge of cancellations is good, by the settings.
pub fn good_for(lease: Micros, cancel: Micros) -> Micros {
    spare(lease, cancel).unwrap_or(0).max(LEAST)
}

/// What `cancel_s` leaves beyond a lease and the margin; None where it leaves nothing, so that a
/// cancellation can't surely be kept to.
pub fn spare(lease: Micros, cancel: Micros) -> Option<Micros> {
    cancel.checked_sub(surely_over(lease) + MARGIN)
}

/// By how many whole seconds `cancel_s` has to exceed the lease.
pub fn least_spare_s(lease: Micros) -> u64 {
    (surely_over(lease) - lease + MARGIN + LEAST).div_ceil(SECOND)
}

#[derive(Debug)]
pub struct Informed {
    good_for: Micros,
    /// When the last question was sent whose answer told all changes up to then.
    at: Micros,
    /// When it was last asked for ahead of the watch, and whether that has no answer yet.
    asked_at: Micros,
    asking: bool,
    /// How often it was too old while the grant was valid, since when it is, and the last line on it.
    pub refusals: u64,
    since: Option<Micros>,
    told_at: Micros,
}

impl Informed {
    /// By a question sent at that time.
    pub fn new(good_for: Micros, at: Micros) -> Self {
        Self {
            good_for,
            at,
            asked_at: 0,
            asking: false,
            refusals: 0,
            since: None,
            told_at: 0,
        }
    }

    /// All changes up to the sending of a question are known.
    pub fn proved(&mut self, sent: Micros) {
        self.at = self.at.max(sent);
    }

    /// The question that `ask` wanted has its answer, or has none.
    pub fn answered(&mut self) {
        self.asking = false;
    }

    /// Whether a lease may be renewed and a task started now, by a lead that has held without a break
    /// since then: before that, others may have decided what this node was not told.
    pub fn holds(&self, now: Micros, unbroken_since: Micros) -> bool {
        let caught_up = self.at >= unbroken_since;
        let young = now < self.at + self.good_for || planted(Bug::KnowledgeNeverAges);
        (caught_up && young) || (!caught_up && planted(Bug::RegainedUnseen))
    }

    /// Whether nothing could be learned for so long that another should lead: before the answers to workers
    /// have to end, and only while the lead itself has held all the time.
    pub fn in_vain(&self, now: Micros, unbroken_since: Micros) -> bool {
        let since = self.at.max(unbroken_since);
        let unseen = self.at < unbroken_since && planted(Bug::RegainedUnseen);
        let patience = (self.good_for * 2 / PART).max(VAIN_LEAST);
        now >= since + patience && !unseen && !planted(Bug::KnowledgeNeverAges)
    }

    /// Whether to ask now for what has changed, without waiting for a change.
    pub fn ask(&mut self, now: Micros, unbroken_since: Micros) -> bool {
        let wants = self.at < unbroken_since || now >= self.at + self.good_for / PART;
        let wants = wants && !self.asking && now >= self.asked_at + AGAIN.min(self.good_for / PART);
        if wants {
            (self.asking, self.asked_at) = (true, now);
        }
        wants
    }

    /// How old the knowledge is.
    pub fn age(&self, now: Micros) -> Micros {
        now.saturating_sub(self.at)
    }

    /// Notes whether it held while the grant was valid; a text for the log where there is something new.
    pub fn note(&mut self, now: Micros, holds: bool) -> Option<String> {
        if holds {
            let since = self.since.take()?;
            return (now >= since + SECOND).then(|| {
                let ms = (now - since) / MILLI;
                format!("cancellations are known again after {ms} ms without answers to workers")
            });
        }
        if self.since.is_none() {
            self.refusals += 1;
            self.since = Some(now);
        }
        if now < self.told_at + TELL_EVERY {
            return None;
        }
        self.told_at = now;
        let ms = self.age(now) / MILLI;
        Some(format!(
            "what this leader knows of cancellations is {ms} ms old: no answers to workers and no starts"
        ))
    }
}
