//! The description of a job as a user submits it, with its validation.

use serde::{Deserialize, Deserializer, Serialize};
use serde_json::Value;
use std::sync::Arc;

/// The most tasks of a job.
const TASKS_PER_JOB_MAX: u64 = 100_000;
/// The largest accepted value of an amount (cores, gigabytes) or a time (seconds).
const AMOUNT_MAX: f64 = 1e9;
/// The longest name of a class, a team or an image, in bytes.
const NAME_BYTES_MAX: usize = 200;
/// Prefix of every job id.
const UID_PREFIX: &str = "wk-";
/// The most characters of a job's id after its prefix.
const UID_CHARS_MAX: usize = 60;

/// Why a submission is rejected. The text is sent to the user and refers to fields by their names on the wire.
#[derive(Debug, thiserror::Error)]
pub enum JobSpecError {
    /// The body is not JSON.
    #[error("not JSON: {0}")]
    NotJson(serde_json::Error),
    /// The body is JSON, but not an object.
    #[error("expected a JSON object")]
    NotAnObject,
    /// A field is missing, or has a value of another type.
    #[error(transparent)]
    WrongType(serde_json::Error),
    /// A field's value is out of its range.
    #[error("{field}: {expected}")]
    InvalidField {
        /// Name of the field on the wire.
        field: &'static str,
        /// What its value must be.
        expected: String,
    },
}

fn invalid_field(field: &'static str, expected: impl Into<String>) -> JobSpecError {
    JobSpecError::InvalidField {
        field,
        expected: expected.into(),
    }
}

/// A job's priority; the last variant is the highest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Runs on capacity that no other job needs.
    Low,
    /// Ordinary priority.
    Normal,
    /// Takes precedence over jobs of normal priority.
    High,
    /// Takes precedence over all other jobs.
    Production,
}

/// How a job's tasks depend on each other and when they end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobKind {
    /// Independent tasks, each of which runs to completion.
    Array,
    /// Tasks that run to completion at the same time; either all of them are started or none (gang scheduling).
    #[serde(rename = "group")]
    Gang,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "daemon")]
    Service,
}

/// The description of a job as its user submits it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The job's id, chosen by the user; [`is_valid_uid`] defines its form.
    pub uid: Arc<str>,
    /// The class of jobs that it belongs to; the settings define objectives per class.
    #[serde(rename = "herd")]
    pub class: Arc<str>,
    /// The team whose guaranteed and maximum resources apply to it.
    #[serde(rename = "owner")]
    pub team: Arc<str>,
    /// Kind of the job.
    #[serde(rename = "shape")]
    pub kind: JobKind,
    /// Priority of the job.
    #[serde(rename = "urgency")]
    pub priority: Priority,
    /// Number of tasks; their indexes start at 0.
    #[serde(rename = "parts")]
    pub tasks: u64,
    /// Cores per task.
    pub cores: f64,
    /// Accelerators per task.
    pub accelerators: f64,
    /// Memory per task, in gigabytes.
    #[serde(rename = "memGb")]
    pub memory_gb: f64,
    /// The image that a machine must have before a task can start.
    #[serde(rename = "bundle")]
    pub image: Arc<str>,
    /// Size of the image, in gigabytes.
    #[serde(rename = "sizeGb")]
    pub image_gb: f64,
    /// The allowed machine types; `None` allows all.
    #[serde(rename = "builds", default)]
    pub types: Option<Vec<String>>,
    /// The only allowed zone; `None` allows all.
    #[serde(rename = "paddock", default)]
    pub zone: Option<String>,
    /// Whether all tasks must be placed in the same zone.
    #[serde(rename = "together")]
    pub one_zone: bool,
    /// Whether the tasks must be spread over zones: at most half of them, rounded up, may be in one zone.
    #[serde(rename = "apart")]
    pub spread: bool,
    /// Whether its tasks may run on spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// The user's estimate of a task's run time, without fetching the image, in seconds; 0 for services.
    #[serde(rename = "guessS")]
    pub estimate_s: f64,
    /// The run time between two periodic checkpoints of a task, in seconds; 0 if its tasks never save checkpoints.
    #[serde(rename = "markS")]
    pub checkpoint_s: f64,
    /// The time that a task takes to save a checkpoint when it is stopped, in seconds.
    #[serde(rename = "stashS")]
    pub save_s: f64,
    /// Deadline for the completion of the job, in seconds after its submission; `None` if it has none.
    #[serde(rename = "dueS", default)]
    pub deadline_s: Option<f64>,
    /// Its dependencies: the ids of jobs that must be done before any task of this one starts. Sorted and without
    /// duplicates.
    #[serde(
        rename = "waitsOn",
        default,
        deserialize_with = "null_as_default",
        skip_serializing_if = "Vec::is_empty"
    )]
    pub waits_on: Vec<Arc<str>>,
}

