//! The platform's settings file (TOML) and the operators' own properties file.

use crate::cancellation_freshness::{cancellation_slack, cancellation_slack_min_s};
use crate::clock::{MILLISECOND, Micros, SECOND, from_secs};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    #[error("settings {path}: {reason}")]
    File { path: String, reason: String },
    #[error("settings field `{field}`: {expected}")]
    Field {
        field: &'static str,
        expected: String,
    },
    #[error("property `{name}`: {expected}")]
    Property { name: String, expected: String },
}

#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    #[serde(rename = "label")]
    pub name: String,
    #[serde(rename = "domain")]
    pub zone: String,
    pub listen: SocketAddr,
    #[serde(rename = "cluster_listen")]
    pub peer_listen: SocketAddr,
    #[serde(default)]
    #[serde(rename = "others")]
    pub peers: Vec<Peer>,
    #[serde(rename = "endpoints")]
    pub services: Endpoints,
    #[serde(rename = "settings")]
    pub deployment: Deployment,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Peer {
    #[serde(rename = "label")]
    pub name: String,
    #[serde(default)]
    #[serde(rename = "domain")]
    pub zone: String,
    #[serde(rename = "endpoint")]
    pub address: SocketAddr,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Endpoints {
    pub cloud: SocketAddr,
    pub state: SocketAddr,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Deployment {
    #[serde(default)]
    pub zones: Vec<String>,
    /// The time of day stays within this of true time.
    #[serde(default = "default_time_bound")]
    #[serde(rename = "time_bound_ms")]
    pub clock_offset_max_ms: f64,
    #[serde(default)]
    pub teams: Vec<Team>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: WorkerLimits,
    pub state: StateLimits,
    pub cloud: CloudLimits,
    #[serde(rename = "machine_limits")]
    pub process_limits: MachineLimits,
}

fn default_time_bound() -> f64 {
    1000.0
}

#[derive(Clone, Debug, Deserialize)]
pub struct Team {
    pub name: String,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

/// What the users expect of a class of jobs.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    pub kind: String,
    #[serde(default)]
    pub class: Option<String>,
    #[serde(default)]
    pub within_s: Option<f64>,
    #[serde(default)]
    pub times: Option<f64>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct WorkerLimits {
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct StateLimits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    /// What will hold from some moment on, without notice.
    #[serde(default)]
    pub next: Option<NextLimits>,
}

/// Limits to come; what is absent stays as it is.
#[derive(Clone, Debug, Deserialize)]
pub struct NextLimits {
    #[serde(default)]
    pub rps: Option<f64>,
    #[serde(default)]
    pub write_rps: Option<f64>,
    #[serde(default)]
    pub value_kb: Option<f64>,
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StateLimits {
    /// The tighter of what holds now and what will hold.
    pub fn tightest(&self) -> StateLimits {
        let mut tight = self.clone();
        if let Some(n) = tight.next.take() {
            tight.rps = n.rps.map_or(self.rps, |x| x.min(self.rps));
            tight.write_rps = n
                .write_rps
                .map_or(self.write_rps, |x| x.min(self.write_rps));
            tight.value_kb = n.value_kb.map_or(self.value_kb, |x| x.min(self.value_kb));
            tight.txn_ops = n.txn_ops.map_or(self.txn_ops, |x| x.min(self.txn_ops));
        }
        tight
    }

    /// The largest value that the state service takes.
    pub fn value_bytes(&self) -> usize {
        (self.value_kb * 1024.0) as usize
    }
}

#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    pub rps: f64,
    pub list_lag_s: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct MachineLimits {
    pub max_connections: usize,
    /// The share of one core; told by the platform, and only checked here: what a node can take on is
    /// learned from how far it falls behind.
    #[serde(default)]
    pub cpu_share: Option<f64>,
    /// Megabytes that the process may hold.
    #[serde(default)]
    #[serde(rename = "ram_mb")]
    pub memory_mb: Option<f64>,
}

impl Settings {
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let file = |reason: String| SettingsError::File {
            path: path.display().to_string(),
            reason,
        };
        let text = std::fs::read_to_string(path).map_err(|e| file(e.to_string()))?;
        Self::parse(&text).map_err(|e| match e {
            SettingsError::File { reason, .. } => file(reason),
            other => other,
        })
    }

    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Settings = toml::from_str(text).map_err(|e| SettingsError::File {
            path: String::new(),
            // One line: which field, and what is expected of it.
            reason: e.to_string().replace('\n', " "),
        })?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
        let s = &self.deployment;
        let positive = [
            ("settings.workers.report_s", s.workers.report_s),
            ("settings.workers.lease_s", s.workers.lease_s),
            ("settings.workers.cancel_s", s.workers.cancel_s),
            ("settings.state.rps", s.state.rps),
            ("settings.state.write_rps", s.state.write_rps),
            ("settings.state.value_kb", s.state.value_kb),
            ("settings.cloud.rps", s.cloud.rps),
        ];
        for (field, value) in positive {
            if !value.is_finite() || value <= 0.0 {
                return Err(field_error(field, "expected a number above 0"));
            }
        }
        if !s.cloud.list_lag_s.is_finite() || s.cloud.list_lag_s < 0.0 {
            return Err(field_error(
                "settings.cloud.list_lag_s",
                "expected 0 or more",
            ));
        }
        if !s.clock_offset_max_ms.is_finite() || s.clock_offset_max_ms < 0.0 {
            return Err(field_error("settings.time_bound_ms", "expected 0 or more"));
        }
        if s.state.txn_ops < 2 {
            return Err(field_error("settings.state.txn_ops", "expected 2 or more"));
        }
        if let Some(next) = &s.state.next {
            let positive = [
                ("settings.state.next.rps", next.rps),
                ("settings.state.next.write_rps", next.write_rps),
                ("settings.state.next.value_kb", next.value_kb),
            ];
            for (field, value) in positive {
                if value.is_some_and(|v| !v.is_finite() || v <= 0.0) {
                    return Err(field_error(field, "expected a number above 0"));
                }
            }
            // A job's end takes two changes, beside those that remove its pieces.
            if next.txn_ops.is_some_and(|n| n < 2) {
                return Err(field_error(
                    "settings.state.next.txn_ops",
                    "expected 2 or more",
                ));
            }
        }
        let limits = [
            (
                "settings.machine_limits.cpu_share",
                s.process_limits.cpu_share,
            ),
            ("settings.machine_limits.ram_mb", s.process_limits.memory_mb),
        ];
        for (field, value) in limits {
            if value.is_some_and(|v| !v.is_finite() || v <= 0.0) {
                return Err(field_error(field, "expected a number above 0"));
            }
        }
        if s.process_limits.max_connections < 64 {
            return Err(field_error(
                "settings.machine_limits.max_connections",
                "expected 64 or more",
            ));
        }
        if self.name.is_empty() || self.name.len() > 64 {
            return Err(field_error("label", "expected 1 to 64 bytes"));
        }
        if self.peers.iter().any(|p| p.name == self.name) {
            return Err(field_error(
                "others",
                "a node must not name itself among the others",
            ));
        }
        for team in &s.teams {
            let amounts = [team.cpus, team.cpus_max, team.gpus, team.gpus_max];
            if amounts.iter().any(|a| !a.is_finite() || *a < 0.0) {
                return Err(field_error(
                    "settings.teams",
                    "expected amounts of 0 or more",
                ));
            }
        }
        Ok(())
    }

    pub fn lease(&self) -> Micros {
        from_secs(self.deployment.workers.lease_s)
    }

    /// How long after a confirmed cancellation the job's tasks may still be there.
    pub fn cancel(&self) -> Micros {
        from_secs(self.deployment.workers.cancel_s)
    }

    pub fn report_period(&self) -> Micros {
        from_secs(self.deployment.workers.report_s)
    }

    /// What can be served only in part, in one line that says what to change.
    pub fn warning(&self) -> Option<String> {
        let w = &self.deployment.workers;
        cancellation_slack(self.lease(), self.cancel()).is_none().then(|| {
            format!(
                "settings.workers.cancel_s = {} leaves nothing beyond settings.workers.lease_s = {}: tasks of a \
                 cancelled job on a machine that can't be reached may outlive cancel_s; set cancel_s at least {} s \
                 above lease_s",
                w.cancel_s, w.lease_s, cancellation_slack_min_s(self.lease())
            )
        })
    }

    pub fn team(&self, name: &str) -> Option<&Team> {
        self.deployment.teams.iter().find(|t| t.name == name)
    }
}

fn field_error(field: &'static str, expected: &str) -> SettingsError {
    SettingsError::Field {
        field,
        expected: expected.to_owned(),
    }
}

/// The operators' own settings, with their defaults.
#[derive(Clone, Debug)]
pub struct Properties {
    /// Evaporation of pheromone per round (ρ).
    pub evaporation: f64,
    /// Exponent of the fairness weight (β).
    pub fairness_exponent: f64,
    /// Length of a deposit round.
    pub round: Micros,
    /// How long the leader's grant lasts without renewal, at most and at least.
    pub leader_ttl: Micros,
    pub leader_ttl_min: Micros,
    /// A rented machine that stood idle this long is returned.
    pub idle_return: Micros,
    /// Whether this controller follows the leader when it is its turn.
    pub follow: bool,
    /// Seed of the draws; 0 takes one from the time of day.
    pub seed: u64,
}

impl Default for Properties {
    fn default() -> Self {
        Self {
            evaporation: 0.5,
            fairness_exponent: 0.2,
            round: 10 * SECOND,
            leader_ttl: 3 * SECOND,
            leader_ttl_min: 1_500 * MILLISECOND,
            idle_return: 600 * SECOND,
            follow: true,
            seed: 0,
        }
    }
}

impl Properties {
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let file = |reason: String| SettingsError::File {
            path: path.display().to_string(),
            reason,
        };
        let f = std::fs::File::open(path).map_err(|e| file(e.to_string()))?;
        let map =
            java_properties::read(std::io::BufReader::new(f)).map_err(|e| file(e.to_string()))?;
        Self::from_pairs(&map)
    }

    /// From names and values; the first that is wrong is named.
    pub fn from_pairs<'a>(
        pairs: impl IntoIterator<Item = (&'a String, &'a String)>,
    ) -> Result<Self, SettingsError> {
        let mut p = Self::default();
        for (name, value) in pairs {
            let within = |low: f64, high: f64| {
                value
                    .trim()
                    .parse::<f64>()
                    .ok()
                    .filter(|v| (low..=high).contains(v))
                    .ok_or_else(|| SettingsError::Property {
                        name: name.clone(),
                        expected: format!("expected a number from {low} to {high}, not `{value}`"),
                    })
            };
            match name.as_str() {
                "scheduler.evaporation" => p.evaporation = within(0.0, 1.0)?,
                "scheduler.fairness-exponent" => p.fairness_exponent = within(0.0, 10.0)?,
                "scheduler.round-seconds" => p.round = from_secs(within(0.1, 3600.0)?),
                "scheduler.seed" => p.seed = within(0.0, 9e15)? as u64,
                "standby.follow" => p.follow = within(0.0, 1.0)? > 0.0,
                "leader.ttl-seconds" => p.leader_ttl = from_secs(within(1.0, 600.0)?),
                "leader.ttl-min-seconds" => p.leader_ttl_min = from_secs(within(1.0, 600.0)?),
                "cloud.idle-return-seconds" => p.idle_return = from_secs(within(1.0, 1e6)?),
                _ => {
                    return Err(SettingsError::Property {
                        name: name.clone(),
                        expected: "no such property; see README, Settings".to_owned(),
                    });
                }
            }
        }
        Ok(p)
    }
}
