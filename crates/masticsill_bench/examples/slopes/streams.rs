//! Streams at once, by their number and pace.

use std::time::Instant;

use indexmap::IndexMap;
use masticsill_bench::{
    StreamLoad, System, SystemSettings, Table, UsageMeter, ms, number, run_streams,
    thread_processor_us,
};
use tokio::runtime::Runtime;

use crate::points::{Points, RAMP_MS, SETTLE_MS, WINDOW_MS, body, pause};

const STREAM_COUNTS: [u32; 4] = [50, 200, 500, 1_000];
const STEPS_MS: [u64; 2] = [20, 10];

pub(crate) fn measure_streams(runtime: &Runtime) -> eyre::Result<()> {
    let mut table = Table::new(&[
        "step ms",
        "streams",
        "tokens/s",
        "entry core %",
        "entry sessions thread %",
        "agent core %",
        "agent endpoint thread %",
        "engine core %",
        "entry MiB",
        "agent MiB",
        "gap p50 ms",
        "p99 ms",
    ]);
    let mut points = Points::default();
    for step_ms in STEPS_MS {
        for stream_count in STREAM_COUNTS {
            measure_stream_point(runtime, step_ms, stream_count, &mut table, &mut points)?;
        }
    }
    println!("{table}");
    points.print("tokens/s (x1) and streams (x2)");
    Ok(())
}

fn measure_stream_point(
    runtime: &Runtime,
    step_ms: u64,
    stream_count: u32,
    table: &mut Table,
    points: &mut Points,
) -> eyre::Result<()> {
    let system = System::start(SystemSettings {
        slots: stream_count * 5 / 4 + 8,
        step_ms,
        ..SystemSettings::default()
    });
    pause(1_000);
    let load = StreamLoad {
        address: system.deployment.http("entry-0"),
        body: body((RAMP_MS + SETTLE_MS + WINDOW_MS + 1_500) / step_ms),
        ramp_ms: RAMP_MS,
        stream_count,
    };
    let running = runtime.spawn(async move { run_streams(&load).await });
    pause(RAMP_MS + SETTLE_MS);
    let entry_id = system.deployment.node("entry-0").process.id();
    let agent_id = system.deployment.node("agent-0").process.id();
    let decoded = system.engine_stats(0).decode_steps;
    let threads = [thread_processor_us(entry_id), thread_processor_us(agent_id)];
    let meters = [entry_id, agent_id, system.engines[0].process.id()].map(UsageMeter::start);
    let started = Instant::now();
    pause(WINDOW_MS);
    let used = meters.map(|meter| meter.read());
    let threads_after = [thread_processor_us(entry_id), thread_processor_us(agent_id)];
    let elapsed_s = started.elapsed().as_secs_f64();
    let decoded = system.engine_stats(0).decode_steps - decoded;
    let report = runtime.block_on(running)??;
    let tokens = number(decoded) / elapsed_s;
    let core = |processor_us: u64| number(processor_us) / elapsed_s / 10_000.0;
    let thread = |index: usize, name: &str| {
        let at = |threads: &IndexMap<String, u64>| threads.get(name).copied().unwrap_or(0);
        core(at(&threads_after[index]).saturating_sub(at(&threads[index])))
    };
    let cores = used.map(|usage| core(usage.processor_us));
    let mebibytes = used.map(|usage| number(usage.resident_kib) / 1_024.0);
    table.add([
        step_ms.to_string(),
        stream_count.to_string(),
        format!("{tokens:.0}"),
        format!("{:.1}", cores[0]),
        format!("{:.1}", thread(0, "sessions")),
        format!("{:.1}", cores[1]),
        format!("{:.1}", thread(1, "endpoint")),
        format!("{:.1}", cores[2]),
        format!("{:.1}", mebibytes[0]),
        format!("{:.1}", mebibytes[1]),
        ms(&report.gap_us, 0.5),
        ms(&report.gap_us, 0.99),
    ]);
    points.add(
        vec![tokens, f64::from(stream_count)],
        &[
            ("entry µs/s", cores[0] * 10_000.0),
            (
                "entry sessions thread µs/s",
                thread(0, "sessions") * 10_000.0,
            ),
            ("agent µs/s", cores[1] * 10_000.0),
            (
                "agent endpoint thread µs/s",
                thread(1, "endpoint") * 10_000.0,
            ),
            ("entry KiB", mebibytes[0] * 1_024.0),
            ("agent KiB", mebibytes[1] * 1_024.0),
        ],
    );
    println!(
        "step {step_ms} streams {stream_count}: entry threads {:?} agent threads {:?} broken {}",
        threads_after[0], threads_after[1], report.broken_count
    );
    Ok(())
}
