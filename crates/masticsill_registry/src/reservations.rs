//! Reservations of idle engines, granted one at a time by a control replica of their zone.
//!
//! With many entries and many engines, each entry learns of the requests that the others start with
//! a delay, so all of them would send their prompts to the few engines that look idle. A reserved
//! engine is not reserved for another entry until its holder has reported the start, or the
//! reservation's lease has expired.

use indexmap::IndexMap;
use masticsill_types::{ClockMs, Priority};
use serde::{Deserialize, Serialize};

use crate::id::EndpointId;
use crate::watchers::{EndpointLoad, Watcher};

/// Lease of a reservation whose holder reports no start: several times the time to answer the
/// entry, to connect to the engine and to report the start.
const RESERVATION_LEASE_MS: u64 = 150;
/// How long an engine is not reserved after it failed an entry: about as long as a lost engine
/// takes to restart.
const FAILURE_HOLD_MS: u64 = 1_000;
/// Least number of recently failed engines from which the whole zone may be down.
const MIN_FAILED_ENGINES: usize = 3;
/// The whole zone may be down only if the failed engines are at least the number of engines with
/// requests in flight divided by this.
const MIN_FAILED_DIVISOR: usize = 6;
/// How long an entry that got no engine goes before less urgent ones: entries with queued requests
/// repeat their requests more often than this.
const PENDING_RETENTION_MS: u64 = 150;

/// An entry's request to reserve an engine that is not processing a prompt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineReservationRequest {
    /// Engines that the entry doesn't want.
    pub avoided: Vec<EndpointId>,
    /// Priority of the request that the engine is for.
    pub priority: Priority,
    /// The service that the engine must belong to.
    pub service: String,
    /// How long the request has waited for an engine, in milliseconds.
    pub waited_ms: u64,
    /// The entry that asks.
    pub watcher: Watcher,
}

/// A reserved engine at which the holder has not reported a start yet.
#[derive(Clone, Debug)]
struct Reservation {
    endpoint: EndpointId,
    holder: Watcher,
    leased_until: ClockMs,
}

/// A request that got no engine, which goes before less urgent ones of other entries.
#[derive(Clone, Debug)]
struct PendingRequest {
    avoided: Vec<EndpointId>,
    place: (Priority, ClockMs),
    received_at: ClockMs,
    service: String,
}

impl PendingRequest {
    fn new(now: ClockMs, request: &EngineReservationRequest) -> Self {
        Self {
            avoided: request.avoided.clone(),
            place: place_of(now, request),
            received_at: now,
            service: request.service.clone(),
        }
    }
}

/// Place of a request among those of all entries: by priority, then by the beginning of its wait.
fn place_of(now: ClockMs, request: &EngineReservationRequest) -> (Priority, ClockMs) {
    (request.priority, now.before(request.waited_ms))
}

/// The reservations of one zone's engines.
#[derive(Clone, Debug, Default)]
pub(crate) struct EngineReservations {
    /// Time at which each engine last failed an entry.
    failed_at: IndexMap<EndpointId, ClockMs>,
    /// The latest request of each entry that got no engine.
    pending: IndexMap<Watcher, PendingRequest>,
    /// Reservations, oldest first.
    reservations: Vec<Reservation>,
}

impl EngineReservations {
    /// Applies a watcher's loads in place of its former ones. Each reported start ends a
    /// reservation that the watcher holds at that engine, and engines that failed the watcher are
    /// not reserved for [`FAILURE_HOLD_MS`].
    pub(crate) fn apply_loads(
        &mut self,
        now: ClockMs,
        watcher: &Watcher,
        before: &[EndpointLoad],
        loads: &[EndpointLoad],
    ) {
        self.evict_expired(now);
        for load in loads {
            if load.is_failing {
                self.failed_at.insert(load.id.clone(), now);
            }
            let before = before.iter().find(|it| it.id == load.id);
            let started = load
                .in_flight
                .saturating_sub(before.map_or(0, |it| it.in_flight));
            for _ in 0..started {
                let is_confirmed =
                    |it: &Reservation| it.holder == *watcher && it.endpoint == load.id;
                let Some(confirmed) = self.reservations.iter().position(is_confirmed) else {
                    break;
                };
                self.reservations.remove(confirmed);
            }
        }
    }

