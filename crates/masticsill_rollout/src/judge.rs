//! Judges the target version by how it answers, against what the old version shows in the same
//! period.
//!
//! A sequential test: for each route, and for all of them together, the likelihood of the target's
//! answers if it were worse by one of a few margins, against their likelihood if it were like the old
//! version. The mean of the ratios over the margins exceeds `1/a` at any time of a good version's
//! roll-out with a probability of at most `a`, however often it is looked at, as far as the old
//! version's share is known. It is estimated, and endpoints fail together when a zone fails; hence the
//! limit on what one period contributes and the periods that are left out.

use indexmap::IndexMap;

use crate::evidence::{ArmEvidence, LatencyHistogram, RouteEvidence, as_f64};
use crate::step::RollbackCause;

/// Natural logarithm of the evidence at which the target is bad: a good version shows as much of one
/// sign on one route once in 1,100 roll-outs.
const BAD_LN: f64 = 7.0;
/// Requests of the target for which the limit rises like for one more look: with many requests there is
/// evidence to spare, with few there is none.
const REQUESTS_A_LOOK: f64 = 50.0;
/// Natural logarithm of the evidence from which the target is not trusted with all requests, if it got
/// `SUSPECT_REQUESTS` or more. It is looked at once, when the roll-out would go on, so it may be less
/// strict. With fewer requests a bad version shows less, and the limit is lower in proportion: a bad
/// version with all requests breaks the exposure bound, a good one that is rolled back can be ordered
/// again.
const SUSPECT_LN: f64 = 4.0;
/// Requests of the target among which a version that fails 2 in 10 nearly always shows.
const SUSPECT_REQUESTS: f64 = 80.0;
/// Natural logarithm of the evidence from which the roll-out waits for more, as long as there is time.
const DOUBT_LN: f64 = 0.0;
/// Portion of `BAD_LN` that one period may contribute while the target has the smaller part of the
/// requests: a zone's failure is over after two periods, and waiting costs few requests.
const PERIOD_PART: f64 = 0.5;
/// By how much more of the requests that the old version answers well a bad target may fail.
const FAILURE_MARGINS: [f64; 4] = [0.1, 0.25, 0.5, 0.9];
/// The same for requests that take twice the old version's median. A version that is several times
/// slower is slow on most requests; load or a zone's failure makes some slow.
const SLOWNESS_MARGINS: [f64; 3] = [0.3, 0.6, 0.9];
/// Requests of the old version in a period that weigh as much as all its other periods.
const SHRINKAGE: f64 = 10.0;
/// Requests and failures that are assumed of the old version before it has shown any: a few failures
/// of the target mean little while nothing is known of the old one.
const PRIOR: Share = Share { bad: 1.0, of: 8.0 };
/// Latencies of the old version that are needed to know its median.
const MEDIAN_LATENCIES: u64 = 5;
/// Old requests in a period below which the period doesn't show how the old version fares in it.
const COMPARABLE: f64 = 3.0;
/// Failures of the old version from which a period may be one of an outage.
const OUTAGE_FAILURES: f64 = 3.0;
/// Share of failed, or slow, requests of the old version from which nothing can be told of the target.
const HOPELESS_SHARE: f64 = 0.8;

/// What was seen in one period of a roll-out.
#[derive(Clone, Debug, Default)]
pub struct Period {
    /// Whether the target's endpoints may still be cold: requests that are sent to it in this period may
    /// be slow, whenever they are answered.
    pub is_cold: bool,
    /// Whether the target's endpoints get no more requests each than the old ones did, so that latencies
    /// can be compared.
    pub is_load_fair: bool,
    /// Whether they get more in this period.
    pub is_loaded: bool,
    /// Evidence of this period by route. `waiting` counts only in the last period.
    pub routes: IndexMap<String, RouteEvidence>,
    /// How many times the requests in flight are replaced by others in the period.
    pub turnover: f64,
}

/// Requests, and those of them that show a sign of a bad version.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    /// Requests that show the sign.
    pub bad: f64,
    /// All requests that might have shown it, which need not be a whole number.
    pub of: f64,
}

impl Share {
    /// The sum of two shares.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            bad: self.bad + other.bad,
            of: self.of + other.of,
        }
    }

    /// The share, from 0 to 1; zero without requests.
    #[must_use]
    pub fn value(self) -> f64 {
        self.bad / self.of.max(1.0)
    }
}

/// Both versions' shares in one period.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Trial {
    /// The old version.
    pub old: Share,
    /// The target version.
    pub target: Share,
}

