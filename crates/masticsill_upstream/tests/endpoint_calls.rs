//! Calls to an endpoint's own interface, and what counts as their answer.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Duration;

use masticsill_upstream::{BufferBudget, EndpointCall, EndpointClient};
use tokio::runtime::{Builder, Runtime};

const CALL: EndpointCall<'static> = EndpointCall {
    body: "",
    fields: &[],
    method: "GET",
    target: "/report",
};
const TIMEOUT_MS: u64 = 2_000;

fn runtime() -> Runtime {
    Builder::new_current_thread().enable_all().build().unwrap()
}

fn client(address: SocketAddr) -> EndpointClient {
    EndpointClient::new(address, BufferBudget::new(1024 * 1024))
}

fn read_request(stream: &mut TcpStream) -> bool {
    let mut request = Vec::new();
    let mut bytes = [0; 1_024];
    while !request.ends_with(b"\r\n\r\n") {
        match stream.read(&mut bytes) {
            Ok(size) if size > 0 => request.extend_from_slice(&bytes[..size]),
            _ => return false,
        }
    }
    true
}

/// An endpoint that gives each request on a connection the next of these answers; reports each
/// answer that it has sent.
fn endpoint(answers: &'static [&'static str]) -> (SocketAddr, Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sent, is_sent) = channel();
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            for answer in answers {
                if !read_request(&mut stream) {
                    break;
                }
                stream.write_all(answer.as_bytes()).unwrap();
                if sent.send(()).is_err() {
                    return;
                }
            }
        }
    });
    (address, is_sent)
}

#[test]
fn invalid_answers_are_errors() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    let cases: [&'static [&'static str]; 6] = [
        &["HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}"],
        &["HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\n{}"],
        &["HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 2\r\n\r\n{}"],
        &["HTTP/1.1 200 OK\r\n\n{}"],
        &["HTTP/1.1 101 OK\r\n\r\n{}"],
        // The second answer on a connection is no better; the call is repeated on another one.
        &[HEAD, "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}"],
    ];
    for answers in cases {
        let (address, _is_sent) = endpoint(answers);
        let mut client = client(address);
        runtime().block_on(async {
            for _ in 1..answers.len() {
                client.call(&CALL, TIMEOUT_MS).await.unwrap();
            }
            match client.call(&CALL, TIMEOUT_MS).await {
                Ok((status, body)) => {
                    assert_eq!((status, &body[..]), (200, &b"{}"[..]), "{answers:?}");
                    assert!(answers.len() > 1, "{answers:?}");
                }
                Err(cause) => assert!(cause.starts_with("answer: "), "{cause}"),
            }
        });
    }
}

/// Guards against an unasked second answer that is taken for that to the next call.
#[test]
fn unasked_answers_belong_to_no_call() {
    const ANSWERS: &[&str] = &[
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst",
        "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond",
    ];
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (may_send, is_due) = channel::<()>();
    let (sent, is_sent) = channel();
    thread::spawn(move || {
        let mut connections = listener.incoming().map_while(Result::ok);
        let mut first = connections.next().unwrap();
        read_request(&mut first);
        first.write_all(ANSWERS[0].as_bytes()).unwrap();
        is_due.recv().unwrap();
        first
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale")
            .unwrap();
        sent.send(()).unwrap();
        let mut second = connections.next().unwrap();
        read_request(&mut second);
        second.write_all(ANSWERS[1].as_bytes()).unwrap();
        // The connections stay open until the test ends.
        thread::sleep(Duration::from_secs(10));
    });
    let mut client = client(address);
    runtime().block_on(async {
        let (_, body) = client.call(&CALL, TIMEOUT_MS).await.unwrap();
        assert_eq!(&body[..], b"first");
        may_send.send(()).unwrap();
        is_sent.recv().unwrap();
        tokio::time::sleep(Duration::from_millis(20)).await;
        let (_, body) = client.call(&CALL, TIMEOUT_MS).await.unwrap();
        assert_eq!(&body[..], b"second");
    });
}
