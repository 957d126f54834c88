//! One caller's connection: its requests, one after the other.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use masticsill_catalogue::{RequestLimits, RouteKind};
use masticsill_http1::{BodyDecoder, BodyStep, Framing, ParseError, RequestHead, parse_request};
use masticsill_types::{ClockMs, log_event};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;

use crate::admission::admit;
use crate::answer::{Answer, Refusal};
use crate::dial::watch_peer;
use crate::events;
use crate::metrics::as_f64;
use crate::plain::relay_plain;
use crate::relay::{Active, NEWS_BOUND_MS, NEWS_SHARE, Relay};
use crate::request::RelayRequest;
use crate::stream::{StreamEnd, StreamRelay};

/// Room made for each read.
const READ_BYTES: usize = 8 * 1024;
/// Bytes of a next request that are read ahead while one is being answered.
const READ_AHEAD_BYTES: usize = 64 * 1024;
/// Limits while no document is known.
const DEFAULT_LIMITS: RequestLimits = RequestLimits {
    body_bytes: 4 * 1024 * 1024,
    header_bytes: 16 * 1024,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
};
/// Idle time beyond the stated limit: a caller that uses its connection at the limit still gets
/// an answer.
const IDLE_SLACK_MS: u64 = 1_000;
/// How long a closing side reads on, so that the last answer is not lost to a reset.
const LINGER: Duration = Duration::from_millis(300);
/// Time after the beginning of a shutdown in which streams are still begun: the balancer needs
/// it to turn elsewhere, and they still end within the grace.
const STREAMS_UNTIL_MS: u64 = 1_200;

/// Kind of a request that no route was found for, in metrics.
const UNADMITTED: &str = "unadmitted";

/// What ended the wait for a request.
enum Next {
    Request(RequestHead, ClockMs),
    Refused(Refusal),
    Ended,
}

/// Whether the connection goes on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum After {
    /// Ended after an answer that said so.
    Close,
    /// Ended after an answer that did not say so: the shutdown began meanwhile.
    CloseUnsaid,
    /// Cut without an end: the answer is not whole.
    Cut,
    Keep,
}

/// A caller's side of the connection.
struct Caller {
    buffer: BytesMut,
    reader: OwnedReadHalf,
}

/// Serves a connection until either side ends it.
pub(crate) async fn serve_connection(relay: Rc<Relay>, stream: TcpStream) {
    if watch_peer(&stream).is_err() {
        return;
    }
    let (reader, mut writer) = stream.into_split();
    let mut caller = Caller {
        buffer: BytesMut::with_capacity(READ_BYTES),
        reader,
    };
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
    let body = match caller.read_body(relay, writer, &head).await {
        Ok(body) => body,
        Err(BodyError::Refused(refusal)) => return write_own(writer, refusal).await,
        Err(BodyError::Ended) => return After::Cut,
    };
    let is_kept = head.is_keep_alive;
    let answering = answer_whole(relay, writer, head, body, received_at);
    tokio::select! {
        biased;
        after = answering => if is_kept { after } else { after.at_least_close() },
        () = caller.left() => {
            log_event!(
                info,
                events::CALLER_LEFT,
                after_ms = relay.now().since(received_at)
            );
            After::Cut
        }
    }
}

/// Answers a request that has been read whole.
async fn answer_whole(
    relay: &Rc<Relay>,
    writer: &mut OwnedWriteHalf,
    head: RequestHead,
    body: Bytes,
    received_at: ClockMs,
) -> After {
    let names = &relay.config.headers;
    let id = head
        .headers
        .text(&names.request_id)
        .unwrap_or_default()
        .to_owned();
    let is_kept = head.is_keep_alive;
    let asked_ms = head.headers.number(&names.deadline_ms).unwrap_or_default();
    let bound_ms = (asked_ms / NEWS_SHARE).min(NEWS_BOUND_MS);
    let Some(index) = relay.await_news(bound_ms, || relay.index()).await else {
        relay
            .metrics
            .note_end(UNADMITTED, Refusal::NoDocument.name());
        return refuse(relay, writer, &id, Refusal::NoDocument, is_kept).await;
    };
    let request = match admit(&index, names, received_at, head, body) {
        Ok(request) => request,
        Err(refusal) => {
            relay.metrics.note_end(UNADMITTED, refusal.name());
            return refuse(relay, writer, &id, refusal, is_kept).await;
        }
    };
    drop(index);
    relay.note_request(&request.service);
    match request.route.kind {
        RouteKind::Idempotent | RouteKind::NonIdempotent => {
            answer_plain(relay, writer, &request).await
        }
        RouteKind::Stream => answer_stream(relay, writer, &request).await,
    }
}

