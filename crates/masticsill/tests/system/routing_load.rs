//! Placement, limits and fairness under load and overload.

use masticsill_testkit::{
    CallerRequest, FakeService, ServiceSettings, engine_entry, service_entry, wait_until,
};
use serde_json::{Value, json};

use crate::load_system::{End, LoadedSystem, ZONE};
use crate::support::WAIT_TIMEOUT_MS;

fn drafts() -> Value {
    engine_entry("draft", "patient_draft", "draft", "v1")
}

#[test]
fn lookups_answer_before_any_of_the_drafts_that_fill_the_engine() {
    let lookups = engine_entry("lookup", "instant_lookup", "draft", "v1");
    let system = LoadedSystem::start(1, &[ZONE], 8, &[drafts(), lookups]);
    let load = system.load(1);
    let open_requests = load.send("draft", 14, 400);
    system.await_running(7);
    for number in 0..5 {
        load.ask("lookup", number, 5);
    }
    open_requests.join();
    load.assert_all_complete();
    let ends = load.ends();
    let first: Vec<&str> = ends.iter().take(5).map(|(model, _)| *model).collect();
    assert_eq!(first, ["lookup"; 5]);
}

#[test]
fn a_leaving_endpoint_under_load_gets_nothing_new() {
    let mut system = LoadedSystem::start(1, &[ZONE, ZONE], 4, &[drafts()]);
    let load = system.load(1);
    let open_requests = load.send("draft", 20, 150);
    system.await_running(8);
    let agent = &mut system.deployment.node_mut("agent-0").process;
    agent.request_stop().expect("the agent runs");
    let is_leaving = wait_until(WAIT_TIMEOUT_MS, || {
        let log = system.deployment.node("agent-0").process.log();
        log.contains("agent_leaving")
    });
    assert!(is_leaving, "the agent leaves");
    let before = system.engines[0].stats(system.deployment.caller());
    open_requests.join();
    load.assert_all_complete();
    let after = system.engines[0].stats(system.deployment.caller());
    let (before, after) = (
        before.expect("the engine answers"),
        after.expect("the engine answers"),
    );
    assert_eq!(after.started, before.started, "nothing new was started");
    assert_eq!(after.cancelled, 0, "nothing was cut");
    assert_eq!(system.sum(|stats| stats.started), 20);
}

#[test]
fn overload_ends_in_whole_answers_and_refusals_that_did_not_run() {
    let mut entry = drafts();
    entry["limits"] = json!({"queue_length": 8});
    let system = LoadedSystem::start(1, &[ZONE, ZONE], 4, &[entry]);
    let load = system.load(1);
    load.send("draft", 32, 200).join();
    let ends = load.ends();
    let whole = ends.iter().filter(|(_, end)| *end == End::Complete).count();
    let refused = ends.iter().filter(|(_, end)| *end == End::NotRun).count();
    assert_eq!(whole + refused, 32, "{ends:?}");
    assert!(whole >= 16, "slots and queue are used: {ends:?}");
    assert!(refused > 0, "the rest is refused: {ends:?}");
    let started = system.sum(|stats| stats.started);
    assert_eq!(started, whole as u64, "what was refused was not run");
    let first = &ends[0].1;
    assert_eq!(*first, End::NotRun, "a refusal does not wait for an answer");
}

#[test]
fn a_limit_of_concurrent_generations_holds_over_two_entries() {
    let mut entry = drafts();
    entry["limits"] = json!({"concurrent_generations": 5});
    let system = LoadedSystem::start(2, &[ZONE], 16, &[entry]);
    let load = system.load(2);
    load.send("draft", 24, 40).join();
    load.assert_all_complete();
    let stats = system.engines[0].stats(system.deployment.caller());
    assert_eq!(stats.expect("the engine answers").most_open, 5);
}

#[test]
fn a_heavy_workspace_does_not_starve_a_small_one() {
    let owned = |name: &str, owner: &str| {
        let mut entry = engine_entry(name, "patient_draft", "draft", "v1");
        entry["owner"] = json!(owner);
        entry
    };
    let catalogue = [owned("heavy", "kitchens"), owned("small", "bathrooms")];
    let system = LoadedSystem::start(1, &[ZONE], 4, &catalogue);
    let load = system.load(1);
    let heavy = load.send("heavy", 32, 50);
    system.await_running(4);
    let small = load.send("small", 4, 50);
    small.join();
    let ends = load.ends();
    let heavy_done = ends.iter().filter(|(model, _)| *model == "heavy").count();
    assert!(heavy_done <= 20, "{heavy_done} of 32 went before");
    heavy.join();
    load.assert_all_complete();
}

