//! Scenarios drawn from seeds in which two faults come together: none of them may violate a rule.

use drill::copies::RequestCopies;
use drill::outcome::Outcome;
use drill::scenario::{FaultKind, Scenario};
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

/// Late copies of requests that were carried out reach machines, state service, cloud and controllers in the drawn
/// scenarios; without the fence that keeps workers from executing a start again, they break rules there.
#[test]
fn late_copies_of_requests_are_drawn_and_break_rules_without_their_guard() {
    let with_copies: Vec<Outcome> = (1..=60u64)
        .into_par_iter()
        .map(|seed| generate::draw(seed).expect("a scenario is drawn"))
        .filter(|scenario| {
            let mut faults = scenario.faults.iter();
            faults.any(|fault| fault.kind == FaultKind::RequestCopies)
        })
        .map(|scenario| play(&scenario))
        .collect();
    assert!(with_copies.len() >= 10, "{} scenarios", with_copies.len());
    for outcome in &with_copies {
        assert_eq!(outcome.violations.len(), 0, "seed {}", outcome.seed);
    }
    let copies = |to: fn(&RequestCopies) -> u64| -> u64 {
        with_copies.iter().map(|o| to(&o.request_copies)).sum()
    };
    assert!(copies(|copies| copies.machines) > 1_000);
    assert!(copies(|copies| copies.state_service) > 1_000);
    assert!(copies(|copies| copies.cloud) > 10);
    assert!(copies(|copies| copies.controllers) > 1_000);
    let ran_twice = (1..=60u64).into_par_iter().any(|seed| {
        let scenario = generate::draw_with_injected_fault(seed, "reaped-unfenced")
            .expect("a scenario is drawn");
        play(&scenario).violations.contains_key("ran_twice")
    });
    assert!(ran_twice);
}

/// Pipelines whose first jobs are cancelled while the state service refuses the leader alone, right before an outage
/// longer than `cancel_s`, are drawn; without the check of dependencies, answers after the outage call the later jobs live.
#[test]
fn cancelled_pipelines_are_drawn_and_break_a_rule_without_the_check_of_dependencies() {
    let with_pipelines: Vec<Scenario> = (1..=60u64)
        .map(|seed| generate::draw(seed).expect("a scenario is drawn"))
        .filter(|scenario| scenario.faults.iter().any(|fault| fault.with_followers))
        .collect();
    assert!(
        with_pipelines.len() >= 10,
        "{} scenarios",
        with_pipelines.len()
    );
    let broken = |planted: Option<&str>| {
        let planted_scenarios = with_pipelines.clone().into_par_iter().map(|mut scenario| {
            scenario.planted = planted.map(str::to_owned);
            play(&scenario)
        });
        planted_scenarios
            .filter(|outcome| outcome.violations.contains_key("orphaned"))
            .count()
    };
    assert_eq!(broken(None), 0);
    let without_check = broken(Some("cascade-left-to-leader"));
    assert!(without_check >= 5, "{without_check} scenarios");
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
        "request_copies",
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
