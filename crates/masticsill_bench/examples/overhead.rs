//! What the system adds over calling an engine directly: first token, gap, processor time.

use std::time::Duration;

use masticsill_bench::{
    ProcessHoldings, StreamLoad, StreamReport, System, SystemSettings, Table, UsageMeter, ms,
    run_streams, us_per,
};
use serde_json::{Value, json};

const STEP_MS: u64 = 20;
const RAMP_MS: u64 = 1_000;
const STREAM_COUNTS: [u32; 3] = [1, 100, 1_000];
const TOKENS: u32 = 150;

fn main() -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build()?;
    let mut latency = Table::new(&[
        "streams",
        "way",
        "first p50 ms",
        "p95",
        "p99",
        "gap p50 ms",
        "p95",
        "p99",
        "broken",
    ]);
    let mut cost = Table::new(&[
        "streams",
        "tokens",
        "entry µs/token",
        "agent µs/token",
        "engine stand-in µs/token",
        "entry MiB",
        "agent MiB",
    ]);
    let mut holds = Table::new(&[
        "streams",
        "process",
        "threads",
        "children",
        "io_uring files",
    ]);
    for stream_count in STREAM_COUNTS {
        let system = System::start(SystemSettings {
            slots: stream_count,
            step_ms: STEP_MS,
            ..SystemSettings::default()
        });
        std::thread::sleep(Duration::from_millis(500));
        let engine = &system.engines[0];
        let direct = runtime.block_on(run_streams(&StreamLoad {
            address: engine.address(),
            body: direct_body(),
            ramp_ms: RAMP_MS,
            stream_count,
        }))?;
        latency.add(latency_row(stream_count, "direct", &direct));

        let deployment = &system.deployment;
        let entry = UsageMeter::start(deployment.node("entry-0").process.id());
        let agent = UsageMeter::start(deployment.node("agent-0").process.id());
        let stand_in = UsageMeter::start(engine.process.id());
        let through = runtime.block_on(run_streams(&StreamLoad {
            address: deployment.http("entry-0"),
            body: json!({"model": "draft", "prompt": "plan", "max_tokens": TOKENS, "seed": 7, "stream": true}),
            ramp_ms: RAMP_MS,
            stream_count,
        }))?;
        latency.add(latency_row(stream_count, "through", &through));
        let tokens = u64::from(stream_count) * u64::from(TOKENS);
        let (entry, agent) = (entry.read(), agent.read());
        for name in ["entry-0", "agent-0", "control-0"] {
            let held = ProcessHoldings::read(deployment.node(name).process.id());
            holds.add([
                stream_count.to_string(),
                name.to_owned(),
                held.thread_count.to_string(),
                held.child_count.to_string(),
                held.io_uring_count.to_string(),
            ]);
        }
        cost.add([
            stream_count.to_string(),
            tokens.to_string(),
            us_per(entry.processor_us, tokens),
            us_per(agent.processor_us, tokens),
            us_per(stand_in.read().processor_us, tokens),
            (entry.resident_kib / 1_024).to_string(),
            (agent.resident_kib / 1_024).to_string(),
        ]);
    }
    println!("{latency}\n{cost}\n{holds}");
    Ok(())
}

fn direct_body() -> Value {
    json!({
        "adapter": null, "max_tokens": TOKENS, "model": "draft", "priority": 10,
        "prompt": "plan", "request_id": "bench", "resume_token_ids": [], "seed": 7,
        "stream": true, "temperature": 1.0, "top_p": 1.0, "version": "v1",
    })
}

fn latency_row(stream_count: u32, way: &str, report: &StreamReport) -> Vec<String> {
    let (first, gap) = (&report.first_us, &report.gap_us);
    vec![
        stream_count.to_string(),
        way.to_owned(),
        ms(first, 0.5),
        ms(first, 0.95),
        ms(first, 0.99),
        ms(gap, 0.5),
        ms(gap, 0.95),
        ms(gap, 0.99),
        report.broken_count.to_string(),
    ]
}
