//! Compares the generation logic with a naive model over randomly generated histories.
//!
//! The test guards against a caller receiving tokens of two different runs joined into one answer,
//! which can happen when attempts fail, owners change and messages are delayed, repeated or lost.

mod common;
mod simulation;

use std::env;

use simulation::{EventCounts, Simulation};

const DEFAULT_SEED: u64 = 20_261_202;
const HISTORIES: u64 = 10_000;

#[test]
fn every_connection_receives_a_prefix_of_one_answer() {
    let seed = env::var("MASTICSILL_SEED").ok();
    let seed = seed.map_or(DEFAULT_SEED, |text| text.parse().unwrap());
    println!("seed {seed}; set MASTICSILL_SEED for another");
    let mut sum = EventCounts::default();
    for history in 0..HISTORIES {
        println!("history {history}");
        let mut simulation = Simulation::new(seed.wrapping_add(history));
        simulation.run();
        sum.attached += simulation.counts.attached;
        sum.fenced += simulation.counts.fenced;
        sum.late_events += simulation.counts.late_events;
        sum.resumed += simulation.counts.resumed;
        sum.completed += simulation.counts.completed;
    }
    println!("{HISTORIES} histories: {sum:?}");
    // Without these minimum counts, the histories might not exercise the checks at all.
    assert!(sum.completed > HISTORIES / 2, "{sum:?}");
    let reached = [sum.attached, sum.fenced, sum.late_events, sum.resumed];
    assert!(
        reached.iter().all(|count| *count > HISTORIES / 10),
        "{sum:?}"
    );
}
