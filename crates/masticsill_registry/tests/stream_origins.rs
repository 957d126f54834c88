//! Where streams began: what is remembered, reported and stored.

use masticsill_registry::{AttemptKey, StoredStream, StreamOrigin, StreamOrigins, StreamRecord};
use masticsill_types::ClockMs;

const NOW: ClockMs = ClockMs(100_000);
const SERVICE: &str = "engines";

fn key(id: &str) -> AttemptKey {
    AttemptKey::new(Some("w"), id)
}

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        service: SERVICE.to_owned(),
        version: version.to_owned(),
    }
}

fn record(id: &str, version: &str, expires_in_ms: u64) -> StreamRecord {
    StreamRecord {
        attempt: key(id),
        expires_in_ms,
        origin: origin(version),
    }
}

#[test]
fn stream_is_remembered_until_its_caller_gives_up() {
    let mut origins = StreamOrigins::default();
    origins.record(NOW, &record("a", "v1", 5_000));
    assert_eq!(origins.find(NOW + 4_999, &key("a")), Some(&origin("v1")));
    assert_eq!(origins.find(NOW + 5_000, &key("a")), None);
    assert_eq!(origins.find(NOW, &key("b")), None);
}

/// Guards against a caller that is given the version of another workspace's stream.
#[test]
fn attempts_of_different_workspaces_are_kept_apart() {
    let mut origins = StreamOrigins::default();
    origins.record(NOW, &record("a", "v1", 5_000));
    assert_eq!(origins.find(NOW, &AttemptKey::new(Some("x"), "a")), None);
    assert_eq!(origins.find(NOW, &AttemptKey::new(None, "wa")), None);
}

/// Guards against a stream that goes on at either of two versions that are reported for it.
#[test]
fn contradicting_reports_leave_a_stream_without_origin() {
    let mut origins = StreamOrigins::default();
    origins.record(NOW, &record("a", "v1", 5_000));
    origins.record(NOW, &record("a", "v1", 9_000));
    assert_eq!(origins.find(NOW + 8_000, &key("a")), Some(&origin("v1")));
    origins.record(NOW, &record("a", "v2", 5_000));
    origins.record(NOW, &record("a", "v1", 5_000));
    assert_eq!(origins.find(NOW, &key("a")), None);
}

/// Guards against a replica that restarts and is told only of streams begun since.
#[test]
fn all_streams_that_may_be_continued_are_reported_from_the_start() {
    let mut origins = StreamOrigins::default();
    origins.record(NOW, &record("a", "v1", 1_000));
    origins.record(NOW, &record("b", "v2", 9_000));
    let reported = origins.revision();
    origins.record(NOW, &record("c", "v2", 9_000));
    let ids = |records: Vec<StreamRecord>| {
        let mut keys: Vec<AttemptKey> = records.iter().map(|it| it.attempt).collect();
        keys.reverse();
        keys
    };
    assert_eq!(ids(origins.since(NOW, reported)), [key("c")]);
    let later = origins.since(NOW + 2_000, 0);
    assert_eq!(later[0].expires_in_ms, 7_000);
    assert_eq!(ids(later), [key("b"), key("c")]);
}

/// Guards against memory that grows with every stream.
#[test]
fn expired_and_excess_streams_are_dropped() {
    let mut origins = StreamOrigins::default();
    for number in 0..600_000_u32 {
        origins.record(NOW, &record(&number.to_string(), "v1", 60_000));
    }
    assert!(origins.since(NOW, 0).len() <= 262_144);
    assert_eq!(origins.find(NOW, &key("0")), None);
    assert!(origins.find(NOW, &key("599999")).is_some());
    let later = NOW + 60_000;
    for number in 0..300_000_u32 {
        origins.record(later, &record(&format!("b{number}"), "v1", 60_000));
    }
    assert!(origins.since(NOW, 0).len() <= 262_144);
}

/// Guards against a stream that goes on at the first of two versions, once the replica has restarted.
#[test]
fn contradictions_are_stored_and_restored() {
    let mut origins = StreamOrigins::default();
    origins.record(NOW, &record("a", "v1", 5_000));
    origins.record(NOW, &record("b", "v1", 5_000));
    let mut stored = origins.stored_since(NOW, 0);
    let before = origins.revision();
    origins.record(NOW + 1, &record("a", "v2", 5_000));
    let contradicted = StoredStream {
        attempt: key("a"),
        expires_in_ms: 5_000,
        origin: None,
    };
    assert_eq!(origins.stored_since(NOW + 1, before), [contradicted]);
    assert!(origins.since(NOW + 1, before).is_empty());
    stored.reverse();
    stored.extend(origins.stored_since(NOW + 1, before));
    let mut restored = StreamOrigins::default();
    restored.restore(NOW + 60_000, &stored);
    assert_eq!(restored.find(NOW + 64_998, &key("a")), None);
    assert_eq!(restored.find(NOW + 64_998, &key("b")), Some(&origin("v1")));
    restored.record(NOW + 60_001, &record("a", "v1", 5_000));
    assert_eq!(restored.find(NOW + 60_001, &key("a")), None);
}
