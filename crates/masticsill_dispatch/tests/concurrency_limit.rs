//! Tests of the adaptive limit of requests in flight at an endpoint.

use masticsill_dispatch::ConcurrencyLimit;
use masticsill_types::ClockMs;

const TARGET_LATENCY_MS: u64 = 150;

/// Simulates an endpoint of six slots that gives `answers` answers. The entry has up to `load`
/// requests in flight and may start three requests per answer. Returns the final number of requests
/// in flight and the final average latency in milliseconds.
fn simulate_answers(
    limit: &mut ConcurrencyLimit,
    load: u32,
    work_ms: f64,
    answers: u32,
) -> (u32, f64) {
    let mut now = ClockMs(1_000);
    let mut average_ms = work_ms;
    let mut in_flight = 0;
    for _ in 0..answers {
        for _ in 0..3 {
            let is_sent = in_flight < load && limit.has_capacity(now, in_flight);
            in_flight += u32::from(is_sent);
        }
        let queued = f64::from(in_flight.saturating_sub(6));
        let answer_ms = work_ms + queued * work_ms / 6.0;
        average_ms += (answer_ms - average_ms) * 0.15;
        now = now + 5;
        limit.note_answer(now, average_ms, TARGET_LATENCY_MS, in_flight);
        in_flight = in_flight.saturating_sub(1);
    }
    (in_flight, average_ms)
}

#[test]
fn usual_load_has_no_limit() {
    let mut limit = ConcurrencyLimit::default();
    simulate_answers(&mut limit, 4, 30.0, 500);
    assert!(!limit.is_limited());
}

#[test]
fn limit_keeps_answers_within_target_latency_under_overload() {
    let mut limit = ConcurrencyLimit::default();
    let (in_flight, average_ms) = simulate_answers(&mut limit, 500, 30.0, 2_000);
    assert!(limit.is_limited());
    // All slots are used, and answers take less than two thirds of the target latency.
    assert!(in_flight >= 5, "{in_flight}");
    assert!(average_ms < 100.0, "{average_ms}");
}

#[test]
fn constantly_slow_endpoint_is_not_limited() {
    let mut limit = ConcurrencyLimit::default();
    simulate_answers(&mut limit, 3, 70.0, 500);
    assert!(!limit.is_limited());
}

#[test]
fn full_endpoint_lowers_the_limit() {
    let mut limit = ConcurrencyLimit::default();
    limit.note_full(ClockMs(1_000), 30.0, 10);
    assert!(limit.has_capacity(ClockMs(1_000), 5));
    assert!(!limit.has_capacity(ClockMs(1_000), 8));
}

#[test]
fn limit_below_one_spaces_starts() {
    let mut limit = ConcurrencyLimit::default();
    let mut now = ClockMs(1_000);
    for _ in 0..10 {
        now = now + 100;
        limit.note_full(now, 30.0, 1);
    }
    assert!(!limit.has_capacity(now, 0));
    assert!(limit.has_capacity(now + 2_000, 0));
    assert!(!limit.has_capacity(now + 2_000, 1));
}

#[test]
fn limit_is_dropped_after_overload() {
    let mut limit = ConcurrencyLimit::default();
    simulate_answers(&mut limit, 500, 30.0, 300);
    assert!(limit.is_limited());
    let mut now = ClockMs(60_000);
    for _ in 0..20_000 {
        now = now + 5;
        limit.note_answer(now, 30.0, TARGET_LATENCY_MS, 100);
    }
    assert!(!limit.is_limited());
}
