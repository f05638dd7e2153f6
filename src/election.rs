//! Leader election at the key-value store: a lease, the `leader` key attached to it, and a term that only
//! grows.
//!
//! [`Election`] owns what this controller knows of the leader key and, while it is the leader, the lease
//! that it renews. It does no I/O: [`Election::tick`] and [`Election::handle_reply`] return requests for
//! the state service, and [`Election::handle_reply`] reports when leadership is acquired or lost. It never
//! decides what a leader does.
//!
//! Invariants:
//!
//! - Leadership counts only until the send time of the last successful renewal plus the lease's time to
//!   live, less a margin for clock drift ([`drift_lower_bound`]). After that the controller must neither
//!   send commands nor answer a worker with 200 until a renewal shows that the lease did not expire.
//! - A term is stored in the same transaction that creates the leader key, and is larger than every term
//!   stored before it.
//! - Every write of a leader is conditional on the revision of its leader key
//!   ([`Election::leader_key_revision`]), so that a former leader's writes fail.

use crate::clock::{MILLISECOND, Micros, SECOND, drift_lower_bound};
use crate::fault_injection::{InjectedFault, fault_injected};
use crate::state_client::{Item, Op, Reply, Transaction, WatchEvent};
use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

/// The key that names the leader; it is attached to the leader's lease and expires with it.
pub const LEADER_KEY: &str = "leader";
/// The key of the highest term so far; it is attached to no lease.
pub const TERM_KEY: &str = "term";

/// The time to live of a lease allows for this many times the usual answer time of the state service.
const TTL_PER_ANSWER_TIME: f64 = 6.0;
/// The time to live of a lease allows for this many times the usual pause of this process.
const TTL_PER_PAUSE: f64 = 2.0;
/// A process with long pauses needs a lease longer than the settings' longest, up to this many times that: the
/// next failover would find it with even more to do, and costs all workers new connections.
const PAUSED_TTL_FACTOR_MAX: Micros = 2;
/// The recorded pause falls by half in this time unless a longer one is seen.
const PAUSE_HALF_LIFE: Micros = 10 * SECOND;
/// Weight of an answer slower than the average, so that the average rises soon.
const SLOWER_ANSWER_WEIGHT: f64 = 0.2;
/// Weight of an answer faster than the average, so that the average falls slowly.
const FASTER_ANSWER_WEIGHT: f64 = 0.05;
/// Time between two attempts to replace the lease by one with another time to live.
const RESIZE_RETRY_INTERVAL: Micros = 5 * SECOND;
/// A lease is shortened only this long after a longer one would have been requested.
const SHRINK_DELAY: Micros = 15 * SECOND;
/// The leader key is read again this long after a read failed.
const READ_RETRY_DELAY: Micros = 300 * MILLISECOND;
/// The leader key is watched again this long after a watch failed.
const WATCH_RETRY_DELAY: Micros = 200 * MILLISECOND;
/// The state service ends a watch without changes after this time.
const WATCH_BLOCK: Micros = 20 * SECOND;
/// The next attempt to become leader starts this long after one failed.
const ATTEMPT_RETRY_DELAY: Micros = 150 * MILLISECOND;
/// A lease is renewed again this long after a renewal failed.
const RENEWAL_RETRY_DELAY: Micros = 150 * MILLISECOND;
/// The leader key of an earlier incarnation is handled again this long after its lease could not be revoked.
const REVOKE_RETRY_DELAY: Micros = 200 * MILLISECOND;
/// Keys read at most when one key is listed by its prefix.
const LIST_LIMIT: usize = 10;

/// A request for the state service, and the step of the election that its reply belongs to.
pub type ElectionRequest = (ElectionStep, Op);

/// The value of [`LEADER_KEY`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Name of the leader's node.
    pub node: String,
    /// The leader's process incarnation: tells one start of a controller process from the next.
    #[serde(rename = "run")]
    pub incarnation: u64,
    /// The term that the node leads under.
    pub term: u64,
    /// The lease that the key is attached to.
    #[serde(rename = "permit")]
    pub lease_id: u64,
}

