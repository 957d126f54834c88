//! How long a request would wait, and how long it may.

use masticsill_types::ClockMs;

use crate::endpoints::EndpointTable;
use crate::service_queue::{Requirements, ServiceQueue, Terms, Work};

/// How much longer than the usual prompt one may be that is still answered in time after the
/// longest wait. One bound for all: with each prompt's own, long ones would be refused first.
const LONG_PROMPT_FACTOR: f64 = 1.5;
/// Part of the aim kept free for the way to the endpoint and back, and for what is not foreseen.
const MARGIN_DIVISOR: u64 = 15;
/// Part of an entry's even share of all starts that it counts on: engines full of runs begin fewer
/// prompts than they could read.
const FAIR_SHARE_USED: f64 = 0.75;

/// When a request must be sent to be answered in time.
pub(crate) fn latest_start(
    queue: &ServiceQueue,
    table: &EndpointTable,
    need: &Requirements,
    terms: &Terms,
) -> ClockMs {
    let usual_ms = typical_work_ms(queue, table, need) * LONG_PROMPT_FACTOR;
    // The time is positive and far below the type's range.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let usual_ms = usual_ms as u64;
    terms
        .answer_due_at
        .before(usual_ms + terms.target_latency_ms / MARGIN_DIVISOR)
}

/// Time from a usual request's start to its first event, with nothing before it.
fn typical_work_ms(queue: &ServiceQueue, table: &EndpointTable, need: &Requirements) -> f64 {
    match need.work {
        Work::Stream { .. } => {
            let ms_per_token = table.median_ms_per_token(&need.service);
            ms_per_token.unwrap_or_default() * queue.average_prompt_tokens()
        }
        Work::Whole => table.median_pace_ms(&need.service).unwrap_or_default(),
    }
}

/// How long a request waits with so many before it: as long as as many starts take.
///
/// The rate is that of this entry's own starts, or at the onset of an overload that of the ends of
/// what it has under way; at least its part of what all entries have under way, which counts when
/// others have taken every place for a while.
// Counts and times are far below the precision of the types.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]
pub(crate) fn wait_ms(
    queue: &ServiceQueue,
    now: ClockMs,
    table: &EndpointTable,
    need: &Requirements,
    entries: u32,
    ahead: usize,
) -> u64 {
    let work_ms = typical_work_ms(queue, table, need).max(1.0);
    let (own, all) = match need.work {
        Work::Stream { .. } => {
            let reading = table.reading(now, &need.service);
            (reading.own, reading.all)
        }
        // Of others' lookups nothing is known.
        Work::Whole => (table.own_in_flight(&need.service), 0),
    };
    let own = f64::from(own) * 1_000.0 / work_ms;
    let all = f64::from(all) * 1_000.0 / work_ms;
    let part = all * FAIR_SHARE_USED / f64::from(entries.max(1));
    let rate = queue.starts_per_s(now).unwrap_or(own).max(part);
    if rate <= 0.0 {
        return work_ms as u64;
    }
    ((ahead + 1) as f64 * 1_000.0 / rate) as u64
}
