//! Leader election through the key-value store: a lease, the `leader` key attached to it, and a term that
//! increases with every leader.
//!
//! [`Election`] owns this controller's view of the leader key and, while the controller is the leader, the
//! lease that it renews. It does no I/O: [`Election::tick`] and [`Election::handle_reply`] return requests for
//! the state service, and [`Election::handle_reply`] reports when leadership is acquired or lost. What a
//! leader does is decided elsewhere.
//!
//! Invariants:
//!
//! - Leadership is valid only until the send time of the last successful renewal plus the lease's TTL, less a
//!   margin for clock drift ([`drift_lower_bound`]). After that the controller must neither send commands nor
//!   answer a worker with status 200 until a renewal shows that the lease has not expired.
//! - A new term is stored in the same transaction that creates the leader key, and is larger than every term
//!   stored before it.
//! - Every write of a leader has the revision of its leader key as a precondition
//!   ([`Election::leader_key_revision`]), so that the writes of a former leader fail.

use crate::clock::{MILLISECOND, Micros, SECOND, drift_lower_bound};
use crate::fault_injection::{InjectedFault, fault_injected};
use crate::state_client::{KeyValue, Op, Reply, Transaction, WatchEvent};
use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

/// The key that names the leader. It is attached to the leader's lease and deleted when the lease expires.
pub const LEADER_KEY: &str = "leader";
/// The key that holds the highest term so far. It is attached to no lease.
pub const TERM_KEY: &str = "term";

/// The TTL of a lease includes this many times the average response time of the state service.
const TTL_PER_RESPONSE_TIME: f64 = 6.0;
/// The TTL of a lease includes this many times the recent longest pause of this process.
const TTL_PER_PAUSE: f64 = 2.0;
/// A process with long pauses may use a TTL above the configured maximum, up to this many times that maximum.
/// Otherwise it would lose its lease: the failover makes all workers reconnect, and the leader after it has even
/// more work to do.
const PAUSED_TTL_FACTOR_MAX: Micros = 2;
/// The recorded pause halves in this time unless a longer one is recorded.
const PAUSE_HALF_LIFE: Micros = 10 * SECOND;
/// Weight of a response slower than the average; the larger one, so that the average rises quickly.
const SLOWER_RESPONSE_WEIGHT: f64 = 0.2;
/// Weight of a response faster than the average; the smaller one, so that the average falls slowly.
const FASTER_RESPONSE_WEIGHT: f64 = 0.05;
/// Minimum time between two attempts to replace the lease by one with a different TTL.
const RESIZE_RETRY_INTERVAL: Micros = 5 * SECOND;
/// A shorter lease is requested only this long after the time at which a longer one could have been.
const SHRINK_DELAY: Micros = 15 * SECOND;
/// Delay before the leader key is read again after a failed read.
const READ_RETRY_DELAY: Micros = 300 * MILLISECOND;
/// Delay before the leader key is watched again after a failed watch.
const WATCH_RETRY_DELAY: Micros = 200 * MILLISECOND;
/// The state service answers a watch after this time even if nothing has changed.
const WATCH_BLOCK: Micros = 20 * SECOND;
/// Delay before the next attempt to become leader after a failed one.
const ATTEMPT_RETRY_DELAY: Micros = 150 * MILLISECOND;
/// Delay before the lease is renewed again after a failed renewal.
const RENEWAL_RETRY_DELAY: Micros = 150 * MILLISECOND;
/// Delay before the next attempt to become leader after a lease could not be revoked.
const REVOKE_RETRY_DELAY: Micros = 200 * MILLISECOND;
/// Page size for reading a single key by listing its prefix.
const LIST_LIMIT: usize = 10;

/// A request to the state service, with the election step that its reply belongs to.
pub type ElectionRequest = (ElectionStep, Op);

/// The value of [`LEADER_KEY`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Name of the leader's node.
    pub node: String,
    /// Incarnation of the leader's process: distinguishes it from earlier and later processes of the same node.
    #[serde(rename = "run")]
    pub incarnation: u64,
    /// The leader's term.
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

