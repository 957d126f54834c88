//! Permits of control replicas for requests that have no turn at any endpoint.

use std::rc::Rc;

use indexmap::IndexMap;
use masticsill_registry::EndpointId;
use masticsill_types::ZoneId;
use tokio::time::{Instant, timeout_at};

use crate::engine_reservation::first_replica;
use crate::prompts::CONTROL_QUERY_TIMEOUT;
use crate::relay::Relay;

/// Asks for a permit at one of the endpoints, which are those at which only a permit would let a
/// request be sent now: in this zone first, then in the others. Without an answer in time the request
/// waits for a turn of this entry.
pub(crate) async fn request_permit(relay: &Rc<Relay>, lacking: Vec<(ZoneId, EndpointId)>) {
    let mut by_zone: IndexMap<ZoneId, Vec<EndpointId>> = IndexMap::new();
    for (zone, id) in lacking {
        by_zone.entry(zone).or_default().push(id);
    }
    by_zone.sort_by_key(|zone, _| *zone != relay.config.zone);
    let bound = Instant::now() + CONTROL_QUERY_TIMEOUT;
    for (zone, ids) in by_zone {
        let Some(replica) = first_replica(relay, &zone) else {
            continue;
        };
        let reply = relay.control.grant_request(replica, &ids);
        let Ok(granted) = timeout_at(bound, reply).await else {
            return;
        };
        let now = relay.now();
        for id in &ids {
            relay.with_endpoint(id, |it| {
                it.request_limit
                    .note_permit_reply(now, granted.as_ref() == Some(id));
            });
        }
        if granted.is_some() {
            return;
        }
    }
}
