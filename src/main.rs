//! The program: command line, settings, logs, and the loop around the library.

use calloop::EventLoop;
use clap::{Parser, Subcommand};
use dewramp::admin_client;
use dewramp::clock::{Clock, MILLISECOND, Micros, SECOND};
use dewramp::controller::Controller;
use dewramp::load_shedding::LoadMonitor;
use dewramp::loop_timing::{LoopPhase, LoopTiming};
use dewramp::net::Net;
use dewramp::open_files;
use dewramp::settings::{Properties, Settings};
use rand::{Rng, SeedableRng};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Reports are many small strings and lists; a seventh of a leader's time went to the C library's allocator.
#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// A controller of the dewramp cluster scheduler.
#[derive(Parser)]
#[command(name = "dewramp", version, about)]
struct Cli {
    /// The platform's settings file (TOML).
    #[arg(long, value_name = "FILE", global = true)]
    config: Option<PathBuf>,
    /// The operators' own settings (Java-style properties); optional.
    #[arg(long, value_name = "FILE", global = true)]
    properties: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

/// A process that is told to end resigns first, for this long at most.
const SHUTDOWN_TIMEOUT: Micros = SECOND;

/// So many reports are taken before sockets are looked at again.
const HEARTBEATS_PER_TURN: usize = 32;

#[derive(Subcommand)]
enum Command {
    /// Check the settings and the properties, and exit.
    Check,
    /// Show the leader, its term and the size of what it manages.
    Status,
    /// Show a job: its owner, where its tasks may be, and why each ended.
    Job { uid: String },
    /// Show the live jobs that the leader holds, of all teams or of one.
    Jobs { team: Option<String> },
    /// Show what each worker holds.
    Workers { machine: Option<String> },
}

fn main() -> ExitCode {
    match run(Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("dewramp: {message}");
            ExitCode::FAILURE
        }
    }
}

fn run(cli: Cli) -> Result<(), String> {
    // From here on its steady clock counts.
    let clock = Clock::default();
    let path = cli
        .config
        .ok_or("give the settings file: dewramp --config FILE")?;
    let settings = Settings::load(&path).map_err(|e| e.to_string())?;
    let props = match &cli.properties {
        Some(p) => Properties::load(p).map_err(|e| e.to_string())?,
        None => Properties::default(),
    };
    let show = |path: String| -> Result<(), String> {
        println!(
            "{}",
            admin_client::format_json(&admin_client::fetch(settings.listen, &path)?)
        );
        Ok(())
    };
    let list = |path: String, list: &str| -> Result<(), String> {
        let all = admin_client::fetch_all_pages(&path, list, |page| {
            admin_client::fetch(settings.listen, page)
        })?;
        println!("{}", admin_client::format_json(&all));
        Ok(())
    };
    match cli.command {
        None => serve(clock, settings, props),
        Some(Command::Check) => {
            if let Some(warning) = settings.warning() {
                eprintln!("dewramp: {warning}");
            }
            println!("settings and properties are in order");
            Ok(())
        }
        Some(Command::Status) => show("/inspect/status".to_owned()),
        Some(Command::Job { uid }) => show(format!("/inspect/job/{uid}")),
        Some(Command::Jobs { team: None }) => list("/inspect/jobs".to_owned(), "jobs"),
        Some(Command::Jobs { team: Some(t) }) => list(format!("/inspect/jobs/{t}"), "jobs"),
        Some(Command::Workers { machine: None }) => list("/inspect/workers".to_owned(), "workers"),
        Some(Command::Workers { machine: Some(m) }) => show(format!("/inspect/workers/{m}")),
    }
}

/// Tells this run of the process from all others, of this controller and of its peers: one that ends
/// may be back within the same millisecond of a time of day that is off by some. 52 bits.
fn run_number(label: &str, wall: Micros) -> u64 {
    // Where the kernel's luck can't be had, label, time and process have to do.
    let luck = rand::rngs::SmallRng::try_from_os_rng().map_or(0, |mut r| r.random::<u64>());
    let named = format!("{label}/{wall}/{}/{luck}", std::process::id());
    xxhash_rust::xxh3::xxh3_64(named.as_bytes()) >> 12
}

