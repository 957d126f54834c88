//! Whether the entry takes requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};

const READY: u8 = 0;
const LEAVING: u8 = 1;
const CLOSED: u8 = 2;

/// The stages of an entry's planned stop. Clones share one state.
///
/// Readiness goes off first; requests are still accepted for the balancer's grace.
#[derive(Clone, Debug, Default)]
pub(crate) struct Readiness {
    stage: Arc<AtomicU8>,
}

impl Readiness {
    /// Whether the balancer should send requests.
    pub(crate) fn is_ready(&self) -> bool {
        self.stage.load(Ordering::Acquire) == READY
    }

    /// Whether a request that arrives is accepted.
    pub(crate) fn is_accepting(&self) -> bool {
        self.stage.load(Ordering::Acquire) < CLOSED
    }

    /// Turns readiness off.
    pub(crate) fn leave(&self) {
        self.stage.fetch_max(LEAVING, Ordering::AcqRel);
    }

    /// Accepts nothing new.
    pub(crate) fn close(&self) {
        self.stage.fetch_max(CLOSED, Ordering::AcqRel);
    }
}
