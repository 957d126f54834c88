//! Content-defined pieces of a route document: joined they give the exact document, and versions
//! that differ in few routes share most pieces.

use std::sync::Arc;

use masticsill_catalogue::{
    JoinedDocument, PackedPiece, PieceError, PieceFetch, PieceHash, PieceList, PieceStore,
    StoredDocument,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const CALL_BYTES: u32 = 32 * 1024;

fn stored(version: u64, bytes: &[u8]) -> StoredDocument {
    StoredDocument::pack(bytes, version)
}

/// Routes that resemble one another.
fn routes(count: usize) -> Vec<String> {
    let route = |number| {
        format!(
            r#"{{"name":"r-{number}","host":"shop.example","path_prefix":"/r-{number}/",
                "kind":"idempotent","timeout_ms":8000,"priority":1,"service":"plain"}}"#
        )
    };
    (0..count).map(route).collect()
}

fn list(store: &PieceStore) -> PieceList {
    PieceList::clone(store.newest().unwrap())
}

/// Fetches the newest version of a store.
fn fetch_newest(fetch: &mut PieceFetch, store: &PieceStore) -> JoinedDocument {
    fetch.begin(list(store));
    loop {
        if let Some(document) = fetch.join().unwrap() {
            return document;
        }
        let requested = fetch.next(CALL_BYTES);
        assert!(!requested.is_empty());
        for (hash, piece) in store.find(&requested) {
            assert!(fetch.accept_piece(hash, &piece).unwrap());
        }
    }
}

/// Replaces, inserts and removes random ranges of bytes.
fn edited(random: &mut ChaCha8Rng, bytes: &[u8]) -> Vec<u8> {
    let mut edited = bytes.to_vec();
    for _ in 0..random.random_range(0..6) {
        let from = random.random_range(0..=edited.len());
        let to = random.random_range(from..=edited.len().min(from + 5_000));
        let length = random.random_range(0..3_000);
        let inserted: Vec<u8> = (0..length).map(|_| random.random_range(32..127)).collect();
        edited.splice(from..to, inserted);
    }
    edited
}

#[test]
fn joined_pieces_are_the_exact_bytes() {
    for seed in 0..30 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let count = random.random_range(0..1_000);
        let mut bytes = routes(count).join(",\n").into_bytes();
        let (mut store, mut fetch) = (PieceStore::default(), PieceFetch::default());
        for version in 1..5 {
            store.add(&stored(version, &bytes)).unwrap();
            let document = fetch_newest(&mut fetch, &store);
            assert_eq!(document.version, version, "seed {seed}");
            assert!(document.bytes == bytes, "seed {seed}, version {version}");
            bytes = edited(&mut random, &bytes);
        }
    }
}

/// Changes one route and removes another; returns the number of pieces fetched and the percentage
/// of the bytes of the first, full fetch.
fn fetch_cost_of_two_changes(mut routes: Vec<String>) -> (usize, u64) {
    let (mut store, mut fetch) = (PieceStore::default(), PieceFetch::default());
    store
        .add(&stored(1, routes.join(",\n").as_bytes()))
        .unwrap();
    let first = fetch_newest(&mut fetch, &store);
    routes[17] = routes[17].replace("shop", "store");
    routes.remove(routes.len() / 2);
    let text = routes.join(",\n");
    store.add(&stored(2, text.as_bytes())).unwrap();
    let second = fetch_newest(&mut fetch, &store);
    assert!(second.bytes == text.as_bytes());
    let pieces = list(&store).pieces.len();
    assert_eq!(second.reused_pieces + second.fetched_pieces, pieces);
    let percentage = second.fetched_bytes * 100 / first.fetched_bytes;
    (second.fetched_pieces, percentage)
}

#[test]
fn changed_routes_cost_only_their_pieces() {
    let (pieces, percentage) = fetch_cost_of_two_changes(routes(6_000));
    assert!(pieces <= 4 && percentage < 20, "{pieces}, {percentage}%");
}

#[test]
fn long_routes_are_split_as_well() {
    let field = r#""note":"the same words in every route, again and again","#.repeat(25);
    let long = |route: String| route.replacen('{', &format!("{{{field}"), 1);
    let routes = routes(3_000).into_iter().map(long).collect();
    let (pieces, percentage) = fetch_cost_of_two_changes(routes);
    assert!(pieces <= 4 && percentage < 10, "{pieces}, {percentage}%");
}

#[test]
fn text_without_entries_is_split_at_the_maximum_length() {
    let bytes = vec![b' '; 200_000];
    let mut store = PieceStore::default();
    store.add(&stored(1, &bytes)).unwrap();
    let lengths = list(&store).pieces.into_iter().map(|it| it.length_bytes);
    assert_eq!(lengths.collect::<Vec<_>>(), [65_536, 65_536, 65_536, 3_392]);
    assert!(fetch_newest(&mut PieceFetch::default(), &store).bytes == bytes);
}

#[test]
fn equal_documents_are_split_equally_at_every_replica() {
    let text = routes(2_000).join(",\n");
    let (mut one, mut other) = (PieceStore::default(), PieceStore::default());
    other.add(&stored(1, b"another history")).unwrap();
    one.add(&stored(2, text.as_bytes())).unwrap();
    other.add(&stored(2, text.as_bytes())).unwrap();
    assert_eq!(list(&one), list(&other));
}

