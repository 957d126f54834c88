//! The processes that poll a registry, and the loads that they report.

use indexmap::IndexMap;
use masticsill_types::{ClockMs, NodeId, ZoneId};
use serde::{Deserialize, Serialize};

use crate::id::EndpointId;
use crate::permits::RequestPermits;
use crate::rate::{LimitStatement, RequestRate};
use crate::reservations::{EngineReservationRequest, EngineReservations};

/// A watcher that has not polled for this long counts as gone: twice the usual wait of a poll, and
/// the time for an answer.
const WATCHER_TIMEOUT_MS: u64 = 2_500;

/// How long a statement without a limit is remembered, so that an older one with a limit doesn't
/// replace it.
const LIFTED_RETENTION_MS: u64 = 10_000;
/// How long a stated limit is passed on to entries that have not heard of it.
const LIMIT_RETENTION_MS: u64 = 600_000;

/// A process that polls a registry.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Watcher {
    /// An entry.
    Entry {
        /// The entry's node.
        node: NodeId,
        /// Its availability zone.
        zone: ZoneId,
    },
    /// Another control replica, which also gets the ages of the heartbeats that this one received.
    Replica(NodeId),
}

/// The requests of one watcher at one endpoint, or a sum over watchers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointLoad {
    /// The endpoint.
    pub id: EndpointId,
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests in flight whose prompt it is still processing.
    pub reading: u32,
    /// Tokens held in its memory, by requests in flight there and by copies of requests that run at
    /// other engines.
    pub held_tokens: u64,
    /// Whether it has just failed the watcher, so that no new requests are sent to it.
    pub is_failing: bool,
    /// Whether it has said in a response that it leaves, and not yet in a heartbeat.
    pub is_leaving: bool,
    /// What the endpoint stated last about the requests that it accepts, if that is recent.
    pub stated: Option<LimitStatement>,
}

impl EndpointLoad {
    /// The load of an endpoint without requests.
    #[must_use]
    pub fn none(id: EndpointId) -> Self {
        Self {
            held_tokens: 0,
            id,
            in_flight: 0,
            is_failing: false,
            is_leaving: false,
            reading: 0,
            stated: None,
        }
    }

    fn add(&mut self, other: &Self) {
        self.held_tokens = self.held_tokens.saturating_add(other.held_tokens);
        self.in_flight = self.in_flight.saturating_add(other.in_flight);
        self.is_failing |= other.is_failing;
        self.is_leaving |= other.is_leaving;
        self.reading = self.reading.saturating_add(other.reading);
    }
}

/// The revision that a watcher has acknowledged, and the loads that it reported.
#[derive(Clone, Debug)]
struct WatcherState {
    polled_at: ClockMs,
    loads: Vec<EndpointLoad>,
    /// Revision of the loads at which this watcher's loads last changed.
    loads_revision: u64,
    /// Revision of the registry that the watcher has acknowledged.
    revision: u64,
}

/// The watchers of one registry.
#[derive(Clone, Debug, Default)]
pub struct WatcherTable {
    loads_revision: u64,
    permits: RequestPermits,
    reservations: EngineReservations,
    /// What endpoints stated last, and since when it applies.
    stated: IndexMap<EndpointId, (Option<RequestRate>, ClockMs)>,
    watchers: IndexMap<Watcher, WatcherState>,
}

impl WatcherTable {
    /// Records a poll of a watcher with the registry revision that it has acknowledged and its
    /// loads, and evicts watchers that are gone.
    pub fn record_poll(
        &mut self,
        now: ClockMs,
        watcher: &Watcher,
        revision: u64,
        loads: &[EndpointLoad],
    ) -> LoadsChange {
        self.watchers
            .retain(|_, state| now.since(state.polled_at) < WATCHER_TIMEOUT_MS);
        let state = self
            .watchers
            .entry(watcher.clone())
            .or_insert(WatcherState {
                polled_at: now,
                loads: Vec::new(),
                loads_revision: 0,
                revision,
            });
        state.polled_at = now;
        state.revision = revision;
        self.take_loads(now, watcher, loads)
    }

    /// Replaces the loads of a watcher. Those of a watcher that has not polled yet are ignored: its
    /// first poll contains them.
    pub fn take_loads(
        &mut self,
        now: ClockMs,
        watcher: &Watcher,
        loads: &[EndpointLoad],
    ) -> LoadsChange {
        if !self.watchers.contains_key(watcher) {
            return LoadsChange::None;
        }
        let is_limit_changed = self.take_statements(now, loads);
        // The age of a statement differs in each report.
        let loads = loads.iter().cloned().map(|load| EndpointLoad {
            stated: None,
            ..load
        });
        let loads: Vec<EndpointLoad> = loads.collect();
        let state = &mut self.watchers[watcher];
        if state.loads == loads && !is_limit_changed {
            return LoadsChange::None;
        }
        self.reservations
            .apply_loads(now, watcher, &state.loads, &loads);
        self.loads_revision += 1;
        state.loads = loads;
        state.loads_revision = self.loads_revision;
        LoadsChange::Changed
    }

