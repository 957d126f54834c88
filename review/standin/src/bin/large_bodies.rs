//! Many users come at once, each with one request that is as long as the manifest allows.

use std::collections::HashSet;
use std::fs;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Barrier, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_standin::{
    call, has_trouble, read_answer, sleep_s, Deployment, Process, Recorder, Replica, Request, Sheet,
};

/// `sites/fwp-muc.toml`: 16 clients in a zone with two front machines, by a hash and so unevenly.
const USUAL_CLIENTS: usize = 9;
/// The same file: `burst` with x = 1.7 for 3 s.
const BURST_CLIENTS: usize = 15;
const ROUNDS: u64 = 3;
const ROUND_S: f64 = 1.3;
/// `max_body_bytes` of the manifest.
const BODY_BYTES: usize = 4_194_304;
const MEMORY_BYTES: u64 = 110 * 1024 * 1024;
const WORK: Duration = Duration::from_millis(15);

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
    r#"{"version":1,"routes":[{"name":"r-check","host":"ficu95.example","path_prefix":"/check/","#,
    r#""kind":"non_idempotent","timeout_ms":10000,"target_latency_ms":1000,"priority":2,"#,
    r#""service":"wuno96b","max_attempts":1,"anonymous":false}],"services":[{"name":"wuno96b","#,
    r#""health_path":"/health","max_conns":110,"protocol":"h1","tls":false}],"#,
    r#""limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"#,
    r#""idle_timeout_ms":15000},"tenants":[{"name":"hule930","#,
    r#""api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}"#
);

fn request(id: &str, body_bytes: usize) -> Vec<u8> {
    let head = format!(
        "POST /check/{id} HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 10000\r\nCredential: n2ctnfzs989anu6wsjnb\r\nContent-Length: {body_bytes}\r\n\r\n"
    );
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + body_bytes, b'p');
    bytes
}

/// What a process holds for itself, without pages of files.
fn held_bytes(process: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text.lines().find(|it| it.starts_with("RssAnon:"));
    let kib = line.and_then(|it| it.split_whitespace().nth(1)?.parse::<u64>().ok());
    kib.unwrap_or(0) * 1024
}

