//! One caller's connection: its requests, one after the other.

use std::rc::Rc;

use bytes::Bytes;
use masticsill_catalogue::RouteKind;
use masticsill_http1::RequestHead;
use masticsill_types::{ClockMs, log_event};
use masticsill_upstream::watch_peer;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;

use crate::admission::{Entitled, admit, entitle};
use crate::answer::Refusal;
use crate::caller::{BodyError, Caller, LINGER, Next};
use crate::ending::{
    After, end_plain, end_stream, log_caller_left, refuse, refuse_unadmitted, write_own,
};
use crate::events;
use crate::plain::relay_plain;
use crate::relay::{Active, NEWS_BOUND_MS, NEWS_SHARE, Relay};
use crate::request::RelayRequest;
use crate::stream::StreamRelay;

/// Serves a connection until either side ends it.
pub(crate) async fn serve_connection(relay: Rc<Relay>, stream: TcpStream) {
    if watch_peer(&stream).is_err() {
        return;
    }
    let (reader, mut writer) = stream.into_split();
    let mut caller = Caller::new(reader);
    loop {
        let after = match caller.next_request(&relay).await {
            Next::Ended => break,
            Next::Refused(refusal) => {
                log_event!(info, events::REQUEST_MALFORMED, reason = refusal.name());
                write_own(&mut writer, refusal).await
            }
            Next::Request(head, received_at) => {
                answer_request(&relay, &mut caller, &mut writer, head, received_at).await
            }
        };
        match after {
            After::Keep => {}
            After::Close => {
                caller.linger(&mut writer).await;
                break;
            }
            After::CloseUnsaid => {
                // Nothing more is read: a request that crosses this is the caller's to send again.
                let _ = writer.shutdown().await;
                tokio::time::sleep(LINGER).await;
                break;
            }
            After::Cut => break,
        }
    }
}

async fn answer_request(
    relay: &Rc<Relay>,
    caller: &mut Caller,
    writer: &mut OwnedWriteHalf,
    head: RequestHead,
    received_at: ClockMs,
) -> After {
    let _active = Active::begin(relay);
    let id = relay.config.headers.request_id_of(&head).to_owned();
    let is_kept = head.is_keep_alive;
    let body = match caller.read_body(relay, writer, &head).await {
        Ok(body) => body,
        Err(BodyError::Refused(refusal)) => return write_own(writer, refusal).await,
        Err(BodyError::Ended) => return After::Cut,
    };
    let answering = answer_whole(relay, writer, &id, head, body, received_at);
    tokio::select! {
        biased;
        after = answering => if is_kept { after } else { after.at_least_close() },
        () = caller.left() => {
            log_caller_left(relay, &id, received_at, "closed its connection");
            After::Cut
        }
    }
}

/// Answers a request that has been read whole.
async fn answer_whole(
    relay: &Rc<Relay>,
    writer: &mut OwnedWriteHalf,
    id: &str,
    head: RequestHead,
    body: Bytes,
    received_at: ClockMs,
) -> After {
    let names = &relay.config.headers;
    let is_kept = head.is_keep_alive;
    let asked_ms = head.headers.number(&names.deadline_ms).unwrap_or_default();
    let bound_ms = (asked_ms / NEWS_SHARE).min(NEWS_BOUND_MS);
    let entitled = relay.await_news(bound_ms, || entitle_now(relay, &head));
    let entitled = match entitled.await {
        Some(Ok(entitled)) => entitled,
        Some(Err(refusal)) => {
            return refuse_unadmitted(relay, writer, id, refusal, is_kept).await;
        }
        None => return refuse_unadmitted(relay, writer, id, Refusal::NoDocument, is_kept).await,
    };
    let request = {
        let mut patience = relay.patience.borrow_mut();
        admit(entitled, names, &mut patience, received_at, head, body)
    };
    relay.note_request(&request.service);
    match request.route.kind {
        RouteKind::Idempotent | RouteKind::NonIdempotent => {
            let end = relay_plain(relay, &request).await;
            end_plain(relay, writer, &request, end).await
        }
        RouteKind::Stream => answer_stream(relay, writer, &request).await,
    }
}

/// What is known to be in force says of a request; `None` while that can't be told.
///
/// Callers don't come back after an unknown route or key, so that neither is said by a document which
/// is known to be old: the newer one may have it.
fn entitle_now(relay: &Relay, head: &RequestHead) -> Option<Result<Entitled, Refusal>> {
    let index = relay.index()?;
    let entitled = entitle(&index, &relay.config.headers, head);
    let is_final = !matches!(entitled, Err(Refusal::NoRoute | Refusal::UnknownKey));
    (is_final || !relay.is_behind_document()).then_some(entitled)
}

async fn answer_stream(
    relay: &Rc<Relay>,
    writer: &mut OwnedWriteHalf,
    request: &RelayRequest,
) -> After {
    if !relay.takes_streams() {
        return refuse(relay, writer, request, Refusal::Stopping).await;
    }
    let is_closing = !request.head.is_keep_alive || relay.stopping_since.get().is_some();
    let stream = StreamRelay::new(relay, request, writer, is_closing);
    let end = stream.run().await;
    end_stream(relay, writer, request, end, is_closing).await
}
