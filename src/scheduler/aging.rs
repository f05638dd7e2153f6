//! Aging: prevents starvation of jobs. The first task of a job that has waited too long is placed
//! before the tasks of all other jobs. If it fits on no machine, a machine is reserved for it until
//! enough of the running tasks there have ended.
//!
//! Aging never preempts tasks and never exceeds a quota. It does not apply to gangs, whose tasks
//! all start together.

use super::Scheduler;
use super::booking::{Placement, plan_tasks};
use super::context::PassContext;
use super::job_order::{QueuedJob, Tier};
use super::ranking::{ImagePreference, MachineQuery, is_allowed};
use super::reservation::{AgedReservation, RESERVATION_TTL, Reservation, ReservedFor};
use super::unplaceable::{UnplaceableSizes, accepts_any_machine};
use crate::capacity::Resources;
use crate::clock::{Micros, SECOND};
use crate::jobs::{Job, JobTable};
use crate::wire::{JobKind, JobSpec, MachineType};
use crate::worker_ledger::{Machine, WorkerLedger};
use std::sync::Arc;

/// The time within which the first task of each job must start, required by the protocol
/// specification (PROTOCOL) and, for the largest jobs, by the operators.
const FIRST_START_DEADLINE: Micros = 240 * SECOND;
/// A job is aged when it has waited for this long: half of the time within which it must start.
const AGED_AFTER: Micros = FIRST_START_DEADLINE / 2;
/// The first task of an aged job is not preempted before it has run for this long: by the
/// protocol specification (PROTOCOL) a start counts only if no command stops the task within 30 s.
pub(super) const FIRST_TASK_PROTECTION: Micros = 32 * SECOND;
/// The protection of a first task ends at the latest this long after the task was planned, even if
/// it never ran.
const FIRST_TASK_PROTECTION_MAX: Micros = 180 * SECOND;
/// The maximum number of machines reserved for aged jobs at a time is the number of machines
/// divided by this, but at least one.
const AGED_RESERVATIONS_DIVISOR: usize = 32;

/// A job of which no task has started for too long. The derived order, by the fields in their
/// order, is the order in which aged jobs are served: the oldest first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct AgedJob {
    waiting_since: Micros,
    number: u32,
    tier: Tier,
}

impl Scheduler {
    /// Places the first task of each aged job before the tasks of all other jobs, the oldest job
    /// first. In queue order alone, which favours jobs with little remaining work, the largest jobs
    /// of the lowest tier would wait for as long as smaller jobs arrive. Placing one task of each
    /// aged job costs the other jobs little; its other tasks are placed in queue order.
    pub(super) fn place_aged_jobs(
        &mut self,
        pass: &PassContext,
        queue: &[QueuedJob],
        table: &mut JobTable,
        workers: &mut WorkerLedger,
    ) -> Vec<Placement> {
        let now = pass.now.steady;
        let aged_jobs = aged_jobs(pass.now.wall, queue, table);
        self.release_reservations_of_started_jobs(&aged_jobs);
        let mut placed = Vec::new();
        let mut unplaceable = UnplaceableSizes::default();
        for AgedJob { number, tier, .. } in aged_jobs {
            let Some(job) = table.by_number.get_mut(&number) else {
                continue;
            };
            let spec = job.spec.clone();
            if !self.is_within_quota(pass.settings, &spec) || unplaceable.covers(&spec) {
                // The team may not use the capacity now, so it is not withheld from other jobs.
                self.release_aged_reservation(number);
                continue;
            }
            let query = MachineQuery {
                tier,
                zone: None,
                image_preference: ImagePreference::CachedFirst,
            };
            job.trial_tasks = Some(1);
            let bookings = self.find_machines(pass, job, &query, workers);
            job.trial_tasks = None;
            if bookings.is_empty() {
                self.renew_aged_reservation(pass, job, workers);
                if accepts_any_machine(&spec) && job.startable_tasks(&self.schema) > 0 {
                    unplaceable.add(&spec);
                }
            } else {
                self.release_aged_reservation(number);
            }
            placed.extend(plan_tasks(now, job, bookings, None, workers));
        }
        self.aged_first_tasks
            .retain(|_, planned_at| now < *planned_at + FIRST_TASK_PROTECTION_MAX);
        self.aged_first_tasks
            .extend(placed.iter().map(|placement| (placement.task, now)));
        placed
    }

    /// Releases the reservations of jobs that are no longer aged: they have started or finished.
    fn release_reservations_of_started_jobs(&mut self, aged_jobs: &[AgedJob]) {
        let is_aged = |number: &u32| aged_jobs.iter().any(|aged| aged.number == *number);
        let reserved = self.aged_reservations.keys().copied();
        let started: Vec<u32> = reserved.filter(|number| !is_aged(number)).collect();
        for number in started {
            self.release_aged_reservation(number);
        }
    }

