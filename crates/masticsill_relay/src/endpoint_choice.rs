//! Selection of an endpoint for one attempt, from the known state of the endpoints and the cached
//! parts of the prompt.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use masticsill_catalogue::RouteKind;
use masticsill_dispatch::{
    Choice, Endpoint, EndpointTable, PlacementRequest, Requirements, Terms, Work, choose_holder,
    has_memory_for_copy, suspect_zones,
};
use masticsill_registry::{Announcement, EndpointId};
use masticsill_rollout::VersionFilter;
use masticsill_types::{ZoneId, log_event};
use tokio::time::{Instant, sleep};

use crate::dispatch_queue::{Dispatched, dispatch};
use crate::engine_reservation::reserve_engine;
use crate::events;
use crate::prompts::find_cached;
use crate::relay::{Relay, discovery_wait_ms};
use crate::request::RelayRequest;
use crate::request_permit::request_permit;
use crate::retry_state::RetryState;

/// Percentage of the connections accepted by an endpoint that the entries use. Health checks and
/// connections that are just closing need the rest.
const USED_PERCENT: u32 = 85;
/// Interval at which a permit is asked for again while a resumed answer is queued. New requests ask
/// once, since they are refused soon if they can't be sent.
const PERMIT_INTERVAL: Duration = Duration::from_millis(250);

