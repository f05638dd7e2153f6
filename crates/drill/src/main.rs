//! The program `drill`: command line, progress display and printed results.

use clap::{Parser, ValueEnum};
use comfy_table::{Table, presets};
use dewramp::fault_injection::InjectedFault;
use drill::outcome::{Outcome, scenario_size};
use drill::scenario::Scenario;
use drill::world::World;
use drill::{generate, play, shrink};
use indicatif::{ProgressBar, ProgressStyle};
use rayon::prelude::*;
use std::collections::BTreeMap;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

/// Simulate several controllers and hundreds of machines with faults, on a simulated clock.
///
/// Without options: the example scenario with three controllers, two teams, leader changes and the loss of a zone.
/// With `--seeds N`: N scenarios drawn by the generator, or, with `--day`, that scenario with N seeds.
/// Machines, users, network and services are simulated; the controllers run the code of the real program.
///
/// Exits with 1 when a scenario failed, with 2 when it could not be read or played.
#[derive(Parser)]
#[command(
    name = "drill",
    version,
    after_help = "EXAMPLES:\n  drill                               the example scenario\n  drill --seeds 100                   a hundred scenarios drawn from the seeds 1 to 100\n  drill --drawn --seed 17             the scenario drawn from seed 17, with all results\n  drill --drawn --seed 17 --shrink    shrink it and print it as TOML\n  drill --plant all --seeds 200       show that each injected bug is found\n\nLOG_LEVEL=info prints the log lines of the controllers, with simulated time and controller."
)]
struct Cli {
    /// The scenario to play (TOML); docs/drill.md says how to write one.
    #[arg(long, value_name = "FILE", conflicts_with = "drawn")]
    day: Option<PathBuf>,
    /// Play the scenario that the generator draws from the seed.
    #[arg(long)]
    drawn: bool,
    /// Draw scenarios in which two faults come together while users cancel much of their work.
    #[arg(long, conflicts_with = "day")]
    meetings: bool,
    /// The seed; the same seed gives the same run, to the byte.
    #[arg(long, value_name = "N")]
    seed: Option<u64>,
    /// Play that many seeds, in parallel, and print only those that failed.
    #[arg(long, value_name = "N")]
    seeds: Option<u64>,
    /// Number of controllers, instead of the scenario's.
    #[arg(long, value_name = "N", value_parser = clap::value_parser!(u16).range(1..=200))]
    controllers: Option<u16>,
    /// Approximate number of machines; work, quotas and, for a larger fleet, the budgets of state service and cloud scale with it.
    #[arg(long, value_name = "N", value_parser = clap::value_parser!(u16).range(1..=9000))]
    machines: Option<u16>,
    /// Inject a bug into the controllers, or `all` of them one after the other.
    #[arg(long, value_name = "BUG", value_parser = injected_fault_names())]
    plant: Option<String>,
    /// How the result is printed.
    #[arg(long, value_enum, default_value_t = Format::Table)]
    format: Format,
    /// Draw a chart of the run (SVG) into that file.
    #[arg(long, value_name = "FILE", conflicts_with = "seeds")]
    report: Option<PathBuf>,
    /// Shrink a failing scenario, and print the smaller one.
    #[arg(long)]
    shrink: bool,
    /// Print the scenario as TOML and play nothing.
    #[arg(long)]
    print: bool,
}

#[derive(Clone, Copy, PartialEq, ValueEnum)]
enum Format {
    Table,
    Json,
}

fn injected_fault_names() -> Vec<&'static str> {
    let names = InjectedFault::ALL.iter().map(|b| b.0);
    names.chain(["all"]).collect()
}

fn main() -> ExitCode {
    env_logger::Builder::new()
        .parse_filters(&std::env::var("LOG_LEVEL").unwrap_or_else(|_| "off".to_owned()))
        .format(|buf, record| {
            let (at, node) = drill::log_context();
            let (level, at) = (record.level(), at as f64 / 1e6);
            writeln!(buf, "{at:10.4} node-{node} {level} {}", record.args())
        })
        .init();
    match run(&Cli::parse()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(message) => {
            eprintln!("drill: {message}");
            ExitCode::from(2)
        }
    }
}

impl Cli {
    /// The scenario for a seed, with the changes that the options ask for.
    fn scenario(&self, seed: Option<u64>) -> Result<Scenario, String> {
        let draws_seeds = self.seeds.is_some() && self.day.is_none();
        let mut scenario = match &self.day {
            Some(path) => {
                let shown = path.display();
                let text = std::fs::read_to_string(path).map_err(|e| format!("{shown}: {e}"))?;
                Scenario::parse(&text).map_err(|e| format!("{shown}: {e}"))?
            }
            None if self.meetings => {
                generate::draw_fault_combinations(seed.unwrap_or(1)).map_err(|e| e.to_string())?
            }
            None if self.drawn || draws_seeds => {
                generate::draw(seed.unwrap_or(1)).map_err(|e| e.to_string())?
            }
            None => Scenario::example().map_err(|e| e.to_string())?,
        };
        scenario.seed = seed.unwrap_or(scenario.seed);
        if let Some(n) = self.controllers {
            scenario.fleet.controllers = n.into();
        }
        if let Some(n) = self.machines {
            scenario = scenario.with_machines(n.into());
        }
        if let Some(bug) = self.plant.as_ref().filter(|b| *b != "all") {
            scenario.planted = Some(bug.clone());
        }
        Ok(scenario)
    }
}

fn run(cli: &Cli) -> Result<bool, String> {
    if cli.print {
        print!("{}", cli.scenario(cli.seed)?.to_toml());
        return Ok(true);
    }
    if cli.plant.as_deref() == Some("all") {
        return find_injected_faults(cli);
    }
    match cli.seeds {
        Some(n) => run_seeds(cli, n),
        None => run_once(cli),
    }
}

