//! The choice of an endpoint for one send: what is known of the endpoints, and of the prompt.

use std::rc::Rc;

use masticsill_catalogue::RouteKind;
use masticsill_dispatch::{
    Choice, Endpoint, EndpointTable, Need, Terms, Wanted, Work, choose_holder, has_memory_for_copy,
    suspect_zones,
};
use masticsill_registry::{Announcement, EndpointId};
use masticsill_types::{ZoneId, log_event};
use tokio::time::Instant;

use crate::dispatching::{Dispatched, dispatch};
use crate::events;
use crate::places::take_place;
use crate::prompts::find_kept;
use crate::relay::{NEWS_BOUND_MS, NEWS_SHARE, Relay};
use crate::request::RelayRequest;
use crate::tries::Tries;

/// Part of the connections that an endpoint accepts which the entries use: health checks and
/// connections that are just closing take the rest.
const USED_PERCENT: u32 = 85;

impl Relay {
    /// Chooses the engine that is to hold a copy of a run: in another zone than the running one,
    /// so that it survives that, and with memory to spare.
    pub(crate) fn choose_copy_holder(
        &self,
        request: &RelayRequest,
        excluded: &[EndpointId],
        running: &Announcement,
    ) -> Option<Announcement> {
        let index = self.index()?;
        let engine = index.service(&request.service)?.engine?;
        if !engine.supports_kv_backup || !request.route.is_resumable {
            return None;
        }
        let endpoints = self.endpoints.borrow();
        let closed = self.full_endpoints(&endpoints, &request.service);
        let wanted = Wanted {
            closed: &closed,
            excluded: &[excluded, std::slice::from_ref(&running.id)].concat(),
            kept: &[],
            not_in_zone: Some(&running.zone),
            place: None,
            service: &request.service,
            share: self.share.get(),
            zone: &self.config.zone,
        };
        let tokens = request.held_tokens(&self.config.headers);
        let memory_tokens = Some(engine.kv_cache_tokens);
        let has_memory = |it: &_| has_memory_for_copy(it, memory_tokens, tokens);
        let holder = choose_holder(&endpoints, self.now(), &wanted, has_memory, rand::random)?;
        Some(holder.announcement.clone())
    }

    /// Has a request sent to an endpoint, waiting for a place while there is none.
    ///
    /// Of an endpoint that has just begun, the relay may not have heard yet: while the request has
    /// gone nowhere, it waits a little for news.
    pub(crate) async fn choose_or_wait(
        self: &Rc<Self>,
        request: &RelayRequest,
        tries: &Tries,
        is_resume: bool,
    ) -> Dispatched {
        let mut need = self.need_of(request, tries).await;
        let terms = terms_of(request, is_resume);
        let is_first = tries.excluded.is_empty();
        let news_ms = request.left_ms(self.now()) / NEWS_SHARE;
        let news_by = Instant::now() + std::time::Duration::from_millis(news_ms.min(NEWS_BOUND_MS));
        loop {
            let mut news = self.news.subscribe();
            let mut dispatched = Dispatched::Nobody;
            let mut lists = self.endpoints_kept_from(request);
            lists.push(Vec::new());
            for kept_from in lists {
                need.excluded = [tries.excluded.as_slice(), &kept_from].concat();
                dispatched = dispatch(self, request, &need, &terms).await;
                if !matches!(dispatched, Dispatched::Nobody) {
                    break;
                }
            }
            match dispatched {
                Dispatched::Nobody if is_first => {
                    let changed = tokio::time::timeout_at(news_by, news.changed());
                    if changed.await.is_err() {
                        return Dispatched::Nobody;
                    }
                }
                Dispatched::Sent(choice, mut reservation) => {
                    reservation.note_kept(choice.kept_tokens);
                    self.mark_suspect(request, &mut reservation);
                    if !is_first || request.route.kind == RouteKind::Stream {
                        self.note_choice(request, &choice, reservation.endpoint(), tries.sends);
                    }
                    return Dispatched::Sent(choice, reservation);
                }
                dispatched => return dispatched,
            }
        }
    }

