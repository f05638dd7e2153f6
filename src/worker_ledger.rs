//! The ledger of what may be on each machine, and the orders on their way there.
//!
//! A task leaves the ledger only on proof: a report that is newer and also excludes every start
//! still in flight, a session that moved on, a machine that is returned or failed, or a lease
//! that is surely over. That a task or a machine is missing from some list proves nothing.

mod commands;
mod heartbeat;
mod machine;

use crate::accounting::StopReason;
use crate::clock::{MILLISECOND, Micros, Now, SECOND, drift_upper_bound, from_secs};
use crate::fault_injection::{InjectedFault, fault_injected};
use crate::messages::{Outcome, Output, Ticket};
use crate::reconciliation::{ReconciliationCounts, ReportedState};
use crate::schema::is_storable_name;
use crate::seeded_hash::{HashMap, HashSet};
use crate::task_id::{JobDirectory, TaskId};
use crate::wire::{Command, Commands, Heartbeat, JobSpec};
use compact_str::CompactString;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::Arc;

use commands::DirectPathHealth;
pub use heartbeat::RepeatOutcome;
use machine::{Delivery, InFlightCall, StopRequest};
pub use machine::{Machine, PROXY_PROBE_HEAD_START, TaskEntry, TaskState};

/// Bits of the token below the leader's term: the fence against lost direct commands.
const FENCE_COUNTER_BITS: u32 = 24;
/// Reports list everything until it is reaped; an answer needs a bound all the same.
const COMMANDS_PER_ANSWER_MAX: usize = 300;
const TOMBSTONES_MAX: usize = 4096;
/// How often all machines are looked at for what only time makes due.
const SCAN_INTERVAL: Micros = 250 * MILLISECOND;
/// Of a large fleet a scan looks at that part only: what is repeated at all is repeated after seconds,
/// and a walk over all tasks four times a second took a twentieth of a leader's time.
const SCAN_PARTS: usize = 4;
/// A fleet of that size is looked at whole.
const FULL_SCAN_MACHINES: usize = 256;
/// The lowest token of a term.
pub fn first_fencing_token(term: u64) -> u64 {
    term << FENCE_COUNTER_BITS
}

/// Why an attempt is surely not there any more, as far as its end was a loss.
pub const LEASE_EXPIRED: &str = "the worker's lease ran out";
pub const MACHINE_GONE: &str = "its machine is gone";
pub const NOT_THERE: &str = "not on its machine";

/// What the ledger learned.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskEvent {
    pub machine: Arc<str>,
    pub task: TaskId,
    pub attempt: u64,
    pub kind: TaskEventKind,
}

#[derive(Clone, Debug, PartialEq)]
pub enum TaskEventKind {
    /// A task that the ledger had not placed there is reported.
    Discovered,
    Started,
    /// A stored placement is the one that a report has shown.
    PlacementConfirmed,
    Ended {
        cause: CompactString,
        saved: bool,
        ran: Micros,
        /// Why it was told to stop, if it was.
        stop: Option<StopReason>,
    },
    /// Surely not there any more, or never was.
    Lost {
        why: &'static str,
    },
}

pub struct WorkerLedger {
    term: u64,
    elected_at: Micros,
    lease: Micros,
    report_period: Micros,
    pub machines: BTreeMap<Arc<str>, Machine>,
    tombstones: HashSet<Arc<str>>,
    /// Session and count of the last report of machines that went without a word.
    last_observed: HashMap<Arc<str>, (u64, u64)>,
    tombstone_order: VecDeque<Arc<str>>,
    calls: HashMap<Ticket, Arc<str>>,
    peers: Vec<SocketAddr>,
    next_attempt: u64,
    pub events: Vec<TaskEvent>,
    /// Machines whose tasks or fitness changed since the scheduler last looked.
    changed_machines: BTreeSet<Arc<str>>,
    /// Machines that may have something to be sent now.
    machines_to_send: BTreeSet<Arc<str>>,
    /// Machines that said that they are about to be taken away.
    noticed_machines: BTreeSet<Arc<str>>,
    /// Machines whose stored entry may have to be written (again).
    registry_updates: BTreeSet<Arc<str>>,
    next_scan_at: Micros,
    /// The last machine of the part that was looked at in the last scan.
    scan_position: Option<Arc<str>>,
    direct_path: DirectPathHealth,
    /// When any machine was last heard.
    pub any_machine_seen_at: Micros,
    /// How what was stored and what machines said at their first word agreed.
    pub reconciled: ReconciliationCounts,
    /// Orders sent.
    pub commands_sent: u64,
    /// When the first start of this term was sent.
    pub first_start_at: Option<Micros>,
    /// How far behind its inputs this node is.
    pub loop_lag: Micros,
    /// How many machines `flush` has looked at: the cost of an event must not grow with them.
    pub machines_examined: u64,
}

