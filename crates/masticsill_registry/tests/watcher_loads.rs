//! What watchers have at the endpoints, and who must hear of a change.

use masticsill_registry::{EndpointId, EndpointLoad, LoadsChange, Watcher, WatcherTable};
use masticsill_types::{ClockMs, NodeId, ZoneId};

const NOW: ClockMs = ClockMs(10_000);

fn entry(name: &str) -> Watcher {
    Watcher::Entry {
        node: NodeId::new(name).unwrap(),
        zone: ZoneId::new("a").unwrap(),
    }
}

fn load(in_flight: u32, reading: u32) -> EndpointLoad {
    EndpointLoad {
        id: EndpointId::with_unknown_incarnation("e"),
        in_flight,
        reading,
        held_tokens: 0,
        is_failing: false,
    }
}

fn book() -> WatcherTable {
    let mut book = WatcherTable::default();
    book.record_poll(NOW, &entry("one"), 1, &[]);
    book.record_poll(NOW, &entry("two"), 1, &[]);
    book
}

#[test]
fn a_changed_load_is_news_for_the_others_only() {
    let mut book = book();
    let before = book.loads_revision();
    assert_eq!(
        book.take_loads(NOW, &entry("one"), &[load(1, 1)]),
        LoadsChange::Changed
    );
    assert!(book.have_other_loads_changed(&entry("two"), before));
    assert!(!book.have_other_loads_changed(&entry("one"), before));
    assert!(!book.have_other_loads_changed(&entry("two"), book.loads_revision()));
    assert_eq!(book.loads_of_others(NOW, &entry("two")), [load(1, 1)]);
    assert!(book.loads_of_others(NOW, &entry("one")).is_empty());
}

#[test]
fn the_same_loads_again_are_no_news() {
    let mut book = book();
    book.take_loads(NOW, &entry("one"), &[load(1, 1)]);
    let again = book.take_loads(NOW, &entry("one"), &[load(1, 1)]);
    assert_eq!(again, LoadsChange::None);
    let asked = book.record_poll(NOW, &entry("one"), 2, &[load(1, 1)]);
    assert_eq!(asked, LoadsChange::None);
}

#[test]
fn loads_of_several_watchers_are_added_up() {
    let mut book = book();
    book.record_poll(NOW, &entry("three"), 1, &[load(2, 0)]);
    book.take_loads(NOW, &entry("one"), &[load(3, 1)]);
    assert_eq!(book.loads_of_others(NOW, &entry("two")), [load(5, 1)]);
}

#[test]
fn a_watcher_that_is_gone_has_no_loads() {
    let mut book = book();
    book.take_loads(NOW, &entry("one"), &[load(1, 0)]);
    let later = NOW + 10_000;
    book.record_poll(later, &entry("two"), 1, &[]);
    assert!(book.loads_of_others(later, &entry("two")).is_empty());
    assert_eq!(book.entries(&entry("two")).0, 1);
    // It asks again, and brings them along.
    assert_eq!(
        book.take_loads(NOW, &entry("one"), &[load(1, 0)]),
        LoadsChange::None
    );
    let back = book.record_poll(later, &entry("one"), 1, &[load(1, 0)]);
    assert_eq!(back, LoadsChange::Changed);
}

#[test]
fn a_revision_is_seen_once_every_watcher_that_asks_holds_it() {
    let mut book = book();
    book.record_poll(NOW, &entry("one"), 7, &[]);
    assert!(!book.is_acknowledged_by_all(NOW, 7));
    book.record_poll(NOW, &entry("two"), 7, &[]);
    assert!(book.is_acknowledged_by_all(NOW, 7));
    // One that has gone holds nobody up.
    book.record_poll(NOW + 2_400, &entry("one"), 8, &[]);
    assert!(!book.is_acknowledged_by_all(NOW + 2_400, 8));
    assert!(book.is_acknowledged_by_all(NOW + 2_600, 8));
}