/// The value of [`TERM_KEY`].
#[derive(Serialize, Deserialize)]
struct StoredTerm {
    term: u64,
}

/// What a request for the state service is for; it comes back with the reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ElectionStep {
    /// Reads the leader key.
    ReadLeaderKey,
    /// Waits for changes of the leader key.
    WatchLeaderKey,
    /// Requests the lease of an attempt to become leader.
    GrantLease,
    /// Reads the last term, during an attempt.
    ReadTerm,
    /// Creates the leader key and stores the new term, in one transaction.
    AcquireLeadership {
        /// The new term.
        term: u64,
        /// The lease that the leader key is attached to.
        lease_id: u64,
        /// When the lease was requested: its time to live counts from then.
        lease_requested_at: Micros,
    },
    /// Renews a lease of the leader.
    RenewLease {
        /// The lease that is renewed.
        lease_id: u64,
    },
    /// Revokes a lease that the leader key is, or may be, attached to.
    RevokeLease,
    /// Requests a lease with another time to live for the leader.
    GrantReplacementLease {
        /// Time to live of the requested lease, in microseconds.
        ttl: Micros,
    },
    /// Attaches the leader key to the replacement lease.
    AttachReplacementLease {
        /// The replacement lease.
        lease_id: u64,
    },
    /// Revokes a lease that the leader key is not attached to.
    RevokeSpareLease,
}

/// A change of this controller's own leadership.
#[derive(Clone, Debug, PartialEq)]
pub enum LeadershipChange {
    /// This controller is the leader from now on.
    Acquired {
        /// The term it leads under.
        term: u64,
        /// The revision of its leader key, which its writes are conditional on.
        mod_revision: u64,
    },
    /// This controller's term is over for good.
    Lost,
}

/// Leadership of this controller, valid or not.
struct HeldLeadership {
    term: u64,
    /// Revision of the leader key.
    mod_revision: u64,
    lease_id: u64,
    /// The end of the lease, by this process's clock and on the safe side.
    valid_until: Micros,
    /// Since when leadership has been valid without a break: the send time of the request that made it so.
    valid_since: Micros,
    /// A lease with another time to live, which the key may be attached to already.
    replacement: Option<ReplacementLease>,
}

/// A lease that is to replace the leader's lease. Until the reply to the transaction that attaches the leader
/// key to it, both leases are renewed and leadership is valid only as long as both are: the key exists
/// as long as the lease it is attached to, and it is unknown which of the two that is.
struct ReplacementLease {
    lease_id: u64,
    ttl: Micros,
    valid_until: Micros,
}

impl HeldLeadership {
    /// The end of the lease, or of the replacement if that is earlier.
    fn valid_until(&self) -> Micros {
        match &self.replacement {
            Some(replacement) => replacement.valid_until.min(self.valid_until),
            None => self.valid_until,
        }
    }
}

/// This controller's part in the leader election.
pub struct Election {
    node_name: String,
    incarnation: u64,
    /// Time to live of the lease held or requested.
    ttl: Micros,
    /// Least and greatest time to live; in between it follows the answer times and pauses.
    ttl_bounds: (Micros, Micros),
    /// Weighted average of the state service's answer times, in microseconds.
    answer_time: f64,
    /// The longest recent time for which this process handled nothing, in microseconds, aged.
    pause_time: f64,
    pause_noted_at: Micros,
    current_leader: Option<LeaderRecord>,
    /// The term that an earlier incarnation of this process led under.
    former_term: Option<u64>,
    leadership: Option<HeldLeadership>,
    /// The lease of the current attempt.
    attempt_lease: Option<AttemptLease>,
    attempt_in_flight: bool,
    /// When the renewal that has no reply yet was sent.
    renewal_sent_at: Option<Micros>,
    next_renewal_at: Micros,
    /// Store revision up to which changes of the leader key are known.
    revision: u64,
    leader_key_read: bool,
    read_in_flight: bool,
    watch_in_flight: bool,
    retry_at: Micros,
    /// No attempt to become leader before this time.
    backoff_until: Micros,
    /// No request for a longer lease before this time.
    next_resize_at: Micros,
    /// Since when no node has been the leader, after another node was.
    vacant_since: Micros,
    /// How long other nodes get to become leader first.
    candidacy_delay: Micros,
}

