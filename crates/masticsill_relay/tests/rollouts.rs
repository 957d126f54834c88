//! A relay sends each request to a version that an order allows, and reports how versions answer.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::endpoint::{Behavior, EVENTS, Endpoint};
use common::{Replica, node};
use masticsill_catalogue::{
    EngineTraits, RequestLimits, Route, RouteDocument, RouteKind, ServiceEntry, ServiceShare,
};
use masticsill_registry::EndpointState;
use masticsill_relay::{
    BudgetSettings, EngineCalls, HeaderNames, RelayConfig, RelayRole, RelayRolloutConfig,
};
use masticsill_rollout::{
    ArmEvidence, Phase, RollbackCause, RolloutNumber, RouteEvidence, ServingRollout,
};
use masticsill_testkit::ProxyMode;
use masticsill_types::MonotonicClock;
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const HOLD_MS: u64 = 1_500;
const PLAIN: &str = "plain";
const ENGINES: &str = "engines";

/// A document with all routes; its text is its version.
fn document(bytes: &[u8]) -> Result<RouteDocument, String> {
    let version = str::from_utf8(bytes).map_err(|error| error.to_string())?;
    let route = |name: &str, kind, service: &str| Route {
        target_event_gap_ms: None,
        host: "shop.example".to_owned(),
        is_anonymous: true,
        is_resumable: true,
        kind,
        max_attempts: 3,
        name: name.to_owned(),
        path_prefix: format!("/{name}/"),
        priority: 0,
        services: vec![ServiceShare {
            service: service.to_owned(),
            weight: 1,
        }],
        target_latency_ms: 2_000,
        timeout_ms: 10_000,
    };
    let service = |name: &str, engine| ServiceEntry {
        engine,
        health_path: "/health".to_owned(),
        max_connections: None,
        name: name.to_owned(),
    };
    let engine = EngineTraits {
        supports_kv_backup: false,
        kv_cache_tokens: 100_000,
        slots: 32,
    };
    Ok(RouteDocument {
        limits: RequestLimits {
            body_bytes: 1_000,
            header_bytes: 1_000,
            header_timeout_ms: 1_000,
            idle_timeout_ms: 1_000,
        },
        routes: vec![
            route("first", RouteKind::Idempotent, PLAIN),
            route("second", RouteKind::NonIdempotent, PLAIN),
            route("stream", RouteKind::Stream, ENGINES),
        ],
        services: vec![service(PLAIN, None), service(ENGINES, Some(engine))],
        version: version.trim().parse().map_err(|error| format!("{error}"))?,
        workspaces: None,
    })
}

fn start(replicas: &[&Replica], registry: &mut Registry) -> RelayRole {
    let config = RelayConfig {
        body_buffer_bytes: 8 * 1024 * 1024,
        buffer_bytes: 8 * 1024 * 1024,
        retry_budget: BudgetSettings {
            extra: 100,
            ratio: 0.5,
            window_ms: 10_000,
        },
        control_seeds: replicas.iter().map(|it| it.proxy.address()).collect(),
        engine_calls: Arc::new(EngineCalls::default()),
        grace_ms: 0,
        headers: Arc::new(HeaderNames::default()),
        listen_address: SocketAddr::from(([127, 0, 0, 1], 0)),
        node: node(),
        read_document: document,
        rollouts: Some(RelayRolloutConfig { hold_ms: HOLD_MS }),
        zone: "near".parse().unwrap(),
    };
    RelayRole::start(config, MonotonicClock::start(), registry).unwrap()
}

/// A relay with one replica that leads, and endpoints of two versions.
struct Fixture {
    new: Endpoint,
    old: Endpoint,
    registry: Registry,
    relay: Option<RelayRole>,
    replica: Replica,
    service: &'static str,
    step: u32,
}

impl Fixture {
    fn without_relay(service: &'static str) -> Self {
        let replica = Replica::start("near");
        replica.apply(1, "1");
        replica.set_leading(true);
        Self {
            new: Endpoint::start("n1", "v2"),
            old: Endpoint::start("e1", "v1"),
            registry: Registry::default(),
            relay: None,
            replica,
            service,
            step: 0,
        }
    }

