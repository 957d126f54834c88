//! Whether the relay itself is late: its thread, or what reaches it.
//!
//! Silence that every peer shares is more likely the relay's own: its link is full, or its thread
//! did not run. Without a word of that, each silent endpoint looks like one that has failed.

use std::rc::Rc;
use std::time::Duration;

use masticsill_types::{ClockMs, log_event};
use tokio::time::sleep;

use crate::events;
use crate::metrics::as_f64;
use crate::relay::Relay;

/// How often the relay looks at itself.
const LOOK_MS: u64 = 50;
/// Lateness that is worth a line: a third of the silence after which a run is doubted.
const LATE_MS: u64 = 120;
/// Silence of all peers that is worth a line: control replicas of the own zone answer within 200 ms.
const SILENT_MS: u64 = 300;
/// Pause between two lines.
const LINE_PAUSE_MS: u64 = 1_000;

/// Looks at the relay's own lateness, for good.
pub(crate) async fn watch_lateness(relay: Rc<Relay>) {
    let mut told_at: Option<ClockMs> = None;
    loop {
        let began_at = relay.now();
        sleep(Duration::from_millis(LOOK_MS)).await;
        let now = relay.now();
        let late_ms = now.since(began_at).saturating_sub(LOOK_MS);
        relay.metrics.late_ms.observe(as_f64(late_ms));
        let silent_ms = relay.silent_ms();
        let is_told = told_at.is_some_and(|at| now.since(at) < LINE_PAUSE_MS);
        if is_told || (late_ms < LATE_MS && silent_ms < SILENT_MS) {
            continue;
        }
        told_at = Some(now);
        log_event!(
            warn,
            events::RELAY_LATE,
            late_ms = late_ms,
            silent_ms = silent_ms,
            active = relay.active.get()
        );
    }
}
