//! Finds machines for the tasks of one job and books them.
//!
//! A [`Booking`] takes the capacity for a task and marks the task as placed in its job; it can be
//! undone. [`plan_tasks`] then turns bookings into [`Placement`]s, which are entered in the worker
//! ledger. No command is sent from here: a task is started only after its placement is stored.

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

/// Placeholder for the attempt number of a booked task, which gets its number when it is planned.
const PROVISIONAL_ATTEMPT: u64 = u64::MAX;

/// A planned start: entered in the worker ledger and in the job, but neither stored nor sent yet.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The machine that the task is to run on.
    pub machine: Arc<str>,
    /// The task.
    pub task: TaskId,
    /// The attempt number of the start.
    pub attempt: u64,
}

/// A task for which capacity on a machine is taken.
pub(super) struct Booking {
    /// Index of the task in its job.
    index: u32,
    machine: Arc<str>,
}

impl Scheduler {
    /// Whether one more task of the job is within the quota of its team.
    pub(super) fn is_within_quota(&self, settings: &Settings, spec: &JobSpec) -> bool {
        let usage = self.capacity.team_usage(&spec.team);
        let Some(team) = settings.team(&spec.team) else {
            return false;
        };
        (team.cpus_max <= 0.0 || usage.cores + spec.cores <= team.cpus_max + EPSILON)
            && (team.gpus_max <= 0.0
                || usage.accelerators + spec.accelerators <= team.gpus_max + EPSILON)
    }

    /// Books machines for as many waiting tasks of the job as fit. For each task a machine type is
    /// drawn in proportion to the pheromone levels, equation (3), and the first machine of that
    /// type is used.
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
        // All placements are stored in the job's header and chunks, whose number and size are
        // limited. A job with more tasks than fit there runs only as many at a time as can be
        // stored.
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

    /// Removes the machines at the front of each queue (the end of its vector) on which a task no
    /// longer fits or is no longer allowed; neither changes back during a pass.
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

    /// Undoes the bookings: returns their capacity and makes the tasks pending again.
    pub(super) fn undo_bookings(&mut self, job: &mut Job, bookings: &mut Vec<Booking>) {
        let spec = job.spec.clone();
        for Booking { index, machine } in bookings.drain(..) {
            job.remove_placement(index, &machine, PROVISIONAL_ATTEMPT);
            self.capacity.deallocate(&machine, &spec);
        }
    }
}

/// Plans the booked tasks in the worker ledger and in the job. Each task gets its own attempt
/// number, or `common_attempt` if that is set: the tasks of a gang identify each other by it.
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
