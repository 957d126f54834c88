//! Begun streams go on at the endpoints of their version as soon as one has capacity, whatever waits
//! beside them.

mod common;

use assert_matches::assert_matches;
use common::{Entry, NOW, context, id, requirements, terms};
use masticsill_dispatch::{
    Decision, DispatchContext, Requirements, Terms, Ticket, WaitOutcome, Work,
};
use masticsill_registry::{EndpointId, EndpointRecord, RequestRate};
use masticsill_rollout::{RequestVersions, VersionBinding, VersionChoice, VersionFilter};
use masticsill_types::{ClockMs, NodeId};

/// Far more requests than a queue holds.
const MANY: usize = 400;

/// Announces version `v2` of engines whose names begin with `n`, and `v1` of all others.
fn announce_versions(entry: &mut Entry, names: &[&str]) {
    for name in names {
        let mut announcement = entry.table.get(&id(name)).unwrap().announcement.clone();
        announcement.sequence += 1;
        let version = if name.starts_with('n') { "v2" } else { "v1" };
        version.clone_into(&mut announcement.version);
        let record = EndpointRecord {
            announcement,
            is_silent: false,
        };
        entry.table.merge(&NodeId::new("c").unwrap(), &[record]);
    }
}

/// An entry whose engines all read a prompt.
fn busy(names: &[&str]) -> Entry {
    let mut entry = Entry::busy(names);
    announce_versions(&mut entry, names);
    entry
}

/// An entry whose engines are idle.
fn idle(names: &[&str]) -> Entry {
    let mut entry = Entry::new(names);
    announce_versions(&mut entry, names);
    entry
}

fn begun(version: &str) -> Requirements {
    Requirements {
        versions: RequestVersions::of_begun_stream(version),
        ..requirements()
    }
}

fn resume() -> Terms {
    Terms {
        is_resume: true,
        ..terms("resumed")
    }
}

fn queued(decision: &Decision) -> Ticket {
    let Decision::Wait(ticket) = decision else {
        panic!("{decision:?}");
    };
    *ticket
}

/// The next outcome, with endpoints that accept no connections.
fn next_with_closed(entry: &mut Entry, now: ClockMs, closed: &[EndpointId]) -> Option<WaitOutcome> {
    let context = DispatchContext {
        closed,
        ..context(&entry.node, &entry.zone)
    };
    entry.dispatcher.next(now, &entry.table, &context, || 0.0)
}

fn assert_sent(outcome: Option<WaitOutcome>, ticket: Ticket, name: &str) {
    assert_matches!(outcome, Some(WaitOutcome::Send(sent, choice)) if sent == ticket && choice.id == id(name));
}

/// Guards against begun streams that are refused because new ones fill the queue.
#[test]
fn begun_stream_waits_beside_a_full_queue_of_new_ones() {
    let mut entry = busy(&["e1", "n1"]);
    let mut patient = terms("w");
    patient.target_latency_ms = 10_000_000;
    patient.answer_due_at = NOW + 10_000_000;
    let refused = (0..MANY)
        .map(|_| entry.submit(NOW, &requirements(), &patient))
        .filter(|it| matches!(it, Decision::Refuse(_)));
    assert!(refused.count() > 0, "the queue is not full");
    let ticket = queued(&entry.submit(NOW + 10, &begun("v1"), &resume()));
    entry.first_event(NOW + 20, "e1");
    assert_sent(entry.next(NOW + 20), ticket, "e1");
}

/// Guards against more begun streams in the queue than memory allows.
#[test]
fn begun_streams_in_the_queue_are_bounded() {
    let mut entry = busy(&["e1"]);
    let decisions = (0..MANY).map(|_| entry.submit(NOW, &begun("v1"), &resume()));
    let refused = decisions.filter(|it| matches!(it, Decision::Refuse(_)));
    assert!(refused.count() > 0);
}

