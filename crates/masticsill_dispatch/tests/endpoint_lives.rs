//! Endpoints that start again under their old id, told by several control replicas in any order.

use masticsill_dispatch::{EndpointTable, Wanted, ZoneShare, choose};
use masticsill_registry::{
    Announcement, CachedTokens, EndpointId, EndpointIncarnation, EndpointLoad, EndpointRecord,
    EndpointState,
};
use masticsill_types::{ClockMs, NodeId, ZoneId};
use proptest::prelude::*;

const NOW: ClockMs = ClockMs(100_000);
const NAMES: [&str; 2] = ["e", "f"];
const STATES: [EndpointState; 3] = [
    EndpointState::Ready,
    EndpointState::Draining,
    EndpointState::Gone,
];

fn zone() -> ZoneId {
    ZoneId::new("a").unwrap()
}

fn control(number: usize) -> NodeId {
    NodeId::new(format!("c{number}")).unwrap()
}

fn born(name: &str, born_ms: u64) -> EndpointId {
    EndpointId {
        incarnation: EndpointIncarnation::started_at(born_ms),
        name: name.to_owned(),
    }
}

fn record(id: EndpointId, state: EndpointState, port: u16) -> EndpointRecord {
    EndpointRecord {
        announcement: Announcement {
            address: ([10, 0, 0, 1], port).into(),
            cold_left_ms: 0,
            id,
            keeps_prompts: true,
            sequence: 1,
            service: "s".to_owned(),
            slots: 4,
            state,
            zone: zone(),
        },
        is_silent: false,
    }
}

fn ready(id: EndpointId) -> EndpointRecord {
    record(id, EndpointState::Ready, 80)
}

fn tell(table: &mut EndpointTable, record: EndpointRecord) -> Vec<EndpointId> {
    table.merge(&control(0), &[record])
}

fn chosen(table: &EndpointTable, kept: &[CachedTokens]) -> Option<(EndpointId, u64)> {
    let wanted = Wanted {
        closed: &[],
        excluded: &[],
        kept,
        not_in_zone: None,
        place: None,
        service: "s",
        share: ZoneShare::default(),
        zone: &zone(),
    };
    let choice = choose(table, NOW, &wanted, |_| true, || 0.0)?;
    Some((choice.id, choice.kept_tokens))
}

/// Words of few lives of two names. Each name has a port of its own.
fn words() -> impl Strategy<Value = EndpointRecord> {
    let incarnation = prop_oneof![
        Just(EndpointIncarnation::UNKNOWN),
        (1_u64..4).prop_map(EndpointIncarnation::started_at),
    ];
    let state = prop::sample::select(&STATES);
    (0..NAMES.len(), incarnation, state).prop_map(|(name, incarnation, state)| {
        let id = EndpointId {
            incarnation,
            name: NAMES[name].to_owned(),
        };
        let port = if name == 0 { 80 } else { 81 };
        record(id, state, port)
    })
}

/// The newest life of a name and its furthest state, by looking at all words at once.
fn expected(words: &[EndpointRecord], name: &str) -> Option<(EndpointIncarnation, EndpointState)> {
    let words = words.iter().map(|it| &it.announcement);
    let of_name: Vec<_> = words.filter(|it| it.id.name == name).collect();
    let incarnation = of_name.iter().map(|it| it.id.incarnation).max()?;
    let of_life = of_name.iter().filter(|it| it.id.incarnation == incarnation);
    Some((incarnation, of_life.map(|it| it.state).max()?))
}

proptest! {
    #[test]
    fn only_newest_life_is_used(
        words in prop::collection::vec(words(), 1..16),
        again in prop::collection::vec((0_usize..3, any::<prop::sample::Index>()), 0..40),
    ) {
        let mut table = EndpointTable::default();
        for (position, word) in words.iter().enumerate() {
            table.merge(&control(position % 3), std::slice::from_ref(word));
        }
        for (from, word) in &again {
            table.merge(&control(*from), std::slice::from_ref(word.get(&words)));
        }
        for name in NAMES {
            let known: Vec<_> = table.iter().filter(|it| it.announcement.id.name == name).collect();
            let usable: Vec<_> = known.iter().filter(|it| it.is_ready()).collect();
            match expected(&words, name) {
                Some((incarnation, EndpointState::Ready)) => {
                    prop_assert_eq!(usable.len(), 1);
                    prop_assert_eq!(usable[0].announcement.id.incarnation, incarnation);
                }
                _ => prop_assert!(usable.is_empty()),
            }
            let newest = expected(&words, name).map(|(incarnation, _)| incarnation);
            let is_known_as_it_is = known.iter().all(|it| {
                let id = &it.announcement.id;
                Some(id.incarnation) == newest || table.is_outlived(id)
            });
            prop_assert!(is_known_as_it_is);
        }
    }
}

#[test]
fn new_life_has_nothing_of_the_former() {
    let mut table = EndpointTable::default();
    tell(&mut table, ready(born("e", 1)));
    let former = table.get_mut(&born("e", 1)).unwrap();
    former.in_flight = 3;
    former.held_tokens = 9_000;
    former.reading = 1;
    former.health.note_failure(NOW);
    former.note_full(NOW);
    let changed = tell(&mut table, ready(born("e", 2)));
    assert_eq!(changed, [born("e", 1), born("e", 2)]);
    let newest = table.get(&born("e", 2)).unwrap();
    assert_eq!(
        (newest.in_flight, newest.held_tokens, newest.reading),
        (0, 0, 0)
    );
    assert!(!newest.is_full(NOW) && !newest.health.is_held(NOW));
    let former = table.get(&born("e", 1)).unwrap();
    assert_eq!(former.in_flight, 3, "what is there ends there");
    assert!(!former.is_ready() && table.is_outlived(&born("e", 1)));
}

#[test]
fn late_word_of_the_former_life_changes_nothing() {
    let mut table = EndpointTable::default();
    tell(&mut table, ready(born("e", 2)));
    assert!(tell(&mut table, ready(born("e", 1))).is_empty());
    let gone = record(born("e", 1), EndpointState::Gone, 80);
    assert!(tell(&mut table, gone).is_empty());
    assert!(tell(&mut table, ready(EndpointId::with_unknown_incarnation("e"))).is_empty());
    assert_eq!(chosen(&table, &[]), Some((born("e", 2), 0)));
}

#[test]
fn loads_at_the_former_life_count_no_more() {
    let mut table = EndpointTable::default();
    tell(&mut table, ready(born("e", 2)));
    let load = |born_ms| EndpointLoad {
        id: born("e", born_ms),
        in_flight: 5,
        reading: 1,
        held_tokens: 7_000,
        is_failing: false,
    };
    table.take_loads(NOW, &zone(), &[load(1)]);
    assert_eq!(table.get(&born("e", 2)).unwrap().others.in_flight, 0);
    table.take_loads(NOW, &zone(), &[load(1), load(2)]);
    assert_eq!(table.get(&born("e", 2)).unwrap().others.in_flight, 5);
}

#[test]
fn prompts_of_the_former_life_count_no_more() {
    let mut table = EndpointTable::default();
    tell(&mut table, ready(born("e", 2)));
    let kept = |born_ms| CachedTokens {
        endpoint: born("e", born_ms),
        tokens: 8_000,
    };
    assert_eq!(chosen(&table, &[kept(1)]), Some((born("e", 2), 0)));
    assert_eq!(chosen(&table, &[kept(2)]), Some((born("e", 2), 8_000)));
}
