//! A copy of what a leader needs of the state service: jobs, placements, the roll with its marks, the
//! format. Filled page by page, then kept up by the changes that a watch tells, it holds what is stored
//! at one epoch. A leader is built from one, whether it followed for hours or was filled just now.
//!
//! Pure: `wants` says what to ask, `page` and `apply` take what was answered. Nothing is decided on a
//! copy that is not whole; what proves it is the store's own answer, see `docs/standby.md`.

use crate::job_record::{JobRecord, LIVE_PREFIX, STOPPING_PREFIX};
use crate::registry::REGISTRY_PREFIX;
use crate::schema::{self, CHUNKS_PREFIX, SCHEMA_VERSION_KEY, SchemaError};
use crate::state_client::{Item, WatchEvent};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// What is followed, by prefix.
pub const REPLICATED_PREFIXES: [&str; 5] = [
    LIVE_PREFIX,
    STOPPING_PREFIX,
    REGISTRY_PREFIX,
    CHUNKS_PREFIX,
    SCHEMA_VERSION_KEY,
];
/// So many sums of earlier epochs are kept, to be compared with what the leader tells.
const CHECKSUMS_KEPT: usize = 4096;

/// A stored job, read when it came: at a takeover there is no time for that.
pub struct JobHeader {
    pub mod_revision: u64,
    /// Length of the stored value.
    pub bytes: usize,
    /// The job and how many pieces belong to it, or why it can't be read.
    pub decoded: Result<(JobRecord, usize), SchemaError>,
}

/// How far the filling of one prefix is.
#[derive(Clone, Debug, PartialEq)]
enum PageState {
    /// To be asked, after this key.
    Due(String),
    Requested,
    Complete,
}

/// What the mirror would ask next.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaRead {
    Page {
        prefix: &'static str,
        after: String,
    },
    /// All that changed since.
    Changes {
        from: u64,
    },
}

/// A sum over keys and stamps that does not depend on their order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Checksum(pub u64);

impl Checksum {
    /// Adds a key, or takes it away again.
    pub fn toggle(&mut self, path: &str, mod_revision: u64) {
        self.0 ^= xxh3_64_with_seed(path.as_bytes(), mod_revision);
    }
}

pub struct Replica {
    pub live: BTreeMap<Arc<str>, JobHeader>,
    pub stopping: BTreeMap<Arc<str>, JobHeader>,
    /// Pages of the roll, pieces, and the format, by key.
    other_values: BTreeMap<String, Item>,
    pages: [PageState; REPLICATED_PREFIXES.len()],
    /// All changes up to here are in it, once it is whole.
    revision: u64,
    /// Of the first and of the last page: changes between them may be missing.
    first_page_revision: Option<u64>,
    last_page_revision: u64,
    checksum: Checksum,
    jobs_checksum: Checksum,
    /// The sum over live jobs after each change of one, by epoch.
    jobs_checksum_history: VecDeque<(u64, Checksum)>,
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
            jobs_checksum: Checksum::default(),
            jobs_checksum_history: VecDeque::new(),
        }
    }
}

impl Replica {
    fn all_pages_read(&self) -> bool {
        self.pages.iter().all(|p| *p == PageState::Complete)
    }

    /// Whether it holds what is stored at `epoch()`, and nothing else.
    pub fn is_complete(&self) -> bool {
        self.all_pages_read() && self.revision >= self.last_page_revision
    }

    pub fn revision(&self) -> u64 {
        self.revision
    }

    pub fn key_count(&self) -> usize {
        self.live.len() + self.stopping.len() + self.other_values.len()
    }

    /// Over all keys that are followed.
    pub fn checksum(&self) -> Checksum {
        self.checksum
    }

    /// Over the live jobs as they were at an epoch; None where that is not known.
    pub fn jobs_checksum_at(&self, revision: u64) -> Option<Checksum> {
        if !self.is_complete() || revision > self.revision {
            return None;
        }
        let at = self
            .jobs_checksum_history
            .partition_point(|s| s.0 <= revision);
        at.checked_sub(1).map(|n| self.jobs_checksum_history[n].1)
    }

