//! The order of events: each once and in sequence.

use masticsill_relay::{EventOrder, Placed};

fn place_all(order: &mut EventOrder, ids: &[u64]) -> Vec<Placed> {
    let placed = ids.iter().map(|id| {
        let placed = order.place(Some(*id));
        if placed == Placed::Next {
            order.deliver(Some(*id));
        }
        placed
    });
    placed.collect()
}

#[test]
fn the_endpoint_chooses_the_first_number_and_no_other() {
    let mut order = EventOrder::default();
    assert_eq!(
        place_all(&mut order, &[7, 8, 10]),
        [Placed::Next, Placed::Next, Placed::Missing]
    );
    assert_eq!(order.last(), Some(8));
}

#[test]
fn what_the_caller_has_is_not_sent_again() {
    let mut order = EventOrder::after(Some(4));
    assert_eq!(
        place_all(&mut order, &[3, 4, 5, 5]),
        [Placed::Known, Placed::Known, Placed::Next, Placed::Known]
    );
}

#[test]
fn a_resumed_run_may_not_leave_events_out() {
    let order = EventOrder::after(Some(4));
    assert_eq!(order.place(Some(6)), Placed::Missing);
    assert_eq!(order.place(None), Placed::Next);
}