    /// What a request needs of an endpoint.
    async fn need_of(self: &Rc<Self>, request: &RelayRequest, tries: &Tries) -> Need {
        let names = &self.config.headers;
        let (kept, place) = match request.route.kind {
            RouteKind::Stream => {
                // Boxed, as every request's own state would hold both questions otherwise.
                let kept = Box::pin(find_kept(self, request));
                let place = Box::pin(take_place(self, request, tries));
                tokio::join!(kept, place)
            }
            RouteKind::Idempotent | RouteKind::NonIdempotent => (Vec::new(), None),
        };
        let work = match request.route.kind {
            RouteKind::Stream => {
                let index = self.index();
                let engine = index.and_then(|index| index.service(&request.service)?.engine);
                Work::Stream {
                    memory_tokens: engine.map(|engine| engine.kv_cache_tokens),
                    prompt_tokens: request.prompt_tokens(names).unwrap_or_default(),
                    tokens: request.held_tokens(names),
                }
            }
            RouteKind::Idempotent | RouteKind::NonIdempotent => Work::Whole,
        };
        Need {
            // Filled in for each choice.
            excluded: Vec::new(),
            kept,
            place,
            service: request.service.clone(),
            work,
        }
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
            is_handed_out = choice.is_handed_out,
            kept_tokens = choice.kept_tokens,
            reading = choice.reading,
            loads_age_ms = loads_age_ms.map_or(-1, u64::cast_signed),
            sends = sends,
            left_ms = request.left_ms(now)
        );
    }

    /// Endpoints that accept no more connections of this entry: all entries share what one
    /// accepts, and it resets what is beyond.
    pub(crate) fn full_endpoints(
        &self,
        endpoints: &EndpointTable,
        service: &str,
    ) -> Vec<EndpointId> {
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

    /// Endpoints of a zone that take requests, but would not be sent this one.
    pub(crate) fn avoided(&self, service: &str, zone: &ZoneId, tries: &Tries) -> Vec<EndpointId> {
        let now = self.now();
        let endpoints = self.endpoints.borrow();
        let closed = self.full_endpoints(&endpoints, service);
        let is_avoided = |it: &&Endpoint| {
            let id = &it.announcement.id;
            let is_known_bad = it.is_held(now) || it.is_silent() || it.is_full(now);
            is_known_bad || closed.contains(id) || tries.excluded.contains(id)
        };
        let ready = endpoints.iter().filter(|it| it.is_ready());
        let of_zone = ready.filter(|it| it.announcement.zone == *zone);
        let avoided = of_zone.filter(|it| it.announcement.service == service);
        let avoided = avoided.filter(is_avoided);
        avoided.map(|it| it.announcement.id.clone()).collect()
    }

    /// Whether a service's endpoints in a zone seem to be down together.
    pub(crate) fn is_suspect(&self, service: &str, zone: &ZoneId) -> bool {
        let endpoints = self.endpoints.borrow();
        suspect_zones(&endpoints, service, self.now()).contains(&zone)
    }

    /// What keeps requests from an endpoint, if anything does.
    pub(crate) fn obstacle(&self, id: &EndpointId) -> Option<&'static str> {
        let endpoints = self.endpoints.borrow();
        match endpoints.get(id) {
            None => Some("forgotten"),
            Some(endpoint) if !endpoint.is_ready() => Some("gone or draining"),
            Some(endpoint) if endpoint.is_held(self.now()) => Some("failed just now"),
            Some(_) => None,
        }
    }
}

/// For how long a request may wait. Its caller's aim counts from the caller's first attempt.
fn terms_of(request: &RelayRequest, is_resume: bool) -> Terms {
    let asked_at = request.received_at.before(request.had_waited_ms);
    Terms {
        aim_ms: request.route.target_latency_ms,
        aim_at: asked_at + request.route.target_latency_ms,
        caller_leaves_at: request.caller_leaves_at,
        deadline_at: request.deadline_at,
        has_come_back: request.had_waited_ms > 0,
        is_resume,
        workspace: request.workspace.clone(),
    }
}
