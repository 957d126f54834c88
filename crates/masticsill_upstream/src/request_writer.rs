//! The request of an exchange, written piece by piece while its response is read.

use std::io;
use std::time::Duration;

use bytes::{Buf, Bytes};
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::time::Instant;

/// Requests up to this size arrive with their first bytes, so that an endpoint that responds has
/// received them.
const MAX_SINGLE_BURST_BYTES: usize = 14 * 1024;
/// Time after which a connection that the endpoint has closed is reset by the last bytes written:
/// several round trips to another zone.
const RESET_DELAY: Duration = Duration::from_millis(100);

/// What is left of a request, and what became of the rest.
#[derive(Debug, Default)]
pub(crate) struct RequestWriter {
    /// Why nothing more can be written.
    pub(crate) error: Option<io::Error>,
    length_bytes: usize,
    unsent: [Bytes; 2],
    written_at: Option<Instant>,
}

impl RequestWriter {
    pub(crate) fn new(request: [Bytes; 2]) -> Self {
        Self {
            error: None,
            length_bytes: request.iter().map(Bytes::len).sum(),
            unsent: request,
            written_at: None,
        }
    }

    /// Whether the request has been written completely.
    pub(crate) fn is_sent(&self) -> bool {
        self.unsent.iter().all(Bytes::is_empty)
    }

    /// Whether there is more to write.
    pub(crate) fn is_pending(&self) -> bool {
        !self.is_sent() && self.error.is_none()
    }

    /// Writes once; to be called only while there is more to write. Nothing is lost if the future is
    /// dropped.
    pub(crate) async fn write(&mut self, writer: &mut (impl AsyncWrite + Unpin)) {
        let Some(part) = self.unsent.iter_mut().find(|part| !part.is_empty()) else {
            return;
        };
        match writer.write(part).await {
            Ok(0) => self.error = Some(io::ErrorKind::WriteZero.into()),
            Ok(size_bytes) => part.advance(size_bytes),
            Err(error) => self.error = Some(error),
        }
        self.written_at = Some(Instant::now());
    }

    /// For how long bytes of the request may still reset a connection that the endpoint has closed;
    /// none if they can't or would have by now.
    pub(crate) fn settling_time(&self) -> Option<Duration> {
        if !self.is_sent() {
            return Some(RESET_DELAY);
        }
        let elapsed = self.written_at.map(|at| at.elapsed());
        let left = RESET_DELAY.checked_sub(elapsed.unwrap_or_default())?;
        (self.length_bytes > MAX_SINGLE_BURST_BYTES).then_some(left)
    }
}
