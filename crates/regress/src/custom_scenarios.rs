//! Custom scenarios (those of this repository) on scaled variants of the operators' sites: builds the
//! variant of a site, adapts a scenario to it, and assesses the report of a run. Does no I/O.

use serde::Deserialize;
use std::collections::BTreeMap;
use toml::{Table, Value};

/// How a variant of a site differs from the operators' site file.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteVariant {
    /// Factor for machine counts, cloud capacity, team limits, initial jobs and arrival rates.
    pub size: f64,
    /// Delay until a controller process that exited is restarted, in seconds.
    pub restart_s: f64,
    /// Number of zones, named `area-1` and up; `None` keeps the zones of the site file.
    pub zones: Option<usize>,
}

impl SiteVariant {
    /// Name of the variant of `site`, used in journal entries, file names and the results table.
    pub fn name(&self, site: &str) -> String {
        let zones = self.zones.map_or(String::new(), |z| format!("-z{z}"));
        format!("{site}-x{}-r{}{zones}", self.size, self.restart_s)
    }
}

/// Variant of a site: its file, and the values that scenarios refer to.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    pub name: String,
    /// Content of the site file, as TOML.
    pub text: String,
    controllers: usize,
    /// Number of machines at the start.
    machines: f64,
    zones: Vec<String>,
    classes: Vec<String>,
    lease_s: f64,
    cancel_s: f64,
}

fn as_number(v: &Value) -> Option<f64> {
    v.as_float().or_else(|| v.as_integer().map(|n| n as f64))
}

/// Parses a duration in seconds: a number, or a table such as `{ s = 2.0, cancel = 1.2, lease = 1.0 }`,
/// which adds seconds and multiples of the site's `cancel_s` and `lease_s`. The sum of a table is rounded
/// to 0.1 s.
fn seconds(v: &Value, site: &Site) -> Option<f64> {
    let Value::Table(parts) = v else {
        return as_number(v);
    };
    let mut sum = 0.0;
    for (unit, v) in parts {
        sum += as_number(v)?
            * match unit.as_str() {
                "s" => 1.0,
                "cancel" => site.cancel_s,
                "lease" => site.lease_s,
                _ => return None,
            };
    }
    Some((sum * 10.0).round() / 10.0)
}

/// Multiplies the number under `key` in place. Integers are rounded and stay integers.
fn scale(table: &mut Table, key: &str, factor: f64) {
    let Some(v) = table.get_mut(key) else { return };
    *v = match v {
        Value::Integer(n) => Value::Integer((*n as f64 * factor).round() as i64),
        Value::Float(f) => Value::Float(*f * factor),
        _ => return,
    };
}

/// Iterates over the tables in the array under `key`.
fn tables<'a>(site: &'a mut Table, key: &str) -> impl Iterator<Item = &'a mut Table> {
    let rows = site.get_mut(key).and_then(Value::as_array_mut);
    rows.into_iter().flatten().filter_map(Value::as_table_mut)
}

/// Replaces the rows under `key` with rows that are spread evenly over `zones`.
///
/// Rows that differ only in their zone are added up first. The totals of the `count_keys` stay the same.
fn redistribute_over_zones(site: &mut Table, key: &str, zones: &[String], count_keys: &[&str]) {
    let Some(Value::Array(rows)) = site.remove(key) else {
        return;
    };
    let mut totals: Vec<(Table, Vec<f64>)> = Vec::new();
    for row in rows {
        let Value::Table(mut row) = row else { continue };
        row.remove("zone");
        let take_count = |key: &&str| row.remove(*key).as_ref().and_then(as_number).unwrap_or(0.0);
        let counts: Vec<f64> = count_keys.iter().map(take_count).collect();
        match totals.iter_mut().find(|(template, _)| *template == row) {
            Some((_, total)) => total.iter_mut().zip(counts).for_each(|(t, c)| *t += c),
            None => totals.push((row, counts)),
        }
    }
    let mut new_rows = Vec::new();
    for (template, total) in totals {
        for (n, zone) in zones.iter().enumerate() {
            let mut row = template.clone();
            row.insert("zone".to_owned(), Value::String(zone.clone()));
            for (key, whole) in count_keys.iter().zip(&total) {
                // Differences of the rounded cumulative counts add up to the total.
                let cumulative = |n: usize| (whole * n as f64 / zones.len() as f64).round();
                let part = cumulative(n + 1) - cumulative(n);
                row.insert((*key).to_owned(), Value::Integer(part as i64));
            }
            new_rows.push(Value::Table(row));
        }
    }
    site.insert(key.to_owned(), Value::Array(new_rows));
}

