//! Which schema version is written, and when the stored schema version is raised.
//!
//! Each controller registers the newest schema version that it supports at the state service. The
//! leader raises the stored version once all controllers support the next one. The stored version
//! never decreases. A controller can read all versions up to the newest that it supports; it ends if
//! the stored version is newer. [`SchemaMigration`] also records whether the state service already
//! enforces lower limits that were announced for later.

use super::leader_schedule::CHUNK_SWEEP_INTERVAL;
use super::state_request::StateRequest;
use super::{Controller, LEADER_REQUEST_TIMEOUT};
use crate::clock::{Micros, SECOND};
use crate::election::LEADER_KEY;
use crate::job_record::{live_key, stopping_key};
use crate::schema::{
    CHUNKS_PREFIX, CONTROLLERS_PREFIX, SCHEMA_VERSION, SCHEMA_VERSION_KEY, Schema, SchemaSupport,
    StoredSchemaVersion, controller_key, split_chunk_key,
};
use crate::state_client::{Item, Op, Reply, RequestPriority, Transaction};

/// Interval at which the stored schema version is read while it may still rise.
const SCHEMA_CHECK_INTERVAL: Micros = 2 * SECOND;
/// Interval at which the leader reads whether all controllers support the next schema version.
const SCHEMA_SUPPORT_CHECK_INTERVAL: Micros = SECOND;
/// The first schema version that splits records into chunks, so that they fit the announced lower
/// limits.
const CHUNKED_SCHEMA_VERSION: u32 = 2;
/// The most items that one listing returns.
const LIST_ITEMS_MAX: usize = 500;

/// The stored schema version as this node knows it, and the limits for what is written.
#[derive(Default)]
pub(super) struct SchemaMigration {
    /// The stored schema version as last read; 0 before the first read. It never decreases.
    version: u32,
    next_read_at: Micros,
    /// Whether the stored registration of this controller names what this program supports.
    support_registered: bool,
    /// Whether the state service has refused a value for its size, which shows that the announced lower
    /// size limit is already in force.
    reduced_value_size: bool,
    /// Whether the state service has refused changes for their rate, which shows that the announced lower
    /// rate limit is already in force.
    reduced_write_rate: bool,
    /// Why this process has to end, if it has to.
    fatal_error: Option<String>,
}

impl SchemaMigration {
    /// The stored schema version as last read; 0 before the first read.
    pub(super) fn version(&self) -> u32 {
        self.version
    }

    /// Whether the stored schema version is the newest one that this program supports.
    pub(super) fn is_complete(&self) -> bool {
        self.version >= SCHEMA_VERSION
    }
}

impl Controller {
    /// The schema version and the limits that records are written with now.
    pub(super) fn schema(&self) -> Schema {
        let state = &self.settings.deployment.state;
        let tightest = state.tightest();
        // Records of chunked versions are kept within the announced lower limits from the start, since
        // the time at which these come into force is not known.
        let limits = if self.schema_migration.version >= CHUNKED_SCHEMA_VERSION
            || self.schema_migration.reduced_value_size
        {
            &tightest
        } else {
            state
        };
        Schema {
            version: self.schema_migration.version.max(1),
            value_bytes: limits.value_bytes(),
            txn_ops: limits.txn_ops,
        }
    }

    /// Why this process has to end, if it has to: it can't read the stored records.
    pub fn fatal_error(&self) -> Option<&str> {
        self.schema_migration.fatal_error.as_deref()
    }

    /// Reads the stored schema version and registers the version that this node supports, when due.
    pub(super) fn check_schema_version(&mut self) {
        let now = self.now.steady;
        self.apply_refused_limits();
        if now < self.schema_migration.next_read_at
            || (self.schema_migration.support_registered && self.schema_migration.is_complete())
        {
            return;
        }
        self.schema_migration.next_read_at = now + SCHEMA_CHECK_INTERVAL;
        self.request_state(
            StateRequest::ReadSchemaVersion,
            Op::Get(SCHEMA_VERSION_KEY.to_owned()),
            SECOND,
        );
        if !self.schema_migration.support_registered {
            let key = controller_key(&self.settings.name);
            self.request_state(StateRequest::ReadOwnSchemaSupport, Op::Get(key), SECOND);
        }
    }

