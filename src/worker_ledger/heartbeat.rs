//! What workers say of themselves, taken into the ledger.

use super::commands::start_command;
use super::*;
use crate::seeded_hash::HashSet;
use crate::wire::{HeartbeatRow, TaskStatus, split_task_name};
use compact_str::ToCompactString;

/// What a report that is said to be like an earlier one leads to.
#[derive(Debug)]
pub enum RepeatOutcome {
    /// There is no such report here.
    Unknown,
    /// This worker must get no 200.
    Refused,
    Answer(Commands),
}

impl WorkerLedger {
    /// Takes a worker's report from `/checkin` and returns the answer, or None when this worker
    /// must get no 200 (its machine is gone). The digest, if there is one, is of the report
    /// without its count.
    pub fn take_heartbeat(
        &mut self,
        now: Micros,
        report: Heartbeat,
        digest: Option<u128>,
        via: Option<SocketAddr>,
        dir: &mut dyn JobDirectory,
    ) -> Option<Commands> {
        if self.tombstones.contains(&report.machine) {
            return None;
        }
        let newest = self.apply_heartbeat(now, &report, true, via, dir);
        let base = self.base_fencing_token();
        let m = self.machines.get_mut(&report.machine)?;
        if newest {
            m.settled_digest = digest;
            if let Some(digest) = digest {
                m.last_heartbeat = Some((digest, Box::new(report)));
            }
        }
        if m.silence_stored {
            // An answer now would renew a lease that a later leader may count as over.
            return None;
        }
        let mut orders = Vec::new();
        // A report that was overtaken gets no orders: it says nothing of the present.
        if newest {
            Self::collect_commands(now, m, &mut orders, true);
            if m.direct_failures > 0 && m.in_flight.is_none() && m.registered {
                let (agent_epoch, sequence) = (m.agent_epoch, m.sequence);
                for ((key, attempt), e) in &mut m.tasks {
                    if e.state == TaskState::Ready && orders.len() < COMMANDS_PER_ANSWER_MAX {
                        orders.push(start_command(&e.uid, key.index, *attempt));
                        e.state = TaskState::Sent;
                        e.delivery = Delivery::Piggybacked {
                            agent_epoch,
                            sequence,
                        };
                    }
                }
            }
        }
        m.last_answered_at = now;
        Some(Commands {
            fencing_token: base + m.fence_counter,
            agent_epoch: None,
            commands: orders,
        })
    }

    /// Takes what a worker answered to another controller that asked it for us.
    pub fn take_probe_answer(
        &mut self,
        now: Micros,
        report: &Heartbeat,
        dir: &mut dyn JobDirectory,
    ) {
        // One that is not in the ledger comes by its own report.
        if self.machines.contains_key(&report.machine) {
            self.apply_heartbeat(now, report, false, None, dir);
        }
    }

    /// Takes a report that differs from an earlier one only in its count. What it leads to is
    /// what that report would lead to now; it is only not read again, and where the machine is at
    /// rest not even looked through: at any size most reports are of that kind.
    pub fn take_repeated_heartbeat(
        &mut self,
        now: Micros,
        row: &HeartbeatRow,
        via: Option<SocketAddr>,
        dir: &mut dyn JobDirectory,
    ) -> RepeatOutcome {
        if self.tombstones.contains(row.machine()) {
            return RepeatOutcome::Refused;
        }
        let base = self.base_fencing_token();
        let digest = row.digest.get();
        let Some(m) = self.machines.get_mut(row.machine()) else {
            return RepeatOutcome::Unknown;
        };
        let (agent_epoch, sequence) = (row.agent_epoch.get(), row.sequence.get());
        if fault_injected(InjectedFault::FormerDigestsTrusted) && m.last_heartbeat.is_none() {
            let at_rest = Heartbeat {
                machine: m.id.clone(),
                address: m
                    .address
                    .map_or(CompactString::default(), |a| a.to_compact_string()),
                machine_type: m.machine_type.as_str().into(),
                zone: m.zone.as_str().into(),
                spot: m.spot,
                agent_epoch,
                sequence,
                fencing_token: base + m.fence_counter,
                notice_s: None,
                tasks: Vec::new(),
            };
            return match self.take_heartbeat(now, at_rest, None, via, dir) {
                Some(orders) => RepeatOutcome::Answer(orders),
                None => RepeatOutcome::Refused,
            };
        }
        let Some((_, last)) = m.last_heartbeat.take_if(|l| l.0 == digest) else {
            return RepeatOutcome::Unknown;
        };
        if m.settled_digest == Some(digest)
            && m.agent_epoch == agent_epoch
            && sequence > m.sequence
            && m.is_settled()
        {
            if now >= m.last_seen_at + self.report_period * 3 {
                self.changed_machines.insert(m.id.clone());
            }
            (
                m.sequence,
                m.last_seen_at,
                m.last_heartbeat_at,
                m.last_answered_at,
            ) = (sequence, now, now, now);
            self.any_machine_seen_at = now;
            m.heartbeat_proxy = via;
            m.use_proxy &= via.is_some();
            if m.held_tasks().next().is_some() {
                m.idle_since = now;
            }
            m.last_heartbeat = Some((digest, last));
            return RepeatOutcome::Answer(Commands {
                fencing_token: base + m.fence_counter,
                agent_epoch: None,
                commands: Vec::new(),
            });
        }
        let mut report = *last;
        report.sequence = sequence;
        match self.take_heartbeat(now, report, Some(digest), via, dir) {
            Some(orders) => RepeatOutcome::Answer(orders),
            None => RepeatOutcome::Refused,
        }
    }

