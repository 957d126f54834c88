//! Hosts an HTTP interface on a duty of its own.

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

/// Connections that one worker serves at the same time.
const MAX_CONNECTIONS: usize = 8_192;
/// Headers of one request.
const MAX_HEADERS: usize = 64;
/// Bytes of one request's headers.
const MAX_HEADER_BYTES: usize = 32 * 1024;
/// How long a caller may take to send its headers, whatever it trickles.
const HEADER_TIMEOUT: Seconds = Seconds(10);
/// How long an idle connection is kept.
const KEEP_ALIVE: Seconds = Seconds(75);
/// How long a caller may take without sending the least part of its body.
const BODY_TIMEOUT: Seconds = Seconds(10);
/// Longest time for a whole body.
const LONGEST_BODY_TIMEOUT: Seconds = Seconds(60);
/// How long answers that are already written may take to leave at the stop.
const SHUTDOWN_TIMEOUT: Seconds = Seconds(5);
/// Bytes that a body must bring in each [`BODY_TIMEOUT`].
const BODY_RATE_BYTES: u32 = 1_024;

/// A running HTTP interface.
#[derive(Debug)]
pub struct HttpHost {
    address: SocketAddr,
    duty: DutyHandle,
    stop: oneshot::Sender<()>,
}

impl HttpHost {
    /// Binds `address` and serves what `configure` registers, on `workers` threads.
    ///
    /// Request headers, header time and connections are bounded; bodies are the handlers' to bound.
    ///
    /// # Errors
    ///
    /// The operating system's error when the address can't be bound or no thread can be started.
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

    /// The bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Lets written answers leave, closes every connection and waits for the duty's end.
    ///
    /// # Errors
    ///
    /// An error when the duty panicked.
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
        .set_keepalive(KEEP_ALIVE)
        .set_headers_read_rate(Seconds(1), HEADER_TIMEOUT, 256)
        .set_payload_read_rate(BODY_TIMEOUT, LONGEST_BODY_TIMEOUT, BODY_RATE_BYTES);
    let config = SharedCfg::new("http").add(IoConfig::new()).add(limits);
    let server = HttpServer::new(factory)
        .workers(workers)
        .shutdown_timeout(SHUTDOWN_TIMEOUT)
        .maxconn(MAX_CONNECTIONS)
        .config(config)
        .disable_signals()
        .listen(listener)?
        .run();
    Ok(server)
}
