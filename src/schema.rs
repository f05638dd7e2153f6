//! Storage schema: how jobs are encoded in the key-value store, by the schema version stored there.
//!
//! Version 1 stores a job as one value, see [`version_1`]. Version 2 fits small values: a header per job, and
//! what does not fit the header in numbered chunks under a prefix of their own. Header and chunks change only
//! together, in one transaction with the header's revision as precondition, so a new leader finds them as of one
//! moment.
//!
//! Both versions are always read. Jobs are written in the stored version, which only goes up, once every
//! controller of the settings has declared that it supports the next one.
//!
//! Owns the encoding alone: it reads and writes no key, and decides nothing about jobs.

mod prefix_compression;
pub mod version_1;
mod version_2;

pub use prefix_compression::{compress_prefix, expand_prefix};
pub use version_2::decode_chunk;

use crate::job_record::JobRecord;
use crate::state_client::{RawJson, to_raw_json};
use crate::wire::JobSpec;
use serde::{Deserialize, Serialize};

/// The newest schema version that this program supports.
pub const SCHEMA_VERSION: u32 = 2;
/// The key of the schema version that all controllers write; absent for version 1.
pub const SCHEMA_VERSION_KEY: &str = "format";
/// Prefix of the keys under which each controller declares the schema version that it supports.
pub const CONTROLLERS_PREFIX: &str = "node/";
/// Prefix of the keys of chunks.
pub const CHUNKS_PREFIX: &str = "piece/";

/// Values are kept this much below the largest that the store takes.
const VALUE_SLACK_BYTES: usize = 96;
/// The longest machine name that can be stored.
const MACHINE_NAME_BYTES_MAX: usize = 64;
/// What a chunk takes in a transaction beside its value, at most.
const CHUNK_REQUEST_BYTES: usize = 120;
/// What a job's transaction takes beside its values, at most.
const JOB_REQUEST_BYTES: usize = 400;

/// Why a stored value cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum SchemaError {
    /// Not the JSON that the schema asks for.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// Written by a newer program.
    #[error("its format is {0}")]
    UnsupportedVersion(u32),
    /// A placement names no tasks.
    #[error("a placement without tasks")]
    PlacementWithoutTasks,
    /// A machine's name refers to more of the previous name than there is.
    #[error("a machine's name that can't be completed")]
    IncompleteMachineName,
    /// A text that should be a task index.
    #[error("`{0}` is no task")]
    InvalidTask(String),
    /// A range that is empty or beyond the job's tasks.
    #[error("`{0}` are no tasks of the job")]
    InvalidTaskRange(String),
    /// A chunk that the header counts is not stored.
    #[error("it is missing")]
    MissingChunk,
    /// An entry of a registry page that is none.
    #[error("`{0}` is no machine")]
    InvalidRegistryEntry(String),
}

/// The key of a job's `number`th chunk.
pub fn chunk_key(uid: &str, number: usize) -> String {
    format!("{CHUNKS_PREFIX}{uid}/{number}")
}

/// The job and the chunk number that a chunk's key names; `None` if it is no such key.
pub fn parse_chunk_key(key: &str) -> Option<(&str, usize)> {
    let (uid, number) = key.strip_prefix(CHUNKS_PREFIX)?.rsplit_once('/')?;
    Some((uid, number.parse().ok()?))
}

/// The key under which the controller of that name declares what it supports.
pub fn controller_key(name: &str) -> String {
    format!("{CONTROLLERS_PREFIX}{name}")
}

/// The value of [`SCHEMA_VERSION_KEY`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct StoredSchemaVersion {
    /// The version that all controllers write.
    #[serde(rename = "format")]
    pub version: u32,
}

/// What a controller declares about itself at its start, under [`controller_key`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SchemaSupport {
    /// The newest schema version that it supports.
    #[serde(rename = "format")]
    pub schema_version: u32,
    /// The version of its program.
    #[serde(rename = "version", default)]
    pub program_version: String,
}

/// The schema version that is written, and the store's limits that it is written within.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schema {
    /// The schema version.
    pub version: u32,
    /// The largest value that the store takes, in bytes.
    pub value_bytes: usize,
    /// The most changes of one transaction.
    pub txn_ops: usize,
}

impl Schema {
    /// The largest value that is written, in bytes.
    pub fn usable_bytes(&self) -> usize {
        self.value_bytes.saturating_sub(VALUE_SLACK_BYTES)
    }

