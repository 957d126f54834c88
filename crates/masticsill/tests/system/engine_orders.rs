//! Orders to engines: which models are loaded, and which orders must be rejected.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use masticsill_runtime::{ClusterTag, cluster_tag, connect_to_cluster};
use masticsill_testkit::{
    CallerRequest, Deployment, EngineStats, ProcessUnderTest, ProxyMode, built_example,
    engine_entry, model_target, wait_until,
};
use masticsill_types::{FencingNumber, ModelTarget, Term};
use masticsill_wire::ServiceKind;
use masticsill_wire::agent::{AgentServiceClient, OrderRefusal, OrderReply, OrderRequest};
use masticsill_wire::engine::{EngineOrder, LoadedModels};
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::support::{Draft, End, WAIT_TIMEOUT_MS, open_draft};

const AGENT: &str = "agent-0";
/// At 10 ms per token, the stream outlasts the grace period after which an old version is unloaded.
const LONG_TOKENS: u32 = 1_500;

/// Engines with the model `other`, each with an agent in a zone of its own.
struct OrderSystem {
    controls: Vec<String>,
    deployment: Deployment,
    engines: Vec<ProcessUnderTest>,
    _folder: TempDir,
}

impl OrderSystem {
    fn start(control_count: usize, engine_count: usize, is_checking: bool) -> Self {
        let mut deployment = Deployment::new(Path::new(env!("CARGO_BIN_EXE_masticsill")));
        deployment.start_controls(control_count);
        let folder = TempDir::new().unwrap();
        let mut engines = Vec::new();
        for index in 0..engine_count {
            let mut arguments = vec!["--step-ms", "10", "--model", "other"];
            arguments.extend(is_checking.then_some("--checks-fencing"));
            let log = folder.path().join(format!("engine-{index}.log"));
            let program = built_example("fake_engine");
            let engine = ProcessUnderTest::spawn(&program, arguments, &log).unwrap();
            let zone = format!("zone-{index}");
            let agent = format!("agent-{index}");
            deployment.start_engine_agent(&agent, &zone, engine.address("http"), &json!({}));
            engines.push(engine);
        }
        Self {
            controls: (0..control_count)
                .map(|it| format!("control-{it}"))
                .collect(),
            deployment,
            engines,
            _folder: folder,
        }
    }

    fn get(&self, engine: usize, path: &str) -> Value {
        let request = CallerRequest::get(self.engines[engine].address("http"), path);
        let answer = self
            .deployment
            .caller()
            .call(request, WAIT_TIMEOUT_MS)
            .unwrap();
        answer.json()
    }

    fn loaded(&self, engine: usize) -> Vec<ModelTarget> {
        let models = serde_json::from_value(self.get(engine, "/v1/models"));
        models.map(|it: LoadedModels| it.loaded).unwrap()
    }

    fn stats(&self, engine: usize) -> EngineStats {
        serde_json::from_value(self.get(engine, "/stats")).unwrap()
    }

    /// Makes an engine hold its orders open, or release them.
    fn hold_orders(&self, engine: usize, is_holding: bool) {
        let address = self.engines[engine].address("http");
        let body = json!({"hold_orders": is_holding});
        let request = CallerRequest::post(address, "/fault", &body);
        let answer = self
            .deployment
            .caller()
            .call(request, WAIT_TIMEOUT_MS)
            .unwrap();
        assert_eq!(answer.status, 200);
    }

    fn await_loaded(&self, engine: usize, names: &[(&str, &str)]) {
        let wanted: Vec<_> = names.iter().map(|it| model_target(it.0, it.1)).collect();
        let is_loaded = wait_until(WAIT_TIMEOUT_MS, || self.loaded(engine) == wanted);
        assert!(is_loaded, "engine {engine} holds {:?}", self.loaded(engine));
    }

    /// Waits for a leader other than the lost replica, and returns its name and term.
    fn leader(&self, lost: Option<&str>) -> (String, Term) {
        let mut leader = None;
        wait_until(WAIT_TIMEOUT_MS, || {
            let others = self.controls.iter().filter(|it| Some(it.as_str()) != lost);
            leader = others.cloned().find_map(|name| {
                let term = self.led_term(&name)?;
                Some((name, term))
            });
            leader.is_some()
        });
        leader.expect("a leader is elected")
    }

    fn led_term(&self, control: &str) -> Option<Term> {
        let request = CallerRequest::get(self.deployment.http(control), "/readyz");
        let answer = self.deployment.caller().call(request, 1_000).ok()?.json();
        (answer["is_leading"] == true).then(|| Term(answer["term"].as_u64().unwrap()))
    }

