//! The state of one endpoint as known to this entry.

use std::collections::VecDeque;

use masticsill_types::{Class, ClockMs, EndpointKind, Incarnation, LoadReport, NodeId, ZoneId};

use crate::cache_view::{CachePresence, CacheView};
use crate::config::RouterConfig;
use crate::number::{hash_text, mix, to_float};
use crate::request::{BackEndTarget, PrefixBlock};
use crate::slot_gate::reserved_slots;

/// Percentage of a prefix's tokens that count as cached while its caching is not confirmed.
const UNCONFIRMED_CACHED_PERCENT: u32 = 60;
/// How long own starts and ends are kept to correct load reports. A report that lags more is not
/// corrected by the earlier ones.
const MAX_REPORT_LAG_MS: u64 = 10_000;
/// How long this entry may reuse a slot that its own draft freed. After that, a load report may
/// have shown the slot as free to the other entries.
const FREED_SLOT_HOLD_MS: u64 = 50;

/// An endpoint as described by the membership.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointDescription {
    /// No new work is placed there before this time, because the endpoint has failed repeatedly.
    pub held_until: ClockMs,
    /// The incarnation of its agent.
    pub incarnation: Incarnation,
    /// Whether it is leaving and accepts no new work.
    pub is_leaving: bool,
    /// What the agent serves: an engine or a plain service.
    pub kind: EndpointKind,
    /// Its availability zone.
    pub zone: ZoneId,
}

/// Requests of this entry in flight, by class.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct InFlight {
    pub(crate) drafts: u32,
    pub(crate) lookups: u32,
}

impl InFlight {
    pub(crate) fn total(self) -> u32 {
        self.drafts + self.lookups
    }

    pub(crate) fn of_mut(&mut self, class: Class) -> &mut u32 {
        match class {
            Class::InstantLookup => &mut self.lookups,
            Class::PatientDraft => &mut self.drafts,
        }
    }
}

/// A load report, corrected by this entry's starts and ends since the time that it describes.
#[derive(Clone, Copy, Debug)]
struct CorrectedReport {
    as_of: ClockMs,
    /// Own drafts started since then on slots that the report may show as free to other entries.
    claimed_since: u32,
    ended_since: InFlight,
    load: LoadReport,
    started_since: InFlight,
}

impl CorrectedReport {
    /// Requests of all entries that the report counts, running and waiting.
    fn total_reported(&self) -> u32 {
        self.load.running + self.load.waiting
    }

    fn add(&mut self, event: Event) {
        match event.kind {
            EventKind::Claim | EventKind::Reuse => *self.started_since.of_mut(event.class) += 1,
            EventKind::End => *self.ended_since.of_mut(event.class) += 1,
        }
        if event.kind == EventKind::Claim && event.class == Class::PatientDraft {
            self.claimed_since += 1;
        }
    }
}

/// A start or an end of one of this entry's requests.
#[derive(Clone, Copy, Debug)]
struct Event {
    at: ClockMs,
    class: Class,
    kind: EventKind,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum EventKind {
    /// A start on a slot that an own draft freed within [`FREED_SLOT_HOLD_MS`].
    Reuse,
    /// Any other start.
    Claim,
    End,
}

/// The number of entries that share the endpoints, and this entry's rank among them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EntryRank {
    /// Number of entries, this one included.
    pub count: u32,
    /// This entry's rank among them, from zero. No two entries have the same rank.
    pub rank: u32,
}

impl Default for EntryRank {
    fn default() -> Self {
        Self { count: 1, rank: 0 }
    }
}

impl EntryRank {
    /// This entry's share of the free slots of an endpoint; the shares of all entries add up to
    /// `free`. The hash of the endpoint decides which entries get the remainder of the division.
    fn share_of(self, free: u32, endpoint_hash: u64) -> u32 {
        let count = self.count.max(1);
        let first = mix(endpoint_hash, 0) % u64::from(count);
        let rank = (u64::from(self.rank) + first) % u64::from(count);
        free / count + u32::from(rank < u64::from(free % count))
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub(crate) cache: CacheView,
    pub(crate) description: EndpointDescription,
    pub(crate) hash: u64,
    pub(crate) in_flight: InFlight,
    /// Whether the agent can't be reached.
    pub(crate) is_unreachable: bool,
    /// Whether lookup entries use it, so that it reserves slots for each class.
    pub(crate) is_shared: bool,
    pub(crate) node: NodeId,
    /// Times at which own drafts freed slots that are not reused yet, oldest first.
    freed_at: VecDeque<ClockMs>,
    /// Own starts and ends, newest last. They correct the next load report, which describes an
    /// earlier time.
    recent: VecDeque<Event>,
    reported: Option<CorrectedReport>,
    pub(crate) slots: u32,
}

impl Endpoint {
    pub(crate) fn new(
        node: NodeId,
        description: EndpointDescription,
        config: &RouterConfig,
    ) -> Self {
        let slots = slots_of(&description, config);
        Self {
            cache: CacheView::default(),
            description,
            hash: hash_text(node.as_str()),
            in_flight: InFlight::default(),
            is_unreachable: false,
            is_shared: false,
            freed_at: VecDeque::new(),
            node,
            recent: VecDeque::new(),
            reported: None,
            slots,
        }
    }

