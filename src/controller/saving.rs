//! What changed of jobs, into the state service; endings are dropped only once stored.

use super::*;
use crate::layout::Values;

impl Node {
    /// Stores what changed of jobs: ends first, then starts that wait for it, in the order of
    /// priority, and what only says how far a job is when changes are left over.
    pub(super) fn flush_saves(&mut self) {
        let now = self.now;
        let t = now.steady;
        let spare = self.store.spare_changes();
        let Some(led) = &mut self.led else { return };
        // While earlier writes wait, more comes together in each record.
        if self.store.waiting(Rank::Leader) >= SAVES_WAITING {
            led.save_soon = true;
            return;
        }
        let (term, stamp) = (led.term, led.stamp);
        let layout = self.layout();
        let most = ((self.store.change_rate() / 4.0) as usize).clamp(2, layout.txn_ops.max(2));
        let Some(led) = &mut self.led else { return };
        let mut due: Vec<(bool, bool, bool, Priority, Reverse<Micros>, u32)> = Vec::new();
        for job in led.table.by_number.values() {
            if job.saving || job.reread || job.cancelled {
                continue;
            }
            let late = job.dirty.is_some_and(|d| t >= d + SAVE_AT_LAST);
            let lazy = job.dirty.is_some_and(|d| t >= d + SAVE_AFTER) && spare > most as f64;
            if job.pressing || late || lazy {
                let since = Reverse(job.dirty.unwrap_or(0));
                let ends = job.pressing && job.is_done();
                due.push((
                    // An end that others wait for goes before all.
                    ends && led.pipelines.is_needed(&job.spec.uid),
                    ends,
                    job.pressing,
                    job.priority(),
                    since,
                    job.number,
                ));
            }
        }
        due.sort_unstable_by(|a, b| b.cmp(a));
        let mut batch: Option<(Txn, Vec<SaveItem>, usize)> = None;
        let mut asks = Vec::new();
        let mut left = spare.max(most as f64);
        for (.., number) in due {
            let Some(job) = led.table.by_number.get_mut(&number) else {
                continue;
            };
            if left <= 0.0 {
                led.save_soon = true;
                break;
            }
            let uid = job.spec.uid.clone();
            let record = job.record();
            let over = job.is_done();
            let values = if over {
                let end = record.finish("done", now.wall).fit(layout.usable());
                Some(Values::whole(raw(&end)))
            } else {
                layout.write(&record)
            };
            let Some(values) = values else {
                // The limits have become lower than what it takes: starts not stored yet are
                // taken back, and the rest shrinks as its tasks end.
                job.dirty = Some(t);
                job.pressing = false;
                for (machine, key, attempt) in std::mem::take(&mut job.unstored) {
                    led.workers.withdraw(&machine, key, attempt);
                    job.pressing = true;
                    led.save_soon = true;
                }
                continue;
            };
            let size = values.bytes();
            let pieces = values.pieces.len();
            // What is left over of its pieces and doesn't fit is swept up later.
            let room = layout.txn_ops - if over { 2 } else { 1 + pieces };
            let surplus = pieces..job.pieces.min(pieces + room);
            let cost = if over { 2 } else { 1 + pieces } + surplus.len();
            left -= cost as f64;
            if let Some((txn, _, bytes)) = &batch
                && (txn.changes.len() + cost > most || bytes + size > MAX_TXN_BYTES)
                && let Some(full) = batch.take()
            {
                asks.push(full);
            }
            let (txn, mut items, bytes) = batch
                .take()
                .unwrap_or_else(|| (Txn::default().require(LEADER_KEY, stamp), Vec::new(), 0));
            let mut txn = txn.require(live_key(&uid), job.stamp);
            txn = if over {
                txn.require(over_key(&uid), 0)
                    .delete(live_key(&uid))
                    .set_raw(over_key(&uid), values.head)
            } else {
                txn.set_raw(live_key(&uid), values.head)
            };
            for (n, value) in values.pieces.into_iter().enumerate() {
                txn = txn.set_raw(piece_key(&uid, n), value);
            }
            for n in surplus {
                txn = txn.delete(piece_key(&uid, n));
            }
            items.push(SaveItem {
                number: job.number,
                over,
                done: job.done.clone(),
                starts: std::mem::take(&mut job.unstored),
                pieces,
                ended: now.wall,
            });
            job.saving = true;
            job.pressing = false;
            job.dirty = None;
            batch = Some((txn, items, bytes + size));
        }
        asks.extend(batch);
        for (txn, items, _) in asks {
            self.ask(For::Save { term, items }, Op::Txn(txn), LEADER_PATIENCE);
        }
        self.take_events();
    }

