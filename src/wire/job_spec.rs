//! A job as its user submits it, and the check of a submission.

use serde::{Deserialize, Deserializer, Serialize};
use serde_json::Value;
use std::sync::Arc;

/// The most tasks of a job.
const TASKS_PER_JOB_MAX: u64 = 100_000;
/// The largest number that is taken for an amount or a time.
const AMOUNT_MAX: f64 = 1e9;
/// The longest name of a class, a team or an image, in bytes.
const NAME_BYTES_MAX: usize = 200;
/// What the ids of jobs begin with.
const UID_PREFIX: &str = "wk-";
/// The most characters of a job's id after its prefix.
const UID_CHARS_MAX: usize = 60;

/// Why a submission is not accepted. The text tells the user what to change, by the field's name on the wire.
#[derive(Debug, thiserror::Error)]
pub enum JobSpecError {
    /// The body is no JSON.
    #[error("not JSON: {0}")]
    NotJson(serde_json::Error),
    /// The body is JSON, but no object.
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
    /// Runs on what is left over.
    Low,
    /// The ordinary one.
    Normal,
    /// Goes before ordinary jobs.
    High,
    /// Goes before all others.
    Production,
}

/// How a job's tasks belong together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobKind {
    /// Independent tasks, each of which runs to completion.
    Array,
    /// Tasks that run to completion side by side, all or none.
    #[serde(rename = "group")]
    Gang,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "daemon")]
    Service,
}

/// A job as its user submits it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The job's id, chosen by the user; see [`is_valid_uid`].
    pub uid: Arc<str>,
    /// The class of jobs that it belongs to; the settings have objectives by class.
    #[serde(rename = "herd")]
    pub class: Arc<str>,
    /// The team whose guarantee and limit apply.
    #[serde(rename = "owner")]
    pub team: Arc<str>,
    /// How its tasks belong together.
    #[serde(rename = "shape")]
    pub kind: JobKind,
    /// Its own priority.
    #[serde(rename = "urgency")]
    pub priority: Priority,
    /// How many tasks it has, with indexes from 0.
    #[serde(rename = "parts")]
    pub tasks: u64,
    /// Cores that each task takes.
    pub cores: f64,
    /// Accelerators that each task takes.
    pub accelerators: f64,
    /// Memory that each task takes, in gigabytes.
    #[serde(rename = "memGb")]
    pub memory_gb: f64,
    /// The image that a machine must have before a task can start.
    #[serde(rename = "bundle")]
    pub image: Arc<str>,
    /// Size of the image, in gigabytes.
    #[serde(rename = "sizeGb")]
    pub image_gb: f64,
    /// The machine types that are allowed; `None`: any.
    #[serde(rename = "builds", default)]
    pub types: Option<Vec<String>>,
    /// The only zone that is allowed; `None`: any.
    #[serde(rename = "paddock", default)]
    pub zone: Option<String>,
    /// All tasks must be in the same zone.
    #[serde(rename = "together")]
    pub one_zone: bool,
    /// At most half of the tasks, rounded up, may be in one zone.
    #[serde(rename = "apart")]
    pub spread: bool,
    /// Its tasks may run on spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// The user's estimate of a task's run time without the fetch of the image, in seconds; 0 for services.
    #[serde(rename = "guessS")]
    pub estimate_s: f64,
    /// The interval of progress after which a task saves a checkpoint by itself, in seconds; 0: tasks never save.
    #[serde(rename = "markS")]
    pub checkpoint_s: f64,
    /// The time that a task takes to save when it is stopped, in seconds.
    #[serde(rename = "stashS")]
    pub save_s: f64,
    /// When the job should be complete, in seconds from its submission; `None`: no deadline.
    #[serde(rename = "dueS", default)]
    pub deadline_s: Option<f64>,
    /// Its dependencies: jobs that must be done before any task of this one starts, in order and each once.
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

/// Whether a text has the form of a job's id: `wk-`, and then 1 to 60 letters or digits.
pub fn is_valid_uid(uid: &str) -> bool {
    uid.strip_prefix(UID_PREFIX).is_some_and(|rest| {
        (1..=UID_CHARS_MAX).contains(&rest.len())
            && rest.bytes().all(|byte| byte.is_ascii_alphanumeric())
    })
}

impl JobSpec {
    /// Reads and checks a submission.
    ///
    /// # Errors
    ///
    /// If it is no acceptable job. The text is the user's answer.
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
