//! Takes what workers report of themselves into the ledger, and answers their heartbeats.
//!
//! Heartbeats come in three ways: posted by a worker (directly or through a peer), as the answer
//! to a direct command, and as the answer to a peer that probed the worker. Only the first kind
//! renews the worker's lease. A heartbeat that is not newer than the last one taken changes
//! nothing, and its answer carries no commands; a machine with a tombstone, or one whose silence
//! is stored, never gets a successful answer.

use super::WorkerLedger;
use super::commands::CommandChannel;
use super::event::{TaskEvent, TaskEventKind};
use super::machine::{DigestedHeartbeat, FENCE_COUNTER_BITS, HeartbeatSource, Machine};
use super::task_entry::{Delivery, TaskEntry};
use crate::clock::{Micros, from_secs};
use crate::fault_injection::{InjectedFault, fault_injected};
use crate::task_id::JobDirectory;
use crate::wire::{Commands, Heartbeat, HeartbeatRow};
use compact_str::{CompactString, ToCompactString};
use std::net::SocketAddr;

/// What a heartbeat that repeats an earlier one leads to.
#[derive(Debug)]
pub enum RepeatOutcome {
    /// The earlier heartbeat is not held here: the sender must send this one whole.
    Unknown,
    /// This worker must get no successful answer.
    Refused,
    /// The answer for the worker.
    Answer(Commands),
}

impl RepeatOutcome {
    fn from_answer(answer: Option<Commands>) -> Self {
        answer.map_or(Self::Refused, Self::Answer)
    }
}

impl WorkerLedger {
    /// Takes a heartbeat that a worker posted and returns the answer, or `None` when the worker
    /// must get no successful answer: its machine is gone, or its silence is stored. `digest`, if
    /// there is one, is of the heartbeat without its sequence number; `via` is the peer that
    /// forwarded it.
    pub fn take_heartbeat(
        &mut self,
        now: Micros,
        heartbeat: Heartbeat,
        digest: Option<u128>,
        via: Option<SocketAddr>,
        jobs: &mut dyn JobDirectory,
    ) -> Option<Commands> {
        if self.is_tombstoned(&heartbeat.machine) {
            return None;
        }
        let source = HeartbeatSource::CheckIn { proxy: via };
        let is_newest = self.apply_heartbeat(now, &heartbeat, source, jobs);
        let term_base = self.base_fencing_token();
        let machine = self.machines.get_mut(&heartbeat.machine)?;
        if is_newest {
            machine.settled_digest = digest;
            if let Some(digest) = digest {
                machine.last_heartbeat = Some(DigestedHeartbeat {
                    digest,
                    heartbeat: Box::new(heartbeat),
                });
            }
        }
        if machine.silence_stored {
            // An answer now would renew a lease that a later leader may count as over.
            return None;
        }
        let mut commands = Vec::new();
        // A heartbeat that was overtaken gets no commands: it says nothing of the present.
        if is_newest {
            machine.collect_stops(now, CommandChannel::HeartbeatAnswer, &mut commands);
            if machine.direct_failures > 0 && machine.in_flight.is_none() && machine.registered {
                let delivery = Delivery::Piggybacked {
                    agent_epoch: machine.agent_epoch,
                    sequence: machine.sequence,
                };
                machine.collect_starts(delivery, &mut commands);
            }
        }
        machine.last_answered_at = now;
        Some(Commands {
            fencing_token: term_base + machine.fence_counter,
            agent_epoch: None,
            commands,
        })
    }

    /// Takes what a worker answered to a peer that probed it for this leader.
    pub fn take_probe_answer(
        &mut self,
        now: Micros,
        heartbeat: &Heartbeat,
        jobs: &mut dyn JobDirectory,
    ) {
        // A machine that is not in the ledger enters it by a heartbeat that it posts itself.
        if self.machines.contains_key(&heartbeat.machine) {
            self.apply_heartbeat(now, heartbeat, HeartbeatSource::CommandAnswer, jobs);
        }
    }