impl Site {
    /// Parses the operators' site file and applies the variant.
    ///
    /// The error names the part of the file that is missing or malformed.
    pub fn with_variant(text: &str, variant: &SiteVariant) -> Result<Site, String> {
        let mut site: Table = text.parse().map_err(|e| format!("site file: {e}"))?;
        let missing = |what: &str| format!("site file has no {what}");
        let name = site.get("name").and_then(Value::as_str);
        let name = variant.name(name.ok_or_else(|| missing("name"))?);
        site.insert("name".to_owned(), Value::String(name.clone()));
        // The standard scenarios of the site do not run on a variant, and they name zones that the
        // variant may not have.
        site.remove("day");
        for key in ["capacity", "machines"] {
            for row in tables(&mut site, key) {
                for count in ["count", "spot"] {
                    scale(row, count, variant.size);
                }
            }
        }
        for team in tables(&mut site, "teams") {
            for limit in ["cpus", "cpus_max", "gpus", "gpus_max"] {
                scale(team, limit, variant.size);
            }
        }
        for job in tables(&mut site, "jobs") {
            scale(job, "initial", variant.size);
            if let Some(Value::Table(arrivals)) = job.get_mut("arrivals") {
                scale(arrivals, "rate", variant.size);
            }
        }
        let nodes = site.get_mut("nodes").and_then(Value::as_table_mut);
        let nodes = nodes.ok_or_else(|| missing("[nodes]"))?;
        let restart = Value::Float(variant.restart_s);
        nodes.insert("restart_delay_s".to_owned(), restart);
        let controllers = nodes.get("count").and_then(Value::as_integer);
        let controllers = controllers.ok_or_else(|| missing("nodes.count"))? as usize;
        if let Some(n) = variant.zones {
            let zones: Vec<String> = (1..=n).map(|n| format!("area-{n}")).collect();
            let zone_names = zones.iter().cloned().map(Value::String).collect();
            nodes.insert("zones".to_owned(), Value::Array(zone_names));
            redistribute_over_zones(&mut site, "capacity", &zones, &["count", "spot"]);
            redistribute_over_zones(&mut site, "machines", &zones, &["count"]);
        }
        let string_field = |v: &Table, key| v.get(key).and_then(Value::as_str).map(str::to_owned);
        let mut zones: Vec<String> = Vec::new();
        let mut machines = 0.0;
        for row in tables(&mut site, "machines") {
            machines += row.get("count").and_then(as_number).unwrap_or(0.0);
            if let Some(zone) = string_field(row, "zone").filter(|z| !zones.contains(z)) {
                zones.push(zone);
            }
        }
        let classes = tables(&mut site, "jobs").filter_map(|j| string_field(j, "name"));
        let classes: Vec<String> = classes.collect();
        if zones.is_empty() || classes.is_empty() {
            return Err(missing("[[machines]] with a zone, or no [[jobs]]"));
        }
        let workers = site.get("workers").and_then(Value::as_table);
        let worker_setting = |key: &str| workers.and_then(|w| w.get(key)).and_then(as_number);
        let (lease_s, cancel_s) = (
            worker_setting("lease_s").ok_or_else(|| missing("workers.lease_s"))?,
            worker_setting("cancel_s").ok_or_else(|| missing("workers.cancel_s"))?,
        );
        let text = toml::to_string(&site).map_err(|e| e.to_string())?;
        Ok(Site {
            name,
            text,
            controllers,
            machines,
            zones,
            classes,
            lease_s,
            cancel_s,
        })
    }
}

/// Content of a custom scenario file. [`scenario_for_site`] translates it to the format of the bench.
#[derive(Deserialize)]
struct ScenarioFile {
    seed: u64,
    /// Share of the work of each class and team that must be served.
    ///
    /// 0 stands for a scenario in which nobody can be served for most of the time, so that it is
    /// assessed by its rules only.
    #[serde(rename = "served")]
    required_served_share: f64,
    #[serde(default)]
    faults: Vec<Table>,
    vary: Option<Table>,
    /// Changes to job classes: `class` is the index of the class, the other keys are those of the bench.
    #[serde(default)]
    jobs: Vec<Table>,
    duration_s: Option<Value>,
}

/// Scenario for a particular site, in the format of the bench.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    pub name: String,
    pub seed: u64,
    /// Share of the work of each class and team that must be served; see [`CompletedRun::failures`].
    pub required_served_share: f64,
    /// Content of the scenario file, as TOML.
    pub text: String,
}

