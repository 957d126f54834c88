//! Words of several lives of one id: late, twice, in any order and over other instances.

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

/// A heartbeat from the address with this last number.
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

/// Words of up to four lives, one of them without a birth. Few values, so that they meet often.
fn words() -> impl Strategy<Value = Announcement> {
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

fn joined(words: &[Announcement]) -> Announcement {
    let mut joined = words[0].clone();
    for word in &words[1..] {
        joined.join(word);
    }
    joined
}

/// What must be known in the end, by looking at all words at once.
fn expected(words: &[Announcement]) -> (EndpointIncarnation, EndpointState, u64) {
    let incarnation = words.iter().map(|word| word.id.incarnation).max().unwrap();
    let of_incarnation: Vec<_> = words
        .iter()
        .filter(|word| word.id.incarnation == incarnation)
        .collect();
    let state = of_incarnation.iter().map(|word| word.state).max().unwrap();
    let sequence = of_incarnation
        .iter()
        .map(|word| word.sequence)
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
    fn join_is_commutative(left in words(), right in words()) {
        prop_assert_eq!(joined(&[left.clone(), right.clone()]), joined(&[right, left]));
    }

    #[test]
    fn join_is_associative(first in words(), second in words(), third in words()) {
        let right = joined(&[second.clone(), third.clone()]);
        let left = joined(&[first.clone(), second]);
        prop_assert_eq!(joined(&[left, third]), joined(&[first, right]));
    }

    #[test]
    fn join_is_idempotent(word in words(), other in words()) {
        prop_assert_eq!(joined(&[word.clone(), word.clone()]), word.clone());
        let both = joined(&[word, other.clone()]);
        let mut again = both.clone();
        prop_assert_eq!(again.join(&other), JoinOutcome::Same);
        prop_assert_eq!(again, both);
    }

    #[test]
    fn nothing_goes_back(words in prop::collection::vec(words(), 2..20)) {
        let mut known_now = words[0].clone();
        for word in &words[1..] {
            let before = known_now.clone();
            let joined = known_now.join(word);
            let has_moved = (known_now.id.incarnation, known_now.state) > (before.id.incarnation, before.state);
            let is_replaced = known_now.id.incarnation > before.id.incarnation;
            prop_assert!(has_moved || (known_now.id.incarnation, known_now.state) == (before.id.incarnation, before.state));
            prop_assert_eq!(joined == JoinOutcome::Replaced, is_replaced);
            prop_assert!(joined != JoinOutcome::Same || !has_moved);
        }
    }

    /// Three instances hear words in any order, some of them twice, exchange all they know in any
    /// order, and a reader follows one of them: all know the same as a model that sees everything.
    #[test]
    fn instances_agree_with_the_model(
        words in prop::collection::vec(words(), 1..20),
        heard in prop::collection::vec((0_usize..3, any::<prop::sample::Index>()), 0..60),
        exchanges in prop::collection::vec((0_usize..3, 0_usize..3), 0..20),
    ) {
        let mut instances = [registry(), registry(), registry()];
        for (instance, word) in &heard {
            instances[*instance].announce(NOW, word.get(&words));
        }
        // Each word comes somewhere once at least.
        for (position, word) in words.iter().enumerate() {
            instances[position % 3].announce(NOW, word);
        }
        let whole_rounds = [(0, 1), (1, 2), (2, 0), (0, 1)];
        for (from, to) in exchanges.into_iter().chain(whole_rounds) {
            let records = instances[from].changes_since(0);
            instances[to].merge(NOW, &records);
        }
        let (incarnation, state, _) = expected(&words);
        for instance in &instances {
            let (known_incarnation, known_state, _) = known(newest(instance));
            prop_assert_eq!((known_incarnation, known_state), (incarnation, state));
            prop_assert_eq!(instance.records().count(), 1);
        }
    }

    #[test]
    fn one_instance_ends_with_the_newest_word(words in prop::collection::vec(words(), 1..20)) {
        let mut registry = registry();
        for word in &words {
            registry.announce(NOW, word);
        }
        prop_assert_eq!(known(newest(&registry)), expected(&words));
    }

    #[test]
    fn readers_hear_of_each_change(words in prop::collection::vec(words(), 1..20)) {
        let (mut told, mut reader) = (registry(), registry());
        let mut seen = 0;
        for word in &words {
            told.announce(NOW, word);
            let changes = told.changes_since(seen);
            seen = told.revision();
            reader.merge(NOW, &changes);
            let (incarnation, state, _) = known(newest(&told));
            let (read_incarnation, read_state, _) = known(newest(&reader));
            prop_assert_eq!((read_incarnation, read_state), (incarnation, state));
            prop_assert_eq!(newest(&reader).address, newest(&told).address);
        }
    }
}

#[test]
fn a_newer_life_begins_anew() {
    let mut registry = registry();
    registry.announce(NOW, &ready(started(1), 90));
    registry.deregister(NOW, &started(1));
    assert!(registry.announce(NOW, &ready(started(2), 1)));
    assert_eq!(newest(&registry), &ready(started(2), 1));
    assert!(registry.get(&started(1)).is_none());
}

#[test]
fn a_late_word_of_a_former_life_changes_nothing() {
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
fn a_late_word_of_a_former_life_is_no_sign_of_life() {
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
fn a_newer_life_is_not_silent_as_its_former_one() {
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
fn a_deregistration_without_a_birth_ends_the_known_life() {
    let mut registry = registry();
    registry.announce(NOW, &ready(started(2), 1));
    assert!(registry.deregister(NOW, &EndpointId::with_unknown_incarnation("e")));
    assert_eq!(newest(&registry).id, started(2));
    assert_eq!(newest(&registry).state, EndpointState::Gone);
    assert!(registry.announce(NOW, &ready(started(3), 1)));
}
