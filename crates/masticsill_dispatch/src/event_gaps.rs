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
/// Number of gaps after which an engine is judged by its own gaps.
const MIN_GAPS: u32 = 8;
/// Age of the newest gap from which an engine's own gaps say nothing: it may have other load by then.
const MAX_AGE_MS: u64 = 30_000;

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
        if self.count == 0 {
            self.mean_ms = gap_ms;
            self.deviation_ms = gap_ms / 2.0;
        } else {
            let error_ms = gap_ms - self.mean_ms;
            let is_unusual = error_ms > self.deviation_ms;
            let weight = if is_unusual {
                UNUSUAL_WEIGHT
            } else {
                NEWEST_WEIGHT
            };
            self.deviation_ms += (error_ms.abs() - self.deviation_ms) * weight;
            self.mean_ms += error_ms * NEWEST_WEIGHT;
        }
        self.count = self.count.saturating_add(1);
        self.noted_at = now;
    }

    /// The longest usual gap; none if too few gaps are known, or only old ones.
    fn longest_usual_ms(&self, now: ClockMs) -> Option<f64> {
        let is_known = self.count >= MIN_GAPS && now.since(self.noted_at) < MAX_AGE_MS;
        is_known.then_some(self.mean_ms + self.deviation_ms * DEVIATIONS)
    }
}

/// Gaps between the events of one engine, as seen by this entry.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventGaps {
    alone: GapAverage,
    beside_prefill: GapAverage,
}

impl EventGaps {
    /// Records a gap. `is_prefilling` tells whether the engine is known to have prefilled another
    /// prompt meanwhile.
    pub fn note(&mut self, now: ClockMs, gap_ms: u64, is_prefilling: bool) {
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

    /// The longest usual gap in milliseconds; none if it isn't known.
    ///
    /// A prefill may begin at any time during a gap, so that gaps beside a prefill count in any
    /// case.
    #[must_use]
    pub fn longest_usual_ms(&self, now: ClockMs) -> Option<u64> {
        let known = [&self.alone, &self.beside_prefill];
        let known = known.into_iter().filter_map(|it| it.longest_usual_ms(now));
        // Times are positive and far below the range of the type.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        known.map(|it| it as u64).max()
    }
}

/// What decides for how long a run may be silent after its first event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Patience {
    /// Expected time from leaving the run to the next event of the run that resumes it; none if
    /// that run begins with a prefill, which takes longer than any target gap.
    pub resume_ms: Option<u64>,
    /// The longest gap with which a stream is still in time for its caller.
    pub target_gap_ms: u64,
    /// The longest usual gap of the engine; none if it isn't known.
    pub usual_ms: Option<u64>,
}

/// Silence in milliseconds after which a run is presumed to have failed: the longest usual gap of its
/// engine, at least that of a steady engine.
///
/// It is bounded by the time until which the run has to be left for its caller to be in time. A run
/// that can't be resumed in time anyway is kept up to the target gap: what it would take to prefill
/// its prompt again is spent only on an engine that is later than any caller expects.
#[must_use]
pub fn silence_timeout_ms(patience: &Patience) -> u64 {
    let resume_ms = patience.resume_ms.unwrap_or_default();
    let longest_ms = patience.target_gap_ms.saturating_sub(resume_ms);
    let usual_ms = patience.usual_ms.unwrap_or_default();
    usual_ms.min(longest_ms).max(EVENT_GAP_TIMEOUT_MS)
}
