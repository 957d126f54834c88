//! Pairs of entry and agent, each with a connection and pulls of its own.

use std::time::Instant;

use masticsill_bench::{
    StreamLoad, System, SystemSettings, Table, UsageMeter, ms, number, run_streams,
    thread_processor_us,
};
use serde_json::json;
use tokio::runtime::Runtime;

use crate::points::{Points, RAMP_MS, SETTLE_MS, WINDOW_MS, body, pause};

/// Agents and entries of one point; each pair of them has a connection and pulls of its own.
const PAIRS: [(usize, usize); 8] = [
    (1, 1),
    (8, 1),
    (32, 1),
    (96, 1),
    (192, 1),
    (1, 4),
    (1, 16),
    (1, 32),
];
const PAIR_STREAMS: u32 = 192;

/// The same streams over more and more pairs of entry and agent: the fewer streams a pair has, the
/// fewer tokens a pull carries.
pub(crate) fn measure_pairs(runtime: &Runtime) -> eyre::Result<()> {
    let mut table = Table::new(&[
        "agents",
        "entries",
        "streams a pair",
        "tokens/s",
        "all entries core %",
        "entries µs/token",
        "sessions threads µs/token",
        "all agents core %",
        "agents µs/token",
        "entry MiB max",
        "gap p99 ms",
    ]);
    let mut entry_points = Points::default();
    let mut agent_points = Points::default();
    for (agent_count, entry_count) in PAIRS {
        let point = measure_pair_point(runtime, agent_count, entry_count, &mut table)?;
        let pairs = number((agent_count * entry_count) as u64);
        let inputs = vec![pairs];
        if entry_count == 1 {
            entry_points.add(inputs.clone(), &[("entry µs/s", point.0)]);
        }
        if agent_count == 1 {
            agent_points.add(inputs, &[("agent µs/s", point.1)]);
        }
    }
    println!("{table}");
    entry_points.print("busy pairs of one entry (x1)");
    agent_points.print("busy pairs of one agent (x1)");
    Ok(())
}

/// Processor time of all entries and of all agents, in microseconds a second.
fn measure_pair_point(
    runtime: &Runtime,
    agent_count: usize,
    entry_count: usize,
    table: &mut Table,
) -> eyre::Result<(f64, f64)> {
    let mut system = System::start(SystemSettings {
        slots: PAIR_STREAMS * 2,
        ..SystemSettings::default()
    });
    let engine = system.engines[0].address();
    let deployment = &mut system.deployment;
    for index in 1..agent_count {
        deployment.start_engine_agent(&format!("agent-{index}"), "zone-0", engine, &json!({}));
    }
    for index in 1..entry_count {
        deployment.start_entry(&format!("entry-{index}"), "zone-0", &json!({}));
    }
    for index in 0..entry_count {
        deployment.await_models(&format!("entry-{index}"), 1);
    }
    pause(5_000);
    let mut running = Vec::new();
    for index in 0..entry_count {
        let load = StreamLoad {
            address: system.deployment.http(&format!("entry-{index}")),
            body: body((RAMP_MS + SETTLE_MS + WINDOW_MS + 1_500) / 20),
            ramp_ms: RAMP_MS,
            stream_count: PAIR_STREAMS / u32::try_from(entry_count)?,
        };
        running.push(runtime.spawn(async move { run_streams(&load).await }));
    }
    pause(RAMP_MS + SETTLE_MS);
    let id = |name: String| system.deployment.node(&name).process.id();
    let entries: Vec<u32> = (0..entry_count)
        .map(|index| id(format!("entry-{index}")))
        .collect();
    let agents: Vec<u32> = (0..agent_count)
        .map(|index| id(format!("agent-{index}")))
        .collect();
    let sessions_us = || -> u64 {
        let threads = entries.iter().map(|id| thread_processor_us(*id));
        threads
            .filter_map(|threads| threads.get("sessions").copied())
            .sum()
    };
    let meter =
        |ids: &[u32]| -> Vec<UsageMeter> { ids.iter().map(|id| UsageMeter::start(*id)).collect() };
    let (entry_meters, agent_meters) = (meter(&entries), meter(&agents));
    let (sessions, decoded) = (sessions_us(), system.engine_stats(0).decode_steps);
    let started = Instant::now();
    pause(WINDOW_MS);
    let sum = |meters: &[UsageMeter]| -> u64 {
        meters.iter().map(|meter| meter.read().processor_us).sum()
    };
    let (entry_us, agent_us) = (sum(&entry_meters), sum(&agent_meters));
    let sessions = sessions_us() - sessions;
    let elapsed_s = started.elapsed().as_secs_f64();
    let tokens = number(system.engine_stats(0).decode_steps - decoded);
    let mebibytes = entry_meters
        .iter()
        .map(|meter| meter.read().resident_kib / 1_024)
        .max();
    let mut gaps = hdrhistogram::Histogram::<u64>::new_with_max(60_000_000, 3)?;
    for report in running {
        gaps += &runtime.block_on(report)??.gap_us;
    }
    let a_pair = f64::from(PAIR_STREAMS) / number((agent_count * entry_count) as u64);
    table.add([
        agent_count.to_string(),
        entry_count.to_string(),
        format!("{a_pair:.1}"),
        format!("{:.0}", tokens / elapsed_s),
        format!("{:.1}", number(entry_us) / elapsed_s / 10_000.0),
        format!("{:.1}", number(entry_us) / tokens),
        format!("{:.1}", number(sessions) / tokens),
        format!("{:.1}", number(agent_us) / elapsed_s / 10_000.0),
        format!("{:.1}", number(agent_us) / tokens),
        mebibytes.unwrap_or(0).to_string(),
        ms(&gaps, 0.99),
    ]);
    Ok((number(entry_us) / elapsed_s, number(agent_us) / elapsed_s))
}
