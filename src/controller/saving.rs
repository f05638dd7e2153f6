//! What changed of jobs, into the state service; endings are dropped only once stored.

use super::*;

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
        let txn_ops = self.settings.settings.state.txn_ops;
        let most = ((self.store.change_rate() / 4.0) as usize).clamp(2, txn_ops.max(2));
        let value_max = self.settings.value_bytes();
        let mut due: Vec<(bool, bool, Priority, Reverse<Micros>, u32)> = Vec::new();
        for job in led.table.by_number.values() {
            if job.saving || job.reread || job.cancelled {
                continue;
            }
            let late = job.dirty.is_some_and(|d| t >= d + SAVE_AT_LAST);
            let lazy = job.dirty.is_some_and(|d| t >= d + SAVE_AFTER) && spare > most as f64;
            if job.pressing || late || lazy {
                let since = Reverse(job.dirty.unwrap_or(0));
                due.push((
                    job.pressing && job.is_done(),
                    job.pressing,
                    job.spec.priority,
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
            let mut record = job.record();
            let over = job.is_done();
            let mut value = if over {
                raw(&record.finish("done", now.wall))
            } else {
                raw(&record)
            };
            let mut size = value.get().len() + 400;
            if size > value_max && !over {
                // Endings are for display; the rest decides what may run.
                record.endings.clear();
                value = raw(&record);
                size = value.get().len() + 400;
            }
            let cost = if over { 2 } else { 1 };
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
                    .set_raw(over_key(&uid), value)
            } else {
                txn.set_raw(live_key(&uid), value)
            };
            items.push(SaveItem {
                number: job.number,
                over,
                done: job.done.clone(),
                starts: std::mem::take(&mut job.unstored),
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
                        job.stored_done = item.done;
                        for (machine, key, attempt) in item.starts {
                            led.workers.confirm(&machine, key, attempt);
                        }
                        Self::allow_reaps(&mut led.workers, job);
                        if item.over {
                            let uid = job.spec.uid.clone();
                            let end = job.record().finish("done", self.now.wall);
                            log::info!("job {uid} is done");
                            self.finals.put(&uid, final_body(&uid, &end));
                            if let Some(job) = led.table.remove(&uid) {
                                Self::halt_all(&mut led.workers, &job);
                                Self::reap_all(&mut led.workers, &job);
                            }
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
                let done = serde_json::from_str::<Final>(item.value.get())
                    .is_ok_and(|f| f.status == "done");
                if done {
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