    pub(super) fn saved(&mut self, items: Vec<SaveItem>, reply: Reply) {
        let now = self.now.steady;
        let mut reread = Vec::new();
        let mut lost_lead = false;
        {
            let Some(led) = &mut self.led else { return };
            match reply {
                Reply::Applied { epoch } => {
                    for item in items {
                        let Some(job) = led.table.by_number.get_mut(&item.number) else {
                            continue;
                        };
                        job.saving = false;
                        job.stamp = epoch;
                        job.pieces = item.pieces;
                        job.stored_done = item.done;
                        for (machine, key, attempt) in item.starts {
                            // Judged once more where starts are let go: nothing runs before all
                            // that its job needs is done.
                            if !job.waits() {
                                led.workers.confirm(&machine, key, attempt);
                            }
                        }
                        Self::allow_reaps(&mut led.workers, job);
                        if item.over {
                            let uid = job.spec.uid.clone();
                            let end = job.record().finish("done", item.ended);
                            log::info!("job {uid} is done");
                            self.finals.put(&uid, final_body(&uid, &end));
                            if let Some(job) = led.table.remove(&uid) {
                                Self::halt_all(&mut led.workers, &job);
                                Self::reap_all(&mut led.workers, &job);
                            }
                            Self::need_over(led, now, &uid, &end);
                        }
                    }
                }
                Reply::Conflict { failed } => {
                    lost_lead = failed.iter().any(|f| f == LEADER_KEY);
                    for item in items {
                        let Some(job) = led.table.by_number.get_mut(&item.number) else {
                            continue;
                        };
                        job.saving = false;
                        job.touch(now);
                        job.pressing = true;
                        job.unstored.extend(item.starts);
                        let uid = job.spec.uid.clone();
                        if failed.iter().any(|f| {
                            f.strip_prefix(LIVE) == Some(&*uid)
                                || f.strip_prefix(OVER_PREFIX) == Some(&*uid)
                        }) {
                            reread.push(uid);
                        }
                    }
                }
                Reply::Unavailable => {
                    for item in items {
                        if let Some(job) = led.table.by_number.get_mut(&item.number) {
                            job.saving = false;
                            job.pressing = true;
                            job.unstored.extend(item.starts);
                        }
                    }
                }
                // It may have been applied, or be applied later: its stamp tells.
                other => {
                    if let Reply::Refused(reason) = &other {
                        log::error!("the state service refused a save: {reason}");
                    }
                    for item in items {
                        if let Some(job) = led.table.by_number.get_mut(&item.number) {
                            job.saving = false;
                            // As many as may be there now: the next save sets all to rights.
                            job.pieces = job.pieces.max(item.pieces);
                            job.unstored.extend(item.starts);
                            reread.push(job.spec.uid.clone());
                        }
                    }
                }
            }
        }
        if lost_lead {
            // The watch on the leader key says the same; until then nothing is stored.
            log::info!("a write found another leader key");
        }
        for uid in reread {
            self.ask_reread(uid, false);
        }
    }

    pub(super) fn ask_reread(&mut self, uid: Arc<str>, over: bool) {
        let Some(led) = &mut self.led else { return };
        let term = led.term;
        if let Some(job) = led.table.get_mut(&uid) {
            job.reread = true;
        }
        let key = if over { over_key(&uid) } else { live_key(&uid) };
        self.ask(
            For::Reread { term, uid, over },
            Op::Get(key),
            LEADER_PATIENCE,
        );
    }

    pub(super) fn reread(&mut self, uid: &Arc<str>, over: bool, reply: Reply) {
        let now = self.now.steady;
        let Some(led) = &mut self.led else { return };
        match reply {
            Reply::Item(item) if !over => {
                if let Some(job) = led.table.get_mut(uid) {
                    job.reread = false;
                    job.stamp = item.stamp;
                    job.pressing = true;
                    job.touch(now);
                }
            }
            Reply::Item(item) => {
                let end = match serde_json::from_str::<Final>(item.value.get()) {
                    Ok(end) => end,
                    Err(e) => {
                        // It proves nothing; asking again is all that can be done.
                        log::error!("{} can't be read: {e}", item.path);
                        return self.ask_reread(uid.clone(), false);
                    }
                };
                Self::need_over(led, now, uid, &end);
                if end.is_done() {
                    if let Some(job) = led.table.remove(uid) {
                        Self::halt_all(&mut led.workers, &job);
                        Self::reap_all(&mut led.workers, &job);
                    }
                } else {
                    if let Some(job) = led.table.get_mut(uid) {
                        job.reread = false;
                    }
                    Self::mark_cancelled(led, uid);
                }
            }
            Reply::Absent if !over => self.ask_reread(uid.clone(), true),
            // Neither live nor over can't be; ask again.
            _ => self.ask_reread(uid.clone(), false),
        }
        self.take_events();
    }

    /// Endings that are stored may be dropped by the workers.
    pub(super) fn allow_reaps(workers: &mut Workers, job: &mut Job) {
        let (number, stored) = (job.number, &job.stored_done);
        job.unreaped.retain(|(machine, part, attempt)| {
            let waits = !stored.contains(part);
            if !waits {
                let key = TaskKey {
                    job: number,
                    part: *part,
                };
                workers.allow_reap(machine, key, *attempt);
            }
            waits
        });
    }

    /// The job is over: nothing depends on the endings that workers still report.
    pub(super) fn reap_all(workers: &mut Workers, job: &Job) {
        for (machine, part, attempt) in &job.unreaped {
            let key = TaskKey {
                job: job.number,
                part: *part,
            };
            workers.allow_reap(machine, key, *attempt);
        }
    }
}
