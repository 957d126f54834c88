//! A replica of a service, as the users' pages describe it: each start is a new lifetime with a new id
//! that announces itself by liveness reports. It answers on `stream` routes with numbered events, and
//! otherwise with a whole body.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::http::call;
use crate::record::Record;

/// Interval of liveness reports (`heartbeat_ms`).
const BEAT: Duration = Duration::from_millis(1_200);
/// A report that is not acknowledged within this time is sent to the next node.
const BEAT_TIMEOUT: Duration = Duration::from_secs(1);
/// First pause before the next node is called, which doubles with each failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
const LONGEST_BACKOFF: Duration = Duration::from_millis(400);
/// Events of a stream, and the time between two.
pub const EVENTS: u64 = 12;
const EVENT_GAP: Duration = Duration::from_millis(40);
static LIFETIMES: AtomicU64 = AtomicU64::new(0);

/// What a replica is, whatever its lifetime.
#[derive(Clone)]
pub struct Place {
    pub service: &'static str,
    pub is_engine: bool,
    pub zone: &'static str,
    pub address: SocketAddr,
    /// The nodes that serve control.
    pub controls: Vec<SocketAddr>,
}

/// One lifetime of a replica.
pub struct Replica {
    pub place: Place,
    pub id: String,
    life: Arc<Life>,
}

struct Life {
    id: String,
    is_over: AtomicBool,
    channels: Mutex<Vec<TcpStream>>,
    record: Record,
}

impl Replica {
    /// Starts a lifetime at its address.
    pub fn start(place: Place, record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind(place.address)?;
        let place = Place {
            address: listener.local_addr()?,
            ..place
        };
        listener.set_nonblocking(true)?;
        let number = LIFETIMES.fetch_add(1, Ordering::Relaxed);
        let id = format!("i-{:04x}{number:04x}", std::process::id() & 0xffff);
        let life = Arc::new(Life {
            id: id.clone(),
            is_over: AtomicBool::new(false),
            channels: Mutex::default(),
            record: record.clone(),
        });
        life.record
            .clone()
            .note(&format!("replica {id} starts at {}", place.address));
        let (serving, beating) = (Arc::clone(&life), Arc::clone(&life));
        let is_engine = place.is_engine;
        spawn(move || serve(&serving, &listener, is_engine));
        let announced = place.clone();
        spawn(move || beat(&beating, &announced));
        Ok(Self { place, id, life })
    }

    /// Ends the lifetime as a crash does: its channels break off and nothing is said.
    pub fn crash(&self) {
        self.life.is_over.store(true, Ordering::Release);
        for channel in self.life.channels.lock().unwrap().drain(..) {
            let _ = channel.shutdown(Shutdown::Both);
        }
        self.life
            .record
            .clone()
            .note(&format!("replica {} crashes", self.id));
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        self.life.is_over.store(true, Ordering::Release);
    }
}

impl Life {
    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Acquire)
    }
}

fn beat(life: &Life, place: &Place) {
    let mut sequence = 0;
    let mut next = LIFETIMES.load(Ordering::Relaxed) as usize;
    let models = if place.is_engine {
        r#"[{"name":"m","version":1,"adapters":[]}]"#
    } else {
        "[]"
    };
    while !life.is_over() {
        sequence += 1;
        let began = Instant::now();
        let body = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":64,"state":"ready","cold_left_ms":0,"stage":"colocated","models":{models},"sequence":{sequence}}}"#,
            place.service, place.address, place.zone
        );
        let path = format!("/-/replicas/{}", life.id);
        let mut backoff = FIRST_BACKOFF;
        while !life.is_over() {
            let control = place.controls[next % place.controls.len()];
            let answer = call(control, "PUT", &path, &body, BEAT_TIMEOUT);
            if answer.is_ok_and(|it| (200..300).contains(&it.status)) {
                break;
            }
            next += 1;
            sleep(backoff);
            backoff = (backoff * 2).min(LONGEST_BACKOFF);
        }
        sleep(BEAT.saturating_sub(began.elapsed()));
    }
}

