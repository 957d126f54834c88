//! Counts the requests that have no complete answer yet.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A counter of open requests. Clones share the counter.
#[derive(Clone, Debug, Default)]
pub(crate) struct OpenWork {
    count: Arc<AtomicUsize>,
}

impl OpenWork {
    /// Counts a request as open until the returned guard is dropped.
    pub(crate) fn enter(&self) -> OpenWorkGuard {
        self.count.fetch_add(1, Ordering::AcqRel);
        OpenWorkGuard {
            count: Arc::clone(&self.count),
        }
    }

    /// Returns the number of open requests.
    pub(crate) fn count(&self) -> usize {
        self.count.load(Ordering::Acquire)
    }
}

/// Counts one request as open until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenWorkGuard {
    count: Arc<AtomicUsize>,
}

impl Drop for OpenWorkGuard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::AcqRel);
    }
}
