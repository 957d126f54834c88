//! The endpoints that this entry may use, joined from what the control replicas tell and from
//! its own requests.

use std::net::SocketAddr;

use indexmap::IndexMap;
use masticsill_registry::{Announcement, EndpointId, EndpointLoad, EndpointRecord, EndpointState};
use masticsill_types::{ClockMs, NodeId, ZoneId};

use crate::gate::Gate;
use crate::health::{Failure, Health};
use crate::reading::ReadingPace;
use crate::room::FULL_MS;

/// Endpoints of a zone that are at work when their common silence tells of the zone.
const WORKING_ENDPOINTS: usize = 2;
/// Silence of each of them: above the usual gap between events beside a long prompt (180 ms).
const STILL_MS: u64 = 250;
/// Incarnations that have ended and are still remembered.
const MAX_ENDED: usize = 512;

/// Requests of the other entries at an endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OtherLoad {
    /// Requests that it works on.
    pub in_flight: u32,
    /// Those of them whose prompt it still reads.
    pub reading: u32,
    /// Tokens that they hold in its memory, copies included.
    pub held_tokens: u64,
}

impl From<&EndpointLoad> for OtherLoad {
    fn from(load: &EndpointLoad) -> Self {
        Self {
            in_flight: load.in_flight,
            reading: load.reading,
            held_tokens: load.held_tokens,
        }
    }
}

/// Prompts that are being read.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Reading {
    /// Those of all entries.
    pub(crate) all: u32,
    /// Those of this entry.
    pub(crate) own: u32,
}

/// One incarnation of an endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// What it says of itself.
    pub announcement: Announcement,
    /// What requests tell of it.
    pub health: Health,
    /// How many whole answers it makes at once for this entry.
    pub gate: Gate,
    /// Until when it takes nothing, as it said itself.
    full_until: Option<ClockMs>,
    /// Tokens that requests of this entry hold in its memory, copies included.
    pub held_tokens: u64,
    /// When it became known here that something ended there, which may have left room.
    room_since: ClockMs,
    /// Requests of this entry that it works on.
    pub in_flight: u32,
    /// Whether it was this entry's own work that ended there last.
    is_left_here: bool,
    /// Those of them whose prompt it still reads.
    pub reading: u32,
    /// How fast it reads prompts.
    pub reading_pace: ReadingPace,
    /// Requests of the other entries, as a control replica told last.
    pub others: OtherLoad,
    /// Whether an answer said that the address belongs to another incarnation.
    is_replaced: bool,
    /// Order in which incarnations became known; a later one of an address goes first.
    order: u64,
    /// Control replicas that have not heard it for long.
    silent_at: Vec<NodeId>,
}

impl Endpoint {
    /// Whether it takes new requests, as far as is known.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.announcement.state == EndpointState::Ready && !self.is_replaced
    }

    /// Whether requests of this entry, or copies of their runs, are there.
    fn is_used(&self) -> bool {
        self.in_flight > 0 || self.held_tokens > 0
    }

    /// Prompts of all entries that it reads, as far as is known.
    #[must_use]
    pub fn reading_total(&self) -> u32 {
        self.reading + self.others.reading
    }

    /// Notes that it reads a prompt of this entry.
    pub fn begin_reading(&mut self) {
        self.reading += 1;
    }

    /// Notes that it has read a prompt of this entry, or reads it no more.
    pub fn end_reading(&mut self, now: ClockMs) {
        self.reading = self.reading.saturating_sub(1);
        self.note_left(now);
    }

    /// Notes that a request of this entry, or a copy of its run, has ended there.
    pub fn note_left(&mut self, now: ClockMs) {
        self.full_until = None;
        self.is_left_here = true;
        self.room_since = now;
    }

    /// Takes what the other entries have there.
    fn take_others(&mut self, now: ClockMs, others: OtherLoad) {
        let is_less =
            others.reading < self.others.reading || others.held_tokens < self.others.held_tokens;
        let is_more =
            others.reading > self.others.reading || others.held_tokens > self.others.held_tokens;
        self.others = others;
        if is_less || is_more {
            self.is_left_here = false;
        }
        if is_less {
            self.room_since = now;
        }
    }

    /// For how long the room there has been known here.
    #[must_use]
    pub fn room_known_ms(&self, now: ClockMs) -> u64 {
        now.since(self.room_since)
    }

    /// Whether it was this entry's own work that left the room: nobody else knows of it yet.
    #[must_use]
    pub fn is_left_here(&self) -> bool {
        self.is_left_here
    }

    /// Notes that it refused a request for want of room.
    pub fn note_full(&mut self, now: ClockMs) {
        self.full_until = Some(now + FULL_MS);
    }

    /// Whether it has just refused for want of room.
    #[must_use]
    pub fn is_full(&self, now: ClockMs) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }

    /// Whether every control replica that knows it has not heard it for long.
    #[must_use]
    pub fn is_silent(&self) -> bool {
        !self.silent_at.is_empty()
    }
}

