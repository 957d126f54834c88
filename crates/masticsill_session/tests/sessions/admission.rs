//! The router's admission, queueing and refusals as seen by callers and agents.

use masticsill_types::{
    AttemptState, Class, FinishReason, GenerationId, GenerationSpec, Refusal, RefusalKind,
    RefusedOutcome,
};
use masticsill_wire::agent::StartReply;

use crate::support::{FakeSink, WAITING_MS, World, node, spec};

const STOPPED: AttemptState = AttemptState::Finished(FinishReason::Stop);
const RUNNING: AttemptState = AttemptState::Running;
/// Longer than any wait in the router's queue.
const EXPIRY_MS: u64 = 70_000;

fn numbered(number: u128) -> GenerationSpec {
    GenerationSpec {
        id: GenerationId(number),
        ..spec()
    }
}

#[test]
fn the_next_in_the_queue_starts_when_a_slot_is_free() {
    let mut world = World::without_agents();
    world.set_agents(&["a"], 1);
    let sinks = [FakeSink::new(10), FakeSink::new(10)];
    world.submit_spec(&sinks[0], numbered(1));
    let first = world.taken_start();
    world.accept(&first);
    world.submit_spec(&sinks[1], numbered(2));
    assert_eq!(world.starts(), []);
    world.push(&first, 0, &[b"a"], STOPPED);
    world.book.dispatch_queued(world.now);
    assert_eq!(world.starts(), [(node("a"), 2)]);
}

#[test]
fn a_broken_generation_goes_before_new_work() {
    let mut world = World::without_agents();
    world.set_agents(&["a", "b"], 1);
    let sinks: Vec<FakeSink> = (0..3).map(|_| FakeSink::new(10)).collect();
    let mut started = Vec::new();
    for (number, sink) in (1..).zip(&sinks[..2]) {
        world.submit_spec(sink, numbered(number));
        let start = world.taken_start();
        world.accept(&start);
        world.push(&start, 0, &[b"a"], RUNNING);
        started.push(start);
    }
    world.submit_spec(&sinks[2], numbered(3));
    world.book.agent_lost(world.now, &started[0].0);
    world.book.dispatch_queued(world.now);
    assert_eq!(world.starts(), [], "the only other slot is in use");
    world.push(&started[1], 1, &[b"b"], STOPPED);
    world.book.dispatch_queued(world.now);
    assert_eq!(world.starts(), [(started[1].0.clone(), 1)]);
}

#[test]
fn a_wait_that_is_over_is_told_truly() {
    let mut world = World::without_agents();
    world.set_agents(&["a", "b"], 1);
    let sinks: Vec<FakeSink> = (0..3).map(|_| FakeSink::new(10)).collect();
    let mut started = Vec::new();
    for (number, sink) in (1..).zip(&sinks[..2]) {
        world.submit_spec(sink, numbered(number));
        let start = world.taken_start();
        world.accept(&start);
        started.push(start);
    }
    world.submit_spec(&sinks[2], numbered(3));
    world.book.agent_lost(world.now, &started[0].0);
    // The first tick makes the agents that were tried before available again.
    world.pass(WAITING_MS / 2);
    world.pass(EXPIRY_MS);
    let failed = Some((RefusedOutcome::Failed, RefusalKind::BackEndFailed));
    assert_eq!(sinks[0].refusal(), failed, "its attempt may have run");
    assert_eq!(sinks[1].refusal(), None);
    let not_run = Some((RefusedOutcome::NotRun, RefusalKind::Overloaded));
    assert_eq!(sinks[2].refusal(), not_run);
}

#[test]
fn without_an_endpoint_a_lookup_is_refused_at_once_and_a_draft_waits_a_while() {
    let not_run = Some((RefusedOutcome::NotRun, RefusalKind::NoEndpoint));
    let cases = [(Class::InstantLookup, not_run), (Class::PatientDraft, None)];
    for (class, at_once) in cases {
        let mut world = World::without_agents();
        let sink = FakeSink::new(10);
        world.submit_spec(&sink, GenerationSpec { class, ..spec() });
        assert_eq!(sink.refusal(), at_once);
        world.pass(WAITING_MS);
        assert_eq!(sink.refusal(), not_run);
    }
}

#[test]
fn a_waiting_draft_takes_the_first_endpoint_that_comes() {
    let mut world = World::without_agents();
    let sink = FakeSink::new(10);
    world.submit(&sink);
    world.set_agents(&["a"], 4);
    world.pass(WAITING_MS / 2);
    assert_eq!(world.starts(), [(node("a"), spec().id.0)]);
}

#[test]
fn a_restarted_agent_is_used_again() {
    let mut world = World::without_agents();
    world.set_agents(&["a"], 4);
    let sink = FakeSink::new(10);
    world.submit(&sink);
    let first = world.taken_start();
    world.accept(&first);
    world.push(&first, 0, &[b"a"], RUNNING);
    world.restart_agent("a", 4);
    world.pass(WAITING_MS / 2);
    let again = world.taken_start();
    assert_eq!((&again.0, again.1.accepted.len()), (&first.0, 1));
}

#[test]
fn endpoints_that_keep_refusing_use_up_the_retries() {
    let mut world = World::new();
    let sink = FakeSink::new(10);
    world.submit(&sink);
    let busy = Refusal::not_run(RefusalKind::Overloaded, "no room");
    let mut attempts = 0;
    while sink.refusal().is_none() {
        for started in world.started() {
            attempts += 1;
            world.reply(&started, &StartReply::Refused(busy.clone()));
        }
        world.pass(100);
    }
    let not_run = RefusedOutcome::NotRun;
    assert_eq!(sink.refusal().map(|told| told.0), Some(not_run));
    assert!(attempts <= 12, "{attempts} attempts");
}

#[test]
fn a_short_gap_in_a_long_wait_ends_nothing() {
    let mut world = World::without_agents();
    world.set_agents(&["a", "b"], 1);
    let sinks = [FakeSink::new(10), FakeSink::new(10)];
    let mut started = Vec::new();
    for (number, sink) in (1..).zip(&sinks) {
        world.submit_spec(sink, numbered(number));
        let start = world.taken_start();
        world.accept(&start);
        started.push(start);
    }
    world.book.agent_lost(world.now, &started[0].0);
    for _ in 0..4 {
        world.pass(WAITING_MS / 2);
    }
    let other = started[1].0.clone();
    world.book.agent_lost(world.now, &other);
    world.pass(WAITING_MS / 2);
    world.book.agent_reachable(&other);
    world.pass(WAITING_MS / 2);
    assert_eq!(sinks.map(|sink| sink.refusal()), [None, None]);
    assert_eq!(
        world.starts().len(),
        1,
        "expected one start in the slot that is reachable again"
    );
}
