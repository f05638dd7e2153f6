//! Tests of the choice of standbys and of the order in which controllers try to become leader.

use super::*;

#[test]
fn standbys_are_in_other_zones_and_every_controller_chooses_the_same() {
    let seven = [
        ("n-1", "a"),
        ("n-2", "b"),
        ("n-3", "c"),
        ("n-4", "a"),
        ("n-5", "b"),
        ("n-6", "c"),
        ("n-7", "a"),
    ];
    assert_eq!(choose_standbys("n-1", &seven), ["n-2", "n-3"]);
    assert_eq!(choose_standbys("n-4", &seven), ["n-5", "n-6"]);
    let mut reversed = seven;
    reversed.reverse();
    assert_eq!(choose_standbys("n-4", &reversed), ["n-5", "n-6"]);
    let one_zone = [("n-1", "a"), ("n-2", "a"), ("n-3", "a")];
    assert_eq!(choose_standbys("n-3", &one_zone), ["n-1", "n-2"]);
    let two_zones = [("n-1", "a"), ("n-2", "a"), ("n-3", "b"), ("n-4", "b")];
    assert_eq!(choose_standbys("n-1", &two_zones), ["n-3", "n-4"]);
    assert_eq!(
        choose_standbys("n-1", &[("n-1", "a"), ("n-2", "a")]),
        ["n-2"]
    );
    assert!(choose_standbys("n-9", &two_zones).is_empty());
}

#[test]
fn warm_standbys_become_candidates_before_cold_controllers() {
    assert!(candidacy_delay(Some(0), true) < candidacy_delay(Some(1), true));
    assert!(candidacy_delay(Some(1), true) < candidacy_delay(Some(0), false));
    assert_eq!(candidacy_delay(Some(0), false), candidacy_delay(None, true));
}
