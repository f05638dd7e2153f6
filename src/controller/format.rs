//! Which format is written: what each controller understands, and when the stored number goes up.

use super::*;

/// How often the stored format is read while it may still go up.
const FORMAT_EVERY: Micros = 2 * SECOND;
/// How often the leader looks whether all controllers understand the next format.
const UNDERSTOOD_EVERY: Micros = SECOND;
/// How often pieces that belong to nothing are looked for.
const SWEEP_EVERY: Micros = 60 * SECOND;

impl Node {
    /// What is written now, and within which limits.
    pub(super) fn layout(&self) -> Layout {
        let state = &self.settings.settings.state;
        let tight = state.tightest();
        // Everything of a newer format fits the limits to come: they come without notice.
        let limits = if self.format >= 2 || self.small {
            &tight
        } else {
            state
        };
        Layout {
            format: self.format.max(1),
            value_bytes: limits.value_bytes(),
            txn_ops: limits.txn_ops,
        }
    }

    /// Why this process must end, if so.
    pub fn fatal(&self) -> Option<&str> {
        self.fatal.as_deref()
    }

    pub(super) fn tick_format(&mut self) {
        let t = self.now.steady;
        self.heed_refusals();
        if t < self.format_at || (self.registered && self.format >= FORMAT) {
            return;
        }
        self.format_at = t + FORMAT_EVERY;
        self.ask(For::Format, Op::Get(FORMAT_KEY.to_owned()), SECOND);
        if !self.registered {
            let key = controller_key(&self.settings.label);
            self.ask(For::Registered, Op::Get(key), SECOND);
        }
    }

    /// A value refused for its size, or changes for their rate, say that the lower limits hold
    /// already. Without this the same write would be refused again and again.
    fn heed_refusals(&mut self) {
        let refused = self.store.take_refused();
        let state = &self.settings.settings.state;
        if state.next.is_none() {
            return;
        }
        if refused.rate && !self.slow {
            log::info!("the state service refuses the rate of changes; keeping to the next one");
            self.slow = true;
            let tight = state.tightest();
            self.store.set_rates(tight.rps, tight.write_rps);
        }
        if refused.size && !self.small {
            log::info!("the state service refuses a size; keeping to the next limits");
            self.small = true;
            self.apply_layout();
        }
    }

    pub(super) fn format_read(&mut self, reply: Reply) {
        match reply {
            Reply::Item(item) => self.learn_format(&item),
            Reply::Absent => self.set_format(1),
            _ => {}
        }
    }

    pub(super) fn learn_format(&mut self, item: &Item) {
        match serde_json::from_str::<StoredFormat>(item.value.get()) {
            Ok(stored) if stored.format > FORMAT => {
                self.fatal = Some(format!(
                    "the state service holds format {}, this version knows formats up to {FORMAT}; \
                     start the version that the other controllers run",
                    stored.format
                ));
            }
            Ok(stored) => self.set_format(stored.format),
            Err(e) => {
                // Whatever it says, it was raised: both formats are read, the newest is written.
                log::error!("the stored {} can't be read: {e}", item.path);
                self.set_format(FORMAT);
            }
        }
    }

    /// It only goes up.
    fn set_format(&mut self, format: u32) {
        if format <= self.format {
            return;
        }
        self.format = format;
        if format >= 2 {
            log::info!("format {format} is written from now on");
            let tight = self.settings.settings.state.tightest();
            self.store.set_rates(tight.rps, tight.write_rps);
            self.apply_layout();
        }
    }

    fn apply_layout(&mut self) {
        let t = self.now.steady;
        let layout = self.layout();
        let Some(led) = &mut self.led else { return };
        led.scheduler.layout = layout;
        led.roll.set_layout(t, layout);
        // In the background, as changes are left over, what is live is written anew.
        for job in led.table.by_number.values_mut().filter(|j| !j.cancelled) {
            job.touch(t);
        }
    }

    /// Says once what this program understands.
    pub(super) fn register(&mut self, reply: Reply) {
        let stamp = match reply {
            Reply::Item(item) => {
                let said = serde_json::from_str::<Understood>(item.value.get());
                if said.is_ok_and(|u| u.format == FORMAT && u.version == VERSION) {
                    self.registered = true;
                    return;
                }
                item.stamp
            }
            Reply::Absent => 0,
            _ => return,
        };
        let key = controller_key(&self.settings.label);
        let understood = Understood {
            format: FORMAT,
            version: VERSION.to_owned(),
        };
        let txn = Txn::default()
            .require(key.clone(), stamp)
            .set(key, &understood);
        self.ask(For::Register, Op::Txn(txn), SECOND);
    }

