//! Requests are placed and queued among endpoints of the versions that they may be sent to.

mod common;

use assert_matches::assert_matches;
use common::{Entry, NOW, SERVICE, context, id, requirements, terms};
use masticsill_dispatch::{Decision, DispatchContext, PlacementRequest, Requirements, WaitOutcome};
use masticsill_dispatch::{ZoneShare, choose_holder};
use masticsill_registry::EndpointRecord;
use masticsill_rollout::{RequestVersions, VersionBinding, VersionChoice, VersionFilter};
use masticsill_types::NodeId;

fn old() -> VersionFilter {
    VersionChoice::Except("v2".to_owned()).into()
}

fn target() -> VersionFilter {
    VersionChoice::Only("v2".to_owned()).into()
}

/// An entry whose engines all read a prompt. Engines whose names begin with `n` have version `v2`,
/// all others `v1`.
fn busy(names: &[&str]) -> Entry {
    let mut entry = Entry::busy(names);
    announce_versions(&mut entry, names);
    entry
}

fn announce_versions(entry: &mut Entry, names: &[&str]) {
    let records = names.iter().map(|name| {
        let mut announcement = entry.table.get(&id(name)).unwrap().announcement.clone();
        announcement.sequence += 1;
        let version = if name.starts_with('n') { "v2" } else { "v1" };
        version.clone_into(&mut announcement.version);
        EndpointRecord {
            announcement,
            is_silent: false,
        }
    });
    let records: Vec<EndpointRecord> = records.collect();
    entry.table.merge(&NodeId::new("c").unwrap(), &records);
}

fn needing(
    allowed: VersionFilter,
    drawn: Option<VersionFilter>,
    binding: VersionBinding,
) -> Requirements {
    Requirements {
        versions: RequestVersions {
            allowed,
            drawn,
            binding,
        },
        ..requirements()
    }
}

fn sent_to(decision: &Decision) -> &str {
    let Decision::Send(choice) = decision else {
        panic!("{decision:?}");
    };
    &choice.id.name
}

#[test]
fn drawn_request_goes_to_the_target_while_that_has_capacity() {
    let mut entry = busy(&["e1", "n1"]);
    entry.first_event(NOW, "n1");
    let drawn = needing(old(), Some(target()), VersionBinding::Unbound);
    let decision = entry.submit(NOW + 10, &drawn, &terms("w"));
    assert_eq!(sent_to(&decision), "n1");
}

/// Guards against requests that wait for a target with few endpoints while old ones are idle.
#[test]
fn drawn_request_goes_to_the_old_version_when_the_target_is_full() {
    let mut entry = busy(&["e1", "n1"]);
    entry.first_event(NOW, "e1");
    let drawn = needing(old(), Some(target()), VersionBinding::Unbound);
    let decision = entry.submit(NOW + 10, &drawn, &terms("w"));
    assert_eq!(sent_to(&decision), "e1");
}

/// Guards against exposure beyond the share: capacity at the target is no reason to send there.
#[test]
fn request_that_is_not_drawn_waits_for_the_old_version() {
    let mut entry = busy(&["e1", "n1"]);
    entry.first_event(NOW, "n1");
    let decision = entry.submit(
        NOW + 10,
        &needing(old(), None, VersionBinding::Unbound),
        &terms("w"),
    );
    let Decision::Wait(ticket) = decision else {
        panic!("{decision:?}");
    };
    let listed = [(SERVICE.to_owned(), old())];
    let Entry {
        dispatcher,
        node,
        table,
        zone,
    } = &mut entry;
    let context = DispatchContext {
        queue_versions: &listed,
        ..context(node, zone)
    };
    assert_eq!(dispatcher.next(NOW + 300, table, &context, || 0.0), None);
    table.get_mut(&id("e1")).unwrap().end_reading(NOW + 300);
    let outcome = dispatcher.next(NOW + 400, table, &context, || 0.0);
    assert_matches!(outcome, Some(WaitOutcome::Send(sent, choice)) if sent == ticket && choice.id == id("e1"));
}

