//! One send of a request to one endpoint, up to the head of its answer.

use std::rc::Rc;
use std::time::Duration;

use masticsill_http1::ResponseHead;
use masticsill_registry::Announcement;
use masticsill_types::{ClockMs, log_event};
use masticsill_upstream::{Break, Expected, Upstream, dial};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until};

use crate::crash_check::check_for_crash;
use crate::events;
use crate::relay::Relay;
use crate::request::{RelayRequest, SendOptions};
use crate::reservation::Reservation;
use crate::retry_state::{Obstacle, RetryState};
use masticsill_dispatch::Failure;

/// Longest idle time of a connection for a request that may not run twice: the less, the less
/// likely it crosses the endpoint's close, which would leave its outcome unknown.
const MAX_IDLE_NON_REPEATABLE_MS: u64 = 1_500;
/// Silence of an endpoint after which it is given up once it is known to stand still.
const STALLED_SILENCE_TIMEOUT_MS: u64 = 150;
/// Lateness of a timer that tells of the relay's own standstill: several times what timers and a
/// busy processor cost (10 ms).
const OWN_STALL_THRESHOLD_MS: u64 = 50;
/// Time to read what came while the relay stood still.
const OWN_STALL_EXTENSION_MS: u64 = 100;

/// What an endpoint has borne of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunProgress {
    /// When the first event of its answer came, for a stream.
    answered_at: Option<ClockMs>,
    /// For how long the runs had been answered that this one goes on from.
    prior_answered_ms: u64,
    pub(crate) began_at: ClockMs,
}

impl RunProgress {
    /// For how long the endpoint has answered it.
    pub(crate) fn answered_ms(&self, now: ClockMs) -> u64 {
        self.answered_at.map_or(0, |at| now.since(at))
    }

    /// The same with the runs that it goes on from.
    pub(crate) fn reached_ms(&self, now: ClockMs) -> u64 {
        self.prior_answered_ms + self.answered_ms(now)
    }
}

/// The connection of one send, and its place at the endpoint. Dropped, it closes the connection,
/// whether the request has left or not.
#[derive(Debug)]
pub(crate) struct Attempt {
    /// What its endpoint has borne of the request.
    pub(crate) progress: RunProgress,
    relay: Rc<Relay>,
    reservation: Reservation,
    upstream: Option<Upstream>,
}

/// How a send ended before an answer.
#[derive(Debug)]
pub(crate) enum SendFailure {
    /// Nothing was sent: any request may be sent elsewhere.
    NotSent,
    /// The request was sent and may have run.
    MayHaveRun,
}

impl SendFailure {
    /// The name in logs.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::MayHaveRun => "no_answer",
        }
    }
}

impl Attempt {
    pub(crate) fn upstream(&mut self) -> &mut Upstream {
        self.upstream
            .as_mut()
            .expect("it is taken only with the whole value")
    }

    /// Where it was sent.
    pub(crate) fn endpoint(&self) -> &Announcement {
        self.reservation.endpoint()
    }

    /// Notes that the request is sent now, and for how long the runs had been answered that this one
    /// goes on from.
    pub(crate) fn begin(&mut self, prior_answered_ms: u64) -> RunProgress {
        self.progress = RunProgress {
            answered_at: None,
            prior_answered_ms,
            began_at: self.relay.now(),
        };
        self.progress
    }

    /// Notes an event of a stream: its prompt has been read. Returns for how long it has been answered
    /// by now, with the runs that it goes on from.
    pub(crate) fn note_event(&mut self) -> u64 {
        let now = self.relay.now();
        self.progress.answered_at.get_or_insert(now);
        self.reservation.end_prefill();
        self.progress.reached_ms(now)
    }

    /// Keeps the connection for the next request if the answer allows it.
    pub(crate) fn return_to_pool(mut self, head: &ResponseHead) {
        let upstream = self.upstream.take();
        let stream = upstream.and_then(Upstream::into_reusable);
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
        if self.upstream.take().is_some() {
            let id = &self.reservation.endpoint().id;
            self.relay.pool.borrow_mut().note_closed(id);
        }
    }
}

/// Connects to an endpoint, and spends the retry budget if the request has been anywhere before.
///
/// It is spent only now: what could not be connected reaches nobody.
///
/// # Errors
///
/// Why there is no connection: the endpoint, which is left out of `tries` then, or the budget.
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
    retry_state.note_connected();
    let attempt = Attempt {
        progress: RunProgress {
            answered_at: None,
            prior_answered_ms: 0,
            began_at: relay.now(),
        },
        relay: Rc::clone(relay),
        reservation,
        upstream: Some(Upstream::new(stream)),
    };
    // It may have waited for a place, or for the connection, while endpoints crashed under it elsewhere.
    relay.check_crashes(request)?;
    if retry_state.spend(relay, request) {
        Ok(attempt)
    } else {
        Err(Obstacle::Budget)
    }
}

/// Sends a request on its connection and waits for the head of the answer.
pub(crate) async fn exchange(
    relay: &Relay,
    request: &RelayRequest,
    attempt: &mut Attempt,
    options: &SendOptions,
) -> Result<ResponseHead, Break> {
    let names = &relay.config.headers;
    let bytes = request.bytes_for(
        names,
        attempt.endpoint(),
        attempt.progress.began_at,
        options,
    );
    let expected = Expected {
        method: &request.head.method,
        id_field: &names.request_id,
        request_id: &request.id,
    };
    let head = attempt.upstream().exchange(&bytes, expected).await?;
    relay.note_heard(&attempt.endpoint().id);
    relay.note_answer(&attempt.endpoint().id, head.status);
    Ok(head)
}

/// Ends a send that failed after the request had left.
pub(crate) fn fail(
    relay: &Relay,
    request: &RelayRequest,
    attempt: Attempt,
    failure: Failure,
    cause: &str,
) -> SendFailure {
    log_failure(relay, request, attempt.endpoint(), failure.name(), cause);
    // An answer that the deadline overtook says nothing against its endpoint.
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

pub(crate) fn failure_of(error: &Break) -> Failure {
    match error {
        Break::Connection(_) => Failure::Broken,
        Break::Parse(_) => Failure::Malformed,
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
    let kept = relay
        .pool
        .borrow_mut()
        .take(relay.now(), &endpoint.id, idle_ms);
    if let Some(stream) = kept {
        return Ok(stream);
    }
    let timeout_ms = dial_timeout_ms.min(request.left_ms(relay.now()));
    let stream = dial(endpoint.address, timeout_ms).await?;
    relay.pool.borrow_mut().note_opened(&endpoint.id);
    Ok(stream)
}

/// Waits for something of an endpoint that was last heard at `heard_at`; `None` once it has been
/// silent for too long, or for a shorter time while its zone is suspect.
///
/// Time in which the relay itself stood still says nothing of the endpoint, whose bytes may lie in the
/// relay's own socket: they are waited for once more, up to the same time again.
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

/// How long the endpoint keeps the connection, if it says.
fn keep_alive_ms(head: &ResponseHead) -> Option<u64> {
    let parameters = head.headers.text("keep-alive")?;
    let mut parameters = parameters.split(',').map(str::trim);
    let seconds: u64 = parameters
        .find_map(|it| it.strip_prefix("timeout="))?
        .parse()
        .ok()?;
    Some(seconds * 1_000)
}
