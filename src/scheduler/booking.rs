//! Finds machines for the tasks of one job and books them, first in the free capacity alone, then
//! in the worker ledger and the job.
//!
//! A booking can be undone until [`plan_tasks`] has turned it into a [`Placement`]. Nothing here is
//! sent to a machine: a start goes out only after the placement is stored.

use super::Scheduler;
use super::context::PassContext;
use super::pheromone::ClassKey;
use super::ranking::{MachineQuery, MachineQueues, is_allowed};
use crate::capacity::EPSILON;
use crate::clock::Micros;
use crate::jobs::Job;
use crate::settings::Settings;
use crate::task_id::TaskId;
use crate::wire::JobSpec;
use crate::worker_ledger::WorkerLedger;
use std::sync::Arc;

/// Stands for the attempt of a booked task, which has no number before it is planned.
const PROVISIONAL_ATTEMPT: u64 = u64::MAX;

/// A start that is planned in the worker ledger and in the job, and not yet stored or sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The machine that the task is to run on.
    pub machine: Arc<str>,
    /// The task.
    pub task: TaskId,
    /// The attempt number of the start.
    pub attempt: u64,
}

/// A task for which a machine was found, with its capacity taken.
pub(super) struct Booking {
    /// Index of the task in its job.
    index: u32,
    machine: Arc<str>,
}

impl Scheduler {
    /// Whether the team of the job may use the capacity for one more task.
    pub(super) fn is_within_quota(&self, settings: &Settings, spec: &JobSpec) -> bool {
        let usage = self.capacity.team_usage(&spec.team);
        let Some(team) = settings.team(&spec.team) else {
            return false;
        };
        (team.cpus_max <= 0.0 || usage.cores + spec.cores <= team.cpus_max + EPSILON)
            && (team.gpus_max <= 0.0
                || usage.accelerators + spec.accelerators <= team.gpus_max + EPSILON)
    }

    /// Finds machines for as many waiting tasks as fit, and books them in the free capacity and in
    /// the job. Each task draws its machine type by pheromone, the paper's (3), and takes the first
    /// machine of that type in its order.
    pub(super) fn find_machines(
        &mut self,
        pass: &PassContext,
        job: &mut Job,
        query: &MachineQuery,
        workers: &WorkerLedger,
    ) -> Vec<Booking> {
        let spec = job.spec.clone();
        let class = ClassKey::of(&spec);
        let mut queues = self.candidate_machines(pass, job, query, workers);
        let mut bookings = Vec::new();
        // Every placement stands in the stored values of the job, which are few and small: a job
        // too wide for them runs as many tasks at a time as fit.
        let mut bytes_left = job.placement_bytes_left(&self.schema);
        let tasks_max = job.trial_tasks.map_or(usize::MAX, |tasks| tasks as usize);
        while let Some(index) = job.next_pending() {
            if !self.is_within_quota(pass.settings, &spec) {
                break;
            }
            self.drop_unfit_machines(&mut queues, job, workers);
            let machine_types: Vec<&str> = queues.keys().copied().collect();
            let Some(machine_type) = self.pheromone.draw(&class, &machine_types, &mut self.rng)
            else {
                break;
            };
            let first = queues.get(machine_type).and_then(|queue| queue.last());
            let Some((_, machine)) = first.cloned() else {
                break;
            };
            if bookings.len() >= tasks_max {
                break;
            }
            match bytes_left.checked_sub(self.schema.placement_bytes(machine.len())) {
                Some(left) => bytes_left = left,
                None => break,
            }
            self.capacity.allocate(&machine, &spec);
            job.add_placement(index, &machine, PROVISIONAL_ATTEMPT);
            bookings.push(Booking { index, machine });
        }
        job.trial_tasks = job
            .trial_tasks
            .map(|tasks| tasks.saturating_sub(bookings.len() as u64));
        bookings
    }

    /// Removes from the front of each queue the machines that no longer fit a task or are no longer
    /// allowed: they stay so for this pass.
    fn drop_unfit_machines(&self, queues: &mut MachineQueues, job: &Job, workers: &WorkerLedger) {
        for queue in queues.values_mut() {
            while let Some((_, id)) = queue.last() {
                let free = self.capacity.machines.get(id).and_then(|entry| entry.free);
                let fits = free.is_some_and(|free| free.fits(&job.spec));
                let machine = workers.machines.get(id);
                if fits && machine.is_some_and(|machine| is_allowed(job, machine, workers)) {
                    break;
                }
                queue.pop();
            }
        }
        queues.retain(|_, queue| !queue.is_empty());
    }

    /// Gives the booked capacity back; the tasks wait again.
    pub(super) fn undo_bookings(&mut self, job: &mut Job, bookings: &mut Vec<Booking>) {
        let spec = job.spec.clone();
        for Booking { index, machine } in bookings.drain(..) {
            job.remove_placement(index, &machine, PROVISIONAL_ATTEMPT);
            self.capacity.deallocate(&machine, &spec);
        }
    }
}

/// Plans the booked tasks in the worker ledger and in the job. Each gets an attempt number of its
/// own, unless there is a common one: the tasks of a gang know each other by it.
pub(super) fn plan_tasks(
    now: Micros,
    job: &mut Job,
    bookings: Vec<Booking>,
    common_attempt: Option<u64>,
    workers: &mut WorkerLedger,
) -> Vec<Placement> {
    let spec = job.spec.clone();
    let mut placed = Vec::new();
    for Booking { index, machine } in bookings {
        let task = TaskId {
            job: job.number,
            index,
        };
        let attempt = common_attempt.unwrap_or_else(|| workers.new_attempt());
        workers.plan_task(&machine, task, attempt, &spec, now);
        job.remove_placement(index, &machine, PROVISIONAL_ATTEMPT);
        job.add_placement(index, &machine, attempt);
        job.unsaved_starts.push((machine.clone(), task, attempt));
        job.mark_dirty(now);
        job.save_urgent = true;
        placed.push(Placement {
            machine,
            task,
            attempt,
        });
    }
    placed
}
