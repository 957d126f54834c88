//! Other ways to judge, to compare with the one in use.

use masticsill_rollout::{Finding, Period, RollbackCause, Share, Trial, trials};

/// Probability from which the posterior calls a version bad, and from which it is suspect. It is asked
/// every 100 ms, on each route: lower ones gave more false alarms.
const POSTERIOR_BAD: f64 = 0.9995;
const POSTERIOR_SUSPECT: f64 = 0.97;
const POSTERIOR_DOUBT: f64 = 0.9;
/// By how much a bad version's share exceeds the old one's.
const POSTERIOR_MARGIN: f64 = 0.05;
/// Points at which a share's density is evaluated.
const POINTS: u32 = 200;
/// Periods of a window, requests of the target that it needs, and the excess that fails it.
const WINDOW_PERIODS: usize = 2;
const WINDOW_REQUESTS: f64 = 5.0;
const WINDOW_EXCESS: f64 = 0.2;

/// The probability that the target's share exceeds the old one's by a margin, both with a uniform
/// prior, over all periods so far.
#[must_use]
pub fn posterior(periods: &[Period]) -> Finding {
    let mut most = (0.0, 0.0);
    for route in trials(periods).values() {
        let pool = |trials: &[Trial]| {
            let sum = |sum: Trial, trial: &Trial| Trial {
                old: sum.old.plus(trial.old),
                target: sum.target.plus(trial.target),
            };
            exceeds(&trials.iter().fold(Trial::default(), sum))
        };
        most = (
            f64::max(most.0, pool(&route.failures)),
            f64::max(most.1, pool(&route.slowness)),
        );
    }
    let cause = |limit| cause(most.0 >= limit, most.1 >= limit);
    Finding {
        bad: cause(POSTERIOR_BAD),
        doubt: cause(POSTERIOR_DOUBT),
        suspect: cause(POSTERIOR_SUSPECT),
    }
}

/// Compares the shares in fixed windows of two periods, by a fixed excess.
#[must_use]
pub fn windows(periods: &[Period]) -> Finding {
    let routes = trials(periods);
    let is_bad = |trials: &[Trial]| {
        // The last period is not over yet.
        let ended = &trials[..trials.len().saturating_sub(1)];
        ended.chunks_exact(WINDOW_PERIODS).any(|window| {
            let old = window
                .iter()
                .fold(Share::default(), |sum, trial| sum.plus(trial.old));
            let target = window
                .iter()
                .fold(Share::default(), |sum, trial| sum.plus(trial.target));
            target.of >= WINDOW_REQUESTS && target.value() > old.value() + WINDOW_EXCESS
        })
    };
    let bad = cause(
        routes.values().any(|route| is_bad(&route.failures)),
        routes.values().any(|route| is_bad(&route.slowness)),
    );
    Finding {
        bad,
        doubt: bad,
        suspect: bad,
    }
}

fn cause(failures: bool, slowness: bool) -> Option<RollbackCause> {
    if failures {
        Some(RollbackCause::Failures)
    } else if slowness {
        Some(RollbackCause::Slowness)
    } else {
        None
    }
}

fn exceeds(trial: &Trial) -> f64 {
    if trial.target.of < 1.0 {
        return 0.0;
    }
    let (old, target) = (density(trial.old), density(trial.target));
    let margin = POSTERIOR_MARGIN * f64::from(POINTS);
    let mut below = 0.0;
    let mut sum = 0.0;
    let mut behind = old.iter().enumerate();
    let mut next = behind.next();
    for (index, density) in target.iter().enumerate() {
        let index = f64::from(u32::try_from(index).unwrap_or(POINTS));
        while let Some((at, old)) = next {
            if f64::from(u32::try_from(at).unwrap_or(POINTS)) + margin > index {
                break;
            }
            below += old;
            next = behind.next();
        }
        sum += density * below;
    }
    sum
}

/// The density of a share at evenly spaced points; sums to one.
fn density(share: Share) -> Vec<f64> {
    let bad = share.bad.min(share.of);
    let good = share.of - bad;
    let points = (0..POINTS).map(|point| (f64::from(point) + 0.5) / f64::from(POINTS));
    let logs: Vec<f64> = points
        .map(|value| bad * value.ln() + good * (1.0 - value).ln())
        .collect();
    let most = logs.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    let densities: Vec<f64> = logs.iter().map(|log| (log - most).exp()).collect();
    let sum: f64 = densities.iter().sum();
    densities.iter().map(|density| density / sum).collect()
}
