//! Orders on their way: directly, through another controller, and in the answers to reports.

use super::*;
use crate::wire::{AskRow, KIND_DELIVER, Verb};
use xxhash_rust::xxh3::xxh3_64_with_seed;

const DIRECT_TIME: Micros = 2 * SECOND;
/// A controller that was given machines to ask gets so long before the leader asks them itself.
const ASKED_FOR: Micros = 2_500 * MILLI;
const HALT_REPEAT: Micros = 1_500 * MILLI;
/// How long commands go through another controller before the direct way is tried again.
const RELAY_FOR: Micros = 20 * SECOND;
/// Between two tries of a machine that can't be reached; grows with the failures.
const RETRY: Micros = 600 * MILLI;
const REAP_REPEAT: Micros = 2 * SECOND;
/// Of all machines, the share that one scan may probe: a new leader that called a thousand at
/// once would fall behind on its own grant.
const PROBE_SHARE: usize = 16;
const PROBES_MIN: usize = 16;
/// A node that is that far behind asks no machine how it is: each probe costs it more than a report,
/// and nearly all machines report by themselves within their period.
const PROBE_LAG: Micros = 300 * MILLI;
/// One that is that far behind sends starts in the answers to reports alone: a call of their own, mostly over
/// a new connection, costs it as much as a report, and the reports that keep leases wait behind them.
const START_LAG: Micros = 500 * MILLI;

/// Whether this node reaches workers at all. A node can lose all of them while its peers still
/// see them; then each start would first fail on the direct way.
#[derive(Default)]
pub(super) struct DirectWay {
    /// Direct calls that failed since the last that did not.
    pub(super) failed: u32,
    pub(super) tried_at: Micros,
}

/// That many direct calls failed in a row say that the fault is not with the machines.
const DIRECT_FAILED: u32 = 12;
const DIRECT_RETRY: Micros = 2 * SECOND;

impl DirectWay {
    pub(super) fn note(&mut self, relayed: bool, well: bool) {
        if !relayed {
            self.failed = if well { 0 } else { self.failed + 1 };
        }
    }

    /// Whether to go through another controller at once; now and then one call tries directly.
    pub(super) fn bypass(&mut self, now: Micros) -> bool {
        if self.failed < DIRECT_FAILED {
            return false;
        }
        let tries = now >= self.tried_at + DIRECT_RETRY;
        if tries {
            self.tried_at = now;
        }
        !tries
    }
}

pub(super) fn start(uid: &str, part: u32, attempt: u64) -> Order {
    Order {
        verb: Verb::Start,
        part: format!("{uid}/{part}"),
        attempt,
        grace_s: None,
    }
}

impl Workers {
    /// Halts and reaps that are due. In the answer to a report (`all`) stands every halt without grace, also
    /// one that was just sent: the answer renews the lease, and what was sent may never arrive.
    pub(super) fn collect_stops(
        now: Micros,
        m: &mut Machine,
        orders: &mut Vec<Order>,
        all: bool,
    ) -> bool {
        let mut pressing = false;
        for ((key, attempt), e) in &mut m.tasks {
            if orders.len() >= MAX_ORDERS {
                break;
            }
            let part = || format!("{}/{}", e.uid, key.part);
            if e.state == State::Ended {
                if e.reap_ok && all && e.reap_sent.is_none_or(|t| now >= t + REAP_REPEAT) {
                    orders.push(Order {
                        verb: Verb::Reap,
                        part: part(),
                        attempt: *attempt,
                        grace_s: None,
                    });
                    e.reap_sent = Some(now);
                }
            } else if let Some(h) = &mut e.halt
                && *attempt != 0
                && (h.sent.is_none_or(|t| now >= t + HALT_REPEAT) || (all && h.grace_s == 0.0))
            {
                pressing = true;
                h.sent = Some(now);
                let grace_s = Some(h.grace_s);
                orders.push(Order {
                    verb: Verb::Halt,
                    part: part(),
                    attempt: *attempt,
                    grace_s,
                });
            }
        }
        pressing
    }

