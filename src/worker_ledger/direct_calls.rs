//! Direct calls to workers: commands and probes that do not wait for the next heartbeat.
//!
//! Decides when a machine is called and whether directly or through a peer, and handles the outcome.
//! At most one call to a machine is open at a time. Invariant: a call whose outcome is unknown
//! raises the machine's fence counter, so that no new start is sent before the lost one can no
//! longer be executed; a call that was certainly not executed may be repeated at once.

use super::WorkerLedger;
use super::commands::CommandChannel;
use super::machine::{HeartbeatSource, InFlightCall, Machine};
use super::task_entry::{Delivery, TaskEntry, TaskState};
use crate::clock::{MILLISECOND, Micros, SECOND};
use crate::fault_injection::{InjectedFault, fault_injected};
use crate::messages::{Outcome, Output, Ticket};
use crate::task_id::{JobDirectory, TaskId};
use crate::wire::{COMMANDS_PATH, Commands, Heartbeat, KIND_DELIVER_COMMANDS, split_task_name};
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::Arc;

/// A leader whose inputs wait for longer than this sends no starts in direct calls: such a call, mostly over a new
/// connection, costs as much as handling a heartbeat, and delays the heartbeats that renew leases.
const DIRECT_START_LAG_MAX: Micros = 500 * MILLISECOND;
const DIRECT_CALL_TIMEOUT: Micros = 2 * SECOND;
/// How long commands go through a peer before the direct path is tried again.
const PROXY_USE_TIME: Micros = 20 * SECOND;
/// Time between two calls to a machine that cannot be reached, multiplied by the number of failures.
const UNREACHABLE_RETRY_INTERVAL: Micros = 600 * MILLISECOND;
/// The retry interval stops growing at this number of failures.
const UNREACHABLE_BACKOFF_FAILURES_MAX: u32 = 8;
/// How often machines are scanned for commands and probes that become due by the passing of time alone.
const SCAN_INTERVAL: Micros = 250 * MILLISECOND;
/// One scan of a large fleet covers one of this many parts: commands are repeated only after
/// seconds, and scanning all tasks four times a second took 5 % of a leader's processor time.
const SCAN_PARTS: usize = 4;
/// A fleet up to this size is scanned completely each time.
const FULL_SCAN_MACHINES: usize = 256;
/// After this many failed direct calls in a row the fault is assumed to be with this node's network, not with
/// the machines.
const DIRECT_FAILURES_MAX: u32 = 12;
const DIRECT_RETRY_INTERVAL: Micros = 2 * SECOND;

const START_REFUSED: &str = "start refused";
const MACHINE_NOT_REACHED: &str = "machine not reached";

/// Tracks whether this node reaches any worker at all. A node can lose its connection to all of them
/// while its peers still reach them; without this record each start would first fail on the direct
/// path.
#[derive(Default)]
pub(super) struct DirectPathHealth {
    /// Number of direct calls that failed since the last successful one.
    failures: u32,
    last_tried_at: Micros,
}

impl DirectPathHealth {
    fn record_call(&mut self, proxied: bool, succeeded: bool) {
        if !proxied {
            self.failures = if succeeded { 0 } else { self.failures + 1 };
        }
    }

    /// Whether to call through a peer without trying the direct path first; every
    /// [`DIRECT_RETRY_INTERVAL`] one call still tries the direct path.
    fn should_bypass(&mut self, now: Micros) -> bool {
        if self.failures < DIRECT_FAILURES_MAX {
            return false;
        }
        let tries_direct = now >= self.last_tried_at + DIRECT_RETRY_INTERVAL;
        if tries_direct {
            self.last_tried_at = now;
        }
        !tries_direct
    }
}

impl WorkerLedger {
    /// Opens calls for all starts, stops and probes that are due. Each call takes the next number of
    /// `tickets` and is appended to `out`.
    pub fn send_due(&mut self, now: Micros, tickets: &mut Ticket, out: &mut Vec<Output>) {
        let mut due = std::mem::take(&mut self.machines_to_send);
        let mut probes_left = self.probe_budget();
        if now >= self.next_scan_at {
            // Due by the passing of time alone: repeated commands, probes, retries after a failure.
            self.next_scan_at = now + SCAN_INTERVAL;
            let scanned = self.next_scan_part(now);
            let machines = scanned.iter().filter_map(|id| self.machines.get(id));
            let with_due =
                machines.filter(|m| m.has_due_command(now, self.elected_at, self.heartbeat_period));
            due.extend(with_due.map(|machine| machine.id.clone()));
        }
        self.machines_examined += due.len() as u64;
        for id in due {
            if let Some(call) = self.prepare_call(now, &id, &mut probes_left) {
                *tickets += 1;
                out.push(self.open_call(now, &id, *tickets, call));
            }
        }
    }

