//! Short calls to an endpoint's own interface, outside any caller's request.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use masticsill_http1::HeadWriter;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::dial::dial;
use crate::exchange::{ExchangeError, ExpectedResponse, UpstreamConnection};

/// Longest wait for a connection: a healthy endpoint accepts within a few milliseconds.
const DIAL_TIMEOUT_MS: u64 = 120;
/// Bytes of an answer at most.
const MAX_ANSWER_BYTES: usize = 256 * 1024;

/// One call.
#[derive(Clone, Debug)]
pub struct EndpointCall<'a> {
    /// The JSON of its body; empty for none.
    pub body: &'a str,
    /// Header fields beside those of HTTP itself.
    pub fields: &'a [(&'a str, u64)],
    /// The method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
}

/// Calls one endpoint and keeps the connection from one call to the next.
#[derive(Debug)]
pub struct EndpointClient {
    address: SocketAddr,
    kept: Option<TcpStream>,
}

impl EndpointClient {
    /// A client without a connection yet.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            kept: None,
        }
    }

    /// Sends a call and reads its answer's status and body.
    ///
    /// # Errors
    ///
    /// A text that says what went wrong: no connection, a break, or no answer in time. The
    /// call may have been carried out; these calls may be repeated.
    pub async fn call(
        &mut self,
        call: &EndpointCall<'_>,
        timeout_ms: u64,
    ) -> Result<(u16, BytesMut), String> {
        let exchange = async {
            // A connection that was kept may have been closed meanwhile.
            if let Some(stream) = self.kept.take()
                && let Ok(answer) = self.exchange(stream, call).await
            {
                return Ok(answer);
            }
            let stream = dial(self.address, DIAL_TIMEOUT_MS).await?;
            self.exchange(stream, call).await
        };
        timeout(Duration::from_millis(timeout_ms), exchange)
            .await
            .map_err(|_| format!("no answer within {timeout_ms} ms"))?
            .map_err(|error: ExchangeError| error.to_string())
    }

    async fn exchange(
        &mut self,
        stream: TcpStream,
        call: &EndpointCall<'_>,
    ) -> Result<(u16, BytesMut), ExchangeError> {
        let mut upstream = UpstreamConnection::new(stream);
        let mut head = HeadWriter::request(call.method, call.target);
        head.field("Host", self.address);
        for (name, value) in call.fields {
            head.field(name, value);
        }
        if !call.body.is_empty() {
            head.field("Content-Type", "application/json");
            head.field("Content-Length", call.body.len());
        }
        let mut bytes = head.finish();
        bytes.extend_from_slice(call.body.as_bytes());
        let expected = ExpectedResponse {
            method: call.method,
            id_field: "",
            request_id: "",
        };
        let head = upstream.exchange(&bytes, expected).await?;
        let body = upstream.read_body(head.framing, MAX_ANSWER_BYTES).await?;
        if head.is_keep_alive {
            self.kept = upstream.into_reusable();
        }
        Ok((head.status, body))
    }
}
