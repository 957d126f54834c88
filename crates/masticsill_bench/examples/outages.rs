//! An overload in which a part of the engines answers nothing for 10 s, with and without control
//! replicas that tell every entry which engines are down.
//!
//! `cargo run --release -p masticsill_bench --example outages -- [--seeds N]`

use masticsill_bench::overload::{OverloadPlan, Tally, play_seeds};
use masticsill_bench::{Table, read_seeds};

const SHARES: [f64; 4] = [0.05, 0.2, 0.4, 0.6];

fn main() -> eyre::Result<()> {
    let seeds = read_seeds(3)?;
    let columns = [
        "down",
        "known",
        "asked",
        "in aim",
        "late",
        "after down",
        "refused",
        "lost",
        "sends there",
    ];
    let mut table = Table::new(&columns);
    for share in SHARES {
        for is_shared in [false, true] {
            table.add(row(share, is_shared, seeds));
        }
    }
    println!("{table}");
    Ok(())
}

/// Means over the seeds.
#[allow(clippy::cast_precision_loss)]
fn row(share: f64, is_shared: bool, seeds: u64) -> Vec<String> {
    let tallies = play_seeds(&OverloadPlan::outage_of(share, is_shared), seeds);
    let mean = |of: &dyn Fn(&Tally) -> usize| {
        let sum: usize = tallies.iter().map(of).sum();
        format!("{:.0}", sum as f64 / seeds as f64)
    };
    vec![
        format!("{share}"),
        if is_shared { "to all" } else { "to each" }.to_owned(),
        mean(&|it| it.asked),
        mean(&|it| it.in_aim),
        mean(&|it| it.late),
        mean(&|it| it.late_after_dark),
        mean(&|it| it.refused),
        mean(&|it| it.lost),
        mean(&|it| it.dark_sends as usize),
    ]
}
