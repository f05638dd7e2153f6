//! Tests of the classification of differences, the counts of one heartbeat, and the phases of a reconciliation.

use super::*;
use std::collections::BTreeSet;

fn task(job: u32, index: u32) -> TaskId {
    TaskId { job, index }
}

#[test]
fn each_difference_between_store_and_report_has_its_own_outcome() {
    let reports = [
        None,
        Some(ReportedState::Present),
        Some(ReportedState::Ended),
    ];
    let combinations = [false, true]
        .into_iter()
        .flat_map(|stored| reports.map(|reported| (stored, reported)));
    let outcomes: Vec<Option<ReconciliationOutcome>> = combinations
        .map(|(stored, reported)| reconcile_task(stored, reported))
        .collect();
    assert_eq!(outcomes[0], None, "neither knows of the task");
    let distinct: BTreeSet<String> = outcomes
        .iter()
        .flatten()
        .map(|outcome| format!("{outcome:?}"))
        .collect();
    assert_eq!(
        distinct.len(),
        5,
        "each combination has an outcome of its own: {distinct:?}"
    );
}

#[test]
fn a_heartbeat_is_reconciled_task_by_task() {
    let mut counts = ReconciliationCounts::default();
    let stored = [task(1, 0), task(1, 1), task(1, 2), task(2, 0)];
    let reported = [
        (task(1, 0), ReportedState::Present),
        (task(1, 1), ReportedState::Ended),
        // An earlier attempt of the task has ended and the next one runs.
        (task(2, 0), ReportedState::Ended),
        (task(2, 0), ReportedState::Present),
        (task(3, 7), ReportedState::Present),
        (task(4, 0), ReportedState::Ended),
    ];
    counts.reconcile(&stored, &reported, true);
    assert_eq!(
        (counts.agreed, counts.finished_meanwhile, counts.missing),
        (2, 1, 1)
    );
    assert_eq!((counts.unknown, counts.stale), (1, 1));
    let all = counts.agreed + counts.finished_meanwhile + counts.missing;
    assert_eq!(all, stored.len() as u64, "each stored task is counted once");
    let mut without_proof = ReconciliationCounts::default();
    without_proof.reconcile(&stored, &[(task(1, 0), ReportedState::Present)], false);
    assert_eq!((without_proof.agreed, without_proof.missing), (1, 0));
}

#[test]
fn nothing_is_preempted_before_the_fleet_is_known_and_then_at_the_completion_rate() {
    let mut reconciliation = Reconciliation::new(SECOND, 1_000, 8 * SECOND);
    reconciliation.expect_completion_rate(100.0);
    reconciliation.observe(2 * SECOND, 900, 10);
    assert_eq!(
        reconciliation.phase(2 * SECOND),
        ReconciliationPhase::Probing
    );
    assert_eq!(
        reconciliation.take_preemption_allowance(2 * SECOND, 0.0),
        0.0
    );
    assert!(
        reconciliation
            .waiting_for(2 * SECOND)
            .expect("the reconciliation is not complete")
            .starts_with("900 of 1000")
    );
    reconciliation.observe(3 * SECOND, 960, 20);
    assert!(reconciliation.is_fleet_known(3 * SECOND));
    // Over ten seconds, with many passes, no more is preempted than completes by itself.
    let mut preempted = 0.0;
    for pass in 0..100 {
        let now = 3 * SECOND + pass * 100 * MILLISECOND;
        let allowed = reconciliation.take_preemption_allowance(now, 0.0);
        if allowed > 0.0 {
            reconciliation.note_preempted(allowed);
            preempted += allowed;
        }
    }
    assert!((900.0..=1_000.0).contains(&preempted), "{preempted}");
    // The measured completion rate is used where it is higher than the expected one.
    reconciliation.take_preemption_allowance(13 * SECOND, 400.0);
    assert!(reconciliation.take_preemption_allowance(14 * SECOND, 400.0) > 150.0);
    assert_eq!(
        reconciliation.take_preemption_allowance(24 * SECOND, 0.0),
        f64::INFINITY
    );
    assert_eq!(
        reconciliation.phase(24 * SECOND),
        ReconciliationPhase::Complete
    );
}

#[test]
fn the_wait_for_unresponsive_machines_has_a_deadline_and_an_empty_registry_needs_none() {
    let mut reconciliation = Reconciliation::new(SECOND, 300, 4 * SECOND);
    reconciliation.observe(10 * SECOND, 100, 0);
    assert!(
        !reconciliation.is_fleet_known(10 * SECOND),
        "only a third has confirmed before the deadline"
    );
    reconciliation.observe(12 * SECOND, 100, 0);
    assert!(
        reconciliation.is_fleet_known(12 * SECOND),
        "the others are assumed unresponsive after the deadline"
    );
    assert_eq!(
        Reconciliation::new(0, 0, SECOND).phase(0),
        ReconciliationPhase::Complete
    );
}

#[test]
fn the_maximum_of_commands_per_second_is_recorded() {
    let mut reconciliation = Reconciliation::new(0, 10, SECOND);
    for (at_ms, commands_sent) in [
        (0, 0),
        (250, 5),
        (500, 40),
        (750, 42),
        (1_750, 44),
        (2_000, 60),
    ] {
        reconciliation.observe(at_ms * MILLISECOND, 0, commands_sent);
    }
    assert_eq!(reconciliation.commands_per_second_max(), 42);
}
