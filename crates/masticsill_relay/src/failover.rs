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

use crate::attempt::{RunProgress, log_failure, with_silence_timeout};
use crate::crash_check::check_for_crash;
use crate::events;
use crate::relay::Relay;
use crate::request::RelayRequest;
use crate::retry_state::Obstacle;

/// Cause of a send's end where its endpoint's life has ended.
pub(crate) const INCARNATION_REPLACED: &str = "another life has its id or address";

/// How the wait for something of a send ended.
pub(crate) enum WatchResult<T, N> {
    Done(T),
    /// Its endpoint's life has ended: nothing more can come.
    Superseded,
    /// The connection of its successor stands.
    Replaced(N),
    /// The request's time is over.
    DeadlineReached,
}

/// A send that is listened to.
pub(crate) struct WatchedAttempt<'a> {
    /// What its endpoint had borne of the request when it was last heard.
    pub(crate) progress: RunProgress,
    pub(crate) endpoint: &'a Announcement,
    /// How its silence is told.
    pub(crate) failure: Failure,
    /// When something of it was heard last.
    pub(crate) last_received_at: ClockMs,
    /// Silence after which it is doubted.
    pub(crate) silence_timeout_ms: u64,
    pub(crate) relay: &'a Rc<Relay>,
    pub(crate) request: &'a RelayRequest,
}

impl WatchedAttempt<'_> {
    /// Waits for something of the send until it is to be doubted; `None` then.
    pub(crate) async fn wait_until_silent<T, N>(
        &self,
        waiting: impl Future<Output = T>,
    ) -> Option<WatchResult<T, N>> {
        let (relay, endpoint) = (self.relay, self.endpoint);
        let heard = with_silence_timeout(
            relay,
            endpoint,
            self.last_received_at,
            self.silence_timeout_ms,
            waiting,
        );
        if let Some(done) = heard.await {
            return Some(WatchResult::Done(done));
        }
        if self.request.left_ms(relay.now()) == 0 {
            return Some(WatchResult::DeadlineReached);
        }
        if relay.has_incarnation_ended(&endpoint.id) {
            return Some(WatchResult::Superseded);
        }
        relay.note_failure(endpoint, self.failure);
        None
    }

    /// Waits for something of a send that is doubted, or for its successor, whichever comes first; to
    /// the end of the request's time where no successor can be had.
    pub(crate) async fn wait_until_replaced<T, N>(
        &self,
        waiting: impl Future<Output = T>,
        next: impl Future<Output = Result<N, Obstacle>>,
    ) -> WatchResult<T, N> {
        let (relay, request) = (self.relay, self.request);
        tokio::pin!(waiting);
        let next = tokio::select! {
            biased;
            done = waiting.as_mut() => {
                note_recovered(relay, request, self.endpoint, self.last_received_at);
                return WatchResult::Done(done);
            }
            next = next => next,
        };
        if let Ok(next) = next {
            self.note_replaced();
            return WatchResult::Replaced(next);
        }
        let left = Duration::from_millis(request.left_ms(relay.now()));
        match timeout(left, waiting).await {
            Ok(done) => {
                note_recovered(relay, request, self.endpoint, self.last_received_at);
                WatchResult::Done(done)
            }
            Err(_) => WatchResult::DeadlineReached,
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
        check_for_crash(
            self.relay,
            self.request,
            self.endpoint,
            self.failure,
            self.progress,
        );
    }
}

/// Notes that a send which was doubted goes on: its endpoint bears no mark of that.
fn note_recovered(
    relay: &Relay,
    request: &RelayRequest,
    endpoint: &Announcement,
    last_received_at: ClockMs,
) {
    relay.with_endpoint(&endpoint.id, |it| it.health.take_back_failure());
    log_event!(
        info,
        events::RUN_WENT_ON,
        request = request.id,
        endpoint = endpoint.id,
        silent_ms = relay.now().since(last_received_at),
        left_ms = request.left_ms(relay.now())
    );
}
