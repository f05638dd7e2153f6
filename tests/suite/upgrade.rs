//! Versions and stored formats side by side: what the version before wrote is understood, what is
//! written beside it is its own layout, and the format goes up once, under whatever limits.
//!
//! `fixtures/format1.json` and the bytes of frames below were made once by the program of
//! production (`deploy/service.toml` names it): its own scripted world with two machines, of which
//! the second fell silent, dumped after a job there had been cancelled.

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

/// The old layout, strictly: whatever the version before does not know fails the test.
mod before {
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

fn read_stored<T: for<'a> Deserialize<'a>>(w: &TestCluster, key: &str) -> T {
    serde_json::from_value(w.kv.keys[key].0.clone()).unwrap_or_else(|e| panic!("{key}: {e}"))
}

/// A world in which production's program has just ended.
fn taken_over(nodes: usize) -> TestCluster {
    let mut w = TestCluster::with_settings(nodes, &settings_with_next_limits());
    w.add_worker("m-1", "small", "a");
    w.add_worker("m-2", "small", "b");
    let items: Vec<Value> = serde_json::from_str(include_str!("fixtures/format1.json")).unwrap();
    for i in items {
        let (value, stamp) = (i["value"].clone(), i["stamp"].as_u64().unwrap());
        let key = i["path"].as_str().unwrap().to_owned();
        w.kv.keys.insert(key, (value, stamp, i["permit"].as_u64()));
    }
    (w.kv.revision, w.kv.last_lease_id) = (13, 10);
    w.kv.leases.insert(1, w.now.steady + 2 * SECOND);
    w.now.wall = 1_000_021_545_000;
    let start = |part: &str, attempt: u64| (part.to_owned(), (1 << 32) + attempt);
    w.workers[0].started_attempts = vec![
        start("wk-1/0", 1),
        start("wk-1/1", 2),
        start("wk-1/2", 3),
        start("wk-2/0", 4),
    ];
    w.workers[1].started_attempts = vec![start("wk-3/0", 5), start("wk-3/1", 6)];
    for worker in &mut w.workers {
        let started = worker.started_attempts.clone();
        let live = started.into_iter().filter(|s| s.0 != "wk-1/1");
        worker.tasks = live.map(|s| (s.0, s.1, "running", "")).collect();
        worker.fencing_token = 1 << 24;
        worker.sequence = 20;
    }
    w.workers[1].partitioned = true;
    w
}

/// ran_twice, ran_cancelled: placements, ends, a silent machine's mark and a cancellation stored
/// by the version before are seen by this one.
#[test]
fn what_the_version_before_stored_is_understood() {
    let mut w = taken_over(2);
    w.run(8.0);
    assert!(w.leader().is_some());
    for (part, copies) in [("wk-1/0", 1), ("wk-1/1", 0), ("wk-1/2", 1), ("wk-2/0", 1)] {
        assert_eq!(
            (w.start_count(part), w.running_copies(part)),
            (1, copies),
            "{part}"
        );
    }
    assert!(
        w.kv.keys.contains_key("stopping/wk-3"),
        "its tasks may still be on the silent machine"
    );
    let late = w.submit(1, "wk-3", json!({}));
    assert_eq!((late.0, &late.1["status"]), (200, &json!("cancelled")));
    w.workers[1].partitioned = false;
    w.run(6.0);
    assert_eq!(
        w.running_copies("wk-3/0") + w.running_copies("wk-3/1"),
        0,
        "stopped"
    );
    assert!(!w.kv.keys.contains_key("stopping/wk-3"));
    // And all is laid out anew, the old pages gone.
    w.run(25.0);
    assert_eq!(w.kv.keys["format"].0["format"], SCHEMA_VERSION);
    for key in ["job/wk-1", "job/wk-2", "job/wk-4", "roll/p-0"] {
        assert_eq!(w.kv.keys[key].0["format"], SCHEMA_VERSION, "{key}");
    }
    assert!(!w.kv.keys.contains_key("roll/g-0"));
    for part in ["wk-1/0", "wk-1/2", "wk-2/0"] {
        let at = w.workers.iter().position(|x| x.is_running(part)).unwrap();
        w.workers[at].end_task(part, "done");
    }
    w.run(3.0);
    for uid in ["wk-1", "wk-2"] {
        let (_, body) = w.request(0, "GET", &format!("/work/{uid}"), Value::Null);
        assert_eq!(body["status"], "done");
    }
}

/// Until every controller has come back with this version, whatever is written is what the
/// version before writes and reads.
#[test]
fn beside_the_version_before_its_layout_is_written() {
    let mut w = TestCluster::with_settings(3, &settings_with_next_limits());
    w.kill_controller(2);
    w.add_worker("m-1", "small", "a");
    w.add_worker("m-2", "small", "b");
    w.run(6.0);
    w.submit(0, "wk-1", json!({"parts": 3, "cores": 1.0, "memGb": 1.0}));
    w.submit(1, "wk-2", json!({"cores": 4.0}));
    w.submit(1, "wk-3", json!({"cores": 1.0}));
    w.run(1.0);
    let at = w
        .workers
        .iter()
        .position(|x| x.is_running("wk-1/1"))
        .unwrap();
    w.workers[at].end_task("wk-1/1", "done");
    let silent = w
        .workers
        .iter()
        .position(|x| x.is_running("wk-2/0"))
        .unwrap();
    w.workers[silent].partitioned = true;
    w.run(12.0);
    w.request(0, "POST", "/work/wk-2/cancel", Value::Null);
    w.run(1.0);
    assert!(!w.kv.keys.contains_key("format"));
    let job: before::Job = read_stored(&w, "job/wk-1");
    assert_eq!(
        (job.spec.uid.as_str(), &job.done[..]),
        ("wk-1", &[(1, 2)][..])
    );
    assert!(job.accepted > 0 && job.node == "n-1" && !job.endings.is_empty());
    assert_eq!(job.placed.values().flatten().count(), 2);
    let stopping: before::Job = read_stored(&w, "stopping/wk-2");
    assert_eq!(stopping.placed.len(), 1);
    let page: before::Page = read_stored(&w, "roll/g-0");
    assert_eq!(
        page.machines.values().filter(|m| m.quiet.is_some()).count(),
        1
    );
    assert!(!page.images.is_empty());
    let _: before::Leader = read_stored(&w, "leader");
    let _: before::Over = read_stored(&w, "over/wk-2");
    // A prefix that the version before lists holds nothing that it doesn't know.
    for key in w.kv.keys.keys() {
        let known = [
            "job/wk-",
            "over/wk-",
            "stopping/wk-",
            "roll/g-",
            "leader",
            "term",
            "node/n-",
        ];
        assert!(known.iter().any(|k| key.starts_with(k)), "{key}");
    }
    let (_, status) = w.request(w.leader().unwrap(), "GET", "/inspect/status", Value::Null);
    assert_eq!(status["missing_for_next_format"], json!(["n-3"]));
    // The last one comes: the format goes up, once.
    w.start_controller(2, 3);
    w.run(6.0);
    assert_eq!(w.kv.keys["format"].0["format"], SCHEMA_VERSION);
    let (_, status) = w.request(w.leader().unwrap(), "GET", "/inspect/status", Value::Null);
    assert_eq!(status["missing_for_next_format"], Value::Null);
    assert_eq!(status["format_stored"], SCHEMA_VERSION);
}

/// What goes between controllers is laid out as before.
#[test]
fn frames_are_those_of_the_version_before() {
    let head = FrameHeader {
        magic: FRAME_MAGIC.into(),
        kind: KIND_DELIVER_COMMANDS.into(),
        status: 200.into(),
        ticket: 0x0102_0304_0506_0708.into(),
        timeout: 1_500_000.into(),
        subject_len: 13.into(),
        len: 77.into(),
    };
    let hex = |b: &[u8]| b.iter().map(|x| format!("{x:02x}")).collect::<String>();
    assert_eq!(
        hex(head.as_bytes()),
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

/// The limits fall while values of the old size are live, the leader ends again and again, and
/// the move is not through: nothing runs twice, and all that ran ends.
#[test]
fn the_move_goes_on_through_takeovers_and_lower_limits() {
    let mut w = TestCluster::with_settings(3, &settings_with_next_limits());
    w.kill_controller(2);
    for n in 0..150 {
        w.add_worker(&format!("m-{n:06}"), "small", ["a", "b"][n % 2]);
    }
    w.run(6.0);
    w.submit(0, "wk-1", json!({"parts": 120}));
    w.submit(1, "wk-2", json!({"parts": 20, "cores": 4.0}));
    w.run(3.0);
    let running = |w: &TestCluster| w.workers.iter().map(|x| x.tasks.len()).sum::<usize>();
    assert_eq!(running(&w), 140);
    assert!(w.kv.keys["job/wk-1"].0.to_string().len() > 2048);
    assert!(w.kv.keys["roll/g-0"].0.to_string().len() > 2048);
    w.workers[3].partitioned = true;
    w.start_controller(2, 3);
    w.run(1.2);
    w.kv.limits = Some(NEXT_LIMITS);
    for turn in 0..6 {
        w.run(0.4 + 0.3 * f64::from(turn));
        if let Some(leader) = w.leader() {
            w.kill_controller(leader);
            w.start_controller(leader, 3);
        }
        w.run(4.0);
        // The cancelled job was stored in one value that can't be written again.
        if turn == 1 {
            assert_eq!(
                w.request(0, "POST", "/work/wk-1/cancel", Value::Null).0,
                200
            );
        }
    }
    w.workers[3].partitioned = false;
    w.run(20.0);
    assert_eq!(w.kv.keys["format"].0["format"], SCHEMA_VERSION);
    for (key, value) in &w.kv.keys {
        assert!(value.0.to_string().len() <= 2048, "{key}");
        assert!(
            !key.starts_with("roll/g-") && !key.starts_with("stopping/"),
            "{key}"
        );
    }
    for part in 0..120 {
        assert!(w.start_count(&format!("wk-1/{part}")) <= 1);
        assert_eq!(w.running_copies(&format!("wk-1/{part}")), 0, "cancelled");
    }
    for part in 0..20 {
        assert_eq!(w.running_copies(&format!("wk-2/{part}")), 1);
    }
    let all = w.kv.keys.iter().filter(|k| k.0.starts_with("roll/"));
    let named: usize = all
        .map(|k| k.1.0["machines"].as_array().unwrap().len())
        .sum();
    assert_eq!(named, 150);
}

/// One controller is never seen, so the old layout stays, and the lower limits come all the same:
/// jobs run as wide as fits, and nothing refused is asked for again and again.
#[test]
fn lower_limits_before_the_format_goes_up_are_learned() {
    let mut w = TestCluster::with_settings(3, &settings_with_next_limits());
    w.kill_controller(2);
    for n in 0..60 {
        w.add_worker(&format!("m-{n:06}"), "small", "a");
    }
    w.run(6.0);
    w.kv.limits = Some(NEXT_LIMITS);
    w.submit(0, "wk-1", json!({"parts": 200}));
    for _ in 0..60 {
        w.run(1.0);
        for x in &mut w.workers {
            if let Some(part) = x
                .tasks
                .iter()
                .find(|p| p.2 == "running")
                .map(|p| p.0.clone())
            {
                x.end_task(&part, "done");
            }
        }
    }
    let (_, body) = w.request(0, "GET", "/work/wk-1", Value::Null);
    assert_eq!(body["status"], "done", "{body}");
    assert!(!w.kv.keys.contains_key("format"));
    assert!(
        w.kv.rejected_transactions <= 4,
        "{} refusals",
        w.kv.rejected_transactions
    );
    for part in 0..200 {
        assert_eq!(w.start_count(&format!("wk-1/{part}")), 1);
    }
}

/// A version that doesn't know the stored format must not touch what it can't read.
#[test]
fn a_process_that_finds_a_newer_format_ends() {
    let mut w = TestCluster::with_settings(1, SETTINGS);
    let stored = (json!({"format": SCHEMA_VERSION + 1}), 1, None);
    w.kv.keys.insert("format".to_owned(), stored);
    w.kv.revision = 1;
    w.run(1.0);
    let reason = w.controllers[0]
        .as_ref()
        .unwrap()
        .fatal_error()
        .expect("it ends");
    assert!(
        reason.contains("format 3") && !reason.contains('\n'),
        "{reason}"
    );
}

/// ran_twice: placements in a piece that can't be read may be anywhere until every lease of the
/// moment is over; nothing is freed by what nobody can read.
#[test]
fn an_unreadable_piece_frees_nothing() {
    let mut w = TestCluster::with_settings(2, &settings_with_next_limits());
    for n in 0..260 {
        w.add_worker(&format!("m-{n:06}"), "small", "a");
    }
    w.run(6.0);
    w.submit(0, "wk-1", json!({"parts": 250}));
    w.run(4.0);
    let key = "piece/wk-1/0".to_owned();
    assert!(w.kv.keys.contains_key(&key));
    w.kv.keys.get_mut(&key).unwrap().0 = json!({"placed": 7});
    for x in &mut w.workers {
        x.partitioned = true;
    }
    let leader = w.leader().unwrap();
    w.kill_controller(leader);
    w.run(10.0);
    for x in w.workers.iter_mut().skip(250) {
        x.partitioned = false;
    }
    w.run(10.0);
    for part in 0..250 {
        assert_eq!(w.start_count(&format!("wk-1/{part}")), 1);
    }
}

fn record(tasks: u32, machines: u32) -> JobRecord {
    let spec = crate::test_cluster::job_submission("wk-1");
    let mut spec = JobSpec::parse(spec.to_string().as_bytes()).unwrap();
    spec.tasks = u64::from(tasks);
    let mut record = JobRecord::new(spec, 1_000_000_000_000_000, "drover-0");
    // Endings in any order, and a task on each machine.
    record.done = (0..tasks / 4).step_by(2).map(|n| (n, n + 1)).collect();
    for n in 0..machines {
        let part = tasks - 1 - n;
        let placed = record.placed.entry(format!("m-{n:06}").as_str().into());
        placed.or_default().push((part, part + 1));
    }
    for part in 0..12 {
        record.endings.push_back(TaskEnding {
            task_index: part,
            machine: "m-000001".to_owned(),
            cause: "done".to_owned(),
            ended_at: 1_000_000_000_000_000,
        });
    }
    record
}

/// What is written under small values is read back whole, and none is larger than allowed.
#[test]
fn heads_and_pieces_are_read_back_whole() {
    let layout = Schema {
        version: SCHEMA_VERSION,
        value_bytes: 2048,
        txn_ops: 12,
    };
    for (tasks, machines) in [(1, 0), (40, 10), (300, 200), (1_000, 400), (100_000, 600)] {
        let mut record = record(tasks.min(2_000), machines);
        if tasks == 100_000 {
            std::sync::Arc::make_mut(&mut record.spec).tasks = 100_000;
        }
        let values = layout.encode_job(&record).expect("it fits");
        assert!(values.header.get().len() <= 2048);
        assert!(values.chunks.iter().all(|p| p.get().len() <= 2048));
        assert!(values.chunks.len() <= layout.chunks_max());
        let (mut decoded, pieces) = schema::decode_job(&values.header).unwrap();
        assert_eq!(pieces, values.chunks.len());
        for piece in &values.chunks {
            schema::decode_chunk(piece, &mut decoded).unwrap();
        }
        decoded.endings.clone_from(&record.endings);
        assert_eq!(decoded, record);
        // The old layout, too.
        let text = version_1::encode_job(&record, 1 << 20).unwrap();
        assert_eq!(schema::decode_job(&text).unwrap(), (record, 0));
    }
    assert!(
        layout.encode_job(&record(50_000, 0)).is_none(),
        "12,500 ends fit nowhere"
    );
    for wrong in [
        json!({"format": 9, "spec": {}}),
        json!({"format": 2, "placed": 3}),
        json!([1]),
        json!(null),
    ] {
        assert!(schema::decode_job(&to_raw_json(&wrong)).is_err(), "{wrong}");
    }
    for (before, text) in [
        ("", "m-1"),
        ("m-000231", "m-000232"),
        ("añ", "aö"),
        ("x", ""),
    ] {
        let short = schema::compress_prefix(before, text);
        assert_eq!(schema::expand_prefix(before, &short).as_deref(), Some(text));
    }
    assert_eq!(schema::expand_prefix("ab", "9x"), None);
}