/// Guards against a begun stream that waits for nobody, because the endpoints that it was not yet
/// sent to have left.
#[test]
fn begun_stream_does_not_wait_when_only_excluded_endpoints_are_left() {
    let mut entry = busy(&["e1", "e2", "n1"]);
    let tried = Requirements {
        excluded: vec![id("e1")],
        ..begun("v1")
    };
    let ticket = queued(&entry.submit(NOW + 10, &tried, &resume()));
    assert_eq!(entry.next(NOW + 20), None);
    entry.table.note_leaving(&id("e2"));
    entry.first_event(NOW + 30, "e1");
    assert_eq!(entry.next(NOW + 40), Some(WaitOutcome::NoEndpoint(ticket)));
}

/// Guards against begun streams that leave the queue to new ones while no connection is free.
#[test]
fn begun_stream_waits_for_a_connection() {
    let mut entry = idle(&["e1", "n1"]);
    let closed = [id("e1")];
    let context = DispatchContext {
        closed: &closed,
        ..context(&entry.node, &entry.zone)
    };
    let decision =
        entry
            .dispatcher
            .submit(NOW, &entry.table, &begun("v1"), &resume(), &context, || 0.0);
    let ticket = queued(&decision);
    assert_eq!(next_with_closed(&mut entry, NOW + 10, &closed), None);
    assert_sent(entry.next(NOW + 20), ticket, "e1");
}

/// Guards against a begun stream that new ones overtake in the moment in which its endpoint accepts
/// requests again.
#[test]
fn drawn_request_does_not_overtake_a_begun_stream() {
    let mut entry = idle(&["e1", "n1"]);
    let resting = entry.table.get_mut(&id("n1")).unwrap();
    resting.note_rest(NOW, 400);
    let ticket = queued(&entry.submit(NOW + 10, &begun("v2"), &resume()));
    let drawn = Requirements {
        versions: RequestVersions {
            allowed: VersionChoice::Except("v2".to_owned()).into(),
            drawn: Some(VersionFilter::only("v2")),
            binding: VersionBinding::Unbound,
        },
        ..requirements()
    };
    let decision = entry.submit(NOW + 401, &drawn, &terms("w"));
    let overtakes = matches!(&decision, Decision::Send(choice) if choice.id == id("n1"));
    assert!(!overtakes, "{decision:?}");
    assert_sent(entry.next(NOW + 410), ticket, "n1");
}

#[test]
fn begun_stream_is_not_held_up_by_one_of_another_version() {
    let mut entry = busy(&["e1", "n1"]);
    queued(&entry.submit(NOW + 10, &begun("v2"), &resume()));
    entry.first_event(NOW + 20, "e1");
    match entry.submit(NOW + 30, &begun("v1"), &resume()) {
        Decision::Send(choice) => assert_eq!(choice.id, id("e1")),
        waits => assert_sent(entry.next(NOW + 30), queued(&waits), "e1"),
    }
}

#[test]
fn begun_stream_starts_before_new_ones_that_came_earlier() {
    let mut entry = busy(&["e1", "n1"]);
    for _ in 0..2 {
        entry.submit_queued(NOW + 10, &terms("w"));
    }
    let ticket = queued(&entry.submit(NOW + 20, &begun("v1"), &resume()));
    entry.first_event(NOW + 30, "e1");
    assert_sent(entry.next(NOW + 30), ticket, "e1");
}

/// What keeps the two engines of a version from a stream for 400 ms.
type Block = fn(&mut Entry, &str);

