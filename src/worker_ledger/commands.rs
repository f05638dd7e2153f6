//! Orders on their way: directly, through another controller, and in the answers to reports.

use super::*;
use crate::wire::{CommandKind, KIND_DELIVER_COMMANDS, ProbeRow};
use xxhash_rust::xxh3::xxh3_64_with_seed;

const DIRECT_CALL_TIMEOUT: Micros = 2 * SECOND;
/// A controller that was given machines to ask gets so long before the leader asks them itself.
const PROBE_ASSIGNMENT_TTL: Micros = 2_500 * MILLISECOND;
const STOP_RETRY_INTERVAL: Micros = 1_500 * MILLISECOND;
/// How long commands go through another controller before the direct way is tried again.
const PROXY_USE_TIME: Micros = 20 * SECOND;
/// Between two tries of a machine that can't be reached; grows with the failures.
const UNREACHABLE_RETRY_INTERVAL: Micros = 600 * MILLISECOND;
const ACK_RETRY_INTERVAL: Micros = 2 * SECOND;
/// Of all machines, the share that one scan may probe: a new leader that called a thousand at
/// once would fall behind on its own grant.
const PROBES_PER_SCAN_DIVISOR: usize = 16;
const PROBES_MIN: usize = 16;
/// A node that is that far behind asks no machine how it is: each probe costs it more than a report,
/// and nearly all machines report by themselves within their period.
const PROBE_LAG_MAX: Micros = 300 * MILLISECOND;

/// Whether this node reaches workers at all. A node can lose all of them while its peers still
/// see them; then each start would first fail on the direct way.
#[derive(Default)]
pub(super) struct DirectPathHealth {
    /// Direct calls that failed since the last that did not.
    pub(super) failures: u32,
    pub(super) tried_at: Micros,
}

/// That many direct calls failed in a row say that the fault is not with the machines.
const DIRECT_FAILURES_MAX: u32 = 12;
const DIRECT_RETRY_INTERVAL: Micros = 2 * SECOND;

impl DirectPathHealth {
    pub(super) fn note_call(&mut self, relayed: bool, well: bool) {
        if !relayed {
            self.failures = if well { 0 } else { self.failures + 1 };
        }
    }

    /// Whether to go through another controller at once; now and then one call tries directly.
    pub(super) fn should_bypass(&mut self, now: Micros) -> bool {
        if self.failures < DIRECT_FAILURES_MAX {
            return false;
        }
        let tries = now >= self.tried_at + DIRECT_RETRY_INTERVAL;
        if tries {
            self.tried_at = now;
        }
        !tries
    }
}

pub(super) fn start_command(uid: &str, part: u32, attempt: u64) -> Command {
    Command {
        kind: CommandKind::Start,
        task: format!("{uid}/{part}"),
        attempt,
        grace_s: None,
    }
}

impl WorkerLedger {
    /// Halts and reaps that are due. In the answer to a report (`all`) stands every halt without grace, also
    /// one that was just sent: the answer renews the lease, and what was sent may never arrive.
    pub(super) fn collect_commands(
        now: Micros,
        m: &mut Machine,
        orders: &mut Vec<Command>,
        all: bool,
    ) -> bool {
        let mut pressing = false;
        for ((key, attempt), e) in &mut m.tasks {
            if orders.len() >= COMMANDS_PER_ANSWER_MAX {
                break;
            }
            let part = || format!("{}/{}", e.uid, key.index);
            if e.state == TaskState::Ended {
                if e.acknowledge_allowed
                    && all
                    && e.acknowledge_sent_at
                        .is_none_or(|t| now >= t + ACK_RETRY_INTERVAL)
                {
                    orders.push(Command {
                        kind: CommandKind::Acknowledge,
                        task: part(),
                        attempt: *attempt,
                        grace_s: None,
                    });
                    e.acknowledge_sent_at = Some(now);
                }
            } else if let Some(h) = &mut e.stop
                && *attempt != 0
                && (h.sent_at.is_none_or(|t| now >= t + STOP_RETRY_INTERVAL)
                    || (all && h.grace_s == 0.0))
            {
                pressing = true;
                h.sent_at = Some(now);
                let grace_s = Some(h.grace_s);
                orders.push(Command {
                    kind: CommandKind::Stop,
                    task: part(),
                    attempt: *attempt,
                    grace_s,
                });
            }
        }
        pressing
    }

