//! Task assignment after E-Ant: pheromone per job class and machine type, draws in proportion
//! to it, first fit within a type, jobs weighted by fairness. What goes beyond the paper is
//! said at the place and in docs/design.md.

mod demand;
mod elders;
mod pheromone;
mod preempt;
mod ranking;
mod waiting;

use crate::clock::{Micros, SECOND, from_secs, to_secs};
use crate::jobs::{Job, Table};
use crate::layout::Layout;
use crate::maps::{HashMap, HashSet};
use crate::rooms::{EPS, Room, Rooms, Use, room_of};
use crate::service::Stop;
use crate::settings::{Objective, Properties, Settings};
use crate::wire::{JobSpec, MachineType, Priority, Shape};
use crate::workers::{Entry, Machine, State, TaskKey, Workers};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::BTreeMap;
use std::sync::Arc;

pub use demand::Demand;
use elders::Kept;
pub use pheromone::{ClassKey, Pheromone, eta};
use preempt::{Look, Prospect};
use ranking::{Holders, Pick, Pressure, allowed};

/// A machine that has said nothing for this many report periods takes no new tasks.
const SILENT_PERIODS: u64 = 3;

/// For how long a machine may say nothing and still take new tasks.
pub fn silence(settings: &Settings) -> Micros {
    settings.report_period() * SILENT_PERIODS
}

/// Stands for the attempt while a pass looks for places.
const UNDECIDED: u64 = u64::MAX;

pub fn type_allowed(spec: &JobSpec, sku: &str) -> bool {
    spec.types
        .as_ref()
        .is_none_or(|t| t.iter().any(|x| x == sku))
}

/// Why a job can never run, if so.
pub fn never_runs(spec: &JobSpec, types: &[MachineType], settings: &Settings) -> Option<String> {
    let Some(team) = settings.team(&spec.team) else {
        return Some(format!("unknown team {}", spec.team));
    };
    let times = if spec.shape == Shape::Array {
        1.0
    } else {
        spec.tasks as f64
    };
    if team.cpus_max > 0.0 && spec.cores * times > team.cpus_max + EPS {
        return Some(format!(
            "needs more than the {} cores that {} may use",
            team.cpus_max, team.name
        ));
    }
    if team.gpus_max > 0.0 && spec.accelerators * times > team.gpus_max + EPS {
        return Some(format!(
            "needs more than the {} accelerators that {} may use",
            team.gpus_max, team.name
        ));
    }
    if let Some(zone) = &spec.zone
        && !settings.settings.zones.is_empty()
        && !settings.settings.zones.contains(zone)
        && !types.iter().any(|t| t.paddocks.contains(zone))
    {
        return Some(format!("unknown paddock {zone}"));
    }
    let fits = |t: &&MachineType| type_allowed(spec, &t.sku) && Room::of(t).fits(spec);
    let mut fitting = types.iter().filter(fits).peekable();
    if fitting.peek().is_none() {
        return Some("a task fits no allowed machine type".to_owned());
    }
    if let Some(zone) = &spec.zone
        && !fitting.any(|t| t.paddocks.is_empty() || t.paddocks.contains(zone))
    {
        return Some(format!("no machine type that fits is offered in {zone}"));
    }
    // Of an array each task may run by itself; the tasks of others are there side by side.
    let one_zone = spec.one_zone || spec.zone.is_some() || settings.settings.zones.len() == 1;
    if spec.spread && one_zone && spec.shape != Shape::Array && spec.tasks > 1 {
        return Some("apart: its tasks can't be spread over the one zone allowed".to_owned());
    }
    None
}

/// A decided start.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    pub machine: Arc<str>,
    pub key: TaskKey,
    pub attempt: u64,
}

/// The share of the cores that must be left over before some are spent on spreading images.
/// What counts is what the waiting work leaves: after an outage much is free for a moment, and
/// whatever then goes to machines without its image makes the others wait for the fetches.
const PLENTY: f64 = 0.3;
/// How often all machines are looked at anew.
const WHOLE_EVERY: Micros = SECOND;
/// A pass that may stop work is due again after this long for each machine.
const PREEMPT_PER_MACHINE: Micros = 200;

