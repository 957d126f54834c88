//! Short requests, by their rate.

use std::time::Instant;

use masticsill_bench::{
    StreamLoad, System, SystemSettings, Table, UsageMeter, ms, number, run_streams,
    thread_processor_us,
};
use tokio::runtime::Runtime;

use crate::points::{Points, body, pause};

const REQUEST_RATES: [u32; 5] = [50, 100, 200, 400, 800];
const REQUEST_TOKENS: u32 = 2;
const REQUEST_SECONDS: u32 = 5;

pub(crate) fn measure_requests(runtime: &Runtime) -> eyre::Result<()> {
    let mut table = Table::new(&[
        "requests/s",
        "entry core %",
        "entry sessions thread %",
        "agent core %",
        "engine core %",
        "entry MiB",
        "agent MiB",
        "first p50 ms",
        "p99 ms",
        "broken",
    ]);
    let mut points = Points::default();
    for rate in REQUEST_RATES {
        let system = System::start(SystemSettings {
            slots: 512,
            step_ms: 5,
            ..SystemSettings::default()
        });
        pause(1_000);
        let load = StreamLoad {
            address: system.deployment.http("entry-0"),
            body: body(u64::from(REQUEST_TOKENS)),
            ramp_ms: u64::from(REQUEST_SECONDS) * 1_000,
            stream_count: rate * REQUEST_SECONDS,
        };
        let entry_id = system.deployment.node("entry-0").process.id();
        let agent_id = system.deployment.node("agent-0").process.id();
        let sessions = thread_processor_us(entry_id).get("sessions").copied();
        let meters = [entry_id, agent_id, system.engines[0].process.id()].map(UsageMeter::start);
        let started = Instant::now();
        let report = runtime.block_on(run_streams(&load))?;
        let elapsed_s = started.elapsed().as_secs_f64();
        let used = meters.map(|meter| meter.read());
        let sessions_after = thread_processor_us(entry_id).get("sessions").copied();
        let sessions_us = sessions_after.unwrap_or(0) - sessions.unwrap_or(0);
        let served = f64::from(load.stream_count) / elapsed_s;
        let core = |processor_us: u64| number(processor_us) / elapsed_s / 10_000.0;
        table.add([
            format!("{served:.0}"),
            format!("{:.1}", core(used[0].processor_us)),
            format!("{:.1}", core(sessions_us)),
            format!("{:.1}", core(used[1].processor_us)),
            format!("{:.1}", core(used[2].processor_us)),
            (used[0].resident_kib / 1_024).to_string(),
            (used[1].resident_kib / 1_024).to_string(),
            ms(&report.first_us, 0.5),
            ms(&report.first_us, 0.99),
            report.broken_count.to_string(),
        ]);
        points.add(
            vec![served],
            &[
                ("entry µs/s", core(used[0].processor_us) * 10_000.0),
                ("entry sessions thread µs/s", core(sessions_us) * 10_000.0),
                ("agent µs/s", core(used[1].processor_us) * 10_000.0),
            ],
        );
    }
    println!("{table}");
    points.print("requests/s (x1)");
    Ok(())
}
