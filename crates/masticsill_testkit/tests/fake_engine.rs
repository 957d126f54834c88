//! The fake engine over HTTP.

use assert_matches::assert_matches;
use masticsill_testkit::{
    AnswerSpec, Caller, CallerError, CallerRequest, CallerStream, EngineSettings, FakeEngine,
    expected_answer, expected_text, model_target, wait_until,
};
use masticsill_types::{FencingNumber, Term};
use masticsill_wire::engine::{
    CacheEvents, ChunkToken, CompletionBody, CompletionChunk, EngineLoad, EngineOrder, OrderBody,
};
use serde_json::{json, to_value};

const BOUND_MS: u64 = 20_000;

fn body(prompt: &str, max_tokens: u32) -> CompletionBody {
    let target = model_target("draft", "v1");
    CompletionBody {
        adapter: target.adapter,
        max_tokens,
        model: target.model,
        priority: 10,
        prompt: prompt.to_owned(),
        request_id: prompt.to_owned(),
        resume_token_ids: Vec::new(),
        seed: 7,
        stream: true,
        temperature: 1.0,
        top_p: 1.0,
        version: target.version,
    }
}

fn start(change: impl FnOnce(&mut EngineSettings)) -> (FakeEngine, Caller) {
    let mut settings = EngineSettings {
        loaded: vec![model_target("draft", "v1"), model_target("draft", "v2")],
        step_ms: 2,
        ..EngineSettings::default()
    };
    change(&mut settings);
    (
        FakeEngine::start(settings).unwrap(),
        Caller::start().unwrap(),
    )
}

fn open(caller: &Caller, engine: &FakeEngine, body: &CompletionBody) -> CallerStream {
    let json = to_value(body).unwrap();
    let request = CallerRequest::post(engine.address(), "/v1/completions", &json);
    caller.open(request, BOUND_MS).unwrap()
}

fn next_chunk(stream: &mut CallerStream) -> Option<CompletionChunk> {
    let event = stream.next_event(BOUND_MS).unwrap()?;
    serde_json::from_str(&event.data).ok()
}

fn read_tokens(mut stream: CallerStream, first_index: u32) -> Vec<ChunkToken> {
    let mut tokens = Vec::new();
    while let Some(chunk) = next_chunk(&mut stream) {
        assert_eq!(
            chunk.index as usize,
            first_index as usize + tokens.len(),
            "indices have no gap"
        );
        tokens.extend(chunk.tokens);
    }
    tokens
}

fn order(sequence: u64, order: EngineOrder) -> serde_json::Value {
    let fencing = FencingNumber {
        term: Term(3),
        sequence,
    };
    to_value(OrderBody { fencing, order }).unwrap()
}

fn post(caller: &Caller, engine: &FakeEngine, path: &str, body: &serde_json::Value) -> u16 {
    let request = CallerRequest::post(engine.address(), path, body);
    caller.call(request, BOUND_MS).unwrap().status
}

#[test]
fn answer_is_the_expected_one_each_time() {
    let (engine, caller) = start(|_| {});
    let body = body("tiles for a bath", 40);
    let first = read_tokens(open(&caller, &engine, &body), 0);
    let second = read_tokens(open(&caller, &engine, &body), 0);
    assert_eq!(first, expected_answer(&AnswerSpec::from(&body)));
    assert_eq!(first, second);
}

#[test]
fn every_input_changes_the_answer() {
    let spec = AnswerSpec::from(&body("tiles", 20));
    let change = |apply: fn(&mut AnswerSpec)| {
        let mut changed = spec.clone();
        apply(&mut changed);
        changed
    };
    let changed_specs = [
        change(|spec| spec.adapter = Some("bath".parse().unwrap())),
        change(|spec| spec.model = "lookup".parse().unwrap()),
        change(|spec| spec.prompt.push('!')),
        change(|spec| spec.seed += 1),
        change(|spec| spec.version = "v2".parse().unwrap()),
    ];
    for changed in changed_specs {
        assert_ne!(
            expected_answer(&changed),
            expected_answer(&spec),
            "{changed:?}"
        );
    }
}

