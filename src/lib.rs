//! dewramp: a cluster scheduler run by a few controllers, one of which leads.
//!
//! The modules do no I/O, with the exception of [`net`], [`open_files`] and [`admin_client`]: a message and the time
//! go in, messages come out, so a run is determined by its inputs. `docs/architecture.md` has the order of the modules,
//! who owns which state, and the paths of requests, heartbeats and commands; `docs/glossary.md` has the terms.

#![warn(
    missing_docs,
    rustdoc::broken_intra_doc_links,
    clippy::allow_attributes_without_reason,
    clippy::too_many_arguments,
    clippy::type_complexity,
    clippy::wildcard_imports
)]
#![cfg_attr(not(test), warn(clippy::unwrap_used))]

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
pub mod loop_timing;
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
