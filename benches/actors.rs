//! What the leader's actors cost by the size of the fleet: a report that says nothing new, one that
//! does, a placement, a pass that finds nothing to do, a takeover, the records of a save.
//! `cargo bench --bench actors`; docs/results.md holds the figures and the growth read from them.

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

const SIZES: [usize; 3] = [1_000, 4_000, 16_000];
const JOBS: [usize; 2] = [1_000, 10_000];

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

fn types() -> Vec<MachineType> {
    serde_json::from_value(json!([
        {"sku": "quad", "cores": 4, "memGb": 16, "cacheGb": 50, "fetchGbPerS": 0.25, "price": 0.27,
         "spotPrice": 0.07, "readyS": 35, "paddocks": ["a", "b"]},
        {"sku": "furnace", "cores": 16, "memGb": 64, "cacheGb": 50, "fetchGbPerS": 0.25, "price": 1.03,
         "spotPrice": 0.3, "readyS": 50, "paddocks": ["a", "b"]}]))
    .expect("the types are valid")
}

fn spec(n: usize, tasks: usize) -> JobSpec {
    let body = json!({"uid": format!("wk-{n}"), "herd": "episode", "owner": "red", "shape": "array",
        "urgency": "normal", "parts": tasks, "cores": 2.0, "accelerators": 0.0, "memGb": 4.0,
        "bundle": format!("img-{}", n % 16), "sizeGb": 1.2, "builds": null, "paddock": null,
        "together": false, "apart": false, "loaners": true, "guessS": 40.0, "markS": 0.0,
        "stashS": 0.0, "dueS": null});
    JobSpec::parse(body.to_string().as_bytes()).expect("the job is valid")
}

fn name(n: usize) -> Arc<str> {
    format!("m-{n:06}").as_str().into()
}

fn body(n: usize, tally: u64, parts: &serde_json::Value) -> Vec<u8> {
    json!({"host": name(n), "addr": format!("10.{}.{}.{}:9000", n >> 16, n >> 8 & 255, n & 255),
           "build": if n % 4 == 0 { "furnace" } else { "quad" }, "paddock": if n % 2 == 0 { "a" } else { "b" },
           "loaners": false, "stint": 1, "tally": tally, "baton": 1 << 24, "warningS": null,
           "parts": parts})
    .to_string()
    .into_bytes()
}

fn row(body: &[u8]) -> HeartbeatRow {
    HeartbeatSummary::of(body)
        .and_then(|g| g.row())
        .expect("a row")
}

/// A leader's ledger in the middle of a day: two tasks run on each machine.
struct World {
    now: Micros,
    settings: Settings,
    types: Vec<MachineType>,
    table: JobTable,
    workers: WorkerLedger,
    scheduler: Scheduler,
}