/// All endpoints.
#[derive(Clone, Debug, Default)]
pub struct EndpointTable {
    endpoints: IndexMap<EndpointId, Endpoint>,
    last_order: u64,
    /// When the other entries' requests in each zone were told last.
    loads_told_at: IndexMap<ZoneId, ClockMs>,
}

impl EndpointTable {
    /// Joins what a control replica tells; returns ids whose state is another now.
    pub fn merge(&mut self, from: &NodeId, records: &[EndpointRecord]) -> Vec<EndpointId> {
        let mut changed = Vec::new();
        for record in records {
            if self.merge_one(from, record) {
                changed.push(record.announcement.id.clone());
            }
        }
        self.drop_replaced();
        changed
    }

    fn merge_one(&mut self, from: &NodeId, record: &EndpointRecord) -> bool {
        let announcement = &record.announcement;
        let Some(known) = self.endpoints.get_mut(&announcement.id) else {
            self.insert(from, record);
            return true;
        };
        known.silent_at.retain(|node| node != from);
        if record.is_silent {
            known.silent_at.push(from.clone());
        }
        let state = known.announcement.state.max(announcement.state);
        let is_changed = state != known.announcement.state;
        if announcement.sequence > known.announcement.sequence {
            known.announcement = announcement.clone();
        }
        known.announcement.state = state;
        is_changed
    }

    fn insert(&mut self, from: &NodeId, record: &EndpointRecord) {
        self.last_order += 1;
        let endpoint = Endpoint {
            announcement: record.announcement.clone(),
            full_until: None,
            gate: Gate::default(),
            health: Health::default(),
            held_tokens: 0,
            room_since: ClockMs(0),
            in_flight: 0,
            is_left_here: false,
            reading: 0,
            reading_pace: ReadingPace::default(),
            others: OtherLoad::default(),
            is_replaced: false,
            order: self.last_order,
            silent_at: record.is_silent.then(|| from.clone()).into_iter().collect(),
        };
        let id = record.announcement.id.clone();
        self.endpoints.insert(id, endpoint);
    }

    /// A later incarnation at an address ends the earlier ones there.
    fn drop_replaced(&mut self) {
        let mut newest: IndexMap<SocketAddr, u64> = IndexMap::new();
        for endpoint in self.endpoints.values().filter(|it| it.is_ready()) {
            let order = newest.entry(endpoint.announcement.address).or_default();
            *order = endpoint.order.max(*order);
        }
        for endpoint in self.endpoints.values_mut() {
            let newest = newest.get(&endpoint.announcement.address);
            if newest.is_some_and(|newest| endpoint.order < *newest) {
                endpoint.is_replaced = true;
            }
        }
        let is_over = |it: &Endpoint| !it.is_ready() && it.in_flight == 0;
        // Endings are remembered while other control replicas may still tell of the life before.
        let over = self.endpoints.values().filter(|it| is_over(it)).count();
        if over > MAX_ENDED {
            let mut left_over = over - MAX_ENDED;
            self.endpoints.retain(|_, endpoint| {
                let is_dropped = left_over > 0 && is_over(endpoint);
                left_over -= usize::from(is_dropped);
                !is_dropped
            });
        }
    }

