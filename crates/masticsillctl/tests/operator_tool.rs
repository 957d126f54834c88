//! Runs `masticsillctl` against control replicas.

#[path = "../../masticsill_control/tests/common/mod.rs"]
mod common;

use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::thread;

use common::{Cluster, node};
use tempfile::TempDir;

const ENTRY: &str = r#"{
    "id": "fliesenwerk/layout", "owner": "fliesenwerk", "class": "patient_draft",
    "back_end": {"kind": "engine", "model": "planner", "version": "v3"},
    "placement": {"replicas": 1}
}"#;

/// Running control replicas, and a folder for the operator's files.
struct ToolFixture {
    cluster: Cluster,
    folder: TempDir,
}

impl ToolFixture {
    fn start(replica_count: usize) -> Self {
        let cluster = Cluster::start(replica_count);
        let folder = TempDir::new().unwrap();
        fs::write(folder.path().join("token"), "all\n").unwrap();
        Self { cluster, folder }
    }

    fn file(&self, name: &str, content: &str) -> PathBuf {
        let path = self.folder.path().join(name);
        fs::write(&path, content).unwrap();
        path
    }

    fn run(&self, arguments: &[&str]) -> Output {
        let addresses = self.cluster.http_addresses();
        let addresses: Vec<String> = addresses.iter().map(ToString::to_string).collect();
        self.run_at(&addresses, arguments)
    }

    fn run_at(&self, addresses: &[String], arguments: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_masticsillctl"));
        for address in addresses {
            command.args(["--address", address]);
        }
        command
            .args(["--timeout-s", "30", "--token-file"])
            .arg(self.folder.path().join("token"))
            .args(arguments)
            .output()
            .unwrap()
    }
}

#[track_caller]
fn assert_ends(output: &Output, code: i32, shown: &str) {
    let stdout = String::from_utf8_lossy(&output.stdout);
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(code), "{stdout}{stderr}");
    assert!(
        stdout.contains(shown) || stderr.contains(shown),
        "{stdout}{stderr}"
    );
}

#[test]
fn an_entry_is_applied_shown_and_deleted() {
    let fixture = ToolFixture::start(1);
    let file = fixture.file("entry.json", ENTRY);
    let file = file.to_str().unwrap();
    let id = "fliesenwerk/layout";
    assert_ends(&fixture.run(&["check", file]), 0, "is valid");
    assert_ends(&fixture.run(&["apply", file]), 0, "accepted as version 1");
    assert_ends(
        &fixture.run(&["--json", "apply", file]),
        0,
        r#""version":2"#,
    );
    assert_ends(&fixture.run(&["get", id]), 0, "\"planner\"");
    assert_ends(&fixture.run(&["list"]), 0, "fliesenwerk/layout  version 2");
    assert_ends(
        &fixture.run(&["watch", "--from", "1", "--once"]),
        0,
        "version 2",
    );
    assert_ends(&fixture.run(&["delete", id]), 0, "accepted as version 3");
    assert_ends(&fixture.run(&["get", id]), 4, "no entry");
    assert_ends(&fixture.run(&["audit"]), 0, "delete fliesenwerk/layout");
    assert_ends(&fixture.run(&["replicas"]), 0, "control-1  voter");
    assert_ends(
        &fixture.run(&["replace-replica", "control-1"]),
        0,
        "nothing to replace",
    );
    assert_ends(
        &fixture.run(&["replace-replica", "control-9"]),
        2,
        "not a member",
    );
}

#[test]
fn a_change_sent_again_gets_its_first_answer() {
    let fixture = ToolFixture::start(1);
    let file = fixture.file("entry.json", ENTRY);
    let file = file.to_str().unwrap();
    let apply = [
        "apply",
        file,
        "--change-id",
        "once",
        "--expected-version",
        "0",
    ];
    assert_ends(&fixture.run(&apply), 0, "accepted as version 1");
    assert_ends(&fixture.run(&["apply", file]), 0, "accepted as version 2");
    assert_ends(&fixture.run(&apply), 0, "accepted as version 1");
    let other = ["apply", file, "--expected-version", "1"];
    assert_ends(&fixture.run(&other), 3, "version 2 is in force");
}

