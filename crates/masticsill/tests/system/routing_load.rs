//! Placement, limits and fairness while there is more work than room.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};

use masticsill_testkit::{
    AnswerSpec, Caller, CallerRequest, Deployment, EngineProcess, EngineProcessSettings,
    EngineStats, engine_entry, expected_text, wait_until,
};
use masticsill_types::{ModelId, VersionId};
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::support::BOUND_MS;

/// Patience for one answer under load; no verdict depends on it unless the answer never comes.
const ANSWER_BOUND_MS: u64 = 120_000;
const STEP_MS: u64 = 10;
const SEED: u64 = 7;
const ZONE: &str = "zone-0";

/// How a request ended.
#[derive(Clone, Debug, Eq, PartialEq)]
enum End {
    /// It was refused, not run, with a time to come back.
    NotRun,
    /// The whole answer came.
    Whole,
    /// Anything else.
    Wrong(String),
}

/// Callers of some entries, and how their requests ended, in that order.
struct Crowd {
    caller: Caller,
    ends: Mutex<Vec<(&'static str, End)>>,
    entries: Vec<SocketAddr>,
}

impl Crowd {
    /// Sends requests of one model, each in a thread of its own, to each entry in turn.
    fn send(self: &Arc<Self>, model: &'static str, count: usize, tokens: u32) -> Sent {
        let send = |number| {
            let crowd = Arc::clone(self);
            thread::spawn(move || crowd.ask(model, number, tokens))
        };
        Sent((0..count).map(send).collect())
    }

    /// Sends a request and waits for its end.
    fn ask(&self, model: &'static str, number: usize, tokens: u32) {
        let prompt = format!("{model} {number}");
        let body = json!({"model": model, "prompt": prompt, "max_tokens": tokens, "seed": SEED});
        let address = self.entries[number % self.entries.len()];
        let request = CallerRequest::post(address, "/v1/completions", &body);
        let end = match self.caller.call(request, ANSWER_BOUND_MS) {
            Ok(answer) => judge(&answer.json(), prompt, tokens),
            Err(error) => End::Wrong(error.to_string()),
        };
        let mut ends = self.ends.lock().expect("no thread panics with the lock");
        ends.push((model, end));
    }

    fn ends(&self) -> Vec<(&'static str, End)> {
        let ends = self.ends.lock();
        ends.expect("no thread panics with the lock").clone()
    }

    fn assert_all_whole(&self) {
        let ends = self.ends();
        let is_whole = |one: &(&str, End)| one.1 == End::Whole;
        assert!(ends.iter().all(is_whole), "{ends:?}");
    }
}

/// Requests that are open.
struct Sent(Vec<JoinHandle<()>>);

impl Sent {
    fn join(self) {
        for thread in self.0 {
            thread.join().expect("a caller does not panic");
        }
    }
}

fn judge(told: &Value, prompt: String, max_tokens: u32) -> End {
    let expected = expected_text(&AnswerSpec {
        adapter: None,
        max_tokens,
        model: ModelId::new("draft").expect("a valid name"),
        prompt,
        seed: SEED,
        version: VersionId::new("v1").expect("a valid name"),
    });
    let error = &told["error"];
    if told["choices"][0]["text"] == json!(expected) {
        End::Whole
    } else if error["outcome"] == json!("not_run") && error["retry_after_ms"].is_u64() {
        End::NotRun
    } else {
        End::Wrong(told.to_string())
    }
}

/// Engines with one model behind agents, and entries that know all of them.
struct LoadedSystem {
    deployment: Deployment,
    engines: Vec<EngineProcess>,
    folder: TempDir,
}

impl LoadedSystem {
    fn start(entry_count: usize, zones: &[&str], slots: u32, catalogue: &[Value]) -> Self {
        let mut deployment = Deployment::new(Path::new(env!("CARGO_BIN_EXE_masticsill")));
        deployment.start_controls(1);
        for index in 0..entry_count {
            deployment.start_entry(&format!("entry-{index}"), ZONE, &json!({}));
        }
        let mut system = Self {
            deployment,
            engines: Vec::new(),
            folder: TempDir::new().expect("a temporary folder can be made"),
        };
        for (index, zone) in zones.iter().enumerate() {
            system.add_engine(index, zone, slots);
        }
        for entry in catalogue {
            system.deployment.put(entry, 0);
        }
        for index in 0..entry_count {
            let entry = format!("entry-{index}");
            system.deployment.await_models(&entry, catalogue.len());
            system.await_nodes(&entry, entry_count);
        }
        system
    }

