//! A new leader loads jobs and roll, and holds what may be on machines.

use super::*;
use crate::clock::surely_over;
use crate::workers::CARRIED_FIRST;

impl Node {
    pub(super) fn take_over(&mut self, term: u64, stamp: u64, sent: Micros) {
        let now = self.now.steady;
        log::info!("leading with term {term}");
        self.store.set_leading(true);
        self.cloud.reset();
        let (loading, takeover) = self.begin_load(stamp);
        let layout = self.layout();
        let peers = self.settings.others.iter().map(|p| p.endpoint).collect();
        self.led = Some(Led {
            term,
            stamp,
            table: Table::default(),
            pipelines: Pipelines::default(),
            doomed: VecDeque::new(),
            workers: Workers::new(
                term,
                now,
                self.settings.lease(),
                self.settings.report_period(),
                peers,
            ),
            scheduler: Scheduler::new(&self.props, &self.settings, layout, self.seed ^ term, now),
            roll: Roll::new(layout),
            format_stamp: 0,
            understood: BTreeMap::new(),
            understood_at: now,
            sweep_at: now + 10 * SECOND,
            held_until: 0,
            loading: Some(loading),
            takeover,
            recovery: Recovery::new(now, 0, 0),
            share_at: None,
            recovered: false,
            jobs_epoch: 0,
            // What it is built from is not older than its own take.
            informed: Informed::new(
                good_for(self.settings.lease(), self.settings.cancel()),
                sent,
            ),
            stamps: HashMap::default(),
            jobs_sum: Sum::default(),
            watching: false,
            watch_at: 0,
            place_at: None,
            place_from: now,
            save_at: now,
            save_soon: false,
            capacity_at: now + 2 * SECOND,
            upkeep_at: now,
            walk_at: now,
            hired: BTreeSet::new(),
            hints: 0,
            service: Service::default(),
            wanted: Vec::new(),
            took_at: now,
            busy_at: now,
            valid_since: now,
            tell_at: now,
        });
        self.load_on();
    }

    /// Leaves leading to another term, of another node if one takes it within `rest`.
    pub(super) fn resign(&mut self, rest: Micros) {
        for (step, op) in self.lead.resign(self.now.steady, rest) {
            self.ask(For::Lead(step), op, SECOND);
        }
        self.step_down();
    }

    /// A leader that hears nobody, neither directly nor through its peers, is of no use, and the
    /// others may see what it doesn't. Were it to stay, all leases would run out under it.
    pub(super) fn resign_when_deaf(&mut self) -> bool {
        let t = self.now.steady;
        let Some(led) = &self.led else { return false };
        let patience = DEAF.max(2 * self.settings.report_period());
        let deaf = t > led.workers.heard_any_at.max(led.valid_since) + patience;
        if !deaf || led.workers.machines.len() < 2 || self.settings.others.is_empty() {
            return false;
        }
        log::warn!("no machine is heard; leaving the lead to another controller");
        self.rest = (2 * self.rest).clamp(REST_FIRST, REST_MAX);
        self.resign(self.rest);
        true
    }

    /// A leader whose numbers of attempts or fences reach those of the next term goes on under a new one, as does
    /// one that fell behind.
    pub(super) fn resign_when_numbers_run_out(&mut self) -> bool {
        let out = |led: &Led| led.workers.numbers_run_out();
        if !self.led.as_ref().is_some_and(out) {
            return false;
        }
        log::warn!(
            "the numbers of attempts or fences of this term run out; going on under a new one"
        );
        self.resign(0);
        true
    }

    /// A leader whose grant is renewed and whose questions for changes are not answered can't act for long;
    /// another may be told.
    pub(super) fn resign_when_untold(&mut self) -> bool {
        let (t, since) = (self.now.steady, self.lead.unbroken_since());
        let Some(led) = &self.led else { return false };
        if self.settings.others.is_empty() || !led.informed.in_vain(t, since) {
            return false;
        }
        let ms = led.informed.age(t) / MILLI;
        log::warn!(
            "nothing of what changed is told for {ms} ms; leaving the lead to another controller"
        );
        self.rest = (2 * self.rest).clamp(REST_FIRST, REST_MAX);
        self.resign(self.rest);
        true
    }

    pub(super) fn step_down(&mut self) {
        if self.led.take().is_some() {
            log::info!("no longer leading");
        }
        self.store.set_leading(false);
    }

