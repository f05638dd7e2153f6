//! Upgrades of the stored schema: records of version 1 are read, version 1 is written while nodes of the previous
//! program version run beside this one, and the schema version is raised once, whatever the state service's limits.
//!
//! `fixtures/format1.json` and the bytes of frames below were produced by the program that was in production then
//! (`deploy/service.toml` names it). They come from a test cluster with two machines, of which the second became
//! unreachable, and were dumped after a job on that machine had been cancelled.

use crate::test_cluster::{NEXT_LIMITS, SETTINGS, TestCluster, settings_with_next_limits};
use dewramp::clock::SECOND;
use dewramp::job_record::{JobRecord, TaskEnding};
use dewramp::schema::{self, SCHEMA_VERSION, Schema, version_1};
use dewramp::state_client::to_raw_json;
use dewramp::wire::*;
use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use zerocopy::IntoBytes;

/// Schema version 1 as the previous program version reads it. A field that it does not know fails the test.
mod previous_version {
    use super::*;

    #[derive(Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct Job {
        pub spec: Spec,
        pub accepted: u64,
        pub node: String,
        pub done: Vec<(u32, u32)>,
        pub placed: BTreeMap<String, Vec<(u32, u32)>>,
        pub endings: Vec<End>,
    }

    #[derive(Deserialize)]
    #[serde(deny_unknown_fields)]
    #[allow(dead_code, non_snake_case)]
    pub struct Spec {
        pub uid: String,
        herd: String,
        owner: String,
        shape: String,
        urgency: String,
        parts: u64,
        cores: f64,
        accelerators: f64,
        memGb: f64,
        bundle: String,
        sizeGb: f64,
        builds: Option<Vec<String>>,
        paddock: Option<String>,
        together: bool,
        apart: bool,
        loaners: bool,
        guessS: f64,
        markS: f64,
        stashS: f64,
        dueS: Option<f64>,
    }

    #[derive(Deserialize)]
    #[serde(deny_unknown_fields)]
    #[allow(dead_code)]
    pub struct End {
        part: u32,
        machine: String,
        cause: String,
        at: u64,
    }

    #[derive(Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct Page {
        pub images: Vec<String>,
        pub machines: BTreeMap<String, Machine>,
    }

    #[derive(Deserialize)]
    #[serde(deny_unknown_fields)]
    #[allow(dead_code)]
    pub struct Machine {
        addr: String,
        sku: String,
        zone: String,
        spot: Option<bool>,
        hired: Option<bool>,
        images: Option<Vec<usize>>,
        pub quiet: Option<u64>,
    }

    #[derive(Deserialize)]
    #[serde(deny_unknown_fields)]
    #[allow(dead_code)]
    pub struct Leader {
        node: String,
        run: u64,
        term: u64,
        permit: u64,
    }

    #[derive(Deserialize)]
    #[serde(deny_unknown_fields)]
    #[allow(dead_code)]
    pub struct Over {
        status: String,
        done: u64,
        accepted: u64,
        over: u64,
        endings: Vec<End>,
    }
}

fn read_stored<T: for<'a> Deserialize<'a>>(cluster: &TestCluster, key: &str) -> T {
    serde_json::from_value(cluster.kv.keys[key].0.clone()).unwrap_or_else(|e| panic!("{key}: {e}"))
}

/// A cluster with the state stored by the previous program version, whose processes have just been replaced.
fn cluster_with_version_1_state(nodes: usize) -> TestCluster {
    let mut cluster = TestCluster::with_settings(nodes, &settings_with_next_limits());
    cluster.add_worker("m-1", "small", "a");
    cluster.add_worker("m-2", "small", "b");
    let stored_items: Vec<Value> =
        serde_json::from_str(include_str!("fixtures/format1.json")).unwrap();
    for item in stored_items {
        let (value, stamp) = (item["value"].clone(), item["stamp"].as_u64().unwrap());
        let key = item["path"].as_str().unwrap().to_owned();
        cluster
            .kv
            .keys
            .insert(key, (value, stamp, item["permit"].as_u64()));
    }
    (cluster.kv.revision, cluster.kv.last_lease_id) = (13, 10);
    cluster.kv.leases.insert(1, cluster.now.steady + 2 * SECOND);
    cluster.now.wall = 1_000_021_545_000;
    let start = |task: &str, attempt: u64| (task.to_owned(), (1 << 32) + attempt);
    cluster.workers[0].started_attempts = vec![
        start("wk-1/0", 1),
        start("wk-1/1", 2),
        start("wk-1/2", 3),
        start("wk-2/0", 4),
    ];
    cluster.workers[1].started_attempts = vec![start("wk-3/0", 5), start("wk-3/1", 6)];
    for worker in &mut cluster.workers {
        let started = worker.started_attempts.clone();
        let running = started.into_iter().filter(|attempt| attempt.0 != "wk-1/1");
        worker.tasks = running
            .map(|attempt| (attempt.0, attempt.1, "running", ""))
            .collect();
        worker.fencing_token = 1 << 24;
        worker.sequence = 20;
    }
    cluster.workers[1].partitioned = true;
    cluster
}

