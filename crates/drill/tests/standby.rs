//! Takeovers by a standby with a warm replica. Each case is played with three controllers and more than ten machines.

use drill::outcome::Outcome;
use drill::play;
use drill::scenario::{Fault, FaultKind, FaultTarget, PartitionedFrom, Scenario};

/// A scenario of 130 s with three controllers and 25 machines, and only the given faults.
fn scenario_with(failures: Vec<Fault>) -> Scenario {
    let mut scenario = Scenario::example().expect("the example is a scenario");
    scenario.duration_s = 130.0;
    scenario.settle_s = 30.0;
    scenario.objectives.clear();
    scenario.faults = failures;
    scenario
}

fn crash_of_leader(at_s: f64) -> Fault {
    Fault::new(at_s, FaultKind::NodeCrash).with_target(FaultTarget::Leader)
}

/// Plays the scenario and asserts that no rule is violated, `mirror_differs` among them.
fn play_without_violations(scenario: &Scenario) -> Outcome {
    let outcome = play(scenario);
    assert!(outcome.violations.is_empty(), "{:?}", outcome.violations);
    outcome
}

/// The number of takeovers after the first election, and how many of them were warm.
fn takeovers(failures: Vec<Fault>) -> (usize, usize) {
    let outcome = play_without_violations(&scenario_with(failures));
    (outcome.takeovers - 1, outcome.warm_takeovers)
}

#[test]
fn a_standby_with_a_current_replica_takes_over_warm() {
    assert_eq!(takeovers(vec![crash_of_leader(40.0)]), (1, 1));
    assert_eq!(
        takeovers(vec![crash_of_leader(40.0), crash_of_leader(70.0)]),
        (2, 2)
    );
}

#[test]
fn with_standby_follow_turned_off_each_takeover_is_cold() {
    let mut off = scenario_with(vec![crash_of_leader(40.0)]);
    off.properties
        .insert("standby.follow".to_owned(), "0".to_owned());
    let outcome = play_without_violations(&off);
    assert_eq!((outcome.takeovers, outcome.warm_takeovers), (2, 0));
}

/// The replica is compared with the leader's checksum and discarded, unless the job with the wrong revision changes
/// before, which corrects it.
#[test]
fn a_replica_with_one_wrong_revision_is_found_by_its_checksum_and_not_used() {
    let spoiled = |at: f64| {
        let mut spoiled =
            Fault::new(at, FaultKind::MirrorSpoiled).with_target(FaultTarget::Standby);
        spoiled.count = Some(2);
        spoiled
    };
    let soon = (0..8).map(|n| 36.0 + f64::from(n));
    let cold = soon.filter(|at| takeovers(vec![spoiled(*at), crash_of_leader(at + 9.0)]) == (1, 0));
    assert!(
        cold.count() >= 5,
        "a discarded replica is read again only ten seconds later"
    );
    for at in [36.0, 40.0, 44.0] {
        let later = takeovers(vec![spoiled(at), crash_of_leader(at + 30.0)]);
        assert_eq!(later, (1, 1), "by then the replica has been read again");
    }
}

#[test]
fn takeovers_after_the_state_service_dropped_its_history_violate_no_rule() {
    let cut = Fault::new(30.0, FaultKind::NodeCut)
        .with_target(FaultTarget::Standby)
        .with_duration(25.0);
    let forgets = Fault::new(50.0, FaultKind::StateForgets);
    for from in [PartitionedFrom::State, PartitionedFrom::All] {
        let mut cut = cut.clone();
        (cut.from, cut.count) = (Some(from), Some(2));
        play_without_violations(&scenario_with(vec![
            cut,
            forgets.clone(),
            crash_of_leader(56.0),
        ]));
    }
    assert_eq!(
        takeovers(vec![
            Fault::new(39.99, FaultKind::StateForgets),
            crash_of_leader(40.0)
        ])
        .0,
        1
    );
}

#[test]
fn a_standby_cut_off_from_the_leader_or_the_state_service_never_acts_on_stale_state() {
    for (from, lasts) in [
        (PartitionedFrom::Peers, 12.0),
        (PartitionedFrom::State, 12.0),
        (PartitionedFrom::Peers, 60.0),
    ] {
        let mut cut = Fault::new(30.0, FaultKind::NodeCut)
            .with_target(FaultTarget::Standby)
            .with_duration(lasts);
        (cut.from, cut.count) = (Some(from), Some(2));
        let outcome = play_without_violations(&scenario_with(vec![cut, crash_of_leader(41.0)]));
        assert!(outcome.takeovers >= 2);
    }
}

