//! dewramp: a cluster scheduler run by a few controllers, one of which leads.
//!
//! The actors (`store`, `leadership`, `jobs`, `pipelines`, `workers`, `roll`, `cloud`, `scheduler`
//! with its `rooms`) do no I/O: a message and the time go in, messages come out. `layout` says how
//! what is stored is laid out, `desk` passes reports on to the leader, `controller` wires the actors,
//! `lanes` says who is
//! served first, `load` what is not taken on when the node is behind, `net` moves bytes. `maps` and `planted`
//! serve those who play runs again and look for bugs.

pub mod clock;
pub mod cloud;
pub mod controller;
pub mod desk;
pub mod hearing;
pub mod informed;
pub mod inspect;
pub mod jobs;
pub mod lanes;
pub mod layout;
pub mod leadership;
pub mod load;
pub mod maps;
pub mod mirror;
pub mod net;
pub mod open_files;
pub mod pipelines;
pub mod planted;
pub mod recovery;
pub mod roll;
pub mod rooms;
pub mod scheduler;
pub mod service;
pub mod settings;
pub mod standby;
pub mod store;
pub mod unanswered;
pub mod wire;
pub mod workers;
