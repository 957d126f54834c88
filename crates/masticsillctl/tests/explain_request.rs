//! `masticsillctl explain` shows the log lines of one request in order and in plain words.

use std::fs;
use std::process::{Command, Output};

fn explain(arguments: &[&str]) -> Output {
    let tool = Command::new(env!("CARGO_BIN_EXE_masticsillctl"));
    let mut tool = tool;
    tool.arg("explain").args(arguments).output().unwrap()
}

const RELAY_A: &str = r#"{"wall_ms":1000,"up_ms":10,"level":"warn","node":"a","number":2112,"event":"attempt_failed","request":"77","route":"r","endpoint":"i-1","zone":"north","failure":"broken","cause":"connection: reset","left_ms":900}
{"wall_ms":1002,"up_ms":12,"level":"info","node":"a","number":2113,"event":"stream_resumed","request":"77","endpoint":"i-2","zone":"south","after_event":5,"from_copy":true,"sends":1}
{"wall_ms":1003,"up_ms":13,"level":"info","node":"a","number":2110,"event":"request_answered","request":"778","route":"r","kind":"stream","status":200,"endpoint":"i-2","sends":1,"resumes":0,"duration_ms":5}
this is no object with 77
"#;
const RELAY_B: &str = r#"  12.5 b {"wall_ms":990,"up_ms":50,"level":"warn","node":"b","number":2111,"event":"request_refused","request":"77","reason":"no_endpoint","status":503}
"#;

#[test]
fn lines_of_several_processes_are_shown_in_order() {
    let folder = tempfile::tempdir().unwrap();
    let [a, b] = ["a.log", "b.log"].map(|name| folder.path().join(name));
    fs::write(&a, RELAY_A).unwrap();
    fs::write(&b, RELAY_B).unwrap();
    let output = explain(&["77", a.to_str().unwrap(), b.to_str().unwrap()]);
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).unwrap();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 3, "{text}");
    assert!(lines[0].contains("answered 503 itself: no_endpoint; it has not run"));
    assert!(lines[1].contains("+    10 ms") && lines[1].contains("failed it: broken"));
    assert!(lines[2].contains("went on after event 5 at endpoint i-2 in south, from a copy"));
}

#[test]
fn a_request_in_none_of_the_logs_is_an_error_with_a_remedy() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("a.log");
    fs::write(&file, RELAY_A).unwrap();
    let output = explain(&["99", file.to_str().unwrap()]);
    assert!(!output.status.success());
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("name the logs of all relays"), "{text}");
    let missing = explain(&["99", "no-such-file"]);
    assert!(
        String::from_utf8(missing.stderr)
            .unwrap()
            .contains("can't be read")
    );
}
