//! Who leads: a grant at the state service, the `leader` key attached to it, and a term that
//! only grows. Leading counts only until the last renewal's send time plus its length, less a
//! margin; past it there are no orders and no 200 to workers, until a renewal says the grant
//! lived on.

use crate::clock::{MILLI, Micros, SECOND, surely_within};
use crate::planted::{Bug, planted};
use crate::store::{Item, Op, Reply, Txn};
use serde::{Deserialize, Serialize};

pub const LEADER_KEY: &str = "leader";
pub const TERM_KEY: &str = "term";

/// What a grant's length allows for: so many times what an answer takes, and what this process stops.
const SLOW_TIMES: f64 = 6.0;
const STOP_TIMES: f64 = 2.0;
/// A process that stands still for long needs a longer grant than the settings' longest, up to so many times
/// that: the next takeover finds it with even more to do, and costs all workers new connections.
const STOPPED_TIMES: Micros = 2;
const STOP_HALF_LIFE: Micros = 10 * SECOND;
/// Between two tries to get a longer grant.
const LONGER_AGAIN: Micros = 5 * SECOND;
const CALM: Micros = 15 * SECOND;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    pub node: String,
    /// Tells one run of a process from the next.
    pub run: u64,
    pub term: u64,
    pub permit: u64,
}

#[derive(Serialize, Deserialize)]
struct StoredTerm {
    term: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    Look,
    Watch,
    Grant,
    ReadTerm,
    Take {
        term: u64,
        permit: u64,
        granted: Micros,
    },
    Extend {
        permit: u64,
    },
    DropGrant,
    /// A longer grant for the leader, and its key under that one.
    GrantLonger {
        ttl: Micros,
    },
    Longer {
        permit: u64,
    },
    /// A grant that the key does not hang on.
    DropOther,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// This node leads from now on, under this term.
    Took { term: u64, stamp: u64 },
    /// This node's leading is over for good.
    Lost,
}

struct Held {
    term: u64,
    stamp: u64,
    permit: u64,
    valid_until: Micros,
    /// Since when it has been valid without a break, by the send time of what made it so.
    unbroken_since: Micros,
    /// Another grant, longer or shorter, that the key may hang on already.
    longer: Option<Longer>,
}

/// While the transaction that hangs the key on it has no answer, both grants are renewed, and the lead
/// is valid only as long as both are: the key lives as long as one of them, nobody knows which.
struct Longer {
    permit: u64,
    ttl: Micros,
    valid_until: Micros,
}

impl Held {
    fn valid_until(&self) -> Micros {
        let longer = self.longer.as_ref().map(|l| l.valid_until);
        longer.map_or(self.valid_until, |l| l.min(self.valid_until))
    }
}

pub struct Leadership {
    label: String,
    run: u64,
    /// Of the grant held or asked for.
    ttl: Micros,
    /// Between these it follows what renewals take.
    ttl_bounds: (Micros, Micros),
    /// What the state service's answers take, and for how long this process usually does nothing.
    slow: f64,
    stop: f64,
    stop_at: Micros,
    known: Option<LeaderRecord>,
    /// The term that the former life of this process led under.
    former: Option<u64>,
    held: Option<Held>,
    /// A grant for the current attempt, and when it was asked for.
    grant: Option<(u64, Micros)>,
    attempting: bool,
    /// When the renewal under way was sent.
    extending: Option<Micros>,
    next_extend: Micros,
    epoch: u64,
    looked: bool,
    looking: bool,
    watching: bool,
    retry_at: Micros,
    /// Until then no attempt to lead.
    rest_until: Micros,
    /// A longer grant is being asked for, or was not to be had: not again before.
    longer_at: Micros,
    /// Since when the lead that another node had is free, and how long others are let go first.
    free_at: Micros,
    wait: Micros,
}

impl Leadership {
    pub fn new(label: &str, run: u64, ttl_bounds: (Micros, Micros)) -> Self {
        Self {
            label: label.to_owned(),
            run,
            ttl: ttl_bounds.1,
            ttl_bounds,
            slow: 0.0,
            stop: 0.0,
            stop_at: 0,
            known: None,
            former: None,
            held: None,
            grant: None,
            attempting: false,
            extending: None,
            next_extend: 0,
            epoch: 0,
            looked: false,
            looking: false,
            watching: false,
            retry_at: 0,
            rest_until: 0,
            longer_at: 0,
            free_at: 0,
            wait: 0,
        }
    }

