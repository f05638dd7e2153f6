//! Which controllers are standbys, how long each controller waits before it tries to become leader, and the
//! reasons why a replica may not be used for decisions. Pure functions over what every controller knows; this
//! module holds no state.

use crate::clock::{MILLISECOND, Micros, SECOND};
use crate::replica::Checksum;

#[cfg(test)]
mod tests;

/// Number of standbys in addition to the leader.
pub const STANDBY_COUNT: usize = 2;
/// How often a standby reads the changes since its last read. Each read is one request; how often it reads does
/// not affect the total number of bytes transferred.
pub const REPLICATION_INTERVAL: Micros = 4 * SECOND;
/// Time between two reads of pages while a replica is filled. Nothing urgent depends on these reads.
pub const PAGE_INTERVAL: Micros = 500 * MILLISECOND;
/// Delay between discarding a replica and filling a new one.
pub const REBUILD_DELAY: Micros = 10 * SECOND;
/// A standby that has received no message from the leader for this long reads the changes at once. The leader
/// may be gone; without a leader little changes, and what is read now need not be read during the failover.
pub const LEADER_OVERDUE_AFTER: Micros = 1_500 * MILLISECOND;
/// How long the second standby waits so that the first one can become leader.
const SECOND_STANDBY_DELAY: Micros = 120 * MILLISECOND;
/// How long a controller without a warm replica waits so that a warm standby can become leader.
const COLD_CONTROLLER_DELAY: Micros = 350 * MILLISECOND;
/// Additional wait of a controller whose earlier incarnation was the leader when it ended. Without it, a
/// controller in a crash loop would become leader after each restart, and lose leadership again at the next crash,
/// whenever no other controller is warm.
pub const RESTARTED_LEADER_DELAY: Micros = 500 * MILLISECOND;

/// Penalty of a candidate in the leader's zone; greater than that of a candidate in the zone of a chosen
/// standby, which is 1.
const LEADER_ZONE_PENALTY: usize = 2;

/// Returns the names of the standbys for a leader, in order of rank. Every controller computes the same ones.
/// Controllers outside the leader's zone are preferred, and a second standby outside the zone of the first.
///
/// `nodes` are the names and zones of all controllers including the leader, in any order. If the leader is not
/// among them, there are no standbys.
pub fn choose_standbys<'a>(leader: &str, nodes: &[(&'a str, &str)]) -> Vec<&'a str> {
    let mut candidates = nodes.to_vec();
    candidates.sort_unstable();
    let Some(position) = candidates.iter().position(|(name, _)| *name == leader) else {
        return Vec::new();
    };
    // The order starts at the leader, so that different leaders get different standbys.
    candidates.rotate_left(position);
    let (_, leader_zone) = candidates.remove(0);
    let mut chosen: Vec<(&'a str, &str)> = Vec::new();
    while chosen.len() < STANDBY_COUNT {
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

/// How long a controller waits before it tries to become leader once there is none, in microseconds. The first
/// standby does not wait if it is warm; a controller that is cold or not a standby waits longest, to let the
/// warm standbys go first.
///
/// `rank` is the controller's rank among the standbys, `None` if it is not a standby; `warm` tells whether its
/// replica is complete and verified.
pub fn candidacy_delay(rank: Option<usize>, warm: bool) -> Micros {
    match rank {
        Some(0) if warm => 0,
        Some(_) if warm => SECOND_STANDBY_DELAY,
        _ => COLD_CONTROLLER_DELAY,
    }
}

/// Why a replica may not be used for decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdReason {
    /// This controller was not a standby.
    NotReplicating,
    /// The replica was still being filled.
    Incomplete,
    /// The leader announced no checksum to compare the replica's checksum with.
    Unverified,
    /// The replica's checksum differed from the leader's.
    ChecksumDiffers,
    /// The replica was too old: the state service no longer keeps all changes since its revision.
    ChangesMissing,
    /// The state service refused to list the changes.
    ChangesUnavailable,
}

impl ColdReason {
    /// The name that operators see in log lines and in the answers under `/inspect`.
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

/// A checksum over the live jobs that the leader announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderChecksum {
    /// The store revision up to which the leader knows all changes.
    pub revision: u64,
    /// Checksum over the live jobs at that revision.
    pub checksum: Checksum,
}
