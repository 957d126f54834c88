//! Random work with fixed seeds never exceeds the limits of a catalogue entry, and every request
//! ends exactly once.

mod support;

use std::collections::VecDeque;

use masticsill_routing::{
    AdmitDecision, Dequeued, LocalLimits, PlacementPolicy, TokenBucket, WorkOutcome,
};
use masticsill_types::{Class, ClockMs, GenerationId};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use support::{Fleet, ended, request, router, set_limits};

#[test]
fn running_requests_stay_within_the_concurrency_limit() {
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let limits = LocalLimits {
            concurrent: Some(5),
            ..LocalLimits::default()
        };
        let mut router = support::router_with(&[], 4, 16);
        set_limits(&mut router, ClockMs(0), "w0", limits);
        let mut running: Vec<GenerationId> = Vec::new();
        let mut ends = 0;
        for step in 0..5_000_u64 {
            let now = ClockMs(step * 10);
            if rng.random_bool(0.6) {
                let wanted = request(step.into(), "w0", Class::PatientDraft, 20);
                let id = wanted.id;
                match router.admit(now, wanted) {
                    AdmitDecision::Start(_) => running.push(id),
                    AdmitDecision::Queued => {}
                    AdmitDecision::Refused(_) => ends += 1,
                }
            }
            if !running.is_empty() && rng.random_bool(0.4) {
                let id = running.swap_remove(rng.random_range(0..running.len()));
                let outcome = [
                    WorkOutcome::Completed,
                    WorkOutcome::Failed,
                    WorkOutcome::Cancelled,
                ];
                router.on_finished(now, id, ended(outcome[rng.random_range(0..3)], 20));
                ends += 1;
            }
            while let Some(dequeued) = router.next_queued(now) {
                match dequeued {
                    Dequeued::Start(id, _) => running.push(id),
                    Dequeued::Refused(..) => ends += 1,
                }
            }
            assert!(
                running.len() <= 5,
                "{} requests run at once, limit 5",
                running.len()
            );
            assert_eq!(router.running_count(), running.len());
        }
        assert!(ends > 1_000);
    }
}

#[test]
fn no_window_admits_more_than_rate_and_burst() {
    for seed in 0..50 {
        let mut rng = StdRng::seed_from_u64(seed);
        let rate = rng.random_range(1..200);
        let mut bucket = TokenBucket::new(ClockMs(0), rate * 1_000);
        let mut taken: VecDeque<ClockMs> = VecDeque::new();
        let mut now = ClockMs(0);
        for _ in 0..20_000 {
            now = now + rng.random_range(0..20);
            while bucket.check(now).is_ok() {
                bucket.take(1);
                taken.push_back(now);
            }
            if rng.random_bool(0.01) {
                bucket.set_rate(now, rng.random_range(0..=rate) * 1_000);
            }
            while taken.front().is_some_and(|at| now.since(*at) > 3_000) {
                taken.pop_front();
            }
            let allowed = 3 * rate + rate + 1;
            assert!(
                taken.len() as u64 <= allowed,
                "{} in 3 s at {rate}/s",
                taken.len()
            );
        }
    }
}

#[test]
fn bucket_returns_the_time_until_the_next_token() {
    let mut bucket = TokenBucket::new(ClockMs(0), 2_000);
    bucket.take(1);
    assert_eq!(bucket.check(ClockMs(0)), Err(500));
    assert_eq!(bucket.check(ClockMs(499)), Err(1));
    assert_eq!(bucket.check(ClockMs(500)), Ok(()));
    let mut closed = TokenBucket::new(ClockMs(0), 0);
    assert!(
        closed.check(ClockMs(1_000_000)).is_err(),
        "a share of zero admits nothing"
    );
}

#[test]
fn tokens_over_a_minute_stay_within_the_rate() {
    let limits = LocalLimits {
        tokens_milli_per_s: Some(100_000),
        ..LocalLimits::default()
    };
    let mut router = router(PlacementPolicy::Affinity, 1);
    set_limits(&mut router, ClockMs(0), "w0", limits);
    let mut fleet = Fleet::new(vec![router], 100);
    fleet.add_engine("agent-0", 64, "muc-a");
    let mut rng = StdRng::seed_from_u64(4);
    for id in 0..6_000_u32 {
        if id.is_multiple_of(4) {
            let tokens = rng.random_range(1..=50);
            fleet.offer(0, request(id.into(), "w0", Class::PatientDraft, 50), tokens);
        }
        fleet.tick();
    }
    let tokens: u32 = fleet.tally.done.values().map(|(_, tokens)| *tokens).sum();
    assert!(
        tokens <= 100 * 30 + 100 + 50,
        "{tokens} tokens in 30 s at 100/s"
    );
    assert!(
        tokens >= 100 * 30 * 9 / 10,
        "{tokens} tokens in 30 s at 100/s"
    );
}

#[test]
fn each_request_ends_once_under_random_engine_failures() {
    for seed in 0..10 {
        let mut rng = StdRng::seed_from_u64(seed);
        let routers = (0..3).map(|index| {
            let mut router = router(PlacementPolicy::Affinity, seed * 7 + index);
            for workspace in ["w0", "w1", "w2"] {
                set_limits(&mut router, ClockMs(0), workspace, LocalLimits::default());
            }
            router
        });
        let mut fleet = Fleet::new(routers.collect(), 400);
        for index in 0..8 {
            fleet.add_engine(&format!("agent-{index}"), 8, ["muc-a", "muc-b"][index % 2]);
        }
        let mut next_killed = 0;
        for id in 0..3_000_u32 {
            let class = [Class::InstantLookup, Class::PatientDraft][rng.random_range(0..2)];
            let workspace = ["w0", "w1", "w2"][rng.random_range(0..3)];
            let tokens = rng.random_range(1..80);
            let wanted = request(id.into(), workspace, class, tokens);
            fleet.offer(rng.random_range(0..3), wanted, tokens);
            if rng.random_bool(0.002) && next_killed < 5 {
                fleet.kill(&format!("agent-{next_killed}"));
                next_killed += 1;
            }
            fleet.tick();
        }
        fleet.run_until_idle(600_000);
        fleet.assert_none_lost();
    }
}
