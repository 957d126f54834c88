//! Changes of the catalogue, by their rate, and how soon they are in force.

use std::time::{Duration, Instant};

use masticsill_bench::{System, SystemSettings, Table, UsageMeter, ms, number};
use masticsill_testkit::{CallerRequest, engine_entry};
use serde_json::json;

use crate::points::{Points, control_system, pause};

const CHANGE_RATES: [u64; 4] = [5, 10, 20, 40];
const CHANGE_SECONDS: u64 = 6;
const ENTRY_COUNTS: [usize; 4] = [1, 4, 8, 16];
const CHANGES_IN_FORCE: u32 = 60;

pub(crate) fn measure_changes() {
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

pub(crate) fn measure_in_force() {
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