/// Sizes that found no room: whatever is at least as large finds none either, since room only
/// shrinks during a pass.
#[derive(Default)]
struct Dead(Vec<Room>);

impl Dead {
    fn covers(&self, s: &JobSpec) -> bool {
        self.0.iter().any(|r| {
            s.cores >= r.cores && s.accelerators >= r.accelerators && s.memory_gb >= r.memory_gb
        })
    }

    fn add(&mut self, s: &JobSpec) {
        self.0.push(Room {
            cores: s.cores,
            accelerators: s.accelerators,
            memory_gb: s.memory_gb,
        });
    }
}

/// Whether any machine will do, so that a failure speaks for other jobs as well.
fn undemanding(s: &JobSpec) -> bool {
    s.types.is_none() && s.zone.is_none() && s.spot && !s.one_zone && !s.spread
}

pub struct Scheduler {
    pub pheromone: Pheromone,
    /// What of a job's placements can be stored.
    pub layout: Layout,
    rng: SmallRng,
    beta: f64,
    rho: f64,
    objectives: Vec<Objective>,
    /// Real over estimated run time per class, learned.
    run_ratio: HashMap<Arc<str>, f64>,
    round: Micros,
    next_round: Micros,
    claims: BTreeMap<Arc<str>, Claim>,
    pub rooms: Rooms,
    /// The next look at all machines, and the next pass that may stop work.
    whole_at: Micros,
    preempt_at: Micros,
    /// Jobs that wait for a machine that holds their image.
    patient: HashSet<u32>,
    /// First tasks of jobs that had waited for long, and when they were planned.
    firsts: HashMap<TaskKey, Micros>,
    /// Machines that drain by themselves for jobs that waited for long, by job.
    kept: BTreeMap<u32, Kept>,
    /// Cores a second that tasks left by ending, lately, and when that was reckoned.
    flow: f64,
    flow_at: Micros,
    /// How many cores of running work may be stopped at the moment to make room.
    pub may_stop: f64,
    /// Gigabytes a second by machine type.
    fetch_rates: BTreeMap<String, f64>,
}

/// Room that is being freed by stopping tasks is kept for those it is freed for. Without this,
/// work of a lower tier took each half as it came free, and was stopped again, without end.
#[derive(Clone, Copy, Debug)]
struct Claim {
    tier: u8,
    until: Micros,
    /// What surely ends before that may use the room meanwhile.
    filled_until: Micros,
}

/// The time over which cores that come free are counted, in seconds.
const FLOW_S: f64 = 8.0;

/// Longer than a task takes to save and its end to be reported.
const CLAIM_FOR: Micros = 8 * SECOND;

impl Scheduler {
    pub fn new(
        props: &Properties,
        settings: &Settings,
        layout: Layout,
        seed: u64,
        now: Micros,
    ) -> Self {
        Self {
            pheromone: Pheromone::default(),
            layout,
            rng: SmallRng::seed_from_u64(seed),
            beta: props.fairness_exponent,
            rho: props.evaporation,
            objectives: settings.settings.objectives.clone(),
            run_ratio: HashMap::default(),
            round: props.round,
            next_round: now + props.round,
            claims: BTreeMap::new(),
            rooms: Rooms::default(),
            whole_at: now,
            preempt_at: now,
            patient: HashSet::default(),
            firsts: HashMap::default(),
            kept: BTreeMap::new(),
            flow: 0.0,
            flow_at: now,
            may_stop: f64::INFINITY,
            fetch_rates: BTreeMap::new(),
        }
    }

    /// Ends a round when it is time, and tells so.
    pub fn tick(&mut self, now: Micros, types: &[MachineType]) -> bool {
        let over = now >= self.next_round;
        if over {
            self.next_round = now + self.round;
            let skus: Vec<String> = types.iter().map(|t| t.sku.clone()).collect();
            self.pheromone.round(self.rho, &skus);
        }
        over
    }