#[test]
fn resume_at_any_index_equals_the_uninterrupted_answer() {
    let (engine, caller) = start(|_| {});
    let whole = expected_answer(&AnswerSpec::from(&body("tiles", 24)));
    for index in 0..=24_u32 {
        let (given, rest) = whole.split_at(index as usize);
        let mut resumed = body("tiles", 24);
        resumed.resume_token_ids = given.iter().map(|token| token.id).collect();
        let tokens = read_tokens(open(&caller, &engine, &resumed), index);
        assert_eq!(tokens, rest, "resumed at {index}");
    }
}

#[test]
fn resume_after_another_prefix_gives_other_tokens() {
    let (engine, caller) = start(|_| {});
    let whole = expected_answer(&AnswerSpec::from(&body("tiles", 24)));
    let mut other = body("tiles", 24);
    other.resume_token_ids = whole[..10].iter().map(|token| token.id).collect();
    other.resume_token_ids[3] = whole[3].id ^ 1;
    let tokens = read_tokens(open(&caller, &engine, &other), 10);
    assert_ne!(tokens, whole[10..]);
}

#[test]
fn whole_answers_are_utf8_though_tokens_split_characters() {
    let mut split_count = 0;
    for max_tokens in 1..200 {
        let spec = AnswerSpec::from(&body("long", max_tokens));
        let tokens = expected_answer(&spec);
        assert_eq!(tokens.len(), max_tokens as usize);
        assert!(!expected_text(&spec).is_empty());
        split_count += tokens
            .iter()
            .filter(|token| std::str::from_utf8(&token.bytes).is_err())
            .count();
    }
    assert!(split_count > 0, "no token splits a character");
}

#[test]
fn stop_marker_ends_an_answer_early() {
    let (engine, caller) = start(|_| {});
    let mut stream = open(&caller, &engine, &body("short [stop:3]", 50));
    let chunks: Vec<_> = std::iter::from_fn(|| next_chunk(&mut stream)).collect();
    assert_eq!(chunks.len(), 3);
    assert_eq!(chunks[2].finish_reason.as_deref(), Some("stop"));
}

#[test]
fn lower_priority_number_gets_the_next_slot() {
    let (engine, caller) = start(|settings| settings.slots = 1);
    let running = open(&caller, &engine, &body("running", 100_000));
    assert!(wait_until(BOUND_MS, || engine.stats().running == 1));
    let draft = open(&caller, &engine, &body("draft", 100_000));
    let mut urgent = body("lookup", 5);
    urgent.priority = 0;
    let lookup = open(&caller, &engine, &urgent);
    assert!(wait_until(BOUND_MS, || engine.stats().waiting == 2));
    running.disconnect();
    assert_eq!(read_tokens(lookup, 0).len(), 5);
    drop(draft);
}

#[test]
fn cancel_and_disconnect_free_the_slot() {
    let (engine, caller) = start(|_| {});
    let mut cancelled = open(&caller, &engine, &body("first", 3_000));
    let disconnected = open(&caller, &engine, &body("second", 100_000));
    assert!(wait_until(BOUND_MS, || engine.stats().running == 2));
    let status = post(
        &caller,
        &engine,
        "/v1/cancel",
        &json!({"request_id": "first"}),
    );
    assert_eq!(status, 200);
    while let Some(chunk) = next_chunk(&mut cancelled) {
        assert_eq!(chunk.finish_reason, None);
    }
    disconnected.disconnect();
    assert!(wait_until(BOUND_MS, || engine.stats().cancelled == 2));
    assert_eq!(engine.stats().running, 0);
}

#[test]
fn waiting_request_leaves_on_disconnect() {
    let (engine, caller) = start(|settings| settings.slots = 0);
    let waiting = open(&caller, &engine, &body("waiting", 5));
    assert!(wait_until(BOUND_MS, || engine.stats().waiting == 1));
    waiting.disconnect();
    assert!(wait_until(BOUND_MS, || engine.stats().cancelled == 1));
}

