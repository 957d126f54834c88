//! Which endpoint is chosen, by load, zone, failures and what control replicas tell.

use masticsill_dispatch::{EndpointTable, Failure, Wanted, ZoneShare, choose, choose_holder};
use masticsill_registry::{
    Announcement, CachedTokens, EndpointId, EndpointLoad, EndpointRecord, EndpointState,
};
use masticsill_types::{ClockMs, NodeId, ZoneId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const NOW: ClockMs = ClockMs(100_000);

fn zone(name: &str) -> ZoneId {
    ZoneId::new(name).unwrap()
}

fn id(name: &str) -> EndpointId {
    EndpointId::with_unknown_incarnation(name)
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

fn chosen_with(table: &EndpointTable, kept: &[CachedTokens]) -> Option<String> {
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
    let kept = [CachedTokens {
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
    let kept = [CachedTokens {
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

/// The endpoint chosen at a time, if a place at one was handed out.
fn chosen_at(table: &EndpointTable, now: ClockMs, place: Option<&str>) -> Option<String> {
    let place = place.map(id);
    let wanted = Wanted {
        closed: &[],
        excluded: &[],
        kept: &[],
        not_in_zone: None,
        place: place.as_ref(),
        service: "s",
        share: ZoneShare::default(),
        zone: &zone("a"),
    };
    choose(table, now, &wanted, |_| true, || 0.0).map(|choice| choice.id.name)
}

fn others(name: &str, in_flight: u32) -> EndpointLoad {
    EndpointLoad {
        in_flight,
        ..EndpointLoad::none(id(name))
    }
}

#[test]
fn a_place_that_was_handed_out_beats_an_engine_that_looks_idle() {
    let mut table = table(&["a1", "a2"]);
    table.take_loads(NOW, &zone("a"), &[others("a2", 2)]);
    assert_eq!(chosen_at(&table, NOW, None).as_deref(), Some("a1"));
    let chosen = chosen_at(&table, NOW, Some("a2"));
    assert_eq!(chosen.as_deref(), Some("a2"));
}

#[test]
fn a_place_at_a_failing_endpoint_is_not_taken() {
    let mut table = table(&["a1", "a2"]);
    table.note_failure(NOW, &id("a2"), Failure::Broken);
    let chosen = chosen_at(&table, NOW + 1, Some("a2"));
    assert_eq!(chosen.as_deref(), Some("a1"));
}

/// A control replica that stands still: its zone's engines look idle for as long.
#[test]
fn old_news_of_idle_engines_decide_nothing() {
    let mut table = table(&["a1", "b1", "b2"]);
    table.take_loads(NOW, &zone("b"), &[]);
    let later = NOW + 5_000;
    table.take_loads(later, &zone("a"), &[others("a1", 3)]);
    // By the news of 5 s ago the engines of zone b do nothing; they do as much as the usual one.
    assert_eq!(chosen_at(&table, later, None).as_deref(), Some("a1"));
    table.take_loads(later, &zone("b"), &[]);
    assert_eq!(chosen_at(&table, later, None).as_deref(), Some("b1"));
}

#[test]
fn a_word_of_a_prompt_is_forgotten_once_it_has_been_read() {
    let mut table = table(&["a1"]);
    let reading = EndpointLoad {
        reading: 1,
        ..others("a1", 1)
    };
    table.take_loads(NOW, &zone("a"), &[reading]);
    let one = table.get(&id("a1")).unwrap();
    assert_eq!(one.reading_total(NOW + 1_499), 1);
    assert_eq!(one.reading_total(NOW + 1_500), 0);
}

#[test]
fn a_failure_that_another_entry_told_keeps_requests_away_for_a_while() {
    let mut table = table(&["a1", "a2"]);
    let failing = EndpointLoad {
        is_failing: true,
        ..others("a1", 0)
    };
    table.take_loads(NOW, &zone("a"), &[failing, others("a2", 4)]);
    assert_eq!(chosen_at(&table, NOW, None).as_deref(), Some("a2"));
    assert!(!table.get(&id("a1")).unwrap().is_held(NOW + 1_000));
}

#[test]
fn news_of_a_replica_that_stopped_answering_are_dropped() {
    let mut table = table(&["a1", "b1"]);
    let loads = [others("a1", 1)];
    table.take_loads(NOW, &zone("a"), &loads);
    table.take_loads(NOW, &zone("b"), &[others("b1", 9)]);
    table.forget_loads(&zone("b"));
    let age_ms = table.get(&id("b1")).unwrap().others_age_ms(NOW);
    assert!(age_ms >= 1_500, "{age_ms}");
}

/// Engines that hold copies of runs of the own zone, for entries that have heard the same.
fn holders(table: &EndpointTable, entries: u32) -> Vec<String> {
    let wanted = Wanted {
        closed: &[],
        excluded: &[],
        kept: &[],
        not_in_zone: Some(&zone("a")),
        place: None,
        service: "s",
        share: ZoneShare::default(),
        zone: &zone("a"),
    };
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let holders = (0..entries).map(|_| {
        let holder = choose_holder(table, NOW, &wanted, |_| true, || random.random());
        holder.unwrap().announcement.id.name.clone()
    });
    holders.collect()
}

/// The copies of a moment's runs, where one engine of another zone looks emptier than all others.
#[test]
fn copies_of_many_entries_are_spread() {
    let names: Vec<String> = (0..72).map(|engine| format!("b{engine}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut table = table(&names);
    let loads: Vec<EndpointLoad> = names[1..].iter().map(|name| others(name, 1)).collect();
    table.take_loads(NOW, &zone("b"), &loads);
    let holders = holders(&table, 72);
    for name in names {
        let copies = holders.iter().filter(|holder| **holder == name).count();
        assert!(copies <= 6, "{copies} at {name}");
    }
}

#[test]
fn copies_go_where_memory_is_free() {
    let mut table = table(&["a1", "b1", "b2"]);
    let full = EndpointLoad {
        held_tokens: 40_000,
        ..others("b1", 4)
    };
    table.take_loads(NOW, &zone("b"), &[full]);
    let holders = holders(&table, 100);
    let at = |name: &str| holders.iter().filter(|holder| *holder == name).count();
    assert_eq!(at("a1"), 0);
    assert!(at("b2") > 60, "{}", at("b2"));
}

/// Engines that lost their work look idle; other entries have seen that their zone is down.
#[test]
fn a_zone_that_is_down_for_others_is_avoided() {
    let mut table = table(&["a1", "a2", "a3", "a4", "b1"]);
    let failing = ["a1", "a2", "a3"].map(|name| EndpointLoad {
        is_failing: true,
        ..others(name, 1)
    });
    table.take_loads(NOW, &zone("a"), &failing);
    table.take_loads(NOW, &zone("b"), &[others("b1", 8)]);
    assert_eq!(chosen_at(&table, NOW, None).as_deref(), Some("b1"));
    // Nobody says so any more: the own zone is used again.
    let later = chosen_at(&table, NOW + 1_000, None).unwrap();
    assert!(later.starts_with('a'), "{later}");
}

#[test]
fn few_failures_told_among_many_leave_a_zone_in_use() {
    let names: Vec<String> = (0..30).map(|engine| format!("a{engine}")).collect();
    let mut names: Vec<&str> = names.iter().map(String::as_str).collect();
    names.push("b1");
    let mut table = table(&names);
    let loads = names[..30]
        .iter()
        .enumerate()
        .map(|(engine, name)| EndpointLoad {
            is_failing: engine < 3,
            ..others(name, 1)
        });
    table.take_loads(NOW, &zone("a"), &loads.collect::<Vec<_>>());
    let chosen = chosen_at(&table, NOW, None).unwrap();
    assert_ne!(chosen, "b1");
}
