//! The catalogue: every entry in force, and what changed since a version.

use std::collections::VecDeque;
use std::sync::Arc;

use indexmap::IndexMap;
use masticsill_types::{CatalogueVersion, EntryId};
use serde::{Deserialize, Serialize};

use crate::entry::CatalogueEntry;
use crate::update::{Applied, CatalogueDelta, CatalogueSnapshot, CatalogueUpdate};

/// Deletions remembered for deltas; an older copy is sent a snapshot.
pub const MAX_TOMBSTONES: usize = 4096;

/// An entry and the catalogue version that last changed it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionedEntry {
    /// The entry.
    pub entry: CatalogueEntry,
    /// The version that last changed it.
    pub version: CatalogueVersion,
}

/// A deletion and its version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Tombstone {
    /// The entry deleted.
    pub id: EntryId,
    /// The version that deleted it.
    pub version: CatalogueVersion,
}

/// Every entry in force under one version.
///
/// The version counts accepted changes, so it and every entry's version only go up.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Catalogue {
    /// Shared, so that copying a catalogue copies no entry.
    entries: IndexMap<EntryId, Arc<VersionedEntry>>,
    /// Deletions after `tombstones_since`, oldest first.
    tombstones: VecDeque<Tombstone>,
    tombstones_since: CatalogueVersion,
    version: CatalogueVersion,
}

impl Catalogue {
    /// The overall version.
    #[must_use]
    pub fn version(&self) -> CatalogueVersion {
        self.version
    }

    /// An entry in force.
    #[must_use]
    pub fn get(&self, id: &EntryId) -> Option<&VersionedEntry> {
        self.entries.get(id).map(Arc::as_ref)
    }

    /// The version that last changed an entry in force; zero when there is none.
    #[must_use]
    pub fn entry_version(&self, id: &EntryId) -> CatalogueVersion {
        self.get(id).map(|held| held.version).unwrap_or_default()
    }

    /// Every entry in force, in no order that has a meaning.
    #[must_use]
    pub fn entries(&self) -> impl ExactSizeIterator<Item = &VersionedEntry> {
        self.entries.values().map(Arc::as_ref)
    }

    /// Entries in force.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no entry is in force.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Puts an entry in force under the next version.
    pub(crate) fn put(&mut self, entry: CatalogueEntry) -> CatalogueVersion {
        self.version = self.version.next();
        self.hold(VersionedEntry {
            entry,
            version: self.version,
        });
        self.version
    }

    /// Takes an entry out of force under the next version.
    pub(crate) fn delete(&mut self, id: &EntryId) -> CatalogueVersion {
        self.version = self.version.next();
        self.bury(Tombstone {
            id: id.clone(),
            version: self.version,
        });
        self.version
    }

    /// What a copy at version `have` lacks, as the smaller of delta and snapshot.
    ///
    /// `None` when the copy lacks nothing that this catalogue knows.
    #[must_use]
    pub fn update_since(&self, have: CatalogueVersion) -> Option<CatalogueUpdate> {
        if have >= self.version {
            return None;
        }
        let snapshot = || CatalogueUpdate::Snapshot(self.snapshot());
        if have < self.tombstones_since {
            return Some(snapshot());
        }
        let delta = self.delta_since(have);
        let is_delta_smaller = delta.puts.len() + delta.deletes.len() < self.entries.len();
        let is_delta = is_delta_smaller || delta.deletes.is_empty();
        Some(if is_delta {
            CatalogueUpdate::Delta(delta)
        } else {
            snapshot()
        })
    }

    /// The whole catalogue as an update.
    #[must_use]
    pub fn snapshot(&self) -> CatalogueSnapshot {
        CatalogueSnapshot {
            entries: self.entries().cloned().collect(),
            version: self.version,
        }
    }

    fn delta_since(&self, have: CatalogueVersion) -> CatalogueDelta {
        let is_new = |held: &&VersionedEntry| held.version > have;
        let deletes = self.tombstones.iter().filter(|grave| grave.version > have);
        CatalogueDelta {
            deletes: deletes.cloned().collect(),
            puts: self.entries().filter(is_new).cloned().collect(),
            since: have,
            version: self.version,
        }
    }

    /// Brings a copy up to an update. The version never goes down.
    pub fn apply(&mut self, update: CatalogueUpdate) -> Applied {
        if update.version() <= self.version {
            return Applied::Unchanged;
        }
        match update {
            CatalogueUpdate::Snapshot(snapshot) => self.replace(snapshot),
            CatalogueUpdate::Delta(delta) if delta.since > self.version => return Applied::Gap,
            CatalogueUpdate::Delta(delta) => self.merge(delta),
        }
        Applied::Changed
    }

    fn replace(&mut self, snapshot: CatalogueSnapshot) {
        let by_id = |held: VersionedEntry| (held.entry.id.clone(), Arc::new(held));
        self.entries = snapshot.entries.into_iter().map(by_id).collect();
        self.tombstones.clear();
        self.tombstones_since = snapshot.version;
        self.version = snapshot.version;
    }

    /// Takes in the part of a delta that is newer than the copy.
    fn merge(&mut self, delta: CatalogueDelta) {
        let have = self.version;
        for grave in delta.deletes {
            if grave.version > have {
                self.bury(grave);
            }
        }
        for held in delta.puts {
            if held.version > have {
                self.hold(held);
            }
        }
        self.version = delta.version;
    }

    fn hold(&mut self, held: VersionedEntry) {
        self.entries.insert(held.entry.id.clone(), Arc::new(held));
    }

    fn bury(&mut self, grave: Tombstone) {
        self.entries.swap_remove(&grave.id);
        self.tombstones.push_back(grave);
        if self.tombstones.len() > MAX_TOMBSTONES
            && let Some(oldest) = self.tombstones.pop_front()
        {
            self.tombstones_since = oldest.version;
        }
    }
}
