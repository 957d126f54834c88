//! Places at engines, handed out one by one by a replica of their zone.
//!
//! The load that this answers is that of many entries before many engines: each entry hears of the
//! others' starts a little late, and all of them would send their prompts to the few engines that
//! look idle. A place that is handed out here is given to nobody else until its holder's own word
//! of the start has come, or should have.

use indexmap::IndexMap;
use masticsill_types::ClockMs;
use serde::{Deserialize, Serialize};

use crate::id::EndpointId;
use crate::watchers::{EndpointLoad, Watcher};

/// How long a place is leased to an entry that says nothing of it: several times the way to the
/// entry, a connection and the way back.
const LEASE_MS: u64 = 150;
/// How long an engine that failed an entry gets no place: about as long as one that was lost takes
/// to come back.
const FAILED_MS: u64 = 1_000;
/// Engines that failed lately from which the whole zone may be down.
const DOWN_ENGINES: usize = 3;
/// Part of the engines at work that must have failed for that, as a divisor.
const DOWN_PART: usize = 6;

/// Asks for an engine that reads no prompt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineReservationRequest {
    /// Engines that the entry would not use.
    pub avoided: Vec<EndpointId>,
    /// The service.
    pub service: String,
    /// The entry.
    pub watcher: Watcher,
}

/// A place that was handed out and of which its holder has not told yet.
#[derive(Clone, Debug)]
struct Place {
    endpoint: EndpointId,
    holder: Watcher,
    leased_until: ClockMs,
}

/// The places of one zone's engines.
#[derive(Clone, Debug, Default)]
pub(crate) struct PlaceBook {
    failed_at: IndexMap<EndpointId, ClockMs>,
    /// Places that were handed out, oldest first.
    places: Vec<Place>,
}

impl PlaceBook {
    /// Takes what a watcher tells of its requests, instead of what it told before: the places of
    /// which it speaks are no longer leased to it, and engines that failed it get none for a while.
    pub(crate) fn note_loads(
        &mut self,
        now: ClockMs,
        watcher: &Watcher,
        before: &[EndpointLoad],
        loads: &[EndpointLoad],
    ) {
        self.drop_old(now);
        for load in loads {
            if load.is_failing {
                self.failed_at.insert(load.id.clone(), now);
            }
            let before = before.iter().find(|it| it.id == load.id);
            let begun = load
                .in_flight
                .saturating_sub(before.map_or(0, |it| it.in_flight));
            for _ in 0..begun {
                let is_told = |it: &Place| it.holder == *watcher && it.endpoint == load.id;
                let Some(told) = self.places.iter().position(is_told) else {
                    break;
                };
                self.places.remove(told);
            }
        }
    }

    /// Hands out a place at the engine that has the least to do among those that read no prompt;
    /// `loads` are those of all watchers.
    pub(crate) fn reserve(
        &mut self,
        now: ClockMs,
        request: &EngineReservationRequest,
        engines: &[&EndpointId],
        loads: &IndexMap<EndpointId, EndpointLoad>,
    ) -> Option<EndpointId> {
        self.drop_old(now);
        if self.is_zone_down(loads) {
            return None;
        }
        let is_wanted = |id: &&EndpointId| {
            let is_reading = loads.get(*id).is_some_and(|load| load.reading > 0);
            let is_leased = self.places.iter().any(|place| place.endpoint == **id);
            let has_failed = self.failed_at.contains_key(*id);
            !is_reading && !is_leased && !has_failed && !request.avoided.contains(*id)
        };
        let work = |id: &EndpointId| {
            let load = loads.get(id);
            load.map_or((0, 0), |load| (load.in_flight, load.held_tokens))
        };
        let wanted = engines.iter().copied().filter(is_wanted);
        let idlest = wanted.min_by_key(|id| work(id))?.clone();
        self.places.push(Place {
            endpoint: idlest.clone(),
            holder: request.watcher.clone(),
            leased_until: now + LEASE_MS,
        });
        Some(idlest)
    }

    fn drop_old(&mut self, now: ClockMs) {
        self.places.retain(|place| now < place.leased_until);
        self.failed_at.retain(|_, at| now.since(*at) < FAILED_MS);
    }

    fn is_zone_down(&self, loads: &IndexMap<EndpointId, EndpointLoad>) -> bool {
        let is_at_work = |load: &&EndpointLoad| load.in_flight > 0;
        let at_work = loads.values().filter(is_at_work).count();
        is_zone_down(self.failed_at.len(), at_work)
    }
}

/// Whether so many endpoints of a zone have just failed, of those at work there, that the rest may
/// stand still as well.
#[must_use]
pub fn is_zone_down(failed: usize, at_work: usize) -> bool {
    failed >= DOWN_ENGINES && failed * DOWN_PART >= at_work
}