    /// Puts a catalogue entry in force through one replica.
    fn put_at(&self, control: &str, entry: &Value, expected_version: u64) {
        let id = entry["id"].as_str().unwrap();
        let body = json!({
            "change_id": format!("{id}-after-{expected_version}"),
            "entry": entry,
            "expected_version": expected_version,
        });
        let path = format!("/v1/catalogue/{id}");
        let is_accepted = wait_until(WAIT_TIMEOUT_MS, || {
            let answer = self.deployment.ask_operator(control, "PUT", &path, &body);
            answer.is_ok_and(|answer| answer.status == 200)
        });
        assert!(is_accepted, "{id} is accepted");
    }

    /// Sends an order to the first agent, as if the delayed bytes of a leader arrived now.
    fn send_delayed_order(&self, term: Term, sequence: u64, order: EngineOrder) -> OrderReply {
        let address = self.deployment.node(AGENT).process.address("rpc");
        let fencing = FencingNumber { term, sequence };
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        let tag = cluster_tag(&self.deployment.cluster());
        runtime.block_on(send_order(address, tag, OrderRequest { fencing, order }))
    }
}

async fn send_order(address: SocketAddr, tag: ClusterTag, request: OrderRequest) -> OrderReply {
    let transport = connect_to_cluster(address, ServiceKind::Agent, tag, WAIT_TIMEOUT_MS).await;
    let config = tarpc::client::Config::default();
    let client = AgentServiceClient::new(config, transport.unwrap()).spawn();
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + Duration::from_millis(WAIT_TIMEOUT_MS);
    client.order(context, request).await.unwrap()
}

fn draft_entry(version: &str, replicas: u32) -> Value {
    let mut entry = engine_entry("draft", "patient_draft", "draft", version);
    entry["placement"]["replicas"] = json!(replicas);
    entry
}

#[test]
fn a_new_entrys_model_is_loaded_in_every_zone_and_serves() {
    let mut system = OrderSystem::start(1, 2, false);
    system
        .deployment
        .start_entry("entry-0", "zone-0", &json!({}));
    system.deployment.put(&draft_entry("v1", 2), 0);
    for engine in 0..2 {
        system.await_loaded(engine, &[("other", "v1"), ("draft", "v1")]);
    }
    system.deployment.await_models("entry-0", 1);
    let draft = Draft::new("loaded by order", 40);
    let mut reader = open_draft(&system.deployment, "entry-0", &draft);
    assert_eq!(reader.read_to_end(), End::Done);
    assert_eq!(reader.text, draft.expected());
}

#[test]
fn a_new_version_is_loaded_and_the_old_one_finishes_its_generations() {
    let mut system = OrderSystem::start(1, 1, false);
    system
        .deployment
        .start_entry("entry-0", "zone-0", &json!({}));
    system.deployment.put(&draft_entry("v1", 1), 0);
    system.await_loaded(0, &[("other", "v1"), ("draft", "v1")]);
    system.deployment.await_models("entry-0", 1);
    let draft = Draft::new("pinned", LONG_TOKENS);
    let mut reader = open_draft(&system.deployment, "entry-0", &draft);
    reader.read_bytes(20);
    system.deployment.put(&draft_entry("v2", 1), 1);
    let v2 = model_target("draft", "v2");
    let is_loaded = wait_until(WAIT_TIMEOUT_MS, || system.loaded(0).contains(&v2));
    assert!(is_loaded, "engine holds {:?}", system.loaded(0));
    assert_eq!(reader.read_to_end(), End::Done);
    assert_eq!(reader.text, draft.expected());
    let v1 = model_target("draft", "v1");
    let is_unloaded = wait_until(WAIT_TIMEOUT_MS, || !system.loaded(0).contains(&v1));
    assert!(is_unloaded, "engine holds {:?}", system.loaded(0));
}

fn check_resumed_leader(is_checking: bool) {
    let mut system = OrderSystem::start(3, 1, is_checking);
    let (former, former_term) = system.leader(None);
    // The former leader tries to load v1, but can't reach the agent until it is paused.
    system.deployment.node(AGENT).proxy.set_mode(ProxyMode::Cut);
    system.put_at(&former, &draft_entry("v1", 1), 0);
    system.deployment.node_mut(&former).process.pause().unwrap();
    let (next, next_term) = system.leader(Some(&former));
    assert!(next_term > former_term);
    system.put_at(&next, &draft_entry("v2", 1), 1);
    system
        .deployment
        .node(AGENT)
        .proxy
        .set_mode(ProxyMode::Pass);
    let v2 = model_target("draft", "v2");
    let is_loaded = wait_until(WAIT_TIMEOUT_MS, || system.loaded(0).contains(&v2));
    assert!(is_loaded, "engine holds {:?}", system.loaded(0));
    system
        .deployment
        .node_mut(&former)
        .process
        .resume()
        .unwrap();
    let is_in_line = wait_until(WAIT_TIMEOUT_MS, || system.led_term(&former).is_none());
    assert!(is_in_line, "the former leader steps down");
    // An order of the former leader may also have been in flight all the time.
    let late = EngineOrder::Load(model_target("draft", "v1"));
    let reply = system.send_delayed_order(former_term, 1_000, late);
    assert_matches!(reply, OrderReply::Fenced(highest) if highest.term >= next_term);
    let last = engine_entry("last", "patient_draft", "last", "v1");
    system.put_at(&next, &last, 0);
    let expected = [("other", "v1"), ("draft", "v2"), ("last", "v1")];
    let expected = expected.map(|it| model_target(it.0, it.1));
    let last = &expected[2];
    wait_until(WAIT_TIMEOUT_MS, || system.loaded(0).contains(last));
    let v1 = model_target("draft", "v1");
    let loaded = system.loaded(0);
    assert!(loaded.contains(last), "engine holds {loaded:?}");
    assert!(!loaded.contains(&v1), "engine holds {loaded:?}");
}

