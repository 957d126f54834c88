//! Which requests are queued or refused under load, and the retry time that refusals return.

mod support;

use assert_matches::assert_matches;
use masticsill_routing::{
    AdmitDecision, Dequeued, LocalLimits, PlacementPolicy, Router, RouterConfig, WorkKind,
    WorkOutcome,
};
use masticsill_types::{Class, ClockMs, GenerationId, RefusalKind, RefusedOutcome};
use support::{Fleet, ended, node, request, router_with, set_limits};

const WORKSPACES: [&str; 10] = ["w0", "w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8", "w9"];

fn fleet(engines: usize, slots: u32) -> Fleet {
    let mut router = support::router(PlacementPolicy::Affinity, 5);
    for workspace in WORKSPACES {
        set_limits(&mut router, ClockMs(0), workspace, LocalLimits::default());
    }
    let mut fleet = Fleet::new(vec![router], 300);
    for index in 0..engines {
        fleet.add_engine(&format!("agent-{index}"), slots, "muc-a");
    }
    fleet
}

#[test]
fn heavy_workspace_does_not_starve_nine_small_ones() {
    let mut fleet = fleet(2, 8);
    let mut id = 0;
    let mut small = Vec::new();
    for tick in 0..12_000_u32 {
        // The heavy workspace alone offers several times the capacity.
        if tick.is_multiple_of(10) {
            id += 1;
            fleet.offer(0, request(id, "w0", Class::PatientDraft, 50), 50);
        }
        // The nine small workspaces together offer half of the capacity.
        if tick.is_multiple_of(40) {
            id += 1;
            let workspace = WORKSPACES[1 + (tick as usize / 40) % 9];
            small.push((GenerationId(id), fleet.now));
            fleet.offer(0, request(id, workspace, Class::PatientDraft, 50), 50);
        }
        fleet.tick();
    }
    fleet.run_until_idle(300_000);
    fleet.assert_none_lost();
    let refused = small
        .iter()
        .filter(|(id, _)| fleet.tally.refused.contains_key(id))
        .count();
    assert_eq!(
        refused,
        0,
        "of {} requests of small workspaces",
        small.len()
    );
    let mut waits: Vec<u64> = small
        .iter()
        .map(|(id, offered)| fleet.tally.done[id].0.since(*offered))
        .collect();
    waits.sort_unstable();
    let median = waits[waits.len() / 2];
    assert!(
        median < 5_000,
        "median latency {median} ms for requests that take 1,000 ms"
    );
}

#[test]
fn overload_is_refused_on_arrival_and_no_request_is_lost() {
    let mut fleet = fleet(2, 8);
    let mut offered = Vec::new();
    // 14 slots for drafts of 1 s each serve 14 per second; 40 are offered.
    for tick in 0..12_000_u32 {
        if tick.is_multiple_of(5) {
            let id = u128::from(tick);
            let workspace = WORKSPACES[tick as usize / 5 % 10];
            offered.push((GenerationId(id), fleet.now));
            fleet.offer(0, request(id, workspace, Class::PatientDraft, 50), 50);
        }
        fleet.tick();
    }
    fleet.run_until_idle(300_000);
    fleet.assert_none_lost();
    let done = fleet.tally.done.len();
    assert!(done * 100 >= 14 * 60 * 95, "{done} of {} possible", 14 * 60);
    // In 60 s 2,400 drafts are offered, of which 840 are served and at most 1,024 are queued.
    assert!(fleet.tally.refused.len() > 400);
    let mut late = 0;
    for (id, at) in offered {
        let Some((refused_at, refusal)) = fleet.tally.refused.get(&id) else {
            continue;
        };
        assert_eq!(refusal.outcome, RefusedOutcome::NotRun);
        let retry_after_ms = refusal.retry_after_ms.unwrap();
        assert!((250..=60_000).contains(&retry_after_ms));
        late += usize::from(*refused_at > at);
    }
    assert!(
        late * 50 <= fleet.tally.refused.len(),
        "{late} requests were refused after queueing"
    );
}

#[test]
fn retry_after_grows_with_the_backlog() {
    let mut router = router_with(&["w0"], 1, 2);
    let mut last = 0;
    for id in 0..2_000 {
        let answer = router.admit(ClockMs(0), request(id, "w0", Class::PatientDraft, 1_000));
        if let AdmitDecision::Refused(refusal) = answer {
            last = refusal.retry_after_ms.unwrap();
            break;
        }
    }
    assert!(last > 20_000, "retry time is only {last} ms");
    let mut idle = router_with(&["w0"], 1, 2);
    let limits = LocalLimits {
        queue_length: Some(0),
        ..LocalLimits::default()
    };
    set_limits(&mut idle, ClockMs(0), "w0", limits);
    let mut answers =
        (0..3).map(|id| idle.admit(ClockMs(0), request(id, "w0", Class::PatientDraft, 10)));
    let refusal = answers.find_map(|answer| match answer {
        AdmitDecision::Refused(refusal) => Some(refusal),
        AdmitDecision::Start(_) | AdmitDecision::Queued => None,
    });
    assert!(refusal.unwrap().retry_after_ms.unwrap() < last);
}

