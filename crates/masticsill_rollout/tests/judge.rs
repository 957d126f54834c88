//! The judge against evidence that is counted by hand.

use indexmap::IndexMap;
use masticsill_rollout::{ArmEvidence, Period, RollbackCause, RouteEvidence, judge};
use proptest::prelude::*;

fn arm(good: u32, failed: u32, latency_ms: u64) -> ArmEvidence {
    let mut arm = ArmEvidence {
        answered: u64::from(good + failed),
        failed: u64::from(failed),
        sent: u64::from(good + failed),
        ..ArmEvidence::default()
    };
    for _ in 0..good {
        arm.latency.note(latency_ms);
    }
    arm
}

fn period(old: ArmEvidence, target: ArmEvidence) -> Period {
    let route = RouteEvidence { old, target };
    Period {
        is_cold: false,
        is_load_fair: true,
        is_loaded: false,
        routes: IndexMap::from([("chat".to_owned(), route)]),
        // Requests are short: those in flight don't count.
        turnover: 2.0,
    }
}

#[test]
fn failing_version_is_bad_within_four_periods() {
    let periods = vec![period(arm(90, 0, 30), arm(5, 5, 30)); 4];
    assert_eq!(judge(&periods).bad, Some(RollbackCause::Failures));
}

/// The limit on what one period may show must not hide a version that fails with most requests.
#[test]
fn failing_version_with_most_requests_is_bad_at_once() {
    let periods = [
        period(arm(90, 0, 30), arm(10, 0, 30)),
        period(arm(20, 0, 30), arm(20, 20, 30)),
    ];
    assert_eq!(judge(&periods).bad, Some(RollbackCause::Failures));
}

/// A slow version is to be noticed before it has answered anything.
#[test]
fn waiting_requests_make_a_slow_version_doubtful() {
    let mut target = arm(0, 0, 0);
    target.sent = 20;
    for _ in 0..20 {
        target.waiting.note(3_000);
    }
    let old = arm(40, 0, 1_000);
    let periods = [period(old.clone(), arm(0, 0, 0)), period(old, target)];
    assert_eq!(judge(&periods).doubt, Some(RollbackCause::Slowness));
}

/// Cold endpoints must not make a good version look slow.
#[test]
fn slow_answers_are_bad_unless_endpoints_were_cold() {
    let mut periods = vec![period(arm(90, 0, 30), arm(10, 0, 120)); 4];
    assert_eq!(judge(&periods).bad, Some(RollbackCause::Slowness));
    for period in &mut periods {
        period.is_cold = true;
    }
    assert_eq!(judge(&periods).bad, None);
}

/// A zone's failure must not be taken for the target's, whose endpoints may all be there.
#[test]
fn outage_of_the_old_version_does_not_count_against_the_target() {
    let periods = [
        period(arm(90, 0, 30), arm(10, 0, 30)),
        period(arm(60, 30, 30), arm(0, 10, 30)),
        period(arm(90, 0, 30), arm(10, 0, 30)),
    ];
    assert_eq!(judge(&periods).bad, None);
}

#[test]
fn nothing_is_judged_without_evidence() {
    assert_eq!(judge(&[]).bad, None);
    assert_eq!(judge(&[]).doubt, None);
}

proptest! {
    /// Equal answers of both versions must not cause a roll-back, whatever they are.
    #[test]
    fn equal_versions_are_never_bad(
        counts in prop::collection::vec((1_u32..200, 0_u32..200, 1_u64..10_000), 1..12),
    ) {
        let periods: Vec<Period> = counts
            .iter()
            .map(|(good, failed, latency_ms)| {
                let arm = arm(*good, *failed, *latency_ms);
                period(arm.clone(), arm)
            })
            .collect();
        prop_assert_eq!(judge(&periods).bad, None);
    }

    /// A version that fails every request must be found at any rate.
    #[test]
    fn version_that_fails_everything_is_bad(requests in 4_u32..60, periods in 4_usize..12) {
        let periods = vec![period(arm(90, 2, 30), arm(0, requests, 30)); periods];
        prop_assert_eq!(judge(&periods).bad, Some(RollbackCause::Failures));
    }
}
