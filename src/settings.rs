//! The configuration of a controller: the platform's settings file (TOML), and the operators' properties file.
//!
//! This module defines the names in both files, the defaults, and the validation. Each value is validated once, when it
//! is loaded; the rest of the program relies on that. Both files are read only at startup.

use crate::cancellation_freshness::{cancellation_slack, cancellation_slack_min_s};
use crate::clock::{MILLISECOND, Micros, SECOND, from_secs};
use serde::Deserialize;
use std::fmt::Display;
use std::net::SocketAddr;
use std::path::Path;

/// The fewest connections that a controller can work with.
const CONNECTIONS_MIN: usize = 64;
/// The smallest supported limit on changes per store transaction: storing the final state of a job takes two, besides
/// those that delete its chunks.
const TXN_OPS_MIN: usize = 2;
/// The longest name of a controller, in bytes.
const NAME_BYTES_MAX: usize = 64;
/// Default of [`Deployment::clock_offset_max_ms`].
const DEFAULT_CLOCK_OFFSET_MAX_MS: f64 = 1000.0;

/// An invalid settings or properties file: where the error is, and what is expected there.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// A file cannot be read or parsed.
    #[error("settings {path}: {reason}")]
    File {
        /// Path of the file.
        path: String,
        /// The cause, in one line.
        reason: String,
    },
    /// A field of the settings file is out of its range.
    #[error("settings field `{field}`: {expected}")]
    Field {
        /// Full name of the field, including the tables that contain it.
        field: &'static str,
        /// What its value must be.
        expected: String,
    },
    /// A property is unknown, or its value is out of its range.
    #[error("property `{name}`: {expected}")]
    Property {
        /// Name of the property.
        name: String,
        /// What its value must be.
        expected: String,
    },
}

/// The platform's settings of one controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// Name of the controller.
    #[serde(rename = "label")]
    pub name: String,
    /// Zone that the controller is in.
    #[serde(rename = "domain")]
    pub zone: String,
    /// Address for HTTP requests of clients, operators and agents.
    pub listen: SocketAddr,
    /// Address for frames from other controllers.
    #[serde(rename = "cluster_listen")]
    pub peer_listen: SocketAddr,
    /// The other controllers.
    #[serde(rename = "others", default)]
    pub peers: Vec<Peer>,
    /// Addresses of the services that it uses.
    #[serde(rename = "endpoints")]
    pub services: Endpoints,
    /// Settings of the whole deployment, the same for all controllers.
    #[serde(rename = "settings")]
    pub deployment: Deployment,
}

/// Another controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Peer {
    /// Its name.
    #[serde(rename = "label")]
    pub name: String,
    /// Zone that it is in.
    #[serde(rename = "domain", default)]
    pub zone: String,
    /// Address for frames from other controllers.
    #[serde(rename = "endpoint")]
    pub address: SocketAddr,
}

/// Addresses of the services that a controller uses.
#[derive(Clone, Debug, Deserialize)]
pub struct Endpoints {
    /// Address of the cloud provider.
    pub cloud: SocketAddr,
    /// Address of the state service, a key-value store.
    pub state: SocketAddr,
}

/// Settings of the whole deployment.
#[derive(Clone, Debug, Deserialize)]
pub struct Deployment {
    /// The zones with machines.
    #[serde(default)]
    pub zones: Vec<String>,
    /// The largest deviation of a controller's time of day from true time, in milliseconds.
    #[serde(rename = "time_bound_ms", default = "default_clock_offset_max_ms")]
    pub clock_offset_max_ms: f64,
    /// The teams with their guaranteed and maximum resources.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Service-level objectives of the classes of jobs.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Timing of worker agents.
    pub workers: WorkerTiming,
    /// The limits of the key-value store.
    pub state: StateLimits,
    /// The limits of the cloud provider.
    pub cloud: CloudLimits,
    /// The limits of the machine that a controller runs on.
    #[serde(rename = "machine_limits")]
    pub process_limits: ProcessLimits,
}

fn default_clock_offset_max_ms() -> f64 {
    DEFAULT_CLOCK_OFFSET_MAX_MS
}