/// The purpose of a request to the state service; the caller passes it back with the reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ElectionStep {
    /// Reads the leader key.
    ReadLeaderKey,
    /// Watches the leader key.
    WatchLeaderKey,
    /// Requests the lease for an attempt to become leader.
    GrantLease,
    /// Reads the highest term so far, during an attempt to become leader.
    ReadTerm,
    /// Creates the leader key and stores the new term, in one transaction.
    AcquireLeadership {
        /// The new term.
        term: u64,
        /// The lease that the leader key is attached to.
        lease_id: u64,
        /// When the lease was requested; its TTL is counted from then.
        lease_requested_at: Micros,
    },
    /// Renews a lease of the leader.
    RenewLease {
        /// The lease to renew.
        lease_id: u64,
    },
    /// Revokes a lease that the leader key is or may be attached to.
    RevokeLease,
    /// Requests a lease with a different TTL for the leader.
    GrantReplacementLease {
        /// TTL of the requested lease, in microseconds.
        ttl: Micros,
    },
    /// Attaches the leader key to the replacement lease.
    AttachReplacementLease {
        /// The replacement lease.
        lease_id: u64,
    },
    /// Revokes a lease that the leader key is certainly not attached to.
    RevokeUnusedLease,
}

/// A change in this controller's own leadership.
#[derive(Clone, Debug, PartialEq)]
pub enum LeadershipChange {
    /// This controller has become the leader.
    Acquired {
        /// The new term.
        term: u64,
        /// The revision of its leader key, which is a precondition of all its writes.
        mod_revision: u64,
    },
    /// This controller is no longer the leader; its term does not resume.
    Lost,
}

/// The leadership that this controller holds. Its lease may have expired already.
struct HeldLeadership {
    term: u64,
    /// Revision of the leader key.
    mod_revision: u64,
    lease_id: u64,
    /// When the lease expires by this process's clock, at the earliest.
    valid_until: Micros,
    /// Since when leadership has been valid without interruption: the send time of the grant or renewal that
    /// made it valid.
    valid_since: Micros,
    /// A lease with a different TTL, which the leader key may already be attached to.
    replacement: Option<ReplacementLease>,
}

/// A lease that is to replace the leader's lease. Until the transaction that attaches the leader key to it is
/// answered, it is unknown which of the two leases the key is attached to, and the key is deleted when that
/// lease expires. Both leases are therefore renewed, and leadership is valid only while both are.
struct ReplacementLease {
    lease_id: u64,
    ttl: Micros,
    valid_until: Micros,
}

impl HeldLeadership {
    /// When the lease expires, or the replacement if that expires earlier.
    fn valid_until(&self) -> Micros {
        match &self.replacement {
            Some(replacement) => replacement.valid_until.min(self.valid_until),
            None => self.valid_until,
        }
    }
}

/// This controller's participation in the leader election.
pub struct Election {
    node_name: String,
    incarnation: u64,
    /// TTL of the lease held or requested.
    ttl: Micros,
    /// Minimum and maximum TTL; between them it depends on response times and pauses.
    ttl_bounds: (Micros, Micros),
    /// Weighted average of the state service's response times, in microseconds.
    response_time: f64,
    /// The longest recent pause of this process, in microseconds; decays with [`PAUSE_HALF_LIFE`].
    pause_time: f64,
    pause_recorded_at: Micros,
    current_leader: Option<LeaderRecord>,
    /// The term of an earlier incarnation of this process, if that was the leader and no other node has been
    /// since.
    former_term: Option<u64>,
    leadership: Option<HeldLeadership>,
    /// The lease of the current attempt to become leader.
    attempt_lease: Option<AttemptLease>,
    attempt_in_flight: bool,
    /// When the renewal in flight was sent.
    renewal_sent_at: Option<Micros>,
    next_renewal_at: Micros,
    /// Store revision up to which all changes of the leader key are known.
    revision: u64,
    leader_key_read: bool,
    read_in_flight: bool,
    watch_in_flight: bool,
    retry_at: Micros,
    /// This controller makes no attempt to become leader before this time.
    backoff_until: Micros,
    /// No replacement lease is requested before this time.
    next_resize_at: Micros,
    /// When the leader key was last seen to disappear; 0 if never.
    vacant_since: Micros,
    /// How long this controller leaves a vacant leader key to other nodes.
    candidacy_delay: Micros,
}

