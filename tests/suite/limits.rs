//! Bounds on what grows with machines, jobs and connections, reached at 6,000 machines (docs/limits.md).

use dewramp::clock::{Micros, SECOND};
use dewramp::jobs::Table;
use dewramp::wire::Report;
use dewramp::workers::{Departed, REMEMBERED_FOR, Workers};
use serde_json::json;
use std::sync::Arc;

const FLEET: usize = 6_000;
const LEASE: Micros = 30 * SECOND;

fn said(host: &str, tally: u64) -> Report {
    let report = json!({"host": host, "addr": "10.1.0.1:9000", "build": "small", "paddock": "a", "loaners": true,
        "stint": 3, "tally": tally, "baton": 1 << 24, "parts": []});
    serde_json::from_value(report).expect("a report")
}

fn name(n: usize) -> Arc<str> {
    format!("m-{n:06}").into()
}

/// A ledger of 6,000 machines that have all spoken.
fn heard_fleet(table: &mut Table) -> Workers {
    let mut workers = Workers::new(1, SECOND, LEASE, 3 * SECOND, Vec::new());
    for n in 0..FLEET {
        workers.report(SECOND, said(&name(n), 9), None, None, table);
    }
    assert_eq!(workers.machines.len(), FLEET);
    workers
}

/// A fleet whose machines were all taken away: a late copy of what any of them said is no news.
#[test]
fn no_last_word_of_6000_machines_is_forgotten() {
    let mut table = Table::default();
    let mut workers = heard_fleet(&mut table);
    let gone = 200 * SECOND;
    for n in 0..FLEET {
        workers.let_go(gone, &name(n));
    }
    for n in 0..FLEET {
        workers.report(gone + SECOND, said(&name(n), 8), None, None, &mut table);
        let machine = &workers.machines[&name(n)];
        assert_eq!((machine.session, machine.seq), (3, 9), "{n}");
        assert!(!machine.heard, "{n}: a copy is no word of the machine");
    }
}

/// Machines that were returned stay known as such, whatever is returned after them, while their messages can come.
#[test]
fn no_returned_machine_of_6000_is_forgotten() {
    let mut table = Table::default();
    let mut workers = heard_fleet(&mut table);
    for n in 0..FLEET {
        workers.bury(200 * SECOND, &name(n));
    }
    // And as many again that were rented in their place.
    for n in FLEET..2 * FLEET {
        let later = 300 * SECOND;
        workers.report(later, said(&name(n), 9), None, None, &mut table);
        workers.bury(later, &name(n));
    }
    for n in 0..2 * FLEET {
        let copy = workers.report(400 * SECOND, said(&name(n), 8), None, None, &mut table);
        assert!(copy.is_none() && workers.is_buried(&name(n)), "{n}");
    }
}

/// What is old goes once there is more than a fleet of it; what is young goes only at the bound, which is counted.
#[test]
fn departed_machines_are_forgotten_by_age_and_the_bound_is_told() {
    let mut departed: Departed<u64> = Departed::new("machines");
    for n in 0..2 * FLEET {
        departed.insert(SECOND, FLEET, name(n), n as u64);
    }
    assert!(departed.contains(&name(0)));
    let old = 2 * SECOND + REMEMBERED_FOR;
    departed.insert(old, FLEET, name(2 * FLEET), 0);
    assert!(!departed.contains(&name(FLEET)), "old, and a fleet is left");
    assert!(departed.contains(&name(FLEET + 1)));
    // One that left again is as young as the last time.
    departed.insert(old, FLEET, name(FLEET + 1), 7);
    departed.insert(old, FLEET, name(2 * FLEET + 1), 0);
    assert_eq!(departed.get(&name(FLEET + 1)), Some(&7));
    assert_eq!(departed.dropped_early, 0);
    let bound = 16 * FLEET;
    for n in 0..bound + 1 {
        departed.insert(old + SECOND, FLEET, name(3 * FLEET + n), 0);
    }
    assert!(departed.dropped_early > 0);
    assert!(!departed.contains(&name(FLEET + 1)));
    let left = (0..bound + 1).filter(|n| departed.contains(&name(3 * FLEET + n)));
    assert_eq!(left.count(), bound);
}
