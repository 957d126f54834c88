//! The router's admission, queueing and refusals as seen by callers and agents.

use masticsill_types::{
    AttemptState, Class, FinishReason, GenerationId, GenerationSpec, Refusal, RefusalKind,
    RefusedOutcome,
};
use masticsill_wire::agent::StartReply;

use crate::support::{FakeSink, Fixture, UNSERVED_TIMEOUT_MS, node, spec};

const STOPPED: AttemptState = AttemptState::Finished(FinishReason::Stop);
const RUNNING: AttemptState = AttemptState::Running;
/// Longer than any wait in the router's queue.
const BEYOND_QUEUE_TIMEOUT_MS: u64 = 70_000;

fn numbered(number: u128) -> GenerationSpec {
    GenerationSpec {
        id: GenerationId(number),
        ..spec()
    }
}

#[test]
fn the_next_in_the_queue_starts_when_a_slot_is_free() {
    let mut fixture = Fixture::without_agents();
    fixture.set_agents(&["a"], 1);
    let sinks = [FakeSink::new(10), FakeSink::new(10)];
    fixture.submit_spec(&sinks[0], numbered(1));
    let first = fixture.take_start();
    fixture.accept(&first);
    fixture.submit_spec(&sinks[1], numbered(2));
    assert_eq!(fixture.take_starts(), []);
    fixture.push_progress(&first, 0, &[b"a"], STOPPED);
    fixture.table.dispatch_queued(fixture.now);
    assert_eq!(fixture.take_starts(), [(node("a"), 2)]);
}

#[test]
fn interrupted_generation_resumes_before_new_work() {
    let mut fixture = Fixture::without_agents();
    fixture.set_agents(&["a", "b"], 1);
    let sinks: Vec<FakeSink> = (0..3).map(|_| FakeSink::new(10)).collect();
    let mut started = Vec::new();
    for (number, sink) in (1..).zip(&sinks[..2]) {
        fixture.submit_spec(sink, numbered(number));
        let start = fixture.take_start();
        fixture.accept(&start);
        fixture.push_progress(&start, 0, &[b"a"], RUNNING);
        started.push(start);
    }
    fixture.submit_spec(&sinks[2], numbered(3));
    fixture.table.agent_lost(fixture.now, &started[0].0);
    fixture.table.dispatch_queued(fixture.now);
    assert_eq!(fixture.take_starts(), [], "the only other slot is in use");
    fixture.push_progress(&started[1], 1, &[b"b"], STOPPED);
    fixture.table.dispatch_queued(fixture.now);
    assert_eq!(fixture.take_starts(), [(started[1].0.clone(), 1)]);
}

#[test]
fn refusal_after_a_wait_says_whether_the_generation_may_have_run() {
    let mut fixture = Fixture::without_agents();
    fixture.set_agents(&["a", "b"], 1);
    let sinks: Vec<FakeSink> = (0..3).map(|_| FakeSink::new(10)).collect();
    let mut started = Vec::new();
    for (number, sink) in (1..).zip(&sinks[..2]) {
        fixture.submit_spec(sink, numbered(number));
        let start = fixture.take_start();
        fixture.accept(&start);
        started.push(start);
    }
    fixture.submit_spec(&sinks[2], numbered(3));
    fixture.table.agent_lost(fixture.now, &started[0].0);
    // The first tick makes the agents that were tried before available again.
    fixture.advance(UNSERVED_TIMEOUT_MS / 2);
    fixture.advance(BEYOND_QUEUE_TIMEOUT_MS);
    let failed = Some((RefusedOutcome::Failed, RefusalKind::BackEndFailed));
    assert_eq!(sinks[0].refusal(), failed, "its attempt may have run");
    assert_eq!(sinks[1].refusal(), None);
    let not_run = Some((RefusedOutcome::NotRun, RefusalKind::Overloaded));
    assert_eq!(sinks[2].refusal(), not_run);
}

#[test]
fn without_an_endpoint_a_lookup_is_refused_at_once_and_a_draft_after_a_wait() {
    let not_run = Some((RefusedOutcome::NotRun, RefusalKind::NoEndpoint));
    let cases = [(Class::InstantLookup, not_run), (Class::PatientDraft, None)];
    for (class, at_once) in cases {
        let mut fixture = Fixture::without_agents();
        let sink = FakeSink::new(10);
        fixture.submit_spec(&sink, GenerationSpec { class, ..spec() });
        assert_eq!(sink.refusal(), at_once);
        fixture.advance(UNSERVED_TIMEOUT_MS);
        assert_eq!(sink.refusal(), not_run);
    }
}

#[test]
fn waiting_draft_starts_at_the_first_endpoint_that_joins() {
    let mut fixture = Fixture::without_agents();
    let sink = FakeSink::new(10);
    fixture.submit(&sink);
    fixture.set_agents(&["a"], 4);
    fixture.advance(UNSERVED_TIMEOUT_MS / 2);
    assert_eq!(fixture.take_starts(), [(node("a"), spec().id.0)]);
}

#[test]
fn a_restarted_agent_is_used_again() {
    let mut fixture = Fixture::without_agents();
    fixture.set_agents(&["a"], 4);
    let sink = FakeSink::new(10);
    fixture.submit(&sink);
    let first = fixture.take_start();
    fixture.accept(&first);
    fixture.push_progress(&first, 0, &[b"a"], RUNNING);
    fixture.restart_agent("a", 4);
    fixture.advance(UNSERVED_TIMEOUT_MS / 2);
    let restarted = fixture.take_start();
    assert_eq!((&restarted.0, restarted.1.accepted.len()), (&first.0, 1));
}

#[test]
fn attempts_at_endpoints_that_keep_refusing_are_bounded() {
    let mut fixture = Fixture::new();
    let sink = FakeSink::new(10);
    fixture.submit(&sink);
    let busy = Refusal::not_run(RefusalKind::Overloaded, "no room");
    let mut attempts = 0;
    while sink.refusal().is_none() {
        for started in fixture.take_started() {
            attempts += 1;
            fixture.reply(&started, &StartReply::Refused(busy.clone()));
        }
        fixture.advance(100);
    }
    let not_run = RefusedOutcome::NotRun;
    assert_eq!(sink.refusal().map(|refused| refused.0), Some(not_run));
    assert!(attempts <= 12, "{attempts} attempts");
}

#[test]
fn short_period_without_an_endpoint_does_not_end_a_long_wait() {
    let mut fixture = Fixture::without_agents();
    fixture.set_agents(&["a", "b"], 1);
    let sinks = [FakeSink::new(10), FakeSink::new(10)];
    let mut started = Vec::new();
    for (number, sink) in (1..).zip(&sinks) {
        fixture.submit_spec(sink, numbered(number));
        let start = fixture.take_start();
        fixture.accept(&start);
        started.push(start);
    }
    fixture.table.agent_lost(fixture.now, &started[0].0);
    for _ in 0..4 {
        fixture.advance(UNSERVED_TIMEOUT_MS / 2);
    }
    let other = started[1].0.clone();
    fixture.table.agent_lost(fixture.now, &other);
    fixture.advance(UNSERVED_TIMEOUT_MS / 2);
    fixture.table.agent_reachable(&other);
    fixture.advance(UNSERVED_TIMEOUT_MS / 2);
    assert_eq!(sinks.map(|sink| sink.refusal()), [None, None]);
    assert_eq!(
        fixture.take_starts().len(),
        1,
        "expected one start in the slot that is reachable again"
    );
}