impl World {
    /// Every machine runs a task of one of the jobs; so many tasks of each job wait.
    fn new(machines: usize, jobs: usize, waiting: usize) -> Self {
        let settings = settings();
        let layout = Schema {
            version: SCHEMA_VERSION,
            value_bytes: 16 * 1024,
            txn_ops: 24,
        };
        let mut w = World {
            now: SECOND,
            types: types(),
            table: JobTable::default(),
            workers: WorkerLedger::new(1, SECOND, 31 * SECOND, 5 * SECOND, Vec::new()),
            scheduler: Scheduler::new(&Properties::default(), &settings, layout, 1, SECOND),
            settings,
        };
        let each = machines.div_ceil(jobs);
        for n in 0..jobs {
            let record = JobRecord::new(spec(n, each + waiting), w.now, "n-1");
            w.table.add(&record, n as u64 + 1);
        }
        for n in 0..machines {
            let parts = json!([{"part": format!("wk-{}/{}", n % jobs, n / jobs), "try": 1, "status": "running"}]);
            let body = body(n, 1, &parts);
            let report: Heartbeat = serde_json::from_slice(&body).expect("a report");
            let digest = Some(row(&body).digest.get());
            w.workers
                .handle_heartbeat(w.now, report, digest, None, &mut w.table);
            if let Some(m) = w.workers.machines.get_mut(&name(n)) {
                m.registered = true;
            }
        }
        for e in std::mem::take(&mut w.workers.events) {
            if let Some(job) = w.table.by_number.get_mut(&e.task.job) {
                job.add_placement(e.task.index, &e.machine, e.attempt);
            }
        }
        w
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

/// A report that differs from the last one only in its count.
#[divan::bench(args = SIZES)]
fn report_at_rest(bencher: Bencher, machines: usize) {
    let mut w = World::new(machines, 1_000, 0);
    let rows: Vec<HeartbeatRow> = (0..machines)
        .map(|n| {
            let parts = json!([{"part": format!("wk-{}/{}", n % 1_000, n / 1_000), "try": 1, "status": "running"}]);
            row(&body(n, 2, &parts))
        })
        .collect();
    let mut sequence = 2;
    let mut at = 0;
    bencher.bench_local(move || {
        let mut row = rows[at];
        row.sequence = sequence.into();
        at = (at + 7919) % rows.len();
        sequence += 1;
        black_box(
            w.workers
                .handle_repeated_heartbeat(w.now, &row, None, &mut w.table),
        )
    });
}

/// A report that brings something new, read from its text.
#[divan::bench(args = SIZES)]
fn report_with_news(bencher: Bencher, machines: usize) {
    let mut w = World::new(machines, 1_000, 0);
    let mut sequence = 2;
    let mut at = 0;
    bencher.bench_local(move || {
        let status = if sequence % 2 == 0 { "saving" } else { "running" };
        let parts = json!([{"part": format!("wk-{}/{}", at % 1_000, at / 1_000), "try": 1, "status": status}]);
        let text = body(at, sequence, &parts);
        at = (at + 7919) % machines;
        sequence += 1;
        let report: Heartbeat = serde_json::from_slice(&text).expect("a report");
        let answer = w.workers.handle_heartbeat(w.now, report, None, None, &mut w.table);
        w.workers.events.clear();
        black_box(answer)
    });
}

/// A pass after one machine has changed, with work waiting that finds no room.
#[divan::bench(args = SIZES)]
fn pass_without_room(bencher: Bencher, machines: usize) {
    let mut w = World::new(machines, 1_000, machines);
    while w.place() > 0 {}
    let id = name(machines / 2);
    bencher.bench_local(move || {
        w.workers.mark_changed(&id);
        black_box(w.place())
    });
}

/// Three hundred tasks of a job that has just come, on an idle part of the fleet.
#[divan::bench(args = SIZES, sample_count = 20, sample_size = 1)]
fn burst_of_300(bencher: Bencher, machines: usize) {
    bencher
        .with_inputs(|| {
            let mut w = World::new(machines, 1_000, 0);
            w.place();
            let record = JobRecord::new(spec(1_000_000, 300), w.now, "n-1");
            w.table.add(&record, 1);
            w
        })
        .bench_local_values(|mut w| {
            assert!(black_box(w.place()) > 0);
            w
        });
}

/// The order of the jobs alone: a pass over a fleet that is full.
#[divan::bench(args = JOBS)]
fn order_of_jobs(bencher: Bencher, jobs: usize) {
    let mut w = World::new(1_000, jobs, 30);
    while w.place() > 0 {}
    bencher.bench_local(move || black_box(w.place()));
}

/// A new leader's ledger: jobs and roll loaded, stored placements held, every machine heard once.
#[divan::bench(args = SIZES, sample_count = 10, sample_size = 1)]
fn takeover(bencher: Bencher, machines: usize) {
    let old = World::new(machines, 1_000, 0);
    let records: Vec<JobRecord> = old.table.by_number.values().map(|j| j.record()).collect();
    let reports: Vec<Heartbeat> = (0..machines)
        .map(|n| {
            let parts = json!([{"part": format!("wk-{}/{}", n % 1_000, n / 1_000), "try": 1, "status": "running"}]);
            serde_json::from_slice(&body(n, 9, &parts)).expect("a report")
        })
        .collect();
    bencher
        .with_inputs(|| reports.clone())
        .bench_local_values(|reports| {
            let mut table = JobTable::default();
            let mut workers = WorkerLedger::new(1, SECOND, 31 * SECOND, 5 * SECOND, Vec::new());
            for r in &reports {
                workers.add_registered_machine(
                    r.machine.clone(),
                    &r.address,
                    &r.machine_type,
                    &r.zone,
                    false,
                    SECOND,
                );
            }
            for record in &records {
                let job = table.add(record, 1);
                for (machine, parts) in &record.placed {
                    for part in parts.iter().flat_map(|(a, b)| *a..*b) {
                        workers.add_unconfirmed(
                            machine,
                            TaskId { job, index: part },
                            &record.spec,
                            SECOND,
                        );
                    }
                }
            }
            for r in reports {
                workers.handle_heartbeat(2 * SECOND, r, None, None, &mut table);
            }
            black_box(workers.events.len())
        });
}

/// What is written of all live jobs once.
#[divan::bench(args = JOBS)]
fn records_of_a_save(bencher: Bencher, jobs: usize) {
    let w = World::new(4_000, jobs, 0);
    let layout = w.scheduler.schema;
    bencher.bench_local(move || {
        let jobs = w.table.by_number.values();
        let values = jobs.filter_map(|j| layout.encode_job(&j.record()));
        black_box(values.map(|v| v.request_bytes()).sum::<usize>())
    });
}
