//! The program: command line, progress, and what is printed.

use clap::{Parser, ValueEnum};
use comfy_table::{Table, presets};
use dewramp::fault_injection::InjectedFault;
use drill::day::Day;
use drill::outcome::{Outcome, size};
use drill::world::World;
use drill::{generate, play, shrink};
use indicatif::{ProgressBar, ProgressStyle};
use rayon::prelude::*;
use std::collections::BTreeMap;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

/// Play days of several controllers and hundreds of machines failing, on one fake clock.
///
/// Without options: one day with three controllers, two teams, changes of leader and a lost zone.
/// With `--seeds N`: N days drawn by the generator, or, with `--day`, that day with N seeds.
/// The days are of simulated machines; the controllers are the program's own code.
///
/// Exits with 1 when a day failed, with 2 when it could not be read or played.
#[derive(Parser)]
#[command(
    name = "drill",
    version,
    after_help = "EXAMPLES:\n  drill                               the example day\n  drill --seeds 100                   a hundred days drawn from the seeds 1 to 100\n  drill --drawn --seed 17             the drawn day of seed 17, in full\n  drill --drawn --seed 17 --shrink    cut it down and print it as TOML\n  drill --plant all --seeds 200       show that each planted bug is found\n\nLOG_LEVEL=info prints what the controllers log, with time and name."
)]
struct Cli {
    /// The day to play (TOML); docs/drill.md says how to write one.
    #[arg(long, value_name = "FILE", conflicts_with = "drawn")]
    day: Option<PathBuf>,
    /// Play the day that the generator draws from the seed.
    #[arg(long)]
    drawn: bool,
    /// Draw days on which two troubles meet while users cancel much of their work.
    #[arg(long, conflicts_with = "day")]
    meetings: bool,
    /// The seed; one seed is one run, to the byte.
    #[arg(long, value_name = "N")]
    seed: Option<u64>,
    /// Play that many seeds, in parallel, and tell only what failed.
    #[arg(long, value_name = "N")]
    seeds: Option<u64>,
    /// That many controllers, whatever the day says.
    #[arg(long, value_name = "N", value_parser = clap::value_parser!(u16).range(1..=200))]
    controllers: Option<u16>,
    /// About that many machines; work, limits and, for a larger fleet, the budgets of state service and cloud go with them.
    #[arg(long, value_name = "N", value_parser = clap::value_parser!(u16).range(1..=9000))]
    machines: Option<u16>,
    /// Plant a bug in the controllers, or `all` of them one after the other.
    #[arg(long, value_name = "BUG", value_parser = bug_names())]
    plant: Option<String>,
    /// How the outcome is printed.
    #[arg(long, value_enum, default_value_t = Format::Table)]
    format: Format,
    /// Draw a picture of the day (SVG) into that file.
    #[arg(long, value_name = "FILE", conflicts_with = "seeds")]
    report: Option<PathBuf>,
    /// Cut a failing day down, and print it as a day of its own.
    #[arg(long)]
    shrink: bool,
    /// Print the day as TOML and play nothing.
    #[arg(long)]
    print: bool,
}

#[derive(Clone, Copy, PartialEq, ValueEnum)]
enum Format {
    Table,
    Json,
}

fn bug_names() -> Vec<&'static str> {
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
    /// The day of a seed, as the options want it.
    fn day(&self, seed: Option<u64>) -> Result<Day, String> {
        let many = self.seeds.is_some() && self.day.is_none();
        let mut day = match &self.day {
            Some(path) => {
                let shown = path.display();
                let text = std::fs::read_to_string(path).map_err(|e| format!("{shown}: {e}"))?;
                Day::parse(&text).map_err(|e| format!("{shown}: {e}"))?
            }
            None if self.meetings => {
                generate::draw_meetings(seed.unwrap_or(1)).map_err(|e| e.to_string())?
            }
            None if self.drawn || many => {
                generate::draw(seed.unwrap_or(1)).map_err(|e| e.to_string())?
            }
            None => Day::example().map_err(|e| e.to_string())?,
        };
        day.seed = seed.unwrap_or(day.seed);
        if let Some(n) = self.controllers {
            day.fleet.controllers = n.into();
        }
        if let Some(n) = self.machines {
            day = day.with_machines(n.into());
        }
        if let Some(bug) = self.plant.as_ref().filter(|b| *b != "all") {
            day.planted = Some(bug.clone());
        }
        Ok(day)
    }
}

fn run(cli: &Cli) -> Result<bool, String> {
    if cli.print {
        print!("{}", cli.day(cli.seed)?.to_toml());
        return Ok(true);
    }
    if cli.plant.as_deref() == Some("all") {
        return find_all(cli);
    }
    match cli.seeds {
        Some(n) => many(cli, n),
        None => one(cli),
    }
}

