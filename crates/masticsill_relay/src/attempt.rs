//! One attempt: a request sent to one endpoint, up to the head of the response.

use std::rc::Rc;
use std::time::Duration;

use masticsill_catalogue::RouteKind;
use masticsill_http1::ResponseHead;
use masticsill_registry::Announcement;
use masticsill_types::{ClockMs, log_event};
use masticsill_upstream::{ExchangeError, ExpectedResponse, UpstreamConnection, dial};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until};

use crate::crash_check::check_for_crash;
use crate::events;
use crate::incarnation_check::confirm;
use crate::relay::Relay;
use crate::request::{RelayRequest, SendOptions};
use crate::reservation::Reservation;
use crate::retry_state::{Obstacle, RetryState};
use crate::rollout_evidence::{AttemptOutcome, EvidenceArm};
use crate::statements::note_statements;
use masticsill_dispatch::Failure;

/// Maximum idle time of a pooled connection used for a request that may not run twice. A short
/// limit makes it unlikely that the request crosses the endpoint's close, which would leave its
/// outcome unknown.
const MAX_IDLE_NON_REPEATABLE_MS: u64 = 1_500;
/// Silence after which an attempt is given up when its endpoint, or the endpoint's zone, is known
/// to be stalled.
const STALLED_SILENCE_TIMEOUT_MS: u64 = 150;
/// Timer lateness that indicates that the relay itself was stalled: several times what timers and a
/// busy processor cost (10 ms).
const OWN_STALL_THRESHOLD_MS: u64 = 50;
/// Extension of a timeout in which the relay reads what arrived while it was stalled itself.
const OWN_STALL_EXTENSION_MS: u64 = 100;

/// Progress of a request at one endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunProgress {
    /// When the first event of the stream arrived; never set for a plain request.
    answered_at: Option<ClockMs>,
    /// Time in milliseconds for which the preceding runs that this run resumes had produced events.
    prior_answered_ms: u64,
    pub(crate) began_at: ClockMs,
    /// Where the outcome counts as evidence on a roll-out.
    pub(crate) evidence: Option<EvidenceArm>,
}

impl RunProgress {
    /// Time in milliseconds since the endpoint's first event; 0 before that event.
    pub(crate) fn answered_ms(&self, now: ClockMs) -> u64 {
        self.answered_at.map_or(0, |at| now.since(at))
    }

    /// Whether the endpoint has sent an event.
    pub(crate) fn is_answered(&self) -> bool {
        self.answered_at.is_some()
    }

    /// Like [`Self::answered_ms`], including the preceding runs that this run resumes.
    pub(crate) fn reached_ms(&self, now: ClockMs) -> u64 {
        self.prior_answered_ms + self.answered_ms(now)
    }
}

/// One attempt: its connection, and its reservation at the endpoint. Dropping an attempt closes the
/// connection, whether or not the request was sent.
#[derive(Debug)]
pub(crate) struct Attempt {
    /// Progress of the request at the endpoint.
    pub(crate) progress: RunProgress,
    relay: Rc<Relay>,
    reservation: Reservation,
    upstream: Option<UpstreamConnection>,
}

/// How an attempt ended without a response.
#[derive(Debug)]
pub(crate) enum SendFailure {
    /// Nothing was sent: any request may be sent to another endpoint.
    NotSent,
    /// The request was sent and may have run.
    MayHaveRun,
}

impl SendFailure {
    /// Name in logs.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::MayHaveRun => "no_answer",
        }
    }
}

impl Attempt {
    pub(crate) fn upstream(&mut self) -> &mut UpstreamConnection {
        self.upstream
            .as_mut()
            .expect("the connection is taken only when the attempt is consumed or dropped")
    }

    /// The endpoint of the attempt.
    pub(crate) fn endpoint(&self) -> &Announcement {
        self.reservation.endpoint()
    }

    /// Records that the request is sent now. `prior_answered_ms` is the time for which the
    /// preceding runs that this run resumes had produced events; `is_resume` says whether there
    /// were any events.
    pub(crate) fn begin(
        &mut self,
        request: &RelayRequest,
        prior_answered_ms: u64,
        is_resume: bool,
    ) -> RunProgress {
        request.stage.note_sent();
        let evidence = self
            .relay
            .begin_evidence(request, self.endpoint(), is_resume);
        self.progress = RunProgress {
            answered_at: None,
            prior_answered_ms,
            began_at: self.relay.now(),
            evidence,
        };
        self.progress
    }

    /// Records an event of a stream; the first one ends the prefill. Returns the time in
    /// milliseconds for which the request has produced events so far, including the preceding runs
    /// that this run resumes.
    pub(crate) fn note_event(&mut self) -> u64 {
        let now = self.relay.now();
        if self.progress.answered_at.is_none() {
            self.progress.answered_at = Some(now);
            let latency_ms = Some(now.since(self.progress.began_at));
            let outcome = AttemptOutcome::Answered { latency_ms };
            self.note_evidence(outcome);
        }
        self.reservation.end_prefill();
        self.progress.reached_ms(now)
    }

