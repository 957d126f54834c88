//! What becomes of queued requests when their entry is about to stop.

mod common;

use common::{Entry, NOW, terms};
use masticsill_dispatch::{Decision, Requirements, StopLimits, Terms, WaitOutcome};
use masticsill_types::ClockMs;

fn patient(name: &str) -> Terms {
    Terms {
        target_latency_ms: 20_000,
        answer_due_at: NOW + 20_000,
        deadline_at: NOW + 25_000,
        caller_leaves_at: NOW + 25_000,
        ..terms(name)
    }
}

fn stop_at(ends_at: ClockMs) -> StopLimits {
    StopLimits {
        ends_at,
        stream_ms: 3_000,
    }
}

/// Guards against a committed request that stays in the queue of an entry which is about to stop.
#[test]
fn stream_that_could_not_end_in_time_is_returned() {
    let mut entry = Entry::busy(&["e1"]);
    let ticket = entry.submit_queued(NOW, &patient("w"));
    assert_eq!(entry.next(NOW + 500), None);
    entry.dispatcher.begin_stop(stop_at(NOW + 3_000));
    assert_eq!(entry.next(NOW + 510), Some(WaitOutcome::Stopping(ticket)));
    assert_eq!(entry.next(NOW + 520), None);
}

/// Guards against a stop that turns away a request for which capacity is free in time.
#[test]
fn stream_that_can_end_in_time_is_sent() {
    let mut entry = Entry::busy(&["e1"]);
    let ticket = entry.submit_queued(NOW, &patient("w"));
    entry.dispatcher.begin_stop(stop_at(NOW + 20_000));
    assert_eq!(entry.next(NOW + 500), None);
    entry.first_event(NOW + 600, "e1");
    let outcome = entry.next(NOW + 600);
    assert!(matches!(outcome, Some(WaitOutcome::Send(sent, _)) if sent == ticket));
}

/// Guards against a resumed answer that is given up while it may still be sent.
#[test]
fn resumed_answer_waits_until_the_end() {
    let mut entry = Entry::busy(&["e1"]);
    let resume = Terms {
        is_resume: true,
        ..patient("w")
    };
    let requirements: Requirements = common::requirements();
    let Decision::Wait(ticket) = entry.submit(NOW, &requirements, &resume) else {
        panic!("the engine is busy");
    };
    entry.dispatcher.begin_stop(stop_at(NOW + 6_000));
    assert_eq!(entry.next(NOW + 3_500), None);
    assert_eq!(entry.next(NOW + 6_000), Some(WaitOutcome::Stopping(ticket)));
}
