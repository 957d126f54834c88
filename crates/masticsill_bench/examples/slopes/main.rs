//! What entry, agent and control cost by streams, tokens, requests, changes and nodes.
//!
//! `slopes streams|pairs|requests|changes|idle|search|rejoin`: each prints its table and the fits over it.

mod changes;
mod idle;
mod pairs;
mod points;
mod rejoin;
mod requests;
mod search;
mod streams;

use eyre::bail;

use crate::changes::{measure_changes, measure_in_force};
use crate::idle::measure_idle;
use crate::pairs::measure_pairs;
use crate::rejoin::measure_rejoin;
use crate::requests::measure_requests;
use crate::search::measure_search;
use crate::streams::measure_streams;

fn main() -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build()?;
    let mode = std::env::args().nth(1).unwrap_or_default();
    match mode.as_str() {
        "streams" => measure_streams(&runtime),
        "requests" => measure_requests(&runtime),
        "changes" => {
            measure_changes();
            measure_in_force();
            Ok(())
        }
        "idle" => {
            measure_idle();
            Ok(())
        }
        "pairs" => measure_pairs(&runtime),
        "search" => measure_search(),
        "rejoin" => {
            measure_rejoin();
            Ok(())
        }
        _ => bail!("usage: slopes streams|pairs|requests|changes|idle|search|rejoin"),
    }
}
