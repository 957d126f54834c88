//! Connections to endpoints, set up so that a dead peer shows.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Idle time before the first keep-alive probe.
const PROBE_AFTER: Duration = Duration::from_secs(2);
/// Pause between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection is dead.
const PROBES: u32 = 3;
/// Longest that sent bytes may stay unacknowledged.
const UNACKNOWLEDGED: Duration = Duration::from_secs(4);

/// Connects within a time.
///
/// # Errors
///
/// The connection's error, or `TimedOut`.
pub async fn dial(address: SocketAddr, timeout_ms: u64) -> io::Result<TcpStream> {
    let connecting = timeout(
        Duration::from_millis(timeout_ms),
        TcpStream::connect(address),
    );
    let stream = connecting
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    configure_socket(&stream)?;
    Ok(stream)
}

/// Sends at once, and lets the system notice a peer that has gone without a word.
///
/// # Errors
///
/// The operating system's error when an option can't be set.
pub fn configure_socket(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}