fn bar(length: u64, what: &str) -> ProgressBar {
    let bar = ProgressBar::new(length);
    let style = ProgressStyle::with_template("{msg} [{bar:40}] {pos}/{len} {elapsed}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    bar.set_message(what.to_owned());
    bar
}

fn one(cli: &Cli) -> Result<bool, String> {
    let day = cli.day(cli.seed)?;
    let progress = bar(day.duration_s as u64, &day.name);
    let outcome = World::new(day.clone()).play(|at| progress.set_position(at / 1_000_000));
    progress.finish_and_clear();
    match cli.format {
        Format::Table => print!("{}", outcome.table()),
        Format::Json => println!(
            "{}",
            serde_json::to_string_pretty(&outcome).map_err(|e| e.to_string())?
        ),
    }
    if let Some(path) = &cli.report {
        drill::picture::draw(&outcome, path).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    if cli.shrink && !outcome.broken.is_empty() {
        cut_down(&day);
    }
    Ok(outcome.failed.is_empty())
}

fn cut_down(day: &Day) -> Option<Day> {
    let progress = ProgressBar::new_spinner();
    let small = shrink::shrink(day, |size| progress.set_message(size.to_owned()));
    progress.finish_and_clear();
    match &small {
        Some(small) => println!("# {}\n{}", size(small), small.to_toml()),
        None => println!("no rule is broken on that day; nothing to cut down"),
    }
    small
}

fn many(cli: &Cli, seeds: u64) -> Result<bool, String> {
    let first = cli.seed.unwrap_or(1);
    cli.day(Some(first))?;
    let progress = bar(seeds, "days");
    let mut outcomes: Vec<Outcome> = (first..first + seeds)
        .into_par_iter()
        .map(|seed| {
            let outcome = play(&cli.day(Some(seed))?);
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
            for (rule, b) in &o.broken {
                println!("    {rule} {} times, first at {}", b.count, b.first);
            }
        }
        let mut silent: Vec<f64> = outcomes
            .iter()
            .flat_map(|o| o.leads.iter().skip(1).map(|l| l.silent_s))
            .filter(|s| *s > 0.0)
            .collect();
        silent.sort_by(f64::total_cmp);
        let at = |q: f64| {
            silent
                .get((silent.len().max(1) - 1).min((silent.len() as f64 * q) as usize))
                .copied()
        };
        let warm: usize = outcomes.iter().map(|o| o.warm_takeovers).sum();
        let takeovers: usize = outcomes.iter().map(|o| o.takeovers).sum();
        let tasks: u64 = outcomes.iter().map(|o| o.tasks_started).sum();
        println!(
            "{} days, {} failed; {tasks} tasks started; {warm} of {takeovers} takeovers warm; {} changes of leader, nobody \
             led for {:.2} s at the median and {:.2} s at most (simulated machines)",
            outcomes.len(),
            failed.len(),
            silent.len(),
            at(0.5).unwrap_or(0.0),
            silent.last().unwrap_or(&0.0)
        );
    }
    if cli.shrink
        && let Some(o) = failed.iter().find(|o| !o.broken.is_empty())
    {
        cut_down(&cli.day(Some(o.seed))?);
    }
    Ok(failed.is_empty())
}

/// Each planted bug, until a day breaks a rule that the day without it keeps.
fn find_all(cli: &Cli) -> Result<bool, String> {
    let seeds = cli.seeds.unwrap_or(200);
    let first = cli.seed.unwrap_or(1);
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header(["planted", "found by", "seeds", "cut down to"]);
    let mut all = true;
    let mut cuts = BTreeMap::new();
    for (name, _) in InjectedFault::ALL {
        let progress = bar(seeds, name);
        let found = (first..first + seeds).into_par_iter().find_first(|seed| {
            progress.inc(1);
            let drawn = generate::draw_planted(*seed, name);
            drawn.is_ok_and(|day| !play(&day).broken.is_empty())
        });
        progress.finish_and_clear();
        let Some(seed) = found else {
            all = false;
            table.add_row([name, "NOT FOUND", &seeds.to_string(), ""]);
            continue;
        };
        let day = generate::draw_planted(seed, name).map_err(|e| e.to_string())?;
        let rules: Vec<&str> = play(&day).broken.keys().copied().collect();
        let small = if cli.shrink {
            shrink::shrink(&day, |_| {})
        } else {
            None
        };
        let cut = small.as_ref().map_or(String::new(), size);
        table.add_row([
            name,
            &rules.join(", "),
            &(seed - first + 1).to_string(),
            &cut,
        ]);
        cuts.extend(small.map(|s| (name, s)));
    }
    println!("{table}");
    for (name, day) in cuts {
        println!("\n# {name}\n{}", day.to_toml());
    }
    Ok(all)
}
