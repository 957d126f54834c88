//! Which endpoint is chosen, by load, zone, failures and reports of control replicas.

use indexmap::IndexSet;
use masticsill_dispatch::{
    EndpointTable, Failure, PlacementRequest, ZoneShare, choose, choose_holder,
};
use masticsill_registry::{
    Announcement, CachedTokens, EndpointId, EndpointLoad, EndpointRecord, EndpointState,
};
use masticsill_rollout::ANY_VERSION;
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

/// The record of an endpoint in the zone named by the first letter of `name`.
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
            version: String::new(),
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

/// A request of an entry in the given zone, without any preference.
fn request(zone: &ZoneId) -> PlacementRequest<'_> {
    PlacementRequest {
        closed: &[],
        excluded: &[],
        cached: &[],
        not_in_zone: None,
        reserved_endpoint: None,
        service: "s",
        share: ZoneShare::default(),
        versions: &ANY_VERSION,
        zone,
    }
}

fn chosen_excluding(table: &EndpointTable, excluded: &[&str], share: ZoneShare) -> Option<String> {
    let excluded: Vec<EndpointId> = excluded.iter().map(|name| id(name)).collect();
    let own_zone = zone("a");
    let wanted = PlacementRequest {
        excluded: &excluded,
        share,
        ..request(&own_zone)
    };
    choose(table, NOW, &wanted, |_| true, || 0.0).map(|choice| choice.id.name)
}

fn chosen(table: &EndpointTable) -> Option<String> {
    chosen_excluding(table, &[], ZoneShare::default())
}

#[test]
fn own_zone_is_preferred_until_it_is_busy() {
    let mut table = table(&["b1", "a1"]);
    assert_eq!(chosen(&table).as_deref(), Some("a1"));
    table.get_mut(&id("a1")).unwrap().in_flight = 3;
    assert_eq!(chosen(&table).as_deref(), Some("b1"));
}

#[test]
fn prompt_being_read_costs_more_than_a_running_stream() {
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
        is_leaving: false,
        stated: None,
    };
    table.update_loads(NOW, &zone("a"), &[load]);
    assert_eq!(chosen(&table).as_deref(), Some("a2"));
    table.update_loads(NOW, &zone("a"), &[]);
    table.get_mut(&id("a2")).unwrap().in_flight = 1;
    assert_eq!(chosen(&table).as_deref(), Some("a1"));
}

fn chosen_with_cached(table: &EndpointTable, cached: &[CachedTokens]) -> Option<String> {
    let own_zone = zone("a");
    let wanted = PlacementRequest {
        cached,
        ..request(&own_zone)
    };
    choose(table, NOW, &wanted, |_| true, || 0.0).map(|choice| choice.id.name)
}

#[test]
fn cached_prompt_outweighs_load_and_zone_but_no_failure() {
    let mut table = table(&["a1", "b1"]);
    let cached = [CachedTokens {
        endpoint: id("b1"),
        tokens: 8_000,
    }];
    table.get_mut(&id("b1")).unwrap().in_flight = 3;
    assert_eq!(chosen_with_cached(&table, &[]).as_deref(), Some("a1"));
    assert_eq!(chosen_with_cached(&table, &cached).as_deref(), Some("b1"));
    table.note_failure(NOW, &id("b1"), Failure::Broken);
    assert_eq!(chosen_with_cached(&table, &cached).as_deref(), Some("a1"));
}

/// The engines chosen in 100 draws for a prompt that is cached in another zone, where `reading`
/// prompts are being read, while an idle engine of the own zone is reserved.
fn chosen_beside_reservation(reading: u32) -> IndexSet<String> {
    let mut table = table(&["b1", "a1"]);
    let load = EndpointLoad {
        id: id("b1"),
        in_flight: 1,
        reading,
        held_tokens: 8_650,
        is_failing: false,
        is_leaving: false,
        stated: None,
    };
    table.update_loads(NOW, &zone("b"), &[load]);
    let cached = [CachedTokens {
        endpoint: id("b1"),
        tokens: 8_000,
    }];
    let (own_zone, reserved) = (zone("a"), id("a1"));
    let wanted = PlacementRequest {
        cached: &cached,
        reserved_endpoint: Some(&reserved),
        ..request(&own_zone)
    };
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let chosen = (0..100).map(|_| {
        let choice = choose(&table, NOW, &wanted, |_| true, || random.random());
        choice.unwrap().id.name
    });
    chosen.collect()
}

