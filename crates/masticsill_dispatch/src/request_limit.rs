//! The limit of requests per second that an endpoint states in its responses.
//!
//! An endpoint that can't keep up names the rate that it accepts from all entries together, in
//! every response for as long as the limit applies.

use masticsill_registry::RequestRate;
use masticsill_types::ClockMs;

/// The limit that an endpoint stated last.
#[derive(Clone, Debug, Default)]
pub struct RequestLimit {
    rate: Option<RequestRate>,
    /// When the last response that stated a limit arrived.
    stated_at: ClockMs,
}

impl RequestLimit {
    /// The rate that the endpoint accepts; `None` if it states no limit.
    #[must_use]
    pub fn rate(&self) -> Option<RequestRate> {
        self.rate
    }

    /// Records what a response states. Returns whether the limit changed.
    ///
    /// A response without a limit lifts it only if its request was sent after the last response
    /// with one had arrived: responses on different connections overtake each other.
    pub fn note_response(
        &mut self,
        now: ClockMs,
        sent_at: ClockMs,
        rate: Option<RequestRate>,
    ) -> bool {
        if rate.is_some() {
            self.stated_at = now;
        } else if sent_at <= self.stated_at {
            return false;
        }
        let is_changed = self.rate != rate;
        self.rate = rate;
        is_changed
    }
}
