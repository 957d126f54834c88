//! Admission control and dispatch: sends requests to endpoints, queues them or refuses them.
//!
//! The dispatcher handles any load beyond the capacity of the endpoints, from the loss of a zone to
//! ten times the usual number of requests. Excess requests are not sent, since every prompt that an
//! engine reads for a caller that has given up takes the place of one that could be answered in
//! time. Requests that can still be answered in time wait for the first endpoint with capacity; all
//! others are refused at once. When a burst exceeds the capacity, the more urgent requests wait and
//! start first, and each that is refused costs a less urgent one its place in the queue.

use indexmap::IndexMap;
use masticsill_registry::EndpointId;
use masticsill_rollout::{ANY_VERSION, VersionBinding, VersionFilter};
use masticsill_types::ClockMs;

use crate::capacity::{Contention, EntryPosition, has_capacity};
use crate::endpoint::Endpoint;
use crate::endpoints::EndpointTable;
use crate::estimate::{latest_start, wait_ms};
use crate::placement::{Choice, PlacementRequest, choose, suspect_zones};
use crate::refusal::{Overload, refuse};
use crate::service_queue::{
    QueuePlace, QueuedRequest, Rank, Requirements, ServiceQueue, Terms, Ticket,
};
use crate::stop_limits::StopLimits;

/// Divisor of the target latency: after this part of it (a tenth), a queued request is either
/// refused or committed. A committed request is not refused any more unless its deadline passes.
const COMMIT_TARGET_DIVISOR: u64 = 10;
/// Upper bound of the time until a queued request is refused or committed: callers learn of a
/// refusal within half a second.
const MAX_COMMIT_DELAY_MS: u64 = 400;
/// Longest wait of a request that can't meet its target latency any more: the time in which every
/// engine reads about two prompts.
const MAX_LATE_WAIT_MS: u64 = 3_000;
/// Requests that may wait for one service at one entry: more than can be served in time, so that a
/// wrong estimate can't exhaust memory. Resumed answers are counted apart from all others, which
/// would otherwise keep them out.
const MAX_QUEUED_REQUESTS: usize = 256;

/// This entry's circumstances that a decision depends on.
pub struct DispatchContext<'a> {
    /// Endpoints that accept no further connections from this entry.
    pub closed: &'a [EndpointId],
    /// This entry's position among all entries.
    pub entry: EntryPosition<'a>,
    /// By service, the versions that queued requests may be sent to at present; any version for
    /// services that are not listed. Only [`Dispatcher::next`] uses them.
    pub queue_versions: &'a [(String, VersionFilter)],
}

impl DispatchContext<'_> {
    /// The versions that a queued request may be sent to at present.
    fn versions_of<'a>(&'a self, requirements: &'a Requirements) -> &'a VersionFilter {
        if requirements.versions.binding != VersionBinding::Unbound {
            return &requirements.versions.allowed;
        }
        let mut listed = self.queue_versions.iter();
        let listed = listed.find(|(service, _)| *service == requirements.service);
        listed.map_or(&ANY_VERSION, |(_, versions)| versions)
    }
}

/// The decision on a new request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// No usable endpoint of the requested service is known.
    NoEndpoint,
    /// The request is refused because it could not be answered in time.
    Refuse(Overload),
    /// The request is sent to the chosen endpoint.
    Send(Choice),
    /// The request is queued; [`Dispatcher::next`] returns the outcome of its wait.
    Wait(Ticket),
}

/// The outcome of a queued request's wait.
#[derive(Clone, Debug, PartialEq)]
pub enum WaitOutcome {
    /// No endpoint of the version that the request requires is left, apart from those that it
    /// excludes.
    NoEndpoint(Ticket),
    /// The request is refused: it can't be answered in time any more.
    Refuse(Ticket, Overload),
    /// The request is sent to the chosen endpoint.
    Send(Ticket, Choice),
    /// This entry is about to stop and could not complete the request.
    Stopping(Ticket),
}