    /// The most chunks of a job. One transaction must be able to end it: delete the chunks and the header,
    /// and write the final state.
    pub fn chunks_max(&self) -> usize {
        match self.version {
            0 | 1 => 0,
            _ => self.txn_ops.saturating_sub(2),
        }
    }

    /// The capacity of all values of a job for placements and endings, in bytes; a lower bound.
    pub fn job_capacity_bytes(&self, spec_bytes: usize) -> usize {
        match self.version {
            0 | 1 => version_1::job_capacity_bytes(self.value_bytes, spec_bytes),
            _ => version_2::job_capacity_bytes(self.usable_bytes(), self.chunks_max(), spec_bytes),
        }
    }

    /// What a placement on a machine takes, in bytes; an upper bound.
    pub fn placement_bytes(&self, name_bytes: usize) -> usize {
        match self.version {
            0 | 1 => version_1::placement_bytes(name_bytes),
            _ => version_2::placement_bytes(name_bytes),
        }
    }

    /// What a range of done tasks takes, in bytes; an upper bound.
    pub fn range_bytes(&self) -> usize {
        match self.version {
            0 | 1 => version_1::RANGE_BYTES,
            _ => version_2::RANGE_BYTES,
        }
    }

    /// The longest encoded [`JobSpec`] that can be stored with capacity left for some placements, in bytes.
    pub fn spec_bytes_max(&self) -> usize {
        self.usable_bytes() * 3 / 4
    }

    /// Whether a job can be stored at all, with at least two of its tasks placed.
    pub fn can_store(&self, spec: &JobSpec) -> bool {
        let spec_bytes = to_raw_json(spec).get().len();
        spec_bytes <= self.spec_bytes_max()
            && self.job_capacity_bytes(spec_bytes)
                >= 2 * self.placement_bytes(MACHINE_NAME_BYTES_MAX)
    }

    /// The values of a job; `None` if it does not fit the limits.
    pub fn encode_job(&self, record: &JobRecord) -> Option<StoredValues> {
        match self.version {
            0 | 1 => version_1::encode_job(record, self.usable_bytes()).map(StoredValues::single),
            _ => version_2::encode_job(record, self.usable_bytes(), self.chunks_max()),
        }
    }
}

/// The encoded values of a job.
pub struct StoredValues {
    /// The value under the job's own key.
    pub header: RawJson,
    /// The values of its chunks, in the order of their numbers.
    pub chunks: Vec<RawJson>,
}

impl StoredValues {
    /// A job that is one value.
    pub fn single(header: RawJson) -> Self {
        Self {
            header,
            chunks: Vec::new(),
        }
    }

    /// What writing them takes in a transaction, in bytes; an upper bound.
    pub fn request_bytes(&self) -> usize {
        let chunks = self.chunks.iter();
        let chunk_bytes: usize = chunks
            .map(|chunk| chunk.get().len() + CHUNK_REQUEST_BYTES)
            .sum();
        self.header.get().len() + JOB_REQUEST_BYTES + chunk_bytes
    }
}

/// Decodes a job's header of either version. Returns the job, still without what its chunks hold, and how many
/// chunks belong to it.
///
/// # Errors
///
/// If the value is of neither version, or of one newer than [`SCHEMA_VERSION`].
pub fn decode_job(value: &RawJson) -> Result<(JobRecord, usize), SchemaError> {
    #[derive(Deserialize)]
    struct VersionProbe {
        #[serde(rename = "format")]
        schema_version: Option<u32>,
    }
    let header: version_2::StoredHeader = match serde_json::from_str(value.get()) {
        Ok(header) => header,
        Err(error) => {
            let probe: VersionProbe = serde_json::from_str(value.get())?;
            if probe.schema_version.is_some() {
                return Err(error.into());
            }
            return Ok((version_1::decode_job(value)?, 0));
        }
    };
    if header.schema_version > SCHEMA_VERSION {
        return Err(SchemaError::UnsupportedVersion(header.schema_version));
    }
    header.into_record()
}

/// Whether a machine of that name can be stored: version 2 separates names by spaces.
pub fn is_storable_name(machine: &str) -> bool {
    !machine.contains(' ') && machine.len() <= MACHINE_NAME_BYTES_MAX
}
