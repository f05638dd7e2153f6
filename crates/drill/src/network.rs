//! The network between hosts: delays, packet loss, network partitions and refused connections.
//!
//! It tracks the partitions and the open connections, and decides when a packet arrives or how it fails; it does not
//! know what a packet contains. Below, a host with its zone is a pair `(Host, zone index)`.

use crate::scenario::{Network as NetworkSettings, PartitionMode};
use crate::world::Micros;
use dewramp::seeded_hash::{HashMap, HashSet};
use rand::Rng;
use rand::rngs::SmallRng;
use rand_distr::{Distribution, Exp1};

/// A host of the simulated network; `Users` stands for all users and their load balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Host {
    Controller(usize),
    Machine(usize),
    State,
    Cloud,
    Users,
}

/// The hosts on one side of a network partition.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PartitionSide {
    All,
    Zone(usize),
    Host(Host),
    Controllers,
    Machines,
}

#[derive(Debug)]
struct Partition {
    until: Micros,
    sides: (PartitionSide, PartitionSide),
    mode: PartitionMode,
}

/// What happens to a request in transit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Transit {
    Arrives(Micros),
    /// It is lost without notice.
    Lost,
    /// The connection attempt times out at this time.
    NotSent(Micros),
    /// The host refuses the connection; the sender learns of it at this time.
    Refused(Micros),
    /// The connection is reset; the sender learns of it at this time.
    Reset(Micros),
}

/// When a connection attempt to an unresponsive host gives up, in microseconds; the same as in the controllers.
const CONNECT_TIMEOUT: Micros = 1_000_000;
/// Delay of a packet that is lost once and sent again, in microseconds.
const RETRANSMIT_DELAY: Micros = 200_000;

/// The network, with its partitions and open connections.
pub struct Network {
    settings: NetworkSettings,
    partitions: Vec<Partition>,
    /// Until when new connections between controllers are refused.
    pub peers_refused_until: Micros,
    /// Open connections: the host that opened the connection, and the other one.
    connections: HashSet<(Host, Host)>,
    /// The last arrival on each connection between controllers, whose frames arrive in order.
    last_arrival: HashMap<(Host, Host), Micros>,
    rng: SmallRng,
}

impl Network {
    pub fn new(settings: &NetworkSettings, rng: SmallRng) -> Self {
        Self {
            settings: settings.clone(),
            partitions: Vec::new(),
            peers_refused_until: 0,
            connections: HashSet::default(),
            last_arrival: HashMap::default(),
            rng,
        }
    }

    /// Starts a partition between two groups of hosts; `mode` says what happens to packets on open connections.
    pub fn partition(
        &mut self,
        now: Micros,
        until: Micros,
        a: PartitionSide,
        b: PartitionSide,
        mode: PartitionMode,
    ) {
        self.partitions.retain(|c| c.until > now);
        self.partitions.push(Partition {
            until,
            sides: (a, b),
            mode,
        });
    }

    /// Returns the end and the mode of the longest-lasting partition between two hosts.
    fn longest_partition(
        &self,
        now: Micros,
        a: (Host, usize),
        b: (Host, usize),
    ) -> Option<(Micros, PartitionMode)> {
        let matches = |side: PartitionSide, h: (Host, usize)| match side {
            PartitionSide::All => true,
            PartitionSide::Zone(z) => h.1 == z,
            PartitionSide::Host(x) => h.0 == x,
            PartitionSide::Controllers => matches!(h.0, Host::Controller(_)),
            PartitionSide::Machines => matches!(h.0, Host::Machine(_)),
        };
        let separates = |c: &&Partition| {
            let (x, y) = c.sides;
            // Hosts within a partitioned zone still reach each other.
            let inside =
                matches!((x, y), (PartitionSide::Zone(_), PartitionSide::All)) && a.1 == b.1;
            c.until > now
                && !inside
                && ((matches(x, a) && matches(y, b)) || (matches(x, b) && matches(y, a)))
        };
        let found = self.partitions.iter().filter(separates);
        found.max_by_key(|c| c.until).map(|c| (c.until, c.mode))
    }

    /// Whether a partition separates two hosts.
    pub fn is_partitioned(&self, now: Micros, a: (Host, usize), b: (Host, usize)) -> bool {
        self.longest_partition(now, a, b).is_some()
    }

    /// Draws the delay of one packet.
    fn draw_delay(&mut self, a: (Host, usize), b: (Host, usize)) -> Micros {
        let ms = if a.1 == b.1 {
            self.settings.same_zone_ms
        } else {
            self.settings.cross_zone_ms
        };
        let jitter: f64 = Exp1.sample(&mut self.rng);
        let base = ms * 1_000.0 * (1.0 + self.settings.jitter * jitter);
        let lost = self.rng.random::<f64>() < self.settings.loss;
        base as Micros + if lost { RETRANSMIT_DELAY } else { 0 }
    }

