//! Holding back members that die and return again and again.

use masticsill_types::ClockMs;

/// Deaths older than this no longer count.
const DEATH_WINDOW_MS: u64 = 600_000;
/// Hold-down after the second death in the window; each further death doubles it.
const FIRST_HOLD_MS: u64 = 2_000;
const LONGEST_HOLD_MS: u64 = 60_000;
const MAX_DOUBLINGS: u32 = 5;

/// A member's recent deaths.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HoldDown {
    deaths: u32,
    last_death: ClockMs,
    pub(crate) held_until: ClockMs,
}

impl HoldDown {
    /// Counts a death that was not announced by leaving.
    pub(crate) fn record_death(&mut self, now: ClockMs) {
        if now.since(self.last_death) > DEATH_WINDOW_MS {
            self.deaths = 0;
        }
        self.deaths += 1;
        self.last_death = now;
    }

    /// Whether the latest death lies within `window_ms` of a point.
    pub(crate) fn died_within(&self, point: ClockMs, window_ms: u64) -> bool {
        let distance_ms = point.since(self.last_death) + self.last_death.since(point);
        distance_ms <= window_ms
    }

    /// Starts the hold-down of a member that is back.
    pub(crate) fn record_return(&mut self, now: ClockMs) {
        let is_recent = now.since(self.last_death) <= DEATH_WINDOW_MS;
        if !is_recent || self.deaths < 2 {
            return;
        }
        let doublings = (self.deaths - 2).min(MAX_DOUBLINGS);
        let hold_ms = (FIRST_HOLD_MS << doublings).min(LONGEST_HOLD_MS);
        self.held_until = now + hold_ms;
    }
}
