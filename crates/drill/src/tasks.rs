//! What a machine does with its tasks: images, runs, checkpoints, saving, ends.

use crate::machine::{Image, Key, Phase, Status, Task};
use crate::world::{Event, Micros, World, micros};
use rand::Rng;

impl World {
    /// Everything on the machine is gone; checkpoints made on the way are kept.
    pub fn drop_tasks(&mut self, m: usize) {
        for t in std::mem::take(&mut self.machines[m].tasks) {
            if t.is_on() {
                self.keep_marks(m, &t, false);
                self.check.task_left(self.now, m, t.job, t.part);
            }
        }
        self.machines[m].images.retain(|i| i.ready <= self.now);
    }

    /// What of a running task's progress survives it.
    fn keep_marks(&mut self, m: usize, t: &Task, saved: bool) {
        let mark = self.users.jobs[t.job].checkpoint_s;
        if mark <= 0.0 || t.status == Status::Ended || t.run_since == 0 {
            return;
        }
        let pace = self.pace(m);
        let ran = self.now.saturating_sub(t.run_since) as f64 / 1e6 / pace;
        let kept = if saved {
            ran
        } else {
            (ran / mark).floor() * mark
        };
        let progress = &mut self.users.jobs[t.job].progress;
        *progress.entry(t.part).or_default() += kept;
    }

    fn pace(&self, m: usize) -> f64 {
        let machine = &self.machines[m];
        let slow = if self.now < machine.slow.1 {
            machine.slow.0
        } else {
            1.0
        };
        machine.speed * slow
    }

