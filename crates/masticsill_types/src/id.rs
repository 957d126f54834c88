//! Newtypes for every identifier.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

const MAX_NAME_BYTES: usize = 128;

/// An identifier that is empty, too long or holds a character outside the allowed set.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IdError {
    kind: &'static str,
    text: String,
}

impl fmt::Display for IdError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let shown: String = self.text.chars().take(40).collect();
        write!(
            formatter,
            "{} `{shown}` is not valid; use 1 to {MAX_NAME_BYTES} letters, digits, `-`, `_`, `.`, `:` or `/`",
            self.kind
        )
    }
}

impl std::error::Error for IdError {}

fn is_valid_name(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:/".contains(&byte);
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(is_allowed)
}

macro_rules! name_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Checks and wraps a name.
            ///
            /// # Errors
            ///
            /// [`IdError`] when the name is empty, too long or holds a character outside the set.
            pub fn new(text: impl Into<String>) -> Result<Self, IdError> {
                let text = text.into();
                if is_valid_name(&text) {
                    Ok(Self(text))
                } else {
                    Err(IdError { kind: $kind, text })
                }
            }

            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                Self::new(text)
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                Self::new(text)
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.0
            }
        }
    };
}

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident, $number:ty) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        pub struct $name(pub $number);

        impl $name {
            /// The number that follows this one.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}", self.0)
            }
        }
    };
}

name_id!(
    /// A cluster: all processes that share one catalogue.
    ClusterId,
    "cluster"
);
name_id!(
    /// A process of the system, as named in its settings.
    NodeId,
    "node id"
);
name_id!(
    /// An availability zone.
    ZoneId,
    "availability zone"
);
name_id!(
    /// A workspace: the owner of catalogue entries and of the requests to them.
    WorkspaceId,
    "workspace"
);
name_id!(
    /// A catalogue entry; callers name it as the model of a request.
    EntryId,
    "catalogue entry id"
);
name_id!(
    /// A model that engines load.
    ModelId,
    "model"
);
name_id!(
    /// A version of a model. Tokens of two versions are never joined.
    VersionId,
    "model version"
);
name_id!(
    /// An adapter loaded on top of a model.
    AdapterId,
    "adapter"
);
name_id!(
    /// An operator's change, named once by the client so that it can be sent again.
    ChangeId,
    "change id"
);
name_id!(
    /// An operator known to the administration API.
    OperatorId,
    "operator"
);
number_id!(
    /// Position of a token in an answer, from zero.
    TokenIndex,
    u32
);
number_id!(
    /// One try of a generation on one endpoint; higher attempts replace lower ones.
    Attempt,
    u32
);
number_id!(
    /// Ownership of a generation by an entry: a counter above, the owner's random nonce below.
    ///
    /// Higher epochs fence lower ones, and no two owners ever share one.
    OwnerEpoch,
    u64
);
number_id!(
    /// One life of a node: a restarted node announces itself under a higher one.
    Incarnation,
    u64
);
number_id!(
    /// A term of the control quorum.
    Term,
    u64
);
number_id!(
    /// The count of accepted catalogue changes that a catalogue contains.
    CatalogueVersion,
    u64
);

impl OwnerEpoch {
    /// The epoch of the owner that follows this one.
    #[must_use]
    pub fn succeeded_by(self, nonce: u32) -> Self {
        let counter = (self.0 >> u32::BITS) + 1;
        Self((counter << u32::BITS) | u64::from(nonce))
    }
}

/// The identity of a generation or of a plain call.
///
/// A generation's upper half is the hash of its workspace and request key, its lower half is
/// random: running a request afresh gives another id. A plain call's id is the whole hash.
#[derive(Clone, Copy, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct GenerationId(pub u128);

impl fmt::Display for GenerationId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

impl fmt::Debug for GenerationId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "GenerationId({self})")
    }
}

/// Orders carry this number; an engine that checks refuses a lower one than it has seen.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct FencingNumber {
    /// The term of the control leader that gave the order.
    pub term: Term,
    /// The order's place within that term.
    pub sequence: u64,
}
