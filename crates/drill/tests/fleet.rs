//! A short scenario with thousands of machines and one failover.

use drill::play;
use drill::scenario::{Fault, FaultKind, FaultTarget, Scenario};

const MACHINES: usize = 4_000;

/// The example scenario at 4,000 machines, shortened to one failover: most machines are up from the start, the leader
/// crashes when work fills the fleet, and what was accepted is done at the end.
#[test]
fn a_scenario_of_4000_machines_with_a_failover_violates_no_rule() {
    let mut scenario = Scenario::example().expect("the example is a scenario");
    scenario.duration_s = 110.0;
    scenario.settle_s = 50.0;
    scenario.faults = vec![Fault::new(40.0, FaultKind::NodeCrash).with_target(FaultTarget::Leader)];
    let scenario = scenario.with_machines(MACHINES);
    assert!(scenario.max_machines() >= MACHINES - 10);
    let outcome = play(&scenario);
    assert!(outcome.violations.is_empty(), "{:?}", outcome.violations);
    assert!(outcome.failed.is_empty(), "{:?}", outcome.failed);
    let lead = outcome.leads.iter().find(|l| l.at_s > 40.0);
    let lead = lead.expect("another controller becomes leader");
    assert!(lead.silent_s < 6.0, "{lead:?}");
    assert!(outcome.tasks_started > 10_000, "{}", outcome.tasks_started);
    assert_eq!(outcome.given_up, 0);
    let budget = scenario.state.write_rps * scenario.duration_s;
    assert!((outcome.state_changes as f64) < 0.2 * budget);
}

/// The budgets of state service and cloud grow with the fleet but do not shrink with it; all other limits stay.
#[test]
fn a_scenario_scaled_to_more_machines_gets_larger_budgets() {
    let scenario = Scenario::example().expect("the example is a scenario");
    let large = scenario.clone().with_machines(10 * scenario.max_machines());
    assert!((large.state.rps - 10.0 * scenario.state.rps).abs() < 1e-6);
    assert!((large.state.write_rps - 10.0 * scenario.state.write_rps).abs() < 1e-6);
    assert!((large.cloud.rps - 10.0 * scenario.cloud.rps).abs() < 1e-6);
    assert_eq!(large.state.kept, 10 * scenario.state.kept);
    assert_eq!(large.state.value_kb, scenario.state.value_kb);
    assert_eq!(large.state.txn_ops, scenario.state.txn_ops);
    assert_eq!(large.fleet, scenario.fleet);
    let small = scenario.clone().with_machines(scenario.max_machines() / 4);
    assert_eq!(
        (small.state, small.cloud),
        (scenario.state.clone(), scenario.cloud.clone())
    );
    let same = scenario.clone().with_machines(scenario.max_machines());
    assert_eq!(same, scenario);
}
