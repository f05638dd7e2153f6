//! The ledger of what may be on each machine, and of the commands on their way there.
//!
//! Owns, for the term of one leader, every machine that may hold a task and every attempt that may
//! exist on it; learns of both from the store (at a failover), from the scheduler's decisions and
//! from heartbeats. Sends starts, stops and probes as outputs; performs no I/O, stores nothing and
//! decides no placement.
//!
//! The invariant at its door: an attempt leaves the ledger only on proof that it neither runs nor
//! can be started any more. Proof is a newer heartbeat that also excludes every start still in
//! flight, a restart of the agent, a machine that is released or failed, or a lease that is surely
//! over. That a task or a machine is missing from some list proves nothing.
//!
//! | module | concern |
//! | --- | --- |
//! | `event`, `task_entry`, `machine` | what happened to an attempt; what is known of one attempt, of one machine |
//! | `heartbeat`, `reported_tasks` | taking heartbeats in and answering them |
//! | `commands`, `direct_calls` | which commands are due, and calls that do not wait for a heartbeat |
//! | `probes` | which machines are probed, and by whom |
//! | `leases` | when a machine's lease is over, and silence |
//!
//! The modules of the first row know nothing of the others; the others add methods to
//! [`WorkerLedger`] and [`Machine`].

mod commands;
mod departed;
mod direct_calls;
mod event;
mod heartbeat;
mod leases;
mod machine;
mod probes;
mod reported_tasks;
mod task_entry;

use crate::accounting::StopReason;
use crate::clock::Micros;
use crate::fault_injection::{InjectedFault, fault_injected};
use crate::messages::Ticket;
use crate::reconciliation::ReconciliationCounts;
use crate::seeded_hash::HashMap;
use crate::task_id::TaskId;
use crate::wire::JobSpec;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

pub use departed::{Departed, REMEMBERED_FOR};
use direct_calls::DirectPathHealth;
pub use event::{LEASE_EXPIRED, MACHINE_GONE, NOT_THERE, TaskEvent, TaskEventKind, WITHDRAWN};
pub use heartbeat::RepeatOutcome;
use machine::FENCE_COUNTER_BITS;
pub use machine::{Machine, UnavailableReason};
pub use probes::PROXY_PROBE_HEAD_START;
use task_entry::StopRequest;
pub use task_entry::{TaskEntry, TaskState};

/// The upper bits of an attempt number are the leader's term.
const ATTEMPT_TERM_SHIFT: u32 = 32;
/// Attempt numbers, and fence counters of a machine, that a leader keeps in reserve: with no more of them left
/// below those of the next term it goes on under that term.
const ATTEMPT_RESERVE: u64 = 1 << 24;
const FENCE_COUNTER_RESERVE: u64 = 1 << 12;

/// The lowest fencing token of a term.
pub fn first_fencing_token(term: u64) -> u64 {
    term << FENCE_COUNTER_BITS
}

/// All machines and attempts that a leader answers for, during one term.
pub struct WorkerLedger {
    term: u64,
    elected_at: Micros,
    /// The time without an answered heartbeat after which a worker kills its tasks.
    lease_duration: Micros,
    /// How often a worker sends a heartbeat.
    heartbeat_period: Micros,
    /// The machines by name.
    pub machines: BTreeMap<Arc<str>, Machine>,
    tombstones: Departed<()>,
    /// Agent epoch and sequence number of the last heartbeat of machines that vanished.
    last_observed: Departed<(u64, u64)>,
    calls: HashMap<Ticket, Arc<str>>,
    /// The other controllers.
    peers: Vec<SocketAddr>,
    /// The last attempt number that was handed out.
    last_attempt: u64,
    /// The highest fence counter of any machine.
    highest_fence_counter: u64,
    /// What the ledger learned since the events were last taken, oldest first.
    pub events: Vec<TaskEvent>,
    /// Machines whose tasks or availability changed since the scheduler last took them.
    changed_machines: BTreeSet<Arc<str>>,
    /// Machines that may have something to be sent now.
    machines_to_send: BTreeSet<Arc<str>>,
    /// Machines whose provider announced that it will reclaim them.
    noticed_machines: BTreeSet<Arc<str>>,
    /// Machines whose stored entry may have to be written (again).
    registry_updates: BTreeSet<Arc<str>>,
    next_scan_at: Micros,
    /// The last machine of the part that the last scan covered.
    scan_position: Option<Arc<str>>,
    direct_path: DirectPathHealth,
    /// When anything was last received from any machine.
    pub any_machine_seen_at: Micros,
    /// How the stored placements agreed with the first heartbeats of the machines under this term.
    pub reconciled: ReconciliationCounts,
    /// Commands sent in direct calls.
    pub commands_sent: u64,
    /// When the first start of this term was sent in a direct call.
    pub first_start_at: Option<Micros>,
    /// How far this node is behind its inputs.
    pub loop_lag: Micros,
    /// How many machines `send_due` has examined: the cost of an event must not grow with the fleet.
    pub machines_examined: u64,
}