impl WaitOutcome {
    /// The ticket of the queued request.
    #[must_use]
    pub fn ticket(&self) -> Ticket {
        match self {
            Self::NoEndpoint(ticket)
            | Self::Refuse(ticket, _)
            | Self::Send(ticket, _)
            | Self::Stopping(ticket) => *ticket,
        }
    }
}

/// The queues of this entry, one per service.
#[derive(Clone, Debug, Default)]
pub struct Dispatcher {
    queues: IndexMap<String, ServiceQueue>,
    last_ticket: u64,
    /// Set once this entry is about to stop.
    stop: Option<StopLimits>,
}

impl Dispatcher {
    /// Decides on a new request. `jitter` returns random numbers between 0 and 1.
    pub fn submit(
        &mut self,
        now: ClockMs,
        table: &EndpointTable,
        requirements: &Requirements,
        terms: &Terms,
        context: &DispatchContext<'_>,
        mut jitter: impl FnMut() -> f64,
    ) -> Decision {
        let queue = self.queues.entry(requirements.service.clone()).or_default();
        queue.note_workspace(now, terms);
        let rank = rank_of(queue, now, table, requirements, terms);
        let ahead = queue.ahead_of(QueuePlace::of(rank, terms));
        let contention = queue.contention(now, now);
        let yields = rank == Rank::Late && queue.is_overload_sustained(now);
        let allowed = or_any(table, requirements, &requirements.versions.allowed);
        let choose_of = |versions: &VersionFilter, jitter: &mut _| {
            let request = placement_request(requirements, context, versions);
            choose_available(
                now,
                table,
                requirements,
                &request,
                contention,
                context,
                jitter,
            )
        };
        let mut choice = None;
        // Queued requests wait for the allowed versions, so that they don't need what is drawn.
        let is_first = ahead == 0 || !allowed.is_unrestricted();
        if let Some(drawn) = requirements
            .versions
            .drawn
            .as_ref()
            .filter(|_| is_first && !yields)
        {
            let may_take = |it: &Choice| {
                is_healthy(table, now, &it.id) && !is_awaited_by_resume(queue, table, &it.id)
            };
            choice = choose_of(drawn, &mut jitter).filter(may_take);
        }
        if choice.is_none() && ahead == 0 && !yields {
            choice = choose_of(allowed, &mut jitter);
        }
        if matches!(rank, Rank::Returning | Rank::New) {
            queue.note_placement(choice.is_some());
        }
        if let Some(choice) = choice {
            queue.note_start(now, requirements);
            return Decision::Send(choice);
        }
        let mut request = placement_request(requirements, context, allowed);
        if rank == Rank::Resume {
            // A resumed answer waits for a connection in the queue, before new requests.
            request.closed = &[];
        }
        let any_endpoint = |_: &_| true;
        if choose(table, now, &request, any_endpoint, &mut jitter).is_none() {
            return Decision::NoEndpoint;
        }
        queue.note_overloaded(now);
        let wait_ms = wait_ms(
            queue,
            now,
            table,
            requirements,
            context.entry.entries,
            ahead,
        );
        let mut is_within_share = true;
        let is_soon_enough = match rank {
            Rank::Resume => true,
            Rank::Returning | Rank::New => {
                let max_wait_ms = latest_start(queue, table, requirements, terms).since(now);
                let per_request_ms = (wait_ms / (ahead as u64 + 1)).max(1);
                let places = usize::try_from(max_wait_ms / per_request_ms).unwrap_or(usize::MAX);
                is_within_share = !queue.is_share_exhausted(terms, places);
                wait_ms <= max_wait_ms
            }
            Rank::Late => !yields && is_accepted_in_time(now, table, requirements, terms, ahead),
        };
        if !is_soon_enough {
            queue.note_refusal(now, terms.priority);
        }
        let may_wait = is_soon_enough && is_within_share;
        let yields_to_urgent = may_wait
            && matches!(rank, Rank::Returning | Rank::New)
            && queue.yields_to_urgent(now, terms.priority);
        if !may_wait || yields_to_urgent || queue.len_beside(rank) >= MAX_QUEUED_REQUESTS {
            let overload = refuse(queue, now, terms, ahead, wait_ms, jitter());
            return Decision::Refuse(Overload {
                yields_to_urgent,
                ..overload
            });
        }
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        queue.push(QueuedRequest {
            is_committed: rank == Rank::Resume,
            // A reservation lapses within moments, so a queued request doesn't keep it.
            requirements: Requirements {
                reserved_endpoint: None,
                ..requirements.clone()
            },
            rank,
            since: now,
            terms: terms.clone(),
            ticket,
        });
        Decision::Wait(ticket)
    }

