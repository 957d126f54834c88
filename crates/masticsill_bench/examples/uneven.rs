//! When silent runs are left at engines of uneven speed.
//!
//! `cargo run --release -p masticsill_bench --example uneven -- [--seeds N]`

use masticsill_bench::uneven::{Method, UnevenPlan, UnevenTally, play};
use masticsill_bench::{Table, read_seeds};

fn main() -> eyre::Result<()> {
    let seeds = read_seeds(10)?;
    let columns = [
        "load",
        "method",
        "streams",
        "late",
        "over 2 s",
        "left alive",
        "runs left alive",
        "late or left",
        "tokens again (k)",
        "dead p50 ms",
        "p95",
        "zone p50 ms",
        "p95",
    ];
    let mut table = Table::new(&columns);
    for (name, plan) in plans() {
        for method in Method::ALL {
            let mut sum = UnevenTally::default();
            for seed in 0..seeds {
                sum += play(&plan, method, seed);
            }
            table.add(row(name, method, sum));
        }
    }
    println!("{table}");
    Ok(())
}

fn plans() -> Vec<(&'static str, UnevenPlan)> {
    let plan = UnevenPlan::default();
    vec![
        ("uneven", plan),
        (
            "uneven, 8/s",
            UnevenPlan {
                asked_per_s: 8.0,
                ..plan
            },
        ),
        (
            "few copies",
            UnevenPlan {
                copied_share: 0.2,
                ..plan
            },
        ),
        (
            "4 of 24 uneven",
            UnevenPlan {
                steady_engines: 20,
                ..plan
            },
        ),
        (
            "even, steady",
            UnevenPlan {
                slow_share: 0.001,
                speeds: (0.99, 1.01),
                ..plan
            },
        ),
    ]
}

fn row(name: &str, method: Method, mut sum: UnevenTally) -> Vec<String> {
    let dead = &mut sum.detected_ms;
    let (dead_p50, dead_p95) = (percentile(dead, 50), percentile(dead, 95));
    let zone = &mut sum.detected_zone_ms;
    let (zone_p50, zone_p95) = (percentile(zone, 50), percentile(zone, 95));
    // The count is far below the range of the type.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let read_again = (sum.tokens_read_again / 1_000.0) as u64;
    vec![
        name.to_owned(),
        method.name().to_owned(),
        sum.streams.to_string(),
        sum.late.to_string(),
        sum.paused_2_s.to_string(),
        sum.left_alive.to_string(),
        sum.runs_left_alive.to_string(),
        sum.late_or_left.to_string(),
        read_again.to_string(),
        dead_p50,
        dead_p95,
        zone_p50,
        zone_p95,
    ]
}

fn percentile(values: &mut [u64], percent: usize) -> String {
    values.sort_unstable();
    let place = values.len() * percent / 100;
    values
        .get(place)
        .map_or("-".to_owned(), ToString::to_string)
}
