//! Announcements of several incarnations of one name that arrive late, repeatedly, in any order and
//! through other control replicas must converge to the same record.

use std::net::SocketAddr;

use masticsill_registry::{
    Announcement, EndpointId, EndpointIncarnation, EndpointState, HeartbeatAge, JoinOutcome,
    Registry, RegistryTimeouts,
};
use masticsill_types::{ClockMs, ZoneId};
use proptest::prelude::*;

const NOW: ClockMs = ClockMs(1_000);
const STATES: [EndpointState; 3] = [
    EndpointState::Ready,
    EndpointState::Draining,
    EndpointState::Gone,
];

fn id(incarnation: EndpointIncarnation) -> EndpointId {
    EndpointId {
        incarnation,
        name: "e".to_owned(),
    }
}

fn started(started_at_ms: u64) -> EndpointId {
    id(EndpointIncarnation::started_at(started_at_ms))
}

/// A heartbeat of an endpoint at the address 10.0.0.`host`.
fn heartbeat(id: EndpointId, sequence: u64, state: EndpointState, host: u8) -> Announcement {
    Announcement {
        address: SocketAddr::from(([10, 0, 0, host], 80)),
        cold_left_ms: 0,
        id,
        keeps_prompts: false,
        sequence,
        service: "drafts".to_owned(),
        slots: 4,
        state,
        version: String::new(),
        zone: ZoneId::new("a").unwrap(),
    }
}

fn ready(id: EndpointId, sequence: u64) -> Announcement {
    heartbeat(id, sequence, EndpointState::Ready, 1)
}

fn registry() -> Registry {
    Registry::new(RegistryTimeouts::default())
}

fn newest(registry: &Registry) -> &Announcement {
    &registry.newest("e").unwrap().announcement
}

/// Announcements of up to five incarnations, one of them without a start time. There are few
/// values, so that equal ones are frequent.
fn any_announcement() -> impl Strategy<Value = Announcement> {
    let incarnation = prop_oneof![
        Just(EndpointIncarnation::UNKNOWN),
        (1_u64..4).prop_map(EndpointIncarnation::started_at),
        Just(EndpointIncarnation::started_at(u64::MAX)),
    ];
    let state = prop::sample::select(&STATES);
    (incarnation, 0_u64..4, state, 1_u8..4).prop_map(|(incarnation, sequence, state, host)| {
        heartbeat(id(incarnation), sequence, state, host)
    })
}

fn joined(announcements: &[Announcement]) -> Announcement {
    let mut joined = announcements[0].clone();
    for announcement in &announcements[1..] {
        joined.join(announcement);
    }
    joined
}

/// The expected final record, computed from all announcements at once.
fn expected(announcements: &[Announcement]) -> (EndpointIncarnation, EndpointState, u64) {
    let incarnation = announcements
        .iter()
        .map(|announcement| announcement.id.incarnation)
        .max()
        .unwrap();
    let of_incarnation: Vec<_> = announcements
        .iter()
        .filter(|announcement| announcement.id.incarnation == incarnation)
        .collect();
    let state = of_incarnation
        .iter()
        .map(|announcement| announcement.state)
        .max()
        .unwrap();
    let sequence = of_incarnation
        .iter()
        .map(|announcement| announcement.sequence)
        .max()
        .unwrap();
    (incarnation, state, sequence)
}

fn known(announcement: &Announcement) -> (EndpointIncarnation, EndpointState, u64) {
    let Announcement {
        id,
        sequence,
        state,
        ..
    } = announcement;
    (id.incarnation, *state, *sequence)
}

