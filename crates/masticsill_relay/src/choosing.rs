//! The choice of an endpoint for one send: what is known of the endpoints, and of the prompt.

use std::rc::Rc;

use masticsill_catalogue::RouteKind;
use masticsill_registry::{Announcement, EndpointId, KeptTokens};
use masticsill_types::{ZoneId, log_event};

use crate::endpoints::EndpointTable;
use crate::events;
use crate::placement::{Choice, Wanted, choose};
use crate::prompts::find_kept;
use crate::relay::{NEWS_BOUND_MS, NEWS_SHARE, Relay};
use crate::request::RelayRequest;
use crate::reservation::Reservation;
use crate::tries::Tries;

/// Part of the connections that an endpoint accepts which the entries use: health checks and
/// connections that are just closing take the rest.
const USED_PERCENT: u32 = 85;

impl Relay {
    /// Chooses an endpoint of a service and returns what it said of itself.
    pub(crate) fn choose(
        &self,
        service: &str,
        excluded: &[EndpointId],
        not_in_zone: Option<&ZoneId>,
        kept: &[KeptTokens],
    ) -> Option<(Choice, Announcement)> {
        let endpoints = self.endpoints.borrow();
        let full = self.full_endpoints(&endpoints, service);
        let wanted = Wanted {
            excluded: &[excluded, &full].concat(),
            kept,
            not_in_zone,
            service,
            share: self.share.get(),
            zone: &self.config.zone,
        };
        let choice = choose(&endpoints, self.now(), &wanted, rand::random)?;
        let endpoint = endpoints.get(&choice.id)?;
        Some((choice, endpoint.announcement.clone()))
    }

    /// Chooses an endpoint, or waits a little for one while the request has gone nowhere yet.
    pub(crate) async fn choose_or_wait(
        self: &Rc<Self>,
        request: &RelayRequest,
        tries: &Tries,
    ) -> Option<(Choice, Reservation)> {
        let kept = find_kept(self, request).await;
        let choose = || self.choose(&request.service, &tries.excluded, None, &kept);
        let is_first = tries.excluded.is_empty();
        let (choice, endpoint) = if is_first {
            let bound_ms = request.left_ms(self.now()) / NEWS_SHARE;
            self.await_news(bound_ms.min(NEWS_BOUND_MS), choose).await
        } else {
            choose()
        }?;
        let kind = request.route.kind;
        if !is_first || kind == RouteKind::Stream {
            self.note_choice(request, &choice, &endpoint, tries.sends);
        }
        Some((choice, Reservation::take(self, endpoint, kind)))
    }

    /// Logs and counts a choice with what decided it.
    fn note_choice(
        &self,
        request: &RelayRequest,
        choice: &Choice,
        endpoint: &Announcement,
        sends: u32,
    ) {
        let now = self.now();
        let endpoints = self.endpoints.borrow();
        let loads_age_ms = endpoints.loads_age_ms(now, &endpoint.zone);
        self.metrics.kept_tokens.inc_by(choice.kept_tokens);
        log_event!(
            info,
            events::ENDPOINT_CHOSEN,
            request = request.id,
            endpoint = endpoint.id,
            zone = endpoint.zone,
            candidates = choice.candidates,
            cost = format_args!("{:.2}", choice.cost),
            in_flight = choice.in_flight,
            kept_tokens = choice.kept_tokens,
            reading = choice.reading,
            loads_age_ms = loads_age_ms.map_or(-1, u64::cast_signed),
            sends = sends,
            left_ms = request.left_ms(now)
        );
    }

    /// Endpoints that accept no more connections of this entry: all entries share what one
    /// accepts, and it resets what is beyond.
    fn full_endpoints(&self, endpoints: &EndpointTable, service: &str) -> Vec<EndpointId> {
        let index = self.index();
        let accepted = index.and_then(|index| index.service(service)?.max_connections);
        let Some(accepted) = accepted else {
            return Vec::new();
        };
        let limit = (accepted * USED_PERCENT / 100 / self.entry_count()).max(1);
        let pool = self.pool.borrow();
        let of_service = endpoints
            .iter()
            .filter(|it| it.announcement.service == service);
        let ids = of_service.map(|it| &it.announcement.id);
        ids.filter(|id| !pool.has_room(id, limit))
            .cloned()
            .collect()
    }

    /// What keeps requests from an endpoint, if anything does.
    pub(crate) fn obstacle(&self, id: &EndpointId) -> Option<&'static str> {
        let endpoints = self.endpoints.borrow();
        match endpoints.get(id) {
            None => Some("forgotten"),
            Some(endpoint) if !endpoint.is_ready() => Some("gone or draining"),
            Some(endpoint) if endpoint.health.is_held(self.now()) => Some("failed just now"),
            Some(_) => None,
        }
    }
}
