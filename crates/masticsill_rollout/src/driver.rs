//! Decides the next step of a roll-out.

use indexmap::IndexMap;
use masticsill_types::ClockMs;

use crate::evidence::{ArmEvidence, EvidenceStore, LatencyHistogram, RouteEvidence, as_f64};
use crate::judge::{Finding, JudgeFn, Period, judge};
use crate::order::RolloutNumber;
use crate::ramp::{self, Schedule, Traffic};
use crate::step::{Phase, RollbackCause, Rollout, RolloutStep};

/// Bounds that every roll-out keeps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutLimits {
    /// Time in which an operator may repeat an order, in milliseconds.
    pub repeat_ms: u64,
    /// Requests that a bad target version may get beyond its share.
    pub expose_slack: u32,
    /// Share of the service's requests that a bad target version may get, from 0 to 1.
    pub expose_share: f64,
    /// Time in which a bad target version must get no new requests any more, in milliseconds.
    pub rollback_ms: u64,
}

/// What the leader knows when it decides on a step.
#[derive(Clone, Copy, Debug)]
pub struct DriverInput<'a> {
    /// The entries' reports.
    pub evidence: &'a EvidenceStore,
    /// Ready endpoints of all versions but the target.
    pub old_ready: u32,
    /// Ready endpoints of the target version.
    pub target_ready: u32,
}

/// Ready endpoints of the target may be away for this long before they count as gone: a zone's
/// failure lasts about a second, and endpoints register again after it.
const MISSING_MS: u64 = 2_000;
/// Least time between two steps.
const STEP_GAP_MS: u64 = 100;
/// Time after which a step renews the elapsed time; at most 500 ms with the duty's interval.
const RENEW_MS: u64 = 400;
/// Length of the periods in which the versions are compared: several requests of each route in low
/// traffic, and no longer than a zone's failure.
const PERIOD_MS: u64 = 1_000;
/// Most periods that are kept; they are longer in a longer roll-out.
const MAX_PERIODS: u64 = 64;
/// How long endpoints may be cold after the first request to one of them.
const COLD_MS: u64 = 1_000;
/// Highest share meanwhile: such requests tell little on latencies.
const COLD_SHARE: f64 = 0.3;
/// By how much more requests the target's endpoints may get than the old ones got, for latencies to be
/// compared.
const FAIR_LOAD: f64 = 1.2;
/// Periods for which answers may still be slow after more load.
const LOAD_PERIODS: usize = 2;
/// A report that is older than this says nothing on what an entry does now.
const STALE_MS: u64 = 1_000;
/// How long an entry may send requests to the target after its last report that were not reported:
/// its lease and the time on the way.
const UNREPORTED_MS: u64 = 1_300;
/// How long reports are waited for after a leader took over, before their absence counts as no
/// requests.
const TAKE_OVER_MS: u64 = 1_000;
/// Time in which the target is seen with all requests before it may serve alone.
const SEEN_WITH_ALL_MS: u64 = 700;
/// Requests of the service from which the target must have answered some.
const TELLING_REQUESTS: u64 = 20;
/// Requests that the target must have answered well then.
const MIN_ANSWERED: u64 = 4;
/// Part of its requests that the target must have answered then, as a part of what the old version has:
/// a slow version has answered few of them when the move is due.
const MIN_ANSWERED_PART: f64 = 0.5;
/// A share is changed when it differs by more than this part: each step costs a write to the log.
const SHARE_TOLERANCE: f64 = 0.2;

/// Drives one roll-out while this process leads.
#[derive(Clone, Debug)]
pub struct RolloutDriver {
    began_at: ClockMs,
    /// When the target's ready endpoints were first missed.
    missing_since: Option<ClockMs>,
    /// When this driver first saw that all requests go to the target.
    finishing_since: Option<ClockMs>,
    /// When the target was first seen to have got a request.
    first_sent_at: Option<ClockMs>,
    judge: JudgeFn,
    limits: RolloutLimits,
    /// The evidence before the current period.
    counted: IndexMap<String, RouteEvidence>,
    /// Highest rate of requests of each old endpoint in an ended period, a second.
    most_old_load: f64,
    /// The ended periods.
    periods: Vec<Period>,
    period_began_at: ClockMs,
    stepped_at: Option<ClockMs>,
    resumed_at: ClockMs,
}

/// All reports together.
#[derive(Debug, Default)]
struct Sums {
    durations: LatencyHistogram,
    /// Whether no report is so old that its entry may have sent requests since.
    is_fresh: bool,
    old_in_flight: u64,
    /// Age of the reports, mean over the entries, each at most `UNREPORTED_MS`.
    mean_age_ms: f64,
    reports: u64,
    routes: IndexMap<String, RouteEvidence>,
}