    /// Starts with the old endpoint only. The new one is registered once the relay knows the order.
    fn start(service: &'static str, phase: Phase) -> Self {
        let mut fixture = Self::without_relay(service);
        fixture.register(EndpointState::Ready, None);
        fixture.start_relay();
        fixture.wait_for_answer();
        fixture.advance(phase);
        // A relay reports evidence as soon as it knows a roll-out.
        wait_until("the relay knows the roll-out", || {
            !fixture.replica.evidence().is_empty()
        });
        fixture.register(EndpointState::Ready, Some(EndpointState::Ready));
        fixture.wait_for_ready(2);
        fixture
    }

    fn start_relay(&mut self) {
        self.relay = Some(start(&[&self.replica], &mut self.registry));
    }

    /// Waits until the relay knows a number of ready endpoints.
    fn wait_for_ready(&self, count: usize) {
        let line = format!("masticsill_relay_endpoints{{state=\"ready\"}} {count}");
        wait_until("the relay knows the endpoints", || {
            let mut text = String::new();
            encode(&mut text, &self.registry).unwrap();
            text.lines().any(|it| it == line)
        });
    }

    /// Waits until an answer comes from a version.
    fn wait_for_version(&self, version: &str) {
        let header = format!("X-Version: {version}");
        wait_until("the version answers", || {
            self.ask(self.path()).contains(&header)
        });
    }

    fn register(&self, old: EndpointState, new: Option<EndpointState>) {
        let mut records = vec![self.old.record(self.service, old)];
        records.extend(new.map(|state| self.new.record(self.service, state)));
        self.replica.report_endpoints(records);
    }

    /// Reports the next step of the roll-out.
    fn advance(&mut self, phase: Phase) {
        self.step += 1;
        self.replica.report_rollouts(vec![ServingRollout {
            number: RolloutNumber(7),
            phase,
            service: self.service.to_owned(),
            step: self.step,
            target: "v2".to_owned(),
        }]);
    }

    fn wait_for_answer(&self) {
        wait_until("the relay answers", || {
            self.ask(self.path()).starts_with("HTTP/1.1 200")
        });
    }

    fn path(&self) -> &'static str {
        if self.service == PLAIN {
            "/first/"
        } else {
            "/stream/"
        }
    }

    fn ask(&self, path: &str) -> String {
        ask_at(self.relay.as_ref().unwrap().address(), path)
    }

    /// Number of answers of the target among `count` requests; all must succeed.
    fn answers_of_target(&self, count: usize) -> usize {
        let answers = (0..count).map(|_| self.ask(self.path()));
        let of_target = answers.filter(|answer| {
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
            answer.contains("X-Version: v2")
        });
        of_target.count()
    }

    /// The latest evidence of a route, once it satisfies a condition.
    fn wait_for_evidence(
        &self,
        route: &str,
        is_expected: impl Fn(&RouteEvidence) -> bool,
    ) -> RouteEvidence {
        let bound = Instant::now() + TEST_TIMEOUT;
        loop {
            let reports = self.replica.evidence();
            let latest = reports.iter().max_by_key(|it| it.sequence);
            let evidence = latest.and_then(|report| report.routes.get(route).cloned());
            if let Some(evidence) = evidence.filter(&is_expected) {
                assert_eq!(latest.unwrap().number, RolloutNumber(7));
                return evidence;
            }
            assert!(Instant::now() < bound, "{latest:?}");
            thread::sleep(Duration::from_millis(20));
        }
    }
}

fn wait_until(what: &str, mut is_so: impl FnMut() -> bool) {
    let bound = Instant::now() + TEST_TIMEOUT;
    while !is_so() {
        assert!(
            Instant::now() < bound,
            "not within {TEST_TIMEOUT:?}: {what}"
        );
        thread::sleep(Duration::from_millis(20));
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        if let Some(relay) = self.relay.take() {
            let _ = relay.stop();
        }
    }
}

fn canary(share_permille: u16) -> Phase {
    Phase::Canary { share_permille }
}

/// Number of latencies in a histogram that are longer than about 128 ms.
fn slow(arm: &ArmEvidence) -> u64 {
    let mut fast = masticsill_rollout::LatencyHistogram::default();
    fast.note(127);
    let position = fast.counts().iter().position(|count| *count > 0).unwrap();
    arm.latency.count_from(position + 1)
}

/// Guards against a share that is not kept: more exposure, or too little evidence.
#[test]
fn canary_gets_about_its_share() {
    let fixture = Fixture::start(PLAIN, canary(200));
    let of_target = fixture.answers_of_target(400);
    // The expected number is 80, with a standard deviation of 8.
    assert!((40..=120).contains(&of_target), "{of_target}");
}

