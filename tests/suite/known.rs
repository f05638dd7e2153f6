//! Nobody is forgotten: what can't be answered now is not the same job's questions again and again.

use crate::test_cluster::{SETTINGS, TestCluster};
use dewramp::clock::SECOND;
use dewramp::request_starvation::{RequestStarvation, STARVED_AFTER};
use serde_json::{Value, json};

#[test]
fn what_was_asked_first_and_again_without_an_answer_is_overdue() {
    let mut u = RequestStarvation::default();
    let t = 100 * SECOND;
    assert_eq!(u.unanswered_for(t, "wk-1"), 0);
    u.record_failure(t, "wk-1");
    u.record_failure(t + 5 * SECOND, "wk-1");
    u.record_failure(t + 5 * SECOND, "wk-2");
    assert_eq!(u.unanswered_for(t + 6 * SECOND, "wk-1"), 6 * SECOND);
    assert!(u.is_starved(t + STARVED_AFTER, "wk-1") && !u.is_starved(t + STARVED_AFTER, "wk-2"));
    assert_eq!(u.unanswered_summary(t + STARVED_AFTER), (2, STARVED_AFTER));
    u.record_answer("wk-1");
    assert_eq!(u.unanswered_for(t + STARVED_AFTER, "wk-1"), 0);
    // Asked elsewhere since, or not at all any more: the wait begins anew.
    u.record_failure(t + 200 * SECOND, "wk-2");
    assert_eq!(u.unanswered_for(t + 201 * SECOND, "wk-2"), SECOND);
}

/// A flood of questions about other jobs can't push the oldest out.
#[test]
fn a_flood_of_jobs_is_remembered_within_a_bound() {
    let mut u = RequestStarvation::default();
    for n in 0..100_000 {
        u.record_failure(SECOND, &format!("wk-{n}"));
    }
    assert!(u.unanswered_summary(SECOND).0 < 20_000);
    assert!(u.is_starved(SECOND + STARVED_AFTER, "wk-0"));
    // Once those are gone, others have their place.
    u.record_failure(100 * SECOND, "wk-99999");
    assert_eq!(u.unanswered_summary(100 * SECOND).0, 1);
}

/// forgotten: users ask without end about jobs that nobody knows, each of which is two questions to the
/// state service; all looks wait for one another. One job is asked about every 5 s, as users do.
#[test]
fn a_job_asked_about_rarely_is_answered_in_a_storm_of_other_questions() {
    let text = SETTINGS.replace("rps = 1000.0\nwrite_rps", "rps = 40.0\nwrite_rps");
    assert_ne!(text, SETTINGS);
    let mut w = TestCluster::with_settings(3, &text);
    w.add_worker("m-1", "small", "a");
    w.run(6.0);
    let node = (w.leader().expect("one leads") + 1) % 3;
    assert_eq!(w.submit(node, "wk-1", json!({})).0, 201);
    w.run(3.0);
    let (mut silent, mut worst) = (0, 0);
    for round in 0..16 {
        let asked = w.send_request(node, "GET", "/work/wk-1", Value::Null);
        for n in 0..250 {
            let path = format!("/work/wk-{}", 1_000 + round * 250 + n);
            for other in 0..3 {
                w.send_request(other, "GET", &path, Value::Null);
            }
            w.step(20_000);
        }
        silent = match w.answers.remove(&asked) {
            Some((200, _)) => 0,
            _ => silent + 1,
        };
        worst = worst.max(silent);
    }
    assert!(worst <= 3, "no answer for {worst} questions in a row");
}

/// Small jobs come without end, each of more worth for the work it takes than the large one, and always one
/// waits. The large one begins in time all the same, by one task; the others wait no longer than that task.
#[test]
fn a_large_job_begins_while_small_ones_never_stop() {
    let mut w = TestCluster::new(3);
    w.add_worker("m-1", "small", "a");
    w.run(6.0);
    let leader = w.leader().expect("one leads");
    let small = json!({"herd": "quick", "urgency": "low"});
    for uid in ["wk-98", "wk-99"] {
        assert_eq!(w.submit(leader, uid, small.clone()).0, 201);
    }
    let large = json!({"parts": 100, "urgency": "low", "herd": "heavy"});
    assert_eq!(w.submit(leader, "wk-1", large).0, 201);
    let began = (0..240).find(|n| {
        let uid = format!("wk-{}", 100 + n);
        assert_eq!(w.submit(leader, &uid, small.clone()).0, 201);
        let running = w.workers[0].tasks.iter().filter(|p| p.2 == "running");
        let running: Vec<String> = running.map(|p| p.0.clone()).collect();
        for part in running.iter().filter(|p| !p.starts_with("wk-1/")) {
            w.workers[0].end_task(part, "done");
        }
        w.run(1.0);
        w.workers[0]
            .started_attempts
            .iter()
            .any(|s| s.0.starts_with("wk-1/"))
    });
    let began = began.expect("it begins within four minutes");
    assert!(began >= 100, "not before it has waited: {began} s");
    let large = w.workers[0]
        .tasks
        .iter()
        .filter(|p| p.0.starts_with("wk-1/"));
    assert_eq!(large.count(), 1, "one task, not all");
    // It is not stopped for others before its start counts.
    let urgent = json!({"herd": "quick", "urgency": "production"});
    assert_eq!(w.submit(leader, "wk-999", urgent).0, 201);
    w.run(25.0);
    assert_eq!(w.running_copies("wk-999/0"), 0);
    w.run(15.0);
    assert_eq!(
        w.running_copies("wk-999/0"),
        1,
        "after that it is, as any other"
    );
}

