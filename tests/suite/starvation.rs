//! Starvation: no request, job or task waits forever while others are served.

use crate::test_cluster::{SETTINGS, TestCluster};
use dewramp::clock::SECOND;
use dewramp::request_starvation::{RequestStarvation, STARVED_AFTER};
use serde_json::{Value, json};

#[test]
fn repeated_requests_without_an_answer_become_starved() {
    let mut starvation = RequestStarvation::default();
    let now = 100 * SECOND;
    assert_eq!(starvation.unanswered_for(now, "wk-1"), 0);
    starvation.record_failure(now, "wk-1");
    starvation.record_failure(now + 5 * SECOND, "wk-1");
    starvation.record_failure(now + 5 * SECOND, "wk-2");
    assert_eq!(
        starvation.unanswered_for(now + 6 * SECOND, "wk-1"),
        6 * SECOND
    );
    assert!(
        starvation.is_starved(now + STARVED_AFTER, "wk-1")
            && !starvation.is_starved(now + STARVED_AFTER, "wk-2")
    );
    assert_eq!(
        starvation.unanswered_summary(now + STARVED_AFTER),
        (2, STARVED_AFTER)
    );
    starvation.record_answer("wk-1");
    assert_eq!(starvation.unanswered_for(now + STARVED_AFTER, "wk-1"), 0);
    // Without requests for a while (clients asked elsewhere or stopped), the wait starts anew.
    starvation.record_failure(now + 200 * SECOND, "wk-2");
    assert_eq!(
        starvation.unanswered_for(now + 201 * SECOND, "wk-2"),
        SECOND
    );
}

/// A flood of requests about other jobs cannot evict the oldest entries.
#[test]
fn starvation_tracking_is_bounded_and_keeps_the_oldest_requests() {
    let mut starvation = RequestStarvation::default();
    for n in 0..100_000 {
        starvation.record_failure(SECOND, &format!("wk-{n}"));
    }
    assert!(starvation.unanswered_summary(SECOND).0 < 20_000);
    assert!(starvation.is_starved(SECOND + STARVED_AFTER, "wk-0"));
    // Once the old entries have expired, new ones are accepted.
    starvation.record_failure(100 * SECOND, "wk-99999");
    assert_eq!(starvation.unanswered_summary(100 * SECOND).0, 1);
}

/// Rule `forgotten`: clients poll unknown jobs without end, each poll needs two requests to the state service, and
/// polls wait for each other. A job that is polled only every 5 s is still answered.
#[test]
fn a_rarely_polled_job_is_answered_during_a_flood_of_other_polls() {
    let settings = SETTINGS.replace("rps = 1000.0\nwrite_rps", "rps = 40.0\nwrite_rps");
    assert_ne!(settings, SETTINGS);
    let mut cluster = TestCluster::with_settings(3, &settings);
    cluster.add_worker("m-1", "small", "a");
    cluster.run(6.0);
    let node = (cluster.leader().expect("a controller is leader") + 1) % 3;
    assert_eq!(cluster.submit(node, "wk-1", json!({})).0, 201);
    cluster.run(3.0);
    let (mut unanswered_in_a_row, mut longest) = (0, 0);
    for round in 0..16 {
        let connection = cluster.send_request(node, "GET", "/work/wk-1", Value::Null);
        for n in 0..250 {
            let path = format!("/work/wk-{}", 1_000 + round * 250 + n);
            for other in 0..3 {
                cluster.send_request(other, "GET", &path, Value::Null);
            }
            cluster.step(20_000);
        }
        unanswered_in_a_row = match cluster.answers.remove(&connection) {
            Some((200, _)) => 0,
            _ => unanswered_in_a_row + 1,
        };
        longest = longest.max(unanswered_in_a_row);
    }
    assert!(longest <= 3, "no answer for {longest} polls in a row");
}

