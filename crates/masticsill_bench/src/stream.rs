//! Many streamed answers at once, timed at the caller.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eyre::{WrapErr, bail, eyre};
use hdrhistogram::Histogram;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

const LARGEST_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
const READ_BYTES: usize = 32 * 1024;
/// Longest silence of one stream before the run is given up, in milliseconds.
const STREAM_TIMEOUT_MS: u64 = 60_000;

/// What is asked, and how often at once.
#[derive(Clone, Debug)]
pub struct StreamLoad {
    /// Whom to ask.
    pub address: SocketAddr,
    /// The body; its `prompt` gets the stream's number appended.
    pub body: Value,
    /// Time over which the streams begin, in milliseconds.
    pub ramp_ms: u64,
    /// Streams at the same time.
    pub stream_count: u32,
}

/// What the callers saw.
#[derive(Clone, Debug)]
pub struct StreamReport {
    /// Time between events of one stream, in microseconds.
    pub gap_us: Histogram<u64>,
    /// Events with text.
    pub event_count: u64,
    /// Streams that ended without `[DONE]`.
    pub broken_count: u64,
    /// Time from the request to the first event, in microseconds.
    pub first_us: Histogram<u64>,
}

impl StreamReport {
    fn new() -> Self {
        let histogram = || {
            Histogram::new_with_max(LARGEST_US, SIGNIFICANT_DIGITS)
                .expect("the bounds are valid for a histogram")
        };
        Self {
            gap_us: histogram(),
            event_count: 0,
            broken_count: 0,
            first_us: histogram(),
        }
    }

    fn merge(&mut self, other: &Self) -> eyre::Result<()> {
        self.gap_us.add(&other.gap_us)?;
        self.first_us.add(&other.first_us)?;
        self.event_count += other.event_count;
        self.broken_count += other.broken_count;
        Ok(())
    }
}

/// Runs the streams to their end.
///
/// # Errors
///
/// An error when a connection fails or a stream stays silent for a minute.
pub async fn run_streams(load: &StreamLoad) -> eyre::Result<StreamReport> {
    let mut streams = JoinSet::new();
    for number in 0..load.stream_count {
        let delay_ms = load.ramp_ms * u64::from(number) / u64::from(load.stream_count.max(1));
        let (address, body) = (load.address, numbered(&load.body, number));
        streams.spawn(async move {
            sleep(Duration::from_millis(delay_ms)).await;
            run_stream(address, &body).await
        });
    }
    let mut total = StreamReport::new();
    while let Some(report) = streams.join_next().await {
        total.merge(&report??)?;
    }
    Ok(total)
}

fn numbered(body: &Value, number: u32) -> Value {
    let mut body = body.clone();
    let prompt = body["prompt"].as_str().unwrap_or_default();
    body["prompt"] = Value::from(format!("{prompt} {number}"));
    if body.get("request_id").is_some() {
        body["request_id"] = Value::from(format!("bench-{number}"));
    }
    body
}

async fn run_stream(address: SocketAddr, body: &Value) -> eyre::Result<StreamReport> {
    let body = body.to_string();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nHost: bench\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let started = Instant::now();
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(body.as_bytes()).await?;
    read_stream(&mut stream, started).await
}

async fn read_stream(stream: &mut TcpStream, started: Instant) -> eyre::Result<StreamReport> {
    let mut report = StreamReport::new();
    let mut buffer = vec![0; READ_BYTES];
    let mut last = None;
    let mut is_done = false;
    let limit = Duration::from_millis(STREAM_TIMEOUT_MS);
    loop {
        let read = timeout(limit, stream.read(&mut buffer)).await;
        let length = read.wrap_err("a stream stayed silent")??;
        if length == 0 {
            break;
        }
        let chunk = &buffer[..length];
        if last.is_none() && count_of(chunk, b"HTTP/1.1 200").eq(&0) && !started_body(&report) {
            bail!("refused: {}", String::from_utf8_lossy(chunk));
        }
        let event_count = count_of(chunk, b"data: {");
        is_done |= count_of(chunk, b"[DONE]") > 0;
        if event_count == 0 {
            continue;
        }
        note_events(&mut report, event_count, &mut last, started)?;
    }
    report.broken_count = u64::from(!is_done);
    Ok(report)
}

fn started_body(report: &StreamReport) -> bool {
    report.event_count > 0
}

fn note_events(
    report: &mut StreamReport,
    event_count: u64,
    last: &mut Option<Instant>,
    started: Instant,
) -> eyre::Result<()> {
    let now = Instant::now();
    let since = last.replace(now).unwrap_or(started);
    let elapsed_us = u64::try_from((now - since).as_micros())?;
    let histogram = if report.event_count == 0 {
        &mut report.first_us
    } else {
        &mut report.gap_us
    };
    histogram
        .record(elapsed_us)
        .map_err(|error| eyre!("{error}"))?;
    report.event_count += event_count;
    Ok(())
}

fn count_of(haystack: &[u8], needle: &[u8]) -> u64 {
    let found = haystack
        .windows(needle.len())
        .filter(|window| *window == needle);
    found.count() as u64
}
