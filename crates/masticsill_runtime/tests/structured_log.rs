//! Structured log lines: their format, their rate limit, and an output that blocks.
//!
//! This is a single test, because a process has only one logger.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use masticsill_runtime::start_structured_logging_to;
use masticsill_types::{Event, log_event};

const EXAMPLE: Event = Event::new(9_999, "example");

/// An output whose writes can be made to block.
#[derive(Clone, Default)]
struct Output {
    shared: Arc<(Mutex<State>, Condvar)>,
}

#[derive(Default)]
struct State {
    bytes: Vec<u8>,
    is_stalled: bool,
}

impl Output {
    fn stall(&self, is_stalled: bool) {
        self.shared.0.lock().unwrap().is_stalled = is_stalled;
        self.shared.1.notify_all();
    }

    fn lines(&self) -> Vec<serde_json::Value> {
        let state = self.shared.0.lock().unwrap();
        let text = String::from_utf8(state.bytes.clone()).unwrap();
        let whole = text.rsplit_once('\n').map_or("", |(whole, _)| whole);
        whole
            .lines()
            .map(|line| serde_json::from_str(line).unwrap())
            .collect()
    }

    fn await_line(&self, is_wanted: impl Fn(&serde_json::Value) -> bool) -> serde_json::Value {
        let deadline = Instant::now() + Duration::from_secs(10);
        loop {
            if let Some(line) = self.lines().into_iter().find(|line| is_wanted(line)) {
                return line;
            }
            assert!(
                Instant::now() < deadline,
                "the expected line was not written within 10 s"
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let (state, wake) = &*self.shared;
        let mut state = state.lock().unwrap();
        while state.is_stalled {
            state = wake.wait(state).unwrap();
        }
        state.bytes.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn log_lines_are_json_objects_bounded_in_rate_and_never_block_the_caller() {
    let output = Output::default();
    let _guard = start_structured_logging_to("node-1", output.clone()).unwrap();

    let text = "a \"quoted\"\nline";
    log_event!(
        info,
        EXAMPLE,
        request = "0123",
        count = 7,
        is_so = true,
        node = "another",
        text = text
    );
    let line = output.await_line(|line| line["number"] == 9_999);
    assert_eq!(line["event"], "example");
    assert_eq!(line["node"], "node-1");
    assert_eq!(line["event_node"], "another");
    assert_eq!(line["level"], "info");
    assert_eq!(
        line["request"], "0123",
        "an identifier of digits stays a string"
    );
    assert_eq!(line["count"], 7);
    assert_eq!(line["is_so"], true);
    assert_eq!(line["text"], text);

    output.stall(true);
    let began = Instant::now();
    for number in 0..20_000 {
        log_event!(info, EXAMPLE, flood = number);
    }
    log_event!(warn, EXAMPLE, failure = "kept");
    assert!(
        began.elapsed() < Duration::from_secs(5),
        "a blocked output must not block the callers"
    );
    output.stall(false);
    output.await_line(|line| line["failure"] == "kept");
    let left_out = output.await_line(|line| line["event"] == "log_lines_left_out");
    assert!(left_out["ordinary"].as_u64().unwrap() > 15_000);
    assert_eq!(left_out["failures"], 0);
    let flood = output
        .lines()
        .iter()
        .filter(|line| !line["flood"].is_null())
        .count();
    assert!(flood < 5_000, "{flood} lines of the flood were written");
}
