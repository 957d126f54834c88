//! Callers that resume their streams through another entry.

use std::thread;
use std::time::Duration;

use masticsill_testkit::{ProxyMode, wait_until};

use crate::support::{Draft, End, Reader, SmallSystem, WAIT_TIMEOUT_MS};

const TOKENS: u32 = 150;
const OUTAGE: Duration = Duration::from_millis(1_500);

#[test]
fn a_lost_entrys_stream_is_resumed_through_another_entry() {
    let mut system = SmallSystem::start(2, 2);
    let draft = Draft::new("lost entry", TOKENS);
    let mut reader = system.open("entry-0", &draft);
    reader.read_bytes(20);
    system.deployment.node_mut("entry-0").process.kill();
    reader.read_to_end();
    let mut again = system.reopen("entry-1", &draft, &reader.last_id);
    assert_eq!(again.read_to_end(), End::Done);
    assert_eq!(reader.text + &again.text, draft.expected());
    let started = system.started(0) + system.started(1);
    assert_eq!(
        started, 1,
        "the running attempt must be continued, not started again"
    );
}

#[test]
fn a_resume_at_another_entry_takes_the_generation_over() {
    let system = SmallSystem::start(2, 2);
    let draft = Draft::new("moved caller", TOKENS);
    let mut reader = system.open("entry-0", &draft);
    reader.read_bytes(20);
    let seen = reader.last_id.clone();
    let text = reader.text.clone();
    let mut again = system.reopen("entry-1", &draft, &seen);
    assert_eq!(again.read_to_end(), End::Done);
    assert_eq!(text + &again.text, draft.expected());
    assert_eq!(reader.read_to_end(), End::Refused("superseded".to_owned()));
    assert!(draft.expected().starts_with(&reader.text));
}

#[test]
fn of_two_concurrent_resumes_only_one_continues() {
    let mut system = SmallSystem::start(3, 2);
    let draft = Draft::new("raced", TOKENS);
    let mut reader = system.open("entry-0", &draft);
    reader.read_bytes(20);
    system.deployment.node_mut("entry-0").process.kill();
    reader.read_to_end();
    let mut readers =
        ["entry-1", "entry-2"].map(|entry| system.reopen(entry, &draft, &reader.last_id));
    let ends = readers.each_mut().map(Reader::read_to_end);
    let done = ends.iter().filter(|end| **end == End::Done).count();
    assert_eq!(done, 1, "one of them owns the generation: {ends:?}");
    for (end, again) in ends.iter().zip(&readers) {
        let whole = reader.text.clone() + &again.text;
        match end {
            End::Done => assert_eq!(whole, draft.expected()),
            End::Cut | End::Refused(_) => assert!(draft.expected().starts_with(&whole)),
        }
    }
}

/// Guards against a timeout that counts as the reply of a node without a record.
#[test]
fn a_record_is_not_lost_while_its_agent_is_silent() {
    resume_during_outage(ProxyMode::BlackHole(None));
}

/// Guards against a failed connection that counts as the reply of a node without a record.
#[test]
fn a_record_is_not_lost_while_its_agent_is_cut_off() {
    resume_during_outage(ProxyMode::Cut);
}

/// Guards against a final refusal while a node that may hold the record has not replied.
#[test]
fn a_resume_may_be_repeated_while_the_agent_stays_silent() {
    let mut system = SmallSystem::start(2, 2);
    let draft = Draft::new("long outage", TOKENS);
    let mut reader = system.open("entry-0", &draft);
    reader.read_bytes(20);
    let agent = format!("agent-{}", system.busy_engine());
    system.deployment.node_mut("entry-0").process.kill();
    reader.read_to_end();
    let proxy = &system.deployment.node(&agent).proxy;
    proxy.set_mode(ProxyMode::BlackHole(None));
    let refused = system.reopen("entry-1", &draft, &reader.last_id);
    assert_eq!(refused.status(), 503, "the agent may have the record");
    proxy.set_mode(ProxyMode::Pass);
    let mut again = system.reopen("entry-1", &draft, &reader.last_id);
    assert_eq!(again.read_to_end(), End::Done);
    assert_eq!(reader.text + &again.text, draft.expected());
}

/// Kills the entry and resumes through another one while the agent can't be reached.
fn resume_during_outage(mode: ProxyMode) {
    let mut system = SmallSystem::start(2, 2);
    let draft = Draft::new("outage", TOKENS);
    let mut reader = system.open("entry-0", &draft);
    reader.read_bytes(20);
    let agent = format!("agent-{}", system.busy_engine());
    system.deployment.node_mut("entry-0").process.kill();
    reader.read_to_end();
    let proxy = &system.deployment.node(&agent).proxy;
    proxy.set_mode(mode);
    let mut again = thread::scope(|scope| {
        scope.spawn(|| {
            thread::sleep(OUTAGE);
            proxy.set_mode(ProxyMode::Pass);
        });
        system.reopen("entry-1", &draft, &reader.last_id)
    });
    assert_eq!(again.status(), 200, "the agent has the record");
    assert_eq!(again.read_to_end(), End::Done);
    assert_eq!(reader.text + &again.text, draft.expected());
}

#[test]
fn a_resume_with_another_idempotency_key_is_refused() {
    let system = SmallSystem::start(1, 1);
    let draft = Draft::new("secret", TOKENS);
    let mut reader = system.open("entry-0", &draft);
    reader.read_bytes(20);
    let other = Draft::new("thief", TOKENS);
    let refused = system.reopen("entry-0", &other, &reader.last_id);
    assert_eq!(refused.status(), 422);
    assert_eq!(reader.read_to_end(), End::Done);
}

#[test]
fn a_generation_is_cancelled_when_its_caller_does_not_return() {
    let mut system = SmallSystem::start(0, 1);
    let extra = serde_json::json!({"reattach_ms": 300});
    system.deployment.start_entry("entry-9", "zone-0", &extra);
    system.deployment.await_models("entry-9", 1);
    let draft = Draft::new("left", 30_000);
    let mut reader = system.open("entry-9", &draft);
    reader.read_bytes(20);
    drop(reader);
    let is_idle = wait_until(WAIT_TIMEOUT_MS, || system.running(0) == 0);
    assert!(is_idle, "the generation is cancelled");
}