/// A task that needs a whole machine never fits while small ones take each part that comes free. One machine is kept
/// for it and drains by itself: the small ones go on beside it, and there too while they end in time. A leader that
/// ends takes what it kept with it, and the next one keeps its own.
#[test]
fn a_wide_task_begins_while_small_ones_take_all_that_comes_free() {
    for ends in [false, true] {
        let mut w = TestCluster::new(3);
        for n in 1..=3 {
            w.add_worker(&format!("m-{n}"), "small", "a");
        }
        w.run(6.0);
        let leader = w.leader().expect("one leads");
        let small =
            json!({"herd": "quick", "urgency": "low", "cores": 1.0, "memGb": 1.0, "guessS": 20.0});
        let wide = json!({"parts": 3, "urgency": "low", "herd": "heavy", "cores": 4.0});
        let mut asked = 0;
        let mut done = 0;
        let mut began = None;
        for second in 0..260 {
            let uid = format!("wk-1{asked}");
            // Always some wait.
            let node = w.leader().unwrap_or((leader + 1) % 3);
            while asked < done + 20 {
                asked += 1;
                let uid = format!("{uid}x{asked}");
                assert_eq!(w.submit(node, &uid, small.clone()).0, 201);
            }
            if second == 3 {
                assert_eq!(w.submit(node, "wk-1", wide.clone()).0, 201);
            }
            if ends && second == 150 {
                w.kill_controller(leader);
                w.run(4.0);
            }
            w.run(1.0);
            // One of each machine's small tasks ends each five seconds, at another time on each.
            for (at, worker) in w.workers.iter_mut().enumerate() {
                if (second + at) % 5 != 0 {
                    continue;
                }
                let runs =
                    |p: &(String, u64, &str, &str)| p.2 == "running" && !p.0.starts_with("wk-1/");
                if let Some(p) = worker.tasks.iter_mut().find(|p| runs(p)) {
                    (p.2, p.3) = ("ended", "done");
                    done += 1;
                }
            }
            if w.start_count("wk-1/0") > 0 {
                began = Some(second);
                break;
            }
        }
        let began = began.expect("it begins within four minutes");
        assert!(began >= 120, "not before it has waited: {began} s");
        assert!(done > began * 3 / 5 - 30, "{done} small ones in {began} s");
        let busy = w
            .workers
            .iter()
            .filter(|x| x.tasks.iter().any(|p| p.2 == "running"));
        assert_eq!(busy.count(), 3, "the others never stopped");
    }
}

/// An operator asks why a job does not run.
#[test]
fn each_reason_to_wait_is_told() {
    let mut w = TestCluster::new(3);
    w.add_worker("m-1", "small", "a");
    w.run(6.0);
    let leader = w.leader().expect("one leads");
    let jobs = [
        ("wk-1", json!({"owner": "red", "cores": 2.0}), ""),
        ("wk-2", json!({"builds": ["big"]}), "no machine of a type"),
        ("wk-3", json!({"waitsOn": ["wk-2"]}), "waitsOn"),
        ("wk-4", json!({"cores": 4.0}), "full; others go first"),
        ("wk-5", json!({"paddock": "b"}), "no machine of a type"),
    ];
    for (uid, change, _) in &jobs {
        assert_eq!(w.submit(leader, uid, change.clone()).0, 201, "{uid}");
        w.run(0.3);
    }
    w.run(1.0);
    let why = |w: &mut TestCluster, uid: &str| {
        let told = w
            .request(leader, "GET", &format!("/inspect/job/{uid}"), Value::Null)
            .1;
        told["leader"]["waits_because"]
            .as_str()
            .unwrap_or("")
            .to_owned()
    };
    for (uid, _, says) in &jobs {
        let told = why(&mut w, uid);
        assert!(
            told.contains(says) && told.is_empty() == says.is_empty(),
            "{uid}: {told}"
        );
    }
    // Its team has 16 cores at most.
    let wide = json!({"owner": "red", "cores": 4.0, "parts": 9, "builds": ["small"]});
    for n in 2..=5 {
        w.add_worker(&format!("m-{n}"), "small", "a");
    }
    w.run(4.0);
    assert_eq!(w.submit(leader, "wk-6", wide).0, 201);
    w.run(2.0);
    assert_eq!(why(&mut w, "wk-6"), "its team is at its limit");
    let rows = w.request(leader, "GET", "/inspect/jobs/red", Value::Null).1;
    let row = rows["jobs"]
        .as_array()
        .expect("rows")
        .iter()
        .find(|r| r["uid"] == "wk-6");
    assert_eq!(
        row.expect("its row")["waits_because"],
        "its team is at its limit"
    );
    // All machines are silent.
    for worker in &mut w.workers {
        worker.partitioned = true;
    }
    w.run(10.0);
    assert_eq!(w.submit(leader, "wk-7", json!({"cores": 4.0})).0, 201);
    w.run(1.0);
    let told = why(&mut w, "wk-7");
    assert!(told.contains("silent"), "{told}");
}

