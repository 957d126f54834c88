//! The daemon's `check` command accepts every example settings file.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;

fn example_files() -> Vec<PathBuf> {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let mut files = Vec::new();
    for site in fs::read_dir(examples).unwrap() {
        for file in fs::read_dir(site.unwrap().path()).unwrap() {
            files.push(file.unwrap().path());
        }
    }
    files
}

fn check(file: &Path) -> (bool, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_masticsill"))
        .arg("check")
        .arg(file)
        .output()
        .unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8(text).unwrap())
}

#[test]
fn every_example_settings_file_is_valid() {
    let files = example_files();
    assert!(
        files.len() >= 20,
        "expected at least 20 example files for the two sites"
    );
    for file in files {
        let (is_sound, text) = check(&file);
        assert!(is_sound, "{}: {text}", file.display());
    }
}

#[test]
fn a_wrong_file_is_refused_with_field_value_and_remedy() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("wrong.json");
    let text = r#"{"node": "a", "zone": "b", "rpc_address": "nowhere", "entry": {"http_address": "127.0.0.1:0"}}"#;
    fs::write(&file, text).unwrap();
    let (is_sound, text) = check(&file);
    assert!(!is_sound);
    for part in ["rpc_address", "nowhere", "IP number"] {
        assert!(text.contains(part), "{text}");
    }
}
