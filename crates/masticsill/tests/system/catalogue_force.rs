//! An entry applies accepted changes, or starts no request once its catalogue lease has expired.

use std::path::Path;
use std::time::{Duration, Instant};

use masticsill_testkit::{
    AnswerSpec, CallerRequest, Deployment, EngineProcess, EngineProcessSettings, EngineStats,
    ProxyMode, engine_entry, expected_text, wait_until,
};
use masticsill_types::{ModelId, VersionId};
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::operators::{CONTROLS, ENTRY_PATH, change, leader, put, put_body};
use crate::support::WAIT_TIMEOUT_MS;

/// Requests to each entry while no control replica is reachable.
const REQUESTS_WHILE_CUT: usize = 50;
const CHANGES_WHILE_AWAY: u64 = 300;
const ENTRIES: [&str; 2] = ["entry-0", "entry-1"];
const LEASE: Duration = Duration::from_secs(4);
const SEED: u64 = 7;
const TOKENS: u32 = 4;
/// Tokens of a stream that outlasts the lease.
const LONG_TOKENS: u32 = 2_000;
const VERSIONS: [&str; 2] = ["v1", "v2"];

/// Three control replicas, two entries, and an engine for each of two versions.
struct VersionedSystem {
    deployment: Deployment,
    engines: Vec<EngineProcess>,
    _folder: TempDir,
}

/// Result of a request to an entry.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Served {
    Refused(Value),
    Version(&'static str),
}

impl VersionedSystem {
    /// Starts all processes and puts the entry `draft` in force under `v1`.
    fn start() -> Self {
        let mut deployment = Deployment::new(Path::new(env!("CARGO_BIN_EXE_masticsill")));
        deployment.start_controls(CONTROLS.len());
        for entry in ENTRIES {
            deployment.start_entry(entry, "zone-0", &json!({}));
        }
        let folder = TempDir::new().expect("a temporary folder can be made");
        let engines = VERSIONS.map(|version| {
            let settings = EngineProcessSettings {
                model: "draft",
                slots: 16,
                step_ms: 10,
                version,
            };
            let log = folder.path().join(format!("engine-{version}.log"));
            let engine = EngineProcess::start(settings, &log);
            let agent = format!("agent-{version}");
            deployment.start_engine_agent(&agent, "zone-0", engine.address(), &json!({}));
            engine
        });
        let system = Self {
            deployment,
            engines: engines.into(),
            _folder: folder,
        };
        system.put_version("first", "v1", 0);
        for entry in ENTRIES {
            system.await_served(entry, &Served::Version("v1"));
        }
        system
    }

    /// Puts the entry `draft` in force under a version, through the leader.
    fn put_version(&self, change_id: &str, version: &str, expected_version: u64) -> u64 {
        let body = put_body(change_id, version, expected_version);
        let control = leader(&self.deployment, None);
        accepted(put(&self.deployment, control, &body))
    }

    /// Sends one short request.
    fn ask(&self, entry: &str) -> Served {
        let body = request_body("which version", TOKENS, false);
        let address = self.deployment.http(entry);
        let request = CallerRequest::post(address, "/v1/completions", &body);
        let answer = self.deployment.caller().call(request, WAIT_TIMEOUT_MS);
        served(&answer.expect("the entry answers").json())
    }

    /// Sends requests until an entry answers as wanted, and returns all its answers.
    fn await_served(&self, entry: &str, wanted: &Served) -> Vec<Served> {
        let mut before = Vec::new();
        let is_served = wait_until(WAIT_TIMEOUT_MS, || {
            let served = self.ask(entry);
            let is_wanted = served == *wanted;
            before.push(served);
            is_wanted
        });
        assert!(is_served, "{entry} does not serve {wanted:?}: {before:?}");
        before
    }

    fn await_refusal(&self, entry: &str, kind: &str) -> Value {
        let mut last = None;
        let is_refused = wait_until(WAIT_TIMEOUT_MS, || {
            let served = self.ask(entry);
            let is_refused = matches!(&served, Served::Refused(error) if error["kind"] == kind);
            last = Some(served);
            is_refused
        });
        let Some(Served::Refused(error)) = last.filter(|_| is_refused) else {
            panic!("{entry} does not refuse with {kind}");
        };
        error
    }

    /// Returns the sum of a counter over all engines.
    fn count(&self, counter: impl Fn(&EngineStats) -> u64) -> u64 {
        let caller = self.deployment.caller();
        let stats = self.engines.iter().map(|engine| engine.stats(caller));
        stats
            .map(|stats| counter(&stats.expect("the engine answers")))
            .sum()
    }

    fn set_controls(&self, mode: ProxyMode) {
        for control in CONTROLS {
            self.deployment.node(control).proxy.set_mode(mode);
        }
    }