/// ran_twice, ran_cancelled (rules of the simulator): this version reads the placements, ends, the mark of an
/// unresponsive machine and the cancellation that the previous version stored.
#[test]
fn records_stored_by_the_previous_version_are_read() {
    let mut cluster = cluster_with_version_1_state(2);
    cluster.run(8.0);
    assert!(cluster.leader().is_some());
    for (task, copies) in [("wk-1/0", 1), ("wk-1/1", 0), ("wk-1/2", 1), ("wk-2/0", 1)] {
        assert_eq!(
            (cluster.start_count(task), cluster.running_copies(task)),
            (1, copies),
            "{task}"
        );
    }
    assert!(
        cluster.kv.keys.contains_key("stopping/wk-3"),
        "its tasks may still run on the unreachable machine"
    );
    let repeat = cluster.submit(1, "wk-3", json!({}));
    assert_eq!((repeat.0, &repeat.1["status"]), (200, &json!("cancelled")));
    cluster.workers[1].partitioned = false;
    cluster.run(6.0);
    assert_eq!(
        cluster.running_copies("wk-3/0") + cluster.running_copies("wk-3/1"),
        0,
        "stopped"
    );
    assert!(!cluster.kv.keys.contains_key("stopping/wk-3"));
    // All records are rewritten with the new schema, and the old registry pages are deleted.
    cluster.run(25.0);
    assert_eq!(cluster.kv.keys["format"].0["format"], SCHEMA_VERSION);
    for key in ["job/wk-1", "job/wk-2", "job/wk-4", "roll/p-0"] {
        assert_eq!(cluster.kv.keys[key].0["format"], SCHEMA_VERSION, "{key}");
    }
    assert!(!cluster.kv.keys.contains_key("roll/g-0"));
    for task in ["wk-1/0", "wk-1/2", "wk-2/0"] {
        let worker = cluster
            .workers
            .iter()
            .position(|worker| worker.is_running(task))
            .unwrap();
        cluster.workers[worker].end_task(task, "done");
    }
    cluster.run(3.0);
    for uid in ["wk-1", "wk-2"] {
        let (_, body) = cluster.request(0, "GET", &format!("/work/{uid}"), Value::Null);
        assert_eq!(body["status"], "done");
    }
}

