//! Complete responses of endpoints: read to their end and classified.

use std::rc::Rc;

use masticsill_http1::{Header, NO_CONTENT, NOT_MODIFIED, RequestHead, ResponseHead};
use masticsill_types::log_event;

use crate::attempt::{Attempt, SendFailure, fail, failure_of, with_silence_timeout};
use crate::events;
use crate::relay::Relay;
use crate::request::RelayRequest;
use crate::response::Response;
use crate::rollout_evidence::AttemptOutcome;
use crate::statements::rest_ms;
use masticsill_dispatch::Failure;

/// Maximum size of a complete response, which is buffered until its end.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Status sent by an endpoint that is not the incarnation for which the request was meant.
pub(crate) const MISDIRECTED_REQUEST: u16 = 421;

/// Cause of a failed attempt whose response is a success that its endpoint did not sign.
pub(crate) const UNSIGNED_SUCCESS: &str = "a success without a signature";

/// What a response means for the request.
pub(crate) enum Verdict {
    /// Deliver the response to the caller.
    Deliver,
    /// The request failed; an idempotent one may run again.
    Failed,
    /// The response says that the request did not run.
    NotRun {
        /// Whether the reason is that another incarnation has the address.
        is_replaced: bool,
    },
}

fn classify(relay: &Relay, head: &ResponseHead) -> Verdict {
    let names = &relay.config.headers;
    let is_replaced = head.status == MISDIRECTED_REQUEST;
    if is_replaced || head.headers.all(&names.not_run).next().is_some() {
        Verdict::NotRun { is_replaced }
    } else if head.status >= 500 {
        Verdict::Failed
    } else {
        Verdict::Deliver
    }
}

/// Whether a response has an endpoint's signature.
pub(crate) fn is_signed(relay: &Relay, head: &ResponseHead) -> bool {
    let mut signatures = head.headers.all(&relay.config.headers.signature);
    signatures.next().is_some()
}

/// Reads the rest of a response whose head has arrived.
///
/// # Errors
///
/// The request may have run: the response is incomplete, malformed, or a success without a
/// signature.
pub(crate) async fn read_response(
    relay: &Rc<Relay>,
    request: &RelayRequest,
    mut attempt: Attempt,
    head: ResponseHead,
) -> Result<(Verdict, Response), SendFailure> {
    let endpoint = attempt.endpoint().clone();
    let now = relay.now();
    let left_ms = request.left_ms(now);
    let reading = attempt
        .upstream()
        .read_body(head.framing, MAX_RESPONSE_BYTES);
    let (body, share) = match with_silence_timeout(relay, &endpoint, now, left_ms, reading).await {
        Some(Ok(read)) => read,
        Some(Err(error)) => {
            let cause = error.to_string();
            return Err(fail(relay, request, attempt, failure_of(&error), &cause));
        }
        None => {
            let cause = "half an answer";
            return Err(fail(relay, request, attempt, Failure::Silent, cause));
        }
    };
    if (200..300).contains(&head.status) && !is_signed(relay, &head) {
        let failure = Failure::Malformed;
        return Err(fail(relay, request, attempt, failure, UNSIGNED_SUCCESS));
    }
    let verdict = classify(relay, &head);
    match verdict {
        Verdict::Deliver => {
            relay.note_completion(request);
            let answer_ms = relay.now().since(attempt.progress.began_at);
            relay.note_answer_ms(&endpoint.id, answer_ms, request.route.target_latency_ms);
            let latency_ms = (head.status < 400).then_some(answer_ms);
            attempt.note_evidence(AttemptOutcome::Answered { latency_ms });
        }
        Verdict::Failed => {
            relay.note_completion(request);
            attempt.note_evidence(AttemptOutcome::Failed { is_answered: false });
        }
        Verdict::NotRun { is_replaced } => {
            log_event!(
                info,
                events::ATTEMPT_NOT_RUN,
                request = request.id,
                endpoint = endpoint.id,
                zone = endpoint.zone,
                status = head.status,
                rest_ms = rest_ms(&head).unwrap_or_default(),
                left_ms = request.left_ms(relay.now())
            );
            if is_replaced {
                relay.note_failure(&endpoint, Failure::Replaced);
            } else {
                relay.note_full(&endpoint.id);
            }
        }
    }
    let response = Response {
        length_bytes: stated_length(&request.head, &head, body.len()),
        body: body.freeze(),
        _buffer_share: Some(share),
        headers: forwarded_headers(&head),
        retry_after_ms: None,
        status: head.status,
    };
    attempt.return_to_pool(&head);
    Ok((verdict, response))
}

/// The length that a response to a caller states: that of its body, or where a response has none, what
/// the endpoint states of the body that another request would get.
fn stated_length(request: &RequestHead, head: &ResponseHead, body_bytes: usize) -> Option<u64> {
    if head.status == NO_CONTENT {
        None
    } else if request.is_method("HEAD") || head.status == NOT_MODIFIED {
        head.headers.number("content-length")
    } else {
        Some(body_bytes as u64)
    }
}

/// The header fields of an endpoint's response that are forwarded to the caller.
pub(crate) fn forwarded_headers(head: &ResponseHead) -> Vec<Header> {
    let fields = head.headers.end_to_end();
    fields
        .filter(|field| !field.is("content-length"))
        .cloned()
        .collect()
}