    /// What to ask now: pages that are due, or, when there are none and none is asked for, the
    /// changes since.
    pub fn next_reads(&self) -> Vec<ReplicaRead> {
        let due = REPLICATED_PREFIXES.iter().zip(&self.pages);
        let due: Vec<ReplicaRead> = due
            .filter_map(|(prefix, page)| match page {
                PageState::Due(after) => Some(ReplicaRead::Page {
                    prefix,
                    after: after.clone(),
                }),
                _ => None,
            })
            .collect();
        if due.is_empty() && self.all_pages_read() {
            return vec![ReplicaRead::Changes {
                from: self.revision,
            }];
        }
        due
    }

    fn page_of(&mut self, prefix: &str) -> Option<&mut PageState> {
        let at = REPLICATED_PREFIXES.iter().position(|p| *p == prefix)?;
        Some(&mut self.pages[at])
    }

    /// A page was asked for.
    pub fn note_page_requested(&mut self, prefix: &str) {
        if let Some(page) = self.page_of(prefix) {
            *page = PageState::Requested;
        }
    }

    /// A page was not answered: it is due again.
    pub fn note_page_unanswered(&mut self, prefix: &str, after: String) {
        if let Some(page) = self.page_of(prefix) {
            *page = PageState::Due(after);
        }
    }

    /// Takes a page. Each shows its own epoch; what changed between them is told by the changes
    /// since the first.
    pub fn apply_page(&mut self, prefix: &str, items: Vec<Item>, truncated: bool, revision: u64) {
        let after = items.last().map(|i| i.path.clone());
        for item in items {
            self.set(item);
        }
        let first = *self.first_page_revision.get_or_insert(revision);
        self.first_page_revision = Some(first.min(revision));
        self.revision = first.min(revision);
        self.last_page_revision = self.last_page_revision.max(revision);
        if let Some(page) = self.page_of(prefix) {
            *page = match after {
                Some(after) if truncated => PageState::Due(after),
                _ => PageState::Complete,
            };
        }
        self.start_checksum_history();
    }

    /// The changes between the first page and the last can't be had: what was read must do.
    pub fn accept_pages_as_complete(&mut self) {
        self.last_page_revision = self.revision;
        self.start_checksum_history();
    }

    /// Takes all changes up to an epoch, in their order.
    pub fn apply_changes(&mut self, mut events: Vec<WatchEvent>, revision: u64) {
        events.sort_by_key(|e| e.mod_revision);
        for e in events {
            let mod_revision = e.mod_revision;
            match e.value {
                Some(value) => self.set(Item {
                    path: e.path,
                    value,
                    mod_revision,
                }),
                None => self.delete(&e.path, mod_revision),
            }
        }
        self.revision = self.revision.max(revision);
        self.start_checksum_history();
    }

    /// Once it is whole, sums can be told of it.
    fn start_checksum_history(&mut self) {
        if self.is_complete() && self.jobs_checksum_history.is_empty() {
            self.jobs_checksum_history
                .push_back((self.revision, self.jobs_checksum));
        }
    }

    fn set(&mut self, item: Item) {
        let Item {
            path,
            value,
            mod_revision,
        } = item;
        let jobs = [(LIVE_PREFIX, true), (STOPPING_PREFIX, false)];
        let job = jobs
            .iter()
            .find_map(|(p, live)| Some((path.strip_prefix(p)?, *live)));
        let old = match job {
            Some((uid, live)) => {
                let heads = if live {
                    &mut self.live
                } else {
                    &mut self.stopping
                };
                let known = heads.get(uid).map(|h| h.mod_revision);
                if known.is_some_and(|s| s >= mod_revision) {
                    return;
                }
                let head = JobHeader {
                    mod_revision,
                    bytes: value.get().len(),
                    decoded: schema::decode_job(&value),
                };
                heads.insert(uid.into(), head);
                known
            }
            None if is_followed(&path) => {
                let known = self.other_values.get(&path).map(|i| i.mod_revision);
                if known.is_some_and(|s| s >= mod_revision) {
                    return;
                }
                let item = Item {
                    path: path.clone(),
                    value,
                    mod_revision,
                };
                self.other_values.insert(path.clone(), item);
                known
            }
            None => return,
        };
        if let Some(old) = old {
            self.toggle(&path, old);
        }
        self.toggle(&path, mod_revision);
        self.record_checksum(&path, mod_revision);
    }

