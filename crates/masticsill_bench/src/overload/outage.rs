//! Engines that answer nothing for a while, and how entries learn of it.

use masticsill_registry::{ConnectResult, EndpointId, OutageTable};
use masticsill_types::ClockMs;

/// Time of an attempt to connect to an engine that answers.
const CONNECT_MS: u64 = 5;

/// Engines that answer nothing for a while.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutagePlan {
    /// When it begins.
    pub begins_ms: u64,
    /// When it ends.
    pub ends_ms: u64,
    /// Part of the engines, from zero to one.
    pub share: f64,
    /// Whether control replicas find out which engines are down, and tell every entry.
    pub is_shared: bool,
}

impl OutagePlan {
    /// Whether an engine answers nothing. The engines that don't are spread over all zones.
    #[allow(clippy::cast_precision_loss)]
    pub(super) fn is_dark(&self, now: ClockMs, engine: usize) -> bool {
        // Steps of the golden ratio spread the engines evenly without regard to zones.
        let place = (engine as f64 * 0.618_033_988_75).fract();
        (self.begins_ms..self.ends_ms).contains(&now.0) && place < self.share
    }
}

/// The control replica of one zone, as far as outages are concerned.
pub(super) struct ZoneReplica {
    attempts: Vec<(ClockMs, EndpointId, ConnectResult)>,
    revision: u64,
    pub(super) table: OutageTable,
}

impl ZoneReplica {
    pub(super) fn new() -> Self {
        Self {
            attempts: Vec::new(),
            revision: 0,
            table: OutageTable::new(ClockMs(0)),
        }
    }

    /// Runs the attempts that are due. Returns the engines that are down if they changed.
    pub(super) fn step(
        &mut self,
        now: ClockMs,
        engines: &[&EndpointId],
        is_dark: impl Fn(&EndpointId) -> bool,
    ) -> Option<Vec<EndpointId>> {
        if self.table.is_empty() {
            return None;
        }
        for begun in self.table.begin_attempts(now, engines) {
            let (took_ms, result) = if is_dark(&begun) {
                (OutageTable::ATTEMPT_TIMEOUT_MS, ConnectResult::TimedOut)
            } else {
                (CONNECT_MS, ConnectResult::Reached)
            };
            self.attempts.push((now + took_ms, begun, result));
        }
        for (_, id, result) in self.attempts.extract_if(.., |(at, ..)| *at <= now) {
            self.table.note_attempt(now, &id, result);
        }
        self.table.decide(now);
        let is_changed = self.revision != self.table.revision();
        self.revision = self.table.revision();
        is_changed.then(|| self.table.down().cloned().collect())
    }
}
