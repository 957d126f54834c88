//! docs/EVENTS.md lists exactly the events that the code declares.

use std::fs;
use std::path::Path;

use masticsill_types::Event;

fn declared() -> Vec<Event> {
    let crates = [
        masticsill_agent::events::ALL,
        masticsill_control::events::ALL,
        masticsill_entry::events::ALL,
        masticsill_mesh::events::ALL,
        masticsill_quorum::events::ALL,
        masticsill_relay::events::ALL,
        masticsill_runtime::events::ALL,
    ];
    let mut events = crates.concat();
    events.sort_by_key(|event| event.number);
    events
}

fn listed() -> Vec<(u16, String)> {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/EVENTS.md");
    let page = fs::read_to_string(page).unwrap();
    let rows = page.lines().filter_map(|line| line.strip_prefix("| M"));
    rows.map(|row| {
        let mut cells = row.split('|').map(str::trim);
        let number = cells.next().unwrap().parse().unwrap();
        let name = cells.next().unwrap().trim_matches('`').to_owned();
        (number, name)
    })
    .collect()
}

#[test]
fn page_and_code_list_the_same_events() {
    let declared: Vec<(u16, String)> = declared()
        .into_iter()
        .map(|event| (event.number, event.name.to_owned()))
        .collect();
    assert_eq!(listed(), declared);
}

#[test]
fn event_numbers_are_unique() {
    let events = declared();
    for pair in events.windows(2) {
        assert_ne!(
            pair[0].number, pair[1].number,
            "{} and {}",
            pair[0], pair[1]
        );
    }
}

#[test]
fn each_declared_event_is_logged_somewhere() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut source = String::new();
    for package in fs::read_dir(&crates).unwrap() {
        read_sources(&package.unwrap().path().join("src"), &mut source);
    }
    read_sources(&crates.join("../platform/src"), &mut source);
    for event in declared() {
        let constant = event_constant(&source, event);
        let uses = source.matches(&format!("events::{constant}")).count();
        assert!(uses > 0, "{event} is declared and never logged");
    }
}

fn read_sources(folder: &Path, source: &mut String) {
    let Ok(entries) = fs::read_dir(folder) else {
        return;
    };
    for entry in entries {
        let path = entry.unwrap().path();
        if path.is_dir() {
            read_sources(&path, source);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            source.push_str(&fs::read_to_string(path).unwrap());
        }
    }
}

/// Returns the name of the constant that declares an event, as in
/// `pub const NAME: Event = Event::new(1001, ...`.
fn event_constant(source: &str, event: Event) -> &str {
    let declaration = format!("Event::new({},", event.number);
    let line = source.lines().find(|line| line.contains(&declaration));
    let line = line.unwrap_or_else(|| panic!("{event} is declared on one line"));
    let name = line.split_whitespace().nth(2);
    name.expect("a declaration names its constant")
        .trim_end_matches(':')
}
