//! Measures the CPU time of a node's steps and the memory of its view, for several member counts.

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::Instant;

use masticsill_membership::{
    Description, Input, Membership, Periods, Phase, Record, Request, RequestBody, Role,
};
use masticsill_types::{ClockMs, Incarnation, ZoneId};
use support::{address, node, profile};

const SIZES: [usize; 4] = [300, 600, 1_200, 2_150];
const TICKS: u64 = 20_000;
const TICKS_PER_SECOND: u128 = 10;

fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

fn record(index: usize, revision: u32) -> Record {
    Record {
        address: address(index),
        incarnation: Incarnation(1),
        is_suspected: false,
        node: node(&format!("agent-{index}")),
        phase: Phase::Serving,
        revision,
        role: Role::Agent(profile(false)),
        zone: ZoneId::new("muc-b").expect("the name is valid"),
    }
}

fn deliver_record(membership: &mut Membership, now: ClockMs, record: Record) {
    let request = Request {
        body: RequestBody::Probe,
        from: node("agent-1"),
        rumors: vec![record],
    };
    membership.answer(now, request);
}

fn main() {
    println!("members    KiB  us a tick  % of a core  us a change");
    for size in SIZES {
        let description = Description {
            address: address(0),
            incarnation: Incarnation(1),
            node: node("entry-0"),
            role: Role::Entry,
            zone: ZoneId::new("muc-a").expect("the name is valid"),
        };
        let mut now = ClockMs(0);
        let mut membership = Membership::new(now, description, Vec::new(), Periods::default(), 1);
        for index in 1..size {
            deliver_record(&mut membership, now, record(index, 0));
        }
        let resident_kib = resident_kib();
        let begun = Instant::now();
        for _ in 0..TICKS {
            now = now + 100;
            // Unanswered calls are never reported as failed, so that no member is suspected.
            membership.step(now, Input::Tick);
        }
        let tick_ns = begun.elapsed().as_nanos() / u128::from(TICKS);
        let begun = Instant::now();
        for index in 1..size {
            deliver_record(&mut membership, now, record(index, 1));
        }
        let change_us = begun.elapsed().as_micros() / size as u128;
        let core_permille = tick_ns * TICKS_PER_SECOND / 1_000_000;
        println!(
            "{size:7}  {resident_kib:5}  {:9}  {:9}.{}  {change_us:11}",
            tick_ns / 1_000,
            core_permille / 10,
            core_permille % 10
        );
    }
}
