//! What workers say of themselves, taken into the ledger.

use super::orders::start;
use super::*;
use crate::maps::HashSet;
use crate::wire::{PartStatus, ReportRow, split_part};
use compact_str::ToCompactString;

/// What a report that is said to be like an earlier one leads to.
#[derive(Debug)]
pub enum Repeat {
    /// There is no such report here.
    Unknown,
    /// This worker must get no 200.
    Refused,
    Answer(Orders),
}

impl Workers {
    /// Takes a worker's report from `/checkin` and returns the answer, or None when this worker
    /// must get no 200 (its machine is gone). The digest, if there is one, is of the report
    /// without its count.
    pub fn report(
        &mut self,
        now: Micros,
        report: Report,
        digest: Option<u128>,
        via: Option<SocketAddr>,
        dir: &mut dyn Directory,
    ) -> Option<Orders> {
        if self.buried.contains(&report.host) {
            return None;
        }
        let newest = self.absorb(now, &report, true, via, dir);
        let base = self.base_token();
        let m = self.machines.get_mut(&report.host)?;
        if newest {
            m.shown = digest;
            if let Some(digest) = digest {
                m.last = Some((digest, Box::new(report)));
            }
        }
        if m.quiet_stored {
            // An answer now would renew a lease that a later leader may count as over.
            return None;
        }
        let mut orders = Vec::new();
        // A report that was overtaken gets no orders: it says nothing of the present.
        if newest {
            Self::collect_stops(now, m, &mut orders, true);
            if m.direct_failures > 0 && m.call.is_none() && m.in_roll {
                let (session, seq) = (m.session, m.seq);
                for ((key, attempt), e) in &mut m.tasks {
                    if e.state == State::Ready && orders.len() < MAX_ORDERS {
                        orders.push(start(&e.uid, key.part, *attempt));
                        e.state = State::Sent;
                        e.delivery = Delivery::Answer { session, seq };
                    }
                }
            }
        }
        m.answered_at = now;
        Some(Orders {
            token: base + m.fence,
            session: None,
            orders,
        })
    }

    /// Takes what a worker answered to another controller that asked it for us.
    pub fn heard_through(&mut self, now: Micros, report: &Report, dir: &mut dyn Directory) {
        // One that is not in the ledger comes by its own report.
        if self.machines.contains_key(&report.host) {
            self.absorb(now, report, false, None, dir);
        }
    }

    /// Takes a report that differs from an earlier one only in its count. What it leads to is
    /// what that report would lead to now; it is only not read again, and where the machine is at
    /// rest not even looked through: at any size most reports are of that kind.
    pub fn repeat(
        &mut self,
        now: Micros,
        row: &ReportRow,
        via: Option<SocketAddr>,
        dir: &mut dyn Directory,
    ) -> Repeat {
        if self.buried.contains(row.host()) {
            return Repeat::Refused;
        }
        let base = self.base_token();
        let digest = row.digest.get();
        let Some(m) = self.machines.get_mut(row.host()) else {
            return Repeat::Unknown;
        };
        let (session, seq) = (row.session.get(), row.seq.get());
        if planted(Bug::FormerDigestsTrusted) && m.last.is_none() {
            let at_rest = Report {
                host: m.id.clone(),
                addr: m
                    .addr
                    .map_or(CompactString::default(), |a| a.to_compact_string()),
                build: m.build.as_str().into(),
                paddock: m.zone.as_str().into(),
                loaners: m.spot,
                session,
                seq,
                token: base + m.fence,
                notice_s: None,
                parts: Vec::new(),
            };
            return match self.report(now, at_rest, None, via, dir) {
                Some(orders) => Repeat::Answer(orders),
                None => Repeat::Refused,
            };
        }
        let Some((_, last)) = m.last.take_if(|l| l.0 == digest) else {
            return Repeat::Unknown;
        };
        if m.shown == Some(digest) && m.session == session && seq > m.seq && m.at_rest() {
            if now >= m.heard_at + self.report_period * 3 {
                self.changed.insert(m.id.clone());
            }
            (m.seq, m.heard_at, m.reported_at, m.answered_at) = (seq, now, now, now);
            self.heard_any_at = now;
            m.via = via;
            m.relayed &= via.is_some();
            if m.holding().next().is_some() {
                m.idle_since = now;
            }
            m.last = Some((digest, last));
            return Repeat::Answer(Orders {
                token: base + m.fence,
                session: None,
                orders: Vec::new(),
            });
        }
        let mut report = *last;
        report.seq = seq;
        match self.report(now, report, Some(digest), via, dir) {
            Some(orders) => Repeat::Answer(orders),
            None => Repeat::Refused,
        }
    }