impl WorkerLedger {
    pub fn new(
        term: u64,
        now: Micros,
        lease: Micros,
        report_period: Micros,
        peers: Vec<SocketAddr>,
    ) -> Self {
        Self {
            term,
            elected_at: now,
            lease,
            report_period,
            machines: BTreeMap::new(),
            tombstones: HashSet::default(),
            last_observed: HashMap::default(),
            tombstone_order: VecDeque::new(),
            calls: HashMap::default(),
            peers,
            // An attempt number is used once: the term makes it new, the count keeps it so.
            next_attempt: if fault_injected(InjectedFault::AttemptReused) {
                0
            } else {
                term << 32
            },
            events: Vec::new(),
            changed_machines: BTreeSet::new(),
            machines_to_send: BTreeSet::new(),
            noticed_machines: BTreeSet::new(),
            registry_updates: BTreeSet::new(),
            next_scan_at: now,
            scan_position: None,
            direct_path: DirectPathHealth::default(),
            any_machine_seen_at: now,
            reconciled: ReconciliationCounts::default(),
            commands_sent: 0,
            first_start_at: None,
            loop_lag: 0,
            machines_examined: 0,
        }
    }

    /// The machines that changed since the last call.
    pub fn take_changed(&mut self) -> BTreeSet<Arc<str>> {
        std::mem::take(&mut self.changed_machines)
    }

    /// Machines that said that they are about to be taken away, as far as they are still there.
    pub fn noticed_machines(&mut self) -> impl Iterator<Item = &Machine> {
        let machines = &self.machines;
        let there = |id: &Arc<str>| machines.get(id).is_some_and(|m| m.reclaim_at.is_some());
        self.noticed_machines.retain(there);
        self.noticed_machines
            .iter()
            .filter_map(|id| machines.get(id))
    }

    /// What is stored of a machine is to be written again.
    pub fn mark_registry_stale(&mut self, id: &Arc<str>) {
        if let Some(m) = self.machines.get_mut(id) {
            m.registry_stale = true;
            self.registry_updates.insert(id.clone());
        }
    }

    /// The machines whose stored entry may have to be written since the last call.
    pub fn take_registry_updates(&mut self) -> BTreeSet<Arc<str>> {
        std::mem::take(&mut self.registry_updates)
    }

    /// The next part of the machines, in the order of names; after the last comes the first again.
    fn next_scan_part(&mut self, now: Micros) -> Vec<Arc<str>> {
        // After a takeover all wait to be asked, or for what was not asked to be taken back.
        let most = if now < self.elected_at + self.lease {
            usize::MAX
        } else {
            (self.machines.len() / SCAN_PARTS).max(FULL_SCAN_MACHINES)
        };
        let from = match self.scan_position.take() {
            Some(id) if most < self.machines.len() => Bound::Excluded(id),
            _ => Bound::Unbounded,
        };
        let part = self.machines.range::<Arc<str>, _>((from, Bound::Unbounded));
        let part: Vec<Arc<str>> = part.take(most).map(|m| m.0.clone()).collect();
        self.scan_position = part.last().filter(|_| part.len() == most).cloned();
        part
    }

    /// Says that a machine's fitness changed outside of the ledger.
    pub fn mark_changed(&mut self, id: &Arc<str>) {
        self.changed_machines.insert(id.clone());
    }

    fn base_fencing_token(&self) -> u64 {
        first_fencing_token(self.term)
    }

    fn fencing_token(&self, m: &Machine) -> u64 {
        self.base_fencing_token() + m.fence_counter
    }

    /// A machine that earlier leaders may have started tasks on.
    pub fn add_registered_machine(
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
        m.registered = true;
        m.address = m.address.or(addr.parse().ok());
        self.changed_machines.insert(id);
    }

    /// An earlier leader's mark: nobody has answered the machine or started anything there
    /// since, and nobody will before the mark is removed from the store.
    pub fn load_silence_mark(&mut self, id: &str, quiet: Micros, now: Now, time_bound: Micros) {
        let over = quiet + drift_upper_bound(self.lease) + 2 * time_bound + SECOND;
        if let Some(m) = self.machines.get_mut(id) {
            m.silent_since = Some(quiet);
            m.silence_stored = true;
            m.silence_lease_end = Some(now.steady + over.saturating_sub(now.wall));
        }
    }

