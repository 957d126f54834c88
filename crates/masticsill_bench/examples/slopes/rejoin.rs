//! How soon an agent that died serves again.

use std::time::Instant;

use masticsill_bench::{System, SystemSettings, Table};
use masticsill_testkit::{CallerRequest, wait_until};
use serde_json::json;

use crate::points::{body, pause};

/// Longest wait for a restarted agent.
const REJOIN_BOUND_MS: u64 = 40_000;

/// How long after its restart a killed agent serves again; the only one, so that all depends on it.
pub(crate) fn measure_rejoin() {
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
