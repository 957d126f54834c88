//! Callers that send invalid, oversized or no input, and callers that do not read.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use masticsill_testkit::{
    AnswerSpec, CallerAnswer, CallerRequest, EngineProcess, EngineProcessSettings, engine_entry,
    expected_text, wait_until,
};
use masticsill_types::{ModelId, VersionId};
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::support::{Draft, End, Reader, SmallSystem, WAIT_TIMEOUT_MS};

const COMPLETIONS: &str = "/v1/completions";
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Length of the stream that must not be disturbed, in tokens.
const BACKGROUND_STREAM_TOKENS: u32 = 300;
/// Tokens for the caller that reads while others do not.
const READER_TOKENS: u32 = 500;
const NON_READING_CALLERS: u64 = 8;
const NON_READER_TOKENS: u64 = 12_000;
/// Most memory that an entry may use per token that its caller has not read.
const MAX_BYTES_PER_UNREAD_TOKEN: u64 = 128;
/// Fluctuation of the memory of an idle process.
const MEMORY_NOISE_BYTES: u64 = 8 * 1024 * 1024;

/// A small system with a stream that runs while other callers send bad input.
struct SystemWithStream {
    draft: Draft,
    reader: Reader,
    system: SmallSystem,
}

impl SystemWithStream {
    fn start() -> Self {
        let system = SmallSystem::start(1, 1);
        let draft = Draft::new("witness", BACKGROUND_STREAM_TOKENS);
        let mut reader = system.open("entry-0", &draft);
        reader.read_bytes(20);
        Self {
            draft,
            reader,
            system,
        }
    }

    fn address(&self) -> SocketAddr {
        self.system.deployment.http("entry-0")
    }

    fn call(&self, request: CallerRequest) -> CallerAnswer {
        let answer = self
            .system
            .deployment
            .caller()
            .call(request, WAIT_TIMEOUT_MS);
        answer.expect("the entry answers")
    }

    /// Opens a connection and sends raw bytes.
    fn connect(&self, sent: &[u8]) -> TcpStream {
        connect(self.address(), sent)
    }

    /// Asserts that the stream is complete, and that all processes run and none has panicked.
    fn finish(mut self) {
        let end = self.reader.read_to_end();
        assert_eq!(end, End::Done, "so far: {}", self.reader.text);
        assert_eq!(self.reader.text, self.draft.expected());
        assert_no_process_failed(&mut self.system);
    }
}

fn connect(address: SocketAddr, sent: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("the process listens");
    let bound = Some(Duration::from_millis(WAIT_TIMEOUT_MS));
    stream.set_read_timeout(bound).expect("the bound is not 0");
    stream.set_write_timeout(bound).expect("the bound is not 0");
    // The process may close the connection before it has read all bytes.
    let _ = stream.write_all(sent);
    stream
}

fn assert_no_process_failed(system: &mut SmallSystem) {
    for name in ["control-0", "entry-0", "agent-0"] {
        let node = system.deployment.node_mut(name);
        assert!(node.process.is_running(), "{name} ended");
        let log = node.process.log();
        assert!(!log.contains("panicked"), "{name} panicked: {log}");
    }
}

/// Reads until the peer closes the connection; returns `None` if it is still open at the timeout.
fn read_to_close(mut stream: TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes);
    let is_open = read.is_err_and(|error| {
        let kind = error.kind();
        kind == std::io::ErrorKind::WouldBlock || kind == std::io::ErrorKind::TimedOut
    });
    (!is_open).then(|| String::from_utf8_lossy(&bytes).into_owned())
}

/// Asserts a refusal with this status and kind, a message and a remedy, and the outcome `not_run`.
#[track_caller]
fn assert_refused(answer: &CallerAnswer, status: u16, kind: &str) {
    let error = &answer.json()["error"];
    assert_eq!(answer.status, status, "{error}");
    assert_eq!(error["kind"], kind, "{error}");
    assert_eq!(error["outcome"], "not_run", "{error}");
    let is_told = |field: &str| error[field].as_str().is_some_and(|text| !text.is_empty());
    assert!(is_told("message") && is_told("remedy"), "{error}");
}

