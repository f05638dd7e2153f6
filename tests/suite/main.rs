//! Tests of the controllers on an in-memory cluster, of the scheduler and of the network layer.

mod cancelled_dependents;
mod client_responses;
mod connection_overload;
mod dependencies;
mod documentation;
mod duplicate_heartbeats;
mod fault_combinations;
mod heartbeats_and_load;
mod invariants;
mod leadership_changes;
mod limits;
mod lost_answers;
mod network;
mod previous_build;
mod read_consistency;
mod recovery;
mod repeated_requests;
mod returning_machines;
mod scheduling;
mod schema_upgrade;
mod starvation;
mod submission_checks;
mod test_cluster;
mod worker_faults;
