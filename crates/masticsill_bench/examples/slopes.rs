//! What entry, agent and control cost by streams, tokens, requests, changes and nodes.
//!
//! `slopes streams|pairs|requests|changes|idle|search|rejoin`: each prints its table and the fits over it.

use std::time::{Duration, Instant};

use eyre::bail;
use indexmap::IndexMap;
use masticsill_bench::{
    Fit, NetworkCounters, StreamLoad, System, SystemSettings, Table, UsageMeter, ms, number,
    open_connection_bytes, run_streams, thread_processor_us,
};
use masticsill_testkit::{CallerRequest, engine_entry, wait_until};
use serde_json::{Value, json};
use tokio::runtime::Runtime;

const RAMP_MS: u64 = 1_000;
const SETTLE_MS: u64 = 1_500;
const WINDOW_MS: u64 = 4_000;
const STREAM_COUNTS: [u32; 4] = [50, 200, 500, 1_000];
const STEPS_MS: [u64; 2] = [20, 10];
const REQUEST_RATES: [u32; 5] = [50, 100, 200, 400, 800];
const REQUEST_TOKENS: u32 = 2;
const REQUEST_SECONDS: u32 = 5;
const CHANGE_RATES: [u64; 4] = [5, 10, 20, 40];
const CHANGE_SECONDS: u64 = 6;
const ENTRY_COUNTS: [usize; 4] = [1, 4, 8, 16];
const CHANGES_IN_FORCE: u32 = 60;
const NODE_COUNTS: [usize; 4] = [5, 20, 60, 120];
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
/// Longest wait for a restarted agent.
const REJOIN_BOUND_MS: u64 = 40_000;
const SEARCH_AGENTS: [usize; 4] = [5, 20, 60, 120];
const SEARCHES: u32 = 20;
const IDLE_SETTLE_MS: u64 = 12_000;
const IDLE_WINDOW_MS: u64 = 20_000;

fn main() -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build()?;
    let mode = std::env::args().nth(1).unwrap_or_default();
    match mode.as_str() {
        "streams" => measure_streams(&runtime),
        "requests" => measure_requests(&runtime),
        "changes" => {
            measure_changes();
            measure_in_force();
            Ok(())
        }
        "idle" => {
            measure_idle();
            Ok(())
        }
        "pairs" => measure_pairs(&runtime),
        "search" => measure_search(),
        "rejoin" => {
            measure_rejoin();
            Ok(())
        }
        _ => bail!("usage: slopes streams|pairs|requests|changes|idle|search|rejoin"),
    }
}

fn body(max_tokens: u64) -> Value {
    json!({"model": "draft", "prompt": "plan", "max_tokens": max_tokens, "seed": 7, "stream": true})
}

fn pause(duration_ms: u64) {
    std::thread::sleep(Duration::from_millis(duration_ms));
}

fn print_fit(what: &str, inputs: &[Vec<f64>], values: &[f64]) {
    match Fit::new(inputs, values) {
        Some(fit) => println!("fit: {what} = {fit}"),
        None => println!("fit: {what}: the points do not decide it"),
    }
}

/// Points of one table: the inputs of the fit and one column of values for each quantity.
#[derive(Default)]
struct Points {
    inputs: Vec<Vec<f64>>,
    values: IndexMap<&'static str, Vec<f64>>,
}

