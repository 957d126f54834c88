//! Short calls to an endpoint's own HTTP interface, outside any caller's request.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use masticsill_http1::HeadWriter;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::buffer_budget::BufferBudget;
use crate::dial::dial;
use crate::exchange::{ExchangeError, ExpectedResponse, UpstreamConnection};
use crate::idle::is_unused;

/// Timeout of a connection: a healthy endpoint accepts within a few milliseconds.
const DIAL_TIMEOUT_MS: u64 = 120;
/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 256 * 1024;

/// One call to an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointCall<'a> {
    /// JSON body; empty for none.
    pub body: &'a str,
    /// Header fields in addition to those of HTTP itself.
    pub fields: &'a [(&'a str, u64)],
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
}

/// Client of one endpoint that keeps its connection open between calls.
#[derive(Debug)]
pub struct EndpointClient {
    address: SocketAddr,
    budget: BufferBudget,
    idle_connection: Option<TcpStream>,
}

impl EndpointClient {
    /// A client that has no connection yet. Responses count towards `budget` while they are read.
    #[must_use]
    pub fn new(address: SocketAddr, budget: BufferBudget) -> Self {
        Self {
            address,
            budget,
            idle_connection: None,
        }
    }

    /// Sends a call and reads the status and body of the response, within `timeout_ms` milliseconds
    /// in all.
    ///
    /// The call may have been carried out even if it fails; only calls that may be repeated are
    /// made in this way.
    ///
    /// # Errors
    ///
    /// A text that says what went wrong: no connection, a broken connection, an invalid response,
    /// or no response in time.
    pub async fn call(
        &mut self,
        call: &EndpointCall<'_>,
        timeout_ms: u64,
    ) -> Result<(u16, BytesMut), String> {
        let exchange = async {
            // The endpoint may have closed the idle connection meanwhile.
            if let Some(stream) = self.idle_connection.take().filter(is_unused)
                && let Ok(response) = self.exchange(stream, call).await
            {
                return Ok(response);
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
        let mut upstream = UpstreamConnection::new(stream, &self.budget);
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
        let request = [bytes.freeze(), Bytes::new()];
        let head = upstream.exchange(request, expected).await?;
        let (body, _share) = upstream.read_body(head.framing, MAX_RESPONSE_BYTES).await?;
        if head.is_keep_alive {
            self.idle_connection = upstream.into_reusable();
        }
        Ok((head.status, body))
    }
}