/// Small jobs, each of higher value per unit of work than the large one, arrive without end, and one of them always waits.
/// The large job still starts one task in time, and the small jobs wait no longer than for that task.
#[test]
fn a_large_job_starts_despite_an_endless_stream_of_small_jobs() {
    let mut cluster = TestCluster::new(3);
    cluster.add_worker("m-1", "small", "a");
    cluster.run(6.0);
    let leader = cluster.leader().expect("a controller is leader");
    let small = json!({"herd": "quick", "urgency": "low"});
    for uid in ["wk-98", "wk-99"] {
        assert_eq!(cluster.submit(leader, uid, small.clone()).0, 201);
    }
    let large = json!({"parts": 100, "urgency": "low", "herd": "heavy"});
    assert_eq!(cluster.submit(leader, "wk-1", large).0, 201);
    let started_after_s = (0..240).find(|n| {
        let uid = format!("wk-{}", 100 + n);
        assert_eq!(cluster.submit(leader, &uid, small.clone()).0, 201);
        let running = cluster.workers[0].tasks.iter().filter(|p| p.2 == "running");
        let running: Vec<String> = running.map(|p| p.0.clone()).collect();
        for task in running.iter().filter(|p| !p.starts_with("wk-1/")) {
            cluster.workers[0].end_task(task, "done");
        }
        cluster.run(1.0);
        cluster.workers[0]
            .started_attempts
            .iter()
            .any(|s| s.0.starts_with("wk-1/"))
    });
    let started_after_s = started_after_s.expect("it starts within four minutes");
    assert!(
        started_after_s >= 100,
        "not before it has aged: {started_after_s} s"
    );
    let large = cluster.workers[0]
        .tasks
        .iter()
        .filter(|p| p.0.starts_with("wk-1/"));
    assert_eq!(large.count(), 1, "one task is started, not all");
    // Right after its start it is not preempted.
    let urgent = json!({"herd": "quick", "urgency": "production"});
    assert_eq!(cluster.submit(leader, "wk-999", urgent).0, 201);
    cluster.run(25.0);
    assert_eq!(cluster.running_copies("wk-999/0"), 0);
    cluster.run(15.0);
    assert_eq!(
        cluster.running_copies("wk-999/0"),
        1,
        "after that it is preempted like any other task"
    );
}

/// A task that needs a whole machine never fits while small tasks take each core that becomes free. One machine is
/// reserved for it and drains as its tasks end: small tasks continue on the other machines, and on the reserved one
/// if they end in time. A reservation is lost with its leader; the next leader makes its own.
#[test]
fn a_whole_machine_task_starts_while_small_tasks_take_all_free_capacity() {
    for with_failover in [false, true] {
        let mut cluster = TestCluster::new(3);
        for n in 1..=3 {
            cluster.add_worker(&format!("m-{n}"), "small", "a");
        }
        cluster.run(6.0);
        let leader = cluster.leader().expect("a controller is leader");
        let small =
            json!({"herd": "quick", "urgency": "low", "cores": 1.0, "memGb": 1.0, "guessS": 20.0});
        let whole_machine = json!({"parts": 3, "urgency": "low", "herd": "heavy", "cores": 4.0});
        let mut submitted = 0;
        let mut done = 0;
        let mut started_after_s = None;
        for second in 0..260 {
            let uid = format!("wk-1{submitted}");
            // Some small jobs always wait.
            let node = cluster.leader().unwrap_or((leader + 1) % 3);
            while submitted < done + 20 {
                submitted += 1;
                let uid = format!("{uid}x{submitted}");
                assert_eq!(cluster.submit(node, &uid, small.clone()).0, 201);
            }
            if second == 3 {
                assert_eq!(cluster.submit(node, "wk-1", whole_machine.clone()).0, 201);
            }
            if with_failover && second == 150 {
                cluster.kill_controller(leader);
                cluster.run(4.0);
            }
            cluster.run(1.0);
            // On each machine, one small task ends every five seconds, at a different time per machine.
            for (at, worker) in cluster.workers.iter_mut().enumerate() {
                if (second + at) % 5 != 0 {
                    continue;
                }
                let is_running_small_task =
                    |p: &(String, u64, &str, &str)| p.2 == "running" && !p.0.starts_with("wk-1/");
                if let Some(p) = worker.tasks.iter_mut().find(|p| is_running_small_task(p)) {
                    (p.2, p.3) = ("ended", "done");
                    done += 1;
                }
            }
            if cluster.start_count("wk-1/0") > 0 {
                started_after_s = Some(second);
                break;
            }
        }
        let started_after_s = started_after_s.expect("it starts within four minutes");
        assert!(
            started_after_s >= 120,
            "not before it has aged: {started_after_s} s"
        );
        assert!(
            done > started_after_s * 3 / 5 - 30,
            "{done} small tasks ended in {started_after_s} s"
        );
        let busy = cluster
            .workers
            .iter()
            .filter(|x| x.tasks.iter().any(|p| p.2 == "running"));
        assert_eq!(busy.count(), 3, "all three machines are busy");
    }
}