#[test]
fn canary_without_a_share_gets_nothing() {
    let fixture = Fixture::start(PLAIN, canary(0));
    assert_eq!(fixture.answers_of_target(50), 0);
    assert_eq!(fixture.new.requests(), 0);
}

/// Guards against a relay whose leader is lost and that keeps sending to the target.
#[test]
fn lost_leader_ends_the_targets_share_until_one_leads_again() {
    let fixture = Fixture::start(PLAIN, Phase::Finishing);
    assert_eq!(fixture.answers_of_target(20), 20);
    fixture.replica.set_leading(false);
    fixture.wait_for_version("v1");
    assert_eq!(fixture.answers_of_target(20), 0);
    fixture.replica.set_leading(true);
    fixture.wait_for_version("v2");
    assert_eq!(fixture.answers_of_target(20), 20);
}

/// Guards against a relay that is cut off from control and keeps sending to the target.
#[test]
fn cut_off_relay_sends_nothing_to_the_target() {
    let fixture = Fixture::start(PLAIN, canary(1_000));
    assert_eq!(fixture.answers_of_target(20), 20);
    fixture.replica.proxy.set_mode(ProxyMode::Cut);
    fixture.wait_for_version("v1");
    assert_eq!(fixture.answers_of_target(20), 0);
}

/// Guards against a relay that restarts while a follower knows the roll-out but nobody leads.
#[test]
fn restarted_relay_sends_nothing_to_the_target_without_a_leader() {
    let mut fixture = Fixture::without_relay(PLAIN);
    fixture.replica.set_leading(false);
    fixture.register(EndpointState::Ready, Some(EndpointState::Ready));
    fixture.advance(canary(1_000));
    fixture.start_relay();
    fixture.wait_for_answer();
    assert_eq!(fixture.answers_of_target(30), 0);
    assert_eq!(fixture.new.requests(), 0);
}

/// Guards against requests to a version whose order has not reached this relay.
#[test]
fn version_without_an_order_gets_nothing_at_first() {
    let mut fixture = Fixture::without_relay(PLAIN);
    fixture.register(EndpointState::Ready, None);
    fixture.start_relay();
    fixture.wait_for_answer();
    fixture.register(EndpointState::Ready, Some(EndpointState::Ready));
    let appeared = Instant::now();
    fixture.wait_for_ready(2);
    fixture.wait_for_version("v2");
    // Once the hold time is over, no order limits either version.
    assert!(appeared.elapsed() >= Duration::from_millis(HOLD_MS));
}

#[test]
fn rolled_back_version_gets_nothing() {
    let mut fixture = Fixture::start(PLAIN, canary(1_000));
    assert_eq!(fixture.answers_of_target(10), 10);
    fixture.advance(Phase::RolledBack(RollbackCause::Failures));
    fixture.wait_for_version("v1");
    let before = fixture.new.requests();
    assert_eq!(fixture.answers_of_target(30), 0);
    assert_eq!(fixture.new.requests(), before);
}

/// Guards against failed requests when the old endpoints stop without draining at a completion.
#[test]
fn completion_survives_the_stop_of_the_old_endpoints() {
    let mut fixture = Fixture::start(PLAIN, Phase::Finishing);
    assert_eq!(fixture.answers_of_target(20), 20);
    fixture.advance(Phase::Completed);
    fixture.old.stop();
    assert_eq!(fixture.answers_of_target(20), 20);
    fixture.register(EndpointState::Gone, Some(EndpointState::Ready));
    fixture.wait_for_ready(1);
    assert_eq!(fixture.answers_of_target(20), 20);
}

/// Guards against refusals when the relay has not learned of the completion: the old endpoints are
/// gone, and the roll-out looks as if it were still in its canary phase.
#[test]
fn target_is_used_once_the_old_endpoints_are_gone() {
    let fixture = Fixture::start(PLAIN, canary(0));
    fixture.old.stop();
    fixture.register(EndpointState::Gone, Some(EndpointState::Ready));
    fixture.wait_for_ready(1);
    assert_eq!(fixture.answers_of_target(20), 20);
}

fn ask_at(address: SocketAddr, path: &str) -> String {
    ask_with(address, path, "")
}

/// Asks with further header lines.
fn ask_with(address: SocketAddr, path: &str, headers: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: shop.example\r\nX-Time-Left-Ms: 8000\r\n\
         {headers}Connection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).unwrap();
    let mut answer = String::new();
    // A cut stream may end with a reset.
    let _ = stream.read_to_string(&mut answer);
    answer
}

