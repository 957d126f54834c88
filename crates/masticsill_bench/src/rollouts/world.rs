//! Endpoints of both versions, and what befalls them.

use std::f64::consts::TAU;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::{DURATION_MS, Flaw, RolloutPlan};

pub(super) const ROUTES: [&str; 3] = ["chat", "batch", "tools"];
/// Shares of requests that fail by nature.
const NATURAL_FAILURES: [f64; 3] = [0.005, 0.005, 0.14];
const ZONES: usize = 3;
const OUTAGE_EVERY_MS: u64 = 6_500;
const OUTAGE_MS: u64 = 1_200;
/// Until relays avoid a zone that is down, and which part of them does.
const NOTICED_MS: u64 = 400;
const NOTICED_SHARE: f64 = 0.7;
/// Part of the requests at a zone that goes down whose connections break; the others hang and are sent
/// on.
const BROKEN_SHARE: f64 = 0.5;
const HANG_MS: u64 = 350;
const COLD_MS: u64 = 1_000;
const COLD_FACTOR: f64 = 2.5;
/// Rise of the latency with the load of an endpoint over the usual one.
const LOAD_SLOPE: f64 = 0.3;
const BAD_LOAD: f64 = 0.6;

/// When a request gets its first event and its end, and how it ends.
#[derive(Clone, Copy, Debug)]
pub(super) struct Fate {
    pub(super) end_ms: u64,
    pub(super) first_ms: Option<u64>,
    pub(super) is_bad: bool,
    pub(super) is_failed: bool,
}

/// A time during which something lasts.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Span {
    pub(super) from_ms: u64,
    pub(super) until_ms: u64,
}

impl Span {
    pub(super) fn contains(self, now_ms: u64) -> bool {
        (self.from_ms..self.until_ms).contains(&now_ms)
    }

    pub(super) fn draw(rng: &mut ChaCha8Rng, chance: f64, lasts_ms: std::ops::Range<u64>) -> Self {
        let from_ms = rng.random_range(0..DURATION_MS);
        let lasts_ms = rng.random_range(lasts_ms);
        if rng.random_bool(chance) {
            Self {
                from_ms,
                until_ms: from_ms + lasts_ms,
            }
        } else {
            Self::default()
        }
    }
}

/// The endpoints.
#[derive(Debug)]
pub(super) struct World {
    pub(super) old_endpoints: u32,
    pub(super) target_endpoints: u32,
    has_outages: bool,
    is_cold: bool,
    outage_phase_ms: u64,
    /// The zones of the target's endpoints are those from this one on.
    target_zones: usize,
    doubled: Span,
    plan: RolloutPlan,
    first_used_ms: Option<u64>,
    /// Times at which the target lately got requests.
    target_sent_ms: std::collections::VecDeque<u64>,
}

impl World {
    pub(super) fn draw(plan: &RolloutPlan, rng: &mut ChaCha8Rng) -> Self {
        let has = |rng: &mut ChaCha8Rng, chance| plan.has_faults && rng.random_bool(chance);
        let is_few = has(rng, 0.3);
        Self {
            doubled: if plan.has_faults {
                Span::draw(rng, 0.5, 2_000..5_000)
            } else {
                Span::default()
            },
            first_used_ms: None,
            has_outages: plan.has_faults,
            is_cold: has(rng, 0.5),
            old_endpoints: 12,
            outage_phase_ms: rng.random_range(0..OUTAGE_EVERY_MS),
            plan: *plan,
            target_endpoints: if is_few { 4 } else { 12 },
            target_sent_ms: std::collections::VecDeque::new(),
            target_zones: if is_few && rng.random_bool(0.3) {
                1
            } else {
                ZONES
            },
        }
    }

    pub(super) fn rate_per_s(&self, now_ms: u64) -> f64 {
        let factor = if self.doubled.contains(now_ms) {
            2.0
        } else {
            1.0
        };
        self.plan.load.requests_per_s * factor
    }

    fn down_zone(&self, now_ms: u64) -> Option<(usize, u64)> {
        let at = now_ms + self.outage_phase_ms;
        let (turn, since_ms) = (at / OUTAGE_EVERY_MS, at % OUTAGE_EVERY_MS);
        let zone = usize::try_from(turn).unwrap_or(0) % ZONES;
        (self.has_outages && since_ms < OUTAGE_MS).then_some((zone, since_ms))
    }

    fn spread(rng: &mut ChaCha8Rng, sigma: f64) -> f64 {
        let (u, v): (f64, f64) = (rng.random(), rng.random());
        ((-2.0 * (1.0 - u).ln()).sqrt() * (TAU * v).cos() * sigma).exp()
    }

