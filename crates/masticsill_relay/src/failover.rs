//! Handling of an attempt whose endpoint has been silent for too long.
//!
//! Silence proves nothing: the cause may be the relay itself, and a late response is worth more
//! than none. The attempt is therefore kept open until the connection of its replacement is
//! established, and to the request's deadline if there is no replacement. Ending the attempt first
//! would lose the request whenever the retry budget or the route's attempts are exhausted or no
//! connection can be made.

use std::rc::Rc;
use std::time::Duration;

use masticsill_dispatch::{EVENT_GAP_TIMEOUT_MS, Failure};
use masticsill_registry::Announcement;
use masticsill_types::{ClockMs, log_event};
use tokio::time::timeout;

use crate::attempt::{RunProgress, log_failure, with_silence_timeout};
use crate::crash_check::{LeftRun, check_for_crash};
use crate::events;
use crate::relay::Relay;
use crate::request::RelayRequest;
use crate::retry_state::Obstacle;
use crate::rollout_evidence::AttemptOutcome;

/// Interval of looking whether the zone is down, while a run is kept longer than at a steady engine.
const ZONE_CHECK_INTERVAL_MS: u64 = 50;
/// Failure cause of an attempt whose endpoint incarnation has been replaced.
pub(crate) const INCARNATION_REPLACED: &str = "another life has its id or address";

/// Result of watching an attempt.
pub(crate) enum WatchResult<T, N> {
    Done(T),
    /// The endpoint's incarnation has been replaced: nothing more can arrive.
    Superseded,
    /// The connection of the replacement attempt is established.
    Replaced(N),
    /// The request's deadline has passed.
    DeadlineReached,
}

/// An attempt that is being watched for its next bytes.
pub(crate) struct WatchedAttempt<'a> {
    /// Progress of the request when the endpoint was last heard from.
    pub(crate) progress: RunProgress,
    pub(crate) endpoint: &'a Announcement,
    /// The kind of failure that a silence counts as.
    pub(crate) failure: Failure,
    /// When anything was last received on the attempt.
    pub(crate) last_received_at: ClockMs,
    /// Silence after which the attempt is presumed to have failed.
    pub(crate) silence_timeout_ms: u64,
    pub(crate) relay: &'a Rc<Relay>,
    pub(crate) request: &'a RelayRequest,
}

impl WatchedAttempt<'_> {
    /// Waits for the next bytes of the attempt; `None` once the silence timeout has passed.
    pub(crate) async fn wait_until_silent<T, N>(
        &self,
        waiting: impl Future<Output = T>,
    ) -> Option<WatchResult<T, N>> {
        let (relay, endpoint) = (self.relay, self.endpoint);
        tokio::pin!(waiting);
        let mut silence_ms = self.silence_timeout_ms;
        if self.failure == Failure::Stalled {
            silence_ms = silence_ms.min(EVENT_GAP_TIMEOUT_MS);
        }
        loop {
            let received = self.wait_for_bytes(silence_ms, waiting.as_mut());
            if let Some(done) = received.await {
                return Some(WatchResult::Done(done));
            }
            // The wait ends early if another run reported the endpoint or its zone as stalled. A
            // zone that is down is detected as soon as at steady engines, also by runs at slow ones.
            let is_reported = relay.now() < self.last_received_at + silence_ms;
            let is_over = silence_ms >= self.silence_timeout_ms;
            if is_over || is_reported || relay.is_zone_stalled(endpoint) {
                break;
            }
            silence_ms = self
                .silence_timeout_ms
                .min(silence_ms + ZONE_CHECK_INTERVAL_MS);
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

    /// Waits for the next bytes of the attempt; `None` once it has been silent for a time.
    async fn wait_for_bytes<T>(
        &self,
        silence_timeout_ms: u64,
        waiting: impl Future<Output = T>,
    ) -> Option<T> {
        with_silence_timeout(
            self.relay,
            self.endpoint,
            self.last_received_at,
            silence_timeout_ms,
            waiting,
        )
        .await
    }

    /// Waits for the next bytes of a silent attempt or for its replacement, whichever comes first;
    /// without a replacement, until the request's deadline.
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
                record_recovered(relay, request, self.endpoint, self.last_received_at);
                return WatchResult::Done(done);
            }
            next = next => next,
        };
        if let Ok(next) = next {
            return WatchResult::Replaced(next);
        }
        let left = Duration::from_millis(request.left_ms(relay.now()));
        match timeout(left, waiting).await {
            Ok(done) => {
                record_recovered(relay, request, self.endpoint, self.last_received_at);
                WatchResult::Done(done)
            }
            Err(_) => WatchResult::DeadlineReached,
        }
    }

    /// Records that the attempt was ended in favour of its replacement, which prefills
    /// `prompt_tokens_again` tokens once more.
    pub(crate) fn note_replaced(&self, prompt_tokens_again: u64) {
        if !self.progress.is_answered() {
            let latency_ms = Some(self.relay.now().since(self.progress.began_at));
            self.relay.note_evidence(
                &self.endpoint.service,
                self.progress.evidence,
                AttemptOutcome::Answered { latency_ms },
            );
        }
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
            Some(LeftRun {
                is_stalled: self.failure == Failure::Stalled,
                prompt_tokens_again,
                silent_ms: self.relay.now().since(self.last_received_at),
            }),
        );
    }
}

/// Records that a silent attempt continues: the failure recorded for its endpoint is retracted.
fn record_recovered(
    relay: &Relay,
    request: &RelayRequest,
    endpoint: &Announcement,
    last_received_at: ClockMs,
) {
    relay.with_endpoint(&endpoint.id, |it| it.health.retract_failure());
    log_event!(
        info,
        events::RUN_WENT_ON,
        request = request.id,
        endpoint = endpoint.id,
        silent_ms = relay.now().since(last_received_at),
        left_ms = request.left_ms(relay.now())
    );
}
