//! Limits of requests per second that endpoints state: the turns of all entries together, and what
//! becomes of requests without a turn.

mod common;

use assert_matches::assert_matches;
use common::{Entry, NOW, SERVICE, id, requirements, terms};
use masticsill_dispatch::{Decision, RequestLimit, Requirements, Terms, Work};
use masticsill_registry::{EndpointLoad, LimitStatement, RequestRate, Watcher, WatcherTable};
use masticsill_rollout::ANY_VERSION;
use masticsill_types::{ClockMs, NodeId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Length of the window in which requests are counted.
const WINDOW_MS: u64 = 4_000;

fn rate(per_s: f64) -> RequestRate {
    RequestRate::parse_per_s(&per_s.to_string()).unwrap()
}

/// The most requests in any window: half as many again as the endpoint accepts, and five.
// The number is small and not negative.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn allowed(per_s: f64) -> usize {
    (1.5 * per_s * 4.0) as usize + 5
}

/// Has an endpoint state a limit in a response to the entry, whose first turn comes after a fraction
/// of the interval.
fn state_limit(entry: &mut Entry, name: &str, per_s: f64, phase: f64) {
    let limit = Some(rate(per_s));
    entry
        .table
        .note_stated_limit(NOW, &id(name), NOW, limit, phase);
}

fn limits(entries: u32, per_s: f64, random: &mut ChaCha8Rng) -> Vec<RequestLimit> {
    let limits = (0..entries).map(|_| {
        let mut limit = RequestLimit::default();
        limit.note_response(NOW, NOW, Some(rate(per_s)), entries, random.random());
        limit
    });
    limits.collect()
}

/// Control replicas that grant permits at an endpoint.
fn replicas(count: usize, per_s: f64) -> Vec<WatcherTable> {
    let watcher = Watcher::Entry {
        node: NodeId::new("entry").unwrap(),
        zone: common::zone(),
    };
    let rate = Some(rate(per_s));
    let stating = EndpointLoad {
        stated: Some(LimitStatement { age_ms: 0, rate }),
        ..EndpointLoad::none(id("e1"))
    };
    let replica = || {
        let mut table = WatcherTable::default();
        table.record_poll(NOW, &watcher, 1, std::slice::from_ref(&stating));
        table
    };
    std::iter::repeat_with(replica).take(count).collect()
}

/// Sends whenever an entry has a turn or a replica grants a permit, from `from_ms` after the limit
/// was stated on. Returns the times of all requests.
fn send_all(
    limits: &mut [RequestLimit],
    replicas: &mut [WatcherTable],
    from_ms: u64,
    length_ms: u64,
) -> Vec<u64> {
    let mut sent = Vec::new();
    let endpoint = [id("e1")];
    for at_ms in (from_ms..from_ms + length_ms).step_by(20) {
        let now = NOW + at_ms;
        for limit in &mut *limits {
            while limit.has_turn(now) {
                limit.take_turn(now);
                sent.push(at_ms);
            }
        }
        for replica in &mut *replicas {
            if replica.grant_request(now, &endpoint).is_some() {
                limits[0].note_permit_reply(now, true);
                assert!(limits[0].has_turn(now));
                limits[0].take_turn(now);
                sent.push(at_ms);
            }
        }
    }
    sent
}

fn most_in_window(sent: &[u64]) -> usize {
    let counts = sent.iter().enumerate().map(|(first, begin)| {
        let rest = sent[first..].iter();
        rest.take_while(|at| **at < begin + WINDOW_MS).count()
    });
    counts.max().unwrap_or_default()
}

#[test]
fn requests_of_all_entries_stay_within_the_limit() {
    for seed in 0..4 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        for entries in [1, 3, 6, 33, 225, 450] {
            for per_s in [0.3, 2.1, 8.0, 40.0] {
                // Two replicas of a zone that can't reach each other both grant permits.
                for count in [0, 1, 2] {
                    let mut limits = limits(entries, per_s, &mut random);
                    let mut replicas = replicas(count, per_s);
                    let sent = send_all(&mut limits, &mut replicas, 0, 30_000);
                    let most = most_in_window(&sent);
                    assert!(
                        most <= allowed(per_s),
                        "seed {seed}, {entries} entries, {per_s} a second, {count} replicas: {most}"
                    );
                }
            }
        }
    }
}

