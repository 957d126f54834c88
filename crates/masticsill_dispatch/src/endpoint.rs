//! The state of one endpoint: its announcement, the health seen by requests, and its current load.

use indexmap::{IndexMap, IndexSet};
use masticsill_registry::{Announcement, EndpointLoad, EndpointState};
use masticsill_types::{ClockMs, NodeId};

use crate::capacity::FULL_BACKOFF_MS;
use crate::concurrency_limit::ConcurrencyLimit;
use crate::event_gaps::EventGaps;
use crate::health::Health;
use crate::reading::ReadingPace;
use crate::request_limit::RequestLimit;

/// How long another entry's report of prompts being read counts: by then a prompt has been read.
const OTHERS_READING_TTL_MS: u64 = 1_500;
/// How long another entry's report of a failure counts: endpoints recover.
const OTHERS_FAILURE_TTL_MS: u64 = 1_000;

/// The load of the other entries at an endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OtherLoad {
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests in flight whose prompts the endpoint still reads.
    pub reading: u32,
    /// Tokens that the requests hold in the KV cache, including copies of runs.
    pub held_tokens: u64,
    /// Whether the endpoint has just failed a request.
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

/// Whether an incarnation has the address that it announces.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum AddressState {
    /// No other incarnation is more likely to have it.
    #[default]
    Held,
    /// Another incarnation is more likely to have it, by the reports of the control replicas.
    Displaced,
    /// Another incarnation has answered there.
    Replaced,
}

impl AddressState {
    /// Name in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Held => "held",
            Self::Displaced => "displaced",
            Self::Replaced => "replaced",
        }
    }
}

/// How likely it is that an incarnation has its address, compared with the others there: the greatest
/// claim is the likeliest.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct AddressClaim {
    /// Whether its heartbeats are received.
    is_heard: bool,
    is_ready: bool,
    /// Order in which incarnations became known.
    order: u64,
}

/// One incarnation of an endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// What the endpoint announces about itself.
    pub announcement: Announcement,
    /// Whether the endpoint has the address that it announces.
    pub(crate) address_state: AddressState,
    /// The endpoint's health as seen by requests of this entry.
    pub health: Health,
    /// Limit of requests in flight from this entry, for a plain service.
    pub concurrency: ConcurrencyLimit,
    /// Gaps between the events of this entry's streams.
    pub(crate) event_gaps: EventGaps,
    /// When the endpoint may be used again after it has refused a request as full.
    full_until: Option<ClockMs>,
    /// Until when the endpoint has asked this entry to send nothing.
    resting_until: Option<ClockMs>,
    /// Tokens that requests of this entry hold in the KV cache, including copies of runs.
    pub held_tokens: u64,
    /// When this entry learned that work ended at the endpoint, which may have freed capacity.
    capacity_since: ClockMs,
    /// Requests in flight from this entry.
    pub in_flight: u32,
    /// Whether the work that ended last was this entry's own.
    is_freed_here: bool,
    /// Requests in flight from this entry whose prompts the endpoint still reads.
    pub reading: u32,
    /// How fast the endpoint reads prompts.
    pub reading_pace: ReadingPace,
    /// The limit of requests per second that the endpoint states.
    pub request_limit: RequestLimit,
    /// The load of the other entries, as a control replica reported it last.
    pub others: OtherLoad,
    /// When that load was reported.
    others_reported_at: Option<ClockMs>,
    /// Whether the endpoint has said in a response, here or to another entry, that it leaves.
    is_leaving: bool,
    /// Order in which incarnations became known.
    order: u64,
    /// The last report of each control replica: whether it takes the endpoint for silent.
    silence_reports: IndexMap<NodeId, bool>,
    /// Whether the endpoint counts as silent by these reports.
    is_silent: bool,
}

