//! Local copy of the stored data that a leader needs: live and stopping jobs with their chunks, the machine
//! registry, and the schema version.
//!
//! A [`Replica`] is filled page by page and then kept up to date with the changes that a watch reports. Once it
//! is complete, it holds exactly what is stored at one store revision. Every new leader starts from a replica,
//! whether it has been a standby for hours or has only just filled the replica.
//!
//! It does no I/O: [`Replica::next_reads`] returns what to read, [`Replica::apply_page`] and
//! [`Replica::apply_changes`] apply the replies. No decision may be based on an incomplete replica. How a replica
//! is verified is described in `docs/standby.md`.

use crate::job_record::{JobRecord, LIVE_PREFIX, STOPPING_PREFIX, live_key};
use crate::registry::REGISTRY_PREFIX;
use crate::schema::{self, CHUNKS_PREFIX, SCHEMA_VERSION_KEY, SchemaError};
use crate::state_client::{KeyValue, RawJson, WatchEvent};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The prefixes of all replicated keys.
pub const REPLICATED_PREFIXES: [&str; 5] = [
    LIVE_PREFIX,
    STOPPING_PREFIX,
    REGISTRY_PREFIX,
    CHUNKS_PREFIX,
    SCHEMA_VERSION_KEY,
];
/// Number of revisions for which the checksum over the live jobs is kept, to compare with the leader's checksum.
const CHECKSUMS_KEPT: usize = 4096;

/// The header of a stored job. It is decoded when it is read, so that a failover does not have to do it.
pub struct JobHeader {
    /// Revision of the job's key.
    pub mod_revision: u64,
    /// Length of the stored value.
    pub bytes: usize,
    /// The job and the number of its chunks, or the error if it cannot be decoded.
    pub decoded: Result<(JobRecord, usize), SchemaError>,
}

impl JobHeader {
    fn decode(value: &RawJson, mod_revision: u64) -> Self {
        Self {
            mod_revision,
            bytes: value.get().len(),
            decoded: schema::decode_job(value),
        }
    }
}

/// Progress of reading the pages of one prefix.
#[derive(Clone, Debug, PartialEq)]
enum PageState {
    /// The page after this key is to be requested next.
    Due(String),
    /// A page has been requested and not returned yet.
    Requested,
    /// All pages have been read.
    Complete,
}

/// A read of the state service that the replica needs next.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaRead {
    /// A page of one prefix.
    Page {
        /// One of [`REPLICATED_PREFIXES`].
        prefix: &'static str,
        /// The last key of the previous page; empty for the first page.
        after: String,
    },
    /// All changes of replicated keys after a store revision.
    Changes {
        /// The revision up to which all changes are known.
        from: u64,
    },
}

/// A checksum over keys and their revisions, independent of the order of the keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Checksum(pub u64);

impl Checksum {
    /// Adds a key with its revision, or removes it if it was added before (the two are the same operation).
    pub fn toggle(&mut self, key: &str, mod_revision: u64) {
        self.0 ^= xxh3_64_with_seed(key.as_bytes(), mod_revision);
    }
}

/// The checksum over the live jobs as of a store revision.
struct ChecksumAt {
    revision: u64,
    checksum: Checksum,
}

