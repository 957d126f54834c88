//! One endpoint: what it says of itself, what requests tell of it, and what it does.

use masticsill_registry::{Announcement, EndpointLoad, EndpointState};
use masticsill_types::{ClockMs, NodeId};

use crate::capacity::FULL_BACKOFF_MS;
use crate::concurrency_limit::ConcurrencyLimit;
use crate::health::Health;
use crate::reading::ReadingPace;

/// Time after which a prompt has been read, and what was told of it means nothing any more.
const PEER_READING_TTL_MS: u64 = 1_500;
/// How long another entry's word counts that an endpoint has failed it: endpoints come back.
const PEER_FAILURE_TTL_MS: u64 = 1_000;

/// Requests of the other entries at an endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OtherLoad {
    /// Requests that it works on.
    pub in_flight: u32,
    /// Those of them whose prompt it still reads.
    pub reading: u32,
    /// Tokens that they hold in its memory, copies included.
    pub held_tokens: u64,
    /// Whether it has just failed one of them.
    pub is_failing: bool,
}

impl From<&EndpointLoad> for OtherLoad {
    fn from(load: &EndpointLoad) -> Self {
        Self {
            in_flight: load.in_flight,
            reading: load.reading,
            held_tokens: load.held_tokens,
            is_failing: load.is_failing,
        }
    }
}

/// One incarnation of an endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// What it says of itself.
    pub announcement: Announcement,
    /// What requests tell of it.
    pub health: Health,
    /// How many whole answers it makes at once for this entry.
    pub concurrency: ConcurrencyLimit,
    /// Until when it takes nothing, as it said itself.
    full_until: Option<ClockMs>,
    /// Tokens that requests of this entry hold in its memory, copies included.
    pub held_tokens: u64,
    /// When it became known here that something ended there, which may have left room.
    capacity_since: ClockMs,
    /// Requests of this entry that it works on.
    pub in_flight: u32,
    /// Whether it was this entry's own work that ended there last.
    is_freed_here: bool,
    /// Those of them whose prompt it still reads.
    pub reading: u32,
    /// How fast it reads prompts.
    pub reading_pace: ReadingPace,
    /// Requests of the other entries, as a control replica told last.
    pub others: OtherLoad,
    /// When it told them.
    others_reported_at: Option<ClockMs>,
    /// Whether an answer said that the address belongs to another incarnation.
    pub(crate) is_replaced: bool,
    /// Order in which incarnations became known; a later one of an address goes first.
    pub(crate) order: u64,
    /// Control replicas that have not heard it for long.
    silent_to: Vec<NodeId>,
}

impl Endpoint {
    /// An incarnation of which nothing but its own word is known.
    pub(crate) fn new(announcement: Announcement, order: u64) -> Self {
        Self {
            announcement,
            concurrency: ConcurrencyLimit::default(),
            full_until: None,
            health: Health::default(),
            held_tokens: 0,
            in_flight: 0,
            is_freed_here: false,
            is_replaced: false,
            order,
            others: OtherLoad::default(),
            others_reported_at: None,
            reading: 0,
            reading_pace: ReadingPace::default(),
            capacity_since: ClockMs(0),
            silent_to: Vec::new(),
        }
    }

    /// Takes a control replica's word of whether it has heard the incarnation lately.
    pub(crate) fn note_liveness(&mut self, from: &NodeId, is_silent: bool) {
        self.silent_to.retain(|node| node != from);
        if is_silent {
            self.silent_to.push(from.clone());
        }
    }

    /// Whether it takes new requests, as far as is known.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.announcement.state == EndpointState::Ready && !self.is_replaced
    }

    /// Whether its life has ended, since another one has its id or its address.
    #[must_use]
    pub fn is_replaced(&self) -> bool {
        self.is_replaced
    }

    /// Whether requests of this entry, or copies of their runs, are there.
    pub(crate) fn is_used(&self) -> bool {
        self.in_flight > 0 || self.held_tokens > 0
    }

    /// Prompts of all entries that it reads, as far as is known. A prompt of which an entry told
    /// long ago has been read since, though nobody could say so.
    #[must_use]
    pub fn reading_total(&self, now: ClockMs) -> u32 {
        if self.others_age_ms(now) < PEER_READING_TTL_MS {
            self.reading + self.others.reading
        } else {
            self.reading
        }
    }

    /// Age of what is known of the other entries' requests; none where nobody has told of any.
    #[must_use]
    pub fn others_age_ms(&self, now: ClockMs) -> u64 {
        self.others_reported_at.map_or(0, |at| now.since(at))
    }

    /// Whether its last exchange failed here or elsewhere just now, so that it is left alone.
    #[must_use]
    pub fn is_backing_off(&self, now: ClockMs) -> bool {
        self.is_reported_failing(now) || self.health.is_backing_off(now)
    }

    /// Whether another entry told just now that it had failed it.
    pub(crate) fn is_reported_failing(&self, now: ClockMs) -> bool {
        self.others.is_failing && self.others_age_ms(now) < PEER_FAILURE_TTL_MS
    }

    /// Whether requests of any entry are there, as far as is known.
    pub(crate) fn is_at_work(&self) -> bool {
        self.in_flight + self.others.in_flight > 0
    }

    /// Notes that it reads a prompt of this entry.
    pub fn begin_reading(&mut self) {
        self.reading += 1;
    }

    /// Notes that it has read a prompt of this entry, or reads it no more.
    pub fn end_reading(&mut self, now: ClockMs) {
        self.reading = self.reading.saturating_sub(1);
        self.record_release(now);
    }

    /// Notes that a request of this entry, or a copy of its run, has ended there.
    pub fn record_release(&mut self, now: ClockMs) {
        self.full_until = None;
        self.is_freed_here = true;
        self.capacity_since = now;
    }

    /// Takes what the other entries have there.
    pub(crate) fn update_others(&mut self, now: ClockMs, others: OtherLoad) {
        let is_less =
            others.reading < self.others.reading || others.held_tokens < self.others.held_tokens;
        let is_more =
            others.reading > self.others.reading || others.held_tokens > self.others.held_tokens;
        self.others = others;
        self.others_reported_at = Some(now);
        if is_less || is_more {
            self.is_freed_here = false;
        }
        if is_less {
            self.capacity_since = now;
        }
    }

    /// Notes that what the other entries have there is not known any more.
    pub(crate) fn forget_others(&mut self) {
        self.others_reported_at = Some(ClockMs(0));
    }

    /// For how long the room there has been known here.
    #[must_use]
    pub fn capacity_known_ms(&self, now: ClockMs) -> u64 {
        now.since(self.capacity_since)
    }

    /// Whether it was this entry's own work that left the room: nobody else knows of it yet.
    #[must_use]
    pub fn is_freed_here(&self) -> bool {
        self.is_freed_here
    }

    /// Notes that it refused a request for want of room.
    pub fn note_full(&mut self, now: ClockMs) {
        self.full_until = Some(now + FULL_BACKOFF_MS);
    }

    /// Whether it has just refused for want of room.
    #[must_use]
    pub fn is_full(&self, now: ClockMs) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }

    /// Whether every control replica that knows it has not heard it for long.
    #[must_use]
    pub fn is_silent(&self) -> bool {
        !self.silent_to.is_empty()
    }
}
