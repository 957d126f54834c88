//! The replicas of model targets that catalogue entries demand from engines.

use indexmap::IndexSet;
use masticsill_catalogue::{Catalogue, CatalogueEntry};
use masticsill_types::{EntryId, ModelTarget, ZoneId};

/// The replicas of a target that one entry demands.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Wanted<'a> {
    pub(crate) entry: &'a EntryId,
    pub(crate) replicas: usize,
    pub(crate) target: &'a ModelTarget,
    zones: &'a [ZoneId],
}

impl Wanted<'_> {
    pub(crate) fn allows(&self, zone: &ZoneId) -> bool {
        self.zones.is_empty() || self.zones.contains(zone)
    }
}

fn read(entry: &CatalogueEntry) -> Option<Wanted<'_>> {
    Some(Wanted {
        entry: &entry.id,
        replicas: entry.placement.replicas as usize,
        target: entry.back_end.target()?,
        zones: &entry.placement.zones,
    })
}

/// The demands of all entries in force, ordered by entry id so that every planner sees the same
/// order.
pub(crate) fn list_wanted(catalogue: &Catalogue) -> Vec<Wanted<'_>> {
    let entries = catalogue.entries();
    let mut wanted: Vec<_> = entries.filter_map(|held| read(&held.entry)).collect();
    wanted.sort_by_key(|wanted| wanted.entry);
    wanted
}

/// The targets that entries in force reference.
pub(crate) fn list_named<'a>(wanted: &[Wanted<'a>]) -> IndexSet<&'a ModelTarget> {
    wanted.iter().map(|wanted| wanted.target).collect()
}
