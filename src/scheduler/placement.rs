//! The placement pass: serves the jobs in queue order and books machines for their waiting tasks,
//! then preempts tasks for urgent jobs that found no machine.

use super::Scheduler;
use super::booking::{Booking, Placement, plan_tasks};
use super::context::PassContext;
use super::job_order::{JobOrder, QueuedJob, Tier};
use super::objectives::FetchPressure;
use super::preempt::{PreemptibleMachine, PreemptionQuery};
use super::ranking::{ImagePreference, MachineQuery};
use super::unplaceable::{UnplaceableSizes, accepts_any_machine};
use crate::accounting::StopReason;
use crate::clock::{Micros, Now, SECOND};
use crate::jobs::{Job, JobTable};
use crate::seeded_hash::HashMap;
use crate::settings::Settings;
use crate::task_id::TaskId;
use crate::wire::{JobKind, MachineType};
use crate::worker_ledger::WorkerLedger;

/// Tasks are placed on machines without their image, to spread it, only if the free cores exceed
/// those that the waiting tasks request by this share of all cores. The waiting tasks are
/// subtracted because much capacity is free for a short time after an outage, and image fetches
/// would then delay the other waiting tasks.
const SPARE_CORES_SHARE: f64 = 0.3;
/// How often the availability of all machines is checked, instead of only that of the machines that
/// changed.
const FULL_REFRESH_INTERVAL: Micros = SECOND;
/// The interval between passes that may preempt is this value times the number of machines, since
/// the cost of such a pass grows with the number of running tasks.
const PREEMPTION_INTERVAL_PER_MACHINE: Micros = 200;
/// A task of a suspect job, one whose tasks have failed on several machines, counts as healthy once
/// it has run for this much longer than the longest run that failed.
const TRIAL_MARGIN: Micros = SECOND;

/// The state of one placement pass.
struct PlacementPass<'a> {
    context: PassContext<'a>,
    tiers: &'a HashMap<u32, Tier>,
    /// Whether enough cores are free, beyond those that waiting tasks request, to spread images.
    has_spare_cores: bool,
    /// Whether this pass may preempt tasks.
    is_preempting: bool,
    unplaceable: UnplaceableSizes,
    /// The tasks that could be preempted, by machine; computed when a job first needs them.
    preemptible_machines: Option<Vec<PreemptibleMachine>>,
}

impl Scheduler {
    /// Runs a placement pass: places the waiting tasks for which there is capacity. The returned
    /// placements are planned in the worker ledger and in the jobs; their start commands must not
    /// be sent before the placements are stored.
    ///
    /// `now` is the time on the steady clock, `wall` the time of day of the same moment.
    pub fn place_tasks(
        &mut self,
        now: Micros,
        wall: Micros,
        table: &mut JobTable,
        workers: &mut WorkerLedger,
        types: &[MachineType],
        settings: &Settings,
    ) -> Vec<Placement> {
        let now = Now { steady: now, wall };
        let context = PassContext::new(now, settings, types);
        self.refresh_capacity(&context, workers);
        let order = self.job_order(&context, table, self.capacity.total_cores);
        let has_spare_cores = self.has_spare_cores(&order, table);
        self.reservations
            .retain(|_, reservation| now.steady < reservation.expires_at);
        if self.fetch_rates.len() != types.len() {
            let rates = types.iter().map(|t| (t.name.clone(), t.fetch_gb_per_s));
            self.fetch_rates = rates.collect();
        }
        let is_preempting = self.begin_preemption(now.steady, workers);
        let mut placed = self.place_aged_jobs(&context, &order.queue, table, workers);
        let mut pass = PlacementPass {
            context,
            tiers: &order.tiers,
            has_spare_cores,
            is_preempting,
            unplaceable: UnplaceableSizes::default(),
            preemptible_machines: None,
        };
        for queued in &order.queue {
            if let Some(job) = table.by_number.get_mut(&queued.number) {
                placed.extend(self.place_job(&mut pass, queued, job, workers));
            }
        }
        if is_preempting {
            for preemption in self.plan_preemptions(&context, &order, table, workers) {
                workers.stop_task(
                    &preemption.machine,
                    preemption.task,
                    preemption.attempt,
                    preemption.grace_s,
                    StopReason::Preempted,
                );
            }
        }
        placed
    }