async fn answer_plain(
    relay: &Rc<Relay>,
    writer: &mut OwnedWriteHalf,
    request: &RelayRequest,
) -> After {
    let end = relay_plain(relay, request).await;
    let is_kept = request.head.is_keep_alive;
    let Some(answer) = end.answer else {
        let refusal = end.refusal.unwrap_or(Refusal::Broken);
        return refuse_admitted(relay, writer, request, refusal, is_kept).await;
    };
    let endpoint = end.endpoint.map(|id| id.to_string()).unwrap_or_default();
    log_answered(relay, request, answer.status, &endpoint, end.sends, 0);
    write_answer(relay, writer, &answer, is_kept).await
}

async fn answer_stream(
    relay: &Rc<Relay>,
    writer: &mut OwnedWriteHalf,
    request: &RelayRequest,
) -> After {
    let is_kept = request.head.is_keep_alive;
    let stopping_for_ms = relay.stopping_for_ms();
    if stopping_for_ms.is_some_and(|ms| ms > STREAMS_UNTIL_MS) {
        return refuse_admitted(relay, writer, request, Refusal::Stopping, is_kept).await;
    }
    let is_closing = !is_kept || stopping_for_ms.is_some();
    match StreamRelay::new(relay, request, writer, is_closing)
        .run()
        .await
    {
        StreamEnd::Whole {
            endpoint,
            resumes,
            timing,
        } => {
            let metrics = &relay.metrics;
            let first_ms = timing.first_ms.unwrap_or_default();
            metrics.first_event_ms.observe(as_f64(first_ms));
            metrics.event_gap_ms.observe(as_f64(timing.longest_gap_ms));
            note_end(relay, request, "whole");
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
            match (is_closing, relay.stopping.is_requested()) {
                (true, _) => After::Close,
                (false, true) => After::CloseUnsaid,
                (false, false) => After::Keep,
            }
        }
        StreamEnd::Plain(answer, endpoint) => {
            log_answered(relay, request, answer.status, &endpoint.to_string(), 1, 0);
            write_answer(relay, writer, &answer, is_kept).await
        }
        StreamEnd::Refused(refusal) => {
            refuse_admitted(relay, writer, request, refusal, is_kept).await
        }
        StreamEnd::BrokenOff(refusal) => {
            note_end(relay, request, "broken_off");
            log_event!(
                warn,
                events::STREAM_BROKEN_OFF,
                request = request.id,
                route = request.route.name,
                reason = refusal.name()
            );
            After::Cut
        }
        StreamEnd::CallerLeft(error) => {
            note_end(relay, request, "caller_left");
            log_event!(
                info,
                events::CALLER_LEFT,
                request = request.id,
                cause = error,
                after_ms = relay.now().since(request.received_at)
            );
            After::Cut
        }
    }
}

/// Counts the end of an admitted request.
fn note_end(relay: &Relay, request: &RelayRequest, outcome: &'static str) {
    let kind = request.route.kind.name();
    relay.metrics.note_end(kind, outcome);
    let answer_ms = relay.now().since(request.received_at);
    relay.metrics.note_answer_ms(kind, answer_ms);
}

fn log_answered(
    relay: &Relay,
    request: &RelayRequest,
    status: u16,
    endpoint: &str,
    sends: u32,
    resumes: u32,
) {
    let outcome = if status < 400 {
        "whole"
    } else {
        "endpoint_failed"
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
        resumes = resumes,
        duration_ms = relay.now().since(request.received_at)
    );
}

async fn refuse_admitted(
    relay: &Rc<Relay>,
    writer: &mut OwnedWriteHalf,
    request: &RelayRequest,
    refusal: Refusal,
    is_kept: bool,
) -> After {
    note_end(relay, request, refusal.name());
    refuse(relay, writer, &request.id, refusal, is_kept).await
}

async fn refuse(
    relay: &Rc<Relay>,
    writer: &mut OwnedWriteHalf,
    request: &str,
    refusal: Refusal,
    is_kept: bool,
) -> After {
    log_event!(
        warn,
        events::REQUEST_REFUSED,
        request = request,
        reason = refusal.name(),
        status = refusal.status()
    );
    write_answer(relay, writer, &Answer::own(refusal), is_kept).await
}

async fn write_answer(
    relay: &Rc<Relay>,
    writer: &mut OwnedWriteHalf,
    answer: &Answer,
    is_kept: bool,
) -> After {
    let is_closing = !is_kept || relay.stopping.is_requested();
    let bytes = answer.to_bytes(is_closing);
    match writer.write_all(&bytes).await {
        Ok(()) if is_closing => After::Close,
        Ok(()) => After::Keep,
        Err(_) => After::Cut,
    }
}

/// Answers what is no request; the connection can't go on after it.
async fn write_own(writer: &mut OwnedWriteHalf, refusal: Refusal) -> After {
    let bytes = Answer::own(refusal).to_bytes(true);
    match writer.write_all(&bytes).await {
        Ok(()) => After::Close,
        Err(_) => After::Cut,
    }
}

impl After {
    fn at_least_close(self) -> Self {
        match self {
            Self::Keep => Self::Close,
            Self::Close | Self::CloseUnsaid | Self::Cut => self,
        }
    }
}

