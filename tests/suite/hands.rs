//! Troubles that meet while one controller's work changes hands: cancellations, hangs, limits, early machines, all
//! controllers away, ten leaders in two minutes.

use crate::world::World;
use dewramp::clock::{Micros, SECOND};
use serde_json::{Value, json};

const CANCEL: Micros = 50 * SECOND;
const LEASE_S: f64 = 30.0;

/// Three controllers and so many small machines, each with room for one task; the leader.
fn fleet(machines: usize) -> (World, usize) {
    let zones: Vec<&str> = ["a", "b"].into_iter().cycle().take(machines).collect();
    World::with_leader(&zones)
}

/// How a controller's work goes over to another.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Goes {
    /// It ends.
    Ends,
    /// It is back within a fraction of a second.
    IsBack,
    /// It is told to end, and lets the lead go.
    Leaves,
    /// It goes on, without the state service, and does not know of its successor.
    Refused,
}

fn goes(w: &mut World, node: usize, how: Goes) {
    match how {
        Goes::Ends => w.kill(node),
        Goes::IsBack => {
            w.kill(node);
            w.run(0.06);
            w.start(node, 3);
        }
        Goes::Leaves => w.leave(node),
        Goes::Refused => {
            w.refused = Some(node);
            w.lose_watches(node);
        }
    }
}

/// Whatever comes, the tasks of a job that was told to be cancelled are gone in time and start no more.
fn gone_in_time(w: &mut World, told: Micros, parts: &[&str], started: usize, what: &str) {
    while w.now.steady < told + CANCEL {
        w.run(0.5);
    }
    for _ in 0..20 {
        let left: usize = parts.iter().map(|p| w.copies(p)).sum();
        assert_eq!(left, 0, "gone within cancel_s: {what}");
        w.run(1.0);
    }
    let starts: usize = parts.iter().map(|p| w.starts(p)).sum();
    assert!(starts <= started, "{starts} starts: {what}");
}

/// ran_cancelled: jobs are cancelled in the seconds in which the leader's work changes hands, at every step of it;
/// their machines report through a controller that ends too, or can't be reached at all until later.
#[test]
fn cancelled_at_any_moment_of_a_change_of_hands() {
    for how in [Goes::Ends, Goes::IsBack, Goes::Leaves, Goes::Refused] {
        for tenths in [0, 1, 3, 6, 10, 15, 17, 19, 21, 24, 30] {
            let what = format!("{how:?} {tenths}");
            let (mut w, leader) = fleet(4);
            w.hints = tenths % 2 == 0;
            let other = (leader + 1) % 3;
            assert_eq!(w.submit(other, "wk-1", json!({"parts": 2})).0, 201);
            w.run(1.5);
            let at = [w.holder("wk-1/0"), w.holder("wk-1/1")];
            w.workers[at[0]].node = (leader + 2) % 3;
            w.workers[at[1]].held = Some(Vec::new());
            goes(&mut w, leader, how);
            w.run(f64::from(tenths) / 10.0);
            let told = w.insist(other, "POST", "/work/wk-1/cancel", &Value::Null);
            assert_eq!(told.1["status"], "cancelled", "{what}");
            let told = w.now.steady;
            // The controller that carried the reports of one ends as well, and is back.
            goes(&mut w, (leader + 2) % 3, Goes::IsBack);
            w.run(3.0);
            let held = w.workers[at[1]].held.take().expect("kept");
            for body in held {
                w.workers[at[1]].commands(&body);
            }
            w.refused = None;
            gone_in_time(&mut w, told, &["wk-1/0", "wk-1/1"], 2, &what);
            for node in (0..3).filter(|n| *n != leader) {
                let told = w.insist(node, "GET", "/work/wk-1", &Value::Null);
                assert_eq!(told.1["status"], "cancelled", "{what}");
            }
        }
    }
}

