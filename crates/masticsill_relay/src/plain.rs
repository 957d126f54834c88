//! Requests with one whole answer.

use std::rc::Rc;

use masticsill_registry::EndpointId;

use crate::answer::{Answer, Refusal};
use crate::attempt::{SendFailure, Sent, exchange, fail, failure_of, open};
use crate::dispatching::Dispatched;
use crate::doubt::{LIFE_ENDED, Listened, Waited};
use crate::relay::Relay;
use crate::request::{RelayRequest, SendOptions};
use crate::tries::{Obstacle, Tries};
use crate::whole::{Verdict, collect};
use masticsill_dispatch::Failure;

/// Part of the time aimed at after which an idempotent request is sent elsewhere: what is left
/// suffices for a healthy endpoint.
const FIRST_SHARE_PERCENT: u64 = 60;

/// The next send of a request, about to leave.
struct Next {
    patience_ms: u64,
    sent: Sent,
}

/// How one send ended.
enum SendEnd {
    Answered(Verdict, Answer),
    Failed(SendFailure),
    /// It was silent, and its successor's connection stands.
    Replaced(Box<Next>),
}

/// Relays a request until it is answered or given up.
pub(crate) async fn relay_plain(relay: &Rc<Relay>, request: &RelayRequest) -> PlainEnd {
    let mut tries = Tries::default();
    let mut failed = None;
    let mut next = open_next(relay, request, &mut tries).await;
    while let Ok(Next { patience_ms, sent }) = next {
        let id = sent.endpoint().id.clone();
        match send_whole(relay, request, sent, patience_ms, &mut tries).await {
            SendEnd::Answered(Verdict::Answer, answer) => {
                return PlainEnd::Answered {
                    answer,
                    endpoint: id,
                    sends: tries.sends + 1,
                };
            }
            SendEnd::Answered(Verdict::Failed, answer) => {
                tries.note(id.clone(), &SendFailure::MayHaveRun);
                failed = Some((answer, id));
            }
            SendEnd::Answered(Verdict::NotRun { is_replaced }, _) => {
                tries.note_not_run(!is_replaced);
                tries.exclude(id);
            }
            SendEnd::Failed(failure) => tries.note(id, &failure),
            SendEnd::Replaced(it) => {
                next = Ok(*it);
                continue;
            }
        }
        next = open_next(relay, request, &mut tries).await;
    }
    match failed {
        Some((answer, endpoint)) => PlainEnd::Answered {
            answer,
            endpoint,
            sends: tries.sends,
        },
        None => PlainEnd::Refused(tries.refusal(relay, request)),
    }
}

/// Chooses where a request goes next, and connects there.
async fn open_next(
    relay: &Rc<Relay>,
    request: &RelayRequest,
    tries: &mut Tries,
) -> Result<Next, Obstacle> {
    loop {
        if request.left_ms(relay.now()) == 0 {
            return Err(Obstacle::Deadline);
        }
        match try_open(relay, request, tries).await {
            Err(Obstacle::Unreached) => {}
            Err(Obstacle::Held { left_ms }) => relay.await_judgement(left_ms).await,
            opened => return opened,
        }
    }
}

async fn try_open(
    relay: &Rc<Relay>,
    request: &RelayRequest,
    tries: &mut Tries,
) -> Result<Next, Obstacle> {
    tries.may_go_on(relay, request, false)?;
    if !tries.has_budget(relay, request) {
        relay.note_retry_refused(&request.service);
        return Err(Obstacle::Budget);
    }
    let (choice, reservation) = match relay.choose_or_wait(request, tries, false).await {
        Dispatched::Sent(choice, reservation) => (choice, *reservation),
        Dispatched::Refused(overload) => {
            tries.note_overload(overload);
            return Err(Obstacle::Overloaded);
        }
        Dispatched::Nobody => return Err(Obstacle::Nobody),
    };
    let patience_ms = patience_ms(relay, request, tries, choice.candidates);
    let sent = open(relay, request, reservation, tries).await?;
    Ok(Next { patience_ms, sent })
}

/// The end of a plain request.
#[derive(Debug)]
pub(crate) enum PlainEnd {
    /// With an endpoint's answer.
    Answered {
        answer: Answer,
        endpoint: EndpointId,
        sends: u32,
    },
    /// With the relay's own.
    Refused(Refusal),
}

/// How long an endpoint may take before an idempotent request is sent to another.
fn patience_ms(relay: &Relay, request: &RelayRequest, tries: &Tries, candidates: usize) -> u64 {
    let left_ms = request.left_ms(relay.now());
    let has_more_sends = tries.sends + 1 < request.route.max_attempts;
    // In an overload a slow answer tells of the overload, and a second send makes it larger.
    let dispatcher = relay.dispatcher.borrow();
    let is_overloaded = dispatcher.is_overloaded(relay.now(), &request.service);
    if !request.route.may_repeat() || !has_more_sends || candidates < 2 || is_overloaded {
        return left_ms;
    }
    left_ms.min(request.route.target_latency_ms * FIRST_SHARE_PERCENT / 100)
}

/// Sends a request on its connection and reads its whole answer. After `patience_ms` it is listened to
/// until its successor is connected.
async fn send_whole(
    relay: &Rc<Relay>,
    request: &RelayRequest,
    mut sent: Sent,
    patience_ms: u64,
    tries: &mut Tries,
) -> SendEnd {
    let endpoint = sent.endpoint().clone();
    let options = SendOptions::default();
    let listened = Listened {
        borne: sent.begin(0),
        endpoint: &endpoint,
        failure: Failure::Silent,
        heard_at: relay.now(),
        patience_ms,
        relay,
        request,
    };
    let exchange = exchange(relay, request, &mut sent, &options);
    let waited = listen(&listened, tries, exchange).await;
    let head = match waited {
        Waited::Done(Ok(head)) => head,
        Waited::Done(Err(error)) => {
            let (failure, cause) = (failure_of(&error), error.to_string());
            return SendEnd::Failed(fail(relay, request, sent, failure, &cause));
        }
        Waited::Ended => {
            let failure = Failure::Replaced;
            return SendEnd::Failed(fail(relay, request, sent, failure, LIFE_ENDED));
        }
        Waited::Replaced(next) => return SendEnd::Replaced(Box::new(next)),
        Waited::Over => {
            let failure = Failure::Silent;
            return SendEnd::Failed(fail(relay, request, sent, failure, "no answer"));
        }
    };
    match collect(relay, request, sent, head).await {
        Ok((verdict, answer)) => SendEnd::Answered(verdict, answer),
        Err(failure) => SendEnd::Failed(failure),
    }
}

/// Waits for the head of an answer; once it is doubted, for a successor as well.
async fn listen<T>(
    listened: &Listened<'_>,
    tries: &mut Tries,
    waiting: impl Future<Output = T>,
) -> Waited<T, Next> {
    tokio::pin!(waiting);
    if let Some(ended) = listened.until_doubted(waiting.as_mut()).await {
        return ended;
    }
    let doubt = tries.begin_doubt(listened.endpoint.id.clone());
    let next = open_next(listened.relay, listened.request, tries);
    let waited = listened.until_replaced(waiting, next).await;
    if !matches!(waited, Waited::Replaced(_)) {
        tries.end_doubt(&doubt);
    }
    waited
}
