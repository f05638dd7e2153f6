//! Days on which two troubles meet, drawn from seeds: no rule may break on any of them.

use drill::outcome::Outcome;
use drill::tamper::Tamper;
use drill::world::World;
use drill::{generate, play};
use rayon::prelude::*;

#[test]
fn drawn_meetings_break_no_rule_and_leave_nobody_out() {
    let outcomes: Vec<Outcome> = (1..=80u64)
        .into_par_iter()
        .map(|seed| play(&generate::draw_meetings(seed).expect("a day is drawn")))
        .collect();
    for o in &outcomes {
        assert!(
            o.failed.is_empty(),
            "seed {}: {:?} {:?}",
            o.seed,
            o.failed,
            o.broken
        );
    }
    let cancelled: u64 = outcomes
        .iter()
        .filter_map(|o| o.endings.get("stopped"))
        .sum();
    assert!(cancelled > 1_000, "only {cancelled} tasks were stopped");
}

/// A checker that can't fail proves nothing.
#[test]
fn largest_jobs_that_never_begin_fail_a_day() {
    let told = (1..=40u64).into_par_iter().any(|seed| {
        let day = generate::draw_meetings(2 * seed).expect("a day is drawn");
        let mut world = World::new(day);
        world.tamper = Some(Tamper::LoseStartsOfWideJobs);
        let failed = world.play(|_| {}).failed;
        failed.iter().any(|f| f.starts_with("largest of "))
    });
    assert!(told);
}

/// The same for submissions that ought to be refused.
#[test]
fn odd_submissions_that_are_accepted_fail_a_day() {
    let told = (1..=40u64).into_par_iter().any(|seed| {
        let mut world = World::new(generate::draw_meetings(seed).expect("a day is drawn"));
        world.tamper = Some(Tamper::AcceptInvalidJobs);
        world.play(|_| {}).broken.contains_key("unfit_accepted")
    });
    assert!(told);
}

/// Each trouble that is drawn there comes on some of those days.
#[test]
fn meetings_are_drawn_from_all_troubles() {
    let days = (1..=80u64).map(|seed| generate::draw_meetings(seed).expect("a day is drawn"));
    let text: String = days.map(|d| d.to_toml()).collect();
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
