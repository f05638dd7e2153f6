//! Machine registry: the stored list of all machines that may have been given a task. A new leader must hear
//! from each of them, or wait for its lease to expire, before it can rely on knowing what runs.
//!
//! Owns the division of the machines into pages, each one stored value, so that a thousand machines cost a few
//! changes; and for each page what is stored, what has to be written and what is in flight. It sends nothing: it
//! hands out [`RegistryRequest`]s, and is given their results.
//!
//! Invariants at the door: a machine is registered before it is given its first task; each write and deletion
//! has the page's revision as precondition, so that one that is applied late cannot bring back an old silence
//! mark; at most one request per page is in flight; a page is deleted only once all its machines are stored in
//! other pages.

mod page;

use crate::clock::{MILLISECOND, Micros, Now, SECOND};
use crate::schema::Schema;
use crate::seeded_hash::{HashMap, HashSet};
use crate::state_client::RawJson;
use crate::worker_ledger::{Machine, WorkerLedger};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

pub use page::{Entries, RegistryEntry};

/// Prefix of the keys of all pages.
pub const REGISTRY_PREFIX: &str = "roll/";
/// Prefix of the keys of pages of schema version 1.
const PAGE_PREFIX_V1: &str = "roll/g-";
/// Prefix of the keys of pages of schema version 2.
const PAGE_PREFIX: &str = "roll/p-";
/// What an entry of schema version 1 takes, with the images that it will come to hold.
const ENTRY_BYTES_V1: usize = 180;
/// What an entry of schema version 2 takes, with the images that it will come to hold.
const ENTRY_BYTES: usize = 26;
/// What the lists at the beginning of a page of schema version 2 take.
const PAGE_LISTS_BYTES: usize = 600;
/// The most machines of a page: each write of a page costs the leader processor time for all of them. With as
/// many as fit a large value, the writes for a growing fleet delayed the answers to users.
const PAGE_MACHINES_MAX: usize = 160;
/// New machines and silence marks are written together with those of the next moment.
const WRITE_BATCH_DELAY: Micros = 200 * MILLISECOND;
/// Which images a machine has cached only helps a new leader's placements: their write waits, the longer the
/// more machines there are.
const IMAGE_WRITE_DELAY_PER_MACHINE: Micros = 25 * MILLISECOND;
/// With more pages than this the writes of images are delayed further, in proportion.
const UNSCALED_PAGES: Micros = 10;
/// How far apart the migrations of pages begin.
const MIGRATION_INTERVAL: Micros = 300 * MILLISECOND;
/// A machine that is gone is removed from its page after this delay, together with others.
const REMOVAL_DELAY: Micros = 3 * SECOND;

/// Machines as a page was written with them, each with its silence mark.
pub type WrittenMachines = Vec<(Arc<str>, Option<Micros>)>;

#[derive(Default)]
struct RegistryPage {
    /// Revision of the stored value (0: none); `None`: unknown, to be read.
    mod_revision: Option<u64>,
    members: BTreeSet<Arc<str>>,
    /// When it is to be written.
    due_at: Option<Micros>,
    in_flight: bool,
    /// The members that its stored value marks as silent.
    silence_marks: BTreeSet<Arc<str>>,
    /// Its members are moving to other pages; it is deleted once all of them are stored there.
    retiring: bool,
    /// A write that was to create it had no answer. It may be carried out at any later time at which the key is
    /// absent, with the silence marks of then. The page is therefore emptied instead of deleted, as long as this
    /// node is the leader: that write has the leader's key as precondition.
    creation_unconfirmed: bool,
}

impl RegistryPage {
    fn schedule(&mut self, at: Micros) {
        self.due_at = Some(self.due_at.map_or(at, |due_at| due_at.min(at)));
    }
}

/// A request to the key-value store.
pub enum RegistryRequest {
    /// Read the page under this key; the result goes to [`MachineRegistry::handle_page_read`].
    Read(String),
    /// Write a page; the result goes to [`MachineRegistry::handle_page_written`].
    Write {
        /// Key of the page.
        key: String,
        /// Precondition: the key's revision (0: absent).
        mod_revision: u64,
        /// The new value.
        value: RawJson,
        /// The machines in it.
        written: WrittenMachines,
        /// It has machines that are given no task before it is stored.
        registers_machines: bool,
    },
    /// Delete a page, of which all machines are stored in others; the result goes to
    /// [`MachineRegistry::handle_page_deleted`].
    Delete {
        /// Key of the page.
        key: String,
        /// Precondition: the key's revision.
        mod_revision: u64,
    },
}

