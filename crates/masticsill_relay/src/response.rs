//! Whole answers to callers: an endpoint's, or the relay's own.

use bytes::{Bytes, BytesMut};
use masticsill_http1::{HeadWriter, Header};

/// An answer whose body is known.
#[derive(Clone, Debug)]
pub(crate) struct Response {
    pub(crate) body: Bytes,
    pub(crate) headers: Vec<Header>,
    /// When the caller should come back.
    pub(crate) retry_after_ms: Option<u64>,
    pub(crate) status: u16,
}

impl Response {
    /// The relay's own answer; it never bears an endpoint's signature.
    pub(crate) fn from_refusal(refusal: Refusal) -> Self {
        Self {
            body: Bytes::from_static(refusal.text().as_bytes()),
            headers: Vec::new(),
            retry_after_ms: refusal.retry_after_ms(),
            status: refusal.status(),
        }
    }

    pub(crate) fn to_bytes(&self, is_closing: bool) -> BytesMut {
        let mut writer = HeadWriter::response(self.status);
        for header in &self.headers {
            writer.copy(header);
        }
        if let Some(retry_after_ms) = self.retry_after_ms {
            writer.field("Retry-After", Seconds(retry_after_ms));
        }
        writer.field("Content-Length", self.body.len());
        if is_closing {
            writer.field("Connection", "close");
        }
        let mut bytes = writer.finish();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// Milliseconds, written as seconds with a fraction.
struct Seconds(u64);

impl std::fmt::Display for Seconds {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}.{:03}", self.0 / 1_000, self.0 % 1_000)
    }
}

/// When to come back after a refusal for want of a place: an endpoint's usual restart.
const BUSY_RETRY_AFTER_MS: u64 = 250;
/// When to come back to an instance that is stopping: another one is found at once.
const STOPPING_RETRY_AFTER_MS: u64 = 50;
/// When to come back to an instance that has no document yet. Where all instances start at the
/// same time, the document comes half a second later, and a caller with little time comes once.
const NO_DOCUMENT_RETRY_AFTER_MS: u64 = 250;

/// Why the relay answers a request itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Refusal {
    /// The body is longer than the document allows.
    BodyTooLong,
    /// The request was sent and may have run; its outcome is lost.
    Broken,
    /// The request was sent and may have run; its time is over.
    DeadlineAfterSend,
    /// Its time is over and it never ran.
    DeadlineBeforeSend,
    /// The head is longer than the document allows.
    HeadTooLong,
    /// The bytes are no request.
    Malformed,
    /// The head came too slowly.
    SlowHead,
    /// This instance knows no document, or knows that its own is old and may be wrong here.
    NoDocument,
    /// No endpoint can take the request now, and it has not run.
    NoEndpoint,
    /// It could not be answered in time, and it has not run.
    Overloaded {
        /// When the caller should come back.
        retry_after_ms: u64,
    },
    /// No route leads there.
    NoRoute,
    /// It crashes the endpoints that run it, and has not run this time.
    Quarantined {
        /// When it may be sent somewhere again.
        retry_after_ms: u64,
    },
    /// This instance is shutting down, and the request has not run.
    Stopping,
    /// The API key belongs to no workspace.
    UnknownKey,
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
            | Self::Stopping => 503,
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
            Self::Overloaded { retry_after_ms } | Self::Quarantined { retry_after_ms } => {
                Some(retry_after_ms)
            }
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

    /// The name in logs and metrics.
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
        }
    }
}
