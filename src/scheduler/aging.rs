//! Jobs of which nothing has begun for long: the first task of each goes before all other work, and where none fits
//! a machine is kept for it while it drains by itself. Groups start whole, so nothing here is for them.

use super::*;

/// Each job has to begin within that time (PROTOCOL, and the operators' letter on the largest jobs).
const FIRST_START_DEADLINE: Micros = 240 * SECOND;
/// A start counts when no command stops the task within 30 s (PROTOCOL): a first task that was begun for its
/// job's age is not stopped for others before.
pub(super) const FIRST_TASK_PROTECTED_FOR: Micros = 32 * SECOND;
/// Of one that has not begun by then nothing more is known here.
const FIRST_TASK_FORGOTTEN_AFTER: Micros = 180 * SECOND;
/// Above all tiers: stands for a machine that is kept. What may have work stopped for itself may so there too, and then
/// has the room.
pub(super) const AGED_RESERVATION_TIER: u8 = u8::MAX;
/// At most that part of the machines, and one, is kept at a time.
const AGED_RESERVATIONS_DIVISOR: usize = 32;

/// A machine that takes no more work, until a task of the job fits.
#[derive(Clone, Debug)]
pub(super) struct ReservedMachine {
    machine: Arc<str>,
    /// When enough of what runs there should have ended; reckoned once, so that what fills the time till then can't
    /// put it off.
    ready_at: Micros,
}

impl Scheduler {
    /// Jobs of which nothing has begun for half of the time within which each has to: the first task of each
    /// goes before all other work, the oldest first. Served by what is gained for the work left alone, the
    /// largest of the lowest class wait for as long as smaller ones come. One task of each costs the others
    /// little; the rest of it waits for its turn as before.
    pub(super) fn place_aged_jobs(
        &mut self,
        now: Micros,
        wall: Micros,
        order: &[(u32, u8)],
        table: &mut JobTable,
        workers: &mut WorkerLedger,
        (settings, types): (&Settings, &[MachineType]),
    ) -> Vec<Placement> {
        let waits = |j: &Job| {
            j.spec.kind != JobKind::Gang
                && j.placements.is_empty()
                && j.done.is_empty()
                && !j.is_suspect()
                && wall >= j.waiting_since() + FIRST_START_DEADLINE / 2
        };
        let elders = order.iter().filter_map(|(number, tier)| {
            let job = table.by_number.get(number).filter(|j| waits(j))?;
            Some((job.waiting_since(), *number, *tier))
        });
        let mut elders: Vec<_> = elders.collect();
        elders.sort_unstable();
        // Of a job that has begun, or is over, nothing is kept any more.
        let begun = self.aged_reservations.keys().copied();
        let begun = begun.filter(|number| !elders.iter().any(|e| e.1 == *number));
        for number in begun.collect::<Vec<_>>() {
            self.release_machine(number);
        }
        let silence = silence_limit(settings);
        let mut placed = Vec::new();
        let mut dead = UnplaceableSizes::default();
        for (_, number, tier) in elders {
            let Some(job) = table.by_number.get_mut(&number) else {
                continue;
            };
            let spec = job.spec.clone();
            let full = !Self::within_quota(settings, self.capacity.team_usage(&spec.team), &spec);
            if full || dead.covers(&spec) {
                // What its team may not use keeps nobody else from it.
                self.release_machine(number);
                continue;
            }
            let look = MachineQuery {
                now,
                tier,
                silence_limit: silence,
                zone: None,
                image_filter: ImageFilter::CachedFirst,
            };
            job.trial_tasks = Some(1);
            let found = self.find_machines(job, &look, workers, settings);
            job.trial_tasks = None;
            if found.is_empty() {
                self.reserve_machine(&look, job, workers, types);
                if accepts_any_machine(&spec) && job.startable_tasks(&self.schema) > 0 {
                    dead.add(&spec);
                }
            } else {
                self.release_machine(number);
            }
            placed.extend(plan_tasks(now, job, found, None, workers));
        }
        self.aged_first_tasks
            .retain(|_, at| now < *at + FIRST_TASK_FORGOTTEN_AFTER);
        self.aged_first_tasks
            .extend(placed.iter().map(|p| (p.key, now)));
        placed
    }

