//! Requests with one whole answer.

use std::rc::Rc;

use bytes::BytesMut;
use masticsill_http1::{BodyDecoder, Header, ResponseHead};
use masticsill_registry::EndpointId;
use masticsill_types::log_event;

use crate::answer::{Answer, Refusal};
use crate::attempt::{SendFailure, Sent, fail, failure_of, send, with_patience};
use crate::events;
use crate::health::Failure;
use crate::placement::Wanted;
use crate::relay::Relay;
use crate::request::{RelayRequest, SendOptions};

/// Endpoints that can't be connected to before a request is given up.
const MAX_DIALS: usize = 8;
/// Endpoints that a request may reach, those included that did not run it.
const MAX_ARRIVALS: u32 = 10;
/// Part of the time aimed at after which an idempotent request is sent elsewhere: what is left
/// suffices for a healthy endpoint.
const FIRST_SHARE_PERCENT: u64 = 60;
/// Bytes of a whole answer at most; it is held until its end has come.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// What is known of a request that has not been answered yet.
#[derive(Debug, Default)]
pub(crate) struct Tries {
    /// Sends that reached an endpoint, those included that it did not run: all of them count
    /// against the retry budget.
    arrivals: u32,
    /// Endpoints that it must not go to again.
    pub(crate) excluded: Vec<EndpointId>,
    /// Whether it may have run somewhere.
    pub(crate) may_have_run: bool,
    /// Sends that count against the route's attempts.
    pub(crate) sends: u32,
}

impl Tries {
    /// Notes an answer that says that the request did not run.
    ///
    /// It is no attempt where the endpoint was asked for a copy's sake only, or where its address
    /// belongs to another incarnation.
    pub(crate) fn note_not_run(&mut self, is_attempt: bool) {
        self.arrivals += 1;
        self.sends += u32::from(is_attempt);
    }

    /// Notes an answer that is a failure.
    pub(crate) fn note_failed(&mut self, id: EndpointId) {
        self.excluded.push(id);
        self.arrivals += 1;
        self.sends += 1;
        self.may_have_run = true;
    }

    /// Notes a send that failed; the endpoint is not asked again.
    pub(crate) fn note(&mut self, id: EndpointId, failure: &SendFailure) {
        self.excluded.push(id);
        match failure {
            SendFailure::NotSent => {}
            SendFailure::MayHaveRun => {
                self.arrivals += 1;
                self.sends += 1;
                self.may_have_run = true;
            }
        }
    }

    /// Whether the request may be sent once more; the retry budget is spent then.
    pub(crate) fn may_go_on(&self, relay: &Relay, request: &RelayRequest) -> bool {
        if self.excluded.len() >= MAX_DIALS || self.arrivals >= MAX_ARRIVALS {
            return false;
        }
        if self.sends >= request.route.max_attempts {
            return false;
        }
        if self.may_have_run && !request.route.may_repeat() {
            return false;
        }
        self.arrivals == 0 || relay.try_spend(&request.service)
    }

    /// Why the request is given up, by what may have become of it.
    pub(crate) fn refusal(&self, relay: &Relay, request: &RelayRequest) -> Refusal {
        let is_over = request.left_ms(relay.now()) == 0;
        match (self.may_have_run, is_over) {
            (true, true) => Refusal::DeadlineAfterSend,
            (true, false) => Refusal::Broken,
            (false, true) => Refusal::DeadlineBeforeSend,
            (false, false) => Refusal::NoEndpoint,
        }
    }
}

/// What an answer means for the request.
pub(crate) enum Verdict {
    /// Pass it on.
    Answer,
    /// It failed; an idempotent request may run again.
    Failed,
    /// It says that the request did not run.
    NotRun,
}

pub(crate) fn judge(relay: &Relay, head: &ResponseHead) -> Verdict {
    let names = &relay.config.headers;
    if head.status == 421 || head.headers.all(&names.not_run).next().is_some() {
        Verdict::NotRun
    } else if head.status >= 500 {
        Verdict::Failed
    } else {
        Verdict::Answer
    }
}