fn null_as_default<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Arc<str>>, D::Error> {
    Ok(Option::deserialize(deserializer)?.unwrap_or_default())
}

/// Whether a text has the form of a job id: `wk-`, followed by 1 to 60 ASCII letters or digits.
pub fn is_valid_uid(uid: &str) -> bool {
    uid.strip_prefix(UID_PREFIX).is_some_and(|rest| {
        (1..=UID_CHARS_MAX).contains(&rest.len())
            && rest.bytes().all(|byte| byte.is_ascii_alphanumeric())
    })
}

impl JobSpec {
    /// Parses and validates a submission.
    ///
    /// # Errors
    ///
    /// If the submission is not a valid job description. The error's text is sent to the user.
    pub fn parse(body: &[u8]) -> Result<Self, JobSpecError> {
        let value: Value = serde_json::from_slice(body).map_err(JobSpecError::NotJson)?;
        if !value.is_object() {
            return Err(JobSpecError::NotAnObject);
        }
        let mut spec: JobSpec = serde_json::from_value(value).map_err(JobSpecError::WrongType)?;
        spec.check()?;
        spec.waits_on.sort_unstable();
        spec.waits_on.dedup();
        Ok(spec)
    }

    fn check(&self) -> Result<(), JobSpecError> {
        if !is_valid_uid(&self.uid) {
            return Err(invalid_field("uid", "expected the form wk-000412"));
        }
        if !(1..=TASKS_PER_JOB_MAX).contains(&self.tasks) {
            let expected = format!("expected 1 to {TASKS_PER_JOB_MAX}");
            return Err(invalid_field("parts", expected));
        }
        self.check_amounts()?;
        let names = [
            ("herd", &self.class),
            ("owner", &self.team),
            ("bundle", &self.image),
        ];
        for (field, name) in names {
            if name.is_empty() || name.len() > NAME_BYTES_MAX {
                let expected = format!("expected 1 to {NAME_BYTES_MAX} bytes");
                return Err(invalid_field(field, expected));
            }
        }
        Ok(())
    }

    fn check_amounts(&self) -> Result<(), JobSpecError> {
        let amounts = [
            ("cores", self.cores),
            ("accelerators", self.accelerators),
            ("memGb", self.memory_gb),
            ("sizeGb", self.image_gb),
            ("guessS", self.estimate_s),
            ("markS", self.checkpoint_s),
            ("stashS", self.save_s),
            ("dueS", self.deadline_s.unwrap_or(0.0)),
        ];
        for (field, amount) in amounts {
            if !(0.0..=AMOUNT_MAX).contains(&amount) {
                return Err(invalid_field(field, "expected a number from 0 to 1e9"));
            }
        }
        if self.cores <= 0.0 && self.accelerators <= 0.0 && self.memory_gb <= 0.0 {
            let expected = "a task must take something of its machine";
            return Err(invalid_field("cores", expected));
        }
        Ok(())
    }

    /// Whether its tasks save checkpoints.
    pub fn saves_checkpoints(&self) -> bool {
        self.checkpoint_s > 0.0
    }
}