    /// Gives up leading: ends the grant, and leaves it to the others for `rest`.
    pub fn resign(&mut self, now: Micros, rest: Micros) -> Vec<(Step, Op)> {
        let Some(held) = self.held.take() else {
            return Vec::new();
        };
        self.attempting = true;
        self.looked = false;
        self.rest_until = now + rest;
        vec![(Step::DropGrant, Op::Drop(held.permit))]
    }

    /// The state service took that long for an answer. Rises soon, falls slowly.
    pub fn note_answer(&mut self, took: Micros) {
        let took = took as f64;
        let weight = if took > self.slow { 0.2 } else { 0.05 };
        self.slow += weight * (took - self.slow);
    }

    /// What came in has waited that long in this process.
    pub fn note_stop(&mut self, now: Micros, waited: Micros) {
        let since = now.saturating_sub(self.stop_at) as f64;
        self.stop_at = now;
        let aged = self.stop * 0.5f64.powf(since / STOP_HALF_LIFE as f64);
        self.stop = aged.max(waited as f64);
    }

    /// How long a grant has to be now: short, so that another leads soon when this node ends, and
    /// long enough that neither a late answer nor a usual stop of this process costs the lead.
    fn wanted_ttl(&self) -> Micros {
        let (least, most) = self.ttl_bounds;
        let stops = STOP_TIMES * self.stop;
        let usual = (least + (SLOW_TIMES * self.slow + stops) as Micros).min(most);
        usual.max((least + stops as Micros).min(STOPPED_TIMES * most))
    }

    /// How long others are let go first when a leader is gone.
    pub fn set_wait(&mut self, wait: Micros) {
        self.wait = wait;
    }

    /// Whether this process leads no more since it ended: it may end again, so another should lead.
    pub fn ended_leading(&self) -> bool {
        self.former.is_some()
    }

    /// When this node may ask for the lead.
    fn may_take_at(&self) -> Micros {
        let turn = if self.free_at > 0 {
            self.free_at + self.wait
        } else {
            0
        };
        self.rest_until.max(turn)
    }

    /// Whether this node neither leads nor is about to.
    pub fn idle(&self) -> bool {
        self.held.is_none() && !self.attempting
    }

    /// The node whose key stands, as far as this node knows.
    pub fn leader(&self) -> Option<&LeaderRecord> {
        self.known.as_ref()
    }

    /// The stamp of our leader key, on which every write of the leader is conditional.
    pub fn stamp(&self) -> Option<u64> {
        self.held.as_ref().map(|h| h.stamp)
    }

    pub fn term(&self) -> Option<u64> {
        self.held.as_ref().map(|h| h.term)
    }

    /// True while nobody else can lead.
    pub fn valid(&self, now: Micros) -> bool {
        let held = self.held.as_ref();
        held.is_some_and(|h| now < h.valid_until() || planted(Bug::AnswerPastGrant))
    }

    /// Since when nobody else can have led without a break in which this node could not act; before that
    /// others may have decided what it was not told.
    pub fn unbroken_since(&self) -> Micros {
        self.held.as_ref().map_or(Micros::MAX, |h| h.unbroken_since)
    }

    /// For how much longer this node may act as leader without another renewal.
    pub fn left(&self, now: Micros) -> Micros {
        let held = self.held.as_ref();
        held.map_or(0, |h| h.valid_until().saturating_sub(now))
    }

    /// When `tick` next has something to ask; never while it only waits for answers.
    pub fn wake_at(&self) -> Micros {
        let idle = if self.held.is_some() {
            match self.extending {
                Some(sent) => sent + self.ttl / 4,
                None => self.next_extend,
            }
        } else {
            let wants = match &self.known {
                Some(r) => r.node == self.label && r.run != self.run,
                None => true,
            };
            if self.looked && wants && !self.attempting {
                self.retry_at.max(self.may_take_at())
            } else {
                Micros::MAX
            }
        };
        let look = !self.looked && !self.looking;
        let watch = self.looked && !self.watching;
        if look || watch {
            idle.min(self.retry_at)
        } else {
            idle
        }
    }