    pub fn start(&mut self, m: usize, key: Key) {
        let (job, part, attempt) = key;
        let now = self.now;
        let j = &self.users.jobs[job];
        let class = &self.day.classes[j.class];
        let (image, gb) = (j.image.clone(), j.image_gb);
        let kind = &self.day.types[self.machines[m].kind];
        let machine = &mut self.machines[m];
        machine.turns += 1;
        let mut task = Task {
            job,
            part,
            attempt,
            status: Status::Fetching,
            cause: "",
            saved: false,
            due: 0,
            turn: machine.turns,
            run_since: 0,
            cores: class.cores,
            memory_gb: class.memory_gb,
        };
        let same = |t: &Task| t.job == job && t.part == part && t.holds();
        let (cores, memory) = machine
            .tasks
            .iter()
            .filter(|t| t.holds())
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
            self.check.start_refused(cause);
            return self.changed(m);
        }
        let fetch = gb / kind.fetch_gb_per_s.max(1e-6);
        let held = machine.images.iter_mut().find(|i| i.name == image);
        task.due = match held {
            Some(i) => {
                i.used = now;
                i.ready.max(now)
            }
            None => {
                let ready = now + micros(fetch * self.rng.random_range(0.75..1.33));
                machine.images.push(Image {
                    name: image,
                    gb,
                    ready,
                    used: now,
                });
                let mut sum: f64 = machine.images.iter().map(|i| i.gb).sum();
                while sum > kind.cache_gb && machine.images.len() > 1 {
                    let oldest = machine.images.iter().enumerate().min_by_key(|i| i.1.used);
                    let Some(at) = oldest.map(|o| o.0) else { break };
                    sum -= machine.images.remove(at).gb;
                }
                ready
            }
        };
        let (due, turn) = (task.due, task.turn);
        machine.tasks.push(task);
        self.check.start_executed(now, m, key);
        self.note("task", (job as u64) << 32 | u64::from(part), attempt);
        self.task_at(m, key, due, turn);
        self.changed(m);
    }

    pub fn task_at(&mut self, machine: usize, key: Key, at: Micros, turn: u64) {
        let (job, part, attempt) = key;
        let event = Event::Task {
            machine,
            job,
            part,
            attempt,
            turn,
        };
        self.at(at, event);
    }

    /// A task's image is there, it has run, or it has saved.
    pub fn task_due(&mut self, m: usize, key: Key, turn: u64) {
        let now = self.now;
        let (job, part, _) = key;
        let Some(at) = self.machines[m].find(key) else {
            return;
        };
        let t = &self.machines[m].tasks[at];
        if t.turn != turn || self.machines[m].phase != Phase::Up {
            return;
        }
        match t.status {
            Status::Fetching => {
                let zone = self.machines[m].zone;
                let pool = &self.day.pools[self.machines[m].pool];
                let place = (m, zone, pool.spot);
                self.check.task_started(now, place, job, part, &self.users);
                let pace = self.pace(m);
                let sick = now < self.machines[m].sick_until;
                let j = &self.users.jobs[job];
                let fails = sick || j.mistaken;
                let left = j.run_s(part) - j.progress.get(&part).copied().unwrap_or(0.0);
                let done = j.done.contains(&part);
                let machine = &mut self.machines[m];
                machine.turns += 1;
                let t = &mut machine.tasks[at];
                t.status = Status::Running;
                t.run_since = now;
                t.turn = machine.turns;
                t.cause = if fails { "error" } else { "done" };
                let lasts = match (done, fails) {
                    (true, _) => 0.0,
                    (_, true) => 1.0,
                    _ => left.max(0.1) * pace,
                };
                t.due = now + micros(lasts);
                if done {
                    t.cause = "done";
                }
                let (due, turn) = (t.due, t.turn);
                self.task_at(m, key, due, turn);
            }
            Status::Running => {
                let cause = t.cause;
                self.task_ends(m, at, cause, false);
            }
            Status::Saving => {
                self.task_ends(m, at, "stopped", true);
            }
            Status::Ended => {}
        }
        self.changed(m);
    }

    fn task_ends(&mut self, m: usize, at: usize, cause: &'static str, saved: bool) {
        let t = &mut self.machines[m].tasks[at];
        let (job, part, on) = (t.job, t.part, t.is_on());
        if cause != "done" && on {
            let t = self.machines[m].tasks.remove(at);
            self.keep_marks(m, &t, saved);
            self.machines[m].tasks.insert(at, t);
        }
        let t = &mut self.machines[m].tasks[at];
        t.status = Status::Ended;
        t.cause = cause;
        t.saved = saved;
        if cause == "done" {
            self.users.jobs[job].done.insert(part);
        }
        if on {
            self.check.task_left(self.now, m, job, part);
        }
        self.check.task_ended(self.now, job, cause, &self.users);
        if cause == "done" && self.users.jobs[job].complete() {
            self.cancel_at_end(job);
        }
    }

    pub fn halt(&mut self, m: usize, at: usize, wind_down_s: f64) {
        let now = self.now;
        let t = &self.machines[m].tasks[at];
        let j = &self.users.jobs[t.job];
        let saves = j.checkpoint_s > 0.0 && wind_down_s >= j.save_s;
        match t.status {
            Status::Ended => return,
            Status::Running if saves => {
                let save = micros(j.save_s);
                let machine = &mut self.machines[m];
                machine.turns += 1;
                let t = &mut machine.tasks[at];
                t.status = Status::Saving;
                t.turn = machine.turns;
                t.due = now + save;
                let (key, due, turn) = ((t.job, t.part, t.attempt), t.due, t.turn);
                self.task_at(m, key, due, turn);
            }
            Status::Saving if wind_down_s > 0.0 => return,
            Status::Fetching => {
                let job = t.job;
                self.task_ends(m, at, "stopped", false);
                // The fetch is given up when no task waits for it any more.
                let image = self.users.jobs[job].image.clone();
                let jobs = &self.users.jobs;
                let machine = &mut self.machines[m];
                let fetching = |t: &Task| t.status == Status::Fetching;
                let mut waiting = machine.tasks.iter().filter(|t| fetching(t));
                if !waiting.any(|t| jobs[t.job].image == image) {
                    machine.images.retain(|i| i.name != image || i.ready <= now);
                }
            }
            _ => self.task_ends(m, at, "stopped", false),
        }
        self.changed(m);
    }
}
