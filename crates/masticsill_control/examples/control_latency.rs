//! Measures the control quorum within one process: `control_latency REPLICAS CHANGES LEADER_LOSSES`.
//!
//! Prints how long a change takes to be accepted, one after another and 64 at a time, and how long
//! after the loss of the leader the next change is accepted.

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::Instant;

use common::{CALL_TIMEOUT_MS, Cluster, block_on, put};
use futures::StreamExt;
use hdrhistogram::Histogram;

const CONCURRENT: usize = 64;

fn main() {
    let arguments = std::env::args().skip(1);
    let numbers: Vec<usize> = arguments.filter_map(|it| it.parse().ok()).collect();
    let [replicas, changes, losses] = numbers[..] else {
        eprintln!("usage: control_latency REPLICAS CHANGES LEADER_LOSSES");
        return;
    };
    let mut cluster = Cluster::start(replicas);
    measure_changes(&cluster, changes);
    measure_losses(&mut cluster, losses);
}

fn show(name: &str, histogram: &Histogram<u64>) {
    println!(
        "{name}: n {} p50 {:.2} ms p99 {:.2} ms max {:.2} ms",
        histogram.len(),
        milliseconds(histogram.value_at_quantile(0.5)),
        milliseconds(histogram.value_at_quantile(0.99)),
        milliseconds(histogram.max()),
    );
}

#[allow(clippy::cast_precision_loss, reason = "only shown")]
fn milliseconds(microseconds: u64) -> f64 {
    microseconds as f64 / 1_000.0
}

fn microseconds_since(start: Instant) -> u64 {
    u64::try_from(start.elapsed().as_micros()).unwrap()
}

fn measure_changes(cluster: &Cluster, changes: usize) {
    block_on(async {
        let client = cluster.client();
        let mut one_by_one = Histogram::<u64>::new(3).unwrap();
        for number in 0..changes {
            let change = put(&format!("s{number}"), &format!("s{number}"), 0);
            let start = Instant::now();
            client.change(&change, CALL_TIMEOUT_MS).await.unwrap();
            one_by_one.record(microseconds_since(start)).unwrap();
        }
        show("accepted, one by one", &one_by_one);
        let mut together = Histogram::<u64>::new(3).unwrap();
        let begun = Instant::now();
        let sent = futures::stream::iter(0..changes).map(|number| {
            let client = client.clone();
            async move {
                let change = put(&format!("c{number}"), &format!("c{number}"), 0);
                let start = Instant::now();
                client.change(&change, CALL_TIMEOUT_MS).await.unwrap();
                microseconds_since(start)
            }
        });
        let mut sent = sent.buffer_unordered(CONCURRENT);
        while let Some(duration) = sent.next().await {
            together.record(duration).unwrap();
        }
        show("accepted, 64 at a time", &together);
        let total_s = milliseconds(microseconds_since(begun)) / 1_000.0;
        println!(
            "accepted per second, 64 at a time: {:.0}",
            milliseconds(changes as u64 * 1_000) / total_s
        );
    });
}

fn measure_losses(cluster: &mut Cluster, losses: usize) {
    let mut waits = Histogram::<u64>::new(3).unwrap();
    for number in 0..losses {
        let leader = cluster.leader();
        let client = cluster.client();
        let name = leader
            .as_str()
            .trim_start_matches("control-")
            .parse()
            .unwrap();
        // Measured from before the loss, so that the reported time is never too short.
        let start = Instant::now();
        cluster.abort(&leader);
        let change = put(&format!("l{number}"), &format!("l{number}"), 0);
        block_on(async { client.change(&change, CALL_TIMEOUT_MS).await.unwrap() });
        waits.record(microseconds_since(start)).unwrap();
        cluster.run(name);
    }
    show("leader lost, next change accepted", &waits);
}