    /// Applies a new description. If the incarnation changed, all that the former one reported is
    /// discarded.
    pub(crate) fn update(&mut self, description: EndpointDescription, config: &RouterConfig) {
        if description.incarnation != self.description.incarnation {
            self.cache = CacheView::default();
            self.is_unreachable = false;
            self.freed_at.clear();
            self.recent.clear();
            self.reported = None;
        }
        self.slots = slots_of(&description, config);
        self.description = description;
    }

    /// The targets that this endpoint serves.
    pub(crate) fn targets(&self) -> Vec<BackEndTarget> {
        match &self.description.kind {
            EndpointKind::Engine { loaded, .. } => {
                loaded.iter().cloned().map(BackEndTarget::Engine).collect()
            }
            EndpointKind::PlainService { service } => {
                vec![BackEndTarget::PlainService(service.clone())]
            }
        }
    }

    pub(crate) fn serves(&self, target: &BackEndTarget) -> bool {
        match (&self.description.kind, target) {
            (EndpointKind::Engine { loaded, .. }, BackEndTarget::Engine(model)) => {
                loaded.contains(model)
            }
            (EndpointKind::PlainService { service }, BackEndTarget::PlainService(wanted)) => {
                service == wanted
            }
            (EndpointKind::Engine { .. }, BackEndTarget::PlainService(_))
            | (EndpointKind::PlainService { .. }, BackEndTarget::Engine(_)) => false,
        }
    }

    /// Whether new work may be placed here, whatever its load.
    pub(crate) fn is_usable(&self, now: ClockMs) -> bool {
        !self.is_unreachable && !self.description.is_leaving && self.description.held_until <= now
    }

    pub(crate) fn begin(&mut self, now: ClockMs, class: Class) {
        *self.in_flight.of_mut(class) += 1;
        self.evict_freed(now);
        let is_reuse = class == Class::PatientDraft && self.freed_at.pop_front().is_some();
        let kind = if is_reuse {
            EventKind::Reuse
        } else {
            EventKind::Claim
        };
        self.note(now, class, kind);
    }

    pub(crate) fn end(&mut self, now: ClockMs, class: Class) {
        let count = self.in_flight.of_mut(class);
        *count = count.saturating_sub(1);
        self.evict_freed(now);
        if class == Class::PatientDraft {
            self.freed_at.push_back(now);
        }
        self.note(now, class, EventKind::End);
    }

    fn evict_freed(&mut self, now: ClockMs) {
        self.freed_at
            .retain(|freed_at| now.since(*freed_at) <= FREED_SLOT_HOLD_MS);
    }

    fn note(&mut self, at: ClockMs, class: Class, kind: EventKind) {
        let oldest = at.before(MAX_REPORT_LAG_MS);
        while self.recent.front().is_some_and(|event| event.at < oldest) {
            self.recent.pop_front();
        }
        let event = Event { at, class, kind };
        self.recent.push_back(event);
        if let Some(reported) = &mut self.reported {
            reported.add(event);
        }
    }

    /// Applies a load report; one that describes an earlier time than the last is ignored.
    pub(crate) fn report(&mut self, now: ClockMs, load: LoadReport) {
        let as_of = now.before(load.age_ms);
        if self.reported.is_some_and(|reported| reported.as_of > as_of) {
            return;
        }
        self.recent.retain(|event| event.at >= as_of);
        let mut reported = CorrectedReport {
            as_of,
            claimed_since: 0,
            ended_since: InFlight::default(),
            load,
            started_since: InFlight::default(),
        };
        for event in &self.recent {
            reported.add(*event);
        }
        self.reported = Some(reported);
    }