    /// Builds the call that is due to a machine now, if any, and marks its commands as sent.
    fn prepare_call(
        &mut self,
        now: Micros,
        id: &Arc<str>,
        probes_left: &mut usize,
    ) -> Option<PreparedCall> {
        let term_base = self.base_fencing_token();
        let machine = self.machines.get_mut(id)?;
        if machine.in_flight.is_some() || machine.releasing {
            return None;
        }
        let address = machine.address?;
        if machine.is_backing_off(now) {
            return None;
        }
        if machine.use_proxy
            && machine.direct_failures == 0
            && now > machine.proxied_at + PROXY_USE_TIME
        {
            machine.use_proxy = false;
        }
        let is_probe =
            *probes_left > 0 && machine.needs_probe(now, self.elected_at, self.heartbeat_period);
        let fencing_token = term_base + machine.fence_counter;
        let mut commands = Vec::new();
        machine.collect_stops_and_acknowledgements(now, CommandChannel::DirectCall, &mut commands);
        let mut starts = Vec::new();
        let may_send_starts = self.loop_lag <= DIRECT_START_LAG_MAX;
        if may_send_starts && machine.accepts_direct_starts() {
            let delivery = Delivery::Direct {
                token: fencing_token,
                agent_epoch: machine.agent_epoch,
                open: true,
            };
            starts = machine.collect_starts(delivery, &mut commands);
        }
        if !starts.is_empty() {
            self.first_direct_start_at = self.first_direct_start_at.or(Some(now));
        }
        if commands.is_empty() && !is_probe {
            return None;
        }
        *probes_left -= usize::from(is_probe);
        self.commands_sent += commands.len() as u64;
        log::debug!(
            "commands sent machine={id} token={fencing_token} starts={} others={}",
            starts.len(),
            commands.len() - starts.len()
        );
        let body = Commands {
            fencing_token,
            agent_epoch: Some(machine.agent_epoch.max(1)),
            commands,
        };
        Some(PreparedCall {
            address,
            fencing_token,
            starts,
            body: serde_json::to_vec(&body).ok()?,
        })
    }

    /// Records a call as open and returns it as output.
    fn open_call(
        &mut self,
        now: Micros,
        id: &Arc<str>,
        ticket: Ticket,
        call: PreparedCall,
    ) -> Output {
        let proxy = self.machines.get_mut(id).and_then(|machine| {
            let proxy = machine.choose_proxy(now, &self.peers, &mut self.direct_path);
            machine.last_call_at = now;
            machine.in_flight = Some(InFlightCall {
                ticket,
                starts: call.starts,
                fencing_token: call.fencing_token,
                known_before: (machine.agent_epoch, machine.sequence),
                proxied: proxy.is_some(),
            });
            proxy
        });
        self.machine_by_call.insert(ticket, id.clone());
        match proxy {
            Some(dest) => Output::PeerCall {
                ticket,
                dest,
                kind: KIND_DELIVER_COMMANDS,
                subject: call.address.to_string(),
                body: call.body,
                timeout: DIRECT_CALL_TIMEOUT,
            },
            None => Output::Call {
                ticket,
                dest: call.address,
                method: "POST",
                path: COMMANDS_PATH.to_owned(),
                body: call.body,
                timeout: DIRECT_CALL_TIMEOUT,
            },
        }
    }

    /// The machines that the next scan covers, in the order of their names; wraps around after the
    /// last one.
    fn next_scan_part(&mut self, now: Micros) -> Vec<Arc<str>> {
        // After a failover all machines have to be probed, also those whose assigned peer did not probe them in
        // time, so each scan covers the whole fleet.
        let part_max = if now < self.elected_at + self.lease_duration {
            usize::MAX
        } else {
            (self.machines.len() / SCAN_PARTS).max(FULL_SCAN_MACHINES)
        };
        let from = match self.scan_position.take() {
            Some(id) if part_max < self.machines.len() => Bound::Excluded(id),
            _ => Bound::Unbounded,
        };
        let rest = self.machines.range::<Arc<str>, _>((from, Bound::Unbounded));
        let part: Vec<Arc<str>> = rest.take(part_max).map(|(id, _)| id.clone()).collect();
        self.scan_position = part.last().filter(|_| part.len() == part_max).cloned();
        part
    }

    /// When `send_due` must be called next for the scan. Other due commands are sent while the input
    /// that made them due is processed, so they need no timer.
    pub fn wake_at(&self, now: Micros) -> Micros {
        if self.next_scan_at > now {
            self.next_scan_at
        } else {
            now + SCAN_INTERVAL
        }
    }

