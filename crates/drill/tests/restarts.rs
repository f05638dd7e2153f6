//! Controller processes that restart within a fraction of a second: a new incarnation must not rely on the calls,
//! leases or names of the previous one. Each case is played with several controllers and more than ten machines.

use drill::outcome::Outcome;
use drill::scenario::{Fault, FaultKind, FaultTarget, PartitionMode, PartitionedFrom, Scenario};
use drill::{generate, play};
use rayon::prelude::*;

/// A scenario of 150 s with three controllers and 25 machines; a crashed process is back after 50 ms.
fn scenario_with(failures: Vec<Fault>) -> Scenario {
    let mut scenario = Scenario::example().expect("the example is a scenario");
    scenario.fleet.restart_s = 0.05;
    scenario.duration_s = 150.0;
    scenario.settle_s = 40.0;
    scenario.objectives.clear();
    scenario.faults = failures;
    scenario
}

fn crash_of(at_s: f64, whom: FaultTarget) -> Fault {
    Fault::new(at_s, FaultKind::NodeCrash).with_target(whom)
}

/// The given fault, followed by `times` crashes of the controllers that it hit.
fn crash_again(first: Fault, times: usize, every_s: f64) -> Vec<Fault> {
    let at = first.at_s;
    let more = (1..=times).map(|n| crash_of(at + every_s * n as f64, FaultTarget::Again));
    [first].into_iter().chain(more).collect()
}

/// Plays the scenario with six seeds and asserts that no rule is violated and every class and team is served.
fn play_without_violations(scenario: &Scenario) -> Vec<Outcome> {
    let outcomes: Vec<Outcome> = (1..=6u64)
        .into_par_iter()
        .map(|seed| {
            let mut scenario = scenario.clone();
            scenario.seed = seed;
            play(&scenario)
        })
        .collect();
    for o in &outcomes {
        assert!(
            o.failed.is_empty(),
            "seed {}: {:?} {:?}",
            o.seed,
            o.failed,
            o.violations
        );
    }
    outcomes
}

/// Calls of one incarnation are answered after the next has started. The state service is slow, so that answers to
/// three incarnations are on their way at once.
#[test]
fn answers_to_a_previous_incarnation_are_ignored_by_the_next() {
    let mut slow = Fault::new(40.0, FaultKind::StateSlow).with_duration(8.0);
    slow.factor = Some(40.0);
    let mut failures = vec![slow];
    failures.extend(crash_again(crash_of(42.0, FaultTarget::All), 8, 0.35));
    let strays: u64 = play_without_violations(&scenario_with(failures))
        .iter()
        .map(|o| o.strays)
        .sum();
    assert!(
        strays > 50,
        "only {strays} answers reached another incarnation"
    );
}

/// The lease of the previous incarnation is still valid at the state service: the new one leads under a higher term
/// or not at all.
#[test]
fn a_leader_that_restarts_at_once_does_not_act_under_its_previous_leader_key() {
    for outcome in play_without_violations(&scenario_with(crash_again(
        crash_of(40.0, FaultTarget::Leader),
        3,
        8.0,
    ))) {
        assert!(outcome.takeovers >= 2, "{:?}", outcome.leads);
        let silent = outcome.leads.iter().skip(1).map(|l| l.silent_s);
        assert!(silent.fold(0.0, f64::max) < 2.0, "{:?}", outcome.leads);
    }
}

/// Frames to peers of two incarnations are held by a partition and delivered one after the other.
#[test]
fn delayed_frames_of_two_incarnations_are_not_confused() {
    let mut cut = Fault::new(40.0, FaultKind::NodeCut)
        .with_target(FaultTarget::Leader)
        .with_duration(4.0);
    (cut.from, cut.mode) = (Some(PartitionedFrom::Peers), Some(PartitionMode::Hold));
    let mut failures = vec![cut];
    failures.extend([
        crash_of(41.0, FaultTarget::Again),
        crash_of(41.5, FaultTarget::Again),
    ]);
    failures.push(crash_of(60.0, FaultTarget::Standby));
    play_without_violations(&scenario_with(failures));
}

