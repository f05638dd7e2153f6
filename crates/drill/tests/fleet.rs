//! A fleet of thousands of machines: one day with a change of leader, bounded in time.

use drill::play;
use drill::scenario::{Fault, FaultKind, FaultTarget, Scenario};

const MACHINES: usize = 4_000;

/// The example day at 4,000 machines, cut to what shows a takeover of all of them: most are up from the start, the
/// leader ends when work fills the fleet, and what was accepted is done at the end.
#[test]
fn a_day_of_4000_machines_with_a_failover_breaks_no_rule() {
    let mut day = Scenario::example().expect("the example is a day");
    day.duration_s = 110.0;
    day.settle_s = 50.0;
    day.faults = vec![Fault::new(40.0, FaultKind::NodeCrash).with_target(FaultTarget::Leader)];
    let day = day.with_machines(MACHINES);
    assert!(day.max_machines() >= MACHINES - 10);
    let outcome = play(&day);
    assert!(outcome.violations.is_empty(), "{:?}", outcome.violations);
    assert!(outcome.failed.is_empty(), "{:?}", outcome.failed);
    let lead = outcome.leads.iter().find(|l| l.at_s > 40.0);
    let lead = lead.expect("another leads");
    assert!(lead.silent_s < 6.0, "{lead:?}");
    assert!(outcome.tasks_started > 10_000, "{}", outcome.tasks_started);
    assert_eq!(outcome.given_up, 0);
    let budget = day.state.write_rps * day.duration_s;
    assert!((outcome.state_changes as f64) < 0.2 * budget);
}

/// Budgets grow with the fleet and do not shrink with it; what does not depend on it stays.
#[test]
fn a_day_of_another_size_has_the_budgets_of_that_size() {
    let day = Scenario::example().expect("the example is a day");
    let large = day.clone().with_machines(10 * day.max_machines());
    assert!((large.state.rps - 10.0 * day.state.rps).abs() < 1e-6);
    assert!((large.state.write_rps - 10.0 * day.state.write_rps).abs() < 1e-6);
    assert!((large.cloud.rps - 10.0 * day.cloud.rps).abs() < 1e-6);
    assert_eq!(large.state.kept, 10 * day.state.kept);
    assert_eq!(large.state.value_kb, day.state.value_kb);
    assert_eq!(large.state.txn_ops, day.state.txn_ops);
    assert_eq!(large.fleet, day.fleet);
    let small = day.clone().with_machines(day.max_machines() / 4);
    assert_eq!(
        (small.state, small.cloud),
        (day.state.clone(), day.cloud.clone())
    );
    let same = day.clone().with_machines(day.max_machines());
    assert_eq!(same, day);
}
