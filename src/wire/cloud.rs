//! What the cloud provider sends and gets.

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
    /// What a machine can cache of images, in gigabytes.
    #[serde(rename = "cacheGb", default)]
    pub cache_gb: f64,
    /// How fast a machine fetches images, in gigabytes a second; give or take a third.
    #[serde(rename = "fetchGbPerS", default)]
    pub fetch_gb_per_s: f64,
    /// Price of an ordinary machine.
    #[serde(default)]
    pub price: f64,
    /// Price of a spot machine.
    #[serde(rename = "spotPrice", default)]
    pub spot_price: f64,
    /// The stated boot time, in seconds.
    #[serde(rename = "readyS", default)]
    pub boot_s: f64,
    /// The zones that it is offered in.
    #[serde(rename = "paddocks", default)]
    pub zones: Vec<String>,
}

/// The answer to a request for the machine types.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineTypes {
    /// The machine types.
    #[serde(rename = "builds")]
    pub types: Vec<MachineType>,
}

/// The state of a listed machine, as far as it matters here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineStatus {
    /// Its boot has begun.
    Booting,
    /// Its boot has failed: it will not come up.
    Failed,
    /// Any other state.
    #[serde(other)]
    Other,
}

/// A rented machine in a list.
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
    /// There are more machines after the last one.
    #[serde(default)]
    pub truncated: bool,
}

/// A request to rent machines.
#[derive(Clone, Debug, Serialize)]
pub struct RentalRequest<'a> {
    /// Name of the machine type.
    #[serde(rename = "build")]
    pub machine_type: &'a str,
    /// Name of the rental: the provider rents the same machines for the same name.
    #[serde(rename = "hire")]
    pub rental: &'a str,
    /// Whether spot machines are wanted.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// How many machines.
    #[serde(rename = "number")]
    pub machines: u32,
    /// The zone.
    #[serde(rename = "paddock")]
    pub zone: &'a str,
}

/// A request to release machines.
#[derive(Clone, Debug, Serialize)]
pub struct ReleaseRequest<'a> {
    /// Names of the machines.
    #[serde(rename = "hosts")]
    pub machines: &'a [Arc<str>],
}