/// The lease of an attempt to become leader.
#[derive(Clone, Copy)]
struct AttemptLease {
    lease_id: u64,
    requested_at: Micros,
}

impl Election {
    /// A controller that knows nothing of the leader yet. `incarnation` is the number of this start of the
    /// process; `ttl_bounds` are the least and the greatest time to live of a lease, in microseconds.
    pub fn new(node_name: &str, incarnation: u64, ttl_bounds: (Micros, Micros)) -> Self {
        Self {
            node_name: node_name.to_owned(),
            incarnation,
            ttl: ttl_bounds.1,
            ttl_bounds,
            answer_time: 0.0,
            pause_time: 0.0,
            pause_noted_at: 0,
            current_leader: None,
            former_term: None,
            leadership: None,
            attempt_lease: None,
            attempt_in_flight: false,
            renewal_sent_at: None,
            next_renewal_at: 0,
            revision: 0,
            leader_key_read: false,
            read_in_flight: false,
            watch_in_flight: false,
            retry_at: 0,
            backoff_until: 0,
            next_resize_at: 0,
            vacant_since: 0,
            candidacy_delay: 0,
        }
    }

    /// Resigns: revokes the lease, and makes no attempt to become leader again for `backoff`. Does nothing
    /// where this controller is not the leader.
    pub fn resign(&mut self, now: Micros, backoff: Micros) -> Vec<ElectionRequest> {
        let Some(held) = self.leadership.take() else {
            return Vec::new();
        };
        self.attempt_in_flight = true;
        self.leader_key_read = false;
        self.backoff_until = now + backoff;
        vec![revoke_lease(held.lease_id)]
    }

    /// Records how long the state service took for an answer. The average rises soon and falls slowly.
    pub fn note_answer_time(&mut self, answer_time: Micros) {
        let answer_time = answer_time as f64;
        let weight = if answer_time > self.answer_time {
            SLOWER_ANSWER_WEIGHT
        } else {
            FASTER_ANSWER_WEIGHT
        };
        self.answer_time += weight * (answer_time - self.answer_time);
    }

    /// Records how long an input has waited in this process.
    pub fn note_pause(&mut self, now: Micros, waited: Micros) {
        let since = now.saturating_sub(self.pause_noted_at) as f64;
        self.pause_noted_at = now;
        let aged = self.pause_time * 0.5f64.powf(since / PAUSE_HALF_LIFE as f64);
        self.pause_time = aged.max(waited as f64);
    }

    /// The time to live that the lease should have now: short, so that another controller becomes leader soon
    /// when this process ends, and long enough that neither a late answer nor a usual pause of this process
    /// costs leadership.
    fn target_ttl(&self) -> Micros {
        let (least, most) = self.ttl_bounds;
        let pauses = TTL_PER_PAUSE * self.pause_time;
        let spare = TTL_PER_ANSWER_TIME * self.answer_time + pauses;
        let usual = (least + spare as Micros).min(most);
        usual.max((least + pauses as Micros).min(PAUSED_TTL_FACTOR_MAX * most))
    }

    /// Sets how long other controllers get to become leader first, once there is no leader.
    pub fn set_candidacy_delay(&mut self, delay: Micros) {
        self.candidacy_delay = delay;
    }

    /// Whether an earlier incarnation of this process was the leader, and no other node has been since. Such a
    /// process may end again, so another one should become leader.
    pub fn led_before_restart(&self) -> bool {
        self.former_term.is_some()
    }

    /// When this controller may try to become leader.
    fn candidacy_at(&self) -> Micros {
        let delayed_until = if self.vacant_since > 0 {
            self.vacant_since + self.candidacy_delay
        } else {
            0
        };
        self.backoff_until.max(delayed_until)
    }

