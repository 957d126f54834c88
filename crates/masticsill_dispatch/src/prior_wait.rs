//! How long callers have waited already when they ask.
//!
//! A caller that was refused comes back as another attempt, with less time than its first one had.
//! Nothing else tells it from a newcomer.

use indexmap::IndexMap;
use masticsill_types::ClockMs;

/// For how long the longest time that callers of a route gave is remembered: it must outlast an
/// overload, in which most of those who ask may have been refused before, and forget a route's
/// former habits within a minute.
const RETENTION_MS: u64 = 30_000;
/// Part of the longest time given, in hundredths, below which a caller counts as one that has come
/// back: first attempts of callers of one route differ by a sixth.
const RETRY_PERCENT: u64 = 80;

/// The longest time given in this part of the memory and in the one before.
#[derive(Clone, Copy, Debug, Default)]
struct LongestTimeouts {
    began_at: ClockMs,
    before_ms: u64,
    now_ms: u64,
}

/// The times that callers gave lately, by route.
#[derive(Clone, Debug, Default)]
pub struct PriorWaitEstimator {
    routes: IndexMap<String, LongestTimeouts>,
}

impl PriorWaitEstimator {
    /// Takes the time that a caller gives; returns how long it has waited before, as far as can be
    /// told: short waits can't be told from less patience.
    pub fn note(&mut self, now: ClockMs, route: &str, given_ms: u64) -> u64 {
        let longest = if let Some(longest) = self.routes.get_mut(route) {
            longest
        } else {
            let began = LongestTimeouts {
                began_at: now,
                ..LongestTimeouts::default()
            };
            self.routes.entry(route.to_owned()).or_insert(began)
        };
        if now.since(longest.began_at) > RETENTION_MS {
            longest.began_at = now;
            longest.before_ms = longest.now_ms;
            longest.now_ms = 0;
        }
        longest.now_ms = longest.now_ms.max(given_ms);
        let usual_ms = longest.now_ms.max(longest.before_ms);
        if given_ms * 100 >= usual_ms * RETRY_PERCENT {
            0
        } else {
            usual_ms - given_ms
        }
    }
}