/// A replicated key, by the part of the replica that holds its value.
#[derive(Clone, Copy)]
enum ReplicatedKey<'a> {
    /// A live job with this uid.
    Live(&'a str),
    /// A stopping job with this uid.
    Stopping(&'a str),
    /// A registry page, a chunk, or the schema version.
    Other,
}

impl<'a> ReplicatedKey<'a> {
    /// `None` if the key is not replicated.
    fn parse(key: &'a str) -> Option<Self> {
        if let Some(uid) = key.strip_prefix(LIVE_PREFIX) {
            return Some(Self::Live(uid));
        }
        if let Some(uid) = key.strip_prefix(STOPPING_PREFIX) {
            return Some(Self::Stopping(uid));
        }
        let other = key.starts_with(REGISTRY_PREFIX)
            || key.starts_with(CHUNKS_PREFIX)
            || key == SCHEMA_VERSION_KEY;
        other.then_some(Self::Other)
    }
}

/// A copy of the replicated keys; see the module documentation.
pub struct Replica {
    /// Live jobs by uid.
    pub live: BTreeMap<Arc<str>, JobHeader>,
    /// Stopping jobs by uid.
    pub stopping: BTreeMap<Arc<str>, JobHeader>,
    /// Registry pages, chunks, and the schema version, by key.
    other_values: BTreeMap<String, KeyValue>,
    /// One per prefix, in the order of [`REPLICATED_PREFIXES`].
    pages: [PageState; REPLICATED_PREFIXES.len()],
    /// Store revision up to which all changes are applied, once the replica is complete.
    revision: u64,
    /// Lowest store revision that a page was read at: changes after it may be missing.
    first_page_revision: Option<u64>,
    /// Highest store revision that a page was read at.
    last_page_revision: u64,
    /// Checksum over all replicated keys.
    checksum: Checksum,
    /// Checksum over the keys of the live jobs.
    live_jobs_checksum: Checksum,
    /// The checksum over the live jobs after each change of a live job, ordered by revision.
    live_jobs_checksum_history: VecDeque<ChecksumAt>,
}

impl Default for Replica {
    fn default() -> Self {
        Self {
            live: BTreeMap::new(),
            stopping: BTreeMap::new(),
            other_values: BTreeMap::new(),
            pages: std::array::from_fn(|_| PageState::Due(String::new())),
            revision: 0,
            first_page_revision: None,
            last_page_revision: 0,
            checksum: Checksum::default(),
            live_jobs_checksum: Checksum::default(),
            live_jobs_checksum_history: VecDeque::new(),
        }
    }
}

impl Replica {
    fn all_pages_read(&self) -> bool {
        self.pages.iter().all(|page| *page == PageState::Complete)
    }

    /// Whether the replica holds exactly what is stored at [`Replica::revision`].
    pub fn is_complete(&self) -> bool {
        self.all_pages_read() && self.revision >= self.last_page_revision
    }

    /// The store revision up to which all changes are applied, once the replica is complete.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Number of keys in the replica.
    pub fn key_count(&self) -> usize {
        self.live.len() + self.stopping.len() + self.other_values.len()
    }

    /// The checksum over all replicated keys.
    pub fn checksum(&self) -> Checksum {
        self.checksum
    }

    /// The checksum over the live jobs as of a store revision. `None` if the replica is not complete, has not
    /// reached that revision, or no longer keeps the checksum of that revision.
    pub fn live_jobs_checksum_at(&self, revision: u64) -> Option<Checksum> {
        if !self.is_complete() || revision > self.revision {
            return None;
        }
        let history = &self.live_jobs_checksum_history;
        let later = history.partition_point(|entry| entry.revision <= revision);
        later.checked_sub(1).map(|last| history[last].checksum)
    }

    /// The reads that are due: the next pages or, once all pages are read, the changes since.
    pub fn next_reads(&self) -> Vec<ReplicaRead> {
        let pages = REPLICATED_PREFIXES.iter().zip(&self.pages);
        let due: Vec<ReplicaRead> = pages
            .filter_map(|(prefix, page)| match page {
                PageState::Due(after) => Some(ReplicaRead::Page {
                    prefix,
                    after: after.clone(),
                }),
                PageState::Requested | PageState::Complete => None,
            })
            .collect();
        if due.is_empty() && self.all_pages_read() {
            return vec![ReplicaRead::Changes {
                from: self.revision,
            }];
        }
        due
    }

    fn page_state_mut(&mut self, prefix: &str) -> Option<&mut PageState> {
        let position = REPLICATED_PREFIXES.iter().position(|p| *p == prefix)?;
        Some(&mut self.pages[position])
    }

    /// Records that the next page of this prefix was requested.
    pub fn mark_page_requested(&mut self, prefix: &str) {
        if let Some(page) = self.page_state_mut(prefix) {
            *page = PageState::Requested;
        }
    }

    /// Makes the page after the key `after` due again, because its request failed.
    pub fn mark_page_due(&mut self, prefix: &str, after: String) {
        if let Some(page) = self.page_state_mut(prefix) {
            *page = PageState::Due(after);
        }
    }

    /// Applies a page that was read at store revision `revision`. Pages are read at different revisions;
    /// [`Replica::apply_changes`] with all changes since the lowest one brings them to a common revision.
    pub fn apply_page(
        &mut self,
        prefix: &str,
        items: Vec<KeyValue>,
        truncated: bool,
        revision: u64,
    ) {
        let after = items.last().map(|item| item.key.clone());
        for item in items {
            self.set(item);
        }
        let first = *self.first_page_revision.get_or_insert(revision);
        self.first_page_revision = Some(first.min(revision));
        self.revision = first.min(revision);
        self.last_page_revision = self.last_page_revision.max(revision);
        if let Some(page) = self.page_state_mut(prefix) {
            *page = match after {
                Some(after) if truncated => PageState::Due(after),
                _ => PageState::Complete,
            };
        }
        self.start_checksum_history();
    }

    /// Treats the pages as complete although the changes between the lowest and the highest page revision cannot
    /// be read.
    pub fn accept_pages_as_complete(&mut self) {
        self.last_page_revision = self.revision;
        self.start_checksum_history();
    }

    /// Applies all changes up to a store revision.
    pub fn apply_changes(&mut self, mut events: Vec<WatchEvent>, revision: u64) {
        events.sort_by_key(|event| event.mod_revision);
        for event in events {
            let mod_revision = event.mod_revision;
            match event.value {
                Some(value) => self.set(KeyValue {
                    key: event.key,
                    value,
                    mod_revision,
                }),
                None => self.delete(&event.key, mod_revision),
            }
        }
        self.revision = self.revision.max(revision);
        self.start_checksum_history();
    }

    /// Starts the checksum history once the replica is complete. Before that its checksum matches no store
    /// revision.
    fn start_checksum_history(&mut self) {
        if self.is_complete() && self.live_jobs_checksum_history.is_empty() {
            self.live_jobs_checksum_history.push_back(ChecksumAt {
                revision: self.revision,
                checksum: self.live_jobs_checksum,
            });
        }
    }

    /// The revision of a key in the replica; `None` if the replica does not hold the key.
    fn held_revision(&self, parsed: ReplicatedKey<'_>, key: &str) -> Option<u64> {
        match parsed {
            ReplicatedKey::Live(uid) => self.live.get(uid).map(|job| job.mod_revision),
            ReplicatedKey::Stopping(uid) => self.stopping.get(uid).map(|job| job.mod_revision),
            ReplicatedKey::Other => self.other_values.get(key).map(|item| item.mod_revision),
        }
    }

    /// Sets a key, unless the replica holds it at this revision or a later one.
    fn set(&mut self, item: KeyValue) {
        let KeyValue {
            key,
            value,
            mod_revision,
        } = item;
        let Some(parsed) = ReplicatedKey::parse(&key) else {
            return;
        };
        let held = self.held_revision(parsed, &key);
        if held.is_some_and(|held| held >= mod_revision) {
            return;
        }
        match parsed {
            ReplicatedKey::Live(uid) => {
                self.live
                    .insert(uid.into(), JobHeader::decode(&value, mod_revision));
            }
            ReplicatedKey::Stopping(uid) => {
                self.stopping
                    .insert(uid.into(), JobHeader::decode(&value, mod_revision));
            }
            ReplicatedKey::Other => {
                let item = KeyValue {
                    key: key.clone(),
                    value,
                    mod_revision,
                };
                self.other_values.insert(key.clone(), item);
            }
        }
        if let Some(held) = held {
            self.toggle(&key, held);
        }
        self.toggle(&key, mod_revision);
        self.record_checksum(&key, mod_revision);
    }

    /// Deletes a key, unless the replica holds it at this revision or a later one.
    fn delete(&mut self, key: &str, mod_revision: u64) {
        let Some(parsed) = ReplicatedKey::parse(key) else {
            return;
        };
        let held = self.held_revision(parsed, key);
        let Some(held) = held.filter(|held| *held < mod_revision) else {
            return;
        };
        match parsed {
            ReplicatedKey::Live(uid) => {
                self.live.remove(uid);
            }
            ReplicatedKey::Stopping(uid) => {
                self.stopping.remove(uid);
            }
            ReplicatedKey::Other => {
                self.other_values.remove(key);
            }
        }
        self.toggle(key, held);
        self.record_checksum(key, mod_revision);
    }

    /// Adds a key with its revision to the checksums, or removes it if it was added before.
    fn toggle(&mut self, key: &str, mod_revision: u64) {
        self.checksum.toggle(key, mod_revision);
        if key.starts_with(LIVE_PREFIX) {
            self.live_jobs_checksum.toggle(key, mod_revision);
        }
    }

    /// Appends the checksum over the live jobs to the history after a change of a live job. Does nothing while the
    /// replica is being filled, since its checksum then matches no store revision.
    fn record_checksum(&mut self, key: &str, mod_revision: u64) {
        let checksum = self.live_jobs_checksum;
        let history = &mut self.live_jobs_checksum_history;
        if history.is_empty() || !key.starts_with(LIVE_PREFIX) {
            return;
        }
        match history.back_mut() {
            Some(last) if last.revision == mod_revision => last.checksum = checksum,
            _ => history.push_back(ChecksumAt {
                revision: mod_revision,
                checksum,
            }),
        }
        if history.len() > CHECKSUMS_KEPT {
            history.pop_front();
        }
    }

    /// The pages of the machine registry, in key order.
    pub fn registry_pages(&self) -> impl Iterator<Item = &KeyValue> {
        let from_first = self.other_values.range(REGISTRY_PREFIX.to_owned()..);
        from_first
            .map(|(_, item)| item)
            .take_while(|item| item.key.starts_with(REGISTRY_PREFIX))
    }

    /// The chunk of a job with this number.
    pub fn chunk(&self, uid: &str, number: usize) -> Option<&KeyValue> {
        self.other_values.get(&schema::chunk_key(uid, number))
    }

    /// The stored schema version.
    pub fn schema_version(&self) -> Option<&KeyValue> {
        self.other_values.get(SCHEMA_VERSION_KEY)
    }

    /// Injected fault: falsifies the revision of one live job, to test that the checksum comparison detects it.
    /// Returns false if there is no live job.
    pub fn corrupt_one_live_job(&mut self) -> bool {
        // Takes the job that has not changed for longest: the next change of a job would correct its revision.
        let oldest = self.live.iter_mut().min_by_key(|(_, job)| job.mod_revision);
        let Some((uid, job)) = oldest else {
            return false;
        };
        let (key, held) = (live_key(uid), job.mod_revision);
        job.mod_revision += 1;
        self.toggle(&key, held);
        self.toggle(&key, held + 1);
        if let Some(last) = self.live_jobs_checksum_history.back_mut() {
            last.checksum = self.live_jobs_checksum;
        }
        true
    }
}
