//! A TCP proxy that injects faults between two processes.
//!
//! Why not a library: the crate `noxious` 1.0.4 was weighed. Its silent link drains and discards
//! what it is sent, so that a link which comes back has bytes missing in its middle, as no TCP
//! connection ever has; it ends by closing, and brings older copies of `rand` and `tokio-util`.
//! These tests hold bytes and closes and release them, in one direction too, refuse connections
//! with the port kept, and follow an upstream that moves when its process is restarted.

use std::io;
use std::net::SocketAddr;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use futures::future::{pending, try_join};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

const BACKLOG: u32 = 1_024;
/// Bytes held at most for each direction of a connection, besides the sockets' own buffers.
const BUFFER_BYTES: usize = 64 * 1024;

/// A direction through the proxy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// From the upstream to the connecting process.
    ToClient,
    /// From the connecting process to the upstream.
    ToUpstream,
}

/// What the proxy does with bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProxyMode {
    /// Connections stay open and hold their bytes and closes, in one direction or (`None`) both.
    ///
    /// Leaving the mode releases what was held; [`FaultProxy::reset`] before that drops it.
    BlackHole(Option<Direction>),
    /// All connections are reset and new ones refused; the port stays reserved.
    Cut,
    /// Each chunk is held for a time in milliseconds, in both directions.
    Delay(u64),
    /// Nothing is changed.
    Pass,
}

#[derive(Clone, Copy, Debug)]
struct ProxyState {
    mode: ProxyMode,
    reset_count: u64,
    upstream: Option<SocketAddr>,
}

type StateReceiver = watch::Receiver<ProxyState>;

/// A running proxy. Dropping it closes all its connections.
#[derive(Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    state: Option<watch::Sender<ProxyState>>,
    thread: Option<JoinHandle<()>>,
}

impl FaultProxy {
    /// Starts a proxy on a free loopback port, on a thread of its own.
    ///
    /// Without an upstream, connections are reset until [`Self::set_upstream`] names one.
    ///
    /// # Errors
    ///
    /// The operating system's error when no port or thread can be had.
    pub fn start(upstream: Option<SocketAddr>) -> io::Result<Self> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (state, receiver) = watch::channel(ProxyState {
            mode: ProxyMode::Pass,
            reset_count: 0,
            upstream,
        });
        let _context = runtime.enter();
        let reserved = reserve(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = reserved.local_addr()?;
        let listener = reserve(address)?.listen(BACKLOG)?;
        let serve = move || {
            runtime.block_on(serve_connections(address, listener, receiver));
            drop(reserved);
        };
        let thread = thread::Builder::new()
            .name("fault-proxy".to_owned())
            .spawn(serve)?;
        Ok(Self {
            address,
            state: Some(state),
            thread: Some(thread),
        })
    }

    /// Where the proxy listens; it stays the same in every mode.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the mode, for connections that are open too.
    pub fn set_mode(&self, mode: ProxyMode) {
        self.modify(|state| {
            state.mode = mode;
            state.reset_count += u64::from(mode == ProxyMode::Cut);
        });
    }

    /// Resets every open connection, dropping what it holds. New ones follow the mode.
    pub fn reset(&self) {
        self.modify(|state| state.reset_count += 1);
    }

    /// Names where new connections lead.
    pub fn set_upstream(&self, upstream: SocketAddr) {
        self.modify(|state| state.upstream = Some(upstream));
    }

