//! Endpoints that answer before they have read a long request, without stating a length: the answer is
//! whole only if the connection ends orderly.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread::{self, JoinHandle, sleep};
use std::time::Duration;

use bytes::Bytes;
use masticsill_upstream::{BufferBudget, ExpectedResponse, UpstreamConnection, dial};
use tokio::runtime::Builder;
use tokio::time::timeout;

const MEGABYTE: usize = 1024 * 1024;
/// Requests that the buffers of the connection take completely, in part, and hardly.
const REQUEST_BYTES: [usize; 3] = [64 * 1024, 4 * MEGABYTE, 32 * MEGABYTE];
const TIMEOUT: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_millis(20);
/// Pause before a reset that follows an orderly end.
const RESET_PAUSE: Duration = Duration::from_millis(5);
/// How long an endpoint stays that reads nothing more.
const STAY: Duration = Duration::from_millis(500);

/// Bytes of the request that an endpoint reads before it answers.
const READ_BYTES: [usize; 3] = [0, 64, 32 * 1024];

/// How the connection ends after a part of the answer, or all of it.
#[derive(Clone, Copy, Debug)]
enum End {
    /// The process closes it; the unread bytes make this a reset.
    Close,
    /// The process closes it after the whole request was read.
    CloseRead,
    /// It is reset.
    Reset,
    /// It is reset, and the answer is still on its way.
    ResetAtOnce,
    /// The answer's direction ends, and then the connection is reset.
    FinReset,
    /// The same, with a pause before the reset.
    FinPauseReset,
    /// The answer's direction ends, and the rest of the request is read.
    FinRead,
    /// The answer's direction ends, and nothing more is read.
    FinOnly,
}

fn reset(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    socket.set_linger(Some(Duration::ZERO)).unwrap();
}

/// Reads what has arrived until nothing does for a moment.
fn drain(stream: &mut TcpStream) {
    stream.set_read_timeout(Some(PAUSE)).unwrap();
    let mut bytes = vec![0; MEGABYTE];
    loop {
        match stream.read(&mut bytes) {
            Ok(size) if size > 0 => {}
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            _ => break,
        }
    }
}

fn answer(mut stream: TcpStream, read_bytes: usize, end: End, text: &str) {
    // The request has begun to arrive.
    stream.peek(&mut [0]).unwrap();
    stream.read_exact(&mut vec![0; read_bytes]).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    if !matches!(end, End::ResetAtOnce) {
        sleep(PAUSE);
    }
    match end {
        End::Close => {}
        End::CloseRead => drain(&mut stream),
        End::Reset | End::ResetAtOnce => reset(&stream),
        End::FinReset => {
            stream.shutdown(Shutdown::Write).unwrap();
            reset(&stream);
        }
        End::FinPauseReset => {
            stream.shutdown(Shutdown::Write).unwrap();
            sleep(RESET_PAUSE);
            reset(&stream);
        }
        End::FinRead => {
            stream.shutdown(Shutdown::Write).unwrap();
            drain(&mut stream);
        }
        End::FinOnly => {
            stream.shutdown(Shutdown::Write).unwrap();
            sleep(STAY);
        }
    }
}

fn endpoint(read_bytes: usize, end: End, text: &'static str) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let serving = thread::spawn(move || {
        let (stream, _) = listener.accept().unwrap();
        answer(stream, read_bytes, end, text);
    });
    (address, serving)
}

/// Sends a long request; returns the body of the answer if it counts as whole.
fn ask(address: SocketAddr, request_bytes: usize) -> Option<Bytes> {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let stream = dial(address, 1_000).await.unwrap();
        let mut connection = UpstreamConnection::new(stream, &BufferBudget::new(MEGABYTE));
        let head = format!("POST / HTTP/1.1\r\nContent-Length: {request_bytes}\r\n\r\n");
        let body = vec![b'a'; request_bytes];
        let expected = ExpectedResponse {
            method: "POST",
            id_field: "",
            request_id: "",
        };
        let exchange = async {
            let head = connection
                .exchange([head.into(), body.into()], expected)
                .await?;
            connection.read_body(head.framing, MEGABYTE).await
        };
        let (body, _share) = timeout(TIMEOUT, exchange).await.ok()?.ok()?;
        Some(body.freeze())
    })
}

/// Plays an answer for each length of the request, each part of it that is read, and each end of the
/// connection.
fn play(text: &'static str, ends: &[End], check: impl Fn(Option<Bytes>, &str)) {
    for request_bytes in REQUEST_BYTES {
        for read_bytes in READ_BYTES {
            for end in ends {
                let (address, serving) = endpoint(read_bytes, *end, text);
                let body = ask(address, request_bytes);
                check(
                    body,
                    &format!("{read_bytes} of {request_bytes} bytes, {end:?}"),
                );
                serving.join().unwrap();
            }
        }
    }
}

/// Guards against a part that counts as the whole answer.
#[test]
fn parts_of_answers_are_not_whole() {
    let ends = [
        End::Close,
        End::Reset,
        End::ResetAtOnce,
        End::FinReset,
        End::FinPauseReset,
    ];
    play("HTTP/1.1 200 OK\r\n\r\nhalf", &ends, |body, played| {
        assert_eq!(body, None, "{played}");
    });
}

/// Guards against true answers that are lost with the rest of the request.
#[test]
fn answers_that_end_orderly_are_whole() {
    let ends = [End::CloseRead, End::FinOnly, End::FinRead];
    let text = "HTTP/1.1 413 Content Too Large\r\n\r\nwhole";
    play(text, &ends, |body, played| {
        assert_eq!(body.as_deref(), Some(&b"whole"[..]), "{played}");
    });
}

/// Guards against answers of a stated length that are lost because the endpoint doesn't read on.
#[test]
fn early_answers_with_a_length_are_whole() {
    let ends = [
        End::Close,
        End::CloseRead,
        End::FinOnly,
        End::FinPauseReset,
        End::FinRead,
        End::FinReset,
        End::Reset,
        End::ResetAtOnce,
    ];
    let text = "HTTP/1.1 413 Content Too Large\r\nContent-Length: 5\r\n\r\nwhole";
    play(text, &ends, |body, played| {
        assert_eq!(body.as_deref(), Some(&b"whole"[..]), "{played}");
    });
}
