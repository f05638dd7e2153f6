//! Storage schema: how jobs are encoded in the key-value store in each schema version.
//!
//! Version 1 stores a job as one value, see [`version_1`]. Version 2 is for stores that accept only small values:
//! it stores a header per job and, under a separate prefix, numbered chunks with what does not fit the header.
//! Header and chunks are written only together, in one transaction with the header's revision as a
//! precondition, so that a new leader always reads a consistent job.
//!
//! Both versions can always be read. Jobs are written in the stored schema version. The stored version is only
//! ever raised, and only once every configured controller has declared that it supports the next version.
//!
//! This module only encodes and decodes: it does no I/O and makes no decisions about jobs.

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
/// The key that holds the schema version that all controllers write; absent for version 1.
pub const SCHEMA_VERSION_KEY: &str = "format";
/// Prefix of the keys under which the controllers declare the schema version that they support.
pub const CONTROLLERS_PREFIX: &str = "node/";
/// Prefix of the keys of chunks.
pub const CHUNKS_PREFIX: &str = "piece/";

/// Safety margin between the largest value that is written and the largest that the store accepts.
const VALUE_SLACK_BYTES: usize = 96;
/// The longest machine name that can be stored.
const MACHINE_NAME_BYTES_MAX: usize = 64;
/// Upper bound of a chunk's size in a transaction without its value.
const CHUNK_REQUEST_BYTES: usize = 120;
/// Upper bound of the size of a job's transaction without the values.
const JOB_REQUEST_BYTES: usize = 400;

/// Why a stored value cannot be decoded.
#[derive(Debug, thiserror::Error)]
pub enum SchemaError {
    /// The value is not the JSON that the schema requires.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The value was written by a newer program.
    #[error("schema version {0} is newer than the supported version {supported}", supported = SCHEMA_VERSION)]
    UnsupportedVersion(u32),
    /// A placement does not list any tasks.
    #[error("placement without tasks")]
    PlacementWithoutTasks,
    /// A prefix-compressed machine name refers to a longer prefix than the previous name has.
    #[error("compressed machine name does not match the previous name")]
    InvalidMachineName,
    /// A text is not a task index.
    #[error("`{0}` is not a task index")]
    InvalidTask(String),
    /// A range is empty or exceeds the job's tasks.
    #[error("`{0}` is not a range of the job's tasks")]
    InvalidTaskRange(String),
    /// A chunk that the header counts is not stored.
    #[error("chunk is missing")]
    MissingChunk,
    /// An entry of a registry page cannot be decoded.
    #[error("`{0}` is not a registry entry")]
    InvalidRegistryEntry(String),
}

/// The key of a job's `number`th chunk.
pub fn chunk_key(uid: &str, number: usize) -> String {
    format!("{CHUNKS_PREFIX}{uid}/{number}")
}

/// Returns the uid of the job and the number of the chunk in a chunk's key; `None` if it is not such a key.
pub fn parse_chunk_key(key: &str) -> Option<(&str, usize)> {
    let (uid, number) = key.strip_prefix(CHUNKS_PREFIX)?.rsplit_once('/')?;
    Some((uid, number.parse().ok()?))
}

/// The key under which the controller with this name declares the schema version that it supports.
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

/// What a controller declares at its start under [`controller_key`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SchemaSupport {
    /// The newest schema version that it supports.
    #[serde(rename = "format")]
    pub schema_version: u32,
    /// The version of the controller program.
    #[serde(rename = "version", default)]
    pub program_version: String,
}

/// The schema version for writing, and the limits of the store that the values must respect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schema {
    /// The schema version.
    pub version: u32,
    /// The largest value that the store accepts, in bytes.
    pub value_bytes: usize,
    /// The maximum number of changes in one transaction.
    pub txn_ops: usize,
}

impl Schema {
    /// The largest value that is written, in bytes.
    pub fn usable_bytes(&self) -> usize {
        self.value_bytes.saturating_sub(VALUE_SLACK_BYTES)
    }

    /// The maximum number of chunks of a job. One transaction must be able to finish the job: to delete the chunks
    /// and the header, and to write the final state.
    pub fn chunks_max(&self) -> usize {
        match self.version {
            0 | 1 => 0,
            _ => self.txn_ops.saturating_sub(2),
        }
    }

    /// Lower bound of the capacity of all values of a job for placements and endings, in bytes.
    pub fn job_capacity_bytes(&self, spec_bytes: usize) -> usize {
        match self.version {
            0 | 1 => version_1::job_capacity_bytes(self.value_bytes, spec_bytes),
            _ => version_2::job_capacity_bytes(self.usable_bytes(), self.chunks_max(), spec_bytes),
        }
    }

    /// Upper bound of the size of a placement on a machine whose name has `name_bytes` bytes, in bytes.
    pub fn placement_bytes(&self, name_bytes: usize) -> usize {
        match self.version {
            0 | 1 => version_1::placement_bytes(name_bytes),
            _ => version_2::placement_bytes(name_bytes),
        }
    }

    /// Upper bound of the size of a range of done tasks, in bytes.
    pub fn range_bytes(&self) -> usize {
        match self.version {
            0 | 1 => version_1::RANGE_BYTES,
            _ => version_2::RANGE_BYTES,
        }
    }

    /// The maximum size of an encoded [`JobSpec`], in bytes; it leaves capacity for some placements.
    pub fn spec_bytes_max(&self) -> usize {
        self.usable_bytes() * 3 / 4
    }

    /// Whether a job can be stored with at least two placements.
    pub fn can_store(&self, spec: &JobSpec) -> bool {
        let spec_bytes = to_raw_json(spec).get().len();
        spec_bytes <= self.spec_bytes_max()
            && self.job_capacity_bytes(spec_bytes)
                >= 2 * self.placement_bytes(MACHINE_NAME_BYTES_MAX)
    }

    /// Encodes a job; returns `None` if it does not fit the limits.
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
    /// The values of a job that is stored without chunks.
    pub fn single(header: RawJson) -> Self {
        Self {
            header,
            chunks: Vec::new(),
        }
    }

    /// Upper bound of the size of a transaction that writes these values, in bytes.
    pub fn request_bytes(&self) -> usize {
        let chunks = self.chunks.iter();
        let chunk_bytes: usize = chunks
            .map(|chunk| chunk.get().len() + CHUNK_REQUEST_BYTES)
            .sum();
        self.header.get().len() + JOB_REQUEST_BYTES + chunk_bytes
    }
}

/// Decodes a job's header of either version. Returns the job without the contents of its chunks, and the number of
/// its chunks.
///
/// # Errors
///
/// Returns an error if the value is of neither version, or of a version newer than [`SCHEMA_VERSION`].
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

/// Whether a machine with this name can be stored. Version 2 separates names by spaces, so a name must not
/// contain one.
pub fn is_storable_name(machine: &str) -> bool {
    !machine.contains(' ') && machine.len() <= MACHINE_NAME_BYTES_MAX
}
