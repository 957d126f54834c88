//! Endpoints that a control replica of their zone reports as down.

mod common;

use assert_matches::assert_matches;
use common::{Entry, NOW, SERVICE, id, requirements, terms, zone};
use masticsill_dispatch::{
    Decision, EndpointTable, Failure, PlacementRequest, ZoneShare, choose_holder, suspect_zones,
};
use masticsill_registry::{EndpointLoad, EndpointRecord};
use masticsill_types::{ClockMs, NodeId, ZoneId};

fn control(name: &str) -> NodeId {
    NodeId::new(name).unwrap()
}

fn report(table: &mut EndpointTable, now: ClockMs, from: &str, down: &[&str]) -> usize {
    let down: Vec<_> = down.iter().map(|name| id(name)).collect();
    let begun = table.note_outages(now, &control(from), &zone(), Some(&down));
    begun.len()
}

fn is_down(table: &EndpointTable, now: ClockMs, name: &str) -> bool {
    table.get(&id(name)).unwrap().is_down(now)
}

/// The engine to which a request is sent.
fn chosen(entry: &mut Entry, now: ClockMs) -> String {
    let decision = entry.submit(now, &requirements(), &terms("w"));
    assert_matches!(decision, Decision::Send(choice) => choice.id.name)
}

#[test]
fn endpoint_that_is_down_is_not_chosen_while_another_is_usable() {
    let mut entry = Entry::new(&["a", "b"]);
    for _ in 0..5 {
        entry.table.get_mut(&id("b")).unwrap().in_flight += 1;
    }
    assert_eq!(chosen(&mut entry, NOW), "a");
    assert_eq!(report(&mut entry.table, NOW, "c", &["a"]), 1);
    assert_eq!(chosen(&mut entry, NOW), "b");
}

/// A wrong report must not make a service unavailable.
#[test]
fn endpoint_that_is_down_is_chosen_if_there_is_no_other() {
    let mut entry = Entry::new(&["a"]);
    report(&mut entry.table, NOW, "c", &["a"]);
    assert_eq!(chosen(&mut entry, NOW), "a");
}

#[test]
fn endpoint_that_is_down_holds_no_copy() {
    let mut entry = Entry::new(&["a"]);
    let zone = zone();
    let wanted = PlacementRequest {
        closed: &[],
        excluded: &[],
        cached: &[],
        not_in_zone: None,
        reserved_endpoint: None,
        service: SERVICE,
        share: ZoneShare::default(),
        zone: &zone,
    };
    assert!(choose_holder(&entry.table, NOW, &wanted, |_| true, || 0.0).is_some());
    report(&mut entry.table, NOW, "c", &["a"]);
    assert!(choose_holder(&entry.table, NOW, &wanted, |_| true, || 0.0).is_none());
}

/// The replica reaches other zones through links that may be lossy.
#[test]
fn replica_of_another_zone_takes_no_endpoint_away() {
    let mut entry = Entry::new(&["a", "b"]);
    let other = ZoneId::new("other").unwrap();
    let down = [id("a")];
    let begun = entry
        .table
        .note_outages(NOW, &control("c"), &other, Some(&down));
    assert!(begun.is_empty() && !is_down(&entry.table, NOW, "a"));
}

#[test]
fn unchanged_list_renews_a_report() {
    let mut entry = Entry::new(&["a"]);
    report(&mut entry.table, NOW, "c", &["a"]);
    let begun = entry
        .table
        .note_outages(NOW + 1_000, &control("c"), &zone(), None);
    assert!(begun.is_empty());
    assert!(is_down(&entry.table, NOW + 2_400, "a"));
    report(&mut entry.table, NOW + 2_400, "c", &[]);
    assert!(!is_down(&entry.table, NOW + 2_400, "a"));
}

/// A replica that is frozen or cut off can't withdraw its report.
#[test]
fn report_of_a_replica_that_stops_answering_lapses() {
    let mut entry = Entry::new(&["a"]);
    report(&mut entry.table, NOW, "c", &["a"]);
    assert!(is_down(&entry.table, NOW + 1_400, "a"));
    assert!(!is_down(&entry.table, NOW + 1_500, "a"));
}

#[test]
fn outage_ends_when_no_replica_reports_it() {
    let mut entry = Entry::new(&["a"]);
    assert_eq!(report(&mut entry.table, NOW, "c", &["a"]), 1);
    assert_eq!(report(&mut entry.table, NOW, "d", &["a"]), 0);
    report(&mut entry.table, NOW, "c", &[]);
    assert!(is_down(&entry.table, NOW, "a"));
    report(&mut entry.table, NOW, "d", &[]);
    assert!(!is_down(&entry.table, NOW, "a"));
}

/// The replica's own link to the endpoint may be the one that is down.
#[test]
fn entry_that_gets_an_answer_uses_the_endpoint() {
    let mut entry = Entry::new(&["a"]);
    report(&mut entry.table, NOW, "c", &["a"]);
    let health = |entry: &mut Entry, act: &dyn Fn(&mut masticsill_dispatch::Health)| {
        act(&mut entry.table.get_mut(&id("a")).unwrap().health);
    };
    health(&mut entry, &|it| it.note_heard(NOW));
    assert!(
        is_down(&entry.table, NOW, "a"),
        "it may have been sent before"
    );
    health(&mut entry, &|it| it.note_heard(NOW + 10));
    assert!(!is_down(&entry.table, NOW + 10, "a"));
    health(&mut entry, &|it| it.note_failure(NOW + 500));
    assert!(is_down(&entry.table, NOW + 500, "a"));
}

/// With six tenths of the engines down in every zone, each zone was suspect, so that no engine was
/// preferred to those that were down.
#[test]
fn endpoints_that_are_known_to_be_down_do_not_make_their_zone_suspect() {
    let names = ["a", "b", "c", "d", "e"];
    let mut entry = Entry::new(&names);
    for name in &names[..3] {
        entry.table.note_failure(NOW, &id(name), Failure::Silent);
    }
    let failing = names[..3].iter().map(|name| EndpointLoad {
        is_failing: true,
        in_flight: 1,
        ..EndpointLoad::none(id(name))
    });
    let failing: Vec<EndpointLoad> = failing.collect();
    entry.table.update_loads(NOW, &zone(), &failing);
    assert_eq!(suspect_zones(&entry.table, SERVICE, NOW).len(), 1);
    report(&mut entry.table, NOW, "r", &names[..3]);
    assert!(suspect_zones(&entry.table, SERVICE, NOW).is_empty());
}

/// Another process has taken over the name; the state of the former one doesn't apply to it.
#[test]
fn new_incarnation_is_not_down() {
    let mut entry = Entry::new(&["a"]);
    report(&mut entry.table, NOW, "c", &["a"]);
    let mut announcement = entry.table.get(&id("a")).unwrap().announcement.clone();
    announcement.id.incarnation = masticsill_registry::EndpointIncarnation::started_at(1);
    let newest = announcement.id.clone();
    let record = EndpointRecord {
        announcement,
        is_silent: false,
    };
    entry.table.merge(&control("c"), &[record]);
    assert!(!entry.table.get(&newest).unwrap().is_down(NOW));
}
