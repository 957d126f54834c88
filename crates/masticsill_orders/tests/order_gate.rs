//! The fencing gate in front of an engine: which orders it admits, and when they may be sent.

use assert_matches::assert_matches;
use masticsill_orders::{GateRefusal, LeaderProof, OrderGate};
use masticsill_types::{ClockMs, FencingNumber, ModelId, ModelTarget, Term, VersionId};
use masticsill_wire::engine::EngineOrder;

fn number(term: u64, sequence: u64) -> FencingNumber {
    FencingNumber {
        term: Term(term),
        sequence,
    }
}

fn load() -> EngineOrder {
    EngineOrder::Load(ModelTarget {
        adapter: None,
        model: ModelId::new("draft").unwrap(),
        version: VersionId::new("v1").unwrap(),
    })
}

fn open_gate(highest: FencingNumber) -> OrderGate {
    let mut gate = OrderGate::default();
    gate.open(highest);
    gate
}

#[test]
fn only_orders_with_a_higher_fencing_number_are_admitted() {
    let cases = [
        (number(3, 6), true),
        (number(4, 1), true),
        (number(3, 5), false),
        (number(3, 4), false),
        (number(2, 9), false),
    ];
    for (fencing, is_admitted) in cases {
        let mut gate = open_gate(number(3, 5));
        let admitted = gate.admit(fencing, &load());
        assert_eq!(admitted.is_ok(), is_admitted, "{fencing:?}");
        assert_eq!(gate.may_send(fencing), is_admitted, "{fencing:?}");
    }
}

#[test]
fn gate_admits_nothing_until_it_is_told_the_highest_number() {
    let mut gate = OrderGate::default();
    assert_matches!(gate.admit(number(9, 9), &load()), Err(GateRefusal::Closed));
    gate.raise(number(3, 0));
    assert_matches!(gate.admit(number(9, 9), &load()), Err(GateRefusal::Closed));
    gate.open(number(2, 7));
    let refused = gate.admit(number(2, 8), &load());
    assert_eq!(refused, Err(GateRefusal::Fenced(number(3, 0))));
    assert_matches!(gate.admit(number(3, 1), &load()), Ok(()));
}

#[test]
fn an_admitted_order_is_not_sent_after_a_higher_number_was_seen() {
    let mut gate = open_gate(number(1, 0));
    gate.admit(number(1, 1), &load()).unwrap();
    assert!(gate.may_send(number(1, 1)));
    gate.raise(number(2, 0));
    assert!(!gate.may_send(number(1, 1)));
}

#[test]
fn orders_are_admitted_one_at_a_time() {
    let mut gate = open_gate(number(1, 0));
    gate.admit(number(1, 1), &load()).unwrap();
    assert_eq!(
        gate.admit(number(2, 2), &load()),
        Err(GateRefusal::Busy),
        "concurrent orders could take effect in any sequence"
    );
    assert_eq!(gate.in_flight(), Some(&load()));
    gate.finish(number(1, 1));
    assert_eq!(gate.in_flight(), None);
    assert!(!gate.may_send(number(1, 1)));
    assert_matches!(gate.admit(number(2, 2), &load()), Ok(()));
}

#[test]
fn leader_proof_expires_with_the_lease() {
    let proof = LeaderProof {
        as_of: ClockMs(1_000),
        term: Term(4),
    };
    let cases = [
        (1_000, true),
        (1_400, true),
        (1_401, false),
        (60_000, false),
    ];
    for (now, is_leading) in cases {
        let led = proof.led_term(ClockMs(now), 400);
        assert_eq!(led, is_leading.then_some(Term(4)), "at {now} ms");
    }
}
