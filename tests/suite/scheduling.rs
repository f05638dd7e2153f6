//! The paper's formulas and the scheduler's choices.

use crate::test_cluster::{self, TestCluster};
use dewramp::scheduler::{ClassKey, Pheromone, fairness_weight, impossible_reason};
use dewramp::settings::{Properties, Settings, SettingsError};
use dewramp::wire::{JobSpec, JobSpecError, MachineType};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::{Value, json};

fn spec(change: Value) -> Result<JobSpec, JobSpecError> {
    let mut job = test_cluster::job_submission("wk-1");
    for (k, v) in change.as_object().unwrap() {
        job[k] = v.clone();
    }
    JobSpec::parse(job.to_string().as_bytes())
}

fn machine_types() -> Vec<String> {
    vec!["A".to_owned(), "B".to_owned()]
}

/// Section IV.C: A completes two tasks at 2 KJ, B one at 3 KJ, ρ = 0.5; the paper gives 1.66
/// and 0.88.
#[test]
fn the_papers_worked_example() {
    let class = ClassKey::of(&spec(json!({})).unwrap());
    let mut p = Pheromone::default();
    p.record_completion(class.clone(), "A", 2.0);
    p.record_completion(class.clone(), "A", 2.0);
    p.record_completion(class.clone(), "B", 3.0);
    p.end_round(0.5, &machine_types());
    assert!((p.level(&class, "A") - (0.5 + 0.5 * 2.0 * (7.0 / 3.0) / 2.0)).abs() < 1e-9);
    assert!((p.level(&class, "A") - 1.66).abs() < 0.01);
    assert!((p.level(&class, "B") - 0.88).abs() < 0.01);
}

#[test]
fn pheromone_evaporates_to_a_floor_and_classes_are_apart() {
    let class = ClassKey::of(&spec(json!({})).unwrap());
    let other = ClassKey::of(&spec(json!({"bundle": "img-2"})).unwrap());
    let mut p = Pheromone::default();
    for _ in 0..20 {
        p.record_completion(class.clone(), "A", 1.0);
        p.end_round(0.5, &machine_types());
    }
    assert!((p.level(&class, "A") - 1.0).abs() < 1e-9);
    assert!(p.level(&class, "B") > 0.0 && p.level(&class, "B") < 0.1);
    assert_eq!(
        p.level(&other, "B"),
        1.0,
        "no negative deposits to other classes"
    );
}

#[test]
fn draws_are_proportional_to_pheromone() {
    let class = ClassKey::of(&spec(json!({})).unwrap());
    let mut p = Pheromone::default();
    p.record_completion(class.clone(), "A", 2.0);
    p.record_completion(class.clone(), "A", 2.0);
    p.record_completion(class.clone(), "B", 3.0);
    p.end_round(0.5, &machine_types());
    let mut rng = SmallRng::seed_from_u64(5);
    let n = 20_000;
    let a = (0..n)
        .filter(|_| p.draw(&class, &["A", "B"], &mut rng) == Some("A"))
        .count();
    let expected = p.level(&class, "A") / (p.level(&class, "A") + p.level(&class, "B"));
    assert!((a as f64 / n as f64 - expected).abs() < 0.02);
    assert_eq!(
        p.draw(&class, &["B"], &mut rng),
        Some("B"),
        "only types with room are drawn"
    );
}

#[test]
fn eta_is_one_at_the_fair_share_and_bounded() {
    assert_eq!(fairness_weight(10.0, 10.0, 100.0), 1.0);
    assert!((fairness_weight(30.0, 10.0, 100.0) - 1.25).abs() < 1e-9);
    assert!((fairness_weight(10.0, 60.0, 100.0) - 1.0 / 1.5).abs() < 1e-9);
    assert_eq!(fairness_weight(200.0, 0.0, 100.0), 10.0);
    assert_eq!(fairness_weight(0.0, 5000.0, 100.0), 0.1);
}