/// Guards against a relay that is cut off from control and refuses all requests once the old
/// endpoints have stopped: it can't learn of the completion, and they stay registered there.
#[test]
fn cut_off_relay_uses_the_target_once_old_endpoints_refuse_connections() {
    let fixture = Fixture::start(PLAIN, canary(1_000));
    let more_old = ["e2", "e3", "e4", "e5"].map(|name| Endpoint::start(name, "v1"));
    let all = more_old.iter().chain([&fixture.old, &fixture.new]);
    let records = all.map(|it| it.record(PLAIN, EndpointState::Ready));
    fixture.replica.report_endpoints(records.collect());
    fixture.wait_for_ready(6);
    fixture.replica.proxy.set_mode(ProxyMode::Cut);
    fixture.wait_for_version("v1");
    assert_eq!(fixture.answers_of_target(20), 0);
    for old in more_old.iter().chain([&fixture.old]) {
        old.stop();
    }
    // Connections that were open may be lost with a request on them.
    wait_until("the target answers", || {
        fixture.ask("/first/").contains("X-Version: v2")
    });
    assert_eq!(fixture.answers_of_target(20), 20);
}

/// The versions of a stream's events, and their numbers.
fn events(answer: &str) -> (Vec<&str>, Vec<u64>) {
    let data = answer.lines().filter_map(|it| it.strip_prefix("data: "));
    let ids = answer.lines().filter_map(|it| it.strip_prefix("id: "));
    let ids = ids.map(|id| id.trim().parse().unwrap());
    (data.collect(), ids.collect())
}

/// Guards against an answer of two versions: a resumed stream has to stay on its side, although all
/// new streams go to the other one.
#[test]
fn resumed_stream_stays_on_its_version() {
    for (first, phase, later) in [
        ("v1", canary(0), Phase::Finishing),
        (
            "v2",
            Phase::Finishing,
            Phase::RolledBack(RollbackCause::Failures),
        ),
    ] {
        let mut fixture = Fixture::start(ENGINES, phase);
        let second_old = Endpoint::start("e2", "v1");
        let second_new = Endpoint::start("n2", "v2");
        let all = [&fixture.old, &second_old, &fixture.new, &second_new];
        let records = all.map(|it| it.record(ENGINES, EndpointState::Ready));
        fixture.replica.report_endpoints(records.to_vec());
        fixture.wait_for_ready(4);
        for endpoint in all {
            endpoint.set(Behavior {
                break_after: Some(EVENTS - 3),
                ..Behavior::default()
            });
        }
        let answer = thread::scope(|scope| {
            let (address, fixture) = (fixture.relay.as_ref().unwrap().address(), &mut fixture);
            let asked = scope.spawn(move || ask_at(address, "/stream/"));
            thread::sleep(Duration::from_millis(100));
            fixture.advance(later);
            asked.join().unwrap()
        });
        let (versions, ids) = events(&answer);
        assert_eq!(ids, (1..=EVENTS).collect::<Vec<_>>(), "{answer}");
        assert!(versions.iter().all(|it| *it == first), "{versions:?}");
        let sent: u32 = all_requests(&[&fixture.old, &second_old, &fixture.new, &second_new]);
        assert!(sent >= 2, "the stream was not resumed");
    }
}

fn all_requests(endpoints: &[&Endpoint]) -> u32 {
    endpoints.iter().map(|it| it.requests()).sum()
}

/// Guards against a stream that goes on at the other side because its own has gone, and against one
/// whose caller waits for it to the deadline.
#[test]
fn begun_stream_ends_at_once_when_its_version_is_gone() {
    let mut fixture = Fixture::start(ENGINES, canary(0));
    let began = Instant::now();
    let answer = thread::scope(|scope| {
        let address = fixture.relay.as_ref().unwrap().address();
        let asked = scope.spawn(move || ask_at(address, "/stream/"));
        thread::sleep(Duration::from_millis(100));
        fixture.advance(Phase::Completed);
        fixture.register(EndpointState::Gone, Some(EndpointState::Ready));
        fixture.old.stop();
        asked.join().unwrap()
    });
    let (versions, ids) = events(&answer);
    let count = ids.len() as u64;
    assert_eq!(ids, (1..=count).collect::<Vec<_>>(), "{answer}");
    assert!((1..EVENTS).contains(&count), "{answer}");
    assert!(versions.iter().all(|it| *it == "v1"), "{versions:?}");
    assert!(
        !answer.ends_with("0\r\n\r\n"),
        "a cut stream looks complete"
    );
    assert!(began.elapsed() < Duration::from_secs(5));
    // The new version serves new streams.
    assert_eq!(fixture.answers_of_target(5), 5);
    assert_eq!(fixture.new.requests(), 5);
}

