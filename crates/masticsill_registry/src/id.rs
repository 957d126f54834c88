//! Who an endpoint is: its id, and which life of that id.

use std::fmt;

use serde::{Deserialize, Serialize};

/// One life of an endpoint id, in the order of births.
///
/// A process that starts again under the id of a former one knows nothing of it, and its counts
/// begin anew. Only the birth tells the two apart. A life without a birth comes before all that
/// have one, so that a writer may begin to tell them.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct EndpointIncarnation {
    #[serde(rename = "born_ms")]
    started_at_ms: Option<u64>,
}

impl EndpointIncarnation {
    /// The life of an id that names no birth.
    pub const UNKNOWN: Self = Self {
        started_at_ms: None,
    };

    /// The life that began at a time, in milliseconds of its writer's clock.
    #[must_use]
    pub const fn started_at(started_at_ms: u64) -> Self {
        Self {
            started_at_ms: Some(started_at_ms),
        }
    }

    /// Whether a birth is known.
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

/// One incarnation of an endpoint: whatever is known of one is of no use to another.
///
/// A restarted endpoint has another name or, under its old name, another life. Two lives of a name
/// are two incarnations, so connections, places, kept prompts and copies of the former one are
/// never found for the next. It is shown by its name, by which endpoints know themselves.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct EndpointId {
    /// The id that the endpoint gives itself.
    pub name: String,
    /// Which life of it.
    #[serde(rename = "life")]
    pub incarnation: EndpointIncarnation,
}

impl EndpointId {
    /// The incarnation of a name that tells no birth.
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