#[test]
fn invalid_bodies_are_refused_with_kind_and_remedy() {
    let system_with_stream = SystemWithStream::start();
    let started = system_with_stream.system.started(0);
    let sound = Draft::new("sound", 5).body();
    let with = |field: &str, value: Value| {
        let mut body = sound.clone();
        body[field] = value;
        body
    };
    let cases = [
        (json!("only text"), 400, "invalid_request"),
        (json!([1, 2]), 400, "invalid_request"),
        (json!({}), 400, "invalid_request"),
        (with("model", json!("unheard-of")), 404, "unknown_model"),
        (with("model", json!("a b\n")), 400, "invalid_request"),
        (with("model", json!(7)), 400, "invalid_request"),
        (with("prompt", json!({"a": 1})), 400, "invalid_request"),
        (with("max_tokens", json!(-1)), 400, "invalid_request"),
        (with("max_tokens", json!(0)), 400, "invalid_request"),
        (with("max_tokens", json!(1e9)), 400, "invalid_request"),
        (with("max_tokens", json!("ten")), 400, "invalid_request"),
        (with("temperature", json!(-1)), 400, "invalid_request"),
        (with("stream", json!("yes")), 400, "invalid_request"),
        (
            with("prompt", json!("x".repeat(MAX_BODY_BYTES))),
            400,
            "invalid_request",
        ),
    ];
    for (body, status, kind) in cases {
        let request = CallerRequest::post(system_with_stream.address(), COMPLETIONS, &body);
        assert_refused(&system_with_stream.call(request), status, kind);
    }
    let long_key = "k".repeat(300);
    for (name, value) in [
        ("idempotency-key", long_key.as_str()),
        ("last-event-id", "nonsense"),
    ] {
        let request = CallerRequest::post(system_with_stream.address(), COMPLETIONS, &sound);
        let answer = system_with_stream.call(request.header(name, value));
        assert_refused(&answer, 400, "invalid_request");
    }
    assert_eq!(
        system_with_stream.system.started(0),
        started,
        "nothing was run"
    );
    system_with_stream.finish();
}

