//! The endpoints that this entry may use, joined from what the control replicas tell and from
//! its own requests.

use std::net::SocketAddr;

use indexmap::IndexMap;
use masticsill_registry::{
    Announcement, EndpointId, EndpointIncarnation, EndpointLoad, EndpointRecord, EndpointState,
    JoinOutcome,
};
use masticsill_types::{ClockMs, NodeId, ZoneId};

use crate::endpoint::{Endpoint, OtherLoad};
use crate::health::Failure;

/// Endpoints of a zone that are at work when their common silence tells of the zone.
const WORKING_ENDPOINTS: usize = 2;
/// Silence of each of them: above the usual gap between events beside a long prompt (180 ms).
const STILL_MS: u64 = 250;
/// Incarnations that have ended and are still remembered.
const MAX_ENDED: usize = 512;

/// Prompts that are being read.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Reading {
    /// Those of all entries.
    pub(crate) all: u32,
    /// Those of this entry.
    pub(crate) own: u32,
}

/// All endpoints.
#[derive(Clone, Debug, Default)]
pub struct EndpointTable {
    endpoints: IndexMap<EndpointId, Endpoint>,
    last_order: u64,
    /// The newest life of each name.
    lives: IndexMap<String, EndpointIncarnation>,
    /// When the other entries' requests in each zone were told last.
    loads_told_at: IndexMap<ZoneId, ClockMs>,
}

impl EndpointTable {
    /// Joins what a control replica tells; returns ids whose state is another now, former lives
    /// that a newer one has ended included.
    pub fn merge(&mut self, from: &NodeId, records: &[EndpointRecord]) -> Vec<EndpointId> {
        let mut changed = Vec::new();
        for record in records {
            let id = &record.announcement.id;
            if self.is_outlived(id) {
                continue;
            }
            changed.extend(self.end_former_life(id));
            if self.merge_one(from, record) {
                changed.push(id.clone());
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
        known.note_word(from, record.is_silent);
        let state = known.announcement.state;
        match known.announcement.join(announcement) {
            JoinOutcome::Same => false,
            // A former life is not in the place of this one: lives are kept apart by their ids.
            JoinOutcome::Changed | JoinOutcome::Replaced => state != known.announcement.state,
        }
    }

    /// Whether a newer life of an incarnation's name is known: it has ended, and nothing that is
    /// still told of it counts.
    #[must_use]
    pub fn is_outlived(&self, id: &EndpointId) -> bool {
        let newest = self.lives.get(&id.name);
        newest.is_some_and(|newest| id.incarnation < *newest)
    }

    /// Notes a name's newest life, and ends the one that was known before; returns that.
    ///
    /// It stays in the table with what this entry still has there, so that nothing of it is counted
    /// at its successor.
    fn end_former_life(&mut self, newest: &EndpointId) -> Option<EndpointId> {
        let incarnation = self.lives.insert(newest.name.clone(), newest.incarnation)?;
        if incarnation == newest.incarnation {
            return None;
        }
        let former = EndpointId {
            incarnation,
            name: newest.name.clone(),
        };
        let endpoint = self.endpoints.get_mut(&former)?;
        endpoint.announcement.state = EndpointState::Gone;
        Some(former)
    }

    fn insert(&mut self, from: &NodeId, record: &EndpointRecord) {
        self.last_order += 1;
        let mut endpoint = Endpoint::new(record.announcement.clone(), self.last_order);
        endpoint.note_word(from, record.is_silent);
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
            let endpoints = &self.endpoints;
            let is_known = |name: &String, incarnation: EndpointIncarnation| {
                let name = name.clone();
                endpoints.contains_key(&EndpointId { incarnation, name })
            };
            self.lives
                .retain(|name, incarnation| is_known(name, *incarnation));
        }
    }

    /// This entry's requests at the endpoints of a zone, and which of those have just failed it.
    #[must_use]
    pub fn loads_in(&self, now: ClockMs, zone: &ZoneId) -> Vec<EndpointLoad> {
        let busy = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.announcement.zone == *zone)
            .filter(|(_, endpoint)| endpoint.is_used() || endpoint.health.is_held(now));
        let loads = busy.map(|(id, endpoint)| EndpointLoad {
            id: id.clone(),
            in_flight: endpoint.in_flight,
            reading: endpoint.reading,
            held_tokens: endpoint.held_tokens,
            is_failing: endpoint.health.is_held(now),
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

    /// Notes that nobody tells any more what the other entries have in a zone: what was told last
    /// counts as long past.
    pub fn forget_loads(&mut self, zone: &ZoneId) {
        self.loads_told_at.swap_remove(zone);
        let endpoints = self.endpoints.values_mut();
        for endpoint in endpoints.filter(|it| it.announcement.zone == *zone) {
            endpoint.forget_others();
        }
    }

    /// Takes what the other entries have at the endpoint of a place that was handed out here.
    pub fn take_place(&mut self, now: ClockMs, load: &EndpointLoad) {
        if let Some(endpoint) = self.endpoints.get_mut(&load.id) {
            endpoint.take_others(now, OtherLoad::from(load));
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
        self.of_service(service).map(|it| it.in_flight).sum()
    }

    /// Time of an answer, or of an event, at the middle one of a service's endpoints.
    pub(crate) fn usual_pace_ms(&self, service: &str) -> Option<f64> {
        self.middle_of(service, |it| it.health.pace_ms())
    }

    /// Prompts that the endpoints of a service read.
    pub(crate) fn reading(&self, now: ClockMs, service: &str) -> Reading {
        let mut reading = Reading::default();
        for endpoint in self.of_service(service) {
            reading.own += endpoint.reading;
            reading.all += endpoint.reading_total(now);
        }
        reading
    }

    /// Milliseconds that a token of a prompt takes at the middle one of a service's engines.
    pub(crate) fn usual_ms_per_token(&self, service: &str) -> Option<f64> {
        self.middle_of(service, |it| it.reading_pace.ms_per_token())
    }

    /// The middle one of what is known of a service's endpoints.
    fn middle_of(&self, service: &str, of: impl Fn(&Endpoint) -> Option<f64>) -> Option<f64> {
        let known = self.of_service(service).filter_map(of);
        let mut known: Vec<f64> = known.collect();
        known.sort_by(f64::total_cmp);
        known.get(known.len() / 2).copied()
    }

    fn of_service(&self, service: &str) -> impl Iterator<Item = &Endpoint> {
        let endpoints = self.endpoints.values();
        endpoints.filter(move |it| it.announcement.service == service)
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
