//! Control replicas that are killed, paused or isolated.

use std::path::Path;
use std::thread;

use masticsill_testkit::{Deployment, ProxyMode, wait_until};
use serde_json::{Value, json};

use crate::operators::{CONTROLS, ENTRY_PATH, is_leading, leader, put, put_body, send_once};
use crate::support::WAIT_TIMEOUT_MS;

fn start() -> Deployment {
    let mut deployment = Deployment::new(Path::new(env!("CARGO_BIN_EXE_masticsill")));
    deployment.start_controls(CONTROLS.len());
    deployment
}

#[test]
fn a_repeated_change_gets_the_same_answer_after_its_leader_was_killed() {
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
fn a_leader_paused_past_its_lease_accepts_no_pending_change() {
    let mut deployment = start();
    let former = leader(&deployment, None);
    let address = deployment.http(former);
    deployment.node_mut(former).process.pause().unwrap();
    // These changes reach the paused leader, which reads them when it is resumed.
    let pending_calls: Vec<_> = (0..4)
        .map(|number| {
            let body = put_body(&format!("late-{number}"), "late", 0);
            thread::spawn(move || send_once(address, &body))
        })
        .collect();
    let next = leader(&deployment, Some(former));
    let first = put(&deployment, next, &put_body("first", "v1", 0));
    assert_eq!(first, (200, json!({"version": 1})));
    deployment.node_mut(former).process.resume().unwrap();
    for call in pending_calls {
        let answer = call.join().unwrap().unwrap();
        assert_eq!(answer.status, 409, "{}", answer.json());
        assert_eq!(answer.json()["in_force"], 1);
    }
    let current = deployment.ask_operator(former, "GET", ENTRY_PATH, &json!({}));
    assert_eq!(
        current.unwrap().json()["entry"]["back_end"]["version"],
        "v1"
    );
}

#[test]
fn of_concurrent_changes_at_all_replicas_exactly_one_is_accepted() {
    let deployment = start();
    leader(&deployment, None);
    let answers = thread::scope(|scope| {
        let callers: Vec<_> = (0..9)
            .map(|number| {
                let address = deployment.http(CONTROLS[number % CONTROLS.len()]);
                let body = put_body(&format!("race-{number}"), "v1", 0);
                scope.spawn(move || send_once(address, &body).unwrap().status)
            })
            .collect();
        let answers = callers.into_iter().map(|caller| caller.join().unwrap());
        answers.collect::<Vec<u16>>()
    });
    assert_eq!(answers.iter().filter(|status| **status == 200).count(), 1);
    assert_eq!(answers.iter().filter(|status| **status == 409).count(), 8);
}

/// Returns the action, change id and outcome of all audit records, oldest first.
fn audit(deployment: &Deployment, control: &str) -> Vec<(String, String, String)> {
    let mut page = None;
    wait_until(WAIT_TIMEOUT_MS, || {
        let answer = deployment.ask_operator(control, "GET", "/v1/audit?limit=100", &json!({}));
        page = answer.ok().filter(|answer| answer.status == 200);
        page.is_some()
    });
    let page = page.expect("the trail is shown").json();
    let records = page["records"].as_array().expect("records are listed");
    let field = |record: &Value, name: &str| record[name].as_str().unwrap_or_default().to_owned();
    records
        .iter()
        .map(|record| {
            let name = |name| field(record, name);
            (name("action"), name("change_id"), name("outcome"))
        })
        .collect()
}

fn expect_entry(deployment: &Deployment, control: &str, model_version: &str, version: u64) {
    let mut current = Value::Null;
    let is_current = wait_until(WAIT_TIMEOUT_MS, || {
        let answer = deployment.ask_operator(control, "GET", ENTRY_PATH, &json!({}));
        current = answer.map_or(Value::Null, |answer| answer.json());
        current["version"] == version
    });
    assert!(is_current, "{control} holds {current}");
    assert_eq!(current["entry"]["back_end"]["version"], model_version);
}

#[test]
fn a_version_conflict_reports_the_version_in_force_and_is_audited() {
    let deployment = start();
    let control = leader(&deployment, None);
    let first = put(&deployment, control, &put_body("winner", "v1", 0));
    assert_eq!(first, (200, json!({"version": 1})));
    let loser = put_body("loser", "v2", 0);
    for control in CONTROLS {
        let (status, body) = put(&deployment, control, &loser);
        assert_eq!(status, 409, "{body}");
        assert_eq!(body["in_force"], 1);
    }
    let record = |id: &str, outcome: &str| ("put".to_owned(), id.to_owned(), outcome.to_owned());
    let trail = audit(&deployment, control);
    assert!(trail.contains(&record("winner", "accepted")), "{trail:?}");
    let refused = record("loser", "version_conflict");
    assert!(trail.contains(&refused), "{trail:?}");
}

#[test]
fn isolated_replicas_accept_nothing_and_lose_nothing() {
    let deployment = start();
    let former = leader(&deployment, None);
    let first = put(&deployment, former, &put_body("before", "v1", 0));
    assert_eq!(first, (200, json!({"version": 1})));
    let cut = |mode| CONTROLS.map(|name| deployment.node(name).proxy.set_mode(mode));
    cut(ProxyMode::Cut);
    let body = put_body("in-doubt", "v2", 1);
    for control in CONTROLS {
        let answer = send_once(deployment.http(control), &body).unwrap();
        assert_eq!(answer.status, 503, "{}", answer.json());
    }
    let is_believed = || CONTROLS.iter().any(|name| is_leading(&deployment, name));
    assert!(
        wait_until(WAIT_TIMEOUT_MS, || !is_believed()),
        "nobody leads"
    );
    cut(ProxyMode::Pass);
    // Whether or not the change was accepted, sending it again results in exactly one change.
    for control in CONTROLS {
        let answer = put(&deployment, control, &body);
        assert_eq!(answer, (200, json!({"version": 2})));
    }
    let after = put(&deployment, CONTROLS[0], &put_body("after", "v3", 2));
    assert_eq!(after, (200, json!({"version": 3})));
    for control in CONTROLS {
        expect_entry(&deployment, control, "v3", 3);
    }
}

#[test]
fn an_isolated_leader_is_replaced() {
    let deployment = start();
    let former = leader(&deployment, None);
    let first = put(&deployment, former, &put_body("before", "v1", 0));
    assert_eq!(first, (200, json!({"version": 1})));
    let proxy = &deployment.node(former).proxy;
    proxy.set_mode(ProxyMode::BlackHole(None));
    // The former leader may forward this change to the next leader; its answer must be correct.
    let body = put_body("in-doubt", "v2", 1);
    let in_doubt = send_once(deployment.http(former), &body).unwrap();
    match in_doubt.status {
        200 => assert_eq!(in_doubt.json(), json!({"version": 2})),
        status => assert_eq!(status, 503, "{}", in_doubt.json()),
    }
    let next = leader(&deployment, Some(former));
    let second = put(&deployment, next, &body);
    assert_eq!(second, (200, json!({"version": 2})));
    let is_down = wait_until(WAIT_TIMEOUT_MS, || !is_leading(&deployment, former));
    assert!(is_down, "the former leader steps down");
    proxy.set_mode(ProxyMode::Pass);
    for control in CONTROLS {
        assert_eq!(
            put(&deployment, control, &body),
            (200, json!({"version": 2}))
        );
        expect_entry(&deployment, control, "v2", 2);
    }
}

/// Returns name, folder number and standing of each replica, as reported by one replica.
fn replicas(deployment: &Deployment, control: &str) -> Vec<[String; 3]> {
    let answer = deployment.ask_operator(control, "GET", "/v1/replicas", &json!({}));
    let view = answer.map_or(Value::Null, |answer| answer.json());
    let replicas = view["replicas"].as_array().cloned().unwrap_or_default();
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let fields = |replica: &Value| ["node", "folder", "standing"].map(|name| text(&replica[name]));
    replicas.iter().map(fields).collect()
}

#[test]
fn a_second_loss_right_after_a_replacement_is_tolerated() {
    let mut deployment = start();
    let control = leader(&deployment, None);
    let first = put(&deployment, control, &put_body("before", "v1", 0));
    assert_eq!(first, (200, json!({"version": 1})));
    let lost = CONTROLS.into_iter().find(|name| *name != control).unwrap();
    let old = replicas(&deployment, control);
    let old = old.iter().find(|replica| replica[0] == lost);
    let old_folder = old.expect("the replica is listed")[1].clone();
    deployment.node_mut(lost).process.kill();
    deployment.lose_data(lost);
    deployment.restart(lost);
    let join = json!({"node": lost, "replaces": lost});
    let is_accepted = wait_until(WAIT_TIMEOUT_MS, || {
        let answer = deployment.ask_operator(control, "POST", "/v1/replicas", &join);
        answer.is_ok_and(|answer| answer.status == 202)
    });
    assert!(is_accepted, "the replacement is accepted");
    // The replacement is complete once the new folder votes and the lost one is removed. While the
    // lost one is leaving, it still counts towards the majority.
    let is_replaced = wait_until(WAIT_TIMEOUT_MS, || {
        let now = replicas(&deployment, control);
        let is_gone = now.iter().all(|replica| replica[1] != old_folder);
        now.len() == 3 && is_gone && now.iter().all(|replica| replica[2] == "voter")
    });
    assert!(is_replaced, "{:?}", replicas(&deployment, control));
    // The removal is listed before it is committed. Once a later change is, so is the removal.
    let between = put(&deployment, control, &put_body("between", "v2", 1));
    assert_eq!(between, (200, json!({"version": 2})));
    // The second loss is the leader, so that the vote of the new replica is needed.
    deployment.node_mut(control).process.kill();
    let next = leader(&deployment, Some(control));
    let second = put(&deployment, next, &put_body("after", "v3", 2));
    assert_eq!(second, (200, json!({"version": 3})));
    let again = put(&deployment, lost, &put_body("before", "v1", 0));
    assert_eq!(again, (200, json!({"version": 1})));
    let trail = audit(&deployment, next);
    let ids: Vec<&str> = trail.iter().map(|record| record.1.as_str()).collect();
    let is_acknowledged = |id: &&str| ids.contains(id);
    assert!(
        ["before", "between", "after"].iter().all(is_acknowledged),
        "{trail:?}"
    );
}
