//! The proxy's modes, between a caller and a fake engine or service.

use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use masticsill_testkit::{
    Caller, CallerError, CallerRequest, CallerStream, Direction, EngineSettings, FakeEngine,
    FakeService, FaultProxy, ProxyMode, ServiceSettings, model_target, wait_until,
};
use serde_json::json;

const BOUND_MS: u64 = 20_000;
/// How long the tests listen to a silent connection.
const SILENCE_MS: u64 = 100;

struct Rig {
    caller: Caller,
    proxy: FaultProxy,
    service: FakeService,
}

fn rig() -> Rig {
    let service = FakeService::start(ServiceSettings::default()).unwrap();
    Rig {
        caller: Caller::start().unwrap(),
        proxy: FaultProxy::start(Some(service.address())).unwrap(),
        service,
    }
}

impl Rig {
    fn call(&self, bound_ms: u64) -> Result<u16, CallerError> {
        let request = CallerRequest::post(self.proxy.address(), "/order", &json!({"tiles": 2}));
        let answer = self.caller.call(request, bound_ms)?;
        Ok(answer.status)
    }
}

fn open_stream(caller: &Caller, engine: &FakeEngine, proxy: &FaultProxy) -> CallerStream {
    let target = model_target("draft", "v1");
    let body = json!({
        "adapter": null, "max_tokens": 1_000_000, "model": target.model, "priority": 0,
        "prompt": "tiles", "request_id": "one", "resume_token_ids": [], "seed": 1,
        "stream": true, "temperature": 1.0, "top_p": 1.0, "version": target.version,
    });
    let request = CallerRequest::post(proxy.address(), "/v1/completions", &body);
    let mut stream = caller.open(request, BOUND_MS).unwrap();
    assert_eq!(next_index(&mut stream), 0);
    assert_eq!(engine.stats().running, 1);
    stream
}

fn next_index(stream: &mut CallerStream) -> u64 {
    let event = stream.next_event(BOUND_MS).unwrap().unwrap();
    event.json()["index"].as_u64().unwrap()
}

fn engine_behind_proxy() -> (Caller, FakeEngine, FaultProxy) {
    let settings = EngineSettings {
        step_ms: 2,
        ..EngineSettings::default()
    };
    let engine = FakeEngine::start(settings).unwrap();
    let proxy = FaultProxy::start(Some(engine.address())).unwrap();
    (Caller::start().unwrap(), engine, proxy)
}

#[test]
fn pass_changes_nothing() {
    assert_eq!(rig().call(BOUND_MS), Ok(200));
}

#[test]
fn black_hole_holds_a_stream_and_loses_no_byte() {
    let (caller, engine, proxy) = engine_behind_proxy();
    let mut stream = open_stream(&caller, &engine, &proxy);
    proxy.set_mode(ProxyMode::BlackHole(None));
    let mut next = 1;
    let is_silent = |stream: &mut CallerStream, next: &mut u64| loop {
        match stream.next_event(SILENCE_MS) {
            Ok(_) => *next += 1,
            Err(error) => return error == CallerError::TimedOut(SILENCE_MS),
        }
    };
    assert!(is_silent(&mut stream, &mut next));
    proxy.set_mode(ProxyMode::Pass);
    for index in next..next + 200 {
        assert_eq!(next_index(&mut stream), index);
    }
}

#[test]
fn black_hole_towards_the_client_lets_requests_through() {
    let rig = rig();
    rig.proxy
        .set_mode(ProxyMode::BlackHole(Some(Direction::ToClient)));
    assert_eq!(rig.call(SILENCE_MS), Err(CallerError::TimedOut(SILENCE_MS)));
    assert!(wait_until(BOUND_MS, || rig.service.stats().sequence == 1));
}

#[test]
fn black_hole_towards_the_upstream_holds_requests_until_released() {
    let rig = rig();
    rig.proxy
        .set_mode(ProxyMode::BlackHole(Some(Direction::ToUpstream)));
    std::thread::scope(|scope| {
        let call = scope.spawn(|| rig.call(BOUND_MS));
        assert!(!wait_until(SILENCE_MS, || rig.service.stats().sequence > 0));
        rig.proxy.set_mode(ProxyMode::Pass);
        assert_eq!(call.join().unwrap(), Ok(200));
    });
}

#[test]
fn reset_in_a_black_hole_drops_what_is_held() {
    let rig = rig();
    rig.proxy.set_mode(ProxyMode::BlackHole(None));
    assert_eq!(rig.call(SILENCE_MS), Err(CallerError::TimedOut(SILENCE_MS)));
    rig.proxy.reset();
    rig.proxy.set_mode(ProxyMode::Pass);
    assert_eq!(rig.call(BOUND_MS), Ok(200));
    assert_eq!(rig.service.stats().sequence, 1);
}

#[test]
fn reset_ends_open_streams_only() {
    let (caller, engine, proxy) = engine_behind_proxy();
    let mut stream = open_stream(&caller, &engine, &proxy);
    proxy.reset();
    assert_matches!(stream.collect_events(BOUND_MS), Err(CallerError::Cut(_)));
    assert!(wait_until(BOUND_MS, || engine.stats().cancelled == 1));
    drop(open_stream(&caller, &engine, &proxy));
}

#[test]
fn cut_resets_streams_and_refuses_until_it_passes_again() {
    let (caller, engine, proxy) = engine_behind_proxy();
    let mut stream = open_stream(&caller, &engine, &proxy);
    proxy.set_mode(ProxyMode::Cut);
    assert_matches!(stream.collect_events(BOUND_MS), Err(CallerError::Cut(_)));
    let connect = || std::net::TcpStream::connect(proxy.address()).map_err(|error| error.kind());
    let is_refused = || connect().is_err_and(|kind| kind == std::io::ErrorKind::ConnectionRefused);
    assert!(wait_until(BOUND_MS, is_refused));
    proxy.set_mode(ProxyMode::Pass);
    assert!(wait_until(BOUND_MS, || connect().is_ok()));
    assert!(wait_until(BOUND_MS, || engine.stats().running == 0));
    drop(open_stream(&caller, &engine, &proxy));
}

#[test]
fn delay_holds_each_direction() {
    let rig = rig();
    rig.proxy.set_mode(ProxyMode::Delay(50));
    let started = Instant::now();
    assert_eq!(rig.call(BOUND_MS), Ok(200));
    assert!(started.elapsed() >= Duration::from_millis(100));
}

#[test]
fn upstream_may_be_named_and_moved_later() {
    let caller = Caller::start().unwrap();
    let proxy = FaultProxy::start(None).unwrap();
    let call = || {
        let request = CallerRequest::post(proxy.address(), "/order", &json!({}));
        caller.call(request, BOUND_MS).map(|answer| answer.status)
    };
    assert_matches!(call(), Err(CallerError::NoAnswer(_)));
    for _ in 0..2 {
        let service = FakeService::start(ServiceSettings::default()).unwrap();
        proxy.set_upstream(service.address());
        assert_eq!(call(), Ok(200));
        assert_eq!(service.stats().sequence, 1);
    }
}
