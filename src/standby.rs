//! Which controllers are standbys, how long each waits before it tries to become leader, and why a replica may
//! not be used for decisions. Pure rules over what every controller knows; it owns no state.

use crate::clock::{MILLISECOND, Micros, SECOND};
use crate::replica::Checksum;

#[cfg(test)]
mod tests;

/// Number of standbys beside the leader.
pub const STANDBYS: usize = 2;
/// How often a standby reads the changes since its last read. Each read is one request; the bytes
/// transferred do not depend on how often it reads.
pub const REPLICATION_INTERVAL: Micros = 4 * SECOND;
/// Time between two pages while a replica is filled: nothing depends on it soon.
pub const PAGE_INTERVAL: Micros = 500 * MILLISECOND;
/// Time from discarding a replica to filling it again.
pub const REBUILD_DELAY: Micros = 10 * SECOND;
/// A standby that has had no message from the leader for this long reads the changes at once: there may be no
/// leader, little changes until there is one again, and what is read now need not be read during the failover.
pub const LEADER_OVERDUE_AFTER: Micros = 1_500 * MILLISECOND;
/// How long the second standby lets the first one try to become leader.
const SECOND_STANDBY_DELAY: Micros = 120 * MILLISECOND;
/// How long a controller without a warm replica lets the standbys try to become leader.
const COLD_NODE_DELAY: Micros = 350 * MILLISECOND;
/// A controller whose earlier incarnation was the leader when it ended waits this much longer: one that ends
/// again and again would otherwise become leader each time, only to lose leadership, whenever no other
/// controller is warm.
pub const RESTARTED_LEADER_DELAY: Micros = 500 * MILLISECOND;

/// Penalty of a candidate in the leader's zone; more than that of one beside another standby.
const LEADER_ZONE_PENALTY: usize = 2;

/// The names of the standbys for a leader, in the order of their rank. Every controller computes the same ones:
/// first those in other zones than the leader, and the second, where possible, in another zone than the first.
///
/// `nodes` are the names and zones of all controllers, with the leader among them; their order does not
/// matter. Without the leader among them there are no standbys.
pub fn choose_standbys<'a>(leader: &str, nodes: &[(&'a str, &str)]) -> Vec<&'a str> {
    let mut candidates = nodes.to_vec();
    candidates.sort_unstable();
    let Some(position) = candidates.iter().position(|(name, _)| *name == leader) else {
        return Vec::new();
    };
    // Counted from the leader on, so that the standbys are not the same two for every leader.
    candidates.rotate_left(position);
    let (_, leader_zone) = candidates.remove(0);
    let mut chosen: Vec<(&'a str, &str)> = Vec::new();
    while chosen.len() < STANDBYS {
        let penalty = |(_, zone): &(&'a str, &str)| {
            let in_same_zone = chosen.iter().filter(|(_, other)| other == zone).count();
            LEADER_ZONE_PENALTY * usize::from(*zone == leader_zone) + in_same_zone
        };
        let free = candidates
            .iter()
            .filter(|(name, _)| !chosen.iter().any(|(other, _)| other == name));
        let Some(next) = free.min_by_key(|candidate| penalty(candidate)) else {
            break;
        };
        chosen.push(*next);
    }
    chosen.into_iter().map(|(name, _)| name).collect()
}

/// How long a controller waits before it tries to become leader, once there is none, in microseconds. The
/// first warm standby does not wait; a controller that is cold or no standby waits for the warm ones.
///
/// `rank` is the controller's place among the standbys, None where it is none; `warm` tells whether its
/// replica is complete and verified.
pub fn candidacy_delay(rank: Option<usize>, warm: bool) -> Micros {
    match rank {
        Some(0) if warm => 0,
        Some(_) if warm => SECOND_STANDBY_DELAY,
        _ => COLD_NODE_DELAY,
    }
}

/// Why a replica may not be used for decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdReason {
    /// This controller was no standby.
    NotReplicating,
    /// The replica was still being filled.
    Incomplete,
    /// The leader announced no checksum that the replica's could be compared with.
    Unverified,
    /// The replica's checksum differed from the leader's.
    ChecksumDiffers,
    /// The replica was too old: the state service no longer has all changes since.
    ChangesMissing,
    /// The state service refused to list the changes.
    ChangesUnavailable,
}

impl ColdReason {
    /// The name that operators see in logs and in the inspection.
    pub fn as_str(self) -> &'static str {
        match self {
            ColdReason::NotReplicating => "not-following",
            ColdReason::Incomplete => "filling",
            ColdReason::Unverified => "unchecked",
            ColdReason::ChecksumDiffers => "sum-differs",
            ColdReason::ChangesMissing => "changes-missing",
            ColdReason::ChangesUnavailable => "changes-not-told",
        }
    }
}

/// A checksum that the leader announced, of the live jobs it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderChecksum {
    /// The store revision up to which the leader knows all changes.
    pub revision: u64,
    /// Checksum over the live jobs at that revision.
    pub checksum: Checksum,
}
