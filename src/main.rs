//! The controller program: command line, settings, logging, and the event loop that drives the library.

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

/// Parsing heartbeats allocates many small strings and lists: with the C library's allocator, a leader spends a seventh
/// of its processor time on allocation.
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

/// The longest time that a process stays up after SIGTERM to step down as leader.
const SHUTDOWN_TIMEOUT: Micros = SECOND;

/// The most heartbeats handled before the sockets are polled again.
const HEARTBEATS_PER_ITERATION: usize = 32;

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
    // The steady clock counts from the start of the process.
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

/// A 52-bit number that identifies this incarnation of the process among all incarnations of all controllers. The time
/// of day alone does not: a restarted process may see the same time as its predecessor when the clock is set back.
fn incarnation_id(controller: &str, wall: Micros) -> u64 {
    // Without random numbers from the kernel, the controller's name, the time and the process id have to suffice.
    let random = rand::rngs::SmallRng::try_from_os_rng().map_or(0, |mut r| r.random::<u64>());
    let identity = format!("{controller}/{wall}/{}/{random}", std::process::id());
    xxhash_rust::xxh3::xxh3_64(identity.as_bytes()) >> 12
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
    let incarnation = incarnation_id(&settings.name, now.wall);
    dewramp::seeded_hash::set_seed(incarnation);
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
    log::info!("controller starting name={}", settings.name);
    let mut controller = Controller::new(settings, props, incarnation);
    let mut load = LoadMonitor::default();
    let mut timing = LoopTiming::default();
    // If the handler can't be registered, SIGTERM ends the process without stepping down as leader.
    let termination_requested = Arc::new(AtomicBool::new(false));
    let _ =
        signal_hook::flag::register(signal_hook::consts::SIGTERM, termination_requested.clone());
    let mut shutdown_started_at: Option<Micros> = None;
    // When the sockets were last polled: anything that has arrived since then is waiting.
    let mut last_polled_at = now.steady;
    loop {
        let mut now = clock.now();
        net.set_now(now.steady);
        net.expire();
        if termination_requested.load(Ordering::Relaxed) {
            if shutdown_started_at.is_none() {
                controller.shut_down(now);
            }
            let since = *shutdown_started_at.get_or_insert(now.steady);
            if now.steady > since
                && (controller.has_shut_down() || now.steady >= since + SHUTDOWN_TIMEOUT)
            {
                return Ok(());
            }
        }
        // Sending outputs may produce new inputs at once, so repeat until none are left.
        loop {
            let mut phase_start = now.steady;
            let mut record_phase = |timing: &mut LoopTiming, phase| {
                let end = clock.now().steady;
                timing.add(phase, end - phase_start);
                phase_start = end;
            };
            while let Some(input) = net.next_urgent() {
                controller.handle(now, input);
            }
            record_phase(&mut timing, LoopPhase::Requests);
            for _ in 0..HEARTBEATS_PER_ITERATION {
                let Some(input) = net.next_input() else { break };
                controller.handle(now, input);
            }
            record_phase(&mut timing, LoopPhase::Heartbeats);
            // Inputs handled just now, or still queued, may have waited since the sockets were last polled.
            let before = clock.now();
            net.set_now(before.steady);
            load.record_wait(
                before.steady,
                net.longest_wait().max(before.steady - last_polled_at),
            );
            net.set_shed_level(load.shed_level(), load.retry_after(0));
            load.connection_pressure = net.connection_pressure();
            controller.update_load(load);
            now = before;
            let outputs = controller.tick(now);
            net.set_isolated(controller.is_isolated());
            record_phase(&mut timing, LoopPhase::Internal);
            controller.record_tick_duration(clock.now().steady - before.steady);
            if let Some(reason) = controller.fatal_error() {
                return Err(reason.to_owned());
            }
            let more = net.has_input();
            if outputs.is_empty() && !more {
                break;
            }
            for output in outputs {
                net.perform(output);
            }
            record_phase(&mut timing, LoopPhase::Sending);
            if more {
                // Urgent inputs may have arrived meanwhile.
                event_loop
                    .dispatch(Some(Duration::ZERO), &mut net)
                    .map_err(|e| format!("event loop: {e}"))?;
                record_phase(&mut timing, LoopPhase::Sockets);
            }
            now = clock.now();
            net.set_now(now.steady);
            if more {
                load.record_wait(now.steady, now.steady - last_polled_at);
                last_polled_at = now.steady;
            }
            net.expire();
        }
        if let Some(line) = timing.take_log_line(now.steady) {
            let traffic = std::mem::take(&mut net.traffic);
            log::info!(
                "time: {line}; {traffic}; {} users refused",
                net.refused_requests
            );
        }
        let wake = net
            .next_deadline()
            .map_or(controller.wake_at(), |d| d.min(controller.wake_at()));
        let mut wait = wake.saturating_sub(now.steady).max(MILLISECOND / 2);
        let events = net.traffic.events;
        if shutdown_started_at.is_some() {
            wait = wait.min(20 * MILLISECOND);
        }
        event_loop
            .dispatch(Some(Duration::from_micros(wait)), &mut net)
            .map_err(|e| format!("event loop: {e}"))?;
        last_polled_at = last_polled_at.max(clock.now().steady);
        timing.record_iteration(net.traffic.events == events);
    }
}
