//! The endpoints that this entry may use, joined from what the control replicas tell and from
//! its own requests.

use std::net::SocketAddr;

use indexmap::IndexMap;
use masticsill_registry::{Announcement, EndpointId, EndpointLoad, EndpointRecord, EndpointState};
use masticsill_types::{ClockMs, NodeId, ZoneId};

use crate::health::{Failure, Health};

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
}

/// One incarnation of an endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// What it says of itself.
    pub announcement: Announcement,
    /// What requests tell of it.
    pub health: Health,
    /// Requests of this entry that it works on.
    pub in_flight: u32,
    /// Those of them whose prompt it still reads.
    pub reading: u32,
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
            health: Health::default(),
            in_flight: 0,
            reading: 0,
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
            .filter(|(_, endpoint)| endpoint.in_flight > 0 && endpoint.announcement.zone == *zone);
        let loads = busy.map(|(id, endpoint)| EndpointLoad {
            id: id.clone(),
            in_flight: endpoint.in_flight,
            reading: endpoint.reading,
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
        for endpoint in self.endpoints.values_mut() {
            if endpoint.announcement.zone == *zone {
                endpoint.others = OtherLoad::default();
            }
        }
        for load in loads {
            if let Some(endpoint) = self.endpoints.get_mut(&load.id) {
                endpoint.others = OtherLoad {
                    in_flight: load.in_flight,
                    reading: load.reading,
                };
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
