//! Child processes under test.

use std::os::unix::process::ExitStatusExt;

use assert_matches::assert_matches;
use masticsill_testkit::{
    Caller, CallerRequest, ProcessError, ProcessUnderTest, built_example, wait_until,
    write_settings,
};
use serde_json::json;
use tempfile::TempDir;

const BOUND_MS: u64 = 20_000;

fn spawn(folder: &TempDir, arguments: &[&str]) -> Result<ProcessUnderTest, ProcessError> {
    let log_file = folder.path().join("engine.log");
    ProcessUnderTest::spawn(&built_example("fake_engine"), arguments, &log_file)
}

fn is_answering(caller: &Caller, process: &ProcessUnderTest, bound_ms: u64) -> bool {
    let request = CallerRequest::get(process.address("http"), "/stats");
    caller
        .call(request, bound_ms)
        .is_ok_and(|answer| answer.status == 200)
}

#[test]
fn paused_process_is_silent_until_resumed() {
    let folder = TempDir::new().unwrap();
    let caller = Caller::start().unwrap();
    let mut process = spawn(&folder, &[]).unwrap();
    assert!(is_answering(&caller, &process, BOUND_MS));
    process.pause().unwrap();
    assert!(!is_answering(&caller, &process, 200));
    process.resume().unwrap();
    assert!(wait_until(BOUND_MS, || is_answering(
        &caller, &process, 500
    )));
}

#[test]
fn killed_process_refuses_connections() {
    let folder = TempDir::new().unwrap();
    let caller = Caller::start().unwrap();
    let mut process = spawn(&folder, &[]).unwrap();
    process.kill();
    assert!(!process.is_running());
    assert!(!is_answering(&caller, &process, BOUND_MS));
    assert_matches!(process.pause(), Err(ProcessError::Io { .. }));
}

#[test]
fn terminated_process_tells_its_signal() {
    let folder = TempDir::new().unwrap();
    let mut process = spawn(&folder, &[]).unwrap();
    let status = process.terminate(BOUND_MS).unwrap();
    assert_eq!(status.signal(), Some(15));
}

#[test]
fn early_end_shows_the_log() {
    let folder = TempDir::new().unwrap();
    let error = spawn(&folder, &["--no-such-option"]).unwrap_err();
    assert_matches!(error, ProcessError::EndedBeforeReady { log, .. } if log.contains("no-such-option"));
}

#[test]
fn settings_are_written_as_json() {
    let folder = TempDir::new().unwrap();
    let settings = json!({"node": "entry-1"});
    let path = write_settings(folder.path(), "entry-1", &settings);
    let written = std::fs::read(path).unwrap();
    assert_eq!(
        serde_json::from_slice::<serde_json::Value>(&written).unwrap(),
        settings
    );
}