/// ran_cancelled: the job is cancelled after a new leader has read the live jobs and before it has read those that
/// are being stopped, by a state service that does not tell all changes at once. Both reads show the job, and the
/// change that the watch then tells is of the very write that the second read showed.
#[test]
fn cancelled_between_two_reads_of_a_new_leader() {
    let mut w = World::new(3);
    w.kv.tells_no_all = true;
    w.worker("m-1", "small", "a");
    w.worker("m-2", "small", "b");
    // Long enough for those that follow to learn that they are not told.
    w.run(20.0);
    let leader = w.leader().expect("one node leads");
    assert_eq!(w.submit(leader, "wk-1", json!({})).0, 201);
    w.run(2.0);
    let at = w.holder("wk-1/0");
    // What a controller writes that confirms the cancellation, carried out between the two reads.
    let (record, mod_revision, _) = w.kv.keys["job/wk-1"].clone();
    let end = json!({"status": "cancelled", "done": 0, "accepted": w.now.wall, "over": w.now.wall});
    let write = json!({
        "if": [{"path": "job/wk-1", "stamp": mod_revision}, {"path": "over/wk-1", "stamp": 0}],
        "apply": [{"delete": "job/wk-1"}, {"set": "over/wk-1", "value": end},
                  {"set": "stopping/wk-1", "value": record}]});
    w.kv.between = Some(("job/", write));
    w.kill(leader);
    while w.leader().is_none() {
        w.run(0.1);
    }
    assert!(w.kv.between.is_none(), "read by the new leader");
    w.run(1.2);
    assert!(!w.workers[at].has("wk-1/0"), "stopped");
    assert_eq!(w.starts("wk-1/0"), 1);
}

/// A job that has only just been accepted is cancelled, and the leader is told of both at once, or by two leaders.
#[test]
fn accepted_and_cancelled_while_the_lead_changes_nothing_starts() {
    for tenths in [0, 5, 15, 20, 25] {
        let (mut w, leader) = fleet(2);
        let other = (leader + 1) % 3;
        w.kill(leader);
        w.run(f64::from(tenths) / 10.0);
        let job = crate::world::job("wk-1");
        assert!(w.insist(other, "POST", "/work", &job).0 < 202);
        assert_eq!(
            w.insist(other, "POST", "/work/wk-1/cancel", &Value::Null).0,
            200
        );
        let before = w.starts("wk-1/0");
        w.run(10.0);
        assert_eq!(w.starts("wk-1/0"), before, "none after the cancellation");
        assert_eq!(w.copies("wk-1/0"), 0);
    }
}

/// quota: a team at its limit, its job is cancelled on machines that hang, and the leader changes twice meanwhile.
/// What hangs is charged until proof; then the team gets all of its limit again.
#[test]
fn a_team_at_its_limit_is_charged_for_what_hangs_through_two_leaders() {
    let red = json!({"owner": "red", "parts": 4});
    for wakes in [12.0, 45.0] {
        let (mut w, leader) = fleet(8);
        assert_eq!(w.submit(leader, "wk-1", red.clone()).0, 201);
        w.run(2.0);
        assert_eq!(w.cores_of(&["wk-1"]), 16.0);
        let hung: Vec<usize> = (0..3).map(|n| w.holder(&format!("wk-1/{n}"))).collect();
        for at in &hung {
            w.hang(*at);
        }
        let other = (leader + 1) % 3;
        assert_eq!(
            w.insist(other, "POST", "/work/wk-1/cancel", &Value::Null).0,
            200
        );
        let told = w.now.steady;
        assert_eq!(w.submit(other, "wk-2", red.clone()).0, 201);
        let mut first = Some(leader);
        let mut second = None;
        let began = w.now.steady;
        let mut woken = false;
        for _ in 0..140 {
            w.run(0.5);
            let used = w.cores_of(&["wk-1", "wk-2"]);
            assert!(used <= 16.0, "{used} cores of 16");
            let since = w.now.steady - began;
            if since > SECOND && first.is_some() {
                w.kill(first.take().unwrap());
            }
            if since > 8 * SECOND && second.is_none() {
                second = w.leader();
                w.kill(second.expect("another leads"));
                w.start(leader, 3);
            }
            if since > (wakes * 1e6) as Micros && !woken {
                woken = true;
                for at in &hung {
                    w.wake(*at);
                }
            }
            if w.now.steady > told + CANCEL {
                assert_eq!(w.cores_of(&["wk-1"]), 0.0, "gone within cancel_s");
            }
        }
        assert_eq!(
            w.cores_of(&["wk-2"]),
            16.0,
            "all of its limit, woken after {wakes} s"
        );
    }
}

