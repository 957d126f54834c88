//! TCP transports for `tarpc` services.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use masticsill_wire::{MAX_FRAME_BYTES, PostcardCodec};
use serde::{Serialize, de::DeserializeOwned};
use tarpc::serde_transport::{self, Transport};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_util::codec::LengthDelimitedCodec;

/// A transport that carries `Item`s in and `SinkItem`s out.
pub type RpcTransport<Item, SinkItem> =
    Transport<TcpStream, Item, SinkItem, PostcardCodec<Item, SinkItem>>;

fn frame<Item, SinkItem>(stream: TcpStream) -> RpcTransport<Item, SinkItem>
where
    Item: DeserializeOwned,
    SinkItem: Serialize,
{
    let framed = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_framed(stream);
    serde_transport::new(framed, PostcardCodec::default())
}

/// Connects to a peer's service.
///
/// # Errors
///
/// The connection's error, or `TimedOut` after `timeout_ms`.
pub async fn connect_transport<Item, SinkItem>(
    address: SocketAddr,
    timeout_ms: u64,
) -> io::Result<RpcTransport<Item, SinkItem>>
where
    Item: DeserializeOwned,
    SinkItem: Serialize,
{
    let connecting = TcpStream::connect(address);
    let stream = timeout(Duration::from_millis(timeout_ms), connecting)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    Ok(frame(stream))
}

/// Accepts peers' connections to one service.
#[derive(Debug)]
pub struct RpcListener {
    listener: TcpListener,
}

/// Listens for peers.
///
/// # Errors
///
/// The operating system's error when the address can't be bound.
pub async fn listen(address: SocketAddr) -> io::Result<RpcListener> {
    let listener = TcpListener::bind(address).await?;
    Ok(RpcListener { listener })
}

impl RpcListener {
    /// The bound address, with the port that the system chose for port zero.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Waits for the next peer.
    ///
    /// # Errors
    ///
    /// The operating system's error; the listener can be used again.
    pub async fn accept<Item, SinkItem>(&self) -> io::Result<RpcTransport<Item, SinkItem>>
    where
        Item: DeserializeOwned,
        SinkItem: Serialize,
    {
        let (stream, _) = self.listener.accept().await?;
        stream.set_nodelay(true)?;
        Ok(frame(stream))
    }
}
