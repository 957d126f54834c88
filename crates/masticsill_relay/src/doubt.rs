//! What becomes of a send whose endpoint has been silent for too long.
//!
//! Silence proves nothing: it may be the relay's own, and an answer that comes late is worth more than
//! none. So the send is listened to until the connection of its successor stands, and to its end where
//! no successor can be had. Ended first, it would be lost whenever the retry budget, the route's
//! attempts or a connection are then wanting.

use std::rc::Rc;
use std::time::Duration;

use masticsill_dispatch::Failure;
use masticsill_registry::Announcement;
use masticsill_types::{ClockMs, log_event};
use tokio::time::timeout;

use crate::attempt::{Borne, log_failure};
use crate::crash_watch::watch_for_crash;
use crate::events;
use crate::relay::Relay;
use crate::request::RelayRequest;
use crate::tries::Obstacle;

/// Cause of a send's end where its endpoint's life has ended.
pub(crate) const LIFE_ENDED: &str = "another life has its id or address";

/// How the wait for something of a send ended.
pub(crate) enum Waited<T, N> {
    Done(T),
    /// Its endpoint's life has ended: nothing more can come.
    Ended,
    /// The connection of its successor stands.
    Replaced(N),
    /// The request's time is over.
    Over,
}

/// Waits for something of a send, or for its successor, whichever comes first.
pub(crate) async fn until_replaced<T, N>(
    relay: &Relay,
    request: &RelayRequest,
    waiting: impl Future<Output = T>,
    next: impl Future<Output = Result<N, Obstacle>>,
) -> Waited<T, N> {
    tokio::pin!(waiting);
    let next = tokio::select! {
        biased;
        done = waiting.as_mut() => return Waited::Done(done),
        next = next => next,
    };
    if let Ok(next) = next {
        return Waited::Replaced(next);
    }
    let left = Duration::from_millis(request.left_ms(relay.now()));
    match timeout(left, waiting).await {
        Ok(done) => Waited::Done(done),
        Err(_) => Waited::Over,
    }
}

/// Notes that a send was ended for its successor.
pub(crate) fn note_replaced(
    relay: &Rc<Relay>,
    request: &RelayRequest,
    endpoint: &Announcement,
    failure: Failure,
    borne: Borne,
) {
    let cause = "silent until its successor was connected";
    log_failure(relay, request, endpoint, failure.name(), cause);
    watch_for_crash(relay, request, endpoint, failure, borne);
}

/// Notes that a send which was doubted goes on: its endpoint bears no mark of that.
pub(crate) fn note_went_on(
    relay: &Relay,
    request: &RelayRequest,
    endpoint: &Announcement,
    heard_at: ClockMs,
) {
    relay.with_endpoint(&endpoint.id, |it| it.health.take_back_failure());
    log_event!(
        info,
        events::RUN_WENT_ON,
        request = request.id,
        endpoint = endpoint.id,
        silent_ms = relay.now().since(heard_at),
        left_ms = request.left_ms(relay.now())
    );
}
