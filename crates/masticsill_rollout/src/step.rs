//! The steps of a roll-out.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::order::{RolloutNumber, RolloutOrder};

/// Why a roll-out was rolled back.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RollbackCause {
    /// The target version fails more requests than the old one.
    Failures,
    /// The target version answers more slowly than the old one.
    Slowness,
    /// The time was over before there was enough evidence that the target version is good.
    Undecided,
    /// No endpoint of the target version took requests.
    NoEndpoints,
}

/// The phase of a roll-out.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Phase {
    /// The target version gets a share of the new requests, in thousandths.
    Canary {
        /// The share.
        share_permille: u16,
    },
    /// The target version gets all new requests; the old one completes those in flight.
    Finishing,
    /// The target version serves the service alone. Endpoints of the old version may stop at once.
    Completed,
    /// The old version serves the service alone.
    RolledBack(RollbackCause),
}

/// The state of a roll-out as operators see it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RolloutState {
    /// Both versions are in use.
    Serving,
    /// The service has moved to the target version.
    Completed,
    /// The service stays with the old version.
    RolledBack,
}

impl Phase {
    /// The state that operators see.
    #[must_use]
    pub fn state(self) -> RolloutState {
        match self {
            Self::Canary { .. } | Self::Finishing => RolloutState::Serving,
            Self::Completed => RolloutState::Completed,
            Self::RolledBack(_) => RolloutState::RolledBack,
        }
    }

    /// The share of the new requests that the target version gets, in thousandths.
    #[must_use]
    pub fn share_permille(self) -> u16 {
        match self {
            Self::Canary { share_permille } => share_permille,
            Self::Finishing | Self::Completed => 1_000,
            Self::RolledBack(_) => 0,
        }
    }

    /// Whether the roll-out has ended; an ended one never changes.
    #[must_use]
    pub fn is_ended(self) -> bool {
        self.state() != RolloutState::Serving
    }
}

impl RolloutState {
    /// The state's name in snake case.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Serving => "serving",
            Self::Completed => "completed",
            Self::RolledBack => "rolled_back",
        }
    }
}

impl RollbackCause {
    /// The cause's name in snake case.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Failures => "failures",
            Self::Slowness => "slowness",
            Self::Undecided => "undecided",
            Self::NoEndpoints => "no_endpoints",
        }
    }
}

impl fmt::Display for Phase {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Canary { .. } => formatter.write_str("canary"),
            Self::Finishing => formatter.write_str("finishing"),
            Self::Completed => formatter.write_str("completed"),
            Self::RolledBack(cause) => write!(formatter, "rolled_back: {}", cause.name()),
        }
    }
}

/// One roll-out, as replicated.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Rollout {
    /// Time since the order, in milliseconds, as of the last step. Leaders add what their own clock
    /// has measured since.
    pub elapsed_ms: u64,
    /// Whether a repetition of the order is acknowledged without a new roll-out.
    pub is_repeatable: bool,
    /// The number of the roll-out.
    pub number: RolloutNumber,
    /// The order.
    pub order: RolloutOrder,
    /// The phase.
    pub phase: Phase,
    /// Number of steps applied so far. Of two views of a roll-out, the one with more is newer.
    pub step: u32,
}

/// A command of the leader that advances a roll-out.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RolloutStep {
    /// Time since the order, in milliseconds.
    pub elapsed_ms: u64,
    /// Whether a repetition of the order is acknowledged without a new roll-out.
    pub is_repeatable: bool,
    /// The roll-out.
    pub number: RolloutNumber,
    /// The phase from now on.
    pub phase: Phase,
    /// The number of this step. It is applied only directly after the one before it, so that a step
    /// decided by a deposed leader has no effect.
    pub step: u32,
}