/// Guards against requests to a bad version, long after its roll-back, for streams that it began.
#[test]
fn begun_stream_leaves_a_version_that_was_rolled_back() {
    let mut fixture = Fixture::start(ENGINES, Phase::Finishing);
    let address = fixture.relay.as_ref().unwrap().address();
    let first = ask_with(address, "/stream/", "X-Request-Id: a\r\n");
    assert!(first.contains("X-Version: v2"), "{first}");
    let continued = "X-Request-Id: b\r\nX-Resumes: a\r\nLast-Event-ID: 4\r\n";
    fixture.advance(Phase::RolledBack(RollbackCause::Failures));
    let at_once = ask_with(address, "/stream/", continued);
    let (versions, ids) = events(&at_once);
    assert_eq!(ids, (5..=EVENTS).collect::<Vec<_>>(), "{at_once}");
    assert!(versions.iter().all(|it| *it == "v2"), "{versions:?}");
    wait_until("the stream is refused", || {
        ask_with(address, "/stream/", continued).starts_with("HTTP/1.1 503")
    });
    let requests = fixture.new.requests();
    for _ in 0..3 {
        let answer = ask_with(address, "/stream/", continued);
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    }
    assert_eq!(fixture.new.requests(), requests);
}

/// Guards against reservations at engines that the request must not be sent to.
#[test]
fn reservations_are_limited_to_the_versions_of_the_request() {
    let fixture = Fixture::start(ENGINES, Phase::Finishing);
    assert_eq!(fixture.answers_of_target(1), 1);
    let asked = fixture.replica.reservations();
    let versions = &asked.last().unwrap().versions;
    assert!(versions.allows("v2") && !versions.allows("v1"));
}

/// Guards against failures that the leader doesn't learn of, or that count for the wrong side or
/// route.
#[test]
fn evidence_counts_failures_by_side_and_route() {
    let fixture = Fixture::start(PLAIN, Phase::Finishing);
    fixture.new.set(Behavior {
        failing_path: Some("/second/".to_owned()),
        ..Behavior::default()
    });
    for _ in 0..5 {
        assert!(fixture.ask("/first/").starts_with("HTTP/1.1 200"));
        assert!(fixture.ask("/second/").starts_with("HTTP/1.1 500"));
    }
    let second = fixture.wait_for_evidence("second", |it| it.target.answered == 5);
    assert_eq!((second.target.sent, second.target.failed), (5, 5));
    assert_eq!(second.target.latency.counts().iter().sum::<u32>(), 0);
    assert_eq!(second.old.sent, 0);
    let first = fixture.wait_for_evidence("first", |it| it.target.answered >= 5);
    assert_eq!(first.target.failed, 0);
    assert_eq!(
        u64::from(first.target.latency.counts().iter().sum::<u32>()),
        first.target.answered
    );
}

#[test]
fn evidence_counts_slow_answers() {
    let fixture = Fixture::start(PLAIN, Phase::Finishing);
    fixture.new.set(Behavior {
        delay_ms: 300,
        ..Behavior::default()
    });
    assert_eq!(fixture.answers_of_target(3), 3);
    let first = fixture.wait_for_evidence("first", |it| it.target.answered >= 3);
    assert!(slow(&first.target) >= 3, "{first:?}");
    assert_eq!(slow(&first.old), 0, "{first:?}");
}

/// Guards against a version whose slowest answers don't count, because the relay repeats these
/// requests elsewhere.
#[test]
fn evidence_counts_requests_that_were_given_up_as_slow() {
    let fixture = Fixture::start(PLAIN, Phase::Finishing);
    let other = Endpoint::start("n2", "v2");
    let all = [&fixture.old, &fixture.new, &other];
    let records = all.map(|it| it.record(PLAIN, EndpointState::Ready));
    fixture.replica.report_endpoints(records.to_vec());
    fixture.wait_for_ready(3);
    fixture.new.set(Behavior {
        delay_ms: 4_000,
        ..Behavior::default()
    });
    wait_until("the slow endpoint is chosen", || {
        assert!(fixture.ask("/first/").starts_with("HTTP/1.1 200"));
        fixture.new.requests() > 0
    });
    let first = fixture.wait_for_evidence("first", |it| slow(&it.target) > 0);
    assert_eq!(first.target.failed, 0);
}

