//! Which crashes count against a request, for how long, and when they are dropped.

mod support;

use masticsill_quarantine::{CrashLedger, Standing, Weight};
use masticsill_types::ClockMs;
use support::{
    JUDGEMENT_MARGIN_MS, Run, crash, fingerprint, is_quarantined, judge_all, record_run,
};

const TEN_MINUTES_MS: u64 = 600_000;

/// Records `count` crashes of a request, one after the other, each in its own zone, and judges
/// them. Returns the time of the judgement.
fn crash_in_sequence(ledger: &mut CrashLedger, request: u32, count: u64, from_ms: u64) -> ClockMs {
    for number in 0..count {
        let began_ms = from_ms + number * 100;
        record_run(ledger, request, &Run::new(number, began_ms, began_ms + 50));
    }
    judge_all(ledger, from_ms + count * 100 + JUDGEMENT_MARGIN_MS)
}

#[test]
fn three_separate_crashes_quarantine_a_request() {
    let mut ledger = CrashLedger::default();
    let now = crash_in_sequence(&mut ledger, 1, 2, 1_000);
    assert!(!is_quarantined(&ledger, now, 1));
    let now = crash_in_sequence(&mut ledger, 1, 3, 1_000);
    assert!(is_quarantined(&ledger, now, 1));
    assert!(!is_quarantined(&ledger, now, 2));
}

#[test]
fn simultaneous_crashes_count_once() {
    let mut ledger = CrashLedger::default();
    // Each in its own zone, so that no zone failure explains them.
    for number in 0..6 {
        record_run(
            &mut ledger,
            1,
            &Run::new(number, 1_000 + number, 2_000 + number),
        );
    }
    let now = judge_all(&mut ledger, 3_000);
    assert!(!is_quarantined(&ledger, now, 1));
}

#[test]
fn overlapping_runs_with_separate_ends_count_individually() {
    let mut ledger = CrashLedger::default();
    for number in 0..3 {
        record_run(
            &mut ledger,
            1,
            &Run::new(number, 1_000, 3_000 + number * 600),
        );
    }
    let now = judge_all(&mut ledger, 6_000);
    assert!(is_quarantined(&ledger, now, 1));
}

#[test]
fn completion_clears_earlier_crashes() {
    let mut ledger = CrashLedger::default();
    ledger.note_completion(ClockMs(500), fingerprint(1));
    crash_in_sequence(&mut ledger, 1, 5, 1_000);
    ledger.note_completion(ClockMs(3_000), fingerprint(1));
    for number in 5..10 {
        let began_ms = 3_500 + number * 100;
        record_run(&mut ledger, 1, &Run::new(number, began_ms, began_ms + 50));
    }
    let now = judge_all(&mut ledger, 6_000);
    assert!(!is_quarantined(&ledger, now, 1));
}

#[test]
fn completed_request_is_quarantined_after_six_crashes() {
    let mut ledger = CrashLedger::default();
    ledger.note_completion(ClockMs(500), fingerprint(1));
    let now = crash_in_sequence(&mut ledger, 1, 5, 1_000);
    assert!(!is_quarantined(&ledger, now, 1));
    let now = crash_in_sequence(&mut ledger, 1, 6, 1_000);
    assert!(is_quarantined(&ledger, now, 1));
}

#[test]
fn crashes_during_a_zone_failure_do_not_count() {
    let mut ledger = CrashLedger::default();
    let mut now = ClockMs(0);
    for failure in 0..4 {
        let at = 1_000 + failure * 2_000;
        let suspect_run = Run::new(failure * 10, at - 500, at).in_zone("north");
        record_run(&mut ledger, 1, &suspect_run);
        for other in 1..=3 {
            let run = Run::new(failure * 10 + other, at - 800, at + 20).in_zone("north");
            record_run(
                &mut ledger,
                100 + u32::try_from(failure * 10 + other).unwrap(),
                &run,
            );
        }
        now = judge_all(&mut ledger, at + JUDGEMENT_MARGIN_MS);
    }
    assert!(!is_quarantined(&ledger, now, 1));
}

#[test]
fn simultaneous_crashes_under_the_same_request_still_count() {
    let mut ledger = CrashLedger::default();
    // Eight engines of a zone crash at the same moment, each under this request, three times.
    for wave in 0..3 {
        let began_ms = 1_000 + wave * 1_000;
        for number in 0..8 {
            let run = Run::new(wave * 10 + number, began_ms, began_ms + 100).in_zone("north");
            record_run(&mut ledger, 1, &run);
        }
    }
    let now = judge_all(&mut ledger, 5_000);
    assert!(is_quarantined(&ledger, now, 1));
}

#[test]
fn crashes_in_other_zones_or_at_other_times_do_not_clear_a_request() {
    let mut ledger = CrashLedger::default();
    for number in 0..3 {
        let at = 1_000 + number * 1_000;
        record_run(
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
            record_run(&mut ledger, request, &run);
        }
    }
    let now = judge_all(&mut ledger, 5_000);
    assert!(is_quarantined(&ledger, now, 1));
}

