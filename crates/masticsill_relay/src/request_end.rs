//! The end of a request: what is written, logged and counted, and whether the connection stays
//! open.

use std::fmt::Display;
use std::io;
use std::rc::Rc;

use masticsill_registry::EndpointId;
use masticsill_types::{ClockMs, log_event};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;

use crate::events;
use crate::metrics::{CauseLabel, as_f64};
use crate::plain::PlainEnd;
use crate::relay::Relay;
use crate::request::RelayRequest;
use crate::response::{Refusal, Response, ResponseForm};
use crate::stream::{BrokenOff, StreamEnd};
use crate::stream_timing::StreamTiming;

/// Kind of a request without a route, in metrics.
const UNADMITTED: &str = "unadmitted";

/// What happens to the connection after a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ConnectionAction {
    /// Closed after a response that announced it.
    Close,
    /// Closed after a response that did not announce it, because the shutdown began meanwhile.
    CloseUnannounced,
    /// Closed at once, because the response is incomplete.
    Abort,
    /// Kept open for the next request.
    Keep,
}

impl ConnectionAction {
    /// The action for a caller that sends no further request.
    pub(crate) fn at_least_close(self) -> Self {
        match self {
            Self::Keep => Self::Close,
            Self::Close | Self::CloseUnannounced | Self::Abort => self,
        }
    }
}

/// Ends a plain request.
pub(crate) async fn end_plain(
    relay: &Rc<Relay>,
    writer: &mut OwnedWriteHalf,
    request: &RelayRequest,
    end: PlainEnd,
) -> ConnectionAction {
    request.stage.note_answering();
    match end {
        PlainEnd::Answered {
            response,
            endpoint,
            sends,
        } => {
            log_answered(relay, request, response.status, &endpoint, sends);
            write_response(relay, writer, &response, (&request.head).into()).await
        }
        PlainEnd::Refused(refusal) => refuse(relay, writer, request, refusal).await,
    }
}

/// Ends a stream.
pub(crate) async fn end_stream(
    relay: &Rc<Relay>,
    writer: &mut OwnedWriteHalf,
    request: &RelayRequest,
    end: StreamEnd,
    is_closing: bool,
) -> ConnectionAction {
    request.stage.note_answering();
    match end {
        StreamEnd::Whole {
            endpoint,
            resumes,
            timing,
        } => {
            note_end(relay, request, "whole");
            relay.note_stream_ms(relay.now().since(request.received_at));
            log_whole_stream(relay, request, &endpoint, resumes, timing);
            match (is_closing, relay.stopping.is_requested()) {
                (true, _) => ConnectionAction::Close,
                (false, true) => ConnectionAction::CloseUnannounced,
                (false, false) => ConnectionAction::Keep,
            }
        }
        StreamEnd::Plain(response, endpoint) => {
            log_answered(relay, request, response.status, &endpoint, 1);
            write_response(relay, writer, &response, (&request.head).into()).await
        }
        StreamEnd::Refused { refusal, .. } => refuse(relay, writer, request, refusal).await,
        StreamEnd::BrokenOff(broken) => {
            note_broken_off(relay, request, &broken);
            ConnectionAction::Abort
        }
        StreamEnd::CallerLeft(error) => {
            note_end(relay, request, "caller_left");
            log_caller_left(relay, &request.id, request.received_at, error);
            ConnectionAction::Abort
        }
    }
}

fn note_broken_off(relay: &Relay, request: &RelayRequest, broken: &BrokenOff) {
    note_end(relay, request, "broken_off");
    let cause = broken.obstacle.name();
    relay
        .metrics
        .broken_off
        .get_or_create(&CauseLabel { cause })
        .inc();
    log_event!(
        warn,
        events::STREAM_BROKEN_OFF,
        request = request.id,
        route = request.route.name,
        reason = broken.refusal.name(),
        obstacle = cause,
        last_failure = broken.last_failure,
        sends = broken.sends,
        delivered = broken.delivered,
        left_ms = request.left_ms(relay.now()),
        silent_ms = relay.silent_ms()
    );
}

/// Answers an admitted request with a response of the relay itself.
pub(crate) async fn refuse(
    relay: &Rc<Relay>,
    writer: &mut OwnedWriteHalf,
    request: &RelayRequest,
    refusal: Refusal,
) -> ConnectionAction {
    request.stage.note_answering();
    note_end(relay, request, refusal.name());
    write_refusal(relay, writer, &request.id, refusal, (&request.head).into()).await
}

