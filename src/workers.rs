//! The ledger of what may be on each machine, and the orders on their way there.
//!
//! A task leaves the ledger only on proof: a report that is newer and also excludes every start
//! still in flight, a session that moved on, a machine that is returned or failed, or a lease
//! that is surely over. That a task or a machine is missing from some list proves nothing.

mod departed;
mod machine;
mod orders;
mod reports;

use crate::clock::{MILLI, Micros, Now, SECOND, from_secs, surely_over};
use crate::layout::can_name;
use crate::maps::HashMap;
use crate::net::{Outcome, Output, Ticket};
use crate::planted::{Bug, planted};
use crate::recovery::{Tally, Told};
use crate::service::Stop;
use crate::wire::{JobSpec, Order, Orders, Report};
use compact_str::CompactString;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::Arc;

pub use departed::{Departed, REMEMBERED_FOR};
pub use machine::{CARRIED_FIRST, Entry, Machine, State};
use machine::{Delivery, Halt, OpenCall};
use orders::DirectWay;
pub use reports::Repeat;

/// Bits of the token below the leader's term: the fence against lost direct commands.
const FENCE_BITS: u32 = 24;
/// Bits of an attempt number below the leader's term.
const ATTEMPT_BITS: u32 = 32;
/// With no more than that many numbers left below those of the next term, a leader goes on under that.
const ATTEMPTS_LEFT: u64 = 1 << 24;
const FENCES_LEFT: u64 = 1 << 12;
/// Reports list everything until it is reaped; an answer needs a bound all the same.
const MAX_ORDERS: usize = 300;
/// How often all machines are looked at for what only time makes due.
const SCAN: Micros = 250 * MILLI;
/// Of a large fleet a scan looks at that part only: what is repeated at all is repeated after seconds,
/// and a walk over all tasks four times a second took a twentieth of a leader's time.
const SCAN_PARTS: usize = 4;
/// A fleet of that size is looked at whole.
const SCAN_WHOLE: usize = 256;
/// The lowest token of a term.
pub fn first_token(term: u64) -> u64 {
    term << FENCE_BITS
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskKey {
    /// Number of the job within this leader's term.
    pub job: u32,
    pub part: u32,
}

/// Why an attempt is surely not there any more, as far as its end was a loss.
pub const LEASE_OVER: &str = "the worker's lease ran out";
pub const MACHINE_GONE: &str = "its machine is gone";
pub const NOT_THERE: &str = "not on its machine";

/// What the ledger learned.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    pub machine: Arc<str>,
    pub key: TaskKey,
    pub attempt: u64,
    pub what: What,
}

#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// A task that the ledger had not placed there is reported.
    Seen,
    Running,
    /// A stored placement is the one that a report has shown.
    Shown,
    Ended {
        cause: CompactString,
        saved: bool,
        ran: Micros,
        /// Why it was told to stop, if it was.
        stop: Option<Stop>,
    },
    /// Surely not there any more, or never was.
    Gone {
        why: &'static str,
    },
}

/// How a reported task relates to the jobs; asked of the job table.
pub trait Directory {
    /// The job's number and description, when it is live or being cancelled.
    fn find(&self, uid: &str) -> Option<(u32, Arc<JobSpec>)>;
    /// Whether its user has cancelled it, so that nothing of it may stay.
    fn cancelled(&self, job: u32) -> bool;
    /// A new number for a job that is over or unknown, so that its tasks can be tracked.
    fn stranger(&mut self, uid: &str) -> u32;
}

pub struct Workers {
    term: u64,
    took_over: Micros,
    lease: Micros,
    report_period: Micros,
    pub machines: BTreeMap<Arc<str>, Machine>,
    buried: Departed<()>,
    /// Session and count of the last report of machines that went without a word.
    last_words: Departed<(u64, u64)>,
    calls: HashMap<Ticket, Arc<str>>,
    peers: Vec<SocketAddr>,
    next_attempt: u64,
    /// The highest fence of any machine.
    highest_fence: u64,
    pub events: Vec<Event>,
    /// Machines whose tasks or fitness changed since the scheduler last looked.
    changed: BTreeSet<Arc<str>>,
    /// Machines that may have something to be sent now.
    hot: BTreeSet<Arc<str>>,
    /// Machines that said that they are about to be taken away.
    noticed: BTreeSet<Arc<str>>,
    /// Machines whose stored entry may have to be written (again).
    to_store: BTreeSet<Arc<str>>,
    scan_at: Micros,
    /// The last machine of the part that was looked at in the last scan.
    scanned: Option<Arc<str>>,
    direct: DirectWay,
    /// When any machine was last heard.
    pub heard_any_at: Micros,
    /// How what was stored and what machines said at their first word agreed.
    pub squared: Tally,
    /// Orders sent.
    pub orders: u64,
    /// When the first start of this term was sent.
    pub first_start: Option<Micros>,
    /// How far behind its inputs this node is.
    pub lag: Micros,
    /// How many machines `flush` has looked at: the cost of an event must not grow with them.
    pub looked_at: u64,
}