#[test]
fn begun_stream_goes_on_once_an_endpoint_of_its_version_can() {
    let blocks: [(&str, Block); 4] = [
        ("full", |entry, name| {
            let endpoint = entry.table.get_mut(&id(name)).unwrap();
            endpoint.note_full(NOW + 150);
        }),
        ("resting", |entry, name| {
            let endpoint = entry.table.get_mut(&id(name)).unwrap();
            endpoint.note_rest(NOW, 400);
        }),
        ("limited", |entry, name| {
            let rate = RequestRate::parse_per_s("2.0");
            // A turn each 1,666 ms, of which the first comes after 400 ms.
            entry
                .table
                .note_stated_limit(NOW, &id(name), NOW, rate, 0.24);
        }),
        ("resting and backing off", |entry, name| {
            let endpoint = entry.table.get_mut(&id(name)).unwrap();
            endpoint.note_rest(NOW, 400);
            endpoint.health.note_failure(NOW);
        }),
    ];
    for (name, block) in blocks {
        let mut entry = idle(&["e1", "e2", "n1"]);
        block(&mut entry, "e1");
        block(&mut entry, "e2");
        let ticket = queued(&entry.submit(NOW + 160, &begun("v1"), &resume()));
        // New streams go to the other version meanwhile.
        let new = entry.submit(NOW + 170, &requirements(), &terms("w"));
        let new_ticket = match new {
            Decision::Wait(new_ticket) => Some(new_ticket),
            _ => None,
        };
        let waits = |outcome: &Option<WaitOutcome>| match outcome {
            Some(outcome) => outcome.ticket() != ticket,
            None => true,
        };
        let outcome = entry.next(NOW + 390);
        assert!(waits(&outcome), "{name}: {outcome:?}");
        if outcome.is_none() {
            assert_eq!(new_ticket, None, "{name}");
        }
        let outcome = entry.next(NOW + 430);
        assert_matches!(outcome, Some(WaitOutcome::Send(sent, _)) if sent == ticket, "{name}");
    }
}

#[test]
fn begun_stream_uses_endpoints_that_failed_when_there_are_no_others() {
    let mut entry = idle(&["e1", "e2", "n1"]);
    for name in ["e1", "e2"] {
        let endpoint = entry.table.get_mut(&id(name)).unwrap();
        endpoint.health.note_failure(NOW);
    }
    let decision = entry.submit(NOW + 10, &begun("v1"), &resume());
    assert_matches!(decision, Decision::Send(choice) if choice.id != id("n1"));
}

/// Guards against a begun stream whose KV cache space smaller new ones take each time.
#[test]
fn begun_stream_gets_memory_before_smaller_new_ones() {
    let mut entry = idle(&["e1", "e2"]);
    for name in ["e1", "e2"] {
        entry.table.get_mut(&id(name)).unwrap().held_tokens = 70_000;
    }
    let large = Requirements {
        work: Work::Stream {
            kv_cache_tokens: Some(88_000),
            prompt_tokens: 20_000,
            tokens: 21_000,
        },
        ..begun("v1")
    };
    let ticket = queued(&entry.submit(NOW, &large, &resume()));
    let mut now = NOW;
    for _ in 0..20 {
        now = now + 100;
        // A run ends at each engine, and new requests arrive.
        for name in ["e1", "e2"] {
            let endpoint = entry.table.get_mut(&id(name)).unwrap();
            endpoint.held_tokens = endpoint.held_tokens.saturating_sub(8_650);
            endpoint.record_release(now);
        }
        let mut sent: Vec<EndpointId> = Vec::new();
        for _ in 0..2 {
            if let Decision::Send(choice) = entry.submit(now, &requirements(), &terms("w")) {
                sent.push(choice.id);
            }
        }
        while let Some(outcome) = entry.next(now) {
            match outcome {
                WaitOutcome::Send(started, _) if started == ticket => return,
                WaitOutcome::Send(_, choice) => sent.push(choice.id.clone()),
                WaitOutcome::NoEndpoint(_) | WaitOutcome::Refuse(..) | WaitOutcome::Stopping(_) => {
                }
            }
            for id in sent.drain(..) {
                entry.table.get_mut(&id).unwrap().held_tokens += 8_650;
            }
        }
        for id in sent.drain(..) {
            entry.table.get_mut(&id).unwrap().held_tokens += 8_650;
        }
    }
    panic!("the begun stream waits while new ones begin");
}