    /// Returns the next queued request whose wait has ended, with its outcome.
    ///
    /// Call this after each change of an endpoint until it returns `None`, and again within a few
    /// tens of milliseconds, since waits also end by the passage of time.
    pub fn next(
        &mut self,
        now: ClockMs,
        table: &EndpointTable,
        context: &DispatchContext<'_>,
        mut jitter: impl FnMut() -> f64,
    ) -> Option<WaitOutcome> {
        for queue in self.queues.values_mut().filter(|queue| !queue.is_empty()) {
            if let Some(waiting) = take_unservable(queue, table) {
                return Some(WaitOutcome::NoEndpoint(waiting.ticket));
            }
            if let Some(stop) = &self.stop
                && let Some(waiting) =
                    take_incompletable(queue, now, table, context.entry.entries, stop)
            {
                return Some(WaitOutcome::Stopping(waiting.ticket));
            }
            if let Some(waiting) = take_expired(queue, now, table, context.entry.entries) {
                queue.note_refusal(now, waiting.terms.priority);
                let ahead = queue.ahead_of(waiting.place());
                let wait_ms = wait_ms(
                    queue,
                    now,
                    table,
                    &waiting.requirements,
                    context.entry.entries,
                    ahead,
                );
                let overload = refuse(queue, now, &waiting.terms, ahead, wait_ms, jitter());
                return Some(WaitOutcome::Refuse(waiting.ticket, overload));
            }
            let Some((ticket, choice)) = next_start(queue, now, table, context, &mut jitter) else {
                continue;
            };
            let waiting = queue.take(ticket)?;
            queue.note_start(now, &waiting.requirements);
            return Some(WaitOutcome::Send(ticket, choice));
        }
        None
    }

    /// Begins a planned stop: queued requests that can't be completed here any more are returned by
    /// [`Self::next`], so that their callers can go elsewhere while they have time left.
    pub fn begin_stop(&mut self, limits: StopLimits) {
        self.stop = Some(limits);
    }

    /// Removes a queued request whose caller has disconnected.
    pub fn withdraw(&mut self, ticket: Ticket) {
        for queue in self.queues.values_mut() {
            if queue.take(ticket).is_some() {
                return;
            }
        }
    }

    /// Whether a request for the service found no capacity lately.
    #[must_use]
    pub fn is_overloaded(&self, now: ClockMs, service: &str) -> bool {
        let queue = self.queues.get(service);
        queue.is_some_and(|queue| queue.is_overloaded(now))
    }

    /// Services that have queued requests.
    pub fn waiting_services(&self) -> impl Iterator<Item = &str> {
        let queues = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        queues.map(|(service, _)| service.as_str())
    }

    /// Number of queued requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queues.values().map(ServiceQueue::len).sum()
    }
}

