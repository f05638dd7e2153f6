//! The leader's record of its machines, of the attempts that may exist on each, and of the commands
//! that are in flight to them.
//!
//! [`WorkerLedger`] covers the term of one leader. It learns of machines and attempts from the state
//! service (at a failover), from the scheduler's decisions and from heartbeats. It emits starts,
//! stops and probes as outputs; it performs no I/O, stores nothing and decides no placement.
//!
//! Invariant: an attempt is removed only on proof that it neither runs nor can still be started.
//! Proof is a newer heartbeat that also rules out every start in flight, a restart of the agent, a
//! machine that was released or has failed, or a lease that has certainly expired. That a task or a
//! machine is missing from some list proves nothing.
//!
//! | module | concern |
//! | --- | --- |
//! | `event`, `task_entry`, `machine` | changes of an attempt; the state of one attempt and of one machine |
//! | `heartbeat`, `reported_tasks` | applying heartbeats and answering them |
//! | `commands`, `direct_calls` | which commands are due, and calls that do not wait for a heartbeat |
//! | `probes` | which machines are probed, and by which controller |
//! | `leases` | when a machine's lease has expired, and which machines are silent |
//! | `departed` | machines that left the ledger, to recognize late messages about them |
//!
//! The modules of the first row do not depend on the others; the others add methods to
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

pub use departed::{DEPARTED_RETENTION, DepartedMachines};
use direct_calls::DirectPathHealth;
pub use event::{LEASE_EXPIRED, MACHINE_GONE, NOT_ON_MACHINE, TaskEvent, TaskEventKind, WITHDRAWN};
pub use heartbeat::RepeatedHeartbeatOutcome;
use machine::FENCE_COUNTER_BITS;
pub use machine::{Machine, UnavailableReason};
pub use probes::LEADER_PROBE_DELAY;
use task_entry::StopRequest;
pub use task_entry::{TaskEntry, TaskState};

/// The upper bits of an attempt number are the leader's term.
const ATTEMPT_TERM_SHIFT: u32 = 32;
/// Attempt numbers that a leader keeps in reserve: when no more than these are left below the numbers of the next
/// term, it continues under a new term.
const ATTEMPT_RESERVE: u64 = 1 << 24;
/// The same reserve for the fence counter of a machine.
const FENCE_COUNTER_RESERVE: u64 = 1 << 12;

/// The lowest fencing token of a term.
pub fn first_fencing_token(term: u64) -> u64 {
    term << FENCE_COUNTER_BITS
}

/// All machines and attempts that a leader manages during one term.
pub struct WorkerLedger {
    term: u64,
    elected_at: Micros,
    /// A worker kills its tasks when none of its heartbeats was answered for this long.
    lease_duration: Micros,
    /// How often a worker sends a heartbeat.
    heartbeat_period: Micros,
    /// The machines by name.
    pub machines: BTreeMap<Arc<str>, Machine>,
    /// Machines that were returned to their provider or have failed.
    tombstones: DepartedMachines<()>,
    /// Agent epoch and sequence number of the last heartbeat of each vanished machine, so that late copies of
    /// its heartbeats are recognized.
    last_observed: DepartedMachines<(u64, u64)>,
    /// The machine of each direct call that has no outcome yet, by the call's ticket.
    machine_by_call: HashMap<Ticket, Arc<str>>,
    /// The other controllers.
    peers: Vec<SocketAddr>,
    /// The last attempt number that was assigned.
    last_attempt: u64,
    /// The highest fence counter that any machine has had during this term.
    highest_fence_counter: u64,
    /// Events that the owner has not drained yet, oldest first.
    pub events: Vec<TaskEvent>,
    /// Machines whose tasks or availability changed since the last
    /// [`take_changed_machines`](Self::take_changed_machines).
    changed_machines: BTreeSet<Arc<str>>,
    /// Machines that may have a command due now.
    machines_to_send: BTreeSet<Arc<str>>,
    /// Machines whose provider has announced their reclamation; may contain some without a notice any more.
    machines_with_reclaim_notice: BTreeSet<Arc<str>>,
    /// Machines whose entry in the stored registry may have to be written.
    registry_updates: BTreeSet<Arc<str>>,
    /// When the next scan for commands and probes that are due by time alone takes place.
    next_scan_at: Micros,
    /// The last machine that the previous scan covered; the next scan continues after it.
    scan_position: Option<Arc<str>>,
    direct_path: DirectPathHealth,
    /// When anything was last received from any machine.
    pub any_machine_seen_at: Micros,
    /// How the stored placements compare with the first heartbeats of the machines under this term.
    pub reconciliation_counts: ReconciliationCounts,
    /// Number of commands sent in direct calls.
    pub commands_sent: u64,
    /// Number of attempts of this term that were reported after their end was acknowledged or their absence proven.
    pub repeated_starts: u64,
    /// When the first start of this term was sent in a direct call; starts in heartbeat answers do not count.
    pub first_direct_start_at: Option<Micros>,
    /// How long the inputs of this node's event loop currently wait before they are processed.
    pub loop_lag: Micros,
    /// Number of machines that `send_due` has examined; lets tests check that the cost of an event does not grow
    /// with the fleet.
    pub machines_examined: u64,
}

