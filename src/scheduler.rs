//! Task assignment after E-Ant: pheromone per job class and machine type, draws in proportion
//! to it, first fit within a type, jobs weighted by fairness. What goes beyond the paper is
//! said at the place and in docs/design.md.

mod aging;
mod demand;
mod pheromone;
mod preempt;
mod ranking;
mod wait_reason;

use crate::accounting::StopReason;
use crate::capacity::{ClusterCapacity, EPSILON, Resources, Usage, free_resources};
use crate::clock::{Micros, SECOND, from_secs, to_secs};
use crate::jobs::{Job, JobTable};
use crate::schema::Schema;
use crate::seeded_hash::{HashMap, HashSet};
use crate::settings::{Objective, Properties, Settings};
use crate::task_id::TaskId;
use crate::wire::{JobKind, JobSpec, MachineType, Priority};
use crate::worker_ledger::{Machine, TaskEntry, TaskState, WorkerLedger};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::BTreeMap;
use std::sync::Arc;

use aging::ReservedMachine;
pub use demand::Demand;
pub use pheromone::{ClassKey, Pheromone, eta};
use preempt::{PreemptionProspect, PreemptionQuery};
use ranking::{FetchPressure, ImageFilter, MachineQuery, is_allowed};

/// A machine that has said nothing for this many report periods takes no new tasks.
const SILENT_HEARTBEAT_PERIODS: u64 = 3;

/// For how long a machine may say nothing and still take new tasks.
pub fn silence_limit(settings: &Settings) -> Micros {
    settings.report_period() * SILENT_HEARTBEAT_PERIODS
}

/// Stands for the attempt while a pass looks for places.
const PROVISIONAL_ATTEMPT: u64 = u64::MAX;

pub fn is_type_allowed(spec: &JobSpec, machine_type: &str) -> bool {
    spec.types
        .as_ref()
        .is_none_or(|t| t.iter().any(|x| x == machine_type))
}

/// Why a job can never run, if so.
pub fn impossible_reason(
    spec: &JobSpec,
    types: &[MachineType],
    settings: &Settings,
) -> Option<String> {
    let Some(team) = settings.team(&spec.team) else {
        return Some(format!("unknown team {}", spec.team));
    };
    let times = if spec.kind == JobKind::Array {
        1.0
    } else {
        spec.tasks as f64
    };
    if team.cpus_max > 0.0 && spec.cores * times > team.cpus_max + EPSILON {
        return Some(format!(
            "needs more than the {} cores that {} may use",
            team.cpus_max, team.name
        ));
    }
    if team.gpus_max > 0.0 && spec.accelerators * times > team.gpus_max + EPSILON {
        return Some(format!(
            "needs more than the {} accelerators that {} may use",
            team.gpus_max, team.name
        ));
    }
    if let Some(zone) = &spec.zone
        && !settings.deployment.zones.is_empty()
        && !settings.deployment.zones.contains(zone)
        && !types.iter().any(|t| t.zones.contains(zone))
    {
        return Some(format!("unknown paddock {zone}"));
    }
    let fits = |t: &&MachineType| is_type_allowed(spec, &t.name) && Resources::of(t).fits(spec);
    let mut fitting = types.iter().filter(fits).peekable();
    if fitting.peek().is_none() {
        return Some("a task fits no allowed machine type".to_owned());
    }
    if let Some(zone) = &spec.zone
        && !fitting.any(|t| t.zones.is_empty() || t.zones.contains(zone))
    {
        return Some(format!("no machine type that fits is offered in {zone}"));
    }
    // Of an array each task may run by itself; the tasks of others are there side by side.
    let one_zone = spec.one_zone || spec.zone.is_some() || settings.deployment.zones.len() == 1;
    if spec.spread && one_zone && spec.kind != JobKind::Array && spec.tasks > 1 {
        return Some("apart: its tasks can't be spread over the one zone allowed".to_owned());
    }
    None
}

/// A decided start.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    pub machine: Arc<str>,
    pub key: TaskId,
    pub attempt: u64,
}

/// The share of the cores that must be left over before some are spent on spreading images.
/// What counts is what the waiting work leaves: after an outage much is free for a moment, and
/// whatever then goes to machines without its image makes the others wait for the fetches.
const SPARE_CORES_SHARE: f64 = 0.3;
/// How often all machines are looked at anew.
const FULL_REFRESH_INTERVAL: Micros = SECOND;
/// A pass that may stop work is due again after this long for each machine.
const PREEMPTION_INTERVAL_PER_MACHINE: Micros = 200;

