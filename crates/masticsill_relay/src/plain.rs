//! Plain requests: those answered by one complete response.

use std::rc::Rc;

use masticsill_registry::EndpointId;

use crate::attempt::{Attempt, SendFailure, exchange, fail, failure_of, open};
use crate::dispatch_queue::Dispatched;
use crate::endpoint_response::{Verdict, read_response};
use crate::failover::{INCARNATION_REPLACED, WatchResult, WatchedAttempt};
use crate::relay::Relay;
use crate::request::{RelayRequest, SendOptions};
use crate::response::{Refusal, Response};
use crate::retry_state::{Obstacle, RetryState};
use masticsill_dispatch::Failure;

/// Percentage of the route's latency target after which an idempotent request is sent to another
/// endpoint. The rest of the target suffices for a healthy endpoint.
const FIRST_SEND_TIMEOUT_PERCENT: u64 = 60;

/// The next attempt of a request, connected and not sent yet.
struct NextAttempt {
    silence_timeout_ms: u64,
    attempt: Attempt,
}

/// How one attempt ended.
enum SendEnd {
    Answered(Verdict, Response),
    Failed(SendFailure),
    /// The endpoint was silent, and the connection of the replacement attempt is established.
    Replaced(Box<NextAttempt>),
}

/// Relays a request until it is answered or given up.
pub(crate) async fn relay_plain(relay: &Rc<Relay>, request: &RelayRequest) -> PlainEnd {
    let mut retry_state = RetryState::default();
    let mut failed = None;
    let mut next = open_next(relay, request, &mut retry_state).await;
    while let Ok(NextAttempt {
        silence_timeout_ms,
        attempt,
    }) = next
    {
        let id = attempt.endpoint().id.clone();
        match send_once(
            relay,
            request,
            attempt,
            silence_timeout_ms,
            &mut retry_state,
        )
        .await
        {
            SendEnd::Answered(Verdict::Deliver, response) => {
                return PlainEnd::Answered {
                    response,
                    endpoint: id,
                    sends: retry_state.sends + 1,
                };
            }
            SendEnd::Answered(Verdict::Failed, response) => {
                retry_state.note(id.clone(), &SendFailure::MayHaveRun);
                failed = Some((response, id));
            }
            SendEnd::Answered(Verdict::NotRun { is_replaced }, _) => {
                retry_state.note_not_run(&id, !is_replaced);
                retry_state.exclude(id);
            }
            SendEnd::Failed(failure) => retry_state.note(id, &failure),
            SendEnd::Replaced(it) => {
                next = Ok(*it);
                continue;
            }
        }
        next = open_next(relay, request, &mut retry_state).await;
    }
    match failed {
        Some((response, endpoint)) => PlainEnd::Answered {
            response,
            endpoint,
            sends: retry_state.sends,
        },
        None => PlainEnd::Refused(retry_state.refusal(relay, request)),
    }
}

/// Chooses the endpoint of the next attempt and connects to it.
async fn open_next(
    relay: &Rc<Relay>,
    request: &RelayRequest,
    retry_state: &mut RetryState,
) -> Result<NextAttempt, Obstacle> {
    loop {
        if request.left_ms(relay.now()) == 0 {
            return Err(Obstacle::Deadline);
        }
        match try_open(relay, request, retry_state).await {
            Err(Obstacle::Unreachable | Obstacle::Withdrawn) => {}
            Err(Obstacle::Held { left_ms }) => relay.wait_for_crash_change(left_ms).await,
            opened => return opened,
        }
    }
}

async fn try_open(
    relay: &Rc<Relay>,
    request: &RelayRequest,
    retry_state: &mut RetryState,
) -> Result<NextAttempt, Obstacle> {
    retry_state.check_may_send(relay, request, false)?;
    if !retry_state.has_budget(relay, request) {
        relay.note_retry_refused(&request.service);
        return Err(Obstacle::Budget);
    }
    let (choice, reservation) = match relay.choose_or_wait(request, retry_state, false).await {
        Dispatched::Assigned(choice, reservation) => (choice, *reservation),
        Dispatched::Refused(overload) => {
            retry_state.note_overload(overload);
            return Err(Obstacle::Overloaded);
        }
        Dispatched::NoEndpoint => return Err(Obstacle::NoEndpoint),
        Dispatched::Stopping => return Err(retry_state.note_stopping()),
    };
    let silence_timeout_ms = silence_timeout_ms(relay, request, retry_state, choice.candidates);
    let attempt = open(relay, request, reservation, retry_state).await?;
    Ok(NextAttempt {
        silence_timeout_ms,
        attempt,
    })
}