/// The same where the cancelled tasks' machines are cut off, and come back under a leader that never started
/// anything there.
#[test]
fn what_was_cancelled_on_cut_machines_is_charged_until_they_have_spoken() {
    let (mut w, leader) = fleet(6);
    let red = json!({"owner": "red", "parts": 4});
    assert_eq!(w.submit(leader, "wk-1", red.clone()).0, 201);
    w.run(2.0);
    let cut: Vec<usize> = (0..4).map(|n| w.holder(&format!("wk-1/{n}"))).collect();
    for at in &cut {
        w.workers[*at].silent = true;
    }
    let other = (leader + 1) % 3;
    assert_eq!(
        w.insist(other, "POST", "/work/wk-1/cancel", &Value::Null).0,
        200
    );
    assert_eq!(w.submit(other, "wk-2", red).0, 201);
    w.kill(leader);
    w.run(10.0);
    assert_eq!(w.starts("wk-2/0"), 0, "all 16 cores may still be used");
    for at in &cut {
        w.workers[*at].silent = false;
    }
    for _ in 0..20 {
        w.run(0.5);
        assert!(w.cores_of(&["wk-1", "wk-2"]) <= 16.0);
    }
    assert_eq!(w.cores_of(&["wk-2"]), 16.0);
}

/// A machine comes up before the answer to its rental, is given work while writes lag, and the leader ends. The
/// next one has its work, wherever the cloud's list stands, and nobody returns it.
#[test]
fn an_early_machine_with_work_is_neither_lost_nor_returned() {
    for slow in [Some("roll/"), Some("job/wk-1"), None] {
        for ends_after in [0.1, 0.4, 1.0, 3.0] {
            let what = format!("{slow:?} {ends_after}");
            let (mut w, leader) = fleet(1);
            let other = (leader + 1) % 3;
            assert_eq!(w.submit(other, "wk-0", json!({})).0, 201);
            w.run(1.0);
            assert_eq!(w.submit(other, "wk-1", json!({})).0, 201);
            w.run(1.0);
            assert_eq!(w.copies("wk-1/0"), 0, "no room yet");
            w.slow = slow;
            let early = w.worker("m-000900", "small", "a");
            w.workers[early].node = other;
            w.run(ends_after);
            w.kill(leader);
            w.slow = None;
            w.delayed.clear();
            // Its first words come to the new leader only.
            w.run(12.0);
            let next = w.leader().expect("another leads");
            assert_ne!(next, leader, "{what}");
            assert_eq!((w.copies("wk-1/0"), w.starts("wk-1/0")), (1, 1), "{what}");
            assert!(w.workers[early].has("wk-1/0"), "{what}");
            w.run(80.0);
            assert!(w.returned.is_empty(), "{what}: it holds work");
            assert_eq!((w.copies("wk-1/0"), w.starts("wk-1/0")), (1, 1), "{what}");
            w.workers[early].end("wk-1/0", "done");
            w.run(5.0);
            let told = w.ask(other, "GET", "/work/wk-1", Value::Null);
            assert_eq!(told.1["status"], "done", "{what}");
        }
    }
}