/// A relay that has just been lost still counts at the engine that has the prompt of its stream
/// cached.
#[test]
fn resumed_prompt_is_not_read_again_at_a_reserved_engine() {
    assert_eq!(chosen_beside_reservation(0), ["b1".to_owned()].into());
}

#[test]
fn reservation_counts_while_the_engine_with_the_prompt_reads_another_one() {
    assert_eq!(chosen_beside_reservation(1), ["a1".to_owned()].into());
}

#[test]
fn short_cached_prefix_does_not_outweigh_load() {
    let mut table = table(&["a1", "a2"]);
    let cached = [CachedTokens {
        endpoint: id("a2"),
        tokens: 300,
    }];
    table.get_mut(&id("a2")).unwrap().in_flight = 1;
    assert_eq!(chosen_with_cached(&table, &cached).as_deref(), Some("a1"));
}

#[test]
fn entries_of_a_zone_choose_different_endpoints() {
    let table = table(&["a1", "a2"]);
    let share = |rank| ZoneShare { entries: 2, rank };
    let first = chosen_excluding(&table, &[], share(0));
    let second = chosen_excluding(&table, &[], share(1));
    assert_ne!(first, second);
}

#[test]
fn failed_endpoint_is_avoided_during_backoff() {
    let mut table = table(&["a1", "b1"]);
    table.note_failure(NOW, &id("a1"), Failure::Broken);
    assert_eq!(chosen(&table).as_deref(), Some("b1"));
    let health = &table.get(&id("a1")).unwrap().health;
    assert!(health.is_backing_off(NOW));
    assert!(!health.is_backing_off(NOW + 2_000));
}

#[test]
fn two_failures_make_a_zone_suspect_even_if_excluded() {
    let mut table = table(&["a1", "a2", "a3", "b1"]);
    table.get_mut(&id("b1")).unwrap().in_flight = 6;
    table.note_failure(NOW, &id("a1"), Failure::Broken);
    assert_eq!(
        chosen_excluding(&table, &["a1"], ZoneShare::default()).as_deref(),
        Some("a2")
    );
    table.note_failure(NOW, &id("a2"), Failure::Broken);
    let third = chosen_excluding(&table, &["a1", "a2"], ZoneShare::default());
    assert_eq!(third.as_deref(), Some("b1"));
}