    /// Returns the versions that an entry logged with an event, oldest first.
    fn logged_versions(&self, entry: &str, event: &str) -> Vec<u64> {
        let log = self.deployment.node(entry).process.log();
        let lines = log.lines().filter(|line| line.contains(event));
        let versions = lines.filter_map(|line| line.split("version=").nth(1));
        versions
            .map(|version| version.trim().parse().expect("a version is a number"))
            .collect()
    }
}

/// Waits until all leases granted before a change was accepted have expired. Until then, a peer
/// that does not know the change may still confirm the previous version.
fn wait_for_lease_expiry(accepted_at: Instant) {
    let has_expired = wait_until(WAIT_TIMEOUT_MS, || accepted_at.elapsed() > LEASE);
    assert!(has_expired, "the lease must be shorter than the timeout");
}

fn accepted(answer: (u16, Value)) -> u64 {
    let (status, body) = answer;
    assert_eq!(status, 200, "{body}");
    body["version"].as_u64().expect("a version is a number")
}

fn request_body(prompt: &str, max_tokens: u32, is_streamed: bool) -> Value {
    json!({
        "model": "draft",
        "prompt": prompt,
        "max_tokens": max_tokens,
        "seed": SEED,
        "stream": is_streamed,
    })
}

fn expected(prompt: &str, max_tokens: u32, version: &str) -> String {
    expected_text(&AnswerSpec {
        adapter: None,
        max_tokens,
        model: ModelId::new("draft").expect("a valid name"),
        prompt: prompt.to_owned(),
        seed: SEED,
        version: VersionId::new(version).expect("a valid name"),
    })
}

/// Determines from the text of the answer which version generated it.
fn served(answer: &Value) -> Served {
    let Some(text) = answer["choices"][0]["text"].as_str() else {
        return Served::Refused(answer["error"].clone());
    };
    let made_by = |version: &&str| text == expected("which version", TOKENS, version);
    let version = VERSIONS.into_iter().find(made_by);
    Served::Version(version.unwrap_or_else(|| panic!("no version answers {text}")))
}

fn is_stale(served: &Served) -> bool {
    matches!(served, Served::Refused(error) if error["kind"] == "catalogue_stale")
}

/// Asserts a refusal because of a stale catalogue, with the outcome `not_run` and a retry time.
#[track_caller]
fn assert_stale_refusal(error: &Value) {
    assert_eq!(error["kind"], "catalogue_stale");
    assert_eq!(error["outcome"], "not_run");
    assert!(error["retry_after_ms"].is_u64(), "{error}");
}

/// Asserts that every answer is of the new version or a refusal because of a stale catalogue.
#[track_caller]
fn assert_nothing_old(answers: &[Served]) {
    for answer in answers {
        let is_true = is_stale(answer) || *answer == Served::Version("v2");
        assert!(is_true, "{answers:?}");
    }
}

#[test]
fn a_change_is_in_force_at_every_entry_though_its_leader_is_killed() {
    let mut system = VersionedSystem::start();
    let former = leader(&system.deployment, None);
    let body = put_body("second", "v2", 1);
    let version = accepted(put(&system.deployment, former, &body));
    system.deployment.node_mut(former).process.kill();
    for entry in ENTRIES {
        system.await_served(entry, &Served::Version("v2"));
    }
    // A new entry and a deletion, accepted by the next leader.
    let next = leader(&system.deployment, Some(former));
    let extra = json!({
        "change_id": "extra",
        "entry": engine_entry("extra", "patient_draft", "draft", "v1"),
        "expected_version": 0,
    });
    let path = "/v1/catalogue/extra";
    accepted(change(&system.deployment, next, "PUT", path, &extra));
    for entry in ENTRIES {
        system.deployment.await_models(entry, 2);
    }
    let gone = json!({"change_id": "gone", "expected_version": version});
    accepted(change(
        &system.deployment,
        next,
        "DELETE",
        ENTRY_PATH,
        &gone,
    ));
    for entry in ENTRIES {
        let error = system.await_refusal(entry, "unknown_model");
        assert_eq!(error["outcome"], "not_run");
    }
    system.deployment.restart(former);
    for entry in ENTRIES {
        system.await_refusal(entry, "unknown_model");
        let versions = system.logged_versions(entry, "catalogue_changed");
        assert!(versions.is_sorted(), "{entry} went back: {versions:?}");
    }
}

