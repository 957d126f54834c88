//! Structured log lines on standard output, one JSON object per line.
//!
//! Logging never blocks the caller: lines go through bounded queues to a writer thread. A line that
//! does not fit into its queue or exceeds the rate limit is dropped and counted. Warnings and
//! errors, which report failed requests and dependencies, have a queue and a rate limit of their
//! own, so that a flood of other lines displaces none of them.

use std::fmt::Write as _;
use std::io::{self, Write};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::thread::{self, Thread};
use std::time::Duration;

use crossbeam_queue::ArrayQueue;
use log::kv::{Error, Key, Value, VisitSource};
use log::{Level, LevelFilter, Log, Metadata, Record};
use masticsill_types::{MonotonicClock, log_event, wall_ms};

use crate::duty::{DutyHandle, spawn_duty};
use crate::events;

/// Most lines that wait in each queue.
const MAX_QUEUED_LINES: usize = 2_048;
/// Most lines per second for each queue. At 300 bytes per line the two queues together write at
/// most 300 KB/s, which takes about 1% of a core.
const MAX_LINES_PER_SECOND: u64 = 500;
/// Size of a line beyond which no further field is written, and most characters of one text.
const MAX_LINE_BYTES: usize = 2_048;
/// Pause before a write, so that many lines share one write call.
const WRITE_INTERVAL: Duration = Duration::from_millis(20);
/// Most polls, one per [`WRITE_INTERVAL`], for the end of the writer: half a second in all.
const MAX_STOP_POLLS: u32 = 25;
/// Most digits of a number that every JSON parser represents exactly. Longer numbers are quoted.
const MAX_NUMBER_DIGITS: usize = 15;
/// Fields that every line has. A field of an event with one of these names gets the prefix
/// `event_`, because a JSON parser would keep only one of two fields with the same name.
const RESERVED_FIELDS: [&str; 5] = ["wall_ms", "up_ms", "line", "level", "node"];
/// Fields that are always quoted, because they hold identifiers, which may consist of digits only.
const TEXT_FIELDS: [&str; 4] = ["request", "endpoint", "node", "route"];

/// Queue of lines, bounded in size and in lines per second.
#[derive(Debug)]
struct LineQueue {
    /// Lines dropped since the last report.
    dropped: AtomicU64,
    /// Lines with their sequence numbers.
    queue: ArrayQueue<(u64, String)>,
    /// The current second in the upper 32 bits, and its number of lines in the lower 32 bits.
    rate: AtomicU64,
}

impl LineQueue {
    fn new() -> Self {
        Self {
            dropped: AtomicU64::new(0),
            queue: ArrayQueue::new(MAX_QUEUED_LINES),
            rate: AtomicU64::new(0),
        }
    }

    /// Counts a line and returns whether it is within the rate limit of the current second.
    fn admit(&self, now_ms: u64) -> bool {
        let second = (now_ms / 1_000) << u32::BITS;
        let before = self
            .rate
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |rate| {
                let is_same = rate >> u32::BITS == second >> u32::BITS;
                Some(if is_same { rate + 1 } else { second + 1 })
            });
        let before = before.unwrap_or_default();
        let is_same = before >> u32::BITS == second >> u32::BITS;
        !is_same || (before & u64::from(u32::MAX)) < MAX_LINES_PER_SECOND
    }

    fn push(&self, now_ms: u64, number: u64, line: impl FnOnce() -> String) {
        if !self.admit(now_ms) || self.queue.push((number, line())).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// The logger of a process.
#[derive(Debug)]
struct StructuredLog {
    clock: MonotonicClock,
    /// Warnings and errors.
    failures: LineQueue,
    /// Sequence number of the next line, by which readers order the lines of one process.
    next_number: AtomicU64,
    node: String,
    /// Lines below the level of a warning.
    ordinary: LineQueue,
    /// The writer thread, to be unparked when a line was queued.
    writer: OnceLock<Thread>,
}

/// Stops the log writer when dropped. Queued lines are written first, for half a second at most.
#[derive(Debug)]
pub struct LogGuard {
    duty: Option<DutyHandle>,
    is_stopping: Arc<AtomicBool>,
    log: Option<&'static StructuredLog>,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        self.is_stopping.store(true, Ordering::Release);
        if let Some(writer) = self.log.and_then(|log| log.writer.get()) {
            writer.unpark();
        }
        // A standard output that nobody reads must not delay the end of the process.
        let Some(duty) = self.duty.take() else {
            return;
        };
        for _ in 0..MAX_STOP_POLLS {
            if duty.is_finished() {
                return;
            }
            thread::sleep(WRITE_INTERVAL);
        }
    }
}

/// Starts logging to standard output. A second call in one process has no effect.
///
/// # Errors
///
/// The operating system's error if the writer thread can't be started.
pub fn start_structured_logging(node: &str) -> io::Result<LogGuard> {
    start_structured_logging_to(node, io::stdout())
}

