//! How often innocent requests are blamed for the ends of engines, by what befalls the engines.
//!
//! `cargo run --release -p masticsill_bench --example blame -- [--seeds N]`

use masticsill_bench::blame::{BlamePlan, BlameTally, play};
use masticsill_bench::{Table, read_seeds};

fn main() -> eyre::Result<()> {
    let seeds = read_seeds(10)?;
    let columns = [
        "load",
        "asked",
        "blamed",
        "crashing",
        "caught",
        "most crashes",
        "most late",
    ];
    let mut table = Table::new(&columns);
    for (name, plan) in plans() {
        let mut sum = BlameTally::default();
        for seed in 0..seeds {
            sum += play(&BlamePlan { seed, ..plan });
        }
        let counts = [
            sum.asked,
            sum.blamed,
            sum.crashing,
            sum.caught,
            sum.most_crashes,
            sum.most_late,
        ];
        let counts = counts.iter().map(usize::to_string);
        table.add(std::iter::once(name.to_owned()).chain(counts));
    }
    println!("{table}");
    Ok(())
}

fn plans() -> [(&'static str, BlamePlan); 5] {
    let plan = BlamePlan::default();
    let calm = BlamePlan {
        restarts_every_ms: 0,
        single_falls_every_ms: 0,
        zone_falls_every_ms: 0,
        ..plan
    };
    let popular = BlamePlan {
        crashing_per_s: 0.0,
        popular_share: 0.9,
        ..plan
    };
    let popular_falls = BlamePlan {
        single_falls_every_ms: 700,
        zone_falls_every_ms: 2_500,
        ..popular
    };
    let small = BlamePlan {
        asked_per_s: 12.0,
        crashing_per_s: 2.0,
        engines_per_zone: 2,
        ..plan
    };
    [
        ("crashing requests only", calm),
        ("falls, restarts and crashing requests", plan),
        ("much asked, falls and restarts", popular),
        ("much asked, more falls", popular_falls),
        ("six engines, crashing requests", small),
    ]
}
