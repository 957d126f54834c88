//! Heartbeats that arrive late, repeatedly, out of order and through other control replicas.

use masticsill_registry::{
    Announcement, EndpointId, EndpointState, HeartbeatAge, Registry, RegistryTimeouts,
};
use masticsill_types::{ClockMs, ZoneId};

const TIMEOUTS: RegistryTimeouts = RegistryTimeouts {
    forget_ms: 60_000,
    silence_ms: 5_000,
};

fn id(name: &str) -> EndpointId {
    EndpointId::with_unknown_incarnation(name)
}

fn heartbeat(name: &str, sequence: u64, state: EndpointState) -> Announcement {
    Announcement {
        address: "10.0.0.1:80".parse().unwrap(),
        cold_left_ms: 0,
        id: id(name),
        keeps_prompts: false,
        sequence,
        service: "drafts".to_owned(),
        slots: 4,
        state,
        version: String::new(),
        zone: ZoneId::new("a").unwrap(),
    }
}

fn state_of(registry: &Registry, name: &str) -> EndpointState {
    registry.get(&id(name)).unwrap().announcement.state
}

#[test]
fn a_late_heartbeat_does_not_undo_draining() {
    let mut registry = Registry::new(TIMEOUTS);
    let now = ClockMs(1_000);
    assert!(registry.announce(now, &heartbeat("e", 1, EndpointState::Ready)));
    assert!(registry.announce(now, &heartbeat("e", 3, EndpointState::Draining)));
    assert!(!registry.announce(now, &heartbeat("e", 2, EndpointState::Ready)));
    assert!(!registry.announce(now, &heartbeat("e", 4, EndpointState::Ready)));
    assert_eq!(state_of(&registry, "e"), EndpointState::Draining);
}

#[test]
fn ended_incarnation_never_becomes_ready_again() {
    let mut registry = Registry::new(TIMEOUTS);
    registry.announce(ClockMs(0), &heartbeat("e", 1, EndpointState::Ready));
    assert!(registry.deregister(ClockMs(1), &id("e")));
    assert!(!registry.deregister(ClockMs(1), &id("e")));
    registry.announce(ClockMs(10), &heartbeat("e", 9, EndpointState::Ready));
    assert_eq!(state_of(&registry, "e"), EndpointState::Gone);
}

#[test]
fn deregistration_of_an_unknown_incarnation_reaches_readers() {
    let mut restarted = Registry::new(TIMEOUTS);
    assert!(restarted.deregister(ClockMs(0), &id("e")));
    let mut reader = Registry::new(TIMEOUTS);
    reader.announce(ClockMs(0), &heartbeat("e", 7, EndpointState::Ready));
    assert!(reader.merge(ClockMs(1), &restarted.changes_since(0)));
    assert_eq!(state_of(&reader, "e"), EndpointState::Gone);
}

#[test]
fn readers_get_changes_since_their_revision() {
    let mut registry = Registry::new(TIMEOUTS);
    registry.announce(ClockMs(0), &heartbeat("e", 1, EndpointState::Ready));
    let seen = registry.revision();
    registry.announce(ClockMs(1), &heartbeat("e", 2, EndpointState::Ready));
    assert_eq!(registry.revision(), seen);
    registry.announce(ClockMs(2), &heartbeat("f", 1, EndpointState::Ready));
    registry.announce(ClockMs(3), &heartbeat("e", 3, EndpointState::Draining));
    let changed = registry.changes_since(seen);
    let names: Vec<&str> = changed
        .iter()
        .map(|it| it.announcement.id.name.as_str())
        .collect();
    assert_eq!(names, ["f", "e"], "in the order of their last heartbeats");
    assert!(registry.changes_since(registry.revision()).is_empty());
}

#[test]
fn heartbeat_at_another_replica_prevents_silence() {
    let mut registry = Registry::new(TIMEOUTS);
    registry.announce(ClockMs(0), &heartbeat("e", 1, EndpointState::Ready));
    registry.announce(ClockMs(0), &heartbeat("f", 1, EndpointState::Ready));
    let heard = HeartbeatAge {
        age_ms: 500,
        id: id("e"),
    };
    registry.apply_heartbeat_ages(ClockMs(5_000), &[heard]);
    assert!(registry.update_silence(ClockMs(5_500), true));
    assert!(!registry.get(&id("e")).unwrap().is_silent);
    assert!(registry.get(&id("f")).unwrap().is_silent);
    registry.announce(ClockMs(5_600), &heartbeat("f", 2, EndpointState::Ready));
    assert!(registry.update_silence(ClockMs(5_700), true));
    assert!(!registry.get(&id("f")).unwrap().is_silent);
}

#[test]
fn partitioned_replica_marks_no_endpoint_silent() {
    let mut registry = Registry::new(TIMEOUTS);
    registry.announce(ClockMs(0), &heartbeat("e", 1, EndpointState::Ready));
    assert!(!registry.update_silence(ClockMs(50_000), false));
    assert!(!registry.get(&id("e")).unwrap().is_silent);
}

#[test]
fn delayed_heartbeat_does_not_prevent_silence() {
    let mut registry = Registry::new(TIMEOUTS);
    registry.announce(ClockMs(0), &heartbeat("e", 5, EndpointState::Ready));
    registry.announce(ClockMs(4_900), &heartbeat("e", 4, EndpointState::Ready));
    registry.update_silence(ClockMs(5_000), true);
    assert!(registry.get(&id("e")).unwrap().is_silent);
}

