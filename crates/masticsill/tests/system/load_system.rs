//! A system under load, and the results of the requests sent to it.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};

use masticsill_testkit::{
    AnswerSpec, Caller, CallerRequest, Deployment, EngineProcess, EngineProcessSettings,
    EngineStats, expected_text, wait_until,
};
use masticsill_types::{ModelId, VersionId};
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::support::WAIT_TIMEOUT_MS;

/// Timeout for one answer under load. It affects a test only if the answer never arrives.
const ANSWER_TIMEOUT_MS: u64 = 120_000;
const STEP_MS: u64 = 10;
const SEED: u64 = 7;
pub(crate) const ZONE: &str = "zone-0";

/// Result of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum End {
    /// Refused without being run, with a time after which to retry.
    NotRun,
    /// The complete answer arrived.
    Complete,
    /// Any other result.
    Wrong(String),
}

/// Sends requests to the entries and collects their results in the order in which they ended.
pub(crate) struct LoadGenerator {
    caller: Caller,
    ends: Mutex<Vec<(&'static str, End)>>,
    entries: Vec<SocketAddr>,
    /// Common prefix of all prompts.
    prompt_start: String,
}

impl LoadGenerator {
    /// Sends requests for one model to the entries in turn, each from a thread of its own.
    pub(crate) fn send(
        self: &Arc<Self>,
        model: &'static str,
        count: usize,
        tokens: u32,
    ) -> OpenRequests {
        let send = |number| {
            let load = Arc::clone(self);
            thread::spawn(move || load.ask(model, number, tokens))
        };
        OpenRequests((0..count).map(send).collect())
    }

    /// Sends one request and waits for its result.
    pub(crate) fn ask(&self, model: &'static str, number: usize, tokens: u32) {
        let prompt = format!("{}{model} {number}", self.prompt_start);
        let body = json!({"model": model, "prompt": prompt, "max_tokens": tokens, "seed": SEED});
        let address = self.entries[number % self.entries.len()];
        let request = CallerRequest::post(address, "/v1/completions", &body);
        let end = match self.caller.call(request, ANSWER_TIMEOUT_MS) {
            Ok(answer) => classify(&answer.json(), prompt, tokens),
            Err(error) => End::Wrong(error.to_string()),
        };
        let mut ends = self.ends.lock().expect("no thread panics with the lock");
        ends.push((model, end));
    }

    pub(crate) fn ends(&self) -> Vec<(&'static str, End)> {
        let ends = self.ends.lock();
        ends.expect("no thread panics with the lock").clone()
    }

    pub(crate) fn assert_all_complete(&self) {
        let ends = self.ends();
        let is_complete = |one: &(&str, End)| one.1 == End::Complete;
        assert!(ends.iter().all(is_complete), "{ends:?}");
    }
}

/// Threads of the requests that are still open.
pub(crate) struct OpenRequests(Vec<JoinHandle<()>>);

impl OpenRequests {
    pub(crate) fn join(self) {
        for thread in self.0 {
            thread.join().expect("a caller does not panic");
        }
    }
}

fn classify(answer: &Value, prompt: String, max_tokens: u32) -> End {
    let expected = expected_text(&AnswerSpec {
        adapter: None,
        max_tokens,
        model: ModelId::new("draft").expect("a valid name"),
        prompt,
        seed: SEED,
        version: VersionId::new("v1").expect("a valid name"),
    });
    let error = &answer["error"];
    if answer["choices"][0]["text"] == json!(expected) {
        End::Complete
    } else if error["outcome"] == json!("not_run") && error["retry_after_ms"].is_u64() {
        End::NotRun
    } else {
        End::Wrong(answer.to_string())
    }
}

/// Entries, and engines with one model behind one agent each.
pub(crate) struct LoadedSystem {
    pub(crate) deployment: Deployment,
    pub(crate) engines: Vec<EngineProcess>,
    folder: TempDir,
}

impl LoadedSystem {
    pub(crate) fn start(
        entry_count: usize,
        zones: &[&str],
        slots: u32,
        catalogue: &[Value],
    ) -> Self {
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

    /// Waits until an entry knows the models of all agents, and all other entries.
    fn await_nodes(&self, entry: &str, entry_count: usize) {
        let entries = (0..entry_count).map(|index| (format!("entry-{index}"), 0));
        let agents = (0..self.engines.len()).map(|index| (format!("agent-{index}"), 1));
        let others = entries.filter(|(node, _)| node != entry);
        let wanted: Vec<(String, usize)> = others.chain(agents).collect();
        let is_known = wait_until(WAIT_TIMEOUT_MS, || {
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

    pub(crate) fn load(&self, entry_count: usize) -> Arc<LoadGenerator> {
        self.load_with_prompt(entry_count, "")
    }

    pub(crate) fn load_with_prompt(
        &self,
        entry_count: usize,
        prompt_start: &str,
    ) -> Arc<LoadGenerator> {
        let address = |index| self.deployment.http(&format!("entry-{index}"));
        Arc::new(LoadGenerator {
            caller: Caller::start().expect("a thread can be started"),
            ends: Mutex::default(),
            entries: (0..entry_count).map(address).collect(),
            prompt_start: prompt_start.to_owned(),
        })
    }

    /// Returns the sum of a counter over the engines that answer.
    pub(crate) fn sum(&self, count: impl Fn(EngineStats) -> u64) -> u64 {
        let caller = self.deployment.caller();
        let stats = self.engines.iter().filter_map(|one| one.stats(caller));
        stats.map(count).sum()
    }

    /// Returns the number of generations that each engine has started.
    pub(crate) fn started(&self) -> Vec<u64> {
        let caller = self.deployment.caller();
        let stats = self.engines.iter().map(|one| one.stats(caller));
        stats
            .map(|stats| stats.expect("the engine answers").started)
            .collect()
    }

    pub(crate) fn await_running(&self, running: u64) {
        let is_running = wait_until(WAIT_TIMEOUT_MS, || {
            self.sum(|stats| stats.running) >= running
        });
        assert!(is_running, "{running} generations run");
    }
}