    /// Takes a heartbeat that differs from an earlier one only in its sequence number. It leads to
    /// what that heartbeat would lead to now, without being parsed again; where the machine is
    /// settled its tasks are not even looked through. At any fleet size most heartbeats are of
    /// that kind.
    pub fn take_repeated_heartbeat(
        &mut self,
        now: Micros,
        row: &HeartbeatRow,
        via: Option<SocketAddr>,
        jobs: &mut dyn JobDirectory,
    ) -> RepeatOutcome {
        if self.is_tombstoned(row.machine()) {
            return RepeatOutcome::Refused;
        }
        let term_base = self.base_fencing_token();
        let silence = self.silence_timeout();
        let digest = row.digest.get();
        let Some(machine) = self.machines.get_mut(row.machine()) else {
            return RepeatOutcome::Unknown;
        };
        if fault_injected(InjectedFault::PreviousDigestsTrusted) && machine.last_heartbeat.is_none()
        {
            let assumed = machine.idle_heartbeat(row, term_base);
            return RepeatOutcome::from_answer(self.take_heartbeat(now, assumed, None, via, jobs));
        }
        let is_held = |held: &DigestedHeartbeat| held.digest == digest;
        if !machine.last_heartbeat.as_ref().is_some_and(is_held) {
            return RepeatOutcome::Unknown;
        }
        if machine.is_settled_repeat(row) {
            if now >= machine.last_seen_at + silence {
                // It counted as silent until now.
                self.changed_machines.insert(machine.id.clone());
            }
            self.any_machine_seen_at = now;
            machine.record_settled_repeat(now, row.sequence.get(), via);
            return RepeatOutcome::Answer(Commands {
                fencing_token: term_base + machine.fence_counter,
                agent_epoch: None,
                commands: Vec::new(),
            });
        }
        let Some(held) = machine.last_heartbeat.take() else {
            return RepeatOutcome::Unknown;
        };
        let mut heartbeat = *held.heartbeat;
        heartbeat.sequence = row.sequence.get();
        RepeatOutcome::from_answer(self.take_heartbeat(now, heartbeat, Some(digest), via, jobs))
    }

    /// Takes a heartbeat into the ledger; false when a newer one was taken before.
    pub(super) fn apply_heartbeat(
        &mut self,
        now: Micros,
        heartbeat: &Heartbeat,
        source: HeartbeatSource,
        jobs: &mut dyn JobDirectory,
    ) -> bool {
        let id = heartbeat.machine.clone();
        let term_base = self.base_fencing_token();
        let machine = self.machines.entry(id.clone()).or_insert_with(|| {
            let last_observed = self.last_observed.get(&id).copied().unwrap_or_default();
            Machine::from_heartbeat(heartbeat, last_observed, now)
        });
        self.changed_machines.insert(id.clone());
        if !machine.is_older_than(heartbeat)
            && !fault_injected(InjectedFault::DuplicateHeartbeatAccepted)
        {
            return false;
        }
        let had_address = machine.address.is_some();
        let agent_restarted = machine.record_agent_epoch(now, heartbeat, self.lease_duration);
        machine.record_contact(now, heartbeat, source);
        self.any_machine_seen_at = now;
        if machine.reclaim_at.is_some() {
            self.noticed_machines.insert(id.clone());
        }
        let first_under_term = machine.confirm_fencing_token(heartbeat.fencing_token, term_base);
        self.highest_fence_counter = self.highest_fence_counter.max(machine.fence_counter);

        // What is stored as being here and not proven is compared with what is reported for the first time.
        let unproven = first_under_term || !machine.term_confirmed;
        let stored = if unproven {
            machine.unreported_placements()
        } else {
            Vec::new()
        };
        let events = &mut self.events;
        let reported = machine.apply_reported_tasks(now, heartbeat, unproven, jobs, events);
        if unproven {
            self.reconciled
                .reconcile(&stored, &reported.newly_reported, first_under_term);
        }
        events.extend(reported.confirmed_placements.iter().map(|task| TaskEvent {
            machine: id.clone(),
            task: *task,
            attempt: 0,
            kind: TaskEventKind::PlacementConfirmed,
        }));
        machine.drop_unlisted_tasks(heartbeat, source, &reported.listed, agent_restarted, events);

        if machine.held_tasks().next().is_some() {
            machine.idle_since = now;
        }
        let is_new = !had_address && !machine.registered;
        if machine.registry_stale || machine.images_stale || is_new {
            self.registry_updates.insert(id.clone());
        }
        if machine.tasks.values().any(TaskEntry::has_unsent_command) {
            self.machines_to_send.insert(id);
        }
        true
    }
}

impl Machine {
    /// A machine that enters the ledger by its heartbeat. `last_observed` is the agent epoch and
    /// sequence number up to which an earlier machine of that name was known, or zeros: a copy of an
    /// earlier heartbeat proves nothing new.
    fn from_heartbeat(heartbeat: &Heartbeat, last_observed: (u64, u64), now: Micros) -> Self {
        let mut machine = Self::new(
            heartbeat.machine.clone(),
            &heartbeat.machine_type,
            &heartbeat.zone,
            heartbeat.spot,
            now,
        );
        (machine.agent_epoch, machine.sequence) = last_observed;
        machine
    }

