//! One machine of the ledger: what is known of it and its agent, and the attempts that are, or
//! may be, on it.
//!
//! A machine decides nothing by itself: it answers what it may be used for
//! ([`Machine::unavailable_reason_name`]) and keeps its record of failures (quarantine). What heartbeats,
//! commands, probes and leases change in it stands in the sibling module of that name.

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

/// Low bits of a fencing token, below the leader's term: a counter for each machine that voids
/// direct commands whose outcome was lost.
pub(super) const FENCE_COUNTER_BITS: u32 = 24;
/// How long a machine that fails its tasks gets no new ones, the first time.
const QUARANTINE: Micros = 45 * SECOND;
/// The longest quarantine: a task that fits only that machine waits no longer than 90 s for it once it is sound
/// again. The machine is ranked last among those that fit until a task has ended well there.
const QUARANTINE_MAX: Micros = 75 * SECOND;
/// The quarantine doubles that many times at most.
const QUARANTINE_DOUBLINGS_MAX: u32 = 4;
/// Run times are compared in steps of this share.
const RUN_TIME_BIAS_STEP: f64 = 0.04;
/// Weight, in run times, of the assumption that the machine is as fast as others.
const RUN_TIME_BIAS_PRIOR: f64 = 3.0;
/// That many direct calls in a row that fail make a machine unreachable.
const UNREACHABLE_FAILURES: u32 = 2;

/// How a heartbeat reached this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HeartbeatSource {
    /// The worker posted it, through a peer where one is given; the answer renews its lease.
    CheckIn { proxy: Option<SocketAddr> },
    /// The worker answered a command or a probe; this renews no lease.
    CommandAnswer,
}

impl HeartbeatSource {
    /// Whether an answer to it renews the worker's lease.
    pub(super) fn renews_lease(self) -> bool {
        matches!(self, Self::CheckIn { .. })
    }
}

/// A heartbeat that is kept so that another which differs only in its sequence number need not be
/// sent and parsed again.
pub(super) struct DigestedHeartbeat {
    /// Digest of the heartbeat without its sequence number.
    pub(super) digest: u128,
    /// The heartbeat as it was received.
    pub(super) heartbeat: Box<Heartbeat>,
}

/// A direct call to the machine that has no outcome yet.
pub(super) struct InFlightCall {
    /// Identifies the call's outcome.
    pub(super) ticket: Ticket,
    /// The attempts that it carries start commands for.
    pub(super) starts: Vec<(TaskId, u64)>,
    /// The fencing token that it carries.
    pub(super) fencing_token: u64,
    /// Whether it goes through a peer.
    pub(super) proxied: bool,
}

/// Why a machine may take no new tasks. How each of these states ends stands in
/// `docs/meetings.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnavailableReason {
    /// It has not shown this term's fencing token.
    Unconfirmed,
    /// Its silence is stored, and the mark not yet removed.
    SilenceStored,
    /// Its entry in the stored registry is not written.
    NotRegistered,
    /// It is being released to its provider.
    Releasing,
    /// A lost command may still be executed, or it receives nothing.
    InDoubt,
    /// Its provider announced that it will reclaim it.
    SpotNotice,
    /// Tasks failed on it.
    Quarantined,
    /// Its address is not known, or its name cannot be stored.
    NoAddress,
    /// Nothing is received from it.
    Unresponsive,
    /// It answers calls, and its heartbeats reach no controller.
    OutboundPartitioned,
    /// Calls to it fail by every path.
    Unreachable,
}

