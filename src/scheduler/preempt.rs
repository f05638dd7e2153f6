//! Stops the cheapest tasks so that urgent work, or work within a guarantee, gets room.

use super::elders::{FIRST_KEPT, KEPT};
use super::ranking::image_rank;
use super::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The share of its slack, after a fetch, that a job may wait for tasks that end by themselves.
const PATIENT_SHARE: f64 = 0.12;
const PATIENT_MOST: f64 = 3.0;
/// Of the cores that came free lately, so many are counted on: they are of all types and zones.
const FLOW_SAFE: f64 = 0.7;

/// What a second of work without an aim counts, against one with, when some has to be stopped.
const AIMLESS: f64 = 0.4;

pub(super) type Victim = (TaskKey, u64, Arc<JobSpec>);

/// A task that is to be stopped, with the time it gets to save.
pub(super) struct Stop {
    pub(super) machine: Arc<str>,
    pub(super) key: TaskKey,
    pub(super) attempt: u64,
    pub(super) grace_s: f64,
}

/// For whom room is sought by stopping others.
pub(super) struct Look<'a> {
    pub(super) tier: u8,
    pub(super) settings: &'a Settings,
    pub(super) only_holders: bool,
    pub(super) same_team_only: bool,
}

/// A task that might be stopped, with what that would lose.
pub(super) struct Candidate {
    pub(super) loss: f64,
    pub(super) tier: u8,
    pub(super) victim: Victim,
    pub(super) stopped: bool,
}

/// A machine as a preemption pass sees it: what will be free there, and what could be stopped.
pub(super) struct Prospect {
    pub(super) id: Arc<str>,
    pub(super) room: Room,
    /// What would be free if all that could be stopped were.
    pub(super) most: Room,
    /// The lowest tier of what could be stopped.
    pub(super) lowest: u8,
    /// By loss, the cheapest first.
    pub(super) candidates: Vec<Candidate>,
}

impl Prospect {
    /// Whether stopping all that may be stopped for this tier could make room at all.
    pub(super) fn promises(&self, look: &Look, s: &JobSpec) -> bool {
        self.lowest < look.tier && self.most.fits(s)
    }
}

/// What decides whose tasks a job may have stopped: its tier, its priority, whether its team is at
/// its limit, and, where that matters, which team.
pub(super) type Standing = (u8, Priority, bool, Option<Arc<str>>);

impl Scheduler {
    /// What will be free on each machine, and what could be stopped there.
    pub(super) fn prospects(
        &self,
        now: Micros,
        tiers: &HashMap<u32, u8>,
        workers: &Workers,
        settings: &Settings,
    ) -> Vec<Prospect> {
        let top = tiers.values().copied().max().unwrap_or(0);
        let silence = silence(settings);
        let mut found = Vec::new();
        for (id, slot) in &self.rooms.slots {
            let (Some(room), Some(m)) = (slot.room, workers.machines.get(id)) else {
                continue;
            };
            if !m.usable(now, silence) {
                continue;
            }
            let candidate = |((key, attempt), e): (&(TaskKey, u64), &Entry)| {
                let s = e.spec.as_ref()?;
                // Only a lower tier: what is within a guarantee must not be stopped by what
                // is not, or the two would stop each other without end. Jobs that are being
                // cancelled have no tier.
                let tier = *tiers.get(&key.job)?;
                let there = matches!(e.state, State::Running | State::Fetching | State::Sent);
                let first = self.firsts.contains_key(key)
                    && e.running_since.is_none_or(|t| now < t + FIRST_KEPT);
                // Of work without an aim that can still be met, only the work itself is lost.
                let worth = if tier == 0 { AIMLESS } else { 1.0 };
                (tier < top && there && !first && !e.halting()).then(|| Candidate {
                    loss: worth * self.loss(now, s, self.began(e)),
                    tier,
                    victim: (*key, *attempt, s.clone()),
                    stopped: false,
                })
            };
            let mut candidates: Vec<Candidate> = m.holding().filter_map(candidate).collect();
            candidates.sort_by(|a, b| a.loss.total_cmp(&b.loss));
            let room = room.with(&slot.freeing);
            let mut most = room;
            for c in &candidates {
                most.give(&c.victim.2);
            }
            found.push(Prospect {
                id: id.clone(),
                room,
                most,
                lowest: candidates.iter().map(|c| c.tier).min().unwrap_or(u8::MAX),
                candidates,
            });
        }
        found
    }

