//! Combinations of faults that need a scenario of their own: partitioned zones, jobs bound to one zone, overload over
//! slow links, many small jobs, and a pause of all controllers.

use drill::outcome::Outcome;
use drill::play;
use drill::scenario::{Fault, FaultKind, FaultTarget, LogNormalParams, PartitionMode, Scenario};
use rayon::prelude::*;

fn scenario(duration_s: f64, faults: Vec<Fault>) -> Scenario {
    let mut scenario = Scenario::example().expect("the example scenario parses");
    scenario.fleet.restart_s = 0.2;
    scenario.duration_s = duration_s;
    scenario.settle_s = 60.0;
    scenario.objectives.clear();
    scenario.faults = faults;
    scenario
}

fn crash(at_s: f64, whom: FaultTarget) -> Fault {
    Fault::new(at_s, FaultKind::NodeCrash).with_target(whom)
}

fn play_with_8_seeds(scenario: &Scenario) -> Vec<Outcome> {
    (1..=8u64)
        .into_par_iter()
        .map(|seed| {
            let mut scenario = scenario.clone();
            scenario.seed = seed;
            play(&scenario)
        })
        .collect()
}

/// Plays the scenario with 8 seeds and asserts that no rule breaks and every class and team is served at least by half.
fn assert_no_failure(scenario: &Scenario) -> Vec<Outcome> {
    let outcomes = play_with_8_seeds(scenario);
    for o in &outcomes {
        let problems = (&o.failed, &o.violations);
        assert!(o.failed.is_empty(), "seed {}: {problems:?}", o.seed);
    }
    outcomes
}

/// Guards against tasks that run twice or after their cancellation when a zone with workers and a controller is
/// partitioned for longer than the lease: first the leader's zone, then another one. Packets are delivered late, lost
/// or answered with a reset; meanwhile users cancel jobs and the new leader crashes.
#[test]
fn a_zone_with_workers_and_a_controller_is_partitioned_for_longer_than_a_lease() {
    let lease = Scenario::default().fleet.lease_s;
    for mode in [
        PartitionMode::Hold,
        PartitionMode::Lose,
        PartitionMode::Reset,
    ] {
        let mut own = Fault::new(40.0, FaultKind::ZoneCut)
            .with_target(FaultTarget::Leader)
            .with_duration(1.7 * lease);
        own.mode = Some(mode);
        let mut other = Fault::new(110.0, FaultKind::ZoneCut).with_duration(1.5 * lease);
        (other.zone, other.mode) = (Some("west".to_owned()), Some(mode));
        let mut scenario = scenario(260.0, vec![own, crash(52.0, FaultTarget::Leader), other]);
        for c in &mut scenario.classes {
            c.cancelled = 0.4;
        }
        assert_no_failure(&scenario);
    }
}

/// Jobs that are bound to one zone, or need all tasks in the same zone, lose machines there while the leader
/// crashes.
#[test]
fn jobs_bound_to_one_zone_lose_machines() {
    let mut die = Fault::new(40.0, FaultKind::MachineDie);
    die.count = Some(6);
    let mut again = Fault::new(70.0, FaultKind::MachineDie);
    again.count = Some(6);
    let mut taken = Fault::new(60.0, FaultKind::SpotTaken);
    (taken.share, taken.notice_s) = (Some(0.6), Some(0.0));
    let faults = vec![
        die,
        crash(42.0, FaultTarget::Leader),
        taken,
        again,
        crash(71.0, FaultTarget::All),
    ];
    let mut scenario = scenario(300.0, faults);
    for (n, c) in scenario.classes.iter_mut().enumerate() {
        (c.pinned, c.together, c.apart) = if n == 1 {
            (0.0, 1.0, 0.0)
        } else {
            (1.0, 0.0, 0.0)
        };
        c.tasks.max = c.tasks.max.min(12.0);
    }
    let outcomes = assert_no_failure(&scenario);
    assert!(outcomes.iter().all(|o| o.tasks_started > 200));
}

/// Bursts of urgent and other jobs exceed the capacity over slow links, and the leader crashes meanwhile. No rule may
/// break, and every class and team must have at least half of its work done once the bursts are over.
#[test]
fn more_work_than_capacity_over_slow_links() {
    let burst = |class: &str| {
        let mut burst = Fault::new(40.0, FaultKind::JobBurst).with_duration(30.0);
        (burst.class, burst.factor) = (Some(class.to_owned()), Some(4.0));
        burst
    };
    let faults = vec![
        burst("quick"),
        burst("slow"),
        crash(55.0, FaultTarget::Leader),
        crash(75.0, FaultTarget::All),
    ];
    let mut scenario = scenario(420.0, faults);
    (
        scenario.network.same_zone_ms,
        scenario.network.cross_zone_ms,
    ) = (30.0, 120.0);
    (scenario.network.loss, scenario.settle_s) = (0.01, 200.0);
    assert_no_failure(&scenario);
}

/// Single-task jobs arrive four a second for minutes, a quarter of them is cancelled, and the leader crashes twice;
/// the second round has half as many machines again and the same request budgets. Requests to the state service must
/// stay within the budget, the other classes must be served, and the backlog must be gone within a minute.
#[test]
fn single_task_jobs_four_a_second_for_minutes() {
    for size in [1.0, 1.5] {
        let mut scenario = scenario(
            330.0,
            vec![
                crash(130.0, FaultTarget::Leader),
                crash(200.0, FaultTarget::Leader),
            ],
        );
        let one = LogNormalParams {
            median: 1.0,
            p95: 1.0,
            max: 1.0,
        };
        let first = &mut scenario.classes[0];
        (first.rate, first.cancelled, first.tasks) = (4.0, 0.25, one);
        first.run_s = LogNormalParams {
            median: 6.0,
            p95: 10.0,
            max: 15.0,
        };
        let machines = (scenario.max_machines() as f64 * size) as usize;
        let (state, rate) = (scenario.state.clone(), scenario.classes[0].rate);
        let mut scenario = scenario.with_machines(machines);
        (scenario.state, scenario.classes[0].rate) = (state, rate);
        for o in assert_no_failure(&scenario) {
            assert!(o.submissions > 900, "{} submissions", o.submissions);
            let most = scenario.state.rps * scenario.duration_s;
            assert!(
                (o.state_requests as f64) < 0.8 * most,
                "{}",
                o.state_requests
            );
            assert!(o.classes[0].share > 0.97, "{:?}", o.classes[0]);
            assert_eq!(o.given_up, 0);
        }
    }
}

/// All controllers freeze for longer than the lease and resume at the same time, while users cancel jobs.
#[test]
fn all_controllers_pause_for_longer_than_a_lease() {
    let lease = Scenario::default().fleet.lease_s;
    let freeze = Fault::new(45.0, FaultKind::NodeFreeze)
        .with_target(FaultTarget::All)
        .with_duration(1.4 * lease);
    let mut scenario = scenario(240.0, vec![freeze, crash(130.0, FaultTarget::All)]);
    for c in &mut scenario.classes {
        c.cancelled = 0.4;
    }
    assert_no_failure(&scenario);
}
