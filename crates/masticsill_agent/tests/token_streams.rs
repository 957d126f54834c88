//! Token streams from the engine through the agent to an entry.

mod support;

use assert_matches::assert_matches;
use masticsill_generation::Record;
use masticsill_types::{
    AttemptFailure, AttemptState, EndpointKind, FinishReason, TokenIndex, VersionId,
};
use masticsill_wire::agent::{
    AttachReply, AttachRequest, CancelRequest, ProgressState, StartReply,
};

use support::{TestAgent, TestEntry, complete_answer, context, engine, node, spec, wait_for};

#[test]
fn pulled_answer_equals_the_engines_answer() {
    let engine = engine(|_| {});
    let agent = TestAgent::for_engine(&engine);
    let entry = TestEntry::connect(&agent);
    let mut record = Record::new(spec(1, 40), 5);
    assert_eq!(entry.start(&record), StartReply::Accepted);
    assert_matches!(entry.pull_to_end(&mut record), AttemptState::Finished(_));
    assert_eq!(record.tokens(), complete_answer(record.spec()));
    assert_eq!(entry.start(&record), StartReply::Accepted);
    assert_eq!(
        engine.stats().started,
        1,
        "a repeated start ran a second time"
    );
    agent.stop();
}

#[test]
fn many_starts_at_once_all_reach_the_engine() {
    let engine = engine(|settings| settings.slots = 200);
    let agent = TestAgent::for_engine(&engine);
    let entry = TestEntry::connect(&agent);
    let records = (100..300).map(|id| Record::new(spec(id, 5), 5));
    let mut records: Vec<Record> = records.collect();
    for record in &records {
        assert_eq!(entry.start(record), StartReply::Accepted);
    }
    for record in &mut records {
        assert_matches!(entry.pull_to_end(record), AttemptState::Finished(_));
        assert_eq!(record.tokens(), complete_answer(record.spec()));
    }
    assert_eq!(engine.stats().started, 200);
    agent.stop();
}

#[test]
fn engine_is_announced_with_its_loaded_models() {
    let engine = engine(|settings| settings.slots = 3);
    let agent = TestAgent::for_engine(&engine);
    wait_for("the models are announced", || {
        let profile = agent.announced();
        let kind = profile.map(|profile| profile.kind);
        matches!(kind, Some(EndpointKind::Engine { loaded, slots: 3, .. }) if loaded.len() == 1)
    });
    agent.stop();
}

#[test]
fn resumed_answer_equals_the_uninterrupted_one() {
    let engines = [engine(|_| {}), engine(|_| {})];
    let agents = engines.each_ref().map(TestAgent::for_engine);
    let entries = agents.each_ref().map(TestEntry::connect);
    let mut record = Record::new(spec(2, 60), 5);
    entries[0].start(&record);
    entries[0].pull_until(&mut record, |record| record.next_index() >= TokenIndex(10));
    let accepted = record.next_index();
    record.begin_attempt();
    entries[1].start(&record);
    assert_matches!(
        entries[1].pull_to_end(&mut record),
        AttemptState::Finished(_)
    );
    assert_eq!(record.tokens(), complete_answer(record.spec()));
    assert_eq!(record.lineage_start(), accepted);
    let decoded = u64::from(record.next_index().0 - accepted.0);
    assert_eq!(
        engines[1].stats().decode_steps,
        decoded,
        "accepted tokens were decoded again"
    );
    agents.into_iter().for_each(TestAgent::stop);
}

