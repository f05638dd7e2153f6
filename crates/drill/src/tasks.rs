//! Task execution on a machine: image fetch, run, checkpoints, saving and end.

use crate::machine::{Image, Phase, Status, Task, TaskKey};
use crate::world::{Event, Micros, World, micros};
use rand::Rng;

impl World {
    /// Kills all tasks on a machine; the progress up to their last checkpoints is kept.
    pub fn drop_tasks(&mut self, m: usize) {
        for t in std::mem::take(&mut self.machines[m].tasks) {
            if t.is_executing() {
                self.keep_checkpointed_progress(m, &t, false);
                self.checker.task_left(self.now, m, t.job, t.task_index);
            }
        }
        self.machines[m].images.retain(|i| i.ready_at <= self.now);
    }

    /// Records the progress of a task that survives its end: all of it if it saved, else up to its last checkpoint.
    fn keep_checkpointed_progress(&mut self, m: usize, t: &Task, saved: bool) {
        let checkpoint_interval = self.users.jobs[t.job].checkpoint_s;
        if checkpoint_interval <= 0.0 || t.status == Status::Ended || t.running_since == 0 {
            return;
        }
        let run_time_factor = self.run_time_factor(m);
        let ran_s = self.now.saturating_sub(t.running_since) as f64 / 1e6 / run_time_factor;
        let kept_s = if saved {
            ran_s
        } else {
            (ran_s / checkpoint_interval).floor() * checkpoint_interval
        };
        let progress = &mut self.users.jobs[t.job].progress;
        *progress.entry(t.task_index).or_default() += kept_s;
    }

    /// Returns how much longer tasks run on this machine now than on one of usual speed.
    fn run_time_factor(&self, m: usize) -> f64 {
        let machine = &self.machines[m];
        let slowdown = if self.now < machine.slowdown.1 {
            machine.slowdown.0
        } else {
            1.0
        };
        machine.run_time_factor * slowdown
    }

    /// Starts an attempt on a machine, or refuses it and records the cause.
    pub fn start_task(&mut self, m: usize, key: TaskKey) {
        let (job, task_index, attempt) = key;
        let now = self.now;
        let j = &self.users.jobs[job];
        let class = &self.scenario.classes[j.class];
        let (image, gb) = (j.image.clone(), j.image_gb);
        let machine_type = &self.scenario.types[self.machines[m].machine_type];
        let machine = &mut self.machines[m];
        machine.transitions += 1;
        let mut task = Task {
            job,
            task_index,
            attempt,
            status: Status::Fetching,
            cause: "",
            saved: false,
            transition_at: 0,
            transition: machine.transitions,
            running_since: 0,
            cores: class.cores,
            memory_gb: class.memory_gb,
        };
        let same = |t: &Task| t.job == job && t.task_index == task_index && t.holds_resources();
        let (cores, memory) = machine
            .tasks
            .iter()
            .filter(|t| t.holds_resources())
            .fold((0.0, 0.0), |s, t| (s.0 + t.cores, s.1 + t.memory_gb));
        let refused = if j.submitted.is_none() {
            Some("unknown")
        } else if machine.tasks.iter().any(same) {
            Some("in_use")
        } else if cores + task.cores > machine_type.cores + 1e-6
            || memory + task.memory_gb > machine_type.memory_gb + 1e-6
        {
            Some("no_room")
        } else {
            None
        };
        if let Some(cause) = refused {
            (task.status, task.cause) = (Status::Ended, cause);
            machine.tasks.push(task);
            self.checker.start_refused(cause);
            return self.schedule_early_heartbeat(m);
        }
        let fetch_s = gb / machine_type.fetch_gb_per_s.max(1e-6);
        let cached = machine.images.iter_mut().find(|i| i.name == image);
        task.transition_at = match cached {
            Some(i) => {
                i.last_used = now;
                i.ready_at.max(now)
            }
            None => {
                let ready = now + micros(fetch_s * self.rng.random_range(0.75..1.33));
                machine.images.push(Image {
                    name: image,
                    size_gb: gb,
                    ready_at: ready,
                    last_used: now,
                });
                let mut cached_gb: f64 = machine.images.iter().map(|i| i.size_gb).sum();
                while cached_gb > machine_type.cache_gb && machine.images.len() > 1 {
                    let oldest = machine
                        .images
                        .iter()
                        .enumerate()
                        .min_by_key(|i| i.1.last_used);
                    let Some(at) = oldest.map(|o| o.0) else { break };
                    cached_gb -= machine.images.remove(at).size_gb;
                }
                ready
            }
        };
        let (transition_at, transition) = (task.transition_at, task.transition);
        machine.tasks.push(task);
        self.checker.start_executed(now, m, key);
        self.record_in_digest("task", (job as u64) << 32 | u64::from(task_index), attempt);
        self.schedule_task_transition(m, key, transition_at, transition);
        self.schedule_early_heartbeat(m);
    }