    /// Whether the ticket belongs to a call that this ledger opened.
    pub fn owns(&self, ticket: Ticket) -> bool {
        self.machine_by_call.contains_key(&ticket)
    }

    /// Handles the outcome of a direct call.
    pub fn handle_outcome(
        &mut self,
        now: Micros,
        ticket: Ticket,
        outcome: &Outcome,
        jobs: &mut dyn JobDirectory,
    ) {
        let Some(id) = self.machine_by_call.remove(&ticket) else {
            return;
        };
        let Some(machine) = self.machines.get_mut(&id) else {
            return;
        };
        let Some(call) = machine.in_flight.take_if(|call| call.ticket == ticket) else {
            return;
        };
        // Commands that became due while the call was open can be sent now.
        self.machines_to_send.insert(id.clone());
        self.changed_machines.insert(id.clone());
        match answered_heartbeat(outcome).filter(|heartbeat| heartbeat.machine == id) {
            Some(heartbeat) => self.complete_answered_call(now, call, &heartbeat, jobs),
            None => self.complete_failed_call(now, &id, call, may_be_executed(outcome)),
        }
    }

    /// Handles the answer of a worker that has processed the call, whether or not it executed the commands.
    fn complete_answered_call(
        &mut self,
        now: Micros,
        call: InFlightCall,
        heartbeat: &Heartbeat,
        jobs: &mut dyn JobDirectory,
    ) {
        let id = &heartbeat.machine;
        self.direct_path.record_call(call.proxied, true);
        if let Some(machine) = self.machines.get_mut(id) {
            machine.direct_failures = 0;
            machine.note_call_answer(now, call.known_before, heartbeat);
            self.highest_fence_counter = self.highest_fence_counter.max(machine.fence_counter);
            // A start that the heartbeat in this answer does not list was not executed.
            for start in &call.starts {
                if let Some(entry) = machine.tasks.get_mut(start)
                    && matches!(entry.delivery, Delivery::Direct { token, open: true, .. } if token == call.fencing_token)
                {
                    entry.delivery = Delivery::Settled;
                }
            }
        }
        if self.apply_heartbeat(now, heartbeat, HeartbeatSource::CallAnswer, jobs) {
            return;
        }
        // A newer heartbeat was applied before this answer; a start that neither lists was not executed. One that the
        // answer lists was: its agent has lost its state, and the task runs until the lease expires.
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        for (task, attempt) in call.starts {
            let entry = machine.tasks.get(&(task, attempt));
            if entry.is_some_and(|entry| {
                entry.state == TaskState::Sent
                    && !entry.is_listed_in(heartbeat, task.index, attempt)
            }) {
                machine.remove_lost(task, attempt, START_REFUSED, &mut self.events);
            }
        }
    }

    /// Handles a failed call. `may_be_executed` is false if the worker certainly did not execute it and never
    /// will.
    fn complete_failed_call(
        &mut self,
        now: Micros,
        id: &Arc<str>,
        call: InFlightCall,
        may_be_executed: bool,
    ) {
        self.direct_path.record_call(call.proxied, false);
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        machine.direct_failures += 1;
        machine.use_proxy = !call.proxied;
        machine.proxied_at = now;
        if may_be_executed && !fault_injected(InjectedFault::FenceCounterNotRaised) {
            // The lost call may still be executed minutes later. Commands carry a higher fencing
            // token from now on; once the worker has reported that token, it rejects the lost call.
            machine.raise_fence();
            self.highest_fence_counter = self.highest_fence_counter.max(machine.fence_counter);
        }
        // When the direct path has just failed, a peer may still reach the machine.
        let has_other_path =
            !call.proxied && machine.direct_failures == 1 && !self.peers.is_empty();
        for start in call.starts {
            let Some(entry) = machine.tasks.get_mut(&start) else {
                continue;
            };
            if may_be_executed {
                entry.mark_start_lost();
            } else if !matches!(entry.delivery, Delivery::Direct { open: true, .. }) {
                // A heartbeat has listed the attempt in the meantime.
            } else if has_other_path && entry.state == TaskState::Sent && entry.stop.is_none() {
                // Certainly not executed: the start is sent again through a peer or in a heartbeat answer.
                entry.state = TaskState::Ready;
                entry.delivery = Delivery::Unsent;
            } else {
                machine.remove_lost(start.0, start.1, MACHINE_NOT_REACHED, &mut self.events);
            }
        }
    }
}