/// How a write or a deletion ended.
pub enum WriteResult {
    /// Applied, at this store revision.
    Applied(u64),
    /// Certainly not applied, and not because a precondition did not hold.
    NotApplied,
    /// May still be applied, or a precondition did not hold: what is stored must be read.
    Unknown,
}

/// The registry, as the leader keeps it.
pub struct MachineRegistry {
    /// By key.
    pages: BTreeMap<String, RegistryPage>,
    /// The key of the page that each machine is to stand in.
    page_of: HashMap<Arc<str>, String>,
    schema: Schema,
    machines_per_page: usize,
    /// Machines that are stored in the page that they are to stand in.
    settled: HashSet<Arc<str>>,
}

/// What is looked up when pages are prepared for the store.
struct PageContext<'a> {
    now: Micros,
    schema: Schema,
    settled: &'a HashSet<Arc<str>>,
    workers: &'a WorkerLedger,
    rented: &'a BTreeSet<Arc<str>>,
}

/// What is to be done with a page that is due.
enum PageStep {
    Request(RegistryRequest),
    /// Its machines do not fit a value: how many they are.
    Split(usize),
}

impl RegistryPage {
    fn is_due(&self, context: &PageContext) -> bool {
        if self.in_flight {
            return false;
        }
        if self.retiring {
            let has_moved = |id: &Arc<str>| {
                context.settled.contains(id) || !context.workers.machines.contains_key(id)
            };
            return self.members.iter().all(has_moved);
        }
        self.due_at.is_some_and(|due_at| due_at <= context.now)
    }

    /// What is to be done with the page now; `None` for nothing.
    fn take_step(&mut self, key: &str, context: &PageContext) -> Option<PageStep> {
        if !self.is_due(context) {
            return None;
        }
        let key = key.to_owned();
        let Some(mod_revision) = self.mod_revision else {
            self.in_flight = true;
            return Some(PageStep::Request(RegistryRequest::Read(key)));
        };
        self.due_at = None;
        if self.retiring && self.creation_unconfirmed {
            self.retiring = false;
            self.members.clear();
        }
        if self.retiring {
            self.in_flight = true;
            let delete = RegistryRequest::Delete { key, mod_revision };
            return Some(PageStep::Request(delete));
        }
        let machines = self.members.iter();
        let machines: Vec<&Machine> = machines
            .filter_map(|id| context.workers.machines.get(id))
            .collect();
        let Some(value) = page::encode_within(&machines, context.rented, &context.schema) else {
            return Some(PageStep::Split(machines.len()));
        };
        self.in_flight = true;
        Some(PageStep::Request(RegistryRequest::Write {
            key,
            mod_revision,
            value,
            written: machines
                .iter()
                .map(|machine| (machine.id.clone(), machine.silent_since))
                .collect(),
            registers_machines: machines.iter().any(|machine| !machine.registered),
        }))
    }
}

impl MachineRegistry {
    /// An empty registry that writes in this schema.
    pub fn new(schema: Schema) -> Self {
        Self {
            pages: BTreeMap::new(),
            page_of: HashMap::default(),
            schema,
            machines_per_page: Self::machines_per_page(&schema),
            settled: HashSet::default(),
        }
    }

    fn machines_per_page(schema: &Schema) -> usize {
        let usable_bytes = schema.usable_bytes() * 9 / 10;
        let machines = if schema.version < 2 {
            usable_bytes / ENTRY_BYTES_V1
        } else {
            usable_bytes.saturating_sub(PAGE_LISTS_BYTES) / ENTRY_BYTES
        };
        machines.clamp(1, PAGE_MACHINES_MAX)
    }