fn serve(clock: Clock, settings: Settings, props: Properties) -> Result<(), String> {
    env_logger::Builder::new()
        .parse_filters(&std::env::var("LOG_LEVEL").unwrap_or_else(|_| "error".to_owned()))
        .target(env_logger::Target::Stderr)
        .format(|buf, record| {
            use std::io::Write;
            writeln!(buf, "{} {}", record.level(), record.args())
        })
        .init();
    if let Some(warning) = settings.warning() {
        log::warn!("{warning}");
    }
    if let Some(warning) =
        open_files::raise_limit(settings.deployment.process_limits.max_connections)
    {
        log::warn!("{warning}");
    }
    let now = clock.now();
    let run = run_number(&settings.name, now.wall);
    dewramp::seeded_hash::set_seed(run);
    let mut event_loop: EventLoop<Net> =
        EventLoop::try_new().map_err(|e| format!("event loop: {e}"))?;
    let mut net = Net::new(
        event_loop.handle(),
        settings.deployment.process_limits.max_connections,
    );
    net.set_now(now.steady);
    net.set_heartbeat_period(settings.heartbeat_period());
    net.listen(settings.listen, false)
        .map_err(|e| format!("listening on {}: {e}", settings.listen))?;
    net.listen(settings.peer_listen, true)
        .map_err(|e| format!("listening on {}: {e}", settings.peer_listen))?;
    log::info!("{} starts", settings.name);
    let mut node = Controller::new(settings, props, run);
    let mut load = LoadMonitor::default();
    let mut spent = LoopTiming::default();
    // Where signals can't be had, the process just ends when it is killed.
    let told_to_end = Arc::new(AtomicBool::new(false));
    let _ = signal_hook::flag::register(signal_hook::consts::SIGTERM, told_to_end.clone());
    let mut leaving: Option<Micros> = None;
    // When sockets were last looked at: what comes in meanwhile waits.
    let mut looked = now.steady;
    loop {
        let mut now = clock.now();
        net.set_now(now.steady);
        net.expire();
        if told_to_end.load(Ordering::Relaxed) {
            if leaving.is_none() {
                node.shut_down(now);
            }
            let since = *leaving.get_or_insert(now.steady);
            if now.steady > since
                && (node.has_shut_down() || now.steady >= since + SHUTDOWN_TIMEOUT)
            {
                return Ok(());
            }
        }
        // Answers may bring new inputs at once, so until nothing is left.
        loop {
            let mut at = now.steady;
            let mut took = |spent: &mut LoopTiming, work| {
                let then = clock.now().steady;
                spent.add(work, then - at);
                at = then;
            };
            while let Some(input) = net.next_urgent() {
                node.handle(now, input);
            }
            took(&mut spent, LoopPhase::Requests);
            for _ in 0..HEARTBEATS_PER_TURN {
                let Some(input) = net.next_input() else { break };
                node.handle(now, input);
            }
            took(&mut spent, LoopPhase::Heartbeats);
            // What was taken just now, and what still waits, has waited since.
            let before = clock.now();
            net.set_now(before.steady);
            load.record_wait(
                before.steady,
                net.longest_wait().max(before.steady - looked),
            );
            net.set_shed_level(load.shed_level(), load.retry_after(0));
            load.connection_pressure = net.connection_pressure();
            node.update_load(load);
            now = before;
            let outputs = node.tick(now);
            net.set_isolated(node.is_isolated());
            took(&mut spent, LoopPhase::Internal);
            node.record_tick_duration(clock.now().steady - before.steady);
            if let Some(reason) = node.fatal_error() {
                return Err(reason.to_owned());
            }
            let more = net.has_input();
            if outputs.is_empty() && !more {
                break;
            }
            for output in outputs {
                net.perform(output);
            }
            took(&mut spent, LoopPhase::Sending);
            if more {
                // What is urgent may have come in meanwhile.
                event_loop
                    .dispatch(Some(Duration::ZERO), &mut net)
                    .map_err(|e| format!("event loop: {e}"))?;
                took(&mut spent, LoopPhase::Sockets);
            }
            now = clock.now();
            net.set_now(now.steady);
            if more {
                load.record_wait(now.steady, now.steady - looked);
                looked = now.steady;
            }
            net.expire();
        }
        if let Some(line) = spent.take_log_line(now.steady) {
            let traffic = std::mem::take(&mut net.traffic);
            log::info!(
                "time: {line}; {traffic}; {} users refused",
                net.refused_requests
            );
        }
        let wake = net
            .next_deadline()
            .map_or(node.wake_at(), |d| d.min(node.wake_at()));
        let mut wait = wake.saturating_sub(now.steady).max(MILLISECOND / 2);
        let events = net.traffic.events;
        if leaving.is_some() {
            wait = wait.min(20 * MILLISECOND);
        }
        event_loop
            .dispatch(Some(Duration::from_micros(wait)), &mut net)
            .map_err(|e| format!("event loop: {e}"))?;
        looked = looked.max(clock.now().steady);
        spent.record_iteration(net.traffic.events == events);
    }
}
