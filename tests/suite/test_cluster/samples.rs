//! Sample settings of a deployment and a sample submission of a job.

use dewramp::settings::Settings;
use serde_json::{Value, json};

/// Template of a node's settings; `LABEL` and `OTHERS` are replaced by `settings_from`.
pub const SETTINGS: &str = r#"
label = "n-LABEL"
domain = "a"
listen = "10.0.0.LABEL:8080"
cluster_listen = "10.0.0.LABEL:8081"
OTHERS
[endpoints]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[settings]
nodes = 2
zones = ["a", "b"]
time_bound_ms = 5.0
[[settings.teams]]
name = "red"
cpus = 8.0
cpus_max = 16.0
[[settings.teams]]
name = "blue"
cpus = 0.0
cpus_max = 0.0
[[settings.objectives]]
kind = "wait"
class = "quick"
within_s = 4.0
share = 0.9
[settings.workers]
report_s = 3.0
lease_s = 30.0
cancel_s = 50.0
[settings.state]
rps = 1000.0
write_rps = 1000.0
value_kb = 16.0
txn_ops = 20
[settings.cloud]
rps = 8.0
list_lag_s = 8.0
[settings.machine_limits]
cpu_share = 0.1
ram_mb = 100.0
max_connections = 1000
"#;

/// The settings with lower limits of the state service announced for later.
pub fn settings_with_next_limits() -> String {
    SETTINGS.replace(
        "txn_ops = 20\n",
        "txn_ops = 20\n[settings.state.next]\nwrite_rps = 500.0\nvalue_kb = 2.0\ntxn_ops = 6\n",
    )
}

/// The announced limits in the form of `FakeStateService::limits`: bytes of a value, changes of a transaction.
pub const NEXT_LIMITS: (usize, usize) = (2048, 6);

/// The settings of a node, counted from 1, from a template like `SETTINGS`.
pub fn settings_from(text: &str, node: usize, node_count: usize) -> Settings {
    let others: String = (1..=node_count)
        .filter(|other| *other != node)
        .map(|other| {
            format!(
                "[[others]]\nlabel = \"n-{other}\"\ndomain = \"b\"\nendpoint = \"10.0.0.{other}:8081\"\n"
            )
        })
        .collect();
    let text = text
        .replace("LABEL", &node.to_string())
        .replace("OTHERS", &others);
    Settings::parse(&text).expect("test settings are valid")
}

/// The sample settings of a node, counted from 1.
pub fn settings_for_node(node: usize, node_count: usize) -> Settings {
    settings_from(SETTINGS, node, node_count)
}

/// The body of a submission: one task of 4 cores, for team `blue`.
pub fn job_submission(uid: &str) -> Value {
    json!({"uid": uid, "herd": "slow", "owner": "blue", "shape": "array", "urgency": "normal", "parts": 1,
           "cores": 4.0, "accelerators": 0.0, "memGb": 8.0, "bundle": "img-1", "sizeGb": 1.0, "builds": null,
           "paddock": null, "together": false, "apart": false, "loaners": true, "guessS": 60.0, "markS": 0.0,
           "stashS": 0.0, "dueS": null})
}
