//! Which endpoint is chosen, by load, zone, failures and what control replicas tell.

use masticsill_dispatch::{EndpointTable, Failure, Wanted, ZoneShare, choose};
use masticsill_registry::{
    Announcement, EndpointId, EndpointLoad, EndpointRecord, EndpointState, KeptTokens,
};
use masticsill_types::{ClockMs, NodeId, ZoneId};

const NOW: ClockMs = ClockMs(100_000);

fn zone(name: &str) -> ZoneId {
    ZoneId::new(name).unwrap()
}

fn id(name: &str) -> EndpointId {
    EndpointId::unnamed_life(name)
}

/// A record of an endpoint; its name begins with its zone.
fn record(name: &str, port: u16) -> EndpointRecord {
    EndpointRecord {
        announcement: Announcement {
            address: ([10, 0, 0, 1], port).into(),
            cold_left_ms: 0,
            id: id(name),
            keeps_prompts: false,
            sequence: 1,
            service: "s".to_owned(),
            slots: 4,
            state: EndpointState::Ready,
            zone: zone(&name[..1]),
        },
        is_silent: false,
    }
}

fn control(name: &str) -> NodeId {
    NodeId::new(name).unwrap()
}

fn table(names: &[&str]) -> EndpointTable {
    let mut table = EndpointTable::default();
    let ports = (1..).zip(names);
    let records: Vec<EndpointRecord> = ports.map(|(port, name)| record(name, port)).collect();
    table.merge(&control("c"), &records);
    table
}

fn chosen_but(table: &EndpointTable, excluded: &[&str], share: ZoneShare) -> Option<String> {
    let excluded: Vec<EndpointId> = excluded.iter().map(|name| id(name)).collect();
    let wanted = Wanted {
        closed: &[],
        excluded: &excluded,
        kept: &[],
        not_in_zone: None,
        place: None,
        service: "s",
        share,
        zone: &zone("a"),
    };
    choose(table, NOW, &wanted, |_| true, || 0.0).map(|choice| choice.id.name)
}

fn chosen(table: &EndpointTable) -> Option<String> {
    chosen_but(table, &[], ZoneShare::default())
}

#[test]
fn the_own_zone_is_preferred_until_it_is_busy() {
    let mut table = table(&["b1", "a1"]);
    assert_eq!(chosen(&table).as_deref(), Some("a1"));
    table.get_mut(&id("a1")).unwrap().in_flight = 3;
    assert_eq!(chosen(&table).as_deref(), Some("b1"));
}

#[test]
fn a_prompt_that_is_read_weighs_more_than_a_running_stream() {
    let mut table = table(&["a1", "a2"]);
    let one = table.get_mut(&id("a1")).unwrap();
    (one.in_flight, one.reading) = (1, 1);
    table.get_mut(&id("a2")).unwrap().in_flight = 2;
    assert_eq!(chosen(&table).as_deref(), Some("a2"));
}

#[test]
fn loads_of_other_entries_count() {
    let mut table = table(&["a1", "a2"]);
    let load = EndpointLoad {
        id: id("a1"),
        in_flight: 2,
        reading: 0,
        held_tokens: 0,
        is_failing: false,
    };
    table.take_loads(NOW, &zone("a"), &[load]);
    assert_eq!(chosen(&table).as_deref(), Some("a2"));
    table.take_loads(NOW, &zone("a"), &[]);
    table.get_mut(&id("a2")).unwrap().in_flight = 1;
    assert_eq!(chosen(&table).as_deref(), Some("a1"));
}

fn chosen_with(table: &EndpointTable, kept: &[KeptTokens]) -> Option<String> {
    let wanted = Wanted {
        closed: &[],
        excluded: &[],
        kept,
        not_in_zone: None,
        place: None,
        service: "s",
        share: ZoneShare::default(),
        zone: &zone("a"),
    };
    choose(table, NOW, &wanted, |_| true, || 0.0).map(|choice| choice.id.name)
}

#[test]
fn a_kept_prompt_outweighs_load_and_zone_but_no_failure() {
    let mut table = table(&["a1", "b1"]);
    let kept = [KeptTokens {
        endpoint: id("b1"),
        tokens: 8_000,
    }];
    table.get_mut(&id("b1")).unwrap().in_flight = 3;
    assert_eq!(chosen_with(&table, &[]).as_deref(), Some("a1"));
    assert_eq!(chosen_with(&table, &kept).as_deref(), Some("b1"));
    table.note_failure(NOW, &id("b1"), Failure::Broken);
    assert_eq!(chosen_with(&table, &kept).as_deref(), Some("a1"));
}

