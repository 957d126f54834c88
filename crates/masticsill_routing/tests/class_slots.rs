//! Neither class can starve the other: each finds reserved slots, whatever the other's load.

mod support;

use assert_matches::assert_matches;
use masticsill_routing::{
    AdmitDecision, Dequeued, LocalLimits, PlacementPolicy, WorkKind, WorkOutcome,
};
use masticsill_types::{Class, ClockMs, GenerationId, RefusalKind};
use support::{Fleet, request, router_with, set_limits};

fn fleet(engines: usize) -> Fleet {
    let mut router = support::router(PlacementPolicy::Affinity, 5);
    for workspace in ["fliesenwerk", "kwaet-thang"] {
        set_limits(&mut router, ClockMs(0), workspace, LocalLimits::default());
    }
    let mut fleet = Fleet::new(vec![router], 300);
    for index in 0..engines {
        fleet.add_engine(&format!("agent-{index}"), 16, "muc-a");
    }
    fleet
}

#[test]
fn lookups_start_at_once_beside_saturating_drafts() {
    let mut fleet = fleet(3);
    for id in 0..200 {
        fleet.offer(0, request(id, "fliesenwerk", Class::PatientDraft, 500), 500);
    }
    for round in 0..400 {
        let id = 1_000 + round;
        fleet.offer(0, request(id, "kwaet-thang", Class::InstantLookup, 4), 4);
        let started = fleet.tally.started.contains_key(&GenerationId(id));
        assert!(started, "lookup {round} had to wait");
        for _ in 0..10 {
            fleet.tick();
        }
    }
}

#[test]
fn drafts_finish_beside_saturating_lookups() {
    let mut fleet = fleet(2);
    for round in 0..20_000 {
        for copy in [1_000, 100_000] {
            fleet.offer(
                0,
                request(copy + round, "kwaet-thang", Class::InstantLookup, 4),
                4,
            );
        }
        fleet.tick();
        // Lookups are refused only after they have filled every slot that they may use.
        if round == 2_000 {
            assert!(
                fleet.tally.refused.len() > 100,
                "the lookups did not saturate"
            );
            for id in 0..10 {
                fleet.offer(0, request(id, "fliesenwerk", Class::PatientDraft, 50), 50);
            }
        }
        let mut drafts = (0..10).map(GenerationId);
        if drafts.all(|id| fleet.tally.done.contains_key(&id)) {
            return;
        }
    }
    panic!("drafts starved");
}

#[test]
fn resumes_go_before_new_drafts() {
    let mut router = router_with(&["fliesenwerk", "kwaet-thang"], 1, 4);
    let now = ClockMs(0);
    for id in 0..3 {
        let wanted = request(id, "fliesenwerk", Class::PatientDraft, 100);
        assert_matches!(router.admit(now, wanted), AdmitDecision::Start(_));
    }
    let queued = request(10, "fliesenwerk", Class::PatientDraft, 100);
    assert_eq!(router.admit(now, queued), AdmitDecision::Queued);
    let mut resumed = request(11, "kwaet-thang", Class::PatientDraft, 100);
    resumed.kind = WorkKind::Resume;
    assert_eq!(router.admit(now, resumed.clone()), AdmitDecision::Queued);
    let new = request(12, "kwaet-thang", Class::PatientDraft, 100);
    assert_matches!(router.admit(now, new), AdmitDecision::Refused(refusal) if {
        assert!(refusal.retry_after_ms.is_some());
        refusal.kind == RefusalKind::Overloaded
    });
    let end = support::ended(WorkOutcome::Completed, 100);
    router.on_finished(ClockMs(500), GenerationId(0), end);
    assert_matches!(
        router.next_queued(ClockMs(500)),
        Some(Dequeued::Start(id, _)) if id == resumed.id
    );
}

#[test]
fn zone_loss_refuses_no_generation_and_no_lookup() {
    let mut fleet = fleet(9);
    let mut id = 0;
    // 100 drafts are 80% of 9 × 14 draft slots.
    for _ in 0..100 {
        id += 1;
        fleet.offer(0, request(id, "fliesenwerk", Class::PatientDraft, 400), 400);
    }
    let mut lookups = Vec::new();
    for round in 0..600 {
        if round == 100 {
            for index in [0, 3, 6] {
                fleet.kill(&format!("agent-{index}"));
            }
        }
        id += 1;
        lookups.push(GenerationId(id));
        fleet.offer(0, request(id, "kwaet-thang", Class::InstantLookup, 4), 4);
        fleet.tick();
    }
    fleet.run_until_idle(120_000);
    fleet.assert_none_lost();
    assert!(fleet.tally.refused.is_empty(), "{:?}", fleet.tally.refused);
}
