//! Which requests are sent, queued and refused when demand exceeds the capacity of the endpoints.

mod common;

use assert_matches::assert_matches;
use masticsill_dispatch::{
    Decision, DispatchContext, Failure, PriorWaitEstimator, Terms, Ticket, WaitOutcome,
};
use masticsill_registry::{CachedTokens, EndpointLoad};
use proptest::prelude::*;

use crate::common::{Entry, NOW, SERVICE, context, id, requirements, table, terms, zone};

#[test]
fn engine_reads_one_prompt_at_a_time() {
    let mut entry = Entry::busy(&["e1", "e2"]);
    let ticket = entry.submit_queued(NOW, &terms("w"));
    assert_eq!(entry.next(NOW + 100), None);
    entry.first_event(NOW + 300, "e2");
    assert_matches!(entry.next(NOW + 500), Some(WaitOutcome::Send(sent, choice)) => {
        assert_eq!((sent, choice.id), (ticket, id("e2")));
    });
}

#[test]
fn cached_prompt_needs_no_idle_engine() {
    let mut entry = Entry::busy(&["e1", "e2"]);
    let cached = CachedTokens {
        endpoint: id("e1"),
        tokens: 7_900,
    };
    let mut requirements = requirements();
    requirements.cached.push(cached);
    assert_matches!(entry.submit(NOW, &requirements, &terms("w")), Decision::Send(choice) => {
        assert_eq!(choice.id, id("e1"));
    });
}

#[test]
fn kv_cache_capacity_is_not_exceeded() {
    let mut entry = Entry::new(&["e1"]);
    let endpoint = entry.table.get_mut(&id("e1")).unwrap();
    endpoint.held_tokens = 40_000;
    let load = EndpointLoad {
        id: id("e1"),
        in_flight: 4,
        reading: 0,
        held_tokens: 36_000,
        is_failing: false,
        is_leaving: false,
        stated: None,
    };
    entry.table.update_loads(NOW, &zone(), &[load]);
    assert_matches!(
        entry.submit(NOW, &requirements(), &terms("w")),
        Decision::Wait(_)
    );
}

#[test]
fn request_that_would_be_late_is_refused_at_once() {
    let mut entry = Entry::busy(&["e1"]);
    // Each start takes 1.2 s, and 2.4 s are left for waiting.
    entry.submit_queued(NOW, &terms("w1"));
    entry.submit_queued(NOW, &terms("w2"));
    let decision = entry.submit(NOW, &requirements(), &terms("w3"));
    assert_matches!(decision, Decision::Refuse(overload) => {
        assert_eq!(overload.ahead, 2);
        assert!(overload.retry_after_ms >= 1_000, "{overload:?}");
    });
}

#[test]
fn retry_times_of_refused_requests_increase() {
    let mut entry = Entry::busy(&["e1"]);
    entry.submit_queued(NOW, &terms("w1"));
    entry.submit_queued(NOW, &terms("w2"));
    let mut before = 0;
    for workspace in ["w3", "w4", "w5"] {
        let decision = entry.submit(NOW, &requirements(), &terms(workspace));
        let Decision::Refuse(overload) = decision else {
            panic!("{decision:?}");
        };
        assert!(overload.retry_after_ms > before);
        before = overload.retry_after_ms;
    }
    assert!(before <= 25_000 / 3);
}

#[test]
fn resumed_requests_go_first() {
    let mut entry = Entry::busy(&["e1"]);
    entry.submit_queued(NOW, &terms("w1"));
    let resume = Terms {
        is_resume: true,
        ..terms("w2")
    };
    let resume = entry.submit_queued(NOW, &resume);
    entry.first_event(NOW + 100, "e1");
    assert_matches!(entry.next(NOW + 100), Some(WaitOutcome::Send(sent, _)) if sent == resume);
}

#[test]
fn retries_go_before_new_requests() {
    let mut entry = Entry::busy(&["e1"]);
    let newcomer = entry.submit_queued(NOW, &terms("w1"));
    let back = Terms {
        is_returning: true,
        ..terms("w2")
    };
    let back = entry.submit_queued(NOW, &back);
    entry.first_event(NOW + 100, "e1");
    assert_matches!(entry.next(NOW + 700), Some(WaitOutcome::Send(sent, _)) if sent == back);
    assert_ne!(back, newcomer);
}

#[test]
fn one_workspace_does_not_fill_the_queue() {
    let mut entry = Entry::busy(&["e1", "e2", "e3", "e4"]);
    // Seven requests can wait and be served in time; two workspaces share the queue.
    entry.submit_queued(NOW, &terms("other"));
    let hot = (0..7).filter(|_| {
        matches!(
            entry.submit(NOW, &requirements(), &terms("hot")),
            Decision::Wait(_)
        )
    });
    assert!(hot.count() <= 4);
    entry.submit_queued(NOW, &terms("other"));
}

#[test]
fn queued_request_is_refused_within_half_a_second() {
    let mut entry = Entry::busy(&["e1"]);
    let ticket = entry.submit_queued(NOW, &terms("w"));
    // The engine becomes slow, so that the previous estimate is invalid.
    let endpoint = entry.table.get_mut(&id("e1")).unwrap();
    (0..20).for_each(|_| endpoint.reading_pace.note(8_000, 9_000));
    let ends = (0..500).find_map(|ms| entry.next(NOW + ms));
    assert_matches!(ends, Some(WaitOutcome::Refuse(refused, _)) if refused == ticket);
}