impl Sums {
    fn new(now: ClockMs, number: RolloutNumber, evidence: &EvidenceStore) -> Self {
        let mut sums = Self {
            is_fresh: true,
            ..Self::default()
        };
        let mut total_age_ms = 0;
        for (report, at) in evidence.reports(number) {
            let age_ms = now.since(at);
            total_age_ms += age_ms.min(UNREPORTED_MS);
            sums.reports += 1;
            sums.durations.add(&report.old_durations);
            let is_stale = age_ms > STALE_MS;
            if !is_stale {
                sums.old_in_flight += u64::from(report.old_in_flight);
            }
            sums.is_fresh &= !is_stale;
            for (route, seen) in &report.routes {
                let sum = sums.routes.entry(route.clone()).or_default();
                if is_stale {
                    // Its requests in flight may have ended since.
                    let mut seen = seen.clone();
                    for arm in [&mut seen.old, &mut seen.target] {
                        arm.in_flight = 0;
                        arm.waiting = LatencyHistogram::default();
                    }
                    sum.add(&seen);
                } else {
                    sum.add(seen);
                }
            }
        }
        sums.mean_age_ms = as_f64(total_age_ms) / as_f64(sums.reports.max(1));
        sums
    }

    fn old(&self) -> ArmEvidence {
        self.arm(|route| &route.old)
    }

    fn target(&self) -> ArmEvidence {
        self.arm(|route| &route.target)
    }

    /// Mean duration of the old version's requests; that of a stream, or zero for short ones.
    fn mean_ms(&self) -> u64 {
        let median = self.durations.quantile(0.5);
        median.map_or(0, LatencyHistogram::upper_bound_ms)
    }

    fn arm(&self, arm: impl Fn(&RouteEvidence) -> &ArmEvidence) -> ArmEvidence {
        let mut sum = ArmEvidence::default();
        for route in self.routes.values() {
            sum.add(arm(route));
        }
        sum
    }
}

impl RolloutDriver {
    /// Takes over a roll-out. Its age counts on from its last step: `now` is best the time at which
    /// this replica applied that step, so that the time without a leader counts too.
    #[must_use]
    pub fn resume(now: ClockMs, rollout: &Rollout, limits: RolloutLimits) -> Self {
        Self {
            began_at: now.before(rollout.elapsed_ms),
            counted: IndexMap::new(),
            finishing_since: None,
            first_sent_at: None,
            judge,
            limits,
            missing_since: None,
            most_old_load: 0.0,
            period_began_at: now,
            periods: Vec::new(),
            resumed_at: now,
            stepped_at: None,
        }
    }

    /// Judges in another way, to compare ways.
    #[must_use]
    pub fn with_judge(mut self, judge: JudgeFn) -> Self {
        self.judge = judge;
        self
    }

    /// Decides on the next step; none if the roll-out stays as it is for now.
    #[must_use]
    pub fn step(
        &mut self,
        now: ClockMs,
        rollout: &Rollout,
        input: &DriverInput<'_>,
    ) -> Option<RolloutStep> {
        let elapsed_ms = now.since(self.began_at);
        let is_repeatable = elapsed_ms < self.limits.repeat_ms;
        let is_early = |at| now.since(at) < STEP_GAP_MS;
        if self.stepped_at.is_some_and(is_early) {
            return None;
        }
        let phase = if rollout.phase.is_ended() {
            rollout.phase
        } else {
            self.phase(now, elapsed_ms, rollout, input)
        };
        let is_renewal_due =
            !phase.is_ended() && elapsed_ms.saturating_sub(rollout.elapsed_ms) >= RENEW_MS;
        if phase == rollout.phase && is_repeatable == rollout.is_repeatable && !is_renewal_due {
            return None;
        }
        self.stepped_at = Some(now);
        Some(RolloutStep {
            elapsed_ms,
            is_repeatable,
            number: rollout.number,
            phase,
            step: rollout.step + 1,
        })
    }

