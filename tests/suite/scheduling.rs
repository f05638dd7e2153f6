//! The scheduler: the formulas of the paper that it implements, checks of submissions and settings, failing tasks and
//! preemption.

use crate::test_cluster::{self, TestCluster};
use dewramp::scheduler::{ClassKey, Pheromone, fairness_weight, impossible_reason};
use dewramp::settings::{Properties, Settings, SettingsError};
use dewramp::wire::{JobSpec, JobSpecError, MachineType};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::{Value, json};

fn spec(change: Value) -> Result<JobSpec, JobSpecError> {
    let mut job = test_cluster::job_submission("wk-1");
    for (field, value) in change.as_object().unwrap() {
        job[field] = value.clone();
    }
    JobSpec::parse(job.to_string().as_bytes())
}

fn machine_types() -> Vec<String> {
    vec!["A".to_owned(), "B".to_owned()]
}

/// The example of the paper's section IV.C: machine type A completes two tasks at 2 KJ, B one at 3 KJ, ρ = 0.5; the
/// levels are 1.66 and 0.88.
#[test]
fn pheromone_levels_match_the_papers_worked_example() {
    let class = ClassKey::of(&spec(json!({})).unwrap());
    let mut pheromone = Pheromone::default();
    pheromone.record_completion(class.clone(), "A", 2.0);
    pheromone.record_completion(class.clone(), "A", 2.0);
    pheromone.record_completion(class.clone(), "B", 3.0);
    pheromone.end_round(0.5, &machine_types());
    assert!((pheromone.level(&class, "A") - (0.5 + 0.5 * 2.0 * (7.0 / 3.0) / 2.0)).abs() < 1e-9);
    assert!((pheromone.level(&class, "A") - 1.66).abs() < 0.01);
    assert!((pheromone.level(&class, "B") - 0.88).abs() < 0.01);
}

#[test]
fn pheromone_evaporates_to_a_floor_and_classes_are_independent() {
    let class = ClassKey::of(&spec(json!({})).unwrap());
    let other = ClassKey::of(&spec(json!({"bundle": "img-2"})).unwrap());
    let mut pheromone = Pheromone::default();
    for _ in 0..20 {
        pheromone.record_completion(class.clone(), "A", 1.0);
        pheromone.end_round(0.5, &machine_types());
    }
    assert!((pheromone.level(&class, "A") - 1.0).abs() < 1e-9);
    assert!(pheromone.level(&class, "B") > 0.0 && pheromone.level(&class, "B") < 0.1);
    assert_eq!(
        pheromone.level(&other, "B"),
        1.0,
        "no negative deposits to other classes"
    );
}

#[test]
fn draws_are_proportional_to_pheromone() {
    let class = ClassKey::of(&spec(json!({})).unwrap());
    let mut pheromone = Pheromone::default();
    pheromone.record_completion(class.clone(), "A", 2.0);
    pheromone.record_completion(class.clone(), "A", 2.0);
    pheromone.record_completion(class.clone(), "B", 3.0);
    pheromone.end_round(0.5, &machine_types());
    let mut rng = SmallRng::seed_from_u64(5);
    let n = 20_000;
    let a = (0..n)
        .filter(|_| pheromone.draw(&class, &["A", "B"], &mut rng) == Some("A"))
        .count();
    let expected = pheromone.level(&class, "A")
        / (pheromone.level(&class, "A") + pheromone.level(&class, "B"));
    assert!((a as f64 / n as f64 - expected).abs() < 0.02);
    assert_eq!(
        pheromone.draw(&class, &["B"], &mut rng),
        Some("B"),
        "only the given types are drawn"
    );
}

#[test]
fn fairness_weight_is_one_at_the_fair_share_and_bounded() {
    assert_eq!(fairness_weight(10.0, 10.0, 100.0), 1.0);
    assert!((fairness_weight(30.0, 10.0, 100.0) - 1.25).abs() < 1e-9);
    assert!((fairness_weight(10.0, 60.0, 100.0) - 1.0 / 1.5).abs() < 1e-9);
    assert_eq!(fairness_weight(200.0, 0.0, 100.0), 10.0);
    assert_eq!(fairness_weight(0.0, 5000.0, 100.0), 0.1);
}

#[test]
fn malformed_submissions_are_rejected_with_a_reason() {
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
fn jobs_that_can_never_run_are_detected() {
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
        "an array may run a few tasks at a time"
    );
    assert!(verdict(json!({"owner": "red", "parts": 100, "shape": "daemon"})).is_some());
}

#[test]
fn settings_and_properties_errors_name_the_invalid_field() {
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
    let parse_property =
        |k: &str, v: &str| Properties::from_pairs([(&k.to_owned(), &v.to_owned())]);
    assert_eq!(
        parse_property("scheduler.evaporation", "0.25")
            .unwrap()
            .evaporation,
        0.25
    );
    for (k, v) in [
        ("scheduler.evaporation", "2"),
        ("leader.ttl-seconds", "soon"),
        ("scheduler.evapration", "0.5"),
    ] {
        let error = parse_property(k, v).unwrap_err();
        assert!(matches!(&error, SettingsError::Property { name, .. } if name == k));
    }
}

/// Ends with an error each running task for which `fails` (machine index, task) holds.
fn fail_tasks(cluster: &mut TestCluster, fails: impl Fn(usize, &str) -> bool) {
    for (machine, worker) in cluster.workers.iter_mut().enumerate() {
        for task in &mut worker.tasks {
            if task.2 == "running" && fails(machine, &task.0) {
                task.2 = "ended";
                task.3 = "error";
            }
        }
    }
}

