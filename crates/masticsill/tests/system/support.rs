//! A small system, and callers that check the complete text of their answers.

use std::path::Path;

use masticsill_testkit::{
    AnswerSpec, CallerRequest, CallerStream, Deployment, EngineProcess, EngineProcessSettings,
    ServerEvent, engine_entry, expected_text, wait_until,
};
use masticsill_types::{ModelId, VersionId};
use serde_json::{Value, json};
use tempfile::TempDir;

/// Timeout of every wait. It affects a test only if the awaited condition never holds.
pub(crate) const WAIT_TIMEOUT_MS: u64 = 30_000;
const STEP_MS: u64 = 10;
const SEED: u64 = 7;

/// One control replica, entries, and agents with an engine each.
pub(crate) struct SmallSystem {
    pub(crate) deployment: Deployment,
    pub(crate) engines: Vec<EngineProcess>,
    folder: TempDir,
}

impl SmallSystem {
    pub(crate) fn start(entry_count: usize, engine_count: usize) -> Self {
        let mut deployment = Deployment::new(Path::new(env!("CARGO_BIN_EXE_masticsill")));
        deployment.start_controls(1);
        for index in 0..entry_count {
            let name = format!("entry-{index}");
            deployment.start_entry(&name, "zone-0", &json!({}));
        }
        let mut system = Self {
            deployment,
            engines: Vec::new(),
            folder: TempDir::new().expect("a temporary folder can be made"),
        };
        for index in 0..engine_count {
            system.add_engine(index, &json!({}));
        }
        let entry = engine_entry("draft", "patient_draft", "draft", "v1");
        system.deployment.put(&entry, 0);
        for index in 0..entry_count {
            system.deployment.await_models(&format!("entry-{index}"), 1);
        }
        system
    }

    pub(crate) fn add_engine(&mut self, index: usize, agent: &Value) {
        let settings = EngineProcessSettings {
            model: "draft",
            slots: 16,
            step_ms: STEP_MS,
            version: "v1",
        };
        let log = self.folder.path().join(format!("engine-{index}.log"));
        let engine = EngineProcess::start(settings, &log);
        let name = format!("agent-{index}");
        self.deployment
            .start_engine_agent(&name, "zone-0", engine.address(), agent);
        self.engines.push(engine);
    }

    /// Returns the engine that runs a generation, and waits while none does.
    pub(crate) fn busy_engine(&self) -> usize {
        let mut position = None;
        wait_until(WAIT_TIMEOUT_MS, || {
            position = (0..self.engines.len()).find(|engine| self.running(*engine) > 0);
            position.is_some()
        });
        position.expect("an engine runs the generation")
    }

    /// Returns the number of generations that an engine is running, or 0 if the engine is dead.
    pub(crate) fn running(&self, engine: usize) -> u64 {
        let stats = self.engines[engine].stats(self.deployment.caller());
        stats.map_or(0, |stats| stats.running)
    }

    /// Returns the number of generations that an engine has started. The engine must be alive.
    pub(crate) fn started(&self, engine: usize) -> u64 {
        let stats = self.engines[engine].stats(self.deployment.caller());
        stats.expect("the engine answers").started
    }

    pub(crate) fn open(&self, entry: &str, request: &Draft) -> Reader {
        open_draft(&self.deployment, entry, request)
    }

    pub(crate) fn reopen(&self, entry: &str, request: &Draft, last_id: &str) -> Reader {
        let call = CallerRequest::post(
            self.deployment.http(entry),
            "/v1/completions",
            &request.body(),
        );
        let call = call.idempotency_key(&request.prompt).last_event_id(last_id);
        open_call(&self.deployment, call)
    }
}

/// Requests a draft from an entry.
pub(crate) fn open_draft(deployment: &Deployment, entry: &str, request: &Draft) -> Reader {
    let address = deployment.http(entry);
    let call = CallerRequest::post(address, "/v1/completions", &request.body());
    open_call(deployment, call.idempotency_key(&request.prompt))
}

fn open_call(deployment: &Deployment, call: CallerRequest) -> Reader {
    let stream = deployment.caller().open(call, WAIT_TIMEOUT_MS);
    Reader {
        last_id: String::new(),
        stream: stream.expect("the entry answers"),
        text: String::new(),
    }
}

/// A request whose expected answer is known.
pub(crate) struct Draft {
    pub(crate) max_tokens: u32,
    pub(crate) prompt: String,
}

impl Draft {
    pub(crate) fn new(prompt: &str, max_tokens: u32) -> Self {
        Self {
            max_tokens,
            prompt: prompt.to_owned(),
        }
    }

    pub(crate) fn body(&self) -> Value {
        json!({
            "model": "draft",
            "prompt": self.prompt,
            "max_tokens": self.max_tokens,
            "seed": SEED,
            "stream": true,
        })
    }

    pub(crate) fn expected(&self) -> String {
        expected_text(&AnswerSpec {
            adapter: None,
            max_tokens: self.max_tokens,
            model: ModelId::new("draft").expect("a valid name"),
            prompt: self.prompt.clone(),
            seed: SEED,
            version: VersionId::new("v1").expect("a valid name"),
        })
    }
}

/// How a streamed answer ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum End {
    Cut,
    Done,
    Refused(String),
}

/// A streamed answer and the text read so far.
pub(crate) struct Reader {
    pub(crate) last_id: String,
    stream: CallerStream,
    pub(crate) text: String,
}

impl Reader {
    pub(crate) fn status(&self) -> u16 {
        self.stream.status()
    }

    /// Reads until at least `length` bytes of text have arrived.
    pub(crate) fn read_bytes(&mut self, length: usize) {
        while self.text.len() < length {
            assert_eq!(
                self.read_event(),
                None,
                "the answer ended early: {}",
                self.text
            );
        }
    }

    /// Reads to the end of the answer.
    pub(crate) fn read_to_end(&mut self) -> End {
        loop {
            if let Some(end) = self.read_event() {
                return end;
            }
        }
    }

    fn read_event(&mut self) -> Option<End> {
        let Ok(event) = self.stream.next_event(WAIT_TIMEOUT_MS) else {
            return Some(End::Cut);
        };
        let Some(event) = event else {
            return Some(End::Cut);
        };
        self.take(&event)
    }

    fn take(&mut self, event: &ServerEvent) -> Option<End> {
        if event.data == "[DONE]" {
            return Some(End::Done);
        }
        let data: Value = serde_json::from_str(&event.data).expect("events carry JSON");
        if let Some(kind) = data["error"]["kind"].as_str() {
            return Some(End::Refused(kind.to_owned()));
        }
        if let Some(id) = &event.id {
            self.last_id.clone_from(id);
        }
        let text = data["choices"][0]["text"].as_str().unwrap_or_default();
        self.text.push_str(text);
        None
    }
}