/// Guards against old requests that are judged by what happened before the order, also if they are
/// sent once more after it.
#[test]
fn evidence_leaves_out_requests_from_before_the_roll_out() {
    let mut fixture = Fixture::without_relay(PLAIN);
    let other = Endpoint::start("e2", "v1");
    let all = [&fixture.old, &other];
    let records = all.map(|it| it.record(PLAIN, EndpointState::Ready));
    fixture.replica.report_endpoints(records.to_vec());
    fixture.start_relay();
    fixture.wait_for_answer();
    fixture.wait_for_ready(2);
    for endpoint in [&fixture.old, &other] {
        endpoint.set(Behavior {
            delay_ms: 800,
            failing_path: Some("/first/".to_owned()),
            ..Behavior::default()
        });
    }
    let before = all_requests(&[&fixture.old, &other]);
    let address = fixture.relay.as_ref().unwrap().address();
    thread::scope(|scope| {
        let asked = scope.spawn(move || ask_at(address, "/first/"));
        wait_until("the request runs", || {
            all_requests(&[&fixture.old, &other]) > before
        });
        fixture.advance(canary(0));
        wait_until("the relay knows the roll-out", || {
            !fixture.replica.evidence().is_empty()
        });
        assert!(asked.join().unwrap().starts_with("HTTP/1.1 500"));
    });
    assert_eq!(all_requests(&[&fixture.old, &other]), before + 2);
    assert!(fixture.ask("/second/").starts_with("HTTP/1.1 200"));
    fixture.wait_for_evidence("second", |it| it.old.answered > 0);
    let reports = fixture.replica.evidence();
    assert!(reports.iter().all(|it| !it.routes.contains_key("first")));
}

/// Guards against a stream that breaks after its first event and counts as good.
#[test]
fn evidence_counts_a_broken_stream_as_failed() {
    let fixture = Fixture::start(ENGINES, Phase::Finishing);
    fixture.new.set(Behavior {
        break_after: Some(3),
        ..Behavior::default()
    });
    let (_, ids) = events(&fixture.ask("/stream/"));
    assert_eq!(ids.len() as u64, EVENTS);
    let stream = fixture.wait_for_evidence("stream", |it| {
        let arms = [&it.old, &it.target];
        it.target.failed > 0 && arms.iter().map(|arm| arm.answered).sum::<u64>() >= 2
    });
    assert_eq!(stream.target.failed, 1);
    // The resumed run begins in the middle, so that its first event says nothing.
    let arms = [&stream.old, &stream.target];
    let latencies = arms.iter().flat_map(|arm| arm.latency.counts());
    assert_eq!(latencies.sum::<u32>(), 1, "{stream:?}");
}

/// Guards against evidence that is lost with a leader.
#[test]
fn new_leader_gets_all_evidence() {
    let first = Replica::start("near");
    let mut fixture = Fixture::without_relay(PLAIN);
    first.apply(1, "1");
    fixture.register(EndpointState::Ready, Some(EndpointState::Ready));
    fixture.advance(canary(0));
    let replicas = [&fixture.replica, &first];
    fixture.relay = Some(start(&replicas, &mut fixture.registry));
    fixture.wait_for_answer();
    assert_eq!(fixture.answers_of_target(5), 0);
    let before = fixture.wait_for_evidence("first", |it| it.old.answered >= 5);
    assert!(first.evidence().is_empty());
    fixture.replica.set_leading(false);
    first.set_leading(true);
    wait_until("the new leader has a report", || {
        !first.evidence().is_empty()
    });
    let reports = first.evidence();
    assert!(reports[0].routes["first"].old.answered >= before.old.answered);
}

/// Guards against a leader that takes old requests in flight for finished ones.
#[test]
fn evidence_contains_requests_in_flight_at_old_endpoints() {
    let fixture = Fixture::start(PLAIN, canary(0));
    fixture.old.set(Behavior {
        delay_ms: 1_000,
        ..Behavior::default()
    });
    let in_flight = || {
        let reports = fixture.replica.evidence();
        let latest = reports.iter().max_by_key(|it| it.sequence);
        latest.map_or(0, |it| it.old_in_flight)
    };
    thread::scope(|scope| {
        let asked = scope.spawn(|| fixture.ask("/second/"));
        wait_until("the request is reported", || in_flight() == 1);
        asked.join().unwrap();
    });
    wait_until("its end is reported", || in_flight() == 0);
}