#[test]
fn late_request_is_served_when_no_other_waits() {
    let mut entry = Entry::busy(&["e1"]);
    let late = Terms {
        answer_due_at: NOW.before(1_000),
        ..terms("w")
    };
    let ticket = entry.submit_queued(NOW, &late);
    entry.first_event(NOW + 200, "e1");
    assert_matches!(entry.next(NOW + 400), Some(WaitOutcome::Send(sent, _)) if sent == ticket);
}

#[test]
fn failed_engine_does_not_count_as_free() {
    let mut entry = Entry::busy(&["e1"]);
    entry.table = table(&["e1", "e2"]);
    entry.begin("e1");
    entry.table.note_failure(NOW, &id("e2"), Failure::Broken);
    assert_matches!(
        entry.submit(NOW, &requirements(), &terms("w")),
        Decision::Wait(_)
    );
}

#[test]
fn closed_endpoint_does_not_end_a_wait() {
    let mut entry = Entry::busy(&["e1", "e2"]);
    let ticket = entry.submit_queued(NOW, &terms("w"));
    entry.first_event(NOW + 100, "e1");
    assert_eq!(
        entry.dispatcher.waiting_services().collect::<Vec<_>>(),
        [SERVICE]
    );
    let closed = [id("e1")];
    let context = DispatchContext {
        closed: &closed,
        ..context(&entry.node, &entry.zone)
    };
    let ended = entry
        .dispatcher
        .next(NOW + 300, &entry.table, &context, || 0.0);
    assert_eq!(ended, None);
    assert_matches!(entry.next(NOW + 300), Some(WaitOutcome::Send(sent, _)) if sent == ticket);
}

#[test]
fn request_without_known_endpoint_is_not_queued() {
    let mut entry = Entry::new(&[]);
    assert_matches!(
        entry.submit(NOW, &requirements(), &terms("w")),
        Decision::NoEndpoint
    );
}

#[test]
fn full_endpoint_gets_no_request_for_a_while() {
    let mut entry = Entry::new(&["e1"]);
    entry.table.get_mut(&id("e1")).unwrap().note_full(NOW);
    assert_matches!(
        entry.submit(NOW, &requirements(), &terms("w")),
        Decision::Wait(_)
    );
    assert_matches!(entry.next(NOW + 300), Some(WaitOutcome::Send(..)));
}

#[test]
fn shorter_timeout_identifies_a_retry() {
    let mut prior_wait = PriorWaitEstimator::default();
    for timeout_ms in [25_000, 21_300, 24_000] {
        assert_eq!(prior_wait.record(NOW, "draft", timeout_ms), 0);
    }
    assert_eq!(prior_wait.record(NOW, "draft", 17_000), 8_000);
    // Shorter timeouts of a route's first attempts are learned after a while.
    let later = NOW + 61_000;
    prior_wait.record(NOW + 30_500, "draft", 10_000);
    assert_eq!(prior_wait.record(later, "draft", 10_000), 0);
}

proptest! {
    /// Each queued request ends exactly once: sent, refused or withdrawn.
    #[test]
    fn each_wait_ends_exactly_once(
        steps in prop::collection::vec((0_u8..4, 0_usize..3, 1_u64..300), 1..120),
    ) {
        let names = ["e1", "e2", "e3"];
        let mut entry = Entry::new(&names);
        let mut now = NOW;
        let mut waiting: Vec<Ticket> = Vec::new();
        for (step, which, passed_ms) in steps {
            now = now + passed_ms;
            let deadline_at = now + 8_000;
            let terms = Terms { answer_due_at: now + 4_500, deadline_at, ..terms(names[which]) };
            match step {
                0 | 1 => match entry.submit(now, &requirements(), &terms) {
                    Decision::Send(choice) => entry.begin(&choice.id.name),
                    Decision::Wait(ticket) => waiting.push(ticket),
                    Decision::Refuse(overload) => prop_assert!(overload.retry_after_ms >= 200),
                    Decision::NoEndpoint => prop_assert!(false, "there are engines"),
                },
                2 => {
                    let endpoint = entry.table.get_mut(&id(names[which])).unwrap();
                    if endpoint.reading > 0 {
                        endpoint.end_reading(now);
                        endpoint.in_flight -= 1;
                        endpoint.held_tokens -= 8_650;
                    }
                }
                _ => {
                    if !waiting.is_empty() {
                        entry.dispatcher.withdraw(waiting.remove(which % waiting.len()));
                    }
                }
            }
            while let Some(ended) = entry.next(now) {
                let ticket = ended.ticket();
                let position = waiting.iter().position(|it| *it == ticket);
                prop_assert!(position.is_some(), "{ticket:?} ended twice");
                waiting.remove(position.unwrap());
                if let WaitOutcome::Send(_, choice) = ended {
                    entry.begin(&choice.id.name);
                }
            }
            prop_assert_eq!(entry.dispatcher.waiting(), waiting.len());
            for name in names {
                prop_assert!(entry.table.get(&id(name)).unwrap().reading <= 1);
            }
        }
        while let Some(ended) = entry.next(now + 60_000) {
            waiting.retain(|it| *it != ended.ticket());
        }
        prop_assert!(waiting.is_empty());
    }
}