    /// Shares the machines that have not spoken among the controllers that can ask them, by rendezvous: each
    /// peer gets twice the part that stays here, since the leader has the most to do with the answers.
    pub fn share_unconfirmed(&mut self, now: Micros) -> BTreeMap<SocketAddr, Vec<ProbeRow>> {
        let mut shares: BTreeMap<SocketAddr, Vec<ProbeRow>> = BTreeMap::new();
        let (base, peers) = (self.base_fencing_token(), &self.peers);
        for (id, m) in &mut self.machines {
            // What was marked silent is hardly there, and would hold up the others.
            let (false, false, Some(addr)) = (m.term_confirmed, m.silence_stored, m.address) else {
                continue;
            };
            let places = peers.iter().flat_map(|p| [Some(p); 2]).chain([None]);
            let weight =
                |(n, _): &(usize, Option<&SocketAddr>)| xxh3_64_with_seed(id.as_bytes(), *n as u64);
            let chosen = places.enumerate().max_by_key(weight);
            let Some((_, Some(peer))) = chosen else {
                continue;
            };
            if let Some(row) = ProbeRow::new(base + m.fence_counter, id, addr) {
                m.probed_elsewhere_until = now + PROBE_ASSIGNMENT_TTL;
                shares.entry(*peer).or_default().push(row);
            }
        }
        shares
    }

    /// A controller does not ask these: they are asked from here.
    pub fn reclaim_probes(&mut self, asked: &[Arc<str>]) {
        for id in asked {
            if let Some(m) = self.machines.get_mut(id) {
                m.probed_elsewhere_until = 0;
            }
        }
    }

