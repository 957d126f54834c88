//! How many requests the target version gets, and when.
//!
//! The total that a bad target may get is bounded over the whole duration. Part of it is spent evenly
//! while the old version answers beside it, which is when the versions can be compared best; part of it
//! shortly at a high share, to see the target under load with the old version still beside it; and the
//! rest is kept for the time until the target is stopped if it turns bad with all requests.

use crate::driver::RolloutLimits;
use crate::evidence::{LatencyHistogram, as_f64};

/// Requests that are kept for the time from the moment at which the target gets all of them until a bad
/// one gets none: reports, the duty's interval, and some tens of answers. In seconds of traffic.
const RESERVE_S: f64 = 0.7;
/// Largest part of the allowed exposure that is kept for that.
const MAX_RESERVE_PART: f64 = 0.5;
/// Largest part of the rest that is spent under load.
const MAX_LOADED_PART: f64 = 0.6;
/// How long the target is seen under load beside the old version: two reports of each entry.
const LOADED_MS: u64 = 900;
/// Highest share before the time under load.
const MAX_CANARY_SHARE: f64 = 0.5;
/// Highest share under load; the old version needs some requests to be compared with.
const MAX_LOADED_SHARE: f64 = 0.8;
/// The share before the first reports show how many requests there are.
const FIRST_SHARE: f64 = 0.05;
/// Portion of the present rate that is counted on for the rest of the duration: load may fall.
const RATE_COUNTED_ON: f64 = 0.6;
/// Quantile of the old version's durations that is waited for.
const DURATION_QUANTILE: f64 = 0.95;
/// Largest part of the duration that is left for the old version's requests to end.
const MAX_FINISHING_PART: f64 = 0.55;
/// Until all entries know of a step and have reported since: lease or watch, and a report.
const SETTLE_MS: u64 = 500;
/// Kept at the end: a step has to be replicated, and elapsed time may be understated by as much after
/// a change of leader.
const END_MARGIN_MS: u64 = 800;
/// Time with all requests at the target that is left if the move waits for evidence.
const LEAST_FINISHING_MS: u64 = 1_500;
/// Kept in addition, if requests are short, for one change of leader after the move: election, then
/// all reports again.
const LEADER_CHANGE_MS: u64 = 1_700;
/// Requests that are short enough to leave time for that.
const SHORT_MS: u64 = 2_000;

/// Requests seen so far.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Traffic {
    /// Lowest of the rates seen lately, a second.
    pub(crate) least_per_s: f64,
    /// Highest of the rates seen lately, a second.
    pub(crate) most_per_s: f64,
    /// Requests that the target got, including those that may not have been reported.
    pub(crate) target: f64,
    /// Requests of both versions.
    pub(crate) total: f64,
}

/// The times of a roll-out, since its order, in milliseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[expect(
    clippy::struct_field_names,
    reason = "fields carry their unit, and all are times"
)]
pub(crate) struct Schedule {
    /// When the target is to be seen under load.
    pub(crate) load_from_ms: u64,
    /// When all requests are to move to the target.
    pub(crate) move_from_ms: u64,
    /// When the roll-out has to end.
    pub(crate) end_ms: u64,
    /// Until when the move may wait for more evidence. The old version's streams may not have ended
    /// then at the end; they are resumed by the target's endpoints.
    pub(crate) latest_move_ms: u64,
}

impl Schedule {
    /// The schedule for requests that last as long as those seen. `mean_ms` is an estimate from the
    /// requests in flight, for when no durations are known.
    pub(crate) fn new(
        duration_ms: u64,
        durations: &LatencyHistogram,
        mean_ms: Option<u64>,
    ) -> Self {
        let longest_ms = durations
            .quantile(DURATION_QUANTILE)
            .map(LatencyHistogram::upper_bound_ms)
            .or(mean_ms.map(|mean_ms| mean_ms * 3 / 2))
            .unwrap_or(SHORT_MS / 2);
        let end_ms = duration_ms - END_MARGIN_MS.min(duration_ms / 10);
        let reserve_ms = if longest_ms < SHORT_MS {
            LEADER_CHANGE_MS
        } else {
            0
        };
        let most_ms = part(duration_ms, MAX_FINISHING_PART);
        let finishing_ms = (longest_ms + SETTLE_MS + reserve_ms).min(most_ms);
        let move_from_ms = end_ms - finishing_ms.min(end_ms);
        Self {
            load_from_ms: move_from_ms - LOADED_MS.min(move_from_ms / 4),
            move_from_ms,
            end_ms,
            latest_move_ms: end_ms.saturating_sub(LEAST_FINISHING_MS).max(move_from_ms),
        }
    }
}

/// The share of requests that the target is to get, from 0 to 1, before it gets all.
/// `load_ratio` is the number of the target's ready endpoints for each old one: the target's endpoints
/// get no more requests each than the old ones do.
pub(crate) fn share(
    elapsed_ms: u64,
    duration_ms: u64,
    schedule: &Schedule,
    traffic: Option<&Traffic>,
    load_ratio: f64,
    limits: &RolloutLimits,
) -> f64 {
    let even_load = load_ratio / (1.0 + load_ratio);
    let Some(traffic) = traffic else {
        return FIRST_SHARE.min(limits.expose_share / 2.0).min(even_load);
    };
    let left_s = as_f64(duration_ms.saturating_sub(elapsed_ms)) / 1_000.0;
    let expected = traffic.total + RATE_COUNTED_ON * traffic.least_per_s * left_s;
    let allowed = limits.expose_share * expected + f64::from(limits.expose_slack);
    let kept = (RESERVE_S * traffic.most_per_s).min(MAX_RESERVE_PART * allowed);
    let spent_by_move = allowed - kept;
    let loaded_most = MAX_LOADED_SHARE.min(load_ratio * MAX_LOADED_SHARE);
    let (allowed, until_ms, most) = if elapsed_ms >= schedule.load_from_ms {
        (spent_by_move, schedule.move_from_ms, loaded_most)
    } else {
        let loaded_s = as_f64(schedule.move_from_ms - schedule.load_from_ms) / 1_000.0;
        let loaded = loaded_most * traffic.most_per_s * loaded_s;
        let canary = spent_by_move - loaded.min(MAX_LOADED_PART * spent_by_move);
        (
            canary,
            schedule.load_from_ms,
            MAX_CANARY_SHARE.min(even_load),
        )
    };
    // The end of the spending is not exact: a step and the reports of it take some hundred
    // milliseconds.
    let spend_s = as_f64(until_ms.saturating_sub(elapsed_ms).max(500)) / 1_000.0;
    let requests = (traffic.most_per_s * spend_s).max(1.0);
    ((allowed - traffic.target) / requests).clamp(0.0, most)
}

fn part(duration_ms: u64, part: f64) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a part of a duration is positive and no longer than it"
    )]
    let part = (as_f64(duration_ms) * part) as u64;
    part
}
