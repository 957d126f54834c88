//! Requests that ran where endpoints ended, and did not end them.

mod support;

use masticsill_quarantine::CrashLedger;
use masticsill_types::ClockMs;
use support::{JUDGED_MS, Run, fingerprint, is_quarantined, judge_all, note};

const CRASHING: u32 = 1;
const INNOCENT: u32 = 2;

/// Notes a run of the crashing request and one of the innocent, which end with an endpoint.
fn fall_together(ledger: &mut CrashLedger, endpoint: u64, ended_ms: u64, borne: (u64, u64)) {
    let (answered_ms, reached_ms) = borne;
    let crashing = Run::new(endpoint, ended_ms - 60, ended_ms).answered(60, 60);
    note(ledger, CRASHING, &crashing);
    let began_ms = ended_ms - answered_ms - 40;
    let innocent = Run::new(endpoint, began_ms, ended_ms + 4).answered(answered_ms, reached_ms);
    note(ledger, INNOCENT, &innocent);
}

/// Notes three runs of a request that end with their endpoints, each after 300 ms of its answer.
fn fall_thrice(ledger: &mut CrashLedger, request: u32, first_endpoint: u64) {
    for number in 0..3 {
        let ended_ms = 2_000 + number * 600;
        let run = Run::new(first_endpoint + number, ended_ms - 900, ended_ms).answered(300, 300);
        note(ledger, request, &run);
    }
}

#[test]
fn a_bystander_that_goes_where_the_crashing_request_goes_is_not_quarantined() {
    let mut ledger = CrashLedger::default();
    // It had been answered for 1.3 s, and goes on at the endpoints to which the other one is sent.
    fall_together(&mut ledger, 1, 2_000, (1_270, 1_270));
    fall_together(&mut ledger, 2, 2_150, (50, 1_320));
    fall_together(&mut ledger, 3, 2_300, (50, 1_370));
    let now = judge_all(&mut ledger, 2_300 + JUDGED_MS);
    assert!(is_quarantined(&ledger, now, CRASHING));
    assert!(!is_quarantined(&ledger, now, INNOCENT));
    assert!(!ledger.is_suspect(&fingerprint(INNOCENT)));
}

#[test]
fn two_requests_that_can_not_be_told_apart_are_sent_once_more() {
    let mut ledger = CrashLedger::default();
    for number in 0..3 {
        fall_together(&mut ledger, number, 2_000 + number * 150, (20, 20));
    }
    let now = judge_all(&mut ledger, 2_300 + JUDGED_MS);
    assert!(!is_quarantined(&ledger, now, CRASHING));
    assert!(!is_quarantined(&ledger, now, INNOCENT));
    // Apart, one of them crashes a fourth endpoint and the other is answered.
    note(&mut ledger, CRASHING, &Run::new(9, 3_000, 4_000));
    ledger.note_progress(fingerprint(INNOCENT), 1_100);
    let now = judge_all(&mut ledger, 4_000 + JUDGED_MS);
    assert!(is_quarantined(&ledger, now, CRASHING));
    assert!(!is_quarantined(&ledger, now, INNOCENT));
}

#[test]
fn a_doubt_that_nothing_settles_does_not_last() {
    let mut ledger = CrashLedger::default();
    for number in 0..3 {
        fall_together(&mut ledger, number, 2_000 + number * 150, (20, 20));
    }
    judge_all(&mut ledger, 2_300 + JUDGED_MS);
    assert!(!is_quarantined(&ledger, ClockMs(4_700), CRASHING));
    assert!(is_quarantined(&ledger, ClockMs(4_900), CRASHING));
}

#[test]
fn an_endless_row_of_bystanders_does_not_keep_the_crashing_request_free() {
    let mut ledger = CrashLedger::default();
    for number in 0..4 {
        fall_together(&mut ledger, number, 2_000 + number * 150, (20, 20));
    }
    let now = judge_all(&mut ledger, 2_450 + JUDGED_MS);
    assert!(is_quarantined(&ledger, now, CRASHING));
}

#[test]
fn an_answer_that_got_further_elsewhere_excuses_the_ends_before() {
    let mut ledger = CrashLedger::default();
    fall_thrice(&mut ledger, INNOCENT, 0);
    ledger.note_progress(fingerprint(INNOCENT), 1_700);
    let now = judge_all(&mut ledger, 3_200 + JUDGED_MS);
    assert!(!is_quarantined(&ledger, now, INNOCENT));
    // Nothing excuses one that never gets further than where it crashes its endpoints.
    fall_thrice(&mut ledger, CRASHING, 10);
    ledger.note_progress(fingerprint(CRASHING), 400);
    let now = judge_all(&mut ledger, 3_200 + JUDGED_MS);
    assert!(is_quarantined(&ledger, now, CRASHING));
}

#[test]
fn endpoints_that_bore_a_request_for_long_count_half() {
    let mut ledger = CrashLedger::default();
    for number in 0..6 {
        let ended_ms = 2_000 + number * 3_000;
        let run = Run::new(number, ended_ms - 2_000, ended_ms).answered(1_500, 1_500);
        note(&mut ledger, INNOCENT, &run);
        let now = judge_all(&mut ledger, ended_ms + JUDGED_MS);
        assert_eq!(is_quarantined(&ledger, now, INNOCENT), number == 5);
    }
}

#[test]
fn what_was_learned_of_an_innocent_request_reaches_every_process() {
    let mut replica = CrashLedger::default();
    fall_thrice(&mut replica, INNOCENT, 0);
    let now = judge_all(&mut replica, 3_200 + JUDGED_MS);
    assert!(is_quarantined(&replica, now, INNOCENT));
    // Another entry has a run of it that got further.
    let mut entry = CrashLedger::default();
    entry.merge(now, &replica.broadcast_since(now, 0));
    entry.note_progress(fingerprint(INNOCENT), 2_000);
    assert!(!is_quarantined(&entry, now, INNOCENT));
    replica.merge(now, &entry.local_since(now, 0));
    assert!(!is_quarantined(&replica, now, INNOCENT));
}
