//! The fake plain service over HTTP.

use assert_matches::assert_matches;
use masticsill_testkit::{
    Caller, CallerAnswer, CallerError, CallerRequest, FakeService, ServiceSettings, ServiceStats,
    wait_until,
};
use serde_json::json;

const BOUND_MS: u64 = 20_000;

fn call(caller: &Caller, service: &FakeService, id: &str) -> Result<CallerAnswer, CallerError> {
    let request = CallerRequest::post(service.address(), "/orders/tiles", &json!({"pallets": 1}));
    caller.call(request.header("X-Request-Id", id), BOUND_MS)
}

#[test]
fn runs_are_counted_by_id_and_body() {
    let service = FakeService::start(ServiceSettings::default()).unwrap();
    let caller = Caller::start().unwrap();
    let sequences: Vec<_> = ["a", "b", "a"]
        .iter()
        .map(|id| call(&caller, &service, id).unwrap().json()["sequence"].clone())
        .collect();
    assert_eq!(sequences, [1, 2, 3]);
    let stats = CallerRequest::get(service.address(), "/stats");
    let answer = caller.call(stats, BOUND_MS).unwrap();
    let stats: ServiceStats = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!((stats.runs_by_id["a"], stats.runs_by_id["b"]), (2, 1));
    assert_eq!(stats.runs_by_body[r#"{"pallets":1}"#], 3);
}

#[test]
fn closing_after_a_run_gives_no_answer_but_counts() {
    let service = FakeService::start(ServiceSettings::default()).unwrap();
    let caller = Caller::start().unwrap();
    service.close_after_run(1);
    assert_matches!(call(&caller, &service, "a"), Err(CallerError::NoAnswer(_)));
    assert_eq!(service.stats().runs_by_id["a"], 1);
    assert_matches!(call(&caller, &service, "b"), Ok(answer) if answer.status == 200);
}

#[test]
fn delayed_call_has_run_before_its_answer() {
    let service = FakeService::start(ServiceSettings::default()).unwrap();
    let caller = Caller::start().unwrap();
    service.set_delay(600_000);
    let request = CallerRequest::post(service.address(), "/orders", &json!({}));
    std::thread::scope(|scope| {
        let waiting = scope.spawn(|| caller.open(request, 200).map(drop));
        assert!(wait_until(BOUND_MS, || service.stats().sequence == 1));
        assert_matches!(waiting.join().unwrap(), Err(CallerError::TimedOut(200)));
    });
}
