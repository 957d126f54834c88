//! The engines, and what is drawn of them beforehand, so that all methods meet the same.

use std::collections::VecDeque;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::UnevenPlan;

/// Time of a decoding step of an engine of usual speed.
const STEP_MS: f64 = 6.0;
/// Prompt tokens that are prefilled in each step.
const CHUNK_TOKENS: f64 = 200.0;
/// Time of the prefill of a chunk at an engine of usual speed: 8 tokens per millisecond.
const CHUNK_MS: f64 = 25.0;
/// Length of an engine's slow periods, and how many times longer everything takes in them.
const SLOW_MS: u64 = 600;
const SLOWDOWN: f64 = 2.5;
/// How long an engine is dark after its death, and a zone that goes down.
const DARK_MS: u64 = 8_000;
const ZONE_DARK_MS: u64 = 5_000;
/// Age of an entry's knowledge of other entries' prefills.
const REPORT_AGE_MS: usize = 300;

/// A run at an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct Run {
    pub(super) stream: usize,
    pub(super) unread_tokens: f64,
    /// Tokens until the next event.
    pub(super) tokens_to_event: u32,
}

/// A time in which an engine is dark.
#[derive(Clone, Copy, Debug)]
pub(super) struct Outage {
    pub(super) from_ms: u64,
    pub(super) to_ms: u64,
    pub(super) is_zone: bool,
}

/// One engine.
#[derive(Clone, Debug)]
pub(super) struct Engine {
    pub(super) runs: Vec<Run>,
    pub(super) zone: usize,
    outages: Vec<Outage>,
    prefilled: VecDeque<bool>,
    slow_from_ms: Vec<u64>,
    speed: f64,
    step_left_ms: f64,
}

/// Draws the engines of a plan.
pub(super) fn draw(plan: &UnevenPlan, seed: u64) -> Vec<Engine> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let zone_down = random.random_range(0..plan.zones);
    let zone_down_ms = random.random_range(plan.length_ms / 4..plan.length_ms * 3 / 4);
    let engines = 0..plan.engines;
    engines
        .map(|engine| {
            let zone = engine % plan.zones;
            let mut outages = Vec::new();
            let mut at_ms = exponential(&mut random, plan.lifetime_ms);
            while at_ms < plan.length_ms {
                outages.push(Outage {
                    from_ms: at_ms,
                    to_ms: at_ms + DARK_MS,
                    is_zone: false,
                });
                at_ms += DARK_MS + exponential(&mut random, plan.lifetime_ms);
            }
            if zone == zone_down {
                let to_ms = zone_down_ms + ZONE_DARK_MS;
                outages.retain(|it| it.to_ms < zone_down_ms || it.from_ms > to_ms);
                outages.push(Outage {
                    from_ms: zone_down_ms,
                    to_ms,
                    is_zone: true,
                });
            }
            // The time between two slow periods that gives the plan's share.
            #[allow(clippy::cast_precision_loss)]
            let between_ms = SLOW_MS as f64 * (1.0 - plan.slow_share) / plan.slow_share;
            let mut slow_from_ms = Vec::new();
            let mut at_ms = exponential(&mut random, between_ms);
            while at_ms < plan.length_ms * 2 {
                slow_from_ms.push(at_ms);
                at_ms += SLOW_MS + exponential(&mut random, between_ms);
            }
            let mut usual_speed = random.random_range(plan.speeds.0..plan.speeds.1);
            if engine < plan.steady_engines {
                slow_from_ms.clear();
                usual_speed = 1.0;
            }
            Engine {
                outages,
                prefilled: VecDeque::new(),
                runs: Vec::new(),
                slow_from_ms,
                speed: usual_speed,
                step_left_ms: 0.0,
                zone,
            }
        })
        .collect()
}

/// A time in milliseconds with an exponential distribution.
// Times are positive and far below the range of the types.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(super) fn exponential(random: &mut impl Rng, mean_ms: f64) -> u64 {
    (-mean_ms * (1.0 - random.random::<f64>()).ln()) as u64 + 1
}

impl Engine {
    /// The outage at a time.
    pub(super) fn outage(&self, now_ms: u64) -> Option<Outage> {
        let mut outages = self.outages.iter();
        let outage = outages.find(|it| (it.from_ms..it.to_ms).contains(&now_ms));
        outage.copied()
    }

    /// Number of prompts being prefilled or waiting for it.
    pub(super) fn reading(&self) -> usize {
        self.runs.iter().filter(|it| it.unread_tokens > 0.0).count()
    }

    /// Whether a prompt was being prefilled when other entries last reported.
    pub(super) fn was_prefilling(&self) -> bool {
        self.prefilled.front().copied().unwrap_or_default()
    }

    /// Works for a millisecond. Returns the streams that got an event.
    pub(super) fn work(&mut self, now_ms: u64, random: &mut impl Rng) -> Vec<usize> {
        self.prefilled.push_back(self.reading() > 0);
        if self.prefilled.len() > REPORT_AGE_MS {
            self.prefilled.pop_front();
        }
        if self.outage(now_ms).is_some() {
            // What ran there is lost.
            self.runs.clear();
            self.step_left_ms = 0.0;
            return Vec::new();
        }
        let mut got_event = Vec::new();
        if self.runs.is_empty() {
            return got_event;
        }
        let begun = self.slow_from_ms.partition_point(|from| *from <= now_ms);
        let slow_until_ms = begun
            .checked_sub(1)
            .map(|place| self.slow_from_ms[place] + SLOW_MS);
        let is_slow = slow_until_ms.is_some_and(|until| now_ms < until);
        let slowdown = if is_slow { SLOWDOWN } else { 1.0 };
        if self.step_left_ms <= 0.0 {
            self.step_left_ms += self.step_ms();
        }
        self.step_left_ms -= self.speed / slowdown;
        while self.step_left_ms <= 0.0 {
            self.end_step(random, &mut got_event);
            self.step_left_ms += self.step_ms();
        }
        got_event
    }

    fn step_ms(&self) -> f64 {
        let chunk_ms = if self.reading() > 0 { CHUNK_MS } else { 0.0 };
        STEP_MS + chunk_ms
    }

    fn end_step(&mut self, random: &mut impl Rng, got_event: &mut Vec<usize>) {
        let mut is_chunk_left = true;
        for run in &mut self.runs {
            if run.unread_tokens > 0.0 {
                if is_chunk_left {
                    is_chunk_left = false;
                    run.unread_tokens -= CHUNK_TOKENS;
                }
                continue;
            }
            run.tokens_to_event -= 1;
            if run.tokens_to_event == 0 {
                run.tokens_to_event = random.random_range(5..=6);
                got_event.push(run.stream);
            }
        }
    }
}