    /// Whether a machine may serve the job at all.
    pub(super) fn fit_for(&self, look: &Look, job: &Job, m: &Machine, workers: &Workers) -> bool {
        (!look.only_holders || image_rank(m, &job.spec) == 0)
            && self
                .claims
                .get(&m.id)
                .is_none_or(|c| look.tier >= c.tier || c.tier == KEPT)
            && allowed(job, m, workers)
    }

    /// Whether a task may be stopped for this work.
    pub(super) fn may_stop(&self, look: &Look, job: &Job, c: &Candidate) -> bool {
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
                && self.borrows(&s.team, look.settings))
    }

    /// Core-seconds that a task started there would hold its cores for without running.
    fn fetch_loss(&self, m: &Machine, s: &JobSpec) -> f64 {
        let share = match image_rank(m, s) {
            0 => return 0.0,
            1 => 0.5,
            _ => 1.0,
        };
        let rate = self.fetch_rates.get(&m.build).copied().unwrap_or(0.0);
        let fetch = if rate > 0.0 { s.image_gb / rate } else { 1.0 };
        share * fetch * s.cores
    }

    /// How long a job may wait for tasks to end by themselves before others are stopped for it, in
    /// seconds. On a full fleet a hundred end every second; stopping as many costs each its save,
    /// another start and often another fetch.
    fn patience(&self, j: &Job, tier: u8, wall: Micros) -> f64 {
        let slowest = self.fetch_rates.values().copied().filter(|r| *r > 0.0);
        let slowest = slowest.fold(f64::INFINITY, f64::min);
        let fetch = 1.2 * j.spec.image_gb / slowest;
        // An aim that is missed already makes nobody hurry.
        let slacks = self.slacks(j, tier, wall).map(|(_, slack)| slack);
        let patience = slacks
            .filter(|slack| *slack > 0.0)
            .map(|slack| PATIENT_SHARE * (slack - fetch).max(0.0))
            .reduce(f64::min);
        patience.unwrap_or(0.0).min(PATIENT_MOST)
    }

    /// What it costs to make room for one task there; None when it can't be made.
    pub(super) fn price(&self, look: &Look, job: &Job, m: &Machine, p: &Prospect) -> Option<f64> {
        let spec = &job.spec;
        let mut freed = p.room;
        let mut cost = 0.0;
        for c in &p.candidates {
            if freed.fits(spec) {
                break;
            }
            if self.may_stop(look, job, c) {
                freed.give(&c.victim.2);
                cost += c.loss;
            }
        }
        (cost > 0.0 && freed.fits(spec)).then(|| cost + self.fetch_loss(m, spec))
    }

    /// Stops the cheapest tasks so that urgent work, or work within a guarantee, gets room.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn preempt(
        &mut self,
        now: Micros,
        wall: Micros,
        order: &[(u32, u8)],
        tiers: &HashMap<u32, u8>,
        table: &Table,
        workers: &Workers,
        settings: &Settings,
    ) -> Vec<Stop> {
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
            for (_, e) in m.holding().filter(|(_, e)| e.halting()) {
                if let Some(s) = &e.spec {
                    *team_freeing.entry(s.team.clone()).or_default() += s.cores;
                }
            }
        }
        // Cores that will come free by themselves, against what waits for them in this order.
        let flow = FLOW_SAFE * self.flow(now);
        let mut ahead = 0.0;
        // Failures speak for all jobs that are no better placed and no smaller.
        let mut dead: HashMap<Standing, Dead> = HashMap::default();
        for &(number, tier) in order.iter().filter(|o| o.1 >= 2) {
            let Some(job) = table.by_number.get(&number) else {
                continue;
            };
            if job.pending_count == 0 {
                continue;
            }
            let spec = job.spec.clone();
            let only_holders = self.patient.contains(&number);
            let limit = settings.team(&spec.team).map_or(0.0, |t| t.cpus_max);
            let mut budget = if limit > 0.0 {
                limit - self.rooms.used(&spec.team).cores
                    + team_freeing.get(&spec.team).copied().unwrap_or(0.0)
            } else {
                f64::MAX
            };
            let mut look = Look {
                tier,
                settings,
                only_holders,
                same_team_only: budget + EPS < spec.cores,
            };
            // Whose tasks may be stopped depends on the team within a guarantee, and at a limit.
            let whose = (tier == 3 || look.same_team_only).then(|| spec.team.clone());
            let memo = (tier, job.priority(), look.same_team_only, whose);
            let general = undemanding(&spec) && !only_holders;
            if general && dead.get(&memo).is_some_and(|d| d.covers(&spec)) {
                continue;
            }
            let mut waiting = job.startable(&self.layout);
            ahead += waiting as f64 * spec.cores;
            if !look.same_team_only && ahead < flow * self.patience(job, tier, wall) {
                continue;
            }
            // What is coming free already serves the first of those who wait.
            for (p, m) in prospects.iter_mut().zip(&machines) {
                while waiting > 0
                    && budget + EPS >= spec.cores
                    && p.room.fits(&spec)
                    && m.is_some_and(|m| self.fit_for(&look, job, m, workers))
                {
                    p.room.take(&spec);
                    budget -= spec.cores;
                    waiting -= 1;
                }
            }
            if waiting == 0 {
                continue;
            }
            look.same_team_only = budget + EPS < spec.cores;
            let cost = |this: &Self, look: &Look, m: Option<&Machine>, p: &Prospect| {
                let m =
                    m.filter(|m| p.promises(look, &spec) && this.fit_for(look, job, m, workers))?;
                // Whole thousandths order as integers do.
                this.price(look, job, m, p)
                    .map(|c| (c * 1000.0).round() as u64)
            };
            let mut heap: BinaryHeap<Reverse<(u64, usize)>> = prospects
                .iter()
                .enumerate()
                .filter_map(|(i, p)| Some(Reverse((cost(self, &look, machines[i], p)?, i))))
                .collect();
            let mut stopped_any = false;
            while waiting > 0 && self.may_stop > 0.0 {
                let same_team_only = budget + EPS < spec.cores;
                if same_team_only != look.same_team_only {
                    // At the team's limit other victims count: the next pass looks at them.
                    break;
                }
                let Some(Reverse((_, i))) = heap.pop() else {
                    break;
                };
                let p = &mut prospects[i];
                for at in 0..p.candidates.len() {
                    if p.room.fits(&spec) {
                        break;
                    }
                    if !self.may_stop(&look, job, &p.candidates[at]) {
                        continue;
                    }
                    p.candidates[at].stopped = true;
                    let (key, attempt, victim) = p.candidates[at].victim.clone();
                    p.room.give(&victim);
                    self.may_stop -= victim.cores;
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
                        key.part,
                        p.id,
                        spec.uid
                    );
                    stops.push(Stop {
                        machine: p.id.clone(),
                        key,
                        attempt,
                        grace_s: grace,
                    });
                    stopped_any = true;
                }
                p.room.take(&spec);
                budget -= spec.cores;
                waiting -= 1;
                let until = now + CLAIM_FOR;
                let claim = Claim {
                    tier,
                    until,
                    filled_until: 0,
                };
                self.claims.insert(p.id.clone(), claim);
                while waiting > 0 && budget + EPS >= spec.cores && p.room.fits(&spec) {
                    p.room.take(&spec);
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

    pub(super) fn borrows(&self, team: &str, settings: &Settings) -> bool {
        let guarantee = settings.team(team).map_or(0.0, |t| t.cpus);
        self.rooms.used(team).cores > guarantee + EPS
    }

    /// Since when a task runs. Of one that an earlier leader started nobody knows; it is taken to be in
    /// the middle of its run, or all of them would look as if they had just begun, and cheap to stop.
    fn began(&self, e: &Entry) -> Option<Micros> {
        let since = e.running_since?;
        let before = match &e.spec {
            Some(spec) if !e.timed() => self.expected_run(spec) / 2,
            _ => 0,
        };
        Some(since.saturating_sub(before))
    }

    /// Core-seconds lost by stopping a task now.
    pub(super) fn loss(&self, now: Micros, s: &JobSpec, running_since: Option<Micros>) -> f64 {
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