/// A faulty job fails on every machine until its user cancels it: it must neither get machines quarantined nor restart
/// all of its tasks again and again.
#[test]
fn a_job_that_fails_everywhere_barely_affects_other_jobs() {
    let mut cluster = TestCluster::new(2);
    for n in 1..=6 {
        cluster.add_worker(&format!("m-{n}"), "small", "a");
    }
    cluster.run(6.0);
    cluster.submit(0, "wk-1", json!({"parts": 24, "cores": 1.0, "memGb": 1.0}));
    cluster.submit(0, "wk-2", json!({"parts": 2, "cores": 1.0, "memGb": 1.0}));
    for _ in 0..150 {
        fail_tasks(&mut cluster, |_, task| task.starts_with("wk-1/"));
        cluster.run(0.2);
    }
    let starts = |cluster: &TestCluster, uid: &str| {
        let attempts = cluster
            .workers
            .iter()
            .flat_map(|worker| &worker.started_attempts);
        attempts
            .filter(|attempt| attempt.0.starts_with(uid))
            .count()
    };
    let attempts_of_faulty_job = starts(&cluster, "wk-1/");
    assert!(
        (25..36).contains(&attempts_of_faulty_job),
        "each task once, then one at a time: {attempts_of_faulty_job}"
    );
    cluster.submit(0, "wk-3", json!({"parts": 5}));
    cluster.run(1.0);
    assert_eq!(
        starts(&cluster, "wk-3/"),
        5,
        "no machine is quarantined because of it"
    );
    // Its tasks no longer fail: the number that is started at a time doubles until all run.
    cluster.run(60.0);
    let running = cluster.workers.iter().flat_map(|worker| &worker.tasks);
    let running = running.filter(|task| task.0.starts_with("wk-1/") && task.2 == "running");
    assert!(running.count() > 1);
}

/// A machine on which the tasks of two jobs fail is quarantined; jobs that succeed elsewhere go on.
#[test]
fn a_machine_that_fails_all_tasks_is_quarantined() {
    let mut cluster = TestCluster::new(2);
    for n in 1..=3 {
        cluster.add_worker(&format!("m-{n}"), "small", "a");
    }
    cluster.run(6.0);
    let mut not_running = 0;
    for n in 1..=12 {
        let uid = format!("wk-{n}");
        cluster.submit(0, &uid, json!({"cores": 1.0, "memGb": 1.0}));
        for _ in 0..10 {
            fail_tasks(&mut cluster, |machine, _| machine == 0);
            cluster.run(0.2);
        }
        not_running += usize::from(cluster.running_copies(&format!("{uid}/0")) == 0 && n > 4);
        for worker in &mut cluster.workers {
            for task in worker.tasks.iter_mut().filter(|task| task.2 == "running") {
                (task.2, task.3) = ("ended", "done");
            }
        }
    }
    assert_eq!(not_running, 0);
    assert!(
        cluster.workers[0].started_attempts.len() <= 3,
        "{:?}",
        cluster.workers[0].started_attempts
    );
}

/// On a full fleet on which tasks end all the time, a job whose objective leaves time to wait preempts nothing; if no
/// task ends, it does.
#[test]
fn no_task_is_preempted_if_capacity_frees_up_in_time() {
    for ends in [true, false] {
        let mut cluster = TestCluster::new(1);
        for n in 0..40 {
            cluster.add_worker(&format!("m-{n:06}"), "small", "a");
        }
        cluster.run(6.0);
        let low = json!({"urgency": "low", "parts": 90, "markS": 10.0, "stashS": 1.0});
        cluster.submit(0, "wk-1", low);
        cluster.run(4.0);
        let running_tasks = |cluster: &TestCluster| -> Vec<String> {
            let tasks = cluster.workers.iter().flat_map(|worker| &worker.tasks);
            tasks
                .filter(|task| task.2 == "running")
                .map(|task| task.0.clone())
                .collect()
        };
        assert_eq!(running_tasks(&cluster).len(), 40, "the fleet is full");
        if ends {
            for task in running_tasks(&cluster).iter().take(36) {
                let worker = cluster
                    .workers
                    .iter_mut()
                    .find(|worker| worker.is_running(task))
                    .unwrap();
                worker.end_task(task, "done");
            }
            for n in 0..40 {
                cluster.send_heartbeat(n);
            }
            cluster.run(0.3);
            assert_eq!(running_tasks(&cluster).len(), 40, "the fleet is full again");
        }
        cluster.submit(0, "wk-2", json!({"herd": "quick"}));
        cluster.run(0.2);
        let preempted = cluster.workers.iter().flat_map(|worker| &worker.tasks);
        let preempted = preempted.filter(|task| task.3 == "stopped").count();
        if ends {
            assert_eq!((preempted, cluster.running_copies("wk-2/0")), (0, 0));
            let task = running_tasks(&cluster)[0].clone();
            let n = cluster
                .workers
                .iter()
                .position(|worker| worker.is_running(&task))
                .unwrap();
            cluster.workers[n].end_task(&task, "done");
            cluster.send_heartbeat(n);
            cluster.run(0.3);
        }
        assert_eq!(cluster.running_copies("wk-2/0"), 1, "with endings: {ends}");
    }
}