impl Workers {
    pub fn new(
        term: u64,
        now: Micros,
        lease: Micros,
        report_period: Micros,
        peers: Vec<SocketAddr>,
    ) -> Self {
        Self {
            term,
            took_over: now,
            lease,
            report_period,
            machines: BTreeMap::new(),
            buried: Departed::new("machines returned or failed"),
            last_words: Departed::new("machines gone without a word"),
            calls: HashMap::default(),
            peers,
            // An attempt number is used once: the term makes it new, the count keeps it so.
            next_attempt: if planted(Bug::AttemptReused) {
                0
            } else {
                term << ATTEMPT_BITS
            },
            highest_fence: 0,
            events: Vec::new(),
            changed: BTreeSet::new(),
            hot: BTreeSet::new(),
            noticed: BTreeSet::new(),
            to_store: BTreeSet::new(),
            scan_at: now,
            scanned: None,
            direct: DirectWay::default(),
            heard_any_at: now,
            squared: Tally::default(),
            orders: 0,
            first_start: None,
            lag: 0,
            looked_at: 0,
        }
    }

    /// The machines that changed since the last call.
    pub fn take_changed(&mut self) -> BTreeSet<Arc<str>> {
        std::mem::take(&mut self.changed)
    }

    /// Machines that said that they are about to be taken away, as far as they are still there.
    pub fn noticed(&mut self) -> impl Iterator<Item = &Machine> {
        let machines = &self.machines;
        let there = |id: &Arc<str>| machines.get(id).is_some_and(|m| m.notice.is_some());
        self.noticed.retain(there);
        self.noticed.iter().filter_map(|id| machines.get(id))
    }

    /// What is stored of a machine is to be written again.
    pub fn restore(&mut self, id: &Arc<str>) {
        if let Some(m) = self.machines.get_mut(id) {
            m.roll_stale = true;
            self.to_store.insert(id.clone());
        }
    }

    /// The machines whose stored entry may have to be written since the last call.
    pub fn take_to_store(&mut self) -> BTreeSet<Arc<str>> {
        std::mem::take(&mut self.to_store)
    }

    /// The next part of the machines, in the order of names; after the last comes the first again.
    fn next_part(&mut self, now: Micros) -> Vec<Arc<str>> {
        // After a takeover all wait to be asked, or for what was not asked to be taken back.
        let most = if now < self.took_over + self.lease {
            usize::MAX
        } else {
            (self.machines.len() / SCAN_PARTS).max(SCAN_WHOLE)
        };
        let from = match self.scanned.take() {
            Some(id) if most < self.machines.len() => Bound::Excluded(id),
            _ => Bound::Unbounded,
        };
        let part = self.machines.range::<Arc<str>, _>((from, Bound::Unbounded));
        let part: Vec<Arc<str>> = part.take(most).map(|m| m.0.clone()).collect();
        self.scanned = part.last().filter(|_| part.len() == most).cloned();
        part
    }

    /// Says that a machine's fitness changed outside of the ledger.
    pub fn touch(&mut self, id: &Arc<str>) {
        self.changed.insert(id.clone());
    }

    fn base_token(&self) -> u64 {
        first_token(self.term)
    }

    fn token(&self, m: &Machine) -> u64 {
        self.base_token() + m.fence
    }

    /// A machine that earlier leaders may have started tasks on.
    pub fn add_from_roll(
        &mut self,
        id: Arc<str>,
        addr: &str,
        build: &str,
        zone: &str,
        spot: bool,
        now: Micros,
    ) {
        let m = self
            .machines
            .entry(id.clone())
            .or_insert_with(|| Self::machine(&id, build, zone, spot, now));
        m.in_roll = true;
        m.addr = m.addr.or(addr.parse().ok());
        self.changed.insert(id);
    }

    /// An earlier leader's mark: nobody has answered the machine or started anything there
    /// since, and nobody will before the mark is removed from the store.
    pub fn load_quiet(&mut self, id: &str, quiet: Micros, now: Now, time_bound: Micros) {
        let over = quiet + surely_over(self.lease) + 2 * time_bound + SECOND;
        if let Some(m) = self.machines.get_mut(id) {
            m.quiet = Some(quiet);
            m.quiet_stored = true;
            m.quiet_end = Some(now.steady + over.saturating_sub(now.wall));
        }
    }

