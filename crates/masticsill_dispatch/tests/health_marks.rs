//! Effects of failures on an endpoint's health, and their retraction.

use masticsill_dispatch::Health;
use masticsill_types::ClockMs;

const NOW: ClockMs = ClockMs(10_000);

#[test]
fn retracted_failure_ends_the_backoff() {
    let mut health = Health::default();
    health.note_failure(NOW);
    assert!(health.is_backing_off(NOW));
    health.retract_failure();
    assert!(!health.is_backing_off(NOW));
    assert!(!health.has_failed_within(NOW, 1_000));
}

#[test]
fn retracted_failure_does_not_lengthen_the_next_backoff() {
    let mut once = Health::default();
    once.note_failure(NOW);
    let mut again = Health::default();
    for _ in 0..5 {
        again.note_failure(NOW);
        again.retract_failure();
    }
    again.note_failure(NOW);
    let backoff_ms = |health: &Health| (0..5_000).find(|ms| !health.is_backing_off(NOW + *ms));
    assert_eq!(backoff_ms(&again), backoff_ms(&once));
}
