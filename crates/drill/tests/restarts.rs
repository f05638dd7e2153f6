//! Processes that are back within a fraction of a second, each hard case caused on several controllers
//! and more than ten machines: what one life asked, held or was named by is nothing to the next.

use drill::outcome::Outcome;
use drill::scenario::{Fault, FaultKind, FaultTarget, PartitionMode, PartitionedFrom, Scenario};
use drill::{generate, play};
use rayon::prelude::*;

/// A day of 150 s on three controllers and 25 machines; a process that ends is back after 50 ms.
fn day(failures: Vec<Fault>) -> Scenario {
    let mut day = Scenario::example().expect("the example is a day");
    day.fleet.restart_s = 0.05;
    day.duration_s = 150.0;
    day.settle_s = 40.0;
    day.objectives.clear();
    day.faults = failures;
    day
}

fn ends(at_s: f64, whom: FaultTarget) -> Fault {
    Fault::new(at_s, FaultKind::NodeCrash).with_target(whom)
}

/// A failure, and the end of what it hit, so many times.
fn again(first: Fault, times: usize, every_s: f64) -> Vec<Fault> {
    let at = first.at_s;
    let more = (1..=times).map(|n| ends(at + every_s * n as f64, FaultTarget::Again));
    [first].into_iter().chain(more).collect()
}

/// Plays it with a few seeds and sees that no rule broke and all were served.
fn kept(day: &Scenario) -> Vec<Outcome> {
    let outcomes: Vec<Outcome> = (1..=6u64)
        .into_par_iter()
        .map(|seed| {
            let mut day = day.clone();
            day.seed = seed;
            play(&day)
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

/// What the former life asked is answered to the next: the state service is slow, so answers of three
/// lives are on their way at once.
#[test]
fn answers_to_a_former_life_are_not_taken_by_the_next() {
    let mut slow = Fault::new(40.0, FaultKind::StateSlow).with_duration(8.0);
    slow.factor = Some(40.0);
    let mut failures = vec![slow];
    failures.extend(again(ends(42.0, FaultTarget::All), 8, 0.35));
    let strays: u64 = kept(&day(failures)).iter().map(|o| o.strays).sum();
    assert!(strays > 50, "only {strays} answers came to another life");
}

/// Its grant lives on at the state service: it leads under a higher term or not at all.
#[test]
fn a_leader_that_is_back_at_once_does_not_lead_on_under_its_former_key() {
    for outcome in kept(&day(again(ends(40.0, FaultTarget::Leader), 3, 8.0))) {
        assert!(outcome.takeovers >= 2, "{:?}", outcome.leads);
        let silent = outcome.leads.iter().skip(1).map(|l| l.silent_s);
        assert!(silent.fold(0.0, f64::max) < 2.0, "{:?}", outcome.leads);
    }
}

/// Frames of both lives are held on their way, and come one after the other.
#[test]
fn two_lives_whose_frames_come_late_are_not_mixed_up() {
    let mut cut = Fault::new(40.0, FaultKind::NodeCut)
        .with_target(FaultTarget::Leader)
        .with_duration(4.0);
    (cut.from, cut.mode) = (Some(PartitionedFrom::Peers), Some(PartitionMode::Hold));
    let mut failures = vec![cut];
    failures.extend([
        ends(41.0, FaultTarget::Again),
        ends(41.5, FaultTarget::Again),
    ]);
    failures.push(ends(60.0, FaultTarget::Standby));
    kept(&day(failures));
}

/// Commands of the former life are held and executed after the next one's start.
#[test]
fn commands_of_a_former_life_that_are_executed_late_do_no_harm() {
    let mut failures = Vec::new();
    for at in [30.0, 70.0] {
        let mut cut = Fault::new(at, FaultKind::NodeCut)
            .with_target(FaultTarget::Leader)
            .with_duration(9.0);
        (cut.from, cut.mode) = (Some(PartitionedFrom::Workers), Some(PartitionMode::Hold));
        failures.extend([
            cut,
            ends(at + 3.0, FaultTarget::Again),
            ends(at + 6.0, FaultTarget::Again),
        ]);
    }
    kept(&day(failures));
}

/// Rentals are executed when their names' life is long over.
#[test]
fn names_of_rentals_of_a_former_life_are_not_used_again() {
    let mut late = Fault::new(20.0, FaultKind::CloudLate).with_duration(20.0);
    late.factor = Some(1.0);
    let mut lost = Fault::new(22.0, FaultKind::MachineDie);
    lost.count = Some(6);
    let mut failures = vec![late, lost];
    failures.extend(again(ends(26.0, FaultTarget::Leader), 4, 2.5));
    kept(&day(failures));
}

/// The node ends after its write was sent and about when its answer is there: the job is accepted or it
/// is not, and a repeated submission learns which.
#[test]
fn a_node_that_ends_between_the_stores_answer_and_the_users_loses_no_job() {
    let asking = |at: f64| Fault::new(at, FaultKind::NodeEndsAsking).with_target(FaultTarget::Any);
    let failures = (0..30).map(|n| asking(20.0 + 2.0 * f64::from(n)));
    for outcome in kept(&day(failures.collect())) {
        assert_eq!(outcome.given_up, 0, "users are let down by nobody");
    }
}

/// A controller ends every 0.3 s for a minute: the others serve, and it does not take the lead each time
/// to lose it again.
#[test]
fn a_controller_in_a_loop_leaves_the_lead_to_the_others() {
    for outcome in kept(&day(again(ends(40.0, FaultTarget::Leader), 200, 0.3))) {
        let meanwhile = |l: &&drill::outcome::LeadershipPeriod| l.at_s > 40.0 && l.at_s < 100.0;
        let leads: Vec<_> = outcome.leads.iter().filter(meanwhile).collect();
        assert!(leads.len() <= 2, "{leads:?}");
        assert_eq!(outcome.given_up, 0);
    }
}

/// All of them, at every moment of a start.
#[test]
fn all_controllers_end_again_while_they_load() {
    let mut failures = again(ends(40.0, FaultTarget::All), 12, 0.4);
    failures.extend(again(ends(70.0, FaultTarget::All), 12, 0.13));
    kept(&day(failures));
}

/// Connections between controllers are refused for longer than a lease: each host is there, so workers
/// are sent straight to the leader. Sent around among nodes that it refuses, they came to nobody who could
/// answer, and lost all their tasks.
#[test]
fn workers_go_straight_to_a_leader_that_refuses_its_peers() {
    let mut day = day(vec![
        Fault::new(40.0, FaultKind::PeersRefuse).with_duration(40.0),
    ]);
    day.duration_s = 180.0;
    for outcome in kept(&day) {
        assert_eq!(outcome.killed_by_lease, 0, "seed {}", outcome.seed);
    }
}

#[test]
fn drawn_days_have_quick_restarts_and_break_no_rule() {
    let days: Vec<Scenario> = (5_001..=5_050u64)
        .map(|seed| generate::draw(seed).expect("a day is drawn"))
        .collect();
    let quick = days.iter().filter(|d| d.fleet.restart_s < 0.4).count();
    assert!((15..=35).contains(&quick), "{quick} of 50 are quick");
    let broken: Vec<_> = days
        .par_iter()
        .map(play)
        .filter(|o| !o.violations.is_empty())
        .map(|o| (o.seed, o.violations))
        .collect();
    assert!(broken.is_empty(), "{broken:?}");
}
