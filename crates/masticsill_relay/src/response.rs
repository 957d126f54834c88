//! Complete responses to callers: those of endpoints, and the relay's own.

use bytes::Bytes;
use masticsill_http1::{HeadWriter, Header, RequestHead};
use masticsill_upstream::BufferShare;

/// What a request decides about the form of its response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResponseForm {
    /// Whether the response has no body, whatever its head says.
    pub(crate) is_head_only: bool,
    /// Whether the caller keeps the connection open.
    pub(crate) is_keep_alive: bool,
}

impl From<&RequestHead> for ResponseForm {
    fn from(head: &RequestHead) -> Self {
        Self {
            is_head_only: head.is_method("HEAD"),
            is_keep_alive: head.is_keep_alive,
        }
    }
}

/// A response whose body is known.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) body: Bytes,
    /// What the body takes of the memory for responses, returned when the response is dropped.
    pub(crate) _buffer_share: Option<BufferShare>,
    pub(crate) headers: Vec<Header>,
    /// The length that the head states; the body of a response without content has another one.
    pub(crate) length_bytes: Option<u64>,
    /// When the caller should retry, in milliseconds.
    pub(crate) retry_after_ms: Option<u64>,
    pub(crate) status: u16,
}

impl Response {
    /// A response of the relay itself; it never carries an endpoint's signature.
    pub(crate) fn from_refusal(refusal: Refusal) -> Self {
        let body = Bytes::from_static(refusal.text().as_bytes());
        Self {
            length_bytes: Some(body.len() as u64),
            body,
            _buffer_share: None,
            headers: Vec::new(),
            retry_after_ms: refusal.retry_after_ms(),
            status: refusal.status(),
        }
    }

    /// The two parts to be written in turn.
    pub(crate) fn to_bytes(&self, is_head_only: bool, is_closing: bool) -> [Bytes; 2] {
        let mut writer = HeadWriter::response(self.status);
        for header in &self.headers {
            writer.copy(header);
        }
        if let Some(retry_after_ms) = self.retry_after_ms {
            writer.field("Retry-After", Seconds(retry_after_ms));
        }
        if let Some(length_bytes) = self.length_bytes {
            writer.field("Content-Length", length_bytes);
        }
        if is_closing {
            writer.field("Connection", "close");
        }
        if is_head_only {
            return [writer.finish().freeze(), Bytes::new()];
        }
        writer.finish_with(&self.body)
    }
}

/// Milliseconds, formatted as seconds with a fraction.
struct Seconds(u64);

impl std::fmt::Display for Seconds {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}.{:03}", self.0 / 1_000, self.0 % 1_000)
    }
}

/// When to retry after a refusal for lack of capacity: the usual restart time of an endpoint.
const BUSY_RETRY_AFTER_MS: u64 = 250;
/// When to retry after a refusal by a stopping instance: the load balancer finds another one at
/// once.
const STOPPING_RETRY_AFTER_MS: u64 = 50;
/// When to retry after a refusal by an instance that has no document yet. If all instances start at
/// the same time, the document arrives half a second later, and a caller with little time left
/// retries only once.
const NO_DOCUMENT_RETRY_AFTER_MS: u64 = 250;