    /// Updates the free capacity from the worker ledger.
    fn refresh_capacity(&mut self, context: &PassContext, workers: &mut WorkerLedger) {
        let now = context.now.steady;
        let is_full = now >= self.full_refresh_at;
        if is_full {
            self.full_refresh_at = now + FULL_REFRESH_INTERVAL;
        }
        self.capacity.refresh(
            now,
            workers,
            context.types,
            context.heartbeat_grace_period,
            is_full,
        );
    }

    /// Whether the free cores exceed those that the waiting tasks request by more than
    /// `SPARE_CORES_SHARE` of all cores.
    fn has_spare_cores(&self, order: &JobOrder, table: &JobTable) -> bool {
        let waiting: f64 = order
            .queue
            .iter()
            .filter_map(|queued| table.by_number.get(&queued.number))
            .map(|job| job.pending_count as f64 * job.spec.cores)
            .sum();
        self.capacity.free_cores - waiting > SPARE_CORES_SHARE * self.capacity.total_cores
    }

    /// Whether this pass may preempt tasks; if so, sets the earliest time for the next such pass.
    fn begin_preemption(&mut self, now: Micros, workers: &WorkerLedger) -> bool {
        let may_preempt = now >= self.next_preemption_at && self.preemption_allowance > 0.0;
        if may_preempt {
            self.next_preemption_at =
                now + PREEMPTION_INTERVAL_PER_MACHINE * workers.machines.len() as Micros;
            self.waiting_for_image.clear();
        }
        may_preempt
    }

    /// Places the waiting tasks of one job for which machines are found.
    fn place_job(
        &mut self,
        pass: &mut PlacementPass,
        queued: &QueuedJob,
        job: &mut Job,
        workers: &mut WorkerLedger,
    ) -> Vec<Placement> {
        let context = pass.context;
        let spec = job.spec.clone();
        let is_gang = spec.kind == JobKind::Gang;
        job.trial_tasks = (job.is_suspect() && !is_gang)
            .then(|| trial_task_limit(context.now.steady, job, workers));
        // Tasks that remain from an earlier attempt of a gang end by themselves. Then all tasks of
        // the gang start again together.
        let is_gang_left_over = is_gang && !job.placements.is_empty();
        if job.trial_tasks == Some(0)
            || is_gang_left_over
            || !self.is_within_quota(context.settings, &spec)
        {
            return Vec::new();
        }
        // If an image fetch takes longer than the job may wait for its start, the job can only use
        // machines that have the image cached, if necessary after preempting tasks there.
        let pressure = self.fetch_pressure(&context, job, queued.tier);
        let needs_cached_image = pressure == FetchPressure::TooSlow;
        if pass.unplaceable.covers(&spec) && !(needs_cached_image && pass.is_preempting) {
            return Vec::new();
        }
        let query = MachineQuery {
            tier: queued.tier,
            zone: None,
            image_preference: if pressure == FetchPressure::Ample && pass.has_spare_cores {
                ImagePreference::CachedLast
            } else {
                ImagePreference::CachedFirst
            },
        };
        let mut bookings = if needs_cached_image && !is_gang {
            self.book_cached(pass, &query, job, workers)
        } else {
            Vec::new()
        };
        if !needs_cached_image {
            self.waiting_for_image.remove(&queued.number);
        }
        if !self.waiting_for_image.contains(&queued.number) && !pass.unplaceable.covers(&spec) {
            bookings.extend(self.find_machines(&context, job, &query, workers));
            if job.pending_count > 0
                && accepts_any_machine(&spec)
                && job.startable_tasks(&self.schema) > 0
                && self.is_within_quota(context.settings, &spec)
            {
                pass.unplaceable.add(&spec);
            }
        }
        if is_gang {
            self.complete_gang(&context, query, job, &mut bookings, workers);
        }
        // All tasks of a gang have the same attempt number, by which they identify each other.
        let common_attempt = (is_gang && !bookings.is_empty()).then(|| workers.new_attempt());
        plan_tasks(context.now.steady, job, bookings, common_attempt, workers)
    }

