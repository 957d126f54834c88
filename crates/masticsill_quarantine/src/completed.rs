//! Recently completed requests.

use indexmap::IndexMap;
use masticsill_types::ClockMs;

use crate::fingerprint::Fingerprint;

/// Number of requests in each of the two generations.
const GENERATION_CAPACITY: usize = 2_048;

/// Time of the last completion of recently completed requests. When a generation is full, the one
/// before it is dropped.
#[derive(Clone, Debug, Default)]
pub(crate) struct CompletedRuns {
    previous: IndexMap<Fingerprint, ClockMs>,
    current: IndexMap<Fingerprint, ClockMs>,
}

impl CompletedRuns {
    pub(crate) fn note(&mut self, fingerprint: Fingerprint, at: ClockMs) {
        if self.current.len() >= GENERATION_CAPACITY && !self.current.contains_key(&fingerprint) {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(fingerprint, at);
    }

    /// When the request was last completed, if that is still remembered.
    pub(crate) fn last(&self, fingerprint: &Fingerprint) -> Option<ClockMs> {
        let current = self.current.get(fingerprint);
        current.or_else(|| self.previous.get(fingerprint)).copied()
    }
}
