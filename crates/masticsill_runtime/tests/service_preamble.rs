//! One listener serves several services; the preamble of a connection selects the service.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::time::Duration;

use futures::{SinkExt, StreamExt};
use masticsill_runtime::{
    Ring, ServiceStream, cluster_tag, connect_transport, listen, spawn_async_duty,
};
use masticsill_types::ClusterId;
use masticsill_wire::ServiceKind;

const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const READ_TIMEOUT: Duration = Duration::from_secs(20);

type Accepted = Ring<(ServiceKind, ServiceStream)>;

fn start() -> (SocketAddr, Accepted) {
    let listener = listen(LOOPBACK).unwrap();
    let address = listener.local_address().unwrap();
    let accepted = Accepted::with_capacity(16);
    let sender = accepted.clone();
    spawn_async_duty("listener", || async move {
        let dispatch = move |kind, stream| sender.push((kind, stream)).unwrap();
        listener.serve(dispatch).await.unwrap();
    })
    .unwrap();
    (address, accepted)
}

#[tokio::test]
async fn each_connection_reaches_the_service_it_names() {
    let (address, accepted) = start();
    let kinds = [
        ServiceKind::Agent,
        ServiceKind::Control,
        ServiceKind::Entry,
        ServiceKind::Node,
    ];
    for kind in kinds {
        let mut client = connect_transport::<String, u32>(address, kind, 20_000)
            .await
            .unwrap();
        client.send(7).await.unwrap();
        let (named, stream) = accepted.pop().await.unwrap();
        assert_eq!(named, kind);
        let mut server = stream.into_transport::<u32, String>().unwrap();
        assert_eq!(server.next().await.unwrap().unwrap(), 7);
        server.send("seven".to_owned()).await.unwrap();
        assert_eq!(client.next().await.unwrap().unwrap(), "seven");
    }
}

#[tokio::test]
async fn a_silent_connection_does_not_delay_the_next() {
    let (address, accepted) = start();
    let silent = TcpStream::connect(address).unwrap();
    let _client = connect_transport::<(), ()>(address, ServiceKind::Node, 20_000)
        .await
        .unwrap();
    let (kind, _) = accepted.pop().await.unwrap();
    assert_eq!(kind, ServiceKind::Node);
    drop(silent);
}

#[tokio::test]
async fn a_connection_with_an_unknown_preamble_is_closed() {
    let (address, accepted) = start();
    let mut client = TcpStream::connect(address).unwrap();
    client.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    client.write_all(b"G").unwrap();
    let mut answer = [0; 1];
    assert_eq!(client.read(&mut answer).unwrap(), 0);
    assert!(accepted.is_empty());
}

#[tokio::test]
async fn a_connection_of_another_cluster_is_closed() {
    let (address, accepted) = start();
    let other = cluster_tag(&ClusterId::new("other").unwrap());
    let mut client = TcpStream::connect(address).unwrap();
    client.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let preamble = [&[ServiceKind::Node.preamble()], other.as_slice()].concat();
    client.write_all(&preamble).unwrap();
    let mut answer = [0; 1];
    assert_eq!(client.read(&mut answer).unwrap(), 0);
    assert!(accepted.is_empty());
}
