//! Following the leader, and the steps from its end to the first decision of the next.

use super::*;
use crate::mirror::{Mirror, Sum, Want};
use crate::recovery::Phase;
use crate::standby::{
    AGAIN, Cold, ENDED_WAITS, FILL_EVERY, FOLLOW_EVERY, OVERDUE, Told, followers, wait,
};
use crate::wire::{EpochRow, KIND_EPOCH};
use zerocopy::FromBytes;

/// A process that is to end does not ask for the lead again.
const LEAVING: Micros = 3600 * SECOND;

/// Until a takeover is told in the log, if not enough machines are heard before.
const TELL_AT_LAST: Micros = 20 * SECOND;

/// What this node follows, and what it knows of its copy.
#[derive(Default)]
pub(super) struct Following {
    pub(super) mirror: Mirror,
    /// Counts the mirrors: answers for one that was thrown away are not taken.
    round: u64,
    /// Questions under way.
    open: usize,
    next_at: Micros,
    asked_at: Micros,
    /// The leader's sum that the mirror has not come up to yet.
    told: Option<Told>,
    /// The epoch of the last sum that agreed.
    checked: Option<u64>,
    /// The node that led last, also when its key is gone.
    leader: Option<String>,
    rank: Option<usize>,
    /// Why the last mirror was thrown away, and how many were.
    thrown_for: Option<Cold>,
    thrown: u64,
    /// The state service does not tell all changes: only reading anew is left.
    untold: bool,
}

/// What a new leader has still to see before it decides.
pub(super) struct Loading {
    /// The epoch of its own take: nothing older will do.
    need: u64,
    /// Why it does not start from what it followed.
    cold: Option<Cold>,
}

/// A takeover in times, for the log and for operators.
pub(super) struct Takeover {
    cold: Option<Cold>,
    /// Since the leader before was last heard of, as far as this node can tell.
    silent: Micros,
    led_at: Micros,
    checked_at: Option<Micros>,
    pub(super) passed_at: Option<Micros>,
    half_at: Option<Micros>,
    most_at: Option<Micros>,
    held: usize,
    machines: usize,
    told: bool,
    epoch: u64,
    sum: Sum,
}

/// What a new leader was built from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BuiltFrom {
    pub term: u64,
    /// From what it had followed; otherwise read anew.
    pub warm: bool,
    pub epoch: u64,
    /// Over the keys and stamps.
    pub sum: Sum,
}

impl Node {
    /// Follows the leader, if this node is one of those that do.
    pub(super) fn follow(&mut self) {
        let t = self.now.steady;
        // Its own take may be told by the watch before its answer comes: what it followed is needed then.
        let known = self.following.leader.as_ref();
        let record = self.lead.leader();
        let other = record.filter(|r| r.node != self.settings.label && Some(&r.node) != known);
        if let Some(leader) = other.map(|r| r.node.clone()) {
            self.following.leader = Some(leader);
            self.following.rank = self.standby_rank();
            // What the leader before told is of no use against what this one tells.
            (self.following.told, self.following.checked) = (None, None);
        }
        let f = &mut self.following;
        let warm = f.mirror.whole() && f.checked.is_some();
        let yields = self.lead.ended_leading() && !self.settings.others.is_empty();
        let more = if yields { ENDED_WAITS } else { 0 };
        self.lead.set_wait(wait(f.rank, warm) + more);
        if self.led.is_some() {
            return;
        }
        if !self.props.follow || f.rank.is_none() || f.untold {
            if f.mirror.keys() > 0 {
                self.forget_mirror();
            }
            return;
        }
        // Its word is overdue: once, ahead of time.
        let word = self.progress_at;
        let overdue = word > 0 && t >= word + OVERDUE && f.asked_at < word + OVERDUE;
        let due = t >= f.next_at || (overdue && f.mirror.whole());
        if f.open > 0 || !due || self.store.failing() || !self.store.can_look(t) {
            return;
        }
        let Some(want) = f.mirror.wants().into_iter().next() else {
            return;
        };
        let pause = match want {
            Want::Page { .. } => FILL_EVERY,
            Want::Changes { .. } => FOLLOW_EVERY,
        };
        (f.next_at, f.asked_at) = (t + pause, t);
        self.ask_mirror(want);
    }

