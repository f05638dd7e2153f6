//! Which machines a job may use, and their order within a machine type.
//!
//! Reads only. The order is first fit by name (the paper's IV.C.1); what goes before the name is
//! said at [`MachineRank`].

use super::Scheduler;
use super::context::PassContext;
use super::feasibility::is_type_allowed;
use super::job_order::Tier;
use crate::jobs::Job;
use crate::wire::JobSpec;
use crate::worker_ledger::{Machine, WorkerLedger};
use std::collections::BTreeMap;
use std::sync::Arc;

/// If more than the machines divided by this have free capacity, all are walked through in order
/// instead of being looked up one by one.
const SCAN_ALL_DIVISOR: usize = 8;
/// A machine on which tasks run this many times as long as expected counts as slow.
const SLOW_MACHINE_FACTOR: f64 = 1.5;

/// Where machines that hold the image stand in the order within a type.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ImagePreference {
    /// No other machines will do.
    OnlyCached,
    /// Before the others: the usual order.
    CachedFirst,
    /// After the others, to spread the image.
    CachedLast,
}

/// Whether a machine has the image of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ImageStatus {
    /// It holds the image.
    Cached,
    /// It holds a task of that image, and so is fetching it.
    Fetching,
    /// It would have to fetch the image.
    Missing,
}

/// What goes before the name in the order within a machine type; the lowest rank comes first. The
/// order of the fields is their weight.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct MachineRank {
    /// A task failed here lately, of this job or of any.
    has_failures: bool,
    is_slow: bool,
    /// 0 to 2; the best status of the image, in the wanted order, is 0.
    image: u8,
    /// Other images that it is fetching, if this one would have to be fetched too: several at the
    /// same time share the rate. 0 otherwise.
    fetches_in_flight: usize,
    run_time_bias: i32,
}

/// A machine with its rank.
pub(super) type RankedMachine = (MachineRank, Arc<str>);

/// The machines with free capacity by machine type. Each queue is in the order of service from its
/// end, so that the first machine is popped.
pub(super) type MachineQueues<'a> = BTreeMap<&'a str, Vec<RankedMachine>>;

/// What is asked of the machines for a job, beside what the job itself requires.
#[derive(Clone, Copy)]
pub(super) struct MachineQuery<'a> {
    /// The tier of the job; reservations for higher tiers are respected.
    pub(super) tier: Tier,
    /// Only machines in this zone.
    pub(super) zone: Option<&'a str>,
    /// How machines that hold the image are ranked.
    pub(super) image_preference: ImagePreference,
}

/// Whether the machine has the image of the job.
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

/// Whether the job allows the machine by its type, rental kind and zone, given everything of the
/// job that may be on machines.
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
            // In another or an unknown zone: the one zone is taken.
            _ if spec.one_zone => return false,
            _ => tasks_here += 1,
        }
    }
    !spec.spread || tasks_here < spec.tasks.div_ceil(2)
}

impl Scheduler {
    /// The machines on which a task of the job fits, by type, each type in its fixed order with the
    /// first machine last. The order is by name after the [`MachineRank`]: a fetch costs seconds, so
    /// machines that hold the image come first (an exception to the paper's plain first fit).
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
        // Both are in the order of names: where much is open they are walked side by side, which
        // costs a tenth of looking each machine up.
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
        // Each machine takes a task at least, so of a type no more are needed than tasks wait; but
        // where the zone decides, later ones may have to stand in for those not allowed.
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

/// The rank of a machine for a job; None if it is filtered out.
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
