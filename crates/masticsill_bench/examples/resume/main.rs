//! How long answers stand still after a death, and what the deaths cost, by kind of death.
//!
//! `resume [DEATHS [LANES [ROW]]]`: deaths of each kind, spread over that many systems of a kind, all
//! at once; with a row, only that row of the table, counted from 0. Each system has one entry and four agents with an engine each; a round begins eight
//! streams, brings about one death below some of them and puts everything right again. Every
//! fourth round is the naive baseline: callers ask the engines and begin again from the start.

mod callers;
mod death;
mod lane;
mod tally;

use std::thread;

use crate::death::Death;
use crate::lane::run_lane;
use crate::tally::{Tally, print_tallies};

const DEFAULT_SILENCE_MS: u64 = 800;

fn main() -> eyre::Result<()> {
    let mut arguments = std::env::args().skip(1);
    let mut argument = |default: usize| -> eyre::Result<usize> {
        Ok(arguments
            .next()
            .map(|text| text.parse())
            .transpose()?
            .unwrap_or(default))
    };
    let (deaths, lanes, only) = (argument(200)?, argument(2)?, argument(usize::MAX)?);
    let mut plans: Vec<(Death, u64)> = Death::ALL.map(|death| (death, DEFAULT_SILENCE_MS)).to_vec();
    plans.extend([(Death::InstanceSilent, 300), (Death::InstanceSilent, 2_000)]);
    if only < plans.len() {
        plans = vec![plans[only]];
    }
    let mut running = Vec::new();
    for (plan, (death, silence_ms)) in plans.iter().copied().enumerate() {
        for lane in 0..lanes {
            let number = (plan * lanes + lane) as u64;
            // The ends of the setting get half as many: their rounds are the longest.
            let is_end = silence_ms != DEFAULT_SILENCE_MS;
            let lane_deaths = deaths / lanes / if is_end { 2 } else { 1 };
            let lane = move || run_lane(death, silence_ms, lane_deaths, number);
            running.push((plan, thread::spawn(lane)));
        }
    }
    let mut tallies = vec![(Tally::new(), Tally::new()); plans.len()];
    for (plan, lane) in running {
        match lane.join() {
            Ok(Ok((through, naive))) => {
                tallies[plan].0.merge(&through);
                tallies[plan].1.merge(&naive);
            }
            Ok(Err(error)) => println!("a lane of {} failed: {error}", plans[plan].0),
            Err(_) => println!("a lane of {} panicked", plans[plan].0),
        }
    }
    print_tallies(&plans, &tallies);
    Ok(())
}
