//! Callers that disconnect, reconnect, or reconnect through another entry node.

use masticsill_session::{Action, HolderHint, Position, SearchResult};
use masticsill_types::{AttemptState, Lineage, RefusalKind, RefusedOutcome};
use masticsill_wire::agent::{AttachReply, AttachRequest};

use assert_matches::assert_matches;

use crate::support::{FakeSink, REATTACH_MS, WAITING_MS, World, node, spec};

const RUNNING: AttemptState = AttemptState::Running;

fn follow_two_tokens(world: &mut World, sink: &FakeSink) -> crate::support::Started {
    world.submit(sink);
    let started = world.taken_start();
    world.accept(&started);
    world.push(&started, 0, &[b"a", b"b"], RUNNING);
    started
}

/// The request of another entry node to which the caller reconnects at a position.
fn ask_for(position: Position, nonce: u32) -> AttachRequest {
    AttachRequest {
        entry: node("other"),
        id: position.id,
        next_index: position.next_index,
        nonce,
        seen: position.lineage,
    }
}

#[test]
fn a_returning_caller_gets_the_rest_and_the_old_connection_is_superseded() {
    let mut world = World::new();
    let sink = FakeSink::new(100);
    let started = follow_two_tokens(&mut world, &sink);
    let again = FakeSink::new(100);
    world
        .book
        .reattach(world.now, sink.position(), Box::new(again.clone()));
    world.push(&started, 2, &[b"c"], RUNNING);
    assert_eq!(again.text(), "c");
    let superseded = Some((RefusedOutcome::Failed, RefusalKind::Superseded));
    assert_eq!(sink.refusal(), superseded);
}

#[test]
fn a_position_of_another_branch_is_refused() {
    let mut world = World::new();
    let sink = FakeSink::new(100);
    follow_two_tokens(&mut world, &sink);
    let mut position = sink.position();
    position.lineage = Lineage::first(999);
    let again = FakeSink::new(100);
    world
        .book
        .reattach(world.now, position, Box::new(again.clone()));
    let lost = Some((RefusedOutcome::Failed, RefusalKind::RecordLost));
    assert_eq!(again.refusal(), lost);
}

#[test]
fn a_generation_without_its_caller_is_cancelled_after_a_while() {
    let mut world = World::new();
    let sink = FakeSink::new(100);
    follow_two_tokens(&mut world, &sink);
    sink.close();
    world.pass(20);
    world.pass(REATTACH_MS / 2);
    assert_eq!(world.book.take_actions(), []);
    world.pass(REATTACH_MS);
    assert_matches!(world.book.take_actions().as_slice(), [Action::Cancel(_, _)]);
}

#[test]
fn a_released_generation_is_owned_by_one_entry_only() {
    let mut world = World::new();
    let sink = FakeSink::new(100);
    let started = follow_two_tokens(&mut world, &sink);
    let position = sink.position();
    let request = ask_for(position, 8);
    let reply = world.book.release(world.now, &request);
    world.push(&started, 2, &[b"c"], RUNNING);
    assert_eq!(sink.text(), "ab", "nothing is delivered after the release");
    assert_matches!(
        world.book.release(world.now, &request),
        AttachReply::Unknown
    );

    let AttachReply::Attached(snapshot) = reply else {
        panic!("expected the record to be released");
    };
    let mut other = World::new();
    let again = FakeSink::new(100);
    other
        .book
        .reattach(other.now, position, Box::new(again.clone()));
    assert_matches!(other.book.take_actions().as_slice(), [Action::Search(_)]);
    other
        .book
        .search_finished(other.now, position.id, SearchResult::AtEntry(*snapshot));
    let resumed = other.taken_start();
    assert_eq!(resumed.1.accepted.len(), 2);
    other.accept(&resumed);
    other.push(&resumed, 2, &[b"c"], RUNNING);
    assert_eq!(again.text(), "c");
}

#[test]
fn a_record_that_nobody_holds_is_told_at_once() {
    let mut world = World::new();
    let sink = FakeSink::new(100);
    follow_two_tokens(&mut world, &sink);
    let position = sink.position();
    let mut other = World::new();
    let again = FakeSink::new(100);
    other
        .book
        .reattach(other.now, position, Box::new(again.clone()));
    other
        .book
        .search_finished(other.now, spec().id, SearchResult::NotFound);
    let lost = Some((RefusedOutcome::Failed, RefusalKind::RecordLost));
    assert_eq!(again.refusal(), lost);
}

#[test]
fn a_caller_that_returns_after_a_refusal_is_refused_again_at_once() {
    let mut world = World::new();
    let sink = FakeSink::new(100);
    follow_two_tokens(&mut world, &sink);
    let position = sink.position();
    for agent in ["a", "b"] {
        world.book.agent_lost(world.now, &node(agent));
    }
    world.pass(WAITING_MS);
    let refusal = sink.refusal();
    assert_matches!(refusal, Some((RefusedOutcome::Failed, _)));
    let again = FakeSink::new(100);
    world
        .book
        .reattach(world.now, position, Box::new(again.clone()));
    assert_eq!(again.refusal(), refusal);
}

#[test]
fn a_release_does_not_end_the_attempt_that_its_new_owner_goes_on_with() {
    let mut world = World::new();
    let sink = FakeSink::new(100);
    follow_two_tokens(&mut world, &sink);
    let position = sink.position();
    let request = ask_for(position, u32::MAX);
    assert_matches!(
        world.book.release(world.now, &request),
        AttachReply::Attached(_)
    );
    let actions = world.book.take_actions();
    assert_matches!(actions.as_slice(), [Action::Unfollow(_, _)]);
}

#[test]
fn a_position_names_the_agent_that_runs_the_generation() {
    let mut world = World::new();
    let sink = FakeSink::new(100);
    let started = follow_two_tokens(&mut world, &sink);
    let position = sink.position();
    assert_eq!(position.holder, HolderHint::from(&started.0));
    assert_eq!(position.to_string().parse(), Ok(position));
}

#[test]
fn a_record_found_for_one_position_does_not_continue_another() {
    let mut world = World::new();
    let sink = FakeSink::new(100);
    follow_two_tokens(&mut world, &sink);
    let position = sink.position();
    let request = ask_for(position, 8);
    let AttachReply::Attached(snapshot) = world.book.release(world.now, &request) else {
        panic!("expected the record to be released");
    };
    let mut other = World::new();
    let sinks = [FakeSink::new(100), FakeSink::new(100)];
    let mut elsewhere = position;
    elsewhere.lineage = Lineage::first(999);
    for (sink, position) in sinks.iter().zip([position, elsewhere]) {
        other
            .book
            .reattach(other.now, position, Box::new(sink.clone()));
    }
    other
        .book
        .search_finished(other.now, position.id, SearchResult::AtEntry(*snapshot));
    let lost = Some((RefusedOutcome::Failed, RefusalKind::RecordLost));
    assert_eq!(
        sinks[1].refusal(),
        lost,
        "this caller received tokens of another lineage"
    );
    assert_eq!(sinks[1].text(), "");
}
