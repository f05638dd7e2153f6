//! What a machine does with its tasks: images, runs, checkpoints, saving, ends.

use crate::machine::{Image, Phase, Status, Task, TaskKey};
use crate::world::{Event, Micros, World, micros};
use rand::Rng;

impl World {
    /// Everything on the machine is gone; checkpoints made on the way are kept.
    pub fn drop_tasks(&mut self, m: usize) {
        for t in std::mem::take(&mut self.machines[m].tasks) {
            if t.is_executing() {
                self.keep_checkpointed_progress(m, &t, false);
                self.checker.left(self.now, m, t.job, t.task_index);
            }
        }
        self.machines[m].images.retain(|i| i.ready_at <= self.now);
    }

    /// What of a running task's progress survives it.
    fn keep_checkpointed_progress(&mut self, m: usize, t: &Task, saved: bool) {
        let mark = self.users.jobs[t.job].mark_s;
        if mark <= 0.0 || t.status == Status::Ended || t.running_since == 0 {
            return;
        }
        let pace = self.run_time_factor(m);
        let ran = self.now.saturating_sub(t.running_since) as f64 / 1e6 / pace;
        let kept = if saved {
            ran
        } else {
            (ran / mark).floor() * mark
        };
        let progress = &mut self.users.jobs[t.job].progress;
        *progress.entry(t.task_index).or_default() += kept;
    }

    fn run_time_factor(&self, m: usize) -> f64 {
        let machine = &self.machines[m];
        let slow = if self.now < machine.slowdown.1 {
            machine.slowdown.0
        } else {
            1.0
        };
        machine.run_time_factor * slow
    }

    pub fn start_task(&mut self, m: usize, key: TaskKey) {
        let (job, task_index, attempt) = key;
        let now = self.now;
        let j = &self.users.jobs[job];
        let class = &self.scenario.classes[j.class];
        let (image, gb) = (j.image.clone(), j.image_gb);
        let kind = &self.scenario.types[self.machines[m].machine_type];
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
        } else if cores + task.cores > kind.cores + 1e-6
            || memory + task.memory_gb > kind.memory_gb + 1e-6
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
        let fetch = gb / kind.fetch_gb_per_s.max(1e-6);
        let held = machine.images.iter_mut().find(|i| i.name == image);
        task.transition_at = match held {
            Some(i) => {
                i.last_used = now;
                i.ready_at.max(now)
            }
            None => {
                let ready = now + micros(fetch * self.rng.random_range(0.75..1.33));
                machine.images.push(Image {
                    name: image,
                    gb,
                    ready_at: ready,
                    last_used: now,
                });
                let mut sum: f64 = machine.images.iter().map(|i| i.gb).sum();
                while sum > kind.cache_gb && machine.images.len() > 1 {
                    let oldest = machine
                        .images
                        .iter()
                        .enumerate()
                        .min_by_key(|i| i.1.last_used);
                    let Some(at) = oldest.map(|o| o.0) else { break };
                    sum -= machine.images.remove(at).gb;
                }
                ready
            }
        };
        let (due, transition) = (task.transition_at, task.transition);
        machine.tasks.push(task);
        self.checker.ordered(now, m, key);
        self.record_in_digest("task", (job as u64) << 32 | u64::from(task_index), attempt);
        self.schedule_task_transition(m, key, due, transition);
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

    /// A task's image is there, it has run, or it has saved.
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
                    .begins(now, place, job, task_index, &self.users);
                let pace = self.run_time_factor(m);
                let sick = now < self.machines[m].tasks_fail_until;
                let j = &self.users.jobs[job];
                let fails = sick || j.mistaken;
                let left =
                    j.run_s(task_index) - j.progress.get(&task_index).copied().unwrap_or(0.0);
                let done = j.done.contains(&task_index);
                let machine = &mut self.machines[m];
                machine.transitions += 1;
                let t = &mut machine.tasks[at];
                t.status = Status::Running;
                t.running_since = now;
                t.transition = machine.transitions;
                t.cause = if fails { "error" } else { "done" };
                let lasts = match (done, fails) {
                    (true, _) => 0.0,
                    (_, true) => 1.0,
                    _ => left.max(0.1) * pace,
                };
                t.transition_at = now + micros(lasts);
                if done {
                    t.cause = "done";
                }
                let (due, transition) = (t.transition_at, t.transition);
                self.schedule_task_transition(m, key, due, transition);
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

    fn end_task(&mut self, m: usize, at: usize, cause: &'static str, saved: bool) {
        let t = &mut self.machines[m].tasks[at];
        let (job, task_index, on) = (t.job, t.task_index, t.is_executing());
        if cause != "done" && on {
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
        if on {
            self.checker.left(self.now, m, job, task_index);
        }
        self.checker.ended(self.now, job, cause, &self.users);
        if cause == "done" && self.users.jobs[job].complete() {
            self.job_ends(job);
        }
    }

    pub fn stop_task(&mut self, m: usize, at: usize, save_time_s: f64) {
        let now = self.now;
        let t = &self.machines[m].tasks[at];
        let j = &self.users.jobs[t.job];
        let saves = j.mark_s > 0.0 && save_time_s >= j.stash_s;
        match t.status {
            Status::Ended => return,
            Status::Running if saves => {
                let save = micros(j.stash_s);
                let machine = &mut self.machines[m];
                machine.transitions += 1;
                let t = &mut machine.tasks[at];
                t.status = Status::Saving;
                t.transition = machine.transitions;
                t.transition_at = now + save;
                let (key, due, transition) = (
                    (t.job, t.task_index, t.attempt),
                    t.transition_at,
                    t.transition,
                );
                self.schedule_task_transition(m, key, due, transition);
            }
            Status::Saving if save_time_s > 0.0 => return,
            Status::Fetching => {
                let job = t.job;
                self.end_task(m, at, "stopped", false);
                // The fetch is given up when no task waits for it any more.
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
