//! A refusal has the outcome `NotRun` only if no engine can have started the generation.

use masticsill_types::{Refusal, RefusalKind, RefusedOutcome};
use masticsill_wire::agent::StartReply;

use crate::support::{FakeSink, WAITING_MS, World};

fn full() -> StartReply {
    StartReply::Refused(Refusal::not_run(RefusalKind::Overloaded, "no slot"))
}

#[test]
fn refused_everywhere_is_not_run() {
    let mut world = World::new();
    let sink = FakeSink::new(10);
    world.submit(&sink);
    for _ in 0..2 {
        let started = world.taken_start();
        world.reply(&started, &full());
    }
    world.book.agent_lost(world.now, &crate::support::node("a"));
    world.book.agent_lost(world.now, &crate::support::node("b"));
    world.pass(WAITING_MS);
    let not_run = Some((RefusedOutcome::NotRun, RefusalKind::NoEndpoint));
    assert_eq!(sink.refusal(), not_run);
}

#[test]
fn lost_after_the_start_was_sent_is_failed() {
    let mut world = World::new();
    let sink = FakeSink::new(10);
    world.submit(&sink);
    let started = world.taken_start();
    world.book.agent_lost(world.now, &started.0);
    let second = world.taken_start();
    world.reply(&second, &full());
    world.book.agent_lost(world.now, &second.0);
    world.pass(WAITING_MS);
    let failed = Some((RefusedOutcome::Failed, RefusalKind::BackEndFailed));
    assert_eq!(sink.refusal(), failed);
}

#[test]
fn a_full_book_refuses_at_once() {
    let mut world = World::new();
    let sinks: Vec<FakeSink> = (0..5).map(|_| FakeSink::new(10)).collect();
    for (index, sink) in sinks.iter().enumerate() {
        let mut spec = crate::support::spec();
        spec.id.0 += index as u128;
        let submission = masticsill_session::Submission {
            sink: Box::new(sink.clone()),
            spec,
        };
        world.book.submit(world.now, submission, 7);
    }
    let overloaded = Some((RefusedOutcome::NotRun, RefusalKind::Overloaded));
    assert_eq!(sinks[4].refusal(), overloaded);
    assert_eq!(sinks[3].refusal(), None);
}