/// A leads, B leads, A leads again, all within a second or two: each has its own term, and no work is done twice.
#[test]
fn the_lead_goes_over_and_back_within_a_second() {
    for gap in [0.05, 0.2, 0.5, 0.9] {
        for how in [Goes::IsBack, Goes::Leaves] {
            let (mut w, mut leader) = fleet(4);
            assert_eq!(w.submit(leader, "wk-1", json!({"parts": 3})).0, 201);
            w.run(1.0);
            // Two are left, so it can only go over and back.
            w.kill((leader + 2) % 3);
            let pair = [leader, (leader + 1) % 3];
            let mut leaders = vec![leader];
            for turn in 0..8 {
                goes(&mut w, leader, how);
                let uid = format!("wk-9{turn}");
                let asked = pair[usize::from(leader == pair[0])];
                w.insist(asked, "POST", "/work", &crate::world::job(&uid));
                w.insist(asked, "POST", &format!("/work/{uid}/cancel"), &Value::Null);
                for _ in 0..200 {
                    w.step(20_000);
                    if w.leader().is_some() {
                        break;
                    }
                }
                let left = leader;
                leader = w.leader().expect("one leads");
                leaders.push(leader);
                if how == Goes::Leaves {
                    w.start(left, 3);
                }
                w.run(gap);
                leader = w.leader().expect("one leads");
                for n in 0..3 {
                    let part = format!("wk-1/{n}");
                    assert!(w.copies(&part) <= 1, "{gap} {how:?} {leaders:?}");
                }
            }
            assert!(
                leaders.windows(3).any(|l| l[0] == l[2] && l[0] != l[1]),
                "over and back: {gap} {how:?} {leaders:?}"
            );
            w.run(4.0);
            for n in 0..3 {
                let part = format!("wk-1/{n}");
                assert_eq!((w.copies(&part), w.starts(&part)), (1, 1), "{gap} {how:?}");
            }
            for turn in 0..8 {
                assert_eq!(w.copies(&format!("wk-9{turn}/0")), 0);
            }
        }
    }
}

/// All controllers are away for longer than the lease, twice, and then for a moment: each task runs once, what was
/// cancelled stays away, every job is known.
#[test]
fn all_controllers_away_for_longer_than_a_lease() {
    let (mut w, leader) = fleet(3);
    assert_eq!(w.submit(leader, "wk-1", json!({"parts": 2})).0, 201);
    assert_eq!(w.submit(leader, "wk-2", json!({})).0, 201);
    w.run(2.0);
    assert_eq!(
        w.insist((leader + 1) % 3, "POST", "/work/wk-2/cancel", &Value::Null)
            .0,
        200
    );
    for (turn, away) in [LEASE_S + 5.0, 0.1, 2.0 * LEASE_S, 0.4]
        .into_iter()
        .enumerate()
    {
        for n in 0..3 {
            w.kill(n);
        }
        w.run(away);
        for n in 0..3 {
            w.start(n, 3);
        }
        for _ in 0..30 {
            w.run(0.5);
            for part in ["wk-1/0", "wk-1/1"] {
                assert!(w.copies(part) <= 1, "turn {turn}");
            }
            assert_eq!(w.copies("wk-2/0"), 0);
        }
        assert_eq!(w.copies("wk-1/0") + w.copies("wk-1/1"), 2, "turn {turn}");
        for node in 0..3 {
            for (uid, status) in [("wk-1", "running"), ("wk-2", "cancelled")] {
                let told = w.insist(node, "GET", &format!("/work/{uid}"), &Value::Null);
                assert_eq!(told.1["status"], status, "turn {turn}");
            }
        }
    }
}

/// The leader changes ten times in two minutes, some of that inside an outage of the state service; a machine can't
/// be reached all through it, and the team is at its limit.
#[test]
fn ten_leaders_in_two_minutes_also_inside_an_outage() {
    for out_from in [20, 50] {
        let (mut w, _) = fleet(5);
        let red = json!({"owner": "red", "parts": 4});
        assert_eq!(w.submit(0, "wk-1", red.clone()).0, 201);
        w.run(2.0);
        let lost = w.holder("wk-1/0");
        w.workers[lost].silent = true;
        let mut down: Option<usize> = None;
        let mut changes = 0;
        for second in 0..120 {
            if second % 12 == 0 {
                if let Some(n) = down.take() {
                    w.start(n, 3);
                }
                let at = w.leader().unwrap_or(second / 12 % 3);
                w.kill(at);
                down = Some(at);
                changes += 1;
            }
            if second == out_from || second == out_from + 35 {
                w.outage(second == out_from);
            }
            for _ in 0..10 {
                w.run(0.1);
                for n in 0..4 {
                    assert!(w.copies(&format!("wk-1/{n}")) <= 1, "second {second}");
                }
                assert!(w.cores_of(&["wk-1"]) <= 16.0);
            }
        }
        assert_eq!(changes, 10);
        w.workers[lost].silent = false;
        if let Some(n) = down {
            w.start(n, 3);
        }
        w.run(LEASE_S + 15.0);
        for n in 0..4 {
            assert_eq!(w.copies(&format!("wk-1/{n}")), 1, "all of it runs");
        }
    }
}