impl Scenario {
    /// Adds `offset` to the seed and appends it to the name. An offset of 0 changes nothing.
    pub fn with_seed_offset(mut self, offset: u64) -> Result<Scenario, String> {
        if offset == 0 {
            return Ok(self);
        }
        let mut scenario: Table = self
            .text
            .parse()
            .map_err(|e| format!("{}: {e}", self.name))?;
        self.seed += offset;
        self.name = format!("{}-{offset}", self.name);
        scenario.insert("seed".to_owned(), Value::Integer(self.seed as i64));
        scenario.insert("name".to_owned(), Value::String(self.name.clone()));
        self.text = toml::to_string(&scenario).map_err(|e| e.to_string())?;
        Ok(self)
    }
}

/// Translates a custom scenario file to the format of the bench, with the names and counts of a site.
///
/// - `count = "all"` or `"half"` stands for that many controllers.
/// - `machines = 0.33` is a share of the machines at the start, and becomes a `count`.
/// - `zone` and `class` are indexes into those of the site; -1 is the last.
/// - `times` and `every_s` repeat a fault. Without `times`, `every_s` is passed on to the bench.
/// - Times and durations may contain multiples of the site's `lease_s` and `cancel_s`, as in
///   `{ s = 2.0, lease = 1.0 }`.
pub fn scenario_for_site(site: &Site, name: &str, text: &str) -> Result<Scenario, String> {
    let file: ScenarioFile = toml::from_str(text).map_err(|e| format!("{name}: {e}"))?;
    let mut faults = Vec::new();
    for (index, mut fault) in file.faults.into_iter().enumerate() {
        let fault_error = |what: &str| format!("{name}: fault {}: {what}", index + 1);
        let nodes = match fault.get("count").and_then(Value::as_str) {
            Some("all") => Some(site.controllers),
            Some("half") => Some(site.controllers.div_ceil(2)),
            Some(other) => {
                return Err(fault_error(&format!(
                    "unknown count `{other}`; expected \"all\" or \"half\""
                )));
            }
            None => None,
        };
        if let Some(n) = nodes {
            fault.insert("count".to_owned(), Value::Integer(n as i64));
        }
        if let Some(share) = fault.remove("machines").as_ref().and_then(as_number) {
            let n = (share * site.machines).round() as i64;
            fault.insert("count".to_owned(), Value::Integer(n));
        }
        for (key, names) in [("zone", &site.zones), ("class", &site.classes)] {
            if let Some(index) = fault.get(key).and_then(Value::as_integer) {
                let index = index.rem_euclid(names.len() as i64) as usize;
                fault.insert(key.to_owned(), Value::String(names[index].clone()));
            }
        }
        let times = fault.remove("times").and_then(|t| t.as_integer());
        let interval_s = match times {
            Some(_) => fault.remove("every_s").as_ref().and_then(as_number),
            None => None,
        };
        for key in ["at_s", "for_s", "hang_s"] {
            if let Some(v) = fault.get_mut(key) {
                let s = seconds(v, site)
                    .ok_or_else(|| fault_error(&format!("{key} is not a valid time")))?;
                *v = Value::Float(s);
            }
        }
        let first_s = fault.get("at_s").and_then(as_number);
        let first_s = first_s.ok_or_else(|| fault_error("missing at_s"))?;
        if times.is_some() && interval_s.is_none() {
            return Err(fault_error("`times` requires `every_s`"));
        }
        for n in 0..times.unwrap_or(1) {
            let mut fault = fault.clone();
            let at_s = first_s + interval_s.unwrap_or(0.0) * n as f64;
            fault.insert(
                "at_s".to_owned(),
                Value::Float((at_s * 1000.0).round() / 1000.0),
            );
            faults.push(Value::Table(fault));
        }
    }
    let mut scenario = Table::new();
    scenario.insert("name".to_owned(), Value::String(name.to_owned()));
    scenario.insert("light".to_owned(), Value::Boolean(false));
    scenario.insert("seed".to_owned(), Value::Integer(file.seed as i64));
    scenario.insert("faults".to_owned(), Value::Array(faults));
    let mut jobs = Vec::new();
    for mut job in file.jobs {
        let class = job.remove("class").and_then(|c| c.as_integer());
        let class = class.ok_or_else(|| format!("{name}: jobs: missing `class`"))?;
        let class = class.rem_euclid(site.classes.len() as i64) as usize;
        let class_name = Value::String(site.classes[class].clone());
        job.insert("name".to_owned(), class_name);
        let runs = job.get_mut("run_s").and_then(Value::as_table_mut);
        for v in runs.into_iter().flat_map(|r| r.iter_mut()).map(|r| r.1) {
            let s = seconds(v, site)
                .ok_or_else(|| format!("{name}: jobs: run_s is not a valid time"))?;
            *v = Value::Float(s);
        }
        jobs.push(Value::Table(job));
    }
    if !jobs.is_empty() {
        scenario.insert("jobs".to_owned(), Value::Array(jobs));
    }
    if let Some(v) = file.duration_s {
        let s =
            seconds(&v, site).ok_or_else(|| format!("{name}: duration_s is not a valid time"))?;
        scenario.insert("duration_s".to_owned(), Value::Float(s));
    }
    if let Some(vary) = file.vary {
        scenario.insert("vary".to_owned(), Value::Table(vary));
    }
    Ok(Scenario {
        name: name.to_owned(),
        seed: file.seed,
        required_served_share: file.required_served_share,
        text: toml::to_string(&scenario).map_err(|e| e.to_string())?,
    })
}

