//! Replacing the lease of a leader by a longer one, step by step, without a state service.

use super::*;

const SHORT_LEASE: u64 = 1;
const LONG_LEASE: u64 = 2;

/// A leader with a lease of 1.5 s, and a state service that has become slow.
fn leader_with_slow_store() -> Election {
    let mut election = Election::new("n-1", 7, (1_500 * MILLISECOND, 3 * SECOND));
    let no_items = || Reply::KeyPage {
        items: Vec::new(),
        truncated: false,
        revision: 1,
    };
    election.tick(SECOND);
    election.handle_reply(SECOND, ElectionStep::ReadLeaderKey, no_items(), SECOND);
    election.tick(SECOND);
    let granted = Reply::LeaseGranted {
        lease_id: SHORT_LEASE,
    };
    election.handle_reply(SECOND, ElectionStep::GrantLease, granted, SECOND);
    election.handle_reply(SECOND, ElectionStep::ReadTerm, no_items(), SECOND);
    let acquire = ElectionStep::AcquireLeadership {
        term: 1,
        lease_id: SHORT_LEASE,
        lease_requested_at: SECOND,
    };
    let applied = Reply::Applied { revision: 2 };
    let (_, change) = election.handle_reply(SECOND, acquire, applied, SECOND);
    assert_eq!(
        change,
        Some(LeadershipChange::Acquired {
            term: 1,
            mod_revision: 2
        })
    );
    for _ in 0..40 {
        election.record_response_time(300 * MILLISECOND);
    }
    election
}

/// Lets the leader request a longer lease at `now`, grants it, and lets it attach the leader key.
fn replace_lease(election: &mut Election, now: Micros) {
    let requests = election.tick(now);
    let requested = requests.iter().find_map(|(step, _)| match step {
        ElectionStep::GrantReplacementLease { ttl } => Some(*ttl),
        _ => None,
    });
    let ttl = requested.expect("a longer lease is requested");
    assert_eq!(ttl, 3 * SECOND);
    let granted = Reply::LeaseGranted {
        lease_id: LONG_LEASE,
    };
    let step = ElectionStep::GrantReplacementLease { ttl };
    let (requests, _) = election.handle_reply(now, step, granted, now);
    assert!(matches!(
        requests[..],
        [(
            ElectionStep::AttachReplacementLease {
                lease_id: LONG_LEASE
            },
            Op::Transaction(_)
        )]
    ));
}

/// The leases that are renewed by these requests.
fn renewed_leases(requests: &[ElectionRequest]) -> Vec<u64> {
    let lease_ids = requests.iter().filter_map(|(step, _)| match step {
        ElectionStep::RenewLease { lease_id } => Some(*lease_id),
        _ => None,
    });
    lease_ids.collect()
}

#[test]
fn a_lease_is_lengthened_while_leadership_is_held() {
    let mut election = leader_with_slow_store();
    replace_lease(&mut election, SECOND);
    let (requests, change) = election.handle_reply(
        SECOND,
        ElectionStep::AttachReplacementLease {
            lease_id: LONG_LEASE,
        },
        Reply::Applied { revision: 5 },
        SECOND,
    );
    assert!(
        matches!(
            requests[..],
            [(ElectionStep::RevokeSpareLease, Op::RevokeLease(SHORT_LEASE))]
        ) && change.is_none()
    );
    assert_eq!(election.leader_key_revision(), Some(5));
    assert!(election.has_valid_lease(3_700 * MILLISECOND) && !election.has_valid_lease(4 * SECOND));
    assert_eq!(renewed_leases(&election.tick(2 * SECOND)), [LONG_LEASE]);
}

/// While it is unknown which lease the key is attached to, leadership is valid only as long as both are: it
/// would otherwise go on under a key that expired with the other one.
#[test]
fn with_the_reply_lost_leadership_lasts_as_long_as_the_shorter_of_both_leases() {
    let mut election = leader_with_slow_store();
    replace_lease(&mut election, SECOND);
    assert!(
        election.has_valid_lease(2_400 * MILLISECOND)
            && !election.has_valid_lease(2_500 * MILLISECOND),
        "the end of the first lease"
    );
    election.handle_reply(
        SECOND,
        ElectionStep::AttachReplacementLease {
            lease_id: LONG_LEASE,
        },
        Reply::OutcomeUnknown,
        SECOND,
    );
    let renewed = renewed_leases(&election.tick(2 * SECOND));
    assert_eq!(renewed, [SHORT_LEASE, LONG_LEASE]);
    let renew_short = ElectionStep::RenewLease {
        lease_id: SHORT_LEASE,
    };
    let renew_long = ElectionStep::RenewLease {
        lease_id: LONG_LEASE,
    };
    for now in [2 * SECOND, 3 * SECOND, 4 * SECOND] {
        election.handle_reply(now, renew_short, Reply::LeaseUpdated, now);
    }
    assert!(
        election.has_valid_lease(3_700 * MILLISECOND),
        "both are valid"
    );
    assert!(
        !election.has_valid_lease(4_200 * MILLISECOND),
        "the longer one was not renewed"
    );
    election.handle_reply(4 * SECOND, renew_long, Reply::LeaseUpdated, 4 * SECOND);
    assert!(election.has_valid_lease(5_300 * MILLISECOND));
    // The key is read, and is attached to the longer lease.
    let record = LeaderRecord {
        node: "n-1".to_owned(),
        incarnation: 7,
        term: 1,
        lease_id: LONG_LEASE,
    };
    let change = election.observe_leader_key(4 * SECOND, Some((record, 9)));
    assert_eq!(change, None);
    assert_eq!(election.leader_key_revision(), Some(9));
    assert!(election.has_valid_lease(6_500 * MILLISECOND));
    // Had the longer lease expired, leadership would be lost.
    let mut expired = leader_with_slow_store();
    replace_lease(&mut expired, SECOND);
    let (_, change) = expired.handle_reply(2 * SECOND, renew_long, Reply::NotFound, SECOND);
    assert_eq!(change, Some(LeadershipChange::Lost));
}
