//! Messages between controllers and the cloud provider: machine types, listing, rental and release of machines.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Path of the machine types.
pub const MACHINE_TYPES_PATH: &str = "/machine_types";
/// Path at which machines are listed and rented.
pub const MACHINES_PATH: &str = "/hosts";
/// Path at which machines are released.
pub const RELEASE_PATH: &str = "/hosts/return";

/// A machine type that the provider offers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name of the type.
    #[serde(rename = "sku")]
    pub name: String,
    /// Cores of a machine.
    pub cores: f64,
    /// Accelerators of a machine.
    #[serde(default)]
    pub accelerators: f64,
    /// Memory of a machine, in gigabytes.
    #[serde(rename = "memGb")]
    pub memory_gb: f64,
    /// Size of a machine's image cache, in gigabytes.
    #[serde(rename = "cacheGb", default)]
    pub cache_gb: f64,
    /// The rate at which a machine fetches images, in gigabytes per second; the actual rate may deviate by a third.
    #[serde(rename = "fetchGbPerS", default)]
    pub fetch_gb_per_s: f64,
    /// Price of an on-demand machine.
    #[serde(default)]
    pub price: f64,
    /// Price of a spot machine.
    #[serde(rename = "spotPrice", default)]
    pub spot_price: f64,
    /// The boot time that the provider states, in seconds.
    #[serde(rename = "readyS", default)]
    pub boot_s: f64,
    /// The zones in which the type is offered.
    #[serde(rename = "paddocks", default)]
    pub zones: Vec<String>,
}

/// The response to a request for the machine types.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineTypes {
    /// The machine types.
    #[serde(rename = "builds")]
    pub types: Vec<MachineType>,
}

/// The state of a listed machine. Only the states that the controller handles are told apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineStatus {
    /// It is booting.
    Booting,
    /// Its boot has failed; it will never become available.
    Failed,
    /// Any other state.
    #[serde(other)]
    Other,
}

/// A rented machine in the provider's list.
#[derive(Clone, Debug, Deserialize)]
pub struct ListedMachine {
    /// Name of the machine.
    #[serde(rename = "uid")]
    pub id: Arc<str>,
    /// Address of its agent.
    #[serde(rename = "addr", default)]
    pub address: String,
    /// Name of its type.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// Zone that it is in.
    #[serde(rename = "paddock")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// Its state.
    pub status: MachineStatus,
    /// The time since it was rented, in seconds.
    #[serde(rename = "ageS", default)]
    pub age_s: f64,
}

/// A page of the list of rented machines.
#[derive(Clone, Debug, Deserialize)]
pub struct MachineList {
    /// The machines, in the order of their names.
    #[serde(rename = "hosts")]
    pub machines: Vec<ListedMachine>,
    /// Whether more machines follow on the next page.
    #[serde(default)]
    pub truncated: bool,
}

/// A request to rent machines.
#[derive(Clone, Debug, Serialize)]
pub struct RentalRequest<'a> {
    /// Name of the machine type.
    #[serde(rename = "build")]
    pub machine_type: &'a str,
    /// Name of the rental, an idempotency key: a repeated request with the same name rents no further machines.
    #[serde(rename = "hire")]
    pub rental: &'a str,
    /// Whether to rent spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// How many machines to rent.
    #[serde(rename = "number")]
    pub machines: u32,
    /// Zone of the machines.
    #[serde(rename = "paddock")]
    pub zone: &'a str,
}

/// A request to release machines.
#[derive(Clone, Debug, Serialize)]
pub struct ReleaseRequest<'a> {
    /// Names of the machines to release.
    #[serde(rename = "hosts")]
    pub machines: &'a [Arc<str>],
}