fn progress_bar(length: u64, what: &str) -> ProgressBar {
    let bar = ProgressBar::new(length);
    let style = ProgressStyle::with_template("{msg} [{bar:40}] {pos}/{len} {elapsed}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    bar.set_message(what.to_owned());
    bar
}

fn run_once(cli: &Cli) -> Result<bool, String> {
    let scenario = cli.scenario(cli.seed)?;
    let progress = progress_bar(scenario.duration_s as u64, &scenario.name);
    let outcome = World::new(scenario.clone()).play(|at| progress.set_position(at / 1_000_000));
    progress.finish_and_clear();
    match cli.format {
        Format::Table => print!("{}", outcome.table()),
        Format::Json => println!(
            "{}",
            serde_json::to_string_pretty(&outcome).map_err(|e| e.to_string())?
        ),
    }
    if let Some(path) = &cli.report {
        drill::chart::draw(&outcome, path).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    if cli.shrink && !outcome.violations.is_empty() {
        shrink_and_print(&scenario);
    }
    Ok(outcome.failed.is_empty())
}

fn shrink_and_print(scenario: &Scenario) -> Option<Scenario> {
    let progress = ProgressBar::new_spinner();
    let small = shrink::shrink(scenario, |size| progress.set_message(size.to_owned()));
    progress.finish_and_clear();
    match &small {
        Some(small) => println!("# {}\n{}", scenario_size(small), small.to_toml()),
        None => println!("the scenario violates no rule; nothing to shrink"),
    }
    small
}

fn run_seeds(cli: &Cli, seeds: u64) -> Result<bool, String> {
    let first = cli.seed.unwrap_or(1);
    cli.scenario(Some(first))?;
    let progress = progress_bar(seeds, "scenarios");
    let mut outcomes: Vec<Outcome> = (first..first + seeds)
        .into_par_iter()
        .map(|seed| {
            let outcome = play(&cli.scenario(Some(seed))?);
            progress.inc(1);
            Ok(outcome)
        })
        .collect::<Result<_, String>>()?;
    progress.finish_and_clear();
    outcomes.sort_by_key(|o| o.seed);
    let failed: Vec<&Outcome> = outcomes.iter().filter(|o| !o.failed.is_empty()).collect();
    if cli.format == Format::Json {
        let text = serde_json::to_string(&outcomes).map_err(|e| e.to_string())?;
        println!("{text}");
    } else {
        for o in &failed {
            println!("seed {}: {}", o.seed, o.failed.join("; "));
            for (rule, b) in &o.violations {
                println!(
                    "    {rule} violated {} times, first at {}",
                    b.count, b.first
                );
            }
        }
        let mut leaderless_s: Vec<f64> = outcomes
            .iter()
            .flat_map(|o| o.leads.iter().skip(1).map(|l| l.silent_s))
            .filter(|s| *s > 0.0)
            .collect();
        leaderless_s.sort_by(f64::total_cmp);
        let at = |q: f64| {
            leaderless_s
                .get((leaderless_s.len().max(1) - 1).min((leaderless_s.len() as f64 * q) as usize))
                .copied()
        };
        let warm: usize = outcomes.iter().map(|o| o.warm_takeovers).sum();
        let takeovers: usize = outcomes.iter().map(|o| o.takeovers).sum();
        let tasks: u64 = outcomes.iter().map(|o| o.tasks_started).sum();
        println!(
            "{} scenarios, {} failed; {tasks} tasks started; {warm} of {takeovers} takeovers warm; {} leader changes, time \
             without a leader {:.2} s at the median and {:.2} s at most (simulated machines)",
            outcomes.len(),
            failed.len(),
            leaderless_s.len(),
            at(0.5).unwrap_or(0.0),
            leaderless_s.last().unwrap_or(&0.0)
        );
    }
    if cli.shrink
        && let Some(o) = failed.iter().find(|o| !o.violations.is_empty())
    {
        shrink_and_print(&cli.scenario(Some(o.seed))?);
    }
    Ok(failed.is_empty())
}

/// Injects each bug in turn, and plays drawn scenarios until one violates a rule.
fn find_injected_faults(cli: &Cli) -> Result<bool, String> {
    let seeds = cli.seeds.unwrap_or(200);
    let first = cli.seed.unwrap_or(1);
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header(["injected bug", "found by rules", "seeds", "shrunk to"]);
    let mut all_found = true;
    let mut shrunk = BTreeMap::new();
    for (name, _) in InjectedFault::ALL {
        let progress = progress_bar(seeds, name);
        let found = (first..first + seeds).into_par_iter().find_first(|seed| {
            progress.inc(1);
            let drawn = generate::draw_with_injected_fault(*seed, name);
            drawn.is_ok_and(|scenario| !play(&scenario).violations.is_empty())
        });
        progress.finish_and_clear();
        let Some(seed) = found else {
            all_found = false;
            table.add_row([name, "NOT FOUND", &seeds.to_string(), ""]);
            continue;
        };
        let scenario = generate::draw_with_injected_fault(seed, name).map_err(|e| e.to_string())?;
        let rules: Vec<&str> = play(&scenario).violations.keys().copied().collect();
        let small = if cli.shrink {
            shrink::shrink(&scenario, |_| {})
        } else {
            None
        };
        let shrunk_size = small.as_ref().map_or(String::new(), scenario_size);
        table.add_row([
            name,
            &rules.join(", "),
            &(seed - first + 1).to_string(),
            &shrunk_size,
        ]);
        shrunk.extend(small.map(|s| (name, s)));
    }
    println!("{table}");
    for (name, scenario) in shrunk {
        println!("\n# {name}\n{}", scenario.to_toml());
    }
    Ok(all_found)
}