    fn add_engine(&mut self, index: usize, zone: &str, slots: u32) {
        let settings = EngineProcessSettings {
            model: "draft",
            slots,
            step_ms: STEP_MS,
            version: "v1",
        };
        let log = self.folder.path().join(format!("engine-{index}.log"));
        let engine = EngineProcess::start(settings, &log);
        let name = format!("agent-{index}");
        self.deployment
            .start_engine_agent(&name, zone, engine.address(), &json!({}));
        self.engines.push(engine);
    }

    /// Waits until an entry knows every engine's model and all entries.
    fn await_nodes(&self, entry: &str, entry_count: usize) {
        let entries = (0..entry_count).map(|index| (format!("entry-{index}"), 0));
        let agents = (0..self.engines.len()).map(|index| (format!("agent-{index}"), 1));
        let others = entries.filter(|(node, _)| node != entry);
        let wanted: Vec<(String, usize)> = others.chain(agents).collect();
        let is_known = wait_until(BOUND_MS, || {
            let log = self.deployment.node(entry).process.log();
            let has_seen = |(node, models): &(String, usize)| {
                let (node, models) = (format!(" node={node} "), format!(" models={models}"));
                let mut lines = log.lines();
                lines.any(|line| line.contains(&node) && line.contains(&models))
            };
            wanted.iter().all(has_seen)
        });
        let log = self.deployment.node(entry).process.log();
        assert!(is_known, "{entry} does not know all nodes: {log}");
    }

    fn crowd(&self, entry_count: usize) -> Arc<Crowd> {
        let address = |index| self.deployment.http(&format!("entry-{index}"));
        Arc::new(Crowd {
            caller: Caller::start().expect("a thread can be started"),
            ends: Mutex::default(),
            entries: (0..entry_count).map(address).collect(),
        })
    }

    /// A counter summed over living engines.
    fn sum(&self, count: impl Fn(EngineStats) -> u64) -> u64 {
        let caller = self.deployment.caller();
        let stats = self.engines.iter().filter_map(|one| one.stats(caller));
        stats.map(count).sum()
    }

