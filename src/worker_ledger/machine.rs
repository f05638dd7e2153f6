//! One machine of the ledger, and what may be on it.

use super::*;

/// How long a machine that fails what it is given gets no new tasks, the first time.
const QUARANTINE: Micros = 45 * SECOND;
/// And the longest: what only that machine fits waits no longer than 90 s for it once it is sound again. It comes
/// last among those that fit until something has ended well there.
const QUARANTINE_MAX: Micros = 75 * SECOND;

/// After a takeover the controllers that carry workers' reports ask those; the leader asks the rest.
pub const PROXY_PROBE_HEAD_START: Micros = SECOND;

/// How the start reached, or may yet reach, the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Delivery {
    Unsent,
    /// By `/commands`; while `open`, the call has no outcome. A lost call may be executed
    /// minutes later, as long as the worker has seen no higher token and keeps its session.
    Direct {
        token: u64,
        agent_epoch: u64,
        open: bool,
    },
    /// In the answer to report `seq`: executed or dropped before the worker's next report.
    Piggybacked {
        agent_epoch: u64,
        sequence: u64,
    },
    /// The worker has shown it, or the start was surely handled.
    Settled,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct StopRequest {
    pub(super) grace_s: f64,
    pub(super) sent_at: Option<Micros>,
    pub(super) reason: StopReason,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// Decided, but the placement is not stored yet; nothing has been sent.
    Planned,
    /// Stored; the start is to be sent.
    Ready,
    /// Sent, and not seen in a report so far.
    Sent,
    /// From a stored placement of an earlier leader; may be there or not.
    Unconfirmed,
    Fetching,
    Running,
    Checkpointing,
    Ended,
}

#[derive(Debug)]
pub struct TaskEntry {
    pub attempt: u64,
    pub state: TaskState,
    pub spec: Option<Arc<JobSpec>>,
    pub uid: Arc<str>,
    pub(super) delivery: Delivery,
    pub(super) stop: Option<StopRequest>,
    pub cause: Option<CompactString>,
    pub(super) acknowledge_allowed: bool,
    pub(super) acknowledge_sent_at: Option<Micros>,
    pub added_at: Micros,
    pub running_since: Option<Micros>,
    /// Started by this leader, so that its run time is known.
    pub(super) started_here: bool,
}

impl TaskEntry {
    /// Whether this leader started it, so that its run time is known.
    pub fn started_here(&self) -> bool {
        self.started_here
    }

    pub fn is_stopping(&self) -> bool {
        self.stop.is_some()
    }

    /// A start or a first stop waits to be sent.
    pub(super) fn has_unsent_command(&self) -> bool {
        self.state == TaskState::Ready
            || (self.occupies() && self.stop.is_some_and(|h| h.sent_at.is_none()))
    }

    /// True while it takes room on its machine.
    pub fn occupies(&self) -> bool {
        self.state != TaskState::Ended
    }
}

pub(super) struct InFlightCall {
    pub(super) ticket: Ticket,
    pub(super) starts: Vec<(TaskId, u64)>,
    pub(super) fencing_token: u64,
    pub(super) proxied: bool,
}

