//! Permits for single requests at endpoints that state a limit, granted by a control replica of their
//! zone.
//!
//! Each entry may send a small part of what an endpoint accepts without asking. Permits give the rest
//! to those entries that have requests.

use indexmap::IndexMap;
use masticsill_types::ClockMs;

use crate::id::EndpointId;
use crate::rate::RequestRate;

/// Share of a stated limit, in percent, that permits of one replica use. Entries use another share
/// without asking, and while replicas are cut off from each other two of them may grant permits.
const PERMITS_PERCENT: u64 = 45;

/// The permits that a control replica has granted.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestPermits {
    /// When the next permit may be granted at each endpoint.
    next_at: IndexMap<EndpointId, ClockMs>,
}

impl RequestPermits {
    /// Grants one request at an endpoint that accepts `rate`; returns whether it may be sent.
    pub(crate) fn grant(&mut self, now: ClockMs, id: &EndpointId, rate: RequestRate) -> bool {
        self.next_at.retain(|_, next_at| now < *next_at);
        let per_1000_s = rate.per_1000_s * PERMITS_PERCENT / 100;
        if per_1000_s == 0 || self.next_at.contains_key(id) {
            return false;
        }
        let interval_ms = 1_000_000 / per_1000_s;
        self.next_at.insert(id.clone(), now + interval_ms);
        true
    }
}