#[test]
fn older_version_is_ignored() {
    let mut store = PieceStore::default();
    store.add(&stored(2, b"new")).unwrap();
    store.add(&stored(1, b"old")).unwrap();
    assert_eq!(store.version(), Some(2));
}

#[test]
fn latest_versions_can_still_be_fetched() {
    let mut store = PieceStore::default();
    let text = |version: u64| format!("version {version}");
    for version in 1..=9 {
        store
            .add(&stored(version, text(version).as_bytes()))
            .unwrap();
    }
    let kept = |version| {
        !store
            .find(&[PieceHash::of(text(version).as_bytes())])
            .is_empty()
    };
    assert!((2..=9).all(kept));
    assert!(!kept(1));
}

#[test]
fn damaged_piece_stays_missing() {
    let mut store = PieceStore::default();
    store.add(&stored(1, b"what was sent")).unwrap();
    let mut fetch = PieceFetch::default();
    fetch.begin(list(&store));
    let hash = fetch.next(CALL_BYTES)[0];
    let long = vec![0; 200_000];
    for other in [&b"what was sunk"[..], b"what was", &long] {
        let taken = fetch.accept_piece(hash, &PackedPiece::pack(other));
        assert_eq!(taken, Err(PieceError::Damaged));
    }
    assert_eq!(fetch.next(CALL_BYTES), [hash]);
    assert_eq!(fetch.join(), Ok(None));
}

#[test]
fn document_with_wrong_hash_is_rejected_and_fetched_again() {
    let mut store = PieceStore::default();
    store.add(&stored(1, b"what was sent")).unwrap();
    let mut wrong = list(&store);
    wrong.whole[0] ^= 1;
    let mut fetch = PieceFetch::default();
    fetch.begin(wrong);
    let (hash, piece) = store.find(&fetch.next(CALL_BYTES)).remove(0);
    fetch.accept_piece(hash, &piece).unwrap();
    assert_eq!(fetch.join(), Err(PieceError::DocumentHashMismatch));
    let document = fetch_newest(&mut fetch, &store);
    assert_eq!((document.fetched_pieces, document.reused_pieces), (1, 0));
}

#[test]
fn calls_are_bounded_and_never_empty() {
    let mut random = ChaCha8Rng::seed_from_u64(5);
    let bytes: Vec<u8> = (0..600_000).map(|_| random.random()).collect();
    let mut store = PieceStore::default();
    store.add(&stored(1, &bytes)).unwrap();
    let mut fetch = PieceFetch::default();
    fetch.begin(list(&store));
    assert_eq!(fetch.next(1).len(), 1);
    assert_eq!(fetch.next(u32::MAX).len(), list(&store).pieces.len());
    let text = routes(3_000).join(",\n");
    store.add(&stored(2, text.as_bytes())).unwrap();
    fetch.begin(list(&store));
    let asked = store.find(&fetch.next(CALL_BYTES));
    let asked_bytes: usize = asked.iter().map(|(_, piece)| piece.packed_bytes()).sum();
    assert!(asked.len() > 1 && asked_bytes <= CALL_BYTES as usize);
}

/// Replicas apply versions late, lose their pieces in a restart and leave requests unanswered; the
/// fetch asks a random one each time. Once the replicas are up to date, the newest version must
/// arrive.
#[test]
fn newest_version_arrives_despite_slow_and_restarted_replicas() {
    for seed in 0..12 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut texts = vec![routes(400).join(",\n").into_bytes()];
        let mut stores = vec![PieceStore::default(); 3];
        let mut fetch = PieceFetch::default();
        let mut in_force: Option<JoinedDocument> = None;
        let mut steps = 0;
        loop {
            steps += 1;
            assert!(steps < 2_000, "seed {seed}: no progress");
            let is_quiet = steps > 150;
            if !is_quiet && random.random_bool(0.1) {
                let next = edited(&mut random, texts.last().unwrap());
                texts.push(next);
            }
            for store in &mut stores {
                if is_quiet || random.random_bool(0.3) {
                    let version = texts.len() as u64;
                    store.add(&stored(version, texts.last().unwrap())).unwrap();
                }
                if !is_quiet && random.random_bool(0.02) {
                    *store = PieceStore::default();
                }
            }
            let store = &stores[random.random_range(0..3)];
            let newest = store.newest().cloned();
            let held = in_force.as_ref().map(|document| document.version);
            if fetch.version().is_none() {
                let newer = newest.filter(|list| Some(list.version) > held);
                if let Some(list) = newer {
                    fetch.begin(Arc::unwrap_or_clone(list));
                } else if is_quiet && held == Some(texts.len() as u64) {
                    break;
                }
                continue;
            }
            if let Some(document) = fetch.join().unwrap() {
                assert!(Some(document.version) > held);
                let version = usize::try_from(document.version).unwrap();
                assert!(document.bytes == texts[version - 1], "seed {seed}");
                in_force = Some(document);
                continue;
            }
            let answer = store.find(&fetch.next(CALL_BYTES));
            if answer.is_empty() {
                fetch.abandon();
            }
            for (hash, piece) in answer {
                if is_quiet || random.random_bool(0.8) {
                    fetch.accept_piece(hash, &piece).unwrap();
                }
            }
        }
    }
}
