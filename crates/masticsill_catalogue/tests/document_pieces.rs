//! Documents are cut by their content: joined they are the same bytes, and versions share pieces.

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

/// A text of many routes that resemble one another.
fn routes(count: usize) -> Vec<String> {
    let route = |number| {
        format!(
            r#"{{"name":"r-{number}","host":"shop.example","path_prefix":"/r-{number}/",
                "kind":"idempotent","timeout_ms":8000,"priority":1,"service":"plain"}}"#
        )
    };
    (0..count).map(route).collect()
}

fn list(book: &PieceStore) -> PieceList {
    PieceList::clone(book.newest().unwrap())
}

/// Fetches what a book holds newest.
fn fetch_newest(fetch: &mut PieceFetch, book: &PieceStore) -> JoinedDocument {
    fetch.begin(list(book));
    loop {
        if let Some(document) = fetch.join().unwrap() {
            return document;
        }
        let wanted = fetch.next(CALL_BYTES);
        assert!(!wanted.is_empty());
        for (hash, piece) in book.find(&wanted) {
            assert!(fetch.accept_piece(hash, &piece).unwrap());
        }
    }
}

/// Changes some bytes, inserts some and takes some out, at any places.
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
        let (mut book, mut fetch) = (PieceStore::default(), PieceFetch::default());
        for version in 1..5 {
            book.add(&stored(version, &bytes)).unwrap();
            let document = fetch_newest(&mut fetch, &book);
            assert_eq!(document.version, version, "seed {seed}");
            assert!(document.bytes == bytes, "seed {seed}, version {version}");
            bytes = edited(&mut random, &bytes);
        }
    }
}

/// Two routes of a document change: the pieces fetched, and the percentage of the whole's bytes.
fn cost_of_two_changes(mut routes: Vec<String>) -> (usize, u64) {
    let (mut book, mut fetch) = (PieceStore::default(), PieceFetch::default());
    book.add(&stored(1, routes.join(",\n").as_bytes())).unwrap();
    let first = fetch_newest(&mut fetch, &book);
    routes[17] = routes[17].replace("shop", "store");
    routes.remove(routes.len() / 2);
    let text = routes.join(",\n");
    book.add(&stored(2, text.as_bytes())).unwrap();
    let second = fetch_newest(&mut fetch, &book);
    assert!(second.bytes == text.as_bytes());
    let pieces = list(&book).pieces.len();
    assert_eq!(second.reused_pieces + second.fetched_pieces, pieces);
    let percentage = second.fetched_bytes * 100 / first.fetched_bytes;
    (second.fetched_pieces, percentage)
}

#[test]
fn changed_route_costs_its_pieces_only() {
    let (pieces, percentage) = cost_of_two_changes(routes(6_000));
    assert!(pieces <= 4 && percentage < 20, "{pieces}, {percentage}%");
}

#[test]
fn long_routes_are_cut_as_well() {
    let field = r#""note":"the same words in every route, again and again","#.repeat(25);
    let long = |route: String| route.replacen('{', &format!("{{{field}"), 1);
    let routes = routes(3_000).into_iter().map(long).collect();
    let (pieces, percentage) = cost_of_two_changes(routes);
    assert!(pieces <= 4 && percentage < 10, "{pieces}, {percentage}%");
}

#[test]
fn text_without_entries_is_cut_at_the_most_bytes() {
    let bytes = vec![b' '; 200_000];
    let mut book = PieceStore::default();
    book.add(&stored(1, &bytes)).unwrap();
    let lengths = list(&book).pieces.into_iter().map(|it| it.length_bytes);
    assert_eq!(lengths.collect::<Vec<_>>(), [65_536, 65_536, 65_536, 3_392]);
    assert!(fetch_newest(&mut PieceFetch::default(), &book).bytes == bytes);
}

#[test]
fn equal_text_is_cut_alike_at_every_replica() {
    let text = routes(2_000).join(",\n");
    let (mut one, mut other) = (PieceStore::default(), PieceStore::default());
    other.add(&stored(1, b"another history")).unwrap();
    one.add(&stored(2, text.as_bytes())).unwrap();
    other.add(&stored(2, text.as_bytes())).unwrap();
    assert_eq!(list(&one), list(&other));
}