#[test]
fn unused_turns_are_not_used_at_once_later() {
    for entries in [3, 33, 225, 450] {
        let mut random = ChaCha8Rng::seed_from_u64(u64::from(entries));
        let mut limits = limits(entries, 2.1, &mut random);
        let mut replicas = replicas(2, 2.1);
        let sent = send_all(&mut limits, &mut replicas, 500_000, 8_000);
        let most = most_in_window(&sent);
        assert!(most <= allowed(2.1), "{entries} entries: {most}");
    }
}

#[test]
fn at_least_half_of_the_limit_can_be_used() {
    for entries in [1, 6, 225] {
        let mut random = ChaCha8Rng::seed_from_u64(u64::from(entries));
        let mut limits = limits(entries, 8.0, &mut random);
        let mut replicas = replicas(1, 8.0);
        let sent = send_all(&mut limits, &mut replicas, 0, 60_000);
        assert!(sent.len() >= 240, "{entries} entries: {}", sent.len());
    }
}

#[test]
fn changed_number_of_entries_gives_no_additional_turn() {
    let mut entry = Entry::new(&["e1"]);
    entry.table.set_entries(NOW, 6);
    state_limit(&mut entry, "e1", 2.0, 0.5);
    let mut used = 0;
    for step in 0..4_000 {
        let now = NOW + step * 10;
        // Control replicas that start report fewer entries at first.
        entry.table.set_entries(now, 6 - u32::from(step % 3 == 0));
        let endpoint = entry.table.get_mut(&id("e1")).unwrap();
        while endpoint.request_limit.has_turn(now) {
            endpoint.request_limit.take_turn(now);
            used += 1;
        }
    }
    // Each of five entries would get five turns in 40 s.
    assert!((3..=5).contains(&used), "{used} turns");
}

#[test]
fn response_without_a_limit_lifts_it_unless_it_was_overtaken() {
    let mut limit = RequestLimit::default();
    assert!(limit.note_response(NOW + 50, NOW, Some(rate(2.0)), 3, 0.5));
    // This request had been sent before the limit was stated.
    assert!(!limit.note_response(NOW + 60, NOW + 10, None, 3, 0.5));
    assert_eq!(limit.rate(), Some(rate(2.0)));
    assert!(limit.note_response(NOW + 90, NOW + 60, None, 3, 0.5));
    assert_eq!(limit.rate(), None);
    assert!(limit.has_turn(NOW + 90));
}

#[test]
fn newest_report_of_other_entries_counts() {
    let statement = |age_ms, rate| LimitStatement { age_ms, rate };
    let mut limit = RequestLimit::default();
    let stated = Some(rate(2.0));
    assert!(limit.note_report(NOW, statement(500, stated), 3, 0.5));
    assert!(!limit.note_report(NOW, statement(700, None), 3, 0.5));
    // Not newer than the time that reports take.
    assert!(!limit.note_report(NOW, statement(400, None), 3, 0.5));
    assert_eq!(limit.rate(), stated);
    assert!(limit.note_report(NOW, statement(100, None), 3, 0.5));
    assert_eq!(limit.rate(), None);
}

#[test]
fn limit_is_reported_to_the_other_entries_while_it_is_fresh() {
    let mut entry = Entry::new(&["e1"]);
    state_limit(&mut entry, "e1", 2.0, 0.5);
    let loads = entry.table.loads_in(NOW + 40, &entry.zone);
    let limit = Some(rate(2.0));
    let stated = LimitStatement {
        age_ms: 40,
        rate: limit,
    };
    let expected = EndpointLoad {
        stated: Some(stated),
        ..EndpointLoad::none(id("e1"))
    };
    assert_eq!(loads, [expected]);
    assert!(entry.table.loads_in(NOW + 60_000, &entry.zone).is_empty());
    let mut other = Entry::new(&["e1"]);
    other.table.note_limit_reports(NOW, &loads, || 0.5);
    let known = other.table.get(&id("e1")).unwrap();
    assert_eq!(known.request_limit.rate(), limit);
}