/// Sizes that found no room: whatever is at least as large finds none either, since room only
/// shrinks during a pass.
#[derive(Default)]
struct UnplaceableSizes(Vec<Resources>);

impl UnplaceableSizes {
    fn covers(&self, s: &JobSpec) -> bool {
        self.0.iter().any(|r| {
            s.cores >= r.cores && s.accelerators >= r.accelerators && s.memory_gb >= r.memory_gb
        })
    }

    fn add(&mut self, s: &JobSpec) {
        self.0.push(Resources {
            cores: s.cores,
            accelerators: s.accelerators,
            memory_gb: s.memory_gb,
        });
    }
}

/// Whether any machine will do, so that a failure speaks for other jobs as well.
fn accepts_any_machine(s: &JobSpec) -> bool {
    s.types.is_none() && s.zone.is_none() && s.spot && !s.one_zone && !s.spread
}

pub struct Scheduler {
    pub pheromone: Pheromone,
    /// What of a job's placements can be stored.
    pub schema: Schema,
    rng: SmallRng,
    fairness_exponent: f64,
    evaporation: f64,
    objectives: Vec<Objective>,
    /// Real over estimated run time per class, learned.
    run_ratio: HashMap<Arc<str>, f64>,
    round_length: Micros,
    next_round_at: Micros,
    reservations: BTreeMap<Arc<str>, Reservation>,
    pub capacity: ClusterCapacity,
    /// The next look at all machines, and the next pass that may stop work.
    full_refresh_at: Micros,
    next_preemption_at: Micros,
    /// Jobs that wait for a machine that holds their image.
    waiting_for_image: HashSet<u32>,
    /// First tasks of jobs that had waited for long, and when they were planned.
    aged_first_tasks: HashMap<TaskId, Micros>,
    /// Machines that drain by themselves for jobs that waited for long, by job.
    aged_reservations: BTreeMap<u32, ReservedMachine>,
    /// Cores a second that tasks left by ending, lately, and when that was reckoned.
    completion_rate: f64,
    completion_rate_at: Micros,
    /// How many cores of running work may be stopped at the moment to make room.
    pub preemption_allowance: f64,
    /// Gigabytes a second by machine type.
    fetch_rates: BTreeMap<String, f64>,
}

/// Room that is being freed by stopping tasks is kept for those it is freed for. Without this,
/// work of a lower tier took each half as it came free, and was stopped again, without end.
#[derive(Clone, Copy, Debug)]
struct Reservation {
    tier: u8,
    until: Micros,
    /// What surely ends before that may use the room meanwhile.
    backfill_until: Micros,
}

/// The time over which cores that come free are counted, in seconds.
const COMPLETION_RATE_WINDOW_S: f64 = 8.0;

/// Longer than a task takes to save and its end to be reported.
const RESERVATION_TTL: Micros = 8 * SECOND;

impl Scheduler {
    pub fn new(
        props: &Properties,
        settings: &Settings,
        layout: Schema,
        seed: u64,
        now: Micros,
    ) -> Self {
        Self {
            pheromone: Pheromone::default(),
            schema: layout,
            rng: SmallRng::seed_from_u64(seed),
            fairness_exponent: props.fairness_exponent,
            evaporation: props.evaporation,
            objectives: settings.deployment.objectives.clone(),
            run_ratio: HashMap::default(),
            round_length: props.round,
            next_round_at: now + props.round,
            reservations: BTreeMap::new(),
            capacity: ClusterCapacity::default(),
            full_refresh_at: now,
            next_preemption_at: now,
            waiting_for_image: HashSet::default(),
            aged_first_tasks: HashMap::default(),
            aged_reservations: BTreeMap::new(),
            completion_rate: 0.0,
            completion_rate_at: now,
            preemption_allowance: f64::INFINITY,
            fetch_rates: BTreeMap::new(),
        }
    }

    /// Ends a round when it is time, and tells so.
    pub fn tick(&mut self, now: Micros, types: &[MachineType]) -> bool {
        let over = now >= self.next_round_at;
        if over {
            self.next_round_at = now + self.round_length;
            let machine_types: Vec<String> = types.iter().map(|t| t.name.clone()).collect();
            self.pheromone.round(self.evaporation, &machine_types);
        }
        over
    }

