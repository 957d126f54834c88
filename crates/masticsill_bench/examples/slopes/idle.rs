//! What nodes cost that have nothing to do, by their number.

use std::time::Instant;

use indexmap::IndexMap;
use masticsill_bench::{
    NetworkCounters, SystemSettings, Table, UsageMeter, number, open_connection_bytes,
};
use serde_json::json;

use crate::points::{Points, control_system, pause};

const NODE_COUNTS: [usize; 4] = [5, 20, 60, 120];
const IDLE_SETTLE_MS: u64 = 12_000;
const IDLE_WINDOW_MS: u64 = 20_000;

pub(crate) fn measure_idle() {
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
