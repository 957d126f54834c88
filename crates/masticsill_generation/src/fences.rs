//! Lineages of generations whose records are gone.

use indexmap::IndexMap;
use masticsill_types::{GenerationId, Lineage};

/// The last lineages of forgotten records, the oldest dropped first.
///
/// A start that was delayed or repeated past its record's time would run the attempt a second
/// time: two branches under one lineage.
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

    pub(crate) fn remember(&mut self, id: GenerationId, lineage: Lineage) {
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
