//! One request on its whole path: caller, entry, agent and engine.

use masticsill_testkit::CallerRequest;
use serde_json::json;

use crate::support::{Draft, End, SmallSystem, WAIT_TIMEOUT_MS};

#[test]
fn a_streamed_answer_is_whole() {
    let system = SmallSystem::start(1, 2);
    let draft = Draft::new("bathroom", 60);
    let mut reader = system.open("entry-0", &draft);
    assert_eq!(reader.status(), 200);
    assert_eq!(reader.read_to_end(), End::Done);
    assert_eq!(reader.text, draft.expected());
}

#[test]
fn a_whole_answer_is_given_at_once() {
    let system = SmallSystem::start(1, 1);
    let draft = Draft::new("kitchen", 30);
    let mut body = draft.body();
    body["stream"] = json!(false);
    let address = system.deployment.http("entry-0");
    let request = CallerRequest::post(address, "/v1/completions", &body);
    let answer = system.deployment.caller().call(request, WAIT_TIMEOUT_MS);
    let answer = answer.expect("the entry answers").json();
    assert_eq!(answer["choices"][0]["text"], json!(draft.expected()));
    assert_eq!(answer["usage"]["completion_tokens"], json!(30));
}

#[test]
fn the_loss_of_an_engine_is_not_noticed_by_the_caller() {
    let mut system = SmallSystem::start(1, 2);
    let draft = Draft::new("tiles", 120);
    let mut reader = system.open("entry-0", &draft);
    reader.read_bytes(20);
    let busy = system.busy_engine();
    system.engines[busy].process.kill();
    assert_eq!(reader.read_to_end(), End::Done);
    assert_eq!(reader.text, draft.expected());
    assert_eq!(system.started(1 - busy), 1, "the other engine continued it");
}