    /// Whether this controller is neither the leader nor trying to become it.
    pub fn is_idle(&self) -> bool {
        self.leadership.is_none() && !self.attempt_in_flight
    }

    /// The leader by the last known value of the leader key.
    pub fn leader(&self) -> Option<&LeaderRecord> {
        self.current_leader.as_ref()
    }

    /// The revision of this controller's leader key, which every write of the leader is conditional on. None
    /// where it is not the leader.
    pub fn leader_key_revision(&self) -> Option<u64> {
        self.leadership.as_ref().map(|held| held.mod_revision)
    }

    /// Whether this controller is the leader and no other can be.
    pub fn is_valid(&self, now: Micros) -> bool {
        let held = self.leadership.as_ref();
        held.is_some_and(|held| {
            now < held.valid_until() || fault_injected(InjectedFault::LeaderLeaseExpiryIgnored)
        })
    }

    /// Since when no other controller can have been the leader, without a break in which this one could not
    /// act. Before that time others may have decided what this controller has not learned.
    pub fn valid_since(&self) -> Micros {
        self.leadership
            .as_ref()
            .map_or(Micros::MAX, |held| held.valid_since)
    }

    /// How much longer this controller may act as leader without another renewal, in microseconds.
    pub fn valid_for(&self, now: Micros) -> Micros {
        let held = self.leadership.as_ref();
        held.map_or(0, |held| held.valid_until().saturating_sub(now))
    }

    /// When [`Election::tick`] next has a request; [`Micros::MAX`] while it only waits for replies.
    pub fn wake_at(&self) -> Micros {
        let at = if self.leadership.is_some() {
            self.renewal_due_at()
        } else {
            let wants = self.current_leader.is_none() || self.former_record().is_some();
            if self.leader_key_read && wants && !self.attempt_in_flight {
                self.retry_at.max(self.candidacy_at())
            } else {
                Micros::MAX
            }
        };
        let read = !self.leader_key_read && !self.read_in_flight;
        let watch = self.leader_key_read && !self.watch_in_flight;
        if read || watch {
            at.min(self.retry_at)
        } else {
            at
        }
    }

    /// The leader key, where an earlier incarnation of this process wrote it.
    fn former_record(&self) -> Option<&LeaderRecord> {
        let record = self.current_leader.as_ref()?;
        (record.node == self.node_name && record.incarnation != self.incarnation).then_some(record)
    }

    /// When the lease is to be renewed. A renewal that takes long is not waited for: the next one may be
    /// quicker.
    fn renewal_due_at(&self) -> Micros {
        match self.renewal_sent_at {
            Some(sent_at) => sent_at + self.ttl / 4,
            None => self.next_renewal_at,
        }
    }

    /// The requests for the state service that are due.
    pub fn tick(&mut self, now: Micros) -> Vec<ElectionRequest> {
        let mut requests = Vec::new();
        self.follow_leader_key(now, &mut requests);
        // A leader continues to renew while it reads the key again: a late answer would otherwise cost it
        // leadership.
        if self.leadership.is_some() {
            self.renew_leases(now, &mut requests);
            self.resize_lease(now, &mut requests);
        } else if self.leader_key_read {
            self.start_attempt(now, &mut requests);
        }
        requests
    }

    /// Reads the leader key, and watches it once it is read.
    fn follow_leader_key(&mut self, now: Micros, requests: &mut Vec<ElectionRequest>) {
        if now < self.retry_at {
            return;
        }
        if !self.leader_key_read {
            if !self.read_in_flight {
                self.read_in_flight = true;
                requests.push((ElectionStep::ReadLeaderKey, list_key(LEADER_KEY)));
            }
        } else if !self.watch_in_flight {
            self.watch_in_flight = true;
            let watch = Op::Watch {
                prefix: LEADER_KEY,
                from: self.revision,
                block: WATCH_BLOCK,
            };
            requests.push((ElectionStep::WatchLeaderKey, watch));
        }
    }