/// Answers a request that was not admitted.
pub(crate) async fn refuse_unadmitted(
    relay: &Rc<Relay>,
    writer: &mut OwnedWriteHalf,
    request_id: &str,
    refusal: Refusal,
    form: ResponseForm,
) -> ConnectionAction {
    relay.metrics.note_end(UNADMITTED, refusal.name());
    write_refusal(relay, writer, request_id, refusal, form).await
}

/// Answers input that is not a valid request; the connection has to be closed afterwards.
pub(crate) async fn write_final_refusal(
    writer: &mut OwnedWriteHalf,
    refusal: Refusal,
) -> ConnectionAction {
    let response = Response::from_refusal(refusal);
    match write_whole(writer, &response, false, true).await {
        Ok(()) => ConnectionAction::Close,
        Err(_) => ConnectionAction::Abort,
    }
}

async fn write_refusal(
    relay: &Rc<Relay>,
    writer: &mut OwnedWriteHalf,
    request_id: &str,
    refusal: Refusal,
    form: ResponseForm,
) -> ConnectionAction {
    log_event!(
        warn,
        events::REQUEST_REFUSED,
        request = request_id,
        reason = refusal.name(),
        status = refusal.status(),
        active = relay.active.get()
    );
    write_response(relay, writer, &Response::from_refusal(refusal), form).await
}

async fn write_response(
    relay: &Rc<Relay>,
    writer: &mut OwnedWriteHalf,
    response: &Response,
    form: ResponseForm,
) -> ConnectionAction {
    let is_closing = !form.is_keep_alive || relay.stopping.is_requested();
    match write_whole(writer, response, form.is_head_only, is_closing).await {
        Ok(()) if is_closing => ConnectionAction::Close,
        Ok(()) => ConnectionAction::Keep,
        Err(_) => ConnectionAction::Abort,
    }
}

async fn write_whole(
    writer: &mut OwnedWriteHalf,
    response: &Response,
    is_head_only: bool,
    is_closing: bool,
) -> io::Result<()> {
    for part in response.to_bytes(is_head_only, is_closing) {
        writer.write_all(&part).await?;
    }
    Ok(())
}

/// Counts the end of an admitted request.
fn note_end(relay: &Relay, request: &RelayRequest, outcome: &'static str) {
    let kind = request.route.kind.name();
    relay.metrics.note_end(kind, outcome);
    let answer_ms = relay.now().since(request.received_at);
    relay.metrics.note_answer_ms(kind, answer_ms);
}

pub(crate) fn log_caller_left(
    relay: &Relay,
    request_id: &str,
    received_at: ClockMs,
    cause: impl Display,
) {
    log_event!(
        info,
        events::CALLER_LEFT,
        request = request_id,
        cause = cause,
        after_ms = relay.now().since(received_at)
    );
}

fn log_answered(
    relay: &Relay,
    request: &RelayRequest,
    status: u16,
    endpoint: &EndpointId,
    sends: u32,
) {
    let is_failure = status >= 400;
    let outcome = if is_failure {
        "endpoint_failed"
    } else {
        "whole"
    };
    note_end(relay, request, outcome);
    log_event!(
        info,
        events::REQUEST_ANSWERED,
        request = request.id,
        route = request.route.name,
        kind = request.route.kind.name(),
        status = status,
        endpoint = endpoint,
        sends = sends,
        duration_ms = relay.now().since(request.received_at)
    );
}

fn log_whole_stream(
    relay: &Relay,
    request: &RelayRequest,
    endpoint: &EndpointId,
    resumes: u32,
    timing: StreamTiming,
) {
    let first_ms = timing.first_ms.unwrap_or_default();
    relay.metrics.first_event_ms.observe(as_f64(first_ms));
    relay
        .metrics
        .event_gap_ms
        .observe(as_f64(timing.longest_gap_ms));
    log_event!(
        info,
        events::REQUEST_ANSWERED,
        request = request.id,
        route = request.route.name,
        kind = request.route.kind.name(),
        status = 200,
        endpoint = endpoint,
        sends = resumes + 1,
        resumes = resumes,
        first_ms = first_ms,
        longest_gap_ms = timing.longest_gap_ms,
        duration_ms = relay.now().since(request.received_at)
    );
}