    /// Keeps the newest statement of each endpoint. Returns whether any limit changed.
    fn take_statements(&mut self, now: ClockMs, loads: &[EndpointLoad]) -> bool {
        self.stated.retain(|_, (rate, applies_from)| {
            let retention_ms = match rate {
                Some(_) => LIMIT_RETENTION_MS,
                None => LIFTED_RETENTION_MS,
            };
            now.since(*applies_from) < retention_ms
        });
        let mut is_changed = false;
        for load in loads {
            let Some(stated) = load.stated else { continue };
            let applies_from = now.before(stated.age_ms);
            let known = self.stated.get(&load.id);
            if known.is_none_or(|(_, known_from)| applies_from > *known_from) {
                is_changed |= known.map(|(rate, _)| *rate) != Some(stated.rate);
                self.stated
                    .insert(load.id.clone(), (stated.rate, applies_from));
            }
        }
        is_changed
    }

    /// The revision of the last change of any watcher's loads.
    #[must_use]
    pub fn loads_revision(&self) -> u64 {
        self.loads_revision
    }

    /// Whether the loads of any other watcher changed after a revision of the loads.
    #[must_use]
    pub fn have_other_loads_changed(&self, watcher: &Watcher, loads_revision: u64) -> bool {
        let others = self.watchers.iter().filter(|(other, _)| *other != watcher);
        others
            .into_iter()
            .any(|(_, state)| state.loads_revision > loads_revision)
    }

    /// Sums of the loads that the other watchers reported, by endpoint, and what endpoints stated
    /// last to any watcher.
    #[must_use]
    pub fn loads_of_others(&self, now: ClockMs, watcher: &Watcher) -> Vec<EndpointLoad> {
        let mut sums = self.sum_loads(now, |other| other != watcher);
        for (id, (rate, applies_from)) in &self.stated {
            let sum = sums.entry(id.clone());
            let sum = sum.or_insert_with(|| EndpointLoad::none(id.clone()));
            sum.stated = Some(LimitStatement {
                age_ms: now.since(*applies_from),
                rate: *rate,
            });
        }
        sums.into_values().collect()
    }

    /// Reserves one of the engines for an entry. Returns the engine with the sum of the other
    /// watchers' loads there; `None` if no engine can be reserved.
    pub fn reserve_engine(
        &mut self,
        now: ClockMs,
        request: &EngineReservationRequest,
        engines: &[&EndpointId],
    ) -> Option<EndpointLoad> {
        let loads = self.sum_loads(now, |_| true);
        let reserved = self.reservations.reserve(now, request, engines, &loads)?;
        let mut others = self.sum_loads(now, |other| *other != request.watcher);
        let load = others.swap_remove(&reserved);
        Some(load.unwrap_or_else(|| EndpointLoad::none(reserved)))
    }

    /// Grants an entry one request at one of the endpoints, which state limits; `None` if none of
    /// them accepts more at present, or none is known to state a limit.
    pub fn grant_request(&mut self, now: ClockMs, endpoints: &[EndpointId]) -> Option<EndpointId> {
        let stated = &self.stated;
        let permits = &mut self.permits;
        let granted = endpoints.iter().find(|id| {
            let rate = stated.get(*id).and_then(|(rate, _)| *rate);
            rate.is_some_and(|rate| permits.grant(now, id, rate))
        });
        granted.cloned()
    }

    fn sum_loads(
        &self,
        now: ClockMs,
        is_counted: impl Fn(&Watcher) -> bool,
    ) -> IndexMap<EndpointId, EndpointLoad> {
        let is_counted = |(watcher, state): &(&Watcher, &WatcherState)| {
            is_counted(watcher) && now.since(state.polled_at) < WATCHER_TIMEOUT_MS
        };
        let counted = self.watchers.iter().filter(is_counted);
        let mut sums: IndexMap<EndpointId, EndpointLoad> = IndexMap::new();
        for load in counted.flat_map(|(_, state)| &state.loads) {
            let sum = sums.entry(load.id.clone());
            sum.or_insert_with(|| EndpointLoad::none(load.id.clone()))
                .add(load);
        }
        sums
    }

    /// The number of entries that poll, and the sorted names of those in the watcher's zone. The
    /// names are empty if the watcher is a control replica.
    #[must_use]
    pub fn entries(&self, watcher: &Watcher) -> (u32, Vec<NodeId>) {
        let entries = self.watchers.keys().filter_map(|watcher| match watcher {
            Watcher::Entry { node, zone } => Some((node, zone)),
            Watcher::Replica(_) => None,
        });
        let count = u32::try_from(entries.clone().count()).unwrap_or(u32::MAX);
        let Watcher::Entry { zone: near, .. } = watcher else {
            return (count, Vec::new());
        };
        let nearby = entries.filter(|(_, zone)| *zone == near);
        let mut nearby: Vec<NodeId> = nearby.map(|(node, _)| node.clone()).collect();
        nearby.sort();
        (count, nearby)
    }

    /// Number of known watchers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.watchers.len()
    }

    /// Whether there are no watchers.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.watchers.is_empty()
    }

    /// Whether every watcher that still polls has acknowledged a revision of the registry.
    #[must_use]
    pub fn is_acknowledged_by_all(&self, now: ClockMs, revision: u64) -> bool {
        let has_acknowledged = |state: &WatcherState| {
            state.revision >= revision || now.since(state.polled_at) >= WATCHER_TIMEOUT_MS
        };
        self.watchers.values().all(has_acknowledged)
    }
}

/// The effect of a watcher's report on its loads.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadsChange {
    /// The loads changed, and the other watchers must learn of it.
    Changed,
    /// The loads are the same.
    None,
}
