//! Direct calls to workers: commands and probes that do not wait for the next heartbeat.
//!
//! Decides when a machine is called and whether directly or through a peer, and takes the outcome.
//! At most one call to a machine is open at a time. The invariant at this door: a call whose
//! outcome is unknown raises the machine's fence, so that no new start is sent before the lost one
//! can no longer be executed; a call that was surely not executed may be repeated at once.

use super::WorkerLedger;
use super::commands::CommandChannel;
use super::machine::{HeartbeatSource, InFlightCall, Machine};
use super::task_entry::{Delivery, TaskEntry, TaskState};
use crate::clock::{MILLISECOND, Micros, SECOND};
use crate::fault_injection::{InjectedFault, fault_injected};
use crate::messages::{Outcome, Output, Ticket};
use crate::task_id::{JobDirectory, TaskId};
use crate::wire::{COMMANDS_PATH, Commands, Heartbeat, KIND_DELIVER_COMMANDS};
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::Arc;

/// A leader whose inputs wait for longer than this starts nothing by direct calls: such a call, mostly over a new
/// connection, costs it as much as a heartbeat, and the heartbeats that renew leases wait behind it.
const DIRECT_START_LAG_MAX: Micros = 500 * MILLISECOND;
const DIRECT_CALL_TIMEOUT: Micros = 2 * SECOND;
/// How long commands go through a peer before the direct path is tried again.
const PROXY_USE_TIME: Micros = 20 * SECOND;
/// Between two calls to a machine that can't be reached; grows with the failures.
const UNREACHABLE_RETRY_INTERVAL: Micros = 600 * MILLISECOND;
/// The interval grows with no more failures than these.
const UNREACHABLE_BACKOFF_FAILURES_MAX: u32 = 8;
/// How often machines are scanned for what only the passing of time makes due.
const SCAN_INTERVAL: Micros = 250 * MILLISECOND;
/// Of a large fleet one scan covers only this part: what is repeated at all is repeated after
/// seconds, and a walk over all tasks four times a second took a twentieth of a leader's time.
const SCAN_PARTS: usize = 4;
/// A fleet up to this size is scanned whole.
const FULL_SCAN_MACHINES: usize = 256;
/// That many direct calls that fail in a row say that the fault is not with the machines.
const DIRECT_FAILURES_MAX: u32 = 12;
const DIRECT_RETRY_INTERVAL: Micros = 2 * SECOND;

const START_REFUSED: &str = "start refused";
const MACHINE_NOT_REACHED: &str = "machine not reached";

/// Whether this node reaches workers at all. A node can lose all of them while its peers still
/// reach them; then each start would first fail on the direct path.
#[derive(Default)]
pub(super) struct DirectPathHealth {
    /// Direct calls that failed since the last that did not.
    failures: u32,
    tried_at: Micros,
}

impl DirectPathHealth {
    fn record_call(&mut self, proxied: bool, succeeded: bool) {
        if !proxied {
            self.failures = if succeeded { 0 } else { self.failures + 1 };
        }
    }

    /// Whether to use a peer at once; now and then one call tries the direct path all the same.
    fn should_bypass(&mut self, now: Micros) -> bool {
        if self.failures < DIRECT_FAILURES_MAX {
            return false;
        }
        let tries_direct = now >= self.tried_at + DIRECT_RETRY_INTERVAL;
        if tries_direct {
            self.tried_at = now;
        }
        !tries_direct
    }
}