    /// Whether the heartbeat is newer than the last one taken.
    fn is_older_than(&self, heartbeat: &Heartbeat) -> bool {
        (heartbeat.agent_epoch, heartbeat.sequence) > (self.agent_epoch, self.sequence)
    }

    /// Takes over the agent epoch; true when the agent has restarted since the last heartbeat, so
    /// that every task of its former epoch is gone.
    fn record_agent_epoch(
        &mut self,
        now: Micros,
        heartbeat: &Heartbeat,
        lease_duration: Micros,
    ) -> bool {
        let restarted = heartbeat.agent_epoch > self.agent_epoch && self.agent_epoch > 0;
        // Its lease ran out though it was answered: answers may not reach it. It gets no start before it
        // has shown a fencing token that only an answer or a command sent from now on can have carried.
        if restarted && self.term_confirmed && now < self.last_answered_at + lease_duration {
            self.raise_fence();
        }
        self.agent_epoch = heartbeat.agent_epoch;
        restarted
    }

    /// Takes over what a heartbeat says of the machine itself, and that and how it got through.
    fn record_contact(&mut self, now: Micros, heartbeat: &Heartbeat, source: HeartbeatSource) {
        self.settled_digest = None;
        // The agent's address may change with each of its starts, so the latest holds.
        self.address = heartbeat.address.parse().ok().or(self.address);
        self.sequence = heartbeat.sequence;
        self.last_seen_at = now;
        if self.silent_since.take().is_some() {
            self.registry_stale = true;
        }
        if let HeartbeatSource::CheckIn { proxy } = source {
            self.last_heartbeat_at = now;
            self.heartbeat_proxy = proxy;
            // A worker that reaches this node is taken to be reachable from it.
            self.use_proxy &= proxy.is_some();
        }
        self.reclaim_at = heartbeat.notice_s.map(|notice| now + from_secs(notice));
    }

    /// Takes over the fencing token that the worker has seen; true when it has shown this term's
    /// for the first time. `term_base` is the lowest token of this term.
    fn confirm_fencing_token(&mut self, token: u64, term_base: u64) -> bool {
        let assumed = fault_injected(InjectedFault::ReachabilityAssumed);
        let shows_term = token >= term_base || assumed;
        let is_first = !self.term_confirmed && shows_term;
        self.term_confirmed |= shows_term;
        if token >= term_base + self.fence_counter || assumed {
            self.in_doubt = false;
        }
        if token > term_base + self.fence_counter && token < term_base + (1 << FENCE_COUNTER_BITS) {
            // Only possible if this node lost count; a later term's token is never adopted.
            self.fence_counter = token - term_base;
        }
        is_first
    }

    /// Whether the row repeats the heartbeat taken last, and nothing has been open since.
    fn is_settled_repeat(&self, row: &HeartbeatRow) -> bool {
        self.settled_digest == Some(row.digest.get())
            && self.agent_epoch == row.agent_epoch.get()
            && row.sequence.get() > self.sequence
            && self.is_settled()
    }

    /// Records a repeated heartbeat of a settled machine, and that it is answered.
    fn record_settled_repeat(&mut self, now: Micros, sequence: u64, proxy: Option<SocketAddr>) {
        self.sequence = sequence;
        self.last_seen_at = now;
        self.last_heartbeat_at = now;
        self.last_answered_at = now;
        self.heartbeat_proxy = proxy;
        self.use_proxy &= proxy.is_some();
        if self.held_tasks().next().is_some() {
            self.idle_since = now;
        }
    }

    /// The heartbeat of a machine that has nothing to report; an injected fault takes it for one
    /// that was never received.
    fn idle_heartbeat(&self, row: &HeartbeatRow, term_base: u64) -> Heartbeat {
        let address = self.address;
        Heartbeat {
            machine: self.id.clone(),
            address: address.map_or(CompactString::default(), |a| a.to_compact_string()),
            machine_type: self.machine_type.as_str().into(),
            zone: self.zone.as_str().into(),
            spot: self.spot,
            agent_epoch: row.agent_epoch.get(),
            sequence: row.sequence.get(),
            fencing_token: term_base + self.fence_counter,
            notice_s: None,
            tasks: Vec::new(),
        }
    }
}
