//! Taking over leadership, loading the leader's state, and stepping down.
//!
//! A new leader builds its state from the stored jobs, machine registry and schema version. It takes
//! them from the replica that it kept as a standby, or reads them from the state service. It treats
//! stored placements as unconfirmed until their machines have reported, so that no task is started
//! twice. If a record can't be read, its placements are unknown: the leader then starts no task
//! until every worker lease that existed when it loaded its state has expired.

use super::Controller;
use super::leader::LeaderState;
use super::leader_schedule::LeaderSchedule;
use super::state_request::StateRequest;
use crate::accounting::{WorkloadAccounting, WorkloadEvent};
use crate::cancellation_freshness::{CancellationFreshness, validity_from_settings};
use crate::clock::{MILLISECOND, Micros, SECOND, drift_upper_bound, from_secs};
use crate::dependency_graph::DependencyGraph;
use crate::fault_injection::{InjectedFault, fault_injected};
use crate::job_record::{JobRecord, LIVE_PREFIX, STOPPING_PREFIX, live_key};
use crate::jobs::JobTable;
use crate::reconciliation::Reconciliation;
use crate::registry::MachineRegistry;
use crate::replica::{Checksum, JobHeader, Replica};
use crate::scheduler::Scheduler;
use crate::schema::{self, Schema, chunk_key};
use crate::seeded_hash::HashMap;
use crate::state_client::Reply;
use crate::task_id::TaskId;
use crate::worker_ledger::{LEADER_PROBE_DELAY, WorkerLedger};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// A leader that receives no heartbeat for this long, and for at least two heartbeat periods,
/// resigns.
const FLEET_SILENCE_TIMEOUT: Micros = 10 * SECOND;
/// How long a leader stays out of the election after it has resigned because it could not do its
/// work. The time doubles with each further such resignation.
const RESIGN_BACKOFF_MIN: Micros = 5 * SECOND;
/// Upper limit of that time.
const RESIGN_BACKOFF_MAX: Micros = 60 * SECOND;

/// Counts from loading the stored jobs.
#[derive(Default)]
struct LoadedJobs {
    /// Placements whose machines have not reported under the new term yet.
    unconfirmed: usize,
    /// Records or chunks that are missing or could not be decoded.
    unreadable: usize,
}

/// Inputs for loading the stored jobs.
struct LoadContext {
    now: Micros,
    schema: Schema,
    /// Whether a page of the machine registry could not be decoded.
    registry_unreadable: bool,
}

/// A stored job that is added to the leader's job table.
#[derive(Clone, Copy)]
pub(super) struct StoredJob<'a> {
    /// Its record, completed from its chunks.
    pub(super) record: &'a JobRecord,
    /// Number of chunks that belong to it.
    pub(super) chunks: usize,
    /// The revision of its key.
    pub(super) mod_revision: u64,
    /// Whether it was cancelled; its tasks may still be on machines.
    pub(super) cancelled: bool,
}

impl Controller {
    /// Starts to load the leader's state after this node has won the election. `sent` is the send
    /// time of the transaction that acquired leadership.
    pub(super) fn become_leader(&mut self, term: u64, mod_revision: u64, sent: Micros) {
        log::info!("elected leader term={term}");
        self.state.set_is_leader(true);
        self.cloud.reset();
        self.leader_state = Some(self.new_leader_state(term, mod_revision, sent));
        self.continue_load();
    }

    fn new_leader_state(&mut self, term: u64, mod_revision: u64, sent: Micros) -> LeaderState {
        let now = self.now.steady;
        let (load, failover) = self.begin_load(mod_revision);
        let schema = self.schema();
        let settings = &self.settings;
        let (lease, heartbeat_period) = (settings.worker_lease(), settings.heartbeat_period());
        let seed = self.rng_seed ^ term;
        LeaderState {
            term,
            leader_key_revision: mod_revision,
            jobs: JobTable::default(),
            dependency_graph: DependencyGraph::default(),
            cascading_cancellations: VecDeque::new(),
            workers: WorkerLedger::new(
                term,
                now,
                lease,
                heartbeat_period,
                self.peer_links.addresses(),
            ),
            scheduler: Scheduler::new(&self.properties, settings, schema, seed, now),
            registry: MachineRegistry::new(schema),
            schema_key_revision: 0,
            schema_support: BTreeMap::new(),
            starts_held_until: 0,
            pending_load: Some(load),
            failover,
            reconciliation: Reconciliation::new(now, 0, 0),
            reconciliation_logged: false,
            jobs_revision: 0,
            // The state is loaded at the revision of the election or later, so it includes every
            // cancellation stored before `sent`.
            cancellation_freshness: CancellationFreshness::new(
                validity_from_settings(lease, settings.cancellation_deadline()),
                sent,
            ),
            job_revisions: HashMap::default(),
            jobs_checksum: Checksum::default(),
            schedule: LeaderSchedule::new(now),
            rented_machines: BTreeSet::new(),
            cancellation_hints: 0,
            accounting: WorkloadAccounting::default(),
            wanted_machines: Vec::new(),
            elected_at: now,
            last_busy_at: now,
            valid_since: now,
        }
    }

