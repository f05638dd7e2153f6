//! Meetings that need a whole day: zones cut off, zone-bound jobs, floods over slow links, many small jobs.

use drill::day::{Day, Failure, Kind, Mode, Spread, Whom};
use drill::outcome::Outcome;
use drill::play;
use rayon::prelude::*;

fn day(duration_s: f64, failures: Vec<Failure>) -> Day {
    let mut day = Day::example().expect("the example is a day");
    day.fleet.restart_s = 0.2;
    day.duration_s = duration_s;
    day.settle_s = 60.0;
    day.aims.clear();
    day.failures = failures;
    day
}

fn ends(at_s: f64, whom: Whom) -> Failure {
    Failure::new(at_s, Kind::NodeCrash).hits(whom)
}

fn played(day: &Day) -> Vec<Outcome> {
    (1..=8u64)
        .into_par_iter()
        .map(|seed| {
            let mut day = day.clone();
            day.seed = seed;
            play(&day)
        })
        .collect()
}

/// No rule broke, and all were served.
fn kept(day: &Day) -> Vec<Outcome> {
    let outcomes = played(day);
    for o in &outcomes {
        let told = (&o.failed, &o.broken);
        assert!(o.failed.is_empty(), "seed {}: {told:?}", o.seed);
    }
    outcomes
}

/// A zone with workers and a controller, the leader's and then another one, is cut off for longer than the lease,
/// with what was sent held and delivered late, while users cancel; the leader outside ends too.
#[test]
fn a_zone_with_workers_and_a_controller_is_partitioned_for_longer_than_a_lease() {
    let lease = Day::default().fleet.lease_s;
    for mode in [Mode::Hold, Mode::Lose, Mode::Reset] {
        let mut own = Failure::new(40.0, Kind::ZoneCut)
            .hits(Whom::Leader)
            .lasts(1.7 * lease);
        own.mode = Some(mode);
        let mut other = Failure::new(110.0, Kind::ZoneCut).lasts(1.5 * lease);
        (other.zone, other.mode) = (Some("west".to_owned()), Some(mode));
        let mut day = day(260.0, vec![own, ends(52.0, Whom::Leader), other]);
        for c in &mut day.classes {
            c.cancelled = 0.4;
        }
        kept(&day);
    }
}

/// Jobs bound to one zone, or to have all of their tasks in one, arrays too, lose machines there while the leader
/// ends.
#[test]
fn jobs_bound_to_one_zone_lose_machines() {
    let mut die = Failure::new(40.0, Kind::MachineDie);
    die.count = Some(6);
    let mut again = Failure::new(70.0, Kind::MachineDie);
    again.count = Some(6);
    let mut taken = Failure::new(60.0, Kind::SpotTaken);
    (taken.share, taken.notice_s) = (Some(0.6), Some(0.0));
    let failures = vec![
        die,
        ends(42.0, Whom::Leader),
        taken,
        again,
        ends(71.0, Whom::All),
    ];
    let mut day = day(300.0, failures);
    for (n, c) in day.classes.iter_mut().enumerate() {
        (c.pinned, c.together, c.apart) = if n == 1 {
            (0.0, 1.0, 0.0)
        } else {
            (1.0, 0.0, 0.0)
        };
        c.tasks.max = c.tasks.max.min(12.0);
    }
    let outcomes = kept(&day);
    assert!(outcomes.iter().all(|o| o.tasks_started > 200));
}

/// More work than room, urgent and not, over slow links, with the leader ending in the worst of it: no rule breaks,
/// every class and team has its half once the flood is over.
#[test]
fn more_work_than_capacity_over_slow_links() {
    let burst = |class: &str| {
        let mut burst = Failure::new(40.0, Kind::JobBurst).lasts(30.0);
        (burst.class, burst.factor) = (Some(class.to_owned()), Some(4.0));
        burst
    };
    let failures = vec![
        burst("quick"),
        burst("slow"),
        ends(55.0, Whom::Leader),
        ends(75.0, Whom::All),
    ];
    let mut day = day(420.0, failures);
    (day.network.same_zone_ms, day.network.cross_zone_ms) = (30.0, 120.0);
    (day.network.loss, day.settle_s) = (0.01, 200.0);
    kept(&day);
}

/// One-task jobs come four a second for minutes, a quarter of them is cancelled, and the leader ends in the middle;
/// on half as many machines again, with the same budgets. The requests stay within the budget, the other classes are
/// served, and the backlog is gone within a minute.
#[test]
fn single_task_jobs_four_a_second_for_minutes() {
    for size in [1.0, 1.5] {
        let mut day = day(
            330.0,
            vec![ends(130.0, Whom::Leader), ends(200.0, Whom::Leader)],
        );
        let one = Spread {
            median: 1.0,
            p95: 1.0,
            max: 1.0,
        };
        let first = &mut day.classes[0];
        (first.rate, first.cancelled, first.tasks) = (4.0, 0.25, one);
        first.run_s = Spread {
            median: 6.0,
            p95: 10.0,
            max: 15.0,
        };
        let machines = (day.machines() as f64 * size) as usize;
        let (state, rate) = (day.state.clone(), day.classes[0].rate);
        let mut day = day.with_machines(machines);
        (day.state, day.classes[0].rate) = (state, rate);
        for o in kept(&day) {
            assert!(o.submissions > 900, "{} submissions", o.submissions);
            let most = day.state.rps * day.duration_s;
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

/// All controllers are away for longer than the lease, and all come back within a moment, while users cancel.
#[test]
fn all_controllers_pause_for_longer_than_a_lease() {
    let lease = Day::default().fleet.lease_s;
    let freeze = Failure::new(45.0, Kind::NodeFreeze)
        .hits(Whom::All)
        .lasts(1.4 * lease);
    let mut day = day(240.0, vec![freeze, ends(130.0, Whom::All)]);
    for c in &mut day.classes {
        c.cancelled = 0.4;
    }
    kept(&day);
}
