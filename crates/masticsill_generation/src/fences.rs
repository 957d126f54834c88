//! Last known lineages of generations whose records have been removed.

use indexmap::IndexMap;
use masticsill_types::{GenerationId, Lineage};

/// The last lineages of removed records, up to a capacity; the oldest are dropped first.
///
/// Without them, a start that is delayed or repeated until after its record's removal would run
/// the attempt a second time and produce two branches under one lineage.
#[derive(Debug)]
pub(crate) struct Fences {
    capacity: usize,
    lineages: IndexMap<GenerationId, Lineage>,
}

impl Fences {
    pub(crate) fn with_capacity(capacity: usize) -> Self {
        Self {
            capacity,
            lineages: IndexMap::new(),
        }
    }

    pub(crate) fn insert(&mut self, id: GenerationId, lineage: Lineage) {
        self.lineages.shift_remove(&id);
        if self.lineages.len() >= self.capacity {
            self.lineages.shift_remove_index(0);
        }
        self.lineages.insert(id, lineage);
    }

    pub(crate) fn get(&self, id: GenerationId) -> Option<Lineage> {
        self.lineages.get(&id).copied()
    }
}