/// Commands to workers are held by a partition and executed after the next incarnation has started.
#[test]
fn commands_of_a_previous_incarnation_executed_late_violate_no_rule() {
    let mut failures = Vec::new();
    for at in [30.0, 70.0] {
        let mut cut = Fault::new(at, FaultKind::NodeCut)
            .with_target(FaultTarget::Leader)
            .with_duration(9.0);
        (cut.from, cut.mode) = (Some(PartitionedFrom::Workers), Some(PartitionMode::Hold));
        failures.extend([
            cut,
            crash_of(at + 3.0, FaultTarget::Again),
            crash_of(at + 6.0, FaultTarget::Again),
        ]);
    }
    play_without_violations(&scenario_with(failures));
}

/// Rentals are executed long after the incarnation that named them has ended. If the next one used a name again, the
/// cloud would take its request for a repeated one.
#[test]
fn rental_names_of_a_previous_incarnation_are_not_reused() {
    let mut late = Fault::new(20.0, FaultKind::CloudLate).with_duration(20.0);
    late.factor = Some(1.0);
    let mut lost = Fault::new(22.0, FaultKind::MachineDie);
    lost.count = Some(6);
    let mut failures = vec![late, lost];
    failures.extend(crash_again(crash_of(26.0, FaultTarget::Leader), 4, 2.5));
    play_without_violations(&scenario_with(failures));
}

/// The controller crashes after it has sent the write of a submission, about when the answer arrives: the job is
/// accepted or not, and a repeated submission learns which.
#[test]
fn a_crash_between_the_stored_write_and_the_answer_to_the_user_loses_no_job() {
    let asking = |at: f64| Fault::new(at, FaultKind::NodeEndsAsking).with_target(FaultTarget::Any);
    let failures = (0..30).map(|n| asking(20.0 + 2.0 * f64::from(n)));
    for outcome in play_without_violations(&scenario_with(failures.collect())) {
        assert_eq!(outcome.given_up, 0, "every submission is accepted in time");
    }
}

/// A controller crashes every 0.3 s for a minute: the others serve, and it does not become leader after each restart
/// only to crash again.
#[test]
fn a_controller_in_a_crash_loop_leaves_leadership_to_the_others() {
    for outcome in play_without_violations(&scenario_with(crash_again(
        crash_of(40.0, FaultTarget::Leader),
        200,
        0.3,
    ))) {
        let meanwhile = |l: &&drill::outcome::LeadershipPeriod| l.at_s > 40.0 && l.at_s < 100.0;
        let leads: Vec<_> = outcome.leads.iter().filter(meanwhile).collect();
        assert!(leads.len() <= 2, "{leads:?}");
        assert_eq!(outcome.given_up, 0);
    }
}

/// All controllers crash repeatedly, at every stage of their start.
#[test]
fn all_controllers_crash_again_while_they_load() {
    let mut failures = crash_again(crash_of(40.0, FaultTarget::All), 12, 0.4);
    failures.extend(crash_again(crash_of(70.0, FaultTarget::All), 12, 0.13));
    play_without_violations(&scenario_with(failures));
}

/// Connections between controllers are refused for longer than a lease, while each controller is up: workers are
/// redirected to the leader itself. When they were redirected among the followers, which the leader refuses, no
/// controller could answer them, and they lost all their tasks.
#[test]
fn workers_are_redirected_to_a_leader_that_refuses_its_peers() {
    let mut scenario = scenario_with(vec![
        Fault::new(40.0, FaultKind::PeersRefuse).with_duration(40.0),
    ]);
    scenario.duration_s = 180.0;
    for outcome in play_without_violations(&scenario) {
        assert_eq!(outcome.killed_by_lease, 0, "seed {}", outcome.seed);
    }
}

#[test]
fn drawn_scenarios_include_quick_restarts_and_violate_no_rule() {
    let scenarios: Vec<Scenario> = (5_001..=5_050u64)
        .map(|seed| generate::draw(seed).expect("a scenario is drawn"))
        .collect();
    let quick = scenarios.iter().filter(|d| d.fleet.restart_s < 0.4).count();
    assert!((15..=35).contains(&quick), "{quick} of 50 are quick");
    let violations: Vec<_> = scenarios
        .par_iter()
        .map(play)
        .filter(|o| !o.violations.is_empty())
        .map(|o| (o.seed, o.violations))
        .collect();
    assert!(violations.is_empty(), "{violations:?}");
}
