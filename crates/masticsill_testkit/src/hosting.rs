//! Runs an `ntex` server on threads of its own, so that a plain test can own it.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc;
use std::thread::{self, JoinHandle};

use ntex::server::Server;
use ntex::web::{App, HttpServer, ServiceConfig};

/// A server with one worker thread. Dropping it cuts all its connections.
#[derive(Debug)]
pub(crate) struct HostedServer {
    address: SocketAddr,
    stop: Option<tokio::sync::oneshot::Sender<()>>,
    thread: Option<JoinHandle<io::Result<()>>>,
}

impl HostedServer {
    /// Binds and starts. `configure` is called once, on the worker thread.
    pub(crate) fn start(
        name: &'static str,
        listen: SocketAddr,
        configure: impl Fn(&mut ServiceConfig) + Clone + Send + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let (stop, stop_receiver) = tokio::sync::oneshot::channel();
        let (started_sender, started) = mpsc::channel();
        let serve = move || {
            let system = ntex::rt::System::new(name, ntex::rt::DefaultRuntime);
            system.block_on(async move {
                let server = run_server(listener, configure)?;
                let _ = started_sender.send(());
                let _ = stop_receiver.await;
                server.stop(false).await;
                Ok(())
            })
        };
        let thread = thread::Builder::new().name(name.to_owned()).spawn(serve)?;
        let _ = started.recv();
        Ok(Self {
            address,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until the server ends.
    pub(crate) fn wait(mut self) {
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for HostedServer {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn run_server(
    listener: TcpListener,
    configure: impl Fn(&mut ServiceConfig) + Clone + Send + 'static,
) -> io::Result<Server> {
    let factory = async move || App::new().configure(configure.clone());
    let server = HttpServer::new(factory)
        .workers(1)
        .disable_signals()
        .listen(listener)?
        .run();
    Ok(server)
}
