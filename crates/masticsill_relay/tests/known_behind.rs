//! A relay that knows of a newer document than its active one refuses no request for good.
//!
//! Guards against valid requests being answered 404 while a large document is being fetched: their
//! route was part of a version that had been acknowledged, and that the relay had heard of but not
//! fetched yet. Callers do not retry after a 404 or 401.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::{Replica, node};
use masticsill_catalogue::{RequestLimits, RouteDocument};
use masticsill_relay::{BudgetSettings, EngineCalls, HeaderNames, RelayConfig, RelayRole};
use masticsill_types::MonotonicClock;
use prometheus_client::registry::Registry;

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

fn start(replica: &Replica) -> RelayRole {
    let config = RelayConfig {
        body_buffer_bytes: 8 * 1024 * 1024,
        buffer_bytes: 8 * 1024 * 1024,
        retry_budget: BudgetSettings {
            extra: 10,
            ratio: 0.5,
            window_ms: 10_000,
        },
        control_seeds: vec![replica.proxy.address()],
        engine_calls: Arc::new(EngineCalls::default()),
        grace_ms: 0,
        headers: Arc::new(HeaderNames::default()),
        listen_address: SocketAddr::from(([127, 0, 0, 1], 0)),
        node: node(),
        read_document,
        rollouts: None,
        zone: "near".parse().unwrap(),
    };
    RelayRole::start(config, MonotonicClock::start(), &mut Registry::default()).unwrap()
}

/// A document without routes; its text is its version.
fn read_document(bytes: &[u8]) -> Result<RouteDocument, String> {
    let version = str::from_utf8(bytes).map_err(|error| error.to_string())?;
    Ok(RouteDocument {
        limits: RequestLimits {
            body_bytes: 1_000,
            header_bytes: 1_000,
            header_timeout_ms: 1_000,
            idle_timeout_ms: 1_000,
        },
        routes: Vec::new(),
        services: Vec::new(),
        version: version.trim().parse().map_err(|error| format!("{error}"))?,
        workspaces: None,
    })
}

/// Requests a route that no document has, and returns the response.
fn ask(relay: &RelayRole, time_ms: u64) -> String {
    let mut stream = TcpStream::connect(relay.address()).unwrap();
    let request = format!(
        "GET /unknown HTTP/1.1\r\nHost: shop.example\r\nX-Time-Left-Ms: {time_ms}\r\n\
         Connection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

fn wait_for_status(relay: &RelayRole, status: &str) -> String {
    let bound = Instant::now() + TEST_TIMEOUT;
    loop {
        let answer = ask(relay, 200);
        if answer.starts_with(status) {
            return answer;
        }
        assert!(
            Instant::now() < bound,
            "no answer {status} within {TEST_TIMEOUT:?}: {answer}"
        );
        thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn unknown_route_is_answered_503_while_a_newer_document_is_known() {
    let replica = Replica::start("near");
    replica.apply(1, "1");
    let relay = start(&replica);
    wait_for_status(&relay, "HTTP/1.1 404");
    replica.announce(2);
    let answer = wait_for_status(&relay, "HTTP/1.1 503");
    assert!(answer.to_lowercase().contains("retry-after"), "{answer}");
    replica.apply(2, "2");
    wait_for_status(&relay, "HTTP/1.1 404");
    let _ = relay.stop();
}

#[test]
fn unknown_route_waits_for_the_newer_document() {
    let replica = Replica::start("near");
    replica.apply(1, "1");
    let relay = start(&replica);
    wait_for_status(&relay, "HTTP/1.1 404");
    replica.announce(2);
    wait_for_status(&relay, "HTTP/1.1 503");
    thread::scope(|scope| {
        let asked = scope.spawn(|| ask(&relay, 20_000));
        thread::sleep(Duration::from_millis(300));
        replica.apply(2, "2");
        let answer = asked.join().unwrap();
        assert!(answer.starts_with("HTTP/1.1 404"), "{answer}");
    });
    let _ = relay.stop();
}