#[test]
fn a_standby_paused_for_twenty_seconds_reads_the_changes_since() {
    let mut stands = Fault::new(20.0, FaultKind::NodeFreeze)
        .with_target(FaultTarget::Standby)
        .with_duration(20.0);
    stands.count = Some(2);
    let (all, warm) = takeovers(vec![stands, crash_of_leader(39.9)]);
    assert_eq!((all, warm), (1, 1));
}

#[test]
fn when_all_controllers_crash_together_the_next_leader_reads_everything() {
    let all = Fault::new(50.0, FaultKind::NodeCrash).with_target(FaultTarget::All);
    assert_eq!(takeovers(vec![all]), (1, 0));
}

#[test]
fn takeovers_during_a_takeover_and_under_a_slow_state_service() {
    for second in [42.3, 42.6, 42.75, 43.0] {
        play_without_violations(&scenario_with(vec![
            crash_of_leader(40.0),
            crash_of_leader(second),
        ]));
    }
    let mut slow = Fault::new(35.0, FaultKind::StateSlow).with_duration(20.0);
    slow.factor = Some(40.0);
    play_without_violations(&scenario_with(vec![slow, crash_of_leader(40.0)]));
    // A transaction of the old leader is executed after the new term has begun.
    let mut loses = Fault::new(38.0, FaultKind::StateLoses).with_duration(4.0);
    (loses.share, loses.late_s) = (Some(0.6), Some(6.0));
    play_without_violations(&scenario_with(vec![loses, crash_of_leader(41.0)]));
}

/// The leader steps down for a while, follows another leader, and is elected again.
#[test]
fn a_leader_that_steps_down_and_is_elected_again() {
    let cut = |at: f64| {
        let mut cut = Fault::new(at, FaultKind::NodeCut)
            .with_target(FaultTarget::Leader)
            .with_duration(8.0);
        cut.from = Some(PartitionedFrom::State);
        cut
    };
    let outcome = play_without_violations(&scenario_with(vec![cut(30.0), cut(55.0), cut(80.0)]));
    assert!(outcome.takeovers >= 3, "{}", outcome.takeovers);
    assert!(outcome.warm_takeovers + 1 >= outcome.takeovers - 1);
}

/// A leader that is told to shut down revokes its lease; after a crash the others wait until the lease expires.
#[test]
fn a_leader_that_shuts_down_in_order_is_replaced_at_once() {
    let silent = |kind: FaultKind| {
        let outcome = play_without_violations(&scenario_with(vec![
            Fault::new(50.0, kind).with_target(FaultTarget::Leader),
        ]));
        assert_eq!((outcome.takeovers, outcome.warm_takeovers), (2, 1));
        let lead = outcome.leads.iter().find(|l| l.at_s > 50.0);
        lead.expect("another controller becomes leader").at_s - 50.0
    };
    assert!(silent(FaultKind::NodeLeaves) < 0.3);
    assert!((0.8..1.9).contains(&silent(FaultKind::NodeCrash)));
}

/// Drawn scenarios with crashes, partitions, pauses and delayed messages: each new leader starts from the state that
/// is stored after its election, and most takeovers are warm.
#[test]
fn in_drawn_scenarios_every_leader_starts_from_the_stored_state() {
    let (mut all, mut warm) = (0, 0);
    for seed in 2_000..2_040 {
        let outcome =
            play_without_violations(&drill::generate::draw(seed).expect("a scenario is drawn"));
        all += outcome.takeovers - 1;
        warm += outcome.warm_takeovers;
    }
    assert!(all > 60 && 3 * warm > 2 * all, "{warm} of {all} are warm");
}

/// Under late answers from the state service the leader asks for a longer lease instead of losing leadership; under
/// answers at normal speed it keeps leadership too.
#[test]
fn a_slow_state_service_causes_no_leader_change() {
    let mut slow = Fault::new(40.0, FaultKind::StateSlow).with_duration(50.0);
    for factor in [1.0, 20.0, 60.0] {
        slow.factor = Some(factor);
        let outcome = play_without_violations(&scenario_with(vec![slow.clone()]));
        assert_eq!(
            outcome.leads.len(),
            1,
            "{factor} times slower: {:?}",
            outcome.leads
        );
    }
    // If answers are lost as well, leadership may change, but no rule is violated.
    let mut loses = Fault::new(50.0, FaultKind::StateLoses).with_duration(30.0);
    (loses.share, loses.late_s) = (Some(0.4), Some(5.0));
    play_without_violations(&scenario_with(vec![slow, loses, crash_of_leader(82.0)]));
}
