//! Operators' orders.

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

/// The answer to an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OrderAnswer {
    /// The roll-out began, or the same order had been accepted before.
    Accepted(RolloutNumber),
    /// A roll-out of the service to another version is in progress.
    InProgress(RolloutNumber),
}
