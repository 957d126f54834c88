//! Starts, pulls, attaches, cancels and retention in an agent's generation table.

mod common;

use assert_matches::assert_matches;
use masticsill_generation::{
    EngineCommand, EngineEvent, GenerationLimits, GenerationTable, PullAnswer, Record, RunNumber,
};
use masticsill_types::{
    AttemptFailure, AttemptState, ClockMs, FinishReason, Lineage, RefusalKind, TokenIndex,
};
use masticsill_wire::agent::{
    AttachReply, AttachRequest, CancelRequest, Progress, ProgressState, PullCursor, PullRequest,
    StartReply,
};

use common::{LIMITS, node, record, spec, tokens};

const NOW: ClockMs = ClockMs(100);
const FIRST_RUN: RunNumber = RunNumber(1);

fn start(table: &mut GenerationTable, record: &Record) -> StartReply {
    table.start(NOW, record.start_request(node("entry-1")))
}

fn started() -> (GenerationTable, Record) {
    let mut table = GenerationTable::new(LIMITS);
    let record = record();
    assert_eq!(start(&mut table, &record), StartReply::Accepted);
    (table, record)
}

fn emit(table: &mut GenerationTable, run: RunNumber, ids: std::ops::Range<u32>) {
    let event = EngineEvent::Tokens {
        finish: None,
        first_index: TokenIndex(ids.start),
        tokens: tokens(ids),
    };
    table.apply_event(NOW, run, event);
}

fn pull(table: &mut GenerationTable, lineage: Lineage, next_index: u32) -> PullAnswer {
    let cursor = PullCursor {
        id: record().id(),
        lineage,
        next_index: TokenIndex(next_index),
    };
    let request = PullRequest {
        cursors: vec![cursor],
        entry: node("entry-1"),
        wait_ms: 200,
    };
    table.pull(NOW, &request)
}

fn ready_progress(answer: PullAnswer) -> Progress {
    match answer {
        PullAnswer::Ready(mut updates) => updates.remove(0),
        PullAnswer::Waiting(number) => panic!("{number:?} waits"),
    }
}

fn attach(seen: Lineage, next_index: u32, nonce: u32) -> AttachRequest {
    AttachRequest {
        entry: node("entry-2"),
        id: record().id(),
        next_index: TokenIndex(next_index),
        nonce,
        seen,
    }
}

#[test]
fn repeated_start_runs_once_and_an_older_one_is_fenced() {
    let (mut table, mut record) = started();
    let first = record.clone();
    assert_eq!(start(&mut table, &record), StartReply::Accepted);
    assert_matches!(&table.take_commands()[..], [EngineCommand::Run(_)]);

    let second = record.begin_attempt();
    assert_eq!(start(&mut table, &record), StartReply::Accepted);
    assert_matches!(
        &table.take_commands()[..],
        [EngineCommand::Cancel(FIRST_RUN), EngineCommand::Run(_)]
    );
    assert_eq!(start(&mut table, &first), StartReply::Fenced(second));
    emit(&mut table, FIRST_RUN, 0..2);
    assert_eq!(table.counts().late_events, 1);
}

#[test]
fn start_after_its_record_expired_does_not_run_again() {
    let (mut table, mut record) = started();
    let first = record.clone();
    record.begin_attempt();
    start(&mut table, &record);
    let end = EngineEvent::Failed(AttemptFailure::EngineLost);
    table.apply_event(NOW, RunNumber(2), end);
    table.tick(NOW + LIMITS.retention_ms);
    assert!(table.is_empty());
    let _ = table.take_commands();
    assert_eq!(start(&mut table, &record), StartReply::Accepted);
    assert_matches!(start(&mut table, &first), StartReply::Fenced(_));
    assert_eq!(table.take_commands(), []);
}

#[test]
fn pull_returns_updates_at_once_or_waits_for_them() {
    let (mut table, record) = started();
    let lineage = record.lineage();
    let PullAnswer::Waiting(number) = pull(&mut table, lineage, 0) else {
        panic!("a pull without new tokens was answered at once");
    };
    assert_eq!(table.take_due_pulls(NOW), []);
    emit(&mut table, FIRST_RUN, 0..2);
    let due = table.take_due_pulls(NOW);
    assert_matches!(
        &due[..],
        [(due, updates)] if *due == number && updates[0].tokens == tokens(0..2)
    );
    assert_eq!(
        ready_progress(pull(&mut table, lineage, 1)).tokens,
        tokens(1..2)
    );
    assert_matches!(pull(&mut table, lineage, 2), PullAnswer::Waiting(_));
    assert_eq!(table.take_due_pulls(NOW + 199), []);
    let heartbeat = table.take_due_pulls(NOW + 200);
    assert_matches!(&heartbeat[..], [(_, updates)] if updates.is_empty());
}

#[test]
fn large_pull_batches_tokens_but_delivers_ends_at_once() {
    let mut table = GenerationTable::new(LIMITS);
    let records = (0..20).map(|id| Record::new(spec(id, 100), 1));
    let records: Vec<Record> = records.collect();
    let cursor = |record: &Record| PullCursor {
        id: record.id(),
        lineage: record.lineage(),
        next_index: TokenIndex(0),
    };
    for record in &records {
        start(&mut table, record);
    }
    let request = PullRequest {
        cursors: records.iter().map(cursor).collect(),
        entry: node("entry-1"),
        wait_ms: 200,
    };
    table.pull(NOW, &request);
    emit(&mut table, RunNumber(3), 0..1);
    emit(&mut table, RunNumber(4), 0..1);
    assert_eq!(table.take_due_pulls(NOW), []);
    let due = table.take_due_pulls(NOW + LIMITS.batch_delay_ms);
    assert_eq!(due[0].1.len(), 2);

    table.pull(
        NOW,
        &PullRequest {
            cursors: request.cursors[5..].to_vec(),
            ..request
        },
    );
    table.apply_event(
        NOW,
        RunNumber(8),
        EngineEvent::Failed(AttemptFailure::EngineLost),
    );
    assert_eq!(table.take_due_pulls(NOW).len(), 1);
}

