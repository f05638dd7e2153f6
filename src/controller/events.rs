//! What the watch and the workers tell, into the jobs; machines and jobs that fail.

use super::*;
use crate::workers::{LEASE_OVER, MACHINE_GONE, NOT_THERE};

impl Node {
    pub(super) fn watched(&mut self, reply: Reply, sent: Micros) {
        let now = self.now.steady;
        let Some(led) = &mut self.led else { return };
        led.watching = false;
        if !matches!(reply, Reply::Events { .. } | Reply::TooOld) {
            led.watch_at = now + 200 * MILLI;
            return;
        }
        self.jobs_changed(reply, sent);
    }

    /// The answer to a question for what has changed by now.
    pub(super) fn caught_up(&mut self, reply: Reply, sent: Micros) {
        if let Some(led) = &mut self.led {
            led.informed.answered();
        }
        self.jobs_changed(reply, sent);
    }

    /// All changes of the live jobs, up to the sending of the question at least.
    fn jobs_changed(&mut self, reply: Reply, sent: Micros) {
        let now = self.now.steady;
        let Some(led) = &mut self.led else { return };
        let (mut events, epoch) = match reply {
            Reply::Events { events, epoch } => (events, epoch),
            Reply::TooOld => {
                // Too much has changed unseen: all is read again as by a fresh leader. Under a
                // new term, since the ledger starts anew, and with it the attempt numbers and
                // the fences: under the old one a start still in flight could pass for a new one.
                log::info!("the watch fell behind; reading all jobs again under a new term");
                return self.resign(0);
            }
            _ => return,
        };
        // Two questions may be under way: what the one has told is not told anew by the other, older one.
        let known = led.jobs_epoch;
        events.retain(|e| e.stamp > known);
        led.jobs_epoch = epoch.max(known);
        led.informed.proved(sent);
        for e in &events {
            let Some(uid) = e.path.strip_prefix(LIVE) else {
                continue;
            };
            let old = match e.value {
                Some(_) => led.stamps.insert(uid.into(), e.stamp),
                None => led.stamps.remove(uid),
            };
            if let Some(old) = old {
                led.jobs_sum.toggle(&e.path, old);
            }
            if e.value.is_some() {
                led.jobs_sum.toggle(&e.path, e.stamp);
            }
        }
        let mut cancelled = Vec::new();
        for e in events {
            let Some(uid) = e.path.strip_prefix(LIVE) else {
                continue;
            };
            match e.value {
                Some(value) => {
                    if led.table.get(uid).is_some() {
                        continue;
                    }
                    // A job that we have moved on already is told late.
                    if self.finals.get(uid).is_some() {
                        continue;
                    }
                    match layout::read(&value) {
                        Ok((record, pieces)) => {
                            log::info!(
                                "job {uid} accepted by {}: {} of {}, {} tasks, due {:?}",
                                record.node,
                                record.spec.class,
                                record.spec.team,
                                record.spec.tasks,
                                record.spec.deadline_s
                            );
                            Self::adopt(led, now, &record, pieces, e.stamp, false);
                            Self::chain(led, &self.cloud, &record.spec.uid);
                        }
                        Err(error) => log::error!("job {uid} can't be read: {error}"),
                    }
                }
                None => cancelled.push((uid.to_owned(), e.stamp)),
            }
        }
        for (uid, stamp) in cancelled {
            // Its end may be our own, told before the answer to the write. A write under way that does not
            // end it can't have removed it: were that left to the write's own answer, starts of the job that
            // were stored before would go out meanwhile.
            if let Some(job) = led.table.get_mut(&uid)
                && stamp > job.stamp
                && !(job.saving && job.is_done())
            {
                Self::mark_cancelled(led, &uid);
            }
        }
        led.place_at = led.place_at.or(Some(now + BATCH));
        self.take_events();
    }

    /// Another node has ended the job for its user: no task of it may start or stay.
    pub(super) fn mark_cancelled(led: &mut Led, uid: &str) {
        let Some(job) = led.table.get_mut(uid) else {
            return;
        };
        if !job.cancelled {
            log::info!("job {uid} was cancelled");
            job.cancelled = true;
            Self::halt_all(&mut led.workers, job);
            // What its end means for those that need it is read from the store.
            let uid = job.spec.uid.clone();
            led.pipelines.forget(&uid);
            led.pipelines.look(&uid);
        }
    }

    /// Stops whatever may be on machines of a job.
    pub(super) fn halt_all(workers: &mut Workers, job: &Job) {
        for (part, at) in &job.places {
            let key = TaskKey {
                job: job.number,
                part: *part,
            };
            for (machine, attempt) in at {
                workers.halt(machine, key, *attempt, 0.0, Stop::Cancelled);
            }
        }
    }

    /// What the ledger learned, into the jobs.
    pub(super) fn take_events(&mut self) {
        let now = self.now;
        let Some(led) = &mut self.led else { return };
        while !led.workers.events.is_empty() {
            for e in std::mem::take(&mut led.workers.events) {
                Self::task_event(led, &self.cloud, now, e);
            }
            led.place_at = led.place_at.or(Some(now.steady + BATCH));
        }
    }