    /// Gives up leadership and stays out of the election for `backoff`.
    pub(super) fn resign(&mut self, backoff: Micros) {
        for (step, op) in self.election.resign(self.now.steady, backoff) {
            self.request_state(StateRequest::Election(step), op, SECOND);
        }
        self.step_down();
    }

    /// Resigns because this leader can't do its work, with a longer backoff each time.
    fn resign_with_backoff(&mut self) {
        self.resign_backoff =
            (2 * self.resign_backoff).clamp(RESIGN_BACKOFF_MIN, RESIGN_BACKOFF_MAX);
        self.resign(self.resign_backoff);
    }

    /// Resigns if no machine's heartbeat has arrived for too long, neither directly nor through a
    /// peer; returns whether it did. The other controllers may still receive heartbeats, while the
    /// leases of all workers would expire under this leader.
    pub(super) fn resign_if_fleet_silent(&mut self) -> bool {
        let now = self.now.steady;
        let Some(leader_state) = &self.leader_state else {
            return false;
        };
        let timeout = FLEET_SILENCE_TIMEOUT.max(2 * self.settings.heartbeat_period());
        let heard_at = leader_state
            .workers
            .any_machine_seen_at
            .max(leader_state.valid_since);
        let machines = leader_state.workers.machines.len();
        if now <= heard_at + timeout || machines < 2 || self.peer_links.is_empty() {
            return false;
        }
        log::warn!("no machine is heard; resigning as leader machines={machines}");
        self.resign_with_backoff();
        true
    }

    /// Resigns, to continue under a new term, if this term's attempt numbers or fence counters are
    /// nearly used up: beyond their range they would collide with those of the next term. Returns
    /// whether it did.
    pub(super) fn resign_if_numbering_exhausted(&mut self) -> bool {
        let exhausted = |leader_state: &LeaderState| leader_state.workers.is_numbering_exhausted();
        if !self.leader_state.as_ref().is_some_and(exhausted) {
            return false;
        }
        log::warn!(
            "attempt numbers or fence counters exhausted; resigning to continue under a new term"
        );
        self.resign(0);
        true
    }

    /// Resigns if the state service renews this leader's lease but does not answer its reads of
    /// cancellations; returns whether it did. Without these reads the leader soon may not act, and
    /// the state service may answer another controller.
    pub(super) fn resign_if_cancellations_stale(&mut self) -> bool {
        let (now, since) = (self.now.steady, self.election.lease_valid_since());
        let Some(leader_state) = &self.leader_state else {
            return false;
        };
        let freshness = &leader_state.cancellation_freshness;
        if self.peer_links.is_empty() || !freshness.is_refresh_stuck(now, since) {
            return false;
        }
        let stale_ms = freshness.age(now) / MILLISECOND;
        log::warn!("cancellations can't be read; resigning as leader stale_ms={stale_ms}");
        self.resign_with_backoff();
        true
    }

    /// Drops the leader's state.
    pub(super) fn step_down(&mut self) {
        if let Some(leader_state) = self.leader_state.take() {
            log::info!("no longer leader term={}", leader_state.term);
        }
        self.state.set_is_leader(false);
    }

    /// Builds the leader's state from the stored records; returns the number of unconfirmed
    /// placements.
    pub(super) fn finish_load(&mut self, mut replica: Replica) -> usize {
        self.load_revisions(&replica);
        self.load_schema_version(&replica);
        let (now, schema) = (self.now.steady, self.schema());
        let registry_unreadable = self.load_registry(&replica, schema);
        let Some(leader_state) = &mut self.leader_state else {
            return 0;
        };
        let context = LoadContext {
            now,
            schema,
            registry_unreadable,
        };
        let loaded = Self::load_jobs(leader_state, &context, &mut replica);
        if loaded.unreadable > 0 || registry_unreadable {
            // Placements in unreadable records are unknown. A task that no machine has reported
            // by the time all leases have expired is certainly not running.
            leader_state.starts_held_until = now + drift_upper_bound(self.settings.worker_lease());
            log::error!("stored records unreadable; no task starts until all leases have expired");
        }
        let waiting: Vec<Arc<str>> = leader_state
            .jobs
            .by_number
            .values()
            .filter(|job| job.waits_for_dependencies())
            .map(|job| job.spec.uid.clone())
            .collect();
        for uid in &waiting {
            Self::add_dependencies(leader_state, &self.cloud, uid);
        }
        leader_state.schedule.request_placement_now(now);
        self.begin_reconciliation(loaded.unconfirmed);
        loaded.unconfirmed
    }

