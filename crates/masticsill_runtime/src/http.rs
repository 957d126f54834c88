//! HTTP server that runs on a duty of its own.

use std::io;
use std::net::{SocketAddr, TcpListener};

use ntex::SharedCfg;
use ntex::http::HttpServiceConfig;
use ntex::io::IoConfig;
use ntex::rt::{DefaultRuntime, System};
use ntex::server::Server;
use ntex::time::Seconds;
use ntex::web::{App, HttpServer, ServiceConfig};
use tokio::sync::oneshot;

use crate::duty::{DutyHandle, spawn_duty};

/// Most connections that one worker serves at a time.
const MAX_CONNECTIONS_PER_WORKER: usize = 8_192;
/// Most header fields in one request.
const MAX_HEADERS: usize = 64;
/// Largest size of the head of a request.
const MAX_HEADER_BYTES: usize = 32 * 1024;
/// Longest time for the head of a request, even if bytes keep arriving.
const MAX_HEADER_DURATION: Seconds = Seconds(10);
/// Time after which an idle connection is closed.
const KEEP_ALIVE_TIMEOUT: Seconds = Seconds(75);
/// Interval in which at least [`MIN_BODY_BYTES`] of a request body must arrive.
const BODY_INTERVAL: Seconds = Seconds(10);
/// Longest time for a complete request body.
const MAX_BODY_DURATION: Seconds = Seconds(60);
/// Time for sending responses that are already written when the server stops.
const SHUTDOWN_TIMEOUT: Seconds = Seconds(5);
/// Fewest bytes of a request body that must arrive in each [`BODY_INTERVAL`].
const MIN_BODY_BYTES: u32 = 1_024;

/// A running HTTP server.
#[derive(Debug)]
pub struct HttpHost {
    address: SocketAddr,
    duty: DutyHandle,
    stop: oneshot::Sender<()>,
}

impl HttpHost {
    /// Binds `address` and serves the routes that `configure` registers, on `workers` threads.
    ///
    /// The size of request heads, the time to send them and the number of connections are bounded.
    /// Bounding the size of a body is up to its handler.
    ///
    /// # Errors
    ///
    /// The operating system's error if the address can't be bound or the thread can't be started.
    pub fn start(
        name: &'static str,
        address: SocketAddr,
        workers: usize,
        configure: impl Fn(&mut ServiceConfig) + Clone + Send + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let (stop, stopped) = oneshot::channel();
        let duty = spawn_duty(name, move || {
            let system = System::new(name, DefaultRuntime);
            system.block_on(async move {
                let Ok(server) = run_server(listener, workers, configure) else {
                    return;
                };
                let _ = stopped.await;
                server.stop(true).await;
            });
        })?;
        Ok(Self {
            address,
            duty,
            stop,
        })
    }

    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends the responses that are already written, closes all connections and blocks until the
    /// duty has ended.
    ///
    /// # Errors
    ///
    /// An error if the duty panicked.
    pub fn stop(self) -> io::Result<()> {
        drop(self.stop);
        self.duty.join()
    }
}

fn run_server(
    listener: TcpListener,
    workers: usize,
    configure: impl Fn(&mut ServiceConfig) + Clone + Send + 'static,
) -> io::Result<Server> {
    let factory = async move || App::new().configure(configure.clone());
    let limits = HttpServiceConfig::new()
        .set_max_headers(MAX_HEADERS)
        .set_max_buf_size(MAX_HEADER_BYTES)
        .set_keepalive(KEEP_ALIVE_TIMEOUT)
        .set_headers_read_rate(Seconds(1), MAX_HEADER_DURATION, 256)
        .set_payload_read_rate(BODY_INTERVAL, MAX_BODY_DURATION, MIN_BODY_BYTES);
    let config = SharedCfg::new("http").add(IoConfig::new()).add(limits);
    let server = HttpServer::new(factory)
        .workers(workers)
        .shutdown_timeout(SHUTDOWN_TIMEOUT)
        .maxconn(MAX_CONNECTIONS_PER_WORKER)
        .config(config)
        .disable_signals()
        .listen(listener)?
        .run();
    Ok(server)
}