/// Starts logging to `output`, for tests of an output that blocks.
///
/// # Errors
///
/// The operating system's error if the writer thread can't be started.
pub fn start_structured_logging_to(
    node: &str,
    output: impl Write + Send + 'static,
) -> io::Result<LogGuard> {
    let log: &'static StructuredLog = Box::leak(Box::new(StructuredLog {
        clock: MonotonicClock::start(),
        failures: LineQueue::new(),
        next_number: AtomicU64::new(0),
        node: node.to_owned(),
        ordinary: LineQueue::new(),
        writer: OnceLock::new(),
    }));
    let is_stopping = Arc::new(AtomicBool::new(false));
    if log::set_logger(log).is_err() {
        return Ok(LogGuard {
            duty: None,
            is_stopping,
            log: None,
        });
    }
    log::set_max_level(LevelFilter::Info);
    let stopping = Arc::clone(&is_stopping);
    let duty = spawn_duty("log_writer", move || log.write_until(output, &stopping))?;
    Ok(LogGuard {
        duty: Some(duty),
        is_stopping,
        log: Some(log),
    })
}

impl StructuredLog {
    fn write_until(&self, mut output: impl Write, is_stopping: &AtomicBool) {
        let _ = self.writer.set(thread::current());
        let mut batch = String::new();
        loop {
            batch.clear();
            self.collect(&mut batch);
            if batch.is_empty() {
                if is_stopping.load(Ordering::Acquire) {
                    return;
                }
                thread::park();
                thread::sleep(WRITE_INTERVAL);
                continue;
            }
            // If standard output is closed, the error can't be reported anywhere.
            let _ = output.write_all(batch.as_bytes());
            let _ = output.flush();
            self.report_dropped();
        }
    }

    fn collect(&self, batch: &mut String) {
        let waiting = [&self.failures, &self.ordinary].into_iter();
        let waiting = waiting.flat_map(|lines| std::iter::from_fn(|| lines.queue.pop()));
        let mut waiting: Vec<(u64, String)> = waiting.collect();
        waiting.sort_unstable_by_key(|(number, _)| *number);
        for (_, line) in waiting {
            batch.push_str(&line);
        }
    }

    fn report_dropped(&self) {
        let failures = self.failures.dropped.swap(0, Ordering::Relaxed);
        let ordinary = self.ordinary.dropped.swap(0, Ordering::Relaxed);
        if failures + ordinary > 0 {
            log_event!(
                warn,
                events::LOG_LINES_LEFT_OUT,
                failures = failures,
                ordinary = ordinary
            );
        }
    }

    fn line(&self, record: &Record<'_>, up_ms: u64, number: u64) -> String {
        let mut line = String::with_capacity(256);
        let level = record.level().as_str().to_ascii_lowercase();
        let _ = write!(
            line,
            "{{\"wall_ms\":{},\"up_ms\":{up_ms},\"line\":{number},\"level\":\"{level}\",\"node\":",
            wall_ms()
        );
        push_text(&mut line, &self.node);
        let mut fields = Fields {
            count: 0,
            line: &mut line,
        };
        let _ = record.key_values().visit(&mut fields);
        if fields.count == 0 {
            line.push_str(",\"message\":");
            push_text(&mut line, &record.args().to_string());
        }
        line.push_str("}\n");
        line
    }
}

impl Log for StructuredLog {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= Level::Info
    }

    fn log(&self, record: &Record<'_>) {
        // Lines of libraries have no event number; only their warnings and errors are logged.
        let is_event = record.key_values().get(Key::from("number")).is_some();
        if !self.enabled(record.metadata()) || !is_event && record.level() > Level::Warn {
            return;
        }
        let now_ms = self.clock.now().0;
        let lines = match record.level() {
            Level::Error | Level::Warn => &self.failures,
            Level::Info | Level::Debug | Level::Trace => &self.ordinary,
        };
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        lines.push(now_ms, number, || self.line(record, now_ms, number));
        if let Some(writer) = self.writer.get() {
            writer.unpark();
        }
    }

    fn flush(&self) {}
}

/// Visitor that appends the fields of one record to a line.
struct Fields<'a> {
    count: usize,
    line: &'a mut String,
}

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        if self.line.len() > MAX_LINE_BYTES {
            return Ok(());
        }
        self.count += 1;
        let prefix = if RESERVED_FIELDS.contains(&key.as_str()) {
            "event_"
        } else {
            ""
        };
        let _ = write!(self.line, ",\"{prefix}{key}\":");
        let text = value.to_string();
        if is_literal(key.as_str(), &text) {
            self.line.push_str(&text);
        } else {
            push_text(self.line, &text);
        }
        Ok(())
    }
}

/// Returns whether a value is written without quotes: a boolean or a number.
fn is_literal(key: &str, text: &str) -> bool {
    if text == "true" || text == "false" {
        return true;
    }
    let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    let is_plain = text.len() <= MAX_NUMBER_DIGITS && (text == "0" || !text.starts_with('0'));
    is_number && is_plain && !TEXT_FIELDS.contains(&key)
}

fn push_text(line: &mut String, text: &str) {
    line.push('"');
    for character in text.chars().take(MAX_LINE_BYTES) {
        match character {
            '"' => line.push_str("\\\""),
            '\\' => line.push_str("\\\\"),
            '\n' => line.push_str("\\n"),
            other if other < ' ' => {
                let _ = write!(line, "\\u{:04x}", u32::from(other));
            }
            other => line.push(other),
        }
    }
    line.push('"');
}