/// A call to a machine, before the choice between the direct path and a peer.
struct PreparedCall {
    address: SocketAddr,
    fencing_token: u64,
    /// The attempts whose start commands it carries.
    starts: Vec<(TaskId, u64)>,
    body: Vec<u8>,
}

impl Machine {
    /// Whether a command or a probe may be due to it now.
    fn has_due_command(&self, now: Micros, elected_at: Micros, period: Micros) -> bool {
        let has_pending_command = |entry: &TaskEntry| {
            entry.state == TaskState::Ready || (entry.stop.is_some() && entry.holds_resources())
        };
        self.in_flight.is_none()
            && !self.releasing
            && (self.needs_probe(now, elected_at, period)
                || self.tasks.values().any(has_pending_command))
    }

    /// Whether the next call to an unreachable machine has to wait. Calls alternate between the direct
    /// path and the peers: two zones may be partitioned from each other while a third reaches both.
    /// The first retry after a failure uses the other path and does not wait.
    fn is_backing_off(&self, now: Micros) -> bool {
        let failures = self.direct_failures.min(UNREACHABLE_BACKOFF_FAILURES_MAX);
        self.direct_failures > 1
            && now < self.last_call_at + UNREACHABLE_RETRY_INTERVAL * u64::from(failures)
    }

    /// Notices an agent that has lost its state. Its answer to a call is newer than every heartbeat that was known
    /// when the call was sent, so an answer with a lower number shows that it counts from the start again.
    fn note_call_answer(&mut self, now: Micros, known_before: (u64, u64), heartbeat: &Heartbeat) {
        if !self.agent_state_lost && (heartbeat.agent_epoch, heartbeat.sequence) <= known_before {
            log::warn!(
                "agent has lost its state, waiting for its next epoch machine={} epoch={} sequence={} known_sequence={}",
                self.id,
                heartbeat.agent_epoch,
                heartbeat.sequence,
                known_before.1
            );
            self.agent_state_lost = true;
            // Its lease counts from its start, which was before now.
            self.last_answered_at = now;
            // Copies of earlier starts are refused as soon as a further call has shown it the higher token.
            self.raise_fence();
        }
    }

    /// Whether starts may be sent to it in direct calls: the stored registry contains it, so later
    /// leaders know of it, and no older command can still be executed there.
    fn accepts_direct_starts(&self) -> bool {
        !self.in_doubt
            && self.term_confirmed
            && self.registered
            && !self.silence_stored
            && !self.agent_state_lost
    }

    /// The peer that the next call goes through; `None` for the direct path. Prefers the peer that
    /// forwarded the machine's last heartbeat; otherwise the peers take turns as failures accumulate.
    fn choose_proxy(
        &self,
        now: Micros,
        peers: &[SocketAddr],
        direct_path: &mut DirectPathHealth,
    ) -> Option<SocketAddr> {
        let bypasses = self.direct_failures == 0 && direct_path.should_bypass(now);
        if !self.use_proxy && !bypasses {
            return None;
        }
        let turn = self.direct_failures as usize / 2 % peers.len().max(1);
        self.heartbeat_proxy.or(peers.get(turn).copied())
    }
}

impl TaskEntry {
    /// Whether the heartbeat lists this attempt; `index` is the index of the task within its job.
    fn is_listed_in(&self, heartbeat: &Heartbeat, index: u32, attempt: u64) -> bool {
        heartbeat.tasks.iter().any(|reported| {
            let name = split_task_name(&reported.task);
            reported.attempt == attempt && name == Some((&*self.uid, index))
        })
    }

    /// Marks the call that carried the start as closed with an unknown outcome: from now on only a
    /// heartbeat with a higher fencing token, or of a later agent epoch, rules the start out.
    fn mark_start_lost(&mut self) {
        if fault_injected(InjectedFault::FenceCounterNotRaised) {
            self.delivery = Delivery::Settled;
        } else if let Delivery::Direct { open, .. } = &mut self.delivery {
            *open = false;
        }
    }
}

/// The heartbeat in the answer of a worker that has processed a call. Status 409 means that it
/// refused the commands because of their fencing token or agent epoch.
fn answered_heartbeat(outcome: &Outcome) -> Option<Heartbeat> {
    match outcome {
        Outcome::Reply {
            status: 200 | 409,
            body,
        } => serde_json::from_slice(body).ok(),
        _ => None,
    }
}

/// Whether a failed call may have been executed, or may still be executed later.
fn may_be_executed(outcome: &Outcome) -> bool {
    !matches!(
        outcome,
        Outcome::NotSent | Outcome::Refused | Outcome::Reply { status: 400, .. }
    )
}
