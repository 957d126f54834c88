//! Lookups of many entries at the few plain endpoints that are left.

use masticsill_bench::lookups::{LookupPlan, LookupTally, play};

fn play_seeds(plan: &LookupPlan) -> LookupTally {
    let mut sum = LookupTally::default();
    for seed in 0..3 {
        sum += play(&LookupPlan { seed, ..*plan });
    }
    sum
}

#[test]
fn lookups_below_the_capacity_are_served_whole() {
    let plan = LookupPlan {
        asked_per_s: 70.0,
        ..LookupPlan::default()
    };
    let tally = play_seeds(&plan);
    assert_eq!(tally.in_aim, tally.asked, "{tally:?}");
}

#[test]
fn an_overload_by_a_third_leaves_no_endpoint_idle() {
    // One endpoint of six slots can answer 100 of the 130 that are asked in a second.
    let tally = play_seeds(&LookupPlan::default());
    let answered = tally.in_aim + tally.late;
    assert!(answered * 100 >= tally.asked * 72, "{tally:?}");
}