    fn modify(&self, change: impl FnOnce(&mut ProxyState)) {
        if let Some(state) = &self.state {
            state.send_modify(change);
        }
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        drop(self.state.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Binds without listening: connections are refused and the port is kept.
fn reserve(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Accepts until the handle is dropped.
async fn serve_connections(
    address: SocketAddr,
    first_listener: TcpListener,
    mut state: StateReceiver,
) {
    let mut listener = Some(first_listener);
    loop {
        let is_cut = state.borrow_and_update().mode == ProxyMode::Cut;
        listener = match listener {
            _ if is_cut => None,
            Some(listener) => Some(listener),
            None => reserve(address)
                .and_then(|socket| socket.listen(BACKLOG))
                .ok(),
        };
        let changed = tokio::select! {
            client = accept(listener.as_ref()) => {
                tokio::spawn(serve_connection(client, state.clone()));
                Ok(())
            }
            changed = state.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
    }
}

async fn accept(listener: Option<&TcpListener>) -> TcpStream {
    let Some(listener) = listener else {
        return pending().await;
    };
    loop {
        if let Ok((client, _)) = listener.accept().await {
            return client;
        }
    }
}

async fn serve_connection(mut client: TcpStream, mut state: StateReceiver) {
    let first_reset_count = state.borrow_and_update().reset_count;
    let mut modes = state.clone();
    let opened = tokio::select! {
        biased;
        () = await_reset(&mut state, first_reset_count) => None,
        opened = open_upstream(&mut modes) => opened.ok(),
    };
    let Some(mut upstream) = opened else {
        let _ = client.set_zero_linger();
        return;
    };
    let ended = tokio::select! {
        // The reset comes first: a mode change right after it must not release what was held.
        biased;
        () = await_reset(&mut state, first_reset_count) => Err(io::ErrorKind::ConnectionReset.into()),
        ended = relay(&mut client, &mut upstream, &modes) => ended,
    };
    if ended.is_err() {
        let _ = client.set_zero_linger();
        let _ = upstream.set_zero_linger();
    }
}

/// Connects on, once bytes may pass to the upstream.
async fn open_upstream(state: &mut StateReceiver) -> io::Result<TcpStream> {
    await_passage(state, Direction::ToUpstream).await;
    let upstream = state.borrow().upstream;
    let upstream = upstream.ok_or(io::ErrorKind::ConnectionRefused)?;
    TcpStream::connect(upstream).await
}

async fn relay(
    client: &mut TcpStream,
    upstream: &mut TcpStream,
    modes: &StateReceiver,
) -> io::Result<()> {
    client.set_nodelay(true)?;
    upstream.set_nodelay(true)?;
    let (client_reader, client_writer) = client.split();
    let (upstream_reader, upstream_writer) = upstream.split();
    let to_upstream = Pump {
        direction: Direction::ToUpstream,
        modes: modes.clone(),
        reader: client_reader,
        writer: upstream_writer,
    };
    let to_client = Pump {
        direction: Direction::ToClient,
        modes: modes.clone(),
        reader: upstream_reader,
        writer: client_writer,
    };
    try_join(to_upstream.run(), to_client.run()).await?;
    Ok(())
}

/// One direction of one connection.
struct Pump<Reader, Writer> {
    direction: Direction,
    modes: StateReceiver,
    reader: Reader,
    writer: Writer,
}

impl<Reader: AsyncRead + Unpin, Writer: AsyncWrite + Unpin> Pump<Reader, Writer> {
    /// Passes chunks and the close on; an error on either side resets both.
    async fn run(mut self) -> io::Result<()> {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let read = self.reader.read(&mut buffer).await;
            // Closes and errors are held like bytes: a black hole lets no news through.
            await_passage(&mut self.modes, self.direction).await;
            let count = read?;
            if count == 0 {
                return self.writer.shutdown().await;
            }
            self.writer.write_all(&buffer[..count]).await?;
        }
    }
}

/// Waits as long as the mode holds bytes of this direction.
async fn await_passage(state: &mut StateReceiver, direction: Direction) {
    let mut is_delayed = false;
    loop {
        let mode = state.borrow_and_update().mode;
        match mode {
            ProxyMode::Delay(delay_ms) if !is_delayed => {
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                is_delayed = true;
            }
            ProxyMode::BlackHole(held) if held.is_none_or(|held| held == direction) => {
                if state.changed().await.is_err() {
                    return;
                }
            }
            ProxyMode::BlackHole(_) | ProxyMode::Cut | ProxyMode::Delay(_) | ProxyMode::Pass => {
                return;
            }
        }
    }
}

/// Returns once the connection has to be reset.
async fn await_reset(state: &mut StateReceiver, first_reset_count: u64) {
    loop {
        let now = *state.borrow_and_update();
        if now.mode == ProxyMode::Cut || now.reset_count != first_reset_count {
            return;
        }
        if state.changed().await.is_err() {
            return;
        }
    }
}
