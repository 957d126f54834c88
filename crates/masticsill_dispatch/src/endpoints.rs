//! The endpoints that this entry may use, merged from the reports of control replicas and the
//! results of this entry's requests.

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use masticsill_registry::{
    Announcement, EndpointId, EndpointIncarnation, EndpointLoad, EndpointRecord, EndpointState,
    JoinOutcome, RequestRate,
};
use masticsill_rollout::VersionFilter;
use masticsill_types::{ClockMs, NodeId, ZoneId};

use crate::endpoint::{AddressClaim, AddressState, Endpoint, OtherLoad};
use crate::event_gaps::EventGaps;
use crate::health::Failure;

/// Minimum number of busy endpoints of a zone that must all be silent for the zone to count as
/// stalled.
const MIN_BUSY_ENDPOINTS: usize = 2;
/// Minimum silence of each of them: longer than the usual gap between events beside a long prompt
/// (180 ms).
const ZONE_SILENCE_MS: u64 = 250;
/// Number of ended incarnations that are remembered.
const MAX_ENDED_INCARNATIONS: usize = 512;

/// Number of prompts being read.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Reading {
    /// Prompts of all entries.
    pub(crate) all: u32,
    /// Prompts of this entry.
    pub(crate) own: u32,
}

/// All known endpoints.
#[derive(Clone, Debug, Default)]
pub struct EndpointTable {
    /// Control replicas that answer.
    answering: IndexSet<NodeId>,
    endpoints: IndexMap<EndpointId, Endpoint>,
    /// Number of entries that share the endpoints' request limits; zero before it is known.
    entries: u32,
    /// Gaps between the events of all engines of a service.
    event_gaps: IndexMap<String, EventGaps>,
    last_order: u64,
    /// The newest incarnation of each name.
    newest_incarnations: IndexMap<String, EndpointIncarnation>,
    /// When the other entries' loads in each zone were last reported.
    loads_reported_at: IndexMap<ZoneId, ClockMs>,
}

impl EndpointTable {
    /// Merges the records of a control replica. Returns the ids whose state has changed, including
    /// those of previous incarnations that a newer one has ended, and those of incarnations that are
    /// no longer, or again, the likeliest to have their addresses.
    pub fn merge(&mut self, from: &NodeId, records: &[EndpointRecord]) -> Vec<EndpointId> {
        if self.answering.insert(from.clone()) {
            self.update_silence();
        }
        let mut changed = Vec::new();
        for record in records {
            let id = &record.announcement.id;
            if self.is_superseded(id) {
                continue;
            }
            changed.extend(self.end_previous_incarnation(id));
            if self.merge_one(from, record) {
                changed.push(id.clone());
            }
        }
        for id in self.update_displaced() {
            if !changed.contains(&id) {
                changed.push(id);
            }
        }
        self.prune();
        changed
    }

    /// Records that a control replica no longer answers. Returns the ids of incarnations that are no
    /// longer, or again, the likeliest to have their addresses.
    pub fn note_control_lost(&mut self, node: &NodeId) -> Vec<EndpointId> {
        if !self.answering.swap_remove(node) {
            return Vec::new();
        }
        self.update_silence();
        self.update_displaced()
    }