#[test]
fn older_version_is_not_cut() {
    let mut book = PieceStore::default();
    book.add(&stored(2, b"new")).unwrap();
    book.add(&stored(1, b"old")).unwrap();
    assert_eq!(book.version(), Some(2));
}

#[test]
fn last_versions_can_still_be_fetched() {
    let mut book = PieceStore::default();
    let text = |version: u64| format!("version {version}");
    for version in 1..=9 {
        book.add(&stored(version, text(version).as_bytes()))
            .unwrap();
    }
    let kept = |version| {
        !book
            .find(&[PieceHash::of(text(version).as_bytes())])
            .is_empty()
    };
    assert!((2..=9).all(kept));
    assert!(!kept(1));
}

#[test]
fn damaged_piece_stays_missing() {
    let mut book = PieceStore::default();
    book.add(&stored(1, b"what was sent")).unwrap();
    let mut fetch = PieceFetch::default();
    fetch.begin(list(&book));
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
fn other_whole_is_not_taken_and_fetched_anew() {
    let mut book = PieceStore::default();
    book.add(&stored(1, b"what was sent")).unwrap();
    let mut wrong = list(&book);
    wrong.whole[0] ^= 1;
    let mut fetch = PieceFetch::default();
    fetch.begin(wrong);
    let (hash, piece) = book.find(&fetch.next(CALL_BYTES)).remove(0);
    fetch.accept_piece(hash, &piece).unwrap();
    assert_eq!(fetch.join(), Err(PieceError::DocumentHashMismatch));
    let document = fetch_newest(&mut fetch, &book);
    assert_eq!((document.fetched_pieces, document.reused_pieces), (1, 0));
}

#[test]
fn calls_are_bounded_and_never_empty() {
    let mut random = ChaCha8Rng::seed_from_u64(5);
    let bytes: Vec<u8> = (0..600_000).map(|_| random.random()).collect();
    let mut book = PieceStore::default();
    book.add(&stored(1, &bytes)).unwrap();
    let mut fetch = PieceFetch::default();
    fetch.begin(list(&book));
    assert_eq!(fetch.next(1).len(), 1);
    assert_eq!(fetch.next(u32::MAX).len(), list(&book).pieces.len());
    let text = routes(3_000).join(",\n");
    book.add(&stored(2, text.as_bytes())).unwrap();
    fetch.begin(list(&book));
    let asked = book.find(&fetch.next(CALL_BYTES));
    let asked_bytes: usize = asked.iter().map(|(_, piece)| piece.packed_bytes()).sum();
    assert!(asked.len() > 1 && asked_bytes <= CALL_BYTES as usize);
}

/// Replicas that apply versions late, forget what they cut, and don't answer; a relay that asks
/// any of them.
#[test]
fn newest_is_in_force_whatever_happens_on_the_way() {
    for seed in 0..12 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut texts = vec![routes(400).join(",\n").into_bytes()];
        let mut books = vec![PieceStore::default(); 3];
        let mut fetch = PieceFetch::default();
        let mut in_force: Option<JoinedDocument> = None;
        let mut steps = 0;
        loop {
            steps += 1;
            assert!(steps < 2_000, "seed {seed}: no progress");
            let is_calm = steps > 150;
            if !is_calm && random.random_bool(0.1) {
                let next = edited(&mut random, texts.last().unwrap());
                texts.push(next);
            }
            for book in &mut books {
                if is_calm || random.random_bool(0.3) {
                    let version = texts.len() as u64;
                    book.add(&stored(version, texts.last().unwrap())).unwrap();
                }
                if !is_calm && random.random_bool(0.02) {
                    *book = PieceStore::default();
                }
            }
            let book = &books[random.random_range(0..3)];
            let newest = book.newest().cloned();
            let held = in_force.as_ref().map(|document| document.version);
            if fetch.version().is_none() {
                let newer = newest.filter(|list| Some(list.version) > held);
                if let Some(list) = newer {
                    fetch.begin(Arc::unwrap_or_clone(list));
                } else if is_calm && held == Some(texts.len() as u64) {
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
            let answer = book.find(&fetch.next(CALL_BYTES));
            if answer.is_empty() {
                fetch.abandon();
            }
            for (hash, piece) in answer {
                if is_calm || random.random_bool(0.8) {
                    fetch.accept_piece(hash, &piece).unwrap();
                }
            }
        }
    }
}
