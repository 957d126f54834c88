//! Lookups of many entries at a few plain endpoints, of which most leave.
//!
//! `cargo run --release -p masticsill_bench --example shared_endpoints -- [--seeds N]`

use masticsill_bench::lookups::{LookupPlan, LookupTally, play};
use masticsill_bench::{Table, read_seeds};

fn main() -> eyre::Result<()> {
    let seeds = read_seeds(10)?;
    let columns = [
        "entries",
        "asked/s",
        "aim ms",
        "work ms",
        "asked",
        "in aim",
        "late",
        "unanswered",
        "turned away",
    ];
    let mut table = Table::new(&columns);
    for plan in plans() {
        let mut sum = LookupTally::default();
        for seed in 0..seeds {
            sum += play(&LookupPlan { seed, ..plan });
        }
        let row = [
            plan.entries.to_string(),
            plan.asked_per_s.to_string(),
            plan.aim_ms.to_string(),
            plan.work_ms.to_string(),
            sum.asked.to_string(),
            sum.in_aim.to_string(),
            sum.late.to_string(),
            sum.unanswered.to_string(),
            sum.turned_away.to_string(),
        ];
        table.add(row);
    }
    println!("{table}");
    Ok(())
}

fn plans() -> Vec<LookupPlan> {
    let plan = LookupPlan::default();
    let loads = [70.0, 90.0, 130.0, 200.0, 300.0];
    let by_load = loads.map(|asked_per_s| LookupPlan {
        asked_per_s,
        ..plan
    });
    let by_entries = [6, 105].map(|entries| LookupPlan { entries, ..plan });
    let quick = [300.0, 500.0, 1_000.0].map(|asked_per_s| LookupPlan {
        aim_ms: 100,
        asked_per_s,
        deadline_ms: 600,
        entries: 6,
        work_ms: 15,
        ..plan
    });
    [by_load.as_slice(), &by_entries, &quick].concat()
}
