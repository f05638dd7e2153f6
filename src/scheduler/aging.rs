//! Aging: guards jobs against starvation. The first task of a job that has waited too long is placed
//! before all other work, and where it fits nowhere a machine is reserved for it while the running
//! tasks end by themselves.
//!
//! Never preempts, and never exceeds a quota. Gangs start whole, so nothing here is for them.

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

/// Each job has to begin within that time (PROTOCOL, and the operators' requirement on the largest
/// jobs).
const FIRST_START_DEADLINE: Micros = 240 * SECOND;
/// A job is aged when it has waited for this long: half of the time within which it must begin.
const AGED_AFTER: Micros = FIRST_START_DEADLINE / 2;
/// A start counts when no command stops the task within 30 s (PROTOCOL): the first task of an aged
/// job is not preempted before.
pub(super) const FIRST_TASK_PROTECTION: Micros = 32 * SECOND;
/// A first task is protected no longer than this after it was planned, even if it never ran.
const FIRST_TASK_PROTECTION_MAX: Micros = 180 * SECOND;
/// At most the machines divided by this, and always one, are reserved at a time.
const AGED_RESERVATIONS_DIVISOR: usize = 32;

/// A job of which nothing has started for too long. The order of the fields is that of service: the
/// oldest first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct AgedJob {
    waiting_since: Micros,
    number: u32,
    tier: Tier,
}

impl Scheduler {
    /// Places the first task of each aged job before all other work, the oldest job first. Served
    /// only by what is gained for the work left, the largest jobs of the lowest class would wait for
    /// as long as smaller ones come. One task of each costs the others little; the rest of the job
    /// waits for its turn as before.
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
                // Capacity that its team may not use is not withheld from others.
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

    /// Drops the reservations of jobs that have started or are over.
    fn release_reservations_of_started_jobs(&mut self, aged_jobs: &[AgedJob]) {
        let is_aged = |number: &u32| aged_jobs.iter().any(|aged| aged.number == *number);
        let reserved = self.aged_reservations.keys().copied();
        let started: Vec<u32> = reserved.filter(|number| !is_aged(number)).collect();
        for number in started {
            self.release_aged_reservation(number);
        }
    }

    /// Drops the reservation of an aged job, if it has one.
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

    /// Reserves the machine on which a task of the job should fit the soonest, and from then on
    /// renews that reservation. Without it, what comes free is taken in small parts by whatever is
    /// small, and a task that needs most of a machine never fits. Nothing is preempted for it and it
    /// counts towards no quota: a leader that ends leaves nothing of it.
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

    fn reserve_for_aged(&mut self, machine: Arc<str>, ready_at: Micros, now: Micros) {
        let reservation = Reservation {
            reserved_for: ReservedFor::AgedJob,
            expires_at: now + RESERVATION_TTL,
            backfill_until: ready_at,
        };
        self.reservations.insert(machine, reservation);
    }

    /// When a task should fit on the machine, if what runs there ends as expected and nothing more
    /// comes; None where it never does.
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
            // What has run for longer than expected is taken to run for half as long again.
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

/// The jobs of which nothing has started for too long, the oldest first.
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