    /// The leader looks whether all have said that they understand the next format. The store
    /// says it, not the peers: a zone may be cut, and a controller down.
    pub(super) fn watch_formats(&mut self) {
        let t = self.now.steady;
        let format = self.format;
        let Some(led) = &mut self.led else { return };
        if t >= led.sweep_at {
            led.sweep_at = t + SWEEP_EVERY;
            let term = led.term;
            if format >= 2 {
                self.ask(For::Leftovers { term }, list(PIECES), SECOND);
            }
            return;
        }
        if t >= led.understood_at {
            led.understood_at = t + if format < FORMAT {
                UNDERSTOOD_EVERY
            } else {
                SWEEP_EVERY
            };
            let term = led.term;
            self.ask(For::Understood { term }, list(CONTROLLERS), SECOND);
        }
    }

    pub(super) fn understood(&mut self, reply: Reply) {
        let Reply::Items { items, .. } = reply else {
            return;
        };
        let Some(led) = &mut self.led else { return };
        for item in items {
            let Some(label) = item.path.strip_prefix(CONTROLLERS) else {
                continue;
            };
            match serde_json::from_str(item.value.get()) {
                Ok(understood) => {
                    led.understood.insert(label.to_owned(), understood);
                }
                Err(e) => log::error!("{} can't be read: {e}", item.path),
            }
        }
        if self.format >= FORMAT || !self.missing().is_empty() {
            return;
        }
        let Some(led) = &self.led else { return };
        let txn = Txn::default()
            .require(LEADER_KEY, led.stamp)
            .require(FORMAT_KEY, led.format_stamp)
            .set(FORMAT_KEY, &StoredFormat { format: FORMAT });
        let term = led.term;
        self.ask(For::Raise { term }, Op::Txn(txn), LEADER_PATIENCE);
    }

    /// The controllers of the settings that have not said that they understand the format.
    pub(super) fn missing(&self) -> Vec<&str> {
        let Some(led) = &self.led else {
            return Vec::new();
        };
        let others = self.settings.others.iter().map(|p| p.label.as_str());
        let all = others.chain([self.settings.label.as_str()]);
        let able = |label: &str| {
            led.understood
                .get(label)
                .is_some_and(|u| u.format >= FORMAT)
        };
        all.filter(|label| !able(label)).collect()
    }

    pub(super) fn raised(&mut self, reply: &Reply) {
        match reply {
            Reply::Applied { .. } => self.set_format(FORMAT),
            // Raised by an earlier leader, or by a write whose answer was lost: it is read.
            _ => self.format_at = self.now.steady,
        }
    }

    /// Deletes pieces that belong to no job: ends and shrinking jobs leave some behind when they
    /// have more than one transaction removes. Each deletion is conditional on the head, so that
    /// one that is applied late can't take a piece that has come into use again.
    pub(super) fn sweep(&mut self, reply: Reply) {
        let Reply::Items { items, .. } = reply else {
            return;
        };
        let most = self.layout().txn_ops;
        let Some(led) = &self.led else { return };
        let mut txns = Vec::new();
        for item in items {
            let Some((uid, n)) = split_piece(&item.path) else {
                continue;
            };
            let txn = Txn::default()
                .require(LEADER_KEY, led.stamp)
                .require(item.path.clone(), item.stamp);
            let txn = match led.table.get(uid) {
                Some(job) if job.cancelled || job.saving || job.reread || n < job.pieces => {
                    continue;
                }
                Some(job) => txn.require(live_key(uid), job.stamp),
                None => txn.require(live_key(uid), 0).require(stopping_key(uid), 0),
            };
            txns.push(txn.delete(item.path));
        }
        for txn in txns.into_iter().take(most) {
            self.store.ask(
                self.now.steady,
                For::Sweep,
                Rank::Leader,
                Op::Txn(txn),
                LEADER_PATIENCE,
            );
        }
    }
}

pub(super) const VERSION: &str = env!("CARGO_PKG_VERSION");

fn list(prefix: &'static str) -> Op {
    Op::List {
        prefix,
        after: String::new(),
        limit: 500,
    }
}
