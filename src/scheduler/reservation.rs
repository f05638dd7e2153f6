//! Reservations: free capacity of a machine that is kept for some work and withheld from other work.
//!
//! Two kinds exist. After a preemption, the freed capacity is kept for the tier that it was freed
//! for; without this, work of a lower tier took each half as it came free and was preempted again,
//! without end. For a job that has waited too long for its first task (see `aging`), one machine is
//! kept until enough of its running tasks have ended.
//!
//! A reservation is a decision of this leader alone. It is not stored, it counts towards no quota,
//! and a new leader starts without any.

use super::Scheduler;
use super::job_order::Tier;
use crate::clock::{Micros, SECOND};
use crate::jobs::Job;
use std::sync::Arc;

/// How long a reservation lasts unless it is renewed: longer than a task takes to save its state
/// and its end to be reported.
pub(super) const RESERVATION_TTL: Micros = 8 * SECOND;

/// The work that a reservation is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReservedFor {
    /// Work of this tier or a higher one, for which tasks on the machine were preempted.
    Tier(Tier),
    /// A job that has waited too long for its first task. It ranks above all tiers, but a job for
    /// which tasks may be preempted may preempt there too, and then uses the capacity.
    AgedJob,
}

impl ReservedFor {
    /// Whether the reserved capacity is withheld from work of this tier.
    fn outranks(self, tier: Tier) -> bool {
        match self {
            Self::Tier(reserved) => tier < reserved,
            Self::AgedJob => true,
        }
    }

    /// Whether a job of this tier may have tasks preempted on the reserved machine.
    fn allows_preemption_by(self, tier: Tier) -> bool {
        match self {
            Self::Tier(reserved) => tier >= reserved,
            Self::AgedJob => true,
        }
    }
}

/// Capacity of a machine that is withheld from some of the work.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reservation {
    /// The work that it is held for.
    pub(super) reserved_for: ReservedFor,
    /// When it lapses, on the steady clock.
    pub(super) expires_at: Micros,
    /// Work that is expected to end by then may use the capacity meanwhile (backfill). 0 allows
    /// none.
    pub(super) backfill_until: Micros,
}

/// The machine that is reserved for an aged job and takes no more work until a task of the job fits.
#[derive(Clone, Debug)]
pub(super) struct AgedReservation {
    /// The reserved machine.
    pub(super) machine: Arc<str>,
    /// When enough of what runs there should have ended. Computed once, so that the backfill of
    /// the time until then cannot postpone it.
    pub(super) ready_at: Micros,
}

impl Scheduler {
    /// Whether the capacity of a machine is withheld from tasks of this job: it is reserved for a
    /// higher tier or for an aged job, and a task is not expected to end before it is needed.
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

    /// Whether the reservation of a machine, if there is one, lets a job of this tier preempt
    /// tasks there.
    pub(super) fn reservation_allows_preemption(&self, machine: &Arc<str>, tier: Tier) -> bool {
        self.reservations
            .get(machine)
            .is_none_or(|reservation| reservation.reserved_for.allows_preemption_by(tier))
    }
}
