//! Checks whether an endpoint has capacity for another request beside its current work.

use std::hash::{DefaultHasher, Hash, Hasher};

use masticsill_types::{ClockMs, NodeId, ZoneId};

use crate::endpoint::Endpoint;
use crate::placement::ZoneShare;
use crate::service_queue::{Requirements, Work};

/// Number of prompts that an engine is given to read (prefill) at once.
///
/// An engine reads prompts one after the other. A second prompt would only wait there, unable to
/// move to an engine that becomes free first, and would slow down every stream at that engine for
/// as long again. When the load exceeds what all engines can read and more prompts are allowed,
/// each engine's queue grows until first events come too late for every caller: at four times the
/// usual load there were 10 prompts at each engine, and 1 of 5 streams was in time.
const MAX_READING_PROMPTS: u32 = 1;
/// Minimum share of a prompt, in percent, that an engine must have cached to take the prompt while
/// it reads another one: little is left to read there, whereas any other engine would read all of
/// it.
const MIN_CACHED_PERCENT: u64 = 60;
/// Share of an engine's KV cache, in percent, that runs and copies may fill. The rest is reserved
/// for requests that other entries have just started and that are not reported yet. When its KV
/// cache is exceeded, an engine evicts runs and has to read their prompts again.
const MAX_MEMORY_PERCENT: u64 = 92;
/// Share of an engine's KV cache, in percent, up to which copies of runs are accepted. A copy helps
/// only if the engine of its run dies, whereas a run is sure to need the space.
const MAX_COPY_MEMORY_PERCENT: u64 = 50;
/// How long an endpoint that refused a request for lack of capacity gets no more requests, unless
/// one of this entry's requests ends there sooner: about the time in which its queue changes.
pub(crate) const FULL_BACKOFF_MS: u64 = 250;

/// Delay between entries at an engine that has just got capacity: about the time until a start is
/// reported to the other entries (20 ms within a zone, 80 ms between zones). Without the delay, of
/// 402 prompts sent at four times the usual load, 149 met another prompt at an engine that each
/// entry had taken to be idle.
const TURN_STAGGER_MS: u64 = 40;

/// Delay before a request that has not waited yet takes capacity that has just become known: the
/// time until this capacity is reported to the other entries, where requests may have waited
/// longer.
const NEW_REQUEST_DELAY_MS: u64 = 120;
/// Wait after which a request takes capacity without the delay for new requests.
const IMMEDIATE_START_WAIT_MS: u64 = 600;

/// This entry's position among all entries, which decides in what order entries use capacity that
/// becomes free at an engine.
#[derive(Clone, Copy, Debug)]
pub struct EntryPosition<'a> {
    /// Number of entries.
    pub entries: u32,
    /// This entry's node.
    pub node: &'a NodeId,
    /// This entry's rank among the entries of its zone.
    pub share: ZoneShare,
    /// This entry's availability zone.
    pub zone: &'a ZoneId,
}

/// Whether other requests compete for capacity, and how long the request has waited for it.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Contention {
    /// No other request is known to wait, here or at other entries, so that entries need not take
    /// turns.
    Uncontended,
    /// Requests compete for capacity; this one has waited for the given number of milliseconds.
    Contended(u64),
}

impl EntryPosition<'_> {
    /// How long capacity at an engine must have been known, in milliseconds, before this entry uses
    /// it. The entries of the engine's zone go first.
    ///
    /// The delay shrinks with the time that a request has waited. Otherwise an entry with work at
    /// many engines would always refill the capacity that it frees, and another entry with as many
    /// callers would find none.
    fn wait_ms(&self, endpoint: &Endpoint, contention: Contention) -> u64 {
        let waited_ms = match contention {
            Contention::Uncontended => return 0,
            Contention::Contended(waited_ms) => waited_ms,
        };
        let remaining_ms = IMMEDIATE_START_WAIT_MS.saturating_sub(waited_ms);
        let new_request_delay_ms = NEW_REQUEST_DELAY_MS * remaining_ms / IMMEDIATE_START_WAIT_MS;
        if endpoint.is_freed_here() {
            return new_request_delay_ms;
        }
        let announcement = &endpoint.announcement;
        let local_entries = self.share.entries.max(1) as u64;
        let turn = if announcement.zone == *self.zone {
            (hash(&announcement.id) + self.share.rank as u64) % local_entries
        } else {
            let remote_entries = u64::from(self.entries).saturating_sub(local_entries).max(1);
            local_entries + hash((&announcement.id, self.node)) % remote_entries
        };
        new_request_delay_ms + turn * TURN_STAGGER_MS
    }
}

fn hash(of: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    of.hash(&mut hasher);
    // The shift leaves headroom for the additions in `wait_ms`.
    hasher.finish() >> 8
}

/// Whether an endpoint can take a request now.
pub(crate) fn has_capacity(
    endpoint: &Endpoint,
    now: ClockMs,
    requirements: &Requirements,
    position: &EntryPosition<'_>,
    contention: Contention,
) -> bool {
    if endpoint.is_full(now) || !endpoint.accepts_requests(now) {
        return false;
    }
    match &requirements.work {
        Work::Whole => endpoint.concurrency.has_capacity(now, endpoint.in_flight),
        Work::Stream {
            kv_cache_tokens,
            prompt_tokens,
            tokens,
        } => {
            let cached_tokens = requirements.cached_at(&endpoint.announcement.id);
            let min_cached = prompt_tokens.saturating_mul(MIN_CACHED_PERCENT);
            let is_cached = cached_tokens.saturating_mul(100) >= min_cached && cached_tokens > 0;
            let is_idle = endpoint.reading_total(now) < MAX_READING_PROMPTS;
            let is_reserved =
                requirements.reserved_endpoint.as_ref() == Some(&endpoint.announcement.id);
            let is_turn = || {
                is_reserved
                    || endpoint.capacity_known_ms(now) >= position.wait_ms(endpoint, contention)
            };
            (is_cached || is_idle && is_turn())
                && fits(endpoint, *kv_cache_tokens, *tokens, MAX_MEMORY_PERCENT)
        }
    }
}

/// Whether an endpoint has no capacity beside its current work, wherever prompts are cached.
pub(crate) fn is_occupied(endpoint: &Endpoint, now: ClockMs, work: &Work) -> bool {
    let has_room = match work {
        Work::Whole => endpoint.concurrency.has_capacity(now, endpoint.in_flight),
        Work::Stream {
            kv_cache_tokens,
            tokens,
            ..
        } => {
            endpoint.reading_total(now) < MAX_READING_PROMPTS
                && fits(endpoint, *kv_cache_tokens, *tokens, MAX_MEMORY_PERCENT)
        }
    };
    endpoint.is_full(now) || !has_room
}

/// Whether an engine whose KV cache holds `kv_cache_tokens` has space for a copy of a run of
/// `tokens` beside its own runs. An engine of unknown capacity always has.
#[must_use]
pub fn has_memory_for_copy(endpoint: &Endpoint, kv_cache_tokens: Option<u64>, tokens: u64) -> bool {
    fits(endpoint, kv_cache_tokens, tokens, MAX_COPY_MEMORY_PERCENT)
}

fn fits(endpoint: &Endpoint, kv_cache_tokens: Option<u64>, tokens: u64, percent: u64) -> bool {
    let Some(kv_cache_tokens) = kv_cache_tokens else {
        return true;
    };
    let held = endpoint.held_tokens + endpoint.others.held_tokens;
    // An empty engine may be given any request; it refuses the request itself if that is too large.
    held == 0 || held + tokens <= kv_cache_tokens * percent / 100
}