    /// A task ended well: its cost is price × booked share × run time.
    pub fn task_done(&mut self, spec: &JobSpec, t: &MachineType, spot: bool, ran: Micros) {
        let price = if spot { t.spot_price } else { t.price };
        let share = (spec.cores / t.cores.max(EPS))
            .max(spec.memory_gb / t.memory_gb.max(EPS))
            .clamp(0.0, 1.0);
        self.pheromone.finished(
            ClassKey::of(spec),
            &t.sku,
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
    pub fn expect_flow(&mut self, now: Micros, workers: &Workers) -> f64 {
        let held = workers.machines.values().flat_map(|m| m.holding());
        let specs = held.filter_map(|(_, e)| e.spec.as_ref());
        let flow = specs.map(|s| s.cores / to_secs(self.expected_run(s)));
        self.flow = flow.sum();
        self.flow_at = now;
        self.flow
    }

    /// A task ended by itself and left its cores.
    pub fn ended(&mut self, now: Micros, cores: f64) {
        self.flow = self.flow(now) + cores / FLOW_S;
        self.flow_at = now;
    }

    /// Cores a second that come free by themselves, lately.
    pub fn flow(&self, now: Micros) -> f64 {
        self.flow * (-to_secs(now.saturating_sub(self.flow_at)) / FLOW_S).exp()
    }

    pub fn expected_run(&self, spec: &JobSpec) -> Micros {
        let ratio = self.run_ratio.get(&spec.class).copied().unwrap_or(1.0);
        from_secs((spec.estimate_s * ratio).max(1.0))
    }

    fn within_quota(settings: &Settings, u: Use, s: &JobSpec) -> bool {
        let Some(team) = settings.team(&s.team) else {
            return false;
        };
        (team.cpus_max <= 0.0 || u.cores + s.cores <= team.cpus_max + EPS)
            && (team.gpus_max <= 0.0 || u.accelerators + s.accelerators <= team.gpus_max + EPS)
    }

    /// The jobs with something to start, in the order in which they are served.
    fn order(
        &self,
        now: Micros,
        wall: Micros,
        table: &Table,
        settings: &Settings,
        all: f64,
    ) -> (Vec<(u32, u8)>, HashMap<u32, u8>) {
        // What waits for other jobs is no work yet, and its team is owed nothing for it.
        let jobs = table.by_number.values();
        let live: Vec<&Job> = jobs.filter(|j| !j.cancelled && !j.waits()).collect();
        let entitled = entitled(&live, settings);
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
                let held = j.places.len() as f64 * j.spec.cores;
                let fairness = eta(owed, held, all).powf(self.beta);
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
                (tier, fairness * worth, j.since(), j.number, waits)
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
        let age = to_secs(wall.saturating_sub(j.since()));
        let run = to_secs(self.expected_run(&j.spec));
        // What must still be given to it; what already runs is mostly paid for.
        let waiting = j.pending_count as f64;
        let running = j.remaining() as f64 - waiting;
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
        if let Some(due) = j.due {
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
                        d * o.times.unwrap_or(1.0) - to_secs(j.since() - j.accepted),
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
    pub fn place(
        &mut self,
        now: Micros,
        wall: Micros,
        table: &mut Table,
        workers: &mut Workers,
        types: &[MachineType],
        settings: &Settings,
    ) -> Vec<Placement> {
        let silence = silence(settings);
        let whole = now >= self.whole_at;
        if whole {
            self.whole_at = now + WHOLE_EVERY;
        }
        self.rooms.refresh(now, workers, types, silence, whole);
        let (order, tiers) = self.order(now, wall, table, settings, self.rooms.all);
        // Cores that the waiting work would not take.
        let waiting: f64 = order
            .iter()
            .filter_map(|o| table.by_number.get(&o.0))
            .map(|j| j.pending_count as f64 * j.spec.cores)
            .sum();
        let plenty = self.rooms.free - waiting > PLENTY * self.rooms.all;
        let mut placed = Vec::new();
        self.claims.retain(|_, c| now < c.until);
        if self.fetch_rates.len() != types.len() {
            let rates = types.iter().map(|t| (t.sku.clone(), t.fetch_gb_per_s));
            self.fetch_rates = rates.collect();
        }
        let preempting = now >= self.preempt_at && self.may_stop > 0.0;
        if preempting {
            // A pass over all that runs; its price grows with the machines, so its pace falls.
            self.preempt_at = now + PREEMPT_PER_MACHINE * workers.machines.len() as Micros;
            self.patient.clear();
        }
        placed.extend(self.place_elders(now, wall, &order, table, workers, (settings, types)));
        let mut dead = Dead::default();
        let mut prospects: Option<Vec<Prospect>> = None;
        for &(number, tier) in &order {
            let Some(job) = table.by_number.get_mut(&number) else {
                continue;
            };
            let spec = job.spec.clone();
            let whole = spec.shape == Shape::Group;
            job.trial = (job.suspect() && !whole).then(|| trial(now, job, workers));
            if job.trial == Some(0) {
                continue;
            }
            if whole && !job.places.is_empty() {
                // Those left of an earlier attempt end by themselves; then all start anew.
                continue;
            }
            if !Self::within_quota(settings, self.rooms.used(&spec.team), &spec) {
                continue;
            }
            // A fetch would take longer than the job may wait for its start: only machines that
            // hold the image will do, if need be after stopping something there.
            let pressure = self.fetch_pressure(job, tier, wall, types);
            let in_haste = pressure == Pressure::TooSlow;
            let holders = if pressure == Pressure::Ample && plenty {
                Holders::Last
            } else {
                Holders::First
            };
            if dead.covers(&spec) && !(in_haste && preempting) {
                continue;
            }
            let mut look = Pick {
                now,
                tier,
                silence,
                zone: None,
                holders,
            };
            let mut found = Vec::new();
            if in_haste && !whole {
                look.holders = Holders::Only;
                found = self.find_places(job, &look, workers, settings);
                look.holders = holders;
                if job.pending_count > 0 && preempting {
                    let prospects = prospects
                        .get_or_insert_with(|| self.prospects(now, &tiers, workers, settings));
                    let look = Look {
                        tier,
                        settings,
                        only_holders: true,
                        same_team_only: false,
                    };
                    let any = prospects.iter().any(|p| {
                        p.promises(&look, &spec)
                            && workers.machines.get(&p.id).is_some_and(|m| {
                                self.fit_for(&look, job, m, workers)
                                    && self.price(&look, job, m, p).is_some()
                            })
                    });
                    if any {
                        self.patient.insert(number);
                    }
                }
            }
            if !in_haste {
                self.patient.remove(&number);
            }
            if !self.patient.contains(&number) && !dead.covers(&spec) {
                found.extend(self.find_places(job, &look, workers, settings));
                if job.pending_count > 0
                    && undemanding(&spec)
                    && job.startable(&self.layout) > 0
                    && Self::within_quota(settings, self.rooms.used(&spec.team), &spec)
                {
                    dead.add(&spec);
                }
            }
            if whole && job.pending_count > 0 && spec.one_zone && job.places.len() == found.len() {
                // The first draw may have led into a zone that is too small: try each.
                let mut zones: Vec<&str> =
                    workers.machines.values().map(|m| m.zone.as_str()).collect();
                zones.sort_unstable();
                zones.dedup();
                for zone in zones {
                    self.undo(job, &mut found);
                    look.zone = Some(zone);
                    found = self.find_places(job, &look, workers, settings);
                    if job.pending_count == 0 {
                        break;
                    }
                }
            }
            if whole && job.pending_count > 0 {
                // A group starts only when all its tasks fit.
                self.undo(job, &mut found);
            }
            // The tasks of a group know each other by a common attempt.
            let common = (whole && !found.is_empty()).then(|| workers.new_attempt());
            placed.extend(plan(now, job, found, common, workers));
        }
        if preempting {
            for stop in self.preempt(now, wall, &order, &tiers, table, workers, settings) {
                let why = Stop::Preempted;
                workers.halt(&stop.machine, stop.key, stop.attempt, stop.grace_s, why);
            }
        }
        placed
    }

    /// Finds machines for as many waiting tasks as fit, and books them in rooms and job.
    fn find_places(
        &mut self,
        job: &mut Job,
        look: &Pick,
        workers: &Workers,
        settings: &Settings,
    ) -> Vec<(u32, Arc<str>)> {
        let spec = job.spec.clone();
        let class = ClassKey::of(&spec);
        let mut queues = self.candidates(job, look, workers);
        let mut found = Vec::new();
        // Every placement stands in the job's stored values, which are few and small: a job too
        // wide for them runs as many tasks at a time as fit.
        let mut bytes = job.bytes_left(&self.layout);
        let most_tasks = job.trial.map_or(usize::MAX, |n| n as usize);
        while let Some(part) = job.next_pending() {
            if !Self::within_quota(settings, self.rooms.used(&spec.team), &spec) {
                break;
            }
            // A machine that no longer fits, or is no longer allowed, stays so for this pass.
            for queue in queues.values_mut() {
                while let Some((_, id)) = queue.last() {
                    let room = self.rooms.slots.get(id).and_then(|s| s.room);
                    let fits = room.is_some_and(|r| r.fits(&spec));
                    let m = workers.machines.get(id);
                    if fits && m.is_some_and(|m| allowed(job, m, workers)) {
                        break;
                    }
                    queue.pop();
                }
            }
            queues.retain(|_, q| !q.is_empty());
            let skus: Vec<&str> = queues.keys().copied().collect();
            let Some(sku) = self.pheromone.draw(&class, &skus, &mut self.rng) else {
                break;
            };
            let Some((_, machine)) = queues.get(sku).and_then(|q| q.last()).cloned() else {
                break;
            };
            if found.len() >= most_tasks {
                break;
            }
            match bytes.checked_sub(self.layout.placement_bytes(machine.len())) {
                Some(left) => bytes = left,
                None => break,
            }
            self.rooms.book(&machine, &spec);
            job.place(part, &machine, UNDECIDED);
            found.push((part, machine));
        }
        job.trial = job.trial.map(|n| n.saturating_sub(found.len() as u64));
        found
    }

    fn undo(&mut self, job: &mut Job, found: &mut Vec<(u32, Arc<str>)>) {
        let spec = job.spec.clone();
        for (part, machine) in found.drain(..) {
            job.unplace(part, &machine, UNDECIDED);
            self.rooms.unbook(&machine, &spec);
        }
    }
}

/// Plans the tasks found room for in the ledger and the job; a group's tasks know each other by their attempt.
fn plan(
    now: Micros,
    job: &mut Job,
    found: Vec<(u32, Arc<str>)>,
    common: Option<u64>,
    workers: &mut Workers,
) -> Vec<Placement> {
    let spec = job.spec.clone();
    let mut placed = Vec::new();
    for (part, machine) in found {
        let key = TaskKey {
            job: job.number,
            part,
        };
        let attempt = common.unwrap_or_else(|| workers.new_attempt());
        workers.plan(&machine, key, attempt, &spec, now);
        job.unplace(part, &machine, UNDECIDED);
        job.place(part, &machine, attempt);
        job.unstored.push((machine.clone(), key, attempt));
        job.touch(now);
        job.pressing = true;
        placed.push(Placement {
            machine,
            key,
            attempt,
        });
    }
    placed
}

/// Jobs that fit into their team's guarantee together with the team's earlier unfinished jobs.
fn entitled(live: &[&Job], settings: &Settings) -> HashSet<u32> {
    let mut by_age: Vec<&&Job> = live.iter().collect();
    by_age.sort_by_key(|j| (j.since(), j.number));
    let mut sums: HashMap<&str, f64> = HashMap::default();
    let mut found = HashSet::default();
    for j in by_age {
        let Some(team) = settings.team(&j.spec.team).filter(|t| t.cpus > 0.0) else {
            continue;
        };
        let sum = sums.entry(&team.name).or_default();
        *sum += j.remaining() as f64 * j.spec.cores;
        if *sum <= team.cpus + EPS {
            found.insert(j.number);
        }
    }
    found
}

/// How many tasks of a job that failed everywhere are started to see whether it still does: one,
/// and about twice as many as have run longer than those that failed. All at once they would take
/// the room of others, and fetch its image everywhere, until its user cancels it.
fn trial(now: Micros, job: &Job, workers: &Workers) -> u64 {
    let long = job.failed_after + SECOND;
    let mut well = 0;
    for (part, at) in &job.places {
        let key = TaskKey {
            job: job.number,
            part: *part,
        };
        for (machine, attempt) in at {
            let tasks = workers.machines.get(machine).map(|m| &m.tasks);
            let entry = tasks.and_then(|t| t.get(&(key, *attempt)));
            let since = entry.and_then(|e| e.running_since);
            well += u64::from(since.is_some_and(|t| now > t + long));
        }
    }
    (2 * well + 1).saturating_sub(job.places.len() as u64)
}
