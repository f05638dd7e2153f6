//! Task assignment after E-Ant: pheromone per job class and machine type, draws in proportion
//! to it, first fit within a type, jobs weighted by fairness. What goes beyond the paper is
//! said at the place and in docs/design.md.

use crate::clock::{Micros, SECOND, from_secs, to_secs};
use crate::jobs::{Job, Table};
use crate::settings::{Objective, Properties, Settings};
use crate::wire::{JobSpec, MachineType, Priority, Shape};
use crate::workers::{Machine, State, TaskKey, Workers};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

/// Pheromone never falls below this, so that every type is drawn now and then.
const TAU_FLOOR: f64 = 0.05;
const ETA_MIN: f64 = 0.1;
const ETA_MAX: f64 = 10.0;
/// A machine that has said nothing for this many report periods takes no new tasks.
const SILENT_PERIODS: u64 = 3;

/// Jobs alike in image and size share their pheromone (the paper's job-level exchange).
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClassKey {
    image: Arc<str>,
    cores: u64,
    memory: u64,
    accelerators: u64,
}

impl ClassKey {
    pub fn of(spec: &JobSpec) -> Self {
        let milli = |x: f64| (x * 1000.0).round() as u64;
        Self {
            image: spec.image.clone(),
            cores: milli(spec.cores),
            memory: milli(spec.memory_gb),
            accelerators: milli(spec.accelerators),
        }
    }
}

/// τ for each class and type, and what finished in the current round.
#[derive(Default)]
pub struct Pheromone {
    tau: HashMap<ClassKey, BTreeMap<String, f64>>,
    finished: HashMap<ClassKey, Vec<(String, f64)>>,
}

impl Pheromone {
    pub fn tau(&self, class: &ClassKey, sku: &str) -> f64 {
        self.tau
            .get(class)
            .and_then(|t| t.get(sku))
            .copied()
            .unwrap_or(1.0)
    }

    /// A task of the class ended well on the type, at this cost.
    pub fn finished(&mut self, class: ClassKey, sku: &str, cost: f64) {
        if cost > 0.0 && cost.is_finite() {
            self.finished
                .entry(class)
                .or_default()
                .push((sku.to_owned(), cost));
        }
    }

    /// Ends a round: τ ← (1 − ρ)·τ + ρ · Σ (mean cost / cost), the paper's (4) and (5).
    pub fn round(&mut self, rho: f64, skus: &[String]) {
        let finished = std::mem::take(&mut self.finished);
        for (class, tasks) in finished {
            let mean = tasks.iter().map(|t| t.1).sum::<f64>() / tasks.len() as f64;
            let mut deposits: BTreeMap<&str, f64> = BTreeMap::new();
            for (sku, cost) in &tasks {
                *deposits.entry(sku).or_default() += mean / cost;
            }
            let tau = self.tau.entry(class).or_default();
            for sku in skus {
                let old = tau.get(sku).copied().unwrap_or(1.0);
                let deposit = deposits.get(sku.as_str()).copied().unwrap_or(0.0);
                tau.insert(
                    sku.clone(),
                    ((1.0 - rho) * old + rho * deposit).max(TAU_FLOOR),
                );
            }
        }
    }

    /// Draws a type with chance τ over the summed τ of the types given.
    pub fn draw<'a>(
        &self,
        class: &ClassKey,
        skus: &[&'a str],
        rng: &mut impl Rng,
    ) -> Option<&'a str> {
        let taus: Vec<f64> = skus.iter().map(|s| self.tau(class, s)).collect();
        let mut left = rng.random::<f64>() * taus.iter().sum::<f64>();
        for (sku, tau) in skus.iter().zip(&taus) {
            left -= tau;
            if left <= 0.0 {
                return Some(sku);
            }
        }
        skus.last().copied()
    }
}

/// The paper's η (7): above 1 while a job holds less than it is owed.
pub fn eta(owed: f64, held: f64, all: f64) -> f64 {
    if all <= 0.0 {
        return 1.0;
    }
    let gap = 1.0 - (owed - held) / all;
    if gap <= 0.0 {
        ETA_MAX
    } else {
        (1.0 / gap).clamp(ETA_MIN, ETA_MAX)
    }
}

