//! Records that an agent keeps, within a bound.

use indexmap::IndexMap;
use masticsill_types::{ClockMs, GenerationId, Lineage};

use crate::fences::Fences;
use crate::held::Held;
use crate::record::Record;

/// Memory of one token, about.
const TOKEN_BYTES: usize = 64;
/// Lineages of forgotten records that are remembered, for each record that may be held.
const FENCES_PER_RECORD: usize = 16;

/// Records by generation, bounded in number and bytes; each counts at its answer's full length.
#[derive(Debug)]
pub(crate) struct Shelf {
    bytes: usize,
    fences: Fences,
    held: IndexMap<GenerationId, Held>,
    max_bytes: usize,
    max_records: usize,
}

impl Shelf {
    pub(crate) fn new(max_records: usize, max_bytes: usize) -> Self {
        Self {
            bytes: 0,
            fences: Fences::with_capacity(max_records.saturating_mul(FENCES_PER_RECORD)),
            held: IndexMap::new(),
            max_bytes,
            max_records,
        }
    }

    pub(crate) fn get(&self, id: GenerationId) -> Option<&Held> {
        self.held.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: GenerationId) -> Option<&mut Held> {
        self.held.get_mut(&id)
    }

    pub(crate) fn values(&self) -> impl Iterator<Item = &Held> {
        self.held.values()
    }

    pub(crate) fn len(&self) -> usize {
        self.held.len()
    }

    /// The last lineage known of a generation, also after its record is gone.
    pub(crate) fn known_lineage(&self, id: GenerationId) -> Option<Lineage> {
        let held = self.held.get(&id).map(|held| held.record.lineage());
        held.or_else(|| self.fences.get(id))
    }

    /// Makes room for a record by forgetting ended ones; false when that is not enough.
    pub(crate) fn make_room(&mut self, record: &Record) -> bool {
        while !self.has_room(record) {
            if !self.evict() {
                return false;
            }
        }
        true
    }

    /// Puts a record in and returns the one of the same generation that it replaces.
    pub(crate) fn insert(&mut self, held: Held) -> Option<Held> {
        self.bytes += full_bytes(&held.record);
        let former = self.held.insert(held.record.id(), held);
        if let Some(former) = &former {
            self.bytes -= full_bytes(&former.record);
        }
        former
    }

    /// Forgets the records that ended `retention_ms` ago.
    pub(crate) fn expire(&mut self, now: ClockMs, retention_ms: u64) {
        let is_expired = |held: &&Held| {
            let ended_at = held.ended_at;
            ended_at.is_some_and(|ended_at| now.since(ended_at) >= retention_ms)
        };
        let expired = self.held.values().filter(is_expired);
        let expired: Vec<GenerationId> = expired.map(|held| held.record.id()).collect();
        for id in expired {
            self.forget(id);
        }
    }

    fn has_room(&self, record: &Record) -> bool {
        let replaced = self.held.get(&record.id());
        let replaced_bytes = replaced.map_or(0, |held| full_bytes(&held.record));
        let bytes = (self.bytes - replaced_bytes).saturating_add(full_bytes(record));
        let records = self.held.len() - usize::from(replaced.is_some()) + 1;
        bytes <= self.max_bytes && records <= self.max_records
    }

    /// Forgets the oldest ended record whose owner has its end.
    fn evict(&mut self) -> bool {
        let delivered = self.held.values().filter(|held| held.is_delivered);
        let oldest = delivered.min_by_key(|held| held.ended_at);
        let Some(id) = oldest.map(|held| held.record.id()) else {
            return false;
        };
        self.forget(id);
        true
    }

    fn forget(&mut self, id: GenerationId) {
        if let Some(held) = self.held.swap_remove(&id) {
            self.bytes -= full_bytes(&held.record);
            self.fences.remember(id, held.record.lineage());
        }
    }
}

/// Memory of a record once its answer has its full length.
fn full_bytes(record: &Record) -> usize {
    let spec = record.spec();
    let max_tokens = usize::try_from(spec.sampling.max_tokens).unwrap_or(usize::MAX);
    let tokens = max_tokens.max(record.tokens().len());
    tokens
        .saturating_mul(TOKEN_BYTES)
        .saturating_add(spec.prompt.len())
}
