//! What an endpoint can bear beside what it does already.

use std::hash::{DefaultHasher, Hash, Hasher};

use masticsill_types::{ClockMs, NodeId, ZoneId};

use crate::endpoint::Endpoint;
use crate::placement::ZoneShare;
use crate::service_queue::{Requirements, Work};

/// Prompts that an engine is given to read at once.
///
/// Prompts are read one after the other, so a second one only waits there, where it can't turn to
/// an engine that becomes free first, and slows every stream beside it for as long again. Answers
/// load beyond what all engines read: with more, each engine's queue grows until first events come
/// too late for anybody (at four times the usual load, 10 prompts at each engine and 1 of 5 streams
/// in time).
const MAX_READING_PROMPTS: u32 = 1;
/// Part of a prompt, in hundredths, that an engine must keep to take it beside one that it reads:
/// little is left to read, and anywhere else all of it would be.
const MIN_KEPT_PERCENT: u64 = 60;
/// Part of an engine's memory that runs and copies may fill, in hundredths. The rest is for what
/// others have just begun and has not been told yet; beyond the memory, engines throw out runs and
/// read them again.
const MAX_MEMORY_PERCENT: u64 = 92;
/// Part of it up to which copies are taken: a copy saves a run only if its engine dies, a run is
/// sure to need the place.
const MAX_COPY_MEMORY_PERCENT: u64 = 50;
/// How long an endpoint that refused for want of room is left alone, unless one of its own
/// requests ends there sooner: as long as its queue takes to change.
pub(crate) const FULL_BACKOFF_MS: u64 = 250;

/// Head start of each entry over the next at an engine that has just got room: about the time that
/// the word of a start takes to the other entries (20 ms within a zone, 80 ms between zones).
/// Without it, of 402 prompts that were sent at four times the usual load, 149 met another one at
/// an engine that each entry had thought idle.
const TURN_STAGGER_MS: u64 = 40;

/// Wait at room that has just become known, for a request that has waited for none: as long as the
/// word of that room takes to the other entries, where others may wait for longer.
const NEW_REQUEST_DELAY_MS: u64 = 120;
/// Wait of a request after which it takes room at once.
const IMMEDIATE_START_WAIT_MS: u64 = 600;

/// Whose turn it is at engines that get room.
#[derive(Clone, Copy, Debug)]
pub struct EntryPosition<'a> {
    /// All entries.
    pub entries: u32,
    /// This entry.
    pub node: &'a NodeId,
    /// Its place among those of its zone.
    pub share: ZoneShare,
    /// Its zone.
    pub zone: &'a ZoneId,
}

/// How long a request has waited where more is asked for than fits.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Contention {
    /// Nobody else waits, here or elsewhere as far as is known: no turns are needed.
    Uncontended,
    /// For so long, in milliseconds.
    Contended(u64),
}

impl EntryPosition<'_> {
    /// For how long room at an engine must have been known before this entry takes it. The entries
    /// of its zone come first.
    ///
    /// The longer a request has waited, the sooner it goes: an entry that has many places would
    /// fill each of them again for good, and another with as many callers find none.
    fn wait_ms(&self, endpoint: &Endpoint, contention: Contention) -> u64 {
        let contention_ms = match contention {
            Contention::Uncontended => return 0,
            Contention::Contended(contention_ms) => contention_ms,
        };
        let left_ms = IMMEDIATE_START_WAIT_MS.saturating_sub(contention_ms);
        let new_request_delay_ms = NEW_REQUEST_DELAY_MS * left_ms / IMMEDIATE_START_WAIT_MS;
        if endpoint.is_freed_here() {
            return new_request_delay_ms;
        }
        let said = &endpoint.announcement;
        let near = self.share.entries.max(1) as u64;
        let turn = if said.zone == *self.zone {
            (hash(&said.id) + self.share.rank as u64) % near
        } else {
            let far = u64::from(self.entries).saturating_sub(near).max(1);
            near + hash((&said.id, self.node)) % far
        };
        new_request_delay_ms + turn * TURN_STAGGER_MS
    }
}

fn hash(of: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    of.hash(&mut hasher);
    // A shorter number leaves room to add to it.
    hasher.finish() >> 8
}

/// Whether an endpoint can take a request now.
pub(crate) fn has_capacity(
    endpoint: &Endpoint,
    now: ClockMs,
    need: &Requirements,
    turns: &EntryPosition<'_>,
    contention: Contention,
) -> bool {
    if endpoint.is_full(now) {
        return false;
    }
    match &need.work {
        Work::Whole => endpoint.concurrency.has_capacity(now, endpoint.in_flight),
        Work::Stream {
            memory_tokens,
            prompt_tokens,
            tokens,
        } => {
            let kept_tokens = need.kept_at(&endpoint.announcement.id);
            let least = prompt_tokens.saturating_mul(MIN_KEPT_PERCENT);
            let is_kept = kept_tokens.saturating_mul(100) >= least && kept_tokens > 0;
            let is_idle = endpoint.reading_total(now) < MAX_READING_PROMPTS;
            let is_reserved = need.reserved_endpoint.as_ref() == Some(&endpoint.announcement.id);
            let is_turn = || {
                is_reserved
                    || endpoint.capacity_known_ms(now) >= turns.wait_ms(endpoint, contention)
            };
            (is_kept || is_idle && is_turn())
                && fits(endpoint, *memory_tokens, *tokens, MAX_MEMORY_PERCENT)
        }
    }
}

/// Whether an engine with so much memory can hold a copy of a run beside its own runs.
#[must_use]
pub fn has_memory_for_copy(endpoint: &Endpoint, memory_tokens: Option<u64>, tokens: u64) -> bool {
    fits(endpoint, memory_tokens, tokens, MAX_COPY_MEMORY_PERCENT)
}

fn fits(endpoint: &Endpoint, memory_tokens: Option<u64>, tokens: u64, percent: u64) -> bool {
    let Some(memory_tokens) = memory_tokens else {
        return true;
    };
    let held = endpoint.held_tokens + endpoint.others.held_tokens;
    // An engine that holds nothing takes whatever it can: it says itself if that is too much.
    held == 0 || held + tokens <= memory_tokens * percent / 100
}
