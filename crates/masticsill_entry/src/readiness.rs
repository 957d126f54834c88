//! Tracks whether the entry accepts requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};

const READY: u8 = 0;
const NOT_READY: u8 = 1;
const CLOSED: u8 = 2;

/// The stage of a planned stop of the entry. Clones share the state.
///
/// Readiness is turned off first; requests are still accepted for the balancer's grace period.
#[derive(Clone, Debug, Default)]
pub(crate) struct Readiness {
    stage: Arc<AtomicU8>,
}

impl Readiness {
    /// Returns whether the load balancer should send requests.
    pub(crate) fn is_ready(&self) -> bool {
        self.stage.load(Ordering::Acquire) == READY
    }

    /// Returns whether new requests are accepted.
    pub(crate) fn is_accepting(&self) -> bool {
        self.stage.load(Ordering::Acquire) < CLOSED
    }

    /// Turns readiness off, so that the load balancer stops sending requests.
    pub(crate) fn stop_readiness(&self) {
        self.stage.fetch_max(NOT_READY, Ordering::AcqRel);
    }

    /// Stops accepting new requests.
    pub(crate) fn stop_accepting(&self) {
        self.stage.fetch_max(CLOSED, Ordering::AcqRel);
    }
}
