//! Operators' changes and their answers.

use std::fmt;

use indexmap::IndexSet;
use masticsill_types::{CatalogueVersion, ChangeId, EntryId, OperatorId, WorkspaceId};
use serde::{Deserialize, Serialize};

use crate::entry::CatalogueEntry;
use crate::validation::FieldError;

/// Entries that a catalogue holds at most.
pub const MAX_ENTRIES: usize = 20_000;

/// An operator's change of one entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// What to do.
    pub content: ChangeContent,
    /// The entry.
    pub entry: EntryId,
    /// The version of that entry that the change replaces; zero when it must not exist.
    pub expected_version: CatalogueVersion,
    /// Named once by the operator's client; sending it again gives the first answer.
    pub id: ChangeId,
    /// Who.
    pub operator: OperatorId,
}

/// What a change does to its entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ChangeContent {
    /// Takes it out of force.
    Delete,
    /// Puts this entry in force.
    Put(Box<CatalogueEntry>),
}

impl Change {
    /// Identifies everything in the change, so that a resend can be told from a reuse of the id.
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

/// The one answer to a change, however often it is sent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ChangeAnswer {
    /// The change is in force.
    Accepted {
        /// The catalogue's version, and the entry's, since the change.
        version: CatalogueVersion,
    },
    /// The change had no effect and never will.
    Refused(ChangeRefusal),
}

/// Why a change was refused.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ChangeRefusal {
    /// The catalogue holds all the entries that it can.
    CatalogueFull,
    /// The change id was used with other content.
    ChangeIdReused,
    /// The operator may not change entries of this workspace.
    Forbidden {
        /// The workspace.
        workspace: WorkspaceId,
    },
    /// The change itself is wrong.
    Invalid(Vec<FieldError>),
    /// Another change came first.
    VersionConflict {
        /// The version that the change expected.
        expected: CatalogueVersion,
        /// The entry's version in force, zero when there is no such entry.
        in_force: CatalogueVersion,
    },
}

impl ChangeRefusal {
    /// The name in the administration API.
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
            Self::Invalid(errors) => write_all(formatter, errors),
            Self::VersionConflict { expected, in_force } => write!(
                formatter,
                "the change expects version {expected}, but version {in_force} is in force; \
                 read the entry, decide again and send a new change"
            ),
        }
    }
}

fn write_all(formatter: &mut fmt::Formatter<'_>, errors: &[FieldError]) -> fmt::Result {
    for (index, error) in errors.iter().enumerate() {
        if index > 0 {
            formatter.write_str("; ")?;
        }
        write!(formatter, "{error}")?;
    }
    Ok(())
}

impl std::error::Error for ChangeRefusal {}
