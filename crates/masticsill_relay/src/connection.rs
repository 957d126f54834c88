//! A caller's connection: its requests are served one after the other.

use std::future::pending;
use std::rc::Rc;

use bytes::Bytes;
use masticsill_catalogue::RouteKind;
use masticsill_http1::RequestHead;
use masticsill_types::{ClockMs, log_event};
use masticsill_upstream::configure_socket;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;

use crate::admission::{Authorized, admit, authorize};
use crate::caller::{BodyError, Caller, LINGER_TIMEOUT, NextRequest};
use crate::continuation::{Continuation, ContinuationEnd};
use crate::events;
use crate::metrics::StreamLabel;
use crate::plain::relay_plain;
use crate::relay::{ActiveRequest, Relay, discovery_wait_ms};
use crate::request::RelayRequest;
use crate::request_end::{
    ConnectionAction, end_plain, end_stream, log_caller_left, refuse, refuse_unadmitted,
    write_final_refusal,
};
use crate::request_stage::RequestStage;
use crate::response::{Refusal, ResponseForm};
use crate::stream::StreamRelay;
use crate::stream_origins::find_origin;

/// Serves a connection until either side closes it.
pub(crate) async fn serve_connection(relay: Rc<Relay>, stream: TcpStream) {
    if configure_socket(&stream).is_err() {
        return;
    }
    let (reader, mut writer) = stream.into_split();
    let mut caller = Caller::new(reader);
    loop {
        let action = match caller.next_request(&relay).await {
            NextRequest::Ended => break,
            NextRequest::Refused(refusal) => {
                log_event!(info, events::REQUEST_MALFORMED, reason = refusal.name());
                write_final_refusal(&mut writer, refusal).await
            }
            NextRequest::Request(head, received_at) => {
                let answering = answer_request(&relay, &mut caller, &mut writer, head, received_at);
                Box::pin(answering).await
            }
        };
        match action {
            ConnectionAction::Keep => {}
            ConnectionAction::Close => {
                caller.linger(&mut writer).await;
                break;
            }
            ConnectionAction::CloseUnannounced => {
                // Nothing more is read: the caller has to resend a request that crosses this close.
                let _ = writer.shutdown().await;
                tokio::time::sleep(LINGER_TIMEOUT).await;
                break;
            }
            ConnectionAction::Abort => break,
        }
    }
}

async fn answer_request(
    relay: &Rc<Relay>,
    caller: &mut Caller,
    writer: &mut OwnedWriteHalf,
    head: RequestHead,
    received_at: ClockMs,
) -> ConnectionAction {
    let _active = ActiveRequest::begin(relay);
    let id = relay.config.headers.request_id_of(&head).to_owned();
    let form = ResponseForm::from(&head);
    let stage = RequestStage::default();
    let body = tokio::select! {
        biased;
        body = caller.read_body(relay, writer, &head) => body,
        refusal = final_refusal(relay, &stage) => Err(BodyError::Refused(refusal)),
    };
    let (body, _share) = match body {
        Ok(read) => read,
        Err(BodyError::Refused(refusal)) => return write_final_refusal(writer, refusal).await,
        Err(BodyError::Ended) => return ConnectionAction::Abort,
    };
    let answering =
        answer_complete_request(relay, writer, &id, head, body, received_at, stage.clone());
    let refusal = tokio::select! {
        biased;
        action = answering => {
            return if form.is_keep_alive { action } else { action.at_least_close() };
        }
        () = caller.wait_for_close() => {
            log_caller_left(relay, &id, received_at, "closed its connection");
            return ConnectionAction::Abort;
        }
        refusal = final_refusal(relay, &stage) => refusal,
    };
    refuse_unadmitted(relay, writer, &id, refusal, form).await
}

/// Waits until the relay is about to end; returns the refusal of a request without any response by
/// then. Never returns if a response is being written.
async fn final_refusal(relay: &Relay, stage: &RequestStage) -> Refusal {
    relay.ending.requested().await;
    match stage.final_refusal() {
        Some(refusal) => refusal,
        None => pending().await,
    }
}

/// Answers a request whose body has been read completely.
async fn answer_complete_request(
    relay: &Rc<Relay>,
    writer: &mut OwnedWriteHalf,
    id: &str,
    head: RequestHead,
    body: Bytes,
    received_at: ClockMs,
    stage: RequestStage,
) -> ConnectionAction {
    let names = &relay.config.headers;
    let form = ResponseForm::from(&head);
    let asked_ms = head.headers.number(&names.deadline_ms).unwrap_or_default();
    let bound_ms = discovery_wait_ms(asked_ms);
    let authorized = relay.wait_for_discovery(bound_ms, || authorize_now(relay, &head));
    let authorized = match authorized.await.unwrap_or(Err(Refusal::NoDocument)) {
        Ok(authorized) => authorized,
        Err(refusal) => {
            stage.note_answering();
            return refuse_unadmitted(relay, writer, id, refusal, form).await;
        }
    };
    let request = {
        let mut prior_wait_estimator = relay.prior_wait_estimator.borrow_mut();
        admit(
            authorized,
            names,
            &mut prior_wait_estimator,
            received_at,
            head,
            body,
            stage,
        )
    };
    relay.note_request(&request.service);
    match request.route.kind {
        RouteKind::Idempotent | RouteKind::NonIdempotent => {
            let end = relay_plain(relay, &request).await;
            end_plain(relay, writer, &request, end).await
        }
        RouteKind::Stream => answer_stream(relay, writer, request).await,
    }
}

/// The authorization of a request by the active document; `None` while the answer is not known for
/// certain.
///
/// Callers do not retry after an unknown route or API key. A document known to be outdated
/// therefore refuses neither, because the newer document may contain the route or key.
fn authorize_now(relay: &Relay, head: &RequestHead) -> Option<Result<Authorized, Refusal>> {
    let index = relay.index()?;
    let authorized = authorize(&index, &relay.config.headers, head);
    let is_final = !matches!(authorized, Err(Refusal::NoRoute | Refusal::UnknownKey));
    (is_final || !relay.is_behind_document()).then_some(authorized)
}

async fn answer_stream(
    relay: &Rc<Relay>,
    writer: &mut OwnedWriteHalf,
    mut request: RelayRequest,
) -> ConnectionAction {
    let is_continued = request.is_continuation(&relay.config.headers);
    let asked = &relay.metrics.streams_asked;
    asked.get_or_create(&StreamLabel::new(is_continued)).inc();
    let mut continuation = is_continued.then(|| Continuation::new(relay, &request));
    if !relay.accepts_streams() {
        let refusal = Refusal::Stopping;
        if let Some(continuation) = &mut continuation {
            continuation.fail(ContinuationEnd::Refused(refusal), &[]);
        }
        return refuse(relay, writer, &request, refusal).await;
    }
    let origin = match &mut continuation {
        // Boxed, since few requests need it.
        Some(continuation) => {
            match Box::pin(find_origin(relay, &mut request, continuation)).await {
                Ok(origin) => Some(origin),
                Err(refusal) => return refuse(relay, writer, &request, refusal).await,
            }
        }
        None => None,
    };
    let is_closing = !request.head.is_keep_alive || relay.stopping_since.get().is_some();
    let version = origin.map(|origin| origin.version);
    let stream = StreamRelay::new(relay, &request, version, continuation, writer, is_closing);
    let end = stream.run().await;
    end_stream(relay, writer, &request, end, is_closing).await
}
