//! Many streamed answers at once, timed at the caller.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eyre::WrapErr;
use hdrhistogram::Histogram;
use serde_json::Value;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::event_reader::EventReader;

const LARGEST_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
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

    fn note_event(&mut self, elapsed_us: u64) {
        let histogram = if self.event_count == 0 {
            &mut self.first_us
        } else {
            &mut self.gap_us
        };
        histogram.saturating_record(elapsed_us);
        self.event_count += 1;
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
    let limit = Duration::from_millis(STREAM_TIMEOUT_MS);
    let mut report = StreamReport::new();
    let mut last = Instant::now();
    let mut reader = EventReader::open(address, body, None).await?;
    let mut is_done = false;
    let mut engine_text = EngineText::default();
    loop {
        let read = timeout(limit, reader.next_event()).await;
        let Some(event) = read.wrap_err("a stream stayed silent")?? else {
            break;
        };
        is_done |= event.is_done();
        if event.is_done() || event.is_error() || engine_text.is_split_after(&event.data) {
            continue;
        }
        let now = Instant::now();
        let elapsed_us = u64::try_from((now - last).as_micros())?;
        last = now;
        report.note_event(elapsed_us);
    }
    report.broken_count = u64::from(!is_done);
    Ok(report)
}

/// Text of an engine's events, which end inside a character where a token does.
///
/// The entry holds such a token back until the character is whole; a caller of the engine that
/// shows text does the same, so only the event that completes the character counts.
#[derive(Debug, Default)]
struct EngineText {
    bytes: Vec<u8>,
}

impl EngineText {
    fn is_split_after(&mut self, data: &str) -> bool {
        if !data.contains("\"tokens\":") {
            return false;
        }
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        let tokens = event["tokens"].as_array().into_iter().flatten();
        let bytes = tokens.flat_map(|token| token["bytes"].as_array().into_iter().flatten());
        let bytes = bytes.filter_map(Value::as_u64);
        self.bytes
            .extend(bytes.filter_map(|byte| u8::try_from(byte).ok()));
        let is_split = std::str::from_utf8(&self.bytes).is_err();
        if !is_split {
            self.bytes.clear();
        }
        is_split
    }
}
