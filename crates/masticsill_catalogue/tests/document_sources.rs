//! Whom a relay asks for a document, how long it waits, and what it leaves of the link.

use std::net::SocketAddr;

use indexmap::IndexSet;
use masticsill_catalogue::{DocumentSource, DocumentSources, FetchPacer};
use masticsill_types::ClockMs;

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, number], 1))
}

fn source(is_same_zone: bool, version: u64) -> DocumentSource {
    DocumentSource {
        is_same_zone,
        version: Some(version),
    }
}

fn at(ms: u64) -> ClockMs {
    ClockMs(ms)
}

#[test]
fn own_zone_is_asked_first() {
    let mut sources = DocumentSources::default();
    sources.record_answer(at(0), address(1), source(false, 5));
    sources.record_answer(at(0), address(2), source(true, 5));
    assert_eq!(sources.newest(), Some(5));
    assert_eq!(
        sources.choose_list_source(at(1), 7, &IndexSet::new()),
        Some(address(2))
    );
    assert_eq!(
        sources.choose_piece_source(5, 7, &IndexSet::new()),
        Some(address(2))
    );
}

#[test]
fn another_zone_is_asked_once_the_own_one_is_late() {
    let mut sources = DocumentSources::default();
    sources.record_answer(at(0), address(1), source(true, 4));
    sources.record_answer(at(1_000), address(2), source(false, 5));
    let none = IndexSet::new();
    assert_eq!(sources.choose_list_source(at(1_149), 0, &none), None);
    assert_eq!(
        sources.choose_list_source(at(1_150), 0, &none),
        Some(address(2))
    );
    sources.record_answer(at(1_160), address(1), source(true, 5));
    assert_eq!(
        sources.choose_list_source(at(1_160), 0, &none),
        Some(address(1))
    );
}

#[test]
fn another_zone_is_asked_at_once_without_an_own_one() {
    let mut sources = DocumentSources::default();
    sources.record_answer(at(0), address(2), source(false, 5));
    assert_eq!(
        sources.choose_list_source(at(0), 0, &IndexSet::new()),
        Some(address(2))
    );
}

#[test]
fn replica_that_failed_or_is_behind_is_passed_over() {
    let mut sources = DocumentSources::default();
    sources.record_answer(at(0), address(1), source(true, 5));
    sources.record_answer(at(0), address(2), source(true, 4));
    sources.record_answer(at(0), address(3), source(false, 5));
    let failed: IndexSet<SocketAddr> = [address(1)].into();
    assert_eq!(
        sources.choose_list_source(at(1), 0, &failed),
        Some(address(3))
    );
    assert_eq!(sources.choose_piece_source(5, 0, &failed), Some(address(3)));
    assert_eq!(sources.choose_piece_source(4, 0, &failed), Some(address(2)));
    sources.remove(&address(3));
    assert_eq!(sources.choose_piece_source(5, 0, &failed), None);
    assert_eq!(sources.newest(), Some(5), "a version is not forgotten");
}

#[test]
fn equal_replicas_share_the_relays() {
    let mut sources = DocumentSources::default();
    sources.record_answer(at(0), address(2), source(true, 5));
    sources.record_answer(at(0), address(1), source(true, 5));
    let asked = |turn| {
        sources
            .choose_piece_source(5, turn, &IndexSet::new())
            .unwrap()
    };
    assert_eq!([asked(0), asked(1)], [address(1), address(2)]);
}

#[test]
fn late_follows_from_how_long_calls_took() {
    let mut pace = FetchPacer::default();
    assert_eq!(pace.late_ms(), 300);
    for _ in 0..40 {
        pace.record_answer(5);
    }
    assert_eq!(pace.late_ms(), 150);
    pace.record_answer(200);
    assert_eq!(pace.late_ms(), 600);
    pace.record_answer(5);
    assert_eq!(pace.late_ms(), 540);
    pace.record_answer(9_000);
    assert_eq!(pace.late_ms(), 1_000);
}

#[test]
fn less_is_asked_for_after_a_silence() {
    let mut pace = FetchPacer::default();
    let most = pace.call_bytes();
    pace.record_timeout();
    assert_eq!(pace.call_bytes(), most / 2);
    for _ in 0..40 {
        pace.record_timeout();
    }
    assert_eq!(pace.call_bytes(), 1, "one piece is always asked for");
    for _ in 0..40 {
        pace.record_answer(10);
    }
    assert_eq!(pace.call_bytes(), most);
}

#[test]
fn streams_have_half_of_the_link() {
    let pace = FetchPacer::default();
    assert_eq!(pace.pause_ms(26, true), 26);
    assert_eq!(pace.pause_ms(26, false), 0);
}
