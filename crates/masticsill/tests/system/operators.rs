//! Helpers for operators of a quorum of three control replicas.

use masticsill_testkit::{
    Caller, CallerAnswer, CallerError, CallerRequest, Deployment, OPERATOR_TOKEN, engine_entry,
    wait_until,
};
use serde_json::{Value, json};

use crate::support::WAIT_TIMEOUT_MS;

pub(crate) const CONTROLS: [&str; 3] = ["control-0", "control-1", "control-2"];
pub(crate) const ENTRY_PATH: &str = "/v1/catalogue/draft";
const PROBE_TIMEOUT_MS: u64 = 1_000;

/// Waits for a leader other than the lost replica, and returns its name.
pub(crate) fn leader(deployment: &Deployment, lost: Option<&str>) -> &'static str {
    let mut leader = None;
    wait_until(WAIT_TIMEOUT_MS, || {
        let mut others = CONTROLS.into_iter().filter(|name| Some(*name) != lost);
        leader = others.find(|name| is_leading(deployment, name));
        leader.is_some()
    });
    leader.expect("a leader is elected")
}

/// Returns whether a replica reports that it is the leader.
pub(crate) fn is_leading(deployment: &Deployment, name: &str) -> bool {
    let request = CallerRequest::get(deployment.http(name), "/readyz");
    let answer = deployment.caller().call(request, PROBE_TIMEOUT_MS);
    answer.is_ok_and(|answer| answer.json()["is_leading"] == true)
}

pub(crate) fn put_body(change_id: &str, version: &str, expected_version: u64) -> Value {
    json!({
        "change_id": change_id,
        "entry": engine_entry("draft", "patient_draft", "draft", version),
        "expected_version": expected_version,
    })
}

/// Sends a change to one replica, again after each status 503, until it is answered.
pub(crate) fn change(
    deployment: &Deployment,
    control: &str,
    method: &str,
    path: &str,
    body: &Value,
) -> (u16, Value) {
    let mut answered = None;
    wait_until(WAIT_TIMEOUT_MS, || {
        let answer = deployment.ask_operator(control, method, path, body);
        let answer = answer.ok().filter(|answer| answer.status != 503);
        answered = answer.map(|answer| (answer.status, answer.json()));
        answered.is_some()
    });
    answered.expect("the change is answered")
}

/// Like [`change`], for the entry `draft`.
pub(crate) fn put(deployment: &Deployment, control: &str, body: &Value) -> (u16, Value) {
    change(deployment, control, "PUT", ENTRY_PATH, body)
}

/// Sends a change of the entry `draft` once, from a caller of its own.
pub(crate) fn send_once(
    address: std::net::SocketAddr,
    body: &Value,
) -> Result<CallerAnswer, CallerError> {
    let caller = Caller::start().expect("a thread can be started");
    let request = CallerRequest::post(address, ENTRY_PATH, body)
        .method("PUT")
        .header("Authorization", &format!("Bearer {OPERATOR_TOKEN}"));
    caller.call(request, WAIT_TIMEOUT_MS)
}