/// Until every controller runs this version, all records are written in the layout that the previous version writes
/// and reads.
#[test]
fn the_old_layout_is_written_until_all_nodes_support_the_new_schema() {
    let mut cluster = TestCluster::with_settings(3, &settings_with_next_limits());
    cluster.kill_controller(2);
    cluster.add_worker("m-1", "small", "a");
    cluster.add_worker("m-2", "small", "b");
    cluster.run(6.0);
    cluster.submit(0, "wk-1", json!({"parts": 3, "cores": 1.0, "memGb": 1.0}));
    cluster.submit(1, "wk-2", json!({"cores": 4.0}));
    cluster.submit(1, "wk-3", json!({"cores": 1.0}));
    cluster.run(1.0);
    let worker = cluster
        .workers
        .iter()
        .position(|worker| worker.is_running("wk-1/1"))
        .unwrap();
    cluster.workers[worker].end_task("wk-1/1", "done");
    let unresponsive = cluster
        .workers
        .iter()
        .position(|worker| worker.is_running("wk-2/0"))
        .unwrap();
    cluster.workers[unresponsive].partitioned = true;
    cluster.run(12.0);
    cluster.request(0, "POST", "/work/wk-2/cancel", Value::Null);
    cluster.run(1.0);
    assert!(!cluster.kv.keys.contains_key("format"));
    let job: previous_version::Job = read_stored(&cluster, "job/wk-1");
    assert_eq!(
        (job.spec.uid.as_str(), &job.done[..]),
        ("wk-1", &[(1, 2)][..])
    );
    assert!(job.accepted > 0 && job.node == "n-1" && !job.endings.is_empty());
    assert_eq!(job.placed.values().flatten().count(), 2);
    let stopping: previous_version::Job = read_stored(&cluster, "stopping/wk-2");
    assert_eq!(stopping.placed.len(), 1);
    let page: previous_version::Page = read_stored(&cluster, "roll/g-0");
    assert_eq!(
        page.machines
            .values()
            .filter(|machine| machine.quiet.is_some())
            .count(),
        1
    );
    assert!(!page.images.is_empty());
    let _: previous_version::Leader = read_stored(&cluster, "leader");
    let _: previous_version::Over = read_stored(&cluster, "over/wk-2");
    // No key is stored that the previous version does not know.
    for key in cluster.kv.keys.keys() {
        let known = [
            "job/wk-",
            "over/wk-",
            "stopping/wk-",
            "roll/g-",
            "leader",
            "term",
            "node/n-",
        ];
        assert!(known.iter().any(|prefix| key.starts_with(prefix)), "{key}");
    }
    let (_, status) = cluster.request(
        cluster.leader().unwrap(),
        "GET",
        "/inspect/status",
        Value::Null,
    );
    assert_eq!(status["missing_for_next_format"], json!(["n-3"]));
    // The last controller starts with this version: the schema version is raised.
    cluster.start_controller(2, 3);
    cluster.run(6.0);
    assert_eq!(cluster.kv.keys["format"].0["format"], SCHEMA_VERSION);
    let (_, status) = cluster.request(
        cluster.leader().unwrap(),
        "GET",
        "/inspect/status",
        Value::Null,
    );
    assert_eq!(status["missing_for_next_format"], Value::Null);
    assert_eq!(status["format_stored"], SCHEMA_VERSION);
}

/// Frames between controllers keep the layout of the previous version.
#[test]
fn frame_layouts_are_unchanged() {
    let header = FrameHeader {
        magic: FRAME_MAGIC.into(),
        kind: KIND_DELIVER_COMMANDS.into(),
        status: 200.into(),
        ticket: 0x0102_0304_0506_0708.into(),
        timeout: 1_500_000.into(),
        subject_len: 13.into(),
        len: 77.into(),
    };
    let hex = |bytes: &[u8]| {
        bytes
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect::<String>()
    };
    assert_eq!(
        hex(header.as_bytes()),
        "325257440200c800080706050403020160e31600000000000d0000004d000000"
    );
    assert_eq!(
        hex(ProgressRow::new("wk-000412", 3, 13).unwrap().as_bytes()),
        "776b2d303030343132000000000000000000000000000000030000000d000000"
    );
    let kinds = [
        KIND_HEARTBEAT,
        KIND_DELIVER_COMMANDS,
        KIND_ANSWER,
        KIND_ADMIN_QUERY,
        KIND_PROGRESS,
        KIND_CLIENT_REQUEST,
    ];
    assert_eq!(kinds, [1, 2, 3, 4, 5, 6]);
}

