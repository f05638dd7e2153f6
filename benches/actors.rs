//! Benchmarks of the leader's actors by number of machines or jobs: handling a repeated and a changed heartbeat, placement
//! passes, a takeover, and encoding the stored job records.
//!
//! Run them with `cargo bench --bench actors`; docs/results.md holds the measured figures and how they grow.

use dewramp::clock::{Micros, SECOND};
use dewramp::job_record::JobRecord;
use dewramp::jobs::JobTable;
use dewramp::scheduler::Scheduler;
use dewramp::schema::{SCHEMA_VERSION, Schema};
use dewramp::settings::{Properties, Settings};
use dewramp::task_id::TaskId;
use dewramp::wire::{Heartbeat, HeartbeatRow, HeartbeatSummary, JobSpec, MachineType};
use dewramp::worker_ledger::WorkerLedger;
use divan::{Bencher, black_box};
use serde_json::json;
use std::sync::Arc;

/// Numbers of machines.
const MACHINE_COUNTS: [usize; 3] = [1_000, 4_000, 16_000];
/// Numbers of live jobs.
const JOB_COUNTS: [usize; 2] = [1_000, 10_000];

fn main() {
    divan::main();
}

fn settings() -> Settings {
    Settings::parse(
        r#"
label = "n-1"
domain = "a"
listen = "10.0.0.1:8080"
cluster_listen = "10.0.0.1:8081"
[endpoints]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[settings]
nodes = 1
zones = ["a", "b"]
[[settings.teams]]
name = "red"
cpus = 500.0
cpus_max = 0.0
[settings.workers]
report_s = 5.0
lease_s = 31.0
cancel_s = 51.0
[settings.state]
rps = 180.0
write_rps = 70.0
value_kb = 16.0
txn_ops = 24
[settings.cloud]
rps = 8.0
list_lag_s = 8.0
[settings.machine_limits]
max_connections = 3000
"#,
    )
    .expect("the settings are valid")
}

fn machine_types() -> Vec<MachineType> {
    serde_json::from_value(json!([
        {"sku": "quad", "cores": 4, "memGb": 16, "cacheGb": 50, "fetchGbPerS": 0.25, "price": 0.27,
         "spotPrice": 0.07, "readyS": 35, "paddocks": ["a", "b"]},
        {"sku": "furnace", "cores": 16, "memGb": 64, "cacheGb": 50, "fetchGbPerS": 0.25, "price": 1.03,
         "spotPrice": 0.3, "readyS": 50, "paddocks": ["a", "b"]}]))
    .expect("the types are valid")
}

fn job_spec(n: usize, tasks: usize) -> JobSpec {
    let body = json!({"uid": format!("wk-{n}"), "herd": "episode", "owner": "red", "shape": "array",
        "urgency": "normal", "parts": tasks, "cores": 2.0, "accelerators": 0.0, "memGb": 4.0,
        "bundle": format!("img-{}", n % 16), "sizeGb": 1.2, "builds": null, "paddock": null,
        "together": false, "apart": false, "loaners": true, "guessS": 40.0, "markS": 0.0,
        "stashS": 0.0, "dueS": null});
    JobSpec::parse(body.to_string().as_bytes()).expect("the job is valid")
}

fn machine_name(n: usize) -> Arc<str> {
    format!("m-{n:06}").as_str().into()
}

fn heartbeat_body(n: usize, sequence: u64, tasks: &serde_json::Value) -> Vec<u8> {
    json!({"host": machine_name(n), "addr": format!("10.{}.{}.{}:9000", n >> 16, n >> 8 & 255, n & 255),
           "build": if n % 4 == 0 { "furnace" } else { "quad" }, "paddock": if n % 2 == 0 { "a" } else { "b" },
           "loaners": false, "stint": 1, "tally": sequence, "baton": 1 << 24, "warningS": null,
           "parts": tasks})
    .to_string()
    .into_bytes()
}

fn heartbeat_row(body: &[u8]) -> HeartbeatRow {
    HeartbeatSummary::of(body)
        .and_then(|summary| summary.row())
        .expect("the heartbeat fits a row")
}