/// Why the relay answers a request itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Refusal {
    /// The body is longer than the document allows.
    BodyTooLong,
    /// The request was sent and may have run; its response is lost.
    Broken,
    /// The request was sent and may have run; its deadline has passed.
    DeadlineAfterSend,
    /// The deadline has passed and the request did not run.
    DeadlineBeforeSend,
    /// The head is longer than the document allows.
    HeadTooLong,
    /// The bytes are not a valid request.
    Malformed,
    /// The head was not complete in time.
    SlowHead,
    /// This instance has no document, or an outdated one that may be wrong about this request.
    NoDocument,
    /// No endpoint can accept the request now, and it did not run.
    NoEndpoint,
    /// The request could not be answered in time, and it did not run.
    Overloaded {
        /// When the caller should retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// No route matches the request's host and path.
    NoRoute,
    /// The request crashes the endpoints that run it, and did not run this time.
    Quarantined {
        /// Time until the request may be sent again, in milliseconds.
        retry_after_ms: u64,
    },
    /// This instance is shutting down, and the request did not run.
    Stopping,
    /// The API key belongs to no workspace.
    UnknownKey,
    /// The version that began the stream is unknown, and the request did not run.
    UnknownOrigin {
        /// When the caller should retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The version that began the stream has no endpoint left, and the request did not run.
    OriginGone {
        /// When the caller should retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The route doesn't lead to the service that began the stream, and the request did not run.
    RouteMoved {
        /// When the caller should retry, in milliseconds.
        retry_after_ms: u64,
    },
}

impl Refusal {
    pub(crate) fn status(self) -> u16 {
        match self {
            Self::BodyTooLong => 413,
            Self::Broken => 502,
            Self::DeadlineAfterSend => 504,
            Self::DeadlineBeforeSend
            | Self::NoDocument
            | Self::NoEndpoint
            | Self::Overloaded { .. }
            | Self::Quarantined { .. }
            | Self::Stopping
            | Self::UnknownOrigin { .. }
            | Self::OriginGone { .. }
            | Self::RouteMoved { .. } => 503,
            Self::HeadTooLong => 431,
            Self::Malformed => 400,
            Self::SlowHead => 408,
            Self::NoRoute => 404,
            Self::UnknownKey => 401,
        }
    }

    fn retry_after_ms(self) -> Option<u64> {
        match self {
            Self::DeadlineBeforeSend | Self::NoEndpoint => Some(BUSY_RETRY_AFTER_MS),
            Self::NoDocument => Some(NO_DOCUMENT_RETRY_AFTER_MS),
            Self::Overloaded { retry_after_ms }
            | Self::Quarantined { retry_after_ms }
            | Self::UnknownOrigin { retry_after_ms }
            | Self::OriginGone { retry_after_ms }
            | Self::RouteMoved { retry_after_ms } => Some(retry_after_ms),
            Self::Stopping => Some(STOPPING_RETRY_AFTER_MS),
            Self::BodyTooLong
            | Self::Broken
            | Self::DeadlineAfterSend
            | Self::HeadTooLong
            | Self::Malformed
            | Self::SlowHead
            | Self::NoRoute
            | Self::UnknownKey => None,
        }
    }

    /// Name in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::BodyTooLong => "body_too_long",
            Self::Broken => "broken",
            Self::DeadlineAfterSend => "deadline_after_send",
            Self::DeadlineBeforeSend => "deadline_before_send",
            Self::HeadTooLong => "head_too_long",
            Self::Malformed => "malformed",
            Self::SlowHead => "slow_head",
            Self::NoDocument => "no_document",
            Self::NoEndpoint => "no_endpoint",
            Self::NoRoute => "no_route",
            Self::Overloaded { .. } => "overloaded",
            Self::Quarantined { .. } => "quarantined",
            Self::Stopping => "stopping",
            Self::UnknownKey => "unknown_key",
            Self::UnknownOrigin { .. } => "unknown_origin",
            Self::OriginGone { .. } => "origin_gone",
            Self::RouteMoved { .. } => "route_moved",
        }
    }

    fn text(self) -> &'static str {
        match self {
            Self::BodyTooLong => "the body is too long; send a shorter one\n",
            Self::Broken => "the endpoint's answer was lost; the request may have run\n",
            Self::DeadlineAfterSend => "no answer came in time; the request may have run\n",
            Self::DeadlineBeforeSend => "the time is over; the request has not run\n",
            Self::HeadTooLong => "the head is too long; send fewer or shorter headers\n",
            Self::Malformed => "this is no HTTP/1.1 request that can be relayed; correct it\n",
            Self::SlowHead => "the request came too slowly; it has not run\n",
            Self::NoDocument => {
                "this instance waits for the newest catalogue; the request has not run\n"
            }
            Self::NoEndpoint => "no endpoint can take the request now; it has not run\n",
            Self::NoRoute => "no route leads to this host and path\n",
            Self::Overloaded { .. } => "too much is asked for; it has not run, come back later\n",
            Self::Quarantined { .. } => {
                "this request crashes the endpoints that run it; it has not run, change it\n"
            }
            Self::Stopping => "this instance is shutting down; the request has not run\n",
            Self::UnknownKey => "the API key belongs to no workspace\n",
            Self::UnknownOrigin { .. } => {
                "it is unknown which version began this stream; it has not run, start it anew\n"
            }
            Self::OriginGone { .. } => {
                "the version that began this stream is gone; it has not run, start it anew\n"
            }
            Self::RouteMoved { .. } => {
                "another service began this stream; it has not run, start it anew\n"
            }
        }
    }
}
