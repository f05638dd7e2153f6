//! Reservations: free capacity of a machine that some jobs may use and other jobs may not.
//!
//! There are two kinds:
//! - After a preemption, the freed capacity is reserved for the tier for which it was freed.
//!   Without this, tasks of a lower tier take the capacity of the first victim while the second one
//!   is still stopping, and are preempted again, without end.
//! - For a job that has waited too long for its first task (see `aging`), one machine is reserved
//!   until enough of its running tasks have ended.
//!
//! Reservations exist only in the memory of the leader. They are not stored and count towards no
//! quota, and a new leader starts without any.

use super::Scheduler;
use super::job_order::Tier;
use crate::clock::{Micros, SECOND};
use crate::jobs::Job;
use std::sync::Arc;

/// Time to live of a reservation that is not renewed. It exceeds the time that a task needs to save
/// its state and a worker needs to report the task's end.
pub(super) const RESERVATION_TTL: Micros = 8 * SECOND;

/// The jobs for which capacity is reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReservedFor {
    /// Jobs of this tier or a higher one; tasks on the machine were preempted for a job of this
    /// tier.
    Tier(Tier),
    /// A job that has waited too long for its first task. The capacity is withheld from all tiers,
    /// but tasks on the machine may still be preempted for another job, which then uses the
    /// capacity.
    AgedJob,
}

impl ReservedFor {
    /// Whether the reserved capacity is withheld from jobs of this tier.
    fn outranks(self, tier: Tier) -> bool {
        match self {
            Self::Tier(reserved) => tier < reserved,
            Self::AgedJob => true,
        }
    }

    /// Whether tasks on the reserved machine may be preempted for a job of this tier.
    fn allows_preemption_by(self, tier: Tier) -> bool {
        match self {
            Self::Tier(reserved) => tier >= reserved,
            Self::AgedJob => true,
        }
    }
}

/// The reservation of a machine's free capacity.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reservation {
    /// The jobs for which the capacity is reserved.
    pub(super) reserved_for: ReservedFor,
    /// When the reservation expires, on the steady clock.
    pub(super) expires_at: Micros,
    /// Backfill: tasks that are expected to end by this time may use the capacity until then. 0
    /// allows no backfill.
    pub(super) backfill_until: Micros,
}

/// The machine that is reserved for an aged job. Apart from backfill it gets no other tasks until a
/// task of the job fits.
#[derive(Clone, Debug)]
pub(super) struct AgedReservation {
    /// The reserved machine.
    pub(super) machine: Arc<str>,
    /// When enough of the tasks on the machine are expected to have ended. Computed once, so that
    /// tasks started as backfill cannot postpone it.
    pub(super) ready_at: Micros,
}

impl Scheduler {
    /// Whether the free capacity of a machine is withheld from tasks of this job: it is reserved
    /// for a higher tier or for another job that has aged, and a task of this job is not expected
    /// to end before the reserved capacity is needed.
    pub(super) fn is_reserved_from(
        &self,
        machine: &Arc<str>,
        now: Micros,
        tier: Tier,
        job: &Job,
    ) -> bool {
        self.reservations.get(machine).is_some_and(|reservation| {
            let is_own = || {
                self.aged_reservations
                    .get(&job.number)
                    .is_some_and(|aged| aged.machine == *machine)
            };
            let ends_at = now + self.expected_run_time(&job.spec);
            reservation.reserved_for.outranks(tier)
                && ends_at > reservation.backfill_until
                && !(reservation.reserved_for == ReservedFor::AgedJob && is_own())
        })
    }

    /// Whether tasks on the machine may be preempted for a job of this tier, as far as a
    /// reservation of the machine decides it.
    pub(super) fn reservation_allows_preemption(&self, machine: &Arc<str>, tier: Tier) -> bool {
        self.reservations
            .get(machine)
            .is_none_or(|reservation| reservation.reserved_for.allows_preemption_by(tier))
    }
}
