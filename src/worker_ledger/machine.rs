//! One machine of the ledger: the state of the machine and its agent, and the attempts that are, or
//! may be, on it.
//!
//! This module tells whether a machine may take new tasks ([`Machine::unavailable_reason`]) and
//! records task failures (quarantine). The sibling modules `heartbeat`, `commands`, `probes` and
//! `leases` contain the methods that update a machine for their concern.

use super::event::TaskEvent;
use super::task_entry::{TaskEntry, TaskState};
use crate::clock::{Micros, SECOND};
use crate::messages::Ticket;
use crate::schema::is_storable_name;
use crate::task_id::TaskId;
use crate::wire::Heartbeat;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// Number of low bits of a fencing token, below the leader's term, that hold the fence counter. Each
/// machine has its own; raising it invalidates direct commands whose outcome is unknown.
pub(super) const FENCE_COUNTER_BITS: u32 = 24;
/// Duration of a machine's first quarantine, during which it gets no new tasks.
const QUARANTINE: Micros = 45 * SECOND;
/// The longest quarantine: a task that fits only this machine must not wait longer than 90 s for it once it works
/// again. After the quarantine the machine is ranked last among those that fit until a task has succeeded there.
const QUARANTINE_MAX: Micros = 75 * SECOND;
/// The quarantine is doubled at most this many times.
const QUARANTINE_DOUBLINGS_MAX: u32 = 4;
/// Step of the quantized run time bias, as a difference of logarithms: about 4 %.
const RUN_TIME_BIAS_STEP: f64 = 0.04;
/// Weight of the prior assumption that a machine is as fast as the others, as a number of observed run times.
const RUN_TIME_BIAS_PRIOR: f64 = 3.0;
/// A machine counts as unreachable after this many failed direct calls in a row.
const UNREACHABLE_FAILURES: u32 = 2;

/// How a heartbeat reached this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HeartbeatSource {
    /// The worker posted it, through a peer where one is given; the answer renews its lease.
    Posted { proxy: Option<SocketAddr> },
    /// The worker answered a command or a probe; this renews no lease.
    CallAnswer,
}

impl HeartbeatSource {
    /// Whether an answer to it renews the worker's lease.
    pub(super) fn renews_lease(self) -> bool {
        matches!(self, Self::Posted { .. })
    }
}

/// A stored heartbeat. A later one that differs only in its sequence number is sent as a digest and
/// need not be parsed again.
pub(super) struct DigestedHeartbeat {
    /// Digest of the heartbeat without its sequence number.
    pub(super) digest: u128,
    /// The heartbeat as it was received.
    pub(super) heartbeat: Box<Heartbeat>,
}

/// A direct call to the machine that has no outcome yet.
pub(super) struct InFlightCall {
    /// Agent epoch and sequence number of the newest heartbeat when the call was sent.
    pub(super) known_before: (u64, u64),
    /// Identifies the call's outcome.
    pub(super) ticket: Ticket,
    /// The attempts whose start commands it carries.
    pub(super) starts: Vec<(TaskId, u64)>,
    /// The fencing token that it carries.
    pub(super) fencing_token: u64,
    /// Whether it goes through a peer.
    pub(super) proxied: bool,
}

/// Why a machine may take no new tasks. `docs/meetings.md` lists how each of these states ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnavailableReason {
    /// It has not reported a fencing token of this term.
    Unconfirmed,
    /// Its silence mark is stored and not yet removed.
    SilenceStored,
    /// Its entry in the stored machine registry has not been written.
    NotRegistered,
    /// Its agent has lost its state and waits for a new epoch.
    AgentStateLost,
    /// It is being released to its provider.
    Releasing,
    /// A lost command may still be executed, or the machine may be inbound-partitioned.
    InDoubt,
    /// Its provider announced that it will reclaim it.
    SpotNotice,
    /// It is quarantined because tasks failed on it.
    Quarantined,
    /// Its address is unknown, or its name cannot be stored.
    NoAddress,
    /// Neither heartbeats nor answers arrive from it.
    Unresponsive,
    /// It answers calls, but its heartbeats reach no controller.
    OutboundPartitioned,
    /// Calls to it fail by every path.
    Unreachable,
}

