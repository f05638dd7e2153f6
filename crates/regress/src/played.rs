//! Plays days of our own: writes sites and days into a temporary folder, runs the bench on them,
//! and tells what came of it.

use crate::{Cli, FLEET, entries_since, journal, read};
use comfy_table::{Table, presets};
use dewramp_regress::own::{Day, Ran, Report, Site, Variant, day_on};
use rayon::prelude::*;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

/// One day on one site, as files.
struct Run {
    site: Site,
    site_file: PathBuf,
    day: Day,
    day_file: PathBuf,
    report: PathBuf,
    log: PathBuf,
}

fn text_files(dir: &Path) -> Result<Vec<(String, String)>, String> {
    let shown = dir.display();
    let found = fs::read_dir(dir).map_err(|e| format!("{shown}: {e}; name it with --days"))?;
    let mut files: Vec<PathBuf> = found.filter_map(|e| e.ok().map(|e| e.path())).collect();
    files.retain(|p| p.extension().is_some_and(|x| x == "toml"));
    files.sort();
    let name = |p: &PathBuf| p.file_stem().map(|s| s.to_string_lossy().into_owned());
    let mut texts = Vec::new();
    for p in &files {
        texts.push((name(p).unwrap_or_default(), read(p)?));
    }
    Ok(texts)
}

