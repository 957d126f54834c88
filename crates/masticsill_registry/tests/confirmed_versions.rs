//! Which versions a majority of the control replicas have stored.

use std::net::SocketAddr;

use masticsill_registry::{ConfirmedVersions, StreamOrigin};

const SERVICE: &str = "engines";

/// One of three replicas has stored a version that has endpoints.
fn note(versions: &mut ConfirmedVersions, from: &str, version: &str) {
    versions.note_known(SERVICE, version);
    note_stored(versions, from, &[version]);
}

/// One of three replicas reports the versions that it has stored.
fn note_stored(versions: &mut ConfirmedVersions, from: &str, stored: &[&str]) {
    let stored = stored.iter().map(|version| StreamOrigin {
        service: SERVICE.to_owned(),
        version: (*version).to_owned(),
    });
    versions.note_stored(replica(from), stored.collect());
    versions.confirm(|replicas| 2 * replicas.len() > 3);
}

fn replica(name: &str) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, name.as_bytes()[0]], 1))
}

/// Guards against streams that begin at a version which most control replicas don't know.
#[test]
fn version_is_used_once_a_majority_has_reported_it() {
    let mut versions = ConfirmedVersions::default();
    note(&mut versions, "a", "v1");
    note(&mut versions, "b", "v1");
    note(&mut versions, "a", "v2");
    note(&mut versions, "a", "v2");
    assert_eq!(versions.unconfirmed(SERVICE, |_| true), ["v2"]);
    note(&mut versions, "c", "v2");
    assert!(versions.unconfirmed(SERVICE, |_| true).is_empty());
}

/// Guards against refusals where nothing else can serve.
#[test]
fn unconfirmed_version_is_used_without_a_ready_confirmed_one() {
    let mut versions = ConfirmedVersions::default();
    note(&mut versions, "a", "v1");
    note(&mut versions, "a", "v2");
    assert!(versions.unconfirmed(SERVICE, |_| true).is_empty());
    note(&mut versions, "b", "v1");
    assert!(versions.unconfirmed(SERVICE, |it| it == "v2").is_empty());
    assert_eq!(versions.unconfirmed(SERVICE, |it| it == "v1"), ["v2"]);
}

/// Guards against memory that grows with each release.
#[test]
fn versions_without_endpoints_are_forgotten() {
    let mut versions = ConfirmedVersions::default();
    note(&mut versions, "a", "v1");
    note(&mut versions, "b", "v1");
    note(&mut versions, "a", "v2");
    versions.prune(|service, version| service == SERVICE && version == "v1");
    assert!(versions.unconfirmed(SERVICE, |_| true).is_empty());
}

/// Guards against a version that no stream begins at since it was reported before the voters changed.
#[test]
fn version_is_confirmed_when_the_reporting_replicas_become_a_majority() {
    let mut versions = ConfirmedVersions::default();
    note(&mut versions, "a", "v1");
    note(&mut versions, "b", "v1");
    note(&mut versions, "c", "v2");
    assert_eq!(versions.unconfirmed(SERVICE, |_| true), ["v2"]);
    versions.confirm(|replicas| replicas.contains(&replica("c")));
    assert!(versions.unconfirmed(SERVICE, |_| true).is_empty());
    // The versions stay confirmed.
    versions.confirm(|_| false);
    assert!(versions.unconfirmed(SERVICE, |_| true).is_empty());
}

/// Guards against streams that begin at a version which a power loss of all replicas would take away.
#[test]
fn version_that_is_known_but_not_stored_is_not_used() {
    let mut versions = ConfirmedVersions::default();
    versions.note_known(SERVICE, "v1");
    note_stored(&mut versions, "a", &["v1"]);
    note_stored(&mut versions, "b", &["v1"]);
    versions.note_known(SERVICE, "v2");
    versions.confirm(|replicas| 2 * replicas.len() > 3);
    assert_eq!(versions.unconfirmed(SERVICE, |_| true), ["v2"]);
    note_stored(&mut versions, "a", &["v1", "v2"]);
    assert_eq!(versions.unconfirmed(SERVICE, |_| true), ["v2"]);
    note_stored(&mut versions, "b", &["v1", "v2"]);
    assert!(versions.unconfirmed(SERVICE, |_| true).is_empty());
}

/// Guards against a version that is never used since it was stored before this entry knew an endpoint.
#[test]
fn version_may_be_stored_before_it_is_known() {
    let mut versions = ConfirmedVersions::default();
    note_stored(&mut versions, "a", &["v1", "v2"]);
    note_stored(&mut versions, "b", &["v1", "v2"]);
    versions.note_known(SERVICE, "v1");
    versions.prune(|_, version| version == "v1");
    versions.note_known(SERVICE, "v2");
    versions.confirm(|replicas| 2 * replicas.len() > 3);
    assert!(versions.unconfirmed(SERVICE, |_| true).is_empty());
}
