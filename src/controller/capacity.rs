//! Renting and returning machines.

use super::*;

/// The most machines that one rental may ask for.
const MOST_AT_ONCE: u32 = 50;

impl Node {
    pub(super) fn cloud_news(&mut self, news: Vec<News>) {
        let Some(led) = &mut self.led else { return };
        let mut gone = Vec::new();
        for n in news {
            match n {
                News::Types => {}
                News::Rented { hosts, offer } => {
                    log::info!("rented {} {} in {}", hosts.len(), offer.sku, offer.zone);
                    led.hired.extend(hosts);
                }
                News::Failed(id) => {
                    if !led.workers.is_buried(&id) {
                        log::info!("{id} has failed");
                        gone.push(id.clone());
                        self.cloud.give_back(id);
                    }
                }
                News::Returned(hosts) => gone.extend(hosts),
            }
        }
        let now = self.now.steady;
        for id in &gone {
            led.workers.bury(now, id);
            led.roll.remove(now, id);
            led.hired.remove(id);
        }
        if !gone.is_empty() {
            self.take_events();
        }
    }

    pub(super) fn manage_capacity(&mut self) {
        let t = self.now.steady;
        let lease = self.settings.lease();
        let Some(led) = &mut self.led else { return };
        self.cloud
            .booting
            .retain(|id, _| !led.workers.machines.contains_key(id) && !led.workers.is_buried(id));
        for id in self.cloud.stuck(t) {
            log::info!("{id} does not come up; returning it");
            self.cloud.booting.remove(&id);
            self.cloud.give_back(id);
        }
        // Gone without a word: nothing can be left there, and the cloud lists it no more.
        let silent = |m: &crate::workers::Machine| t > m.heard_at.max(led.took_at) + 2 * lease;
        let vanished: Vec<Arc<str>> = led
            .workers
            .machines
            .values()
            .filter(|m| {
                silent(m)
                    && led.workers.surely_empty(m, t)
                    && !self.cloud.listed.contains_key(&m.id)
            })
            .map(|m| m.id.clone())
            .collect();
        for id in &vanished {
            led.roll.remove(t, id);
            log::info!("{id} is gone without a word");
            led.workers.let_go(t, id);
            led.hired.remove(id);
        }
        // Returning a silent machine proves that its tasks are gone long before its lease would,
        // at the price of the machine: only when another like it can be had.
        for id in led.workers.unreachable(t, led.valid_since, SILENT_RETURN) {
            let Some(m) = led.workers.machines.get_mut(&id) else {
                continue;
            };
            let offer = Offer {
                sku: m.build.clone(),
                zone: m.zone.clone(),
                spot: m.spot,
            };
            if m.spot || self.cloud.replaceable(&offer) {
                log::info!("{id} answers nobody; returning it");
                m.returning = true;
                self.cloud.give_back(id);
            }
        }
        // What has not spoken yet may have room.
        if !led.recovery.knows_the_fleet(t) {
            led.busy_at = t;
            return;
        }
        // A machine that is late may never come; work must not go on waiting for it.
        let booting: Vec<(String, bool)> = self
            .cloud
            .booting
            .values()
            .filter(|b| !self.cloud.late(t, b))
            .map(|b| (b.offer.sku.clone(), b.offer.spot))
            .collect();
        let demand = led.scheduler.shortage(
            t,
            &led.table,
            &led.workers,
            &self.cloud.types,
            &booting,
            &self.settings,
        );
        let headroom = demand.free < 0.2 * demand.all;
        let mut offers: Vec<(f64, u32, Offer)> = Vec::new();
        for ty in &self.cloud.types {
            for zone in &ty.paddocks {
                for spot in [true, false] {
                    let mut n = demand.machines(ty, zone, spot);
                    if n == 0 && headroom && !led.table.by_number.is_empty() {
                        n = 1;
                    }
                    let price = if spot { ty.spot_price } else { ty.price };
                    if n > 0 {
                        offers.push((
                            price / ty.cores.max(0.1),
                            n,
                            Offer {
                                sku: ty.sku.clone(),
                                zone: zone.clone(),
                                spot,
                            },
                        ));
                    }
                }
            }
        }
        offers.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.2.cmp(&b.2)));
        let none = offers.is_empty();
        led.wanted = offers.into_iter().map(|o| (o.2, o.1)).collect();
        if none {
            self.return_idle();
        } else {
            led.busy_at = t;
            self.rent_next();
        }
    }

    /// Rents of the cheapest offer that is not resting, one call at a time. What is wanted is
    /// worked out less often than the cloud can be asked: boots are slow, so renting must not be.
    pub(super) fn rent_next(&mut self) {
        let t = self.now.steady;
        let Some(led) = &mut self.led else { return };
        let free = |w: &&(Offer, u32)| w.1 > 0 && self.cloud.free_to_rent(t, &w.0);
        let Some((offer, wanted)) = led.wanted.iter().find(free).cloned() else {
            return;
        };
        let number = wanted.min(MOST_AT_ONCE);
        let cores = |sku: &str| self.cloud.sku(sku).map_or(1.0, |t| t.cores.max(0.1));
        let rented = f64::from(number) * cores(&offer.sku);
        // Each offer counts as if it alone took all the waiting work.
        for (other, n) in &mut led.wanted {
            *n = (f64::from(*n) - rented / cores(&other.sku)).max(0.0).ceil() as u32;
        }
        let (tickets, out) = (&mut self.tickets, &mut self.out);
        self.cloud.rent(t, offer, number, tickets, out);
    }

    /// Rented machines that stand idle cost money for nothing: all of them go back soon after
    /// the last job is over, single ones only after long, since they may be hard to get again.
    pub(super) fn return_idle(&mut self) {
        let t = self.now.steady;
        let Some(led) = &mut self.led else { return };
        if !led.table.by_number.is_empty() {
            led.busy_at = t;
        }
        let quiet = t > led.busy_at + ALL_IDLE;
        let patience = if quiet {
            ALL_IDLE
        } else {
            self.props.idle_return
        };
        for m in led.workers.machines.values_mut() {
            if led.hired.contains(&m.id)
                && m.heard
                && m.tasks.is_empty()
                && !m.returning
                && t > m.idle_since + patience
            {
                log::info!("{} stands idle; returning it", m.id);
                m.returning = true;
                self.cloud.give_back(m.id.clone());
            }
        }
    }
}
