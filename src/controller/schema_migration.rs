//! Which format is written: what each controller understands, and when the stored number goes up.

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

/// How often the stored format is read while it may still go up.
const SCHEMA_CHECK_INTERVAL: Micros = 2 * SECOND;
/// How often the leader looks whether all controllers understand the next format.
const SCHEMA_SUPPORT_CHECK_INTERVAL: Micros = SECOND;
/// What this node knows of the stored schema version and of the limits that go with it.
#[derive(Default)]
pub(super) struct SchemaMigration {
    /// The stored schema version as last read; 0 before the first read. It only rises.
    version: u32,
    next_read_at: Micros,
    /// The state service holds the record of what this program supports.
    support_registered: bool,
    /// The state service has shown that the announced lower limits are in force already.
    reduced_value_size: bool,
    reduced_write_rate: bool,
    /// Why this process can't go on, if so.
    fatal_error: Option<String>,
}

impl SchemaMigration {
    /// The stored schema version as far as this node knows; 0 before the first read.
    pub(super) fn version(&self) -> u32 {
        self.version
    }

    /// Whether the newest schema version that this program knows is the stored one.
    pub(super) fn is_complete(&self) -> bool {
        self.version >= SCHEMA_VERSION
    }
}

impl Controller {
    /// What is written now, and within which limits.
    pub(super) fn schema(&self) -> Schema {
        let state = &self.settings.deployment.state;
        let tight = state.tightest();
        // Everything of a newer format fits the limits to come: they come without notice.
        let limits =
            if self.schema_migration.version >= 2 || self.schema_migration.reduced_value_size {
                &tight
            } else {
                state
            };
        Schema {
            version: self.schema_migration.version.max(1),
            value_bytes: limits.value_bytes(),
            txn_ops: limits.txn_ops,
        }
    }

    /// Why this process must end, if so.
    pub fn fatal_error(&self) -> Option<&str> {
        self.schema_migration.fatal_error.as_deref()
    }

