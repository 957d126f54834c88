//! Refusals, and when their callers may come back.

use masticsill_types::ClockMs;

use crate::service_queue::{ServiceQueue, Terms};

/// Part of the time left, in hundredths, for which a caller is sent away by an overload that lasts.
/// One that comes back sooner can't be told from a newcomer, and takes the place of one that can
/// still be answered in time: 95 of 380 answers of the model at six times the usual load.
const SUSTAINED_RETRY_PERCENT: u64 = 25;
/// Soonest time to come back.
const MIN_RETRY_AFTER_MS: u64 = 200;
/// Part of the time left (a third) after which callers come back whatever they are told.
const RETRY_TIME_DIVISOR: u64 = 3;
/// Part of a time to come back by which it is drawn longer at random, so that those who were
/// refused by several entries at once don't return at once.
const RETRY_SPREAD: f64 = 0.25;

/// Why a request is refused, and when its caller may come back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Overload {
    /// Requests that wait before it.
    pub ahead: usize,
    /// When to come back.
    pub retry_after_ms: u64,
    /// How long it would wait, as far as can be told.
    pub wait_ms: u64,
}

/// Refuses a request and books a time to come back: after those who were told one before, at the
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
    let left_ms = terms.caller_leaves_at.since(now);
    let longest_ms = left_ms / RETRY_TIME_DIVISOR;
    let one_ms = wait_ms / (ahead as u64 + 1);
    // Nobody knows how long an overload stays: as a rule as long again as it has been there.
    let mut soonest_ms = wait_ms.max(queue.overloaded_ms(now));
    if queue.is_overload_sustained(now) {
        soonest_ms = soonest_ms.max(left_ms * SUSTAINED_RETRY_PERCENT / 100);
    }
    let scheduled = queue.retries_scheduled_until.max(now + soonest_ms) + one_ms;
    let wanted_ms = scheduled.since(now);
    let spread = 1.0 + random * RETRY_SPREAD;
    let retry_after_ms = if wanted_ms <= longest_ms {
        queue.retries_scheduled_until = scheduled;
        (wanted_ms as f64 * spread) as u64
    } else {
        // All that can be told is booked: they come back when most of the overload may be gone.
        let least_ms = soonest_ms.min(longest_ms).max(longest_ms / 2);
        least_ms + ((longest_ms - least_ms) as f64 * random) as u64
    };
    Overload {
        ahead,
        retry_after_ms: retry_after_ms
            .clamp(MIN_RETRY_AFTER_MS, longest_ms.max(MIN_RETRY_AFTER_MS)),
        wait_ms,
    }
}