#[test]
fn a_short_kept_part_does_not_outweigh_load() {
    let mut table = table(&["a1", "a2"]);
    let kept = [KeptTokens {
        endpoint: id("a2"),
        tokens: 300,
    }];
    table.get_mut(&id("a2")).unwrap().in_flight = 1;
    assert_eq!(chosen_with(&table, &kept).as_deref(), Some("a1"));
}

#[test]
fn entries_of_a_zone_choose_different_endpoints() {
    let table = table(&["a1", "a2"]);
    let share = |place| ZoneShare { entries: 2, place };
    let first = chosen_but(&table, &[], share(0));
    let second = chosen_but(&table, &[], share(1));
    assert_ne!(first, second);
}

#[test]
fn an_endpoint_that_failed_is_left_alone_for_a_while() {
    let mut table = table(&["a1", "b1"]);
    table.note_failure(NOW, &id("a1"), Failure::Broken);
    assert_eq!(chosen(&table).as_deref(), Some("b1"));
    let health = &table.get(&id("a1")).unwrap().health;
    assert!(health.is_held(NOW));
    assert!(!health.is_held(NOW + 2_000));
}

#[test]
fn two_failures_make_their_zone_suspect_also_once_they_are_excluded() {
    let mut table = table(&["a1", "a2", "a3", "b1"]);
    table.get_mut(&id("b1")).unwrap().in_flight = 6;
    table.note_failure(NOW, &id("a1"), Failure::Broken);
    assert_eq!(
        chosen_but(&table, &["a1"], ZoneShare::default()).as_deref(),
        Some("a2")
    );
    table.note_failure(NOW, &id("a2"), Failure::Broken);
    let third = chosen_but(&table, &["a1", "a2"], ZoneShare::default());
    assert_eq!(third.as_deref(), Some("b1"));
}

#[test]
fn only_a_zone_of_which_nothing_is_heard_stands_still() {
    let mut table = table(&["a1", "a2", "a3"]);
    for name in ["a1", "a2"] {
        table.get_mut(&id(name)).unwrap().in_flight = 1;
    }
    let heard_at = ClockMs(NOW.0 - 50);
    table
        .get_mut(&id("a2"))
        .unwrap()
        .health
        .note_heard(heard_at);
    assert!(!table.note_failure(NOW, &id("a1"), Failure::Stalled));
    assert!(table.note_failure(NOW + 400, &id("a1"), Failure::Stalled));
    assert!(!table.note_failure(NOW + 400, &id("a1"), Failure::Silent));
}

#[test]
fn what_drains_or_has_ended_is_never_chosen() {
    let mut table = table(&["a1"]);
    let mut draining = record("a1", 1);
    draining.announcement.state = EndpointState::Draining;
    table.merge(&control("d"), &[draining]);
    assert_eq!(chosen(&table), None);
    // A replica that knows less must not bring it back.
    table.merge(&control("c"), &[record("a1", 1)]);
    assert_eq!(chosen(&table), None);
}

#[test]
fn a_later_incarnation_ends_the_one_before_at_its_address() {
    let mut table = table(&["a1"]);
    table.merge(&control("c"), &[record("a2", 1)]);
    assert!(!table.get(&id("a1")).unwrap().is_ready());
    assert_eq!(chosen(&table).as_deref(), Some("a2"));
}

#[test]
fn an_address_of_another_incarnation_is_not_asked_again() {
    let mut table = table(&["a1", "b1"]);
    table.note_failure(NOW, &id("a1"), Failure::Replaced);
    let later = table.get(&id("a1")).unwrap();
    assert!(!later.is_ready());
}

#[test]
fn a_silent_endpoint_is_the_last_resort() {
    let mut table = table(&["a1", "b1"]);
    let mut silent = record("a1", 1);
    silent.is_silent = true;
    table.merge(&control("c"), &[silent]);
    table.get_mut(&id("b1")).unwrap().in_flight = 50;
    assert_eq!(chosen(&table).as_deref(), Some("b1"));
    assert_eq!(
        chosen_but(&table, &["b1"], ZoneShare::default()).as_deref(),
        Some("a1")
    );
}

#[test]
fn slow_and_failing_endpoints_get_less() {
    let mut table = table(&["a1", "a2", "a3"]);
    for (name, pace_ms) in [("a1", 200), ("a2", 20), ("a3", 20)] {
        table.get_mut(&id(name)).unwrap().health.note_pace(pace_ms);
    }
    table.get_mut(&id("a3")).unwrap().health.note_answer(true);
    assert_eq!(chosen(&table).as_deref(), Some("a2"));
    assert_ne!(
        chosen_but(&table, &["a2"], ZoneShare::default()).as_deref(),
        Some("a1")
    );
}