    fn phase(
        &mut self,
        now: ClockMs,
        elapsed_ms: u64,
        rollout: &Rollout,
        input: &DriverInput<'_>,
    ) -> Phase {
        let sums = Sums::new(now, rollout.number, input.evidence);
        let (old, target) = (sums.old(), sums.target());
        let duration_ms = rollout.order.duration_ms;
        self.note(now, duration_ms, &sums, input);
        let finding = self.find(now, &sums, input);
        if let Some(cause) = finding.bad {
            return Phase::RolledBack(cause);
        }
        if input.target_ready > 0 {
            self.missing_since = None;
        } else {
            let since = *self.missing_since.get_or_insert(now);
            let was_there = target.sent > 0 || rollout.phase == Phase::Finishing;
            if was_there && now.since(since) >= MISSING_MS {
                return Phase::RolledBack(RollbackCause::NoEndpoints);
            }
        }

        let traffic = self.traffic(now, &sums, rollout.phase);
        let mean_ms = traffic.as_ref().and_then(|traffic| {
            let in_flight = as_f64(sums.old_in_flight);
            let rate = traffic.most_per_s;
            (rate > 0.0).then(|| round(in_flight / rate * 1_000.0))
        });
        let schedule = Schedule::new(duration_ms, &sums.durations, mean_ms);
        let is_over = elapsed_ms >= schedule.end_ms;
        let has_taken_over = now.since(self.resumed_at) >= TAKE_OVER_MS;
        if rollout.phase == Phase::Finishing {
            let since = *self.finishing_since.get_or_insert(now);
            let has_reports = sums.reports > 0 || has_taken_over;
            let is_drained = has_reports && sums.is_fresh && sums.old_in_flight == 0;
            let is_seen = now.since(since) >= SEEN_WITH_ALL_MS;
            return if is_over || is_drained && is_seen && finding.suspect.is_none() {
                Phase::Completed
            } else {
                Phase::Finishing
            };
        }

        let is_clear = finding.doubt.is_none() && !sums.routes.values().any(is_unanswered);
        let is_telling = old.sent + target.sent < TELLING_REQUESTS
            || target.latency.total() >= MIN_ANSWERED
                && answered_part(&target) >= MIN_ANSWERED_PART * answered_part(&old);
        if is_over {
            return Phase::RolledBack(if let Some(cause) = finding.suspect {
                cause
            } else if input.target_ready == 0 {
                RollbackCause::NoEndpoints
            } else {
                RollbackCause::Undecided
            });
        }
        if elapsed_ms >= schedule.move_from_ms
            && has_taken_over
            && is_telling
            && finding.suspect.is_none()
            && (is_clear || elapsed_ms >= schedule.latest_move_ms)
            && input.target_ready > 0
        {
            return Phase::Finishing;
        }
        self.canary(now, elapsed_ms, rollout, input, &schedule, traffic.as_ref())
    }

    /// Closes the period if it is over, and notes when the target was first used.
    fn note(&mut self, now: ClockMs, duration_ms: u64, sums: &Sums, input: &DriverInput<'_>) {
        if sums.target().sent > 0 {
            self.first_sent_at.get_or_insert(now);
        }
        let period_ms = PERIOD_MS.max(duration_ms / MAX_PERIODS);
        if now.since(self.period_began_at) >= period_ms && sums.reports > 0 {
            let period = self.period(now, sums, input);
            self.most_old_load = self.most_old_load.max(self.loads(now, &period, input).0);
            self.periods.push(period);
            self.counted.clone_from(&sums.routes);
            self.period_began_at = now;
        }
    }

    /// What was seen since the last period ended.
    fn period(&self, now: ClockMs, sums: &Sums, input: &DriverInput<'_>) -> Period {
        let routes = sums.routes.iter().map(|(route, evidence)| {
            let earlier = self.counted.get(route).cloned().unwrap_or_default();
            (route.clone(), evidence.since(&earlier))
        });
        let mut period = Period {
            is_cold: self.is_cold(now),
            is_load_fair: true,
            is_loaded: false,
            routes: routes.collect(),
            turnover: as_f64(now.since(self.period_began_at)) / as_f64(sums.mean_ms().max(1)),
        };
        let (old_load, target_sent) = self.loads(now, &period, input);
        // As many as an old endpoint gets, on as many endpoints as the target has.
        let length_s = self.length_s(now);
        let as_old = old_load.max(self.most_old_load) * length_s * f64::from(input.target_ready);
        let fair = FAIR_LOAD * as_old + 1.5 * as_old.sqrt();
        let is_loaded = target_sent > fair;
        // Answers show the load of some time ago.
        let recent = self.periods.iter().rev().take(LOAD_PERIODS);
        period.is_load_fair = !is_loaded && recent.filter(|it| it.is_loaded).count() == 0;
        period.is_loaded = is_loaded;
        period
    }

