//! Days of several controllers and hundreds of machines failing, played on one fake clock.
//!
//! `day` holds a day as data, `generate` draws days, `world` plays one with the program's own
//! nodes against models of what the operators publish (`state`, `cloud`, `machine` and its `tasks`, `users`,
//! `balancer`, `network`), `failures` breaks things, `check` judges what was seen from outside,
//! `outcome` and `picture` tell, `shrink` cuts a failing day down. `docs/drill.md` says what is
//! modelled and what is not. All figures are of simulated machines.

mod balancer;
pub mod chart;
pub mod check;
mod cloud;
mod controller;
mod failures;
pub mod generate;
mod machine;
mod network;
pub mod outcome;
pub mod scenario;
pub mod shrink;
mod state;
pub mod tamper;
mod tasks;
mod users;
pub mod world;

use outcome::Outcome;
use scenario::Scenario;
use std::cell::Cell;
use world::{Micros, World};

thread_local! {
    static SPEAKER: Cell<(Micros, usize)> = const { Cell::new((0, 0)) };
}

/// Whoever logs now: the time of the day, and the controller.
pub fn speaker() -> (Micros, usize) {
    SPEAKER.get()
}

pub(crate) fn log_as(now: Micros, node: usize) {
    SPEAKER.set((now, node));
}

/// Plays a day.
pub fn play(day: &Scenario) -> Outcome {
    World::new(day.clone()).play(|_| {})
}
