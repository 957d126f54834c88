//! A blocking caller of HTTP interfaces and event streams, for plain tests and benches.

use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use futures::StreamExt;
use indexmap::IndexMap;
use ntex::SharedCfg;
use ntex::client::{Client, ClientResponse, Connector};
use ntex::http::Method;
use ntex::util::Bytes;
use thiserror::Error;
use tokio::sync::{mpsc as async_mpsc, oneshot};

use crate::events::{ServerEvent, ServerEventDecoder};

/// More than any test opens; the default is 8.
///
/// Zero would be no limit, but then `ntex` 3.12 never wakes a request that waits while another
/// connection to the same address is being opened.
const MAX_CONNECTIONS: usize = 65_536;

/// Why a call gave nothing more.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum CallerError {
    /// The connection was refused, or closed before an answer began.
    #[error("no answer; check that the process still runs: {0}")]
    NoAnswer(String),
    /// The connection was closed inside an answer.
    #[error("answer was cut; come back with Last-Event-ID: {0}")]
    Cut(String),
    /// Nothing came within the bound.
    #[error("nothing came within {0} ms; raise the bound or read the process's log")]
    TimedOut(u64),
}

/// One call.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    address: SocketAddr,
    body: Vec<u8>,
    headers: IndexMap<String, String>,
    method: Method,
    path: String,
}

impl CallerRequest {
    /// A GET.
    #[must_use]
    pub fn get(address: SocketAddr, path: &str) -> Self {
        Self {
            address,
            body: Vec::new(),
            headers: IndexMap::new(),
            method: Method::GET,
            path: path.to_owned(),
        }
    }

    /// A POST of JSON.
    #[must_use]
    pub fn post(address: SocketAddr, path: &str, body: &serde_json::Value) -> Self {
        let mut request = Self::get(address, path).header("content-type", "application/json");
        request.body = body.to_string().into_bytes();
        request.method = Method::POST;
        request
    }

    /// The same request with another method, such as `PUT`.
    ///
    /// # Panics
    ///
    /// When the method is not a token of HTTP.
    #[must_use]
    pub fn method(mut self, method: &str) -> Self {
        self.method = method.parse().expect("the test names a valid method");
        self
    }