impl UnavailableReason {
    /// The reason's name, as shown to operators.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unconfirmed => "unconfirmed",
            Self::SilenceStored => "silence_stored",
            Self::NotRegistered => "not_registered",
            Self::AgentStateLost => "agent_state_lost",
            Self::Releasing => "releasing",
            Self::InDoubt => "in_doubt",
            Self::SpotNotice => "spot_notice",
            Self::Quarantined => "quarantined",
            Self::NoAddress => "no_address",
            Self::Unresponsive => "unresponsive",
            Self::OutboundPartitioned => "outbound_partitioned",
            Self::Unreachable => "unreachable",
        }
    }
}

impl fmt::Display for UnavailableReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// A machine that runs a worker agent. Times are on this node's steady clock unless stated
/// otherwise; 0 means "never".
pub struct Machine {
    /// Its name, unique within the cluster.
    pub id: Arc<str>,
    /// Address at which its agent accepts commands; `None` until known.
    pub address: Option<SocketAddr>,
    /// Name of its machine type, which determines its size.
    pub machine_type: String,
    /// The zone that it is in.
    pub zone: String,
    /// Whether the provider may reclaim it at short notice.
    pub spot: bool,
    /// Grows with each start of the agent; a restart ends all tasks of the previous epoch.
    pub agent_epoch: u64,
    /// Sequence number of the last heartbeat applied, within the agent epoch.
    pub sequence: u64,
    /// It has reported a fencing token of this term, so it rejects all commands of older leaders.
    pub term_confirmed: bool,
    /// When anything was last received from it: a heartbeat or an answer.
    pub last_seen_at: Micros,
    /// When it last posted a heartbeat, directly or through a peer; before the first one, when the
    /// ledger added it. Answers to direct calls prove which tasks they list but renew no lease: an
    /// outbound-partitioned machine loses its tasks.
    pub(super) last_heartbeat_at: Micros,
    /// When one of its heartbeats was last answered, which renews its lease.
    pub(super) last_answered_at: Micros,
    /// Its entry in the stored registry has been written, so that later leaders know of it.
    pub registered: bool,
    /// The stored entry is out of date and must be written again.
    pub registry_stale: bool,
    /// The images in the stored entry are out of date; they need not be written promptly.
    pub images_stale: bool,
    /// Wall-clock time of the last contact with a silent machine. It is stored as the silence mark, so
    /// that a later leader can count the lease from there and not from its own election.
    pub silent_since: Option<Micros>,
    /// A silence mark is stored or may be. Until its removal is stored, the machine gets no successful
    /// answer and no start.
    pub silence_stored: bool,
    /// When its lease has certainly expired, derived from the silence mark of an earlier leader.
    pub(super) silence_lease_end: Option<Micros>,
    /// Its agent began anew in an epoch that it had before, and counts its heartbeats from the start: they can't be told
    /// from copies of old ones. It gets no successful answer, so that its lease expires and it begins a new epoch.
    pub(super) agent_state_lost: bool,
    /// When the provider will reclaim it, once that has been announced.
    pub reclaim_at: Option<Micros>,
    /// The attempts that are, or may be, on it, by task and attempt number. Attempt 0 represents a
    /// stored placement whose attempt is not known.
    pub tasks: BTreeMap<(TaskId, u64), TaskEntry>,
    /// Low bits of the fencing token of commands to this machine.
    pub(super) fence_counter: u64,
    /// The open direct call; there is at most one at a time.
    pub(super) in_flight: Option<InFlightCall>,
    /// When the last direct call was sent.
    pub(super) last_call_at: Micros,
    /// Number of direct calls that failed in a row, by either path.
    pub(super) direct_failures: u32,
    /// The next direct call goes through a peer.
    pub(super) use_proxy: bool,
    /// When a call last failed; going through a peer is limited to some time after it.
    pub(super) proxied_at: Micros,
    /// The peer that forwarded its last heartbeat.
    pub(super) heartbeat_proxy: Option<SocketAddr>,
    /// A lost command may still be executed, or the machine may be inbound-partitioned; see
    /// [`Machine::is_in_doubt`].
    pub(super) in_doubt: bool,
    /// A peer is assigned to probe it; this node does not probe it before this time.
    pub(super) probed_by_peer_until: Micros,
    /// Container images in its cache: when each was last used, and its size in GB.
    pub images: BTreeMap<Arc<str>, (Micros, f64)>,
    /// Number of task failures since a task last succeeded on it.
    pub failures_since_success: u32,
    /// The jobs whose tasks these failures were.
    pub failed_jobs: BTreeSet<u32>,
    /// It gets no new tasks before this time.
    pub quarantined_until: Micros,
    /// How often it was quarantined; each quarantine is longer than the one before, up to a maximum.
    quarantines: u32,
    /// Moving average of the ratio of actual to expected run times on it; 1 is as expected.
    pub slowness: f64,
    /// Logarithms of the ratio of run times on it to those of the same jobs elsewhere: sum and count.
    pub run_time_bias: (f64, f64),
    /// When it last held a task; before the first one, when the ledger added it.
    pub idle_since: Micros,
    /// It is being released to its provider; no more commands are sent to it.
    pub releasing: bool,
    /// The last heartbeat that arrived with a digest, so that a repetition of it need not be parsed.
    pub(super) last_heartbeat: Option<DigestedHeartbeat>,
    /// Digest of the last heartbeat, as long as it is the last message received from the machine.
    pub(super) settled_digest: Option<u128>,
}

