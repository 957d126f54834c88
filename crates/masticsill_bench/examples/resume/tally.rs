//! What the rounds of one kind of death saw, and its table.

use std::time::Duration;

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use masticsill_bench::{Table, ms, number};

use crate::death::Death;

/// Longest stall that the histograms tell apart, in microseconds.
pub(crate) const LARGEST_US: u64 = 60_000_000;

/// What the rounds of one kind and way saw.
#[derive(Clone, Debug)]
pub(crate) struct Tally {
    pub(crate) answers: u64,
    pub(crate) broken: u64,
    pub(crate) deaths: u64,
    pub(crate) decoded: u64,
    /// Decode steps of a round without a death.
    pub(crate) free_decoded: u64,
    /// Tokens prefilled in a round without a death.
    pub(crate) free_prefilled: u64,
    pub(crate) gap_us: Histogram<u64>,
    pub(crate) hit: u64,
    pub(crate) moved: u64,
    pub(crate) prefilled: u64,
    pub(crate) problems: IndexMap<String, u64>,
    pub(crate) resume_us: Histogram<u64>,
    pub(crate) wrong: u64,
}

impl Tally {
    pub(crate) fn new() -> Self {
        let histogram = || Histogram::new_with_max(LARGEST_US, 3).expect("the bounds are valid");
        Self {
            answers: 0,
            broken: 0,
            deaths: 0,
            decoded: 0,
            free_decoded: 0,
            free_prefilled: 0,
            gap_us: histogram(),
            hit: 0,
            moved: 0,
            prefilled: 0,
            problems: IndexMap::new(),
            resume_us: histogram(),
            wrong: 0,
        }
    }

    pub(crate) fn merge(&mut self, other: &Self) {
        self.answers += other.answers;
        self.broken += other.broken;
        self.deaths += other.deaths;
        self.decoded += other.decoded;
        self.free_decoded = other.free_decoded;
        self.free_prefilled = other.free_prefilled;
        self.gap_us += &other.gap_us;
        self.hit += other.hit;
        self.moved += other.moved;
        self.prefilled += other.prefilled;
        self.resume_us += &other.resume_us;
        self.wrong += other.wrong;
        for (problem, count) in &other.problems {
            *self.problems.entry(problem.clone()).or_default() += count;
        }
    }
}

pub(crate) fn print_tallies(plans: &[(Death, u64)], tallies: &[(Tally, Tally)]) {
    let mut table = Table::new(&[
        "death",
        "silence_ms",
        "way",
        "deaths",
        "streams hit",
        "moved",
        "resume p50 ms",
        "p95",
        "p99",
        "max",
        "gap p50 ms",
        "p99",
        "extra decode %",
        "extra prefill %",
        "answers",
        "broken",
        "wrong",
    ]);
    for ((death, silence_ms), (through, naive)) in plans.iter().zip(tallies) {
        for (way, tally) in [("through", through), ("naive", naive)] {
            if tally.deaths == 0 {
                continue;
            }
            let rounds = tally.deaths;
            table.add([
                death.to_string(),
                silence_ms.to_string(),
                way.to_owned(),
                rounds.to_string(),
                tally.hit.to_string(),
                tally.moved.to_string(),
                ms(&tally.resume_us, 0.5),
                ms(&tally.resume_us, 0.95),
                ms(&tally.resume_us, 0.99),
                ms(&tally.resume_us, 1.0),
                ms(&tally.gap_us, 0.5),
                ms(&tally.gap_us, 0.99),
                extra(tally.decoded, rounds * tally.free_decoded),
                extra(tally.prefilled, rounds * tally.free_prefilled),
                tally.answers.to_string(),
                tally.broken.to_string(),
                tally.wrong.to_string(),
            ]);
        }
        for (problem, count) in &through.problems {
            println!("{death}, silence {silence_ms} ms: {count} x {problem}");
        }
    }
    println!("{table}");
}

pub(crate) fn extra(used: u64, needed: u64) -> String {
    format!("{:.2}", (number(used) / number(needed) - 1.0) * 100.0)
}

pub(crate) fn record(histogram: &mut Histogram<u64>, duration: Duration) {
    histogram.saturating_record(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX));
}