/// The fields of a bench report that the assessment and the results table use.
#[derive(Debug, Default, Deserialize)]
pub struct Report {
    #[serde(default)]
    pub node_stats: Vec<NodeStats>,
    #[serde(default)]
    pub users: Users,
    #[serde(default)]
    pub fleet: Fleet,
}

/// Resource use and restarts of one controller.
#[derive(Debug, Default, Deserialize)]
pub struct NodeStats {
    #[serde(default)]
    pub cpu_mean: f64,
    #[serde(default)]
    pub memory_peak_mb: f64,
    #[serde(default)]
    pub connections_peak: u64,
    #[serde(default)]
    pub panics: u64,
    #[serde(default)]
    pub restarts: Vec<Restart>,
}

/// Restart of a controller process.
#[derive(Debug, Default, Deserialize)]
pub struct Restart {
    /// Why the process exited; `fault` if an injected fault ended it.
    #[serde(rename = "why", default)]
    pub reason: String,
}

/// Job submissions of the simulated clients.
#[derive(Debug, Default, Deserialize)]
pub struct Users {
    #[serde(default)]
    pub submitted: u64,
    #[serde(default)]
    pub accepted: u64,
    /// Submission latency by statistic, such as `p95`.
    #[serde(default)]
    pub submit_ms: BTreeMap<String, f64>,
    /// Number of errors that the clients received, by kind.
    #[serde(default)]
    pub errors: BTreeMap<String, u64>,
}

/// Task counts over all machines.
#[derive(Debug, Default, Deserialize)]
pub struct Fleet {
    #[serde(default)]
    pub tasks_started: u64,
    #[serde(default)]
    pub tasks_lost: u64,
    #[serde(default)]
    pub tasks_killed_by_lease: u64,
}

/// A run fails if a class or team is served less than this share, even if the scenario requires less.
pub const MIN_SERVED_SHARE: f64 = 0.5;

/// Result and report of a run that the bench completed.
#[derive(Debug)]
pub struct CompletedRun {
    pub result: crate::ScenarioResult,
    pub report: Report,
    /// Share of the work of each class and team that the scenario requires to be served.
    pub required_served_share: f64,
}

impl CompletedRun {
    /// Name and served share of the team (`teams` is true) or job class with the lowest served share.
    pub fn least_served(&self, teams: bool) -> Option<(&str, f64)> {
        let shares = self.result.served.iter().map(|(name, _, share)| {
            let team = name.strip_prefix("team ");
            (team.is_some(), team.unwrap_or(name), *share)
        });
        let shares = shares.filter(|(team, _, _)| *team == teams);
        let least = shares.min_by(|a, b| a.2.total_cmp(&b.2))?;
        Some((least.1, least.2))
    }

    /// Number of controller process exits that no injected fault caused.
    pub fn unexpected_exits(&self) -> usize {
        let nodes = self.report.node_stats.iter();
        let unexpected = nodes.map(|n| n.restarts.iter().filter(|r| r.reason != "fault").count());
        unexpected.sum()
    }

