//! Requests that ran at endpoints which crashed, but didn't cause the crashes.

mod support;

use masticsill_quarantine::CrashLedger;
use masticsill_types::ClockMs;
use support::{JUDGEMENT_MARGIN_MS, Run, fingerprint, is_quarantined, judge_all, record_run};

const CRASHING: u32 = 1;
const INNOCENT: u32 = 2;

/// Records runs of the crashing request and of the innocent one that end with the same crash.
/// `answered` holds the innocent run's `answered_ms` and `reached_ms`.
fn crash_both(ledger: &mut CrashLedger, endpoint: u64, ended_ms: u64, answered: (u64, u64)) {
    let (answered_ms, reached_ms) = answered;
    let crashing = Run::new(endpoint, ended_ms - 60, ended_ms).answered(60, 60);
    record_run(ledger, CRASHING, &crashing);
    let began_ms = ended_ms - answered_ms - 40;
    let innocent = Run::new(endpoint, began_ms, ended_ms + 4).answered(answered_ms, reached_ms);
    record_run(ledger, INNOCENT, &innocent);
}

/// Records three runs of a request that end with a crash, each 300 ms after the start of its
/// answer.
fn crash_three_times(ledger: &mut CrashLedger, request: u32, first_endpoint: u64) {
    for number in 0..3 {
        let ended_ms = 2_000 + number * 600;
        let run = Run::new(first_endpoint + number, ended_ms - 900, ended_ms).answered(300, 300);
        record_run(ledger, request, &run);
    }
}

#[test]
fn innocent_request_that_meets_the_crashing_one_again_is_not_quarantined() {
    let mut ledger = CrashLedger::default();
    // The innocent request had been answered for 1.3 s, and resumes at the endpoints to which the
    // crashing one is sent.
    crash_both(&mut ledger, 1, 2_000, (1_270, 1_270));
    crash_both(&mut ledger, 2, 2_150, (50, 1_320));
    crash_both(&mut ledger, 3, 2_300, (50, 1_370));
    let now = judge_all(&mut ledger, 2_300 + JUDGEMENT_MARGIN_MS);
    assert!(is_quarantined(&ledger, now, CRASHING));
    assert!(!is_quarantined(&ledger, now, INNOCENT));
    assert!(!ledger.is_suspect(&fingerprint(INNOCENT)));
}

#[test]
fn indistinguishable_requests_are_sent_once_more() {
    let mut ledger = CrashLedger::default();
    for number in 0..3 {
        crash_both(&mut ledger, number, 2_000 + number * 150, (20, 20));
    }
    let now = judge_all(&mut ledger, 2_300 + JUDGEMENT_MARGIN_MS);
    assert!(!is_quarantined(&ledger, now, CRASHING));
    assert!(!is_quarantined(&ledger, now, INNOCENT));
    // Separated, one of them crashes a fourth endpoint and the other is answered.
    record_run(&mut ledger, CRASHING, &Run::new(9, 3_000, 4_000));
    ledger.note_progress(fingerprint(INNOCENT), 1_100);
    let now = judge_all(&mut ledger, 4_000 + JUDGEMENT_MARGIN_MS);
    assert!(is_quarantined(&ledger, now, CRASHING));
    assert!(!is_quarantined(&ledger, now, INNOCENT));
}

#[test]
fn unresolved_doubt_expires() {
    let mut ledger = CrashLedger::default();
    for number in 0..3 {
        crash_both(&mut ledger, number, 2_000 + number * 150, (20, 20));
    }
    judge_all(&mut ledger, 2_300 + JUDGEMENT_MARGIN_MS);
    assert!(!is_quarantined(&ledger, ClockMs(4_700), CRASHING));
    assert!(is_quarantined(&ledger, ClockMs(4_900), CRASHING));
}

#[test]
fn fourth_crash_quarantines_despite_doubt() {
    let mut ledger = CrashLedger::default();
    for number in 0..4 {
        crash_both(&mut ledger, number, 2_000 + number * 150, (20, 20));
    }
    let now = judge_all(&mut ledger, 2_450 + JUDGEMENT_MARGIN_MS);
    assert!(is_quarantined(&ledger, now, CRASHING));
}

#[test]
fn further_progress_elsewhere_clears_earlier_crashes() {
    let mut ledger = CrashLedger::default();
    crash_three_times(&mut ledger, INNOCENT, 0);
    ledger.note_progress(fingerprint(INNOCENT), 1_700);
    let now = judge_all(&mut ledger, 3_200 + JUDGEMENT_MARGIN_MS);
    assert!(!is_quarantined(&ledger, now, INNOCENT));
    // A request that never gets further than the point of its crashes is not cleared.
    crash_three_times(&mut ledger, CRASHING, 10);
    ledger.note_progress(fingerprint(CRASHING), 400);
    let now = judge_all(&mut ledger, 3_200 + JUDGEMENT_MARGIN_MS);
    assert!(is_quarantined(&ledger, now, CRASHING));
}

#[test]
fn crashes_late_in_the_answer_count_half() {
    let mut ledger = CrashLedger::default();
    for number in 0..6 {
        let ended_ms = 2_000 + number * 3_000;
        let run = Run::new(number, ended_ms - 2_000, ended_ms).answered(1_500, 1_500);
        record_run(&mut ledger, INNOCENT, &run);
        let now = judge_all(&mut ledger, ended_ms + JUDGEMENT_MARGIN_MS);
        assert_eq!(is_quarantined(&ledger, now, INNOCENT), number == 5);
    }
}

#[test]
fn evidence_for_an_innocent_request_reaches_other_processes() {
    let mut replica = CrashLedger::default();
    crash_three_times(&mut replica, INNOCENT, 0);
    let now = judge_all(&mut replica, 3_200 + JUDGEMENT_MARGIN_MS);
    assert!(is_quarantined(&replica, now, INNOCENT));
    // Another entry has a run of the request that got further.
    let mut entry = CrashLedger::default();
    entry.merge(now, &replica.broadcast_since(now, 0));
    entry.note_progress(fingerprint(INNOCENT), 2_000);
    assert!(!is_quarantined(&entry, now, INNOCENT));
    replica.merge(now, &entry.local_since(now, 0));
    assert!(!is_quarantined(&replica, now, INNOCENT));
}
