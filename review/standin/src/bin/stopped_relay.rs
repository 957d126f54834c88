//! A relay is stopped by SIGTERM while some of the requests that it has read wait for an engine.

use std::collections::HashSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_standin::{
    call, find, has_trouble, sleep_s, Deployment, Process, Recorder, Replica, Request, Sheet,
};

const GRACE: Duration = Duration::from_secs(8);
/// `loss_slack_ms`.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// An answer has 150 events of 6 tokens. Short ones come first, as on an engine with few requests; on
/// an engine that reads prompts beside them (25 ms for a chunk of 200 tokens) an event takes 80 ms.
const EVENTS: u64 = 150;

const SHEET: Sheet = Sheet {
    zones: ["muc-a", "muc-b", "fs-c"],
    region: "bayern",
    heartbeat_ms: 1200,
    memory_mb: 110,
    contracts: r#""base","drain","config","cost","retry","recover","engine","stream","tenants""#,
    bounds: concat!(
        r#""seed_lag_s":3,"addr_reuse_s":2,"contact_ms":3000,"ack_ms":4000,"catch_up_s":4,"#,
        r#""drain_ms":2000,"grace_s":8,"loss_slack_ms":200,"config_apply_ms":2000,"#,
        r#""rollback_slack_ms":250,"outer_ms":5000,"strict_revoke":false,"revoke_ms":5000,"#,
        r#""retry_budget":0.8,"budget_window_s":10,"budget_extra":150,"recover_s":12,"#,
        r#""pass_ms":120,"again_s":7.2"#
    ),
};

const MANIFEST: &str = concat!(
    r#"{"version":1,"routes":[{"name":"r-draft","host":"ficu95.example","path_prefix":"/draft/","#,
    r#""kind":"stream","timeout_ms":25000,"target_latency_ms":4500,"priority":1,"#,
    r#""service":"huvo11a","max_attempts":5,"anonymous":false,"session_affinity":true,"#,
    r#""resumable":true,"gap_aim_ms":700}],"services":[{"name":"huvo11a","#,
    r#""health_path":"/health","max_conns":370,"protocol":"h1","tls":false,"engine":{"slots":64,"#,
    r#""kv_cap_tokens":88000,"kv_token_bytes":163840,"link_mbps":180000.0,"moves":true,"#,
    r#""backups":true,"stride":6,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":4.0,"#,
    r#""models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"#,
    r#""header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"hule930","#,
    r#""api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}"#
);

struct Seen {
    status: u16,
    is_whole: bool,
}