    /// Reasons why the run failed; empty if it passed.
    pub fn failures(&self) -> Vec<String> {
        let mut failures: Vec<String> = self
            .result
            .violations
            .keys()
            .map(|r| format!("rule {r}"))
            .collect();
        failures.extend(
            self.result
                .failure
                .as_ref()
                .map(|f| format!("not run to its end: {f}")),
        );
        if self.result.score.is_none_or(|m| m <= 0.0) {
            failures.push("no score, or a score of 0".to_owned());
        }
        match self.unexpected_exits() {
            0 => {}
            n => failures.push(format!("{n} unexpected process exits")),
        }
        if self.result.served.is_empty() {
            failures.push("no served shares in the result".to_owned());
        }
        // A required share of 0 means that nobody can be served for most of the time: only the rules count.
        let requires_service = self.required_served_share > 0.0;
        let required = if requires_service {
            self.required_served_share.max(MIN_SERVED_SHARE)
        } else {
            0.0
        };
        for (name, _, share) in self.result.served.iter().filter(|s| s.2 < required) {
            failures.push(format!(
                "{name}: served share {share:.2}, required {required}"
            ));
        }
        failures
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SITE: &str = r#"
name = "small"
duration_s = 300.0
[workers]
lease_s = 31.0
cancel_s = 51.0
[nodes]
count = 3
zones = ["north", "south"]
restart_delay_s = 3.0
[[capacity]]
type = "box"
zone = "north"
count = 11
spot = 4
[[capacity]]
type = "box"
zone = "south"
count = 20
spot = 0
[[machines]]
type = "box"
zone = "north"
spot = false
count = 9
[[machines]]
type = "box"
zone = "south"
spot = false
count = 12
[[teams]]
name = "ours"
cpus = 10.0
cpus_max = 0.0
[[jobs]]
name = "first"
initial = 3
arrivals = { rate = 0.5 }
[[jobs]]
name = "last"
arrivals = { rate = 0.25 }
[[day]]
name = "calm"
"#;

    fn test_site(zones: Option<usize>) -> Site {
        let variant = SiteVariant {
            size: 1.5,
            restart_s: 0.2,
            zones,
        };
        Site::with_variant(SITE, &variant).expect("a valid site file")
    }

    fn sum(site: &Site, key: &str, count: &str) -> i64 {
        let site: Table = site.text.parse().expect("TOML");
        let rows = site[key].as_array().expect("rows").iter();
        rows.map(|r| r[count].as_integer().expect("a count")).sum()
    }

    #[test]
    fn a_site_variant_scales_everything_that_depends_on_the_size() {
        let site = test_site(None);
        assert_eq!(site.name, "small-x1.5-r0.2");
        let parsed: Table = site.text.parse().expect("TOML");
        assert_eq!(
            parsed["nodes"]["count"].as_integer(),
            Some(3),
            "the number of controllers does not scale"
        );
        assert_eq!(parsed["nodes"]["restart_delay_s"].as_float(), Some(0.2));
        assert_eq!(parsed["capacity"][0]["count"].as_integer(), Some(17));
        assert_eq!(parsed["teams"][0]["cpus"].as_float(), Some(15.0));
        assert_eq!(
            parsed["teams"][0]["cpus_max"].as_float(),
            Some(0.0),
            "0 stands for no limit"
        );
        assert_eq!(parsed["jobs"][0]["arrivals"]["rate"].as_float(), Some(0.75));
        assert!(!parsed.contains_key("day"));
    }

    #[test]
    fn scenario_times_and_classes_resolve_to_those_of_the_site() {
        let text = r#"
            seed = 1
            served = 0.0
            duration_s = { s = 150.0, cancel = 2.0 }
            jobs = [{ class = -1, cancelled = 0.8, run_s = { median = { cancel = 2.4 }, max = 9.0 } }]
            faults = [{ at_s = { s = 10.0, lease = 1.0 }, kind = "state_outage", for_s = { cancel = 1.5 } }]
        "#;
        let scenario = scenario_for_site(&test_site(None), "gap", text).expect("a valid scenario");
        let parsed: Table = scenario.text.parse().expect("TOML");
        assert_eq!(parsed["duration_s"].as_float(), Some(252.0));
        assert_eq!(parsed["jobs"][0]["name"].as_str(), Some("last"));
        assert_eq!(parsed["jobs"][0]["run_s"]["median"].as_float(), Some(122.4));
        assert_eq!(parsed["faults"][0]["at_s"].as_float(), Some(41.0));
        assert_eq!(parsed["faults"][0]["for_s"].as_float(), Some(76.5));
        let invalid = text.replace("lease = 1.0", "leases = 1.0");
        let error =
            scenario_for_site(&test_site(None), "gap", &invalid).expect_err("unknown time unit");
        assert!(error.contains("at_s is not a valid time"), "{error}");
    }

    #[test]
    fn redistribution_over_zones_keeps_the_machine_counts() {
        let (two, five) = (test_site(None), test_site(Some(5)));
        for (key, count) in [
            ("capacity", "count"),
            ("capacity", "spot"),
            ("machines", "count"),
        ] {
            assert_eq!(
                sum(&two, key, count),
                sum(&five, key, count),
                "{key} {count}"
            );
        }
        assert_eq!(five.zones.len(), 5);
        assert!(five.zones.iter().all(|z| z.starts_with("area-")));
    }

    #[test]
    fn scenario_counts_and_names_resolve_to_those_of_the_site() {
        let text = r#"
seed = 7
served = 0.9
faults = [
  { at_s = 10.0, kind = "node_crash", count = "half", times = 3, every_s = 0.5 },
  { at_s = 20.0, kind = "machine_die", machines = 0.5 },
  { at_s = 30.0, kind = "job_burst", class = -1, factor = 2.0, for_s = 5.0 },
  { at_s = 40.0, kind = "zone_cut", zone = 1, for_s = 5.0 },
  { at_s = 50.0, kind = "node_roll", every_s = 1.0 },
]"#;
        let scenario =
            scenario_for_site(&test_site(None), "mixed", text).expect("a valid scenario");
        let parsed: Table = scenario.text.parse().expect("TOML");
        let faults = parsed["faults"].as_array().expect("faults");
        let at: Vec<f64> = faults.iter().filter_map(|f| f["at_s"].as_float()).collect();
        assert_eq!(at, [10.0, 10.5, 11.0, 20.0, 30.0, 40.0, 50.0]);
        assert_eq!(faults[0]["count"].as_integer(), Some(2));
        assert_eq!(faults[3]["count"].as_integer(), Some(16), "of 32 machines");
        assert_eq!(faults[4]["class"].as_str(), Some("last"));
        assert_eq!(faults[5]["zone"].as_str(), Some("south"));
        assert_eq!(
            faults[6]["every_s"].as_float(),
            Some(1.0),
            "without `times`, every_s stays"
        );
        let reseeded = scenario
            .clone()
            .with_seed_offset(2)
            .expect("a scenario with another seed");
        let parsed: Table = reseeded.text.parse().expect("TOML");
        assert_eq!(
            (reseeded.name.as_str(), reseeded.seed),
            ("mixed-2", scenario.seed + 2)
        );
        assert_eq!(parsed["seed"].as_integer(), Some(scenario.seed as i64 + 2));
        assert_eq!(
            scenario
                .clone()
                .with_seed_offset(0)
                .expect("an unchanged scenario"),
            scenario
        );
        let invalid = text.replace("\"half\"", "\"some\"");
        let error =
            scenario_for_site(&test_site(None), "mixed", &invalid).expect_err("unknown count");
        assert!(
            error.contains("fault 1") && error.contains("some"),
            "{error}"
        );
    }

    #[test]
    fn a_run_fails_on_a_rule_violation_an_unexpected_exit_or_a_low_served_share() {
        let run = |result: &str, report: &str, required_served_share| CompletedRun {
            result: serde_json::from_str(result).expect("a scenario result"),
            report: serde_json::from_str(report).expect("a report"),
            required_served_share,
        };
        let result =
            r#"{"name": "d", "G": 0.8, "served": [["a", 0.5, 0.7], ["team t", 1.0, 0.95]]}"#;
        let restarted = r#"{"node_stats": [{"restarts": [{"why": "fault"}]}]}"#;
        let passed = run(result, restarted, 0.6);
        assert!(passed.failures().is_empty(), "{:?}", passed.failures());
        assert_eq!(passed.least_served(false), Some(("a", 0.7)));
        assert_eq!(passed.least_served(true), Some(("t", 0.95)));
        assert_eq!(run(result, restarted, 0.9).failures().len(), 1);
        let out_of_memory = restarted.replace("fault", "memory");
        assert_eq!(run(result, &out_of_memory, 0.6).failures().len(), 1);
        let low_share = result.replace("0.7", "0.49");
        assert_eq!(
            run(&low_share, restarted, 0.1).failures().len(),
            1,
            "MIN_SERVED_SHARE applies"
        );
        let violating = result.replace("\"G\"", "\"rules\": {\"quota\": 1}, \"G\"");
        assert_eq!(run(&violating, restarted, 0.6).failures(), ["rule quota"]);
        assert_eq!(run(r#"{"name": "d"}"#, restarted, 0.6).failures().len(), 2);
    }
}