    /// Marks machines that hold tasks and have been silent for long; the marks are to be stored.
    pub fn mark_silent_machines(&mut self, now: Now, since: Micros) {
        let silence = self.report_period * 3;
        for m in self.machines.values_mut() {
            // Before it was heard under this term, only an earlier leader can have answered it.
            let before = if m.term_confirmed { 0 } else { self.elected_at };
            let contact = m.last_seen_at.max(m.last_answered_at).max(before);
            if m.registered
                && !m.silence_stored
                && !m.tasks.is_empty()
                && now.steady > contact.max(since) + silence
            {
                m.silent_since = Some(now.wall.saturating_sub(now.steady - contact));
                m.silence_stored = true;
                m.registry_stale = true;
                self.changed_machines.insert(m.id.clone());
                self.registry_updates.insert(m.id.clone());
            }
        }
    }

    /// A stored placement: until its machine has spoken, the task may be there.
    pub fn add_unconfirmed(
        &mut self,
        machine: &Arc<str>,
        key: TaskId,
        spec: &Arc<JobSpec>,
        now: Micros,
    ) -> bool {
        let Some(m) = self.machines.get_mut(machine) else {
            return false;
        };
        if m.term_confirmed || m.tasks.keys().any(|(k, _)| *k == key) {
            return m.tasks.keys().any(|(k, _)| *k == key);
        }
        self.changed_machines.insert(machine.clone());
        m.tasks.insert(
            (key, 0),
            Self::entry(
                TaskState::Unconfirmed,
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

    /// Takes the room; nothing is sent before `confirm`.
    pub fn plan_task(
        &mut self,
        machine: &Arc<str>,
        key: TaskId,
        attempt: u64,
        spec: &Arc<JobSpec>,
        now: Micros,
    ) {
        if let Some(m) = self.machines.get_mut(machine) {
            self.changed_machines.insert(machine.clone());
            m.tasks.insert(
                (key, attempt),
                Self::entry(
                    TaskState::Planned,
                    attempt,
                    spec.uid.clone(),
                    Some(spec.clone()),
                    Delivery::Unsent,
                    now,
                ),
            );
        }
        if fault_injected(InjectedFault::StartBeforeStored) {
            self.confirm_stored(machine, key, attempt);
        }
    }

    /// The placement is stored: its start may go out.
    pub fn confirm_stored(&mut self, machine: &Arc<str>, key: TaskId, attempt: u64) {
        if let Some(e) = self
            .machines
            .get_mut(machine)
            .and_then(|m| m.tasks.get_mut(&(key, attempt)))
            && e.state == TaskState::Planned
        {
            e.state = TaskState::Ready;
            self.machines_to_send.insert(machine.clone());
        }
    }

    /// Takes back what was surely never sent.
    pub fn withdraw(&mut self, machine: &Arc<str>, key: TaskId, attempt: u64) {
        if let Some(m) = self.machines.get_mut(machine)
            && let Some(e) = m.tasks.get(&(key, attempt))
            && matches!(e.state, TaskState::Planned | TaskState::Ready)
        {
            m.tasks.remove(&(key, attempt));
            self.changed_machines.insert(machine.clone());
            self.events.push(TaskEvent {
                machine: machine.clone(),
                task: key,
                attempt,
                kind: TaskEventKind::Lost { why: "withdrawn" },
            });
        }
    }

    /// Stops a task; repeated until a report proves it gone. A shorter grace replaces a longer.
    pub fn stop_task(
        &mut self,
        machine: &Arc<str>,
        key: TaskId,
        attempt: u64,
        grace_s: f64,
        why: StopReason,
    ) {
        let Some(m) = self.machines.get_mut(machine) else {
            return;
        };
        let Some(e) = m.tasks.get_mut(&(key, attempt)) else {
            return;
        };
        match e.state {
            // A ghost has no known attempt to stop; its machine's first report decides.
            TaskState::Ended | TaskState::Unconfirmed => {}
            TaskState::Planned | TaskState::Ready => self.withdraw(machine, key, attempt),
            _ if e.stop.is_none_or(|h| grace_s < h.grace_s) => {
                e.stop = Some(StopRequest {
                    grace_s,
                    sent_at: None,
                    reason: e.stop.map_or(why, |h| h.reason),
                });
                self.machines_to_send.insert(machine.clone());
                self.changed_machines.insert(machine.clone());
            }
            _ => {}
        }
    }

    /// The ending is stored or of no use: the worker may drop it.
    pub fn allow_acknowledge(&mut self, machine: &Arc<str>, key: TaskId, attempt: u64) {
        if let Some(e) = self
            .machines
            .get_mut(machine)
            .and_then(|m| m.tasks.get_mut(&(key, attempt)))
        {
            e.acknowledge_allowed = true;
        }
    }

    pub fn owns(&self, ticket: Ticket) -> bool {
        self.calls.contains_key(&ticket)
    }

    /// The end of a machine's lease, on the safe side.
    fn lease_end(&self, m: &Machine) -> Micros {
        let lease = drift_upper_bound(self.lease);
        let contact = match m.last_answered_at.max(m.last_seen_at) {
            0 => 0,
            at => at + lease,
        };
        let earlier = if m.term_confirmed {
            0
        } else {
            let held = if fault_injected(InjectedFault::HoldLetGo) {
                SECOND
            } else {
                lease
            };
            let takeover = self.elected_at + held;
            m.silence_lease_end.map_or(takeover, |q| q.min(takeover))
        };
        contact.max(earlier)
    }

    /// How many machines have not been heard for three report periods.
    pub fn count_silent(&self, now: Micros) -> usize {
        let silence = self.report_period * 3;
        let silent = |m: &&Machine| now > m.last_seen_at.max(self.elected_at) + silence;
        self.machines.values().filter(silent).count()
    }

    /// Machines that answer nobody: no report for `silence`, and calls failed by every way. When
    /// much of a zone is silent the network is to blame, and nothing is said.
    pub fn unreachable_machines(
        &self,
        now: Micros,
        since: Micros,
        silence: Micros,
    ) -> Vec<Arc<str>> {
        let silent = |m: &Machine| {
            now > m.last_seen_at.max(self.elected_at).max(since) + silence && m.direct_failures >= 3
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
            .filter(|m| !m.releasing && silent(m) && fine(&m.zone))
            .map(|m| m.id.clone())
            .collect()
    }

    /// Frees what a lease that is surely over has killed.
    pub fn expire_leases(&mut self, now: Micros) {
        let over: Vec<Arc<str>> = self
            .machines
            .values()
            .filter(|m| !m.tasks.is_empty() && now > self.lease_end(m))
            .map(|m| m.id.clone())
            .collect();
        for id in over {
            self.clear_machine(&id, LEASE_EXPIRED);
            if let Some(m) = self.machines.get_mut(&id) {
                m.term_confirmed = false;
                m.in_doubt = false;
            }
        }
    }

    fn clear_machine(&mut self, id: &Arc<str>, why: &'static str) {
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        self.changed_machines.insert(id.clone());
        for ((key, attempt), e) in std::mem::take(&mut m.tasks) {
            if e.state != TaskState::Ended {
                self.events.push(TaskEvent {
                    machine: id.clone(),
                    task: key,
                    attempt,
                    kind: TaskEventKind::Lost { why },
                });
            }
        }
    }

    /// The machine is surely gone: returned with 200, or listed as failed.
    pub fn add_tombstone(&mut self, id: &Arc<str>) {
        self.clear_machine(id, MACHINE_GONE);
        self.machines.remove(id);
        if self.tombstones.insert(id.clone()) {
            self.tombstone_order.push_back(id.clone());
            if self.tombstone_order.len() > TOMBSTONES_MAX
                && let Some(old) = self.tombstone_order.pop_front()
            {
                self.tombstones.remove(&old);
            }
        }
    }

    /// A machine that nobody lists and whose lease is long over leaves the ledger. Were it to come back, it
    /// would be taken as a new one, by what it says from now on.
    pub fn forget(&mut self, id: &Arc<str>) {
        if let Some(m) = self.machines.remove(id) {
            if self.last_observed.len() >= TOMBSTONES_MAX {
                self.last_observed.clear();
            }
            self.last_observed
                .insert(id.clone(), (m.agent_epoch, m.sequence));
        }
        self.changed_machines.insert(id.clone());
    }

    pub fn is_tombstoned(&self, id: &str) -> bool {
        self.tombstones.contains(id)
    }

    /// True when nothing can run there: its lease is surely over and it stayed silent.
    pub fn is_surely_empty(&self, m: &Machine, now: Micros) -> bool {
        m.tasks.is_empty() && now > self.lease_end(m)
    }

    /// What waits to be sent goes with the next `flush`; only the scan needs a time.
    pub fn wake_at(&self, now: Micros) -> Micros {
        if self.next_scan_at > now {
            self.next_scan_at
        } else {
            now + SCAN_INTERVAL
        }
    }

    pub fn fencing_token_of(&self, id: &str) -> Option<u64> {
        self.machines.get(id).map(|m| self.fencing_token(m))
    }
}
