//! A relay fetches documents over slow and failing links: only what changed, one version at a time.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use common::{Replica, node};
use masticsill_catalogue::{RequestLimits, RouteDocument, StoredDocument};
use masticsill_relay::{BudgetSettings, EngineCalls, HeaderNames, RelayConfig, RelayRole};
use masticsill_testkit::{Direction, ProxyMode};
use masticsill_types::MonotonicClock;
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum time from a change until it is active at the relay.
const ACTIVATION_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay of 64 KB in each direction of a slow link, which corresponds to 10 Mbit/s.
const LINK_DELAY_MS: u64 = 50;

/// A relay and its metrics registry.
struct Relay {
    registry: Registry,
    role: Option<RelayRole>,
}

impl Relay {
    fn start(replicas: &[&Replica]) -> Self {
        let mut registry = Registry::default();
        let seeds = replicas.iter().map(|it| it.proxy.address());
        let config = RelayConfig {
            body_buffer_bytes: 8 * 1024 * 1024,
            buffer_bytes: 8 * 1024 * 1024,
            retry_budget: BudgetSettings {
                extra: 10,
                ratio: 0.5,
                window_ms: 10_000,
            },
            control_seeds: seeds.collect(),
            engine_calls: Arc::new(EngineCalls::default()),
            grace_ms: 0,
            headers: Arc::new(HeaderNames::default()),
            listen_address: SocketAddr::from(([127, 0, 0, 1], 0)),
            node: node(),
            read_document,
            rollouts: None,
            zone: "near".parse().unwrap(),
        };
        let role = RelayRole::start(config, MonotonicClock::start(), &mut registry).unwrap();
        Self {
            registry,
            role: Some(role),
        }
    }

    /// Version of the active document.
    fn version(&self) -> u64 {
        let mut text = String::new();
        encode(&mut text, &self.registry).unwrap();
        let mut lines = text.lines();
        let shown = lines.find_map(|it| it.strip_prefix("masticsill_relay_document_version "));
        shown.unwrap().parse().unwrap()
    }

    fn wait_for_version(&self, version: u64) {
        let bound = Instant::now() + TEST_TIMEOUT;
        while self.version() < version {
            assert!(
                Instant::now() < bound,
                "version {version} did not become active within {TEST_TIMEOUT:?}"
            );
            sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if let Some(role) = self.role.take() {
            let _ = role.stop();
        }
    }
}

/// Parses a document whose version is the first word of its text.
fn read_document(bytes: &[u8]) -> Result<RouteDocument, String> {
    let version = bytes.split(|byte| *byte == b' ').next().unwrap_or_default();
    let version = str::from_utf8(version).map_err(|error| error.to_string())?;
    Ok(RouteDocument {
        limits: RequestLimits {
            body_bytes: 1_000,
            header_bytes: 1_000,
            header_timeout_ms: 1_000,
            idle_timeout_ms: 1_000,
        },
        routes: Vec::new(),
        services: Vec::new(),
        version: version.parse().map_err(|error| format!("{error}"))?,
        workspaces: None,
    })
}

/// A document of 8,000 entries that compress poorly, of which one changes with each version.
fn text(version: u64) -> String {
    let entry = |number: u64| {
        let salt = if number == 2_000 { version } else { 0 };
        let noise = (number + salt * 7_919).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let more = noise.rotate_left(29).wrapping_mul(0xD6E8_FEB8_6659_FD93);
        format!("{{\"{number}\": \"{noise:x}{more:x}, and the same words in every entry\"}}\n")
    };
    let entries: String = (0..8_000).map(entry).collect();
    format!("{version} {entries}")
}

#[test]
fn document_changes_become_active_in_time_over_slow_links() {
    let (near, far) = (Replica::start("near"), Replica::start("far"));
    let replicas = [&near, &far];
    for replica in replicas {
        replica.proxy.set_mode(ProxyMode::Delay(LINK_DELAY_MS));
        replica.apply(1, &text(1));
    }
    let relay = Relay::start(&replicas);
    relay.wait_for_version(1);
    let whole_bytes = near.sent_bytes() + far.sent_bytes();
    let mut times = Vec::new();
    for version in 2..10 {
        let changed = text(version);
        for replica in replicas {
            replica.apply(version, &changed);
        }
        let began = Instant::now();
        relay.wait_for_version(version);
        times.push(began.elapsed());
    }
    assert!(times.iter().all(|it| *it < ACTIVATION_TIMEOUT), "{times:?}");
    let bytes = near.sent_bytes() + far.sent_bytes() - whole_bytes;
    assert!(
        bytes < whole_bytes,
        "{bytes} bytes for 8 changes, {whole_bytes} for a whole document"
    );
}

#[test]
fn fetch_resumes_at_another_replica_when_one_falls_silent() {
    let (near, far) = (Replica::start("near"), Replica::start("far"));
    let replicas = [&near, &far];
    near.proxy.set_mode(ProxyMode::Delay(LINK_DELAY_MS));
    for replica in replicas {
        replica.apply(1, &text(1));
    }
    let relay = Relay::start(&[&near]);
    let bound = Instant::now() + TEST_TIMEOUT;
    while near.calls() < 4 {
        assert!(
            Instant::now() < bound,
            "fetch did not begin within {TEST_TIMEOUT:?}"
        );
        sleep(Duration::from_millis(1));
    }
    relay
        .role
        .as_ref()
        .unwrap()
        .add_control_addresses([far.proxy.address()]);
    near.proxy
        .set_mode(ProxyMode::BlackHole(Some(Direction::ToClient)));
    relay.wait_for_version(1);
    assert!(far.calls() > 0, "the far replica got no call for pieces");
    let whole: usize = {
        let alone = Replica::start("near");
        alone.apply(1, &text(1));
        let other = Relay::start(&[&alone]);
        other.wait_for_version(1);
        usize::try_from(alone.sent_bytes()).unwrap()
    };
    let far_bytes = usize::try_from(far.sent_bytes()).unwrap();
    assert!(
        far_bytes < whole,
        "the far replica sent {far_bytes} of {whole} bytes"
    );
}

#[test]
fn silent_replica_does_not_delay_a_version() {
    let (near, far) = (Replica::start("near"), Replica::start("far"));
    for replica in [&near, &far] {
        replica.apply(1, &text(1));
    }
    let relay = Relay::start(&[&near, &far]);
    relay.wait_for_version(1);
    for replica in [&near, &far] {
        replica.apply(2, &text(2));
    }
    // Nothing more is received from the near replica, whether or not it has already reported the
    // version.
    near.proxy
        .set_mode(ProxyMode::BlackHole(Some(Direction::ToClient)));
    let began = Instant::now();
    relay.wait_for_version(2);
    assert!(
        began.elapsed() < ACTIVATION_TIMEOUT,
        "{:?}",
        began.elapsed()
    );
}

#[test]
fn superseded_versions_are_skipped_before_their_fetch() {
    let near = Replica::start("near");
    near.proxy.set_mode(ProxyMode::Delay(LINK_DELAY_MS));
    near.apply(1, &text(1));
    let relay = Relay::start(&[&near]);
    relay.wait_for_version(1);
    let (before, calls) = (near.sent_bytes(), near.calls());
    // Packed first, so that the versions follow each other faster than one is fetched.
    let pack = |version| StoredDocument::pack(text(version).as_bytes(), version);
    let documents: Vec<StoredDocument> = (2..=40).map(pack).collect();
    for document in &documents {
        near.apply_packed(document);
    }
    relay.wait_for_version(40);
    assert!(near.calls() - calls < 20);
    assert!(near.sent_bytes() < before * 2);
}
