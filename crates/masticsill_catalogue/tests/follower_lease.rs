//! When a node's copy of the catalogue counts as fresh, so that the node may act on it.

mod common;

use common::{put, send};
use masticsill_catalogue::{ControlState, Follower};
use masticsill_types::{CatalogueVersion, ClockMs};

const LEASE_MS: u64 = 3_000;

#[test]
fn proof_age_counts_from_the_time_of_the_request() {
    let mut follower = Follower::new(ClockMs(0));
    assert!(!follower.is_fresh(ClockMs(10), LEASE_MS));
    assert!(follower.renew_by_age(CatalogueVersion(0), ClockMs(5_000), 1_000));
    assert!(follower.is_fresh(ClockMs(6_900), LEASE_MS));
    assert!(!follower.is_fresh(ClockMs(7_000), LEASE_MS));
    assert_eq!(follower.age_ms(ClockMs(6_000)), Some(2_001));
}

#[test]
fn proof_for_a_newer_version_than_the_copy_is_rejected() {
    let mut state = ControlState::default();
    send(&mut state, &put("c1", "e", 0, 1));
    let mut follower = Follower::new(ClockMs(0));
    assert!(!follower.renew(CatalogueVersion(1), ClockMs(100)));
    let update = state.catalogue().update_since(follower.version()).unwrap();
    follower.apply(update);
    assert!(follower.renew(CatalogueVersion(1), ClockMs(100)));
    assert_eq!(follower.version(), CatalogueVersion(1));
}

#[test]
fn delayed_older_proof_changes_nothing() {
    let mut follower = Follower::new(ClockMs(0));
    assert!(follower.renew(CatalogueVersion(0), ClockMs(2_000)));
    assert!(!follower.renew(CatalogueVersion(0), ClockMs(1_000)));
    assert_eq!(follower.age_ms(ClockMs(2_000)), Some(1));
}

#[test]
fn a_proof_from_before_the_restart_is_refused() {
    // The previous incarnation may have acted on a catalogue newer than a proof of that age.
    let mut follower = Follower::new(ClockMs(0));
    for (sent_at, age_ms, is_taken) in [(100, 100, false), (100, 500, false), (100, 99, true)] {
        let taken = follower.renew_by_age(CatalogueVersion(0), ClockMs(sent_at), age_ms);
        assert_eq!(taken, is_taken, "sent at {sent_at}, age {age_ms}");
    }
}
