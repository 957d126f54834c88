//! Events are delivered once each and in sequence.

use masticsill_relay::{EventOrder, EventPosition};

fn place_all(order: &mut EventOrder, ids: &[u64]) -> Vec<EventPosition> {
    let placed = ids.iter().map(|id| {
        let placed = order.classify(Some(*id));
        if placed == EventPosition::Next {
            order.record_delivered(Some(*id));
        }
        placed
    });
    placed.collect()
}

#[test]
fn only_the_first_event_may_have_any_number() {
    let mut order = EventOrder::default();
    assert_eq!(
        place_all(&mut order, &[7, 8, 10]),
        [EventPosition::Next, EventPosition::Next, EventPosition::Gap]
    );
    assert_eq!(order.last(), Some(8));
}

#[test]
fn delivered_events_are_duplicates() {
    let mut order = EventOrder::after(Some(4));
    assert_eq!(
        place_all(&mut order, &[3, 4, 5, 5]),
        [
            EventPosition::Duplicate,
            EventPosition::Duplicate,
            EventPosition::Next,
            EventPosition::Duplicate
        ]
    );
}

#[test]
fn resumed_run_may_not_skip_events() {
    let order = EventOrder::after(Some(4));
    assert_eq!(order.classify(Some(6)), EventPosition::Gap);
    assert_eq!(order.classify(None), EventPosition::Next);
}
