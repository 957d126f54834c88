//! Updates that are sent between copies of the catalogue.

use masticsill_types::CatalogueVersion;
use serde::{Deserialize, Serialize};

use crate::catalogue::{Tombstone, VersionedEntry};

/// An update that brings a copy of the catalogue to a version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CatalogueUpdate {
    /// The changes since an earlier version.
    Delta(CatalogueDelta),
    /// All entries.
    Snapshot(CatalogueSnapshot),
}

impl CatalogueUpdate {
    /// The version that a copy has once the update is applied.
    #[must_use]
    pub fn version(&self) -> CatalogueVersion {
        match self {
            Self::Delta(delta) => delta.version,
            Self::Snapshot(snapshot) => snapshot.version,
        }
    }
}

/// The changes between two versions; of the puts of an entry only the last one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CatalogueDelta {
    /// Deletions, oldest first; an entry that was put again afterwards is also in `puts`.
    pub deletes: Vec<Tombstone>,
    /// Entries in force that were put since the earlier version.
    pub puts: Vec<VersionedEntry>,
    /// The lowest version of a copy to which the delta can be applied.
    pub since: CatalogueVersion,
    /// The version of a copy after the delta.
    pub version: CatalogueVersion,
}

/// All entries in force at a version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CatalogueSnapshot {
    /// The entries, in an unspecified order.
    pub entries: Vec<VersionedEntry>,
    /// The catalogue's version.
    pub version: CatalogueVersion,
}

/// The result of applying an update to a copy.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ApplyOutcome {
    /// The copy now has the update's version.
    Changed,
    /// The delta starts after the copy's version and was not applied; the copy needs an update
    /// since its own version.
    Gap,
    /// The copy already had the update's version or a later one.
    Unchanged,
}