/// What is free on a machine.
#[derive(Clone, Copy, Debug, Default)]
struct Room {
    cores: f64,
    accelerators: f64,
    memory_gb: f64,
}

const EPS: f64 = 1e-6;
/// Stands for the attempt while a pass looks for places.
const UNDECIDED: u64 = u64::MAX;

impl Room {
    fn of(t: &MachineType) -> Self {
        Self {
            cores: t.cores,
            accelerators: t.accelerators,
            memory_gb: t.memory_gb,
        }
    }

    fn take(&mut self, s: &JobSpec) {
        self.cores -= s.cores;
        self.accelerators -= s.accelerators;
        self.memory_gb -= s.memory_gb;
    }

    fn give(&mut self, s: &JobSpec) {
        self.cores += s.cores;
        self.accelerators += s.accelerators;
        self.memory_gb += s.memory_gb;
    }

    fn fits(&self, s: &JobSpec) -> bool {
        s.cores <= self.cores + EPS
            && s.accelerators <= self.accelerators + EPS
            && s.memory_gb <= self.memory_gb + EPS
    }

    /// How many such tasks fit.
    fn slots(&self, s: &JobSpec) -> u64 {
        let per = |have: f64, need: f64| {
            if need > 0.0 {
                ((have + EPS) / need).floor().max(0.0) as u64
            } else {
                u64::MAX
            }
        };
        per(self.cores, s.cores)
            .min(per(self.accelerators, s.accelerators))
            .min(per(self.memory_gb, s.memory_gb))
    }
}

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
    let fits = types
        .iter()
        .any(|t| type_allowed(spec, &t.sku) && Room::of(t).fits(spec));
    if !fits {
        return Some("a task fits no allowed machine type".to_owned());
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

/// A team's use, by everything that may be on a machine.
#[derive(Clone, Copy, Debug, Default)]
struct Use {
    cores: f64,
    accelerators: f64,
}

/// Everything a pass needs to know of the present.
struct View {
    rooms: BTreeMap<Arc<str>, Room>,
    /// Room that tasks being stopped will leave.
    freeing: BTreeMap<Arc<str>, Room>,
    used: HashMap<Arc<str>, Use>,
    all: f64,
}

impl View {
    /// Whether cores are so plentiful that spending some on fetches costs nobody.
    fn mostly_free(&self) -> bool {
        self.rooms.values().map(|r| r.cores).sum::<f64>() > 0.3 * self.all
    }

    /// Room that is free or will be once what is being stopped has ended.
    fn available(&self) -> BTreeMap<Arc<str>, Room> {
        let mut avail = self.rooms.clone();
        for (id, freeing) in &self.freeing {
            if let Some(room) = avail.get_mut(id) {
                room.cores += freeing.cores;
                room.accelerators += freeing.accelerators;
                room.memory_gb += freeing.memory_gb;
            }
        }
        avail
    }
}

/// Which place machines that hold the image have in the order within a type.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Holders {
    Only,
    First,
    Last,
}

/// What a fetch of its image means for a job.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Pressure {
    /// It would miss an aim for it.
    TooSlow,
    Some,
    /// It has so much time that it may bring its image to a machine that lacks it.
    Ample,
}

/// That many times the fetch must be left before an aim for time to be ample.
const AMPLE: f64 = 3.0;

type Victim = (TaskKey, u64, Arc<JobSpec>);

/// For whom room is sought, and where.
struct Look<'a> {
    now: Micros,
    tier: u8,
    tiers: &'a HashMap<u32, u8>,
    settings: &'a Settings,
    only_holders: bool,
    same_team_only: bool,
}

pub struct Scheduler {
    pub pheromone: Pheromone,
    rng: SmallRng,
    beta: f64,
    rho: f64,
    objectives: Vec<Objective>,
    /// Real over estimated run time per class, learned.
    run_ratio: HashMap<Arc<str>, f64>,
    round: Micros,
    next_round: Micros,
    claims: BTreeMap<Arc<str>, Claim>,
}

