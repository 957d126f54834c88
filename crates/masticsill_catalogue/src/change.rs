//! Operators' changes to catalogue entries and the answers to them.

use std::fmt;

use indexmap::IndexSet;
use masticsill_types::{CatalogueVersion, ChangeId, EntryId, OperatorId, WorkspaceId};
use serde::{Deserialize, Serialize};

use crate::entry::CatalogueEntry;
use crate::validation::FieldError;

/// Maximum number of entries in a catalogue.
pub const MAX_ENTRIES: usize = 20_000;

/// An operator's change to one entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Whether the entry is put or deleted.
    pub content: ChangeContent,
    /// The entry to change.
    pub entry: EntryId,
    /// The version of the entry that the change replaces; zero if the entry must not exist yet.
    pub expected_version: CatalogueVersion,
    /// Idempotency key chosen by the operator's client: a resend under the same id gets the first
    /// answer again.
    pub id: ChangeId,
    /// The operator that sent the change.
    pub operator: OperatorId,
}

/// What a change does to its entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ChangeContent {
    /// Removes the entry from the catalogue.
    Delete,
    /// Creates or replaces the entry.
    Put(Box<CatalogueEntry>),
}

impl Change {
    /// Hashes the whole change, so that a resend can be distinguished from a reuse of its id.
    pub(crate) fn digest(&self) -> ChangeDigest {
        let bytes =
            postcard::to_stdvec(self).expect("a change holds no type that can't be encoded");
        ChangeDigest(*blake3::hash(&bytes).as_bytes())
    }
}

/// Hash of a change's content.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct ChangeDigest([u8; 32]);

/// The entries that an operator may change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OperatorScope {
    /// Entries of every workspace, and the control replicas.
    All,
    /// Entries of these workspaces.
    Workspaces(IndexSet<WorkspaceId>),
}

impl OperatorScope {
    /// Whether an operator with this scope may change a workspace's entries.
    #[must_use]
    pub fn allows(&self, workspace: &WorkspaceId) -> bool {
        match self {
            Self::All => true,
            Self::Workspaces(workspaces) => workspaces.contains(workspace),
        }
    }
}

/// The answer to a change; a resend of the change gets the same answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ChangeAnswer {
    /// The change is in force.
    Accepted {
        /// The version that the change gave to the catalogue and to the entry.
        version: CatalogueVersion,
    },
    /// The change had no effect, and a resend will have none.
    Refused(ChangeRefusal),
}

/// Why a change was refused.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ChangeRefusal {
    /// The catalogue already holds [`MAX_ENTRIES`] entries.
    CatalogueFull,
    /// The change id was already used with different content.
    ChangeIdReused,
    /// The operator may not change entries of this workspace.
    Forbidden {
        /// The workspace.
        workspace: WorkspaceId,
    },
    /// The change fails validation; every invalid field is listed.
    Invalid(Vec<FieldError>),
    /// The expected version is not the one in force, because another change was applied first.
    VersionConflict {
        /// The version that the change expected.
        expected: CatalogueVersion,
        /// The entry's version in force; zero if there is no such entry.
        in_force: CatalogueVersion,
    },
}

impl ChangeRefusal {
    /// The refusal's name in the administration API.
    #[must_use]
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::CatalogueFull => "catalogue_full",
            Self::ChangeIdReused => "change_id_reused",
            Self::Forbidden { .. } => "forbidden",
            Self::Invalid(_) => "invalid_entry",
            Self::VersionConflict { .. } => "version_conflict",
        }
    }
}

impl fmt::Display for ChangeRefusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::CatalogueFull => write!(
                formatter,
                "the catalogue holds {MAX_ENTRIES} entries already; delete one that is not used"
            ),
            Self::ChangeIdReused => formatter.write_str(
                "this change id was used with other content; use a new id for a new change",
            ),
            Self::Forbidden { workspace } => write!(
                formatter,
                "this operator may not change entries of workspace `{workspace}`; \
                 ask for the workspace to be added to the operator in the settings"
            ),
            Self::Invalid(errors) => write_errors(formatter, errors),
            Self::VersionConflict { expected, in_force } => write!(
                formatter,
                "the change expects version {expected}, but version {in_force} is in force; \
                 read the entry, decide again and send a new change"
            ),
        }
    }
}

fn write_errors(formatter: &mut fmt::Formatter<'_>, errors: &[FieldError]) -> fmt::Result {
    for (index, error) in errors.iter().enumerate() {
        if index > 0 {
            formatter.write_str("; ")?;
        }
        write!(formatter, "{error}")?;
    }
    Ok(())
}

impl std::error::Error for ChangeRefusal {}