#[test]
fn after_the_lease_expires_nothing_new_starts_and_running_streams_continue() {
    let system = VersionedSystem::start();
    let body = request_body("long", LONG_TOKENS, true);
    let address = system.deployment.http("entry-0");
    let request = CallerRequest::post(address, "/v1/completions", &body);
    let stream = system.deployment.caller().open(request, WAIT_TIMEOUT_MS);
    let mut stream = stream.expect("the entry answers");
    assert_eq!(stream.status(), 200);
    system.set_controls(ProxyMode::Cut);
    for entry in ENTRIES {
        assert_stale_refusal(&system.await_refusal(entry, "catalogue_stale"));
        assert!(!system.deployment.is_ready(entry));
    }
    let started = system.count(|stats| stats.started);
    let running = system.count(|stats| stats.running);
    assert_eq!(running, 1, "the stream outlasts the lease");
    let events = stream
        .collect_events(WAIT_TIMEOUT_MS)
        .expect("the stream continues");
    let texts = events.iter().filter_map(|event| text_of(&event.data));
    assert_eq!(
        texts.collect::<String>(),
        expected("long", LONG_TOKENS, "v1")
    );
    assert_eq!(events.last().expect("events came").data, "[DONE]");
    assert_eq!(system.count(|stats| stats.started), started);
    system.set_controls(ProxyMode::Pass);
    for entry in ENTRIES {
        system.await_served(entry, &Served::Version("v1"));
    }
}

fn text_of(data: &str) -> Option<String> {
    let data: Value = serde_json::from_str(data).ok()?;
    data["choices"][0]["text"].as_str().map(str::to_owned)
}

#[test]
fn an_entry_paused_past_its_lease_does_not_serve_an_old_version() {
    let mut system = VersionedSystem::start();
    let process = &mut system.deployment.node_mut("entry-1").process;
    process.pause().expect("the entry runs");
    system.put_version("second", "v2", 1);
    let accepted_at = Instant::now();
    // These requests wait in the listen backlog of the paused entry.
    let body = request_body("which version", TOKENS, false);
    let address = system.deployment.http("entry-1");
    let waiting: Vec<_> = (0..8)
        .map(|_| {
            let request = CallerRequest::post(address, "/v1/completions", &body);
            std::thread::spawn(move || {
                let caller = masticsill_testkit::Caller::start().expect("a thread can be started");
                let answer = caller
                    .call(request, WAIT_TIMEOUT_MS)
                    .expect("the entry answers");
                served(&answer.json())
            })
        })
        .collect();
    wait_for_lease_expiry(accepted_at);
    let process = &mut system.deployment.node_mut("entry-1").process;
    process.resume().expect("the entry runs");
    let answers: Vec<Served> = waiting
        .into_iter()
        .map(|call| call.join().expect("the answer is of a known version"))
        .collect();
    assert_nothing_old(&answers);
    assert_nothing_old(&system.await_served("entry-1", &Served::Version("v2")));
}

#[test]
fn an_entry_that_missed_hundreds_of_changes_serves_nothing_until_it_is_current() {
    let mut system = VersionedSystem::start();
    system.deployment.node_mut("entry-1").process.kill();
    // The other entry is paused as well, so that it holds an old copy when it is queried.
    let process = &mut system.deployment.node_mut("entry-0").process;
    process.pause().expect("the entry runs");
    let mut version = system.put_version("second", "v2", 1);
    let control = leader(&system.deployment, None);
    for number in 0..CHANGES_WHILE_AWAY {
        let body = json!({
            "change_id": format!("away-{number}"),
            "entry": engine_entry("other", "patient_draft", "draft", &format!("w{number}")),
            "expected_version": if number == 0 { 0 } else { version },
        });
        let path = "/v1/catalogue/other";
        version = accepted(change(&system.deployment, control, "PUT", path, &body));
    }
    // When both return, no control replica is reachable, only peers whose leases have expired.
    system.set_controls(ProxyMode::Cut);
    wait_for_lease_expiry(Instant::now());
    let process = &mut system.deployment.node_mut("entry-0").process;
    process.resume().expect("the entry runs");
    system.deployment.restart("entry-1");
    for _ in 0..REQUESTS_WHILE_CUT {
        for entry in ENTRIES {
            let Served::Refused(error) = system.ask(entry) else {
                panic!("{entry} served without a proof");
            };
            assert_stale_refusal(&error);
        }
    }
    system.set_controls(ProxyMode::Pass);
    for entry in ["entry-1", "entry-0"] {
        let until_current = system.await_served(entry, &Served::Version("v2"));
        let rest = until_current.iter().filter(|answer| {
            // A new process may know the catalogue before it knows an agent.
            !matches!(answer, Served::Refused(error) if error["kind"] == "no_endpoint")
        });
        assert_nothing_old(&rest.cloned().collect::<Vec<Served>>());
    }
    let acted_on = system.logged_versions("entry-1", "catalogue_fresh");
    assert!(
        acted_on.len() >= 2,
        "the entry must be current before and after its restart"
    );
    assert!(acted_on.is_sorted(), "entry-1 went back: {acted_on:?}");
    assert_eq!(acted_on.last(), Some(&version));
}
