//! Who leads: a grant at the state service, the `leader` key attached to it, and a term that
//! only grows. Leading counts only until the last renewal's send time plus its length, less a
//! margin; past it there are no orders and no 200 to workers, until a renewal says the grant
//! lived on.

use crate::clock::{MILLISECOND, Micros, SECOND, drift_lower_bound};
use crate::fault_injection::{InjectedFault, fault_injected};
use crate::state_client::{Item, Op, Reply, Transaction};
use serde::{Deserialize, Serialize};

pub const LEADER_KEY: &str = "leader";
pub const TERM_KEY: &str = "term";

/// What a grant's length allows for: so many times what an answer takes, and what this process stops.
const TTL_PER_ANSWER_TIME: f64 = 6.0;
const TTL_PER_PAUSE: f64 = 2.0;
const PAUSE_HALF_LIFE: Micros = 10 * SECOND;
/// Between two tries to get a longer grant.
const RESIZE_RETRY_INTERVAL: Micros = 5 * SECOND;
const SHRINK_DELAY: Micros = 15 * SECOND;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    pub node: String,
    /// Tells one run of a process from the next.
    #[serde(rename = "run")]
    pub incarnation: u64,
    pub term: u64,
    #[serde(rename = "permit")]
    pub lease_id: u64,
}

#[derive(Serialize, Deserialize)]
struct StoredTerm {
    term: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ElectionStep {
    ReadLeaderKey,
    WatchLeaderKey,
    GrantLease,
    ReadTerm,
    AcquireLeadership {
        term: u64,
        lease_id: u64,
        granted: Micros,
    },
    RenewLease {
        lease_id: u64,
    },
    RevokeLease,
    /// A longer grant for the leader, and its key under that one.
    GrantReplacementLease {
        ttl: Micros,
    },
    AttachReplacementLease {
        lease_id: u64,
    },
    /// A grant that the key does not hang on.
    RevokeSpareLease,
}

#[derive(Clone, Debug, PartialEq)]
pub enum LeadershipChange {
    /// This node leads from now on, under this term.
    Acquired { term: u64, mod_revision: u64 },
    /// This node's leading is over for good.
    Lost,
}

struct HeldLeadership {
    term: u64,
    mod_revision: u64,
    lease_id: u64,
    valid_until: Micros,
    /// Since when it has been valid without a break, by the send time of what made it so.
    valid_since: Micros,
    /// Another grant, longer or shorter, that the key may hang on already.
    replacement: Option<ReplacementLease>,
}

/// While the transaction that hangs the key on it has no answer, both grants are renewed, and the lead
/// is valid only as long as both are: the key lives as long as one of them, nobody knows which.
struct ReplacementLease {
    lease_id: u64,
    ttl: Micros,
    valid_until: Micros,
}

impl HeldLeadership {
    fn valid_until(&self) -> Micros {
        let longer = self.replacement.as_ref().map(|l| l.valid_until);
        longer.map_or(self.valid_until, |l| l.min(self.valid_until))
    }
}

pub struct Election {
    node_name: String,
    incarnation: u64,
    /// Of the grant held or asked for.
    ttl: Micros,
    /// Between these it follows what renewals take.
    ttl_bounds: (Micros, Micros),
    /// What the state service's answers take, and for how long this process usually does nothing.
    answer_time: f64,
    pause_time: f64,
    pause_noted_at: Micros,
    current_leader: Option<LeaderRecord>,
    /// The term that the former life of this process led under.
    former_term: Option<u64>,
    leadership: Option<HeldLeadership>,
    /// A grant for the current attempt, and when it was asked for.
    attempt_lease: Option<(u64, Micros)>,
    attempt_in_flight: bool,
    /// When the renewal under way was sent.
    renewal_sent_at: Option<Micros>,
    next_renewal_at: Micros,
    revision: u64,
    leader_key_read: bool,
    read_in_flight: bool,
    watch_in_flight: bool,
    retry_at: Micros,
    /// Until then no attempt to lead.
    backoff_until: Micros,
    /// A longer grant is being asked for, or was not to be had: not again before.
    lease_resized_at: Micros,
    /// Since when the lead that another node had is free, and how long others are let go first.
    vacant_since: Micros,
    candidacy_delay: Micros,
}

impl Election {
    pub fn new(label: &str, run: u64, ttl_bounds: (Micros, Micros)) -> Self {
        Self {
            node_name: label.to_owned(),
            incarnation: run,
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
            lease_resized_at: 0,
            vacant_since: 0,
            candidacy_delay: 0,
        }
    }