impl Machine {
    /// Creates a machine from which nothing has been received yet.
    pub(super) fn new(
        id: Arc<str>,
        machine_type: &str,
        zone: &str,
        spot: bool,
        now: Micros,
    ) -> Self {
        Self {
            id,
            address: None,
            machine_type: machine_type.to_owned(),
            zone: zone.to_owned(),
            spot,
            agent_epoch: 0,
            sequence: 0,
            term_confirmed: false,
            last_seen_at: 0,
            last_heartbeat_at: now,
            last_answered_at: 0,
            registered: false,
            registry_stale: false,
            images_stale: false,
            silent_since: None,
            silence_stored: false,
            silence_lease_end: None,
            agent_state_lost: false,
            reclaim_at: None,
            tasks: BTreeMap::new(),
            fence_counter: 0,
            in_flight: None,
            last_call_at: 0,
            direct_failures: 0,
            use_proxy: false,
            proxied_at: 0,
            heartbeat_proxy: None,
            in_doubt: false,
            probed_by_peer_until: 0,
            images: BTreeMap::new(),
            failures_since_success: 0,
            failed_jobs: BTreeSet::new(),
            quarantined_until: 0,
            quarantines: 0,
            slowness: 1.0,
            run_time_bias: (0.0, 0.0),
            idle_since: now,
            releasing: false,
            last_heartbeat: None,
            settled_digest: None,
        }
    }

    /// Whether no command is due to the machine and nothing about it awaits proof, so that a repetition
    /// of the last heartbeat shows only that the machine is alive.
    pub(super) fn is_settled(&self) -> bool {
        self.term_confirmed
            && !self.in_doubt
            && !self.silence_stored
            && self.silent_since.is_none()
            && self.reclaim_at.is_none()
            && self.direct_failures == 0
            && self.tasks.values().all(TaskEntry::is_settled)
    }

    /// Whether a lost command to it may still be executed, or it may be inbound-partitioned. It gets no
    /// new start before it has reported the current fencing token.
    pub fn is_in_doubt(&self) -> bool {
        self.in_doubt
    }

    /// Raises the fence counter: once the machine has seen the higher token, it rejects every command
    /// sent before. Until then no starts are sent to it.
    pub(super) fn raise_fence(&mut self) {
        self.increment_fence_counter();
        self.in_doubt = true;
    }

    /// Raises the fence counter for a message that acknowledges attempts, so that copies of the calls that started
    /// them are rejected from then on. All those calls were answered, so starts may go on: each carries the higher
    /// token itself.
    pub(super) fn fence_acknowledged_starts(&mut self) {
        self.increment_fence_counter();
    }

    fn increment_fence_counter(&mut self) {
        self.fence_counter = (self.fence_counter + 1).min((1 << FENCE_COUNTER_BITS) - 1);
    }

    /// How much longer tasks run here than elsewhere, in steps of 4 %, shrunk towards zero while there
    /// are few observations.
    pub fn quantized_run_time_bias(&self) -> i32 {
        let (sum, count) = self.run_time_bias;
        (sum / (count + RUN_TIME_BIAS_PRIOR) / RUN_TIME_BIAS_STEP).round() as i32
    }

    /// The entries that hold resources here, without counting a task twice: an unconfirmed stored
    /// placement is left out if an attempt of its task is known to hold resources.
    pub fn tasks_holding_resources(&self) -> impl Iterator<Item = (&(TaskId, u64), &TaskEntry)> {
        let holds_resources = |(_, entry): &(&(TaskId, u64), &TaskEntry)| entry.holds_resources();
        self.tasks
            .iter()
            .filter(holds_resources)
            .filter(|((task, _), entry)| {
                entry.state != TaskState::Unconfirmed || !self.has_known_attempt(*task)
            })
    }