    /// Takes what a worker says into the ledger; false when it had been overtaken.
    pub(super) fn absorb(
        &mut self,
        now: Micros,
        r: &Report,
        checkin: bool,
        via: Option<SocketAddr>,
        dir: &mut dyn Directory,
    ) -> bool {
        let id = r.host.clone();
        let base = self.base_token();
        let m = self.machines.entry(id.clone()).or_insert_with(|| {
            let mut m = Self::machine(&id, &r.build, &r.paddock, r.loaners, now);
            // Once more a name that was let go: a copy of what it said before proves nothing new.
            (m.session, m.seq) = self.last_words.get(&id).copied().unwrap_or_default();
            m
        });
        self.changed.insert(id.clone());
        let nameless = m.addr.is_none();
        if (r.session, r.seq) <= (m.session, m.seq) && !planted(Bug::CopyTaken) {
            return false;
        }
        m.shown = None;
        // Worker and machine description may change only with the machine, so take it as told.
        m.addr = r.addr.parse().ok().or(m.addr);
        let session_moved = r.session > m.session && m.session > 0;
        // Its lease ran out though it was answered: it may not hear us. It gets no start before it has shown
        // that it does, by a token that only an answer or a command of now can have told it.
        if session_moved && m.heard && now < m.answered_at + self.lease {
            m.fence = (m.fence + 1).min((1 << FENCE_BITS) - 1);
            self.highest_fence = self.highest_fence.max(m.fence);
            m.in_doubt = true;
        }
        m.session = r.session;
        m.seq = r.seq;
        m.token_seen = m.token_seen.max(r.token);
        m.heard_at = now;
        self.heard_any_at = now;
        if m.quiet.take().is_some() {
            m.roll_stale = true;
        }
        if checkin {
            m.reported_at = now;
            m.via = via;
            if via.is_none() {
                // It reaches us, so we reach it.
                m.relayed = false;
            }
        }
        m.notice = r.notice_s.map(|s| now + from_secs(s));
        if m.notice.is_some() {
            self.noticed.insert(id.clone());
        }
        let assumed = planted(Bug::HearingAssumed);
        let first = !m.heard && (r.token >= base || assumed);
        m.heard |= r.token >= base || assumed;
        if r.token >= base + m.fence || assumed {
            m.in_doubt = false;
        }
        if r.token > base + m.fence && r.token < base + (1 << FENCE_BITS) {
            // Only possible if this node lost count; a later term's token is never taken over.
            m.fence = r.token - base;
            self.highest_fence = self.highest_fence.max(m.fence);
        }
        // What is stored as here and not proven, against what this report tells for the first time.
        let unproven = first || !m.heard;
        let known = |key: TaskKey| m.attempts(key).next().is_some();
        let ghosts = m.tasks.iter().filter(|t| t.1.state == State::Ghost);
        let stored: Vec<TaskKey> = if unproven {
            let ghosts = ghosts.map(|((key, _), _)| *key);
            ghosts.filter(|key| !known(*key)).collect()
        } else {
            Vec::new()
        };
        let mut told = Vec::new();
        let mut shown = Vec::new();
        let mut listed = HashSet::default();
        for p in &r.parts {
            let Some((uid, part)) = split_part(&p.part) else {
                continue;
            };
            let (job, spec) = match dir.find(uid) {
                Some((job, spec)) => (job, Some(spec)),
                None => (dir.stranger(uid), None),
            };
            let key = TaskKey { job, part };
            listed.insert((key, p.attempt));
            // The stored placement has turned into a real one; but only a report under this term tells the
            // attempt that it stands for. An earlier word, or a copy of one, may tell of an attempt before that:
            // were the placement taken for it, the task would be free once that attempt is gone.
            let ripe = m.heard || planted(Bug::PlacementShownEarly);
            if p.attempt != 0 && ripe && m.tasks.remove(&(key, 0)).is_some() {
                shown.push(key);
            }
            let known = m.tasks.contains_key(&(key, p.attempt));
            let e = m.tasks.entry((key, p.attempt)).or_insert_with(|| {
                Self::entry(
                    State::Sent,
                    p.attempt,
                    uid.into(),
                    spec.clone(),
                    Delivery::Settled,
                    now,
                )
            });
            e.delivery = Delivery::Settled;
            // The answer to this very report stops it: were it left to a command of its own, a worker that
            // hears answers alone would have its lease renewed with the task on it.
            let cancelled = spec.is_some() && dir.cancelled(job);
            if !known && (spec.is_none() || cancelled) {
                e.halt = Some(Halt {
                    grace_s: 0.0,
                    sent: None,
                    why: if cancelled {
                        Stop::Cancelled
                    } else {
                        Stop::Needless
                    },
                });
            }
            if unproven && !known {
                let ended = p.status == PartStatus::Ended;
                told.push((key, if ended { Told::Ended } else { Told::There }));
            }
            let fresh = !known && spec.is_some() && p.status != PartStatus::Ended;
            let event = |what| Event {
                machine: id.clone(),
                key,
                attempt: p.attempt,
                what,
            };
            if fresh {
                self.events.push(event(What::Seen));
            }
            match p.status {
                _ if e.state == State::Ended => {}
                PartStatus::Fetching => e.state = State::Fetching,
                PartStatus::Running | PartStatus::Gathering | PartStatus::Saving => {
                    if e.running_since.is_none() {
                        e.running_since = Some(now);
                        if let Some(s) = &e.spec {
                            let held = m.images.insert(s.image.clone(), (now, s.image_gb));
                            m.images_stale |= held.is_none();
                        }
                        self.events.push(event(What::Running));
                    }
                    e.state = if p.status == PartStatus::Saving {
                        State::Saving
                    } else {
                        State::Running
                    };
                }
                PartStatus::Ended => {
                    e.state = State::Ended;
                    let since = e.running_since.filter(|_| e.timed);
                    let ran = since.map_or(0, |t| now.saturating_sub(t));
                    let cause = p.cause.clone().unwrap_or_else(|| "unknown".into());
                    e.cause = Some(cause.clone());
                    if e.spec.is_none() {
                        e.reap_ok = true;
                    }
                    self.events.push(event(What::Ended {
                        cause,
                        saved: p.saved == Some(true),
                        ran,
                        stop: e.halt.map(|h| h.why),
                    }));
                }
            }
        }
        if unproven {
            self.squared.square(&stored, &told, first);
        }
        let heard = m.heard;
        let (session, seq, token) = (r.session, r.seq, r.token);
        let mut gone = Vec::new();
        for ((key, attempt), e) in &m.tasks {
            if listed.contains(&(*key, *attempt)) {
                continue;
            }
            let proof = if e.state == State::Ghost {
                // Only a report under this term rules out an older leader's late start.
                heard
            } else {
                match e.delivery {
                    Delivery::Unsent => false,
                    Delivery::Settled => true,
                    Delivery::Direct {
                        session: s,
                        token: t,
                        open,
                    } => session > s || (!open && token > t),
                    Delivery::Answer { session: s, seq: n } => session > s || (checkin && seq > n),
                }
            };
            if proof {
                gone.push((*key, *attempt, e.state == State::Ended));
            }
        }
        for key in shown {
            self.events.push(Event {
                machine: id.clone(),
                key,
                attempt: 0,
                what: What::Shown,
            });
        }
        let why = if session_moved { LEASE_OVER } else { NOT_THERE };
        for (key, attempt, ended) in gone {
            m.tasks.remove(&(key, attempt));
            if !ended {
                self.events.push(Event {
                    machine: id.clone(),
                    key,
                    attempt,
                    what: What::Gone { why },
                });
            }
        }
        if m.holding().next().is_some() {
            m.idle_since = now;
        }
        if m.roll_stale || m.images_stale || (nameless && !m.in_roll) {
            self.to_store.insert(id.clone());
        }
        if m.tasks.values().any(Entry::to_send) {
            self.hot.insert(id);
        }
        true
    }
}
