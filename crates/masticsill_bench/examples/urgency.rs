//! What callers of three priorities get in a burst of one of them, with and without priorities.
//!
//! `cargo run --release -p masticsill_bench --example urgency -- [--seeds N]`

use masticsill_bench::overload::{KindPlan, OverloadPlan, Tally, play};
use masticsill_bench::{Table, read_seeds};

const KIND_NAMES: [&str; 3] = ["urgent", "routine", "reminder"];
const BURSTS: [f64; 4] = [1.5, 2.4, 4.0, 8.0];

fn main() -> eyre::Result<()> {
    let seeds = read_seeds(10)?;
    let columns = [
        "burst of",
        "times",
        "priorities",
        "urgent in aim",
        "served",
        "routine in aim",
        "served",
        "reminder in aim",
        "served",
        "all in aim",
    ];
    let mut table = Table::new(&columns);
    for (kind, name) in KIND_NAMES.iter().enumerate() {
        for times in BURSTS {
            for has_priorities in [false, true] {
                let mut row = vec![
                    name.to_string(),
                    format!("{times}x"),
                    has_priorities.to_string(),
                ];
                row.extend(results(kind, times, has_priorities, seeds));
                table.add(row);
            }
        }
    }
    println!("{table}");
    Ok(())
}

/// Means over the seeds.
fn results(burst: usize, times: f64, has_priorities: bool, seeds: u64) -> Vec<String> {
    let plans = (0..seeds).map(|seed| plan(burst, times, has_priorities, seed));
    let tallies: Vec<Tally> = plans.map(|plan| play(&plan)).collect();
    #[allow(clippy::cast_precision_loss)]
    let mean = |of: &dyn Fn(&Tally) -> f64| tallies.iter().map(of).sum::<f64>() / seeds as f64;
    let mut shown = Vec::new();
    for kind in 0..KIND_NAMES.len() {
        shown.push(format!("{:.3}", mean(&|it| it.by_kind[kind].aim_share())));
        shown.push(format!(
            "{:.3}",
            mean(&|it| it.by_kind[kind].served_share())
        ));
    }
    shown.push(format!("{:.3}", mean(&Tally::aim_share)));
    shown
}

/// Requests of three priorities before 24 engines; during the overload one kind comes `times` as
/// often as usual.
fn plan(burst: usize, times: f64, has_priorities: bool, seed: u64) -> OverloadPlan {
    let kind = |number: usize, aim_ms: u64, share: f64| KindPlan {
        aim_ms,
        load: if number == burst { times } else { 1.0 },
        priority: u32::try_from(number).unwrap_or_default(),
        share,
    };
    OverloadPlan {
        has_priorities,
        kinds: [
            kind(0, 4_000, 0.27),
            kind(1, 5_000, 0.53),
            kind(2, 10_000, 0.2),
        ],
        load: 2.0,
        seed,
        ..OverloadPlan::default()
    }
}