    /// Applies the announced lower limits early if the state service has refused a value for its size or
    /// changes for their rate: the limits are already in force, and the same write would be refused
    /// each time.
    fn apply_refused_limits(&mut self) {
        let refused = self.state.take_refused();
        let state = &self.settings.deployment.state;
        if state.next.is_none() {
            return;
        }
        if refused.rate && !self.schema_migration.reduced_write_rate {
            log::info!(
                "the state service refuses the rate of changes; applying the announced rates"
            );
            self.schema_migration.reduced_write_rate = true;
            let tightest = state.tightest();
            self.state.set_rates(tightest.rps, tightest.write_rps);
        }
        if refused.size && !self.schema_migration.reduced_value_size {
            log::info!(
                "the state service refuses a value for its size; applying the announced limits"
            );
            self.schema_migration.reduced_value_size = true;
            self.apply_schema();
        }
    }

    /// Handles the reply to the read of the stored schema version.
    pub(super) fn schema_version_read(&mut self, reply: Reply) {
        match reply {
            Reply::Item(item) => self.handle_stored_schema_version(&item),
            Reply::Absent => self.set_schema_version(1),
            _ => {}
        }
    }

    /// Applies the stored schema version; records a fatal error if this program does not support it.
    pub(super) fn handle_stored_schema_version(&mut self, item: &Item) {
        match serde_json::from_str::<StoredSchemaVersion>(item.value.get()) {
            Ok(stored) if stored.format > SCHEMA_VERSION => {
                self.schema_migration.fatal_error = Some(format!(
                    "the state service holds format {}, this version knows formats up to {SCHEMA_VERSION}; \
                     start the version that the other controllers run",
                    stored.format
                ));
            }
            Ok(stored) => self.set_schema_version(stored.format),
            Err(error) => {
                // The key exists, so the version was raised. Records of all versions can be read, and
                // the newest version is written from now on.
                log::error!(
                    "stored schema version unreadable key={} error={error}",
                    item.path
                );
                self.set_schema_version(SCHEMA_VERSION);
            }
        }
    }

    /// Raises the schema version that is written; a lower or equal version has no effect.
    fn set_schema_version(&mut self, version: u32) {
        if version <= self.schema_migration.version {
            return;
        }
        self.schema_migration.version = version;
        if version >= CHUNKED_SCHEMA_VERSION {
            log::info!("schema version raised schema_version={version}");
            let tightest = self.settings.deployment.state.tightest();
            self.state.set_rates(tightest.rps, tightest.write_rps);
            self.apply_schema();
        }
    }

    /// Applies the present schema to the leader's state, so that all records are rewritten with it.
    fn apply_schema(&mut self) {
        let now = self.now.steady;
        let schema = self.schema();
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        leader_state.scheduler.schema = schema;
        leader_state.registry.set_schema(now, schema);
        // Live jobs are rewritten in the background, when request budget is left.
        let jobs = leader_state.jobs.by_number.values_mut();
        for job in jobs.filter(|job| !job.cancelled) {
            job.mark_dirty(now);
        }
    }

    /// Registers the schema version that this program supports, unless the reply shows that it is
    /// registered already.
    pub(super) fn register_schema_support(&mut self, reply: Reply) {
        let mod_revision = match reply {
            Reply::Item(item) => {
                let stored = serde_json::from_str::<SchemaSupport>(item.value.get());
                if stored.is_ok_and(|support| {
                    support.format == SCHEMA_VERSION && support.version == PROGRAM_VERSION
                }) {
                    self.schema_migration.support_registered = true;
                    return;
                }
                item.mod_revision
            }
            Reply::Absent => 0,
            _ => return,
        };
        let key = controller_key(&self.settings.name);
        let support = SchemaSupport {
            format: SCHEMA_VERSION,
            version: PROGRAM_VERSION.to_owned(),
        };
        let txn = Transaction::default()
            .require_revision(key.clone(), mod_revision)
            .set(key, &support);
        self.request_state(
            StateRequest::WriteOwnSchemaSupport,
            Op::Transaction(txn),
            SECOND,
        );
    }

    /// Handles the reply to the write of that registration.
    pub(super) fn schema_support_registered(&mut self, reply: &Reply) {
        self.schema_migration.support_registered = matches!(reply, Reply::Applied { .. });
    }

    /// As leader, reads whether all controllers support the next schema version, and lists the chunks
    /// to find those that belong to no job, when due. The stored registrations decide, not messages
    /// of the peers, since a peer may be partitioned or down.
    pub(super) fn check_schema_support(&mut self) {
        let now = self.now.steady;
        let version = self.schema_migration.version;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        if leader_state.schedule.take_chunk_sweep(now) {
            let term = leader_state.term;
            if version >= CHUNKED_SCHEMA_VERSION {
                self.request_state(
                    StateRequest::ListChunks { term },
                    list_prefix(CHUNKS_PREFIX),
                    SECOND,
                );
            }
            return;
        }
        let interval = if version < SCHEMA_VERSION {
            SCHEMA_SUPPORT_CHECK_INTERVAL
        } else {
            CHUNK_SWEEP_INTERVAL
        };
        if leader_state
            .schedule
            .take_schema_support_check(now, interval)
        {
            let term = leader_state.term;
            self.request_state(
                StateRequest::ReadSchemaSupport { term },
                list_prefix(CONTROLLERS_PREFIX),
                SECOND,
            );
        }
    }

