//! Stops the cheapest tasks so that urgent work, or work within a guarantee, gets room.

use super::aging::{AGED_RESERVATION_TIER, FIRST_TASK_PROTECTED_FOR};
use super::ranking::image_rank;
use super::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The share of its slack, after a fetch, that a job may wait for tasks that end by themselves.
const SLACK_WAIT_SHARE: f64 = 0.12;
const SLACK_WAIT_MAX_S: f64 = 3.0;
/// Of the cores that came free lately, so many are counted on: they are of all types and zones.
const COMPLETION_RATE_DISCOUNT: f64 = 0.7;

/// What a second of work without an aim counts, against one with, when some has to be stopped.
const NO_OBJECTIVE_LOSS_WEIGHT: f64 = 0.4;

pub(super) type Victim = (TaskId, u64, Arc<JobSpec>);

/// A task that is to be stopped, with the time it gets to save.
pub(super) struct Preemption {
    pub(super) machine: Arc<str>,
    pub(super) key: TaskId,
    pub(super) attempt: u64,
    pub(super) grace_s: f64,
}

/// For whom room is sought by stopping others.
pub(super) struct PreemptionQuery<'a> {
    pub(super) tier: u8,
    pub(super) settings: &'a Settings,
    pub(super) only_holders: bool,
    pub(super) same_team_only: bool,
}

/// A task that might be stopped, with what that would lose.
pub(super) struct PreemptionCandidate {
    pub(super) loss: f64,
    pub(super) tier: u8,
    pub(super) victim: Victim,
    pub(super) stopped: bool,
}

/// A machine as a preemption pass sees it: what will be free there, and what could be stopped.
pub(super) struct PreemptionProspect {
    pub(super) id: Arc<str>,
    pub(super) free: Resources,
    /// What would be free if all that could be stopped were.
    pub(super) free_if_all_preempted: Resources,
    /// The lowest tier of what could be stopped.
    pub(super) lowest_tier: u8,
    /// By loss, the cheapest first.
    pub(super) candidates: Vec<PreemptionCandidate>,
}

impl PreemptionProspect {
    /// Whether stopping all that may be stopped for this tier could make room at all.
    pub(super) fn could_make_room(&self, look: &PreemptionQuery, s: &JobSpec) -> bool {
        self.lowest_tier < look.tier && self.free_if_all_preempted.fits(s)
    }
}

/// What decides whose tasks a job may have stopped: its tier, its priority, whether its team is at
/// its limit, and, where that matters, which team.
pub(super) type PreemptionStanding = (u8, Priority, bool, Option<Arc<str>>);

impl Scheduler {
    /// What will be free on each machine, and what could be stopped there.
    pub(super) fn prospects(
        &self,
        now: Micros,
        tiers: &HashMap<u32, u8>,
        workers: &WorkerLedger,
        settings: &Settings,
    ) -> Vec<PreemptionProspect> {
        let top = tiers.values().copied().max().unwrap_or(0);
        let silence = silence_limit(settings);
        let mut found = Vec::new();
        for (id, slot) in &self.capacity.machines {
            let (Some(room), Some(m)) = (slot.free, workers.machines.get(id)) else {
                continue;
            };
            if !m.is_usable(now, silence) {
                continue;
            }
            let candidate = |((key, attempt), e): (&(TaskId, u64), &TaskEntry)| {
                let s = e.spec.as_ref()?;
                // Only a lower tier: what is within a guarantee must not be stopped by what
                // is not, or the two would stop each other without end. Jobs that are being
                // cancelled have no tier.
                let tier = *tiers.get(&key.job)?;
                let there = matches!(
                    e.state,
                    TaskState::Running | TaskState::Fetching | TaskState::Sent
                );
                let first = self.aged_first_tasks.contains_key(key)
                    && e.running_since
                        .is_none_or(|t| now < t + FIRST_TASK_PROTECTED_FOR);
                // Of work without an aim that can still be met, only the work itself is lost.
                let worth = if tier == 0 {
                    NO_OBJECTIVE_LOSS_WEIGHT
                } else {
                    1.0
                };
                (tier < top && there && !first && !e.is_stopping()).then(|| PreemptionCandidate {
                    loss: worth * self.preemption_loss(now, s, self.assumed_start(e)),
                    tier,
                    victim: (*key, *attempt, s.clone()),
                    stopped: false,
                })
            };
            let mut candidates: Vec<PreemptionCandidate> =
                m.held_tasks().filter_map(candidate).collect();
            candidates.sort_by(|a, b| a.loss.total_cmp(&b.loss));
            let room = room.plus(&slot.freeing);
            let mut most = room;
            for c in &candidates {
                most.add(&c.victim.2);
            }
            found.push(PreemptionProspect {
                id: id.clone(),
                free: room,
                free_if_all_preempted: most,
                lowest_tier: candidates.iter().map(|c| c.tier).min().unwrap_or(u8::MAX),
                candidates,
            });
        }
        found
    }