    fn followers_of(&self, leader: &str) -> Vec<&str> {
        let s = &self.settings;
        let peers = s.others.iter().map(|p| (&*p.label, &*p.domain));
        let nodes: Vec<_> = peers.chain([(&*s.label, &*s.domain)]).collect();
        followers(leader, &nodes)
    }

    /// This node's place among those that follow the leader.
    fn standby_rank(&self) -> Option<usize> {
        let leader = self.following.leader.as_ref()?;
        let chosen = self.followers_of(leader);
        chosen.iter().position(|n| *n == self.settings.label)
    }

    fn ask_mirror(&mut self, want: Want) {
        let round = self.following.round;
        self.following.open += 1;
        let op = match &want {
            Want::Page { prefix, after } => {
                self.following.mirror.asked(prefix);
                Op::List {
                    prefix,
                    after: after.clone(),
                    limit: 500,
                }
            }
            Want::Changes { from } => Op::Watch {
                prefix: "",
                from: *from,
                block: 0,
            },
        };
        let rank = if self.led.is_some() {
            Rank::Leader
        } else {
            Rank::Look
        };
        let purpose = For::Mirror { round, want };
        self.store.ask(self.now.steady, purpose, rank, op, SECOND);
    }

    pub(super) fn mirror_answered(&mut self, round: u64, want: Want, reply: Reply) {
        let f = &mut self.following;
        if round != f.round {
            return;
        }
        f.open = f.open.saturating_sub(1);
        match (want, reply) {
            (
                Want::Page { prefix, .. },
                Reply::Items {
                    items,
                    truncated,
                    epoch,
                },
            ) => {
                f.mirror.page(prefix, items, truncated, epoch);
                if f.untold {
                    f.mirror.settle_for_pages();
                }
            }
            (Want::Page { prefix, after }, _) => f.mirror.unanswered(prefix, after),
            (Want::Changes { .. }, Reply::Events { events, epoch }) => {
                f.mirror.apply(events, epoch);
            }
            (Want::Changes { .. }, Reply::TooOld) => self.throw_mirror(Cold::Gap),
            (Want::Changes { .. }, Reply::Refused(reason)) => {
                log::error!("the state service refuses to tell all changes: {reason}");
                f.untold = true;
                self.throw_mirror(Cold::NotTold);
            }
            (Want::Changes { .. }, _) => {}
        }
        self.compare_sums();
        self.load_on();
    }

    fn forget_mirror(&mut self) {
        let f = &mut self.following;
        f.mirror = Mirror::default();
        f.round += 1;
        (f.open, f.told, f.checked) = (0, None, None);
    }

    /// A mirror that was ever wrong is not mended: it is read anew.
    fn throw_mirror(&mut self, cold: Cold) {
        log::warn!("the mirror is thrown away: {}", cold.why());
        self.forget_mirror();
        self.following.thrown += 1;
        self.following.thrown_for = Some(cold);
        self.following.next_at = self.now.steady + AGAIN;
        if let Some(loading) = self.led.as_mut().and_then(|l| l.loading.as_mut()) {
            loading.cold = Some(cold);
        }
    }

    /// The leader's word on the live jobs, from a frame.
    pub(super) fn told_epoch(&mut self, body: &[u8]) {
        let Ok(row) = EpochRow::read_from_bytes(body) else {
            return;
        };
        let leader = self.lead.leader();
        if self.led.is_some() || leader.is_none_or(|r| r.term != row.term.get()) {
            return;
        }
        self.following.told = Some(Told {
            epoch: row.epoch.get(),
            sum: Sum(row.sum.get()),
        });
        self.compare_sums();
    }

