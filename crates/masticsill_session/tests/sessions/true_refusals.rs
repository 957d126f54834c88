//! A refusal has the outcome `NotRun` only if no engine can have started the generation.

use masticsill_types::{Refusal, RefusalKind, RefusedOutcome};
use masticsill_wire::agent::StartReply;

use crate::support::{FakeSink, Fixture, UNSERVED_TIMEOUT_MS};

fn no_free_slot() -> StartReply {
    StartReply::Refused(Refusal::not_run(RefusalKind::Overloaded, "no slot"))
}

#[test]
fn refused_by_every_agent_is_not_run() {
    let mut fixture = Fixture::new();
    let sink = FakeSink::new(10);
    fixture.submit(&sink);
    for _ in 0..2 {
        let started = fixture.take_start();
        fixture.reply(&started, &no_free_slot());
    }
    fixture
        .table
        .agent_lost(fixture.now, &crate::support::node("a"));
    fixture
        .table
        .agent_lost(fixture.now, &crate::support::node("b"));
    fixture.advance(UNSERVED_TIMEOUT_MS);
    let not_run = Some((RefusedOutcome::NotRun, RefusalKind::NoEndpoint));
    assert_eq!(sink.refusal(), not_run);
}

#[test]
fn agent_lost_after_the_start_was_sent_is_failed() {
    let mut fixture = Fixture::new();
    let sink = FakeSink::new(10);
    fixture.submit(&sink);
    let started = fixture.take_start();
    fixture.table.agent_lost(fixture.now, &started.0);
    let second = fixture.take_start();
    fixture.reply(&second, &no_free_slot());
    fixture.table.agent_lost(fixture.now, &second.0);
    fixture.advance(UNSERVED_TIMEOUT_MS);
    let failed = Some((RefusedOutcome::Failed, RefusalKind::BackEndFailed));
    assert_eq!(sink.refusal(), failed);
}

#[test]
fn full_table_refuses_new_sessions_at_once() {
    let mut fixture = Fixture::new();
    let sinks: Vec<FakeSink> = (0..5).map(|_| FakeSink::new(10)).collect();
    for (index, sink) in sinks.iter().enumerate() {
        let mut spec = crate::support::spec();
        spec.id.0 += index as u128;
        let submission = masticsill_session::Submission {
            sink: Box::new(sink.clone()),
            spec,
        };
        fixture.table.submit(fixture.now, submission, 7);
    }
    let overloaded = Some((RefusedOutcome::NotRun, RefusalKind::Overloaded));
    assert_eq!(sinks[4].refusal(), overloaded);
    assert_eq!(sinks[3].refusal(), None);
}