fn main() -> ExitCode {
    let record = Recorder::create(&std::env::args().nth(1).expect("the record's path"));
    let has_trouble = has_trouble();
    let deployment = Deployment::new(SHEET);
    let mut controls: Vec<Process> = Vec::new();
    let mut relays: Vec<Process> = Vec::new();
    for machine in 1..=3 {
        let mut control = deployment.process("control", machine, true);
        control.start(&deployment, true);
        controls.push(control);
        let mut relay = deployment.process("relay", machine, false);
        relay.start(&deployment, true);
        relays.push(relay);
    }
    let addresses: Vec<SocketAddr> = (1..=3).map(|it| deployment.control(it)).collect();
    let began = Instant::now();
    let put = |address: &SocketAddr| {
        let answer = call(*address, "PUT", "/-/config", MANIFEST, Duration::from_secs(1));
        answer.is_some_and(|it| it.status == 200)
    };
    while !addresses.iter().any(put) {
        if began.elapsed() > Duration::from_secs(20) {
            record.note("the manifest was not acknowledged");
            return ExitCode::from(2);
        }
        sleep_s(0.2);
    }
    let runs: Arc<Mutex<HashSet<String>>> = Arc::default();
    let replicas: Vec<Replica> = (0u8..3)
        .map(|number| {
            let runs = Arc::clone(&runs);
            let arrived = move |request: &Request| {
                runs.lock().unwrap().insert(request.id().to_owned());
            };
            let serve = |id: &str, request: &Request, stream: &mut TcpStream| {
                thread::sleep(WORK);
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Seal: {id}.{}\r\nContent-Length: 4\r\n\r\ndone",
                    request.id(),
                    request.id()
                );
                stream.write_all(answer.as_bytes()).is_ok()
            };
            let zone = SHEET.zones[usize::from(number)];
            let ip = deployment.ip(20 + number);
            Replica::start(&ip, "wuno96b", zone, 6, false, 1200, addresses.clone(), arrived, serve)
        })
        .collect();
    sleep_s(3.0);

    let clients = if has_trouble { BURST_CLIENTS } else { USUAL_CLIENTS };
    let front = deployment.front(1);
    let gate = Arc::new(Barrier::new(clients + 1));
    let lost: Arc<Mutex<Vec<String>>> = Arc::default();
    let served = Arc::new(Mutex::new(0u32));
    let threads: Vec<_> = (0..clients)
        .map(|client| {
            let (gate, lost, served) = (Arc::clone(&gate), Arc::clone(&lost), Arc::clone(&served));
            let (record, runs) = (record.clone(), Arc::clone(&runs));
            thread::spawn(move || {
                let mut channel: Option<TcpStream> = None;
                for round in 0..=ROUNDS {
                    gate.wait();
                    if channel.is_none() {
                        channel = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok();
                    }
                    let Some(stream) = channel.as_mut() else { continue };
                    let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
                    let id = format!("{:08x}{round:08x}", 0x9c41_0000 + client);
                    // The first one is short; it leaves a kept channel.
                    let body_bytes = if round == 0 { 600 } else { BODY_BYTES };
                    let is_sent = stream.write_all(&request(&id, body_bytes)).is_ok();
                    let answer = if is_sent { read_answer(stream) } else { None };
                    let status = answer.as_ref().map(|it| it.status);
                    let has_run = runs.lock().unwrap().contains(&id);
                    record.detail(&format!(
                        "client {client}: {id}, {body_bytes} bytes, sent {is_sent}: {status:?}, at a replica {has_run}"
                    ));
                    if status == Some(200) {
                        *served.lock().unwrap() += 1;
                    }
                    if status.is_none() {
                        if has_run {
                            lost.lock().unwrap().push(id);
                        }
                        channel = None;
                    }
                }
            })
        })
        .collect();

    // The platform kills a process that uses more than its memory, and starts it again.
    let is_over = Arc::new(AtomicBool::new(false));
    let platform = {
        let (is_over, record) = (Arc::clone(&is_over), record.clone());
        thread::spawn(move || {
            let (mut most, mut kills) = (0, 0u32);
            while !is_over.load(Ordering::Relaxed) {
                let held = relays[0].id().map_or(0, held_bytes);
                most = most.max(held);
                if held > MEMORY_BYTES {
                    relays[0].kill();
                    kills += 1;
                    let held = held / 1024 / 1024;
                    record.note(&format!("platform: relay 1 uses {held} MB of its 110 MB; it is killed"));
                    sleep_s(0.4);
                    relays[0].start(&deployment, false);
                }
                thread::sleep(Duration::from_millis(2));
            }
            (most, kills)
        })
    };
    gate.wait();
    sleep_s(1.0);
    if *served.lock().unwrap() != u32::try_from(clients).unwrap() {
        record.note("the first, short requests were not all served");
        return ExitCode::from(2);
    }
    if has_trouble {
        record.note(&format!("disruption: {BURST_CLIENTS} users come at once instead of {USUAL_CLIENTS} (burst, 1.7)"));
    }
    for round in 1..=ROUNDS {
        record.note(&format!("round {round}: {clients} clients send {BODY_BYTES} bytes each on kept channels"));
        gate.wait();
        sleep_s(ROUND_S);
    }
    for thread in threads {
        let _ = thread.join();
    }
    is_over.store(true, Ordering::Relaxed);
    let (most, kills) = platform.join().unwrap();
    for replica in &replicas {
        replica.stop();
    }
    let lost = lost.lock().unwrap();
    record.note(&format!(
        "{} requests answered 200; the relay used {} MB at most; killed {kills} times; {} requests that had been passed on to a sound replica lost their channel without an answer",
        served.lock().unwrap(),
        most / 1024 / 1024,
        lost.len()
    ));
    if lost.len() > 3 {
        record.note(&format!("LOST: {:?}", lost));
        return ExitCode::from(1);
    }
    ExitCode::SUCCESS
}