/// A team with its guaranteed and its maximum resources. A maximum of 0 means no limit.
#[derive(Clone, Debug, Deserialize)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// Guaranteed cores.
    #[serde(default)]
    pub cpus: f64,
    /// Maximum of cores.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed accelerators.
    #[serde(default)]
    pub gpus: f64,
    /// Maximum of accelerators.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service-level objective of a class of jobs.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    /// What the objective bounds: `wait`, `guarantee`, `deadline` or `finished`.
    pub kind: String,
    /// The class; absent for a `guarantee`, which holds for jobs of all classes.
    #[serde(default)]
    pub class: Option<String>,
    /// The target time, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// For `deadline`: the target time, as a multiple of the job's own deadline.
    #[serde(default)]
    pub times: Option<f64>,
}

/// Timing of worker agents.
#[derive(Clone, Debug, Deserialize)]
pub struct WorkerTiming {
    /// The time between two heartbeats of a worker, in seconds.
    #[serde(rename = "report_s")]
    pub heartbeat_period_s: f64,
    /// TTL of a worker's lease in seconds, counted from the sending of the last heartbeat that was answered. The worker
    /// ends its tasks when the lease expires.
    pub lease_s: f64,
    /// The longest time that tasks of a job may remain on machines after its cancellation was confirmed, in seconds.
    pub cancel_s: f64,
}

/// The limits of the key-value store.
#[derive(Clone, Debug, Deserialize)]
pub struct StateLimits {
    /// Requests per second, of all controllers together.
    pub rps: f64,
    /// Changes of keys per second, of all controllers together.
    pub write_rps: f64,
    /// The largest value, in kilobytes of 1024 bytes.
    pub value_kb: f64,
    /// The most changes of a transaction.
    pub txn_ops: usize,
    /// Limits that will replace these at some time, without further notice.
    #[serde(default)]
    pub next: Option<NextLimits>,
}

/// Future limits of the key-value store; an absent field leaves the limit of [`StateLimits`] unchanged.
#[derive(Clone, Debug, Deserialize)]
pub struct NextLimits {
    /// Requests per second.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Changes of keys per second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// The largest value, in kilobytes of 1024 bytes.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// The most changes of a transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StateLimits {
    /// For each limit, the smaller of its current and its future value.
    pub fn tightest(&self) -> StateLimits {
        let mut tightest = self.clone();
        if let Some(next) = tightest.next.take() {
            tightest.rps = next.rps.map_or(self.rps, |rps| rps.min(self.rps));
            tightest.write_rps = next
                .write_rps
                .map_or(self.write_rps, |write_rps| write_rps.min(self.write_rps));
            tightest.value_kb = next
                .value_kb
                .map_or(self.value_kb, |value_kb| value_kb.min(self.value_kb));
            tightest.txn_ops = next
                .txn_ops
                .map_or(self.txn_ops, |txn_ops| txn_ops.min(self.txn_ops));
        }
        tightest
    }

    /// The largest value that the store takes, in bytes.
    pub fn value_bytes(&self) -> usize {
        (self.value_kb * 1024.0) as usize
    }
}

/// The limits of the cloud provider.
#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    /// Calls per second, of all controllers together.
    pub rps: f64,
    /// The largest delay after which a change appears in the list of machines, in seconds.
    pub list_lag_s: f64,
}

/// The limits of the machine that a controller runs on.
#[derive(Clone, Debug, Deserialize)]
pub struct ProcessLimits {
    /// The most open connections.
    pub max_connections: usize,
    /// The controller's share of one core. Validated but not used otherwise: load shedding depends on the measured lag of
    /// the event loop.
    #[serde(default)]
    pub cpu_share: Option<f64>,
    /// The memory that the process may hold, in megabytes.
    #[serde(rename = "ram_mb", default)]
    pub memory_mb: Option<f64>,
}

