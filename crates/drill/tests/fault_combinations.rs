//! Scenarios drawn from seeds in which two faults come together: none of them may violate a rule.

use drill::outcome::Outcome;
use drill::tamper::Tamper;
use drill::world::World;
use drill::{generate, play};
use rayon::prelude::*;

#[test]
fn drawn_fault_combinations_violate_no_rule_and_all_work_is_served() {
    let outcomes: Vec<Outcome> = (1..=80u64)
        .into_par_iter()
        .map(|seed| play(&generate::draw_fault_combinations(seed).expect("a scenario is drawn")))
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
    let cancelled: u64 = outcomes
        .iter()
        .filter_map(|o| o.endings.get("stopped"))
        .sum();
    assert!(cancelled > 1_000, "only {cancelled} tasks were stopped");
}

/// Shows that the check of a class's largest jobs can fail: start commands of wide jobs are dropped.
#[test]
fn a_run_whose_largest_jobs_never_start_fails() {
    let fails = (1..=40u64).into_par_iter().any(|seed| {
        let scenario = generate::draw_fault_combinations(2 * seed).expect("a scenario is drawn");
        let mut world = World::new(scenario);
        world.tamper = Some(Tamper::LoseStartsOfWideJobs);
        let failed = world.play(|_| {}).failed;
        failed.iter().any(|f| f.starts_with("largest of "))
    });
    assert!(fails);
}

/// Shows that the check of invalid submissions can fail: all are answered as accepted.
#[test]
fn a_run_that_accepts_invalid_submissions_fails() {
    let fails = (1..=40u64).into_par_iter().any(|seed| {
        let mut world =
            World::new(generate::draw_fault_combinations(seed).expect("a scenario is drawn"));
        world.tamper = Some(Tamper::AcceptInvalidJobs);
        world.play(|_| {}).violations.contains_key("unfit_accepted")
    });
    assert!(fails);
}

/// Each kind of fault that combinations are drawn from occurs in some of these scenarios.
#[test]
fn fault_combinations_are_drawn_from_all_fault_kinds() {
    let scenarios = (1..=80u64)
        .map(|seed| generate::draw_fault_combinations(seed).expect("a scenario is drawn"));
    let text: String = scenarios.map(|d| d.to_toml()).collect();
    for kind in [
        "state_refuses",
        "state_outage",
        "watches_hang",
        "machine_deaf",
        "late_reports",
        "state_loses",
        "node_freeze",
        "machine_hang",
        "node_crash",
        "machine_mute",
        "cancel_now",
        "cancel_at_end",
        "close_looks",
        "odd_requests",
        "boots_early",
    ] {
        assert!(text.contains(&format!("kind = \"{kind}\"")), "{kind}");
    }
    for flag in ["for_next = true", "at_once = true"] {
        assert!(text.lines().any(|l| l == flag), "{flag}");
    }
}
