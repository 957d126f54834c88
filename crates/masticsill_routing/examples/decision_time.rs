//! Measures the time of a router's decisions, on arrival and from the queues, and its memory with
//! 1,800 replicas of 35 models and 2,500 workspaces.
//!
//! Runs without arguments, once with 35 models and once with all replicas serving one model, which
//! is the worst case.

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::Instant;

use masticsill_routing::{
    AdmitDecision, BackEndTarget, Dequeued, EndpointDescription, EntryRank, LocalLimits,
    PlacementPolicy, PrefixBlock, Router, WorkOutcome, WorkRequest,
};
use masticsill_types::{Class, ClockMs, EndpointKind, GenerationId, LoadReport};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use support::{ended, engine, model, node, request, router, set_limits};

const REPLICAS: u32 = 1_800;
const WORKSPACES: u32 = 2_500;
const DECISIONS: u32 = 200_000;
const SLOTS: u32 = 16;

fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

fn target(index: u32) -> BackEndTarget {
    BackEndTarget::Engine(model(&format!("model-{index}"), "v1"))
}

fn new_router(policy: PlacementPolicy, models: u32) -> Router {
    let mut router = router(policy, 1);
    router.set_entry_rank(EntryRank { count: 3, rank: 0 });
    for index in 0..WORKSPACES {
        set_limits(
            &mut router,
            ClockMs(0),
            &format!("w{index}"),
            LocalLimits::default(),
        );
    }
    for index in 0..REPLICAS {
        let description = EndpointDescription {
            kind: EndpointKind::Engine {
                loaded: vec![model(&format!("model-{}", index % models), "v1")],
                slots: SLOTS,
                is_checking_fencing: true,
            },
            ..engine(SLOTS, ["muc-a", "muc-b", "fs-c"][index as usize % 3])
        };
        router.on_member_change(&node(&format!("agent-{index}")), Some(description));
    }
    router
}

fn next_request(id: u32, models: u32, rng: &mut StdRng) -> WorkRequest {
    let class = if rng.random_bool(0.5) {
        Class::InstantLookup
    } else {
        Class::PatientDraft
    };
    let workspace = rng.random_range(0..WORKSPACES);
    let mut wanted = request(id.into(), &format!("w{workspace}"), class, 100);
    wanted.target = target(rng.random_range(0..models));
    wanted.prompt_tokens = 3_000;
    let prefix = rng.random_range(0..20_000_u64);
    wanted.prefix = vec![
        PrefixBlock {
            hash: prefix,
            tokens: 1_000,
        },
        PrefixBlock {
            hash: prefix + 1_000_000,
            tokens: 2_000,
        },
    ];
    wanted
}

/// Delivers a load report with `running` requests for every endpoint.
fn report_all(router: &mut Router, now: ClockMs, running: u32) {
    for index in 0..REPLICAS {
        let load = LoadReport {
            running,
            ..LoadReport::default()
        };
        router.on_load_report(now, &node(&format!("agent-{index}")), load);
    }
}

fn measure(name: &str, policy: PlacementPolicy, models: u32, others_running: u32) {
    let mut rng = StdRng::seed_from_u64(9);
    let before_kib = resident_kib();
    let mut router = new_router(policy, models);
    let mut running: Vec<GenerationId> = Vec::new();
    let mut times = Vec::with_capacity(2 * DECISIONS as usize);
    let (mut started, mut queued, mut refused) = (0, 0, 0);
    for id in 0..DECISIONS {
        let now = ClockMs(u64::from(id) / 17);
        if id.is_multiple_of(17_000) {
            report_all(&mut router, now, others_running);
        }
        let wanted = next_request(id, models, &mut rng);
        let name = wanted.id;
        let began_at = Instant::now();
        let answer = router.admit(now, wanted);
        times.push(u64::try_from(began_at.elapsed().as_nanos()).unwrap_or(u64::MAX));
        match answer {
            AdmitDecision::Start(_) => {
                started += 1;
                running.push(name);
            }
            AdmitDecision::Queued => queued += 1,
            AdmitDecision::Refused(_) => refused += 1,
        }
        if running.len() > 2_000 {
            let done = running.swap_remove(rng.random_range(0..running.len()));
            router.on_finished(now, done, ended(WorkOutcome::Completed, 100));
        }
        let began_at = Instant::now();
        let dequeued = router.next_queued(now);
        times.push(u64::try_from(began_at.elapsed().as_nanos()).unwrap_or(u64::MAX));
        if let Some(Dequeued::Start(id, _)) = dequeued {
            running.push(id);
        }
    }
    let grown_kib = resident_kib().saturating_sub(before_kib);
    times.sort_unstable();
    let at = |part: usize| times[times.len() * part / 1_000];
    println!(
        "{name:34} p50 {:6} ns  p99 {:6} ns  p99.9 {:6} ns  {:6} KiB  \
         {started} started, {queued} queued, {refused} refused",
        at(500),
        at(990),
        at(999),
        grown_kib
    );
}

fn main() {
    for (models, label) in [(35, "35 models"), (1, "one model")] {
        for policy in [PlacementPolicy::Affinity, PlacementPolicy::LeastConnections] {
            measure(
                &format!("{policy:?}, {label}, half load"),
                policy,
                models,
                SLOTS / 2,
            );
        }
        let name = format!("Affinity, {label}, every slot busy");
        measure(&name, PlacementPolicy::Affinity, models, SLOTS);
    }
}
