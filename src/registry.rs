//! The stored roll of machines that may have been given a task: what a new leader must hear or
//! wait for. Many machines share one stored value, so that a thousand of them cost a few changes.
//!
//! Each write is conditional on the value's stamp: one that is applied late must not bring an
//! old mark back.

use crate::clock::{MILLISECOND, Micros, Now, SECOND};
use crate::schema::{self, Schema, SchemaError, compress_prefix, expand_prefix, version_1};
use crate::seeded_hash::{HashMap, HashSet};
use crate::state_client::{Raw, raw};
use crate::worker_ledger::{Machine, WorkerLedger};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

pub const REGISTRY_PREFIX: &str = "roll/";
/// Pages of format 1 and of format 2.
const PAGE_PREFIX_V1: &str = "roll/g-";
const PAGE_PREFIX: &str = "roll/p-";
/// What an entry of format 1 may take, with the images it will come to hold.
const ENTRY_BYTES_V1: usize = 180;
/// The same in format 2, and what the lists at a page's head may take.
const ENTRY_BYTES: usize = 26;
const PAGE_LISTS_BYTES: usize = 600;
/// The most machines of a page: each write of one costs the leader time for all of them. With as
/// many as fit a large value, a fleet that grew cost it what users then waited for.
const PAGE_MACHINES_MAX: usize = 160;
/// New machines and marks are written together with those of the next moment.
const WRITE_BATCH_DELAY: Micros = 200 * MILLISECOND;
/// Which images a machine holds only helps a new leader: it can wait for company.
const IMAGE_WRITE_DELAY_PER_MACHINE: Micros = 25 * MILLISECOND;
/// That many pages may have their images written at the pace of the fleet alone.
const UNSCALED_PAGES: Micros = 10;
/// Pages that are made anew follow each other at this distance.
const MIGRATION_INTERVAL: Micros = 300 * MILLISECOND;

/// One machine as stored, read from either format.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RegistryEntry {
    pub addr: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub rented: bool,
    pub images: Vec<Arc<str>>,
    /// Time of day of the last contact with a machine that fell silent.
    pub quiet: Option<Micros>,
}

/// The value of a page in format 2. Kinds are type, zone, whether spot and whether hired;
/// machines are name and address, as what differs from the entry before, the number of the kind,
/// the numbers of the images, and the mark of a silent one.
#[derive(Serialize, Deserialize)]
struct StoredPage {
    format: u32,
    kinds: Vec<(String, String, bool, bool)>,
    images: Vec<Arc<str>>,
    machines: Vec<String>,
}

pub type Entries = BTreeMap<Arc<str>, RegistryEntry>;

fn decode_page(value: &Raw) -> Result<Entries, SchemaError> {
    let Ok(page) = serde_json::from_str::<StoredPage>(value.get()) else {
        let page: version_1::StoredPage = serde_json::from_str(value.get())?;
        let entries = page.machines.into_iter().map(|(id, e)| {
            let images = e.images.iter().filter_map(|n| page.images.get(*n)).cloned();
            let entry = RegistryEntry {
                images: images.collect(),
                addr: e.address,
                machine_type: e.machine_type,
                zone: e.zone,
                spot: e.spot,
                rented: e.rented,
                quiet: e.silent_since,
            };
            (id, entry)
        });
        return Ok(entries.collect());
    };
    if page.format > schema::SCHEMA_VERSION {
        return Err(SchemaError::UnsupportedVersion(page.format));
    }
    let mut entries = Entries::new();
    let (mut name, mut addr) = (String::new(), String::new());
    for text in &page.machines {
        let wrong = || SchemaError::InvalidRegistryEntry(text.clone());
        let fields: Vec<&str> = text.split(' ').collect();
        let [id, at, kind, images, rest @ ..] = fields.as_slice() else {
            return Err(wrong());
        };
        name = expand_prefix(&name, id).ok_or_else(wrong)?;
        addr = expand_prefix(&addr, at).ok_or_else(wrong)?;
        let kind = kind.parse::<usize>().ok().and_then(|k| page.kinds.get(k));
        let (machine_type, zone, spot, rented) = kind.ok_or_else(wrong)?.clone();
        let images = images.split('.').filter_map(|n| n.parse::<usize>().ok());
        let quiet = match rest.first() {
            Some(at) => Some(at.parse().map_err(|_| wrong())?),
            None => None,
        };
        let entry = RegistryEntry {
            addr: addr.clone(),
            machine_type,
            zone,
            spot,
            rented,
            images: images.filter_map(|n| page.images.get(n)).cloned().collect(),
            quiet,
        };
        entries.insert(name.as_str().into(), entry);
    }
    Ok(entries)
}

/// Numbers things in the order in which they first come.
fn intern<T: PartialEq>(list: &mut Vec<T>, item: T) -> usize {
    match list.iter().position(|x| *x == item) {
        Some(n) => n,
        None => {
            list.push(item);
            list.len() - 1
        }
    }
}

