//! Bounded storage for the records of an agent.

use indexmap::IndexMap;
use masticsill_types::{ClockMs, GenerationId, Lineage};

use crate::fences::Fences;
use crate::record::Record;
use crate::stored_record::StoredRecord;

/// Approximate memory of one token, in bytes.
const APPROXIMATE_BYTES_PER_TOKEN: usize = 64;
/// Number of removed records whose lineages are remembered, per record that may be stored.
const MAX_FENCES_PER_RECORD: usize = 16;

/// Records by generation, bounded in number and bytes. Each record counts at the maximum length of
/// its answer.
#[derive(Debug)]
pub(crate) struct RecordStore {
    bytes: usize,
    fences: Fences,
    records: IndexMap<GenerationId, StoredRecord>,
    max_bytes: usize,
    max_records: usize,
}

impl RecordStore {
    pub(crate) fn new(max_records: usize, max_bytes: usize) -> Self {
        Self {
            bytes: 0,
            fences: Fences::with_capacity(max_records.saturating_mul(MAX_FENCES_PER_RECORD)),
            records: IndexMap::new(),
            max_bytes,
            max_records,
        }
    }

    pub(crate) fn get(&self, id: GenerationId) -> Option<&StoredRecord> {
        self.records.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: GenerationId) -> Option<&mut StoredRecord> {
        self.records.get_mut(&id)
    }

    pub(crate) fn values(&self) -> impl Iterator<Item = &StoredRecord> {
        self.records.values()
    }

    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// The last known lineage of a generation, also for some time after its record was removed.
    pub(crate) fn known_lineage(&self, id: GenerationId) -> Option<Lineage> {
        let stored = self.records.get(&id).map(|stored| stored.record.lineage());
        stored.or_else(|| self.fences.get(id))
    }

    /// Makes room for a record by evicting ended records whose end was delivered. Returns false
    /// when that is not enough.
    pub(crate) fn make_room(&mut self, record: &Record) -> bool {
        while !self.has_room(record) {
            if !self.evict() {
                return false;
            }
        }
        true
    }

    /// Inserts a record and returns the record of the same generation that it replaces, if any.
    pub(crate) fn insert(&mut self, stored: StoredRecord) -> Option<StoredRecord> {
        self.bytes += full_bytes(&stored.record);
        let former = self.records.insert(stored.record.id(), stored);
        if let Some(former) = &former {
            self.bytes -= full_bytes(&former.record);
        }
        former
    }

    /// Removes the records that ended at least `retention_ms` ago.
    pub(crate) fn expire(&mut self, now: ClockMs, retention_ms: u64) {
        let is_expired = |stored: &&StoredRecord| {
            let ended_at = stored.ended_at;
            ended_at.is_some_and(|ended_at| now.since(ended_at) >= retention_ms)
        };
        let expired = self.records.values().filter(is_expired);
        let expired: Vec<GenerationId> = expired.map(|stored| stored.record.id()).collect();
        for id in expired {
            self.remove(id);
        }
    }

    fn has_room(&self, record: &Record) -> bool {
        let replaced = self.records.get(&record.id());
        let replaced_bytes = replaced.map_or(0, |stored| full_bytes(&stored.record));
        let bytes = (self.bytes - replaced_bytes).saturating_add(full_bytes(record));
        let record_count = self.records.len() - usize::from(replaced.is_some()) + 1;
        bytes <= self.max_bytes && record_count <= self.max_records
    }

    /// Evicts the record that ended first among those whose end was delivered. Returns false when
    /// there is none.
    fn evict(&mut self) -> bool {
        let delivered = self.records.values().filter(|stored| stored.is_delivered);
        let oldest = delivered.min_by_key(|stored| stored.ended_at);
        let Some(id) = oldest.map(|stored| stored.record.id()) else {
            return false;
        };
        self.remove(id);
        true
    }

    fn remove(&mut self, id: GenerationId) {
        if let Some(stored) = self.records.swap_remove(&id) {
            self.bytes -= full_bytes(&stored.record);
            self.fences.insert(id, stored.record.lineage());
        }
    }
}

/// Approximate memory of a record whose answer has its maximum length, in bytes.
fn full_bytes(record: &Record) -> usize {
    let spec = record.spec();
    let max_tokens = usize::try_from(spec.sampling.max_tokens).unwrap_or(usize::MAX);
    let tokens = max_tokens.max(record.tokens().len());
    tokens
        .saturating_mul(APPROXIMATE_BYTES_PER_TOKEN)
        .saturating_add(spec.prompt.len())
}