    fn page_prefix(&self) -> &'static str {
        if self.schema.version < 2 {
            PAGE_PREFIX_V1
        } else {
            PAGE_PREFIX
        }
    }

    /// Loads a stored page at the beginning of a term. Returns the machines in it; `None` if it cannot be
    /// decoded, which is logged.
    pub fn load_page(&mut self, key: &str, value: &RawJson, mod_revision: u64) -> Option<Entries> {
        let entries = match page::decode(value) {
            Ok(entries) => entries,
            Err(error) => {
                log::error!("registry page unreadable key={key} error={error}");
                return None;
            }
        };
        let page = self.pages.entry(key.to_owned()).or_default();
        page.mod_revision = Some(mod_revision);
        for (id, entry) in &entries {
            if entry.silent_since.is_some() {
                page.silence_marks.insert(id.clone());
            }
            if self.page_of.contains_key(id) {
                // Left from a migration that was not finished: to be written without it.
                page.due_at = Some(0);
            } else {
                self.page_of.insert(id.clone(), key.to_owned());
                self.settled.insert(id.clone());
                page.members.insert(id.clone());
            }
        }
        Some(entries)
    }

    /// Writes in another schema from now on, and migrates the pages that do not fit it.
    pub fn set_schema(&mut self, now: Micros, schema: Schema) {
        if schema == self.schema {
            return;
        }
        self.schema = schema;
        self.machines_per_page = Self::machines_per_page(&schema);
        self.migrate_pages(now);
    }

    /// Migrates pages of another schema version, or with too many machines, in the background: first the
    /// new pages are stored, then the old one is deleted.
    pub fn migrate_pages(&mut self, now: Micros) {
        let prefix = self.page_prefix();
        let is_outdated = |key: &str, page: &RegistryPage| {
            !page.retiring
                && (!key.starts_with(prefix) || page.members.len() > self.machines_per_page)
        };
        let outdated = self
            .pages
            .iter()
            .filter(|(key, page)| is_outdated(key, page));
        let keys: Vec<String> = outdated.map(|(key, _)| key.clone()).collect();
        for (n, key) in keys.into_iter().enumerate() {
            self.retire_page(now + MIGRATION_INTERVAL * n as Micros, &key);
        }
    }

    /// Has the members of a page stored in others, and then the page deleted.
    fn retire_page(&mut self, at: Micros, key: &str) {
        let Some(page) = self.pages.get_mut(key) else {
            return;
        };
        page.retiring = true;
        page.due_at = None;
        let members = page.members.clone();
        for id in members {
            self.page_of.remove(&id);
            self.settled.remove(&id);
            self.assign_page(&id).schedule(at + WRITE_BATCH_DELAY);
        }
    }

    /// Removes a machine that is certainly gone.
    pub fn remove(&mut self, now: Micros, id: &str) {
        self.settled.remove(id);
        if let Some(key) = self.page_of.remove(id)
            && let Some(page) = self.pages.get_mut(&key)
        {
            page.members.remove(id);
            page.schedule(now + REMOVAL_DELAY);
        }
        for page in self.pages.values_mut().filter(|page| page.retiring) {
            page.members.remove(id);
        }
    }

    /// The page that a machine is to stand in; assigns one if it has none.
    fn assign_page(&mut self, id: &Arc<str>) -> &mut RegistryPage {
        let key = match self.page_of.get(id) {
            Some(key) => key.clone(),
            None => {
                let key = self.find_open_page().unwrap_or_else(|| self.new_page_key());
                self.page_of.insert(id.clone(), key.clone());
                key
            }
        };
        let page = self.pages.entry(key).or_insert_with(|| RegistryPage {
            mod_revision: Some(0),
            ..RegistryPage::default()
        });
        page.members.insert(id.clone());
        page
    }

    fn find_open_page(&self) -> Option<String> {
        let prefix = self.page_prefix();
        let mut pages = self.pages.iter();
        let open = pages.find(|(key, page)| {
            !page.retiring && key.starts_with(prefix) && page.members.len() < self.machines_per_page
        });
        open.map(|(key, _)| key.clone())
    }

    fn new_page_key(&self) -> String {
        let prefix = self.page_prefix();
        let mut keys = (0..).map(|n| format!("{prefix}{n}"));
        keys.find(|key| !self.pages.contains_key(key))
            .unwrap_or_default()
    }

    /// Takes the machines that have to be registered anew from the ledger, and hands out the requests that
    /// are due.
    pub fn take_due_requests(
        &mut self,
        now: Now,
        workers: &mut WorkerLedger,
        rented: &BTreeSet<Arc<str>>,
    ) -> Vec<RegistryRequest> {
        let now = now.steady;
        self.schedule_updates(now, workers);
        let context = PageContext {
            now,
            schema: self.schema,
            settled: &self.settled,
            workers,
            rented,
        };
        let mut requests = Vec::new();
        let mut overfull = Vec::new();
        for (key, page) in &mut self.pages {
            match page.take_step(key, &context) {
                Some(PageStep::Request(request)) => requests.push(request),
                Some(PageStep::Split(machines)) => overfull.push((key.clone(), machines)),
                None => {}
            }
        }
        for (key, machines) in overfull {
            // Names or addresses are longer than the estimate for an entry.
            self.machines_per_page = self.machines_per_page.min(machines.div_ceil(2)).max(1);
            self.retire_page(now, &key);
        }
        requests
    }

    /// Schedules writes for the machines that the ledger has reported since the last call. Only for those: a
    /// machine that is about to be stored is not reported again, or its page would be written once more as
    /// soon as the write in flight is done.
    fn schedule_updates(&mut self, now: Micros, workers: &mut WorkerLedger) {
        let machine_count = workers.machines.len() as Micros;
        // The more pages, the longer: their writes compete with those that starts of tasks wait for.
        let pages = (self.pages.len() as Micros).max(UNSCALED_PAGES);
        let image_write_delay =
            IMAGE_WRITE_DELAY_PER_MACHINE * machine_count * pages / UNSCALED_PAGES;
        for id in workers.take_registry_updates() {
            let Some(machine) = workers.machines.get_mut(&id) else {
                continue;
            };
            let is_urgent = !machine.registered || machine.registry_stale;
            if machine.address.is_none() || (!is_urgent && !machine.images_stale) {
                continue;
            }
            machine.registry_stale = false;
            machine.images_stale = false;
            let delay = if is_urgent { 0 } else { image_write_delay };
            self.assign_page(&machine.id)
                .schedule(now + WRITE_BATCH_DELAY + delay);
        }
    }

    /// Takes the result of [`RegistryRequest::Read`]: the key's revision (0: absent), or `None` if the read
    /// failed.
    pub fn handle_page_read(&mut self, now: Micros, key: &str, mod_revision: Option<u64>) {
        if let Some(page) = self.pages.get_mut(key) {
            page.in_flight = false;
            page.mod_revision = mod_revision;
            page.schedule(now);
        }
    }

    /// Takes the result of [`RegistryRequest::Delete`].
    pub fn handle_page_deleted(
        &mut self,
        key: &str,
        result: &WriteResult,
        workers: &mut WorkerLedger,
    ) {
        let Some(page) = self.pages.get_mut(key) else {
            return;
        };
        page.in_flight = false;
        match result {
            WriteResult::Applied(_) => {
                let deleted = self.pages.remove(key).unwrap_or_default();
                for id in deleted.silence_marks {
                    // Its mark, if it still holds, stands in the machine's own page.
                    workers.mark_registry_stale(&id);
                }
            }
            WriteResult::NotApplied => {}
            WriteResult::Unknown => page.mod_revision = None,
        }
    }

    /// Takes the result of [`RegistryRequest::Write`].
    pub fn handle_page_written(
        &mut self,
        now: Micros,
        key: &str,
        written: WrittenMachines,
        result: &WriteResult,
        workers: &mut WorkerLedger,
    ) {
        let Some(page) = self.pages.get_mut(key) else {
            return;
        };
        page.in_flight = false;
        match result {
            WriteResult::Applied(mod_revision) => {
                page.mod_revision = Some(*mod_revision);
                let marked = written.iter().filter(|(_, mark)| mark.is_some());
                let marked = marked.map(|(id, _)| id.clone()).collect();
                for id in std::mem::replace(&mut page.silence_marks, marked) {
                    // Moved to another page, whose write may have waited for this one.
                    if !page.members.contains(&id) {
                        workers.mark_registry_stale(&id);
                    }
                }
                for (id, mark) in written {
                    self.machine_written(key, &id, mark, workers);
                }
            }
            WriteResult::NotApplied => page.schedule(now + WRITE_BATCH_DELAY),
            WriteResult::Unknown => {
                page.creation_unconfirmed |= page.mod_revision == Some(0);
                page.mod_revision = None;
                page.schedule(now);
            }
        }
    }

    /// A machine is stored in the page under `key`, with this silence mark.
    fn machine_written(
        &mut self,
        key: &str,
        id: &Arc<str>,
        mark: Option<Micros>,
        workers: &mut WorkerLedger,
    ) {
        let Some(machine) = workers.machines.get_mut(id) else {
            return;
        };
        let before = (machine.registered, machine.silence_stored);
        machine.registered = true;
        if self.page_of.get(id).is_some_and(|own| own == key) {
            self.settled.insert(id.clone());
        }
        // A later leader may read any page that names the machine, also one that is about to be deleted.
        let is_marked_elsewhere = self
            .pages
            .iter()
            .any(|(other, page)| other != key && page.silence_marks.contains(id));
        if mark.is_none() && machine.silent_since.is_none() && !is_marked_elsewhere {
            machine.silence_stored = false;
        }
        if before != (machine.registered, machine.silence_stored) {
            workers.mark_changed(id);
        }
    }
}
