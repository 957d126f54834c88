//! The play: relays and the leader of one roll-out.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use indexmap::IndexMap;
use masticsill_rollout::{
    DriverInput, EvidenceReport, EvidenceStore, LatencyHistogram, Phase, Reporter, Rollout,
    RolloutDriver, RolloutLimits, RolloutNumber, RolloutOrder, Rollouts, RouteEvidence,
    ServingRollout, VersionChoice, VersionRule,
};
use masticsill_types::{ClockMs, NodeId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::world::{Fate, ROUTES, Span, World};
use super::{DURATION_MS, EXPOSE_SHARE, EXPOSE_SLACK, ROLLBACK_MS, RolloutOutcome, RolloutPlan};

const TICK_MS: u64 = 10;
const TICK_S: f64 = 0.01;
const RELAYS: usize = 22;
const DUTY_EVERY_MS: u64 = 100;
/// Until a step is synced and applied.
const APPLY_MS: u64 = 30;
const LEASE_MS: u64 = 1_000;
/// How long a watch waits for a change, and how long its reply is on the way.
const WATCH_MS: u64 = 250;
const REPLY_MS: u64 = 20;
const REPORT_EVERY_MS: u64 = 300;
const REPORT_GAP_MS: u64 = 100;
/// Time before the order, in which requests begin that the old version has in flight then.
const BEFORE_MS: u64 = 8_000;

/// A request in flight.
#[derive(Clone, Copy, Debug)]
struct Running {
    fate: Fate,
    has_begun: bool,
    /// Whether it was sent after the relay learned of the roll-out.
    is_counted: bool,
    is_target: bool,
    route: usize,
    sent_ms: u64,
}

#[derive(Debug)]
struct Relay {
    frozen: Span,
    incarnation: u64,
    is_bad_unreported: bool,
    name: NodeId,
    old_durations: LatencyHistogram,
    polled_ms: u64,
    reported_ms: u64,
    restart_ms: Option<u64>,
    routes: IndexMap<String, RouteEvidence>,
    rule: Option<VersionRule>,
    running: IndexMap<u64, Running>,
    sequence: u64,
}

impl Relay {
    fn report(&mut self, now_ms: u64) -> EvidenceReport {
        let mut routes = self.routes.clone();
        for running in self.running.values() {
            if let Some(route) = routes.get_mut(ROUTES[running.route])
                && running.is_counted
            {
                let arm = if running.is_target {
                    &mut route.target
                } else {
                    &mut route.old
                };
                arm.in_flight += 1;
                if !running.has_begun {
                    arm.waiting.note(now_ms - running.sent_ms);
                }
            }
        }
        let old = self.running.values().filter(|it| !it.is_target).count();
        self.sequence += 1;
        self.reported_ms = now_ms;
        self.is_bad_unreported = false;
        EvidenceReport {
            number: RolloutNumber(1),
            old_durations: self.old_durations.clone(),
            old_in_flight: u32::try_from(old).unwrap_or(u32::MAX),
            reporter: Reporter {
                incarnation: self.incarnation,
                node: self.name.clone(),
            },
            routes,
            sequence: self.sequence,
        }
    }
}

struct Play {
    bad: u64,
    cut: u64,
    driver: Option<RolloutDriver>,
    evidence: EvidenceStore,
    ended_ms: Option<u64>,
    fiftieth_bad_ms: Option<u64>,
    last_sent_ms: u64,
    leaderless: Span,
    limits: RolloutLimits,
    next_id: u64,
    plan: RolloutPlan,
    queue: BinaryHeap<Reverse<(u64, usize, u64)>>,
    relays: Vec<Relay>,
    rng: ChaCha8Rng,
    rollouts: Rollouts,
    applied_ms: u64,
    /// A step that is synced, with the time at which it is applied.
    step: Option<(u64, masticsill_rollout::RolloutStep)>,
    target: u64,
    total: u64,
    world: World,
}

/// Plays one roll-out.
#[must_use]
pub fn play(plan: &RolloutPlan) -> RolloutOutcome {
    let mut state = Play::new(plan);
    for tick in 0..(BEFORE_MS + DURATION_MS) / TICK_MS {
        state.tick(tick * TICK_MS);
    }
    RolloutOutcome {
        bad: state.bad,
        cut: state.cut,
        ended_ms: state.ended_ms,
        fiftieth_bad_ms: state.fiftieth_bad_ms,
        last_sent_ms: state.last_sent_ms,
        phase: state.rollout().map_or(Phase::Finishing, |it| it.phase),
        target: state.target,
        total: state.total,
    }
}

impl Play {
    fn new(plan: &RolloutPlan) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
        let chance = if plan.has_faults { 0.03 } else { 0.0 };
        let relays = (0..RELAYS).map(|index| {
            let frozen = Span::draw(&mut rng, chance, 1_500..4_000);
            let restart = Span::draw(&mut rng, chance, 1..2);
            Relay {
                frozen,
                incarnation: 1,
                is_bad_unreported: false,
                name: NodeId::new(format!("relay-{index}")).expect("a valid name"),
                old_durations: LatencyHistogram::default(),
                polled_ms: rng.random_range(0..WATCH_MS),
                reported_ms: 0,
                restart_ms: (restart.until_ms > 0).then_some(restart.from_ms),
                routes: IndexMap::new(),
                rule: None,
                running: IndexMap::new(),
                sequence: 0,
            }
        });
        let relays = relays.collect();
        let leaderless = if plan.has_faults {
            Span::draw(&mut rng, 0.5, 700..1_600)
        } else {
            Span::default()
        };
        let world = World::draw(plan, &mut rng);
        Self {
            applied_ms: 0,
            bad: 0,
            cut: 0,
            driver: None,
            ended_ms: None,
            evidence: EvidenceStore::default(),
            fiftieth_bad_ms: None,
            last_sent_ms: 0,
            leaderless,
            limits: RolloutLimits {
                expose_share: EXPOSE_SHARE,
                expose_slack: EXPOSE_SLACK,
                repeat_ms: 5_000,
                rollback_ms: ROLLBACK_MS,
            },
            next_id: 0,
            plan: *plan,
            queue: BinaryHeap::new(),
            relays,
            rng,
            rollouts: Rollouts::default(),
            step: None,
            target: 0,
            total: 0,
            world,
        }
    }

    fn rollout(&self) -> Option<&Rollout> {
        self.rollouts.latest("service")
    }

    fn tick(&mut self, clock_ms: u64) {
        let since_ms = clock_ms.saturating_sub(BEFORE_MS);
        let is_ordered = clock_ms >= BEFORE_MS;
        if clock_ms == BEFORE_MS {
            self.rollouts.order(&RolloutOrder {
                duration_ms: DURATION_MS,
                service: "service".to_owned(),
                target: "v2".to_owned(),
            });
            self.applied_ms = clock_ms;
        }
        self.answers(clock_ms);
        if is_ordered {
            self.lead(clock_ms, since_ms);
            self.relay(clock_ms, since_ms);
        }
        self.requests(clock_ms, since_ms, is_ordered);
    }

    /// Answers that arrive by now, except at relays that are frozen.
    fn answers(&mut self, clock_ms: u64) {
        while let Some(Reverse((at, index, id))) = self.queue.peek().copied()
            && at <= clock_ms
        {
            self.queue.pop();
            let relay = &mut self.relays[index];
            if clock_ms >= BEFORE_MS && relay.frozen.contains(clock_ms - BEFORE_MS) {
                self.queue
                    .push(Reverse((relay.frozen.until_ms + BEFORE_MS, index, id)));
                continue;
            }
            let Some(running) = relay.running.get_mut(&id) else {
                continue;
            };
            let is_first = !running.has_begun && running.fate.first_ms.is_some();
            let running = *running;
            let is_end = running.fate.end_ms <= clock_ms;
            if is_first {
                relay.running[&id].has_begun = true;
                if !is_end {
                    self.queue.push(Reverse((running.fate.end_ms, index, id)));
                }
            }
            if is_end {
                relay.running.swap_remove(&id);
                if !running.is_target && relay.rule.is_some() {
                    relay.old_durations.note(clock_ms - running.sent_ms);
                }
            }
            if running.is_counted {
                let route = relay
                    .routes
                    .entry(ROUTES[running.route].to_owned())
                    .or_default();
                let arm = if running.is_target {
                    &mut route.target
                } else {
                    &mut route.old
                };
                if is_first && let Some(first_ms) = running.fate.first_ms {
                    arm.latency.note(first_ms - running.sent_ms);
                }
                if is_end {
                    arm.answered += 1;
                    arm.failed += u64::from(running.fate.is_failed);
                    relay.is_bad_unreported |= running.fate.is_failed;
                }
            }
            let is_told = if running.fate.is_failed {
                is_end
            } else {
                is_first
            };
            if running.fate.is_bad && is_told {
                self.bad += 1;
                if self.bad == 50 {
                    self.fiftieth_bad_ms = clock_ms.checked_sub(BEFORE_MS);
                }
            }
        }
    }

    fn lead(&mut self, clock_ms: u64, since_ms: u64) {
        if self.leaderless.contains(since_ms) {
            self.driver = None;
            self.evidence = EvidenceStore::default();
            self.step = None;
            return;
        }
        if let Some((at, step)) = self.step
            && at <= clock_ms
        {
            self.step = None;
            if self.rollouts.advance(&step) {
                self.applied_ms = clock_ms;
                if step.phase.is_ended() && self.ended_ms.is_none() {
                    self.ended_ms = Some(since_ms);
                    let olds = self.relays.iter().flat_map(|relay| relay.running.values());
                    let olds = olds.filter(|running| !running.is_target).count();
                    if step.phase == Phase::Completed {
                        self.cut = olds as u64;
                    }
                }
            }
        }
        if !since_ms.is_multiple_of(DUTY_EVERY_MS) || self.step.is_some() {
            return;
        }
        let Some(rollout) = self.rollouts.latest("service") else {
            return;
        };
        if self.driver.is_none() {
            let driver = RolloutDriver::resume(ClockMs(self.applied_ms), rollout, self.limits);
            self.driver = Some(driver.with_judge(self.plan.judge));
            // All relays report to a new leader at once.
            for relay in &mut self.relays {
                relay.reported_ms = 0;
            }
        }
        let input = DriverInput {
            evidence: &self.evidence,
            old_ready: self.world.old_endpoints,
            target_ready: self.world.target_endpoints,
        };
        if let Some(driver) = &mut self.driver {
            let step = driver.step(ClockMs(clock_ms), rollout, &input);
            self.step = step.map(|step| (clock_ms + APPLY_MS, step));
        }
    }

    fn relay(&mut self, clock_ms: u64, since_ms: u64) {
        let Some(serving) = self.rollouts.latest("service").map(ServingRollout::from) else {
            return;
        };
        let has_leader = !self.leaderless.contains(since_ms);
        for relay in &mut self.relays {
            if relay.frozen.contains(since_ms) {
                continue;
            }
            if relay.restart_ms.is_some_and(|at| at <= since_ms) {
                relay.restart_ms = None;
                relay.incarnation += 1;
                relay.rule = None;
                relay.routes.clear();
                relay.running.clear();
                relay.old_durations = LatencyHistogram::default();
            }
            if !has_leader {
                continue;
            }
            let known = relay.rule.as_ref().map(|rule| rule.rollout().step);
            let waited_ms = clock_ms.saturating_sub(relay.polled_ms);
            let is_news = known != Some(serving.step) && waited_ms >= REPLY_MS;
            if is_news || waited_ms >= WATCH_MS {
                let leased_until = ClockMs(relay.polled_ms + LEASE_MS);
                let rule = relay
                    .rule
                    .get_or_insert_with(|| VersionRule::new(serving.clone()));
                rule.note(&serving, Some(leased_until));
                relay.polled_ms = clock_ms;
            }
            let age_ms = clock_ms.saturating_sub(relay.reported_ms);
            let is_due =
                age_ms >= REPORT_EVERY_MS || relay.is_bad_unreported && age_ms >= REPORT_GAP_MS;
            if relay.rule.is_some() && is_due && !serving.phase.is_ended() {
                let report = relay.report(clock_ms);
                self.evidence.note(ClockMs(clock_ms), report);
            }
        }
    }

    fn requests(&mut self, clock_ms: u64, since_ms: u64, is_ordered: bool) {
        let mut left = self.world.rate_per_s(since_ms) * TICK_S;
        loop {
            // Poisson arrivals: exponential gaps, in units of the expected number.
            left += (1.0 - self.rng.random::<f64>()).ln();
            if left < 0.0 {
                return;
            }
            let mut index = self.rng.random_range(0..RELAYS);
            if is_ordered && self.relays[index].frozen.contains(since_ms) {
                index = (index + 1) % RELAYS;
            }
            let route = self.rng.random_range(0..ROUTES.len());
            let random = self.rng.random();
            let relay = &mut self.relays[index];
            let choice = relay
                .rule
                .as_ref()
                .map(|rule| rule.choose(ClockMs(clock_ms), random));
            let is_target = matches!(choice, Some(VersionChoice::Only(_)));
            let fate = self.world.send(&mut self.rng, since_ms, route, is_target);
            let offset_ms = clock_ms - since_ms;
            let fate = Fate {
                end_ms: fate.end_ms + offset_ms,
                first_ms: fate.first_ms.map(|at| at + offset_ms),
                ..fate
            };
            if relay.rule.is_some() {
                let evidence = relay.routes.entry(ROUTES[route].to_owned()).or_default();
                let arm = if is_target {
                    &mut evidence.target
                } else {
                    &mut evidence.old
                };
                arm.sent += 1;
            }
            if is_ordered {
                self.total += 1;
            }
            if is_target {
                self.target += 1;
                self.last_sent_ms = since_ms;
            }
            let running = Running {
                fate,
                has_begun: false,
                is_counted: relay.rule.is_some(),
                is_target,
                route,
                sent_ms: clock_ms,
            };
            self.next_id += 1;
            relay.running.insert(self.next_id, running);
            let at = fate.first_ms.unwrap_or(fate.end_ms);
            self.queue.push(Reverse((at, index, self.next_id)));
        }
    }
}