/// The state service's limits are lowered and the leader is killed repeatedly while records are still being rewritten:
/// no task runs twice, and the cancelled job's tasks end.
#[test]
fn a_schema_upgrade_survives_failovers_and_lower_limits() {
    let mut cluster = TestCluster::with_settings(3, &settings_with_next_limits());
    cluster.kill_controller(2);
    for n in 0..150 {
        cluster.add_worker(&format!("m-{n:06}"), "small", ["a", "b"][n % 2]);
    }
    cluster.run(6.0);
    cluster.submit(0, "wk-1", json!({"parts": 120}));
    cluster.submit(1, "wk-2", json!({"parts": 20, "cores": 4.0}));
    cluster.run(3.0);
    let running = |cluster: &TestCluster| {
        cluster
            .workers
            .iter()
            .map(|worker| worker.tasks.len())
            .sum::<usize>()
    };
    assert_eq!(running(&cluster), 140);
    assert!(cluster.kv.keys["job/wk-1"].0.to_string().len() > 2048);
    assert!(cluster.kv.keys["roll/g-0"].0.to_string().len() > 2048);
    cluster.workers[3].partitioned = true;
    cluster.start_controller(2, 3);
    cluster.run(1.2);
    cluster.kv.limits = Some(NEXT_LIMITS);
    for turn in 0..6 {
        cluster.run(0.4 + 0.3 * f64::from(turn));
        if let Some(leader) = cluster.leader() {
            cluster.kill_controller(leader);
            cluster.start_controller(leader, 3);
        }
        cluster.run(4.0);
        // The cancelled job is still stored in one value, too large to be written again under the lower limits.
        if turn == 1 {
            assert_eq!(
                cluster
                    .request(0, "POST", "/work/wk-1/cancel", Value::Null)
                    .0,
                200
            );
        }
    }
    cluster.workers[3].partitioned = false;
    cluster.run(20.0);
    assert_eq!(cluster.kv.keys["format"].0["format"], SCHEMA_VERSION);
    for (key, value) in &cluster.kv.keys {
        assert!(value.0.to_string().len() <= 2048, "{key}");
        assert!(
            !key.starts_with("roll/g-") && !key.starts_with("stopping/"),
            "{key}"
        );
    }
    for task in 0..120 {
        assert!(cluster.start_count(&format!("wk-1/{task}")) <= 1);
        assert_eq!(
            cluster.running_copies(&format!("wk-1/{task}")),
            0,
            "cancelled"
        );
    }
    for task in 0..20 {
        assert_eq!(cluster.running_copies(&format!("wk-2/{task}")), 1);
    }
    let registry_pages = cluster
        .kv
        .keys
        .iter()
        .filter(|entry| entry.0.starts_with("roll/"));
    let registered: usize = registry_pages
        .map(|entry| entry.1.0["machines"].as_array().unwrap().len())
        .sum();
    assert_eq!(registered, 150);
}

/// One controller never starts, so schema version 1 stays in use, and the state service's limits are lowered all the
/// same: jobs run as many tasks at once as their record can hold, and rejected writes are not repeated endlessly.
#[test]
fn lower_limits_are_applied_before_the_schema_upgrade() {
    let mut cluster = TestCluster::with_settings(3, &settings_with_next_limits());
    cluster.kill_controller(2);
    for n in 0..60 {
        cluster.add_worker(&format!("m-{n:06}"), "small", "a");
    }
    cluster.run(6.0);
    cluster.kv.limits = Some(NEXT_LIMITS);
    cluster.submit(0, "wk-1", json!({"parts": 200}));
    for _ in 0..60 {
        cluster.run(1.0);
        for worker in &mut cluster.workers {
            if let Some(task) = worker
                .tasks
                .iter()
                .find(|task| task.2 == "running")
                .map(|task| task.0.clone())
            {
                worker.end_task(&task, "done");
            }
        }
    }
    let (_, body) = cluster.request(0, "GET", "/work/wk-1", Value::Null);
    assert_eq!(body["status"], "done", "{body}");
    assert!(!cluster.kv.keys.contains_key("format"));
    assert!(
        cluster.kv.rejected_transactions <= 4,
        "{} refusals",
        cluster.kv.rejected_transactions
    );
    for task in 0..200 {
        assert_eq!(cluster.start_count(&format!("wk-1/{task}")), 1);
    }
}

/// A program version that does not know the stored schema version must not touch records that it can't read.
#[test]
fn a_process_exits_if_the_stored_schema_is_newer() {
    let mut cluster = TestCluster::with_settings(1, SETTINGS);
    let stored = (json!({"format": SCHEMA_VERSION + 1}), 1, None);
    cluster.kv.keys.insert("format".to_owned(), stored);
    cluster.kv.revision = 1;
    cluster.run(1.0);
    let reason = cluster.controllers[0]
        .as_ref()
        .unwrap()
        .fatal_error()
        .expect("it exits");
    assert!(
        reason.contains("format 3") && !reason.contains('\n'),
        "{reason}"
    );
}

