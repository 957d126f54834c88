//! An index of the engines that hold each target, built once per step.

use indexmap::IndexMap;
use masticsill_types::{ModelTarget, NodeId, ZoneId};

use crate::demand::Demand;
use crate::observed_engine::ObservedEngine;

/// Engines by the targets that they have loaded or are loading; engines that are leaving don't
/// count.
pub(crate) struct Holders<'a> {
    by_target: IndexMap<&'a ModelTarget, Vec<&'a ObservedEngine>>,
}

impl<'a> Holders<'a> {
    pub(crate) fn list(
        engines: &'a [ObservedEngine],
        loading: &'a IndexMap<NodeId, ModelTarget>,
    ) -> Self {
        let mut by_target: IndexMap<&ModelTarget, Vec<&ObservedEngine>> = IndexMap::new();
        for engine in engines.iter().filter(|engine| !engine.is_leaving) {
            for target in &engine.loaded {
                by_target.entry(target).or_default().push(engine);
            }
            let loading = loading.get(&engine.agent);
            if let Some(target) = loading.filter(|target| !engine.has(target)) {
                by_target.entry(target).or_default().push(engine);
            }
        }
        Self { by_target }
    }

    /// Number of replicas of an entry, including those being loaded.
    pub(crate) fn count(&self, demand: &Demand<'_>) -> usize {
        let holders = self.holders_of(demand.target).iter();
        let holders = holders.filter(|engine| demand.allows(&engine.zone));
        holders.count()
    }

    pub(crate) fn count_in_zone(&self, target: &ModelTarget, zone: &ZoneId) -> usize {
        let holders = self.holders_of(target).iter();
        holders.filter(|engine| engine.zone == *zone).count()
    }

    fn holders_of(&self, target: &ModelTarget) -> &[&'a ObservedEngine] {
        let holders = self.by_target.get(target);
        holders.map_or(&[], Vec::as_slice)
    }
}