    /// A task ended well: its cost is price × booked share × run time.
    pub fn task_done(&mut self, spec: &JobSpec, t: &MachineType, spot: bool, ran: Micros) {
        let price = if spot { t.spot_price } else { t.price };
        let share = (spec.cores / t.cores.max(EPSILON))
            .max(spec.memory_gb / t.memory_gb.max(EPSILON))
            .clamp(0.0, 1.0);
        self.pheromone.finished(
            ClassKey::of(spec),
            &t.name,
            price / 3600.0 * share * to_secs(ran),
        );
        if spec.estimate_s > 0.0 && ran > 0 {
            let ratio = (to_secs(ran) / spec.estimate_s).clamp(0.1, 10.0);
            let r = self.run_ratio.entry(spec.class.clone()).or_insert(ratio);
            *r = 0.9 * *r + 0.1 * ratio;
        }
    }

    /// A new leader has seen nothing end yet: what ends by itself is expected from what is held, a task
    /// for every run time. Without that it would stop work for each that waits, since nothing seems to
    /// come free.
    pub fn expect_completion_rate(&mut self, now: Micros, workers: &WorkerLedger) -> f64 {
        let held = workers.machines.values().flat_map(|m| m.held_tasks());
        let specs = held.filter_map(|(_, e)| e.spec.as_ref());
        let flow = specs.map(|s| s.cores / to_secs(self.expected_run(s)));
        self.completion_rate = flow.sum();
        self.completion_rate_at = now;
        self.completion_rate
    }

    /// A task ended by itself and left its cores.
    pub fn note_completion(&mut self, now: Micros, cores: f64) {
        self.completion_rate = self.completion_rate(now) + cores / COMPLETION_RATE_WINDOW_S;
        self.completion_rate_at = now;
    }

    /// Cores a second that come free by themselves, lately.
    pub fn completion_rate(&self, now: Micros) -> f64 {
        self.completion_rate
            * (-to_secs(now.saturating_sub(self.completion_rate_at)) / COMPLETION_RATE_WINDOW_S)
                .exp()
    }

    pub fn expected_run(&self, spec: &JobSpec) -> Micros {
        let ratio = self.run_ratio.get(&spec.class).copied().unwrap_or(1.0);
        from_secs((spec.estimate_s * ratio).max(1.0))
    }

    fn within_quota(settings: &Settings, u: Usage, s: &JobSpec) -> bool {
        let Some(team) = settings.team(&s.team) else {
            return false;
        };
        (team.cpus_max <= 0.0 || u.cores + s.cores <= team.cpus_max + EPSILON)
            && (team.gpus_max <= 0.0 || u.accelerators + s.accelerators <= team.gpus_max + EPSILON)
    }

    /// The jobs with something to start, in the order in which they are served.
    fn job_order(
        &self,
        now: Micros,
        wall: Micros,
        table: &JobTable,
        settings: &Settings,
        all: f64,
    ) -> (Vec<(u32, u8)>, HashMap<u32, u8>) {
        // What waits for other jobs is no work yet, and its team is owed nothing for it.
        let jobs = table.by_number.values();
        let live: Vec<&Job> = jobs
            .filter(|j| !j.cancelled && !j.waits_for_dependencies())
            .collect();
        let entitled = jobs_within_guarantee(&live, settings);
        let mut jobs_of_team: HashMap<&str, f64> = HashMap::default();
        for j in &live {
            *jobs_of_team.entry(&j.spec.team).or_default() += 1.0;
        }
        let all_jobs: Vec<(u8, f64, Micros, u32, bool)> = live
            .iter()
            .map(|j| {
                let guarantee = settings.team(&j.spec.team).map_or(0.0, |t| t.cpus);
                let owed = if guarantee > 0.0 {
                    guarantee / jobs_of_team.get(&*j.spec.team).copied().unwrap_or(1.0)
                } else {
                    all / live.len().max(1) as f64
                };
                let held = j.placements.len() as f64 * j.spec.cores;
                let fairness = eta(owed, held, all).powf(self.fairness_exponent);
                let (hopeful, worth) = self.urgency(j, wall);
                let tier = match j.priority() {
                    Priority::Production => 5,
                    Priority::High => 4,
                    _ if entitled.contains(&j.number) => 3,
                    Priority::Normal if hopeful => 2,
                    _ if hopeful => 1,
                    _ => 0,
                };
                let waits = j.pending_count > 0 && j.not_before <= now;
                (tier, fairness * worth, j.waiting_since(), j.number, waits)
            })
            .collect();
        let tiers = all_jobs.iter().map(|o| (o.3, o.0)).collect();
        let mut order: Vec<_> = all_jobs.into_iter().filter(|o| o.4).collect();
        order.sort_by(|a, b| {
            b.0.cmp(&a.0)
                .then(b.1.total_cmp(&a.1))
                .then(a.2.cmp(&b.2))
                .then(a.3.cmp(&b.3))
        });
        (order.into_iter().map(|o| (o.3, o.0)).collect(), tiers)
    }

