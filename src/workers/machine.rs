//! One machine of the ledger, and what may be on it.

use super::*;

/// How long a machine that fails what it is given gets no new tasks, the first time.
const QUARANTINE: Micros = 45 * SECOND;
/// And the longest: what only that machine fits waits no longer than 90 s for it once it is sound again. It comes
/// last among those that fit until something has ended well there.
const QUARANTINE_MOST: Micros = 75 * SECOND;

/// After a takeover the controllers that carry workers' reports ask those; the leader asks the rest.
pub const CARRIED_FIRST: Micros = SECOND;

/// How the start reached, or may yet reach, the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Delivery {
    Unsent,
    /// By `/commands`; while `open`, the call has no outcome. A lost call may be executed
    /// minutes later, as long as the worker has seen no higher token and keeps its session.
    Direct {
        token: u64,
        session: u64,
        open: bool,
    },
    /// In the answer to report `seq`: executed or dropped before the worker's next report.
    Answer {
        session: u64,
        seq: u64,
    },
    /// The worker has shown it, or the start was surely handled.
    Settled,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Halt {
    pub(super) grace_s: f64,
    pub(super) sent: Option<Micros>,
    pub(super) why: Stop,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Decided, but the placement is not stored yet; nothing has been sent.
    Planned,
    /// Stored; the start is to be sent.
    Ready,
    /// Sent, and not seen in a report so far.
    Sent,
    /// From a stored placement of an earlier leader; may be there or not.
    Ghost,
    Fetching,
    Running,
    Saving,
    Ended,
}

#[derive(Debug)]
pub struct Entry {
    pub attempt: u64,
    pub state: State,
    pub spec: Option<Arc<JobSpec>>,
    pub uid: Arc<str>,
    pub(super) delivery: Delivery,
    pub(super) halt: Option<Halt>,
    pub cause: Option<CompactString>,
    pub(super) reap_ok: bool,
    pub(super) reap_sent: Option<Micros>,
    pub since: Micros,
    pub running_since: Option<Micros>,
    /// Started by this leader, so that its run time is known.
    pub(super) timed: bool,
}

impl Entry {
    /// Whether this leader started it, so that its run time is known.
    pub fn timed(&self) -> bool {
        self.timed
    }

    pub fn halting(&self) -> bool {
        self.halt.is_some()
    }

    /// A start or a first stop waits to be sent.
    pub(super) fn to_send(&self) -> bool {
        self.state == State::Ready || (self.holds() && self.halt.is_some_and(|h| h.sent.is_none()))
    }

    /// True while it takes room on its machine.
    pub fn holds(&self) -> bool {
        self.state != State::Ended
    }
}

pub(super) struct OpenCall {
    pub(super) ticket: Ticket,
    pub(super) starts: Vec<(TaskKey, u64)>,
    pub(super) token: u64,
    pub(super) relayed: bool,
}

