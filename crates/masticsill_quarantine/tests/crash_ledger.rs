//! Which crashes are held against a request, for how long, and what is forgotten.

mod support;

use masticsill_quarantine::{CrashLedger, Standing, Weight};
use masticsill_types::ClockMs;
use support::{JUDGED_MS, Run, crash, fingerprint, is_quarantined, judge_all, note};

const TEN_MINUTES_MS: u64 = 600_000;

/// Crashes under one request, one after the other, each in a zone of its own.
fn crash_in_turn(ledger: &mut CrashLedger, request: u32, count: u64, from_ms: u64) -> ClockMs {
    for number in 0..count {
        let began_ms = from_ms + number * 100;
        note(ledger, request, &Run::new(number, began_ms, began_ms + 50));
    }
    judge_all(ledger, from_ms + count * 100 + JUDGED_MS)
}

#[test]
fn three_crashes_that_follow_each_other_quarantine_a_request() {
    let mut ledger = CrashLedger::default();
    let now = crash_in_turn(&mut ledger, 1, 2, 1_000);
    assert!(!is_quarantined(&ledger, now, 1));
    let now = crash_in_turn(&mut ledger, 1, 3, 1_000);
    assert!(is_quarantined(&ledger, now, 1));
    assert!(!is_quarantined(&ledger, now, 2));
}

#[test]
fn runs_of_one_moment_that_fell_together_count_once() {
    let mut ledger = CrashLedger::default();
    // Each in a zone of its own, so that no zone explains them.
    for number in 0..6 {
        note(
            &mut ledger,
            1,
            &Run::new(number, 1_000 + number, 2_000 + number),
        );
    }
    let now = judge_all(&mut ledger, 3_000);
    assert!(!is_quarantined(&ledger, now, 1));
}

#[test]
fn overlapping_runs_whose_ends_lie_apart_count_each() {
    let mut ledger = CrashLedger::default();
    for number in 0..3 {
        note(
            &mut ledger,
            1,
            &Run::new(number, 1_000, 3_000 + number * 600),
        );
    }
    let now = judge_all(&mut ledger, 6_000);
    assert!(is_quarantined(&ledger, now, 1));
}

#[test]
fn a_run_to_an_end_clears_the_crashes_before() {
    let mut ledger = CrashLedger::default();
    ledger.note_completion(ClockMs(500), fingerprint(1));
    crash_in_turn(&mut ledger, 1, 5, 1_000);
    ledger.note_completion(ClockMs(3_000), fingerprint(1));
    for number in 5..10 {
        let began_ms = 3_500 + number * 100;
        note(&mut ledger, 1, &Run::new(number, began_ms, began_ms + 50));
    }
    let now = judge_all(&mut ledger, 6_000);
    assert!(!is_quarantined(&ledger, now, 1));
}

#[test]
fn a_request_that_was_run_to_an_end_before_needs_six_crashes() {
    let mut ledger = CrashLedger::default();
    ledger.note_completion(ClockMs(500), fingerprint(1));
    let now = crash_in_turn(&mut ledger, 1, 5, 1_000);
    assert!(!is_quarantined(&ledger, now, 1));
    let now = crash_in_turn(&mut ledger, 1, 6, 1_000);
    assert!(is_quarantined(&ledger, now, 1));
}

#[test]
fn crashes_are_explained_by_a_zone_that_fell_without_the_request() {
    let mut ledger = CrashLedger::default();
    let mut now = ClockMs(0);
    for fall in 0..4 {
        let at = 1_000 + fall * 2_000;
        let mine = Run::new(fall * 10, at - 500, at).in_zone("north");
        note(&mut ledger, 1, &mine);
        for other in 1..=3 {
            let run = Run::new(fall * 10 + other, at - 800, at + 20).in_zone("north");
            note(
                &mut ledger,
                100 + u32::try_from(fall * 10 + other).unwrap(),
                &run,
            );
        }
        now = judge_all(&mut ledger, at + JUDGED_MS);
    }
    assert!(!is_quarantined(&ledger, now, 1));
}