    /// Sends a request.
    pub(super) fn send(
        &mut self,
        rng: &mut ChaCha8Rng,
        now_ms: u64,
        route: usize,
        is_target: bool,
    ) -> Fate {
        let load = self.load(now_ms, is_target);
        let (mut first, mut rest) = (self.plan.load.first_ms, self.plan.load.rest_ms);
        first *= Self::spread(rng, 0.3) * (1.0 + LOAD_SLOPE * (load - 1.0).max(0.0));
        rest *= Self::spread(rng, 0.1);
        let mut is_bad = false;
        let mut fails = rng.random_bool(NATURAL_FAILURES[route]);
        if is_target {
            let first_used_ms = *self.first_used_ms.get_or_insert(now_ms);
            if self.is_cold && now_ms - first_used_ms < COLD_MS {
                first *= COLD_FACTOR;
            }
            let (share, factor) = match self.plan.flaw {
                Flaw::Fails(share) => (share, 1.0),
                Flaw::Slow(factor) => (0.0, factor),
                Flaw::FailsFrom(share, from_ms) if now_ms >= from_ms => (share, 1.0),
                Flaw::FailsUnderLoad(share) if load > BAD_LOAD => (share, 1.0),
                Flaw::FailsOnRoute(share, on) if on == route => (share, 1.0),
                Flaw::SlowOnRoute(factor, on) if on == route => (0.0, factor),
                Flaw::None
                | Flaw::FailsFrom(..)
                | Flaw::FailsUnderLoad(_)
                | Flaw::FailsOnRoute(..)
                | Flaw::SlowOnRoute(..) => (0.0, 1.0),
            };
            is_bad = rng.random_bool(share) || factor > 1.0;
            fails |= is_bad && factor <= 1.0;
            first *= factor;
        }
        let (first_ms, rest_ms) = (whole(first), whole(rest));
        let mut fate = Fate {
            end_ms: now_ms + first_ms + rest_ms,
            first_ms: Some(now_ms + first_ms),
            is_bad,
            is_failed: fails,
        };
        if fails {
            // Half of them fail at once, half somewhere on the way.
            let until_ms = if rng.random_bool(0.5) {
                20
            } else {
                whole(rng.random::<f64>() * (first + rest))
            };
            fate.end_ms = now_ms + until_ms.max(2);
            fate.first_ms = fate.first_ms.filter(|at| *at < fate.end_ms && rest_ms > 0);
        }
        self.strike(rng, now_ms, is_target, &mut fate);
        fate
    }

    /// What an outage does to a request: one that goes on, or one that begins while it lasts.
    fn strike(&self, rng: &mut ChaCha8Rng, now_ms: u64, is_target: bool, fate: &mut Fate) {
        let zones = if is_target { self.target_zones } else { ZONES };
        let mut zone = rng.random_range(0..zones);
        if let Some((down, since_ms)) = self.down_zone(now_ms) {
            let is_avoided = since_ms > NOTICED_MS && rng.random_bool(NOTICED_SHARE);
            if zone == down && is_avoided && zones > 1 {
                zone = (zone + 1) % zones;
            }
            if zone == down {
                if rng.random_bool(BROKEN_SHARE) {
                    fate.is_failed = true;
                    fate.end_ms = now_ms + rng.random_range(5..HANG_MS);
                    fate.first_ms = None;
                } else {
                    fate.end_ms += HANG_MS;
                    fate.first_ms = fate.first_ms.map(|at| at + HANG_MS);
                }
                return;
            }
        }
        let mut at_ms = now_ms;
        while at_ms < fate.end_ms {
            at_ms += 50;
            if self.down_zone(at_ms).is_some_and(|(down, _)| down == zone) && at_ms < fate.end_ms {
                if rng.random_bool(BROKEN_SHARE) {
                    fate.is_failed = true;
                    fate.end_ms = at_ms;
                    fate.first_ms = fate.first_ms.filter(|first_ms| *first_ms < at_ms);
                }
                return;
            }
        }
    }

    /// Requests of an endpoint in the last half second, over the usual number at an old one.
    fn load(&mut self, now_ms: u64, is_target: bool) -> f64 {
        if !is_target {
            return self.rate_per_s(now_ms) / self.plan.load.requests_per_s;
        }
        self.target_sent_ms.push_back(now_ms);
        while self
            .target_sent_ms
            .front()
            .is_some_and(|at| at + 500 < now_ms)
        {
            self.target_sent_ms.pop_front();
        }
        let sent = f64::from(u32::try_from(self.target_sent_ms.len()).unwrap_or(u32::MAX));
        let usual = self.plan.load.requests_per_s / f64::from(self.old_endpoints);
        2.0 * sent / f64::from(self.target_endpoints) / usual
    }
}

fn whole(duration_ms: f64) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "durations are positive and below a minute"
    )]
    let duration_ms = duration_ms as u64;
    duration_ms.max(1)
}