    /// Whether an aim of the job's class can still be met, and how much is gained for the work
    /// left: with scarce capacity, small remainders first meets the most aims.
    fn urgency(&self, j: &Job, wall: Micros) -> (bool, f64) {
        let age = to_secs(wall.saturating_sub(j.waiting_since()));
        let run = to_secs(self.expected_run(&j.spec));
        // What must still be given to it; what already runs is mostly paid for.
        let waiting = j.pending_count as f64;
        let running = j.remaining_tasks() as f64 - waiting;
        let left = (waiting + 0.2 * running) * j.spec.cores.max(0.1) * run;
        let mut hopeful = false;
        let mut known = false;
        let mut gain = 0.0;
        let mut count = |slack: f64| {
            known = true;
            if slack >= 0.0 {
                hopeful = true;
                gain += 1.0 / (1.0 + slack / 60.0);
            }
        };
        // The deadline of the jobs that need it, less what they will take.
        if let Some(due) = j.due_at {
            count(to_secs(due) - to_secs(wall) - run);
        }
        for o in &self.objectives {
            if o.class.as_deref() != Some(&*j.spec.class) {
                continue;
            }
            let (limit, need) = match o.kind.as_str() {
                "deadline" => match j.spec.deadline_s {
                    // Counted from the submission, however long the job waited for others.
                    Some(d) => (
                        d * o.times.unwrap_or(1.0) - to_secs(j.waiting_since() - j.accepted_at),
                        run,
                    ),
                    None => continue,
                },
                "finished" => (o.within_s.unwrap_or(f64::MAX), run),
                "wait" => (o.within_s.unwrap_or(f64::MAX), 0.0),
                _ => continue,
            };
            count(limit - age - need);
        }
        if !known {
            // Nobody says when it should be done: low work of that kind fills what is left over.
            // It would else take the room, for long, that jobs with an aim need a moment later.
            return (j.priority() > Priority::Low, 0.05 / (20.0 + left));
        }
        (hopeful, (0.05 + gain) / (20.0 + left))
    }