impl Points {
    fn add(&mut self, inputs: Vec<f64>, values: &[(&'static str, f64)]) {
        self.inputs.push(inputs);
        for (name, value) in values {
            self.values.entry(name).or_default().push(*value);
        }
    }

    fn print(&self, inputs: &str) {
        for (name, values) in &self.values {
            print_fit(&format!("{name} over {inputs}"), &self.inputs, values);
        }
    }
}

fn measure_streams(runtime: &Runtime) -> eyre::Result<()> {
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

fn measure_requests(runtime: &Runtime) -> eyre::Result<()> {
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

fn control_system(settings: SystemSettings) -> System {
    System::start(SystemSettings {
        control_count: 3,
        ..settings
    })
}

fn measure_changes() {
    let mut system = control_system(SystemSettings::default());
    pause(1_000);
    let mut table = Table::new(&[
        "changes/s",
        "busiest replica core %",
        "mean replica core %",
        "entry core %",
        "agent core %",
        "busiest replica MiB",
    ]);
    let mut points = Points::default();
    let mut serial = 0;
    for rate in CHANGE_RATES {
        let names = ["control-0", "control-1", "control-2", "entry-0", "agent-0"];
        let meters = names.map(|name| UsageMeter::start(system.deployment.node(name).process.id()));
        let started = Instant::now();
        for count in 0..rate * CHANGE_SECONDS {
            let due = Duration::from_micros(count * 1_000_000 / rate);
            std::thread::sleep(due.saturating_sub(started.elapsed()));
            serial += 1;
            let entry = engine_entry(&format!("change-{serial}"), "patient_draft", "draft", "v1");
            system.deployment.put(&entry, 0);
        }
        let elapsed_s = started.elapsed().as_secs_f64();
        let used = meters.map(|meter| meter.read());
        let cores = used.map(|usage| number(usage.processor_us) / elapsed_s / 10_000.0);
        let busiest = cores[..3].iter().copied().fold(0.0, f64::max);
        let mean = cores[..3].iter().sum::<f64>() / 3.0;
        let achieved = number(rate * CHANGE_SECONDS) / elapsed_s;
        let resident_kib = used[..3].iter().map(|usage| usage.resident_kib).max();
        table.add([
            format!("{achieved:.1}"),
            format!("{busiest:.1}"),
            format!("{mean:.1}"),
            format!("{:.1}", cores[3]),
            format!("{:.1}", cores[4]),
            (resident_kib.unwrap_or(0) / 1_024).to_string(),
        ]);
        points.add(
            vec![achieved],
            &[
                ("busiest replica µs/s", busiest * 10_000.0),
                ("mean replica µs/s", mean * 10_000.0),
                ("entry µs/s", cores[3] * 10_000.0),
                ("agent µs/s", cores[4] * 10_000.0),
            ],
        );
    }
    println!("{table}");
    points.print("changes/s (x1)");
}

fn measure_in_force() {
    let mut table = Table::new(&[
        "entries",
        "changes",
        "last entry p50 ms",
        "p99 ms",
        "max ms",
    ]);
    for entry_count in ENTRY_COUNTS {
        let mut system = control_system(SystemSettings::default());
        for index in 1..entry_count {
            let zone = format!("zone-{}", index % 3);
            let deployment = &mut system.deployment;
            deployment.start_entry(&format!("entry-{index}"), &zone, &json!({}));
        }
        for index in 0..entry_count {
            system.deployment.await_models(&format!("entry-{index}"), 1);
        }
        let mut times = hdrhistogram::Histogram::<u64>::new_with_max(60_000_000, 3)
            .expect("the bounds are valid");
        for serial in 0..CHANGES_IN_FORCE {
            let id = format!("in-force-{serial}");
            let entry = engine_entry(&id, "patient_draft", "draft", "v1");
            system.deployment.put(&entry, 0);
            let accepted = Instant::now();
            let mut waiting: Vec<usize> = (0..entry_count).collect();
            while !waiting.is_empty() {
                waiting.retain(|index| !lists(&system, &format!("entry-{index}"), &id));
            }
            let elapsed_us = u64::try_from(accepted.elapsed().as_micros()).unwrap_or(u64::MAX);
            times.saturating_record(elapsed_us);
        }
        table.add([
            entry_count.to_string(),
            CHANGES_IN_FORCE.to_string(),
            ms(&times, 0.5),
            ms(&times, 0.99),
            ms(&times, 1.0),
        ]);
    }
    println!("accepted until listed by every entry:\n{table}");
}

fn lists(system: &System, entry: &str, id: &str) -> bool {
    let request = CallerRequest::get(system.deployment.http(entry), "/v1/models");
    let Ok(answer) = system.deployment.caller().call(request, 5_000) else {
        return false;
    };
    let answer = answer.json();
    let models = answer["data"].as_array();
    models.is_some_and(|models| models.iter().any(|model| model["id"] == id))
}

fn measure_idle() {
    let mut table = Table::new(&[
        "agents",
        "agent core % mean",
        "max",
        "agent B/s mean",
        "max",
        "agent MiB max",
        "control core % mean",
        "max",
        "control B/s mean",
        "max",
        "control MiB max",
        "entry core %",
        "entry B/s",
        "entry MiB",
        "loopback B/s, whole machine",
        "connections opened/s, whole machine",
        "engine polls payload B/s",
    ]);
    let mut points = Points::default();
    for node_count in NODE_COUNTS {
        measure_idle_point(node_count, &mut table, &mut points);
        println!("{table}");
    }
    points.print("agents (x1)");
}

fn measure_idle_point(node_count: usize, table: &mut Table, points: &mut Points) {
    let mut system = control_system(SystemSettings::default());
    let engine = system.engines[0].address();
    for index in 1..node_count {
        let (name, zone) = (format!("agent-{index}"), format!("zone-{}", index % 3));
        let deployment = &mut system.deployment;
        deployment.start_engine_agent(&name, &zone, engine, &json!({}));
    }
    pause(IDLE_SETTLE_MS);
    let agents: Vec<u32> = (0..node_count)
        .map(|index| {
            system
                .deployment
                .node(&format!("agent-{index}"))
                .process
                .id()
        })
        .collect();
    let controls: Vec<u32> = (0..3)
        .map(|index| {
            system
                .deployment
                .node(&format!("control-{index}"))
                .process
                .id()
        })
        .collect();
    let entries = vec![system.deployment.node("entry-0").process.id()];
    let groups = [agents, controls, entries];
    let meters: Vec<Vec<UsageMeter>> = groups
        .iter()
        .map(|group| group.iter().map(|id| UsageMeter::start(*id)).collect())
        .collect();
    let network = NetworkCounters::read();
    let before = open_connection_bytes(engine.port());
    let engine_bytes = || {
        transferred(
            system.engines[0].process.id(),
            &IndexMap::new(),
            &open_connection_bytes(0),
        )
    };
    let engine_before = engine_bytes();
    let started = Instant::now();
    pause(IDLE_WINDOW_MS);
    let after = open_connection_bytes(engine.port());
    let engine_after = engine_bytes();
    let network_after = NetworkCounters::read();
    let elapsed_s = started.elapsed().as_secs_f64();
    let mut row = vec![node_count.to_string()];
    let mut values = Vec::new();
    for (group, meters) in groups.iter().zip(&meters) {
        let used: Vec<_> = meters.iter().map(UsageMeter::read).collect();
        let cores: Vec<f64> = used
            .iter()
            .map(|usage| number(usage.processor_us) / elapsed_s / 10_000.0)
            .collect();
        let bytes: Vec<f64> = group
            .iter()
            .map(|id| number(transferred(*id, &before, &after)) / elapsed_s)
            .collect();
        let kib = used
            .iter()
            .map(|usage| usage.resident_kib)
            .max()
            .unwrap_or(0);
        row.push(format!("{:.2}", mean(&cores)));
        if group.len() > 1 {
            row.push(format!("{:.2}", largest(&cores)));
        }
        row.push(format!("{:.0}", mean(&bytes)));
        if group.len() > 1 {
            row.push(format!("{:.0}", largest(&bytes)));
        }
        row.push((kib / 1_024).to_string());
        values.push((mean(&cores), mean(&bytes), number(kib)));
    }
    let loopback = number(network_after.loopback_bytes - network.loopback_bytes) / elapsed_s;
    let opened = network_after.opened_connections - network.opened_connections;
    let opened = number(opened) / elapsed_s;
    let polled = number(engine_after.saturating_sub(engine_before)) / elapsed_s;
    row.extend([loopback, opened, polled].map(|value| format!("{value:.0}")));
    table.add(row);
    points.add(
        vec![number(node_count as u64)],
        &[
            ("loopback B/s of the whole machine", loopback),
            ("connections opened a second on the whole machine", opened),
            ("payload B/s of the engine's polls", polled),
            ("agent core %", values[0].0),
            ("agent B/s", values[0].1),
            ("agent KiB", values[0].2),
            ("control core %", values[1].0),
            ("control B/s", values[1].1),
            ("control KiB", values[1].2),
            ("entry core %", values[2].0),
            ("entry B/s", values[2].1),
            ("entry KiB", values[2].2),
        ],
    );
}

fn transferred(
    process_id: u32,
    before: &IndexMap<(u32, String), u64>,
    after: &IndexMap<(u32, String), u64>,
) -> u64 {
    let own = after.iter().filter(|((owner, _), _)| *owner == process_id);
    own.map(|(key, bytes)| bytes.saturating_sub(before.get(key).copied().unwrap_or(0)))
        .sum()
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / number(values.len() as u64)
}

fn largest(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}

/// How long after its restart a killed agent serves again; the only one, so that all depends on it.
fn measure_rejoin() {
    let mut table = Table::new(&["proxies", "dead for ms", "serves again after ms"]);
    for is_proxied in [true, false] {
        for dead_ms in [0, 2_000, 20_000] {
            let mut system = System::start(SystemSettings {
                is_proxied,
                ..SystemSettings::default()
            });
            pause(2_000);
            system.deployment.node_mut("agent-0").process.kill();
            pause(dead_ms);
            system.deployment.restart("agent-0");
            let restarted = Instant::now();
            let is_back = wait_until(REJOIN_BOUND_MS, || serves(&system));
            let elapsed_ms = restarted.elapsed().as_millis();
            table.add([
                is_proxied.to_string(),
                dead_ms.to_string(),
                if is_back {
                    elapsed_ms.to_string()
                } else {
                    format!("not within {elapsed_ms}")
                },
            ]);
        }
    }
    println!("{table}");
}

fn serves(system: &System) -> bool {
    let mut body = body(1);
    body["stream"] = json!(false);
    let address = system.deployment.http("entry-0");
    let request = CallerRequest::post(address, "/v1/completions", &body);
    let answer = system.deployment.caller().call(request, 5_000);
    answer.is_ok_and(|answer| answer.status == 200)
}

/// The same streams over more and more pairs of entry and agent: the fewer streams a pair has, the
/// fewer tokens a pull carries.
fn measure_pairs(runtime: &Runtime) -> eyre::Result<()> {
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

/// A caller comes back through an entry that has no record of its answer and asks everybody.
fn measure_search() -> eyre::Result<()> {
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