    /// Gives up leading: ends the grant, and leaves it to the others for `rest`.
    pub fn resign(&mut self, now: Micros, rest: Micros) -> Vec<(ElectionStep, Op)> {
        let Some(held) = self.leadership.take() else {
            return Vec::new();
        };
        self.attempt_in_flight = true;
        self.leader_key_read = false;
        self.backoff_until = now + rest;
        vec![(ElectionStep::RevokeLease, Op::RevokeLease(held.lease_id))]
    }

    /// The state service took that long for an answer. Rises soon, falls slowly.
    pub fn note_answer_time(&mut self, took: Micros) {
        let took = took as f64;
        let weight = if took > self.answer_time { 0.2 } else { 0.05 };
        self.answer_time += weight * (took - self.answer_time);
    }

    /// What came in has waited that long in this process.
    pub fn note_pause(&mut self, now: Micros, waited: Micros) {
        let since = now.saturating_sub(self.pause_noted_at) as f64;
        self.pause_noted_at = now;
        let aged = self.pause_time * 0.5f64.powf(since / PAUSE_HALF_LIFE as f64);
        self.pause_time = aged.max(waited as f64);
    }

    /// How long a grant has to be now: short, so that another leads soon when this node ends, and
    /// long enough that neither a late answer nor a usual stop of this process costs the lead.
    fn target_ttl(&self) -> Micros {
        let (least, most) = self.ttl_bounds;
        let spare = TTL_PER_ANSWER_TIME * self.answer_time + TTL_PER_PAUSE * self.pause_time;
        (least + spare as Micros).min(most)
    }

    /// How long others are let go first when a leader is gone.
    pub fn set_candidacy_delay(&mut self, wait: Micros) {
        self.candidacy_delay = wait;
    }

    /// Whether this process leads no more since it ended: it may end again, so another should lead.
    pub fn led_before_restart(&self) -> bool {
        self.former_term.is_some()
    }

    /// When this node may ask for the lead.
    fn candidacy_at(&self) -> Micros {
        let turn = if self.vacant_since > 0 {
            self.vacant_since + self.candidacy_delay
        } else {
            0
        };
        self.backoff_until.max(turn)
    }

    /// Whether this node neither leads nor is about to.
    pub fn is_idle(&self) -> bool {
        self.leadership.is_none() && !self.attempt_in_flight
    }

    /// The node whose key stands, as far as this node knows.
    pub fn leader(&self) -> Option<&LeaderRecord> {
        self.current_leader.as_ref()
    }

    /// The stamp of our leader key, on which every write of the leader is conditional.
    pub fn leader_key_revision(&self) -> Option<u64> {
        self.leadership.as_ref().map(|h| h.mod_revision)
    }

    pub fn term(&self) -> Option<u64> {
        self.leadership.as_ref().map(|h| h.term)
    }

    /// True while nobody else can lead.
    pub fn is_valid(&self, now: Micros) -> bool {
        let held = self.leadership.as_ref();
        held.is_some_and(|h| {
            now < h.valid_until() || fault_injected(InjectedFault::AnswerPastGrant)
        })
    }

    /// Since when nobody else can have led without a break in which this node could not act; before that
    /// others may have decided what it was not told.
    pub fn valid_since(&self) -> Micros {
        self.leadership
            .as_ref()
            .map_or(Micros::MAX, |h| h.valid_since)
    }

    /// For how much longer this node may act as leader without another renewal.
    pub fn valid_for(&self, now: Micros) -> Micros {
        let held = self.leadership.as_ref();
        held.map_or(0, |h| h.valid_until().saturating_sub(now))
    }

