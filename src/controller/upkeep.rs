//! What the leader does a few times a second, whatever happens.

use super::*;

impl Node {
    /// What is due a few times a second.
    pub(super) fn upkeep(&mut self) {
        let t = self.now.steady;
        let Some(led) = &mut self.led else { return };
        // Both walk over all machines, and neither is a matter of less than a second.
        if t >= led.walk_at {
            led.walk_at = t + WALK_PER_MACHINE * led.workers.machines.len() as Micros;
            led.workers.expire(t);
            led.workers.mark_quiet(self.now, led.valid_since);
        }
        if led.scheduler.tick(t, &self.cloud.types) {
            Self::log_round(led, &self.cloud, t);
            let used: BTreeSet<u32> = led
                .workers
                .machines
                .values()
                .flat_map(|m| m.tasks.keys().map(|k| k.0.job))
                .collect();
            led.table.prune(|n| used.contains(&n));
        }
        for job in led.table.by_number.values().filter(|j| j.cancelled) {
            Self::halt_all(&mut led.workers, job);
            Self::reap_all(&mut led.workers, job);
        }
        self.take_events();
        self.watch_takeover();
        self.share_asking();
        self.forget_stopped();
        self.tell_progress();
        self.drain();
        self.enroll();
        self.watch_formats();
        let Some(led) = &mut self.led else { return };
        if t >= led.capacity_at {
            led.capacity_at =
                t + CAPACITY_EVERY.max(CAPACITY_PER_MACHINE * led.workers.machines.len() as Micros);
            self.manage_capacity();
        } else {
            self.rent_next();
        }
        let Some(led) = &mut self.led else { return };
        led.place_at = led.place_at.or(Some(t + BATCH));
    }

    /// One line a round on where the cores are: the first look when work waits.
    pub(super) fn log_round(led: &Led, cloud: &Cloud, t: Micros) {
        if !log::log_enabled!(log::Level::Info) {
            return;
        }
        let (mut all, mut out, mut running, mut fetching, mut stopping, mut unsure) =
            (0.0, 0.0, 0.0, 0.0, 0.0, 0.0);
        for m in led.workers.machines.values() {
            let cores = cloud.sku(&m.build).map_or(0.0, |s| s.cores);
            all += cores;
            if !m.usable(t, 10 * SECOND) {
                out += cores;
            }
            for (_, e) in m.holding() {
                let c = e.spec.as_ref().map_or(0.0, |s| s.cores);
                match e.state {
                    _ if e.halting() => stopping += c,
                    State::Running => running += c,
                    State::Ghost | State::Sent => unsure += c,
                    _ => fetching += c,
                }
            }
        }
        let mut waiting: BTreeMap<&str, u64> = BTreeMap::new();
        let jobs = led.table.by_number.values();
        for j in jobs.filter(|j| !j.cancelled && !j.waits()) {
            *waiting.entry(&j.spec.class).or_default() += j.pending_count;
        }
        log::info!(
            "cores: {all} in all, {out} out of use, {running} running, {fetching} fetching, \
             {stopping} stopping, {unsure} unsure; {} booting; {} jobs wait for others; tasks \
             waiting: {waiting:?}",
            cloud.booting.len(),
            led.pipelines.len()
        );
        log::info!("work: {}", led.service.line());
    }

    /// Cancelled jobs of which nothing can be on any machine any more.
    pub(super) fn forget_stopped(&mut self) {
        let Some(led) = &mut self.led else { return };
        let (term, stamp) = (led.term, led.stamp);
        let gone: Vec<(Arc<str>, usize)> = led
            .table
            .by_number
            .values_mut()
            .filter(|j| j.cancelled && !j.saving && j.places.is_empty())
            .map(|j| {
                j.saving = true;
                (j.spec.uid.clone(), j.pieces)
            })
            .collect();
        let most = self.settings.settings.state.tightest().txn_ops;
        for (uid, pieces) in gone {
            let mut txn = Txn::default()
                .require(LEADER_KEY, stamp)
                .delete(stopping_key(&uid));
            // What doesn't fit is swept up later.
            for n in 0..pieces.min(most - 1) {
                txn = txn.delete(piece_key(&uid, n));
            }
            self.ask(For::Forget { term, uid }, Op::Txn(txn), LEADER_PATIENCE);
        }
    }

    /// Machines about to be taken: what can save does so in time, what can't finish moves now.
    pub(super) fn drain(&mut self) {
        let t = self.now.steady;
        let Some(led) = &mut self.led else { return };
        let mut halts = Vec::new();
        for m in led.workers.noticed() {
            // A copy of an old report may be the first word of it; what runs is not stopped for that.
            let Some(until) = m.notice.filter(|_| m.heard) else {
                continue;
            };
            let left = until.saturating_sub(t);
            for ((key, attempt), e) in m.holding() {
                let Some(spec) = &e.spec else { continue };
                if e.halting() {
                    continue;
                }
                if spec.saves() {
                    if left < from_secs(spec.save_s) + 5 * SECOND {
                        halts.push((m.id.clone(), *key, *attempt, spec.save_s.max(0.1)));
                    }
                } else {
                    let ran = e.running_since.map_or(0, |s| t.saturating_sub(s));
                    let need = led.scheduler.expected_run(spec).saturating_sub(ran);
                    if need > left {
                        halts.push((m.id.clone(), *key, *attempt, 0.0));
                    }
                }
            }
        }
        for (machine, key, attempt, grace) in halts {
            led.workers
                .halt(&machine, key, attempt, grace, Stop::Notice);
        }
        self.take_events();
    }

    /// Before its first start a machine stands in the stored roll.
    pub(super) fn enroll(&mut self) {
        let now = self.now;
        let Some(led) = &mut self.led else { return };
        let (term, leader) = (led.term, led.stamp);
        for ask in led.roll.due(now, &mut led.workers, &led.hired) {
            // A few changes stand for hundreds of machines that wait for them: they go with the users'.
            let rank = match ask {
                Ask::Write { joins: true, .. } => Rank::User,
                _ => Rank::Leader,
            };
            let (purpose, op) = match ask {
                Ask::Read(key) => (
                    For::RollRead {
                        term,
                        key: key.clone(),
                    },
                    Op::Get(key),
                ),
                Ask::Write {
                    key,
                    stamp,
                    value,
                    written,
                    ..
                } => {
                    let txn = Txn::default()
                        .require(LEADER_KEY, leader)
                        .require(key.clone(), stamp)
                        .set_raw(key.clone(), value);
                    (For::Roll { term, key, written }, Op::Txn(txn))
                }
                Ask::Delete { key, stamp } => {
                    let txn = Txn::default()
                        .require(LEADER_KEY, leader)
                        .require(key.clone(), stamp)
                        .delete(key.clone());
                    (For::RollGone { term, key }, Op::Txn(txn))
                }
            };
            let t = now.steady;
            self.store.ask(t, purpose, rank, op, LEADER_PATIENCE);
        }
    }
}
