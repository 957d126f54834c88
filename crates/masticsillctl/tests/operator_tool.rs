//! The tool against a running control replica.

use std::fs;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::{Duration, Instant};

use masticsill_catalogue::OperatorScope;
use masticsill_control::{ControlConfig, ControlRole, OperatorConfig, TokenHash};
use masticsill_quorum::ReplicaSettings;
use masticsill_runtime::{Metrics, Ring};
use masticsill_types::MonotonicClock;
use tempfile::TempDir;

const PATIENCE: Duration = Duration::from_secs(30);

const ENTRY: &str = r#"{
    "id": "fliesenwerk/layout", "owner": "fliesenwerk", "class": "patient_draft",
    "back_end": {"kind": "engine", "model": "planner", "version": "v3"},
    "placement": {"replicas": 1}
}"#;

struct Instance {
    folder: TempDir,
    role: Option<ControlRole>,
}

impl Instance {
    fn start() -> Self {
        let folder = TempDir::new().unwrap();
        let node: masticsill_types::NodeId = "control-1".parse().unwrap();
        let operator = OperatorConfig {
            operator: "anna".parse().unwrap(),
            scope: OperatorScope::All,
            token_hash: TokenHash::of_token("secret"),
        };
        let config = ControlConfig {
            cluster: "test".to_owned(),
            data_folder: folder.path().join("data"),
            founders: vec![node.clone()],
            http_address: "127.0.0.1:0".parse().unwrap(),
            node,
            operators: vec![operator],
            peers: indexmap::IndexMap::new(),
            replica: ReplicaSettings::default(),
            rpc_address: "127.0.0.1:0".parse().unwrap(),
        };
        fs::write(folder.path().join("token"), "secret\n").unwrap();
        let no_peers = Ring::with_capacity(1);
        let clock = MonotonicClock::start();
        let role = ControlRole::start(&config, no_peers, clock, Metrics::disabled());
        let role = role.unwrap();
        let bound = Instant::now() + PATIENCE;
        while !role.is_leading() {
            assert!(Instant::now() < bound, "waited in vain for a leader");
            std::thread::sleep(Duration::from_millis(5));
        }
        let role = Some(role);
        Self { folder, role }
    }

    fn file(&self, name: &str, content: &str) -> PathBuf {
        let path = self.folder.path().join(name);
        fs::write(&path, content).unwrap();
        path
    }

    fn run(&self, arguments: &[&str]) -> Output {
        let role = self.role.as_ref().expect("the instance runs");
        self.run_at(&role.http_address().to_string(), arguments)
    }

    fn run_at(&self, address: &str, arguments: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_masticsillctl"))
            .args(["--address", address, "--timeout-s", "5", "--token-file"])
            .arg(self.folder.path().join("token"))
            .args(arguments)
            .output()
            .unwrap()
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        if let Some(role) = self.role.take() {
            let _ = role.abort();
        }
    }
}

#[track_caller]
fn assert_ends(output: &Output, code: i32, shown: &str) {
    let stdout = String::from_utf8_lossy(&output.stdout);
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(code), "{stdout}{stderr}");
    assert!(
        stdout.contains(shown) || stderr.contains(shown),
        "{stdout}{stderr}"
    );
}

#[test]
fn an_entry_is_applied_shown_and_deleted() {
    let instance = Instance::start();
    let file = instance.file("entry.json", ENTRY);
    let file = file.to_str().unwrap();
    let id = "fliesenwerk/layout";
    assert_ends(&instance.run(&["check", file]), 0, "is valid");
    assert_ends(&instance.run(&["apply", file]), 0, "accepted as version 1");
    assert_ends(
        &instance.run(&["--json", "apply", file]),
        0,
        r#""version":2"#,
    );
    assert_ends(&instance.run(&["get", id]), 0, "\"planner\"");
    assert_ends(&instance.run(&["list"]), 0, "fliesenwerk/layout  version 2");
    assert_ends(
        &instance.run(&["watch", "--from", "1", "--once"]),
        0,
        "version 2",
    );
    assert_ends(&instance.run(&["delete", id]), 0, "accepted as version 3");
    assert_ends(&instance.run(&["get", id]), 4, "no entry");
    assert_ends(&instance.run(&["audit"]), 0, "delete fliesenwerk/layout");
    assert_ends(&instance.run(&["replicas"]), 0, "control-1  voter");
    assert_ends(
        &instance.run(&["replace-replica", "control-1"]),
        0,
        "nothing to replace",
    );
    assert_ends(
        &instance.run(&["replace-replica", "control-9"]),
        2,
        "not a member",
    );
}

#[test]
fn a_change_sent_again_gets_its_first_answer() {
    let instance = Instance::start();
    let file = instance.file("entry.json", ENTRY);
    let file = file.to_str().unwrap();
    let apply = [
        "apply",
        file,
        "--change-id",
        "once",
        "--expected-version",
        "0",
    ];
    assert_ends(&instance.run(&apply), 0, "accepted as version 1");
    assert_ends(&instance.run(&["apply", file]), 0, "accepted as version 2");
    assert_ends(&instance.run(&apply), 0, "accepted as version 1");
    let other = ["apply", file, "--expected-version", "1"];
    assert_ends(&instance.run(&other), 3, "version 2 is in force");
}

#[test]
fn failures_have_exit_codes_and_remedies() {
    let instance = Instance::start();
    let wrong = ENTRY.replace("\"replicas\": 1", "\"replicas\": 0");
    let wrong = instance.file("wrong.json", &wrong);
    let wrong = wrong.to_str().unwrap();
    assert_ends(&instance.run(&["check", wrong]), 2, "placement.replicas");
    assert_ends(&instance.run(&["apply", wrong]), 2, "placement.replicas");
    assert_ends(&instance.run(&["frobnicate"]), 2, "--help");
    assert_ends(&instance.run(&["--help"]), 0, "Exit codes");
    fs::write(instance.folder.path().join("token"), "wrong").unwrap();
    assert_ends(&instance.run(&["list"]), 4, "settings");
}

#[test]
fn a_change_that_was_never_sent_is_said_to_be_undone() {
    let mut instance = Instance::start();
    let address = instance.role.as_ref().unwrap().http_address().to_string();
    instance.role.take().unwrap().stop().unwrap();
    let file = instance.file("entry.json", ENTRY);
    let file = file.to_str().unwrap();
    let apply = ["apply", file, "--expected-version", "0", "--timeout-s", "1"];
    assert_ends(&instance.run_at(&address, &apply), 5, "nothing was done");
}
