//! The time that an engine takes to read (prefill) a prompt, learned from its first events.

/// Weight of the newest prompt in the moving average. Four or five prompts dominate the average, so
/// that an engine that becomes slow is recognized within seconds.
const NEWEST_WEIGHT: f64 = 0.3;

/// Moving average of the time in which an engine reads one prompt token.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReadingPace {
    ms_per_token: Option<f64>,
}

impl ReadingPace {
    /// Records that `tokens` tokens of a prompt were read in `elapsed_ms`, with no other prompt
    /// before it.
    // Times and counts are far below the precision of the type.
    #[allow(clippy::cast_precision_loss)]
    pub fn note(&mut self, tokens: u64, elapsed_ms: u64) {
        if tokens == 0 {
            return;
        }
        let newest = elapsed_ms as f64 / tokens as f64;
        let before = self.ms_per_token.unwrap_or(newest);
        self.ms_per_token = Some(before + (newest - before) * NEWEST_WEIGHT);
    }

    /// Milliseconds per token; none before the first prompt.
    #[must_use]
    pub fn ms_per_token(self) -> Option<f64> {
        self.ms_per_token
    }
}