    /// What to ask of the state service now.
    pub fn tick(&mut self, now: Micros) -> Vec<(Step, Op)> {
        let mut ops = Vec::new();
        if !self.looked {
            if !self.looking && now >= self.retry_at {
                self.looking = true;
                ops.push((
                    Step::Look,
                    Op::List {
                        prefix: LEADER_KEY,
                        after: String::new(),
                        limit: 10,
                    },
                ));
            }
            // A leader goes on renewing while it looks: it would else lose the lead for a late answer.
            if self.held.is_none() {
                return ops;
            }
        } else if !self.watching && now >= self.retry_at {
            self.watching = true;
            ops.push((
                Step::Watch,
                Op::Watch {
                    prefix: LEADER_KEY,
                    from: self.epoch,
                    block: 20 * SECOND,
                },
            ));
        }
        if let Some(h) = &self.held {
            // One that takes long is not waited for: the next one may be quicker.
            let due = match self.extending {
                Some(sent) => now >= sent + self.ttl / 4,
                None => now >= self.next_extend,
            };
            if due {
                self.extending = Some(now);
                let longer = h.longer.iter().map(|l| l.permit);
                for permit in [h.permit].into_iter().chain(longer) {
                    ops.push((Step::Extend { permit }, Op::Extend(permit)));
                }
            }
            let ttl = self.wanted_ttl();
            // Longer at once when that is needed; shorter again only after a while of calm.
            let longer = now >= self.longer_at && 3 * ttl > 4 * self.ttl;
            let shorter = now >= self.longer_at + CALM && 4 * ttl < 3 * self.ttl;
            if h.longer.is_none() && (longer || shorter) {
                self.longer_at = now + LONGER_AGAIN;
                ops.push((Step::GrantLonger { ttl }, Op::Grant { ttl }));
            }
        } else if !self.attempting && now >= self.retry_at {
            match &self.known {
                // An earlier run of this node held it; that process is no more.
                Some(r) if r.node == self.label && r.run != self.run => {
                    self.attempting = true;
                    self.former = Some(r.term);
                    ops.push((Step::DropGrant, Op::Drop(r.permit)));
                }
                Some(_) => {}
                None if now < self.may_take_at() => {}
                None => {
                    self.attempting = true;
                    self.ttl = self.wanted_ttl();
                    ops.push((Step::Grant, Op::Grant { ttl: self.ttl }));
                }
            }
        }
        ops
    }

    fn give_up_attempt(&mut self, now: Micros, ops: &mut Vec<(Step, Op)>) {
        self.attempting = false;
        self.retry_at = now + 150 * MILLI;
        if let Some((permit, _)) = self.grant.take() {
            ops.push((Step::DropGrant, Op::Drop(permit)));
        }
    }

    fn see(&mut self, now: Micros, record: Option<(LeaderRecord, u64)>) -> Option<Change> {
        if record.is_none() && self.known.is_some() {
            self.free_at = now;
        }
        self.known = record.as_ref().map(|r| r.0.clone());
        if self.known.as_ref().is_some_and(|r| r.node != self.label) {
            self.former = None;
        }
        if planted(Bug::FormerKeyKept)
            && self.held.is_none()
            && let Some((r, stamp)) = record.as_ref().filter(|r| r.0.node == self.label)
        {
            self.run = r.run;
            self.held = Some(Held {
                term: r.term,
                stamp: *stamp,
                permit: r.permit,
                valid_until: now + surely_within(self.ttl),
                unbroken_since: now,
                longer: None,
            });
            let (term, stamp) = (r.term, *stamp);
            return Some(Change::Took { term, stamp });
        }
        let held = self.held.as_ref()?;
        let still = record
            .as_ref()
            .is_some_and(|(r, stamp)| r.run == self.run && *stamp == held.stamp);
        if still {
            return None;
        }
        if let Some((r, stamp)) = record
            && r.run == self.run
            && held.longer.as_ref().is_some_and(|l| l.permit == r.permit)
        {
            self.hang_on_longer(stamp);
            return None;
        }
        self.held = None;
        Some(Change::Lost)
    }

