//! Bounded ring buffers that connect duties.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use crossbeam_queue::ArrayQueue;
use tokio::sync::Notify;

/// The ring is full or closed; holds the item that was not added.
#[derive(Debug)]
pub struct RingFull<T>(pub T);

#[derive(Debug)]
struct Shared<T> {
    is_closed: AtomicBool,
    items: ArrayQueue<T>,
    wake: Notify,
}

/// A bounded queue with many senders and one receiver. Clones share the queue.
///
/// Sending never waits. The sender must handle a full ring, so memory stays bounded.
#[derive(Debug)]
pub struct Ring<T> {
    shared: Arc<Shared<T>>,
}

impl<T> Clone for Ring<T> {
    fn clone(&self) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
        }
    }
}

impl<T> Ring<T> {
    /// Creates a ring with room for `capacity` items.
    ///
    /// # Panics
    ///
    /// If `capacity` is zero.
    #[must_use]
    pub fn with_capacity(capacity: usize) -> Self {
        let shared = Shared {
            is_closed: AtomicBool::new(false),
            items: ArrayQueue::new(capacity),
            wake: Notify::new(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Adds an item and wakes the receiver.
    ///
    /// # Errors
    ///
    /// [`RingFull`] with the item if the ring is full or closed.
    pub fn push(&self, item: T) -> Result<(), RingFull<T>> {
        if self.is_closed() {
            return Err(RingFull(item));
        }
        self.shared.items.push(item).map_err(RingFull)?;
        self.shared.wake.notify_one();
        Ok(())
    }

    /// Removes and returns the oldest item, if there is one.
    #[must_use]
    pub fn try_pop(&self) -> Option<T> {
        self.shared.items.pop()
    }

    /// Waits for an item and removes the oldest; returns `None` once the ring is closed and empty.
    ///
    /// Cancel safe: dropping the future loses no item.
    pub async fn pop(&self) -> Option<T> {
        loop {
            if let Some(item) = self.try_pop() {
                return Some(item);
            }
            if self.is_closed() {
                return self.try_pop();
            }
            self.shared.wake.notified().await;
        }
    }

    /// Closes the ring. No further item is accepted; the items in the ring can still be taken.
    pub fn close(&self) {
        self.shared.is_closed.store(true, Ordering::Release);
        self.shared.wake.notify_one();
    }

    /// Returns whether the ring is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.shared.is_closed.load(Ordering::Acquire)
    }

    /// Returns the number of items in the ring.
    #[must_use]
    pub fn len(&self) -> usize {
        self.shared.items.len()
    }

    /// Returns whether the ring holds no item.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.shared.items.is_empty()
    }

    /// Returns the number of items that the ring can hold.
    #[must_use]
    pub fn capacity(&self) -> usize {
        self.shared.items.capacity()
    }
}