    /// Handles the registrations of the controllers; raises the stored version if all of them support
    /// the newest one.
    pub(super) fn schema_support_read(&mut self, reply: Reply) {
        let Reply::Items { items, .. } = reply else {
            return;
        };
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        for item in items {
            let Some(name) = item.path.strip_prefix(CONTROLLERS_PREFIX) else {
                continue;
            };
            match serde_json::from_str(item.value.get()) {
                Ok(support) => {
                    leader_state.schema_support.insert(name.to_owned(), support);
                }
                Err(error) => {
                    log::error!("schema support unreadable key={} error={error}", item.path)
                }
            }
        }
        if self.schema_migration.is_complete() || !self.controllers_without_support().is_empty() {
            return;
        }
        let Some(leader_state) = &self.leader_state else {
            return;
        };
        let txn = Transaction::default()
            .require_revision(LEADER_KEY, leader_state.leader_key_revision)
            .require_revision(SCHEMA_VERSION_KEY, leader_state.schema_key_revision)
            .set(
                SCHEMA_VERSION_KEY,
                &StoredSchemaVersion {
                    format: SCHEMA_VERSION,
                },
            );
        let term = leader_state.term;
        self.request_state(
            StateRequest::RaiseSchemaVersion { term },
            Op::Transaction(txn),
            LEADER_REQUEST_TIMEOUT,
        );
    }

    /// The controllers in the settings that have not registered support for the newest version.
    pub(super) fn controllers_without_support(&self) -> Vec<&str> {
        let Some(leader_state) = &self.leader_state else {
            return Vec::new();
        };
        let peers = self.peer_links.peers().iter();
        let all = peers
            .map(|peer| peer.name.as_str())
            .chain([self.settings.name.as_str()]);
        let supports = |name: &str| {
            let support = leader_state.schema_support.get(name);
            support.is_some_and(|support| support.format >= SCHEMA_VERSION)
        };
        all.filter(|name| !supports(name)).collect()
    }

    /// Handles the reply to the write that raises the stored version.
    pub(super) fn schema_version_raised(&mut self, reply: &Reply) {
        match reply {
            Reply::Applied { .. } => self.set_schema_version(SCHEMA_VERSION),
            // An earlier leader, or a write whose reply was lost, may have raised it: it is read at
            // once.
            _ => self.schema_migration.next_read_at = self.now.steady,
        }
    }

    /// Deletes chunks that belong to no job. Finished and shrinking jobs leave some if one transaction
    /// can't delete all of them. Each deletion has the revision of the job's header as a precondition,
    /// so that a deletion that is applied late can't remove a chunk that is in use again.
    pub(super) fn delete_orphan_chunks(&mut self, reply: Reply) {
        let Reply::Items { items, .. } = reply else {
            return;
        };
        let deletions_max = self.schema().txn_ops;
        let Some(leader_state) = &self.leader_state else {
            return;
        };
        let mut txns = Vec::new();
        for item in items {
            let Some((uid, number)) = split_chunk_key(&item.path) else {
                continue;
            };
            let txn = Transaction::default()
                .require_revision(LEADER_KEY, leader_state.leader_key_revision)
                .require_revision(item.path.clone(), item.mod_revision);
            let txn = match leader_state.jobs.get(uid) {
                Some(job)
                    if job.cancelled
                        || job.save_in_flight
                        || job.reread_pending
                        || number < job.chunks =>
                {
                    continue;
                }
                Some(job) => txn.require_revision(live_key(uid), job.mod_revision),
                None => txn
                    .require_revision(live_key(uid), 0)
                    .require_revision(stopping_key(uid), 0),
            };
            txns.push(txn.delete(item.path));
        }
        for txn in txns.into_iter().take(deletions_max) {
            self.state.submit(
                self.now.steady,
                StateRequest::DeleteOrphanChunk,
                RequestPriority::Leader,
                Op::Transaction(txn),
                LEADER_REQUEST_TIMEOUT,
            );
        }
    }
}

/// The version of this program.
pub(super) const PROGRAM_VERSION: &str = env!("CARGO_PKG_VERSION");

/// The operation that lists the keys with that prefix.
fn list_prefix(prefix: &'static str) -> Op {
    Op::List {
        prefix,
        after: String::new(),
        limit: LIST_ITEMS_MAX,
    }
}
