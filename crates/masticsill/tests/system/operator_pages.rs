//! Runs the procedures of docs/OPERATIONS.md.

use std::fs;
use std::path::Path;
use std::process::{Command, Output};

use masticsill_testkit::{Deployment, OPERATOR_TOKEN, built_binary, engine_entry, wait_until};

use crate::support::WAIT_TIMEOUT_MS;

fn start_controls() -> Deployment {
    let mut deployment = Deployment::new(Path::new(env!("CARGO_BIN_EXE_masticsill")));
    deployment.start_controls(3);
    deployment.put(&engine_entry("draft", "patient_draft", "draft", "v1"), 0);
    deployment
}

/// Runs `masticsillctl` against one control replica.
fn operate(deployment: &Deployment, control: &str, arguments: &[&str]) -> Output {
    Command::new(built_binary("masticsillctl"))
        .args(["--address", &deployment.http(control).to_string()])
        .args(arguments)
        .env("MASTICSILL_TOKEN", OPERATOR_TOKEN)
        .output()
        .expect("masticsillctl is built")
}

fn text(output: &Output) -> String {
    let bytes = [output.stdout.clone(), output.stderr.clone()].concat();
    String::from_utf8_lossy(&bytes).into_owned()
}

fn await_voters(deployment: &Deployment, control: &str, count: usize) {
    let mut last = String::new();
    let is_reached = wait_until(WAIT_TIMEOUT_MS, || {
        let output = operate(deployment, control, &["--json", "replicas"]);
        last = text(&output);
        last.matches("\"voter\"").count() == count
    });
    assert!(is_reached, "{count} voters are not reached: {last}");
}

#[test]
fn a_quorum_grows_from_three_to_five() {
    let mut deployment = start_controls();
    for name in ["control-4", "control-5"] {
        deployment.start_new_control(name);
        let address = deployment.node(name).proxy.address().to_string();
        let join = ["join-replica", name, "--replica-address", &address];
        let joined = operate(&deployment, "control-0", &join);
        assert!(joined.status.success(), "{}", text(&joined));
        let wanted = if name == "control-4" { 4 } else { 5 };
        await_voters(&deployment, "control-0", wanted);
    }
    for lost in ["control-0", "control-1"] {
        deployment.node_mut(lost).process.kill();
    }
    let is_listed = wait_until(WAIT_TIMEOUT_MS, || {
        text(&operate(&deployment, "control-5", &["list"])).contains("draft")
    });
    assert!(is_listed, "three of five go on after two losses at once");
}

#[test]
fn a_lost_majority_is_recovered_by_the_survivor() {
    let mut deployment = start_controls();
    let is_everywhere = wait_until(WAIT_TIMEOUT_MS, || {
        text(&operate(&deployment, "control-2", &["list"])).contains("draft")
    });
    assert!(is_everywhere);
    for lost in ["control-0", "control-1"] {
        deployment.node_mut(lost).process.kill();
        fs::remove_dir_all(deployment.data_folder(lost)).expect("the folder is there");
    }
    deployment.node_mut("control-2").process.kill();
    let settings = deployment.node("control-2").settings.clone();
    let daemon = env!("CARGO_BIN_EXE_masticsill");
    let recover = |arguments: &[&str]| {
        let mut command = Command::new(daemon);
        command.arg("recover").arg(&settings).args(arguments);
        command.output().expect("the daemon runs")
    };
    let refused = recover(&[]);
    assert!(!refused.status.success(), "the loss must be accepted");
    let recovered = recover(&["--accept-loss"]);
    assert!(recovered.status.success(), "{}", text(&recovered));
    deployment.restart("control-2");
    await_voters(&deployment, "control-2", 1);
    assert!(text(&operate(&deployment, "control-2", &["list"])).contains("draft"));

    deployment.restart("control-0");
    let joined = operate(&deployment, "control-2", &["join-replica", "control-0"]);
    assert!(joined.status.success(), "{}", text(&joined));
    await_voters(&deployment, "control-2", 2);
}