    /// Shares the machines that have not spoken among the controllers that can ask them, by rendezvous: each
    /// peer gets twice the part that stays here, since the leader has the most to do with the answers.
    pub fn share_unheard(&mut self, now: Micros) -> BTreeMap<SocketAddr, Vec<AskRow>> {
        let mut shares: BTreeMap<SocketAddr, Vec<AskRow>> = BTreeMap::new();
        let (base, peers) = (self.base_token(), &self.peers);
        for (id, m) in &mut self.machines {
            // What was marked silent is hardly there, and would hold up the others.
            let (false, false, Some(addr)) = (m.heard, m.quiet_stored, m.addr) else {
                continue;
            };
            let places = peers.iter().flat_map(|p| [Some(p); 2]).chain([None]);
            let weight =
                |(n, _): &(usize, Option<&SocketAddr>)| xxh3_64_with_seed(id.as_bytes(), *n as u64);
            let chosen = places.enumerate().max_by_key(weight);
            let Some((_, Some(peer))) = chosen else {
                continue;
            };
            if let Some(row) = AskRow::new(base + m.fence, id, addr) {
                m.asked_until = now + ASKED_FOR;
                shares.entry(*peer).or_default().push(row);
            }
        }
        shares
    }

    /// A controller does not ask these: they are asked from here.
    pub fn take_back(&mut self, asked: &[Arc<str>]) {
        for id in asked {
            if let Some(m) = self.machines.get_mut(id) {
                m.asked_until = 0;
            }
        }
    }

    /// Sends what is due directly: starts, stops, probes.
    pub fn flush(&mut self, now: Micros, tickets: &mut Ticket, out: &mut Vec<Output>) {
        let base = self.base_token();
        let mut hot = std::mem::take(&mut self.hot);
        let calls_for_starts = self.lag <= START_LAG;
        let mut probes = match self.lag {
            lag if lag > PROBE_LAG => 0,
            lag if lag > PROBE_LAG / 3 => PROBES_MIN,
            _ => (self.machines.len() / PROBE_SHARE).max(PROBES_MIN),
        };
        if now >= self.scan_at {
            // What time alone makes due: repeats, probes, tries after a failure.
            self.scan_at = now + SCAN;
            let (took, period) = (self.took_over, self.report_period);
            let part = self.next_part(now);
            let machines = part.iter().filter_map(|id| self.machines.get(id));
            let due = machines.filter(|m| m.due(now, took, period));
            hot.extend(due.map(|m| m.id.clone()));
        }
        self.looked_at += hot.len() as u64;
        for id in hot {
            let Some(m) = self.machines.get_mut(&id) else {
                continue;
            };
            if m.call.is_some() || m.returning {
                continue;
            }
            let Some(addr) = m.addr else { continue };
            // A machine that can't be reached is tried now and then, by turns directly and
            // through the other controllers: two zones may be cut while a third sees both.
            // The first try after a failure goes the other way, at once.
            if m.direct_failures > 1
                && now < m.call_at + RETRY * u64::from(m.direct_failures.min(8))
            {
                continue;
            }
            if m.relayed && m.direct_failures == 0 && now > m.relayed_at + RELAY_FOR {
                m.relayed = false;
            }
            let mut orders = Vec::new();
            let mut starts = Vec::new();
            let probe = probes > 0 && m.to_probe(now, self.took_over, self.report_period);
            Self::collect_stops(now, m, &mut orders, false);
            if calls_for_starts && !m.in_doubt && m.heard && m.in_roll && !m.quiet_stored {
                for ((key, attempt), e) in &mut m.tasks {
                    if e.state == State::Ready && orders.len() < MAX_ORDERS {
                        orders.push(start(&e.uid, key.part, *attempt));
                        starts.push((*key, *attempt));
                        e.state = State::Sent;
                        e.delivery = Delivery::Direct {
                            token: base + m.fence,
                            session: m.session,
                            open: true,
                        };
                    }
                }
            }
            if !starts.is_empty() {
                self.first_start = self.first_start.or(Some(now));
            }
            if orders.is_empty() && !probe {
                continue;
            }
            probes -= usize::from(probe);
            self.orders += orders.len() as u64;
            let body = Orders {
                token: base + m.fence,
                session: Some(m.session.max(1)),
                orders,
            };
            let Ok(body) = serde_json::to_vec(&body) else {
                continue;
            };
            *tickets += 1;
            let ticket = *tickets;
            let any = self
                .peers
                .get(m.direct_failures as usize / 2 % self.peers.len().max(1))
                .copied();
            let bypass = m.direct_failures == 0 && self.direct.bypass(now);
            let relay = if m.relayed || bypass {
                m.via.or(any)
            } else {
                None
            };
            out.push(match relay {
                Some(dest) => Output::PeerCall {
                    ticket,
                    dest,
                    kind: KIND_DELIVER,
                    addr: addr.to_string(),
                    body,
                    timeout: DIRECT_TIME,
                },
                None => Output::Call {
                    ticket,
                    dest: addr,
                    method: "POST",
                    path: "/commands".to_owned(),
                    body,
                    timeout: DIRECT_TIME,
                },
            });
            m.call_at = now;
            m.call = Some(OpenCall {
                ticket,
                starts,
                token: base + m.fence,
                relayed: relay.is_some(),
            });
            self.calls.insert(ticket, m.id.clone());
        }
    }

