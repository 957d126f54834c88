//! Control replicas as real processes that are killed or paused.

use std::path::Path;
use std::thread;

use masticsill_testkit::{
    Caller, CallerRequest, Deployment, OPERATOR_TOKEN, engine_entry, wait_until,
};
use serde_json::{Value, json};

use crate::support::BOUND_MS;

const CONTROLS: [&str; 3] = ["control-0", "control-1", "control-2"];
const ENTRY_PATH: &str = "/v1/catalogue/draft";

fn start() -> Deployment {
    let mut deployment = Deployment::new(Path::new(env!("CARGO_BIN_EXE_masticsill")));
    deployment.start_controls(CONTROLS.len());
    deployment
}

/// The replica that leads, other than one that was lost.
fn leader(deployment: &Deployment, lost: Option<&str>) -> &'static str {
    let mut leader = None;
    let is_leading = |name: &str| {
        let request = CallerRequest::get(deployment.http(name), "/readyz");
        let answer = deployment.caller().call(request, 1_000);
        answer.is_ok_and(|answer| answer.json()["is_leading"] == true)
    };
    wait_until(BOUND_MS, || {
        let mut others = CONTROLS.into_iter().filter(|name| Some(*name) != lost);
        leader = others.find(|name| is_leading(name));
        leader.is_some()
    });
    leader.expect("a leader is elected")
}

fn put_body(change_id: &str, version: &str, expected_version: u64) -> Value {
    json!({
        "change_id": change_id,
        "entry": engine_entry("draft", "patient_draft", "draft", version),
        "expected_version": expected_version,
    })
}

/// Sends a change to one replica until it is answered.
fn put(deployment: &Deployment, control: &str, body: &Value) -> (u16, Value) {
    let mut answered = None;
    wait_until(BOUND_MS, || {
        let answer = deployment.ask_operator(control, "PUT", ENTRY_PATH, body);
        let answer = answer.ok().filter(|answer| answer.status != 503);
        answered = answer.map(|answer| (answer.status, answer.json()));
        answered.is_some()
    });
    answered.expect("the change is answered")
}

#[test]
fn a_change_is_answered_alike_after_its_leader_was_killed() {
    let mut deployment = start();
    let former = leader(&deployment, None);
    let body = put_body("once", "v1", 0);
    assert_eq!(
        put(&deployment, former, &body),
        (200, json!({"version": 1}))
    );
    deployment.node_mut(former).process.kill();
    let next = leader(&deployment, Some(former));
    assert_eq!(put(&deployment, next, &body), (200, json!({"version": 1})));
    deployment.restart(former);
    assert_eq!(
        put(&deployment, former, &body),
        (200, json!({"version": 1}))
    );
}

#[test]
fn a_leader_paused_past_its_lease_accepts_nothing_it_had_in_hand() {
    let mut deployment = start();
    let former = leader(&deployment, None);
    let address = deployment.http(former);
    deployment.node_mut(former).process.pause().unwrap();
    // These reach the paused leader, which finds them when it goes on.
    let in_hand: Vec<_> = (0..4)
        .map(|number| {
            let body = put_body(&format!("late-{number}"), "late", 0);
            thread::spawn(move || {
                let caller = Caller::start().unwrap();
                let request = CallerRequest::post(address, ENTRY_PATH, &body)
                    .method("PUT")
                    .header("Authorization", &format!("Bearer {OPERATOR_TOKEN}"));
                caller.call(request, BOUND_MS)
            })
        })
        .collect();
    let next = leader(&deployment, Some(former));
    let first = put(&deployment, next, &put_body("first", "v1", 0));
    assert_eq!(first, (200, json!({"version": 1})));
    deployment.node_mut(former).process.resume().unwrap();
    for call in in_hand {
        let answer = call.join().unwrap().unwrap();
        assert_eq!(answer.status, 409, "{}", answer.json());
        assert_eq!(answer.json()["in_force"], 1);
    }
    let held = deployment.ask_operator(former, "GET", ENTRY_PATH, &json!({}));
    assert_eq!(held.unwrap().json()["entry"]["back_end"]["version"], "v1");
}

#[test]
fn of_operators_racing_at_every_replica_one_wins() {
    let deployment = start();
    leader(&deployment, None);
    let answers = thread::scope(|scope| {
        let racers: Vec<_> = (0..9)
            .map(|number| {
                let address = deployment.http(CONTROLS[number % CONTROLS.len()]);
                let body = put_body(&format!("race-{number}"), "v1", 0);
                scope.spawn(move || {
                    let caller = Caller::start().unwrap();
                    let request = CallerRequest::post(address, ENTRY_PATH, &body)
                        .method("PUT")
                        .header("Authorization", &format!("Bearer {OPERATOR_TOKEN}"));
                    caller.call(request, BOUND_MS).unwrap().status
                })
            })
            .collect();
        let answers = racers.into_iter().map(|racer| racer.join().unwrap());
        answers.collect::<Vec<u16>>()
    });
    assert_eq!(answers.iter().filter(|status| **status == 200).count(), 1);
    assert_eq!(answers.iter().filter(|status| **status == 409).count(), 8);
}