/// The trials of a route, one a period.
#[derive(Clone, Debug, Default)]
pub struct RouteTrials {
    /// Failed requests.
    pub failures: Vec<Trial>,
    /// Requests that take more than about twice the old version's median.
    pub slowness: Vec<Trial>,
}

/// What the judge finds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Finding {
    /// Why the target is bad; none if it isn't, as far as is known.
    pub bad: Option<RollbackCause>,
    /// Why more evidence is to be waited for before the target gets all requests, if there is time.
    pub doubt: Option<RollbackCause>,
    /// Why the target is not to be trusted with all requests yet.
    pub suspect: Option<RollbackCause>,
}

/// A way to judge.
pub type JudgeFn = fn(&[Period]) -> Finding;

/// Judges the target by the evidence of successive periods.
#[must_use]
pub fn judge(periods: &[Period]) -> Finding {
    let routes = trials(periods);
    let failures: Vec<_> = routes.values().map(|it| it.failures.as_slice()).collect();
    let slowness: Vec<_> = routes.values().map(|it| it.slowness.as_slice()).collect();
    let outages = Background::new(failures.iter().copied(), periods.len()).is_outage;
    let failures = evidence_ln(&failures, &outages, &FAILURE_MARGINS);
    let slowness = evidence_ln(&slowness, &outages, &SLOWNESS_MARGINS);
    let requests = routes.values().flat_map(|it| &it.failures);
    let requests: f64 = requests.map(|trial| trial.target.of).sum();
    let bad_ln = BAD_LN + (1.0 + requests / REQUESTS_A_LOOK).ln();
    let cause = |limit_ln| {
        if failures > limit_ln {
            Some(RollbackCause::Failures)
        } else if slowness > limit_ln {
            Some(RollbackCause::Slowness)
        } else {
            None
        }
    };
    Finding {
        bad: cause(bad_ln),
        doubt: cause(DOUBT_LN),
        suspect: cause(SUSPECT_LN * (requests / SUSPECT_REQUESTS).min(1.0)),
    }
}

/// Counts the signs of a bad version, by route and period.
#[must_use]
pub fn trials(periods: &[Period]) -> IndexMap<String, RouteTrials> {
    let mut sums = IndexMap::<&String, RouteEvidence>::new();
    for (route, evidence) in periods.iter().flat_map(|period| &period.routes) {
        sums.entry(route).or_default().add(evidence);
    }
    let by_route = sums.into_iter().map(|(route, sum)| {
        let slow_from = slow_bucket(&sum.old.latency);
        let mut trials = RouteTrials::default();
        let mut before = RouteEvidence::default();
        let mut cold = 0.0;
        for (index, period) in periods.iter().enumerate() {
            let is_last = index + 1 == periods.len();
            let evidence = period.routes.get(route).cloned().unwrap_or_default();
            trials.failures.push(Trial {
                old: failed(&evidence.old, &before.old, period.turnover),
                target: failed(&evidence.target, &before.target, period.turnover),
            });
            let slow = |arm: &ArmEvidence| {
                let slow_from = slow_from?;
                let answered = Share {
                    bad: as_f64(arm.latency.count_from(slow_from)),
                    of: as_f64(arm.latency.total()),
                };
                let overdue = if is_last {
                    as_f64(arm.waiting.count_from(slow_from))
                } else {
                    0.0
                };
                Some(answered.plus(Share {
                    bad: overdue,
                    of: overdue,
                }))
            };
            if period.is_cold {
                cold += as_f64(evidence.target.sent);
            }
            let mut target = slow(&evidence.target).unwrap_or_default();
            let forgiven = target.bad.min(cold);
            cold -= forgiven;
            target.bad -= forgiven;
            target.of -= forgiven;
            trials.slowness.push(Trial {
                old: slow(&evidence.old).unwrap_or_default(),
                target: if period.is_load_fair {
                    target
                } else {
                    Share::default()
                },
            });
            before = evidence;
        }
        (route.clone(), trials)
    });
    by_route.collect()
}

/// The failures in a period among the requests that might have failed in it: the mean of those sent
/// and those in flight, in units of requests, since some fail at once and others on the way. Among
/// the ended ones, quick failures would outnumber slow successes at first; among those sent alone, the
/// failures of a zone's streams would be too many after the share of new ones has changed.
fn failed(arm: &ArmEvidence, before: &ArmEvidence, turnover: f64) -> Share {
    let in_flight = as_f64(before.in_flight + arm.in_flight) / 2.0;
    let might = f64::midpoint(as_f64(arm.sent), in_flight * turnover);
    let bad = as_f64(arm.failed);
    Share {
        bad,
        of: might.max(bad),
    }
}

