//! Detects that the process was frozen, so that it does not act on messages from before.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use masticsill_types::{ClockMs, MonotonicClock};
use tokio::time::sleep;

const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// A gap between ticks from which on the process counts as frozen: longer than the pauses of a
/// process under a CPU quota, and shorter than the time after which callers give up.
const MIN_PAUSE_MS: u64 = 700;
/// How long after a pause messages may still be read that arrived before its end.
const BACKLOG_MS: u64 = 1_000;

/// The pauses of this process. Clones share them.
#[derive(Clone, Debug)]
pub(crate) struct Pauses {
    clock: MonotonicClock,
    /// End of the last pause on the clock; zero if there was none.
    resumed_at: Arc<AtomicU64>,
    ticked_at: Arc<AtomicU64>,
}

impl Pauses {
    pub(crate) fn new(clock: MonotonicClock) -> Self {
        Self {
            clock,
            resumed_at: Arc::default(),
            ticked_at: Arc::new(AtomicU64::new(clock.now().0)),
        }
    }

    /// Detects pauses; never returns.
    pub(crate) async fn run(self) {
        loop {
            let now = self.clock.now();
            if self.is_in_gap(now) {
                self.resumed_at.store(now.0, Ordering::Relaxed);
            }
            self.ticked_at.store(now.0, Ordering::Relaxed);
            sleep(TICK_INTERVAL).await;
        }
    }

    /// Whether a message that is read now may have arrived before or during a pause.
    pub(crate) fn has_just_resumed(&self) -> bool {
        let now = self.clock.now();
        let resumed_at = self.resumed_at.load(Ordering::Relaxed);
        self.is_in_gap(now) || resumed_at != 0 && now.since(ClockMs(resumed_at)) < BACKLOG_MS
    }

    fn is_in_gap(&self, now: ClockMs) -> bool {
        let ticked_at = ClockMs(self.ticked_at.load(Ordering::Relaxed));
        now.since(ticked_at) >= MIN_PAUSE_MS
    }
}
