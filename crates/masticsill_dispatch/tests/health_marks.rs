//! What failures leave on an endpoint's health, and what is taken back.

use masticsill_dispatch::Health;
use masticsill_types::ClockMs;

const NOW: ClockMs = ClockMs(10_000);

#[test]
fn a_failure_taken_back_leaves_no_hold() {
    let mut health = Health::default();
    health.note_failure(NOW);
    assert!(health.is_backing_off(NOW));
    health.retract_failure();
    assert!(!health.is_backing_off(NOW));
    assert!(!health.has_failed_within(NOW, 1_000));
}

#[test]
fn a_failure_taken_back_does_not_lengthen_the_next_hold() {
    let mut once = Health::default();
    once.note_failure(NOW);
    let mut again = Health::default();
    for _ in 0..5 {
        again.note_failure(NOW);
        again.retract_failure();
    }
    again.note_failure(NOW);
    let held_ms = |health: &Health| (0..5_000).find(|ms| !health.is_backing_off(NOW + *ms));
    assert_eq!(held_ms(&again), held_ms(&once));
}
