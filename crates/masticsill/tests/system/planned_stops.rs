//! A graceful shutdown of a process interrupts no stream.

use masticsill_testkit::wait_until;
use serde_json::json;

use crate::support::{Draft, End, SmallSystem, WAIT_TIMEOUT_MS};

const TOKENS: u32 = 150;

#[test]
fn a_leaving_agent_finishes_what_it_has_and_gets_nothing_new() {
    let mut system = SmallSystem::start(1, 2);
    let draft = Draft::new("leaving", TOKENS);
    let mut reader = system.open("entry-0", &draft);
    reader.read_bytes(20);
    let busy = system.busy_engine();
    let agent = format!("agent-{busy}");
    let process = &mut system.deployment.node_mut(&agent).process;
    process.request_stop().expect("the agent runs");
    assert_eq!(reader.read_to_end(), End::Done);
    assert_eq!(reader.text, draft.expected());
    let process = &mut system.deployment.node_mut(&agent).process;
    let status = process
        .wait_for_end(WAIT_TIMEOUT_MS)
        .expect("the agent ends");
    assert!(status.success());
    let before = system.started(busy);
    for number in 0..4 {
        let draft = Draft::new(&format!("after {number}"), 5);
        assert_eq!(system.open("entry-0", &draft).read_to_end(), End::Done);
    }
    let after = system.started(busy);
    assert_eq!(
        after, before,
        "an endpoint that left must get no new generation"
    );
}

#[test]
fn an_agent_whose_drain_time_ends_hands_its_stream_over() {
    let mut system = SmallSystem::start(1, 0);
    for index in 0..2 {
        system.add_engine(index, &json!({"drain_ms": 100}));
    }
    let draft = Draft::new("handed over", 400);
    let mut reader = system.open("entry-0", &draft);
    reader.read_bytes(20);
    let agent = format!("agent-{}", system.busy_engine());
    let process = &mut system.deployment.node_mut(&agent).process;
    process.request_stop().expect("the agent runs");
    assert_eq!(reader.read_to_end(), End::Done);
    assert_eq!(reader.text, draft.expected());
}

#[test]
fn a_leaving_entry_finishes_its_streams() {
    let mut system = SmallSystem::start(1, 1);
    let draft = Draft::new("entry leaving", TOKENS);
    let mut reader = system.open("entry-0", &draft);
    reader.read_bytes(20);
    let process = &mut system.deployment.node_mut("entry-0").process;
    process.request_stop().expect("the entry runs");
    let is_off = wait_until(WAIT_TIMEOUT_MS, || !system.deployment.is_ready("entry-0"));
    assert!(is_off, "readiness goes off first");
    assert_eq!(reader.read_to_end(), End::Done);
    assert_eq!(reader.text, draft.expected());
    let process = &mut system.deployment.node_mut("entry-0").process;
    let status = process
        .wait_for_end(WAIT_TIMEOUT_MS)
        .expect("the entry ends");
    assert!(status.success());
}

#[test]
fn a_leaving_control_replica_hands_leadership_over() {
    let mut system = SmallSystem::start(1, 1);
    let process = &mut system.deployment.node_mut("control-0").process;
    let status = process
        .terminate(WAIT_TIMEOUT_MS)
        .expect("the replica ends");
    assert!(status.success());
}