#[test]
fn attach_continues_the_run_and_fences_the_former_owner() {
    let engine = engine(|_| {});
    let agent = TestAgent::for_engine(&engine);
    let former = TestEntry::connect(&agent);
    let mut old = Record::new(spec(3, 200), 5);
    former.start(&old);
    former.pull_until(&mut old, |record| record.next_index() >= TokenIndex(5));

    let entry = TestEntry::connect(&agent);
    let request = AttachRequest {
        entry: node("entry-2"),
        id: old.id(),
        next_index: TokenIndex(3),
        nonce: 6,
        seen: old.lineage(),
    };
    let reply = entry.run(entry.client.attach(context(), request)).unwrap();
    let AttachReply::Attached(snapshot) = reply else {
        panic!("not attached");
    };
    let mut record = Record::from_snapshot(*snapshot).unwrap();
    let fenced = former.pull(&old).progress;
    assert_matches!(fenced[0].state, ProgressState::Fenced(lineage) if lineage == record.lineage());
    old.begin_attempt();
    assert_matches!(former.start(&old), StartReply::Fenced(_));

    assert_matches!(entry.pull_to_end(&mut record), AttemptState::Finished(_));
    assert_eq!(record.tokens(), complete_answer(record.spec()));
    assert_eq!(engine.stats().started, 1);
    agent.stop();
}

#[test]
fn orphaned_generation_is_cancelled_at_the_engine() {
    let engine = engine(|_| {});
    let agent = TestAgent::start(engine.address(), |limits| {
        limits.generations.orphan_ms = 300;
    });
    let entry = TestEntry::connect(&agent);
    let mut record = Record::new(spec(4, 100_000), 5);
    entry.start(&record);
    entry.pull_until(&mut record, |record| record.next_index() > TokenIndex(0));
    wait_for("the orphan is cancelled", || engine.stats().cancelled == 1);
    let end = entry.pull_to_end(&mut record);
    assert_eq!(end, AttemptState::Failed(AttemptFailure::Cancelled));
    agent.stop();
}

#[test]
fn cancelled_generation_ends_at_the_engine() {
    let engine = engine(|_| {});
    let agent = TestAgent::for_engine(&engine);
    let entry = TestEntry::connect(&agent);
    let mut record = Record::new(spec(5, 100_000), 5);
    entry.start(&record);
    entry.pull_until(&mut record, |record| record.next_index() > TokenIndex(0));
    let request = CancelRequest {
        id: record.id(),
        lineage: record.lineage(),
    };
    entry.run(entry.client.cancel(context(), request)).unwrap();
    wait_for("the run is cancelled at the engine", || {
        engine.stats().cancelled == 1
    });
    agent.stop();
}

#[test]
fn restarted_agent_knows_no_generations_and_the_engine_is_idle() {
    let engine = engine(|_| {});
    let agent = TestAgent::for_engine(&engine);
    let entry = TestEntry::connect(&agent);
    let mut record = Record::new(spec(8, 400), 5);
    entry.start(&record);
    entry.pull_until(&mut record, |record| record.next_index() >= TokenIndex(5));
    let incarnation = entry.pull(&record).incarnation;
    agent.stop();
    wait_for("the run is cancelled at the engine", || {
        engine.stats().cancelled == 1
    });

    let agent = TestAgent::for_engine(&engine);
    let entry = TestEntry::connect(&agent);
    let reply = entry.pull(&record);
    assert_eq!(reply.progress[0].state, ProgressState::Unknown);
    assert!(reply.incarnation > incarnation);
    record.begin_attempt();
    assert_eq!(entry.start(&record), StartReply::Accepted);
    assert_matches!(entry.pull_to_end(&mut record), AttemptState::Finished(_));
    assert_eq!(record.tokens(), complete_answer(record.spec()));
    agent.stop();
}

#[test]
fn missing_model_version_fails_the_attempt() {
    let engine = engine(|_| {});
    let agent = TestAgent::for_engine(&engine);
    let entry = TestEntry::connect(&agent);
    let mut spec = spec(6, 10);
    spec.target.version = VersionId::new("v9").unwrap();
    let mut record = Record::new(spec, 5);
    entry.start(&record);
    let end = entry.pull_to_end(&mut record);
    assert_eq!(end, AttemptState::Failed(AttemptFailure::VersionMissing));
    agent.stop();
}

#[test]
fn answer_ends_at_its_token_limit() {
    let engine = engine(|_| {});
    let agent = TestAgent::for_engine(&engine);
    let entry = TestEntry::connect(&agent);
    let mut record = Record::new(spec(7, 2), 5);
    entry.start(&record);
    let end = entry.pull_to_end(&mut record);
    assert_eq!(end, AttemptState::Finished(FinishReason::Length));
    agent.stop();
}
