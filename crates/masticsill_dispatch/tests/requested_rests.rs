//! Endpoints that ask for rest get no requests for so long.

mod common;

use assert_matches::assert_matches;
use common::{Entry, NOW, id, requirements, terms};
use masticsill_dispatch::Decision;

fn rest(entry: &mut Entry, name: &str, rest_ms: u64) {
    entry
        .table
        .get_mut(&id(name))
        .unwrap()
        .note_rest(NOW, rest_ms);
}

#[test]
fn resting_endpoint_is_passed_over() {
    let mut entry = Entry::new(&["e1", "e2"]);
    rest(&mut entry, "e1", 3_000);
    // The other endpoint has failed, so that it would be the second choice.
    let other = entry.table.get_mut(&id("e2")).unwrap();
    other.health.note_failure(NOW);
    for at_ms in [0, 500, 2_900] {
        let decision = entry.submit(NOW + at_ms, &requirements(), &terms("w"));
        assert_matches!(decision, Decision::Send(choice) if choice.id == id("e2"));
    }
}

#[test]
fn rest_is_not_cut_short() {
    let mut entry = Entry::new(&["e1"]);
    rest(&mut entry, "e1", 3_000);
    rest(&mut entry, "e1", 1_000);
    let endpoint = entry.table.get_mut(&id("e1")).unwrap();
    endpoint.record_release(NOW + 100);
    assert!(endpoint.is_resting(NOW + 2_999));
    assert!(!endpoint.is_resting(NOW + 3_000));
}

#[test]
fn request_waits_for_the_end_of_a_short_rest() {
    let mut entry = Entry::new(&["e1"]);
    rest(&mut entry, "e1", 1_000);
    entry.submit_queued(NOW, &terms("w"));
    assert_eq!(entry.next(NOW + 999), None);
    assert!(entry.next(NOW + 1_000).is_some());
}

#[test]
fn request_that_no_rest_ends_in_time_for_is_refused_at_once() {
    let mut entry = Entry::new(&["e1", "e2"]);
    rest(&mut entry, "e1", 20_000);
    rest(&mut entry, "e2", 10_000);
    let decision = entry.submit(NOW, &requirements(), &terms("w"));
    // A third of the caller's time is the longest.
    assert_matches!(decision, Decision::Refuse(overload) if overload.retry_after_ms >= 8_000);
}