#[test]
fn a_resumed_leaders_order_is_fenced_for_an_engine_that_ignores_the_number() {
    check_resumed_leader(false);
}

#[test]
fn a_resumed_leaders_order_is_fenced_for_an_engine_that_checks_the_number() {
    check_resumed_leader(true);
}

#[test]
fn a_restarted_agent_rejects_orders_from_before_the_restart() {
    let mut system = OrderSystem::start(1, 1, false);
    system.deployment.put(&draft_entry("v1", 1), 0);
    system.await_loaded(0, &[("other", "v1"), ("draft", "v1")]);
    let (control, term) = system.leader(None);
    let taken = system.stats(0).orders_accepted;
    system.deployment.node_mut(AGENT).process.kill();
    system
        .deployment
        .node(&control)
        .proxy
        .set_mode(ProxyMode::Cut);
    system.deployment.restart(AGENT);
    let old = || EngineOrder::Unload(model_target("draft", "v1"));
    // Until the agent reaches a leader, it can't know which fencing numbers are outdated.
    let mut reply = system.send_delayed_order(term, 1, old());
    assert_eq!(reply, OrderReply::Refused(OrderRefusal::Closed));
    system
        .deployment
        .node(&control)
        .proxy
        .set_mode(ProxyMode::Pass);
    let is_open = wait_until(WAIT_TIMEOUT_MS, || {
        reply = system.send_delayed_order(term, 1, old());
        reply != OrderReply::Refused(OrderRefusal::Closed)
    });
    assert!(is_open, "the agent learns the highest number");
    assert_matches!(reply, OrderReply::Fenced(_));
    assert_eq!(
        system.stats(0).orders_accepted,
        taken,
        "nothing reached the engine"
    );
    let last = engine_entry("last", "patient_draft", "last", "v1");
    system.deployment.put(&last, 0);
    let last = model_target("last", "v1");
    let is_loaded = wait_until(WAIT_TIMEOUT_MS, || system.loaded(0).contains(&last));
    assert!(is_loaded, "new orders pass: {:?}", system.loaded(0));
}

#[test]
fn a_new_leader_starts_no_load_beside_its_predecessors_pending_load() {
    let mut system = OrderSystem::start(3, 2, false);
    for engine in 0..2 {
        system.hold_orders(engine, true);
    }
    let (former, _) = system.leader(None);
    system.put_at(&former, &draft_entry("v1", 2), 0);
    let mut loading = None;
    wait_until(WAIT_TIMEOUT_MS, || {
        loading = (0..2).find(|engine| system.stats(*engine).orders_held > 0);
        loading.is_some()
    });
    let loading = loading.expect("an engine loads");
    let other = 1 - loading;
    assert_eq!(system.stats(other).orders_held, 0, "one replica at a time");
    system.deployment.node_mut(&former).process.kill();
    let (next, _) = system.leader(Some(&former));
    system.hold_orders(other, false);
    // Models are loaded in turn, so `draft` had its turn between these two.
    let mut expected = vec![("other", "v1")];
    for model in ["last", "later"] {
        let mut entry = engine_entry(model, "patient_draft", model, "v1");
        entry["placement"]["zones"] = json!([format!("zone-{other}")]);
        system.put_at(&next, &entry, 0);
        expected.push((model, "v1"));
        system.await_loaded(other, &expected);
    }
    assert_eq!(system.stats(loading).orders_held, 1);
    system.hold_orders(loading, false);
    let draft = model_target("draft", "v1");
    for engine in [loading, other] {
        let is_loaded = wait_until(WAIT_TIMEOUT_MS, || system.loaded(engine).contains(&draft));
        assert!(is_loaded, "engine holds {:?}", system.loaded(engine));
    }
}