/// How a plain request ended.
#[derive(Debug)]
pub(crate) enum PlainEnd {
    /// With an endpoint's response.
    Answered {
        response: Response,
        endpoint: EndpointId,
        sends: u32,
    },
    /// With a response of the relay itself.
    Refused(Refusal),
}

/// How long an endpoint may take before an idempotent request is sent to another one, in
/// milliseconds.
fn silence_timeout_ms(
    relay: &Relay,
    request: &RelayRequest,
    retry_state: &RetryState,
    candidates: usize,
) -> u64 {
    let left_ms = request.left_ms(relay.now());
    let has_more_sends = retry_state.sends + 1 < request.route.max_attempts;
    // Under overload a slow response is caused by the overload, which another attempt would
    // increase.
    let dispatcher = relay.dispatcher.borrow();
    let is_overloaded = dispatcher.is_overloaded(relay.now(), &request.service);
    if !request.route.may_repeat() || !has_more_sends || candidates < 2 || is_overloaded {
        return left_ms;
    }
    left_ms.min(request.route.target_latency_ms * FIRST_SEND_TIMEOUT_PERCENT / 100)
}

/// Sends a request on its connection and reads the complete response. After `silence_timeout_ms`
/// without a response, the attempt is kept open until a replacement is connected.
async fn send_once(
    relay: &Rc<Relay>,
    request: &RelayRequest,
    mut attempt: Attempt,
    silence_timeout_ms: u64,
    retry_state: &mut RetryState,
) -> SendEnd {
    let endpoint = attempt.endpoint().clone();
    let options = SendOptions::default();
    let watched = WatchedAttempt {
        progress: attempt.begin(request, 0, false),
        endpoint: &endpoint,
        failure: Failure::Silent,
        last_received_at: relay.now(),
        silence_timeout_ms,
        relay,
        request,
    };
    let exchange = exchange(relay, request, &mut attempt, &options);
    let waited = watch_attempt(&watched, retry_state, exchange).await;
    let head = match waited {
        WatchResult::Done(Ok(head)) => head,
        WatchResult::Done(Err(error)) => {
            let (failure, cause) = (failure_of(&error), error.to_string());
            return SendEnd::Failed(fail(relay, request, attempt, failure, &cause));
        }
        WatchResult::Superseded => {
            let failure = Failure::Replaced;
            return SendEnd::Failed(fail(relay, request, attempt, failure, INCARNATION_REPLACED));
        }
        WatchResult::Replaced(next) => return SendEnd::Replaced(Box::new(next)),
        WatchResult::DeadlineReached => {
            let failure = Failure::Silent;
            return SendEnd::Failed(fail(relay, request, attempt, failure, "no answer"));
        }
    };
    match read_response(relay, request, attempt, head).await {
        Ok((verdict, response)) => SendEnd::Answered(verdict, response),
        Err(failure) => SendEnd::Failed(failure),
    }
}

/// Waits for the head of a response and, once the attempt is presumed to have failed, for a
/// replacement as well.
async fn watch_attempt<T>(
    watched: &WatchedAttempt<'_>,
    retry_state: &mut RetryState,
    waiting: impl Future<Output = T>,
) -> WatchResult<T, NextAttempt> {
    tokio::pin!(waiting);
    if let Some(ended) = watched.wait_until_silent(waiting.as_mut()).await {
        return ended;
    }
    let presumed = retry_state.presume_failed(watched.endpoint.id.clone());
    let next = open_next(watched.relay, watched.request, retry_state);
    let waited = watched.wait_until_replaced(waiting, next).await;
    if matches!(waited, WatchResult::Replaced(_)) {
        watched.note_replaced(0);
    } else {
        retry_state.retract_presumed_failure(&presumed);
    }
    waited
}
