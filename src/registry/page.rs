//! Encoding and decoding of registry pages in each schema version.

use crate::clock::Micros;
use crate::schema::{
    SCHEMA_VERSION, Schema, SchemaError, compress_prefix, expand_prefix, version_1,
};
use crate::state_client::{RawJson, to_raw_json};
use crate::worker_ledger::Machine;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// One machine as stored, decoded from either schema version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RegistryEntry {
    /// Address of the machine's agent.
    pub address: String,
    /// Name of the machine's type.
    pub machine_type: String,
    /// The machine's zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Whether this cluster has rented it.
    pub rented: bool,
    /// The images that it has cached.
    pub images: Vec<Arc<str>>,
    /// Silence mark, if the machine has become silent: time of day of the last contact with it, in microseconds.
    pub silent_since: Option<Micros>,
}

/// The machines of a page, by name.
pub type Entries = BTreeMap<Arc<str>, RegistryEntry>;

/// Attributes that many machines of a page share: machine type, zone, whether it is a spot machine, and whether
/// this cluster has rented it.
type SharedAttributes = (String, String, bool, bool);

/// The value of a page in schema version 2.
///
/// Each machine is one string of fields separated by spaces: name and address, both prefix-compressed against the
/// previous machine; index into `shared_attributes`; indexes into `images`, separated by dots; and the silence
/// mark, if any.
#[derive(Serialize, Deserialize)]
struct StoredPage {
    #[serde(rename = "format")]
    schema_version: u32,
    #[serde(rename = "kinds")]
    shared_attributes: Vec<SharedAttributes>,
    images: Vec<Arc<str>>,
    machines: Vec<String>,
}

/// Decodes a page of either schema version.
///
/// # Errors
///
/// Returns an error if the value is of neither version, or of a version newer than [`SCHEMA_VERSION`].
pub(super) fn decode(value: &RawJson) -> Result<Entries, SchemaError> {
    let Ok(page) = serde_json::from_str::<StoredPage>(value.get()) else {
        return Ok(entries_v1(serde_json::from_str(value.get())?));
    };
    if page.schema_version > SCHEMA_VERSION {
        return Err(SchemaError::UnsupportedVersion(page.schema_version));
    }
    let mut entries = Entries::new();
    let (mut name, mut address) = (String::new(), String::new());
    for text in &page.machines {
        let entry = decode_machine(text, &page, &mut name, &mut address)
            .ok_or_else(|| SchemaError::InvalidRegistryEntry(text.clone()))?;
        entries.insert(name.as_str().into(), entry);
    }
    Ok(entries)
}

/// Decodes one machine of a page. On entry `name` and `address` are those of the previous machine; on return they
/// are those of this machine.
fn decode_machine(
    text: &str,
    page: &StoredPage,
    name: &mut String,
    address: &mut String,
) -> Option<RegistryEntry> {
    let fields: Vec<&str> = text.split(' ').collect();
    let [
        compressed_name,
        compressed_address,
        attributes,
        images,
        rest @ ..,
    ] = fields.as_slice()
    else {
        return None;
    };
    *name = expand_prefix(name, compressed_name)?;
    *address = expand_prefix(address, compressed_address)?;
    let (machine_type, zone, spot, rented) = page
        .shared_attributes
        .get(attributes.parse::<usize>().ok()?)?
        .clone();
    let images = images
        .split('.')
        .filter_map(|index| page.images.get(index.parse::<usize>().ok()?));
    let silent_since = match rest.first() {
        Some(mark) => Some(mark.parse().ok()?),
        None => None,
    };
    Some(RegistryEntry {
        address: address.clone(),
        machine_type,
        zone,
        spot,
        rented,
        images: images.cloned().collect(),
        silent_since,
    })
}

/// Converts a page of schema version 1.
fn entries_v1(page: version_1::StoredPage) -> Entries {
    let images = &page.images;
    let entry = |stored: version_1::RegistryEntry| RegistryEntry {
        images: stored
            .images
            .iter()
            .filter_map(|index| images.get(*index))
            .cloned()
            .collect(),
        address: stored.address,
        machine_type: stored.machine_type,
        zone: stored.zone,
        spot: stored.spot,
        rented: stored.rented,
        silent_since: stored.silent_since,
    };
    let machines = page.machines.into_iter();
    machines.map(|(id, stored)| (id, entry(stored))).collect()
}

/// Encodes a page. Leaves out the images if the value would be too large with them. Returns `None` if the page has
/// several machines and is too large even without images.
pub(super) fn encode_within(
    machines: &[&Machine],
    rented: &BTreeSet<Arc<str>>,
    schema: &Schema,
) -> Option<RawJson> {
    let encode = if schema.version < 2 {
        encode_v1
    } else {
        encode_v2
    };
    let usable_bytes = schema.usable_bytes();
    let mut value = encode(machines, rented, true);
    if value.get().len() > usable_bytes {
        // Cached images only improve placements; all other fields are required.
        value = encode(machines, rented, false);
    }
    (value.get().len() <= usable_bytes || machines.len() <= 1).then_some(value)
}

/// Returns the index of an item in a list; appends the item if the list does not contain it.
fn intern<T: PartialEq>(list: &mut Vec<T>, item: T) -> usize {
    match list.iter().position(|known| *known == item) {
        Some(index) => index,
        None => {
            list.push(item);
            list.len() - 1
        }
    }
}

fn encode_v2(machines: &[&Machine], rented: &BTreeSet<Arc<str>>, with_images: bool) -> RawJson {
    let mut page = StoredPage {
        schema_version: SCHEMA_VERSION,
        shared_attributes: Vec::new(),
        images: Vec::new(),
        machines: Vec::new(),
    };
    let (mut previous_name, mut previous_address) = (String::new(), String::new());
    for machine in machines {
        let Some(address) = machine.address.map(|address| address.to_string()) else {
            continue;
        };
        let attributes = (
            machine.machine_type.clone(),
            machine.zone.clone(),
            machine.spot,
            rented.contains(&machine.id),
        );
        let attributes = intern(&mut page.shared_attributes, attributes);
        let cached = machine.images.keys().filter(|_| with_images);
        let images: Vec<String> = cached
            .map(|image| intern(&mut page.images, image.clone()).to_string())
            .collect();
        let mut text = format!(
            "{} {} {attributes} {}",
            compress_prefix(&previous_name, &machine.id),
            compress_prefix(&previous_address, &address),
            images.join(".")
        );
        if let Some(mark) = machine.silent_since {
            text.push_str(&format!(" {mark}"));
        }
        page.machines.push(text);
        (previous_name, previous_address) = (machine.id.to_string(), address);
    }
    to_raw_json(&page)
}

fn encode_v1(machines: &[&Machine], rented: &BTreeSet<Arc<str>>, with_images: bool) -> RawJson {
    let mut page = version_1::StoredPage::default();
    for machine in machines {
        let Some(address) = machine.address else {
            continue;
        };
        let cached = machine.images.keys().filter(|_| with_images);
        let entry = version_1::RegistryEntry {
            address: address.to_string(),
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            rented: rented.contains(&machine.id),
            images: cached
                .map(|image| intern(&mut page.images, image.clone()))
                .collect(),
            silent_since: machine.silent_since,
        };
        page.machines.insert(machine.id.clone(), entry);
    }
    to_raw_json(&page)
}
