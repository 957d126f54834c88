//! One HTTP exchange on a connection to an endpoint.

use std::io;

use bytes::{Bytes, BytesMut};
use masticsill_http1::{BodyDecoder, BodyStep, Framing, ParseError, ResponseHead, parse_response};
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::buffer_budget::{BufferBudget, BufferShare, HeldMessage, OverBudget};
use crate::read::read_more;
use crate::request_writer::RequestWriter;

/// Maximum size of a response head.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Buffer space reserved for each read.
const READ_RESERVE_BYTES: usize = 16 * 1024;
/// Maximum number of responses to earlier requests that are skipped before the exchange fails.
const MAX_SKIPPED_RESPONSES: u32 = 4;

/// Why an exchange ended without a complete response.
#[derive(Debug)]
pub enum ExchangeError {
    /// The connection was closed or failed.
    Connection(io::Error),
    /// The response needs more memory than is left for it.
    OverBudget(OverBudget),
    /// The bytes received are not a valid response.
    Parse(ParseError),
}

impl From<OverBudget> for ExchangeError {
    fn from(error: OverBudget) -> Self {
        Self::OverBudget(error)
    }
}

impl From<io::Error> for ExchangeError {
    fn from(error: io::Error) -> Self {
        Self::Connection(error)
    }
}

impl From<ParseError> for ExchangeError {
    fn from(error: ParseError) -> Self {
        Self::Parse(error)
    }
}

impl std::fmt::Display for ExchangeError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Connection(error) => write!(formatter, "connection: {error}"),
            Self::OverBudget(error) => write!(formatter, "answer: {error}"),
            Self::Parse(error) => write!(formatter, "answer: {error}"),
        }
    }
}

/// The connection of one exchange.
#[derive(Debug)]
pub struct UpstreamConnection {
    buffer: BytesMut,
    /// What is held of the budget for bytes that were received and not returned yet.
    held: BufferShare,
    request: RequestWriter,
    stream: TcpStream,
}

/// How the response to a request is recognised.
#[derive(Clone, Copy, Debug)]
pub struct ExpectedResponse<'a> {
    /// The request's method, on which the framing of the response depends.
    pub method: &'a str,
    /// The header field in which endpoints repeat the request's id.
    pub id_field: &'a str,
    /// The request's id.
    pub request_id: &'a str,
}

impl UpstreamConnection {
    /// Starts an exchange on a connection that is not used by any other. What is held of its response
    /// counts towards `budget`.
    #[must_use]
    pub fn new(stream: TcpStream, budget: &BufferBudget) -> Self {
        Self {
            buffer: BytesMut::with_capacity(READ_RESERVE_BYTES),
            held: budget.share(),
            request: RequestWriter::default(),
            stream,
        }
    }

    /// Sends a request, given in two parts, and reads the head of its response, both at once: an
    /// endpoint may respond before it has read a long body. The rest is sent while the body of the
    /// response is read. Responses to other requests are skipped.
    ///
    /// # Errors
    ///
    /// The connection failed, the bytes received are not a valid response, or too many responses
    /// belong to other requests.
    pub async fn exchange(
        &mut self,
        request: [Bytes; 2],
        expected: ExpectedResponse<'_>,
    ) -> Result<ResponseHead, ExchangeError> {
        self.request = RequestWriter::new(request);
        let mut skipped = 0;
        loop {
            let head = self.read_head(expected.method).await?;
            let id = head.headers.text(expected.id_field);
            if id.is_none_or(|id| id == expected.request_id) {
                return Ok(head);
            }
            skipped += 1;
            if skipped > MAX_SKIPPED_RESPONSES {
                return Err(ExchangeError::Parse(ParseError::Head));
            }
            let mut decoder = BodyDecoder::new(head.framing);
            while self.next_chunk(&mut decoder).await?.is_some() {}
        }
    }