    /// Reserves the least loaded of the engines that are neither processing a prompt, leaving,
    /// reserved, recently failed nor avoided by the entry; `loads` are the sums over all watchers.
    /// Returns `None` if there is none or the zone may be down, or if there are no more of them than
    /// other entries recently requested for more urgent requests, or for equally urgent ones that
    /// have waited longer.
    ///
    /// The load that this answers: more requests than the engines can read. Every entry waits for the
    /// engines that become idle then; without one order for all, several would start at the same
    /// engine, and the entry that learns of it first would win whatever its request.
    pub(crate) fn reserve(
        &mut self,
        now: ClockMs,
        request: &EngineReservationRequest,
        engines: &[&EndpointId],
        loads: &IndexMap<EndpointId, EndpointLoad>,
    ) -> Option<EndpointId> {
        self.evict_expired(now);
        if self.is_zone_down(loads) {
            return None;
        }
        let is_wanted = |id: &&EndpointId| {
            let load = loads.get(*id);
            let is_unusable = load.is_some_and(|load| load.reading > 0 || load.is_leaving);
            let is_leased = self
                .reservations
                .iter()
                .any(|reservation| reservation.endpoint == **id);
            let has_failed = self.failed_at.contains_key(*id);
            !is_unusable && !is_leased && !has_failed && !request.avoided.contains(*id)
        };
        let work = |id: &EndpointId| {
            let load = loads.get(id);
            load.map_or((0, 0), |load| (load.in_flight, load.held_tokens))
        };
        let wanted: Vec<&EndpointId> = engines.iter().copied().filter(is_wanted).collect();
        let ahead = self.count_ahead(now, request, &wanted);
        if wanted.len() <= ahead {
            let pending = PendingRequest::new(now, request);
            self.pending.insert(request.watcher.clone(), pending);
            return None;
        }
        self.pending.swap_remove(&request.watcher);
        let least_loaded = wanted.into_iter().min_by_key(|id| work(id))?.clone();
        self.reservations.push(Reservation {
            endpoint: least_loaded.clone(),
            holder: request.watcher.clone(),
            leased_until: now + RESERVATION_LEASE_MS,
        });
        Some(least_loaded)
    }

    /// Number of other entries' pending requests that go first and want one of the engines.
    fn count_ahead(
        &self,
        now: ClockMs,
        request: &EngineReservationRequest,
        wanted: &[&EndpointId],
    ) -> usize {
        let place = place_of(now, request);
        let ahead = self.pending.iter().filter(|(watcher, pending)| {
            **watcher != request.watcher
                && pending.service == request.service
                && pending.place < place
                && wanted.iter().any(|id| !pending.avoided.contains(id))
        });
        ahead.count()
    }

    fn evict_expired(&mut self, now: ClockMs) {
        self.pending
            .retain(|_, pending| now.since(pending.received_at) < PENDING_RETENTION_MS);
        self.reservations
            .retain(|reservation| now < reservation.leased_until);
        self.failed_at
            .retain(|_, at| now.since(*at) < FAILURE_HOLD_MS);
    }

    fn is_zone_down(&self, loads: &IndexMap<EndpointId, EndpointLoad>) -> bool {
        let is_at_work = |load: &&EndpointLoad| load.in_flight > 0;
        let at_work = loads.values().filter(is_at_work).count();
        is_zone_down(self.failed_at.len(), at_work)
    }
}

/// Whether so many endpoints of a zone have just failed, compared with those that have requests in
/// flight there, that the others may be down as well.
#[must_use]
pub fn is_zone_down(failed: usize, at_work: usize) -> bool {
    failed >= MIN_FAILED_ENGINES && failed * MIN_FAILED_DIVISOR >= at_work
}