pub struct Machine {
    pub id: Arc<str>,
    pub addr: Option<SocketAddr>,
    pub build: String,
    pub zone: String,
    pub spot: bool,
    pub session: u64,
    pub seq: u64,
    pub token_seen: u64,
    /// Has shown this term's token: no older leader's order can start anything any more.
    pub heard: bool,
    pub heard_at: Micros,
    /// When its last report came, by whichever way; before the first, when this leader came to know it. Direct
    /// answers prove what they show, but renew no lease: a machine that reaches no controller loses its tasks.
    pub(super) reported_at: Micros,
    pub(super) answered_at: Micros,
    pub in_roll: bool,
    /// The stored entry is to be written again; for the images alone that can wait.
    pub roll_stale: bool,
    pub images_stale: bool,
    /// Time of day of the last contact, once it is silent: stored, so that a later leader can
    /// count the lease from there and not from its takeover.
    pub quiet: Option<Micros>,
    /// The mark may be stored: until its removal is, there is no 200 and no start.
    pub quiet_stored: bool,
    /// By an earlier leader's mark, when its lease is surely over.
    pub(super) quiet_end: Option<Micros>,
    /// The time by which the cloud takes it away.
    pub notice: Option<Micros>,
    pub tasks: BTreeMap<(TaskKey, u64), Entry>,
    pub(super) fence: u64,
    pub(super) call: Option<OpenCall>,
    pub(super) call_at: Micros,
    /// Calls in a row that failed, and whether the next goes through another controller.
    pub(super) direct_failures: u32,
    pub(super) relayed: bool,
    pub(super) relayed_at: Micros,
    /// The peer that its last report came through.
    pub via: Option<SocketAddr>,
    pub(super) in_doubt: bool,
    /// Another controller asks it; until then it is not probed from here.
    pub(super) asked_until: Micros,
    pub images: BTreeMap<Arc<str>, (Micros, f64)>,
    /// Failures since a task last ended well here, and the jobs they were of.
    pub error_streak: u32,
    pub failed_jobs: BTreeSet<u32>,
    pub quarantined_until: Micros,
    pub quarantines: u32,
    pub slowness: f64,
    /// Logarithms of run times here against those of the same jobs elsewhere: sum and count.
    pub pace: (f64, f64),
    pub idle_since: Micros,
    pub first_seen: Micros,
    pub returning: bool,
    /// The last report that came with a digest, so that another like it need not be read.
    pub(super) last: Option<(u128, Box<Report>)>,
    /// Its digest, while nothing else has been taken from the machine since.
    pub(super) shown: Option<u128>,
}

impl Machine {
    /// It is to be asked how it is: not heard yet, or not for long.
    pub(super) fn to_probe(&self, now: Micros, took_over: Micros, period: Micros) -> bool {
        let since = self.heard_at.max(if self.heard { 0 } else { took_over });
        let silent = now.saturating_sub(since);
        // Most are asked by the controllers that carry their reports; were the leader to ask them too,
        // those that nobody carries would have to wait.
        let unheard = !self.heard && now >= self.asked_until.max(took_over + CARRIED_FIRST);
        (unheard || self.in_doubt || silent > period * 7 / 5) && now >= self.call_at + SECOND
    }

    /// Whether something may have to be sent to it now.
    pub(super) fn due(&self, now: Micros, took_over: Micros, period: Micros) -> bool {
        let open = |e: &Entry| e.state == State::Ready || (e.halt.is_some() && e.holds());
        self.call.is_none()
            && !self.returning
            && (self.to_probe(now, took_over, period) || self.tasks.values().any(open))
    }