    /// Whether a machine may serve the job at all.
    pub(super) fn may_serve(
        &self,
        look: &PreemptionQuery,
        job: &Job,
        m: &Machine,
        workers: &WorkerLedger,
    ) -> bool {
        (!look.only_holders || image_rank(m, &job.spec) == 0)
            && self
                .reservations
                .get(&m.id)
                .is_none_or(|c| look.tier >= c.tier || c.tier == AGED_RESERVATION_TIER)
            && is_allowed(job, m, workers)
    }

    /// Whether a task may be stopped for this work.
    pub(super) fn preemption_allowance(
        &self,
        look: &PreemptionQuery,
        job: &Job,
        c: &PreemptionCandidate,
    ) -> bool {
        let spec = &job.spec;
        let s = &c.victim.2;
        if c.stopped || c.tier >= look.tier || (look.same_team_only && s.team != spec.team) {
            return false;
        }
        let lower = s.priority < job.priority() && (look.tier >= 3 || s.saves());
        lower
            || (look.tier == 3
                && s.team != spec.team
                && s.priority <= Priority::Normal
                && self.exceeds_guarantee(&s.team, look.settings))
    }

    /// Core-seconds that a task started there would hold its cores for without running.
    fn fetch_loss(&self, m: &Machine, s: &JobSpec) -> f64 {
        let share = match image_rank(m, s) {
            0 => return 0.0,
            1 => 0.5,
            _ => 1.0,
        };
        let rate = self
            .fetch_rates
            .get(&m.machine_type)
            .copied()
            .unwrap_or(0.0);
        let fetch = if rate > 0.0 { s.image_gb / rate } else { 1.0 };
        share * fetch * s.cores
    }

    /// How long a job may wait for tasks to end by themselves before others are stopped for it, in
    /// seconds. On a full fleet a hundred end every second; stopping as many costs each its save,
    /// another start and often another fetch.
    fn acceptable_wait_s(&self, j: &Job, tier: u8, wall: Micros) -> f64 {
        let slowest = self.fetch_rates.values().copied().filter(|r| *r > 0.0);
        let slowest = slowest.fold(f64::INFINITY, f64::min);
        let fetch = 1.2 * j.spec.image_gb / slowest;
        // An aim that is missed already makes nobody hurry.
        let slacks = self.objective_slacks(j, tier, wall).map(|(_, slack)| slack);
        let patience = slacks
            .filter(|slack| *slack > 0.0)
            .map(|slack| SLACK_WAIT_SHARE * (slack - fetch).max(0.0))
            .reduce(f64::min);
        patience.unwrap_or(0.0).min(SLACK_WAIT_MAX_S)
    }

