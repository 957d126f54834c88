//! Requests of several priorities that compete for the same engines.

mod common;

use assert_matches::assert_matches;
use masticsill_dispatch::{Decision, Terms, WaitOutcome};
use masticsill_types::Priority;

use crate::common::{Entry, NOW, requirements, terms};

fn prioritized(priority: u32, workspace: &str) -> Terms {
    Terms {
        priority: Priority::new(None, priority),
        ..terms(workspace)
    }
}

/// A request that has more time than `terms` gives, as less urgent ones often have.
fn patient(priority: u32, workspace: &str) -> Terms {
    Terms {
        target_latency_ms: 10_000,
        answer_due_at: NOW + 10_000,
        ..prioritized(priority, workspace)
    }
}

#[test]
fn more_urgent_request_goes_first() {
    let mut entry = Entry::busy(&["e1"]);
    entry.submit_queued(NOW, &prioritized(1, "w1"));
    let urgent = entry.submit_queued(NOW, &prioritized(0, "w2"));
    entry.first_event(NOW + 100, "e1");
    assert_matches!(entry.next(NOW + 700), Some(WaitOutcome::Send(sent, _)) if sent == urgent);
}

/// A request of a workspace that has a priority of its own.
fn of_workspace(workspace_priority: u32, route_priority: u32, workspace: &str) -> Terms {
    Terms {
        priority: Priority::new(Some(workspace_priority), route_priority),
        ..terms(workspace)
    }
}

#[test]
fn urgent_route_goes_first_among_workspaces_of_equal_priority() {
    let mut entry = Entry::busy(&["e1"]);
    entry.submit_queued(NOW, &of_workspace(1, 2, "w1"));
    let urgent = entry.submit_queued(NOW, &of_workspace(1, 0, "w2"));
    entry.first_event(NOW + 100, "e1");
    assert_matches!(entry.next(NOW + 700), Some(WaitOutcome::Send(sent, _)) if sent == urgent);
}

#[test]
fn urgent_workspace_goes_before_an_urgent_route() {
    let mut entry = Entry::busy(&["e1"]);
    entry.submit_queued(NOW, &of_workspace(1, 0, "w1"));
    let urgent = entry.submit_queued(NOW, &of_workspace(0, 2, "w2"));
    entry.first_event(NOW + 100, "e1");
    assert_matches!(entry.next(NOW + 700), Some(WaitOutcome::Send(sent, _)) if sent == urgent);
}

#[test]
fn resumed_request_goes_before_an_urgent_one() {
    let mut entry = Entry::busy(&["e1"]);
    entry.submit_queued(NOW, &prioritized(0, "w1"));
    let resume = Terms {
        is_resume: true,
        ..prioritized(2, "w2")
    };
    let resume = entry.submit_queued(NOW, &resume);
    entry.first_event(NOW + 100, "e1");
    assert_matches!(entry.next(NOW + 700), Some(WaitOutcome::Send(sent, _)) if sent == resume);
}

#[test]
fn retry_does_not_overtake_a_more_urgent_request() {
    let mut entry = Entry::busy(&["e1"]);
    let urgent = entry.submit_queued(NOW, &prioritized(0, "w1"));
    let back = Terms {
        is_returning: true,
        ..prioritized(1, "w2")
    };
    entry.submit_queued(NOW, &back);
    entry.first_event(NOW + 100, "e1");
    assert_matches!(entry.next(NOW + 700), Some(WaitOutcome::Send(sent, _)) if sent == urgent);
}

#[test]
fn urgent_request_is_queued_behind_urgent_ones_only() {
    let mut entry = Entry::busy(&["e1"]);
    // Each start takes 1.2 s, and 2.4 s are left for waiting.
    entry.submit_queued(NOW, &prioritized(1, "w1"));
    entry.submit_queued(NOW, &prioritized(1, "w2"));
    assert_matches!(
        entry.submit(NOW, &requirements(), &prioritized(1, "w3")),
        Decision::Refuse(_)
    );
    entry.submit_queued(NOW, &prioritized(0, "w4"));
}

#[test]
fn refused_request_costs_one_less_urgent_request_its_place() {
    let mut entry = Entry::busy(&["e1"]);
    entry.submit_queued(NOW, &prioritized(0, "w1"));
    entry.submit_queued(NOW, &prioritized(0, "w2"));
    entry.submit_queued(NOW, &patient(2, "w3"));
    assert_matches!(
        entry.submit(NOW, &requirements(), &prioritized(0, "w4")),
        Decision::Refuse(_)
    );
    assert_matches!(
        entry.submit(NOW + 100, &requirements(), &patient(2, "w5")),
        Decision::Refuse(overload) if overload.yields_to_urgent
    );
    entry.submit_queued(NOW + 200, &patient(2, "w6"));
}

#[test]
fn less_urgent_request_starts_at_an_idle_engine() {
    let mut entry = Entry::busy(&["e1"]);
    for workspace in ["w1", "w2", "w3"] {
        entry.submit(NOW, &requirements(), &prioritized(0, workspace));
    }
    // The urgent requests have started or left, and the engine has been idle for a while.
    let mut idle = Entry::new(&["e1"]);
    std::mem::swap(&mut entry.table, &mut idle.table);
    while entry.next(NOW + 500).is_some() {}
    let later = NOW + 1_500;
    assert_matches!(
        entry.submit(later, &requirements(), &patient(2, "w4")),
        Decision::Send(_)
    );
}

#[test]
fn workspace_beyond_its_share_holds_nobody_back() {
    let mut entry = Entry::busy(&["e1", "e2", "e3", "e4"]);
    entry.submit_queued(NOW, &prioritized(1, "other"));
    let hot = (0..7).map(|_| entry.submit(NOW, &requirements(), &prioritized(0, "hot")));
    let hot: Vec<Decision> = hot.collect();
    assert_matches!(hot[4..], [Decision::Refuse(_), ..]);
    entry.submit_queued(NOW, &prioritized(1, "other"));
}