    pub(super) fn task_event(led: &mut Led, cloud: &Cloud, now: Now, e: Event) {
        let Some(job) = led.table.by_number.get_mut(&e.key.job) else {
            // The job is over: an ending of it is of no use to anybody.
            if matches!(e.what, What::Ended { .. }) {
                led.workers.allow_reap(&e.machine, e.key, e.attempt);
            }
            return;
        };
        let part = e.key.part;
        let spec = job.spec.clone();
        match e.what {
            What::Seen | What::Running => {
                if e.what == What::Running {
                    led.service.note(&spec, Fate::Started);
                }
                log::debug!(
                    "{}/{part} try {} runs on {}",
                    spec.uid,
                    e.attempt,
                    e.machine
                );
                job.place(part, &e.machine, e.attempt);
                if job.cancelled || job.done.contains(&part) {
                    let why = if job.cancelled {
                        Stop::Cancelled
                    } else {
                        Stop::Needless
                    };
                    led.workers.halt(&e.machine, e.key, e.attempt, 0.0, why);
                }
                job.touch(now.steady);
            }
            What::Shown => job.unplace(part, &e.machine, 0),
            What::Gone { why } => {
                job.unplace(part, &e.machine, e.attempt);
                match why {
                    _ if e.attempt == 0 || job.cancelled || job.done.contains(&part) => {}
                    LEASE_OVER => led.service.note(&spec, Fate::Lease),
                    MACHINE_GONE | NOT_THERE => led.service.note(&spec, Fate::Died),
                    _ => {}
                }
                if e.attempt != 0 {
                    log::info!(
                        "{}/{part} try {} left {}: {why}",
                        spec.uid,
                        e.attempt,
                        e.machine
                    );
                }
                if why != "withdrawn" {
                    job.note(Ending {
                        part,
                        machine: e.machine.to_string(),
                        cause: why.to_owned(),
                        at: now.wall,
                    });
                }
                job.touch(now.steady);
            }
            What::Ended {
                cause,
                saved,
                ran,
                stop,
            } => {
                job.note(Ending {
                    part,
                    machine: e.machine.to_string(),
                    cause: cause.to_string(),
                    at: now.wall,
                });
                log::info!(
                    "{}/{part} try {} ended on {}: {cause} saved={saved} ran={}ms",
                    spec.uid,
                    e.attempt,
                    e.machine,
                    ran / MILLI
                );
                let done = cause == "done" && !job.cancelled;
                match &*cause {
                    "done" if job.cancelled || job.done.contains(&part) => {}
                    "done" => led.service.note(&spec, Fate::Done),
                    "stopped" => led.service.note(&spec, Fate::Stopped(stop)),
                    "error" => led.service.note(&spec, Fate::Failed),
                    _ => {}
                }
                if done {
                    job.finish_part(part);
                } else if saved {
                    job.resumed.insert(part);
                }
                job.unplace(part, &e.machine, e.attempt);
                job.touch(now.steady);
                if done {
                    if job.stored_done.contains(&part) || planted(Bug::ReapedEarly) {
                        led.workers.allow_reap(&e.machine, e.key, e.attempt);
                    } else {
                        job.unreaped.push((e.machine.clone(), part, e.attempt));
                    }
                    job.pressing |= job.is_done();
                    led.save_soon |= job.pressing;
                    let others: Vec<_> = job.places.get(&part).cloned().unwrap_or_default();
                    for (machine, attempt) in others {
                        led.workers
                            .halt(&machine, e.key, attempt, 0.0, Stop::Needless);
                    }
                } else {
                    // Nothing depends on this attempt any more, and its number is never reused.
                    led.workers.allow_reap(&e.machine, e.key, e.attempt);
                }
                Self::judge(led, cloud, now.steady, &e.machine, e.key, &cause, ran);
            }
        }
    }

    /// Tells machines that fail or slow everything from jobs that fail everywhere.
    pub(super) fn judge(
        led: &mut Led,
        cloud: &Cloud,
        now: Micros,
        machine: &Arc<str>,
        key: TaskKey,
        cause: &str,
        ran: Micros,
    ) {
        let Some(job) = led.table.by_number.get_mut(&key.job) else {
            return;
        };
        let spec = job.spec.clone();
        let Some(m) = led.workers.machines.get_mut(machine) else {
            return;
        };
        match cause {
            "done" => {
                led.scheduler.ended(now, spec.cores);
                m.error_streak = 0;
                m.failed_jobs.clear();
                if ran > 0 && !job.resumed.contains(&key.part) {
                    let ln = (ran as f64).ln();
                    if job.runs.1 > 0.0 {
                        // The fewer siblings, the less their mean says.
                        let weight = job.runs.1 / (job.runs.1 + 1.0);
                        m.pace.0 += weight * (ln - job.runs.0 / job.runs.1).clamp(-1.0, 1.0);
                        m.pace.1 += weight;
                    }
                    job.runs.0 += ln;
                    job.runs.1 += 1.0;
                    let ratio = ran as f64 / led.scheduler.expected_run(&spec) as f64;
                    m.slowness = 0.7 * m.slowness + 0.3 * ratio.clamp(0.2, 5.0);
                    if let Some(t) = cloud.sku(&m.build) {
                        let spot = m.spot;
                        led.scheduler.task_done(&spec, t, spot, ran);
                    }
                }
            }
            "error" => {
                *job.errors.entry(machine.clone()).or_default() += 1;
                job.failed_after = job.failed_after.max(ran);
                if job.suspect() {
                    // It fails wherever it goes: the job's mistake. It waits longer and longer,
                    // and the machines it failed on are not to blame.
                    if now >= job.not_before {
                        job.setbacks += 1;
                        job.not_before = now + (SECOND << job.setbacks.min(5)).min(30 * SECOND);
                    }
                    for id in job.errors.keys() {
                        if let Some(m) = led.workers.machines.get_mut(id) {
                            m.forgive(key.job, now);
                        }
                    }
                } else if m.blame(key.job, !job.done.is_empty(), now) {
                    log::info!("{machine} fails what it is given; no new tasks for a while");
                }
            }
            "no_room" => m.quarantined_until = m.quarantined_until.max(now + SECOND),
            "unknown" => job.not_before = now + 2 * SECOND,
            _ => {}
        }
    }
}
