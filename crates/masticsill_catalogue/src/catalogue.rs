//! The catalogue of all entries in force, and the updates that bring a copy up to date.

use std::collections::VecDeque;
use std::sync::Arc;

use indexmap::IndexMap;
use masticsill_types::{CatalogueVersion, EntryId};
use serde::{Deserialize, Serialize};

use crate::entry::CatalogueEntry;
use crate::update::{ApplyOutcome, CatalogueDelta, CatalogueSnapshot, CatalogueUpdate};

/// Maximum number of deletions kept for deltas; a copy that lacks an older deletion gets a
/// snapshot.
pub const MAX_TOMBSTONES: usize = 4096;

/// An entry and the catalogue version in which it last changed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionedEntry {
    /// The entry.
    pub entry: CatalogueEntry,
    /// The catalogue version in which the entry last changed.
    pub version: CatalogueVersion,
}

/// Records the deletion of an entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Tombstone {
    /// The entry that was deleted.
    pub id: EntryId,
    /// The catalogue version in which it was deleted.
    pub version: CatalogueVersion,
}

/// All entries in force at one version.
///
/// The version counts accepted changes, so neither it nor the version of an entry ever decreases.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Catalogue {
    /// In `Arc`s, so that cloning a catalogue clones no entry.
    entries: IndexMap<EntryId, Arc<VersionedEntry>>,
    /// Deletions after `tombstones_since`, oldest first.
    tombstones: VecDeque<Tombstone>,
    /// Deletions up to and including this version may be missing from `tombstones`.
    tombstones_since: CatalogueVersion,
    version: CatalogueVersion,
}

impl Catalogue {
    /// The catalogue's version.
    #[must_use]
    pub fn version(&self) -> CatalogueVersion {
        self.version
    }

    /// An entry in force, by its id.
    #[must_use]
    pub fn get(&self, id: &EntryId) -> Option<&VersionedEntry> {
        self.entries.get(id).map(Arc::as_ref)
    }

    /// The version in which an entry last changed; zero if there is no such entry.
    #[must_use]
    pub fn entry_version(&self, id: &EntryId) -> CatalogueVersion {
        self.get(id)
            .map(|versioned| versioned.version)
            .unwrap_or_default()
    }

    /// All entries in force, in an unspecified order.
    #[must_use]
    pub fn entries(&self) -> impl ExactSizeIterator<Item = &VersionedEntry> {
        self.entries.values().map(Arc::as_ref)
    }

    /// Number of entries in force.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no entry is in force.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Creates or replaces an entry and increments the version.
    pub(crate) fn put(&mut self, entry: CatalogueEntry) -> CatalogueVersion {
        self.version = self.version.next();
        self.insert_entry(VersionedEntry {
            entry,
            version: self.version,
        });
        self.version
    }

    /// Deletes an entry and increments the version.
    pub(crate) fn delete(&mut self, id: &EntryId) -> CatalogueVersion {
        self.version = self.version.next();
        self.remove_entry(Tombstone {
            id: id.clone(),
            version: self.version,
        });
        self.version
    }

    /// The update that brings a copy at version `copy_version` to this catalogue's version, as the
    /// smaller of delta and snapshot.
    ///
    /// `None` if the copy's version is not lower than this catalogue's.
    #[must_use]
    pub fn update_since(&self, copy_version: CatalogueVersion) -> Option<CatalogueUpdate> {
        if copy_version >= self.version {
            return None;
        }
        let snapshot = || CatalogueUpdate::Snapshot(self.snapshot());
        if copy_version < self.tombstones_since {
            return Some(snapshot());
        }
        let delta = self.delta_since(copy_version);
        let is_delta_smaller = delta.puts.len() + delta.deletes.len() < self.entries.len();
        let is_delta = is_delta_smaller || delta.deletes.is_empty();
        Some(if is_delta {
            CatalogueUpdate::Delta(delta)
        } else {
            snapshot()
        })
    }

    /// A snapshot of the whole catalogue.
    #[must_use]
    pub fn snapshot(&self) -> CatalogueSnapshot {
        CatalogueSnapshot {
            entries: self.entries().cloned().collect(),
            version: self.version,
        }
    }

    fn delta_since(&self, copy_version: CatalogueVersion) -> CatalogueDelta {
        let is_new = |versioned: &&VersionedEntry| versioned.version > copy_version;
        let deletes = self
            .tombstones
            .iter()
            .filter(|tombstone| tombstone.version > copy_version);
        CatalogueDelta {
            deletes: deletes.cloned().collect(),
            puts: self.entries().filter(is_new).cloned().collect(),
            since: copy_version,
            version: self.version,
        }
    }

    /// Applies an update to this copy; the copy's version never decreases.
    pub fn apply(&mut self, update: CatalogueUpdate) -> ApplyOutcome {
        if update.version() <= self.version {
            return ApplyOutcome::Unchanged;
        }
        match update {
            CatalogueUpdate::Snapshot(snapshot) => self.apply_snapshot(snapshot),
            CatalogueUpdate::Delta(delta) if delta.since > self.version => {
                return ApplyOutcome::Gap;
            }
            CatalogueUpdate::Delta(delta) => self.apply_delta(delta),
        }
        ApplyOutcome::Changed
    }

    fn apply_snapshot(&mut self, snapshot: CatalogueSnapshot) {
        let by_id = |versioned: VersionedEntry| (versioned.entry.id.clone(), Arc::new(versioned));
        self.entries = snapshot.entries.into_iter().map(by_id).collect();
        self.tombstones.clear();
        self.tombstones_since = snapshot.version;
        self.version = snapshot.version;
    }

    /// Applies the part of a delta that is newer than this copy.
    fn apply_delta(&mut self, delta: CatalogueDelta) {
        let copy_version = self.version;
        for tombstone in delta.deletes {
            if tombstone.version > copy_version {
                self.remove_entry(tombstone);
            }
        }
        for versioned in delta.puts {
            if versioned.version > copy_version {
                self.insert_entry(versioned);
            }
        }
        self.version = delta.version;
    }

    fn insert_entry(&mut self, versioned: VersionedEntry) {
        self.entries
            .insert(versioned.entry.id.clone(), Arc::new(versioned));
    }

    fn remove_entry(&mut self, tombstone: Tombstone) {
        self.entries.swap_remove(&tombstone.id);
        self.tombstones.push_back(tombstone);
        if self.tombstones.len() > MAX_TOMBSTONES
            && let Some(oldest) = self.tombstones.pop_front()
        {
            self.tombstones_since = oldest.version;
        }
    }
}
