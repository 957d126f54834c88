//! docs/METRICS.md lists exactly the metrics that the code sends.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

const SENDERS: [&str; 4] = ["count(", "gauge(", "time_ms(", "register("];
const PREFIXES: [&str; 4] = ["agent.", "control.", "entry.", "masticsill_"];

#[test]
fn page_and_code_list_the_same_metrics() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page = fs::read_to_string(root.join("docs/METRICS.md")).unwrap();
    let rows = page.lines().filter_map(|line| line.strip_prefix("| `"));
    let listed: BTreeSet<String> = rows
        .map(|row| row.split('`').next().unwrap().to_owned())
        .collect();
    let mut sent = BTreeSet::new();
    for role in ["agent", "control", "entry", "relay"] {
        let source = root.join(format!("crates/masticsill_{role}/src"));
        collect_sent(&source, &mut sent);
    }
    assert_eq!(listed, sent);
}

fn collect_sent(folder: &Path, sent: &mut BTreeSet<String>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_sent(&path, sent);
            continue;
        }
        let source = fs::read_to_string(&path).unwrap();
        for sender in SENDERS {
            let calls = source.split(sender).skip(1);
            let names = calls.filter_map(|call| call.trim_start().strip_prefix('"'));
            let names = names.map(|name| name.split('"').next().unwrap());
            let names = names.filter(|name| PREFIXES.iter().any(|prefix| name.starts_with(prefix)));
            sent.extend(names.map(str::to_owned));
        }
    }
}