    /// Sets the revisions of the live jobs, and the checksum over them, from the replica.
    fn load_revisions(&mut self, replica: &Replica) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        leader_state.pending_load = None;
        leader_state.jobs_revision = replica.revision();
        let live = replica.live.iter();
        leader_state.job_revisions = live
            .map(|(uid, header)| (uid.clone(), header.mod_revision))
            .collect();
        for (uid, mod_revision) in &leader_state.job_revisions {
            leader_state
                .jobs_checksum
                .toggle(&live_key(uid), *mod_revision);
        }
    }

    fn load_schema_version(&mut self, replica: &Replica) {
        match replica.schema_version() {
            Some(item) => {
                self.handle_stored_schema_version(item);
                if let Some(leader_state) = &mut self.leader_state {
                    leader_state.schema_key_revision = item.mod_revision;
                }
            }
            None => self.schema_version_read(Reply::NotFound),
        }
    }

    /// Loads the machine registry; returns whether a page of it could not be decoded.
    fn load_registry(&mut self, replica: &Replica, schema: Schema) -> bool {
        let now = self.now.steady;
        let Some(leader_state) = &mut self.leader_state else {
            return false;
        };
        leader_state.scheduler.schema = schema;
        leader_state.registry.set_schema(now, schema);
        let clock_offset_max = from_secs(self.settings.deployment.clock_offset_max_ms / 1000.0);
        let mut unreadable = false;
        for item in replica.registry_pages() {
            let page = leader_state
                .registry
                .load_page(&item.key, &item.value, item.mod_revision);
            let Some(entries) = page else {
                unreadable = true;
                continue;
            };
            for (id, entry) in entries {
                leader_state.workers.add_registered_machine(
                    id.clone(),
                    &entry.address,
                    &entry.machine_type,
                    &entry.zone,
                    entry.spot,
                    now,
                );
                if let Some(silent_since) = entry.silent_since {
                    leader_state.workers.load_silence_mark(
                        &id,
                        silent_since,
                        self.now,
                        clock_offset_max,
                    );
                }
                if let Some(machine) = leader_state.workers.machines.get_mut(&id) {
                    let images = entry.images.into_iter();
                    machine
                        .images
                        .extend(images.map(|image| (image, (now, 0.0))));
                }
                if entry.rented {
                    leader_state.rented_machines.insert(id);
                }
            }
        }
        leader_state.registry.migrate_pages(now);
        unreadable
    }

    /// Loads the live jobs, and then the cancelled jobs whose tasks may still be on machines.
    fn load_jobs(
        leader_state: &mut LeaderState,
        context: &LoadContext,
        replica: &mut Replica,
    ) -> LoadedJobs {
        let skipped = usize::from(fault_injected(InjectedFault::LiveJobSkippedOnTakeover));
        let mut loaded = LoadedJobs::default();
        let live = std::mem::take(&mut replica.live);
        let stopping = std::mem::take(&mut replica.stopping);
        for (headers, prefix, cancelled) in [
            (live, LIVE_PREFIX, false),
            (stopping, STOPPING_PREFIX, true),
        ] {
            for (uid, header) in headers.into_iter().skip(skipped) {
                let (mod_revision, bytes) = (header.mod_revision, header.bytes);
                let record = read_record(replica, prefix, &uid, header, &mut loaded.unreadable);
                let Some((record, chunks)) = record else {
                    continue;
                };
                if context.registry_unreadable {
                    // A machine that no readable registry page lists may still hold its tasks.
                    for machine in record.placed.keys() {
                        let id = machine.clone();
                        leader_state.workers.add_registered_machine(
                            id,
                            "",
                            "",
                            "",
                            false,
                            context.now,
                        );
                    }
                }
                let stored = StoredJob {
                    record: &record,
                    chunks,
                    mod_revision,
                    cancelled,
                };
                loaded.unconfirmed += Self::add_stored_job(leader_state, context.now, stored);
                if bytes > context.schema.usable_bytes()
                    && let Some(job) = leader_state.jobs.get_mut(&uid)
                {
                    // Stored under larger limits than the present ones, and not rewritten since.
                    job.mark_dirty(context.now);
                }
            }
        }
        loaded
    }

    /// Starts to reconcile the stored placements with the machines' reports.
    fn begin_reconciliation(&mut self, unconfirmed: usize) {
        let now = self.now.steady;
        // A node that has never received a message from a leader has just started, and most likely
        // so have its peers. They receive no heartbeats yet, so none of them would probe a worker on
        // its own, and the leader assigns the probes at once. Otherwise the peers first probe the
        // workers that report to them.
        let cold_start =
            self.client_requests.progress_at() == 0 && self.peer_links.leader_hint_at().is_none();
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        leader_state.schedule.schedule_probe_sharing(if cold_start {
            now
        } else {
            now + LEADER_PROBE_DELAY
        });
        let machines = leader_state.workers.machines.len();
        leader_state.reconciliation =
            Reconciliation::new(now, machines, self.settings.heartbeat_period());
        let completion_rate = leader_state
            .scheduler
            .estimate_completion_rate(now, &leader_state.workers);
        leader_state
            .reconciliation
            .expect_completion_rate(completion_rate);
        log::info!(
            "leader state loaded term={} jobs={} machines={machines} unconfirmed={unconfirmed}",
            leader_state.term,
            leader_state.jobs.by_number.len(),
        );
    }

    /// Adds a stored job to the job table with its placements as unconfirmed; returns the number of
    /// these placements.
    pub(super) fn add_stored_job(
        leader_state: &mut LeaderState,
        now: Micros,
        stored: StoredJob<'_>,
    ) -> usize {
        let StoredJob {
            record,
            mod_revision,
            cancelled,
            ..
        } = stored;
        let uid = record.spec.uid.clone();
        if let Some(job) = leader_state.jobs.get_mut(&uid) {
            if cancelled {
                // The job was cancelled between the read of the live jobs and that of the cancelled
                // ones, which happens if the state service can't report the changes of all keys.
                // The watch would report the deletion with a revision that this leader counts as
                // known, and the deletion would be dropped.
                Self::mark_cancelled(leader_state, &uid);
            } else if job.mod_revision < mod_revision && !job.save_in_flight {
                job.mod_revision = mod_revision;
            }
            return 0;
        }
        let number = leader_state.jobs.add(record, mod_revision);
        let tasks = record.spec.tasks.saturating_sub(record.done_count());
        leader_state
            .accounting
            .record(&record.spec, WorkloadEvent::Accepted { tasks });
        let mut unconfirmed = 0;
        for (machine, ranges) in &record.placed {
            for index in ranges.iter().flat_map(|(from, to)| *from..*to) {
                let task = TaskId { job: number, index };
                // The registry entry of a machine is removed only after the machine is proven gone,
                // so a placement on an unregistered machine is not added.
                if leader_state
                    .workers
                    .add_unconfirmed(machine, task, &record.spec, now)
                    && let Some(job) = leader_state.jobs.by_number.get_mut(&number)
                {
                    job.add_placement(index, machine, 0);
                    unconfirmed += 1;
                }
            }
        }
        if let Some(job) = leader_state.jobs.by_number.get_mut(&number) {
            job.cancelled = cancelled;
            job.chunks = stored.chunks;
        }
        unconfirmed
    }
}

/// Completes a job's record from its chunks and returns it with the number of chunks. Adds to
/// `unreadable` the header or chunks that are missing or can't be decoded; returns `None` if the
/// header can't be decoded.
fn read_record(
    replica: &Replica,
    prefix: &str,
    uid: &str,
    header: JobHeader,
    unreadable: &mut usize,
) -> Option<(JobRecord, usize)> {
    let (mut record, chunks) = match header.decoded {
        Ok(read) => read,
        Err(error) => {
            log::error!("stored job unreadable key={prefix}{uid} error={error}");
            *unreadable += 1;
            return None;
        }
    };
    for number in 0..chunks {
        let key = chunk_key(uid, number);
        let Some(item) = replica.chunk(uid, number) else {
            log::error!("chunk of a stored job missing key={key}");
            *unreadable += 1;
            continue;
        };
        if let Err(error) = schema::decode_chunk(&item.value, &mut record) {
            log::error!("chunk of a stored job unreadable key={key} error={error}");
            *unreadable += 1;
        }
    }
    Some((record, chunks))
}
