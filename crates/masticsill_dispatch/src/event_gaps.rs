//! The time between two events of an engine's streams, learned from its events, and the silence
//! after which a run is presumed to have failed.

use masticsill_types::ClockMs;

/// Silence after which a run at a steady engine is presumed to have failed: twice the longest usual
/// gap, that of six decoding steps alongside another request's prefill (180 ms).
pub const EVENT_GAP_TIMEOUT_MS: u64 = 350;
/// Weight of the newest gap in the mean, and in the deviation if it is a usual one. Fifty gaps
/// dominate, since an engine's slow periods are a small part of its time.
const NEWEST_WEIGHT: f64 = 0.02;
/// Weight of the newest gap in the deviation if it is an unusual one.
const UNUSUAL_WEIGHT: f64 = 0.1;
/// Number of mean deviations above the mean up to which a gap is usual, as for retransmission
/// timeouts (RFC 6298).
const DEVIATIONS: f64 = 4.0;
/// Least mean deviation, as a part of the mean: even an engine whose gaps have been equal is given
/// half as much time again.
const MIN_DEVIATION: f64 = 0.125;
/// Number of gaps after which an engine is judged by its own gaps.
const MIN_GAPS: u32 = 8;
/// Age of the newest gap from which an engine's own gaps say nothing: it may have other load by then.
const MAX_AGE_MS: u64 = 30_000;

/// Shortest gap that shows that an engine isn't steady: four fifths of the silence after which a run
/// at a steady engine is left. Without such gaps, the deviation between gaps beside a prefill and
/// without one made the detection of dead engines slower (414 ms instead of 346 ms at the 95th
/// percentile in the model).
const LONG_GAP_MS: u64 = 280;
/// How long such a gap counts: several times the interval between an engine's slow periods (4 s).
const LONG_GAP_RETENTION_MS: u64 = 12_000;

/// Moving average and mean deviation of gaps.
#[derive(Clone, Copy, Debug, Default)]
struct GapAverage {
    count: u32,
    deviation_ms: f64,
    mean_ms: f64,
    noted_at: ClockMs,
}

impl GapAverage {
    fn note(&mut self, now: ClockMs, gap_ms: f64) {
        // The first gaps have equal weights.
        let equal_weight = 1.0 / (f64::from(self.count) + 1.0);
        let error_ms = gap_ms - self.mean_ms;
        if self.count > 0 {
            let is_unusual = error_ms > self.deviation_ms;
            let weight = if is_unusual {
                UNUSUAL_WEIGHT
            } else {
                NEWEST_WEIGHT
            };
            self.deviation_ms += (error_ms.abs() - self.deviation_ms) * weight.max(equal_weight);
        }
        self.mean_ms += error_ms * NEWEST_WEIGHT.max(equal_weight);
        self.count = self.count.saturating_add(1);
        self.noted_at = now;
    }

    /// The longest usual gap; none if too few gaps are known, or only old ones.
    fn longest_usual_ms(&self, now: ClockMs) -> Option<f64> {
        let is_known = self.count >= MIN_GAPS && now.since(self.noted_at) < MAX_AGE_MS;
        let deviation_ms = self.deviation_ms.max(self.mean_ms * MIN_DEVIATION);
        is_known.then_some(self.mean_ms + deviation_ms * DEVIATIONS)
    }
}

/// Gaps between the events of one engine, as seen by this entry.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventGaps {
    alone: GapAverage,
    beside_prefill: GapAverage,
    /// When the last long gap was recorded.
    long_gap_at: Option<ClockMs>,
}

impl EventGaps {
    /// Records a gap. `is_prefilling` tells whether the engine is known to have prefilled another
    /// prompt meanwhile.
    pub fn note(&mut self, now: ClockMs, gap_ms: u64, is_prefilling: bool) {
        if gap_ms >= LONG_GAP_MS {
            self.long_gap_at = Some(now);
        }
        // Times are far below the precision of the type.
        #[allow(clippy::cast_precision_loss)]
        let gap_ms = gap_ms as f64;
        let average = if is_prefilling {
            &mut self.beside_prefill
        } else {
            &mut self.alone
        };
        average.note(now, gap_ms);
    }

    /// The longest usual gap in milliseconds; none if it isn't known, or if the engine has had no long
    /// gap lately.
    ///
    /// A prefill may begin at any time during a gap, so that gaps beside a prefill count in any
    /// case.
    #[must_use]
    pub fn longest_usual_ms(&self, now: ClockMs) -> Option<u64> {
        let long_gap_at = self.long_gap_at?;
        if now.since(long_gap_at) >= LONG_GAP_RETENTION_MS {
            return None;
        }
        let known = [&self.alone, &self.beside_prefill];
        let known = known.into_iter().filter_map(|it| it.longest_usual_ms(now));
        // Times are positive and far below the range of the type.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        known.map(|it| it as u64).max()
    }
}

/// Silence in milliseconds after which a run is presumed to have failed: the longest usual gap, at
/// least that of a steady engine.
///
/// A stream whose gap exceeds `target_gap_ms` is late for its caller, so that no run is kept longer.
/// The time of a resume isn't subtracted: leaving runs sooner, to resume from a copy in time, led to
/// more late streams in the model of uneven engines, since each resume is load as well.
#[must_use]
pub fn silence_timeout_ms(usual_ms: Option<u64>, target_gap_ms: u64) -> u64 {
    let usual_ms = usual_ms.unwrap_or_default();
    usual_ms.min(target_gap_ms).max(EVENT_GAP_TIMEOUT_MS)
}
