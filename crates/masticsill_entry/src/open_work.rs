//! Counts the requests that callers still wait for.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A count of open requests. Clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct OpenWork {
    count: Arc<AtomicUsize>,
}

impl OpenWork {
    /// Counts one request until the guard is dropped.
    pub(crate) fn enter(&self) -> OpenWorkGuard {
        self.count.fetch_add(1, Ordering::AcqRel);
        OpenWorkGuard {
            count: Arc::clone(&self.count),
        }
    }

    /// Open requests.
    pub(crate) fn count(&self) -> usize {
        self.count.load(Ordering::Acquire)
    }
}

/// Holds one request open.
#[derive(Debug)]
pub(crate) struct OpenWorkGuard {
    count: Arc<AtomicUsize>,
}

impl Drop for OpenWorkGuard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::AcqRel);
    }
}
