//! Callers that disconnect, reconnect, or reconnect through another entry node.

use masticsill_session::{Action, HolderHint, Position, SearchResult};
use masticsill_types::{AttemptState, Lineage, RefusalKind, RefusedOutcome};
use masticsill_wire::agent::{AttachReply, AttachRequest};

use assert_matches::assert_matches;

use crate::support::{FakeSink, Fixture, REATTACH_MS, UNSERVED_TIMEOUT_MS, node, spec};

const RUNNING: AttemptState = AttemptState::Running;

fn follow_two_tokens(fixture: &mut Fixture, sink: &FakeSink) -> crate::support::Started {
    fixture.submit(sink);
    let started = fixture.take_start();
    fixture.accept(&started);
    fixture.push_progress(&started, 0, &[b"a", b"b"], RUNNING);
    started
}

/// The request of another entry node to which the caller reconnects at a position.
fn attach_request(position: Position, nonce: u32) -> AttachRequest {
    AttachRequest {
        entry: node("other"),
        id: position.id,
        next_index: position.next_index,
        nonce,
        seen: position.lineage,
    }
}

#[test]
fn reconnecting_caller_gets_the_rest_and_the_old_connection_is_superseded() {
    let mut fixture = Fixture::new();
    let sink = FakeSink::new(100);
    let started = follow_two_tokens(&mut fixture, &sink);
    let returned = FakeSink::new(100);
    fixture
        .table
        .reattach(fixture.now, sink.position(), Box::new(returned.clone()));
    fixture.push_progress(&started, 2, &[b"c"], RUNNING);
    assert_eq!(returned.text(), "c");
    let superseded = Some((RefusedOutcome::Failed, RefusalKind::Superseded));
    assert_eq!(sink.refusal(), superseded);
}

#[test]
fn position_with_an_unknown_lineage_is_refused() {
    let mut fixture = Fixture::new();
    let sink = FakeSink::new(100);
    follow_two_tokens(&mut fixture, &sink);
    let mut position = sink.position();
    position.lineage = Lineage::first(999);
    let returned = FakeSink::new(100);
    fixture
        .table
        .reattach(fixture.now, position, Box::new(returned.clone()));
    let lost = Some((RefusedOutcome::Failed, RefusalKind::RecordLost));
    assert_eq!(returned.refusal(), lost);
}

#[test]
fn generation_is_cancelled_when_its_caller_does_not_reconnect_in_time() {
    let mut fixture = Fixture::new();
    let sink = FakeSink::new(100);
    follow_two_tokens(&mut fixture, &sink);
    sink.close();
    fixture.advance(20);
    fixture.advance(REATTACH_MS / 2);
    assert_eq!(fixture.table.take_actions(), []);
    fixture.advance(REATTACH_MS);
    assert_matches!(
        fixture.table.take_actions().as_slice(),
        [Action::Cancel(_, _)]
    );
}

#[test]
fn a_released_generation_is_owned_by_one_entry_only() {
    let mut fixture = Fixture::new();
    let sink = FakeSink::new(100);
    let started = follow_two_tokens(&mut fixture, &sink);
    let position = sink.position();
    let request = attach_request(position, 8);
    let reply = fixture.table.release(fixture.now, &request);
    fixture.push_progress(&started, 2, &[b"c"], RUNNING);
    assert_eq!(sink.text(), "ab", "nothing is delivered after the release");
    assert_matches!(
        fixture.table.release(fixture.now, &request),
        AttachReply::Unknown
    );

    let AttachReply::Attached(snapshot) = reply else {
        panic!("expected the record to be released");
    };
    let mut other = Fixture::new();
    let returned = FakeSink::new(100);
    other
        .table
        .reattach(other.now, position, Box::new(returned.clone()));
    assert_matches!(other.table.take_actions().as_slice(), [Action::Search(_)]);
    other
        .table
        .search_finished(other.now, position.id, SearchResult::AtEntry(*snapshot));
    let resumed = other.take_start();
    assert_eq!(resumed.1.accepted.len(), 2);
    other.accept(&resumed);
    other.push_progress(&resumed, 2, &[b"c"], RUNNING);
    assert_eq!(returned.text(), "c");
}

