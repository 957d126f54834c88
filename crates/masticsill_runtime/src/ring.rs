//! Bounded rings between duties.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use crossbeam_queue::ArrayQueue;
use tokio::sync::Notify;

/// The ring had no room; the item comes back to its sender.
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
/// Sending never waits: a full ring is the sender's to handle, so memory stays bounded.
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
    /// A ring with room for `capacity` items.
    ///
    /// # Panics
    ///
    /// When `capacity` is zero.
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
    /// [`RingFull`] with the item when the ring is full or closed.
    pub fn push(&self, item: T) -> Result<(), RingFull<T>> {
        if self.is_closed() {
            return Err(RingFull(item));
        }
        self.shared.items.push(item).map_err(RingFull)?;
        self.shared.wake.notify_one();
        Ok(())
    }

    /// Takes the oldest item, if there is one.
    #[must_use]
    pub fn try_pop(&self) -> Option<T> {
        self.shared.items.pop()
    }

    /// Waits for the oldest item; `None` once the ring is closed and empty.
    ///
    /// Cancel safe: a dropped wait loses no item.
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

    /// Closes the ring: no item is accepted any more, those inside can still be taken.
    pub fn close(&self) {
        self.shared.is_closed.store(true, Ordering::Release);
        self.shared.wake.notify_one();
    }

    /// Whether the ring is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.shared.is_closed.load(Ordering::Acquire)
    }

    /// Items inside.
    #[must_use]
    pub fn len(&self) -> usize {
        self.shared.items.len()
    }

    /// Whether no item is inside.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.shared.items.is_empty()
    }

    /// Items that the ring can hold.
    #[must_use]
    pub fn capacity(&self) -> usize {
        self.shared.items.capacity()
    }
}
