//! Agents and connections lost while a service runs a call that must not be repeated.

use std::thread;

use masticsill_testkit::{Caller, CallerAnswer, CallerRequest, ProxyMode, wait_until};
use serde_json::json;

use crate::calls_once::{CallSystem, outcome};
use crate::support::WAIT_TIMEOUT_MS;

/// Duration of a call at the service, long enough to lose the agent during the call.
const SERVICE_MS: u64 = 1_500;

/// Orders an item and calls `fail_agent` with the agent of the service once the service runs the
/// order.
fn order_and_fail_agent(
    system: &mut CallSystem,
    item: &str,
    fail_agent: impl FnOnce(&mut CallSystem, &str),
) -> CallerAnswer {
    let before: Vec<u64> = runs_of_each(system);
    let address = system.deployment.http("entry-0");
    let path = "/v1/services/tile-orders/order";
    let request = CallerRequest::post(address, path, &json!({"item": item}));
    let request = request.idempotency_key(item);
    let call = thread::spawn(move || {
        let caller = Caller::start().expect("a thread can be started");
        caller.call(request, WAIT_TIMEOUT_MS)
    });
    let is_running = wait_until(WAIT_TIMEOUT_MS, || system.runs(item) == 1);
    assert!(is_running, "the order reached a service");
    let after = runs_of_each(system);
    let busy = after.iter().zip(&before).position(|(now, then)| now > then);
    let agent = format!("agent-{}", busy.expect("a service runs it"));
    fail_agent(system, &agent);
    let answer = call.join().expect("the caller's thread ends");
    answer.expect("the entry answers")
}

fn runs_of_each(system: &CallSystem) -> Vec<u64> {
    let runs = |service: &masticsill_testkit::FakeService| -> u64 {
        service.stats().runs_by_body.values().sum()
    };
    system.services.iter().map(runs).collect()
}

/// Asserts that the outcome is reported as unknown, also for a repeated call, and that the call ran
/// exactly once.
#[track_caller]
fn assert_unknown(system: &CallSystem, item: &str, answer: &CallerAnswer) {
    assert_eq!(
        outcome(answer),
        json!("outcome_unknown"),
        "{}",
        answer.json()
    );
    let again = system.order("entry-0", item, item);
    assert_eq!(
        outcome(&again),
        json!("outcome_unknown"),
        "{}",
        again.json()
    );
    assert_eq!(system.runs(item), 1);
}

#[test]
fn an_agent_killed_during_a_call_leaves_its_outcome_unknown() {
    let mut system = CallSystem::start(1, 1, 2);
    for service in &system.services {
        service.set_delay(SERVICE_MS);
    }
    let answer = order_and_fail_agent(&mut system, "pallet", |system, agent| {
        system.deployment.node_mut(agent).process.kill();
    });
    assert_unknown(&system, "pallet", &answer);
}

#[test]
fn a_link_cut_during_a_call_leaves_its_outcome_unknown_until_the_agent_tells() {
    let mut system = CallSystem::start(1, 1, 2);
    for service in &system.services {
        service.set_delay(SERVICE_MS);
    }
    let mut cut = String::new();
    let answer = order_and_fail_agent(&mut system, "grout", |system, agent| {
        let proxy = &system.deployment.node(agent).proxy;
        proxy.set_mode(ProxyMode::Cut);
        agent.clone_into(&mut cut);
    });
    assert_eq!(
        outcome(&answer),
        json!("outcome_unknown"),
        "{}",
        answer.json()
    );
    let proxy = &system.deployment.node(&cut).proxy;
    proxy.set_mode(ProxyMode::Pass);
    let again = system.order("entry-0", "grout", "grout");
    let is_true = again.status == 200 || outcome(&again) == json!("outcome_unknown");
    assert!(is_true, "{}", again.json());
    assert_eq!(system.runs("grout"), 1);
}