impl UnavailableReason {
    /// The reason's name, as operators see it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unconfirmed => "unconfirmed",
            Self::SilenceStored => "silence_stored",
            Self::NotRegistered => "not_registered",
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

/// A machine that runs a worker agent. Times are on this node's steady clock unless said
/// otherwise; 0 is "never".
pub struct Machine {
    /// Its name, unique within the cluster.
    pub id: Arc<str>,
    /// Where its agent takes commands; `None` until known.
    pub address: Option<SocketAddr>,
    /// Name of its machine type, by which its size is looked up.
    pub machine_type: String,
    /// The zone that it is in.
    pub zone: String,
    /// Whether the provider may reclaim it at short notice.
    pub spot: bool,
    /// Grows with each start of the agent; a restart ends all tasks of the epoch before.
    pub agent_epoch: u64,
    /// Sequence number of the last heartbeat taken, within the agent epoch.
    pub sequence: u64,
    /// Has shown this term's fencing token: no command of an older leader can start anything there
    /// any more.
    pub term_confirmed: bool,
    /// When anything was last received from it: a heartbeat or an answer.
    pub last_seen_at: Micros,
    /// When it last posted a heartbeat, directly or through a peer; before the first, when this
    /// leader came to know it. Answers to direct calls prove what they list, but renew no lease: a
    /// machine that reaches no controller loses its tasks.
    pub(super) last_heartbeat_at: Micros,
    /// When a heartbeat of it was last answered, which renews its lease.
    pub(super) last_answered_at: Micros,
    /// Its entry in the stored registry is written, so that later leaders know of it.
    pub registered: bool,
    /// The stored entry is out of date and is to be written again.
    pub registry_stale: bool,
    /// Only the images of the stored entry are out of date; writing them can wait.
    pub images_stale: bool,
    /// Wall-clock time of the last contact, once it is silent. Stored, so that a later leader can
    /// count the lease from there and not from its own election.
    pub silent_since: Option<Micros>,
    /// The silence mark may be stored: until its removal is, the machine gets no successful answer
    /// and no start.
    pub silence_stored: bool,
    /// When its lease is surely over, by the silence mark that an earlier leader stored.
    pub(super) silence_lease_end: Option<Micros>,
    /// When the provider takes it away, once that was announced.
    pub reclaim_at: Option<Micros>,
    /// The attempts that are, or may be, on it, by task and attempt number. Attempt 0 stands for a
    /// stored placement whose attempt is not known.
    pub tasks: BTreeMap<(TaskId, u64), TaskEntry>,
    /// Low bits of the fencing token of commands to this machine.
    pub(super) fence_counter: u64,
    /// At most one direct call is open at a time.
    pub(super) in_flight: Option<InFlightCall>,
    /// When the last direct call was sent.
    pub(super) last_call_at: Micros,
    /// Direct calls in a row that failed, by either path.
    pub(super) direct_failures: u32,
    /// The next direct call goes through a peer.
    pub(super) use_proxy: bool,
    /// Since when calls go through a peer.
    pub(super) proxied_at: Micros,
    /// The peer that its last heartbeat came through.
    pub(super) heartbeat_proxy: Option<SocketAddr>,
    /// A lost command may still arrive, or the machine may receive nothing; see
    /// [`Machine::is_in_doubt`].
    pub(super) in_doubt: bool,
    /// A peer probes it; until then it is not probed from here.
    pub(super) probed_by_peer_until: Micros,
    /// Images in its cache: when each was last used, and its size in GB.
    pub images: BTreeMap<Arc<str>, (Micros, f64)>,
    /// Failures since a task last ended well here.
    pub failures_since_success: u32,
    /// The jobs that those failures were of.
    pub failed_jobs: BTreeSet<u32>,
    /// It gets no new tasks until then.
    pub quarantined_until: Micros,
    /// How often it was quarantined; each lasts longer than the one before.
    quarantines: u32,
    /// Moving average of the run times here against those expected; 1 is as expected.
    pub slowness: f64,
    /// Logarithms of run times here against those of the same jobs elsewhere: sum and count.
    pub run_time_bias: (f64, f64),
    /// When it last held a task, or was first known.
    pub idle_since: Micros,
    /// It is being released to its provider and gets nothing more.
    pub releasing: bool,
    /// The last heartbeat that came with a digest, so that another like it need not be parsed.
    pub(super) last_heartbeat: Option<DigestedHeartbeat>,
    /// Digest of the last heartbeat, while nothing else has been taken from the machine since.
    pub(super) settled_digest: Option<u128>,
}

impl Machine {
    /// A machine that nothing has been received from yet.
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

    /// Whether nothing is due to it and nothing about it is open, so that a heartbeat like the
    /// last one says only that it is alive.
    pub(super) fn is_settled(&self) -> bool {
        self.term_confirmed
            && !self.in_doubt
            && !self.silence_stored
            && self.silent_since.is_none()
            && self.reclaim_at.is_none()
            && self.direct_failures == 0
            && self.tasks.values().all(TaskEntry::is_settled)
    }