    /// When `tick` next has something to ask; never while it only waits for answers.
    pub fn wake_at(&self) -> Micros {
        let idle = if self.leadership.is_some() {
            match self.renewal_sent_at {
                Some(sent) => sent + self.ttl / 4,
                None => self.next_renewal_at,
            }
        } else {
            let wants = match &self.current_leader {
                Some(r) => r.node == self.node_name && r.incarnation != self.incarnation,
                None => true,
            };
            if self.leader_key_read && wants && !self.attempt_in_flight {
                self.retry_at.max(self.candidacy_at())
            } else {
                Micros::MAX
            }
        };
        let look = !self.leader_key_read && !self.read_in_flight;
        let watch = self.leader_key_read && !self.watch_in_flight;
        if look || watch {
            idle.min(self.retry_at)
        } else {
            idle
        }
    }

    /// What to ask of the state service now.
    pub fn tick(&mut self, now: Micros) -> Vec<(ElectionStep, Op)> {
        let mut ops = Vec::new();
        if !self.leader_key_read {
            if !self.read_in_flight && now >= self.retry_at {
                self.read_in_flight = true;
                ops.push((
                    ElectionStep::ReadLeaderKey,
                    Op::List {
                        prefix: LEADER_KEY,
                        after: String::new(),
                        limit: 10,
                    },
                ));
            }
            // A leader goes on renewing while it looks: it would else lose the lead for a late answer.
            if self.leadership.is_none() {
                return ops;
            }
        } else if !self.watch_in_flight && now >= self.retry_at {
            self.watch_in_flight = true;
            ops.push((
                ElectionStep::WatchLeaderKey,
                Op::Watch {
                    prefix: LEADER_KEY,
                    from: self.revision,
                    block: 20 * SECOND,
                },
            ));
        }
        if let Some(h) = &self.leadership {
            // One that takes long is not waited for: the next one may be quicker.
            let due = match self.renewal_sent_at {
                Some(sent) => now >= sent + self.ttl / 4,
                None => now >= self.next_renewal_at,
            };
            if due {
                self.renewal_sent_at = Some(now);
                let longer = h.replacement.iter().map(|l| l.lease_id);
                for lease_id in [h.lease_id].into_iter().chain(longer) {
                    ops.push((
                        ElectionStep::RenewLease { lease_id },
                        Op::RenewLease(lease_id),
                    ));
                }
            }
            let ttl = self.target_ttl();
            // Longer at once when that is needed; shorter again only after a while of calm.
            let longer = now >= self.lease_resized_at && 3 * ttl > 4 * self.ttl;
            let shorter = now >= self.lease_resized_at + SHRINK_DELAY && 4 * ttl < 3 * self.ttl;
            if h.replacement.is_none() && (longer || shorter) {
                self.lease_resized_at = now + RESIZE_RETRY_INTERVAL;
                ops.push((
                    ElectionStep::GrantReplacementLease { ttl },
                    Op::GrantLease { ttl },
                ));
            }
        } else if !self.attempt_in_flight && now >= self.retry_at {
            match &self.current_leader {
                // An earlier run of this node held it; that process is no more.
                Some(r) if r.node == self.node_name && r.incarnation != self.incarnation => {
                    self.attempt_in_flight = true;
                    self.former_term = Some(r.term);
                    ops.push((ElectionStep::RevokeLease, Op::RevokeLease(r.lease_id)));
                }
                Some(_) => {}
                None if now < self.candidacy_at() => {}
                None => {
                    self.attempt_in_flight = true;
                    self.ttl = self.target_ttl();
                    ops.push((ElectionStep::GrantLease, Op::GrantLease { ttl: self.ttl }));
                }
            }
        }
        ops
    }

    fn abandon_attempt(&mut self, now: Micros, ops: &mut Vec<(ElectionStep, Op)>) {
        self.attempt_in_flight = false;
        self.retry_at = now + 150 * MILLISECOND;
        if let Some((lease_id, _)) = self.attempt_lease.take() {
            ops.push((ElectionStep::RevokeLease, Op::RevokeLease(lease_id)));
        }
    }

