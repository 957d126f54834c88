//! Operators' orders.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Number of a roll-out, unique among all services; a later roll-out has a higher one.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct RolloutNumber(pub u64);

/// An operator's order to move a service to another version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RolloutOrder {
    /// Time within which the roll-out is to be completed or rolled back, in milliseconds.
    pub duration_ms: u64,
    /// The service.
    pub service: String,
    /// The version that is to serve all requests afterwards.
    pub target: String,
}

impl RolloutOrder {
    /// Converts an order whose duration is given in seconds; `None` if the duration is not a positive
    /// number or a name is empty.
    #[must_use]
    pub fn from_seconds(service: String, target: String, duration_s: f64) -> Option<Self> {
        if !duration_s.is_finite() || duration_s <= 0.0 || service.is_empty() || target.is_empty() {
            return None;
        }
        // The duration was checked to be positive; `as` saturates at the type's maximum.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let rounded_ms = (duration_s * 1_000.0).ceil() as u64;
        Some(Self {
            duration_ms: rounded_ms,
            service,
            target,
        })
    }
}

impl fmt::Display for RolloutNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// The answer to an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OrderAnswer {
    /// The roll-out began, or the same order had been accepted before.
    Accepted(RolloutNumber),
    /// A roll-out of the service to another version is in progress.
    InProgress(RolloutNumber),
}
