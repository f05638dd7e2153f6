//! Jobs that wait for others, on the leader: what frees them, and what ends them.

use super::*;

/// The largest part of the queue of users' rank that cascades take.
const CASCADES_WAITING: usize = 3;

impl Node {
    /// Takes a job that waits for others into the graph.
    pub(super) fn chain(led: &mut Led, cloud: &Cloud, uid: &Arc<str>) {
        let Some(job) = led.table.get(uid).filter(|j| j.waits() && !j.cancelled) else {
            return;
        };
        let (spec, accepted) = (job.spec.clone(), job.accepted);
        let table = &led.table;
        led.pipelines.add(&spec, accepted, |need| {
            table.get(need).is_some_and(|j| !j.cancelled)
        });
        let scheduler = &led.scheduler;
        led.pipelines.pass_back(&mut led.table, uid, |spec| {
            step_time(scheduler, cloud, spec)
        });
    }

    /// Asks how needed jobs ended that are not live any more.
    pub(super) fn ask_looks(&mut self) {
        let t = self.now.steady;
        let Some(led) = &mut self.led else { return };
        if !led.pipelines.looks_wait() {
            return;
        }
        let term = led.term;
        for uid in led.pipelines.looks(t) {
            let key = over_key(&uid);
            self.ask(For::Look { term, uid }, Op::Get(key), LEADER_PATIENCE);
        }
    }

    pub(super) fn looked(&mut self, uid: &Arc<str>, reply: Reply) {
        let now = self.now.steady;
        let Some(led) = &mut self.led else { return };
        led.pipelines.looked(uid);
        match reply {
            Reply::Item(item) => match serde_json::from_str::<Final>(item.value.get()) {
                Ok(end) => Self::need_over(led, now, uid, &end),
                Err(e) => {
                    // It proves nothing: those that need it go on waiting.
                    log::error!("{} can't be read: {e}", item.path);
                    led.pipelines.look_later(now, uid);
                }
            },
            // Live after all: its end will be told.
            Reply::Absent if led.table.get(uid).is_some_and(|j| !j.cancelled) => {}
            _ => led.pipelines.look_later(now, uid),
        }
    }

    /// A job that others may wait for is stored as over.
    pub(super) fn need_over(led: &mut Led, now: Micros, uid: &Arc<str>, end: &Final) {
        led.pipelines.forget(uid);
        if end.is_done() {
            return Self::need_done(led, now, uid, end.over);
        }
        let root: Arc<str> = end.because.as_deref().map_or(uid.clone(), Into::into);
        for dependent in led.pipelines.cancelled(uid) {
            led.doomed.push_back((dependent, root.clone()));
        }
    }

    /// The end of a job is stored: what needs nothing more is placed now, not at the round.
    pub(super) fn need_done(led: &mut Led, now: Micros, uid: &Arc<str>, at: Micros) {
        for (dependent, ready) in led.pipelines.done(uid, at) {
            if let Some(job) = led.table.get_mut(&dependent) {
                log::info!("job {dependent} waits for no other job any more");
                job.ready = Some(ready.max(job.accepted));
                led.place_at = Some(now);
            }
        }
    }

    /// Ends the jobs that need a cancelled one, in the rank of the user who cancelled it.
    pub(super) fn cascade(&mut self) {
        let wall = self.now.wall;
        let layout = self.layout();
        if self.store.waiting(Rank::User) >= CASCADES_WAITING {
            return;
        }
        let Some(led) = &mut self.led else { return };
        if led.doomed.is_empty() {
            return;
        }
        let (term, stamp) = (led.term, led.stamp);
        let mut later = VecDeque::new();
        let mut txn = Txn::default().require(LEADER_KEY, stamp);
        let mut items = Vec::new();
        while let Some((uid, root)) = led.doomed.pop_front() {
            let Some(job) = led.table.get_mut(&uid).filter(|j| !j.cancelled) else {
                continue;
            };
            if txn.changes.len() + 2 > layout.txn_ops || job.saving || job.reread {
                later.push_back((uid, root));
                continue;
            }
            if !job.waits() {
                // It was let go on: then all that it needs were done, and their ends don't change.
                log::error!("job {uid} runs, though {root}, which it needs, was cancelled");
                continue;
            }
            job.saving = true;
            let mut end = job.record().finish("cancelled", wall);
            end.because = Some(root.to_string());
            txn = txn
                .require(live_key(&uid), job.stamp)
                .require(over_key(&uid), 0)
                .delete(live_key(&uid))
                .set(over_key(&uid), &end.fit(layout.usable()));
            items.push((uid, root));
        }
        led.doomed = later;
        if !items.is_empty() {
            self.ask(For::Cascade { term, items }, Op::Txn(txn), LEADER_PATIENCE);
        }
    }

    pub(super) fn cascaded(&mut self, items: Vec<(Arc<str>, Arc<str>)>, reply: &Reply) {
        let mut reread = Vec::new();
        let Some(led) = &mut self.led else { return };
        for (uid, root) in items {
            if let Some(job) = led.table.get_mut(&uid) {
                job.saving = false;
            }
            match reply {
                Reply::Applied { .. } => {
                    log::info!("job {uid} is cancelled with {root}, which it needs");
                    led.pipelines.forget(&uid);
                    for dependent in led.pipelines.cancelled(&uid) {
                        led.doomed.push_back((dependent, root.clone()));
                    }
                    led.table.remove(&uid);
                }
                Reply::Unavailable => led.doomed.push_back((uid, root)),
                Reply::Conflict { failed } => {
                    if failed.contains(&live_key(&uid)) || failed.contains(&over_key(&uid)) {
                        reread.push(uid.clone());
                    }
                    led.doomed.push_back((uid, root));
                }
                // It may have been applied.
                _ => {
                    reread.push(uid.clone());
                    led.doomed.push_back((uid, root));
                }
            }
        }
        for uid in reread {
            self.ask_reread(uid, false);
        }
    }

    /// What the leader knows of a job's pipeline.
    pub(super) fn inspect_pipeline(&self, uid: &str) -> Value {
        let Some((led, job)) = self
            .led
            .as_ref()
            .and_then(|led| Some((led, led.table.get(uid)?)))
        else {
            return Value::Null;
        };
        let unmet = led.pipelines.unmet(uid);
        let state = |need: &Arc<str>| match led.table.get(need) {
            _ if !unmet.contains(need) => "done",
            Some(j) if j.cancelled => "cancelled",
            Some(j) if j.waits() => "waits for other jobs",
            Some(j) if j.places.is_empty() => "pending",
            Some(_) => "running",
            None => "not known yet",
        };
        let needs: BTreeMap<&str, &str> = job
            .spec
            .waits_on
            .iter()
            .map(|need| (&**need, state(need)))
            .collect();
        let run = step_time(&led.scheduler, &self.cloud, &job.spec);
        json!({"waits_on": needs, "waits": job.waits(), "needed_by": led.pipelines.dependents(uid),
               "priority": job.priority(), "latest_start": latest_start(job, run),
               "ready": job.ready, "now": self.now.wall, "waits_because": self.why_waits(led, job)})
    }
}

/// What a step of a pipeline takes from its release to its end: fetch, and the slowest of its
/// tasks, which run longer than one does on the whole.
fn step_time(scheduler: &Scheduler, cloud: &Cloud, spec: &JobSpec) -> Micros {
    let rates = cloud.types.iter().map(|t| t.fetch_gb_per_s);
    let rate = rates.filter(|r| *r > 0.0).fold(f64::INFINITY, f64::min);
    let run = scheduler.expected_run(spec);
    run + run / 2 + from_secs(spec.image_gb / rate)
}