    fn compare_sums(&mut self) {
        let f = &mut self.following;
        let Some(told) = f.told else { return };
        let Some(mine) = f.mirror.jobs_at(told.epoch) else {
            return;
        };
        f.told = None;
        if mine == told.sum || planted(Bug::MirrorUnchecked) {
            f.checked = Some(told.epoch);
        } else {
            self.throw_mirror(Cold::Differs);
        }
    }

    /// Tells those that follow what this leader knows of the live jobs.
    pub(super) fn tell_epoch(&mut self) {
        let Some(led) = &self.led else { return };
        let row = EpochRow {
            term: led.term.into(),
            epoch: led.jobs_epoch.into(),
            sum: led.jobs_sum.0.into(),
        };
        let chosen = self.followers_of(&self.settings.label);
        let follows = |p: &&Peer| chosen.contains(&&*p.label);
        let peers = self.settings.others.iter().filter(follows);
        let dests: Vec<SocketAddr> = peers.map(|p| p.endpoint).collect();
        for dest in dests {
            self.tickets += 1;
            self.out.push(Output::PeerCall {
                ticket: self.tickets,
                dest,
                kind: KIND_EPOCH,
                addr: self.settings.label.clone(),
                body: row.as_bytes().to_vec(),
                timeout: SECOND,
            });
        }
    }

    /// The first step of a takeover: whether what was followed will do.
    pub(super) fn begin_load(&mut self, stamp: u64) -> (Loading, Takeover) {
        let t = self.now.steady;
        let f = &self.following;
        let cold = if f.mirror.keys() == 0 {
            Some(f.thrown_for.unwrap_or(Cold::NotFollowing))
        } else if !f.mirror.whole() {
            Some(Cold::Filling)
        } else if f.checked.is_none() {
            Some(Cold::Unchecked)
        } else {
            None
        };
        if cold.is_some() {
            self.forget_mirror();
        }
        let word = self.progress_at.max(self.hint.as_ref().map_or(0, |h| h.1));
        let takeover = Takeover {
            cold,
            silent: if word > 0 { t - word } else { 0 },
            led_at: t,
            checked_at: None,
            passed_at: None,
            half_at: None,
            most_at: None,
            held: 0,
            machines: 0,
            told: false,
            epoch: 0,
            sum: Sum::default(),
        };
        (Loading { need: stamp, cold }, takeover)
    }

    /// Asks what is still missing, or, when nothing is, builds the leader.
    pub(super) fn load_on(&mut self) {
        let Some(loading) = self.led.as_ref().and_then(|l| l.loading.as_ref()) else {
            return;
        };
        let mirror = &self.following.mirror;
        let stale = mirror.epoch() < loading.need && !planted(Bug::CatchUpSkipped);
        if mirror.whole() && !stale {
            let (epoch, sum) = (mirror.epoch(), mirror.sum());
            let cold = loading.cold;
            let mirror = std::mem::take(&mut self.following.mirror);
            self.forget_mirror();
            self.following.thrown_for = None;
            let held = self.finish_load(mirror);
            let t = self.now.steady;
            if let Some(led) = &mut self.led {
                let taken = &mut led.takeover;
                (taken.cold, taken.checked_at) = (cold, Some(t));
                (taken.held, taken.machines) = (held, led.workers.machines.len());
                (taken.epoch, taken.sum) = (epoch, sum);
            }
            return;
        }
        for want in mirror.wants() {
            // One question for changes at a time; pages are asked once each.
            if matches!(want, Want::Page { .. }) || self.following.open == 0 {
                self.ask_mirror(want);
            }
        }
    }

