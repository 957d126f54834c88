//! Refuses requests and assigns the times after which their callers may retry.

use masticsill_types::ClockMs;

use crate::service_queue::{ServiceQueue, Terms};

/// Minimum time until a retry in a sustained overload, as a percentage of the caller's remaining
/// time. A caller that retries sooner can't be told apart from a new one and takes the place of a
/// request that can still be answered in time: 95 of 380 answers in the simulation at six times the
/// usual load.
const SUSTAINED_RETRY_PERCENT: u64 = 25;
/// Minimum time until a retry.
const MIN_RETRY_AFTER_MS: u64 = 200;
/// Divisor of the caller's remaining time (a third) after which callers retry whatever they are
/// told.
const RETRY_TIME_DIVISOR: u64 = 3;
/// Largest random extension of the time until a retry, as a fraction of it, so that callers refused
/// by several entries at once don't retry at once.
const RETRY_SPREAD: f64 = 0.25;

/// Details of a refusal due to overload.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Overload {
    /// Number of requests that would be served before this one.
    pub ahead: usize,
    /// Time after which the caller may retry, in milliseconds.
    pub retry_after_ms: u64,
    /// Estimated wait of the request, in milliseconds.
    pub wait_ms: u64,
    /// Whether the request was not queued because a more urgent one was refused lately.
    pub yields_to_urgent: bool,
}

/// Refuses a request and assigns a time for its retry, after the retries assigned before, at the
/// rate at which requests start here.
// Times are positive and far below the types' range and precision.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]
pub(crate) fn refuse(
    queue: &mut ServiceQueue,
    now: ClockMs,
    terms: &Terms,
    ahead: usize,
    wait_ms: u64,
    random: f64,
) -> Overload {
    let remaining_ms = terms.caller_leaves_at.since(now);
    let longest_ms = remaining_ms / RETRY_TIME_DIVISOR;
    let per_request_ms = wait_ms / (ahead as u64 + 1);
    // The duration of an overload is unknown; assume that it lasts as long again as it has lasted.
    let mut soonest_ms = wait_ms.max(queue.overloaded_ms(now));
    if queue.is_overload_sustained(now) {
        soonest_ms = soonest_ms.max(remaining_ms * SUSTAINED_RETRY_PERCENT / 100);
    }
    let scheduled = queue.retries_scheduled_until.max(now + soonest_ms) + per_request_ms;
    let delay_ms = scheduled.since(now);
    let spread = 1.0 + random * RETRY_SPREAD;
    let retry_after_ms = if delay_ms <= longest_ms {
        queue.retries_scheduled_until = scheduled;
        (delay_ms as f64 * spread) as u64
    } else {
        // All times that can be assigned are taken. Spread the retries over the end of the range,
        // when most of the overload may be over.
        let least_ms = soonest_ms.min(longest_ms).max(longest_ms / 2);
        least_ms + ((longest_ms - least_ms) as f64 * random) as u64
    };
    Overload {
        ahead,
        retry_after_ms: retry_after_ms
            .clamp(MIN_RETRY_AFTER_MS, longest_ms.max(MIN_RETRY_AFTER_MS)),
        wait_ms,
        yields_to_urgent: false,
    }
}