    /// Whether a lost command to it may still be executed, or it may receive nothing: it gets
    /// nothing new before it has shown the present fencing token.
    pub fn is_in_doubt(&self) -> bool {
        self.in_doubt
    }

    /// Makes every command sent so far void once the machine has seen the raised token, and holds
    /// back starts until it has.
    pub(super) fn raise_fence(&mut self) {
        self.fence_counter = (self.fence_counter + 1).min((1 << FENCE_COUNTER_BITS) - 1);
        self.in_doubt = true;
    }

    /// How much longer than elsewhere tasks run here, in steps of 4 %, shrunk towards none
    /// while little is known.
    pub fn quantized_run_time_bias(&self) -> i32 {
        let (sum, count) = self.run_time_bias;
        (sum / (count + RUN_TIME_BIAS_PRIOR) / RUN_TIME_BIAS_STEP).round() as i32
    }

    /// What takes resources here, each task once: a stored placement stands for its task until the
    /// machine has shown this term's token, unless an earlier heartbeat has listed an attempt of it.
    pub fn tasks_holding_resources(&self) -> impl Iterator<Item = (&(TaskId, u64), &TaskEntry)> {
        let held = |(_, entry): &(&(TaskId, u64), &TaskEntry)| entry.holds_resources();
        self.tasks.iter().filter(held).filter(|((task, _), entry)| {
            entry.state != TaskState::Unconfirmed || !self.has_known_attempt(*task)
        })
    }

    /// Whether an attempt of the task is known to take resources here.
    fn has_known_attempt(&self, task: TaskId) -> bool {
        self.attempts(task).any(TaskEntry::holds_resources)
    }

    /// The known attempts of the task here, without the entry of a stored placement.
    pub(super) fn attempts(&self, task: TaskId) -> impl Iterator<Item = &TaskEntry> {
        let range = (task, 1)..=(task, u64::MAX);
        self.tasks.range(range).map(|(_, entry)| entry)
    }

    /// Removes an attempt that is surely not there, and adds the event that it is lost.
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

    /// Records that a task failed here. Two jobs that fail in a row, or two tasks of a job that
    /// does well elsewhere (`does_well`), quarantine the machine, longer each time; true when it
    /// was quarantined now.
    pub fn record_failure(&mut self, job: u32, does_well: bool, now: Micros) -> bool {
        self.failures_since_success += 1;
        self.failed_jobs.insert(job);
        let is_proven =
            self.failed_jobs.len() >= 2 || (does_well && self.failures_since_success >= 2);
        // The failure of a task that was started before the quarantine says nothing new.
        if !is_proven || self.quarantined_until > now {
            return false;
        }
        let doublings = self.quarantines.min(QUARANTINE_DOUBLINGS_MAX);
        self.quarantines += 1;
        self.quarantined_until = now + (QUARANTINE << doublings).min(QUARANTINE_MAX);
        true
    }

    /// Takes back the failures of a job that turned out to fail everywhere. Without this, each job
    /// submitted with a mistake took machines out of use for minutes.
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

    /// Whether it may take new tasks now. `silence` is the time after which a machine that sends
    /// nothing counts as unresponsive.
    pub fn is_usable(&self, now: Micros, silence: Micros) -> bool {
        self.unavailable_reason_name(now, silence).is_none()
    }

    /// The name of [`Machine::unavailable_reason`], as operators see it.
    pub fn unavailable_reason_name(&self, now: Micros, silence: Micros) -> Option<&'static str> {
        self.unavailable_reason(now, silence)
            .map(UnavailableReason::as_str)
    }

    /// Why it may take no new tasks now; `None` when it may.
    pub fn unavailable_reason(&self, now: Micros, silence: Micros) -> Option<UnavailableReason> {
        if !self.term_confirmed {
            Some(UnavailableReason::Unconfirmed)
        } else if self.silence_stored {
            Some(UnavailableReason::SilenceStored)
        } else if !self.registered {
            Some(UnavailableReason::NotRegistered)
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

    /// Two calls in a row did not get through, by either path, and nothing has come from it since.
    /// First fit would send it the same tasks again and again.
    fn is_unreachable(&self) -> bool {
        self.direct_failures >= UNREACHABLE_FAILURES && self.last_seen_at <= self.last_call_at
    }
}