#[test]
fn a_deadline_that_cannot_be_met_is_refused_at_once() {
    let mut fleet = fleet(1, 4);
    for id in 0..20 {
        fleet.offer(0, request(id, "w0", Class::PatientDraft, 100), 100);
    }
    while fleet.tally.done.len() < 6 {
        fleet.tick();
    }
    let now = fleet.now;
    let mut infeasible = request(100, "w0", Class::PatientDraft, 100);
    infeasible.deadline = Some(now + 1_000);
    let mut feasible = request(101, "w0", Class::PatientDraft, 100);
    feasible.deadline = Some(now + 50_000);
    let router = &mut fleet.routers[0];
    assert_matches!(router.admit(now, infeasible), AdmitDecision::Refused(refusal) if {
        refusal.kind == RefusalKind::Overloaded
    });
    assert_eq!(router.admit(now, feasible), AdmitDecision::Queued);
}

#[test]
fn queued_request_is_refused_at_its_deadline() {
    let mut router = router_with(&["w0"], 1, 2);
    for id in 0..1 {
        let answer = router.admit(ClockMs(0), request(id, "w0", Class::PatientDraft, 10));
        assert_matches!(answer, AdmitDecision::Start(_));
    }
    let mut wanted = request(5, "w0", Class::PatientDraft, 10);
    wanted.deadline = Some(ClockMs(3_000));
    assert_eq!(router.admit(ClockMs(0), wanted), AdmitDecision::Queued);
    assert_eq!(router.next_queued(ClockMs(2_999)), None);
    let end = router.next_queued(ClockMs(3_000));
    assert_matches!(end, Some(Dequeued::Refused(GenerationId(5), _)));
    assert_eq!(router.queued_count(), 0);
}

#[test]
fn a_full_queue_of_one_workspace_leaves_room_for_another() {
    let config = RouterConfig {
        queue_length: 20,
        ..RouterConfig::in_zone(support::zone("muc-a"))
    };
    let mut router = Router::new(config, 1);
    for workspace in ["w0", "w1"] {
        set_limits(&mut router, ClockMs(0), workspace, LocalLimits::default());
    }
    router.on_member_change(&node("agent-0"), Some(support::engine(2, "muc-a")));
    let heavy =
        (0..40).map(|id| router.admit(ClockMs(0), request(id, "w0", Class::PatientDraft, 10)));
    assert_eq!(
        heavy
            .filter(|answer| *answer == AdmitDecision::Queued)
            .count(),
        10
    );
    let small = request(100, "w1", Class::PatientDraft, 10);
    assert_eq!(router.admit(ClockMs(0), small), AdmitDecision::Queued);
}

#[test]
fn queued_work_of_a_removed_entry_is_refused_at_once() {
    let mut router = router_with(&["w0"], 1, 2);
    for id in 0..3 {
        router.admit(ClockMs(0), request(id, "w0", Class::PatientDraft, 10));
    }
    assert_eq!(router.queued_count(), 2);
    router.remove_entry(&support::entry_id("w0/patient_draft"));
    for _ in 0..2 {
        assert_matches!(router.next_queued(ClockMs(1)), Some(Dequeued::Refused(..)));
    }
    assert_eq!(router.queued_count(), 0);
}

#[test]
fn workspaces_at_their_limit_do_not_block_others() {
    let names: Vec<String> = (0..100).map(|index| format!("w{index}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut router = router_with(&names, 4, 16);
    let none = LocalLimits {
        concurrent: Some(0),
        ..LocalLimits::default()
    };
    for name in &names[..99] {
        set_limits(&mut router, ClockMs(0), name, none);
    }
    for (id, name) in (0..).zip(&names) {
        router.admit(ClockMs(0), request(id, name, Class::PatientDraft, 10));
    }
    let next = router.next_queued(ClockMs(0));
    assert_matches!(next, Some(Dequeued::Start(GenerationId(99), _)));
}

#[test]
fn retries_stop_when_their_budget_is_used_up() {
    let mut router = router_with(&["w0", "w1"], 3, 1_000);
    let mut retries = 0;
    for id in 0..100 {
        let mut wanted = request(id, "w0", Class::PatientDraft, 10);
        wanted.kind = WorkKind::Retry {
            failed: node("agent-0"),
        };
        match router.admit(ClockMs(0), wanted) {
            AdmitDecision::Start(_) | AdmitDecision::Queued => retries += 1,
            AdmitDecision::Refused(refusal) => assert!(refusal.retry_after_ms.is_some()),
        }
    }
    assert_eq!(retries, 10);
    for id in 1_000..1_100 {
        router.admit(ClockMs(0), request(id, "w0", Class::InstantLookup, 10));
        let end = ended(WorkOutcome::Completed, 10);
        router.on_finished(ClockMs(10), GenerationId(id), end);
    }
    let mut wanted = request(2_000, "w0", Class::PatientDraft, 10);
    wanted.kind = WorkKind::Retry {
        failed: node("agent-1"),
    };
    assert_matches!(
        router.admit(ClockMs(20), wanted),
        AdmitDecision::Start(_),
        "completed requests should have refilled the retry budget"
    );
}
