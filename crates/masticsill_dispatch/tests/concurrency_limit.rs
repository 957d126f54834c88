//! How many requests an endpoint is given at once.

use masticsill_dispatch::ConcurrencyLimit;
use masticsill_types::ClockMs;

const AIM_MS: u64 = 150;

/// Lets an endpoint of six slots answer for a while, with `load` requests to be had at the entry, of
/// which three come for each answer. Returns the requests in flight and the time of an answer in
/// the end.
fn answer(limit: &mut ConcurrencyLimit, load: u32, work_ms: f64, answers: u32) -> (u32, f64) {
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
        limit.note_answer(now, average_ms, AIM_MS, in_flight);
        in_flight = in_flight.saturating_sub(1);
    }
    (in_flight, average_ms)
}

#[test]
fn usual_load_has_no_limit() {
    let mut limit = ConcurrencyLimit::default();
    answer(&mut limit, 4, 30.0, 500);
    assert!(!limit.is_limited());
}

#[test]
fn overload_is_held_where_answers_stay_in_time() {
    let mut limit = ConcurrencyLimit::default();
    let (in_flight, average_ms) = answer(&mut limit, 500, 30.0, 2_000);
    assert!(limit.is_limited());
    // All slots are used, and answers take less than two thirds of the aim.
    assert!(in_flight >= 5, "{in_flight}");
    assert!(average_ms < 100.0, "{average_ms}");
}

#[test]
fn always_slow_endpoint_is_not_a_full_one() {
    let mut limit = ConcurrencyLimit::default();
    answer(&mut limit, 3, 70.0, 500);
    assert!(!limit.is_limited());
}

#[test]
fn word_of_fullness_lowers_the_limit() {
    let mut limit = ConcurrencyLimit::default();
    limit.note_full(ClockMs(1_000), 30.0, 10);
    assert!(limit.has_capacity(ClockMs(1_000), 5));
    assert!(!limit.has_capacity(ClockMs(1_000), 8));
}

#[test]
fn less_than_one_at_once_is_spaced_out() {
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
fn limit_goes_when_the_overload_has_gone() {
    let mut limit = ConcurrencyLimit::default();
    answer(&mut limit, 500, 30.0, 300);
    assert!(limit.is_limited());
    let mut now = ClockMs(60_000);
    for _ in 0..20_000 {
        now = now + 5;
        limit.note_answer(now, 30.0, AIM_MS, 100);
    }
    assert!(!limit.is_limited());
}