#[test]
fn submissions_that_are_malformed_are_refused_with_a_reason() {
    for (field, value) in [
        ("uid", json!("job-1")),
        ("uid", json!(7)),
        ("shape", json!("ring")),
        ("urgency", json!("extreme")),
        ("parts", json!(0)),
        ("parts", json!(100_001)),
        ("parts", json!(1.5)),
        ("cores", json!(-1.0)),
        ("cores", json!("four")),
        ("memGb", json!(1e300)),
        ("guessS", Value::Null),
        ("builds", json!("g8")),
        ("together", json!("yes")),
        ("bundle", json!("")),
    ] {
        let error = spec(json!({field: value.clone()})).expect_err(&format!("{field} = {value}"));
        assert!(!error.to_string().is_empty());
    }
    assert!(
        JobSpec::parse(b"[]").is_err()
            && JobSpec::parse(b"{").is_err()
            && JobSpec::parse(b"\xff").is_err()
    );
    assert!(
        spec(json!({"unheardOf": 1})).is_ok(),
        "unknown fields are ignored"
    );
}

#[test]
fn jobs_that_can_never_run_are_told_apart() {
    let settings = test_cluster::settings_for_node(1, 2);
    let types: Vec<MachineType> = vec![
        serde_json::from_value(json!({"sku": "small", "cores": 4, "memGb": 16, "paddocks": ["a"]}))
            .unwrap(),
    ];
    let verdict = |change| impossible_reason(&spec(change).unwrap(), &types, &settings);
    assert!(verdict(json!({})).is_none());
    assert!(verdict(json!({"owner": "green"})).is_some());
    assert!(verdict(json!({"cores": 5.0})).is_some());
    assert!(verdict(json!({"builds": ["large"]})).is_some());
    assert!(
        verdict(json!({"owner": "red", "parts": 100})).is_none(),
        "an array may take its turns"
    );
    assert!(verdict(json!({"owner": "red", "parts": 100, "shape": "daemon"})).is_some());
}

#[test]
fn settings_and_properties_name_the_field_that_is_wrong() {
    let good = test_cluster::SETTINGS
        .replace("LABEL", "1")
        .replace("OTHERS", "");
    assert!(Settings::parse(&good).is_ok());
    for (from, to, field) in [
        ("lease_s = 30.0", "lease_s = -1.0", "lease_s"),
        ("rps = 8.0", "rps = 0.0", "cloud.rps"),
        (
            "listen = \"10.0.0.1:8080\"",
            "listen = \"nowhere\"",
            "listen",
        ),
        ("txn_ops = 20", "", "txn_ops"),
        (
            "cpu_share = 0.1",
            "cpu_share = 0.0",
            "machine_limits.cpu_share",
        ),
        (
            "cpu_share = 0.1",
            "cpu_share = nan",
            "machine_limits.cpu_share",
        ),
        ("ram_mb = 100.0", "ram_mb = -98.0", "machine_limits.ram_mb"),
        (
            "max_connections = 1000",
            "max_connections = 0",
            "machine_limits.max_connections",
        ),
        (
            "txn_ops = 20",
            "txn_ops = 20\n[settings.state.next]\nvalue_kb = -2.0",
            "state.next.value_kb",
        ),
        (
            "txn_ops = 20",
            "txn_ops = 20\n[settings.state.next]\ntxn_ops = 1",
            "state.next.txn_ops",
        ),
    ] {
        let error = Settings::parse(&good.replacen(from, to, 1))
            .unwrap_err()
            .to_string();
        assert!(error.contains(field), "{error}");
        assert!(!error.contains('\n'));
    }
    let read = |k: &str, v: &str| Properties::from_pairs([(&k.to_owned(), &v.to_owned())]);
    assert_eq!(
        read("scheduler.evaporation", "0.25").unwrap().evaporation,
        0.25
    );
    for (k, v) in [
        ("scheduler.evaporation", "2"),
        ("leader.ttl-seconds", "soon"),
        ("scheduler.evapration", "0.5"),
    ] {
        let error = read(k, v).unwrap_err();
        assert!(matches!(&error, SettingsError::Property { name, .. } if name == k));
    }
}

/// Ends all running tasks on workers, and of jobs, that a test wants to fail.
fn fail(w: &mut TestCluster, fails: impl Fn(usize, &str) -> bool) {
    for (n, worker) in w.workers.iter_mut().enumerate() {
        for p in &mut worker.tasks {
            if p.2 == "running" && fails(n, &p.0) {
                p.2 = "ended";
                p.3 = "error";
            }
        }
    }
}