    /// Takes what a worker says into the ledger; false when it had been overtaken.
    pub(super) fn apply_heartbeat(
        &mut self,
        now: Micros,
        r: &Heartbeat,
        checkin: bool,
        via: Option<SocketAddr>,
        dir: &mut dyn JobDirectory,
    ) -> bool {
        let id = r.machine.clone();
        let base = self.base_fencing_token();
        let m = self.machines.entry(id.clone()).or_insert_with(|| {
            let mut m = Self::machine(&id, &r.machine_type, &r.zone, r.spot, now);
            // Once more a name that was let go: a copy of what it said before proves nothing new.
            (m.agent_epoch, m.sequence) = self.last_observed.get(&id).copied().unwrap_or_default();
            m
        });
        self.changed_machines.insert(id.clone());
        let nameless = m.address.is_none();
        if (r.agent_epoch, r.sequence) <= (m.agent_epoch, m.sequence)
            && !fault_injected(InjectedFault::CopyTaken)
        {
            return false;
        }
        m.settled_digest = None;
        // Worker and machine description may change only with the machine, so take it as told.
        m.address = r.address.parse().ok().or(m.address);
        let session_moved = r.agent_epoch > m.agent_epoch && m.agent_epoch > 0;
        // Its lease ran out though it was answered: it may not hear us. It gets no start before it has shown
        // that it does, by a token that only an answer or a command of now can have told it.
        if session_moved && m.term_confirmed && now < m.last_answered_at + self.lease {
            m.fence_counter = (m.fence_counter + 1).min((1 << FENCE_COUNTER_BITS) - 1);
            m.in_doubt = true;
        }
        m.agent_epoch = r.agent_epoch;
        m.sequence = r.sequence;
        m.fencing_token_seen = m.fencing_token_seen.max(r.fencing_token);
        m.last_seen_at = now;
        self.any_machine_seen_at = now;
        if m.silent_since.take().is_some() {
            m.registry_stale = true;
        }
        if checkin {
            m.last_heartbeat_at = now;
            m.heartbeat_proxy = via;
            if via.is_none() {
                // It reaches us, so we reach it.
                m.use_proxy = false;
            }
        }
        m.reclaim_at = r.notice_s.map(|s| now + from_secs(s));
        if m.reclaim_at.is_some() {
            self.noticed_machines.insert(id.clone());
        }
        let assumed = fault_injected(InjectedFault::HearingAssumed);
        let first = !m.term_confirmed && (r.fencing_token >= base || assumed);
        m.term_confirmed |= r.fencing_token >= base || assumed;
        if r.fencing_token >= base + m.fence_counter || assumed {
            m.in_doubt = false;
        }
        if r.fencing_token > base + m.fence_counter
            && r.fencing_token < base + (1 << FENCE_COUNTER_BITS)
        {
            // Only possible if this node lost count; a later term's token is never taken over.
            m.fence_counter = r.fencing_token - base;
        }
        // What is stored as here and not proven, against what this report tells for the first time.
        let unproven = first || !m.term_confirmed;
        let known = |key: TaskId| m.attempts(key).next().is_some();
        let unconfirmed = m
            .tasks
            .iter()
            .filter(|t| t.1.state == TaskState::Unconfirmed);
        let stored: Vec<TaskId> = if unproven {
            let unconfirmed = unconfirmed.map(|((key, _), _)| *key);
            unconfirmed.filter(|key| !known(*key)).collect()
        } else {
            Vec::new()
        };
        let mut told = Vec::new();
        let mut shown = Vec::new();
        let mut listed = HashSet::default();
        for p in &r.tasks {
            let Some((uid, part)) = split_task_name(&p.task) else {
                continue;
            };
            let (job, spec) = match dir.find(uid) {
                Some((job, spec)) => (job, Some(spec)),
                None => (dir.number_unknown_job(uid), None),
            };
            let key = TaskId { job, index: part };
            listed.insert((key, p.attempt));
            // The stored placement has turned into a real one; but only a report under this term tells the
            // attempt that it stands for. An earlier word, or a copy of one, may tell of an attempt before that:
            // were the placement taken for it, the task would be free once that attempt is gone.
            let ripe = m.term_confirmed || fault_injected(InjectedFault::PlacementShownEarly);
            if p.attempt != 0 && ripe && m.tasks.remove(&(key, 0)).is_some() {
                shown.push(key);
            }
            let known = m.tasks.contains_key(&(key, p.attempt));
            let e = m.tasks.entry((key, p.attempt)).or_insert_with(|| {
                Self::entry(
                    TaskState::Sent,
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
            let cancelled = spec.is_some() && dir.is_cancelled(job);
            if !known && (spec.is_none() || cancelled) {
                e.stop = Some(StopRequest {
                    grace_s: 0.0,
                    sent_at: None,
                    reason: if cancelled {
                        StopReason::Cancelled
                    } else {
                        StopReason::Redundant
                    },
                });
            }
            if unproven && !known {
                let ended = p.status == TaskStatus::Ended;
                told.push((
                    key,
                    if ended {
                        ReportedState::Ended
                    } else {
                        ReportedState::Present
                    },
                ));
            }
            let fresh = !known && spec.is_some() && p.status != TaskStatus::Ended;
            let event = |what| TaskEvent {
                machine: id.clone(),
                task: key,
                attempt: p.attempt,
                kind: what,
            };
            if fresh {
                self.events.push(event(TaskEventKind::Discovered));
            }
            match p.status {
                _ if e.state == TaskState::Ended => {}
                TaskStatus::Fetching => e.state = TaskState::Fetching,
                TaskStatus::Running | TaskStatus::WaitingForGang | TaskStatus::Checkpointing => {
                    if e.running_since.is_none() {
                        e.running_since = Some(now);
                        if let Some(s) = &e.spec {
                            let held = m.images.insert(s.image.clone(), (now, s.image_gb));
                            m.images_stale |= held.is_none();
                        }
                        self.events.push(event(TaskEventKind::Started));
                    }
                    e.state = if p.status == TaskStatus::Checkpointing {
                        TaskState::Checkpointing
                    } else {
                        TaskState::Running
                    };
                }
                TaskStatus::Ended => {
                    e.state = TaskState::Ended;
                    let since = e.running_since.filter(|_| e.started_here);
                    let ran = since.map_or(0, |t| now.saturating_sub(t));
                    let cause = p.cause.clone().unwrap_or_else(|| "unknown".into());
                    e.cause = Some(cause.clone());
                    if e.spec.is_none() {
                        e.acknowledge_allowed = true;
                    }
                    self.events.push(event(TaskEventKind::Ended {
                        cause,
                        saved: p.saved == Some(true),
                        ran,
                        stop: e.stop.map(|h| h.reason),
                    }));
                }
            }
        }
        if unproven {
            self.reconciled.reconcile(&stored, &told, first);
        }
        let heard = m.term_confirmed;
        let (agent_epoch, sequence, token) = (r.agent_epoch, r.sequence, r.fencing_token);
        let mut gone = Vec::new();
        for ((key, attempt), e) in &m.tasks {
            if listed.contains(&(*key, *attempt)) {
                continue;
            }
            let proof = if e.state == TaskState::Unconfirmed {
                // Only a report under this term rules out an older leader's late start.
                heard
            } else {
                match e.delivery {
                    Delivery::Unsent => false,
                    Delivery::Settled => true,
                    Delivery::Direct {
                        agent_epoch: s,
                        token: t,
                        open,
                    } => agent_epoch > s || (!open && token > t),
                    Delivery::Piggybacked {
                        agent_epoch: s,
                        sequence: n,
                    } => agent_epoch > s || (checkin && sequence > n),
                }
            };
            if proof {
                gone.push((*key, *attempt, e.state == TaskState::Ended));
            }
        }
        for key in shown {
            self.events.push(TaskEvent {
                machine: id.clone(),
                task: key,
                attempt: 0,
                kind: TaskEventKind::PlacementConfirmed,
            });
        }
        let why = if session_moved {
            LEASE_EXPIRED
        } else {
            NOT_THERE
        };
        for (key, attempt, ended) in gone {
            m.tasks.remove(&(key, attempt));
            if !ended {
                self.events.push(TaskEvent {
                    machine: id.clone(),
                    task: key,
                    attempt,
                    kind: TaskEventKind::Lost { why },
                });
            }
        }
        if m.held_tasks().next().is_some() {
            m.idle_since = now;
        }
        if m.registry_stale || m.images_stale || (nameless && !m.registered) {
            self.registry_updates.insert(id.clone());
        }
        if m.tasks.values().any(TaskEntry::has_unsent_command) {
            self.machines_to_send.insert(id);
        }
        true
    }
}
