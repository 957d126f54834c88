//! Memory for what the exchanges of a process hold of their responses, shared by all of them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::BytesMut;
use thiserror::Error;

/// Bytes that each exchange may hold without a part of the budget: more than usual responses have.
const FREE_BYTES: usize = 16 * 1024;

/// A response that needs more memory than is left for it.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("{held_bytes} bytes are held, more than this process has memory for")]
pub struct OverBudget {
    /// Bytes that the exchange would hold.
    pub held_bytes: usize,
}

/// A limit of the bytes that all exchanges of a process hold together. Clones share the limit.
///
/// While the limit is reached, an exchange may grow only up to an equal part of it. Responses without
/// an end therefore fail first, and ordinary ones are read beside them. All exchanges together hold at
/// most twice the limit, apart from a small amount that each has for itself.
#[derive(Clone, Debug)]
pub struct BufferBudget {
    limit_bytes: usize,
    usage: Arc<Usage>,
}

#[derive(Debug, Default)]
struct Usage {
    held_bytes: AtomicUsize,
    /// Exchanges that hold a part of the budget.
    holders: AtomicUsize,
}

impl BufferBudget {
    /// A budget of `limit_bytes` bytes.
    #[must_use]
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            usage: Arc::default(),
        }
    }

    /// A share that holds nothing yet.
    #[must_use]
    pub fn share(&self) -> BufferShare {
        BufferShare {
            budget: self.clone(),
            counted_bytes: 0,
        }
    }

    /// Bytes that are held at present, without those that each exchange has for itself.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.usage.held_bytes.load(Ordering::Relaxed)
    }
}

/// What one exchange holds of a budget; returned when it is dropped.
#[derive(Debug)]
pub struct BufferShare {
    budget: BufferBudget,
    counted_bytes: usize,
}

impl BufferShare {
    /// Another share of the same budget that holds nothing yet.
    pub(crate) fn sibling(&self) -> Self {
        self.budget.share()
    }

    /// Records that the exchange holds `held_bytes` bytes now.
    ///
    /// # Errors
    ///
    /// [`OverBudget`] if they don't fit; the share then keeps its former size.
    pub fn resize(&mut self, held_bytes: usize) -> Result<(), OverBudget> {
        let counted_bytes = held_bytes.saturating_sub(FREE_BYTES);
        if counted_bytes == self.counted_bytes {
            return Ok(());
        }
        let usage = &self.budget.usage;
        let others = usage.held_bytes.load(Ordering::Relaxed) - self.counted_bytes;
        let others_count =
            usage.holders.load(Ordering::Relaxed) - usize::from(self.counted_bytes > 0);
        let is_growing = counted_bytes > self.counted_bytes;
        let equal_part = self.budget.limit_bytes / (others_count + 1);
        let is_over = others + counted_bytes > self.budget.limit_bytes;
        if is_growing && is_over && counted_bytes > equal_part {
            return Err(OverBudget { held_bytes });
        }
        self.record(counted_bytes);
        Ok(())
    }

    fn record(&mut self, counted_bytes: usize) {
        let usage = &self.budget.usage;
        let was_holder = self.counted_bytes > 0;
        match (was_holder, counted_bytes > 0) {
            (false, true) => usage.holders.fetch_add(1, Ordering::Relaxed),
            (true, false) => usage.holders.fetch_sub(1, Ordering::Relaxed),
            _ => 0,
        };
        usage.held_bytes.fetch_add(counted_bytes, Ordering::Relaxed);
        usage
            .held_bytes
            .fetch_sub(self.counted_bytes, Ordering::Relaxed);
        self.counted_bytes = counted_bytes;
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        self.record(0);
    }
}

/// A message that is read piece by piece, and counts towards a budget while it is held.
#[derive(Debug)]
pub struct HeldMessage {
    bytes: BytesMut,
    share: BufferShare,
}

impl HeldMessage {
    /// An empty message that counts towards the budget of `share`.
    #[must_use]
    pub fn new(share: BufferShare) -> Self {
        Self {
            bytes: BytesMut::new(),
            share,
        }
    }

    /// Makes room for a message of a known length.
    ///
    /// # Errors
    ///
    /// [`OverBudget`] if the message does not fit.
    pub fn reserve(&mut self, length_bytes: usize) -> Result<(), OverBudget> {
        self.share.resize(length_bytes)?;
        self.bytes.reserve(length_bytes);
        Ok(())
    }

    /// The bytes received so far.
    #[must_use]
    pub fn length_bytes(&self) -> usize {
        self.bytes.len()
    }

    /// Appends a piece.
    ///
    /// # Errors
    ///
    /// [`OverBudget`] if the message no longer fits.
    pub fn extend(&mut self, piece: &[u8]) -> Result<(), OverBudget> {
        let length_bytes = self.bytes.len() + piece.len();
        if length_bytes > self.bytes.capacity() {
            // The former and the larger allocation exist at the same time.
            self.share.resize(length_bytes * 2)?;
        }
        self.bytes.extend_from_slice(piece);
        Ok(())
    }

    /// The bytes, and the share that has to be kept as long as they are.
    #[must_use]
    pub fn into_parts(self) -> (BytesMut, BufferShare) {
        (self.bytes, self.share)
    }
}
