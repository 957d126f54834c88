//! Numbered log events.
//!
//! Each crate declares its events in its own `events` module; docs/EVENTS.md is the catalogue.
//! Ranges: 1000 daemon and runtime, 2000 entry, 3000 agent, 4000 control and quorum,
//! 5000 membership, 6000 routing.

use std::fmt;

/// A kind of log line, with a stable number.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Event {
    /// Number that operators search for; it is never reused for another event.
    pub number: u16,
    /// A short name in snake case.
    pub name: &'static str,
}

impl Event {
    /// Creates an event; `name` is in snake case.
    #[must_use]
    pub const fn new(number: u16, name: &'static str) -> Self {
        Self { number, name }
    }
}

impl fmt::Display for Event {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "M{:04} {}", self.number, self.name)
    }
}

/// Logs an event with its number and fields, as text and as key-value pairs.
///
/// `log_event!(info, events::STARTED, node = node_id, address = address)`. Crates that use it
/// depend on `log`.
#[macro_export]
macro_rules! log_event {
    ($level:ident, $event:expr $(, $key:ident = $value:expr)* $(,)?) => {
        ::log::$level!(
            number = $event.number, event = $event.name $(, $key:% = $value)*;
            concat!("{}" $(, " ", stringify!($key), "={}")*),
            $event $(, $value)*
        )
    };
}
