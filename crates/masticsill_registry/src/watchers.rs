//! Who follows a registry, and what each has at its endpoints.

use indexmap::IndexMap;
use masticsill_types::{ClockMs, NodeId, ZoneId};
use serde::{Deserialize, Serialize};

use crate::id::EndpointId;
use crate::places::{EngineReservationRequest, PlaceBook};

/// A watcher that asked for nothing in this time has gone: twice the usual wait, and an answer.
const GONE_MS: u64 = 2_500;

/// Who watches.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Watcher {
    /// An entry.
    Entry {
        /// The process.
        node: NodeId,
        /// Its availability zone.
        zone: ZoneId,
    },
    /// Another control replica, which also learns whom this one heard.
    Replica(NodeId),
}

/// Requests at one endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointLoad {
    /// The endpoint.
    pub id: EndpointId,
    /// Requests that it works on.
    pub in_flight: u32,
    /// Those of them whose prompt it still reads.
    pub reading: u32,
    /// Tokens that they hold in its memory, copies at other engines included.
    pub held_tokens: u64,
    /// Whether it has just failed the watcher, so that it is left alone.
    pub is_failing: bool,
}

impl EndpointLoad {
    /// No request at an endpoint.
    #[must_use]
    pub fn none(id: EndpointId) -> Self {
        Self {
            held_tokens: 0,
            id,
            in_flight: 0,
            is_failing: false,
            reading: 0,
        }
    }

    fn add(&mut self, other: &Self) {
        self.held_tokens = self.held_tokens.saturating_add(other.held_tokens);
        self.in_flight = self.in_flight.saturating_add(other.in_flight);
        self.is_failing |= other.is_failing;
        self.reading = self.reading.saturating_add(other.reading);
    }
}

/// What a watcher has acknowledged and told.
#[derive(Clone, Debug)]
struct Seen {
    asked_at: ClockMs,
    loads: Vec<EndpointLoad>,
    /// Revision of the loads at which this watcher's changed last.
    loads_revision: u64,
    /// Revision of the registry that it holds.
    revision: u64,
}

/// The watchers of one registry.
#[derive(Clone, Debug, Default)]
pub struct WatcherTable {
    loads_revision: u64,
    places: PlaceBook,
    watchers: IndexMap<Watcher, Seen>,
}

impl WatcherTable {
    /// Notes that a watcher asks for news; it holds a revision of the registry.
    pub fn record_poll(
        &mut self,
        now: ClockMs,
        watcher: &Watcher,
        revision: u64,
        loads: &[EndpointLoad],
    ) -> LoadsChange {
        self.watchers
            .retain(|_, seen| now.since(seen.asked_at) < GONE_MS);
        let seen = self.watchers.entry(watcher.clone()).or_insert(Seen {
            asked_at: now,
            loads: Vec::new(),
            loads_revision: 0,
            revision,
        });
        seen.asked_at = now;
        seen.revision = revision;
        self.take_loads(now, watcher, loads)
    }

    /// Takes what a watcher has at the endpoints now. One that has not asked yet is passed over:
    /// its first question brings its loads along.
    pub fn take_loads(
        &mut self,
        now: ClockMs,
        watcher: &Watcher,
        loads: &[EndpointLoad],
    ) -> LoadsChange {
        let Some(seen) = self.watchers.get_mut(watcher) else {
            return LoadsChange::None;
        };
        if seen.loads == loads {
            return LoadsChange::None;
        }
        self.places.note_loads(now, watcher, &seen.loads, loads);
        self.loads_revision += 1;
        seen.loads = loads.to_vec();
        seen.loads_revision = self.loads_revision;
        LoadsChange::Changed
    }

    /// The revision of the newest change of any watcher's loads.
    #[must_use]
    pub fn loads_revision(&self) -> u64 {
        self.loads_revision
    }

    /// Whether the loads of others than a watcher changed after a revision.
    #[must_use]
    pub fn have_other_loads_changed(&self, watcher: &Watcher, loads_revision: u64) -> bool {
        let others = self.watchers.iter().filter(|(other, _)| *other != watcher);
        others
            .into_iter()
            .any(|(_, seen)| seen.loads_revision > loads_revision)
    }

    /// Requests that the other watchers told of, by endpoint.
    #[must_use]
    pub fn loads_of_others(&self, now: ClockMs, watcher: &Watcher) -> Vec<EndpointLoad> {
        let sums = self.sum_loads(now, |other| other != watcher);
        sums.into_values().collect()
    }

    /// Hands out a place at one of the engines, and tells what the other watchers have there.
    pub fn reserve_engine(
        &mut self,
        now: ClockMs,
        request: &EngineReservationRequest,
        engines: &[&EndpointId],
    ) -> Option<EndpointLoad> {
        let loads = self.sum_loads(now, |_| true);
        let place = self.places.reserve(now, request, engines, &loads)?;
        let mut others = self.sum_loads(now, |other| *other != request.watcher);
        let load = others.swap_remove(&place);
        Some(load.unwrap_or_else(|| EndpointLoad::none(place)))
    }

    fn sum_loads(
        &self,
        now: ClockMs,
        is_counted: impl Fn(&Watcher) -> bool,
    ) -> IndexMap<EndpointId, EndpointLoad> {
        let is_counted = |(watcher, seen): &(&Watcher, &Seen)| {
            is_counted(watcher) && now.since(seen.asked_at) < GONE_MS
        };
        let counted = self.watchers.iter().filter(is_counted);
        let mut sums: IndexMap<EndpointId, EndpointLoad> = IndexMap::new();
        for load in counted.flat_map(|(_, seen)| &seen.loads) {
            let sum = sums.entry(load.id.clone());
            sum.or_insert_with(|| EndpointLoad::none(load.id.clone()))
                .add(load);
        }
        sums
    }

    /// The number of entries that watch, and the names of those in the watcher's zone, in order.
    #[must_use]
    pub fn entries(&self, watcher: &Watcher) -> (u32, Vec<NodeId>) {
        let entries = self.watchers.keys().filter_map(|it| match it {
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

    /// Watchers known here.
    #[must_use]
    pub fn len(&self) -> usize {
        self.watchers.len()
    }

    /// Whether nobody watches.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.watchers.is_empty()
    }

    /// Whether each watcher that still asks holds a revision of the registry.
    #[must_use]
    pub fn is_acknowledged_by_all(&self, now: ClockMs, revision: u64) -> bool {
        let has_seen =
            |seen: &Seen| seen.revision >= revision || now.since(seen.asked_at) >= GONE_MS;
        self.watchers.values().all(has_seen)
    }
}

/// What a watcher's word did to the loads.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadsChange {
    /// Others must hear of it.
    Changed,
    /// Nothing is new.
    None,
}
