//! How long an entry looks for the holder of a generation, by the number of agents.

use std::time::Instant;

use masticsill_bench::{System, SystemSettings, Table, UsageMeter, ms, number};
use masticsill_testkit::CallerRequest;
use serde_json::json;

use crate::points::{Points, body, pause};

const SEARCH_AGENTS: [usize; 4] = [5, 20, 60, 120];
const SEARCHES: u32 = 20;

/// A caller comes back through an entry that has no record of its answer and asks everybody.
pub(crate) fn measure_search() -> eyre::Result<()> {
    let mut table = Table::new(&[
        "agents",
        "searches",
        "answer goes on p50 ms",
        "max ms",
        "entry µs a search",
        "all agents µs a search",
    ]);
    let mut points = Points::default();
    for agent_count in SEARCH_AGENTS {
        let mut system = System::start(SystemSettings {
            slots: 256,
            ..SystemSettings::default()
        });
        let engine = system.engines[0].address();
        let deployment = &mut system.deployment;
        for index in 1..agent_count {
            deployment.start_engine_agent(&format!("agent-{index}"), "zone-0", engine, &json!({}));
        }
        deployment.start_entry("entry-1", "zone-0", &json!({}));
        deployment.await_models("entry-1", 1);
        pause(8_000);
        let mut cut = Vec::new();
        for serial in 0..SEARCHES {
            let key = format!("search-{serial}");
            let request =
                CallerRequest::post(deployment.http("entry-0"), "/v1/completions", &body(1_500));
            let request = request.idempotency_key(&key);
            let mut stream = deployment.caller().open(request, 5_000)?;
            let event = stream.next_event(5_000)?;
            let last_id = event.and_then(|event| event.id).unwrap_or_default();
            cut.push((key, last_id, stream));
        }
        deployment.node_mut("entry-0").process.kill();
        let ids =
            (0..agent_count).map(|index| deployment.node(&format!("agent-{index}")).process.id());
        let agents: Vec<UsageMeter> = ids.map(UsageMeter::start).collect();
        let entry = UsageMeter::start(deployment.node("entry-1").process.id());
        let mut times = hdrhistogram::Histogram::<u64>::new_with_max(60_000_000, 3)?;
        for (key, last_id, _) in &cut {
            let request =
                CallerRequest::post(deployment.http("entry-1"), "/v1/completions", &body(1_500));
            let request = request.idempotency_key(key).last_event_id(last_id);
            let started = Instant::now();
            let mut stream = deployment.caller().open(request, 10_000)?;
            let event = stream.next_event(10_000)?;
            let is_on = event.is_some_and(|event| !event.data.contains("\"error\""));
            if !is_on {
                println!("{agent_count} agents: a search found no record");
            }
            times.saturating_record(u64::try_from(started.elapsed().as_micros())?);
        }
        let searches = f64::from(SEARCHES);
        let entry_us = number(entry.read().processor_us) / searches;
        let agents_us = agents
            .iter()
            .map(|meter| meter.read().processor_us)
            .sum::<u64>();
        let agents_us = number(agents_us) / searches;
        table.add([
            agent_count.to_string(),
            SEARCHES.to_string(),
            ms(&times, 0.5),
            ms(&times, 1.0),
            format!("{entry_us:.0}"),
            format!("{agents_us:.0}"),
        ]);
        let p50_ms = number(times.value_at_quantile(0.5)) / 1_000.0;
        points.add(
            vec![number(agent_count as u64)],
            &[
                ("answer goes on p50 ms", p50_ms),
                ("entry µs a search", entry_us),
                ("all agents µs a search", agents_us),
            ],
        );
    }
    println!("{table}");
    points.print("agents (x1)");
    Ok(())
}