#[test]
fn the_inspect_api_reports_each_reason_to_wait() {
    let mut cluster = TestCluster::new(3);
    cluster.add_worker("m-1", "small", "a");
    cluster.run(6.0);
    let leader = cluster.leader().expect("a controller is leader");
    let jobs = [
        ("wk-1", json!({"owner": "red", "cores": 2.0}), ""),
        ("wk-2", json!({"builds": ["big"]}), "no machine of a type"),
        ("wk-3", json!({"waitsOn": ["wk-2"]}), "waitsOn"),
        ("wk-4", json!({"cores": 4.0}), "full; others go first"),
        ("wk-5", json!({"paddock": "b"}), "no machine of a type"),
    ];
    for (uid, fields, _) in &jobs {
        assert_eq!(cluster.submit(leader, uid, fields.clone()).0, 201, "{uid}");
        cluster.run(0.3);
    }
    cluster.run(1.0);
    let waits_because = |cluster: &mut TestCluster, uid: &str| {
        let reason = cluster
            .request(leader, "GET", &format!("/inspect/job/{uid}"), Value::Null)
            .1;
        reason["leader"]["waits_because"]
            .as_str()
            .unwrap_or("")
            .to_owned()
    };
    for (uid, _, expected) in &jobs {
        let reason = waits_because(&mut cluster, uid);
        assert!(
            reason.contains(expected) && reason.is_empty() == expected.is_empty(),
            "{uid}: {reason}"
        );
    }
    // The red team's limit is 16 cores.
    let wide = json!({"owner": "red", "cores": 4.0, "parts": 9, "builds": ["small"]});
    for n in 2..=5 {
        cluster.add_worker(&format!("m-{n}"), "small", "a");
    }
    cluster.run(4.0);
    assert_eq!(cluster.submit(leader, "wk-6", wide).0, 201);
    cluster.run(2.0);
    assert_eq!(
        waits_because(&mut cluster, "wk-6"),
        "its team is at its limit"
    );
    let rows = cluster
        .request(leader, "GET", "/inspect/jobs/red", Value::Null)
        .1;
    let row = rows["jobs"]
        .as_array()
        .expect("rows")
        .iter()
        .find(|r| r["uid"] == "wk-6");
    assert_eq!(
        row.expect("its row")["waits_because"],
        "its team is at its limit"
    );
    // No machine sends heartbeats.
    for worker in &mut cluster.workers {
        worker.partitioned = true;
    }
    cluster.run(10.0);
    assert_eq!(cluster.submit(leader, "wk-7", json!({"cores": 4.0})).0, 201);
    cluster.run(1.0);
    let reason = waits_because(&mut cluster, "wk-7");
    assert!(reason.contains("silent"), "{reason}");
}