    fn delete(&mut self, path: &str, mod_revision: u64) {
        let older = |s: u64| s < mod_revision;
        let old = if let Some(uid) = path.strip_prefix(LIVE_PREFIX) {
            self.live
                .get(uid)
                .map(|h| h.mod_revision)
                .filter(|s| older(*s))
        } else if let Some(uid) = path.strip_prefix(STOPPING_PREFIX) {
            let known = self.stopping.get(uid);
            known.map(|h| h.mod_revision).filter(|s| older(*s))
        } else {
            self.other_values
                .get(path)
                .map(|i| i.mod_revision)
                .filter(|s| older(*s))
        };
        let Some(old) = old else { return };
        if let Some(uid) = path.strip_prefix(LIVE_PREFIX) {
            self.live.remove(uid);
        } else if let Some(uid) = path.strip_prefix(STOPPING_PREFIX) {
            self.stopping.remove(uid);
        } else {
            self.other_values.remove(path);
        }
        self.toggle(path, old);
        self.record_checksum(path, mod_revision);
    }

    fn toggle(&mut self, path: &str, mod_revision: u64) {
        self.checksum.toggle(path, mod_revision);
        if path.starts_with(LIVE_PREFIX) {
            self.jobs_checksum.toggle(path, mod_revision);
        }
    }

    /// While it is being filled its sums are of no epoch.
    fn record_checksum(&mut self, path: &str, mod_revision: u64) {
        if self.jobs_checksum_history.is_empty() || !path.starts_with(LIVE_PREFIX) {
            return;
        }
        match self.jobs_checksum_history.back_mut() {
            Some(last) if last.0 == mod_revision => last.1 = self.jobs_checksum,
            _ => self
                .jobs_checksum_history
                .push_back((mod_revision, self.jobs_checksum)),
        }
        if self.jobs_checksum_history.len() > CHECKSUMS_KEPT {
            self.jobs_checksum_history.pop_front();
        }
    }

    /// Pages of the roll, in the order of their keys.
    pub fn registry_pages(&self) -> impl Iterator<Item = &Item> {
        let pages = self.other_values.range(REGISTRY_PREFIX.to_owned()..);
        pages
            .map(|p| p.1)
            .take_while(|i| i.path.starts_with(REGISTRY_PREFIX))
    }

    pub fn chunk(&self, uid: &str, n: usize) -> Option<&Item> {
        self.other_values.get(&schema::chunk_key(uid, n))
    }

    pub fn schema_version(&self) -> Option<&Item> {
        self.other_values.get(SCHEMA_VERSION_KEY)
    }

    /// Makes it wrong in one stamp, for tests of what finds that.
    pub fn corrupt(&mut self) -> bool {
        // The one that has not changed for longest: the next change of it would set it right.
        let Some((uid, head)) = self.live.iter_mut().min_by_key(|l| l.1.mod_revision) else {
            return false;
        };
        let (path, old) = (crate::job_record::live_key(uid), head.mod_revision);
        head.mod_revision += 1;
        self.toggle(&path, old);
        self.toggle(&path, old + 1);
        if let Some(last) = self.jobs_checksum_history.back_mut() {
            last.1 = self.jobs_checksum;
        }
        true
    }
}

fn is_followed(path: &str) -> bool {
    path.starts_with(REGISTRY_PREFIX)
        || path.starts_with(CHUNKS_PREFIX)
        || path == SCHEMA_VERSION_KEY
}
