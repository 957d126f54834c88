//! Runs the HTTP server on a thread of its own.

use std::io;
use std::net::{SocketAddr, TcpListener};

use masticsill_runtime::{DutyHandle, ShutdownSignal, spawn_duty};
use ntex::server::Server;
use ntex::time::Seconds;
use ntex::web::{App, HttpServer};
use tokio::sync::oneshot;

use super::{HttpState, configure};

/// Time for open requests at a graceful stop; catalogue watches return at once.
const SHUTDOWN_TIMEOUT: Seconds = Seconds(5);

/// The running HTTP duty.
#[derive(Debug)]
pub(crate) struct HttpEdge {
    address: SocketAddr,
    duty: DutyHandle,
    stop: oneshot::Sender<bool>,
    stopping: ShutdownSignal,
}

impl HttpEdge {
    pub(crate) fn start(address: SocketAddr, state: HttpState) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let (stop, stop_receiver) = oneshot::channel();
        let stopping = state.stopping.clone();
        let duty = spawn_duty("control_http", move || {
            serve(listener, state, stop_receiver);
        })?;
        Ok(Self {
            address,
            duty,
            stop,
            stopping,
        })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// From now on `/readyz` reports the instance as not ready, and catalogue watches return at
    /// once.
    pub(crate) fn refuse_readiness(&self) {
        self.stopping.request();
    }

    /// Stops the server. A graceful stop finishes the open requests first; otherwise they are
    /// aborted.
    pub(crate) fn stop(self, is_graceful: bool) -> io::Result<()> {
        self.stopping.request();
        let _ = self.stop.send(is_graceful);
        self.duty.join()
    }
}

fn serve(listener: TcpListener, state: HttpState, stop: oneshot::Receiver<bool>) {
    let system = ntex::rt::System::new("control_http", ntex::rt::DefaultRuntime);
    system.block_on(async move {
        let server = match run_server(listener, state) {
            Ok(server) => server,
            Err(error) => {
                log::error!("administration API could not be started: {error}");
                return;
            }
        };
        let is_graceful = stop.await.unwrap_or(false);
        server.stop(is_graceful).await;
    });
}

fn run_server(listener: TcpListener, state: HttpState) -> io::Result<Server> {
    let app = async move || {
        let state = state.clone();
        App::new().configure(move |config| configure(&state, config))
    };
    let server = HttpServer::new(app)
        .workers(1)
        .disable_signals()
        .shutdown_timeout(SHUTDOWN_TIMEOUT)
        .listen(listener)?;
    Ok(server.run())
}