    /// How many machines have shown the new term, and the line about the takeover.
    pub(super) fn watch_takeover(&mut self) {
        let t = self.now.steady;
        let Some(led) = &mut self.led else { return };
        let taken = &mut led.takeover;
        if taken.told && led.recovered {
            return;
        }
        let here = led.workers.machines.values().filter(|m| m.in_roll);
        let heard = here.filter(|m| m.heard).count();
        led.recovery.look(t, heard, led.workers.orders);
        if led.recovery.phase(t) == Phase::Over && !led.recovered {
            led.recovered = true;
            let s = led.workers.squared;
            log::info!(
                "recovered term={} stored={} heard={} of={} agreed={} ended_meanwhile={} missing={} strange={} \
                 leftover={} orders={} most_orders_in_1s={} ms={}",
                led.term,
                taken.held,
                led.recovery.heard(),
                taken.machines,
                s.agreed,
                s.ended_meanwhile,
                s.missing,
                s.strange,
                s.leftover,
                led.workers.orders,
                led.recovery.most_orders(),
                led.recovery.ms(t)
            );
        }
        if taken.told {
            return;
        }
        if 2 * heard >= taken.machines {
            taken.half_at = taken.half_at.or(Some(t));
        }
        if 20 * heard >= 19 * taken.machines {
            taken.most_at = taken.most_at.or(Some(t));
        }
        let started = led.workers.first_start;
        let over = t >= taken.led_at + TELL_AT_LAST;
        if !over && (taken.most_at.is_none() || started.is_none()) {
            return;
        }
        taken.told = true;
        let ms = |at: Option<Micros>| {
            at.map_or("none".to_owned(), |at| {
                (at.saturating_sub(taken.led_at) / MILLI).to_string()
            })
        };
        let warm = taken.cold.map_or("yes", Cold::why);
        log::info!(
            "takeover term={} warm={warm} silent_ms={} check_ms={} first_decision_ms={} first_start_ms={} \
             heard_half_ms={} heard_95_ms={} machines={} held={} epoch={}",
            led.term,
            taken.silent / MILLI,
            ms(taken.checked_at),
            ms(taken.passed_at),
            ms(started),
            ms(taken.half_at),
            ms(taken.most_at),
            taken.machines,
            taken.held,
            taken.epoch
        );
    }

    /// This process is to end: a leader tells the standbys its last epoch and lets the lead go, so that
    /// nobody waits for the end of its grant.
    pub fn leave(&mut self, now: Now) {
        self.set_now(now);
        if self.leads() {
            log::info!("leaving the lead, since this process is to end");
            self.tell_epoch();
        }
        self.resign(LEAVING);
    }

    /// Whether nothing holds this process any more.
    pub fn has_left(&self) -> bool {
        self.lead.idle()
    }

    /// What the present leader was built from; for tests.
    pub fn built_from(&self) -> Option<BuiltFrom> {
        let led = self.led.as_ref().filter(|l| l.loading.is_none())?;
        Some(BuiltFrom {
            term: led.term,
            warm: led.takeover.cold.is_none(),
            epoch: led.takeover.epoch,
            sum: led.takeover.sum,
        })
    }

    /// Passes over attempt numbers of a leader, for tests of their end.
    pub fn skip_attempts(&mut self, count: u64) {
        if let Some(led) = &mut self.led {
            led.workers.skip_attempts(count);
        }
    }

    /// Makes what this node follows wrong in one stamp; for tests of what finds that.
    pub fn spoil_mirror(&mut self) -> bool {
        self.following.mirror.spoil()
    }

    /// What this node follows, for operators.
    pub(super) fn inspect_following(&self) -> Value {
        let f = &self.following;
        let why = if self.led.is_some() {
            Some("leading")
        } else if !self.props.follow {
            Some("standby.follow=0")
        } else if f.rank.is_none() {
            Some("others follow")
        } else if f.mirror.keys() == 0 {
            Some(f.thrown_for.map_or("not asked yet", Cold::why))
        } else if !f.mirror.whole() {
            Some("filling")
        } else if f.checked.is_none() {
            Some("unchecked")
        } else {
            None
        };
        json!({
            "follows": f.rank.is_some().then_some(&f.leader),
            "rank": f.rank,
            "warm": why.is_none(),
            "why_not": why,
            "epoch": f.mirror.epoch(),
            "keys": f.mirror.keys(),
            "behind_ms": (f.asked_at > 0).then(|| self.now.steady.saturating_sub(f.asked_at) / MILLI),
            "checked_epoch": f.checked,
            "thrown_away": f.thrown,
        })
    }
}
