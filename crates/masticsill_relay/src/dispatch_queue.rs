//! Queue of requests that wait for an endpoint, until the dispatcher ends their wait.

use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use masticsill_dispatch::{
    Choice, Decision, DispatchContext, EntryPosition, Overload, Requirements, Terms, Ticket,
    WaitOutcome,
};
use masticsill_registry::{Announcement, EndpointId};
use masticsill_rollout::VersionFilter;
use masticsill_types::log_event;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::events;
use crate::relay::Relay;
use crate::request::RelayRequest;
use crate::reservation::{Reservation, ReservedLoad};

/// Interval at which the queue is checked even without a change, so that requests that cannot be
/// served are refused soon.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// How the wait of a queued request ended.
pub(crate) enum WaitEnd {
    Refused(Overload),
    Assigned(Box<Choice>, Box<Reservation>),
    Stopping,
}

/// Receivers of wait results, by ticket.
pub(crate) type Waiters = IndexMap<Ticket, Waiter>;

/// A queued request.
pub(crate) struct Waiter {
    end: oneshot::Sender<WaitEnd>,
    load: ReservedLoad,
}

/// Result of dispatching a request.
pub(crate) enum Dispatched {
    /// No usable endpoint of the service is known.
    NoEndpoint,
    Refused(Overload),
    Assigned(Box<Choice>, Box<Reservation>),
    /// This relay is about to stop and could not complete the request.
    Stopping,
}

/// Removes a request from the queue when its caller disconnects.
struct QueueGuard<'a> {
    relay: &'a Relay,
    ticket: Ticket,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.relay.dispatcher.borrow_mut().withdraw(self.ticket);
        self.relay.waiters.borrow_mut().swap_remove(&self.ticket);
    }
}

/// Reserves an endpoint for a request, and queues the request while no endpoint has capacity.
pub(crate) async fn dispatch(
    relay: &Rc<Relay>,
    request: &RelayRequest,
    need: &Requirements,
    terms: &Terms,
) -> Dispatched {
    let load = ReservedLoad::from(&need.work);
    let now = relay.now();
    let decision = {
        let endpoints = relay.endpoints.borrow();
        let closed = relay.full_endpoints(&endpoints, &need.service);
        let context = dispatch_context(relay, &closed, &[]);
        let mut dispatcher = relay.dispatcher.borrow_mut();
        dispatcher.submit(now, &endpoints, need, terms, &context, rand::random)
    };
    let ticket = match decision {
        Decision::NoEndpoint => return Dispatched::NoEndpoint,
        Decision::Refuse(overload) => {
            note_overload(relay, request, overload, 0);
            return Dispatched::Refused(overload);
        }
        Decision::Send(choice) => {
            let Some(endpoint) = announcement_of(relay, &choice) else {
                return Dispatched::NoEndpoint;
            };
            let reservation = Reservation::take(relay, endpoint, load);
            return Dispatched::Assigned(Box::new(choice), Box::new(reservation));
        }
        Decision::Wait(ticket) => ticket,
    };
    let (end, ended) = oneshot::channel();
    relay
        .waiters
        .borrow_mut()
        .insert(ticket, Waiter { end, load });
    let guard = QueueGuard { relay, ticket };
    let end = ended.await;
    drop(guard);
    let waited_ms = relay.now().since(now);
    relay.metrics.note_wait_ms(waited_ms);
    match end {
        Ok(WaitEnd::Assigned(choice, reservation)) => {
            log_event!(
                info,
                events::REQUEST_WAITED,
                request = request.id,
                route = request.route.name,
                endpoint = choice.id,
                waited_ms = waited_ms,
                left_ms = request.left_ms(relay.now())
            );
            Dispatched::Assigned(choice, reservation)
        }
        Ok(WaitEnd::Refused(overload)) => {
            note_overload(relay, request, overload, waited_ms);
            Dispatched::Refused(overload)
        }
        Ok(WaitEnd::Stopping) => Dispatched::Stopping,
        Err(_) => Dispatched::NoEndpoint,
    }
}

/// Ends the waits of queued requests whenever capacity changes, until the relay ends.
pub(crate) async fn run_dispatch(relay: Rc<Relay>) {
    loop {
        // After the timeout the queue is checked without a change.
        let _ = timeout(QUEUE_CHECK_INTERVAL, relay.capacity_changed.notified()).await;
        while let Some(ended) = next_end(&relay) {
            end_wait(&relay, ended);
        }
    }
}

fn next_end(relay: &Rc<Relay>) -> Option<WaitOutcome> {
    let mut dispatcher = relay.dispatcher.borrow_mut();
    if dispatcher.waiting() == 0 {
        return None;
    }
    let endpoints = relay.endpoints.borrow();
    let services = dispatcher.waiting_services();
    let closed = services.flat_map(|service| relay.full_endpoints(&endpoints, service));
    let closed: Vec<EndpointId> = closed.collect();
    let versions = relay.queue_versions(&endpoints, dispatcher.waiting_services());
    let context = dispatch_context(relay, &closed, &versions);
    dispatcher.next(relay.now(), &endpoints, &context, rand::random)
}

fn end_wait(relay: &Rc<Relay>, ended: WaitOutcome) {
    let waiter = relay.waiters.borrow_mut().swap_remove(&ended.ticket());
    let Some(Waiter { end, load }) = waiter else {
        return;
    };
    let wait_end = match ended {
        // The waiting task learns of it from the dropped sender.
        WaitOutcome::NoEndpoint(_) => return,
        WaitOutcome::Refuse(_, overload) => WaitEnd::Refused(overload),
        WaitOutcome::Send(_, choice) => {
            let Some(endpoint) = announcement_of(relay, &choice) else {
                return;
            };
            let reservation = Reservation::take(relay, endpoint, load);
            WaitEnd::Assigned(Box::new(choice), Box::new(reservation))
        }
        WaitOutcome::Stopping(_) => WaitEnd::Stopping,
    };
    // The send fails only if the caller has just disconnected. It then drops a reservation, which
    // frees it.
    let _ = end.send(wait_end);
}

fn dispatch_context<'a>(
    relay: &'a Relay,
    closed: &'a [EndpointId],
    queue_versions: &'a [(String, VersionFilter)],
) -> DispatchContext<'a> {
    DispatchContext {
        closed,
        entry: EntryPosition {
            entries: relay.entry_count(),
            node: &relay.config.node,
            share: relay.zone_share.get(),
            zone: &relay.config.zone,
        },
        queue_versions,
    }
}

fn announcement_of(relay: &Relay, choice: &Choice) -> Option<Announcement> {
    let endpoints = relay.endpoints.borrow();
    let endpoint = endpoints.get(&choice.id)?;
    Some(endpoint.announcement.clone())
}

fn note_overload(relay: &Relay, request: &RelayRequest, overload: Overload, waited_ms: u64) {
    relay.metrics.overload_refused.inc();
    log_event!(
        warn,
        events::OVERLOAD_REFUSED,
        request = request.id,
        route = request.route.name,
        service = request.service,
        priority = request.priority.workspace,
        route_priority = request.priority.route,
        yields_to_urgent = overload.yields_to_urgent,
        ahead = overload.ahead,
        wait_ms = overload.wait_ms,
        waited_ms = waited_ms,
        had_waited_ms = request.had_waited_ms,
        retry_after_ms = overload.retry_after_ms
    );
}
