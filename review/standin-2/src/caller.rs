//! A client: one attempt on a new channel.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::replica::EVENTS;

/// The time budget of a stream (`Deadline-Ms`).
const BUDGET_MS: u64 = 25_000;
/// Clients abandon a stream after a gap that is longest of two seconds, four times the objective (4.5 s)
/// and eight times the pause (0.7 s).
const LONGEST_GAP: Duration = Duration::from_secs(18);
static ATTEMPTS: AtomicU64 = AtomicU64::new(0);

/// How an attempt ended.
pub struct Attempt {
    pub id: String,
    pub outcome: String,
    pub is_served: bool,
}

/// Asks for a stream at a front and reads it to its end.
pub fn ask(front: SocketAddr) -> Attempt {
    let number = ATTEMPTS.fetch_add(1, Ordering::Relaxed);
    let id = format!("{:08x}{number:08x}", std::process::id());
    let body = format!("plan {number}");
    let request = format!(
        "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: {id}\r\nModel: m\r\n\
         Token-Count: 400,72\r\nPrompt-Prefix: 5c1e07a2:200,{number:08x}:200\r\nDeadline-Ms: {BUDGET_MS}\r\n\
         Credential: n2ctnfzs989anu6wsjnb\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let outcome = exchange(front, &request);
    let (outcome, is_served) = match outcome {
        Ok(()) => ("served".to_owned(), true),
        Err(cause) => (cause, false),
    };
    Attempt {
        id,
        outcome,
        is_served,
    }
}

fn exchange(front: SocketAddr, request: &str) -> Result<(), String> {
    let text = |error: std::io::Error| error.to_string();
    let mut channel = TcpStream::connect_timeout(&front, Duration::from_secs(1)).map_err(text)?;
    channel.write_all(request.as_bytes()).map_err(text)?;
    channel.set_read_timeout(Some(LONGEST_GAP)).map_err(text)?;
    let began = Instant::now();
    let mut bytes = Vec::new();
    let mut chunk = [0; 16 * 1024];
    while began.elapsed() < Duration::from_millis(BUDGET_MS) {
        let count = channel.read(&mut chunk).map_err(text)?;
        if count == 0 {
            return Err("the channel was closed".to_owned());
        }
        bytes.extend_from_slice(&chunk[..count]);
        let received = String::from_utf8_lossy(&bytes);
        let Some((head, rest)) = received.split_once("\r\n\r\n") else {
            continue;
        };
        let status = head.split(' ').nth(1).unwrap_or_default();
        if status != "200" {
            return Err(format!("status {status}, {}", rest.trim()));
        }
        if !head.to_ascii_lowercase().contains("response-seal:") {
            return Err("a success without a proof".to_owned());
        }
        if rest.ends_with("0\r\n\r\n") {
            let events = rest.matches("id: ").count() as u64;
            return if events == EVENTS {
                Ok(())
            } else {
                Err(format!("{events} events"))
            };
        }
    }
    Err("the time budget is over".to_owned())
}
