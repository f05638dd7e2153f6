//! The order of the machines within a type, and what a fetch of the image means for it.

use super::*;

/// Which place machines that hold the image have in the order within a type.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ImageFilter {
    CachedOnly,
    CachedFirst,
    CachedLast,
}

/// What a fetch of its image means for a job.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum FetchPressure {
    /// It would miss an aim for it.
    TooSlow,
    Some,
    /// It has so much time that it may bring its image to a machine that lacks it.
    Ample,
}

/// That many times the fetch must be left before an aim for time to be ample.
const AMPLE_SLACK_FACTOR: f64 = 3.0;
/// Where more than this part of the machines has room, they are walked through in order.
const WALK_ALL_DIVISOR: usize = 8;

/// Place of a machine in the order within its type.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct MachineRank {
    pub(super) troubled: bool,
    pub(super) slow: bool,
    pub(super) image: u8,
    /// Other images that it is fetching, when this one would have to be fetched too: several
    /// at the same time share the rate.
    pub(super) fetches_in_flight: usize,
    pub(super) run_time_bias: i32,
}

pub(super) type RankedMachine = (MachineRank, Arc<str>);

/// For whom a machine is picked, and among which.
pub(super) struct MachineQuery<'a> {
    pub(super) now: Micros,
    pub(super) tier: u8,
    pub(super) silence_limit: Micros,
    pub(super) zone: Option<&'a str>,
    pub(super) image_filter: ImageFilter,
}

/// 0: holds the image; 1: is fetching it; 2: would have to fetch it.
pub(super) fn image_rank(m: &Machine, s: &JobSpec) -> u8 {
    if m.images.contains_key(&s.image) {
        return 0;
    }
    let fetching = m
        .tasks
        .values()
        .any(|e| e.occupies() && e.spec.as_ref().is_some_and(|x| x.image == s.image));
    if fetching { 1 } else { 2 }
}

/// How many images the machine is fetching.
pub(super) fn fetches_in_flight(m: &Machine) -> usize {
    let images = m.tasks.values().filter(|e| e.occupies());
    let mut images: Vec<&str> = images
        .filter_map(|e| e.spec.as_ref().map(|s| &*s.image))
        .filter(|i| !m.images.contains_key(*i))
        .collect();
    images.sort_unstable();
    images.dedup();
    images.len()
}

/// Type, kind and zone that the job allows, given everything that may be on machines.
pub(super) fn is_allowed(job: &Job, m: &Machine, workers: &WorkerLedger) -> bool {
    let s = &job.spec;
    if !is_type_allowed(s, &m.machine_type)
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
    for (machine, _) in job.placements.values().flatten() {
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

impl Scheduler {
    /// The machines with room by type, each type in its fixed order, the first one last. The
    /// order is by name; before it, healthy machines, then those that hold the image: a fetch
    /// costs seconds (an exception to plain first fit).
    pub(super) fn candidates<'a>(
        &self,
        job: &Job,
        look: &MachineQuery,
        workers: &'a WorkerLedger,
    ) -> BTreeMap<&'a str, Vec<RankedMachine>> {
        let spec = &job.spec;
        let mut queues: BTreeMap<&str, Vec<RankedMachine>> = BTreeMap::new();
        // Both are in the order of names: where much is open they are walked side by side, which
        // costs a tenth of looking each machine up.
        let walk = self.capacity.open_machines.len() > workers.machines.len() / WALK_ALL_DIVISOR;
        let mut machines = workers.machines.iter().peekable();
        for (id, room) in &self.capacity.open_machines {
            if !room.fits(spec) || self.is_reserved_from(id, look, job) {
                continue;
            }
            let m = if walk {
                while machines.next_if(|m| m.0 < id).is_some() {}
                machines.next_if(|m| m.0 == id).map(|m| m.1)
            } else {
                workers.machines.get(id)
            };
            let Some(m) = m else { continue };
            if look.zone.is_some_and(|z| z != m.zone)
                || !is_allowed(job, m, workers)
                || !m.is_usable(look.now, look.silence_limit)
            {
                continue;
            }
            let holding = image_rank(m, spec);
            if look.image_filter == ImageFilter::CachedOnly && holding != 0 {
                continue;
            }
            let rank = MachineRank {
                troubled: job.errors.contains_key(id) || m.error_streak > 0,
                slow: m.slowness > 1.5,
                image: if look.image_filter == ImageFilter::CachedLast {
                    2 - holding
                } else {
                    holding
                },
                fetches_in_flight: if holding == 2 {
                    fetches_in_flight(m)
                } else {
                    0
                },
                run_time_bias: m.run_time_bias_step(),
            };
            queues
                .entry(&m.machine_type)
                .or_default()
                .push((rank, id.clone()));
        }
        // Each machine takes a task at least, so of a type no more are needed than tasks wait;
        // but where the zone decides, later ones may have to stand in for those not allowed.
        let most = job.pending_count as usize;
        for queue in queues.values_mut() {
            if queue.len() > most && most > 0 && !spec.one_zone && !spec.spread {
                queue.select_nth_unstable(most - 1);
                queue.truncate(most);
            }
            queue.sort_unstable_by(|a, b| b.cmp(a));
        }
        queues
    }

    /// The aims that hold for a job in this tier, each with the seconds that are left for its start;
    /// below 0 it can't be met any more.
    pub(super) fn objective_slacks(
        &self,
        j: &Job,
        tier: u8,
        wall: Micros,
    ) -> impl Iterator<Item = (&Objective, f64)> {
        let age = to_secs(wall.saturating_sub(j.waiting_since()));
        let waited = to_secs(j.waiting_since() - j.accepted_at);
        let run = to_secs(self.expected_run(&j.spec));
        self.objectives.iter().filter_map(move |o| {
            let own = o.class.as_deref() == Some(&*j.spec.class);
            let limit = match o.kind.as_str() {
                "wait" if own => o.within_s,
                "guarantee" if tier == 3 => o.within_s,
                "deadline" if own => {
                    let deadline = j.spec.deadline_s;
                    deadline.map(|d| d * o.times.unwrap_or(1.0) - waited - run)
                }
                "finished" if own => o.within_s.map(|w| w - run),
                _ => None,
            };
            limit.map(|limit| (o, limit - age))
        })
    }

    /// How a fetch of the image stands against the aims the job can still meet.
    pub(super) fn fetch_pressure(
        &self,
        j: &Job,
        tier: u8,
        wall: Micros,
        types: &[MachineType],
    ) -> FetchPressure {
        let rate = types
            .iter()
            .filter(|t| is_type_allowed(&j.spec, &t.name) && t.fetch_gb_per_s > 0.0)
            .map(|t| t.fetch_gb_per_s)
            .fold(f64::INFINITY, f64::min);
        let fetch = j.spec.image_gb / rate * 1.2;
        let (mut aims, mut ample) = (0, 0);
        for (o, slack) in self.objective_slacks(j, tier, wall) {
            if slack > 0.0 && fetch > slack && o.kind != "finished" {
                return FetchPressure::TooSlow;
            }
            aims += 1;
            ample += u32::from(slack >= AMPLE_SLACK_FACTOR * fetch);
        }
        // Of a job without aims nothing is known, least of all that it has time.
        if aims > 0 && ample == aims {
            FetchPressure::Ample
        } else {
            FetchPressure::Some
        }
    }
}
