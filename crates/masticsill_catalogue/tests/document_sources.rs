//! From which replica a relay fetches a document, when a call counts as late, and how much of the
//! link the fetch uses.

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
fn same_zone_replica_is_preferred() {
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
fn other_zone_is_asked_after_the_same_zone_wait() {
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
fn other_zone_is_asked_at_once_without_same_zone_replicas() {
    let mut sources = DocumentSources::default();
    sources.record_answer(at(0), address(2), source(false, 5));
    assert_eq!(
        sources.choose_list_source(at(0), 0, &IndexSet::new()),
        Some(address(2))
    );
}

#[test]
fn failed_or_stale_replica_is_skipped() {
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
    assert_eq!(sources.newest(), Some(5), "the newest known version stays");
}

#[test]
fn requesters_are_distributed_over_equal_replicas() {
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
fn late_call_threshold_follows_the_duration_of_earlier_calls() {
    let mut pacer = FetchPacer::default();
    assert_eq!(pacer.late_ms(), 300);
    for _ in 0..40 {
        pacer.record_answer(5);
    }
    assert_eq!(pacer.late_ms(), 150);
    pacer.record_answer(200);
    assert_eq!(pacer.late_ms(), 600);
    pacer.record_answer(5);
    assert_eq!(pacer.late_ms(), 540);
    pacer.record_answer(9_000);
    assert_eq!(pacer.late_ms(), 1_000);
}

#[test]
fn request_size_shrinks_after_a_timeout_and_recovers() {
    let mut pacer = FetchPacer::default();
    let most = pacer.call_bytes();
    pacer.record_timeout();
    assert_eq!(pacer.call_bytes(), most / 2);
    for _ in 0..40 {
        pacer.record_timeout();
    }
    assert_eq!(
        pacer.call_bytes(),
        1,
        "the limit stays above zero, so one piece is requested"
    );
    for _ in 0..40 {
        pacer.record_answer(10);
    }
    assert_eq!(pacer.call_bytes(), most);
}

#[test]
fn fetch_pauses_as_long_as_the_call_took_while_relaying() {
    let pacer = FetchPacer::default();
    assert_eq!(pacer.pause_ms(26, true), 26);
    assert_eq!(pacer.pause_ms(26, false), 0);
}
