//! The steps of a roll-out at a constant rate, with reports every 100 ms.

use indexmap::IndexMap;
use masticsill_rollout::{
    ArmEvidence, DriverInput, EvidenceReport, EvidenceStore, LatencyHistogram, Phase, Reporter,
    RollbackCause, Rollout, RolloutDriver, RolloutLimits, RolloutNumber, RolloutOrder, Rollouts,
    RouteEvidence,
};
use masticsill_types::{ClockMs, NodeId};
use proptest::prelude::*;

const LIMITS: RolloutLimits = RolloutLimits {
    expose_share: 0.1,
    expose_slack: 50,
    repeat_ms: 5_000,
    rollback_ms: 5_000,
};
const TICK_MS: u64 = 100;

/// What is done in a run.
#[derive(Clone, Copy, Debug)]
struct Run {
    requests_per_tick: u32,
    failed_share: f64,
    /// Ready endpoints of the target from 0 ms on, and from `changes_at_ms` on.
    target_ready: [u32; 2],
    changes_at_ms: u64,
    /// When a new leader without any reports takes over.
    leader_lost_ms: Option<u64>,
}

const GOOD: Run = Run {
    requests_per_tick: 10,
    failed_share: 0.0,
    target_ready: [8, 8],
    changes_at_ms: 0,
    leader_lost_ms: None,
};

/// The phases by step, with the time of each, and the target's and all requests.
struct Seen {
    phases: Vec<(u64, Phase)>,
    target: f64,
    total: f64,
}

impl Seen {
    fn end(&self) -> Option<(u64, Phase)> {
        let last = self.phases.last().copied();
        last.filter(|(_, phase)| phase.is_ended())
    }
}

fn service(rollouts: &Rollouts) -> &Rollout {
    rollouts.latest("service").expect("was ordered")
}

fn run(run: Run) -> Seen {
    let mut rollouts = Rollouts::default();
    rollouts.order(&RolloutOrder {
        duration_ms: 12_000,
        service: "service".to_owned(),
        target: "v2".to_owned(),
    });
    let mut driver = RolloutDriver::resume(ClockMs(50_000), service(&rollouts), LIMITS);
    let mut evidence = EvidenceStore::default();
    let mut route = RouteEvidence::default();
    let mut durations = LatencyHistogram::default();
    let mut seen = Seen {
        phases: Vec::new(),
        target: 0.0,
        total: 0.0,
    };
    let (mut share, mut failures, mut owed) = (0.0, 0.0, 0.0);
    for tick in 0..120 {
        let since_ms = tick * TICK_MS;
        let now = ClockMs(50_000 + since_ms);
        if run.leader_lost_ms == Some(since_ms) {
            evidence = EvidenceStore::default();
            driver = RolloutDriver::resume(now, service(&rollouts), LIMITS);
        }
        if run.requests_per_tick > 0 {
            owed += share * f64::from(run.requests_per_tick);
        }
        let mut to_target = 0;
        while owed >= 1.0 && to_target < run.requests_per_tick {
            owed -= 1.0;
            to_target += 1;
        }
        let note = |arm: &mut ArmEvidence, requests: u32| {
            arm.sent += u64::from(requests);
            arm.answered += u64::from(requests);
            for _ in 0..requests {
                arm.latency.note(30);
            }
        };
        note(&mut route.old, run.requests_per_tick - to_target);
        note(&mut route.target, to_target);
        durations.note(30);
        failures += run.failed_share * f64::from(to_target);
        while failures >= 1.0 {
            failures -= 1.0;
            route.target.failed += 1;
        }
        seen.target += f64::from(to_target);
        seen.total += f64::from(run.requests_per_tick);
        evidence.note(
            now,
            EvidenceReport {
                number: RolloutNumber(1),
                old_durations: durations.clone(),
                old_in_flight: 0,
                reporter: Reporter {
                    incarnation: 1,
                    node: NodeId::new("relay-1").expect("a valid name"),
                },
                routes: IndexMap::from([("chat".to_owned(), route.clone())]),
                sequence: tick + 1,
            },
        );
        let input = DriverInput {
            evidence: &evidence,
            old_ready: 8,
            target_ready: run.target_ready[usize::from(since_ms >= run.changes_at_ms)],
        };
        if let Some(step) = driver.step(now, service(&rollouts), &input) {
            assert!(rollouts.advance(&step), "a step out of order");
            seen.phases.push((since_ms, step.phase));
            if step.phase.is_ended() {
                return seen;
            }
            share = match step.phase {
                Phase::Canary { share_permille } => f64::from(share_permille) / 1_000.0,
                _ => 1.0,
            };
        }
    }
    seen
}

