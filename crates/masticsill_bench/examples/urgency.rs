//! What callers of three priorities get in a burst of one of them, with and without priorities.
//!
//! `cargo run --release -p masticsill_bench --example urgency -- [--seeds N]`

use masticsill_bench::overload::{KINDS, OverloadPlan, Tally, play_seeds};
use masticsill_bench::{Table, read_seeds};

const KIND_NAMES: [&str; KINDS] = ["urgent", "routine", "reminder"];
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
    let plan = OverloadPlan::burst_of(burst, times);
    let plan = if has_priorities {
        plan
    } else {
        plan.without_priorities()
    };
    let tallies = play_seeds(&plan, seeds);
    #[allow(clippy::cast_precision_loss)]
    let mean = |of: &dyn Fn(&Tally) -> f64| tallies.iter().map(of).sum::<f64>() / seeds as f64;
    let mut shown = Vec::new();
    for kind in 0..KINDS {
        shown.push(format!("{:.3}", mean(&|it| it.by_kind[kind].aim_share())));
        shown.push(format!(
            "{:.3}",
            mean(&|it| it.by_kind[kind].served_share())
        ));
    }
    shown.push(format!("{:.3}", mean(&Tally::aim_share)));
    shown
}