#[test]
fn freeze_stalls_streams_and_http_then_thaws() {
    let (engine, caller) = start(|_| {});
    let mut stream = open(&caller, &engine, &body("long", 100_000));
    assert!(next_chunk(&mut stream).is_some());
    engine.freeze(1_500);
    let load = || CallerRequest::get(engine.address(), "/v1/load");
    let is_stalled = || caller.call(load(), 200).is_err();
    assert!(wait_until(BOUND_MS, is_stalled));
    let steps_before = engine.stats().decode_steps;
    assert_matches!(caller.call(load(), BOUND_MS), Ok(answer) if answer.status == 200);
    assert!(wait_until(BOUND_MS, || engine.stats().decode_steps > steps_before));
    assert!(next_chunk(&mut stream).is_some());
}

#[test]
fn long_prefill_delays_one_request_only() {
    let (engine, caller) = start(|_| {});
    let fault = json!({"long_prefill_ms": 600_000});
    assert_eq!(post(&caller, &engine, "/fault", &fault), 200);
    let mut delayed = open(&caller, &engine, &body("delayed", 5));
    assert!(wait_until(BOUND_MS, || engine.stats().running == 1));
    assert_eq!(
        read_tokens(open(&caller, &engine, &body("other", 5)), 0).len(),
        5
    );
    assert_matches!(delayed.next_event(20), Err(CallerError::TimedOut(_)));
}

#[test]
fn engine_that_checks_refuses_old_fencing_numbers() {
    for (is_checking_fencing, status_of_old) in [(true, 409), (false, 200)] {
        let (engine, caller) = start(|settings| settings.is_checking_fencing = is_checking_fencing);
        let load = || EngineOrder::Load(model_target("draft", "v3"));
        let statuses: Vec<u16> = [5, 4, 5]
            .map(|sequence| post(&caller, &engine, "/v1/orders", &order(sequence, load())))
            .to_vec();
        assert_eq!(statuses, [200, status_of_old, 200]);
    }
}

#[test]
fn unload_cuts_its_streams_and_refuses_new_ones() {
    let (engine, caller) = start(|_| {});
    let stream = open(&caller, &engine, &body("long", 3_000));
    let unload = EngineOrder::Unload(model_target("draft", "v1"));
    assert_eq!(post(&caller, &engine, "/v1/orders", &order(1, unload)), 200);
    assert!(read_tokens(stream, 0).len() < 3_000);
    assert_eq!(open(&caller, &engine, &body("long", 5)).status(), 404);
}

#[test]
fn prefix_cache_saves_prefill_and_tells_events_with_gaps() {
    let (engine, caller) = start(|settings| {
        settings.cache_tokens = 64;
        settings.cache_event_gap_every = 3;
    });
    let prompt = "x".repeat(256);
    for _ in 0..2 {
        read_tokens(open(&caller, &engine, &body(&prompt, 1)), 0);
    }
    assert_eq!(engine.stats().prefill_tokens, 64);
    assert_eq!(engine.stats().prefix_hits, 1);
    read_tokens(open(&caller, &engine, &body(&"y".repeat(64), 1)), 0);
    let request = CallerRequest::get(engine.address(), "/v1/cache_events?after=1");
    let answer = caller.call(request, BOUND_MS).unwrap();
    let events: CacheEvents = serde_json::from_slice(&answer.body).unwrap();
    let shown: Vec<_> = events
        .events
        .iter()
        .map(|event| (event.sequence, event.is_stored))
        .collect();
    assert_eq!(shown, [(2, true), (4, true), (5, true)]);
}

#[test]
fn load_report_lags() {
    let (engine, caller) = start(|settings| settings.load_lag_ms = 300);
    let stream = open(&caller, &engine, &body("long", 100_000));
    assert!(wait_until(BOUND_MS, || engine.stats().running == 1));
    let read_load = || -> EngineLoad {
        let request = CallerRequest::get(engine.address(), "/v1/load");
        let answer = caller.call(request, BOUND_MS).unwrap();
        serde_json::from_slice(&answer.body).unwrap()
    };
    assert!(wait_until(BOUND_MS, || read_load().running == 1));
    assert!(read_load().age_ms >= 300);
    drop(stream);
}

#[test]
fn dropped_engine_cuts_its_streams() {
    let (engine, caller) = start(|_| {});
    let mut stream = open(&caller, &engine, &body("long", 1_000_000));
    assert!(next_chunk(&mut stream).is_some());
    drop(engine);
    assert_matches!(stream.collect_events(BOUND_MS), Err(CallerError::Cut(_)));
}