    /// Whether a known attempt of the task holds resources here.
    fn has_known_attempt(&self, task: TaskId) -> bool {
        self.attempts(task).any(TaskEntry::holds_resources)
    }

    /// The known attempts of the task here, without the entry of an unconfirmed stored placement.
    pub(super) fn attempts(&self, task: TaskId) -> impl Iterator<Item = &TaskEntry> {
        let range = (task, 1)..=(task, u64::MAX);
        self.tasks.range(range).map(|(_, entry)| entry)
    }

    /// Removes an attempt that is certainly not on the machine, and adds a `Lost` event.
    pub(super) fn remove_lost(
        &mut self,
        task: TaskId,
        attempt: u64,
        reason: &'static str,
        events: &mut Vec<TaskEvent>,
    ) {
        self.tasks.remove(&(task, attempt));
        events.push(TaskEvent::lost(&self.id, task, attempt, reason));
    }

    /// Records that a task failed here. Failures of two jobs in a row, or two failures of a job that
    /// succeeds elsewhere, quarantine the machine, longer each time. Returns whether this failure
    /// started a quarantine.
    pub fn record_failure(&mut self, job: u32, succeeds_elsewhere: bool, now: Micros) -> bool {
        self.failures_since_success += 1;
        self.failed_jobs.insert(job);
        let is_machine_faulty =
            self.failed_jobs.len() >= 2 || (succeeds_elsewhere && self.failures_since_success >= 2);
        // A task that fails during a quarantine was started before it; its failure is no new evidence.
        if !is_machine_faulty || self.quarantined_until > now {
            return false;
        }
        let doublings = self.quarantines.min(QUARANTINE_DOUBLINGS_MAX);
        self.quarantines += 1;
        self.quarantined_until = now + (QUARANTINE << doublings).min(QUARANTINE_MAX);
        true
    }

    /// Discards the recorded failures of a job that turned out to fail on every machine. Without this,
    /// each erroneous job would quarantine machines for minutes.
    pub fn retract_failures_of_job(&mut self, job: u32, now: Micros) {
        if !self.failed_jobs.remove(&job) {
            return;
        }
        if self.failed_jobs.is_empty() {
            self.failures_since_success = 0;
        }
        if self.failed_jobs.len() < 2 && self.quarantined_until > now {
            self.quarantined_until = now;
            self.quarantines = self.quarantines.saturating_sub(1);
        }
    }

    /// Whether it may take new tasks now. `silence` is the time without a message after which a machine
    /// counts as unresponsive.
    pub fn is_usable(&self, now: Micros, silence: Micros) -> bool {
        self.unavailable_reason_name(now, silence).is_none()
    }

    /// The name of [`Machine::unavailable_reason`], as shown to operators.
    pub fn unavailable_reason_name(&self, now: Micros, silence: Micros) -> Option<&'static str> {
        self.unavailable_reason(now, silence)
            .map(UnavailableReason::as_str)
    }

    /// Why it may take no new tasks now; `None` if it may.
    pub fn unavailable_reason(&self, now: Micros, silence: Micros) -> Option<UnavailableReason> {
        if !self.term_confirmed {
            Some(UnavailableReason::Unconfirmed)
        } else if self.silence_stored {
            Some(UnavailableReason::SilenceStored)
        } else if !self.registered {
            Some(UnavailableReason::NotRegistered)
        } else if self.agent_state_lost {
            Some(UnavailableReason::AgentStateLost)
        } else if self.releasing {
            Some(UnavailableReason::Releasing)
        } else if self.in_doubt {
            Some(UnavailableReason::InDoubt)
        } else if self.reclaim_at.is_some() {
            Some(UnavailableReason::SpotNotice)
        } else if self.quarantined_until > now {
            Some(UnavailableReason::Quarantined)
        } else if self.address.is_none() || !is_storable_name(&self.id) {
            Some(UnavailableReason::NoAddress)
        } else if now >= self.last_seen_at + silence {
            Some(UnavailableReason::Unresponsive)
        } else if now >= self.last_heartbeat_at + silence {
            Some(UnavailableReason::OutboundPartitioned)
        } else if self.is_unreachable() {
            Some(UnavailableReason::Unreachable)
        } else {
            None
        }
    }

    /// Whether two calls in a row have failed, by either path, and nothing has been received from it
    /// since. Without this check, first-fit placement would select the machine for the same tasks again
    /// and again.
    fn is_unreachable(&self) -> bool {
        self.direct_failures >= UNREACHABLE_FAILURES && self.last_seen_at <= self.last_call_at
    }
}