    /// The key hangs on the longer grant, surely; returns the other one.
    fn hang_on_longer(&mut self, stamp: u64) -> Option<u64> {
        let held = self.held.as_mut()?;
        let longer = held.longer.take()?;
        (held.stamp, held.valid_until) = (stamp, longer.valid_until);
        self.ttl = longer.ttl;
        Some(std::mem::replace(&mut held.permit, longer.permit))
    }

    /// Takes an answer; returns what to ask next, and a change of who leads.
    pub fn reply(
        &mut self,
        now: Micros,
        step: Step,
        reply: Reply,
        sent: Micros,
    ) -> (Vec<(Step, Op)>, Option<Change>) {
        let mut ops = Vec::new();
        let mut change = None;
        match (step, reply) {
            (Step::Look, Reply::Items { items, epoch, .. }) => {
                self.looking = false;
                self.looked = true;
                self.epoch = epoch;
                let found = items
                    .into_iter()
                    .find(|i| i.path == LEADER_KEY)
                    .and_then(read_record);
                change = self.see(now, found);
            }
            (Step::Look, _) => {
                self.looking = false;
                self.retry_at = now + 300 * MILLI;
            }
            (Step::Watch, Reply::Events { events, epoch }) => {
                self.watching = false;
                self.epoch = epoch;
                if let Some(e) = events.into_iter().rfind(|e| e.path == LEADER_KEY) {
                    let record = e.value.and_then(|value| {
                        read_record(Item {
                            path: e.path,
                            value,
                            stamp: e.stamp,
                        })
                    });
                    // Our own taking may be told here before its answer comes.
                    let own = record.as_ref().is_some_and(|(r, _)| r.run == self.run)
                        && self.held.is_none();
                    if own {
                        self.known = record.map(|r| r.0);
                    } else {
                        change = self.see(now, record);
                    }
                }
            }
            (Step::Watch, Reply::TooOld) => {
                self.watching = false;
                self.looked = false;
            }
            (Step::Watch, _) => {
                self.watching = false;
                self.retry_at = now + 200 * MILLI;
            }
            (Step::GrantLonger { ttl }, Reply::Granted { permit }) => {
                let Some(h) = &mut self.held else {
                    ops.push((Step::DropOther, Op::Drop(permit)));
                    return (ops, change);
                };
                h.longer = Some(Longer {
                    permit,
                    ttl,
                    valid_until: sent + surely_within(ttl),
                });
                let record = LeaderRecord {
                    node: self.label.clone(),
                    run: self.run,
                    term: h.term,
                    permit,
                };
                let txn = Txn::default()
                    .require(LEADER_KEY, h.stamp)
                    .set_leased(LEADER_KEY, &record, permit);
                ops.push((Step::Longer { permit }, Op::Txn(txn)));
            }
            (Step::Longer { permit }, reply) => {
                let waits = self.held.as_ref().and_then(|h| h.longer.as_ref());
                if waits.is_none_or(|l| l.permit != permit) {
                    // The watch has told of it, or the lead is gone.
                    return (ops, change);
                }
                match reply {
                    Reply::Applied { epoch } => {
                        if let Some(old) = self.hang_on_longer(epoch) {
                            log::info!("the grant is {} ms long now", self.ttl / MILLI);
                            ops.push((Step::DropOther, Op::Drop(old)));
                        }
                        self.next_extend = now;
                    }
                    // It may have been applied, or may be yet: both grants are kept up, and the watch
                    // tells if it was.
                    Reply::Lost => self.looked = false,
                    _ => {
                        if let Some(h) = &mut self.held {
                            h.longer = None;
                        }
                        ops.push((Step::DropOther, Op::Drop(permit)));
                    }
                }
            }
            (Step::GrantLonger { .. } | Step::DropOther, _) => {}
            (Step::Grant, Reply::Granted { permit }) => {
                self.grant = Some((permit, sent));
                ops.push((
                    Step::ReadTerm,
                    Op::List {
                        prefix: TERM_KEY,
                        after: String::new(),
                        limit: 10,
                    },
                ));
            }
            (Step::ReadTerm, Reply::Items { items, .. }) => {
                let Some((permit, granted)) = self.grant else {
                    return (ops, change);
                };
                let old = items.into_iter().find(|i| i.path == TERM_KEY);
                let stamp = old.as_ref().map_or(0, |i| i.stamp);
                let stored =
                    old.and_then(|i| serde_json::from_str::<StoredTerm>(i.value.get()).ok());
                let last = stored.map_or(0, |t| t.term);
                let kept = planted(Bug::FormerTermReused) && self.former == Some(last);
                let term = if kept { last } else { last + 1 };
                let record = LeaderRecord {
                    node: self.label.clone(),
                    run: self.run,
                    term,
                    permit,
                };
                let txn = Txn::default()
                    .require(LEADER_KEY, 0)
                    .require(TERM_KEY, stamp)
                    .set_leased(LEADER_KEY, &record, permit)
                    .set(TERM_KEY, &StoredTerm { term });
                ops.push((
                    Step::Take {
                        term,
                        permit,
                        granted,
                    },
                    Op::Txn(txn),
                ));
            }
            (
                Step::Take {
                    term,
                    permit,
                    granted,
                },
                Reply::Applied { epoch },
            ) => {
                self.attempting = false;
                self.grant = None;
                self.known = Some(LeaderRecord {
                    node: self.label.clone(),
                    run: self.run,
                    term,
                    permit,
                });
                self.held = Some(Held {
                    term,
                    stamp: epoch,
                    permit,
                    valid_until: granted + surely_within(self.ttl),
                    unbroken_since: granted,
                    longer: None,
                });
                self.longer_at = now;
                self.next_extend = now;
                change = Some(Change::Took { term, stamp: epoch });
            }
            (Step::Grant | Step::ReadTerm | Step::Take { .. }, _) => {
                // Also when the taking may have been applied: dropping the grant undoes it.
                self.give_up_attempt(now, &mut ops);
                self.looked = false;
            }
            (Step::Extend { permit }, reply) => {
                let Some(h) = self.held.as_mut() else {
                    self.extending = None;
                    return (ops, change);
                };
                let lapsed = now >= h.valid_until();
                if let Some(l) = h.longer.as_mut().filter(|l| l.permit == permit) {
                    match reply {
                        Reply::Done => {
                            let until = sent + surely_within(l.ttl);
                            l.valid_until = l.valid_until.max(until);
                            if lapsed {
                                h.unbroken_since = h.unbroken_since.max(sent);
                            }
                        }
                        Reply::Absent => {
                            // If the key hung on it, that is gone too; nobody knows.
                            self.held = None;
                            self.looked = false;
                            change = Some(Change::Lost);
                        }
                        _ => {}
                    }
                    return (ops, change);
                }
                self.extending = None;
                if h.permit != permit {
                    return (ops, change);
                }
                match reply {
                    Reply::Done => {
                        h.valid_until = h.valid_until.max(sent + surely_within(self.ttl));
                        if lapsed {
                            h.unbroken_since = h.unbroken_since.max(sent);
                        }
                        self.next_extend = now.max(sent + self.ttl * 2 / 5);
                    }
                    Reply::Absent => {
                        self.held = None;
                        self.looked = false;
                        change = Some(Change::Lost);
                    }
                    _ => self.next_extend = now + 150 * MILLI,
                }
            }
            (Step::DropGrant, reply) => {
                self.attempting = false;
                if matches!(reply, Reply::Unavailable | Reply::Lost) {
                    self.retry_at = now + 200 * MILLI;
                } else {
                    self.looked = false;
                }
            }
        }
        (ops, change)
    }
}