/// Guards against queued requests that keep waiting for old endpoints after a roll-out has gone on.
#[test]
fn queued_request_follows_the_versions_that_are_allowed_now() {
    let mut entry = busy(&["e1", "n1"]);
    let decision = entry.submit(
        NOW + 10,
        &needing(old(), None, VersionBinding::Unbound),
        &terms("w"),
    );
    let Decision::Wait(ticket) = decision else {
        panic!("{decision:?}");
    };
    entry.first_event(NOW + 20, "n1");
    let outcome = entry.next(NOW + 400);
    assert_matches!(outcome, Some(WaitOutcome::Send(sent, choice)) if sent == ticket && choice.id == id("n1"));
}

/// Guards against a request that waits for a side of which nothing is left, and against one that
/// moves to the other side for capacity.
#[test]
fn started_request_waits_for_its_side_while_it_exists() {
    let mut entry = busy(&["e1", "n1"]);
    entry.first_event(NOW, "n1");
    let mut resume = terms("w");
    resume.is_resume = true;
    let decision = entry.submit(
        NOW + 10,
        &needing(old(), None, VersionBinding::Preferred),
        &resume,
    );
    let Decision::Wait(ticket) = decision else {
        panic!("{decision:?}");
    };
    assert_eq!(entry.next(NOW + 300), None);
    entry.table.note_leaving(&id("e1"));
    let outcome = entry.next(NOW + 400);
    assert_matches!(outcome, Some(WaitOutcome::Send(sent, choice)) if sent == ticket && choice.id == id("n1"));
}

/// Guards against a stream of two versions: it waits for its own while that has endpoints, and is
/// not sent elsewhere when the last one leaves.
#[test]
fn begun_stream_is_never_sent_to_another_version() {
    let mut entry = busy(&["e1", "n1"]);
    entry.first_event(NOW, "n1");
    let mut resume = terms("w");
    resume.is_resume = true;
    let begun = Requirements {
        versions: RequestVersions::of_begun_stream("v1"),
        ..requirements()
    };
    let Decision::Wait(ticket) = entry.submit(NOW + 10, &begun, &resume) else {
        panic!("the only engine of the version is busy");
    };
    assert_eq!(entry.next(NOW + 300), None);
    entry.table.note_leaving(&id("e1"));
    assert_eq!(entry.next(NOW + 400), Some(WaitOutcome::NoEndpoint(ticket)));
    assert_eq!(entry.next(NOW + 500), None);
    let decision = entry.submit(NOW + 500, &begun, &resume);
    assert_eq!(decision, Decision::NoEndpoint);
}

/// Guards against new requests that wait behind a resumed stream whose side is full.
#[test]
fn request_bound_to_its_side_does_not_block_others() {
    let mut entry = busy(&["e1", "n1"]);
    let mut resume = terms("w");
    resume.is_resume = true;
    assert_matches!(
        entry.submit(
            NOW + 10,
            &needing(target(), None, VersionBinding::Preferred),
            &resume
        ),
        Decision::Wait(_)
    );
    let decision = entry.submit(
        NOW + 10,
        &needing(old(), None, VersionBinding::Unbound),
        &terms("w"),
    );
    let Decision::Wait(ticket) = decision else {
        panic!("{decision:?}");
    };
    entry.first_event(NOW + 20, "e1");
    assert_matches!(entry.next(NOW + 400), Some(WaitOutcome::Send(sent, _)) if sent == ticket);
}

#[test]
fn copy_holder_has_the_version_of_the_run() {
    let names = ["e1", "e2", "n1", "n2"];
    let mut entry = Entry::new(&names);
    announce_versions(&mut entry, &names);
    let wanted = PlacementRequest {
        closed: &[],
        excluded: &[id("n1")],
        cached: &[],
        not_in_zone: None,
        reserved_endpoint: None,
        service: SERVICE,
        share: ZoneShare::default(),
        versions: &target(),
        zone: &entry.zone,
    };
    for random in [0.0, 0.4, 0.9] {
        let holder = choose_holder(&entry.table, NOW, &wanted, |_| true, || random);
        assert_eq!(holder.unwrap().announcement.id, id("n2"));
    }
}