/// Why a body could not be had.
enum BodyError {
    Ended,
    Refused(Refusal),
}

impl From<ParseError> for BodyError {
    fn from(_: ParseError) -> Self {
        Self::Refused(Refusal::Malformed)
    }
}

impl Caller {
    /// Waits for the head of the next request.
    async fn next_request(&mut self, relay: &Rc<Relay>) -> Next {
        if self.buffer.is_empty() && !self.await_bytes(relay).await {
            return Next::Ended;
        }
        let received_at = relay.now();
        let limits = limits_of(relay);
        let max_bytes = usize::try_from(limits.header_bytes).unwrap_or(usize::MAX);
        let reading = self.read_head(max_bytes);
        match timeout(Duration::from_millis(limits.header_timeout_ms), reading).await {
            Ok(Ok(Some(head))) => Next::Request(head, received_at),
            Ok(Ok(None)) => Next::Ended,
            Ok(Err(ParseError::HeadTooLong)) => Next::Refused(Refusal::HeadTooLong),
            Ok(Err(_)) => Next::Refused(Refusal::Malformed),
            Err(_) => Next::Refused(Refusal::SlowHead),
        }
    }

    /// Waits while the connection is idle; false when it is to end.
    async fn await_bytes(&mut self, relay: &Rc<Relay>) -> bool {
        let idle_ms = limits_of(relay).idle_timeout_ms + IDLE_SLACK_MS;
        let idle = Duration::from_millis(idle_ms);
        tokio::select! {
            biased;
            read = timeout(idle, read_more(&mut self.reader, &mut self.buffer)) => {
                matches!(read, Ok(Ok(true)))
            }
            () = relay.stopping.requested() => {
                // What is on its way when the shutdown begins is still answered.
                let last = read_more(&mut self.reader, &mut self.buffer);
                matches!(timeout(LINGER, last).await, Ok(Ok(true)))
            }
        }
    }

    async fn read_head(&mut self, max_bytes: usize) -> Result<Option<RequestHead>, ParseError> {
        loop {
            if let Some(head) = parse_request(&mut self.buffer, max_bytes)? {
                return Ok(Some(head));
            }
            let read = read_more(&mut self.reader, &mut self.buffer).await;
            if !read.unwrap_or(false) {
                return Ok(None);
            }
        }
    }

    async fn read_body(
        &mut self,
        relay: &Rc<Relay>,
        writer: &mut OwnedWriteHalf,
        head: &RequestHead,
    ) -> Result<Bytes, BodyError> {
        let limit_bytes = limits_of(relay).body_bytes;
        if matches!(head.framing, Framing::Length(length) if length > limit_bytes) {
            return Err(BodyError::Refused(Refusal::BodyTooLong));
        }
        if head.headers.has_token("expect", "100-continue") {
            let go_on = writer.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
            go_on.map_err(|_| BodyError::Ended)?;
        }
        let mut decoder = BodyDecoder::new(head.framing);
        let mut body = BytesMut::new();
        loop {
            match decoder.step(&mut self.buffer)? {
                BodyStep::Data(data) => body.extend_from_slice(&data),
                BodyStep::End => return Ok(body.freeze()),
                BodyStep::NeedMore => {
                    let read = read_more(&mut self.reader, &mut self.buffer).await;
                    if !read.unwrap_or(false) {
                        return Err(BodyError::Ended);
                    }
                }
            }
            if body.len() as u64 > limit_bytes {
                return Err(BodyError::Refused(Refusal::BodyTooLong));
            }
        }
    }

    /// Waits until the caller has closed its side. What it sends meanwhile is read ahead.
    async fn left(&mut self) {
        loop {
            if self.buffer.len() >= READ_AHEAD_BYTES {
                std::future::pending::<()>().await;
            }
            match read_more(&mut self.reader, &mut self.buffer).await {
                Ok(true) => {}
                Ok(false) | Err(_) => return,
            }
        }
    }

    /// Ends the connection so that the last answer still arrives.
    async fn linger(&mut self, writer: &mut OwnedWriteHalf) {
        if writer.shutdown().await.is_err() {
            return;
        }
        let draining = async {
            loop {
                self.buffer.clear();
                match read_more(&mut self.reader, &mut self.buffer).await {
                    Ok(true) => {}
                    Ok(false) | Err(_) => return,
                }
            }
        };
        let _ = timeout(LINGER, draining).await;
    }
}

fn limits_of(relay: &Relay) -> RequestLimits {
    let index = relay.index.borrow();
    index
        .as_ref()
        .map_or(DEFAULT_LIMITS, |index| index.document().limits)
}

/// Reads once; false at the end of the connection.
async fn read_more(reader: &mut OwnedReadHalf, buffer: &mut BytesMut) -> io::Result<bool> {
    buffer.reserve(READ_BYTES);
    Ok(reader.read_buf(buffer).await? > 0)
}
