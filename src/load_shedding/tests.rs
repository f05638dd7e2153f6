//! Which client requests are refused at which lag.

use super::{LoadMonitor, ShedLevel};
use crate::clock::{MILLISECOND, SECOND};
use std::collections::BTreeSet;

#[test]
fn load_shedding_grows_with_the_lag_and_ends_soon_after_it() {
    let mut load = LoadMonitor::default();
    load.record_wait(SECOND, 20 * MILLISECOND);
    assert!(load.may_start_work() && load.shed_level() == ShedLevel::Nothing);
    load.record_wait(SECOND, 800 * MILLISECOND);
    assert!(load.may_start_work() && load.shed_level() == ShedLevel::Polls);
    load.record_wait(2 * SECOND, 3 * SECOND);
    assert!(!load.may_start_work() && load.shed_level() == ShedLevel::ClientRequests);
    let spread: BTreeSet<u32> = (0..50).map(|n| load.retry_after(n)).collect();
    assert!(spread.len() > 3 && spread.iter().all(|s| (1..=20).contains(s)));
    load.record_wait(5 * SECOND, 0);
    assert!(load.may_start_work() && load.shed_level() == ShedLevel::Nothing);
}
