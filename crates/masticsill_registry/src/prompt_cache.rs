//! An index of the prompt parts that engines cache.
//!
//! Engines report changes to their caches in numbered batches, which arrive late and may be lost. A
//! request sent to an engine that caches its prompt doesn't wait for the prompt to be processed
//! again, nor do the other requests at that engine.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::id::{EndpointId, EndpointIncarnation};

/// Parts recorded for one engine. An engine's memory holds some tens of long prompts.
const MAX_PARTS_PER_ENGINE: usize = 1_024;

/// A part of a prompt. Requests share parts; the last part belongs to one request or session.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PromptPart {
    /// Identifies the part's content.
    pub id: String,
    /// Length in tokens.
    pub tokens: u64,
}

/// The number of tokens of one part that an engine caches from now on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CachedPart {
    /// Id of the part.
    pub id: String,
    /// Cached tokens of the part; zero if it was evicted. Tokens generated after a prompt count as
    /// tokens of its last part, so this may exceed the length of the part.
    pub tokens: u64,
}

/// A batch of changes to the prompt cache of one engine, or its whole content.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CacheUpdate {
    /// Changes when the engine restarts, which empties its cache.
    pub epoch: u64,
    /// Whether changes before these were lost.
    pub is_gap: bool,
    /// The incarnation that sent the batch, if it states its start time.
    pub incarnation: EndpointIncarnation,
    /// The changes, oldest first.
    pub parts: Vec<CachedPart>,
    /// Position from which to read the next changes.
    pub position: u64,
    /// Number of items that could not be parsed and were skipped.
    pub unreadable: u64,
}

impl CacheUpdate {
    /// Whether the batch may come from an incarnation. It may if either start time is unknown,
    /// since the two can't be told apart then.
    #[must_use]
    pub fn may_be_from(&self, endpoint: &EndpointId) -> bool {
        let incarnations = [self.incarnation, endpoint.incarnation];
        !incarnations.into_iter().all(EndpointIncarnation::is_known)
            || self.incarnation == endpoint.incarnation
    }
}

/// The tokens of one prompt that an engine caches.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CachedTokens {
    /// The engine.
    pub endpoint: EndpointId,
    /// Number of cached tokens from the beginning of the prompt.
    pub tokens: u64,
}

#[derive(Clone, Debug, Default)]
struct EngineCache {
    epoch: u64,
    /// Parts and their cached tokens, the one changed longest ago first.
    parts: IndexMap<String, u64>,
    position: u64,
}

/// The prompt parts that each engine caches, as far as reported.
#[derive(Clone, Debug, Default)]
pub struct PromptCacheIndex {
    engines: IndexMap<EndpointId, EngineCache>,
}

impl PromptCacheIndex {
    /// Position from which to read an engine's next changes; zero if nothing was read.
    #[must_use]
    pub fn position(&self, endpoint: &EndpointId) -> u64 {
        let engine = self.engines.get(endpoint);
        engine.map_or(0, |engine| engine.position)
    }

    /// Applies a batch of an engine's changes. A new epoch discards what was recorded before.
    ///
    /// What was recorded before a gap is kept until the whole list is read: a request that is sent
    /// to an engine which no longer caches its prompt waits only as long as it would elsewhere.
    pub fn apply(&mut self, endpoint: &EndpointId, update: CacheUpdate) {
        let engine = self.engines.entry(endpoint.clone()).or_default();
        if engine.epoch != update.epoch {
            engine.parts.clear();
        }
        engine.epoch = update.epoch;
        engine.position = update.position;
        for part in update.parts {
            engine.parts.shift_remove(&part.id);
            if part.tokens > 0 {
                engine.parts.insert(part.id, part.tokens);
            }
        }
        let excess = engine.parts.len().saturating_sub(MAX_PARTS_PER_ENGINE);
        drop(engine.parts.drain(..excess));
    }

    /// Replaces all that was recorded for an engine by its whole list.
    pub fn replace(&mut self, endpoint: &EndpointId, update: CacheUpdate) {
        self.forget(endpoint);
        self.apply(endpoint, update);
    }

    /// Removes an engine that has ended.
    pub fn forget(&mut self, endpoint: &EndpointId) {
        self.engines.swap_remove(endpoint);
    }

    /// Engines that cache at least `least_tokens` tokens, and at least one, from the beginning of a
    /// prompt.
    #[must_use]
    pub fn find(&self, prompt: &[PromptPart], least_tokens: u64) -> Vec<CachedTokens> {
        let cached = self.engines.iter().map(|(endpoint, engine)| CachedTokens {
            endpoint: endpoint.clone(),
            tokens: engine.cached_tokens(prompt),
        });
        cached
            .filter(|cached| cached.tokens >= least_tokens.max(1))
            .collect()
    }
}

impl EngineCache {
    /// Cached tokens from the beginning of a prompt. A part counts only if all parts before it are
    /// cached completely.
    fn cached_tokens(&self, prompt: &[PromptPart]) -> u64 {
        let mut tokens = 0_u64;
        for part in prompt {
            let cached = self.parts.get(&part.id).copied().unwrap_or_default();
            tokens = cached.min(part.tokens).saturating_add(tokens);
            if cached < part.tokens {
                break;
            }
        }
        tokens
    }
}