    /// Marks machines that hold tasks and have been silent for long; the marks are to be stored.
    pub fn mark_quiet(&mut self, now: Now, since: Micros) {
        let silence = self.report_period * 3;
        for m in self.machines.values_mut() {
            // Before it was heard under this term, only an earlier leader can have answered it.
            let before = if m.heard { 0 } else { self.took_over };
            let contact = m.heard_at.max(m.answered_at).max(before);
            if m.in_roll
                && !m.quiet_stored
                && !m.tasks.is_empty()
                && now.steady > contact.max(since) + silence
            {
                m.quiet = Some(now.wall.saturating_sub(now.steady - contact));
                m.quiet_stored = true;
                m.roll_stale = true;
                self.changed.insert(m.id.clone());
                self.to_store.insert(m.id.clone());
            }
        }
    }

    /// A stored placement: until its machine has spoken, the task may be there.
    pub fn add_ghost(
        &mut self,
        machine: &Arc<str>,
        key: TaskKey,
        spec: &Arc<JobSpec>,
        now: Micros,
    ) -> bool {
        let Some(m) = self.machines.get_mut(machine) else {
            return false;
        };
        if m.heard || m.tasks.keys().any(|(k, _)| *k == key) {
            return m.tasks.keys().any(|(k, _)| *k == key);
        }
        self.changed.insert(machine.clone());
        m.tasks.insert(
            (key, 0),
            Self::entry(
                State::Ghost,
                0,
                spec.uid.clone(),
                Some(spec.clone()),
                Delivery::Unsent,
                now,
            ),
        );
        true
    }

    /// An attempt number that no leader has used or will use.
    pub fn new_attempt(&mut self) -> u64 {
        self.next_attempt += 1;
        self.next_attempt
    }

    /// Whether the attempt numbers, or the fences of some machine, are about to reach those of the next term. Past
    /// them a number would stand for two attempts, and a command that was given up could not be told from a new one.
    pub fn numbers_run_out(&self) -> bool {
        let attempts = self.next_attempt & ((1 << ATTEMPT_BITS) - 1);
        attempts >= (1 << ATTEMPT_BITS) - ATTEMPTS_LEFT
            || self.highest_fence >= (1 << FENCE_BITS) - FENCES_LEFT
    }

    /// Passes over attempt numbers, for tests of their end.
    pub fn skip_attempts(&mut self, count: u64) {
        self.next_attempt += count;
    }

    /// Takes the room; nothing is sent before `confirm`.
    pub fn plan(
        &mut self,
        machine: &Arc<str>,
        key: TaskKey,
        attempt: u64,
        spec: &Arc<JobSpec>,
        now: Micros,
    ) {
        if let Some(m) = self.machines.get_mut(machine) {
            self.changed.insert(machine.clone());
            m.tasks.insert(
                (key, attempt),
                Self::entry(
                    State::Planned,
                    attempt,
                    spec.uid.clone(),
                    Some(spec.clone()),
                    Delivery::Unsent,
                    now,
                ),
            );
        }
        if planted(Bug::StartBeforeStored) {
            self.confirm(machine, key, attempt);
        }
    }

    /// The placement is stored: its start may go out.
    pub fn confirm(&mut self, machine: &Arc<str>, key: TaskKey, attempt: u64) {
        if let Some(e) = self
            .machines
            .get_mut(machine)
            .and_then(|m| m.tasks.get_mut(&(key, attempt)))
            && e.state == State::Planned
        {
            e.state = State::Ready;
            self.hot.insert(machine.clone());
        }
    }

    /// Takes back what was surely never sent.
    pub fn withdraw(&mut self, machine: &Arc<str>, key: TaskKey, attempt: u64) {
        if let Some(m) = self.machines.get_mut(machine)
            && let Some(e) = m.tasks.get(&(key, attempt))
            && matches!(e.state, State::Planned | State::Ready)
        {
            m.tasks.remove(&(key, attempt));
            self.changed.insert(machine.clone());
            self.events.push(Event {
                machine: machine.clone(),
                key,
                attempt,
                what: What::Gone { why: "withdrawn" },
            });
        }
    }

    /// Stops a task; repeated until a report proves it gone. A shorter grace replaces a longer.
    pub fn halt(
        &mut self,
        machine: &Arc<str>,
        key: TaskKey,
        attempt: u64,
        grace_s: f64,
        why: Stop,
    ) {
        let Some(m) = self.machines.get_mut(machine) else {
            return;
        };
        let Some(e) = m.tasks.get_mut(&(key, attempt)) else {
            return;
        };
        match e.state {
            // A ghost has no known attempt to stop; its machine's first report decides.
            State::Ended | State::Ghost => {}
            State::Planned | State::Ready => self.withdraw(machine, key, attempt),
            _ if e.halt.is_none_or(|h| grace_s < h.grace_s) => {
                e.halt = Some(Halt {
                    grace_s,
                    sent: None,
                    why: e.halt.map_or(why, |h| h.why),
                });
                self.hot.insert(machine.clone());
                self.changed.insert(machine.clone());
            }
            _ => {}
        }
    }