#[test]
fn endpoints_that_fell_under_the_same_request_do_not_explain_each_other() {
    let mut ledger = CrashLedger::default();
    // Eight engines of a zone crash at the same moment, each under this request, three times.
    for wave in 0..3 {
        let began_ms = 1_000 + wave * 1_000;
        for number in 0..8 {
            let run = Run::new(wave * 10 + number, began_ms, began_ms + 100).in_zone("north");
            note(&mut ledger, 1, &run);
        }
    }
    let now = judge_all(&mut ledger, 5_000);
    assert!(is_quarantined(&ledger, now, 1));
}

#[test]
fn crashes_in_other_zones_and_at_other_moments_explain_nothing() {
    let mut ledger = CrashLedger::default();
    for number in 0..3 {
        let at = 1_000 + number * 1_000;
        note(
            &mut ledger,
            1,
            &Run::new(number, at - 50, at).in_zone("north"),
        );
        for other in 0..6 {
            let request = 100 + u32::try_from(number * 10 + other).unwrap();
            let id = 1_000 + number * 10 + other;
            let run = if other < 3 {
                Run::new(id, at - 50, at).in_zone("south")
            } else {
                Run::new(id, at - 50, at + 300).in_zone("north")
            };
            note(&mut ledger, request, &run);
        }
    }
    let now = judge_all(&mut ledger, 5_000);
    assert!(is_quarantined(&ledger, now, 1));
}

#[test]
fn a_crash_counts_only_once_it_is_judged() {
    let mut ledger = CrashLedger::default();
    crash_in_turn(&mut ledger, 1, 2, 1_000);
    note(&mut ledger, 1, &Run::new(9, 2_000, 2_050));
    assert!(!is_quarantined(&ledger, ClockMs(2_100), 1));
    let standing = |ledger: &CrashLedger, now_ms| ledger.standing(ClockMs(now_ms), &fingerprint(1));
    assert_eq!(standing(&ledger, 2_100), Standing::Held { left_ms: 750 });
    // Nobody judges.
    assert_eq!(standing(&ledger, 2_850), Standing::Free);
    let now = ClockMs(2_050);
    assert_eq!(ledger.next_judgement_in_ms(now), Some(500));
    assert!(ledger.judge(ClockMs(2_400)).is_empty());
    let judged = ledger.judge(ClockMs(2_550));
    assert_eq!(judged.len(), 1);
    assert_eq!(judged[0].weight, Weight::Counted);
    assert!(is_quarantined(&ledger, ClockMs(2_550), 1));
    assert_eq!(ledger.next_judgement_in_ms(now), None);
}

#[test]
fn a_quarantine_ends_and_comes_back_longer_after_one_crash_more() {
    let mut ledger = CrashLedger::default();
    crash_in_turn(&mut ledger, 1, 3, 1_000);
    let last_end = 1_250;
    assert!(is_quarantined(
        &ledger,
        ClockMs(last_end + TEN_MINUTES_MS - 1),
        1
    ));
    let released = last_end + TEN_MINUTES_MS;
    assert!(!is_quarantined(&ledger, ClockMs(released), 1));
    note(&mut ledger, 1, &Run::new(9, released, released + 50));
    let now = judge_all(&mut ledger, released + 1_000);
    assert!(is_quarantined(&ledger, now, 1));
    let until = released + 50 + 2 * TEN_MINUTES_MS;
    assert!(is_quarantined(&ledger, ClockMs(until - 1), 1));
    assert!(!is_quarantined(&ledger, ClockMs(until), 1));
}

#[test]
fn all_of_it_is_forgotten_in_the_end() {
    let mut ledger = CrashLedger::default();
    crash_in_turn(&mut ledger, 1, 3, 1_000);
    crash_in_turn(&mut ledger, 2, 1, 1_000);
    ledger.forget_old(ClockMs(1_050 + TEN_MINUTES_MS));
    assert_eq!(ledger.broadcast_since(ClockMs(0), 0).len(), 1);
    assert_eq!(ledger.local_since(ClockMs(0), 0).len(), 1);
    ledger.forget_old(ClockMs(1_250 + 2 * TEN_MINUTES_MS));
    assert!(ledger.local_since(ClockMs(0), 0).is_empty());
}

