//! Tests of the controllers on an in-memory cluster, of the scheduler and of the network layer.

mod answers;
mod connection_overload;
mod copies;
mod dependencies;
mod documentation;
mod hands;
mod heartbeats_and_load;
mod holds;
mod known;
mod limits;
mod lost;
mod meetings;
mod network;
mod previous_build;
mod read_consistency;
mod recovery;
mod rules;
mod scheduling;
mod schema_upgrade;
mod submission_checks;
mod test_cluster;
