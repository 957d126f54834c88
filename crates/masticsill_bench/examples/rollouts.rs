//! Roll-outs of good and bad versions by the way to judge them.
//!
//! `cargo run --release -p masticsill_bench --example rollouts -- [--seeds N]`

use masticsill_bench::rollouts::{
    Flaw, JudgeFn, Load, PLAIN, RolloutOutcome, RolloutPlan, STREAMS, play, posterior, sequential,
    windows,
};
use masticsill_bench::{Table, read_seeds};

/// Roll-outs that are played at once.
const THREADS: u64 = 6;

fn main() -> eyre::Result<()> {
    let seeds = read_seeds(1_000)?;
    for (load_name, load) in [("streams", STREAMS), ("plain", PLAIN)] {
        for (judge_name, judge) in judges() {
            let columns = [
                "target",
                "as wanted",
                "completed",
                "rolled back",
                "in bounds",
                "over exposure",
                "over time",
                "bad, mean",
                "target's, mean",
                "most over",
                "ended p50",
                "p99",
                "roll-back p99",
                "most",
                "cut",
            ];
            let mut table = Table::new(&columns);
            for (name, flaws) in kinds(load.rest_ms > 0.0) {
                table.add(row(
                    name,
                    &outcomes(seeds, load, judge, &flaws),
                    flaws(0) == Flaw::None,
                ));
            }
            println!("{load_name}, {judge_name}\n{table}");
        }
    }
    Ok(())
}

fn judges() -> [(&'static str, JudgeFn); 3] {
    [
        ("sequential ratio", sequential),
        ("posterior", posterior),
        ("fixed windows", windows),
    ]
}

type Flaws = Box<dyn Fn(u64) -> Flaw + Sync>;

/// The kinds of versions; the flaw of a kind varies with the seed.
fn kinds(is_stream: bool) -> Vec<(&'static str, Flaws)> {
    let varied =
        |seed: u64, values: &[f64]| values[usize::try_from(seed).unwrap_or(0) % values.len()];
    let share = move |seed| varied(seed, &[0.3, 0.5, 0.7, 1.0]);
    let factor = move |seed| varied(seed, &[3.0, 4.0, 6.0, 10.0]);
    let last_ms = if is_stream { 3_500 } else { 7_500 };
    let later = move |seed: u64| 500 + seed * 37 % last_ms;
    let route = |seed: u64| usize::try_from(seed / 4 % 3).unwrap_or(0);
    vec![
        ("good", Box::new(|_| Flaw::None)),
        (
            "fails 3 to 10 in 10",
            Box::new(move |seed| Flaw::Fails(share(seed))),
        ),
        ("fails 2 in 10", Box::new(|_| Flaw::Fails(0.2))),
        (
            "3 to 10 times slower",
            Box::new(move |seed| Flaw::Slow(factor(seed))),
        ),
        (
            "fails later",
            Box::new(move |seed| Flaw::FailsFrom(share(seed), later(seed))),
        ),
        (
            "fails after the move",
            Box::new(move |seed| Flaw::FailsFrom(share(seed), last_ms + 1_500 + seed * 37 % 2_000)),
        ),
        (
            "fails under load",
            Box::new(move |seed| Flaw::FailsUnderLoad(share(seed))),
        ),
        (
            "fails on one route",
            Box::new(move |seed| Flaw::FailsOnRoute(share(seed), route(seed))),
        ),
        (
            "slower on one route",
            Box::new(move |seed| Flaw::SlowOnRoute(factor(seed), route(seed))),
        ),
    ]
}

fn outcomes(seeds: u64, load: Load, judge: JudgeFn, flaws: &Flaws) -> Vec<RolloutOutcome> {
    let run = |first: u64| {
        let seeds = (first..seeds).step_by(usize::try_from(THREADS).unwrap_or(1));
        let outcomes = seeds.map(|seed| {
            play(&RolloutPlan {
                flaw: flaws(seed),
                has_faults: true,
                judge,
                load,
                seed,
            })
        });
        outcomes.collect::<Vec<_>>()
    };
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|first| scope.spawn(move || run(first)))
            .collect();
        let joined = threads.into_iter().map(std::thread::ScopedJoinHandle::join);
        joined
            .flat_map(|outcomes| outcomes.expect("a play ends"))
            .collect()
    })
}

fn row(name: &str, outcomes: &[RolloutOutcome], is_good: bool) -> Vec<String> {
    let count = |is: &dyn Fn(&RolloutOutcome) -> bool| {
        outcomes
            .iter()
            .filter(|outcome| is(outcome))
            .count()
            .to_string()
    };
    let mean = |of: &dyn Fn(&RolloutOutcome) -> u64| {
        let sum: u64 = outcomes.iter().map(of).sum();
        (sum / outcomes.len().max(1) as u64).to_string()
    };
    let quantile = |of: &dyn Fn(&RolloutOutcome) -> u64, share: usize| {
        let mut values: Vec<u64> = outcomes.iter().map(of).collect();
        values.sort_unstable();
        values[(values.len() - 1) * share / 100].to_string()
    };
    let ended = |outcome: &RolloutOutcome| outcome.ended_ms.unwrap_or(12_000);
    let most_over = outcomes.iter().map(RolloutOutcome::overexposed);
    let most_over = most_over.fold(f64::NEG_INFINITY, f64::max);
    let is_wanted: &dyn Fn(&RolloutOutcome) -> bool = if is_good {
        &RolloutOutcome::is_completed
    } else {
        &RolloutOutcome::keeps_bounds
    };
    vec![
        name.to_owned(),
        count(is_wanted),
        count(&RolloutOutcome::is_completed),
        count(&RolloutOutcome::is_rolled_back),
        count(&RolloutOutcome::keeps_bounds),
        count(&|outcome| outcome.overexposed() > 0.0),
        count(&|outcome| outcome.rollback_ms() > 5_000),
        mean(&|outcome| outcome.bad),
        mean(&|outcome| outcome.target),
        format!("{most_over:.0}"),
        quantile(&ended, 50),
        quantile(&ended, 99),
        quantile(&RolloutOutcome::rollback_ms, 99),
        quantile(&RolloutOutcome::rollback_ms, 100),
        mean(&|outcome| outcome.cut),
    ]
}
