//! Whether a process still accepts connections.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use masticsill_upstream::probe;
use tokio::net::TcpListener;
use tokio::runtime;

const TIMEOUT_MS: u64 = 120;

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    runtime.unwrap().block_on(future)
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// A running process would be taken for a crashed one.
#[test]
fn listening_process_is_running() {
    block_on(async {
        let (_listener, address) = listen().await;
        probe(address, TIMEOUT_MS).await.unwrap();
    });
}

/// The connection is accepted by the operating system and reset when the listener is closed. The
/// process would be taken for a running one.
#[test]
fn process_whose_listener_ends_after_the_connection_has_ended() {
    block_on(async {
        let (listener, address) = listen().await;
        let ending = async {
            // The probe is connected once it is seen here.
            let (connection, _) = listener.accept().await.unwrap();
            drop(listener);
            drop(connection);
        };
        let (probed, ()) = tokio::join!(probe(address, TIMEOUT_MS), ending);
        assert_eq!(probed.unwrap_err().kind(), ErrorKind::ConnectionRefused);
    });
}

/// A process that resets a connection once and serves on has not ended.
#[test]
fn process_that_closes_one_connection_is_running() {
    block_on(async {
        let (listener, address) = listen().await;
        let accepting = async {
            let (first, _) = listener.accept().await.unwrap();
            drop(first);
            let (second, _) = listener.accept().await.unwrap();
            second
        };
        let (probed, _kept) = tokio::join!(probe(address, TIMEOUT_MS), accepting);
        probed.unwrap();
    });
}

/// A forwarder in front of a process that has ended accepts and closes every connection.
#[test]
fn forwarder_without_process_is_not_running() {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        block_on(async {
            let (listener, address) = listen().await;
            sender.send(address).unwrap();
            loop {
                drop(listener.accept().await);
            }
        });
    });
    let address = receiver.recv_timeout(Duration::from_secs(10)).unwrap();
    let probed = block_on(probe(address, TIMEOUT_MS));
    assert_eq!(probed.unwrap_err().kind(), ErrorKind::ConnectionReset);
}