#[test]
fn a_zone_lost_under_load_costs_no_admitted_generation() {
    let zones = [ZONE, ZONE, "zone-1", "zone-1"];
    let mut system = LoadedSystem::start(1, &zones, 4, &[drafts()]);
    let load = system.load(1);
    let open_requests = load.send("draft", 16, 500);
    system.await_running(16);
    for lost in [2, 3] {
        let agent = format!("agent-{lost}");
        system.deployment.node_mut(&agent).process.kill();
        system.engines[lost].process.kill();
    }
    open_requests.join();
    load.assert_all_complete();
}

#[test]
fn work_stays_in_the_zones_of_its_catalogue_entry() {
    let mut entry = drafts();
    entry["placement"]["zones"] = json!(["zone-1"]);
    let system = LoadedSystem::start(1, &[ZONE, "zone-1"], 4, &[entry]);
    let load = system.load(1);
    load.send("draft", 12, 20).join();
    load.assert_all_complete();
    assert_eq!(system.started(), [0, 12]);
}

#[test]
fn prompts_with_a_shared_prefix_go_to_the_same_engine() {
    // With many slots, a late load report of the last request weighs less than the shared prefix.
    let system = LoadedSystem::start(1, &[ZONE, ZONE], 64, &[drafts()]);
    let load = system.load_with_prompt(1, &"tiles and joints, ".repeat(60));
    for number in 0..12 {
        load.ask("draft", number, 5);
    }
    load.assert_all_complete();
    assert!(system.started().contains(&12), "{:?}", system.started());
}

#[test]
fn calls_beyond_a_rate_are_refused_and_not_run() {
    let service = FakeService::start(ServiceSettings::default());
    let service = service.expect("a service can be started");
    let mut entry = service_entry("orders", "orders", true);
    entry["limits"] = json!({"requests_per_s": 1});
    let mut system = LoadedSystem::start(1, &[], 1, &[]);
    let deployment = &mut system.deployment;
    deployment.start_service_agent("agent-0", ZONE, service.address(), "orders");
    deployment.put(&entry, 0);
    let request = |number: usize| {
        let body = json!({"item": number});
        CallerRequest::post(
            deployment.http("entry-0"),
            "/v1/services/orders/order",
            &body,
        )
    };
    let caller = deployment.caller();
    let is_served = wait_until(WAIT_TIMEOUT_MS, || {
        let answer = caller.call(request(0), WAIT_TIMEOUT_MS);
        answer.is_ok_and(|answer| answer.status == 200)
    });
    assert!(is_served, "the service is known");
    let before: u64 = service.stats().runs_by_body.values().sum();
    let mut refused = 0;
    for number in 1..40 {
        let answer = caller.call(request(number), WAIT_TIMEOUT_MS);
        let answer = answer.expect("the entry answers");
        if answer.status == 200 {
            continue;
        }
        let error = &answer.json()["error"];
        assert_eq!(error["kind"], json!("limit_reached"));
        assert_eq!(error["outcome"], json!("not_run"));
        assert!(error["retry_after_ms"].is_u64() && answer.headers.contains_key("retry-after"));
        refused += 1;
    }
    let after: u64 = service.stats().runs_by_body.values().sum();
    assert!(refused > 0, "39 calls at once are more than one a second");
    assert_eq!(after - before, 39 - refused, "a refused call is not run");
}

#[test]
fn a_restarted_agent_gets_work_again() {
    let mut system = LoadedSystem::start(1, &[ZONE], 4, &[drafts()]);
    let load = system.load(1);
    load.ask("draft", 0, 5);
    for _ in 0..2 {
        system.deployment.node_mut("agent-0").process.kill();
        system.deployment.restart("agent-0");
    }
    let is_served = wait_until(WAIT_TIMEOUT_MS, || {
        load.ask("draft", 1, 5);
        let ends = load.ends();
        ends.last().is_some_and(|(_, end)| *end == End::Complete)
    });
    assert!(is_served, "{:?}", load.ends());
}

#[test]
fn an_entry_with_a_zero_share_of_a_limit_refuses_at_once() {
    let mut entry = drafts();
    entry["limits"] = json!({"concurrent_generations": 1});
    let system = LoadedSystem::start(2, &[ZONE], 4, &[entry]);
    let load = system.load(2);
    load.send("draft", 2, 200).join();
    let ends = load.ends().into_iter().map(|(_, end)| end);
    let ends: Vec<End> = ends.collect();
    assert_eq!(ends, [End::NotRun, End::Complete]);
    assert_eq!(system.started(), [1]);
}