#[test]
fn crash_counts_only_after_its_judgement() {
    let mut ledger = CrashLedger::default();
    crash_in_sequence(&mut ledger, 1, 2, 1_000);
    record_run(&mut ledger, 1, &Run::new(9, 2_000, 2_050));
    assert!(!is_quarantined(&ledger, ClockMs(2_100), 1));
    let standing = |ledger: &CrashLedger, now_ms| ledger.standing(ClockMs(now_ms), &fingerprint(1));
    assert_eq!(standing(&ledger, 2_100), Standing::Held { left_ms: 750 });
    // Without a judgement, the hold ends.
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
fn quarantine_ends_and_doubles_after_a_further_crash() {
    let mut ledger = CrashLedger::default();
    crash_in_sequence(&mut ledger, 1, 3, 1_000);
    let last_end = 1_250;
    assert!(is_quarantined(
        &ledger,
        ClockMs(last_end + TEN_MINUTES_MS - 1),
        1
    ));
    let released = last_end + TEN_MINUTES_MS;
    assert!(!is_quarantined(&ledger, ClockMs(released), 1));
    record_run(&mut ledger, 1, &Run::new(9, released, released + 50));
    let now = judge_all(&mut ledger, released + 1_000);
    assert!(is_quarantined(&ledger, now, 1));
    let until = released + 50 + 2 * TEN_MINUTES_MS;
    assert!(is_quarantined(&ledger, ClockMs(until - 1), 1));
    assert!(!is_quarantined(&ledger, ClockMs(until), 1));
}

#[test]
fn old_records_are_dropped() {
    let mut ledger = CrashLedger::default();
    crash_in_sequence(&mut ledger, 1, 3, 1_000);
    crash_in_sequence(&mut ledger, 2, 1, 1_000);
    ledger.forget_old(ClockMs(1_050 + TEN_MINUTES_MS));
    assert_eq!(ledger.broadcast_since(ClockMs(0), 0).len(), 1);
    assert_eq!(ledger.local_since(ClockMs(0), 0).len(), 1);
    ledger.forget_old(ClockMs(1_250 + 2 * TEN_MINUTES_MS));
    assert!(ledger.local_since(ClockMs(0), 0).is_empty());
}

#[test]
fn number_of_suspects_is_bounded_and_quarantined_ones_stay() {
    let mut ledger = CrashLedger::default();
    crash_in_sequence(&mut ledger, 1, 3, 1_000);
    for request in 2..10_000 {
        let began_ms = 10_000 + u64::from(request);
        record_run(
            &mut ledger,
            request,
            &Run::new(began_ms, began_ms, began_ms + 10),
        );
    }
    let now = ClockMs(30_000);
    assert_eq!(ledger.local_since(now, 0).len(), 1_024);
    assert!(is_quarantined(&ledger, now, 1));
    // Only the newest crashes of a request are kept.
    for number in 0..100 {
        let began_ms = 40_000 + number * 100;
        record_run(
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
fn completion_known_elsewhere_clears_a_broadcast_request() {
    let mut replica = CrashLedger::default();
    let mut entry = CrashLedger::default();
    crash_in_sequence(&mut replica, 1, 2, 1_000);
    // The request never crashed an endpoint at this entry, which completed it after the crashes
    // elsewhere.
    entry.note_completion(ClockMs(1_400), fingerprint(1));
    let now = ClockMs(2_000);
    entry.merge(now, &replica.broadcast_since(now, 0));
    let reported = entry.local_since(now, 0);
    assert_eq!(reported.len(), 1);
    replica.merge(now, &reported);
    record_run(&mut replica, 1, &Run::new(9, 2_000, 2_050));
    let now = judge_all(&mut replica, 3_000);
    assert!(!is_quarantined(&replica, now, 1));
}

#[test]
fn request_is_broadcast_after_its_second_crash() {
    let mut ledger = CrashLedger::default();
    crash_in_sequence(&mut ledger, 1, 1, 1_000);
    let now = ClockMs(2_000);
    assert!(ledger.broadcast_since(now, 0).is_empty());
    let before = ledger.broadcast_revision();
    crash_in_sequence(&mut ledger, 1, 2, 1_000);
    assert!(ledger.broadcast_revision() > before);
    assert_eq!(ledger.broadcast_since(now, before).len(), 1);
    assert!(
        ledger
            .broadcast_since(now, ledger.broadcast_revision())
            .is_empty()
    );
}

#[test]
fn crashes_before_process_start_keep_their_order() {
    let mut previous = CrashLedger::default();
    previous.note_completion(ClockMs(999_000), fingerprint(1));
    let now = crash_in_sequence(&mut previous, 1, 6, 1_000_000);
    let records = previous.broadcast_since(now, 0);
    // Just restarted: the process's clock starts at zero.
    let mut restarted = CrashLedger::default();
    restarted.merge(ClockMs(5), &records);
    assert!(is_quarantined(&restarted, ClockMs(5), 1));
    restarted.note_crash(ClockMs(6), fingerprint(2), &crash(7, 10, 5, "north"));
    assert!(is_quarantined(&restarted, ClockMs(7), 1));
}

#[test]
fn requests_beside_a_crashing_request_are_cleared() {
    let mut ledger = CrashLedger::default();
    // Three requests crash three endpoints each; another request ran beside each of them once.
    for crashing in 0..3 {
        let from_ms = 1_000 + crashing * 1_000;
        let request = 10 + u32::try_from(crashing).unwrap();
        for number in 0..3 {
            let began_ms = from_ms + number * 200;
            let run = Run::new(crashing * 10 + number, began_ms, began_ms + 100);
            record_run(&mut ledger, request, &run);
        }
        record_run(
            &mut ledger,
            1,
            &Run::new(crashing * 10, from_ms - 300, from_ms + 100),
        );
        let now = judge_all(&mut ledger, from_ms + 990);
        assert!(!is_quarantined(&ledger, now, 1), "after {crashing}");
    }
    let now = judge_all(&mut ledger, 6_000);
    for crashing in 10..13 {
        assert!(is_quarantined(&ledger, now, crashing));
    }
    assert!(!is_quarantined(&ledger, now, 1));
    assert!(!ledger.is_suspect(&fingerprint(1)));
}