    fn release_machine(&mut self, number: u32) {
        if let Some(k) = self.aged_reservations.remove(&number)
            && self
                .reservations
                .get(&k.machine)
                .is_some_and(|c| c.tier == AGED_RESERVATION_TIER)
        {
            self.reservations.remove(&k.machine);
        }
    }

    /// Keeps the machine on which a task of the job should fit the soonest, and goes on keeping it. Without it what
    /// comes free is taken in small parts by whatever is small, and a task that needs most of a machine never fits.
    /// Nothing is stopped for it, and it is of no quota: a leader that ends leaves nothing of it.
    fn reserve_machine(
        &mut self,
        look: &MachineQuery,
        job: &Job,
        workers: &WorkerLedger,
        types: &[MachineType],
    ) {
        let now = look.now;
        let fit = |m: &Machine| m.is_usable(now, look.silence_limit) && is_allowed(job, m, workers);
        if let Some(k) = self.aged_reservations.get(&job.number) {
            let claimed = self
                .reservations
                .get(&k.machine)
                .is_some_and(|c| c.tier != AGED_RESERVATION_TIER);
            if !claimed && workers.machines.get(&k.machine).is_some_and(fit) {
                return self.reserve(k.machine.clone(), k.ready_at, now);
            }
            self.release_machine(job.number);
        }
        if self.aged_reservations.len()
            >= (workers.machines.len() / AGED_RESERVATIONS_DIVISOR).max(1)
        {
            return;
        }
        let free = |id: &Arc<str>| !self.reservations.contains_key(id);
        let machines = workers.machines.values();
        let soonest = machines
            .filter(|m| free(&m.id) && fit(m))
            .filter_map(|m| Some((self.machine_ready_at(now, &job.spec, m, types)?, &m.id)))
            .min();
        let Some((ready, machine)) = soonest else {
            return;
        };
        log::info!(
            "{machine} is kept for job {}, of which nothing has begun for long",
            job.spec.uid
        );
        let machine = machine.clone();
        self.reserve(machine.clone(), ready, now);
        self.aged_reservations.insert(
            job.number,
            ReservedMachine {
                machine,
                ready_at: ready,
            },
        );
    }

    fn reserve(&mut self, machine: Arc<str>, ready: Micros, now: Micros) {
        let claim = Reservation {
            tier: AGED_RESERVATION_TIER,
            until: now + RESERVATION_TTL,
            backfill_until: ready,
        };
        self.reservations.insert(machine, claim);
    }

    /// When a task should fit on the machine, if what runs there ends as expected and nothing more comes; None
    /// where it never does.
    fn machine_ready_at(
        &self,
        now: Micros,
        spec: &JobSpec,
        m: &Machine,
        types: &[MachineType],
    ) -> Option<Micros> {
        let mut room = types
            .iter()
            .find(|t| t.name == m.machine_type)
            .map(Resources::of)?;
        if !room.fits(spec) {
            return None;
        }
        let mut ends = Vec::new();
        for (_, e) in m.held_tasks() {
            let s = e.spec.as_ref()?;
            room.subtract(s);
            let run = self.expected_run(s);
            // What has run for longer than expected may run for as long again as it was to.
            let left = match e.running_since {
                Some(since) if now < since + run => since + run - now,
                Some(_) => run / 2,
                None => run,
            };
            ends.push((now + left, s));
        }
        ends.sort_by_key(|e| e.0);
        let mut at = now;
        for (end, s) in ends {
            if room.fits(spec) {
                break;
            }
            room.add(s);
            at = end;
        }
        room.fits(spec).then_some(at)
    }

    /// Whether room on a machine is kept from this work: for a higher tier or for a job that waited for long, unless
    /// it ends before that needs the room.
    pub(super) fn is_reserved_from(&self, id: &Arc<str>, look: &MachineQuery, job: &Job) -> bool {
        self.reservations.get(id).is_some_and(|c| {
            let own = || {
                self.aged_reservations
                    .get(&job.number)
                    .is_some_and(|k| k.machine == *id)
            };
            let ends = look.now + self.expected_run(&job.spec);
            look.tier < c.tier
                && ends > c.backfill_until
                && !(c.tier == AGED_RESERVATION_TIER && own())
        })
    }
}