/// The lease of an attempt to become leader.
#[derive(Clone, Copy)]
struct AttemptLease {
    lease_id: u64,
    requested_at: Micros,
}

impl Election {
    /// Creates the state of a controller that does not know the leader yet. `incarnation` identifies this
    /// process among all processes of the node; `ttl_bounds` are the minimum and maximum TTL of a lease, in
    /// microseconds.
    pub fn new(node_name: &str, incarnation: u64, ttl_bounds: (Micros, Micros)) -> Self {
        Self {
            node_name: node_name.to_owned(),
            incarnation,
            ttl: ttl_bounds.1,
            ttl_bounds,
            response_time: 0.0,
            pause_time: 0.0,
            pause_recorded_at: 0,
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

    /// Steps down: revokes the lease and makes no attempt to become leader again for `backoff`. Does nothing if
    /// this controller is not the leader.
    pub fn resign(&mut self, now: Micros, backoff: Micros) -> Vec<ElectionRequest> {
        let Some(held) = self.leadership.take() else {
            return Vec::new();
        };
        self.attempt_in_flight = true;
        self.leader_key_read = false;
        self.backoff_until = now + backoff;
        vec![revoke_lease(held.lease_id)]
    }

    /// Records a response time of the state service. The average rises quickly and falls slowly.
    pub fn record_response_time(&mut self, response_time: Micros) {
        let response_time = response_time as f64;
        let weight = if response_time > self.response_time {
            SLOWER_RESPONSE_WEIGHT
        } else {
            FASTER_RESPONSE_WEIGHT
        };
        self.response_time += weight * (response_time - self.response_time);
    }

    /// Records how long an input has waited in this process: the measure of its pauses.
    pub fn record_pause(&mut self, now: Micros, waited: Micros) {
        let elapsed = now.saturating_sub(self.pause_recorded_at) as f64;
        self.pause_recorded_at = now;
        let decayed = self.pause_time * 0.5f64.powf(elapsed / PAUSE_HALF_LIFE as f64);
        self.pause_time = decayed.max(waited as f64);
    }

    /// The TTL that the lease should have now: short, so that another controller takes over soon after this
    /// process ends, but long enough that neither a slow response nor a usual pause of this process lets the
    /// lease expire.
    fn target_ttl(&self) -> Micros {
        let (ttl_min, ttl_max) = self.ttl_bounds;
        let pauses = TTL_PER_PAUSE * self.pause_time;
        let margin = TTL_PER_RESPONSE_TIME * self.response_time + pauses;
        let usual = (ttl_min + margin as Micros).min(ttl_max);
        usual.max((ttl_min + pauses as Micros).min(PAUSED_TTL_FACTOR_MAX * ttl_max))
    }

    /// Sets how long this controller leaves the election to others once there is no leader.
    pub fn set_candidacy_delay(&mut self, delay: Micros) {
        self.candidacy_delay = delay;
    }

    /// Whether an earlier incarnation of this process was the leader and no other node has been since. Such a
    /// process may crash again, so another controller should become leader.
    pub fn led_before_restart(&self) -> bool {
        self.former_term.is_some()
    }

    /// The earliest time at which this controller may try to become leader.
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

    /// The leader according to the last known value of the leader key.
    pub fn leader(&self) -> Option<&LeaderRecord> {
        self.current_leader.as_ref()
    }

    /// The revision of this controller's leader key, a precondition of every write of the leader. `None` if this
    /// controller is not the leader.
    pub fn leader_key_revision(&self) -> Option<u64> {
        self.leadership.as_ref().map(|held| held.mod_revision)
    }

    /// Whether this controller is the leader with a lease that cannot have expired, so that no other controller
    /// can be the leader.
    pub fn has_valid_lease(&self, now: Micros) -> bool {
        let held = self.leadership.as_ref();
        held.is_some_and(|held| {
            now < held.valid_until() || fault_injected(InjectedFault::LeaderLeaseExpiryIgnored)
        })
    }

    /// Since when this controller's lease has been valid without interruption, so that no other controller can
    /// have been the leader. Before that time others may have made decisions that this controller does not
    /// know of.
    pub fn lease_valid_since(&self) -> Micros {
        self.leadership
            .as_ref()
            .map_or(Micros::MAX, |held| held.valid_since)
    }

    /// How long this controller may act as leader without another renewal, in microseconds.
    pub fn lease_time_left(&self, now: Micros) -> Micros {
        let held = self.leadership.as_ref();
        held.map_or(0, |held| held.valid_until().saturating_sub(now))
    }

    /// When [`Election::tick`] is next due; [`Micros::MAX`] while the election only waits for replies.
    pub fn wake_at(&self) -> Micros {
        let at = if self.leadership.is_some() {
            self.renewal_due_at()
        } else {
            let may_try =
                self.current_leader.is_none() || self.earlier_incarnation_record().is_some();
            if self.leader_key_read && may_try && !self.attempt_in_flight {
                self.retry_at.max(self.candidacy_at())
            } else {
                Micros::MAX
            }
        };
        let needs_read = !self.leader_key_read && !self.read_in_flight;
        let needs_watch = self.leader_key_read && !self.watch_in_flight;
        if needs_read || needs_watch {
            at.min(self.retry_at)
        } else {
            at
        }
    }

    /// The value of the leader key, if an earlier incarnation of this process wrote it.
    fn earlier_incarnation_record(&self) -> Option<&LeaderRecord> {
        let record = self.current_leader.as_ref()?;
        (record.node == self.node_name && record.incarnation != self.incarnation).then_some(record)
    }

    /// When the next renewal is due. A slow renewal is not waited for, since another one may be answered
    /// sooner.
    fn renewal_due_at(&self) -> Micros {
        match self.renewal_sent_at {
            Some(sent_at) => sent_at + self.ttl / 4,
            None => self.next_renewal_at,
        }
    }

    /// Returns the requests to the state service that are due.
    pub fn tick(&mut self, now: Micros) -> Vec<ElectionRequest> {
        let mut requests = Vec::new();
        self.follow_leader_key(now, &mut requests);
        // A leader renews its lease also while it reads the leader key again; otherwise the lease could expire
        // during a slow read.
        if self.leadership.is_some() {
            self.renew_leases(now, &mut requests);
            self.resize_lease(now, &mut requests);
        } else if self.leader_key_read {
            self.start_attempt(now, &mut requests);
        }
        requests
    }

    /// Reads the leader key, then watches it from the revision of that read.
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

    /// Renews the lease, and the replacement lease if there is one.
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

    /// Requests a lease with a different TTL if the target TTL is more than a third above the current one, or
    /// more than a quarter below it. A shorter lease is requested only after [`SHRINK_DELAY`].
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

    /// Starts an attempt to become leader if there is no leader and this controller's candidacy delay has
    /// passed. If the leader key is that of an earlier incarnation, revokes its lease first.
    fn start_attempt(&mut self, now: Micros, requests: &mut Vec<ElectionRequest>) {
        if self.attempt_in_flight || now < self.retry_at {
            return;
        }
        // The process that wrote this key has ended: this process now runs under its node name.
        if let Some(record) = self.earlier_incarnation_record() {
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

    /// Ends a failed attempt to become leader. Revoking its lease also undoes an acquisition whose reply was
    /// lost.
    fn abandon_attempt(&mut self, now: Micros, requests: &mut Vec<ElectionRequest>) {
        self.attempt_in_flight = false;
        self.retry_at = now + ATTEMPT_RETRY_DELAY;
        if let Some(lease) = self.attempt_lease.take() {
            requests.push(revoke_lease(lease.lease_id));
        }
        self.leader_key_read = false;
    }

    /// Applies the stored value of the leader key and its revision; `None` if the key does not exist.
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

    /// Injected fault [`InjectedFault::FormerKeyKept`]: acts as leader under the leader key of an earlier
    /// incarnation.
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

    /// Makes the replacement lease the current one, once the leader key is known to be attached to it at this
    /// revision. Returns the id of the replaced lease.
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

    /// Handles the reply to the request of `step`, which was sent at `sent_at`. Returns the requests that
    /// follow, and the change if leadership was acquired or lost.
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
            ElectionStep::ReadLeaderKey => change = self.handle_leader_key_read(now, reply),
            ElectionStep::WatchLeaderKey => change = self.handle_leader_key_watch(now, reply),
            ElectionStep::GrantLease => {
                self.handle_lease_granted(now, reply, sent_at, &mut requests)
            }
            ElectionStep::ReadTerm => self.handle_term_read(now, reply, &mut requests),
            ElectionStep::AcquireLeadership {
                term,
                lease_id,
                lease_requested_at,
            } => {
                if let Reply::Applied { revision } = reply {
                    change = Some(self.handle_leadership_acquired(
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
                change = self.handle_lease_renewed(now, lease_id, &reply, sent_at);
            }
            ElectionStep::RevokeLease => self.handle_lease_revoked(now, &reply),
            ElectionStep::GrantReplacementLease { ttl } => {
                self.handle_replacement_granted(ttl, &reply, sent_at, &mut requests);
            }
            ElectionStep::AttachReplacementLease { lease_id } => {
                self.handle_replacement_attached(now, lease_id, &reply, &mut requests);
            }
            ElectionStep::RevokeUnusedLease => {}
        }
        (requests, change)
    }

    fn handle_leader_key_read(&mut self, now: Micros, reply: Reply) -> Option<LeadershipChange> {
        self.read_in_flight = false;
        let Reply::KeyPage {
            items, revision, ..
        } = reply
        else {
            self.retry_at = now + READ_RETRY_DELAY;
            return None;
        };
        self.leader_key_read = true;
        self.revision = revision;
        let stored = items.into_iter().find(|item| item.key == LEADER_KEY);
        self.observe_leader_key(now, stored.as_ref().and_then(parse_leader_record))
    }

    fn handle_leader_key_watch(&mut self, now: Micros, reply: Reply) -> Option<LeadershipChange> {
        self.watch_in_flight = false;
        match reply {
            Reply::Events { events, revision } => {
                self.revision = revision;
                let event = events.into_iter().rfind(|event| event.key == LEADER_KEY)?;
                self.observe_leader_key_event(now, event)
            }
            Reply::Compacted => {
                self.leader_key_read = false;
                None
            }
            _ => {
                self.retry_at = now + WATCH_RETRY_DELAY;
                None
            }
        }
    }

    /// Applies the latest change of the leader key.
    fn observe_leader_key_event(
        &mut self,
        now: Micros,
        event: WatchEvent,
    ) -> Option<LeadershipChange> {
        let stored = event.value.and_then(|value| {
            parse_leader_record(&KeyValue {
                key: event.key,
                value,
                mod_revision: event.mod_revision,
            })
        });
        let own = stored
            .as_ref()
            .is_some_and(|(record, _)| record.incarnation == self.incarnation);
        // The watch may report this controller's own acquisition before the reply to it arrives.
        if own && self.leadership.is_none() {
            self.current_leader = stored.map(|(record, _)| record);
            return None;
        }
        self.observe_leader_key(now, stored)
    }

    fn handle_lease_granted(
        &mut self,
        now: Micros,
        reply: Reply,
        sent_at: Micros,
        requests: &mut Vec<ElectionRequest>,
    ) {
        let Reply::LeaseGranted { lease_id } = reply else {
            return self.abandon_attempt(now, requests);
        };
        self.attempt_lease = Some(AttemptLease {
            lease_id,
            requested_at: sent_at,
        });
        requests.push((ElectionStep::ReadTerm, list_key(TERM_KEY)));
    }

    /// Handles the read of the highest term: requests the transaction that creates the leader key and stores
    /// the next term, provided that neither key has changed.
    fn handle_term_read(&mut self, now: Micros, reply: Reply, requests: &mut Vec<ElectionRequest>) {
        let Reply::KeyPage { items, .. } = reply else {
            return self.abandon_attempt(now, requests);
        };
        let Some(lease) = self.attempt_lease else {
            return;
        };
        let stored = items.into_iter().find(|item| item.key == TERM_KEY);
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

    fn handle_leadership_acquired(
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

    fn handle_lease_renewed(
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
        let had_lapsed = now >= held.valid_until();
        let replacement = held.replacement.as_mut();
        if let Some(lease) = replacement.filter(|lease| lease.lease_id == lease_id) {
            if matches!(reply, Reply::LeaseUpdated) {
                let until = sent_at + drift_lower_bound(lease.ttl);
                lease.valid_until = lease.valid_until.max(until);
            }
        } else {
            self.renewal_sent_at = None;
            if held.lease_id != lease_id {
                return None;
            }
            match reply {
                Reply::LeaseUpdated => {
                    let until = sent_at + drift_lower_bound(self.ttl);
                    held.valid_until = held.valid_until.max(until);
                    self.next_renewal_at = now.max(sent_at + self.ttl * 2 / 5);
                }
                Reply::NotFound => {}
                _ => self.next_renewal_at = now + RENEWAL_RETRY_DELAY,
            }
        }
        match reply {
            Reply::LeaseUpdated if had_lapsed => held.valid_since = held.valid_since.max(sent_at),
            // The lease has expired. If it is the replacement lease, the leader key may have been deleted with
            // it; since that is unknown, leadership ends.
            Reply::NotFound => {
                self.leadership = None;
                self.leader_key_read = false;
                return Some(LeadershipChange::Lost);
            }
            _ => {}
        }
        None
    }

    fn handle_lease_revoked(&mut self, now: Micros, reply: &Reply) {
        self.attempt_in_flight = false;
        if matches!(reply, Reply::Unavailable | Reply::OutcomeUnknown) {
            self.retry_at = now + REVOKE_RETRY_DELAY;
        } else {
            self.leader_key_read = false;
        }
    }

    /// Handles the grant of a replacement lease: requests that the leader key be attached to it.
    fn handle_replacement_granted(
        &mut self,
        ttl: Micros,
        reply: &Reply,
        sent_at: Micros,
        requests: &mut Vec<ElectionRequest>,
    ) {
        let Reply::LeaseGranted { lease_id } = *reply else {
            return;
        };
        let Some(held) = &mut self.leadership else {
            return requests.push(revoke_unused_lease(lease_id));
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

    fn handle_replacement_attached(
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
            // The watch has already reported the outcome, or leadership is lost.
            return;
        };
        match *reply {
            Reply::Applied { revision } => {
                if let Some(replaced) = self.adopt_replacement_lease(revision) {
                    log::info!("lease replaced ttl_ms={}", self.ttl / MILLISECOND);
                    requests.push(revoke_unused_lease(replaced));
                }
                self.next_renewal_at = now;
            }
            // The transaction may have been applied, or may still be. Both leases are renewed until a read of
            // the leader key shows which one it is attached to.
            Reply::OutcomeUnknown => self.leader_key_read = false,
            _ => {
                held.replacement = None;
                requests.push(revoke_unused_lease(lease_id));
            }
        }
    }
}

/// Reads one key by listing its prefix: unlike a plain read, a listing returns the store revision that a watch
/// can continue from.
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

fn revoke_unused_lease(lease_id: u64) -> ElectionRequest {
    (ElectionStep::RevokeUnusedLease, Op::RevokeLease(lease_id))
}

/// The leader record in a stored key, with the key's revision; `None` if the value cannot be decoded.
fn parse_leader_record(item: &KeyValue) -> Option<(LeaderRecord, u64)> {
    let record = serde_json::from_str(item.value.get()).ok()?;
    Some((record, item.mod_revision))
}