impl Settings {
    /// Loads and validates a settings file.
    ///
    /// # Errors
    ///
    /// If the file cannot be read or parsed, or a field is out of its range. The error names the first such field.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|error| file_error(path, error))?;
        Self::parse(&text).map_err(|error| match error {
            SettingsError::File { reason, .. } => file_error(path, reason),
            other => other,
        })
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// If the text cannot be parsed, or a field is out of its range. The error names the first such field.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Settings = toml::from_str(text).map_err(|error| SettingsError::File {
            path: String::new(),
            // Keeps the error message on one line.
            reason: error.to_string().replace('\n', " "),
        })?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
        self.deployment.check_rates()?;
        self.deployment.state.check_next()?;
        self.deployment.process_limits.check()?;
        if self.name.is_empty() || self.name.len() > NAME_BYTES_MAX {
            let expected = format!("expected 1 to {NAME_BYTES_MAX} bytes");
            return Err(field_error("label", expected));
        }
        if self.peers.iter().any(|peer| peer.name == self.name) {
            return Err(field_error(
                "others",
                "a node must not name itself among the others",
            ));
        }
        for team in &self.deployment.teams {
            let amounts = [team.cpus, team.cpus_max, team.gpus, team.gpus_max];
            if !amounts.iter().all(|amount| is_not_negative(*amount)) {
                return Err(field_error(
                    "settings.teams",
                    "expected amounts of 0 or more",
                ));
            }
        }
        Ok(())
    }

    /// TTL of a worker's lease, counted from the sending of the last heartbeat that was answered.
    pub fn worker_lease(&self) -> Micros {
        from_secs(self.deployment.workers.lease_s)
    }

    /// The longest time that tasks of a job may remain on machines after its cancellation was confirmed.
    pub fn cancellation_deadline(&self) -> Micros {
        from_secs(self.deployment.workers.cancel_s)
    }

    /// The time between two heartbeats of a worker.
    pub fn heartbeat_period(&self) -> Micros {
        from_secs(self.deployment.workers.heartbeat_period_s)
    }

    /// A warning about a guarantee that these settings make impossible, in one line that says what to change.
    pub fn warning(&self) -> Option<String> {
        let limits = &self.deployment.workers;
        if cancellation_slack(self.worker_lease(), self.cancellation_deadline()).is_some() {
            return None;
        }
        Some(format!(
            "settings.workers.cancel_s = {} leaves nothing beyond settings.workers.lease_s = {}: tasks of a \
             cancelled job on a machine that can't be reached may outlive cancel_s; set cancel_s at least {} s \
             above lease_s",
            limits.cancel_s,
            limits.lease_s,
            cancellation_slack_min_s(self.worker_lease())
        ))
    }

    /// The team with this name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        let mut teams = self.deployment.teams.iter();
        teams.find(|team| team.name == name)
    }
}

impl Deployment {
    fn check_rates(&self) -> Result<(), SettingsError> {
        check_positive("settings.workers.report_s", self.workers.heartbeat_period_s)?;
        check_positive("settings.workers.lease_s", self.workers.lease_s)?;
        check_positive("settings.workers.cancel_s", self.workers.cancel_s)?;
        check_positive("settings.state.rps", self.state.rps)?;
        check_positive("settings.state.write_rps", self.state.write_rps)?;
        check_positive("settings.state.value_kb", self.state.value_kb)?;
        check_positive("settings.cloud.rps", self.cloud.rps)?;
        check_not_negative("settings.cloud.list_lag_s", self.cloud.list_lag_s)?;
        check_not_negative("settings.time_bound_ms", self.clock_offset_max_ms)?;
        check_at_least("settings.state.txn_ops", self.state.txn_ops, TXN_OPS_MIN)
    }
}

impl StateLimits {
    fn check_next(&self) -> Result<(), SettingsError> {
        let Some(next) = &self.next else {
            return Ok(());
        };
        check_positive_if_set("settings.state.next.rps", next.rps)?;
        check_positive_if_set("settings.state.next.write_rps", next.write_rps)?;
        check_positive_if_set("settings.state.next.value_kb", next.value_kb)?;
        match next.txn_ops {
            Some(txn_ops) => check_at_least("settings.state.next.txn_ops", txn_ops, TXN_OPS_MIN),
            None => Ok(()),
        }
    }
}

impl ProcessLimits {
    fn check(&self) -> Result<(), SettingsError> {
        check_positive_if_set("settings.machine_limits.cpu_share", self.cpu_share)?;
        check_positive_if_set("settings.machine_limits.ram_mb", self.memory_mb)?;
        check_at_least(
            "settings.machine_limits.max_connections",
            self.max_connections,
            CONNECTIONS_MIN,
        )
    }
}