/// Returns the first queued request that can start, and its endpoint.
///
/// A request that finds no capacity blocks those behind it; otherwise small requests would take all
/// capacity before a large one could start. A request that excludes some endpoints, or has to stay
/// on its version, doesn't block others.
fn next_start(
    queue: &ServiceQueue,
    now: ClockMs,
    table: &EndpointTable,
    context: &DispatchContext<'_>,
    jitter: &mut impl FnMut() -> f64,
) -> Option<(Ticket, Choice)> {
    for waiting in queue.in_order() {
        let contention = match waiting.rank {
            Rank::Resume => Contention::Uncontended,
            Rank::Returning | Rank::New | Rank::Late => queue.contention(now, waiting.since),
        };
        let requirements = &waiting.requirements;
        let versions = or_any(table, requirements, context.versions_of(requirements));
        let choice = choose_available(
            now,
            table,
            requirements,
            &placement_request(requirements, context, versions),
            contention,
            context,
            jitter,
        );
        if let Some(choice) = choice {
            return Some((waiting.ticket, choice));
        }
        let is_bound = requirements.versions.binding != VersionBinding::Unbound;
        let is_bound = is_bound && !versions.is_unrestricted();
        if requirements.excluded.is_empty() && !is_bound {
            return None;
        }
    }
    None
}

/// Chooses the best endpoint with capacity.
///
/// An endpoint that has just failed, or whose zone has, often has capacity for that very reason. It
/// is chosen only if all candidates are unhealthy.
fn choose_available(
    now: ClockMs,
    table: &EndpointTable,
    requirements: &Requirements,
    request: &PlacementRequest<'_>,
    contention: Contention,
    context: &DispatchContext<'_>,
    jitter: &mut impl FnMut() -> f64,
) -> Option<Choice> {
    let suspect = suspect_zones(table, &requirements.service, now);
    let is_healthy = |it: &Endpoint| {
        !it.is_doubted() && !it.is_backing_off(now) && !suspect.contains(&&it.announcement.zone)
    };
    let is_any_healthy = table
        .iter()
        .any(|it| request.is_candidate(it) && is_healthy(it) && it.accepts_requests(now));
    let is_available = |it: &Endpoint| {
        let has_capacity = has_capacity(it, now, requirements, &context.entry, contention);
        has_capacity && (is_healthy(it) || !is_any_healthy)
    };
    choose(table, now, request, is_available, jitter)
}

/// The versions, or any if no endpoint of theirs is registered as ready and the request does not
/// require them: they may have been stopped while the request waited.
fn or_any<'a>(
    table: &EndpointTable,
    requirements: &Requirements,
    versions: &'a VersionFilter,
) -> &'a VersionFilter {
    let is_required = requirements.versions.binding == VersionBinding::Required;
    let is_kept = is_required || versions.is_unrestricted();
    if is_kept || table.has_ready(&requirements.service, versions, &[]) {
        versions
    } else {
        &ANY_VERSION
    }
}

/// Whether an endpoint is neither silent nor backing off.
fn is_healthy(table: &EndpointTable, now: ClockMs, id: &EndpointId) -> bool {
    let endpoint = table.get(id);
    endpoint.is_some_and(|it| !it.is_doubted() && !it.is_backing_off(now))
}

/// Whether a queued resumed answer may be sent to an endpoint. It goes there before new requests.
fn is_awaited_by_resume(queue: &ServiceQueue, table: &EndpointTable, id: &EndpointId) -> bool {
    let Some(endpoint) = table.get(id) else {
        return false;
    };
    let version = &endpoint.announcement.version;
    let may_use = |requirements: &Requirements| {
        requirements.versions.allowed.allows(version) && !requirements.excluded.contains(id)
    };
    let mut resumes = queue.resumes();
    resumes.any(|it| may_use(&it.requirements))
}

fn placement_request<'a>(
    requirements: &'a Requirements,
    context: &DispatchContext<'a>,
    versions: &'a VersionFilter,
) -> PlacementRequest<'a> {
    PlacementRequest {
        closed: context.closed,
        excluded: &requirements.excluded,
        cached: &requirements.cached,
        not_in_zone: None,
        reserved_endpoint: requirements.reserved_endpoint.as_ref(),
        service: &requirements.service,
        share: context.entry.share,
        versions,
        zone: context.entry.zone,
    }
}