fn encode_page(members: &[&Machine], rented: &BTreeSet<Arc<str>>, images: bool) -> Raw {
    let mut page = StoredPage {
        format: schema::SCHEMA_VERSION,
        kinds: Vec::new(),
        images: Vec::new(),
        machines: Vec::new(),
    };
    let (mut name, mut addr) = (String::new(), String::new());
    for m in members {
        let Some(at) = m.address.map(|a| a.to_string()) else {
            continue;
        };
        let kind = (
            m.machine_type.clone(),
            m.zone.clone(),
            m.spot,
            rented.contains(&m.id),
        );
        let kind = intern(&mut page.kinds, kind);
        let held: Vec<String> = m
            .images
            .keys()
            .filter(|_| images)
            .map(|i| intern(&mut page.images, i.clone()).to_string())
            .collect();
        let mut text = format!(
            "{} {} {kind} {}",
            compress_prefix(&name, &m.id),
            compress_prefix(&addr, &at),
            held.join(".")
        );
        if let Some(quiet) = m.silent_since {
            text.push_str(&format!(" {quiet}"));
        }
        page.machines.push(text);
        (name, addr) = (m.id.to_string(), at);
    }
    raw(&page)
}

fn encode_page_v1(members: &[&Machine], rented: &BTreeSet<Arc<str>>, images: bool) -> Raw {
    let mut page = version_1::StoredPage::default();
    for m in members {
        let Some(addr) = m.address else { continue };
        let held = m.images.keys().filter(|_| images);
        let entry = version_1::RegistryEntry {
            address: addr.to_string(),
            machine_type: m.machine_type.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            rented: rented.contains(&m.id),
            images: held.map(|i| intern(&mut page.images, i.clone())).collect(),
            silent_since: m.silent_since,
        };
        page.machines.insert(m.id.clone(), entry);
    }
    raw(&page)
}

#[derive(Default)]
struct RegistryPage {
    /// Stamp of the stored value (0: none); None: unknown, to be read.
    mod_revision: Option<u64>,
    members: BTreeSet<Arc<str>>,
    /// When it is to be written.
    due_at: Option<Micros>,
    in_flight: bool,
    /// The members that its stored value marks as silent.
    silence_marks: BTreeSet<Arc<str>>,
    /// Its members are moving to other pages; it is deleted once all of them are stored there.
    retiring: bool,
    /// A write that was to create it had no answer. It may be carried out at any later time at which the key
    /// is absent, with the marks of then: the page is emptied in place of being deleted, as long as this leader
    /// leads, on whose key that write depends.
    creation_unconfirmed: bool,
}

impl RegistryPage {
    fn schedule(&mut self, at: Micros) {
        self.due_at = Some(self.due_at.map_or(at, |d| d.min(at)));
    }
}

/// What is to be asked of the state service.
pub enum RegistryRequest {
    Read(String),
    Write {
        key: String,
        mod_revision: u64,
        value: Raw,
        written: Vec<(Arc<str>, Option<Micros>)>,
        /// It has machines that get no start before.
        joins: bool,
    },
    /// Its machines all stand in other pages.
    Delete {
        key: String,
        mod_revision: u64,
    },
}

/// How a write ended.
pub enum WriteResult {
    Applied(u64),
    /// Surely not applied, and not for want of the right stamp.
    NotApplied,
    /// May be applied yet, or the stamp was wrong: what is stored must be read.
    Unknown,
}

pub struct MachineRegistry {
    pages: BTreeMap<String, RegistryPage>,
    page_of: HashMap<Arc<str>, String>,
    schema: Schema,
    /// Machines that a page may hold.
    machines_per_page: usize,
    /// Machines stored in the page that they are to stand in.
    settled: HashSet<Arc<str>>,
}

impl MachineRegistry {
    pub fn new(layout: Schema) -> Self {
        Self {
            pages: BTreeMap::new(),
            page_of: HashMap::default(),
            schema: layout,
            machines_per_page: Self::machines_per_page(&layout),
            settled: HashSet::default(),
        }
    }

    fn machines_per_page(layout: &Schema) -> usize {
        let usable = layout.usable_bytes() * 9 / 10;
        let room = if layout.version < 2 {
            usable / ENTRY_BYTES_V1
        } else {
            usable.saturating_sub(PAGE_LISTS_BYTES) / ENTRY_BYTES
        };
        room.clamp(1, PAGE_MACHINES_MAX)
    }

