//! Engines that end by themselves, and beside requests that crash them, while others run there.

use masticsill_bench::blame::{BlamePlan, play};

/// Sends of a crashing request that entries may make once they should know of it.
const ALLOWED_LATE: usize = 3;

#[test]
fn much_asked_requests_are_not_blamed_for_engines_that_end_by_themselves() {
    let plan = BlamePlan {
        crashing_per_s: 0.0,
        popular_share: 0.9,
        seconds: 40,
        ..BlamePlan::default()
    };
    for seed in 0..2 {
        let tally = play(&BlamePlan { seed, ..plan });
        assert!(tally.asked > 1_000);
        assert_eq!(tally.blamed, 0, "seed {seed}: {tally:?}");
    }
}

#[test]
fn bystanders_are_not_blamed_and_crashing_requests_are_caught() {
    let plan = BlamePlan {
        restarts_every_ms: 0,
        seconds: 40,
        single_falls_every_ms: 0,
        zone_falls_every_ms: 0,
        ..BlamePlan::default()
    };
    for seed in 0..2 {
        let tally = play(&BlamePlan { seed, ..plan });
        assert_eq!(tally.blamed, 0, "seed {seed}: {tally:?}");
        assert!(tally.caught >= 3, "seed {seed}: {tally:?}");
        assert!(tally.most_late <= ALLOWED_LATE, "seed {seed}: {tally:?}");
    }
}
