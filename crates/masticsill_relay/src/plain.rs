//! Requests with one whole answer.

use std::rc::Rc;

use masticsill_registry::EndpointId;

use crate::answer::{Answer, Refusal};
use crate::attempt::{SendFailure, Sent, exchange, fail, failure_of, open, with_patience};
use crate::dispatching::Dispatched;
use crate::relay::Relay;
use crate::request::{RelayRequest, SendOptions};
use crate::tries::{Obstacle, Tries};
use crate::whole::{Verdict, collect};
use masticsill_dispatch::Failure;

/// Part of the time aimed at after which an idempotent request is sent elsewhere: what is left
/// suffices for a healthy endpoint.
const FIRST_SHARE_PERCENT: u64 = 60;

/// Relays a request until it is answered or given up.
pub(crate) async fn relay_plain(relay: &Rc<Relay>, request: &RelayRequest) -> PlainEnd {
    let mut tries = Tries::default();
    let mut failed = None;
    while request.left_ms(relay.now()) > 0 {
        let (choice, reservation) = match relay.choose_or_wait(request, &tries, false).await {
            Dispatched::Sent(choice, reservation) => (choice, *reservation),
            Dispatched::Refused(overload) => {
                tries.note_overload(overload);
                break;
            }
            Dispatched::Nobody => break,
        };
        let id = reservation.endpoint().id.clone();
        let patience_ms = patience_ms(relay, request, &tries, choice.candidates);
        let sent = match open(relay, request, reservation, &mut tries).await {
            Ok(sent) => sent,
            Err(Obstacle::Unreached) if tries.may_go_on(request, false).is_ok() => continue,
            Err(_) => break,
        };
        match send_whole(relay, request, sent, patience_ms).await {
            Ok((Verdict::Answer, answer)) => {
                return PlainEnd::Answered {
                    answer,
                    endpoint: id,
                    sends: tries.sends + 1,
                };
            }
            Ok((Verdict::Failed, answer)) => {
                tries.note(id.clone(), &SendFailure::MayHaveRun);
                failed = Some((answer, id));
            }
            Ok((Verdict::NotRun { is_replaced }, _)) => {
                tries.note_not_run(!is_replaced);
                tries.excluded.push(id);
            }
            Err(failure) => tries.note(id, &failure),
        }
        if tries.may_go_on(request, false).is_err() {
            break;
        }
        if !tries.has_budget(relay, request) {
            relay.note_retry_refused(&request.service);
            break;
        }
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

/// Sends a request on its connection and reads its whole answer.
async fn send_whole(
    relay: &Rc<Relay>,
    request: &RelayRequest,
    mut sent: Sent,
    patience_ms: u64,
) -> Result<(Verdict, Answer), SendFailure> {
    let endpoint = sent.endpoint().clone();
    let sent_at = relay.now();
    let options = SendOptions::default();
    let exchange = exchange(relay, request, &mut sent, &options);
    let head = match with_patience(relay, &endpoint, sent_at, patience_ms, exchange).await {
        Some(Ok(head)) => head,
        Some(Err(error)) => {
            let failure = failure_of(&error);
            let cause = error.to_string();
            return Err(fail(relay, request, sent, failure, &cause));
        }
        None => return Err(fail(relay, request, sent, Failure::Silent, "no answer")),
    };
    collect(relay, request, sent, head).await
}
