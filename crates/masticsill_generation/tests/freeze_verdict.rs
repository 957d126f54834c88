//! Conditions under which an engine counts as frozen.

use masticsill_generation::{EngineHealth, FreezeDetector, FreezeLimits};
use masticsill_types::ClockMs;

const CHECK_PERIOD_MS: u64 = 50;

/// Runs a detector with activity at the given times and returns the time at which it reported
/// a freeze, if it did.
fn first_freeze_at(activity_ms: &[u64], until_ms: u64) -> Option<u64> {
    let mut detector = FreezeDetector::new(ClockMs(0), FreezeLimits::default());
    (0..until_ms).find(|now_ms| {
        let now = ClockMs(*now_ms);
        if activity_ms.contains(now_ms) {
            detector.record_activity(now);
        }
        now_ms % CHECK_PERIOD_MS == 0 && detector.check_frozen(now)
    })
}

fn activity_every(step_ms: u64, from_ms: u64, to_ms: u64) -> Vec<u64> {
    let steps = from_ms..to_ms;
    steps.filter(|at_ms| at_ms % step_ms == 0).collect()
}

#[test]
fn silent_engine_is_reported_frozen_within_a_second() {
    let died_ms = 5_000;
    let reported = first_freeze_at(&activity_every(20, 0, died_ms), 10_000);
    let waited = reported.map(|at_ms| at_ms - died_ms);
    assert!(waited.is_some_and(|waited| waited <= 1_000), "{waited:?}");
}

#[test]
fn long_prefill_with_a_responsive_load_endpoint_is_not_a_freeze() {
    let tokens = activity_every(20, 0, 2_000);
    let polls_only = activity_every(100, 2_000, 12_000);
    let activity = [tokens, polls_only].concat();
    assert_eq!(first_freeze_at(&activity, 12_000), None);
}

#[test]
fn slow_but_steady_answers_are_not_a_freeze() {
    let quick = activity_every(100, 0, 1_000);
    let slower = activity_every(400, 1_000, 3_000);
    let slow = activity_every(1_200, 3_000, 20_000);
    let activity = [quick, slower, slow].concat();
    assert_eq!(first_freeze_at(&activity, 20_000), None);
}

#[test]
fn pause_of_the_agent_itself_is_not_a_freeze() {
    let mut detector = FreezeDetector::new(ClockMs(0), FreezeLimits::default());
    detector.record_activity(ClockMs(0));
    assert!(!detector.check_frozen(ClockMs(30_000)));
    assert!(!detector.check_frozen(ClockMs(30_050)));
    detector.record_activity(ClockMs(30_060));
    assert_eq!(detector.health(), EngineHealth::Alive);
}

#[test]
fn thawed_engine_is_alive_and_its_outage_does_not_raise_the_threshold() {
    let before = activity_every(20, 0, 2_000);
    let after = activity_every(20, 9_000, 12_000);
    let limits = FreezeLimits::default();
    let mut detector = FreezeDetector::new(ClockMs(0), limits);
    for at_ms in [before, after].concat() {
        detector.check_frozen(ClockMs(at_ms));
        detector.record_activity(ClockMs(at_ms));
    }
    assert_eq!(detector.health(), EngineHealth::Alive);
    assert_eq!(detector.threshold_ms(), limits.min_silence_ms);
}

#[test]
fn engine_that_refuses_connections_is_lost_until_its_next_activity() {
    let mut detector = FreezeDetector::new(ClockMs(0), FreezeLimits::default());
    assert_eq!(detector.health(), EngineHealth::Unknown);
    detector.record_refused_connection(ClockMs(10));
    assert_eq!(detector.health(), EngineHealth::Lost);
    detector.record_activity(ClockMs(20));
    assert_eq!(detector.health(), EngineHealth::Alive);
}
