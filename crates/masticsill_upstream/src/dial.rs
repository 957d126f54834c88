//! Connections to endpoints, with socket options that detect a dead peer.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Idle time before the first keep-alive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
/// Interval between keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keep-alive probes after which a connection is dead.
const KEEPALIVE_PROBES: u32 = 3;
/// Maximum time for which sent data may stay unacknowledged.
const UNACKNOWLEDGED_DATA_TIMEOUT: Duration = Duration::from_secs(4);

/// Connects to an address within `timeout_ms` milliseconds, and configures the socket.
///
/// # Errors
///
/// The operating system's error, or `TimedOut`.
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

/// Disables Nagle's algorithm, and enables keep-alive probes and a timeout for unacknowledged data,
/// which detect a peer that is gone without closing the connection.
///
/// # Errors
///
/// The operating system's error if an option cannot be set.
pub fn configure_socket(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_DATA_TIMEOUT))
}
