//! When the leader's recurring work is due next.
//!
//! [`LeaderSchedule`] owns the times of placement passes, saves, walks over the fleet,
//! autoscaling, announcements and periodic reads. A method named `take_…` says whether the work is
//! due and, if so, sets its next time: the caller has to do the work then. Nothing here decides
//! whether the node may act as leader.

use crate::clock::{MILLISECOND, Micros, SECOND};

/// Events that arrive within this time share a placement pass.
const PLACEMENT_BATCH_DELAY: Micros = 3 * MILLISECOND;
/// Pause between placement passes per machine: a pass costs more the more machines there are.
const PLACEMENT_INTERVAL_PER_MACHINE: Micros = 30;
/// After a placement pass, this many times its cost is left to other work.
const PASS_COST_MULTIPLE: Micros = 3;
/// The longest pause between placement passes that their cost can lead to.
const PASS_INTERVAL_MAX: Micros = 4 * SECOND;
/// Pause between saves per live job: a save looks at each of them.
const SAVE_INTERVAL_PER_JOB: Micros = 30;
/// Without an urgent change, jobs are looked through for others to save this much later.
const SAVE_SCAN_INTERVAL: Micros = 100 * MILLISECOND;
/// Interval of the periodic work as a whole.
const MAINTENANCE_INTERVAL: Micros = 250 * MILLISECOND;
/// Interval, per machine, of the walks over all machines for what only time makes due.
const FLEET_SCAN_INTERVAL_PER_MACHINE: Micros = 600;
/// Shortest interval of autoscaling passes.
const AUTOSCALING_INTERVAL_MIN: Micros = 400 * MILLISECOND;
/// Interval of autoscaling passes per machine, if that is longer.
const AUTOSCALING_INTERVAL_PER_MACHINE: Micros = MILLISECOND;
/// A new leader learns about the fleet for this long before its first autoscaling pass.
const AUTOSCALING_DELAY: Micros = 2 * SECOND;
/// Interval at which the leader announces the progress of jobs; a state shown to clients may be
/// up to 3 s old.
pub(super) const PROGRESS_INTERVAL: Micros = 900 * MILLISECOND;
/// Interval of the sweeps for chunks that belong to no job.
pub(super) const CHUNK_SWEEP_INTERVAL: Micros = 60 * SECOND;
/// Time from the election to the first sweep for chunks.
const CHUNK_SWEEP_DELAY: Micros = 10 * SECOND;
/// Pause after a watch of the live jobs that was not answered with changes.
const WATCH_RETRY_INTERVAL: Micros = 200 * MILLISECOND;

/// When each kind of the leader's recurring work is due next.
pub(super) struct LeaderSchedule {
    watch_in_flight: bool,
    next_watch_at: Micros,
    placement_due_at: Option<Micros>,
    /// The next placement pass is not made before this.
    placement_not_before: Micros,
    next_save_at: Micros,
    /// Something is to be saved as soon as the next save may be made.
    save_pending: bool,
    maintenance_at: Micros,
    fleet_scan_at: Micros,
    autoscaling_at: Micros,
    next_progress_at: Micros,
    schema_support_check_at: Micros,
    chunk_sweep_at: Micros,
    /// When the machines that have not reported are divided among the controllers for probing.
    probe_sharing_at: Option<Micros>,
}

impl LeaderSchedule {
    /// The schedule of a leader elected at `now`.
    pub(super) fn new(now: Micros) -> Self {
        Self {
            watch_in_flight: false,
            next_watch_at: 0,
            placement_due_at: None,
            placement_not_before: now,
            next_save_at: now,
            save_pending: false,
            maintenance_at: now,
            fleet_scan_at: now,
            autoscaling_at: now + AUTOSCALING_DELAY,
            next_progress_at: now,
            schema_support_check_at: now,
            chunk_sweep_at: now + CHUNK_SWEEP_DELAY,
            probe_sharing_at: None,
        }
    }

    /// When a placement pass or a save is due, or [`Micros::MAX`]; may be in the past.
    pub(super) fn wake_at(&self) -> Micros {
        let placement = self
            .placement_due_at
            .map_or(Micros::MAX, |due| due.max(self.placement_not_before));
        let save = if self.save_pending {
            self.next_save_at
        } else {
            Micros::MAX
        };
        placement.min(save)
    }

    /// Whether to watch the live jobs now; counts as in flight until answered.
    pub(super) fn take_watch(&mut self, now: Micros) -> bool {
        let due = !self.watch_in_flight && now >= self.next_watch_at;
        self.watch_in_flight |= due;
        due
    }

