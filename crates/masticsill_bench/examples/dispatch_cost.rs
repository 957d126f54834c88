//! Processor time of one decision, by engines and by requests that wait.
//!
//! `cargo run --release -p masticsill_bench --example dispatch_cost`

use std::time::Instant;

use masticsill_bench::Table;
use masticsill_dispatch::{
    DispatchContext, Dispatcher, EndpointTable, EntryPosition, Requirements, Terms, Work, ZoneShare,
};
use masticsill_registry::{Announcement, EndpointId, EndpointRecord, EndpointState};
use masticsill_types::{ClockMs, NodeId, Priority, ZoneId};

/// Decisions of each figure.
const DECISIONS: u32 = 20_000;
const ZONES: [&str; 3] = ["a", "b", "c"];
const NOW: ClockMs = ClockMs(100_000);

fn table(engines: usize, is_busy: bool) -> eyre::Result<EndpointTable> {
    let mut records = Vec::new();
    for engine in 0..engines {
        records.push(EndpointRecord {
            announcement: Announcement {
                address: ([10, 0, 0, u8::try_from(engine)?], 8_000).into(),
                cold_left_ms: 0,
                id: EndpointId::with_unknown_incarnation(format!("i-{engine:010x}")),
                keeps_prompts: true,
                sequence: 1,
                service: "engines".to_owned(),
                slots: 64,
                state: EndpointState::Ready,
                version: String::new(),
                zone: ZoneId::new(ZONES[engine % ZONES.len()])?,
            },
            is_silent: false,
        });
    }
    let mut table = EndpointTable::default();
    table.merge(&NodeId::new("c")?, &records);
    for record in records.iter().filter(|_| is_busy) {
        if let Some(endpoint) = table.get_mut(&record.announcement.id) {
            endpoint.reading_pace.note(8_000, 1_200);
            endpoint.begin_reading();
        }
    }
    Ok(table)
}

fn main() -> eyre::Result<()> {
    let node = NodeId::new("entry")?;
    let zone = ZoneId::new("a")?;
    let around = DispatchContext {
        closed: &[],
        entry: EntryPosition {
            are_engines_granted: false,
            entries: 32,
            node: &node,
            share: ZoneShare {
                entries: 11,
                rank: 3,
            },
            zone: &zone,
        },
    };
    let need = Requirements {
        excluded: Vec::new(),
        cached: Vec::new(),
        reserved_endpoint: None,
        service: "engines".to_owned(),
        work: Work::Stream {
            kv_cache_tokens: Some(88_000),
            prompt_tokens: 8_000,
            tokens: 8_650,
        },
    };
    let terms = Terms {
        target_latency_ms: 4_500,
        answer_due_at: NOW + 4_500,
        caller_leaves_at: NOW + 25_000,
        deadline_at: NOW + 25_000,
        is_returning: false,
        is_resume: false,
        priority: Priority::default(),
        workspace: Some("w".to_owned()),
    };
    let mut shown = Table::new(&["engines", "sent, µs", "refused, µs"]);
    for engines in [24, 110, 250] {
        let mut row = vec![engines.to_string()];
        for is_busy in [false, true] {
            let table = table(engines, is_busy)?;
            let mut dispatcher = Dispatcher::default();
            let began = Instant::now();
            for _ in 0..DECISIONS {
                std::hint::black_box(dispatcher.submit(
                    NOW,
                    &table,
                    &need,
                    &terms,
                    &around,
                    || 0.5,
                ));
            }
            let spent_us = began.elapsed().as_secs_f64() * 1e6 / f64::from(DECISIONS);
            row.push(format!("{spent_us:.1}"));
        }
        shown.add(row);
    }
    println!("{shown}");
    Ok(())
}