    async fn read_head(&mut self, method: &str) -> Result<ResponseHead, ExchangeError> {
        loop {
            if let Some(head) = parse_response(&mut self.buffer, method, MAX_HEAD_BYTES)? {
                return Ok(head);
            }
            self.held.resize(self.buffer.len())?;
            if !self.read_more().await? {
                return Err(self.early_end().into());
            }
        }
    }

    /// Reads the next chunk of the response body; `None` at its regular end.
    ///
    /// # Errors
    ///
    /// The connection failed or ended early, or the bytes received are not a valid body.
    pub async fn next_chunk(
        &mut self,
        decoder: &mut BodyDecoder,
    ) -> Result<Option<Bytes>, ExchangeError> {
        loop {
            match decoder.step(&mut self.buffer)? {
                BodyStep::Data(data) => return Ok(Some(data)),
                BodyStep::End => return Ok(None),
                BodyStep::NeedMore => {}
            }
            if self.read_more().await? {
                continue;
            }
            if !decoder.ends_with_connection() {
                return Err(self.early_end().into());
            }
            self.check_orderly_end().await?;
            return Ok(None);
        }
    }

    /// Reads once, and sends the rest of the request meanwhile; false at the end of the connection. A
    /// failed write is no reason to stop: the endpoint may have responded before.
    async fn read_more(&mut self) -> io::Result<bool> {
        let (mut reader, mut writer) = self.stream.split();
        loop {
            tokio::select! {
                biased;
                () = self.request.write(&mut writer), if self.request.is_pending() => {}
                read = read_more(&mut reader, &mut self.buffer, READ_RESERVE_BYTES) => return read,
            }
        }
    }

    fn early_end(&mut self) -> io::Error {
        let error = self.request.error.take();
        error.unwrap_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    /// Checks that an endpoint has ended the connection orderly, after a response that ends with it.
    ///
    /// If its process closed a connection on which bytes of the request arrive afterwards, they reset
    /// it, and the response may have been cut. For the reader that is an orderly end, whether the
    /// reset has come already or comes a moment later.
    async fn check_orderly_end(&mut self) -> io::Result<()> {
        if let Some(left) = self.request.settling_time() {
            let (_, mut writer) = self.stream.split();
            let settled = sleep(left);
            tokio::pin!(settled);
            while self.request.error.is_none() {
                tokio::select! {
                    () = &mut settled => break,
                    () = self.request.write(&mut writer), if self.request.is_pending() => {}
                }
            }
        }
        let error = self.request.error.take();
        match error.or(self.stream.take_error()?) {
            Some(error) => Err(error),
            None => Ok(()),
        }
    }

    /// Reads the whole response body, of at most `max_bytes` bytes. It counts towards the budget until
    /// the returned share is dropped.
    ///
    /// # Errors
    ///
    /// As [`Self::next_chunk`]; a longer body counts as invalid. [`ExchangeError::OverBudget`] if the
    /// budget has no room for the body.
    pub async fn read_body(
        &mut self,
        framing: Framing,
        max_bytes: usize,
    ) -> Result<(BytesMut, BufferShare), ExchangeError> {
        let mut decoder = BodyDecoder::new(framing);
        let mut body = HeldMessage::new(self.held.sibling());
        while let Some(piece) = self.next_chunk(&mut decoder).await? {
            if body.length_bytes() + piece.len() > max_bytes {
                return Err(ParseError::Framing.into());
            }
            body.extend(&piece)?;
        }
        Ok(body.into_parts())
    }

    /// Records that the caller holds `bytes` bytes of the response besides what it has processed.
    ///
    /// # Errors
    ///
    /// [`ExchangeError::OverBudget`] if the budget has no room for them.
    pub fn hold(&mut self, bytes: usize) -> Result<(), ExchangeError> {
        Ok(self.held.resize(bytes)?)
    }

    /// The connection, if the next request may use it: the request has been sent completely and
    /// nothing follows the response.
    pub fn into_reusable(self) -> Option<TcpStream> {
        (self.request.is_sent() && self.buffer.is_empty()).then_some(self.stream)
    }
}
