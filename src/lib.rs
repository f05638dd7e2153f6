//! dewramp: a cluster scheduler that runs on a small group of controllers, one of which is the leader.
//!
//! Only [`net`], [`open_files`] and [`admin_client`] do I/O. The other modules take messages and the
//! current time and return messages, so that their behaviour depends only on these inputs.
//! `docs/architecture.md` describes the layers of modules, which module owns which state, and the
//! paths of requests, heartbeats and commands; `docs/glossary.md` defines the terms.

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
pub mod dependency_cache;
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
