//! Detects lateness of the relay itself: of its thread, or of everything it receives.
//!
//! Silence shared by all peers is more likely caused by the relay: its link is saturated, or its
//! thread did not run. Without this log event each silent endpoint would look like a failed one.

use std::rc::Rc;
use std::time::Duration;

use masticsill_types::{ClockMs, log_event};
use tokio::time::sleep;

use crate::events;
use crate::metrics::as_f64;
use crate::relay::Relay;

/// Interval between checks.
const CHECK_INTERVAL_MS: u64 = 50;
/// Lateness that is logged: a third of the silence timeout between events.
const LATE_LOG_THRESHOLD_MS: u64 = 120;
/// Silence of all peers that is logged: control replicas in this zone answer within 200 ms.
const SILENCE_LOG_THRESHOLD_MS: u64 = 300;
/// Minimum interval between two log lines.
const MIN_LOG_INTERVAL_MS: u64 = 1_000;

/// Monitors the relay's own lateness until the relay ends.
pub(crate) async fn watch_lateness(relay: Rc<Relay>) {
    let mut logged_at: Option<ClockMs> = None;
    loop {
        let began_at = relay.now();
        sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        let now = relay.now();
        let late_ms = now.since(began_at).saturating_sub(CHECK_INTERVAL_MS);
        relay.metrics.late_ms.observe(as_f64(late_ms));
        let silent_ms = relay.silent_ms();
        let is_logged_recently = logged_at.is_some_and(|at| now.since(at) < MIN_LOG_INTERVAL_MS);
        if is_logged_recently
            || (late_ms < LATE_LOG_THRESHOLD_MS && silent_ms < SILENCE_LOG_THRESHOLD_MS)
        {
            continue;
        }
        logged_at = Some(now);
        log_event!(
            warn,
            events::RELAY_LATE,
            late_ms = late_ms,
            silent_ms = silent_ms,
            active = relay.active.get()
        );
    }
}
