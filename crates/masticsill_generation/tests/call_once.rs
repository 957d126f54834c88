//! Plain calls run at most once, and "not run" is true.

use assert_matches::assert_matches;
use masticsill_generation::{CallDecision, CallLimits, CallTable};
use masticsill_types::{ClockMs, GenerationId, Incarnation};
use masticsill_wire::agent::{BuryRequest, CallAnswer, CallReply};

const ID: GenerationId = GenerationId(5);
const LIFE: Incarnation = Incarnation(3);
const LIMITS: CallLimits = CallLimits {
    key_window_ms: 1_000,
    max_answer_bytes: 10,
    max_calls: 2,
    retry_after_ms: 500,
};
const NOW: ClockMs = ClockMs(1);

fn book() -> CallTable {
    CallTable::new(LIFE, LIMITS)
}

fn answer(body: &str) -> CallAnswer {
    CallAnswer {
        body: body.as_bytes().to_vec(),
        content_type: "text/plain".to_owned(),
        status: 200,
    }
}

fn bury(book: &mut CallTable, id: GenerationId, incarnation: Incarnation) -> CallReply {
    book.bury(NOW, &BuryRequest { id, incarnation })
}

fn begin(book: &mut CallTable, id: GenerationId) -> CallDecision {
    book.begin(NOW, id, LIFE, false)
}

#[test]
fn buried_call_is_never_sent() {
    let mut book = book();
    assert_matches!(bury(&mut book, ID, LIFE), CallReply::NotRun(_));
    assert_matches!(
        begin(&mut book, ID),
        CallDecision::Reply(CallReply::NotRun(_))
    );

    let other = GenerationId(6);
    assert_eq!(begin(&mut book, other), CallDecision::Send);
    assert_matches!(bury(&mut book, other, LIFE), CallReply::NotRun(_));
    assert!(!book.mark_started(NOW, other));
}

#[test]
fn started_call_is_never_called_not_run() {
    let mut book = book();
    assert_eq!(begin(&mut book, ID), CallDecision::Send);
    assert!(book.mark_started(NOW, ID));
    assert!(!book.mark_started(NOW, ID));
    assert_eq!(bury(&mut book, ID, LIFE), CallReply::OutcomeUnknown);
    assert_eq!(begin(&mut book, ID), CallDecision::Join);
    book.note_lost(NOW, ID);
    let lost = CallDecision::Reply(CallReply::OutcomeUnknown);
    assert_eq!(begin(&mut book, ID), lost);
}

#[test]
fn repeat_gets_the_stored_answer() {
    let mut book = book();
    begin(&mut book, ID);
    book.mark_started(NOW, ID);
    let reply = book.note_answer(NOW, ID, answer("ordered"));
    assert_eq!(begin(&mut book, ID), CallDecision::Reply(reply.clone()));
    assert_eq!(bury(&mut book, ID, LIFE), reply);
}

#[test]
fn leaving_book_takes_nothing_new_and_still_answers_repeats() {
    let mut book = book();
    begin(&mut book, ID);
    book.begin_leaving();
    let other = begin(&mut book, GenerationId(6));
    assert_matches!(other, CallDecision::Reply(CallReply::NotRun(_)));
    assert_eq!(begin(&mut book, ID), CallDecision::Join);
}

#[test]
fn another_life_is_refused_and_its_burial_is_unknown() {
    let mut book = book();
    let earlier = Incarnation(2);
    let step = book.begin(NOW, ID, earlier, false);
    assert_matches!(step, CallDecision::Reply(CallReply::NotRun(_)));
    assert_eq!(bury(&mut book, ID, earlier), CallReply::OutcomeUnknown);
}

#[test]
fn full_book_promises_nothing_it_can_not_keep() {
    let mut book = book();
    for id in 0..2 {
        assert_eq!(begin(&mut book, GenerationId(id)), CallDecision::Send);
    }
    assert_matches!(
        begin(&mut book, ID),
        CallDecision::Reply(CallReply::NotRun(_))
    );
    for id in 10..12 {
        assert_matches!(
            bury(&mut book, GenerationId(id), LIFE),
            CallReply::NotRun(_)
        );
    }
    assert_eq!(bury(&mut book, ID, LIFE), CallReply::OutcomeUnknown);
}

#[test]
fn answer_without_room_is_unknown_and_not_run_again() {
    let mut book = book();
    for id in [1, 2].map(GenerationId) {
        begin(&mut book, id);
        book.mark_started(NOW, id);
        book.note_answer(NOW, id, answer("seven b"));
    }
    let unknown = CallDecision::Reply(CallReply::OutcomeUnknown);
    assert_eq!(begin(&mut book, GenerationId(1)), unknown);
    assert_matches!(
        begin(&mut book, GenerationId(2)),
        CallDecision::Reply(CallReply::Answered(_))
    );
}

#[test]
fn ids_are_forgotten_after_the_key_window_but_not_while_pending() {
    let mut book = book();
    begin(&mut book, ID);
    bury(&mut book, GenerationId(6), LIFE);
    book.tick(NOW + LIMITS.key_window_ms);
    assert_eq!(book.len(), 1);
    assert_eq!(begin(&mut book, ID), CallDecision::Join);
}

#[test]
fn repeatable_call_may_run_again_after_a_loss() {
    let mut book = book();
    assert_eq!(book.begin(NOW, ID, LIFE, true), CallDecision::Send);
    book.mark_started(NOW, ID);
    book.note_lost(NOW, ID);
    assert_eq!(book.begin(NOW, ID, LIFE, true), CallDecision::Send);
    assert!(book.mark_started(NOW, ID));
}
