//! TCP transports for `tarpc` services.
//!
//! A process has one listener for all its services. Each connection starts with a preamble that
//! names the service and the cluster. The accepting duty passes the connection as a
//! [`ServiceStream`] to the duty that runs the service.

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

use crate::cluster::{ClusterTag, process_cluster_tag};
use crate::events;

/// Longest time for the preamble of a connection.
const PREAMBLE_TIMEOUT_MS: u64 = 2_000;
/// Most accepted connections whose preamble is pending; further connections are closed.
const MAX_PENDING_PREAMBLES: usize = 512;
/// Pause after a failed accept, so that the loop does not spin when file descriptors run out.
const ACCEPT_PAUSE_MS: u64 = 20;

/// A transport that receives `Item`s and sends `SinkItem`s.
pub type RpcTransport<Item, SinkItem> =
    Transport<TcpStream, Item, SinkItem, PostcardCodec<Item, SinkItem>>;

fn framed_transport<Item, SinkItem>(stream: TcpStream) -> RpcTransport<Item, SinkItem>
where
    Item: DeserializeOwned,
    SinkItem: Serialize,
{
    let framed = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_framed(stream);
    serde_transport::new(framed, PostcardCodec::default())
}

/// Returns the context of a call that times out after `timeout_ms`.
#[must_use]
pub fn call_context(timeout_ms: u64) -> Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + Duration::from_millis(timeout_ms);
    context
}

/// Connects to a service of a peer in the cluster of this process.
///
/// # Errors
///
/// The error of the connection, or [`io::ErrorKind::TimedOut`] after `timeout_ms`.
pub async fn connect_transport<Item, SinkItem>(
    address: SocketAddr,
    kind: ServiceKind,
    timeout_ms: u64,
) -> io::Result<RpcTransport<Item, SinkItem>>
where
    Item: DeserializeOwned,
    SinkItem: Serialize,
{
    connect_to_cluster(address, kind, process_cluster_tag(), timeout_ms).await
}

/// Connects to a service of a peer in the cluster given by `tag`, for tools that belong to no
/// cluster.
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
    Ok(framed_transport(stream))
}

/// An accepted connection whose preamble was read. It can be sent to another thread.
#[derive(Debug)]
pub struct ServiceStream {
    stream: net::TcpStream,
}

impl ServiceStream {
    fn detach(stream: TcpStream) -> io::Result<Self> {
        let stream = stream.into_std()?;
        Ok(Self { stream })
    }

    /// Turns the connection into a transport on the runtime of the calling duty.
    ///
    /// # Errors
    ///
    /// The operating system's error if the connection can't be registered with the runtime.
    pub fn into_transport<Item, SinkItem>(self) -> io::Result<RpcTransport<Item, SinkItem>>
    where
        Item: DeserializeOwned,
        SinkItem: Serialize,
    {
        let stream = TcpStream::from_std(self.stream)?;
        Ok(framed_transport(stream))
    }
}

/// Accepts the connections of peers to all services of a process.
#[derive(Debug)]
pub struct RpcListener {
    listener: net::TcpListener,
}

/// Binds the listener for peers. It needs no runtime, so that a process can bind before its duties
/// start.
///
/// # Errors
///
/// The operating system's error if the address can't be bound.
pub fn listen(address: SocketAddr) -> io::Result<RpcListener> {
    let listener = net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(RpcListener { listener })
}

impl RpcListener {
    /// Returns the bound address, with the port that the system chose if port zero was given.
    ///
    /// # Errors
    ///
    /// The operating system's error if the address can't be read.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Accepts connections, reads their preambles and passes them to `dispatch`.
    ///
    /// Must run inside a local task set, and runs until the future is dropped. A connection that
    /// `dispatch` drops is closed.
    ///
    /// # Errors
    ///
    /// The operating system's error if the listener can't be registered with the runtime.
    pub async fn serve<F>(self, dispatch: F) -> io::Result<()>
    where
        F: Fn(ServiceKind, ServiceStream) + 'static,
    {
        let listener = TcpListener::from_std(self.listener)?;
        let dispatch = Rc::new(dispatch);
        let pending_preambles = Rc::new(Semaphore::new(MAX_PENDING_PREAMBLES));
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
            let pending_preambles = Rc::clone(&pending_preambles);
            spawn_local(async move {
                let Ok(_permit) = pending_preambles.try_acquire() else {
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
    if tag != process_cluster_tag() {
        let detail = "the peer belongs to another cluster; correct its `seeds` or `cluster`";
        return Err(io::Error::new(io::ErrorKind::PermissionDenied, detail));
    }
    Ok((kind, ServiceStream::detach(stream)?))
}
