//! Stand-in endpoints of a version: they answer plain requests and streams over HTTP/1.1, and fail
//! or slow down as a test sets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use masticsill_registry::{Announcement, EndpointId, EndpointRecord, EndpointState};

/// How an endpoint answers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Behavior {
    /// Pause before each answer, in milliseconds.
    pub(crate) delay_ms: u64,
    /// Part of the paths that are answered with status 500.
    pub(crate) failing_path: Option<String>,
    /// Number of events after which the connection of a run that begins with the first event is
    /// broken.
    pub(crate) break_after: Option<u64>,
}

#[derive(Debug, Default)]
struct Shared {
    behavior: Mutex<Behavior>,
    is_stopped: AtomicBool,
    requests: AtomicU32,
    version: String,
}

/// A running endpoint.
pub(crate) struct Endpoint {
    address: SocketAddr,
    name: String,
    shared: Arc<Shared>,
}

/// Number of events of each stream.
pub(crate) const EVENTS: u64 = 10;
const EVENT_INTERVAL: Duration = Duration::from_millis(30);

impl Endpoint {
    pub(crate) fn start(name: &str, version: &str) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let shared = Arc::new(Shared {
            version: version.to_owned(),
            ..Shared::default()
        });
        let served = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming() {
                if served.is_stopped.load(Ordering::Relaxed) {
                    return;
                }
                let served = Arc::clone(&served);
                // A connection that the relay closes ends with an error.
                thread::spawn(move || serve(&served, &stream.unwrap()));
            }
        });
        Self {
            address,
            name: name.to_owned(),
            shared,
        }
    }

    pub(crate) fn set(&self, behavior: Behavior) {
        *self.shared.behavior.lock().unwrap() = behavior;
    }

    /// Number of requests that arrived so far.
    pub(crate) fn requests(&self) -> u32 {
        self.shared.requests.load(Ordering::Relaxed)
    }

    /// Stops at once: no connection is accepted any more, and open ones are closed at their next
    /// request or event.
    pub(crate) fn stop(&self) {
        self.shared.is_stopped.store(true, Ordering::Relaxed);
        // Wakes the listener.
        let _ = TcpStream::connect(self.address);
    }

    pub(crate) fn record(&self, service: &str, state: EndpointState) -> EndpointRecord {
        EndpointRecord {
            announcement: Announcement {
                address: self.address,
                cold_left_ms: 0,
                id: EndpointId::with_unknown_incarnation(&self.name),
                keeps_prompts: false,
                sequence: 1 + state as u64,
                service: service.to_owned(),
                slots: 32,
                state,
                version: self.shared.version.clone(),
                zone: "near".parse().unwrap(),
            },
            is_silent: false,
        }
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.stop();
    }
}

fn serve(shared: &Shared, mut stream: &TcpStream) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        let mut target = String::new();
        let mut last_event = 0;
        let mut body_bytes = 0;
        let mut line = String::new();
        while reader.read_line(&mut line)? > 0 && line != "\r\n" {
            if target.is_empty() {
                let path = line.split(' ').nth(1);
                target.push_str(path.unwrap_or_default());
            } else if let Some((field, value)) = line.split_once(':') {
                let number = value.trim().parse().unwrap_or_default();
                match field.to_lowercase().as_str() {
                    "content-length" => body_bytes = number,
                    "last-event-id" => last_event = number,
                    _ => {}
                }
            }
            line.clear();
        }
        if target.is_empty() || shared.is_stopped.load(Ordering::Relaxed) {
            return Ok(());
        }
        io::copy(&mut (&mut reader).take(body_bytes), &mut io::sink())?;
        shared.requests.fetch_add(1, Ordering::Relaxed);
        let behavior = shared.behavior.lock().unwrap().clone();
        thread::sleep(Duration::from_millis(behavior.delay_ms));
        let failing = behavior.failing_path.as_ref();
        if failing.is_some_and(|path| target.contains(path)) {
            write!(
                stream,
                "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\nX-Version: {}\r\n\r\n",
                shared.version
            )?;
        } else if target.starts_with("/stream/") {
            write_stream(shared, stream, last_event, behavior.break_after)?;
        } else {
            write!(
                stream,
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Signature: s\r\nX-Version: {}\r\n\r\nok",
                shared.version
            )?;
        }
    }
}

fn write_stream(
    shared: &Shared,
    mut stream: &TcpStream,
    last_event: u64,
    break_after: Option<u64>,
) -> io::Result<()> {
    let version = &shared.version;
    write!(
        stream,
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Signature: s\r\n\
         X-Version: {version}\r\n\r\n"
    )?;
    for event in last_event + 1..=EVENTS {
        let is_broken = last_event == 0 && break_after.is_some_and(|count| event > count);
        if is_broken || shared.is_stopped.load(Ordering::Relaxed) {
            stream.shutdown(std::net::Shutdown::Both)?;
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let event = format!("id: {event}\ndata: {version}\n\n");
        write!(stream, "{:x}\r\n{event}\r\n", event.len())?;
        thread::sleep(EVENT_INTERVAL);
    }
    write!(stream, "0\r\n\r\n")
}
