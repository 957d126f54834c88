//! What callers get of overload: goodput that does not fall, refusals at once, and an end of it all
//! when the overload has gone.

use masticsill_bench::overload::{OverloadPlan, Policy, Tally, play, play_seeds};

/// Seeds of each load. One play alone may differ from the mean by several percent.
const SEEDS: u64 = 4;

fn plays(load: f64, policy: Policy) -> Vec<Tally> {
    let plan = OverloadPlan {
        load,
        policy,
        ..OverloadPlan::default()
    };
    play_seeds(&plan, SEEDS)
}

fn in_aim(tallies: &[Tally]) -> usize {
    tallies.iter().map(|it| it.in_aim).sum()
}

#[test]
fn goodput_does_not_fall() {
    let loads = [2.0, 3.0, 4.0, 6.0, 8.0, 10.0];
    let goodput = loads.map(|load| in_aim(&plays(load, Policy::Dispatcher)));
    let best = goodput.into_iter().max().unwrap();
    for (load, in_aim) in loads.into_iter().zip(goodput).skip(2) {
        assert!(
            in_aim * 100 >= best * 95,
            "{in_aim} of {best} at {load}x: {goodput:?}"
        );
    }
}

#[test]
fn usual_load_is_served_whole() {
    for tally in plays(1.0, Policy::Dispatcher) {
        assert_eq!(tally.in_aim, tally.asked, "{tally:?}");
    }
}

#[test]
fn naive_placing_collapses() {
    let overload = in_aim(&plays(6.0, Policy::LeastLoaded));
    let served = in_aim(&plays(6.0, Policy::Dispatcher));
    assert!(overload * 2 < served, "{overload} against {served}");
}

#[test]
fn refusals_come_at_once() {
    for load in [4.0, 8.0] {
        for tally in plays(load, Policy::Dispatcher) {
            assert!(tally.refused > 0, "{tally:?}");
            assert!(tally.refusal_p99_ms <= 500, "{tally:?}");
        }
    }
}

#[test]
fn service_is_as_before_once_the_overload_has_gone() {
    let tallies = plays(8.0, Policy::Dispatcher);
    let sum: f64 = tallies.iter().map(|it| it.after_share).sum();
    assert!(sum / 4.0 >= 0.9, "{tallies:?}");
    let naive = plays(8.0, Policy::LeastLoaded);
    assert!(naive.iter().all(|it| it.after_share < 0.5), "{naive:?}");
}

#[test]
fn long_prompts_and_small_workspaces_keep_their_share() {
    let plan = OverloadPlan {
        hot_share: 0.6,
        load: 4.0,
        ..OverloadPlan::default()
    };
    let tally = play(&plan);
    assert!(tally.long_share >= tally.aim_share() / 2.0, "{tally:?}");
    assert!(tally.other_share >= tally.hot_share, "{tally:?}");
}

/// A late run may meet its deadline: nobody knows beforehand how long an answer gets.
#[test]
fn nobody_is_forgotten() {
    for load in [2.0, 8.0] {
        for tally in plays(load, Policy::Dispatcher) {
            assert!(tally.lost * 500 <= tally.asked, "{tally:?}");
        }
    }
}