pub struct Machine {
    pub id: Arc<str>,
    pub address: Option<SocketAddr>,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub agent_epoch: u64,
    pub sequence: u64,
    pub fencing_token_seen: u64,
    /// Has shown this term's token: no older leader's order can start anything any more.
    pub term_confirmed: bool,
    pub last_seen_at: Micros,
    /// When its last report came, by whichever way; before the first, when this leader came to know it. Direct
    /// answers prove what they show, but renew no lease: a machine that reaches no controller loses its tasks.
    pub(super) last_heartbeat_at: Micros,
    pub(super) last_answered_at: Micros,
    pub registered: bool,
    /// The stored entry is to be written again; for the images alone that can wait.
    pub registry_stale: bool,
    pub images_stale: bool,
    /// Time of day of the last contact, once it is silent: stored, so that a later leader can
    /// count the lease from there and not from its takeover.
    pub silent_since: Option<Micros>,
    /// The mark may be stored: until its removal is, there is no 200 and no start.
    pub silence_stored: bool,
    /// By an earlier leader's mark, when its lease is surely over.
    pub(super) silence_lease_end: Option<Micros>,
    /// The time by which the cloud takes it away.
    pub reclaim_at: Option<Micros>,
    pub tasks: BTreeMap<(TaskId, u64), TaskEntry>,
    pub(super) fence_counter: u64,
    pub(super) in_flight: Option<InFlightCall>,
    pub(super) last_call_at: Micros,
    /// Calls in a row that failed, and whether the next goes through another controller.
    pub(super) direct_failures: u32,
    pub(super) use_proxy: bool,
    pub(super) proxied_at: Micros,
    /// The peer that its last report came through.
    pub heartbeat_proxy: Option<SocketAddr>,
    pub(super) in_doubt: bool,
    /// Another controller asks it; until then it is not probed from here.
    pub(super) probed_elsewhere_until: Micros,
    pub images: BTreeMap<Arc<str>, (Micros, f64)>,
    /// Failures since a task last ended well here, and the jobs they were of.
    pub error_streak: u32,
    pub failed_jobs: BTreeSet<u32>,
    pub quarantined_until: Micros,
    pub quarantines: u32,
    pub slowness: f64,
    /// Logarithms of run times here against those of the same jobs elsewhere: sum and count.
    pub run_time_bias: (f64, f64),
    pub idle_since: Micros,
    pub first_seen: Micros,
    pub releasing: bool,
    /// The last report that came with a digest, so that another like it need not be read.
    pub(super) last_heartbeat: Option<(u128, Box<Heartbeat>)>,
    /// Its digest, while nothing else has been taken from the machine since.
    pub(super) settled_digest: Option<u128>,
}

impl Machine {
    /// It is to be asked how it is: not heard yet, or not for long.
    pub(super) fn needs_probe(&self, now: Micros, took_over: Micros, period: Micros) -> bool {
        let since = self
            .last_seen_at
            .max(if self.term_confirmed { 0 } else { took_over });
        let silent = now.saturating_sub(since);
        // Most are asked by the controllers that carry their reports; were the leader to ask them too,
        // those that nobody carries would have to wait.
        let unheard = !self.term_confirmed
            && now
                >= self
                    .probed_elsewhere_until
                    .max(took_over + PROXY_PROBE_HEAD_START);
        (unheard || self.in_doubt || silent > period * 7 / 5) && now >= self.last_call_at + SECOND
    }

    /// Whether something may have to be sent to it now.
    pub(super) fn has_due_command(&self, now: Micros, took_over: Micros, period: Micros) -> bool {
        let open =
            |e: &TaskEntry| e.state == TaskState::Ready || (e.stop.is_some() && e.occupies());
        self.in_flight.is_none()
            && !self.releasing
            && (self.needs_probe(now, took_over, period) || self.tasks.values().any(open))
    }

    /// Nothing is due to it and nothing about it is open: a report like the last one says only
    /// that it lives.
    pub(super) fn is_settled(&self) -> bool {
        let settled = |e: &TaskEntry| {
            e.delivery == Delivery::Settled
                && e.stop.is_none()
                && !matches!(
                    e.state,
                    TaskState::Planned | TaskState::Ready | TaskState::Unconfirmed
                )
                && !(e.state == TaskState::Ended && e.acknowledge_allowed)
        };
        self.term_confirmed
            && !self.in_doubt
            && !self.silence_stored
            && self.silent_since.is_none()
            && self.reclaim_at.is_none()
            && self.direct_failures == 0
            && self.tasks.values().all(settled)
    }

    /// Whether a command to it may be under way, or it may not hear: it gets nothing new before it has shown
    /// the present token.
    pub fn is_in_doubt(&self) -> bool {
        self.in_doubt
    }

    /// How much longer than elsewhere tasks run here, in steps of 4 %, shrunk towards none
    /// while little is known.
    pub fn run_time_bias_step(&self) -> i32 {
        (self.run_time_bias.0 / (self.run_time_bias.1 + 3.0) / 0.04).round() as i32
    }

    /// What takes room here, each task once: a stored placement stands for its task until the machine has shown
    /// this term's token, beside the attempt that an earlier word of it told.
    pub fn held_tasks(&self) -> impl Iterator<Item = (&(TaskId, u64), &TaskEntry)> {
        let held = |(_, e): &(&(TaskId, u64), &TaskEntry)| e.occupies();
        self.tasks.iter().filter(held).filter(|((key, _), e)| {
            e.state != TaskState::Unconfirmed || !self.has_known_attempt(*key)
        })
    }

    /// Whether an attempt of the task is known to take room here.
    fn has_known_attempt(&self, key: TaskId) -> bool {
        self.attempts(key).any(TaskEntry::occupies)
    }

