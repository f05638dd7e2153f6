//! Between any two hosts: delay, loss, cuts that hold, lose or reset, and refusal. Owns the cuts and
//! which connections stand; knows nothing of what is sent.

use crate::scenario::{Network as Speeds, PartitionMode};
use crate::world::Micros;
use dewramp::seeded_hash::{HashMap, HashSet};
use rand::Rng;
use rand::rngs::SmallRng;
use rand_distr::{Distribution, Exp1};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Host {
    Node(usize),
    Machine(usize),
    State,
    Cloud,
    Users,
}

/// One end of a cut.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ends {
    All,
    Zone(usize),
    Host(Host),
    Nodes,
    Machines,
}

#[derive(Debug)]
struct Cut {
    until: Micros,
    sides: (Ends, Ends),
    mode: PartitionMode,
}

/// What becomes of a packet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Transit {
    Arrives(Micros),
    /// It never gets there, and nobody says so.
    Vanishes,
    /// No connection comes about; the sender knows at that time.
    NotSent(Micros),
    /// The same, since somebody says so.
    Refused(Micros),
    /// The connection ends; the sender knows at that time.
    Reset(Micros),
}

/// How long a connection attempt to a silent host lasts, at a controller.
const CONNECT_TIME: Micros = 1_000_000;
/// When a lost packet is sent again.
const RESEND: Micros = 200_000;

pub struct Network {
    speeds: Speeds,
    cuts: Vec<Cut>,
    /// Until when connections between controllers are refused.
    pub peers_refuse: Micros,
    /// Connections that stand, from the side that opened them.
    open: HashSet<(Host, Host)>,
    /// Frames of one connection arrive in order.
    last: HashMap<(Host, Host), Micros>,
    rng: SmallRng,
}

impl Network {
    pub fn new(speeds: &Speeds, rng: SmallRng) -> Self {
        Self {
            speeds: speeds.clone(),
            cuts: Vec::new(),
            peers_refuse: 0,
            open: HashSet::default(),
            last: HashMap::default(),
            rng,
        }
    }

    pub fn cut(&mut self, now: Micros, until: Micros, a: Ends, b: Ends, mode: PartitionMode) {
        self.cuts.retain(|c| c.until > now);
        self.cuts.push(Cut {
            until,
            sides: (a, b),
            mode,
        });
    }

    /// The longest cut between two hosts at this time.
    fn blocked(
        &self,
        now: Micros,
        a: (Host, usize),
        b: (Host, usize),
    ) -> Option<(Micros, PartitionMode)> {
        let matches = |ends: Ends, h: (Host, usize)| match ends {
            Ends::All => true,
            Ends::Zone(z) => h.1 == z,
            Ends::Host(x) => h.0 == x,
            Ends::Nodes => matches!(h.0, Host::Node(_)),
            Ends::Machines => matches!(h.0, Host::Machine(_)),
        };
        let hits = |c: &&Cut| {
            let (x, y) = c.sides;
            // A zone that is cut off keeps working inside, and a host reaches itself.
            let inside = matches!((x, y), (Ends::Zone(_), Ends::All)) && a.1 == b.1;
            c.until > now
                && !inside
                && ((matches(x, a) && matches(y, b)) || (matches(x, b) && matches(y, a)))
        };
        let found = self.cuts.iter().filter(hits);
        found.max_by_key(|c| c.until).map(|c| (c.until, c.mode))
    }

    pub fn is_cut(&self, now: Micros, a: (Host, usize), b: (Host, usize)) -> bool {
        self.blocked(now, a, b).is_some()
    }

    fn delay(&mut self, a: (Host, usize), b: (Host, usize)) -> Micros {
        let ms = if a.1 == b.1 {
            self.speeds.same_zone_ms
        } else {
            self.speeds.cross_zone_ms
        };
        let jitter: f64 = Exp1.sample(&mut self.rng);
        let base = ms * 1_000.0 * (1.0 + self.speeds.jitter * jitter);
        let lost = self.rng.random::<f64>() < self.speeds.loss;
        base as Micros + if lost { RESEND } else { 0 }
    }

