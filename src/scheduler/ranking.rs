//! Selects the machines that a job may use, and orders them within each machine type.
//!
//! Changes no state. The paper orders machines by name and uses the first fit (IV.C.1); here
//! [`MachineRank`] takes precedence over the name.

use super::Scheduler;
use super::context::PassContext;
use super::feasibility::is_type_allowed;
use super::job_order::Tier;
use crate::jobs::Job;
use crate::wire::JobSpec;
use crate::worker_ledger::{Machine, WorkerLedger};
use std::collections::BTreeMap;
use std::sync::Arc;

/// If more machines than the total divided by this have free capacity, the whole ledger is scanned
/// in order instead of looking these machines up one by one.
const SCAN_ALL_DIVISOR: usize = 8;
/// A machine counts as slow if its tasks run for more than this many times their expected run time.
const SLOW_MACHINE_FACTOR: f64 = 1.5;

/// How machines that have the job's image cached are ordered within a machine type.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ImagePreference {
    /// Only machines with the image may be used.
    OnlyCached,
    /// Machines with the image come first; the default.
    CachedFirst,
    /// Machines with the image come last, so that the image is spread to other machines.
    CachedLast,
}

/// Whether a machine has the image of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ImageStatus {
    /// The machine has the image cached.
    Cached,
    /// The machine has a task with that image, so it is fetching the image.
    Fetching,
    /// The machine would have to fetch the image.
    Missing,
}

/// The rank of a machine for a job within its machine type; the lowest rank comes first, and
/// machines of equal rank are ordered by name. The fields are compared in their order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct MachineRank {
    /// Whether a task of this job, or the latest task of any job, failed on the machine.
    has_failures: bool,
    /// Whether tasks run slowly on the machine, see [`SLOW_MACHINE_FACTOR`].
    is_slow: bool,
    /// From 0 to 2; 0 for the [`ImageStatus`] that the [`ImagePreference`] puts first.
    image: u8,
    /// Number of other images that the machine is fetching, if it would have to fetch this one too;
    /// concurrent fetches share the bandwidth. 0 otherwise.
    fetches_in_flight: usize,
    /// How much longer tasks run on the machine than other tasks of the same jobs, in steps.
    run_time_bias: i32,
}

/// A machine with its rank.
pub(super) type RankedMachine = (MachineRank, Arc<str>);

/// The machines with free capacity, by machine type. The first machine in the order is the last
/// element of its vector, so that it can be popped.
pub(super) type MachineQueues<'a> = BTreeMap<&'a str, Vec<RankedMachine>>;

/// Requirements on the machines for a job in addition to those in its spec.
#[derive(Clone, Copy)]
pub(super) struct MachineQuery<'a> {
    /// The tier of the job; it may not use capacity that is reserved for higher tiers.
    pub(super) tier: Tier,
    /// If set, only machines in this zone may be used.
    pub(super) zone: Option<&'a str>,
    /// How machines that have the image cached are ranked.
    pub(super) image_preference: ImagePreference,
}

/// Whether the machine has the image of the job cached, is fetching it, or neither.
pub(super) fn image_status(machine: &Machine, spec: &JobSpec) -> ImageStatus {
    if machine.images.contains_key(&spec.image) {
        return ImageStatus::Cached;
    }
    let is_fetching = machine.tasks.values().any(|entry| {
        let held = entry.spec.as_ref().filter(|_| entry.holds_resources());
        held.is_some_and(|held| held.image == spec.image)
    });
    if is_fetching {
        ImageStatus::Fetching
    } else {
        ImageStatus::Missing
    }
}

/// How many different images the machine is fetching.
fn fetches_in_flight(machine: &Machine) -> usize {
    let entries = machine
        .tasks
        .values()
        .filter(|entry| entry.holds_resources());
    let mut images: Vec<&str> = entries
        .filter_map(|entry| entry.spec.as_ref().map(|spec| &*spec.image))
        .filter(|image| !machine.images.contains_key(*image))
        .collect();
    images.sort_unstable();
    images.dedup();
    images.len()
}

