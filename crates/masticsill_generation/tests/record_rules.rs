//! Which tokens a record accepts and which callers it resumes.

mod common;

use assert_matches::assert_matches;
use masticsill_generation::{AppendOutcome, Record, RecordError};
use masticsill_types::{AttemptFailure, AttemptState, FinishReason, Lineage, TokenIndex};

use common::{node, record, tokens};

fn taken(accepted: usize, dropped: usize) -> AppendOutcome {
    AppendOutcome { accepted, dropped }
}

#[test]
fn appends_only_contiguous_tokens_of_the_current_lineage() {
    let mut record = record();
    let lineage = record.lineage();
    let cases = [
        (lineage, 0, 0..3, taken(3, 0)),
        (lineage, 1, 1..5, taken(2, 2)),
        (lineage, 0, 0..2, taken(0, 2)),
        (lineage, 6, 6..8, taken(0, 2)),
        (lineage.next_attempt(), 5, 5..6, taken(0, 1)),
        (Lineage::first(12), 5, 5..6, taken(0, 1)),
    ];
    for (lineage, first, ids, expected) in cases {
        let outcome = record.append_tokens(lineage, TokenIndex(first), tokens(ids));
        assert_eq!(outcome, expected, "tokens from {first}");
    }
    assert_eq!(record.tokens(), tokens(0..5));
}

#[test]
fn attempt_ends_once_and_only_after_its_tokens() {
    let mut record = record();
    let lineage = record.lineage();
    let end = AttemptState::Finished(FinishReason::Stop);
    assert!(!record.end_attempt(lineage, TokenIndex(2), end));
    record.append_tokens(lineage, TokenIndex(0), tokens(0..2));
    assert!(!record.end_attempt(lineage.next_attempt(), TokenIndex(2), end));
    assert!(record.end_attempt(lineage, TokenIndex(2), end));
    let late = AttemptState::Failed(AttemptFailure::EngineLost);
    assert!(!record.end_attempt(lineage, TokenIndex(2), late));
    assert_eq!(
        record.append_tokens(lineage, TokenIndex(2), tokens(2..3)),
        taken(0, 1)
    );
}

#[test]
fn resumes_only_callers_of_its_own_branch() {
    let mut record = record();
    let first = record.lineage();
    record.append_tokens(first, TokenIndex(0), tokens(0..4));
    let second = record.begin_attempt();
    record.append_tokens(second, TokenIndex(4), tokens(4..6));
    let third = record.change_owner(99);
    let cases = [
        (first, 0, true),
        (first, 4, true),
        (first, 5, false),
        (second, 3, false),
        (second, 4, true),
        (second, 6, true),
        (third, 6, true),
        (third, 7, false),
        (second.next_attempt(), 6, false),
        (second.next_owner(98), 6, false),
    ];
    for (seen, next, expected) in cases {
        let can_resume = record.can_resume(seen, TokenIndex(next));
        assert_eq!(can_resume, expected, "{seen} at {next}");
    }
    assert_eq!(record.lineage_before(TokenIndex(4)), first);
    assert_eq!(record.lineage_before(TokenIndex(5)), second);
}

#[test]
fn inconsistent_records_from_peers_are_rejected() {
    let mut record = record();
    record.append_tokens(record.lineage(), TokenIndex(0), tokens(0..4));
    assert_eq!(Record::from_snapshot(record.snapshot()), Ok(record.clone()));
    let again = record.start_request(node("entry-1"));
    assert_matches!(Record::from_start(again), Err(RecordError::StartedBefore));
    record.begin_attempt();
    assert_matches!(
        Record::from_start(record.start_request(node("entry-1"))),
        Ok(_)
    );
    let mut snapshot = record.snapshot();
    snapshot.tokens.pop();
    assert_matches!(
        Record::from_snapshot(snapshot),
        Err(RecordError::MissingTokens)
    );
    let mut snapshot = record.snapshot();
    snapshot.history.reverse();
    assert_matches!(
        Record::from_snapshot(snapshot),
        Err(RecordError::HistoryStart)
    );
}