impl Relay {
    /// Chooses the engine that is to hold a copy of a run: in another zone than the running engine,
    /// so that the copy survives a failure of that zone, and with memory to spare.
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
        // An engine of another version can't resume from the copy.
        let versions = VersionFilter::only(&running.version);
        let endpoints = self.endpoints.borrow();
        let closed = self.full_endpoints(&endpoints, &request.service);
        let wanted = PlacementRequest {
            closed: &closed,
            excluded: &[excluded, std::slice::from_ref(&running.id)].concat(),
            cached: &[],
            not_in_zone: Some(&running.zone),
            reserved_endpoint: None,
            service: &request.service,
            share: self.zone_share.get(),
            versions: &versions,
            zone: &self.config.zone,
        };
        let tokens = request.held_tokens(&self.config.headers);
        let kv_cache_tokens = Some(engine.kv_cache_tokens);
        // Resuming from a copy is a request at its holder.
        let now = self.now();
        let is_suitable = |it: &Endpoint| {
            let has_memory = has_memory_for_copy(it, kv_cache_tokens, tokens);
            has_memory && it.request_limit.rate().is_none() && !it.is_resting(now)
        };
        let holder = choose_holder(&endpoints, now, &wanted, is_suitable, rand::random)?;
        Some(holder.announcement.clone())
    }

    /// Reserves an endpoint for a request, waiting while none has capacity.
    ///
    /// The relay may not have been informed yet of an endpoint that has just started. A request
    /// that has not been tried anywhere therefore waits briefly for discovery.
    pub(crate) async fn choose_or_wait(
        self: &Rc<Self>,
        request: &RelayRequest,
        retry_state: &RetryState,
        is_resume: bool,
    ) -> Dispatched {
        let mut need = self.need_of(request, retry_state).await;
        let terms = terms_of(request, is_resume);
        let is_first = retry_state.excluded.is_empty();
        let wait_ms = discovery_wait_ms(request.left_ms(self.now()));
        let discovery_deadline = Instant::now() + Duration::from_millis(wait_ms);
        self.ask_for_permit(request, retry_state, &need.versions.allowed)
            .await;
        loop {
            let mut discovery_changes = self.discovery_changes.subscribe();
            let mut dispatched = Dispatched::NoEndpoint;
            let mut lists = self.isolation_exclusions(request);
            lists.push(Vec::new());
            for exclusions in lists {
                // The versions may have changed during a wait.
                need.versions = self.versions_for(request, retry_state);
                need.excluded = [retry_state.excluded.as_slice(), &exclusions].concat();
                dispatched = if is_resume {
                    tokio::select! {
                        biased;
                        dispatched = dispatch(self, request, &need, &terms) => dispatched,
                        never = self.keep_asking_for_permits(
                            request,
                            retry_state,
                            &need.versions.allowed,
                        ) => match never {},
                    }
                } else {
                    dispatch(self, request, &need, &terms).await
                };
                if !matches!(dispatched, Dispatched::NoEndpoint) {
                    break;
                }
            }
            match dispatched {
                Dispatched::NoEndpoint if is_first => {
                    let changed =
                        tokio::time::timeout_at(discovery_deadline, discovery_changes.changed());
                    if changed.await.is_err() {
                        return Dispatched::NoEndpoint;
                    }
                }
                Dispatched::Assigned(choice, mut reservation) => {
                    reservation.record_cached_tokens(choice.cached_tokens);
                    self.mark_suspect(request, &mut reservation);
                    if !is_first || request.route.kind == RouteKind::Stream {
                        self.note_choice(
                            request,
                            &choice,
                            reservation.endpoint(),
                            retry_state.sends,
                        );
                    }
                    return Dispatched::Assigned(choice, reservation);
                }
                dispatched => return dispatched,
            }
        }
    }

    /// Asks for a permit if no endpoint accepts a request without one.
    async fn ask_for_permit(
        self: &Rc<Self>,
        request: &RelayRequest,
        retry_state: &RetryState,
        versions: &VersionFilter,
    ) {
        let lacking = self.endpoints.borrow().lacking_permits(
            self.now(),
            &request.service,
            versions,
            &retry_state.excluded,
        );
        if !lacking.is_empty() {
            // Boxed, since few requests need it.
            Box::pin(request_permit(self, lacking)).await;
        }
    }

    /// Asks for permits again and again, while a request is queued.
    async fn keep_asking_for_permits(
        self: &Rc<Self>,
        request: &RelayRequest,
        retry_state: &RetryState,
        versions: &VersionFilter,
    ) -> Infallible {
        loop {
            sleep(PERMIT_INTERVAL).await;
            self.ask_for_permit(request, retry_state, versions).await;
        }
    }

    /// What a request requires of an endpoint.
    async fn need_of(
        self: &Rc<Self>,
        request: &RelayRequest,
        retry_state: &RetryState,
    ) -> Requirements {
        let versions = self.versions_for(request, retry_state);
        let (kept, place) = match request.route.kind {
            RouteKind::Stream => {
                // Boxed, because otherwise the future of every request would contain both queries.
                let kept = Box::pin(find_cached(self, request));
                let place = Box::pin(reserve_engine(self, request, retry_state, &versions));
                tokio::join!(kept, place)
            }
            RouteKind::Idempotent | RouteKind::NonIdempotent => (Vec::new(), None),
        };
        Requirements {
            // Set for each choice.
            excluded: Vec::new(),
            cached: kept,
            reserved_endpoint: place,
            service: request.service.clone(),
            versions,
            work: self.work_of(request),
        }
    }

    /// The work that a request causes at an endpoint.
    pub(crate) fn work_of(&self, request: &RelayRequest) -> Work {
        let names = &self.config.headers;
        match request.route.kind {
            RouteKind::Stream => {
                let index = self.index();
                let engine = index.and_then(|index| index.service(&request.service)?.engine);
                Work::Stream {
                    kv_cache_tokens: engine.map(|engine| engine.kv_cache_tokens),
                    prompt_tokens: request.prompt_tokens(names).unwrap_or_default(),
                    tokens: request.held_tokens(names),
                }
            }
            RouteKind::Idempotent | RouteKind::NonIdempotent => Work::Whole,
        }
    }

    /// Logs and counts a choice, with the values that decided it.
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
        self.metrics.kept_tokens.inc_by(choice.cached_tokens);
        log_event!(
            info,
            events::ENDPOINT_CHOSEN,
            request = request.id,
            endpoint = endpoint.id,
            zone = endpoint.zone,
            version = endpoint.version,
            candidates = choice.candidates,
            cost = format_args!("{:.2}", choice.cost),
            in_flight = choice.in_flight,
            is_handed_out = choice.is_reserved,
            kept_tokens = choice.cached_tokens,
            reading = choice.reading,
            loads_age_ms = loads_age_ms.map_or(-1, u64::cast_signed),
            sends = sends,
            left_ms = request.left_ms(now)
        );
    }

    /// Endpoints that accept no further connection from this entry. The connection limit of an
    /// endpoint is shared by all entries, and the endpoint resets connections beyond it.
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

    /// Ready endpoints of a zone to which this request would not be sent.
    pub(crate) fn unusable_endpoints(
        &self,
        service: &str,
        zone: &ZoneId,
        retry_state: &RetryState,
    ) -> Vec<EndpointId> {
        let now = self.now();
        let endpoints = self.endpoints.borrow();
        let closed = self.full_endpoints(&endpoints, service);
        let is_unusable = |it: &&Endpoint| {
            let id = &it.announcement.id;
            let is_known_bad = it.is_backing_off(now) || it.is_silent();
            let has_room = !it.is_full(now) && it.accepts_requests(now);
            is_known_bad || !has_room || closed.contains(id) || retry_state.excluded.contains(id)
        };
        let ready = endpoints.iter().filter(|it| it.is_ready());
        let of_zone = ready.filter(|it| it.announcement.zone == *zone);
        let unusable = of_zone.filter(|it| it.announcement.service == service);
        let unusable = unusable.filter(is_unusable);
        unusable.map(|it| it.announcement.id.clone()).collect()
    }

    /// Whether a service's endpoints in a zone appear to be down together.
    pub(crate) fn is_suspect(&self, service: &str, zone: &ZoneId) -> bool {
        let endpoints = self.endpoints.borrow();
        suspect_zones(&endpoints, service, self.now()).contains(&zone)
    }

    /// Why requests cannot be sent to an endpoint; `None` if they can.
    pub(crate) fn unavailability_reason(&self, id: &EndpointId) -> Option<&'static str> {
        let endpoints = self.endpoints.borrow();
        match endpoints.get(id) {
            None => Some("forgotten"),
            Some(endpoint) if !endpoint.may_be_tried() => Some("gone or draining"),
            Some(endpoint) if endpoint.is_backing_off(self.now()) => Some("failed just now"),
            Some(endpoint) if !endpoint.accepts_requests(self.now()) => {
                Some("accepts no more requests for now")
            }
            Some(_) => None,
        }
    }
}

/// The time limits of a request. The latency target counts from the caller's first attempt.
fn terms_of(request: &RelayRequest, is_resume: bool) -> Terms {
    let asked_at = request.received_at.before(request.had_waited_ms);
    Terms {
        target_latency_ms: request.route.target_latency_ms,
        answer_due_at: asked_at + request.route.target_latency_ms,
        caller_leaves_at: request.caller_leaves_at,
        deadline_at: request.deadline_at,
        is_returning: request.had_waited_ms > 0,
        is_resume,
        priority: request.priority,
        workspace: request.workspace.clone(),
    }
}
