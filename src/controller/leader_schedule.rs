//! The times at which the leader's recurring work is due.
//!
//! [`LeaderSchedule`] owns the times of placement passes, saves, scans of all machines,
//! autoscaling, announcements and periodic reads. A method named `take_…` returns whether the work
//! is due and, if so, sets its next time; the caller then has to do the work. Nothing here decides
//! whether the node may act as leader.

use crate::clock::{MILLISECOND, Micros, SECOND};

/// Delay from an event to the placement pass for it; events within that time share one pass.
const PLACEMENT_BATCH_DELAY: Micros = 3 * MILLISECOND;
/// Least pause between placement passes, per machine: the cost of a pass grows with their number.
const PLACEMENT_INTERVAL_PER_MACHINE: Micros = 30;
/// The pause after a placement pass is at least this many times the recent cost of a pass.
const PASS_COST_MULTIPLE: Micros = 3;
/// Upper limit of the pause between placement passes.
const PASS_INTERVAL_MAX: Micros = 4 * SECOND;
/// Least pause between saves, per live job: each save examines all live jobs.
const SAVE_INTERVAL_PER_JOB: Micros = 30;
/// Without a requested save, the jobs are examined for changes to save this long after the least
/// pause.
const SAVE_SCAN_INTERVAL: Micros = 100 * MILLISECOND;
/// Interval of the leader's periodic work (`run_maintenance`).
const MAINTENANCE_INTERVAL: Micros = 250 * MILLISECOND;
/// Interval, per machine, of the scans of all machines for expired leases and silence.
const FLEET_SCAN_INTERVAL_PER_MACHINE: Micros = 600;
/// Least interval of autoscaling passes.
const AUTOSCALING_INTERVAL_MIN: Micros = 400 * MILLISECOND;
/// Interval of autoscaling passes, per machine; applies where it exceeds the least interval.
const AUTOSCALING_INTERVAL_PER_MACHINE: Micros = MILLISECOND;
/// Time from the election to the first autoscaling pass, in which the machines report.
const AUTOSCALING_DELAY: Micros = 2 * SECOND;
/// Interval at which the leader announces the progress of jobs to its peers. The progress that a
/// client is shown may be up to 3 s old.
pub(super) const PROGRESS_INTERVAL: Micros = 900 * MILLISECOND;
/// Interval of the scans for chunks that belong to no job.
pub(super) const CHUNK_SWEEP_INTERVAL: Micros = 60 * SECOND;
/// Time from the election to the first scan for such chunks.
const CHUNK_SWEEP_DELAY: Micros = 10 * SECOND;
/// Pause before the next watch of the live jobs if the reply to the last one had no changes.
const WATCH_RETRY_INTERVAL: Micros = 200 * MILLISECOND;

/// The time at which each kind of the leader's recurring work is due next.
pub(super) struct LeaderSchedule {
    watch_in_flight: bool,
    next_watch_at: Micros,
    placement_due_at: Option<Micros>,
    /// The earliest time of the next placement pass.
    placement_not_before: Micros,
    next_save_at: Micros,
    /// Whether a save was requested; it is made at `next_save_at`.
    save_pending: bool,
    maintenance_at: Micros,
    fleet_scan_at: Micros,
    autoscaling_at: Micros,
    next_progress_at: Micros,
    schema_support_check_at: Micros,
    chunk_sweep_at: Micros,
    /// When the unconfirmed machines are divided among the controllers for probing; `None` once that
    /// is done.
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

    /// When the next requested placement pass or save is due; may be in the past. [`Micros::MAX`] if
    /// none is requested.
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

    /// Whether to send a watch of the live jobs now. If so, it counts as in flight until
    /// [`Self::note_watch_answered`].
    pub(super) fn take_watch(&mut self, now: Micros) -> bool {
        let due = !self.watch_in_flight && now >= self.next_watch_at;
        self.watch_in_flight |= due;
        due
    }

    /// Records that the watch of the live jobs was answered, with changes or without.
    pub(super) fn note_watch_answered(&mut self, now: Micros, with_changes: bool) {
        self.watch_in_flight = false;
        if !with_changes {
            self.next_watch_at = now + WATCH_RETRY_INTERVAL;
        }
    }

    /// Requests a placement pass after [`PLACEMENT_BATCH_DELAY`], shared with other events until
    /// then.
    pub(super) fn request_placement(&mut self, now: Micros) {
        self.request_placement_by(now + PLACEMENT_BATCH_DELAY);
    }

    /// Requests a placement pass at that time, unless one is already requested.
    pub(super) fn request_placement_by(&mut self, at: Micros) {
        self.placement_due_at = self.placement_due_at.or(Some(at));
    }

    /// Requests a placement pass at once, without waiting for further events.
    pub(super) fn request_placement_now(&mut self, now: Micros) {
        self.placement_due_at = Some(now);
    }

    /// Whether a requested placement pass is due and the pause after the last one has passed.
    pub(super) fn is_placement_due(&self, now: Micros) -> bool {
        self.placement_due_at.is_some_and(|due| due <= now) && now >= self.placement_not_before
    }

    /// Records that a placement pass over `machines` machines is made now, and sets the pause after
    /// it. `pass_cost` is the recent average cost of a pass.
    pub(super) fn note_placement_pass(&mut self, now: Micros, machines: usize, pass_cost: Micros) {
        self.placement_due_at = None;
        let pause = PLACEMENT_INTERVAL_PER_MACHINE * machines as Micros;
        self.placement_not_before = now
            + pause
                .max(PASS_COST_MULTIPLE * pass_cost)
                .min(PASS_INTERVAL_MAX);
    }

    /// Requests a save at the earliest possible time.
    pub(super) fn request_save(&mut self) {
        self.save_pending = true;
    }

    /// Whether to save now; `jobs` is the number of live jobs.
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

    /// Whether to scan all machines now; `machines` is their number.
    pub(super) fn take_fleet_scan(&mut self, now: Micros, machines: usize) -> bool {
        let interval = FLEET_SCAN_INTERVAL_PER_MACHINE * machines as Micros;
        Self::take_due(&mut self.fleet_scan_at, now, interval)
    }

    /// Whether to run an autoscaling pass now; `machines` is the number of machines.
    pub(super) fn take_autoscaling(&mut self, now: Micros, machines: usize) -> bool {
        let interval =
            AUTOSCALING_INTERVAL_MIN.max(AUTOSCALING_INTERVAL_PER_MACHINE * machines as Micros);
        Self::take_due(&mut self.autoscaling_at, now, interval)
    }

    /// Whether to announce the progress of jobs now.
    pub(super) fn take_progress_announcement(&mut self, now: Micros) -> bool {
        Self::take_due(&mut self.next_progress_at, now, PROGRESS_INTERVAL)
    }

    /// Whether to scan now for chunks that belong to no job.
    pub(super) fn take_chunk_sweep(&mut self, now: Micros) -> bool {
        Self::take_due(&mut self.chunk_sweep_at, now, CHUNK_SWEEP_INTERVAL)
    }

    /// Whether to read now which schema versions the controllers support; the next read is due after
    /// `interval`.
    pub(super) fn take_schema_support_check(&mut self, now: Micros, interval: Micros) -> bool {
        Self::take_due(&mut self.schema_support_check_at, now, interval)
    }

    /// Sets the time at which the unconfirmed machines are divided among the controllers for probing.
    pub(super) fn schedule_probe_sharing(&mut self, at: Micros) {
        self.probe_sharing_at = Some(at);
    }

    /// Whether to divide the unconfirmed machines among the controllers now; true only once.
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