    /// Builds the lead from what is stored; returns how many placements are held until proven.
    pub(super) fn finish_load(&mut self, mut mirror: Mirror) -> usize {
        let now = self.now.steady;
        if let Some(led) = &mut self.led {
            led.loading = None;
            led.jobs_epoch = mirror.epoch();
            let live = mirror.live.iter();
            led.stamps = live.map(|(uid, h)| (uid.clone(), h.stamp)).collect();
            for (uid, stamp) in &led.stamps {
                led.jobs_sum.toggle(&live_key(uid), *stamp);
            }
        }
        match mirror.format() {
            Some(item) => {
                self.learn_format(item);
                if let Some(led) = &mut self.led {
                    led.format_stamp = item.stamp;
                }
            }
            None => self.format_read(Reply::Absent),
        }
        let layout = self.layout();
        let Some(led) = &mut self.led else { return 0 };
        led.scheduler.layout = layout;
        led.roll.set_layout(now, layout);
        let mut roll_unread = false;
        for item in mirror.roll() {
            let Some(entries) = led.roll.load(&item.path, &item.value, item.stamp) else {
                roll_unread = true;
                continue;
            };
            for (id, r) in entries {
                led.workers
                    .add_from_roll(id.clone(), &r.addr, &r.sku, &r.zone, r.spot, now);
                if let Some(quiet) = r.quiet {
                    let bound = from_secs(self.settings.settings.time_bound_ms / 1000.0);
                    led.workers.load_quiet(&id, quiet, self.now, bound);
                }
                if let Some(m) = led.workers.machines.get_mut(&id) {
                    m.images
                        .extend(r.images.into_iter().map(|i| (i, (now, 0.0))));
                }
                if r.hired {
                    led.hired.insert(id);
                }
            }
        }
        led.roll.move_pages(now);
        let mut unread = 0;
        let mut held = 0;
        let forgotten = usize::from(planted(Bug::JobForgotten));
        let live = std::mem::take(&mut mirror.live);
        let stopping = std::mem::take(&mut mirror.stopping);
        for (heads, over, cancelled) in [(live, LIVE, false), (stopping, STOPPING, true)] {
            for (uid, head) in heads.into_iter().skip(forgotten) {
                let (mut record, count) = match head.read {
                    Ok(read) => read,
                    Err(e) => {
                        log::error!("the stored job at {over}{uid} can't be read: {e}");
                        unread += 1;
                        continue;
                    }
                };
                for n in 0..count {
                    let piece = mirror.piece(&uid, n).map(|i| &i.value);
                    let read = piece.ok_or_else(|| "it is missing".to_owned());
                    if let Err(e) = read.and_then(|p| layout::read_piece(p, &mut record)) {
                        log::error!("{} can't be read: {e}", piece_key(&uid, n));
                        unread += 1;
                    }
                }
                if roll_unread {
                    // A machine that stands on no page that can be read may still be there.
                    for machine in record.placed.keys() {
                        let id = machine.clone();
                        led.workers.add_from_roll(id, "", "", "", false, now);
                    }
                }
                held += Self::adopt(led, now, &record, count, head.stamp, cancelled);
                if head.bytes > layout.usable()
                    && let Some(job) = led.table.get_mut(&uid)
                {
                    // Stored under larger limits; an earlier leader did not get to move it.
                    job.touch(now);
                }
            }
        }
        if unread > 0 || roll_unread {
            // Placements that nobody can read: what the machines don't report within their lease
            // is surely not there.
            led.held_until = now + surely_over(self.settings.lease());
            log::error!("nothing is started until all leases of this moment are over");
        }
        let jobs = led.table.by_number.values();
        let waiting: Vec<Arc<str>> = jobs
            .filter(|j| j.waits())
            .map(|j| j.spec.uid.clone())
            .collect();
        for uid in &waiting {
            Self::chain(led, &self.cloud, uid);
        }
        led.place_at = Some(now);
        // A node that never heard of a leader is new itself, and so, most likely, are the others: nobody
        // carries anybody, and nobody would ask. Else those carried are asked without being told.
        let new = self.progress_at == 0 && self.hint.is_none();
        led.share_at = Some(if new { now } else { now + CARRIED_FIRST });
        let period = self.settings.report_period();
        led.recovery = Recovery::new(now, led.workers.machines.len(), period);
        let flow = led.scheduler.expect_flow(now, &led.workers);
        led.recovery.expect_flow(flow);
        log::info!(
            "term {}: {} jobs, {} machines on the roll, {held} placements to be confirmed",
            led.term,
            led.table.by_number.len(),
            led.workers.machines.len()
        );
        held
    }

    /// Takes a stored job into the table; its stored placements are held until proven.
    pub(super) fn adopt(
        led: &mut Led,
        now: Micros,
        record: &Record,
        pieces: usize,
        stamp: u64,
        cancelled: bool,
    ) -> usize {
        let uid = record.spec.uid.clone();
        if let Some(job) = led.table.get_mut(&uid) {
            if cancelled {
                // Cancelled between the two reads, where the state service did not tell what came between them:
                // the watch tells of the same write, which by its stamp would pass for known.
                Self::mark_cancelled(led, &uid);
            } else if job.stamp < stamp && !job.saving {
                job.stamp = stamp;
            }
            return 0;
        }
        let number = led.table.add(record, stamp);
        let tasks = record.spec.tasks.saturating_sub(record.done_count());
        led.service.note(&record.spec, Fate::Taken { tasks });
        let mut held = 0;
        for (machine, parts) in &record.placed {
            for part in parts.iter().flat_map(|(a, b)| *a..*b) {
                let key = TaskKey { job: number, part };
                // A machine that is not on the roll was proven gone before it left the roll.
                if led.workers.add_ghost(machine, key, &record.spec, now)
                    && let Some(job) = led.table.by_number.get_mut(&number)
                {
                    job.place(part, machine, 0);
                    held += 1;
                }
            }
        }
        if let Some(job) = led.table.by_number.get_mut(&number) {
            job.cancelled = cancelled;
            job.pieces = pieces;
        }
        held
    }
}
