//! dewramp: a cluster scheduler run by a few controllers, one of which leads.
//!
//! The actors (`store`, `leadership`, `jobs`, `pipelines`, `workers`, `roll`, `cloud`, `scheduler`
//! with its `rooms`) do no I/O: a message and the time go in, messages come out. `layout` says how
//! what is stored is laid out, `desk` passes reports on to the leader, `controller` wires the actors,
//! `lanes` says who is
//! served first, `load` what is not taken on when the node is behind, `net` moves bytes. `maps` and `planted`
//! serve those who play runs again and look for bugs.

pub mod accounting;
pub mod admin_client;
pub mod cancellation_freshness;
pub mod capacity;
pub mod clock;
pub mod cloud;
pub mod controller;
pub mod dependency_graph;
pub mod election;
pub mod fault_injection;
pub mod heartbeat_batch;
pub mod http_call;
pub mod input_queue;
pub mod job_record;
pub mod jobs;
pub mod load_shedding;
pub mod messages;
pub mod net;
pub mod open_files;
pub mod reconciliation;
pub mod registry;
pub mod replica;
pub mod request_starvation;
pub mod scheduler;
pub mod schema;
pub mod seeded_hash;
pub mod settings;
pub mod standby;
pub mod state_client;
pub mod task_id;
pub mod wire;
pub mod worker_ledger;
pub mod worker_probe;
