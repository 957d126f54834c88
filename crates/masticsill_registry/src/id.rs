//! The identity of an endpoint: its name, and the incarnation of that name.

use std::fmt;

use serde::{Deserialize, Serialize};

/// One incarnation of an endpoint name, ordered by start time.
///
/// A process that restarts under the same name has none of the state of the former one, and its
/// heartbeat sequence starts again. Only the start time tells the two apart. An incarnation with an
/// unknown start time is ordered before all with a known one, so that a sender may begin to
/// announce its start time.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct EndpointIncarnation {
    #[serde(rename = "born_ms")]
    started_at_ms: Option<u64>,
}

impl EndpointIncarnation {
    /// The incarnation of a name whose start time is unknown.
    pub const UNKNOWN: Self = Self {
        started_at_ms: None,
    };

    /// The incarnation that started at a time, in milliseconds of the endpoint's own clock.
    #[must_use]
    pub const fn started_at(started_at_ms: u64) -> Self {
        Self {
            started_at_ms: Some(started_at_ms),
        }
    }

    /// Whether the start time is known.
    #[must_use]
    pub fn is_known(self) -> bool {
        self.started_at_ms.is_some()
    }
}

impl fmt::Display for EndpointIncarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.started_at_ms {
            Some(started_at_ms) => write!(formatter, "{started_at_ms}"),
            None => formatter.write_str("unnamed"),
        }
    }
}

/// The id of one incarnation of an endpoint. State held about one incarnation is not valid for
/// another.
///
/// A restarted endpoint has another name or, under its old name, another incarnation. So
/// connections, reservations, cached prompts and copies of a former incarnation are never found
/// under the id of the next. Displayed as the name, by which endpoints identify themselves.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct EndpointId {
    /// The name under which the endpoint announces itself.
    pub name: String,
    /// The incarnation of that name.
    #[serde(rename = "life")]
    pub incarnation: EndpointIncarnation,
}

impl EndpointId {
    /// The id of an endpoint that announces no start time.
    #[must_use]
    pub fn with_unknown_incarnation(name: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            incarnation: EndpointIncarnation::UNKNOWN,
        }
    }
}

impl fmt::Display for EndpointId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.name)
    }
}