/// Whether the job allows the machine by its type, rental kind (spot or not) and zone, given the
/// placements that the job already has.
pub(super) fn is_allowed(job: &Job, machine: &Machine, workers: &WorkerLedger) -> bool {
    let spec = &job.spec;
    if !is_type_allowed(spec, &machine.machine_type)
        || (machine.spot && !spec.spot)
        || spec.zone.as_ref().is_some_and(|zone| *zone != machine.zone)
    {
        return false;
    }
    if !spec.one_zone && !spec.spread {
        return true;
    }
    let zone_of = |id: &Arc<str>| workers.machines.get(id).map(|other| other.zone.as_str());
    let mut tasks_here = 0u64;
    for (other, _) in job.placements.values().flatten() {
        match zone_of(other) {
            Some(zone) if zone == machine.zone => tasks_here += 1,
            Some(_) if !spec.one_zone => {}
            // A task is in another or an unknown zone, and all tasks must run in one zone.
            _ if spec.one_zone => return false,
            _ => tasks_here += 1,
        }
    }
    !spec.spread || tasks_here < spec.tasks.div_ceil(2)
}

impl Scheduler {
    /// The machines on which a task of the job fits, by machine type and ordered by [`MachineRank`]
    /// and name. Machines with a cached image are usually ranked first because an image fetch takes
    /// seconds; the paper's first fit has no such rank.
    pub(super) fn candidate_machines<'a>(
        &self,
        pass: &PassContext,
        job: &Job,
        query: &MachineQuery,
        workers: &'a WorkerLedger,
    ) -> MachineQueues<'a> {
        let spec = &job.spec;
        let now = pass.now.steady;
        let mut queues = MachineQueues::new();
        // Both maps are ordered by name. If many machines have free capacity, iterating over both
        // in parallel costs a tenth of looking each machine up.
        let scan_all =
            self.capacity.machines_with_capacity.len() > workers.machines.len() / SCAN_ALL_DIVISOR;
        let mut machines = workers.machines.iter().peekable();
        for (id, free) in &self.capacity.machines_with_capacity {
            if !free.fits(spec) || self.is_reserved_from(id, now, query.tier, job) {
                continue;
            }
            let machine = if scan_all {
                while machines.next_if(|(other, _)| *other < id).is_some() {}
                machines
                    .next_if(|(other, _)| *other == id)
                    .map(|(_, machine)| machine)
            } else {
                workers.machines.get(id)
            };
            let Some(machine) = machine else { continue };
            if query.zone.is_some_and(|zone| zone != machine.zone)
                || !is_allowed(job, machine, workers)
                || !machine.is_usable(now, pass.heartbeat_grace_period)
            {
                continue;
            }
            if let Some(rank) = rank(job, machine, query.image_preference) {
                let queue = queues.entry(&machine.machine_type).or_default();
                queue.push((rank, id.clone()));
            }
        }
        // Each machine takes at least one task, so no type needs more machines than there are
        // waiting tasks. If the zones of tasks are restricted, machines may drop out as tasks are
        // placed, and the later ones are needed instead.
        let machines_max = job.pending_count as usize;
        let may_truncate = machines_max > 0 && !spec.one_zone && !spec.spread;
        for queue in queues.values_mut() {
            if may_truncate && queue.len() > machines_max {
                queue.select_nth_unstable(machines_max - 1);
                queue.truncate(machines_max);
            }
            queue.sort_unstable_by(|a, b| b.cmp(a));
        }
        queues
    }
}

/// The rank of a machine for a job; `None` if the job needs a cached image and the machine has
/// none.
fn rank(job: &Job, machine: &Machine, filter: ImagePreference) -> Option<MachineRank> {
    let status = image_status(machine, &job.spec);
    let image = match (filter, status) {
        (ImagePreference::OnlyCached, ImageStatus::Fetching | ImageStatus::Missing) => return None,
        (ImagePreference::OnlyCached | ImagePreference::CachedFirst, ImageStatus::Cached)
        | (ImagePreference::CachedLast, ImageStatus::Missing) => 0,
        (_, ImageStatus::Fetching) => 1,
        (ImagePreference::CachedFirst, ImageStatus::Missing)
        | (ImagePreference::CachedLast, ImageStatus::Cached) => 2,
    };
    Some(MachineRank {
        has_failures: job.failures_by_machine.contains_key(&machine.id)
            || machine.failures_since_success > 0,
        is_slow: machine.slowness > SLOW_MACHINE_FACTOR,
        image,
        fetches_in_flight: if status == ImageStatus::Missing {
            fetches_in_flight(machine)
        } else {
            0
        },
        run_time_bias: machine.quantized_run_time_bias(),
    })
}
