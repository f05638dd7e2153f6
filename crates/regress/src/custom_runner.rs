//! Runs custom scenarios: writes site and scenario files into a directory, runs the bench on them, and
//! prints a table of the results.

use crate::{Cli, FLEET_SITES, journal_entries_since, journal_files, read_file};
use comfy_table::{Table, presets};
use dewramp_regress::custom_scenarios::{
    CompletedRun, Report, Scenario, Site, SiteVariant, scenario_for_site,
};
use rayon::prelude::*;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

/// One scenario on one site variant, with the paths of its input and output files.
struct ScenarioRun {
    site: Site,
    site_file: PathBuf,
    scenario: Scenario,
    scenario_file: PathBuf,
    report: PathBuf,
    log: PathBuf,
}

/// Reads the TOML files in `dir`, sorted by path, as pairs of file stem and content.
fn read_toml_files(dir: &Path) -> Result<Vec<(String, String)>, String> {
    let shown = dir.display();
    let entries = fs::read_dir(dir)
        .map_err(|e| format!("{shown}: {e}; set the scenario directory with --days"))?;
    let mut files: Vec<PathBuf> = entries.filter_map(|e| e.ok().map(|e| e.path())).collect();
    files.retain(|p| p.extension().is_some_and(|x| x == "toml"));
    files.sort();
    let name = |p: &PathBuf| p.file_stem().map(|s| s.to_string_lossy().into_owned());
    let mut texts = Vec::new();
    for p in &files {
        texts.push((name(p).unwrap_or_default(), read_file(p)?));
    }
    Ok(texts)
}

