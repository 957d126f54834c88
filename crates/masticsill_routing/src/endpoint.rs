//! One endpoint as this entry sees it.

use std::collections::VecDeque;

use masticsill_types::{Class, ClockMs, EndpointKind, Incarnation, LoadReport, NodeId, ZoneId};

use crate::cache_view::{CacheView, Cached};
use crate::config::RouterConfig;
use crate::number::{hash_text, to_float};
use crate::request::{BackEndTarget, PrefixBlock};

/// Parts of an engine's slots that one class always finds free of the other.
const RESERVED_PART: u32 = 8;
/// What a likely prefix is worth, in hundredths of a known one.
const LIKELY_PERCENT: u32 = 60;
/// Reports that lag more than this are not corrected by what was done since.
const LONGEST_LAG_MS: u64 = 10_000;

/// An endpoint as membership describes it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointDescription {
    /// Held back until then, because it died often lately.
    pub held_until: ClockMs,
    /// The agent's life.
    pub incarnation: Incarnation,
    /// Whether it takes nothing new.
    pub is_leaving: bool,
    /// What stands behind the agent.
    pub kind: EndpointKind,
    /// Its availability zone.
    pub zone: ZoneId,
}

/// Requests of this entry by class.
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

/// A load report and what this entry did since it was true.
#[derive(Clone, Copy, Debug)]
struct Reported {
    as_of: ClockMs,
    ended_since: u32,
    load: LoadReport,
    started_since: u32,
}

#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub(crate) cache: CacheView,
    pub(crate) description: EndpointDescription,
    pub(crate) hash: u64,
    pub(crate) in_flight: InFlight,
    /// Whether the agent could not be reached.
    pub(crate) is_down: bool,
    pub(crate) node: NodeId,
    /// Own starts and ends, newest last, to be counted against a report that is late.
    recent: VecDeque<(ClockMs, bool)>,
    reported: Option<Reported>,
    pub(crate) slots: u32,
}

impl Endpoint {
    pub(crate) fn new(
        node: NodeId,
        description: EndpointDescription,
        config: &RouterConfig,
    ) -> Self {
        let slots = count_slots(&description, config);
        Self {
            cache: CacheView::default(),
            description,
            hash: hash_text(node.as_str()),
            in_flight: InFlight::default(),
            is_down: false,
            node,
            recent: VecDeque::new(),
            reported: None,
            slots,
        }
    }

    /// Takes a new description. A new life forgets what the old one reported.
    pub(crate) fn describe(&mut self, description: EndpointDescription, config: &RouterConfig) {
        if description.incarnation != self.description.incarnation {
            self.cache = CacheView::default();
            self.is_down = false;
            self.recent.clear();
            self.reported = None;
        }
        self.slots = count_slots(&description, config);
        self.description = description;
    }

    /// What requests can find here.
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

    /// Whether it may be given new work at all.
    pub(crate) fn is_usable(&self, now: ClockMs) -> bool {
        !self.is_down && !self.description.is_leaving && self.description.held_until <= now
    }

    pub(crate) fn begin(&mut self, now: ClockMs, class: Class) {
        *self.in_flight.of_mut(class) += 1;
        self.note(now, true);
        if let Some(reported) = &mut self.reported {
            reported.started_since += 1;
        }
    }

    pub(crate) fn end(&mut self, now: ClockMs, class: Class) {
        let count = self.in_flight.of_mut(class);
        *count = count.saturating_sub(1);
        self.note(now, false);
        if let Some(reported) = &mut self.reported {
            reported.ended_since += 1;
        }
    }

    fn note(&mut self, now: ClockMs, is_start: bool) {
        let oldest = now.before(LONGEST_LAG_MS);
        while self.recent.front().is_some_and(|(at, _)| *at < oldest) {
            self.recent.pop_front();
        }
        self.recent.push_back((now, is_start));
    }

    /// Takes a report; one that is older than the last says nothing new.
    pub(crate) fn report(&mut self, now: ClockMs, load: LoadReport) {
        let as_of = now.before(load.age_ms);
        if self.reported.is_some_and(|reported| reported.as_of > as_of) {
            return;
        }
        self.recent.retain(|(at, _)| *at >= as_of);
        let count = |is_start: bool| {
            let events = self.recent.iter().filter(|(_, start)| *start == is_start);
            u32::try_from(events.count()).unwrap_or(u32::MAX)
        };
        self.reported = Some(Reported {
            as_of,
            ended_since: count(false),
            load,
            started_since: count(true),
        });
    }

    /// Requests at the endpoint, all entries together, as well as can be told.
    ///
    /// A fresh report counts everybody; own starts and ends since are added. Without one, the
    /// other entries are taken to do as much as this one.
    pub(crate) fn estimate(&self, now: ClockMs, stale_ms: u64, entries: u32) -> u32 {
        let own = self.in_flight.total();
        match &self.reported {
            Some(reported) if now.since(reported.as_of) <= stale_ms => {
                let counted = reported.load.running + reported.load.waiting;
                let moved = counted + reported.started_since;
                moved.saturating_sub(reported.ended_since).max(own)
            }
            Some(_) | None => own.saturating_mul(entries.max(1)),
        }
    }

    /// Slots that a class may still use, given the requests at the endpoint.
    pub(crate) fn free_slots(&self, class: Class, estimate: u32) -> u32 {
        let reserved = self.reserved_slots();
        let lookups = self.in_flight.lookups.min(estimate);
        let drafts = estimate - lookups;
        let kept = match class {
            Class::InstantLookup => reserved.saturating_sub(drafts),
            Class::PatientDraft => reserved.saturating_sub(lookups),
        };
        self.slots.saturating_sub(estimate).saturating_sub(kept)
    }

    /// Slots beside those kept for lookups.
    pub(crate) fn draft_slots(&self) -> u32 {
        self.slots - self.reserved_slots()
    }

    /// Slots that each class always finds free of the other; none where there is but one.
    fn reserved_slots(&self) -> u32 {
        match &self.description.kind {
            EndpointKind::Engine { .. } if self.slots > 1 => (self.slots / RESERVED_PART).max(1),
            EndpointKind::Engine { .. } | EndpointKind::PlainService { .. } => 0,
        }
    }

    /// Tokens of a prompt that are expected to be cached here.
    pub(crate) fn cached_tokens(&self, prefix: &[PrefixBlock]) -> u32 {
        for block in prefix.iter().rev() {
            match self.cache.holds(block.hash) {
                Cached::Yes => return block.tokens,
                Cached::Unknown if self.cache.has_seen(block.hash) => {
                    return block.tokens * LIKELY_PERCENT / 100;
                }
                Cached::No | Cached::Unknown => {}
            }
        }
        0
    }

    /// The part of the slots in use, from zero.
    pub(crate) fn load_ratio(&self, estimate: u32) -> f64 {
        to_float(u64::from(estimate)) / to_float(u64::from(self.slots.max(1)))
    }
}

fn count_slots(description: &EndpointDescription, config: &RouterConfig) -> u32 {
    match &description.kind {
        EndpointKind::Engine { slots, .. } => *slots,
        EndpointKind::PlainService { .. } => config.service_slots,
    }
}
