//! One test program: the scripted world, the rules, and the scheduler.

mod answers;
mod copies;
mod hands;
mod holds;
mod known;
mod limits;
mod load;
mod looks;
mod lost;
mod meetings;
mod overload;
mod pages;
mod pipelines;
mod previous_build;
mod recovery;
mod rules;
mod scheduling;
mod sockets;
mod strange;
mod test_cluster;
mod upgrade;
