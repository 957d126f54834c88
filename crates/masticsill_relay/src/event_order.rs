//! The order of a stream's events: each exactly once, in sequence, of one request.

/// What becomes of an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Placed {
    /// The caller has it already.
    Known,
    /// It is the next one.
    Next,
    /// Events before it are missing.
    Missing,
}

/// Follows the numbers of a stream's events.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EventOrder {
    last: Option<u64>,
}

impl EventOrder {
    /// A stream after the last event that the caller has.
    #[must_use]
    pub fn after(last: Option<u64>) -> Self {
        Self { last }
    }

    /// The last event that the caller has.
    #[must_use]
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Where an event belongs; one without a number goes with its neighbours.
    ///
    /// The first event of a stream may have any number: the endpoint chooses where to begin.
    #[must_use]
    pub fn place(&self, id: Option<u64>) -> Placed {
        let (Some(id), Some(last)) = (id, self.last) else {
            return Placed::Next;
        };
        if id <= last {
            Placed::Known
        } else if id == last + 1 {
            Placed::Next
        } else {
            Placed::Missing
        }
    }

    /// Notes that the caller gets an event.
    pub fn deliver(&mut self, id: Option<u64>) {
        if id.is_some() {
            self.last = id;
        }
    }
}