    /// The attempts of the task that were told here, beside what stands for a stored placement.
    pub(super) fn attempts(&self, key: TaskId) -> impl Iterator<Item = &TaskEntry> {
        let range = (key, 1)..=(key, u64::MAX);
        self.tasks.range(range).map(|(_, e)| e)
    }

    /// A task failed here. Two jobs failing in a row, or two tasks of a job that does well
    /// elsewhere, put the machine aside, longer each time; tells whether it was put aside now.
    pub fn record_failure(&mut self, job: u32, does_well: bool, now: Micros) -> bool {
        self.error_streak += 1;
        self.failed_jobs.insert(job);
        let proven = self.failed_jobs.len() >= 2 || (does_well && self.error_streak >= 2);
        // What was started before it was put aside says nothing new.
        if !proven || self.quarantined_until > now {
            return false;
        }
        self.quarantines += 1;
        self.quarantined_until =
            now + (QUARANTINE << (self.quarantines - 1).min(4)).min(QUARANTINE_MAX);
        true
    }

    /// The job turned out to fail everywhere. Without this, each job submitted with a mistake
    /// took machines out of use for minutes.
    pub fn forgive_failure(&mut self, job: u32, now: Micros) {
        if !self.failed_jobs.remove(&job) {
            return;
        }
        if self.failed_jobs.is_empty() {
            self.error_streak = 0;
        }
        if self.failed_jobs.len() < 2 && self.quarantined_until > now {
            self.quarantined_until = now;
            self.quarantines = self.quarantines.saturating_sub(1);
        }
    }

    /// May take new tasks now.
    pub fn is_usable(&self, now: Micros, silence: Micros) -> bool {
        self.unavailable_reason(now, silence).is_none()
    }

    /// Why it may take no new tasks now, in a word for operators; None when it may. How each of these ends stands in
    /// `docs/meetings.md`.
    pub fn unavailable_reason(&self, now: Micros, silence: Micros) -> Option<&'static str> {
        if !self.term_confirmed {
            Some("unheard")
        } else if self.silence_stored {
            Some("silence_stored")
        } else if !self.registered {
            Some("not_registered")
        } else if self.releasing {
            Some("returning")
        } else if self.in_doubt {
            Some("in_doubt")
        } else if self.reclaim_at.is_some() {
            Some("notice")
        } else if self.quarantined_until > now {
            Some("put_aside")
        } else if self.address.is_none() || !is_storable_name(&self.id) {
            Some("no_address")
        } else if now >= self.last_seen_at + silence {
            Some("silent")
        } else if now >= self.last_heartbeat_at + silence {
            Some("mute")
        } else if self.is_unreachable() {
            Some("out_of_reach")
        } else {
            None
        }
    }

    /// Two calls in a row did not get through, by either way, and nothing has come from it since.
    /// First fit would send it the same tasks again and again.
    pub(super) fn is_unreachable(&self) -> bool {
        self.direct_failures >= 2 && self.last_seen_at <= self.last_call_at
    }
}

impl WorkerLedger {
    pub(super) fn machine(
        id: &Arc<str>,
        build: &str,
        zone: &str,
        spot: bool,
        now: Micros,
    ) -> Machine {
        Machine {
            id: id.clone(),
            address: None,
            machine_type: build.to_owned(),
            zone: zone.to_owned(),
            spot,
            agent_epoch: 0,
            sequence: 0,
            fencing_token_seen: 0,
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
            probed_elsewhere_until: 0,
            images: BTreeMap::new(),
            error_streak: 0,
            failed_jobs: BTreeSet::new(),
            quarantined_until: 0,
            quarantines: 0,
            slowness: 1.0,
            run_time_bias: (0.0, 0.0),
            idle_since: now,
            first_seen: now,
            releasing: false,
            last_heartbeat: None,
            settled_digest: None,
        }
    }

    pub(super) fn entry(
        state: TaskState,
        attempt: u64,
        uid: Arc<str>,
        spec: Option<Arc<JobSpec>>,
        delivery: Delivery,
        now: Micros,
    ) -> TaskEntry {
        TaskEntry {
            attempt,
            state,
            spec,
            uid,
            delivery,
            stop: None,
            cause: None,
            acknowledge_allowed: false,
            acknowledge_sent_at: None,
            added_at: now,
            running_since: None,
            started_here: state == TaskState::Planned,
        }
    }
}
