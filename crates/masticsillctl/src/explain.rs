//! `explain`: reports the course of one request from the structured logs of the relays.

use std::fs::File;
use std::io::{BufRead, BufReader};

use serde::Serialize;
use serde_json::{Map, Value};

use crate::failure::Failure;
use crate::output::Output;

/// One log line about the request.
#[derive(Debug, Serialize)]
struct Step {
    /// Wall-clock time of the process that wrote the line, in Unix milliseconds.
    at_wall_ms: u64,
    event: String,
    /// Sequence number of the line within its process.
    line: u64,
    node: String,
    /// Time since that process started, in milliseconds.
    up_ms: u64,
    /// Description of the event in plain words.
    what: String,
}

/// Prints the log lines of a request ordered by wall-clock time, each described in plain words.
///
/// The order of lines from two processes is only as exact as their clocks agree. Lines of one
/// process with the same time are ordered by their sequence numbers.
pub(crate) fn explain(output: Output, request: &str, files: &[String]) -> eyre::Result<()> {
    if request.is_empty() {
        let message = "the request id is empty; name the id that the caller sent";
        return Err(Failure::Usage(message.to_owned()).into());
    }
    let mut steps = Vec::new();
    for file in files {
        read_steps(request, file, &mut steps)?;
    }
    if steps.is_empty() {
        let message = format!(
            "no line tells of request `{request}`; name the logs of all relays, from before the \
             request until after it"
        );
        return Err(Failure::Usage(message).into());
    }
    steps.sort_by(|left, right| {
        let by_wall = left.at_wall_ms.cmp(&right.at_wall_ms);
        by_wall.then(left.line.cmp(&right.line))
    });
    let first_at = steps[0].at_wall_ms;
    output.show(&steps, || {
        let lines = steps.iter().map(|step| {
            let after_ms = step.at_wall_ms.saturating_sub(first_at);
            format!("+{after_ms:>6} ms  {:<18} {}", step.node, step.what)
        });
        lines.collect::<Vec<String>>().join("\n")
    })
}

fn read_steps(request: &str, file: &str, steps: &mut Vec<Step>) -> eyre::Result<()> {
    let opened = File::open(file).map_err(|error| {
        let message = format!("`{file}` can't be read: {error}; name a log file");
        Failure::Usage(message)
    })?;
    for line in BufReader::new(opened).lines() {
        // Logs are long, so only lines that contain the request id are parsed.
        let line = line?;
        if !line.contains(request) {
            continue;
        }
        // Log collectors may prefix the JSON object with a time and the instance.
        let object = line.find('{').map_or("", |start| &line[start..]);
        let Ok(Value::Object(fields)) = serde_json::from_str(object) else {
            continue;
        };
        if text(&fields, "request") == request {
            steps.push(Step {
                at_wall_ms: number(&fields, "wall_ms"),
                event: text(&fields, "event"),
                line: number(&fields, "line"),
                node: text(&fields, "node"),
                up_ms: number(&fields, "up_ms"),
                what: describe(&fields),
            });
        }
    }
    Ok(())
}

/// Describes a log line in plain words; an unknown event is shown with all its fields.
fn describe(fields: &Map<String, Value>) -> String {
    let field = |name| text(fields, name);
    match field("event").as_str() {
        "request_answered" => describe_answer(fields),
        "request_refused" => format!(
            "the relay answered {} itself: {}{}",
            field("status"),
            field("reason"),
            if field("status") == "503" {
                "; it has not run"
            } else {
                ""
            }
        ),
        "attempt_failed" => format!(
            "endpoint {} in {} failed it: {} ({}); {} ms were left",
            field("endpoint"),
            field("zone"),
            field("failure"),
            field("cause"),
            field("left_ms")
        ),
        "attempt_not_run" => format!(
            "endpoint {} in {} said {}: it did not run the request",
            field("endpoint"),
            field("zone"),
            field("status")
        ),
        "stream_resumed" => format!(
            "the stream went on after event {} at endpoint {} in {}, {}",
            field("after_event"),
            field("endpoint"),
            field("zone"),
            if field("from_copy") == "true" {
                "from a copy of the run's memory"
            } else {
                "reading its prompt again"
            }
        ),
        "stream_broken_off" => format!(
            "the stream was cut towards its caller, not whole: {}",
            field("reason")
        ),
        "copy_unusable" => format!(
            "the copy at endpoint {} in {} could not be used: {}",
            field("endpoint"),
            field("zone"),
            field("cause")
        ),
        "copy_asked" => format!(
            "a new copy of the run's memory was asked for, from {} to {} in {}: {}",
            field("endpoint"),
            field("to"),
            field("zone"),
            if field("is_made") == "true" {
                "made"
            } else {
                "not made"
            }
        ),
        "caller_left" => format!("the caller had left after {} ms", field("after_ms")),
        other => format!("{other} {}", Value::Object(fields.clone())),
    }
}

fn describe_answer(fields: &Map<String, Value>) -> String {
    let field = |name| text(fields, name);
    let answer = format!(
        "answered with {} of endpoint {} on route {} ({}) after {} ms and {} sends",
        field("status"),
        field("endpoint"),
        field("route"),
        field("kind"),
        field("duration_ms"),
        field("sends")
    );
    if !fields.contains_key("first_ms") {
        return answer;
    }
    format!(
        "{answer}; first event after {} ms, longest pause {} ms, {} resumes",
        field("first_ms"),
        field("longest_gap_ms"),
        field("resumes")
    )
}

/// Returns a field as text, or an empty string when the field is missing.
fn text(fields: &Map<String, Value>, name: &str) -> String {
    match fields.get(name) {
        Some(Value::String(text)) => text.clone(),
        Some(value) => value.to_string(),
        None => String::new(),
    }
}

fn number(fields: &Map<String, Value>, name: &str) -> u64 {
    fields.get(name).and_then(Value::as_u64).unwrap_or_default()
}