#[test]
fn many_requests_under_which_endpoints_crash_are_bounded_and_the_quarantined_stay() {
    let mut ledger = CrashLedger::default();
    crash_in_turn(&mut ledger, 1, 3, 1_000);
    for request in 2..10_000 {
        let began_ms = 10_000 + u64::from(request);
        note(
            &mut ledger,
            request,
            &Run::new(began_ms, began_ms, began_ms + 10),
        );
    }
    let now = ClockMs(30_000);
    assert_eq!(ledger.local_since(now, 0).len(), 1_024);
    assert!(is_quarantined(&ledger, now, 1));
    // Of one request, only the newest crashes are kept.
    for number in 0..100 {
        let began_ms = 40_000 + number * 100;
        note(
            &mut ledger,
            1,
            &Run::new(20_000 + number, began_ms, began_ms + 50),
        );
    }
    let records = ledger.local_since(ClockMs(60_000), 0);
    let of_first = records.iter().find(|it| it.fingerprint == fingerprint(1));
    assert_eq!(of_first.unwrap().crashes.len(), 16);
}

#[test]
fn a_run_to_an_end_that_is_remembered_elsewhere_clears_a_request_that_is_told() {
    let mut replica = CrashLedger::default();
    let mut entry = CrashLedger::default();
    crash_in_turn(&mut replica, 1, 2, 1_000);
    // It never crashed anything here, but was run to an end after the crashes.
    entry.note_completion(ClockMs(1_400), fingerprint(1));
    let now = ClockMs(2_000);
    entry.merge(now, &replica.broadcast_since(now, 0));
    let told = entry.local_since(now, 0);
    assert_eq!(told.len(), 1);
    replica.merge(now, &told);
    note(&mut replica, 1, &Run::new(9, 2_000, 2_050));
    let now = judge_all(&mut replica, 3_000);
    assert!(!is_quarantined(&replica, now, 1));
}

#[test]
fn only_a_second_crash_is_told_to_every_entry() {
    let mut ledger = CrashLedger::default();
    crash_in_turn(&mut ledger, 1, 1, 1_000);
    let now = ClockMs(2_000);
    assert!(ledger.broadcast_since(now, 0).is_empty());
    let before = ledger.broadcast_revision();
    crash_in_turn(&mut ledger, 1, 2, 1_000);
    assert!(ledger.broadcast_revision() > before);
    assert_eq!(ledger.broadcast_since(now, before).len(), 1);
    assert!(
        ledger
            .broadcast_since(now, ledger.broadcast_revision())
            .is_empty()
    );
}

#[test]
fn crashes_before_the_start_of_a_process_keep_their_order() {
    let mut former = CrashLedger::default();
    former.note_completion(ClockMs(999_000), fingerprint(1));
    let now = crash_in_turn(&mut former, 1, 6, 1_000_000);
    let records = former.broadcast_since(now, 0);
    // Just started: its clock begins with zero.
    let mut started = CrashLedger::default();
    started.merge(ClockMs(5), &records);
    assert!(is_quarantined(&started, ClockMs(5), 1));
    started.note_crash(ClockMs(6), fingerprint(2), &crash(7, 10, 5, "north"));
    assert!(is_quarantined(&started, ClockMs(7), 1));
}

#[test]
fn requests_that_ran_beside_one_that_crashes_endpoints_are_excused() {
    let mut ledger = CrashLedger::default();
    // Three requests crash three endpoints each, and one ran beside each of them once.
    for culprit in 0..3 {
        let from_ms = 1_000 + culprit * 1_000;
        let request = 10 + u32::try_from(culprit).unwrap();
        for number in 0..3 {
            let began_ms = from_ms + number * 200;
            let run = Run::new(culprit * 10 + number, began_ms, began_ms + 100);
            note(&mut ledger, request, &run);
        }
        note(
            &mut ledger,
            1,
            &Run::new(culprit * 10, from_ms - 300, from_ms + 100),
        );
        let now = judge_all(&mut ledger, from_ms + 990);
        assert!(!is_quarantined(&ledger, now, 1), "after {culprit}");
    }
    let now = judge_all(&mut ledger, 6_000);
    for culprit in 10..13 {
        assert!(is_quarantined(&ledger, now, culprit));
    }
    assert!(!is_quarantined(&ledger, now, 1));
    assert!(!ledger.is_suspect(&fingerprint(1)));
}