    fn page_prefix(&self) -> &'static str {
        if self.schema.version < 2 {
            PAGE_PREFIX_V1
        } else {
            PAGE_PREFIX
        }
    }

    /// Takes a stored value over; returns the machines that it names, None if it can't be read.
    pub fn load_page(&mut self, key: &str, value: &Raw, mod_revision: u64) -> Option<Entries> {
        let entries = match decode_page(value) {
            Ok(entries) => entries,
            Err(e) => {
                log::error!("the stored roll at {key} can't be read: {e}");
                return None;
            }
        };
        let group = self.pages.entry(key.to_owned()).or_default();
        group.mod_revision = Some(mod_revision);
        for (id, e) in &entries {
            if e.quiet.is_some() {
                group.silence_marks.insert(id.clone());
            }
            if self.page_of.contains_key(id) {
                // Left from a move that was not finished: to be written without it.
                group.due_at = Some(0);
            } else {
                self.page_of.insert(id.clone(), key.to_owned());
                self.settled.insert(id.clone());
                group.members.insert(id.clone());
            }
        }
        Some(entries)
    }

    /// Under another layout, pages of an old format or too many machines move, in the
    /// background: first the new pages are stored, then the old one is deleted.
    pub fn set_schema(&mut self, now: Micros, layout: Schema) {
        if layout == self.schema {
            return;
        }
        self.schema = layout;
        self.machines_per_page = Self::machines_per_page(&layout);
        self.migrate_pages(now);
    }

    pub fn migrate_pages(&mut self, now: Micros) {
        let prefix = self.page_prefix();
        let outdated = |(key, g): (&String, &RegistryPage)| {
            (!g.retiring && (!key.starts_with(prefix) || g.members.len() > self.machines_per_page))
                .then(|| key.clone())
        };
        let keys: Vec<String> = self.pages.iter().filter_map(outdated).collect();
        for (n, key) in keys.into_iter().enumerate() {
            self.retire_page(now + MIGRATION_INTERVAL * n as Micros, &key);
        }
    }

    /// Has the members of a page stored in others, and then the page deleted.
    fn retire_page(&mut self, at: Micros, key: &str) {
        let Some(group) = self.pages.get_mut(key) else {
            return;
        };
        group.retiring = true;
        group.due_at = None;
        let members = group.members.clone();
        for id in members {
            self.page_of.remove(&id);
            self.settled.remove(&id);
            self.assign_page(&id).schedule(at + WRITE_BATCH_DELAY);
        }
    }

    /// The machine is surely gone.
    pub fn remove(&mut self, now: Micros, id: &str) {
        self.settled.remove(id);
        if let Some(key) = self.page_of.remove(id)
            && let Some(group) = self.pages.get_mut(&key)
        {
            group.members.remove(id);
            group.schedule(now + 3 * SECOND);
        }
        for group in self.pages.values_mut().filter(|g| g.retiring) {
            group.members.remove(id);
        }
    }

    fn assign_page(&mut self, id: &Arc<str>) -> &mut RegistryPage {
        let key = match self.page_of.get(id) {
            Some(key) => key.clone(),
            None => {
                let prefix = self.page_prefix();
                let open = |g: &(&String, &RegistryPage)| {
                    !g.1.retiring
                        && g.0.starts_with(prefix)
                        && g.1.members.len() < self.machines_per_page
                };
                let key = self.pages.iter().find(open).map_or_else(
                    || {
                        (0..)
                            .map(|n| format!("{prefix}{n}"))
                            .find(|k| !self.pages.contains_key(k))
                            .unwrap_or_default()
                    },
                    |g| g.0.clone(),
                );
                self.page_of.insert(id.clone(), key.clone());
                key
            }
        };
        let group = self.pages.entry(key).or_insert_with(|| RegistryPage {
            mod_revision: Some(0),
            ..RegistryPage::default()
        });
        group.members.insert(id.clone());
        group
    }

    /// Notes what is to be stored, and hands out what is due.
    pub fn take_due(
        &mut self,
        now: Now,
        workers: &mut WorkerLedger,
        rented: &BTreeSet<Arc<str>>,
    ) -> Vec<RegistryRequest> {
        let t = now.steady;
        let fleet = workers.machines.len() as Micros;
        // The more pages, the longer: their writes compete with those that starts wait for.
        let pages = (self.pages.len() as Micros).max(UNSCALED_PAGES);
        let later = IMAGE_WRITE_DELAY_PER_MACHINE * fleet * pages / UNSCALED_PAGES;
        // Only what was named since: a machine that is about to be stored is not named again, or its page
        // would be written once more as soon as the write under way is done.
        for id in workers.take_registry_updates() {
            let Some(m) = workers.machines.get_mut(&id) else {
                continue;
            };
            if m.address.is_none() || (m.registered && !m.registry_stale && !m.images_stale) {
                continue;
            }
            let at = if !m.registered || m.registry_stale {
                t + WRITE_BATCH_DELAY
            } else {
                t + WRITE_BATCH_DELAY + later
            };
            m.registry_stale = false;
            m.images_stale = false;
            self.assign_page(&m.id).schedule(at);
        }
        let mut asks = Vec::new();
        let mut crowded = Vec::new();
        let settled = &self.settled;
        for (key, group) in &mut self.pages {
            if group.in_flight {
                continue;
            }
            if group.retiring {
                let moved =
                    |id: &Arc<str>| settled.contains(id) || !workers.machines.contains_key(id);
                if !group.members.iter().all(moved) {
                    continue;
                }
            } else if group.due_at.is_none_or(|d| d > t) {
                continue;
            }
            group.in_flight = true;
            let Some(mod_revision) = group.mod_revision else {
                asks.push(RegistryRequest::Read(key.clone()));
                continue;
            };
            group.due_at = None;
            if group.retiring && group.creation_unconfirmed {
                group.retiring = false;
                group.members.clear();
            }
            if group.retiring {
                asks.push(RegistryRequest::Delete {
                    key: key.clone(),
                    mod_revision,
                });
                continue;
            }
            let members = group
                .members
                .iter()
                .filter_map(|id| workers.machines.get(id));
            let members: Vec<&Machine> = members.collect();
            let write = if self.schema.version < 2 {
                encode_page_v1
            } else {
                encode_page
            };
            let mut value = write(&members, rented, true);
            if value.get().len() > self.schema.usable_bytes() {
                // Images are a help, nothing more.
                value = write(&members, rented, false);
            }
            if value.get().len() > self.schema.usable_bytes() && members.len() > 1 {
                group.in_flight = false;
                crowded.push((key.clone(), members.len()));
                continue;
            }
            asks.push(RegistryRequest::Write {
                key: key.clone(),
                mod_revision,
                value,
                written: members
                    .iter()
                    .map(|m| (m.id.clone(), m.silent_since))
                    .collect(),
                joins: members.iter().any(|m| !m.registered),
            });
        }
        for (key, members) in crowded {
            // Names or addresses are longer than was reckoned with.
            self.machines_per_page = self.machines_per_page.min(members.div_ceil(2)).max(1);
            self.retire_page(t, &key);
        }
        asks
    }

    pub fn page_read(&mut self, now: Micros, key: &str, mod_revision: Option<u64>) {
        if let Some(group) = self.pages.get_mut(key) {
            group.in_flight = false;
            group.mod_revision = mod_revision;
            group.schedule(now);
        }
    }

    pub fn page_deleted(&mut self, key: &str, result: &WriteResult, workers: &mut WorkerLedger) {
        let Some(group) = self.pages.get_mut(key) else {
            return;
        };
        group.in_flight = false;
        match result {
            WriteResult::Applied(_) => {
                let gone = self.pages.remove(key).unwrap_or_default();
                for id in gone.silence_marks {
                    // Its mark, if it is still one, stands in the machine's own page.
                    workers.mark_registry_stale(&id);
                }
            }
            WriteResult::NotApplied => {}
            WriteResult::Unknown => group.mod_revision = None,
        }
    }

    pub fn page_written(
        &mut self,
        now: Micros,
        key: &str,
        written: Vec<(Arc<str>, Option<Micros>)>,
        result: &WriteResult,
        workers: &mut WorkerLedger,
    ) {
        let Some(group) = self.pages.get_mut(key) else {
            return;
        };
        group.in_flight = false;
        let created = group.mod_revision == Some(0);
        match result {
            WriteResult::Applied(mod_revision) => {
                group.mod_revision = Some(*mod_revision);
                let marked = written.iter().filter(|w| w.1.is_some());
                let marked = marked.map(|w| w.0.clone()).collect();
                for id in std::mem::replace(&mut group.silence_marks, marked) {
                    // Moved away: its own page may have waited for this one.
                    if !group.members.contains(&id) {
                        workers.mark_registry_stale(&id);
                    }
                }
                for (id, quiet) in written {
                    let Some(m) = workers.machines.get_mut(&id) else {
                        continue;
                    };
                    let before = (m.registered, m.silence_stored);
                    m.registered = true;
                    if self.page_of.get(&id).is_some_and(|k| k == key) {
                        self.settled.insert(id.clone());
                    }
                    // A later leader may read any page that names the machine, also one that
                    // is about to be deleted.
                    let elsewhere = self
                        .pages
                        .iter()
                        .any(|(k, g)| k != key && g.silence_marks.contains(&id));
                    if quiet.is_none() && m.silent_since.is_none() && !elsewhere {
                        m.silence_stored = false;
                    }
                    if before != (m.registered, m.silence_stored) {
                        workers.mark_changed(&id);
                    }
                }
            }
            WriteResult::NotApplied => group.schedule(now + WRITE_BATCH_DELAY),
            WriteResult::Unknown => {
                group.creation_unconfirmed |= created;
                group.mod_revision = None;
                group.schedule(now);
            }
        }
    }
}