    fn observe_leader_key(
        &mut self,
        now: Micros,
        record: Option<(LeaderRecord, u64)>,
    ) -> Option<LeadershipChange> {
        if record.is_none() && self.current_leader.is_some() {
            self.vacant_since = now;
        }
        self.current_leader = record.as_ref().map(|r| r.0.clone());
        if self
            .current_leader
            .as_ref()
            .is_some_and(|r| r.node != self.node_name)
        {
            self.former_term = None;
        }
        if fault_injected(InjectedFault::FormerKeyKept)
            && self.leadership.is_none()
            && let Some((r, mod_revision)) = record.as_ref().filter(|r| r.0.node == self.node_name)
        {
            self.incarnation = r.incarnation;
            self.leadership = Some(HeldLeadership {
                term: r.term,
                mod_revision: *mod_revision,
                lease_id: r.lease_id,
                valid_until: now + drift_lower_bound(self.ttl),
                valid_since: now,
                replacement: None,
            });
            let (term, mod_revision) = (r.term, *mod_revision);
            return Some(LeadershipChange::Acquired { term, mod_revision });
        }
        let held = self.leadership.as_ref()?;
        let still = record.as_ref().is_some_and(|(r, mod_revision)| {
            r.incarnation == self.incarnation && *mod_revision == held.mod_revision
        });
        if still {
            return None;
        }
        if let Some((r, mod_revision)) = record
            && r.incarnation == self.incarnation
            && held
                .replacement
                .as_ref()
                .is_some_and(|l| l.lease_id == r.lease_id)
        {
            self.adopt_replacement_lease(mod_revision);
            return None;
        }
        self.leadership = None;
        Some(LeadershipChange::Lost)
    }

    /// The key hangs on the longer grant, surely; returns the other one.
    fn adopt_replacement_lease(&mut self, mod_revision: u64) -> Option<u64> {
        let held = self.leadership.as_mut()?;
        let longer = held.replacement.take()?;
        (held.mod_revision, held.valid_until) = (mod_revision, longer.valid_until);
        self.ttl = longer.ttl;
        Some(std::mem::replace(&mut held.lease_id, longer.lease_id))
    }

