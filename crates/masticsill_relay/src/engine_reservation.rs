//! Reservations of engines, made by control replicas.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexSet;
use masticsill_dispatch::QueueHead;
use masticsill_registry::{EndpointId, EngineReservationRequest};
use masticsill_types::ZoneId;
use rand::seq::SliceRandom;
use tokio::time::{Instant, sleep, timeout_at};

use crate::prompts::CONTROL_QUERY_TIMEOUT;
use crate::relay::Relay;

/// Interval at which an engine is requested for the first queued stream: a fraction of the time for
/// which a control replica keeps its place among the entries.
const QUEUE_REQUEST_INTERVAL: Duration = Duration::from_millis(40);

/// Requests engines for queued streams, until the relay ends. While more streams wait than engines
/// are idle, control replicas decide which entry's stream goes next.
pub(crate) async fn run_queue_reservations(relay: Rc<Relay>) {
    loop {
        sleep(QUEUE_REQUEST_INTERVAL).await;
        let heads = relay.dispatcher.borrow().heads();
        for head in heads {
            if let Some(engine) = reserve_engine(&relay, &head).await {
                relay.dispatcher.borrow_mut().grant(&head.service, &engine);
                relay.capacity_changed.notify_one();
            }
        }
    }
}

/// Requests an engine reservation for a stream: in this zone first, then in the other zones, one
/// after the other.
///
/// Returns `None` if no zone grants one in time; the engine is then chosen by the loads known to
/// this relay.
pub(crate) async fn reserve_engine(relay: &Rc<Relay>, stream: &QueueHead) -> Option<EndpointId> {
    let service = &stream.service;
    let bound = Instant::now() + CONTROL_QUERY_TIMEOUT;
    let own_zone =
        own_zone_replica(relay).filter(|_| !relay.is_suspect(service, &relay.config.zone));
    for (replica, zone) in own_zone
        .into_iter()
        .chain(other_zone_replicas(relay, service))
    {
        let reservation_request = EngineReservationRequest {
            avoided: relay.unusable_endpoints(service, &zone, &stream.excluded),
            priority: stream.priority,
            service: service.clone(),
            waited_ms: relay.now().since(stream.since),
            watcher: relay.watcher(),
        };
        let reply = relay.control.take_place(replica, &reservation_request);
        let Ok(reserved) = timeout_at(bound, reply).await else {
            return None;
        };
        if let Some(load) = reserved {
            let now = relay.now();
            relay.endpoints.borrow_mut().update_load(now, &load);
            return Some(load.id);
        }
    }
    None
}

/// The replica that reserves engines of this zone; all entries of the zone ask the same one.
fn own_zone_replica(relay: &Relay) -> Option<(SocketAddr, ZoneId)> {
    let own_zone = relay.config.zone.clone();
    Some((first_replica(relay, &own_zone)?, own_zone))
}

/// A replica of each other zone, in random order so that entries without a reservation do not all
/// go to the same zone.
fn other_zone_replicas(relay: &Relay, service: &str) -> Vec<(SocketAddr, ZoneId)> {
    let zones: IndexSet<ZoneId> = relay.control_reached.borrow().values().cloned().collect();
    let is_other_zone =
        |zone: &ZoneId| *zone != relay.config.zone && !relay.is_suspect(service, zone);
    let mut zones: Vec<ZoneId> = zones.into_iter().filter(is_other_zone).collect();
    zones.shuffle(&mut rand::rng());
    let replicas = zones.into_iter();
    let replicas = replicas.filter_map(|zone| Some((first_replica(relay, &zone)?, zone)));
    replicas.collect()
}

pub(crate) fn first_replica(relay: &Relay, zone: &ZoneId) -> Option<SocketAddr> {
    let reached = relay.control_reached.borrow();
    let of_zone = reached.iter().filter(|(_, it)| *it == zone);
    of_zone.map(|(address, _)| *address).min()
}