    fn await_running(&self, running: u64) {
        let is_running = wait_until(BOUND_MS, || self.sum(|stats| stats.running) >= running);
        assert!(is_running, "{running} generations run");
    }
}

fn drafts() -> Value {
    engine_entry("draft", "patient_draft", "draft", "v1")
}

#[test]
fn lookups_answer_before_any_of_the_drafts_that_fill_the_engine() {
    let lookups = engine_entry("lookup", "instant_lookup", "draft", "v1");
    let system = LoadedSystem::start(1, &[ZONE], 8, &[drafts(), lookups]);
    let crowd = system.crowd(1);
    let sent = crowd.send("draft", 14, 400);
    system.await_running(7);
    for number in 0..5 {
        crowd.ask("lookup", number, 5);
    }
    sent.join();
    crowd.assert_all_whole();
    let ends = crowd.ends();
    let first: Vec<&str> = ends.iter().take(5).map(|(model, _)| *model).collect();
    assert_eq!(first, ["lookup"; 5]);
}

#[test]
fn a_leaving_endpoint_under_load_gets_nothing_new() {
    let mut system = LoadedSystem::start(1, &[ZONE, ZONE], 4, &[drafts()]);
    let crowd = system.crowd(1);
    let sent = crowd.send("draft", 20, 150);
    system.await_running(8);
    let agent = &mut system.deployment.node_mut("agent-0").process;
    agent.request_stop().expect("the agent runs");
    let is_leaving = wait_until(BOUND_MS, || {
        let log = system.deployment.node("agent-0").process.log();
        log.contains("agent_leaving")
    });
    assert!(is_leaving, "the agent leaves");
    let before = system.engines[0].stats(system.deployment.caller());
    sent.join();
    crowd.assert_all_whole();
    let after = system.engines[0].stats(system.deployment.caller());
    let (before, after) = (before.expect("it lives"), after.expect("it lives"));
    assert_eq!(after.started, before.started, "nothing new was started");
    assert_eq!(after.cancelled, 0, "nothing was cut");
    assert_eq!(system.sum(|stats| stats.started), 20);
}

#[test]
fn overload_ends_in_whole_answers_and_refusals_that_did_not_run() {
    let mut entry = drafts();
    entry["limits"] = json!({"queue_length": 8});
    let system = LoadedSystem::start(1, &[ZONE, ZONE], 4, &[entry]);
    let crowd = system.crowd(1);
    crowd.send("draft", 32, 200).join();
    let ends = crowd.ends();
    let whole = ends.iter().filter(|(_, end)| *end == End::Whole).count();
    let refused = ends.iter().filter(|(_, end)| *end == End::NotRun).count();
    assert_eq!(whole + refused, 32, "{ends:?}");
    assert!(whole >= 16, "slots and queue are used: {ends:?}");
    assert!(refused > 0, "the rest is refused: {ends:?}");
    let started = system.sum(|stats| stats.started);
    assert_eq!(started, whole as u64, "what was refused was not run");
    let first = &ends[0].1;
    assert_eq!(*first, End::NotRun, "a refusal does not wait for an answer");
}

#[test]
fn a_limit_of_concurrent_generations_holds_over_two_entries() {
    let mut entry = drafts();
    entry["limits"] = json!({"concurrent_generations": 5});
    let system = LoadedSystem::start(2, &[ZONE], 16, &[entry]);
    let crowd = system.crowd(2);
    crowd.send("draft", 24, 40).join();
    crowd.assert_all_whole();
    let stats = system.engines[0].stats(system.deployment.caller());
    assert_eq!(stats.expect("it lives").most_open, 5);
}

#[test]
fn a_heavy_workspace_does_not_keep_a_small_one_out() {
    let owned = |name: &str, owner: &str| {
        let mut entry = engine_entry(name, "patient_draft", "draft", "v1");
        entry["owner"] = json!(owner);
        entry
    };
    let catalogue = [owned("heavy", "kitchens"), owned("small", "bathrooms")];
    let system = LoadedSystem::start(1, &[ZONE], 4, &catalogue);
    let crowd = system.crowd(1);
    let heavy = crowd.send("heavy", 32, 50);
    system.await_running(4);
    let small = crowd.send("small", 4, 50);
    small.join();
    let ends = crowd.ends();
    let heavy_done = ends.iter().filter(|(model, _)| *model == "heavy").count();
    assert!(heavy_done <= 20, "{heavy_done} of 32 went before");
    heavy.join();
    crowd.assert_all_whole();
}

#[test]
fn a_zone_lost_under_load_costs_no_admitted_generation() {
    let zones = [ZONE, ZONE, "zone-1", "zone-1"];
    let mut system = LoadedSystem::start(1, &zones, 4, &[drafts()]);
    let crowd = system.crowd(1);
    let sent = crowd.send("draft", 16, 500);
    system.await_running(16);
    for lost in [2, 3] {
        let agent = format!("agent-{lost}");
        system.deployment.node_mut(&agent).process.kill();
        system.engines[lost].process.kill();
    }
    sent.join();
    crowd.assert_all_whole();
}