    /// The ending is stored or of no use: the worker may drop it.
    pub fn allow_reap(&mut self, machine: &Arc<str>, key: TaskKey, attempt: u64) {
        if let Some(e) = self
            .machines
            .get_mut(machine)
            .and_then(|m| m.tasks.get_mut(&(key, attempt)))
        {
            e.reap_ok = true;
        }
    }

    pub fn owns(&self, ticket: Ticket) -> bool {
        self.calls.contains_key(&ticket)
    }

    /// The end of a machine's lease, on the safe side.
    fn lease_end(&self, m: &Machine) -> Micros {
        let lease = surely_over(self.lease);
        let contact = match m.answered_at.max(m.heard_at) {
            0 => 0,
            at => at + lease,
        };
        let earlier = if m.heard {
            0
        } else {
            let held = if planted(Bug::HoldLetGo) {
                SECOND
            } else {
                lease
            };
            let takeover = self.took_over + held;
            m.quiet_end.map_or(takeover, |q| q.min(takeover))
        };
        contact.max(earlier)
    }

    /// How many machines have not been heard for three report periods.
    pub fn silent(&self, now: Micros) -> usize {
        let silence = self.report_period * 3;
        let silent = |m: &&Machine| now > m.heard_at.max(self.took_over) + silence;
        self.machines.values().filter(silent).count()
    }

    /// Machines that answer nobody: no report for `silence`, and calls failed by every way. When
    /// much of a zone is silent the network is to blame, and nothing is said.
    pub fn unreachable(&self, now: Micros, since: Micros, silence: Micros) -> Vec<Arc<str>> {
        let silent = |m: &Machine| {
            now > m.heard_at.max(self.took_over).max(since) + silence && m.direct_failures >= 3
        };
        let mut zones: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for m in self.machines.values() {
            let z = zones.entry(&m.zone).or_default();
            z.0 += usize::from(silent(m));
            z.1 += 1;
        }
        let fine = |zone: &str| zones.get(zone).is_some_and(|z| z.0 == 1 || z.0 * 3 <= z.1);
        self.machines
            .values()
            .filter(|m| !m.returning && silent(m) && fine(&m.zone))
            .map(|m| m.id.clone())
            .collect()
    }

    /// Frees what a lease that is surely over has killed.
    pub fn expire(&mut self, now: Micros) {
        let over: Vec<Arc<str>> = self
            .machines
            .values()
            .filter(|m| !m.tasks.is_empty() && now > self.lease_end(m))
            .map(|m| m.id.clone())
            .collect();
        for id in over {
            self.clear(&id, LEASE_OVER);
            if let Some(m) = self.machines.get_mut(&id) {
                m.heard = false;
                m.in_doubt = false;
            }
        }
    }

    fn clear(&mut self, id: &Arc<str>, why: &'static str) {
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        self.changed.insert(id.clone());
        for ((key, attempt), e) in std::mem::take(&mut m.tasks) {
            if e.state != State::Ended {
                self.events.push(Event {
                    machine: id.clone(),
                    key,
                    attempt,
                    what: What::Gone { why },
                });
            }
        }
    }

    /// The machine is surely gone: returned with 200, or listed as failed.
    pub fn bury(&mut self, now: Micros, id: &Arc<str>) {
        let fleet = self.machines.len();
        self.clear(id, MACHINE_GONE);
        self.machines.remove(id);
        self.buried.insert(now, fleet, id.clone(), ());
    }

    /// A machine that nobody lists and whose lease is long over leaves the ledger. Were it to come back, it
    /// would be taken as a new one, by what it says from now on.
    pub fn let_go(&mut self, now: Micros, id: &Arc<str>) {
        let fleet = self.machines.len();
        if let Some(m) = self.machines.remove(id) {
            let last = (m.session, m.seq);
            self.last_words.insert(now, fleet, id.clone(), last);
        }
        self.changed.insert(id.clone());
    }

    pub fn is_buried(&self, id: &str) -> bool {
        self.buried.contains(id)
    }

    /// True when nothing can run there: its lease is surely over and it stayed silent.
    pub fn surely_empty(&self, m: &Machine, now: Micros) -> bool {
        m.tasks.is_empty() && now > self.lease_end(m)
    }

    /// What waits to be sent goes with the next `flush`; only the scan needs a time.
    pub fn wake_at(&self, now: Micros) -> Micros {
        if self.scan_at > now {
            self.scan_at
        } else {
            now + SCAN
        }
    }

    pub fn token_of(&self, id: &str) -> Option<u64> {
        self.machines.get(id).map(|m| self.token(m))
    }
}