    /// The watch of the live jobs was answered, with changes or without.
    pub(super) fn note_watch_answered(&mut self, now: Micros, with_changes: bool) {
        self.watch_in_flight = false;
        if !with_changes {
            self.next_watch_at = now + WATCH_RETRY_INTERVAL;
        }
    }

    /// Asks for a placement pass soon, together with what else happens until then.
    pub(super) fn request_placement(&mut self, now: Micros) {
        self.request_placement_by(now + PLACEMENT_BATCH_DELAY);
    }

    /// Asks for a placement pass at that time, unless one is asked for already.
    pub(super) fn request_placement_by(&mut self, at: Micros) {
        self.placement_due_at = self.placement_due_at.or(Some(at));
    }

    /// Asks for a placement pass without waiting for more events.
    pub(super) fn request_placement_now(&mut self, now: Micros) {
        self.placement_due_at = Some(now);
    }

    /// Whether a placement pass is asked for and may be made.
    pub(super) fn is_placement_due(&self, now: Micros) -> bool {
        self.placement_due_at.is_some_and(|due| due <= now) && now >= self.placement_not_before
    }

    /// A placement pass is made now, over so many machines; `pass_cost` is what passes cost lately.
    pub(super) fn note_placement_pass(&mut self, now: Micros, machines: usize, pass_cost: Micros) {
        self.placement_due_at = None;
        let pause = PLACEMENT_INTERVAL_PER_MACHINE * machines as Micros;
        self.placement_not_before = now
            + pause
                .max(PASS_COST_MULTIPLE * pass_cost)
                .min(PASS_INTERVAL_MAX);
    }

    /// Asks for a save as soon as one may be made.
    pub(super) fn request_save(&mut self) {
        self.save_pending = true;
    }

    /// Whether to save now, with so many live jobs.
    pub(super) fn take_save(&mut self, now: Micros, jobs: usize) -> bool {
        let due = now >= self.next_save_at
            && (self.save_pending || now >= self.next_save_at + SAVE_SCAN_INTERVAL);
        if due {
            self.save_pending = false;
            self.next_save_at = now + SAVE_INTERVAL_PER_JOB * jobs as Micros;
        }
        due
    }

    /// Whether to do the periodic work now.
    pub(super) fn take_maintenance(&mut self, now: Micros) -> bool {
        Self::take_due(&mut self.maintenance_at, now, MAINTENANCE_INTERVAL)
    }

    /// Whether to walk over all machines now, of which there are so many.
    pub(super) fn take_fleet_scan(&mut self, now: Micros, machines: usize) -> bool {
        let interval = FLEET_SCAN_INTERVAL_PER_MACHINE * machines as Micros;
        Self::take_due(&mut self.fleet_scan_at, now, interval)
    }

    /// Whether to make an autoscaling pass now, with so many machines.
    pub(super) fn take_autoscaling(&mut self, now: Micros, machines: usize) -> bool {
        let interval =
            AUTOSCALING_INTERVAL_MIN.max(AUTOSCALING_INTERVAL_PER_MACHINE * machines as Micros);
        Self::take_due(&mut self.autoscaling_at, now, interval)
    }

    /// Whether to announce the progress of jobs now.
    pub(super) fn take_progress_announcement(&mut self, now: Micros) -> bool {
        Self::take_due(&mut self.next_progress_at, now, PROGRESS_INTERVAL)
    }

    /// Whether to look for chunks that belong to no job now.
    pub(super) fn take_chunk_sweep(&mut self, now: Micros) -> bool {
        Self::take_due(&mut self.chunk_sweep_at, now, CHUNK_SWEEP_INTERVAL)
    }

    /// Whether to read now which schema versions the controllers support, and then again after
    /// `interval`.
    pub(super) fn take_schema_support_check(&mut self, now: Micros, interval: Micros) -> bool {
        Self::take_due(&mut self.schema_support_check_at, now, interval)
    }

    /// Sets when unconfirmed machines are divided among the controllers for probing.
    pub(super) fn schedule_probe_sharing(&mut self, at: Micros) {
        self.probe_sharing_at = Some(at);
    }

    /// Whether to divide unconfirmed machines among the controllers now, which is done once.
    pub(super) fn take_probe_sharing(&mut self, now: Micros) -> bool {
        self.probe_sharing_at.take_if(|at| *at <= now).is_some()
    }

    fn take_due(at: &mut Micros, now: Micros, interval: Micros) -> bool {
        let due = now >= *at;
        if due {
            *at = now + interval;
        }
        due
    }
}
