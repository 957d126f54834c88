//! Whole answers of endpoints: read to their end, and judged.

use std::rc::Rc;

use masticsill_http1::{Header, ResponseHead};
use masticsill_types::log_event;

use crate::answer::Answer;
use crate::attempt::{SendFailure, Sent, fail, failure_of, with_patience};
use crate::events;
use crate::relay::Relay;
use crate::request::RelayRequest;
use masticsill_dispatch::Failure;

/// Bytes of a whole answer at most; it is held until its end has come.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Status of an endpoint that is not the incarnation which the request was meant for.
const MISDIRECTED: u16 = 421;

/// What an answer means for the request.
pub(crate) enum Verdict {
    /// Pass it on.
    Answer,
    /// It failed; an idempotent request may run again.
    Failed,
    /// It says that the request did not run.
    NotRun {
        /// Whether that is because the address belongs to another incarnation.
        is_replaced: bool,
    },
}

fn judge(relay: &Relay, head: &ResponseHead) -> Verdict {
    let names = &relay.config.headers;
    let is_replaced = head.status == MISDIRECTED;
    if is_replaced || head.headers.all(&names.not_run).next().is_some() {
        Verdict::NotRun { is_replaced }
    } else if head.status >= 500 {
        Verdict::Failed
    } else {
        Verdict::Answer
    }
}

/// Reads the rest of an answer whose head has come.
pub(crate) async fn collect(
    relay: &Rc<Relay>,
    request: &RelayRequest,
    mut sent: Sent,
    head: ResponseHead,
) -> Result<(Verdict, Answer), SendFailure> {
    let endpoint = sent.endpoint().clone();
    let now = relay.now();
    let left_ms = request.left_ms(now);
    let reading = sent.upstream().read_whole(head.framing, MAX_ANSWER_BYTES);
    let body = match with_patience(relay, &endpoint, now, left_ms, reading).await {
        Some(Ok(body)) => body,
        Some(Err(error)) => {
            let cause = error.to_string();
            return Err(fail(relay, request, sent, failure_of(&error), &cause));
        }
        None => {
            let cause = "half an answer";
            return Err(fail(relay, request, sent, Failure::Silent, cause));
        }
    };
    let names = &relay.config.headers;
    let is_signed = head.headers.all(&names.signature).next().is_some();
    if (200..300).contains(&head.status) && !is_signed {
        let cause = "a success without a signature";
        return Err(fail(relay, request, sent, Failure::Malformed, cause));
    }
    let verdict = judge(relay, &head);
    match verdict {
        Verdict::Answer => {
            relay.note_completion(request);
            let answer_ms = relay.now().since(sent.borne.began_at);
            relay.note_answer_ms(&endpoint.id, answer_ms, request.route.target_latency_ms);
        }
        Verdict::Failed => relay.note_completion(request),
        Verdict::NotRun { is_replaced } => {
            log_event!(
                info,
                events::ATTEMPT_NOT_RUN,
                request = request.id,
                endpoint = endpoint.id,
                zone = endpoint.zone,
                status = head.status,
                left_ms = request.left_ms(relay.now())
            );
            if is_replaced {
                relay.note_failure(&endpoint, Failure::Replaced);
            } else {
                relay.note_full(&endpoint.id);
            }
        }
    }
    let answer = Answer {
        body: body.freeze(),
        headers: passed_headers(&head),
        retry_after_ms: None,
        status: head.status,
    };
    sent.keep(&head);
    Ok((verdict, answer))
}

/// The fields of an endpoint's answer that go to the caller.
pub(crate) fn passed_headers(head: &ResponseHead) -> Vec<Header> {
    let fields = head.headers.end_to_end();
    fields
        .filter(|field| !field.is("content-length"))
        .cloned()
        .collect()
}