fn slow_bucket(old: &LatencyHistogram) -> Option<usize> {
    let median = old.quantile(0.5);
    let median = median.filter(|_| old.total() >= MEDIAN_LATENCIES);
    median.map(|median| median + LatencyHistogram::PER_DOUBLING)
}

/// How the old version fared in the periods, over all routes.
struct Background {
    /// Share of the requests of each period that failed (or were slow) beyond what is usual for their
    /// routes.
    excess: Vec<f64>,
    /// Whether the old version failed far more than usual, as when a zone is down. Its endpoints and the
    /// target's may be in different zones, so that nothing can be told then.
    is_outage: Vec<bool>,
    /// Whether the old version failed on, or was slow on, nearly everything.
    is_hopeless: Vec<bool>,
}

impl Background {
    fn new<'a>(routes: impl Iterator<Item = &'a [Trial]>, periods: usize) -> Self {
        let mut seen = vec![Share::default(); periods];
        let mut usual = vec![0.0; periods];
        for trials in routes {
            let share = usual_share(trials);
            for (index, trial) in trials.iter().enumerate() {
                seen[index] = seen[index].plus(trial.old);
                usual[index] += share * trial.old.of;
            }
        }
        let excess = |(seen, usual): (&Share, &f64)| {
            ((seen.bad - usual) / (seen.of + SHRINKAGE)).clamp(0.0, 1.0)
        };
        let mut excess: Vec<f64> = seen.iter().zip(&usual).map(excess).collect();
        let highest = excess.iter().copied().fold(0.0, f64::max);
        let is_outage = |(seen, usual): (&Share, &f64)| {
            let is_far_more = seen.bad > 2.0 * usual + 0.1 * seen.of;
            seen.bad >= OUTAGE_FAILURES && is_far_more
        };
        let is_outage = seen.iter().zip(&usual).map(is_outage).collect();
        let is_hopeless =
            |seen: &Share| seen.bad >= OUTAGE_FAILURES && seen.value() > HOPELESS_SHARE;
        let is_hopeless = seen.iter().map(is_hopeless).collect();
        for (excess, seen) in excess.iter_mut().zip(&seen) {
            // Without the old version's answers in the period, an outage can't be told.
            if seen.of < COMPARABLE {
                *excess = 1.5 * highest;
            }
        }
        Self {
            excess,
            is_outage,
            is_hopeless,
        }
    }
}

fn usual_share(trials: &[Trial]) -> f64 {
    let sum = trials.iter().fold(PRIOR, |sum, trial| sum.plus(trial.old));
    sum.value()
}

/// Natural logarithm of the strongest evidence among the routes and their sum.
fn evidence_ln(routes: &[&[Trial]], skipped: &[bool], margins: &[f64]) -> f64 {
    let background = Background::new(routes.iter().copied(), skipped.len());
    let mut strongest = f64::NEG_INFINITY;
    let mut sums = vec![0.0; margins.len()];
    for trials in routes {
        let ratios: Vec<f64> = margins
            .iter()
            .map(|margin| ratio_ln(trials, &background, skipped, *margin))
            .collect();
        for (sum, ratio) in sums.iter_mut().zip(&ratios) {
            *sum += ratio;
        }
        strongest = strongest.max(mean_ln(&ratios));
    }
    strongest.max(mean_ln(&sums))
}

/// Logarithm of the likelihood ratio of one margin on one route.
fn ratio_ln(trials: &[Trial], background: &Background, skipped: &[bool], margin: f64) -> f64 {
    let usual = usual_share(trials);
    let mut sum = 0.0;
    for (index, trial) in trials.iter().enumerate() {
        if skipped[index] || background.is_hopeless[index] {
            continue;
        }
        let expected = (usual + background.excess[index]).min(0.9);
        let worse = expected + margin * (1.0 - expected);
        let good = (trial.target.of - trial.target.bad).max(0.0);
        let ratio = trial.target.bad * (worse / expected).ln()
            + good * ((1.0 - worse) / (1.0 - expected)).ln();
        sum += if trial.target.of < trial.old.of {
            ratio.min(PERIOD_PART * BAD_LN)
        } else {
            ratio
        };
    }
    sum
}

/// Logarithm of the mean of values that are given by their logarithms.
fn mean_ln(values: &[f64]) -> f64 {
    let most = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    if !most.is_finite() {
        return f64::NEG_INFINITY;
    }
    let sum: f64 = values.iter().map(|value| (value - most).exp()).sum();
    most + (sum / as_f64(values.len() as u64)).ln()
}
