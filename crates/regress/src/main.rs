//! Plays the operators' deployments with their bench and compares the marks with the baseline.

mod custom_runner;

use clap::Parser;
use comfy_table::{Table, presets};
use dewramp_regress::{
    Baseline, JournalEntry, Row, Verdict, compare_with_baseline, update_baseline,
};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};

/// Play the operators' deployments and compare their marks with the baseline.
///
/// Exits with 1 on a day that failed, a broken rule, or a fall of more than 0.03, with 2 when
/// it could not be played at all.
#[derive(Parser)]
#[command(name = "regress", version)]
struct Cli {
    /// All days of each site, and a day of hunt, instead of the two roughest.
    #[arg(long)]
    full: bool,
    /// The four large sites alone: fleet and hunt.
    #[arg(long)]
    fleet: bool,
    /// Days of our own on the large sites, in other sizes and with quick restarts.
    #[arg(long = "own", conflicts_with_all = ["full", "fleet", "accept"])]
    custom: bool,
    /// With --own: machines, limits and arrivals as multiples of the site's.
    #[arg(
        long = "size",
        value_name = "X",
        value_delimiter = ',',
        default_value = "1.5"
    )]
    sizes: Vec<f64>,
    /// With --own: seconds until a process that ended is started again.
    #[arg(
        long = "restart",
        value_name = "S",
        value_delimiter = ',',
        default_value = "0.2"
    )]
    restart_delays_s: Vec<f64>,
    /// With --own: so many zones, under other names.
    #[arg(long, value_name = "N", value_parser = clap::value_parser!(u8).range(1..=9))]
    zones: Option<u8>,
    /// With --own: only days and sites whose name holds one of these.
    #[arg(long, value_name = "PART", value_delimiter = ',')]
    only: Vec<String>,
    /// With --own: only sites whose name holds one of these.
    #[arg(long, value_name = "PART", value_delimiter = ',')]
    sites: Vec<String>,
    /// With --own: each day so many times, each time with other luck.
    #[arg(long, value_name = "N", default_value_t = 1, value_parser = clap::value_parser!(u8).range(1..=50))]
    seeds: u8,
    /// With --own: so many days at once.
    #[arg(long = "jobs", value_name = "N", default_value_t = 3, value_parser = clap::value_parser!(u8).range(1..=16))]
    parallel_runs: u8,
    /// With --own: where the days are.
    #[arg(long = "days", value_name = "DIR", default_value = "scripts/days")]
    scenarios_dir: PathBuf,
    /// With --own: keep each run's report and log in this folder.
    #[arg(long = "keep", value_name = "DIR")]
    output_dir: Option<PathBuf>,
    /// What the run is to show; goes into the journal.
    #[arg(long = "why", value_name = "WHY", default_value = "regression")]
    purpose: String,
    /// Make the marks of this run the baseline.
    #[arg(long)]
    accept: bool,
    /// The operators' kit.
    #[arg(long, value_name = "DIR", default_value = "../given/kit")]
    kit: PathBuf,
    /// The marks to compare with.
    #[arg(long, value_name = "FILE", default_value = "scripts/baseline.json")]
    baseline: PathBuf,
}

const FLEET_SITES: [&str; 4] = [
    "more/fleet/cscc-render-fleet",
    "more/fleet/linmsg-push-fleet",
    "more/hunt/cscc-render-hunt",
    "more/hunt/linmsg-push-hunt",
];
const EARLIER_SITES: [&str; 4] = [
    "more/cscc-render-ops",
    "more/linmsg-push-ops",
    "change/cscc-render-next",
    "change/linmsg-push-next",
];

fn main() -> ExitCode {
    match run(&Cli::parse()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(message) => {
            eprintln!("regress: {message}");
            ExitCode::from(2)
        }
    }
}

