//! The engines: which of them run, and when they end by themselves.

use masticsill_registry::EndpointId;
use masticsill_types::ZoneId;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::BlamePlan;
use crate::entry::{ZONES, zone_of};

/// How long an engine is away after its end.
const AWAY_MS: u64 = 1_200;
/// Part of a zone's engines that end when the zone falls.
const FALLEN_SHARE: f64 = 0.9;
/// Within which time they end.
const FALL_SPREAD_MS: u64 = 60;

pub(super) struct Engine {
    pub(super) back_at_ms: u64,
    life: u64,
    number: usize,
    pub(super) runs: usize,
    pub(super) zone: ZoneId,
}

impl Engine {
    pub(super) fn is_up(&self, now_ms: u64) -> bool {
        self.back_at_ms <= now_ms
    }

    pub(super) fn id(&self) -> EndpointId {
        EndpointId::with_unknown_incarnation(format!("e{}-{}", self.number, self.life))
    }

    pub(super) fn end(&mut self, now_ms: u64) {
        self.back_at_ms = now_ms + AWAY_MS;
        self.life += 1;
    }
}

/// The engines that end by themselves, by time.
pub(super) struct Falls {
    due: Vec<(u64, usize)>,
    plan: BlamePlan,
    restarted: usize,
}

impl Falls {
    pub(super) fn new(plan: BlamePlan) -> Self {
        Self {
            due: Vec::new(),
            plan,
            restarted: 0,
        }
    }

    /// Engines that end at this moment.
    pub(super) fn take_due(
        &mut self,
        now_ms: u64,
        engines: usize,
        random: &mut ChaCha8Rng,
    ) -> Vec<usize> {
        let is_time = |every_ms: u64| every_ms > 0 && now_ms > 0 && now_ms.is_multiple_of(every_ms);
        if is_time(self.plan.single_falls_every_ms) {
            self.due.push((now_ms, random.random_range(0..engines)));
        }
        if is_time(self.plan.restarts_every_ms) {
            self.due.push((now_ms, self.restarted % engines));
            self.restarted += 1;
        }
        if is_time(self.plan.zone_falls_every_ms) {
            let zone = random.random_range(0..ZONES.len());
            for number in (zone..engines).step_by(ZONES.len()) {
                if random.random_bool(FALLEN_SHARE) {
                    let at_ms = now_ms + random.random_range(0..FALL_SPREAD_MS);
                    self.due.push((at_ms, number));
                }
            }
        }
        let (due, later) = self.due.iter().partition(|(at_ms, _)| *at_ms <= now_ms);
        self.due = later;
        due.into_iter().map(|(_, number)| number).collect()
    }
}

pub(super) fn engines(plan: &BlamePlan) -> Vec<Engine> {
    let numbers = 0..plan.engines_per_zone * ZONES.len();
    let engines = numbers.map(|number| Engine {
        back_at_ms: 0,
        life: 0,
        number,
        runs: 0,
        zone: zone_of(number),
    });
    engines.collect()
}