    /// Releases the reservation of an aged job, if it has one.
    fn release_aged_reservation(&mut self, number: u32) {
        if let Some(aged) = self.aged_reservations.remove(&number)
            && self
                .reservations
                .get(&aged.machine)
                .is_some_and(|reservation| reservation.reserved_for == ReservedFor::AgedJob)
        {
            self.reservations.remove(&aged.machine);
        }
    }

    /// Reserves the machine on which a task of the job is expected to fit first, or renews the
    /// reservation that the job already has. Without a reservation, small tasks take up capacity as
    /// soon as it becomes free, and a task that needs most of a machine never fits. Nothing is
    /// preempted for the reservation, and it counts towards no quota. It is lost with the leader.
    fn renew_aged_reservation(&mut self, pass: &PassContext, job: &Job, workers: &WorkerLedger) {
        let now = pass.now.steady;
        let may_serve = |machine: &Machine| {
            machine.is_usable(now, pass.heartbeat_grace_period) && is_allowed(job, machine, workers)
        };
        if let Some(aged) = self.aged_reservations.get(&job.number) {
            let is_taken = self
                .reservations
                .get(&aged.machine)
                .is_some_and(|reservation| reservation.reserved_for != ReservedFor::AgedJob);
            let machine = workers.machines.get(&aged.machine);
            if !is_taken && machine.is_some_and(may_serve) {
                return self.reserve_for_aged(aged.machine.clone(), aged.ready_at, now);
            }
            self.release_aged_reservation(job.number);
        }
        let reservations_max = (workers.machines.len() / AGED_RESERVATIONS_DIVISOR).max(1);
        if self.aged_reservations.len() >= reservations_max {
            return;
        }
        let is_unreserved = |machine: &Machine| !self.reservations.contains_key(&machine.id);
        let machines = workers.machines.values();
        let soonest = machines
            .filter(|machine| is_unreserved(machine) && may_serve(machine))
            .filter_map(|machine| {
                let ready_at = self.machine_ready_at(now, &job.spec, machine, pass.types)?;
                Some((ready_at, &machine.id))
            })
            .min();
        let Some((ready_at, machine)) = soonest else {
            return;
        };
        log::info!(
            "reserving machine for a job that has waited too long machine={machine} job={}",
            job.spec.uid
        );
        let machine = machine.clone();
        self.reserve_for_aged(machine.clone(), ready_at, now);
        self.aged_reservations
            .insert(job.number, AgedReservation { machine, ready_at });
    }

    /// Reserves a machine for an aged job, or renews the reservation.
    fn reserve_for_aged(&mut self, machine: Arc<str>, ready_at: Micros, now: Micros) {
        let reservation = Reservation {
            reserved_for: ReservedFor::AgedJob,
            expires_at: now + RESERVATION_TTL,
            backfill_until: ready_at,
        };
        self.reservations.insert(machine, reservation);
    }

    /// When a task of the job is expected to fit on the machine if the running tasks end as
    /// expected and no others are placed there; `None` if it cannot fit, or if the size of a
    /// running task is unknown.
    fn machine_ready_at(
        &self,
        now: Micros,
        spec: &JobSpec,
        machine: &Machine,
        types: &[MachineType],
    ) -> Option<Micros> {
        let mut free = types
            .iter()
            .find(|machine_type| machine_type.name == machine.machine_type)
            .map(Resources::of)?;
        if !free.fits(spec) {
            return None;
        }
        let mut ends = Vec::new();
        for (_, entry) in machine.tasks_holding_resources() {
            let held = entry.spec.as_ref()?;
            free.subtract(held);
            let run = self.expected_run_time(held);
            // A task that has run for longer than expected is assumed to need half of its expected
            // run time more.
            let left = match entry.running_since {
                Some(since) if now < since + run => since + run - now,
                Some(_) => run / 2,
                None => run,
            };
            ends.push((now + left, held));
        }
        ends.sort_by_key(|(end, _)| *end);
        let mut ready_at = now;
        for (end, held) in ends {
            if free.fits(spec) {
                break;
            }
            free.add(held);
            ready_at = end;
        }
        free.fits(spec).then_some(ready_at)
    }
}

/// The jobs of which no task has started for too long, the oldest first.
fn aged_jobs(wall: Micros, queue: &[QueuedJob], table: &JobTable) -> Vec<AgedJob> {
    let is_aged = |job: &Job| {
        job.spec.kind != JobKind::Gang
            && job.placements.is_empty()
            && job.done.is_empty()
            && !job.is_suspect()
            && wall >= job.waiting_since() + AGED_AFTER
    };
    let mut aged: Vec<AgedJob> = queue
        .iter()
        .filter_map(|queued| {
            let job = table.by_number.get(&queued.number)?;
            is_aged(job).then(|| AgedJob {
                waiting_since: job.waiting_since(),
                number: queued.number,
                tier: queued.tier,
            })
        })
        .collect();
    aged.sort_unstable();
    aged
}