#[test]
fn caller_is_refused_at_once_if_no_node_holds_the_record() {
    let mut fixture = Fixture::new();
    let sink = FakeSink::new(100);
    follow_two_tokens(&mut fixture, &sink);
    let position = sink.position();
    let mut other = Fixture::new();
    let returned = FakeSink::new(100);
    other
        .table
        .reattach(other.now, position, Box::new(returned.clone()));
    other
        .table
        .search_finished(other.now, spec().id, SearchResult::NotFound);
    let lost = Some((RefusedOutcome::Failed, RefusalKind::RecordLost));
    assert_eq!(returned.refusal(), lost);
}

/// Guards against a final refusal while a node that may hold the record has not replied.
#[test]
fn caller_may_retry_if_a_node_that_may_hold_the_record_is_silent() {
    let mut fixture = Fixture::new();
    let sink = FakeSink::new(100);
    follow_two_tokens(&mut fixture, &sink);
    let position = sink.position();
    let mut other = Fixture::new();
    let returned = FakeSink::new(100);
    other
        .table
        .reattach(other.now, position, Box::new(returned.clone()));
    other
        .table
        .search_finished(other.now, position.id, SearchResult::Unsettled);
    let not_run = Some((RefusedOutcome::NotRun, RefusalKind::NoEndpoint));
    assert_eq!(returned.refusal(), not_run);
    let again = FakeSink::new(100);
    other.table.take_actions();
    other
        .table
        .reattach(other.now, position, Box::new(again.clone()));
    assert_matches!(other.table.take_actions().as_slice(), [Action::Search(_)]);
}

#[test]
fn caller_that_reconnects_after_a_refusal_is_refused_again_at_once() {
    let mut fixture = Fixture::new();
    let sink = FakeSink::new(100);
    follow_two_tokens(&mut fixture, &sink);
    let position = sink.position();
    for agent in ["a", "b"] {
        fixture.table.agent_lost(fixture.now, &node(agent));
    }
    fixture.advance(UNSERVED_TIMEOUT_MS);
    let refusal = sink.refusal();
    assert_matches!(refusal, Some((RefusedOutcome::Failed, _)));
    let returned = FakeSink::new(100);
    fixture
        .table
        .reattach(fixture.now, position, Box::new(returned.clone()));
    assert_eq!(returned.refusal(), refusal);
}

#[test]
fn release_does_not_cancel_the_attempt_that_the_new_owner_continues() {
    let mut fixture = Fixture::new();
    let sink = FakeSink::new(100);
    follow_two_tokens(&mut fixture, &sink);
    let position = sink.position();
    let request = attach_request(position, u32::MAX);
    assert_matches!(
        fixture.table.release(fixture.now, &request),
        AttachReply::Attached(_)
    );
    let actions = fixture.table.take_actions();
    assert_matches!(actions.as_slice(), [Action::Unfollow(_, _)]);
}

#[test]
fn a_position_names_the_agent_that_runs_the_generation() {
    let mut fixture = Fixture::new();
    let sink = FakeSink::new(100);
    let started = follow_two_tokens(&mut fixture, &sink);
    let position = sink.position();
    assert_eq!(position.holder, HolderHint::from(&started.0));
    assert_eq!(position.to_string().parse(), Ok(position));
}

#[test]
fn a_record_found_for_one_position_does_not_continue_another() {
    let mut fixture = Fixture::new();
    let sink = FakeSink::new(100);
    follow_two_tokens(&mut fixture, &sink);
    let position = sink.position();
    let request = attach_request(position, 8);
    let AttachReply::Attached(snapshot) = fixture.table.release(fixture.now, &request) else {
        panic!("expected the record to be released");
    };
    let mut other = Fixture::new();
    let sinks = [FakeSink::new(100), FakeSink::new(100)];
    let mut other_position = position;
    other_position.lineage = Lineage::first(999);
    for (sink, position) in sinks.iter().zip([position, other_position]) {
        other
            .table
            .reattach(other.now, position, Box::new(sink.clone()));
    }
    other
        .table
        .search_finished(other.now, position.id, SearchResult::AtEntry(*snapshot));
    let lost = Some((RefusedOutcome::Failed, RefusalKind::RecordLost));
    assert_eq!(
        sinks[1].refusal(),
        lost,
        "this caller received tokens of another lineage"
    );
    assert_eq!(sinks[1].text(), "");
}