impl WorkerLedger {
    /// An empty ledger for the term of a leader elected `now`, whose workers have a lease of that
    /// duration and send a heartbeat every `heartbeat_period`.
    pub fn new(
        term: u64,
        now: Micros,
        lease_duration: Micros,
        heartbeat_period: Micros,
        peers: Vec<SocketAddr>,
    ) -> Self {
        Self {
            term,
            elected_at: now,
            lease_duration,
            heartbeat_period,
            machines: BTreeMap::new(),
            tombstones: Departed::new("machines returned or failed"),
            last_observed: Departed::new("machines gone without a word"),
            calls: HashMap::default(),
            peers,
            // An attempt number is used once: the term makes it new, the count keeps it so.
            last_attempt: if fault_injected(InjectedFault::AttemptNumbersReused) {
                0
            } else {
                term << ATTEMPT_TERM_SHIFT
            },
            highest_fence_counter: 0,
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

    /// The machines whose tasks or availability changed since the last call.
    pub fn take_changed(&mut self) -> BTreeSet<Arc<str>> {
        std::mem::take(&mut self.changed_machines)
    }

    /// Machines whose provider announced that it will reclaim them, as far as they are still there.
    pub fn noticed_machines(&mut self) -> impl Iterator<Item = &Machine> {
        let machines = &self.machines;
        let is_noticed = |id: &Arc<str>| {
            machines
                .get(id)
                .is_some_and(|machine| machine.reclaim_at.is_some())
        };
        self.noticed_machines.retain(is_noticed);
        self.noticed_machines
            .iter()
            .filter_map(|id| machines.get(id))
    }

    /// Marks what is stored of a machine as out of date.
    pub fn mark_registry_stale(&mut self, id: &Arc<str>) {
        if let Some(machine) = self.machines.get_mut(id) {
            machine.registry_stale = true;
            self.registry_updates.insert(id.clone());
        }
    }

    /// The machines whose stored entry may have to be written since the last call.
    pub fn take_registry_updates(&mut self) -> BTreeSet<Arc<str>> {
        std::mem::take(&mut self.registry_updates)
    }

    /// Marks a machine whose availability changed outside of the ledger.
    pub fn mark_changed(&mut self, id: &Arc<str>) {
        self.changed_machines.insert(id.clone());
    }

    /// The lowest fencing token of this term.
    fn base_fencing_token(&self) -> u64 {
        first_fencing_token(self.term)
    }

    /// The fencing token of commands to a machine; `None` for a machine that is not in the ledger.
    pub fn fencing_token_of(&self, id: &str) -> Option<u64> {
        let machine = self.machines.get(id)?;
        Some(self.base_fencing_token() + machine.fence_counter)
    }

    /// Adds a machine of the stored registry: earlier leaders may have started tasks on it. An
    /// address that does not parse counts as unknown.
    pub fn add_registered_machine(
        &mut self,
        id: Arc<str>,
        address: &str,
        machine_type: &str,
        zone: &str,
        spot: bool,
        now: Micros,
    ) {
        let machine = self
            .machines
            .entry(id.clone())
            .or_insert_with(|| Machine::new(id.clone(), machine_type, zone, spot, now));
        machine.registered = true;
        machine.address = machine.address.or(address.parse().ok());
        self.changed_machines.insert(id);
    }

    /// Adds a stored placement: until its machine reports under this term, the task may be there.
    /// Returns whether the ledger holds an attempt of the task on that machine.
    pub fn add_unconfirmed(
        &mut self,
        machine: &Arc<str>,
        task: TaskId,
        spec: &Arc<JobSpec>,
        now: Micros,
    ) -> bool {
        let Some(entries) = self.machines.get_mut(machine) else {
            return false;
        };
        let is_held = entries.tasks.keys().any(|(held, _)| *held == task);
        if entries.term_confirmed || is_held {
            return is_held;
        }
        self.changed_machines.insert(machine.clone());
        let entry = TaskEntry::placed(TaskState::Unconfirmed, spec, now);
        entries.tasks.insert((task, 0), entry);
        true
    }

    /// An attempt number that no leader has used or will use.
    pub fn new_attempt(&mut self) -> u64 {
        self.last_attempt += 1;
        self.last_attempt
    }

    /// Whether the attempt numbers, or the fence counter of some machine, are about to reach those of the next
    /// term. Past them a number would stand for two attempts, and a command that was given up could not be told
    /// from a new one.
    pub fn is_numbering_exhausted(&self) -> bool {
        let attempts = self.last_attempt & ((1 << ATTEMPT_TERM_SHIFT) - 1);
        attempts >= (1 << ATTEMPT_TERM_SHIFT) - ATTEMPT_RESERVE
            || self.highest_fence_counter >= (1 << FENCE_COUNTER_BITS) - FENCE_COUNTER_RESERVE
    }

    /// Skips attempt numbers, for tests of their exhaustion.
    pub fn skip_attempts(&mut self, count: u64) {
        self.last_attempt += count;
    }

    /// Plans an attempt: it takes its resources, and nothing is sent before
    /// [`confirm_stored`](Self::confirm_stored).
    pub fn plan_task(
        &mut self,
        machine: &Arc<str>,
        task: TaskId,
        attempt: u64,
        spec: &Arc<JobSpec>,
        now: Micros,
    ) {
        if let Some(target) = self.machines.get_mut(machine) {
            self.changed_machines.insert(machine.clone());
            let entry = TaskEntry::placed(TaskState::Planned, spec, now);
            target.tasks.insert((task, attempt), entry);
        }
        if fault_injected(InjectedFault::StartBeforeStored) {
            self.confirm_stored(machine, task, attempt);
        }
    }

    fn entry_mut(
        &mut self,
        machine: &Arc<str>,
        task: TaskId,
        attempt: u64,
    ) -> Option<&mut TaskEntry> {
        self.machines
            .get_mut(machine)?
            .tasks
            .get_mut(&(task, attempt))
    }

    /// Records that the placement is stored: its start may be sent.
    pub fn confirm_stored(&mut self, machine: &Arc<str>, task: TaskId, attempt: u64) {
        if let Some(entry) = self.entry_mut(machine, task, attempt)
            && entry.state == TaskState::Planned
        {
            entry.state = TaskState::Ready;
            self.machines_to_send.insert(machine.clone());
        }
    }

    /// Takes back an attempt whose start was surely never sent.
    pub fn withdraw(&mut self, machine: &Arc<str>, task: TaskId, attempt: u64) {
        if let Some(target) = self.machines.get_mut(machine)
            && let Some(entry) = target.tasks.get(&(task, attempt))
            && matches!(entry.state, TaskState::Planned | TaskState::Ready)
        {
            target.remove_lost(task, attempt, WITHDRAWN, &mut self.events);
            self.changed_machines.insert(machine.clone());
        }
    }

    /// Stops an attempt; the command is repeated until a heartbeat proves the attempt gone. A
    /// shorter grace replaces a longer one, the first reason stays.
    pub fn stop_task(
        &mut self,
        machine: &Arc<str>,
        task: TaskId,
        attempt: u64,
        grace_s: f64,
        reason: StopReason,
    ) {
        let Some(entry) = self.entry_mut(machine, task, attempt) else {
            return;
        };
        match entry.state {
            // An unconfirmed placement has no known attempt to stop; its machine's first heartbeat decides.
            TaskState::Ended | TaskState::Unconfirmed => {}
            TaskState::Planned | TaskState::Ready => self.withdraw(machine, task, attempt),
            _ if entry.stop.is_none_or(|stop| grace_s < stop.grace_s) => {
                let reason = entry.stop.map_or(reason, |stop| stop.reason);
                entry.stop = Some(StopRequest::new(grace_s, reason));
                self.machines_to_send.insert(machine.clone());
                self.changed_machines.insert(machine.clone());
            }
            _ => {}
        }
    }

    /// Allows the worker to drop its record of an attempt: its end is stored or of no use.
    pub fn allow_acknowledge(&mut self, machine: &Arc<str>, task: TaskId, attempt: u64) {
        if let Some(entry) = self.entry_mut(machine, task, attempt) {
            entry.acknowledge_allowed = true;
        }
    }

    /// Removes all attempts of a machine, with an event for each that was not known to have ended.
    fn clear_machine(&mut self, id: &Arc<str>, why: &'static str) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        self.changed_machines.insert(id.clone());
        for ((task, attempt), entry) in std::mem::take(&mut machine.tasks) {
            if entry.occupies() {
                self.events.push(TaskEvent::lost(id, task, attempt, why));
            }
        }
    }

    /// The machine is surely gone: returned with 200, or listed as failed.
    pub fn add_tombstone(&mut self, now: Micros, id: &Arc<str>) {
        let fleet = self.machines.len();
        self.clear_machine(id, MACHINE_GONE);
        self.machines.remove(id);
        self.tombstones.insert(now, fleet, id.clone(), ());
    }

    /// A machine that nobody lists and whose lease is long over leaves the ledger. Were it to come back, it
    /// would be taken as a new one, by what it says from now on.
    pub fn forget(&mut self, now: Micros, id: &Arc<str>) {
        let fleet = self.machines.len();
        if let Some(machine) = self.machines.remove(id) {
            let last = (machine.agent_epoch, machine.sequence);
            self.last_observed.insert(now, fleet, id.clone(), last);
        }
        self.changed_machines.insert(id.clone());
    }

    /// Whether the machine is surely gone, so that an agent of its name must get no answer.
    pub fn is_tombstoned(&self, id: &str) -> bool {
        self.tombstones.contains(id)
    }
}