proptest! {
    #[test]
    fn join_is_commutative(left in any_announcement(), right in any_announcement()) {
        prop_assert_eq!(joined(&[left.clone(), right.clone()]), joined(&[right, left]));
    }

    #[test]
    fn join_is_associative(
        first in any_announcement(),
        second in any_announcement(),
        third in any_announcement(),
    ) {
        let right = joined(&[second.clone(), third.clone()]);
        let left = joined(&[first.clone(), second]);
        prop_assert_eq!(joined(&[left, third]), joined(&[first, right]));
    }

    #[test]
    fn join_is_idempotent(announcement in any_announcement(), other in any_announcement()) {
        prop_assert_eq!(
            joined(&[announcement.clone(), announcement.clone()]),
            announcement.clone()
        );
        let both = joined(&[announcement, other.clone()]);
        let mut again = both.clone();
        prop_assert_eq!(again.join(&other), JoinOutcome::Same);
        prop_assert_eq!(again, both);
    }

    #[test]
    fn join_never_moves_backwards(
        announcements in prop::collection::vec(any_announcement(), 2..20),
    ) {
        let mut known_record = announcements[0].clone();
        for announcement in &announcements[1..] {
            let before = known_record.clone();
            let joined = known_record.join(announcement);
            let has_advanced = (known_record.id.incarnation, known_record.state)
                > (before.id.incarnation, before.state);
            let is_replaced = known_record.id.incarnation > before.id.incarnation;
            prop_assert!(
                has_advanced
                    || (known_record.id.incarnation, known_record.state)
                        == (before.id.incarnation, before.state)
            );
            prop_assert_eq!(joined == JoinOutcome::Replaced, is_replaced);
            prop_assert!(joined != JoinOutcome::Same || !has_advanced);
        }
    }

    /// Three replicas receive announcements in any order, some of them twice, and exchange their
    /// records in any order. All must end with the same record as a model that sees everything.
    #[test]
    fn replicas_converge_to_the_model(
        announcements in prop::collection::vec(any_announcement(), 1..20),
        heard in prop::collection::vec((0_usize..3, any::<prop::sample::Index>()), 0..60),
        exchanges in prop::collection::vec((0_usize..3, 0_usize..3), 0..20),
    ) {
        let mut instances = [registry(), registry(), registry()];
        for (instance, announcement) in &heard {
            instances[*instance].announce(NOW, announcement.get(&announcements));
        }
        // Each announcement reaches at least one replica.
        for (position, announcement) in announcements.iter().enumerate() {
            instances[position % 3].announce(NOW, announcement);
        }
        let full_rounds = [(0, 1), (1, 2), (2, 0), (0, 1)];
        for (from, to) in exchanges.into_iter().chain(full_rounds) {
            let records = instances[from].changes_since(0);
            instances[to].merge(NOW, &records);
        }
        let (incarnation, state, _) = expected(&announcements);
        for instance in &instances {
            let (known_incarnation, known_state, _) = known(newest(instance));
            prop_assert_eq!((known_incarnation, known_state), (incarnation, state));
            prop_assert_eq!(instance.records().count(), 1);
        }
    }

    #[test]
    fn one_replica_keeps_the_newest_announcement(
        announcements in prop::collection::vec(any_announcement(), 1..20),
    ) {
        let mut registry = registry();
        for announcement in &announcements {
            registry.announce(NOW, announcement);
        }
        prop_assert_eq!(known(newest(&registry)), expected(&announcements));
    }

    #[test]
    fn readers_receive_each_change(
        announcements in prop::collection::vec(any_announcement(), 1..20),
    ) {
        let (mut source, mut reader) = (registry(), registry());
        let mut seen = 0;
        for announcement in &announcements {
            source.announce(NOW, announcement);
            let changes = source.changes_since(seen);
            seen = source.revision();
            reader.merge(NOW, &changes);
            let (incarnation, state, _) = known(newest(&source));
            let (read_incarnation, read_state, _) = known(newest(&reader));
            prop_assert_eq!((read_incarnation, read_state), (incarnation, state));
            prop_assert_eq!(newest(&reader).address, newest(&source).address);
        }
    }
}

#[test]
fn newer_incarnation_replaces_the_former_one() {
    let mut registry = registry();
    registry.announce(NOW, &ready(started(1), 90));
    registry.deregister(NOW, &started(1));
    assert!(registry.announce(NOW, &ready(started(2), 1)));
    assert_eq!(newest(&registry), &ready(started(2), 1));
    assert!(registry.get(&started(1)).is_none());
}

#[test]
fn late_announcement_of_a_former_incarnation_changes_nothing() {
    let mut registry = registry();
    registry.announce(NOW, &ready(started(2), 1));
    let revision = registry.revision();
    assert!(!registry.announce(NOW, &heartbeat(started(1), 99, EndpointState::Draining, 9)));
    assert!(!registry.announce(NOW, &ready(EndpointId::with_unknown_incarnation("e"), 100)));
    assert!(!registry.deregister(NOW, &started(1)));
    assert_eq!(newest(&registry), &ready(started(2), 1));
    assert_eq!(registry.revision(), revision);
}

#[test]
fn late_announcement_of_a_former_incarnation_does_not_prevent_silence() {
    let mut registry = registry();
    registry.announce(ClockMs(0), &ready(started(2), 1));
    registry.announce(ClockMs(4_900), &ready(started(1), 50));
    let heard = HeartbeatAge {
        age_ms: 0,
        id: started(1),
    };
    registry.apply_heartbeat_ages(ClockMs(4_900), &[heard]);
    registry.update_silence(ClockMs(5_000), true);
    assert!(registry.get(&started(2)).unwrap().is_silent);
}

#[test]
fn newer_incarnation_of_a_silent_one_is_not_silent() {
    let mut registry = registry();
    registry.announce(ClockMs(0), &ready(started(1), 1));
    registry.update_silence(ClockMs(5_000), true);
    assert!(registry.get(&started(1)).unwrap().is_silent);
    registry.announce(ClockMs(5_100), &ready(started(2), 1));
    assert!(!registry.get(&started(2)).unwrap().is_silent);
    let heard = registry.direct_heartbeat_ages(ClockMs(5_200));
    assert_eq!(heard[0].id, started(2));
}

#[test]
fn deregistration_without_start_time_ends_the_known_incarnation() {
    let mut registry = registry();
    registry.announce(NOW, &ready(started(2), 1));
    assert!(registry.deregister(NOW, &EndpointId::with_unknown_incarnation("e")));
    assert_eq!(newest(&registry).id, started(2));
    assert_eq!(newest(&registry).state, EndpointState::Gone);
    assert!(registry.announce(NOW, &ready(started(3), 1)));
}
