//! The bounded prefix cache and its events.

use std::collections::VecDeque;

use indexmap::IndexSet;
use masticsill_types::ClockMs;
use masticsill_wire::engine::{CacheEvent, CacheEvents};

use super::answer::{AnswerSpec, mix, mix_bytes, target_hash};

/// Prompt bytes that count as one token.
const BYTES_PER_TOKEN: usize = 4;
/// Tokens of one cached block.
pub(crate) const BLOCK_TOKENS: usize = 16;
/// Events kept for late readers.
const EVENT_CAPACITY: usize = 4_096;

/// The tokens that an engine has to prefill, as chained block hashes.
#[derive(Debug)]
pub(crate) struct Prefix {
    pub(crate) block_hashes: Vec<u64>,
    pub(crate) token_count: usize,
}

impl Prefix {
    /// Prompt and resumed tokens of one request.
    pub(crate) fn new(spec: &AnswerSpec, resume_token_ids: &[u32]) -> Self {
        let prompt_tokens = spec.prompt.as_bytes().chunks(BYTES_PER_TOKEN);
        let tokens: Vec<u64> = prompt_tokens
            .map(|bytes| mix_bytes(0, bytes))
            .chain(resume_token_ids.iter().map(|id| u64::from(*id)))
            .collect();
        let mut state = target_hash(spec);
        let mut block_hashes = Vec::new();
        for block in tokens.chunks_exact(BLOCK_TOKENS) {
            state = block
                .iter()
                .fold(state, |folded, token| mix(folded, *token));
            block_hashes.push(state);
        }
        Self {
            block_hashes,
            token_count: tokens.len(),
        }
    }
}

/// Hashes of a request's prompt blocks as the engine's cache events show them.
#[must_use]
pub fn prefix_hashes(spec: &AnswerSpec) -> Vec<u64> {
    Prefix::new(spec, &[]).block_hashes
}

/// Blocks in order of arrival; the oldest is dropped first.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity_blocks: usize,
    event_gap_every: u64,
    event_lag_ms: u64,
    events: VecDeque<(ClockMs, CacheEvent)>,
    order: VecDeque<u64>,
    sequence: u64,
    stored: IndexSet<u64>,
}

impl PrefixCache {
    pub(crate) fn new(capacity_tokens: usize, event_lag_ms: u64, event_gap_every: u64) -> Self {
        Self {
            capacity_blocks: capacity_tokens / BLOCK_TOKENS,
            event_gap_every,
            event_lag_ms,
            events: VecDeque::new(),
            order: VecDeque::new(),
            sequence: 0,
            stored: IndexSet::new(),
        }
    }

    /// Stores a prefix and tells how many of its tokens were cached before.
    pub(crate) fn take_in(&mut self, now: ClockMs, prefix: &Prefix) -> usize {
        let is_stored = |hash: &&u64| self.stored.contains(*hash);
        let hit_blocks = prefix.block_hashes.iter().take_while(is_stored).count();
        for hash in &prefix.block_hashes[hit_blocks..] {
            self.store(now, *hash);
        }
        hit_blocks * BLOCK_TOKENS
    }

    /// Events after a sequence, without those still late.
    pub(crate) fn events_after(&self, now: ClockMs, after: u64) -> CacheEvents {
        let is_due = |at: ClockMs| at.0 + self.event_lag_ms <= now.0;
        let events = self
            .events
            .iter()
            .filter(|(at, event)| event.sequence > after && is_due(*at))
            .map(|(_, event)| event.clone())
            .collect();
        CacheEvents { events }
    }

    fn store(&mut self, now: ClockMs, hash: u64) {
        if self.capacity_blocks == 0 || !self.stored.insert(hash) {
            return;
        }
        self.order.push_back(hash);
        self.publish(now, hash, true);
        if self.order.len() > self.capacity_blocks {
            self.drop_oldest(now);
        }
    }

    fn drop_oldest(&mut self, now: ClockMs) {
        let Some(hash) = self.order.pop_front() else {
            return;
        };
        self.stored.swap_remove(&hash);
        self.publish(now, hash, false);
    }

    fn publish(&mut self, now: ClockMs, prefix_hash: u64, is_stored: bool) {
        self.sequence += 1;
        let is_lost =
            self.event_gap_every > 0 && self.sequence.is_multiple_of(self.event_gap_every);
        if is_lost {
            return;
        }
        let event = CacheEvent {
            is_stored,
            prefix_hash,
            sequence: self.sequence,
        };
        self.events.push_back((now, event));
        if self.events.len() > EVENT_CAPACITY {
            self.events.pop_front();
        }
    }
}
