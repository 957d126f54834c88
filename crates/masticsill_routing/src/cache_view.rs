//! A view of an engine's prefix cache, built from events that are delayed and may be lost.

use indexmap::IndexMap;

/// Prefixes recorded for one engine.
const MAX_PREFIXES_PER_ENGINE: usize = 512;

/// One change to an engine's prefix cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CacheChange {
    /// Whether the prefix was stored; otherwise it was evicted.
    pub is_stored: bool,
    /// Hash of the prefix.
    pub prefix_hash: u64,
    /// Sequence number of the event. A jump means that events were lost.
    pub sequence: u64,
}

/// Whether a prefix is in an engine's cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CachePresence {
    No,
    Unknown,
    Yes,
}

/// The prefixes that an engine reported as stored, and those sent to it.
#[derive(Clone, Debug, Default)]
pub(crate) struct CacheView {
    /// Incremented on each gap in the sequence. A prefix recorded in an earlier epoch may have been
    /// evicted since.
    epoch: u32,
    last_sequence: Option<u64>,
    stored: IndexMap<u64, u32>,
}

impl CacheView {
    /// Applies a change; one that is not newer than the last is ignored.
    pub(crate) fn apply(&mut self, change: CacheChange) {
        let is_repeated = self
            .last_sequence
            .is_some_and(|last| change.sequence <= last);
        if is_repeated {
            return;
        }
        let is_next = match self.last_sequence {
            Some(last) => change.sequence == last + 1,
            None => change.sequence <= 1,
        };
        if !is_next {
            self.epoch += 1;
        }
        self.last_sequence = Some(change.sequence);
        if change.is_stored {
            self.store(change.prefix_hash, self.epoch);
        } else {
            self.stored.swap_remove(&change.prefix_hash);
        }
    }

    /// Records that a request with this prefix was sent to the engine, whose event has not arrived
    /// yet. The prefix counts as one of an earlier epoch until it does.
    pub(crate) fn note_sent(&mut self, prefix_hash: u64) {
        if !self.stored.contains_key(&prefix_hash) {
            self.store(prefix_hash, self.epoch.wrapping_sub(1));
        }
    }

    pub(crate) fn presence(&self, prefix_hash: u64) -> CachePresence {
        match self.stored.get(&prefix_hash) {
            Some(epoch) if *epoch == self.epoch => CachePresence::Yes,
            None if self.epoch == 0 && self.last_sequence.is_some() => CachePresence::No,
            Some(_) | None => CachePresence::Unknown,
        }
    }

    /// Whether this prefix was reported as stored or sent to the engine. If so,
    /// [`CachePresence::Unknown`] means that it is probably cached.
    pub(crate) fn is_listed(&self, prefix_hash: u64) -> bool {
        self.stored.contains_key(&prefix_hash)
    }

    fn store(&mut self, prefix_hash: u64, epoch: u32) {
        if self.stored.len() >= MAX_PREFIXES_PER_ENGINE {
            self.stored.swap_remove_index(0);
        }
        self.stored.insert(prefix_hash, epoch);
    }
}
