//! The read side of a caller's connection: request heads, bodies, and the detection of a close.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use masticsill_catalogue::RequestLimits;
use masticsill_http1::{BodyDecoder, BodyStep, Framing, ParseError, RequestHead, parse_request};
use masticsill_types::ClockMs;
use masticsill_upstream::{BufferShare, HeldMessage, OverBudget, read_more};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;

use crate::relay::Relay;
use crate::response::Refusal;

/// Buffer space reserved for each read.
const READ_RESERVE_BYTES: usize = 8 * 1024;
/// Maximum bytes of the next request that are read ahead while one is being answered.
const READ_AHEAD_BYTES: usize = 64 * 1024;
/// Limits that apply while no document is known.
const DEFAULT_LIMITS: RequestLimits = RequestLimits {
    body_bytes: 4 * 1024 * 1024,
    header_bytes: 16 * 1024,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
};
/// Idle time granted beyond the configured limit, so that a caller which reuses its connection
/// right at the limit still gets an answer.
const IDLE_TIMEOUT_SLACK_MS: u64 = 1_000;
/// How long the closing side keeps reading, so that a connection reset does not discard the last
/// response.
pub(crate) const LINGER_TIMEOUT: Duration = Duration::from_millis(300);

/// Result of waiting for a request.
pub(crate) enum NextRequest {
    Request(RequestHead, ClockMs),
    Refused(Refusal),
    Ended,
}

/// The read half of a caller's connection.
pub(crate) struct Caller {
    buffer: BytesMut,
    reader: OwnedReadHalf,
}

/// When to retry after a refusal for lack of memory: about the time in which a long body is read.
const BODY_RETRY_AFTER_MS: u64 = 500;

/// Why a body could not be read.
pub(crate) enum BodyError {
    Ended,
    Refused(Refusal),
}

impl From<OverBudget> for BodyError {
    fn from(_: OverBudget) -> Self {
        Self::Refused(Refusal::Overloaded {
            retry_after_ms: BODY_RETRY_AFTER_MS,
        })
    }
}

impl From<ParseError> for BodyError {
    fn from(_: ParseError) -> Self {
        Self::Refused(Refusal::Malformed)
    }
}

impl Caller {
    pub(crate) fn new(reader: OwnedReadHalf) -> Self {
        Self {
            buffer: BytesMut::with_capacity(READ_RESERVE_BYTES),
            reader,
        }
    }

    /// Waits for the head of the next request.
    pub(crate) async fn next_request(&mut self, relay: &Rc<Relay>) -> NextRequest {
        if self.buffer.is_empty() && !self.wait_for_bytes(relay).await {
            return NextRequest::Ended;
        }
        let received_at = relay.now();
        let limits = limits_of(relay);
        let max_bytes = usize::try_from(limits.header_bytes).unwrap_or(usize::MAX);
        let reading = self.read_head(max_bytes);
        match timeout(Duration::from_millis(limits.header_timeout_ms), reading).await {
            Ok(Ok(Some(head))) => NextRequest::Request(head, received_at),
            Ok(Ok(None)) => NextRequest::Ended,
            Ok(Err(ParseError::HeadTooLong)) => NextRequest::Refused(Refusal::HeadTooLong),
            Ok(Err(_)) => NextRequest::Refused(Refusal::Malformed),
            Err(_) => NextRequest::Refused(Refusal::SlowHead),
        }
    }

    /// Waits while the connection is idle; false when the connection should be closed.
    ///
    /// The limit is read again when it seems to have expired: a caller goes by the newest document,
    /// and may send its next request later than allowed by the document that was active when the
    /// connection became idle.
    async fn wait_for_bytes(&mut self, relay: &Rc<Relay>) -> bool {
        let began_at = relay.now();
        loop {
            let idle_ms = limits_of(relay).idle_timeout_ms + IDLE_TIMEOUT_SLACK_MS;
            let left_ms = (began_at + idle_ms).since(relay.now());
            if left_ms == 0 {
                return false;
            }
            tokio::select! {
                biased;
                read = timeout(Duration::from_millis(left_ms), self.read_more()) => {
                    if let Ok(read) = read {
                        return matches!(read, Ok(true));
                    }
                }
                () = relay.stopping.requested() => {
                    // A request that is in transit when the shutdown begins is still answered.
                    let last = self.read_more();
                    return matches!(timeout(LINGER_TIMEOUT, last).await, Ok(Ok(true)));
                }
            }
        }
    }

    /// Reads once; false at the end of the connection.
    async fn read_more(&mut self) -> io::Result<bool> {
        read_more(&mut self.reader, &mut self.buffer, READ_RESERVE_BYTES).await
    }

    async fn read_head(&mut self, max_bytes: usize) -> Result<Option<RequestHead>, ParseError> {
        loop {
            if let Some(head) = parse_request(&mut self.buffer, max_bytes)? {
                return Ok(Some(head));
            }
            let read = self.read_more().await;
            if !read.unwrap_or(false) {
                return Ok(None);
            }
        }
    }

    pub(crate) async fn read_body(
        &mut self,
        relay: &Rc<Relay>,
        writer: &mut OwnedWriteHalf,
        head: &RequestHead,
    ) -> Result<(Bytes, BufferShare), BodyError> {
        let limit_bytes = limits_of(relay).body_bytes;
        if matches!(head.framing, Framing::Length(length) if length > limit_bytes) {
            return Err(BodyError::Refused(Refusal::BodyTooLong));
        }
        if head.headers.has_token("expect", "100-continue") {
            let go_on = writer.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
            go_on.map_err(|_| BodyError::Ended)?;
        }
        let mut decoder = BodyDecoder::new(head.framing);
        let mut body = HeldMessage::new(relay.body_buffers.share());
        if let Framing::Length(length) = head.framing {
            body.reserve(usize::try_from(length).unwrap_or(usize::MAX))?;
        }
        loop {
            match decoder.step(&mut self.buffer)? {
                BodyStep::Data(data) => body.extend(&data)?,
                BodyStep::End => {
                    let (body, share) = body.into_parts();
                    return Ok((body.freeze(), share));
                }
                BodyStep::NeedMore => {
                    let read = self.read_more().await;
                    if !read.unwrap_or(false) {
                        return Err(BodyError::Ended);
                    }
                }
            }
            if body.length_bytes() as u64 > limit_bytes {
                return Err(BodyError::Refused(Refusal::BodyTooLong));
            }
        }
    }

    /// Waits until the caller has closed its side. Bytes received meanwhile are buffered.
    pub(crate) async fn wait_for_close(&mut self) {
        loop {
            if self.buffer.len() >= READ_AHEAD_BYTES {
                std::future::pending::<()>().await;
            }
            match self.read_more().await {
                Ok(true) => {}
                Ok(false) | Err(_) => return,
            }
        }
    }

    /// Closes the connection such that the last response still arrives.
    pub(crate) async fn linger(&mut self, writer: &mut OwnedWriteHalf) {
        if writer.shutdown().await.is_err() {
            return;
        }
        let draining = async {
            loop {
                self.buffer.clear();
                match self.read_more().await {
                    Ok(true) => {}
                    Ok(false) | Err(_) => return,
                }
            }
        };
        let _ = timeout(LINGER_TIMEOUT, draining).await;
    }
}

fn limits_of(relay: &Relay) -> RequestLimits {
    let index = relay.index.borrow();
    index
        .as_ref()
        .map_or(DEFAULT_LIMITS, |index| index.document().limits)
}