fn write(path: &Path, text: &str) -> Result<(), String> {
    fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

/// All runs that the options ask for, their files written.
fn prepare(cli: &Cli, dir: &Path) -> Result<Vec<Run>, String> {
    let days = text_files(&cli.days)?;
    let wanted = |site: &str, day: &str| {
        let of = |p: &String| site.contains(p.as_str()) || day.contains(p.as_str());
        cli.only.is_empty() || cli.only.iter().any(of)
    };
    let mut runs = Vec::new();
    let sites = FLEET.iter().copied();
    for path in sites.filter(|s| cli.sites.is_empty() || cli.sites.iter().any(|p| s.contains(p))) {
        let file = cli.kit.join(format!("{path}.toml"));
        let text = read(&file)?;
        for (size, restart_s) in cli
            .size
            .iter()
            .flat_map(|s| cli.restart.iter().map(move |r| (*s, *r)))
        {
            let variant = Variant {
                size,
                restart_s,
                zones: cli.zones.map(usize::from),
            };
            let site = Site::vary(&text, &variant).map_err(|e| format!("{path}: {e}"))?;
            let site_file = dir.join(format!("{}.toml", site.name));
            write(&site_file, &site.text)?;
            // What the site names beside itself.
            let beside = file.with_file_name("wire.json");
            let there = dir.join("wire.json");
            fs::copy(&beside, there).map_err(|e| format!("{}: {e}", beside.display()))?;
            for (name, text) in &days {
                if !wanted(&site.name, name) {
                    continue;
                }
                for luck in 0..u64::from(cli.seeds) {
                    let day = day_on(&site, name, text)?.with_luck(luck)?;
                    let stem = format!("{}-{}", site.name, day.name);
                    let day_file = dir.join(format!("{stem}.day.toml"));
                    write(&day_file, &day.text)?;
                    runs.push(Run {
                        report: dir.join(format!("{stem}.json")),
                        log: dir.join(format!("{stem}.log")),
                        site: site.clone(),
                        site_file: site_file.clone(),
                        day,
                        day_file,
                    });
                }
            }
        }
    }
    Ok(runs)
}

fn play(cli: &Cli, bench: &Path, run: &Run) -> Result<(), String> {
    let log = fs::File::create(&run.log).map_err(|e| format!("{}: {e}", run.log.display()))?;
    let mut command = Command::new(bench);
    command
        .arg("run")
        .args([&run.site_file, &run.day_file])
        .arg("--report")
        .arg(&run.report)
        .args(["--why", &cli.why]);
    if cli.keep.is_some() {
        command.args(["--log", "info"]);
    }
    let both = log.try_clone().map_err(|e| e.to_string())?;
    let played = command.stdout(log).stderr(both).status();
    played.map_err(|e| format!("the bench can't be started: {e}"))?;
    Ok(())
}

/// Plays them all; false if one failed.
pub fn own(cli: &Cli, bench: &Path) -> Result<bool, String> {
    let temporary;
    let dir: &Path = match &cli.keep {
        Some(dir) => {
            fs::create_dir_all(dir).map_err(|e| format!("{}: {e}", dir.display()))?;
            dir
        }
        None => {
            temporary = tempfile::tempdir().map_err(|e| format!("a temporary folder: {e}"))?;
            temporary.path()
        }
    };
    let runs = prepare(cli, dir)?;
    if runs.is_empty() {
        return Err("no day has a name like that; see --only and --days".to_owned());
    }
    let before = journal()?;
    // Once, so that no day is played beside a build.
    crate::play(Command::new(bench).arg("build").stdout(Stdio::null()))?;
    let pool = rayon::ThreadPoolBuilder::new()
        .num_threads(cli.jobs.into())
        .build()
        .map_err(|e| e.to_string())?;
    pool.install(|| {
        runs.par_iter().try_for_each(|run| {
            play(cli, bench, run)?;
            eprintln!("{}: {} played", run.site.name, run.day.name);
            Ok::<(), String>(())
        })
    })?;
    let entries = entries_since(&before)?;
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
    let mut good = true;
    for run in &runs {
        let of_site = |e: &&dewramp_regress::Entry| e.site.as_deref() == Some(&run.site.name);
        let mut days = entries.iter().filter(of_site).flat_map(|e| &e.days);
        let day = days.find(|d| d.name == run.day.name).cloned();
        let text = fs::read_to_string(&run.report).ok();
        let report = text.and_then(|t| serde_json::from_str::<Report>(&t).ok());
        let (Some(day), Some(report)) = (day, report) else {
            good = false;
            let said = fs::read_to_string(&run.log).unwrap_or_default();
            let last = said.lines().rfind(|l| !l.trim().is_empty()).unwrap_or("");
            let why = format!("FAILED: not played: {last}");
            table.add_row([run.site.name.as_str(), &run.day.name, &why]);
            continue;
        };
        let ran = Ran {
            day,
            report,
            served: run.day.served,
        };
        let faults = ran.faults();
        good &= faults.is_empty();
        table.add_row(row(run, &ran, &faults));
    }
    println!("{table}");
    Ok(good)
}

fn row(run: &Run, ran: &Ran, faults: &[String]) -> Vec<String> {
    let least = |teams| {
        ran.least(teams)
            .map_or("-".to_owned(), |(name, share)| format!("{name} {share:.2}"))
    };
    let (users, fleet) = (&ran.report.users, &ran.report.fleet);
    let nodes = &ran.report.node_stats;
    let memory = nodes.iter().map(|n| n.memory_peak_mb).fold(0.0, f64::max);
    let connections = nodes.iter().map(|n| n.connections_peak).max().unwrap_or(0);
    let errors: Vec<String> = users
        .errors
        .iter()
        .map(|(k, n)| format!("{n} {k}"))
        .collect();
    let p95 = users.submit_ms.get("p95").copied().unwrap_or(0.0);
    vec![
        run.site.name.clone(),
        run.day.name.clone(),
        ran.day.mark.map_or("-".to_owned(), |m| format!("{m:.3}")),
        least(false),
        least(true),
        ran.day
            .submitted()
            .map_or("-".to_owned(), |s| format!("{s:.3}")),
        format!("{p95:.0}"),
        fleet.tasks_lost.to_string(),
        fleet.tasks_killed_by_lease.to_string(),
        format!("{memory:.0}"),
        connections.to_string(),
        errors.join(", "),
        if faults.is_empty() {
            String::new()
        } else {
            format!("FAILED: {}", faults.join("; "))
        },
    ]
}
