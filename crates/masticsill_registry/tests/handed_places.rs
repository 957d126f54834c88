//! Reservations of engines: an engine is reserved for one entry at a time, until the start is
//! reported or the lease expires.

use masticsill_registry::{
    EndpointId, EndpointLoad, EngineReservationRequest, Watcher, WatcherTable,
};
use masticsill_types::{ClockMs, NodeId, Priority, ZoneId};
use proptest::prelude::*;

const NOW: ClockMs = ClockMs(10_000);

fn entry(name: &str) -> Watcher {
    Watcher::Entry {
        node: NodeId::new(name).unwrap(),
        zone: ZoneId::new("a").unwrap(),
    }
}

fn id(name: &str) -> EndpointId {
    EndpointId::with_unknown_incarnation(name)
}

fn load(name: &str, in_flight: u32, reading: u32) -> EndpointLoad {
    EndpointLoad {
        in_flight,
        reading,
        ..EndpointLoad::none(id(name))
    }
}

fn failing(name: &str) -> EndpointLoad {
    EndpointLoad {
        is_failing: true,
        is_leaving: false,
        stated: None,
        ..load(name, 1, 0)
    }
}

/// The control replica of a zone, its engines and two entries.
struct Zone {
    table: WatcherTable,
    engines: Vec<EndpointId>,
}

impl Zone {
    fn new(engines: &[&str]) -> Self {
        let mut table = WatcherTable::default();
        for name in ["one", "two"] {
            table.record_poll(NOW, &entry(name), 1, &[]);
        }
        let engines = engines.iter().map(|name| id(name)).collect();
        Self { table, engines }
    }

    fn poll(&mut self, now: ClockMs, name: &str, loads: &[EndpointLoad]) {
        self.table.record_poll(now, &entry(name), 1, loads);
    }

    fn reserve_avoiding(
        &mut self,
        now: ClockMs,
        name: &str,
        avoided: &[&str],
    ) -> Option<EndpointLoad> {
        let request = EngineReservationRequest {
            avoided: avoided.iter().map(|name| id(name)).collect(),
            priority: Priority::default(),
            service: "s".to_owned(),
            waited_ms: 0,
            watcher: entry(name),
        };
        let engines: Vec<&EndpointId> = self.engines.iter().collect();
        self.table.reserve_engine(now, &request, &engines)
    }

    fn reserve_for(
        &mut self,
        now: ClockMs,
        name: &str,
        route_priority: u32,
        waited_ms: u64,
    ) -> Option<String> {
        let request = EngineReservationRequest {
            avoided: Vec::new(),
            priority: Priority::new(None, route_priority),
            service: "s".to_owned(),
            waited_ms,
            watcher: entry(name),
        };
        let engines: Vec<&EndpointId> = self.engines.iter().collect();
        let reserved = self.table.reserve_engine(now, &request, &engines);
        reserved.map(|load| load.id.name)
    }

    fn reserve(&mut self, now: ClockMs, name: &str) -> Option<String> {
        let reserved = self.reserve_avoiding(now, name, &[]);
        reserved.map(|load| load.id.name)
    }
}

#[test]
fn one_idle_engine_is_reserved_for_one_entry() {
    let mut zone = Zone::new(&["e1"]);
    assert_eq!(zone.reserve(NOW, "one").as_deref(), Some("e1"));
    assert_eq!(zone.reserve(NOW, "two"), None);
    assert_eq!(zone.reserve(NOW, "one"), None);
}

#[test]
fn least_loaded_engine_is_reserved_first() {
    let mut zone = Zone::new(&["e1", "e2", "e3"]);
    zone.poll(NOW, "one", &[load("e1", 2, 0), load("e2", 1, 1)]);
    zone.poll(NOW, "two", &[load("e3", 1, 0)]);
    assert_eq!(zone.reserve(NOW, "one").as_deref(), Some("e3"));
    assert_eq!(zone.reserve(NOW, "one").as_deref(), Some("e1"));
    assert_eq!(zone.reserve(NOW, "one"), None);
}

/// Guards against urgency that holds within one entry only: an engine that becomes idle went to
/// whichever entry asked first.
#[test]
fn idle_engine_is_kept_for_the_more_urgent_entry() {
    let mut zone = Zone::new(&["e1"]);
    zone.poll(NOW, "one", &[load("e1", 1, 1)]);
    assert_eq!(zone.reserve_for(NOW, "two", 0, 100), None);
    zone.poll(NOW + 20, "one", &[load("e1", 1, 0)]);
    assert_eq!(zone.reserve_for(NOW + 30, "one", 1, 2_000), None);
    let urgent = zone.reserve_for(NOW + 50, "two", 0, 150);
    assert_eq!(urgent.as_deref(), Some("e1"));
}

#[test]
fn longest_wait_goes_first_among_equally_urgent_entries() {
    let mut zone = Zone::new(&["e1"]);
    zone.poll(NOW, "one", &[load("e1", 1, 1)]);
    assert_eq!(zone.reserve_for(NOW, "two", 1, 900), None);
    zone.poll(NOW + 20, "one", &[load("e1", 1, 0)]);
    assert_eq!(zone.reserve_for(NOW + 30, "one", 1, 0), None);
    assert_eq!(
        zone.reserve_for(NOW + 50, "two", 1, 950).as_deref(),
        Some("e1")
    );
}

/// An entry whose caller has left, or that is gone, must not keep engines idle.
#[test]
fn entry_that_stops_asking_holds_nobody_back() {
    let mut zone = Zone::new(&["e1"]);
    zone.poll(NOW, "one", &[load("e1", 1, 1)]);
    assert_eq!(zone.reserve_for(NOW, "two", 0, 100), None);
    zone.poll(NOW + 20, "one", &[load("e1", 1, 0)]);
    let less_urgent = zone.reserve_for(NOW + 200, "one", 1, 0);
    assert_eq!(less_urgent.as_deref(), Some("e1"));
}