/// ran_twice: the tasks of a chunk that can't be read may run on any machine until all leases have expired, so none of
/// them is started again before.
#[test]
fn an_unreadable_chunk_frees_no_capacity() {
    let mut cluster = TestCluster::with_settings(2, &settings_with_next_limits());
    for n in 0..260 {
        cluster.add_worker(&format!("m-{n:06}"), "small", "a");
    }
    cluster.run(6.0);
    cluster.submit(0, "wk-1", json!({"parts": 250}));
    cluster.run(4.0);
    let key = "piece/wk-1/0".to_owned();
    assert!(cluster.kv.keys.contains_key(&key));
    cluster.kv.keys.get_mut(&key).unwrap().0 = json!({"placed": 7});
    for worker in &mut cluster.workers {
        worker.partitioned = true;
    }
    let leader = cluster.leader().unwrap();
    cluster.kill_controller(leader);
    cluster.run(10.0);
    for worker in cluster.workers.iter_mut().skip(250) {
        worker.partitioned = false;
    }
    cluster.run(10.0);
    for task in 0..250 {
        assert_eq!(cluster.start_count(&format!("wk-1/{task}")), 1);
    }
}

fn record(tasks: u32, machines: u32) -> JobRecord {
    let spec = crate::test_cluster::job_submission("wk-1");
    let mut spec = JobSpec::parse(spec.to_string().as_bytes()).unwrap();
    spec.tasks = u64::from(tasks);
    let mut record = JobRecord::new(spec, 1_000_000_000_000_000, "drover-0");
    // Every second one of the first tasks is done, and the last ones run, one on each machine.
    record.done = (0..tasks / 4).step_by(2).map(|n| (n, n + 1)).collect();
    for n in 0..machines {
        let task_index = tasks - 1 - n;
        let placed = record.placed.entry(format!("m-{n:06}").as_str().into());
        placed.or_default().push((task_index, task_index + 1));
    }
    for task_index in 0..12 {
        record.endings.push_back(TaskEnding {
            task_index,
            machine: "m-000001".to_owned(),
            cause: "done".to_owned(),
            ended_at: 1_000_000_000_000_000,
        });
    }
    record
}

/// A record encoded under a low value size limit is decoded unchanged, and no header or chunk exceeds the limit.
#[test]
fn headers_and_chunks_round_trip() {
    let schema_2 = Schema {
        version: SCHEMA_VERSION,
        value_bytes: 2048,
        txn_ops: 12,
    };
    for (tasks, machines) in [(1, 0), (40, 10), (300, 200), (1_000, 400), (100_000, 600)] {
        let mut record = record(tasks.min(2_000), machines);
        if tasks == 100_000 {
            std::sync::Arc::make_mut(&mut record.spec).tasks = 100_000;
        }
        let values = schema_2.encode_job(&record).expect("it fits");
        assert!(values.header.get().len() <= 2048);
        assert!(values.chunks.iter().all(|chunk| chunk.get().len() <= 2048));
        assert!(values.chunks.len() <= schema_2.chunks_max());
        let (mut decoded, chunk_count) = schema::decode_job(&values.header).unwrap();
        assert_eq!(chunk_count, values.chunks.len());
        for chunk in &values.chunks {
            schema::decode_chunk(chunk, &mut decoded).unwrap();
        }
        decoded.endings.clone_from(&record.endings);
        assert_eq!(decoded, record);
        // The same for schema version 1.
        let text = version_1::encode_job(&record, 1 << 20).unwrap();
        assert_eq!(schema::decode_job(&text).unwrap(), (record, 0));
    }
    assert!(
        schema_2.encode_job(&record(50_000, 0)).is_none(),
        "12,500 ends do not fit"
    );
    for invalid in [
        json!({"format": 9, "spec": {}}),
        json!({"format": 2, "placed": 3}),
        json!([1]),
        json!(null),
    ] {
        assert!(
            schema::decode_job(&to_raw_json(&invalid)).is_err(),
            "{invalid}"
        );
    }
    for (previous, text) in [
        ("", "m-1"),
        ("m-000231", "m-000232"),
        ("añ", "aö"),
        ("x", ""),
    ] {
        let compressed = schema::compress_prefix(previous, text);
        assert_eq!(
            schema::expand_prefix(previous, &compressed).as_deref(),
            Some(text)
        );
    }
    assert_eq!(schema::expand_prefix("ab", "9x"), None);
}