    /// Renews the lease, and the replacement where there is one.
    fn renew_leases(&mut self, now: Micros, requests: &mut Vec<ElectionRequest>) {
        let Some(held) = &self.leadership else { return };
        if now < self.renewal_due_at() {
            return;
        }
        self.renewal_sent_at = Some(now);
        let replacement = held.replacement.iter().map(|lease| lease.lease_id);
        for lease_id in [held.lease_id].into_iter().chain(replacement) {
            requests.push((
                ElectionStep::RenewLease { lease_id },
                Op::RenewLease(lease_id),
            ));
        }
    }

    /// Requests a lease with another time to live where the target has moved by a third: a longer one at once,
    /// a shorter one only after the target has been lower for a while.
    fn resize_lease(&mut self, now: Micros, requests: &mut Vec<ElectionRequest>) {
        let Some(held) = &self.leadership else { return };
        let ttl = self.target_ttl();
        let longer = now >= self.next_resize_at && 3 * ttl > 4 * self.ttl;
        let shorter = now >= self.next_resize_at + SHRINK_DELAY && 4 * ttl < 3 * self.ttl;
        if held.replacement.is_none() && (longer || shorter) {
            self.next_resize_at = now + RESIZE_RETRY_INTERVAL;
            requests.push((
                ElectionStep::GrantReplacementLease { ttl },
                Op::GrantLease { ttl },
            ));
        }
    }

    /// Starts an attempt to become leader, where there is no leader and it is this controller's turn.
    fn start_attempt(&mut self, now: Micros, requests: &mut Vec<ElectionRequest>) {
        if self.attempt_in_flight || now < self.retry_at {
            return;
        }
        // The process that wrote this key has ended, since this one has its name.
        if let Some(record) = self.former_record() {
            let (term, lease_id) = (record.term, record.lease_id);
            self.attempt_in_flight = true;
            self.former_term = Some(term);
            requests.push(revoke_lease(lease_id));
        } else if self.current_leader.is_none() && now >= self.candidacy_at() {
            self.attempt_in_flight = true;
            self.ttl = self.target_ttl();
            requests.push((ElectionStep::GrantLease, Op::GrantLease { ttl: self.ttl }));
        }
    }

    /// Ends an attempt that failed. Revoking its lease also undoes an acquisition whose reply was lost.
    fn abandon_attempt(&mut self, now: Micros, requests: &mut Vec<ElectionRequest>) {
        self.attempt_in_flight = false;
        self.retry_at = now + ATTEMPT_RETRY_DELAY;
        if let Some(lease) = self.attempt_lease.take() {
            requests.push(revoke_lease(lease.lease_id));
        }
        self.leader_key_read = false;
    }

    /// Applies a value of the leader key, with the revision of the key; None: there is no such key.
    fn observe_leader_key(
        &mut self,
        now: Micros,
        stored: Option<(LeaderRecord, u64)>,
    ) -> Option<LeadershipChange> {
        if stored.is_none() && self.current_leader.is_some() {
            self.vacant_since = now;
        }
        self.current_leader = stored.as_ref().map(|(record, _)| record.clone());
        let leader = self.current_leader.as_ref();
        if leader.is_some_and(|record| record.node != self.node_name) {
            self.former_term = None;
        }
        if let Some((record, mod_revision)) = &stored
            && fault_injected(InjectedFault::PreviousLeaderKeyKept)
            && self.leadership.is_none()
            && record.node == self.node_name
        {
            return Some(self.resume_former_leadership(now, record, *mod_revision));
        }
        let held = self.leadership.as_ref()?;
        if let Some((record, mod_revision)) = stored
            && record.incarnation == self.incarnation
        {
            if mod_revision == held.mod_revision {
                return None;
            }
            let replacement = held.replacement.as_ref();
            if replacement.is_some_and(|lease| lease.lease_id == record.lease_id) {
                self.adopt_replacement_lease(mod_revision);
                return None;
            }
        }
        self.leadership = None;
        Some(LeadershipChange::Lost)
    }