    /// Takes an answer; returns what to ask next, and a change of who leads.
    pub fn handle_reply(
        &mut self,
        now: Micros,
        step: ElectionStep,
        reply: Reply,
        sent: Micros,
    ) -> (Vec<(ElectionStep, Op)>, Option<LeadershipChange>) {
        let mut ops = Vec::new();
        let mut change = None;
        match (step, reply) {
            (
                ElectionStep::ReadLeaderKey,
                Reply::Items {
                    items, revision, ..
                },
            ) => {
                self.read_in_flight = false;
                self.leader_key_read = true;
                self.revision = revision;
                let found = items
                    .into_iter()
                    .find(|i| i.path == LEADER_KEY)
                    .and_then(parse_leader_record);
                change = self.observe_leader_key(now, found);
            }
            (ElectionStep::ReadLeaderKey, _) => {
                self.read_in_flight = false;
                self.retry_at = now + 300 * MILLISECOND;
            }
            (ElectionStep::WatchLeaderKey, Reply::Events { events, revision }) => {
                self.watch_in_flight = false;
                self.revision = revision;
                if let Some(e) = events.into_iter().rfind(|e| e.path == LEADER_KEY) {
                    let record = e.value.and_then(|value| {
                        parse_leader_record(Item {
                            path: e.path,
                            value,
                            mod_revision: e.mod_revision,
                        })
                    });
                    // Our own taking may be told here before its answer comes.
                    let own = record
                        .as_ref()
                        .is_some_and(|(r, _)| r.incarnation == self.incarnation)
                        && self.leadership.is_none();
                    if own {
                        self.current_leader = record.map(|r| r.0);
                    } else {
                        change = self.observe_leader_key(now, record);
                    }
                }
            }
            (ElectionStep::WatchLeaderKey, Reply::TooOld) => {
                self.watch_in_flight = false;
                self.leader_key_read = false;
            }
            (ElectionStep::WatchLeaderKey, _) => {
                self.watch_in_flight = false;
                self.retry_at = now + 200 * MILLISECOND;
            }
            (ElectionStep::GrantReplacementLease { ttl }, Reply::Granted { lease_id }) => {
                let Some(h) = &mut self.leadership else {
                    ops.push((ElectionStep::RevokeSpareLease, Op::RevokeLease(lease_id)));
                    return (ops, change);
                };
                h.replacement = Some(ReplacementLease {
                    lease_id,
                    ttl,
                    valid_until: sent + drift_lower_bound(ttl),
                });
                let record = LeaderRecord {
                    node: self.node_name.clone(),
                    incarnation: self.incarnation,
                    term: h.term,
                    lease_id,
                };
                let txn = Transaction::default()
                    .require_revision(LEADER_KEY, h.mod_revision)
                    .set_with_lease(LEADER_KEY, &record, lease_id);
                ops.push((
                    ElectionStep::AttachReplacementLease { lease_id },
                    Op::Transaction(txn),
                ));
            }
            (ElectionStep::AttachReplacementLease { lease_id }, reply) => {
                let waits = self
                    .leadership
                    .as_ref()
                    .and_then(|h| h.replacement.as_ref());
                if waits.is_none_or(|l| l.lease_id != lease_id) {
                    // The watch has told of it, or the lead is gone.
                    return (ops, change);
                }
                match reply {
                    Reply::Applied { revision } => {
                        if let Some(old) = self.adopt_replacement_lease(revision) {
                            log::info!("the grant is {} ms long now", self.ttl / MILLISECOND);
                            ops.push((ElectionStep::RevokeSpareLease, Op::RevokeLease(old)));
                        }
                        self.next_renewal_at = now;
                    }
                    // It may have been applied, or may be yet: both grants are kept up, and the watch
                    // tells if it was.
                    Reply::Lost => self.leader_key_read = false,
                    _ => {
                        if let Some(h) = &mut self.leadership {
                            h.replacement = None;
                        }
                        ops.push((ElectionStep::RevokeSpareLease, Op::RevokeLease(lease_id)));
                    }
                }
            }
            (ElectionStep::GrantReplacementLease { .. } | ElectionStep::RevokeSpareLease, _) => {}
            (ElectionStep::GrantLease, Reply::Granted { lease_id }) => {
                self.attempt_lease = Some((lease_id, sent));
                ops.push((
                    ElectionStep::ReadTerm,
                    Op::List {
                        prefix: TERM_KEY,
                        after: String::new(),
                        limit: 10,
                    },
                ));
            }
            (ElectionStep::ReadTerm, Reply::Items { items, .. }) => {
                let Some((lease_id, granted)) = self.attempt_lease else {
                    return (ops, change);
                };
                let old = items.into_iter().find(|i| i.path == TERM_KEY);
                let mod_revision = old.as_ref().map_or(0, |i| i.mod_revision);
                let stored =
                    old.and_then(|i| serde_json::from_str::<StoredTerm>(i.value.get()).ok());
                let last = stored.map_or(0, |t| t.term);
                let kept = fault_injected(InjectedFault::FormerTermReused)
                    && self.former_term == Some(last);
                let term = if kept { last } else { last + 1 };
                let record = LeaderRecord {
                    node: self.node_name.clone(),
                    incarnation: self.incarnation,
                    term,
                    lease_id,
                };
                let txn = Transaction::default()
                    .require_revision(LEADER_KEY, 0)
                    .require_revision(TERM_KEY, mod_revision)
                    .set_with_lease(LEADER_KEY, &record, lease_id)
                    .set(TERM_KEY, &StoredTerm { term });
                ops.push((
                    ElectionStep::AcquireLeadership {
                        term,
                        lease_id,
                        granted,
                    },
                    Op::Transaction(txn),
                ));
            }
            (
                ElectionStep::AcquireLeadership {
                    term,
                    lease_id,
                    granted,
                },
                Reply::Applied { revision },
            ) => {
                self.attempt_in_flight = false;
                self.attempt_lease = None;
                self.current_leader = Some(LeaderRecord {
                    node: self.node_name.clone(),
                    incarnation: self.incarnation,
                    term,
                    lease_id,
                });
                self.leadership = Some(HeldLeadership {
                    term,
                    mod_revision: revision,
                    lease_id,
                    valid_until: granted + drift_lower_bound(self.ttl),
                    valid_since: granted,
                    replacement: None,
                });
                self.lease_resized_at = now;
                self.next_renewal_at = now;
                change = Some(LeadershipChange::Acquired {
                    term,
                    mod_revision: revision,
                });
            }
            (
                ElectionStep::GrantLease
                | ElectionStep::ReadTerm
                | ElectionStep::AcquireLeadership { .. },
                _,
            ) => {
                // Also when the taking may have been applied: dropping the grant undoes it.
                self.abandon_attempt(now, &mut ops);
                self.leader_key_read = false;
            }
            (ElectionStep::RenewLease { lease_id }, reply) => {
                let Some(h) = self.leadership.as_mut() else {
                    self.renewal_sent_at = None;
                    return (ops, change);
                };
                let lapsed = now >= h.valid_until();
                if let Some(l) = h.replacement.as_mut().filter(|l| l.lease_id == lease_id) {
                    match reply {
                        Reply::Done => {
                            let until = sent + drift_lower_bound(l.ttl);
                            l.valid_until = l.valid_until.max(until);
                            if lapsed {
                                h.valid_since = h.valid_since.max(sent);
                            }
                        }
                        Reply::Absent => {
                            // If the key hung on it, that is gone too; nobody knows.
                            self.leadership = None;
                            self.leader_key_read = false;
                            change = Some(LeadershipChange::Lost);
                        }
                        _ => {}
                    }
                    return (ops, change);
                }
                self.renewal_sent_at = None;
                if h.lease_id != lease_id {
                    return (ops, change);
                }
                match reply {
                    Reply::Done => {
                        h.valid_until = h.valid_until.max(sent + drift_lower_bound(self.ttl));
                        if lapsed {
                            h.valid_since = h.valid_since.max(sent);
                        }
                        self.next_renewal_at = now.max(sent + self.ttl * 2 / 5);
                    }
                    Reply::Absent => {
                        self.leadership = None;
                        self.leader_key_read = false;
                        change = Some(LeadershipChange::Lost);
                    }
                    _ => self.next_renewal_at = now + 150 * MILLISECOND,
                }
            }
            (ElectionStep::RevokeLease, reply) => {
                self.attempt_in_flight = false;
                if matches!(reply, Reply::Unavailable | Reply::Lost) {
                    self.retry_at = now + 200 * MILLISECOND;
                } else {
                    self.leader_key_read = false;
                }
            }
        }
        (ops, change)
    }
}

fn parse_leader_record(item: Item) -> Option<(LeaderRecord, u64)> {
    serde_json::from_str(item.value.get())
        .ok()
        .map(|r| (r, item.mod_revision))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A leader with a grant of 1.5 s, and a state service that has become slow.
    fn slow_leader() -> Election {
        let mut l = Election::new("n-1", 7, (1_500 * MILLISECOND, 3 * SECOND));
        let items = Vec::new();
        let none = |revision| Reply::Items {
            items: Vec::new(),
            truncated: false,
            revision,
        };
        l.tick(SECOND);
        l.handle_reply(SECOND, ElectionStep::ReadLeaderKey, none(1), SECOND);
        l.tick(SECOND);
        l.handle_reply(
            SECOND,
            ElectionStep::GrantLease,
            Reply::Granted { lease_id: 1 },
            SECOND,
        );
        let read = Reply::Items {
            items,
            truncated: false,
            revision: 1,
        };
        l.handle_reply(SECOND, ElectionStep::ReadTerm, read, SECOND);
        let take = ElectionStep::AcquireLeadership {
            term: 1,
            lease_id: 1,
            granted: SECOND,
        };
        let took = l
            .handle_reply(SECOND, take, Reply::Applied { revision: 2 }, SECOND)
            .1;
        assert_eq!(
            took,
            Some(LeadershipChange::Acquired {
                term: 1,
                mod_revision: 2
            })
        );
        for _ in 0..40 {
            l.note_answer_time(300 * MILLISECOND);
        }
        l
    }

    /// Asks for a longer grant at `now`, gets it, and sends the transaction.
    fn lengthen(l: &mut Election, now: Micros) {
        let ops = l.tick(now);
        let asked = ops.iter().find_map(|(step, _)| match step {
            ElectionStep::GrantReplacementLease { ttl } => Some(*ttl),
            _ => None,
        });
        let ttl = asked.expect("a longer grant is asked for");
        assert_eq!(ttl, 3 * SECOND);
        let granted = Reply::Granted { lease_id: 2 };
        let (ops, _) = l.handle_reply(
            now,
            ElectionStep::GrantReplacementLease { ttl },
            granted,
            now,
        );
        assert!(matches!(
            ops[..],
            [(
                ElectionStep::AttachReplacementLease { lease_id: 2 },
                Op::Transaction(_)
            )]
        ));
    }

    fn renewed(ops: &[(ElectionStep, Op)]) -> Vec<u64> {
        let lease_ids = ops.iter().filter_map(|(step, _)| match step {
            ElectionStep::RenewLease { lease_id } => Some(*lease_id),
            _ => None,
        });
        lease_ids.collect()
    }

    #[test]
    fn a_grant_grows_while_the_lead_is_held() {
        let mut l = slow_leader();
        lengthen(&mut l, SECOND);
        let (ops, change) = l.handle_reply(
            SECOND,
            ElectionStep::AttachReplacementLease { lease_id: 2 },
            Reply::Applied { revision: 5 },
            SECOND,
        );
        assert!(
            matches!(
                ops[..],
                [(ElectionStep::RevokeSpareLease, Op::RevokeLease(1))]
            ) && change.is_none()
        );
        assert_eq!(l.leader_key_revision(), Some(5));
        assert!(l.is_valid(3_700 * MILLISECOND) && !l.is_valid(4 * SECOND));
        assert_eq!(renewed(&l.tick(2 * SECOND)), [2]);
    }

    /// While nobody knows on which grant the key hangs, the lead is valid only as long as both are: it
    /// would else go on under a key that went with the other one.
    #[test]
    fn with_the_answer_lost_the_lead_lasts_as_long_as_the_shorter_of_both() {
        let mut l = slow_leader();
        lengthen(&mut l, SECOND);
        assert!(
            l.is_valid(2_400 * MILLISECOND) && !l.is_valid(2_500 * MILLISECOND),
            "the old one's end"
        );
        l.handle_reply(
            SECOND,
            ElectionStep::AttachReplacementLease { lease_id: 2 },
            Reply::Lost,
            SECOND,
        );
        assert_eq!(renewed(&l.tick(2 * SECOND)), [1, 2]);
        for at in [2, 3, 4] {
            l.handle_reply(
                at * SECOND,
                ElectionStep::RenewLease { lease_id: 1 },
                Reply::Done,
                at * SECOND,
            );
        }
        assert!(l.is_valid(3_700 * MILLISECOND), "both hold");
        assert!(
            !l.is_valid(4_200 * MILLISECOND),
            "the longer one was not renewed"
        );
        l.handle_reply(
            4 * SECOND,
            ElectionStep::RenewLease { lease_id: 2 },
            Reply::Done,
            4 * SECOND,
        );
        assert!(l.is_valid(5_300 * MILLISECOND));
        // The key is read, and hangs on the longer one.
        let record = LeaderRecord {
            node: "n-1".to_owned(),
            incarnation: 7,
            term: 1,
            lease_id: 2,
        };
        assert_eq!(l.observe_leader_key(4 * SECOND, Some((record, 9))), None);
        assert_eq!(
            (l.leader_key_revision(), l.is_valid(6_500 * MILLISECOND)),
            (Some(9), true)
        );
        // Had it gone with it, so would the lead.
        let mut gone = slow_leader();
        lengthen(&mut gone, SECOND);
        let (_, change) = gone.handle_reply(
            2 * SECOND,
            ElectionStep::RenewLease { lease_id: 2 },
            Reply::Absent,
            SECOND,
        );
        assert_eq!(change, Some(LeadershipChange::Lost));
    }
}
