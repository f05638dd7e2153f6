//! A deterministic simulator: runs scenarios with several controllers, hundreds of machines and injected faults on a
//! simulated clock.
//!
//! - `scenario` describes a scenario, `generate` draws scenarios at random.
//! - `world` runs a scenario. Its controllers (`controller`) are the production code; everything around them is a
//!   model after the operators' published descriptions: `state_service`, `cloud`, `machine` and its `tasks`, `users`,
//!   `balancer` and `network`.
//! - `faults` injects the scenario's faults, `copies` delivers requests twice. `check` judges, from outside the controllers, whether they break a rule;
//!   `tamper` alters messages so that tests can show that the checks find violations.
//! - `outcome` and `chart` report the results, `shrink` reduces a failing scenario.
//!
//! `docs/drill.md` says what is modelled and what is not. All figures are of simulated machines.

mod balancer;
pub mod chart;
pub mod check;
mod cloud;
mod controller;
pub mod copies;
mod faults;
pub mod generate;
mod machine;
mod network;
pub mod outcome;
pub mod scenario;
pub mod shrink;
mod state_service;
pub mod tamper;
mod tasks;
mod users;
pub mod world;

use outcome::Outcome;
use scenario::Scenario;
use std::cell::Cell;
use world::{Micros, World};

thread_local! {
    static LOG_CONTEXT: Cell<(Micros, usize)> = const { Cell::new((0, 0)) };
}

/// Returns the simulated time and the index of the controller whose code runs now, for log lines.
pub fn log_context() -> (Micros, usize) {
    LOG_CONTEXT.get()
}

pub(crate) fn set_log_context(now: Micros, controller: usize) {
    LOG_CONTEXT.set((now, controller));
}

/// Runs a scenario and returns its results.
pub fn play(scenario: &Scenario) -> Outcome {
    World::new(scenario.clone()).play(|_| {})
}
