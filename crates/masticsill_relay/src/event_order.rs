//! The order of a stream's events: each is delivered exactly once, in sequence.

/// Position of an event relative to the last delivered one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventPosition {
    /// The event was delivered before.
    Duplicate,
    /// The event is the next one.
    Next,
    /// Events before this one are missing.
    Gap,
}

/// Tracks the numbers of a stream's events.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EventOrder {
    last: Option<u64>,
}

impl EventOrder {
    /// The order of a stream whose caller has already received the event numbered `last`.
    #[must_use]
    pub fn after(last: Option<u64>) -> Self {
        Self { last }
    }

    /// Number of the last event that the caller has received.
    #[must_use]
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Classifies an event by its number. An event without a number counts as the next one.
    ///
    /// The first event of a stream may have any number: the endpoint chooses where to begin.
    #[must_use]
    pub fn classify(&self, id: Option<u64>) -> EventPosition {
        let (Some(id), Some(last)) = (id, self.last) else {
            return EventPosition::Next;
        };
        if id <= last {
            EventPosition::Duplicate
        } else if id == last + 1 {
            EventPosition::Next
        } else {
            EventPosition::Gap
        }
    }

    /// Records that an event is delivered to the caller.
    pub fn record_delivered(&mut self, id: Option<u64>) {
        if id.is_some() {
            self.last = id;
        }
    }
}
