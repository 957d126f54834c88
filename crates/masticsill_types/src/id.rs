//! Newtypes of all identifiers.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

const MAX_NAME_BYTES: usize = 128;

/// The error for an identifier that is empty, too long or contains a disallowed character.
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
            /// Validates and wraps a name.
            ///
            /// # Errors
            ///
            /// [`IdError`] when the name is empty, is longer than 128 bytes or contains a character
            /// other than ASCII letters, digits, `-`, `_`, `.`, `:` and `/`.
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
    /// A model that engines load, or the name of a plain service.
    ModelId,
    "model"
);
name_id!(
    /// A version of a model. Tokens of different versions are never combined in one answer.
    VersionId,
    "model version"
);
name_id!(
    /// An adapter loaded on top of a model.
    AdapterId,
    "adapter"
);
name_id!(
    /// An operator's change; the client generates the id once so that it can retry the change.
    ChangeId,
    "change id"
);
name_id!(
    /// An operator known to the administration API.
    OperatorId,
    "operator"
);
number_id!(
    /// Zero-based position of a token in an answer.
    TokenIndex,
    u32
);
number_id!(
    /// An attempt at a generation on one endpoint; a higher attempt supersedes lower ones.
    Attempt,
    u32
);
number_id!(
    /// The epoch of an entry's ownership of a generation.
    ///
    /// The upper 32 bits are a counter and the lower 32 bits are the owner's random nonce, so that
    /// no two owners share an epoch. Higher epochs fence lower ones.
    OwnerEpoch,
    u64
);
number_id!(
    /// The incarnation of a node; a restarted node announces itself with a higher one.
    Incarnation,
    u64
);
number_id!(
    /// A term of the control quorum.
    Term,
    u64
);
number_id!(
    /// The number of accepted changes that a catalogue contains.
    CatalogueVersion,
    u64
);

impl OwnerEpoch {
    /// The epoch of the next owner, whose random nonce is `nonce`.
    #[must_use]
    pub fn succeeded_by(self, nonce: u32) -> Self {
        let counter = (self.0 >> u32::BITS) + 1;
        Self((counter << u32::BITS) | u64::from(nonce))
    }
}

/// The identity of a generation or of a plain call.
///
/// The upper half of a generation's id is the hash of its workspace and request key. The lower half
/// is random, so that a request that is run anew gets another id. The id of a plain call is the
/// whole hash.
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

/// The fencing number of an order; an engine that checks it refuses a lower one than it has seen.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct FencingNumber {
    /// The term of the control leader that gave the order.
    pub term: Term,
    /// Sequence number of the order within that term.
    pub sequence: u64,
}
