//! How soon lookups get their first token, alone and beside three times as many drafts as slots.

use std::time::Duration;

use masticsill_bench::{StreamLoad, StreamReport, System, SystemSettings, Table, ms, run_streams};
use masticsill_testkit::engine_entry;
use serde_json::json;

const ENGINES: usize = 2;
const SLOTS: u32 = 16;
const STEP_MS: u64 = 20;
const DRAFTS: u32 = 96;
const DRAFT_TOKENS: u32 = 500;
const DRAFT_RAMP_MS: u64 = 10_000;
const LOOKUPS: u32 = 300;
const LOOKUP_TOKENS: u32 = 5;
const LOOKUP_RAMP_MS: u64 = 15_000;
/// The drafts fill every slot before the first lookup comes.
const HEAD_START_MS: u64 = 5_000;

fn main() -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build()?;
    let mut system = System::start(SystemSettings {
        engine_count: ENGINES,
        slots: SLOTS,
        step_ms: STEP_MS,
        ..SystemSettings::default()
    });
    let entry = engine_entry("lookup", "instant_lookup", "draft", "v1");
    system.deployment.put(&entry, 0);
    system.deployment.await_models("entry-0", 2);
    std::thread::sleep(Duration::from_millis(500));
    let address = system.deployment.http("entry-0");
    let load = |model: &str, max_tokens: u32, ramp_ms, stream_count| StreamLoad {
        address,
        body: json!({
            "model": model, "prompt": model, "max_tokens": max_tokens, "seed": 7, "stream": true,
        }),
        ramp_ms,
        stream_count,
    };
    let lookups = load("lookup", LOOKUP_TOKENS, LOOKUP_RAMP_MS, LOOKUPS);
    let drafts = load("draft", DRAFT_TOKENS, DRAFT_RAMP_MS, DRAFTS);
    let alone = runtime.block_on(run_streams(&lookups))?;
    let (beside, drafted) = runtime.block_on(async {
        let later = async {
            tokio::time::sleep(Duration::from_millis(HEAD_START_MS)).await;
            run_streams(&lookups).await
        };
        tokio::try_join!(later, run_streams(&drafts))
    })?;
    let mut table = Table::new(&["streams", "first p50 ms", "p95", "p99", "broken"]);
    table.add(row("lookups alone", &alone));
    table.add(row("lookups beside drafts", &beside));
    table.add(row("drafts", &drafted));
    println!("{table}");
    Ok(())
}

fn row(name: &str, report: &StreamReport) -> Vec<String> {
    let first = &report.first_us;
    vec![
        name.to_owned(),
        ms(first, 0.5),
        ms(first, 0.95),
        ms(first, 0.99),
        report.broken_count.to_string(),
    ]
}
