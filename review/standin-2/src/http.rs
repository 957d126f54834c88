//! A small HTTP/1.1 client: one exchange on a new connection.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// An answer with its body.
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
}

/// Sends a call and reads the whole answer within `timeout`.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> io::Result<Answer> {
    let deadline = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.set_write_timeout(Some(timeout))?;
    stream.write_all(head.as_bytes())?;
    stream.write_all(body.as_bytes())?;
    let mut bytes = Vec::new();
    let mut chunk = [0; 16 * 1024];
    loop {
        if let Some(answer) = parse(&bytes) {
            return Ok(answer);
        }
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(left))?;
        match stream.read(&mut chunk)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => bytes.extend_from_slice(&chunk[..count]),
        }
    }
}

/// The answer, once it is complete; control answers state their length.
fn parse(bytes: &[u8]) -> Option<Answer> {
    let end = bytes.windows(4).position(|it| it == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head.lines().find_map(|line| {
        let value = line.strip_prefix("content-length:")?;
        value.trim().parse::<usize>().ok()
    });
    let body = bytes.get(end..end + length.unwrap_or(0))?;
    Some(Answer {
        status,
        body: body.to_vec(),
    })
}
