//! Explains to operators why tasks of a job are waiting. Changes no state, and no decision depends
//! on the result.

use super::Scheduler;
use super::context::heartbeat_grace_period;
use super::feasibility::is_type_allowed;
use super::ranking::is_allowed;
use crate::capacity::Resources;
use crate::clock::Micros;
use crate::jobs::Job;
use crate::settings::Settings;
use crate::wire::{JobKind, MachineType};
use crate::worker_ledger::{Machine, WorkerLedger};

impl Scheduler {
    /// Why tasks of the job are waiting; `None` if none are. If several reasons apply, the first
    /// one checked is returned: while it applies, the later ones have no effect.
    pub fn wait_reason(
        &self,
        now: Micros,
        job: &Job,
        workers: &WorkerLedger,
        types: &[MachineType],
        settings: &Settings,
    ) -> Option<&'static str> {
        if job.cancelled {
            return (!job.placements.is_empty())
                .then_some("cancelled; its tasks are being stopped");
        }
        if job.waits_for_dependencies() {
            return Some("jobs that it names in waitsOn are not done yet");
        }
        if job.pending_count == 0 {
            return None;
        }
        Some(if job.is_suspect() {
            "its tasks fail on every machine; a few are tried at a time"
        } else if !self.is_within_quota(settings, &job.spec) {
            "its team is at its limit"
        } else if job.startable_tasks(&self.schema) == 0 {
            "its stored record names as many tasks as it can; more start as some end"
        } else if job.not_before > now {
            "it backs off for some seconds after a refused start or a possible cancellation"
        } else {
            self.machine_wait_reason(now, job, workers, types, heartbeat_grace_period(settings))
        })
    }

    /// Why no machine accepts a task of a job that nothing else holds back.
    fn machine_wait_reason(
        &self,
        now: Micros,
        job: &Job,
        workers: &WorkerLedger,
        types: &[MachineType],
        heartbeat_grace_period: Micros,
    ) -> &'static str {
        let spec = &job.spec;
        let fits_type = |machine_type: &MachineType| {
            is_type_allowed(spec, &machine_type.name) && Resources::of(machine_type).fits(spec)
        };
        let is_suitable = |machine: &&Machine| {
            let machine_type = types.iter().find(|t| t.name == *machine.machine_type);
            is_allowed(job, machine, workers) && machine_type.is_some_and(fits_type)
        };
        let is_usable = |machine: &&Machine| {
            machine.is_usable(now, heartbeat_grace_period) && is_allowed(job, machine, workers)
        };
        let has_capacity = |machine: &Machine| {
            let entry = self.capacity.machines.get(&machine.id);
            let free = entry.and_then(|entry| entry.free);
            free.is_some_and(|free| free.fits(spec))
        };
        let machines = || workers.machines.values();
        if !types.iter().any(fits_type) {
            "the cloud offers no type that it allows and that a task fits"
        } else if !machines().any(|machine| is_suitable(&machine)) {
            "no machine of a type, zone and rental kind that it allows is there"
        } else if !machines()
            .filter(is_suitable)
            .any(|machine| is_usable(&machine))
        {
            "no machine that it allows can take new tasks: silent, in doubt, quarantined or about to be reclaimed"
        } else if spec.kind == JobKind::Gang {
            "there is not enough free capacity for all its tasks at once"
        } else if machines().filter(is_usable).any(has_capacity) {
            "there is free capacity; it is placed with the next pass"
        } else if self.aged_reservations.contains_key(&job.number) {
            "the machines that it allows are full; one is reserved for it while its tasks end by themselves"
        } else {
            "the machines that it allows are full; others go first"
        }
    }
}
