//! Requests that wait here for an endpoint, until the dispatcher ends their wait.

use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use masticsill_dispatch::{
    Choice, Decision, DispatchContext, EntryPosition, Overload, Requirements, Terms, Ticket,
    WaitOutcome,
};
use masticsill_registry::{Announcement, EndpointId};
use masticsill_types::log_event;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::events;
use crate::relay::Relay;
use crate::request::RelayRequest;
use crate::reservation::{Place, Reservation};

/// How often the waiting requests are looked through even though nothing changed: what waits in
/// vain must hear of it soon.
const LOOK_INTERVAL: Duration = Duration::from_millis(25);

/// How a wait ended.
pub(crate) enum WaitEnd {
    Refused(Overload),
    Sent(Box<Choice>, Box<Reservation>),
}

/// Where the ends of waits go, by ticket.
pub(crate) type Waiters = IndexMap<Ticket, Waiter>;

/// A request that waits.
pub(crate) struct Waiter {
    end: oneshot::Sender<WaitEnd>,
    place: Place,
}

/// What became of a request that asked for an endpoint.
pub(crate) enum Dispatched {
    /// No endpoint of its service is known that it could go to.
    Nobody,
    Refused(Overload),
    Sent(Box<Choice>, Box<Reservation>),
}

/// Takes a request out of the queue when its caller leaves.
struct Waits<'a> {
    relay: &'a Relay,
    ticket: Ticket,
}

impl Drop for Waits<'_> {
    fn drop(&mut self) {
        self.relay.dispatcher.borrow_mut().withdraw(self.ticket);
        self.relay.waiters.borrow_mut().swap_remove(&self.ticket);
    }
}

/// Has a request sent somewhere, waiting for a place if there is none.
pub(crate) async fn dispatch(
    relay: &Rc<Relay>,
    request: &RelayRequest,
    need: &Requirements,
    terms: &Terms,
) -> Dispatched {
    let place = Place::from(&need.work);
    let now = relay.now();
    let decision = {
        let endpoints = relay.endpoints.borrow();
        let closed = relay.full_endpoints(&endpoints, &need.service);
        let around = surroundings(relay, &closed);
        let mut dispatcher = relay.dispatcher.borrow_mut();
        dispatcher.submit(now, &endpoints, need, terms, &around, rand::random)
    };
    let ticket = match decision {
        Decision::NoEndpoint => return Dispatched::Nobody,
        Decision::Refuse(overload) => {
            note_overload(relay, request, overload, 0);
            return Dispatched::Refused(overload);
        }
        Decision::Send(choice) => {
            let Some(endpoint) = announcement_of(relay, &choice) else {
                return Dispatched::Nobody;
            };
            let reservation = Reservation::take(relay, endpoint, place);
            return Dispatched::Sent(Box::new(choice), Box::new(reservation));
        }
        Decision::Wait(ticket) => ticket,
    };
    let (end, ended) = oneshot::channel();
    relay
        .waiters
        .borrow_mut()
        .insert(ticket, Waiter { end, place });
    let waits = Waits { relay, ticket };
    let end = ended.await;
    drop(waits);
    let waited_ms = relay.now().since(now);
    relay.metrics.note_wait_ms(waited_ms);
    match end {
        Ok(WaitEnd::Sent(choice, reservation)) => {
            log_event!(
                info,
                events::REQUEST_WAITED,
                request = request.id,
                route = request.route.name,
                endpoint = choice.id,
                waited_ms = waited_ms,
                left_ms = request.left_ms(relay.now())
            );
            Dispatched::Sent(choice, reservation)
        }
        Ok(WaitEnd::Refused(overload)) => {
            note_overload(relay, request, overload, waited_ms);
            Dispatched::Refused(overload)
        }
        Err(_) => Dispatched::Nobody,
    }
}

/// Ends waits whenever something changes, for good.
pub(crate) async fn run_dispatch(relay: Rc<Relay>) {
    loop {
        // Without a change in time the queue is looked through as well.
        let _ = timeout(LOOK_INTERVAL, relay.room_changed.notified()).await;
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
    let around = surroundings(relay, &closed);
    dispatcher.next(relay.now(), &endpoints, &around, rand::random)
}

fn end_wait(relay: &Rc<Relay>, ended: WaitOutcome) {
    let (ticket, choice) = match ended {
        WaitOutcome::Refuse(ticket, overload) => {
            if let Some(waiter) = relay.waiters.borrow_mut().swap_remove(&ticket) {
                // A caller that has just left needs no word.
                let _ = waiter.end.send(WaitEnd::Refused(overload));
            }
            return;
        }
        WaitOutcome::Send(ticket, choice) => (ticket, choice),
    };
    let waiter = relay.waiters.borrow_mut().swap_remove(&ticket);
    let endpoint = announcement_of(relay, &choice);
    if let (Some(waiter), Some(endpoint)) = (waiter, endpoint) {
        let reservation = Reservation::take(relay, endpoint, waiter.place);
        // If its caller has just left, the place is free again with this.
        let _ = waiter
            .end
            .send(WaitEnd::Sent(Box::new(choice), Box::new(reservation)));
    }
}

fn surroundings<'a>(relay: &'a Relay, closed: &'a [EndpointId]) -> DispatchContext<'a> {
    DispatchContext {
        closed,
        entry: EntryPosition {
            entries: relay.entry_count(),
            node: &relay.config.node,
            share: relay.share.get(),
            zone: &relay.config.zone,
        },
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
        ahead = overload.ahead,
        wait_ms = overload.wait_ms,
        waited_ms = waited_ms,
        had_waited_ms = request.had_waited_ms,
        retry_after_ms = overload.retry_after_ms
    );
}
