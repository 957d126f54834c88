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
pub struct Life {
    born_ms: Option<u64>,
}

impl Life {
    /// The life of an id that names no birth.
    pub const UNNAMED: Self = Self { born_ms: None };

    /// The life that began at a time, in milliseconds of its writer's clock.
    #[must_use]
    pub const fn born_at(born_ms: u64) -> Self {
        Self {
            born_ms: Some(born_ms),
        }
    }

    /// Whether a birth is known.
    #[must_use]
    pub fn is_named(self) -> bool {
        self.born_ms.is_some()
    }
}

impl fmt::Display for Life {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.born_ms {
            Some(born_ms) => write!(formatter, "{born_ms}"),
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
    pub life: Life,
}

impl EndpointId {
    /// The incarnation of a name that tells no birth.
    #[must_use]
    pub fn unnamed_life(name: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            life: Life::UNNAMED,
        }
    }
}

impl fmt::Display for EndpointId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.name)
    }
}
