//! Requests that were run to an end lately, by when.

use indexmap::IndexMap;
use masticsill_types::ClockMs;

use crate::fingerprint::Fingerprint;

/// Requests remembered in each of two generations.
const GENERATION: usize = 2_048;

/// The last requests that were run to an end. The oldest are forgotten, a generation at a time.
#[derive(Clone, Debug, Default)]
pub(crate) struct CompletedRuns {
    former: IndexMap<Fingerprint, ClockMs>,
    newest: IndexMap<Fingerprint, ClockMs>,
}

impl CompletedRuns {
    pub(crate) fn note(&mut self, fingerprint: Fingerprint, at: ClockMs) {
        if self.newest.len() >= GENERATION && !self.newest.contains_key(&fingerprint) {
            self.former = std::mem::take(&mut self.newest);
        }
        self.newest.insert(fingerprint, at);
    }

    /// When a request was run to an end last, as far as it is remembered.
    pub(crate) fn last(&self, fingerprint: &Fingerprint) -> Option<ClockMs> {
        let newest = self.newest.get(fingerprint);
        newest.or_else(|| self.former.get(fingerprint)).copied()
    }
}