fn serve(life: &Arc<Life>, listener: &TcpListener, is_engine: bool) {
    while !life.is_over() {
        match listener.accept() {
            Ok((channel, _)) => {
                let _ = channel.set_nonblocking(false);
                let _ = channel.set_nodelay(true);
                if let Ok(kept) = channel.try_clone() {
                    life.channels.lock().unwrap().push(kept);
                }
                let life = Arc::clone(life);
                spawn(move || serve_channel(&life, channel, is_engine));
            }
            Err(_) => sleep(Duration::from_millis(2)),
        }
    }
}

fn serve_channel(life: &Life, mut channel: TcpStream, is_engine: bool) {
    let mut buffer = Vec::new();
    while !life.is_over() {
        let Some(request) = read_request(&mut channel, &mut buffer) else {
            return;
        };
        if answer(life, &mut channel, &request, is_engine).is_err() {
            return;
        }
    }
}

struct Request {
    method: String,
    target: String,
    head: String,
}

impl Request {
    fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }
}

fn read_request(channel: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
    let mut chunk = [0; 16 * 1024];
    loop {
        if let Some(end) = buffer.windows(4).position(|it| it == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let mut words = head.split(' ');
            let method = words.next()?.to_owned();
            let target = words.next()?.to_owned();
            let request = Request {
                method,
                target,
                head,
            };
            let length = request
                .header("content-length")
                .and_then(|it| it.parse::<usize>().ok());
            let whole = end + 4 + length.unwrap_or(0);
            if buffer.len() >= whole {
                buffer.drain(..whole);
                return Some(request);
            }
        }
        match channel.read(&mut chunk) {
            Ok(count) if count > 0 => buffer.extend_from_slice(&chunk[..count]),
            _ => return None,
        }
    }
}

fn answer(
    life: &Life,
    channel: &mut TcpStream,
    request: &Request,
    is_engine: bool,
) -> io::Result<()> {
    let mut record = life.record.clone();
    if request.target.starts_with("/-/kv-events") {
        let wait_ms = request
            .header("wait-ms")
            .and_then(|it| it.parse().ok())
            .unwrap_or(0_u64);
        sleep(Duration::from_millis(wait_ms.min(1_000)));
        return write_json(
            channel,
            200,
            r#"{"epoch":1,"next":0,"lost":false,"events":[]}"#,
        );
    }
    if request.target.starts_with("/-/kv-list") {
        return write_json(channel, 200, r#"{"epoch":1,"next":0,"held":[]}"#);
    }
    if request.target.starts_with("/-/") {
        return write_json(channel, 503, "{}");
    }
    let Some(request_id) = request.header("request-id") else {
        return write_json(channel, 400, "{}");
    };
    let expected = request.header("expect-replica");
    if expected.is_some_and(|it| it != life.id) {
        record.note(&format!(
            "replica {} answers request {request_id} with 421: it was meant for {}",
            life.id,
            expected.unwrap_or_default()
        ));
        let head = format!(
            "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {request_id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        );
        return channel.write_all(head.as_bytes());
    }
    record.note(&format!(
        "replica {} runs request {request_id} ({})",
        life.id, request.method
    ));
    let seal = format!("{}.{request_id}", life.id);
    if !is_engine {
        let body = "x".repeat(800);
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nResponse-Seal: {seal}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        return channel.write_all(head.as_bytes());
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nResponse-Seal: {seal}\r\nWeight-Versions: 1\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    channel.write_all(head.as_bytes())?;
    let last = request
        .header("last-event-id")
        .and_then(|it| it.parse().ok())
        .unwrap_or(0);
    for number in last + 1..=EVENTS {
        sleep(EVENT_GAP);
        let event = format!("id: {number}\ndata: six tokens\n\n");
        channel.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
    }
    channel.write_all(b"0\r\n\r\n")
}

fn write_json(channel: &mut TcpStream, status: u16, body: &str) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    channel.write_all(head.as_bytes())
}