fn read_record(item: Item) -> Option<(LeaderRecord, u64)> {
    serde_json::from_str(item.value.get())
        .ok()
        .map(|r| (r, item.stamp))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A leader with a grant of 1.5 s, and a state service that has become slow.
    fn slow_leader() -> Leadership {
        let mut l = Leadership::new("n-1", 7, (1_500 * MILLI, 3 * SECOND));
        let items = Vec::new();
        let none = |epoch| Reply::Items {
            items: Vec::new(),
            truncated: false,
            epoch,
        };
        l.tick(SECOND);
        l.reply(SECOND, Step::Look, none(1), SECOND);
        l.tick(SECOND);
        l.reply(SECOND, Step::Grant, Reply::Granted { permit: 1 }, SECOND);
        let read = Reply::Items {
            items,
            truncated: false,
            epoch: 1,
        };
        l.reply(SECOND, Step::ReadTerm, read, SECOND);
        let take = Step::Take {
            term: 1,
            permit: 1,
            granted: SECOND,
        };
        let took = l.reply(SECOND, take, Reply::Applied { epoch: 2 }, SECOND).1;
        assert_eq!(took, Some(Change::Took { term: 1, stamp: 2 }));
        for _ in 0..40 {
            l.note_answer(300 * MILLI);
        }
        l
    }

    /// Asks for a longer grant at `now`, gets it, and sends the transaction.
    fn lengthen(l: &mut Leadership, now: Micros) {
        let ops = l.tick(now);
        let asked = ops.iter().find_map(|(step, _)| match step {
            Step::GrantLonger { ttl } => Some(*ttl),
            _ => None,
        });
        let ttl = asked.expect("a longer grant is asked for");
        assert_eq!(ttl, 3 * SECOND);
        let granted = Reply::Granted { permit: 2 };
        let (ops, _) = l.reply(now, Step::GrantLonger { ttl }, granted, now);
        assert!(matches!(
            ops[..],
            [(Step::Longer { permit: 2 }, Op::Txn(_))]
        ));
    }

    fn renewed(ops: &[(Step, Op)]) -> Vec<u64> {
        let permits = ops.iter().filter_map(|(step, _)| match step {
            Step::Extend { permit } => Some(*permit),
            _ => None,
        });
        permits.collect()
    }

    #[test]
    fn a_grant_grows_while_the_lead_is_held() {
        let mut l = slow_leader();
        lengthen(&mut l, SECOND);
        let (ops, change) = l.reply(
            SECOND,
            Step::Longer { permit: 2 },
            Reply::Applied { epoch: 5 },
            SECOND,
        );
        assert!(matches!(ops[..], [(Step::DropOther, Op::Drop(1))]) && change.is_none());
        assert_eq!(l.stamp(), Some(5));
        assert!(l.valid(3_700 * MILLI) && !l.valid(4 * SECOND));
        assert_eq!(renewed(&l.tick(2 * SECOND)), [2]);
    }

    /// While nobody knows on which grant the key hangs, the lead is valid only as long as both are: it
    /// would else go on under a key that went with the other one.
    #[test]
    fn with_the_answer_lost_the_lead_lasts_as_long_as_the_shorter_of_both() {
        let mut l = slow_leader();
        lengthen(&mut l, SECOND);
        assert!(
            l.valid(2_400 * MILLI) && !l.valid(2_500 * MILLI),
            "the old one's end"
        );
        l.reply(SECOND, Step::Longer { permit: 2 }, Reply::Lost, SECOND);
        assert_eq!(renewed(&l.tick(2 * SECOND)), [1, 2]);
        for at in [2, 3, 4] {
            l.reply(
                at * SECOND,
                Step::Extend { permit: 1 },
                Reply::Done,
                at * SECOND,
            );
        }
        assert!(l.valid(3_700 * MILLI), "both hold");
        assert!(!l.valid(4_200 * MILLI), "the longer one was not renewed");
        l.reply(
            4 * SECOND,
            Step::Extend { permit: 2 },
            Reply::Done,
            4 * SECOND,
        );
        assert!(l.valid(5_300 * MILLI));
        // The key is read, and hangs on the longer one.
        let record = LeaderRecord {
            node: "n-1".to_owned(),
            run: 7,
            term: 1,
            permit: 2,
        };
        assert_eq!(l.see(4 * SECOND, Some((record, 9))), None);
        assert_eq!((l.stamp(), l.valid(6_500 * MILLI)), (Some(9), true));
        // Had it gone with it, so would the lead.
        let mut gone = slow_leader();
        lengthen(&mut gone, SECOND);
        let (_, change) = gone.reply(
            2 * SECOND,
            Step::Extend { permit: 2 },
            Reply::Absent,
            SECOND,
        );
        assert_eq!(change, Some(Change::Lost));
    }
}