impl WorkerLedger {
    /// Sends what is due: starts, stops and probes. Each call takes the next number of `tickets`
    /// and is appended to `out`.
    pub fn send_due(&mut self, now: Micros, tickets: &mut Ticket, out: &mut Vec<Output>) {
        let mut due = std::mem::take(&mut self.machines_to_send);
        let mut probes_left = self.probe_budget();
        if now >= self.next_scan_at {
            // What time alone makes due: repeats, probes, calls after a failure.
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

    /// What is to be sent to a machine now, if anything; marks the starts as sent.
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
        machine.collect_stops(now, CommandChannel::DirectCall, &mut commands);
        let mut starts = Vec::new();
        let has_time_for_starts = self.loop_lag <= DIRECT_START_LAG_MAX;
        if has_time_for_starts && machine.may_be_sent_starts() {
            let delivery = Delivery::Direct {
                token: fencing_token,
                agent_epoch: machine.agent_epoch,
                open: true,
            };
            starts = machine.collect_starts(delivery, &mut commands);
        }
        if !starts.is_empty() {
            self.first_start_at = self.first_start_at.or(Some(now));
        }
        if commands.is_empty() && !is_probe {
            return None;
        }
        *probes_left -= usize::from(is_probe);
        self.commands_sent += commands.len() as u64;
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
                proxied: proxy.is_some(),
            });
            proxy
        });
        self.calls.insert(ticket, id.clone());
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

    /// The next part of the machines to scan, in the order of names; after the last comes the
    /// first again.
    fn next_scan_part(&mut self, now: Micros) -> Vec<Arc<str>> {
        // After a failover all wait to be probed, or to be taken back from peers that did not probe them.
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

    /// When `send_due` is to be called next. What waits to be sent goes with the inputs that made
    /// it due; only the scan needs a time.
    pub fn wake_at(&self, now: Micros) -> Micros {
        if self.next_scan_at > now {
            self.next_scan_at
        } else {
            now + SCAN_INTERVAL
        }
    }

    /// Whether the ticket is of a call that this ledger opened.
    pub fn owns(&self, ticket: Ticket) -> bool {
        self.calls.contains_key(&ticket)
    }

    /// Takes the outcome of a direct call.
    pub fn handle_outcome(
        &mut self,
        now: Micros,
        ticket: Ticket,
        outcome: &Outcome,
        jobs: &mut dyn JobDirectory,
    ) {
        let Some(id) = self.calls.remove(&ticket) else {
            return;
        };
        let Some(machine) = self.machines.get_mut(&id) else {
            return;
        };
        let Some(call) = machine.in_flight.take_if(|call| call.ticket == ticket) else {
            return;
        };
        // What became due while the call was open can go now.
        self.machines_to_send.insert(id.clone());
        self.changed_machines.insert(id.clone());
        match answered_heartbeat(outcome).filter(|heartbeat| heartbeat.machine == id) {
            Some(heartbeat) => self.complete_answered_call(now, call, &heartbeat, jobs),
            None => self.complete_failed_call(now, &id, call, may_be_executed(outcome)),
        }
    }

    /// The worker has handled the call, executed its commands or not.
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
            // A start that the heartbeat after it doesn't list was not executed.
            for start in &call.starts {
                if let Some(entry) = machine.tasks.get_mut(start)
                    && matches!(entry.delivery, Delivery::Direct { token, open: true, .. } if token == call.fencing_token)
                {
                    entry.delivery = Delivery::Settled;
                }
            }
        }
        if self.apply_heartbeat(now, heartbeat, HeartbeatSource::CommandAnswer, jobs) {
            return;
        }
        // Overtaken by a newer heartbeat, which had its chance to list these starts.
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        for start in call.starts {
            let entry = machine.tasks.get(&start);
            if entry.is_some_and(|entry| entry.state == TaskState::Sent) {
                machine.remove_lost(start.0, start.1, START_REFUSED, &mut self.events);
            }
        }
    }

    /// The call failed; `may_be_executed` unless it surely did not reach the worker.
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
            // It may be executed minutes later: from now on only a higher token counts, and
            // once the worker has shown that one, the lost call can no longer be executed.
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
                // A heartbeat has listed it meanwhile.
            } else if has_other_path && entry.state == TaskState::Sent && entry.stop.is_none() {
                // Surely not executed: it goes through a peer, or in the answer to a heartbeat.
                entry.state = TaskState::Ready;
                entry.delivery = Delivery::Unsent;
            } else {
                machine.remove_lost(start.0, start.1, MACHINE_NOT_REACHED, &mut self.events);
            }
        }
    }
}

/// A call to a machine whose path is not chosen yet.
struct PreparedCall {
    address: SocketAddr,
    fencing_token: u64,
    /// The attempts that it carries start commands for.
    starts: Vec<(TaskId, u64)>,
    body: Vec<u8>,
}

impl Machine {
    /// Whether something may have to be sent to it now.
    fn has_due_command(&self, now: Micros, elected_at: Micros, period: Micros) -> bool {
        let is_open = |entry: &TaskEntry| {
            entry.state == TaskState::Ready || (entry.stop.is_some() && entry.occupies())
        };
        self.in_flight.is_none()
            && !self.releasing
            && (self.needs_probe(now, elected_at, period) || self.tasks.values().any(is_open))
    }

    /// A machine that can't be reached is tried now and then, by turns directly and through the
    /// peers: two zones may be cut while a third sees both. The first try after a failure goes the
    /// other way, at once.
    fn is_backing_off(&self, now: Micros) -> bool {
        let failures = self.direct_failures.min(UNREACHABLE_BACKOFF_FAILURES_MAX);
        self.direct_failures > 1
            && now < self.last_call_at + UNREACHABLE_RETRY_INTERVAL * u64::from(failures)
    }

    /// Whether starts may be sent to it directly: later leaders know of it, and no older command
    /// can still be executed there.
    fn may_be_sent_starts(&self) -> bool {
        !self.in_doubt && self.term_confirmed && self.registered && !self.silence_stored
    }

    /// The peer that the next call goes through; `None`: the call goes directly. The peer that
    /// forwarded its last heartbeat comes first, else the peers take turns with the failures.
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
    /// The outcome of the call that carried its start is unknown: the call counts as closed, and
    /// only a heartbeat with a higher fencing token rules the start out.
    fn mark_start_lost(&mut self) {
        if fault_injected(InjectedFault::FenceCounterNotRaised) {
            self.delivery = Delivery::Settled;
        } else if let Delivery::Direct { open, .. } = &mut self.delivery {
            *open = false;
        }
    }
}

/// The heartbeat that answers a call which the worker has handled: 409 when it refused the
/// commands, for their fencing token or agent epoch.
fn answered_heartbeat(outcome: &Outcome) -> Option<Heartbeat> {
    match outcome {
        Outcome::Reply {
            status: 200 | 409,
            body,
        } => serde_json::from_slice(body).ok(),
        _ => None,
    }
}

/// Whether a call that failed may have been executed, or may be later.
fn may_be_executed(outcome: &Outcome) -> bool {
    !matches!(
        outcome,
        Outcome::NotSent | Outcome::Refused | Outcome::Reply { status: 400, .. }
    )
}