    /// Counts the outcome of the attempt as evidence on a roll-out.
    pub(crate) fn note_evidence(&self, outcome: AttemptOutcome) {
        let service = &self.endpoint().service;
        self.relay
            .note_evidence(service, self.progress.evidence, outcome);
    }

    /// Returns the connection to the pool if the response allows its reuse.
    pub(crate) fn return_to_pool(mut self, head: &ResponseHead) {
        let upstream = self.upstream.take();
        let stream = upstream.and_then(UpstreamConnection::into_reusable);
        let mut pool = self.relay.pool.borrow_mut();
        match stream.filter(|_| head.is_keep_alive) {
            Some(stream) => {
                let idle_timeout_ms = keep_alive_ms(head);
                pool.put(
                    self.relay.now(),
                    &self.endpoint().id,
                    stream,
                    idle_timeout_ms,
                );
            }
            None => pool.note_closed(&self.endpoint().id),
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let progress = self.progress;
        let endpoint = self.reservation.endpoint();
        self.relay
            .end_evidence(endpoint, progress.evidence, progress.began_at);
        if self.upstream.take().is_some() {
            let id = &self.reservation.endpoint().id;
            self.relay.pool.borrow_mut().note_closed(id);
        }
    }
}

/// Connects to an endpoint, and spends retry budget if the request has reached an endpoint before.
///
/// The budget is spent only after the connection succeeds, because a failed connection puts no load
/// on any endpoint.
///
/// # Errors
///
/// Why there is no attempt: the connection failed, which excludes the endpoint in `retry_state`; a
/// crash check holds or quarantines the request; the endpoint wants no request any more; or the
/// retry budget is exhausted.
pub(crate) async fn open(
    relay: &Rc<Relay>,
    request: &RelayRequest,
    reservation: Reservation,
    retry_state: &mut RetryState,
) -> Result<Attempt, Obstacle> {
    let endpoint = reservation.endpoint().clone();
    let stream = match connect(relay, request, &endpoint, retry_state.dial_timeout_ms()).await {
        Ok(stream) => stream,
        Err(error) => {
            let cause = error.to_string();
            let failure = SendFailure::NotSent;
            log_failure(relay, request, &endpoint, failure.name(), &cause);
            relay.note_failure(&endpoint, Failure::Broken);
            retry_state.note(endpoint.id, &failure);
            return Err(Obstacle::Unreachable);
        }
    };
    // With the failed connections that led to this endpoint, which are forgotten next.
    let may_use_version = relay.may_use_version(request, retry_state, &endpoint);
    retry_state.note_connected();
    let attempt = Attempt {
        progress: RunProgress {
            answered_at: None,
            prior_answered_ms: 0,
            began_at: relay.now(),
            evidence: None,
        },
        relay: Rc::clone(relay),
        reservation,
        upstream: Some(UpstreamConnection::new(stream, &relay.buffers)),
    };
    if relay.has_withdrawn(&attempt.endpoint().id) || !may_use_version {
        return Err(Obstacle::Withdrawn);
    }
    if request.route.kind == RouteKind::Stream && !relay.is_informed() {
        // Boxed, since few requests need it.
        Box::pin(confirm(relay, request, attempt.endpoint(), retry_state)).await?;
    }
    // Other endpoints may have crashed under this request while it waited for a reservation or for
    // the connection.
    relay.check_crashes(request)?;
    if retry_state.spend(relay, request) {
        if relay.rollouts.is_some() {
            retry_state.note_version(&attempt.endpoint().version);
        }
        Ok(attempt)
    } else {
        Err(Obstacle::Budget)
    }
}

/// Sends a request on the attempt's connection and waits for the head of the response.
///
/// # Errors
///
/// The connection failed, or the endpoint's bytes are not a valid response.
pub(crate) async fn exchange(
    relay: &Relay,
    request: &RelayRequest,
    attempt: &mut Attempt,
    options: &SendOptions,
) -> Result<ResponseHead, ExchangeError> {
    let names = &relay.config.headers;
    let bytes = request.bytes_for(
        names,
        attempt.endpoint(),
        attempt.progress.began_at,
        options,
    );
    let expected = ExpectedResponse {
        method: &request.head.method,
        id_field: &names.request_id,
        request_id: &request.id,
    };
    let head = attempt.upstream().exchange(bytes, expected).await?;
    relay.record_received(&attempt.endpoint().id);
    relay.note_answer(&attempt.endpoint().id, head.status);
    note_statements(relay, attempt, &head);
    Ok(head)
}

/// Ends an attempt that failed after the request was sent.
pub(crate) fn fail(
    relay: &Relay,
    request: &RelayRequest,
    attempt: Attempt,
    failure: Failure,
    cause: &str,
) -> SendFailure {
    log_failure(relay, request, attempt.endpoint(), failure.name(), cause);
    match failure {
        Failure::Broken | Failure::Malformed | Failure::Replaced => {
            let is_answered = attempt.progress.is_answered();
            attempt.note_evidence(AttemptOutcome::Failed { is_answered });
        }
        Failure::Silent | Failure::Stalled => {}
    }
    // A response that missed the request's deadline says nothing about the endpoint's health.
    let is_silence = matches!(failure, Failure::Silent | Failure::Stalled);
    let is_deadline_over = is_silence && request.left_ms(relay.now()) == 0;
    if !is_deadline_over {
        relay.note_failure(attempt.endpoint(), failure);
        check_for_crash(
            &attempt.relay,
            request,
            attempt.endpoint(),
            failure,
            attempt.progress,
            None,
        );
    }
    drop(attempt);
    SendFailure::MayHaveRun
}

pub(crate) fn log_failure(
    relay: &Relay,
    request: &RelayRequest,
    endpoint: &Announcement,
    failure: &str,
    cause: &str,
) {
    log_event!(
        warn,
        events::ATTEMPT_FAILED,
        request = request.id,
        route = request.route.name,
        endpoint = endpoint.id,
        zone = endpoint.zone,
        failure = failure,
        cause = cause,
        fingerprint = request.fingerprint,
        left_ms = request.left_ms(relay.now())
    );
}

pub(crate) fn failure_of(error: &ExchangeError) -> Failure {
    match error {
        ExchangeError::Connection(_) => Failure::Broken,
        ExchangeError::OverBudget(_) | ExchangeError::Parse(_) => Failure::Malformed,
    }
}

async fn connect(
    relay: &Relay,
    request: &RelayRequest,
    endpoint: &Announcement,
    dial_timeout_ms: u64,
) -> std::io::Result<TcpStream> {
    let idle_ms = if request.route.may_repeat() {
        u64::MAX
    } else {
        MAX_IDLE_NON_REPEATABLE_MS
    };
    let pooled = relay
        .pool
        .borrow_mut()
        .take(relay.now(), &endpoint.id, idle_ms);
    if let Some(stream) = pooled {
        return Ok(stream);
    }
    let timeout_ms = dial_timeout_ms.min(request.left_ms(relay.now()));
    let stream = dial(endpoint.address, timeout_ms).await?;
    relay.pool.borrow_mut().note_opened(&endpoint.id);
    Ok(stream)
}

/// Waits for `waiting`, which depends on an endpoint last heard from at `last_received_at`. Returns
/// `None` once the endpoint has been silent for `silence_timeout_ms`, or for a shorter time while
/// the endpoint or its zone is reported as stalled.
///
/// Time in which the relay itself was stalled says nothing about the endpoint, whose bytes may
/// still be in the relay's socket buffer. The timeout is therefore extended, by no more than its
/// own length in total.
pub(crate) async fn with_silence_timeout<T>(
    relay: &Relay,
    endpoint: &Announcement,
    last_received_at: ClockMs,
    silence_timeout_ms: u64,
    waiting: impl Future<Output = T>,
) -> Option<T> {
    tokio::pin!(waiting);
    let mut stall_alerts = relay.stall_alerts.subscribe();
    let mut give_up_at = last_received_at + silence_timeout_ms;
    let mut extension_ms = 0;
    loop {
        let began_at = relay.now();
        let left_ms = give_up_at.since(began_at);
        let bound = Instant::now() + Duration::from_millis(left_ms);
        tokio::select! {
            biased;
            done = &mut waiting => return Some(done),
            () = sleep_until(bound) => {
                let now = relay.now();
                let is_late = now.since(began_at + left_ms) >= OWN_STALL_THRESHOLD_MS;
                if !is_late || extension_ms >= silence_timeout_ms {
                    return None;
                }
                extension_ms += OWN_STALL_EXTENSION_MS;
                give_up_at = now + OWN_STALL_EXTENSION_MS;
            }
            _ = stall_alerts.changed() => {
                let alert = stall_alerts.borrow_and_update().clone();
                if alert.is_some_and(|alert| alert.applies_to(endpoint)) {
                    give_up_at = give_up_at.min(last_received_at + STALLED_SILENCE_TIMEOUT_MS);
                }
            }
        }
    }
}

/// How long the endpoint keeps an idle connection, if it states that, in milliseconds.
fn keep_alive_ms(head: &ResponseHead) -> Option<u64> {
    let parameters = head.headers.text("keep-alive")?;
    let mut parameters = parameters.split(',').map(str::trim);
    let seconds: u64 = parameters
        .find_map(|it| it.strip_prefix("timeout="))?
        .parse()
        .ok()?;
    Some(seconds * 1_000)
}