    /// Books machines that have the image of the job cached. If tasks are left and preemption could
    /// free capacity on such a machine, the job is marked as waiting for one.
    fn book_cached(
        &mut self,
        pass: &mut PlacementPass,
        query: &MachineQuery,
        job: &mut Job,
        workers: &WorkerLedger,
    ) -> Vec<Booking> {
        let context = pass.context;
        let cached_only = MachineQuery {
            image_preference: ImagePreference::OnlyCached,
            ..*query
        };
        let bookings = self.find_machines(&context, job, &cached_only, workers);
        if job.pending_count > 0 && pass.is_preempting {
            let preemptible_machines = pass
                .preemptible_machines
                .get_or_insert_with(|| self.preemptible_machines(&context, pass.tiers, workers));
            let preemption = PreemptionQuery {
                tier: query.tier,
                settings: context.settings,
                cached_only: true,
                same_team_only: false,
            };
            let could_preempt = preemptible_machines.iter().any(|preemptible| {
                preemptible.could_fit(&preemption, &job.spec)
                    && workers
                        .machines
                        .get(&preemptible.machine)
                        .is_some_and(|machine| {
                            self.may_serve(&preemption, job, machine, workers)
                                && self
                                    .preemption_cost(&preemption, job, machine, preemptible)
                                    .is_some()
                        })
            });
            if could_preempt {
                self.waiting_for_image.insert(job.number);
            }
        }
        bookings
    }

    /// Completes or undoes the bookings of a gang, which starts only if all its tasks fit. For a
    /// gang that must run in one zone, tries each zone in turn, because the first machine that was
    /// drawn may be in a zone without enough capacity. Undoes the bookings if tasks are left.
    fn complete_gang(
        &mut self,
        context: &PassContext,
        query: MachineQuery,
        job: &mut Job,
        bookings: &mut Vec<Booking>,
        workers: &WorkerLedger,
    ) {
        if job.pending_count > 0 && job.spec.one_zone && job.placements.len() == bookings.len() {
            let machines = workers.machines.values();
            let mut zones: Vec<&str> = machines.map(|machine| machine.zone.as_str()).collect();
            zones.sort_unstable();
            zones.dedup();
            for zone in zones {
                self.undo_bookings(job, bookings);
                let in_zone = MachineQuery {
                    zone: Some(zone),
                    ..query
                };
                *bookings = self.find_machines(context, job, &in_zone, workers);
                if job.pending_count == 0 {
                    break;
                }
            }
        }
        if job.pending_count > 0 {
            self.undo_bookings(job, bookings);
        }
    }
}

/// How many more tasks of a suspect job may be started to test whether they still fail: one, plus
/// two for each running task that counts as healthy, less those already placed. Starting all tasks
/// at once would take capacity from other jobs and fetch the image on every machine, until the user
/// cancels the job.
fn trial_task_limit(now: Micros, job: &Job, workers: &WorkerLedger) -> u64 {
    let proven_after = job.longest_failed_run + TRIAL_MARGIN;
    let mut proven = 0;
    for (index, attempts) in &job.placements {
        let task = TaskId {
            job: job.number,
            index: *index,
        };
        for (machine, attempt) in attempts {
            let tasks = workers.machines.get(machine).map(|machine| &machine.tasks);
            let entry = tasks.and_then(|tasks| tasks.get(&(task, *attempt)));
            let since = entry.and_then(|entry| entry.running_since);
            proven += u64::from(since.is_some_and(|since| now > since + proven_after));
        }
    }
    (2 * proven + 1).saturating_sub(job.placements.len() as u64)
}
