//! The replicas of model targets that catalogue entries demand from engines.

use indexmap::IndexSet;
use masticsill_catalogue::{Catalogue, CatalogueEntry};
use masticsill_types::{EntryId, ModelTarget, ZoneId};

/// The replicas of a target that one entry demands.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Demand<'a> {
    pub(crate) entry: &'a EntryId,
    pub(crate) replicas: usize,
    pub(crate) target: &'a ModelTarget,
    zones: &'a [ZoneId],
}

impl Demand<'_> {
    pub(crate) fn allows(&self, zone: &ZoneId) -> bool {
        self.zones.is_empty() || self.zones.contains(zone)
    }
}

fn demand_of(entry: &CatalogueEntry) -> Option<Demand<'_>> {
    Some(Demand {
        entry: &entry.id,
        replicas: entry.placement.replicas as usize,
        target: entry.back_end.target()?,
        zones: &entry.placement.zones,
    })
}

/// The demands of all entries in force, ordered by entry id so that every planner sees the same
/// order.
pub(crate) fn list_demands(catalogue: &Catalogue) -> Vec<Demand<'_>> {
    let entries = catalogue.entries();
    let mut demands: Vec<_> = entries.filter_map(|held| demand_of(&held.entry)).collect();
    demands.sort_by_key(|demand| demand.entry);
    demands
}

/// The targets that entries in force reference.
pub(crate) fn list_referenced<'a>(demands: &[Demand<'a>]) -> IndexSet<&'a ModelTarget> {
    demands.iter().map(|demand| demand.target).collect()
}