/// A job submitted with a mistake fails on every machine until its user cancels it: it must not
/// take machines out of use, nor start all its tasks again and again.
#[test]
fn a_job_that_fails_everywhere_costs_the_others_little() {
    let mut w = TestCluster::new(2);
    for n in 1..=6 {
        w.add_worker(&format!("m-{n}"), "small", "a");
    }
    w.run(6.0);
    w.submit(0, "wk-1", json!({"parts": 24, "cores": 1.0, "memGb": 1.0}));
    w.submit(0, "wk-2", json!({"parts": 2, "cores": 1.0, "memGb": 1.0}));
    for _ in 0..150 {
        fail(&mut w, |_, part| part.starts_with("wk-1/"));
        w.run(0.2);
    }
    let starts = |w: &TestCluster, uid: &str| {
        let all = w.workers.iter().flat_map(|x| &x.started_attempts);
        all.filter(|s| s.0.starts_with(uid)).count()
    };
    let tries = starts(&w, "wk-1/");
    assert!(
        (25..36).contains(&tries),
        "once all, then one by one: {tries}"
    );
    w.submit(0, "wk-3", json!({"parts": 5}));
    w.run(1.0);
    assert_eq!(starts(&w, "wk-3/"), 5, "no machine was put aside for it");
    // Its tasks do well after all: twice as many each time, until all run.
    w.run(60.0);
    let running = w.workers.iter().flat_map(|x| &x.tasks);
    let running = running.filter(|p| p.0.starts_with("wk-1/") && p.2 == "running");
    assert!(running.count() > 1);
}

/// A machine that fails the tasks of two jobs is put aside; jobs that do well elsewhere go on.
#[test]
fn a_machine_that_fails_everything_is_put_aside() {
    let mut w = TestCluster::new(2);
    for n in 1..=3 {
        w.add_worker(&format!("m-{n}"), "small", "a");
    }
    w.run(6.0);
    let mut late = 0;
    for n in 1..=12 {
        let uid = format!("wk-{n}");
        w.submit(0, &uid, json!({"cores": 1.0, "memGb": 1.0}));
        for _ in 0..10 {
            fail(&mut w, |machine, _| machine == 0);
            w.run(0.2);
        }
        late += usize::from(w.running_copies(&format!("{uid}/0")) == 0 && n > 4);
        for x in &mut w.workers {
            for p in x.tasks.iter_mut().filter(|p| p.2 == "running") {
                (p.2, p.3) = ("ended", "done");
            }
        }
    }
    assert_eq!(late, 0);
    assert!(
        w.workers[0].started_attempts.len() <= 3,
        "{:?}",
        w.workers[0].started_attempts
    );
}

/// On a full fleet on which tasks end all the time, work that has a moment is not worth stopping
/// others for; without endings it is.
#[test]
fn nothing_is_stopped_for_work_that_gets_room_in_time_anyhow() {
    for ends in [true, false] {
        let mut w = TestCluster::new(1);
        for n in 0..40 {
            w.add_worker(&format!("m-{n:06}"), "small", "a");
        }
        w.run(6.0);
        let low = json!({"urgency": "low", "parts": 90, "markS": 10.0, "stashS": 1.0});
        w.submit(0, "wk-1", low);
        w.run(4.0);
        let there = |w: &TestCluster| -> Vec<String> {
            let parts = w.workers.iter().flat_map(|x| &x.tasks);
            parts
                .filter(|p| p.2 == "running")
                .map(|p| p.0.clone())
                .collect()
        };
        assert_eq!(there(&w).len(), 40, "the fleet is full");
        if ends {
            for part in there(&w).iter().take(36) {
                let worker = w.workers.iter_mut().find(|x| x.is_running(part)).unwrap();
                worker.end_task(part, "done");
            }
            for n in 0..40 {
                w.send_heartbeat(n);
            }
            w.run(0.3);
            assert_eq!(there(&w).len(), 40, "the fleet is full again");
        }
        w.submit(0, "wk-2", json!({"herd": "quick"}));
        w.run(0.2);
        let stopped = w.workers.iter().flat_map(|x| &x.tasks);
        let stopped = stopped.filter(|p| p.3 == "stopped").count();
        if ends {
            assert_eq!((stopped, w.running_copies("wk-2/0")), (0, 0));
            let part = there(&w)[0].clone();
            let n = w.workers.iter().position(|x| x.is_running(&part)).unwrap();
            w.workers[n].end_task(&part, "done");
            w.send_heartbeat(n);
            w.run(0.3);
        }
        assert_eq!(w.running_copies("wk-2/0"), 1, "with endings: {ends}");
    }
}