    pub fn schedule_task_transition(
        &mut self,
        machine: usize,
        key: TaskKey,
        at: Micros,
        transition: u64,
    ) {
        let (job, task_index, attempt) = key;
        let event = Event::TaskTransition {
            machine,
            job,
            task_index,
            attempt,
            transition,
        };
        self.schedule_at(at, event);
    }

    /// Moves a task to its next status: its image has been fetched, its run is over, or it has saved.
    pub fn task_transition(&mut self, m: usize, key: TaskKey, transition: u64) {
        let now = self.now;
        let (job, task_index, _) = key;
        let Some(at) = self.machines[m].find(key) else {
            return;
        };
        let t = &self.machines[m].tasks[at];
        if t.transition != transition || self.machines[m].phase != Phase::Up {
            return;
        }
        match t.status {
            Status::Fetching => {
                let zone = self.machines[m].zone;
                let pool = &self.scenario.pools[self.machines[m].pool];
                let place = (m, zone, pool.spot);
                self.checker
                    .task_started(now, place, job, task_index, &self.users);
                let run_time_factor = self.run_time_factor(m);
                let machine_fails_tasks = now < self.machines[m].tasks_fail_until;
                let j = &self.users.jobs[job];
                let fails = machine_fails_tasks || j.mistaken;
                let remaining_s =
                    j.run_s(task_index) - j.progress.get(&task_index).copied().unwrap_or(0.0);
                let done = j.done.contains(&task_index);
                let machine = &mut self.machines[m];
                machine.transitions += 1;
                let t = &mut machine.tasks[at];
                t.status = Status::Running;
                t.running_since = now;
                t.transition = machine.transitions;
                t.cause = if fails { "error" } else { "done" };
                let run_time_s = match (done, fails) {
                    (true, _) => 0.0,
                    (_, true) => 1.0,
                    _ => remaining_s.max(0.1) * run_time_factor,
                };
                t.transition_at = now + micros(run_time_s);
                if done {
                    t.cause = "done";
                }
                let (transition_at, transition) = (t.transition_at, t.transition);
                self.schedule_task_transition(m, key, transition_at, transition);
            }
            Status::Running => {
                let cause = t.cause;
                self.end_task(m, at, cause, false);
            }
            Status::Saving => {
                self.end_task(m, at, "stopped", true);
            }
            Status::Ended => {}
        }
        self.schedule_early_heartbeat(m);
    }

    /// Ends a task, and its job if this was the last task to complete.
    fn end_task(&mut self, m: usize, at: usize, cause: &'static str, saved: bool) {
        let t = &mut self.machines[m].tasks[at];
        let (job, task_index, was_executing) = (t.job, t.task_index, t.is_executing());
        if cause != "done" && was_executing {
            let t = self.machines[m].tasks.remove(at);
            self.keep_checkpointed_progress(m, &t, saved);
            self.machines[m].tasks.insert(at, t);
        }
        let t = &mut self.machines[m].tasks[at];
        t.status = Status::Ended;
        t.cause = cause;
        t.saved = saved;
        if cause == "done" {
            self.users.jobs[job].done.insert(task_index);
        }
        if was_executing {
            self.checker.task_left(self.now, m, job, task_index);
        }
        self.checker.task_ended(self.now, job, cause, &self.users);
        if cause == "done" && self.users.jobs[job].complete() {
            self.cancel_at_end(job);
        }
    }

    /// Stops a task, which saves first if it can within `grace_s` seconds.
    pub fn stop_task(&mut self, m: usize, at: usize, grace_s: f64) {
        let now = self.now;
        let t = &self.machines[m].tasks[at];
        let j = &self.users.jobs[t.job];
        let saves = j.checkpoint_s > 0.0 && grace_s >= j.save_s;
        match t.status {
            Status::Ended => return,
            Status::Running if saves => {
                let save = micros(j.save_s);
                let machine = &mut self.machines[m];
                machine.transitions += 1;
                let t = &mut machine.tasks[at];
                t.status = Status::Saving;
                t.transition = machine.transitions;
                t.transition_at = now + save;
                let (key, transition_at, transition) = (
                    (t.job, t.task_index, t.attempt),
                    t.transition_at,
                    t.transition,
                );
                self.schedule_task_transition(m, key, transition_at, transition);
            }
            Status::Saving if grace_s > 0.0 => return,
            Status::Fetching => {
                let job = t.job;
                self.end_task(m, at, "stopped", false);
                // The fetch is cancelled if no other task waits for the image.
                let image = self.users.jobs[job].image.clone();
                let jobs = &self.users.jobs;
                let machine = &mut self.machines[m];
                let fetching = |t: &Task| t.status == Status::Fetching;
                let mut waiting = machine.tasks.iter().filter(|t| fetching(t));
                if !waiting.any(|t| jobs[t.job].image == image) {
                    machine
                        .images
                        .retain(|i| i.name != image || i.ready_at <= now);
                }
            }
            _ => self.end_task(m, at, "stopped", false),
        }
        self.schedule_early_heartbeat(m);
    }
}
