//! Who follows the leader, and what a mirror must show before a leader decides by it. Pure.

use crate::clock::{MILLISECOND, Micros, SECOND};
use crate::replica::Checksum;

/// How many controllers follow.
pub const STANDBYS: usize = 2;
/// How often a standby asks for the changes since: each such question is one request, and the bytes
/// are the same however often it is asked.
pub const REPLICATION_INTERVAL: Micros = 4 * SECOND;
/// Between two pages while a mirror is filled: there is time.
pub const PAGE_INTERVAL: Micros = 500 * MILLISECOND;
/// After a mirror was thrown away it is filled anew, but not at once.
pub const REBUILD_DELAY: Micros = 10 * SECOND;
/// The leader's word is overdue: there may be no leader, and little will change until there is one
/// again, so what is asked now need not be asked at the takeover.
pub const LEADER_OVERDUE_AFTER: Micros = 1_500 * MILLISECOND;
/// How long the second standby, and all others, let the first try to lead.
const SECOND_STANDBY_DELAY: Micros = 120 * MILLISECOND;
const COLD_NODE_DELAY: Micros = 350 * MILLISECOND;
/// A node whose former life led when it ended waits that much longer: one that ends again and again would
/// else take the lead each time to lose it, as soon as no other is warm.
pub const RESTARTED_LEADER_DELAY: Micros = 500 * MILLISECOND;

/// The nodes that follow, named by rule from what every node knows: first those in other zones than
/// the leader, and the second, where there is one, in another zone than the first. `nodes` are label
/// and zone of all, the leader among them; the order in the settings does not matter.
pub fn choose_standbys<'a>(leader: &str, nodes: &[(&'a str, &str)]) -> Vec<&'a str> {
    let mut ring = nodes.to_vec();
    ring.sort_unstable();
    let Some(at) = ring.iter().position(|n| n.0 == leader) else {
        return Vec::new();
    };
    // From the leader on around, so that not the same two follow whoever leads.
    ring.rotate_left(at);
    let home = ring.remove(0).1;
    let mut chosen: Vec<(&str, &str)> = Vec::new();
    while chosen.len() < STANDBYS {
        let free = |n: &&(&'a str, &str)| !chosen.iter().any(|c| c.0 == n.0);
        let apart = |n: &&(&'a str, &str)| {
            let beside = chosen.iter().filter(|c| c.1 == n.1).count();
            2 * usize::from(n.1 == home) + beside
        };
        let Some(next) = ring.iter().filter(free).min_by_key(apart) else {
            break;
        };
        chosen.push(*next);
    }
    chosen
        .iter()
        .filter_map(|c| ring.iter().find(|n| n.0 == c.0).map(|n| n.0))
        .collect()
}

/// How long a node waits before it asks for the lead, once that is free. One standby alone asks at
/// once; a cold node leaves the lead to a warm one, for a moment.
pub fn candidacy_delay(rank: Option<usize>, warm: bool) -> Micros {
    match rank {
        Some(0) if warm => 0,
        Some(_) if warm => SECOND_STANDBY_DELAY,
        _ => COLD_NODE_DELAY,
    }
}

/// Why a mirror is not decided by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdReason {
    /// This node did not follow.
    NotReplicating,
    /// It was still being filled.
    Incomplete,
    /// The leader never told a sum that it could be compared with.
    Unverified,
    /// Its sum differed from the leader's.
    ChecksumDiffers,
    /// It had fallen too far behind: changes are missing.
    ChangesMissing,
    /// The state service did not tell the changes since.
    ChangesUnavailable,
}

impl ColdReason {
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

/// What the leader tells of the live jobs it knows: their sum at an epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderChecksum {
    pub revision: u64,
    pub checksum: Checksum,
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_followers_are_in_other_zones_and_every_node_names_the_same() {
        let seven = [
            ("n-1", "a"),
            ("n-2", "b"),
            ("n-3", "c"),
            ("n-4", "a"),
            ("n-5", "b"),
            ("n-6", "c"),
            ("n-7", "a"),
        ];
        assert_eq!(choose_standbys("n-1", &seven), ["n-2", "n-3"]);
        assert_eq!(choose_standbys("n-4", &seven), ["n-5", "n-6"]);
        let mut turned = seven;
        turned.reverse();
        assert_eq!(choose_standbys("n-4", &turned), ["n-5", "n-6"]);
        let one_zone = [("n-1", "a"), ("n-2", "a"), ("n-3", "a")];
        assert_eq!(choose_standbys("n-3", &one_zone), ["n-1", "n-2"]);
        let near = [("n-1", "a"), ("n-2", "a"), ("n-3", "b"), ("n-4", "b")];
        assert_eq!(choose_standbys("n-1", &near), ["n-3", "n-4"]);
        assert_eq!(
            choose_standbys("n-1", &[("n-1", "a"), ("n-2", "a")]),
            ["n-2"]
        );
        assert!(choose_standbys("n-9", &near).is_empty());
        assert!(candidacy_delay(Some(0), true) < candidacy_delay(Some(1), true));
        assert!(candidacy_delay(Some(1), true) < candidacy_delay(Some(0), false));
        assert_eq!(candidacy_delay(Some(0), false), candidacy_delay(None, true));
    }
}
