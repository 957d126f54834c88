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

use crate::attempt::{Borne, log_failure, with_patience};
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

/// A send that is listened to.
pub(crate) struct Listened<'a> {
    /// What its endpoint had borne of the request when it was last heard.
    pub(crate) borne: Borne,
    pub(crate) endpoint: &'a Announcement,
    /// How its silence is told.
    pub(crate) failure: Failure,
    /// When something of it was heard last.
    pub(crate) heard_at: ClockMs,
    /// Silence after which it is doubted.
    pub(crate) patience_ms: u64,
    pub(crate) relay: &'a Rc<Relay>,
    pub(crate) request: &'a RelayRequest,
}

impl Listened<'_> {
    /// Waits for something of the send until it is to be doubted; `None` then.
    pub(crate) async fn until_doubted<T, N>(
        &self,
        waiting: impl Future<Output = T>,
    ) -> Option<Waited<T, N>> {
        let (relay, endpoint) = (self.relay, self.endpoint);
        let heard = with_patience(relay, endpoint, self.heard_at, self.patience_ms, waiting);
        if let Some(done) = heard.await {
            return Some(Waited::Done(done));
        }
        if self.request.left_ms(relay.now()) == 0 {
            return Some(Waited::Over);
        }
        if relay.has_ended(&endpoint.id) {
            return Some(Waited::Ended);
        }
        relay.note_failure(endpoint, self.failure);
        None
    }

    /// Waits for something of a send that is doubted, or for its successor, whichever comes first; to
    /// the end of the request's time where no successor can be had.
    pub(crate) async fn until_replaced<T, N>(
        &self,
        waiting: impl Future<Output = T>,
        next: impl Future<Output = Result<N, Obstacle>>,
    ) -> Waited<T, N> {
        let (relay, request) = (self.relay, self.request);
        tokio::pin!(waiting);
        let next = tokio::select! {
            biased;
            done = waiting.as_mut() => {
                note_went_on(relay, request, self.endpoint, self.heard_at);
                return Waited::Done(done);
            }
            next = next => next,
        };
        if let Ok(next) = next {
            self.note_replaced();
            return Waited::Replaced(next);
        }
        let left = Duration::from_millis(request.left_ms(relay.now()));
        match timeout(left, waiting).await {
            Ok(done) => {
                note_went_on(relay, request, self.endpoint, self.heard_at);
                Waited::Done(done)
            }
            Err(_) => Waited::Over,
        }
    }

    /// Notes that the send was ended for its successor.
    fn note_replaced(&self) {
        let cause = "silent until its successor was connected";
        log_failure(
            self.relay,
            self.request,
            self.endpoint,
            self.failure.name(),
            cause,
        );
        watch_for_crash(
            self.relay,
            self.request,
            self.endpoint,
            self.failure,
            self.borne,
        );
    }
}

/// Notes that a send which was doubted goes on: its endpoint bears no mark of that.
fn note_went_on(relay: &Relay, request: &RelayRequest, endpoint: &Announcement, heard_at: ClockMs) {
    relay.with_endpoint(&endpoint.id, |it| it.health.retract_failure());
    log_event!(
        info,
        events::RUN_WENT_ON,
        request = request.id,
        endpoint = endpoint.id,
        silent_ms = relay.now().since(heard_at),
        left_ms = request.left_ms(relay.now())
    );
}