impl WorkerLedger {
    /// Creates an empty ledger for the term of a leader elected `now`, whose workers hold leases of
    /// `lease_duration` and send a heartbeat every `heartbeat_period`.
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
            tombstones: DepartedMachines::new("machines returned or failed"),
            last_observed: DepartedMachines::new("machines vanished"),
            machine_by_call: HashMap::default(),
            peers,
            // Attempt numbers are unique: the upper bits hold the term, the lower bits a counter.
            last_attempt: if fault_injected(InjectedFault::AttemptNumbersReused) {
                0
            } else {
                term << ATTEMPT_TERM_SHIFT
            },
            highest_fence_counter: 0,
            events: Vec::new(),
            changed_machines: BTreeSet::new(),
            machines_to_send: BTreeSet::new(),
            machines_with_reclaim_notice: BTreeSet::new(),
            registry_updates: BTreeSet::new(),
            next_scan_at: now,
            scan_position: None,
            direct_path: DirectPathHealth::default(),
            any_machine_seen_at: now,
            reconciliation_counts: ReconciliationCounts::default(),
            commands_sent: 0,
            repeated_starts: 0,
            first_direct_start_at: None,
            loop_lag: 0,
            machines_examined: 0,
        }
    }

    /// Returns the machines whose tasks or availability changed since the last call.
    pub fn take_changed_machines(&mut self) -> BTreeSet<Arc<str>> {
        std::mem::take(&mut self.changed_machines)
    }

    /// The machines of the ledger whose provider has announced their reclamation.
    pub fn machines_with_reclaim_notice(&mut self) -> impl Iterator<Item = &Machine> {
        let machines = &self.machines;
        let has_notice = |id: &Arc<str>| {
            machines
                .get(id)
                .is_some_and(|machine| machine.reclaim_at.is_some())
        };
        self.machines_with_reclaim_notice.retain(has_notice);
        self.machines_with_reclaim_notice
            .iter()
            .filter_map(|id| machines.get(id))
    }

    /// Marks the stored registry entry of a machine as out of date.
    pub fn mark_registry_stale(&mut self, id: &Arc<str>) {
        if let Some(machine) = self.machines.get_mut(id) {
            machine.registry_stale = true;
            self.registry_updates.insert(id.clone());
        }
    }

    /// Returns the machines whose registry entry may have become out of date since the last call.
    pub fn take_registry_updates(&mut self) -> BTreeSet<Arc<str>> {
        std::mem::take(&mut self.registry_updates)
    }

    /// Marks a machine as changed after its availability was changed from outside the ledger.
    pub fn mark_changed(&mut self, id: &Arc<str>) {
        self.changed_machines.insert(id.clone());
    }

    /// The lowest fencing token of this term.
    fn base_fencing_token(&self) -> u64 {
        first_fencing_token(self.term)
    }

    /// The fencing token that commands to a machine carry; `None` for a machine that is not in the ledger.
    pub fn fencing_token_of(&self, id: &str) -> Option<u64> {
        let machine = self.machines.get(id)?;
        Some(self.base_fencing_token() + machine.fence_counter)
    }

    /// Adds a machine from the stored registry; earlier leaders may have started tasks on it. An
    /// address that cannot be parsed counts as unknown.
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

    /// Adds a stored placement: until its machine reports under this term, the task may be running
    /// there. Returns whether the ledger has an entry for the task on that machine.
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

    /// Assigns an attempt number that no other leader uses.
    pub fn new_attempt(&mut self) -> u64 {
        self.last_attempt += 1;
        self.last_attempt
    }

    /// Whether the attempt numbers, or the fence counter of some machine, are about to reach the range of the next
    /// term. Beyond that point one number would stand for two attempts, and an abandoned command could not be
    /// distinguished from a new one.
    pub fn is_numbering_exhausted(&self) -> bool {
        let attempts = self.last_attempt & ((1 << ATTEMPT_TERM_SHIFT) - 1);
        attempts >= (1 << ATTEMPT_TERM_SHIFT) - ATTEMPT_RESERVE
            || self.highest_fence_counter >= (1 << FENCE_COUNTER_BITS) - FENCE_COUNTER_RESERVE
    }

    /// Skips attempt numbers; used to test the exhaustion of the range.
    pub fn skip_attempts(&mut self, count: u64) {
        self.last_attempt += count;
    }

    /// Adds a planned attempt: it holds its resources, and its start is not sent before
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

    /// Records that the placement is stored, so that its start may be sent.
    pub fn confirm_stored(&mut self, machine: &Arc<str>, task: TaskId, attempt: u64) {
        if let Some(entry) = self.entry_mut(machine, task, attempt)
            && entry.state == TaskState::Planned
        {
            entry.state = TaskState::Ready;
            self.machines_to_send.insert(machine.clone());
        }
    }

    /// Removes an attempt whose start has never been sent; does nothing in any other state.
    pub fn withdraw(&mut self, machine: &Arc<str>, task: TaskId, attempt: u64) {
        if let Some(target) = self.machines.get_mut(machine)
            && let Some(entry) = target.tasks.get(&(task, attempt))
            && matches!(entry.state, TaskState::Planned | TaskState::Ready)
        {
            target.remove_lost(task, attempt, WITHDRAWN, &mut self.events);
            self.changed_machines.insert(machine.clone());
        }
    }

    /// Requests the stop of an attempt; the command is repeated until the attempt has ended or is proven to be
    /// gone. A shorter grace period replaces a longer one; the first reason is kept.
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
            // The attempt number of an unconfirmed placement is not known, so no command can name it; the first
            // heartbeat of its machine under this term reveals the attempt.
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

    /// Allows acknowledging the end of an attempt, upon which the worker drops its record: the end is stored, or
    /// need not be.
    pub fn allow_acknowledgement(&mut self, machine: &Arc<str>, task: TaskId, attempt: u64) {
        if let Some(entry) = self.entry_mut(machine, task, attempt) {
            entry.acknowledge_allowed = true;
        }
    }

    /// Removes all attempts of a machine and emits a `Lost` event for each that was not known to have ended.
    fn clear_machine(&mut self, id: &Arc<str>, reason: &'static str) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        self.changed_machines.insert(id.clone());
        for ((task, attempt), entry) in std::mem::take(&mut machine.tasks) {
            if entry.holds_resources() {
                self.events.push(TaskEvent::lost(id, task, attempt, reason));
            }
        }
    }

    /// Removes a machine that is certainly gone: the provider has answered its return with 200, or lists it as
    /// failed. Heartbeats under its name are refused while its tombstone is retained.
    pub fn add_tombstone(&mut self, now: Micros, id: &Arc<str>) {
        let fleet = self.machines.len();
        self.clear_machine(id, MACHINE_GONE);
        self.machines.remove(id);
        self.tombstones.insert(now, fleet, id.clone(), ());
    }

    /// Removes a machine that the provider no longer lists and whose lease expired long ago. If it comes back, it
    /// is added again by its next heartbeat that is newer than the last one seen before.
    pub fn remove_vanished(&mut self, now: Micros, id: &Arc<str>) {
        let fleet = self.machines.len();
        if let Some(machine) = self.machines.remove(id) {
            let last_heartbeat = (machine.agent_epoch, machine.sequence);
            self.last_observed
                .insert(now, fleet, id.clone(), last_heartbeat);
        }
        self.changed_machines.insert(id.clone());
    }

    /// Whether the machine was returned or has failed, so that an agent of its name must get no successful answer.
    pub fn is_tombstoned(&self, id: &str) -> bool {
        self.tombstones.contains(id)
    }
}
