//! One test program: the scripted world, the rules, and the scheduler.

mod client_responses;
mod duplicate_heartbeats;
mod fault_combinations;
mod invariants;
mod leadership_changes;
mod limits;
mod load;
mod looks;
mod lost_answers;
mod overload;
mod pages;
mod pipelines;
mod previous_build;
mod recovery;
mod scheduling;
mod sockets;
mod starvation;
mod strange;
mod test_cluster;
mod upgrade;
mod worker_faults;