    /// Nothing is due to it and nothing about it is open: a report like the last one says only
    /// that it lives.
    pub(super) fn at_rest(&self) -> bool {
        let settled = |e: &Entry| {
            e.delivery == Delivery::Settled
                && e.halt.is_none()
                && !matches!(e.state, State::Planned | State::Ready | State::Ghost)
                && !(e.state == State::Ended && e.reap_ok)
        };
        self.heard
            && !self.in_doubt
            && !self.quiet_stored
            && self.quiet.is_none()
            && self.notice.is_none()
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
    pub fn pace_step(&self) -> i32 {
        (self.pace.0 / (self.pace.1 + 3.0) / 0.04).round() as i32
    }

    /// What takes room here, each task once: a stored placement stands for its task until the machine has shown
    /// this term's token, beside the attempt that an earlier word of it told.
    pub fn holding(&self) -> impl Iterator<Item = (&(TaskKey, u64), &Entry)> {
        let held = |(_, e): &(&(TaskKey, u64), &Entry)| e.holds();
        self.tasks
            .iter()
            .filter(held)
            .filter(|((key, _), e)| e.state != State::Ghost || !self.shows(*key))
    }

    /// Whether an attempt of the task is known to take room here.
    fn shows(&self, key: TaskKey) -> bool {
        self.attempts(key).any(Entry::holds)
    }

    /// The attempts of the task that were told here, beside what stands for a stored placement.
    pub(super) fn attempts(&self, key: TaskKey) -> impl Iterator<Item = &Entry> {
        let range = (key, 1)..=(key, u64::MAX);
        self.tasks.range(range).map(|(_, e)| e)
    }

    /// A task failed here. Two jobs failing in a row, or two tasks of a job that does well
    /// elsewhere, put the machine aside, longer each time; tells whether it was put aside now.
    pub fn blame(&mut self, job: u32, does_well: bool, now: Micros) -> bool {
        self.error_streak += 1;
        self.failed_jobs.insert(job);
        let proven = self.failed_jobs.len() >= 2 || (does_well && self.error_streak >= 2);
        // What was started before it was put aside says nothing new.
        if !proven || self.quarantined_until > now {
            return false;
        }
        self.quarantines += 1;
        self.quarantined_until =
            now + (QUARANTINE << (self.quarantines - 1).min(4)).min(QUARANTINE_MOST);
        true
    }

    /// The job turned out to fail everywhere. Without this, each job submitted with a mistake
    /// took machines out of use for minutes.
    pub fn forgive(&mut self, job: u32, now: Micros) {
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
    pub fn usable(&self, now: Micros, silence: Micros) -> bool {
        self.held_for(now, silence).is_none()
    }

    /// Why it may take no new tasks now, in a word for operators; None when it may. How each of these ends stands in
    /// `docs/meetings.md`.
    pub fn held_for(&self, now: Micros, silence: Micros) -> Option<&'static str> {
        if !self.heard {
            Some("unheard")
        } else if self.quiet_stored {
            Some("silence_stored")
        } else if !self.in_roll {
            Some("not_registered")
        } else if self.returning {
            Some("returning")
        } else if self.in_doubt {
            Some("in_doubt")
        } else if self.notice.is_some() {
            Some("notice")
        } else if self.quarantined_until > now {
            Some("put_aside")
        } else if self.addr.is_none() || !can_name(&self.id) {
            Some("no_address")
        } else if now >= self.heard_at + silence {
            Some("silent")
        } else if now >= self.reported_at + silence {
            Some("mute")
        } else if self.out_of_reach() {
            Some("out_of_reach")
        } else {
            None
        }
    }

    /// Two calls in a row did not get through, by either way, and nothing has come from it since.
    /// First fit would send it the same tasks again and again.
    pub(super) fn out_of_reach(&self) -> bool {
        self.direct_failures >= 2 && self.heard_at <= self.call_at
    }
}

impl Workers {
    pub(super) fn machine(
        id: &Arc<str>,
        build: &str,
        zone: &str,
        spot: bool,
        now: Micros,
    ) -> Machine {
        Machine {
            id: id.clone(),
            addr: None,
            build: build.to_owned(),
            zone: zone.to_owned(),
            spot,
            session: 0,
            seq: 0,
            token_seen: 0,
            heard: false,
            heard_at: 0,
            reported_at: now,
            answered_at: 0,
            in_roll: false,
            roll_stale: false,
            images_stale: false,
            quiet: None,
            quiet_stored: false,
            quiet_end: None,
            notice: None,
            tasks: BTreeMap::new(),
            fence: 0,
            call: None,
            call_at: 0,
            direct_failures: 0,
            relayed: false,
            relayed_at: 0,
            via: None,
            in_doubt: false,
            asked_until: 0,
            images: BTreeMap::new(),
            error_streak: 0,
            failed_jobs: BTreeSet::new(),
            quarantined_until: 0,
            quarantines: 0,
            slowness: 1.0,
            pace: (0.0, 0.0),
            idle_since: now,
            first_seen: now,
            returning: false,
            last: None,
            shown: None,
        }
    }

    pub(super) fn entry(
        state: State,
        attempt: u64,
        uid: Arc<str>,
        spec: Option<Arc<JobSpec>>,
        delivery: Delivery,
        now: Micros,
    ) -> Entry {
        Entry {
            attempt,
            state,
            spec,
            uid,
            delivery,
            halt: None,
            cause: None,
            reap_ok: false,
            reap_sent: None,
            since: now,
            running_since: None,
            timed: state == State::Planned,
        }
    }
}
