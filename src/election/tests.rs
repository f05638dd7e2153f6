//! Tests of replacing a leader's lease by a longer one, with scripted replies of the state service.

use super::*;

const SHORT_LEASE: u64 = 1;
const LONG_LEASE: u64 = 2;

/// A leader with a lease of 1.5 s whose state service has become slow: its target TTL is now 3 s.
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

/// Makes the leader request a longer lease at `now` and grants it; the leader then requests that its key be
/// attached to it.
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

/// The leases that these requests renew.
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
            [(
                ElectionStep::RevokeUnusedLease,
                Op::RevokeLease(SHORT_LEASE)
            )]
        ) && change.is_none()
    );
    assert_eq!(election.leader_key_revision(), Some(5));
    assert!(election.has_valid_lease(3_700 * MILLISECOND) && !election.has_valid_lease(4 * SECOND));
    assert_eq!(renewed_leases(&election.tick(2 * SECOND)), [LONG_LEASE]);
}

/// Guards against leadership that outlives its key: if the reply to the attachment is lost, the key may be
/// attached to either lease, so leadership is valid only while both leases are.
#[test]
fn with_the_reply_lost_leadership_lasts_as_long_as_the_shorter_of_both_leases() {
    let mut election = leader_with_slow_store();
    replace_lease(&mut election, SECOND);
    assert!(
        election.has_valid_lease(2_400 * MILLISECOND)
            && !election.has_valid_lease(2_500 * MILLISECOND),
        "leadership ends with the first lease"
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
        "both leases are valid"
    );
    assert!(
        !election.has_valid_lease(4_200 * MILLISECOND),
        "the longer lease was not renewed"
    );
    election.handle_reply(4 * SECOND, renew_long, Reply::LeaseUpdated, 4 * SECOND);
    assert!(election.has_valid_lease(5_300 * MILLISECOND));
    // A read of the leader key shows that it is attached to the longer lease.
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
    // If the longer lease has expired instead, leadership is lost.
    let mut expired = leader_with_slow_store();
    replace_lease(&mut expired, SECOND);
    let (_, change) = expired.handle_reply(2 * SECOND, renew_long, Reply::NotFound, SECOND);
    assert_eq!(change, Some(LeadershipChange::Lost));
}
