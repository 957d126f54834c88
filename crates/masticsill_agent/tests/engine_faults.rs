//! Behaviour of the agent when its engine fails, freezes, thaws or is merely slow.

mod support;

use assert_matches::assert_matches;
use masticsill_generation::Record;
use masticsill_testkit::FakeEngine;
use masticsill_types::{AttemptFailure, AttemptState, EndpointKind, RefusalKind, TokenIndex};
use masticsill_wire::agent::StartReply;

use support::{TestAgent, TestEntry, complete_answer, engine, spec, wait_for};

fn started(engine: &FakeEngine, id: u128, max_tokens: u32) -> (TestAgent, TestEntry, Record) {
    let agent = TestAgent::for_engine(engine);
    let entry = TestEntry::connect(&agent);
    let mut record = Record::new(spec(id, max_tokens), 5);
    entry.start(&record);
    entry.pull_until(&mut record, |record| record.next_index() >= TokenIndex(5));
    (agent, entry, record)
}

fn announces_models(agent: &TestAgent) -> bool {
    let profile = agent.announced();
    let kind = profile.map(|profile| profile.kind);
    matches!(kind, Some(EndpointKind::Engine { loaded, .. }) if !loaded.is_empty())
}

#[test]
fn lost_engine_fails_its_attempt_and_is_no_longer_announced() {
    let engine = engine(|_| {});
    let (agent, entry, mut record) = started(&engine, 1, 100_000);
    wait_for("the engine is announced with its models", || {
        announces_models(&agent)
    });
    drop(engine);
    let end = entry.pull_to_end(&mut record);
    assert_eq!(end, AttemptState::Failed(AttemptFailure::EngineLost));
    wait_for("the engine is announced without models", || {
        !announces_models(&agent)
    });
    record.begin_attempt();
    let refused = entry.start(&record);
    assert_matches!(
        refused,
        StartReply::Refused(refusal) if refusal.kind == RefusalKind::NoEndpoint
    );
    agent.stop();
}

#[test]
fn frozen_engine_fails_its_attempt_and_its_late_tokens_are_dropped() {
    let engine = engine(|_| {});
    let (agent, entry, mut record) = started(&engine, 2, 600);
    wait_for("the engine is announced with its models", || {
        announces_models(&agent)
    });
    engine.freeze(6_000);
    let end = entry.pull_to_end(&mut record);
    assert_eq!(end, AttemptState::Failed(AttemptFailure::EngineFrozen));
    wait_for("the engine is announced without models", || {
        !announces_models(&agent)
    });
    let accepted = record.next_index();

    record.begin_attempt();
    wait_for(
        "the engine thaws and the agent accepts the next attempt",
        || entry.start(&record) == StartReply::Accepted,
    );
    assert_eq!(record.next_index(), accepted);
    assert_matches!(entry.pull_to_end(&mut record), AttemptState::Finished(_));
    assert_eq!(record.tokens(), complete_answer(record.spec()));
    assert!(announces_models(&agent));
    agent.stop();
}

#[test]
fn long_prefill_with_a_full_batch_is_not_a_freeze() {
    let engine = engine(|settings| settings.slots = 1);
    engine.lengthen_prefill(3_000);
    let agent = TestAgent::for_engine(&engine);
    let entry = TestEntry::connect(&agent);
    let mut slow = Record::new(spec(3, 20), 5);
    let mut waiting = Record::new(spec(4, 20), 5);
    entry.start(&slow);
    wait_for("the slow generation has the slot", || {
        engine.stats().running == 1
    });
    entry.start(&waiting);
    for record in [&mut slow, &mut waiting] {
        assert_matches!(entry.pull_to_end(record), AttemptState::Finished(_));
        assert_eq!(record.tokens(), complete_answer(record.spec()));
    }
    assert_eq!(engine.stats().started, 2);
    agent.stop();
}
