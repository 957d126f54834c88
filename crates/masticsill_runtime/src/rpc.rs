//! TCP transports for `tarpc` services.
//!
//! A process has one listener for all its services; a preamble tells them apart and names the cluster. The duty
//! that accepts hands each connection as a [`ServiceStream`] to the duty that serves it.

use std::io;
use std::net::{self, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use masticsill_types::log_event;
use masticsill_wire::{MAX_FRAME_BYTES, PostcardCodec, ServiceKind};
use serde::{Serialize, de::DeserializeOwned};
use tarpc::context::Context;
use tarpc::serde_transport::{self, Transport};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tokio_util::codec::LengthDelimitedCodec;

use crate::cluster::{ClusterTag, own_tag};
use crate::events;

/// How long a peer may take to name the service.
const PREAMBLE_TIMEOUT_MS: u64 = 2_000;
/// Connections that may be waiting for their preamble at once.
const MAX_UNNAMED_CONNECTIONS: usize = 512;
/// Pause after a failed accept, so that a lack of descriptors does not spin.
const ACCEPT_PAUSE_MS: u64 = 20;

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

/// The context of a call that is given up after `timeout_ms`.
#[must_use]
pub fn call_context(timeout_ms: u64) -> Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + Duration::from_millis(timeout_ms);
    context
}

/// Connects to a peer's service within this process's cluster.
///
/// # Errors
///
/// The connection's error, or `TimedOut` after `timeout_ms`.
pub async fn connect_transport<Item, SinkItem>(
    address: SocketAddr,
    kind: ServiceKind,
    timeout_ms: u64,
) -> io::Result<RpcTransport<Item, SinkItem>>
where
    Item: DeserializeOwned,
    SinkItem: Serialize,
{
    connect_to_cluster(address, kind, own_tag(), timeout_ms).await
}

/// Connects to a service of the cluster that a tag names; for tools that belong to none.
///
/// # Errors
///
/// As [`connect_transport`].
pub async fn connect_to_cluster<Item, SinkItem>(
    address: SocketAddr,
    kind: ServiceKind,
    tag: ClusterTag,
    timeout_ms: u64,
) -> io::Result<RpcTransport<Item, SinkItem>>
where
    Item: DeserializeOwned,
    SinkItem: Serialize,
{
    let connecting = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let mut preamble = vec![kind.preamble()];
        preamble.extend(tag);
        stream.write_all(&preamble).await?;
        io::Result::Ok(stream)
    };
    let stream = timeout(Duration::from_millis(timeout_ms), connecting)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    Ok(frame(stream))
}

/// An accepted connection whose service is known. It may be sent to another duty.
#[derive(Debug)]
pub struct ServiceStream {
    stream: net::TcpStream,
}

impl ServiceStream {
    fn release(stream: TcpStream) -> io::Result<Self> {
        let stream = stream.into_std()?;
        Ok(Self { stream })
    }

    /// The connection as a transport of the duty that calls this, inside its runtime.
    ///
    /// # Errors
    ///
    /// The operating system's error when the runtime can't watch the connection.
    pub fn into_transport<Item, SinkItem>(self) -> io::Result<RpcTransport<Item, SinkItem>>
    where
        Item: DeserializeOwned,
        SinkItem: Serialize,
    {
        let stream = TcpStream::from_std(self.stream)?;
        Ok(frame(stream))
    }
}

/// Accepts peers' connections to all services of a process.
#[derive(Debug)]
pub struct RpcListener {
    listener: net::TcpListener,
}

/// Listens for peers. It needs no runtime yet, so that a process can bind before its duties run.
///
/// # Errors
///
/// The operating system's error when the address can't be bound.
pub fn listen(address: SocketAddr) -> io::Result<RpcListener> {
    let listener = net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
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

    /// Accepts connections, reads their preambles and hands them to `dispatch`.
    ///
    /// It runs inside a local task set, until its future is dropped. A connection that
    /// `dispatch` drops is closed.
    ///
    /// # Errors
    ///
    /// The operating system's error when the runtime can't watch the listener.
    pub async fn serve<F>(self, dispatch: F) -> io::Result<()>
    where
        F: Fn(ServiceKind, ServiceStream) + 'static,
    {
        let listener = TcpListener::from_std(self.listener)?;
        let dispatch = Rc::new(dispatch);
        let unnamed = Rc::new(Semaphore::new(MAX_UNNAMED_CONNECTIONS));
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log_event!(warn, events::ACCEPT_FAILED, error = error);
                    sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
                    continue;
                }
            };
            let dispatch = Rc::clone(&dispatch);
            let unnamed = Rc::clone(&unnamed);
            spawn_local(async move {
                let Ok(_permit) = unnamed.try_acquire() else {
                    return;
                };
                match read_preamble(stream).await {
                    Ok((kind, stream)) => dispatch(kind, stream),
                    Err(error) => log_event!(debug, events::PREAMBLE_REFUSED, error = error),
                }
            });
        }
    }
}

async fn read_preamble(mut stream: TcpStream) -> io::Result<(ServiceKind, ServiceStream)> {
    stream.set_nodelay(true)?;
    let reading = async {
        let kind = ServiceKind::try_from(stream.read_u8().await?)
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
        let mut tag = ClusterTag::default();
        stream.read_exact(&mut tag).await?;
        io::Result::Ok((kind, tag))
    };
    let (kind, tag) = timeout(Duration::from_millis(PREAMBLE_TIMEOUT_MS), reading)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    if tag != own_tag() {
        let detail = "the peer belongs to another cluster; correct its `seeds` or `cluster`";
        return Err(io::Error::new(io::ErrorKind::PermissionDenied, detail));
    }
    Ok((kind, ServiceStream::release(stream)?))
}
