//! A caller's connection that reads server-sent events as they come.

use std::io;
use std::net::SocketAddr;

use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const READ_BYTES: usize = 32 * 1024;
const DONE: &str = "[DONE]";

/// One event of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AnswerEvent {
    /// The event's data.
    pub data: String,
    /// The event's id, or nothing.
    pub id: String,
}

impl AnswerEvent {
    /// Whether it is the last event of a whole answer.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.data == DONE
    }

    /// Whether it tells of an error.
    #[must_use]
    pub fn is_error(&self) -> bool {
        self.data.starts_with("{\"error\"")
    }
}

/// Reads the events of one answer.
#[derive(Debug)]
pub struct EventReader {
    id: String,
    pending: Vec<u8>,
    start: usize,
    stream: TcpStream,
}

impl EventReader {
    /// Sends a completion request on a connection of its own.
    ///
    /// # Errors
    ///
    /// The operating system's error when the connection fails.
    pub async fn open(address: SocketAddr, body: &Value, key: Option<&str>) -> io::Result<Self> {
        let body = body.to_string();
        let key = key.map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
        let request = format!(
            "POST /v1/completions HTTP/1.1\r\nHost: bench\r\nContent-Type: application/json\r\n\
             {key}Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
            body.len()
        );
        let mut stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        stream.write_all(request.as_bytes()).await?;
        Ok(Self {
            id: String::new(),
            pending: Vec::new(),
            start: 0,
            stream,
        })
    }

    /// The next event; `None` at the connection's end.
    ///
    /// Lines of the head and of the chunked encoding are passed over: both servers send whole
    /// events in a chunk.
    ///
    /// # Errors
    ///
    /// An error of the connection, or of kind `Other` with the answer when the status is not 200.
    pub async fn next_event(&mut self) -> io::Result<Option<AnswerEvent>> {
        loop {
            while let Some(line) = self.next_line() {
                if line.starts_with("HTTP/1.1 ") && !line.starts_with("HTTP/1.1 200") {
                    return Err(self.read_refusal(line).await);
                }
                if let Some(id) = line.strip_prefix("id: ") {
                    id.clone_into(&mut self.id);
                }
                if let Some(data) = line.strip_prefix("data: ") {
                    return Ok(Some(AnswerEvent {
                        data: data.to_owned(),
                        id: self.id.clone(),
                    }));
                }
            }
            self.pending.drain(..self.start);
            self.start = 0;
            let length = self.pending.len();
            self.pending.resize(length + READ_BYTES, 0);
            let read = self.stream.read(&mut self.pending[length..]).await?;
            self.pending.truncate(length + read);
            if read == 0 {
                return Ok(None);
            }
        }
    }

    /// The status line and what follows, as an error.
    async fn read_refusal(&mut self, status: String) -> io::Error {
        let mut rest = self.pending.split_off(self.start);
        let read = self.stream.read_to_end(&mut rest).await;
        let rest = String::from_utf8_lossy(&rest);
        let body = rest.split("\r\n\r\n").nth(1).unwrap_or_default();
        let cut = if read.is_err() { " (cut)" } else { "" };
        io::Error::other(format!("{status}: {body}{cut}"))
    }

    fn next_line(&mut self) -> Option<String> {
        let rest = &self.pending[self.start..];
        let end = rest.iter().position(|byte| *byte == b'\n')?;
        let line = String::from_utf8_lossy(&rest[..end]);
        let line = line.trim_end_matches('\r').to_owned();
        self.start += end + 1;
        Some(line)
    }
}
