//! What callers of three priorities get in bursts, with engines granted to queued requests by control
//! replicas and with engines chosen by each entry, for several numbers of entries.
//!
//! `cargo run --release -p masticsill_bench --example engine_grants -- [--seeds N]`

use masticsill_bench::overload::{KINDS, OverloadPlan, Tally, play_seeds};
use masticsill_bench::{Table, read_seeds};

const BURSTS: [(usize, f64); 3] = [(0, 4.0), (0, 8.0), (1, 4.0)];
const ENTRIES: [usize; 4] = [3, 9, 22, 40];

fn main() -> eyre::Result<()> {
    let seeds = read_seeds(4)?;
    let columns = [
        "entries",
        "burst of kind",
        "times",
        "granted",
        "urgent in aim",
        "served",
        "routine in aim",
        "served",
        "reminder in aim",
        "served",
        "all in aim",
        "all served",
    ];
    let mut table = Table::new(&columns);
    for entries in ENTRIES {
        for (kind, times) in BURSTS {
            for are_engines_granted in [false, true] {
                let plan = OverloadPlan {
                    are_engines_granted,
                    entries,
                    workspace_priority: Some(1),
                    ..OverloadPlan::burst_of(kind, times)
                };
                let mut row = vec![
                    entries.to_string(),
                    kind.to_string(),
                    format!("{times}x"),
                    are_engines_granted.to_string(),
                ];
                row.extend(results(&play_seeds(&plan, seeds)));
                table.add(row);
            }
        }
    }
    println!("{table}");
    Ok(())
}

/// Shares over all plays.
#[allow(clippy::cast_precision_loss)]
fn results(tallies: &[Tally]) -> Vec<String> {
    let mean =
        |of: &dyn Fn(&Tally) -> f64| tallies.iter().map(of).sum::<f64>() / tallies.len() as f64;
    let mut shown = Vec::new();
    for kind in 0..KINDS {
        shown.push(format!("{:.3}", mean(&|it| it.by_kind[kind].aim_share())));
        shown.push(format!(
            "{:.3}",
            mean(&|it| it.by_kind[kind].served_share())
        ));
    }
    shown.push(format!("{:.3}", mean(&Tally::aim_share)));
    let served = |it: &Tally| (it.in_aim + it.late) as f64 / it.asked as f64;
    shown.push(format!("{:.3}", mean(&served)));
    shown
}