#[test]
fn zone_is_stalled_only_if_all_busy_endpoints_are_silent() {
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
fn draining_or_gone_endpoint_is_never_chosen() {
    let mut table = table(&["a1"]);
    let mut draining = record("a1", 1);
    draining.announcement.state = EndpointState::Draining;
    table.merge(&control("d"), &[draining]);
    assert_eq!(chosen(&table), None);
    // An outdated report of another replica must not make the endpoint usable again.
    table.merge(&control("c"), &[record("a1", 1)]);
    assert_eq!(chosen(&table), None);
}

#[test]
fn later_incarnation_replaces_the_earlier_at_its_address() {
    let mut table = table(&["a1"]);
    table.merge(&control("c"), &[record("a2", 1)]);
    assert!(!table.get(&id("a1")).unwrap().is_ready());
    assert_eq!(chosen(&table).as_deref(), Some("a2"));
}

#[test]
fn endpoint_whose_address_was_taken_over_is_not_ready() {
    let mut table = table(&["a1", "b1"]);
    table.note_failure(NOW, &id("a1"), Failure::Replaced);
    let later = table.get(&id("a1")).unwrap();
    assert!(!later.is_ready());
}

#[test]
fn silent_endpoint_is_the_last_resort() {
    let mut table = table(&["a1", "b1"]);
    let mut silent = record("a1", 1);
    silent.is_silent = true;
    table.merge(&control("c"), &[silent]);
    table.get_mut(&id("b1")).unwrap().in_flight = 50;
    assert_eq!(chosen(&table).as_deref(), Some("b1"));
    assert_eq!(
        chosen_excluding(&table, &["b1"], ZoneShare::default()).as_deref(),
        Some("a1")
    );
}

#[test]
fn slow_and_failing_endpoints_are_avoided() {
    let mut table = table(&["a1", "a2", "a3"]);
    for (name, pace_ms) in [("a1", 200), ("a2", 20), ("a3", 20)] {
        table.get_mut(&id(name)).unwrap().health.note_pace(pace_ms);
    }
    table.get_mut(&id("a3")).unwrap().health.note_answer(true);
    assert_eq!(chosen(&table).as_deref(), Some("a2"));
    assert_ne!(
        chosen_excluding(&table, &["a2"], ZoneShare::default()).as_deref(),
        Some("a1")
    );
}

/// The endpoint chosen at `now`, with an optional reservation at `reserved`.
fn chosen_at(table: &EndpointTable, now: ClockMs, reserved: Option<&str>) -> Option<String> {
    let reserved = reserved.map(id);
    let own_zone = zone("a");
    let wanted = PlacementRequest {
        reserved_endpoint: reserved.as_ref(),
        ..request(&own_zone)
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
fn reserved_engine_beats_an_engine_that_appears_idle() {
    let mut table = table(&["a1", "a2"]);
    table.update_loads(NOW, &zone("a"), &[others("a2", 2)]);
    assert_eq!(chosen_at(&table, NOW, None).as_deref(), Some("a1"));
    let chosen = chosen_at(&table, NOW, Some("a2"));
    assert_eq!(chosen.as_deref(), Some("a2"));
}

#[test]
fn reservation_at_a_failing_endpoint_is_not_used() {
    let mut table = table(&["a1", "a2"]);
    table.note_failure(NOW, &id("a2"), Failure::Broken);
    let chosen = chosen_at(&table, NOW + 1, Some("a2"));
    assert_eq!(chosen.as_deref(), Some("a1"));
}

/// Guards against entries that all send to the same engines while a control replica hangs: without
/// new reports, the engines of its zone appear to be idle all the time.
#[test]
fn outdated_reports_of_idle_engines_are_ignored() {
    let mut table = table(&["a1", "b1", "b2"]);
    table.update_loads(NOW, &zone("b"), &[]);
    let later = NOW + 5_000;
    table.update_loads(later, &zone("a"), &[others("a1", 3)]);
    // By the report of 5 s ago the engines of zone b are idle; they are assumed to have the mean
    // load.
    assert_eq!(chosen_at(&table, later, None).as_deref(), Some("a1"));
    table.update_loads(later, &zone("b"), &[]);
    assert_eq!(chosen_at(&table, later, None).as_deref(), Some("b1"));
}

#[test]
fn reported_prompt_expires_once_it_has_been_read() {
    let mut table = table(&["a1"]);
    let reading = EndpointLoad {
        reading: 1,
        ..others("a1", 1)
    };
    table.update_loads(NOW, &zone("a"), &[reading]);
    let one = table.get(&id("a1")).unwrap();
    assert_eq!(one.reading_total(NOW + 1_499), 1);
    assert_eq!(one.reading_total(NOW + 1_500), 0);
}

#[test]
fn failure_reported_by_another_entry_causes_a_short_backoff() {
    let mut table = table(&["a1", "a2"]);
    let failing = EndpointLoad {
        is_failing: true,
        is_leaving: false,
        stated: None,
        ..others("a1", 0)
    };
    table.update_loads(NOW, &zone("a"), &[failing, others("a2", 4)]);
    assert_eq!(chosen_at(&table, NOW, None).as_deref(), Some("a2"));
    assert!(!table.get(&id("a1")).unwrap().is_backing_off(NOW + 1_000));
}

#[test]
fn loads_from_an_unreachable_replica_become_outdated() {
    let mut table = table(&["a1", "b1"]);
    let loads = [others("a1", 1)];
    table.update_loads(NOW, &zone("a"), &loads);
    table.update_loads(NOW, &zone("b"), &[others("b1", 9)]);
    table.forget_loads(&zone("b"));
    let age_ms = table.get(&id("b1")).unwrap().others_age_ms(NOW);
    assert!(age_ms >= 1_500, "{age_ms}");
}

/// The engines chosen to hold copies of runs of zone a by entries that have the same reports.
fn holders(table: &EndpointTable, entries: u32) -> Vec<String> {
    let own_zone = zone("a");
    let wanted = PlacementRequest {
        not_in_zone: Some(&own_zone),
        ..request(&own_zone)
    };
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let holders = (0..entries).map(|_| {
        let holder = choose_holder(table, NOW, &wanted, |_| true, || random.random());
        holder.unwrap().announcement.id.name.clone()
    });
    holders.collect()
}

/// Guards against all copies of the current runs going to one engine of another zone that appears
/// to be emptier than all others.
#[test]
fn copies_of_many_entries_are_spread_over_engines() {
    let names: Vec<String> = (0..72).map(|engine| format!("b{engine}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut table = table(&names);
    let loads: Vec<EndpointLoad> = names[1..].iter().map(|name| others(name, 1)).collect();
    table.update_loads(NOW, &zone("b"), &loads);
    let holders = holders(&table, 72);
    for name in names {
        let copies = holders.iter().filter(|holder| **holder == name).count();
        assert!(copies <= 6, "{copies} at {name}");
    }
}

#[test]
fn copies_go_to_engines_with_free_memory() {
    let mut table = table(&["a1", "b1", "b2"]);
    let full = EndpointLoad {
        held_tokens: 40_000,
        ..others("b1", 4)
    };
    table.update_loads(NOW, &zone("b"), &[full]);
    let holders = holders(&table, 100);
    let at = |name: &str| holders.iter().filter(|holder| *holder == name).count();
    assert_eq!(at("a1"), 0);
    assert!(at("b2") > 60, "{}", at("b2"));
}

/// Guards against sending requests to engines that appear to be idle because they lost their work:
/// other entries have reported the failure of their zone.
#[test]
fn zone_reported_down_by_other_entries_is_avoided() {
    let mut table = table(&["a1", "a2", "a3", "a4", "b1"]);
    let failing = ["a1", "a2", "a3"].map(|name| EndpointLoad {
        is_failing: true,
        is_leaving: false,
        stated: None,
        ..others(name, 1)
    });
    table.update_loads(NOW, &zone("a"), &failing);
    table.update_loads(NOW, &zone("b"), &[others("b1", 8)]);
    assert_eq!(chosen_at(&table, NOW, None).as_deref(), Some("b1"));
    // The reports have expired: the entry's own zone is used again.
    let later = chosen_at(&table, NOW + 1_000, None).unwrap();
    assert!(later.starts_with('a'), "{later}");
}

#[test]
fn few_reported_failures_leave_a_zone_in_use() {
    let names: Vec<String> = (0..30).map(|engine| format!("a{engine}")).collect();
    let mut names: Vec<&str> = names.iter().map(String::as_str).collect();
    names.push("b1");
    let mut table = table(&names);
    let loads = names[..30]
        .iter()
        .enumerate()
        .map(|(engine, name)| EndpointLoad {
            is_failing: engine < 3,
            is_leaving: false,
            stated: None,
            ..others(name, 1)
        });
    table.update_loads(NOW, &zone("a"), &loads.collect::<Vec<_>>());
    let chosen = chosen_at(&table, NOW, None).unwrap();
    assert_ne!(chosen, "b1");
}