#[test]
fn joining_heartbeats_in_any_order_gives_the_same_record() {
    let heartbeats = [
        heartbeat("e", 1, EndpointState::Ready),
        heartbeat("e", 2, EndpointState::Draining),
        heartbeat("e", 3, EndpointState::Ready),
    ];
    let mut results = Vec::new();
    for order in [[0, 1, 2], [2, 1, 0], [1, 0, 2], [2, 0, 1]] {
        let mut registry = Registry::new(TIMEOUTS);
        for position in order {
            registry.announce(ClockMs(0), &heartbeats[position]);
        }
        results.push(registry.get(&id("e")).unwrap().clone());
    }
    assert!(results.windows(2).all(|pair| pair[0] == pair[1]));
    assert_eq!(results[0].announcement.state, EndpointState::Draining);
}

#[test]
fn ended_incarnation_is_evicted_after_the_retention_period() {
    let mut registry = Registry::new(TIMEOUTS);
    registry.announce(ClockMs(0), &heartbeat("e", 1, EndpointState::Ready));
    registry.deregister(ClockMs(1), &id("e"));
    registry.update_silence(ClockMs(59_000), true);
    assert!(registry.get(&id("e")).is_some());
    registry.update_silence(ClockMs(60_000), true);
    assert!(registry.get(&id("e")).is_none());
}

fn ready_endpoints(registry: &Registry) -> Vec<&str> {
    let ready_endpoints = registry.ready_endpoints("drafts", &ZoneId::new("a").unwrap());
    ready_endpoints
        .into_iter()
        .map(|id| id.name.as_str())
        .collect()
}

/// After a crash and restart under another name, the former incarnation counts as silent only after
/// seconds, although its address belongs to the new one.
#[test]
fn only_the_newest_incarnation_at_an_address_gets_requests() {
    let mut registry = Registry::new(TIMEOUTS);
    registry.announce(ClockMs(0), &heartbeat("former", 9, EndpointState::Ready));
    assert_eq!(ready_endpoints(&registry), ["former"]);
    registry.announce(ClockMs(1_500), &heartbeat("later", 1, EndpointState::Ready));
    assert_eq!(ready_endpoints(&registry), ["later"]);
    registry.announce(
        ClockMs(2_000),
        &heartbeat("later", 2, EndpointState::Draining),
    );
    assert!(ready_endpoints(&registry).is_empty());
}

#[test]
fn silent_endpoints_get_no_requests() {
    let mut registry = Registry::new(TIMEOUTS);
    registry.announce(ClockMs(0), &heartbeat("e", 1, EndpointState::Ready));
    registry.update_silence(ClockMs(5_000), true);
    assert!(ready_endpoints(&registry).is_empty());
}

/// The records of a registry in which `former` has crashed, and `present` has its address.
fn with_former_incarnation() -> Registry {
    let mut registry = Registry::new(TIMEOUTS);
    registry.announce(ClockMs(0), &heartbeat("former", 9, EndpointState::Ready));
    registry.announce(
        ClockMs(6_000),
        &heartbeat("present", 1, EndpointState::Ready),
    );
    registry.update_silence(ClockMs(6_000), true);
    registry
}

/// Guards against a crashed incarnation that counts as live again at a replica which learns of it.
#[test]
fn silent_incarnation_learned_from_another_replica_stays_silent() {
    let known = with_former_incarnation();
    let mut learning = Registry::new(TIMEOUTS);
    learning.announce(
        ClockMs(7_000),
        &heartbeat("present", 2, EndpointState::Ready),
    );
    learning.merge(ClockMs(7_100), &known.changes_since(0));
    assert!(learning.get(&id("former")).unwrap().is_silent);
    assert_eq!(ready_endpoints(&learning), ["present"]);
    // Without a majority, too: its silence was known to the other replica.
    learning.update_silence(ClockMs(7_200), false);
    assert!(learning.get(&id("former")).unwrap().is_silent);
    learning.announce(
        ClockMs(7_300),
        &heartbeat("former", 10, EndpointState::Ready),
    );
    learning.update_silence(ClockMs(7_400), true);
    assert!(!learning.get(&id("former")).unwrap().is_silent);
}

/// Guards against a record that counts as a heartbeat at the moment at which it is learned.
#[test]
fn learned_incarnation_falls_silent_unless_its_heartbeats_are_known() {
    let mut known = Registry::new(TIMEOUTS);
    known.announce(ClockMs(0), &heartbeat("e", 1, EndpointState::Ready));
    known.announce(ClockMs(0), &heartbeat("f", 1, EndpointState::Ready));
    let mut learning = Registry::new(TIMEOUTS);
    learning.merge(ClockMs(11_000), &known.changes_since(0));
    let heard = HeartbeatAge {
        age_ms: 500,
        id: id("f"),
    };
    learning.apply_heartbeat_ages(ClockMs(11_000), &[heard]);
    learning.update_silence(ClockMs(13_400), true);
    assert_eq!(learning.records().filter(|it| it.is_silent).count(), 0);
    learning.update_silence(ClockMs(13_500), true);
    assert!(learning.get(&id("e")).unwrap().is_silent);
    assert!(!learning.get(&id("f")).unwrap().is_silent);
}

/// Guards against readers that take a former incarnation for the present one.
#[test]
fn readers_learn_incarnations_in_the_order_of_their_heartbeats() {
    let mut registry = Registry::new(TIMEOUTS);
    registry.announce(
        ClockMs(10_900),
        &heartbeat("present", 1, EndpointState::Ready),
    );
    registry.merge(ClockMs(11_000), &with_former_incarnation().changes_since(0));
    let names: Vec<String> = registry
        .changes_since(0)
        .into_iter()
        .map(|it| it.announcement.id.name)
        .collect();
    assert_eq!(names, ["former", "present"]);
}