    /// Places what can be placed now. Returned placements are planned in the ledger, not sent.
    pub fn place_tasks(
        &mut self,
        now: Micros,
        wall: Micros,
        table: &mut JobTable,
        workers: &mut WorkerLedger,
        types: &[MachineType],
        settings: &Settings,
    ) -> Vec<Placement> {
        let silence = silence_limit(settings);
        let whole = now >= self.full_refresh_at;
        if whole {
            self.full_refresh_at = now + FULL_REFRESH_INTERVAL;
        }
        self.capacity.refresh(now, workers, types, silence, whole);
        let (order, tiers) = self.job_order(now, wall, table, settings, self.capacity.total_cores);
        // Cores that the waiting work would not take.
        let waiting: f64 = order
            .iter()
            .filter_map(|o| table.by_number.get(&o.0))
            .map(|j| j.pending_count as f64 * j.spec.cores)
            .sum();
        let plenty =
            self.capacity.free_cores - waiting > SPARE_CORES_SHARE * self.capacity.total_cores;
        let mut placed = Vec::new();
        self.reservations.retain(|_, c| now < c.until);
        if self.fetch_rates.len() != types.len() {
            let rates = types.iter().map(|t| (t.name.clone(), t.fetch_gb_per_s));
            self.fetch_rates = rates.collect();
        }
        let preempting = now >= self.next_preemption_at && self.preemption_allowance > 0.0;
        if preempting {
            // A pass over all that runs; its price grows with the machines, so its pace falls.
            self.next_preemption_at =
                now + PREEMPTION_INTERVAL_PER_MACHINE * workers.machines.len() as Micros;
            self.waiting_for_image.clear();
        }
        placed.extend(self.place_aged_jobs(now, wall, &order, table, workers, (settings, types)));
        let mut dead = UnplaceableSizes::default();
        let mut prospects: Option<Vec<PreemptionProspect>> = None;
        for &(number, tier) in &order {
            let Some(job) = table.by_number.get_mut(&number) else {
                continue;
            };
            let spec = job.spec.clone();
            let whole = spec.kind == JobKind::Gang;
            job.trial_tasks =
                (job.is_suspect() && !whole).then(|| trial_task_limit(now, job, workers));
            if job.trial_tasks == Some(0) {
                continue;
            }
            if whole && !job.placements.is_empty() {
                // Those left of an earlier attempt end by themselves; then all start anew.
                continue;
            }
            if !Self::within_quota(settings, self.capacity.team_usage(&spec.team), &spec) {
                continue;
            }
            // A fetch would take longer than the job may wait for its start: only machines that
            // hold the image will do, if need be after stopping something there.
            let pressure = self.fetch_pressure(job, tier, wall, types);
            let in_haste = pressure == FetchPressure::TooSlow;
            let holders = if pressure == FetchPressure::Ample && plenty {
                ImageFilter::CachedLast
            } else {
                ImageFilter::CachedFirst
            };
            if dead.covers(&spec) && !(in_haste && preempting) {
                continue;
            }
            let mut look = MachineQuery {
                now,
                tier,
                silence_limit: silence,
                zone: None,
                image_filter: holders,
            };
            let mut found = Vec::new();
            if in_haste && !whole {
                look.image_filter = ImageFilter::CachedOnly;
                found = self.find_machines(job, &look, workers, settings);
                look.image_filter = holders;
                if job.pending_count > 0 && preempting {
                    let prospects = prospects
                        .get_or_insert_with(|| self.prospects(now, &tiers, workers, settings));
                    let look = PreemptionQuery {
                        tier,
                        settings,
                        only_holders: true,
                        same_team_only: false,
                    };
                    let any = prospects.iter().any(|p| {
                        p.could_make_room(&look, &spec)
                            && workers.machines.get(&p.id).is_some_and(|m| {
                                self.may_serve(&look, job, m, workers)
                                    && self.cost_to_make_room(&look, job, m, p).is_some()
                            })
                    });
                    if any {
                        self.waiting_for_image.insert(number);
                    }
                }
            }
            if !in_haste {
                self.waiting_for_image.remove(&number);
            }
            if !self.waiting_for_image.contains(&number) && !dead.covers(&spec) {
                found.extend(self.find_machines(job, &look, workers, settings));
                if job.pending_count > 0
                    && accepts_any_machine(&spec)
                    && job.startable_tasks(&self.schema) > 0
                    && Self::within_quota(settings, self.capacity.team_usage(&spec.team), &spec)
                {
                    dead.add(&spec);
                }
            }
            if whole
                && job.pending_count > 0
                && spec.one_zone
                && job.placements.len() == found.len()
            {
                // The first draw may have led into a zone that is too small: try each.
                let mut zones: Vec<&str> =
                    workers.machines.values().map(|m| m.zone.as_str()).collect();
                zones.sort_unstable();
                zones.dedup();
                for zone in zones {
                    self.undo_bookings(job, &mut found);
                    look.zone = Some(zone);
                    found = self.find_machines(job, &look, workers, settings);
                    if job.pending_count == 0 {
                        break;
                    }
                }
            }
            if whole && job.pending_count > 0 {
                // A group starts only when all its tasks fit.
                self.undo_bookings(job, &mut found);
            }
            // The tasks of a group know each other by a common attempt.
            let common = (whole && !found.is_empty()).then(|| workers.new_attempt());
            placed.extend(plan_tasks(now, job, found, common, workers));
        }
        if preempting {
            for stop in self.plan_preemptions(now, wall, &order, &tiers, table, workers, settings) {
                let why = StopReason::Preempted;
                workers.stop_task(&stop.machine, stop.key, stop.attempt, stop.grace_s, why);
            }
        }
        placed
    }