impl Endpoint {
    /// Creates an incarnation of which only its announcement is known.
    pub(crate) fn new(announcement: Announcement, order: u64) -> Self {
        Self {
            address_state: AddressState::default(),
            announcement,
            concurrency: ConcurrencyLimit::default(),
            event_gaps: EventGaps::default(),
            full_until: None,
            health: Health::default(),
            held_tokens: 0,
            in_flight: 0,
            is_freed_here: false,
            is_leaving: false,
            order,
            others: OtherLoad::default(),
            others_reported_at: None,
            reading: 0,
            reading_pace: ReadingPace::default(),
            request_limit: RequestLimit::default(),
            resting_until: None,
            capacity_since: ClockMs(0),
            is_silent: false,
            silence_reports: IndexMap::new(),
        }
    }

    /// Records whether a control replica reports the incarnation as silent. `answering` are the replicas
    /// that answer.
    pub(crate) fn note_liveness(
        &mut self,
        from: &NodeId,
        is_silent: bool,
        answering: &IndexSet<NodeId>,
    ) {
        self.silence_reports.insert(from.clone(), is_silent);
        self.update_silence(answering);
    }

    /// Decides anew whether the endpoint is silent.
    ///
    /// A replica that no longer answers can't take its report back. It counts only as long as no replica
    /// that answers has reported on the endpoint.
    pub(crate) fn update_silence(&mut self, answering: &IndexSet<NodeId>) {
        let is_current = |node: &NodeId| answering.contains(node);
        let has_current = self.silence_reports.keys().any(is_current);
        let mut reports = self.silence_reports.iter();
        self.is_silent =
            reports.any(|(node, is_silent)| *is_silent && (!has_current || is_current(node)));
    }