#[test]
fn malformed_json_is_refused() {
    let system_with_stream = SystemWithStream::start();
    for body in [
        "",
        "{",
        "{\"model\": \"draft\",",
        "\u{0}\u{1}",
        "nul",
        "{\"model\": \"draft\"}}",
    ] {
        let head = format!(
            "POST {COMPLETIONS} HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let answer = read_to_close(system_with_stream.connect(head.as_bytes()));
        let answer = answer.expect("the connection is closed");
        assert!(answer.starts_with("HTTP/1.1 400"), "{body:?}: {answer}");
        assert!(answer.contains("invalid_request"), "{body:?}: {answer}");
    }
    // Deeply nested JSON must not exhaust the stack.
    let nested = "[".repeat(200_000);
    let head = format!(
        "POST {COMPLETIONS} HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\
         Content-Length: {}\r\n\r\n{nested}",
        nested.len()
    );
    let answer = read_to_close(system_with_stream.connect(head.as_bytes()));
    assert!(answer.is_some_and(|answer| answer.starts_with("HTTP/1.1 400")));
    system_with_stream.finish();
}

#[test]
fn unknown_paths_and_methods_get_their_statuses() {
    let system_with_stream = SystemWithStream::start();
    let get = |path: &str| CallerRequest::get(system_with_stream.address(), path);
    let cases = [
        (get("/"), 404),
        (get("/v1/unheard-of"), 404),
        (get("/v1/completions/more"), 404),
        (get(COMPLETIONS), 405),
        (get(COMPLETIONS).method("DELETE"), 405),
        (get("/v1/models").method("POST"), 405),
        (get("/v1/services/unheard-of/path").method("POST"), 404),
    ];
    let mut wrong = Vec::new();
    for (request, status) in cases {
        let asked = format!("{request:?}");
        let answer = system_with_stream.call(request);
        if answer.status != status {
            wrong.push((asked, answer.status));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
    system_with_stream.finish();
}

#[test]
fn too_many_and_too_large_headers_end_the_connection_only() {
    let system_with_stream = SystemWithStream::start();
    let head = "GET /v1/models HTTP/1.1\r\nHost: entry\r\n";
    // The limit counts distinct names, so a repeated name is bounded by the bytes only.
    let names: Vec<String> = (0..200).map(|number| format!("x-{number}: 1")).collect();
    let many = names.join("\r\n") + "\r\n";
    let repeated = "x-more: 1\r\n".repeat(10_000);
    let large = format!("x-large: {}\r\n", "x".repeat(4 * 1024 * 1024));
    let endless = "x".repeat(4 * 1024 * 1024);
    for headers in [many, repeated, large, endless] {
        let sent = format!("{head}{headers}\r\n");
        let answer = read_to_close(system_with_stream.connect(sent.as_bytes()));
        let answer = answer.unwrap_or_else(|| panic!("{} bytes: still open", sent.len()));
        assert!(!answer.starts_with("HTTP/1.1 2"), "{answer}");
    }
    for nonsense in [
        &b"\x16\x03\x01\x02\x00\x01\x00"[..],
        b"GET\r\n\r\n",
        b"\r\n\r\n\r\n",
    ] {
        let mut stream = system_with_stream.connect(nonsense);
        let _ = stream.write_all(&[0xff; 512]);
        let answer = read_to_close(stream).expect("the connection is closed");
        assert!(!answer.starts_with("HTTP/1.1 2"), "{answer}");
    }
    system_with_stream.finish();
}

#[test]
fn stalled_connections_are_closed() {
    let system_with_stream = SystemWithStream::start();
    let half_head = format!("POST {COMPLETIONS} HTTP/1.1\r\nHost: ent");
    let half_body = format!(
        "POST {COMPLETIONS} HTTP/1.1\r\nHost: entry\r\nContent-Length: 900\r\n\r\n{{\"model\""
    );
    let mut open = Vec::new();
    for _ in 0..50 {
        open.push(system_with_stream.connect(half_head.as_bytes()));
        open.push(system_with_stream.connect(half_body.as_bytes()));
    }
    let draft = Draft::new("between", 5);
    let mut reader = system_with_stream.system.open("entry-0", &draft);
    assert_eq!(reader.read_to_end(), End::Done, "others are served");
    for stream in open {
        let answer = read_to_close(stream).expect("the connection is closed");
        assert!(!answer.starts_with("HTTP/1.1 2"), "{answer}");
    }
    system_with_stream.finish();
}

#[test]
fn invalid_bytes_on_internal_listeners_are_rejected() {
    let mut system_with_stream = SystemWithStream::start();
    let garbage: Vec<u8> = (0..70_000_u32).map(|number| (number % 251) as u8).collect();
    let huge_length = [0xff_u8; 64];
    for name in ["control-0", "entry-0", "agent-0"] {
        let address = system_with_stream
            .system
            .deployment
            .node(name)
            .proxy
            .address();
        for sent in [&garbage[..], &huge_length, b"GET / HTTP/1.1\r\n\r\n"] {
            let stream = connect(address, sent);
            // The peer may have closed the connection already.
            let _ = stream.shutdown(std::net::Shutdown::Write);
            let answer = read_to_close(stream);
            assert!(
                answer.is_some(),
                "{name} keeps the connection open after invalid bytes"
            );
        }
    }
    let control = system_with_stream.system.deployment.http("control-0");
    let request = CallerRequest::post(control, "/v1/catalogue/draft", &json!({"a": 1}));
    assert_eq!(system_with_stream.call(request.method("PUT")).status, 401);
    let deployment = &mut system_with_stream.system.deployment;
    let path = "/v1/catalogue/draft";
    let answer = deployment.ask_operator("control-0", "PUT", path, &json!({"a": 1}));
    assert_eq!(answer.expect("the replica answers").status, 400);
    system_with_stream.finish();
}

/// Returns the resident memory of a process, in bytes.
fn resident_bytes(process_id: u32) -> u64 {
    let path = format!("/proc/{process_id}/status");
    let status = fs::read_to_string(path).expect("the process runs");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kibibytes = line.and_then(|line| line.split_whitespace().nth(1));
    let kibibytes: u64 = kibibytes
        .and_then(|text| text.parse().ok())
        .expect("a size");
    kibibytes * 1024
}

/// Requests the model `flood` and returns the complete text of the answer.
fn read_flood(system_with_stream: &SystemWithStream) -> String {
    let mut body = Draft::new("reads", READER_TOKENS).body();
    body["model"] = json!("flood");
    body["stream"] = json!(false);
    let request = CallerRequest::post(system_with_stream.address(), COMPLETIONS, &body);
    let answer = system_with_stream.call(request).json();
    let text = answer["choices"][0]["text"].as_str();
    text.unwrap_or_else(|| panic!("{answer}")).to_owned()
}

fn expected_flood() -> String {
    expected_text(&AnswerSpec {
        adapter: None,
        max_tokens: READER_TOKENS,
        model: ModelId::new("flood").expect("a valid name"),
        prompt: "reads".to_owned(),
        seed: Draft::new("reads", READER_TOKENS).body()["seed"]
            .as_u64()
            .expect("a seed"),
        version: VersionId::new("v1").expect("a valid name"),
    })
}

#[test]
fn callers_that_do_not_read_use_bounded_memory() {
    let mut system_with_stream = SystemWithStream::start();
    let folder = TempDir::new().expect("a temporary folder can be made");
    let settings = EngineProcessSettings {
        model: "flood",
        slots: 16,
        step_ms: 1,
        version: "v1",
    };
    let engine = EngineProcess::start(settings, &folder.path().join("flood.log"));
    let deployment = &mut system_with_stream.system.deployment;
    deployment.start_engine_agent("agent-flood", "zone-0", engine.address(), &json!({}));
    deployment.put(&engine_entry("flood", "patient_draft", "flood", "v1"), 0);
    deployment.await_models("entry-0", 2);
    let mut body = Draft::new("flood", u32::try_from(NON_READER_TOKENS).expect("it fits")).body();
    body["model"] = json!("flood");
    let entry = deployment.node("entry-0").process.id();
    let before = resident_bytes(entry);
    let head = format!(
        "POST {COMPLETIONS} HTTP/1.1\r\nHost: entry\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.to_string().len()
    );
    let non_readers: Vec<TcpStream> = (0..NON_READING_CALLERS)
        .map(|_| system_with_stream.connect(head.as_bytes()))
        .collect();
    // A caller that reads is served through the same agent and engine.
    assert_eq!(read_flood(&system_with_stream), expected_flood());
    let caller = system_with_stream.system.deployment.caller();
    let finished = || engine.stats(caller).map_or(0, |stats| stats.finished);
    let is_decoded = wait_until(4 * WAIT_TIMEOUT_MS, || {
        finished() == NON_READING_CALLERS + 1
    });
    assert!(is_decoded, "{:?}", engine.stats(caller));
    let draft = Draft::new("meanwhile", 20);
    let mut reader = system_with_stream.system.open("entry-0", &draft);
    assert_eq!(reader.read_to_end(), End::Done);
    assert_eq!(reader.text, draft.expected());
    let grown = resident_bytes(entry).saturating_sub(before);
    let bound =
        MEMORY_NOISE_BYTES + NON_READING_CALLERS * NON_READER_TOKENS * MAX_BYTES_PER_UNREAD_TOKEN;
    assert!(grown < bound, "grown by {grown} bytes, bound {bound}");
    drop(non_readers);
    system_with_stream.finish();
}