    /// This entry's requests at the endpoints of a zone.
    #[must_use]
    pub fn loads_in(&self, zone: &ZoneId) -> Vec<EndpointLoad> {
        let busy = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.is_used() && endpoint.announcement.zone == *zone);
        let loads = busy.map(|(id, endpoint)| EndpointLoad {
            id: id.clone(),
            in_flight: endpoint.in_flight,
            reading: endpoint.reading,
            held_tokens: endpoint.held_tokens,
        });
        loads.collect()
    }

    /// Age of what is known of the other entries' requests in a zone.
    #[must_use]
    pub fn loads_age_ms(&self, now: ClockMs, zone: &ZoneId) -> Option<u64> {
        let told_at = self.loads_told_at.get(zone)?;
        Some(now.since(*told_at))
    }

    /// Takes what the other entries have at the endpoints of a zone.
    pub fn take_loads(&mut self, now: ClockMs, zone: &ZoneId, loads: &[EndpointLoad]) {
        self.loads_told_at.insert(zone.clone(), now);
        let told: IndexMap<&EndpointId, &EndpointLoad> =
            loads.iter().map(|load| (&load.id, load)).collect();
        for endpoint in self.endpoints.values_mut() {
            if endpoint.announcement.zone == *zone {
                let load = told.get(&endpoint.announcement.id);
                let others = load.map(|load| OtherLoad::from(*load));
                endpoint.take_others(now, others.unwrap_or_default());
            }
        }
    }

    /// An incarnation.
    #[must_use]
    pub fn get(&self, id: &EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(id)
    }

    /// An incarnation, to note something about it.
    pub fn get_mut(&mut self, id: &EndpointId) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(id)
    }

    /// Requests of this entry that the endpoints of a service work on.
    pub(crate) fn own_in_flight(&self, service: &str) -> u32 {
        let of_service = self.endpoints.values();
        let of_service = of_service.filter(|it| it.announcement.service == service);
        of_service.map(|it| it.in_flight).sum()
    }

    /// Time of an answer, or of an event, at the middle one of a service's endpoints.
    pub(crate) fn usual_pace_ms(&self, service: &str) -> Option<f64> {
        let of_service = self.endpoints.values();
        let of_service = of_service.filter(|it| it.announcement.service == service);
        let known = of_service.filter_map(|it| it.health.pace_ms());
        let mut known: Vec<f64> = known.collect();
        known.sort_by(f64::total_cmp);
        known.get(known.len() / 2).copied()
    }

    /// Prompts that the endpoints of a service read.
    pub(crate) fn reading(&self, service: &str) -> Reading {
        let of_service = self.endpoints.values();
        let of_service = of_service.filter(|it| it.announcement.service == service);
        let mut reading = Reading::default();
        for endpoint in of_service {
            reading.own += endpoint.reading;
            reading.all += endpoint.reading_total();
        }
        reading
    }

    /// Milliseconds that a token of a prompt takes at the middle one of a service's engines.
    #[must_use]
    pub fn usual_ms_per_token(&self, service: &str) -> Option<f64> {
        let of_service = self.endpoints.values();
        let of_service = of_service.filter(|it| it.announcement.service == service);
        let known = of_service.filter_map(|it| it.reading_pace.ms_per_token());
        let mut known: Vec<f64> = known.collect();
        known.sort_by(f64::total_cmp);
        known.get(known.len() / 2).copied()
    }

    /// Every incarnation.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// Notes a failed exchange; returns whether the endpoint's whole zone is suspect now.
    pub fn note_failure(&mut self, now: ClockMs, id: &EndpointId, failure: Failure) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return false;
        };
        endpoint.health.note_failure(now);
        if failure == Failure::Replaced {
            endpoint.is_replaced = true;
        }
        let failed = endpoint.announcement.clone();
        failure == Failure::Stalled && self.is_zone_still(now, &failed)
    }

    /// Whether no endpoint of the zone and service says anything, though several are at work.
    ///
    /// One that does speaks for its neighbours: then a single endpoint is slow, not the zone down.
    fn is_zone_still(&self, now: ClockMs, failed: &Announcement) -> bool {
        let is_neighbour = |it: &&Endpoint| {
            it.announcement.service == failed.service
                && it.announcement.zone == failed.zone
                && it.in_flight > 0
        };
        let mut working = self.endpoints.values().filter(is_neighbour);
        let is_still = |it: &Endpoint| !it.health.is_heard_within(now, STILL_MS);
        let count = working.clone().count();
        count >= WORKING_ENDPOINTS && working.all(is_still)
    }
}