/// Room that is being freed by stopping tasks is kept for those it is freed for. Without this,
/// work of a lower tier took each half as it came free, and was stopped again, without end.
#[derive(Clone, Copy, Debug)]
struct Claim {
    tier: u8,
    until: Micros,
}

/// Longer than a task takes to save and its end to be reported.
const CLAIM_FOR: Micros = 8 * SECOND;

impl Scheduler {
    pub fn new(props: &Properties, settings: &Settings, seed: u64, now: Micros) -> Self {
        Self {
            pheromone: Pheromone::default(),
            rng: SmallRng::seed_from_u64(seed),
            beta: props.fairness_exponent,
            rho: props.evaporation,
            objectives: settings.settings.objectives.clone(),
            run_ratio: HashMap::new(),
            round: props.round,
            next_round: now + props.round,
            claims: BTreeMap::new(),
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

    pub fn expected_run(&self, spec: &JobSpec) -> Micros {
        let ratio = self.run_ratio.get(&spec.class).copied().unwrap_or(1.0);
        from_secs((spec.estimate_s * ratio).max(1.0))
    }

    fn view(
        &self,
        now: Micros,
        workers: &Workers,
        types: &HashMap<&str, &MachineType>,
        silence: Micros,
    ) -> View {
        let mut v = View {
            rooms: BTreeMap::new(),
            freeing: BTreeMap::new(),
            used: HashMap::new(),
            all: 0.0,
        };
        for m in workers.machines.values() {
            let mut room = types.get(m.build.as_str()).map(|t| Room::of(t));
            let mut freeing = Room::default();
            if let Some(r) = &room {
                v.all += r.cores;
            }
            for (_, e) in m.holding() {
                match &e.spec {
                    Some(s) => {
                        let used = v.used.entry(s.team.clone()).or_default();
                        used.cores += s.cores;
                        used.accelerators += s.accelerators;
                        if let Some(r) = &mut room {
                            r.take(s);
                        }
                        if e.halting() {
                            freeing.give(s);
                        }
                    }
                    // A task of unknown size: nothing may join it.
                    None => room = None,
                }
            }
            if m.usable(now, silence)
                && let Some(r) = room
            {
                v.rooms.insert(m.id.clone(), r);
                v.freeing.insert(m.id.clone(), freeing);
            }
        }
        v
    }

    fn within_quota(settings: &Settings, used: &HashMap<Arc<str>, Use>, s: &JobSpec) -> bool {
        let Some(team) = settings.team(&s.team) else {
            return false;
        };
        let u = used.get(&s.team).copied().unwrap_or_default();
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
        let live: Vec<&Job> = table.by_number.values().filter(|j| !j.cancelled).collect();
        let entitled = entitled(&live, settings);
        let mut jobs_of_team: HashMap<&str, f64> = HashMap::new();
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
                let tier = match j.spec.priority {
                    Priority::Production => 5,
                    Priority::High => 4,
                    _ if entitled.contains(&j.number) => 3,
                    Priority::Normal if hopeful => 2,
                    _ if hopeful => 1,
                    _ => 0,
                };
                let waits = j.pending_count > 0 && j.not_before <= now;
                (tier, fairness * worth, j.accepted, j.number, waits)
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
        let age = to_secs(wall.saturating_sub(j.accepted));
        let run = to_secs(self.expected_run(&j.spec));
        // What must still be given to it; what already runs is mostly paid for.
        let waiting = j.pending_count as f64;
        let running = j.remaining() as f64 - waiting;
        let left = (waiting + 0.2 * running) * j.spec.cores.max(0.1) * run;
        let mut hopeful = false;
        let mut known = false;
        let mut gain = 0.0;
        for o in &self.objectives {
            if o.class.as_deref() != Some(&*j.spec.class) {
                continue;
            }
            let (limit, need) = match o.kind.as_str() {
                "deadline" => match j.spec.deadline_s {
                    Some(d) => (d * o.times.unwrap_or(1.0), run),
                    None => continue,
                },
                "finished" => (o.within_s.unwrap_or(f64::MAX), run),
                "wait" => (o.within_s.unwrap_or(f64::MAX), 0.0),
                _ => continue,
            };
            known = true;
            let slack = limit - age - need;
            if slack >= 0.0 {
                hopeful = true;
                gain += 1.0 / (1.0 + slack / 60.0);
            }
        }
        if !known {
            return (true, 1.0 / (1.0 + left));
        }
        (hopeful, (0.05 + gain) / (20.0 + left))
    }

    /// Places what can be placed now. Returned placements are planned in the ledger, not sent.
    #[allow(clippy::too_many_arguments)]
    pub fn place(
        &mut self,
        now: Micros,
        wall: Micros,
        table: &mut Table,
        workers: &mut Workers,
        types: &[MachineType],
        settings: &Settings,
    ) -> Vec<Placement> {
        let by_name: HashMap<&str, &MachineType> =
            types.iter().map(|t| (t.sku.as_str(), t)).collect();
        let silence = settings.report_period() * SILENT_PERIODS;
        let mut v = self.view(now, workers, &by_name, silence);
        let (order, tiers) = self.order(now, wall, table, settings, v.all);
        let cancelled: HashMap<u32, bool> = table
            .by_number
            .values()
            .map(|j| (j.number, j.cancelled))
            .collect();
        let mut placed = Vec::new();
        self.claims.retain(|_, c| now < c.until);
        let mut patient: HashSet<u32> = HashSet::new();
        for &(number, tier) in &order {
            // A fetch would take longer than the job may wait for its start: only machines that
            // hold the image will do, if need be after stopping something there.
            let pressure = table.by_number.get(&number).map_or(Pressure::Some, |j| {
                self.fetch_pressure(j, tier, wall, types)
            });
            let in_haste = pressure == Pressure::TooSlow;
            let holders = if pressure == Pressure::Ample && v.mostly_free() {
                Holders::Last
            } else {
                Holders::First
            };
            let Some(job) = table.by_number.get_mut(&number) else {
                continue;
            };
            let spec = job.spec.clone();
            let team = spec.team.clone();
            let whole = spec.shape == Shape::Group;
            if whole && !job.places.is_empty() {
                // Those left of an earlier attempt end by themselves; then all start anew.
                continue;
            }
            let (rooms, used) = (
                v.rooms.clone(),
                v.used.get(&team).copied().unwrap_or_default(),
            );
            let mut found = Vec::new();
            if in_haste && !whole {
                found = self.find_places(job, tier, workers, &mut v, settings, None, Holders::Only);
                if job.pending_count > 0 {
                    let avail = v.available();
                    let job = &*job;
                    let look = Look {
                        now,
                        tier,
                        tiers: &tiers,
                        settings,
                        only_holders: true,
                        same_team_only: false,
                    };
                    if self
                        .cheapest(&look, job, &cancelled, workers, &v, &avail, &HashSet::new())
                        .is_some()
                    {
                        patient.insert(number);
                    }
                }
            }
            if !patient.contains(&number) {
                found.extend(self.find_places(job, tier, workers, &mut v, settings, None, holders));
            }
            if whole && job.pending_count > 0 && spec.one_zone && job.places.len() == found.len() {
                // The first draw may have led into a zone that is too small: try each.
                let mut zones: Vec<&str> =
                    workers.machines.values().map(|m| m.zone.as_str()).collect();
                zones.sort_unstable();
                zones.dedup();
                for zone in zones {
                    Self::undo(job, &mut found);
                    v.rooms = rooms.clone();
                    v.used.insert(team.clone(), used);
                    found =
                        self.find_places(job, tier, workers, &mut v, settings, Some(zone), holders);
                    if job.pending_count == 0 {
                        break;
                    }
                }
            }
            if whole && job.pending_count > 0 {
                // A group starts only when all its tasks fit.
                Self::undo(job, &mut found);
                v.rooms = rooms;
                v.used.insert(team, used);
            }
            // The tasks of a group know each other by a common attempt.
            let common = (whole && !found.is_empty()).then(|| workers.new_attempt());
            for (part, machine) in found {
                let key = TaskKey { job: number, part };
                let attempt = common.unwrap_or_else(|| workers.new_attempt());
                workers.plan(&machine, key, attempt, &spec, now);
                job.unplace(part, &machine, UNDECIDED);
                job.place(part, &machine, attempt);
                job.touch(now);
                job.pressing = true;
                placed.push(Placement {
                    machine,
                    key,
                    attempt,
                });
            }
        }
        self.preempt(
            now, &order, &tiers, &patient, &cancelled, table, workers, &v, settings,
        );
        placed
    }

    #[allow(clippy::too_many_arguments)]
    /// Finds machines for as many waiting tasks as fit, and books them in view and job.
    fn find_places(
        &mut self,
        job: &mut Job,
        tier: u8,
        workers: &Workers,
        v: &mut View,
        settings: &Settings,
        zone: Option<&str>,
        holders: Holders,
    ) -> Vec<(u32, Arc<str>)> {
        let spec = job.spec.clone();
        let class = ClassKey::of(&spec);
        let mut found = Vec::new();
        while let Some(part) = job.next_pending() {
            if !Self::within_quota(settings, &v.used, &spec) {
                break;
            }
            let Some(machine) = self.choose(job, tier, &class, workers, &v.rooms, zone, holders)
            else {
                break;
            };
            if let Some(r) = v.rooms.get_mut(&machine) {
                r.take(&spec);
            }
            let used = v.used.entry(spec.team.clone()).or_default();
            used.cores += spec.cores;
            used.accelerators += spec.accelerators;
            job.place(part, &machine, UNDECIDED);
            found.push((part, machine));
        }
        found
    }

    fn undo(job: &mut Job, found: &mut Vec<(u32, Arc<str>)>) {
        for (part, machine) in found.drain(..) {
            job.unplace(part, &machine, UNDECIDED);
        }
    }

    #[allow(clippy::too_many_arguments)]
    /// Draws a type among those with room, then takes the first machine of it that fits.
    fn choose(
        &mut self,
        job: &Job,
        tier: u8,
        class: &ClassKey,
        workers: &Workers,
        rooms: &BTreeMap<Arc<str>, Room>,
        zone: Option<&str>,
        holders: Holders,
    ) -> Option<Arc<str>> {
        let spec = &job.spec;
        let fits: Vec<&Machine> = rooms
            .iter()
            .filter(|(id, r)| r.fits(spec) && self.claims.get(*id).is_none_or(|c| tier >= c.tier))
            .filter_map(|(id, _)| workers.machines.get(id))
            .filter(|m| zone.is_none_or(|z| z == m.zone) && allowed(job, m, workers))
            .filter(|m| holders != Holders::Only || image_rank(m, spec) == 0)
            .collect();
        let mut skus: Vec<&str> = fits.iter().map(|m| m.build.as_str()).collect();
        skus.sort_unstable();
        skus.dedup();
        let sku = self.pheromone.draw(class, &skus, &mut self.rng)?;
        // The fixed order is by name; before it, healthy machines, then those that hold the
        // image: a fetch costs seconds (an exception to plain first fit).
        fits.into_iter()
            .filter(|m| m.build == sku)
            .min_by_key(|m| {
                let troubled = job.errors.contains_key(&m.id) || m.error_streak > 0;
                let slow = m.slowness > 1.5;
                (
                    troubled,
                    slow,
                    if holders == Holders::Last {
                        2 - image_rank(m, spec)
                    } else {
                        image_rank(m, spec)
                    },
                    m.pace_step(),
                    m.id.clone(),
                )
            })
            .map(|m| m.id.clone())
    }

    /// How a fetch of the image stands against the aims the job can still meet.
    fn fetch_pressure(&self, j: &Job, tier: u8, wall: Micros, types: &[MachineType]) -> Pressure {
        let rate = types
            .iter()
            .filter(|t| type_allowed(&j.spec, &t.sku) && t.fetch_gb_per_s > 0.0)
            .map(|t| t.fetch_gb_per_s)
            .fold(f64::INFINITY, f64::min);
        let fetch = j.spec.image_gb / rate * 1.2;
        let age = to_secs(wall.saturating_sub(j.accepted));
        let run = to_secs(self.expected_run(&j.spec));
        let (mut aims, mut ample) = (0, 0);
        for o in &self.objectives {
            let own = o.class.as_deref() == Some(&*j.spec.class);
            let limit = match o.kind.as_str() {
                "wait" if own => o.within_s,
                "guarantee" if tier == 3 => o.within_s,
                "deadline" if own => j.spec.deadline_s.map(|d| d * o.times.unwrap_or(1.0) - run),
                "finished" if own => o.within_s.map(|w| w - run),
                _ => None,
            };
            let Some(limit) = limit else { continue };
            let slack = limit - age;
            if slack > 0.0 && fetch > slack && o.kind != "finished" {
                return Pressure::TooSlow;
            }
            aims += 1;
            ample += u32::from(slack >= AMPLE * fetch);
        }
        // Of a job without aims nothing is known, least of all that it has time.
        if aims > 0 && ample == aims {
            Pressure::Ample
        } else {
            Pressure::Some
        }
    }

    /// Stops the cheapest tasks so that urgent work, or work within a guarantee, gets room.
    #[allow(clippy::too_many_arguments)]
    fn preempt(
        &mut self,
        now: Micros,
        order: &[(u32, u8)],
        tiers: &HashMap<u32, u8>,
        patient: &HashSet<u32>,
        cancelled: &HashMap<u32, bool>,
        table: &Table,
        workers: &mut Workers,
        v: &View,
        settings: &Settings,
    ) {
        let mut avail = v.available();
        let mut team_freeing: HashMap<Arc<str>, f64> = HashMap::new();
        for m in workers.machines.values() {
            for (_, e) in m.holding().filter(|(_, e)| e.halting()) {
                if let Some(s) = &e.spec {
                    *team_freeing.entry(s.team.clone()).or_default() += s.cores;
                }
            }
        }
        let mut stopping: HashSet<(TaskKey, u64)> = HashSet::new();
        for &(number, tier) in order.iter().filter(|o| o.1 >= 2) {
            let Some(job) = table.by_number.get(&number) else {
                continue;
            };
            let spec = job.spec.clone();
            let only_holders = patient.contains(&number);
            let limit = settings.team(&spec.team).map_or(0.0, |t| t.cpus_max);
            let mut budget = if limit > 0.0 {
                let used = v.used.get(&spec.team).map_or(0.0, |u| u.cores);
                limit - used + team_freeing.get(&spec.team).copied().unwrap_or(0.0)
            } else {
                f64::MAX
            };
            for _ in 0..job.pending_count {
                // What is coming free already serves the first of those who wait.
                if budget + EPS >= spec.cores {
                    let coming = avail.iter().find(|(id, room)| {
                        room.fits(&spec)
                            && self.claims.get(*id).is_none_or(|c| tier >= c.tier)
                            && workers.machines.get(*id).is_some_and(|m| {
                                allowed(job, m, workers)
                                    && (!only_holders || image_rank(m, &spec) == 0)
                            })
                    });
                    if let Some(id) = coming.map(|c| c.0.clone()) {
                        if let Some(room) = avail.get_mut(&id) {
                            room.take(&spec);
                        }
                        budget -= spec.cores;
                        continue;
                    }
                }
                let look = Look {
                    now,
                    tier,
                    tiers,
                    settings,
                    only_holders,
                    same_team_only: budget + EPS < spec.cores,
                };
                let Some((id, victims)) =
                    self.cheapest(&look, job, cancelled, workers, v, &avail, &stopping)
                else {
                    break;
                };
                for (key, attempt, victim) in victims {
                    if let Some(room) = avail.get_mut(&id) {
                        room.give(&victim);
                    }
                    if victim.team == spec.team {
                        budget += victim.cores;
                    }
                    let grace = if victim.saves() {
                        victim.save_s.max(0.1)
                    } else {
                        0.0
                    };
                    log::info!(
                        "preempting {}/{} on {id} for {}",
                        victim.uid,
                        key.part,
                        spec.uid
                    );
                    stopping.insert((key, attempt));
                    workers.halt(&id, key, attempt, grace);
                }
                if let Some(room) = avail.get_mut(&id) {
                    room.take(&spec);
                }
                let until = now + CLAIM_FOR;
                self.claims.insert(id, Claim { tier, until });
                budget -= spec.cores;
            }
        }
    }

    /// The machine where making room costs least, and what to stop there.
    #[allow(clippy::too_many_arguments)]
    fn cheapest(
        &self,
        look: &Look,
        job: &Job,
        cancelled: &HashMap<u32, bool>,
        workers: &Workers,
        v: &View,
        avail: &BTreeMap<Arc<str>, Room>,
        stopping: &HashSet<(TaskKey, u64)>,
    ) -> Option<(Arc<str>, Vec<Victim>)> {
        let spec = &job.spec;
        let mut best: Option<(f64, Arc<str>, Vec<Victim>)> = None;
        for (id, room) in avail {
            let Some(m) = workers.machines.get(id) else {
                continue;
            };
            if !allowed(job, m, workers)
                || (look.only_holders && image_rank(m, spec) != 0)
                || self.claims.get(id).is_some_and(|c| look.tier < c.tier)
            {
                continue;
            }
            let mut candidates: Vec<(f64, Victim)> = m
                .holding()
                .filter(|((k, a), e)| {
                    !e.halting()
                        && !stopping.contains(&(*k, *a))
                        && matches!(e.state, State::Running | State::Fetching | State::Sent)
                })
                .filter_map(|((k, a), e)| {
                    let s = e.spec.as_ref()?;
                    if look.same_team_only && s.team != spec.team {
                        return None;
                    }
                    // Only a lower tier: what is within a guarantee must not be stopped by what
                    // is not, or the two would stop each other without end.
                    let below = look.tiers.get(&k.job).is_some_and(|t| *t < look.tier);
                    let lower = s.priority < spec.priority && (look.tier >= 3 || s.saves());
                    let borrowed = look.tier == 3
                        && s.team != spec.team
                        && s.priority <= Priority::Normal
                        && borrows(&s.team, v, look.settings);
                    if cancelled.get(&k.job) != Some(&false) || !below || !(lower || borrowed) {
                        return None;
                    }
                    Some((self.loss(look.now, s, e.running_since), (*k, *a, s.clone())))
                })
                .collect();
            candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
            let mut freed = *room;
            let mut cost = 0.0;
            let mut victims = Vec::new();
            for (loss, victim) in candidates {
                if freed.fits(spec) {
                    break;
                }
                freed.give(&victim.2);
                cost += loss;
                victims.push(victim);
            }
            if !victims.is_empty() && freed.fits(spec) {
                cost += 2.0 * f64::from(image_rank(m, spec));
                if best.as_ref().is_none_or(|b| cost < b.0) {
                    best = Some((cost, id.clone(), victims));
                }
            }
        }
        best.map(|b| (b.1, b.2))
    }

    /// Core-seconds lost by stopping a task now.
    fn loss(&self, now: Micros, s: &JobSpec, running_since: Option<Micros>) -> f64 {
        let ran = running_since.map_or(0.0, |t| to_secs(now.saturating_sub(t)));
        let lost = if s.saves() { s.save_s + 2.0 } else { ran + 2.0 };
        // A start that is stopped within half a minute does not count as one.
        let fresh = if running_since.is_some() && ran < 30.0 {
            5.0
        } else {
            0.0
        };
        s.cores * (lost + fresh)
    }

    /// Machines of a type that the work waiting now would fill beyond what is there or booting.
    pub fn shortage(
        &self,
        now: Micros,
        table: &Table,
        workers: &Workers,
        types: &[MachineType],
        booting: &[(String, bool)],
        settings: &Settings,
    ) -> Demand {
        let by_name: HashMap<&str, &MachineType> =
            types.iter().map(|t| (t.sku.as_str(), t)).collect();
        let v = self.view(now, workers, &by_name, SECOND * 60);
        let mut rooms: Vec<Room> = v.rooms.values().copied().collect();
        rooms.extend(
            booting
                .iter()
                .filter_map(|b| by_name.get(b.0.as_str()).map(|t| Room::of(t))),
        );
        let mut used = v.used.clone();
        let mut lacking: Vec<(Arc<JobSpec>, u64)> = Vec::new();
        for job in table.by_number.values().filter(|j| !j.cancelled) {
            let mut n = job.pending_count;
            let s = &job.spec;
            if let Some(t) = settings.team(&s.team).filter(|t| t.cpus_max > 0.0) {
                let u = used.entry(s.team.clone()).or_default();
                let allowed = ((t.cpus_max - u.cores + EPS) / s.cores.max(EPS))
                    .floor()
                    .max(0.0) as u64;
                n = n.min(allowed);
                u.cores += n as f64 * s.cores;
            }
            for r in &mut rooms {
                while n > 0 && r.fits(s) {
                    r.take(s);
                    n -= 1;
                }
            }
            if n > 0 {
                lacking.push((s.clone(), n));
            }
        }
        let free: f64 = rooms.iter().map(|r| r.cores.max(0.0)).sum();
        Demand {
            lacking,
            free,
            all: v.all,
        }
    }
}

/// Work that finds no room on what is there or booting.
pub struct Demand {
    pub lacking: Vec<(Arc<JobSpec>, u64)>,
    pub free: f64,
    pub all: f64,
}

impl Demand {
    /// How many machines of this type the lacking work would fill.
    pub fn machines(&self, t: &MachineType, zone: &str, spot: bool) -> u32 {
        let mut n = 0.0;
        for (s, tasks) in &self.lacking {
            let slots = Room::of(t).slots(s);
            let ok = type_allowed(s, &t.sku)
                && (s.spot || !spot)
                && s.zone.as_ref().is_none_or(|z| z == zone);
            if ok && slots > 0 {
                n += *tasks as f64 / slots.min(1 << 20) as f64;
            }
        }
        n.ceil() as u32
    }
}

fn borrows(team: &str, v: &View, settings: &Settings) -> bool {
    let guarantee = settings.team(team).map_or(0.0, |t| t.cpus);
    v.used.get(team).is_some_and(|u| u.cores > guarantee + EPS)
}

/// Jobs that fit into their team's guarantee together with the team's earlier unfinished jobs.
fn entitled(live: &[&Job], settings: &Settings) -> HashSet<u32> {
    let mut by_age: Vec<&&Job> = live.iter().collect();
    by_age.sort_by_key(|j| (j.accepted, j.number));
    let mut sums: HashMap<&str, f64> = HashMap::new();
    let mut found = HashSet::new();
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

/// 0: holds the image; 1: is fetching it; 2: would have to fetch it.
fn image_rank(m: &Machine, s: &JobSpec) -> u8 {
    if m.images.contains_key(&s.image) {
        return 0;
    }
    let fetching = m
        .tasks
        .values()
        .any(|e| e.holds() && e.spec.as_ref().is_some_and(|x| x.image == s.image));
    if fetching { 1 } else { 2 }
}

/// Type, kind and zone that the job allows, given everything that may be on machines.
fn allowed(job: &Job, m: &Machine, workers: &Workers) -> bool {
    let s = &job.spec;
    if !type_allowed(s, &m.build)
        || (m.spot && !s.spot)
        || s.zone.as_ref().is_some_and(|z| *z != m.zone)
    {
        return false;
    }
    if !s.one_zone && !s.spread {
        return true;
    }
    let zone_of = |id: &Arc<str>| workers.machines.get(id).map(|m| m.zone.as_str());
    let mut here = 0u64;
    for (machine, _) in job.places.values().flatten() {
        match zone_of(machine) {
            Some(z) if z == m.zone => here += 1,
            Some(_) if !s.one_zone => {}
            // Elsewhere, or somewhere we don't know: the one zone is taken.
            _ if s.one_zone => return false,
            _ => here += 1,
        }
    }
    !s.spread || here < s.tasks.div_ceil(2)
}