    /// Sends what is due directly: starts, stops, probes.
    pub fn send_due(&mut self, now: Micros, tickets: &mut Ticket, out: &mut Vec<Output>) {
        let base = self.base_fencing_token();
        let mut hot = std::mem::take(&mut self.machines_to_send);
        let mut probes = match self.loop_lag {
            lag if lag > PROBE_LAG_MAX => 0,
            lag if lag > PROBE_LAG_MAX / 3 => PROBES_MIN,
            _ => (self.machines.len() / PROBES_PER_SCAN_DIVISOR).max(PROBES_MIN),
        };
        if now >= self.next_scan_at {
            // What time alone makes due: repeats, probes, tries after a failure.
            self.next_scan_at = now + SCAN_INTERVAL;
            let (took, period) = (self.elected_at, self.report_period);
            let part = self.next_scan_part(now);
            let machines = part.iter().filter_map(|id| self.machines.get(id));
            let due = machines.filter(|m| m.has_due_command(now, took, period));
            hot.extend(due.map(|m| m.id.clone()));
        }
        self.machines_examined += hot.len() as u64;
        for id in hot {
            let Some(m) = self.machines.get_mut(&id) else {
                continue;
            };
            if m.in_flight.is_some() || m.releasing {
                continue;
            }
            let Some(addr) = m.address else { continue };
            // A machine that can't be reached is tried now and then, by turns directly and
            // through the other controllers: two zones may be cut while a third sees both.
            // The first try after a failure goes the other way, at once.
            if m.direct_failures > 1
                && now
                    < m.last_call_at
                        + UNREACHABLE_RETRY_INTERVAL * u64::from(m.direct_failures.min(8))
            {
                continue;
            }
            if m.use_proxy && m.direct_failures == 0 && now > m.proxied_at + PROXY_USE_TIME {
                m.use_proxy = false;
            }
            let mut orders = Vec::new();
            let mut starts = Vec::new();
            let probe = probes > 0 && m.needs_probe(now, self.elected_at, self.report_period);
            Self::collect_commands(now, m, &mut orders, false);
            if !m.in_doubt && m.term_confirmed && m.registered && !m.silence_stored {
                for ((key, attempt), e) in &mut m.tasks {
                    if e.state == TaskState::Ready && orders.len() < COMMANDS_PER_ANSWER_MAX {
                        orders.push(start_command(&e.uid, key.index, *attempt));
                        starts.push((*key, *attempt));
                        e.state = TaskState::Sent;
                        e.delivery = Delivery::Direct {
                            token: base + m.fence_counter,
                            agent_epoch: m.agent_epoch,
                            open: true,
                        };
                    }
                }
            }
            if !starts.is_empty() {
                self.first_start_at = self.first_start_at.or(Some(now));
            }
            if orders.is_empty() && !probe {
                continue;
            }
            probes -= usize::from(probe);
            self.commands_sent += orders.len() as u64;
            let body = Commands {
                fencing_token: base + m.fence_counter,
                agent_epoch: Some(m.agent_epoch.max(1)),
                commands: orders,
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
            let bypass = m.direct_failures == 0 && self.direct_path.should_bypass(now);
            let relay = if m.use_proxy || bypass {
                m.heartbeat_proxy.or(any)
            } else {
                None
            };
            out.push(match relay {
                Some(dest) => Output::PeerCall {
                    ticket,
                    dest,
                    kind: KIND_DELIVER_COMMANDS,
                    addr: addr.to_string(),
                    body,
                    timeout: DIRECT_CALL_TIMEOUT,
                },
                None => Output::Call {
                    ticket,
                    dest: addr,
                    method: "POST",
                    path: "/commands".to_owned(),
                    body,
                    timeout: DIRECT_CALL_TIMEOUT,
                },
            });
            m.last_call_at = now;
            m.in_flight = Some(InFlightCall {
                ticket,
                starts,
                fencing_token: base + m.fence_counter,
                proxied: relay.is_some(),
            });
            self.calls.insert(ticket, m.id.clone());
        }
    }

    /// The outcome of a direct call.
    pub fn handle_outcome(
        &mut self,
        now: Micros,
        ticket: Ticket,
        outcome: &Outcome,
        dir: &mut dyn JobDirectory,
    ) {
        let Some(id) = self.calls.remove(&ticket) else {
            return;
        };
        let Some(m) = self.machines.get_mut(&id) else {
            return;
        };
        let Some(call) = m.in_flight.take_if(|c| c.ticket == ticket) else {
            return;
        };
        // What came up while the call was open can go now.
        self.machines_to_send.insert(id.clone());
        self.changed_machines.insert(id.clone());
        let report = match outcome {
            Outcome::Reply {
                status: 200 | 409,
                body,
            } => serde_json::from_slice::<Heartbeat>(body).ok(),
            _ => None,
        };
        if let Some(report) = report.filter(|r| r.machine == id) {
            m.direct_failures = 0;
            self.direct_path.note_call(call.proxied, true);
            // Handled, executed or not: what the report after it doesn't list isn't there.
            for (key, attempt) in &call.starts {
                if let Some(e) = m.tasks.get_mut(&(*key, *attempt))
                    && matches!(e.delivery, Delivery::Direct { token, open: true, .. } if token == call.fencing_token)
                {
                    e.delivery = Delivery::Settled;
                }
            }
            if !self.apply_heartbeat(now, &report, false, None, dir) {
                // Overtaken by a newer report, which had its chance to list these starts.
                let Some(m) = self.machines.get_mut(&id) else {
                    return;
                };
                for (key, attempt) in call.starts {
                    if m.tasks
                        .get(&(key, attempt))
                        .is_some_and(|e| e.state == TaskState::Sent)
                    {
                        m.tasks.remove(&(key, attempt));
                        self.events.push(TaskEvent {
                            machine: id.clone(),
                            task: key,
                            attempt,
                            kind: TaskEventKind::Lost {
                                why: "start refused",
                            },
                        });
                    }
                }
            }
            return;
        }
        m.direct_failures += 1;
        m.use_proxy = !call.proxied;
        m.proxied_at = now;
        self.direct_path.note_call(call.proxied, false);
        let sent = !matches!(
            outcome,
            Outcome::NotSent | Outcome::Refused | Outcome::Reply { status: 400, .. }
        );
        if sent && !fault_injected(InjectedFault::FenceNotRaised) {
            // It may be executed minutes later: from now on only a higher token counts, and
            // once the worker has shown that one, the lost call is dead.
            m.fence_counter = (m.fence_counter + 1).min((1 << FENCE_COUNTER_BITS) - 1);
            m.in_doubt = true;
        }
        // When the direct way has just failed, another controller may still reach the machine.
        let again = !call.proxied && m.direct_failures == 1 && !self.peers.is_empty();
        for (key, attempt) in call.starts {
            let Some(e) = m.tasks.get_mut(&(key, attempt)) else {
                continue;
            };
            if sent {
                if fault_injected(InjectedFault::FenceNotRaised) {
                    e.delivery = Delivery::Settled;
                } else if let Delivery::Direct { open, .. } = &mut e.delivery {
                    *open = false;
                }
            } else if !matches!(e.delivery, Delivery::Direct { open: true, .. }) {
                // A report has told more of it meanwhile.
            } else if again && e.state == TaskState::Sent && e.stop.is_none() {
                // Surely not executed: it goes the other way, or in the answer to a report.
                e.state = TaskState::Ready;
                e.delivery = Delivery::Unsent;
            } else {
                m.tasks.remove(&(key, attempt));
                self.events.push(TaskEvent {
                    machine: id.clone(),
                    task: key,
                    attempt,
                    kind: TaskEventKind::Lost {
                        why: "machine not reached",
                    },
                });
            }
        }
    }
}
