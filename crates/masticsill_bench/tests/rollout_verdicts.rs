//! Roll-outs of good and bad versions among outages, changes of load, and lost leaders and relays.

use masticsill_bench::rollouts::{
    Flaw, Load, PLAIN, ROLLBACK_MS, RolloutOutcome, RolloutPlan, STREAMS, play, sequential,
};

fn outcomes(flaw: Flaw, load: Load) -> Vec<RolloutOutcome> {
    let outcomes = (0..40).map(|seed| {
        play(&RolloutPlan {
            flaw,
            has_faults: true,
            judge: sequential,
            load,
            seed,
        })
    });
    outcomes.collect()
}

/// Guards against noise being taken for a bad version: 995 of 1,000 are to be completed, which allows
/// none of 40 to be missed.
#[test]
fn good_versions_are_completed() {
    for load in [STREAMS, PLAIN] {
        let outcomes = outcomes(Flaw::None, load);
        let completed = outcomes.iter().filter(|it| it.is_completed()).count();
        assert_eq!(completed, outcomes.len(), "{load:?}");
    }
}

/// Guards against a bad version of streams that is kept, or gets more of them than it may.
#[test]
fn bad_versions_of_streams_are_rolled_back_within_the_bounds() {
    for flaw in [
        Flaw::Fails(0.5),
        Flaw::Slow(4.0),
        Flaw::FailsFrom(0.7, 3_000),
    ] {
        for outcome in outcomes(flaw, STREAMS) {
            assert!(outcome.keeps_bounds(), "{flaw:?}: {outcome:?}");
        }
    }
}

/// Guards against a bad version of plain requests that is kept, or is served too long.
#[test]
fn bad_versions_of_plain_requests_are_rolled_back_within_the_bounds() {
    for flaw in [
        Flaw::Fails(0.5),
        Flaw::Slow(4.0),
        Flaw::FailsFrom(0.7, 3_000),
    ] {
        for outcome in outcomes(flaw, PLAIN) {
            assert!(outcome.keeps_bounds(), "{flaw:?}: {outcome:?}");
        }
    }
}

/// Guards against streams of a version that breaks all of them, or begins all of them late.
#[test]
fn versions_that_break_or_delay_all_streams_are_rolled_back_within_the_bounds() {
    for flaw in [Flaw::Fails(1.0), Flaw::Slow(4.0)] {
        for outcome in outcomes(flaw, STREAMS) {
            assert!(outcome.keeps_bounds(), "{flaw:?}: {outcome:?}");
            assert!(outcome.rollback_ms() <= ROLLBACK_MS / 2, "{outcome:?}");
        }
    }
}