    /// The same request with one more header.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.insert(name.to_owned(), value.to_owned());
        self
    }

    /// The same request under a request key.
    #[must_use]
    pub fn idempotency_key(self, key: &str) -> Self {
        self.header("idempotency-key", key)
    }

    /// The same request, coming back after an event.
    #[must_use]
    pub fn last_event_id(self, id: &str) -> Self {
        self.header("last-event-id", id)
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct CallerAnswer {
    /// The body.
    pub body: Vec<u8>,
    /// Headers by lower-case name.
    pub headers: IndexMap<String, String>,
    /// HTTP status.
    pub status: u16,
}

impl CallerAnswer {
    /// The body as JSON, or null when it is none.
    #[must_use]
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

type HeadResult = Result<(u16, IndexMap<String, String>), CallerError>;
type ChunkResult = Result<Bytes, CallerError>;

struct Command {
    chunks: Sender<ChunkResult>,
    head: Sender<HeadResult>,
    is_dropped: oneshot::Receiver<()>,
    request: CallerRequest,
}

/// Calls on one thread of its own, each on a fresh connection. Dropping it drops its streams.
#[derive(Debug)]
pub struct Caller {
    commands: Option<async_mpsc::UnboundedSender<Command>>,
    thread: Option<JoinHandle<()>>,
}

impl Caller {
    /// Starts the caller's thread.
    ///
    /// # Errors
    ///
    /// The operating system's error when no thread can be started.
    pub fn start() -> io::Result<Self> {
        let (commands, receiver) = async_mpsc::unbounded_channel();
        let run = move || {
            let system = ntex::rt::System::new("caller", ntex::rt::DefaultRuntime);
            system.block_on(run_commands(receiver));
        };
        let thread = thread::Builder::new()
            .name("caller".to_owned())
            .spawn(run)?;
        Ok(Self {
            commands: Some(commands),
            thread: Some(thread),
        })
    }

    /// Sends a request and waits at most `bound_ms` for the answer's head.
    ///
    /// # Errors
    ///
    /// [`CallerError::NoAnswer`] or [`CallerError::TimedOut`].
    pub fn open(&self, request: CallerRequest, bound_ms: u64) -> Result<CallerStream, CallerError> {
        let (chunks, chunk_receiver) = mpsc::channel();
        let (head, head_receiver) = mpsc::channel();
        let (drop_guard, is_dropped) = oneshot::channel();
        let command = Command {
            chunks,
            head,
            is_dropped,
            request,
        };
        if let Some(commands) = &self.commands {
            let _ = commands.send(command);
        }
        let (status, headers) = receive(&head_receiver, bound_ms)?
            .ok_or_else(|| CallerError::NoAnswer("caller ended".to_owned()))?;
        Ok(CallerStream {
            _drop_guard: drop_guard,
            chunks: chunk_receiver,
            decoder: ServerEventDecoder::default(),
            headers,
            status,
        })
    }

    /// Sends a request and waits at most `bound_ms` for its head, and again for the whole answer.
    ///
    /// # Errors
    ///
    /// [`CallerError`].
    pub fn call(&self, request: CallerRequest, bound_ms: u64) -> Result<CallerAnswer, CallerError> {
        self.open(request, bound_ms)?.into_answer(bound_ms)
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        drop(self.commands.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// An answer that is still coming in. Dropping it closes the connection.
#[derive(Debug)]
pub struct CallerStream {
    _drop_guard: oneshot::Sender<()>,
    chunks: Receiver<ChunkResult>,
    decoder: ServerEventDecoder,
    headers: IndexMap<String, String>,
    status: u16,
}

impl CallerStream {
    /// HTTP status.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.status
    }

    /// Headers by lower-case name.
    #[must_use]
    pub fn headers(&self) -> &IndexMap<String, String> {
        &self.headers
    }

    /// The next event, or none at the answer's proper end; waits at most `bound_ms`.
    ///
    /// # Errors
    ///
    /// [`CallerError::Cut`] or [`CallerError::TimedOut`].
    pub fn next_event(&mut self, bound_ms: u64) -> Result<Option<ServerEvent>, CallerError> {
        let deadline = Instant::now() + Duration::from_millis(bound_ms);
        loop {
            if let Some(event) = self.decoder.next_event() {
                return Ok(Some(event));
            }
            let left_ms = deadline
                .saturating_duration_since(Instant::now())
                .as_millis();
            let left_ms = u64::try_from(left_ms).unwrap_or(bound_ms);
            match receive(&self.chunks, left_ms) {
                Ok(Some(chunk)) => self.decoder.push(&chunk),
                Ok(None) => return Ok(None),
                Err(CallerError::TimedOut(_)) => return Err(CallerError::TimedOut(bound_ms)),
                Err(error) => return Err(error),
            }
        }
    }

    /// All events until the proper end; waits at most `bound_ms` for each.
    ///
    /// # Errors
    ///
    /// [`CallerError::Cut`] or [`CallerError::TimedOut`].
    pub fn collect_events(&mut self, bound_ms: u64) -> Result<Vec<ServerEvent>, CallerError> {
        let mut events = Vec::new();
        while let Some(event) = self.next_event(bound_ms)? {
            events.push(event);
        }
        Ok(events)
    }

    /// The rest of the answer as one body; waits at most `bound_ms` for each piece.
    ///
    /// # Errors
    ///
    /// [`CallerError::Cut`] or [`CallerError::TimedOut`].
    pub fn into_answer(self, bound_ms: u64) -> Result<CallerAnswer, CallerError> {
        let mut body = Vec::new();
        while let Some(chunk) = receive(&self.chunks, bound_ms)? {
            body.extend_from_slice(&chunk);
        }
        Ok(CallerAnswer {
            body,
            headers: self.headers,
            status: self.status,
        })
    }

    /// Closes the connection.
    pub fn disconnect(self) {
        drop(self);
    }
}

fn receive<T>(
    receiver: &Receiver<Result<T, CallerError>>,
    bound_ms: u64,
) -> Result<Option<T>, CallerError> {
    match receiver.recv_timeout(Duration::from_millis(bound_ms)) {
        Ok(result) => result.map(Some),
        Err(RecvTimeoutError::Timeout) => Err(CallerError::TimedOut(bound_ms)),
        Err(RecvTimeoutError::Disconnected) => Ok(None),
    }
}

async fn run_commands(mut commands: async_mpsc::UnboundedReceiver<Command>) {
    let built = Client::builder()
        .connector::<()>(Connector::new().limit(MAX_CONNECTIONS))
        .disable_redirects()
        .disable_timeout()
        .build(SharedCfg::new("CALLER"))
        .await;
    let client = built.expect("the client's settings are constant");
    while let Some(command) = commands.recv().await {
        ntex::rt::spawn(run_command(client.clone(), command));
    }
}

async fn run_command(client: Client, command: Command) {
    let Command {
        chunks,
        head,
        is_dropped,
        request,
    } = command;
    let exchange = async move {
        match send(&client, request).await {
            Ok(response) => {
                let _ = head.send(Ok(read_head(&response)));
                forward_body(response, &chunks).await;
            }
            Err(error) => {
                let _ = head.send(Err(error));
            }
        }
    };
    // The exchange is dropped, and with it the connection, when the test drops its stream.
    tokio::select! {
        () = exchange => {}
        _ = is_dropped => {}
    }
}

async fn send(client: &Client, request: CallerRequest) -> Result<ClientResponse, CallerError> {
    let url = format!("http://{}{}", request.address, request.path);
    let mut prepared = client.request(request.method, url).force_close();
    for (name, value) in &request.headers {
        prepared = prepared.header(name.as_str(), value.as_str());
    }
    let sent = prepared.send_body(request.body).await;
    sent.map_err(|error| CallerError::NoAnswer(error.to_string()))
}

fn read_head(response: &ClientResponse) -> (u16, IndexMap<String, String>) {
    let headers = response
        .headers()
        .iter()
        .map(|(name, value)| {
            let value = String::from_utf8_lossy(value.as_bytes());
            (name.as_str().to_owned(), value.into_owned())
        })
        .collect();
    (response.status().as_u16(), headers)
}

async fn forward_body(mut response: ClientResponse, chunks: &Sender<ChunkResult>) {
    while let Some(result) = response.next().await {
        let chunk = result.map_err(|error| CallerError::Cut(error.to_string()));
        let is_last = chunk.is_err();
        if chunks.send(chunk).is_err() || is_last {
            return;
        }
    }
}