fn run(cli: &Cli) -> Result<bool, String> {
    let mut sites = FLEET_SITES.to_vec();
    if !cli.fleet {
        sites.extend(EARLIER_SITES);
    }
    let bench = cli.kit.join("more/hunt/bin/fleetbench");
    if !bench.is_file() {
        let shown = bench.display();
        return Err(format!("{shown}: no bench there; name the kit with --kit"));
    }
    if cli.custom {
        return custom_runner::run_custom_scenarios(cli, &bench);
    }
    let baseline = read_baseline(&cli.baseline)?;
    let files: Vec<PathBuf> = sites
        .iter()
        .map(|s| cli.kit.join(format!("{s}.toml")))
        .collect();
    let files_before = journal_files()?;
    let mut score = Command::new(&bench);
    score.arg("score").args(&files);
    if !cli.full {
        score.arg("--quick");
    }
    run_bench(score.arg("--why").arg(&cli.purpose))?;
    if cli.full {
        for file in &files {
            run_bench(
                Command::new(&bench)
                    .arg("hunt")
                    .arg(file)
                    .args(["--days", "1"]),
            )?;
        }
    }
    let entries = journal_entries_since(&files_before)?;
    let names: Vec<&str> = sites.iter().filter_map(|s| s.rsplit('/').next()).collect();
    let rows = compare_with_baseline(&baseline, &entries, &names);
    println!("{}", results_table(&rows));
    if cli.accept {
        let updated = serde_json::to_string_pretty(&update_baseline(baseline, &rows));
        let text = updated.map_err(|e| e.to_string())? + "\n";
        std::fs::write(&cli.baseline, text)
            .map_err(|e| format!("{}: {e}", cli.baseline.display()))?;
    }
    Ok(!rows.iter().any(|r| r.verdict.is_failure()))
}

fn run_bench(command: &mut Command) -> Result<(), String> {
    let status = command
        .status()
        .map_err(|e| format!("the bench can't be started: {e}"))?;
    // Whether its days went well is read from the journal.
    match status.code() {
        Some(_) => Ok(()),
        None => Err("the bench was ended by a signal".to_owned()),
    }
}

fn read_file(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
}

fn read_baseline(path: &Path) -> Result<Baseline, String> {
    if !path.exists() {
        return Ok(Baseline::default());
    }
    serde_json::from_str(&read_file(path)?).map_err(|e| format!("{}: {e}", path.display()))
}

/// What the bench has entered since.
fn journal_entries_since(files_before: &BTreeSet<PathBuf>) -> Result<Vec<JournalEntry>, String> {
    let mut entries = Vec::new();
    for path in journal_files()?.difference(files_before) {
        let text = read_file(path)?;
        let entry: JournalEntry =
            serde_json::from_str(&text).map_err(|e| format!("{}: {e}", path.display()))?;
        entries.push(entry);
    }
    Ok(entries)
}

fn journal_files() -> Result<BTreeSet<PathBuf>, String> {
    let dir = std::fs::read_dir("journal")
        .map_err(|e| format!("journal: {e}; run from the root of the repository"))?;
    let paths = dir.filter_map(|e| e.ok().map(|e| e.path()));
    Ok(paths
        .filter(|p| p.extension().is_some_and(|x| x == "json"))
        .collect())
}

fn results_table(rows: &[Row]) -> Table {
    let format_score = |s: Option<f64>| s.map_or("-".to_owned(), |s| format!("{s:.3}"));
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header(["site", "day", "before", "now", "fall", ""]);
    for r in rows {
        let loss = r
            .baseline
            .zip(r.score)
            .map(|(baseline, score)| baseline - score);
        let verdict = match &r.verdict {
            Verdict::Passed => String::new(),
            Verdict::New => "new".to_owned(),
            Verdict::Regressed(_) => "FELL".to_owned(),
            Verdict::RulesViolated(rules) => format!("BROKEN: {rules}"),
            Verdict::Failed(reason) => format!("FAILED: {reason}"),
        };
        let loss = loss.map_or("-".to_owned(), |l| format!("{l:+.3}"));
        table.add_row([
            &r.site,
            &r.scenario,
            &format_score(r.baseline),
            &format_score(r.score),
            &loss,
            &verdict,
        ]);
    }
    table
}
