//! Goodput against load, with the product's dispatcher and with a naive placing.
//!
//! `cargo run --release -p masticsill_bench --example overload -- [--seeds N]`

use masticsill_bench::overload::{OverloadPlan, Policy, Tally, play_seeds};
use masticsill_bench::{Table, read_seeds};

const LOADS: [f64; 9] = [0.5, 1.0, 2.0, 2.5, 3.0, 4.0, 6.0, 8.0, 10.0];

fn main() -> eyre::Result<()> {
    let seeds = read_seeds(5)?;
    let columns = [
        "load", "policy", "asked", "in aim", "late", "refused", "lost", "after", "long", "p99 ms",
    ];
    let mut table = Table::new(&columns);
    for load in LOADS {
        for policy in [Policy::Dispatcher, Policy::LeastLoaded] {
            table.add(row(load, policy, seeds));
        }
    }
    println!("{table}");
    Ok(())
}

/// Means over the seeds.
#[allow(clippy::cast_precision_loss)]
fn row(load: f64, policy: Policy, seeds: u64) -> Vec<String> {
    let plan = OverloadPlan {
        load,
        policy,
        ..OverloadPlan::default()
    };
    let tallies = play_seeds(&plan, seeds);
    let mean = |of: &dyn Fn(&Tally) -> f64| tallies.iter().map(of).sum::<f64>() / seeds as f64;
    let count = |of: &dyn Fn(&Tally) -> usize| format!("{:.0}", mean(&|it| of(it) as f64));
    vec![
        format!("{load}x"),
        format!("{policy:?}"),
        count(&|it| it.asked),
        count(&|it| it.in_aim),
        count(&|it| it.late),
        count(&|it| it.refused),
        count(&|it| it.lost),
        format!("{:.2}", mean(&|it| it.after_share)),
        format!("{:.2}", mean(&|it| it.long_share)),
        format!("{:.0}", mean(&|it| it.refusal_p99_ms as f64)),
    ]
}
