//! Silent runs at engines of uneven speed, in the model.

use masticsill_bench::uneven::{Method, UnevenPlan, UnevenTally, play};

const SEEDS: u64 = 2;

fn play_seeds(plan: &UnevenPlan, method: Method) -> UnevenTally {
    let mut sum = UnevenTally::default();
    for seed in 0..SEEDS {
        sum += play(plan, method, seed);
    }
    sum
}

fn short_plan() -> UnevenPlan {
    UnevenPlan {
        length_ms: 30_000,
        ..UnevenPlan::default()
    }
}

fn median(values: &mut [u64]) -> u64 {
    values.sort_unstable();
    values[values.len() / 2]
}

/// Slow engines that are alive were left, and the prompts prefilled again.
#[test]
fn slow_engines_are_kept() {
    let plan = short_plan();
    let fixed = play_seeds(&plan, Method::Fixed);
    let learned = play_seeds(&plan, Method::Longer);
    assert!(learned.late_or_left * 3 < fixed.late_or_left * 2);
    assert!(learned.late <= fixed.late);
    assert!(learned.tokens_read_again * 2.0 < fixed.tokens_read_again);
}

/// Patience with slow engines must not delay the detection of dead ones where engines are steady,
/// nor of a zone that is down.
#[test]
fn dead_engines_are_detected_in_time() {
    let steady = UnevenPlan {
        lifetime_ms: 30_000.0,
        slow_share: 0.001,
        speeds: (0.99, 1.01),
        ..short_plan()
    };
    let mut fixed = play_seeds(&steady, Method::Fixed);
    let mut learned = play_seeds(&steady, Method::Longer);
    let detected = |tally: &mut UnevenTally| median(&mut tally.detected_ms);
    assert!(detected(&mut learned) <= detected(&mut fixed) + 25);
    let plan = short_plan();
    let mut fixed = play_seeds(&plan, Method::Fixed);
    let mut learned = play_seeds(&plan, Method::Longer);
    let detected = |tally: &mut UnevenTally| median(&mut tally.detected_zone_ms);
    assert!(detected(&mut learned) <= detected(&mut fixed) + 50);
}