/// One job with many tasks uses its team's whole limit. Another job of that team still starts in time, with the
/// first capacity that the team releases.
#[test]
fn a_job_starts_while_another_uses_its_teams_whole_limit() {
    let mut cluster = TestCluster::new(3);
    for n in 1..=6 {
        cluster.add_worker(&format!("m-{n}"), "small", "a");
    }
    cluster.run(6.0);
    let leader = cluster.leader().expect("a controller is leader");
    let red = |parts: u32| json!({"owner": "red", "cores": 4.0, "parts": parts});
    assert_eq!(cluster.submit(leader, "wk-1", red(200)).0, 201);
    cluster.run(1.0);
    assert_eq!(cluster.submit(leader, "wk-2", red(300)).0, 201);
    let started = (0..240).find(|_| {
        cluster.run(1.0);
        let host = cluster.workers.iter().position(|x| {
            x.tasks
                .iter()
                .any(|p| p.2 == "running" && p.0.starts_with("wk-1/"))
        });
        let host = host.expect("wk-1 runs");
        let task = cluster.workers[host]
            .tasks
            .iter()
            .find(|p| p.2 == "running")
            .expect("a running task")
            .0
            .clone();
        if task.starts_with("wk-1/") {
            cluster.workers[host].end_task(&task, "done");
        }
        let running = cluster
            .workers
            .iter()
            .flat_map(|x| &x.tasks)
            .filter(|p| p.2 == "running");
        assert!(running.count() <= 4, "the team stays within its limit");
        cluster
            .workers
            .iter()
            .any(|x| x.started_attempts.iter().any(|s| s.0.starts_with("wk-2/")))
    });
    assert!(started.is_some(), "wk-2 starts within four minutes");
}

/// A job of the maximum size starts at once, leaves capacity for others, and survives a failover.
#[test]
fn a_job_of_a_hundred_thousand_tasks_runs_beside_other_jobs() {
    let mut cluster = TestCluster::new(3);
    for n in 1..=4 {
        cluster.add_worker(&format!("m-{n}"), "big", "a");
    }
    cluster.run(6.0);
    let leader = cluster.leader().expect("a controller is leader");
    let wide = json!({"parts": 100_000, "cores": 1.0, "memGb": 1.0, "urgency": "low"});
    assert_eq!(cluster.submit(leader, "wk-1", wide).0, 201);
    cluster.run(2.0);
    let running = |cluster: &TestCluster, job: &str| {
        let tasks = cluster.workers.iter().flat_map(|x| &x.tasks);
        tasks
            .filter(|p| p.2 == "running" && p.0.starts_with(job))
            .count()
    };
    assert!(
        running(&cluster, "wk-1/") >= 32,
        "{}",
        running(&cluster, "wk-1/")
    );
    assert_eq!(
        cluster
            .submit(leader, "wk-2", json!({"urgency": "high", "cores": 1.0}))
            .0,
        201
    );
    cluster.run(5.0);
    assert_eq!(running(&cluster, "wk-2/"), 1);
    cluster.kill_controller(leader);
    cluster.run(8.0);
    let next = cluster.leader().expect("another controller is leader");
    let answer = cluster.request(next, "GET", "/work/wk-1", Value::Null).1;
    assert_eq!(answer["status"], "running");
}

/// All controllers crash while polls are pending; clients that poll again are answered.
#[test]
fn polls_are_answered_after_all_controllers_restart_at_once() {
    let mut cluster = TestCluster::new(3);
    cluster.add_worker("m-1", "small", "a");
    cluster.run(6.0);
    for n in 1..=20 {
        assert_eq!(cluster.submit(n % 3, &format!("wk-{n}"), json!({})).0, 201);
    }
    for round in 0..4 {
        for n in 1..=20 {
            cluster.send_request(n % 3, "GET", &format!("/work/wk-{n}"), Value::Null);
        }
        cluster.step(5_000);
        for node in 0..3 {
            cluster.kill_controller(node);
            cluster.start_controller(node, 3);
        }
        cluster.run(0.4 * f64::from(round));
    }
    cluster.run(4.0);
    for n in 1..=20 {
        let status = cluster
            .request(n % 3, "GET", &format!("/work/wk-{n}"), Value::Null)
            .0;
        assert_eq!(status, 200, "wk-{n}");
    }
}
