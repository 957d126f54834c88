//! Which endpoint a request is placed at, and which endpoints are excluded.

mod support;

use assert_matches::assert_matches;
use indexmap::IndexMap;
use masticsill_routing::{
    AdmitDecision, CacheChange, EndpointDescription, EntryPolicy, EntryRank, LocalLimits,
    PlacementPolicy, PrefixBlock, Router, WorkRequest,
};
use masticsill_types::{
    AdapterId, Class, ClockMs, EndpointKind, Incarnation, LoadReport, NodeId, RefusalKind,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use support::{
    Fleet, engine, entry_id, model, node, request, router, router_with, set_limits, zone,
};

const NOW: ClockMs = ClockMs(10_000);

fn place(router: &mut Router, request: WorkRequest) -> Option<NodeId> {
    match router.admit(NOW, request) {
        AdmitDecision::Start(placement) => Some(placement.node),
        AdmitDecision::Queued | AdmitDecision::Refused(_) => None,
    }
}

fn draft(id: u128) -> WorkRequest {
    request(id, "fliesenwerk", Class::PatientDraft, 100)
}

#[test]
fn unusable_endpoint_gets_no_request() {
    let usable = engine(8, "muc-a");
    let cases: [(&str, EndpointDescription); 4] = [
        (
            "leaving",
            EndpointDescription {
                is_leaving: true,
                ..usable.clone()
            },
        ),
        (
            "held down",
            EndpointDescription {
                held_until: NOW + 1,
                ..usable.clone()
            },
        ),
        (
            "another version",
            EndpointDescription {
                kind: EndpointKind::Engine {
                    loaded: vec![model("planner", "v2")],
                    slots: 8,
                    is_checking_fencing: true,
                },
                ..usable.clone()
            },
        ),
        (
            "without the adapter",
            EndpointDescription {
                kind: EndpointKind::Engine {
                    loaded: vec![model("planner", "v1")],
                    slots: 8,
                    is_checking_fencing: true,
                },
                ..usable.clone()
            },
        ),
    ];
    for (name, description) in cases {
        let mut router = router_with(&["fliesenwerk"], 0, 0);
        router.on_member_change(&node("bad"), Some(description));
        let mut wanted = draft(1);
        if name == "without the adapter" {
            let mut target = model("planner", "v1");
            target.adapter = Some(AdapterId::new("bavaria").unwrap());
            wanted.target = masticsill_routing::BackEndTarget::Engine(target);
        }
        let answer = router.admit(NOW, wanted);
        assert_matches!(answer, AdmitDecision::Refused(refusal) if {
            assert!(refusal.retry_after_ms.is_some(), "{name}");
            refusal.kind == RefusalKind::NoEndpoint
        }, "{name}");
    }
}

#[test]
fn leaving_endpoint_gets_no_new_request() {
    for policy in [
        PlacementPolicy::Affinity,
        PlacementPolicy::LeastConnections,
        PlacementPolicy::RoundRobin,
    ] {
        let mut router = router(policy, 3);
        set_limits(&mut router, NOW, "fliesenwerk", LocalLimits::default());
        for name in ["stays", "leaves"] {
            router.on_member_change(&node(name), Some(engine(200, "muc-a")));
        }
        let leaving = EndpointDescription {
            is_leaving: true,
            ..engine(200, "muc-a")
        };
        router.on_member_change(&node("leaves"), Some(leaving));
        for id in 0..100 {
            assert_eq!(
                place(&mut router, draft(id)),
                Some(node("stays")),
                "{policy:?}"
            );
        }
    }
}

#[test]
fn unreachable_tried_and_out_of_zone_endpoints_are_skipped() {
    let mut router = router_with(&["fliesenwerk"], 3, 50);
    router.set_unreachable(&node("agent-0"), true);
    for id in 0..40 {
        let mut wanted = draft(id);
        wanted.tried = vec![node("agent-1")];
        assert_eq!(place(&mut router, wanted), Some(node("agent-2")));
    }
    let policy = EntryPolicy {
        class: Class::PatientDraft,
        limits: LocalLimits::default(),
        target: draft(0).target,
        zones: vec![zone("fs-c")],
    };
    router.set_entry(NOW, &entry_id("fliesenwerk/patient_draft"), policy);
    assert_eq!(place(&mut router, draft(99)), None);
    router.on_member_change(&node("far"), Some(engine(8, "fs-c")));
    assert_eq!(place(&mut router, draft(100)), Some(node("far")));
}

#[test]
fn new_incarnation_counts_as_reachable() {
    let mut router = router_with(&["fliesenwerk"], 1, 8);
    router.set_unreachable(&node("agent-0"), true);
    assert_eq!(place(&mut router, draft(1)), None);
    let restarted = EndpointDescription {
        incarnation: Incarnation(2),
        ..engine(8, "muc-a")
    };
    router.on_member_change(&node("agent-0"), Some(restarted));
    assert_eq!(place(&mut router, draft(2)), Some(node("agent-0")));
}

fn chain(seed: u64) -> Vec<PrefixBlock> {
    vec![
        PrefixBlock {
            hash: seed * 1_000,
            tokens: 500,
        },
        PrefixBlock {
            hash: seed * 1_000 + 1,
            tokens: 2_000,
        },
    ]
}

#[test]
fn repeated_prefix_goes_to_the_same_endpoint() {
    let mut first = router_with(&["fliesenwerk"], 20, 32);
    let mut second = router_with(&["fliesenwerk"], 20, 32);
    for seed in 1..40 {
        let mut wanted = draft(seed.into());
        wanted.prompt_tokens = 8_000;
        wanted.prefix = chain(seed);
        let one = place(&mut first, wanted.clone());
        wanted.id.0 += 1_000;
        let again = place(&mut first, wanted.clone());
        assert_eq!(
            one, again,
            "the same entry places a repeated prefix elsewhere"
        );
        assert!(one.is_some() && place(&mut second, wanted).is_some());
    }
}

#[test]
fn a_hot_prefix_spills_over_before_its_endpoint_is_full() {
    let mut router = router_with(&["fliesenwerk"], 4, 16);
    let mut counts: IndexMap<NodeId, u32> = IndexMap::new();
    for id in 0..40 {
        let mut wanted = draft(id);
        wanted.prompt_tokens = 2_100;
        wanted.prefix = chain(1);
        *counts
            .entry(place(&mut router, wanted).unwrap())
            .or_default() += 1;
    }
    assert!(counts.len() >= 3, "{counts:?}");
    assert!(counts.values().all(|count| *count <= 14), "{counts:?}");
}

#[test]
fn a_gap_in_cache_events_means_unknown_and_not_empty() {
    let stored = |sequence, prefix_hash| CacheChange {
        is_stored: true,
        prefix_hash,
        sequence,
    };
    let expected = |changes: &[CacheChange]| {
        let mut router = router_with(&["fliesenwerk"], 1, 8);
        router.on_cache_changes(&node("agent-0"), changes);
        let mut wanted = draft(1);
        wanted.prompt_tokens = 4_000;
        wanted.prefix = chain(1);
        assert_matches!(
            router.admit(NOW, wanted),
            AdmitDecision::Start(placement) => placement.cached_tokens
        )
    };
    let known = expected(&[stored(1, 1_000), stored(2, 1_001)]);
    let after_gap = expected(&[stored(1, 1_000), stored(2, 1_001), stored(9, 77)]);
    let dropped = CacheChange {
        is_stored: false,
        ..stored(3, 1_001)
    };
    let after_drop = expected(&[stored(1, 1_000), stored(2, 1_001), dropped]);
    assert_eq!(known, 2_000);
    assert!(after_gap > 0 && after_gap < known, "{after_gap}");
    assert_eq!(after_drop, 500);
}

#[test]
fn entries_with_stale_reports_do_not_herd() {
    let mut rng = StdRng::seed_from_u64(11);
    for class in [Class::InstantLookup, Class::PatientDraft] {
        let routers = (0..6).map(|seed| {
            let mut router = router(PlacementPolicy::Affinity, seed);
            set_limits(
                &mut router,
                ClockMs(0),
                "fliesenwerk",
                LocalLimits::default(),
            );
            router
        });
        let mut fleet = Fleet::new(routers.collect(), 1_000);
        for index in 0..20 {
            fleet.add_engine(&format!("agent-{index}"), 32, "muc-a");
        }
        // The reports show one engine idle and all others half full, and are never updated.
        fleet.are_reports_frozen = true;
        for router in &mut fleet.routers {
            for index in 0..20 {
                let running = if index == 0 { 0 } else { 16 };
                let load = LoadReport {
                    running,
                    ..LoadReport::default()
                };
                router.on_load_report(ClockMs(0), &node(&format!("agent-{index}")), load);
            }
        }
        for id in 0..240 {
            let entry = rng.random_range(0..6);
            fleet.offer(entry, request(id, "fliesenwerk", class, 1_000), 1_000);
        }
        // An even distribution gives 12 to each engine. If every entry filled the idle engine
        // first, that one would get 96.
        let loads = fleet.loads();
        assert!(
            loads[0] <= 36,
            "{class}: the engine reported idle got {} of 240",
            loads[0]
        );
    }
}

#[test]
fn entries_divide_the_slots_that_a_report_shows_free() {
    for running in 0..16 {
        let mut started = 0;
        for rank in 0..3 {
            let mut router = router_with(&["fliesenwerk"], 1, 16);
            router.set_entry_rank(EntryRank { count: 3, rank });
            let load = LoadReport {
                running,
                ..LoadReport::default()
            };
            router.on_load_report(NOW, &node("agent-0"), load);
            let places = (0..20).filter_map(|id| self::place(&mut router, draft(id)));
            started += u32::try_from(places.count()).unwrap();
        }
        // One of the 16 slots is reserved for lookups.
        assert_eq!(started, 15 - running, "{running} ran before");
    }
}
