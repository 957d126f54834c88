//! The processes that poll a registry, and the loads that they report.

use std::borrow::Cow;

use indexmap::IndexMap;
use masticsill_types::{ClockMs, NodeId, ZoneId};
use serde::{Deserialize, Serialize};

use crate::id::EndpointId;
use crate::permits::RequestPermits;
use crate::rate::LimitStatement;
use crate::reservations::{EngineReservationRequest, EngineReservations};
use crate::stated_limits::StatedLimits;

/// A watcher that has not polled for this long counts as gone: twice the usual wait of a poll, and
/// the time for an answer.
const WATCHER_TIMEOUT_MS: u64 = 2_500;

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
    stated_limits: StatedLimits,
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
        let Some(state) = self.watchers.get_mut(watcher) else {
            return LoadsChange::None;
        };
        let reported = loads
            .iter()
            .filter_map(|load| Some((&load.id, load.stated?)));
        let is_limit_changed = self.stated_limits.merge(now, reported);
        let loads = without_statements(loads);
        if state.loads == *loads && !is_limit_changed {
            return LoadsChange::None;
        }
        self.reservations
            .apply_loads(now, watcher, &state.loads, &loads);
        self.loads_revision += 1;
        state.loads = loads.into_owned();
        state.loads_revision = self.loads_revision;
        LoadsChange::Changed
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
        for (id, statement) in self.stated_limits.statements(now) {
            let sum = sums.entry(id.clone());
            let sum = sum.or_insert_with(|| EndpointLoad::none(id.clone()));
            sum.stated = Some(statement);
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

    /// Forgets that some engines have just failed entries. Engines that are known to be down
    /// themselves are no sign that their zone is.
    pub fn forget_failures<'a>(&mut self, engines: impl Iterator<Item = &'a EndpointId>) {
        for engine in engines {
            self.reservations.forget_failure(engine);
        }
    }

    /// Grants an entry one request at one of the endpoints, which state limits; `None` if none of
    /// them accepts more at present, or none is known to state a limit.
    pub fn grant_request(&mut self, now: ClockMs, endpoints: &[EndpointId]) -> Option<EndpointId> {
        let Self {
            permits,
            stated_limits,
            ..
        } = self;
        let granted = endpoints.iter().find(|id| {
            let rate = stated_limits.rate(id);
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

/// The loads without what endpoints stated: the age of a statement differs in each report, so that
/// equal loads would look different.
fn without_statements(loads: &[EndpointLoad]) -> Cow<'_, [EndpointLoad]> {
    if loads.iter().all(|load| load.stated.is_none()) {
        return Cow::Borrowed(loads);
    }
    let loads = loads.iter().cloned();
    let loads = loads.map(|load| EndpointLoad {
        stated: None,
        ..load
    });
    Cow::Owned(loads.collect())
}

/// The effect of a watcher's report on its loads.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadsChange {
    /// The loads changed, and the other watchers must learn of it.
    Changed,
    /// The loads are the same.
    None,
}