/// The state of a leader: one task runs on each machine.
struct LeaderFixture {
    now: Micros,
    settings: Settings,
    types: Vec<MachineType>,
    table: JobTable,
    workers: WorkerLedger,
    scheduler: Scheduler,
}

impl LeaderFixture {
    /// Every machine runs a task of one of the jobs, and `waiting` tasks of each job are not placed.
    fn new(machines: usize, jobs: usize, waiting: usize) -> Self {
        let settings = settings();
        let layout = Schema {
            version: SCHEMA_VERSION,
            value_bytes: 16 * 1024,
            txn_ops: 24,
        };
        let mut leader = LeaderFixture {
            now: SECOND,
            types: machine_types(),
            table: JobTable::default(),
            workers: WorkerLedger::new(1, SECOND, 31 * SECOND, 5 * SECOND, Vec::new()),
            scheduler: Scheduler::new(&Properties::default(), &settings, layout, 1, SECOND),
            settings,
        };
        let each = machines.div_ceil(jobs);
        for n in 0..jobs {
            let record = JobRecord::new(job_spec(n, each + waiting), leader.now, "n-1");
            leader.table.add(&record, n as u64 + 1);
        }
        for n in 0..machines {
            let tasks = json!([{"part": format!("wk-{}/{}", n % jobs, n / jobs), "try": 1, "status": "running"}]);
            let body = heartbeat_body(n, 1, &tasks);
            let heartbeat: Heartbeat =
                serde_json::from_slice(&body).expect("the heartbeat is valid");
            let digest = Some(heartbeat_row(&body).digest.get());
            leader
                .workers
                .handle_heartbeat(leader.now, heartbeat, digest, None, &mut leader.table);
            if let Some(m) = leader.workers.machines.get_mut(&machine_name(n)) {
                m.registered = true;
            }
        }
        for e in std::mem::take(&mut leader.workers.events) {
            if let Some(job) = leader.table.by_number.get_mut(&e.task.job) {
                job.add_placement(e.task.index, &e.machine, e.attempt);
            }
        }
        leader
    }

    fn place(&mut self) -> usize {
        let placed = self.scheduler.place_tasks(
            self.now,
            self.now,
            &mut self.table,
            &mut self.workers,
            &self.types,
            &self.settings,
        );
        placed.len()
    }
}

/// Handles a heartbeat that differs from the previous one of its machine only in the sequence number.
#[divan::bench(args = MACHINE_COUNTS)]
fn repeated_heartbeat(bencher: Bencher, machines: usize) {
    let mut leader = LeaderFixture::new(machines, 1_000, 0);
    let rows: Vec<HeartbeatRow> = (0..machines)
        .map(|n| {
            let tasks = json!([{"part": format!("wk-{}/{}", n % 1_000, n / 1_000), "try": 1, "status": "running"}]);
            heartbeat_row(&heartbeat_body(n, 2, &tasks))
        })
        .collect();
    let mut sequence = 2;
    let mut at = 0;
    bencher.bench_local(move || {
        let mut row = rows[at];
        row.sequence = sequence.into();
        at = (at + 7919) % rows.len();
        sequence += 1;
        black_box(leader.workers.handle_repeated_heartbeat(
            leader.now,
            &row,
            None,
            &mut leader.table,
        ))
    });
}

/// Parses and handles a heartbeat that reports a changed task.
#[divan::bench(args = MACHINE_COUNTS)]
fn changed_heartbeat(bencher: Bencher, machines: usize) {
    let mut leader = LeaderFixture::new(machines, 1_000, 0);
    let mut sequence = 2;
    let mut at = 0;
    bencher.bench_local(move || {
        let status = if sequence % 2 == 0 { "saving" } else { "running" };
        let tasks = json!([{"part": format!("wk-{}/{}", at % 1_000, at / 1_000), "try": 1, "status": status}]);
        let text = heartbeat_body(at, sequence, &tasks);
        at = (at + 7919) % machines;
        sequence += 1;
        let heartbeat: Heartbeat = serde_json::from_slice(&text).expect("the heartbeat is valid");
        let answer = leader.workers.handle_heartbeat(leader.now, heartbeat, None, None, &mut leader.table);
        leader.workers.events.clear();
        black_box(answer)
    });
}