    /// The outcome of a direct call.
    pub fn outcome(
        &mut self,
        now: Micros,
        ticket: Ticket,
        outcome: &Outcome,
        dir: &mut dyn Directory,
    ) {
        let Some(id) = self.calls.remove(&ticket) else {
            return;
        };
        let Some(m) = self.machines.get_mut(&id) else {
            return;
        };
        let Some(call) = m.call.take_if(|c| c.ticket == ticket) else {
            return;
        };
        // What came up while the call was open can go now.
        self.hot.insert(id.clone());
        self.changed.insert(id.clone());
        let report = match outcome {
            Outcome::Reply {
                status: 200 | 409,
                body,
            } => serde_json::from_slice::<Report>(body).ok(),
            _ => None,
        };
        if let Some(report) = report.filter(|r| r.host == id) {
            m.direct_failures = 0;
            self.direct.note(call.relayed, true);
            // Handled, executed or not: what the report after it doesn't list isn't there.
            for (key, attempt) in &call.starts {
                if let Some(e) = m.tasks.get_mut(&(*key, *attempt))
                    && matches!(e.delivery, Delivery::Direct { token, open: true, .. } if token == call.token)
                {
                    e.delivery = Delivery::Settled;
                }
            }
            if !self.absorb(now, &report, false, None, dir) {
                // Overtaken by a newer report, which had its chance to list these starts.
                let Some(m) = self.machines.get_mut(&id) else {
                    return;
                };
                for (key, attempt) in call.starts {
                    if m.tasks
                        .get(&(key, attempt))
                        .is_some_and(|e| e.state == State::Sent)
                    {
                        m.tasks.remove(&(key, attempt));
                        self.events.push(Event {
                            machine: id.clone(),
                            key,
                            attempt,
                            what: What::Gone {
                                why: "start refused",
                            },
                        });
                    }
                }
            }
            return;
        }
        m.direct_failures += 1;
        m.relayed = !call.relayed;
        m.relayed_at = now;
        self.direct.note(call.relayed, false);
        let sent = !matches!(
            outcome,
            Outcome::NotSent | Outcome::Refused | Outcome::Reply { status: 400, .. }
        );
        if sent && !planted(Bug::FenceNotRaised) {
            // It may be executed minutes later: from now on only a higher token counts, and
            // once the worker has shown that one, the lost call is dead.
            m.fence = (m.fence + 1).min((1 << FENCE_BITS) - 1);
            self.highest_fence = self.highest_fence.max(m.fence);
            m.in_doubt = true;
        }
        // When the direct way has just failed, another controller may still reach the machine.
        let again = !call.relayed && m.direct_failures == 1 && !self.peers.is_empty();
        for (key, attempt) in call.starts {
            let Some(e) = m.tasks.get_mut(&(key, attempt)) else {
                continue;
            };
            if sent {
                if planted(Bug::FenceNotRaised) {
                    e.delivery = Delivery::Settled;
                } else if let Delivery::Direct { open, .. } = &mut e.delivery {
                    *open = false;
                }
            } else if !matches!(e.delivery, Delivery::Direct { open: true, .. }) {
                // A report has told more of it meanwhile.
            } else if again && e.state == State::Sent && e.halt.is_none() {
                // Surely not executed: it goes the other way, or in the answer to a report.
                e.state = State::Ready;
                e.delivery = Delivery::Unsent;
            } else {
                m.tasks.remove(&(key, attempt));
                self.events.push(Event {
                    machine: id.clone(),
                    key,
                    attempt,
                    what: What::Gone {
                        why: "machine not reached",
                    },
                });
            }
        }
    }
}
