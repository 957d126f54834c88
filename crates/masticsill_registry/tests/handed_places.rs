//! Places at engines that are handed out one by one.

use masticsill_registry::{
    EndpointId, EndpointLoad, EngineReservationRequest, Watcher, WatcherTable,
};
use masticsill_types::{ClockMs, NodeId, ZoneId};
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
        ..load(name, 1, 0)
    }
}

/// The replica of a zone, its engines and two entries.
struct Zone {
    book: WatcherTable,
    engines: Vec<EndpointId>,
}

impl Zone {
    fn new(engines: &[&str]) -> Self {
        let mut book = WatcherTable::default();
        for name in ["one", "two"] {
            book.record_poll(NOW, &entry(name), 1, &[]);
        }
        let engines = engines.iter().map(|name| id(name)).collect();
        Self { book, engines }
    }

    fn tell(&mut self, now: ClockMs, name: &str, loads: &[EndpointLoad]) {
        self.book.record_poll(now, &entry(name), 1, loads);
    }

    fn ask_but(&mut self, now: ClockMs, name: &str, avoided: &[&str]) -> Option<EndpointLoad> {
        let request = EngineReservationRequest {
            avoided: avoided.iter().map(|name| id(name)).collect(),
            service: "s".to_owned(),
            watcher: entry(name),
        };
        let engines: Vec<&EndpointId> = self.engines.iter().collect();
        self.book.reserve_engine(now, &request, &engines)
    }

    fn ask(&mut self, now: ClockMs, name: &str) -> Option<String> {
        let place = self.ask_but(now, name, &[]);
        place.map(|load| load.id.name)
    }
}

#[test]
fn one_idle_engine_goes_to_one_entry() {
    let mut zone = Zone::new(&["e1"]);
    assert_eq!(zone.ask(NOW, "one").as_deref(), Some("e1"));
    assert_eq!(zone.ask(NOW, "two"), None);
    assert_eq!(zone.ask(NOW, "one"), None);
}

#[test]
fn idlest_engine_goes_first() {
    let mut zone = Zone::new(&["e1", "e2", "e3"]);
    zone.tell(NOW, "one", &[load("e1", 2, 0), load("e2", 1, 1)]);
    zone.tell(NOW, "two", &[load("e3", 1, 0)]);
    assert_eq!(zone.ask(NOW, "one").as_deref(), Some("e3"));
    assert_eq!(zone.ask(NOW, "one").as_deref(), Some("e1"));
    assert_eq!(zone.ask(NOW, "one"), None);
}

#[test]
fn entries_are_told_what_the_others_have() {
    let mut zone = Zone::new(&["e1"]);
    zone.tell(NOW, "one", &[load("e1", 2, 0)]);
    zone.tell(NOW, "two", &[load("e1", 3, 0)]);
    assert_eq!(zone.ask_but(NOW, "one", &[]), Some(load("e1", 3, 0)));
}

#[test]
fn unwanted_engines_are_left_out() {
    let mut zone = Zone::new(&["e1", "e2"]);
    let place = zone.ask_but(NOW, "one", &["e1"]);
    assert_eq!(place.unwrap().id, id("e2"));
}

#[test]
fn places_of_a_lost_entry_run_out() {
    let mut zone = Zone::new(&["e1"]);
    zone.ask(NOW, "one");
    assert_eq!(zone.ask(NOW + 149, "two"), None);
    assert_eq!(zone.ask(NOW + 150, "two").as_deref(), Some("e1"));
}

#[test]
fn word_of_the_start_takes_the_place() {
    let mut zone = Zone::new(&["e1"]);
    zone.ask(NOW, "one");
    zone.tell(NOW + 10, "one", &[load("e1", 1, 1)]);
    assert_eq!(zone.ask(NOW + 20, "two"), None);
    // Its prompt was short: the engine is free again before the place would have run out.
    zone.tell(NOW + 30, "one", &[load("e1", 1, 0)]);
    assert_eq!(zone.ask(NOW + 40, "two").as_deref(), Some("e1"));
}

#[test]
fn word_of_another_start_leaves_the_place() {
    let mut zone = Zone::new(&["e1", "e2"]);
    zone.ask(NOW, "one");
    zone.tell(NOW + 10, "one", &[load("e2", 1, 1)]);
    assert_eq!(zone.ask(NOW + 20, "two"), None);
}

/// Two replicas that both hand out places know both of what entries told, and neither's places.
#[test]
fn second_replica_avoids_what_it_was_told() {
    let (mut first, mut second) = (Zone::new(&["e1", "e2"]), Zone::new(&["e1", "e2"]));
    let place = first.ask(NOW, "one").unwrap();
    for zone in [&mut first, &mut second] {
        zone.tell(NOW + 10, "one", &[load(&place, 1, 1)]);
    }
    let other = second.ask(NOW + 20, "two").unwrap();
    assert_ne!(place, other);
}

#[test]
fn engines_that_failed_get_no_place() {
    let mut zone = Zone::new(&["e1", "e2"]);
    zone.tell(NOW, "one", &[failing("e1")]);
    zone.tell(NOW + 5, "one", &[]);
    assert_eq!(zone.ask(NOW + 10, "two").as_deref(), Some("e2"));
    assert_eq!(zone.ask(NOW + 10, "two"), None);
    assert_eq!(zone.ask(NOW + 1_000, "two").as_deref(), Some("e1"));
}

#[test]
fn zone_that_is_down_hands_out_nothing() {
    let mut zone = Zone::new(&["e1", "e2", "e3", "e4", "e5"]);
    let failing = ["e1", "e2", "e3"].map(failing);
    zone.tell(NOW, "one", &failing);
    assert_eq!(zone.ask(NOW + 10, "two"), None);
    zone.tell(NOW + 20, "one", &[]);
    assert_eq!(zone.ask(NOW + 900, "two"), None);
    assert!(zone.ask(NOW + 1_000, "two").is_some());
}

#[test]
fn few_failures_among_many_leave_the_zone_up() {
    let names: Vec<String> = (0..40).map(|engine| format!("e{engine}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut zone = Zone::new(&names);
    let mut loads: Vec<EndpointLoad> = names.iter().map(|name| load(name, 1, 0)).collect();
    for load in loads.iter_mut().take(3) {
        load.is_failing = true;
    }
    zone.tell(NOW, "one", &loads);
    assert_eq!(zone.ask(NOW + 10, "two").as_deref(), Some("e3"));
}

proptest! {
    /// Whoever asks, and whenever: while a place is kept and its start was not told, nobody else
    /// gets it, and no engine that reads a prompt is handed out.
    #[test]
    fn places_are_never_given_twice(steps in proptest::collection::vec((0..2_usize, 0..60_u64), 1..60)) {
        let mut zone = Zone::new(&["e1", "e2", "e3", "e4"]);
        let mut kept: Vec<(String, ClockMs)> = Vec::new();
        let mut now = NOW;
        for (who, pause_ms) in steps {
            now = now + pause_ms;
            kept.retain(|(_, until)| now < *until);
            if let Some(place) = zone.ask(now, ["one", "two"][who]) {
                prop_assert!(kept.iter().all(|(name, _)| *name != place));
                kept.push((place, now + 150));
            } else {
                prop_assert_eq!(kept.len(), 4);
            }
        }
    }
}
