//! What keeps the endpoints of a version from a stream that only they can continue.

mod common;

use common::{NOW, SERVICE, id, requirements, table};
use masticsill_dispatch::{EndpointTable, Hindrance, VersionQuery, VersionState};
use masticsill_registry::{EndpointId, EndpointRecord, EndpointState, RequestRate};
use masticsill_types::{ClockMs, NodeId};

/// Two engines of one version.
fn two_engines() -> EndpointTable {
    table(&["e1", "e2"])
}

fn state_with(
    table: &EndpointTable,
    now: ClockMs,
    excluded: &[EndpointId],
    closed: &[EndpointId],
) -> VersionState {
    let query = VersionQuery {
        closed,
        excluded,
        service: SERVICE,
        version: "",
        work: &requirements().work,
    };
    VersionState::of(table, now, &query)
}

fn state(table: &EndpointTable) -> VersionState {
    state_with(table, NOW, &[], &[])
}

/// Reports a changed state of an endpoint, or that it is silent.
fn report(table: &mut EndpointTable, name: &str, state: EndpointState, is_silent: bool) {
    let mut announcement = table.get(&id(name)).unwrap().announcement.clone();
    announcement.sequence += 1;
    announcement.state = state;
    let record = EndpointRecord {
        announcement,
        is_silent,
    };
    table.merge(&NodeId::new("c").unwrap(), &[record]);
}

/// Asserts that each change, made to one engine, is counted, and that it is the cause once it is
/// made to both.
fn assert_hinders(hindrance: Hindrance, change: impl Fn(&mut EndpointTable, &str)) {
    let mut table = two_engines();
    change(&mut table, "e1");
    let one = state(&table);
    assert_eq!((one.available, one.count(hindrance)), (1, 1));
    assert_eq!(one.cause(), None);
    change(&mut table, "e2");
    let both = state(&table);
    assert_eq!((both.available, both.count(hindrance)), (0, 2));
    assert_eq!(both.cause(), Some(hindrance));
}

#[test]
fn each_hindrance_is_told_apart() {
    assert_hinders(Hindrance::Gone, |table, name| {
        report(table, name, EndpointState::Gone, false);
    });
    assert_hinders(Hindrance::Leaving, |table, name| {
        report(table, name, EndpointState::Draining, false);
    });
    assert_hinders(Hindrance::Leaving, |table, name| {
        table.note_leaving(&id(name));
    });
    assert_hinders(Hindrance::Silent, |table, name| {
        report(table, name, EndpointState::Ready, true);
    });
    assert_hinders(Hindrance::Resting, |table, name| {
        table.get_mut(&id(name)).unwrap().note_rest(NOW, 500);
    });
    assert_hinders(Hindrance::Limited, |table, name| {
        let rate = RequestRate::parse_per_s("0.5");
        table.note_stated_limit(NOW, &id(name), NOW, rate, 0.9);
    });
    assert_hinders(Hindrance::Full, |table, name| {
        table.get_mut(&id(name)).unwrap().begin_reading();
    });
    assert_hinders(Hindrance::Full, |table, name| {
        table.get_mut(&id(name)).unwrap().held_tokens = 80_000;
    });
    assert_hinders(Hindrance::Full, |table, name| {
        table.get_mut(&id(name)).unwrap().note_full(NOW);
    });
}

#[test]
fn failed_endpoint_backs_off_and_two_make_their_zone_suspect() {
    let mut table = table(&["e1", "e2", "e3"]);
    for name in ["e1", "e2"] {
        table.get_mut(&id(name)).unwrap().health.note_failure(NOW);
    }
    let state = state(&table);
    assert_eq!(state.count(Hindrance::BackingOff), 2);
    assert_eq!(state.count(Hindrance::SuspectZone), 1);
    assert_eq!(state.cause(), Some(Hindrance::BackingOff));
}

#[test]
fn excluded_and_closed_endpoints_are_told_apart() {
    let state = state_with(&two_engines(), NOW, &[id("e1")], &[id("e2")]);
    assert_eq!(state.count(Hindrance::Excluded), 1);
    assert_eq!(state.count(Hindrance::Closed), 1);
}

#[test]
fn leaving_endpoint_is_no_cause_beside_a_full_one() {
    let mut table = two_engines();
    report(&mut table, "e1", EndpointState::Draining, false);
    table.get_mut(&id("e2")).unwrap().begin_reading();
    assert_eq!(state(&table).cause(), Some(Hindrance::Full));
}

#[test]
fn version_without_known_endpoints_is_gone() {
    assert_eq!(state(&table(&[])).cause(), Some(Hindrance::Gone));
}

#[test]
fn endpoints_of_other_versions_do_not_count() {
    let mut table = two_engines();
    let mut announcement = table.get(&id("e1")).unwrap().announcement.clone();
    announcement.sequence += 1;
    "v2".clone_into(&mut announcement.version);
    let record = EndpointRecord {
        announcement,
        is_silent: false,
    };
    table.merge(&NodeId::new("c").unwrap(), &[record]);
    assert_eq!(state(&table).available, 1);
}