/// A placement pass after a change of one machine, with waiting tasks for which there is no capacity.
#[divan::bench(args = MACHINE_COUNTS)]
fn placement_pass_without_capacity(bencher: Bencher, machines: usize) {
    let mut leader = LeaderFixture::new(machines, 1_000, machines);
    while leader.place() > 0 {}
    let id = machine_name(machines / 2);
    bencher.bench_local(move || {
        leader.workers.mark_changed(&id);
        black_box(leader.place())
    });
}

/// Places the 300 tasks of a new job on machines with free capacity.
#[divan::bench(args = MACHINE_COUNTS, sample_count = 20, sample_size = 1)]
fn placement_of_300_tasks(bencher: Bencher, machines: usize) {
    bencher
        .with_inputs(|| {
            let mut leader = LeaderFixture::new(machines, 1_000, 0);
            leader.place();
            let record = JobRecord::new(job_spec(1_000_000, 300), leader.now, "n-1");
            leader.table.add(&record, 1);
            leader
        })
        .bench_local_values(|mut leader| {
            assert!(black_box(leader.place()) > 0);
            leader
        });
}

/// A placement pass while all machines are full: the cost of ordering the jobs.
#[divan::bench(args = JOB_COUNTS)]
fn job_ordering(bencher: Bencher, jobs: usize) {
    let mut leader = LeaderFixture::new(1_000, jobs, 30);
    while leader.place() > 0 {}
    bencher.bench_local(move || black_box(leader.place()));
}

/// Builds a new leader's state: loads the jobs and the machine registry, adds the stored placements as unconfirmed, and
/// handles one heartbeat of every machine.
#[divan::bench(args = MACHINE_COUNTS, sample_count = 10, sample_size = 1)]
fn takeover(bencher: Bencher, machines: usize) {
    let old = LeaderFixture::new(machines, 1_000, 0);
    let records: Vec<JobRecord> = old.table.by_number.values().map(|j| j.record()).collect();
    let heartbeats: Vec<Heartbeat> = (0..machines)
        .map(|n| {
            let tasks = json!([{"part": format!("wk-{}/{}", n % 1_000, n / 1_000), "try": 1, "status": "running"}]);
            serde_json::from_slice(&heartbeat_body(n, 9, &tasks)).expect("the heartbeat is valid")
        })
        .collect();
    bencher
        .with_inputs(|| heartbeats.clone())
        .bench_local_values(|heartbeats| {
            let mut table = JobTable::default();
            let mut workers = WorkerLedger::new(1, SECOND, 31 * SECOND, 5 * SECOND, Vec::new());
            for heartbeat in &heartbeats {
                workers.add_registered_machine(
                    heartbeat.machine.clone(),
                    &heartbeat.address,
                    &heartbeat.machine_type,
                    &heartbeat.zone,
                    false,
                    SECOND,
                );
            }
            for record in &records {
                let job = table.add(record, 1);
                for (machine, ranges) in &record.placed {
                    for index in ranges.iter().flat_map(|(start, end)| *start..*end) {
                        workers.add_unconfirmed(
                            machine,
                            TaskId { job, index },
                            &record.spec,
                            SECOND,
                        );
                    }
                }
            }
            for heartbeat in heartbeats {
                workers.handle_heartbeat(2 * SECOND, heartbeat, None, None, &mut table);
            }
            black_box(workers.events.len())
        });
}

/// Encodes the stored records of all live jobs once.
#[divan::bench(args = JOB_COUNTS)]
fn job_record_encoding(bencher: Bencher, jobs: usize) {
    let leader = LeaderFixture::new(4_000, jobs, 0);
    let layout = leader.scheduler.schema;
    bencher.bench_local(move || {
        let jobs = leader.table.by_number.values();
        let values = jobs.filter_map(|j| layout.encode_job(&j.record()));
        black_box(values.map(|v| v.request_bytes()).sum::<usize>())
    });
}