    pub(super) fn check_schema_version(&mut self) {
        let t = self.now.steady;
        self.apply_refused_limits();
        if t < self.schema_migration.next_read_at
            || (self.schema_migration.support_registered && self.schema_migration.is_complete())
        {
            return;
        }
        self.schema_migration.next_read_at = t + SCHEMA_CHECK_INTERVAL;
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

    /// A value refused for its size, or changes for their rate, say that the lower limits hold
    /// already. Without this the same write would be refused again and again.
    fn apply_refused_limits(&mut self) {
        let refused = self.state.take_refused();
        let state = &self.settings.deployment.state;
        if state.next.is_none() {
            return;
        }
        if refused.rate && !self.schema_migration.reduced_write_rate {
            log::info!("the state service refuses the rate of changes; keeping to the next one");
            self.schema_migration.reduced_write_rate = true;
            let tight = state.tightest();
            self.state.set_rates(tight.rps, tight.write_rps);
        }
        if refused.size && !self.schema_migration.reduced_value_size {
            log::info!("the state service refuses a size; keeping to the next limits");
            self.schema_migration.reduced_value_size = true;
            self.apply_schema();
        }
    }

    pub(super) fn schema_version_read(&mut self, reply: Reply) {
        match reply {
            Reply::Item(item) => self.learn_schema_version(&item),
            Reply::Absent => self.set_schema_version(1),
            _ => {}
        }
    }

    pub(super) fn learn_schema_version(&mut self, item: &Item) {
        match serde_json::from_str::<StoredSchemaVersion>(item.value.get()) {
            Ok(stored) if stored.format > SCHEMA_VERSION => {
                self.schema_migration.fatal_error = Some(format!(
                    "the state service holds format {}, this version knows formats up to {SCHEMA_VERSION}; \
                     start the version that the other controllers run",
                    stored.format
                ));
            }
            Ok(stored) => self.set_schema_version(stored.format),
            Err(e) => {
                // Whatever it says, it was raised: both formats are read, the newest is written.
                log::error!("the stored {} can't be read: {e}", item.path);
                self.set_schema_version(SCHEMA_VERSION);
            }
        }
    }

    /// It only goes up.
    fn set_schema_version(&mut self, format: u32) {
        if format <= self.schema_migration.version {
            return;
        }
        self.schema_migration.version = format;
        if format >= 2 {
            log::info!("format {format} is written from now on");
            let tight = self.settings.deployment.state.tightest();
            self.state.set_rates(tight.rps, tight.write_rps);
            self.apply_schema();
        }
    }

    fn apply_schema(&mut self) {
        let t = self.now.steady;
        let layout = self.schema();
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        leader_state.scheduler.schema = layout;
        leader_state.registry.set_schema(t, layout);
        // In the background, as changes are left over, what is live is written anew.
        for job in leader_state
            .jobs
            .by_number
            .values_mut()
            .filter(|j| !j.cancelled)
        {
            job.mark_dirty(t);
        }
    }

    /// Says once what this program understands.
    pub(super) fn register_schema_support(&mut self, reply: Reply) {
        let mod_revision = match reply {
            Reply::Item(item) => {
                let said = serde_json::from_str::<SchemaSupport>(item.value.get());
                if said.is_ok_and(|u| u.format == SCHEMA_VERSION && u.version == PROGRAM_VERSION) {
                    self.schema_migration.support_registered = true;
                    return;
                }
                item.mod_revision
            }
            Reply::Absent => 0,
            _ => return,
        };
        let key = controller_key(&self.settings.name);
        let understood = SchemaSupport {
            format: SCHEMA_VERSION,
            version: PROGRAM_VERSION.to_owned(),
        };
        let txn = Transaction::default()
            .require_revision(key.clone(), mod_revision)
            .set(key, &understood);
        self.request_state(
            StateRequest::WriteOwnSchemaSupport,
            Op::Transaction(txn),
            SECOND,
        );
    }

    /// The record of what this program supports was written, or not.
    pub(super) fn schema_support_registered(&mut self, reply: &Reply) {
        self.schema_migration.support_registered = matches!(reply, Reply::Applied { .. });
    }

    /// The leader looks whether all have said that they understand the next format. The store
    /// says it, not the peers: a zone may be cut, and a controller down.
    pub(super) fn watch_schema_support(&mut self) {
        let t = self.now.steady;
        let format = self.schema_migration.version;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        if leader_state.schedule.take_chunk_sweep(t) {
            let term = leader_state.term;
            if format >= 2 {
                self.request_state(
                    StateRequest::ListChunks { term },
                    list_prefix(CHUNKS_PREFIX),
                    SECOND,
                );
            }
            return;
        }
        let interval = if format < SCHEMA_VERSION {
            SCHEMA_SUPPORT_CHECK_INTERVAL
        } else {
            CHUNK_SWEEP_INTERVAL
        };
        if leader_state.schedule.take_schema_support_check(t, interval) {
            let term = leader_state.term;
            self.request_state(
                StateRequest::ReadSchemaSupport { term },
                list_prefix(CONTROLLERS_PREFIX),
                SECOND,
            );
        }
    }

    pub(super) fn schema_support_read(&mut self, reply: Reply) {
        let Reply::Items { items, .. } = reply else {
            return;
        };
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        for item in items {
            let Some(label) = item.path.strip_prefix(CONTROLLERS_PREFIX) else {
                continue;
            };
            match serde_json::from_str(item.value.get()) {
                Ok(understood) => {
                    leader_state
                        .schema_support
                        .insert(label.to_owned(), understood);
                }
                Err(e) => log::error!("{} can't be read: {e}", item.path),
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

    /// The controllers of the settings that have not said that they understand the format.
    pub(super) fn controllers_without_support(&self) -> Vec<&str> {
        let Some(leader_state) = &self.leader_state else {
            return Vec::new();
        };
        let others = self.settings.peers.iter().map(|p| p.name.as_str());
        let all = others.chain([self.settings.name.as_str()]);
        let able = |label: &str| {
            leader_state
                .schema_support
                .get(label)
                .is_some_and(|u| u.format >= SCHEMA_VERSION)
        };
        all.filter(|label| !able(label)).collect()
    }

    pub(super) fn schema_version_raised(&mut self, reply: &Reply) {
        match reply {
            Reply::Applied { .. } => self.set_schema_version(SCHEMA_VERSION),
            // Raised by an earlier leader, or by a write whose answer was lost: it is read.
            _ => self.schema_migration.next_read_at = self.now.steady,
        }
    }

    /// Deletes pieces that belong to no job: ends and shrinking jobs leave some behind when they
    /// have more than one transaction removes. Each deletion is conditional on the head, so that
    /// one that is applied late can't take a piece that has come into use again.
    pub(super) fn delete_orphan_chunks(&mut self, reply: Reply) {
        let Reply::Items { items, .. } = reply else {
            return;
        };
        let most = self.schema().txn_ops;
        let Some(leader_state) = &self.leader_state else {
            return;
        };
        let mut txns = Vec::new();
        for item in items {
            let Some((uid, n)) = split_chunk_key(&item.path) else {
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
                        || n < job.chunks =>
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
        for txn in txns.into_iter().take(most) {
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

pub(super) const PROGRAM_VERSION: &str = env!("CARGO_PKG_VERSION");

fn list_prefix(prefix: &'static str) -> Op {
    Op::List {
        prefix,
        after: String::new(),
        limit: 500,
    }
}
