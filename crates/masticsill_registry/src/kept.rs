//! What engines keep of the prompts that they have read.
//!
//! An engine tells of it in numbered news, late and with gaps. A request that goes to an engine
//! which keeps its prompt need not wait until it is read again, and nor need its neighbours.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::id::{EndpointId, EndpointIncarnation};

/// Parts remembered for one engine: its memory holds some tens of long prompts.
const MAX_PARTS: usize = 1_024;

/// A part of a prompt. Requests share parts; the last one is a request's or a session's own.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PromptPart {
    /// Names the part's content.
    pub id: String,
    /// Its length.
    pub tokens: u64,
}

/// What an engine keeps of one part from now on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CachedPart {
    /// The part.
    pub id: String,
    /// Tokens of it that are kept; zero once it is dropped. What was generated after a prompt
    /// counts as a part of it.
    pub tokens: u64,
}

/// News of one engine.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CacheUpdate {
    /// Another number after a restart, which keeps nothing.
    pub epoch: u64,
    /// Whether news before these are lost.
    pub is_gap: bool,
    /// The life that speaks, if it says so.
    pub incarnation: EndpointIncarnation,
    /// What changed, oldest first.
    pub parts: Vec<CachedPart>,
    /// From where the next news go on.
    pub position: u64,
    /// Entries that could not be read; they name nothing.
    pub unreadable: u64,
}

impl CacheUpdate {
    /// Whether they may be an incarnation's own: one that names no birth can't be told apart.
    #[must_use]
    pub fn may_be_from(&self, endpoint: &EndpointId) -> bool {
        let incarnations = [self.incarnation, endpoint.incarnation];
        !incarnations.into_iter().all(EndpointIncarnation::is_known)
            || self.incarnation == endpoint.incarnation
    }
}

/// Tokens of one prompt that an engine keeps.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CachedTokens {
    /// The engine.
    pub endpoint: EndpointId,
    /// Tokens from the prompt's beginning.
    pub tokens: u64,
}

#[derive(Clone, Debug, Default)]
struct Engine {
    epoch: u64,
    /// Parts and their kept tokens, the one changed longest ago first.
    parts: IndexMap<String, u64>,
    position: u64,
}

/// What several engines keep.
#[derive(Clone, Debug, Default)]
pub struct PromptCacheIndex {
    engines: IndexMap<EndpointId, Engine>,
}

impl PromptCacheIndex {
    /// From where an engine's news go on.
    #[must_use]
    pub fn position(&self, endpoint: &EndpointId) -> u64 {
        let engine = self.engines.get(endpoint);
        engine.map_or(0, |engine| engine.position)
    }

    /// Takes an engine's news.
    ///
    /// What was known before a gap is kept until the whole list comes: a request that goes where its prompt no longer is
    /// only waits as long as it would elsewhere.
    pub fn apply(&mut self, endpoint: &EndpointId, news: CacheUpdate) {
        let engine = self.engines.entry(endpoint.clone()).or_default();
        if engine.epoch != news.epoch {
            engine.parts.clear();
        }
        engine.epoch = news.epoch;
        engine.position = news.position;
        for part in news.parts {
            engine.parts.shift_remove(&part.id);
            if part.tokens > 0 {
                engine.parts.insert(part.id, part.tokens);
            }
        }
        let excess = engine.parts.len().saturating_sub(MAX_PARTS);
        drop(engine.parts.drain(..excess));
    }

    /// Takes all that an engine keeps, in place of what was known.
    pub fn replace(&mut self, endpoint: &EndpointId, news: CacheUpdate) {
        self.forget(endpoint);
        self.apply(endpoint, news);
    }

    /// Forgets an engine that has ended.
    pub fn forget(&mut self, endpoint: &EndpointId) {
        self.engines.swap_remove(endpoint);
    }

    /// Engines that keep the beginning of a prompt, with at least `least_tokens` of it.
    #[must_use]
    pub fn find(&self, prompt: &[PromptPart], least_tokens: u64) -> Vec<CachedTokens> {
        let kept = self.engines.iter().map(|(endpoint, engine)| CachedTokens {
            endpoint: endpoint.clone(),
            tokens: engine.kept_tokens(prompt),
        });
        kept.filter(|kept| kept.tokens >= least_tokens.max(1))
            .collect()
    }
}

impl Engine {
    /// Tokens from a prompt's beginning: a part serves only where all parts before it are whole.
    fn kept_tokens(&self, prompt: &[PromptPart]) -> u64 {
        let mut tokens = 0_u64;
        for part in prompt {
            let kept = self.parts.get(&part.id).copied().unwrap_or_default();
            tokens = kept.min(part.tokens).saturating_add(tokens);
            if kept < part.tokens {
                break;
            }
        }
        tokens
    }
}