    /// Acts as leader under the key of an earlier incarnation: what [`InjectedFault::PreviousLeaderKeyKept`] does.
    fn resume_former_leadership(
        &mut self,
        now: Micros,
        record: &LeaderRecord,
        mod_revision: u64,
    ) -> LeadershipChange {
        let term = record.term;
        self.incarnation = record.incarnation;
        self.leadership = Some(HeldLeadership {
            term,
            mod_revision,
            lease_id: record.lease_id,
            valid_until: now + drift_lower_bound(self.ttl),
            valid_since: now,
            replacement: None,
        });
        LeadershipChange::Acquired { term, mod_revision }
    }

    /// The leader key is known to be attached to the replacement lease, at this revision. Returns the lease
    /// that it replaces.
    fn adopt_replacement_lease(&mut self, mod_revision: u64) -> Option<u64> {
        let held = self.leadership.as_mut()?;
        let replacement = held.replacement.take()?;
        (held.mod_revision, held.valid_until) = (mod_revision, replacement.valid_until);
        self.ttl = replacement.ttl;
        Some(std::mem::replace(&mut held.lease_id, replacement.lease_id))
    }

    /// This controller's value of the leader key.
    fn own_record(&self, term: u64, lease_id: u64) -> LeaderRecord {
        LeaderRecord {
            node: self.node_name.clone(),
            incarnation: self.incarnation,
            term,
            lease_id,
        }
    }

    /// Handles the reply to the request of a step, which was sent at `sent_at`. Returns the next requests, and
    /// the change where leadership was acquired or lost.
    pub fn handle_reply(
        &mut self,
        now: Micros,
        step: ElectionStep,
        reply: Reply,
        sent_at: Micros,
    ) -> (Vec<ElectionRequest>, Option<LeadershipChange>) {
        let mut requests = Vec::new();
        let mut change = None;
        match step {
            ElectionStep::ReadLeaderKey => change = self.leader_key_read(now, reply),
            ElectionStep::WatchLeaderKey => change = self.leader_key_watched(now, reply),
            ElectionStep::GrantLease => self.lease_granted(now, reply, sent_at, &mut requests),
            ElectionStep::ReadTerm => self.term_read(now, reply, &mut requests),
            ElectionStep::AcquireLeadership {
                term,
                lease_id,
                lease_requested_at,
            } => {
                if let Reply::Applied { revision } = reply {
                    change = Some(self.leadership_acquired(
                        now,
                        term,
                        lease_id,
                        lease_requested_at,
                        revision,
                    ));
                } else {
                    self.abandon_attempt(now, &mut requests);
                }
            }
            ElectionStep::RenewLease { lease_id } => {
                change = self.lease_renewed(now, lease_id, &reply, sent_at);
            }
            ElectionStep::RevokeLease => self.lease_revoked(now, &reply),
            ElectionStep::GrantReplacementLease { ttl } => {
                self.replacement_granted(ttl, &reply, sent_at, &mut requests);
            }
            ElectionStep::AttachReplacementLease { lease_id } => {
                self.replacement_attached(now, lease_id, &reply, &mut requests);
            }
            ElectionStep::RevokeSpareLease => {}
        }
        (requests, change)
    }

    fn leader_key_read(&mut self, now: Micros, reply: Reply) -> Option<LeadershipChange> {
        self.read_in_flight = false;
        let Reply::Items {
            items, revision, ..
        } = reply
        else {
            self.retry_at = now + READ_RETRY_DELAY;
            return None;
        };
        self.leader_key_read = true;
        self.revision = revision;
        let stored = items.into_iter().find(|item| item.path == LEADER_KEY);
        self.observe_leader_key(now, stored.as_ref().and_then(parse_leader_record))
    }

    fn leader_key_watched(&mut self, now: Micros, reply: Reply) -> Option<LeadershipChange> {
        self.watch_in_flight = false;
        match reply {
            Reply::Events { events, revision } => {
                self.revision = revision;
                let event = events.into_iter().rfind(|event| event.path == LEADER_KEY)?;
                self.observe_leader_key_event(now, event)
            }
            Reply::TooOld => {
                self.leader_key_read = false;
                None
            }
            _ => {
                self.retry_at = now + WATCH_RETRY_DELAY;
                None
            }
        }
    }

