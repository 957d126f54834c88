//! Outages of engines that control replicas make known to all entries.

use masticsill_bench::overload::{OverloadPlan, Tally, play};

/// Four tenths of the engines answer nothing for 10 s, at the usual load.
fn play_small(is_shared: bool) -> Tally {
    play(&OverloadPlan {
        engines: 24,
        entries: 9,
        load: 1.0,
        usual_per_s: 6.24,
        ..OverloadPlan::outage_of(0.4, is_shared)
    })
}

/// Guards against each entry finding out about each engine by requests of its own.
#[test]
fn known_outages_cost_few_requests() {
    let alone = play_small(false);
    let shared = play_small(true);
    assert!(alone.dark_sends > 0 && alone.asked == shared.asked);
    let (alone_sends, shared_sends) = (alone.dark_sends, shared.dark_sends);
    assert!(
        shared_sends * 4 <= alone_sends,
        "{shared_sends} of {alone_sends}"
    );
    assert!(shared.in_aim >= alone.in_aim, "{shared:?}, {alone:?}");
}