/// Sends a stream's request on a new channel and reads what comes.
fn ask(front: SocketAddr, id: &str) -> Option<Seen> {
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(26))).ok()?;
    let body = "plans";
    let request = format!(
        "POST /draft/{id} HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: {id}\r\nModel: m\r\nToken-Count: 14000,900\r\nPrompt-Prefix: {id}:14000\r\nDeadline-Ms: 25000\r\nCredential: n2ctnfzs989anu6wsjnb\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut bytes = Vec::new();
    let mut piece = [0u8; 16 * 1024];
    while !bytes.ends_with(b"0\r\n\r\n") {
        match stream.read(&mut piece) {
            Ok(count) if count > 0 => bytes.extend_from_slice(&piece[..count]),
            // What had come before counts as well.
            _ => break,
        }
        if let Some(end) = find(&bytes, b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
            let length = head.split("content-length:").nth(1);
            let length = length.and_then(|it| it.split("\r\n").next()?.trim().parse::<usize>().ok());
            if length.is_some_and(|length| bytes.len() >= end + 4 + length) {
                break;
            }
        }
    }
    let end = find(&bytes, b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    Some(Seen {
        status: head.split(' ').nth(1)?.parse().ok()?,
        is_whole: bytes.ends_with(b"0\r\n\r\n"),
    })
}

/// A sound engine's answer to a stream.
fn answer(id: &str, request: &Request, stream: &mut TcpStream) -> bool {
    thread::sleep(Duration::from_millis(120));
    let pace_ms = if request.path().contains("long") { 80 } else { 10 };
    let after: u64 = request
        .header("Last-Event-Id")
        .and_then(|it| it.parse().ok())
        .unwrap_or(0);
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {}\r\nResponse-Seal: {id}.{}\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        request.id(),
        request.id()
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    for number in after + 1..=EVENTS {
        let event = format!("id: {number}\ndata: part {number} of {}\n\n", request.id());
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if stream.write_all(chunk.as_bytes()).is_err() {
            return false;
        }
        thread::sleep(Duration::from_millis(pace_ms));
    }
    stream.write_all(b"0\r\n\r\n").is_ok()
}

fn main() -> ExitCode {
    let record = Recorder::create(&std::env::args().nth(1).expect("the record's path"));
    let has_trouble = has_trouble();
    let deployment = Deployment::new(SHEET);
    let mut processes: Vec<Process> = Vec::new();
    for role in ["control", "relay"] {
        for machine in 1..=3 {
            let mut process = deployment.process(role, machine, true);
            process.start(&deployment, true);
            processes.push(process);
        }
    }
    let controls: Vec<SocketAddr> = (1..=3).map(|it| deployment.control(it)).collect();
    let began = Instant::now();
    let put = |address: &SocketAddr| {
        let answer = call(*address, "PUT", "/-/config", MANIFEST, Duration::from_secs(1));
        answer.is_some_and(|it| it.status == 200)
    };
    while !controls.iter().any(put) {
        if began.elapsed() > Duration::from_secs(20) {
            record.note("the manifest was not acknowledged");
            return ExitCode::from(2);
        }
        sleep_s(0.2);
    }
    let arrived: Arc<Mutex<HashSet<String>>> = Arc::default();
    let at_engine = Arc::clone(&arrived);
    let note_arrival = move |request: &Request| {
        at_engine.lock().unwrap().insert(request.id().to_owned());
    };
    let zone = SHEET.zones[0];
    let engine = Replica::start(
        &deployment.ip(20), "huvo11a", zone, 64, true, 1200, controls.clone(), note_arrival, answer,
    );
    sleep_s(3.0);
    let front = deployment.front(1);
    let lost: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut clients = Vec::new();
    let mut ask_later = |id: String| {
        let (record, lost, arrived) = (record.clone(), Arc::clone(&lost), Arc::clone(&arrived));
        clients.push(thread::spawn(move || {
            let sent = Instant::now();
            let seen = ask(front, &id);
            let after = sent.elapsed();
            let is_passed_on = arrived.lock().unwrap().contains(&id);
            record.note(&format!(
                "request {id}: {} after {:.2} s, at an engine {is_passed_on}",
                seen.as_ref().map_or("channel closed without an answer".to_owned(), |it| format!(
                    "{}, whole {}",
                    it.status, it.is_whole
                )),
                after.as_secs_f64()
            ));
            // Streams at an engine that was at work in the last sixth of the grace aren't counted.
            if seen.is_none() && !is_passed_on && after > LOSS_SLACK {
                lost.lock().unwrap().push(id);
            }
        }));
    };
    for number in 0..12 {
        ask_later(format!("short{number:03}"));
        sleep_s(0.25);
    }
    for number in 0..14 {
        ask_later(format!("long{number:03}"));
        sleep_s(0.2);
    }
    if has_trouble {
        record.note("planned: relay 1 is stopped by SIGTERM");
        processes[3].signal("TERM");
        processes[3].await_end(GRACE);
        record.note("relay 1 has ended");
    }
    for client in clients {
        let _ = client.join();
    }
    engine.stop();
    let lost = lost.lock().unwrap();
    if lost.is_empty() {
        record.note("held: every request that was read got an answer, or was at work at an engine");
        return ExitCode::SUCCESS;
    }
    record.note(&format!(
        "LOST: {} requests were read whole, sent to no engine, and lost their channel without an answer: {lost:?}",
        lost.len()
    ));
    ExitCode::from(1)
}