    /// Finds machines for as many waiting tasks as fit, and books them in rooms and job.
    fn find_machines(
        &mut self,
        job: &mut Job,
        look: &MachineQuery,
        workers: &WorkerLedger,
        settings: &Settings,
    ) -> Vec<(u32, Arc<str>)> {
        let spec = job.spec.clone();
        let class = ClassKey::of(&spec);
        let mut queues = self.candidates(job, look, workers);
        let mut found = Vec::new();
        // Every placement stands in the job's stored values, which are few and small: a job too
        // wide for them runs as many tasks at a time as fit.
        let mut bytes = job.placement_bytes_left(&self.schema);
        let most_tasks = job.trial_tasks.map_or(usize::MAX, |n| n as usize);
        while let Some(part) = job.next_pending() {
            if !Self::within_quota(settings, self.capacity.team_usage(&spec.team), &spec) {
                break;
            }
            // A machine that no longer fits, or is no longer allowed, stays so for this pass.
            for queue in queues.values_mut() {
                while let Some((_, id)) = queue.last() {
                    let room = self.capacity.machines.get(id).and_then(|s| s.free);
                    let fits = room.is_some_and(|r| r.fits(&spec));
                    let m = workers.machines.get(id);
                    if fits && m.is_some_and(|m| is_allowed(job, m, workers)) {
                        break;
                    }
                    queue.pop();
                }
            }
            queues.retain(|_, q| !q.is_empty());
            let machine_types: Vec<&str> = queues.keys().copied().collect();
            let Some(machine_type) = self.pheromone.draw(&class, &machine_types, &mut self.rng)
            else {
                break;
            };
            let Some((_, machine)) = queues.get(machine_type).and_then(|q| q.last()).cloned()
            else {
                break;
            };
            if found.len() >= most_tasks {
                break;
            }
            match bytes.checked_sub(self.schema.placement_bytes(machine.len())) {
                Some(left) => bytes = left,
                None => break,
            }
            self.capacity.reserve(&machine, &spec);
            job.add_placement(part, &machine, PROVISIONAL_ATTEMPT);
            found.push((part, machine));
        }
        job.trial_tasks = job
            .trial_tasks
            .map(|n| n.saturating_sub(found.len() as u64));
        found
    }

    fn undo_bookings(&mut self, job: &mut Job, found: &mut Vec<(u32, Arc<str>)>) {
        let spec = job.spec.clone();
        for (part, machine) in found.drain(..) {
            job.remove_placement(part, &machine, PROVISIONAL_ATTEMPT);
            self.capacity.release(&machine, &spec);
        }
    }
}

/// Plans the tasks found room for in the ledger and the job; a group's tasks know each other by their attempt.
fn plan_tasks(
    now: Micros,
    job: &mut Job,
    found: Vec<(u32, Arc<str>)>,
    common: Option<u64>,
    workers: &mut WorkerLedger,
) -> Vec<Placement> {
    let spec = job.spec.clone();
    let mut placed = Vec::new();
    for (part, machine) in found {
        let key = TaskId {
            job: job.number,
            index: part,
        };
        let attempt = common.unwrap_or_else(|| workers.new_attempt());
        workers.plan_task(&machine, key, attempt, &spec, now);
        job.remove_placement(part, &machine, PROVISIONAL_ATTEMPT);
        job.add_placement(part, &machine, attempt);
        job.unsaved_starts.push((machine.clone(), key, attempt));
        job.mark_dirty(now);
        job.save_urgent = true;
        placed.push(Placement {
            machine,
            key,
            attempt,
        });
    }
    placed
}

/// Jobs that fit into their team's guarantee together with the team's earlier unfinished jobs.
fn jobs_within_guarantee(live: &[&Job], settings: &Settings) -> HashSet<u32> {
    let mut by_age: Vec<&&Job> = live.iter().collect();
    by_age.sort_by_key(|j| (j.waiting_since(), j.number));
    let mut sums: HashMap<&str, f64> = HashMap::default();
    let mut found = HashSet::default();
    for j in by_age {
        let Some(team) = settings.team(&j.spec.team).filter(|t| t.cpus > 0.0) else {
            continue;
        };
        let sum = sums.entry(&team.name).or_default();
        *sum += j.remaining_tasks() as f64 * j.spec.cores;
        if *sum <= team.cpus + EPSILON {
            found.insert(j.number);
        }
    }
    found
}

/// How many tasks of a job that failed everywhere are started to see whether it still does: one,
/// and about twice as many as have run longer than those that failed. All at once they would take
/// the room of others, and fetch its image everywhere, until its user cancels it.
fn trial_task_limit(now: Micros, job: &Job, workers: &WorkerLedger) -> u64 {
    let long = job.failed_after + SECOND;
    let mut well = 0;
    for (part, at) in &job.placements {
        let key = TaskId {
            job: job.number,
            index: *part,
        };
        for (machine, attempt) in at {
            let tasks = workers.machines.get(machine).map(|m| &m.tasks);
            let entry = tasks.and_then(|t| t.get(&(key, *attempt)));
            let since = entry.and_then(|e| e.running_since);
            well += u64::from(since.is_some_and(|t| now > t + long));
        }
    }
    (2 * well + 1).saturating_sub(job.placements.len() as u64)
}