#[test]
fn good_version_is_completed_in_time() {
    let (ended_ms, phase) = run(GOOD).end().expect("an end");
    assert_eq!(phase, Phase::Completed);
    assert!(ended_ms < 11_500, "{ended_ms} ms");
}

#[test]
fn failing_version_is_rolled_back_within_its_exposure() {
    let seen = run(Run {
        failed_share: 0.5,
        ..GOOD
    });
    let (_, phase) = seen.end().expect("an end");
    assert_eq!(phase, Phase::RolledBack(RollbackCause::Failures));
    assert!(seen.target < 60.0, "{} requests", seen.target);
}

/// A change of leader must neither move the roll-out on without evidence nor restart its time.
#[test]
fn change_of_leader_does_not_stop_a_good_version() {
    for leader_lost_ms in [1_000, 5_000, 9_000, 9_700] {
        let seen = run(Run {
            leader_lost_ms: Some(leader_lost_ms),
            ..GOOD
        });
        let end = seen.end().map(|(_, phase)| phase);
        assert_eq!(end, Some(Phase::Completed), "lost at {leader_lost_ms} ms");
    }
}

#[test]
fn service_without_requests_is_completed() {
    let seen = run(Run {
        requests_per_tick: 0,
        ..GOOD
    });
    assert_eq!(seen.end().map(|(_, phase)| phase), Some(Phase::Completed));
}

#[test]
fn version_whose_endpoints_disappear_is_rolled_back() {
    let seen = run(Run {
        changes_at_ms: 4_000,
        target_ready: [8, 0],
        ..GOOD
    });
    let (ended_ms, phase) = seen.end().expect("an end");
    assert_eq!(phase, Phase::RolledBack(RollbackCause::NoEndpoints));
    assert!(ended_ms <= 6_500, "{ended_ms} ms");
}

#[test]
fn version_that_never_starts_is_rolled_back_at_the_end() {
    let seen = run(Run {
        target_ready: [0, 0],
        ..GOOD
    });
    let end = seen.end().map(|(_, phase)| phase);
    assert_eq!(end, Some(Phase::RolledBack(RollbackCause::NoEndpoints)));
    assert!(seen.target < 1.0);
}

/// A late leader must find the elapsed time at most half a second old.
#[test]
fn elapsed_time_is_renewed_at_least_every_half_second() {
    let seen = run(GOOD);
    let times: Vec<u64> = seen.phases.iter().map(|(at, _)| *at).collect();
    let gaps = times.windows(2).map(|pair| pair[1] - pair[0]);
    assert!(gaps.max().expect("steps") <= 500);
    assert!(times[0] <= 500);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Until all requests move, half of the allowed exposure must be left or spent, never all.
    #[test]
    fn exposure_before_the_move_stays_within_the_bound(
        requests_per_tick in 1_u32..200,
        target in 1_u32..16,
    ) {
        let seen = run(Run { requests_per_tick, target_ready: [target, target], ..GOOD });
        let move_ms = seen.phases.iter().find(|(_, phase)| *phase == Phase::Finishing);
        let (move_ms, _) = move_ms.expect("all requests move");
        let after = (seen.phases.last().expect("an end").0 - move_ms) / TICK_MS + 1;
        #[expect(clippy::cast_precision_loss, reason = "small counts")]
        let before = seen.target - f64::from(requests_per_tick) * after as f64;
        prop_assert!(before <= 0.1 * seen.total + 50.0, "{before} of {}", seen.total);
    }

    /// A version that fails at least half of its requests must be rolled back within the bound.
    #[test]
    fn failing_version_is_rolled_back_at_any_rate(
        requests_per_tick in 2_u32..200,
        failed_share in 0.5_f64..1.0,
    ) {
        let seen = run(Run { requests_per_tick, failed_share, ..GOOD });
        let end = seen.end().map(|(_, phase)| phase);
        prop_assert_eq!(end, Some(Phase::RolledBack(RollbackCause::Failures)));
        // All requests until the end of the duration count for the bound.
        let total = f64::from(requests_per_tick) * 120.0;
        prop_assert!(seen.target <= 0.1 * total + 50.0, "{} of {total}", seen.target);
    }
}