/// Relays a request until it is answered or given up.
pub(crate) async fn relay_plain(relay: &Rc<Relay>, request: &RelayRequest) -> PlainEnd {
    let mut tries = Tries::default();
    let mut failed = None;
    while request.left_ms(relay.now()) > 0 {
        let wanted = Wanted {
            excluded: &tries.excluded,
            not_in_zone: None,
            share: relay.share.get(),
            service: &request.service,
            zone: &relay.config.zone,
        };
        let Some((choice, endpoint)) = relay.choose_or_wait(request, &wanted).await else {
            break;
        };
        let id = endpoint.id.clone();
        let patience_ms = patience_ms(relay, request, &tries, choice.candidates);
        let options = SendOptions::default();
        match send_whole(relay, request, endpoint, &options, patience_ms).await {
            Ok((Verdict::Answer, answer)) => {
                return PlainEnd::Answered {
                    answer,
                    endpoint: id,
                    sends: tries.sends + 1,
                };
            }
            Ok((Verdict::Failed, answer)) => {
                tries.note_failed(id.clone());
                failed = Some((answer, id));
            }
            Ok((Verdict::NotRun, answer)) => {
                tries.note_not_run(answer.status != 421);
                tries.excluded.push(id);
            }
            Err(failure) => tries.note(id, &failure),
        }
        if !tries.may_go_on(relay, request) {
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
    if !request.route.may_repeat() || !has_more_sends || candidates < 2 {
        return left_ms;
    }
    left_ms.min(request.route.target_latency_ms * FIRST_SHARE_PERCENT / 100)
}

/// Sends a request and reads its whole answer.
async fn send_whole(
    relay: &Rc<Relay>,
    request: &RelayRequest,
    endpoint: masticsill_registry::Announcement,
    options: &SendOptions,
    patience_ms: u64,
) -> Result<(Verdict, Answer), SendFailure> {
    let (sent, head) = send(relay, request, endpoint, options, patience_ms).await?;
    collect(relay, request, sent, head).await
}

/// Reads the rest of an answer whose head has come.
pub(crate) async fn collect(
    relay: &Rc<Relay>,
    request: &RelayRequest,
    mut sent: Sent,
    head: ResponseHead,
) -> Result<(Verdict, Answer), SendFailure> {
    let endpoint = sent.endpoint.clone();
    let now = relay.now();
    let left_ms = request.left_ms(now);
    let reading = read_body(&mut sent, &head);
    let body = match with_patience(relay, &endpoint, now, left_ms, reading).await {
        Some(Ok(body)) => body,
        Some(Err(error)) => {
            let cause = error.to_string();
            return Err(fail(relay, request, sent, failure_of(&error), &cause));
        }
        None => {
            return Err(fail(
                relay,
                request,
                sent,
                Failure::Silent,
                "half an answer",
            ));
        }
    };
    let names = &relay.config.headers;
    let is_signed = head.headers.all(&names.signature).next().is_some();
    if (200..300).contains(&head.status) && !is_signed {
        let cause = "a success without a signature";
        return Err(fail(relay, request, sent, Failure::Malformed, cause));
    }
    let verdict = judge(relay, &head);
    if matches!(verdict, Verdict::Answer) {
        relay.note_pace(&endpoint.id, relay.now().since(sent.began_at));
    }
    if matches!(verdict, Verdict::NotRun) {
        log_event!(
            info,
            events::ATTEMPT_NOT_RUN,
            request = request.id,
            endpoint = endpoint.id,
            zone = endpoint.zone,
            status = head.status,
            left_ms = request.left_ms(relay.now())
        );
    }
    if head.status == 421 {
        relay.note_failure(&endpoint, Failure::Replaced);
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

async fn read_body(
    sent: &mut Sent,
    head: &ResponseHead,
) -> Result<BytesMut, crate::upstream::Break> {
    let mut decoder = BodyDecoder::new(head.framing);
    let mut body = BytesMut::new();
    while let Some(piece) = sent.upstream().next_piece(&mut decoder).await? {
        body.extend_from_slice(&piece);
        if body.len() > MAX_ANSWER_BYTES {
            return Err(masticsill_http1::ParseError::Framing.into());
        }
    }
    Ok(body)
}
