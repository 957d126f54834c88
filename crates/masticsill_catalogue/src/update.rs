//! What travels between copies of the catalogue.

use masticsill_types::CatalogueVersion;
use serde::{Deserialize, Serialize};

use crate::catalogue::{Tombstone, VersionedEntry};

/// Brings a copy of the catalogue up to a version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CatalogueUpdate {
    /// What changed since an earlier version.
    Delta(CatalogueDelta),
    /// Everything.
    Snapshot(CatalogueSnapshot),
}

impl CatalogueUpdate {
    /// The version that a copy has after the update.
    #[must_use]
    pub fn version(&self) -> CatalogueVersion {
        match self {
            Self::Delta(delta) => delta.version,
            Self::Snapshot(snapshot) => snapshot.version,
        }
    }
}

/// What changed between two versions: of each entry only its last change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CatalogueDelta {
    /// Entries deleted, oldest first; an entry put again afterwards is among `puts` too.
    pub deletes: Vec<Tombstone>,
    /// Entries in force that changed.
    pub puts: Vec<VersionedEntry>,
    /// The version that a copy must have at least.
    pub since: CatalogueVersion,
    /// The version reached.
    pub version: CatalogueVersion,
}

/// Every entry in force under a version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CatalogueSnapshot {
    /// The entries.
    pub entries: Vec<VersionedEntry>,
    /// The version.
    pub version: CatalogueVersion,
}

/// What an update did to a copy.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Applied {
    /// The copy is at the update's version now.
    Changed,
    /// The delta starts after the copy's version; ask again from the copy's version.
    Gap,
    /// The copy was at the update's version or beyond it.
    Unchanged,
}