    /// Applies the last change of the leader key.
    fn observe_leader_key_event(
        &mut self,
        now: Micros,
        event: WatchEvent,
    ) -> Option<LeadershipChange> {
        let stored = event.value.and_then(|value| {
            parse_leader_record(&Item {
                path: event.path,
                value,
                mod_revision: event.mod_revision,
            })
        });
        let own = stored
            .as_ref()
            .is_some_and(|(record, _)| record.incarnation == self.incarnation);
        // The watch may show this controller's own acquisition before the reply to it comes.
        if own && self.leadership.is_none() {
            self.current_leader = stored.map(|(record, _)| record);
            return None;
        }
        self.observe_leader_key(now, stored)
    }

    fn lease_granted(
        &mut self,
        now: Micros,
        reply: Reply,
        sent_at: Micros,
        requests: &mut Vec<ElectionRequest>,
    ) {
        let Reply::Granted { lease_id } = reply else {
            return self.abandon_attempt(now, requests);
        };
        self.attempt_lease = Some(AttemptLease {
            lease_id,
            requested_at: sent_at,
        });
        requests.push((ElectionStep::ReadTerm, list_key(TERM_KEY)));
    }

    /// The last term is known: creates the leader key and stores the next term, if neither key has changed.
    fn term_read(&mut self, now: Micros, reply: Reply, requests: &mut Vec<ElectionRequest>) {
        let Reply::Items { items, .. } = reply else {
            return self.abandon_attempt(now, requests);
        };
        let Some(lease) = self.attempt_lease else {
            return;
        };
        let stored = items.into_iter().find(|item| item.path == TERM_KEY);
        let term_revision = stored.as_ref().map_or(0, |item| item.mod_revision);
        let last_term = stored
            .and_then(|item| serde_json::from_str::<StoredTerm>(item.value.get()).ok())
            .map_or(0, |stored| stored.term);
        let reused = fault_injected(InjectedFault::PreviousTermReused)
            && self.former_term == Some(last_term);
        let term = if reused { last_term } else { last_term + 1 };
        let record = self.own_record(term, lease.lease_id);
        let transaction = Transaction::default()
            .require_revision(LEADER_KEY, 0)
            .require_revision(TERM_KEY, term_revision)
            .set_with_lease(LEADER_KEY, &record, lease.lease_id)
            .set(TERM_KEY, &StoredTerm { term });
        let step = ElectionStep::AcquireLeadership {
            term,
            lease_id: lease.lease_id,
            lease_requested_at: lease.requested_at,
        };
        requests.push((step, Op::Transaction(transaction)));
    }

    fn leadership_acquired(
        &mut self,
        now: Micros,
        term: u64,
        lease_id: u64,
        lease_requested_at: Micros,
        mod_revision: u64,
    ) -> LeadershipChange {
        self.attempt_in_flight = false;
        self.attempt_lease = None;
        self.current_leader = Some(self.own_record(term, lease_id));
        self.leadership = Some(HeldLeadership {
            term,
            mod_revision,
            lease_id,
            valid_until: lease_requested_at + drift_lower_bound(self.ttl),
            valid_since: lease_requested_at,
            replacement: None,
        });
        self.next_resize_at = now;
        self.next_renewal_at = now;
        LeadershipChange::Acquired { term, mod_revision }
    }