#[test]
fn failures_have_exit_codes_and_remedies() {
    let fixture = ToolFixture::start(1);
    let wrong = ENTRY.replace("\"replicas\": 1", "\"replicas\": 0");
    let wrong = fixture.file("wrong.json", &wrong);
    let wrong = wrong.to_str().unwrap();
    assert_ends(&fixture.run(&["check", wrong]), 2, "placement.replicas");
    assert_ends(&fixture.run(&["apply", wrong]), 2, "placement.replicas");
    assert_ends(&fixture.run(&["frobnicate"]), 2, "--help");
    assert_ends(&fixture.run(&["--help"]), 0, "Exit codes");
    fs::write(fixture.folder.path().join("token"), "wrong").unwrap();
    assert_ends(&fixture.run(&["list"]), 4, "settings");
}

#[test]
fn a_change_that_was_never_sent_is_reported_as_not_done() {
    let mut fixture = ToolFixture::start(1);
    let address = fixture.cluster.http_address(1).to_string();
    fixture.cluster.stop(&node(1));
    let file = fixture.file("entry.json", ENTRY);
    let file = file.to_str().unwrap();
    let apply = ["apply", file, "--expected-version", "0", "--timeout-s", "1"];
    assert_ends(&fixture.run_at(&[address], &apply), 5, "nothing was done");
}

#[test]
fn a_lost_replica_is_replaced_by_one_command() {
    let mut fixture = ToolFixture::start(3);
    let file = fixture.file("entry.json", ENTRY);
    assert_ends(
        &fixture.run(&["apply", file.to_str().unwrap()]),
        0,
        "accepted as version 1",
    );
    fixture.cluster.abort(&node(2));
    fixture.cluster.lose_folder(2);
    fixture.cluster.run(2);
    assert_ends(
        &fixture.run(&["replace-replica", "control-2"]),
        0,
        "`control-2` votes",
    );
    assert_ends(
        &fixture.run(&["replace-replica", "control-2"]),
        0,
        "nothing to replace",
    );
    assert_ends(&fixture.run(&["audit"]), 0, "add_replica control-2");
    // The cluster must tolerate a second loss right after the replacement.
    fixture.cluster.abort(&node(1));
    assert_ends(&fixture.run(&["list"]), 0, "catalogue version 1");
}

/// An address that reads each request and sends these bytes.
fn verbatim_address(answer: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let mut reader = BufReader::new(&stream);
            let mut length = 0;
            loop {
                let mut line = String::new();
                reader.read_line(&mut line).unwrap();
                if let Some(value) = line.to_lowercase().strip_prefix("content-length:") {
                    length = value.trim().parse().unwrap();
                }
                if line.trim().is_empty() {
                    break;
                }
            }
            reader.read_exact(&mut vec![0; length]).unwrap();
            (&stream).write_all(answer.as_bytes()).unwrap();
        }
    });
    address
}

#[test]
fn invalid_answers_are_neither_results_nor_refusals() {
    let fixture = ToolFixture::start(1);
    let file = fixture.file("entry.json", ENTRY);
    let file = file.to_str().unwrap();
    let refusal = r#"{"reason":"conflict","message":"version 9 is in force"}"#;
    let apply = ["apply", file, "--expected-version", "0", "--timeout-s", "1"];
    for status in ["000", "099", "101", "103", "304", "600", "999", "2x0"] {
        let length = refusal.len();
        let answer = format!("HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n\r\n{refusal}");
        let output = fixture.run_at(&[verbatim_address(answer)], &apply);
        assert_eq!(output.status.code(), Some(6), "{status}: {output:?}");
    }
    let length = refusal.len();
    for answer in [
        format!("HTTP/1.1 409 X\r\nX Y: z\r\nContent-Length: {length}\r\n\r\n{refusal}"),
        format!("HTTP/1.1 409 X\r\n\nContent-Length: {length}\r\n\r\n{refusal}"),
        format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{refusal}",
            length + 1
        ),
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}".to_owned(),
    ] {
        let output = fixture.run_at(&[verbatim_address(answer.clone())], &apply);
        assert_eq!(output.status.code(), Some(6), "{answer}: {output:?}");
    }
    let answer = format!("HTTP/1.1 409 X\r\nContent-Length: {length}\r\n\r\n{refusal}");
    let output = fixture.run_at(&[verbatim_address(answer)], &apply);
    assert_ends(&output, 4, "version 9 is in force");
}