/// Requirements and terms of a lookup with a latency target of 100 ms and a deadline of 600 ms.
fn lookup() -> (Requirements, Terms) {
    let requirements = Requirements {
        work: Work::Whole,
        ..requirements()
    };
    let terms = Terms {
        target_latency_ms: 100,
        answer_due_at: NOW + 100,
        caller_leaves_at: NOW + 600,
        deadline_at: NOW + 600,
        ..terms("w")
    };
    (requirements, terms)
}

#[test]
fn endpoint_without_a_turn_is_passed_over() {
    let mut entry = Entry::new(&["e1", "e2"]);
    entry.table.set_entries(NOW, 6);
    state_limit(&mut entry, "e1", 2.0, 0.5);
    let (requirements, terms) = lookup();
    for _ in 0..10 {
        let decision = entry.submit(NOW, &requirements, &terms);
        assert_matches!(decision, Decision::Send(choice) if choice.id == id("e2"));
    }
}

#[test]
fn request_without_a_turn_in_time_is_refused_at_once() {
    let mut entry = Entry::new(&["e1", "e2"]);
    entry.table.set_entries(NOW, 33);
    for name in ["e1", "e2"] {
        state_limit(&mut entry, name, 2.0, 0.5);
    }
    let (requirements, terms) = lookup();
    let decision = entry.submit(NOW, &requirements, &terms);
    assert_matches!(decision, Decision::Refuse(overload) if overload.retry_after_ms > 0);
    // Neither does a request wait that is late already.
    let late = Terms {
        answer_due_at: ClockMs(0),
        ..terms
    };
    let decision = entry.submit(NOW, &requirements, &late);
    assert_matches!(decision, Decision::Refuse(_));
}

#[test]
fn request_waits_for_a_turn_that_comes_in_time() {
    let mut entry = Entry::new(&["e1"]);
    // The first turn comes after nine tenths of 83 ms.
    state_limit(&mut entry, "e1", 40.0, 0.9);
    let (requirements, terms) = lookup();
    assert_matches!(entry.submit(NOW, &requirements, &terms), Decision::Wait(_));
    assert_eq!(entry.next(NOW + 65), None);
    assert!(entry.next(NOW + 80).is_some());
    assert_eq!(SERVICE, requirements.service);
}

#[test]
fn permit_is_asked_for_only_if_no_endpoint_accepts_the_request() {
    let mut entry = Entry::new(&["e1", "e2"]);
    entry.table.set_entries(NOW, 33);
    let lacking = |entry: &Entry, at_ms| {
        let table = &entry.table;
        table.lacking_permits(NOW + at_ms, SERVICE, &ANY_VERSION, &[])
    };
    state_limit(&mut entry, "e1", 2.0, 0.5);
    assert!(lacking(&entry, 0).is_empty());
    state_limit(&mut entry, "e2", 2.0, 0.5);
    assert_eq!(lacking(&entry, 0).len(), 2);
    let endpoint = entry.table.get_mut(&id("e1")).unwrap();
    endpoint.request_limit.note_permit_reply(NOW, false);
    assert_eq!(lacking(&entry, 0), [(entry.zone.clone(), id("e2"))]);
    assert_eq!(lacking(&entry, 100).len(), 2);
}

#[test]
fn permit_lets_one_request_pass() {
    let mut entry = Entry::new(&["e1"]);
    entry.table.set_entries(NOW, 33);
    state_limit(&mut entry, "e1", 2.0, 0.5);
    let (requirements, terms) = lookup();
    let endpoint = entry.table.get_mut(&id("e1")).unwrap();
    endpoint.request_limit.note_permit_reply(NOW, true);
    assert_matches!(entry.submit(NOW, &requirements, &terms), Decision::Send(_));
    let endpoint = entry.table.get_mut(&id("e1")).unwrap();
    endpoint.request_limit.take_turn(NOW);
    assert_matches!(
        entry.submit(NOW, &requirements, &terms),
        Decision::Refuse(_)
    );
}