fn rank_of(
    queue: &ServiceQueue,
    now: ClockMs,
    table: &EndpointTable,
    requirements: &Requirements,
    terms: &Terms,
) -> Rank {
    if terms.is_resume {
        Rank::Resume
    } else if now > latest_start(queue, table, requirements, terms) {
        Rank::Late
    } else if terms.is_returning {
        Rank::Returning
    } else {
        Rank::New
    }
}

/// Whether an endpoint accepts the request before its deadline, by what endpoints said of themselves.
fn is_accepted_in_time(
    now: ClockMs,
    table: &EndpointTable,
    requirements: &Requirements,
    terms: &Terms,
    ahead: usize,
) -> bool {
    now + table.acceptance_wait_ms(now, &requirements.service, ahead) < terms.deadline_at
}

/// Removes the first queued request that requires a version without a ready endpoint, apart from
/// those that it excludes.
fn take_unservable(queue: &mut ServiceQueue, table: &EndpointTable) -> Option<QueuedRequest> {
    let is_unservable = |waiting: &&QueuedRequest| {
        let Requirements {
            excluded,
            service,
            versions,
            ..
        } = &waiting.requirements;
        let is_required = versions.binding == VersionBinding::Required;
        is_required && !table.has_ready(service, &versions.allowed, excluded)
    };
    let unservable = queue.in_order().into_iter().find(is_unservable);
    let ticket = unservable.map(|it| it.ticket)?;
    queue.take(ticket)
}

/// Removes the first queued request that can't be completed before this entry stops.
fn take_incompletable(
    queue: &mut ServiceQueue,
    now: ClockMs,
    table: &EndpointTable,
    entries: u32,
    stop: &StopLimits,
) -> Option<QueuedRequest> {
    let mut order = queue.in_order().into_iter().enumerate();
    let incompletable = order.find(|(ahead, waiting)| {
        let wait_ms = wait_ms(queue, now, table, &waiting.requirements, entries, *ahead);
        !stop.allows(now, wait_ms, waiting)
    });
    let ticket = incompletable.map(|(_, waiting)| waiting.ticket)?;
    queue.take(ticket)
}

/// Removes the first queued request that can't be served in time.
///
/// Each request is checked against the latest estimates once it has waited for the commit delay,
/// and is committed if it can still be answered in time.
fn take_expired(
    queue: &mut ServiceQueue,
    now: ClockMs,
    table: &EndpointTable,
    entries: u32,
) -> Option<QueuedRequest> {
    let mut committed = Vec::new();
    let mut expired = None;
    for (ahead, waiting) in queue.in_order().into_iter().enumerate() {
        let is_past_deadline = now >= waiting.terms.deadline_at;
        let commit_ms =
            MAX_COMMIT_DELAY_MS.min(waiting.terms.target_latency_ms / COMMIT_TARGET_DIVISOR);
        let is_due = !waiting.is_committed && now.since(waiting.since) >= commit_ms;
        let is_hopeless = is_due && {
            let wait_ms = wait_ms(queue, now, table, &waiting.requirements, entries, ahead);
            let latest = latest_start(queue, table, &waiting.requirements, &waiting.terms);
            match waiting.rank {
                Rank::Late => {
                    let (requirements, terms) = (&waiting.requirements, &waiting.terms);
                    queue.is_overload_sustained(now)
                        || now.since(waiting.since) >= MAX_LATE_WAIT_MS
                        || !is_accepted_in_time(now, table, requirements, terms, ahead)
                }
                Rank::Resume | Rank::Returning | Rank::New => now + wait_ms > latest,
            }
        };
        if is_past_deadline || is_hopeless {
            expired = Some(waiting.ticket);
            break;
        }
        if is_due && waiting.rank != Rank::Late {
            committed.push(waiting.ticket);
        }
    }
    queue.commit(&committed);
    queue.take(expired?)
}
