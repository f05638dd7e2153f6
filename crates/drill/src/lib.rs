//! Days of several controllers and hundreds of machines failing, played on one fake clock.
//!
//! `day` holds a day as data, `generate` draws days, `world` plays one with the program's own
//! nodes against models of what the operators publish (`state`, `cloud`, `machine` and its `tasks`, `users`,
//! `balancer`, `network`), `failures` breaks things, `check` judges what was seen from outside,
//! `outcome` and `picture` tell, `shrink` cuts a failing day down. `docs/drill.md` says what is
//! modelled and what is not. All figures are of simulated machines.

mod balancer;
pub mod check;
mod cloud;
mod controller;
pub mod day;
mod faults;
pub mod generate;
mod machine;
mod network;
pub mod outcome;
pub mod picture;
pub mod shrink;
mod state_service;
pub mod tamper;
mod tasks;
mod users;
pub mod world;

use day::Day;
use outcome::Outcome;
use std::cell::Cell;
use world::{Micros, World};

thread_local! {
    static LOG_CONTEXT: Cell<(Micros, usize)> = const { Cell::new((0, 0)) };
}

/// Whoever logs now: the time of the day, and the controller.
pub fn log_context() -> (Micros, usize) {
    LOG_CONTEXT.get()
}

pub(crate) fn set_log_context(now: Micros, node: usize) {
    LOG_CONTEXT.set((now, node));
}

/// Plays a day.
pub fn play(day: &Day) -> Outcome {
    World::new(day.clone()).play(|_| {})
}