    /// Estimates the requests of all entries that compete with a new request of a class.
    ///
    /// A fresh load report counts the requests of all entries and is corrected by own starts and
    /// ends since. Without a fresh report, the other entries are assumed to have as many requests
    /// as this one. The engine starts lookups before waiting drafts, so for lookups only running
    /// requests count.
    pub(crate) fn estimate(
        &self,
        now: ClockMs,
        class: Class,
        stale_ms: u64,
        entry_rank: EntryRank,
    ) -> u32 {
        let own = self.in_flight.total();
        let Some(reported) = self.fresh_report(now, stale_ms) else {
            return own.saturating_mul(entry_rank.count.max(1));
        };
        match class {
            Class::InstantLookup => {
                let with_started = reported.load.running + reported.started_since.lookups;
                let remaining = with_started.saturating_sub(reported.ended_since.lookups);
                remaining.max(self.in_flight.lookups)
            }
            Class::PatientDraft => {
                let with_started = reported.total_reported() + reported.started_since.total();
                with_started
                    .saturating_sub(reported.ended_since.total())
                    .max(own)
            }
        }
    }

    fn fresh_report(&self, now: ClockMs, stale_ms: u64) -> Option<&CorrectedReport> {
        let reported = self.reported.as_ref()?;
        (now.since(reported.as_of) <= stale_ms).then_some(reported)
    }

    /// Slots in which this entry may start more requests of a class.
    pub(crate) fn free_slots(
        &self,
        now: ClockMs,
        class: Class,
        stale_ms: u64,
        entry_rank: EntryRank,
    ) -> u32 {
        let estimate = self.estimate(now, class, stale_ms, entry_rank);
        let reserved = self.reserved_slots();
        let lookups = self.in_flight.lookups.min(estimate);
        let drafts = estimate - lookups;
        match class {
            Class::InstantLookup => {
                let kept = reserved.saturating_sub(drafts);
                self.slots.saturating_sub(estimate + kept)
            }
            Class::PatientDraft => {
                let kept = reserved.saturating_sub(lookups);
                let free = self.slots.saturating_sub(estimate + kept);
                free.min(self.draft_allowance(now, kept, stale_ms, entry_rank))
            }
        }
    }

    /// Drafts that this entry may start before the next load report: its share of the slots
    /// reported free, and the slots that its own drafts freed. Without this limit, several entries
    /// would take the same free slot.
    fn draft_allowance(
        &self,
        now: ClockMs,
        kept: u32,
        stale_ms: u64,
        entry_rank: EntryRank,
    ) -> u32 {
        let Some(reported) = self.fresh_report(now, stale_ms) else {
            return u32::MAX;
        };
        let free = self.slots.saturating_sub(reported.total_reported() + kept);
        let claims = entry_rank
            .share_of(free, self.hash)
            .saturating_sub(reported.claimed_since);
        let reusable = self
            .freed_at
            .iter()
            .filter(|freed_at| now.since(**freed_at) <= FREED_SLOT_HOLD_MS);
        claims + u32::try_from(reusable.count()).unwrap_or(u32::MAX)
    }

    /// Slots that are not reserved for lookups.
    pub(crate) fn draft_slots(&self) -> u32 {
        self.slots - self.reserved_slots()
    }

    /// Slots that each class finds free of the other's requests, if both classes use the endpoint.
    fn reserved_slots(&self) -> u32 {
        match &self.description.kind {
            EndpointKind::Engine { .. } if self.is_shared => reserved_slots(self.slots),
            EndpointKind::Engine { .. } | EndpointKind::PlainService { .. } => 0,
        }
    }

    /// Estimated number of the prompt's tokens that are cached here.
    pub(crate) fn cached_tokens(&self, prefix: &[PrefixBlock]) -> u32 {
        for block in prefix.iter().rev() {
            match self.cache.presence(block.hash) {
                CachePresence::Yes => return block.tokens,
                CachePresence::Unknown if self.cache.is_listed(block.hash) => {
                    return block.tokens * UNCONFIRMED_CACHED_PERCENT / 100;
                }
                CachePresence::No | CachePresence::Unknown => {}
            }
        }
        0
    }

    /// Estimated requests divided by slots: zero when idle, one when full.
    pub(crate) fn load_ratio(&self, estimate: u32) -> f64 {
        to_float(u64::from(estimate)) / to_float(u64::from(self.slots.max(1)))
    }
}

fn slots_of(description: &EndpointDescription, config: &RouterConfig) -> u32 {
    match &description.kind {
        EndpointKind::Engine { slots, .. } => *slots,
        EndpointKind::PlainService { .. } => config.service_slots,
    }
}
