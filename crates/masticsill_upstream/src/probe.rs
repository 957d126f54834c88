//! Finds out whether a process still accepts connections.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::dial::dial;

/// How long a connection must stay open. The listener of a process that ends may accept for a
/// moment after its other connections broke; such a connection is closed when the listener is. A
/// busy machine closes all sockets of a process within some milliseconds.
const SETTLING_TIME: Duration = Duration::from_millis(50);
/// Pause before another connection is tried after one was closed.
const RETRY_PAUSE: Duration = Duration::from_millis(5);

/// Checks that a process accepts connections and keeps them open. A connection that is closed is
/// followed by another one, for `timeout_ms` milliseconds; one that stays open is conclusive.
///
/// Takes at most `timeout_ms` milliseconds and the time for which a connection must stay open.
///
/// # Errors
///
/// The error of the connection attempt; `ConnectionReset` if every connection was closed at once.
pub async fn probe(address: SocketAddr, timeout_ms: u64) -> io::Result<()> {
    let deadline = Instant::now() + Duration::from_millis(timeout_ms);
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ErrorKind::ConnectionReset.into());
        }
        // The time left is far below the range of the type; a last attempt gets a millisecond.
        let left_ms = u64::try_from(left.as_millis()).unwrap_or(timeout_ms).max(1);
        let mut stream = dial(address, left_ms).await?;
        if stays_open(&mut stream).await {
            return Ok(());
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// Whether a connection stays open for the settling time. Nothing has been sent, so that bytes that
/// arrive are no answer, but they come from a running process.
async fn stays_open(stream: &mut TcpStream) -> bool {
    let mut one = [0];
    match timeout(SETTLING_TIME, stream.read(&mut one)).await {
        Err(_) => true,
        Ok(read) => read.is_ok_and(|count| count > 0),
    }
}
