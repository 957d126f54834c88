//! Generated histories of the generation logic against a naive version.

mod common;
mod world;

use std::env;

use world::{Tally, World};

const DEFAULT_SEED: u64 = 20_261_202;
const HISTORIES: u64 = 10_000;

#[test]
fn every_connection_receives_the_beginning_of_one_answer() {
    let seed = env::var("MASTICSILL_SEED").ok();
    let seed = seed.map_or(DEFAULT_SEED, |text| text.parse().unwrap());
    println!("seed {seed}; set MASTICSILL_SEED for another");
    let mut sum = Tally::default();
    for history in 0..HISTORIES {
        println!("history {history}");
        let mut world = World::new(seed.wrapping_add(history));
        world.run();
        sum.attached += world.tally.attached;
        sum.fenced += world.tally.fenced;
        sum.late_events += world.tally.late_events;
        sum.resumed += world.tally.resumed;
        sum.whole += world.tally.whole;
    }
    println!("{HISTORIES} histories: {sum:?}");
    // Without these the histories would not reach the checks they are meant for.
    assert!(sum.whole > HISTORIES / 2, "{sum:?}");
    let reached = [sum.attached, sum.fenced, sum.late_events, sum.resumed];
    assert!(
        reached.iter().all(|count| *count > HISTORIES / 10),
        "{sum:?}"
    );
}