    fn is_cold(&self, now: ClockMs) -> bool {
        self.first_sent_at
            .is_none_or(|since| now.since(since) < COLD_MS)
    }

    /// Length of the current period, in seconds; one that has just begun shows no rate yet.
    fn length_s(&self, now: ClockMs) -> f64 {
        as_f64(now.since(self.period_began_at).max(PERIOD_MS / 2)) / 1_000.0
    }

    /// Requests a second of each old endpoint in a period, and requests of the target.
    fn loads(&self, now: ClockMs, period: &Period, input: &DriverInput<'_>) -> (f64, f64) {
        let routes = || period.routes.values();
        let old: u64 = routes().map(|it| it.old.sent).sum();
        let target: u64 = routes().map(|it| it.target.sent).sum();
        let old = as_f64(old) / self.length_s(now) / f64::from(input.old_ready.max(1));
        (old, as_f64(target))
    }

    fn find(&self, now: ClockMs, sums: &Sums, input: &DriverInput<'_>) -> Finding {
        let mut periods = self.periods.clone();
        periods.push(self.period(now, sums, input));
        (self.judge)(&periods)
    }

    /// The requests so far and their rate; none before there are reports.
    fn traffic(&self, now: ClockMs, sums: &Sums, phase: Phase) -> Option<Traffic> {
        if sums.reports == 0 {
            return None;
        }
        let (total, target) = (sums.old().sent + sums.target().sent, sums.target().sent);
        let count = |routes: &IndexMap<String, RouteEvidence>| -> u64 {
            let routes = routes.values();
            routes.map(|route| route.old.sent + route.target.sent).sum()
        };
        let seen_ms = now.since(self.began_at).max(300);
        let mean_per_s = as_f64(total) * 1_000.0 / as_f64(seen_ms);
        let recent_per_s = self.periods.last().map_or(mean_per_s, |period| {
            let since_ms = now.since(self.period_began_at) + PERIOD_MS;
            let recent = count(&period.routes) + (total - count(&self.counted).min(total));
            as_f64(recent) * 1_000.0 / as_f64(since_ms)
        });
        let most_per_s = mean_per_s.max(recent_per_s);
        let share = match phase {
            Phase::Canary { share_permille } => f64::from(share_permille) / 1_000.0,
            Phase::Finishing | Phase::Completed => 1.0,
            Phase::RolledBack(_) => 0.0,
        };
        Some(Traffic {
            least_per_s: mean_per_s.min(recent_per_s),
            most_per_s,
            target: as_f64(target) + most_per_s * share * sums.mean_age_ms / 1_000.0,
            total: as_f64(total),
        })
    }

    fn canary(
        &self,
        now: ClockMs,
        elapsed_ms: u64,
        rollout: &Rollout,
        input: &DriverInput<'_>,
        schedule: &Schedule,
        traffic: Option<&Traffic>,
    ) -> Phase {
        let Phase::Canary { share_permille } = rollout.phase else {
            return rollout.phase;
        };
        if input.target_ready == 0 {
            return Phase::Canary { share_permille: 0 };
        }
        if traffic.is_none() && share_permille > 0 {
            // A new leader has no reports yet.
            return rollout.phase;
        }
        let load_ratio = f64::from(input.target_ready) / f64::from(input.old_ready.max(1));
        let duration_ms = rollout.order.duration_ms;
        let limits = &self.limits;
        let most = if self.is_cold(now) { COLD_SHARE } else { 1.0 };
        let share = ramp::share(
            elapsed_ms,
            duration_ms,
            schedule,
            traffic,
            load_ratio,
            limits,
        );
        let share = share.min(most);
        let held = f64::from(share_permille) / 1_000.0;
        if (share - held).abs() <= SHARE_TOLERANCE * held {
            return rollout.phase;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a share is from 0 to 1"
        )]
        let share_permille = (share * 1_000.0) as u16;
        Phase::Canary { share_permille }
    }
}

/// The part of the requests that were answered well, or whose stream has begun.
fn answered_part(arm: &ArmEvidence) -> f64 {
    as_f64(arm.latency.total()) / as_f64(arm.sent.max(1))
}

/// Whether the target has answered few of a route's requests yet, compared with the old version.
fn is_unanswered(route: &RouteEvidence) -> bool {
    let least = MIN_ANSWERED_PART * answered_part(&route.old);
    route.target.sent >= MIN_ANSWERED && answered_part(&route.target) < least
}

fn round(duration_ms: f64) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a duration is positive, and a float that is too large is cast to the largest integer"
    )]
    let duration_ms = duration_ms as u64;
    duration_ms
}
