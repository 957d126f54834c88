//! Structured log lines on standard output: one JSON object a line.
//!
//! Writing never delays a duty: lines go through bounded queues to a thread of their own, and
//! what does not fit, or exceeds the lines a second, is left out and counted. Warnings and errors,
//! which tell of requests and dependencies that failed, have a queue of their own, so that a
//! flood of ordinary lines leaves none of them out.

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

/// Lines of each kind that may wait to be written.
const QUEUED_LINES: usize = 2_048;
/// Lines of each kind in one second. At 300 bytes a line this is 300 KB/s at most, and about 1%
/// of a core.
const LINES_PER_SECOND: u64 = 500;
/// Bytes of one line; a longer one is cut before its last fields.
const MAX_LINE_BYTES: usize = 2_048;
/// Pause between writes, so that many lines share one.
const WRITE_INTERVAL: Duration = Duration::from_millis(20);
/// Polls for the end of the writer: half a second.
const END_POLLS: u32 = 25;
/// Digits of a number that every reader of JSON holds exactly.
const MAX_NUMBER_DIGITS: usize = 15;
/// Fields of every line. An event's own field of such a name is written with a prefix: a reader
/// of JSON would take one of the two.
const LINE_FIELDS: [&str; 5] = ["wall_ms", "up_ms", "line", "level", "node"];
/// Fields that are names also where they consist of digits only.
const NAME_FIELDS: [&str; 4] = ["request", "endpoint", "node", "route"];

/// Lines of one kind, bounded in number and rate.
#[derive(Debug)]
struct Lines {
    left_out: AtomicU64,
    queue: ArrayQueue<(u64, String)>,
    /// The second that is counted, above, and its lines, below.
    rate: AtomicU64,
}

impl Lines {
    fn new() -> Self {
        Self {
            left_out: AtomicU64::new(0),
            queue: ArrayQueue::new(QUEUED_LINES),
            rate: AtomicU64::new(0),
        }
    }

    /// Whether one more line fits into this second.
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
        !is_same || (before & u64::from(u32::MAX)) < LINES_PER_SECOND
    }

    fn push(&self, now_ms: u64, number: u64, line: impl FnOnce() -> String) {
        if !self.admit(now_ms) || self.queue.push((number, line())).is_err() {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// The logger of a process.
#[derive(Debug)]
struct StructuredLog {
    clock: MonotonicClock,
    failures: Lines,
    /// Number of the next line, by which readers put the lines of one process in order.
    next_number: AtomicU64,
    node: String,
    ordinary: Lines,
    writer: OnceLock<Thread>,
}

/// Ends the log: what waits is written first.
#[derive(Debug)]
pub struct LogGuard {
    duty: Option<DutyHandle>,
    is_ending: Arc<AtomicBool>,
    log: Option<&'static StructuredLog>,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        self.is_ending.store(true, Ordering::Release);
        if let Some(writer) = self.log.and_then(|log| log.writer.get()) {
            writer.unpark();
        }
        // A standard output that nobody reads must not hold the end up.
        let Some(duty) = self.duty.take() else {
            return;
        };
        for _ in 0..END_POLLS {
            if duty.is_finished() {
                return;
            }
            thread::sleep(WRITE_INTERVAL);
        }
    }
}

/// Starts to log to standard output. A second call in one process changes nothing.
///
/// # Errors
///
/// The operating system's error when no thread can be started.
pub fn start_structured_logging(node: &str) -> io::Result<LogGuard> {
    start_structured_logging_to(node, io::stdout())
}

/// Starts to log to any output; tests give one that stalls.
///
/// # Errors
///
/// The operating system's error when no thread can be started.
pub fn start_structured_logging_to(
    node: &str,
    output: impl Write + Send + 'static,
) -> io::Result<LogGuard> {
    let log: &'static StructuredLog = Box::leak(Box::new(StructuredLog {
        clock: MonotonicClock::start(),
        failures: Lines::new(),
        next_number: AtomicU64::new(0),
        node: node.to_owned(),
        ordinary: Lines::new(),
        writer: OnceLock::new(),
    }));
    let is_ending = Arc::new(AtomicBool::new(false));
    if log::set_logger(log).is_err() {
        return Ok(LogGuard {
            duty: None,
            is_ending,
            log: None,
        });
    }
    log::set_max_level(LevelFilter::Info);
    let ending = Arc::clone(&is_ending);
    let duty = spawn_duty("log_writer", move || log.write_until(output, &ending))?;
    Ok(LogGuard {
        duty: Some(duty),
        is_ending,
        log: Some(log),
    })
}

impl StructuredLog {
    fn write_until(&self, mut output: impl Write, is_ending: &AtomicBool) {
        let _ = self.writer.set(thread::current());
        let mut batch = String::new();
        loop {
            batch.clear();
            self.collect(&mut batch);
            if batch.is_empty() {
                if is_ending.load(Ordering::Acquire) {
                    return;
                }
                thread::park();
                thread::sleep(WRITE_INTERVAL);
                continue;
            }
            // A closed standard output leaves nobody to tell.
            let _ = output.write_all(batch.as_bytes());
            let _ = output.flush();
            self.report_left_out();
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

    fn report_left_out(&self) {
        let failures = self.failures.left_out.swap(0, Ordering::Relaxed);
        let ordinary = self.ordinary.left_out.swap(0, Ordering::Relaxed);
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
        // Libraries, whose lines have no number, speak only where something is wrong.
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

/// Writes the fields of one record.
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
        let prefix = if LINE_FIELDS.contains(&key.as_str()) {
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

/// Whether a value is written without quotes.
fn is_literal(key: &str, text: &str) -> bool {
    if text == "true" || text == "false" {
        return true;
    }
    let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    let is_plain = text.len() <= MAX_NUMBER_DIGITS && (text == "0" || !text.starts_with('0'));
    is_number && is_plain && !NAME_FIELDS.contains(&key)
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