#[test]
fn reservation_returns_the_loads_of_other_entries() {
    let mut zone = Zone::new(&["e1"]);
    zone.poll(NOW, "one", &[load("e1", 2, 0)]);
    zone.poll(NOW, "two", &[load("e1", 3, 0)]);
    assert_eq!(
        zone.reserve_avoiding(NOW, "one", &[]),
        Some(load("e1", 3, 0))
    );
}

#[test]
fn avoided_engines_are_not_reserved() {
    let mut zone = Zone::new(&["e1", "e2"]);
    let reserved = zone.reserve_avoiding(NOW, "one", &["e1"]);
    assert_eq!(reserved.unwrap().id, id("e2"));
}

#[test]
fn reservation_of_a_lost_entry_expires() {
    let mut zone = Zone::new(&["e1"]);
    zone.reserve(NOW, "one");
    assert_eq!(zone.reserve(NOW + 149, "two"), None);
    assert_eq!(zone.reserve(NOW + 150, "two").as_deref(), Some("e1"));
}

#[test]
fn reported_start_ends_the_reservation() {
    let mut zone = Zone::new(&["e1"]);
    zone.reserve(NOW, "one");
    zone.poll(NOW + 10, "one", &[load("e1", 1, 1)]);
    assert_eq!(zone.reserve(NOW + 20, "two"), None);
    // The prompt was processed quickly: the engine is free again before the lease would have
    // expired.
    zone.poll(NOW + 30, "one", &[load("e1", 1, 0)]);
    assert_eq!(zone.reserve(NOW + 40, "two").as_deref(), Some("e1"));
}

#[test]
fn start_at_another_engine_keeps_the_reservation() {
    let mut zone = Zone::new(&["e1", "e2"]);
    zone.reserve(NOW, "one");
    zone.poll(NOW + 10, "one", &[load("e2", 1, 1)]);
    assert_eq!(zone.reserve(NOW + 20, "two"), None);
}

/// Two replicas that both reserve engines know the loads that entries reported, but not each
/// other's reservations.
#[test]
fn second_replica_avoids_engines_with_reported_loads() {
    let (mut first, mut second) = (Zone::new(&["e1", "e2"]), Zone::new(&["e1", "e2"]));
    let reserved = first.reserve(NOW, "one").unwrap();
    for zone in [&mut first, &mut second] {
        zone.poll(NOW + 10, "one", &[load(&reserved, 1, 1)]);
    }
    let other = second.reserve(NOW + 20, "two").unwrap();
    assert_ne!(reserved, other);
}

#[test]
fn failed_engines_are_not_reserved() {
    let mut zone = Zone::new(&["e1", "e2"]);
    zone.poll(NOW, "one", &[failing("e1")]);
    zone.poll(NOW + 5, "one", &[]);
    assert_eq!(zone.reserve(NOW + 10, "two").as_deref(), Some("e2"));
    assert_eq!(zone.reserve(NOW + 10, "two"), None);
    assert_eq!(zone.reserve(NOW + 1_000, "two").as_deref(), Some("e1"));
}

#[test]
fn no_engine_is_reserved_in_a_zone_that_is_down() {
    let mut zone = Zone::new(&["e1", "e2", "e3", "e4", "e5"]);
    let failing = ["e1", "e2", "e3"].map(failing);
    zone.poll(NOW, "one", &failing);
    assert_eq!(zone.reserve(NOW + 10, "two"), None);
    zone.poll(NOW + 20, "one", &[]);
    assert_eq!(zone.reserve(NOW + 900, "two"), None);
    assert!(zone.reserve(NOW + 1_000, "two").is_some());
}

#[test]
fn few_failures_among_many_engines_do_not_mark_the_zone_down() {
    let names: Vec<String> = (0..40).map(|engine| format!("e{engine}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut zone = Zone::new(&names);
    let mut loads: Vec<EndpointLoad> = names.iter().map(|name| load(name, 1, 0)).collect();
    for load in loads.iter_mut().take(3) {
        load.is_failing = true;
    }
    zone.poll(NOW, "one", &loads);
    assert_eq!(zone.reserve(NOW + 10, "two").as_deref(), Some("e3"));
}

proptest! {
    /// Whichever entry asks at whatever time: while an engine's reservation is valid and its start
    /// was not reported, it is not reserved again, and a free engine is always reserved.
    #[test]
    fn engine_is_never_reserved_twice(
        steps in proptest::collection::vec((0..2_usize, 0..60_u64), 1..60),
    ) {
        let mut zone = Zone::new(&["e1", "e2", "e3", "e4"]);
        let mut leased: Vec<(String, ClockMs)> = Vec::new();
        let mut now = NOW;
        for (who, pause_ms) in steps {
            now = now + pause_ms;
            leased.retain(|(_, until)| now < *until);
            if let Some(reserved) = zone.reserve(now, ["one", "two"][who]) {
                prop_assert!(leased.iter().all(|(name, _)| *name != reserved));
                leased.push((reserved, now + 150));
            } else {
                prop_assert_eq!(leased.len(), 4);
            }
        }
    }
}

#[test]
fn leaving_engine_is_not_reserved() {
    let mut zone = Zone::new(&["e1"]);
    let leaving = EndpointLoad {
        is_leaving: true,
        ..EndpointLoad::none(id("e1"))
    };
    zone.poll(NOW, "one", &[leaving]);
    assert_eq!(zone.reserve(NOW, "two"), None);
}
