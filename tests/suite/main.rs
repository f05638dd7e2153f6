//! One test program: the scripted world, the rules, and the scheduler.

mod rules;
mod scheduling;
mod sockets;
mod world;