fn is_not_negative(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

fn check_positive(field: &'static str, value: f64) -> Result<(), SettingsError> {
    if value.is_finite() && value > 0.0 {
        return Ok(());
    }
    Err(field_error(field, "expected a number above 0"))
}

fn check_positive_if_set(field: &'static str, value: Option<f64>) -> Result<(), SettingsError> {
    value.map_or(Ok(()), |value| check_positive(field, value))
}

fn check_not_negative(field: &'static str, value: f64) -> Result<(), SettingsError> {
    if is_not_negative(value) {
        return Ok(());
    }
    Err(field_error(field, "expected 0 or more"))
}

fn check_at_least(field: &'static str, value: usize, least: usize) -> Result<(), SettingsError> {
    if value >= least {
        return Ok(());
    }
    Err(field_error(field, format!("expected {least} or more")))
}

fn field_error(field: &'static str, expected: impl Into<String>) -> SettingsError {
    SettingsError::Field {
        field,
        expected: expected.into(),
    }
}

fn file_error(path: &Path, reason: impl Display) -> SettingsError {
    SettingsError::File {
        path: path.display().to_string(),
        reason: reason.to_string(),
    }
}

/// The operators' properties.
#[derive(Clone, Debug)]
pub struct Properties {
    /// Share of the pheromone that evaporates in each round (ρ), 0 to 1.
    pub evaporation: f64,
    /// Exponent of the fairness weight in the order of jobs (β).
    pub fairness_exponent: f64,
    /// Length of a pheromone round, at whose end pheromone evaporates and is deposited.
    pub pheromone_round: Micros,
    /// The longest TTL of the leader's lease.
    pub leader_ttl: Micros,
    /// The shortest TTL of the leader's lease.
    pub leader_ttl_min: Micros,
    /// A rented machine is released after it has been idle for this long.
    pub idle_release_timeout: Micros,
    /// Whether this controller may replicate the leader's state as a standby.
    pub may_be_standby: bool,
    /// Seed of the scheduler's random numbers; 0 takes the incarnation id of the process, which differs on each start.
    pub seed: u64,
}

impl Default for Properties {
    fn default() -> Self {
        Self {
            evaporation: 0.5,
            fairness_exponent: 0.2,
            pheromone_round: 10 * SECOND,
            leader_ttl: 3 * SECOND,
            leader_ttl_min: 1_500 * MILLISECOND,
            idle_release_timeout: 600 * SECOND,
            may_be_standby: true,
            seed: 0,
        }
    }
}

impl Properties {
    /// Loads and validates a properties file.
    ///
    /// # Errors
    ///
    /// If the file cannot be read or parsed, or a property is unknown or out of its range.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let file = std::fs::File::open(path).map_err(|error| file_error(path, error))?;
        let pairs = java_properties::read(std::io::BufReader::new(file))
            .map_err(|error| file_error(path, error))?;
        Self::from_pairs(&pairs)
    }

    /// Builds the properties from names and values.
    ///
    /// # Errors
    ///
    /// If a property is unknown or out of its range. The error names the first such property.
    pub fn from_pairs<'a>(
        pairs: impl IntoIterator<Item = (&'a String, &'a String)>,
    ) -> Result<Self, SettingsError> {
        let mut properties = Self::default();
        for (name, value) in pairs {
            properties.set(name, value)?;
        }
        Ok(properties)
    }

    fn set(&mut self, name: &str, value: &str) -> Result<(), SettingsError> {
        let number = |low: f64, high: f64| parse_number(name, value, low, high);
        match name {
            "scheduler.evaporation" => self.evaporation = number(0.0, 1.0)?,
            "scheduler.fairness-exponent" => self.fairness_exponent = number(0.0, 10.0)?,
            "scheduler.round-seconds" => self.pheromone_round = from_secs(number(0.1, 3600.0)?),
            "scheduler.seed" => self.seed = number(0.0, 9e15)? as u64,
            "standby.follow" => self.may_be_standby = number(0.0, 1.0)? > 0.0,
            "leader.ttl-seconds" => self.leader_ttl = from_secs(number(1.0, 600.0)?),
            "leader.ttl-min-seconds" => self.leader_ttl_min = from_secs(number(1.0, 600.0)?),
            "cloud.idle-return-seconds" => self.idle_release_timeout = from_secs(number(1.0, 1e6)?),
            _ => {
                let expected = "no such property; see README, Settings".to_owned();
                return Err(property_error(name, expected));
            }
        }
        Ok(())
    }
}

fn parse_number(name: &str, value: &str, low: f64, high: f64) -> Result<f64, SettingsError> {
    let number = value.trim().parse::<f64>().ok();
    number
        .filter(|number| (low..=high).contains(number))
        .ok_or_else(|| {
            let expected = format!("expected a number from {low} to {high}, not `{value}`");
            property_error(name, expected)
        })
}

fn property_error(name: &str, expected: String) -> SettingsError {
    SettingsError::Property {
        name: name.to_owned(),
        expected,
    }
}