fn write_file(path: &Path, text: &str) -> Result<(), String> {
    fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

/// Builds all runs that the options select, and writes their site and scenario files to `dir`.
fn prepare_runs(cli: &Cli, dir: &Path) -> Result<Vec<ScenarioRun>, String> {
    let scenarios = read_toml_files(&cli.scenarios_dir)?;
    let is_selected = |site: &str, scenario: &str| {
        let matches = |p: &String| site.contains(p.as_str()) || scenario.contains(p.as_str());
        cli.only.is_empty() || cli.only.iter().any(matches)
    };
    let mut runs = Vec::new();
    let sites = FLEET_SITES.iter().copied();
    for path in sites.filter(|s| cli.sites.is_empty() || cli.sites.iter().any(|p| s.contains(p))) {
        let file = cli.kit.join(format!("{path}.toml"));
        let text = read_file(&file)?;
        for (size, restart_s) in cli
            .sizes
            .iter()
            .flat_map(|s| cli.restart_delays_s.iter().map(move |r| (*s, *r)))
        {
            let variant = SiteVariant {
                size,
                restart_s,
                zones: cli.zones.map(usize::from),
            };
            let site = Site::with_variant(&text, &variant).map_err(|e| format!("{path}: {e}"))?;
            let site_file = dir.join(format!("{}.toml", site.name));
            write_file(&site_file, &site.text)?;
            // The site file refers to `wire.json` in its own directory.
            let wire_source = file.with_file_name("wire.json");
            let wire_copy = dir.join("wire.json");
            fs::copy(&wire_source, wire_copy)
                .map_err(|e| format!("{}: {e}", wire_source.display()))?;
            for (name, text) in &scenarios {
                if !is_selected(&site.name, name) {
                    continue;
                }
                for seed_offset in 0..u64::from(cli.seeds) {
                    let scenario =
                        scenario_for_site(&site, name, text)?.with_seed_offset(seed_offset)?;
                    let stem = format!("{}-{}", site.name, scenario.name);
                    let scenario_file = dir.join(format!("{stem}.day.toml"));
                    write_file(&scenario_file, &scenario.text)?;
                    runs.push(ScenarioRun {
                        report: dir.join(format!("{stem}.json")),
                        log: dir.join(format!("{stem}.log")),
                        site: site.clone(),
                        site_file: site_file.clone(),
                        scenario,
                        scenario_file,
                    });
                }
            }
        }
    }
    Ok(runs)
}

/// Runs the bench on one scenario, with its output in the log file of the run.
fn run_scenario(cli: &Cli, bench: &Path, run: &ScenarioRun) -> Result<(), String> {
    let log = fs::File::create(&run.log).map_err(|e| format!("{}: {e}", run.log.display()))?;
    let mut command = Command::new(bench);
    command
        .arg("run")
        .args([&run.site_file, &run.scenario_file])
        .arg("--report")
        .arg(&run.report)
        .args(["--why", &cli.purpose]);
    if cli.output_dir.is_some() {
        command.args(["--log", "info"]);
    }
    let log_for_stderr = log.try_clone().map_err(|e| e.to_string())?;
    let status = command.stdout(log).stderr(log_for_stderr).status();
    status.map_err(|e| format!("cannot start the bench: {e}"))?;
    Ok(())
}

/// Runs all selected scenarios and prints the results; returns false if one failed.
pub fn run_custom_scenarios(cli: &Cli, bench: &Path) -> Result<bool, String> {
    let temporary;
    let dir: &Path = match &cli.output_dir {
        Some(dir) => {
            fs::create_dir_all(dir).map_err(|e| format!("{}: {e}", dir.display()))?;
            dir
        }
        None => {
            temporary = tempfile::tempdir()
                .map_err(|e| format!("cannot create a temporary directory: {e}"))?;
            temporary.path()
        }
    };
    let runs = prepare_runs(cli, dir)?;
    if runs.is_empty() {
        return Err("no scenario matches the options; check --only, --sites and --days".to_owned());
    }
    let files_before = journal_files()?;
    // Builds once in advance, so that no scenario runs while another one's build uses the processor.
    crate::run_bench(Command::new(bench).arg("build").stdout(Stdio::null()))?;
    let pool = rayon::ThreadPoolBuilder::new()
        .num_threads(cli.parallel_runs.into())
        .build()
        .map_err(|e| e.to_string())?;
    pool.install(|| {
        runs.par_iter().try_for_each(|run| {
            run_scenario(cli, bench, run)?;
            eprintln!("{}: {} finished", run.site.name, run.scenario.name);
            Ok::<(), String>(())
        })
    })?;
    let entries = journal_entries_since(&files_before)?;
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header([
        "site",
        "day",
        "mark",
        "least class",
        "least team",
        "within 1 s",
        "p95 ms",
        "lost",
        "by lease",
        "MB",
        "conns",
        "users met",
        "",
    ]);
    let mut all_passed = true;
    for run in &runs {
        let belongs_to_site =
            |e: &&dewramp_regress::JournalEntry| e.site.as_deref() == Some(&run.site.name);
        let mut results = entries
            .iter()
            .filter(belongs_to_site)
            .flat_map(|e| &e.scenarios);
        let result = results.find(|r| r.name == run.scenario.name).cloned();
        let text = fs::read_to_string(&run.report).ok();
        let report = text.and_then(|t| serde_json::from_str::<Report>(&t).ok());
        let (Some(result), Some(report)) = (result, report) else {
            all_passed = false;
            let log = fs::read_to_string(&run.log).unwrap_or_default();
            let last_line = log.lines().rfind(|l| !l.trim().is_empty()).unwrap_or("");
            let failure = format!("FAILED: no result or report: {last_line}");
            table.add_row([run.site.name.as_str(), &run.scenario.name, &failure]);
            continue;
        };
        let completed = CompletedRun {
            result,
            report,
            required_served_share: run.scenario.required_served_share,
        };
        let failures = completed.failures();
        all_passed &= failures.is_empty();
        table.add_row(result_row(run, &completed, &failures));
    }
    println!("{table}");
    Ok(all_passed)
}

/// Builds the row of the results table for one run.
fn result_row(run: &ScenarioRun, completed: &CompletedRun, failures: &[String]) -> Vec<String> {
    let least_served = |teams| {
        completed
            .least_served(teams)
            .map_or("-".to_owned(), |(name, share)| format!("{name} {share:.2}"))
    };
    let (users, fleet) = (&completed.report.users, &completed.report.fleet);
    let nodes = &completed.report.node_stats;
    let memory = nodes.iter().map(|n| n.memory_peak_mb).fold(0.0, f64::max);
    let connections = nodes.iter().map(|n| n.connections_peak).max().unwrap_or(0);
    let errors: Vec<String> = users
        .errors
        .iter()
        .map(|(kind, count)| format!("{count} {kind}"))
        .collect();
    let p95 = users.submit_ms.get("p95").copied().unwrap_or(0.0);
    vec![
        run.site.name.clone(),
        run.scenario.name.clone(),
        completed
            .result
            .score
            .map_or("-".to_owned(), |m| format!("{m:.3}")),
        least_served(false),
        least_served(true),
        completed
            .result
            .accepted_in_time_share()
            .map_or("-".to_owned(), |s| format!("{s:.3}")),
        format!("{p95:.0}"),
        fleet.tasks_lost.to_string(),
        fleet.tasks_killed_by_lease.to_string(),
        format!("{memory:.0}"),
        connections.to_string(),
        errors.join(", "),
        if failures.is_empty() {
            String::new()
        } else {
            format!("FAILED: {}", failures.join("; "))
        },
    ]
}
