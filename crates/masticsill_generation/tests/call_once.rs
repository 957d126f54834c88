//! A plain call runs at most once, and a call reported as not run never runs later.

use assert_matches::assert_matches;
use masticsill_generation::{CallDecision, CallLimits, CallTable};
use masticsill_types::{ClockMs, GenerationId, Incarnation};
use masticsill_wire::agent::{BuryRequest, CallAnswer, CallReply};

const ID: GenerationId = GenerationId(5);
const INCARNATION: Incarnation = Incarnation(3);
const LIMITS: CallLimits = CallLimits {
    key_window_ms: 1_000,
    max_answer_bytes: 10,
    max_calls: 2,
    retry_after_ms: 500,
};
const NOW: ClockMs = ClockMs(1);

fn table() -> CallTable {
    CallTable::new(INCARNATION, LIMITS)
}

fn answer(body: &str) -> CallAnswer {
    CallAnswer {
        body: body.as_bytes().to_vec(),
        content_type: "text/plain".to_owned(),
        status: 200,
    }
}

fn bury(table: &mut CallTable, id: GenerationId, incarnation: Incarnation) -> CallReply {
    table.bury(NOW, &BuryRequest { id, incarnation })
}

fn begin(table: &mut CallTable, id: GenerationId) -> CallDecision {
    table.begin(NOW, id, INCARNATION, false)
}

#[test]
fn buried_call_is_never_sent() {
    let mut table = table();
    assert_matches!(bury(&mut table, ID, INCARNATION), CallReply::NotRun(_));
    assert_matches!(
        begin(&mut table, ID),
        CallDecision::Reply(CallReply::NotRun(_))
    );

    let other = GenerationId(6);
    assert_eq!(begin(&mut table, other), CallDecision::Send);
    assert_matches!(bury(&mut table, other, INCARNATION), CallReply::NotRun(_));
    assert!(!table.mark_started(NOW, other));
}

#[test]
fn started_call_is_never_reported_as_not_run() {
    let mut table = table();
    assert_eq!(begin(&mut table, ID), CallDecision::Send);
    assert!(table.mark_started(NOW, ID));
    assert!(!table.mark_started(NOW, ID));
    assert_eq!(bury(&mut table, ID, INCARNATION), CallReply::OutcomeUnknown);
    assert_eq!(begin(&mut table, ID), CallDecision::Join);
    table.note_lost(NOW, ID);
    let lost = CallDecision::Reply(CallReply::OutcomeUnknown);
    assert_eq!(begin(&mut table, ID), lost);
}

#[test]
fn repeat_gets_the_stored_answer() {
    let mut table = table();
    begin(&mut table, ID);
    table.mark_started(NOW, ID);
    let reply = table.note_answer(NOW, ID, answer("ordered"));
    assert_eq!(begin(&mut table, ID), CallDecision::Reply(reply.clone()));
    assert_eq!(bury(&mut table, ID, INCARNATION), reply);
}

#[test]
fn leaving_table_refuses_new_calls_and_still_answers_repeats() {
    let mut table = table();
    begin(&mut table, ID);
    table.begin_leaving();
    let other = begin(&mut table, GenerationId(6));
    assert_matches!(other, CallDecision::Reply(CallReply::NotRun(_)));
    assert_eq!(begin(&mut table, ID), CallDecision::Join);
}

#[test]
fn call_for_another_incarnation_is_refused_and_burying_it_is_unknown() {
    let mut table = table();
    let earlier = Incarnation(2);
    let step = table.begin(NOW, ID, earlier, false);
    assert_matches!(step, CallDecision::Reply(CallReply::NotRun(_)));
    assert_eq!(bury(&mut table, ID, earlier), CallReply::OutcomeUnknown);
}

#[test]
fn full_table_refuses_calls_and_confirms_no_burial_it_cannot_store() {
    let mut table = table();
    for id in 0..2 {
        assert_eq!(begin(&mut table, GenerationId(id)), CallDecision::Send);
    }
    assert_matches!(
        begin(&mut table, ID),
        CallDecision::Reply(CallReply::NotRun(_))
    );
    for id in 10..12 {
        assert_matches!(
            bury(&mut table, GenerationId(id), INCARNATION),
            CallReply::NotRun(_)
        );
    }
    assert_eq!(bury(&mut table, ID, INCARNATION), CallReply::OutcomeUnknown);
}

#[test]
fn call_with_an_evicted_answer_is_unknown_and_not_run_again() {
    let mut table = table();
    for id in [1, 2].map(GenerationId) {
        begin(&mut table, id);
        table.mark_started(NOW, id);
        table.note_answer(NOW, id, answer("seven b"));
    }
    let unknown = CallDecision::Reply(CallReply::OutcomeUnknown);
    assert_eq!(begin(&mut table, GenerationId(1)), unknown);
    assert_matches!(
        begin(&mut table, GenerationId(2)),
        CallDecision::Reply(CallReply::Answered(_))
    );
}

#[test]
fn ids_are_forgotten_after_the_key_window_but_not_while_pending() {
    let mut table = table();
    begin(&mut table, ID);
    bury(&mut table, GenerationId(6), INCARNATION);
    table.tick(NOW + LIMITS.key_window_ms);
    assert_eq!(table.len(), 1);
    assert_eq!(begin(&mut table, ID), CallDecision::Join);
}

#[test]
fn repeatable_call_may_run_again_after_an_unknown_outcome() {
    let mut table = table();
    assert_eq!(table.begin(NOW, ID, INCARNATION, true), CallDecision::Send);
    table.mark_started(NOW, ID);
    table.note_lost(NOW, ID);
    assert_eq!(table.begin(NOW, ID, INCARNATION, true), CallDecision::Send);
    assert!(table.mark_started(NOW, ID));
}