    /// A request on its way; `reachable` says whether something listens at the other end, None
    /// that the host is silent.
    pub fn request(
        &mut self,
        now: Micros,
        from: (Host, usize),
        to: (Host, usize),
        reachable: Option<bool>,
    ) -> Transit {
        let link = (from.0, to.0);
        let peers = matches!(link, (Host::Node(_), Host::Node(_)));
        let stands = self.open.contains(&link);
        if let Some((until, mode)) = self.blocked(now, from, to) {
            if !stands {
                return Transit::NotSent(now + CONNECT_TIME);
            }
            return match mode {
                PartitionMode::Hold => Transit::Arrives(self.in_order(link, until)),
                PartitionMode::Lose => Transit::Vanishes,
                PartitionMode::Reset => {
                    self.open.remove(&link);
                    Transit::Reset(now + 1)
                }
            };
        }
        let delay = self.delay(from, to);
        match reachable {
            None if !stands => return Transit::NotSent(now + CONNECT_TIME),
            None => return Transit::Vanishes,
            Some(false) => {
                self.open.remove(&link);
                return Transit::Refused(now + 2 * delay);
            }
            Some(true) => {}
        }
        if peers && now < self.peers_refuse && !stands {
            return Transit::Refused(now + 2 * delay);
        }
        self.open.insert(link);
        Transit::Arrives(self.in_order(link, now + delay))
    }

    /// An answer on its way back over the connection that its request came by.
    pub fn answer(
        &mut self,
        now: Micros,
        from: (Host, usize),
        to: (Host, usize),
    ) -> Option<Micros> {
        let link = (from.0, to.0);
        match self.blocked(now, from, to) {
            Some((until, PartitionMode::Hold)) => Some(self.in_order(link, until)),
            Some(_) => None,
            None => {
                let delay = self.delay(from, to);
                Some(self.in_order(link, now + delay))
            }
        }
    }

    fn in_order(&mut self, link: (Host, Host), at: Micros) -> Micros {
        if !matches!(link, (Host::Node(_), Host::Node(_))) {
            return at;
        }
        let last = self.last.entry(link).or_default();
        *last = at.max(*last + 1);
        *last
    }

    /// The side that opened it gave the connection up.
    pub fn close(&mut self, from: Host, to: Host) {
        self.open.remove(&(from, to));
    }

    /// Connections between controllers are reset, and refused until then.
    pub fn refuse_peers(&mut self, until: Micros) {
        self.peers_refuse = until;
        self.open
            .retain(|l| !matches!(l, (Host::Node(_), Host::Node(_))));
    }

    /// All connections of a host that ended are gone.
    pub fn forget(&mut self, host: Host) {
        self.open.retain(|l| l.0 != host && l.1 != host);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;

    fn network() -> Network {
        let speeds = crate::scenario::Network {
            loss: 0.0,
            ..Default::default()
        };
        Network::new(&speeds, SmallRng::seed_from_u64(1))
    }

    #[test]
    fn a_cut_holds_what_goes_over_a_standing_connection_and_lets_no_new_one_come_about() {
        let mut n = network();
        let (a, b, inside) = (
            (Host::Node(0), 0),
            (Host::Machine(1), 1),
            (Host::Machine(2), 0),
        );
        assert!(matches!(
            n.request(0, a, b, Some(true)),
            Transit::Arrives(_)
        ));
        n.cut(10, 5_000_000, Ends::Zone(0), Ends::All, PartitionMode::Hold);
        assert_eq!(n.request(20, a, b, Some(true)), Transit::Arrives(5_000_000));
        n.close(a.0, b.0);
        assert!(matches!(
            n.request(20, a, b, Some(true)),
            Transit::NotSent(_)
        ));
        assert!(
            matches!(n.request(20, a, inside, Some(true)), Transit::Arrives(t) if t < 1_000_000)
        );
        assert!(matches!(
            n.request(5_000_001, a, b, Some(true)),
            Transit::Arrives(t) if t < 5_100_000
        ));
    }
}
