//! An index of the engines that hold each target, built once per step.

use indexmap::IndexMap;
use masticsill_types::{ModelTarget, NodeId, ZoneId};

use crate::seen::EngineSeen;
use crate::wanted::Wanted;

/// Engines by the targets that they have loaded or are loading; engines that are leaving don't
/// count.
pub(crate) struct Holders<'a> {
    by_target: IndexMap<&'a ModelTarget, Vec<&'a EngineSeen>>,
}

impl<'a> Holders<'a> {
    pub(crate) fn list(
        engines: &'a [EngineSeen],
        loading: &'a IndexMap<NodeId, ModelTarget>,
    ) -> Self {
        let mut by_target: IndexMap<&ModelTarget, Vec<&EngineSeen>> = IndexMap::new();
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
    pub(crate) fn count(&self, wanted: &Wanted<'_>) -> usize {
        let holders = self.of(wanted.target).iter();
        let holders = holders.filter(|engine| wanted.allows(&engine.zone));
        holders.count()
    }

    pub(crate) fn count_in_zone(&self, target: &ModelTarget, zone: &ZoneId) -> usize {
        let holders = self.of(target).iter();
        holders.filter(|engine| engine.zone == *zone).count()
    }

    fn of(&self, target: &ModelTarget) -> &[&'a EngineSeen] {
        let holders = self.by_target.get(target);
        holders.map_or(&[], Vec::as_slice)
    }
}
