//! Calls that must not be repeated run at most once, and their outcome is reported correctly.

use std::net::TcpListener;
use std::path::Path;

use masticsill_testkit::{
    Caller, CallerAnswer, CallerRequest, Deployment, FakeService, ProxyMode, ServiceSettings,
    service_entry, wait_until,
};
use serde_json::{Value, json};

use crate::support::WAIT_TIMEOUT_MS;

pub(crate) struct CallSystem {
    pub(crate) deployment: Deployment,
    pub(crate) services: Vec<FakeService>,
}

impl CallSystem {
    pub(crate) fn start(control_count: usize, entry_count: usize, service_count: usize) -> Self {
        let mut deployment = Deployment::new(Path::new(env!("CARGO_BIN_EXE_masticsill")));
        deployment.start_controls(control_count);
        for index in 0..entry_count {
            deployment.start_entry(&format!("entry-{index}"), "zone-0", &json!({}));
        }
        let mut services = Vec::new();
        for index in 0..service_count {
            let service = FakeService::start(ServiceSettings::default());
            let service = service.expect("a service can be started");
            let name = format!("agent-{index}");
            deployment.start_service_agent(&name, "zone-0", service.address(), "orders");
            services.push(service);
        }
        deployment.put(&service_entry("tile-orders", "orders", false), 0);
        let system = Self {
            deployment,
            services,
        };
        for index in 0..entry_count {
            system.await_service(&format!("entry-{index}"));
        }
        system
    }

    /// Waits until an entry forwards a call to a service.
    fn await_service(&self, entry: &str) {
        let key = format!("probe-{entry}");
        let is_served = wait_until(WAIT_TIMEOUT_MS, || {
            self.order(entry, &key, "probe").status == 200
        });
        assert!(is_served, "{}", self.deployment.node(entry).process.log());
    }

    pub(crate) fn order(&self, entry: &str, key: &str, item: &str) -> CallerAnswer {
        let address = self.deployment.http(entry);
        let path = "/v1/services/tile-orders/order";
        let request = CallerRequest::post(address, path, &json!({"item": item}));
        let request = request.idempotency_key(key);
        let answer = self.deployment.caller().call(request, WAIT_TIMEOUT_MS);
        answer.expect("the entry answers")
    }

    /// Returns how often an order reached a service, summed over all services.
    pub(crate) fn runs(&self, item: &str) -> u64 {
        let body = json!({"item": item}).to_string();
        let counts = self.services.iter().map(|service| {
            let stats = service.stats();
            stats.runs_by_body.get(&body).copied().unwrap_or(0)
        });
        counts.sum()
    }
}

pub(crate) fn outcome(answer: &CallerAnswer) -> Value {
    answer.json()["error"]["outcome"].clone()
}

#[test]
fn a_repeated_key_gets_the_first_answer_through_any_entry() {
    let system = CallSystem::start(3, 2, 2);
    let first = system.order("entry-0", "key-1", "pallet");
    let again = system.order("entry-0", "key-1", "pallet");
    let elsewhere = system.order("entry-1", "key-1", "pallet");
    assert_eq!(first.status, 200);
    assert_eq!(first.json(), again.json());
    assert_eq!(first.json(), elsewhere.json());
    assert_eq!(system.runs("pallet"), 1);
}

#[test]
fn a_key_with_other_content_is_refused() {
    let system = CallSystem::start(1, 1, 1);
    assert_eq!(system.order("entry-0", "key-2", "white").status, 200);
    assert_eq!(system.order("entry-0", "key-2", "black").status, 422);
    assert_eq!(system.runs("black"), 0);
}

#[test]
fn a_service_that_ran_without_answering_is_not_asked_again() {
    let system = CallSystem::start(1, 1, 2);
    for service in &system.services {
        service.close_after_run(1);
    }
    let answer = system.order("entry-0", "key-3", "mortar");
    assert_eq!(outcome(&answer), json!("outcome_unknown"));
    let again = system.order("entry-0", "key-3", "mortar");
    assert_eq!(outcome(&again), json!("outcome_unknown"));
    assert_eq!(system.runs("mortar"), 1);
}

#[test]
fn a_call_that_was_never_sent_is_retried_at_another_agent() {
    let mut system = CallSystem::start(1, 1, 1);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let dead = listener.local_addr().expect("the port is bound");
    drop(listener);
    let deployment = &mut system.deployment;
    deployment.start_service_agent("agent-dead", "zone-0", dead, "orders");
    let is_known = wait_until(WAIT_TIMEOUT_MS, || {
        let log = system.deployment.node("entry-0").process.log();
        log.contains("node=agent-dead")
    });
    assert!(is_known, "the entry knows the agent without a service");
    for number in 0..6 {
        let item = format!("grout {number}");
        let answer = system.order("entry-0", &item, &item);
        assert_eq!(answer.status, 200, "{}", answer.json());
        assert_eq!(system.runs(&item), 1);
    }
}

#[test]
fn the_reported_outcome_is_correct_after_an_agent_is_lost() {
    let mut system = CallSystem::start(1, 1, 2);
    system.deployment.node_mut("agent-0").process.kill();
    for number in 0..6 {
        let item = format!("joint {number}");
        let answer = system.order("entry-0", &item, &item);
        let runs = system.runs(&item);
        if answer.status == 200 {
            assert_eq!(runs, 1);
        } else if outcome(&answer) == json!("not_run") {
            assert_eq!(runs, 0);
        } else {
            assert_eq!(outcome(&answer), json!("outcome_unknown"));
            assert!(runs <= 1);
        }
    }
}

#[test]
fn an_entry_lost_during_a_call_causes_no_second_run() {
    let mut system = CallSystem::start(1, 2, 2);
    for service in &system.services {
        service.set_delay(800);
    }
    let address = system.deployment.http("entry-0");
    let path = "/v1/services/tile-orders/order";
    let request = CallerRequest::post(address, path, &json!({"item": "sink"}));
    let request = request.idempotency_key("key-5");
    let caller = Caller::start().expect("a thread can be started");
    let first = std::thread::spawn(move || caller.call(request, WAIT_TIMEOUT_MS));
    let is_running = wait_until(WAIT_TIMEOUT_MS, || system.runs("sink") == 1);
    assert!(is_running, "the order reached a service");
    system.deployment.node_mut("entry-0").process.kill();
    let _ = first.join();
    let again = system.order("entry-1", "key-5", "sink");
    let is_true = again.status == 200 || outcome(&again) == json!("outcome_unknown");
    assert!(is_true, "{}", again.json());
    assert_eq!(system.runs("sink"), 1);
}

#[test]
fn without_a_quorum_nothing_is_sent() {
    let system = CallSystem::start(1, 1, 1);
    let proxy = &system.deployment.node("control-0").proxy;
    proxy.set_mode(ProxyMode::Cut);
    let answer = system.order("entry-0", "key-6", "lamp");
    assert_eq!(outcome(&answer), json!("not_run"));
    assert_eq!(system.runs("lamp"), 0);
    assert!(answer.json()["error"]["retry_after_ms"].is_u64());
}