    /// Whether the endpoint accepts new requests, as far as is known.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_announced_ready() && self.address_state == AddressState::Held
    }

    /// Whether a request that needs this endpoint may be sent: the endpoint accepts new requests, or
    /// would if it still has the address that another incarnation is more likely to have. The request
    /// names the endpoint, and so shows which of them has.
    #[must_use]
    pub fn may_be_tried(&self) -> bool {
        let may_hold_address = match self.address_state {
            AddressState::Held => true,
            AddressState::Displaced => !self.is_silent(),
            AddressState::Replaced => false,
        };
        may_hold_address && self.is_announced_ready()
    }

    /// Whether the endpoint has said that it accepts new requests, and not since that it leaves.
    pub(crate) fn is_announced_ready(&self) -> bool {
        self.announcement.state == EndpointState::Ready && !self.is_leaving
    }

    /// How likely it is that the endpoint has its address, compared with other incarnations there.
    pub(crate) fn address_claim(&self) -> AddressClaim {
        let is_heard = !self.is_silent();
        AddressClaim {
            is_heard,
            // Of endpoints that are all silent, a former one must not succeed one that has ended.
            is_ready: is_heard && self.is_announced_ready(),
            order: self.order,
        }
    }

    /// Records that the endpoint has said in a response that it leaves. Unlike its state, that is
    /// never undone by a heartbeat, which may have been sent before. Returns whether it is news.
    pub(crate) fn note_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.is_leaving, true)
    }

    /// Whether other entries can't know from the endpoint's heartbeats yet that it leaves.
    pub(crate) fn is_leaving_unannounced(&self) -> bool {
        self.is_leaving && self.announcement.state == EndpointState::Ready
    }

    /// Whether the endpoint has the address that it announces, as far as is known.
    #[must_use]
    pub fn address_state(&self) -> AddressState {
        self.address_state
    }

    /// Whether another incarnation has answered at the endpoint's address.
    #[must_use]
    pub fn is_replaced(&self) -> bool {
        self.address_state == AddressState::Replaced
    }

    /// Whether requests of this entry or copies of their runs are at the endpoint.
    pub(crate) fn is_used(&self) -> bool {
        self.in_flight > 0 || self.held_tokens > 0
    }

    /// Prompts of all entries that the endpoint reads at `now`, as far as is known. An old report
    /// of other entries' prompts is ignored, since those have been read in the meantime.
    #[must_use]
    pub fn reading_total(&self, now: ClockMs) -> u32 {
        if self.others_age_ms(now) < OTHERS_READING_TTL_MS {
            self.reading + self.others.reading
        } else {
            self.reading
        }
    }

    /// Age of the last report of the other entries' load, in milliseconds; zero if there was none.
    #[must_use]
    pub fn others_age_ms(&self, now: ClockMs) -> u64 {
        self.others_reported_at.map_or(0, |at| now.since(at))
    }

    /// Whether the endpoint is avoided because an exchange of this or another entry has just
    /// failed.
    #[must_use]
    pub fn is_backing_off(&self, now: ClockMs) -> bool {
        self.is_reported_failing(now) || self.health.is_backing_off(now)
    }

    /// Whether another entry has just reported a failure of the endpoint.
    pub(crate) fn is_reported_failing(&self, now: ClockMs) -> bool {
        self.others.is_failing && self.others_age_ms(now) < OTHERS_FAILURE_TTL_MS
    }

    /// Whether requests of any entry are in flight there, as far as is known.
    pub(crate) fn is_at_work(&self) -> bool {
        self.in_flight + self.others.in_flight > 0
    }

    /// Records that the endpoint starts to read a prompt of this entry.
    pub fn begin_reading(&mut self) {
        self.reading += 1;
    }

    /// Records that the endpoint has read a prompt of this entry, or has stopped reading it.
    pub fn end_reading(&mut self, now: ClockMs) {
        self.reading = self.reading.saturating_sub(1);
        self.record_release(now);
    }

    /// Records that a request of this entry, or a copy of its run, has ended at the endpoint.
    pub fn record_release(&mut self, now: ClockMs) {
        self.full_until = None;
        self.is_freed_here = true;
        self.capacity_since = now;
    }

    /// Replaces the reported load of the other entries.
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

    /// Marks the reported load of the other entries as out of date.
    pub(crate) fn forget_others(&mut self) {
        self.others_reported_at = Some(ClockMs(0));
    }

    /// How long capacity at the endpoint has been known to this entry, in milliseconds.
    #[must_use]
    pub fn capacity_known_ms(&self, now: ClockMs) -> u64 {
        now.since(self.capacity_since)
    }

    /// Whether the capacity was freed by this entry's own work, of which no other entry knows yet.
    #[must_use]
    pub fn is_freed_here(&self) -> bool {
        self.is_freed_here
    }

    /// Records that the endpoint refused a request for lack of capacity.
    pub fn note_full(&mut self, now: ClockMs) {
        self.full_until = Some(now + FULL_BACKOFF_MS);
    }

    /// Whether the endpoint has just refused a request for lack of capacity.
    #[must_use]
    pub fn is_full(&self, now: ClockMs) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }

    /// Records that the endpoint asked for `rest_ms` milliseconds without requests of this entry.
    /// The end of other requests there doesn't shorten that time.
    pub fn note_rest(&mut self, now: ClockMs, rest_ms: u64) {
        self.resting_until = self.resting_until.max(Some(now + rest_ms));
    }

    /// Whether the endpoint has asked this entry to send nothing at present.
    #[must_use]
    pub fn is_resting(&self, now: ClockMs) -> bool {
        self.resting_until.is_some_and(|until| now < until)
    }

    /// Whether the endpoint accepts a request of this entry, by what it said of itself.
    #[must_use]
    pub fn accepts_requests(&self, now: ClockMs) -> bool {
        self.accepts_in_ms(now) == 0
    }

    /// Time in milliseconds until the endpoint accepts a request of this entry, by what it said of
    /// itself.
    pub(crate) fn accepts_in_ms(&self, now: ClockMs) -> u64 {
        let rest_ms = self.resting_until.map_or(0, |until| until.since(now));
        rest_ms.max(self.request_limit.next_turn_ms(now))
    }

    /// Whether the endpoint may have ended: it is reported as silent, or its address is more likely
    /// to belong to another incarnation.
    pub(crate) fn is_doubted(&self) -> bool {
        self.is_silent() || self.is_displaced()
    }

    /// Whether another incarnation is more likely to have the endpoint's address.
    pub(crate) fn is_displaced(&self) -> bool {
        self.address_state == AddressState::Displaced
    }

    /// Whether at least one control replica reports the endpoint as silent. Replicas that answer take
    /// precedence over others.
    #[must_use]
    pub fn is_silent(&self) -> bool {
        self.is_silent
    }
}