    fn update_silence(&mut self) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.update_silence(&self.answering);
        }
    }

    fn merge_one(&mut self, from: &NodeId, record: &EndpointRecord) -> bool {
        let announcement = &record.announcement;
        let Some(known) = self.endpoints.get_mut(&announcement.id) else {
            self.insert(from, record);
            return true;
        };
        known.note_liveness(from, record.is_silent, &self.answering);
        let state = known.announcement.state;
        let address = known.announcement.address;
        match known.announcement.join(announcement) {
            JoinOutcome::Same => false,
            // A previous incarnation is a separate table entry, since its id differs.
            JoinOutcome::Changed | JoinOutcome::Replaced => {
                if known.announcement.address != address {
                    // What answered at the former address says nothing of the new one.
                    known.address_state = AddressState::Held;
                }
                state != known.announcement.state
            }
        }
    }

    /// Whether a newer incarnation under the same name is known. The older one has ended, and late
    /// reports of it are ignored.
    #[must_use]
    pub fn is_superseded(&self, id: &EndpointId) -> bool {
        let newest = self.newest_incarnations.get(&id.name);
        newest.is_some_and(|newest| id.incarnation < *newest)
    }

    /// Records the newest incarnation of a name. Marks the previously known one as gone and returns
    /// its id.
    ///
    /// The previous incarnation stays in the table with the requests that this entry still has
    /// there, so that these aren't counted at its successor.
    fn end_previous_incarnation(&mut self, newest: &EndpointId) -> Option<EndpointId> {
        let incarnation = self
            .newest_incarnations
            .insert(newest.name.clone(), newest.incarnation)?;
        if incarnation == newest.incarnation {
            return None;
        }
        let previous = EndpointId {
            incarnation,
            name: newest.name.clone(),
        };
        let endpoint = self.endpoints.get_mut(&previous)?;
        endpoint.announcement.state = EndpointState::Gone;
        Some(previous)
    }

    fn insert(&mut self, from: &NodeId, record: &EndpointRecord) {
        self.last_order += 1;
        let mut endpoint = Endpoint::new(record.announcement.clone(), self.last_order);
        endpoint.note_liveness(from, record.is_silent, &self.answering);
        let id = record.announcement.id.clone();
        self.endpoints.insert(id, endpoint);
    }

    /// Marks the incarnations whose address another one is more likely to have.
    ///
    /// The order in which incarnations became known decides only where nothing else does: a control
    /// replica that restarted may report a former one last. An endpoint that answers for another
    /// incarnation ends the doubt. Returns the ids whose mark changed.
    fn update_displaced(&mut self) -> Vec<EndpointId> {
        let mut likeliest: IndexMap<SocketAddr, AddressClaim> = IndexMap::new();
        for endpoint in self.endpoints.values().filter(|it| !it.is_replaced()) {
            let claim = likeliest.entry(endpoint.announcement.address).or_default();
            *claim = endpoint.address_claim().max(*claim);
        }
        let endpoints = self.endpoints.values_mut();
        let mut changed = Vec::new();
        for endpoint in endpoints.filter(|it| !it.is_replaced()) {
            let likeliest = likeliest[&endpoint.announcement.address];
            let state = if endpoint.address_claim() < likeliest {
                AddressState::Displaced
            } else {
                AddressState::Held
            };
            if endpoint.address_state != state {
                endpoint.address_state = state;
                changed.push(endpoint.announcement.id.clone());
            }
        }
        changed
    }

    /// Drops the oldest ended incarnations.
    fn prune(&mut self) {
        let is_ended = |it: &Endpoint| !it.may_be_tried() && it.in_flight == 0;
        // Ended incarnations are remembered, since other control replicas may still report them as
        // ready.
        let ended = self.endpoints.values().filter(|it| is_ended(it)).count();
        if ended <= MAX_ENDED_INCARNATIONS {
            return;
        }
        let mut excess = ended - MAX_ENDED_INCARNATIONS;
        self.endpoints.retain(|_, endpoint| {
            let is_dropped = excess > 0 && is_ended(endpoint);
            excess -= usize::from(is_dropped);
            !is_dropped
        });
        let endpoints = &self.endpoints;
        let is_known = |name: &String, incarnation: EndpointIncarnation| {
            let name = name.clone();
            endpoints.contains_key(&EndpointId { incarnation, name })
        };
        self.newest_incarnations
            .retain(|name, incarnation| is_known(name, *incarnation));
    }

    /// This entry's load at each endpoint of a zone, and which of them have just failed it.
    #[must_use]
    pub fn loads_in(&self, now: ClockMs, zone: &ZoneId) -> Vec<EndpointLoad> {
        let of_zone = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.announcement.zone == *zone);
        let loads = of_zone.filter_map(|(id, endpoint)| {
            let is_failing = endpoint.health.is_backing_off(now);
            let is_leaving = endpoint.is_leaving_unannounced();
            let stated = endpoint.request_limit.statement(now);
            let is_reported = endpoint.is_used() || is_failing || is_leaving || stated.is_some();
            is_reported.then(|| EndpointLoad {
                id: id.clone(),
                in_flight: endpoint.in_flight,
                reading: endpoint.reading,
                held_tokens: endpoint.held_tokens,
                is_failing,
                is_leaving,
                stated,
            })
        });
        loads.collect()
    }

    /// Age of the last report of the other entries' loads in a zone, in milliseconds; none if there
    /// was no report.
    #[must_use]
    pub fn loads_age_ms(&self, now: ClockMs, zone: &ZoneId) -> Option<u64> {
        let reported_at = self.loads_reported_at.get(zone)?;
        Some(now.since(*reported_at))
    }

    /// Sets the number of entries that share the endpoints' request limits.
    pub fn set_entries(&mut self, now: ClockMs, entries: u32) {
        if self.entries == entries {
            return;
        }
        self.entries = entries;
        for endpoint in self.endpoints.values_mut() {
            endpoint.request_limit.set_entries(now, entries);
        }
    }

    /// Records what a response of an endpoint states about the requests that the endpoint accepts;
    /// the request was sent at `sent_at`. `phase`, from 0 to 1, decides when this entry's first turn
    /// is. Returns whether the limit changed.
    pub fn note_stated_limit(
        &mut self,
        now: ClockMs,
        id: &EndpointId,
        sent_at: ClockMs,
        rate: Option<RequestRate>,
        phase: f64,
    ) -> bool {
        let entries = self.entries;
        self.endpoints.get_mut(id).is_some_and(|endpoint| {
            let limit = &mut endpoint.request_limit;
            limit.note_response(now, sent_at, rate, entries, phase)
        })
    }

    /// Records that an endpoint has said in a response that it leaves. Returns whether it is news.
    pub fn note_leaving(&mut self, id: &EndpointId) -> bool {
        let endpoint = self.endpoints.get_mut(id);
        let is_news = endpoint.is_some_and(Endpoint::note_leaving);
        if is_news {
            self.update_displaced();
        }
        is_news
    }

    /// Records which endpoints have told other entries that they leave. Returns those of which it is
    /// news.
    pub fn note_leaving_reports(&mut self, loads: &[EndpointLoad]) -> Vec<EndpointId> {
        let leaving = loads.iter().filter(|load| load.is_leaving);
        let leaving = leaving.map(|load| load.id.clone());
        leaving.filter(|id| self.note_leaving(id)).collect()
    }

    /// Records what endpoints stated to other entries. Returns the endpoints whose limits changed.
    pub fn note_limit_reports(
        &mut self,
        now: ClockMs,
        loads: &[EndpointLoad],
        mut phase: impl FnMut() -> f64,
    ) -> Vec<EndpointId> {
        let mut changed = Vec::new();
        for load in loads {
            let Some(stated) = load.stated else { continue };
            let Some(endpoint) = self.endpoints.get_mut(&load.id) else {
                continue;
            };
            let limit = &mut endpoint.request_limit;
            if limit.note_report(now, stated, self.entries, phase()) {
                changed.push(load.id.clone());
            }
        }
        changed
    }

    /// Endpoints of a service, with their zones, at which a request could be sent now with a permit;
    /// none if any endpoint accepts it without one. Only endpoints of the given versions count.
    #[must_use]
    pub fn lacking_permits(
        &self,
        now: ClockMs,
        service: &str,
        versions: &VersionFilter,
        excluded: &[EndpointId],
    ) -> Vec<(ZoneId, EndpointId)> {
        let is_candidate = |it: &&Endpoint| {
            let is_excluded = excluded.contains(&it.announcement.id);
            it.is_ready() && !is_excluded && versions.allows(&it.announcement.version)
        };
        let mut candidates = self.of_service(service).filter(is_candidate);
        if candidates.any(|it| it.accepts_requests(now)) {
            return Vec::new();
        }
        let candidates = self.of_service(service).filter(is_candidate);
        let lacking = candidates.filter(|it| {
            let is_live = !it.is_silent() && !it.is_resting(now);
            is_live && it.request_limit.may_ask_permit(now)
        });
        let lacking = lacking.map(|it| &it.announcement);
        lacking.map(|it| (it.zone.clone(), it.id.clone())).collect()
    }

    /// Estimated wait of a request with `ahead` requests before it until an endpoint of the service
    /// accepts it, in milliseconds, by what the endpoints said of themselves.
    ///
    /// Requests of this entry are accepted at the rate of its turns where endpoints state limits, and
    /// all at once where an endpoint has only asked for rest.
    pub(crate) fn acceptance_wait_ms(&self, now: ClockMs, service: &str, ahead: usize) -> u64 {
        let ready = || self.of_service(service).filter(|it| it.is_ready());
        let soonest_ms = |is_limited: bool| {
            let alike = ready().filter(|it| it.request_limit.rate().is_some() == is_limited);
            alike.map(|it| it.accepts_in_ms(now)).min()
        };
        let unlimited_ms = soonest_ms(false);
        let limited_ms = soonest_ms(true).map(|first_ms| {
            let turns_per_s = ready().filter_map(|it| it.request_limit.turns_per_s());
            // Counts and times are far below the precision of the types.
            #[allow(
                clippy::cast_possible_truncation,
                clippy::cast_precision_loss,
                clippy::cast_sign_loss
            )]
            let ahead_ms = (ahead as f64 * 1_000.0 / turns_per_s.sum::<f64>()) as u64;
            first_ms.saturating_add(ahead_ms)
        });
        let waits_ms = [unlimited_ms, limited_ms].into_iter().flatten();
        waits_ms.min().unwrap_or(0)
    }

    /// Replaces the reported loads of the other entries at all endpoints of a zone.
    pub fn update_loads(&mut self, now: ClockMs, zone: &ZoneId, loads: &[EndpointLoad]) {
        self.loads_reported_at.insert(zone.clone(), now);
        let reported: IndexMap<&EndpointId, &EndpointLoad> =
            loads.iter().map(|load| (&load.id, load)).collect();
        for endpoint in self.endpoints.values_mut() {
            if endpoint.announcement.zone == *zone {
                let load = reported.get(&endpoint.announcement.id);
                let others = load.map(|load| OtherLoad::from(*load));
                endpoint.update_others(now, others.unwrap_or_default());
            }
        }
    }

    /// Marks the loads of the other entries in a zone as out of date, because no control replica
    /// reports them any more.
    pub fn forget_loads(&mut self, zone: &ZoneId) {
        self.loads_reported_at.swap_remove(zone);
        let endpoints = self.endpoints.values_mut();
        for endpoint in endpoints.filter(|it| it.announcement.zone == *zone) {
            endpoint.forget_others();
        }
    }

    /// Replaces the reported load of the other entries at the endpoint where capacity was reserved.
    pub fn update_load(&mut self, now: ClockMs, load: &EndpointLoad) {
        if let Some(endpoint) = self.endpoints.get_mut(&load.id) {
            endpoint.update_others(now, OtherLoad::from(load));
        }
    }

    /// Returns an incarnation.
    #[must_use]
    pub fn get(&self, id: &EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(id)
    }

    /// Returns an incarnation for changes.
    pub fn get_mut(&mut self, id: &EndpointId) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(id)
    }

    /// Whether a service has an endpoint of the given versions that is registered as ready and not
    /// among the excluded ones. One that may have lost its address counts until it is known to.
    #[must_use]
    pub fn has_ready(
        &self,
        service: &str,
        versions: &VersionFilter,
        excluded: &[EndpointId],
    ) -> bool {
        let mut ready = self.of_service(service).filter(|it| it.may_be_tried());
        ready.any(|it| {
            let announcement = &it.announcement;
            versions.allows(&announcement.version) && !excluded.contains(&announcement.id)
        })
    }

    /// Requests in flight from this entry at all endpoints of a service.
    pub(crate) fn own_in_flight(&self, service: &str) -> u32 {
        self.of_service(service).map(|it| it.in_flight).sum()
    }

    /// Median time of an answer, or of an event, across the endpoints of a service, in
    /// milliseconds.
    pub(crate) fn median_pace_ms(&self, service: &str) -> Option<f64> {
        self.median_of(service, |it| it.health.pace_ms())
    }

    /// Prompts being read at the endpoints of a service.
    pub(crate) fn reading(&self, now: ClockMs, service: &str) -> Reading {
        let mut reading = Reading::default();
        for endpoint in self.of_service(service) {
            reading.own += endpoint.reading;
            reading.all += endpoint.reading_total(now);
        }
        reading
    }

    /// Median time per prompt token across the engines of a service, in milliseconds.
    pub(crate) fn median_ms_per_token(&self, service: &str) -> Option<f64> {
        self.median_of(service, |it| it.reading_pace.ms_per_token())
    }

    /// Median of the known values across the endpoints of a service.
    fn median_of(&self, service: &str, of: impl Fn(&Endpoint) -> Option<f64>) -> Option<f64> {
        let known = self.of_service(service).filter_map(of);
        let mut known: Vec<f64> = known.collect();
        known.sort_by(f64::total_cmp);
        known.get(known.len() / 2).copied()
    }

    fn of_service(&self, service: &str) -> impl Iterator<Item = &Endpoint> {
        let endpoints = self.endpoints.values();
        endpoints.filter(move |it| it.announcement.service == service)
    }

    /// Iterates over all known incarnations.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// Records a gap between two events of a stream at an engine, or the silence with which a run
    /// was left although its engine was alive: the gap would have been at least as long.
    pub fn note_event_gap(&mut self, now: ClockMs, id: &EndpointId, gap_ms: u64) {
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        let is_prefilling = endpoint.reading_total(now) > 0;
        endpoint.event_gaps.note(now, gap_ms, is_prefilling);
        let service = &endpoint.announcement.service;
        if let Some(gaps) = self.event_gaps.get_mut(service) {
            gaps.note(now, gap_ms, is_prefilling);
        } else {
            let gaps = self.event_gaps.entry(service.clone()).or_default();
            gaps.note(now, gap_ms, is_prefilling);
        }
    }

    /// The longest usual gap between events of an engine, in milliseconds. It is at least that of all
    /// engines of its service, since this entry sees only some of each engine's gaps.
    #[must_use]
    pub fn longest_usual_gap_ms(&self, now: ClockMs, id: &EndpointId) -> Option<u64> {
        let endpoint = self.endpoints.get(id)?;
        let own_ms = endpoint.event_gaps.longest_usual_ms(now);
        let of_service = self.event_gaps.get(&endpoint.announcement.service);
        own_ms.max(of_service.and_then(|it| it.longest_usual_ms(now)))
    }

    /// Records a failed exchange. Returns true if the endpoint's whole zone appears to be stalled.
    pub fn note_failure(&mut self, now: ClockMs, id: &EndpointId, failure: Failure) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return false;
        };
        endpoint.health.note_failure(now);
        let failed = endpoint.announcement.clone();
        if failure == Failure::Replaced {
            endpoint.address_state = AddressState::Replaced;
            self.update_displaced();
        }
        failure == Failure::Stalled && self.is_zone_stalled(now, &failed)
    }

    /// Whether all busy endpoints of the zone and service are silent, and there are several of
    /// them.
    ///
    /// If any of them still sends, a single endpoint is slow and the zone is not down.
    #[must_use]
    pub fn is_zone_stalled(&self, now: ClockMs, failed: &Announcement) -> bool {
        let is_busy_neighbor = |it: &&Endpoint| {
            it.announcement.service == failed.service
                && it.announcement.zone == failed.zone
                && it.in_flight > 0
        };
        let mut busy = self.endpoints.values().filter(is_busy_neighbor);
        let is_stalled = |it: &Endpoint| !it.health.is_heard_within(now, ZONE_SILENCE_MS);
        let count = busy.clone().count();
        count >= MIN_BUSY_ENDPOINTS && busy.all(is_stalled)
    }
}