    /// What it costs to make room for one task there; None when it can't be made.
    pub(super) fn cost_to_make_room(
        &self,
        look: &PreemptionQuery,
        job: &Job,
        m: &Machine,
        p: &PreemptionProspect,
    ) -> Option<f64> {
        let spec = &job.spec;
        let mut freed = p.free;
        let mut cost = 0.0;
        for c in &p.candidates {
            if freed.fits(spec) {
                break;
            }
            if self.preemption_allowance(look, job, c) {
                freed.add(&c.victim.2);
                cost += c.loss;
            }
        }
        (cost > 0.0 && freed.fits(spec)).then(|| cost + self.fetch_loss(m, spec))
    }

    /// Stops the cheapest tasks so that urgent work, or work within a guarantee, gets room.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn plan_preemptions(
        &mut self,
        now: Micros,
        wall: Micros,
        order: &[(u32, u8)],
        tiers: &HashMap<u32, u8>,
        table: &JobTable,
        workers: &WorkerLedger,
        settings: &Settings,
    ) -> Vec<Preemption> {
        let mut stops = Vec::new();
        let waits = |number: &u32| {
            let job = table.by_number.get(number);
            job.is_some_and(|j| j.pending_count > 0)
        };
        if !order.iter().any(|o| o.1 >= 2 && waits(&o.0)) {
            return stops;
        }
        let mut prospects = self.prospects(now, tiers, workers, settings);
        // Looked up once, not once for each job.
        let found = prospects.iter().map(|p| workers.machines.get(&p.id));
        let machines: Vec<Option<&Machine>> = found.collect();
        let mut team_freeing: HashMap<Arc<str>, f64> = HashMap::default();
        for m in workers.machines.values() {
            for (_, e) in m.held_tasks().filter(|(_, e)| e.is_stopping()) {
                if let Some(s) = &e.spec {
                    *team_freeing.entry(s.team.clone()).or_default() += s.cores;
                }
            }
        }
        // Cores that will come free by themselves, against what waits for them in this order.
        let flow = COMPLETION_RATE_DISCOUNT * self.completion_rate(now);
        let mut ahead = 0.0;
        // Failures speak for all jobs that are no better placed and no smaller.
        let mut dead: HashMap<PreemptionStanding, UnplaceableSizes> = HashMap::default();
        for &(number, tier) in order.iter().filter(|o| o.1 >= 2) {
            let Some(job) = table.by_number.get(&number) else {
                continue;
            };
            if job.pending_count == 0 {
                continue;
            }
            let spec = job.spec.clone();
            let only_holders = self.waiting_for_image.contains(&number);
            let limit = settings.team(&spec.team).map_or(0.0, |t| t.cpus_max);
            let mut budget = if limit > 0.0 {
                limit - self.capacity.team_usage(&spec.team).cores
                    + team_freeing.get(&spec.team).copied().unwrap_or(0.0)
            } else {
                f64::MAX
            };
            let mut look = PreemptionQuery {
                tier,
                settings,
                only_holders,
                same_team_only: budget + EPSILON < spec.cores,
            };
            // Whose tasks may be stopped depends on the team within a guarantee, and at a limit.
            let whose = (tier == 3 || look.same_team_only).then(|| spec.team.clone());
            let memo = (tier, job.priority(), look.same_team_only, whose);
            let general = accepts_any_machine(&spec) && !only_holders;
            if general && dead.get(&memo).is_some_and(|d| d.covers(&spec)) {
                continue;
            }
            let mut waiting = job.startable_tasks(&self.schema);
            ahead += waiting as f64 * spec.cores;
            if !look.same_team_only && ahead < flow * self.acceptable_wait_s(job, tier, wall) {
                continue;
            }
            // What is coming free already serves the first of those who wait.
            for (p, m) in prospects.iter_mut().zip(&machines) {
                while waiting > 0
                    && budget + EPSILON >= spec.cores
                    && p.free.fits(&spec)
                    && m.is_some_and(|m| self.may_serve(&look, job, m, workers))
                {
                    p.free.subtract(&spec);
                    budget -= spec.cores;
                    waiting -= 1;
                }
            }
            if waiting == 0 {
                continue;
            }
            look.same_team_only = budget + EPSILON < spec.cores;
            let cost = |this: &Self,
                        look: &PreemptionQuery,
                        m: Option<&Machine>,
                        p: &PreemptionProspect| {
                let m = m.filter(|m| {
                    p.could_make_room(look, &spec) && this.may_serve(look, job, m, workers)
                })?;
                // Whole thousandths order as integers do.
                this.cost_to_make_room(look, job, m, p)
                    .map(|c| (c * 1000.0).round() as u64)
            };
            let mut heap: BinaryHeap<Reverse<(u64, usize)>> = prospects
                .iter()
                .enumerate()
                .filter_map(|(i, p)| Some(Reverse((cost(self, &look, machines[i], p)?, i))))
                .collect();
            let mut stopped_any = false;
            while waiting > 0 && self.preemption_allowance > 0.0 {
                let same_team_only = budget + EPSILON < spec.cores;
                if same_team_only != look.same_team_only {
                    // At the team's limit other victims count: the next pass looks at them.
                    break;
                }
                let Some(Reverse((_, i))) = heap.pop() else {
                    break;
                };
                let p = &mut prospects[i];
                for at in 0..p.candidates.len() {
                    if p.free.fits(&spec) {
                        break;
                    }
                    if !self.preemption_allowance(&look, job, &p.candidates[at]) {
                        continue;
                    }
                    p.candidates[at].stopped = true;
                    let (key, attempt, victim) = p.candidates[at].victim.clone();
                    p.free.add(&victim);
                    self.preemption_allowance -= victim.cores;
                    if victim.team == spec.team {
                        budget += victim.cores;
                    }
                    let grace = if victim.saves() {
                        victim.save_s.max(0.1)
                    } else {
                        0.0
                    };
                    log::info!(
                        "preempting {}/{} on {} for {}",
                        victim.uid,
                        key.index,
                        p.id,
                        spec.uid
                    );
                    stops.push(Preemption {
                        machine: p.id.clone(),
                        key,
                        attempt,
                        grace_s: grace,
                    });
                    stopped_any = true;
                }
                p.free.subtract(&spec);
                budget -= spec.cores;
                waiting -= 1;
                let until = now + RESERVATION_TTL;
                let claim = Reservation {
                    tier,
                    until,
                    backfill_until: 0,
                };
                self.reservations.insert(p.id.clone(), claim);
                while waiting > 0 && budget + EPSILON >= spec.cores && p.free.fits(&spec) {
                    p.free.subtract(&spec);
                    budget -= spec.cores;
                    waiting -= 1;
                }
                if let Some(c) = cost(self, &look, machines[i], &prospects[i]) {
                    heap.push(Reverse((c, i)));
                }
            }
            if waiting > 0 && !stopped_any && general && heap.is_empty() {
                dead.entry(memo).or_default().add(&spec);
            }
        }
        stops
    }

    pub(super) fn exceeds_guarantee(&self, team: &str, settings: &Settings) -> bool {
        let guarantee = settings.team(team).map_or(0.0, |t| t.cpus);
        self.capacity.team_usage(team).cores > guarantee + EPSILON
    }

    /// Since when a task runs. Of one that an earlier leader started nobody knows; it is taken to be in
    /// the middle of its run, or all of them would look as if they had just begun, and cheap to stop.
    fn assumed_start(&self, e: &TaskEntry) -> Option<Micros> {
        let since = e.running_since?;
        let before = match &e.spec {
            Some(spec) if !e.started_here() => self.expected_run(spec) / 2,
            _ => 0,
        };
        Some(since.saturating_sub(before))
    }

    /// Core-seconds lost by stopping a task now.
    pub(super) fn preemption_loss(
        &self,
        now: Micros,
        s: &JobSpec,
        running_since: Option<Micros>,
    ) -> f64 {
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
}