    fn lease_renewed(
        &mut self,
        now: Micros,
        lease_id: u64,
        reply: &Reply,
        sent_at: Micros,
    ) -> Option<LeadershipChange> {
        let Some(held) = self.leadership.as_mut() else {
            self.renewal_sent_at = None;
            return None;
        };
        let lapsed = now >= held.valid_until();
        let replacement = held.replacement.as_mut();
        if let Some(lease) = replacement.filter(|lease| lease.lease_id == lease_id) {
            if matches!(reply, Reply::Done) {
                let until = sent_at + drift_lower_bound(lease.ttl);
                lease.valid_until = lease.valid_until.max(until);
            }
        } else {
            self.renewal_sent_at = None;
            if held.lease_id != lease_id {
                return None;
            }
            match reply {
                Reply::Done => {
                    let until = sent_at + drift_lower_bound(self.ttl);
                    held.valid_until = held.valid_until.max(until);
                    self.next_renewal_at = now.max(sent_at + self.ttl * 2 / 5);
                }
                Reply::Absent => {}
                _ => self.next_renewal_at = now + RENEWAL_RETRY_DELAY,
            }
        }
        match reply {
            Reply::Done if lapsed => held.valid_since = held.valid_since.max(sent_at),
            // The lease has expired. If it is the replacement, the key may have expired with it; that is
            // unknown, so leadership ends.
            Reply::Absent => {
                self.leadership = None;
                self.leader_key_read = false;
                return Some(LeadershipChange::Lost);
            }
            _ => {}
        }
        None
    }

    fn lease_revoked(&mut self, now: Micros, reply: &Reply) {
        self.attempt_in_flight = false;
        if matches!(reply, Reply::Unavailable | Reply::Lost) {
            self.retry_at = now + REVOKE_RETRY_DELAY;
        } else {
            self.leader_key_read = false;
        }
    }

    /// A lease with another time to live is granted: attaches the leader key to it.
    fn replacement_granted(
        &mut self,
        ttl: Micros,
        reply: &Reply,
        sent_at: Micros,
        requests: &mut Vec<ElectionRequest>,
    ) {
        let Reply::Granted { lease_id } = *reply else {
            return;
        };
        let Some(held) = &mut self.leadership else {
            return requests.push(revoke_spare_lease(lease_id));
        };
        held.replacement = Some(ReplacementLease {
            lease_id,
            ttl,
            valid_until: sent_at + drift_lower_bound(ttl),
        });
        let (term, mod_revision) = (held.term, held.mod_revision);
        let transaction = Transaction::default()
            .require_revision(LEADER_KEY, mod_revision)
            .set_with_lease(LEADER_KEY, &self.own_record(term, lease_id), lease_id);
        requests.push((
            ElectionStep::AttachReplacementLease { lease_id },
            Op::Transaction(transaction),
        ));
    }

    fn replacement_attached(
        &mut self,
        now: Micros,
        lease_id: u64,
        reply: &Reply,
        requests: &mut Vec<ElectionRequest>,
    ) {
        let held = self.leadership.as_mut();
        let Some(held) = held.filter(|held| {
            let replacement = held.replacement.as_ref();
            replacement.is_some_and(|lease| lease.lease_id == lease_id)
        }) else {
            // The watch has shown the outcome before, or leadership is lost.
            return;
        };
        match *reply {
            Reply::Applied { revision } => {
                if let Some(former) = self.adopt_replacement_lease(revision) {
                    log::info!("lease replaced ttl_ms={}", self.ttl / MILLISECOND);
                    requests.push(revoke_spare_lease(former));
                }
                self.next_renewal_at = now;
            }
            // It may have been applied, or may be yet: both leases are renewed, and the leader key shows
            // which one it is attached to.
            Reply::Lost => self.leader_key_read = false,
            _ => {
                held.replacement = None;
                requests.push(revoke_spare_lease(lease_id));
            }
        }
    }
}

/// Reads one key. A watch can continue from the revision of the reply.
fn list_key(prefix: &'static str) -> Op {
    Op::List {
        prefix,
        after: String::new(),
        limit: LIST_LIMIT,
    }
}

fn revoke_lease(lease_id: u64) -> ElectionRequest {
    (ElectionStep::RevokeLease, Op::RevokeLease(lease_id))
}

fn revoke_spare_lease(lease_id: u64) -> ElectionRequest {
    (ElectionStep::RevokeSpareLease, Op::RevokeLease(lease_id))
}

/// The leader record in a stored key, with the key's revision; None where it can't be read.
fn parse_leader_record(item: &Item) -> Option<(LeaderRecord, u64)> {
    let record = serde_json::from_str(item.value.get()).ok()?;
    Some((record, item.mod_revision))
}
