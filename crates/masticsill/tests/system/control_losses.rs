//! Control replicas as real processes that are killed or paused.

use std::path::Path;
use std::thread;

use masticsill_testkit::{Deployment, ProxyMode, wait_until};
use serde_json::{Value, json};

use crate::operators::{CONTROLS, ENTRY_PATH, is_leading, leader, put, put_body, send_once};
use crate::support::BOUND_MS;

fn start() -> Deployment {
    let mut deployment = Deployment::new(Path::new(env!("CARGO_BIN_EXE_masticsill")));
    deployment.start_controls(CONTROLS.len());
    deployment
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
            thread::spawn(move || send_once(address, &body))
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
                scope.spawn(move || send_once(address, &body).unwrap().status)
            })
            .collect();
        let answers = racers.into_iter().map(|racer| racer.join().unwrap());
        answers.collect::<Vec<u16>>()
    });
    assert_eq!(answers.iter().filter(|status| **status == 200).count(), 1);
    assert_eq!(answers.iter().filter(|status| **status == 409).count(), 8);
}

/// The audit trail without its times: action, change id and outcome, oldest first.
fn audit(deployment: &Deployment, control: &str) -> Vec<(String, String, String)> {
    let mut page = None;
    wait_until(BOUND_MS, || {
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
    let mut held = Value::Null;
    let is_held = wait_until(BOUND_MS, || {
        let answer = deployment.ask_operator(control, "GET", ENTRY_PATH, &json!({}));
        held = answer.map_or(Value::Null, |answer| answer.json());
        held["version"] == version
    });
    assert!(is_held, "{control} holds {held}");
    assert_eq!(held["entry"]["back_end"]["version"], model_version);
}

#[test]
fn the_loser_of_a_race_is_told_the_version_in_force_and_both_are_in_the_trail() {
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
fn replicas_cut_from_each_other_accept_nothing_and_lose_nothing() {
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
    assert!(wait_until(BOUND_MS, || !is_believed()), "nobody leads");
    cut(ProxyMode::Pass);
    // Whether it was taken in or not, sending it again makes one change of it.
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
fn a_leader_that_hears_nobody_is_followed_by_another() {
    let deployment = start();
    let former = leader(&deployment, None);
    let first = put(&deployment, former, &put_body("before", "v1", 0));
    assert_eq!(first, (200, json!({"version": 1})));
    let proxy = &deployment.node(former).proxy;
    proxy.set_mode(ProxyMode::BlackHole(None));
    // It may pass this one on to the next leader; an answer that it gives holds.
    let body = put_body("in-doubt", "v2", 1);
    let in_doubt = send_once(deployment.http(former), &body).unwrap();
    match in_doubt.status {
        200 => assert_eq!(in_doubt.json(), json!({"version": 2})),
        status => assert_eq!(status, 503, "{}", in_doubt.json()),
    }
    let next = leader(&deployment, Some(former));
    let second = put(&deployment, next, &body);
    assert_eq!(second, (200, json!({"version": 2})));
    let is_down = wait_until(BOUND_MS, || !is_leading(&deployment, former));
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

/// Name, folder number and standing of each replica, as one replica shows them.
fn replicas(deployment: &Deployment, control: &str) -> Vec<[String; 3]> {
    let answer = deployment.ask_operator(control, "GET", "/v1/replicas", &json!({}));
    let view = answer.map_or(Value::Null, |answer| answer.json());
    let replicas = view["replicas"].as_array().cloned().unwrap_or_default();
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let fields = |replica: &Value| ["node", "folder", "standing"].map(|name| text(&replica[name]));
    replicas.iter().map(fields).collect()
}

#[test]
fn a_second_loss_right_after_a_repair_is_borne() {
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
    let is_accepted = wait_until(BOUND_MS, || {
        let answer = deployment.ask_operator(control, "POST", "/v1/replicas", &join);
        answer.is_ok_and(|answer| answer.status == 202)
    });
    assert!(is_accepted, "the replacement is accepted");
    // The repair is done once the new folder votes and the lost one, which still counts towards
    // the majority while it is leaving, is gone.
    let is_replaced = wait_until(BOUND_MS, || {
        let now = replicas(&deployment, control);
        let is_gone = now.iter().all(|replica| replica[1] != old_folder);
        now.len() == 3 && is_gone && now.iter().all(|replica| replica[2] == "voter")
    });
    assert!(is_replaced, "{:?}", replicas(&deployment, control));
    // The second loss: the leader, so that the new replica's vote is needed.
    deployment.node_mut(control).process.kill();
    let next = leader(&deployment, Some(control));
    let second = put(&deployment, next, &put_body("after", "v2", 1));
    assert_eq!(second, (200, json!({"version": 2})));
    let again = put(&deployment, lost, &put_body("before", "v1", 0));
    assert_eq!(again, (200, json!({"version": 1})));
    let trail = audit(&deployment, next);
    let ids: Vec<&str> = trail.iter().map(|record| record.1.as_str()).collect();
    assert!(
        ids.contains(&"before") && ids.contains(&"after"),
        "{trail:?}"
    );
}