/// One job uses up what its team may use, task after task. Another of that team begins in time, with the
/// first room that its own team gives back.
#[test]
fn a_job_begins_though_another_uses_up_its_teams_limit() {
    let mut w = TestCluster::new(3);
    for n in 1..=6 {
        w.add_worker(&format!("m-{n}"), "small", "a");
    }
    w.run(6.0);
    let leader = w.leader().expect("one leads");
    let red = |parts: u32| json!({"owner": "red", "cores": 4.0, "parts": parts});
    assert_eq!(w.submit(leader, "wk-1", red(200)).0, 201);
    w.run(1.0);
    assert_eq!(w.submit(leader, "wk-2", red(300)).0, 201);
    let began = (0..240).find(|_| {
        w.run(1.0);
        let at = w.workers.iter().position(|x| {
            x.tasks
                .iter()
                .any(|p| p.2 == "running" && p.0.starts_with("wk-1/"))
        });
        let at = at.expect("it runs");
        let part = w.workers[at]
            .tasks
            .iter()
            .find(|p| p.2 == "running")
            .expect("one")
            .0
            .clone();
        if part.starts_with("wk-1/") {
            w.workers[at].end_task(&part, "done");
        }
        let running = w
            .workers
            .iter()
            .flat_map(|x| &x.tasks)
            .filter(|p| p.2 == "running");
        assert!(running.count() <= 4, "the limit holds");
        w.workers
            .iter()
            .any(|x| x.started_attempts.iter().any(|s| s.0.starts_with("wk-2/")))
    });
    assert!(began.is_some(), "within four minutes");
}

/// The widest job there can be begins at once, leaves room for others, and ends no process.
#[test]
fn a_job_of_a_hundred_thousand_tasks_begins_and_others_beside_it() {
    let mut w = TestCluster::new(3);
    for n in 1..=4 {
        w.add_worker(&format!("m-{n}"), "big", "a");
    }
    w.run(6.0);
    let leader = w.leader().expect("one leads");
    let wide = json!({"parts": 100_000, "cores": 1.0, "memGb": 1.0, "urgency": "low"});
    assert_eq!(w.submit(leader, "wk-1", wide).0, 201);
    w.run(2.0);
    let running = |w: &TestCluster, job: &str| {
        let parts = w.workers.iter().flat_map(|x| &x.tasks);
        parts
            .filter(|p| p.2 == "running" && p.0.starts_with(job))
            .count()
    };
    assert!(running(&w, "wk-1/") >= 32, "{}", running(&w, "wk-1/"));
    assert_eq!(
        w.submit(leader, "wk-2", json!({"urgency": "high", "cores": 1.0}))
            .0,
        201
    );
    w.run(5.0);
    assert_eq!(running(&w, "wk-2/"), 1);
    w.kill_controller(leader);
    w.run(8.0);
    let next = w.leader().expect("another leads");
    let told = w.request(next, "GET", "/work/wk-1", Value::Null).1;
    assert_eq!(told["status"], "running");
}

/// All controllers end while questions wait; whoever asks again is answered.
#[test]
fn questions_are_answered_after_all_controllers_were_back_at_once() {
    let mut w = TestCluster::new(3);
    w.add_worker("m-1", "small", "a");
    w.run(6.0);
    for n in 1..=20 {
        assert_eq!(w.submit(n % 3, &format!("wk-{n}"), json!({})).0, 201);
    }
    for round in 0..4 {
        for n in 1..=20 {
            w.send_request(n % 3, "GET", &format!("/work/wk-{n}"), Value::Null);
        }
        w.step(5_000);
        for node in 0..3 {
            w.kill_controller(node);
            w.start_controller(node, 3);
        }
        w.run(0.4 * f64::from(round));
    }
    w.run(4.0);
    for n in 1..=20 {
        let told = w
            .request(n % 3, "GET", &format!("/work/wk-{n}"), Value::Null)
            .0;
        assert_eq!(told, 200, "wk-{n}");
    }
}
