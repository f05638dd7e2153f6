//! Why tasks of a job wait, in words for operators. Reads only, and decides nothing.

use super::Scheduler;
use super::context::silence_limit;
use super::feasibility::is_type_allowed;
use super::ranking::is_allowed;
use crate::capacity::Resources;
use crate::clock::Micros;
use crate::jobs::Job;
use crate::settings::Settings;
use crate::wire::{JobKind, MachineType};
use crate::worker_ledger::{Machine, WorkerLedger};

impl Scheduler {
    /// Why tasks of that job wait now; None when none does. The first reason that holds is told: as long as it
    /// does, none after it matters.
    pub fn wait_reason(
        &self,
        now: Micros,
        job: &Job,
        workers: &WorkerLedger,
        types: &[MachineType],
        settings: &Settings,
    ) -> Option<&'static str> {
        let spec = &job.spec;
        let silence = silence_limit(settings);
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
        let fits = |t: &MachineType| is_type_allowed(spec, &t.name) && Resources::of(t).fits(spec);
        let usable = |m: &&Machine| m.is_usable(now, silence) && is_allowed(job, m, workers);
        let of_kind = |m: &&Machine| {
            let kind = types.iter().find(|t| t.name == *m.machine_type);
            is_allowed(job, m, workers) && kind.is_some_and(fits)
        };
        let machines = || workers.machines.values();
        let roomy = |m: &&Machine| {
            let room = self.capacity.machines.get(&m.id).and_then(|s| s.free);
            room.is_some_and(|r| r.fits(spec))
        };
        Some(if job.is_suspect() {
            "its tasks fail on every machine; a few are tried at a time"
        } else if !self.is_within_quota(settings, spec) {
            "its team is at its limit"
        } else if job.startable_tasks(&self.schema) == 0 {
            "its stored record names as many tasks as it can; more start as some end"
        } else if job.not_before > now {
            "it is held for some seconds after a refused start or a word of its cancellation"
        } else if !types.iter().any(fits) {
            "the cloud offers no type that it allows and that a task fits"
        } else if machines().find(of_kind).is_none() {
            "no machine of a type, zone and kind that it allows is there"
        } else if machines().filter(of_kind).find(usable).is_none() {
            "no machine that it allows can take new tasks: silent, in doubt, put aside or about to go"
        } else if spec.kind == JobKind::Gang {
            "there is no room for all its tasks at once"
        } else if machines().filter(usable).any(|m| roomy(&m)) {
            "there is room; it is placed with the next pass"
        } else if self.aged_reservations.contains_key(&job.number) {
            "the machines that it allows are full; one is kept for it while it drains by itself"
        } else {
            "the machines that it allows are full; others go first"
        })
    }
}
