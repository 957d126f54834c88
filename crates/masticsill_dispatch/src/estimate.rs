//! Estimates how long a request would wait, and the longest wait with which it is still in time.

use masticsill_types::ClockMs;

use crate::endpoints::EndpointTable;
use crate::service_queue::{Requirements, ServiceQueue, Terms, Work};

/// Length of the longest prompt that is still answered in time after the longest wait, as a
/// multiple of the average prompt. One bound applies to all requests; with the length of each
/// prompt, long prompts would be refused first.
const LONG_PROMPT_FACTOR: f64 = 1.5;
/// Divisor of the target latency that gives the margin for the network and for unforeseen delays.
const MARGIN_DIVISOR: u64 = 15;
/// Share of an entry's fair part of all starts that it counts on: engines with many runs start
/// fewer prompts than they could read.
const FAIR_SHARE_USED: f64 = 0.75;

/// When a request must be sent at the latest to be answered in time.
pub(crate) fn latest_start(
    queue: &ServiceQueue,
    table: &EndpointTable,
    requirements: &Requirements,
    terms: &Terms,
) -> ClockMs {
    let typical_ms = typical_work_ms(queue, table, requirements) * LONG_PROMPT_FACTOR;
    // The time is positive and far below the type's range.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let typical_ms = typical_ms as u64;
    terms
        .answer_due_at
        .before(typical_ms + terms.target_latency_ms / MARGIN_DIVISOR)
}

/// Time from the start of a typical request to its answer or first event without any queueing, in
/// milliseconds.
fn typical_work_ms(
    queue: &ServiceQueue,
    table: &EndpointTable,
    requirements: &Requirements,
) -> f64 {
    match requirements.work {
        Work::Stream { .. } => {
            let ms_per_token = table.median_ms_per_token(&requirements.service);
            ms_per_token.unwrap_or_default() * queue.average_prompt_tokens()
        }
        Work::Whole => table
            .median_pace_ms(&requirements.service)
            .unwrap_or_default(),
    }
}

/// Estimated wait of a request with `ahead` requests before it, in milliseconds: the time that one
/// more than this number of starts takes.
///
/// The rate is that of this entry's own starts; at the onset of an overload, it is the rate at
/// which the requests in flight from this entry end. It is never below this entry's part of the
/// rate at which the requests of all entries end, which matters when other entries have taken all
/// capacity for a while. If all endpoints state limits of requests per second or ask for rest, the
/// wait is not shorter than until one of them accepts the request.
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
    requirements: &Requirements,
    entries: u32,
    ahead: usize,
) -> u64 {
    let work_ms = typical_work_ms(queue, table, requirements).max(1.0);
    let (own, all) = match requirements.work {
        Work::Stream { .. } => {
            let reading = table.reading(now, &requirements.service);
            (reading.own, reading.all)
        }
        // The lookups of other entries are not known.
        Work::Whole => (table.own_in_flight(&requirements.service), 0),
    };
    let own = f64::from(own) * 1_000.0 / work_ms;
    let all = f64::from(all) * 1_000.0 / work_ms;
    let fair_share = all * FAIR_SHARE_USED / f64::from(entries.max(1));
    let rate = queue.starts_per_s(now).unwrap_or(own).max(fair_share);
    let wait_ms = if rate <= 0.0 {
        work_ms
    } else {
        (ahead + 1) as f64 * 1_000.0 / rate
    };
    // The rate is that of the time before endpoints stated limits or asked for rest.
    (wait_ms as u64).max(table.acceptance_wait_ms(now, &requirements.service, ahead))
}