    /// Sends a request. `reachable` says whether a process listens at the destination; `None` means that the host does
    /// not respond at all.
    pub fn send_request(
        &mut self,
        now: Micros,
        from: (Host, usize),
        to: (Host, usize),
        reachable: Option<bool>,
    ) -> Transit {
        let link = (from.0, to.0);
        let peers = matches!(link, (Host::Controller(_), Host::Controller(_)));
        let connected = self.connections.contains(&link);
        if let Some((until, mode)) = self.longest_partition(now, from, to) {
            if !connected {
                return Transit::NotSent(now + CONNECT_TIMEOUT);
            }
            return match mode {
                PartitionMode::Hold => Transit::Arrives(self.in_order(link, until)),
                PartitionMode::Lose => Transit::Lost,
                PartitionMode::Reset => {
                    self.connections.remove(&link);
                    Transit::Reset(now + 1)
                }
            };
        }
        let delay = self.draw_delay(from, to);
        match reachable {
            None if !connected => return Transit::NotSent(now + CONNECT_TIMEOUT),
            None => return Transit::Lost,
            Some(false) => {
                self.connections.remove(&link);
                return Transit::Refused(now + 2 * delay);
            }
            Some(true) => {}
        }
        if peers && now < self.peers_refused_until && !connected {
            return Transit::Refused(now + 2 * delay);
        }
        self.connections.insert(link);
        Transit::Arrives(self.in_order(link, now + delay))
    }

    /// Sends a response over the connection of its request; returns when it arrives, `None` if it is lost.
    pub fn send_response(
        &mut self,
        now: Micros,
        from: (Host, usize),
        to: (Host, usize),
    ) -> Option<Micros> {
        let link = (from.0, to.0);
        match self.longest_partition(now, from, to) {
            Some((until, PartitionMode::Hold)) => Some(self.in_order(link, until)),
            Some(_) => None,
            None => {
                let delay = self.draw_delay(from, to);
                Some(self.in_order(link, now + delay))
            }
        }
    }

    /// Delays an arrival so that frames between controllers arrive in the order in which they were sent.
    fn in_order(&mut self, link: (Host, Host), at: Micros) -> Micros {
        if !matches!(link, (Host::Controller(_), Host::Controller(_))) {
            return at;
        }
        let last_arrival = self.last_arrival.entry(link).or_default();
        *last_arrival = at.max(*last_arrival + 1);
        *last_arrival
    }

    /// Closes a connection from the side that opened it.
    pub fn close_connection(&mut self, from: Host, to: Host) {
        self.connections.remove(&(from, to));
    }

    /// Closes all connections between controllers and refuses new ones until this time.
    pub fn refuse_peer_connections(&mut self, until: Micros) {
        self.peers_refused_until = until;
        self.connections
            .retain(|l| !matches!(l, (Host::Controller(_), Host::Controller(_))));
    }

    /// Drops all connections of a host that has stopped.
    pub fn drop_connections(&mut self, host: Host) {
        self.connections.retain(|l| l.0 != host && l.1 != host);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;

    fn network() -> Network {
        let settings = crate::scenario::Network {
            loss: 0.0,
            ..Default::default()
        };
        Network::new(&settings, SmallRng::seed_from_u64(1))
    }

    #[test]
    fn a_partition_holds_packets_of_open_connections_and_prevents_new_connections() {
        let mut n = network();
        let (a, b, inside) = (
            (Host::Controller(0), 0),
            (Host::Machine(1), 1),
            (Host::Machine(2), 0),
        );
        assert!(matches!(
            n.send_request(0, a, b, Some(true)),
            Transit::Arrives(_)
        ));
        n.partition(
            10,
            5_000_000,
            PartitionSide::Zone(0),
            PartitionSide::All,
            PartitionMode::Hold,
        );
        assert_eq!(
            n.send_request(20, a, b, Some(true)),
            Transit::Arrives(5_000_000)
        );
        n.close_connection(a.0, b.0);
        assert!(matches!(
            n.send_request(20, a, b, Some(true)),
            Transit::NotSent(_)
        ));
        assert!(
            matches!(n.send_request(20, a, inside, Some(true)), Transit::Arrives(t) if t < 1_000_000)
        );
        assert!(matches!(
            n.send_request(5_000_001, a, b, Some(true)),
            Transit::Arrives(t) if t < 5_100_000
        ));
    }
}
