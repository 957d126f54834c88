//! Places at engines that control replicas hand out.

use std::net::SocketAddr;
use std::rc::Rc;

use indexmap::IndexSet;
use masticsill_registry::{EndpointId, EngineReservationRequest};
use masticsill_types::ZoneId;
use rand::seq::SliceRandom;
use tokio::time::{Instant, timeout_at};

use crate::prompts::BOUND;
use crate::relay::Relay;
use crate::request::RelayRequest;
use crate::tries::Tries;

/// Asks for a place at an engine for a stream: in the own zone, and where that has none in the
/// others, one after the other.
///
/// Without any, what is known of the engines here must do.
pub(crate) async fn take_place(
    relay: &Rc<Relay>,
    request: &RelayRequest,
    tries: &Tries,
) -> Option<EndpointId> {
    let service = &request.service;
    let bound = Instant::now() + BOUND;
    let near = near_replica(relay).filter(|_| !relay.is_suspect(service, &relay.config.zone));
    for (replica, zone) in near.into_iter().chain(far_replicas(relay, service)) {
        let asked = EngineReservationRequest {
            avoided: relay.avoided(service, &zone, tries),
            service: service.clone(),
            watcher: relay.watcher(),
        };
        let asking = relay.control.take_place(replica, &asked);
        let Ok(place) = timeout_at(bound, asking).await else {
            return None;
        };
        if let Some(load) = place {
            let now = relay.now();
            relay.endpoints.borrow_mut().take_place(now, &load);
            return Some(load.id);
        }
    }
    None
}

/// The replica of the own zone that hands out its places: all entries there ask the same one.
fn near_replica(relay: &Relay) -> Option<(SocketAddr, ZoneId)> {
    let near = relay.config.zone.clone();
    Some((first_replica(relay, &near)?, near))
}

/// A replica of each other zone, in an order drawn at random so that not all who find no place go
/// to the same one.
fn far_replicas(relay: &Relay, service: &str) -> Vec<(SocketAddr, ZoneId)> {
    let zones: IndexSet<ZoneId> = relay.control_reached.borrow().values().cloned().collect();
    let is_far = |zone: &ZoneId| *zone != relay.config.zone && !relay.is_suspect(service, zone);
    let mut zones: Vec<ZoneId> = zones.into_iter().filter(is_far).collect();
    zones.shuffle(&mut rand::rng());
    let replicas = zones.into_iter();
    let replicas = replicas.filter_map(|zone| Some((first_replica(relay, &zone)?, zone)));
    replicas.collect()
}

fn first_replica(relay: &Relay, zone: &ZoneId) -> Option<SocketAddr> {
    let reached = relay.control_reached.borrow();
    let of_zone = reached.iter().filter(|(_, it)| *it == zone);
    of_zone.map(|(address, _)| *address).min()
}
