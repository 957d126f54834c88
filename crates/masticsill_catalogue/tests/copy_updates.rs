//! Compares copies of the catalogue that are brought up to date by deltas and snapshots with a
//! naive history of full copies.

mod common;

use common::{delete, put, send};
use indexmap::IndexMap;
use masticsill_catalogue::{
    ApplyOutcome, Catalogue, CatalogueUpdate, ControlState, MAX_TOMBSTONES, VersionedEntry,
};
use masticsill_types::{CatalogueVersion, EntryId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

type Naive = IndexMap<EntryId, VersionedEntry>;

fn contents(catalogue: &Catalogue) -> Naive {
    let entries = catalogue.entries().cloned();
    entries.map(|held| (held.entry.id.clone(), held)).collect()
}

fn change_at_random(random: &mut ChaCha8Rng, state: &mut ControlState, naive: &mut Naive) {
    let entry_id = format!("e{}", random.random_range(0..12));
    let change_id = format!("c{}", random.random::<u64>());
    let id: EntryId = entry_id.parse().unwrap();
    let held = naive.get(&id).map_or(0, |held| held.version.0);
    // One change in five expects a wrong version and must change nothing.
    let is_stale = random.random_ratio(1, 5);
    let expected = if is_stale { held + 1 } else { held };
    let change = if held > 0 && random.random_ratio(1, 3) {
        delete(&change_id, &entry_id, expected)
    } else {
        put(&change_id, &entry_id, expected, random.random_range(1..800))
    };
    let before = state.catalogue().version();
    send(state, &change);
    if is_stale {
        assert_eq!(state.catalogue().version(), before);
        return;
    }
    let version = before.next();
    match change.content {
        masticsill_catalogue::ChangeContent::Delete => {
            naive.swap_remove(&id);
        }
        masticsill_catalogue::ChangeContent::Put(entry) => {
            let entry = *entry;
            naive.insert(id, VersionedEntry { entry, version });
        }
    }
}

/// Copies get updates from the source and from each other, in any order; some updates are delayed
/// and applied later, possibly more than once.
fn run_schedule(seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut state = ControlState::default();
    let mut naive = Naive::new();
    let mut history = vec![naive.clone()];
    let mut copies = vec![Catalogue::default(); 3];
    let mut held_back: Vec<CatalogueUpdate> = Vec::new();
    for _ in 0..60 {
        let before = state.catalogue().version();
        change_at_random(&mut random, &mut state, &mut naive);
        if state.catalogue().version() > before {
            history.push(naive.clone());
        }
        let to = random.random_range(0..copies.len());
        let from = random.random_range(0..=copies.len());
        let source = copies.get(from).unwrap_or(state.catalogue());
        let asked_for = copies[to].version();
        let update = source.update_since(asked_for);
        let held = match random.random_range(0..3) {
            0 => update.map(|update| held_back.push(update)).and(None),
            1 if !held_back.is_empty() => {
                let position = random.random_range(0..held_back.len());
                Some(held_back[position].clone())
            }
            _ => update,
        };
        let Some(update) = held else { continue };
        copies[to].apply(update);
        assert!(
            copies[to].version() >= asked_for,
            "seed {seed}: version decreased"
        );
        for copy in &copies {
            let version = usize::try_from(copy.version().0).unwrap();
            assert_eq!(contents(copy), history[version], "seed {seed}");
        }
    }
    assert_eq!(contents(state.catalogue()), naive, "seed {seed}");
}

#[test]
fn every_copy_equals_the_naive_catalogue_at_its_version() {
    for seed in 0..2_000 {
        run_schedule(seed);
    }
}

#[test]
fn delta_after_the_copys_version_is_not_applied() {
    let mut state = ControlState::default();
    for number in 0..4 {
        send(
            &mut state,
            &put(&format!("c{number}"), &format!("e{number}"), 0, 1),
        );
    }
    let delta = state.catalogue().update_since(CatalogueVersion(2)).unwrap();
    let mut copy = Catalogue::default();
    assert_eq!(copy.apply(delta), ApplyOutcome::Gap);
    assert_eq!(copy, Catalogue::default());
}

#[test]
fn the_smaller_of_delta_and_snapshot_is_sent() {
    let mut state = ControlState::default();
    for number in 0..20 {
        send(
            &mut state,
            &put(&format!("p{number}"), &format!("e{number}"), 0, 1),
        );
    }
    let update = state
        .catalogue()
        .update_since(CatalogueVersion(18))
        .unwrap();
    assert!(matches!(update, CatalogueUpdate::Delta(delta) if delta.puts.len() == 2));
    for number in 0..19 {
        send(
            &mut state,
            &delete(&format!("d{number}"), &format!("e{number}"), number + 1),
        );
    }
    let update = state
        .catalogue()
        .update_since(CatalogueVersion(18))
        .unwrap();
    assert!(matches!(update, CatalogueUpdate::Snapshot(snapshot) if snapshot.entries.len() == 1));
}

#[test]
fn copy_older_than_the_kept_deletions_gets_a_snapshot() {
    let mut state = ControlState::default();
    send(&mut state, &put("kept", "kept", 0, 1));
    send(&mut state, &put("first", "first", 0, 1));
    let mut copy = Catalogue::default();
    copy.apply(state.catalogue().update_since(CatalogueVersion(0)).unwrap());
    send(&mut state, &delete("gone", "first", 2));
    for number in 0..MAX_TOMBSTONES as u64 {
        let version = 4 + 2 * number;
        send(&mut state, &put(&format!("p{number}"), "e", 0, 1));
        send(&mut state, &delete(&format!("d{number}"), "e", version));
    }
    let update = state.catalogue().update_since(copy.version()).unwrap();
    assert!(matches!(update, CatalogueUpdate::Snapshot(_)));
    copy.apply(update);
    assert_eq!(contents(&copy), contents(state.catalogue()));
}