#[test]
fn attach_fences_the_former_owner_permanently() {
    let (mut table, record) = started();
    let former = record.lineage();
    emit(&mut table, FIRST_RUN, 0..4);
    assert_matches!(pull(&mut table, former, 4), PullAnswer::Waiting(_));
    let request = attach(former, 2, 50);
    let AttachReply::Attached(snapshot) = table.attach(NOW, &request) else {
        panic!("not attached");
    };
    let current = snapshot.history[1].lineage;
    assert_eq!(snapshot.tokens, tokens(0..4));
    let due = table.take_due_pulls(NOW);
    assert_eq!(due[0].1[0].state, ProgressState::Fenced(current));

    let repeated = table.attach(NOW, &request);
    assert_eq!(repeated, AttachReply::Attached(snapshot));
    assert_matches!(
        table.attach(NOW, &attach(former, 2, 51)),
        AttachReply::Attached(_)
    );
    assert_eq!(table.attach(NOW, &request), AttachReply::Behind);
    let stranger = Lineage::first(77);
    assert_eq!(
        table.attach(NOW, &attach(stranger, 2, 52)),
        AttachReply::Behind
    );
    assert_eq!(
        table.attach(NOW, &attach(former, 5, 53)),
        AttachReply::Behind
    );
}

#[test]
fn gap_or_too_many_tokens_end_the_run() {
    let (mut table, record) = started();
    emit(&mut table, FIRST_RUN, 1..3);
    let lost = ProgressState::Attempt(AttemptState::Failed(AttemptFailure::EngineLost));
    assert_eq!(
        ready_progress(pull(&mut table, record.lineage(), 0)).state,
        lost
    );

    let (mut table, record) = started();
    emit(&mut table, FIRST_RUN, 0..102);
    let whole = ProgressState::Attempt(AttemptState::Finished(FinishReason::Length));
    let answer = ready_progress(pull(&mut table, record.lineage(), 0));
    assert_eq!((answer.state, answer.tokens.len()), (whole, 100));
    assert_eq!(table.take_commands().len(), 2);
}

#[test]
fn attempt_with_all_its_tokens_finishes_without_a_run() {
    let mut table = GenerationTable::new(LIMITS);
    let mut record = record();
    record.append_tokens(record.lineage(), TokenIndex(0), tokens(0..100));
    let lineage = record.begin_attempt();
    assert_eq!(start(&mut table, &record), StartReply::Accepted);
    assert_eq!(table.take_commands(), []);
    let whole = ProgressState::Attempt(AttemptState::Finished(FinishReason::Length));
    assert_eq!(ready_progress(pull(&mut table, lineage, 100)).state, whole);
}

#[test]
fn cancel_of_a_former_owner_is_ignored() {
    let (mut table, mut record) = started();
    let id = record.id();
    let former = record.lineage();
    let lineage = record.begin_attempt();
    start(&mut table, &record);
    table.cancel(
        NOW,
        &CancelRequest {
            id,
            lineage: former,
        },
    );
    assert_eq!(table.running(), 1);
    table.cancel(NOW, &CancelRequest { id, lineage });
    assert_eq!(table.running(), 0);
}

#[test]
fn only_generations_that_nobody_pulls_are_cancelled() {
    let (mut table, record) = started();
    let later = NOW + LIMITS.orphan_ms;
    let cursor = PullCursor {
        id: record.id(),
        lineage: record.lineage(),
        next_index: TokenIndex(0),
    };
    let request = PullRequest {
        cursors: vec![cursor],
        entry: node("entry-1"),
        wait_ms: 10,
    };
    table.pull(later.before(1), &request);
    table.tick(later);
    assert_eq!(table.running(), 1);
    table.tick(later + LIMITS.orphan_ms);
    assert_eq!((table.running(), table.counts().orphans), (0, 1));
}

#[test]
fn full_or_leaving_table_refuses_starts_as_not_run() {
    let limits = GenerationLimits {
        max_records: 1,
        ..LIMITS
    };
    let mut table = GenerationTable::new(limits);
    let first = record();
    let second = Record::new(spec(2, 100), 1);
    start(&mut table, &first);
    let refused = |reply| match reply {
        StartReply::Refused(refusal) => refusal.kind,
        other => panic!("{other:?}"),
    };
    assert_eq!(refused(start(&mut table, &second)), RefusalKind::Overloaded);

    let end = EngineEvent::Failed(AttemptFailure::EngineLost);
    table.apply_event(NOW, FIRST_RUN, end);
    assert_eq!(refused(start(&mut table, &second)), RefusalKind::Overloaded);
    ready_progress(pull(&mut table, first.lineage(), 0));
    assert_eq!(start(&mut table, &second), StartReply::Accepted);

    let huge = Record::new(spec(4, u32::MAX), 1);
    assert_eq!(refused(start(&mut table, &huge)), RefusalKind::Overloaded);

    table.begin_leaving();
    let third = Record::new(spec(3, 100), 1);
    assert_eq!(
        refused(start(&mut table, &third)),
        RefusalKind::ShuttingDown
    );
    assert_eq!(start(&mut table, &second), StartReply::Accepted);
}
